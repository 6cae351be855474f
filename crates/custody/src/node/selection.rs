//! Selection of a statement's replicas: processes at other sites first, then by a hash of statement and
//! process, which spreads statements evenly.

use std::collections::BTreeSet;

use super::statement::{ReplicaProgress, Statement};
use super::{TakeoverNode, MILLISECOND};
use crate::wire::{Participant, ReplicaEntry, MAX_BODY_BYTES, MAX_REPLICAS};
use crate::{Incarnation, Micros, StatementKey};

/// How long a process that had no room is not selected.
const FULL_COOLDOWN: Micros = 1_000 * MILLISECOND;

/// A process that may become a replica.
pub(super) struct Candidate {
    pub(super) same_site: bool,
    pub(super) hash: u64,
    pub(super) incarnation: Incarnation,
}

/// A candidate as ranked for one statement; the derived order is the order of preference.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedCandidate<'a> {
    same_site: bool,
    rank: u64,
    incarnation: &'a Incarnation,
}

/// Mixes the bits of a number (splitmix64). Must be the same in every program version: owners and their
/// successors have to agree on the ranking.
fn mix_bits(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

pub(super) fn hash_incarnation(incarnation: &Incarnation) -> u64 {
    let add_byte = |hash: u64, byte: u8| mix_bits(hash ^ u64::from(byte));
    incarnation.name.bytes().fold(mix_bits(incarnation.number), add_byte)
}

impl TakeoverNode {
    /// The number of successors that are not gone according to membership.
    fn count_living_successors(&self, now: Micros, statement: &Statement) -> usize {
        let is_gone = |position: &usize| self.is_believed_gone(now, statement.incarnation_at(*position));
        statement.successors().filter(|position| !is_gone(position)).count()
    }

    /// Whether an owned statement has fewer replicas than it should.
    pub(super) fn needs_replicas(&self, now: Micros, statement: &Statement) -> bool {
        statement.is_owned() && self.count_living_successors(now, statement) < self.settings.replicas
    }

    pub(super) fn review_statements_without_replicas(&mut self, now: Micros) {
        let lacking = self.statements.iter().filter(|(_, statement)| self.needs_replicas(now, statement));
        let lacking: Vec<StatementKey> = lacking.map(|(key, _)| key.clone()).collect();
        self.to_review.extend(lacking);
    }

    /// Selects the missing replicas and appends them to the replica list.
    pub(super) fn select_replicas(&mut self, now: Micros, key: &StatementKey) {
        let selected = self.best_candidates(now, key);
        if selected.is_empty() {
            return;
        }
        let Some(statement) = self.statements.get_mut(key) else { return };
        // The first replicas are part of the first version; later ones need a new version.
        if statement.replicas.len() > 1 || statement.record.version > 1 {
            statement.record.version += 1;
        }
        let added_after = statement.replicas.len() as u8;
        let progress =
            ReplicaProgress { since_version: statement.record.version, ..ReplicaProgress::default() };
        for participant in &selected {
            let participant = participant.clone();
            statement.replicas.push(ReplicaEntry { participant, excluded: false, added_after });
            if let Some(ownership) = statement.ownership_mut() {
                ownership.progress.push(progress);
            }
        }
        selected.iter().for_each(|participant| self.add_reference(key, participant));
    }

    /// As many candidates as the statement lacks replicas, best first.
    fn best_candidates(&self, now: Micros, key: &StatementKey) -> Vec<Participant> {
        let Some(statement) = self.statements.get(key) else { return Vec::new() };
        if statement.record.body.len() > MAX_BODY_BYTES {
            return Vec::new();
        }
        let mut ranked = self.rank_candidates(now, key, statement);
        let lacking = self.settings.replicas.saturating_sub(self.count_living_successors(now, statement));
        let room = MAX_REPLICAS.saturating_sub(statement.replicas.len());
        let count = lacking.min(room).min(ranked.len());
        if count == 0 {
            return Vec::new();
        }
        ranked.select_nth_unstable(count - 1);
        ranked.truncate(count);
        ranked.sort_unstable();
        let in_newest_term =
            |candidate: RankedCandidate<'_>| self.participant_in_newest_term(candidate.incarnation, 0);
        ranked.into_iter().map(in_newest_term).collect()
    }

    fn rank_candidates<'a>(
        &'a self,
        now: Micros,
        key: &StatementKey,
        statement: &Statement,
    ) -> Vec<RankedCandidate<'a>> {
        let full = self.full_processes(now);
        // A fenced process is usable again once it has announced its next term.
        let is_usable = |incarnation: &Incarnation| {
            !self.incompatible.contains(incarnation)
                && !full.contains(incarnation)
                && !self.is_fenced(incarnation, 0)
                && !self.is_listed(statement, incarnation)
        };
        let salt = mix_bits(hash_incarnation(&key.accepted_by) ^ key.number);
        self.candidates
            .iter()
            .filter(|candidate| is_usable(&candidate.incarnation))
            .map(|candidate| RankedCandidate {
                same_site: candidate.same_site,
                rank: mix_bits(candidate.hash ^ salt),
                incarnation: &candidate.incarnation,
            })
            .collect()
    }

    /// Processes that had no room within the last [`FULL_COOLDOWN`].
    fn full_processes(&self, now: Micros) -> BTreeSet<&Incarnation> {
        let is_full = |full_since: Option<Micros>| full_since.is_some_and(|at| now < at + FULL_COOLDOWN);
        let full = self.peers.iter().filter(|(_, peer)| is_full(peer.full_since));
        full.map(|(participant, _)| &participant.incarnation).collect()
    }

    /// Whether a process is in the replica list in a term that is not fenced.
    fn is_listed(&self, statement: &Statement, incarnation: &Incarnation) -> bool {
        statement.replicas.iter().any(|entry| {
            let is_past = entry.excluded && self.is_participant_fenced(&entry.participant);
            entry.participant.incarnation == *incarnation && !is_past
        })
    }
}
