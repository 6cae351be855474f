//! Records on their way to other gateways: batches, acknowledgements, losses and retransmission.

use std::collections::BTreeMap;

use super::statement::{InFlightBatch, Peer, Role, Tombstone};
use super::{Effect, InjectedFault, TakeoverNode, FLIGHTS, FORWARD, LOOKS, MS, PEERS};
use crate::wire::{Message, Participant, RejectReason, BODY, ITEMS};
use crate::{Micros, StatementKey};

/// Octets of one sending that ends with the record that passes them.
const SENDING: usize = 256 << 10;
/// A sending that is not answered for so long, and for its octets at ten a microsecond, is taken for lost.
const ANSWERED: Micros = 100 * MS;
/// Lost sendings in a row after which the time doubles no further.
const DOUBLED: u32 = 4;

impl TakeoverNode {
    pub(super) fn peer_mut(&mut self, actor: &Participant) -> Option<&mut Peer> {
        if self.peers.len() >= PEERS && !self.peers.contains_key(actor) {
            return None;
        }
        Some(self.peers.entry(actor.clone()).or_default())
    }

    pub(super) fn handle_acknowledgement(
        &mut self,
        now: Micros,
        sender: &Participant,
        number: u64,
        not: &[(u16, RejectReason)],
    ) {
        let Some(peer) = self.peers.get_mut(sender) else { return };
        let Some(flight) = peer.flights.remove(&number) else { return };
        peer.lost = 0;
        if not.iter().any(|n| n.1 == RejectReason::NoRoom) {
            peer.full = Some(now);
        }
        if !(peer.records.is_empty() && peer.ends.is_empty()) {
            peer.due = Some(peer.due.map_or(now, |due| due.min(now)));
        }
        let not: BTreeMap<u16, RejectReason> = not.iter().copied().collect();
        for (at, (key, version)) in flight.records.into_iter().enumerate() {
            let why = not.get(&(at as u16)).copied();
            let Some(entry) = self.statements.get_mut(&key) else { continue };
            let Some(i) = entry.links.iter().position(|l| l.actor == *sender) else { continue };
            if why == Some(RejectReason::Ended) {
                if entry.held().is_some_and(|h| !h.giving && h.adopting.is_none()) {
                    self.effects.push_back(Effect::Relinquished(key.clone()));
                }
                let ending = self.remove_statement(&key).and_then(|e| e.record.ending);
                self.add_tombstone(key, Tombstone::Ended(ending));
                continue;
            }
            match &mut entry.role {
                Role::Owner(held) => {
                    let guard = &mut held.guards[i];
                    match why {
                        None => {
                            guard.acked = version.max(guard.acked);
                            guard.body = true;
                        }
                        Some(RejectReason::MissingBody) => (guard.body, guard.sent) = (false, 0),
                        Some(RejectReason::NoRoom) => self.exclude_replica(&key, sender),
                        Some(_) => {}
                    }
                }
                Role::Replica => {
                    if why == Some(RejectReason::NoRoom) {
                        self.exclude_replica(&key, sender);
                    }
                    // It has it now, and goes on with it.
                    self.forward_at.remove(&key);
                }
            }
            self.review_statement(now, &key);
        }
    }

    /// A sending could not be brought to a gateway.
    pub fn handle_send_failure(&mut self, now: Micros, to: &str) {
        let of: Vec<Participant> = self.peers.keys().filter(|a| a.life.name == to).cloned().collect();
        for actor in of {
            if let Some(peer) = self.peers.get_mut(&actor) {
                peer.flights.values_mut().for_each(|f| f.lost_at = now);
            }
            self.requeue_lost_batches(now, &actor);
        }
    }

    pub(super) fn requeue_lost_batches(&mut self, now: Micros, actor: &Participant) {
        let Some(peer) = self.peers.get_mut(actor) else { return };
        let lost: Vec<u64> = peer.flights.iter().filter(|(_, f)| f.lost_at <= now).map(|f| *f.0).collect();
        if lost.is_empty() {
            return;
        }
        peer.lost = (peer.lost + 1).min(DOUBLED);
        let again = now + ((ANSWERED / 4) << peer.lost);
        let mut keys = Vec::new();
        for number in lost {
            let Some(flight) = peer.flights.remove(&number) else { continue };
            peer.ends.extend(flight.ends);
            keys.extend(flight.records);
        }
        peer.due = Some(again);
        for (key, _) in keys {
            let Some(entry) = self.statements.get_mut(&key) else { continue };
            let Some(i) = entry.links.iter().position(|l| l.actor == *actor) else { continue };
            if let Some(held) = entry.held_mut() {
                held.guards[i].sent = held.guards[i].acked.min(held.guards[i].sent);
                if let Some(peer) = self.peers.get_mut(actor) {
                    peer.records.insert(key);
                }
            }
        }
    }

