//! The client: carries out what [`crate::resend`] and [`crate::choice`] decide, over the statement protocol.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::stream::{self, Stream};
use serde_json::Value;
use violetward_net::{sleep, timeout, Connection, Pool};
use violetward_statement::http::{Headers, Limits, Message};
use violetward_statement::results::{QueryResults, CANCELED, FAILED, REFUSED, STATEMENT};
use violetward_statement::session::Context;

use crate::choice::Choice;
use crate::pace::Pace;
use crate::resend::{Budget, Case, Effect, Micros, Next, Stop, Table};

/// How a statement ends without rows.
#[derive(Debug, Clone, PartialEq)]
pub enum Ending {
    /// Refused: a further try is harmless, best after `retry_after`.
    Refused {
        /// The service's advice.
        retry_after: Duration,
        /// For people.
        message: String,
    },
    /// Failed: it may have run.
    Failed {
        /// For people.
        message: String,
    },
    /// The statement itself is wrong.
    Declined {
        /// For programs.
        name: String,
        /// For people.
        message: String,
    },
    /// The connection broke, and nobody can say whether it ran.
    Unknown {
        /// For people.
        message: String,
    },
}

impl std::fmt::Display for Ending {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Ending::Refused { message, .. } | Ending::Failed { message } => f.write_str(message),
            Ending::Declined { name, message } => write!(f, "{name}: {message}"),
            Ending::Unknown { message } => write!(f, "it is not known whether it ran: {message}"),
        }
    }
}

impl std::error::Error for Ending {}

/// A statement.
#[derive(Debug, Clone, Default)]
pub struct Query {
    /// The text.
    pub sql: String,
    /// How often it may take effect.
    pub effect: Effect,
    /// How long its caller waits; travels with it.
    pub deadline: Option<Duration>,
    /// The class, as a client tag.
    pub class: Option<String>,
    /// The order key.
    pub key: Option<String>,
    /// The mark of a keyed statement: the same at every try, and unlike any other.
    pub mark: Option<String>,
    /// Estimated processor time of all threads.
    pub cpu: Option<Duration>,
    /// Estimated peak memory, bytes.
    pub memory: Option<u64>,
}

impl Query {
    /// A statement of which nothing is said but its text.
    pub fn new(sql: impl Into<String>) -> Self {
        Query { sql: sql.into(), ..Query::default() }
    }

    /// Its client tags, as both protocols carry them.
    pub(crate) fn tags(&self) -> Vec<String> {
        let mut tags: Vec<String> = self.class.iter().cloned().collect();
        tags.extend(self.key.iter().map(|k| format!("key={k}")));
        tags.extend(self.mark.iter().map(|m| format!("repeat={m}")));
        tags
    }

    /// What is known of it before its first try.
    pub(crate) fn case(&self, now: Micros, options: &Options) -> Case {
        let wait = self.deadline.unwrap_or(options.patience);
        Case {
            effect: self.effect,
            marked: self.mark.is_some(),
            first_sent: now,
            due: now + wait.as_micros() as Micros,
            may_resend: options.may_resend,
            ..Case::default()
        }
    }
}

/// All rows of a statement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rows {
    /// Names of columns.
    pub columns: Vec<String>,
    /// All rows.
    pub rows: Vec<Vec<Value>>,
    /// What a statement that is no query did, and to how many rows.
    pub update: Option<(String, Option<i64>)>,
    /// Tries that it took.
    pub sends: u32,
}

/// How a client behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who asks.
    pub user: String,
    /// The program.
    pub source: String,
    /// The library may make attempts of its own, within the table and the budget. Off: the gateway alone makes them.
    pub may_resend: bool,
    /// Wait for a statement without a deadline.
    pub patience: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            user: "violetward".into(),
            source: "violetward-client".into(),
            may_resend: false,
            patience: Duration::from_secs(60),
        }
    }
}

/// A client of several gateways.
pub struct Client {
    pools: Vec<Pool>,
    options: Options,
    table: Table,
    budget: RefCell<Budget>,
    choice: RefCell<Choice>,
    start: Instant,
    sent: Cell<u64>,
}

/// How a try stopped, and what was told.
struct Stopped {
    stop: Stop,
    ending: Ending,
    advice: Option<Duration>,
}

