//! Fencing: asking the voters to end processes that are gone, and this voter's part in that.

use std::collections::{BTreeMap, BTreeSet};

use super::statement::Peer;
use super::{Effect, InjectedFault, TakeoverNode, MARKS_AGAIN, MS, PEERS};
use crate::tenure::{FencingAttempt, Voter};
use crate::wire::{self, Message, Participant, DATAGRAM};
use crate::{Incarnation, Micros};

/// Whether a life is over is asked of the voters for so long after somebody wanted to know.
const WANTED: Micros = 30_000 * MS;

impl TakeoverNode {
    /// What [`Effect::StoreMarks`] asked for is on disk.
    pub fn marks_stored(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let mut told: BTreeMap<String, Vec<(Participant, Micros)>> = BTreeMap::new();
        for (to, actor, left) in voter.kept(now) {
            told.entry(to).or_default().push((actor, left));
        }
        self.store_marks();
        for (to, marks) in told {
            self.send_marks(now, &to, marks);
        }
        // Its own first grant may have waited for that.
        self.renew_at = now;
    }

    pub(super) fn send_marks(&mut self, now: Micros, to: &str, marks: Vec<(Participant, Micros)>) {
        if to == self.local.life.name {
            return self.handle_fence_marks(now, to, marks);
        }
        for part in wire::parts(marks, |m| &m.0) {
            self.send_message(to, &Message::FenceMarks(part));
        }
    }

    /// Whether a life is surely over through a term, or through the newest one that was heard of. Belief is not enough: on the far
    /// side of a cut a holder that goes on looks dead.
    pub fn is_fenced(&self, life: &Incarnation, term: u32) -> bool {
        let newest = self.newest_terms.get(life).copied().unwrap_or(0);
        self.is_participant_fenced(&Participant { life: life.clone(), term: term.max(newest) })
    }

    /// Somebody wants to know whether a life is surely over. If membership has it for gone, the voters are asked to end it, for
    /// half a minute from now.
    pub fn request_fencing(&mut self, now: Micros, life: &Incarnation, term: u32) {
        let newest = self.newest_terms.get(life).copied().unwrap_or(0);
        let actor = Participant { life: life.clone(), term: term.max(newest) };
        if self.is_participant_fenced(&actor)
            || (self.fencing_wanted.len() >= PEERS && !self.fencing_wanted.contains_key(&actor))
        {
            return;
        }
        self.fencing_wanted.insert(actor, now + WANTED);
        self.update_fencing_attempts(now);
        self.advance(now);
    }

    pub(super) fn is_participant_fenced(&self, actor: &Participant) -> bool {
        self.fenced_through.get(&actor.life).is_some_and(|through| actor.term <= *through)
    }

    /// Whoever is gone and stands in a chain is to be ended.
    pub(super) fn update_fencing_attempts(&mut self, now: Micros) {
        for actor in self.statements_by_participant.keys().chain(self.fencing_wanted.keys()) {
            if !self.members.contains_key(&actor.life) && !self.members.is_empty() {
                self.unlisted_since.entry(actor.life.clone()).or_insert(now);
            }
        }
        let named = self.statements_by_participant.keys().chain(self.fencing_wanted.keys());
        let lost: Vec<Participant> = named
            .filter(|a| self.believed_gone(now, &a.life) && !self.is_participant_fenced(a))
            .cloned()
            .collect();
        for actor in lost {
            self.fencing.entry(actor).or_default();
        }
        let (refs, wanted) = (&self.statements_by_participant, &self.fencing_wanted);
        self.fencing.retain(|a, _| refs.contains_key(a) || wanted.contains_key(a));
    }

    pub(super) fn request_marks(&mut self, now: Micros) {
        // One without a tenure could take nothing over. It may be the one that is cut off: after the heal its old belief would end
        // all those that went on.
        let due = |e: &FencingAttempt| e.asked.is_none_or(|at| at + MARKS_AGAIN <= now);
        if !self.lease_held || !self.fencing.values().any(due) {
            return;
        }
        let lease = self.settings.lease;
        for voter in self.settings.voters.clone() {
            let lacking: Vec<Participant> = self
                .fencing
                .iter()
                .filter(|(_, e)| due(e) && e.lacks(now, &voter, lease))
                .map(|(a, _)| a.clone())
                .collect();
            if lacking.is_empty() {
                continue;
            }
            if voter == self.local.life.name {
                self.handle_fence_request(now, &voter, lacking);
            } else {
                wire::parts(lacking, |a| a)
                    .into_iter()
                    .for_each(|p| self.send_message(&voter, &Message::FenceRequest(p)));
            }
        }
        self.fencing.values_mut().filter(|e| due(e)).for_each(|e| e.asked = Some(now));
    }

