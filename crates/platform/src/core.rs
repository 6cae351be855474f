//! The core: the state machine between clients, the decision module and engines. Free of I/O and clock.
//!
//! It turns what has happened on the sockets into the module's events and its actions into [`Effect`]s, and decides
//! nothing. Times are microseconds of the Unix clock, passed in with each call.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::ops::RangeInclusive;
use std::rc::Rc;

use violetward::{
    Action, Answer, Decide, EngineId, Event, ListKind, Load, Micros, Outcome, Request, RequestId,
};
use violetward_wheel::{TimerKey, TimerWheel};

use crate::call::Call;
use crate::list::List;

/// A connection of a client; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// An attempt: its request and its number, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub RequestId, pub u32);

/// An attempt to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct Launch {
    /// Which one.
    pub attempt: AttemptId,
    /// Where.
    pub engine: EngineId,
    /// Place of the request's class.
    pub class: usize,
    /// The client's mark, by which engines drop repeats.
    pub once: Option<String>,
    /// Memory granted in megabytes; 0 leaves it to the engine.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub rank: u8,
    /// When it times out.
    pub until: Micros,
    /// The statement.
    pub body: Rc<[u8]>,
}

/// A client's final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Served, with the result.
    Served(Vec<u8>),
    /// Refused: a further try is harmless. With the span to stay away, 0 for no advice.
    Refused(Micros),
    /// Failed: it is not said whether it ran.
    Failed,
}

impl Verdict {
    /// A word for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::Served(_) => "served",
            Verdict::Refused(_) => "refused",
            Verdict::Failed => "failed",
        }
    }
}

/// Something for the host to carry out, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Begin an attempt.
    Launch(Launch),
    /// Give an attempt up. Nothing more is heard of it.
    Withdraw(EngineId, AttemptId),
    /// Give an attempt that is out another priority.
    Renice(EngineId, AttemptId, u8),
    /// Check an engine.
    Probe(EngineId),
    /// Answer a client's request, by its connection and its number there.
    Answer(ClientId, i32, Verdict),
    /// The module has something to say.
    Say(String),
}

/// Why a request is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is the module's now.
    Yes,
    /// Its id is that of a request of this connection that is still open.
    OwnId,
    /// Its id is that of a request of another client, or of one whose attempts have not all ended.
    OthersId,
    /// There is no room for more; a further try is harmless.
    Full,
}

/// How an attempt ended, as its connection tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct Ending {
    /// How.
    pub outcome: Outcome,
    /// True work, where told.
    pub work: Option<Micros>,
    /// Memory needed in megabytes, where told.
    pub memory_mb: Option<f64>,
    /// The engine's load, where told.
    pub load: Load,
    /// The result, where served.
    pub result: Vec<u8>,
}

impl Ending {
    /// An end that tells nothing else.
    pub fn of(outcome: Outcome) -> Self {
        Ending { outcome, work: None, memory_mb: None, load: Load::default(), result: Vec::new() }
    }
}

struct Open {
    client: ClientId,
    seqid: i32,
    class: usize,
    once: Option<String>,
    /// For how long engines drop repeats, and the first attempt that may have run: its number, and when it was written.
    window: Option<Micros>,
    may_have_run: Option<(u32, Micros)>,
    body: Rc<[u8]>,
    due: Micros,
    overdue: TimerKey,
    /// Memory in megabytes and priority of the next attempt.
    terms: (f64, u8),
    attempts: u32,
    /// Its client takes it back; the module has not been told yet.
    lapsing: bool,
}