impl Stopped {
    fn new(stop: Stop, message: String) -> Stopped {
        let ending = match stop {
            Stop::NotWritten | Stop::TurnedAway => Ending::Refused { retry_after: Duration::ZERO, message },
            _ => Ending::Unknown { message },
        };
        Stopped { stop, ending, advice: None }
    }
}

/// Rows that came together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// Names of columns; in the first batch that has any, and empty after that.
    pub columns: Vec<String>,
    /// Rows.
    pub rows: Vec<Vec<Value>>,
    /// See [`Rows::update`].
    pub update: Option<(String, Option<i64>)>,
}

/// What came of a cancel.
#[derive(Debug, Clone, PartialEq)]
pub enum Cancelled {
    /// The service let go of it. Its effect, if it has one, may have taken place.
    Stopped,
    /// It had ended before: with rows, or so.
    Late(Result<(), Ending>),
    /// Nobody can say.
    Unknown,
}

/// Where a statement is, for its cancellers.
#[derive(Default)]
struct Place {
    wanted: Cell<bool>,
    at: RefCell<Option<(usize, String)>>,
}

/// Cancels a statement that another task reads.
#[derive(Clone)]
pub struct Canceller<'a> {
    client: &'a Client,
    place: Rc<Place>,
}

impl Canceller<'_> {
    /// Asks for the end; the reader then sees it. A statement that is not taken yet is cancelled as soon as it is, and not
    /// sent again.
    pub async fn cancel(&self) {
        self.place.wanted.set(true);
        let at = self.place.at.borrow().clone();
        if let Some((which, path)) = at {
            self.client.delete(which, &path).await;
        }
    }
}

enum State {
    Fresh,
    Open { which: usize, connection: Box<Connection>, next: Option<String>, begun: Instant },
    Over,
}

/// A statement whose rows are read as they come.
pub struct Running<'a> {
    client: &'a Client,
    query: Query,
    case: Case,
    state: State,
    place: Rc<Place>,
    last: Option<usize>,
    pace: Pace,
    named: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let State::Open { which, begun, .. } = &self.state {
            self.client.choice.borrow_mut().done(*which, self.client.now(), begun.elapsed(), true);
        }
    }
}

impl<'a> Running<'a> {
    /// The next rows; `None` once it has ended well. The deadline is that of the first rows or of an ending without rows;
    /// after that the next ones may take as long as the client's patience.
    ///
    /// # Errors
    /// See [`Ending`]. Rows that came before an ending are not the whole result.
    pub async fn batch(&mut self) -> Result<Option<Batch>, Ending> {
        loop {
            let Some(batch) = self.page().await? else { return Ok(None) };
            if !batch.columns.is_empty() || !batch.rows.is_empty() || batch.update.is_some() {
                self.case.delivered |= !batch.rows.is_empty();
                return Ok(Some(batch));
            }
        }
    }

