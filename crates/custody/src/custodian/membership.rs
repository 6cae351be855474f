//! Which processes are known: beliefs of membership, newest terms, and processes of another format.

use std::collections::BTreeSet;

use super::entry::Peer;
use super::selection::hash;
use super::{Custodian, Member, State, PEERS};
use crate::wire::Actor;
use crate::{Life, Micros, StatementKey};

impl Custodian {
    /// What membership believes, whenever it changes.
    pub fn members(&mut self, now: Micros, members: Vec<Member>) {
        let lives = members.into_iter().map(|m| (m.life, (m.state, m.site))).collect();
        let before = std::mem::replace(&mut self.lives, lives);
        // A process of the same name in the place of one that was listed: that one is gone. One that was never listed may be newer.
        let names: BTreeSet<&String> = self.lives.keys().map(|l| &l.name).collect();
        for life in before.into_keys().filter(|l| !self.lives.contains_key(l) && names.contains(&l.name)) {
            self.unlisted.insert(life, now.saturating_sub(self.terms.lease));
        }
        self.candidates = self
            .lives
            .iter()
            .filter(|(life, (state, _))| *state == State::Alive && life.name != self.me.life.name)
            .map(|(life, (_, site))| (*site == self.terms.site, hash(life), life.clone()))
            .collect();
        self.lives.keys().for_each(|l| {
            self.unlisted.remove(l);
        });
        self.missed(now);
        // Those that lack guardians may have some now; what is held by one that is gone is found through it.
        let lacking = self.entries.iter().filter(|(_, e)| self.lacks(now, e)).map(|(k, _)| k.clone());
        let lacking: Vec<StatementKey> = lacking.collect();
        self.looks.extend(lacking);
        self.run(now);
    }

    /// Whether membership has a process for gone.
    pub(super) fn lost(&self, now: Micros, life: &Life) -> bool {
        match self.lives.get(life) {
            Some((state, _)) => matches!(state, State::Dead | State::Left),
            // One that is not listed yet is not gone.
            None => self.unlisted.get(life).is_some_and(|since| now >= *since + self.terms.lease),
        }
    }

    /// A process says by its saying which term it is in: its earlier ones are over.
    pub(super) fn learn(&mut self, life: &Life, term: u32) -> bool {
        if self.newest.len() >= PEERS && !self.newest.contains_key(life) {
            let (lives, refs) = (&self.lives, &self.refs);
            self.newest.retain(|l, _| lives.contains_key(l) || refs.keys().any(|a| a.life == *l));
            if self.newest.len() >= PEERS {
                return false;
            }
        }
        let newest = self.newest.entry(life.clone()).or_insert(term);
        if *newest > term {
            return false;
        }
        if *newest < term || (term > 0 && !self.over.contains_key(life)) {
            *newest = term;
            self.now_over(&Actor { life: life.clone(), term: term - 1 });
        }
        true
    }

    /// A gateway's program reads another format: none of its processes that were told of is a guardian.
    pub(super) fn no_guardian(&mut self, now: Micros, name: &str) {
        let lives: Vec<Life> = self.lives.keys().filter(|l| l.name == name).cloned().collect();
        self.other.extend(lives);
        let of: Vec<(Actor, BTreeSet<StatementKey>)> = self
            .refs
            .iter()
            .filter(|(a, _)| a.life.name == name && self.other.contains(&a.life))
            .map(|(a, keys)| (a.clone(), keys.clone()))
            .collect();
        for (actor, keys) in of {
            keys.iter().for_each(|key| self.gone(key, &actor));
            if let Some(peer) = self.peers.get_mut(&actor) {
                *peer = Peer { numbers: peer.numbers, heard: peer.heard, ..Peer::default() };
            }
            self.looks.extend(keys);
        }
        self.run(now);
    }
}
