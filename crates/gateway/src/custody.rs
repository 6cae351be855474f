//! Carries out custody of statements: moves its sayings and records to other gateways, keeps on disk what has to be kept, makes
//! and checks tokens that any gateway can read, and passes polls on to whoever holds a statement. Decides nothing about who
//! that is: that is `violetward-custody`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use hmac::Mac;
use serde::{Deserialize, Serialize};
use violetward_custody::{
    Effect, InFlightAttempt, Incarnation, Member, MemberState, Permission, Record, Settings, StatementKey,
    StatementLocation, TakeoverNode,
};
use violetward_net::Alarm;
use violetward_statement::pages::Ending;
use violetward_statement::results::PageRef;
use violetward_statement::session::{decode, encode};
use violetward_store::file::Files;
use violetward_store::medium::Folder;
use violetward_store::{Store, StoreError};
use violetward_transport::sockets::{self, Caller, Station};
use violetward_transport::{mark, Keys};

use crate::core::{ending_to_record, AttemptId, Launch, StatementId};
use crate::custody_terms::CustodyTerms;
use crate::host::Host;

/// The first octet of what custody says over membership, where agreement's sayings begin with their format.
pub const SAID: u8 = 0xC5;
/// First octets of records: of the machine, and a request passed on.
const MACHINE: u8 = 1;
const ASKED: u8 = 2;
/// How long a record may take to another gateway.
const SEND: Duration = Duration::from_secs(1);
/// Records that wait for one gateway.
const WAITING: usize = 4_096;
/// Octets of an answer that travel at once.
const PART: usize = 1 << 20;
/// Between two looks at what membership believes, beside those when it changes.
const LOOK: Duration = Duration::from_millis(200);
/// Gateways that are asked at most if nobody of those does that a token names.
const WIDE: usize = 32;
/// Leases after its holder's death until a statement that nobody knows is given up.
const SETTLED: u64 = 5;
/// Gateways told of in a token, and octets of their names, at most.
const CHAIN: usize = 6;
const NAMES: usize = 384;
/// Until what may not be done now is asked for again.
const REST: Duration = Duration::from_millis(50);
/// The name of what is kept.
const KEPT: &str = "custody.ends";
const USE: &[u8] = b"violetward page";

/// What a page's path says, once its code has been checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Which statement.
    pub key: StatementKey,
    /// The page asked for.
    pub page: PageRef,
    /// The engine's page after the rows that its client has got; `None`: it has none.
    pub after: Option<u64>,
    /// Lives, each in a term, that may hold it, the one that took it first.
    pub chain: Vec<(Incarnation, u32)>,
    /// When its client stops waiting, microseconds since the Unix epoch.
    pub due: u64,
}

/// A request that is passed on to another gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Asked {
    /// `GET` or `DELETE`.
    pub method: String,
    /// The path as the client sent it.
    pub path: String,
    /// The host as its client calls it: addresses of further pages keep it.
    pub host: String,
    /// How long the answer may wait for news, milliseconds.
    pub wait_millis: u64,
    /// From which octet on the body is wanted.
    pub from: usize,
}

/// What is answered to it; the part of the body follows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Told {
    /// The status; 0: it isn't here.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Octets of the whole body, and their hash.
    pub whole: (usize, u64),
    /// Who may hold it instead.
    pub at: Option<String>,
}

/// What passing a request on led to.
pub enum Passed {
    /// The answer of whoever holds it.
    Told(Told, Vec<u8>),
    /// Somebody may hold it who cannot be reached now.
    Later,
    /// Whoever took it is gone, and nobody of those that were to know of it does.
    Lost,
}

