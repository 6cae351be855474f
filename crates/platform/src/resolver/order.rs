//! The order of lists by their numbers.

use std::time::{Duration, Instant};

use violetward_dns::serial::is_newer;

/// How many answers in a row, to queries from after the newest list, must have older lists until that list is
/// given up. Resolvers in trouble send single older lists.
const OLDER_LISTS_MAX: u32 = 6;
/// For how long answers must have had older lists until then.
const OLDER_LISTS_TIME: Duration = Duration::from_secs(2);

/// How a list relates to the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Relation {
    /// It is of no use.
    Older,
    /// It has the same number.
    Same,
    /// It replaces the present one.
    Newer,
}

/// Tells newer lists from older ones.
#[derive(Debug)]
pub(super) struct ListOrder {
    newest: u32,
    /// When the newest list was received; `None` for the one in the configuration.
    received: Option<Instant>,
    /// How many answers in a row had older lists.
    older: u32,
    /// When the first of them was received.
    older_since: Option<Instant>,
}

impl ListOrder {
    /// The order after a list with the given number.
    pub(super) fn after(number: u32) -> Self {
        ListOrder { newest: number, received: None, older: 0, older_since: None }
    }

    /// Compares the list in an answer to a query that was sent at `asked` with the present one. It replaces that
    /// one if it is newer, or if the resolver counts from a lower number now: the present number would hide all
    /// its lists.
    pub(super) fn compare(&mut self, number: u32, asked: Instant, now: Instant) -> Relation {
        if number == self.newest {
            (self.older, self.older_since) = (0, None);
            return Relation::Same;
        }
        if !is_newer(number, self.newest) {
            if !self.is_refuted(asked, now) {
                return Relation::Older;
            }
            tracing::warn!(newest = self.newest, number, "the resolver counts its lists from a lower number");
        }
        *self = ListOrder { received: Some(now), ..ListOrder::after(number) };
        Relation::Newer
    }

    /// Notes an answer with an older list; whether enough of them have come in a row to give up the newest one.
    fn is_refuted(&mut self, asked: Instant, now: Instant) -> bool {
        if self.received.is_some_and(|received| asked < received) {
            return false;
        }
        self.older += 1;
        let since = *self.older_since.get_or_insert(now);
        self.older >= OLDER_LISTS_MAX && now.saturating_duration_since(since) >= OLDER_LISTS_TIME
    }
}
