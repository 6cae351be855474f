//! One gateway's part of custody: its tenure, its vote, the statements it holds and the records it keeps for others.

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
mod transmission;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use self::statement::{Peer, Statement, Tombstone};
use crate::tenure::{FencingAttempt, Lease, LeaseTimes, Voter, ENDS_ALONE};
use crate::wire::{Message, Participant, StoredMarksError, DATAGRAM};
use crate::{Ending, Incarnation, Micros, Record, StatementKey};

const MS: Micros = 1_000;
/// Progress of one statement is told no more often.
const COALESCED: Micros = 20 * MS;
/// Sendings to one guardian that are not answered yet.
const FLIGHTS: usize = 32;
/// Statements that are looked at, or adopted, in one turn, and the time between turns.
const LOOKS: usize = 64;
const ADOPTS: usize = 8;
const TURN: Micros = 10 * MS;
/// Marks that lack are asked for again.
const MARKS_AGAIN: Micros = 300 * MS;
/// One that stands earlier in a chain and says nothing of the statement may not have it: it is told.
const FORWARD: Micros = 1_000 * MS;
/// Looks at what leaves by its time.
const SWEEP: Micros = 1_000 * MS;
/// What is kept for others leaves so long after its deadline: a late poll gets a clear word until then.
const LINGER: Micros = 30_000 * MS;
/// For so long after its tenure has last held, a process that was ended gives back what nobody is known to have; and one that has
/// forgotten ended statements of the last twice as long takes nothing of that, as it may have been among them.
const BACK: Micros = 60_000 * MS;
/// Processes that are known at once.
const PEERS: usize = 4_096;

/// The settings of custody.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This process.
    pub me: Incarnation,
    /// Its site: guardians are at other sites where there are some.
    pub site: String,
    /// Names of those that grant tenures.
    pub voters: Vec<String>,
    /// How long a tenure lasts.
    pub lease: Micros,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift: u64,
    /// The longest time from the last look at the tenure to the end of what is done on it.
    pub check: Micros,
    /// Guardians of a statement.
    pub copies: usize,
    /// Records that are kept for others, at most.
    pub most: usize,
    /// Octets of them, at most.
    pub most_octets: usize,
}

/// What membership believes of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It lives.
    Alive,
    /// It does not answer.
    Suspect,
    /// It is gone.
    Dead,
    /// It has said that it leaves.
    Left,
}

/// A process as membership knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Which.
    pub life: Incarnation,
    /// Its site.
    pub site: String,
    /// What is believed of it.
    pub state: MemberState,
}

/// Whether something may be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Permission {
    /// Now.
    Granted,
    /// Once [`Effect::StartAttempt`] or [`Effect::ReportEnding`] says so; never if [`Effect::Relinquished`] does.
    Pending,
    /// Not by this gateway, or not now: its tenure does not hold, or it holds the statement no more.
    Denied,
}

/// Where a statement is, as far as is known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Whereabouts {
    /// Here.
    Here,
    /// At that process.
    At(Incarnation),
    /// This gateway is about to take it over.
    Taking,
    /// Nothing is known of it.
    Unknown,
    /// It has ended; by the gateways' own ending, where that is known.
    Over(Option<Ending>),
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A datagram to a gateway, of a thousand octets at most; it may be lost.
    SendDatagram(String, Vec<u8>),
    /// Records to a gateway, over a stream; answered by [`TakeoverNode::handle_message`], or [`TakeoverNode::handle_send_failure`].
    SendRecords(String, Vec<u8>),
    /// Keep this in place of what was kept before, then call [`TakeoverNode::marks_stored`].
    StoreMarks(Vec<u8>),
    /// The intent of that attempt is recorded: it may be written to its engine.
    StartAttempt(StatementKey, u32),
    /// The decided ending is recorded: it may be told.
    ReportEnding(StatementKey),
    /// This gateway holds the statement from now on. An ending in the record may be told.
    TakenOver(Box<Record>),
    /// This gateway holds it no more: it stops what it does for it, tells nothing, and passes polls on.
    Relinquished(StatementKey),
    /// No guardian is to be had.
    Unreplicated(StatementKey),
    /// For the log.
    Log(String),
}

