//! Agreement at one gateway, which addresses the others by name: the voter, the transfer of contents in
//! chunks, proposals of operators, and timers. Without I/O and without reading a clock; the caller carries
//! out the effects one after the other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::history::{Version, MAX_VERSIONS};
use crate::lists::{EngineClaims, EngineState, ListEffect};
use crate::voter::{DurableState, Effect as VoterEffect, Message, Micros, Terms, Voter};
use crate::wire::{self, DecodeError, Digest32, PeerMessage, CHUNK_BYTES, MAX_CONTENT_BYTES};

/// Maximum number of contents that are fetched at once.
const MAX_FETCHES: usize = 4;
/// Maximum number of messages that wait for one content.
const MAX_WAITING_MESSAGES: usize = 16;
/// Maximum number of contents in memory: those of the retained versions, and of accepted and proposed ones.
const MAX_STORED_CONTENTS: usize = MAX_VERSIONS + 8;
/// Number of chunks that are sent for one request.
const CHUNKS_PER_REQUEST: usize = 8;
/// Time after which a request for chunks is repeated.
const FETCH_RETRY_MICROS: Micros = 200_000;
/// Number of repeated requests without a chunk after which a fetch is given up.
const MAX_FETCH_RETRIES: u32 = 25;
/// Minimum time after which a proposal is tried again; as much again is added at random at most.
const PROPOSAL_RETRY_MICROS: Micros = 300_000;
/// Time after which the outcome of a proposal is reported as unknown.
const PROPOSAL_TIMEOUT_MICROS: Micros = 5_000_000;
/// Renewals within the duration of a lease on a single version.
const RENEWALS_PER_LEASE: u64 = 4;
/// Lease requests within the duration of a lease while there is none, or one on several versions. They are
/// more frequent, so that a lost answer does not cost the time of a renewal.
const REQUESTS_PER_LEASE: u64 = 16;
/// Maximum number of gateways that do not vote and have a number here.
const MAX_NON_VOTERS: usize = 8_192;

/// The settings of agreement at one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberTerms {
    /// This gateway's name.
    pub name: String,
    /// The names of the voters, in the same order at all gateways.
    pub voters: Vec<String>,
    /// See [`Terms::votes`].
    pub votes: bool,
    /// See [`Terms::lease`].
    pub lease: Micros,
    /// See [`Terms::drift_ppm`].
    pub drift_ppm: u64,
    /// See [`Terms::lease_check_margin`].
    pub lease_check_margin: Micros,
    /// Hash of the settings that must be equal at all gateways. Messages of gateways with another one are
    /// ignored.
    pub fingerprint: u64,
}

impl MemberTerms {
    /// The settings of the voter.
    pub fn voter(&self) -> Terms {
        let index = self.voters.iter().position(|v| *v == self.name);
        Terms {
            me: index.unwrap_or(usize::from(u16::MAX)) as u16,
            voters: self.voters.len() as u16,
            votes: self.votes && index.is_some(),
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
    /// It became the version with this number.
    Committed(u64),
    /// Another content became the version with this number.
    Conflict(u64),
    /// So many voters rejected it that no quorum is left; the reason of the first one by name.
    Unfit(String),
    /// No quorum answered in time. It may still become a version along with a later proposal.
    Unknown,
}

/// Why a proposal is not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposeError {
    /// This gateway does not vote; the voters are these.
    NotVoter(Vec<String>),
    /// This gateway rejects the content, for this reason.
    Unfit(String),
    /// Another proposal of this gateway is in progress.
    Busy,
    /// It was made to follow another version than the newest, which has this number.
    Stale(u64),
}

/// An effect for the caller to carry out. It is complete before the next one is taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write these bytes to the vote file, atomically and durably.
    Persist(Vec<u8>),
    /// Send a message to the gateway with this name.
    Send(String, Vec<u8>),
    /// Send a message to all known gateways.
    Broadcast(Vec<u8>),
    /// A version is committed.
    Committed(Version),
    /// The proposal has ended.
    ProposalEnded(Outcome),
    /// The gateway with this name has other terms than this one.
    TermsMismatch(String),
    /// Another gateway has seen a later write of the vote file: the file is an old copy. This gateway does
    /// not vote from now on.
    StaleVoteFile,
}

