//! Fencing: asking the voters to end processes that are gone, and this voter's part in that.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::Peer;
use super::{Custodian, Effect, Plant, MARKS_AGAIN, MS, PEERS};
use crate::tenure::{EndAsk, Voter};
use crate::wire::{self, Actor, Said, DATAGRAM};
use crate::{Life, Micros};

/// Whether a life is over is asked of the voters for so long after somebody wanted to know.
const WANTED: Micros = 30_000 * MS;

impl Custodian {
    /// What [`Effect::Keep`] asked for is on disk.
    pub fn kept(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let mut told: BTreeMap<String, Vec<(Actor, Micros)>> = BTreeMap::new();
        for (to, actor, left) in voter.kept(now) {
            told.entry(to).or_default().push((actor, left));
        }
        self.keep();
        for (to, marks) in told {
            self.marks_told(now, &to, marks);
        }
        // Its own first grant may have waited for that.
        self.renew = now;
    }

    pub(super) fn marks_told(&mut self, now: Micros, to: &str, marks: Vec<(Actor, Micros)>) {
        if to == self.me.life.name {
            return self.marked(now, to, marks);
        }
        for part in wire::parts(marks, |m| &m.0) {
            self.say(to, &Said::Marked(part));
        }
    }

    /// Whether a life is surely over through a term, or through the newest one that was heard of. Belief is not enough: on the far
    /// side of a cut a holder that goes on looks dead.
    pub fn surely_over(&self, life: &Life, term: u32) -> bool {
        let newest = self.newest.get(life).copied().unwrap_or(0);
        self.is_over(&Actor { life: life.clone(), term: term.max(newest) })
    }

    /// Somebody wants to know whether a life is surely over. If membership has it for gone, the voters are asked to end it, for
    /// half a minute from now.
    pub fn want_over(&mut self, now: Micros, life: &Life, term: u32) {
        let newest = self.newest.get(life).copied().unwrap_or(0);
        let actor = Actor { life: life.clone(), term: term.max(newest) };
        if self.is_over(&actor) || (self.wanted.len() >= PEERS && !self.wanted.contains_key(&actor)) {
            return;
        }
        self.wanted.insert(actor, now + WANTED);
        self.missed(now);
        self.run(now);
    }

    pub(super) fn is_over(&self, actor: &Actor) -> bool {
        self.over.get(&actor.life).is_some_and(|through| actor.term <= *through)
    }

    /// Whoever is gone and stands in a chain is to be ended.
    pub(super) fn missed(&mut self, now: Micros) {
        for actor in self.refs.keys().chain(self.wanted.keys()) {
            if !self.lives.contains_key(&actor.life) && !self.lives.is_empty() {
                self.unlisted.entry(actor.life.clone()).or_insert(now);
            }
        }
        let named = self.refs.keys().chain(self.wanted.keys());
        let lost: Vec<Actor> =
            named.filter(|a| self.lost(now, &a.life) && !self.is_over(a)).cloned().collect();
        for actor in lost {
            self.ends.entry(actor).or_default();
        }
        let (refs, wanted) = (&self.refs, &self.wanted);
        self.ends.retain(|a, _| refs.contains_key(a) || wanted.contains_key(a));
    }

    pub(super) fn ask_marks(&mut self, now: Micros) {
        // One without a tenure could take nothing over. It may be the one that is cut off: after the heal its old belief would end
        // all those that went on.
        let due = |e: &EndAsk| e.asked.is_none_or(|at| at + MARKS_AGAIN <= now);
        if !self.acting || !self.ends.values().any(due) {
            return;
        }
        let lease = self.terms.lease;
        for voter in self.terms.voters.clone() {
            let lacking: Vec<Actor> = self
                .ends
                .iter()
                .filter(|(_, e)| due(e) && e.lacks(now, &voter, lease))
                .map(|(a, _)| a.clone())
                .collect();
            if lacking.is_empty() {
                continue;
            }
            if voter == self.me.life.name {
                self.end_asked(now, &voter, lacking);
            } else {
                wire::parts(lacking, |a| a).into_iter().for_each(|p| self.say(&voter, &Said::End(p)));
            }
        }
        self.ends.values_mut().filter(|e| due(e)).for_each(|e| e.asked = Some(now));
    }

