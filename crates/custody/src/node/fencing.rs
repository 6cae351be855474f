//! Fencing of processes that are gone: requests to the voters, their answers, and this gateway's own vote.

use std::collections::BTreeMap;

use super::{Effect, InjectedFault, TakeoverNode, MAX_PEERS, MILLISECOND};
use crate::voter::Voter;
use crate::wire::{split_into_datagrams, FenceMark, Message, Participant, MAX_DATAGRAM_BYTES};
use crate::{Incarnation, Micros};

/// Fences that are missing are asked for again after so long.
const RETRY_INTERVAL: Micros = 300 * MILLISECOND;
/// For so long after the caller's question a process is being fenced.
const WANTED_FOR: Micros = 30_000 * MILLISECOND;

/// A voter's answer to a request to fence.
#[derive(Debug, Clone, Copy)]
struct VoterMark {
    came_at: Micros,
    /// When the lease that this voter granted has run out on any clock.
    lease_over_at: Micros,
}

/// A participant that is to be fenced, with the marks of voters that have come.
///
/// Marks count as a quorum only if they came within one lease: a voter that has lost its disk is silent for
/// longer.
#[derive(Default)]
pub(super) struct FencingAttempt {
    marks: BTreeMap<String, VoterMark>,
    requested_at: Option<Micros>,
    /// From when on the participant is fenced; set once a quorum has marked it.
    fenced_at: Option<Micros>,
}

impl FencingAttempt {
    fn add_mark(&mut self, voter: &str, mark: VoterMark, quorum: usize, lease: Micros) {
        let now = mark.came_at;
        let known = self.marks.entry(voter.to_owned()).or_insert(mark);
        known.came_at = now;
        known.lease_over_at = known.lease_over_at.min(mark.lease_over_at);
        self.marks.retain(|_, known| now < known.came_at + lease);
        let mut times: Vec<Micros> = self.marks.values().map(|known| known.lease_over_at).collect();
        times.sort_unstable();
        let fenced_at = quorum.checked_sub(1).and_then(|position| times.get(position)).copied();
        self.fenced_at = self.fenced_at.into_iter().chain(fenced_at).min();
    }

    /// Whether a voter is to be asked for its mark.
    fn needs_mark_of(&self, now: Micros, voter: &str, lease: Micros) -> bool {
        let mark = self.marks.get(voter);
        self.fenced_at.is_none() && mark.is_none_or(|mark| now >= mark.came_at + lease / 2)
    }

    fn is_request_due(&self, now: Micros) -> bool {
        self.requested_at.is_none_or(|at| at + RETRY_INTERVAL <= now)
    }

    /// When something is due; requests are sent only by a gateway that holds a lease.
    pub(super) fn next_wake(&self, lease_held: bool) -> Micros {
        let request_at = lease_held.then(|| self.requested_at.map_or(0, |at| at + RETRY_INTERVAL));
        request_at.into_iter().chain(self.fenced_at).min().unwrap_or(Micros::MAX)
    }
}

impl TakeoverNode {
    // --- Which participants are fenced ---

    /// Whether a process is fenced through a term, or through the newest one that was heard of: it can act no
    /// more. What membership believes is not enough: across a network partition an owner that goes on looks
    /// dead.
    pub fn is_fenced(&self, incarnation: &Incarnation, term: u32) -> bool {
        self.is_participant_fenced(&self.participant_in_newest_term(incarnation, term))
    }

    pub(super) fn is_participant_fenced(&self, who: &Participant) -> bool {
        self.fenced_through.get(&who.incarnation).is_some_and(|through| who.term <= *through)
    }

    /// The caller needs to know whether a process is fenced. If membership believes it gone, the voters are
    /// asked to fence it, for half a minute from now.
    pub fn request_fencing(&mut self, now: Micros, incarnation: &Incarnation, term: u32) {
        let who = self.participant_in_newest_term(incarnation, term);
        let has_room = self.fencing_wanted.len() < MAX_PEERS || self.fencing_wanted.contains_key(&who);
        if self.is_participant_fenced(&who) || !has_room {
            return;
        }
        self.fencing_wanted.insert(who, now + WANTED_FOR);
        self.update_fencing_attempts(now);
        self.advance(now);
    }

