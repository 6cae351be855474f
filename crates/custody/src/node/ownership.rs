//! What the gateway says of the statements that it holds.

use super::statement::{Ownership, ReplicaProgress, Role, Statement, Tombstone};
use super::{Effect, InjectedFault, Permission, TakeoverNode, COALESCED};
use crate::wire::ReplicaEntry;
use crate::{Ending, Incarnation, Micros, Out, Record, Repeat, StatementKey};

impl TakeoverNode {
    /// A statement that this life has taken. Gives its guardians as chosen.
    pub fn add_statement(&mut self, now: Micros, record: Record) -> Vec<Incarnation> {
        let key = record.key.clone();
        if self.statements.contains_key(&key) {
            return self.replica_list(&key).split_off(1);
        }
        self.last_number = self.last_number.max(key.number);
        let deadline = now.saturating_add(record.left);
        let me = ReplicaEntry { actor: self.local.clone(), gone: false, after: 0 };
        let record = Record { version: 1, ..record };
        let held = Ownership { guards: vec![ReplicaProgress::default()], ..Ownership::default() };
        let role = Role::Owner(Box::new(held));
        let entry = Statement { record, links: vec![me], at: 0, role, deadline, stamped: now };
        self.statements.insert(key.clone(), entry);
        self.review_statement(now, &key);
        self.replica_list(&key).split_off(1)
    }

    /// Whether the client of a statement that was taken here at a time may be told that it is: it outlives this process from
    /// then on. All that are to keep it have it, and the voters have granted the tenure within half a lease; or, if one is
    /// silent, another one has it and the tenure was granted anew since. A holder that is cut off knows of that only at the end
    /// of its lease, and what it takes until then nobody could act for before its client has given up.
    pub fn is_safely_replicated(&self, now: Micros, key: &StatementKey, since: Micros) -> bool {
        let Some((entry, held)) = self.statements.get(key).and_then(|e| e.held().map(|h| (e, h))) else {
            return true;
        };
        let asked_at = |at: Micros| self.lease.until >= at.saturating_add(self.lease_times.held());
        let has = |i: usize| held.guards[i].acked > 0;
        let none = entry.behind().all(|i| self.believed_gone(now, &entry.links[i].actor.life));
        let fresh = asked_at(now.saturating_sub(self.settings.lease / 2));
        (fresh && entry.behind().all(has)) || (asked_at(since) && (none || entry.behind().any(has)))
    }

    pub(super) fn actionable_statement(&mut self, now: Micros, key: &StatementKey) -> Option<&mut Statement> {
        let may = self.may_act(now);
        let entry = self.statements.get_mut(key)?;
        let free = entry.held().is_some_and(|h| !h.giving && h.adopting.is_none());
        (may && free).then_some(entry)
    }

    /// Before an attempt is written to its engine: `attempts` have been spent then, this one included.
    pub fn request_attempt(
        &mut self,
        now: Micros,
        key: &StatementKey,
        attempts: u32,
        out: Out,
    ) -> Permission {
        let waits = self.fault != InjectedFault::IntentNotAwaited;
        let Some(entry) = self.actionable_statement(now, key).filter(|e| e.record.ending.is_none()) else {
            return Permission::Denied;
        };
        entry.record.version += 1;
        entry.record.attempts = attempts;
        entry.record.out = Some(out);
        entry.stamped = now;
        entry.record.left = entry.deadline.saturating_sub(now);
        let version = entry.record.version;
        if entry.record.repeat == Repeat::Harmless || !waits {
            self.queue_record(now, key, COALESCED);
            return Permission::Granted;
        }
        if let Some(held) = entry.held_mut() {
            held.intent = Some((attempts, version));
        }
        self.wait_for_replicas(now, key)
    }

    /// What waits is told at once, and what has nothing to wait for may go.
    pub(super) fn wait_for_replicas(&mut self, now: Micros, key: &StatementKey) -> Permission {
        self.awaiting_replicas.insert(key.clone());
        let before = self.effects.len();
        self.review_statement(now, key);
        self.advance(now);
        // The word that may follow at once is given as the answer.
        let word = |e: &Effect| matches!(e, Effect::StartAttempt(k, _) | Effect::ReportEnding(k) if k == key);
        if let Some(at) = self.effects.iter().skip(before).position(word) {
            self.effects.remove(before + at);
            return Permission::Granted;
        }
        Permission::Pending
    }

    /// Progress: the attempt that is out, if one is, and pages passed on. It follows when there is time.
    pub fn record_progress(&mut self, now: Micros, key: &StatementKey, out: Option<Out>, passed: u64) {
        let Some(entry) = self.statements.get_mut(key).filter(|e| e.held().is_some_and(|h| !h.giving)) else {
            return;
        };
        entry.record.out = out;
        entry.record.passed = passed;
        entry.record.version += 1;
        entry.stamped = now;
        self.queue_record(now, key, COALESCED);
    }

    /// Before an ending of the gateway's own is told.
    pub fn request_ending(&mut self, now: Micros, key: &StatementKey, ending: Ending) -> Permission {
        let Some(entry) = self.actionable_statement(now, key) else { return Permission::Denied };
        match &entry.record.ending {
            Some(before) if *before != ending => return Permission::Denied,
            Some(_) => {}
            None => {
                entry.record.ending = Some(ending);
                entry.record.version += 1;
            }
        }
        let version = entry.record.version;
        let (harmless, out) = (entry.record.repeat == Repeat::Harmless, entry.record.attempts > 0);
        let Some(held) = entry.held_mut() else { return Permission::Denied };
        held.intent = None;
        // A client that is told to try again must not have it run by a taker that knows nothing of that.
        if harmless && !out {
            self.queue_record(now, key, COALESCED);
            return Permission::Granted;
        }
        held.ending.get_or_insert(version);
        self.wait_for_replicas(now, key)
    }

    /// Its client has its end, or never comes back.
    pub fn finish_statement(&mut self, now: Micros, key: &StatementKey) {
        if self.statements.get(key).is_none_or(|e| e.held().is_none_or(|h| h.giving)) {
            return;
        }
        let Some(entry) = self.remove_statement(key) else { return };
        if let Some(held) = entry.held() {
            for i in entry.behind().filter(|&i| held.guards[i].told) {
                if let Some(peer) = self.peer_mut(&entry.links[i].actor) {
                    peer.ends.insert(key.clone());
                    peer.due = Some(peer.due.unwrap_or(now + COALESCED));
                }
            }
        }
        self.add_tombstone(key.clone(), Tombstone::Ended(entry.record.ending));
    }

    /// A planned end: every statement that has a guardian goes to it, [`Effect::Relinquished`] each.
    pub fn start_hand_over(&mut self, now: Micros) {
        self.handing_over = true;
        let held = self.statements.iter().filter(|(_, e)| e.held().is_some()).map(|(k, _)| k.clone());
        let held: Vec<StatementKey> = held.collect();
        held.iter().for_each(|key| self.review_statement(now, key));
        self.advance(now);
    }

    /// Whether nothing is held any more after [`TakeoverNode::start_hand_over`].
    pub fn hand_over_complete(&self) -> bool {
        self.handed_over
    }
}
