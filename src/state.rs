//! What the module keeps between events: plain data and bookkeeping, no decision and no tuned value.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;

/// Two decayed averages whose ratio is learned.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ratio {
    truth: f64,
    told: f64,
    /// Decayed count, against the most that `weight` lets it reach.
    pub samples: f64,
}

impl Ratio {
    pub fn learn(&mut self, truth: f64, told: f64, weight: f64) {
        self.truth += truth - weight * self.truth;
        self.told += told - weight * self.told;
        self.samples += 1.0 - weight * self.samples;
    }

    pub fn get(&self) -> Option<f64> {
        (self.told > 0.0).then(|| self.truth / self.told)
    }

    /// Its own value, leaning on `other` as if that were `lean` samples.
    pub fn leaning(&self, other: f64, lean: f64) -> f64 {
        (self.get().unwrap_or(other) * self.samples + other * lean) / (self.samples + lean)
    }
}

/// What is learned of a class over all engines.
#[derive(Clone, Default)]
pub(crate) struct Learned {
    pub k: Ratio,
    /// Latency × threads against true work.
    pub slow: Ratio,
    /// The average work of a query.
    pub usual: Ratio,
    /// Where no cost is told: latency × threads against the estimate, and the least of it.
    pub pace: Ratio,
    pub best_pace: Option<f64>,
    /// Logarithm of memory granted against estimated.
    pub grant: f64,
    /// Decayed work and worth asked for.
    pub asked: f64,
    pub worth: f64,
}

pub(crate) struct Engine {
    pub entry: EngineEntry,
    /// When its connections last broke; 0 if the list has named a start since.
    pub started: Micros,
    /// Debt of each class, and how far it is drained.
    pub debt: Vec<f64>,
    pub drained_at: Micros,
    /// Predicted work of each class that waits or runs here.
    pub standing: Vec<f64>,
    pub k: Vec<Ratio>,
    pub slow: Ratio,
    /// Threads for each core of this gateway's share.
    pub width: f64,
    pub stepped_at: Micros,
    pub pressed: bool,
    /// Predicted work of what waits here.
    pub waiting: f64,
    /// What waits, earliest deadline first.
    pub line: BTreeSet<(Micros, RequestId)>,
    pub threads: f64,
    pub memory: f64,
    /// Work given up on that may still run: until when, threads, memory.
    pub ghosts: Vec<(Micros, f64, f64)>,
    pub warm: VecDeque<GroupId>,
    pub heard_at: Micros,
    /// The load that it last reported, and when that came.
    pub load: Option<(f64, Micros)>,
    pub fails: f64,
    pub probing: bool,
    /// It has been silent, and the probe that is out decides.
    pub suspect: bool,
    pub sick: Option<Sick>,
    /// Sends to it of late, which count once it turns out to be cold: when, their weight and class.
    pub recent: VecDeque<(Micros, f64, usize)>,
}

impl Engine {
    pub fn new(entry: EngineEntry, classes: usize, width: f64, now: Micros) -> Self {
        Engine {
            entry,
            started: 0,
            debt: vec![0.0; classes],
            drained_at: now,
            standing: vec![0.0; classes],
            k: vec![Ratio::default(); classes],
            slow: Ratio::default(),
            width,
            stepped_at: now,
            pressed: false,
            waiting: 0.0,
            line: BTreeSet::new(),
            threads: 0.0,
            memory: 0.0,
            ghosts: Vec::new(),
            warm: VecDeque::new(),
            heard_at: now,
            load: None,
            fails: 0.0,
            probing: false,
            suspect: false,
            sick: None,
            recent: VecDeque::new(),
        }
    }

    /// Listed up and not left alone.
    pub fn is_well(&self) -> bool {
        self.sick.is_none() && self.entry.listed == Listed::Up
    }

    pub fn total_debt(&self) -> f64 {
        self.debt.iter().sum()
    }

    /// Threads and memory held by what runs here, ghosts among them.
    pub fn held(&self) -> (f64, f64) {
        self.ghosts.iter().fold((self.threads, self.memory), |sum, g| (sum.0 + g.1, sum.1 + g.2))
    }

    pub fn charge(&mut self, class: ClassId, cost: f64) {
        self.debt[class.0] += cost;
        self.standing[class.0] += cost;
    }

    pub fn discharge(&mut self, class: ClassId, cost: f64) {
        self.debt[class.0] = (self.debt[class.0] - cost).max(0.0);
        self.standing[class.0] = (self.standing[class.0] - cost).max(0.0);
    }

