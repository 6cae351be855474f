//! Sessions of a stand-in engine, held for real: a copy of its data of the session's own, with a transaction of the SQL library
//! and temporary tables in it. A transaction reads the state at its start; its writes are run again on the newest state when it
//! commits, all or none. A restart or the idle limit drops everything.

use std::collections::HashMap;

use violetward_session::kind::{Kind, PROPERTY};
use violetward_statement::results::{ErrorType, QueryError};
use violetward_statement::session::{encode, Context};

use crate::data::{Data, Outcome};

/// A write of a transaction: the client's mark, text and context.
type Write = (String, String, Context);

struct Session {
    data: Data,
    transaction: bool,
    tables: bool,
    writes: Vec<Write>,
    used: u64,
}

/// All sessions of an engine's process.
#[derive(Default)]
pub struct Sessions {
    open: HashMap<String, Session>,
    next: u64,
}

/// What a statement did, and the marks of what took effect by it.
pub type Done = (Result<Outcome, QueryError>, Vec<String>);

fn wrong(name: &str, why: &str) -> QueryError {
    QueryError::new(ErrorType::UserError, 0x60, name, why)
}

/// The name of a statement's session, as gateways write it: `name@epoch`.
pub fn named(context: &Context) -> Option<&str> {
    let transaction = context.transaction.as_deref().filter(|t| !t.eq_ignore_ascii_case("none"));
    transaction.or_else(|| context.property(PROPERTY))
}

/// Whether a statement has anything to do with a session.
pub fn concerns(sql: &str, context: &Context) -> bool {
    named(context).is_some() || matches!(Kind::of(sql), Kind::Start | Kind::Temporary)
}

impl Sessions {
    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// None is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Forgets what nobody has used for long.
    pub fn tidy(&mut self, now: u64, idle: u64) {
        self.open.retain(|_, s| now < s.used + idle);
    }

    /// Forgets everything: the process is gone, and the next one counts from the beginning.
    pub fn clear(&mut self) {
        *self = Sessions::default();
    }

    /// Runs a statement that concerns a session.
    pub fn run(
        &mut self,
        now: u64,
        life: &str,
        main: &mut Data,
        mark: &str,
        sql: &str,
        context: &Context,
    ) -> Done {
        match self.try_run(now, life, main, mark, sql, context) {
            Ok((outcome, effects)) => (Ok(outcome), effects),
            Err(error) => (Err(error), Vec::new()),
        }
    }

    fn try_run(
        &mut self,
        now: u64,
        life: &str,
        main: &mut Data,
        mark: &str,
        sql: &str,
        context: &Context,
    ) -> Result<(Outcome, Vec<String>), QueryError> {
        let kind = Kind::of(sql);
        let done = |word: &str, session: Vec<(String, String)>| {
            let update = Some((word.to_owned(), 0));
            (Outcome { update, session, ..Outcome::default() }, Vec::new())
        };
        let name = match named(context) {
            Some(named) => {
                let in_transaction = context.transaction.as_deref().is_some_and(|t| t == named);
                let error = if in_transaction { "UNKNOWN_TRANSACTION" } else { "UNKNOWN_SESSION" };
                let unknown = || wrong(error, "it is not known here");
                let (name, epoch) = named.split_once('@').unwrap_or((named, life));
                let known =
                    epoch == life && self.open.get(name).is_some_and(|s| s.transaction || !in_transaction);
                if !known {
                    return Err(unknown());
                }
                name.to_owned()
            }
            None => {
                self.next += 1;
                let name = format!("s{}", self.next);
                let data = main.copy().map_err(|e| wrong("GENERIC_INTERNAL_ERROR", &e))?;
                let session =
                    Session { data, transaction: false, tables: false, writes: Vec::new(), used: now };
                self.open.insert(name.clone(), session);
                name
            }
        };
        let session = self.open.get_mut(&name).expect("looked up or made above");
        session.used = now;
        let internal = |e: String| wrong("GENERIC_INTERNAL_ERROR", &e);
        match kind {
            Kind::Start => {
                if !session.transaction {
                    session.data.copy_from(main).map_err(internal)?;
                    session.data.batch("BEGIN").map_err(internal)?;
                    (session.transaction, session.writes) = (true, Vec::new());
                }
                Ok(done("START TRANSACTION", vec![("X-Trino-Started-Transaction-Id".into(), name)]))
            }
            Kind::Commit => {
                session.transaction = false;
                session.data.batch("ROLLBACK").map_err(internal)?;
                session.data.copy_from(main).map_err(internal)?;
                session.data.batch("BEGIN").map_err(internal)?;
                let writes = std::mem::take(&mut session.writes);
                let failed = writes.iter().find_map(|(_, sql, context)| session.data.run(sql, context).err());
                let cleared = vec![("X-Trino-Clear-Transaction-Id".to_owned(), "true".to_owned())];
                let result = match failed {
                    Some(_) => {
                        session.data.batch("ROLLBACK").map_err(internal)?;
                        Err(wrong("TRANSACTION_CONFLICT", "it does not fit what others have done meanwhile"))
                    }
                    None => {
                        session.data.batch("COMMIT").map_err(internal)?;
                        main.copy_from(&session.data).map_err(internal)?;
                        Ok((done("COMMIT", cleared).0, writes.into_iter().map(|w| w.0).collect()))
                    }
                };
                if !session.tables {
                    self.open.remove(&name);
                }
                result
            }
            Kind::Rollback => {
                session.transaction = false;
                session.data.batch("ROLLBACK").map_err(internal)?;
                session.writes.clear();
                if !session.tables {
                    self.open.remove(&name);
                }
                Ok(done("ROLLBACK", vec![("X-Trino-Clear-Transaction-Id".into(), "true".into())]))
            }
            Kind::Leave => {
                self.open.remove(&name);
                Ok(done("RESET SESSION", vec![("X-Trino-Clear-Session".into(), PROPERTY.into())]))
            }
            Kind::Temporary | Kind::Other => {
                if !session.transaction {
                    session.data.copy_from(main).map_err(internal)?;
                }
                let writes = session.data.writes(sql, context);
                let result = session.data.run(sql, context);
                let mut effects = Vec::new();
                if writes && result.is_ok() {
                    if session.transaction {
                        session.writes.push((mark.to_owned(), sql.to_owned(), context.clone()));
                    } else {
                        main.copy_from(&session.data).map_err(internal)?;
                        effects.push(mark.to_owned());
                    }
                }
                let mut outcome = match result {
                    Ok(outcome) => outcome,
                    Err(error) => {
                        if !session.transaction && !session.tables {
                            self.open.remove(&name);
                        }
                        return Err(error);
                    }
                };
                if kind == Kind::Temporary {
                    session.tables = true;
                    let value = format!("{PROPERTY}={}", encode(&name));
                    outcome.session.push(("X-Trino-Set-Session".into(), value));
                }
                Ok((outcome, effects))
            }
        }
    }
}
