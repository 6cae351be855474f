//! A voter: grants leases, fences participants, and stores each fence before it reports it.
//!
//! The remaining time of a lease that a voter reports is, on any clock within the allowed drift, never less
//! than what the holder still counts.
//!
//! A voter fences a process only on evidence of its own that the process is gone ([`Evidence`]).

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::Evidence;
use crate::lease::{LeaseTimes, QuorumContact};
use crate::wire::stored_marks::{decode_marks, encode_marks, Fence, StoredMarksError};
use crate::wire::{FenceMark, Participant};
use crate::{Incarnation, InjectedFault, Micros};

/// Maximum number of grants, of fences and of pending replies that a voter holds; it refuses more.
pub(crate) const MAX_REMEMBERED: usize = 4_096;
/// A process that has held no lease for this time ends its term by itself, so older fences may be dropped.
pub(crate) const MAX_TERM_WITHOUT_LEASE: Micros = 3_600_000_000;

struct Grant {
    incarnation_number: u64,
    term: u32,
    until: Micros,
}

/// A voter's answer to a lease request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LeaseAnswer {
    Granted,
    /// The terms of the incarnation are fenced up to and including this one.
    Fenced(u32),
    /// No answer is sent.
    NoAnswer,
}

struct FenceState {
    through_term: u32,
    since: Micros,
}

/// Fences that one write stores, and the replies to send once it is complete.
#[derive(Default)]
struct PendingWrite {
    fenced: BTreeSet<Incarnation>,
    replies: Vec<(String, Participant)>,
}

/// The voter of one process.
pub(crate) struct Voter {
    times: LeaseTimes,
    fault: InjectedFault,
    /// By gateway name.
    grants: BTreeMap<String, Grant>,
    /// What was heard of the participants.
    pub evidence: Evidence,
    /// Requests to fence participants that were heard too recently, by requesting gateway, each with the time
    /// at which it is dropped.
    deferred: BTreeMap<(String, Participant), Micros>,
    fences: BTreeMap<Incarnation, FenceState>,
    /// No lease is granted before this time, as leases granted before the restart may still be valid.
    silent_until: Micros,
    has_stored: bool,
    is_writing: bool,
    /// The initial write is due, even if nothing is fenced.
    first_write_due: bool,
    current_write: PendingWrite,
    next_write: PendingWrite,
    /// Set if nothing was stored at the start: this voter first learns the fences of the other voters.
    recovery: Option<Recovery>,
}

/// State of a voter that has nothing stored: either it starts for the first time, or it has lost its disk and
/// with it fences that are still in force.
struct Recovery {
    voter_count: usize,
    /// Other voters that have nothing stored either.
    empty_voters: BTreeSet<String>,
    /// Other voters that have sent their fences in answer to a query made after the startup silence.
    answered_voters: BTreeSet<String>,
}

impl Recovery {
    fn new(voter_count: usize) -> Recovery {
        Recovery { voter_count, empty_voters: BTreeSet::new(), answered_voters: BTreeSet::new() }
    }

    /// Whether no voter has anything stored: the fleet starts for the first time.
    fn is_first_start(&self) -> bool {
        self.empty_voters.len() == self.voter_count - 1
    }

    /// Whether every quorum that includes this voter also includes one that has sent its fences, or all other
    /// voters have answered.
    fn is_complete(&self) -> bool {
        let quorum = self.voter_count / 2 + 1;
        let heard_voters = self.answered_voters.union(&self.empty_voters).count();
        let all_answered = heard_voters == self.voter_count - 1 && !self.answered_voters.is_empty();
        self.is_first_start() || all_answered || self.answered_voters.len() > self.voter_count - quorum
    }
}

impl Voter {
    /// Starts a voter with its stored marks, `None` if it has none.
    pub fn new(
        times: LeaseTimes,
        stored: Option<&[u8]>,
        now: Micros,
        voter_count: usize,
        fault: InjectedFault,
    ) -> Result<Voter, StoredMarksError> {
        let fences = stored.map_or(Ok(Vec::new()), |bytes| decode_marks(bytes, MAX_REMEMBERED))?;
        let fences = if fault == InjectedFault::MarksNotStored { Vec::new() } else { fences };
        let recovers = stored.is_none() && voter_count > 1 && fault != InjectedFault::VotesWithoutMarks;
        let silent = fault != InjectedFault::NoStartupSilence && (stored.is_some() || recovers);
        let state =
            |fence: Fence| (fence.incarnation, FenceState { through_term: fence.through_term, since: now });
        Ok(Voter {
            times,
            fault,
            grants: BTreeMap::new(),
            evidence: Evidence::new(times),
            deferred: BTreeMap::new(),
            fences: fences.into_iter().map(state).collect(),
            silent_until: if silent { now + times.wait_for_other_clock(times.lease) } else { 0 },
            has_stored: stored.is_some(),
            is_writing: false,
            // Written before the first grant, so that the next start is recognized as a restart.
            first_write_due: stored.is_none(),
            current_write: PendingWrite::default(),
            next_write: PendingWrite::default(),
            recovery: recovers.then(|| Recovery::new(voter_count)),
        })
    }