struct Attempt {
    engine: EngineId,
    /// When it was written; when it was launched, if it still waits for a connection.
    sent: Micros,
    /// It has gone out on a connection, so that it may run. Until then it surely has not.
    written: bool,
    /// When it times out.
    until: Micros,
    timer: TimerKey,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Timer {
    Module(u64),
    Attempt(AttemptId),
    Overdue(RequestId),
}

/// Bounds of what the core holds, and what it needs of the settings.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Attempts that a request may have.
    pub attempts_cap: u32,
    /// Requests that may be open; more are refused before the module sees them.
    pub open_cap: usize,
    /// Bytes of statements that may be held; likewise.
    pub body_bytes: usize,
    /// Time that an answer needs to its client: the module is told that much less of the client's wait.
    pub margin: Micros,
    /// How long clients hold back a request with an order key before they write it, as far as that is allowed for.
    pub held: Micros,
}

/// Counts of what has happened, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Taken back by clients.
    pub lapsed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Requests that the module had not ended in time: 0, or there is a fault.
    pub overdue: u64,
    /// Refused for want of room, before the module.
    pub full: u64,
    /// Taken back by clients, or their connections ended, when their time was all but over: they may have begun to count
    /// earlier than this side did.
    pub lapsed_late: u64,
}

/// The state machine. See the module's documentation.
pub struct Core {
    gateway: Box<dyn Decide>,
    terms: Terms,
    open: HashMap<RequestId, Open>,
    numbers: BTreeMap<(ClientId, i32), RequestId>,
    attempts: BTreeMap<AttemptId, Attempt>,
    listed: HashSet<EngineId>,
    timers: TimerWheel<Timer>,
    fired: Vec<Timer>,
    inbox: VecDeque<Event>,
    effects: VecDeque<Effect>,
    body_bytes: usize,
    now: Micros,
    /// Counts since the start.
    pub counts: Counts,
}

/// How long before the end of a window of repeats the last one is written: a timer is late by a turn of the host.
const WINDOW_MARGIN: Micros = 5_000;

/// A request that is taken back with no more of its time left than this is counted apart.
const LAPSED_LATE: Micros = 500_000;

/// All attempts of a request.
fn attempts_of(id: RequestId) -> RangeInclusive<AttemptId> {
    AttemptId(id, 0)..=AttemptId(id, u32::MAX)
}

/// The wheel's ticks are milliseconds; a timer is never early.
fn tick(at: Micros) -> u64 {
    at.div_ceil(1000)
}

impl Core {
    /// A core without engines, at a time.
    pub fn new(gateway: Box<dyn Decide>, terms: Terms, now: Micros) -> Self {
        Core {
            gateway,
            terms,
            open: HashMap::new(),
            numbers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            listed: HashSet::new(),
            timers: TimerWheel::new(now / 1000),
            fired: Vec::new(),
            inbox: VecDeque::new(),
            effects: VecDeque::new(),
            body_bytes: 0,
            now,
            counts: Counts::default(),
        }
    }

    /// The next effect to be carried out.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Core::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next_tick().map(|tick| tick * 1000)
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Entries of every map and of the timers: open requests, their numbers, attempts that are out, engines, timers.
    pub fn held(&self) -> [usize; 5] {
        [self.open.len(), self.numbers.len(), self.attempts.len(), self.listed.len(), self.timers.len()]
    }

