//! One gateway's whole part, by names: the voter, contents that are fetched in parts, proposals of operators and when what
//! is due. Free of I/O and clock; whoever holds it carries out one effect after the other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::history::{Version, MAX_VERSIONS};
use crate::lists::{EngineClaims, EngineState, ListEffect};
use crate::voter::{DurableState, Effect as Inner, Message, Micros, Terms, Voter};
use crate::wire::{self, DecodeError, Digest32, PeerMessage, CHUNK_BYTES, MAX_CONTENT_BYTES};

/// Contents that are fetched at once, sayings that wait for one, parts that are sent for one question.
const FETCHES: usize = 4;
const WAITING: usize = 16;
const PARTS: usize = 8;
/// A question for parts is asked again after this span, and given up after so many.
const ASK_AGAIN: Micros = 200_000;
const ASKS: u32 = 25;
/// A proposal is tried again after about this span, and its operator told that its end is not known after the other.
const TRY_AGAIN: Micros = 300_000;
const PATIENCE: Micros = 5_000_000;
/// A lease on one version is renewed so many times while it lasts; where there is none, or one on a range, it is asked for
/// so many times: a lost answer must not cost a renewal's time.
const RENEWALS: u64 = 4;
const ASKED: u64 = 16;
/// Gateways that do not vote and are known by number at once.
const OTHERS: usize = 8_192;

/// The settings of a gateway's part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberTerms {
    /// This gateway's name.
    pub name: String,
    /// The names of those that vote, in the order that all have.
    pub voters: Vec<String>,
    /// See [`Terms::votes`].
    pub votes: bool,
    /// See [`Terms::lease`].
    pub lease: Micros,
    /// See [`Terms::drift_ppm`].
    pub drift_ppm: u64,
    /// See [`Terms::lease_check_margin`].
    pub lease_check_margin: Micros,
    /// A mark of all that gateways must have in common: who has another one is not understood.
    pub fingerprint: u64,
}

impl MemberTerms {
    /// The terms of the voter.
    pub fn voter(&self) -> Terms {
        let place = self.voters.iter().position(|v| *v == self.name);
        Terms {
            me: place.unwrap_or(usize::from(u16::MAX)) as u16,
            voters: self.voters.len() as u16,
            votes: self.votes && place.is_some(),
            lease: self.lease,
            drift_ppm: self.drift_ppm,
            lease_check_margin: self.lease_check_margin,
            fault: crate::InjectedFault::None,
        }
    }
}

/// How a proposal ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is the version with this number.
    Committed(u64),
    /// Another content is.
    Conflict(u64),
    /// So many voters found it unfit that no quorum is left; the first reason.
    Unfit(String),
    /// No quorum answered in time: it may still become a version, with the next proposal.
    Unknown,
}

/// Why a proposal is not even begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// This gateway does not vote; these do.
    NotVoter(Vec<String>),
    /// It does not pass the check here.
    Unfit(String),
    /// Another one of this gateway is under way.
    Busy,
    /// It was made for another version than the newest, which is this one.
    Stale(u64),
}

/// What is to be done, in order: the next one is asked for only when the one before it is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Keep these octets, whole and for good.
    Persist(Vec<u8>),
    /// Say something to a gateway.
    Send(String, Vec<u8>),
    /// Say something to all gateways that are known.
    Broadcast(Vec<u8>),
    /// A version is committed.
    Committed(Version),
    /// The proposal has ended.
    ProposalEnded(Outcome),
    /// A gateway has other terms than this one.
    TermsMismatch(String),
    /// Another one remembers a later vote than what was kept tells: the file is an old copy. No votes from now on.
    StaleVoteFile,
}

struct Fetch {
    from: String,
    length: u32,
    parts: Vec<Option<Vec<u8>>>,
    asked: Micros,
    asks: u32,
    waiting: Vec<(String, Vec<u8>)>,
}

