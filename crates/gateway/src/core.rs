//! The core: the state machine between fronts, the decision module and engine connections. Free of I/O and clock.
//!
//! Fronts hand statements in ([`Core::submit`]) and ask for pages ([`Core::page`]); engine connections tell what came
//! of attempts ([`Core::arrived`], [`Core::ended`]); the host passes the time ([`Core::wake`]) and carries out the
//! [`Effect`]s. Everything that is decided about routing, admission, attempts and health is decided by the module's
//! `Gateway`; the core turns events of sockets into its events and its actions into effects, and keeps pages.

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

/// A statement in this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementId(pub u64);

/// An attempt: its statement and its number, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub StatementId, pub u32);

/// A statement as a front hands it in.
#[derive(Debug, Clone, Default)]
pub struct Submission {
    /// A public name that is used nowhere else, for engines and logs.
    pub public_id: String,
    /// The text.
    pub text: String,
    /// What its client says about it.
    pub context: Context,
}

/// An attempt to be made.
#[derive(Debug, Clone)]
pub struct Launch {
    /// Which one.
    pub attempt: AttemptId,
    /// Name and address of the engine.
    pub engine: String,
    /// See `engine`.
    pub address: SocketAddr,
    /// The text.
    pub text: Rc<str>,
    /// What travels with it, terms of the attempt included.
    pub context: Context,
    /// When it is given up.
    pub deadline: Micros,
    /// A connection that has been used before must not be taken: if it broke, it would not be known whether the
    /// statement was read.
    pub new_connection: bool,
}

/// Something for the host to carry out, in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Begin an attempt.
    Launch(Box<Launch>),
    /// The attempt may ask its engine for one more page.
    FetchPage(AttemptId),
    /// Stop the attempt, and its work where the engine heeds that. Nothing more is heard of it.
    Cancel(AttemptId),
    /// Go on with what another gateway began: ask its engine for the next page.
    Resume(Box<ResumedAttempt>),
    /// Stop the attempt; its work at the engine goes on, for another gateway.
    Detach(AttemptId),
    /// A statement has been taken that is to outlive this gateway.
    Protect(StatementId),
    /// What is known of such a statement has changed.
    ProgressChanged(StatementId),
    /// This end was decided here after an attempt was out: it is told once it is recorded, see [`Core::decided`].
    RecordEnding(StatementId, Ending),
    /// Nobody will come back for such a statement.
    ReleaseRecord(StatementId),
    /// Such a statement is not known here any more.
    Removed(StatementId),
    /// Ask an engine for its status.
    Probe(EngineId, SocketAddr),
    /// An engine holds what nobody will come back for: a transaction to be rolled back, or temporary tables to be dropped.
    ReleaseSession {
        /// Where.
        address: SocketAddr,
        /// Its name there.
        inner: String,
        /// It holds a transaction.
        transaction: bool,
    },
    /// Pollers of the statement should look again.
    NotifyPollers(StatementId),
    /// The module has something to say.
    Log(String),
    /// A statement has ended; for logs and counts.
    Ended {
        /// The statement and its public name.
        id: StatementId,
        /// See `id`.
        public_id: String,
        /// Name of its class.
        class: String,
        /// Attempts made.
        attempts: u32,
        /// How it ended.
        ending: &'static str,
        /// Time since it was taken.
        took: Duration,
    },
}

/// A page of an engine, as a connection read it.
#[derive(Debug, Clone, Default)]
pub struct EnginePage {
    /// Columns and rows.
    pub part: Part,
    /// How it gets on.
    pub stats: Stats,
    /// There is no next page.
    pub last: bool,
    /// The error that it ended with.
    pub error: Option<QueryError>,
    /// What a statement that is no query did.
    pub update: Option<(String, Option<i64>)>,
    /// Changes of the client's session.
    pub session: Vec<(String, String)>,
    /// The life of the engine's process, where it tells that.
    pub epoch: Option<String>,
    /// The engine's own address of the next page.
    pub next_uri: Option<String>,
}

#[derive(Debug)]
struct Attempt {
    engine: EngineId,
    sent: Micros,
    deadline: Micros,
    /// The connection waits for leave to fetch the next page.
    paused: bool,
    last_answer: Micros,
    last_progress: (bool, u64),
    /// The engine's own address of the next page.
    next_uri: Option<String>,
}

struct Statement {
    public_id: String,
    text: Rc<str>,
    context: Context,
    class: usize,
    accepted: Micros,
    deadline: Micros,
    /// Terms for the next attempt: memory in megabytes and priority.
    grant: (f64, u8),
    attempts: u32,
    current: Option<u32>,
    pages: Pages,
    /// The last sign of its client, and polls that wait now.
    last_poll: Micros,
    waiting_polls: u32,
    /// The current attempt belongs to the client: it can be neither repeated nor timed out.
    rows_sent: bool,
    /// What the last failed attempt said, for people.
    last_error: Option<String>,
    /// Begun on the client's first poll, not when posted.
    pending: bool,
    /// What it has to do with a session that lives on one engine.
    session_use: Option<Box<SessionUse>>,
    /// Its session is rebuilt first: what is left to do.
    rebuild: Option<Box<Rebuild>>,
    /// It is a step of the rebuilding for that statement.
    step_for: Option<StatementId>,
    /// What it takes to outlive this gateway.
    protection: Option<Box<Protection>>,
}

