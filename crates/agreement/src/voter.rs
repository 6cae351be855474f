//! One gateway's part: it votes on the next version, learns what is committed, grants leases and holds one.
//!
//! Each version is decided by single-decree Paxos among the configured voters. A gateway acts under a lease that a quorum of
//! them has granted, on a *range* of versions: from the lowest that some other holder may still act on alone, as its voters
//! know, to the newest that it knows itself; it does only what every version of the range allows. A range of one version is
//! that version in full. A voter grants only the newest version that it knows, and tells with each grant the lowest version
//! of its other grants that have not run out by its own clock, slowest against fastest. Two quorums share a voter: whoever
//! acts while another one acts on a version in full has that version in its range.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::history::{History, Version};

/// Microseconds of a gateway's own clock, which never goes back while its process lives.
pub type Micros = u64;

/// Who proposes, and in which turn: the greater one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// The turn.
    pub turn: u32,
    /// The gateway's number.
    pub by: u16,
}

/// The settings of agreement.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Terms {
    /// This gateway's number.
    pub me: u16,
    /// How many gateways vote: those with the numbers from 0. All others ask and learn only.
    pub voters: u16,
    /// Whether this one votes and grants: it does not where it has lost what it kept.
    pub votes: bool,
    /// How long a lease lasts by its holder's clock, from when it asked.
    pub lease: Micros,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift_ppm: u64,
    /// The longest time from looking at the lease to the end of what is done on it.
    pub lease_check_margin: Micros,
    /// Faults planted on purpose, to see that the search finds them.
    pub fault: InjectedFault,
}

/// A fault planted on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// A lease counts from when its grant came.
    LeaseFromReceipt,
    /// What was accepted is forgotten at a restart.
    VoteNotKept,
    /// Half of the gateways are a quorum.
    HalfIsQuorum,
    /// A voter that has started again grants at once.
    NoWaitAfterStart,
    /// A voter tells of no other grants.
    OthersNotTold,
    /// A lease is not narrowed when a newer version is learned.
    NotNarrowed,
}

impl Terms {
    /// Gateways that make a quorum.
    pub fn quorum(&self) -> usize {
        let half = usize::from(self.voters) / 2;
        if self.fault == InjectedFault::HalfIsQuorum {
            half.max(1)
        } else {
            half + 1
        }
    }

    /// How long a voter holds a grant by its own clock: the holder's may run slow by the drift, its own fast by it.
    pub fn grant_duration(&self) -> Micros {
        let million = 1_000_000u64;
        let drift = self.drift_ppm.min(million / 2);
        ((self.lease as u128 * (million + drift) as u128).div_ceil((million - drift) as u128)) as Micros
    }

    /// The bound *T* in true time: so long after a quorum has learned of a version nobody acts on an earlier one alone.
    pub fn switch_bound(&self) -> Micros {
        let million = 1_000_000u64;
        let drift = self.drift_ppm.min(million / 2);
        ((self.grant_duration() as u128 * million as u128).div_ceil((million - drift) as u128)) as Micros
            + self.lease_check_margin
    }
}

/// What gateways say to each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Will you vote with this ballot on that version?
    Prepare(u64, Ballot),
    /// I will, with none before; and what I have accepted.
    Promise(u64, Ballot, Option<(Ballot, Version)>),
    /// Please accept.
    Accept(Ballot, Version),
    /// I have.
    Accepted(u64, Ballot),
    /// A version is committed.
    Committed(Version),
    /// I lack versions from that number on.
    MissingFrom(u64),
    /// Please grant me a lease on that version; asked at that time of mine, in that life.
    LeaseRequest(u64, Micros, u64),
    /// Granted: the lowest version that another one may still act on by this voter's grants; the question back.
    LeaseGrant(u64, u64, Micros, u64),
    /// That life of mine acts on nothing any more.
    LeaseRelease(u64),
    /// What you lack is not kept any more: go on after this number and hash.
    HistoryBase(u64, u64),
}

/// Grants of one voter that are remembered at once; further ones are not given.
pub const MAX_GRANTS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    version: u64,
    until: Micros,
    asked: Micros,
    /// The lowest version that its holder was last told of.
    told: u64,
}

/// What has to be kept before it is told to anybody.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// The history.
    pub history: History,
    /// The ballot promised for the next version.
    pub promised: Ballot,
    /// What was accepted for it.
    pub accepted: Option<(Ballot, Version)>,
    /// No vote on versions up to this number: votes on them may have been lost with an earlier file.
    pub abstain_through: u64,
}

