//! Debt and its drain, the thread bound, memory; of the whole fleet too: a part of one engine says little
//! where gateways are many.

use super::*;

impl Gateway {
    pub(super) fn fleet_drain_rate(&self) -> f64 {
        let slow = self.slowdown.blended_with(THREADS_PER_CORE, 3.0).max(1.0);
        (self.held_resources().0.max(self.usable_cores * self.threads_per_core) / slow).max(0.01)
    }

    /// Many gateways that each may start one query on every engine would flood all of them: what runs
    /// anywhere is bounded by the share of the fleet. One query may always run, and one may reach over. What
    /// earns more for its work reaches further: else one heavy query would turn away all light ones for long.
    pub(super) fn fleet_is_full(&self, request: &Request) -> bool {
        let held = self.held_resources();
        let reach = clamp_finite(self.worth_density(request) / self.mean_density(), REACH[0], REACH[1]);
        let memory = self.usable_memory * MEMORY_PART * (self.threads_per_core / THREADS_PER_CORE).max(1.0);
        let short = self.settings.grants && memory > 0.0 && held.1 >= memory * reach;
        held.0 > 0.0 && (short || held.0 >= self.usable_cores * self.threads_per_core * reach)
    }

    pub(super) fn fleet_wait(&self, open: &OpenRequest) -> f64 {
        if !self.fleet_is_full(&open.request) {
            return 0.0;
        }
        self.engines.values().map(|state| self.work_ahead(open, state)).sum::<f64>() / self.fleet_drain_rate()
    }

    /// A class's part of the drain, by its recent use.
    pub(super) fn demand_share(&self, class: usize) -> f64 {
        let all: f64 = self.class_stats.iter().map(|l| l.demanded_work).sum();
        (self.class_stats[class].demanded_work / all.max(1.0)).max(LEAST_USE)
    }

    /// This gateway's part of the fleet, as it is told; even where nobody tells.
    pub(super) fn fleet_share(&self) -> f64 {
        self.assigned_share.unwrap_or(self.even_share())
    }

    pub(super) fn even_share(&self) -> f64 {
        1.0 / f64::from(self.settings.gateways.max(1))
    }

    /// How far an engine keeps up with its peers, and with its own warm self.
    pub(super) fn relative_speed(&self, state: &EngineState) -> f64 {
        clamp_finite(
            self.median_slowdown / state.slowdown.blended_with(self.median_slowdown, LEAN),
            0.05,
            1.0,
        ) * self.warm_capacity(state)
    }

    /// What a cold engine can do for sure, against a warm one.
    pub(super) fn warm_capacity(&self, state: &EngineState) -> f64 {
        let least = clamp_finite(self.settings.cold_capacity, 0.05, 1.0);
        self.warm_up_progress(state).map_or(1.0, |age| least + (1.0 - least) * COLD_RAMP * age)
    }

    /// Once for each event, what all choices share: usual slowness, and an even share of cores and memory.
    pub(super) fn refresh_fleet_totals(&mut self) {
        self.median_slowdown =
            median(self.engines.values().filter_map(|state| state.slowdown.value())).unwrap_or(1.0).max(0.1);
        let used = self.engines.values().filter(|state| state.is_usable());
        self.usable_cores = used.map(|state| self.cores(state) * self.relative_speed(state)).sum::<f64>()
            * self.fleet_share()
            * self.share_boost();
        let up = self.engines.values().filter(|state| state.entry.listed == Listed::Up);
        self.usable_memory =
            up.map(|state| self.memory(state)).sum::<f64>() * self.fleet_share() * self.share_boost();
    }

    /// Where engines report room, others leave some of their shares: this gateway may take more than its own.
    fn share_boost(&self) -> f64 {
        if self.settings.load_reports == LoadReports::None || self.mean_load == 0.0 {
            return 1.0;
        }
        1.0 + LIFT * (1.0 - self.mean_load / ROOM).max(0.0)
    }

