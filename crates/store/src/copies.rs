//! Values that several others keep. [`Coordinator`] is the part of the one whose values they are, [`struct@Replica`] that of each other; both are
//! free of I/O and clock. [`ReplicatedStore`] is a [`Store`] made of them where a question can be waited for.
//!
//! A process grants its name with an *epoch* greater than any that a copy has promised; a replica writes the promise down and takes
//! nothing of a lower one. What is put is acknowledged by a quorum before it is reported; what is got is the newest that a quorum
//! knows, written back under the own epoch if it was not known to be safe. Two quorums share a replica: what was acknowledged is
//! seen by every later claim, and a claimed quorum takes nothing more from the one before.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use crate::{validate, Store, StoreError, StoredValue, MAX_NAME_LENGTH, MAX_VALUES, MAX_VALUE_BYTES};

/// Microseconds of a clock that never goes back.
pub type Micros = u64;

/// Characters of the longest name of an owner: as for values, but without `.`.
pub const MAX_OWNER_LENGTH: usize = 24;
/// Characters of the longest name of a value.
pub const MAX_REPLICATED_NAME_LENGTH: usize = MAX_NAME_LENGTH - MAX_OWNER_LENGTH - 3;
/// ReplicatedStore there may be of one store.
pub const MAX_REPLICAS: usize = 9;
/// Octets of the longest value.
pub const MAX_REPLICATED_VALUE_BYTES: usize = MAX_VALUE_BYTES - 26 - MAX_REPLICAS * VERSION_BYTES;
const VERSION_BYTES: usize = 24;

/// Who may write: the greater one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch {
    /// Counts grants.
    pub number: u64,
    /// Which process: drawn at its start.
    pub incarnation: u64,
}

/// Which writing of a value: the greater one is the newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// By whom.
    pub epoch: Epoch,
    /// Its count of writes.
    pub writes: u64,
}

/// What a replica holds under a name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedValue {
    /// Which writing it is.
    pub version: Version,
    /// What each replica had acknowledged before it.
    pub acknowledged: Vec<Version>,
    /// The value; `None` says that there is none, for good.
    pub bytes: Option<Vec<u8>>,
}

/// What a replica is handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Whether it would grant a claim. It promises nothing yet: one that reaches too few copies must not end the process that
    /// has the name.
    Probe,
    /// To take nothing more of lower epochs.
    Claim,
    /// What it holds under a name.
    Read(String),
    /// To hold this.
    Write(String, VersionedValue),
}

/// A question to a replica. Each may be handle again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Whose values these are.
    pub owner: String,
    /// Its process.
    pub epoch: Epoch,
    /// Which question of this process.
    pub number: u64,
    /// The question.
    pub command: Command,
}

/// What a replica answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// It has promised, or would.
    Granted,
    /// Another process that was heard of lately has the name.
    Held,
    /// It has promised to take nothing of that epoch, for this one.
    Superseded(Epoch),
    /// What it holds.
    Value(VersionedValue),
    /// It holds it, for good.
    Written,
    /// It cannot: its own store fails.
    Failed(String),
}

/// The copies of others' values that one keeps, in a store of its own.
#[derive(Debug)]
pub struct Replica<S> {
    store: S,
    lease: Micros,
    started: Micros,
    /// Epochs promised, and when each owner was last heard.
    owners: BTreeMap<String, (Epoch, Micros)>,
}

impl<S: Store> Replica<S> {
    /// ReplicatedStore in a store. An owner that was heard of within the lease keeps its name.
    pub fn new(store: S, lease: Micros, now: Micros) -> Replica<S> {
        Replica { store, lease, started: now, owners: BTreeMap::new() }
    }

    /// Answers a question.
    pub fn handle(&mut self, now: Micros, request: &Request) -> Response {
        self.answer(now, request).unwrap_or_else(|e| Response::Failed(e.to_string()))
    }

