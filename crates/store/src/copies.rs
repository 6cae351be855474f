//! Replicated values. A [`Coordinator`] runs at the owner of the values and a [`Replica`] at each process
//! that holds them; both are free of I/O and clock. [`ReplicatedStore`] is a blocking [`Store`] on top of a
//! coordinator.
//!
//! A process claims the owner's name with an *epoch* greater than any that a replica has promised. A replica
//! stores the promise and rejects requests with a lower epoch. A write is acknowledged by a quorum before it
//! is reported as done. A read returns the newest value that a quorum holds, after writing it back under the
//! reader's own epoch unless a quorum is known to hold it. Any two quorums have a replica in common, so every
//! later claim sees the acknowledged writes, and once a quorum has granted a claim, the previous holder can't
//! complete a write.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use crate::{validate, Store, StoreError, StoredValue, MAX_NAME_LENGTH, MAX_VALUES, MAX_VALUE_BYTES};

/// A time in microseconds of a monotonic clock.
pub type Micros = u64;

/// Longest name of an owner, in characters; as for names of values, but without `.`.
pub const MAX_OWNER_LENGTH: usize = 24;
/// Longest name of a replicated value, in characters. It shares [`MAX_NAME_LENGTH`] with the owner's name and
/// `.v.`.
pub const MAX_REPLICATED_NAME_LENGTH: usize = MAX_NAME_LENGTH - MAX_OWNER_LENGTH - 3;
/// Most replicas of a store.
pub const MAX_REPLICAS: usize = 9;
/// Longest replicated value, in bytes. It shares [`MAX_VALUE_BYTES`] with the header of a [`VersionedValue`].
pub const MAX_REPLICATED_VALUE_BYTES: usize = MAX_VALUE_BYTES - 2 - (1 + MAX_REPLICAS) * VERSION_BYTES;
/// Length of an encoded [`Version`].
const VERSION_BYTES: usize = 24;

/// Orders the claims of an owner's name: the process with the greatest epoch may write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch {
    /// Increases with each claim.
    pub number: u64,
    /// Random number of the claiming process, which breaks ties.
    pub incarnation: u64,
}

/// Orders the writes of a value: the greatest version is the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The epoch of the writing process.
    pub epoch: Epoch,
    /// Counts the writes of the value.
    pub writes: u64,
}

/// A value as a replica holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedValue {
    /// Orders this value among the writes of its name.
    pub version: Version,
    /// The newest version that each replica had acknowledged before this write.
    pub acknowledged: Vec<Version>,
    /// `None` records that there is no value.
    pub bytes: Option<Vec<u8>>,
}

/// What a coordinator asks of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Asks whether a claim would be granted, without a promise. A process that reaches too few replicas for
    /// a claim must not displace the current holder.
    Probe,
    /// Asks for the promise to reject lower epochs from now on.
    Claim,
    /// Asks for the value of a name.
    Read(String),
    /// Asks to store a value.
    Write(String, VersionedValue),
}

/// A request to a replica. Repeating one is harmless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The owner of the values.
    pub owner: String,
    /// The epoch of the owner's process.
    pub epoch: Epoch,
    /// Identifies the request among those of its process.
    pub number: u64,
    /// What the replica is asked for.
    pub command: Command,
}

/// A replica's response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The claim is granted, or would be after a [`Command::Probe`].
    Granted,
    /// Another process holds the name: the replica heard from it within the lease.
    Held,
    /// Rejected because the replica has promised this greater epoch.
    Superseded(Epoch),
    /// The value it holds.
    Value(VersionedValue),
    /// The value, or a newer one, is stored durably.
    Written,
    /// The replica's own store failed.
    Failed(String),
}

/// Holds replicas of the values of other processes, in a store of its own.
#[derive(Debug)]
pub struct Replica<S> {
    store: S,
    lease: Micros,
    started_at: Micros,
    /// Per owner: the promised epoch and when the owner was last heard from.
    owners: BTreeMap<String, (Epoch, Micros)>,
}

impl<S: Store> Replica<S> {
    /// Holds replicas in `store`. A process that was heard from within `lease` keeps its name.
    pub fn new(store: S, lease: Micros, now: Micros) -> Replica<S> {
        Replica { store, lease, started_at: now, owners: BTreeMap::new() }
    }

