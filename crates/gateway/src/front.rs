//! The statement front: the client REST protocol over HTTP/1.1. It has no knowledge of engines.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use hmac::{Hmac, Mac};
use serde::Serialize;
use sha2::Sha256;
use violetward_custody::StatementLocation;
use violetward_net::{sleep, timeout, Connection, NetError};
use violetward_statement::http::{self, Headers, Limits, Message};
use violetward_statement::pages::{self, Ending, Page, Turn};
use violetward_statement::results::{NodeStatus, PageRef, STATEMENT};
use violetward_statement::session::Context;

use crate::agreement;
use crate::core::{StatementId, Submission};
use crate::custody::{self, Acceptance, Custody, ForwardOutcome, ForwardedRequest, ForwardedResponse, Token};
use crate::host::Host;
use crate::metrics;

/// Header of the answer to a post: for how many milliseconds, counted from the first sending, engines discard
/// a repeat with this statement's mark. Absent if they do not discard repeats. Clients that do not know the
/// header ignore it.
pub const REPEAT_WINDOW: &str = "X-Violetward-Repeat-Window-Millis";

/// Header of the answer to a post: the statement's pages can be requested from any gateway of the fleet.
/// Clients that do not know the header ignore it.
pub const ANY_GATEWAY: &str = "X-Violetward-Any-Gateway";

/// Interval at which this gateway checks again who holds a statement, as far as it knows.
const LOCAL_LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which other gateways are asked again for a statement.
const REMOTE_LOOKUP_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The HTTP service of one listening socket.
pub struct Front {
    host: Rc<Host>,
    /// Key for the unguessable part of page paths.
    secret: [u8; 32],
    connections: Cell<usize>,
}

/// The answer to one request.
struct Reply {
    status: u16,
    headers: Headers,
    body: Vec<u8>,
}

impl Reply {
    fn text(status: u16, text: &str) -> Reply {
        let mut headers = Headers::default();
        headers.push("Content-Type", "text/plain; charset=utf-8");
        Reply { status, headers, body: format!("{text}\n").into_bytes() }
    }

    fn json(value: &impl Serialize) -> Reply {
        Reply::document(serde_json::to_vec(value).unwrap_or_default())
    }

    fn document(body: Vec<u8>) -> Reply {
        let mut headers = Headers::default();
        headers.push("Content-Type", "application/json");
        Reply { status: 200, headers, body }
    }
}

impl Front {
    /// Creates a front on a host. The secret must be new at every start.
    pub fn new(host: Rc<Host>, secret: [u8; 32]) -> Rc<Self> {
        let front = Rc::new(Front { host, secret, connections: Cell::new(0) });
        *front.host.front.borrow_mut() = Rc::downgrade(&front);
        front
    }