    fn answer(&mut self, now: Micros, request: &Request) -> Result<Response, StoreError> {
        let Request { owner, epoch, command, .. } = request;
        validate_owner(owner)?;
        let (promised, heard) = match self.owners.get(owner) {
            Some(&known) => known,
            // Who was heard before its own start it does not know: then all were, just now.
            None => (self.stored_promise(owner)?, self.started),
        };
        if *epoch < promised {
            return Ok(Response::Superseded(promised));
        }
        let lives = promised != Epoch::default() && now < heard.saturating_add(self.lease);
        if matches!(command, Command::Probe | Command::Claim)
            && promised.incarnation != epoch.incarnation
            && lives
        {
            return Ok(Response::Held);
        }
        if *command == Command::Probe {
            return Ok(Response::Granted);
        }
        if *epoch > promised {
            self.store.put(
                &format!("{owner}.c"),
                &[epoch.number, epoch.incarnation].map(u64::to_be_bytes).concat(),
            )?;
        }
        if !self.owners.contains_key(owner) && self.owners.len() >= MAX_VALUES {
            return Err(StoreError::Invalid("there are too many owners"));
        }
        self.owners.insert(owner.clone(), (*epoch, now));
        match command {
            Command::Probe | Command::Claim => Ok(Response::Granted),
            Command::Read(name) => Ok(Response::Value(self.stored_value(owner, name)?)),
            Command::Write(name, new) => {
                // A question that came late must not undo a later one.
                if self.stored_value(owner, name)?.version < new.version {
                    self.store.put(&format!("{owner}.v.{name}"), &new.write())?;
                }
                Ok(Response::Written)
            }
        }
    }

    fn stored_promise(&mut self, owner: &str) -> Result<Epoch, StoreError> {
        let Some(kept) = self.store.get(&format!("{owner}.c"))? else { return Ok(Epoch::default()) };
        let mut rest = &kept.bytes[..];
        Ok(Epoch { number: read_u64(&mut rest)?, incarnation: read_u64(&mut rest)? })
    }

    fn stored_value(&mut self, owner: &str, name: &str) -> Result<VersionedValue, StoreError> {
        let kept = self.store.get(&format!("{owner}.v.{name}"))?;
        kept.map_or(Ok(VersionedValue::default()), |kept| VersionedValue::read(&kept.bytes))
    }
}

fn validate_owner(owner: &str) -> Result<(), StoreError> {
    validate(owner, 0)?;
    if owner.len() > MAX_OWNER_LENGTH || owner.contains('.') {
        return Err(StoreError::Invalid("an owner's name has 24 characters at most, and no ."));
    }
    Ok(())
}

fn read_u64(rest: &mut &[u8]) -> Result<u64, StoreError> {
    let (taken, left) = rest.split_first_chunk().ok_or(StoreError::Corrupt("a copy is cut off"))?;
    *rest = left;
    Ok(u64::from_be_bytes(*taken))
}

impl Version {
    fn write(self, out: &mut Vec<u8>) {
        out.extend([self.epoch.number, self.epoch.incarnation, self.writes].map(u64::to_be_bytes).concat());
    }

    fn read(rest: &mut &[u8]) -> Result<Version, StoreError> {
        let epoch = Epoch { number: read_u64(rest)?, incarnation: read_u64(rest)? };
        Ok(Version { epoch, writes: read_u64(rest)? })
    }
}

impl VersionedValue {
    /// It in octets.
    pub fn write(&self) -> Vec<u8> {
        let mut out = vec![self.acknowledged.len() as u8, u8::from(self.bytes.is_some())];
        self.version.write(&mut out);
        self.acknowledged.iter().for_each(|version| version.write(&mut out));
        out.extend_from_slice(self.bytes.as_deref().unwrap_or_default());
        out
    }