    /// Handles a request.
    pub fn handle(&mut self, now: Micros, request: &Request) -> Response {
        self.try_handle(now, request).unwrap_or_else(|e| Response::Failed(e.to_string()))
    }

    fn try_handle(&mut self, now: Micros, request: &Request) -> Result<Response, StoreError> {
        let Request { owner, epoch, command, .. } = request;
        validate_owner(owner)?;
        let (promised, last_heard) = match self.owners.get(owner) {
            Some(&known) => known,
            // After a restart it is unknown when the owner was last heard from: assumes that it was just
            // before the start.
            None => (self.stored_promise(owner)?, self.started_at),
        };
        if *epoch < promised {
            return Ok(Response::Superseded(promised));
        }
        let has_live_holder = promised != Epoch::default() && now < last_heard.saturating_add(self.lease);
        if matches!(command, Command::Probe | Command::Claim)
            && promised.incarnation != epoch.incarnation
            && has_live_holder
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
                // A delayed request must not overwrite a later write.
                if self.stored_value(owner, name)?.version < new.version {
                    self.store.put(&format!("{owner}.v.{name}"), &new.encode())?;
                }
                Ok(Response::Written)
            }
        }
    }

    fn stored_promise(&mut self, owner: &str) -> Result<Epoch, StoreError> {
        let Some(stored) = self.store.get(&format!("{owner}.c"))? else { return Ok(Epoch::default()) };
        let mut rest = &stored.bytes[..];
        Ok(Epoch { number: read_u64(&mut rest)?, incarnation: read_u64(&mut rest)? })
    }

    fn stored_value(&mut self, owner: &str, name: &str) -> Result<VersionedValue, StoreError> {
        let stored = self.store.get(&format!("{owner}.v.{name}"))?;
        stored.map_or(Ok(VersionedValue::default()), |stored| VersionedValue::decode(&stored.bytes))
    }
}

fn validate_owner(owner: &str) -> Result<(), StoreError> {
    validate(owner, 0)?;
    if owner.len() > MAX_OWNER_LENGTH || owner.contains('.') {
        return Err(StoreError::Invalid("an owner's name has at most 24 characters and no ."));
    }
    Ok(())
}

fn read_u64(rest: &mut &[u8]) -> Result<u64, StoreError> {
    let (taken, left) =
        rest.split_first_chunk().ok_or(StoreError::Corrupt("a replicated value is truncated"))?;
    *rest = left;
    Ok(u64::from_be_bytes(*taken))
}

impl Version {
    fn encode(self, out: &mut Vec<u8>) {
        out.extend([self.epoch.number, self.epoch.incarnation, self.writes].map(u64::to_be_bytes).concat());
    }

    fn decode(rest: &mut &[u8]) -> Result<Version, StoreError> {
        let epoch = Epoch { number: read_u64(rest)?, incarnation: read_u64(rest)? };
        Ok(Version { epoch, writes: read_u64(rest)? })
    }
}

impl VersionedValue {
    /// Encodes the value with its version.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![self.acknowledged.len() as u8, u8::from(self.bytes.is_some())];
        self.version.encode(&mut out);
        self.acknowledged.iter().for_each(|version| version.encode(&mut out));
        out.extend_from_slice(self.bytes.as_deref().unwrap_or_default());
        out
    }

    /// Decodes a value with its version.
    ///
    /// # Errors
    /// If it is truncated, or lists more than [`MAX_REPLICAS`] replicas.
    pub fn decode(bytes: &[u8]) -> Result<VersionedValue, StoreError> {
        let (&[count, some], mut rest) =
            bytes.split_first_chunk().ok_or(StoreError::Corrupt("a replicated value is truncated"))?;
        if usize::from(count) > MAX_REPLICAS {
            return Err(StoreError::Foreign("it lists more replicas than the maximum"));
        }
        let version = Version::decode(&mut rest)?;
        let acknowledged = (0..count).map(|_| Version::decode(&mut rest)).collect::<Result<_, _>>()?;
        Ok(VersionedValue { version, acknowledged, bytes: (some != 0).then(|| rest.to_vec()) })
    }
}

/// The settings of a [`Coordinator`].
#[derive(Debug, Clone)]
pub struct Config {
    /// The owner of the values.
    pub owner: String,
    /// The number of replicas, at most [`MAX_REPLICAS`]; a quorum is more than half of them.
    pub replicas: usize,
    /// How long a process that is not heard from keeps its name, by the replicas' clocks.
    pub lease: Micros,
    /// Time until a request without a response is repeated.
    pub retry_interval: Micros,
    /// Time limit of a read or write.
    pub timeout: Micros,
    /// Most reads and writes in progress or queued.
    pub max_pending: usize,
}

