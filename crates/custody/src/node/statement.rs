//! One statement as it is kept here, and one process to which records are sent.

use std::collections::{BTreeMap, BTreeSet};

use crate::wire::{ReplicaEntry, ReplicaRecord};
use crate::{Ending, Incarnation, Micros, Record, StatementKey};

/// What a holder knows of one that stands behind it in the chain.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReplicaProgress {
    /// The version with which it came into the chain, as this holder tells it.
    pub(super) since: u64,
    pub(super) sent: u64,
    pub(super) acked: u64,
    /// It has the body.
    pub(super) body: bool,
    /// It may have been told of the statement.
    pub(super) told: bool,
}

#[derive(Debug, Default)]
pub(super) struct Ownership {
    /// One for each link of the chain.
    pub(super) guards: Vec<ReplicaProgress>,
    /// An attempt that waits until that version is recorded.
    pub(super) intent: Option<(u32, u64)>,
    /// An ending that waits so.
    pub(super) ending: Option<u64>,
    /// Adopted with an ending: said once that is recorded anew.
    pub(super) adopting: Option<u64>,
    /// Given up; it stays until another one has it.
    pub(super) giving: bool,
    /// Somebody may have been told that it is given up.
    pub(super) offered: bool,
    pub(super) unprotected: bool,
}

#[derive(Debug)]
pub(super) enum Role {
    Owner(Box<Ownership>),
    Replica,
}

#[derive(Debug)]
pub(super) struct Statement {
    pub(super) record: Record,
    pub(super) links: Vec<ReplicaEntry>,
    /// This one's place among them.
    pub(super) at: usize,
    pub(super) role: Role,
    pub(super) deadline: Micros,
    /// When the times in the record were true.
    pub(super) stamped: Micros,
}

impl Statement {
    pub(super) fn held(&self) -> Option<&Ownership> {
        match &self.role {
            Role::Owner(held) => Some(held),
            Role::Replica => None,
        }
    }

    pub(super) fn held_mut(&mut self) -> Option<&mut Ownership> {
        match &mut self.role {
            Role::Owner(held) => Some(held),
            Role::Replica => None,
        }
    }

    pub(super) fn behind(&self) -> impl Iterator<Item = usize> + '_ {
        (self.at + 1..self.links.len()).filter(|&i| !self.links[i].gone)
    }

    /// Whether a link may be told: those that stood in the chain before it know of it, or never act.
    pub(super) fn tellable(&self, held: &Ownership, i: usize) -> bool {
        let before = usize::from(self.links[i].after).min(i);
        (0..before)
            .all(|j| j == self.at || self.links[j].gone || held.guards[j].acked >= held.guards[i].since)
    }

    /// Whether all that may ever act after this one know of a version.
    pub(super) fn recorded(&self, held: &Ownership, version: u64) -> bool {
        self.behind().all(|i| !held.guards[i].told || held.guards[i].acked >= version)
    }

    pub(super) fn now(&self, now: Micros) -> Record {
        let mut record = self.record.clone();
        record.left = self.deadline.saturating_sub(now);
        if let Some(out) = &mut record.out {
            out.sent += now.saturating_sub(self.stamped);
        }
        record
    }

    pub(super) fn item(&self, now: Micros, whole: bool) -> ReplicaRecord {
        let mut record = self.now(now);
        if !whole {
            record.body = Vec::new();
        }
        ReplicaRecord { record, whole, links: self.links.clone() }
    }

    pub(super) fn octets(&self) -> usize {
        let out = self.record.out.as_ref();
        let out = out.map_or(0, |o| o.engine.len() + o.next.as_ref().map_or(0, String::len));
        let links = self.links.iter().map(|l| l.actor.life.name.len() + 48).sum::<usize>();
        self.record.body.len() + out + links + 256
    }
}

#[derive(Debug)]
pub(super) struct InFlightBatch {
    pub(super) lost_at: Micros,
    /// Version, and whether it is a record of another one's that was passed on.
    pub(super) records: Vec<(StatementKey, u64)>,
    pub(super) ends: Vec<StatementKey>,
}

#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The number of the last sending from there, and of the last one to there.
    pub(super) numbers: (u64, u64),
    pub(super) flights: BTreeMap<u64, InFlightBatch>,
    pub(super) records: BTreeSet<StatementKey>,
    pub(super) ends: BTreeSet<StatementKey>,
    pub(super) due: Option<Micros>,
    pub(super) lost: u32,
    pub(super) heard: Micros,
    /// It had no room at that time.
    pub(super) full: Option<Micros>,
}

#[derive(Debug, Clone)]
pub(super) enum Tombstone {
    Ended(Option<Ending>),
    /// Since a term of this process: others that may have it.
    Moved(u32, Vec<Incarnation>),
}
