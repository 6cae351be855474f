//! One attempt on one engine, over the engine's side of the statement protocol. It makes no decisions but
//! reports the outcome of the attempt to the core, above all whether the engine can have read the statement.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future;
use violetward::{Load, Outcome};
use violetward_net::{timeout, Connection, NetError, Pool};
use violetward_statement::http::{Headers, Message};
use violetward_statement::pages::Part;
use violetward_statement::results::{NodeStatus, QueryResults, STATEMENT};
use violetward_statement::session::{Context, EPOCH, SESSION_CHANGES};

use violetward_session::kind::PROPERTY;

use crate::core::protection;
use crate::core::{AttemptId, EnginePage, Launch, ResumedAttempt};
use crate::host::Host;

/// How long the first answer of a cancelled attempt is awaited, so that its work can still be cancelled.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of empty pages that another gateway may have fetched since it last recorded its progress.
const MAX_SKIPPED_PAGES: usize = 64;

/// Maximum number of polls of one page if the engine answers 503.
const MAX_BUSY_POLLS: u32 = 5;

/// Base of the exponential delay between polls answered with 503, in milliseconds.
const BUSY_POLL_BACKOFF_MS: u64 = 50;

/// Maximum number of polls of one page if connections break.
const MAX_BROKEN_POLLS: u32 = 2;

/// Session headers of an engine's answer: changes of the client's session, and the epoch of the engine
/// process.
#[derive(Default)]
struct SessionHeaders {
    changes: Vec<(String, String)>,
    epoch: Option<String>,
}

/// Outcome and message of an attempt that ended without an answer.
struct AttemptError(Outcome, String);

/// Runs an attempt until it has ended or is stopped.
pub(crate) async fn attempt(
    host: Rc<Host>,
    launch: Launch,
    fetch_requests: Receiver<()>,
    stop_requests: Receiver<bool>,
) {
    let id = launch.attempt;
    let pool = host.pool(launch.address);
    let (first_sender, first_page) = async_channel::bounded::<Result<EnginePage, AttemptError>>(1);
    let next_uri: Rc<std::cell::RefCell<Option<String>>> = Rc::default();
    // The post continues when the attempt is stopped: only its answer says what to cancel.
    {
        let (host, next_uri, pool) = (host.clone(), next_uri.clone(), pool.clone());
        let owner = host.clone();
        owner.spawn(async move {
            let result = post(&host, &pool, &launch).await;
            let result = result.map(|(results, session)| {
                *next_uri.borrow_mut() = results.next_uri.clone();
                engine_page(results, session)
            });
            if first_sender.try_send(result).is_err() {
                // Nobody waits for the answer any more: the attempt has been cancelled meanwhile.
                cancel(&host, &pool, &next_uri).await;
            }
        });
    }
    run_attempt(&host, id, &pool, &first_page, &fetch_requests, &stop_requests, &next_uri).await;
}

/// Continues an attempt of another gateway until it has ended or is stopped.
pub(crate) async fn resume(
    host: Rc<Host>,
    resumed: ResumedAttempt,
    fetch_requests: Receiver<()>,
    stop_requests: Receiver<bool>,
) {
    let pool = host.pool(resumed.address);
    let (first_sender, first_page) = async_channel::bounded::<Result<EnginePage, AttemptError>>(1);
    let next_uri: Rc<std::cell::RefCell<Option<String>>> = Rc::new(Some(resumed.uri.clone()).into());
    {
        let (host, next_uri, pool, id) = (host.clone(), next_uri.clone(), pool.clone(), resumed.attempt);
        let owner = host.clone();
        owner.spawn(async move {
            let result = poll_resumed(&host, &pool, id, &resumed.uri).await.map(|(results, session)| {
                *next_uri.borrow_mut() = results.next_uri.clone();
                engine_page(results, session)
            });
            first_sender.try_send(result).ok();
        });
    }
    run_attempt(&host, resumed.attempt, &pool, &first_page, &fetch_requests, &stop_requests, &next_uri).await;
}

