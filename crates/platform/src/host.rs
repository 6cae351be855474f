//! The shared state of the gateway's tasks; carries out the core's effects. Everything runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use event_listener::Event;
use futures_lite::future;
use violetward::{EngineId, Listed, Micros};
use violetward_net::{Alarm, Clock};
use violetward_overload::MemoryLedger;

use crate::client::Client;
use crate::closing::ClosingConnections;
use crate::config::Config;
use crate::core::{AttemptId, ClientId, Core, Effect};
use crate::engine::Engines;
use crate::freshness::{ListFreshness, HOLD_MIN_PAUSE};
use crate::front;
use crate::link::ResultSize;
use crate::list::List;
use crate::result_flow::{ResultFlow, UnreadBytes};
use crate::standstill::{PauseDetector, HEARTBEAT_INTERVAL};
use crate::starts::StartTimes;

/// Maximum number of log lines of one kind per minute; further ones are dropped.
const LOG_LINES_PER_MINUTE: u32 = 30;
/// How often the counters are logged.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// Limits the log lines of one kind: a failure of every request must not fill the log.
#[derive(Debug, Default)]
pub struct LogQuota {
    minute: Cell<u64>,
    lines: Cell<u32>,
}

impl LogQuota {
    /// Whether one more line may be written now.
    pub fn allows(&self, now: Micros) -> bool {
        let minute = now / 60_000_000;
        if self.minute.replace(minute) != minute {
            self.lines.set(0);
        }
        self.lines.set(self.lines.get().saturating_add(1));
        self.lines.get() <= LOG_LINES_PER_MINUTE
    }
}

/// The log quotas by subject.
#[derive(Debug, Default)]
pub struct LogQuotas {
    /// Lines about clients.
    pub clients: LogQuota,
    /// Lines about engines.
    pub engines: LogQuota,
    /// Messages of the decision module.
    pub module: LogQuota,
    /// Lines about room that is made in the memory.
    pub memory: LogQuota,
}

/// The state that the tasks for clients, engines and the resolver share.
pub struct Host {
    /// The configuration that the gateway was started with.
    pub config: Rc<Config>,
    /// The clock for the core's times.
    pub clock: Clock,
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    /// Client connections.
    pub(crate) clients: RefCell<HashMap<ClientId, Rc<Client>>>,
    /// Connections to engines.
    pub engines: Engines,
    /// What is held for clients and engines.
    pub memory: Rc<MemoryLedger>,
    /// Limits on log lines.
    pub log_quotas: LogQuotas,
    alarm: Alarm,
    /// Client connections that are being closed.
    pub(crate) closing: ClosingConnections,
    /// The listener is open.
    pub(crate) listening: Cell<bool>,
    start_times: RefCell<StartTimes>,
    /// The results of which some pages are still to come.
    results: RefCell<ResultFlow>,
    /// Detects pauses of this process.
    pub(crate) pauses: PauseDetector,
    freshness: ListFreshness,
    /// Attempts wait until the input of their clients has been read.
    has_postponed: Cell<bool>,
    phase: Cell<Phase>,
    /// Notified when the phase becomes [`Phase::Draining`].
    drain_started: Event,
}

/// Whether the client of an attempt still wants it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Demand {
    /// As far as is known.
    Wanted,
    /// The client has sent something that is not read yet, perhaps that it takes the request back.
    Uncertain,
    /// The attempt was given up, or its client has gone.
    Gone,
}

/// What the gateway does with new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// They are accepted.
    Serving,
    /// The gateway is to stop, but still accepts requests: the platform's front end may not know of it yet.
    Stopping,
    /// The gateway accepts no connections and refuses requests at once.
    Draining,
}

impl UnreadBytes for Host {
    fn of_client(&self, client: ClientId) -> usize {
        self.clients.borrow().get(&client).map_or(0, |client| client.duplex.unsent_bytes())
    }

    fn of_all(&self) -> usize {
        front::unread_bytes(self)
    }
}

