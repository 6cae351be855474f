//! One statement, as a client of the statement protocol sees it. Keeps to the protocol and to nothing else: it posts
//! once, polls as told, and writes down what it was told and when.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use violetward_net::{sleep, timeout, Connection, NetError, Pool};
use violetward_standin::hint::Hint;
use violetward_standin::server::clock;
use violetward_statement::carried::Carried;
use violetward_statement::http::{Headers, Message};
use violetward_statement::results::{QueryResults, FAILED, REFUSED, STATEMENT};
use violetward_statement::session::Context;

/// How a statement ended for its client.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// All rows came.
    Served,
    /// Refused, with advice in milliseconds.
    Refused(u64),
    /// Failed.
    Failed,
    /// An error of the engine about the statement itself.
    Declined(String),
    /// The gateway no longer answered, or no longer knew it.
    Lost(String),
    /// It was not taken: no connection, or turned away before.
    NotTaken(String),
    /// The client stopped waiting.
    GaveUp,
}

/// What a client writes down of one statement. Times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its mark, unlike any other.
    pub trace: String,
    /// Which gateway it went to.
    pub gateway: usize,
    /// Its class and its order key.
    pub class: String,
    /// See `class`.
    pub key: String,
    /// When it was posted, and when it was known to be taken.
    pub posted: u64,
    /// See `posted`.
    pub taken: Option<u64>,
    /// When its client stops waiting.
    pub due: u64,
    /// When it counts in full.
    pub aim: u64,
    /// What it is worth, and what it still is after the aim.
    pub worth: f64,
    /// See `worth`.
    pub late_worth: f64,
    /// The end, and when it was told.
    pub seen: Seen,
    /// See `seen`.
    pub ended: u64,
    /// Another asking for the last page gave something else.
    pub contradicted: Option<String>,
    /// Rows.
    pub rows: usize,
    /// How its session ended, if it ran in one.
    #[serde(default)]
    pub session: Option<String>,
    /// Each time a poll broke and the statement was asked for elsewhere: when, and when its next page came.
    #[serde(default)]
    pub moved: Vec<(u64, u64)>,
}

/// Where a client asks for a page that its gateway does not give it.
pub type Elsewhere<'a> = Option<&'a dyn Fn() -> Vec<Rc<Pool>>>;

/// How long a poll may take before it is asked elsewhere: more than the longest that a gateway holds one.
const POLL: Duration = Duration::from_millis(2_500);

/// What is to be asked.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The text.
    pub sql: String,
    /// What travels with it.
    pub context: Context,
    /// Half-filled: mark, gateway, class, key, worth; times are spans from the post.
    pub record: Record,
    /// How long the client waits.
    pub patience: Duration,
    /// Ask for the last page once more.
    pub asks_again: bool,
    /// Stop polling after so many pages.
    pub leaves_after: Option<usize>,
    /// Run it in a transaction of its own.
    pub pinned: bool,
}

fn headers(address: SocketAddr) -> Headers {
    let mut headers = Headers::default();
    headers.push("Host", address.to_string());
    headers
}

pub(crate) fn path(uri: &str) -> &str {
    let after = uri.find("://").map_or(uri, |at| &uri[at + 3..]);
    after.find('/').map_or("/", |at| &after[at..])
}

/// A statement of a transaction around another one.
fn around(ask: &Ask, sql: &str, what: &str, carried: &Carried) -> Ask {
    let hint = Hint { work: 1.0, weight: 1.0, class: "lookup".into(), ..Hint::default() };
    let context = Context {
        user: ask.context.user.clone(),
        source: ask.context.source.clone(),
        tags: vec!["lookup".into()],
        trace_token: Some(format!("{}-{what}", ask.record.trace)),
        estimated_cpu: Some(Duration::from_millis(1)),
        transaction: Some(carried.transaction.clone().unwrap_or_else(|| "NONE".into())),
        ..Context::default()
    };
    let sql = format!("{sql} {}", hint.comment());
    Ask { sql, context, asks_again: false, leaves_after: None, pinned: false, ..ask.clone() }
}

/// Ends a transaction; a refusal is tried again for a while, as it says that it may.
async fn commit(pool: &Rc<Pool>, ask: &Ask, carried: &mut Carried) -> String {
    let until = Instant::now() + Duration::from_secs(4);
    loop {
        let end = around(ask, "COMMIT", "commit", carried);
        match follow(pool, &end, &mut ask.record.clone(), carried).await {
            Seen::Served => return "committed".into(),
            Seen::Refused(after) if Instant::now() < until => {
                sleep(Duration::from_millis(after.clamp(20, 300))).await;
            }
            Seen::Refused(_) => return "refused to the end".into(),
            Seen::Failed => return "failed, and told so".into(),
            Seen::Declined(name) => return format!("declined: {name}"),
            Seen::Lost(_) | Seen::NotTaken(_) | Seen::GaveUp => return "gateway lost".into(),
        }
    }
}