/// A fault planted on purpose, to see that the simulation finds it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// A tenure counts from when its grant came.
    LeaseFromReceipt,
    /// Half of the voters are a quorum.
    HalfIsQuorum,
    /// Marks are forgotten at a restart.
    MarksNotStored,
    /// A voter that has started again grants at once.
    NoStartupSilence,
    /// A guardian acknowledges a longer chain and goes on with the one it had.
    ReplicaListForgotten,
    /// A new guardian is told before those in front of it know of it.
    ReplicaListNotAwaited,
    /// The tenure is not looked at.
    ActsWithoutLease,
    /// An attempt is not held back until its intent is recorded.
    IntentNotAwaited,
    /// A life that is marked is taken for over at once.
    GrantNotWaitedOut,
    /// A voter that has lost its disk votes as if it started for the first time.
    VotesWithoutMarks,
}

/// One gateway's part. See the crate's documentation.
pub struct TakeoverNode {
    settings: Settings,
    fault: InjectedFault,
    lease_times: LeaseTimes,
    local: Participant,
    voter: Option<Voter>,
    lease: Lease,
    /// Whether it held when this was last looked at, with the time of that look.
    lease_held: bool,
    renew_at: Micros,
    /// When the other voters are asked again what they have marked.
    marks_query_at: Micros,
    /// A voter has said that this term is ended.
    fenced: bool,
    members: BTreeMap<Incarnation, (MemberState, String)>,
    unlisted_since: BTreeMap<Incarnation, Micros>,
    /// Those that may be guardians: at this site, hash.
    candidates: Vec<(bool, u64, Incarnation)>,
    /// Those whose program reads another format.
    incompatible: BTreeSet<Incarnation>,
    peers: BTreeMap<Participant, Peer>,
    /// The newest term of a life that was heard of.
    newest_terms: BTreeMap<Incarnation, u32>,
    /// Through which term a life is surely over.
    fenced_through: BTreeMap<Incarnation, u32>,
    fencing: BTreeMap<Participant, FencingAttempt>,
    /// Those of which somebody wants to know whether they are over, until then.
    fencing_wanted: BTreeMap<Participant, Micros>,
    statements: BTreeMap<StatementKey, Statement>,
    /// Statements by those in their chains that may act for them.
    statements_by_participant: BTreeMap<Participant, BTreeSet<StatementKey>>,
    /// What may be adopted, the earliest deadline first.
    takeover_ready: BTreeSet<(Micros, StatementKey)>,
    /// To be looked at.
    to_review: BTreeSet<StatementKey>,
    review_at: Micros,
    forward_at: BTreeMap<StatementKey, Micros>,
    /// Held with something that waits.
    awaiting_replicas: BTreeSet<StatementKey>,
    /// When what is kept leaves.
    expiry: BTreeSet<(Micros, StatementKey)>,
    replica_usage: (usize, usize),
    /// Never taken here, until then.
    declined: BTreeMap<StatementKey, Micros>,
    tombstones: BTreeMap<StatementKey, Tombstone>,
    tombstone_order: VecDeque<(StatementKey, Micros)>,
    /// When the newest of those was remembered that had to go; 0: none had.
    last_tombstone_dropped: Micros,
    last_number: u64,
    handing_over: bool,
    handed_over: bool,
    sweep_at: Micros,
    /// The newest time that was told.
    latest_time: Micros,
    effects: VecDeque<Effect>,
}

impl TakeoverNode {
    /// A gateway that starts, with what it had kept: `None` if it is its first start ever.
    ///
    /// # Errors
    /// If that is not what it kept.
    pub fn new(terms: Settings, ends: Option<&[u8]>, now: Micros) -> Result<TakeoverNode, StoredMarksError> {
        TakeoverNode::with_injected_fault(terms, ends, now, InjectedFault::None)
    }

