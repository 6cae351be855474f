//! Fencing of processes that are gone: requests to the voters, their answers, and this gateway's part as a
//! voter.

use std::collections::BTreeMap;

use super::{Effect, InjectedFault, TakeoverNode, MAX_PEERS, MILLISECOND};
use crate::voter::Voter;
use crate::wire::{split_into_datagrams, FenceMark, Message, Participant, MAX_DATAGRAM_BYTES};
use crate::{Incarnation, Micros};

/// Time between two requests to a voter that has not answered.
const RETRY_INTERVAL: Micros = 300 * MILLISECOND;
/// How long a voter remembers a request that it cannot answer yet, unless it is repeated.
const DEFERRED_REQUEST_LIFETIME: Micros = 3 * RETRY_INTERVAL;
/// How long a fencing request of the caller stays in force.
const REQUEST_LIFETIME: Micros = 30_000 * MILLISECOND;

/// A voter's confirmation that it has stored a fence.
#[derive(Debug, Clone, Copy)]
struct VoterMark {
    received_at: Micros,
    /// When the lease that this voter granted has expired on any clock.
    lease_expires_at: Micros,
}

/// The attempt to fence a participant, with the marks received from voters.
///
/// Marks form a quorum only if they were received within one lease duration, because a voter that has lost
/// its disk, and with it the mark, stays silent for longer than that after its restart.
#[derive(Default)]
pub(super) struct FencingAttempt {
    marks: BTreeMap<String, VoterMark>,
    requested_at: Option<Micros>,
    /// When the fence takes effect; set once a quorum of voters has marked the participant.
    fenced_at: Option<Micros>,
}

impl FencingAttempt {
    fn add_mark(&mut self, voter: &str, mark: VoterMark, quorum: usize, lease: Micros) {
        let now = mark.received_at;
        let known = self.marks.entry(voter.to_owned()).or_insert(mark);
        known.received_at = now;
        known.lease_expires_at = known.lease_expires_at.min(mark.lease_expires_at);
        self.marks.retain(|_, known| now < known.received_at + lease);
        let mut expiries: Vec<Micros> = self.marks.values().map(|known| known.lease_expires_at).collect();
        expiries.sort_unstable();
        let fenced_at = quorum.checked_sub(1).and_then(|position| expiries.get(position)).copied();
        self.fenced_at = self.fenced_at.into_iter().chain(fenced_at).min();
    }

    /// Whether a voter has to be asked for its mark, or asked again before the mark gets too old.
    fn needs_mark_of(&self, now: Micros, voter: &str, lease: Micros) -> bool {
        let mark = self.marks.get(voter);
        self.fenced_at.is_none() && mark.is_none_or(|mark| now >= mark.received_at + lease / 2)
    }

    fn is_request_due(&self, now: Micros) -> bool {
        self.requested_at.is_none_or(|at| at + RETRY_INTERVAL <= now)
    }

    /// When this attempt next needs work; requests are sent only by a gateway that holds a lease.
    pub(super) fn next_wake(&self, lease_held: bool) -> Micros {
        let request_at = lease_held.then(|| self.requested_at.map_or(0, |at| at + RETRY_INTERVAL));
        request_at.into_iter().chain(self.fenced_at).min().unwrap_or(Micros::MAX)
    }
}

impl TakeoverNode {
    // Which participants are fenced.

    /// Whether a process is fenced up to a term, or up to its newest known term if that is later, and so
    /// cannot act in it any more. The state according to membership does not show that: across a network
    /// partition a running owner looks dead.
    pub fn is_fenced(&self, incarnation: &Incarnation, term: u32) -> bool {
        self.is_participant_fenced(&self.participant_in_newest_term(incarnation, term))
    }

    pub(super) fn is_participant_fenced(&self, participant: &Participant) -> bool {
        self.fenced_through.get(&participant.incarnation).is_some_and(|through| participant.term <= *through)
    }

    /// Requests that a process be fenced if it is gone according to membership. The request stays in force
    /// for 30 seconds.
    pub fn request_fencing(&mut self, now: Micros, incarnation: &Incarnation, term: u32) {
        let participant = self.participant_in_newest_term(incarnation, term);
        let has_room =
            self.fencing_wanted.len() < MAX_PEERS || self.fencing_wanted.contains_key(&participant);
        if self.is_participant_fenced(&participant) || !has_room {
            return;
        }
        self.fencing_wanted.insert(participant, now + REQUEST_LIFETIME);
        self.update_fencing_attempts(now);
        self.advance(now);
    }

