//! Queries of the caller and of operators about statements.

use super::statement::Statement;
use super::tombstones::Tombstone;
use super::{StatementLocation, TakeoverNode};
use crate::wire::{Participant, ReplicaEntry};
use crate::{Incarnation, StatementKey};

/// The amount of state that a gateway holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Statements that this gateway owns.
    pub owned: usize,
    /// Records held for other gateways.
    pub replica_records: usize,
    /// Total size of these records.
    pub replica_bytes: usize,
    /// Owned statements with an action that waits until it is recorded at the replicas.
    pub awaiting_replicas: usize,
}

impl TakeoverNode {
    /// The number of this process's term, from 0: a process that is fenced while it runs goes on in the next
    /// one, without the statements that it owned.
    pub fn term(&self) -> u32 {
        self.local.term
    }

    /// The processes in a statement's replica list, starting with its first owner.
    pub fn replica_list(&self, key: &StatementKey) -> Vec<Incarnation> {
        self.replica_list_with_terms(key).into_iter().map(|(incarnation, _)| incarnation).collect()
    }

    /// The processes in a statement's replica list, each with the term in which it is listed.
    pub fn replica_list_with_terms(&self, key: &StatementKey) -> Vec<(Incarnation, u32)> {
        let Some(statement) = self.statements.get(key) else { return Vec::new() };
        let with_term = |entry: &ReplicaEntry| {
            let Participant { incarnation, term } = &entry.participant;
            (incarnation.clone(), *term)
        };
        statement.replicas.iter().map(with_term).collect()
    }

    /// Which gateway has a statement, as far as this one knows.
    pub fn locate(&self, key: &StatementKey) -> StatementLocation {
        if let Some(statement) = self.statements.get(key) {
            return self.locate_kept(statement);
        }
        match self.tombstones.get(key) {
            Some(Tombstone::Ended(ending)) => StatementLocation::Ended(ending.clone()),
            Some(Tombstone::Moved { replicas, .. }) => {
                let running = replicas.iter().find(|incarnation| self.may_run(incarnation));
                running.map_or(StatementLocation::Unknown, |incarnation| {
                    StatementLocation::Remote(incarnation.clone())
                })
            }
            None => self.locate_by_number(key),
        }
    }

    fn locate_kept(&self, statement: &Statement) -> StatementLocation {
        match statement.ownership() {
            Some(ownership) if ownership.pending_takeover.is_some() => return StatementLocation::TakingOver,
            Some(ownership) if !ownership.resigning => return StatementLocation::Local,
            _ => {}
        }
        let may_act = |entry: &&ReplicaEntry| {
            let is_gone = self.is_believed_gone(self.latest_time, &entry.participant.incarnation);
            !entry.excluded && !self.is_participant_fenced(&entry.participant) && !is_gone
        };
        match statement.replicas.iter().find(may_act) {
            Some(entry) if entry.participant == self.local => StatementLocation::TakingOver,
            Some(entry) => StatementLocation::Remote(entry.participant.incarnation.clone()),
            None => StatementLocation::Unknown,
        }
    }

    /// Locates a statement of which nothing is kept here, by the incarnation that accepted it and its number.
    fn locate_by_number(&self, key: &StatementKey) -> StatementLocation {
        let accepted_by = &key.accepted_by;
        if *accepted_by == self.local.incarnation {
            return if key.number <= self.last_number {
                StatementLocation::Ended(None)
            } else {
                StatementLocation::Unknown
            };
        }
        if self.members.contains_key(accepted_by) && self.may_run(accepted_by) {
            return StatementLocation::Remote(accepted_by.clone());
        }
        StatementLocation::Unknown
    }

    fn may_run(&self, incarnation: &Incarnation) -> bool {
        let is_gone = self.is_believed_gone(self.latest_time, incarnation);
        !is_gone && !self.fenced_through.contains_key(incarnation)
    }

    /// Whether this process owned the statement in an earlier term and is only returning it to other
    /// gateways.
    pub fn is_returning(&self, key: &StatementKey) -> bool {
        let Some(statement) = self.statements.get(key) else { return false };
        let resigning = statement.ownership().is_some_and(|ownership| ownership.resigning);
        resigning && statement.replicas[statement.position].participant != self.local
    }

    /// The amount of state that this gateway holds.
    pub fn usage(&self) -> Usage {
        Usage {
            owned: self.statements.len() - self.replica_usage.records,
            replica_records: self.replica_usage.records,
            replica_bytes: self.replica_usage.bytes,
            awaiting_replicas: self.awaiting_replicas.len(),
        }
    }

    /// A description of a statement's replica list, for reports of failed simulations.
    pub fn describe(&self, key: &StatementKey) -> String {
        let Some(statement) = self.statements.get(key) else { return "nothing".into() };
        let entries = statement.replicas.iter().enumerate();
        let entries: Vec<String> =
            entries.map(|(position, entry)| self.describe_replica(statement, position, entry)).collect();
        let version = statement.record.version;
        format!("version {version:x}, position {} of {}", statement.position, entries.join(", "))
    }

    fn describe_replica(&self, statement: &Statement, position: usize, entry: &ReplicaEntry) -> String {
        let Participant { incarnation, term } = &entry.participant;
        let excluded = if entry.excluded { " excluded" } else { "" };
        let is_gone = self.is_believed_gone(self.latest_time, incarnation);
        let gone = if is_gone { " believed gone" } else { "" };
        let progress = statement.ownership().map(|ownership| ownership.progress[position]);
        let progress = progress.map_or(String::new(), |progress| {
            format!(" acked {:x} of {:x}", progress.acked_version, progress.sent_version)
        });
        format!("{} {:x}/{term}{excluded}{gone}{progress}", incarnation.name, incarnation.number >> 48)
    }
}