    /// Whether an attempt has been launched, and has neither ended nor been given up.
    pub fn is_out(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Whether the connection has an open request under that number.
    pub fn has(&self, client: ClientId, seqid: i32) -> bool {
        self.numbers.contains_key(&(client, seqid))
    }

    /// Open requests of a connection.
    pub fn open_of(&self, client: ClientId) -> usize {
        self.numbers.range((client, i32::MIN)..=(client, i32::MAX)).count()
    }

    /// Takes a client's request.
    pub fn request(&mut self, now: Micros, client: ClientId, seqid: i32, call: Call) -> Taken {
        self.pass(now);
        if let Some(open) = self.open.get(&call.id) {
            return if open.client == client { Taken::OwnId } else { Taken::OthersId };
        }
        if self.attempts.range(attempts_of(call.id)).next().is_some() {
            return Taken::OthersId;
        }
        if self.open.len() >= self.terms.open_cap || self.body_bytes + call.body.len() > self.terms.body_bytes
        {
            self.counts.full += 1;
            return Taken::Full;
        }
        let due = self.now + call.wait.saturating_sub(self.kept_back(&call));
        self.counts.taken += 1;
        self.body_bytes += call.body.len();
        let open = Open {
            client,
            seqid,
            class: call.class,
            once: call.once,
            window: call.window,
            may_have_run: None,
            body: call.body,
            due,
            // Behind the attempt's own time-out and the module's tick: a request that this finds open is a fault.
            overdue: self.timers.schedule(tick(due + self.terms.margin / 2) + 1, Timer::Overdue(call.id)),
            terms: (0.0, 1),
            attempts: 0,
            lapsing: false,
        };
        self.open.insert(call.id, open);
        self.numbers.insert((client, seqid), call.id);
        self.tell(Event::Request(Request {
            id: call.id,
            class: violetward::ClassId(call.class),
            tenant: call.tenant,
            cost: call.cost,
            memory_mb: call.memory_mb,
            group: call.group,
            key: call.key,
            is_retry: call.retry,
            has_dedup_key: true,
            pin: None,
            deadline: due,
        }));
        Taken::Yes
    }

    /// What of a client's wait is not there to be used. A request with an order key, a first try too, may have been held
    /// back by its client so that it is not too close behind the key's last ones: its wait has run since then, and nothing
    /// tells for how long. Without this it gets its answer when its client is gone, and its engine too much patience. A
    /// quarter of its class's longest wait goes to that at most; a further try with less than that left is refused at once.
    fn kept_back(&self, call: &Call) -> Micros {
        let held = if call.key.is_some() { self.terms.held.min(call.longest_wait / 4) } else { 0 };
        self.terms.margin.min(call.wait / 4) + held
    }

    /// A client takes a request back; nothing happens if that has ended.
    pub fn lapse(&mut self, now: Micros, client: ClientId, seqid: i32) {
        self.lapse_all(now, client, &[seqid]);
    }

    /// A client takes requests back. None of them gets an attempt in place of another that goes with it.
    pub fn lapse_all(&mut self, now: Micros, client: ClientId, seqids: &[i32]) {
        self.pass(now);
        let numbers = &self.numbers;
        let lapsing: Vec<RequestId> =
            seqids.iter().filter_map(|&seqid| numbers.get(&(client, seqid)).copied()).collect();
        for id in &lapsing {
            self.open.get_mut(id).into_iter().for_each(|open| open.lapsing = true);
        }
        for id in lapsing {
            if let Some(open) = self.close(id) {
                tracing::debug!(client = client.0, seqid = open.seqid, id = %format_args!("{:016x}", id.0), "taken back");
                self.counts.lapsed += 1;
                let left = open.due.saturating_sub(self.now);
                self.counts.lapsed_late += u64::from(left < LAPSED_LATE);
                self.tell(Event::Lapsed(id));
            }
        }
    }

    /// A client's connection has ended, and its open requests with it.
    pub fn client_gone(&mut self, now: Micros, client: ClientId) {
        let numbers = self.numbers.range((client, i32::MIN)..=(client, i32::MAX)).map(|(&(_, n), _)| n);
        let seqids: Vec<i32> = numbers.collect();
        self.lapse_all(now, client, &seqids);
    }

    /// An attempt goes out on its connection only now: what it has waited for that is no time of its engine's. Counted as
    /// such, a late connection would make a sound engine look slow.
    pub fn written(&mut self, now: Micros, attempt: AttemptId) {
        self.pass(now);
        let Some(out) = self.attempts.get_mut(&attempt) else { return };
        (out.sent, out.written) = (self.now, true);
        self.timers.cancel(out.timer);
        out.timer = self.timers.schedule(tick(out.until), Timer::Attempt(attempt));
        if let Some(open) = self.open.get_mut(&attempt.0) {
            open.may_have_run = open.may_have_run.or(Some((attempt.1, self.now)));
        }
    }

    /// An attempt has ended on its connection. One that had been given up is not known any more.
    pub fn ended(&mut self, now: Micros, attempt: AttemptId, ending: Ending) {
        self.pass(now);
        self.finish(attempt, ending);
    }

    /// A probe has come back.
    pub fn probed(&mut self, now: Micros, engine: EngineId, ok: bool, load: Load) {
        self.pass(now);
        self.tell(Event::Probed { engine, ok, load });
    }

    /// The list of engines, whole; `known` if it is that of the start.
    pub fn engines(&mut self, now: Micros, list: &List, known: bool) {
        self.pass(now);
        self.listed = list.engines.values().map(|l| l.entry.engine).collect();
        let kind = if known { ListKind::WarmCopy } else { ListKind::Whole };
        let entries = list.engines.values().map(|l| l.entry.clone()).collect();
        self.tell(Event::Engines { kind, entries });
    }

    /// Lets time pass: timers that are due act.
    pub fn wake(&mut self, now: Micros) {
        self.pass(now);
        let mut fired = std::mem::take(&mut self.fired);
        self.timers.advance(self.now / 1000, &mut fired);
        for timer in fired.drain(..) {
            match timer {
                Timer::Module(handle) => self.tell(Event::Elapsed(handle)),
                Timer::Attempt(attempt) => {
                    self.give_up(attempt, Outcome::Timeout);
                    self.pass_on();
                }
                Timer::Overdue(id) => {
                    if let Some(open) = self.close(id) {
                        self.counts.overdue += 1;
                        self.effects.push_back(Effect::Answer(open.client, open.seqid, Verdict::Failed));
                        self.tell(Event::Lapsed(id));
                    }
                }
            }
        }
        self.fired = fired;
    }

    /// The module's time only goes forward.
    fn pass(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Gives an open request its final answer; none if its client takes it back.
    fn conclude(&mut self, id: RequestId, verdict: Verdict) {
        let Some(open) = self.close(id) else { return };
        let count = match verdict {
            _ if open.lapsing => &mut self.counts.lapsed,
            Verdict::Served(_) => &mut self.counts.served,
            Verdict::Refused(_) => &mut self.counts.refused,
            Verdict::Failed => &mut self.counts.failed,
        };
        *count += 1;
        tracing::debug!(id = %format_args!("{:016x}", id.0), client = open.client.0, seqid = open.seqid,
            verdict = verdict.name(), attempts = open.attempts, may_have_run = open.may_have_run.is_some(),
            left_ms = open.due.saturating_sub(self.now) / 1000, "concluded");
        if !open.lapsing {
            self.effects.push_back(Effect::Answer(open.client, open.seqid, verdict));
        }
    }

    /// Forgets an open request. What of it has not been written yet never will be: its client is answered or gone. What
    /// has been written is the module's to withdraw.
    fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        self.numbers.remove(&(open.client, open.seqid));
        self.timers.cancel(open.overdue);
        self.body_bytes -= open.body.len();
        let out = self.attempts.range(attempts_of(id));
        let unwritten = out.filter(|(_, attempt)| !attempt.written).map(|(&attempt, _)| attempt);
        for attempt in unwritten.collect::<Vec<_>>() {
            self.give_up(attempt, Outcome::Moot);
        }
        Some(open)
    }

    /// Gives an attempt up and queues its end for the module: the outcome, or that it was never sent if it has not been
    /// written. Nothing happens if it has ended.
    fn give_up(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(out) = self.attempts.remove(&attempt) else { return };
        let outcome = if out.written { outcome } else { Outcome::Moot };
        tracing::debug!(engine = %format_args!("{:x}", out.engine.0), id = %format_args!("{:016x}", attempt.0 .0),
            attempt = attempt.1, ?outcome, "given up");
        self.timers.cancel(out.timer);
        self.effects.push_back(Effect::Withdraw(out.engine, attempt));
        self.answer(attempt, outcome, self.now.saturating_sub(out.sent));
    }

    fn finish(&mut self, id: AttemptId, ending: Ending) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.cancel(attempt.timer);
        if matches!(ending.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot) {
            // It surely has not run: the window begins with a later attempt.
            if let Some(open) = self.open.get_mut(&id.0) {
                open.may_have_run = open.may_have_run.filter(|&(number, _)| number != id.1);
            }
        }
        let served = ending.outcome == Outcome::Ok;
        if served {
            self.conclude(id.0, Verdict::Served(ending.result));
        }
        self.tell(Event::Answer(Answer {
            id: id.0,
            attempt: id.1,
            outcome: ending.outcome,
            took: self.now.saturating_sub(attempt.sent),
            complete: !self.open.contains_key(&id.0),
            work: ending.work,
            memory_mb: ending.memory_mb,
            load: ending.load,
        }));
    }