/// Requests the first page that the client has not received. Empty pages that the other gateway has fetched
/// since are no longer available and are skipped. None of the skipped pages had rows: the other gateway
/// requested no page beyond one with rows before the client had received that one.
async fn poll_resumed(
    host: &Rc<Host>,
    pool: &Pool,
    id: AttemptId,
    uri: &str,
) -> Result<(QueryResults, SessionHeaders), AttemptError> {
    let mut uri = uri.to_owned();
    for _ in 0..MAX_SKIPPED_PAGES {
        match poll_once(host, pool, &uri).await {
            Err(PollError::Gone) => {}
            Err(PollError::Failed(error)) => return Err(error),
            Ok(found) => return Ok(found),
        }
        let next = protection::page_number(&uri).and_then(|n| protection::with_page_number(&uri, n + 1));
        uri = next.ok_or_else(unknown_statement)?;
    }
    tracing::warn!(n = id.0 .0, "page to resume from is no longer available at the engine");
    Err(unknown_statement())
}

/// The engine does not know the statement any more.
fn unknown_statement() -> AttemptError {
    AttemptError(Outcome::Reset, "it no longer knows the statement".into())
}

/// Follows an attempt's pages until it has ended or is stopped, and reports its end.
async fn run_attempt(
    host: &Rc<Host>,
    id: AttemptId,
    pool: &Pool,
    first_page: &Receiver<Result<EnginePage, AttemptError>>,
    fetch_requests: &Receiver<()>,
    stop_requests: &Receiver<bool>,
    next_uri: &Rc<std::cell::RefCell<Option<String>>>,
) {
    let pages = async {
        let outcome = fetch_pages(host, id, pool, first_page, fetch_requests, next_uri).await;
        if let Err(AttemptError(outcome, why)) = outcome {
            host.with_core(|core, now| core.attempt_failed(now, id, outcome, &why));
        }
        None
    };
    // A closed channel does not stop the attempt: the core has dropped it because it is over.
    let stop = async { stop_requests.recv().await.ok() };
    let stopped = future::or(pages, stop).await;
    host.remove_attempt(id);
    match stopped {
        Some(true) => {
            first_page.close();
            cancel(host, pool, next_uri).await;
        }
        // Another gateway continues the attempt, so a post in flight must not be cancelled when its answer
        // arrives.
        Some(false) => drop(first_page.recv().await),
        None => {}
    }
}

/// Sends the statement to the engine.
async fn post(
    host: &Rc<Host>,
    pool: &Pool,
    launch: &Launch,
) -> Result<(QueryResults, SessionHeaders), AttemptError> {
    let mut headers = host_header(launch.address);
    headers.push("Via", format!("1.1 violetward-{}", host.config.settings.own_id.0));
    headers.push("Content-Type", "text/plain; charset=utf-8");
    launch.context.write(&mut headers);
    let within = host.config.host.connect_within;
    let connection = if launch.new_connection { pool.connect(within).await } else { pool.get(within).await };
    let mut connection =
        connection.map_err(|e| AttemptError(Outcome::ConnectFailed, format!("no connection: {e}")))?;
    // The last check before sending: connecting may have taken long, and this process may have been paused.
    if !host.may_send(launch.attempt, &launch.engine) {
        return Err(AttemptError(Outcome::Moot, "not sent: the rules have changed".into()));
    }
    let answer = connection.call("POST", STATEMENT, &headers, launch.text.as_bytes()).await;
    let message = match answer {
        Ok(message) => message,
        Err(e) if !connection.has_written => {
            return Err(AttemptError(Outcome::ConnectFailed, format!("nothing was sent: {e}")))
        }
        Err(e) => return Err(net_error(&e)),
    };
    match message.status() {
        200 => read(pool, connection, message),
        // By the protocol, these codes say that the statement was not accepted.
        429 | 503 => Err(AttemptError(Outcome::Full, format!("turned away with {}", message.status()))),
        status => Err(AttemptError(Outcome::Error, format!("answered {status} to the statement"))),
    }
}

/// The headers of every request to an engine.
fn host_header(address: SocketAddr) -> Headers {
    let mut headers = Headers::default();
    headers.push("Host", address.to_string());
    headers
}

