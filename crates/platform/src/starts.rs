//! When engines started, in the gateway's time.
//!
//! The list tells late starts in Unix time, and this machine's wall clock may have been wrong when the gateway started. An
//! engine, or a new start of one, that a list names first has started since the last list that did not name it, however
//! late lists are, and not in the future.

use std::collections::HashMap;

use violetward::{EngineId, Micros};

use crate::list::List;

/// How long after it happened a start may be listed first.
const LIST_LAG: Micros = 1_500_000;

/// The starts of the engines that are listed.
#[derive(Debug, Default)]
pub struct Starts {
    /// When the list was last heard; `None` before the first one.
    heard: Option<Micros>,
    /// The start that each engine was listed with, and the one that is believed.
    engines: HashMap<EngineId, (Micros, Micros)>,
}

impl Starts {
    /// The list was heard, and is as it was.
    pub fn confirm(&mut self, now: Micros) {
        self.heard = Some(now);
    }

    /// Puts the starts that are believed in place of those that a new list tells.
    pub fn believe(&mut self, list: &mut List, now: Micros) {
        // What the first list names may have started at any time.
        let earliest = self.heard.map_or(0, |heard| heard.saturating_sub(LIST_LAG)).min(now);
        let mut engines = HashMap::new();
        for entry in list.engines.values_mut().map(|listing| &mut listing.entry) {
            let told = entry.came_up;
            let known = self.engines.get(&entry.engine).filter(|known| known.0 == told);
            entry.came_up = match known {
                // No late start.
                _ if told == 0 => 0,
                Some(&(_, believed)) => believed,
                None => told.clamp(earliest, now),
            };
            engines.insert(entry.engine, (told, entry.came_up));
        }
        self.engines = engines;
        self.confirm(now);
    }
}
