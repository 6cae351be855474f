//! Connections to engines. They belong to an engine's id, not to its address: a new engine may have the
//! address of one that has gone.
//!
//! A request has a connection to itself as long as file descriptors last, since a connection that breaks ends
//! every request on it. Beyond that, requests share connections, up to a limit in the settings. A request
//! that finds no connection waits in the queue of its engine, and takes the first connection that comes up or
//! gets free, not necessarily the one that was dialled for it.

mod dial;
mod liveness;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use violetward::{EngineId, Listed, Load, Micros, Outcome};
use violetward_net::Duplex;
use violetward_overload::{Charge, Holding};
use violetward_settings::ConnectionSettings;

use dial::{connect, connect_timeout, dial, DialError};
use liveness::is_alive;

use crate::core::{AttemptId, Completion, Launch};
use crate::host::{Demand, Host};
use crate::link::{EngineEvent, Link};
use crate::list::List;

/// Maximum number of connections that are dialled for a request while each is reset before anything was sent
/// on it, and of consecutive health checks that are repeated because their connection broke.
const DIALS_MAX: u32 = 4;

/// The weight of one request in the moving average of broken connections.
const BREAK_WEIGHT: f64 = 0.02;
/// Used connections are no longer reused if their break rate exceeds that of fresh ones by more than this. It
/// is above [`BREAK_WEIGHT`], so that a single break is not enough.
const BREAK_EXCESS_MAX: f64 = 0.03;
/// The time constant with which break rates decay.
const BREAK_DECAY: Duration = Duration::from_secs(10);

/// The index in [`Engines::break_rates`] of connections on which no more than one request was sent.
const FRESH: usize = 0;
/// The index in [`Engines::break_rates`] of connections that were reused.
const USED: usize = 1;

/// A request or health check that waits for a connection.
struct Queued {
    /// A number that is unique among everything queued for the same engine.
    number: u64,
    work: Work,
    since: Instant,
    /// How many connections were found reset before anything of it was sent.
    resets: u32,
    /// It needs no connection yet: input of its client is to be read first.
    postponed: bool,
}

enum Work {
    Launch(Launch),
    Probe,
}

impl Work {
    fn attempt(&self) -> Option<AttemptId> {
        match self {
            Work::Launch(launch) => Some(launch.attempt),
            Work::Probe => None,
        }
    }
}

impl Queued {
    /// Whether its deadline has passed. The core's timer is about to end it.
    fn is_expired(&self, now: Micros) -> bool {
        matches!(&self.work, Work::Launch(launch) if launch.deadline <= now)
    }

    fn attempt(&self) -> Option<AttemptId> {
        self.work.attempt()
    }
}

/// A connection, or one that is being dialled.
struct Connection {
    /// `None` until the connection is up.
    duplex: RefCell<Option<Rc<Duplex>>>,
    link: RefCell<Link>,
    /// Counts the memory of what the engine has sent in part.
    input_charge: Charge,
    /// When bytes were last received.
    last_heard: Cell<Instant>,
    /// Since when nothing is pending on it.
    idle_since: Cell<Instant>,
    /// Nothing new is sent on it: the engine did not react to a cancelled request, or it has moved, was
    /// restarted, drains or has left.
    retired: Cell<bool>,
    /// When a cancelled request was sent on it to which nothing was heard: the engine may not have received it.
    unheard_cancelled: Cell<Option<Instant>>,
    /// Another connection was dialled because this one is late.
    overtaken: Cell<bool>,
    /// Notified when nothing waits for the dial any more.
    dial_cancelled: Event,
    /// When it came up; until then, when it was dialled.
    up_since: Cell<Instant>,
    /// How many requests were sent on it.
    requests_sent: Cell<u32>,
}

impl Connection {
    /// The number of requests and health checks that are pending on it.
    fn pending(&self) -> usize {
        self.link.borrow().pending()
    }

    /// Sends bytes; false if the connection is unusable.
    fn send(&self, bytes: &[u8]) -> bool {
        bytes.is_empty() || self.duplex.borrow().as_ref().is_some_and(|d| d.send(bytes))
    }

    /// Closes it at once. A cancelled request that the engine has not received yet must not reach it later: its
    /// client has gone.
    fn abort(&self) {
        self.retired.set(true);
        let is_unheard = self.unheard_cancelled.get().is_some_and(|sent| self.last_heard.get() < sent);
        match &*self.duplex.borrow() {
            Some(duplex) if is_unheard => duplex.reset(),
            Some(duplex) => duplex.abort(),
            None => {}
        }
    }

