//! The state machine between clients, the decision module ([`violetward::Decide`]) and engines. It does no
//! I/O and reads no clock.
//!
//! It turns what happened on the sockets into events of the decision module, and the module's actions into
//! [`Effect`]s. It makes no decisions of its own. Times are microseconds since the Unix epoch, passed in with
//! each call.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::ops::RangeInclusive;
use std::rc::Rc;

use violetward::{
    Action, Answer, Decide, EngineId, Event, ListKind, Load, Micros, Outcome, Request, RequestId,
};
use violetward_wheel::{TimerKey, TimerWheel};

use crate::call::Call;
use crate::list::List;
use crate::recent_ids::RecentIds;

/// A client connection. Ids are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// One attempt at a request: the request's id and the attempt's number, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub RequestId, pub u32);

/// An attempt to be sent to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Launch {
    /// The attempt's id.
    pub attempt: AttemptId,
    /// The engine that it is sent to.
    pub engine: EngineId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Engines drop repeated requests with the same key.
    pub idempotency_key: Option<String>,
    /// Memory granted in megabytes; 0 leaves the amount to the engine.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// When the attempt times out.
    pub deadline: Micros,
    /// The statement.
    pub body: Rc<[u8]>,
}

/// The final answer to a client's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Served, with the result.
    Served(Vec<u8>),
    /// Refused: the request did not run and may safely be retried, after the given time (0: no advice).
    Refused(Micros),
    /// Failed: the request may or may not have run.
    Failed,
}

impl Reply {
    /// The name of the variant for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Reply::Served(_) => "served",
            Reply::Refused(_) => "refused",
            Reply::Failed => "failed",
        }
    }
}

/// An operation that the host carries out. Effects are carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send an attempt to its engine.
    Launch(Launch),
    /// Cancel an attempt. Its completion is no longer reported.
    CancelAttempt(EngineId, AttemptId),
    /// Change the priority of an outstanding attempt.
    Renice(EngineId, AttemptId, u8),
    /// Send a health check to an engine.
    Probe(EngineId),
    /// Answer a client's request, named by its connection and its sequence number there.
    Answer(ClientId, i32, Reply),
    /// Write a message of the decision module to the log.
    Log(String),
}

/// Whether a submitted request was accepted, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request was passed to the decision module.
    Accepted,
    /// The same connection has an open request with this id.
    OwnIdReused,
    /// Another client has an open request with this id, or an earlier request with it may have run.
    IdInUse,
    /// The limit on open requests or on the size of their statements is reached; the client may safely retry.
    Full,
}

/// How an attempt ended, as reported by its connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// CPU time used, if reported.
    pub work: Option<Micros>,
    /// Memory used in megabytes, if reported.
    pub memory_mb: Option<f64>,
    /// The engine's load, as far as reported.
    pub load: Load,
    /// The result if the attempt was served, else empty.
    pub result: Vec<u8>,
}

impl Completion {
    /// A completion that reports the outcome alone.
    pub fn new(outcome: Outcome) -> Self {
        Completion { outcome, work: None, memory_mb: None, load: Load::default(), result: Vec::new() }
    }
}

/// A request that has no final answer yet.
struct OpenRequest {
    client: ClientId,
    seqid: i32,
    class: usize,
    idempotency_key: Option<String>,
    /// For how long engines drop repeats of the request.
    dedup_window: Option<Micros>,
    /// The first attempt that may have run: its number, and when it was written.
    may_have_run: Option<(u32, Micros)>,
    /// The number of attempts that were written and are not known to have never run.
    uncertain_attempts: u32,
    body: Rc<[u8]>,
    deadline: Micros,
    overdue_timer: TimerKey,
    /// Memory in megabytes and priority of the next attempt.
    grant: (f64, u8),
    /// Attempts launched so far.
    attempts: u32,
    /// The client has cancelled the request; the decision module has not been told yet.
    cancelling: bool,
    /// The decision module has been told that the request was served; its result is still to come.
    is_concluded: bool,
}