impl Host {
    /// Creates the host for a core with the same configuration.
    pub fn new(config: Config, clock: Clock, core: Core, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        Rc::new(Host {
            engines: Engines::new(config.limits.descriptors().engines, config.connections.clone()),
            closing: ClosingConnections::new(config.limits.descriptors().closing),
            results: RefCell::new(ResultFlow::new(config.limits.buffer_max_bytes())),
            memory: MemoryLedger::new(config.limits.held_max_bytes()),
            config: Rc::new(config),
            clock,
            core: RefCell::new(core),
            executor,
            clients: RefCell::default(),
            log_quotas: LogQuotas::default(),
            alarm: Alarm::default(),
            listening: Cell::new(true),
            start_times: RefCell::default(),
            pauses: PauseDetector::new(Instant::now()),
            freshness: ListFreshness::default(),
            has_postponed: Cell::new(false),
            phase: Cell::new(Phase::Serving),
            drain_started: Event::new(),
        })
    }

    /// Enters the phase in which the gateway is to stop but still accepts requests.
    pub fn begin_stop(&self) {
        self.phase.set(self.phase.get().max(Phase::Stopping));
    }

    /// Starts to drain: requests are refused, and connections are closed after their last answers.
    pub fn begin_drain(self: &Rc<Self>) {
        self.phase.set(Phase::Draining);
        self.drain_started.notify(usize::MAX);
        self.spawn(front::run_drain(self.clone()));
    }

    /// Whether the gateway is to stop.
    pub fn is_stopping(&self) -> bool {
        self.phase.get() >= Phase::Stopping
    }

    /// Whether the gateway accepts no more requests.
    pub fn is_draining(&self) -> bool {
        self.phase.get() >= Phase::Draining
    }

    /// Waits until the gateway starts to drain.
    pub(crate) async fn drain_started(&self) {
        let drain_started = self.drain_started.listen();
        if !self.is_draining() {
            drain_started.await;
        }
    }

