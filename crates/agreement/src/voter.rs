//! The protocol at one gateway: it votes on the next version, learns which versions are committed, grants
//! leases and holds one.
//!
//! Each version is decided by single-decree Paxos among the configured voters. A gateway acts under a lease
//! that a quorum of them has granted, on a *range* of versions: from the lowest version that another holder
//! may still apply alone, as far as its voters know, to the newest that it knows itself. It does only what
//! every version of the range allows. A range of one version means that this version is applied in full. A
//! voter grants only the newest version that it knows, and reports with each grant the lowest version among
//! its other unexpired grants; it measures their time by its own clock, with the allowance for the slowest
//! holder and the fastest voter. Two quorums share a voter: while one gateway applies a version in full, all
//! others that act have that version in their range.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::history::{History, Version};

/// Microseconds of a gateway's own clock, which is monotonic while the process runs.
pub type Micros = u64;

/// A proposal number of Paxos; the greater one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Round of the proposer.
    pub round: u32,
    /// Number of the proposing gateway, which makes ballots unique.
    pub proposer: u16,
}

/// The settings of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Terms {
    /// This gateway's number.
    pub me: u16,
    /// Number of voters, which have the numbers from 0 on. All other gateways only hold leases and learn
    /// versions.
    pub voters: u16,
    /// Whether this gateway votes and grants. A voter that has lost its durable state does not.
    pub votes: bool,
    /// Duration of a lease by its holder's clock, from the time of the request.
    pub lease: Micros,
    /// Maximum error of the rate of any clock, in parts per million.
    pub drift_ppm: u64,
    /// Maximum time from checking the lease to the end of the action that it permits.
    pub lease_check_margin: Micros,
    /// A deliberate fault in the protocol, for tests of the search.
    pub fault: InjectedFault,
}

/// A deliberate fault in the protocol, which the search has to find.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A lease starts when its grant is received.
    LeaseFromReceipt,
    /// A voter loses its promise and its accepted version at a restart.
    VoteNotPersisted,
    /// Half of the gateways are a quorum.
    HalfIsQuorum,
    /// A restarted voter grants at once.
    NoWaitAfterStart,
    /// A voter does not report its other grants.
    OtherGrantsNotReported,
    /// The range of a lease does not include a version that is learned later.
    RangeNotExtended,
}

impl Terms {
    /// Number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        let half = usize::from(self.voters) / 2;
        if self.fault == InjectedFault::HalfIsQuorum {
            half.max(1)
        } else {
            half + 1
        }
    }

    /// Duration of a grant by the voter's clock. It outlasts the lease if the holder's clock is slow and the
    /// voter's fast by the allowed drift.
    pub fn grant_duration(&self) -> Micros {
        let million = 1_000_000u64;
        let drift = self.drift_ppm.min(million / 2);
        ((self.lease as u128 * (million + drift) as u128).div_ceil((million - drift) as u128)) as Micros
    }

    /// The bound *T* in true time: once a quorum has known a version for this long, no gateway acts on an
    /// earlier one alone.
    pub fn switch_bound(&self) -> Micros {
        let million = 1_000_000u64;
        let drift = self.drift_ppm.min(million / 2);
        ((self.grant_duration() as u128 * million as u128).div_ceil((million - drift) as u128)) as Micros
            + self.lease_check_margin
    }
}

/// A message of the protocol between gateways.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Phase 1 of Paxos: asks for a promise for the version with this number.
    Prepare(u64, Ballot),
    /// Promises to ignore earlier ballots, and reports the version accepted last.
    Promise(u64, Ballot, Option<(Ballot, Version)>),
    /// Phase 2 of Paxos: asks the voter to accept a version.
    Accept(Ballot, Version),
    /// The voter has accepted the version with this number under this ballot.
    Accepted(u64, Ballot),
    /// A version is committed.
    Committed(Version),
    /// The sender does not have the versions from this number on.
    MissingFrom(u64),
    /// Asks for a lease: version, time of the request by the sender's clock, incarnation of the sender.
    LeaseRequest(u64, Micros, u64),
    /// Grants a lease: version, lowest version that another gateway may still act on under this voter's
    /// grants, time and incarnation of the request.
    LeaseGrant(u64, u64, Micros, u64),
    /// The sender no longer acts under leases of this incarnation.
    LeaseRelease(u64),
    /// The versions asked for are no longer retained; the history continues after this number and hash.
    HistoryBase(u64, u64),
}