struct Fetch {
    /// The gateway asked last.
    from: String,
    length: u32,
    /// By index; `None` until received.
    chunks: Vec<Option<Vec<u8>>>,
    requested_at: Micros,
    retries: u32,
    /// Messages that wait for the content, with their senders.
    waiting: Vec<(String, Vec<u8>)>,
}

struct Proposal {
    content: Vec<u8>,
    number: u64,
    /// The voters that accept it to follow the newest version; `None` once it may be voted on.
    accepted_by: Option<BTreeSet<String>>,
    retry_at: Micros,
    deadline: Micros,
    /// The reasons of the voters that reject it.
    rejected_by: BTreeMap<String, String>,
}

/// Checks a content before it is voted on. Unlike that of [`Fitness`], the result does not depend on the time.
pub type Check = Box<dyn Fn(&[u8]) -> Result<(), String>>;

/// Checks whether a content may follow a version in the present state of the system. `Ok(true)` means that
/// the result depends on the time or on the gateway; a quorum has to accept the content before it is voted
/// on. The vote itself does not repeat this check: a vote that depends on the time could leave a number
/// without a version.
pub type Fitness = Box<dyn Fn(&[u8], Option<&Version>) -> Result<bool, String>>;

/// Agreement at one gateway; the methods take the time of its clock.
pub struct Member {
    terms: MemberTerms,
    voter: Voter,
    check: Check,
    fitness: Fitness,
    /// Numbers of gateways that do not vote.
    non_voters: BTreeMap<String, u16>,
    /// Contents by digest, the oldest first.
    contents: VecDeque<(Digest32, Vec<u8>)>,
    fetches: BTreeMap<Digest32, Fetch>,
    proposal: Option<Proposal>,
    claims: EngineClaims,
    renew_at: Micros,
    /// Number of writes of the vote file.
    writes: u64,
    /// The highest number of writes that each voter has reported.
    reported_writes: BTreeMap<String, u64>,
    /// State of the xorshift generator.
    rng_state: u64,
    effects: VecDeque<Effect>,
    /// Messages decoded, malformed messages, messages of gateways with other terms.
    pub counts: [u64; 3],
}

impl Member {
    /// A gateway that starts with its durable state and the number of writes of its vote file. `incarnation`
    /// differs at every start.
    pub fn new(
        terms: MemberTerms,
        stored: (DurableState, u64),
        incarnation: u64,
        now: Micros,
        check: Check,
    ) -> Member {
        // Each start writes the file before anything is granted. Without writes, no earlier incarnation can
        // have granted anything.
        let fresh = stored.1 == 0;
        // The sequence numbers of claims start above those of earlier incarnations.
        let claims = EngineClaims::new(&terms.name, now);
        let start = wire::encode_vote_file(&stored.0, terms.fingerprint, stored.1 + 1);
        let mut member = Member {
            voter: Voter::new(terms.voter(), stored.0, incarnation, now, fresh),
            terms,
            check,
            fitness: Box::new(|_, _| Ok(false)),
            non_voters: BTreeMap::new(),
            contents: VecDeque::new(),
            fetches: BTreeMap::new(),
            proposal: None,
            claims,
            renew_at: now,
            writes: stored.1 + 1,
            reported_writes: BTreeMap::new(),
            rng_state: incarnation | 1,
            effects: VecDeque::from([Effect::Persist(start)]),
            counts: [0; 3],
        };
        let state = member.voter.state().clone();
        let accepted = state.accepted.iter().map(|a| &a.1);
        state.history.versions().iter().chain(accepted).for_each(|v| member.store(&v.content));
        member
    }

