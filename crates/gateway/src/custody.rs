//! Runs custody of statements, which lets another gateway take over the statements of one that died: moves
//! the protocol's messages and records to other gateways, stores its marks on disk, makes and checks the page
//! tokens that any gateway can read, and forwards polls to the gateway that holds a statement. Which gateway
//! that is, `violetward-custody` decides.

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
use violetward_store::file::FileStore;
use violetward_store::medium::Directory;
use violetward_store::{Store, StoreError};
use violetward_transport::sockets::{self, Caller, Endpoint};
use violetward_transport::{name_hash, Keys};

use crate::core::{ending_to_record, AttemptId, Launch, StatementId};
use crate::custody_terms::CustodyTerms;
use crate::host::Host;

/// First byte of custody's messages over membership. Messages of the agreement begin with their format
/// instead.
pub const MESSAGE_TAG: u8 = 0xC5;
/// First byte of a stream record that is for the custody protocol.
const PROTOCOL_RECORD: u8 = 1;
/// First byte of a stream record that is a forwarded request.
const REQUEST_RECORD: u8 = 2;
/// Time limit for the transfer of a record to another gateway.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of records queued for one gateway.
const MAX_QUEUED_RECORDS: usize = 4_096;
/// Maximum size of the part of a response body that one record carries.
const MAX_BODY_PART_BYTES: usize = 1 << 20;
/// Interval at which the members are read from membership, in addition to each reported change.
const MEMBER_REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of further gateways to ask when none of those named by a token holds the statement.
const MAX_FURTHER_GATEWAYS: usize = 32;
/// Leases that must pass after the end of the accepting gateway before an unknown statement is declared lost.
const LOST_AFTER_LEASES: u64 = 5;
/// Maximum number of gateways named in a token.
const MAX_TOKEN_GATEWAYS: usize = 6;
/// Maximum total length of the gateway entries in a token, since the length of a path is limited.
const MAX_TOKEN_GATEWAY_BYTES: usize = 384;
/// Delay before a denied permission is requested again.
const PERMISSION_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Key of the protocol's marks in the store.
const MARKS_KEY: &str = "custody.ends";
/// Domain separator of the authentication code of page tokens.
const TOKEN_CODE_DOMAIN: &[u8] = b"violetward page";

/// The content of a page path whose authentication code is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The statement.
    pub key: StatementKey,
    /// The requested page.
    pub page: PageRef,
    /// Number of the engine's page that follows the rows the client has received; `None` if it has received
    /// none.
    pub after: Option<u64>,
    /// Gateways that may hold the statement, each with its term. The first one accepted the statement.
    pub gateways: Vec<(Incarnation, u32)>,
    /// Time at which the client stops waiting, in microseconds since the Unix epoch.
    pub deadline: u64,
}

/// A request that is forwarded to another gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// `GET` or `DELETE`.
    pub method: String,
    /// The path as the client sent it.
    pub path: String,
    /// The host name that the client used; the addresses of further pages contain it.
    pub host: String,
    /// How long the answer may wait for new rows, in milliseconds.
    pub wait_millis: u64,
    /// How long the client's request has waited at the gateway that forwards it, in milliseconds.
    #[serde(default)]
    pub waited_millis: u64,
    /// Offset in the body from which on it is requested.
    #[serde(rename = "from")]
    pub offset: usize,
}

/// The head of the answer to a forwarded request. The requested part of the body follows it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ForwardedResponse {
    /// The HTTP status; 0 if the gateway does not hold the statement.
    pub status: u16,
    /// The HTTP headers.
    pub headers: Vec<(String, String)>,
    /// Length and hash of the whole body.
    #[serde(rename = "whole")]
    pub body_length_and_hash: (usize, u64),
    /// The gateway that may hold the statement instead.
    #[serde(rename = "at")]
    pub holder: Option<String>,
}

/// The result of forwarding a request.
pub enum ForwardOutcome {
    /// The answer of the gateway that holds the statement.
    Response(ForwardedResponse, Vec<u8>),
    /// A gateway that cannot be reached now may hold the statement.
    Unreachable,
    /// The accepting gateway is gone, and no gateway that may have had a record of the statement has one.
    Lost,
}