    /// Whether an attempt, or a health check (`None`), may be sent on it.
    fn accepts(&self, attempt: Option<AttemptId>) -> bool {
        !self.retired.get() && attempt.is_none_or(|attempt| self.link.borrow().accepts(attempt))
    }

    fn is_up(&self) -> bool {
        self.duplex.borrow().is_some()
    }

    /// Whether it is up and was not closed by this side.
    fn is_open(&self) -> bool {
        self.duplex.borrow().as_ref().is_some_and(|d| !d.is_closed())
    }

    /// Whether bytes are buffered that the engine has not received.
    fn has_unsent(&self) -> bool {
        self.duplex.borrow().as_ref().is_some_and(|d| d.unsent_bytes() > 0)
    }

    /// Whether, as far as can be seen, no bytes are in flight in either direction and no message is
    /// incomplete.
    fn is_quiet(&self) -> bool {
        let quiet = self.duplex.borrow().as_ref().is_some_and(|d| d.is_idle());
        quiet && !self.has_unsent() && !self.link.borrow().has_partial_message()
    }

    /// Whether it is being dialled and will be used when it is up.
    fn is_dialling(&self) -> bool {
        !self.is_up() && !self.retired.get()
    }
}

struct Engine {
    id: EngineId,
    address: Cell<SocketAddr>,
    listed: Cell<Listed>,
    /// When its process started, as listed.
    started: Cell<Micros>,
    connections: RefCell<Vec<Rc<Connection>>>,
    /// For each attempt that was sent, the connection and the time.
    sent: RefCell<HashMap<AttemptId, (Rc<Connection>, Instant)>>,
    /// What waits for a connection, in order. An entry leaves when it is sent or cancelled, or the engine
    /// refuses connections.
    queue: RefCell<VecDeque<Queued>>,
    /// The usual duration of a dial: a moving average in which a dial counts for twice the average at most.
    usual_dial_time: Cell<Option<Duration>>,
    /// When anything was last received from it; a connection that came up counts too.
    last_heard: Cell<Instant>,
    /// When it last refused a connection.
    last_refused: Cell<Option<Instant>>,
    /// The number of consecutive health checks whose connection broke while the process went on.
    broken_probes: Cell<u32>,
    /// The number of the next entry of the queue.
    next_number: Cell<u64>,
}

impl Engine {
    /// Stops using the present connections. Queued attempts end as not sent; health checks stay queued.
    fn retire_connections(&self, unsent: &mut Vec<(AttemptId, Completion)>) {
        self.connections.borrow().iter().for_each(|connection| connection.retired.set(true));
        self.queue.borrow_mut().retain(|queued| {
            // That the engine drains, has left or has moved does not mean that its process is dead.
            unsent.extend(queued.attempt().map(|a| (a, Completion::new(Outcome::Moot))));
            queued.attempt().is_none()
        });
    }

    fn is_dialling(&self) -> bool {
        self.connections.borrow().iter().any(|c| c.is_dialling())
    }

    /// Queues health checks again whose connection broke, up to a limit: a broken connection alone says
    /// nothing about an engine whose process goes on.
    fn requeue_probes(&self, events: &mut Vec<EngineEvent>) {
        let broken = events.iter().filter(|event| matches!(event, EngineEvent::ProbeEnded(..))).count();
        if broken == 0 || self.broken_probes.get() >= DIALS_MAX {
            return;
        }
        self.broken_probes.set(self.broken_probes.get() + 1);
        events.retain(|event| !matches!(event, EngineEvent::ProbeEnded(..)));
        for _ in 0..broken {
            self.enqueue(Work::Probe);
        }
    }

    /// Appends to the queue, and returns the entry's number.
    fn enqueue(&self, work: Work) -> u64 {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let queued = Queued { number, work, since: Instant::now(), resets: 0, postponed: false };
        self.queue.borrow_mut().push_back(queued);
        number
    }