    /// Whether this voter still has to learn the other voters' fences before it votes.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// The fences to send to a recovering voter, in the format of the stored file; empty while this voter
    /// recovers too.
    pub fn marks_for_recovery(&self) -> Vec<u8> {
        if self.is_recovering() {
            return Vec::new();
        }
        self.encoded_fences()
    }

    fn encoded_fences(&self) -> Vec<u8> {
        let fence = |(incarnation, state): (&Incarnation, &FenceState)| Fence {
            incarnation: incarnation.clone(),
            through_term: state.through_term,
        };
        let fences: Vec<Fence> = self.fences.iter().map(fence).collect();
        encode_marks(&fences)
    }

    /// Handles another voter's answer to the query made at `asked_at`: its marks, empty if it has none
    /// stored.
    ///
    /// Only answers to queries made after the startup silence count: by then every quorum that relied on a
    /// fence which this voter has lost is complete, so that its other members know that fence.
    pub fn learn_marks(&mut self, now: Micros, from: &str, asked_at: Micros, marks: &[u8]) {
        let Some(recovery) = &mut self.recovery else { return };
        if marks.is_empty() {
            recovery.empty_voters.insert(from.to_owned());
        } else if asked_at >= self.silent_until {
            let Ok(fences) = decode_marks(marks, MAX_REMEMBERED) else { return };
            recovery.answered_voters.insert(from.to_owned());
            for Fence { incarnation, through_term } in fences {
                let state = FenceState { through_term, since: now };
                let known = self.fences.entry(incarnation).or_insert(state);
                known.through_term = known.through_term.max(through_term);
            }
        }
        if recovery.is_complete() {
            if recovery.is_first_start() {
                self.silent_until = 0;
            }
            self.recovery = None;
        }
    }

    /// Handles a participant's request for a lease.
    pub fn request_lease(&mut self, now: Micros, participant: &Participant) -> LeaseAnswer {
        let fence = self.fences.get(&participant.incarnation);
        if let Some(fence) = fence.filter(|fence| fence.through_term >= participant.term) {
            return LeaseAnswer::Fenced(fence.through_term);
        }
        if !self.has_stored || self.is_recovering() || now < self.silent_until {
            return LeaseAnswer::NoAnswer;
        }
        let Participant { incarnation: Incarnation { name, number: incarnation_number }, term } = participant;
        let new = Grant {
            incarnation_number: *incarnation_number,
            term: *term,
            until: now + self.times.voter_span(),
        };
        let Some(grant) = self.grants.get_mut(name) else {
            if !self.has_room_for_grant(now) {
                return LeaseAnswer::NoAnswer;
            }
            self.grants.insert(name.clone(), new);
            return LeaseAnswer::Granted;
        };
        // A later term of the same incarnation proves that the earlier one is over; a grant to another
        // incarnation has to expire.
        let is_binding =
            grant.until > now && (grant.incarnation_number != *incarnation_number || grant.term > *term);
        if is_binding || (grant.incarnation_number == *incarnation_number && grant.term > *term) {
            return LeaseAnswer::NoAnswer;
        }
        let previous = std::mem::replace(grant, new);
        if previous.incarnation_number != *incarnation_number {
            let incarnation = Incarnation { name: name.clone(), number: previous.incarnation_number };
            self.add_fence(now, &Participant { incarnation, term: previous.term });
        }
        LeaseAnswer::Granted
    }

    fn has_room_for_grant(&mut self, now: Micros) -> bool {
        if self.grants.len() >= MAX_REMEMBERED {
            self.grants.retain(|_, grant| grant.until > now);
        }
        self.grants.len() < MAX_REMEMBERED
    }

    /// Whether a participant may be fenced now: it is fenced already, or this voter has not heard for the
    /// duration of a lease that it holds its own, and would have.
    pub fn may_fence(&self, participant: &Participant, contact: Option<QuorumContact>) -> bool {
        let fence = self.fences.get(&participant.incarnation);
        if fence.is_some_and(|fence| fence.through_term >= participant.term) {
            return true;
        }
        let is_silent = self.evidence.is_complete(participant, contact);
        // A restarted voter that neither keeps silent nor listens first forgets the leases that it granted.
        let faults = [InjectedFault::FencesWithoutEvidence, InjectedFault::NoStartupSilence];
        is_silent || faults.contains(&self.fault)
    }

