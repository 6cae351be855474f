//! The state machine between the client-facing fronts, the decision module and the engine connections. It
//! performs no I/O and reads no clock.
//!
//! Fronts submit statements ([`Core::submit`]) and request pages ([`Core::page`]). Engine connections report
//! pages and failures of attempts ([`Core::page_received`], [`Core::attempt_failed`]). The host advances the
//! time ([`Core::wake`]) and carries out the [`Effect`]s. Routing, admission, retries and engine health are
//! decided by the decision module ([`Decide`]); the core translates between its events and actions and those
//! of the host, and buffers result pages.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use violetward::{
    Action, Answer, Class, ClassId, EngineId, Event, Gateway, GroupId, ListKind, Load, Micros, Note,
    OrderKey, Outcome, Request, RequestId, TenantId,
};
use violetward_session::kind::PROPERTY;
use violetward_session::table::{Loss, Why};
use violetward_session::token::{Key, Keys};
use violetward_statement::pages::{Ending, Pages, Part, Turn};
use violetward_statement::results::{ErrorType, QueryError, Stats, CANCELED, FAILED, QUEUE_FULL};
use violetward_statement::session::Context;
use violetward_statement::text;

use crate::record::{hash, EngineRecord};
use crate::rules::{self, Rules};
use crate::sessions::{self, Admit, SessionUse, Sessions};
use crate::terms::{Config, HostLimits, Names, Selection};

mod attempts;
mod deciding;
mod fronts;
mod listing;
pub mod observations;
pub(crate) mod protection;
mod rebuilding;
mod time;

use protection::Protection;
pub(crate) use protection::{ending_from_record, ending_to_record};
pub use protection::{ResumedAttempt, StatementRecord};

pub use violetward::Decide;

/// Error code of a statement that its client has cancelled.
const CANCELED_CODE: u32 = 3;

/// Number of a statement in this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementId(pub u64);

/// Number of an attempt: its statement and its index, starting at 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub StatementId, pub u32);

/// A statement submitted by a front.
#[derive(Debug, Clone, Default)]
pub struct Submission {
    /// Unique public id, used towards engines and in logs.
    pub public_id: String,
    /// Text of the statement.
    pub text: String,
    /// Client settings that came with the statement.
    pub context: Context,
}

/// An attempt to start on an engine.
#[derive(Debug, Clone)]
pub struct Launch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Name of the engine.
    pub engine: String,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Text of the statement.
    pub text: Rc<str>,
    /// Settings to send along, including the memory grant and the priority of this attempt.
    pub context: Context,
    /// Time at which the attempt is given up.
    pub deadline: Micros,
    /// Requires a new connection. If a reused connection breaks, it is not known whether the engine has read
    /// the statement.
    pub new_connection: bool,
}

/// An operation that the host carries out. Effects are carried out in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Starts an attempt.
    Launch(Box<Launch>),
    /// Lets the attempt request one more page from its engine.
    FetchPage(AttemptId),
    /// Cancels the attempt, and its work on the engine if cancellation is enabled. Nothing more is reported
    /// about it.
    Cancel(AttemptId),
    /// Continues an attempt that another gateway started, by requesting its next page from the engine.
    Resume(Box<ResumedAttempt>),
    /// Stops the attempt here but leaves its work on the engine running, for another gateway.
    Detach(AttemptId),
    /// A statement was accepted that other gateways must be able to take over.
    Protect(StatementId),
    /// The progress of a protected statement has changed.
    ProgressChanged(StatementId),
    /// Records an ending that this gateway decided after an attempt was started. The client gets it once it
    /// is recorded, see [`Core::ending_recorded`].
    RecordEnding(StatementId, Ending),
    /// The record of a protected statement is no longer needed: no client will ask for the statement again.
    ReleaseRecord(StatementId),
    /// A protected statement has been removed from this gateway.
    Removed(StatementId),
    /// Requests the status of an engine.
    Probe(EngineId, SocketAddr),
    /// Releases a session that no client uses any more: rolls back its transaction or drops its temporary
    /// tables.
    ReleaseSession {
        /// Address of the engine.
        address: SocketAddr,
        /// The engine's id of the session.
        inner: String,
        /// Whether the session has an open transaction.
        transaction: bool,
    },
    /// Wakes the pollers of the statement.
    NotifyPollers(StatementId),
    /// A log message of the decision module.
    Log(String),
    /// A statement has ended. For logging and counting.
    Ended {
        /// The statement.
        id: StatementId,
        /// Public id of the statement.
        public_id: String,
        /// Name of the statement's class.
        class: String,
        /// Number of attempts made.
        attempts: u32,
        /// How the statement ended.
        ending: &'static str,
        /// Time since the statement was accepted.
        took: Duration,
    },
}

