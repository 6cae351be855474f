//! Changes of ownership: takeover, resignation, and the return of statements that only a fenced process has.

use super::statement::{Ownership, PendingAttempt, ReplicaProgress, Role, Statement};
use super::tombstones::Tombstone;
use super::{Effect, TakeoverNode, COALESCING_DELAY, MILLISECOND, RETURN_WINDOW};
use crate::wire::Participant;
use crate::{Micros, StatementKey};

/// The upper bits of a version are the owner's position in the replica list, so that the versions of a later
/// owner are higher.
const OWNER_POSITION_SHIFT: u32 = 40;
/// How long a replica waits for a record from the first member of the list that can act, before it forwards
/// its own record to that member, which may not have one.
pub(super) const FORWARD_DELAY: Micros = 1_000 * MILLISECOND;

/// The pending actions of an owner that are recorded at its replicas and may be done now.
struct RecordedActions {
    attempt: Option<PendingAttempt>,
    ending: bool,
    takeover: bool,
}

impl TakeoverNode {
    /// Reviews a statement after a change and does what follows from it.
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
        fenced.iter().for_each(|participant| self.exclude_replica(key, participant));
    }

    /// Removes a statement that other gateways have or may have.
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
            // The owner that sent the record is not excluded, so it still owns the statement.
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
        // After a resignation was sent, no replicas are added: another gateway may have taken the statement
        // over and selected its own.
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

    /// Removes a statement from which this gateway has resigned once a successor has acknowledged that.
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

    /// Whether a successor that is not gone according to membership has the record, and so cannot decline it
    /// any more.
    fn has_living_replica(&self, now: Micros, key: &StatementKey) -> bool {
        let Some(statement) = self.statements.get(key) else { return false };
        let Some(ownership) = statement.ownership() else { return false };
        statement.successors().any(|position| {
            let is_gone = self.is_believed_gone(now, statement.incarnation_at(position));
            !is_gone && ownership.progress[position].acked_version > 0
        })
    }

    /// Permits pending actions that are recorded, and sends the replicas the newest record.
    fn continue_pending(&mut self, now: Micros, key: &StatementKey) {
        let may_act = self.may_act(now);
        let Some(statement) = self.statements.get(key) else { return };
        let Some(ownership) = statement.ownership() else { return };
        // The client waits until the first record of its statement is replicated.
        let is_new = ownership.progress.iter().all(|progress| !progress.notified);
        let is_pending = ownership.is_pending();
        let delay = if is_pending || is_new { 0 } else { COALESCING_DELAY };
        if is_pending && may_act {
            let actions = Self::recorded_actions(statement, ownership);
            self.permit(now, key, &actions);
        }
        if !is_pending {
            self.awaiting_replicas.remove(key);
        }
        self.queue_record(now, key, delay);
    }

    /// The pending actions that are recorded at all notified successors. An attempt must also be recorded at
    /// one successor at least, if there is any.
    fn recorded_actions(statement: &Statement, ownership: &Ownership) -> RecordedActions {
        let is_recorded = |version: u64| statement.is_recorded(ownership, version);
        let has_replica = |version: u64| {
            let mut successors = statement.successors();
            successors.any(|position| ownership.progress[position].acked_version >= version)
        };
        let is_protected = |version: u64| has_replica(version) || !statement.has_successor();
        let attempt = ownership.pending_attempt;
        RecordedActions {
            attempt: attempt.filter(|attempt| is_recorded(attempt.version) && is_protected(attempt.version)),
            ending: ownership.pending_ending.is_some_and(is_recorded),
            takeover: ownership.pending_takeover.is_some_and(is_recorded),
        }
    }

    fn permit(&mut self, now: Micros, key: &StatementKey, actions: &RecordedActions) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let record = actions.takeover.then(|| Box::new(statement.record_at(now)));
        let Some(ownership) = statement.ownership_mut() else { return };
        if let Some(attempt) = actions.attempt {
            ownership.pending_attempt = None;
            self.effects.push_back(Effect::StartAttempt(key.clone(), attempt.attempts));
        }
        if actions.ending {
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

    /// Takes a statement over: all members before this gateway in the replica list are excluded, so it is the
    /// owner from now on.
    pub(super) fn take_over(&mut self, now: Micros, key: &StatementKey) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let (bytes, expires_at) = (statement.size_in_bytes(), statement.expires_at());
        let version = ((statement.position as u64) << OWNER_POSITION_SHIFT) + 1;
        statement.record.version = version;
        let progress =
            ReplicaProgress { since_version: version, notified: true, ..ReplicaProgress::default() };
        // An ending in the record has to be recorded at this owner's successors before it may be reported.
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

    /// Resigns from a statement, so that the next member of its replica list takes it over.
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

    /// Returns a statement that this process owned in a fenced term and that no other gateway is known to
    /// have: in a network partition its successors may never have received it. They are sent its record, in
    /// which this process is excluded from the replica list. A gateway with a newer record keeps that.
    pub(super) fn return_statement(&mut self, now: Micros, key: &StatementKey) {
        let last_valid_at = self.lease.last_valid_at;
        let Some(statement) = self.statements.get_mut(key) else { return };
        let until = (last_valid_at + RETURN_WINDOW).min(statement.expires_at()).max(now);
        statement.replicas[statement.position].excluded = true;
        statement.record.version += 1;
        let never_notified = Self::withdraw_from_never_notified(statement);
        let Some(ownership) = statement.ownership_mut() else { return };
        // An attempt that was still waiting to be recorded was never sent to an engine.
        if ownership.pending_attempt.take().is_some_and(|attempt| attempt.attempts == 1) {
            statement.record.in_flight = None;
            statement.record.attempts = 0;
        }
        never_notified.iter().for_each(|participant| self.remove_reference(key, participant));
        self.expiry.insert((until, key.clone()));
        self.to_review.insert(key.clone());
    }

    /// Prepares a statement's ownership for its return, and returns the members removed from the replica
    /// list.
    ///
    /// A notified member may have taken the statement over without acknowledging it, and may have selected
    /// replicas of its own. The statement is therefore returned to the notified members only, as a takeover
    /// is known to them before it is acted on; or to any gateway if no member was notified.
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
