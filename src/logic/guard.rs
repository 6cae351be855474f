//! The one guard before every dispatch: effect, budget of attempts, cold engines, the turns of keys.

use super::*;

impl Gateway {
    /// Every dispatch passes here. `No`: not on this engine. `Later`: not now.
    pub(super) fn check_dispatch(&self, id: RequestId, engine: EngineId) -> Verdict {
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&engine)) else {
            return Verdict::NotHere;
        };
        let class = self.class(&open.request);
        let kind_ok = class.kinds.as_ref().is_none_or(|k| k.contains(&state.entry.kind));
        let zone_ok = class.zones.as_ref().is_none_or(|z| z.contains(&state.entry.zone));
        let out_now = !open.waits() || self.is_in_flight(id);
        let capped = open.attempts >= self.settings.attempts_cap;
        let pin = open.request.pin;
        let elsewhere = pin.is_some_and(|p| p.engine != engine);
        let finishing = pin.is_some_and(|p| p.finishing) && state.entry.listed == Listed::Draining;
        let up = (state.entry.listed == Listed::Up || finishing) && !elsewhere;
        let barred = !kind_ok || !zone_ok || !up || out_now || capped || !self.effect_allows(open, state);
        let spent = open.attempts > 0 && self.budget_left() < 1.0;
        if barred || spent || !self.cold_allows(open, state, true) {
            return Verdict::NotHere;
        }
        if !self.has_turn(id) || !self.cold_allows(open, state, false) {
            return Verdict::NotNow;
        }
        Verdict::Allow
    }

    /// A request that may have run goes out again only where that is harmless.
    fn effect_allows(&self, open: &OpenRequest, state: &EngineState) -> bool {
        if !open.may_have_run() {
            return true;
        }
        if open.request.pin.is_some() {
            return false;
        }
        match (self.class(&open.request).effect, open.first_uncertain.filter(|_| !open.has_unknown_attempts))
        {
            (Effect::Repeatable, _) => true,
            (Effect::Once, _) | (_, None) => false,
            (Effect::Keyed { scope, window }, Some((_, zone, cell, sent))) => {
                scope.covers(&state.entry, zone, cell)
                    && self.now + self.settings.quantum < sent.saturating_add(window)
            }
        }
    }

    /// Further attempts are rationed; what is close to the window's edge counts against us.
    pub(super) fn budget_left(&self) -> f64 {
        let Some(budget) = &self.settings.budget else { return f64::INFINITY };
        let edge = self.now.saturating_sub(budget.window);
        let quantum = self.settings.quantum;
        let taken = self.arrivals.len() - self.arrivals.partition_point(|&t| t <= edge + quantum);
        let made =
            self.further_attempts.len() - self.further_attempts.partition_point(|&t| t + quantum < edge);
        budget.free + budget.per_request * taken as f64 - made as f64
    }

    /// A fresh engine falls over if all gateways send too much: each sends its part, whatever the others
    /// do, in every window, split among the classes by use; `ever`: whether it could fit an empty window.
    /// Where a part is less than a query of the class, gateways take turns that add up to it, class by class.
    /// The part is even at most, whatever is believed of the other gateways: so all parts add up to one.
    fn cold_allows(&self, open: &OpenRequest, state: &EngineState, ever: bool) -> bool {
        if !self.is_cold(state) || self.settings.overload_multiple <= 0.0 {
            return true;
        }
        let class = open.request.class.0;
        let rate =
            self.settings.overload_multiple * self.cores(state) * self.warm_capacity(state) * COLD_MARGIN;
        let all = rate * self.settings.overload_span as f64 * self.fleet_share().min(self.even_share());
        let uses: f64 = (0..self.class_stats.len()).map(|c| self.demand_share(c)).sum();
        let part = all * self.demand_share(class) / uses;
        let weight = self.cold_weight(open);
        let slice = self.now / self.settings.overload_span.max(1);
        let dice = mix_bits(state.entry.engine.0 ^ mix_bits(slice ^ mix_bits(class as u64)));
        let turn = unit_fraction(dice) + self.settings.own_id.0 as f64 * self.even_share();
        let budget = if turn.fract() < part / weight { part.max(weight) } else { part };
        let from = self.now.saturating_sub(self.settings.overload_span);
        let sent =
            state.recent_sends.iter().rev().take_while(|c| c.0 >= from).filter(|c| c.2 == class).map(|c| c.1);
        weight + if ever { 0.0 } else { sent.sum::<f64>() } <= budget
    }

    /// What a query weighs on a cold engine: its class's usual work, more where few samples tell it. KeyQueue go
    /// by one over it, and over a fleet means of few samples would make them add up to more than the whole.
    pub(super) fn cold_weight(&self, open: &OpenRequest) -> f64 {
        let usual = &self.class_stats[open.request.class.0].mean_work;
        let work = usual.value().unwrap_or_else(|| self.predicted_work(&open.request, None));
        work.max(1.0) * (1.0 + WORK_VARIANCE / usual.samples.max(1.0))
    }

    /// The request is the first of its key that is not over, and the key does not rest.
    pub(super) fn has_turn(&self, id: RequestId) -> bool {
        let Some(open) = self.open_requests.get(&id) else { return false };
        match open.request.key.as_ref().and_then(|k| self.key_queues.get(k)) {
            Some(turns) if turns.queue.contains(&id) => {
                turns.queue.front() == Some(&id) && (open.attempts > 0 || self.now >= turns.blocked_until)
            }
            _ => true,
        }
    }

    /// Gives the turn to the next request of a key, once the one before it is over and answered.
    pub(super) fn advance_key(&mut self, key: Option<&OrderKey>, out: &mut Vec<Action>) {
        let next = key.and_then(|key| self.next_for_key(key)).filter(|&id| self.has_turn(id));
        next.into_iter().for_each(|id| self.place(id, out));
    }
}
