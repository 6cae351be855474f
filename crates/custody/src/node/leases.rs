//! Leases: asking the voters for one, whether it allows actions now, and the next term after it was lost.

use std::collections::BTreeSet;

use super::statement::Tombstone;
use super::{Effect, InjectedFault, TakeoverNode, BACK};
use crate::tenure::{Lease, LeaseAnswer};
use crate::wire::Message;
use crate::{Micros, StatementKey};

impl TakeoverNode {
    /// Whether this gateway may start attempts and tell endings: its tenure holds for [`Settings::check`] more. To be asked just
    /// before.
    pub fn may_act(&self, now: Micros) -> bool {
        now + self.settings.check < self.lease.until || self.fault == InjectedFault::ActsWithoutLease
    }

    pub(super) fn request_lease(&mut self, now: Micros) {
        let voters = self.settings.voters.clone();
        for voter in &voters {
            if *voter == self.local.life.name {
                let me = self.local.clone();
                let answer = self.voter.as_mut().map_or(LeaseAnswer::Silence, |v| v.asked(now, &me));
                self.store_marks();
                self.handle_lease_answer(now, voter, now, &answer);
            } else {
                self.send_message(voter, &Message::LeaseRequest(now));
            }
        }
    }

    pub(super) fn handle_lease_answer(
        &mut self,
        now: Micros,
        voter: &str,
        asked: Micros,
        answer: &LeaseAnswer,
    ) {
        match answer {
            LeaseAnswer::Granted => {
                let asked = if self.fault == InjectedFault::LeaseFromReceipt { now } else { asked };
                self.lease.granted(voter, asked, self.lease_times.held());
            }
            LeaseAnswer::Fenced(through) if *through >= self.local.term => self.fenced = true,
            LeaseAnswer::Fenced(_) | LeaseAnswer::Silence => {}
        }
    }

    /// This term is over, as the voters have it: whatever was in hand is another's, and a new term begins with nothing.
    pub(super) fn begin_next_term(&mut self, now: Micros) {
        let others: BTreeSet<String> =
            self.statements_by_participant.keys().map(|a| a.life.name.clone()).collect();
        let had: Vec<StatementKey> = self.statements.keys().cloned().collect();
        self.local.term += 1;
        self.declined.clear();
        self.peers.clear();
        self.awaiting_replicas.clear();
        for key in had {
            let Some(entry) = self.statements.get(&key) else { continue };
            let held = entry.held().filter(|h| h.adopting.is_none());
            let alone = held.is_some_and(|h| h.guards.iter().all(|g| g.acked == 0));
            if held.is_some_and(|h| !h.giving) {
                self.effects.push_back(Effect::Relinquished(key.clone()));
            }
            if alone && now < self.lease.held_at + BACK {
                self.return_statement(now, &key);
                continue;
            }
            let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
            self.remove_statement(&key);
            self.add_tombstone(key, Tombstone::Moved(self.local.term - 1, others));
        }
        self.fenced = false;
        self.lease = Lease::new(now, self.quorum());
        self.renew_at = now;
        others.iter().for_each(|name| self.send_message(name, &Message::TermAnnouncement));
        let term = self.local.term;
        self.effects
            .push_back(Effect::Log(format!("ended by the voters: term {term} begins with nothing in hand")));
    }

    /// Nothing is held any more: whoever counts on this one as a guardian hears that its term is over.
    pub(super) fn complete_hand_over(&mut self, now: Micros) {
        self.handed_over = true;
        self.begin_next_term(now);
    }
}