/// An outstanding attempt.
struct Attempt {
    engine: EngineId,
    /// When the attempt was written to a connection; until then, when it was launched.
    sent: Micros,
    /// The attempt was written to a connection, and so may run. An unwritten attempt has certainly not run.
    written: bool,
    deadline: Micros,
    timer: TimerKey,
    /// The engine has served it, and the rest of the result waits there for the client. For the decision
    /// module it has ended.
    held: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Timer {
    /// A timer of the decision module.
    Module(u64),
    /// The time-out of an attempt.
    Attempt(AttemptId),
    /// The decision module has not ended a request in time.
    Overdue(RequestId),
}

/// Limits and times that the core is configured with.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Maximum number of attempts at one request.
    pub attempts_cap: u32,
    /// Maximum number of open requests; further ones are refused without consulting the decision module.
    pub open_cap: usize,
    /// Maximum total size of the statements of open requests in bytes; further requests are refused likewise.
    pub body_bytes_cap: usize,
    /// Maximum number of ids of ended requests that are remembered.
    pub recent_ids_max: usize,
    /// Time reserved for the answer to travel to the client. The decision module gets a deadline that is
    /// earlier by this.
    pub answer_margin: Micros,
    /// The longest time that clients are assumed to delay a request with an order key before they send it.
    pub client_delay: Micros,
}

/// Counters for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests accepted.
    pub taken: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by clients.
    pub lapsed: u64,
    /// Attempts launched.
    pub attempts: u64,
    /// Requests that the decision module did not end in time; any but 0 indicates a fault.
    pub overdue: u64,
    /// Requests refused because a limit was reached, without consulting the decision module.
    pub full: u64,
    /// Requests cancelled, or ended with their connection, shortly before their deadline: the client may have
    /// started its timer earlier than the gateway did.
    pub lapsed_late: u64,
}

/// The state machine; see the [module documentation](self).
pub struct Core {
    module: Box<dyn Decide>,
    config: CoreConfig,
    open: HashMap<RequestId, OpenRequest>,
    /// Open requests by connection and sequence number.
    by_seqid: BTreeMap<(ClientId, i32), RequestId>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Requests that have ended and may have run.
    recent_ids: RecentIds,
    /// Engines in the current list.
    listed: HashSet<EngineId>,
    timers: TimerWheel<Timer>,
    /// Buffer for timers that have expired.
    expired: Vec<Timer>,
    /// Events that the decision module has not been told yet.
    inbox: VecDeque<Event>,
    effects: VecDeque<Effect>,
    /// Total size of the statements of open requests.
    body_bytes: usize,
    now: Micros,
    /// Counters since the start.
    pub counts: Counts,
}

/// How long before the end of the dedup window the last repeat is written. Timers may fire late by one turn
/// of the host's event loop.
const DEDUP_WINDOW_MARGIN_US: Micros = 5_000;

/// A request that is cancelled with less than this left of its time is counted in [`Counts::lapsed_late`].
const LATE_CANCEL_US: Micros = 500_000;

/// The range of all attempt ids of a request.
fn attempts_of(id: RequestId) -> RangeInclusive<AttemptId> {
    AttemptId(id, 0)..=AttemptId(id, u32::MAX)
}

/// The event that tells the decision module the end of an attempt that a connection has reported.
fn end_event(id: AttemptId, completion: Completion, took: Micros, complete: bool) -> Event {
    let Completion { outcome, work, memory_mb, load, .. } = completion;
    Event::Answer(Answer { id: id.0, attempt: id.1, outcome, took, complete, work, memory_mb, load })
}

/// The tick of the timer wheel, in milliseconds, for a time. Rounds up so that no timer fires early.
fn tick(at: Micros) -> u64 {
    at.div_ceil(1000)
}

impl Core {
    /// Creates a core that knows no engines yet.
    pub fn new(module: Box<dyn Decide>, config: CoreConfig, now: Micros) -> Self {
        Core {
            module,
            recent_ids: RecentIds::new(config.recent_ids_max),
            config,
            open: HashMap::new(),
            by_seqid: BTreeMap::new(),
            attempts: BTreeMap::new(),
            listed: HashSet::new(),
            timers: TimerWheel::new(now / 1000),
            expired: Vec::new(),
            inbox: VecDeque::new(),
            effects: VecDeque::new(),
            body_bytes: 0,
            now,
            counts: Counts::default(),
        }
    }