/// A page of results as read from an engine.
#[derive(Debug, Clone, Default)]
pub struct EnginePage {
    /// Columns and rows.
    pub part: Part,
    /// Statistics of the running statement.
    pub stats: Stats,
    /// Whether this is the last page.
    pub last: bool,
    /// The error with which the statement ended.
    pub error: Option<QueryError>,
    /// Type and row count of an update, for statements other than queries.
    pub update: Option<(String, Option<i64>)>,
    /// Headers that change the client's session.
    pub session: Vec<(String, String)>,
    /// Epoch of the engine process, if the engine reports one.
    pub epoch: Option<String>,
    /// The engine's URI of the next page.
    pub next_uri: Option<String>,
}

/// A running attempt.
#[derive(Debug)]
struct Attempt {
    engine: EngineId,
    sent_at: Micros,
    deadline: Micros,
    /// The connection waits for permission to fetch the next page.
    paused: bool,
    /// Time of the last answer from its engine, or of the last permission to fetch.
    last_answer: Micros,
    /// Last reported progress: whether it waited for memory, and the percentage done.
    last_progress: (bool, u64),
    /// The engine's URI of the next page.
    next_uri: Option<String>,
}

/// A statement that is kept here, running or ended.
struct Statement {
    public_id: String,
    text: Rc<str>,
    context: Context,
    class: usize,
    accepted_at: Micros,
    deadline: Micros,
    /// Memory grant in megabytes and priority of the next attempt.
    grant: (f64, u8),
    /// Number of attempts started.
    attempts: u32,
    /// Index of the running attempt.
    current_attempt: Option<u32>,
    pages: Pages,
    /// Time of the client's last poll.
    last_poll: Micros,
    /// Number of polls that are waiting now.
    waiting_polls: u32,
    /// Rows of the current attempt have been sent to the client, so that it can be neither repeated nor timed
    /// out.
    rows_sent: bool,
    /// Error message of the last failed attempt.
    last_error: Option<String>,
    /// The statement starts on the client's first poll, not when it is posted.
    pending: bool,
    /// How the statement uses a session that is bound to one engine.
    session_use: Option<Box<SessionUse>>,
    /// The remaining work if its session has to be rebuilt first.
    rebuild: Option<Box<Rebuild>>,
    /// The client's statement for which this one is a step of the session's rebuilding.
    step_for: Option<StatementId>,
    /// State of a statement that other gateways can take over.
    protection: Option<Box<Protection>>,
}

/// The rebuilding of a session before a statement can run in it.
#[derive(Debug, Default)]
struct Rebuild {
    /// Statements that still have to run.
    remaining_statements: VecDeque<String>,
    /// Number of steps started.
    steps_started: u32,
    /// Token of the new session, once a step has opened it.
    token: Option<String>,
}

/// A finished step of the rebuilding of a session.
struct FinishedStep {
    /// The statement whose session is rebuilt.
    client: StatementId,
    /// The statement that was the step.
    step: StatementId,
    /// Error message of the step, if it failed.
    error: Option<String>,
    /// Token of the new session, if the step opened it.
    token: Option<String>,
}

/// What is due at a time. Timers due at the same time are handled in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the decision module.
    Module(u64),
    /// The deadline of an attempt.
    Attempt(AttemptId),
    /// Checks whether a statement's client still polls.
    Client(StatementId),
    /// The deadline of a statement.
    Deadline(StatementId),
    /// Checks whether an engine still sends pages.
    Stream(AttemptId),
    /// Releases the record of a protected statement.
    ReleaseRecord(StatementId),
}

/// Counters since the start, for the operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Statements accepted.
    pub taken: u64,
    /// Statements that succeeded.
    pub served: u64,
    /// Statements that an engine rejected as invalid.
    pub declined: u64,
    /// Statements refused.
    pub refused: u64,
    /// Statements that failed.
    pub failed: u64,
    /// Statements cancelled by their clients.
    pub cancelled: u64,
    /// Statements dropped because their clients stopped polling.
    pub abandoned: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Statements that the decision module did not end by their deadline. Anything but 0 is a bug.
    pub overdue: u64,
    /// Statements taken over from other gateways.
    pub adopted: u64,
    /// Statements handed over to other gateways.
    pub handed_over: u64,
}

