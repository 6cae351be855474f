//! Sessions that are bound to one engine: how a statement's headers relate it to a session, how the engine's
//! answers change the session, and how the end of the statement affects it. It performs no I/O and reads no
//! clock.

use std::collections::{HashMap, VecDeque};

use violetward::{EngineId, Micros, Pin};
use violetward_session::kind::{Kind, PROPERTY};
use violetward_session::recipe::{Recipe, REBUILD};
use violetward_session::reserve;
use violetward_session::table::{Binding, Denied, Full, Holds, Left, Limits, Loss, Table, Why};
use violetward_session::token::{Keys, Token};
use violetward_statement::pages::Ending;
use violetward_statement::results::{ErrorType, QueryError};
use violetward_statement::session::{decode, encode, Context};
use violetward_statement::text;

/// Error name of a statement whose session is lost.
pub const SESSION_LOST: &str = "SESSION_LOST";
/// Error name of a statement whose session token is not accepted.
pub const SESSION_INVALID: &str = "SESSION_INVALID";
/// Error name of a statement in a transaction that can only be rolled back.
pub const TRANSACTION_ABORTED: &str = "TRANSACTION_ABORTED";
/// Error names with which an engine answers if it does not know a transaction or session.
pub const UNKNOWN_SESSION_ERRORS: [&str; 2] = ["UNKNOWN_TRANSACTION", "UNKNOWN_SESSION"];
/// Error name with which an engine answers if another statement of the session is running.
pub const SESSION_BUSY: &str = "SESSION_BUSY";

/// Error code of statements that use sessions wrongly.
const USER_ERROR_CODE: u32 = 0x7610;
/// Error code of a statement whose session is lost.
pub const SESSION_LOST_CODE: u32 = 0x7611;
/// Suggested delay of a retry while another statement of the session is running, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;
/// Suggested delay of a retry while too many sessions are open, in milliseconds.
const FULL_RETRY_MS: u64 = 1000;

/// Header that reports a started transaction.
pub const STARTED_TRANSACTION: &str = "X-Trino-Started-Transaction-Id";
/// Header that reports the end of a transaction.
pub const CLEAR_TRANSACTION: &str = "X-Trino-Clear-Transaction-Id";
/// Header that sets a session property.
const SET_SESSION: &str = "X-Trino-Set-Session";
/// Header that clears a session property.
const CLEAR_SESSION: &str = "X-Trino-Clear-Session";

/// How a statement uses a session.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionUse {
    /// Kind of the statement with regard to sessions.
    pub kind: Kind,
    /// Number of its session, if there is one already.
    pub number: Option<u64>,
    /// Engine and epoch that the session is bound to.
    pub binding: Option<Binding>,
    /// Whether it uses the reserved capacity of its engine.
    pub reserved: bool,
    /// Whether it may modify data.
    pub writes: bool,
    /// What the session holds according to the engine's last answer.
    pub holds: Holds,
}

impl SessionUse {
    /// The binding to an engine, as passed to the decision module.
    pub fn pin(&self) -> Option<Pin> {
        let binding = self.binding.as_ref()?;
        let engine = EngineId(binding.engine);
        Some(Pin { engine, uses_reserve: self.reserved, finishing: binding.finishing })
    }
}

/// How a statement proceeds after its session has been checked.
#[derive(Debug, Clone, PartialEq)]
pub enum Admit {
    /// It uses no session.
    NoSession,
    /// It opens a session or belongs to one.
    InSession(Box<SessionUse>),
    /// Its session is lost, and its client permits rebuilding its tables by these statements, one after the
    /// other.
    RebuildFirst(Vec<String>),
    /// It has ended, with these headers for its client.
    Ended(Ending, Vec<(String, String)>),
}

/// The sessions of a gateway.
pub struct Sessions {
    table: Table,
    keys: Keys,
    /// Maximum number of statements in the reserved capacity of an engine.
    reserve: u32,
    /// Known epochs of each engine, the current one last.
    epochs: HashMap<EngineId, Vec<String>>,
    /// Statements that created the tables of sessions whose clients permit rebuilding, by session.
    recipes: HashMap<u64, Recipe>,
    /// Sessions with a recipe, the oldest first.
    recipe_order: VecDeque<u64>,
    /// Hash of the name of this gateway process; makes session numbers unique in the fleet.
    instance: u64,
    next_number: u64,
    /// Number of sessions lost since the start, for the operators.
    pub lost: u64,
}

/// Maximum number of recipes kept.
const MAX_RECIPES: usize = 10_000;

