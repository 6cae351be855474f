//! Corrects the start times of engines to the gateway's clock.
//!
//! The list gives start times in Unix time, and the gateway's wall clock may have been wrong when the gateway
//! started. An engine, or a restart of one, that appears in a list for the first time has started after the
//! previous list, less the delay of lists, and not in the future.

use std::collections::HashMap;

use violetward::{EngineId, Micros};

use crate::list::List;

/// How long after a start the list may first contain it.
const LIST_DELAY_US: Micros = 1_500_000;

/// The start times of the listed engines.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// When a list was last received; `None` before the first one.
    last_list: Option<Micros>,
    /// The start time that each engine was listed with, and the corrected one.
    engines: HashMap<EngineId, (Micros, Micros)>,
}

impl StartTimes {
    /// Notes that a list was received that is no newer than the last one.
    pub fn note_unchanged(&mut self, now: Micros) {
        self.last_list = Some(now);
    }

    /// Replaces the start times in a new list by the corrected ones.
    pub fn correct(&mut self, list: &mut List, now: Micros) {
        // The engines in the first list may have started at any time.
        let earliest = self.last_list.map_or(0, |received| received.saturating_sub(LIST_DELAY_US)).min(now);
        let mut engines = HashMap::new();
        for entry in list.engines.values_mut().map(|listing| &mut listing.entry) {
            let listed = entry.came_up;
            let known = self.engines.get(&entry.engine).filter(|known| known.0 == listed);
            entry.came_up = match known {
                // 0 stands for an engine without a recent start.
                _ if listed == 0 => 0,
                Some(&(_, corrected)) => corrected,
                None => listed.clamp(earliest, now),
            };
            engines.insert(entry.engine, (listed, entry.came_up));
        }
        self.engines = engines;
        self.note_unchanged(now);
    }
}
