//! Records that come from other gateways, to be kept for them.

use super::entry::{Entry, Past, Role};
use super::{Custodian, Plant, BACK, LINGER};
use crate::wire::{Actor, Item, Link, Said, Why};
use crate::{Micros, Record, StatementKey};

/// Statements for which there was no room here, each until it cannot run any more: none of them may be taken later, when
/// its holder counts on that.
const DECLINED: usize = 65_536;

impl Custodian {
    pub(super) fn batch(
        &mut self,
        now: Micros,
        sender: Actor,
        number: u64,
        records: Vec<Item>,
        ends: Vec<StatementKey>,
    ) {
        let over = self.is_over(&sender);
        let Some(peer) = self.peer(&sender) else { return };
        // One that comes late or twice would bring back what has been ended since.
        if number <= peer.numbers.0 || over {
            return;
        }
        peer.numbers.0 = number;
        let mut not = Vec::new();
        for (at, item) in records.into_iter().enumerate() {
            if let Err(why) = self.record(now, &sender, item) {
                not.push((at as u16, why));
            }
        }
        for key in ends {
            if self.entries.get(&key).is_some_and(|e| e.held().is_none()) {
                let ending = self.forget(&key).and_then(|e| e.record.ending);
                self.remember(key, Past::Ended(ending));
            }
        }
        let to = (sender.life.life, sender.term);
        self.say(&sender.life.name, &Said::Ack { to, number, not });
    }

    /// A record comes.
    pub(super) fn record(&mut self, now: Micros, sender: &Actor, item: Item) -> Result<(), Why> {
        let Item { record, whole, links } = item;
        let key = record.key.clone();
        if self.declined.contains_key(&key) {
            return Err(Why::Full);
        }
        let place = |who: &Actor| links.iter().position(|l| l.actor == *who);
        // What a process gives back that had it in an earlier term. One that had it in this term, and has it
        // no more, never does again.
        let earlier = |l: &Link| l.gone && l.actor.life == sender.life && l.actor.term < sender.term;
        let known = self.forgot == 0 || now >= self.forgot + 2 * BACK;
        let moved = matches!(self.past.get(&key), Some(Past::Moved(term, _)) if *term == self.me.term);
        let new = known && !moved;
        let back = || links.iter().position(earlier).filter(|_| new);
        let (Some(at), Some(by)) = (place(&self.me), place(sender).or_else(back)) else {
            return Err(Why::Past);
        };
        if links[at].gone {
            return Err(Why::Past);
        }
        // Given back by this process, taken by another one, which wants it as a guardian now.
        if self.gives_back(&key) && whole {
            self.forget(&key);
        }
        let me = self.me.clone();
        let Some(entry) = self.entries.get_mut(&key) else {
            if let Some(Past::Ended(_)) = self.past.get(&key) {
                return Err(Why::Ended);
            }
            if !whole {
                return Err(Why::Bodiless);
            }
            let deadline = now.saturating_add(record.left);
            let entry = Entry { record, links, at, role: Role::Kept, deadline, stamped: now };
            let octets = entry.octets();
            if self.kept.0 >= self.terms.most || self.kept.1 + octets > self.terms.most_octets {
                if self.declined.len() < DECLINED {
                    self.declined.insert(key, deadline.saturating_add(LINGER));
                    return Err(Why::Full);
                }
                return Err(Why::Past);
            }
            self.kept = (self.kept.0 + 1, self.kept.1 + octets);
            self.expiry.insert((deadline.saturating_add(LINGER), key.clone()));
            for link in entry.links.iter().filter(|l| !l.gone && l.actor != me) {
                self.refs.entry(link.actor.clone()).or_default().insert(key.clone());
            }
            self.past.remove(&key);
            self.entries.insert(key.clone(), entry);
            self.looks.insert(key);
            return Ok(());
        };
        // Two chains differ only where one names guardians that were never told: whoever stands before them and did not
        // know of them has become the holder, and named others. What its record says holds then.
        let common = entry.links.iter().zip(&links).take_while(|(a, b)| a.actor == b.actor).count();
        if common <= entry.at {
            return Err(Why::Past);
        }
        // One that is over, or has given up, only says so; it is not listened to any more.
        if entry.links[..common].get(by).is_some_and(|l| l.gone) && !links[by].gone {
            return Err(Why::Past);
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
            if record.version > entry.record.version && self.plant != Plant::ChainForgotten {
                unref.extend(entry.links.split_off(common).into_iter().map(|l| l.actor));
                for link in &links[common..] {
                    entry.links.push(link.clone());
                    unref.retain(|a| *a != link.actor);
                    if !link.gone && link.actor != me {
                        self.refs.entry(link.actor.clone()).or_default().insert(key.clone());
                    }
                }
            }
            if record.version > entry.record.version {
                let old = entry.deadline;
                entry.deadline = now.saturating_add(record.left);
                let body = if whole { record.body } else { std::mem::take(&mut entry.record.body) };
                entry.record = Record { body, ..record };
                entry.stamped = now;
                self.ready.remove(&(old, key.clone()));
                self.expiry.remove(&(old.saturating_add(LINGER), key.clone()));
                self.expiry.insert((entry.deadline.saturating_add(LINGER), key.clone()));
            }
            self.kept.1 = self.kept.1 + entry.octets() - before;
        }
        for actor in unref {
            self.unref(&key, &actor);
        }
        self.looks.insert(key);
        Ok(())
    }
}
