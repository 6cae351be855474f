//! The known processes: their state according to membership, their newest terms, and whether they support
//! this message format.

use std::collections::BTreeSet;

use super::selection::{hash_incarnation, Candidate};
use super::{Member, MemberState, TakeoverNode, MAX_PEERS};
use crate::wire::Participant;
use crate::{Incarnation, Micros, StatementKey};

/// What membership reports of one process.
pub(super) struct MemberInfo {
    state: MemberState,
    site: String,
}

impl TakeoverNode {
    /// Updates the list of members; the caller passes the whole list whenever it changes.
    pub fn update_members(&mut self, now: Micros, members: Vec<Member>) {
        let info =
            |member: Member| (member.incarnation, MemberInfo { state: member.state, site: member.site });
        let members = members.into_iter().map(info).collect();
        let before = std::mem::replace(&mut self.members, members);
        // A listed process that was replaced by another one of its name is gone. A process that was never
        // listed may be newer than the listed one.
        let names: BTreeSet<&String> = self.members.keys().map(|incarnation| &incarnation.name).collect();
        let replaced = |incarnation: &Incarnation| {
            !self.members.contains_key(incarnation) && names.contains(&incarnation.name)
        };
        for incarnation in before.into_keys().filter(replaced) {
            self.unlisted_since.insert(incarnation, now.saturating_sub(self.settings.lease));
        }
        self.update_candidates();
        self.unlisted_since.retain(|incarnation, _| !self.members.contains_key(incarnation));
        self.update_fencing_attempts(now);
        // There may be new candidates for statements that lack replicas.
        self.review_statements_without_replicas(now);
        self.advance(now);
    }

    fn update_candidates(&mut self) {
        let local = &self.local.incarnation.name;
        let is_candidate = |(incarnation, info): &(&Incarnation, &MemberInfo)| {
            info.state == MemberState::Alive && incarnation.name != *local
        };
        let candidate = |(incarnation, info): (&Incarnation, &MemberInfo)| Candidate {
            same_site: info.site == self.settings.site,
            hash: hash_incarnation(incarnation),
            incarnation: incarnation.clone(),
        };
        self.candidates = self.members.iter().filter(is_candidate).map(candidate).collect();
    }

    /// Whether a process is gone according to membership.
    pub(super) fn is_believed_gone(&self, now: Micros, incarnation: &Incarnation) -> bool {
        match self.members.get(incarnation) {
            Some(info) => matches!(info.state, MemberState::Dead | MemberState::Left),
            // An unlisted process may just not be listed yet: it counts as gone after the duration of a
            // lease.
            None => {
                let since = self.unlisted_since.get(incarnation);
                since.is_some_and(|since| now >= *since + self.settings.lease)
            }
        }
    }

    /// Records the term in which a process has sent a message, which proves its earlier terms to be over.
    /// Returns whether the message may be used: not if it is of an earlier term, or if there is no room for
    /// another process.
    pub(super) fn learn_term(&mut self, incarnation: &Incarnation, term: u32) -> bool {
        if !self.has_room_for_term_of(incarnation) {
            return false;
        }
        let newest = self.newest_terms.entry(incarnation.clone()).or_insert(term);
        if *newest > term {
            return false;
        }
        if *newest < term || (term > 0 && !self.fenced_through.contains_key(incarnation)) {
            *newest = term;
            self.record_fenced(&Participant { incarnation: incarnation.clone(), term: term - 1 });
        }
        true
    }

    fn has_room_for_term_of(&mut self, incarnation: &Incarnation) -> bool {
        if self.newest_terms.len() < MAX_PEERS || self.newest_terms.contains_key(incarnation) {
            return true;
        }
        let (members, referenced) = (&self.members, &self.statements_by_participant);
        let is_needed = |known: &Incarnation| {
            members.contains_key(known)
                || referenced.keys().any(|participant| participant.incarnation == *known)
        };
        self.newest_terms.retain(|known, _| is_needed(known));
        self.newest_terms.len() < MAX_PEERS
    }

    /// The participant of a process in its newest known term, or in `term` if that is later.
    pub(super) fn participant_in_newest_term(&self, incarnation: &Incarnation, term: u32) -> Participant {
        let newest = self.newest_terms.get(incarnation).copied().unwrap_or(0);
        Participant { incarnation: incarnation.clone(), term: term.max(newest) }
    }

    /// Excludes the known processes of a gateway whose program supports another message format only.
    pub(super) fn exclude_incompatible_gateway(&mut self, now: Micros, name: &str) {
        let listed: Vec<Incarnation> =
            self.members.keys().filter(|incarnation| incarnation.name == name).cloned().collect();
        self.incompatible.extend(listed);
        let is_incompatible =
            |participant: &Participant| self.incompatible.contains(&participant.incarnation);
        let excluded: Vec<(Participant, BTreeSet<StatementKey>)> = self
            .statements_by_participant
            .iter()
            .filter(|(participant, _)| participant.incarnation.name == name && is_incompatible(participant))
            .map(|(participant, keys)| (participant.clone(), keys.clone()))
            .collect();
        for (participant, keys) in excluded {
            keys.iter().for_each(|key| self.exclude_replica(key, &participant));
            if let Some(peer) = self.peers.get_mut(&participant) {
                peer.clear_queues();
            }
            self.to_review.extend(keys);
        }
        self.advance(now);
    }
}
