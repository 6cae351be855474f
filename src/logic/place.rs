//! Where a request waits: choosing its engine, the engines' lines, and the load that engines report.

use super::*;

impl Gateway {
    /// Finds an engine's line for a request that has its turn; ends it at once if none passes.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Whoever waits is looked at once a tick: what is due before the next one would get no answer.
        let next_tick = self.now + WATCH + self.settings.quantum;
        if self.open.get(&id).is_some_and(|o| o.request.deadline <= next_tick) {
            return self.end(id, out);
        }
        if !self.has_turn(id) {
            return;
        }
        if let Some(engine) = self.trial_for(id) {
            self.join(id, engine);
            self.sick(engine).into_iter().for_each(|sick| (sick.ready, sick.trial) = (false, Some(id)));
            return self.send(id, engine, out);
        }
        let Some(engine) = self.choose(id) else {
            self.pressed |= self.open.get(&id).is_some_and(|o| self.fleet_is_full(&o.request));
            return self.end(id, out);
        };
        self.join(id, engine);
        self.pump(engine, out);
    }

    /// The passing engine with the least debt against its drain, with the reading that it would cost where it
    /// is not warm for the group. A hash that all gateways share breaks ties.
    fn choose(&mut self, id: RequestId) -> Option<EngineId> {
        self.engines.keys().copied().collect::<Vec<_>>().into_iter().for_each(|engine| self.drain(engine));
        let dice = self.draw();
        let open = self.open.get(&id)?;
        let fleet_wait = self.fleet_wait(open);
        let dear = self.settings.prices.cross_zone * self.usual_worth() / self.class(&open.request).worth;
        let crossing = finite(CROSSING * dear, 0.0, 1e3);
        let mut homes = self.well();
        homes.sort_by_cached_key(|id| mix(open.request.group.0 ^ mix(id.0)));
        // A load at home would hold up all that waits for it; where no load is told, homes would overflow.
        let class = self.class(&open.request);
        let blind = self.settings.load_reports == LoadReports::None;
        homes.truncate(if blind || class.is_load || class.waits_for_loads { 0 } else { HOMES });
        let mut best: Option<(bool, f64, u64, EngineId)> = None;
        for (&engine, e) in &self.engines {
            if e.sick.is_some() || self.guard(id, engine) == Leave::No || !self.passes(open, e, fleet_wait) {
                continue;
            }
            let group = open.request.group;
            let (own, home) = (e.warm.contains(&group), homes.contains(&engine));
            let warm = [if own { self.share() } else { 0.0 }, if home { 1.0 - self.share() } else { 0.0 }];
            let read = 1.0 + COLD_READ * (1.0 - warm[0] - warm[1]);
            let debt = e.total_debt() + read * self.cost(&open.request, Some(e));
            let blocked = if self.is_blocked(open, engine) { 2.0 } else { 1.0 };
            let spread = 1.0 + SPREAD * (1.0 - self.share()) * unit(mix(dice ^ engine.0));
            let away = if e.entry.zone == self.settings.zone { 1.0 } else { 1.0 + crossing };
            let score = away * spread * blocked * debt * self.others(e) / self.drain_rate(e);
            let rank = (open.avoid == Some(engine), score, mix(group.0 ^ mix(engine.0)), engine);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.map(|b| b.3)
    }

    /// Debt fits its bucket and the query can finish by its goal; on an idle engine, by its deadline.
    fn passes(&self, open: &Open, e: &Engine, fleet_wait: f64) -> bool {
        let request = &open.request;
        let class = request.class.0;
        let cost = self.cost(request, Some(e));
        let threads = self.threads(request);
        let run = cost / threads / self.speed(e) * self.slow.leaning(1.0, 3.0).max(1.0);
        if fleet_wait == 0.0 && e.threads == 0.0 && e.line.is_empty() && e.debt.iter().all(|&d| d <= 0.0) {
            return run < request.deadline.saturating_sub(self.now) as f64;
        }
        let reserve = request.pin.is_some_and(|p| p.uses_reserve);
        let goal = if self.now < open.goal && !reserve { open.goal } else { request.deadline };
        let slack = goal.saturating_sub(self.now) as f64;
        let rate = self.drain_rate(e);
        let free = self.fits(e, threads) && e.line.is_empty();
        let wait = if free { fleet_wait } else { fleet_wait.max(self.ahead(open, e) / rate) };
        let costliest = self.learned.iter().filter_map(|l| l.usual.get()).fold(1.0, f64::max);
        let depth = (DEPTH * rate * self.use_of(class) * slack).max(costliest);
        let depth = if open.over_share { depth * OVER_SHARE_DEPTH } else { depth };
        let shared = if fleet_wait > 0.0 { self.fleet_debt() / self.fleet_rate() } else { 0.0 };
        let backlog = shared.max(e.total_debt() / rate);
        let pinch = (self.density(request) / self.usual_density()).powf(PINCH);
        let pinched = wait > 0.0 && pinch < 1.0 && backlog > slack * pinch;
        (reserve || e.debt[class] + cost <= depth && !pinched) && wait + run <= slack
    }

    /// Work before a request in an engine's line, and half of what runs there.
    pub(super) fn ahead(&self, open: &Open, e: &Engine) -> f64 {
        let before = e.line.range(..(open.goal, open.request.id));
        let line: f64 = before.filter_map(|(_, id)| self.open.get(id)).map(|o| o.charged).sum();
        line + STANDING * (e.standing.iter().sum::<f64>() - e.waiting).max(0.0)
    }

    /// Others' work, by the load that an engine reported; an old report fades into what is usual.
    fn others(&self, e: &Engine) -> f64 {
        // A cold engine that has told nothing yet gets turns only: it draws them, or would stand idle.
        let unheard = if self.is_cold(e) { 0.0 } else { self.usual_load };
        let Some((load, at)) = e.load else { return 1.0 + OTHERS * unheard };
        let fresh = (-((self.now - at) as f64) / REPORT_FADES).exp();
        1.0 + OTHERS * (self.usual_load + (load - self.usual_load) * fresh) * (1.0 - self.share())
    }

    /// Keeps the load that an engine reports: the busiest of its cores, its disks and its threads against the
    /// bound. What is in flight shows how far a busy engine is overrun; shares end at 1.
    pub(super) fn reported(&mut self, engine: EngineId, load: Load) {
        let threads = self.usual_threads();
        let Some(e) = self.engines.get(&engine) else { return };
        let running = load.in_flight.map(|n| n * threads / (self.cores(e) * THREADS_PER_CORE));
        let most = [load.cores, load.disks, running].into_iter().flatten().fold(f64::NAN, f64::max);
        if most.is_nan() {
            return;
        }
        let told = finite(most, 0.0, FULL_LOAD);
        self.usual_load += FLEET_SAMPLE * (told - self.usual_load);
        self.engines.get_mut(&engine).expect("looked up above").load = Some((told, self.now));
    }

    /// Where load comes with probes alone, each request pays for one, to the engine not heard of for longest.
    pub(super) fn scout(&mut self, out: &mut Vec<Action>) {
        if !self.settings.may_probe || self.settings.load_reports != LoadReports::WithProbes {
            return;
        }
        let up = self.engines.iter_mut().filter(|(_, e)| e.is_well() && !e.probing);
        let oldest = up.min_by_key(|(id, e)| (e.load.map(|l| l.1), mix(id.0 ^ mix(self.settings.own_id.0))));
        if let Some((&engine, e)) = oldest {
            e.probing = true;
            out.push(Action::Probe(engine));
        }
    }

    pub(super) fn join(&mut self, id: RequestId, engine: EngineId) {
        let (Some(open), Some(e)) = (self.open.get(&id), self.engines.get(&engine)) else { return };
        let cost = self.cost(&open.request, Some(e));
        self.line_up(id, engine, cost);
    }

    /// Starts what may start on an engine, earliest deadline first.
    pub(super) fn pump(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        self.drain(engine);
        loop {
            let Some(e) = self.engines.get(&engine) else { return };
            let Some(&(_, id)) = e.line.first() else { return };
            let Some(open) = self.open.get(&id) else { return };
            if self.guard(id, engine) == Leave::No {
                self.leave(id);
                self.place(id, out);
                continue;
            }
            let threads = self.threads(&open.request);
            let grant = self.grant(&open.request, e);
            let full = self.fleet_is_full(&open.request);
            let room = self.fits(e, threads) && self.has_memory(e, grant) && !full;
            self.pressed |= full;
            if !room || self.guard(id, engine) == Leave::Later {
                self.engines.get_mut(&engine).expect("looked up above").pressed = true;
                return;
            }
            self.send(id, engine, out);
        }
    }

    /// An engine with room and nothing waiting takes over the most urgent request that waits elsewhere.
    pub(super) fn fetch_work(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let Some(e) = self.engines.get(&engine) else { return };
        if !e.line.is_empty() || !self.fits(e, 1.0) || !e.is_well() {
            return;
        }
        let heads = self.engines.values().filter_map(|other| other.line.first().copied());
        let movable = heads.filter(|&(_, id)| {
            let open = &self.open[&id];
            self.fits(e, self.threads(&open.request))
                && !self.fleet_is_full(&open.request)
                && self.has_memory(e, self.grant(&open.request, e))
                && self.guard(id, engine) == Leave::Yes
                && open.avoid != Some(engine)
                && !self.is_blocked(open, engine)
        });
        if let Some((_, id)) = movable.min() {
            self.leave(id);
            self.join(id, engine);
            self.pump(engine, out);
        }
    }

    /// Places again what waits for an engine that it may not go to any more.
    pub(super) fn replace_barred(&mut self, out: &mut Vec<Action>) {
        let waiting: Vec<(EngineId, RequestId)> =
            self.engines.iter().flat_map(|(&engine, e)| e.line.iter().map(move |l| (engine, l.1))).collect();
        for (engine, id) in waiting {
            if self.guard(id, engine) == Leave::No {
                self.leave(id);
                self.place(id, out);
            }
        }
    }

    /// Places again all that waits for an engine that is not to be used.
    pub(super) fn empty_line(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let line = self.engines.get(&engine).map(|e| e.line.clone()).unwrap_or_default();
        for (_, id) in line {
            self.leave(id);
            self.place(id, out);
        }
    }

    /// Ends what waits and can no longer be served in time; attempts out have a time-out of their own.
    pub(super) fn end_due(&mut self, out: &mut Vec<Action>) {
        let next_tick = self.now + WATCH + self.settings.quantum;
        let hopeless = |o: &Open| {
            let class = self.class(&o.request);
            let run = self.cost(&o.request, None) / self.threads(&o.request);
            let end = if class.late_worth > 0.0 { o.request.deadline } else { o.goal };
            o.waits() && (o.request.deadline <= next_tick || self.now as f64 + run > end as f64)
        };
        let ended: Vec<_> = self.open.iter().filter(|(_, o)| hopeless(o)).map(|(&id, _)| id).collect();
        ended.into_iter().for_each(|id| self.end(id, out));
        // What is late in its line moves behind: in the order of deadlines it would make the rest late.
        self.put_back_late();
    }
}