/// Up to which number a voter that has lost its file must not vote, from the newest versions that a quorum of the *others*
/// know: whatever it had voted on came after a version that a quorum had accepted, each of which knew the one before that.
pub fn abstain_through(newest_of_others: &[u64]) -> u64 {
    newest_of_others.iter().max().map_or(0, |newest| newest + 2)
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Keep this, whole and for good, before any later effect is carried out.
    Persist(DurableState),
    /// Send to a gateway.
    Send(u16, Message),
    /// Send to all gateways that are known, voters or not.
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

/// A gateway's part. See the module's documentation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    terms: Terms,
    kept: DurableState,
    life: u64,
    /// Nothing newer than what was closed before is granted until then: an earlier life's grants may still hold.
    silent_until: Micros,
    /// This voter's grants by holder and its life.
    granted: BTreeMap<(u16, u64), Grant>,
    proposal: Option<Proposal>,
    turn: u32,
    /// The lease that is asked for: version, when, and who has granted it from which lowest version.
    asked: Option<(u64, Micros, BTreeMap<u16, u64>)>,
    /// The leases that are held: until when by the lowest version of the range, which ends with the newest known.
    held: BTreeMap<u64, Micros>,
    left: bool,
    effects: VecDeque<Effect>,
}

impl Voter {
    /// A gateway that starts at a time of its clock with what it kept; `life` differs at every start. One that is `fresh` has
    /// never granted anything.
    pub fn new(terms: Terms, kept: DurableState, life: u64, now: Micros, fresh: bool) -> Voter {
        let silent =
            if fresh || terms.fault == InjectedFault::NoWaitAfterStart { 0 } else { terms.grant_duration() };
        let mut kept = kept;
        if terms.fault == InjectedFault::VoteNotKept {
            (kept.promised, kept.accepted) = (Ballot::default(), None);
        }
        let turn = kept.promised.turn;
        Voter {
            silent_until: now + silent,
            terms,
            kept,
            life,
            granted: BTreeMap::new(),
            proposal: None,
            turn,
            asked: None,
            held: BTreeMap::new(),
            left: false,
            effects: VecDeque::new(),
        }
    }

    /// The next effect.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The committed history.
    pub fn history(&self) -> &History {
        &self.kept.history
    }

    /// What is kept.
    pub fn kept(&self) -> &DurableState {
        &self.kept
    }

    /// The range of versions that may be acted on at a time, if any, the lowest and the newest: what all of them allow. To
    /// be asked just before acting, which may take [`Terms::lease_check_margin`] from then on.
    pub fn usable_range(&self, now: Micros) -> Option<(u64, u64)> {
        let newest = self.kept.history.newest().0;
        let valid = |until: Micros| now + self.terms.lease_check_margin < until;
        let low = self.held.iter().rev().find(|(_, &until)| valid(until)).map(|(&low, _)| low)?;
        let top = if self.terms.fault == InjectedFault::NotNarrowed { low } else { newest };
        Some((low, top))
    }

    /// When the answer of [`Voter::usable_range`] changes by the mere passing of time; `None` if it does not.
    pub fn usable_until(&self, now: Micros) -> Option<Micros> {
        let (low, _) = self.usable_range(now)?;
        self.held.get(&low).map(|until| until.saturating_sub(self.terms.lease_check_margin))
    }

    /// Grants given that are remembered, and whether this voter keeps still after its start.
    pub fn grant_status(&self, now: Micros) -> (usize, bool) {
        (self.granted.len(), now < self.silent_until)
    }

    /// Proposes a content as the next version. Another may be committed in its place: see the history.
    pub fn propose(&mut self, content: &[u8]) {
        self.turn = self.turn.max(self.kept.promised.turn) + 1;
        let ballot = Ballot { turn: self.turn, by: self.terms.me };
        let promises = BTreeMap::new();
        self.proposal = Some(Proposal {
            content: content.to_vec(),
            ballot,
            promises,
            version: None,
            accepted: BTreeSet::new(),
        });
        let next = self.next();
        self.send_all(&Message::Prepare(next, ballot));
    }

    /// Asks for a lease on the newest version, or for it to be renewed.
    pub fn renew(&mut self, now: Micros) {
        if self.left {
            return;
        }
        let version = self.kept.history.newest().0;
        self.held.retain(|_, until| *until > now);
        self.asked = Some((version, now, BTreeMap::new()));
        self.send_all(&Message::LeaseRequest(version, now, self.life));
    }