    /// A voter that has kept nothing asks what the others have, until it knows enough.
    pub(super) fn query_stored_marks(&mut self, now: Micros) {
        if !self.voter.as_ref().is_some_and(Voter::is_empty) || self.marks_query_at > now {
            return;
        }
        self.marks_query_at = now + MARKS_AGAIN;
        for voter in self.settings.voters.clone() {
            if voter != self.local.life.name {
                self.send_message(&voter, &Message::MarksQuery(now));
            }
        }
    }

    pub(super) fn answer_marks_query(&mut self, now: Micros, from: &str, asked: Micros) {
        let Some(kept) = self.voter.as_ref().map(Voter::tells) else { return };
        // Who asks has nothing; and this one may have nothing either.
        self.learn_stored_marks(now, from, now, &[]);
        let bytes = Message::StoredMarks { asked, kept }.write(self.local.life.life, self.local.term);
        let to = from.to_owned();
        self.effects.push_back(if bytes.len() <= DATAGRAM {
            Effect::SendDatagram(to, bytes)
        } else {
            Effect::SendRecords(to, bytes)
        });
    }

    pub(super) fn learn_stored_marks(&mut self, now: Micros, from: &str, asked: Micros, kept: &[u8]) {
        let other = from != self.local.life.name && self.settings.voters.iter().any(|v| v == from);
        let Some(voter) = self.voter.as_mut().filter(|v| other && v.is_empty()) else { return };
        voter.learn(now, from, asked, kept);
        if voter.is_empty() {
            return;
        }
        self.effects
            .push_back(Effect::Log("what the other voters have marked is known: this one votes".into()));
        self.store_marks();
    }

    pub(super) fn handle_fence_request(&mut self, now: Micros, from: &str, who: Vec<Participant>) {
        let Some(voter) = &mut self.voter else { return };
        let told = voter.end(now, from, who);
        self.store_marks();
        self.send_marks(now, from, told);
    }

    pub(super) fn handle_fence_marks(&mut self, now: Micros, voter: &str, marks: Vec<(Participant, Micros)>) {
        if !self.settings.voters.iter().any(|v| v == voter) {
            return;
        }
        let waits = self.fault != InjectedFault::GrantNotWaitedOut;
        let (quorum, lease) = (self.quorum(), self.settings.lease);
        for (actor, left) in marks {
            if let Some(end) = self.fencing.get_mut(&actor) {
                let at = if waits { now + self.lease_times.surely(left) } else { now };
                end.marked(voter, now, at, quorum, lease);
            }
        }
    }

    pub(super) fn finish_fencing(&mut self, now: Micros) {
        let over: Vec<Participant> = self
            .fencing
            .iter()
            .filter(|(_, e)| e.over.is_some_and(|at| at <= now))
            .map(|(a, _)| a.clone())
            .collect();
        for actor in over {
            self.fencing.remove(&actor);
            let Incarnation { name, life } = &actor.life;
            let of = self.statements_by_participant.get(&actor).map_or(0, BTreeSet::len);
            self.effects
                .push_back(Effect::Log(format!("{name} ({life:016x}) is surely over: {of} statements")));
            self.record_fenced(&actor);
        }
    }

    pub(super) fn record_fenced(&mut self, actor: &Participant) {
        let through = self.fenced_through.entry(actor.life.clone()).or_insert(actor.term);
        *through = actor.term.max(*through);
        let through = *through;
        let from = Participant { life: actor.life.clone(), term: 0 };
        let to = Participant { life: actor.life.clone(), term: through };
        let of = self.statements_by_participant.range(from..=to).flat_map(|(_, keys)| keys.iter().cloned());
        self.to_review.extend(of);
        // The numbers stay: what comes late from there is not taken for new.
        for (_, peer) in self.peers.iter_mut().filter(|(a, _)| a.life == actor.life && a.term <= through) {
            *peer = Peer { numbers: peer.numbers, heard: peer.heard, ..Peer::default() };
        }
    }
}
