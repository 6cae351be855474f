//! The interface between a host gateway and the decision module: plain data, no decisions.
//!
//! Points in time are [`Micros`] of the host's clock and durations are microseconds too. Memory is in
//! megabytes. Work is the time that a query would take on one thread.

/// A point in time or a duration, in microseconds. Only the host has a clock; it passes the time with each
/// event.
pub type Micros = u64;

/// Identifies a request of a client; an id is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an engine. The number must be the same at every gateway and after a restart of the engine's
/// process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

/// An index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// An index into [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A kind of machine: an index into [`Settings::kinds`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Identifies a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// Identifies a cell: a small set of engines that share their deduplication keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Identifies a gateway among its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// Identifies the group of tables that a query reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Requests with the same order key run one after another if their class has [`Class::in_order`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(pub String);

/// The engines that recognise and drop a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All engines.
    All,
    /// The engines of the zone that the request was first sent to.
    Zone,
    /// The engines of the cell that the request was first sent to.
    Cell,
}

/// How often a request may take effect, which decides whether it can be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may run any number of times.
    Repeatable,
    /// Engines within `scope` drop repeats for `window` after the first attempt was sent.
    Keyed {
        /// The engines that drop repeats.
        scope: KeyScope,
        /// How long they drop repeats.
        window: Micros,
    },
    /// Must not run more than once.
    Once,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time of the request's arrival earns the full worth.
    pub latency_target: Micros,
    /// The latency target grows by this factor times the query's work divided by its threads.
    pub target_stretch: f64,
    /// How long a client waits in total, over all its retries.
    pub client_timeout: Micros,
    /// The worth of one request answered within its latency target, relative to requests of other classes.
    pub worth: f64,
    /// The fraction of the worth that an answer after the latency target still earns.
    pub late_worth: f64,
    /// How often a request may take effect.
    pub effect: Effect,
    /// Requests with the same order key run one at a time, in order of arrival.
    pub in_order: bool,
    /// The kinds of machine that it may run on; `None` for any.
    pub kinds: Option<Vec<KindId>>,
    /// The zones that it may run in; `None` for any.
    pub zones: Option<Vec<ZoneId>>,
    /// The number of threads that a query runs on.
    pub threads: u32,
    /// Its requests load data: while one runs, it locks its group of tables on its engine.
    pub is_load: bool,
    /// A query that has been sent makes no progress while a request that loads data ([`Class::is_load`])
    /// locks its group of tables on the same engine.
    pub waits_for_loads: bool,
}

/// A kind of machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// The number of cores.
    pub cores: f64,
    /// The size of the memory; 0 if unknown.
    pub memory_mb: f64,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The quota in requests per second, over all gateways.
    pub quota_per_s: f64,
}

/// What an engine does when memory grants exceed its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits in the engine's queue.
    Queue,
    /// The query gets the memory that is left.
    Reduce,
    /// The query starts, and all queries on the engine slow down.
    Overcommit,
}

/// The budget of further attempts, that is of all but the first of each request.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptBudget {
    /// The number of further attempts that are always available.
    pub free: f64,
    /// The number of further attempts that each accepted request adds.
    pub per_request: f64,
    /// The sliding window over which requests and further attempts are counted.
    pub window: Micros,
}

/// Which messages of an engine carry its load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// Every answer, and the results of probes.
    WithAnswers,
    /// Only the results of probes.
    WithProbes,
    /// No message; engines do not report their load.
    None,
}

/// Penalties in the score that rates a gateway's decisions; 0 for what costs nothing. Each is multiplied by
/// its share of first attempts or of requested work.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Work that led to no answer.
    pub waste: f64,
    /// The worth of requests that ended without an answer after their latency target.
    pub late_fail: f64,
    /// A probe.
    pub probe: f64,
}

