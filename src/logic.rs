//! All decisions of violetward. Their interface (types, events, actions) is the file `src/api.rs`.
//!
//! A request's course: `take`, `place`, an engine's line (earliest deadline first), `pump` (thread bound,
//! memory, `guard`), `send`, `answered`; then it is served, placed again or `end`ed. A tick does the rest.

use std::collections::BTreeSet;

use crate::api::*;
use crate::state::*;

// ---- Tuned values -------------------------------------------------------------------------------------

/// The tick; also how early before its deadline a waiting request is ended.
const TICK: Micros = 20_000;
/// The tick while nothing waits in a line: it only watches attempts that are out.
const WATCH: Micros = 60_000;
/// Weight of one sample in the averages of cost, slowness and use: about the last thirty.
const SAMPLE: f64 = 0.03;
/// A sample of k counts at most this many times the class's k (or this part): one bad plan is no rule.
const CLIP: f64 = 4.0;
/// Sample weight in the fleet's slowness, up to twice at small shares; the most that its best may be.
const FLEET_SAMPLE: f64 = 0.1;
const BEST_MOST: f64 = 1.5;
/// Bounds of the part of the fleet's bound that a query may find held and still start.
const REACH: [f64; 2] = [0.5, 4.0];
/// Part of the share of the fleet's memory that may be granted before the fleet counts as full.
const MEMORY_PART: f64 = 0.6;
/// How much a reported load of 1 weighs against own debt, how fast reports fade, and what "full" counts: no
/// session or no memory left, which reports need not tell of.
const OTHERS: f64 = 2.0;
const REPORT_FADES: f64 = 2e6;
const FULL_LOAD: f64 = 10.0;
/// How much the price of crossing zones weighs in a choice, as a part of the worth at stake.
const CROSSING: f64 = 10.0;
/// Random part of a choice where gateways are many: with the same news they would all choose the same.
const SPREAD: f64 = 0.1;
/// As many samples of an engine weigh as much as the class's average over all engines.
const LEAN: f64 = 20.0;
/// Threads for each core of the share at the start; cores stand idle while their query reads.
const THREADS_PER_CORE: f64 = 1.7;
/// Slowness against the best seen under which the thread bound widens, and over which it is cut.
const WIDEN_UNDER: f64 = 1.5;
const CUT_OVER: f64 = 2.3;
/// One step of widening and of cutting, and the least time between two steps of an engine.
const WIDEN: f64 = 1.1;
const CUT: f64 = 0.9;
const CUT_MOST: f64 = 0.6;
const STEP_EVERY: Micros = 150_000;
/// How far this gateway's share of an idle fleet is lifted, and the reported load at which that ends.
const LIFT: f64 = 1.0;
const ROOM: f64 = 0.9;
/// How far the bound may be cut under its start, and how far it may pass one gateway's whole engine.
const NARROWEST: f64 = 1.0;
const WIDEST: f64 = 1.8;
/// Work that a group of tables costs more where it is not warm, in the choice of an engine.
const COLD_READ: f64 = 0.35;
/// Engines that all gateways take for a group's homes, warm for it; what one read itself counts by its share.
const HOMES: usize = 2;
/// Groups that an engine is thought to keep warm.
const WARM_GROUPS: usize = 4;
/// Share of the debt that stays until answered: an engine that does not get on keeps it, for any reason.
const STANDING: f64 = 0.5;
/// Drain share that a class keeps however seldom it comes.
const LEAST_USE: f64 = 0.05;
/// An attempt is given up after this many times its usual time and a span; later where that frees nothing.
const PATIENCE: f64 = 8.0;
const PATIENCE_SPAN: Micros = 1_000_000;
const STUBBORN: f64 = 2.0;
/// An attempt is overdue after this many times its usual time, and this span more.
const OVERDUE: f64 = 3.0;
const OVERDUE_SPAN: Micros = 700_000;
/// Where engines tell of attempts: silent after this many periods without a word.
const NOTES_MISSED: f64 = 2.5;
/// A fresh attempt takes the place of one that has this many times the fresh one's time still to run.
const RESTART: f64 = 4.0;
/// It is ended if even this part of the time that it still seems to need is more than its client waits.
const HOPELESS: f64 = 0.6;
/// A gap between events as long as this is our own stall: what came meanwhile proves no silence.
const STALL: Micros = 4 * WATCH;
/// Weight of one outcome in an engine's share of failures, and the share over which it is sick.
const FAIL_SAMPLE: f64 = 0.2;
const NO_CONNECTION: f64 = 0.5;
/// A connection that broke while its engine's process goes on tells more of the way there than of the engine.
const BROKEN: f64 = 0.05;
const FAIL_OVER: f64 = 0.35;
/// How much of its peers' share of failures an engine is granted: what all share condemns none.
const FLEET_FAILS: f64 = 2.0;
/// Good trials in a row before a sick engine is well; the first wait for a trial, and the longest.
const TRIALS: u32 = 3;
const TRIAL_FIRST: Micros = 500_000;
const TRIAL_LONGEST: Micros = 4_000_000;
/// How long an attempt may stay unanswered past its time before its record is dropped.
const FORGET: Micros = 60_000_000;
/// The quantile of need against estimate that a memory grant covers; its start, a step, more at the first.
const GRANT_QUANTILE: f64 = 0.9;
const GRANT_START: f64 = 1.25;
const GRANT_STEPS: [f64; 2] = [0.06, 0.3];
/// Part of the cold budget used: a window may touch two turns.
const COLD_MARGIN: f64 = 0.5;
/// How far a cold engine is thought to have warmed by the end of its span: how it gets there is not told.
const COLD_RAMP: f64 = 0.5;
/// Power of worth for work against the average by which the backlog that a request may find shrinks.
const PINCH: f64 = 2.0;
/// Depth of a bucket against what it drains in the time that a request has.
const DEPTH: f64 = 2.5;
/// Worth for its work against the average that lifts a query one rank, and another.
const RANKS: [f64; 2] = [0.5, 1.0];
/// Requests beyond their tenant's share find buckets of this depth against the usual.
const OVER_SHARE_DEPTH: f64 = 0.25;
/// Seconds of a tenant's quota that may come at once.
const QUOTA_BURST: f64 = 2.0;
/// Stand-in for a class's work while nothing is told or learned: this part of its aim, on each thread.
const UNKNOWN_COST: f64 = 0.25;

