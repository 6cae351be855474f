//! Which processes are known: beliefs of membership, newest terms, and processes of another format.

use std::collections::BTreeSet;

use super::selection::hash;
use super::statement::Peer;
use super::{Member, MemberState, TakeoverNode, PEERS};
use crate::wire::Participant;
use crate::{Incarnation, Micros, StatementKey};

impl TakeoverNode {
    /// What membership believes, whenever it changes.
    pub fn update_members(&mut self, now: Micros, members: Vec<Member>) {
        let lives = members.into_iter().map(|m| (m.life, (m.state, m.site))).collect();
        let before = std::mem::replace(&mut self.members, lives);
        // A process of the same name in the place of one that was listed: that one is gone. One that was never listed may be newer.
        let names: BTreeSet<&String> = self.members.keys().map(|l| &l.name).collect();
        for life in before.into_keys().filter(|l| !self.members.contains_key(l) && names.contains(&l.name)) {
            self.unlisted_since.insert(life, now.saturating_sub(self.settings.lease));
        }
        self.candidates = self
            .members
            .iter()
            .filter(|(life, (state, _))| *state == MemberState::Alive && life.name != self.local.life.name)
            .map(|(life, (_, site))| (*site == self.settings.site, hash(life), life.clone()))
            .collect();
        self.members.keys().for_each(|l| {
            self.unlisted_since.remove(l);
        });
        self.update_fencing_attempts(now);
        // Those that lack guardians may have some now; what is held by one that is gone is found through it.
        let lacking =
            self.statements.iter().filter(|(_, e)| self.needs_replicas(now, e)).map(|(k, _)| k.clone());
        let lacking: Vec<StatementKey> = lacking.collect();
        self.to_review.extend(lacking);
        self.advance(now);
    }

    /// Whether membership has a process for gone.
    pub(super) fn believed_gone(&self, now: Micros, life: &Incarnation) -> bool {
        match self.members.get(life) {
            Some((state, _)) => matches!(state, MemberState::Dead | MemberState::Left),
            // One that is not listed yet is not gone.
            None => self.unlisted_since.get(life).is_some_and(|since| now >= *since + self.settings.lease),
        }
    }

    /// A process says by its saying which term it is in: its earlier ones are over.
    pub(super) fn learn_term(&mut self, life: &Incarnation, term: u32) -> bool {
        if self.newest_terms.len() >= PEERS && !self.newest_terms.contains_key(life) {
            let (lives, refs) = (&self.members, &self.statements_by_participant);
            self.newest_terms.retain(|l, _| lives.contains_key(l) || refs.keys().any(|a| a.life == *l));
            if self.newest_terms.len() >= PEERS {
                return false;
            }
        }
        let newest = self.newest_terms.entry(life.clone()).or_insert(term);
        if *newest > term {
            return false;
        }
        if *newest < term || (term > 0 && !self.fenced_through.contains_key(life)) {
            *newest = term;
            self.record_fenced(&Participant { life: life.clone(), term: term - 1 });
        }
        true
    }

    /// A gateway's program reads another format: none of its processes that were told of is a guardian.
    pub(super) fn exclude_incompatible_gateway(&mut self, now: Micros, name: &str) {
        let lives: Vec<Incarnation> = self.members.keys().filter(|l| l.name == name).cloned().collect();
        self.incompatible.extend(lives);
        let of: Vec<(Participant, BTreeSet<StatementKey>)> = self
            .statements_by_participant
            .iter()
            .filter(|(a, _)| a.life.name == name && self.incompatible.contains(&a.life))
            .map(|(a, keys)| (a.clone(), keys.clone()))
            .collect();
        for (actor, keys) in of {
            keys.iter().for_each(|key| self.exclude_replica(key, &actor));
            if let Some(peer) = self.peers.get_mut(&actor) {
                *peer = Peer { numbers: peer.numbers, heard: peer.heard, ..Peer::default() };
            }
            self.to_review.extend(keys);
        }
        self.advance(now);
    }
}
