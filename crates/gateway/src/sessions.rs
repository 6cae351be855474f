//! Sessions that live on one engine, as the core meets them: what a statement's headers say of its session, what the engine's
//! answer makes of it, and what its end means for it. Free of I/O and clock.

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

/// Name of the error of a statement whose session is lost.
pub const SESSION_LOST: &str = "SESSION_LOST";
/// Of one whose token is not believed.
pub const SESSION_INVALID: &str = "SESSION_INVALID";
/// Of one in a transaction that can only be rolled back.
pub const TRANSACTION_ABORTED: &str = "TRANSACTION_ABORTED";
/// What engines answer if they don't know a transaction or session, and if another statement of it runs.
pub const UNKNOWN_SESSION_ERRORS: [&str; 2] = ["UNKNOWN_TRANSACTION", "UNKNOWN_SESSION"];
/// See [`UNKNOWN_SESSION_ERRORS`].
pub const SESSION_BUSY: &str = "SESSION_BUSY";

/// Headers by which engines and clients tell of transactions.
pub const STARTED_TRANSACTION: &str = "X-Trino-Started-Transaction-Id";
/// See [`STARTED_TRANSACTION`].
pub const CLEAR_TRANSACTION: &str = "X-Trino-Clear-Transaction-Id";
const SET_SESSION: &str = "X-Trino-Set-Session";
const CLEAR_SESSION: &str = "X-Trino-Clear-Session";

/// What a statement has to do with a session.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionUse {
    /// What it is.
    pub kind: Kind,
    /// Its session, once there is one.
    pub number: Option<u64>,
    /// Where that lives.
    pub binding: Option<Binding>,
    /// It uses the reserve of its engine.
    pub reserved: bool,
    /// It may change something.
    pub writes: bool,
    /// What the session holds by the engine's last word.
    pub holds: Holds,
}

impl SessionUse {
    /// What the module is told.
    pub fn pin(&self) -> Option<Pin> {
        let binding = self.binding.as_ref()?;
        let engine = EngineId(binding.engine);
        Some(Pin { engine, reserve: self.reserved, finishing: binding.finishing })
    }
}

/// How a statement goes on once its session has been looked at.
#[derive(Debug, Clone, PartialEq)]
pub enum Admit {
    /// It has none and needs none.
    NoSession,
    /// It opens one, or belongs to one.
    InSession(Box<SessionUse>),
    /// Its session is lost, and its client lets its tables be rebuilt by these statements, one after the other.
    RebuildFirst(Vec<String>),
    /// It has ended, with these headers for its client.
    Ended(Ending, Vec<(String, String)>),
}

/// The sessions of a gateway.
pub struct Sessions {
    table: Table,
    keys: Keys,
    reserve: u32,
    /// Lives of each engine's process that are known, the present one last.
    epochs: HashMap<EngineId, Vec<String>>,
    /// How the tables of sessions were made whose clients let them be rebuilt; oldest first.
    recipes: HashMap<u64, Recipe>,
    recipes_in_order: VecDeque<u64>,
    life: u64,
    next: u64,
    /// Sessions that were lost, for the operators.
    pub lost: u64,
}

/// Recipes kept at most.
const MAX_RECIPES: usize = 10_000;

/// Lives of an engine's process that are remembered.
const MAX_EPOCHS_PER_ENGINE: usize = 16;

/// Spreads a number over 64 bits (the finalizer of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The client lets its tables be rebuilt.
fn allows_rebuild(context: &Context) -> bool {
    context.property(REBUILD).is_some_and(|v| v.eq_ignore_ascii_case("true"))
}

/// The token in an answer's headers, where it opens a session.
pub fn opened_token(headers: &[(String, String)]) -> Option<String> {
    let value = |(name, value): &(String, String)| {
        let (property, token) = value.split_once('=').filter(|_| name.eq_ignore_ascii_case(SET_SESSION))?;
        decode(token).filter(|_| property.trim() == PROPERTY)
    };
    headers.iter().find_map(value)
}

/// The header that gives a token to a client.
pub fn token_header(token: &str) -> (String, String) {
    (SET_SESSION.to_owned(), format!("{PROPERTY}={}", encode(token)))
}

fn user_error(name: &str, why: String) -> Ending {
    Ending::Declined(QueryError::new(ErrorType::UserError, 0x7610, name, why))
}

fn session_lost(why: Why, holds: Holds) -> Ending {
    let why = format!("the session is lost with {}: {}", holds.words(), why.words());
    Ending::Failed(QueryError::new(ErrorType::External, 0x7611, SESSION_LOST, why))
}