/// Maximum number of epochs remembered for an engine.
const MAX_EPOCHS_PER_ENGINE: usize = 16;

/// Initial value of the hash of the gateway process's name (the offset basis of FNV-1a).
const HASH_SEED: u64 = 0xcbf2_9ce4_8422_2325;

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Whether the client permits rebuilding its tables.
fn allows_rebuild(context: &Context) -> bool {
    context.property(REBUILD).is_some_and(|v| v.eq_ignore_ascii_case("true"))
}

/// The token in an answer's headers, if it opens a session.
pub fn opened_token(headers: &[(String, String)]) -> Option<String> {
    let value = |(name, value): &(String, String)| {
        let (property, token) = value.split_once('=').filter(|_| name.eq_ignore_ascii_case(SET_SESSION))?;
        decode(token).filter(|_| property.trim() == PROPERTY)
    };
    headers.iter().find_map(value)
}

/// The header that passes a token to a client.
pub fn token_header(token: &str) -> (String, String) {
    (SET_SESSION.to_owned(), format!("{PROPERTY}={}", encode(token)))
}

/// The ending of a statement that uses a session wrongly.
fn user_error(name: &str, why: String) -> Ending {
    Ending::Declined(QueryError::new(ErrorType::UserError, USER_ERROR_CODE, name, why))
}

/// The ending of a statement whose session is lost.
fn session_lost(why: Why, holds: Holds) -> Ending {
    let why = format!("the session is lost with {}: {}", holds.words(), why.words());
    Ending::Failed(QueryError::new(ErrorType::External, SESSION_LOST_CODE, SESSION_LOST, why))
}

/// The ending of a statement that may be sent again after some time.
fn refused_ending(why: &str, after_ms: u64) -> Ending {
    Ending::Refused(QueryError::refused(why, after_ms))
}

impl Sessions {
    /// Creates an empty table. `instance` must differ at every start of every gateway.
    pub fn new(limits: Limits, reserve: u32, keys: Keys, instance: &str, now: Micros) -> Self {
        let instance = instance.bytes().fold(HASH_SEED, |h: u64, b| mix(h ^ u64::from(b)));
        Sessions {
            table: Table::new(limits, now),
            keys,
            reserve,
            epochs: HashMap::new(),
            recipes: HashMap::new(),
            recipe_order: VecDeque::new(),
            instance,
            next_number: 0,
            lost: 0,
        }
    }

