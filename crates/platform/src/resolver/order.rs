//! The order of lists by their numbers.

use std::time::Instant;

use violetward_dns::serial::is_newer;

/// How many answers in a row, to queries from after the newest list, must have older lists until that list is
/// given up. Resolvers in trouble send single older lists.
const OLDER_LISTS_MAX: u32 = 6;

/// Tells newer lists from older ones.
#[derive(Debug)]
pub(super) struct ListOrder {
    newest: u32,
    /// When the newest list was received; `None` for the one in the configuration.
    received: Option<Instant>,
    /// How many answers in a row had older lists.
    older: u32,
}

impl ListOrder {
    /// The order after a list with the given number.
    pub(super) fn after(number: u32) -> Self {
        ListOrder { newest: number, received: None, older: 0 }
    }

    /// Whether the list in an answer replaces the present one: it is newer, or the resolver counts from a
    /// lower number now, so that the present number would hide all its lists.
    pub(super) fn accept(&mut self, number: u32, asked: Instant, now: Instant) -> bool {
        let is_older = is_newer(self.newest, number);
        if is_older && self.received.is_none_or(|received| asked >= received) {
            self.older += 1;
        }
        if number == self.newest {
            self.older = 0;
        }
        let accepted = is_newer(number, self.newest) || self.older >= OLDER_LISTS_MAX;
        if accepted {
            if is_older {
                tracing::warn!(
                    newest = self.newest,
                    number,
                    "the resolver counts its lists from a lower number"
                );
            }
            *self = ListOrder { newest: number, received: Some(now), older: 0 };
        }
        accepted
    }
}