    /// What was kept is not what was told: no votes and no grants from now on.
    pub fn abstain(&mut self) {
        self.terms.votes = false;
    }

    /// Whether this one votes and grants, after its start's silence.
    pub fn votes(&self) -> bool {
        self.terms.votes
    }

    /// Gives the lease back: nothing is acted on from now on.
    pub fn release_lease(&mut self) {
        self.left = true;
        self.held.clear();
        self.asked = None;
        self.send_all(&Message::LeaseRelease(self.life));
    }

    /// A message from a gateway.
    pub fn message(&mut self, now: Micros, from: u16, message: &Message) {
        match message {
            // One that does not vote says nothing that others could count.
            Message::Prepare(..) | Message::Accept(..) | Message::LeaseRequest(..) if !self.terms.votes => {}
            // Nor does one that has just started: others may still tell it that it has voted later than its file says.
            Message::Prepare(..) | Message::Accept(..) if now < self.silent_until => {}
            Message::Prepare(number, ballot) => {
                if self.may_vote(from, *number) && *ballot > self.kept.promised {
                    self.kept.promised = *ballot;
                    self.persist();
                    let accepted = self.kept.accepted.clone();
                    self.send(from, Message::Promise(*number, *ballot, accepted));
                }
            }
            Message::Promise(number, ballot, accepted) => self.promised(from, *number, *ballot, accepted),
            Message::Accept(ballot, version) => {
                if self.may_vote(from, version.number) && *ballot >= self.kept.promised {
                    self.kept.promised = *ballot;
                    self.kept.accepted = Some((*ballot, version.clone()));
                    self.persist();
                    self.send(from, Message::Accepted(version.number, *ballot));
                }
            }
            Message::Accepted(number, ballot) => {
                let quorum = self.terms.quorum();
                let next = self.next();
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
                let newest = self.kept.history.newest().0;
                if version.number > newest + 1 {
                    self.send(from, Message::MissingFrom(newest + 1));
                } else if version.number == newest + 1 {
                    self.commit(version);
                }
            }
            Message::MissingFrom(number) => {
                let history = &self.kept.history;
                let (base, hash) = history.base();
                let versions: Vec<Version> =
                    history.versions().iter().filter(|v| v.number >= *number).take(8).cloned().collect();
                if *number <= base {
                    self.send(from, Message::HistoryBase(base, hash));
                }
                versions.into_iter().for_each(|v| self.send(from, Message::Committed(v)));
                // A voter that lacked the version could not grant it: it is asked again, as of when it was asked first.
                let open = self.asked.as_ref().filter(|(_, _, by)| !by.contains_key(&from));
                if let Some(&(version, at, _)) = open {
                    self.send(from, Message::LeaseRequest(version, at, self.life));
                }
            }
            Message::LeaseRequest(version, at, life) => self.ask(now, from, *version, *at, *life),
            Message::LeaseGrant(version, low, at, life) => {
                let quorum = self.terms.quorum();
                let Some((asked, when, by)) = &mut self.asked else { return };
                // A grant of another life or of an earlier question says nothing of this one.
                if (*asked, *when) != (*version, *at) || *life != self.life {
                    return;
                }
                by.insert(from, *low);
                // Any quorum of those who granted will do: the one that knows of the fewest earlier grants.
                let mut lows: Vec<u64> = by.values().copied().collect();
                lows.sort_unstable_by(|a, b| b.cmp(a));
                if let Some(&low) = lows.get(quorum - 1) {
                    let since = if self.terms.fault == InjectedFault::LeaseFromReceipt { now } else { *when };
                    let until = since + self.terms.lease;
                    let held = self.held.entry(low).or_insert(until);
                    *held = until.max(*held);
                }
            }
            Message::LeaseRelease(life) => {
                self.granted.remove(&(from, *life));
                self.granted.retain(|_, grant| grant.until > now);
                self.tell_of_the_last();
            }
            Message::HistoryBase(number, hash) => {
                if *number > self.kept.history.newest().0 {
                    // What came in between is not kept by anybody who was asked: a range over the gap allows nothing.
                    self.kept.history = History::starting_after(*number, *hash);
                    self.forget_votes();
                    self.persist();
                    self.send(from, Message::MissingFrom(*number + 1));
                }
            }
        }
    }

    fn next(&self) -> u64 {
        self.kept.history.newest().0 + 1
    }

