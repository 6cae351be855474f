//! Remembers the ids of requests that have ended and may have run, so that none runs again for the next client
//! that uses its id. Without I/O and clock.
//!
//! Engines and their answers name a request by its id alone: an answer to the earlier request, or an attempt at it
//! that is still running, could not be told from the later one's. Usual clients never use an id twice.

use std::collections::{HashSet, VecDeque};

use violetward::{Micros, RequestId};

/// How long an id is remembered.
pub const REMEMBERED_FOR_US: Micros = 60_000_000;

/// The ids of requests that may have run, up to a number and an age.
#[derive(Debug)]
pub struct RecentIds {
    max: usize,
    ids: HashSet<RequestId>,
    /// When each id was noted, in order.
    noted: VecDeque<(Micros, RequestId)>,
}

impl RecentIds {
    /// Remembers up to `max` ids; the oldest are forgotten first.
    pub fn new(max: usize) -> Self {
        RecentIds { max, ids: HashSet::new(), noted: VecDeque::new() }
    }

    /// Remembers an id.
    pub fn note(&mut self, now: Micros, id: RequestId) {
        if self.ids.insert(id) {
            self.noted.push_back((now, id));
        }
        self.forget_old(now);
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, now: Micros, id: RequestId) -> bool {
        self.forget_old(now);
        self.ids.contains(&id)
    }

    /// Forgets the ids that are too old or too many.
    fn forget_old(&mut self, now: Micros) {
        let oldest = now.saturating_sub(REMEMBERED_FOR_US);
        while self.noted.len() > self.max || self.noted.front().is_some_and(|&(at, _)| at < oldest) {
            let Some((_, forgotten)) = self.noted.pop_front() else { return };
            self.ids.remove(&forgotten);
        }
    }
}