/// Maximum number of grants that a voter holds at once; further requests are not answered.
pub const MAX_GRANTS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    version: u64,
    expires_at: Micros,
    requested_at: Micros,
    /// The lowest version that was last reported to the holder.
    reported_low: u64,
}

/// State that has to be on disk before a message that depends on it is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// The committed versions.
    pub history: History,
    /// The highest ballot promised for the next version.
    pub promised: Ballot,
    /// The version accepted as the next one, and its ballot.
    pub accepted: Option<(Ballot, Version)>,
    /// The voter does not vote on versions up to this number: its votes on them may have been lost with an
    /// earlier vote file.
    pub abstain_through: u64,
}

/// Number up to which a voter that has lost its vote file must not vote, given the newest versions that a
/// quorum of the *other* voters know. A version that it has voted on followed one that a quorum had accepted,
/// and each member of that quorum knew the version before: hence two more than the newest known one.
pub fn abstain_through(newest_of_others: &[u64]) -> u64 {
    newest_of_others.iter().max().map_or(0, |newest| newest + 2)
}

/// An effect for the caller to carry out, in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Write this state durably before any later effect is carried out.
    Persist(DurableState),
    /// Send to the gateway with this number.
    Send(u16, Message),
    /// Send to all known gateways, voters or not.
    Broadcast(Message),
    /// A version is committed.
    Committed(Version),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposal {
    content: Vec<u8>,
    ballot: Ballot,
    promises: BTreeMap<u16, Option<(Ballot, Version)>>,
    version: Option<Version>,
    accepted: BTreeSet<u16>,
}

/// The protocol state of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: Terms,
    state: DurableState,
    incarnation: u64,
    /// No votes and no grants before this time: grants of an earlier incarnation may still be in force.
    wait_until: Micros,
    /// The grants of this voter, by number and incarnation of the holder.
    grants: BTreeMap<(u16, u64), Grant>,
    proposal: Option<Proposal>,
    round: u32,
    /// The pending lease request: version, time of the request, and the lowest version reported by each
    /// granter.
    lease_request: Option<(u64, Micros, BTreeMap<u16, u64>)>,
    /// The end of each lease held, by the lowest version of its range. The range ends with the newest known
    /// version.
    leases: BTreeMap<u64, Micros>,
    released: bool,
    effects: VecDeque<Effect>,
}

impl Voter {
    /// A gateway that starts at the time `now` of its clock with its durable state. `incarnation` differs at
    /// every start. A `fresh` gateway has never granted anything and need not wait for earlier grants to
    /// expire.
    pub fn new(terms: Terms, state: DurableState, incarnation: u64, now: Micros, fresh: bool) -> Voter {
        let wait_micros =
            if fresh || terms.fault == InjectedFault::NoWaitAfterStart { 0 } else { terms.grant_duration() };
        let mut state = state;
        if terms.fault == InjectedFault::VoteNotPersisted {
            (state.promised, state.accepted) = (Ballot::default(), None);
        }
        let round = state.promised.round;
        Voter {
            wait_until: now + wait_micros,
            terms,
            state,
            incarnation,
            grants: BTreeMap::new(),
            proposal: None,
            round,
            lease_request: None,
            leases: BTreeMap::new(),
            released: false,
            effects: VecDeque::new(),
        }
    }

    /// The next effect, to be carried out before the following one is taken.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The committed versions.
    pub fn history(&self) -> &History {
        &self.state.history
    }

    /// The durable state, as of the last effect that persists it.
    pub fn state(&self) -> &DurableState {
        &self.state
    }

