//! What is known here of statements, for the gateway and for its operators.

use super::statement::{Statement, Tombstone};
use super::{TakeoverNode, Whereabouts};
use crate::wire::{Participant, ReplicaEntry};
use crate::{Incarnation, StatementKey};

impl TakeoverNode {
    /// The lives that a statement's chain names, its first holder first.
    pub fn replica_list(&self, key: &StatementKey) -> Vec<Incarnation> {
        self.replica_list_with_terms(key).into_iter().map(|(life, _)| life).collect()
    }

    /// The same, each with the term in which it stands there.
    pub fn replica_list_with_terms(&self, key: &StatementKey) -> Vec<(Incarnation, u32)> {
        let of = |l: &ReplicaEntry| (l.actor.life.clone(), l.actor.term);
        self.statements.get(key).map_or(Vec::new(), |e| e.links.iter().map(of).collect())
    }

    /// Where a statement is.
    pub fn locate(&self, key: &StatementKey) -> Whereabouts {
        let now = self.latest_time;
        let at =
            |life: &Incarnation| !self.believed_gone(now, life) && !self.fenced_through.contains_key(life);
        if let Some(entry) = self.statements.get(key) {
            match entry.held() {
                Some(held) if held.adopting.is_some() => return Whereabouts::Taking,
                Some(held) if !held.giving => return Whereabouts::Here,
                _ => {}
            }
            let open = |l: &&ReplicaEntry| {
                !l.gone && !self.is_participant_fenced(&l.actor) && !self.believed_gone(now, &l.actor.life)
            };
            return match entry.links.iter().find(open) {
                Some(link) if link.actor == self.local => Whereabouts::Taking,
                Some(link) => Whereabouts::At(link.actor.life.clone()),
                None => Whereabouts::Unknown,
            };
        }
        match self.tombstones.get(key) {
            Some(Tombstone::Ended(ending)) => Whereabouts::Over(ending.clone()),
            Some(Tombstone::Moved(_, others)) => {
                others.iter().find(|l| at(l)).map_or(Whereabouts::Unknown, |l| Whereabouts::At(l.clone()))
            }
            None if key.taken_by == self.local.life && key.number <= self.last_number => {
                Whereabouts::Over(None)
            }
            None if key.taken_by == self.local.life => Whereabouts::Unknown,
            None if self.members.contains_key(&key.taken_by) && at(&key.taken_by) => {
                Whereabouts::At(key.taken_by.clone())
            }
            None => Whereabouts::Unknown,
        }
    }

    /// Whether a statement is only offered to others, by a process that held it in a term that is over.
    pub fn is_returning(&self, key: &StatementKey) -> bool {
        let given = |e: &Statement| e.held().is_some_and(|h| h.giving) && e.links[e.at].actor != self.local;
        self.statements.get(key).is_some_and(given)
    }

    /// Own statements, records kept for others, octets of them, and what waits to be recorded.
    pub fn usage(&self) -> [usize; 4] {
        [
            self.statements.len() - self.replica_usage.0,
            self.replica_usage.0,
            self.replica_usage.1,
            self.awaiting_replicas.len(),
        ]
    }

    /// A statement's chain in words: who in it never acts, and the version that each one behind this one has.
    pub fn describe(&self, key: &StatementKey) -> String {
        let Some(entry) = self.statements.get(key) else { return "nothing".into() };
        let links = entry.links.iter().enumerate().map(|(i, link)| {
            let Participant { life, term } = &link.actor;
            let gone = if link.gone { " gone" } else { "" };
            let lost = if self.believed_gone(self.latest_time, life) { " lost" } else { "" };
            let acked = entry
                .held()
                .map_or(String::new(), |h| format!(" has {:x} of {:x}", h.guards[i].acked, h.guards[i].sent));
            format!("{} {:x}/{term}{gone}{lost}{acked}", life.name, life.life >> 48)
        });
        let links: Vec<String> = links.collect();
        format!("version {:x}, {} of {}", entry.record.version, entry.at, links.join(", "))
    }
}