    /// Passes an event to the module, before what is queued already.
    fn tell(&mut self, event: Event) {
        self.inbox.push_front(event);
        self.pass_on();
    }

    /// Passes what is queued to the module and carries out what it answers, and what follows from that.
    fn pass_on(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.inbox.pop_front() {
            self.gateway.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, engine, until } => self.dispatch(id, engine, until),
            Action::Terms { id, memory_mb, rank } => {
                let Some(open) = self.open.get_mut(&id) else { return };
                let before = std::mem::replace(&mut open.terms, (memory_mb, rank));
                if before.1 != rank {
                    let out = self.attempts.range(attempts_of(id));
                    let renice = out.map(|(&attempt, a)| Effect::Renice(a.engine, attempt, rank));
                    self.effects.extend(renice);
                }
            }
            Action::Refuse { id, retry_after } => self.conclude(id, Verdict::Refused(retry_after)),
            Action::Fail(id) => self.conclude(id, Verdict::Failed),
            Action::Cancel { id, attempt } => self.give_up(AttemptId(id, attempt), Outcome::Cancelled),
            Action::Probe(engine) => self.effects.push_back(Effect::Probe(engine)),
            Action::Arm { handle, span } => {
                self.timers.schedule(tick(self.now + span), Timer::Module(handle));
            }
            Action::Log(text) => self.effects.push_back(Effect::Say(text)),
            // The list is followed by the host anyway, and gateways do not speak with each other here.
            Action::Subscribe | Action::FetchList | Action::Broadcast(_) => {}
        }
    }

    fn dispatch(&mut self, id: RequestId, engine: EngineId, until: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = AttemptId(id, open.attempts);
        open.attempts += 1;
        let until = if until == 0 { open.due } else { until.min(open.due) };
        let known = self.listed.contains(&engine);
        if open.lapsing || !known || attempt.1 >= self.terms.attempts_cap || until <= self.now {
            return self.answer(attempt, Outcome::Moot, 0);
        }
        self.counts.attempts += 1;
        self.effects.push_back(Effect::Launch(Launch {
            attempt,
            engine,
            class: open.class,
            once: open.once.clone(),
            memory_mb: open.terms.0,
            rank: open.terms.1,
            until,
            body: open.body.clone(),
        }));
        // Engines drop a repeat only within the window: one that is not written by then must not be written any more.
        let window_ends =
            open.window.zip(open.may_have_run).map(|(window, (_, at))| at.saturating_add(window));
        let write_by = window_ends.map_or(until, |ends| ends.saturating_sub(WINDOW_MARGIN).min(until));
        let timer = self.timers.schedule(tick(write_by), Timer::Attempt(attempt));
        self.attempts.insert(attempt, Attempt { engine, sent: self.now, written: false, until, timer });
    }

    /// Queues the end of an attempt that no connection tells of.
    fn answer(&mut self, attempt: AttemptId, outcome: Outcome, took: Micros) {
        self.inbox.push_back(Event::Answer(Answer {
            id: attempt.0,
            attempt: attempt.1,
            outcome,
            took,
            // Of a request that is being taken back nothing more is owed: no further attempt.
            complete: self.open.get(&attempt.0).is_none_or(|open| open.lapsing),
            work: None,
            memory_mb: None,
            load: Load::default(),
        }));
    }
}