    /// Number of open sessions.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Sets the keys that sign and verify tokens.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Checks the session of a statement. `engine` finds a listed engine by its name.
    pub fn admit(
        &mut self,
        now: Micros,
        statement: u64,
        context: &Context,
        sql: &str,
        engine: impl Fn(&str) -> Option<EngineId>,
    ) -> Admit {
        let kind = Kind::of(sql);
        let transaction = context.transaction.as_deref().filter(|t| !t.eq_ignore_ascii_case("none"));
        let carried: Vec<&str> = transaction.into_iter().chain(context.property(PROPERTY)).collect();
        let first_word = text::first_word(sql);
        let reading_words = [
            "select",
            "show",
            "describe",
            "explain",
            "values",
            "with",
            "execute",
            "prepare",
            "deallocate",
            "use",
            "set",
            "reset",
        ];
        let writes = !reading_words.contains(&first_word.as_str());
        let mut session_use = SessionUse {
            kind,
            number: None,
            binding: None,
            reserved: false,
            writes,
            holds: Holds::default(),
        };
        if carried.is_empty() {
            return match session_use.kind {
                Kind::Other | Kind::Leave => Admit::NoSession,
                Kind::Commit | Kind::Rollback => Admit::Ended(
                    user_error("NOT_IN_TRANSACTION", "there is no transaction to end".into()),
                    Vec::new(),
                ),
                Kind::Start | Kind::Temporary => match self.table.may_open(&context.user) {
                    Ok(()) => Admit::InSession(Box::new(session_use)),
                    Err(full) => Admit::Ended(refused_ending(full.words(), FULL_RETRY_MS), Vec::new()),
                },
            };
        }
        // What the client asks for may have happened already; then it succeeds.
        let already_done = |ending: Ending| match session_use.kind {
            Kind::Rollback if transaction.is_some() => {
                Admit::Ended(Ending::Served, vec![(CLEAR_TRANSACTION.to_owned(), "true".into())])
            }
            Kind::Leave => Admit::Ended(Ending::Served, vec![(CLEAR_SESSION.to_owned(), PROPERTY.into())]),
            _ => Admit::Ended(ending, Vec::new()),
        };
        let mut tokens = Vec::new();
        for text in carried {
            match self.keys.open(now, &context.user, text) {
                Ok(token) => tokens.push(token),
                Err(why) => {
                    return already_done(user_error(
                        SESSION_INVALID,
                        format!("the session's token is not accepted: {why}"),
                    ))
                }
            }
        }
        if tokens.iter().any(|t| t.session != tokens[0].session) {
            let why = "the transaction and the session that are named are not the same session";
            return Admit::Ended(user_error(SESSION_INVALID, why.into()), Vec::new());
        }
        if session_use.kind == Kind::Start && transaction.is_some() {
            let why = "a transaction is open already";
            return Admit::Ended(user_error("NOT_SUPPORTED", why.into()), Vec::new());
        }
        let token = &tokens[0];
        // What the request names decides, not what the session held when the token was made.
        let holds =
            Holds { transaction: transaction.is_some(), tables: context.property(PROPERTY).is_some() };
        // Each transaction has its own token, even within one session.
        let transaction_hash =
            transaction.map_or(0, |t| t.bytes().fold(1, |h: u64, b| mix(h ^ u64::from(b))).max(1));
        let rolls_back = matches!(session_use.kind, Kind::Rollback | Kind::Leave);
        let mut entry = self.table.enter(
            now,
            token.session,
            &context.user,
            statement,
            holds,
            transaction_hash,
            rolls_back,
        );
        if entry == Err(Denied::Unknown) {
            // The session belongs to another gateway. It is taken over if its engine still runs in the same
            // epoch.
            match self.take_over(now, token, holds, engine(&token.engine)) {
                Ok(()) => {
                    entry = self.table.enter(
                        now,
                        token.session,
                        &context.user,
                        statement,
                        holds,
                        transaction_hash,
                        rolls_back,
                    );
                }
                Err(ending) => return already_done(ending),
            }
        }
        let binding = match entry {
            Ok(binding) => binding,
            Err(Denied::Busy) => {
                return Admit::Ended(
                    refused_ending("another statement of this session runs", BUSY_RETRY_MS),
                    Vec::new(),
                )
            }
            Err(Denied::Aborted) => {
                let why = "a statement of this transaction ended without its outcome being known; \
                     only ROLLBACK is heard";
                return Admit::Ended(user_error(TRANSACTION_ABORTED, why.into()), Vec::new());
            }
            Err(Denied::Gone(Why::Ended, _)) => {
                let why =
                    "the session has been ended by its client: a COMMIT, ROLLBACK or RESET of it was taken";
                return already_done(user_error(SESSION_INVALID, why.into()));
            }
            Err(Denied::Gone(why, held)) => {
                let recipe = self.recipes.get(&token.session).and_then(Recipe::statements);
                let may_rebuild =
                    allows_rebuild(context) && !held.transaction && transaction.is_none() && !rolls_back;
                // Sessions that ended by their own limits are not rebuilt, only those that an engine lost.
                let by_engine = matches!(why, Why::Removed | Why::Drained | Why::Restarted | Why::Forgotten);
                return match recipe.filter(|_| may_rebuild && by_engine) {
                    Some(statements) => Admit::RebuildFirst(statements.to_vec()),
                    None => already_done(session_lost(why, held)),
                };
            }
            Err(Denied::NotYours) => {
                return Admit::Ended(
                    user_error(SESSION_INVALID, "the session belongs to another user".into()),
                    Vec::new(),
                )
            }
            Err(Denied::Unknown) => return already_done(session_lost(Why::Forgotten, holds)),
        };
        let reserved = self.table.reserved(binding.engine, &binding.epoch);
        session_use.reserved = reserve::applies(&session_use.kind, binding.holds, reserved, self.reserve);
        if session_use.reserved {
            self.table.reserve(binding.engine, &binding.epoch, true);
        }
        session_use.number = Some(token.session);
        session_use.holds = binding.holds;
        session_use.binding = Some(binding);
        Admit::InSession(Box::new(session_use))
    }

    /// Takes over a session of another gateway, or returns how its statement ends.
    fn take_over(
        &mut self,
        now: Micros,
        token: &Token,
        holds: Holds,
        engine: Option<EngineId>,
    ) -> Result<(), Ending> {
        let engine = engine.ok_or_else(|| session_lost(Why::Removed, holds))?;
        // An unknown epoch may be newer than those known here; the engine itself decides then.
        let known = self.epochs.get(&engine).map_or(&[][..], Vec::as_slice);
        if known.split_last().is_some_and(|(_, former)| former.contains(&token.epoch)) {
            return Err(session_lost(Why::Restarted, holds));
        }
        let binding = Binding {
            engine: engine.0,
            epoch: token.epoch.clone(),
            inner: token.inner.clone(),
            holds,
            finishing: false,
        };
        self.table
            .open(now, token.session, &token.user, &binding, token.until, None)
            .map_err(|full| refused_ending(full.words(), FULL_RETRY_MS))
    }

