//! What an engine writes down of what passed on its sockets: one JSON object a line.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// A line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the Unix epoch.
    pub at: u64,
    /// The engine's name.
    pub engine: String,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// The process has started.
    Up {
        /// Its name; a new one at every start.
        life: String,
        /// Its kind of machine.
        machine: String,
        /// It starts cold.
        cold: bool,
    },
    /// A statement came in whole.
    Got {
        /// The client's mark.
        trace: String,
        /// Which gateway sent it.
        via: String,
        /// Its number among this engine's.
        n: u64,
        /// Its class, as the load generator named it.
        class: String,
        /// Its order key, if any.
        key: String,
    },
    /// It was turned away unseen.
    Turned {
        /// Its number.
        n: u64,
    },
    /// It took effect.
    Effect {
        /// The client's mark.
        trace: String,
        /// Its number.
        n: u64,
    },
    /// It would have been a repeat, and was dropped.
    Dropped {
        /// The client's mark.
        trace: String,
        /// Its number.
        n: u64,
    },
    /// It is over here: nothing of it runs any more.
    Over {
        /// Its number.
        n: u64,
        /// How: `done`, `error`, `cancelled` or `died`.
        how: String,
    },
    /// It was pushed over while cold.
    Fell,
    /// The process is gone.
    Gone,
}

/// Where lines go.
#[derive(Debug, Default)]
pub struct Journal {
    file: Option<RefCell<File>>,
    name: String,
}

impl Journal {
    /// Appends to a file; nowhere without one.
    ///
    /// # Errors
    /// If it cannot be opened.
    pub fn open(name: &str, path: Option<&Path>) -> std::io::Result<Self> {
        let open = |p: &Path| File::options().create(true).append(true).open(p);
        Ok(Journal { file: path.map(open).transpose()?.map(RefCell::new), name: name.to_owned() })
    }

    /// Writes a line.
    pub fn write(&self, at: u64, what: What) {
        let Some(file) = &self.file else { return };
        let line = Line { at, engine: self.name.clone(), what };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        file.borrow_mut().write_all(&text).ok();
    }
}

/// Reads a journal; a torn last line is passed over.
///
/// # Errors
/// If the file cannot be read.
pub fn read(path: &Path) -> std::io::Result<Vec<Line>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