    /// Removes the matching entries from the queue and ends them with the outcome, as not sent.
    fn fail_queued(&self, outcome: Outcome, matches: impl Fn(&Queued) -> bool) -> Vec<EngineEvent> {
        let end = |queued: Queued| match queued.work {
            Work::Launch(launch) => EngineEvent::AttemptEnded(launch.attempt, Completion::new(outcome)),
            Work::Probe => EngineEvent::ProbeEnded(false, Load::default()),
        };
        let (failed, kept): (VecDeque<_>, _) = self.queue.take().into_iter().partition(matches);
        *self.queue.borrow_mut() = kept;
        failed.into_iter().map(end).collect()
    }
}

/// The engines that are listed or still have connections.
pub struct Engines {
    max_connections: usize,
    /// The rates at which [`FRESH`] and [`USED`] connections recently broke under a request, and when each
    /// was last updated.
    break_rates: [Cell<(f64, Instant)>; 2],
    settings: ConnectionSettings,
    engines: RefCell<HashMap<EngineId, Rc<Engine>>>,
}

impl Engines {
    /// An empty set with a limit for the connections to all engines.
    pub fn new(max_connections: usize, settings: ConnectionSettings) -> Self {
        Engines {
            max_connections,
            break_rates: [0; 2].map(|_| Cell::new((0.0, Instant::now()))),
            settings,
            engines: RefCell::default(),
        }
    }

    /// The number of connections, including those that are being dialled or closed.
    pub fn connection_count(&self) -> usize {
        self.engines.borrow().values().map(|e| e.connections.borrow().len()).sum()
    }

    /// Takes a new list. Ends the queued attempts for engines that drain, have left, have moved or were
    /// restarted: once a connection comes up, they would reach a draining engine too late, or another process
    /// than the one that they were meant for.
    pub fn update_list(&self, list: &List) -> Vec<(AttemptId, Completion)> {
        let mut unsent = Vec::new();
        let mut engines = self.engines.borrow_mut();
        let listed: HashSet<EngineId> = list.engines.values().map(|l| l.entry.engine).collect();
        for engine in engines.values().filter(|e| !listed.contains(&e.id)) {
            if engine.listed.replace(Listed::Removed) != Listed::Removed {
                log_listed(engine, list.number);
            }
            engine.retire_connections(&mut unsent);
        }
        for listing in list.engines.values() {
            let engine = engines.entry(listing.entry.engine).or_insert_with(|| {
                tracing::debug!(target: "violetward_platform::list", list = list.number, name = listing.name,
                    engine = %format_args!("{:x}", listing.entry.engine.0), listed = ?listing.entry.listed,
                    "learned of an engine");
                Rc::new(Engine {
                    id: listing.entry.engine,
                    address: Cell::new(listing.address),
                    listed: Cell::new(Listed::Up),
                    started: Cell::new(listing.entry.came_up),
                    connections: RefCell::default(),
                    sent: RefCell::default(),
                    queue: RefCell::default(),
                    usual_dial_time: Cell::new(None),
                    last_heard: Cell::new(Instant::now()),
                    last_refused: Cell::new(None),
                    broken_probes: Cell::new(0),
                    next_number: Cell::new(0),
                })
            });
            if engine.listed.replace(listing.entry.listed) != listing.entry.listed {
                log_listed(engine, list.number);
            }
            let moved = engine.address.replace(listing.address) != listing.address;
            let restarted = engine.started.replace(listing.entry.came_up) != listing.entry.came_up;
            if moved || restarted {
                tracing::debug!(target: "violetward_platform::list", list = list.number, moved, restarted,
                    engine = %format_args!("{:x}", engine.id.0), address = %listing.address,
                    "engine is another process now");
            }
            if moved || restarted || listing.entry.listed != Listed::Up {
                engine.retire_connections(&mut unsent);
            }
        }
        drop(engines);
        self.close_unused(Instant::now());
        unsent
    }

    /// Sends an attempt, or queues it until there is a connection. Returns its end if neither is possible.
    pub fn launch(&self, host: &Rc<Host>, launch: Launch) -> Option<Completion> {
        tracing::debug!(engine = %format_args!("{:x}", launch.engine.0),
            id = %crate::link::id_text(launch.attempt), attempt = launch.attempt.1,
            memory = launch.memory_mb, rank = launch.priority, "launch");
        let engine = self.engines.borrow().get(&launch.engine).cloned();
        let engine = engine.filter(|e| e.listed.get() == Listed::Up);
        let attempt = launch.attempt;
        let accepted = engine.is_some_and(|engine| self.submit(host, &engine, Work::Launch(launch)));
        (!accepted).then(|| {
            tracing::debug!(id = %crate::link::id_text(attempt), attempt = attempt.1, "no way to it");
            // The engine is not up by the list, or the limit of connections is reached. Neither means that
            // its process is dead.
            Completion::new(Outcome::Moot)
        })
    }

