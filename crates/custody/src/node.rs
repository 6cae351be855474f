//! The state machine of one gateway: its lease, its vote, the statements it owns and the records it holds as
//! a replica of other gateways' statements.

mod fencing;
mod leases;
mod membership;
mod messages;
mod ownership;
mod receiving;
mod retention;
mod selection;
mod statement;
mod status;
mod takeover;
mod tombstones;
mod transmission;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use self::fencing::FencingAttempt;
use self::membership::MemberInfo;
use self::selection::Candidate;
use self::statement::Statement;
pub use self::status::Usage;
use self::tombstones::Tombstones;
use self::transmission::Peer;
use crate::lease::{Lease, LeaseTimes};
use crate::voter::Voter;
use crate::wire::stored_marks::StoredMarksError;
use crate::wire::{Message, Participant, MAX_DATAGRAM_BYTES};
use crate::{Ending, Incarnation, Micros, Record, StatementKey};

const MILLISECOND: Micros = 1_000;
/// Delay before a changed record that nothing waits for is sent, so that further changes go with it.
const COALESCING_DELAY: Micros = 20 * MILLISECOND;
/// Time between two turns in which queued statements are reviewed and taken over.
const TURN_INTERVAL: Micros = 10 * MILLISECOND;
/// Maximum number of statements that are reviewed in one turn.
const REVIEWS_PER_TURN: usize = 64;
/// Maximum number of statements that are taken over in one turn.
const TAKEOVERS_PER_TURN: usize = 8;
/// Time between two removals of expired state.
const SWEEP_INTERVAL: Micros = 1_000 * MILLISECOND;
/// How long a replica keeps a record after the statement's deadline.
const REPLICA_RETENTION: Micros = 30_000 * MILLISECOND;
/// How long after its lease was last valid a fenced process returns statements that no other gateway is known
/// to have.
const RETURN_WINDOW: Micros = 60_000 * MILLISECOND;
/// Maximum number of processes whose state is kept.
const MAX_PEERS: usize = 4_096;

/// The settings of a gateway's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The site of this gateway; replicas are placed at other sites if there are any.
    pub site: String,
    /// Names of the gateways that are voters.
    pub voters: Vec<String>,
    /// The nominal duration of a lease.
    pub lease: Micros,
    /// Maximum rate by which any clock may run fast or slow, in parts per million.
    pub drift_ppm: u64,
    /// The longest time between a check of the lease and the end of the action that it permits.
    pub action_margin: Micros,
    /// Number of replicas of a statement, not counting its owner.
    pub replicas: usize,
    /// Maximum number of records held for other gateways.
    pub max_replica_records: usize,
    /// Maximum total size of these records in bytes.
    pub max_replica_bytes: usize,
}

/// The state of a process according to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It does not answer probes, and is not declared dead yet.
    Suspect,
    /// It was declared dead.
    Dead,
    /// It has announced that it leaves the fleet.
    Left,
}

/// A process according to membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub incarnation: Incarnation,
    /// Its site.
    pub site: String,
    /// Its state.
    pub state: MemberState,
}

/// The answer to a request to start an attempt or to report an ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Permission {
    /// The action is allowed now.
    Granted,
    /// The action is allowed once [`Effect::StartAttempt`] or [`Effect::ReportEnding`] follows, and not at
    /// all if [`Effect::Relinquished`] follows instead.
    Pending,
    /// The action is not allowed: the lease is not valid now, or this gateway is not the owner.
    Denied,
}

/// Which gateway has a statement, as far as this one knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementLocation {
    /// This gateway owns it.
    Local,
    /// That process owns it or may take it over.
    Remote(Incarnation),
    /// This gateway is about to take it over.
    TakingOver,
    /// Nothing is known of the statement.
    Unknown,
    /// The statement has ended; with the ending if a gateway decided it and it is known here.
    Ended(Option<Ending>),
}

/// An action that the caller has to carry out; effects are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send this datagram, of at most 1,000 bytes, to a gateway; it may be lost.
    SendDatagram(String, Vec<u8>),
    /// Send these records to a gateway over a stream, and call [`TakeoverNode::handle_send_failure`] if that
    /// fails. The reply arrives through [`TakeoverNode::handle_message`].
    SendRecords(String, Vec<u8>),
    /// Replace the stored marks by these bytes, then call [`TakeoverNode::marks_stored`].
    StoreMarks(Vec<u8>),
    /// The intent of the attempt of this number, from 1, is recorded: the attempt may be sent to its engine.
    StartAttempt(StatementKey, u32),
    /// The ending is recorded: it may be reported to the client.
    ReportEnding(StatementKey),
    /// This gateway now owns the statement. If the record has an ending, it may be reported.
    TakenOver(Box<Record>),
    /// This gateway no longer owns the statement: stop acting for it, report no ending, and forward polls.
    Relinquished(StatementKey),
    /// The statement has no replica and none can be selected.
    Unreplicated(StatementKey),
    /// Write this message to the log.
    Log(String),
}