    /// Reads it.
    ///
    /// # Errors
    /// If it is cut off.
    pub fn read(bytes: &[u8]) -> Result<VersionedValue, StoreError> {
        let (&[count, some], mut rest) =
            bytes.split_first_chunk().ok_or(StoreError::Corrupt("a copy is cut off"))?;
        if usize::from(count) > MAX_REPLICAS {
            return Err(StoreError::Foreign("it tells of more copies than there may be"));
        }
        let version = Version::read(&mut rest)?;
        let acknowledged = (0..count).map(|_| Version::read(&mut rest)).collect::<Result<_, _>>()?;
        Ok(VersionedValue { version, acknowledged, bytes: (some != 0).then(|| rest.to_vec()) })
    }
}

/// The settings of a [`Coordinator`].
#[derive(Debug, Clone)]
pub struct Config {
    /// Whose values these are.
    pub owner: String,
    /// How many copies there are, at most [`MAX_REPLICAS`]; more than half of them are a quorum.
    pub replicas: usize,
    /// How long a process that is not heard keeps its name, as the copies count it.
    pub lease: Micros,
    /// Between two askings of one that does not answer.
    pub retry_interval: Micros,
    /// After which a value is not put or got.
    pub timeout: Micros,
    /// Values that are put or got at once.
    pub max_pending: usize,
}

/// Whether this process has the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// It asks for it.
    Claiming,
    /// It has it.
    Holding,
    /// Another process has it now; it asks again after a lease.
    Waiting,
    /// Another process has taken it: for good.
    Lost,
}

/// What a value's putting or getting led to.
#[derive(Debug)]
pub enum Outcome {
    /// It is put, with this count.
    Put(u64),
    /// This is there.
    Got(Option<StoredValue>),
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Command a replica, by its number.
    Send(usize, Request),
    /// What was begun under that ticket has ended.
    Completed(u64, Result<Outcome, StoreError>),
    /// A replica holds less than it has acknowledged: it was put back to an old state. It counts again when it has taken what is
    /// newest.
    StaleReplica(usize),
}

#[derive(Debug)]
enum Phase {
    /// For the claim, or for an earlier one of the same name.
    Queued,
    Reading(Vec<Option<VersionedValue>>),
    /// What is written, and who has it.
    Writing(VersionedValue, Vec<bool>),
}

#[derive(Debug)]
struct PendingOperation {
    ticket: u64,
    name: String,
    /// What is put; `None` if it is got.
    put: Option<Vec<u8>>,
    phase: Phase,
    /// The number of its question.
    number: u64,
    deadline: Micros,
    retry_at: Micros,
}

/// What is known of a name.
#[derive(Debug, Clone, Default)]
struct NameState {
    /// The greatest count that this process has used; `None` before it has written or read the value.
    last_write_count: Option<u64>,
    /// What each copy has acknowledged.
    acknowledged: Vec<Version>,
}

/// The part of the one whose values are copied. One process at a time has the name.
#[derive(Debug)]
pub struct Coordinator {
    config: Config,
    epoch: Epoch,
    state: ClaimState,
    /// Whether it only is_probing so far, and who has granted that or the claim (`true`) or not.
    is_probing: bool,
    grants: Vec<Option<bool>>,
    /// The number of the claim's question, and when it is handle again.
    claim_request: u64,
    claim_retry_at: Micros,
    last_number: u64,
    names: BTreeMap<String, NameState>,
    pending: VecDeque<PendingOperation>,
    effects: VecDeque<Effect>,
}

impl Coordinator {
    /// Begins to claim the owner's name; `incarnation` is drawn anew for each process.
    ///
    /// # Errors
    /// [`StoreError::Invalid`] if the config cannot be.
    pub fn new(config: Config, incarnation: u64, now: Micros) -> Result<Coordinator, StoreError> {
        validate_owner(&config.owner)?;
        if config.replicas == 0 || config.replicas > MAX_REPLICAS {
            return Err(StoreError::Invalid("there are 1 to 9 copies"));
        }
        let mut coordinator = Coordinator {
            epoch: Epoch { number: 1, incarnation },
            state: ClaimState::Claiming,
            is_probing: true,
            grants: vec![None; config.replicas],
            claim_request: 0,
            claim_retry_at: now,
            last_number: 0,
            names: BTreeMap::new(),
            pending: VecDeque::new(),
            effects: VecDeque::new(),
            config,
        };
        coordinator.begin_claim(now, true);
        Ok(coordinator)
    }

