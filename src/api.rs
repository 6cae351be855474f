//! The interface between a host gateway and the decisions: plain data only, no decisions.
//!
//! Times are [`Micros`] of the host's clock, spans are microseconds too, memory is in megabytes and work is
//! the time that one thread would take.

/// A time or span in microseconds. Only the host has a clock; it passes the time with each event.
pub type Micros = u64;

/// A request of a client; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An engine. The number must be the same at every gateway and after a restart of the engine's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

/// A place in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A place in [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A kind of machine: a place in [`Settings::kinds`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// A zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A small set of engines that know each other's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Another gateway, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// The group of tables that a query reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);

/// Requests with the same key take turns, where their class asks for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey(pub String);

/// Which engines drop a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How often a request may take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Harmless to repeat.
    Repeatable,
    /// Repeats are dropped within `scope`, for `window` from the first sending.
    Keyed {
        /// The engines that drop repeats.
        scope: KeyScope,
        /// How long they do.
        window: Micros,
    },
    /// Must not run twice.
    Once,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub latency_target: Micros,
    /// The aim grows by this times the true work over the threads.
    pub target_stretch: f64,
    /// How long a client waits over all its tries.
    pub client_timeout: Micros,
    /// What one request is worth.
    pub worth: f64,
    /// The share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// How often it may take effect.
    pub effect: Effect,
    /// Requests with one key run one at a time, in order of arrival.
    pub in_order: bool,
    /// The kinds of machine it may run on; `None` for any.
    pub kinds: Option<Vec<KindId>>,
    /// The zones it may run in; `None` for any.
    pub zones: Option<Vec<ZoneId>>,
    /// Threads that a query runs on.
    pub threads: u32,
    /// Holds its group of tables on its engine while it runs.
    pub is_load: bool,
    /// Stands still while a load holds its group there.
    pub waits_for_loads: bool,
}

/// A kind of machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Cores.
    pub cores: f64,
    /// Memory; 0 if not told.
    pub memory_mb: f64,
}

/// A tenant and its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all gateways.
    pub quota_per_s: f64,
}

/// What happens when grants pass an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits in the engine's line.
    Queue,
    /// It gets what is left.
    Reduce,
    /// It is let in, and all slow down.
    Overcommit,
}

/// The budget of attempts beyond each request's first.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptBudget {
    /// Attempts that need no requests to earn them.
    pub free: f64,
    /// Attempts earned by each request taken.
    pub per_request: f64,
    /// How far back both are counted.
    pub window: Micros,
}

/// What brings an engine's load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    /// Every answer, and probes.
    WithAnswers,
    /// Probes alone.
    WithProbes,
    /// Nothing.
    None,
}

/// What is taken off the result, each times its share of first tries or of work asked for; 0 if free.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// Worth that ended unserved after its aim.
    pub late_fail: f64,
    /// A probe.
    pub probe: f64,
}

/// All that a gateway is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This gateway's number.
    pub own_id: PeerId,
    /// The zone it stands in.
    pub zone: ZoneId,
    /// How many gateways there are.
    pub gateways: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// Tenants; none if empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, against the usual.
    pub over_share_worth: f64,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Share of an engine's memory that one query gets at most.
    pub grant_cap: f64,
    /// What happens when memory is short.
    pub memory_shortage: MemoryShortage,
    /// Answers tell true work and memory.
    pub reports_cost: bool,
    /// The list comes only when asked for; the gateway must ask within this span.
    pub list_poll_interval: Option<Micros>,
    /// A fresh engine can do this share of its capacity or more.
    pub cold_capacity: f64,
    /// And is warm after this span.
    pub cold_span: Micros,
    /// It falls over beyond this multiple of what it can do,
    pub overload_multiple: f64,
    /// kept up for this span.
    pub overload_span: Micros,
    /// A key's rest after an attempt whose end is not sure.
    pub key_cooldown: Micros,
    /// The budget of further attempts; `None` if there is no such limit.
    pub budget: Option<AttemptBudget>,
    /// Attempts a request may have.
    pub attempts_cap: u32,
    /// `Cancel` is allowed.
    pub may_cancel: bool,
    /// Two attempts of a request may be out at once.
    pub may_duplicate: bool,
    /// `Probe` is allowed.
    pub may_probe: bool,
    /// `Tell` is allowed.
    pub peer_messages: bool,
    /// The longest advice that clients heed; `None` where advice is not allowed.
    pub max_retry_after: Option<Micros>,
    /// Events come at most this often.
    pub quantum: Micros,
    /// How often an engine tells of a running attempt ([`Event::Note`]); `None` if it does not.
    pub note_period: Option<Micros>,
    /// What brings load reports.
    pub load_reports: LoadReports,
    /// What costs.
    pub prices: Prices,
}

/// What the list says of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Runs.
    Up,
    /// Completes its work; to be sent nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// An entry of the list of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// When it last started; 0 if long ago.
    pub came_up: Micros,
    /// Its size against others, where that is told.
    pub weight: f64,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub listed: Listed,
}