/// The configuration that a gateway gets at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The id of this gateway.
    pub own_id: PeerId,
    /// The zone of this gateway.
    pub zone: ZoneId,
    /// The number of gateways.
    pub gateways: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The kinds of machine.
    pub kinds: Vec<Kind>,
    /// The tenants; empty if tenants have no quotas.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's quota, as a fraction of the usual worth.
    pub over_share_worth: f64,
    /// Engines honour memory grants.
    pub grants: bool,
    /// Engines honour priorities.
    pub priorities: bool,
    /// The largest fraction of an engine's memory that one query may be granted.
    pub grant_cap: f64,
    /// What an engine does when its memory is short.
    pub memory_shortage: MemoryShortage,
    /// Answers report the actual work and memory of a query.
    pub reports_cost: bool,
    /// The longest time between two requests for the list of engines, where the list is sent only on request;
    /// `None` where it is pushed.
    pub list_poll_interval: Option<Micros>,
    /// The lower bound of a cold engine's capacity, as a fraction of its capacity when warm.
    pub cold_capacity: f64,
    /// How long after its start an engine is cold.
    pub cold_span: Micros,
    /// A cold engine crashes if the work sent to it within [`Settings::overload_span`] exceeds this multiple
    /// of its capacity for that time.
    pub overload_multiple: f64,
    /// The length of the window over which the work sent to a cold engine is summed.
    pub overload_span: Micros,
    /// How long an order key is blocked after an attempt that may still be running.
    pub key_cooldown: Micros,
    /// The budget of further attempts; `None` for no limit.
    pub budget: Option<AttemptBudget>,
    /// The largest number of attempts of one request.
    pub attempts_cap: u32,
    /// [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// Two attempts of a request may be in flight at once.
    pub may_duplicate: bool,
    /// [`Action::Probe`] is allowed.
    pub may_probe: bool,
    /// [`Action::Broadcast`] is allowed.
    pub peer_messages: bool,
    /// The longest `retry_after` that clients honour; `None` where none may be given.
    pub max_retry_after: Option<Micros>,
    /// The shortest time between two calls with events.
    pub quantum: Micros,
    /// The period of an engine's progress notes on a running attempt ([`Event::Note`]); `None` if it sends
    /// none.
    pub note_period: Option<Micros>,
    /// Which messages carry load reports.
    pub load_reports: LoadReports,
    /// Penalties in the score.
    pub prices: Prices,
}

/// The state of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Running.
    Up,
    /// Finishing its work; must get no new requests.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// An entry of the list of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// When its process last started; 0 if that was long ago.
    pub came_up: Micros,
    /// Its size relative to other engines, where known.
    pub weight: f64,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub listed: Listed,
}

/// Binds a request to the engine that holds its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pin {
    /// The only engine that can answer the request.
    pub engine: EngineId,
    /// The request uses the capacity that its engine reserves for ending transactions that hold locks: it is
    /// admitted if it can finish by its deadline, whatever the backlog of its class.
    pub uses_reserve: bool,
    /// The request may be sent to its engine even while that engine drains.
    pub finishing: bool,
}

/// A request as a client sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The estimated work; 0 if unknown.
    pub cost: Micros,
    /// The estimated memory; 0 if unknown.
    pub memory_mb: f64,
    /// The group of tables that it reads.
    pub group: GroupId,
    /// Its order key.
    pub key: Option<OrderKey>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// A retry by the client would carry the same deduplication key, so that engines drop it as a repeat.
    /// Without one, a keyed request that may have run can't be refused: the client's retry would take effect
    /// a second time.
    pub has_dedup_key: bool,
    /// The engine of its session, if it has one. A pinned request that may have run is never sent again.
    pub pin: Option<Pin>,
    /// When the client stops waiting.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine served the request.
    Ok,
    /// The engine answered with an error; the request may have run.
    Error,
    /// The engine answered that the request itself is invalid: final, and no sign of a faulty engine.
    Declined,
    /// The engine rejected the request without starting it, for lack of capacity.
    Full,
    /// No answer in time; the request may still run.
    Timeout,
    /// No connection could be made; the request was not sent.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The connection broke or carried malformed data; the request may have run. The host has seen that the
    /// engine's process is still alive, so the engine does not come back cold.
    Broken,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

/// The load that an engine reports; fractions are from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// The number of queries on the engine, from all gateways.
    pub in_flight: Option<f64>,
    /// The fraction of its core time in use.
    pub cores: Option<f64>,
    /// The fraction of its memory that is granted.
    pub memory: Option<f64>,
    /// The utilisation of its disks.
    pub disks: Option<f64>,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How long the attempt was in flight.
    pub took: Micros,
    /// The request is over: its client needs no other answer.
    pub complete: bool,
    /// The actual work, where reported.
    pub work: Option<Micros>,
    /// The memory that the query needed, where reported.
    pub memory_mb: Option<f64>,
    /// The engine's load, where reported.
    pub load: Load,
}

/// An attempt that another gateway sent and this one takes over. Its number is [`Event::Adopted::attempts`]
/// less one. An [`Answer`] ends it as any other attempt, but no outcome proves that it has not run: its
/// sender may already have written it to the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptedAttempt {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// A lower bound, by this host's clock, of the time when it was sent: the window in which engines drop
    /// repeats counts from here.
    pub sent: Micros,
    /// When the attempt times out.
    pub until: Micros,
}

