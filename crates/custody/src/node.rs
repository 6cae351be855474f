//! The state machine of one gateway: its lease, its vote, the statements it owns and the records it keeps for
//! others.

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
/// Changes of one statement that nothing waits for are collected for so long before they are sent.
const COALESCING_DELAY: Micros = 20 * MILLISECOND;
/// Statements that are reviewed in one turn, and the time between turns.
const REVIEWS_PER_TURN: usize = 64;
const TURN: Micros = 10 * MILLISECOND;
/// Statements that are taken over in one turn.
const TAKEOVERS_PER_TURN: usize = 8;
/// Between two looks at what leaves by its age.
const SWEEP_INTERVAL: Micros = 1_000 * MILLISECOND;
/// A replica's record is kept for so long after the statement's deadline.
const REPLICA_RETENTION: Micros = 30_000 * MILLISECOND;
/// For so long after its lease was last valid, a fenced process returns statements that nobody else is known
/// to have.
const RETURN_WINDOW: Micros = 60_000 * MILLISECOND;
/// Processes that are remembered at once.
const MAX_PEERS: usize = 4_096;

/// The settings of a gateway's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This process.
    pub incarnation: Incarnation,
    /// Its site: replicas are at other sites where there are some.
    pub site: String,
    /// Names of the gateways that vote.
    pub voters: Vec<String>,
    /// The nominal duration of a lease.
    pub lease: Micros,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift_ppm: u64,
    /// The longest time from a look at the lease to the end of the action that it allows.
    pub action_margin: Micros,
    /// Replicas of a statement beside its owner.
    pub replicas: usize,
    /// Records that are kept for others, at most.
    pub max_replica_records: usize,
    /// Bytes of them, at most.
    pub max_replica_bytes: usize,
}

/// What membership believes of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It does not answer.
    Suspect,
    /// It is gone.
    Dead,
    /// It has announced that it leaves.
    Left,
}

/// A process as membership knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Which process.
    pub incarnation: Incarnation,
    /// Its site.
    pub site: String,
    /// What is believed of it.
    pub state: MemberState,
}

/// Whether an attempt may start, or an ending be reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Permission {
    /// Now.
    Granted,
    /// Once [`Effect::StartAttempt`] or [`Effect::ReportEnding`] follows; never if [`Effect::Relinquished`]
    /// does.
    Pending,
    /// Not by this gateway, or not now: its lease is not valid, or it is not the owner any more.
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

/// What the caller has to do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send this datagram of a thousand bytes at most to a gateway; it may be lost.
    SendDatagram(String, Vec<u8>),
    /// Send these records to a gateway over a stream. The reply comes by [`TakeoverNode::handle_message`]; call
    /// [`TakeoverNode::handle_send_failure`] if they cannot be sent.
    SendRecords(String, Vec<u8>),
    /// Store these bytes in place of those stored before, then call [`TakeoverNode::marks_stored`].
    StoreMarks(Vec<u8>),
    /// The intent of that attempt is recorded: it may be written to its engine.
    StartAttempt(StatementKey, u32),
    /// The ending is recorded: it may be reported to the client.
    ReportEnding(StatementKey),
    /// This gateway owns the statement from now on. An ending in the record may be reported.
    TakenOver(Box<Record>),
    /// This gateway does not own the statement any more: stop acting for it, report nothing, and pass polls
    /// on.
    Relinquished(StatementKey),
    /// No replica is to be had for the statement.
    Unreplicated(StatementKey),
    /// For the log.
    Log(String),
}

/// A fault injected on purpose, to show that the simulation finds it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// A lease counts from when its grant came.
    LeaseFromReceipt,
    /// Half of the voters are a quorum.
    HalfIsQuorum,
    /// Fences are forgotten at a restart.
    MarksNotStored,
    /// A voter that has started again grants at once.
    NoStartupSilence,
    /// A replica acknowledges a longer replica list and goes on with the one it had.
    ReplicaListForgotten,
    /// A new replica is notified before those in front of it know of it.
    ReplicaListNotAwaited,
    /// The lease is not looked at.
    ActsWithoutLease,
    /// An attempt does not wait until its intent is recorded.
    IntentNotAwaited,
    /// A participant counts as fenced while leases granted to it may still run.
    GrantNotWaitedOut,
    /// A voter that has lost its disk votes as if it started for the first time.
    VotesWithoutMarks,
}