/// A request of a session that lives on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pin {
    /// The only engine that can answer it.
    pub engine: EngineId,
    /// It helps to end what stands in others' way: it is admitted if it can be done by its deadline, whatever the debt.
    pub uses_reserve: bool,
    /// It may still go there while the engine drains.
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
    /// Estimated work; 0 if not told.
    pub cost: Micros,
    /// Estimated memory; 0 if not told.
    pub memory_mb: f64,
    /// The group of tables it reads.
    pub group: GroupId,
    /// Its key of order.
    pub key: Option<OrderKey>,
    /// The client marked it as another try.
    pub is_retry: bool,
    /// A further try by its client would carry the same mark, so that engines drop it as a repeat of this one. Without
    /// it a keyed request that may have run can't be refused: the client's next try would take effect again.
    pub has_dedup_key: bool,
    /// Its session's engine, if it has one. What may have run there is never sent again.
    pub pin: Option<Pin>,
    /// The client stops waiting at this time.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// The engine answered that the request itself is wrong: final, and no sign of ill health.
    Declined,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may still run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The connection broke, or what came on it can't be read; it may have run. The host has seen that the engine's
    /// process goes on: it does not come back cold.
    Broken,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// What an engine reports of its load; shares are from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Queries that it holds, of all gateways.
    pub in_flight: Option<f64>,
    /// How busy its cores are.
    pub cores: Option<f64>,
    /// How much of its memory is granted.
    pub memory: Option<f64>,
    /// How busy its disks are.
    pub disks: Option<f64>,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was out.
    pub took: Micros,
    /// Nothing more is owed for the request.
    pub complete: bool,
    /// True work, where told.
    pub work: Option<Micros>,
    /// Memory needed, where told.
    pub memory_mb: Option<f64>,
    /// The engine's load, where told.
    pub load: Load,
}

/// An attempt that another gateway sent and this one goes on with. Its number is that of the attempts spent, less one; an
/// [`Answer`] ends it like any, but none proves that it has not run: its sender may have written it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptedAttempt {
    /// Where it is.
    pub engine: EngineId,
    /// When it was sent, at the latest, by this host's clock; never later than it was: a window of keys counts from it.
    pub sent: Micros,
    /// When it times out.
    pub until: Micros,
}

/// News of an attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// It runs; about this share of it is done.
    Progress(f64),
    /// It spills to disk, short of this many megabytes.
    Spills(f64),
    /// It stands in the engine's line for memory.
    WaitsForMemory,
    /// It stands still while a load holds its group.
    WaitsForLoad,
}

/// How a list of engines is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only what has changed.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as it was last had; maybe old.
    WarmCopy,
    /// A call for the list or the subscription failed; the old list stands.
    Lost,
}

/// Something that has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of engines.
    Engines {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// A client sent a request.
    Request(Request),
    /// This gateway goes on with a request that another one took, whose quota and first try were counted there. What has
    /// waited is admitted anew, within the time that is left.
    Adopted {
        /// The request, under an id of this gateway.
        request: Request,
        /// Attempts that all its holders have spent, the one that is out included. Of all others nothing is known here: any
        /// may have run.
        attempts: u32,
        /// The attempt that is out. Where its engine is not known here or gone it counts as broken: the host lets go of it.
        out: Option<AdoptedAttempt>,
    },
    /// The client has left, or the answer is overdue: nothing more is owed.
    Lapsed(RequestId),
    /// An attempt has ended.
    Answer(Answer),
    /// An engine tells how an attempt gets on.
    Note {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The news.
        note: Note,
    },
    /// A streamed answer has begun: the attempt belongs to the client.
    Streaming(RequestId),
    /// A probe has come back.
    Probed {
        /// The engine probed.
        engine: EngineId,
        /// It answered well.
        ok: bool,
        /// Its load, where told.
        load: Load,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The message.
        text: String,
    },
    /// This gateway's part of the fleet, from who lives and what they are asked for; without it, `1 / gateways`. Cold engines
    /// are met by that at most.
    FleetShare(f64),
    /// The parts of each class's requests that are let in from now on, by place; 1 where not told. They come from what was
    /// projected for a loss, so that nobody finds out by overload what has to be refused. What has a pin, and what was
    /// adopted, is always let in.
    AdmitFractions {
        /// Of this gateway's own clients.
        own: Vec<f64>,
        /// Of guests, whose own gateways are gone.
        guests: Vec<f64>,
        /// How long a client that is turned away should stay away at least, before it is spread; as far as advice is allowed.
        min_retry_after: Micros,
    },
    /// A guest sent a request: a client whose own gateways are gone. It is a [`Event::Request`] but for its part.
    Guest(Request),
    /// New rules in place of those of the settings, which they name one for one. What waits where it may not go any more is
    /// placed again; what is out goes on.
    Rules {
        /// Classes.
        classes: Vec<Class>,
        /// Tenants.
        tenants: Vec<Tenant>,
        /// Attempts a request may have.
        attempts_cap: u32,
        /// The budget of further attempts.
        budget: Option<AttemptBudget>,
    },
    /// A timer asked for by [`Action::Arm`] has come.
    Elapsed(u64),
}

/// Something that the host is to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request to an engine.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The engine.
        engine: EngineId,
        /// When the attempt times out (a time, not a span).
        until: Micros,
    },
    /// Terms of the request's next attempts.
    Terms {
        /// The request.
        id: RequestId,
        /// Memory granted; 0 leaves it to the engine.
        memory_mb: f64,
        /// Priority, 0 to 3.
        rank: u8,
    },
    /// Refuse: a further try is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Micros,
    },
    /// Fail: it is not said whether it ran.
    Fail(RequestId),
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Check an engine.
    Probe(EngineId),
    /// Tell all other gateways.
    Broadcast(String),
    /// Ask for [`Event::Elapsed`] after a span.
    Arm {
        /// Comes back with the event.
        handle: u64,
        /// The span.
        span: Micros,
    },
    /// Subscribe to the list of engines.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
    /// A line for the host's log.
    Log(String),
}