    /// Sets the check whether a content may follow the newest version.
    #[must_use]
    pub fn with_fitness(mut self, fitness: Fitness) -> Member {
        self.fitness = fitness;
        self
    }

    /// Checks whether a content may follow the newest version now; see [`Fitness`] for the result.
    ///
    /// # Errors
    /// The reason why it may not.
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

    /// The voter, read-only.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// See [`Voter::usable_range`].
    pub fn usable_range(&self, now: Micros) -> Option<(u64, u64)> {
        self.voter.usable_range(now)
    }

    /// When [`Member::wake`] should be called next.
    pub fn next_wake(&self) -> Micros {
        let fetches = self.fetches.values().map(|f| f.requested_at + FETCH_RETRY_MICROS).min();
        let proposal = self.proposal.as_ref().map(|p| p.retry_at.min(p.deadline));
        [Some(self.renew_at), fetches, proposal, self.claims.next_wake()]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// The next effect. Call this once the one before it is complete.
    pub fn next_effect(&mut self, now: Micros) -> Option<Effect> {
        loop {
            if let Some(effect) = self.effects.pop_front() {
                return Some(effect);
            }
            match self.voter.next_effect()? {
                VoterEffect::Persist(state) => {
                    self.writes += 1;
                    let bytes = wire::encode_vote_file(&state, self.terms.fingerprint, self.writes);
                    return Some(Effect::Persist(bytes));
                }
                VoterEffect::Send(to, message) if to == self.terms.voter().me => {
                    let rejected =
                        matches!(&message, Message::Accept(_, v) if (self.check)(&v.content).is_err());
                    if !rejected {
                        self.voter.receive(now, to, &message);
                    }
                }
                VoterEffect::Send(to, message) => {
                    let voter = self.terms.voters.get(usize::from(to)).cloned();
                    let non_voter = || self.non_voters.iter().find(|o| *o.1 == to).map(|o| o.0.clone());
                    let reply =
                        PeerMessage::Protocol(self.terms.fingerprint, self.writes_to_report(), message)
                            .encode();
                    if let Some(name) = voter.or_else(non_voter) {
                        return Some(Effect::Send(name, reply));
                    }
                }
                VoterEffect::Broadcast(message) => {
                    let reply =
                        PeerMessage::Protocol(self.terms.fingerprint, self.writes_to_report(), message)
                            .encode();
                    return Some(Effect::Broadcast(reply));
                }
                VoterEffect::Committed(version) => {
                    self.store(&version.content);
                    self.end_proposal(&version);
                    // Request the lease on it at once.
                    self.renew_at = now;
                    return Some(Effect::Committed(version));
                }
            }
        }
    }

    /// The number of writes that messages report; 0 if this gateway does not vote, as its file does not
    /// count.
    fn writes_to_report(&self) -> u64 {
        if self.voter.votes() {
            self.writes
        } else {
            0
        }
    }

    /// The next effect of engine claims. These do not wait for the effects of votes: a drain is announced
    /// while a vote is being written.
    pub fn next_list_effect(&mut self) -> Option<ListEffect> {
        self.claims.next_effect()
    }

    /// Receives a message of another gateway, whose name has been authenticated.
    pub fn receive(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        let contents = &self.contents;
        let find = |digest: &Digest32| contents.iter().find(|c| c.0 == *digest).map(|c| c.1.clone());
        match PeerMessage::decode(bytes, &find) {
            Ok(message) => self.handle(now, from, message),
            Err(DecodeError::Malformed) => self.counts[1] += 1,
            Err(DecodeError::MissingContent(digest, length)) => {
                let may_fetch = self.fetches.len() < MAX_FETCHES;
                if !self.fetches.contains_key(&digest) && may_fetch {
                    let waiting = Vec::new();
                    let chunks = vec![None; (length as usize).div_ceil(CHUNK_BYTES)];
                    let from = from.to_owned();
                    self.fetches.insert(
                        digest,
                        Fetch { from, length, chunks, requested_at: now, retries: 0, waiting },
                    );
                    self.request_chunks(now, digest);
                }
                if let Some(fetch) =
                    self.fetches.get_mut(&digest).filter(|f| f.waiting.len() < MAX_WAITING_MESSAGES)
                {
                    fetch.waiting.push((from.to_owned(), bytes.to_vec()));
                }
            }
        }
    }

    fn handle(&mut self, now: Micros, from: &str, message: PeerMessage) {
        self.counts[0] += 1;
        match message {
            PeerMessage::Protocol(fingerprint, ..) if fingerprint != self.terms.fingerprint => {
                self.counts[2] += 1;
                // Reported ever less often, as it lasts until the configuration is corrected.
                if self.counts[2].is_power_of_two() {
                    self.effects.push_back(Effect::TermsMismatch(from.to_owned()));
                }
            }
            PeerMessage::Protocol(_, writes, message) => {
                let Some(number) = self.number_of(from) else { return };
                if usize::from(number) < self.terms.voters.len() && writes > 0 {
                    let known = self.reported_writes.entry(from.to_owned()).or_default();
                    *known = writes.max(*known);
                    if *known > writes {
                        // Delayed datagrams cause this answer too, which is harmless.
                        let reply = PeerMessage::KnownWrites(*known).encode();
                        self.effects.push_back(Effect::Send(from.to_owned(), reply));
                    }
                }
                if let Message::Accept(_, version) = &message {
                    // No vote for a content that this gateway could not apply.
                    if let Err(why) = (self.check)(&version.content) {
                        let reply = PeerMessage::Unfit(version.number, why).encode();
                        return self.effects.push_back(Effect::Send(from.to_owned(), reply));
                    }
                }
                if let Message::Accept(_, v) | Message::Promise(_, _, Some((_, v))) = &message {
                    self.store(&v.content);
                }
                self.voter.receive(now, number, &message);
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
                p.rejected_by.insert(from.to_owned(), why);
                if p.rejected_by.len() > voters - quorum {
                    let why = p.rejected_by.iter().next().map(|(who, why)| format!("{who}: {why}"));
                    self.proposal = None;
                    self.effects.push_back(Effect::ProposalEnded(Outcome::Unfit(why.unwrap_or_default())));
                }
            }
            PeerMessage::FitnessRequest(fingerprint, version) if fingerprint == self.terms.fingerprint => {
                let (number, hash) = self.voter.history().newest();
                // A sender that asks about another number is behind or ahead, which lease messages resolve.
                let follows_newest = version == Version::after(number, hash, &version.content);
                if follows_newest && self.voter.votes() {
                    let reply = match self.fit(&version.content) {
                        Ok(_) => PeerMessage::Fit(version.number, version.hash),
                        Err(why) => PeerMessage::Unfit(version.number, why),
                    };
                    self.effects.push_back(Effect::Send(from.to_owned(), reply.encode()));
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
                if let Some(accepted_by) = &mut p.accepted_by {
                    accepted_by.insert(from.to_owned());
                    self.advance_proposal(now);
                }
            }
            PeerMessage::ContentRequest(digest, offset) => {
                let Some(content) = self.contents.iter().find(|c| c.0 == digest).map(|c| &c.1) else {
                    return;
                };
                // The chunks from there to the end of their group of CHUNKS_PER_REQUEST, at least one.
                let group_rest = CHUNKS_PER_REQUEST - (offset as usize / CHUNK_BYTES) % CHUNKS_PER_REQUEST;
                let requested = content.get(offset as usize..).unwrap_or_default();
                let mut offset = offset;
                for chunk in requested.chunks(CHUNK_BYTES).take(group_rest) {
                    let reply =
                        PeerMessage::ContentChunk(digest, offset, content.len() as u32, chunk.to_vec());
                    self.effects.push_back(Effect::Send(from.to_owned(), reply.encode()));
                    offset += chunk.len() as u32;
                }
            }
            PeerMessage::ContentChunk(digest, offset, size, chunk) => {
                self.receive_chunk(now, digest, offset, size, &chunk)
            }
            PeerMessage::EngineClaim(claim) => self.claims.receive(now, claim),
        }
    }

    fn receive_chunk(&mut self, now: Micros, digest: Digest32, offset: u32, size: u32, chunk: &[u8]) {
        let Some(fetch) = self.fetches.get_mut(&digest).filter(|f| f.length == size) else { return };
        let index = offset as usize / CHUNK_BYTES;
        let fits = offset as usize % CHUNK_BYTES == 0
            && chunk.len() == CHUNK_BYTES.min((size - offset.min(size)) as usize);
        let Some(slot) = fetch.chunks.get_mut(index).filter(|slot| fits && slot.is_none()) else { return };
        *slot = Some(chunk.to_vec());
        fetch.retries = 0;
        if fetch.chunks.iter().all(Option::is_some) {
            let Some(fetch) = self.fetches.remove(&digest) else { return };
            let content = fetch.chunks.into_iter().flatten().flatten().collect::<Vec<u8>>();
            if wire::digest(&content) == digest {
                self.store(&content);
                fetch.waiting.into_iter().for_each(|(from, bytes)| self.receive(now, &from, &bytes));
            }
        } else if (index + 1) % CHUNKS_PER_REQUEST == 0 {
            // The last chunk of the request has come: ask from the first missing one on, lost or delayed.
            self.request_chunks(now, digest);
        }
    }

    fn request_chunks(&mut self, now: Micros, digest: Digest32) {
        let Some(fetch) = self.fetches.get_mut(&digest) else { return };
        fetch.requested_at = now;
        let missing = fetch.chunks.iter().position(Option::is_none).unwrap_or(0);
        let request = PeerMessage::ContentRequest(digest, (missing * CHUNK_BYTES) as u32);
        self.effects.push_back(Effect::Send(fetch.from.clone(), request.encode()));
    }

    fn store(&mut self, content: &[u8]) {
        let digest = wire::digest(content);
        if self.contents.iter().any(|c| c.0 == digest) {
            return;
        }
        self.contents.push_back((digest, content.to_vec()));
        if self.contents.len() > MAX_STORED_CONTENTS {
            self.contents.pop_front();
        }
    }

    /// The number of a gateway: its index among the voters, or one that is valid in this process only.
    fn number_of(&mut self, name: &str) -> Option<u16> {
        if let Some(index) = self.terms.voters.iter().position(|v| v == name) {
            return Some(index as u16);
        }
        if let Some(&number) = self.non_voters.get(name) {
            return Some(number);
        }
        let next = (self.terms.voters.len() + self.non_voters.len()) as u16;
        (self.non_voters.len() < MAX_NON_VOTERS).then(|| {
            self.non_voters.insert(name.to_owned(), next);
            next
        })
    }

    /// Proposes a content as the version after the one numbered `after`, or after the newest.
    ///
    /// # Errors
    /// The reason why the proposal is not started.
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
        let needs_quorum = self.fit(content).map_err(ProposeError::Unfit)?;
        self.store(content);
        let (number, deadline) = (newest + 1, now + PROPOSAL_TIMEOUT_MICROS);
        let content = content.to_vec();
        let accepted_by = needs_quorum.then(|| BTreeSet::from([self.terms.name.clone()]));
        self.proposal = Some(Proposal {
            content,
            number,
            accepted_by,
            retry_at: now,
            deadline,
            rejected_by: BTreeMap::new(),
        });
        self.wake(now);
        Ok(())
    }

    /// Starts the vote on the proposal if a quorum accepts it or none has to; asks the other voters
    /// otherwise.
    fn advance_proposal(&mut self, now: Micros) {
        let quorum = self.terms.voter().quorum();
        let (number, hash) = self.voter.history().newest();
        // A proposal that would follow another version than the one it was checked against is not voted on.
        let Some(p) = self.proposal.as_mut().filter(|p| p.number == number + 1) else { return };
        match &p.accepted_by {
            Some(accepted_by) if accepted_by.len() < quorum => {
                let reply = PeerMessage::FitnessRequest(
                    self.terms.fingerprint,
                    Version::after(number, hash, &p.content),
                )
                .encode();
                let missing = self.terms.voters.iter().filter(|v| !accepted_by.contains(*v));
                let requests: Vec<Effect> = missing.map(|v| Effect::Send(v.clone(), reply.clone())).collect();
                if p.retry_at <= now {
                    self.effects.extend(requests);
                }
            }
            _ => {
                p.accepted_by = None;
                let content = p.content.clone();
                self.voter.propose(&content);
            }
        }
    }

    /// Ends the proposal if the committed version has its number.
    fn end_proposal(&mut self, version: &Version) {
        let Some(p) = self.proposal.take_if(|p| p.number <= version.number) else { return };
        let own = p.number == version.number && p.content == version.content;
        let outcome =
            if own { Outcome::Committed(version.number) } else { Outcome::Conflict(version.number) };
        self.effects.push_back(Effect::ProposalEnded(outcome));
    }

    /// Handles the timers that are due.
    pub fn wake(&mut self, now: Micros) {
        self.claims.wake(now);
        if self.renew_at <= now {
            let single_version = self.usable_range(now).is_some_and(|(low, top)| low == top);
            let requests = if single_version { RENEWALS_PER_LEASE } else { REQUESTS_PER_LEASE };
            self.renew_at = now + self.terms.lease / requests;
            self.voter.renew(now);
        }
        let overdue: Vec<Digest32> = self
            .fetches
            .iter()
            .filter(|(_, f)| f.requested_at + FETCH_RETRY_MICROS <= now)
            .map(|f| *f.0)
            .collect();
        for digest in overdue {
            if let Some(fetch) = self.fetches.get_mut(&digest) {
                fetch.retries += 1;
                if fetch.retries > MAX_FETCH_RETRIES {
                    self.fetches.remove(&digest);
                } else {
                    // The gateway asked may be down; the others whose messages wait for the content have it
                    // too.
                    let others = &fetch.waiting;
                    fetch.from.clone_from(&others[fetch.retries as usize % others.len()].0);
                    self.request_chunks(now, digest);
                }
            }
        }
        let Some(p) = &mut self.proposal else { return };
        if p.deadline <= now {
            self.proposal = None;
            return self.effects.push_back(Effect::ProposalEnded(Outcome::Unknown));
        }
        if p.retry_at <= now {
            // Random delays, so that two concurrent proposers do not block each other again and again.
            self.rng_state ^= self.rng_state << 13;
            self.rng_state ^= self.rng_state >> 7;
            self.rng_state ^= self.rng_state << 17;
            let retry_at = now + PROPOSAL_RETRY_MICROS + self.rng_state % PROPOSAL_RETRY_MICROS;
            self.advance_proposal(now);
            if let Some(p) = &mut self.proposal {
                p.retry_at = retry_at;
            }
        }
    }

    /// Takes the engine list that this gateway has read; see [`EngineClaims::set_own_list`].
    pub fn set_engine_list(&mut self, now: Micros, list: BTreeMap<String, (u64, EngineState)>) {
        self.claims.set_own_list(now, list);
    }

    /// See [`EngineClaims::claimed_states`].
    pub fn claimed_states(&self) -> BTreeMap<String, (u64, EngineState)> {
        self.claims.claimed_states()
    }

    /// Releases the lease before this process ends.
    pub fn release_lease(&mut self) {
        self.voter.release_lease();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn drain_is_announced_while_a_vote_is_being_written() {
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
        // The first effect is a write, and no other effect is taken until it is complete.
        assert!(matches!(member.next_effect(1), Some(Effect::Persist(_))));
        member.set_engine_list(2, list(EngineState::Draining));
        let announced =
            std::iter::from_fn(|| member.next_list_effect()).any(|e| matches!(e, ListEffect::Announce(_)));
        assert!(announced);
    }
}