/// A fault injected into the state machine, to show that the simulation detects it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A lease counts from the receipt of the grant rather than from its request.
    LeaseFromReceipt,
    /// Half of the voters count as a quorum.
    HalfIsQuorum,
    /// A voter forgets its fences at a restart.
    MarksNotStored,
    /// A restarted voter grants leases at once, and fences without evidence: either guard alone keeps it from
    /// reporting that a lease which it has forgotten is over.
    NoStartupSilence,
    /// A replica acknowledges an extended replica list but keeps its previous one.
    ReplicaListForgotten,
    /// A new replica is notified before the members that precede it know of it.
    ReplicaListNotAwaited,
    /// The lease is not checked before an action.
    ActsWithoutLease,
    /// An attempt starts before its intent is recorded.
    IntentNotAwaited,
    /// A participant counts as fenced while leases granted to it may still be valid.
    GrantNotWaitedOut,
    /// A voter that has lost its disk votes as if the fleet started for the first time.
    VotesWithoutMarks,
    /// A voter fences whomever it is asked to fence, even if it hears that one or has just been cut off.
    FencesWithoutEvidence,
}

/// Usage by the records held for other gateways.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaUsage {
    records: usize,
    bytes: usize,
}

/// The takeover state machine of one gateway.
///
/// The caller passes in the time and what happens, and carries out the effects that
/// [`TakeoverNode::next_effect`] returns. The crate documentation describes the protocol.
pub struct TakeoverNode {
    settings: Settings,
    fault: InjectedFault,
    lease_times: LeaseTimes,
    /// This process in its current term.
    local: Participant,
    voter: Option<Voter>,
    lease: Lease,
    /// Whether the lease allowed actions when it was last checked.
    lease_held: bool,
    renew_at: Micros,
    /// When a recovering voter next queries the other voters for their marks.
    marks_query_at: Micros,
    /// A voter has answered that this term is fenced.
    term_fenced: bool,
    members: BTreeMap<Incarnation, MemberInfo>,
    /// Processes that are in replica lists but not listed by membership, and since when.
    unlisted_since: BTreeMap<Incarnation, Micros>,
    candidates: Vec<Candidate>,
    /// Processes whose program supports another message format only.
    incompatible: BTreeSet<Incarnation>,
    peers: BTreeMap<Participant, Peer>,
    /// The newest known term of each process.
    newest_terms: BTreeMap<Incarnation, u32>,
    /// The term up to and including which each process is fenced.
    fenced_through: BTreeMap<Incarnation, u32>,
    fencing: BTreeMap<Participant, FencingAttempt>,
    /// Participants that the caller has asked to fence, and when that request expires.
    fencing_wanted: BTreeMap<Participant, Micros>,
    statements: BTreeMap<StatementKey, Statement>,
    /// Statements by the members of their replica lists that may still act for them.
    statements_by_participant: BTreeMap<Participant, BTreeSet<StatementKey>>,
    /// Statements that this gateway may take over, by deadline.
    takeover_ready: BTreeSet<(Micros, StatementKey)>,
    to_review: BTreeSet<StatementKey>,
    review_at: Micros,
    /// When a record is forwarded to the first member of its replica list, which may not have it.
    forward_at: BTreeMap<StatementKey, Micros>,
    /// Owned statements with an action that waits until it is recorded at the replicas.
    awaiting_replicas: BTreeSet<StatementKey>,
    /// When records expire.
    expiry: BTreeSet<(Micros, StatementKey)>,
    replica_usage: ReplicaUsage,
    /// Statements whose records are never accepted here, and when that entry expires.
    declined: BTreeMap<StatementKey, Micros>,
    tombstones: Tombstones,
    /// The highest number of a statement that was accepted here.
    last_number: u64,
    handing_over: bool,
    handed_over: bool,
    sweep_at: Micros,
    /// The time that the caller passed last.
    latest_time: Micros,
    effects: VecDeque<Effect>,
}

fn quorum_of(voters: usize, fault: InjectedFault) -> usize {
    let majority_excess = usize::from(fault != InjectedFault::HalfIsQuorum);
    (voters / 2 + majority_excess).max(1)
}

impl TakeoverNode {
    /// Creates the state machine of a gateway that starts, with its stored marks; `None` if it has none.
    ///
    /// # Errors
    /// If the stored marks cannot be read.
    pub fn new(
        settings: Settings,
        stored_marks: Option<&[u8]>,
        now: Micros,
    ) -> Result<TakeoverNode, StoredMarksError> {
        TakeoverNode::with_injected_fault(settings, stored_marks, now, InjectedFault::None)
    }