    /// Whether this process has the name.
    pub fn state(&self) -> ClaimState {
        self.state
    }

    fn quorum(&self) -> usize {
        self.config.replicas / 2 + 1
    }

    /// Begins to put a value; gives the ticket under which the end is reported.
    ///
    /// # Errors
    /// Why it is not even begun.
    pub fn put(&mut self, now: Micros, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        if bytes.len() > MAX_REPLICATED_VALUE_BYTES {
            return Err(StoreError::Invalid("the value is too long"));
        }
        self.begin(now, name, Some(bytes.to_vec()))
    }

    /// Begins to get one.
    ///
    /// # Errors
    /// Why it is not even begun.
    pub fn get(&mut self, now: Micros, name: &str) -> Result<u64, StoreError> {
        self.begin(now, name, None)
    }

    fn begin(&mut self, now: Micros, name: &str, put: Option<Vec<u8>>) -> Result<u64, StoreError> {
        validate(name, 0)?;
        if name.len() > MAX_REPLICATED_NAME_LENGTH {
            return Err(StoreError::Invalid("the name is too long"));
        }
        if !self.names.contains_key(name) && self.names.len() >= MAX_VALUES {
            return Err(StoreError::Invalid("there are too many values"));
        }
        if self.pending.len() >= self.config.max_pending {
            return Err(StoreError::Invalid("too many values are put or got at once"));
        }
        if matches!(self.state, ClaimState::Lost | ClaimState::Waiting) {
            return Err(StoreError::Busy);
        }
        self.last_number += 1;
        let (ticket, deadline) = (self.last_number, now.saturating_add(self.config.timeout));
        let operation = PendingOperation {
            ticket,
            name: name.to_owned(),
            put,
            phase: Phase::Queued,
            number: 0,
            deadline,
            retry_at: deadline,
        };
        self.pending.push_back(operation);
        self.start_queued(now);
        Ok(ticket)
    }

    /// A copy has answered the question of that number.
    pub fn on_response(&mut self, now: Micros, from: usize, number: u64, answer: Response) {
        if from >= self.config.replicas || self.state == ClaimState::Lost {
            return;
        }
        if let Response::Superseded(epoch) = answer {
            if epoch > self.epoch {
                self.on_superseded(now, epoch);
            }
            return;
        }
        if number == self.claim_request {
            return self.on_claim_response(now, from, &answer);
        }
        let Some(at) = self.pending.iter().position(|w| w.number == number) else { return };
        let operation = &mut self.pending[at];
        match (&mut operation.phase, answer) {
            (Phase::Reading(answers), Response::Value(value)) => {
                answers[from] = Some(value);
                self.check_read_quorum(now, at);
            }
            (Phase::Writing(new, acks), Response::Written) => {
                acks[from] = true;
                let version = new.version;
                let known = self.names.entry(operation.name.clone()).or_default();
                known.acknowledged.resize(self.config.replicas, Version::default());
                known.acknowledged[from] = known.acknowledged[from].max(version);
                self.check_write_quorum(now, at);
            }
            _ => {}
        }
    }

    /// Another process has promises of a greater epoch.
    fn on_superseded(&mut self, now: Micros, epoch: Epoch) {
        if self.state == ClaimState::Holding {
            self.state = ClaimState::Lost;
            for operation in std::mem::take(&mut self.pending) {
                let why = match operation.phase {
                    Phase::Writing(..) => {
                        StoreError::Indeterminate(io::Error::other("another process has taken the name"))
                    }
                    _ => StoreError::Busy,
                };
                self.effects.push_back(Effect::Completed(operation.ticket, Err(why)));
            }
        } else {
            self.epoch.number = epoch.number.saturating_add(1);
            self.begin_claim(now, true);
        }
    }

