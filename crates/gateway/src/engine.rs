//! One attempt on one engine, over the engine's side of the statement protocol. Decides nothing: it tells the core
//! honestly what came of the attempt, above all whether the statement can have been read.

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

/// How long a withdrawn attempt's first answer is awaited, so that its work can still be cancelled.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Pages without rows that another gateway may have passed over since it last told of one.
const MAX_SKIPPED_PAGES: usize = 64;

/// What an answer's headers say: changes of the session, and the life of the engine's process.
#[derive(Default)]
struct SessionHeaders {
    changes: Vec<(String, String)>,
    epoch: Option<String>,
}

/// How an attempt ends without an answer.
struct AttemptError(Outcome, String);

/// Runs an attempt until it has ended or is stop_requests.
pub(crate) async fn attempt(
    host: Rc<Host>,
    launch: Launch,
    fetch_requests: Receiver<()>,
    stop_requests: Receiver<bool>,
) {
    let id = launch.attempt;
    let pool = host.pool(launch.address);
    let (first_sender, first) = async_channel::bounded::<Result<EnginePage, AttemptError>>(1);
    let next: Rc<std::cell::RefCell<Option<String>>> = Rc::default();
    // The post goes on when the attempt is stop_requests: only its answer tells what to cancel.
    {
        let (host, next, pool) = (host.clone(), next.clone(), pool.clone());
        let owner = host.clone();
        owner.spawn(async move {
            let result = post(&host, &pool, &launch).await;
            let result = result.map(|(results, session)| {
                *next.borrow_mut() = results.next_uri.clone();
                engine_page(results, session)
            });
            if first_sender.try_send(result).is_err() {
                // Nobody waits any more: the attempt has been withdrawn meanwhile.
                cancel(&host, &pool, &next).await;
            }
        });
    }
    run_attempt(&host, id, &pool, &first, &fetch_requests, &stop_requests, &next).await;
}

/// Goes on with another gateway's attempt until it has ended or is stop_requests.
pub(crate) async fn resume(
    host: Rc<Host>,
    at: ResumedAttempt,
    fetch_requests: Receiver<()>,
    stop_requests: Receiver<bool>,
) {
    let pool = host.pool(at.address);
    let (first_sender, first) = async_channel::bounded::<Result<EnginePage, AttemptError>>(1);
    let next: Rc<std::cell::RefCell<Option<String>>> = Rc::new(Some(at.uri.clone()).into());
    {
        let (host, next, pool, id) = (host.clone(), next.clone(), pool.clone(), at.attempt);
        let owner = host.clone();
        owner.spawn(async move {
            let result = poll_resumed(&host, &pool, id, &at.uri).await.map(|(results, session)| {
                *next.borrow_mut() = results.next_uri.clone();
                engine_page(results, session)
            });
            first_sender.try_send(result).ok();
        });
    }
    run_attempt(&host, at.attempt, &pool, &first, &fetch_requests, &stop_requests, &next).await;
}

/// Asks for a page from which on its client has nothing. Pages of no rows that the other gateway has passed over are gone: it
/// asked for none after one with rows before that one had come.
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
            Err(PollError::Failed(broken)) => return Err(broken),
            Ok(found) => return Ok(found),
        }
        let next = protection::page_number(&uri).and_then(|n| protection::with_page_number(&uri, n + 1));
        uri = next.ok_or_else(unknown_statement)?;
    }
    tracing::warn!(n = id.0 .0, "an engine's page was not found again");
    Err(unknown_statement())
}

fn unknown_statement() -> AttemptError {
    AttemptError(Outcome::Reset, "it no longer knows the statement".into())
}

async fn run_attempt(
    host: &Rc<Host>,
    id: AttemptId,
    pool: &Pool,
    first: &Receiver<Result<EnginePage, AttemptError>>,
    fetch_requests: &Receiver<()>,
    stop_requests: &Receiver<bool>,
    next: &Rc<std::cell::RefCell<Option<String>>>,
) {
    let work = async {
        let outcome = follow(host, id, pool, first, fetch_requests, next).await;
        if let Err(AttemptError(outcome, why)) = outcome {
            host.with_core(|core, now| core.attempt_failed(now, id, outcome, &why));
        }
        None
    };
    // A closed channel is no stop: the core has dropped the attempt because it is over.
    let stop = async { stop_requests.recv().await.ok() };
    let was_stopped = future::or(work, stop).await;
    host.remove_attempt(id);
    match was_stopped {
        Some(true) => {
            first.close();
            cancel(host, pool, next).await;
        }
        // Another gateway goes on with it: a post that is on its way is not cancelled when its answer comes.
        Some(false) => drop(first.recv().await),
        None => {}
    }
}

async fn post(
    host: &Rc<Host>,
    pool: &Pool,
    launch: &Launch,
) -> Result<(QueryResults, SessionHeaders), AttemptError> {
    let mut headers = host_header(launch.address);
    headers.push("Via", format!("1.1 violetward-{}", host.config.settings.me.0));
    headers.push("Content-Type", "text/plain; charset=utf-8");
    launch.context.write(&mut headers);
    let within = host.config.host.connect_within;
    let connection = if launch.new_connection { pool.connect(within).await } else { pool.get(within).await };
    let mut connection =
        connection.map_err(|e| AttemptError(Outcome::ConnectFailed, format!("no connection: {e}")))?;
    // The last look: connecting may have taken long, and this process may have stood still.
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
        // By the protocol these tell that the statement has not been taken.
        429 | 503 => Err(AttemptError(Outcome::Full, format!("turned away with {}", message.status()))),
        status => Err(AttemptError(Outcome::Error, format!("answered {status} to the statement"))),
    }
}