    /// Defers a request to fence a participant.
    pub fn defer_fence(&mut self, participant: Participant, from: &str, until: Micros) {
        let request = (from.to_owned(), participant);
        if self.deferred.len() < MAX_REMEMBERED || self.deferred.contains_key(&request) {
            self.deferred.insert(request, until);
        }
    }

    /// Removes and returns the deferred requests that can be answered now, by requesting gateway.
    pub fn take_due_requests(
        &mut self,
        now: Micros,
        contact: Option<QuorumContact>,
    ) -> BTreeMap<String, Vec<Participant>> {
        self.deferred.retain(|_, until| now < *until);
        let is_due = |(_, participant): &&(String, Participant)| self.may_fence(participant, contact);
        let due: Vec<(String, Participant)> = self.deferred.keys().filter(is_due).cloned().collect();
        let mut by_gateway: BTreeMap<String, Vec<Participant>> = BTreeMap::new();
        for request in due {
            self.deferred.remove(&request);
            by_gateway.entry(request.0).or_default().push(request.1);
        }
        by_gateway
    }

    /// Fences a participant; the next write stores the fence. Returns whether there was room for it.
    fn add_fence(&mut self, now: Micros, participant: &Participant) -> bool {
        let known = self.fences.get(&participant.incarnation);
        if known.is_some_and(|fence| fence.through_term >= participant.term) {
            return true;
        }
        if known.is_none() && self.fences.len() >= MAX_REMEMBERED {
            self.drop_old_fences(now);
            if self.fences.len() >= MAX_REMEMBERED {
                return false;
            }
        }
        let fence = FenceState { through_term: participant.term, since: now };
        self.fences.insert(participant.incarnation.clone(), fence);
        self.next_write.fenced.insert(participant.incarnation.clone());
        true
    }

    fn drop_old_fences(&mut self, now: Micros) {
        let needed_for = MAX_TERM_WITHOUT_LEASE + 2 * self.times.lease;
        let span = self.times.wait_for_other_clock(self.times.wait_for_other_clock(needed_for));
        self.fences.retain(|_, fence| now < fence.since + span);
    }

    /// Fences participants on behalf of a gateway. Returns the fences that are stored already;
    /// [`Voter::write_completed`] returns the others.
    pub fn fence(&mut self, now: Micros, from: &str, participants: Vec<Participant>) -> Vec<FenceMark> {
        let mut marks = Vec::new();
        if self.is_recovering() {
            return marks;
        }
        for participant in participants {
            if !self.add_fence(now, &participant) {
                continue;
            }
            match self.unfinished_write_of(&participant.incarnation) {
                None => marks.push(self.fence_mark(now, participant)),
                Some(write) if write.replies.len() < MAX_REMEMBERED => {
                    write.replies.push((from.to_owned(), participant));
                }
                Some(_) => {}
            }
        }
        marks
    }

    /// The latest unfinished write that stores the fence of an incarnation.
    fn unfinished_write_of(&mut self, incarnation: &Incarnation) -> Option<&mut PendingWrite> {
        let writes = [&mut self.next_write, &mut self.current_write];
        writes.into_iter().find(|write| write.fenced.contains(incarnation))
    }

    fn fence_mark(&self, now: Micros, participant: Participant) -> FenceMark {
        let Participant { incarnation, term } = &participant;
        let grant = self.grants.get(&incarnation.name);
        let grant =
            grant.filter(|grant| grant.incarnation_number == incarnation.number && grant.term <= *term);
        let until = grant.map_or(0, |grant| grant.until).max(self.silent_until);
        FenceMark { participant, remaining: until.saturating_sub(now) }
    }

    /// Begins a write if one is due and returns its bytes; the caller stores them and then calls
    /// [`Voter::write_completed`].
    pub fn begin_write(&mut self) -> Option<Vec<u8>> {
        let nothing_new = self.next_write.fenced.is_empty() && !self.first_write_due;
        if self.is_recovering() || self.is_writing || nothing_new {
            return None;
        }
        self.is_writing = true;
        self.first_write_due = false;
        self.current_write = std::mem::take(&mut self.next_write);
        Some(self.encoded_fences())
    }

    /// Handles the completion of a write. Returns the fences to report, each with the gateway to report it
    /// to.
    pub fn write_completed(&mut self, now: Micros) -> Vec<(String, FenceMark)> {
        self.is_writing = false;
        self.has_stored = true;
        let PendingWrite { replies, .. } = std::mem::take(&mut self.current_write);
        replies.into_iter().map(|(to, participant)| (to, self.fence_mark(now, participant))).collect()
    }
}
