//! What is known here of statements, for the gateway and for its operators.

use super::entry::{Entry, Past};
use super::{Custodian, Whereabouts};
use crate::wire::{Actor, Link};
use crate::{Life, StatementKey};

impl Custodian {
    /// The lives that a statement's chain names, its first holder first.
    pub fn chain(&self, key: &StatementKey) -> Vec<Life> {
        self.links(key).into_iter().map(|(life, _)| life).collect()
    }

    /// The same, each with the term in which it stands there.
    pub fn links(&self, key: &StatementKey) -> Vec<(Life, u32)> {
        let of = |l: &Link| (l.actor.life.clone(), l.actor.term);
        self.entries.get(key).map_or(Vec::new(), |e| e.links.iter().map(of).collect())
    }

    /// Where a statement is.
    pub fn whereabouts(&self, key: &StatementKey) -> Whereabouts {
        let now = self.now;
        let at = |life: &Life| !self.lost(now, life) && !self.over.contains_key(life);
        if let Some(entry) = self.entries.get(key) {
            match entry.held() {
                Some(held) if held.adopting.is_some() => return Whereabouts::Taking,
                Some(held) if !held.giving => return Whereabouts::Here,
                _ => {}
            }
            let open = |l: &&Link| !l.gone && !self.is_over(&l.actor) && !self.lost(now, &l.actor.life);
            return match entry.links.iter().find(open) {
                Some(link) if link.actor == self.me => Whereabouts::Taking,
                Some(link) => Whereabouts::At(link.actor.life.clone()),
                None => Whereabouts::Unknown,
            };
        }
        match self.past.get(key) {
            Some(Past::Ended(ending)) => Whereabouts::Over(ending.clone()),
            Some(Past::Moved(_, others)) => {
                others.iter().find(|l| at(l)).map_or(Whereabouts::Unknown, |l| Whereabouts::At(l.clone()))
            }
            None if key.taken_by == self.me.life && key.number <= self.taken => Whereabouts::Over(None),
            None if key.taken_by == self.me.life => Whereabouts::Unknown,
            None if self.lives.contains_key(&key.taken_by) && at(&key.taken_by) => {
                Whereabouts::At(key.taken_by.clone())
            }
            None => Whereabouts::Unknown,
        }
    }

    /// Whether a statement is only offered to others, by a process that held it in a term that is over.
    pub fn gives_back(&self, key: &StatementKey) -> bool {
        let given = |e: &Entry| e.held().is_some_and(|h| h.giving) && e.links[e.at].actor != self.me;
        self.entries.get(key).is_some_and(given)
    }

    /// Own statements, records kept for others, octets of them, and what waits to be recorded.
    pub fn held(&self) -> [usize; 4] {
        [self.entries.len() - self.kept.0, self.kept.0, self.kept.1, self.waiting.len()]
    }

    /// A statement's chain in words: who in it never acts, and the version that each one behind this one has.
    pub fn story(&self, key: &StatementKey) -> String {
        let Some(entry) = self.entries.get(key) else { return "nothing".into() };
        let links = entry.links.iter().enumerate().map(|(i, link)| {
            let Actor { life, term } = &link.actor;
            let gone = if link.gone { " gone" } else { "" };
            let lost = if self.lost(self.now, life) { " lost" } else { "" };
            let acked = entry
                .held()
                .map_or(String::new(), |h| format!(" has {:x} of {:x}", h.guards[i].acked, h.guards[i].sent));
            format!("{} {:x}/{term}{gone}{lost}{acked}", life.name, life.life >> 48)
        });
        let links: Vec<String> = links.collect();
        format!("version {:x}, {} of {}", entry.record.version, entry.at, links.join(", "))
    }
}
