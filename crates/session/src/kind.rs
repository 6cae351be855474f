//! Which statements open, end or need a session on one engine. Reads words only; what it cannot read is an ordinary
//! statement.

use violetward_statement::text;

/// The session property under which a session's token travels.
pub const PROPERTY: &str = "engine_session";

/// What a statement means for its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Opens a transaction.
    Start,
    /// Ends it with effect.
    Commit,
    /// Ends it without.
    Rollback,
    /// Makes a table that only its session sees.
    Temporary,
    /// The client lets go of its session.
    Leave,
    /// Anything else.
    Other,
}

impl Kind {
    /// Reads a statement.
    pub fn of(sql: &str) -> Kind {
        let mut words = text::words(sql);
        let mut next = || words.next().unwrap_or_default();
        match next().as_str() {
            "start" if next() == "transaction" => Kind::Start,
            "commit" => Kind::Commit,
            "rollback" => Kind::Rollback,
            "create" if matches!(next().as_str(), "temporary" | "temp") => Kind::Temporary,
            "reset" if next() == "session" && next() == PROPERTY => Kind::Leave,
            _ => Kind::Other,
        }
    }

    /// It can only be answered by the engine that holds the transaction.
    pub fn ends(&self) -> bool {
        matches!(self, Kind::Commit | Kind::Rollback)
    }
}
