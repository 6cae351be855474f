//! Taking a request, and what it is thought to cost.

use super::*;

impl Gateway {
    pub(super) fn take(&mut self, request: Request, guest: bool, out: &mut Vec<Action>) {
        let Some(goal) = self.goal(&request) else { return };
        self.taken.push_back(self.now);
        let over_share = !self.within_share(request.tenant);
        if let (true, Some(key)) = (self.class(&request).in_order, &request.key) {
            self.keys.entry(key.clone()).or_default().queue.push_back(request.id);
        }
        self.scout(out);
        let (id, pinned) = (request.id, request.pin.is_some());
        let part = self.kept[usize::from(guest)].get(request.class.0).copied().unwrap_or(1.0);
        self.open.insert(id, Open::new(request, goal, over_share));
        if !pinned && part < 1.0 && unit(self.draw()) >= part {
            return self.end(id, out);
        }
        self.place(id, out);
    }

    /// Notes what is asked for; when the worth of a new request falls.
    fn goal(&mut self, request: &Request) -> Option<Micros> {
        let class =
            self.settings.classes.get(request.class.0).filter(|_| !self.open.contains_key(&request.id))?;
        let cost = self.cost(request, None);
        let stretch = class.target_stretch.max(0.0) * cost / self.threads(request);
        let target = class.latency_target.saturating_add(stretch as Micros);
        let goal = self.now.saturating_add(target).min(request.deadline);
        let worth = finite(class.worth, 0.0, 1e9);
        self.note_asked(request.class.0, cost, worth, SAMPLE);
        Some(goal)
    }

    /// Goes on with what another gateway took and counted: no token is asked for, no further attempt earned
    /// and no probe paid.
    pub(super) fn adopt(
        &mut self,
        request: Request,
        spent: u32,
        sent: Option<AdoptedAttempt>,
        out: &mut Vec<Action>,
    ) {
        let Some(goal) = self.goal(&request) else { return };
        let (id, least) = (request.id, u32::from(sent.is_some()));
        let is_there = |e: &Engine| e.entry.listed != Listed::Removed;
        let sent = sent.filter(|s| self.engines.get(&s.engine).is_some_and(is_there));
        let key = request.key.clone().filter(|_| self.class(&request).in_order);
        let mut open = Open::new(request, goal, false);
        open.attempts = spent.clamp(least, u32::MAX - 1) - u32::from(sent.is_some());
        (open.adopted, open.unknown) = (true, open.attempts > 0);
        self.open.insert(id, open);
        key.into_iter().for_each(|key| self.queue_adopted(id, &key, sent.is_some()));
        match sent {
            Some(sent) => self.go_on(id, sent),
            None => self.place(id, out),
        }
    }

    /// An attempt that another gateway sent holds and owes what one of this gateway's would. It began in its
    /// turn, so a cold engine gets nothing new.
    fn go_on(&mut self, id: RequestId, sent: AdoptedAttempt) {
        self.drain(sent.engine);
        self.join(id, sent.engine);
        let (Some(open), Some(e)) = (self.open.get(&id), self.engines.get(&sent.engine)) else { return };
        let span = (sent.sent.min(self.now), sent.until.min(open.request.deadline));
        let holds = (self.threads(&open.request), self.grant(&open.request, e));
        let mut flight = Flight::new(open, sent.engine, span, holds, self.usual(&open.request, e));
        flight.adopted = Some(self.now);
        self.sent(id, flight, None, WARM_GROUPS);
    }

    /// A token bucket for each tenant, filled with this gateway's part of the quota.
    fn within_share(&mut self, tenant: TenantId) -> bool {
        let (now, share) = (self.now, self.share());
        let Some(told) = self.settings.tenants.get(tenant.0) else { return true };
        let (tokens, at) = &mut self.tokens[tenant.0];
        let rate = finite(told.quota_per_s, 0.0, 1e9) * share;
        *tokens = (*tokens + rate * (now - *at) as f64 / 1e6).min((rate * QUOTA_BURST).max(1.0));
        *at = now;
        let within = *tokens >= 1.0;
        *tokens -= if within { 1.0 } else { 0.0 };
        within
    }

    /// Estimate × k: the class's k on `engine`, or over all engines.
    pub(super) fn cost(&self, request: &Request, engine: Option<&Engine>) -> f64 {
        let class = request.class.0;
        let k = self.learned[class].k.get().unwrap_or(1.0);
        let k = engine.map_or(k, |e| e.k[class].leaning(k, LEAN));
        finite(self.told(request) * k, 1.0, 1e12)
    }

    /// The estimate, or a stand-in for it where none is told.
    pub(super) fn told(&self, request: &Request) -> f64 {
        let unknown = self.class(request).latency_target as f64 * UNKNOWN_COST * self.threads(request);
        Some(request.cost as f64).filter(|&told| told > 0.0).unwrap_or(unknown.max(1.0))
    }

    /// Worth for each unit of predicted work.
    pub(super) fn density(&self, request: &Request) -> f64 {
        finite(self.class(request).worth, 0.0, 1e9) / self.cost(request, None)
    }
}
