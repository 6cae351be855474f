//! Decides which of the resolver's lists the gateway uses.
//!
//! Resolvers in trouble send older lists. A gateway's lists are numbered from its start, so that a list of its
//! previous life may come under a number that is still to come: a number alone does not identify a list. So a
//! list is confirmed once two answers agree on it.
//!
//! - A list with a newer number is used at once, but it takes over from the confirmed one only when a second
//!   answer agrees. Until then two answers that agree on a list not older than the confirmed one replace it.
//! - A list that contradicts the present one under its number, or that brings a draining engine back, is used
//!   when a second answer agrees.
//! - That an engine drains is heeded at once, under the present number too: the resolver may be silent
//!   afterwards.

use std::rc::Rc;
use std::time::{Duration, Instant};

use violetward::Listed;
use violetward_dns::serial::is_newer;

use crate::list::{List, Listing};

/// How many answers in a row, to queries from after the newest list, must have older lists until that list is
/// given up.
const OLDER_LISTS_MAX: u32 = 6;
/// For how long answers must have had older lists until then.
const OLDER_LISTS_TIME: Duration = Duration::from_secs(2);

/// What a list means for the gateway.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Verdict {
    /// It is older than the present one and of no use.
    Older,
    /// It is the present one.
    Unchanged,
    /// This list is to be used from now on.
    Use(Rc<List>),
    /// It is not trusted until another answer agrees.
    Doubtful,
    /// It is not trusted until another answer agrees, but for its drains: this list is to be used meanwhile.
    UseDrains(Rc<List>),
}

/// The present list, and what contradicts it.
#[derive(Debug)]
pub(super) struct ListTracker {
    present: Rc<List>,
    /// When the present list was received; `None` for the one in the configuration.
    received: Option<Instant>,
    /// The number of the last confirmed list. The one in the configuration is confirmed.
    confirmed_number: u32,
    /// A list that waits for a second answer to agree with it.
    candidate: Option<Rc<List>>,
    /// How many answers in a row had older lists.
    older: u32,
    /// When the first of them was received.
    older_since: Option<Instant>,
}

impl ListTracker {
    /// A tracker whose present list is the initial one.
    pub(super) fn new(initial: List) -> Self {
        ListTracker {
            confirmed_number: initial.number,
            present: Rc::new(initial),
            received: None,
            candidate: None,
            older: 0,
            older_since: None,
        }
    }

    /// Judges the list in an answer to a query that was sent at `asked`.
    pub(super) fn judge(&mut self, list: Rc<List>, asked: Instant, now: Instant) -> Verdict {
        if list == self.present {
            (self.older, self.older_since) = (0, None);
            self.candidate = None;
            self.confirmed_number = list.number;
            return Verdict::Unchanged;
        }
        if is_newer(list.number, self.present.number) && !self.revives_an_engine(&list) {
            self.replace(list.clone(), now);
            return Verdict::Use(list);
        }
        let has_lower_number = is_newer(self.present.number, list.number);
        if has_lower_number && self.received.is_some_and(|received| asked < received) {
            // It may have been sent before the present list.
            return Verdict::Older;
        }
        // Once the present list is confirmed, it hides those with lower numbers.
        let is_hidden =
            self.confirmed_number == self.present.number || is_newer(self.confirmed_number, list.number);
        if has_lower_number && is_hidden {
            return if self.is_refuted(now) { self.confirm(list, now) } else { Verdict::Older };
        }
        if self.candidate.as_ref() == Some(&list) {
            return self.confirm(list, now);
        }
        self.doubt(list)
    }

    /// Uses another list, which is not confirmed yet.
    fn replace(&mut self, list: Rc<List>, now: Instant) {
        (self.present, self.received, self.candidate) = (list, Some(now), None);
        (self.older, self.older_since) = (0, None);
    }

    /// Uses a list on which two answers agree. If its number is lower than the present one's, that was an older
    /// list, whose drains are true all the same.
    fn confirm(&mut self, list: Rc<List>, now: Instant) -> Verdict {
        self.confirmed_number = list.number;
        let merged =
            if is_newer(self.present.number, list.number) { with_drains(&list, &self.present) } else { None };
        let list = merged.map_or(list, Rc::new);
        self.replace(list.clone(), now);
        Verdict::Use(list)
    }

    /// Notes an answer with an older list; whether enough of them have come in a row to give up the newest one:
    /// the resolver counts from a lower number now, and the present number would hide all its lists.
    fn is_refuted(&mut self, now: Instant) -> bool {
        self.older += 1;
        let since = *self.older_since.get_or_insert(now);
        self.older >= OLDER_LISTS_MAX && now.saturating_duration_since(since) >= OLDER_LISTS_TIME
    }

    /// Whether a list names an engine as up that drains by the present one.
    fn revives_an_engine(&self, list: &List) -> bool {
        let drains = |(name, present): (&String, &Listing)| {
            let is_up = list.engines.get(name).is_some_and(|l| l.entry.listed == Listed::Up);
            present.entry.listed == Listed::Draining && is_up
        };
        self.present.engines.iter().any(drains)
    }

    /// Makes a list the candidate, and adds its drains to the present list unless its number is lower.
    fn doubt(&mut self, list: Rc<List>) -> Verdict {
        tracing::debug!(
            number = list.number,
            present = self.present.number,
            "list waits for a second answer"
        );
        let has_lower_number = is_newer(self.present.number, list.number);
        let present = if has_lower_number { None } else { with_drains(&self.present, &list) };
        self.candidate = Some(list);
        let Some(present) = present else { return Verdict::Doubtful };
        self.present = Rc::new(present);
        Verdict::UseDrains(self.present.clone())
    }
}

/// A list with the drains that another one tells of its engines; `None` if that changes nothing.
fn with_drains(list: &List, other: &List) -> Option<List> {
    let mut merged = list.clone();
    for (name, listing) in &other.engines {
        let known = merged.engines.get_mut(name).filter(|known| known.address == listing.address);
        if let Some(known) = known.filter(|_| listing.entry.listed == Listed::Draining) {
            known.entry.listed = Listed::Draining;
        }
    }
    (merged != *list).then_some(merged)
}