    /// An attempt starts here; of the groups read, the `keep` last are remembered.
    pub fn start(&mut self, flight: &Flight, keep: usize) {
        self.threads += flight.threads;
        self.memory += flight.memory;
        self.warm.retain(|&g| g != flight.request.group);
        self.warm.push_front(flight.request.group);
        self.warm.truncate(keep);
    }

    /// An attempt has ended here.
    pub fn finish(&mut self, flight: &Flight) {
        let standing = &mut self.standing[flight.request.class.0];
        *standing = (*standing - flight.cost).max(0.0);
        self.threads = (self.threads - flight.threads).max(0.0);
        self.memory = (self.memory - flight.memory).max(0.0);
    }

    /// Its process may have started anew, whatever the list says so far.
    pub fn broke_off(&mut self, now: Micros) {
        self.started = now;
        self.warm.clear();
        self.load = None;
        self.slow = Ratio::default();
    }

    /// Forgets what held for the process before.
    pub fn restart(&mut self) {
        self.warm.clear();
        self.fails = 0.0;
        self.sick = None;
        self.load = None;
        self.slow = Ratio::default();
    }
}

/// How an engine that is left alone gets back.
pub(crate) struct Sick {
    /// Good trials in a row.
    pub good: u32,
    pub wait: Micros,
    pub next: Micros,
    pub trial: Option<RequestId>,
    /// A request may try it.
    pub ready: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Place {
    /// Waits for its key's turn.
    Parked,
    Line(EngineId),
    Out,
    /// Its stream belongs to the client.
    Bound,
}

/// A request that is not over.
pub(crate) struct Open {
    pub request: Request,
    pub place: Place,
    /// When its worth falls.
    pub goal: Micros,
    pub over_share: bool,
    pub attempts: u32,
    /// The first attempt that may have run: its number, zone, cell, and when it was sent.
    pub maybe: Option<(u32, ZoneId, CellId, Micros)>,
    /// Another gateway took it.
    pub adopted: bool,
    /// Others spent attempts of which nothing is known: any may have run, anywhere, at any time.
    pub unknown: bool,
    /// The engine of the last failed attempt.
    pub avoid: Option<EngineId>,
    /// What it has added to the debt of its engine.
    pub charged: f64,
}

impl Open {
    pub fn new(request: Request, goal: Micros, over_share: bool) -> Self {
        Open {
            request,
            place: Place::Parked,
            goal,
            over_share,
            attempts: 0,
            maybe: None,
            adopted: false,
            unknown: false,
            avoid: None,
            charged: 0.0,
        }
    }

    pub fn may_have_run(&self) -> bool {
        self.unknown || self.maybe.is_some()
    }

    pub fn waits(&self) -> bool {
        matches!(self.place, Place::Parked | Place::Line(_))
    }
}

/// An attempt that is out.
pub(crate) struct Flight {
    pub engine: EngineId,
    pub request: Request,
    pub sent: Micros,
    /// Another gateway sent it: when this one began to wait for it.
    pub adopted: Option<Micros>,
    pub until: Micros,
    pub cost: f64,
    pub memory: f64,
    pub threads: f64,
    /// How long it should take.
    pub usual: f64,
    pub cancelled: bool,
    /// It stands in the engine's line for memory.
    pub waits: bool,
    /// The first note of progress: when, and the share done.
    pub seen: Option<(Micros, f64)>,
}

impl Flight {
    /// An attempt of `open` on `engine` from one time to another, with its threads and memory.
    pub fn new(open: &Open, engine: EngineId, span: (Micros, Micros), holds: (f64, f64), usual: f64) -> Self {
        Flight {
            engine,
            request: open.request.clone(),
            sent: span.0,
            adopted: None,
            until: span.1,
            cost: open.charged,
            memory: holds.1,
            threads: holds.0,
            usual,
            cancelled: false,
            waits: false,
            seen: None,
        }
    }

