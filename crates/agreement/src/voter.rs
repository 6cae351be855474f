//! One gateway's part: it votes on the next version, learns what is committed, grants leases and holds one.
//!
//! Each version is decided by single-decree Paxos among the configured gateways. A lease on a version is held by whom a
//! quorum has granted it; a voter grants a version only after it has closed all earlier ones: it never grants them again,
//! and what it had granted has run out by its own clock, slowest against fastest. Two quorums share a voter, so a lease on
//! a version and one on a later version cannot both be held.

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
    /// How many gateways are configured; numbers count from 0.
    pub of: u16,
    /// How long a lease lasts by its holder's clock, from when it asked.
    pub lease: Micros,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift: u64,
    /// The longest time from looking at the lease to the end of what is done on it.
    pub check: Micros,
    /// Faults planted on purpose, to see that the search finds them.
    pub plant: Plant,
}

/// A fault planted on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Plant {
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
}

impl Terms {
    /// Gateways that make a quorum.
    pub fn quorum(&self) -> usize {
        let half = usize::from(self.of) / 2;
        if self.plant == Plant::HalfIsQuorum {
            half.max(1)
        } else {
            half + 1
        }
    }

    /// How long a voter holds a grant by its own clock: the holder's may run slow by the drift, its own fast by it.
    pub fn grant(&self) -> Micros {
        let million = 1_000_000u64;
        let drift = self.drift.min(million / 2);
        ((self.lease as u128 * (million + drift) as u128).div_ceil((million - drift) as u128)) as Micros
    }

    /// The bound *T* in true time: so long after a quorum has learned of a version nobody acts on an earlier one.
    pub fn bound(&self) -> Micros {
        let million = 1_000_000u64;
        let drift = self.drift.min(million / 2);
        ((self.grant() as u128 * million as u128).div_ceil((million - drift) as u128)) as Micros + self.check
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
    Lack(u64),
    /// Please grant me a lease on that version; asked at that time of mine, in that life.
    Ask(u64, Micros, u64),
    /// Granted; the same back.
    Grant(u64, Micros, u64),
}

/// What has to be kept before it is told to anybody.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Kept {
    /// The history.
    pub history: History,
    /// The ballot promised for the next version.
    pub promised: Ballot,
    /// What was accepted for it.
    pub accepted: Option<(Ballot, Version)>,
}

/// What is to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Keep this, whole and for good, before any later effect is carried out.
    Keep(Kept),
    /// Send to a gateway.
    Send(u16, Message),
    /// A version is committed.
    Learned(Version),
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
    kept: Kept,
    life: u64,
    /// Nothing newer than what was closed before is granted until then: an earlier life's grants may still hold.
    silent_until: Micros,
    /// Until when this voter's grants of each version hold, at the latest.
    granted: BTreeMap<u64, Micros>,
    proposal: Option<Proposal>,
    turn: u32,
    /// The lease that is asked for: version, when, and who has granted it.
    asked: Option<(u64, Micros, BTreeSet<u16>)>,
    /// The lease that is held: version, and until when.
    held: Option<(u64, Micros)>,
    effects: VecDeque<Effect>,
}

impl Voter {
    /// A gateway that starts at a time of its clock with what it kept; `life` differs at every start.
    pub fn new(terms: Terms, kept: Kept, life: u64, now: Micros) -> Voter {
        let silent = if terms.plant == Plant::NoWaitAfterStart { 0 } else { terms.grant() };
        let mut kept = kept;
        if terms.plant == Plant::VoteNotKept {
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
            held: None,
            effects: VecDeque::new(),
        }
    }

    /// The next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The committed history.
    pub fn history(&self) -> &History {
        &self.kept.history
    }

    /// What is kept.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The version that may be acted on at a time, if any: to be asked just before acting, which may take
    /// [`Terms::check`] from then on.
    pub fn acts_on(&self, now: Micros) -> Option<u64> {
        self.held.filter(|(_, until)| now + self.terms.check < *until).map(|h| h.0)
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
        let version = self.kept.history.newest().0;
        if version == 0 {
            return;
        }
        if self.held.is_some_and(|(held, _)| held < version) {
            // An older lease is given up before a newer one is asked for.
            self.held = None;
        }
        self.asked = Some((version, now, BTreeSet::new()));
        self.send_all(&Message::Ask(version, now, self.life));
    }

