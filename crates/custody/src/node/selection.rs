//! Selection of the replicas of a statement.

use std::collections::BTreeSet;

use super::statement::{ReplicaProgress, Statement};
use super::{TakeoverNode, MS};
use crate::wire::{Participant, ReplicaEntry, BODY, CHAIN};
use crate::{Incarnation, Micros, StatementKey};

/// One that had no room is not chosen for so long.
const FULL: Micros = 1_000 * MS;

/// Scrambles a number: hashes of names and numbers that stay the same in every program.
pub(super) fn scramble(n: u64) -> u64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

pub(super) fn hash(life: &Incarnation) -> u64 {
    life.name.bytes().fold(scramble(life.life), |h, b| scramble(h ^ u64::from(b)))
}

impl TakeoverNode {
    pub(super) fn needs_replicas(&self, now: Micros, entry: &Statement) -> bool {
        entry.held().is_some()
            && entry.behind().filter(|&i| !self.believed_gone(now, &entry.links[i].actor.life)).count()
                < self.settings.copies
    }

    /// Chooses guardians until there are enough.
    pub(super) fn select_replicas(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.statements.get(key) else { return };
        if entry.record.body.len() > BODY {
            return;
        }
        let living = entry.behind().filter(|&i| !self.believed_gone(now, &entry.links[i].actor.life)).count();
        let full: BTreeSet<&Incarnation> = self
            .peers
            .iter()
            .filter(|(_, p)| p.full.is_some_and(|at| now < at + FULL))
            .map(|(a, _)| &a.life)
            .collect();
        let room = CHAIN - entry.links.len().min(CHAIN);
        let salt = scramble(hash(&key.taken_by) ^ key.number);
        let mut best: Vec<(bool, u64, &Incarnation)> = self
            .candidates
            .iter()
            .filter(|c| !self.incompatible.contains(&c.2) && !full.contains(&c.2))
            // Of one that was ended the next term has to be heard of first.
            .filter(|c| !self.is_fenced(&c.2, 0))
            .filter(|c| {
                !entry
                    .links
                    .iter()
                    .any(|l| l.actor.life == c.2 && !(l.gone && self.is_participant_fenced(&l.actor)))
            })
            .map(|c| (c.0, scramble(c.1 ^ salt), &c.2))
            .collect();
        let lack = self.settings.copies.saturating_sub(living).min(room).min(best.len());
        if lack == 0 {
            return;
        }
        best.select_nth_unstable(lack - 1);
        best.truncate(lack);
        best.sort_unstable();
        let chosen: Vec<Participant> = best
            .into_iter()
            .map(|(_, _, life)| Participant {
                life: life.clone(),
                term: self.newest_terms.get(life).copied().unwrap_or(0),
            })
            .collect();
        let Some(entry) = self.statements.get_mut(key) else { return };
        if chosen.is_empty() {
            return;
        }
        // The first ones of all come with the statement itself; later ones with a version that names them.
        if entry.links.len() > 1 || entry.record.version > 1 {
            entry.record.version += 1;
        }
        let (after, since) = (entry.links.len() as u8, entry.record.version);
        for actor in &chosen {
            entry.links.push(ReplicaEntry { actor: actor.clone(), gone: false, after });
            if let Some(held) = entry.held_mut() {
                held.guards.push(ReplicaProgress { since, ..ReplicaProgress::default() });
            }
            self.statements_by_participant.entry(actor.clone()).or_default().insert(key.clone());
        }
    }
}
