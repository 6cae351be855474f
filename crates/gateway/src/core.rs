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

use crate::record::{hash, Record};
use crate::rules::{self, Rules};
use crate::sessions::{self, Admit, Member, Sessions};
use crate::terms::{Config, HostLimits, Names, Selection};

pub(crate) mod guard;

use guard::Guard;
pub(crate) use guard::{ended, recorded};
pub use guard::{Follow, Taken};

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
    pub until: Micros,
    /// A connection that has been used before must not be taken: if it broke, it would not be known whether the
    /// statement was read.
    pub fresh: bool,
}

/// Something for the host to carry out, in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Begin an attempt.
    Launch(Box<Launch>),
    /// The attempt may ask its engine for one more page.
    Pull(AttemptId),
    /// Stop the attempt, and its work where the engine heeds that. Nothing more is heard of it.
    Withdraw(AttemptId),
    /// Go on with what another gateway began: ask its engine for the next page.
    Follow(Box<Follow>),
    /// Stop the attempt; its work at the engine goes on, for another gateway.
    Leave(AttemptId),
    /// A statement has been taken that is to outlive this gateway.
    Guard(StatementId),
    /// What is known of such a statement has changed.
    Noted(StatementId),
    /// This end was decided here after an attempt was out: it is told once it is recorded, see [`Core::decided`].
    Decide(StatementId, Ending),
    /// Nobody will come back for such a statement.
    Forget(StatementId),
    /// Such a statement is not known here any more.
    Gone(StatementId),
    /// Ask an engine for its status.
    Probe(EngineId, SocketAddr),
    /// An engine holds what nobody will come back for: a transaction to be rolled back, or temporary tables to be dropped.
    Release {
        /// Where.
        address: SocketAddr,
        /// Its name there.
        inner: String,
        /// It holds a transaction.
        transaction: bool,
    },
    /// Pollers of the statement should look again.
    Wake(StatementId),
    /// The module has something to say.
    Say(String),
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
pub struct Arrived {
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
    pub next: Option<String>,
}

#[derive(Debug)]
struct Attempt {
    engine: EngineId,
    sent: Micros,
    until: Micros,
    /// The connection waits for leave to fetch the next page.
    paused: bool,
    heard: Micros,
    noted: (bool, u64),
    /// The engine's own address of the next page.
    next: Option<String>,
}

struct Statement {
    public_id: String,
    text: Rc<str>,
    context: Context,
    class: usize,
    taken: Micros,
    due: Micros,
    /// Terms for the next attempt: memory in megabytes and priority.
    terms: (f64, u8),
    attempts: u32,
    current: Option<u32>,
    pages: Pages,
    /// The last sign of its client, and polls that wait now.
    polled: Micros,
    waiting: u32,
    /// The current attempt belongs to the client: it can be neither repeated nor timed out.
    bound: bool,
    /// What the last failed attempt said, for people.
    trouble: Option<String>,
    /// Begun on the client's first poll, not when posted.
    pending: bool,
    /// What it has to do with a session that lives on one engine.
    member: Option<Box<Member>>,
    /// Its session is rebuilt first: what is left to do.
    rebuild: Option<Box<Rebuild>>,
    /// It is a step of the rebuilding for that statement.
    step_for: Option<StatementId>,
    /// What it takes to outlive this gateway.
    guard: Option<Box<Guard>>,
}

/// A session that is rebuilt before a statement can run in it.
#[derive(Debug, Default)]
struct Rebuild {
    left: VecDeque<String>,
    done: u32,
    token: Option<String>,
}

/// A step of a rebuilding that has ended.
struct Step {
    client: StatementId,
    step: StatementId,
    trouble: Option<String>,
    token: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Attempt(AttemptId),
    Client(StatementId),
    Overdue(StatementId),
    Stream(AttemptId),
    Forget(StatementId),
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
    pub left: u64,
}