    /// A message from a gateway.
    pub fn message(&mut self, now: Micros, from: u16, message: &Message) {
        match message {
            Message::Prepare(number, ballot) => {
                if self.is_next(from, *number) && *ballot > self.kept.promised {
                    self.kept.promised = *ballot;
                    self.keep();
                    let accepted = self.kept.accepted.clone();
                    self.send(from, Message::Promise(*number, *ballot, accepted));
                }
            }
            Message::Promise(number, ballot, accepted) => self.promised(from, *number, *ballot, accepted),
            Message::Accept(ballot, version) => {
                if self.is_next(from, version.number) && *ballot >= self.kept.promised {
                    self.kept.promised = *ballot;
                    self.kept.accepted = Some((*ballot, version.clone()));
                    self.keep();
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
                        self.send_all(&Message::Committed(version));
                    }
                }
            }
            Message::Committed(version) => {
                let newest = self.kept.history.newest().0;
                if version.number > newest + 1 {
                    self.send(from, Message::Lack(newest + 1));
                } else if version.number == newest + 1 {
                    self.commit(version);
                }
            }
            Message::Lack(number) => {
                let versions: Vec<Version> =
                    self.kept.history.all().iter().filter(|v| v.number >= *number).take(8).cloned().collect();
                versions.into_iter().for_each(|v| self.send(from, Message::Committed(v)));
            }
            Message::Ask(version, at, life) => self.ask(now, from, *version, *at, *life),
            Message::Grant(version, at, life) => {
                let quorum = self.terms.quorum();
                let Some((asked, when, by)) = &mut self.asked else { return };
                // A grant of another life or of an earlier question says nothing of this one.
                if (*asked, *when) != (*version, *at) || *life != self.life {
                    return;
                }
                by.insert(from);
                if by.len() >= quorum && *version == self.kept.history.newest().0 {
                    let since = if self.terms.plant == Plant::LeaseFromReceipt { now } else { *when };
                    self.held = Some((*version, since + self.terms.lease));
                }
            }
        }
    }

    fn next(&self) -> u64 {
        self.kept.history.newest().0 + 1
    }

    /// Whether a number is that of the version that is voted on here; who is behind is told, who is ahead is asked.
    fn is_next(&mut self, from: u16, number: u64) -> bool {
        let next = self.next();
        if number < next {
            if let Some(version) = self.kept.history.get(number).cloned() {
                self.send(from, Message::Committed(version));
            }
        } else if number > next {
            self.send(from, Message::Lack(next));
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
        (self.kept.promised, self.kept.accepted) = (Ballot::default(), None);
        self.proposal = None;
        self.asked = None;
        // Whoever knows of a newer version acts on the old one no more.
        self.held = None;
        self.keep();
        self.effects.push_back(Effect::Learned(version.clone()));
    }

    fn ask(&mut self, now: Micros, from: u16, version: u64, at: Micros, life: u64) {
        let newest = self.kept.history.newest().0;
        if version > newest {
            return self.send(from, Message::Lack(newest + 1));
        }
        if version < newest {
            // Closed: what it may hold still runs out, and is never renewed.
            if let Some(version) = self.kept.history.get(version + 1).cloned() {
                self.send(from, Message::Committed(version));
            }
            return;
        }
        let earlier = self.granted.range(..version).map(|g| *g.1).max().unwrap_or(0);
        if now < earlier.max(self.silent_until) {
            // Grants of an earlier version, by this life or one before it, may still hold.
            return;
        }
        let until = now + self.terms.grant();
        self.granted.retain(|&v, _| v == version);
        let held = self.granted.entry(version).or_insert(until);
        *held = until.max(*held);
        self.send(from, Message::Grant(version, at, life));
    }

    fn keep(&mut self) {
        self.effects.push_back(Effect::Keep(self.kept.clone()));
    }

    fn send(&mut self, to: u16, message: Message) {
        self.effects.push_back(Effect::Send(to, message));
    }

    /// To all configured gateways, this one among them.
    fn send_all(&mut self, message: &Message) {
        (0..self.terms.of).for_each(|to| self.send(to, message.clone()));
    }
}