    /// Sends something to an engine, now or as soon as there is a connection; false if there can be none.
    fn submit(&self, host: &Rc<Host>, engine: &Rc<Engine>, work: Work) -> bool {
        let attempt = work.attempt();
        let number = engine.enqueue(work);
        self.send_queued(host, engine);
        let is_postponed = |queued: &Queued| queued.number == number && queued.postponed;
        if engine.queue.borrow().iter().any(is_postponed) {
            return true;
        }
        if engine.needs_dial(engine.late_after(connect_timeout(host))) && self.may_dial(engine, attempt) {
            dial(host, engine, true);
        }
        let usable = |c: &Rc<Connection>| c.is_dialling() || c.is_up() && c.accepts(attempt);
        if engine.connections.borrow().iter().any(usable) {
            return true;
        }
        // If it was sent, it has left the queue. The number tells it apart from other entries.
        let mut queue = engine.queue.borrow_mut();
        let index = queue.iter().position(|queued| queued.number == number);
        index.and_then(|index| queue.remove(index)).is_none()
    }

    /// Sends what is queued for all engines, as far as there are free connections.
    pub fn send_all_queued(&self, host: &Rc<Host>) {
        let engines: Vec<_> = self.engines.borrow().values().cloned().collect();
        engines.iter().for_each(|engine| self.send_queued(host, engine));
    }

    /// Sends what is queued on the connections that are free, and dials for the rest. Sends nothing while the
    /// list may be out of date.
    fn send_queued(&self, host: &Rc<Host>, engine: &Rc<Engine>) {
        if !host.may_send() {
            return;
        }
        let mut index = 0;
        while index < engine.queue.borrow().len() {
            let attempt = engine.queue.borrow()[index].attempt();
            let Some(connection) = self.pick_connection(engine, attempt) else {
                index += 1;
                continue;
            };
            // The core may have cancelled the attempt while the effect of that is still to be carried out.
            let demand = attempt.map_or(Demand::Wanted, |attempt| host.demand_for(attempt));
            engine.queue.borrow_mut()[index].postponed = demand == Demand::Uncertain;
            if demand == Demand::Uncertain {
                index += 1;
                continue;
            }
            let Some(queued) = engine.queue.borrow_mut().remove(index) else { return };
            if demand == Demand::Gone
                || queued.is_expired(host.clock.now())
                || send(host, engine, &connection, &queued)
            {
                continue;
            }
            // The connection is dead and nothing was sent. That says nothing about the engine.
            connection.abort();
            engine.queue.borrow_mut().insert(index, Queued { resets: queued.resets + 1, ..queued });
        }
        if engine.queue.borrow().is_empty() {
            // A late dial is of no use once its request was sent on another connection.
            let late = |c: &&Rc<Connection>| c.is_dialling() && c.overtaken.get();
            for connection in engine.connections.borrow().iter().filter(late) {
                connection.retired.set(true);
                connection.dial_cancelled.notify(1);
            }
        }
        // The dial for a queued entry may have been cancelled or have failed.
        let waiting: Vec<_> =
            engine.queue.borrow().iter().filter(|queued| !queued.postponed).map(Queued::attempt).collect();
        if !engine.is_dialling() && waiting.into_iter().any(|attempt| self.may_dial(engine, attempt)) {
            dial(host, engine, true);
        }
    }

    /// By how much the break rate of used connections exceeds that of fresh ones.
    fn excess_break_rate(&self) -> f64 {
        self.break_rate(USED) - self.break_rate(FRESH)
    }

    /// The present break rate of [`FRESH`] or [`USED`] connections.
    fn break_rate(&self, kind: usize) -> f64 {
        let (rate, updated) = self.break_rates[kind].get();
        rate * (-updated.elapsed().as_secs_f64() / BREAK_DECAY.as_secs_f64()).exp()
    }

    /// Updates the break rate after a request was served on a connection, or the connection broke under one.
    fn update_break_rate(&self, connection: &Connection, broke: bool) {
        let kind = if connection.requests_sent.get() > 1 { USED } else { FRESH };
        let rate = self.break_rate(kind);
        let new_rate = rate + BREAK_WEIGHT * (f64::from(u8::from(broke)) - rate);
        self.break_rates[kind].set((new_rate, Instant::now()));
    }