/// Whether this process holds the owner's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The claim is in progress.
    Claiming,
    /// This process holds the name.
    Holding,
    /// Another process holds the name; the claim is repeated after a lease.
    Waiting,
    /// Another process has displaced this one, which never claims the name again.
    Lost,
}

/// The result of a write or read.
#[derive(Debug)]
pub enum Outcome {
    /// The value was written, with this count of writes.
    Put(u64),
    /// The value that was read, if there is one.
    Got(Option<StoredValue>),
}

/// What the driver of a [`Coordinator`] must do.
#[derive(Debug)]
pub enum Effect {
    /// Send a request to the replica of this index.
    Send(usize, Request),
    /// Report that the operation with this ticket has ended.
    Completed(u64, Result<Outcome, StoreError>),
    /// Report that a replica holds an older value than it has acknowledged, so its storage was restored to an
    /// old state. Its responses count again once it has stored the newest value.
    StaleReplica(usize),
}

#[derive(Debug)]
enum Phase {
    /// Waits for the claim, or for an earlier operation on the same name.
    Queued,
    /// The response of each replica so far.
    Reading(Vec<Option<VersionedValue>>),
    /// The value that is written, and which replicas have acknowledged it.
    Writing(VersionedValue, Vec<bool>),
}

#[derive(Debug)]
struct PendingOperation {
    ticket: u64,
    name: String,
    /// The value to write; `None` for a read.
    new_value: Option<Vec<u8>>,
    phase: Phase,
    /// The number of its current request.
    number: u64,
    deadline: Micros,
    retry_at: Micros,
}

/// What the coordinator knows of a name's value.
#[derive(Debug, Clone, Default)]
struct NameState {
    /// The greatest count of writes that this process has used; `None` before its first read or write of the
    /// value.
    last_write_count: Option<u64>,
    /// The newest version that each replica has acknowledged.
    acknowledged: Vec<Version>,
}

/// Reads and writes the replicated values of one owner. Only one process at a time holds the owner's name.
#[derive(Debug)]
pub struct Coordinator {
    config: Config,
    epoch: Epoch,
    state: ClaimState,
    /// Whether the current claim only probes.
    is_probing: bool,
    /// Per replica: whether it has granted the current probe or claim; `None` before its response.
    grants: Vec<Option<bool>>,
    /// The number of the current probe or claim.
    claim_request: u64,
    /// When the current probe or claim is repeated, or a new one starts.
    claim_retry_at: Micros,
    /// The last number used for a request or a ticket.
    last_number: u64,
    names: BTreeMap<String, NameState>,
    pending: VecDeque<PendingOperation>,
    effects: VecDeque<Effect>,
}