    /// Accepts connections. Never returns.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let front = self.clone();
                    self.host.spawn(async move {
                        front.connections.set(front.connections.get() + 1);
                        front.serve(socket).await;
                        front.connections.set(front.connections.get() - 1);
                    });
                }
                Err(e) => {
                    // Out of file descriptors: open connections are still served, and new ones wait in the
                    // backlog.
                    tracing::warn!("cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Serves one connection until it ends.
    async fn serve(&self, socket: Async<std::net::TcpStream>) {
        let http_limits = Limits { body: self.host.config.host.max_statement_bytes, ..Limits::default() };
        let mut connection = Connection::server(socket, http_limits);
        let unfinished = self.host.unfinished.register();
        let limits = &self.host.config.host;
        if self.connections.get() > limits.max_connections {
            let reply = Reply::text(503, "too many connections; nothing was taken");
            self.send(&mut connection, reply, false).await;
            return;
        }
        loop {
            if !connection.has_partial_message()
                && timeout(limits.connection_idle_timeout, connection.wait_readable()).await.is_none()
            {
                return;
            }
            let read = timeout(limits.request_timeout, connection.read_metered(&unfinished));
            let read = async { Some(read.await) };
            let shed = async {
                unfinished.shed().await;
                None
            };
            let Some(read) = future::or(shed, read).await else {
                connection.end_input();
                unfinished.note_freed();
                return self.refuse_for_memory(connection).await;
            };
            let message = match read {
                Some(Ok(Some(message))) => message,
                Some(Ok(None)) | Some(Err(NetError::Io(_))) => return,
                Some(Err(NetError::Http(e))) => {
                    self.send(&mut connection, Reply::text(e.status(), &e.to_string()), false).await;
                    return;
                }
                Some(Err(NetError::TimedOut)) | None => {
                    let reply = Reply::text(408, "the request was not whole in time; nothing was taken");
                    self.send(&mut connection, reply, false).await;
                    return;
                }
            };
            unfinished.note_request();
            let keep_alive = message.keep_alive;
            let Some(reply) = self.answer(&message, &connection).await else { return };
            if !self.send(&mut connection, reply, keep_alive).await || !keep_alive {
                return;
            }
        }
    }

    /// Ends a connection whose request has not come in completely, to make room for others.
    async fn refuse_for_memory(&self, mut connection: Connection) {
        let mut reply = Reply::text(503, "memory is short, and the request was not whole; nothing was taken");
        reply.headers.push("Retry-After", "1");
        self.send(&mut connection, reply, false).await;
    }

    /// Writes a reply at the pace of the client. Returns whether the client has taken it whole.
    async fn send(&self, connection: &mut Connection, reply: Reply, keep_alive: bool) -> bool {
        let mut out = Vec::with_capacity(reply.body.len() + 256);
        http::write_response(&mut out, reply.status, &reply.headers, &reply.body, keep_alive);
        connection.write_to_reader(&out, self.host.config.host.stream_idle_timeout).await.is_ok()
    }

    /// Answers a request that another gateway has forwarded.
    pub(crate) async fn answer_forwarded(&self, request: &ForwardedRequest) -> (ForwardedResponse, Vec<u8>) {
        let path = request.path.split('?').next().unwrap_or_default();
        let host = format!("http://{}", request.host);
        let until = Instant::now() + Duration::from_millis(request.wait_millis);
        let Some((custody, token)) = self.protected_page(path) else { return Default::default() };
        let arrived_at = self.host.now().saturating_sub(request.waited_millis.saturating_mul(1_000));
        let request = Request { method: &request.method, base: &host, until, arrived_at };
        match self.answer_if_held(&custody, &token, &request, None).await {
            HeldAnswer::Reply(reply) => {
                let headers = reply.headers.iter().map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
                let body_length_and_hash =
                    (reply.body.len(), crate::list::fnv1a(&String::from_utf8_lossy(&reply.body)));
                (
                    ForwardedResponse { status: reply.status, headers, body_length_and_hash, holder: None },
                    reply.body,
                )
            }
            HeldAnswer::Elsewhere(holder) => {
                (ForwardedResponse { holder, ..ForwardedResponse::default() }, Vec::new())
            }
            HeldAnswer::Disconnected => Default::default(),
        }
    }

    /// Decodes the path of a page of a protected statement.
    fn protected_page(&self, path: &str) -> Option<(Rc<Custody>, Token)> {
        let custody = self.host.custody()?;
        let token = custody.parse_token(path)?;
        Some((custody, token))
    }

    /// Answers a request for a statement that any gateway may hold.
    async fn answer_protected(
        &self,
        (custody, token): (Rc<Custody>, Token),
        message: &Message,
        query: &str,
        connection: &Connection,
    ) -> Option<Reply> {
        let (method, target) = message.request();
        let base = base_uri(message);
        let until = Instant::now() + self.poll_timeout(query);
        let arrived_at = self.host.now();
        let request = Request { method, base: &base, until, arrived_at };
        loop {
            let holder = match self.answer_if_held(&custody, &token, &request, Some(connection)).await {
                HeldAnswer::Reply(reply) => return Some(reply),
                HeldAnswer::Disconnected => return None,
                HeldAnswer::Elsewhere(holder) => holder,
            };
            let forwarded = ForwardedRequest {
                method: method.to_owned(),
                path: target.to_owned(),
                host: message.headers.get("host").unwrap_or("localhost").to_owned(),
                wait_millis: until.saturating_duration_since(Instant::now()).as_millis() as u64,
                waited_millis: 0,
                offset: 0,
            };
            match custody.forward(&self.host, &token, &forwarded, arrived_at, holder).await {
                ForwardOutcome::Response(response, body) => {
                    let mut headers = Headers::default();
                    response.headers.iter().for_each(|(name, value)| headers.push(name, value));
                    return Some(Reply { status: response.status, headers, body });
                }
                ForwardOutcome::Lost => {
                    let (from, number) = (&token.key.accepted_by.name, token.key.number);
                    tracing::warn!(
                        from,
                        number,
                        at = self.host.now(),
                        "statement lost: no gateway has a record of it"
                    );
                    return Some(lost_reply());
                }
                // A gateway that may not act now cannot take the statement over; another one may know more.
                ForwardOutcome::Unreachable
                    if Instant::now() >= until || self.host.is_draining() || !custody.may_act(&self.host) =>
                {
                    return Some(unreachable_reply())
                }
                // The statement may be taken over by this gateway or another one meanwhile.
                ForwardOutcome::Unreachable => {
                    custody::wait_for_change(&custody, until, REMOTE_LOOKUP_INTERVAL).await
                }
            }
        }
    }

    /// Answers a request for a statement that this gateway holds, or names the gateway that may hold it.
    async fn answer_if_held(
        &self,
        custody: &Rc<Custody>,
        token: &Token,
        request: &Request<'_>,
        connection: Option<&Connection>,
    ) -> HeldAnswer {
        let confirm_until = request.until.min(Instant::now() + custody.half_lease());
        loop {
            let (whereabouts, local_id) = custody.locate(&token.key);
            let may_act = custody.may_act(&self.host);
            // A gateway that may not act does not take anything over.
            let until = if may_act { request.until } else { confirm_until };
            match (whereabouts, local_id) {
                // The holder may be dead, and this gateway may take the statement over.
                (StatementLocation::Remote(life), None)
                    if Instant::now() < until && !self.is_alive(&life) =>
                {
                    custody::wait_for_change(custody, until, LOCAL_LOOKUP_INTERVAL).await;
                }
                (StatementLocation::Remote(life), _) => return HeldAnswer::Elsewhere(Some(life.name)),
                (StatementLocation::TakingOver | StatementLocation::Local, None)
                    if Instant::now() < until =>
                {
                    custody::wait_for_change(custody, until, LOCAL_LOOKUP_INTERVAL).await;
                }
                (StatementLocation::TakingOver | StatementLocation::Local, None) => {
                    return HeldAnswer::Reply(unreachable_reply())
                }
                // After a pause, this gateway must not act for the statements it holds until it has confirmed
                // that it still holds them: others may have taken them over. A gateway that forwarded the
                // poll asks those itself.
                (StatementLocation::Local, Some(_)) if !may_act => {
                    if Instant::now() >= confirm_until {
                        return match connection {
                            Some(_) => HeldAnswer::Elsewhere(None),
                            None => HeldAnswer::Reply(unreachable_reply()),
                        };
                    }
                    custody::wait_for_change(custody, confirm_until, LOCAL_LOOKUP_INTERVAL).await;
                }
                (_, Some(id)) if request.method == "DELETE" => {
                    let is_known = self.host.with_core(|core, now| core.cancel(now, id));
                    let headers = Headers::default();
                    return HeldAnswer::Reply(if is_known {
                        Reply { status: 204, headers, body: Vec::new() }
                    } else {
                        unknown_reply()
                    });
                }
                (_, Some(id)) => match self.poll(request, id, &token.page, token.after, connection).await {
                    // Another gateway has taken the statement over meanwhile.
                    Some(reply) if reply.status == 404 && custody.locate(&token.key).1.is_none() => {}
                    Some(reply) => return HeldAnswer::Reply(reply),
                    None => return HeldAnswer::Disconnected,
                },
                (StatementLocation::Ended(ending), None) => {
                    let (from, number) = (&token.key.accepted_by.name, token.key.number);
                    tracing::debug!(
                        from,
                        number,
                        at = self.host.now(),
                        "page requested after the end of its statement"
                    );
                    return HeldAnswer::Reply(self.ended_reply(token, request, ending));
                }
                (StatementLocation::Unknown, None) => return HeldAnswer::Elsewhere(None),
            }
        }
    }

    /// The reply for a statement that has ended and whose pages have been dropped.
    fn ended_reply(
        &self,
        token: &Token,
        request: &Request<'_>,
        ending: Option<violetward_custody::Ending>,
    ) -> Reply {
        match ending {
            Some(ending) => self.final_page(token, request, crate::core::ending_from_record(&ending)),
            None => gone_reply(),
        }
    }

    fn is_alive(&self, life: &violetward_custody::Incarnation) -> bool {
        self.host.peers().is_some_and(|peers| peers.is_alive(life))
    }

    /// The page that tells a statement's ending.
    fn final_page(&self, token: &Token, request: &Request<'_>, ending: Ending) -> Reply {
        if request.method == "DELETE" {
            return Reply { status: 204, headers: Headers::default(), body: Vec::new() };
        }
        let mut pages = pages::Pages::default();
        pages.resume(token.page.token, None);
        pages.finish(ending);
        match pages.take(token.page.token, true) {
            Turn::Page(page) => self.document(request.base, &token.page, &page),
            _ => unknown_reply(),
        }
    }

    /// How long a poll may wait.
    fn poll_timeout(&self, query: &str) -> Duration {
        let requested = query.split('&').find_map(|p| p.strip_prefix("maxWait="));
        let requested = requested.and_then(violetward_statement::session::duration);
        let longest = self.host.config.host.max_poll_wait;
        requested.map_or(longest, |requested| longest.min(requested))
    }

    /// Answers a request; `None` if its client has disconnected meanwhile.
    async fn answer(&self, message: &Message, connection: &Connection) -> Option<Reply> {
        let (method, target) = message.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (method, path) {
            ("POST", STATEMENT) => Some(self.post(message).await),
            ("GET", "/v1/info") => Some(self.info()),
            ("GET", "/v1/status") => Some(self.status()),
            ("GET", "/metrics") => Some(self.metrics()),
            ("GET", "/v1/members") => Some(self.members()),
            ("GET", agreement::SETTINGS_PATH) => Some(self.settings(query)),
            ("POST", agreement::SETTINGS_PATH) => Some(self.propose(message, query).await),
            ("GET", "/v1/custody") => Some(self.custody()),
            ("GET", crate::windows::PATH) => Some(self.windows()),
            ("GET", "/v1/sites") => Some(self.sites()),
            ("GET" | "DELETE", _) => match self.local_page(path) {
                Some((id, page)) if method == "GET" => {
                    let until = Instant::now() + self.poll_timeout(query);
                    let arrived_at = self.host.now();
                    let request = Request { method, base: &base_uri(message), until, arrived_at };
                    self.poll(&request, id, &page, None, Some(connection)).await
                }
                Some((id, _)) => {
                    let is_known = self.host.with_core(|core, now| core.cancel(now, id));
                    let headers = Headers::default();
                    Some(if is_known {
                        Reply { status: 204, headers, body: Vec::new() }
                    } else {
                        unknown_reply()
                    })
                }
                None => match self.protected_page(path) {
                    Some(token) => self.answer_protected(token, message, query, connection).await,
                    None => Some(unknown_reply()),
                },
            },
            ("POST" | "PUT", _) => Some(Reply::text(404, "statements are posted to /v1/statement")),
            ("HEAD", _) => Some(Reply { status: 405, headers: Headers::default(), body: Vec::new() }),
            _ => Some(Reply::text(405, "GET, POST and DELETE are known here")),
        }
    }

    /// Accepts a statement.
    async fn post(&self, message: &Message) -> Reply {
        if self.host.is_draining() {
            return Reply::text(503, "this gateway is stopping; the statement was not taken");
        }
        let context = match Context::read(&message.headers) {
            Ok(context) => context,
            Err(why) => return Reply::text(400, &why),
        };
        let Ok(text) = String::from_utf8(message.body.clone()) else {
            return Reply::text(400, "the statement is not UTF-8");
        };
        if text.trim().is_empty() {
            return Reply::text(400, "the statement is empty");
        }
        // The id contains the number that the core assigns next, so that a page path leads to the statement
        // without a table.
        let public_id = self.host.next_public_id();
        let submission = Submission { public_id: public_id.clone(), text, context };
        let may_protect = match self.host.custody().map(|custody| custody.acceptance(&self.host)) {
            Some(Acceptance::Refused(why)) => return Reply::text(503, why),
            Some(Acceptance::Unprotected) => false,
            Some(Acceptance::Protected) | None => true,
        };
        let id = self.host.with_core(|core, now| core.submit_with_protection(now, submission, may_protect));
        let mut page = PageRef { slug: self.slug_of(id, &public_id, None), id: public_id, token: 0 };
        if self.host.read_core(|core| core.has_ended(id)) {
            if let Turn::Page(contents) = self.host.with_core(|core, now| core.page(now, id, 0, true)) {
                return self.document(&base_uri(message), &page, &contents);
            }
        }
        let custody = self.host.custody().filter(|custody| custody.is_protected(id));
        if let Some(custody) = &custody {
            if !custody.wait_until_replicated(&self.host, id).await {
                return Reply::text(503, "no other gateway could keep the statement; it was not taken");
            }
            // Further gateways may have got its record meanwhile. A statement that has been handed over keeps
            // its slug.
            if custody.is_protected(id) {
                page.slug = self.slug_of(id, &page.id, None);
            }
        }
        let mut reply = Reply::document(pages::queued(&base_uri(message), &page));
        if custody.is_some() {
            reply.headers.push(ANY_GATEWAY, "true");
        }
        if let Some(window) = self.host.read_core(|core| core.repeat_window(id)) {
            reply.headers.push(REPEAT_WINDOW, window.as_millis().to_string());
        }
        reply
    }

    /// Answers a poll; `None` if its client disconnects meanwhile.
    async fn poll(
        &self,
        request: &Request<'_>,
        id: StatementId,
        page: &PageRef,
        after: Option<u64>,
        connection: Option<&Connection>,
    ) -> Option<Reply> {
        let until = request.until;
        self.host.with_core(|core, now| core.set_waiting(now, id, true));
        let reply = loop {
            let changed = self.host.subscribe(id);
            let patient = Instant::now() < until;
            let wanted = (page.token, after);
            let turn = self
                .host
                .with_core(|core, now| core.page_for_request(now, id, wanted, patient, request.arrived_at));
            let Some(turn) = turn else { break Some(unreachable_reply()) };
            match turn {
                Turn::Page(contents) => {
                    // The slug of the next page contains which rows the client has by then and which gateways
                    // may hold the statement.
                    let slug = match contents.end {
                        None => self.slug_of(id, &page.id, contents.after),
                        Some(_) => page.slug.clone(),
                    };
                    break Some(self.document(request.base, &PageRef { slug, ..page.clone() }, &contents));
                }
                Turn::Gone => break Some(Reply::text(410, "this page has been taken and is gone")),
                Turn::Unknown => break Some(unknown_reply()),
                Turn::Wait => {}
            }
            let page_or_timeout = async {
                future::or(changed, violetward_net::sleep_until(until)).await;
                true
            };
            let disconnected = async {
                let Some(connection) = connection else { return future::pending().await };
                connection.wait_readable().await;
                if connection.is_closed() {
                    return false;
                }
                // The client has sent its next request already; it waits its turn.
                future::pending().await
            };
            if !future::or(page_or_timeout, disconnected).await {
                break None;
            }
        };
        self.host.with_core(|core, now| core.set_waiting(now, id, false));
        self.host.unsubscribe(id);
        reply
    }

    /// The reply with a page of results.
    fn document(&self, base: &str, page: &PageRef, contents: &Page) -> Reply {
        let error = contents.end.as_ref().and_then(|e| e.error());
        let mut reply = Reply::document(pages::document(base, page, contents));
        for (name, value) in &contents.session {
            reply.headers.push(name, value.clone());
        }
        let advice = error.and_then(|e| e.failure_info.as_ref()).and_then(|i| i.retry_after_millis);
        if let Some(millis) = advice.filter(|&ms| ms > 0) {
            // RFC 9110, section 10.2.3: whole seconds, rounded up.
            reply.headers.push("Retry-After", millis.div_ceil(1000).to_string());
        }
        reply
    }

    /// Decodes the path of a page whose statement only this gateway knows.
    fn local_page(&self, path: &str) -> Option<(StatementId, PageRef)> {
        let page = PageRef::parse(path)?;
        let mac = self.mac(&page.id);
        mac.verify_truncated_left(&parse_hex(&page.slug)?).ok()?;
        let number = page.id.rsplit('_').nth(1)?.parse().ok()?;
        Some((StatementId(number), page))
    }

    /// The code that authenticates the slugs of a statement.
    fn mac(&self, id: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(id.as_bytes());
        mac
    }

    /// The slug of a statement's next page. If the statement is protected, all gateways can decode it.
    fn slug_of(&self, id: StatementId, public_id: &str, after: Option<u64>) -> String {
        let deadline = self.host.read_core(|core| core.deadline(id)).unwrap_or(0);
        let shared_slug = || self.host.custody()?.page_slug(id, public_id, after, deadline);
        shared_slug().unwrap_or_else(|| self.slug(public_id))
    }

    /// The slug of a page that only this gateway can decode.
    fn slug(&self, id: &str) -> String {
        self.mac(id).finalize().into_bytes()[..16].iter().map(|b| format!("{b:02x}")).collect()
    }

    fn info(&self) -> Reply {
        let uptime = self.host.started.elapsed();
        Reply::json(&serde_json::json!({
            "nodeVersion": { "version": env!("CARGO_PKG_VERSION") },
            "environment": "violetward",
            "coordinator": true,
            "starting": false,
            "uptime": format!("{:.2}s", uptime.as_secs_f64()),
        }))
    }

    fn metrics(&self) -> Reply {
        let mut headers = Headers::default();
        headers.push("Content-Type", metrics::CONTENT_TYPE);
        Reply { status: 200, headers, body: metrics::render(&self.host, self.connections.get()).into_bytes() }
    }

    fn members(&self) -> Reply {
        match &*self.host.peers.borrow() {
            Some(peers) => Reply::json(&serde_json::to_value(peers.status()).unwrap_or_default()),
            None => {
                Reply::text(404, "this gateway knows of no others: its configuration has no (membership ...)")
            }
        }
    }

    fn custody(&self) -> Reply {
        match self.host.custody() {
            Some(custody) => {
                Reply::json(&serde_json::to_value(custody.status(&self.host)).unwrap_or_default())
            }
            None => {
                Reply::text(404, "statements end with this gateway: its configuration has no (custody ...)")
            }
        }
    }

    fn windows(&self) -> Reply {
        match &*self.host.windows.borrow() {
            Some(windows) => Reply::json(&windows.status(&self.host)),
            None => Reply::text(404, "this gateway holds no windows: its configuration has no (windows ...)"),
        }
    }

    fn sites(&self) -> Reply {
        match self.host.outage() {
            Some(outage) => Reply::json(&outage.status(&self.host)),
            None => {
                Reply::text(404, "this gateway watches no sites: its configuration has no (site-loss ...)")
            }
        }
    }

    fn settings(&self, query: &str) -> Reply {
        let since = query.split('&').find_map(|p| p.strip_prefix("since=")).and_then(|n| n.parse().ok());
        match &*self.host.agreed.borrow() {
            Some(agreed) => Reply::json(&agreed.status(self.host.now(), since.unwrap_or(0))),
            None => no_agreement_reply(),
        }
    }

    async fn propose(&self, message: &Message, query: &str) -> Reply {
        let Some(agreed) = self.host.agreed.borrow().clone() else { return no_agreement_reply() };
        let header = |name: &str| message.headers.get(name).unwrap_or_default().to_owned();
        let Ok(after) = header(agreement::AFTER_HEADER).parse() else {
            return Reply::text(400, "the header that names the version before is missing");
        };
        let (key, code) = (header(agreement::KEY_HEADER), header(agreement::CODE_HEADER));
        if query == "clock" {
            let (status, text) = agreed.confirm_clock(&self.host, after, &key, &code);
            return Reply::text(status, text);
        }
        let dry_run = query == "dry";
        let (status, report) =
            agreed.handle_proposal(&self.host, &message.body, after, dry_run, &key, &code).await;
        Reply { status, ..Reply::json(&report) }
    }

    fn status(&self) -> Reply {
        let (open, held, counts) = self.host.read_core(|core| (core.open(), core.held(), core.counts));
        let status = NodeStatus {
            node_id: self.host.instance.clone(),
            uptime_millis: self.host.started.elapsed().as_millis() as u64,
            running_statements: Some(open as u32),
            ..NodeStatus::default()
        };
        let mut value = serde_json::to_value(&status).unwrap_or_default();
        value["gateway"] = serde_json::json!({
            "held": held, "connections": self.connections.get(), "taken": counts.taken,
            "served": counts.served, "declined": counts.declined, "refused": counts.refused,
            "failed": counts.failed, "cancelled": counts.cancelled, "abandoned": counts.abandoned,
            "attempts": counts.attempts, "overdue": counts.overdue,
        });
        if let Some(custody) = self.host.custody() {
            value["custody"] = serde_json::to_value(custody.status(&self.host)).unwrap_or_default();
        }
        if let Some(peers) = &*self.host.peers.borrow() {
            let view = peers.status();
            let count = |state: &str| view.members.iter().filter(|m| m.state == state).count();
            value["membership"] = serde_json::json!({
                "name": view.name, "standing": view.standing, "share": view.share,
                "alive": count("alive"), "suspect": count("suspect"), "dead": count("dead"),
                "left": count("left"), "sent": view.sent, "taken": view.taken, "refused": view.refused,
                "paused": view.paused,
            });
        }
        if let Some(agreed) = &*self.host.agreed.borrow() {
            let standing = agreed.status(self.host.now(), u64::MAX);
            value["agreement"] = serde_json::json!({
                "newest": standing.newest, "acts": standing.acts, "votes": standing.votes,
                "withoutLease": standing.without_lease,
            });
        }
        Reply::json(&value)
    }
}

/// A request for a page, from a client or forwarded by another gateway.
struct Request<'a> {
    method: &'a str,
    /// Base URI of this service as the client addresses it.
    base: &'a str,
    /// Time until which the reply may wait for a page.
    until: Instant,
    /// When the client's request arrived here or at the gateway that forwarded it, in microseconds of the host's clock.
    arrived_at: u64,
}