    /// The lowest and the newest version of the range under lease, if any; only what all of its versions
    /// allow may be done. Call this just before acting: the action may take [`Terms::lease_check_margin`]
    /// from then on.
    pub fn usable_range(&self, now: Micros) -> Option<(u64, u64)> {
        let newest = self.state.history.newest().0;
        let valid = |until: Micros| now + self.terms.lease_check_margin < until;
        let low = self.leases.iter().rev().find(|(_, &until)| valid(until)).map(|(&low, _)| low)?;
        let top = if self.terms.fault == InjectedFault::RangeNotExtended { low } else { newest };
        Some((low, top))
    }

    /// The time at which the result of [`Voter::usable_range`] changes if nothing but time passes. `None` if
    /// there is no range.
    pub fn usable_until(&self, now: Micros) -> Option<Micros> {
        let (low, _) = self.usable_range(now)?;
        self.leases.get(&low).map(|until| until.saturating_sub(self.terms.lease_check_margin))
    }

    /// The number of grants held, and whether this voter still waits for grants of earlier incarnations to
    /// expire.
    pub fn grant_status(&self, now: Micros) -> (usize, bool) {
        (self.grants.len(), now < self.wait_until)
    }

    /// Proposes a content as the next version. Another one may be committed instead.
    pub fn propose(&mut self, content: &[u8]) {
        self.round = self.round.max(self.state.promised.round) + 1;
        let ballot = Ballot { round: self.round, proposer: self.terms.me };
        let promises = BTreeMap::new();
        self.proposal = Some(Proposal {
            content: content.to_vec(),
            ballot,
            promises,
            version: None,
            accepted: BTreeSet::new(),
        });
        let next = self.next_number();
        self.send_all(&Message::Prepare(next, ballot));
    }

    /// Requests a lease on the newest version, or its renewal.
    pub fn renew(&mut self, now: Micros) {
        if self.released {
            return;
        }
        let version = self.state.history.newest().0;
        self.leases.retain(|_, until| *until > now);
        self.lease_request = Some((version, now, BTreeMap::new()));
        self.send_all(&Message::LeaseRequest(version, now, self.incarnation));
    }

    /// Stops voting and granting, because the durable state is older than what others have seen of it.
    pub fn abstain(&mut self) {
        self.terms.votes = false;
    }

    /// Whether this gateway votes and grants once the wait after its start is over.
    pub fn votes(&self) -> bool {
        self.terms.votes
    }

    /// Releases the lease for good; this gateway does not act any more.
    pub fn release_lease(&mut self) {
        self.released = true;
        self.leases.clear();
        self.lease_request = None;
        self.send_all(&Message::LeaseRelease(self.incarnation));
    }

