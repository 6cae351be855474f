//! Tombstones: statements that ended here or moved to other gateways, so that late messages revive nothing.

use std::collections::{BTreeMap, VecDeque};

use crate::{Ending, Incarnation, Micros, StatementKey};

/// Tombstones that are remembered, at most; the oldest leaves first.
const MAX_TOMBSTONES: usize = 16_384;

/// What became of a statement.
#[derive(Debug, Clone)]
pub(super) enum Tombstone {
    /// It ended; with a gateway's own ending, where that is known.
    Ended(Option<Ending>),
    /// Other gateways may have it; given away in that term of this process.
    Moved { in_term: u32, replicas: Vec<Incarnation> },
}

#[derive(Default)]
pub(super) struct Tombstones {
    by_key: BTreeMap<StatementKey, Tombstone>,
    /// When each was added, the oldest first.
    order: VecDeque<(StatementKey, Micros)>,
    /// When the newest of those was added that had to leave.
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

    /// The statement is kept here again.
    pub(super) fn remove(&mut self, key: &StatementKey) {
        self.by_key.remove(key);
    }

    /// Whether all tombstones of the last `span` are remembered.
    pub(super) fn are_complete_for(&self, now: Micros, span: Micros) -> bool {
        self.newest_dropped.is_none_or(|added_at| now > added_at + span)
    }
}
