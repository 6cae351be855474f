//! The client: carries out what [`crate::resend`] and [`crate::choice`] decide, over the statement protocol.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use violetward_net::{sleep, timeout, Connection, Pool};
use violetward_statement::http::{Headers, Limits, Message};
use violetward_statement::results::{QueryResults, CANCELED, FAILED, REFUSED, STATEMENT};
use violetward_statement::session::Context;

use crate::choice::Choice;
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
}

/// Rows, page by page.
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
    window: Option<Duration>,
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

    /// Runs a statement to its end.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run(&self, query: &Query) -> Result<Rows, Ending> {
        let wait = query.deadline.unwrap_or(self.options.patience);
        let now = self.now();
        self.budget.borrow_mut().begin(now);
        let mut case = Case {
            effect: query.effect,
            marked: query.mark.is_some(),
            first_sent: now,
            due: now + wait.as_micros() as Micros,
            may_resend: self.options.may_resend,
            ..Case::default()
        };
        let mut last = None;
        loop {
            let dice = [rand::random(), rand::random()];
            let picked = self.choice.borrow_mut().pick(self.now(), dice, last);
            let which = picked.ok_or_else(|| Ending::Refused {
                retry_after: Duration::ZERO,
                message: "no gateway is configured".into(),
            })?;
            last = Some(which);
            case.sends += 1;
            self.sent.set(self.sent.get() + 1);
            let begun = Instant::now();
            let left = Duration::from_micros(case.due.saturating_sub(self.now()));
            let tried =
                timeout(left + Duration::from_millis(500), self.send(which, query, left, &mut case)).await;
            let tried = tried.unwrap_or_else(|| {
                let message = "no answer by the deadline".to_owned();
                Err(Stopped {
                    stop: Stop::Lost,
                    ending: Ending::Unknown { message },
                    advice: None,
                    window: None,
                })
            });
            let sick = matches!(
                tried.as_ref().err().map(|s| s.stop),
                Some(Stop::NotWritten | Stop::TurnedAway | Stop::PostUnanswered | Stop::Lost)
            );
            self.choice.borrow_mut().done(which, self.now(), begun.elapsed(), !sick);
            let stopped = match tried {
                Ok(rows) => return Ok(Rows { sends: case.sends, ..rows }),
                Err(stopped) => stopped,
            };
            case.window = stopped.window.or(case.window);
            case.advice = stopped.advice;
            let now = self.now();
            let next =
                self.table.decide(stopped.stop, &case, now, &mut self.budget.borrow_mut(), rand::random());
            match next {
                Next::Send { after } => sleep(after).await,
                Next::End => return Err(stopped.ending),
                Next::Poll { .. } | Next::Unknown => {
                    let message = stopped.ending.to_string();
                    return Err(Ending::Unknown { message });
                }
            }
        }
    }

    /// One try through one gateway, to its end.
    async fn send(
        &self,
        which: usize,
        query: &Query,
        left: Duration,
        case: &mut Case,
    ) -> Result<Rows, Stopped> {
        let pool = &self.pools[which];
        let mut window = case.window;
        let stop = |stop: Stop, message: String, window: Option<Duration>| Stopped {
            stop,
            ending: match stop {
                Stop::NotWritten | Stop::TurnedAway => {
                    Ending::Refused { retry_after: Duration::ZERO, message }
                }
                _ => Ending::Unknown { message },
            },
            advice: None,
            window,
        };
        let mut headers = self.headers(pool, query, left);
        let within = left.min(Duration::from_secs(2));
        let repeatable = query.effect == Effect::Repeatable;
        let connection = if repeatable { pool.get(within).await } else { pool.fresh(within).await };
        let mut connection =
            connection.map_err(|e| stop(Stop::NotWritten, format!("no connection: {e}"), window))?;
        let posted = connection.call("POST", STATEMENT, &headers, query.sql.as_bytes()).await;
        let mut message = match posted {
            Ok(message) => message,
            Err(e) if !connection.wrote => return Err(stop(Stop::NotWritten, e.to_string(), window)),
            Err(e) => return Err(stop(Stop::PostUnanswered, e.to_string(), window)),
        };
        match message.status() {
            200 => {}
            429 | 503 => return Err(stop(Stop::TurnedAway, body(&message), window)),
            _ => {
                let ending =
                    Ending::Declined { name: format!("HTTP {}", message.status()), message: body(&message) };
                return Err(Stopped { stop: Stop::Declined, ending, advice: None, window });
            }
        }
        let told = message.headers.get("X-Violetward-Repeat-Window-Millis").and_then(|w| w.parse().ok());
        window = told.map(Duration::from_millis).or(window);
        headers = Headers::default();
        headers.push("Host", pool.address().to_string());
        let mut rows = Rows::default();
        loop {
            let results: QueryResults = serde_json::from_slice(&message.body)
                .map_err(|e| stop(Stop::Lost, format!("an answer that can't be read: {e}"), window))?;
            if let Some(error) = &results.error {
                let info = error.failure_info.as_deref();
                let advice = info.and_then(|i| i.retry_after_millis).map(Duration::from_millis);
                let message = error.message.clone();
                let (stop, ending) = match error.error_name.as_str() {
                    REFUSED => {
                        (Stop::Refused, Ending::Refused { retry_after: advice.unwrap_or_default(), message })
                    }
                    FAILED => (Stop::Failed, Ending::Failed { message }),
                    CANCELED => (Stop::Declined, Ending::Declined { name: CANCELED.into(), message }),
                    name => (Stop::Declined, Ending::Declined { name: name.to_owned(), message }),
                };
                pool.put(connection);
                return Err(Stopped { stop, ending, advice, window });
            }
            add(&mut rows, &results);
            let Some(next) = results.next_uri else {
                if message.keep_alive {
                    pool.put(connection);
                }
                return Ok(rows);
            };
            let path = next.find("/v1/").map_or("/", |at| &next[at..]);
            (connection, message) = self
                .poll(pool, connection, path, &headers, case)
                .await
                .map_err(|e| stop(Stop::Lost, e, window))?;
        }
    }

    /// Asks for a page; the table says how often a broken poll is asked again.
    async fn poll(
        &self,
        pool: &Pool,
        mut connection: Connection,
        path: &str,
        headers: &Headers,
        case: &mut Case,
    ) -> Result<(Connection, Message), String> {
        case.broken_polls = 0;
        loop {
            let why = match connection.call("GET", path, headers, b"").await {
                Ok(message) if message.status() == 200 => return Ok((connection, message)),
                Ok(message) => return Err(format!("{} to a poll: {}", message.status(), body(&message))),
                Err(e) => e.to_string(),
            };
            loop {
                let now = self.now();
                let mut none = Budget::new(0.0, 0.0, Duration::ZERO);
                let Next::Poll { after } =
                    self.table.decide(Stop::PollBroken, case, now, &mut none, rand::random())
                else {
                    return Err(format!("a poll broke: {why}"));
                };
                case.broken_polls += 1;
                sleep(after).await;
                if let Ok(fresh) = pool.fresh(Duration::from_secs(1)).await {
                    connection = fresh;
                    break;
                }
            }
        }
    }

    fn headers(&self, pool: &Pool, query: &Query, left: Duration) -> Headers {
        let mut tags: Vec<String> = query.class.iter().cloned().collect();
        tags.extend(query.key.iter().map(|k| format!("key={k}")));
        tags.extend(query.mark.iter().map(|m| format!("repeat={m}")));
        let context = Context {
            user: self.options.user.clone(),
            source: self.options.source.clone(),
            tags,
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

fn add(rows: &mut Rows, results: &QueryResults) {
    if let (true, Some(columns)) = (rows.columns.is_empty(), &results.columns) {
        let columns: Vec<Value> = serde_json::from_str(columns.get()).unwrap_or_default();
        rows.columns = columns.iter().map(|c| c["name"].as_str().unwrap_or_default().to_owned()).collect();
    }
    if let Some(data) = &results.data {
        rows.rows.extend(serde_json::from_str::<Vec<Vec<Value>>>(data.get()).unwrap_or_default());
    }
    if let Some(update) = &results.update_type {
        rows.update = Some((update.clone(), results.update_count));
    }
}

fn body(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).trim().to_owned()
}