    /// Picks an idle connection for an attempt or a health check, or a shared one if the limit on connections
    /// is reached.
    fn pick_connection(&self, engine: &Rc<Engine>, attempt: Option<AttemptId>) -> Option<Rc<Connection>> {
        let connections = engine.connections.borrow();
        let idle = |c: &&Rc<Connection>| c.is_up() && c.pending() == 0;
        if self.excess_break_rate() > BREAK_EXCESS_MAX {
            // Used connections break when something is sent on them. A fresh one costs a handshake; a broken
            // one costs an attempt that may have run.
            connections.iter().filter(idle).filter(|c| c.requests_sent.get() > 0).for_each(|c| c.abort());
        }
        connections.iter().filter(idle).filter(|c| !c.is_quiet()).for_each(|c| c.abort());
        // Behind bytes that the engine has not read, a request waits in the queue: it can still take another
        // connection or be cancelled there.
        let fits = |c: &&Rc<Connection>| {
            c.is_up() && c.accepts(attempt) && c.pending() < self.settings.streams && !c.has_unsent()
        };
        // The engine is least likely to have closed the connection that was used last.
        let best = connections.iter().filter(fits).filter(idle).max_by_key(|c| c.idle_since.get());
        let shared = || connections.iter().filter(fits).min_by_key(|c| c.pending());
        let has_room = || self.connection_count() < self.max_connections || self.longest_idle().is_some();
        let may_grow = || connections.len() < self.max_per_engine() && has_room();
        best.or_else(|| if may_grow() { None } else { shared() }).cloned()
    }

    /// Maximum number of connections of one engine.
    fn max_per_engine(&self) -> usize {
        (self.max_connections / self.engines.borrow().len().max(1)).max(1)
    }

    /// Whether one more connection to an engine may be dialled for an attempt or a health check. An engine
    /// may exceed its limit if none of its connections can be used for it.
    fn may_dial(&self, engine: &Rc<Engine>, attempt: Option<AttemptId>) -> bool {
        let (count, useless) = {
            let connections = engine.connections.borrow();
            (connections.len(), !connections.iter().any(|c| c.accepts(attempt)))
        };
        let below_limit = |engines: &Self| engines.connection_count() < engines.max_connections;
        (count < self.max_per_engine() || useless) && (below_limit(self) || self.close_longest_idle())
    }

    /// Closes the connection that has been idle for longest; false if there is none. It is counted until its
    /// file descriptor is free.
    fn close_longest_idle(&self) -> bool {
        let idle = self.longest_idle();
        idle.iter().for_each(|connection| connection.abort());
        idle.is_some()
    }

    fn longest_idle(&self) -> Option<Rc<Connection>> {
        let engines = self.engines.borrow();
        let idle = |c: &Rc<Connection>| c.is_open() && c.pending() == 0;
        let all = engines.values().flat_map(|e| e.connections.borrow().iter().cloned().collect::<Vec<_>>());
        all.filter(idle).min_by_key(|c| c.idle_since.get())
    }