    /// Processes the session headers of an engine's answer and replaces the engine's ids by this gateway's
    /// tokens.
    ///
    /// # Errors
    ///
    /// If the session could not be kept: the limit that was reached, and the session's binding.
    #[allow(clippy::too_many_arguments)]
    pub fn read_answer(
        &mut self,
        now: Micros,
        statement: u64,
        session_use: &mut Option<Box<SessionUse>>,
        user: &str,
        engine: (EngineId, &str),
        epoch: &str,
        headers: &mut [(String, String)],
    ) -> Result<(), (Full, Binding)> {
        for (name, value) in headers.iter_mut() {
            let is_header = |known: &str| name.eq_ignore_ascii_case(known);
            let property = value.split_once('=').filter(|(n, _)| n.trim() == PROPERTY);
            let inner = match property {
                Some((_, inner)) if is_header(SET_SESSION) => decode(inner),
                _ if is_header(STARTED_TRANSACTION) => Some(value.clone()),
                _ => None,
            };
            if let (Some(session_use), true) = (session_use.as_mut(), is_header(CLEAR_TRANSACTION)) {
                session_use.holds.transaction = false;
            }
            if let (Some(session_use), true) =
                (session_use.as_mut(), is_header(CLEAR_SESSION) && value.trim() == PROPERTY)
            {
                session_use.holds.tables = false;
            }
            let Some(inner) = inner else { continue };
            let starts_transaction = is_header(STARTED_TRANSACTION);
            let session_use = session_use.get_or_insert_with(|| {
                let kind = if starts_transaction { Kind::Start } else { Kind::Temporary };
                Box::new(SessionUse {
                    kind,
                    number: None,
                    binding: None,
                    reserved: false,
                    writes: true,
                    holds: Holds::default(),
                })
            });
            session_use.holds.transaction |= starts_transaction;
            session_use.holds.tables |= !starts_transaction;
            let until = now + self.table.limits().absolute.as_micros() as Micros;
            let number = match session_use.number {
                Some(number) => number,
                None => {
                    self.next_number += 1;
                    let number = mix(self.instance ^ mix(self.next_number));
                    let binding = Binding {
                        engine: engine.0 .0,
                        epoch: epoch.to_owned(),
                        inner: inner.clone(),
                        holds: session_use.holds,
                        finishing: false,
                    };
                    if let Err(full) = self.table.open(now, number, user, &binding, until, Some(statement)) {
                        return Err((full, binding));
                    }
                    (session_use.number, session_use.binding) = (Some(number), Some(binding));
                    number
                }
            };
            let token = Token {
                session: number,
                user: user.to_owned(),
                engine: engine.1.to_owned(),
                epoch: epoch.to_owned(),
                inner,
                holds: session_use.holds,
                until,
            };
            let signed = self.keys.sign(&token);
            *value = if starts_transaction { signed } else { format!("{PROPERTY}={}", encode(&signed)) };
        }
        Ok(())
    }

    /// Records how the tables of a session are created.
    fn record_recipe(&mut self, number: u64, context: &Context, sql: &str, left: Left) {
        if !allows_rebuild(context) && !self.recipes.contains_key(&number) {
            return;
        }
        if !self.recipes.contains_key(&number) {
            self.recipe_order.push_back(number);
            if self.recipe_order.len() > MAX_RECIPES {
                let oldest = self.recipe_order.pop_front();
                oldest.map(|number| self.recipes.remove(&number));
            }
        }
        let in_transaction = context.transaction.as_deref().is_some_and(|t| !t.eq_ignore_ascii_case("none"));
        let recipe = self.recipes.entry(number).or_default();
        match left {
            Left::Holding(_) => recipe.served(sql, in_transaction),
            Left::Unsure => recipe.unsure(),
            Left::Untouched => {}
        }
    }

