//! The choice of an engine, the engines' queues and the load that engines report.

use super::*;

impl Gateway {
    /// Puts a request whose order key has its turn into the queue of an engine, or ends it if no engine can
    /// take it.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Waiting requests are only checked by ticks: one that is due before the next tick would get no
        // answer.
        let next_tick = self.now + IDLE_TICK_US + self.settings.quantum;
        if self.open_requests.get(&id).is_some_and(|o| o.request.deadline <= next_tick) {
            return self.end_unserved(id, out);
        }
        if !self.has_turn(id) {
            return;
        }
        if let Some(engine) = self.engine_to_try(id) {
            self.join_queue(id, engine);
            if let Some(quarantine) = self.quarantine_mut(engine) {
                (quarantine.accepts_trial, quarantine.trial_request) = (false, Some(id));
            }
            return self.send(id, engine, out);
        }
        let Some(engine) = self.choose_engine(id) else {
            self.limit_reached |= self.open_requests.get(&id).is_some_and(|o| self.fleet_is_full(&o.request));
            return self.end_unserved(id, out);
        };
        self.join_queue(id, engine);
        self.start_queued(engine, out);
    }

    /// Of the engines that may take the request, the one with the smallest debt relative to its drain rate.
    /// The debt includes the request and the cost of reading its group of tables where that is not warm. Ties
    /// are broken by a hash that all gateways share.
    fn choose_engine(&mut self, id: RequestId) -> Option<EngineId> {
        let engines: Vec<EngineId> = self.engines.keys().copied().collect();
        engines.into_iter().for_each(|engine| self.drain_debt(engine));
        let random = self.next_random();
        let open = self.open_requests.get(&id)?;
        let fleet_wait = self.fleet_wait(open);
        let relative_price =
            self.settings.prices.cross_zone * self.mean_worth() / self.class(&open.request).worth;
        let cross_zone_cost = clamp_finite(CROSS_ZONE_WEIGHT * relative_price, 0.0, 1e3);
        let mut homes = self.usable_engines();
        homes.sort_by_cached_key(|id| mix_bits(open.request.group.0 ^ mix_bits(id.0)));
        // A request that loads data would delay, on a home engine, all queries of its group that wait for it.
        // Without load reports the home engines would be overloaded.
        let class = self.class(&open.request);
        let no_reports = self.settings.load_reports == LoadReports::None;
        let ignores_homes = no_reports || class.is_load || class.waits_for_loads;
        homes.truncate(if ignores_homes { 0 } else { HOME_ENGINES });
        let mut best: Option<(bool, f64, u64, EngineId)> = None;
        for (&engine, state) in &self.engines {
            if state.quarantine.is_some()
                || self.check_dispatch(id, engine) == Verdict::NotHere
                || !self.admits(open, state, fleet_wait)
            {
                continue;
            }
            let group = open.request.group;
            // How likely the group is warm here: this gateway has read it here, or other gateways have
            // because this is one of the group's home engines.
            let (read_here, is_home) = (state.warm_groups.contains(&group), homes.contains(&engine));
            let warm_by_own = if read_here { self.fleet_share() } else { 0.0 };
            let warm_by_others = if is_home { 1.0 - self.fleet_share() } else { 0.0 };
            let read_factor = 1.0 + COLD_READ_COST * (1.0 - warm_by_own - warm_by_others);
            let debt = state.total_debt() + read_factor * self.predicted_work(&open.request, Some(state));
            let blocked_factor = if self.is_blocked_by_load(open, engine) { 2.0 } else { 1.0 };
            let random_factor =
                1.0 + RANDOM_SPREAD * (1.0 - self.fleet_share()) * unit_fraction(mix_bits(random ^ engine.0));
            let zone_factor =
                if state.entry.zone == self.settings.zone { 1.0 } else { 1.0 + cross_zone_cost };
            let score = zone_factor * random_factor * blocked_factor * debt * self.foreign_load_factor(state)
                / self.drain_rate(state);
            let rank =
                (open.last_failed_on == Some(engine), score, mix_bits(group.0 ^ mix_bits(engine.0)), engine);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.map(|b| b.3)
    }

    /// Whether the engine can take the request: its class's debt bucket has room and the query can finish by
    /// its soft deadline. If engine and fleet are idle, or the soft deadline has passed, the hard deadline
    /// counts.
    fn admits(&self, open: &OpenRequest, state: &EngineState, fleet_wait: f64) -> bool {
        let request = &open.request;
        let class = request.class.0;
        let work = self.predicted_work(request, Some(state));
        let threads = self.threads(request);
        let run_time = work / threads / self.relative_speed(state)
            * self.slowdown.blended_with(1.0, FLEET_PRIOR_SAMPLES).max(1.0);
        if fleet_wait == 0.0
            && state.threads == 0.0
            && state.queue.is_empty()
            && state.debt.iter().all(|&d| d <= 0.0)
        {
            return run_time < request.deadline.saturating_sub(self.now) as f64;
        }
        let uses_reserve = request.pin.is_some_and(|p| p.uses_reserve);
        let soft_deadline_counts = self.now < open.soft_deadline && !uses_reserve;
        let deadline = if soft_deadline_counts { open.soft_deadline } else { request.deadline };
        let slack = deadline.saturating_sub(self.now) as f64;
        let rate = self.drain_rate(state);
        let starts_at_once = self.fits_thread_limit(state, threads) && state.queue.is_empty();
        let engine_wait = if starts_at_once { 0.0 } else { self.work_ahead(open, state) / rate };
        let wait = if starts_at_once { fleet_wait } else { fleet_wait.max(engine_wait) };
        let mean_work = self.class_stats.iter().filter_map(|stats| stats.mean_work.value());
        let largest_work = mean_work.fold(1.0, f64::max);
        let depth = (DEBT_DEPTH * rate * self.demand_share(class) * slack).max(largest_work);
        let depth = if open.over_quota { depth * OVER_QUOTA_DEPTH_FRACTION } else { depth };
        let fleet_backlog = if fleet_wait > 0.0 { self.fleet_debt() / self.fleet_drain_rate() } else { 0.0 };
        let backlog = fleet_backlog.max(state.total_debt() / rate);
        // A query of little worth for its work is only admitted while the backlog is short.
        let backlog_factor = (self.worth_density(request) / self.mean_worth_density()).powf(BACKLOG_EXPONENT);
        let outranked = wait > 0.0 && backlog_factor < 1.0 && backlog > slack * backlog_factor;
        let fits_debt = state.debt[class] + work <= depth && !outranked;
        (uses_reserve || fits_debt) && wait + run_time <= slack
    }

    /// The work before a request in an engine's queue, and the part of the work in flight there that is
    /// assumed to be left.
    pub(super) fn work_ahead(&self, open: &OpenRequest, state: &EngineState) -> f64 {
        let before = state.queue.range(..(open.soft_deadline, open.request.id));
        let queued: f64 =
            before.filter_map(|(_, id)| self.open_requests.get(id)).map(|o| o.charged_work).sum();
        let in_flight = (state.unfinished_work.iter().sum::<f64>() - state.queued_work).max(0.0);
        queued + UNFINISHED_DEBT_FRACTION * in_flight
    }

    /// The factor on an engine's score for the work of other gateways, by the load that it reported. An old
    /// report decays towards the mean load.
    fn foreign_load_factor(&self, state: &EngineState) -> f64 {
        // A cold engine gets requests only in turns. Until it reports it counts as idle, so that it gets
        // them.
        let default = if self.is_cold(state) { 0.0 } else { self.mean_load };
        let Some((load, at)) = state.reported_load else { return 1.0 + REPORTED_LOAD_WEIGHT * default };
        let freshness = (-((self.now - at) as f64) / REPORT_DECAY_US).exp();
        let load = self.mean_load + (load - self.mean_load) * freshness;
        1.0 + REPORTED_LOAD_WEIGHT * load * (1.0 - self.fleet_share())
    }

    /// Records the load that an engine reports: the largest of its cores, its disks and its threads relative
    /// to the thread limit. Only the threads show how far an engine is overloaded, since the others end at 1.
    pub(super) fn record_load(&mut self, engine: EngineId, load: Load) {
        let threads = self.mean_threads();
        let Some(state) = self.engines.get(&engine) else { return };
        let running = load.in_flight.map(|n| n * threads / (self.cores(state) * INITIAL_THREADS_PER_CORE));
        let largest = [load.cores, load.disks, running].into_iter().flatten().fold(f64::NAN, f64::max);
        if largest.is_nan() {
            return;
        }
        let load = clamp_finite(largest, 0.0, FULL_LOAD);
        self.mean_load += FLEET_SAMPLE_WEIGHT * (load - self.mean_load);
        self.engines.get_mut(&engine).expect("looked up above").reported_load = Some((load, self.now));
    }

    /// Where only probes carry load reports, sends one for each request, to the engine with the oldest
    /// report.
    pub(super) fn probe_for_load(&mut self, out: &mut Vec<Action>) {
        if !self.settings.may_probe || self.settings.load_reports != LoadReports::WithProbes {
            return;
        }
        let candidates =
            self.engines.iter_mut().filter(|(_, state)| state.is_usable() && !state.probe_in_flight);
        let oldest = candidates.min_by_key(|(id, state)| {
            let reported_at = state.reported_load.map(|(_, at)| at);
            (reported_at, mix_bits(id.0 ^ mix_bits(self.settings.own_id.0)))
        });
        if let Some((&engine, state)) = oldest {
            state.probe_in_flight = true;
            out.push(Action::Probe(engine));
        }
    }

    pub(super) fn join_queue(&mut self, id: RequestId, engine: EngineId) {
        let (Some(open), Some(state)) = (self.open_requests.get(&id), self.engines.get(&engine)) else {
            return;
        };
        let work = self.predicted_work(&open.request, Some(state));
        self.enqueue(id, engine, work);
    }

    /// Starts as many queued requests of an engine as possible, earliest soft deadline first.
    pub(super) fn start_queued(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        self.drain_debt(engine);
        loop {
            let Some(state) = self.engines.get(&engine) else { return };
            let Some(&(_, id)) = state.queue.first() else { return };
            let Some(open) = self.open_requests.get(&id) else { return };
            if self.check_dispatch(id, engine) == Verdict::NotHere {
                self.dequeue(id);
                self.place(id, out);
                continue;
            }
            let threads = self.threads(&open.request);
            let grant = self.memory_grant(&open.request, state);
            let fleet_full = self.fleet_is_full(&open.request);
            let has_room =
                self.fits_thread_limit(state, threads) && self.has_memory(state, grant) && !fleet_full;
            self.limit_reached |= fleet_full;
            if !has_room || self.check_dispatch(id, engine) == Verdict::NotNow {
                self.engines.get_mut(&engine).expect("looked up above").limit_reached = true;
                return;
            }
            self.send(id, engine, out);
        }
    }

    /// Moves the queued request with the earliest soft deadline to an engine that has room and an empty
    /// queue.
    pub(super) fn steal_work(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let Some(state) = self.engines.get(&engine) else { return };
        if !state.queue.is_empty() || !self.fits_thread_limit(state, 1.0) || !state.is_usable() {
            return;
        }
        let heads = self.engines.values().filter_map(|other| other.queue.first().copied());
        let movable = heads.filter(|&(_, id)| {
            let open = &self.open_requests[&id];
            self.fits_thread_limit(state, self.threads(&open.request))
                && !self.fleet_is_full(&open.request)
                && self.has_memory(state, self.memory_grant(&open.request, state))
                && self.check_dispatch(id, engine) == Verdict::Allow
                && open.last_failed_on != Some(engine)
                && !self.is_blocked_by_load(open, engine)
        });
        if let Some((_, id)) = movable.min() {
            self.dequeue(id);
            self.join_queue(id, engine);
            self.start_queued(engine, out);
        }
    }

    /// Places requests again that are queued for an engine that they may no longer use.
    pub(super) fn requeue_disallowed(&mut self, out: &mut Vec<Action>) {
        let queued_on = |(&engine, state): (&EngineId, &EngineState)| {
            state.queue.iter().map(move |&(_, id)| (engine, id)).collect::<Vec<_>>()
        };
        let queued: Vec<(EngineId, RequestId)> = self.engines.iter().flat_map(queued_on).collect();
        for (engine, id) in queued {
            if self.check_dispatch(id, engine) == Verdict::NotHere {
                self.dequeue(id);
                self.place(id, out);
            }
        }
    }

    /// Places all requests again that are queued for an engine.
    pub(super) fn requeue_all(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let queue = self.engines.get(&engine).map(|state| state.queue.clone()).unwrap_or_default();
        for (_, id) in queue {
            self.dequeue(id);
            self.place(id, out);
        }
    }

    /// Ends waiting requests that can no longer be served in time. Attempts in flight have time-outs of their
    /// own.
    pub(super) fn end_hopeless(&mut self, out: &mut Vec<Action>) {
        let next_tick = self.now + IDLE_TICK_US + self.settings.quantum;
        let is_hopeless = |open: &OpenRequest| {
            let request = &open.request;
            let run_time = self.predicted_work(request, None) / self.threads(request);
            let late_counts = self.class(request).late_worth > 0.0;
            let end = if late_counts { request.deadline } else { open.soft_deadline };
            open.waits() && (request.deadline <= next_tick || self.now as f64 + run_time > end as f64)
        };
        let hopeless = self.open_requests.iter().filter(|(_, open)| is_hopeless(open));
        let hopeless: Vec<RequestId> = hopeless.map(|(&id, _)| id).collect();
        hopeless.into_iter().for_each(|id| self.end_unserved(id, out));
        // Late requests move back in their queues: by their soft deadlines they would delay the others.
        self.demote_late();
    }
}