    fn begin_claim(&mut self, now: Micros, is_probing: bool) {
        (self.state, self.is_probing) = (ClaimState::Claiming, is_probing);
        self.grants.fill(None);
        self.last_number += 1;
        self.claim_request = self.last_number;
        self.claim_retry_at = now;
        self.send_claim(now);
    }

    fn send_claim(&mut self, now: Micros) {
        // One that has the name says so before a lease ends, whatever else it asks.
        let holds = self.state == ClaimState::Holding;
        self.claim_retry_at = now + if holds { self.config.lease / 3 } else { self.config.retry_interval };
        for replica in (0..self.config.replicas).filter(|&c| holds || self.grants[c].is_none()) {
            let command = if self.is_probing { Command::Probe } else { Command::Claim };
            self.effects.push_back(Effect::Send(replica, self.request(self.claim_request, command)));
        }
    }

    fn request(&self, number: u64, command: Command) -> Request {
        Request { owner: self.config.owner.clone(), epoch: self.epoch, number, command }
    }

    fn on_claim_response(&mut self, now: Micros, from: usize, answer: &Response) {
        match answer {
            Response::Granted => self.grants[from] = Some(true),
            Response::Held => self.grants[from] = Some(false),
            _ => return,
        }
        if self.state != ClaimState::Claiming {
            return;
        }
        let count = |what| self.grants.iter().filter(|c| **c == Some(what)).count();
        if count(true) >= self.quorum() && self.is_probing {
            self.begin_claim(now, false);
        } else if count(true) >= self.quorum() {
            self.state = ClaimState::Holding;
            self.claim_retry_at = now + self.config.lease / 3;
            self.start_queued(now);
        } else if count(false) > self.config.replicas - self.quorum() {
            self.state = ClaimState::Waiting;
            self.claim_retry_at = now + self.config.lease;
            for operation in std::mem::take(&mut self.pending) {
                self.effects.push_back(Effect::Completed(operation.ticket, Err(StoreError::Busy)));
            }
        }
    }

    /// Begins what waited and need not any more.
    fn start_queued(&mut self, now: Micros) {
        if self.state != ClaimState::Holding {
            return;
        }
        for at in 0..self.pending.len() {
            let operation = &self.pending[at];
            let first = self.pending.iter().position(|w| w.name == operation.name) == Some(at);
            if !first || !matches!(operation.phase, Phase::Queued) {
                continue;
            }
            let used = self.names.get(&operation.name).and_then(|known| known.last_write_count);
            match (used, &operation.put) {
                (Some(used), Some(_)) => self.start_write(now, at, used + 1, None),
                _ => {
                    self.pending[at].phase = Phase::Reading(vec![None; self.config.replicas]);
                    self.send_requests(now, at, true);
                }
            }
        }
    }

    /// Asks those that have not answered.
    fn send_requests(&mut self, now: Micros, at: usize, is_new: bool) {
        if is_new {
            self.last_number += 1;
            self.pending[at].number = self.last_number;
        }
        self.pending[at].retry_at = now + self.config.retry_interval;
        let operation = &self.pending[at];
        for replica in 0..self.config.replicas {
            let command = match &operation.phase {
                Phase::Reading(answers) if answers[replica].is_none() => {
                    Command::Read(operation.name.clone())
                }
                Phase::Writing(new, acks) if !acks[replica] => {
                    Command::Write(operation.name.clone(), new.clone())
                }
                _ => continue,
            };
            self.effects.push_back(Effect::Send(replica, self.request(operation.number, command)));
        }
    }