impl Coordinator {
    /// Starts to claim the owner's name; `incarnation` is a random number of this process.
    ///
    /// # Errors
    /// [`StoreError::Invalid`] if the owner's name or the number of replicas is out of range.
    pub fn new(config: Config, incarnation: u64, now: Micros) -> Result<Coordinator, StoreError> {
        validate_owner(&config.owner)?;
        if config.replicas == 0 || config.replicas > MAX_REPLICAS {
            return Err(StoreError::Invalid("the number of replicas must be from 1 to 9"));
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

    /// Whether this process holds the owner's name.
    pub fn state(&self) -> ClaimState {
        self.state
    }

    fn quorum(&self) -> usize {
        self.config.replicas / 2 + 1
    }

    /// Starts to write a value; returns the ticket under which its end is reported.
    ///
    /// # Errors
    /// Why it was not started.
    pub fn put(&mut self, now: Micros, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        if bytes.len() > MAX_REPLICATED_VALUE_BYTES {
            return Err(StoreError::Invalid("the value is too long"));
        }
        self.begin(now, name, Some(bytes.to_vec()))
    }

    /// Starts to read a value; returns the ticket under which its end is reported.
    ///
    /// # Errors
    /// Why it was not started.
    pub fn get(&mut self, now: Micros, name: &str) -> Result<u64, StoreError> {
        self.begin(now, name, None)
    }

    fn begin(&mut self, now: Micros, name: &str, new_value: Option<Vec<u8>>) -> Result<u64, StoreError> {
        validate(name, 0)?;
        if name.len() > MAX_REPLICATED_NAME_LENGTH {
            return Err(StoreError::Invalid("the name is too long"));
        }
        if !self.names.contains_key(name) && self.names.len() >= MAX_VALUES {
            return Err(StoreError::Invalid("there are too many values"));
        }
        if self.pending.len() >= self.config.max_pending {
            return Err(StoreError::Invalid("too many reads and writes are pending"));
        }
        if matches!(self.state, ClaimState::Lost | ClaimState::Waiting) {
            return Err(StoreError::Busy);
        }
        self.last_number += 1;
        let (ticket, deadline) = (self.last_number, now.saturating_add(self.config.timeout));
        let operation = PendingOperation {
            ticket,
            name: name.to_owned(),
            new_value,
            phase: Phase::Queued,
            number: 0,
            deadline,
            retry_at: deadline,
        };
        self.pending.push_back(operation);
        self.start_queued(now);
        Ok(ticket)
    }

    /// Handles the response of a replica to the request of that number.
    pub fn on_response(&mut self, now: Micros, from: usize, number: u64, response: Response) {
        if from >= self.config.replicas || self.state == ClaimState::Lost {
            return;
        }
        if let Response::Superseded(epoch) = response {
            if epoch > self.epoch {
                self.on_superseded(now, epoch);
            }
            return;
        }
        if number == self.claim_request {
            return self.on_claim_response(now, from, &response);
        }
        let Some(at) = self.pending.iter().position(|op| op.number == number) else { return };
        let operation = &mut self.pending[at];
        match (&mut operation.phase, response) {
            (Phase::Reading(responses), Response::Value(value)) => {
                responses[from] = Some(value);
                self.check_read_quorum(now, at);
            }
            (Phase::Writing(new, acks), Response::Written) => {
                acks[from] = true;
                let version = new.version;
                let state = self.names.entry(operation.name.clone()).or_default();
                state.acknowledged.resize(self.config.replicas, Version::default());
                state.acknowledged[from] = state.acknowledged[from].max(version);
                self.check_write_quorum(now, at);
            }
            _ => {}
        }
    }

    /// Handles that a replica has promised a greater epoch to another process.
    fn on_superseded(&mut self, now: Micros, epoch: Epoch) {
        if self.state == ClaimState::Holding {
            self.state = ClaimState::Lost;
            for operation in std::mem::take(&mut self.pending) {
                let error = match operation.phase {
                    Phase::Writing(..) => {
                        StoreError::Indeterminate(io::Error::other("another process has claimed the name"))
                    }
                    _ => StoreError::Busy,
                };
                self.effects.push_back(Effect::Completed(operation.ticket, Err(error)));
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
        // The holder repeats its claim three times per lease, so that it keeps the name without other
        // requests.
        let is_holder = self.state == ClaimState::Holding;
        self.claim_retry_at =
            now + if is_holder { self.config.lease / 3 } else { self.config.retry_interval };
        for replica in (0..self.config.replicas).filter(|&c| is_holder || self.grants[c].is_none()) {
            let command = if self.is_probing { Command::Probe } else { Command::Claim };
            self.effects.push_back(Effect::Send(replica, self.request(self.claim_request, command)));
        }
    }

    fn request(&self, number: u64, command: Command) -> Request {
        Request { owner: self.config.owner.clone(), epoch: self.epoch, number, command }
    }

    fn on_claim_response(&mut self, now: Micros, from: usize, response: &Response) {
        match response {
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

    /// Starts the operations that have waited for the claim, or for an earlier operation on the same name.
    fn start_queued(&mut self, now: Micros) {
        if self.state != ClaimState::Holding {
            return;
        }
        for at in 0..self.pending.len() {
            let operation = &self.pending[at];
            let is_first = self.pending.iter().position(|op| op.name == operation.name) == Some(at);
            if !is_first || !matches!(operation.phase, Phase::Queued) {
                continue;
            }
            let last_write_count = self.names.get(&operation.name).and_then(|state| state.last_write_count);
            match (last_write_count, &operation.new_value) {
                (Some(count), Some(_)) => self.start_write(now, at, count + 1, None),
                _ => {
                    self.pending[at].phase = Phase::Reading(vec![None; self.config.replicas]);
                    self.send_requests(now, at, true);
                }
            }
        }
    }

    /// Sends the current request to the replicas that have not answered it. Uses a new number if the request
    /// is new.
    fn send_requests(&mut self, now: Micros, at: usize, is_new: bool) {
        if is_new {
            self.last_number += 1;
            self.pending[at].number = self.last_number;
        }
        self.pending[at].retry_at = now + self.config.retry_interval;
        let operation = &self.pending[at];
        for replica in 0..self.config.replicas {
            let command = match &operation.phase {
                Phase::Reading(responses) if responses[replica].is_none() => {
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

    /// Starts to write `written_back`, if given, else the new value of the operation.
    fn start_write(&mut self, now: Micros, at: usize, writes: u64, written_back: Option<Option<Vec<u8>>>) {
        let operation = &mut self.pending[at];
        let state = self.names.entry(operation.name.clone()).or_default();
        state.last_write_count = Some(state.last_write_count.unwrap_or(0).max(writes));
        let bytes = written_back.unwrap_or_else(|| operation.new_value.clone());
        let version = Version { epoch: self.epoch, writes };
        let acks = vec![false; self.config.replicas];
        operation.phase =
            Phase::Writing(VersionedValue { version, acknowledged: state.acknowledged.clone(), bytes }, acks);
        self.send_requests(now, at, true);
    }

    /// Continues a read, or the write that it precedes, once a quorum has answered.
    fn check_read_quorum(&mut self, now: Micros, at: usize) {
        let quorum = self.quorum();
        let operation = &self.pending[at];
        let Phase::Reading(responses) = &operation.phase else { return };
        let state = self.names.entry(operation.name.clone()).or_default();
        state.acknowledged.resize(self.config.replicas, Version::default());
        for value in responses.iter().flatten() {
            for (acknowledged, reported) in state.acknowledged.iter_mut().zip(&value.acknowledged) {
                *acknowledged = (*acknowledged).max(*reported);
            }
        }
        // A replica that holds less than it has acknowledged has lost data and does not count for the quorum.
        let current: Vec<&VersionedValue> = responses
            .iter()
            .zip(&state.acknowledged)
            .filter_map(|(value, acknowledged)| value.as_ref().filter(|value| value.version >= *acknowledged))
            .collect();
        if current.len() < quorum {
            return;
        }
        let stale: Vec<usize> = (0..responses.len())
            .filter(|&c| responses[c].as_ref().is_some_and(|value| value.version < state.acknowledged[c]))
            .collect();
        self.effects.extend(stale.into_iter().map(Effect::StaleReplica));
        let newest =
            current.iter().max_by_key(|value| value.version).expect("a quorum has at least one replica");
        let Version { epoch, writes } = newest.version;
        let is_own_write = epoch == self.epoch && state.last_write_count == Some(writes);
        let is_at_quorum = current.iter().filter(|value| value.version == newest.version).count() >= quorum;
        if operation.new_value.is_some() {
            let writes = writes.max(state.last_write_count.unwrap_or(0)) + 1;
            return self.start_write(now, at, writes, None);
        }
        if is_own_write && is_at_quorum {
            let value = newest.bytes.clone().map(|bytes| StoredValue { bytes, writes });
            return self.complete(now, at, Ok(Outcome::Got(value)));
        }
        // The value is written back before it is returned, so that later reads return it too. This also keeps
        // a value that an earlier process, or a failed write, has left on a minority of replicas from
        // appearing later.
        let writes = if is_own_write {
            writes
        } else {
            writes.max(state.last_write_count.map_or(0, |count| count + 1))
        };
        let bytes = newest.bytes.clone();
        self.start_write(now, at, writes, Some(bytes));
    }

    /// Ends a write once a quorum has acknowledged it.
    fn check_write_quorum(&mut self, now: Micros, at: usize) {
        let operation = &self.pending[at];
        let Phase::Writing(new, acks) = &operation.phase else { return };
        if acks.iter().filter(|&&has_ack| has_ack).count() < self.quorum() {
            return;
        }
        let writes = new.version.writes;
        let outcome = match &operation.new_value {
            Some(_) => Outcome::Put(writes),
            None => Outcome::Got(new.bytes.clone().map(|bytes| StoredValue { bytes, writes })),
        };
        self.complete(now, at, Ok(outcome));
    }

    fn complete(&mut self, now: Micros, at: usize, result: Result<Outcome, StoreError>) {
        let operation = self.pending.remove(at).expect("the index is valid");
        self.effects.push_back(Effect::Completed(operation.ticket, result));
        self.start_queued(now);
    }

    /// When to call [`Coordinator::on_timer`] at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let pending = self.pending.iter().map(|op| op.deadline.min(op.retry_at));
        let claim = (self.state != ClaimState::Lost).then_some(self.claim_retry_at);
        pending.chain(claim).min()
    }

    /// Repeats requests that are due and ends operations whose time is over.
    pub fn on_timer(&mut self, now: Micros) {
        if self.state != ClaimState::Lost && now >= self.claim_retry_at {
            match self.state {
                ClaimState::Waiting => self.begin_claim(now, true),
                _ => self.send_claim(now),
            }
        }
        while let Some(at) = self.pending.iter().position(|op| now >= op.deadline) {
            let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "too few replicas answered");
            let is_writing =
                matches!(self.pending[at].phase, Phase::Writing(..)) && self.pending[at].new_value.is_some();
            let error =
                if is_writing { StoreError::Indeterminate(timed_out()) } else { StoreError::Io(timed_out()) };
            self.complete(now, at, Err(error));
        }
        for at in 0..self.pending.len() {
            if now >= self.pending[at].retry_at && !matches!(self.pending[at].phase, Phase::Queued) {
                self.send_requests(now, at, false);
            }
        }
    }

    /// Takes the next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }
}

/// Sends requests to replicas and waits for their responses.
pub trait Replicas {
    /// The current time.
    fn now(&self) -> Micros;

    /// Sends a request and waits for the response; `None` if there is none.
    fn request(&mut self, replica: usize, request: &Request) -> Option<Response>;

    /// Blocks until a time.
    fn wait_until(&mut self, until: Micros);

    /// Reports that the storage of a replica was restored to an old state.
    fn on_stale(&mut self, _replica: usize) {}
}

/// A blocking store whose values are replicated.
#[derive(Debug)]
pub struct ReplicatedStore<P> {
    coordinator: Coordinator,
    replicas: P,
}

impl<P: Replicas> ReplicatedStore<P> {
    /// Claims the owner's name from a quorum of replicas.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another process holds it; [`StoreError::Io`] if too few replicas answer.
    pub fn open(config: Config, incarnation: u64, replicas: P) -> Result<ReplicatedStore<P>, StoreError> {
        let deadline = replicas.now() + config.timeout;
        let mut store =
            ReplicatedStore { coordinator: Coordinator::new(config, incarnation, replicas.now())?, replicas };
        loop {
            store.step(0);
            match store.coordinator.state() {
                ClaimState::Holding => return Ok(store),
                ClaimState::Claiming if store.replicas.now() < deadline => store.wait(),
                ClaimState::Claiming => {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "too few replicas answered").into())
                }
                ClaimState::Waiting | ClaimState::Lost => return Err(StoreError::Busy),
            }
        }
    }

    /// Waits until the next timer and handles it.
    fn wait(&mut self) {
        let next = self.coordinator.next_wake().unwrap_or(0).max(self.replicas.now());
        self.replicas.wait_until(next);
        self.coordinator.on_timer(self.replicas.now());
    }

    /// Carries out the effects; returns the result of the operation `ticket` if it has ended.
    fn step(&mut self, ticket: u64) -> Option<Result<Outcome, StoreError>> {
        let mut result = None;
        while let Some(effect) = self.coordinator.next_effect() {
            match effect {
                Effect::Send(replica, request) => {
                    if let Some(response) = self.replicas.request(replica, &request) {
                        self.coordinator.on_response(self.replicas.now(), replica, request.number, response);
                    }
                }
                Effect::Completed(completed, outcome) if completed == ticket => result = Some(outcome),
                Effect::Completed(..) => {}
                Effect::StaleReplica(replica) => self.replicas.on_stale(replica),
            }
        }
        result
    }

    /// Drives the operation `ticket` to its end.
    fn run(&mut self, ticket: u64) -> Result<Outcome, StoreError> {
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
        match self.run(ticket)? {
            Outcome::Got(value) => Ok(value),
            Outcome::Put(_) => unreachable!("a read was started"),
        }
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        let ticket = self.coordinator.put(self.replicas.now(), name, bytes)?;
        match self.run(ticket)? {
            Outcome::Put(writes) => Ok(writes),
            Outcome::Got(_) => unreachable!("a write was started"),
        }
    }
}