/// The state machine. See the [module documentation](self).
pub struct Core {
    decider: Box<dyn Decide>,
    sessions: Sessions,
    limits: HostLimits,
    names: Names,
    selection: Selection,
    classes: Vec<Class>,
    /// Estimated work requested since the start, by class, in core milliseconds.
    offered_work: Vec<f64>,
    /// Whether memory grants are sent to engines.
    grants: bool,
    /// Whether priorities are sent to engines.
    priorities: bool,
    /// What is observed of engines and clients, if sites are monitored.
    observations: Option<Box<observations::Observations>>,
    /// By class: whether other gateways must be able to take over its statements.
    protected_classes: Vec<bool>,
    /// Name of this gateway process. Part of the keys under which engines recognise repeats.
    instance: String,
    statements: HashMap<StatementId, Statement>,
    attempts: HashMap<AttemptId, Attempt>,
    /// Engines by id, as last listed.
    records: BTreeMap<EngineId, EngineRecord>,
    /// The settings before the agreed rules narrow them.
    configured: violetward::Settings,
    /// The agreed rules in force.
    rules: Rules,
    /// Engines by name, as last listed.
    engine_list: BTreeMap<String, EngineRecord>,
    /// States of engines according to the lists of other gateways, by name, with the start time of the engine
    /// process that they refer to.
    remote_states: BTreeMap<String, (Micros, violetward::Listed)>,
    timers: BTreeSet<(Micros, Timer)>,
    next_id: u64,
    /// Number of statements that have not ended.
    open: usize,
    effects: VecDeque<Effect>,
    /// Events that the decision module has not handled yet.
    events: VecDeque<Event>,
    finished_steps: VecDeque<FinishedStep>,
    now: Micros,
    /// Counters since the start.
    pub counts: Counts,
}

impl Core {
    /// Creates a core without engines. `instance` names this process and must differ at every start; `seed`
    /// seeds the decision module.
    pub fn new(config: &Config, instance: &str, seed: u64) -> Self {
        let module = Gateway::new(config.settings.clone(), seed);
        Core::with(config, instance, Box::new(module))
    }

    /// Creates a core with another decision module, for experiments.
    pub fn with(config: &Config, instance: &str, decider: Box<dyn Decide>) -> Self {
        let settings = config.settings.clone();
        let terms = &config.sessions;
        let keys = terms.keys.clone().unwrap_or_else(|| {
            // Without configured keys, tokens are signed with a key of this process, and sessions end with
            // it.
            let mut secret = instance.as_bytes().to_vec();
            secret.resize(secret.len().max(16), b'.');
            Keys::new(vec![Key { name: "process".into(), secret }])
                .expect("the key has a name and at least sixteen bytes")
        });
        Core {
            sessions: Sessions::new(terms.limits.clone(), terms.reserve, keys, instance, 0),
            offered_work: vec![0.0; settings.classes.len()],
            classes: settings.classes.clone(),
            observations: None,
            protected_classes: vec![false; settings.classes.len()],
            grants: settings.grants,
            priorities: settings.priorities,
            decider,
            limits: config.host.clone(),
            names: config.names.clone(),
            selection: config.selection.clone(),
            instance: instance.to_owned(),
            statements: HashMap::new(),
            attempts: HashMap::new(),
            records: BTreeMap::new(),
            configured: settings,
            rules: Rules::default(),
            engine_list: BTreeMap::new(),
            remote_states: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_id: 1,
            open: 0,
            effects: VecDeque::new(),
            events: VecDeque::new(),
            finished_steps: VecDeque::new(),
            now: 0,
            counts: Counts::default(),
        }
    }

    /// Removes and returns the next effect to carry out.
    pub fn pop_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Time at which [`Core::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let first_timer = self.timers.first().map(|t| t.0);
        first_timer.into_iter().chain(self.sessions.next_wake()).min()
    }

    /// Number of sessions bound to engines, and of sessions lost since the start.
    pub fn sessions(&self) -> (usize, u64) {
        (self.sessions.len(), self.sessions.lost)
    }

    /// Sets the keys that sign and verify session tokens.
    pub fn set_keys(&mut self, keys: Keys) {
        self.sessions.set_keys(keys);
    }

    /// Number of the next statement.
    pub fn next_number(&self) -> u64 {
        self.next_id
    }

    /// Number of statements that have not ended.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Number of statements kept, including ended ones.
    pub fn held(&self) -> usize {
        self.statements.len()
    }

    /// Number of statements whose clients have not received the end yet.
    pub fn undelivered(&self) -> usize {
        self.statements.values().filter(|s| !s.pages.is_over()).count()
    }

    /// The engines as last listed.
    pub fn engines(&self) -> impl Iterator<Item = &EngineRecord> {
        self.records.values()
    }
}