/// The progress of an attempt that is in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// It is running, and about this fraction of it is done.
    Progress(f64),
    /// It spills to disk because it lacks this many megabytes.
    Spills(f64),
    /// It waits in the engine's queue for memory.
    WaitsForMemory,
    /// It waits for a request that loads data into its group of tables ([`Class::is_load`]).
    WaitsForLoad,
}

/// How the entries of a list of engines are to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Changes,
    /// The whole list.
    Whole,
    /// A saved copy of the whole list, which may be out of date.
    WarmCopy,
    /// A request for the list or the subscription failed; the previous list remains valid.
    Lost,
}

/// An input to the decision module: something that has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the list of engines.
    Engines {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// A client sent a request.
    Request(Request),
    /// This gateway takes over a request that another one accepted, which has already counted its quota and
    /// first attempt. A request that was still waiting goes through admission again, with the time that is
    /// left.
    Adopted {
        /// The request, under an id of this gateway.
        request: Request,
        /// The number of attempts that all previous gateways have made, including the one in flight. Any of
        /// the others may have run: nothing is known of them here.
        attempts: u32,
        /// The attempt in flight. If its engine is unknown here or removed, the attempt counts as failed, and
        /// the host drops it.
        in_flight: Option<AdoptedAttempt>,
    },
    /// The client has disconnected or its deadline has passed: it needs no answer any more.
    Lapsed(RequestId),
    /// An attempt has ended.
    Answer(Answer),
    /// An engine reports the progress of an attempt.
    Note {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The progress.
        note: Note,
    },
    /// A streamed answer has begun: the request stays with this attempt, since the client already has part of
    /// its answer.
    Streaming(RequestId),
    /// The result of a probe.
    Probed {
        /// The engine that was probed.
        engine: EngineId,
        /// The engine answered that it is healthy.
        ok: bool,
        /// The engine's load, where reported.
        load: Load,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The message.
        text: String,
    },
    /// The fraction of the fleet's capacity that this gateway may use, derived from the live gateways and
    /// their demand. Until this event comes it is `1 / gateways`, which also remains the upper limit for cold
    /// engines.
    FleetShare(f64),
    /// The fraction of requests to admit from now on, indexed by class; 1 where the list ends early. It is
    /// computed ahead of a loss of capacity, so that after one the excess is refused at once and not only
    /// when engines are overloaded. Pinned and adopted requests are always admitted.
    AdmitFractions {
        /// For this gateway's own clients.
        own: Vec<f64>,
        /// For guests, whose own gateways have failed.
        guests: Vec<f64>,
        /// The shortest `retry_after` of a refusal, before it is randomised; still limited by
        /// [`Settings::max_retry_after`].
        min_retry_after: Micros,
    },
    /// A request of a guest, that is of a client whose own gateways have failed. It differs from
    /// [`Event::Request`] only in the fraction of [`Event::AdmitFractions`] that applies.
    Guest(Request),
    /// Replaces these parts of the settings; the numbers of classes and of tenants must stay the same.
    /// Requests that wait for an engine that they may no longer use are placed again; attempts in flight go
    /// on.
    Rules {
        /// The classes of requests.
        classes: Vec<Class>,
        /// The tenants.
        tenants: Vec<Tenant>,
        /// The largest number of attempts of one request.
        attempts_cap: u32,
        /// The budget of further attempts.
        budget: Option<AttemptBudget>,
    },
    /// A timer set by [`Action::Arm`] has expired; carries its handle.
    Elapsed(u64),
}

/// An output of the decision module: something that the host must do. Actions are carried out in the order
/// given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request to an engine.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The engine.
        engine: EngineId,
        /// When the attempt times out: a point in time, not a duration.
        until: Micros,
    },
    /// The memory grant and priority of the request's next attempts.
    Terms {
        /// The request.
        id: RequestId,
        /// The memory granted; 0 leaves the amount to the engine.
        memory_mb: f64,
        /// The priority, from 0 to 3.
        rank: u8,
    },
    /// Refuse the request: a retry by the client is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// Fail the request: whether it ran is unknown.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Check the health of an engine.
    Probe(EngineId),
    /// Send a message to all other gateways.
    Broadcast(String),
    /// Set a timer that comes back as [`Event::Elapsed`].
    Arm {
        /// The handle, returned with the event.
        handle: u64,
        /// The time from now.
        span: Micros,
    },
    /// Subscribe to the list of engines.
    Subscribe,
    /// Request the whole list of engines once.
    FetchList,
    /// Write a line to the host's log.
    Log(String),
}
