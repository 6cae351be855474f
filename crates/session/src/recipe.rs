//! What it takes to rebuild a session's temporary tables: the statements that made and filled them, as long as all of them are
//! known and nothing but those tables was touched. Free of I/O and clock.

use std::collections::BTreeSet;

use violetward_statement::text;

use crate::kind::Kind;

/// The session property by which a client says that its tables may be rebuilt.
pub const REBUILD: &str = "rebuild_tables";

/// Statements of one recipe, and their bytes.
const MOST: usize = 64;
const MOST_BYTES: usize = 64 << 10;

/// The statements that made a session's tables.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recipe {
    statements: Vec<String>,
    bytes: usize,
    tables: BTreeSet<String>,
    broken: bool,
}

impl Recipe {
    /// A statement of the session has been served; `within` a transaction or not.
    pub fn served(&mut self, sql: &str, within: bool) {
        let kind = Kind::of(sql);
        let table = text::first_table(sql).unwrap_or_default();
        let creates = kind == Kind::Temporary;
        let word = text::first_word(sql);
        let changes =
            matches!(word.as_str(), "insert" | "update" | "delete" | "merge" | "truncate" | "drop" | "alter");
        // What reads is not needed, and what changed a real table must not happen again.
        if !(creates || changes && self.tables.contains(&table)) {
            return;
        }
        if creates {
            self.tables.insert(table);
        }
        self.bytes += sql.len();
        // What a transaction did to a table may have been rolled back with it.
        self.broken |= within || self.statements.len() >= MOST || self.bytes > MOST_BYTES;
        if self.broken {
            self.statements.clear();
        } else {
            self.statements.push(sql.to_owned());
        }
    }

    /// A write of the session ended without anybody knowing what it did.
    pub fn unsure(&mut self) {
        self.broken = true;
        self.statements.clear();
    }

    /// The statements in order, if the tables can be rebuilt by them.
    pub fn statements(&self) -> Option<&[String]> {
        (!self.broken && !self.statements.is_empty()).then_some(&self.statements)
    }
}