    /// Cancels an attempt, which may be queued or sent.
    pub fn cancel(&self, host: &Rc<Host>, engine: EngineId, attempt: AttemptId) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        engine.queue.borrow_mut().retain(|queued| queued.attempt() != Some(attempt));
        let Some((connection, sent)) = engine.sent.borrow_mut().remove(&attempt) else { return };
        host.end_result(attempt);
        let mut out = Vec::new();
        connection.link.borrow_mut().cancel(attempt, &mut out);
        connection.send(&out);
        let silent = connection.last_heard.get() < sent;
        if connection.is_up() && (silent || connection.link.borrow().has_partial_message()) {
            // If nothing was received since the request was sent, the connection may be dead without a reset.
            // If a message is incomplete, its rest may come too late for the next answer, or never.
            connection.retired.set(true);
        }
        if silent {
            connection.unheard_cancelled.set(Some(sent));
        }
        if connection.pending() == 0 && connection.has_unsent() {
            // The unsent rest of the request must not reach the engine later: the client may be gone by then.
            connection.abort();
        }
        connection.idle_since.set(Instant::now());
        self.send_queued(host, &engine);
        // What it had requested or held is room for other results.
        host.request_results();
    }

    /// Requests the further pages of the result of an attempt.
    pub fn request_pages(&self, engine: EngineId, attempt: AttemptId) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        let Some((connection, _)) = engine.sent.borrow().get(&attempt).cloned() else { return };
        let mut out = Vec::new();
        connection.link.borrow_mut().request_pages(attempt, &mut out);
        connection.send(&out);
    }

    /// Changes the priority of an attempt, which may be queued or sent.
    pub fn renice(&self, engine: EngineId, attempt: AttemptId, priority: u8) {
        let Some(engine) = self.engines.borrow().get(&engine).cloned() else { return };
        for queued in engine.queue.borrow_mut().iter_mut() {
            if let Work::Launch(launch) = &mut queued.work {
                launch.priority = if launch.attempt == attempt { priority } else { launch.priority };
            }
        }
        let Some((connection, _)) = engine.sent.borrow().get(&attempt).cloned() else { return };
        let mut out = Vec::new();
        connection.link.borrow_mut().renice(attempt, priority, &mut out);
        connection.send(&out);
    }

    /// Sends a health check to an engine; the core gets the result.
    pub fn probe(&self, host: &Rc<Host>, id: EngineId) {
        let engine = self.engines.borrow().get(&id).cloned();
        if !engine.is_some_and(|engine| self.submit(host, &engine, Work::Probe)) {
            let host = host.clone();
            host.clone().spawn(async move {
                host.with_core(|core, now| core.probe_ended(now, id, false, Load::default()));
            });
        }
    }

    /// Closes retired connections without pending requests, and connections that have been idle for so long
    /// that the engine would close them soon. Forgets engines that have left and have no connections.
    pub fn close_unused(&self, now: Instant) {
        // The gateway closes first: a request that crosses a close by the engine may or may not have run.
        let idle_max = Duration::from_micros(self.settings.idle_timeout) * 2 / 3;
        let mut engines = self.engines.borrow_mut();
        for engine in engines.values() {
            for connection in engine.connections.borrow().iter().filter(|c| c.is_up() && c.pending() == 0) {
                let idle = now.saturating_duration_since(connection.idle_since.get());
                if connection.retired.get() || (!idle_max.is_zero() && idle > idle_max) {
                    connection.abort();
                }
            }
        }
        engines.retain(|_, e| e.listed.get() != Listed::Removed || !e.connections.borrow().is_empty());
    }
}

/// Logs that a list has changed whether an engine may get requests.
fn log_listed(engine: &Engine, list_number: u32) {
    tracing::debug!(target: "violetward_platform::list", list = list_number, listed = ?engine.listed.get(),
        engine = %format_args!("{:x}", engine.id.0), connections = engine.connections.borrow().len(),
        queued = engine.queue.borrow().len(), sent = engine.sent.borrow().len(), "engine listed");
}

/// Sends a queued entry on a connection that is up; false if the engine certainly did not get it completely.
fn send(host: &Rc<Host>, engine: &Rc<Engine>, connection: &Rc<Connection>, queued: &Queued) -> bool {
    match &queued.work {
        Work::Probe => send_probe(host, engine, connection),
        Work::Launch(launch) => {
            tracing::debug!(id = %crate::link::id_text(launch.attempt), attempt = launch.attempt.1,
                waited = ?queued.since.elapsed(), requests_sent = connection.requests_sent.get(),
                age = ?connection.up_since.get().elapsed(), "write");
            send_launch(host, engine, connection, launch)
        }
    }
}

fn send_launch(host: &Host, engine: &Engine, connection: &Rc<Connection>, launch: &Launch) -> bool {
    let timeout_ms = launch.deadline.saturating_sub(host.clock.now()) / 1000;
    let mut out = Vec::with_capacity(launch.body.len() + 192);
    let class = &host.config.names.classes[launch.class];
    connection.link.borrow_mut().fetch(launch, class, timeout_ms, &mut out);
    connection.requests_sent.set(connection.requests_sent.get() + 1);
    let sent = connection.send(&out);
    if sent {
        host.attempt_written(launch.attempt);
        engine.sent.borrow_mut().insert(launch.attempt, (connection.clone(), Instant::now()));
    } else {
        // The attempt has certainly not run, and waits for another connection.
        connection.link.borrow_mut().cancel(launch.attempt, &mut Vec::new());
    }
    sent
}

