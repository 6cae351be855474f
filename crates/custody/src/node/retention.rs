//! How long records and ended statements are remembered.

use std::collections::BTreeSet;

use super::statement::{Statement, Tombstone};
use super::{TakeoverNode, LINGER, MS, PEERS};
use crate::wire::{Message, Participant};
use crate::{Incarnation, Micros, StatementKey};

/// One in a chain that has said nothing for so long is asked which term it is in.
const SILENT: Micros = 5_000 * MS;
/// Statements that have ended, or went elsewhere, that are remembered.
const PAST: usize = 16_384;
/// A process that is not listed and of which nothing is held leaves after so long, and with it the number of its last sending.
const FORGOTTEN: Micros = 600_000 * MS;

impl TakeoverNode {
    pub(super) fn remove_statement(&mut self, key: &StatementKey) -> Option<Statement> {
        let entry = self.statements.remove(key)?;
        for link in &entry.links {
            self.remove_reference(key, &link.actor);
        }
        self.takeover_ready.remove(&(entry.deadline, key.clone()));
        self.expiry.remove(&(entry.deadline.saturating_add(LINGER), key.clone()));
        // Few are given back; the time at which one leaves is none that follows from it.
        if entry.held().is_some() && entry.links[entry.at].actor != self.local {
            self.expiry.retain(|(_, k)| k != key);
        }
        self.forward_at.remove(key);
        self.awaiting_replicas.remove(key);
        self.to_review.remove(key);
        if entry.held().is_none() {
            self.replica_usage =
                (self.replica_usage.0 - 1, self.replica_usage.1.saturating_sub(entry.octets()));
        }
        Some(entry)
    }

    pub(super) fn add_tombstone(&mut self, key: StatementKey, past: Tombstone) {
        if self.tombstones.insert(key.clone(), past).is_none() {
            self.tombstone_order.push_back((key, self.latest_time));
        }
        while self.tombstone_order.len() > PAST {
            if let Some((old, at)) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&old);
                self.last_tombstone_dropped = at + 1;
            }
        }
    }

    pub(super) fn remove_reference(&mut self, key: &StatementKey, actor: &Participant) {
        if let Some(keys) = self.statements_by_participant.get_mut(actor) {
            keys.remove(key);
            if keys.is_empty() {
                self.statements_by_participant.remove(actor);
            }
        }
    }

    /// One in the chain never acts for this statement.
    pub(super) fn exclude_replica(&mut self, key: &StatementKey, actor: &Participant) {
        if let Some(link) =
            self.statements.get_mut(key).and_then(|e| e.links.iter_mut().find(|l| l.actor == *actor))
        {
            link.gone = true;
        }
        self.remove_reference(key, actor);
    }

    pub(super) fn sweep_expired(&mut self, now: Micros) {
        while let Some((at, key)) = self.expiry.first().cloned().filter(|e| e.0 <= now) {
            self.expiry.remove(&(at, key.clone()));
            self.remove_statement(&key);
        }
        self.declined.retain(|_, until| now < *until);
        self.fencing_wanted.retain(|_, until| now < *until);
        // One may have become a guardian again that membership has said nothing new of: it tells its next term.
        let lacking =
            self.statements.iter().filter(|(_, e)| self.needs_replicas(now, e)).map(|(k, _)| k.clone());
        let lacking: Vec<StatementKey> = lacking.collect();
        self.to_review.extend(lacking);
        self.update_fencing_attempts(now);
        // One that was ended and lives has said so, but that may have been lost.
        let silent = |a: &&Participant| self.peers.get(a).is_none_or(|p| p.heard + SILENT <= now);
        let mut silent: BTreeSet<String> =
            self.statements_by_participant.keys().filter(silent).map(|a| a.life.name.clone()).collect();
        // One that lives, and was ended by others, is a guardian again once its next term is known.
        let ended = self.candidates.iter().filter(|c| self.is_fenced(&c.2, 0));
        silent.extend(ended.map(|c| c.2.name.clone()));
        silent.iter().for_each(|name| self.send_message(name, &Message::TermQuery));
        let (refs, lives, wanted) = (&self.statements_by_participant, &self.members, &self.fencing_wanted);
        let known = |life: &Incarnation| {
            lives.contains_key(life) || refs.keys().chain(wanted.keys()).any(|a| a.life == *life)
        };
        self.unlisted_since.retain(|life, _| known(life));
        self.incompatible.retain(|life| lives.contains_key(life));
        self.peers.retain(|a, p| known(&a.life) || now < p.heard + FORGOTTEN);
        if self.fenced_through.len() > PEERS {
            self.fenced_through.retain(|life, _| known(life));
        }
    }
}