    /// This gateway's part of an engine: at least the widest query, since the fleet's bound is the share.
    fn engine_share(&self, state: &EngineState) -> f64 {
        self.fleet_share().max((self.max_query_threads() / self.cores(state)).min(1.0))
    }

    /// Work an engine does for this gateway in a microsecond.
    pub(super) fn drain_rate(&self, state: &EngineState) -> f64 {
        let part = (self.engine_share(state) * state.threads_per_core / THREADS_PER_CORE).min(1.0);
        (self.cores(state) * part * self.relative_speed(state)).max(0.01)
    }

    fn thread_limit(&self, state: &EngineState) -> f64 {
        self.cores(state) * self.engine_share(state) * state.threads_per_core * self.warm_capacity(state)
    }

    /// Lowers the debts of an engine by what has drained, split by use among the buckets that hold any.
    pub(super) fn drain_debt(&mut self, engine: EngineId) {
        let Some(state) = self.engines.get(&engine) else { return };
        let amount = self.drain_rate(state) * (self.now - state.drained_at) as f64;
        let uses: Vec<f64> = (0..state.debt.len()).map(|c| self.demand_share(c)).collect();
        let state = self.engines.get_mut(&engine).expect("looked up above");
        let all: f64 = uses.iter().zip(&state.debt).filter(|(_, &d)| d > 0.0).map(|(u, _)| u).sum();
        for (class, debt) in state.debt.iter_mut().enumerate() {
            let drained = *debt - amount * uses[class] / all.max(LEAST_USE);
            *debt = drained.max(STANDING * state.unfinished_work[class]).max(0.0);
        }
        state.drained_at = self.now;
        state.abandoned.retain(|g| g.0 > self.now);
    }

    /// Room under the thread bound; where this gateway runs nothing, one query may start.
    pub(super) fn fits_thread_limit(&self, state: &EngineState, threads: f64) -> bool {
        let held = state.held_resources().0;
        held == 0.0 || held + threads <= self.thread_limit(state)
    }

    pub(super) fn has_memory(&self, state: &EngineState, grant: f64) -> bool {
        let all = self.memory(state);
        let part = (self.engine_share(state) * (state.threads_per_core / THREADS_PER_CORE).max(1.0)).min(1.0);
        let free = all <= 0.0 || state.threads == 0.0 || !self.settings.grants;
        free || state.held_resources().1 + grant <= all * part
    }

    /// Memory for a query: what covers most needs of its class at this estimate.
    pub(super) fn memory_grant(&self, request: &Request, state: &EngineState) -> f64 {
        let all = self.memory(state);
        let most = if all > 0.0 { all * clamp_finite(self.settings.grant_cap, 0.01, 1.0) } else { 1e9 };
        clamp_finite(request.memory_mb * self.class_stats[request.class.0].log_grant_ratio.exp(), 0.0, most)
    }

    /// Widens the bounds while queries take little longer than at best, else cuts: each by its own slowness.
    pub(super) fn adjust_thread_limits(&mut self, engine: EngineId) {
        let (now, best) = (self.now, self.best_slowdown);
        let most = WIDEST / self.fleet_share();
        let step = |width: &mut f64, slow: f64, limit_reached: &mut bool, limit_changed_at: &mut Micros| {
            if now < *limit_changed_at + STEP_EVERY {
                return;
            }
            if slow < WIDEN_UNDER * best && *limit_reached {
                *width = (*width * WIDEN).min(most);
            } else if slow > CUT_OVER * best {
                *width = (*width * (CUT_OVER * best / slow).clamp(CUT_MOST, CUT)).max(NARROWEST);
            }
            *limit_changed_at = now;
            *limit_reached = false;
        };
        let usual = self.slowdown.value().unwrap_or(1.0);
        step(&mut self.threads_per_core, usual, &mut self.limit_reached, &mut self.limit_changed_at);
        let Some(state) = self.engines.get_mut(&engine) else { return };
        let slow = state.slowdown.blended_with(usual, LEAN / 2.0);
        step(&mut state.threads_per_core, slow, &mut state.limit_reached, &mut state.limit_changed_at);
    }
}