/// Runs one through a front: it goes to its gateway, and to another while none has taken the statement.
pub async fn run_somewhere(
    addresses: impl Fn() -> Vec<SocketAddr>,
    pool: impl Fn(SocketAddr) -> Rc<Pool>,
    ask: &mut Ask,
    goes_on: bool,
) -> Record {
    let mut record = ask.record.clone();
    let all = || addresses().into_iter().map(&pool).collect::<Vec<_>>();
    let elsewhere: Elsewhere<'_> = if goes_on { Some(&all) } else { None };
    for _ in 0..addresses().len() {
        // Asked anew each time: a gateway may have started again meanwhile.
        let all = addresses();
        record = run_with(pool(all[ask.record.gateway % all.len()]), ask.clone(), elsewhere).await;
        if !matches!(record.seen, Seen::NotTaken(_)) {
            break;
        }
        ask.record.gateway = (ask.record.gateway + 1) % all.len();
    }
    record
}

/// Asks and waits for the end.
pub async fn run(pool: Rc<Pool>, ask: Ask) -> Record {
    run_with(pool, ask, None).await
}

/// The same; pages are asked for elsewhere while their gateway does not give them.
pub async fn run_with(pool: Rc<Pool>, ask: Ask, elsewhere: Elsewhere<'_>) -> Record {
    let mut record = ask.record.clone();
    record.posted = clock();
    record.due = record.posted + ask.patience.as_micros() as u64;
    record.aim += record.posted;
    let mut carried = Carried::default();
    let limit = ask.patience + Duration::from_millis(1500);
    let main = async {
        let mut ask = ask.clone();
        if ask.pinned {
            let start = around(&ask, "START TRANSACTION", "start", &carried);
            let seen = follow(&pool, &start, &mut record, &mut carried).await;
            if seen != Seen::Served {
                record.session = Some("not opened".into());
                return seen;
            }
            ask.context.transaction = carried.transaction.clone();
        }
        follow_with(&pool, &ask, &mut record, &mut carried, elsewhere).await
    };
    let seen = timeout(limit, main).await.unwrap_or(Seen::GaveUp);
    (record.seen, record.ended) = (seen, clock());
    if carried.transaction.is_some() {
        record.session =
            Some(timeout(limit, commit(&pool, &ask, &mut carried)).await.unwrap_or("gave up".into()));
    }
    record
}

async fn follow(pool: &Rc<Pool>, ask: &Ask, record: &mut Record, carried: &mut Carried) -> Seen {
    follow_with(pool, ask, record, carried, None).await
}

async fn follow_with(
    pool: &Rc<Pool>,
    ask: &Ask,
    record: &mut Record,
    carried: &mut Carried,
    elsewhere: Elsewhere<'_>,
) -> Seen {
    let mut pool = pool.clone();
    let mut head = headers(pool.address());
    ask.context.write(&mut head);
    let within = Duration::from_millis(500);
    let mut connection = match pool.get(within).await {
        Ok(connection) => connection,
        Err(e) => return Seen::NotTaken(format!("no connection: {e}")),
    };
    let mut message = match connection.call("POST", STATEMENT, &head, ask.sql.as_bytes()).await {
        Ok(message) => message,
        Err(e) => return Seen::NotTaken(format!("no answer to the post: {e}")),
    };
    if message.status() != 200 {
        return Seen::NotTaken(format!("{} to the post", message.status()));
    }
    record.taken = Some(clock());
    let mut pages = 0;
    let mut last: Option<String> = None;
    loop {
        let results: QueryResults = match serde_json::from_slice(&message.body) {
            Ok(results) => results,
            Err(e) => return Seen::Lost(format!("an answer that cannot be read: {e}")),
        };
        pages += 1;
        message.headers.iter().for_each(|(name, value)| carried.take(name, value));
        if let Some(data) = &results.data {
            record.rows += data.get().matches("],[").count() + 1;
        }
        let Some(next) = results.next_uri else {
            record.ended = clock();
            let seen = verdict(&results);
            if let (true, Some(last)) = (ask.asks_again, &last) {
                let again = match elsewhere {
                    Some(all) => anywhere(&all(), path(last)).await,
                    None => poll(&pool, &mut connection, path(last)).await,
                };
                let same = match &again {
                    Ok(again) if elsewhere.is_some() => {
                        again.status() != 200 || says(&again.body) == says(&message.body)
                    }
                    Ok(again) => again.body == message.body,
                    // A gateway that has died meanwhile says nothing; that is no contradiction.
                    Err(_) => true,
                };
                if !same {
                    record.contradicted = again.ok().map(|m| String::from_utf8_lossy(&m.body).into_owned());
                }
            }
            if message.keep_alive {
                pool.put(connection);
            }
            return seen;
        };
        if ask.leaves_after.is_some_and(|n| pages >= n) {
            return Seen::GaveUp;
        }
        let polled = match elsewhere {
            Some(all) => {
                let at = clock();
                poll_on(&mut pool, &mut connection, path(&next), all).await.map(|(message, turns)| {
                    if turns > 0 {
                        record.moved.push((at, clock()));
                    }
                    message
                })
            }
            None => poll(&pool, &mut connection, path(&next)).await,
        };
        message = match polled {
            Ok(message) if message.status() == 200 => message,
            Ok(message) => return Seen::Lost(format!("{} to a poll", message.status())),
            Err(e) => return Seen::Lost(format!("a poll broke: {e}")),
        };
        last = Some(next);
    }
}

