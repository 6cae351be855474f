//! Records that come from other gateways, to be kept for them.

use super::statement::{Role, Statement, Tombstone};
use super::{InjectedFault, TakeoverNode, BACK, LINGER};
use crate::wire::{Message, Participant, RejectReason, ReplicaEntry, ReplicaRecord};
use crate::{Micros, Record, StatementKey};

/// Statements for which there was no room here, each until it cannot run any more: none of them may be taken later, when
/// its holder counts on that.
const DECLINED: usize = 65_536;

impl TakeoverNode {
    pub(super) fn handle_batch(
        &mut self,
        now: Micros,
        sender: Participant,
        number: u64,
        records: Vec<ReplicaRecord>,
        ends: Vec<StatementKey>,
    ) {
        let over = self.is_participant_fenced(&sender);
        let Some(peer) = self.peer_mut(&sender) else { return };
        // One that comes late or twice would bring back what has been ended since.
        if number <= peer.numbers.0 || over {
            return;
        }
        peer.numbers.0 = number;
        let mut not = Vec::new();
        for (at, item) in records.into_iter().enumerate() {
            if let Err(why) = self.store_record(now, &sender, item) {
                not.push((at as u16, why));
            }
        }
        for key in ends {
            if self.statements.get(&key).is_some_and(|e| e.held().is_none()) {
                let ending = self.remove_statement(&key).and_then(|e| e.record.ending);
                self.add_tombstone(key, Tombstone::Ended(ending));
            }
        }
        let to = (sender.life.life, sender.term);
        self.send_message(&sender.life.name, &Message::Acknowledgement { to, number, not });
    }

    /// A record comes.
    pub(super) fn store_record(
        &mut self,
        now: Micros,
        sender: &Participant,
        item: ReplicaRecord,
    ) -> Result<(), RejectReason> {
        let ReplicaRecord { record, whole, links } = item;
        let key = record.key.clone();
        if self.declined.contains_key(&key) {
            return Err(RejectReason::NoRoom);
        }
        let place = |who: &Participant| links.iter().position(|l| l.actor == *who);
        // What a process gives back that had it in an earlier term. One that had it in this term, and has it
        // no more, never does again.
        let earlier = |l: &ReplicaEntry| l.gone && l.actor.life == sender.life && l.actor.term < sender.term;
        let known = self.last_tombstone_dropped == 0 || now >= self.last_tombstone_dropped + 2 * BACK;
        let moved =
            matches!(self.tombstones.get(&key), Some(Tombstone::Moved(term, _)) if *term == self.local.term);
        let new = known && !moved;
        let back = || links.iter().position(earlier).filter(|_| new);
        let (Some(at), Some(by)) = (place(&self.local), place(sender).or_else(back)) else {
            return Err(RejectReason::Obsolete);
        };
        if links[at].gone {
            return Err(RejectReason::Obsolete);
        }
        // Given back by this process, taken by another one, which wants it as a guardian now.
        if self.is_returning(&key) && whole {
            self.remove_statement(&key);
        }
        let me = self.local.clone();
        let Some(entry) = self.statements.get_mut(&key) else {
            if let Some(Tombstone::Ended(_)) = self.tombstones.get(&key) {
                return Err(RejectReason::Ended);
            }
            if !whole {
                return Err(RejectReason::MissingBody);
            }
            let deadline = now.saturating_add(record.left);
            let entry = Statement { record, links, at, role: Role::Replica, deadline, stamped: now };
            let octets = entry.octets();
            if self.replica_usage.0 >= self.settings.most
                || self.replica_usage.1 + octets > self.settings.most_octets
            {
                if self.declined.len() < DECLINED {
                    self.declined.insert(key, deadline.saturating_add(LINGER));
                    return Err(RejectReason::NoRoom);
                }
                return Err(RejectReason::Obsolete);
            }
            self.replica_usage = (self.replica_usage.0 + 1, self.replica_usage.1 + octets);
            self.expiry.insert((deadline.saturating_add(LINGER), key.clone()));
            for link in entry.links.iter().filter(|l| !l.gone && l.actor != me) {
                self.statements_by_participant.entry(link.actor.clone()).or_default().insert(key.clone());
            }
            self.tombstones.remove(&key);
            self.statements.insert(key.clone(), entry);
            self.to_review.insert(key);
            return Ok(());
        };
        // Two chains differ only where one names guardians that were never told: whoever stands before them and did not
        // know of them has become the holder, and named others. What its record says holds then.
        let common = entry.links.iter().zip(&links).take_while(|(a, b)| a.actor == b.actor).count();
        if common <= entry.at {
            return Err(RejectReason::Obsolete);
        }
        // One that is over, or has given up, only says so; it is not listened to any more.
        if entry.links[..common].get(by).is_some_and(|l| l.gone) && !links[by].gone {
            return Err(RejectReason::Obsolete);
        }
        let before = entry.octets();
        let mut unref = Vec::new();
        for (mine, told) in entry.links.iter_mut().zip(&links[..common]) {
            if told.gone && !mine.gone {
                mine.gone = true;
                unref.push(mine.actor.clone());
            }
        }
        if entry.held().is_none() {
            if record.version > entry.record.version && self.fault != InjectedFault::ReplicaListForgotten {
                unref.extend(entry.links.split_off(common).into_iter().map(|l| l.actor));
                for link in &links[common..] {
                    entry.links.push(link.clone());
                    unref.retain(|a| *a != link.actor);
                    if !link.gone && link.actor != me {
                        self.statements_by_participant
                            .entry(link.actor.clone())
                            .or_default()
                            .insert(key.clone());
                    }
                }
            }
            if record.version > entry.record.version {
                let old = entry.deadline;
                entry.deadline = now.saturating_add(record.left);
                let body = if whole { record.body } else { std::mem::take(&mut entry.record.body) };
                entry.record = Record { body, ..record };
                entry.stamped = now;
                self.takeover_ready.remove(&(old, key.clone()));
                self.expiry.remove(&(old.saturating_add(LINGER), key.clone()));
                self.expiry.insert((entry.deadline.saturating_add(LINGER), key.clone()));
            }
            self.replica_usage.1 = self.replica_usage.1 + entry.octets() - before;
        }
        for actor in unref {
            self.remove_reference(&key, &actor);
        }
        self.to_review.insert(key);
        Ok(())
    }
}