/// How a new statement is taken.
pub enum Takes {
    /// As one that is to outlive this gateway.
    Protected,
    /// As one that ends with this gateway: it has no tenure.
    Unprotected,
    /// Not at all.
    No(&'static str),
}

/// Records on their way to one gateway.
struct Line {
    queue: async_channel::Sender<Vec<u8>>,
}

/// Custody in a running gateway.
pub struct Custody {
    machine: RefCell<TakeoverNode>,
    me: Incarnation,
    terms: CustodyTerms,
    station: Rc<Station>,
    caller: Caller,
    keys: RefCell<Keys>,
    locals: RefCell<HashMap<StatementKey, StatementId>>,
    names: RefCell<HashMap<StatementId, StatementKey>>,
    /// Attempts that wait for leave, and since when.
    parked: RefCell<HashMap<AttemptId, (u64, Box<Launch>)>>,
    lines: RefCell<HashMap<String, Line>>,
    keeps: async_channel::Sender<Vec<u8>>,
    alarm: Alarm,
    /// Something about who holds what may have changed.
    pub(crate) changed: Event,
    /// Something has come from another gateway.
    came: Event,
    /// It has held its tenure.
    ready: Cell<bool>,
    unprotected: Cell<u64>,
    passed_on: Cell<u64>,
    waited: Cell<(u64, u64)>,
}

/// What `/v1/custody` tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Standing {
    /// This gateway, and its life.
    pub name: String,
    /// See `name`.
    pub life: String,
    /// It may begin attempts now.
    pub tenure: bool,
    /// Statements held here that are protected.
    pub held: usize,
    /// Records kept for others, and their octets.
    pub guarded: usize,
    /// See `guarded`.
    pub octets: usize,
    /// Attempts that wait until another gateway knows of them.
    pub waiting: usize,
    /// Statements taken over from others, and left to others.
    pub adopted: u64,
    /// See `adopted`.
    pub left: u64,
    /// Statements for which there was no guardian.
    pub unprotected: u64,
    /// Requests passed on.
    pub passed_on: u64,
    /// Attempts that had to have leave, and how long they waited for it in all, microseconds.
    pub intents: (u64, u64),
}

impl std::fmt::Display for Standing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "custody: tenure {}; {} held, {} kept for others ({} octets), {} intents wait; {} taken over, {} left, {} without a guardian, {} requests passed on",
            if self.tenure { "held" } else { "not held" },
            self.held,
            self.guarded,
            self.octets,
            self.waiting,
            self.adopted,
            self.left,
            self.unprotected,
            self.passed_on
        )
    }
}

/// Asks a gateway how custody stands there.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn ask(address: SocketAddr) -> Result<Standing, String> {
    crate::fetch::get_json(address, "/v1/custody").await
}

fn state(state: violetward_membership::State) -> MemberState {
    match state {
        violetward_membership::State::Alive => MemberState::Alive,
        violetward_membership::State::Suspect => MemberState::Suspect,
        violetward_membership::State::Dead => MemberState::Dead,
        violetward_membership::State::Left => MemberState::Left,
    }
}

