//! What a voter has heard of the participants: the evidence without which it fences nobody.
//!
//! A process is silent if this voter has not heard for the duration of a lease that it holds its lease, and was
//! itself in contact with a quorum of voters during all that time. A process that holds its lease is heard by a
//! quorum, so no other quorum finds it silent, whatever the gateway believes that asks for the fence. A voter
//! that was cut off, or has stood still, listens for the duration of a lease first, and a process that is heard
//! again after a silence gets that time to renew its lease.

use std::collections::BTreeMap;

use crate::lease::{LeaseTimes, QuorumContact};
use crate::voter::MAX_REMEMBERED;
use crate::wire::Participant;
use crate::{Incarnation, Micros};

/// Requests that come further apart than this part of a lease begin anew.
const SILENCES_PER_LEASE: u64 = 2;

/// What was heard of an incarnation in its newest term.
struct Heard {
    term: u32,
    last_request_at: Micros,
    /// When it last said that it holds its lease, or began to request one after a silence. One that requests its
    /// lease on and on without getting it may not hear this voter.
    alive_at: Micros,
}

/// The evidence of one voter.
pub(crate) struct Evidence {
    times: LeaseTimes,
    heard: BTreeMap<Incarnation, Heard>,
}

impl Evidence {
    pub fn new(times: LeaseTimes) -> Evidence {
        Evidence { times, heard: BTreeMap::new() }
    }

    /// Records that a participant requests its lease, and whether it says that it holds it.
    pub fn record_heard(&mut self, now: Micros, participant: &Participant, holds_lease: bool) {
        let Participant { incarnation, term } = participant;
        if !self.has_room_for(now, incarnation) {
            return;
        }
        let silence = self.times.lease / SILENCES_PER_LEASE;
        let requests_on = |heard: &&Heard| heard.term == *term && now < heard.last_request_at + silence;
        let alive_before = self.heard.get(incarnation).filter(requests_on).map(|heard| heard.alive_at);
        let alive_at = alive_before.filter(|_| !holds_lease).unwrap_or(now);
        self.heard.insert(incarnation.clone(), Heard { term: *term, last_request_at: now, alive_at });
    }

    fn has_room_for(&mut self, now: Micros, incarnation: &Incarnation) -> bool {
        if self.heard.len() >= MAX_REMEMBERED {
            let span = self.times.voter_span();
            self.heard.retain(|_, heard| now < heard.last_request_at + span);
        }
        self.heard.len() < MAX_REMEMBERED || self.heard.contains_key(incarnation)
    }

    /// When a participant counts as silent if this voter stays in contact and hears nothing of it until then;
    /// `None` without contact to a quorum of voters.
    pub fn due_at(&self, participant: &Participant, contact: Option<QuorumContact>) -> Option<Micros> {
        let heard = self.heard.get(&participant.incarnation);
        let heard = heard.filter(|heard| heard.term <= participant.term);
        let alive_at = heard.map_or(0, |heard| heard.alive_at);
        contact.map(|contact| alive_at.max(contact.since) + self.times.voter_span())
    }

    /// Whether a participant is silent.
    pub fn is_complete(&self, participant: &Participant, contact: Option<QuorumContact>) -> bool {
        let due = self.due_at(participant, contact);
        due.zip(contact).is_some_and(|(due, contact)| contact.until >= due)
    }
}