    /// All rows, before the deadline.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn collect(&mut self) -> Result<Rows, Ending> {
        let mut rows = Rows::default();
        let left = self.client.left(&self.case) + Duration::from_secs(1);
        let all = async {
            while let Some(mut batch) = self.page().await? {
                if rows.sends != self.sends() {
                    // What came of an earlier try is not part of this one's result.
                    rows = Rows { sends: self.sends(), ..Rows::default() };
                }
                rows.columns.append(&mut batch.columns);
                rows.rows.append(&mut batch.rows);
                rows.update = batch.update.or(rows.update.take());
            }
            Ok(())
        };
        match timeout(left, all).await {
            Some(ended) => ended?,
            None => {
                return Err(Ending::Unknown { message: "its rows were not all there by the deadline".into() })
            }
        }
        Ok(rows)
    }

    /// The rows one by one, as a stream.
    pub fn rows(self) -> impl Stream<Item = Result<Vec<Value>, Ending>> + 'a {
        stream::unfold((self, VecDeque::new()), |(mut running, mut ready)| async move {
            loop {
                if let Some(row) = ready.pop_front() {
                    return Some((Ok(row), (running, ready)));
                }
                match running.batch().await {
                    Ok(Some(batch)) => ready.extend(batch.rows),
                    Ok(None) => return None,
                    Err(ending) => return Some((Err(ending), (running, ready))),
                }
            }
        })
    }

    /// Tries so far.
    pub fn sends(&self) -> u32 {
        self.case.sends
    }

    /// For cancelling it from another task.
    pub fn canceller(&self) -> Canceller<'a> {
        Canceller { client: self.client, place: self.place.clone() }
    }

    /// Cancels it and learns what came of that: it may have ended first.
    pub async fn cancel(mut self) -> Cancelled {
        match self.state {
            State::Fresh => return Cancelled::Stopped,
            State::Over => return Cancelled::Late(Ok(())),
            State::Open { .. } => self.canceller().cancel().await,
        }
        loop {
            match self.page().await {
                Ok(Some(_)) => {}
                Ok(None) => return Cancelled::Late(Ok(())),
                Err(Ending::Declined { name, .. }) if name == CANCELED => return Cancelled::Stopped,
                Err(Ending::Unknown { .. }) => return Cancelled::Unknown,
                Err(ending) => return Cancelled::Late(Err(ending)),
            }
        }
    }

    /// One page, empty ones too.
    async fn page(&mut self) -> Result<Option<Batch>, Ending> {
        loop {
            let left = self.client.left(&self.case);
            let limit = if self.case.delivered { self.client.options.patience } else { left };
            let step = async {
                match &self.state {
                    State::Over => Ok(None),
                    State::Fresh => self.begin(left).await.map(Some),
                    State::Open { .. } => self.follow().await,
                }
            };
            // On the heap: it holds whole requests, and is moved through several layers.
            let step = timeout(limit + Duration::from_millis(500), Box::pin(step)).await;
            let step =
                step.unwrap_or_else(|| Err(Stopped::new(Stop::Lost, "no answer by the deadline".into())));
            match step {
                Ok(batch) => return Ok(batch),
                Err(stopped) => self.judge(stopped).await?,
            }
        }
    }

    /// A try has stopped: returns if there is to be another one.
    async fn judge(&mut self, stopped: Stopped) -> Result<(), Ending> {
        let sick =
            matches!(stopped.stop, Stop::NotWritten | Stop::TurnedAway | Stop::PostUnanswered | Stop::Lost);
        self.close(!sick);
        self.case.advice = stopped.advice;
        self.case.cancelled = self.place.wanted.get();
        let (table, now) = (&self.client.table, self.client.now());
        let next = {
            let mut budget = self.client.budget.borrow_mut();
            table.decide(stopped.stop, &self.case, now, &mut budget, rand::random())
        };
        match next {
            Next::Send { after } => {
                (self.state, self.named) = (State::Fresh, false);
                sleep(after).await;
                Ok(())
            }
            Next::End => Err(stopped.ending),
            Next::Poll { .. } | Next::Unknown => Err(Ending::Unknown { message: stopped.ending.to_string() }),
        }
    }

    /// Ends the try, and says how its gateway did.
    fn close(&mut self, good: bool) {
        *self.place.at.borrow_mut() = None;
        let client = self.client;
        match std::mem::replace(&mut self.state, State::Over) {
            State::Open { which, connection, next, begun } => {
                client.choice.borrow_mut().done(which, client.now(), begun.elapsed(), good);
                if next.is_none() && good {
                    client.pools[which].put(*connection);
                }
            }
            // It stopped before it was taken: `begin` has counted it.
            State::Fresh | State::Over => {}
        }
    }

    /// Posts it.
    async fn begin(&mut self, left: Duration) -> Result<Batch, Stopped> {
        let client = self.client;
        let dice = [rand::random(), rand::random()];
        let picked = client.choice.borrow_mut().pick(client.now(), dice, self.last);
        let which = picked.ok_or_else(|| Stopped::new(Stop::Declined, "no gateway is configured".into()))?;
        self.last = Some(which);
        self.case.sends += 1;
        client.sent.set(client.sent.get() + 1);
        let begun = Instant::now();
        // Counted out again however this ends, also if the caller gives up on us.
        let mut counted = Counted { client, which, begun, good: Some(false) };
        let pool = &client.pools[which];
        let headers = client.headers(pool, &self.query, left);
        let within = left.min(Duration::from_secs(2));
        let repeatable = self.query.effect == Effect::Repeatable;
        let connection = if repeatable { pool.get(within).await } else { pool.connect(within).await };
        let mut connection =
            connection.map_err(|e| Stopped::new(Stop::NotWritten, format!("no connection: {e}")))?;
        let posted = connection.call("POST", STATEMENT, &headers, self.query.sql.as_bytes()).await;
        let message = match posted {
            Ok(message) => message,
            Err(e) if !connection.has_written => return Err(Stopped::new(Stop::NotWritten, e.to_string())),
            Err(e) => return Err(Stopped::new(Stop::PostUnanswered, e.to_string())),
        };
        match message.status() {
            200 => {}
            429 | 503 => return Err(Stopped::new(Stop::TurnedAway, body(&message))),
            _ => {
                counted.good = Some(true);
                let ending =
                    Ending::Declined { name: format!("HTTP {}", message.status()), message: body(&message) };
                return Err(Stopped { stop: Stop::Declined, ending, advice: None });
            }
        }
        let told = message.headers.get("X-Violetward-Repeat-Window-Millis").and_then(|w| w.parse().ok());
        self.case.window = told.map(Duration::from_millis).or(self.case.window);
        self.case.anywhere = message.headers.get("X-Violetward-Any-Gateway") == Some("true");
        counted.good = None;
        self.state = State::Open { which, connection: Box::new(connection), next: None, begun };
        let batch = self.take(&message)?;
        if self.place.wanted.get() {
            // Cancelled before it had an address.
            let at = self.place.at.borrow().clone();
            if let Some((which, path)) = at {
                client.delete(which, &path).await;
            }
        }
        Ok(batch)
    }

    /// Asks for the next page; the table says how often a broken poll is asked again.
    async fn follow(&mut self) -> Result<Option<Batch>, Stopped> {
        let client = self.client;
        let State::Open { which, connection, next, begun } = &mut self.state else { return Ok(None) };
        let Some(path) = next.clone() else {
            self.close(true);
            return Ok(None);
        };
        self.case.broken_polls = 0;
        let asked = Instant::now();
        let message = loop {
            let mut headers = Headers::default();
            headers.push("Host", client.pools[*which].address().to_string());
            let why = match connection.call("GET", &path, &headers, b"").await {
                Ok(message) if message.status() == 200 => break message,
                Ok(message) if self.case.anywhere && matches!(message.status(), 502..=504) => body(&message),
                Ok(message) => {
                    let why = format!("{} to a poll: {}", message.status(), body(&message));
                    return Err(Stopped::new(Stop::Lost, why));
                }
                Err(e) => e.to_string(),
            };
            loop {
                let mut none = Budget::new(0.0, 0.0, Duration::ZERO);
                let next = client.table.decide(
                    Stop::PollBroken,
                    &self.case,
                    client.now(),
                    &mut none,
                    rand::random(),
                );
                let Next::Poll { after } = next else {
                    return Err(Stopped::new(Stop::Lost, format!("a poll broke: {why}")));
                };
                self.case.broken_polls += 1;
                sleep(after).await;
                if self.case.anywhere && self.case.broken_polls > 1 {
                    let mut choice = client.choice.borrow_mut();
                    choice.done(*which, client.now(), begun.elapsed(), false);
                    *which = (*which + 1) % client.pools.len();
                    choice.join(*which);
                }
                if let Ok(fresh) = client.pools[*which].connect(Duration::from_secs(1)).await {
                    **connection = fresh;
                    break;
                }
            }
        };
        let batch = self.take(&message)?;
        let pause = self.pace.pause(asked.elapsed(), !batch.rows.is_empty(), rand::random());
        let goes_on = matches!(&self.state, State::Open { next: Some(_), .. });
        if goes_on && !pause.is_zero() {
            sleep(pause).await;
        }
        Ok(Some(batch))
    }

    /// Reads a page.
    fn take(&mut self, message: &Message) -> Result<Batch, Stopped> {
        let results: QueryResults = serde_json::from_slice(&message.body)
            .map_err(|e| Stopped::new(Stop::Lost, format!("an answer that can't be read: {e}")))?;
        let State::Open { which, next, .. } = &mut self.state else {
            return Err(Stopped::new(Stop::Lost, "a page of nothing".into()));
        };
        *next = None;
        if let Some(error) = &results.error {
            let info = error.failure_info.as_deref();
            let advice = info.and_then(|i| i.retry_after_millis).map(Duration::from_millis);
            let message = error.message.clone();
            let (stop, ending) = match error.error_name.as_str() {
                REFUSED => {
                    (Stop::Refused, Ending::Refused { retry_after: advice.unwrap_or_default(), message })
                }
                FAILED => (Stop::Failed, Ending::Failed { message }),
                name => (Stop::Declined, Ending::Declined { name: name.to_owned(), message }),
            };
            return Err(Stopped { stop, ending, advice });
        }
        *next = results.next_uri.as_ref().map(|uri| uri.find("/v1/").map_or("/", |at| &uri[at..]).to_owned());
        *self.place.at.borrow_mut() = next.clone().map(|path| (*which, path));
        let mut batch = Batch::default();
        if let (false, Some(columns)) = (self.named, &results.columns) {
            self.named = true;
            let columns: Vec<Value> = serde_json::from_str(columns.get()).unwrap_or_default();
            batch.columns =
                columns.iter().map(|c| c["name"].as_str().unwrap_or_default().to_owned()).collect();
        }
        if let Some(data) = &results.data {
            batch.rows = serde_json::from_str::<Vec<Vec<Value>>>(data.get())
                .map_err(|e| Stopped::new(Stop::Lost, format!("rows that can't be read: {e}")))?;
        }
        if let Some(update) = &results.update_type {
            batch.update = Some((update.clone(), results.update_count));
        }
        Ok(batch)
    }
}

