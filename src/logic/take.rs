//! Taking a request, and what it is thought to cost.

use super::*;

impl Gateway {
    pub(super) fn accept(&mut self, request: Request, guest: bool, out: &mut Vec<Action>) {
        let Some(soft_deadline) = self.record_arrival(&request) else { return };
        self.arrivals.push_back(self.now);
        let over_quota = !self.take_quota_token(request.tenant);
        if let (true, Some(key)) = (self.class(&request).in_order, &request.key) {
            self.key_queues.entry(key.clone()).or_default().queue.push_back(request.id);
        }
        self.probe_for_load(out);
        let (id, pinned) = (request.id, request.pin.is_some());
        let part = self.admit_fractions[usize::from(guest)].get(request.class.0).copied().unwrap_or(1.0);
        self.open_requests.insert(id, OpenRequest::new(request, soft_deadline, over_quota));
        if !pinned && part < 1.0 && unit_fraction(self.next_random()) >= part {
            return self.end_unserved(id, out);
        }
        self.place(id, out);
    }

    /// Notes what is asked for; when the worth of a new request falls.
    fn record_arrival(&mut self, request: &Request) -> Option<Micros> {
        let class = self
            .settings
            .classes
            .get(request.class.0)
            .filter(|_| !self.open_requests.contains_key(&request.id))?;
        let cost = self.predicted_work(request, None);
        let stretch = class.target_stretch.max(0.0) * cost / self.threads(request);
        let target = class.latency_target.saturating_add(stretch as Micros);
        let soft_deadline = self.now.saturating_add(target).min(request.deadline);
        let worth = clamp_finite(class.worth, 0.0, 1e9);
        self.record_demand(request.class.0, cost, worth, SAMPLE);
        Some(soft_deadline)
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
        let Some(soft_deadline) = self.record_arrival(&request) else { return };
        let (id, least) = (request.id, u32::from(sent.is_some()));
        let is_there = |state: &EngineState| state.entry.listed != Listed::Removed;
        let sent = sent.filter(|s| self.engines.get(&s.engine).is_some_and(is_there));
        let key = request.key.clone().filter(|_| self.class(&request).in_order);
        let mut open = OpenRequest::new(request, soft_deadline, false);
        open.attempts = spent.clamp(least, u32::MAX - 1) - u32::from(sent.is_some());
        (open.adopted, open.has_unknown_attempts) = (true, open.attempts > 0);
        self.open_requests.insert(id, open);
        key.into_iter().for_each(|key| self.enqueue_adopted_for_key(id, &key, sent.is_some()));
        match sent {
            Some(sent) => self.resume_attempt(id, sent),
            None => self.place(id, out),
        }
    }

    /// An attempt that another gateway sent holds and owes what one of this gateway's would. It began in its
    /// turn, so a cold engine gets nothing new.
    fn resume_attempt(&mut self, id: RequestId, sent: AdoptedAttempt) {
        self.drain_debt(sent.engine);
        self.join_queue(id, sent.engine);
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&sent.engine)) else {
            return;
        };
        let span = (sent.sent.min(self.now), sent.until.min(open.request.deadline));
        let holds = (self.threads(&open.request), self.memory_grant(&open.request, state));
        let mut attempt =
            Attempt::new(open, sent.engine, span, holds, self.expected_duration(&open.request, state));
        attempt.adopted_at = Some(self.now);
        self.record_send(id, attempt, None, WARM_GROUPS);
    }

    /// A token bucket for each tenant, filled with this gateway's part of the quota.
    fn take_quota_token(&mut self, tenant: TenantId) -> bool {
        let (now, share) = (self.now, self.fleet_share());
        let Some(told) = self.settings.tenants.get(tenant.0) else { return true };
        let (tokens, at) = &mut self.tenant_tokens[tenant.0];
        let rate = clamp_finite(told.quota_per_s, 0.0, 1e9) * share;
        *tokens = (*tokens + rate * (now - *at) as f64 / 1e6).min((rate * QUOTA_BURST).max(1.0));
        *at = now;
        let within = *tokens >= 1.0;
        *tokens -= if within { 1.0 } else { 0.0 };
        within
    }

    /// Estimate × k: the class's k on `engine`, or over all engines.
    pub(super) fn predicted_work(&self, request: &Request, engine: Option<&EngineState>) -> f64 {
        let class = request.class.0;
        let k = self.class_stats[class].cost_ratio.value().unwrap_or(1.0);
        let k = engine.map_or(k, |state| state.cost_ratio[class].blended_with(k, LEAN));
        clamp_finite(self.estimated_work(request) * k, 1.0, 1e12)
    }

    /// The estimate, or a stand-in for it where none is told.
    pub(super) fn estimated_work(&self, request: &Request) -> f64 {
        let unknown = self.class(request).latency_target as f64 * UNKNOWN_COST * self.threads(request);
        Some(request.cost as f64).filter(|&told| told > 0.0).unwrap_or(unknown.max(1.0))
    }

    /// Worth for each unit of predicted work.
    pub(super) fn worth_density(&self, request: &Request) -> f64 {
        clamp_finite(self.class(request).worth, 0.0, 1e9) / self.predicted_work(request, None)
    }
}
