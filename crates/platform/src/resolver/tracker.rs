//! Decides which of the resolver's lists the gateway uses.
//!
//! Resolvers in trouble send older lists, under their own numbers or under newer ones. So a number alone does not
//! identify a list. A list with a newer number is used at once, and so is the news that an engine drains, under
//! any number. A list that contradicts the present one under its number, or that brings a draining engine back,
//! is used once a second answer agrees with it.

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
        ListTracker::with(Rc::new(initial), None)
    }

    fn with(present: Rc<List>, received: Option<Instant>) -> Self {
        ListTracker { present, received, candidate: None, older: 0, older_since: None }
    }

    /// Judges the list in an answer to a query that was sent at `asked`.
    pub(super) fn judge(&mut self, list: Rc<List>, asked: Instant, now: Instant) -> Verdict {
        if list == self.present {
            (self.candidate, self.older, self.older_since) = (None, 0, None);
            return Verdict::Unchanged;
        }
        let same_number = list.number == self.present.number;
        if !same_number && !is_newer(list.number, self.present.number) && !self.is_refuted(asked, now) {
            return Verdict::Older;
        }
        let is_doubtful = same_number || self.revives_an_engine(&list);
        if is_doubtful && self.candidate.as_ref() != Some(&list) {
            return self.doubt(list);
        }
        *self = ListTracker::with(list.clone(), Some(now));
        Verdict::Use(list)
    }

    /// Notes an answer with an older list; whether enough of them have come in a row to give up the newest one:
    /// the resolver counts from a lower number now, and the present number would hide all its lists.
    fn is_refuted(&mut self, asked: Instant, now: Instant) -> bool {
        if self.received.is_some_and(|received| asked < received) {
            return false;
        }
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

    /// Makes a list the candidate, and adds its drains to the present list.
    fn doubt(&mut self, list: Rc<List>) -> Verdict {
        tracing::debug!(
            number = list.number,
            present = self.present.number,
            "list waits for a second answer"
        );
        let mut present = (*self.present).clone();
        for (name, listing) in &list.engines {
            let known = present.engines.get_mut(name).filter(|known| known.address == listing.address);
            if let Some(known) = known.filter(|_| listing.entry.listed == Listed::Draining) {
                known.entry.listed = Listed::Draining;
            }
        }
        self.candidate = Some(list);
        if present == *self.present {
            return Verdict::Doubtful;
        }
        self.present = Rc::new(present);
        Verdict::UseDrains(self.present.clone())
    }
}