/// Sends a health check and starts its time-out.
fn send_probe(host: &Rc<Host>, engine: &Engine, connection: &Rc<Connection>) -> bool {
    let mut out = Vec::new();
    let tag = connection.link.borrow_mut().probe(&mut out);
    if !connection.send(&out) {
        connection.link.borrow_mut().cancel_probe(&tag);
        return false;
    }
    let (host, id, connection) = (host.clone(), engine.id, connection.clone());
    let timeout = Duration::from_micros(host.config.connections.probe_timeout);
    host.clone().spawn(async move {
        violetward_net::sleep(timeout).await;
        if connection.link.borrow_mut().cancel_probe(&tag) {
            connection.retired.set(true);
            host.with_core(|core, now| core.probe_ended(now, id, false, Load::default()));
        }
    });
    true
}

/// Dials a connection, serves it until it ends, and handles its end.
async fn run(host: Rc<Host>, engine: Rc<Engine>, connection: Rc<Connection>, first: bool) {
    let connected = connect(&host, &engine, &connection, first).await;
    let (dialled, took) = (connection.up_since.get(), connection.up_since.get().elapsed());
    let socket = match connected {
        Ok(socket) => socket,
        Err(why) => {
            engine.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, &connection));
            tracing::debug!(engine = %format_args!("{:x}", engine.id.0), ?why, ?took,
                last_heard = ?engine.last_heard.get().elapsed(), retired = connection.retired.get(),
                "not up");
            if why == DialError::NoDescriptor && !connection.retired.get() {
                return wait_for_descriptor(&host, &engine, &connection).await;
            }
            // A retired dial, say to the engine's old address, says nothing about the engine. Neither does a
            // time-out if something was received from the engine meanwhile: then only the network is bad. It
            // is better to dial again for what is queued than to report a failure, which the decision module
            // takes for a restart of the engine.
            if !connection.retired.get() && (why == DialError::Failed || engine.last_heard.get() < dialled) {
                let failed = engine.fail_queued(Outcome::ConnectFailed, |_| true);
                process_events(&host, &engine, &connection, failed);
            }
            return host.engines.send_queued(&host, &engine);
        }
    };
    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), ?took, first, "up");
    engine.update_usual_dial_time(took);
    let duplex = Rc::new(Duplex::new(socket, host.memory.charge(Holding::Engines)));
    *connection.duplex.borrow_mut() = Some(duplex.clone());
    for time in [&connection.last_heard, &connection.up_since, &connection.idle_since, &engine.last_heard] {
        time.set(Instant::now());
    }
    host.engines.send_queued(&host, &engine);
    future::or(read(&host, &engine, &connection, &duplex), async {
        // What waits in the queue may be behind bytes that the engine had not read.
        let on_progress = || {
            if duplex.unsent_bytes() == 0 {
                host.engines.send_queued(&host, &engine);
            }
        };
        duplex.run_writer(on_progress).await;
        // Bytes that came before the connection broke are still to be read; the reader then finds the end.
        future::pending().await
    })
    .await;
    let by_peer = !duplex.is_closed();
    connection.duplex.borrow_mut().take();
    // Frees the file descriptor before the connection is no longer counted.
    drop(duplex);
    finish(&host, &engine, &connection, by_peer).await;
}

/// Handles the queue if no file descriptor is free for a connection. Attempts end as not sent, since other
/// engines may have free connections; health checks wait. The lack of descriptors says nothing about the
/// engine.
async fn wait_for_descriptor(host: &Rc<Host>, engine: &Rc<Engine>, connection: &Rc<Connection>) {
    let removed = engine.listed.get() == Listed::Removed;
    let unsent = engine.fail_queued(Outcome::Moot, |queued| removed || queued.attempt().is_some());
    process_events(host, engine, connection, unsent);
    host.engines.send_queued(host, engine);
    while !engine.queue.borrow().is_empty() && !engine.is_dialling() {
        violetward_net::sleep(connect_timeout(host)).await;
        host.engines.send_queued(host, engine);
    }
}

