//! Tombstones of statements that ended here or moved to other gateways, so that late messages do not revive
//! them.

use std::collections::{BTreeMap, VecDeque};

use crate::{Ending, Incarnation, Micros, StatementKey};

/// Maximum number of tombstones; the oldest is dropped first.
const MAX_TOMBSTONES: usize = 16_384;

/// Why a statement is not kept here any more.
#[derive(Debug, Clone)]
pub(super) enum Tombstone {
    /// It ended; with the ending if a gateway decided it and it is known here.
    Ended(Option<Ending>),
    /// These gateways may have it; this process gave it up in that term.
    Moved { in_term: u32, replicas: Vec<Incarnation> },
}

#[derive(Default)]
pub(super) struct Tombstones {
    by_key: BTreeMap<StatementKey, Tombstone>,
    /// Keys and the times at which their tombstones were added, oldest first.
    order: VecDeque<(StatementKey, Micros)>,
    /// When the newest of the dropped tombstones was added.
    newest_dropped: Option<Micros>,
}

impl Tombstones {
    pub(super) fn get(&self, key: &StatementKey) -> Option<&Tombstone> {
        self.by_key.get(key)
    }

    pub(super) fn add(&mut self, now: Micros, key: StatementKey, tombstone: Tombstone) {
        if self.by_key.insert(key.clone(), tombstone).is_none() {
            self.order.push_back((key, now));
        }
        while self.order.len() > MAX_TOMBSTONES {
            if let Some((oldest, added_at)) = self.order.pop_front() {
                self.by_key.remove(&oldest);
                self.newest_dropped = Some(added_at);
            }
        }
    }

    /// Removes the tombstone of a statement that is kept here again.
    pub(super) fn remove(&mut self, key: &StatementKey) {
        self.by_key.remove(key);
    }

    /// Whether no tombstone of the last `span` was dropped.
    pub(super) fn are_complete_for(&self, now: Micros, span: Micros) -> bool {
        self.newest_dropped.is_none_or(|added_at| now > added_at + span)
    }
}
