//! Records received from other gateways, which this gateway keeps as a replica.

use super::statement::{Role, Statement};
use super::tombstones::Tombstone;
use super::{InjectedFault, TakeoverNode, RETURN_WINDOW};
use crate::wire::{Message, Participant, RejectReason, Rejection, ReplicaEntry, ReplicaRecord};
use crate::{Micros, Record, StatementKey};

/// Maximum number of statements remembered as declined for lack of room. Their owners rely on it that their
/// records are never accepted later.
const MAX_DECLINED: usize = 65_536;

impl Statement {
    /// The number of members with which both replica lists begin alike.
    fn count_common_members(&self, replicas: &[ReplicaEntry]) -> usize {
        let pairs = self.replicas.iter().zip(replicas);
        pairs.take_while(|(local, received)| local.participant == received.participant).count()
    }

    /// Excludes the common members that are excluded in the received list; returns those excluded only now.
    fn merge_exclusions(&mut self, common: &[ReplicaEntry]) -> Vec<Participant> {
        let mut excluded = Vec::new();
        for (local, received) in self.replicas.iter_mut().zip(common) {
            if received.excluded && !local.excluded {
                local.excluded = true;
                excluded.push(local.participant.clone());
            }
        }
        excluded
    }

    /// Replaces the record by a newer one, but keeps the body if that has none.
    fn replace_record(&mut self, now: Micros, record: Record, has_body: bool) {
        self.deadline = now.saturating_add(record.remaining_wait);
        let body = if has_body { record.body } else { std::mem::take(&mut self.record.body) };
        self.record = Record { body, ..record };
        self.recorded_at = now;
    }
}

impl TakeoverNode {
    pub(super) fn handle_batch(
        &mut self,
        now: Micros,
        sender: Participant,
        number: u64,
        records: Vec<ReplicaRecord>,
        ended: Vec<StatementKey>,
    ) {
        let is_fenced = self.is_participant_fenced(&sender);
        let Some(peer) = self.peer_mut(&sender) else { return };
        // A late or repeated batch would revive statements that have ended since.
        if number <= peer.last_received || is_fenced {
            return;
        }
        peer.last_received = number;
        let mut rejected = Vec::new();
        for (index, record) in records.into_iter().enumerate() {
            if let Err(reason) = self.store_record(now, &sender, record) {
                rejected.push(Rejection { index: index as u16, reason });
            }
        }
        for key in ended {
            if self.statements.get(&key).is_some_and(|statement| !statement.is_owned()) {
                let ending = self.remove_statement(&key).and_then(|statement| statement.record.ending);
                self.add_tombstone(key, Tombstone::Ended(ending));
            }
        }
        let to = sender.process_term();
        self.send_message(&sender.incarnation.name, &Message::Acknowledgement { to, number, rejected });
    }

    fn store_record(
        &mut self,
        now: Micros,
        sender: &Participant,
        received: ReplicaRecord,
    ) -> Result<(), RejectReason> {
        let key = received.record.key.clone();
        if self.declined.contains_key(&key) {
            return Err(RejectReason::NoRoom);
        }
        let position = received.replicas.iter().position(|entry| entry.participant == self.local);
        let sender_position = self.position_of_sender(now, sender, &received);
        let (Some(position), Some(sender_position)) = (position, sender_position) else {
            return Err(RejectReason::Obsolete);
        };
        if received.replicas[position].excluded {
            return Err(RejectReason::Obsolete);
        }
        // This process returned the statement, and the gateway that took it over selected this one as a
        // replica.
        if self.is_returning(&key) && received.has_body {
            self.remove_statement(&key);
        }
        if self.statements.contains_key(&key) {
            self.merge_record(now, sender_position, received)
        } else {
            self.add_replica_record(now, position, received)
        }
    }

    /// The sender's position in the replica list that it sent. A process that returns a statement is listed
    /// in an earlier term. Such an entry is accepted unless this gateway gave the statement up in its current
    /// term, or may have dropped the tombstone of its end.
    fn position_of_sender(
        &self,
        now: Micros,
        sender: &Participant,
        received: &ReplicaRecord,
    ) -> Option<usize> {
        let replicas = &received.replicas;
        if let Some(position) = replicas.iter().position(|entry| entry.participant == *sender) {
            return Some(position);
        }
        let moved_in_this_term = matches!(
            self.tombstones.get(&received.record.key),
            Some(Tombstone::Moved { in_term, .. }) if *in_term == self.local.term
        );
        let remembers_endings = self.tombstones.are_complete_for(now, 2 * RETURN_WINDOW);
        if moved_in_this_term || !remembers_endings {
            return None;
        }
        replicas.iter().position(|entry| {
            let Participant { incarnation, term } = &entry.participant;
            entry.excluded && *incarnation == sender.incarnation && *term < sender.term
        })
    }