    /// Whoever is believed gone and is in a replica list, or is asked for, is to be fenced.
    pub(super) fn update_fencing_attempts(&mut self, now: Micros) {
        let (referenced, wanted) = (&self.statements_by_participant, &self.fencing_wanted);
        for who in referenced.keys().chain(wanted.keys()) {
            if !self.members.contains_key(&who.incarnation) && !self.members.is_empty() {
                self.unlisted_since.entry(who.incarnation.clone()).or_insert(now);
            }
        }
        let is_due = |who: &&Participant| {
            self.is_believed_gone(now, &who.incarnation) && !self.is_participant_fenced(who)
        };
        let gone: Vec<Participant> = referenced.keys().chain(wanted.keys()).filter(is_due).cloned().collect();
        for who in gone {
            self.fencing.entry(who).or_default();
        }
        let (referenced, wanted) = (&self.statements_by_participant, &self.fencing_wanted);
        self.fencing.retain(|who, _| referenced.contains_key(who) || wanted.contains_key(who));
    }

    pub(super) fn finish_fencing(&mut self, now: Micros) {
        let is_finished = |attempt: &FencingAttempt| attempt.fenced_at.is_some_and(|at| at <= now);
        let finished: Vec<Participant> = self
            .fencing
            .iter()
            .filter(|(_, attempt)| is_finished(attempt))
            .map(|(who, _)| who.clone())
            .collect();
        for who in finished {
            self.fencing.remove(&who);
            let statements = self.statements_by_participant.get(&who).map_or(0, |keys| keys.len());
            let Incarnation { name, number } = &who.incarnation;
            self.log(format!("{name} ({number:016x}) is fenced: {statements} statements"));
            self.record_fenced(&who);
        }
    }

    /// A participant is fenced, and its earlier terms are: statements that name them are reviewed.
    pub(super) fn record_fenced(&mut self, who: &Participant) {
        let through = self.fenced_through.entry(who.incarnation.clone()).or_insert(who.term);
        *through = who.term.max(*through);
        let first = Participant { incarnation: who.incarnation.clone(), term: 0 };
        let last = Participant { incarnation: who.incarnation.clone(), term: *through };
        let fenced = self.statements_by_participant.range(first.clone()..=last.clone());
        self.to_review.extend(fenced.flat_map(|(_, keys)| keys.iter().cloned()));
        // The numbers of batches stay: a late batch from there is not taken for a new one.
        for (_, peer) in self.peers.range_mut(first..=last) {
            peer.clear_queues();
        }
    }

    // --- Requests to the voters ---

    /// Asks the voters for the fences that are missing.
    pub(super) fn request_marks(&mut self, now: Micros) {
        // Without a lease nothing could be taken over. It may also be this gateway that is partitioned: after
        // the partition its old belief would fence all those that went on.
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
            for part in split_into_datagrams(missing, |who| who) {
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
        missing.map(|(who, _)| who.clone()).collect()
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
            attempt.add_mark(voter, VoterMark { came_at: now, lease_over_at: now + wait }, quorum, lease);
        }
    }

    // --- This gateway's own vote ---

    pub(super) fn begin_storing_marks(&mut self) {
        if let Some(bytes) = self.voter.as_mut().and_then(Voter::begin_write) {
            self.effects.push_back(Effect::StoreMarks(bytes));
        }
    }

    /// The bytes of [`Effect::StoreMarks`] are stored.
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
        // This voter's first grant to itself may have waited for that.
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

    pub(super) fn handle_fence_request(&mut self, now: Micros, from: &str, who: Vec<Participant>) {
        let Some(voter) = &mut self.voter else { return };
        let marks = voter.fence(now, from, who);
        self.begin_storing_marks();
        self.send_marks(now, from, marks);
    }

    /// A voter that has stored nothing asks for the marks of the others until it knows enough.
    pub(super) fn query_stored_marks(&mut self, now: Micros) {
        let recovers = self.voter.as_ref().is_some_and(Voter::is_recovering);
        if !recovers || self.marks_query_at > now {
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
        // The sender has stored nothing; this voter may recover too.
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
        self.log("the marks of the other voters are known: this one votes".into());
        self.begin_storing_marks();
    }
}
