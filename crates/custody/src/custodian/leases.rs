//! Leases: asking the voters for one, whether it allows actions now, and the next term after it was lost.

use std::collections::BTreeSet;

use super::entry::Past;
use super::{Custodian, Effect, Plant, BACK};
use crate::tenure::{Answer, Tenure};
use crate::wire::Said;
use crate::{Micros, StatementKey};

impl Custodian {
    /// Whether this gateway may start attempts and tell endings: its tenure holds for [`Terms::check`] more. To be asked just
    /// before.
    pub fn may_act(&self, now: Micros) -> bool {
        now + self.terms.check < self.tenure.until || self.plant == Plant::ActsWithoutTenure
    }

    pub(super) fn ask(&mut self, now: Micros) {
        let voters = self.terms.voters.clone();
        for voter in &voters {
            if *voter == self.me.life.name {
                let me = self.me.clone();
                let answer = self.voter.as_mut().map_or(Answer::Nothing, |v| v.asked(now, &me));
                self.keep();
                self.answered(now, voter, now, &answer);
            } else {
                self.say(voter, &Said::Ask(now));
            }
        }
    }

    pub(super) fn answered(&mut self, now: Micros, voter: &str, asked: Micros, answer: &Answer) {
        match answer {
            Answer::Granted => {
                let asked = if self.plant == Plant::LeaseFromReceipt { now } else { asked };
                self.tenure.granted(voter, asked, self.spans.held());
            }
            Answer::Ended(through) if *through >= self.me.term => self.ended = true,
            Answer::Ended(_) | Answer::Nothing => {}
        }
    }

    /// This term is over, as the voters have it: whatever was in hand is another's, and a new term begins with nothing.
    pub(super) fn next_term(&mut self, now: Micros) {
        let others: BTreeSet<String> = self.refs.keys().map(|a| a.life.name.clone()).collect();
        let had: Vec<StatementKey> = self.entries.keys().cloned().collect();
        self.me.term += 1;
        self.declined.clear();
        self.peers.clear();
        self.waiting.clear();
        for key in had {
            let Some(entry) = self.entries.get(&key) else { continue };
            let held = entry.held().filter(|h| h.adopting.is_none());
            let alone = held.is_some_and(|h| h.guards.iter().all(|g| g.acked == 0));
            if held.is_some_and(|h| !h.giving) {
                self.effects.push_back(Effect::Dropped(key.clone()));
            }
            if alone && now < self.tenure.held_at + BACK {
                self.give_back(now, &key);
                continue;
            }
            let others = entry.behind().map(|i| entry.links[i].actor.life.clone()).collect();
            self.forget(&key);
            self.remember(key, Past::Moved(self.me.term - 1, others));
        }
        self.ended = false;
        self.tenure = Tenure::new(now, self.quorum());
        self.renew = now;
        others.iter().for_each(|name| self.say(name, &Said::Me));
        let term = self.me.term;
        self.effects
            .push_back(Effect::Log(format!("ended by the voters: term {term} begins with nothing in hand")));
    }

    /// Nothing is held any more: whoever counts on this one as a guardian hears that its term is over.
    pub(super) fn leave(&mut self, now: Micros) {
        self.left = true;
        self.next_term(now);
    }
}