struct Proposal {
    content: Vec<u8>,
    number: u64,
    /// Voters that find it fit as things are; `None` once a quorum of them has, and it is voted on.
    fit: Option<BTreeSet<String>>,
    again: Micros,
    until: Micros,
    unfit: BTreeMap<String, String>,
}

/// What passes a content before it is voted on.
pub type Check = Box<dyn Fn(&[u8]) -> Result<(), String>>;

/// What finds a content fit to follow a version, as things are now: whether anything in it depends on when and by whom that is
/// asked. If so, a quorum has to find it fit before it is voted on. It is not asked again then: a vote that hung on the moment
/// could leave a number without a version.
pub type Fitness = Box<dyn Fn(&[u8], Option<&Version>) -> Result<bool, String>>;

/// A gateway's part. See the module's documentation.
pub struct Member {
    terms: MemberTerms,
    voter: Voter,
    check: Check,
    fitness: Fitness,
    others: BTreeMap<String, u16>,
    contents: VecDeque<(Digest32, Vec<u8>)>,
    fetches: BTreeMap<Digest32, Fetch>,
    proposal: Option<Proposal>,
    lists: EngineClaims,
    renew: Micros,
    writes: u64,
    /// How often voters had kept something, as far as was heard of them.
    remembered: BTreeMap<String, u64>,
    dice: u64,
    effects: VecDeque<Effect>,
    /// Sayings taken, sayings that could not be read, sayings of gateways with other terms.
    pub counts: [u64; 3],
}

impl Member {
    /// A gateway that starts with what it kept; `life` differs at every start.
    pub fn new(
        terms: MemberTerms,
        kept: (DurableState, u64),
        life: u64,
        now: Micros,
        check: Check,
    ) -> Member {
        // Written at every start before anything is granted: whether a life before this one can have granted something.
        let fresh = kept.1 == 0;
        // A life's counts begin where no earlier one's can have come to.
        let lists = EngineClaims::new(&terms.name, now);
        let start = wire::encode_vote_file(&kept.0, terms.fingerprint, kept.1 + 1);
        let mut member = Member {
            voter: Voter::new(terms.voter(), kept.0, life, now, fresh),
            terms,
            check,
            fitness: Box::new(|_, _| Ok(false)),
            others: BTreeMap::new(),
            contents: VecDeque::new(),
            fetches: BTreeMap::new(),
            proposal: None,
            lists,
            renew: now,
            writes: kept.1 + 1,
            remembered: BTreeMap::new(),
            dice: life | 1,
            effects: VecDeque::from([Effect::Persist(start)]),
            counts: [0; 3],
        };
        let kept = member.voter.kept().clone();
        let accepted = kept.accepted.iter().map(|a| &a.1);
        kept.history.versions().iter().chain(accepted).for_each(|v| member.store(&v.content));
        member
    }

    /// With what finds contents fit to follow the newest version.
    #[must_use]
    pub fn with_fitness(mut self, fitness: Fitness) -> Member {
        self.fitness = fitness;
        self
    }

    /// Whether a content is fit to follow the newest version here and now.
    ///
    /// # Errors
    /// Why not.
    pub fn fit(&self, content: &[u8]) -> Result<bool, String> {
        (self.check)(content)?;
        let history = self.voter.history();
        let newest = history.newest().0;
        let before = history.get(newest);
        if newest > 0 && before.is_none() {
            return Err("the version before it is not known here".into());
        }
        (self.fitness)(content, before)
    }

    /// The voter, to look at.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// See [`Voter::usable_range`].
    pub fn usable_range(&self, now: Micros) -> Option<(u64, u64)> {
        self.voter.usable_range(now)
    }