    fn may_vote(&mut self, from: u16, number: u64) -> bool {
        self.is_next(from, number) && number > self.kept.abstain_through
    }

    /// Whether a number is that of the version that is voted on here; who is behind is told, who is ahead is asked.
    fn is_next(&mut self, from: u16, number: u64) -> bool {
        let next = self.next();
        if number < next {
            if let Some(version) = self.kept.history.get(number).cloned() {
                self.send(from, Message::Committed(version));
            }
        } else if number > next {
            self.send(from, Message::MissingFrom(next));
        }
        number == next
    }

    fn promised(&mut self, from: u16, number: u64, ballot: Ballot, accepted: &Option<(Ballot, Version)>) {
        let (next, quorum) = (self.next(), self.terms.quorum());
        let (at, hash) = self.kept.history.newest();
        let Some(p) = self.proposal.as_mut().filter(|p| p.ballot == ballot && number == next) else { return };
        p.promises.insert(from, accepted.clone());
        if p.promises.len() < quorum || p.version.is_some() {
            return;
        }
        // What somebody may have committed already goes before the own content.
        let found = p.promises.values().flatten().max_by_key(|a| a.0).map(|a| a.1.clone());
        let version = found.unwrap_or_else(|| Version::after(at, hash, &p.content));
        p.version = Some(version.clone());
        self.send_all(&Message::Accept(ballot, version));
    }

    fn commit(&mut self, version: &Version) {
        if !self.kept.history.add(version) {
            return;
        }
        self.forget_votes();
        self.persist();
        self.effects.push_back(Effect::Committed(version.clone()));
    }

    /// What was voted on is decided. A lease that is held goes on, on what the new version allows too.
    fn forget_votes(&mut self) {
        (self.kept.promised, self.kept.accepted) = (Ballot::default(), None);
        self.proposal = None;
        self.asked = None;
    }

    fn ask(&mut self, now: Micros, from: u16, version: u64, at: Micros, life: u64) {
        let newest = self.kept.history.newest().0;
        if version > newest {
            return self.send(from, Message::MissingFrom(newest + 1));
        }
        if version < newest {
            // Closed: what it may hold still runs out, and is never renewed.
            return match self.kept.history.get(version + 1).cloned() {
                Some(next) => self.send(from, Message::Committed(next)),
                None => self.message(now, from, &Message::MissingFrom(version + 1)),
            };
        }
        if now < self.silent_until {
            // Grants by a life before this one may still hold, and nobody knows on what.
            return;
        }
        self.granted.retain(|_, grant| grant.until > now);
        let before = self.granted.get(&(from, life)).copied();
        // A question that came before, or a copy of it, is no sign that it is still asked.
        let stale = before.is_some_and(|b| at <= b.asked);
        if stale || self.granted.len() >= MAX_GRANTS && before.is_none() {
            return;
        }
        // Who asks for this version acts within it from then on, whatever it had been granted before.
        let others = self.granted.iter().filter(|(who, _)| **who != (from, life)).map(|(_, g)| g.version);
        let low = if self.terms.fault == InjectedFault::OthersNotTold {
            newest
        } else {
            others.fold(newest, u64::min)
        };
        let until = (now + self.terms.grant_duration()).max(before.map_or(0, |b| b.until));
        self.granted.insert((from, life), Grant { version, until, asked: at, told: low });
        self.send(from, Message::LeaseGrant(version, low, at, life));
        self.tell_of_the_last();
    }

    /// Once nobody acts on an earlier version alone any more, all who were granted the newest one beside it hear of that at
    /// once, not with their next question. What they hold is still counted from the one before.
    fn tell_of_the_last(&mut self) {
        let newest = self.kept.history.newest().0;
        if self.granted.values().any(|g| g.version != newest) {
            return;
        }
        let mut told = Vec::new();
        for (&(to, life), grant) in self.granted.iter_mut().filter(|(_, g)| g.told < newest) {
            grant.told = newest;
            told.push((to, Message::LeaseGrant(newest, newest, grant.asked, life)));
        }
        told.into_iter().for_each(|(to, message)| self.send(to, message));
    }

    fn persist(&mut self) {
        self.effects.push_back(Effect::Persist(self.kept.clone()));
    }

    fn send(&mut self, to: u16, message: Message) {
        self.effects.push_back(Effect::Send(to, message));
    }

    /// To all voters, this one among them if it is one.
    fn send_all(&mut self, message: &Message) {
        (0..self.terms.voters).for_each(|to| self.send(to, message.clone()));
    }
}