/// A session that is rebuilt before a statement can run in it.
#[derive(Debug, Default)]
struct Rebuild {
    remaining_statements: VecDeque<String>,
    steps_done: u32,
    token: Option<String>,
}

/// A step of a rebuilding that has ended.
struct Step {
    client: StatementId,
    step: StatementId,
    error: Option<String>,
    token: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Attempt(AttemptId),
    Client(StatementId),
    Overdue(StatementId),
    Stream(AttemptId),
    ReleaseRecord(StatementId),
}

/// Counts of what has happened, for the operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Statements taken.
    pub taken: u64,
    /// Ended well.
    pub served: u64,
    /// Ended by an engine's verdict on the statement itself.
    pub declined: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Cancelled by clients.
    pub cancelled: u64,
    /// Let go since their clients had stopped polling.
    pub abandoned: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Statements that the module had not ended by their deadline: always 0, or there is a fault.
    pub overdue: u64,
    /// Statements taken over from other gateways, and left to them.
    pub adopted: u64,
    /// See `adopted`.
    pub handed_over: u64,
}

/// The state machine. See the module's documentation.
pub struct Core {
    gateway: Box<dyn Decide>,
    sessions: Sessions,
    limits: HostLimits,
    names: Names,
    selection: Selection,
    classes: Vec<Class>,
    offered_work: Vec<f64>,
    grants: bool,
    priorities: bool,
    /// What is seen of engines and clients, where sites are watched.
    observations: Option<Box<observations::Observations>>,
    /// Classes whose statements are to outlive this gateway.
    protected_classes: Vec<bool>,
    /// Who this is, for the keys of repeats.
    life: String,
    statements: HashMap<StatementId, Statement>,
    attempts: HashMap<AttemptId, Attempt>,
    records: BTreeMap<EngineId, EngineRecord>,
    /// The settings as configured, the rules that narrow them, and the list as it was last told.
    configured: violetward::Settings,
    rules: Rules,
    engine_list: BTreeMap<String, EngineRecord>,
    /// What other gateways' lists say of engines: in which life at the latest, and their state.
    remote_states: BTreeMap<String, (Micros, violetward::Listed)>,
    timers: BTreeSet<(Micros, Timer)>,
    next_id: u64,
    open: usize,
    effects: VecDeque<Effect>,
    events: VecDeque<Event>,
    finished_steps: VecDeque<Step>,
    now: Micros,
    /// Counts since the start.
    pub counts: Counts,
}

impl Core {
    /// A core without engines. `life` names this process and must differ at every start; `seed` feeds the module.
    pub fn new(config: &Config, life: &str, seed: u64) -> Self {
        let module = Gateway::new(config.settings.clone(), seed);
        Core::with(config, life, Box::new(module))
    }

    /// A core with another decider than the module, for experiments.
    pub fn with(config: &Config, life: &str, gateway: Box<dyn Decide>) -> Self {
        let settings = config.settings.clone();
        let terms = &config.sessions;
        let keys = terms.keys.clone().unwrap_or_else(|| {
            // Of this process alone: its sessions end with it.
            let mut secret = life.as_bytes().to_vec();
            secret.resize(secret.len().max(16), b'.');
            Keys::new(vec![Key { name: "process".into(), secret }]).expect("a word and sixteen bytes")
        });
        Core {
            sessions: Sessions::new(terms.limits.clone(), terms.reserve, keys, life, 0),
            offered_work: vec![0.0; settings.classes.len()],
            classes: settings.classes.clone(),
            observations: None,
            protected_classes: vec![false; settings.classes.len()],
            grants: settings.grants,
            priorities: settings.priorities,
            gateway,
            limits: config.host.clone(),
            names: config.names.clone(),
            selection: config.selection.clone(),
            life: life.to_owned(),
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

    /// The next effect to be carried out.
    pub fn pop_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// When [`Core::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let own = self.timers.first().map(|t| t.0);
        own.into_iter().chain(self.sessions.next_wake()).min()
    }

    /// Sessions that live on engines, and how many were lost so far.
    pub fn sessions(&self) -> (usize, u64) {
        (self.sessions.len(), self.sessions.lost)
    }

    /// Signs and believes tokens of sessions by these keys from now on.
    pub fn set_keys(&mut self, keys: Keys) {
        self.sessions.set_keys(keys);
    }

    /// The number that the next statement gets.
    pub fn next_number(&self) -> u64 {
        self.next_id
    }

    /// Statements that have not ended.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Statements of which something is still held, ended ones included.
    pub fn held(&self) -> usize {
        self.statements.len()
    }

    /// Statements whose clients have not taken the end yet.
    pub fn undelivered(&self) -> usize {
        self.statements.values().filter(|s| !s.pages.is_over()).count()
    }

    /// The engines as last listed.
    pub fn engines(&self) -> impl Iterator<Item = &EngineRecord> {
        self.records.values()
    }
}