    /// Runs a task on the gateway's thread.
    pub fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Calls the core and carries out the effects.
    pub fn with_core<T>(self: &Rc<Self>, call: impl FnOnce(&mut Core, Micros) -> T) -> T {
        let now = self.clock.now();
        let result = call(&mut self.core.borrow_mut(), now);
        loop {
            let effect = self.core.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.carry_out(effect),
                None => break,
            }
        }
        self.alarm.set(self.read_core(Core::next_wake));
        result
    }

    /// Reads from the core.
    pub fn read_core<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.core.borrow())
    }

    /// Notes that a list of engines was received that is no newer than the last one.
    pub fn note_unchanged_list(&self) {
        self.start_times.borrow_mut().note_unchanged(self.clock.now());
    }

    /// Whether attempts may be sent by the present list. After a pause of the process they wait until the
    /// resolver has answered again, or for as long as they may be held back.
    pub(crate) fn may_send(self: &Rc<Self>) -> bool {
        self.check_pause();
        !self.freshness.is_held(Instant::now())
    }

    /// Notes a valid answer of the resolver to a query that was sent at `asked`.
    pub(crate) fn confirm_list(self: &Rc<Self>, asked: Instant) {
        if self.freshness.confirm(asked) {
            tracing::debug!("the list is current again: attempts go on");
            self.engines.send_all_queued(self);
        }
    }

    /// Checks whether the process has paused, and starts a hold if it did for long.
    fn check_pause(self: &Rc<Self>) {
        let now = Instant::now();
        let Some(pause) = self.pauses.overdue(now) else { return };
        tracing::debug!(?pause, "this process stood still");
        self.pauses.heartbeat(now);
        if pause < HOLD_MIN_PAUSE {
            return;
        }
        let ends = self.freshness.hold(now);
        let host = self.clone();
        self.spawn(async move {
            violetward_net::sleep_until(ends).await;
            host.engines.send_all_queued(&host);
        });
    }

    /// Notes that the first page of a result has come.
    pub(crate) fn begin_result(&self, engine: EngineId, attempt: AttemptId, size: ResultSize) {
        match self.read_core(|core| core.client_of(attempt.0)) {
            Some(client) => self.results.borrow_mut().begin(attempt, engine, client, size),
            // The request has ended, and its attempt with it as soon as the result is complete or cancelled.
            None => self.engines.request_pages(engine, attempt),
        }
    }

    /// Whether the further pages of a result wait at the engine until there is room for them.
    pub(crate) fn is_result_waiting(&self, attempt: AttemptId) -> bool {
        self.results.borrow().is_waiting(attempt)
    }

    /// Notes that a result is complete, or no longer wanted.
    pub(crate) fn end_result(&self, attempt: AttemptId) {
        self.results.borrow_mut().end(attempt);
    }

    /// Requests the further pages of the results for which there is room.
    pub(crate) fn request_results(&self) {
        loop {
            let next = self.results.borrow_mut().next_request(self);
            let Some((engine, attempt)) = next else { return };
            self.engines.request_pages(engine, attempt);
        }
    }

    /// Whether a complete result may wait for its client.
    pub(crate) fn has_room_for_result(&self, bytes: usize) -> bool {
        self.results.borrow().has_room(bytes, self)
    }

    /// Whether an attempt may be sent now. The reader of a client that sent much finds the end of the connection
    /// late, and after a pause of the process the answers of engines may be read before what clients have sent.
    pub(crate) fn demand_for(&self, attempt: AttemptId) -> Demand {
        let client = self.read_core(|core| {
            let outstanding = core.is_outstanding(attempt);
            core.client_of(attempt.0).filter(|_| outstanding)
        });
        let client = client.and_then(|id| self.clients.borrow().get(&id).cloned());
        match client.filter(|client| !client.has_left()) {
            None => Demand::Gone,
            Some(client) if client.has_input_to_read() => {
                self.has_postponed.set(true);
                Demand::Uncertain
            }
            Some(_) => Demand::Wanted,
        }
    }

    /// Sends the attempts that were postponed until the input of their clients was read.
    pub(crate) fn send_postponed(self: &Rc<Self>) {
        if self.has_postponed.replace(false) {
            self.engines.send_all_queued(self);
        }
    }

    /// Notes that an attempt is written to its connection now.
    pub(crate) fn attempt_written(&self, attempt: AttemptId) {
        self.core.borrow_mut().attempt_written(self.clock.now(), attempt);
    }

    /// Takes a new list of engines; `initial` marks the one from the configuration. The connections are
    /// updated before the core, so that nothing is sent to an engine that has left.
    pub fn update_list(self: &Rc<Self>, mut list: List, initial: bool) {
        self.start_times.borrow_mut().correct(&mut list, self.clock.now());
        let unsent = self.engines.update_list(&list);
        let engines = list.engines.len();
        let draining = list.engines.values().filter(|listing| listing.entry.listed != Listed::Up).count();
        tracing::info!(number = list.number, engines, draining, unsent = unsent.len(), "list taken");
        self.with_core(|core, now| {
            core.update_engines(now, &list, initial);
            for (attempt, completion) in unsent {
                core.attempt_ended(now, attempt, completion);
            }
        });
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Launch(launch) => {
                let attempt = launch.attempt;
                if let Some(completion) = self.engines.launch(self, launch) {
                    let now = self.clock.now();
                    // The loop of the caller carries out the effects of this, after those that are queued.
                    self.core.borrow_mut().attempt_ended(now, attempt, completion);
                }
            }
            Effect::CancelAttempt(engine, attempt) => self.engines.cancel(self, engine, attempt),
            Effect::Renice(engine, attempt, priority) => self.engines.renice(engine, attempt, priority),
            Effect::Probe(engine) => self.engines.probe(self, engine),
            Effect::Answer(client, seqid, reply) => front::answer_request(self, client, seqid, &reply),
            Effect::Log(text) => {
                if self.log_quotas.module.allows(self.clock.now()) {
                    tracing::info!(target: "violetward::module", "{text}");
                }
            }
        }
    }

    /// Wakes the core at the times that it asks for. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.alarm.wait(&self.clock, || self.read_core(Core::next_wake)).await;
            self.with_core(|core, now| core.wake(now));
            // Lets the tasks run that this has woken.
            future::yield_now().await;
        }
    }

    /// Does the periodic work: the heartbeat, time-outs of connections, and the status line in the log. Never
    /// returns.
    pub async fn run_periodic_work(self: Rc<Self>) {
        let mut last_status = Instant::now();
        loop {
            violetward_net::sleep(HEARTBEAT_INTERVAL).await;
            self.check_pause();
            let now = Instant::now();
            self.pauses.heartbeat(now);
            front::close_timed_out(&self, now);
            self.engines.close_unused(now);
            if now.duration_since(last_status) >= STATUS_INTERVAL {
                last_status = now;
                let (counts, held) = self.read_core(|core| (core.counts, core.entry_counts()));
                let (clients, engines) = (self.clients.borrow().len(), self.engines.connection_count());
                let memory = &self.memory;
                tracing::info!(?counts, ?held, clients, engines, ?memory, "so far");
            }
        }
    }
}