/// Reads from a connection until it ends or an answer is invalid.
async fn read(host: &Rc<Host>, engine: &Rc<Engine>, connection: &Rc<Connection>, duplex: &Duplex) {
    loop {
        let (mut out, mut events, mut error) = (Vec::new(), Vec::new(), None);
        let read = duplex.read(|bytes| {
            if !bytes.is_empty() {
                error = connection.link.borrow_mut().feed(bytes, &mut out, &mut events).err();
            }
        });
        let read = read.await.unwrap_or(0);
        if read == 0 {
            return;
        }
        connection.input_charge.set(connection.link.borrow().allocated_bytes());
        connection.last_heard.set(Instant::now());
        engine.last_heard.set(Instant::now());
        connection.send(&out);
        if let Some(why) = error {
            if host.log_quotas.engines.allows(host.clock.now()) {
                tracing::warn!(engine = %format_args!("{:x}", engine.id.0), why,
                    "an answer that can't be read: connection closed");
            }
            // The pending attempts were sent and may have run. The engine's process goes on.
            connection.link.borrow_mut().fail_all(Outcome::Broken, &mut events);
            connection.retired.set(true);
            process_events(host, engine, connection, events);
            return;
        }
        process_events(host, engine, connection, events);
    }
}

/// Passes events of an engine to the core.
fn process_events(
    host: &Rc<Host>,
    engine: &Rc<Engine>,
    connection: &Rc<Connection>,
    events: Vec<EngineEvent>,
) {
    if events.is_empty() {
        return;
    }
    connection.idle_since.set(Instant::now());
    if events.iter().any(|event| matches!(event, EngineEvent::ProbeEnded(..))) {
        engine.broken_probes.set(0);
    }
    for event in &events {
        match event {
            EngineEvent::AttemptEnded(attempt, completion) => {
                if completion.outcome == Outcome::Ok {
                    host.engines.update_break_rate(connection, false);
                }
                tracing::debug!(engine = %format_args!("{:x}", engine.id.0),
                    id = %crate::link::id_text(*attempt), attempt = attempt.1, outcome = ?completion.outcome,
                    work = ?completion.work, load = ?completion.load, "ended");
                engine.sent.borrow_mut().remove(attempt);
                host.end_result(*attempt);
            }
            EngineEvent::ResultBegun(attempt, size, _) => host.begin_result(engine.id, *attempt, *size),
            EngineEvent::ProbeEnded(..) => {}
        }
    }
    host.request_results();
    // Queued entries go before what the decision module sends in reaction to the events.
    host.engines.send_queued(host, engine);
    host.with_core(|core, now| {
        for event in events {
            match event {
                EngineEvent::AttemptEnded(attempt, completion) => {
                    core.attempt_ended(now, attempt, completion)
                }
                EngineEvent::ProbeEnded(ok, load) => core.probe_ended(now, engine.id, ok, load),
                EngineEvent::ResultBegun(attempt, _, completion) => {
                    if host.is_result_waiting(attempt) {
                        core.result_held(now, attempt, completion);
                    }
                }
            }
        }
    });
    // The answers have taken up room, or found no client.
    host.request_results();
}

/// Removes a connection that has ended, and ends what is pending on it. `by_peer`: this side did not close
/// it.
async fn finish(host: &Rc<Host>, engine: &Rc<Engine>, connection: &Rc<Connection>, by_peer: bool) {
    connection.retired.set(true);
    engine.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, connection));
    let (pending, mut events) = (connection.pending(), Vec::new());
    tracing::debug!(engine = %format_args!("{:x}", engine.id.0), pending,
        requests_sent = connection.requests_sent.get(), age = ?connection.up_since.get().elapsed(),
        idle = ?connection.idle_since.get().elapsed(), connections = engine.connections.borrow().len(),
        "connection over");
    if pending > 0 {
        let outcome = if is_alive(host, engine).await { Outcome::Broken } else { Outcome::Reset };
        if outcome == Outcome::Broken {
            host.engines.update_break_rate(connection, true);
        }
        connection.link.borrow_mut().fail_all(outcome, &mut events);
        if outcome == Outcome::Broken {
            engine.requeue_probes(&mut events);
        }
    }
    if connection.requests_sent.get() == 0 && by_peer {
        // The engine closed the connection before anything was sent. What is queued is dialled for again, up
        // to a limit.
        engine.queue.borrow_mut().iter_mut().for_each(|queued| queued.resets += 1);
        events.extend(engine.fail_queued(Outcome::ConnectFailed, |queued| queued.resets >= DIALS_MAX));
    }
    process_events(host, engine, connection, events);
    host.engines.send_queued(host, engine);
}