/// Whether and how a new statement is accepted.
pub enum Acceptance {
    /// The statement is to survive the end of this gateway.
    Protected,
    /// The statement ends with this gateway, which has no tenure now.
    Unprotected,
    /// The statement is not accepted, for this reason.
    Refused(&'static str),
}

/// Custody of statements in a running gateway.
pub struct Custody {
    node: RefCell<TakeoverNode>,
    incarnation: Incarnation,
    terms: CustodyTerms,
    endpoint: Rc<Endpoint>,
    caller: Caller,
    keys: RefCell<Keys>,
    /// Local ids of the protected statements that this gateway holds.
    statement_ids: RefCell<HashMap<StatementKey, StatementId>>,
    /// The reverse of `statement_ids`.
    statement_keys: RefCell<HashMap<StatementId, StatementKey>>,
    /// Attempts that wait for permission, each with the time at which it began to wait.
    pending_launches: RefCell<HashMap<AttemptId, (u64, Box<Launch>)>>,
    /// Queue of records for each gateway.
    record_queues: RefCell<HashMap<String, async_channel::Sender<Vec<u8>>>>,
    marks_to_store: async_channel::Sender<Vec<u8>>,
    alarm: Alarm,
    /// Notified when the holder of a statement may have changed.
    pub(crate) holder_changed: Event,
    /// Notified when a message of another gateway has been handled.
    message_received: Event,
    /// Whether this process has had a tenure.
    had_tenure: Cell<bool>,
    unprotected: Cell<u64>,
    forwarded: Cell<u64>,
    /// Number of launches that needed permission, and their total waiting time in microseconds.
    launch_waits: Cell<(u64, u64)>,
}

/// The answer of `/v1/custody`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CustodyStatus {
    /// Name of this gateway.
    pub name: String,
    /// Incarnation of this gateway's process, in hexadecimal.
    pub life: String,
    /// Whether this gateway may start attempts now.
    pub tenure: bool,
    /// Protected statements that this gateway holds.
    pub held: usize,
    /// Replica records kept for other gateways.
    pub guarded: usize,
    /// Total size of these records.
    #[serde(rename = "octets")]
    pub guarded_bytes: usize,
    /// Attempts that wait until another gateway has a record of them.
    pub waiting: usize,
    /// Statements taken over from other gateways.
    pub adopted: u64,
    /// Statements that other gateways took over from this one.
    pub left: u64,
    /// Statements that no other gateway could keep a record of.
    pub unprotected: u64,
    /// Requests forwarded to other gateways.
    pub passed_on: u64,
    /// Attempts that needed permission to start, and their total waiting time in microseconds.
    pub intents: (u64, u64),
}

impl std::fmt::Display for CustodyStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "custody: tenure {}; {} held, {} kept for others ({} bytes), {} attempts waiting; {} taken over, \
             {} left, {} without a replica, {} requests forwarded",
            if self.tenure { "held" } else { "not held" },
            self.held,
            self.guarded,
            self.guarded_bytes,
            self.waiting,
            self.adopted,
            self.left,
            self.unprotected,
            self.passed_on
        )
    }
}

/// Fetches the custody status of a gateway.
///
/// # Errors
/// If the gateway does not answer, or answers something else.
pub async fn fetch_status(address: SocketAddr) -> Result<CustodyStatus, String> {
    crate::fetch::get_json(address, "/v1/custody").await
}

fn member_state(state: violetward_membership::State) -> MemberState {
    match state {
        violetward_membership::State::Alive => MemberState::Alive,
        violetward_membership::State::Suspect => MemberState::Suspect,
        violetward_membership::State::Dead => MemberState::Dead,
        violetward_membership::State::Left => MemberState::Left,
    }
}

