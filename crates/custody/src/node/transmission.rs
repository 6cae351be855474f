//! Transmission of records to other gateways in batches: queues, acknowledgements, failures, retransmission.

use std::collections::{BTreeMap, BTreeSet};

use super::statement::{Ownership, Role};
use super::takeover::FORWARD_DELAY;
use super::tombstones::Tombstone;
use super::{Effect, InjectedFault, TakeoverNode, MAX_PEERS, MILLISECOND, REVIEWS_PER_TURN};
use crate::wire::{
    Message, Participant, RejectReason, Rejection, ReplicaRecord, MAX_BATCH_ITEMS, MAX_BODY_BYTES,
};
use crate::{Micros, StatementKey};

/// Size from which no further record is added to a batch.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Bytes counted in a batch for a member of a replica list.
const REPLICA_ENTRY_BYTES: usize = 128;
/// Maximum number of batches to one process that are not acknowledged yet.
const MAX_IN_FLIGHT_BATCHES: usize = 32;
/// Time after which a batch that is not acknowledged counts as lost, in addition to its transfer time.
const ACKNOWLEDGE_TIMEOUT: Micros = 100 * MILLISECOND;
/// Transfer rate that is assumed for batches.
const BYTES_PER_MICROSECOND: u64 = 10;
/// Maximum number of times that the timeout is doubled, once for each consecutive loss.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// A version of a record that was sent.
#[derive(Debug)]
struct SentRecord {
    key: StatementKey,
    version: u64,
}

/// The records of a batch that is about to be sent.
#[derive(Default)]
struct BatchContents {
    records: Vec<ReplicaRecord>,
    sent: Vec<SentRecord>,
    /// The size counted for the records.
    bytes: usize,
}

/// A batch that is not acknowledged yet.
#[derive(Debug)]
struct InFlightBatch {
    lost_at: Micros,
    records: Vec<SentRecord>,
    ended: Vec<StatementKey>,
}

/// A process to which batches are sent or from which they are received.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The number of the last batch received from the process.
    pub(super) last_received: u64,
    /// The number of the last batch sent to the process.
    last_sent: u64,
    in_flight: BTreeMap<u64, InFlightBatch>,
    queued_records: BTreeSet<StatementKey>,
    queued_endings: BTreeSet<StatementKey>,
    /// When the queued records and endings are sent.
    send_at: Option<Micros>,
    consecutive_losses: u32,
    pub(super) last_heard: Micros,
    /// When the process last rejected a record for lack of room.
    pub(super) full_since: Option<Micros>,
}

impl Peer {
    /// Resets everything except the batch numbers and the time of the last message.
    pub(super) fn clear_queues(&mut self) {
        *self = Peer {
            last_received: self.last_received,
            last_sent: self.last_sent,
            last_heard: self.last_heard,
            ..Peer::default()
        };
    }

    fn has_queued(&self) -> bool {
        !self.queued_records.is_empty() || !self.queued_endings.is_empty()
    }

    fn may_send(&self, now: Micros) -> bool {
        self.send_at.is_some_and(|at| at <= now) && self.in_flight.len() < MAX_IN_FLIGHT_BATCHES
    }

    fn has_lost_batch(&self, now: Micros) -> bool {
        self.in_flight.values().any(|batch| batch.lost_at <= now)
    }

    fn is_due(&self, now: Micros) -> bool {
        self.send_at.is_some_and(|at| at <= now) || self.has_lost_batch(now)
    }

    pub(super) fn next_wake(&self) -> Option<Micros> {
        let send_at = self.send_at.filter(|_| self.in_flight.len() < MAX_IN_FLIGHT_BATCHES);
        let lost_at = self.in_flight.values().map(|batch| batch.lost_at).min();
        send_at.into_iter().chain(lost_at).min()
    }

    /// Queues a record to be sent at a time. If batches are being lost, it waits for the scheduled
    /// retransmission instead.
    fn queue_record(&mut self, key: StatementKey, at: Micros) {
        self.queued_records.insert(key);
        let at = if self.consecutive_losses > 0 { self.send_at.unwrap_or(at) } else { at };
        self.send_by(at);
    }

    /// Queues an ending, to be sent with the next batch, or at a time if none is scheduled.
    pub(super) fn queue_ending(&mut self, key: StatementKey, at: Micros) {
        self.queued_endings.insert(key);
        self.send_at.get_or_insert(at);
    }

    fn send_by(&mut self, at: Micros) {
        self.send_at = Some(self.send_at.map_or(at, |due| due.min(at)));
    }

    fn next_endings(&mut self) -> Vec<StatementKey> {
        std::iter::from_fn(|| self.queued_endings.pop_first()).take(MAX_BATCH_ITEMS).collect()
    }

    /// The number of the next batch. Numbers grow with the clock, so that they keep growing even if this
    /// peer's state was dropped in between.
    fn next_number(&mut self, now: Micros) -> u64 {
        self.last_sent = now.max(self.last_sent + 1);
        self.last_sent
    }
}