    /// Starts to fence participants that are gone according to membership and are in a replica list or
    /// requested by the caller, and stops for those that are neither any more.
    pub(super) fn update_fencing_attempts(&mut self, now: Micros) {
        let (referenced, wanted) = (&self.statements_by_participant, &self.fencing_wanted);
        for participant in referenced.keys().chain(wanted.keys()) {
            if !self.members.contains_key(&participant.incarnation) && !self.members.is_empty() {
                self.unlisted_since.entry(participant.incarnation.clone()).or_insert(now);
            }
        }
        let needs_fence = |participant: &&Participant| {
            self.is_believed_gone(now, &participant.incarnation) && !self.is_participant_fenced(participant)
        };
        let unfenced: Vec<Participant> =
            referenced.keys().chain(wanted.keys()).filter(needs_fence).cloned().collect();
        for participant in unfenced {
            self.fencing.entry(participant).or_default();
        }
        let (referenced, wanted) = (&self.statements_by_participant, &self.fencing_wanted);
        self.fencing.retain(|participant, _| {
            referenced.contains_key(participant) || wanted.contains_key(participant)
        });
    }

    pub(super) fn finish_fencing(&mut self, now: Micros) {
        let is_finished = |attempt: &FencingAttempt| attempt.fenced_at.is_some_and(|at| at <= now);
        let finished: Vec<Participant> = self
            .fencing
            .iter()
            .filter(|(_, attempt)| is_finished(attempt))
            .map(|(participant, _)| participant.clone())
            .collect();
        for participant in finished {
            self.fencing.remove(&participant);
            let statements = self.statements_by_participant.get(&participant).map_or(0, |keys| keys.len());
            let Incarnation { name, number } = &participant.incarnation;
            self.log(format!("{name} ({number:016x}) is fenced; {statements} statements here refer to it"));
            self.record_fenced(&participant);
        }
    }

    /// Records that a participant and its earlier terms are fenced, and queues the statements that refer to
    /// them for review.
    pub(super) fn record_fenced(&mut self, participant: &Participant) {
        let through = self.fenced_through.entry(participant.incarnation.clone()).or_insert(participant.term);
        *through = participant.term.max(*through);
        let first = Participant { incarnation: participant.incarnation.clone(), term: 0 };
        let last = Participant { incarnation: participant.incarnation.clone(), term: *through };
        let fenced = self.statements_by_participant.range(first.clone()..=last.clone());
        self.to_review.extend(fenced.flat_map(|(_, keys)| keys.iter().cloned()));
        // Batch numbers are kept, so that a late batch from there is not taken for a new one.
        for (_, peer) in self.peers.range_mut(first..=last) {
            peer.clear_queues();
        }
    }

    // Requests to the voters.

    /// Asks the voters for the marks that are missing.
    pub(super) fn request_marks(&mut self, now: Micros) {
        // Without a lease nothing could be taken over. A lease does not show that this gateway's view is current:
        // the voters therefore fence only processes that they have not heard either.
        if !self.lease_held || !self.fencing.values().any(|attempt| attempt.is_request_due(now)) {
            return;
        }
        for voter in self.settings.voters.clone() {
            let missing = self.marks_missing_of(now, &voter);
            if missing.is_empty() {
                continue;
            }
            if voter == self.local.incarnation.name {
                self.handle_fence_request(now, &voter, missing);
                continue;
            }
            for part in split_into_datagrams(missing, |participant| participant) {
                self.send_message(&voter, &Message::FenceRequest(part));
            }
        }
        for attempt in self.fencing.values_mut().filter(|attempt| attempt.is_request_due(now)) {
            attempt.requested_at = Some(now);
        }
    }

    fn marks_missing_of(&self, now: Micros, voter: &str) -> Vec<Participant> {
        let lease = self.settings.lease;
        let is_missing = |attempt: &FencingAttempt| {
            attempt.is_request_due(now) && attempt.needs_mark_of(now, voter, lease)
        };
        let missing = self.fencing.iter().filter(|(_, attempt)| is_missing(attempt));
        missing.map(|(participant, _)| participant.clone()).collect()
    }

    pub(super) fn handle_fence_marks(&mut self, now: Micros, voter: &str, marks: Vec<FenceMark>) {
        if !self.is_voter(voter) {
            return;
        }
        let waits = self.fault != InjectedFault::GrantNotWaitedOut;
        let (quorum, lease) = (self.quorum(), self.settings.lease);
        for FenceMark { participant, remaining } in marks {
            let Some(attempt) = self.fencing.get_mut(&participant) else { continue };
            let wait = if waits { self.lease_times.wait_for_other_clock(remaining) } else { 0 };
            attempt.add_mark(
                voter,
                VoterMark { received_at: now, lease_expires_at: now + wait },
                quorum,
                lease,
            );
        }
    }

