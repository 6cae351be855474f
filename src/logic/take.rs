//! Admission of new and adopted requests, and the prediction of their work.

use super::*;

impl Gateway {
    /// Admits or refuses a new request.
    pub(super) fn accept(&mut self, request: Request, is_guest: bool, out: &mut Vec<Action>) {
        let Some(soft_deadline) = self.record_arrival(&request) else { return };
        self.arrivals.push_back(self.now);
        let over_quota = !self.take_quota_token(request.tenant);
        if let (true, Some(key)) = (self.class(&request).in_order, &request.key) {
            self.key_queues.entry(key.clone()).or_default().queue.push_back(request.id);
        }
        self.probe_for_load(out);
        let (id, pinned) = (request.id, request.pin.is_some());
        let fractions = &self.admit_fractions[usize::from(is_guest)];
        let admit_fraction = fractions.get(request.class.0).copied().unwrap_or(1.0);
        self.open_requests.insert(id, OpenRequest::new(request, soft_deadline, over_quota));
        if !pinned && admit_fraction < 1.0 && unit_fraction(self.next_random()) >= admit_fraction {
            return self.end_unserved(id, out);
        }
        self.place(id, out);
    }

    /// Adds a request to the demand and returns its soft deadline; `None` if its class is unknown or its id
    /// in use.
    fn record_arrival(&mut self, request: &Request) -> Option<Micros> {
        let class = self.settings.classes.get(request.class.0);
        let class = class.filter(|_| !self.open_requests.contains_key(&request.id))?;
        let work = self.predicted_work(request, None);
        let stretch = class.target_stretch.max(0.0) * work / self.threads(request);
        let target = class.latency_target.saturating_add(stretch as Micros);
        let soft_deadline = self.now.saturating_add(target).min(request.deadline);
        let worth = clamp_finite(class.worth, 0.0, 1e9);
        self.record_demand(request.class.0, work, worth, SAMPLE_WEIGHT);
        Some(soft_deadline)
    }

    /// Takes over a request from another gateway, which has already counted it against the tenant's quota and
    /// the budget of attempts. No probe is sent for it either. `attempts` includes the `adopted` one in
    /// flight.
    pub(super) fn adopt(
        &mut self,
        request: Request,
        attempts: u32,
        adopted: Option<AdoptedAttempt>,
        out: &mut Vec<Action>,
    ) {
        let Some(soft_deadline) = self.record_arrival(&request) else { return };
        let (id, min_attempts) = (request.id, u32::from(adopted.is_some()));
        let is_listed = |state: &EngineState| state.entry.listed != Listed::Removed;
        let adopted = adopted.filter(|a| self.engines.get(&a.engine).is_some_and(is_listed));
        let key = request.key.clone().filter(|_| self.class(&request).in_order);
        let mut open = OpenRequest::new(request, soft_deadline, false);
        open.attempts = attempts.clamp(min_attempts, u32::MAX - 1) - u32::from(adopted.is_some());
        (open.adopted, open.has_unknown_attempts) = (true, open.attempts > 0);
        self.open_requests.insert(id, open);
        key.into_iter().for_each(|key| self.enqueue_adopted_for_key(id, &key, adopted.is_some()));
        match adopted {
            Some(adopted) => self.resume_attempt(id, adopted),
            None => self.place(id, out),
        }
    }

    /// Continues an attempt that another gateway sent: it counts for debt, threads and memory as one of this
    /// gateway's. It does not count as a send to a cold engine, because it started on the other gateway's
    /// budget.
    fn resume_attempt(&mut self, id: RequestId, adopted: AdoptedAttempt) {
        let engine = adopted.engine;
        self.drain_debt(engine);
        self.join_queue(id, engine);
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&engine)) else {
            return;
        };
        let period = (adopted.sent.min(self.now), adopted.until.min(open.request.deadline));
        let holds = (self.threads(&open.request), self.memory_grant(&open.request, state));
        let expected_duration = self.expected_duration(&open.request, state);
        let mut attempt = Attempt::new(open, engine, period, holds, expected_duration);
        attempt.adopted_at = Some(self.now);
        self.record_send(id, attempt, None, WARM_GROUPS_PER_ENGINE);
    }

    /// Takes a token from the tenant's bucket, which fills with this gateway's share of the quota. Returns
    /// whether there was one.
    fn take_quota_token(&mut self, tenant: TenantId) -> bool {
        let (now, share) = (self.now, self.fleet_share());
        let Some(settings) = self.settings.tenants.get(tenant.0) else { return true };
        let (tokens, refilled_at) = &mut self.tenant_tokens[tenant.0];
        let rate = clamp_finite(settings.quota_per_s, 0.0, 1e9) * share;
        let burst = (rate * QUOTA_BURST_S).max(1.0);
        *tokens = (*tokens + rate * (now - *refilled_at) as f64 / 1e6).min(burst);
        *refilled_at = now;
        let has_token = *tokens >= 1.0;
        *tokens -= if has_token { 1.0 } else { 0.0 };
        has_token
    }

    /// The estimated work, corrected by the ratio of actual to estimated work of the class: on `engine`, or
    /// over all engines.
    pub(super) fn predicted_work(&self, request: &Request, engine: Option<&EngineState>) -> f64 {
        let class = request.class.0;
        let ratio = self.class_stats[class].cost_ratio.value().unwrap_or(1.0);
        let ratio = engine.map_or(ratio, |state| state.cost_ratio[class].blended_with(ratio, PRIOR_SAMPLES));
        clamp_finite(self.estimated_work(request) * ratio, 1.0, 1e12)
    }

    /// The client's estimate of the work, or a default derived from the latency target.
    pub(super) fn estimated_work(&self, request: &Request) -> f64 {
        let target = self.class(request).latency_target as f64;
        let default = target * UNKNOWN_WORK_FRACTION * self.threads(request);
        Some(request.cost as f64).filter(|&estimate| estimate > 0.0).unwrap_or(default.max(1.0))
    }

    /// The worth per unit of predicted work.
    pub(super) fn worth_density(&self, request: &Request) -> f64 {
        clamp_finite(self.class(request).worth, 0.0, 1e9) / self.predicted_work(request, None)
    }
}
