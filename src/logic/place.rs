//! Where a request waits: choosing its engine, the engines' lines, and the load that engines report.

use super::*;

impl Gateway {
    /// Finds an engine's line for a request that has its turn; ends it at once if none passes.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Whoever waits is looked at once a tick: what is due before the next one would get no answer.
        let next_tick = self.now + WATCH + self.settings.quantum;
        if self.open_requests.get(&id).is_some_and(|o| o.request.deadline <= next_tick) {
            return self.end_unserved(id, out);
        }
        if !self.has_turn(id) {
            return;
        }
        if let Some(engine) = self.engine_to_try(id) {
            self.join_queue(id, engine);
            self.quarantine_mut(engine).into_iter().for_each(|quarantine| {
                (quarantine.accepts_trial, quarantine.trial_request) = (false, Some(id))
            });
            return self.send(id, engine, out);
        }
        let Some(engine) = self.choose_engine(id) else {
            self.limit_reached |= self.open_requests.get(&id).is_some_and(|o| self.fleet_is_full(&o.request));
            return self.end_unserved(id, out);
        };
        self.join_queue(id, engine);
        self.start_queued(engine, out);
    }

    /// The passing engine with the least debt against its drain, with the reading that it would cost where it
    /// is not warm for the group. A hash that all gateways share breaks ties.
    fn choose_engine(&mut self, id: RequestId) -> Option<EngineId> {
        self.engines
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|engine| self.drain_debt(engine));
        let dice = self.next_random();
        let open = self.open_requests.get(&id)?;
        let fleet_wait = self.fleet_wait(open);
        let dear = self.settings.prices.cross_zone * self.mean_worth() / self.class(&open.request).worth;
        let crossing = clamp_finite(CROSSING * dear, 0.0, 1e3);
        let mut homes = self.usable_engines();
        homes.sort_by_cached_key(|id| mix_bits(open.request.group.0 ^ mix_bits(id.0)));
        // A load at home would hold up all that waits for it; where no load is told, homes would overflow.
        let class = self.class(&open.request);
        let blind = self.settings.load_reports == LoadReports::None;
        homes.truncate(if blind || class.is_load || class.waits_for_loads { 0 } else { HOMES });
        let mut best: Option<(bool, f64, u64, EngineId)> = None;
        for (&engine, state) in &self.engines {
            if state.quarantine.is_some()
                || self.check_dispatch(id, engine) == Verdict::NotHere
                || !self.admits(open, state, fleet_wait)
            {
                continue;
            }
            let group = open.request.group;
            let (own, home) = (state.warm_groups.contains(&group), homes.contains(&engine));
            let warm = [
                if own { self.fleet_share() } else { 0.0 },
                if home { 1.0 - self.fleet_share() } else { 0.0 },
            ];
            let read = 1.0 + COLD_READ * (1.0 - warm[0] - warm[1]);
            let debt = state.total_debt() + read * self.predicted_work(&open.request, Some(state));
            let blocked = if self.is_blocked_by_load(open, engine) { 2.0 } else { 1.0 };
            let spread = 1.0 + SPREAD * (1.0 - self.fleet_share()) * unit_fraction(mix_bits(dice ^ engine.0));
            let away = if state.entry.zone == self.settings.zone { 1.0 } else { 1.0 + crossing };
            let score =
                away * spread * blocked * debt * self.foreign_load_factor(state) / self.drain_rate(state);
            let rank =
                (open.last_failed_on == Some(engine), score, mix_bits(group.0 ^ mix_bits(engine.0)), engine);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.map(|b| b.3)
    }

    /// Debt fits its bucket and the query can finish by its goal; on an idle engine, by its deadline.
    fn admits(&self, open: &OpenRequest, state: &EngineState, fleet_wait: f64) -> bool {
        let request = &open.request;
        let class = request.class.0;
        let cost = self.predicted_work(request, Some(state));
        let threads = self.threads(request);
        let run = cost / threads / self.relative_speed(state) * self.slowdown.blended_with(1.0, 3.0).max(1.0);
        if fleet_wait == 0.0
            && state.threads == 0.0
            && state.queue.is_empty()
            && state.debt.iter().all(|&d| d <= 0.0)
        {
            return run < request.deadline.saturating_sub(self.now) as f64;
        }
        let reserve = request.pin.is_some_and(|p| p.uses_reserve);
        let soft_deadline =
            if self.now < open.soft_deadline && !reserve { open.soft_deadline } else { request.deadline };
        let slack = soft_deadline.saturating_sub(self.now) as f64;
        let rate = self.drain_rate(state);
        let free = self.fits_thread_limit(state, threads) && state.queue.is_empty();
        let wait = if free { fleet_wait } else { fleet_wait.max(self.work_ahead(open, state) / rate) };
        let costliest = self.class_stats.iter().filter_map(|l| l.mean_work.value()).fold(1.0, f64::max);
        let depth = (DEPTH * rate * self.demand_share(class) * slack).max(costliest);
        let depth = if open.over_quota { depth * OVER_SHARE_DEPTH } else { depth };
        let shared = if fleet_wait > 0.0 { self.fleet_debt() / self.fleet_drain_rate() } else { 0.0 };
        let backlog = shared.max(state.total_debt() / rate);
        let pinch = (self.worth_density(request) / self.mean_density()).powf(PINCH);
        let pinched = wait > 0.0 && pinch < 1.0 && backlog > slack * pinch;
        (reserve || state.debt[class] + cost <= depth && !pinched) && wait + run <= slack
    }

    /// Work before a request in an engine's line, and half of what runs there.
    pub(super) fn work_ahead(&self, open: &OpenRequest, state: &EngineState) -> f64 {
        let before = state.queue.range(..(open.soft_deadline, open.request.id));
        let line: f64 = before.filter_map(|(_, id)| self.open_requests.get(id)).map(|o| o.charged_work).sum();
        line + STANDING * (state.unfinished_work.iter().sum::<f64>() - state.queued_work).max(0.0)
    }

    /// Others' work, by the load that an engine reported; an old report fades into what is usual.
    fn foreign_load_factor(&self, state: &EngineState) -> f64 {
        // A cold engine that has told nothing yet gets turns only: it draws them, or would stand idle.
        let unheard = if self.is_cold(state) { 0.0 } else { self.mean_load };
        let Some((load, at)) = state.reported_load else { return 1.0 + OTHERS * unheard };
        let fresh = (-((self.now - at) as f64) / REPORT_FADES).exp();
        1.0 + OTHERS * (self.mean_load + (load - self.mean_load) * fresh) * (1.0 - self.fleet_share())
    }

    /// Keeps the load that an engine reports: the busiest of its cores, its disks and its threads against the
    /// bound. What is in flight shows how far a busy engine is overrun; shares end at 1.
    pub(super) fn record_load(&mut self, engine: EngineId, load: Load) {
        let threads = self.mean_threads();
        let Some(state) = self.engines.get(&engine) else { return };
        let running = load.in_flight.map(|n| n * threads / (self.cores(state) * THREADS_PER_CORE));
        let most = [load.cores, load.disks, running].into_iter().flatten().fold(f64::NAN, f64::max);
        if most.is_nan() {
            return;
        }
        let told = clamp_finite(most, 0.0, FULL_LOAD);
        self.mean_load += FLEET_SAMPLE * (told - self.mean_load);
        self.engines.get_mut(&engine).expect("looked up above").reported_load = Some((told, self.now));
    }

    /// Where load comes with probes alone, each request pays for one, to the engine not heard of for longest.
    pub(super) fn probe_for_load(&mut self, out: &mut Vec<Action>) {
        if !self.settings.may_probe || self.settings.load_reports != LoadReports::WithProbes {
            return;
        }
        let up = self.engines.iter_mut().filter(|(_, state)| state.is_usable() && !state.probe_in_flight);
        let oldest = up.min_by_key(|(id, state)| {
            (state.reported_load.map(|l| l.1), mix_bits(id.0 ^ mix_bits(self.settings.own_id.0)))
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
        let cost = self.predicted_work(&open.request, Some(state));
        self.enqueue(id, engine, cost);
    }

    /// Starts what may start on an engine, earliest deadline first.
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
            let full = self.fleet_is_full(&open.request);
            let room = self.fits_thread_limit(state, threads) && self.has_memory(state, grant) && !full;
            self.limit_reached |= full;
            if !room || self.check_dispatch(id, engine) == Verdict::NotNow {
                self.engines.get_mut(&engine).expect("looked up above").limit_reached = true;
                return;
            }
            self.send(id, engine, out);
        }
    }

    /// An engine with room and nothing waiting takes over the most urgent request that waits elsewhere.
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

    /// Places again what waits for an engine that it may not go to any more.
    pub(super) fn requeue_disallowed(&mut self, out: &mut Vec<Action>) {
        let waiting: Vec<(EngineId, RequestId)> = self
            .engines
            .iter()
            .flat_map(|(&engine, state)| state.queue.iter().map(move |l| (engine, l.1)))
            .collect();
        for (engine, id) in waiting {
            if self.check_dispatch(id, engine) == Verdict::NotHere {
                self.dequeue(id);
                self.place(id, out);
            }
        }
    }

    /// Places again all that waits for an engine that is not to be used.
    pub(super) fn requeue_all(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let line = self.engines.get(&engine).map(|state| state.queue.clone()).unwrap_or_default();
        for (_, id) in line {
            self.dequeue(id);
            self.place(id, out);
        }
    }

    /// Ends what waits and can no longer be served in time; attempts out have a time-out of their own.
    pub(super) fn end_hopeless(&mut self, out: &mut Vec<Action>) {
        let next_tick = self.now + WATCH + self.settings.quantum;
        let hopeless = |o: &OpenRequest| {
            let class = self.class(&o.request);
            let run = self.predicted_work(&o.request, None) / self.threads(&o.request);
            let end = if class.late_worth > 0.0 { o.request.deadline } else { o.soft_deadline };
            o.waits() && (o.request.deadline <= next_tick || self.now as f64 + run > end as f64)
        };
        let ended: Vec<_> =
            self.open_requests.iter().filter(|(_, o)| hopeless(o)).map(|(&id, _)| id).collect();
        ended.into_iter().for_each(|id| self.end_unserved(id, out));
        // What is late in its line moves behind: in the order of deadlines it would make the rest late.
        self.demote_late();
    }
}