fn living(seen: &violetward_membership::MemberView) -> bool {
    seen.record.state <= violetward_membership::State::Suspect
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

/// A name as it stands in a token, where dots part the fields.
fn word(name: &str) -> String {
    encode(name).replace('.', "%2E").replace('~', "%7E")
}

impl Custody {
    /// Starts custody; its tasks run as long as the host's executor does. Membership must run.
    ///
    /// # Errors
    /// If another process uses the same folder, or what was kept cannot be read.
    pub fn start(
        host: &Rc<Host>,
        terms: &CustodyTerms,
        station: Rc<Station>,
        keys: Keys,
        listener: Async<TcpListener>,
    ) -> std::io::Result<Rc<Custody>> {
        let peers = host.peers().ok_or_else(|| std::io::Error::other("custody needs membership"))?;
        let unusable =
            |why: &dyn std::fmt::Display| std::io::Error::other(format!("{}: {why}", terms.folder.display()));
        let mut store = Files::open(&terms.folder).map_err(|why| unusable(&why))?;
        let ends = store.get(KEPT).map_err(|why| unusable(&why))?.map(|kept| kept.bytes);
        let (me, site) = peers.me();
        let known = Settings {
            incarnation: me.clone(),
            site,
            voters: terms.voters.clone(),
            lease: micros(terms.lease),
            drift_ppm: terms.drift_ppm,
            action_margin: micros(terms.lease_check_margin),
            replicas: terms.guardians,
            max_replica_records: terms.max_records,
            max_replica_bytes: terms.max_record_bytes,
        };
        let machine = TakeoverNode::new(known, ends.as_deref(), host.now()).map_err(|why| unusable(&why))?;
        tracing::info!(name = me.name, life = format!("{:016x}", me.number), "custody");
        let (keeps, kept) = async_channel::unbounded();
        let custody = Rc::new(Custody {
            machine: RefCell::new(machine),
            me,
            terms: terms.clone(),
            caller: Caller::new(&station),
            station: station.clone(),
            keys: RefCell::new(keys),
            locals: RefCell::default(),
            names: RefCell::default(),
            parked: RefCell::default(),
            lines: RefCell::default(),
            keeps,
            alarm: Alarm::default(),
            changed: Event::new(),
            came: Event::new(),
            ready: Cell::default(),
            unprotected: Cell::default(),
            passed_on: Cell::default(),
            waited: Cell::default(),
        });
        *host.custody.borrow_mut() = Some(custody.clone());
        host.with_core(|core, _| core.protect_classes(terms.protected_classes.clone()));
        host.spawn(custody.clone().keep(host.clone(), store, kept));
        host.spawn(custody.clone().wake(host.clone()));
        host.spawn(custody.clone().look(host.clone()));
        let (of, to) = (custody.clone(), host.clone());
        host.spawn(async move {
            let handler = move |from: String, record: Vec<u8>| {
                let (custody, host) = (of.clone(), to.clone());
                async move { custody.record(&host, &from, &record).await }
            };
            sockets::serve(station, listener, handler).await;
        });
        Ok(custody)
    }

    /// The keys of the fleet are these from now on.
    pub fn set_keys(&self, keys: Keys) {
        self.station.keys(keys.clone());
        *self.keys.borrow_mut() = keys;
    }

    fn with<T>(&self, host: &Rc<Host>, act: impl FnOnce(&mut TakeoverNode, u64) -> T) -> T {
        let result = act(&mut self.machine.borrow_mut(), host.now());
        loop {
            let effect = self.machine.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.carry_out(host, effect),
                None => break,
            }
        }
        self.alarm.set(self.machine.borrow().next_wake());
        result
    }

    fn carry_out(&self, host: &Rc<Host>, effect: Effect) {
        match effect {
            Effect::SendDatagram(to, bytes) => {
                let mut said = Vec::with_capacity(bytes.len() + 1);
                said.push(SAID);
                said.extend_from_slice(&bytes);
                host.peers().iter().for_each(|peers| peers.say(host, &to, &said));
            }
            Effect::SendRecords(to, bytes) => self.send(host, to, bytes),
            Effect::StoreMarks(bytes) => drop(self.keeps.try_send(bytes)),
            Effect::StartAttempt(key, attempts) => {
                let id = self.local(&key).map(|id| AttemptId(id, attempts.saturating_sub(1)));
                let launch = id.and_then(|id| self.unpark(host, id));
                launch.into_iter().for_each(|launch| host.launch(*launch));
            }
            Effect::ReportEnding(key) => {
                if let Some(id) = self.local(&key) {
                    host.with_core(|core, now| core.ending_recorded(now, id));
                }
            }
            Effect::TakenOver(record) => self.adopt(host, &record),
            Effect::Relinquished(key) => {
                if let Some(id) = self.local(&key) {
                    tracing::info!(n = id.0, at = host.now(), "another gateway holds it");
                    self.gone(id);
                    host.with_core(|core, now| core.detach(now, id));
                }
                self.changed.notify(usize::MAX);
            }
            Effect::Unreplicated(key) => {
                self.unprotected.set(self.unprotected.get() + 1);
                if let Some(id) = self.local(&key).filter(|_| self.terms.refuse_unguarded) {
                    let why = "no other gateway could keep it";
                    host.with_core(|core, now| core.refuse_unprotected(now, id, why));
                }
            }
            Effect::Log(text) => tracing::info!(target: "violetward::custody", at = host.now(), "{text}"),
        }
    }

    fn adopt(&self, host: &Rc<Host>, record: &Record) {
        let (number, key) = (record.key.number, record.key.clone());
        let adopted = host.with_core_deferred(|core, now| core.adopt(now, record));
        match adopted {
            Ok(id) => {
                tracing::info!(n = id.0, from = key.accepted_by.name, number, at = host.now(), "taken over");
                self.locals.borrow_mut().insert(key.clone(), id);
                self.names.borrow_mut().insert(id, key);
                // Only now it is known whose the effects of that are.
                host.with_core(|_, _| ());
            }
            Err(why) => {
                tracing::error!(
                    from = key.accepted_by.name,
                    number,
                    "what was taken over cannot be read: {why}"
                );
                self.with(host, |m, now| m.finish_statement(now, &key));
            }
        }
        self.changed.notify(usize::MAX);
    }

    fn local(&self, key: &StatementKey) -> Option<StatementId> {
        self.locals.borrow().get(key).copied()
    }

    fn key(&self, id: StatementId) -> Option<StatementKey> {
        self.names.borrow().get(&id).cloned()
    }

    // ---- What the core says ----------------------------------------------------------------------------

    /// A statement has been taken here.
    pub(crate) fn taken(&self, host: &Rc<Host>, id: StatementId) {
        let Some(taken) = host.read_core(|core| core.statement_record(id)) else { return };
        let key = StatementKey { accepted_by: self.me.clone(), number: id.0 };
        self.locals.borrow_mut().insert(key.clone(), id);
        self.names.borrow_mut().insert(id, key.clone());
        let record = Record {
            key,
            version: 1,
            body: taken.body,
            repeat: taken.repeat,
            remaining_wait: taken.remaining,
            attempts: 0,
            in_flight: None,
            pages_delivered: 0,
            ending: None,
        };
        self.with(host, |m, now| m.add_statement(now, record));
    }

    /// How a new statement is taken now. A gateway that has just started waits for its first tenure, as long as that can take.
    pub(crate) fn takes(&self, host: &Rc<Host>) -> Takes {
        if self.may_act(host) {
            self.ready.set(true);
            return Takes::Protected;
        }
        if !self.ready.get() && host.started.elapsed() < self.terms.lease * 2 {
            return Takes::No("this gateway has just started; the statement was not taken");
        }
        match self.terms.refuse_unguarded {
            true => Takes::No("this gateway may not act now; the statement was not taken"),
            false => Takes::Unprotected,
        }
    }

    /// Waits until the client of a new statement may be told that it is taken, so that it is not lost with this gateway from then
    /// on. If that does not come to be within half a lease it is refused, and this says `false`: nothing that is unsafe
    /// to repeat begins before its client knows its address.
    pub(crate) async fn settles(&self, host: &Rc<Host>, id: StatementId) -> bool {
        let Some(key) = self.key(id) else { return true };
        let since = host.now();
        let until = Instant::now() + self.rest();
        loop {
            let news = self.came.listen();
            if self.machine.borrow().is_safely_replicated(host.now(), &key, since) {
                return true;
            }
            if Instant::now() >= until {
                break;
            }
            future::or(news, violetward_net::sleep_until(until)).await;
        }
        tracing::info!(n = id.0, at = host.now(), "not taken: nobody else came to know of it");
        host.with_core(|core, now| core.refuse_unprotected(now, id, "no other gateway could keep it"));
        self.forget(host, id);
        false
    }

    /// Whether a statement is protected.
    pub(crate) fn knows(&self, id: StatementId) -> bool {
        self.names.borrow().contains_key(&id)
    }

    /// An attempt is to be begun; it waits here until it may. Gives it back if it may go at once, or is none of a statement
    /// that is protected.
    pub(crate) fn intend(&self, host: &Rc<Host>, launch: Box<Launch>) -> Option<Box<Launch>> {
        let attempt = launch.attempt;
        if self.key(attempt.0).is_none() {
            return Some(launch);
        }
        // Parked first: the machine may give leave while it is asked.
        self.parked.borrow_mut().insert(attempt, (host.now(), launch));
        self.ask_leave(host, attempt)
    }

    fn ask_leave(&self, host: &Rc<Host>, attempt: AttemptId) -> Option<Box<Launch>> {
        let key = self.key(attempt.0)?;
        let out = {
            let parked = self.parked.borrow();
            let (_, launch) = parked.get(&attempt)?;
            let within = launch.deadline.saturating_sub(host.now());
            InFlightAttempt {
                number: attempt.1,
                engine: launch.engine.clone(),
                next_uri: None,
                next_page: 0,
                elapsed: 0,
                timeout: within,
            }
        };
        match self.with(host, |m, now| m.request_attempt(now, &key, attempt.1 + 1, out)) {
            Permission::Granted => self.unpark(host, attempt),
            Permission::Pending => None,
            Permission::Denied => {
                // Without a tenure nothing is begun; one comes back, or the statement goes to another gateway.
                let host = host.clone();
                host.clone().spawn(async move {
                    violetward_net::sleep(REST).await;
                    let launch = host.custody().and_then(|custody| custody.ask_leave(&host, attempt));
                    launch.into_iter().for_each(|launch| host.launch(*launch));
                });
                None
            }
        }
    }

    fn unpark(&self, host: &Rc<Host>, attempt: AttemptId) -> Option<Box<Launch>> {
        let (since, launch) = self.parked.borrow_mut().remove(&attempt)?;
        let (count, span) = self.waited.get();
        self.waited.set((count + 1, span + host.now().saturating_sub(since)));
        Some(launch)
    }

    /// An attempt that may still wait for leave is not wanted any more. Whether it did.
    pub(crate) fn withdrawn(&self, attempt: AttemptId) -> bool {
        self.parked.borrow_mut().remove(&attempt).is_some()
    }

    /// What is known of a statement has changed.
    pub(crate) fn noted(&self, host: &Rc<Host>, id: StatementId) {
        let Some(key) = self.key(id) else { return };
        if let Some((_, out, passed)) = host.read_core(|core| core.progress(id)) {
            self.with(host, |m, now| m.record_progress(now, &key, out, passed));
        }
    }

    /// An end was decided here.
    pub(crate) fn decide(&self, host: &Rc<Host>, id: StatementId, ending: &Ending) {
        let Some(key) = self.key(id) else {
            return host.with_core(|core, now| core.ending_recorded(now, id));
        };
        match self.with(host, |m, now| m.request_ending(now, &key, ending_to_record(ending))) {
            Permission::Granted => host.with_core(|core, now| core.ending_recorded(now, id)),
            Permission::Pending => {}
            // It's another gateway's: that one is told by `Effect::Relinquished`. Without a tenure it has to wait.
            Permission::Denied if matches!(self.find(&key).0, StatementLocation::Local) => {
                let (host, ending) = (host.clone(), ending.clone());
                host.clone().spawn(async move {
                    violetward_net::sleep(REST).await;
                    host.custody().iter().for_each(|custody| custody.decide(&host, id, &ending));
                });
            }
            Permission::Denied => {}
        }
    }

    /// Nobody needs to know of a statement any more.
    pub(crate) fn forget(&self, host: &Rc<Host>, id: StatementId) {
        if let Some(key) = self.key(id) {
            self.with(host, |m, now| m.finish_statement(now, &key));
        }
    }

    /// The core has let go of a statement.
    pub(crate) fn gone(&self, id: StatementId) {
        if let Some(key) = self.names.borrow_mut().remove(&id) {
            self.locals.borrow_mut().remove(&key);
        }
        self.parked.borrow_mut().retain(|attempt, _| attempt.0 != id);
    }

    /// Whether an attempt of a statement may be written now.
    pub(crate) fn may_go(&self, host: &Rc<Host>, id: StatementId) -> bool {
        !self.names.borrow().contains_key(&id) || self.may_act(host)
    }

    /// Whether this gateway may act for what it holds now.
    pub(crate) fn may_act(&self, host: &Rc<Host>) -> bool {
        self.machine.borrow().may_act(host.now())
    }

    // ---- Tokens ----------------------------------------------------------------------------------------

    /// The part of a page's path that can't be guessed, for a statement that is protected.
    pub fn slug(&self, id: StatementId, public_id: &str, after: Option<u64>, due: u64) -> Option<String> {
        let key = self.key(id)?;
        let mut chain = self.machine.borrow().replica_list_with_terms(&key);
        if chain.is_empty() {
            chain.push((key.accepted_by.clone(), 0));
        }
        // The one that took it, and those who joined last: who is gone is not needed.
        if chain.len() > CHAIN {
            chain.drain(1..chain.len() - CHAIN + 1);
        }
        let mut chain: Vec<String> =
            chain.iter().map(|(l, term)| format!("{}~{:x}~{term:x}", word(&l.name), l.number)).collect();
        // A path has a bound: of long names the last ones stand for all.
        while chain.len() > 2 && chain.iter().map(String::len).sum::<usize>() > NAMES {
            chain.remove(1);
        }
        let says = format!(
            "{:x}.{}.{}",
            due / 1_000,
            after.map_or_else(|| "-".to_owned(), |n| n.to_string()),
            chain.join(".")
        );
        let keys = self.keys.borrow();
        let key = keys.first();
        let code = key.code(&[USE, public_id.as_bytes(), b"/", says.as_bytes()]).finalize().into_bytes();
        let code: String = code[..16].iter().map(|b| format!("{b:02x}")).collect();
        Some(format!("{:08x}{code}.{says}", mark(&key.name)))
    }

    /// What a path says; `None` if no gateway of this fleet has made it.
    pub fn token(&self, path: &str) -> Option<Token> {
        let page = PageRef::parse(path)?;
        let (code, says) = page.slug.split_once('.')?;
        let code = code.is_ascii().then(|| code.split_at_checked(8)).flatten()?;
        let of = u32::from_str_radix(code.0, 16).ok()?;
        let code = crate::front::parse_hex(code.1)?;
        let believed = |key: &violetward_transport::Key| {
            let said = key.code(&[USE, page.id.as_bytes(), b"/", says.as_bytes()]);
            said.verify_truncated_left(&code).is_ok()
        };
        if !self.keys.borrow().marked(of).any(believed) {
            return None;
        }
        let mut fields = says.split('.');
        let due = u64::from_str_radix(fields.next()?, 16).ok()?.saturating_mul(1_000);
        let after = Some(fields.next()?).filter(|n| *n != "-").map(str::parse).transpose().ok()?;
        let link = |field: &str| {
            let mut parts = field.split('~');
            let (name, life) = (decode(parts.next()?)?, u64::from_str_radix(parts.next()?, 16).ok()?);
            Some((Incarnation { name, number: life }, u32::from_str_radix(parts.next()?, 16).ok()?))
        };
        let chain: Vec<(Incarnation, u32)> = fields.map(link).collect::<Option<_>>()?;
        let number = page.id.rsplit('_').nth(1)?.parse().ok()?;
        let accepted_by = chain.first()?.0.clone();
        Some(Token { key: StatementKey { accepted_by, number }, after, chain, due, page })
    }

    /// Where a statement is, and under which number if it is here.
    pub fn find(&self, key: &StatementKey) -> (StatementLocation, Option<StatementId>) {
        (self.machine.borrow().locate(key), self.local(key))
    }

    // ---- Other gateways --------------------------------------------------------------------------------

    /// Something came from a member by datagram.
    pub fn heard(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        self.with(host, |m, now| m.handle_message(now, from, bytes));
        self.came.notify(usize::MAX);
    }

    /// What membership believes may have changed.
    pub fn members(&self, host: &Rc<Host>) {
        let Some(peers) = host.peers() else { return };
        let of = |seen: violetward_membership::MemberView| Member {
            incarnation: Incarnation { name: seen.record.name, number: seen.record.instance_id },
            site: seen.record.site,
            state: state(seen.record.state),
        };
        let members = peers.seen().into_iter().map(of).collect();
        self.with(host, |m, now| m.update_members(now, members));
    }

    async fn look(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.members(&host);
            // Who is not known any more needs no line.
            let known: Vec<String> = host.peers().map_or(Vec::new(), |p| p.names());
            self.lines.borrow_mut().retain(|name, _| known.contains(name));
            violetward_net::sleep(LOOK).await;
        }
    }

    async fn wake(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || self.machine.borrow().next_wake()).await;
            self.with(&host, TakeoverNode::wake);
            future::yield_now().await;
        }
    }

    /// Writes what is to be kept, the newest only, on a thread of its own: a disk that stalls must not hold up statements.
    async fn keep(
        self: Rc<Self>,
        host: Rc<Host>,
        mut store: Files<Folder>,
        kept: async_channel::Receiver<Vec<u8>>,
    ) {
        while let Ok(mut bytes) = kept.recv().await {
            while let Ok(newer) = kept.try_recv() {
                bytes = newer;
            }
            loop {
                let Some((back, put)) = write(store, bytes.clone()).await else {
                    tracing::error!("custody: the writing thread ended; nothing more is kept");
                    return;
                };
                store = back;
                let Err(why) = put else { break };
                tracing::error!("custody: what has to be kept is not: {why}");
                violetward_net::sleep(Duration::from_secs(1)).await;
            }
            if kept.is_empty() {
                self.with(&host, TakeoverNode::marks_stored);
            }
        }
    }

    /// Records go to each gateway in order, one after the other.
    fn send(&self, host: &Rc<Host>, to: String, bytes: Vec<u8>) {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(to.clone()).or_insert_with(|| {
            let (queue, wanted) = async_channel::bounded(WAITING);
            host.spawn(carry(host.clone(), to.clone(), wanted));
            Line { queue }
        });
        if line.queue.try_send(bytes).is_err() {
            let host = host.clone();
            drop(lines);
            host.clone().spawn(async move {
                let custody = host.custody();
                custody.iter().for_each(|c| c.with(&host, |m, now| m.handle_send_failure(now, &to)));
            });
        }
    }

    /// A record has come over a stream.
    async fn record(&self, host: &Rc<Host>, from: &str, record: &[u8]) -> Vec<u8> {
        match record.split_first() {
            Some((&MACHINE, bytes)) => {
                self.heard(host, from, bytes);
                Vec::new()
            }
            Some((&ASKED, bytes)) => {
                let Ok(asked) = serde_json::from_slice::<Asked>(bytes) else { return Vec::new() };
                let front = host.front();
                let Some(front) = front else { return Vec::new() };
                let (told, body) = front.answer_forwarded(&asked).await;
                told_and(&told, &body, asked.from)
            }
            _ => Vec::new(),
        }
    }

    /// Passes a request on to whoever holds the statement: who is said to, then those that its token names.
    pub(crate) async fn pass_on(
        &self,
        host: &Rc<Host>,
        token: &Token,
        asked: &Asked,
        first: Option<String>,
    ) -> Passed {
        let Some(peers) = host.peers() else { return Passed::Later };
        self.passed_on.set(self.passed_on.get() + 1);
        // Looked at before anybody is asked: who is over by then passes it to nobody between two answers.
        let mut verdict = self.verdict(host, &peers, token);
        let mut next: Vec<String> = token.chain.iter().map(|(life, _)| life.name.clone()).collect();
        next.splice(..0, first);
        next.dedup();
        next.reverse();
        let mut tried: Vec<String> = vec![self.me.name.clone()];
        let mut wide = false;
        loop {
            let Some(name) = next.pop() else {
                // Nobody of them knows. It may have gone on from one to another since the token was made.
                if wide || peers.may_live(&token.key.accepted_by) {
                    break;
                }
                wide = true;
                // Only who is to say that nobody has it has to ask all.
                let most = if verdict { usize::MAX } else { WIDE };
                next.extend(peers.names().into_iter().take(most));
                continue;
            };
            if tried.contains(&name) {
                continue;
            }
            let Some(seen) = peers.seen().into_iter().find(|s| s.record.name == name) else { continue };
            if seen.record.state > violetward_membership::State::Suspect {
                continue;
            }
            let Some(address) = peers.reached_at(&name) else { continue };
            tried.push(name.clone());
            match self.ask(&name, address, asked).await {
                // It can't say, or may not act: somebody else may.
                Some((told, _)) if told.status == 503 => verdict = false,
                Some((told, body)) if told.status != 0 => return Passed::Told(told, body),
                Some((Told { at: Some(at), .. }, _)) => {
                    // One that knows of it: nobody says then that nobody does.
                    verdict = false;
                    next.push(at);
                }
                Some(_) => {}
                None => verdict = false,
            }
        }
        let all = || peers.seen().iter().all(|s| !living(s) || tried.contains(&s.record.name));
        if verdict && wide && all() {
            Passed::Lost
        } else {
            Passed::Later
        }
    }

    /// Whether it may be said that a statement is lost, once nobody that lives knows of it. On the far side of a cut its holder
    /// looks dead and goes on: so whoever may have it and does not answer has to be surely over. One that was ended and
    /// still runs may give back what it had, so until nobody waits any more its process has to be known to have ended.
    fn verdict(&self, host: &Rc<Host>, peers: &crate::peers::Peers, token: &Token) -> bool {
        let now = host.now();
        let seen = peers.seen();
        let mut open: Vec<(Incarnation, u32)> = Vec::new();
        let mut ended = true;
        for (life, term) in token.chain.iter().filter(|(life, _)| *life != self.me) {
            let known = seen.iter().find(|s| s.record.name == life.name);
            ended &= known.is_some_and(|s| {
                s.record.instance_id != life.number || s.record.state == violetward_membership::State::Left
            });
            if !known.is_some_and(|s| s.record.instance_id == life.number && living(s)) {
                open.push((life.clone(), *term));
            }
        }
        for gone in seen.iter().filter(|s| !living(s)) {
            open.push((Incarnation { name: gone.record.name.clone(), number: gone.record.instance_id }, 0));
        }
        let settled = micros(self.terms.lease) * SETTLED;
        if token.key.accepted_by == self.me || !peers.gone_for(&token.key.accepted_by, now, settled) {
            return false;
        }
        open.retain(|(life, term)| !self.machine.borrow().is_fenced(life, *term));
        for (life, term) in &open {
            self.with(host, |m, now| m.request_fencing(now, life, *term));
        }
        open.is_empty() && (ended || now >= token.due)
    }

    /// How long a gateway that may not act holds a poll for what it has.
    pub(crate) fn rest(&self) -> Duration {
        self.terms.lease / 2
    }

    async fn ask(&self, name: &str, address: SocketAddr, asked: &Asked) -> Option<(Told, Vec<u8>)> {
        let within = Duration::from_millis(asked.wait_millis) + SEND;
        let mut asked = asked.clone();
        let mut body: Vec<u8> = Vec::new();
        let mut first: Option<Told> = None;
        loop {
            asked.from = body.len();
            let mut record = vec![ASKED];
            serde_json::to_writer(&mut record, &asked).ok()?;
            let answer = self.caller.call_named(name, address, &record, within).await.ok()?;
            let (length, rest) = answer.split_first_chunk::<4>()?;
            let (head, part) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
            let told: Told = serde_json::from_slice(head).ok()?;
            // A page that changed between two parts would be put together wrongly.
            if first.as_ref().is_some_and(|f| f.whole != told.whole) {
                return None;
            }
            body.extend_from_slice(part);
            if body.len() >= told.whole.0 {
                return Some((told, body));
            }
            if part.is_empty() {
                return None;
            }
            first = Some(told);
        }
    }

    /// Everything held goes to others; nothing is begun any more.
    pub fn hand_over(&self, host: &Rc<Host>) {
        self.with(host, TakeoverNode::start_hand_over);
    }

    /// Nothing is held here any more.
    pub fn handed_over(&self) -> bool {
        self.machine.borrow().hand_over_complete()
    }

    /// How it stands.
    pub fn standing(&self, host: &Rc<Host>) -> Standing {
        let usage = self.machine.borrow().usage();
        let counts = host.read_core(|core| core.counts);
        Standing {
            name: self.me.name.clone(),
            life: format!("{:016x}", self.me.number),
            tenure: self.may_act(host),
            held: usage.owned,
            guarded: usage.replica_records,
            octets: usage.replica_bytes,
            waiting: usage.awaiting_replicas,
            adopted: counts.adopted,
            left: counts.handed_over,
            unprotected: self.unprotected.get(),
            passed_on: self.passed_on.get(),
            intents: self.waited.get(),
        }
    }
}