    /// Removes and returns the next effect to be carried out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Core::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next_tick().map(|tick| tick * 1000)
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// The number of open requests, sequence numbers in use, outstanding attempts, listed engines and timers.
    pub fn entry_counts(&self) -> [usize; 5] {
        [self.open.len(), self.by_seqid.len(), self.attempts.len(), self.listed.len(), self.timers.len()]
    }

    /// Whether an attempt was launched and has neither ended nor been cancelled.
    pub fn is_outstanding(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Whether a connection has an open request with the sequence number.
    pub fn has_request(&self, client: ClientId, seqid: i32) -> bool {
        self.by_seqid.contains_key(&(client, seqid))
    }

    /// The connection of an open request.
    pub fn client_of(&self, id: RequestId) -> Option<ClientId> {
        self.open.get(&id).map(|open| open.client)
    }

    /// The number of open requests of a connection.
    pub fn open_requests_of(&self, client: ClientId) -> usize {
        self.by_seqid.range((client, i32::MIN)..=(client, i32::MAX)).count()
    }

    /// Submits a client's request.
    pub fn submit(&mut self, now: Micros, client: ClientId, seqid: i32, call: Call) -> Admission {
        self.advance_time(now);
        if let Some(open) = self.open.get(&call.id) {
            return if open.client == client { Admission::OwnIdReused } else { Admission::IdInUse };
        }
        let may_have_run = self.recent_ids.contains(self.now, call.id);
        if may_have_run || self.attempts.range(attempts_of(call.id)).next().is_some() {
            return Admission::IdInUse;
        }
        let has_room = self.open.len() < self.config.open_cap
            && self.body_bytes + call.body.len() <= self.config.body_bytes_cap;
        if !has_room {
            self.counts.full += 1;
            return Admission::Full;
        }
        let deadline = self.now + call.wait.saturating_sub(self.reserved_wait(&call));
        self.counts.taken += 1;
        self.body_bytes += call.body.len();
        // Later than the attempts' time-outs and the decision module's own timer: a request that is still
        // open then reveals a fault.
        let overdue_at = tick(deadline + self.config.answer_margin / 2) + 1;
        let open = OpenRequest {
            client,
            seqid,
            class: call.class,
            idempotency_key: call.idempotency_key,
            dedup_window: call.dedup_window,
            may_have_run: None,
            uncertain_attempts: 0,
            body: call.body,
            deadline,
            overdue_timer: self.timers.schedule(overdue_at, Timer::Overdue(call.id)),
            grant: (0.0, 1),
            attempts: 0,
            cancelling: false,
            is_concluded: false,
        };
        self.open.insert(call.id, open);
        self.by_seqid.insert((client, seqid), call.id);
        self.notify_module(Event::Request(Request {
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
            deadline,
        }));
        Admission::Accepted
    }

    /// The part of a client's wait that can't be used for attempts: the time for the answer to travel, and
    /// the time that the client may have delayed the request.
    ///
    /// Clients delay requests with an order key, first tries included, to keep a distance to earlier ones
    /// with the same key. The wait runs from before that delay, and the request doesn't say how long the
    /// delay was. Without this allowance the answer would come after the client has gone, and the engine
    /// would be given too long a time-out. The allowance is at most a quarter of the longest wait of the
    /// class; a retry with less than that left is refused at once.
    fn reserved_wait(&self, call: &Call) -> Micros {
        let delay = if call.key.is_some() { self.config.client_delay.min(call.longest_wait / 4) } else { 0 };
        self.config.answer_margin.min(call.wait / 4) + delay
    }

    /// Cancels a client's request; does nothing if it has ended.
    pub fn cancel_request(&mut self, now: Micros, client: ClientId, seqid: i32) {
        self.cancel_requests(now, client, &[seqid]);
    }

    /// Cancels requests of a client together: room that one of them frees is not used for an attempt at
    /// another one.
    pub fn cancel_requests(&mut self, now: Micros, client: ClientId, seqids: &[i32]) {
        self.advance_time(now);
        let by_seqid = &self.by_seqid;
        let cancelled: Vec<RequestId> =
            seqids.iter().filter_map(|&seqid| by_seqid.get(&(client, seqid)).copied()).collect();
        for id in &cancelled {
            self.open.get_mut(id).into_iter().for_each(|open| open.cancelling = true);
        }
        for id in cancelled {
            if let Some(open) = self.remove_request(id) {
                tracing::debug!(client = client.0, seqid = open.seqid, id = %format_args!("{:016x}", id.0),
                    "taken back");
                self.counts.lapsed += 1;
                let left = open.deadline.saturating_sub(self.now);
                self.counts.lapsed_late += u64::from(left < LATE_CANCEL_US);
                self.notify_lapsed(id, &open);
            }
        }
    }

    /// Cancels all open requests of a client whose connection has ended.
    pub fn client_disconnected(&mut self, now: Micros, client: ClientId) {
        let open = self.by_seqid.range((client, i32::MIN)..=(client, i32::MAX));
        let seqids: Vec<i32> = open.map(|(&(_, seqid), _)| seqid).collect();
        self.cancel_requests(now, client, &seqids);
    }

    /// Notes that an attempt was written to a connection. The engine's response time counts from here: with
    /// the wait for a connection included, a slow handshake would make a healthy engine look slow.
    pub fn attempt_written(&mut self, now: Micros, id: AttemptId) {
        self.advance_time(now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let was_written = attempt.written;
        (attempt.sent, attempt.written) = (self.now, true);
        self.timers.cancel(attempt.timer);
        attempt.timer = self.timers.schedule(tick(attempt.deadline), Timer::Attempt(id));
        if let Some(open) = self.open.get_mut(&id.0) {
            open.may_have_run = open.may_have_run.or(Some((id.1, self.now)));
            open.uncertain_attempts += u32::from(!was_written);
        }
    }

    /// Notes that an engine has served an attempt, and that the rest of the result waits there for the client.
    /// The decision module is told the attempt's end now: from here on it occupies no part of the engine, and
    /// its time says nothing about the engine. `completion` has no result yet.
    pub fn result_held(&mut self, now: Micros, id: AttemptId, completion: Completion) {
        self.advance_time(now);
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| !attempt.held) else { return };
        attempt.held = true;
        let took = self.now.saturating_sub(attempt.sent);
        if let Some(open) = self.open.get_mut(&id.0) {
            open.is_concluded = true;
            // No other attempt will serve the request, so that this one has all of its time.
            self.timers.cancel(attempt.timer);
            attempt.timer = self.timers.schedule(tick(open.deadline), Timer::Attempt(id));
        }
        self.notify_module(end_event(id, completion, took, true));
    }

    /// Notes that an attempt has ended on its connection. Cancelled attempts are ignored.
    pub fn attempt_ended(&mut self, now: Micros, attempt: AttemptId, completion: Completion) {
        self.advance_time(now);
        self.finish_attempt(attempt, completion);
    }

    /// Notes the result of a health check.
    pub fn probe_ended(&mut self, now: Micros, engine: EngineId, ok: bool, load: Load) {
        self.advance_time(now);
        self.notify_module(Event::Probed { engine, ok, load });
    }

    /// Takes a complete list of engines; `initial` marks the list from the configuration.
    pub fn update_engines(&mut self, now: Micros, list: &List, initial: bool) {
        self.advance_time(now);
        self.listed = list.engines.values().map(|l| l.entry.engine).collect();
        let kind = if initial { ListKind::WarmCopy } else { ListKind::Whole };
        let entries = list.engines.values().map(|l| l.entry.clone()).collect();
        self.notify_module(Event::Engines { kind, entries });
    }

    /// Runs the timers that have expired.
    pub fn wake(&mut self, now: Micros) {
        self.advance_time(now);
        let mut expired = std::mem::take(&mut self.expired);
        self.timers.advance(self.now / 1000, &mut expired);
        for timer in expired.drain(..) {
            match timer {
                Timer::Module(handle) => self.notify_module(Event::Elapsed(handle)),
                Timer::Attempt(attempt) if self.attempts.get(&attempt).is_some_and(|a| a.held) => {
                    // The client did not take its answers in time.
                    self.finish_request(attempt.0, Reply::Failed);
                }
                Timer::Attempt(attempt) => {
                    self.cancel_attempt(attempt, Outcome::Timeout);
                    self.process_inbox();
                }
                Timer::Overdue(id) => {
                    if let Some(open) = self.remove_request(id) {
                        self.counts.overdue += 1;
                        self.effects.push_back(Effect::Answer(open.client, open.seqid, Reply::Failed));
                        self.notify_lapsed(id, &open);
                    }
                }
            }
        }
        self.expired = expired;
    }

    /// Sets the time; it never goes back.
    fn advance_time(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Ends an open request with its final answer; a request that its client is cancelling gets none.
    fn finish_request(&mut self, id: RequestId, reply: Reply) {
        let Some(open) = self.remove_request(id) else { return };
        let count = match reply {
            _ if open.cancelling => &mut self.counts.lapsed,
            Reply::Served(_) => &mut self.counts.served,
            Reply::Refused(_) => &mut self.counts.refused,
            Reply::Failed => &mut self.counts.failed,
        };
        *count += 1;
        tracing::debug!(id = %format_args!("{:016x}", id.0), client = open.client.0, seqid = open.seqid,
            reply = reply.name(), attempts = open.attempts, may_have_run = open.may_have_run.is_some(),
            left_ms = open.deadline.saturating_sub(self.now) / 1000, "concluded");
        if !open.cancelling {
            self.effects.push_back(Effect::Answer(open.client, open.seqid, reply));
        }
    }

    /// Tells the decision module that a request has ended, unless it takes it for served.
    fn notify_lapsed(&mut self, id: RequestId, open: &OpenRequest) {
        if !open.is_concluded {
            self.notify_module(Event::Lapsed(id));
        }
    }

    /// Removes an open request. Its unwritten attempts and the one whose result waits are cancelled, since its
    /// client is answered or gone; cancelling the others is up to the decision module.
    fn remove_request(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.by_seqid.remove(&(open.client, open.seqid));
        self.timers.cancel(open.overdue_timer);
        self.body_bytes -= open.body.len();
        if open.uncertain_attempts > 0 {
            self.recent_ids.note(self.now, id);
        }
        let attempts = self.attempts.range(attempts_of(id));
        let own =
            attempts.filter(|(_, attempt)| !attempt.written || attempt.held).map(|(&attempt, _)| attempt);
        for attempt in own.collect::<Vec<_>>() {
            self.cancel_attempt(attempt, Outcome::Moot);
        }
        Some(open)
    }

    /// Cancels an attempt and queues its end for the decision module: with the given outcome, or as never
    /// sent if it was not written. Does nothing if the attempt has ended.
    fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let outcome = if attempt.written { outcome } else { Outcome::Moot };
        tracing::debug!(engine = %format_args!("{:x}", attempt.engine.0),
            id = %format_args!("{:016x}", id.0 .0), attempt = id.1, ?outcome, "given up");
        self.timers.cancel(attempt.timer);
        self.effects.push_back(Effect::CancelAttempt(attempt.engine, id));
        if attempt.held {
            return;
        }
        self.queue_attempt_end(id, outcome, self.now.saturating_sub(attempt.sent));
    }

    fn finish_attempt(&mut self, id: AttemptId, completion: Completion) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.cancel(attempt.timer);
        if attempt.held {
            // The decision module has counted it as served: without its result it is not tried again.
            let reply = match completion.outcome {
                Outcome::Ok => Reply::Served(completion.result),
                _ => Reply::Failed,
            };
            return self.finish_request(id.0, reply);
        }
        if matches!(completion.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot) {
            // This attempt has certainly not run, so the dedup window starts with a later one.
            if let Some(open) = self.open.get_mut(&id.0) {
                open.may_have_run = open.may_have_run.filter(|&(number, _)| number != id.1);
                open.uncertain_attempts -= u32::from(attempt.written);
            }
        }
        let mut completion = completion;
        if completion.outcome == Outcome::Ok {
            let result = std::mem::take(&mut completion.result);
            self.finish_request(id.0, Reply::Served(result));
        }
        let complete = !self.open.contains_key(&id.0);
        self.notify_module(end_event(id, completion, self.now.saturating_sub(attempt.sent), complete));
    }

