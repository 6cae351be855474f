//! The checks before every dispatch: effects, the budget of attempts, cold engines and order keys.

use super::*;

impl Gateway {
    /// Decides whether a request may be sent to an engine. Every dispatch passes this check.
    pub(super) fn check_dispatch(&self, id: RequestId, engine: EngineId) -> Verdict {
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&engine)) else {
            return Verdict::NotHere;
        };
        let class = self.class(&open.request);
        let kind_ok = class.kinds.as_ref().is_none_or(|k| k.contains(&state.entry.kind));
        let zone_ok = class.zones.as_ref().is_none_or(|z| z.contains(&state.entry.zone));
        let is_sent = !open.waits() || self.is_in_flight(id);
        let at_cap = open.attempts >= self.settings.attempts_cap;
        let pin = open.request.pin;
        let pinned_elsewhere = pin.is_some_and(|p| p.engine != engine);
        let finishing = pin.is_some_and(|p| p.finishing) && state.entry.listed == Listed::Draining;
        let engine_ok = (state.entry.listed == Listed::Up || finishing) && !pinned_elsewhere;
        let allowed = kind_ok && zone_ok && engine_ok && !is_sent && !at_cap;
        let over_budget = open.attempts > 0 && self.budget_left() < 1.0;
        if !allowed || !self.effect_allows(open, state) || over_budget {
            return Verdict::NotHere;
        }
        // A query that is too large even for an unused budget can never be sent there.
        if !self.cold_allows(open, state, true) {
            return Verdict::NotHere;
        }
        if !self.has_turn(id) || !self.cold_allows(open, state, false) {
            return Verdict::NotNow;
        }
        Verdict::Allow
    }

    /// Whether the effect of the request allows an attempt: one that may have run is only sent again where
    /// that is harmless.
    fn effect_allows(&self, open: &OpenRequest, state: &EngineState) -> bool {
        if !open.may_have_run() {
            return true;
        }
        if open.request.pin.is_some() {
            return false;
        }
        match (self.class(&open.request).effect, open.first_uncertain) {
            (Effect::Repeatable, _) => true,
            (Effect::Once, _) | (_, None) => false,
            (Effect::Keyed { scope, window }, Some((_, zone, cell, _))) => {
                scope.covers(&state.entry, zone, cell) && self.is_remembered(open, window)
            }
        }
    }

    /// Whether engines still drop repeats of a request that may have run: they remember it for `window` from
    /// the sending of the first attempt that may have.
    pub(super) fn is_remembered(&self, open: &OpenRequest, window: Micros) -> bool {
        let first_uncertain = open.first_uncertain.filter(|_| !open.has_unknown_attempts);
        first_uncertain
            .is_some_and(|(_, _, _, sent)| self.now + self.settings.quantum < sent.saturating_add(window))
    }

    /// The number of further attempts that the budget still allows. Within one quantum of the start of the
    /// window, requests are not counted but further attempts are, so that the budget also holds if event
    /// times are off by that much.
    pub(super) fn budget_left(&self) -> f64 {
        let Some(budget) = &self.settings.budget else { return f64::INFINITY };
        let start = self.now.saturating_sub(budget.window);
        let quantum = self.settings.quantum;
        let old_arrivals = self.arrivals.partition_point(|&time| time <= start + quantum);
        let old_attempts = self.further_attempts.partition_point(|&time| time + quantum < start);
        let arrivals = self.arrivals.len() - old_arrivals;
        let attempts = self.further_attempts.len() - old_attempts;
        budget.free + budget.per_request * arrivals as f64 - attempts as f64
    }

    /// Whether the budget of a cold engine allows a request. A cold engine crashes if all gateways together
    /// send too much, so each one sends at most its share in every window, split among the classes by demand.
    /// Where the share of a class is less than one of its queries, gateways take turns at sending one query,
    /// so often that on average they keep to their shares. The share is never more than an even one, whatever
    /// is known of the other gateways, so that all shares add up to at most one. `if_unused` ignores what has
    /// been sent in the current window.
    fn cold_allows(&self, open: &OpenRequest, state: &EngineState, if_unused: bool) -> bool {
        if !self.is_cold(state) || self.settings.overload_multiple <= 0.0 {
            return true;
        }
        let class = open.request.class.0;
        let rate = self.settings.overload_multiple
            * self.cores(state)
            * self.capacity_fraction(state)
            * COLD_BUDGET_FRACTION;
        let own_budget =
            rate * self.settings.overload_span as f64 * self.fleet_share().min(self.even_share());
        let total: f64 = (0..self.class_stats.len()).map(|c| self.demand_share(c)).sum();
        let class_budget = own_budget * self.demand_share(class) / total;
        let weight = self.cold_weight(open);
        // All gateways compute the same hash for a turn, and their ids spread them evenly over it.
        let turn = self.now / self.settings.overload_span.max(1);
        let hash = mix_bits(state.entry.engine.0 ^ mix_bits(turn ^ mix_bits(class as u64)));
        let position = unit_fraction(hash) + self.settings.own_id.0 as f64 * self.even_share();
        let has_turn = position.fract() < class_budget / weight;
        let budget = if has_turn { class_budget.max(weight) } else { class_budget };
        let start = self.now.saturating_sub(self.settings.overload_span);
        let sends = state.recent_sends.iter().rev().take_while(|&&(time, ..)| time >= start);
        let sent: f64 = sends.filter(|send| send.2 == class).map(|&(_, weight, _)| weight).sum();
        weight + if if_unused { 0.0 } else { sent } <= budget
    }

    /// The work that a query counts for on a cold engine: the mean work of its class, increased while few
    /// samples are known. A gateway's turns are as frequent as the inverse of this value. The inverse of a
    /// mean of few samples is too large on average, and the turns of all gateways would exceed the budget.
    pub(super) fn cold_weight(&self, open: &OpenRequest) -> f64 {
        let mean_work = &self.class_stats[open.request.class.0].mean_work;
        let work = mean_work.value().unwrap_or_else(|| self.predicted_work(&open.request, None));
        work.max(1.0) * (1.0 + RELATIVE_WORK_VARIANCE / mean_work.samples.max(1.0))
    }

    /// Whether the request is the first of its order key that is not over and the key is not blocked. A
    /// request that has already made an attempt keeps its turn while the key is blocked.
    pub(super) fn has_turn(&self, id: RequestId) -> bool {
        let Some(open) = self.open_requests.get(&id) else { return false };
        match open.request.key.as_ref().and_then(|k| self.key_queues.get(k)) {
            Some(key_queue) if key_queue.queue.contains(&id) => {
                let not_blocked = open.attempts > 0 || self.now >= key_queue.blocked_until;
                key_queue.queue.front() == Some(&id) && not_blocked
            }
            _ => true,
        }
    }

    /// Places the next request of an order key once the one before it is over and has no attempt in flight.
    pub(super) fn advance_key(&mut self, key: Option<&OrderKey>, out: &mut Vec<Action>) {
        let next = key.and_then(|key| self.next_for_key(key)).filter(|&id| self.has_turn(id));
        next.into_iter().for_each(|id| self.place(id, out));
    }
}