/// The failure of an attempt whose connection failed.
fn net_error(error: &NetError) -> AttemptError {
    match error {
        NetError::Io(e) => AttemptError(Outcome::Reset, format!("the connection broke: {e}")),
        NetError::Http(e) => AttemptError(Outcome::Error, format!("its answer cannot be read: {e}")),
        NetError::TimedOut => AttemptError(Outcome::Timeout, "no answer in time".into()),
    }
}

/// Reads an engine's answer and returns its connection to the pool.
fn read(
    pool: &Pool,
    connection: Connection,
    message: Message,
) -> Result<(QueryResults, SessionHeaders), AttemptError> {
    let results = serde_json::from_slice::<QueryResults>(&message.body);
    let results =
        results.map_err(|e| AttemptError(Outcome::Error, format!("its answer cannot be read: {e}")))?;
    let mut session =
        SessionHeaders { epoch: message.headers.get(EPOCH).map(str::to_owned), ..SessionHeaders::default() };
    for (name, value) in message.headers.iter() {
        if SESSION_CHANGES.iter().any(|s| s.eq_ignore_ascii_case(name)) {
            session.changes.push((name.to_owned(), value.to_owned()));
        }
    }
    if message.keep_alive {
        pool.put(connection);
    }
    Ok((results, session))
}

fn engine_page(results: QueryResults, session: SessionHeaders) -> EnginePage {
    let bytes = results.data.as_ref().map_or(0, |d| d.get().len());
    EnginePage {
        part: Part {
            columns: results.columns.map(Into::into),
            data: results.data.map(Into::into),
            bytes,
            next: None,
        },
        stats: results.stats,
        last: results.next_uri.is_none(),
        error: results.error,
        update: results.update_type.map(|u| (u, results.update_count)),
        session: session.changes,
        epoch: session.epoch,
        next_uri: results.next_uri,
    }
}

/// Fetches the pages up to the last one, each when the core permits it.
async fn fetch_pages(
    host: &Rc<Host>,
    id: AttemptId,
    pool: &Pool,
    first_page: &Receiver<Result<EnginePage, AttemptError>>,
    fetch_requests: &Receiver<()>,
    next_uri: &Rc<std::cell::RefCell<Option<String>>>,
) -> Result<(), AttemptError> {
    let dropped = || AttemptError(Outcome::Reset, "the attempt was dropped".into());
    let mut page = first_page.recv().await.map_err(|_| dropped())??;
    loop {
        let last = page.last || page.error.is_some();
        host.with_core(|core, now| core.page_received(now, id, page));
        if last {
            return Ok(());
        }
        if fetch_requests.recv().await.is_err() {
            return Ok(());
        }
        let uri = next_uri.borrow().clone().ok_or_else(dropped)?;
        let (results, session) = poll(host, pool, &uri).await?;
        *next_uri.borrow_mut() = results.next_uri.clone();
        page = engine_page(results, session);
    }
}

/// Requests the next page of an attempt.
async fn poll(host: &Host, pool: &Pool, uri: &str) -> Result<(QueryResults, SessionHeaders), AttemptError> {
    poll_once(host, pool, uri).await.map_err(|error| match error {
        PollError::Gone => unknown_statement(),
        PollError::Failed(error) => error,
    })
}

/// Why a page could not be fetched.
enum PollError {
    /// The engine has dropped the page, because a later one has been requested.
    Gone,
    /// The attempt fails.
    Failed(AttemptError),
}

impl From<AttemptError> for PollError {
    fn from(error: AttemptError) -> Self {
        PollError::Failed(error)
    }
}