/// Records that are kept for others.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaUsage {
    records: usize,
    bytes: usize,
}

/// The state machine of one gateway. See the crate's documentation.
pub struct TakeoverNode {
    settings: Settings,
    fault: InjectedFault,
    lease_times: LeaseTimes,
    /// This process in its current term.
    local: Participant,
    voter: Option<Voter>,
    lease: Lease,
    /// Whether the lease allowed actions at the last look.
    lease_held: bool,
    renew_at: Micros,
    /// When a recovering voter asks the other voters again for their marks.
    marks_query_at: Micros,
    /// A voter has answered that this term is fenced.
    told_fenced: bool,
    members: BTreeMap<Incarnation, MemberInfo>,
    /// Processes that replica lists name and membership does not, and since when.
    unlisted_since: BTreeMap<Incarnation, Micros>,
    candidates: Vec<Candidate>,
    /// Those whose program supports another message format only.
    incompatible: BTreeSet<Incarnation>,
    peers: BTreeMap<Participant, Peer>,
    /// The newest term of a process that was heard of.
    newest_terms: BTreeMap<Incarnation, u32>,
    /// Through which term a process is fenced.
    fenced_through: BTreeMap<Incarnation, u32>,
    fencing: BTreeMap<Participant, FencingAttempt>,
    /// Those that the caller wants to know fenced, until that time.
    fencing_wanted: BTreeMap<Participant, Micros>,
    statements: BTreeMap<StatementKey, Statement>,
    /// Statements by those in their replica lists that may act for them.
    statements_by_participant: BTreeMap<Participant, BTreeSet<StatementKey>>,
    /// What may be taken over, the earliest deadline first.
    takeover_ready: BTreeSet<(Micros, StatementKey)>,
    to_review: BTreeSet<StatementKey>,
    review_at: Micros,
    /// When a record is passed to the first of its replica list that may not know of it.
    forward_at: BTreeMap<StatementKey, Micros>,
    /// Owned statements with something that waits until it is recorded.
    awaiting_replicas: BTreeSet<StatementKey>,
    /// When records leave by their age.
    expiry: BTreeSet<(Micros, StatementKey)>,
    replica_usage: ReplicaUsage,
    /// Statements whose records are never accepted here, until that time.
    declined: BTreeMap<StatementKey, Micros>,
    tombstones: Tombstones,
    /// The highest number of a statement that was accepted here.
    last_number: u64,
    handing_over: bool,
    handed_over: bool,
    sweep_at: Micros,
    /// The newest time that the caller told.
    latest_time: Micros,
    effects: VecDeque<Effect>,
}

fn quorum_of(voters: usize, fault: InjectedFault) -> usize {
    let more_than_half = usize::from(fault != InjectedFault::HalfIsQuorum);
    (voters / 2 + more_than_half).max(1)
}

impl TakeoverNode {
    /// A gateway that starts, with the marks it had stored: `None` at its first start ever.
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

    /// As [`TakeoverNode::new`], with a fault.
    ///
    /// # Errors
    /// As there.
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
            told_fenced: false,
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

    /// The next effect.
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
        let has_turn = !self.to_review.is_empty() || (!self.takeover_ready.is_empty() && self.lease_held);
        let recovers = self.voter.as_ref().is_some_and(Voter::is_recovering);
        let others = [
            (!self.handed_over).then_some(self.renew_at),
            recovers.then_some(self.marks_query_at),
            Some(self.sweep_at),
            self.forward_at.values().copied().min(),
            has_turn.then_some(self.review_at),
        ];
        peers.chain(fencing).chain(others.into_iter().flatten()).min()
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        self.advance(now);
    }

    fn advance(&mut self, now: Micros) {
        self.latest_time = now;
        self.check_lease(now);
        self.renew_lease(now);
        self.update_lease_held(now);
        self.finish_fencing(now);
        self.request_marks(now);
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
        self.review_at = now + TURN;
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