impl TakeoverNode {
    pub(super) fn peer_mut(&mut self, participant: &Participant) -> Option<&mut Peer> {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(participant) {
            return None;
        }
        Some(self.peers.entry(participant.clone()).or_default())
    }

    // Queues.

    /// Queues a statement's record for the successors that may be notified and were not sent the newest
    /// version.
    pub(super) fn queue_record(&mut self, now: Micros, key: &StatementKey, delay: Micros) {
        let Some(statement) = self.statements.get(key) else { return };
        let Some(ownership) = statement.ownership() else { return };
        if statement.record.body.len() > MAX_BODY_BYTES {
            return;
        }
        let successors = statement.successors().filter(|&position| {
            let is_behind = ownership.progress[position].sent_version < statement.record.version;
            is_behind && (self.notifies_at_once() || statement.may_notify(ownership, position))
        });
        let receivers: Vec<Participant> =
            successors.map(|position| statement.replicas[position].participant.clone()).collect();
        for participant in receivers {
            if let Some(peer) = self.peer_mut(&participant) {
                peer.queue_record(key.clone(), now + delay);
            }
        }
    }

    fn notifies_at_once(&self) -> bool {
        self.fault == InjectedFault::ReplicaListNotAwaited
    }

    /// Forwards records to the first member of their replica lists that can act, as it may not have them.
    pub(super) fn forward_records(&mut self, now: Micros) {
        let due = self.forward_at.iter().filter(|(_, at)| **at <= now);
        let due: Vec<StatementKey> = due.map(|(key, _)| key.clone()).take(REVIEWS_PER_TURN).collect();
        for key in due {
            self.forward_at.insert(key.clone(), now + 2 * FORWARD_DELAY);
            let Some(statement) = self.statements.get(&key) else { continue };
            let Some(first) = statement.replicas.iter().find(|entry| !entry.excluded) else { continue };
            let participant = first.participant.clone();
            if self.is_believed_gone(now, &participant.incarnation) {
                continue;
            }
            if let Some(peer) = self.peer_mut(&participant) {
                peer.queued_records.insert(key);
                peer.send_at.get_or_insert(now);
            }
        }
    }

    // Batches.

    pub(super) fn send_due_batches(&mut self, now: Micros) {
        let due = self.peers.iter().filter(|(_, peer)| peer.is_due(now));
        let due: Vec<Participant> = due.map(|(participant, _)| participant.clone()).collect();
        for participant in due {
            self.requeue_lost_batches(now, &participant);
            self.send_batches(now, &participant);
        }
    }

    /// Sends the queued records and endings of one process in numbered batches.
    fn send_batches(&mut self, now: Micros, to: &Participant) {
        while self.peers.get(to).is_some_and(|peer| peer.may_send(now)) {
            let BatchContents { records, sent, bytes } = self.next_records(now, to);
            let Some(peer) = self.peers.get_mut(to) else { return };
            let ended = peer.next_endings();
            if !peer.has_queued() {
                peer.send_at = None;
            }
            if records.is_empty() && ended.is_empty() {
                continue;
            }
            let number = peer.next_number(now);
            let transfer = bytes as u64 / BYTES_PER_MICROSECOND;
            let lost_at = now + (ACKNOWLEDGE_TIMEOUT << peer.consecutive_losses) + transfer;
            let batch = InFlightBatch { lost_at, records: sent, ended: ended.clone() };
            peer.in_flight.insert(number, batch);
            let message = Message::Batch { to: to.process_term(), number, records, ended };
            let bytes = message.encode(self.local.process_term());
            self.effects.push_back(Effect::SendRecords(to.incarnation.name.clone(), bytes));
        }
    }

    /// Takes the records of the next batch from the queue.
    fn next_records(&mut self, now: Micros, to: &Participant) -> BatchContents {
        let mut contents = BatchContents::default();
        let Some(peer) = self.peers.get_mut(to) else { return contents };
        let mut queued = std::mem::take(&mut peer.queued_records);
        while contents.records.len() < MAX_BATCH_ITEMS && contents.bytes < MAX_BATCH_BYTES {
            let Some(key) = queued.pop_first() else { break };
            let Some(item) = self.record_to_send(now, to, &key) else { continue };
            contents.bytes += item.record.body.len() + REPLICA_ENTRY_BYTES * item.replicas.len();
            contents.sent.push(SentRecord { key, version: item.record.version });
            contents.records.push(item);
        }
        if let Some(peer) = self.peers.get_mut(to) {
            peer.queued_records = queued;
        }
        contents
    }