/// The state machine. See the module's documentation.
pub struct Core {
    gateway: Box<dyn Decide>,
    sessions: Sessions,
    host: HostLimits,
    names: Names,
    selection: Selection,
    classes: Vec<Class>,
    offered: Vec<f64>,
    grants: bool,
    priorities: bool,
    /// Classes whose statements are to outlive this gateway.
    guarded: Vec<bool>,
    /// Who this is, for the keys of repeats.
    life: String,
    statements: HashMap<StatementId, Statement>,
    attempts: HashMap<AttemptId, Attempt>,
    records: BTreeMap<EngineId, Record>,
    /// The settings as configured, the rules that narrow them, and the list as it was last told.
    configured: violetward::Settings,
    rules: Rules,
    list: BTreeMap<String, Record>,
    /// What other gateways' lists say of engines: in which life at the latest, and their state.
    claims: BTreeMap<String, (Micros, violetward::Listed)>,
    timers: BTreeSet<(Micros, Timer)>,
    next_id: u64,
    open: usize,
    effects: VecDeque<Effect>,
    inbox: VecDeque<Event>,
    steps: VecDeque<Step>,
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
            offered: vec![0.0; settings.classes.len()],
            classes: settings.classes.clone(),
            guarded: vec![false; settings.classes.len()],
            grants: settings.grants,
            priorities: settings.priorities,
            gateway,
            host: config.host.clone(),
            names: config.names.clone(),
            selection: config.selection.clone(),
            life: life.to_owned(),
            statements: HashMap::new(),
            attempts: HashMap::new(),
            records: BTreeMap::new(),
            configured: settings,
            rules: Rules::default(),
            list: BTreeMap::new(),
            claims: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_id: 1,
            open: 0,
            effects: VecDeque::new(),
            inbox: VecDeque::new(),
            steps: VecDeque::new(),
            now: 0,
            counts: Counts::default(),
        }
    }

    /// The next effect to be carried out.
    pub fn effect(&mut self) -> Option<Effect> {
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
    pub fn engines(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    // ---- Fronts ----------------------------------------------------------------------------------------

    /// Takes a statement. What is safe to repeat begins at once; the rest when the first page is asked for: until
    /// then its client knows no address of it, and might post it again if our answer were lost.
    pub fn submit(&mut self, now: Micros, submission: Submission) -> StatementId {
        self.submit_as(now, submission, true)
    }

    /// The same; `guards` if it may be protected.
    pub fn submit_as(&mut self, now: Micros, submission: Submission, guards: bool) -> StatementId {
        self.pass(now);
        let id = StatementId(self.next_id);
        self.next_id += 1;
        let class = self.class_of(&submission);
        let give_up = self.classes[class].give_up;
        let wanted = submission.context.property("query_max_run_time");
        let wanted =
            wanted.and_then(violetward_statement::session::duration).map(|d| d.as_micros() as Micros);
        let due = now.saturating_add(wanted.map_or(give_up, |w| w.min(give_up)));
        let admit = self.admit(id, &submission.context, &submission.text);
        let (mut member, mut ended, mut rebuild) = (None, None, None);
        match admit {
            Admit::Plain => {}
            Admit::Member(its) => member = Some(its),
            Admit::Ended(ending, headers) => ended = Some((ending, headers)),
            Admit::Rebuild(left) => {
                rebuild = Some(Box::new(Rebuild { left: left.into(), ..Rebuild::default() }))
            }
        }
        let rebuilds = rebuild.is_some();
        // Sessions live on one engine and in one gateway's table.
        let guards = guards && self.guarded[class] && !rebuilds && member.is_none() && ended.is_none();
        let guard = guards.then(|| Box::new(Guard::taken(format!("{}.{}", self.life, id.0))));
        // What belongs to a session is never repeated behind its client's back.
        let pending = self.classes[class].effect != violetward::Effect::Repeatable || member.is_some();
        let pending = pending && !rebuilds;
        let statement = Statement {
            member,
            rebuild,
            step_for: None,
            guard,
            public_id: submission.public_id,
            text: submission.text.into(),
            context: submission.context,
            class,
            taken: now,
            due,
            terms: (0.0, 1),
            attempts: 0,
            current: None,
            pages: Pages::default(),
            polled: now,
            waiting: 0,
            bound: false,
            trouble: None,
            pending,
        };
        self.counts.taken += 1;
        let full = self.open >= self.host.most_open;
        self.open += 1;
        self.statements.insert(id, statement);
        self.arm(now + self.abandon_after(), Timer::Client(id));
        if guards && !full {
            self.effects.push_back(Effect::Guard(id));
        }
        if full {
            self.finish(id, Ending::Refused(QueryError::refused("too many statements are open here", 1000)));
        } else if let Some((ending, headers)) = ended {
            if let Some(s) = self.statements.get_mut(&id) {
                s.pages.session = headers;
                if ending == Ending::Served {
                    s.pages.update = Some((text::first_word(&s.text).to_uppercase(), None));
                }
            }
            self.finish(id, ending);
        } else if rebuilds {
            self.arm(due, Timer::Overdue(id));
            self.rebuild(id);
        } else {
            self.arm(due, Timer::Overdue(id));
            if !pending {
                self.begin(id);
            }
        }
        self.run();
        id
    }

    /// Begins the next step of rebuilding a statement's session, a statement of its own that is admitted and charged like any;
    /// after the last one the statement itself begins.
    fn rebuild(&mut self, client: StatementId) {
        let id = StatementId(self.next_id);
        let Some(s) = self.statements.get_mut(&client) else { return };
        let Some(rebuild) = &mut s.rebuild else { return };
        let mut context = s.context.clone();
        context.transaction = Some("NONE".into());
        context.session.retain(|(n, _)| n != PROPERTY);
        if let Some(token) = &rebuild.token {
            context.session.push((PROPERTY.to_owned(), token.clone()));
        }
        let Some(text) = rebuild.left.pop_front() else {
            s.context.session = context.session.clone();
            return self.rebuilt(client);
        };
        rebuild.done += 1;
        let public_id = format!("{}_r{}", s.public_id, rebuild.done);
        let (due, class) = (s.due, s.class);
        self.next_id += 1;
        let class = match self.selection.selectors.is_empty() {
            true => class,
            false => self.class_of(&Submission {
                public_id: String::new(),
                text: text.clone(),
                context: context.clone(),
            }),
        };
        let admit = self.admit(id, &context, &text);
        let member = match admit {
            Admit::Member(member) => Some(member),
            Admit::Plain => None,
            Admit::Rebuild(_) | Admit::Ended(..) => {
                return self.not_rebuilt(client, "its session was lost again");
            }
        };
        let statement = Statement {
            public_id,
            text: text.into(),
            context,
            class,
            taken: self.now,
            due,
            terms: (0.0, 1),
            attempts: 0,
            current: None,
            pages: Pages::default(),
            polled: self.now,
            waiting: 1,
            bound: false,
            trouble: None,
            pending: false,
            member,
            rebuild: None,
            step_for: Some(client),
            guard: None,
        };
        self.open += 1;
        self.statements.insert(id, statement);
        self.arm(due, Timer::Overdue(id));
        self.begin(id);
    }

    /// All steps are done: the statement runs in its new session.
    fn rebuilt(&mut self, client: StatementId) {
        let Some(s) = self.statements.get(&client) else { return };
        let (context, text) = (s.context.clone(), s.text.clone());
        match self.admit(client, &context, &text) {
            Admit::Member(member) => {
                if let Some(s) = self.statements.get_mut(&client) {
                    s.member = Some(member);
                }
                self.begin(client);
            }
            _ => self.not_rebuilt(client, "its session was lost again"),
        }
    }

    fn not_rebuilt(&mut self, client: StatementId, why: &str) {
        let why = format!("its session could not be rebuilt: {why}");
        self.finish(
            client,
            Ending::Failed(QueryError::new(ErrorType::External, 0x7611, sessions::LOST, why)),
        );
    }

    /// A step has ended.
    fn stepped(&mut self, step: Step) {
        self.statements.remove(&step.step);
        let wanted = self.statements.get(&step.client).is_some_and(|s| s.pages.end().is_none());
        if !wanted {
            // Its client has its end already: nobody will use what was built.
            let user = self.statements.get(&step.client).map(|s| s.context.user.clone());
            if let (Some(user), Some(token)) = (user, &step.token) {
                let loss = self.sessions.let_go(self.now, &user, token);
                self.lose(loss.into_iter().collect());
            }
            return;
        }
        if let Some(trouble) = step.trouble {
            return self.not_rebuilt(step.client, &trouble);
        }
        if let Some(rebuild) = self.statements.get_mut(&step.client).and_then(|s| s.rebuild.as_mut()) {
            rebuild.token = step.token.or(rebuild.token.take());
        }
        self.rebuild(step.client);
    }

    fn admit(&mut self, id: StatementId, context: &Context, text: &str) -> Admit {
        let records = &self.records;
        let named = |name: &str| records.values().find(|r| r.name == name).map(|r| r.entry.engine);
        self.sessions.admit(self.now, id.0, context, text, named)
    }

    /// Hands a page out; `patient` if the caller would rather wait than get an empty one.
    pub fn page(&mut self, now: Micros, id: StatementId, token: u64, patient: bool) -> Turn {
        self.page_after(now, id, token, None, patient)
    }

    /// The same for a client that says up to which page of the engine it has rows, of whichever gateway it got them.
    pub fn page_after(
        &mut self,
        now: Micros,
        id: StatementId,
        token: u64,
        after: Option<u64>,
        patient: bool,
    ) -> Turn {
        self.pass(now);
        self.go_on(id, token, after);
        let Some(statement) = self.statements.get_mut(&id) else { return Turn::Unknown };
        statement.polled = now;
        if std::mem::take(&mut statement.pending) {
            self.begin(id);
            self.run();
        }
        let Some(statement) = self.statements.get_mut(&id) else { return Turn::Unknown };
        let before = statement.pages.begun;
        let turn = statement.pages.take(token, !patient);
        if statement.pages.begun && !before {
            statement.bound = true;
            if let Some(attempt) = statement.current {
                // From here on the rows are the client's: nothing may start again.
                self.inbox.push_back(Event::Streaming(RequestId(id.0)));
                let heard = self.attempts.get(&AttemptId(id, attempt)).map_or(now, |a| a.heard);
                let idle = self.host.stream_idle.as_micros() as Micros;
                self.arm(heard + idle, Timer::Stream(AttemptId(id, attempt)));
            }
        }
        if let Turn::Page(page) = &turn {
            self.passed_on(id, page.end.is_some());
            self.pull(id);
        } else if self.statements.get(&id).is_some_and(|s| s.guard.is_some()) {
            // That it is asked for says that the page before it has come.
            self.pull(id);
        }
        self.run();
        turn
    }

    /// For how long engines drop repeats of a statement that its client has marked.
    pub fn repeat_window(&self, id: StatementId) -> Option<Duration> {
        let s = self.statements.get(&id)?;
        s.context.tagged(&self.selection.repeat_tag)?;
        match self.classes[s.class].effect {
            violetward::Effect::Keyed { window, .. } => Some(Duration::from_micros(window)),
            _ => None,
        }
    }

    /// Whether a statement's end is fixed.
    pub fn has_ended(&self, id: StatementId) -> bool {
        self.statements.get(&id).is_some_and(|s| s.pages.end().is_some())
    }

    /// A poll begins or ends to wait; a client that waits is not let go.
    pub fn waits(&mut self, now: Micros, id: StatementId, waits: bool) {
        self.pass(now);
        if let Some(statement) = self.statements.get_mut(&id) {
            statement.waiting =
                if waits { statement.waiting + 1 } else { statement.waiting.saturating_sub(1) };
            statement.polled = now;
        }
    }

    /// The client wants no more.
    pub fn cancel(&mut self, now: Micros, id: StatementId) -> bool {
        self.pass(now);
        let known = self.statements.contains_key(&id);
        if self.statements.get(&id).is_some_and(|s| s.pages.end().is_none()) {
            let error = QueryError::new(ErrorType::UserError, 3, CANCELED, "cancelled by its client");
            self.finish(id, Ending::Cancelled(error));
            self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
            self.run();
        }
        known
    }

    fn class_of(&self, submission: &Submission) -> usize {
        let context = &submission.context;
        let word = text::first_word(&submission.text);
        let any =
            |list: &[String], found: &dyn Fn(&String) -> bool| list.is_empty() || list.iter().any(found);
        let fits = self.selection.selectors.iter().find(|s| {
            any(&s.sources, &|x| *x == context.source)
                && any(&s.users, &|x| *x == context.user)
                && any(&s.tags, &|x| context.tags.contains(x))
                && any(&s.first_words, &|x| *x == word)
        });
        fits.map_or(0, |s| s.class)
    }

    /// Tells the module of a statement.
    fn begin(&mut self, id: StatementId) {
        let Some(s) = self.statements.get_mut(&id) else { return };
        s.pending = false;
        let class = &self.classes[s.class];
        let micros = |d: Duration| d.as_micros() as Micros;
        let cost = s.context.estimated_cpu.map(micros).or_else(|| {
            s.context.estimated_time.map(|d| micros(d).saturating_mul(u64::from(class.threads.max(1))))
        });
        let key = s.context.tagged(&self.selection.key_tag).filter(|_| !self.selection.key_tag.is_empty());
        let group = s.context.tagged(&self.selection.group_tag).map(str::to_owned);
        let group = group.or_else(|| text::first_table(&s.text)).unwrap_or_default();
        let tenant = s.context.tagged(&self.selection.tenant_tag);
        let tenant = tenant.and_then(|t| self.names.tenants.iter().position(|n| n == t)).unwrap_or(0);
        let margin = micros(self.host.reply_margin);
        let request = Request {
            id: RequestId(id.0),
            class: ClassId(s.class),
            tenant: TenantId(tenant),
            cost: cost.unwrap_or(0),
            memory_mb: s.context.estimated_memory.map_or(0.0, |b| b as f64 / f64::from(1 << 20)),
            group: GroupId(hash(&group)),
            key: key.map(|k| OrderKey(k.to_owned())),
            is_retry: false,
            marked: s.context.tagged(&self.selection.repeat_tag).is_some(),
            pin: s.member.as_ref().and_then(|m| m.pin()),
            due: s.due.saturating_sub(margin),
        };
        self.offered[s.class] += request.cost as f64 / 1e3;
        let event = self.begins(id, request);
        self.inbox.push_back(event);
    }

    // ---- Engine connections ----------------------------------------------------------------------------

    /// A page of an engine has come.
    pub fn arrived(&mut self, now: Micros, id: AttemptId, mut arrived: Arrived) {
        self.pass(now);
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.heard = now;
        attempt.paused = !arrived.last;
        // The last page can still be asked for by the address that it came from.
        attempt.next = arrived.next.clone().or(attempt.next.take());
        arrived.part.next = arrived.next.as_deref().and_then(guard::number);
        let engine = attempt.engine;
        if let Some(epoch) = &arrived.epoch {
            self.epoch(now, engine, epoch);
        }
        let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) else { return };
        s.pages.stats = arrived.stats.clone();
        if let Some(why) = self.read_session(id.0, engine, &mut arrived) {
            self.finish(id.0, why);
            self.effects.push_back(Effect::Withdraw(id));
            return self.close(id, Outcome::Cancelled, true, None);
        }
        if self.statements.get(&id.0).is_some_and(|s| s.member.is_some()) {
            // It has become part of a session, which lives here alone.
            self.forget(id.0);
        }
        let Some(s) = self.statements.get_mut(&id.0) else { return };
        if let Some(error) = arrived.error {
            let (outcome, what) = verdict(&error);
            if outcome == Outcome::Declined {
                self.finish(id.0, Ending::Declined(error));
                return self.close(id, outcome, true, Some(&arrived.stats));
            }
            let text = format!("engine {}: {}", self.name(engine), error.message);
            return self.fail_attempt(id, outcome, what, text);
        }
        s.pages.push(arrived.part);
        if let Some(update) = arrived.update {
            s.pages.update = Some(update);
        }
        s.pages.session.extend(arrived.session);
        if arrived.last {
            self.finish(id.0, Ending::Served);
            return self.close(id, Outcome::Ok, true, Some(&arrived.stats));
        }
        self.effects.push_back(Effect::Wake(id.0));
        self.noted(id.0);
        self.note(id, &arrived.stats);
        self.pull(id.0);
        self.run();
    }

    /// Reads what an engine says of a session. An ending if that could not be kept.
    fn read_session(&mut self, id: StatementId, engine: EngineId, arrived: &mut Arrived) -> Option<Ending> {
        if arrived.session.is_empty() {
            return None;
        }
        let s = self.statements.get_mut(&id)?;
        let record = self.records.get(&engine);
        let name = record.map_or("", |r| r.name.as_str());
        let epoch = arrived.epoch.clone().unwrap_or_default();
        let (user, headers) = (s.context.user.clone(), &mut arrived.session);
        let read =
            self.sessions.answered(self.now, id.0, &mut s.member, &user, (engine, name), &epoch, headers);
        let (full, binding) = read.err()?;
        let address = record?.address;
        let transaction = binding.holds.transaction;
        self.effects.push_back(Effect::Release { address, inner: binding.inner, transaction });
        Some(Ending::Failed(QueryError::failed(
            FAILED,
            &format!("its session is not kept: {}", full.words()),
        )))
    }

    /// An engine tells the life of its process; what its former one held is lost.
    pub fn epoch(&mut self, now: Micros, engine: EngineId, epoch: &str) {
        self.pass(now);
        let lost = self.sessions.epoch(self.now, engine, epoch);
        self.lose(lost);
    }

    /// A client that carried these tokens has left for good: its session ends, and the engine is told.
    pub fn let_go(&mut self, now: Micros, user: &str, tokens: &[&str]) {
        self.pass(now);
        for token in tokens {
            if let Some(loss) = self.sessions.let_go(self.now, user, token) {
                self.lose(vec![loss]);
            }
        }
    }

    /// Sessions are lost: statements of them that run end now, and what engines may still hold is freed.
    fn lose(&mut self, lost: Vec<Loss>) {
        for loss in lost {
            let engine = EngineId(loss.binding.engine);
            if let Some(record) = self.records.get(&engine) {
                if matches!(loss.why, Why::Idle | Why::Absolute | Why::Drained | Why::Ended) {
                    let (address, inner) = (record.address, loss.binding.inner.clone());
                    let transaction = loss.binding.holds.transaction;
                    self.effects.push_back(Effect::Release { address, inner, transaction });
                }
            }
            let Some(id) = loss.running.map(StatementId) else { continue };
            let told = self
                .statements
                .get(&id)
                .and_then(|s| Some(sessions::loss(s.member.as_ref()?, &loss, s.attempts)));
            if let Some(ending) = told {
                self.finish(id, ending);
                self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
            }
        }
        self.run();
    }

    /// An attempt has ended without an answer.
    pub fn ended(&mut self, now: Micros, id: AttemptId, outcome: Outcome, why: &str) {
        self.pass(now);
        let Some(attempt) = self.attempts.get(&id) else { return };
        let text = format!("engine {}: {why}", self.name(attempt.engine));
        self.fail_attempt(id, outcome, FAILED, text);
    }

    /// News of an attempt's progress reach the module when they say something new.
    fn note(&mut self, id: AttemptId, stats: &Stats) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        // Only this state tells of the line for memory: a statement just taken is QUEUED too.
        let waits = stats.state == "WAITING_FOR_RESOURCES";
        let done = stats.progress_percentage.unwrap_or(0.0).clamp(0.0, 100.0);
        let note = if waits {
            Note::WaitsForMemory
        } else if stats.progress_percentage.is_some() {
            Note::Progress(done / 100.0)
        } else {
            return;
        };
        let seen = (waits, done as u64);
        if std::mem::replace(&mut attempt.noted, seen) != seen {
            self.inbox.push_back(Event::Note { id: RequestId(id.0 .0), attempt: id.1, note });
        }
    }

    /// Lets the connection go on while the client's buffer has room.
    fn pull(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let (Some(number), true) = (s.current, s.pages.held() < self.host.buffer) else { return };
        // What was read ahead would be lost with this gateway.
        if s.guard.is_some() && !s.pages.may_advance() {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&AttemptId(id, number)) else { return };
        if std::mem::take(&mut attempt.paused) {
            attempt.heard = self.now;
            self.effects.push_back(Effect::Pull(AttemptId(id, number)));
        }
    }

    /// An attempt failed. Where rows of it have reached the client, the statement has failed with it; else the
    /// module is asked what to do.
    fn fail_attempt(&mut self, id: AttemptId, outcome: Outcome, name: &str, why: String) {
        let mut over = false;
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) {
            if s.bound {
                over = true;
                self.finish(
                    id.0,
                    Ending::Failed(QueryError::failed(name, &format!("{why}, after rows had been sent"))),
                );
            } else {
                s.pages.restart();
                s.trouble = Some(why);
            }
        }
        self.close(id, outcome, over, None);
    }

    /// Tells the module how an attempt ended, and forgets it.
    fn close(&mut self, id: AttemptId, outcome: Outcome, complete: bool, stats: Option<&Stats>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.until, Timer::Attempt(id)));
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) {
            s.current = None;
        }
        self.closed(id, &attempt, outcome);
        let told = stats.filter(|_| outcome == Outcome::Ok);
        let work = told.map(|s| s.cpu_time_millis * 1000).filter(|&w| w > 0);
        let memory_mb = told.map(|s| s.peak_memory_bytes as f64 / f64::from(1 << 20)).filter(|&m| m > 0.0);
        self.inbox.push_back(Event::Answer(Answer {
            id: RequestId(id.0 .0),
            attempt: id.1,
            outcome,
            took: self.now.saturating_sub(attempt.sent),
            complete,
            work,
            memory_mb,
            load: Load::default(),
        }));
        self.run();
    }

    fn name(&self, engine: EngineId) -> String {
        self.records.get(&engine).map_or_else(|| format!("{:x}", engine.0), |r| r.name.clone())
    }

    // ---- The list and the load of engines --------------------------------------------------------------

    /// A new reading of the list: the whole of it.
    pub fn listed(&mut self, now: Micros, records: &BTreeMap<String, Record>) {
        self.pass(now);
        if self.list != *records {
            self.list.clone_from(records);
        }
        let claimed = |r: &Record| self.claimed(r);
        let entry = |r: &Record| {
            let listed = rules::worse(claimed(r), self.rules.engine(&r.name));
            violetward::EngineEntry { listed, ..r.entry.clone() }
        };
        let entries = records.values().map(entry).collect();
        for record in records.values() {
            self.records.insert(record.entry.engine, record.clone());
        }
        let listed: BTreeSet<EngineId> = records.values().map(|r| r.entry.engine).collect();
        let gone: Vec<EngineId> = self.records.keys().filter(|id| !listed.contains(id)).copied().collect();
        let mut lost: Vec<Loss> = Vec::new();
        for &engine in &gone {
            lost.extend(self.sessions.listed(self.now, engine, None));
        }
        for record in records.values() {
            let drains = match rules::worse(self.claimed(record), self.rules.told(&record.name)) {
                violetward::Listed::Up => Some(false),
                violetward::Listed::Draining => Some(true),
                violetward::Listed::Removed => None,
            };
            lost.extend(self.sessions.listed(self.now, record.entry.engine, drains));
        }
        self.lose(lost);
        self.records.retain(|id, _| listed.contains(id));
        self.inbox.push_back(Event::Engines { kind: ListKind::Whole, entries });
        self.run();
    }

    /// The state of an engine by the own list and by what others' lists say of the same life of it.
    fn claimed(&self, record: &Record) -> violetward::Listed {
        let claim = self.claims.get(&record.name).filter(|c| c.0 >= record.entry.came_up);
        claim.map_or(record.entry.listed, |c| rules::worse(record.entry.listed, c.1))
    }

    /// What other gateways' lists say of engines. It only takes away.
    pub fn claims(&mut self, now: Micros, claims: BTreeMap<String, (Micros, violetward::Listed)>) {
        self.claims = claims;
        let list = std::mem::take(&mut self.list);
        self.listed(now, &list);
    }

    /// The rules that hold from now on. What was sent goes on; what waits, and further attempts, go by them.
    pub fn rules(&mut self, now: Micros, rules: Rules) {
        self.pass(now);
        let (classes, tenants, attempts_cap, budget) = rules.narrow(&self.configured, &self.names);
        self.classes.clone_from(&classes);
        self.rules = rules;
        self.inbox.push_back(Event::Rules { classes, tenants, attempts_cap, budget });
        let list = std::mem::take(&mut self.list);
        self.listed(now, &list);
    }

    /// Whether an attempt that has not been written yet may still go to its engine.
    pub fn may_go(&self, id: AttemptId, engine: &str) -> bool {
        let (Some(s), Some(r)) = (self.statements.get(&id.0), self.list.get(engine)) else { return true };
        let class = &self.classes[s.class];
        let kind = class.kinds.as_ref().is_none_or(|k| k.contains(&r.entry.kind));
        let zone = class.zones.as_ref().is_none_or(|z| z.contains(&r.entry.zone));
        // What belongs to a session may end where it lives.
        let state = if s.member.is_some() { self.rules.told(engine) } else { self.rules.engine(engine) };
        let up =
            state == violetward::Listed::Up || s.member.is_some() && state != violetward::Listed::Removed;
        kind && zone && up
    }

    /// An engine told its load, asked by the host or by a probe; `None`: it did not answer a probe.
    pub fn status(&mut self, now: Micros, engine: EngineId, load: Option<Load>) {
        self.pass(now);
        let ok = load.is_some();
        self.inbox.push_back(Event::Probed { engine, ok, load: load.unwrap_or_default() });
        self.run();
    }

    // ---- Time ------------------------------------------------------------------------------------------

    /// This gateway's part of the fleet, as its membership has it.
    pub fn share(&mut self, now: Micros, part: f64) {
        self.pass(now);
        self.inbox.push_back(Event::Share(part));
        self.run();
    }

    /// Work asked for since the start by class, in core milliseconds by the estimates that came along.
    pub fn offered(&self) -> &[f64] {
        &self.offered
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Micros) {
        self.pass(now);
        let lost = self.sessions.advance(self.now);
        if !lost.is_empty() {
            self.lose(lost);
        }
        while let Some(&(at, timer)) = self.timers.first().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Module(handle) => self.inbox.push_back(Event::Elapsed(handle)),
                Timer::Attempt(id) => self.out_of_time(id),
                Timer::Client(id) => self.look_after(id),
                Timer::Overdue(id) => self.overdue(id),
                Timer::Stream(id) => self.look_at_stream(id),
                Timer::Forget(id) => self.forget(id),
            }
            self.run();
        }
    }

    fn out_of_time(&mut self, id: AttemptId) {
        if self.expects(id.0) {
            // Nothing is begun again for a client that may have its end already.
            return self.arm(self.now + 500_000, Timer::Attempt(id));
        }
        let bound = self.statements.get(&id.0).is_some_and(|s| s.bound && s.current == Some(id.1));
        if self.attempts.contains_key(&id) && !bound {
            self.effects.push_back(Effect::Withdraw(id));
            let engine = self.name(self.attempts[&id].engine);
            self.fail_attempt(id, Outcome::Timeout, FAILED, format!("engine {engine}: no answer in time"));
        }
    }

    /// An engine that has stopped in the middle of a stream is not awaited for ever.
    fn look_at_stream(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (idle, paused) = (self.host.stream_idle.as_micros() as Micros, attempt.paused);
        let last = if paused { self.now } else { attempt.heard };
        if self.now >= last + idle {
            self.effects.push_back(Effect::Withdraw(id));
            let engine = self.name(attempt.engine);
            self.fail_attempt(
                id,
                Outcome::Timeout,
                FAILED,
                format!("engine {engine} stopped in the middle of the rows"),
            );
        } else {
            self.arm(last + idle, Timer::Stream(id));
        }
    }

    /// Lets go of a client that has left, and of what was kept for one that may have taken its end.
    fn look_after(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        let keep = if s.pages.end().is_some() { self.host.keep_ended } else { self.host.abandon_after };
        let until = s.polled + keep.as_micros() as Micros;
        if s.waiting > 0 || self.now < until {
            let next = until.max(self.now + 100_000);
            return self.arm(next, Timer::Client(id));
        }
        if s.pages.end().is_none() {
            self.counts.abandoned += 1;
            if let Some(guard) = self.statements.get_mut(&id).and_then(|s| s.guard.as_mut()) {
                guard.needs_no_record();
            }
            let error =
                QueryError::new(ErrorType::UserError, 7, "ABANDONED_QUERY", "its client stopped polling");
            self.finish(id, Ending::Cancelled(error));
            self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
        }
        self.forget(id);
        if self.statements.remove(&id).is_some_and(|s| s.guard.is_some()) {
            self.effects.push_back(Effect::Gone(id));
        }
    }

    /// The module ends everything before its deadline; if it ever did not, the client is told all the same.
    fn overdue(&mut self, id: StatementId) {
        let Some(s) = self.statements.get(&id) else { return };
        if s.pages.end().is_some() || s.bound || s.guard.as_ref().is_some_and(|g| g.deciding()) {
            return;
        }
        if !s.pending && !s.guard.as_ref().is_some_and(|g| g.expects()) {
            self.counts.overdue += 1;
            self.effects.push_back(Effect::Say(format!("statement {} is overdue: a fault", s.public_id)));
        }
        let error = if s.attempts == 0 {
            Ending::Refused(QueryError::refused("its time passed before it began", 0))
        } else {
            Ending::Failed(QueryError::failed(FAILED, "its time has passed"))
        };
        self.finish(id, error);
        self.inbox.push_back(Event::Lapsed(RequestId(id.0)));
    }

    fn pass(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn arm(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    fn abandon_after(&self) -> Micros {
        self.host.abandon_after.as_micros() as Micros
    }

    // ---- The module ------------------------------------------------------------------------------------

    /// Passes what has happened to the module, and carries its actions over into effects, until nothing is left.
    fn run(&mut self) {
        let mut actions = Vec::new();
        loop {
            if let Some(event) = self.inbox.pop_front() {
                self.gateway.handle(self.now, event, &mut actions);
                for action in std::mem::take(&mut actions) {
                    self.act(action);
                }
            } else if let Some(step) = self.steps.pop_front() {
                self.stepped(step);
            } else {
                return;
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, engine, until } => self.launch(StatementId(id.0), engine, until),
            Action::Terms { id, memory_mb, rank } => {
                if let Some(s) = self.statements.get_mut(&StatementId(id.0)) {
                    s.terms = (memory_mb, rank);
                }
            }
            Action::Refuse { id, retry_after } => {
                let id = StatementId(id.0);
                let why = self.statements.get(&id).and_then(|s| s.trouble.clone());
                let why = why.unwrap_or_else(|| "no engine could have answered in time".into());
                self.finish(id, Ending::Refused(QueryError::refused(&why, retry_after / 1000)));
            }
            Action::Fail(id) => {
                let id = StatementId(id.0);
                let why = self.statements.get(&id).and_then(|s| s.trouble.clone());
                let why = why.unwrap_or_else(|| "its time has passed".into());
                self.finish(id, Ending::Failed(QueryError::failed(FAILED, &why)));
            }
            Action::Cancel { id, attempt } => {
                let id = AttemptId(StatementId(id.0), attempt);
                if self.attempts.contains_key(&id) {
                    self.effects.push_back(Effect::Withdraw(id));
                    if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(attempt)) {
                        s.pages.restart();
                    }
                    self.close_later(id);
                }
            }
            Action::Probe(engine) => match self.records.get(&engine) {
                Some(record) => self.effects.push_back(Effect::Probe(engine, record.address)),
                None => self.inbox.push_back(Event::Probed { engine, ok: false, load: Load::default() }),
            },
            Action::Arm { handle, span } => self.arm(self.now + span, Timer::Module(handle)),
            Action::Log(text) => self.effects.push_back(Effect::Say(text)),
            Action::Tell(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    /// The answer to a cancelled attempt, after the actions of this event.
    fn close_later(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.until, Timer::Attempt(id)));
        if let Some(s) = self.statements.get_mut(&id.0).filter(|s| s.current == Some(id.1)) {
            s.current = None;
        }
        self.inbox.push_back(Event::Answer(Answer {
            id: RequestId(id.0 .0),
            attempt: id.1,
            outcome: Outcome::Cancelled,
            took: self.now.saturating_sub(attempt.sent),
            complete: false,
            work: None,
            memory_mb: None,
            load: Load::default(),
        }));
    }

    fn launch(&mut self, id: StatementId, engine: EngineId, until: Micros) {
        let (Some(s), Some(record)) = (self.statements.get_mut(&id), self.records.get(&engine)) else {
            return;
        };
        let number = s.attempts;
        s.attempts += 1;
        s.current = Some(number);
        s.pages.restart();
        let attempt = AttemptId(id, number);
        let mut context = s.context.clone();
        let is_member = s.member.is_some();
        if let Some(binding) = s.member.as_ref().and_then(|m| m.binding.as_ref()) {
            // The engine knows its own name for the session, and only that of the life that it was opened in.
            let named = format!("{}@{}", binding.inner, binding.epoch);
            context.transaction = context.transaction.filter(|t| !t.eq_ignore_ascii_case("none"));
            context.transaction = context.transaction.map(|_| named.clone());
            context.session.iter_mut().filter(|(n, _)| n == PROPERTY).for_each(|(_, v)| *v = named.clone());
        }
        if context.trace_token.is_none() {
            context.trace_token = Some(s.public_id.clone());
        }
        let mut set = |name: &str, value: String| {
            if !name.is_empty() {
                context.session.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
                context.session.push((name.to_owned(), value));
            }
        };
        if self.grants && s.terms.0 > 0.0 {
            set(&self.host.grant_property, format!("{}MB", (s.terms.0.ceil() as u64).max(1)));
        }
        if self.priorities {
            set(&self.host.priority_property, s.terms.1.to_string());
        }
        set("query_max_run_time", format!("{}ms", until.saturating_sub(self.now) / 1000));
        let effect = self.classes[s.class].effect;
        if matches!(effect, violetward::Effect::Keyed { .. }) {
            // A client's own mark travels, so that its further tries are repeats too, whichever gateway they go through.
            let mark =
                s.context.tagged(&self.selection.repeat_tag).map(|m| format!("{}.{m}", s.context.user));
            let own = || match &s.guard {
                Some(guard) => guard.mark.clone(),
                None => format!("{}.{}", self.life, id.0),
            };
            set(&self.host.repeat_property, mark.unwrap_or_else(own));
        }
        let launch = Launch {
            attempt,
            engine: record.name.clone(),
            address: record.address,
            text: s.text.clone(),
            context,
            until,
            fresh: effect != violetward::Effect::Repeatable || is_member,
        };
        self.counts.attempts += 1;
        let (sent, heard) = (self.now, self.now);
        self.attempts.insert(
            attempt,
            Attempt { engine, sent, until, paused: false, heard, noted: (false, 0), next: None },
        );
        self.arm(until, Timer::Attempt(attempt));
        self.effects.push_back(Effect::Launch(Box::new(launch)));
    }

    /// Fixes a statement's end, once.
    fn finish(&mut self, id: StatementId, ending: Ending) {
        if self.decides_first(id, &ending) {
            return;
        }
        let Some(s) = self.statements.get_mut(&id) else { return };
        let mut ending = ending;
        if let (Some(member), None) = (&s.member, s.pages.end()) {
            let asked = (&s.context, &*s.text);
            let (told, left) = self.sessions.ended(self.now, id.0, member, asked, ending, s.attempts);
            ending = told;
            if let Some(record) = left.as_ref().and_then(|l| self.records.get(&EngineId(l.binding.engine))) {
                let inner = left.map_or_else(String::new, |l| l.binding.inner);
                self.effects.push_back(Effect::Release { address: record.address, inner, transaction: true });
            }
        }
        let word = ending.word();
        if !s.pages.finish(ending) {
            return;
        }
        // What has ended before it began does not begin.
        s.pending = false;
        if let Some(token) = s.rebuild.as_ref().and_then(|r| r.token.as_ref()) {
            s.pages.session.push(sessions::carry(token));
        }
        if let Some(client) = s.step_for {
            let trouble = s.pages.end().and_then(|e| e.error()).map(|e| e.message.clone());
            let token = sessions::opened(&s.pages.session);
            self.steps.push_back(Step { client, step: id, trouble, token });
        }
        self.open -= 1;
        self.timers.remove(&(s.due, Timer::Overdue(id)));
        let counts = &mut self.counts;
        match word {
            "served" => counts.served += 1,
            "declined" => counts.declined += 1,
            "refused" => counts.refused += 1,
            "failed" => counts.failed += 1,
            _ => counts.cancelled += 1,
        }
        s.pages.stats.elapsed_time_millis = (self.now - s.taken) / 1000;
        let ended = Effect::Ended {
            id,
            public_id: s.public_id.clone(),
            class: self.names.classes.get(s.class).cloned().unwrap_or_default(),
            attempts: s.attempts,
            ending: word,
            took: Duration::from_micros(self.now - s.taken),
        };
        self.effects.push_back(ended);
        self.effects.push_back(Effect::Wake(id));
    }
}

/// What an engine's error says: turned away unseen, the statement's own fault, or a failure.
fn verdict(error: &QueryError) -> (Outcome, &'static str) {
    match error.error_type {
        _ if error.error_name == QUEUE_FULL || error.error_name == "SERVER_STARTING_UP" => {
            (Outcome::Full, QUEUE_FULL)
        }
        ErrorType::UserError => (Outcome::Declined, "USER_ERROR"),
        _ => (Outcome::Error, FAILED),
    }
}