impl Gateway {
    /// A gateway that knows its settings and nothing else. `seed` feeds all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut gateway = Gateway::empty(settings, seed);
        gateway.width = THREADS_PER_CORE;
        gateway.best_slow = BEST_MOST;
        gateway.learned.iter_mut().for_each(|l| l.grant = GRANT_START.ln());
        gateway
    }

    /// Decides on one event at the time `now`; what is to be done is added to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.ticking && now > self.now + STALL {
            self.awake = now;
        }
        self.now = self.now.max(now);
        // Most events of a large fleet are ticks: they go by what the last other event found.
        if !matches!(event, Event::Elapsed(_)) {
            self.look();
        }
        match event {
            Event::Engines { kind, entries } => self.listed(kind, entries, out),
            Event::Request(request) => self.take(request, out),
            Event::Adopted { request, attempts, out: sent } => self.adopt(request, attempts, sent, out),
            Event::Lapsed(id) => self.forget(id, out),
            Event::Answer(answer) => self.answered(answer, out),
            Event::Note { id, attempt, note } => self.noted(id, attempt, note, out),
            Event::Streaming(id) => self.open.get_mut(&id).into_iter().for_each(|o| o.place = Place::Bound),
            Event::Probed { engine, ok, load } => {
                self.reported(engine, load);
                self.probed(engine, ok, out)
            }
            Event::Share(part) => self.part = Some(finite(part, 1e-6, 1.0)),
            Event::Rules { classes, tenants, attempts_cap, budget } => {
                let same =
                    |s: &Settings| (s.classes.len(), s.tenants.len()) == (classes.len(), tenants.len());
                if same(&self.settings) {
                    let old = self.settings.clone();
                    self.settings = Settings { classes, tenants, attempts_cap, budget, ..old };
                    self.replace_barred(out);
                }
            }
            Event::Elapsed(TICK_HANDLE) => self.tick(out),
            Event::Elapsed(_) | Event::Heard { .. } => {}
        }
        let still = self.is_still() && self.settings.ask_within.is_none();
        if !self.ticking && !still {
            self.ticking = true;
            out.push(Action::Arm { handle: TICK_HANDLE, span: if self.any_line() { TICK } else { WATCH } });
        }
    }

    // ---- Taking a request and choosing its engine ------------------------------------------------------

    fn take(&mut self, request: Request, out: &mut Vec<Action>) {
        let Some(goal) = self.goal(&request) else { return };
        self.taken.push_back(self.now);
        let over_share = !self.within_share(request.tenant);
        if let (true, Some(key)) = (self.class(&request).in_order, &request.key) {
            self.keys.entry(key.clone()).or_default().queue.push_back(request.id);
        }
        self.scout(out);
        let id = request.id;
        self.open.insert(id, Open::new(request, goal, over_share));
        self.place(id, out);
    }

    /// Notes what is asked for; when the worth of a new request falls.
    fn goal(&mut self, request: &Request) -> Option<Micros> {
        let class =
            self.settings.classes.get(request.class.0).filter(|_| !self.open.contains_key(&request.id))?;
        let cost = self.cost(request, None);
        let stretch = class.aim_stretch.max(0.0) * cost / self.threads(request);
        let goal = self.now.saturating_add(class.aim).saturating_add(stretch as Micros).min(request.due);
        let worth = finite(class.worth, 0.0, 1e9);
        self.note_asked(request.class.0, cost, worth, SAMPLE);
        Some(goal)
    }

    /// Goes on with what another gateway took and counted: no token is asked for, no further attempt earned
    /// and no probe paid.
    fn adopt(&mut self, request: Request, spent: u32, sent: Option<AdoptedAttempt>, out: &mut Vec<Action>) {
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
        let span = (sent.sent.min(self.now), sent.until.min(open.request.due));
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
    fn cost(&self, request: &Request, engine: Option<&Engine>) -> f64 {
        let class = request.class.0;
        let k = self.learned[class].k.get().unwrap_or(1.0);
        let k = engine.map_or(k, |e| e.k[class].leaning(k, LEAN));
        finite(self.told(request) * k, 1.0, 1e12)
    }

    /// The estimate, or a stand-in for it where none is told.
    fn told(&self, request: &Request) -> f64 {
        let unknown = self.class(request).aim as f64 * UNKNOWN_COST * self.threads(request);
        Some(request.cost as f64).filter(|&told| told > 0.0).unwrap_or(unknown.max(1.0))
    }

    /// Finds an engine's line for a request that has its turn; ends it at once if none passes.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Whoever waits is looked at once a tick: what is due before the next one would get no answer.
        let next_tick = self.now + WATCH + self.settings.quantum;
        if self.open.get(&id).is_some_and(|o| o.request.due <= next_tick) {
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
    fn reported(&mut self, engine: EngineId, load: Load) {
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
    fn scout(&mut self, out: &mut Vec<Action>) {
        if !self.settings.may_probe || self.settings.load_reports != LoadReports::WithProbes {
            return;
        }
        let up = self.engines.iter_mut().filter(|(_, e)| e.is_well() && !e.probing);
        let oldest = up.min_by_key(|(id, e)| (e.load.map(|l| l.1), mix(id.0 ^ mix(self.settings.me.0))));
        if let Some((&engine, e)) = oldest {
            e.probing = true;
            out.push(Action::Probe(engine));
        }
    }

    /// Debt fits its bucket and the query can finish by its goal; on an idle engine, by its deadline.
    fn passes(&self, open: &Open, e: &Engine, fleet_wait: f64) -> bool {
        let request = &open.request;
        let class = request.class.0;
        let cost = self.cost(request, Some(e));
        let threads = self.threads(request);
        let run = cost / threads / self.speed(e) * self.slow.leaning(1.0, 3.0).max(1.0);
        if fleet_wait == 0.0 && e.threads == 0.0 && e.line.is_empty() && e.debt.iter().all(|&d| d <= 0.0) {
            return run < request.due.saturating_sub(self.now) as f64;
        }
        let reserve = request.pin.is_some_and(|p| p.reserve);
        let goal = if self.now < open.goal && !reserve { open.goal } else { request.due };
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
    fn ahead(&self, open: &Open, e: &Engine) -> f64 {
        let before = e.line.range(..(open.goal, open.request.id));
        let line: f64 = before.filter_map(|(_, id)| self.open.get(id)).map(|o| o.charged).sum();
        line + STANDING * (e.standing.iter().sum::<f64>() - e.waiting).max(0.0)
    }

    // ---- The whole fleet: a part of one engine says little where gateways are many ---------------------

    fn fleet_rate(&self) -> f64 {
        let slow = self.slow.leaning(THREADS_PER_CORE, 3.0).max(1.0);
        (self.held().0.max(self.fleet_cores * self.width) / slow).max(0.01)
    }

    /// Many gateways that each may start one query on every engine would flood all of them: what runs
    /// anywhere is bounded by the share of the fleet. One query may always run, and one may reach over. What
    /// earns more for its work reaches further: else one heavy query would turn away all light ones for long.
    fn fleet_is_full(&self, request: &Request) -> bool {
        let held = self.held();
        let reach = finite(self.density(request) / self.usual_density(), REACH[0], REACH[1]);
        let memory = self.fleet_memory * MEMORY_PART * (self.width / THREADS_PER_CORE).max(1.0);
        let short = self.settings.grants && memory > 0.0 && held.1 >= memory * reach;
        held.0 > 0.0 && (short || held.0 >= self.fleet_cores * self.width * reach)
    }

    fn fleet_wait(&self, open: &Open) -> f64 {
        if !self.fleet_is_full(&open.request) {
            return 0.0;
        }
        self.engines.values().map(|e| self.ahead(open, e)).sum::<f64>() / self.fleet_rate()
    }

    /// A class's part of the drain, by its recent use.
    fn use_of(&self, class: usize) -> f64 {
        let all: f64 = self.learned.iter().map(|l| l.asked).sum();
        (self.learned[class].asked / all.max(1.0)).max(LEAST_USE)
    }

    // ---- Debt, drain and the thread bound --------------------------------------------------------------

    /// This gateway's part of the fleet, as it is told; even where nobody tells.
    fn share(&self) -> f64 {
        self.part.unwrap_or(self.even())
    }

    fn even(&self) -> f64 {
        1.0 / f64::from(self.settings.gateways.max(1))
    }

    /// How far an engine keeps up with its peers, and with its own warm self.
    fn speed(&self, e: &Engine) -> f64 {
        finite(self.usual_slow / e.slow.leaning(self.usual_slow, LEAN), 0.05, 1.0) * self.warmth(e)
    }

    /// What a cold engine can do for sure, against a warm one.
    fn warmth(&self, e: &Engine) -> f64 {
        let least = finite(self.settings.cold_from, 0.05, 1.0);
        self.cold_age(e).map_or(1.0, |age| least + (1.0 - least) * COLD_RAMP * age)
    }

    /// Once for each event, what all choices share: usual slowness, and an even share of cores and memory.
    fn look(&mut self) {
        self.usual_slow = median(self.engines.values().filter_map(|e| e.slow.get())).unwrap_or(1.0).max(0.1);
        let used = self.engines.values().filter(|e| e.is_well());
        self.fleet_cores =
            used.map(|e| self.cores(e) * self.speed(e)).sum::<f64>() * self.share() * self.lift();
        let up = self.engines.values().filter(|e| e.entry.listed == Listed::Up);
        self.fleet_memory = up.map(|e| self.memory(e)).sum::<f64>() * self.share() * self.lift();
    }

    /// Where engines report room, others leave some of their shares: this gateway may take more than its own.
    fn lift(&self) -> f64 {
        if self.settings.load_reports == LoadReports::None || self.usual_load == 0.0 {
            return 1.0;
        }
        1.0 + LIFT * (1.0 - self.usual_load / ROOM).max(0.0)
    }

    /// This gateway's part of an engine: at least the widest query, since the fleet's bound is the share.
    fn part(&self, e: &Engine) -> f64 {
        self.share().max((self.widest() / self.cores(e)).min(1.0))
    }

    /// Work an engine does for this gateway in a microsecond.
    fn drain_rate(&self, e: &Engine) -> f64 {
        let part = (self.part(e) * e.width / THREADS_PER_CORE).min(1.0);
        (self.cores(e) * part * self.speed(e)).max(0.01)
    }

    fn bound(&self, e: &Engine) -> f64 {
        self.cores(e) * self.part(e) * e.width * self.warmth(e)
    }

    /// Lowers the debts of an engine by what has drained, split by use among the buckets that hold any.
    fn drain(&mut self, engine: EngineId) {
        let Some(e) = self.engines.get(&engine) else { return };
        let amount = self.drain_rate(e) * (self.now - e.drained_at) as f64;
        let uses: Vec<f64> = (0..e.debt.len()).map(|c| self.use_of(c)).collect();
        let e = self.engines.get_mut(&engine).expect("looked up above");
        let all: f64 = uses.iter().zip(&e.debt).filter(|(_, &d)| d > 0.0).map(|(u, _)| u).sum();
        for (class, debt) in e.debt.iter_mut().enumerate() {
            let drained = *debt - amount * uses[class] / all.max(LEAST_USE);
            *debt = drained.max(STANDING * e.standing[class]).max(0.0);
        }
        e.drained_at = self.now;
        e.ghosts.retain(|g| g.0 > self.now);
    }

    /// Room under the thread bound; where this gateway runs nothing, one query may start.
    fn fits(&self, e: &Engine, threads: f64) -> bool {
        let held = e.held().0;
        held == 0.0 || held + threads <= self.bound(e)
    }

    fn has_memory(&self, e: &Engine, grant: f64) -> bool {
        let all = self.memory(e);
        let part = (self.part(e) * (e.width / THREADS_PER_CORE).max(1.0)).min(1.0);
        let free = all <= 0.0 || e.threads == 0.0 || !self.settings.grants;
        free || e.held().1 + grant <= all * part
    }

    /// Widens the bounds while queries take little longer than at best, else cuts: each by its own slowness.
    fn steer(&mut self, engine: EngineId) {
        let (now, best) = (self.now, self.best_slow);
        let most = WIDEST / self.share();
        let step = |width: &mut f64, slow: f64, pressed: &mut bool, stepped_at: &mut Micros| {
            if now < *stepped_at + STEP_EVERY {
                return;
            }
            if slow < WIDEN_UNDER * best && *pressed {
                *width = (*width * WIDEN).min(most);
            } else if slow > CUT_OVER * best {
                *width = (*width * (CUT_OVER * best / slow).clamp(CUT_MOST, CUT)).max(NARROWEST);
            }
            *stepped_at = now;
            *pressed = false;
        };
        let usual = self.slow.get().unwrap_or(1.0);
        step(&mut self.width, usual, &mut self.pressed, &mut self.stepped_at);
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let slow = e.slow.leaning(usual, LEAN / 2.0);
        step(&mut e.width, slow, &mut e.pressed, &mut e.stepped_at);
    }

    fn join(&mut self, id: RequestId, engine: EngineId) {
        let (Some(open), Some(e)) = (self.open.get(&id), self.engines.get(&engine)) else { return };
        let cost = self.cost(&open.request, Some(e));
        self.line_up(id, engine, cost);
    }

    /// Starts what may start on an engine, earliest deadline first.
    fn pump(&mut self, engine: EngineId, out: &mut Vec<Action>) {
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

    // ---- Sending: one guard, one place -----------------------------------------------------------------

    /// Every dispatch passes here. `No`: not on this engine. `Later`: not now.
    fn guard(&self, id: RequestId, engine: EngineId) -> Leave {
        let (Some(open), Some(e)) = (self.open.get(&id), self.engines.get(&engine)) else { return Leave::No };
        let class = self.class(&open.request);
        let kind_ok = class.kinds.as_ref().is_none_or(|k| k.contains(&e.entry.kind));
        let zone_ok = class.zones.as_ref().is_none_or(|z| z.contains(&e.entry.zone));
        let out_now = !open.waits() || self.is_out(id);
        let capped = open.attempts >= self.settings.attempts_cap;
        let pin = open.request.pin;
        let elsewhere = pin.is_some_and(|p| p.engine != engine);
        let finishing = pin.is_some_and(|p| p.finishing) && e.entry.listed == Listed::Draining;
        let up = (e.entry.listed == Listed::Up || finishing) && !elsewhere;
        let barred = !kind_ok || !zone_ok || !up || out_now || capped || !self.effect_allows(open, e);
        let spent = open.attempts > 0 && self.budget_left() < 1.0;
        if barred || spent || !self.cold_allows(open, e, true) {
            return Leave::No;
        }
        if !self.has_turn(id) || !self.cold_allows(open, e, false) {
            return Leave::Later;
        }
        Leave::Yes
    }

    /// A request that may have run goes out again only where that is harmless.
    fn effect_allows(&self, open: &Open, e: &Engine) -> bool {
        if !open.may_have_run() {
            return true;
        }
        if open.request.pin.is_some() {
            return false;
        }
        match (self.class(&open.request).effect, open.maybe.filter(|_| !open.unknown)) {
            (Effect::Repeatable, _) => true,
            (Effect::Once, _) | (_, None) => false,
            (Effect::Keyed { scope, window }, Some((_, zone, cell, sent))) => {
                scope.holds(&e.entry, zone, cell)
                    && self.now + self.settings.quantum < sent.saturating_add(window)
            }
        }
    }

    /// Further attempts are rationed; what is close to the window's edge counts against us.
    fn budget_left(&self) -> f64 {
        let Some(budget) = &self.settings.budget else { return f64::INFINITY };
        let edge = self.now.saturating_sub(budget.window);
        let quantum = self.settings.quantum;
        let taken = self.taken.len() - self.taken.partition_point(|&t| t <= edge + quantum);
        let made = self.extras.len() - self.extras.partition_point(|&t| t + quantum < edge);
        budget.free + budget.per_request * taken as f64 - made as f64
    }

    /// A fresh engine falls over if all gateways send too much: each sends its part, whatever the others
    /// do, in every window, split among the classes by use; `ever`: whether it could fit an empty window.
    /// Where a part is less than a query of the class, gateways take turns that add up to it, class by class.
    /// The part is even at most, whatever is believed of the other gateways: so all parts add up to one.
    fn cold_allows(&self, open: &Open, e: &Engine, ever: bool) -> bool {
        if !self.is_cold(e) || self.settings.fall_multiple <= 0.0 {
            return true;
        }
        let class = open.request.class.0;
        let capacity = self.cores(e) * self.warmth(e);
        let span = self.settings.fall_span as f64;
        let all = self.settings.fall_multiple * capacity * span * COLD_MARGIN * self.share().min(self.even());
        let uses: f64 = (0..self.learned.len()).map(|c| self.use_of(c)).sum();
        let part = all * self.use_of(class) / uses;
        let weight = self.cold_weight(open);
        let slice = self.now / self.settings.fall_span.max(1);
        let dice = mix(e.entry.engine.0 ^ mix(slice ^ mix(class as u64)));
        let turn = unit(dice) + self.settings.me.0 as f64 * self.even();
        let budget = if turn.fract() < part / weight { part.max(weight) } else { part };
        let from = self.now.saturating_sub(self.settings.fall_span);
        let sent = e.cold.iter().rev().take_while(|c| c.0 >= from).filter(|c| c.2 == class).map(|c| c.1);
        weight + if ever { 0.0 } else { sent.sum::<f64>() } <= budget
    }

    /// What a query weighs on a cold engine: the usual work of its class.
    fn cold_weight(&self, open: &Open) -> f64 {
        let usual = self.learned[open.request.class.0].usual.get();
        usual.unwrap_or_else(|| self.cost(&open.request, None)).max(1.0)
    }

    /// The request is the first of its key that is not over, and the key does not rest.
    fn has_turn(&self, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        match open.request.key.as_ref().and_then(|k| self.keys.get(k)) {
            Some(turns) if turns.queue.contains(&id) => {
                turns.queue.front() == Some(&id) && (open.attempts > 0 || self.now >= turns.rest_until)
            }
            _ => true,
        }
    }

    /// Memory for a query: what covers most needs of its class at this estimate.
    fn grant(&self, request: &Request, e: &Engine) -> f64 {
        let all = self.memory(e);
        let most = if all > 0.0 { all * finite(self.settings.grant_cap, 0.01, 1.0) } else { 1e9 };
        finite(request.memory_mb * self.learned[request.class.0].grant.exp(), 0.0, most)
    }

    /// Worth for each unit of predicted work.
    fn density(&self, request: &Request) -> f64 {
        finite(self.class(request).worth, 0.0, 1e9) / self.cost(request, None)
    }

    /// Light queries first, by worth for each unit of work against the average.
    fn rank(&self, request: &Request) -> u8 {
        let ratio = self.density(request) / self.usual_density();
        1 + RANKS.iter().filter(|&&r| self.settings.priorities && ratio >= r).count() as u8
    }

    fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) {
        let (Some(open), Some(e)) = (self.open.get(&id), self.engines.get(&engine)) else { return };
        let request = &open.request;
        let (threads, grant) = (self.threads(request), self.grant(request, e));
        let usual = self.usual(request, e);
        let until = self.until(open, usual);
        let flight = Flight::new(open, engine, (self.now, until), (threads, grant), usual);
        let weight = self.cold_weight(open);
        if self.settings.grants || self.settings.priorities {
            let memory_mb = if self.settings.grants { grant } else { 0.0 };
            out.push(Action::Terms { id, memory_mb, rank: self.rank(request) });
        }
        out.push(Action::Dispatch { id, engine, until });
        let cold = self.is_cold(e).then_some(weight);
        self.sent(id, flight, cold, WARM_GROUPS);
    }

    /// How long an attempt should take.
    fn usual(&self, request: &Request, e: &Engine) -> f64 {
        let class = &self.learned[request.class.0];
        let slow = class.slow.leaning(1.0, LEAN).max(e.slow.leaning(1.0, LEAN)).max(1.0);
        self.cost(request, Some(e)) / self.threads(request) * slow / self.warmth(e)
    }

    /// When to give an attempt up: with the client, or earlier where another may follow and has time.
    fn until(&self, open: &Open, usual: f64) -> Micros {
        let due = open.request.due;
        let last = open.attempts + 1 >= self.settings.attempts_cap || self.budget_left() < 1.0;
        let stubborn = if self.settings.may_cancel { 1.0 } else { STUBBORN };
        let patience = stubborn * (PATIENCE * usual + PATIENCE_SPAN as f64);
        let until = self.now.saturating_add(patience as Micros);
        let again = !last && self.class(&open.request).effect != Effect::Once && open.request.pin.is_none();
        let in_time = again && until.saturating_add(usual as Micros) < due;
        [due, until][usize::from(in_time)]
    }

    // ---- Outcomes --------------------------------------------------------------------------------------

    fn answered(&mut self, answer: Answer, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&(answer.id, answer.attempt)) else { return };
        let engine = flight.engine;
        self.reported(engine, answer.load);
        self.settle(&flight, &answer);
        self.symptom(&flight, &answer, out);
        if let Some(open) = self.open.get_mut(&answer.id) {
            let proved = matches!(answer.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
            // Nothing tells of another gateway's attempt that it was never written.
            if proved && flight.adopted.is_none() && open.maybe.is_some_and(|m| m.0 == answer.attempt) {
                open.maybe = None;
            }
            open.avoid = Some(engine);
            open.place = Place::Parked;
            if answer.complete {
                self.forget(answer.id, out);
            } else {
                self.place(answer.id, out);
            }
        }
        self.advance(flight.request.key.as_ref(), out);
        self.pump(engine, out);
        self.fetch_work(engine, out);
        self.lines().into_iter().for_each(|engine| self.pump(engine, out));
    }

    /// Frees what the attempt held and learns from it.
    fn settle(&mut self, flight: &Flight, answer: &Answer) {
        let unsure = [Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
        if unsure.contains(&answer.outcome) {
            self.rest_key(flight.request.key.as_ref());
        }
        if let Some(e) = self.engines.get_mut(&flight.engine) {
            e.finish(flight);
            // It turns away at once and so looks idle: it would draw all that the others can't take.
            e.load = if answer.outcome == Outcome::Full { Some((FULL_LOAD, self.now)) } else { e.load };
            if !self.settings.may_cancel && answer.outcome == Outcome::Timeout {
                // Nothing stops the work of an attempt given up here: it holds its threads a while yet.
                e.ghosts.push((self.now + flight.usual as Micros, flight.threads, flight.memory));
            }
        }
        // Between two gateways nobody asked for its pages: its time would say that engines are slow.
        if answer.outcome == Outcome::Ok && flight.adopted.is_none() {
            self.learn(flight, answer);
        }
    }

    /// Only what was served teaches: a fast error costs little and proves nothing.
    fn learn(&mut self, flight: &Flight, answer: &Answer) {
        let took = answer.took as f64 * flight.threads;
        let (class, told) = (flight.request.class.0, self.told(&flight.request));
        let work = answer.work.filter(|&w| w > 0 && self.settings.tells_cost);
        let truth = work.map_or_else(|| self.stand_in(&flight.request, took), |w| w as f64);
        self.slow.learn(took, truth, FLEET_SAMPLE * (2.0 - (4.0 * self.share()).min(1.0)));
        let learned = &mut self.learned[class];
        let k = learned.k.get().unwrap_or(truth / told);
        let clipped = truth.clamp(told * k / CLIP, told * k * CLIP);
        learned.k.learn(clipped, told, SAMPLE);
        learned.usual.learn(truth, 1.0, SAMPLE);
        learned.slow.learn(took, truth, SAMPLE);
        let slow = self.slow.get().unwrap_or(1.0);
        self.best_slow = (self.best_slow * (1.0 + SAMPLE / 100.0)).min(slow).clamp(1.0, BEST_MOST);
        if let (Some(need), true) = (answer.memory_mb, flight.request.memory_mb > 0.0) {
            let over = (need / flight.request.memory_mb).ln() > learned.grant;
            // Quick at first: a class whose estimates lie low would spill for long.
            let step = GRANT_STEPS[0] + GRANT_STEPS[1] / (1.0 + learned.usual.samples);
            learned.grant += step * if over { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
        }
        if let Some(e) = self.engines.get_mut(&flight.engine) {
            e.k[class].learn(clipped, told, SAMPLE);
            e.slow.learn(took, truth, SAMPLE);
            e.debt[class] = (e.debt[class] + clipped - flight.cost).max(0.0);
        }
        self.steer(flight.engine);
    }

    /// Where no cost is told: the estimate times the least that latency × threads was against it. Latency
    /// alone would make a slow engine's queries look costly and the engine as fast as ever. An estimate is
    /// trusted to be no less than `1 / BEST_MOST` of the work.
    fn stand_in(&mut self, request: &Request, took: f64) -> f64 {
        let told = self.told(request);
        let trusted = if request.cost > 0 { BEST_MOST } else { f64::INFINITY };
        let learned = &mut self.learned[request.class.0];
        let most = CLIP * told * learned.best_pace.unwrap_or(took / told);
        learned.pace.learn(took.min(most), told, SAMPLE);
        let pace = learned.pace.get().unwrap_or(1.0).min(trusted);
        let best = learned.best_pace.filter(|_| learned.pace.samples > LEAN / 2.0).unwrap_or(pace);
        let best = pace.min(best * (1.0 + SAMPLE / 100.0));
        learned.best_pace = Some(best);
        told * best
    }

    /// The one place that ends requests: refused where a further try is harmless, else failed.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let effect = self.class(&open.request).effect;
        // A client's next try is a repeat to the engines only if it carries the same mark.
        let harmless = effect == Effect::Repeatable || effect.repeats_anywhere() && open.request.marked;
        let harmless = harmless && open.request.pin.is_none();
        if harmless || !open.may_have_run() {
            // When the debt of now has drained, spread by half so that clients don't return together.
            let wait = self.fleet_debt() / self.fleet_rate() * (0.5 + unit(self.draw()));
            let retry_after = (wait as Micros).min(self.settings.retry_advice.unwrap_or(0));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id, out);
    }

    /// A request is over: what of it is out is withdrawn, and its key may go on.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.leave(id);
        let Some(open) = self.open.remove(&id) else { return };
        if self.settings.may_cancel {
            out.extend(self.withdraw(id).into_iter().map(|attempt| Action::Cancel { id, attempt }));
        }
        self.advance(open.request.key.as_ref(), out);
    }

    /// Gives the turn to the next request of a key, once the one before it is over and answered.
    fn advance(&mut self, key: Option<&OrderKey>, out: &mut Vec<Action>) {
        let next = key.and_then(|key| self.next_of(key)).filter(|&id| self.has_turn(id));
        next.into_iter().for_each(|id| self.place(id, out));
    }

    // ---- Notes of attempts that are out ----------------------------------------------------------------

    /// An engine tells how an attempt gets on. One that does little for its age (a bad plan, a slow engine, a
    /// load in its way) gives way to a fresh one; one that can't end in time is ended. Estimates far too low
    /// could make the same query start again up to its cap.
    fn noted(&mut self, id: RequestId, attempt: u32, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(f) = self.flights.get_mut(&(id, attempt)) else { return };
        let left = f.note(note, now);
        let Some(e) = self.engines.get_mut(&f.engine) else { return };
        e.heard_at = now;
        e.load = if note == Note::WaitsForMemory { Some((FULL_LOAD, now)) } else { e.load };
        left.into_iter().for_each(|left| self.outlook(id, attempt, left, out));
    }

    /// Decides on an attempt that seems to need `left` more.
    fn outlook(&mut self, id: RequestId, attempt: u32, left: f64, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let slow = self.slow.leaning(1.0, 3.0).max(1.0);
        let fresh = self.cost(&open.request, None) / self.threads(&open.request) * slow;
        let rest = open.request.due.saturating_sub(self.now) as f64;
        let again = self.class(&open.request).effect == Effect::Repeatable
            && open.request.pin.is_none()
            && open.attempts < self.settings.attempts_cap
            && self.budget_left() >= 1.0;
        let Some(f) = self.flights.get_mut(&(id, attempt)) else { return };
        if !self.settings.may_cancel || f.cancelled {
            return;
        }
        if again && left > RESTART * fresh && fresh < rest {
            f.cancelled = true;
            out.push(Action::Cancel { id, attempt });
        } else if left.is_finite() && left * HOPELESS > rest {
            self.end(id, out);
        }
    }

    // ---- Engines: the list, symptoms, trials -----------------------------------------------------------

    fn listed(&mut self, kind: ListKind, entries: Vec<EngineEntry>, out: &mut Vec<Action>) {
        if self.settings.ask_within.is_some() && (self.asked_at.is_none() || kind == ListKind::Lost) {
            out.push(Action::Subscribe);
        }
        self.asked_at = self.asked_at.or(Some(self.now));
        match kind {
            ListKind::Lost => return,
            ListKind::Changes => {}
            ListKind::Whole | ListKind::WarmCopy => self.mark_missing(&entries),
        }
        self.enlist(entries, THREADS_PER_CORE);
        self.not_up().into_iter().for_each(|engine| self.empty_line(engine, out));
        self.drop_removed();
    }

    /// Places again what waits for an engine that it may not go to any more.
    fn replace_barred(&mut self, out: &mut Vec<Action>) {
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
    fn empty_line(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let line = self.engines.get(&engine).map(|e| e.line.clone()).unwrap_or_default();
        for (_, id) in line {
            self.leave(id);
            self.place(id, out);
        }
    }

    /// What an outcome tells of an engine's health.
    fn symptom(&mut self, flight: &Flight, answer: &Answer, out: &mut Vec<Action>) {
        let now = self.now;
        // A wrong statement is the client's: its engine answered well, but its cost teaches nothing.
        let good = matches!(answer.outcome, Outcome::Ok | Outcome::Declined);
        let broke = [Outcome::Error, Outcome::ConnectFailed, Outcome::Reset, Outcome::Broken];
        let bad = broke.contains(&answer.outcome);
        let usual = self.fails_elsewhere(flight.engine);
        let Some(e) = self.engines.get_mut(&flight.engine) else { return };
        // The process is gone, and when it is back it is cold, seconds before the list says so: trials by all
        // gateways would push it over. It hurts a sound engine that breaks connections: that gets turns only.
        let sure = answer.outcome == Outcome::ConnectFailed;
        if sure || answer.outcome == Outcome::Reset {
            e.broke_off(now);
        }
        if good || bad {
            let sample = match answer.outcome {
                Outcome::ConnectFailed => NO_CONNECTION,
                Outcome::Broken => BROKEN,
                _ => FAIL_SAMPLE,
            };
            e.fails += sample * (if bad { 1.0 } else { 0.0 } - e.fails);
        }
        e.heard_at = if good { now } else { e.heard_at };
        match &mut e.sick {
            Some(sick) if sick.trial == Some(answer.id) => {
                sick.trial = None;
                self.trial_done(flight.engine, good, out);
            }
            None if bad && e.fails > FAIL_OVER + FLEET_FAILS * usual => {
                self.condemn(flight.engine, "fails", out)
            }
            _ => {}
        }
    }

    fn condemn(&mut self, engine: EngineId, why: &str, out: &mut Vec<Action>) {
        let next = self.now + TRIAL_FIRST;
        let Some(e) = self.engines.get_mut(&engine) else { return };
        e.sick = Some(Sick { good: 0, wait: TRIAL_FIRST, next, trial: None, ready: false });
        out.push(Action::Log(format!("engine {:x} is left alone: {why}", engine.0)));
        self.empty_line(engine, out);
    }

    fn trial_done(&mut self, engine: EngineId, good: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(sick) = self.sick(engine) else { return };
        sick.good = if good { sick.good + 1 } else { 0 };
        sick.wait = if good { TRIAL_FIRST / 2 } else { (sick.wait * 2).min(TRIAL_LONGEST) };
        sick.next = now + sick.wait;
        if sick.good >= TRIALS {
            self.recovered(engine);
            out.push(Action::Log(format!("engine {:x} is used again", engine.0)));
        }
    }

    /// A probe tells whether a quiet engine still answers, and is the first step of a sick one's trial.
    fn probed(&mut self, engine: EngineId, ok: bool, out: &mut Vec<Action>) {
        let Some(e) = self.engines.get_mut(&engine).filter(|e| e.probing) else { return };
        let suspect = std::mem::take(&mut e.suspect);
        e.probing = false;
        e.heard_at = if ok { self.now } else { e.heard_at };
        e.load = if ok { e.load } else { Some((FULL_LOAD, self.now)) };
        match (e.sick.is_some(), ok) {
            (false, _) if ok || !suspect => {}
            (false, _) => self.condemn(engine, "no answers", out),
            (true, true) => self.sick(engine).into_iter().for_each(|sick| sick.ready = true),
            (true, false) => self.trial_done(engine, false, out),
        }
    }

    /// A trial of a sick engine: a probe where allowed, then one light repeatable request.
    fn trial(&mut self, engine: EngineId, out: &mut Vec<Action>) {
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let Some(sick) = &mut e.sick else { return };
        // Where no light request comes to try it, it would be left alone for ever: its good probe has to do.
        if self.settings.may_probe && sick.ready && self.now > sick.next + TRIAL_LONGEST {
            sick.ready = false;
            return self.trial_done(engine, true, out);
        }
        if self.now < sick.next || sick.ready || sick.trial.is_some() || e.entry.listed != Listed::Up {
            return;
        }
        sick.next = self.now + sick.wait;
        sick.ready = !self.settings.may_probe;
        e.probing = self.settings.may_probe;
        out.extend(self.settings.may_probe.then_some(Action::Probe(engine)));
    }

    /// A sick engine that a light, repeatable request may try as it arrives: at scale none waits in a line.
    fn trial_for(&self, id: RequestId) -> Option<EngineId> {
        let mut ready = self.engines.iter().filter(|(_, e)| e.sick.as_ref().is_some_and(|s| s.ready));
        let open = self.open.get(&id)?;
        let light = self.density(&open.request) >= self.usual_density();
        let repeats = self.class(&open.request).effect == Effect::Repeatable && open.request.pin.is_none();
        // What ends a transaction has nowhere else to go, and locks to free.
        let ends = open.request.pin.is_some_and(|p| p.reserve);
        let may = (light && repeats || ends) && open.attempts + 1 < self.settings.attempts_cap;
        ready.find(|(&engine, _)| may && self.guard(id, engine) == Leave::Yes).map(|(&engine, _)| engine)
    }

    // ---- The tick --------------------------------------------------------------------------------------

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.ticking = false;
        self.end_due(out);
        self.find_silent(out);
        let engines: Vec<EngineId> = self.engines.keys().copied().collect();
        engines.iter().for_each(|&engine| self.trial(engine, out));
        self.lines().into_iter().for_each(|engine| self.pump(engine, out));
        // At a full fleet, the usual case in which lines last, no engine need be asked what it could take.
        let movable = |&(_, id): &(Micros, RequestId)| !self.fleet_is_full(&self.open[&id].request);
        if self.engines.values().filter_map(|e| e.line.first()).any(movable) {
            engines.iter().for_each(|&engine| self.fetch_work(engine, out));
        }
        self.keys.keys().cloned().collect::<Vec<_>>().iter().for_each(|key| self.advance(Some(key), out));
        self.tidy(out);
    }

    /// Ends what waits and can no longer be served in time; attempts out have a time-out of their own.
    fn end_due(&mut self, out: &mut Vec<Action>) {
        let next_tick = self.now + WATCH + self.settings.quantum;
        let hopeless = |o: &Open| {
            let class = self.class(&o.request);
            let run = self.cost(&o.request, None) / self.threads(&o.request);
            let end = if class.late_worth > 0.0 { o.request.due } else { o.goal };
            o.waits() && (o.request.due <= next_tick || self.now as f64 + run > end as f64)
        };
        let ended: Vec<_> = self.open.iter().filter(|(_, o)| hopeless(o)).map(|(&id, _)| id).collect();
        ended.into_iter().for_each(|id| self.end(id, out));
        // What is late in its line moves behind: in the order of deadlines it would make the rest late.
        self.put_back_late();
    }

    /// An engine is silent if attempts there are overdue and nothing has come from it since they should
    /// have been answered. Where more than half are, the trouble is shared and none is condemned.
    fn find_silent(&mut self, out: &mut Vec<Action>) {
        let probes = self.settings.may_probe;
        let missed = self.settings.note_period.map(|period| NOTES_MISSED * period as f64);
        let quiet = |f: &&Flight| {
            let heard = self.engines.get(&f.engine).filter(|e| e.sick.is_none()).map(|e| e.heard_at);
            let overdue = OVERDUE * f.usual + OVERDUE_SPAN as f64;
            // A probe shows who was suspected for nothing; without one, only missing notes are sure.
            let patience = missed.map_or(overdue, |m| if probes { m.min(overdue) } else { m });
            let since = |at: Micros| f.adopted.unwrap_or(f.sent).max(at).max(self.awake) as f64;
            !f.waits && heard.is_some_and(|at| self.now as f64 > since(at) + patience)
        };
        let silent: BTreeSet<EngineId> = self.flights.values().filter(quiet).map(|f| f.engine).collect();
        if silent.len() * 2 > self.engines.len() {
            return;
        }
        for engine in silent {
            let Some(e) = self.engines.get_mut(&engine) else { continue };
            e.suspect = true;
            if !self.settings.may_probe {
                self.condemn(engine, "no answers", out);
            } else if !e.probing {
                e.probing = true;
                out.push(Action::Probe(engine));
            }
        }
    }

    /// An engine with room and nothing waiting takes over the most urgent request that waits elsewhere.
    fn fetch_work(&mut self, engine: EngineId, out: &mut Vec<Action>) {
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

    /// Where the list comes only when asked for, asks in good time; a missing answer is not awaited for ever.
    fn tidy(&mut self, out: &mut Vec<Action>) {
        self.drop_old(FORGET);
        let (span, at) = (self.settings.ask_within, self.asked_at);
        if span.zip(at).is_some_and(|(span, at)| self.now >= at.saturating_add(span / 3)) {
            self.asked_at = Some(self.now);
            out.push(Action::FetchList);
        }
    }
}