/// Counts a try out of its gateway's in-flight if it goes no further.
struct Counted<'a> {
    client: &'a Client,
    which: usize,
    begun: Instant,
    good: Option<bool>,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        if let Some(good) = self.good {
            let mut choice = self.client.choice.borrow_mut();
            choice.done(self.which, self.client.now(), self.begun.elapsed(), good);
        }
    }
}

impl Client {
    /// A client of these gateways.
    pub fn new(gateways: &[SocketAddr], options: Options, budget: Budget) -> Self {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        Client {
            pools: gateways.iter().map(|&a| Pool::new(a, limits, 32)).collect(),
            options,
            table: Table::default(),
            budget: RefCell::new(budget),
            choice: RefCell::new(Choice::new(gateways.len())),
            start: Instant::now(),
            sent: Cell::new(0),
        }
    }

    /// Tries of all statements so far, first ones included.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Begins a statement whose rows are read as they come. Nothing is sent before they are asked for.
    pub fn open(&self, query: Query) -> Running<'_> {
        let now = self.now();
        self.budget.borrow_mut().begin(now);
        let case = query.case(now, &self.options);
        Running {
            client: self,
            query,
            case,
            state: State::Fresh,
            place: Rc::default(),
            last: None,
            pace: Pace::default(),
            named: false,
        }
    }

    /// Runs a statement to its end, all rows before its deadline.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run(&self, query: &Query) -> Result<Rows, Ending> {
        self.open(query.clone()).collect().await
    }

    fn left(&self, case: &Case) -> Duration {
        Duration::from_micros(case.due.saturating_sub(self.now()))
    }

    /// Tells a gateway that a statement is not wanted any more.
    async fn delete(&self, which: usize, path: &str) {
        let pool = &self.pools[which];
        let mut headers = Headers::default();
        headers.push("Host", pool.address().to_string());
        let told = async {
            let mut connection = pool.get(Duration::from_secs(1)).await.ok()?;
            let message = connection.call("DELETE", path, &headers, b"").await.ok()?;
            if message.keep_alive {
                pool.put(connection);
            }
            Some(())
        };
        timeout(Duration::from_secs(2), told).await;
    }

    fn headers(&self, pool: &Pool, query: &Query, left: Duration) -> Headers {
        let context = Context {
            user: self.options.user.clone(),
            source: self.options.source.clone(),
            tags: query.tags(),
            session: vec![("query_max_run_time".into(), format!("{}ms", left.as_millis().max(1)))],
            trace_token: query.mark.clone(),
            estimated_cpu: query.cpu,
            estimated_memory: query.memory,
            ..Context::default()
        };
        let mut headers = Headers::default();
        headers.push("Host", pool.address().to_string());
        context.write(&mut headers);
        headers
    }
}

fn body(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).trim().to_owned()
}
