//! What the gateway says of the statements that it holds.

use super::entry::{Entry, Guard, Held, Past, Role};
use super::{Custodian, Effect, Leave, Plant, COALESCED};
use crate::wire::Link;
use crate::{Ending, Life, Micros, Out, Record, Repeat, StatementKey};

impl Custodian {
    /// A statement that this life has taken. Gives its guardians as chosen.
    pub fn take(&mut self, now: Micros, record: Record) -> Vec<Life> {
        let key = record.key.clone();
        if self.entries.contains_key(&key) {
            return self.chain(&key).split_off(1);
        }
        self.taken = self.taken.max(key.number);
        let deadline = now.saturating_add(record.left);
        let me = Link { actor: self.me.clone(), gone: false, after: 0 };
        let record = Record { version: 1, ..record };
        let held = Held { guards: vec![Guard::default()], ..Held::default() };
        let role = Role::Held(Box::new(held));
        let entry = Entry { record, links: vec![me], at: 0, role, deadline, stamped: now };
        self.entries.insert(key.clone(), entry);
        self.look(now, &key);
        self.chain(&key).split_off(1)
    }

    /// Whether the client of a statement that was taken here at a time may be told that it is: it outlives this process from
    /// then on. All that are to keep it have it, and the voters have granted the tenure within half a lease; or, if one is
    /// silent, another one has it and the tenure was granted anew since. A holder that is cut off knows of that only at the end
    /// of its lease, and what it takes until then nobody could act for before its client has given up.
    pub fn settled(&self, now: Micros, key: &StatementKey, since: Micros) -> bool {
        let Some((entry, held)) = self.entries.get(key).and_then(|e| e.held().map(|h| (e, h))) else {
            return true;
        };
        let asked_at = |at: Micros| self.tenure.until >= at.saturating_add(self.spans.held());
        let has = |i: usize| held.guards[i].acked > 0;
        let none = entry.behind().all(|i| self.lost(now, &entry.links[i].actor.life));
        let fresh = asked_at(now.saturating_sub(self.terms.lease / 2));
        (fresh && entry.behind().all(has)) || (asked_at(since) && (none || entry.behind().any(has)))
    }

    pub(super) fn mine(&mut self, now: Micros, key: &StatementKey) -> Option<&mut Entry> {
        let may = self.may_act(now);
        let entry = self.entries.get_mut(key)?;
        let free = entry.held().is_some_and(|h| !h.giving && h.adopting.is_none());
        (may && free).then_some(entry)
    }

    /// Before an attempt is written to its engine: `attempts` have been spent then, this one included.
    pub fn intend(&mut self, now: Micros, key: &StatementKey, attempts: u32, out: Out) -> Leave {
        let waits = self.plant != Plant::IntentNotAwaited;
        let Some(entry) = self.mine(now, key).filter(|e| e.record.ending.is_none()) else {
            return Leave::Never;
        };
        entry.record.version += 1;
        entry.record.attempts = attempts;
        entry.record.out = Some(out);
        entry.stamped = now;
        entry.record.left = entry.deadline.saturating_sub(now);
        let version = entry.record.version;
        if entry.record.repeat == Repeat::Harmless || !waits {
            self.tell(now, key, COALESCED);
            return Leave::Go;
        }
        if let Some(held) = entry.held_mut() {
            held.intent = Some((attempts, version));
        }
        self.waits(now, key)
    }

    /// What waits is told at once, and what has nothing to wait for may go.
    pub(super) fn waits(&mut self, now: Micros, key: &StatementKey) -> Leave {
        self.waiting.insert(key.clone());
        let before = self.effects.len();
        self.look(now, key);
        self.run(now);
        // The word that may follow at once is given as the answer.
        let word = |e: &Effect| matches!(e, Effect::Go(k, _) | Effect::Tell(k) if k == key);
        if let Some(at) = self.effects.iter().skip(before).position(word) {
            self.effects.remove(before + at);
            return Leave::Go;
        }
        Leave::Wait
    }

    /// Progress: the attempt that is out, if one is, and pages passed on. It follows when there is time.
    pub fn note(&mut self, now: Micros, key: &StatementKey, out: Option<Out>, passed: u64) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.held().is_some_and(|h| !h.giving)) else {
            return;
        };
        entry.record.out = out;
        entry.record.passed = passed;
        entry.record.version += 1;
        entry.stamped = now;
        self.tell(now, key, COALESCED);
    }

    /// Before an ending of the gateway's own is told.
    pub fn decide(&mut self, now: Micros, key: &StatementKey, ending: Ending) -> Leave {
        let Some(entry) = self.mine(now, key) else { return Leave::Never };
        match &entry.record.ending {
            Some(before) if *before != ending => return Leave::Never,
            Some(_) => {}
            None => {
                entry.record.ending = Some(ending);
                entry.record.version += 1;
            }
        }
        let version = entry.record.version;
        let (harmless, out) = (entry.record.repeat == Repeat::Harmless, entry.record.attempts > 0);
        let Some(held) = entry.held_mut() else { return Leave::Never };
        held.intent = None;
        // A client that is told to try again must not have it run by a taker that knows nothing of that.
        if harmless && !out {
            self.tell(now, key, COALESCED);
            return Leave::Go;
        }
        held.ending.get_or_insert(version);
        self.waits(now, key)
    }

    /// Its client has its end, or never comes back.
    pub fn end(&mut self, now: Micros, key: &StatementKey) {
        if self.entries.get(key).is_none_or(|e| e.held().is_none_or(|h| h.giving)) {
            return;
        }
        let Some(entry) = self.forget(key) else { return };
        if let Some(held) = entry.held() {
            for i in entry.behind().filter(|&i| held.guards[i].told) {
                if let Some(peer) = self.peer(&entry.links[i].actor) {
                    peer.ends.insert(key.clone());
                    peer.due = Some(peer.due.unwrap_or(now + COALESCED));
                }
            }
        }
        self.remember(key.clone(), Past::Ended(entry.record.ending));
    }

    /// A planned end: every statement that has a guardian goes to it, [`Effect::Dropped`] each.
    pub fn hand_over(&mut self, now: Micros) {
        self.leaving = true;
        let held = self.entries.iter().filter(|(_, e)| e.held().is_some()).map(|(k, _)| k.clone());
        let held: Vec<StatementKey> = held.collect();
        held.iter().for_each(|key| self.look(now, key));
        self.run(now);
    }

    /// Whether nothing is held any more after [`Custodian::hand_over`].
    pub fn handed_over(&self) -> bool {
        self.left
    }
}
