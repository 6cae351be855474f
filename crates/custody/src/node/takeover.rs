//! Takeover: who holds a statement after something has changed, and giving statements up.

use super::statement::{Ownership, ReplicaProgress, Role, Statement, Tombstone};
use super::{Effect, TakeoverNode, BACK, COALESCED, FORWARD, LINGER};
use crate::wire::Participant;
use crate::{Micros, StatementKey};

/// The versions of one holder; the next one in the chain counts on from there.
const HOLDER: u32 = 40;

impl TakeoverNode {
    /// Looks at a statement after something has changed.
    pub(super) fn review_statement(&mut self, now: Micros, key: &StatementKey) {
        self.to_review.remove(key);
        let Some(entry) = self.statements.get(key) else { return };
        let over: Vec<Participant> = entry
            .links
            .iter()
            .filter(|l| !l.gone && self.is_participant_fenced(&l.actor))
            .map(|l| l.actor.clone())
            .collect();
        over.iter().for_each(|actor| self.exclude_replica(key, actor));
        let Some(entry) = self.statements.get(key) else { return };
        if entry.held().is_some() {
            self.review_owned(now, key);
        } else if entry.links[entry.at].gone {
            let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
            self.remove_statement(key);
            self.add_tombstone(key.clone(), Tombstone::Moved(self.local.term, others));
        } else {
            let first = entry.links.iter().position(|l| !l.gone).unwrap_or(entry.at);
            if first == entry.at {
                self.takeover_ready.insert((entry.deadline, key.clone()));
                self.forward_at.remove(key);
            } else if entry.record.version >> HOLDER == first as u64 {
                // Its holder is one that lives, or is not known to be gone.
                self.forward_at.remove(key);
            } else {
                self.forward_at.entry(key.clone()).or_insert(now + FORWARD);
            }
        }
    }

    pub(super) fn review_owned(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.statements.get(key) else { return };
        // One that has given it up adds to the chain only if nobody in it can act any more, nor has: whoever may have taken it over
        // may have added others.
        let giving = entry.held().is_some_and(|h| h.giving);
        let offered = entry.held().is_some_and(|h| h.offered);
        if giving && offered && entry.behind().next().is_none() {
            self.remove_statement(key);
            return self.add_tombstone(key.clone(), Tombstone::Moved(self.local.term, Vec::new()));
        }
        if self.needs_replicas(now, entry) && (!giving || entry.behind().next().is_none()) {
            self.select_replicas(now, key);
        }
        let Some(entry) = self.statements.get(key) else { return };
        let Some(held) = entry.held() else { return };
        if held.giving {
            let given =
                held.guards.iter().zip(&entry.links).any(|(g, l)| !l.gone && g.acked >= entry.record.version);
            if given {
                let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
                self.remove_statement(key);
                self.add_tombstone(key.clone(), Tombstone::Moved(self.local.term, others));
            } else {
                self.queue_record(now, key, 0);
            }
            return;
        }
        let guarded = entry.behind().next().is_some();
        if !guarded && !held.unprotected {
            self.effects.push_back(Effect::Unreplicated(key.clone()));
        }
        // One that has the record cannot decline it any more.
        let living = entry
            .behind()
            .any(|i| !self.believed_gone(now, &entry.links[i].actor.life) && held.guards[i].acked > 0);
        if self.handing_over && living {
            return self.resign_statement(now, key);
        }
        let (may, intent, ending, adopting) = (self.may_act(now), held.intent, held.ending, held.adopting);
        let guards = |version| entry.behind().any(|i| held.guards[i].acked >= version);
        let go = intent.filter(|(_, v)| may && entry.recorded(held, *v) && (guards(*v) || !guarded));
        let tell = ending.filter(|v| may && entry.recorded(held, *v));
        let adopt = adopting.filter(|v| may && entry.recorded(held, *v));
        let record = adopt.map(|_| Box::new(entry.now(now)));
        let waits = intent.or(ending.or(adopting).map(|v| (0, v))).is_some();
        let Some(held) = self.statements.get_mut(key).and_then(Statement::held_mut) else { return };
        held.unprotected = !guarded;
        if let Some((attempts, _)) = go {
            held.intent = None;
            self.effects.push_back(Effect::StartAttempt(key.clone(), attempts));
        }
        if tell.is_some() {
            held.ending = None;
            self.effects.push_back(Effect::ReportEnding(key.clone()));
        }
        if let Some(record) = record {
            held.adopting = None;
            self.effects.push_back(Effect::TakenOver(record));
        }
        if held.intent.is_none() && held.ending.is_none() && held.adopting.is_none() {
            self.awaiting_replicas.remove(key);
        }
        // The first word of a statement is what its client waits for.
        let new = self
            .statements
            .get(key)
            .and_then(Statement::held)
            .is_some_and(|h| h.guards.iter().all(|g| !g.told));
        self.queue_record(now, key, if waits || new { 0 } else { COALESCED });
    }