    /// A statement's record for one member of its replica list, unless an owner has sent it this version
    /// already or may not notify it yet.
    fn record_to_send(&mut self, now: Micros, to: &Participant, key: &StatementKey) -> Option<ReplicaRecord> {
        let notifies_at_once = self.notifies_at_once();
        let statement = self.statements.get_mut(key)?;
        let position =
            statement.position_of(to).filter(|&position| !statement.replicas[position].excluded)?;
        let version = statement.record.version;
        let may_send = |ownership: &Ownership| {
            let is_behind = ownership.progress[position].sent_version < version;
            is_behind && (notifies_at_once || statement.may_notify(ownership, position))
        };
        let with_body = match statement.ownership() {
            Some(ownership) if !may_send(ownership) => return None,
            Some(ownership) => !ownership.progress[position].has_body,
            None => true,
        };
        let record = statement.replica_record(now, with_body);
        if let Some(ownership) = statement.ownership_mut() {
            ownership.progress[position].sent_version = version;
            ownership.progress[position].notified = true;
            ownership.resignation_sent |= ownership.resigning;
        }
        Some(record)
    }

    // Acknowledgements and failures.

    pub(super) fn handle_acknowledgement(
        &mut self,
        now: Micros,
        sender: &Participant,
        number: u64,
        rejected: &[Rejection],
    ) {
        let Some(peer) = self.peers.get_mut(sender) else { return };
        let Some(batch) = peer.in_flight.remove(&number) else { return };
        peer.consecutive_losses = 0;
        if rejected.iter().any(|rejection| rejection.reason == RejectReason::NoRoom) {
            peer.full_since = Some(now);
        }
        if peer.has_queued() {
            peer.send_by(now);
        }
        let rejected: BTreeMap<u16, RejectReason> =
            rejected.iter().map(|rejection| (rejection.index, rejection.reason)).collect();
        for (index, sent) in batch.records.into_iter().enumerate() {
            let rejection = rejected.get(&(index as u16)).copied();
            self.handle_record_result(now, sender, sent, rejection);
        }
    }

    /// Handles the acceptance or rejection of one record by another gateway.
    fn handle_record_result(
        &mut self,
        now: Micros,
        sender: &Participant,
        sent: SentRecord,
        rejection: Option<RejectReason>,
    ) {
        let SentRecord { key, version } = sent;
        let Some(statement) = self.statements.get_mut(&key) else { return };
        let Some(position) = statement.position_of(sender) else { return };
        if rejection == Some(RejectReason::Ended) {
            return self.remove_ended_elsewhere(key);
        }
        match &mut statement.role {
            Role::Owner(ownership) => {
                let progress = &mut ownership.progress[position];
                match rejection {
                    None => {
                        progress.acked_version = version.max(progress.acked_version);
                        progress.has_body = true;
                    }
                    Some(RejectReason::MissingBody) => {
                        progress.has_body = false;
                        progress.sent_version = 0;
                    }
                    Some(_) => {}
                }
            }
            // The first member of the list has the record now and can continue the statement.
            Role::Replica => drop(self.forward_at.remove(&key)),
        }
        if rejection == Some(RejectReason::NoRoom) {
            self.exclude_replica(&key, sender);
        }
        self.review_statement(now, &key);
    }

    /// Removes a statement that has ended at another gateway.
    fn remove_ended_elsewhere(&mut self, key: StatementKey) {
        let Some(statement) = self.remove_statement(&key) else { return };
        if statement.ownership().is_some_and(Ownership::is_active) {
            self.effects.push_back(Effect::Relinquished(key.clone()));
        }
        self.add_tombstone(key, Tombstone::Ended(statement.record.ending));
    }

    /// Handles a failure to send records to a gateway: all batches in flight to it count as lost.
    pub fn handle_send_failure(&mut self, now: Micros, to: &str) {
        let of_gateway = self.peers.keys().filter(|participant| participant.incarnation.name == to);
        let of_gateway: Vec<Participant> = of_gateway.cloned().collect();
        for participant in of_gateway {
            if let Some(peer) = self.peers.get_mut(&participant) {
                peer.in_flight.values_mut().for_each(|batch| batch.lost_at = now);
            }
            self.requeue_lost_batches(now, &participant);
        }
    }

    /// Queues the contents of lost batches again.
    fn requeue_lost_batches(&mut self, now: Micros, to: &Participant) {
        let Some(peer) = self.peers.get_mut(to) else { return };
        let lost = peer.in_flight.iter().filter(|(_, batch)| batch.lost_at <= now);
        let lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        if lost.is_empty() {
            return;
        }
        peer.consecutive_losses = (peer.consecutive_losses + 1).min(MAX_TIMEOUT_DOUBLINGS);
        peer.send_at = Some(now + ((ACKNOWLEDGE_TIMEOUT / 4) << peer.consecutive_losses));
        let mut records = Vec::new();
        for number in lost {
            let Some(batch) = peer.in_flight.remove(&number) else { continue };
            peer.queued_endings.extend(batch.ended);
            records.extend(batch.records);
        }
        for SentRecord { key, .. } in records {
            let Some(statement) = self.statements.get_mut(&key) else { continue };
            let Some(position) = statement.position_of(to) else { continue };
            let Some(ownership) = statement.ownership_mut() else { continue };
            let progress = &mut ownership.progress[position];
            progress.sent_version = progress.acked_version.min(progress.sent_version);
            if let Some(peer) = self.peers.get_mut(to) {
                peer.queued_records.insert(key);
            }
        }
    }
}