/// Requests a page. Repeating the request gives the same page, so it is tried once more on another connection
/// if the first one breaks.
async fn poll_once(host: &Host, pool: &Pool, uri: &str) -> Result<(QueryResults, SessionHeaders), PollError> {
    let target = path(uri);
    let mut tries = 0;
    loop {
        tries += 1;
        let within = host.config.host.connect_within;
        let connection = pool.get(within).await;
        let mut connection = connection
            .map_err(|e| AttemptError(Outcome::Reset, format!("no connection for the next page: {e}")))?;
        match connection.call("GET", target, &host_header(pool.address()), b"").await {
            Ok(message) if message.status() == 200 => return Ok(read(pool, connection, message)?),
            Ok(message) if message.status() == 404 => return Err(unknown_statement().into()),
            Ok(message) if message.status() == 410 => {
                if message.keep_alive {
                    pool.put(connection);
                }
                return Err(PollError::Gone);
            }
            Ok(message) if message.status() == 503 && tries < MAX_BUSY_POLLS => {
                violetward_net::sleep(Duration::from_millis(BUSY_POLL_BACKOFF_MS << tries)).await;
            }
            Ok(message) => {
                let why = format!("answered {} to a poll", message.status());
                return Err(AttemptError(Outcome::Error, why).into());
            }
            Err(NetError::Io(_)) if tries < MAX_BROKEN_POLLS => pool.clear(),
            Err(e) => return Err(net_error(&e).into()),
        }
    }
}

/// The path of a URI.
fn path(uri: &str) -> &str {
    let after = uri.find("://").map_or(uri, |at| &uri[at + 3..]);
    after.find('/').map_or("/", |at| &after[at..])
}

/// Cancels the work of an attempt on its engine, if cancellation is enabled.
async fn cancel(host: &Host, pool: &Pool, next_uri: &Rc<std::cell::RefCell<Option<String>>>) {
    if !host.config.settings.may_cancel {
        return;
    }
    let Some(uri) = next_uri.borrow_mut().take() else { return };
    let exchange = async {
        let Ok(mut connection) = pool.get(host.config.host.connect_within).await else { return };
        let answer = connection.call("DELETE", path(&uri), &host_header(pool.address()), b"").await;
        if answer.is_ok_and(|m| m.keep_alive) {
            pool.put(connection);
        }
    };
    timeout(CLEANUP_TIMEOUT, exchange).await;
}

/// Releases a lost session on its engine. Best effort: what remains is dropped by the engine's own idle
/// limit.
pub(crate) async fn release(host: &Host, address: SocketAddr, inner: &str, transaction: bool) {
    let pool = host.pool(address);
    let session = vec![(PROPERTY.to_owned(), inner.to_owned())];
    let transaction_id = transaction.then(|| inner.to_owned());
    let context = Context {
        user: "violetward".into(),
        session,
        transaction: transaction_id,
        // Keeps it distinct from the attempts of requests.
        trace_token: Some(format!("release-{address}-{inner}")),
        ..Context::default()
    };
    let text = format!("RESET SESSION {PROPERTY}");
    let mut headers = host_header(address);
    headers.push("Via", format!("1.1 violetward-{}", host.config.settings.own_id.0));
    context.write(&mut headers);
    let exchange = async {
        let mut connection = pool.get(host.config.host.connect_within).await.ok()?;
        let message = connection.call("POST", STATEMENT, &headers, text.as_bytes()).await.ok()?;
        let (results, _) = read(&pool, connection, message).ok()?;
        let uri = results.next_uri?;
        poll(host, &pool, &uri).await.ok()
    };
    timeout(CLEANUP_TIMEOUT, exchange).await;
}

/// Requests the status of an engine. Returns its load and the epoch of its process, or `None` without a valid
/// answer in time.
pub(crate) async fn status(host: &Host, address: SocketAddr) -> Option<(Load, Option<String>)> {
    let pool = host.pool(address);
    let exchange = async {
        let mut connection = pool.get(host.config.host.connect_within).await.ok()?;
        let message = connection.call("GET", "/v1/status", &host_header(address), b"").await.ok()?;
        let epoch = message.headers.get(EPOCH).map(str::to_owned);
        let status =
            serde_json::from_slice::<NodeStatus>(&message.body).ok().filter(|_| message.status() == 200);
        if message.keep_alive {
            pool.put(connection);
        }
        status.map(|status| (status, epoch))
    };
    let (status, epoch) = timeout(host.config.host.probe_within, exchange).await??;
    let memory = (status.heap_available > 0).then(|| status.heap_used as f64 / status.heap_available as f64);
    let load = Load {
        in_flight: status.running_statements.map(f64::from),
        cores: Some(status.process_cpu_load),
        memory,
        disks: status.disk_load,
    };
    Some((load, epoch))
}