fn refusal(why: &str, after_ms: u64) -> Ending {
    Ending::Refused(QueryError::refused(why, after_ms))
}

impl Sessions {
    /// None yet. `life` must differ at every start of every gateway.
    pub fn new(limits: Limits, reserve: u32, keys: Keys, life: &str, now: Micros) -> Self {
        let life = life.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| mix(h ^ u64::from(b)));
        Sessions {
            table: Table::new(limits, now),
            keys,
            reserve,
            epochs: HashMap::new(),
            recipes: HashMap::new(),
            recipes_in_order: VecDeque::new(),
            life,
            next: 0,
            lost: 0,
        }
    }

    /// Open sessions.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// None is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Other keys from now on.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Looks at a statement's session. `engine` finds an engine that is listed, by its name.
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
        let word = text::first_word(sql);
        let reads = [
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
        let writes = !reads.contains(&word.as_str());
        let mut member = SessionUse {
            kind,
            number: None,
            binding: None,
            reserved: false,
            writes,
            holds: Holds::default(),
        };
        if carried.is_empty() {
            return match member.kind {
                Kind::Other | Kind::Leave => Admit::NoSession,
                Kind::Commit | Kind::Rollback => Admit::Ended(
                    user_error("NOT_IN_TRANSACTION", "there is no transaction to end".into()),
                    Vec::new(),
                ),
                Kind::Start | Kind::Temporary => match self.table.may_open(&context.user) {
                    Ok(()) => Admit::InSession(Box::new(member)),
                    Err(full) => Admit::Ended(refusal(full.words(), 1000), Vec::new()),
                },
            };
        }
        // What the client asks for may be done already: then there is nothing to fail.
        let over = |ending: Ending| match member.kind {
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
                    return over(user_error(
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
        if member.kind == Kind::Start && transaction.is_some() {
            let why = "a transaction is open already";
            return Admit::Ended(user_error("NOT_SUPPORTED", why.into()), Vec::new());
        }
        let token = &tokens[0];
        // By what it is carried as, not by what it held when the token was made.
        let holds =
            Holds { transaction: transaction.is_some(), tables: context.property(PROPERTY).is_some() };
        // Each transaction has a token of its own, also in one session.
        let open = transaction.map_or(0, |t| t.bytes().fold(1, |h: u64, b| mix(h ^ u64::from(b))).max(1));
        let rolls_back = matches!(member.kind, Kind::Rollback | Kind::Leave);
        let mut entered =
            self.table.enter(now, token.session, &context.user, statement, holds, open, rolls_back);
        if entered == Err(Denied::Unknown) {
            // Another gateway's: taken over if its engine still lives in the same epoch.
            match self.take_over(now, token, holds, engine(&token.engine)) {
                Ok(()) => {
                    entered = self.table.enter(
                        now,
                        token.session,
                        &context.user,
                        statement,
                        holds,
                        open,
                        rolls_back,
                    );
                }
                Err(ending) => return over(ending),
            }
        }
        let binding = match entered {
            Ok(binding) => binding,
            Err(Denied::Busy) => {
                return Admit::Ended(refusal("another statement of this session runs", 200), Vec::new())
            }
            Err(Denied::Aborted) => {
                let why = "a statement of this transaction ended without its outcome being known; only ROLLBACK is heard";
                return Admit::Ended(user_error(TRANSACTION_ABORTED, why.into()), Vec::new());
            }
            Err(Denied::Gone(Why::Ended, _)) => {
                let why =
                    "the session has been ended by its client: a COMMIT, ROLLBACK or RESET of it was taken";
                return over(user_error(SESSION_INVALID, why.into()));
            }
            Err(Denied::Gone(why, held)) => {
                let recipe = self.recipes.get(&token.session).and_then(Recipe::statements);
                let may =
                    allows_rebuild(context) && !held.transaction && transaction.is_none() && !rolls_back;
                // What its own limits ended is over; what an engine lost can be had again.
                let by_engine = matches!(why, Why::Removed | Why::Drained | Why::Restarted | Why::Forgotten);
                return match recipe.filter(|_| may && by_engine) {
                    Some(statements) => Admit::RebuildFirst(statements.to_vec()),
                    None => over(session_lost(why, held)),
                };
            }
            Err(Denied::NotYours) => {
                return Admit::Ended(
                    user_error(SESSION_INVALID, "the session belongs to another user".into()),
                    Vec::new(),
                )
            }
            Err(Denied::Unknown) => return over(session_lost(Why::Forgotten, holds)),
        };
        let reserved = self.table.reserved(binding.engine, &binding.epoch);
        member.reserved = reserve::applies(&member.kind, binding.holds, reserved, self.reserve);
        if member.reserved {
            self.table.reserve(binding.engine, &binding.epoch, true);
        }
        member.number = Some(token.session);
        member.holds = binding.holds;
        member.binding = Some(binding);
        Admit::InSession(Box::new(member))
    }

    fn take_over(
        &mut self,
        now: Micros,
        token: &Token,
        holds: Holds,
        engine: Option<EngineId>,
    ) -> Result<(), Ending> {
        let engine = engine.ok_or_else(|| session_lost(Why::Removed, holds))?;
        // A life that is not known yet may be newer than what this gateway has heard: then the engine itself decides.
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
            .map_err(|full| refusal(full.words(), 1000))
    }

    /// Reads what an engine's answer says of the session, and puts this gateway's tokens in place of the engine's names.
    ///
    /// # Errors
    /// The session could not be kept: what is full, and its name at the engine.
    #[allow(clippy::too_many_arguments)]
    pub fn read_answer(
        &mut self,
        now: Micros,
        statement: u64,
        member: &mut Option<Box<SessionUse>>,
        user: &str,
        engine: (EngineId, &str),
        epoch: &str,
        headers: &mut [(String, String)],
    ) -> Result<(), (Full, Binding)> {
        for (name, value) in headers.iter_mut() {
            let is = |known: &str| name.eq_ignore_ascii_case(known);
            let property = value.split_once('=').filter(|(n, _)| n.trim() == PROPERTY);
            let inner = match property {
                Some((_, inner)) if is(SET_SESSION) => decode(inner),
                _ if is(STARTED_TRANSACTION) => Some(value.clone()),
                _ => None,
            };
            if let (Some(member), true) = (member.as_mut(), is(CLEAR_TRANSACTION)) {
                member.holds.transaction = false;
            }
            if let (Some(member), true) = (member.as_mut(), is(CLEAR_SESSION) && value.trim() == PROPERTY) {
                member.holds.tables = false;
            }
            let Some(inner) = inner else { continue };
            let starts = is(STARTED_TRANSACTION);
            let member = member.get_or_insert_with(|| {
                let kind = if starts { Kind::Start } else { Kind::Temporary };
                Box::new(SessionUse {
                    kind,
                    number: None,
                    binding: None,
                    reserved: false,
                    writes: true,
                    holds: Holds::default(),
                })
            });
            member.holds.transaction |= starts;
            member.holds.tables |= !starts;
            let until = now + self.table.limits().absolute.as_micros() as Micros;
            let number = match member.number {
                Some(number) => number,
                None => {
                    self.next += 1;
                    let number = mix(self.life ^ mix(self.next));
                    let binding = Binding {
                        engine: engine.0 .0,
                        epoch: epoch.to_owned(),
                        inner: inner.clone(),
                        holds: member.holds,
                        finishing: false,
                    };
                    if let Err(full) = self.table.open(now, number, user, &binding, until, Some(statement)) {
                        return Err((full, binding));
                    }
                    (member.number, member.binding) = (Some(number), Some(binding));
                    number
                }
            };
            let token = Token {
                session: number,
                user: user.to_owned(),
                engine: engine.1.to_owned(),
                epoch: epoch.to_owned(),
                inner,
                holds: member.holds,
                until,
            };
            let signed = self.keys.sign(&token);
            *value = if starts { signed } else { format!("{PROPERTY}={}", encode(&signed)) };
        }
        Ok(())
    }

    /// Keeps how a session's tables are made.
    fn record_recipe(&mut self, number: u64, context: &Context, sql: &str, left: Left) {
        if !allows_rebuild(context) && !self.recipes.contains_key(&number) {
            return;
        }
        if !self.recipes.contains_key(&number) {
            self.recipes_in_order.push_back(number);
            if self.recipes_in_order.len() > MAX_RECIPES {
                let oldest = self.recipes_in_order.pop_front();
                oldest.map(|number| self.recipes.remove(&number));
            }
        }
        let within = context.transaction.as_deref().is_some_and(|t| !t.eq_ignore_ascii_case("none"));
        let recipe = self.recipes.entry(number).or_default();
        match left {
            Left::Holding(_) => recipe.served(sql, within),
            Left::Unsure => recipe.unsure(),
            Left::Untouched => {}
        }
    }

    /// A statement of a session has ended: what its client is told in the end, and what is to be freed at the engine.
    pub fn statement_ended(
        &mut self,
        now: Micros,
        statement: u64,
        member: &SessionUse,
        (context, sql): (&Context, &str),
        ending: Ending,
        attempts: u32,
    ) -> (Ending, Option<Loss>) {
        if let (true, Some(binding)) = (member.reserved, &member.binding) {
            self.table.reserve(binding.engine, &binding.epoch, false);
        }
        let Some(number) = member.number.filter(|&n| self.table.contains(n)) else { return (ending, None) };
        let unknown = ending.error().is_some_and(|e| UNKNOWN_SESSION_ERRORS.contains(&e.error_name.as_str()));
        let mut ending = match ending {
            Ending::Declined(_) if unknown => {
                let held = member.binding.as_ref().map_or(member.holds, |b| b.holds);
                self.table.end(now, number, Why::Forgotten);
                self.lost += 1;
                return (session_lost(Why::Forgotten, held), None);
            }
            Ending::Declined(e) if e.error_name == SESSION_BUSY => {
                refusal("another statement of this session runs", 200)
            }
            other => other,
        };
        let may_have_run = attempts > 0 && matches!(ending, Ending::Failed(_) | Ending::Cancelled(_));
        let left = match &ending {
            Ending::Served | Ending::Declined(_) => Left::Holding(member.holds),
            _ if may_have_run && member.writes => Left::Unsure,
            _ => Left::Untouched,
        };
        if ending == Ending::Served || left == Left::Unsure {
            self.record_recipe(number, context, sql, left);
        }
        if member.kind.ends() && left == Left::Unsure {
            if let (Kind::Commit, Ending::Failed(e)) = (&member.kind, &mut ending) {
                e.message = format!("it is not known whether the transaction was committed: {}", e.message);
            }
            // Either way the transaction is over; what is left of it at the engine is freed.
            return (ending, self.table.end(now, number, Why::Ended));
        }
        if member.kind == Kind::Start && left == Left::Unsure {
            // A transaction may be open there that its client cannot name: what it wrote would never be committed.
            if let Ending::Failed(e) = &mut ending {
                e.message =
                    format!("the session is lost, a transaction may have been opened in it: {}", e.message);
            }
            return (ending, self.table.end(now, number, Why::Forgotten));
        }
        self.table.leave(now, number, statement, left);
        (ending, None)
    }

    /// Ends the session of a token, whose client has left.
    pub fn release(&mut self, now: Micros, user: &str, token: &str) -> Option<Loss> {
        let token = self.keys.open(now, user, token).ok()?;
        self.table.end(now, token.session, Why::Ended)
    }

    /// An engine tells the life of its process.
    pub fn engine_epoch(&mut self, now: Micros, engine: EngineId, epoch: &str) -> Vec<Loss> {
        let known = self.epochs.entry(engine).or_default();
        // A former life does not come back: that is an answer which was long on its way.
        if known.iter().any(|k| k == epoch) {
            return Vec::new();
        }
        known.push(epoch.to_owned());
        if known.len() > MAX_EPOCHS_PER_ENGINE {
            known.remove(0);
        }
        self.count_lost(|table| table.lose(now, engine.0, Some(epoch), Why::Restarted))
    }

    /// The list says of an engine that it is up, drains, or is gone (`None`).
    pub fn engine_listed(&mut self, now: Micros, engine: EngineId, drains: Option<bool>) -> Vec<Loss> {
        match drains {
            Some(drains) => self.count_lost(|table| table.drains(now, engine.0, drains)),
            None => self.count_lost(|table| table.lose(now, engine.0, None, Why::Removed)),
        }
    }

    /// When something may be due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.table.next_wake()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) -> Vec<Loss> {
        self.count_lost(|table| table.advance(now))
    }

    fn count_lost(&mut self, what: impl FnOnce(&mut Table) -> Vec<Loss>) -> Vec<Loss> {
        let lost = what(&mut self.table);
        self.lost += lost.len() as u64;
        lost
    }
}

/// What the running statement of a lost session is told.
pub fn loss_ending(member: &SessionUse, loss: &Loss, attempts: u32) -> Ending {
    match session_lost(loss.why, loss.binding.holds) {
        Ending::Failed(mut error) if member.kind == Kind::Commit && attempts > 0 => {
            error.message =
                format!("it is not known whether the transaction was committed: {}", error.message);
            Ending::Failed(error)
        }
        other => other,
    }
}
