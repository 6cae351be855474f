//! Removal of statements and of expired state, and the index of statements by participant.

use std::collections::BTreeSet;

use super::statement::Statement;
use super::tombstones::Tombstone;
use super::{TakeoverNode, MAX_PEERS, MILLISECOND};
use crate::wire::{Message, Participant};
use crate::{Incarnation, Micros, StatementKey};

/// A participant of a replica list that has sent nothing for this time is asked for its term.
const SILENCE_TIMEOUT: Micros = 5_000 * MILLISECOND;
/// How long the state of a process, including the number of its last batch, is kept after its last message if
/// the process is neither listed by membership nor referred to.
const PEER_RETENTION: Micros = 600_000 * MILLISECOND;

impl TakeoverNode {
    /// Removes a statement and everything that refers to it.
    pub(super) fn remove_statement(&mut self, key: &StatementKey) -> Option<Statement> {
        let statement = self.statements.remove(key)?;
        for entry in &statement.replicas {
            self.remove_reference(key, &entry.participant);
        }
        self.takeover_ready.remove(&(statement.deadline, key.clone()));
        self.expiry.remove(&(statement.expires_at(), key.clone()));
        // A returned statement expires at a time that cannot be derived from its deadline; there are few of
        // them.
        let own_entry = &statement.replicas[statement.position];
        if statement.is_owned() && own_entry.participant != self.local {
            self.expiry.retain(|(_, other)| other != key);
        }
        self.forward_at.remove(key);
        self.awaiting_replicas.remove(key);
        self.to_review.remove(key);
        if !statement.is_owned() {
            self.replica_usage.records -= 1;
            self.replica_usage.bytes = self.replica_usage.bytes.saturating_sub(statement.size_in_bytes());
        }
        Some(statement)
    }

    pub(super) fn add_tombstone(&mut self, key: StatementKey, tombstone: Tombstone) {
        self.tombstones.add(self.latest_time, key, tombstone);
    }

    /// Adds a participant that may act for a statement to the index, which does not cover this gateway
    /// itself.
    pub(super) fn add_reference(&mut self, key: &StatementKey, participant: &Participant) {
        if *participant != self.local {
            self.statements_by_participant.entry(participant.clone()).or_default().insert(key.clone());
        }
    }

    pub(super) fn remove_reference(&mut self, key: &StatementKey, participant: &Participant) {
        let Some(keys) = self.statements_by_participant.get_mut(participant) else { return };
        keys.remove(key);
        if keys.is_empty() {
            self.statements_by_participant.remove(participant);
        }
    }

    /// Excludes a member of a statement's replica list from acting for it.
    pub(super) fn exclude_replica(&mut self, key: &StatementKey, participant: &Participant) {
        let statement = self.statements.get_mut(key);
        let entry = statement.and_then(|statement| {
            statement.replicas.iter_mut().find(|entry| entry.participant == *participant)
        });
        if let Some(entry) = entry {
            entry.excluded = true;
        }
        self.remove_reference(key, participant);
    }

    /// Drops expired state, and asks for announcements that may have been lost.
    pub(super) fn sweep(&mut self, now: Micros) {
        while let Some((at, key)) = self.expiry.first().cloned().filter(|(at, _)| *at <= now) {
            self.expiry.remove(&(at, key.clone()));
            self.remove_statement(&key);
        }
        self.declined.retain(|_, until| now < *until);
        self.fencing_wanted.retain(|_, until| now < *until);
        // A fenced process becomes a candidate again when it announces its next term, without any change of
        // membership.
        self.review_statements_without_replicas(now);
        self.update_fencing_attempts(now);
        self.query_terms(now);
        self.forget_unneeded_processes(now);
    }

    /// Asks silent participants for their terms, and fenced candidates too: the announcement of a fenced
    /// process's next term may have been lost.
    fn query_terms(&mut self, now: Micros) {
        let is_silent = |participant: &&Participant| {
            self.peers.get(participant).is_none_or(|peer| peer.last_heard + SILENCE_TIMEOUT <= now)
        };
        let silent = self.statements_by_participant.keys().filter(is_silent);
        let mut names: BTreeSet<String> =
            silent.map(|participant| participant.incarnation.name.clone()).collect();
        let fenced = self.candidates.iter().filter(|candidate| self.is_fenced(&candidate.incarnation, 0));
        names.extend(fenced.map(|candidate| candidate.incarnation.name.clone()));
        names.iter().for_each(|name| self.send_message(name, &Message::TermQuery));
    }

    fn forget_unneeded_processes(&mut self, now: Micros) {
        let (members, wanted) = (&self.members, &self.fencing_wanted);
        let referenced = &self.statements_by_participant;
        let is_needed = |incarnation: &Incarnation| {
            let mut in_use = referenced.keys().chain(wanted.keys());
            members.contains_key(incarnation)
                || in_use.any(|participant| participant.incarnation == *incarnation)
        };
        self.unlisted_since.retain(|incarnation, _| is_needed(incarnation));
        self.incompatible.retain(|incarnation| members.contains_key(incarnation));
        self.peers.retain(|participant, peer| {
            is_needed(&participant.incarnation) || now < peer.last_heard + PEER_RETENTION
        });
        if self.fenced_through.len() > MAX_PEERS {
            self.fenced_through.retain(|incarnation, _| is_needed(incarnation));
        }
    }
}