fn is_live(seen: &violetward_membership::MemberView) -> bool {
    seen.record.state <= violetward_membership::State::Suspect
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

/// Encodes a gateway's name for a token, in which dots and tildes separate fields.
fn encode_name(name: &str) -> String {
    encode(name).replace('.', "%2E").replace('~', "%7E")
}

impl Custody {
    /// Starts custody; its tasks run as long as the host's executor does. Membership must be running.
    ///
    /// # Errors
    /// If another process uses the same folder, or the stored marks cannot be read.
    pub fn start(
        host: &Rc<Host>,
        terms: &CustodyTerms,
        endpoint: Rc<Endpoint>,
        keys: Keys,
        listener: Async<TcpListener>,
    ) -> std::io::Result<Rc<Custody>> {
        let peers = host.peers().ok_or_else(|| std::io::Error::other("custody needs membership"))?;
        let unusable =
            |why: &dyn std::fmt::Display| std::io::Error::other(format!("{}: {why}", terms.folder.display()));
        let mut store = FileStore::open(&terms.folder).map_err(|why| unusable(&why))?;
        let marks = store.get(MARKS_KEY).map_err(|why| unusable(&why))?.map(|stored| stored.bytes);
        let (incarnation, site) = peers.local_member();
        let settings = Settings {
            incarnation: incarnation.clone(),
            site,
            voters: terms.voters.clone(),
            lease: micros(terms.lease),
            drift_ppm: terms.drift_ppm,
            action_margin: micros(terms.lease_check_margin),
            replicas: terms.guardians,
            max_replica_records: terms.max_records,
            max_replica_bytes: terms.max_record_bytes,
        };
        let node = TakeoverNode::new(settings, marks.as_deref(), host.now()).map_err(|why| unusable(&why))?;
        tracing::info!(name = incarnation.name, life = format!("{:016x}", incarnation.number), "custody");
        let (marks_to_store, pending_marks) = async_channel::unbounded();
        let custody = Rc::new(Custody {
            node: RefCell::new(node),
            incarnation,
            terms: terms.clone(),
            caller: Caller::new(&endpoint),
            endpoint: endpoint.clone(),
            keys: RefCell::new(keys),
            statement_ids: RefCell::default(),
            statement_keys: RefCell::default(),
            pending_launches: RefCell::default(),
            record_queues: RefCell::default(),
            marks_to_store,
            alarm: Alarm::default(),
            holder_changed: Event::new(),
            message_received: Event::new(),
            had_tenure: Cell::default(),
            unprotected: Cell::default(),
            forwarded: Cell::default(),
            launch_waits: Cell::default(),
        });
        *host.custody.borrow_mut() = Some(custody.clone());
        host.with_core(|core, _| core.protect_classes(terms.protected_classes.clone()));
        host.spawn(custody.clone().store_marks(host.clone(), store, pending_marks));
        host.spawn(custody.clone().run_timers(host.clone()));
        host.spawn(custody.clone().refresh_members(host.clone()));
        let (serving_custody, serving_host) = (custody.clone(), host.clone());
        host.spawn(async move {
            let handler = move |from: String, record: Vec<u8>| {
                let (custody, host) = (serving_custody.clone(), serving_host.clone());
                async move { custody.handle_record(&host, &from, &record).await }
            };
            sockets::serve(endpoint, listener, handler).await;
        });
        Ok(custody)
    }

    /// Replaces the keys that sign messages and tokens.
    pub fn set_keys(&self, keys: Keys) {
        self.endpoint.set_keys(keys.clone());
        *self.keys.borrow_mut() = keys;
    }

    /// Runs `operation` on the protocol and applies the effects that it produces.
    fn update<T>(&self, host: &Rc<Host>, operation: impl FnOnce(&mut TakeoverNode, u64) -> T) -> T {
        let result = operation(&mut self.node.borrow_mut(), host.now());
        loop {
            let effect = self.node.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.apply_effect(host, effect),
                None => break,
            }
        }
        self.alarm.set(self.node.borrow().next_wake());
        result
    }

    fn apply_effect(&self, host: &Rc<Host>, effect: Effect) {
        match effect {
            Effect::SendDatagram(to, bytes) => {
                let mut message = Vec::with_capacity(bytes.len() + 1);
                message.push(MESSAGE_TAG);
                message.extend_from_slice(&bytes);
                host.peers().iter().for_each(|peers| peers.send_message(host, &to, &message));
            }
            Effect::SendRecords(to, bytes) => self.queue_record(host, to, bytes),
            Effect::StoreMarks(bytes) => drop(self.marks_to_store.try_send(bytes)),
            Effect::StartAttempt(key, attempts) => {
                let attempt = self.statement_id(&key).map(|id| AttemptId(id, attempts.saturating_sub(1)));
                let launch = attempt.and_then(|attempt| self.take_pending_launch(host, attempt));
                launch.into_iter().for_each(|launch| host.launch(*launch));
            }
            Effect::ReportEnding(key) => {
                if let Some(id) = self.statement_id(&key) {
                    host.with_core(|core, now| core.ending_recorded(now, id));
                }
            }
            Effect::TakenOver(record) => self.take_over(host, &record),
            Effect::Relinquished(key) => {
                if let Some(id) = self.statement_id(&key) {
                    tracing::info!(n = id.0, at = host.now(), "another gateway has taken the statement over");
                    self.remove_statement(id);
                    host.with_core(|core, now| core.detach(now, id));
                }
                self.holder_changed.notify(usize::MAX);
            }
            Effect::Unreplicated(key) => {
                self.unprotected.set(self.unprotected.get() + 1);
                if let Some(id) = self.statement_id(&key).filter(|_| self.terms.refuse_unguarded) {
                    let why = "no other gateway could keep it";
                    host.with_core(|core, now| core.refuse_unprotected(now, id, why));
                }
            }
            Effect::Log(text) => tracing::info!(target: "violetward::custody", at = host.now(), "{text}"),
        }
    }

    fn take_over(&self, host: &Rc<Host>, record: &Record) {
        let (number, key) = (record.key.number, record.key.clone());
        let adopted = host.with_core_deferred(|core, now| core.adopt(now, record));
        match adopted {
            Ok(id) => {
                tracing::info!(
                    n = id.0,
                    from = key.accepted_by.name,
                    number,
                    at = host.now(),
                    "statement taken over"
                );
                self.statement_ids.borrow_mut().insert(key.clone(), id);
                self.statement_keys.borrow_mut().insert(id, key);
                // Runs the effects of the adoption, which look the statement up in the tables filled above.
                host.with_core(|_, _| ());
            }
            Err(why) => {
                tracing::error!(
                    from = key.accepted_by.name,
                    number,
                    "record of a statement taken over is malformed: {why}"
                );
                self.update(host, |node, now| node.finish_statement(now, &key));
            }
        }
        self.holder_changed.notify(usize::MAX);
    }

    fn statement_id(&self, key: &StatementKey) -> Option<StatementId> {
        self.statement_ids.borrow().get(key).copied()
    }

    fn statement_key(&self, id: StatementId) -> Option<StatementKey> {
        self.statement_keys.borrow().get(&id).cloned()
    }

    // ---- Calls from the core ----------------------------------------------------------------------------

    /// Registers a statement that this gateway has accepted, so that it is protected from now on.
    pub(crate) fn register_statement(&self, host: &Rc<Host>, id: StatementId) {
        let Some(statement) = host.read_core(|core| core.statement_record(id)) else { return };
        let key = StatementKey { accepted_by: self.incarnation.clone(), number: id.0 };
        self.statement_ids.borrow_mut().insert(key.clone(), id);
        self.statement_keys.borrow_mut().insert(id, key.clone());
        let record = Record {
            key,
            version: 1,
            body: statement.body,
            repeat: statement.repeat,
            remaining_wait: statement.remaining,
            attempts: 0,
            in_flight: None,
            pages_delivered: 0,
            ending: None,
        };
        self.update(host, |node, now| node.add_statement(now, record));
    }

    /// Whether and how a new statement is accepted now. A gateway that has just started refuses statements
    /// until its first tenure, for at most two leases, since a first tenure takes no longer than that.
    pub(crate) fn acceptance(&self, host: &Rc<Host>) -> Acceptance {
        if self.may_act(host) {
            self.had_tenure.set(true);
            return Acceptance::Protected;
        }
        if !self.had_tenure.get() && host.started.elapsed() < self.terms.lease * 2 {
            return Acceptance::Refused("this gateway has just started; the statement was not taken");
        }
        match self.terms.refuse_unguarded {
            true => Acceptance::Refused("this gateway may not act now; the statement was not taken"),
            false => Acceptance::Unprotected,
        }
    }

    /// Waits until a new statement is replicated, so that it survives this gateway once its client has been
    /// told that it is accepted. Returns `false` if that takes longer than half a lease; the statement is
    /// refused then. No attempt that is unsafe to repeat starts before the client knows the address of its
    /// statement.
    pub(crate) async fn wait_until_replicated(&self, host: &Rc<Host>, id: StatementId) -> bool {
        let Some(key) = self.statement_key(id) else { return true };
        let since = host.now();
        let until = Instant::now() + self.half_lease();
        loop {
            let message = self.message_received.listen();
            if self.node.borrow().is_safely_replicated(host.now(), &key, since) {
                return true;
            }
            if Instant::now() >= until {
                break;
            }
            future::or(message, violetward_net::sleep_until(until)).await;
        }
        tracing::info!(n = id.0, at = host.now(), "statement refused: not replicated to any other gateway");
        host.with_core(|core, now| core.refuse_unprotected(now, id, "no other gateway could keep it"));
        self.finish_statement(host, id);
        false
    }

    /// Whether a statement is protected.
    pub(crate) fn is_protected(&self, id: StatementId) -> bool {
        self.statement_keys.borrow().contains_key(&id)
    }

    /// Requests permission to start an attempt. Returns the launch if it may start at once or its statement
    /// is not protected; otherwise the launch waits here until the permission is granted.
    pub(crate) fn request_launch(&self, host: &Rc<Host>, launch: Box<Launch>) -> Option<Box<Launch>> {
        let attempt = launch.attempt;
        if self.statement_key(attempt.0).is_none() {
            return Some(launch);
        }
        // Inserted first, since the protocol may grant the permission during the request.
        self.pending_launches.borrow_mut().insert(attempt, (host.now(), launch));
        self.request_permission(host, attempt)
    }

    fn request_permission(&self, host: &Rc<Host>, attempt: AttemptId) -> Option<Box<Launch>> {
        let key = self.statement_key(attempt.0)?;
        let in_flight = {
            let pending = self.pending_launches.borrow();
            let (_, launch) = pending.get(&attempt)?;
            let timeout = launch.deadline.saturating_sub(host.now());
            InFlightAttempt {
                number: attempt.1,
                engine: launch.engine.clone(),
                next_uri: None,
                next_page: 0,
                elapsed: 0,
                timeout,
            }
        };
        match self.update(host, |node, now| node.request_attempt(now, &key, attempt.1 + 1, in_flight)) {
            Permission::Granted => self.take_pending_launch(host, attempt),
            Permission::Pending => None,
            Permission::Denied => {
                // Without a tenure no attempt starts. Either the tenure returns, or another gateway takes the
                // statement over.
                let host = host.clone();
                host.clone().spawn(async move {
                    violetward_net::sleep(PERMISSION_RETRY_DELAY).await;
                    let launch =
                        host.custody().and_then(|custody| custody.request_permission(&host, attempt));
                    launch.into_iter().for_each(|launch| host.launch(*launch));
                });
                None
            }
        }
    }

    fn take_pending_launch(&self, host: &Rc<Host>, attempt: AttemptId) -> Option<Box<Launch>> {
        let (since, launch) = self.pending_launches.borrow_mut().remove(&attempt)?;
        let (count, total) = self.launch_waits.get();
        self.launch_waits.set((count + 1, total + host.now().saturating_sub(since)));
        Some(launch)
    }

    /// Cancels an attempt that may still be waiting for permission. Returns whether it was.
    pub(crate) fn cancel_pending_launch(&self, attempt: AttemptId) -> bool {
        self.pending_launches.borrow_mut().remove(&attempt).is_some()
    }

    /// Replicates the changed progress of a statement.
    pub(crate) fn record_progress(&self, host: &Rc<Host>, id: StatementId) {
        let Some(key) = self.statement_key(id) else { return };
        if let Some((_, in_flight, pages_delivered)) = host.read_core(|core| core.progress(id)) {
            self.update(host, |node, now| node.record_progress(now, &key, in_flight, pages_delivered));
        }
    }

    /// Records an ending that this gateway decided. The core reports it to the client once it is recorded.
    pub(crate) fn record_ending(&self, host: &Rc<Host>, id: StatementId, ending: &Ending) {
        let Some(key) = self.statement_key(id) else {
            return host.with_core(|core, now| core.ending_recorded(now, id));
        };
        match self.update(host, |node, now| node.request_ending(now, &key, ending_to_record(ending))) {
            Permission::Granted => host.with_core(|core, now| core.ending_recorded(now, id)),
            Permission::Pending => {}
            // Without a tenure the ending waits. A statement that another gateway has taken over needs none:
            // `Effect::Relinquished` detaches it.
            Permission::Denied if matches!(self.locate(&key).0, StatementLocation::Local) => {
                let (host, ending) = (host.clone(), ending.clone());
                host.clone().spawn(async move {
                    violetward_net::sleep(PERMISSION_RETRY_DELAY).await;
                    host.custody().iter().for_each(|custody| custody.record_ending(&host, id, &ending));
                });
            }
            Permission::Denied => {}
        }
    }

    /// Releases the records of a statement that no gateway needs any more.
    pub(crate) fn finish_statement(&self, host: &Rc<Host>, id: StatementId) {
        if let Some(key) = self.statement_key(id) {
            self.update(host, |node, now| node.finish_statement(now, &key));
        }
    }

    /// Removes a statement that the core no longer has.
    pub(crate) fn remove_statement(&self, id: StatementId) {
        if let Some(key) = self.statement_keys.borrow_mut().remove(&id) {
            self.statement_ids.borrow_mut().remove(&key);
        }
        self.pending_launches.borrow_mut().retain(|attempt, _| attempt.0 != id);
    }

    /// Whether an attempt of a statement may be sent to an engine now.
    pub(crate) fn may_launch(&self, host: &Rc<Host>, id: StatementId) -> bool {
        !self.statement_keys.borrow().contains_key(&id) || self.may_act(host)
    }

    /// Whether this gateway may act now for the statements that it holds.
    pub(crate) fn may_act(&self, host: &Rc<Host>) -> bool {
        self.node.borrow().may_act(host.now())
    }

    // ---- Tokens ----------------------------------------------------------------------------------------

    /// The slug of a page of a protected statement: its content and an authentication code, so that it cannot
    /// be guessed.
    pub fn page_slug(
        &self,
        id: StatementId,
        public_id: &str,
        after: Option<u64>,
        deadline: u64,
    ) -> Option<String> {
        let key = self.statement_key(id)?;
        let mut gateways = self.node.borrow().replica_list_with_terms(&key);
        if gateways.is_empty() {
            gateways.push((key.accepted_by.clone(), 0));
        }
        // Keeps the accepting gateway and the latest replicas; earlier ones may be gone.
        if gateways.len() > MAX_TOKEN_GATEWAYS {
            gateways.drain(1..gateways.len() - MAX_TOKEN_GATEWAYS + 1);
        }
        let mut gateways: Vec<String> = gateways
            .iter()
            .map(|(gateway, term)| format!("{}~{:x}~{term:x}", encode_name(&gateway.name), gateway.number))
            .collect();
        // The length of a path is limited: long names leave room for the latest replicas only.
        while gateways.len() > 2 && gateways.iter().map(String::len).sum::<usize>() > MAX_TOKEN_GATEWAY_BYTES
        {
            gateways.remove(1);
        }
        let content = format!(
            "{:x}.{}.{}",
            deadline / 1_000,
            after.map_or_else(|| "-".to_owned(), |n| n.to_string()),
            gateways.join(".")
        );
        let keys = self.keys.borrow();
        let key = keys.signing_key();
        let code = key
            .mac(&[TOKEN_CODE_DOMAIN, public_id.as_bytes(), b"/", content.as_bytes()])
            .finalize()
            .into_bytes();
        let code: String = code[..16].iter().map(|b| format!("{b:02x}")).collect();
        Some(format!("{:08x}{code}.{content}", name_hash(&key.name)))
    }

    /// Parses a page path; `None` if no gateway of this fleet has made it.
    pub fn parse_token(&self, path: &str) -> Option<Token> {
        let page = PageRef::parse(path)?;
        let (code, content) = page.slug.split_once('.')?;
        let (key_mark, code) = code.is_ascii().then(|| code.split_at_checked(8)).flatten()?;
        let key_mark = u32::from_str_radix(key_mark, 16).ok()?;
        let code = crate::front::parse_hex(code)?;
        let is_signed_by = |key: &violetward_transport::Key| {
            let expected = key.mac(&[TOKEN_CODE_DOMAIN, page.id.as_bytes(), b"/", content.as_bytes()]);
            expected.verify_truncated_left(&code).is_ok()
        };
        if !self.keys.borrow().with_id(key_mark).any(is_signed_by) {
            return None;
        }
        let mut fields = content.split('.');
        let deadline = u64::from_str_radix(fields.next()?, 16).ok()?.saturating_mul(1_000);
        let after = Some(fields.next()?).filter(|n| *n != "-").map(str::parse).transpose().ok()?;
        let parse_gateway = |field: &str| {
            let mut parts = field.split('~');
            let (name, number) = (decode(parts.next()?)?, u64::from_str_radix(parts.next()?, 16).ok()?);
            Some((Incarnation { name, number }, u32::from_str_radix(parts.next()?, 16).ok()?))
        };
        let gateways: Vec<(Incarnation, u32)> = fields.map(parse_gateway).collect::<Option<_>>()?;
        let number = page.id.rsplit('_').nth(1)?.parse().ok()?;
        let accepted_by = gateways.first()?.0.clone();
        Some(Token { key: StatementKey { accepted_by, number }, after, gateways, deadline, page })
    }

    /// Which gateway holds a statement, and its local id if this gateway does.
    pub fn locate(&self, key: &StatementKey) -> (StatementLocation, Option<StatementId>) {
        (self.node.borrow().locate(key), self.statement_id(key))
    }

    // ---- Other gateways --------------------------------------------------------------------------------

    /// Handles a protocol message of another gateway.
    pub fn receive_message(&self, host: &Rc<Host>, from: &str, bytes: &[u8]) {
        self.update(host, |node, now| node.handle_message(now, from, bytes));
        self.message_received.notify(usize::MAX);
    }

    /// Passes the members that membership knows to the protocol.
    pub fn update_members(&self, host: &Rc<Host>) {
        let Some(peers) = host.peers() else { return };
        let member = |seen: violetward_membership::MemberView| Member {
            incarnation: Incarnation { name: seen.record.name, number: seen.record.instance_id },
            site: seen.record.site,
            state: member_state(seen.record.state),
        };
        let members = peers.members().into_iter().map(member).collect();
        self.update(host, |node, now| node.update_members(now, members));
    }

    async fn refresh_members(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.update_members(&host);
            // A gateway that membership no longer knows needs no queue.
            let known: Vec<String> = host.peers().map_or(Vec::new(), |p| p.member_names());
            self.record_queues.borrow_mut().retain(|name, _| known.contains(name));
            violetward_net::sleep(MEMBER_REFRESH_INTERVAL).await;
        }
    }

    async fn run_timers(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || self.node.borrow().next_wake()).await;
            self.update(&host, TakeoverNode::wake);
            future::yield_now().await;
        }
    }

    /// Stores the latest marks on a separate thread, so that a slow disk does not delay statements.
    async fn store_marks(
        self: Rc<Self>,
        host: Rc<Host>,
        mut store: FileStore<Directory>,
        pending_marks: async_channel::Receiver<Vec<u8>>,
    ) {
        while let Ok(mut bytes) = pending_marks.recv().await {
            while let Ok(newer) = pending_marks.try_recv() {
                bytes = newer;
            }
            loop {
                let Some((returned_store, result)) = write_marks(store, bytes.clone()).await else {
                    tracing::error!(
                        "custody: the thread that stores marks ended; no further marks are stored"
                    );
                    return;
                };
                store = returned_store;
                let Err(why) = result else { break };
                tracing::error!("custody: marks not stored, retrying: {why}");
                violetward_net::sleep(Duration::from_secs(1)).await;
            }
            if pending_marks.is_empty() {
                self.update(&host, TakeoverNode::marks_stored);
            }
        }
    }

    /// Queues a record for a gateway. The records for one gateway are sent in order, one at a time.
    fn queue_record(&self, host: &Rc<Host>, to: String, bytes: Vec<u8>) {
        let mut queues = self.record_queues.borrow_mut();
        let queue = queues.entry(to.clone()).or_insert_with(|| {
            let (queue, records) = async_channel::bounded(MAX_QUEUED_RECORDS);
            host.spawn(send_records(host.clone(), to.clone(), records));
            queue
        });
        if queue.try_send(bytes).is_err() {
            let host = host.clone();
            drop(queues);
            host.clone().spawn(async move {
                let custody = host.custody();
                custody.iter().for_each(|c| c.update(&host, |node, now| node.handle_send_failure(now, &to)));
            });
        }
    }

    /// Handles a record that arrived over a stream, and returns the answer.
    async fn handle_record(&self, host: &Rc<Host>, from: &str, record: &[u8]) -> Vec<u8> {
        match record.split_first() {
            Some((&PROTOCOL_RECORD, bytes)) => {
                self.receive_message(host, from, bytes);
                Vec::new()
            }
            Some((&REQUEST_RECORD, bytes)) => {
                let Ok(request) = serde_json::from_slice::<ForwardedRequest>(bytes) else {
                    return Vec::new();
                };
                let front = host.front();
                let Some(front) = front else { return Vec::new() };
                let (response, body) = front.answer_forwarded(&request).await;
                encode_response(&response, &body, request.offset)
            }
            _ => Vec::new(),
        }
    }

    /// Forwards a request to the gateway that holds the statement. Asks `first_holder` first, then the
    /// gateways that the token names, then others. The client's request arrived here at `arrived_at`, in
    /// microseconds of the host's clock.
    pub(crate) async fn forward(
        &self,
        host: &Rc<Host>,
        token: &Token,
        request: &ForwardedRequest,
        arrived_at: u64,
        first_holder: Option<String>,
    ) -> ForwardOutcome {
        let Some(peers) = host.peers() else { return ForwardOutcome::Unreachable };
        self.forwarded.set(self.forwarded.get() + 1);
        // Checked before any gateway is asked: a gateway that has ended by now cannot hand the statement on
        // between two answers.
        let mut may_be_lost = self.may_be_lost(host, &peers, token);
        let mut next: Vec<String> = token.gateways.iter().map(|(gateway, _)| gateway.name.clone()).collect();
        next.splice(..0, first_holder);
        next.dedup();
        next.reverse();
        let mut tried: Vec<String> = vec![self.incarnation.name.clone()];
        let mut asks_others = false;
        loop {
            let Some(name) = next.pop() else {
                // None of these gateways holds it. It may have been taken over repeatedly since the token was
                // made.
                if asks_others || peers.may_be_alive(&token.key.accepted_by) {
                    break;
                }
                asks_others = true;
                // Only the decision that the statement is lost requires that all gateways are asked.
                let limit = if may_be_lost { usize::MAX } else { MAX_FURTHER_GATEWAYS };
                next.extend(peers.member_names().into_iter().take(limit));
                continue;
            };
            if tried.contains(&name) {
                continue;
            }
            let Some(seen) = peers.members().into_iter().find(|s| s.record.name == name) else { continue };
            if seen.record.state > violetward_membership::State::Suspect {
                continue;
            }
            let Some(address) = peers.stream_address(&name) else { continue };
            tried.push(name.clone());
            // Calls of other gateways may have taken a while.
            let waited_millis = host.now().saturating_sub(arrived_at) / 1_000;
            let request = ForwardedRequest { waited_millis, ..request.clone() };
            match self.call(&name, address, &request).await {
                // This gateway cannot answer or may not act; another one may.
                Some((response, _)) if response.status == 503 => may_be_lost = false,
                Some((response, body)) if response.status != 0 => {
                    return ForwardOutcome::Response(response, body)
                }
                Some((ForwardedResponse { holder: Some(holder), .. }, _)) => {
                    // A gateway knows of the statement, so it is not lost.
                    may_be_lost = false;
                    next.push(holder);
                }
                Some(_) => {}
                None => may_be_lost = false,
            }
        }
        let all_tried = || peers.members().iter().all(|s| !is_live(s) || tried.contains(&s.record.name));
        if may_be_lost && asks_others && all_tried() {
            ForwardOutcome::Lost
        } else {
            ForwardOutcome::Unreachable
        }
    }

    /// Whether a statement may be declared lost once no live gateway knows of it. Behind a network partition
    /// its holder looks dead and goes on, so each gateway that may hold it and does not answer must be
    /// fenced. A fenced gateway whose process still runs may hand back the statement, so until the client's
    /// deadline its process must also be known to have ended.
    fn may_be_lost(&self, host: &Rc<Host>, peers: &crate::peers::Peers, token: &Token) -> bool {
        let now = host.now();
        let members = peers.members();
        let mut unfenced: Vec<(Incarnation, u32)> = Vec::new();
        let mut all_ended = true;
        for (gateway, term) in token.gateways.iter().filter(|(gateway, _)| *gateway != self.incarnation) {
            let known = members.iter().find(|s| s.record.name == gateway.name);
            all_ended &= known.is_some_and(|s| {
                s.record.instance_id != gateway.number || s.record.state == violetward_membership::State::Left
            });
            if !known.is_some_and(|s| s.record.instance_id == gateway.number && is_live(s)) {
                unfenced.push((gateway.clone(), *term));
            }
        }
        for gone in members.iter().filter(|s| !is_live(s)) {
            unfenced
                .push((Incarnation { name: gone.record.name.clone(), number: gone.record.instance_id }, 0));
        }
        let lost_after = micros(self.terms.lease) * LOST_AFTER_LEASES;
        if token.key.accepted_by == self.incarnation
            || !peers.ended_for(&token.key.accepted_by, now, lost_after)
        {
            return false;
        }
        unfenced.retain(|(gateway, term)| !self.node.borrow().is_fenced(gateway, *term));
        for (gateway, term) in &unfenced {
            self.update(host, |node, now| node.request_fencing(now, gateway, *term));
        }
        unfenced.is_empty() && (all_ended || now >= token.deadline)
    }

    /// Half a lease: how long a gateway without a tenure delays polls and new statements before it refuses
    /// them.
    pub(crate) fn half_lease(&self) -> Duration {
        self.terms.lease / 2
    }

    /// Sends a request to another gateway and collects the parts of the response body.
    async fn call(
        &self,
        name: &str,
        address: SocketAddr,
        request: &ForwardedRequest,
    ) -> Option<(ForwardedResponse, Vec<u8>)> {
        let timeout = Duration::from_millis(request.wait_millis) + RECORD_TIMEOUT;
        let mut request = request.clone();
        let mut body: Vec<u8> = Vec::new();
        let mut first: Option<ForwardedResponse> = None;
        loop {
            request.offset = body.len();
            let mut record = vec![REQUEST_RECORD];
            serde_json::to_writer(&mut record, &request).ok()?;
            let answer = self.caller.call_named(name, address, &record, timeout).await.ok()?;
            let (length, rest) = answer.split_first_chunk::<4>()?;
            let (head, part) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
            let response: ForwardedResponse = serde_json::from_slice(head).ok()?;
            // Parts of a body that changed meanwhile do not belong together.
            if first.as_ref().is_some_and(|f| f.body_length_and_hash != response.body_length_and_hash) {
                return None;
            }
            body.extend_from_slice(part);
            if body.len() >= response.body_length_and_hash.0 {
                return Some((response, body));
            }
            if part.is_empty() {
                return None;
            }
            first = Some(response);
        }
    }

    /// Starts to hand over all held statements to other gateways; no attempt starts here any more.
    pub fn start_hand_over(&self, host: &Rc<Host>) {
        self.update(host, TakeoverNode::start_hand_over);
    }

    /// Whether this gateway holds no statement any more.
    pub fn hand_over_complete(&self) -> bool {
        self.node.borrow().hand_over_complete()
    }

    /// The answer of `/v1/custody`.
    pub fn status(&self, host: &Rc<Host>) -> CustodyStatus {
        let usage = self.node.borrow().usage();
        let counts = host.read_core(|core| core.counts);
        CustodyStatus {
            name: self.incarnation.name.clone(),
            life: format!("{:016x}", self.incarnation.number),
            tenure: self.may_act(host),
            held: usage.owned,
            guarded: usage.replica_records,
            guarded_bytes: usage.replica_bytes,
            waiting: usage.awaiting_replicas,
            adopted: counts.adopted,
            left: counts.handed_over,
            unprotected: self.unprotected.get(),
            passed_on: self.forwarded.get(),
            intents: self.launch_waits.get(),
        }
    }
}

