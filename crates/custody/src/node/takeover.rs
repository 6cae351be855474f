//! Who owns a statement after something has changed: takeover, resignation, and the return of what only a
//! fenced process knows.

use super::statement::{Ownership, PendingAttempt, ReplicaProgress, Role, Statement};
use super::tombstones::Tombstone;
use super::{Effect, TakeoverNode, COALESCING_DELAY, MILLISECOND, RETURN_WINDOW};
use crate::wire::Participant;
use crate::{Micros, StatementKey};

/// The owner's position in the replica list is in the upper bits of a version: a later owner's versions are
/// higher.
const OWNER_POSITION_SHIFT: u32 = 40;
/// An earlier member of the list that says nothing of a statement for so long may not have it: the record is
/// passed to it.
pub(super) const FORWARD_DELAY: Micros = 1_000 * MILLISECOND;

/// What the owner of a statement may do now that its replicas know enough.
struct Progress {
    attempt: Option<PendingAttempt>,
    ending: bool,
    takeover: bool,
}

impl TakeoverNode {
    /// Looks at a statement after something has changed.
    pub(super) fn review_statement(&mut self, now: Micros, key: &StatementKey) {
        self.to_review.remove(key);
        self.exclude_fenced_replicas(key);
        let Some(statement) = self.statements.get(key) else { return };
        if statement.is_owned() {
            self.review_owned(now, key);
        } else if statement.replicas[statement.position].excluded {
            self.remove_moved(key);
        } else {
            self.review_replica(now, key);
        }
    }

    fn exclude_fenced_replicas(&mut self, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        let entries = statement.replicas.iter();
        let fenced =
            entries.filter(|entry| !entry.excluded && self.is_participant_fenced(&entry.participant));
        let fenced: Vec<Participant> = fenced.map(|entry| entry.participant.clone()).collect();
        fenced.iter().for_each(|who| self.exclude_replica(key, who));
    }

    /// Others have the statement, or may have it.
    fn remove_moved(&mut self, key: &StatementKey) {
        let Some(statement) = self.remove_statement(key) else { return };
        let replicas = statement.successor_incarnations();
        self.add_tombstone(key.clone(), Tombstone::Moved { in_term: self.local.term, replicas });
    }

    fn review_replica(&mut self, now: Micros, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        let first = statement.replicas.iter().position(|entry| !entry.excluded);
        let first = first.unwrap_or(statement.position);
        let owner_position = statement.record.version >> OWNER_POSITION_SHIFT;
        if first == statement.position {
            self.takeover_ready.insert((statement.deadline, key.clone()));
            self.forward_at.remove(key);
        } else if owner_position == first as u64 {
            // Its owner runs, or is not known to be gone.
            self.forward_at.remove(key);
        } else {
            self.forward_at.entry(key.clone()).or_insert(now + FORWARD_DELAY);
        }
    }

    fn review_owned(&mut self, now: Micros, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        let Some(ownership) = statement.ownership() else { return };
        let resigning = ownership.resigning;
        let has_successor = statement.has_successor();
        // Whoever may have taken the statement over may have named others: after a resignation was sent none
        // are added.
        if resigning && ownership.resignation_sent && !has_successor {
            return self.remove_moved(key);
        }
        if self.needs_replicas(now, statement) && !(resigning && has_successor) {
            self.select_replicas(now, key);
        }
        if resigning {
            return self.review_resigned(now, key);
        }
        self.report_missing_replicas(key);
        if self.handing_over && self.has_living_replica(now, key) {
            return self.resign_statement(now, key);
        }
        self.continue_pending(now, key);
    }

    /// A statement from which this gateway resigned leaves once a successor has acknowledged that.
    fn review_resigned(&mut self, now: Micros, key: &StatementKey) {
        let Some(statement) = self.statements.get(key) else { return };
        let Some(ownership) = statement.ownership() else { return };
        let mut members = ownership.progress.iter().zip(&statement.replicas);
        let version = statement.record.version;
        if members.any(|(progress, entry)| !entry.excluded && progress.acked_version >= version) {
            self.remove_moved(key);
        } else {
            self.queue_record(now, key, 0);
        }
    }

