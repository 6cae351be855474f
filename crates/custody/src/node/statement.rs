//! The state of one statement, at its owner or at one of its replicas.

use super::REPLICA_RETENTION;
use crate::wire::{Participant, ReplicaEntry, ReplicaRecord};
use crate::{Incarnation, Micros, Record};

/// Bytes counted for the fixed part of a record.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Bytes counted for a member of the replica list, without its name.
const MEMBER_OVERHEAD_BYTES: usize = 48;

/// The owner's view of one member of the replica list.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReplicaProgress {
    /// The version at which the member was added, or at which this owner took the statement over.
    pub(super) since_version: u64,
    pub(super) sent_version: u64,
    pub(super) acked_version: u64,
    pub(super) has_body: bool,
    /// Whether the member may know of the statement: a record was sent to it.
    pub(super) notified: bool,
}

/// An attempt that may not start until a version of the record is recorded at the replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PendingAttempt {
    /// The number of attempts including this one.
    pub(super) attempts: u32,
    pub(super) version: u64,
}

/// State that only the owner of a statement has.
#[derive(Debug, Default)]
pub(super) struct Ownership {
    /// The progress of each member of the replica list, in the order of the list.
    pub(super) progress: Vec<ReplicaProgress>,
    pub(super) pending_attempt: Option<PendingAttempt>,
    /// The version that has to be recorded before the ending may be reported.
    pub(super) pending_ending: Option<u64>,
    /// The version that has to be recorded before the takeover of a statement with an ending is announced.
    pub(super) pending_takeover: Option<u64>,
    /// This gateway has resigned and keeps the statement until another gateway has it.
    pub(super) resigning: bool,
    /// The resignation was sent, so another gateway may act on it.
    pub(super) resignation_sent: bool,
    /// The lack of replicas was reported.
    pub(super) unreplicated: bool,
}

impl Ownership {
    /// Whether this gateway acts for the statement: it has not resigned, and its takeover is announced.
    pub(super) fn is_active(&self) -> bool {
        !self.resigning && self.pending_takeover.is_none()
    }

    /// Whether an action waits until a version is recorded.
    pub(super) fn is_pending(&self) -> bool {
        self.pending_attempt.is_some() || self.pending_ending.is_some() || self.pending_takeover.is_some()
    }
}

/// This gateway's role for a statement.
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
    /// The time to which the relative times in the record refer.
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

    /// When a replica drops the record; until then it gives late polls a definite answer.
    pub(super) fn expires_at(&self) -> Micros {
        self.deadline.saturating_add(REPLICA_RETENTION)
    }

    /// The position of a participant in the replica list.
    pub(super) fn position_of(&self, participant: &Participant) -> Option<usize> {
        self.replicas.iter().position(|entry| entry.participant == *participant)
    }

    /// The positions after this gateway's whose members may still act for the statement.
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

    /// Whether a member may be notified: every member that was in the list before it knows of it or is
    /// excluded.
    pub(super) fn may_notify(&self, ownership: &Ownership, position: usize) -> bool {
        let before = usize::from(self.replicas[position].added_after).min(position);
        let since_version = ownership.progress[position].since_version;
        (0..before).all(|earlier| {
            let knows = ownership.progress[earlier].acked_version >= since_version;
            earlier == self.position || self.replicas[earlier].excluded || knows
        })
    }

    /// Whether all notified successors have acknowledged a version.
    pub(super) fn is_recorded(&self, ownership: &Ownership, version: u64) -> bool {
        self.successors().all(|position| {
            let progress = &ownership.progress[position];
            !progress.notified || progress.acked_version >= version
        })
    }

    /// The record with its relative times as of now.
    pub(super) fn record_at(&self, now: Micros) -> Record {
        let mut record = self.record.clone();
        record.remaining_wait = self.deadline.saturating_sub(now);
        if let Some(attempt) = &mut record.in_flight {
            attempt.elapsed += now.saturating_sub(self.recorded_at);
        }
        record
    }

    /// The record to send to a replica now.
    pub(super) fn replica_record(&self, now: Micros, with_body: bool) -> ReplicaRecord {
        let mut record = self.record_at(now);
        if !with_body {
            record.body = Vec::new();
        }
        ReplicaRecord { record, has_body: with_body, replicas: self.replicas.clone() }
    }

    /// The size that is counted for this statement towards the memory limit.
    pub(super) fn size_in_bytes(&self) -> usize {
        let attempt = self.record.in_flight.as_ref();
        let next_bytes = |next: &Option<String>| next.as_ref().map_or(0, String::len);
        let attempt_bytes = attempt.map_or(0, |attempt| attempt.engine.len() + next_bytes(&attempt.next_uri));
        let name_bytes = |entry: &ReplicaEntry| entry.participant.incarnation.name.len();
        let replica_bytes: usize =
            self.replicas.iter().map(|entry| name_bytes(entry) + MEMBER_OVERHEAD_BYTES).sum();
        self.record.body.len() + attempt_bytes + replica_bytes + RECORD_OVERHEAD_BYTES
    }
}