/// Encodes the head of a response and the part of its body from `offset` on.
fn encode_response(response: &ForwardedResponse, body: &[u8], offset: usize) -> Vec<u8> {
    let head = serde_json::to_vec(response).unwrap_or_default();
    let part = &body[offset.min(body.len())..];
    let part = &part[..part.len().min(MAX_BODY_PART_BYTES)];
    let mut out = Vec::with_capacity(4 + head.len() + part.len());
    out.extend_from_slice(&(head.len() as u32).to_be_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(part);
    out
}

/// Sends the queued records of one gateway.
async fn send_records(host: Rc<Host>, to: String, records: async_channel::Receiver<Vec<u8>>) {
    while let Ok(bytes) = records.recv().await {
        let Some(custody) = host.custody() else { return };
        let mut record = Vec::with_capacity(bytes.len() + 1);
        record.push(PROTOCOL_RECORD);
        record.extend_from_slice(&bytes);
        let address = host.peers().and_then(|peers| peers.stream_address(&to));
        let sent = match address {
            Some(address) => custody.caller.call_named(&to, address, &record, RECORD_TIMEOUT).await.is_ok(),
            None => false,
        };
        if !sent {
            custody.update(&host, |node, now| node.handle_send_failure(now, &to));
        }
    }
}

/// Stores marks on a separate thread. Returns the store and the result; `None` if the thread ended without
/// one.
async fn write_marks(
    mut store: FileStore<Directory>,
    bytes: Vec<u8>,
) -> Option<(FileStore<Directory>, Result<u64, StoreError>)> {
    let (done, wait) = async_channel::bounded(1);
    let work = move || {
        let result = store.put(MARKS_KEY, &bytes);
        drop(done.try_send((store, result)));
    };
    std::thread::Builder::new().name("custody".into()).spawn(work).ok()?;
    wait.recv().await.ok()
}

/// Waits until the holder of a statement may have changed, at most until `until` and for `max_wait`.
pub(crate) async fn wait_for_change(custody: &Custody, until: Instant, max_wait: Duration) {
    let listener = custody.holder_changed.listen();
    let until = until.min(Instant::now() + max_wait);
    future::or(listener, violetward_net::sleep_until(until)).await;
}