/// The result of looking for a statement in this gateway.
enum HeldAnswer {
    /// The statement is here, or its ending is known.
    Reply(Reply),
    /// The statement is not here. The name of the gateway that may hold it, if known.
    Elsewhere(Option<String>),
    /// The client has disconnected.
    Disconnected,
}

/// It cannot be found out now who holds the statement or whether it is lost. By the protocol, 503 makes the
/// client poll again.
fn unreachable_reply() -> Reply {
    let mut reply = Reply::text(503, "whoever holds this statement cannot be reached now; ask again");
    reply.headers.push("Retry-After", "1");
    reply
}

/// Reports that the statement is lost. This is no ending, because nobody knows whether the statement ran.
fn lost_reply() -> Reply {
    Reply::text(410, "this statement was lost with the gateways that knew of it; it may have run")
}

/// The reply for a protected statement whose pages have been dropped.
fn gone_reply() -> Reply {
    Reply::text(410, "this statement has ended, and its pages are gone")
}

/// The reply if this gateway has no agreement on settings.
fn no_agreement_reply() -> Reply {
    Reply::text(404, "this gateway agrees on no settings: its configuration has no (agreement ...)")
}

/// The reply for a page that this gateway does not know.
fn unknown_reply() -> Reply {
    Reply::text(404, "no such page here. If this gateway has been restarted, the statement may have run")
}

/// Base URI of this service as the client addresses it.
fn base_uri(message: &Message) -> String {
    format!("http://{}", message.headers.get("host").unwrap_or("localhost"))
}

/// Decodes 32 hexadecimal digits.
pub(crate) fn parse_hex(text: &str) -> Option<[u8; 16]> {
    let mut out = [0; 16];
    if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (i, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(out)
}