    fn report_missing_replicas(&mut self, key: &StatementKey) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let is_missing = !statement.has_successor();
        let Some(ownership) = statement.ownership_mut() else { return };
        let was_missing = std::mem::replace(&mut ownership.unreplicated, is_missing);
        if is_missing && !was_missing {
            self.effects.push_back(Effect::Unreplicated(key.clone()));
        }
    }

    /// Whether a successor that is not believed gone has the record. It cannot decline it any more.
    fn has_living_replica(&self, now: Micros, key: &StatementKey) -> bool {
        let Some(statement) = self.statements.get(key) else { return false };
        let Some(ownership) = statement.ownership() else { return false };
        statement.successors().any(|position| {
            let is_gone = self.is_believed_gone(now, statement.incarnation_at(position));
            !is_gone && ownership.progress[position].acked_version > 0
        })
    }

    /// Permits what waited for the replicas, and sends them what they lack.
    fn continue_pending(&mut self, now: Micros, key: &StatementKey) {
        let may_act = self.may_act(now);
        let Some(statement) = self.statements.get(key) else { return };
        let Some(ownership) = statement.ownership() else { return };
        // The first record of a statement is what its client waits for.
        let is_new = ownership.progress.iter().all(|progress| !progress.notified);
        let is_pending = ownership.is_pending();
        let delay = if is_pending || is_new { 0 } else { COALESCING_DELAY };
        if is_pending && may_act {
            let progress = Self::recorded_progress(statement, ownership);
            self.permit(now, key, &progress);
        }
        if !is_pending {
            self.awaiting_replicas.remove(key);
        }
        self.queue_record(now, key, delay);
    }

    /// What is recorded at all successors. An attempt needs one of them at least, if there is any.
    fn recorded_progress(statement: &Statement, ownership: &Ownership) -> Progress {
        let is_recorded = |version: u64| statement.is_recorded(ownership, version);
        let has_replica = |version: u64| {
            let mut successors = statement.successors();
            successors.any(|position| ownership.progress[position].acked_version >= version)
        };
        let is_protected = |version: u64| has_replica(version) || !statement.has_successor();
        let attempt = ownership.pending_attempt;
        Progress {
            attempt: attempt.filter(|attempt| is_recorded(attempt.version) && is_protected(attempt.version)),
            ending: ownership.pending_ending.is_some_and(is_recorded),
            takeover: ownership.pending_takeover.is_some_and(is_recorded),
        }
    }

    fn permit(&mut self, now: Micros, key: &StatementKey, progress: &Progress) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let record = progress.takeover.then(|| Box::new(statement.record_at(now)));
        let Some(ownership) = statement.ownership_mut() else { return };
        if let Some(attempt) = progress.attempt {
            ownership.pending_attempt = None;
            self.effects.push_back(Effect::StartAttempt(key.clone(), attempt.attempts));
        }
        if progress.ending {
            ownership.pending_ending = None;
            self.effects.push_back(Effect::ReportEnding(key.clone()));
        }
        if let Some(record) = record {
            ownership.pending_takeover = None;
            self.effects.push_back(Effect::TakenOver(record));
        }
        if !ownership.is_pending() {
            self.awaiting_replicas.remove(key);
        }
    }

    /// Everybody before this gateway in the replica list never acts: it owns the statement from now on.
    pub(super) fn take_over(&mut self, now: Micros, key: &StatementKey) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let (bytes, expires_at) = (statement.size_in_bytes(), statement.expires_at());
        let version = ((statement.position as u64) << OWNER_POSITION_SHIFT) + 1;
        statement.record.version = version;
        let progress =
            ReplicaProgress { since_version: version, notified: true, ..ReplicaProgress::default() };
        // An ending that is found is recorded anew before it may be reported.
        let has_ending = statement.record.ending.is_some();
        statement.role = Role::Owner(Box::new(Ownership {
            progress: vec![progress; statement.replicas.len()],
            pending_takeover: has_ending.then_some(version),
            ..Ownership::default()
        }));
        let record = Box::new(statement.record_at(now));
        self.replica_usage.records -= 1;
        self.replica_usage.bytes = self.replica_usage.bytes.saturating_sub(bytes);
        self.expiry.remove(&(expires_at, key.clone()));
        self.forward_at.remove(key);
        if has_ending {
            self.awaiting_replicas.insert(key.clone());
        } else {
            self.effects.push_back(Effect::TakenOver(record));
        }
        self.review_statement(now, key);
    }

    /// Resigns from a statement, so that the next in its replica list takes it over.
    fn resign_statement(&mut self, now: Micros, key: &StatementKey) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        statement.replicas[statement.position].excluded = true;
        statement.record.version += 1;
        let Some(ownership) = statement.ownership_mut() else { return };
        let was_announced = ownership.pending_takeover.is_none();
        ownership.resigning = true;
        ownership.pending_attempt = None;
        ownership.pending_ending = None;
        ownership.pending_takeover = None;
        if was_announced {
            self.effects.push_back(Effect::Relinquished(key.clone()));
        }
        self.awaiting_replicas.remove(key);
        self.queue_record(now, key, 0);
    }

    /// A statement that this process owned in a fenced term, and that nobody is known to have: its successors
    /// may never have heard of it, as in a network partition. They are sent what it knew, with its own place
    /// in the list given up. A gateway that knows more keeps to that.
    pub(super) fn return_statement(&mut self, now: Micros, key: &StatementKey) {
        let last_valid_at = self.lease.last_valid_at;
        let Some(statement) = self.statements.get_mut(key) else { return };
        let until = (last_valid_at + RETURN_WINDOW).min(statement.expires_at()).max(now);
        statement.replicas[statement.position].excluded = true;
        statement.record.version += 1;
        let never_notified = Self::withdraw_from_never_notified(statement);
        let Some(ownership) = statement.ownership_mut() else { return };
        // An attempt that still waited for its record was never written.
        if ownership.pending_attempt.take().is_some_and(|attempt| attempt.attempts == 1) {
            statement.record.in_flight = None;
            statement.record.attempts = 0;
        }
        never_notified.iter().for_each(|who| self.remove_reference(key, who));
        self.expiry.insert((until, key.clone()));
        self.to_review.insert(key.clone());
    }

    /// Prepares a statement's ownership for its return. Whoever was notified may have taken it over without
    /// acknowledging, and may have named others. So it is returned to those that were notified, who have
    /// heard of that before it was acted on, and to no others; to any gateway if nobody was. Returns the
    /// members that leave the replica list.
    fn withdraw_from_never_notified(statement: &mut Statement) -> Vec<Participant> {
        let Some(ownership) = statement.ownership_mut() else { return Vec::new() };
        ownership.resigning = true;
        ownership.pending_ending = None;
        let last_notified = ownership.progress.iter().rposition(|progress| progress.notified);
        ownership.resignation_sent = last_notified.is_some();
        for progress in &mut ownership.progress {
            progress.sent_version = 0;
            progress.has_body = false;
        }
        let Some(last_notified) = last_notified else { return Vec::new() };
        ownership.progress.truncate(last_notified + 1);
        let removed = statement.replicas.split_off((last_notified + 1).min(statement.replicas.len()));
        removed.into_iter().map(|entry| entry.participant).collect()
    }
}