    /// Takes a note down; how long it still needs at the pace seen so far, where that can be told.
    pub fn note(&mut self, note: Note, now: Micros) -> Option<f64> {
        let done = match note {
            Note::Spills(_) => return None,
            Note::WaitsForLoad => return Some(f64::INFINITY),
            Note::WaitsForMemory => {
                self.waits = true;
                return Some(f64::INFINITY);
            }
            Note::Progress(done) => finite(done, 0.0, 1.0),
        };
        let from = self.seen.or((!self.waits).then_some((self.sent, 0.0)));
        self.waits = false;
        self.seen = self.seen.or(Some((now, done)));
        let (at, before) = from?;
        Some((1.0 - done) * now.saturating_sub(at) as f64 / (done - before).max(1e-6))
    }
}

/// The handle of the tick's timer.
pub(crate) const TICK_HANDLE: u64 = 0;

/// The turns of a key.
#[derive(Default)]
pub(crate) struct Turns {
    pub queue: VecDeque<RequestId>,
    pub rest_until: Micros,
}

impl Effect {
    /// A repeat on any engine does no harm.
    pub(crate) fn repeats_anywhere(&self) -> bool {
        matches!(self, Effect::Repeatable | Effect::Keyed { scope: KeyScope::All, .. })
    }
}

impl KeyScope {
    /// The engine drops repeats of what first went to that zone and cell.
    pub(crate) fn holds(self, entry: &EngineEntry, zone: ZoneId, cell: CellId) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => entry.zone == zone,
            KeyScope::Cell => entry.cell == cell,
        }
    }
}

/// What the guard says of a dispatch: yes, not now, or not on this engine.
#[derive(PartialEq)]
pub(crate) enum Leave {
    Yes,
    Later,
    No,
}

/// The decisions of one query gateway. What it decides stands in `src/logic`.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) rng: u64,
    pub(crate) ticking: bool,
    /// When this gateway last came back from a stall.
    pub(crate) awake: Micros,
    pub(crate) asked_at: Option<Micros>,
    /// The least slowness seen, and that of late, over all engines.
    pub(crate) best_slow: f64,
    pub(crate) slow: Ratio,
    /// Threads for each core of this gateway's share of the fleet.
    pub(crate) width: f64,
    pub(crate) stepped_at: Micros,
    pub(crate) pressed: bool,
    /// Looked up once for each event: the median slowness of engines, the fleet's cores for this gateway.
    pub(crate) usual_slow: f64,
    pub(crate) fleet_cores: f64,
    pub(crate) fleet_memory: f64,
    /// The load reported of late, over all engines.
    pub(crate) usual_load: f64,
    /// The part of the fleet that was told.
    pub(crate) part: Option<f64>,
    /// The parts of own clients' and of guests' requests that are let in, by class, and how long others are to stay away.
    pub(crate) kept: [Vec<f64>; 2],
    pub(crate) back: Micros,
    pub(crate) learned: Vec<Learned>,
    /// Each tenant's tokens, and when they were last filled up.
    pub(crate) tokens: Vec<(f64, Micros)>,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) flights: BTreeMap<(RequestId, u32), Flight>,
    pub(crate) keys: BTreeMap<OrderKey, Turns>,
    /// When requests were taken and further attempts sent, as far back as the budget looks.
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) extras: VecDeque<Micros>,
}