    /// Like [`TakeoverNode::new`], with an injected fault.
    ///
    /// # Errors
    /// If the stored marks cannot be read.
    pub fn with_injected_fault(
        settings: Settings,
        stored_marks: Option<&[u8]>,
        now: Micros,
        fault: InjectedFault,
    ) -> Result<TakeoverNode, StoredMarksError> {
        let lease_times = LeaseTimes { lease: settings.lease, drift_ppm: settings.drift_ppm };
        let voters = settings.voters.len();
        let votes = settings.voters.contains(&settings.incarnation.name);
        let voter = votes.then(|| Voter::new(lease_times, stored_marks, now, voters, fault)).transpose()?;
        let mut node = TakeoverNode {
            local: Participant { incarnation: settings.incarnation.clone(), term: 0 },
            settings,
            fault,
            lease_times,
            voter,
            lease: Lease::new(now, quorum_of(voters, fault)),
            lease_held: false,
            renew_at: now,
            marks_query_at: now,
            term_fenced: false,
            members: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
            candidates: Vec::new(),
            incompatible: BTreeSet::new(),
            peers: BTreeMap::new(),
            newest_terms: BTreeMap::new(),
            fenced_through: BTreeMap::new(),
            fencing: BTreeMap::new(),
            fencing_wanted: BTreeMap::new(),
            statements: BTreeMap::new(),
            statements_by_participant: BTreeMap::new(),
            takeover_ready: BTreeSet::new(),
            to_review: BTreeSet::new(),
            review_at: now,
            forward_at: BTreeMap::new(),
            awaiting_replicas: BTreeSet::new(),
            expiry: BTreeSet::new(),
            replica_usage: ReplicaUsage::default(),
            declined: BTreeMap::new(),
            tombstones: Tombstones::default(),
            last_number: 0,
            handing_over: false,
            handed_over: false,
            sweep_at: now + SWEEP_INTERVAL,
            latest_time: now,
            effects: VecDeque::new(),
        };
        node.begin_storing_marks();
        Ok(node)
    }

    fn quorum(&self) -> usize {
        quorum_of(self.settings.voters.len(), self.fault)
    }

    fn is_voter(&self, name: &str) -> bool {
        self.settings.voters.iter().any(|voter| voter == name)
    }

    /// Removes and returns the next effect to carry out.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    fn log(&mut self, text: String) {
        self.effects.push_back(Effect::Log(text));
    }

    fn send_message(&mut self, to: &str, message: &Message) {
        let bytes = message.encode(self.local.process_term());
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.effects.push_back(Effect::SendDatagram(to.to_owned(), bytes));
    }

    /// When [`TakeoverNode::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let peers = self.peers.values().flat_map(Peer::next_wake);
        let fencing = self.fencing.values().map(|attempt| attempt.next_wake(self.lease_held));
        let needs_turn = !self.to_review.is_empty() || (!self.takeover_ready.is_empty() && self.lease_held);
        let is_recovering = self.voter.as_ref().is_some_and(Voter::is_recovering);
        let others = [
            (!self.handed_over).then_some(self.renew_at),
            is_recovering.then_some(self.marks_query_at),
            Some(self.sweep_at),
            self.forward_at.values().copied().min(),
            needs_turn.then_some(self.review_at),
        ];
        peers.chain(fencing).chain(others.into_iter().flatten()).min()
    }

    /// Does the work that is due at this time.
    pub fn wake(&mut self, now: Micros) {
        self.advance(now);
    }

    fn advance(&mut self, now: Micros) {
        self.detect_standstill(now);
        self.latest_time = now;
        self.check_lease(now);
        self.renew_lease(now);
        self.update_lease_held(now);
        self.finish_fencing(now);
        self.request_marks(now);
        self.answer_deferred_requests(now);
        self.query_stored_marks(now);
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        self.forward_records(now);
        self.take_turn(now);
        self.send_due_batches(now);
        let owns_nothing = || self.statements.values().all(|statement| !statement.is_owned());
        if self.handing_over && !self.handed_over && owns_nothing() {
            self.complete_hand_over(now);
        }
    }

    /// Reviews statements and takes over those that are ready, a bounded number each.
    fn take_turn(&mut self, now: Micros) {
        if self.review_at > now || (self.to_review.is_empty() && self.takeover_ready.is_empty()) {
            return;
        }
        self.review_at = now + TURN_INTERVAL;
        for _ in 0..REVIEWS_PER_TURN {
            let Some(key) = self.to_review.pop_first() else { break };
            self.review_statement(now, &key);
        }
        if !self.lease_held {
            return;
        }
        for _ in 0..TAKEOVERS_PER_TURN {
            let Some((_, key)) = self.takeover_ready.pop_first() else { break };
            self.take_over(now, &key);
        }
    }
}