    fn start_write(&mut self, now: Micros, at: usize, writes: u64, back: Option<Option<Vec<u8>>>) {
        let operation = &mut self.pending[at];
        let known = self.names.entry(operation.name.clone()).or_default();
        known.last_write_count = Some(known.last_write_count.unwrap_or(0).max(writes));
        let bytes = back.unwrap_or_else(|| operation.put.clone());
        let version = Version { epoch: self.epoch, writes };
        let acks = vec![false; self.config.replicas];
        operation.phase =
            Phase::Writing(VersionedValue { version, acknowledged: known.acknowledged.clone(), bytes }, acks);
        self.send_requests(now, at, true);
    }

    /// Whether a quorum has reported what it holds, and what follows.
    fn check_read_quorum(&mut self, now: Micros, at: usize) {
        let quorum = self.quorum();
        let operation = &self.pending[at];
        let Phase::Reading(answers) = &operation.phase else { return };
        let known = self.names.entry(operation.name.clone()).or_default();
        known.acknowledged.resize(self.config.replicas, Version::default());
        for value in answers.iter().flatten() {
            for (acknowledged, reported) in known.acknowledged.iter_mut().zip(&value.acknowledged) {
                *acknowledged = (*acknowledged).max(*reported);
            }
        }
        // One that holds less than it has acknowledged has forgotten: its word does not count.
        let good: Vec<&VersionedValue> = answers
            .iter()
            .zip(&known.acknowledged)
            .filter_map(|(a, acknowledged)| a.as_ref().filter(|a| a.version >= *acknowledged))
            .collect();
        if good.len() < quorum {
            return;
        }
        let stale: Vec<usize> = (0..answers.len())
            .filter(|&c| answers[c].as_ref().is_some_and(|a| a.version < known.acknowledged[c]))
            .collect();
        self.effects.extend(stale.into_iter().map(Effect::StaleReplica));
        let newest = good.iter().max_by_key(|value| value.version).expect("a quorum is one at least");
        let Version { epoch, writes } = newest.version;
        let own = epoch == self.epoch && known.last_write_count == Some(writes);
        let all = good.iter().filter(|value| value.version == newest.version).count() >= quorum;
        if operation.put.is_some() {
            let writes = writes.max(known.last_write_count.unwrap_or(0)) + 1;
            return self.start_write(now, at, writes, None);
        }
        if own && all {
            let got = newest.bytes.clone().map(|bytes| StoredValue { bytes, writes });
            return self.complete(now, at, Ok(Outcome::Got(got)));
        }
        // What is reported once must stay, and what an earlier process, or an earlier try, has left at some must not come up later.
        let writes = if own { writes } else { writes.max(known.last_write_count.map_or(0, |used| used + 1)) };
        let bytes = newest.bytes.clone();
        self.start_write(now, at, writes, Some(bytes));
    }

    /// Whether a quorum has it, and what follows.
    fn check_write_quorum(&mut self, now: Micros, at: usize) {
        let operation = &self.pending[at];
        let Phase::Writing(new, acks) = &operation.phase else { return };
        if acks.iter().filter(|&&has_ack| has_ack).count() < self.quorum() {
            return;
        }
        let writes = new.version.writes;
        let done = match &operation.put {
            Some(_) => Outcome::Put(writes),
            None => Outcome::Got(new.bytes.clone().map(|bytes| StoredValue { bytes, writes })),
        };
        self.complete(now, at, Ok(done));
    }

    fn complete(&mut self, now: Micros, at: usize, result: Result<Outcome, StoreError>) {
        let operation = self.pending.remove(at).expect("it was found");
        self.effects.push_back(Effect::Completed(operation.ticket, result));
        self.start_queued(now);
    }