    /// When [`Member::wake`] should be called next.
    pub fn next_wake(&self) -> Micros {
        let fetches = self.fetches.values().map(|f| f.asked + ASK_AGAIN).min();
        let proposal = self.proposal.as_ref().map(|p| p.again.min(p.until));
        [Some(self.renew), fetches, proposal, self.lists.next_wake()]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// The next effect, once the one before it is done.
    pub fn next_effect(&mut self, now: Micros) -> Option<Effect> {
        loop {
            if let Some(effect) = self.effects.pop_front() {
                return Some(effect);
            }
            match self.voter.next_effect()? {
                Inner::Persist(kept) => {
                    self.writes += 1;
                    let bytes = wire::encode_vote_file(&kept, self.terms.fingerprint, self.writes);
                    return Some(Effect::Persist(bytes));
                }
                Inner::Send(to, message) if to == self.terms.voter().me => {
                    let unfit =
                        matches!(&message, Message::Accept(_, v) if (self.check)(&v.content).is_err());
                    if !unfit {
                        self.voter.message(now, to, &message);
                    }
                }
                Inner::Send(to, message) => {
                    let voter = self.terms.voters.get(usize::from(to)).cloned();
                    let other = || self.others.iter().find(|o| *o.1 == to).map(|o| o.0.clone());
                    let said =
                        PeerMessage::Protocol(self.terms.fingerprint, self.told_writes(), message).encode();
                    if let Some(name) = voter.or_else(other) {
                        return Some(Effect::Send(name, said));
                    }
                }
                Inner::Broadcast(message) => {
                    let said =
                        PeerMessage::Protocol(self.terms.fingerprint, self.told_writes(), message).encode();
                    return Some(Effect::Broadcast(said));
                }
                Inner::Committed(version) => {
                    self.store(&version.content);
                    self.ended(&version);
                    // The lease on it is asked for at once.
                    self.renew = now;
                    return Some(Effect::Committed(version));
                }
            }
        }
    }

    /// One that does not vote has kept nothing that others should remember.
    fn told_writes(&self) -> u64 {
        if self.voter.votes() {
            self.writes
        } else {
            0
        }
    }

    /// What is to be done about lists, at once: a drain does not wait until a vote is on disk.
    pub fn next_list_effect(&mut self) -> Option<ListEffect> {
        self.lists.next_effect()
    }

    /// Something that another gateway said; who it is has been proved.
    pub fn receive(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        let contents = &self.contents;
        let find = |name: &Digest32| contents.iter().find(|c| c.0 == *name).map(|c| c.1.clone());
        match PeerMessage::decode(bytes, &find) {
            Ok(said) => self.said(now, from, said),
            Err(DecodeError::Malformed) => self.counts[1] += 1,
            Err(DecodeError::MissingContent(name, length)) => {
                let room = self.fetches.len() < FETCHES;
                if !self.fetches.contains_key(&name) && room {
                    let waiting = Vec::new();
                    let parts = vec![None; (length as usize).div_ceil(CHUNK_BYTES)];
                    let from = from.to_owned();
                    self.fetches.insert(name, Fetch { from, length, parts, asked: now, asks: 0, waiting });
                    self.want(now, name);
                }
                if let Some(fetch) = self.fetches.get_mut(&name).filter(|f| f.waiting.len() < WAITING) {
                    fetch.waiting.push((from.to_owned(), bytes.to_vec()));
                }
            }
        }
    }

    fn said(&mut self, now: Micros, from: &str, said: PeerMessage) {
        self.counts[0] += 1;
        match said {
            PeerMessage::Protocol(fingerprint, ..) if fingerprint != self.terms.fingerprint => {
                self.counts[2] += 1;
                // Once in a while: it goes on until somebody mends it.
                if self.counts[2].is_power_of_two() {
                    self.effects.push_back(Effect::TermsMismatch(from.to_owned()));
                }
            }
            PeerMessage::Protocol(_, writes, message) => {
                let Some(number) = self.number(from) else { return };
                if usize::from(number) < self.terms.voters.len() && writes > 0 {
                    let known = self.remembered.entry(from.to_owned()).or_default();
                    *known = writes.max(*known);
                    if *known > writes {
                        // Late datagrams are answered as well: that harms nobody.
                        let said = PeerMessage::KnownWrites(*known).encode();
                        self.effects.push_back(Effect::Send(from.to_owned(), said));
                    }
                }
                if let Message::Accept(_, version) = &message {
                    // No vote for what this gateway could not act on.
                    if let Err(why) = (self.check)(&version.content) {
                        let said = PeerMessage::Unfit(version.number, why).encode();
                        return self.effects.push_back(Effect::Send(from.to_owned(), said));
                    }
                }
                if let Message::Accept(_, v) | Message::Promise(_, _, Some((_, v))) = &message {
                    self.store(&v.content);
                }
                self.voter.message(now, number, &message);
            }
            PeerMessage::KnownWrites(writes) => {
                let voter = self.terms.voters.iter().any(|v| v == from);
                if voter && writes > self.writes && self.voter.votes() {
                    self.voter.abstain();
                    self.effects.push_back(Effect::StaleVoteFile);
                }
            }
            PeerMessage::Unfit(number, why) => {
                let (quorum, voters) = (self.terms.voter().quorum(), self.terms.voters.len());
                let votes = self.terms.voters.iter().any(|v| v == from);
                let Some(p) = self.proposal.as_mut().filter(|p| p.number == number && votes) else { return };
                p.unfit.insert(from.to_owned(), why);
                if p.unfit.len() > voters - quorum {
                    let why = p.unfit.iter().next().map(|(who, why)| format!("{who}: {why}"));
                    self.proposal = None;
                    self.effects.push_back(Effect::ProposalEnded(Outcome::Unfit(why.unwrap_or_default())));
                }
            }
            PeerMessage::FitnessRequest(fingerprint, version) if fingerprint == self.terms.fingerprint => {
                let (number, hash) = self.voter.history().newest();
                // Who asks about another one is behind, or ahead: leases tell.
                let next = version == Version::after(number, hash, &version.content);
                if next && self.voter.votes() {
                    let said = match self.fit(&version.content) {
                        Ok(_) => PeerMessage::Fit(version.number, version.hash),
                        Err(why) => PeerMessage::Unfit(version.number, why),
                    };
                    self.effects.push_back(Effect::Send(from.to_owned(), said.encode()));
                }
            }
            PeerMessage::FitnessRequest(..) => self.counts[2] += 1,
            PeerMessage::Fit(number, hash) => {
                let voter = self.terms.voters.iter().any(|v| v == from);
                let (newest, before) = self.voter.history().newest();
                let Some(p) = self.proposal.as_mut().filter(|p| p.number == number && voter) else { return };
                if Version::after(newest, before, &p.content).hash != hash {
                    return;
                }
                if let Some(fit) = &mut p.fit {
                    fit.insert(from.to_owned());
                    self.vote(now);
                }
            }
            PeerMessage::ContentRequest(name, at) => {
                let Some(content) = self.contents.iter().find(|c| c.0 == name).map(|c| &c.1) else { return };
                // From there to the end of its row of parts, at least one of them.
                let row = PARTS - (at as usize / CHUNK_BYTES) % PARTS;
                let parts = content.get(at as usize..).unwrap_or_default().chunks(CHUNK_BYTES).take(row);
                let mut at = at;
                for part in parts {
                    let said =
                        PeerMessage::ContentChunk(name, at, content.len() as u32, part.to_vec()).encode();
                    self.effects.push_back(Effect::Send(from.to_owned(), said));
                    at += part.len() as u32;
                }
            }
            PeerMessage::ContentChunk(name, at, of, part) => self.part(now, name, at, of, &part),
            PeerMessage::EngineClaim(claim) => self.lists.heard(now, claim),
        }
    }

    fn part(&mut self, now: Micros, name: Digest32, at: u32, of: u32, part: &[u8]) {
        let Some(fetch) = self.fetches.get_mut(&name).filter(|f| f.length == of) else { return };
        let place = at as usize / CHUNK_BYTES;
        let fits =
            at as usize % CHUNK_BYTES == 0 && part.len() == CHUNK_BYTES.min((of - at.min(of)) as usize);
        let Some(slot) = fetch.parts.get_mut(place).filter(|slot| fits && slot.is_none()) else { return };
        *slot = Some(part.to_vec());
        fetch.asks = 0;
        if fetch.parts.iter().all(Option::is_some) {
            let Some(fetch) = self.fetches.remove(&name) else { return };
            let content = fetch.parts.into_iter().flatten().flatten().collect::<Vec<u8>>();
            if wire::digest(&content) == name {
                self.store(&content);
                fetch.waiting.into_iter().for_each(|(from, bytes)| self.receive(now, &from, &bytes));
            }
        } else if (place + 1) % PARTS == 0 {
            // The last of those that were asked for: what is missing before it has been lost, or comes yet.
            self.want(now, name);
        }
    }

    fn want(&mut self, now: Micros, name: Digest32) {
        let Some(fetch) = self.fetches.get_mut(&name) else { return };
        fetch.asked = now;
        let missing = fetch.parts.iter().position(Option::is_none).unwrap_or(0);
        let said = PeerMessage::ContentRequest(name, (missing * CHUNK_BYTES) as u32).encode();
        self.effects.push_back(Effect::Send(fetch.from.clone(), said));
    }

    fn store(&mut self, content: &[u8]) {
        let name = wire::digest(content);
        if self.contents.iter().any(|c| c.0 == name) {
            return;
        }
        self.contents.push_back((name, content.to_vec()));
        if self.contents.len() > MAX_VERSIONS + PARTS {
            self.contents.pop_front();
        }
    }

    /// The number of a gateway: its place among the voters, or one that only this process knows it by.
    fn number(&mut self, name: &str) -> Option<u16> {
        if let Some(place) = self.terms.voters.iter().position(|v| v == name) {
            return Some(place as u16);
        }
        if let Some(&number) = self.others.get(name) {
            return Some(number);
        }
        let next = (self.terms.voters.len() + self.others.len()) as u16;
        (self.others.len() < OTHERS).then(|| {
            self.others.insert(name.to_owned(), next);
            next
        })
    }

    /// Proposes a content as the version after `after`, or after the newest.
    ///
    /// # Errors
    /// Why it is not begun.
    pub fn propose(&mut self, now: Micros, content: &[u8], after: Option<u64>) -> Result<(), ProposeError> {
        let newest = self.voter.history().newest().0;
        if !self.voter.votes() {
            return Err(ProposeError::NotVoter(self.terms.voters.clone()));
        }
        if self.proposal.is_some() {
            return Err(ProposeError::Busy);
        }
        if after.is_some_and(|after| after != newest) {
            return Err(ProposeError::Stale(newest));
        }
        if content.len() > MAX_CONTENT_BYTES {
            return Err(ProposeError::Unfit(format!("it has over {MAX_CONTENT_BYTES} octets")));
        }
        let asked = self.fit(content).map_err(ProposeError::Unfit)?;
        self.store(content);
        let (number, until) = (newest + 1, now + PATIENCE);
        let content = content.to_vec();
        let fit = asked.then(|| BTreeSet::from([self.terms.name.clone()]));
        self.proposal = Some(Proposal { content, number, fit, again: now, until, unfit: BTreeMap::new() });
        self.wake(now);
        Ok(())
    }

    /// Has a proposal voted on once a quorum finds it fit; it is asked about until then.
    fn vote(&mut self, now: Micros) {
        let quorum = self.terms.voter().quorum();
        let (number, hash) = self.voter.history().newest();
        // What follows another version than the one that it was found fit to follow is not proposed.
        let Some(p) = self.proposal.as_mut().filter(|p| p.number == number + 1) else { return };
        match &p.fit {
            Some(fit) if fit.len() < quorum => {
                let said = PeerMessage::FitnessRequest(
                    self.terms.fingerprint,
                    Version::after(number, hash, &p.content),
                )
                .encode();
                let ask = self.terms.voters.iter().filter(|v| !fit.contains(*v));
                let asked: Vec<Effect> = ask.map(|v| Effect::Send(v.clone(), said.clone())).collect();
                if p.again <= now {
                    self.effects.extend(asked);
                }
            }
            _ => {
                p.fit = None;
                let content = p.content.clone();
                self.voter.propose(&content);
            }
        }
    }

    /// A version is committed: what that means for the proposal.
    fn ended(&mut self, version: &Version) {
        let Some(p) = self.proposal.take_if(|p| p.number <= version.number) else { return };
        let own = p.number == version.number && p.content == version.content;
        let outcome =
            if own { Outcome::Committed(version.number) } else { Outcome::Conflict(version.number) };
        self.effects.push_back(Effect::ProposalEnded(outcome));
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros) {
        self.lists.wake(now);
        if self.renew <= now {
            let settled = self.usable_range(now).is_some_and(|(low, top)| low == top);
            let times = if settled { RENEWALS } else { ASKED };
            self.renew = now + self.terms.lease / times;
            self.voter.renew(now);
        }
        let late: Vec<Digest32> =
            self.fetches.iter().filter(|(_, f)| f.asked + ASK_AGAIN <= now).map(|f| *f.0).collect();
        for name in late {
            if let Some(fetch) = self.fetches.get_mut(&name) {
                fetch.asks += 1;
                if fetch.asks > ASKS {
                    self.fetches.remove(&name);
                } else {
                    // Whoever named it first may be gone; the others who did have it too.
                    let others = &fetch.waiting;
                    fetch.from.clone_from(&others[fetch.asks as usize % others.len()].0);
                    self.want(now, name);
                }
            }
        }
        let Some(p) = &mut self.proposal else { return };
        if p.until <= now {
            self.proposal = None;
            return self.effects.push_back(Effect::ProposalEnded(Outcome::Unknown));
        }
        if p.again <= now {
            // Two that propose at once must not do so in step.
            self.dice ^= self.dice << 13;
            self.dice ^= self.dice >> 7;
            self.dice ^= self.dice << 17;
            let again = now + TRY_AGAIN + self.dice % TRY_AGAIN;
            self.vote(now);
            if let Some(p) = &mut self.proposal {
                p.again = again;
            }
        }
    }

    /// The own list has been read; see [`EngineClaims::listed`].
    pub fn set_engine_list(&mut self, now: Micros, list: BTreeMap<String, (u64, EngineState)>) {
        self.lists.listed(now, list);
    }

    /// See [`EngineClaims::claimed_states`].
    pub fn claimed_states(&self) -> BTreeMap<String, (u64, EngineState)> {
        self.lists.claimed_states()
    }

    /// Gives the lease back, before this process ends.
    pub fn release_lease(&mut self) {
        self.voter.release_lease();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_is_told_while_a_vote_waits_for_its_disk() {
        let name = "g0".to_owned();
        let voters = vec![name.clone(), "g1".into(), "g2".into()];
        let terms = MemberTerms {
            name,
            voters,
            votes: true,
            lease: 1_000_000,
            drift_ppm: 0,
            lease_check_margin: 0,
            fingerprint: 7,
        };
        let mut member = Member::new(terms, (DurableState::default(), 0), 1, 0, Box::new(|_| Ok(())));
        let list =
            |state| BTreeMap::from([("e1".to_owned(), (0, state)), ("e2".to_owned(), (0, EngineState::Up))]);
        member.set_engine_list(1, list(EngineState::Up));
        // The first thing to be done is to write, and nothing else is asked for until that is done.
        assert!(matches!(member.next_effect(1), Some(Effect::Persist(_))));
        member.set_engine_list(2, list(EngineState::Draining));
        let told =
            std::iter::from_fn(|| member.next_list_effect()).any(|e| matches!(e, ListEffect::Announce(_)));
        assert!(told);
    }
}