    /// Handles the end of a statement of a session. Returns the ending for its client and the session to
    /// release on the engine, if any.
    pub fn statement_ended(
        &mut self,
        now: Micros,
        statement: u64,
        session_use: &SessionUse,
        (context, sql): (&Context, &str),
        ending: Ending,
        attempts: u32,
    ) -> (Ending, Option<Loss>) {
        if let (true, Some(binding)) = (session_use.reserved, &session_use.binding) {
            self.table.reserve(binding.engine, &binding.epoch, false);
        }
        let Some(number) = session_use.number.filter(|&n| self.table.contains(n)) else {
            return (ending, None);
        };
        let session_unknown =
            ending.error().is_some_and(|e| UNKNOWN_SESSION_ERRORS.contains(&e.error_name.as_str()));
        let mut ending = match ending {
            Ending::Declined(_) if session_unknown => {
                let held = session_use.binding.as_ref().map_or(session_use.holds, |b| b.holds);
                self.table.end(now, number, Why::Forgotten);
                self.lost += 1;
                return (session_lost(Why::Forgotten, held), None);
            }
            Ending::Declined(e) if e.error_name == SESSION_BUSY => {
                refused_ending("another statement of this session runs", BUSY_RETRY_MS)
            }
            other => other,
        };
        let may_have_run = attempts > 0 && matches!(ending, Ending::Failed(_) | Ending::Cancelled(_));
        let left = match &ending {
            Ending::Served | Ending::Declined(_) => Left::Holding(session_use.holds),
            _ if may_have_run && session_use.writes => Left::Unsure,
            _ => Left::Untouched,
        };
        if ending == Ending::Served || left == Left::Unsure {
            self.record_recipe(number, context, sql, left);
        }
        if session_use.kind.ends() && left == Left::Unsure {
            if let (Kind::Commit, Ending::Failed(e)) = (&session_use.kind, &mut ending) {
                e.message = format!("it is not known whether the transaction was committed: {}", e.message);
            }
            // The transaction is over in either case; what remains of it on the engine is released.
            return (ending, self.table.end(now, number, Why::Ended));
        }
        if session_use.kind == Kind::Start && left == Left::Unsure {
            // A transaction that the client cannot name may have been opened there; what it wrote would never
            // be committed.
            if let Ending::Failed(e) = &mut ending {
                e.message =
                    format!("the session is lost, a transaction may have been opened in it: {}", e.message);
            }
            return (ending, self.table.end(now, number, Why::Forgotten));
        }
        self.table.leave(now, number, statement, left);
        (ending, None)
    }

    /// Ends the session of a token whose client has disconnected.
    pub fn release(&mut self, now: Micros, user: &str, token: &str) -> Option<Loss> {
        let token = self.keys.open(now, user, token).ok()?;
        self.table.end(now, token.session, Why::Ended)
    }

    /// Handles the epoch that an engine reports, and returns the sessions that are lost by it.
    pub fn engine_epoch(&mut self, now: Micros, engine: EngineId, epoch: &str) -> Vec<Loss> {
        let known = self.epochs.entry(engine).or_default();
        // An engine does not return to an earlier epoch: this is a delayed answer.
        if known.iter().any(|k| k == epoch) {
            return Vec::new();
        }
        known.push(epoch.to_owned());
        if known.len() > MAX_EPOCHS_PER_ENGINE {
            known.remove(0);
        }
        self.count_lost(|table| table.lose(now, engine.0, Some(epoch), Why::Restarted))
    }

    /// Handles the listing of an engine: whether it drains, or `None` if it was removed.
    pub fn engine_listed(&mut self, now: Micros, engine: EngineId, draining: Option<bool>) -> Vec<Loss> {
        match draining {
            Some(draining) => self.count_lost(|table| table.drains(now, engine.0, draining)),
            None => self.count_lost(|table| table.lose(now, engine.0, None, Why::Removed)),
        }
    }

    /// Time at which [`Sessions::advance`] should be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.table.next_wake()
    }

    /// Advances the time and returns the sessions that have expired.
    pub fn advance(&mut self, now: Micros) -> Vec<Loss> {
        self.count_lost(|table| table.advance(now))
    }

    /// Counts the sessions that the operation removes from the table.
    fn count_lost(&mut self, remove: impl FnOnce(&mut Table) -> Vec<Loss>) -> Vec<Loss> {
        let lost = remove(&mut self.table);
        self.lost += lost.len() as u64;
        lost
    }
}

/// The ending of the running statement of a lost session.
pub fn loss_ending(session_use: &SessionUse, loss: &Loss, attempts: u32) -> Ending {
    match session_lost(loss.why, loss.binding.holds) {
        Ending::Failed(mut error) if session_use.kind == Kind::Commit && attempts > 0 => {
            error.message =
                format!("it is not known whether the transaction was committed: {}", error.message);
            Ending::Failed(error)
        }
        other => other,
    }
}