    /// A statement that this process held in a term that is over, and that nobody is known to have: those behind it may never have
    /// heard of it, as in a cut. They are told what it knew, and that its place in the chain is given up. One that knows more
    /// keeps to that.
    pub(super) fn return_statement(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.statements.get_mut(key) else { return };
        entry.links[entry.at].gone = true;
        entry.record.version += 1;
        let until = (self.lease.held_at + BACK).min(entry.deadline.saturating_add(LINGER)).max(now);
        let Some(held) = entry.held_mut() else { return };
        held.giving = true;
        held.ending = None;
        // Somebody may have taken it over on what it was told and has not acknowledged, and named others. So it is given back to those
        // that were told, who have heard of that before it was acted on, and to no others; to any if nobody was.
        let told = held.guards.iter().rposition(|g| g.told);
        held.offered = told.is_some();
        for guard in &mut held.guards {
            (guard.sent, guard.body) = (0, false);
        }
        let last = told.map_or(usize::MAX, |at| at + 1);
        held.guards.truncate(last);
        let untold: Vec<Participant> =
            entry.links.drain(last.min(entry.links.len())..).map(|l| l.actor).collect();
        untold.iter().for_each(|actor| self.remove_reference(key, actor));
        let Some(entry) = self.statements.get_mut(key) else { return };
        let Some(held) = entry.held_mut() else { return };
        // What still waited for its record was never written.
        if held.intent.take().is_some_and(|(attempts, _)| attempts == 1) {
            (entry.record.out, entry.record.attempts) = (None, 0);
        }
        self.expiry.insert((until, key.clone()));
        self.to_review.insert(key.clone());
    }

    /// Gives a statement up to the next in the chain.
    pub(super) fn resign_statement(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.statements.get_mut(key) else { return };
        entry.links[entry.at].gone = true;
        entry.record.version += 1;
        let Some(held) = entry.held_mut() else { return };
        let told = held.adopting.is_none();
        held.giving = true;
        (held.intent, held.ending, held.adopting) = (None, None, None);
        if told {
            self.effects.push_back(Effect::Relinquished(key.clone()));
        }
        self.awaiting_replicas.remove(key);
        self.queue_record(now, key, 0);
    }

    pub(super) fn take_over(&mut self, now: Micros, key: &StatementKey) {
        let Some(entry) = self.statements.get_mut(key) else { return };
        let octets = entry.octets();
        let (at, deadline) = (entry.at, entry.deadline);
        entry.record.version = ((at as u64) << HOLDER) + 1;
        let since = entry.record.version;
        let guards =
            vec![ReplicaProgress { since, told: true, ..ReplicaProgress::default() }; entry.links.len()];
        let again = entry.record.ending.is_some();
        let adopting = again.then_some(since);
        entry.role = Role::Owner(Box::new(Ownership { guards, adopting, ..Ownership::default() }));
        let record = Box::new(entry.now(now));
        self.replica_usage = (self.replica_usage.0 - 1, self.replica_usage.1.saturating_sub(octets));
        self.expiry.remove(&(deadline.saturating_add(LINGER), key.clone()));
        self.forward_at.remove(key);
        if again {
            self.awaiting_replicas.insert(key.clone());
        } else {
            self.effects.push_back(Effect::TakenOver(record));
        }
        self.review_statement(now, key);
    }
}