impl Gateway {
    pub(crate) fn empty(settings: Settings, seed: u64) -> Self {
        Gateway {
            learned: vec![Learned::default(); settings.classes.len()],
            tokens: vec![(f64::INFINITY, 0); settings.tenants.len()],
            settings,
            now: 0,
            rng: seed,
            ticking: false,
            awake: 0,
            asked_at: None,
            best_slow: f64::INFINITY,
            slow: Ratio::default(),
            width: 1.0,
            stepped_at: 0,
            pressed: false,
            usual_slow: 1.0,
            fleet_cores: 0.0,
            fleet_memory: 0.0,
            usual_load: 0.0,
            part: None,
            kept: Default::default(),
            back: 0,
            engines: BTreeMap::new(),
            open: BTreeMap::new(),
            flights: BTreeMap::new(),
            keys: BTreeMap::new(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
        }
    }

    pub(crate) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class.0]
    }

    pub(crate) fn threads(&self, request: &Request) -> f64 {
        f64::from(self.class(request).threads.max(1))
    }

    pub(crate) fn cores(&self, e: &Engine) -> f64 {
        finite(self.settings.kinds.get(e.entry.kind.0).map_or(1.0, |k| k.cores), 1.0, 4096.0)
    }

    pub(crate) fn is_out(&self, id: RequestId) -> bool {
        self.flights.range((id, 0)..=(id, u32::MAX)).next().is_some()
    }

    /// A random draw (splitmix64).
    pub(crate) fn draw(&mut self) -> u64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.rng)
    }

    pub(crate) fn memory(&self, e: &Engine) -> f64 {
        self.settings.kinds.get(e.entry.kind.0).map_or(0.0, |k| k.memory_mb)
    }

    pub(crate) fn sick(&mut self, engine: EngineId) -> Option<&mut Sick> {
        self.engines.get_mut(&engine)?.sick.as_mut()
    }

    /// A load stands still while another holds its group there, and so do classes that wait for loads.
    pub(crate) fn is_blocked(&self, open: &Open, engine: EngineId) -> bool {
        let class = self.class(&open.request);
        let waits = class.is_load || class.waits_for_loads;
        let group = open.request.group;
        let is_load = |f: &Flight| self.class(&f.request).is_load;
        let holds = |f: &Flight| f.engine == engine && f.request.group == group && is_load(f);
        waits && self.flights.values().any(holds)
    }

    /// The part of the span in which an engine may still be cold that has passed; none once it is over.
    pub(crate) fn cold_age(&self, e: &Engine) -> Option<f64> {
        let (start, span) = (e.entry.came_up.max(e.started), self.settings.cold_span);
        let age = self.now.saturating_sub(start);
        (start > 0 && age < span).then(|| age as f64 / span as f64)
    }

    pub(crate) fn is_cold(&self, e: &Engine) -> bool {
        self.cold_age(e).is_some()
    }

    /// Threads of the widest class.
    pub(crate) fn widest(&self) -> f64 {
        f64::from(self.settings.classes.iter().map(|c| c.threads).max().unwrap_or(1).max(1))
    }

    /// Puts a request into an engine's line, charged with its predicted cost.
    pub(crate) fn line_up(&mut self, id: RequestId, engine: EngineId, cost: f64) {
        let (Some(open), Some(e)) = (self.open.get_mut(&id), self.engines.get_mut(&engine)) else { return };
        open.place = Place::Line(engine);
        open.charged = cost;
        e.charge(open.request.class, cost);
        e.waiting += cost;
        e.line.insert((open.goal, id));
    }

    /// Takes a request out of the line it waits in and lifts its charge.
    pub(crate) fn leave(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Place::Line(engine) = open.place else { return };
        open.place = Place::Parked;
        if let Some(e) = self.engines.get_mut(&engine) {
            e.line.remove(&(open.goal, id));
            e.waiting = (e.waiting - open.charged).max(0.0);
            e.discharge(open.request.class, open.charged);
        }
    }

    /// An attempt has gone out; `weight` is its weight on a cold engine, if this gateway sent it.
    pub(crate) fn sent(&mut self, id: RequestId, flight: Flight, weight: Option<f64>, keep: usize) {
        let (now, at) = (self.now, flight.sent);
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(e) = self.engines.get_mut(&flight.engine) else { return };
        e.line.remove(&(open.goal, id));
        e.waiting = (e.waiting - open.charged).max(0.0);
        e.start(&flight, keep);
        e.recent.extend(weight.map(|weight| (now, weight, open.request.class.0)));
        self.extras.extend((open.attempts > 0 && flight.adopted.is_none()).then_some(now));
        open.place = Place::Out;
        open.charged = 0.0;
        open.maybe = open.maybe.or(Some((open.attempts, e.entry.zone, e.entry.cell, at)));
        self.flights.insert((id, open.attempts), flight);
        open.attempts += 1;
    }

    /// Averages of the work and worth asked for, each class's part of them.
    pub(crate) fn note_asked(&mut self, class: usize, cost: f64, worth: f64, weight: f64) {
        for (i, learned) in self.learned.iter_mut().enumerate() {
            let asked = if i == class { (cost, worth) } else { (0.0, 0.0) };
            learned.asked += weight * (asked.0 - learned.asked);
            learned.worth += weight * (asked.1 - learned.worth);
        }
    }

    /// Threads and memory held on all engines.
    pub(crate) fn held(&self) -> (f64, f64) {
        self.engines.values().map(Engine::held).fold((0.0, 0.0), |sum, h| (sum.0 + h.0, sum.1 + h.1))
    }

    /// Debt on all engines.
    pub(crate) fn fleet_debt(&self) -> f64 {
        self.engines.values().map(Engine::total_debt).sum()
    }

    pub(crate) fn any_line(&self) -> bool {
        self.open.values().any(Open::waits)
    }

    /// What another gateway took came before all that waits here for a turn of its key; what is `out` comes first. What the
    /// key rested for is not known: it rests anew.
    pub(crate) fn queue_adopted(&mut self, id: RequestId, key: &OrderKey, out: bool) {
        let turns = self.keys.entry(key.clone()).or_default();
        let begun = |id: &&RequestId| self.open.get(id).is_none_or(|o| o.adopted || o.attempts > 0);
        let at = if out { 0 } else { turns.queue.iter().take_while(begun).count() };
        let first = turns.queue.front().copied().filter(|_| at == 0);
        turns.queue.insert(at, id);
        first.into_iter().for_each(|first| self.leave(first));
        self.rest_key(Some(key));
    }

    /// Drops what is over from a key's queue; its first request, if that is parked and nothing of it is out.
    pub(crate) fn next_of(&mut self, key: &OrderKey) -> Option<RequestId> {
        loop {
            let turns = self.keys.get(key)?;
            let Some(&first) = turns.queue.front() else {
                if self.now >= turns.rest_until {
                    self.keys.remove(key);
                }
                return None;
            };
            if self.open.contains_key(&first) || self.is_out(first) {
                let parked = self.open.get(&first).is_some_and(|o| o.place == Place::Parked);
                return (parked && !self.is_out(first)).then_some(first);
            }
            self.keys.get_mut(key)?.queue.pop_front();
        }
    }

    /// The average share of failures at the other engines.
    pub(crate) fn fails_elsewhere(&self, engine: EngineId) -> f64 {
        let others = self.engines.iter().filter(|(&id, _)| id != engine);
        others.map(|(_, e)| e.fails).sum::<f64>() / (self.engines.len() as f64 - 1.0).max(1.0)
    }

    /// Threads of the average query in flight, by the mix of late.
    pub(crate) fn usual_threads(&self) -> f64 {
        let work: f64 = self.learned.iter().map(|l| l.asked).sum();
        let spans = self.learned.iter().zip(&self.settings.classes);
        let spans: f64 = spans.map(|(l, c)| l.asked / f64::from(c.threads.max(1))).sum();
        finite(work / spans, 1.0, 1e3)
    }

    /// Worth for each unit of predicted work, of all that was asked for.
    pub(crate) fn usual_density(&self) -> f64 {
        let sums = self.learned.iter().fold((0.0, 0.0), |s, l| (s.0 + l.worth, s.1 + l.asked));
        finite(sums.0 / sums.1, 1e-12, 1e12)
    }

    /// The average worth of a request.
    pub(crate) fn usual_worth(&self) -> f64 {
        self.learned.iter().map(|l| l.worth).sum()
    }

    /// Every engine that is listed up and not left alone.
    pub(crate) fn well(&self) -> Vec<EngineId> {
        self.engines.iter().filter(|(_, e)| e.is_well()).map(|(&id, _)| id).collect()
    }

    /// Nothing is open, out, ordered or left alone.
    pub(crate) fn is_still(&self) -> bool {
        let idle = self.open.is_empty() && self.flights.is_empty() && self.keys.is_empty();
        idle && self.engines.values().all(|e| e.sick.is_none())
    }

    /// Every engine with a line, the one with the earliest deadline first.
    pub(crate) fn lines(&self) -> Vec<EngineId> {
        let heads = self.engines.iter().filter_map(|(&id, e)| e.line.first().map(|&head| (head, id)));
        heads.collect::<BTreeSet<_>>().into_iter().map(|(_, engine)| engine).collect()
    }

    /// Moves what waits in a line to another deadline.
    pub(crate) fn put_back(&mut self, id: RequestId, goal: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Place::Line(engine) = open.place else { return };
        if let Some(e) = self.engines.get_mut(&engine) {
            e.line.remove(&(open.goal, id));
            open.goal = goal;
            e.line.insert((open.goal, id));
        }
    }

    /// Takes entries of a list over; what has started anew is forgotten. No list takes a start back: an older one would make
    /// a cold engine look warm.
    pub(crate) fn enlist(&mut self, entries: Vec<EngineEntry>, width: f64) {
        let classes = self.settings.classes.len();
        for mut entry in entries {
            let fresh = || Engine::new(entry.clone(), classes, width, self.now);
            let e = self.engines.entry(entry.engine).or_insert_with(fresh);
            if entry.came_up > e.entry.came_up {
                e.restart();
                e.started = 0;
            }
            entry.came_up = entry.came_up.max(e.entry.came_up);
            e.entry = entry;
        }
    }

    /// An engine that was left alone is as good as new.
    pub(crate) fn recovered(&mut self, engine: EngineId) {
        let Some(e) = self.engines.get_mut(&engine) else { return };
        e.sick = None;
        e.fails = 0.0;
        e.heard_at = self.now;
    }

    /// The attempts of a request that are out and were not withdrawn yet; now they are.
    pub(crate) fn withdraw(&mut self, id: RequestId) -> Vec<u32> {
        let out = self.flights.range_mut((id, 0)..=(id, u32::MAX));
        let mine = out.map(|(&(_, attempt), f)| (attempt, std::mem::replace(&mut f.cancelled, true)));
        mine.filter(|(_, before)| !before).map(|(attempt, _)| attempt).collect()
    }

    /// A key's rest begins.
    pub(crate) fn rest_key(&mut self, key: Option<&OrderKey>) {
        let until = self.now.saturating_add(self.settings.key_cooldown);
        if let Some(turns) = key.and_then(|k| self.keys.get_mut(k)) {
            turns.rest_until = turns.rest_until.max(until);
        }
    }

    /// Moves what has passed its goal while it waited to its deadline.
    pub(crate) fn put_back_late(&mut self) {
        let late =
            |o: &Open| o.goal < self.now && o.goal < o.request.deadline && matches!(o.place, Place::Line(_));
        let late: Vec<_> =
            self.open.iter().filter(|(_, o)| late(o)).map(|(&id, o)| (id, o.request.deadline)).collect();
        late.into_iter().for_each(|(id, due)| self.put_back(id, due));
    }

    /// What a whole list does not name is gone.
    pub(crate) fn mark_missing(&mut self, entries: &[EngineEntry]) {
        let named: BTreeSet<EngineId> = entries.iter().map(|e| e.engine).collect();
        for (_, e) in self.engines.iter_mut().filter(|(id, _)| !named.contains(id)) {
            e.entry.listed = Listed::Removed;
        }
    }

    pub(crate) fn not_up(&self) -> Vec<EngineId> {
        self.engines.iter().filter(|(_, e)| e.entry.listed != Listed::Up).map(|(&id, _)| id).collect()
    }

    /// Forgets engines that are gone, owe no answer and were sent nothing of late: a list that lacks one for a moment must
    /// not give a cold engine its part a second time.
    pub(crate) fn drop_removed(&mut self) {
        let owing: BTreeSet<EngineId> = self.flights.values().map(|f| f.engine).collect();
        self.engines
            .retain(|id, e| e.entry.listed != Listed::Removed || owing.contains(id) || !e.recent.is_empty());
    }

    /// Forgets what no rule needs any more, and attempts `unanswered` for so long past their time.
    pub(crate) fn drop_old(&mut self, unanswered: Micros) {
        let now = self.now;
        let lost = self.flights.iter().filter(|(_, f)| now >= f.until.saturating_add(unanswered));
        for key in lost.map(|(&key, _)| key).collect::<Vec<_>>() {
            let flight = self.flights.remove(&key);
            flight.and_then(|f| self.engines.get_mut(&f.engine).map(|e| e.finish(&f)));
        }
        let window = self.settings.budget.as_ref().map_or(0, |b| b.window);
        let from = self.now.saturating_sub(window.saturating_add(2 * self.settings.quantum));
        trim(&mut self.taken, from, |&t| t);
        trim(&mut self.extras, from, |&t| t);
        let recent_from = self.now.saturating_sub(self.settings.overload_span.saturating_mul(2));
        for e in self.engines.values_mut() {
            trim(&mut e.recent, recent_from, |c| c.0);
        }
        if self.engines.values().any(|e| e.entry.listed == Listed::Removed) {
            self.drop_removed();
        }
    }
}

/// Drops what is older than `from` at the front of a queue.
pub(crate) fn trim<T>(queue: &mut VecDeque<T>, from: Micros, time: impl Fn(&T) -> Micros) {
    while queue.front().is_some_and(|item| time(item) < from) {
        queue.pop_front();
    }
}

/// The median.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// `x` within bounds; the least if it is no number.
pub(crate) fn finite(x: f64, least: f64, most: f64) -> f64 {
    if x.is_finite() {
        x.clamp(least, most)
    } else {
        least
    }
}

/// A number from 0 to 1 made of random bits.
pub(crate) fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Scatters the bits of a number (the last step of splitmix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