    /// Handles a message from the gateway with the number `from`.
    pub fn receive(&mut self, now: Micros, from: u16, message: &Message) {
        match message {
            // Without a vote, no answer is sent that others would count.
            Message::Prepare(..) | Message::Accept(..) | Message::LeaseRequest(..) if !self.terms.votes => {}
            // No votes after a start either: others may still report that it has voted later than its file
            // says.
            Message::Prepare(..) | Message::Accept(..) if now < self.wait_until => {}
            Message::Prepare(number, ballot) => {
                if self.may_vote(from, *number) && *ballot > self.state.promised {
                    self.state.promised = *ballot;
                    self.persist();
                    let accepted = self.state.accepted.clone();
                    self.send(from, Message::Promise(*number, *ballot, accepted));
                }
            }
            Message::Promise(number, ballot, accepted) => {
                self.receive_promise(from, *number, *ballot, accepted)
            }
            Message::Accept(ballot, version) => {
                if self.may_vote(from, version.number) && *ballot >= self.state.promised {
                    self.state.promised = *ballot;
                    self.state.accepted = Some((*ballot, version.clone()));
                    self.persist();
                    self.send(from, Message::Accepted(version.number, *ballot));
                }
            }
            Message::Accepted(number, ballot) => {
                let quorum = self.terms.quorum();
                let next = self.next_number();
                let Some(p) = self.proposal.as_mut().filter(|p| p.ballot == *ballot && *number == next)
                else {
                    return;
                };
                p.accepted.insert(from);
                if p.accepted.len() >= quorum {
                    if let Some(version) = p.version.clone() {
                        self.commit(&version);
                        self.effects.push_back(Effect::Broadcast(Message::Committed(version)));
                    }
                }
            }
            Message::Committed(version) => {
                let newest = self.state.history.newest().0;
                if version.number > newest + 1 {
                    self.send(from, Message::MissingFrom(newest + 1));
                } else if version.number == newest + 1 {
                    self.commit(version);
                }
            }
            Message::MissingFrom(number) => {
                let history = &self.state.history;
                let (base, hash) = history.base();
                let versions: Vec<Version> =
                    history.versions().iter().filter(|v| v.number >= *number).take(8).cloned().collect();
                if *number <= base {
                    self.send(from, Message::HistoryBase(base, hash));
                }
                versions.into_iter().for_each(|v| self.send(from, Message::Committed(v)));
                // A voter without the version could not grant it. It is asked again, with the time of the
                // first request.
                let unanswered = self.lease_request.as_ref().filter(|(_, _, by)| !by.contains_key(&from));
                if let Some(&(version, at, _)) = unanswered {
                    self.send(from, Message::LeaseRequest(version, at, self.incarnation));
                }
            }
            Message::LeaseRequest(version, at, incarnation) => {
                self.grant_lease(now, from, *version, *at, *incarnation)
            }
            Message::LeaseGrant(version, low, at, incarnation) => {
                let quorum = self.terms.quorum();
                let Some((requested, requested_at, lows)) = &mut self.lease_request else { return };
                // Grants for another incarnation or an earlier request do not count.
                if (*requested, *requested_at) != (*version, *at) || *incarnation != self.incarnation {
                    return;
                }
                lows.insert(from, *low);
                // Any quorum of the granters suffices: the one whose reported versions are the highest.
                let mut sorted: Vec<u64> = lows.values().copied().collect();
                sorted.sort_unstable_by(|a, b| b.cmp(a));
                if let Some(&low) = sorted.get(quorum - 1) {
                    let since =
                        if self.terms.fault == InjectedFault::LeaseFromReceipt { now } else { *requested_at };
                    let until = since + self.terms.lease;
                    let end = self.leases.entry(low).or_insert(until);
                    *end = until.max(*end);
                }
            }
            Message::LeaseRelease(incarnation) => {
                self.grants.remove(&(from, *incarnation));
                self.grants.retain(|_, grant| grant.expires_at > now);
                self.notify_of_full_range();
            }
            Message::HistoryBase(number, hash) => {
                if *number > self.state.history.newest().0 {
                    // The voters asked do not retain the versions in between. A range over this gap allows
                    // nothing.
                    self.state.history = History::starting_after(*number, *hash);
                    self.reset_votes();
                    self.persist();
                    self.send(from, Message::MissingFrom(*number + 1));
                }
            }
        }
    }

    fn next_number(&self) -> u64 {
        self.state.history.newest().0 + 1
    }

    fn may_vote(&mut self, from: u16, number: u64) -> bool {
        self.is_next(from, number) && number > self.state.abstain_through
    }

    /// Whether this is the number of the version voted on here. A sender that is behind gets the committed
    /// version, one that is ahead is asked for the missing ones.
    fn is_next(&mut self, from: u16, number: u64) -> bool {
        let next = self.next_number();
        if number < next {
            if let Some(version) = self.state.history.get(number).cloned() {
                self.send(from, Message::Committed(version));
            }
        } else if number > next {
            self.send(from, Message::MissingFrom(next));
        }
        number == next
    }