    // This gateway as a voter.

    pub(super) fn begin_storing_marks(&mut self) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::begin_write) {
            self.effects.push_back(Effect::StoreMarks(bytes));
        }
    }

    /// Handles the completion of [`Effect::StoreMarks`].
    pub fn marks_stored(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let mut replies: BTreeMap<String, Vec<FenceMark>> = BTreeMap::new();
        for (to, mark) in voter.write_completed(now) {
            replies.entry(to).or_default().push(mark);
        }
        self.begin_storing_marks();
        for (to, marks) in replies {
            self.send_marks(now, &to, marks);
        }
        // This voter grants no lease before its first write is complete, so a request to itself is repeated
        // now.
        self.renew_at = now;
    }

    fn send_marks(&mut self, now: Micros, to: &str, marks: Vec<FenceMark>) {
        if to == self.local.incarnation.name {
            return self.handle_fence_marks(now, to, marks);
        }
        for part in split_into_datagrams(marks, |mark| &mark.participant) {
            self.send_message(to, &Message::FenceMarks(part));
        }
    }

    /// Handles a gateway's request to fence participants. The request is deferred for those that this voter
    /// has heard too recently, or has not listened for long enough to.
    pub(super) fn handle_fence_request(&mut self, now: Micros, from: &str, participants: Vec<Participant>) {
        let contact = self.lease.quorum_contact(now);
        let Some(voter) = &mut self.voter else { return };
        let mut silent = Vec::new();
        for participant in participants {
            if voter.may_fence(&participant, contact) {
                silent.push(participant);
                continue;
            }
            // A grant from then on completes the evidence.
            if let Some(due) = voter.evidence.due_at(&participant, contact) {
                self.renew_at = self.renew_at.min(due.max(now));
            }
            voter.defer_fence(participant, from, now + DEFERRED_REQUEST_LIFETIME);
        }
        let marks = voter.fence(now, from, silent);
        self.begin_storing_marks();
        self.send_marks(now, from, marks);
    }

    /// Answers the deferred requests to fence participants that have been silent for long enough by now.
    pub(super) fn answer_deferred_requests(&mut self, now: Micros) {
        let contact = self.lease.quorum_contact(now);
        let Some(voter) = &mut self.voter else { return };
        for (from, participants) in voter.take_due_requests(now, contact) {
            self.handle_fence_request(now, &from, participants);
        }
    }

    /// Records as a voter that a participant requests its lease, and whether it says that it holds it.
    pub(super) fn record_heard(&mut self, now: Micros, participant: &Participant, holds_lease: bool) {
        if let Some(voter) = &mut self.voter {
            voter.evidence.record_heard(now, participant, holds_lease);
        }
    }

    /// As a recovering voter, queries the other voters for their marks until the recovery is complete.
    pub(super) fn query_stored_marks(&mut self, now: Micros) {
        let is_recovering = self.voter.as_ref().is_some_and(Voter::is_recovering);
        if !is_recovering || self.marks_query_at > now {
            return;
        }
        self.marks_query_at = now + RETRY_INTERVAL;
        for voter in self.settings.voters.clone() {
            if voter != self.local.incarnation.name {
                self.send_message(&voter, &Message::MarksQuery(now));
            }
        }
    }

    pub(super) fn answer_marks_query(&mut self, now: Micros, from: &str, asked_at: Micros) {
        let Some(marks) = self.voter.as_ref().map(Voter::marks_for_recovery) else { return };
        // The query shows that the sender has nothing stored, which matters if this voter recovers too.
        self.learn_stored_marks(now, from, now, &[]);
        let bytes = Message::StoredMarks { asked_at, marks }.encode(self.local.process_term());
        let to = from.to_owned();
        let fits_datagram = bytes.len() <= MAX_DATAGRAM_BYTES;
        self.effects.push_back(if fits_datagram {
            Effect::SendDatagram(to, bytes)
        } else {
            Effect::SendRecords(to, bytes)
        });
    }

    pub(super) fn learn_stored_marks(&mut self, now: Micros, from: &str, asked_at: Micros, marks: &[u8]) {
        let is_other_voter = from != self.local.incarnation.name && self.is_voter(from);
        let Some(voter) = self.voter.as_mut().filter(|voter| is_other_voter && voter.is_recovering()) else {
            return;
        };
        voter.learn_marks(now, from, asked_at, marks);
        if voter.is_recovering() {
            return;
        }
        self.log("the marks of the other voters are known; this gateway votes from now on".into());
        self.begin_storing_marks();
    }
}