    /// Adds the record of a statement that is not kept here yet.
    fn add_replica_record(
        &mut self,
        now: Micros,
        position: usize,
        received: ReplicaRecord,
    ) -> Result<(), RejectReason> {
        let ReplicaRecord { record, has_body, replicas } = received;
        let key = record.key.clone();
        if let Some(Tombstone::Ended(_)) = self.tombstones.get(&key) {
            return Err(RejectReason::Ended);
        }
        if !has_body {
            return Err(RejectReason::MissingBody);
        }
        let deadline = now.saturating_add(record.remaining_wait);
        let role = Role::Replica;
        let statement = Statement { record, replicas, position, role, deadline, recorded_at: now };
        let bytes = statement.size_in_bytes();
        let is_full = self.replica_usage.records >= self.settings.max_replica_records;
        if is_full || self.replica_usage.bytes + bytes > self.settings.max_replica_bytes {
            return Err(self.decline(key, statement.expires_at()));
        }
        self.replica_usage.records += 1;
        self.replica_usage.bytes += bytes;
        self.expiry.insert((statement.expires_at(), key.clone()));
        for entry in statement.replicas.iter().filter(|entry| !entry.excluded) {
            self.add_reference(&key, &entry.participant);
        }
        self.tombstones.remove(&key);
        self.statements.insert(key.clone(), statement);
        self.to_review.insert(key);
        Ok(())
    }

    /// Declines a statement for lack of room, permanently. If there is no room to remember that, the sender
    /// may try again.
    fn decline(&mut self, key: StatementKey, until: Micros) -> RejectReason {
        if self.declined.len() >= MAX_DECLINED {
            return RejectReason::Obsolete;
        }
        self.declined.insert(key, until);
        RejectReason::NoRoom
    }

    /// Merges the record of a statement that is kept here already.
    ///
    /// Two replica lists can differ only in members that were never notified: a member before them, which did
    /// not know of them, has become the owner and selected others. The list of that owner is then in force.
    fn merge_record(
        &mut self,
        now: Micros,
        sender_position: usize,
        received: ReplicaRecord,
    ) -> Result<(), RejectReason> {
        let key = received.record.key.clone();
        let Some(statement) = self.statements.get_mut(&key) else { return Err(RejectReason::Obsolete) };
        let common = statement.count_common_members(&received.replicas);
        if common <= statement.position {
            return Err(RejectReason::Obsolete);
        }
        // From a sender that is excluded here, only its own resignation is accepted.
        let known_sender = statement.replicas[..common].get(sender_position);
        if known_sender.is_some_and(|entry| entry.excluded) && !received.replicas[sender_position].excluded {
            return Err(RejectReason::Obsolete);
        }
        let bytes_before = statement.size_in_bytes();
        let mut unreferenced = statement.merge_exclusions(&received.replicas[..common]);
        if !statement.is_owned() {
            let is_newer = received.record.version > statement.record.version;
            if is_newer && self.fault != InjectedFault::ReplicaListForgotten {
                let tail = &received.replicas[common..];
                unreferenced.extend(self.replace_replicas_after(&key, common, tail));
                unreferenced.retain(|participant| tail.iter().all(|entry| entry.participant != *participant));
            }
            if is_newer {
                self.replace_record(now, &key, received.record, received.has_body);
            }
            let bytes = self.statements.get(&key).map_or(0, Statement::size_in_bytes);
            self.replica_usage.bytes = self.replica_usage.bytes + bytes - bytes_before;
        }
        unreferenced.iter().for_each(|participant| self.remove_reference(&key, participant));
        self.to_review.insert(key);
        Ok(())
    }

    /// Replaces the members after the common ones; returns those replaced.
    fn replace_replicas_after(
        &mut self,
        key: &StatementKey,
        common: usize,
        tail: &[ReplicaEntry],
    ) -> Vec<Participant> {
        let Some(statement) = self.statements.get_mut(key) else { return Vec::new() };
        let replaced = statement.replicas.split_off(common);
        statement.replicas.extend_from_slice(tail);
        for entry in tail.iter().filter(|entry| !entry.excluded) {
            self.add_reference(key, &entry.participant);
        }
        replaced.into_iter().map(|entry| entry.participant).collect()
    }

    fn replace_record(&mut self, now: Micros, key: &StatementKey, record: Record, has_body: bool) {
        let Some(statement) = self.statements.get_mut(key) else { return };
        let (deadline_before, expires_before) = (statement.deadline, statement.expires_at());
        statement.replace_record(now, record, has_body);
        self.takeover_ready.remove(&(deadline_before, key.clone()));
        self.expiry.remove(&(expires_before, key.clone()));
        self.expiry.insert((statement.expires_at(), key.clone()));
    }
}