    /// Those behind it that may be told and do not know the newest version are.
    pub(super) fn queue_record(&mut self, now: Micros, key: &StatementKey, within: Micros) {
        let Some(entry) = self.statements.get(key) else { return };
        let Some(held) = entry.held() else { return };
        if entry.record.body.len() > BODY {
            return;
        }
        let all = self.fault == InjectedFault::ReplicaListNotAwaited;
        let told: Vec<Participant> = entry
            .behind()
            .filter(|&i| held.guards[i].sent < entry.record.version && (all || entry.tellable(held, i)))
            .map(|i| entry.links[i].actor.clone())
            .collect();
        for actor in told {
            if let Some(peer) = self.peer_mut(&actor) {
                peer.records.insert(key.clone());
                // One that does not answer is not asked faster.
                let due = if peer.lost > 0 { peer.due.unwrap_or(now + within) } else { now + within };
                peer.due = Some(peer.due.map_or(due, |d| d.min(due)));
            }
        }
    }

    pub(super) fn forward_to_predecessors(&mut self, now: Micros) {
        let due: Vec<StatementKey> = self
            .forward_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(k, _)| k.clone())
            .take(LOOKS)
            .collect();
        for key in due {
            self.forward_at.insert(key.clone(), now + 2 * FORWARD);
            let Some(entry) = self.statements.get(&key) else { continue };
            let Some(first) = entry.links.iter().find(|l| !l.gone) else { continue };
            let actor = first.actor.clone();
            if !self.believed_gone(now, &actor.life) {
                if let Some(peer) = self.peer_mut(&actor) {
                    peer.records.insert(key);
                    peer.due = Some(peer.due.unwrap_or(now));
                }
            }
        }
    }

    /// Sends what is due to one, in the order in which it is numbered.
    pub(super) fn send_batches(&mut self, now: Micros, actor: &Participant) {
        while let Some(peer) = self.peers.get_mut(actor) {
            let due = peer.due.is_some_and(|due| due <= now);
            if !due || peer.flights.len() >= FLIGHTS {
                return;
            }
            let (mut records, mut items, mut octets) = (Vec::new(), Vec::new(), 0);
            while items.len() < ITEMS && octets < SENDING {
                let Some(key) = peer.records.pop_first() else { break };
                let Some(entry) = self.statements.get_mut(&key) else { continue };
                let Some(i) = entry.links.iter().position(|l| l.actor == *actor && !l.gone) else { continue };
                let version = entry.record.version;
                let all = self.fault == InjectedFault::ReplicaListNotAwaited;
                let whole = match entry.held() {
                    Some(h) if h.guards[i].sent >= version || !(all || entry.tellable(h, i)) => continue,
                    Some(h) => !h.guards[i].body,
                    None => true,
                };
                let item = entry.item(now, whole);
                octets += item.record.body.len() + 128 * entry.links.len();
                if let Some(held) = entry.held_mut() {
                    (held.guards[i].sent, held.guards[i].told) = (version, true);
                    held.offered |= held.giving;
                }
                items.push(item);
                records.push((key, version));
            }
            let mut ends = Vec::new();
            while ends.len() < ITEMS {
                let Some(key) = peer.ends.pop_first() else { break };
                ends.push(key);
            }
            if peer.records.is_empty() && peer.ends.is_empty() {
                peer.due = None;
            }
            if items.is_empty() && ends.is_empty() {
                continue;
            }
            // Numbers grow with the clock: they go on where they were even if this peer was forgotten in between.
            peer.numbers.1 = now.max(peer.numbers.1 + 1);
            let number = peer.numbers.1;
            let lost_at = now + (ANSWERED << peer.lost) + octets as u64 / 10;
            peer.flights.insert(number, InFlightBatch { lost_at, records, ends: ends.clone() });
            let to = (actor.life.life, actor.term);
            let said = Message::Batch { to, number, records: items, ends };
            let bytes = said.write(self.local.life.life, self.local.term);
            self.effects.push_back(Effect::SendRecords(actor.life.name.clone(), bytes));
        }
    }
}
