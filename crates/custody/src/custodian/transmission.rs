//! Records on their way to other gateways: batches, acknowledgements, losses and retransmission.

use std::collections::BTreeMap;

use super::entry::{Flight, Past, Peer, Role};
use super::{Custodian, Effect, Plant, FLIGHTS, FORWARD, LOOKS, MS, PEERS};
use crate::wire::{Actor, Said, Why, BODY, ITEMS};
use crate::{Micros, StatementKey};

/// Octets of one sending that ends with the record that passes them.
const SENDING: usize = 256 << 10;
/// A sending that is not answered for so long, and for its octets at ten a microsecond, is taken for lost.
const ANSWERED: Micros = 100 * MS;
/// Lost sendings in a row after which the time doubles no further.
const DOUBLED: u32 = 4;

impl Custodian {
    pub(super) fn peer(&mut self, actor: &Actor) -> Option<&mut Peer> {
        if self.peers.len() >= PEERS && !self.peers.contains_key(actor) {
            return None;
        }
        Some(self.peers.entry(actor.clone()).or_default())
    }

    pub(super) fn acked(&mut self, now: Micros, sender: &Actor, number: u64, not: &[(u16, Why)]) {
        let Some(peer) = self.peers.get_mut(sender) else { return };
        let Some(flight) = peer.flights.remove(&number) else { return };
        peer.lost = 0;
        if not.iter().any(|n| n.1 == Why::Full) {
            peer.full = Some(now);
        }
        if !(peer.records.is_empty() && peer.ends.is_empty()) {
            peer.due = Some(peer.due.map_or(now, |due| due.min(now)));
        }
        let not: BTreeMap<u16, Why> = not.iter().copied().collect();
        for (at, (key, version)) in flight.records.into_iter().enumerate() {
            let why = not.get(&(at as u16)).copied();
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Some(i) = entry.links.iter().position(|l| l.actor == *sender) else { continue };
            if why == Some(Why::Ended) {
                if entry.held().is_some_and(|h| !h.giving && h.adopting.is_none()) {
                    self.effects.push_back(Effect::Dropped(key.clone()));
                }
                let ending = self.forget(&key).and_then(|e| e.record.ending);
                self.remember(key, Past::Ended(ending));
                continue;
            }
            match &mut entry.role {
                Role::Held(held) => {
                    let guard = &mut held.guards[i];
                    match why {
                        None => {
                            guard.acked = version.max(guard.acked);
                            guard.body = true;
                        }
                        Some(Why::Bodiless) => (guard.body, guard.sent) = (false, 0),
                        Some(Why::Full) => self.gone(&key, sender),
                        Some(_) => {}
                    }
                }
                Role::Kept => {
                    if why == Some(Why::Full) {
                        self.gone(&key, sender);
                    }
                    // It has it now, and goes on with it.
                    self.forwards.remove(&key);
                }
            }
            self.look(now, &key);
        }
    }

    /// A sending could not be brought to a gateway.
    pub fn unsent(&mut self, now: Micros, to: &str) {
        let of: Vec<Actor> = self.peers.keys().filter(|a| a.life.name == to).cloned().collect();
        for actor in of {
            if let Some(peer) = self.peers.get_mut(&actor) {
                peer.flights.values_mut().for_each(|f| f.lost_at = now);
            }
            self.lost_flights(now, &actor);
        }
    }

    pub(super) fn lost_flights(&mut self, now: Micros, actor: &Actor) {
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
            let Some(entry) = self.entries.get_mut(&key) else { continue };
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
    pub(super) fn tell(&mut self, now: Micros, key: &StatementKey, within: Micros) {
        let Some(entry) = self.entries.get(key) else { return };
        let Some(held) = entry.held() else { return };
        if entry.record.body.len() > BODY {
            return;
        }
        let all = self.plant == Plant::ChainNotAwaited;
        let told: Vec<Actor> = entry
            .behind()
            .filter(|&i| held.guards[i].sent < entry.record.version && (all || entry.tellable(held, i)))
            .map(|i| entry.links[i].actor.clone())
            .collect();
        for actor in told {
            if let Some(peer) = self.peer(&actor) {
                peer.records.insert(key.clone());
                // One that does not answer is not asked faster.
                let due = if peer.lost > 0 { peer.due.unwrap_or(now + within) } else { now + within };
                peer.due = Some(peer.due.map_or(due, |d| d.min(due)));
            }
        }
    }

    pub(super) fn forward(&mut self, now: Micros) {
        let due: Vec<StatementKey> =
            self.forwards.iter().filter(|(_, at)| **at <= now).map(|(k, _)| k.clone()).take(LOOKS).collect();
        for key in due {
            self.forwards.insert(key.clone(), now + 2 * FORWARD);
            let Some(entry) = self.entries.get(&key) else { continue };
            let Some(first) = entry.links.iter().find(|l| !l.gone) else { continue };
            let actor = first.actor.clone();
            if !self.lost(now, &actor.life) {
                if let Some(peer) = self.peer(&actor) {
                    peer.records.insert(key);
                    peer.due = Some(peer.due.unwrap_or(now));
                }
            }
        }
    }

    /// Sends what is due to one, in the order in which it is numbered.
    pub(super) fn flush(&mut self, now: Micros, actor: &Actor) {
        while let Some(peer) = self.peers.get_mut(actor) {
            let due = peer.due.is_some_and(|due| due <= now);
            if !due || peer.flights.len() >= FLIGHTS {
                return;
            }
            let (mut records, mut items, mut octets) = (Vec::new(), Vec::new(), 0);
            while items.len() < ITEMS && octets < SENDING {
                let Some(key) = peer.records.pop_first() else { break };
                let Some(entry) = self.entries.get_mut(&key) else { continue };
                let Some(i) = entry.links.iter().position(|l| l.actor == *actor && !l.gone) else { continue };
                let version = entry.record.version;
                let all = self.plant == Plant::ChainNotAwaited;
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
            peer.flights.insert(number, Flight { lost_at, records, ends: ends.clone() });
            let to = (actor.life.life, actor.term);
            let said = Said::Batch { to, number, records: items, ends };
            let bytes = said.write(self.me.life.life, self.me.term);
            self.effects.push_back(Effect::Send(actor.life.name.clone(), bytes));
        }
    }
}