    /// See [`TakeoverNode::new`]; with a fault.
    ///
    /// # Errors
    /// As there.
    pub fn with_injected_fault(
        terms: Settings,
        ends: Option<&[u8]>,
        now: Micros,
        plant: InjectedFault,
    ) -> Result<TakeoverNode, StoredMarksError> {
        let spans = LeaseTimes { lease: terms.lease, drift: terms.drift };
        let voter = terms.voters.contains(&terms.me.name);
        let voter = if voter { Some(Voter::new(spans, ends, now, terms.voters.len(), plant)?) } else { None };
        let quorum = terms.voters.len() / 2 + usize::from(plant != InjectedFault::HalfIsQuorum);
        let mut this = TakeoverNode {
            local: Participant { life: terms.me.clone(), term: 0 },
            settings: terms,
            fault: plant,
            lease_times: spans,
            voter,
            lease: Lease::new(now, quorum.max(1)),
            lease_held: false,
            renew_at: now,
            marks_query_at: now,
            fenced: false,
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
            replica_usage: (0, 0),
            declined: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_order: VecDeque::new(),
            last_tombstone_dropped: 0,
            last_number: 0,
            handing_over: false,
            handed_over: false,
            sweep_at: now + SWEEP,
            latest_time: now,
            effects: VecDeque::new(),
        };
        this.store_marks();
        Ok(this)
    }

    fn quorum(&self) -> usize {
        (self.settings.voters.len() / 2 + usize::from(self.fault != InjectedFault::HalfIsQuorum)).max(1)
    }

    /// The next effect.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    fn send_message(&mut self, to: &str, said: &Message) {
        let bytes = said.write(self.local.life.life, self.local.term);
        debug_assert!(bytes.len() <= DATAGRAM);
        self.effects.push_back(Effect::SendDatagram(to.to_owned(), bytes));
    }

    fn store_marks(&mut self) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::keep) {
            self.effects.push_back(Effect::StoreMarks(bytes));
        }
    }

    /// When [`TakeoverNode::wake`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let peers = self.peers.values().flat_map(|p| {
            let due = p.due.filter(|_| p.flights.len() < FLIGHTS);
            [due, p.flights.values().map(|f| f.lost_at).min()].into_iter().flatten()
        });
        let ends = self.fencing.values().map(|e| {
            let asked = self.lease_held.then(|| e.asked.map_or(0, |at| at + MARKS_AGAIN));
            asked.into_iter().chain(e.over).min().unwrap_or(Micros::MAX)
        });
        let turns = !self.to_review.is_empty() || (!self.takeover_ready.is_empty() && self.lease_held);
        let forwards = self.forward_at.values().copied().min();
        let renew = (!self.handed_over).then_some(self.renew_at);
        let known = self.voter.as_ref().is_some_and(Voter::is_empty).then_some(self.marks_query_at);
        let most = [renew, known, Some(self.sweep_at), forwards, turns.then_some(self.review_at)];
        peers.chain(ends).chain(most.into_iter().flatten()).min()
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        self.advance(now);
    }

    fn advance(&mut self, now: Micros) {
        self.latest_time = now;
        // What was asked of the voters long before a pause says nothing of who holds what since then.
        let holds = now < self.lease.until;
        if holds {
            self.lease.held_at = now;
        }
        let alone = now > self.lease.held_at + ENDS_ALONE;
        if !holds && (self.fenced || alone) && !self.handed_over {
            self.begin_next_term(now);
        }
        if self.renew_at <= now && !self.handed_over {
            let settled = self.may_act(now);
            self.renew_at = now + self.settings.lease / if settled { 3 } else { 8 };
            self.request_lease(now);
        }
        let acting = self.may_act(now);
        if acting && !self.lease_held {
            self.to_review.extend(self.awaiting_replicas.iter().cloned());
        }
        self.lease_held = acting;
        self.finish_fencing(now);
        self.request_marks(now);
        self.query_stored_marks(now);
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep_expired(now);
        }
        self.forward_to_predecessors(now);
        if self.review_at <= now && !(self.to_review.is_empty() && self.takeover_ready.is_empty()) {
            self.review_at = now + TURN;
            for _ in 0..LOOKS {
                let Some(key) = self.to_review.pop_first() else { break };
                self.review_statement(now, &key);
            }
            for _ in 0..if acting { ADOPTS } else { 0 } {
                let Some((_, key)) = self.takeover_ready.pop_first() else { break };
                self.take_over(now, &key);
            }
        }
        let due: Vec<Participant> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                p.due.is_some_and(|due| due <= now) || p.flights.values().any(|f| f.lost_at <= now)
            })
            .map(|(a, _)| a.clone())
            .collect();
        for actor in due {
            self.requeue_lost_batches(now, &actor);
            self.send_batches(now, &actor);
        }
        if self.handing_over && !self.handed_over && self.statements.values().all(|e| e.held().is_none()) {
            self.complete_hand_over(now);
        }
    }
}