fn host_header(address: SocketAddr) -> Headers {
    let mut headers = Headers::default();
    headers.push("Host", address.to_string());
    headers
}

fn net_error(error: &NetError) -> AttemptError {
    match error {
        NetError::Io(e) => AttemptError(Outcome::Reset, format!("the connection broke: {e}")),
        NetError::Http(e) => AttemptError(Outcome::Error, format!("its answer cannot be read: {e}")),
        NetError::TimedOut => AttemptError(Outcome::Timeout, "no answer in time".into()),
    }
}

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

/// Follows the pages to the last one, as fast as the core gives leave.
async fn follow(
    host: &Rc<Host>,
    id: AttemptId,
    pool: &Pool,
    first: &Receiver<Result<EnginePage, AttemptError>>,
    fetch_requests: &Receiver<()>,
    next: &Rc<std::cell::RefCell<Option<String>>>,
) -> Result<(), AttemptError> {
    let gone = || AttemptError(Outcome::Reset, "the attempt was dropped".into());
    let mut page = first.recv().await.map_err(|_| gone())??;
    loop {
        let last = page.last || page.error.is_some();
        host.with_core(|core, now| core.page_received(now, id, page));
        if last {
            return Ok(());
        }
        if fetch_requests.recv().await.is_err() {
            return Ok(());
        }
        let uri = next.borrow().clone().ok_or_else(gone)?;
        let (results, session) = poll(host, pool, &uri).await?;
        *next.borrow_mut() = results.next_uri.clone();
        page = engine_page(results, session);
    }
}

async fn poll(host: &Host, pool: &Pool, uri: &str) -> Result<(QueryResults, SessionHeaders), AttemptError> {
    poll_once(host, pool, uri).await.map_err(|missed| match missed {
        PollError::Gone => unknown_statement(),
        PollError::Failed(broken) => broken,
    })
}

/// Why there is no page.
enum PollError {
    /// It was there and is gone: a later one has been asked for.
    Gone,
    Failed(AttemptError),
}

impl From<AttemptError> for PollError {
    fn from(broken: AttemptError) -> Self {
        PollError::Failed(broken)
    }
}

/// Asks for a page; asking twice gives the same page, so that a broken connection is tried once more.
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
            Ok(message) if message.status() == 503 && tries < 5 => {
                violetward_net::sleep(Duration::from_millis(50 << tries)).await;
            }
            Ok(message) => {
                let why = format!("answered {} to a poll", message.status());
                return Err(AttemptError(Outcome::Error, why).into());
            }
            Err(NetError::Io(_)) if tries < 2 => pool.clear(),
            Err(e) => return Err(net_error(&e).into()),
        }
    }
}

fn path(uri: &str) -> &str {
    let after = uri.find("://").map_or(uri, |at| &uri[at + 3..]);
    after.find('/').map_or("/", |at| &after[at..])
}

/// Ends the work of an attempt, where cancels are heeded.
async fn cancel(host: &Host, pool: &Pool, next: &Rc<std::cell::RefCell<Option<String>>>) {
    if !host.config.settings.may_cancel {
        return;
    }
    let Some(uri) = next.borrow_mut().take() else { return };
    let work = async {
        let Ok(mut connection) = pool.get(host.config.host.connect_within).await else { return };
        let answer = connection.call("DELETE", path(&uri), &host_header(pool.address()), b"").await;
        if answer.is_ok_and(|m| m.keep_alive) {
            pool.put(connection);
        }
    };
    timeout(CLEANUP_TIMEOUT, work).await;
}

/// Frees what a lost session holds on its engine. Best effort: the engine's own idle limit stands behind it.
pub(crate) async fn release(host: &Host, address: SocketAddr, inner: &str, transaction: bool) {
    let pool = host.pool(address);
    let session = vec![(PROPERTY.to_owned(), inner.to_owned())];
    let transaction_id = transaction.then(|| inner.to_owned());
    let context = Context {
        user: "violetward".into(),
        session,
        transaction: transaction_id,
        // Not an attempt of any request, and told apart from those.
        trace_token: Some(format!("release-{address}-{inner}")),
        ..Context::default()
    };
    let text = format!("RESET SESSION {PROPERTY}");
    let mut headers = host_header(address);
    headers.push("Via", format!("1.1 violetward-{}", host.config.settings.me.0));
    context.write(&mut headers);
    let work = async {
        let mut connection = pool.get(host.config.host.connect_within).await.ok()?;
        let message = connection.call("POST", STATEMENT, &headers, text.as_bytes()).await.ok()?;
        let (results, _) = read(&pool, connection, message).ok()?;
        let uri = results.next_uri?;
        poll(host, &pool, &uri).await.ok()
    };
    timeout(CLEANUP_TIMEOUT, work).await;
}

/// Asks an engine how it is; `None` without a good answer in time. The life of its process comes with the load.
pub(crate) async fn status(host: &Host, address: SocketAddr) -> Option<(Load, Option<String>)> {
    let pool = host.pool(address);
    let work = async {
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
    let (status, epoch) = timeout(host.config.host.probe_within, work).await??;
    let memory = (status.heap_available > 0).then(|| status.heap_used as f64 / status.heap_available as f64);
    let load = Load {
        in_flight: status.running_statements.map(f64::from),
        cores: Some(status.process_cpu_load),
        memory,
        disks: status.disk_load,
    };
    Some((load, epoch))
}