fn told_and(told: &Told, body: &[u8], from: usize) -> Vec<u8> {
    let head = serde_json::to_vec(told).unwrap_or_default();
    let part = &body[from.min(body.len())..];
    let part = &part[..part.len().min(PART)];
    let mut out = Vec::with_capacity(4 + head.len() + part.len());
    out.extend_from_slice(&(head.len() as u32).to_be_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(part);
    out
}

/// Brings records to one gateway.
async fn carry(host: Rc<Host>, to: String, wanted: async_channel::Receiver<Vec<u8>>) {
    while let Ok(bytes) = wanted.recv().await {
        let Some(custody) = host.custody() else { return };
        let mut record = Vec::with_capacity(bytes.len() + 1);
        record.push(MACHINE);
        record.extend_from_slice(&bytes);
        let address = host.peers().and_then(|peers| peers.reached_at(&to));
        let sent = match address {
            Some(address) => custody.caller.call_named(&to, address, &record, SEND).await.is_ok(),
            None => false,
        };
        if !sent {
            custody.with(&host, |m, now| m.handle_send_failure(now, &to));
        }
    }
}

/// Puts on a thread of its own; gives the store back with what came of it.
async fn write(mut store: Files<Folder>, bytes: Vec<u8>) -> Option<(Files<Folder>, Result<u64, StoreError>)> {
    let (done, wait) = async_channel::bounded(1);
    let work = move || {
        let put = store.put(KEPT, &bytes);
        drop(done.try_send((store, put)));
    };
    std::thread::Builder::new().name("custody".into()).spawn(work).ok()?;
    wait.recv().await.ok()
}

/// Waits for news of who holds what, at most until then and for so long.
pub(crate) async fn news(custody: &Custody, until: Instant, most: Duration) {
    let listener = custody.changed.listen();
    let until = until.min(Instant::now() + most);
    future::or(listener, violetward_net::sleep_until(until)).await;
}