    /// Passes an event to the decision module ahead of the queued ones.
    fn notify_module(&mut self, event: Event) {
        self.inbox.push_front(event);
        self.process_inbox();
    }

    /// Passes the queued events to the decision module, applies its actions, and repeats for the events that
    /// follow.
    fn process_inbox(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.inbox.pop_front() {
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply(action);
            }
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, engine, until } => self.launch(id, engine, until),
            Action::Terms { id, memory_mb, rank } => {
                let Some(open) = self.open.get_mut(&id) else { return };
                let (_, old_priority) = std::mem::replace(&mut open.grant, (memory_mb, rank));
                if old_priority != rank {
                    let attempts = self.attempts.range(attempts_of(id));
                    let renice = attempts.map(|(&attempt, a)| Effect::Renice(a.engine, attempt, rank));
                    self.effects.extend(renice);
                }
            }
            Action::Refuse { id, retry_after } => self.finish_request(id, Reply::Refused(retry_after)),
            Action::Fail(id) => self.finish_request(id, Reply::Failed),
            Action::Cancel { id, attempt } => self.cancel_attempt(AttemptId(id, attempt), Outcome::Cancelled),
            Action::Probe(engine) => self.effects.push_back(Effect::Probe(engine)),
            Action::Arm { handle, span } => {
                self.timers.schedule(tick(self.now + span), Timer::Module(handle));
            }
            Action::Log(text) => self.effects.push_back(Effect::Log(text)),
            // The host follows the list in any case, and these gateways exchange no messages.
            Action::Subscribe | Action::FetchList | Action::Broadcast(_) => {}
        }
    }

    fn launch(&mut self, id: RequestId, engine: EngineId, until: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = AttemptId(id, open.attempts);
        open.attempts += 1;
        let deadline = if until == 0 { open.deadline } else { until.min(open.deadline) };
        let listed = self.listed.contains(&engine);
        if open.cancelling || !listed || attempt.1 >= self.config.attempts_cap || deadline <= self.now {
            return self.queue_attempt_end(attempt, Outcome::Moot, 0);
        }
        self.counts.attempts += 1;
        self.effects.push_back(Effect::Launch(Launch {
            attempt,
            engine,
            class: open.class,
            idempotency_key: open.idempotency_key.clone(),
            memory_mb: open.grant.0,
            priority: open.grant.1,
            deadline,
            body: open.body.clone(),
        }));
        // Engines drop a repeat only within the dedup window: an attempt that is unwritten by then must not
        // be written.
        let window_end =
            open.dedup_window.zip(open.may_have_run).map(|(window, (_, at))| at.saturating_add(window));
        let write_by =
            window_end.map_or(deadline, |end| end.saturating_sub(DEDUP_WINDOW_MARGIN_US).min(deadline));
        let timer = self.timers.schedule(tick(write_by), Timer::Attempt(attempt));
        self.attempts.insert(
            attempt,
            Attempt { engine, sent: self.now, written: false, deadline, timer, held: false },
        );
    }

    /// Queues the end of an attempt that no connection reports.
    fn queue_attempt_end(&mut self, attempt: AttemptId, outcome: Outcome, took: Micros) {
        self.inbox.push_back(Event::Answer(Answer {
            id: attempt.0,
            attempt: attempt.1,
            outcome,
            took,
            // A request that is being cancelled needs no further attempt.
            complete: self.open.get(&attempt.0).is_none_or(|open| open.cancelling),
            work: None,
            memory_mb: None,
            load: Load::default(),
        }));
    }
}
