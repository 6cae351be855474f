//! One statement as it is kept here: as its owner, or as one of its replicas.

use super::REPLICA_RETENTION;
use crate::wire::{Participant, ReplicaEntry, ReplicaRecord};
use crate::{Incarnation, Micros, Record};

/// Bytes counted for a record beside its variable parts.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Bytes counted for a member of the replica list beside its name.
const REPLICA_OVERHEAD_BYTES: usize = 48;

/// What an owner knows of one member of the replica list.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReplicaProgress {
    /// The version with which it came into the list, as this owner counts.
    pub(super) since_version: u64,
    pub(super) sent_version: u64,
    pub(super) acked_version: u64,
    pub(super) has_body: bool,
    /// It may have been notified of the statement.
    pub(super) notified: bool,
}

/// An attempt that may not start before a version is recorded at the replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingAttempt {
    /// Attempts spent, this one included.
    pub(super) attempts: u32,
    pub(super) version: u64,
}

/// What only the owner of a statement keeps.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    /// For each member of the replica list, in its order.
    pub(super) progress: Vec<ReplicaProgress>,
    pub(super) pending_attempt: Option<PendingAttempt>,
    /// An ending may not be reported before that version is recorded.
    pub(super) pending_ending: Option<u64>,
    /// Taken over with an ending: announced once that version is recorded.
    pub(super) pending_takeover: Option<u64>,
    /// Resigned; the statement stays until another gateway has it.
    pub(super) resigning: bool,
    /// Another gateway may have been told of the resignation.
    pub(super) resignation_sent: bool,
    /// The missing replicas have been reported.
    pub(super) unreplicated: bool,
}

impl Ownership {
    /// Whether this gateway acts for the statement: it has not resigned, and its takeover is announced.
    pub(super) fn is_active(&self) -> bool {
        !self.resigning && self.pending_takeover.is_none()
    }

    /// Whether something waits until a version is recorded.
    pub(super) fn is_pending(&self) -> bool {
        self.pending_attempt.is_some() || self.pending_ending.is_some() || self.pending_takeover.is_some()
    }
}

/// This gateway's part in a statement.
#[derive(Debug)]
pub(super) enum Role {
    Owner(Box<Ownership>),
    Replica,
}

#[derive(Debug)]
pub(super) struct Statement {
    pub(super) record: Record,
    pub(super) replicas: Vec<ReplicaEntry>,
    /// This gateway's position in the replica list.
    pub(super) position: usize,
    pub(super) role: Role,
    pub(super) deadline: Micros,
    /// When the times in the record were true.
    pub(super) recorded_at: Micros,
}

impl Statement {
    pub(super) fn ownership(&self) -> Option<&Ownership> {
        match &self.role {
            Role::Owner(ownership) => Some(ownership),
            Role::Replica => None,
        }
    }

    pub(super) fn ownership_mut(&mut self) -> Option<&mut Ownership> {
        match &mut self.role {
            Role::Owner(ownership) => Some(ownership),
            Role::Replica => None,
        }
    }

    pub(super) fn is_owned(&self) -> bool {
        self.ownership().is_some()
    }

    /// When a replica's record is dropped. A late poll gets a definite answer until then.
    pub(super) fn expires_at(&self) -> Micros {
        self.deadline.saturating_add(REPLICA_RETENTION)
    }

    /// The position of a participant in the replica list.
    pub(super) fn position_of(&self, participant: &Participant) -> Option<usize> {
        self.replicas.iter().position(|entry| entry.participant == *participant)
    }

    /// Positions behind this gateway that may still act.
    pub(super) fn successors(&self) -> impl Iterator<Item = usize> + '_ {
        (self.position + 1..self.replicas.len()).filter(|&position| !self.replicas[position].excluded)
    }

    pub(super) fn has_successor(&self) -> bool {
        self.successors().next().is_some()
    }

    pub(super) fn incarnation_at(&self, position: usize) -> &Incarnation {
        &self.replicas[position].participant.incarnation
    }

    pub(super) fn successor_incarnations(&self) -> Vec<Incarnation> {
        self.successors().map(|position| self.incarnation_at(position).clone()).collect()
    }

    /// Whether a member may be notified: those that stood in the list before it know of it, or never act.
    pub(super) fn may_notify(&self, ownership: &Ownership, position: usize) -> bool {
        let before = usize::from(self.replicas[position].added_after).min(position);
        let since_version = ownership.progress[position].since_version;
        (0..before).all(|earlier| {
            let knows = ownership.progress[earlier].acked_version >= since_version;
            earlier == self.position || self.replicas[earlier].excluded || knows
        })
    }

    /// Whether all that may act after this gateway have acknowledged a version.
    pub(super) fn is_recorded(&self, ownership: &Ownership, version: u64) -> bool {
        self.successors().all(|position| {
            let progress = &ownership.progress[position];
            !progress.notified || progress.acked_version >= version
        })
    }

    /// The record with its times as they are now.
    pub(super) fn record_at(&self, now: Micros) -> Record {
        let mut record = self.record.clone();
        record.remaining_wait = self.deadline.saturating_sub(now);
        if let Some(attempt) = &mut record.in_flight {
            attempt.elapsed += now.saturating_sub(self.recorded_at);
        }
        record
    }

    /// The record as it is sent now.
    pub(super) fn replica_record(&self, now: Micros, with_body: bool) -> ReplicaRecord {
        let mut record = self.record_at(now);
        if !with_body {
            record.body = Vec::new();
        }
        ReplicaRecord { record, has_body: with_body, replicas: self.replicas.clone() }
    }

    /// The memory that the statement is counted with.
    pub(super) fn size_in_bytes(&self) -> usize {
        let attempt = self.record.in_flight.as_ref();
        let next_bytes = |next: &Option<String>| next.as_ref().map_or(0, String::len);
        let attempt_bytes = attempt.map_or(0, |attempt| attempt.engine.len() + next_bytes(&attempt.next_uri));
        let name_bytes = |entry: &ReplicaEntry| entry.participant.incarnation.name.len();
        let replica_bytes: usize =
            self.replicas.iter().map(|entry| name_bytes(entry) + REPLICA_OVERHEAD_BYTES).sum();
        self.record.body.len() + attempt_bytes + replica_bytes + RECORD_OVERHEAD_BYTES
    }
}
