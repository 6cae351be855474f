//! Debt and its drain (see `EngineState::debt`), thread limits and memory grants of engines. The same limits
//! exist for the whole fleet: with many gateways, a gateway's share of a single engine is too small to be
//! meaningful.

use super::*;

impl Gateway {
    /// The work that the fleet does for this gateway per microsecond.
    pub(super) fn fleet_drain_rate(&self) -> f64 {
        let slowdown = self.slowdown.blended_with(INITIAL_THREADS_PER_CORE, FLEET_PRIOR_SAMPLES).max(1.0);
        (self.held_resources().0.max(self.usable_cores * self.threads_per_core) / slowdown).max(0.01)
    }

    /// Whether this gateway's share of the fleet is in use. The fleet needs a limit because many gateways
    /// that each start one query on every engine would overload all of them. One query may always run, and
    /// the last one may exceed the limit. The limit grows with a query's worth density: otherwise one heavy
    /// query would make the gateway refuse all light ones for a long time.
    pub(super) fn fleet_is_full(&self, request: &Request) -> bool {
        let (held_threads, held_memory_mb) = self.held_resources();
        let factor = clamp_finite(
            self.worth_density(request) / self.mean_worth_density(),
            FLEET_LIMIT_FACTORS[0],
            FLEET_LIMIT_FACTORS[1],
        );
        let memory_limit_mb = self.usable_memory_mb
            * FLEET_MEMORY_FRACTION
            * (self.threads_per_core / INITIAL_THREADS_PER_CORE).max(1.0);
        let short_of_memory =
            self.settings.grants && memory_limit_mb > 0.0 && held_memory_mb >= memory_limit_mb * factor;
        held_threads > 0.0
            && (short_of_memory || held_threads >= self.usable_cores * self.threads_per_core * factor)
    }

    /// How long a request has to wait until the fleet is no longer full, in microseconds.
    pub(super) fn fleet_wait(&self, open: &OpenRequest) -> f64 {
        if !self.fleet_is_full(&open.request) {
            return 0.0;
        }
        self.engines.values().map(|state| self.work_ahead(open, state)).sum::<f64>() / self.fleet_drain_rate()
    }

    /// A class's fraction of the recently demanded work, by which the drain is split among the classes.
    pub(super) fn demand_share(&self, class: usize) -> f64 {
        let total: f64 = self.class_stats.iter().map(|stats| stats.demanded_work).sum();
        (self.class_stats[class].demanded_work / total.max(1.0)).max(MIN_DEMAND_SHARE)
    }

    /// The fraction of the fleet's capacity that this gateway may use: an even share unless the host assigns
    /// one.
    pub(super) fn fleet_share(&self) -> f64 {
        self.assigned_share.unwrap_or(self.even_share())
    }

    pub(super) fn even_share(&self) -> f64 {
        1.0 / f64::from(self.settings.gateways.max(1))
    }

    /// The speed of an engine relative to the median engine, reduced while it is cold.
    pub(super) fn relative_speed(&self, state: &EngineState) -> f64 {
        let median = self.median_slowdown;
        let speed = clamp_finite(median / state.slowdown.blended_with(median, PRIOR_SAMPLES), 0.05, 1.0);
        speed * self.capacity_fraction(state)
    }

    /// The capacity that an engine is sure to have, as a fraction of its capacity when warm: 1 unless it is
    /// cold.
    pub(super) fn capacity_fraction(&self, state: &EngineState) -> f64 {
        let initial = clamp_finite(self.settings.cold_capacity, 0.05, 1.0);
        self.warm_up_progress(state)
            .map_or(1.0, |progress| initial + (1.0 - initial) * COLD_WARM_UP_FRACTION * progress)
    }

    /// Computes what all decisions on an event need: the median slowdown, and the cores and memory of the
    /// fleet that this gateway may use.
    pub(super) fn refresh_fleet_totals(&mut self) {
        let slowdowns = self.engines.values().filter_map(|state| state.slowdown.value());
        self.median_slowdown = median(slowdowns).unwrap_or(1.0).max(0.1);
        let usable = self.engines.values().filter(|state| state.is_usable());
        let cores = usable.map(|state| self.cores(state) * self.relative_speed(state)).sum::<f64>();
        self.usable_cores = cores * self.fleet_share() * self.share_boost();
        let up = self.engines.values().filter(|state| state.entry.listed == Listed::Up);
        let memory_mb = up.map(|state| self.memory_mb(state)).sum::<f64>();
        self.usable_memory_mb = memory_mb * self.fleet_share() * self.share_boost();
    }

    /// The factor by which this gateway may exceed its share: load reports below the limit show that other
    /// gateways leave part of their shares unused.
    fn share_boost(&self) -> f64 {
        if self.settings.load_reports == LoadReports::None || self.mean_load == 0.0 {
            return 1.0;
        }
        1.0 + MAX_SHARE_BOOST * (1.0 - self.mean_load / SHARE_BOOST_END_LOAD).max(0.0)
    }