    /// When to wake it next, at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let pending = self.pending.iter().map(|w| w.deadline.min(w.retry_at));
        let claim = (self.state != ClaimState::Lost).then_some(self.claim_retry_at);
        pending.chain(claim).min()
    }

    /// Time has gone by.
    pub fn on_timer(&mut self, now: Micros) {
        if self.state != ClaimState::Lost && now >= self.claim_retry_at {
            match self.state {
                ClaimState::Waiting => self.begin_claim(now, true),
                _ => self.send_claim(now),
            }
        }
        while let Some(at) = self.pending.iter().position(|w| now >= w.deadline) {
            let late = || io::Error::new(io::ErrorKind::TimedOut, "too few copies answer");
            let writes =
                matches!(self.pending[at].phase, Phase::Writing(..)) && self.pending[at].put.is_some();
            let why = if writes { StoreError::Indeterminate(late()) } else { StoreError::Io(late()) };
            self.complete(now, at, Err(why));
        }
        for at in 0..self.pending.len() {
            if now >= self.pending[at].retry_at && !matches!(self.pending[at].phase, Phase::Queued) {
                self.send_requests(now, at, false);
            }
        }
    }

    /// What is to be done next.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }
}

/// ReplicatedStore that can be handle while one waits.
pub trait Replicas {
    /// The time.
    fn now(&self) -> Micros;

    /// Asks one; `None` if it does not answer.
    fn request(&mut self, replica: usize, request: &Request) -> Option<Response>;

    /// Waits until a time.
    fn wait_until(&mut self, until: Micros);

    /// A copy was put back to an old state.
    fn on_stale(&mut self, _replica: usize) {}
}

/// A store whose values several others keep.
#[derive(Debug)]
pub struct ReplicatedStore<P> {
    coordinator: Coordinator,
    replicas: P,
}

impl<P: Replicas> ReplicatedStore<P> {
    /// Claims the owner's name at a quorum of copies.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another process has it; [`StoreError::Io`] if too few answer.
    pub fn open(config: Config, incarnation: u64, replicas: P) -> Result<ReplicatedStore<P>, StoreError> {
        let until = replicas.now() + config.timeout;
        let mut store =
            ReplicatedStore { coordinator: Coordinator::new(config, incarnation, replicas.now())?, replicas };
        loop {
            store.step(0);
            match store.coordinator.state() {
                ClaimState::Holding => return Ok(store),
                ClaimState::Claiming if store.replicas.now() < until => store.wait(),
                ClaimState::Claiming => {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "too few copies answer").into())
                }
                ClaimState::Waiting | ClaimState::Lost => return Err(StoreError::Busy),
            }
        }
    }

    fn wait(&mut self) {
        let next = self.coordinator.next_wake().unwrap_or(0).max(self.replicas.now());
        self.replicas.wait_until(next);
        self.coordinator.on_timer(self.replicas.now());
    }

    /// Carries out effects; what the ticket led to.
    fn step(&mut self, ticket: u64) -> Option<Result<Outcome, StoreError>> {
        let mut result = None;
        while let Some(effect) = self.coordinator.next_effect() {
            match effect {
                Effect::Send(replica, request) => {
                    if let Some(answer) = self.replicas.request(replica, &request) {
                        self.coordinator.on_response(self.replicas.now(), replica, request.number, answer);
                    }
                }
                Effect::Completed(of, done) if of == ticket => result = Some(done),
                Effect::Completed(..) => {}
                Effect::StaleReplica(replica) => self.replicas.on_stale(replica),
            }
        }
        result
    }

    fn end(&mut self, ticket: u64) -> Result<Outcome, StoreError> {
        loop {
            if let Some(result) = self.step(ticket) {
                return result;
            }
            self.wait();
        }
    }
}

impl<P: Replicas> Store for ReplicatedStore<P> {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        let ticket = self.coordinator.get(self.replicas.now(), name)?;
        match self.end(ticket)? {
            Outcome::Got(kept) => Ok(kept),
            Outcome::Put(_) => unreachable!("nothing was put"),
        }
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        let ticket = self.coordinator.put(self.replicas.now(), name, bytes)?;
        match self.end(ticket)? {
            Outcome::Put(writes) => Ok(writes),
            Outcome::Got(_) => unreachable!("nothing was got"),
        }
    }
}