    /// A voter that has kept nothing asks what the others have, until it knows enough.
    pub(super) fn ask_known(&mut self, now: Micros) {
        if !self.voter.as_ref().is_some_and(Voter::is_empty) || self.known_again > now {
            return;
        }
        self.known_again = now + MARKS_AGAIN;
        for voter in self.terms.voters.clone() {
            if voter != self.me.life.name {
                self.say(&voter, &Said::Tell(now));
            }
        }
    }

    pub(super) fn tell_marks(&mut self, now: Micros, from: &str, asked: Micros) {
        let Some(kept) = self.voter.as_ref().map(Voter::tells) else { return };
        // Who asks has nothing; and this one may have nothing either.
        self.marks_known(now, from, now, &[]);
        let bytes = Said::Known { asked, kept }.write(self.me.life.life, self.me.term);
        let to = from.to_owned();
        self.effects.push_back(if bytes.len() <= DATAGRAM {
            Effect::Say(to, bytes)
        } else {
            Effect::Send(to, bytes)
        });
    }

    pub(super) fn marks_known(&mut self, now: Micros, from: &str, asked: Micros, kept: &[u8]) {
        let other = from != self.me.life.name && self.terms.voters.iter().any(|v| v == from);
        let Some(voter) = self.voter.as_mut().filter(|v| other && v.is_empty()) else { return };
        voter.learn(now, from, asked, kept);
        if voter.is_empty() {
            return;
        }
        self.effects
            .push_back(Effect::Log("what the other voters have marked is known: this one votes".into()));
        self.keep();
    }

    pub(super) fn end_asked(&mut self, now: Micros, from: &str, who: Vec<Actor>) {
        let Some(voter) = &mut self.voter else { return };
        let told = voter.end(now, from, who);
        self.keep();
        self.marks_told(now, from, told);
    }

    pub(super) fn marked(&mut self, now: Micros, voter: &str, marks: Vec<(Actor, Micros)>) {
        if !self.terms.voters.iter().any(|v| v == voter) {
            return;
        }
        let waits = self.plant != Plant::GrantNotWaitedOut;
        let (quorum, lease) = (self.quorum(), self.terms.lease);
        for (actor, left) in marks {
            if let Some(end) = self.ends.get_mut(&actor) {
                let at = if waits { now + self.spans.surely(left) } else { now };
                end.marked(voter, now, at, quorum, lease);
            }
        }
    }

    pub(super) fn ends_due(&mut self, now: Micros) {
        let over: Vec<Actor> = self
            .ends
            .iter()
            .filter(|(_, e)| e.over.is_some_and(|at| at <= now))
            .map(|(a, _)| a.clone())
            .collect();
        for actor in over {
            self.ends.remove(&actor);
            let Life { name, life } = &actor.life;
            let of = self.refs.get(&actor).map_or(0, BTreeSet::len);
            self.effects
                .push_back(Effect::Log(format!("{name} ({life:016x}) is surely over: {of} statements")));
            self.now_over(&actor);
        }
    }

    pub(super) fn now_over(&mut self, actor: &Actor) {
        let through = self.over.entry(actor.life.clone()).or_insert(actor.term);
        *through = actor.term.max(*through);
        let through = *through;
        let from = Actor { life: actor.life.clone(), term: 0 };
        let to = Actor { life: actor.life.clone(), term: through };
        let of = self.refs.range(from..=to).flat_map(|(_, keys)| keys.iter().cloned());
        self.looks.extend(of);
        // The numbers stay: what comes late from there is not taken for new.
        for (_, peer) in self.peers.iter_mut().filter(|(a, _)| a.life == actor.life && a.term <= through) {
            *peer = Peer { numbers: peer.numbers, heard: peer.heard, ..Peer::default() };
        }
    }
}