    /// This gateway's share of an engine. It has room for at least one query of any class, since the fleet's
    /// limit already enforces the share.
    fn engine_share(&self, state: &EngineState) -> f64 {
        self.fleet_share().max((self.max_query_threads() / self.cores(state)).min(1.0))
    }

    /// The work that an engine does for this gateway per microsecond.
    pub(super) fn drain_rate(&self, state: &EngineState) -> f64 {
        let share = (self.engine_share(state) * state.threads_per_core / INITIAL_THREADS_PER_CORE).min(1.0);
        (self.cores(state) * share * self.relative_speed(state)).max(0.01)
    }

    fn thread_limit(&self, state: &EngineState) -> f64 {
        self.cores(state) * self.engine_share(state) * state.threads_per_core * self.capacity_fraction(state)
    }

    /// Reduces the debts of an engine by what has drained since the last call, split by demand among the
    /// classes that have debt.
    pub(super) fn drain_debt(&mut self, engine: EngineId) {
        let Some(state) = self.engines.get(&engine) else { return };
        let amount = self.drain_rate(state) * (self.now - state.drained_at) as f64;
        let shares: Vec<f64> = (0..state.debt.len()).map(|class| self.demand_share(class)).collect();
        let state = self.engines.get_mut(&engine).expect("looked up above");
        let in_debt = shares.iter().zip(&state.debt).filter(|(_, &debt)| debt > 0.0);
        let total: f64 = in_debt.map(|(share, _)| share).sum();
        for (class, debt) in state.debt.iter_mut().enumerate() {
            let remaining = *debt - amount * shares[class] / total.max(MIN_DEMAND_SHARE);
            *debt = remaining.max(UNFINISHED_DEBT_FRACTION * state.unfinished_work[class]).max(0.0);
        }
        state.drained_at = self.now;
        state.abandoned.retain(|&(until, ..)| until > self.now);
    }

    /// Whether a query fits the engine's thread limit. If this gateway holds no threads there, one query
    /// always does.
    pub(super) fn fits_thread_limit(&self, state: &EngineState, threads: f64) -> bool {
        let held = state.held_resources().0;
        held == 0.0 || held + threads <= self.thread_limit(state)
    }

    /// Whether a memory grant fits this gateway's share of the engine's memory.
    pub(super) fn has_memory(&self, state: &EngineState, grant: f64) -> bool {
        let total = self.memory_mb(state);
        let limit_factor = (state.threads_per_core / INITIAL_THREADS_PER_CORE).max(1.0);
        let share = (self.engine_share(state) * limit_factor).min(1.0);
        let unlimited = total <= 0.0 || state.threads == 0.0 || !self.settings.grants;
        unlimited || state.held_resources().1 + grant <= total * share
    }

    /// The memory to grant to a query: enough for most queries of its class with the same estimate.
    pub(super) fn memory_grant(&self, request: &Request, state: &EngineState) -> f64 {
        let total = self.memory_mb(state);
        let cap = clamp_finite(self.settings.grant_cap, 0.01, 1.0);
        let max_grant = if total > 0.0 { total * cap } else { 1e9 };
        let ratio = self.class_stats[request.class.0].log_grant_ratio.exp();
        clamp_finite(request.memory_mb * ratio, 0.0, max_grant)
    }

    /// Adjusts the thread limits of the fleet and of an engine, each by its own slowdown: a limit that was
    /// reached is raised while queries take little longer than at best, and any limit is cut while they take
    /// much longer.
    pub(super) fn adjust_thread_limits(&mut self, engine: EngineId) {
        let (now, best) = (self.now, self.best_slowdown);
        let max_limit = MAX_THREADS_PER_CORE / self.fleet_share();
        let adjust = |limit: &mut f64, slowdown: f64, reached: &mut bool, checked_at: &mut Micros| {
            if now < *checked_at + LIMIT_INTERVAL_US {
                return;
            }
            if slowdown < RAISE_LIMIT_BELOW * best && *reached {
                *limit = (*limit * LIMIT_RAISE_FACTOR).min(max_limit);
            } else if slowdown > CUT_LIMIT_ABOVE * best {
                let factor = CUT_LIMIT_ABOVE * best / slowdown;
                let factor = factor.clamp(MIN_LIMIT_CUT_FACTOR, MAX_LIMIT_CUT_FACTOR);
                *limit = (*limit * factor).max(MIN_THREADS_PER_CORE);
            }
            *checked_at = now;
            *reached = false;
        };
        let fleet_slowdown = self.slowdown.value().unwrap_or(1.0);
        adjust(
            &mut self.threads_per_core,
            fleet_slowdown,
            &mut self.limit_reached,
            &mut self.limit_checked_at,
        );
        let Some(state) = self.engines.get_mut(&engine) else { return };
        let slowdown = state.slowdown.blended_with(fleet_slowdown, PRIOR_SAMPLES / 2.0);
        adjust(&mut state.threads_per_core, slowdown, &mut state.limit_reached, &mut state.limit_checked_at);
    }
}