/// What a last page says, whoever tells it.
fn says(body: &[u8]) -> Option<(Option<String>, Option<String>)> {
    let results: QueryResults = serde_json::from_slice(body).ok()?;
    Some((results.error.map(|e| e.error_name), results.data.map(|d| d.get().to_owned())))
}

/// Asks some gateway that answers for a page.
async fn anywhere(all: &[Rc<Pool>], target: &str) -> Result<Message, NetError> {
    let from = rand::random_range(0..all.len().max(1));
    for pool in all.iter().cycle().skip(from).take(all.len()) {
        let Ok(mut connection) = pool.connect(Duration::from_millis(500)).await else { continue };
        let head = headers(pool.address());
        let asked = connection.call("GET", target, &head, b"");
        if let Some(Ok(message)) = timeout(POLL, asked).await {
            return Ok(message);
        }
    }
    Err(NetError::TimedOut)
}

/// Polls, and goes on elsewhere while that is what the protocol says: when a connection breaks, and on 502, 503 and 504. Gives
/// how often it did. Goes on until its caller stops waiting.
async fn poll_on(
    pool: &mut Rc<Pool>,
    connection: &mut Connection,
    target: &str,
    all: &dyn Fn() -> Vec<Rc<Pool>>,
) -> Result<(Message, usize), NetError> {
    let mut turns = 0;
    let mut ready = true;
    loop {
        if ready {
            let head = headers(pool.address());
            match timeout(POLL, connection.call("GET", target, &head, b"")).await {
                Some(Ok(message)) if !matches!(message.status(), 502..=504) => return Ok((message, turns)),
                Some(Ok(_)) => {}
                Some(Err(_)) | None => pool.clear(),
            }
        }
        turns += 1;
        // A little longer each time: whoever is to take it over has to learn of the death first.
        sleep(Duration::from_millis(20 * turns.min(10) as u64)).await;
        let pools = all();
        let at = pools.iter().position(|p| p.address() == pool.address()).unwrap_or(0);
        let step = rand::random_range(1..pools.len().max(2));
        *pool = pools[(at + step) % pools.len()].clone();
        ready = match pool.connect(Duration::from_millis(500)).await {
            Ok(fresh) => {
                *connection = fresh;
                true
            }
            Err(_) => false,
        };
    }
}

/// Polls; on a broken connection once more on a fresh one, as the public clients do.
async fn poll(pool: &Pool, connection: &mut Connection, target: &str) -> Result<Message, NetError> {
    let head = headers(pool.address());
    match connection.call("GET", target, &head, b"").await {
        Err(NetError::Io(_)) => {
            pool.clear();
            *connection = pool.get(Duration::from_millis(500)).await?;
            connection.call("GET", target, &head, b"").await
        }
        other => other,
    }
}

pub(crate) fn verdict(results: &QueryResults) -> Seen {
    match &results.error {
        None => Seen::Served,
        Some(e) if e.error_name == REFUSED => {
            let advice = e.failure_info.as_ref().and_then(|i| i.retry_after_millis).unwrap_or(0);
            Seen::Refused(advice)
        }
        Some(e) if e.error_name == FAILED || e.error_name == "SESSION_LOST" => Seen::Failed,
        Some(e) => Seen::Declined(e.error_name.clone()),
    }
}