    fn receive_promise(
        &mut self,
        from: u16,
        number: u64,
        ballot: Ballot,
        accepted: &Option<(Ballot, Version)>,
    ) {
        let (next, quorum) = (self.next_number(), self.terms.quorum());
        let (at, hash) = self.state.history.newest();
        let Some(p) = self.proposal.as_mut().filter(|p| p.ballot == ballot && number == next) else { return };
        p.promises.insert(from, accepted.clone());
        if p.promises.len() < quorum || p.version.is_some() {
            return;
        }
        // An accepted version may be committed already and takes precedence over the own content.
        let found = p.promises.values().flatten().max_by_key(|a| a.0).map(|a| a.1.clone());
        let version = found.unwrap_or_else(|| Version::after(at, hash, &p.content));
        p.version = Some(version.clone());
        self.send_all(&Message::Accept(ballot, version));
    }

    fn commit(&mut self, version: &Version) {
        if !self.state.history.add(version) {
            return;
        }
        self.reset_votes();
        self.persist();
        self.effects.push_back(Effect::Committed(version.clone()));
    }

    /// Resets the votes, since the version is decided. Leases held remain; their range now includes the new
    /// version.
    fn reset_votes(&mut self) {
        (self.state.promised, self.state.accepted) = (Ballot::default(), None);
        self.proposal = None;
        self.lease_request = None;
    }

    fn grant_lease(&mut self, now: Micros, from: u16, version: u64, at: Micros, incarnation: u64) {
        let newest = self.state.history.newest().0;
        if version > newest {
            return self.send(from, Message::MissingFrom(newest + 1));
        }
        if version < newest {
            // Superseded: a lease on this version alone expires and is not renewed.
            return match self.state.history.get(version + 1).cloned() {
                Some(next) => self.send(from, Message::Committed(next)),
                None => self.receive(now, from, &Message::MissingFrom(version + 1)),
            };
        }
        if now < self.wait_until {
            // Grants of an earlier incarnation may still be in force, on versions unknown to this one.
            return;
        }
        self.grants.retain(|_, grant| grant.expires_at > now);
        let before = self.grants.get(&(from, incarnation)).copied();
        // An earlier request or a duplicate does not show that the sender still wants the lease.
        let stale = before.is_some_and(|b| at <= b.requested_at);
        if stale || self.grants.len() >= MAX_GRANTS && before.is_none() {
            return;
        }
        // The requester knows this version and keeps within it from now on, whatever it was granted before.
        let others =
            self.grants.iter().filter(|(who, _)| **who != (from, incarnation)).map(|(_, g)| g.version);
        let low = if self.terms.fault == InjectedFault::OtherGrantsNotReported {
            newest
        } else {
            others.fold(newest, u64::min)
        };
        let until = (now + self.terms.grant_duration()).max(before.map_or(0, |b| b.expires_at));
        self.grants.insert(
            (from, incarnation),
            Grant { version, expires_at: until, requested_at: at, reported_low: low },
        );
        self.send(from, Message::LeaseGrant(version, low, at, incarnation));
        self.notify_of_full_range();
    }

    /// Once no grant on an earlier version is in force, the holders that were granted a range get a grant on
    /// the newest version alone, without waiting for their next request. It still counts from the time of
    /// that request.
    fn notify_of_full_range(&mut self) {
        let newest = self.state.history.newest().0;
        if self.grants.values().any(|g| g.version != newest) {
            return;
        }
        let mut grants = Vec::new();
        for (&(to, incarnation), grant) in self.grants.iter_mut().filter(|(_, g)| g.reported_low < newest) {
            grant.reported_low = newest;
            grants.push((to, Message::LeaseGrant(newest, newest, grant.requested_at, incarnation)));
        }
        grants.into_iter().for_each(|(to, message)| self.send(to, message));
    }

    fn persist(&mut self) {
        self.effects.push_back(Effect::Persist(self.state.clone()));
    }

    fn send(&mut self, to: u16, message: Message) {
        self.effects.push_back(Effect::Send(to, message));
    }

    /// Sends to all voters, including this gateway if it is one.
    fn send_all(&mut self, message: &Message) {
        (0..self.terms.voters).for_each(|to| self.send(to, message.clone()));
    }
}
