//! The statement front: the public client REST protocol over HTTP/1.1. Knows nothing of engines.

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

use crate::agreed;
use crate::core::{StatementId, Submission};
use crate::custody::{self, Asked, Custody, Passed, Takes, Token, Told};
use crate::host::Host;
use crate::metrics;

/// Header of the answer to a post: for how many milliseconds engines drop a repeat of this statement's mark, counted from
/// its first sending. Absent where they drop none. Clients that don't know it pass it over.
pub const REPEAT_WINDOW: &str = "X-Violetward-Repeat-Window-Millis";

/// Header of the answer to a post: any gateway of the fleet gives the statement's pages. Clients that don't know it pass it over.
pub const ANY_GATEWAY: &str = "X-Violetward-Any-Gateway";

/// Between two looks at who holds a statement: here, and at others.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// The front. One for each listening socket.
pub struct Front {
    host: Rc<Host>,
    /// Makes the part of a page's path that can't be guessed.
    secret: [u8; 32],
    connections: Cell<usize>,
}

/// What is answered to one request.
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
    /// A front on a host, with a secret that must be new at every start.
    pub fn new(host: Rc<Host>, secret: [u8; 32]) -> Rc<Self> {
        let front = Rc::new(Front { host, secret, connections: Cell::new(0) });
        *front.host.answers.borrow_mut() = Rc::downgrade(&front);
        front
    }

    /// Takes connections. Never ends.
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
                    // Out of descriptors: what is open gets its answers, and the next one waits in the backlog.
                    tracing::warn!("cannot accept a connection: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn serve(&self, socket: Async<std::net::TcpStream>) {
        let limits = Limits { body: self.host.config.host.statement_bytes, ..Limits::default() };
        let mut connection = Connection::server(socket, limits);
        let spans = &self.host.config.host;
        if self.connections.get() > spans.most_connections {
            let reply = Reply::text(503, "too many connections; nothing was taken");
            self.send(&mut connection, reply, false).await;
            return;
        }
        loop {
            if !connection.has_partial_message()
                && timeout(spans.idle_connection, connection.wait_readable()).await.is_none()
            {
                return;
            }
            let message = match timeout(spans.request_within, connection.read()).await {
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
            let keep_alive = message.keep_alive;
            let Some(reply) = self.answer(&message, &connection).await else { return };
            if !self.send(&mut connection, reply, keep_alive).await || !keep_alive {
                return;
            }
        }
    }

    async fn send(&self, connection: &mut Connection, reply: Reply, keep_alive: bool) -> bool {
        let mut out = Vec::with_capacity(reply.body.len() + 256);
        http::write_response(&mut out, reply.status, &reply.headers, &reply.body, keep_alive);
        let sent = timeout(self.host.config.host.stream_idle, connection.write(&out)).await;
        matches!(sent, Some(Ok(())))
    }

    /// Answers a request that another gateway has passed on.
    pub(crate) async fn asked(&self, asked: &Asked) -> (Told, Vec<u8>) {
        let path = asked.path.split('?').next().unwrap_or_default();
        let host = format!("http://{}", asked.host);
        let until = Instant::now() + Duration::from_millis(asked.wait_millis);
        let Some((custody, token)) = self.token(path) else { return Default::default() };
        let request = Request { method: &asked.method, base: &host, until };
        match self.held(&custody, &token, &request, None).await {
            Held::Reply(reply) => {
                let headers = reply.headers.iter().map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
                let whole = (reply.body.len(), crate::list::hash(&String::from_utf8_lossy(&reply.body)));
                (Told { status: reply.status, headers, whole, at: None }, reply.body)
            }
            Held::Elsewhere(at) => (Told { at, ..Told::default() }, Vec::new()),
            Held::Left => Default::default(),
        }
    }

    fn token(&self, path: &str) -> Option<(Rc<Custody>, Token)> {
        let custody = self.host.custody()?;
        let token = custody.token(path)?;
        Some((custody, token))
    }

    /// The reply for a statement that any gateway may hold.
    async fn anywhere(
        &self,
        (custody, token): (Rc<Custody>, Token),
        message: &Message,
        query: &str,
        connection: &Connection,
    ) -> Option<Reply> {
        let (method, target) = message.request();
        let base = base(message);
        let until = Instant::now() + self.hold(query);
        let request = Request { method, base: &base, until };
        loop {
            let at = match self.held(&custody, &token, &request, Some(connection)).await {
                Held::Reply(reply) => return Some(reply),
                Held::Left => return None,
                Held::Elsewhere(at) => at,
            };
            let asked = Asked {
                method: method.to_owned(),
                path: target.to_owned(),
                host: message.headers.get("host").unwrap_or("localhost").to_owned(),
                wait_millis: until.saturating_duration_since(Instant::now()).as_millis() as u64,
                from: 0,
            };
            match custody.pass_on(&self.host, &token, &asked, at).await {
                Passed::Told(told, body) => {
                    let mut headers = Headers::default();
                    told.headers.iter().for_each(|(name, value)| headers.push(name, value));
                    return Some(Reply { status: told.status, headers, body });
                }
                Passed::Lost => {
                    let (from, number) = (&token.key.accepted_by.name, token.key.number);
                    tracing::warn!(
                        from,
                        number,
                        at = self.host.now(),
                        "nobody knows this statement any more"
                    );
                    return Some(lost());
                }
                // What may not act now takes nothing over: somebody else may know more.
                Passed::Later
                    if Instant::now() >= until || self.host.is_draining() || !custody.may_act(&self.host) =>
                {
                    return Some(later())
                }
                // It may come to be held here, or somebody may be told of.
                Passed::Later => custody::news(&custody, until, ASK_AGAIN).await,
            }
        }
    }

    /// The reply for a statement that is held here, or who holds it as far as is known here.
    async fn held(
        &self,
        custody: &Rc<Custody>,
        token: &Token,
        request: &Request<'_>,
        connection: Option<&Connection>,
    ) -> Held {
        let rest = request.until.min(Instant::now() + custody.rest());
        loop {
            let (place, local) = custody.find(&token.key);
            let may = custody.may_act(&self.host);
            // It comes to hold nothing then.
            let until = if may { request.until } else { rest };
            match (place, local) {
                // This one may come to hold it: whoever holds it is doubted.
                (StatementLocation::Remote(life), None) if Instant::now() < until && !self.lives(&life) => {
                    custody::news(custody, until, LOOK_AGAIN).await;
                }
                (StatementLocation::Remote(life), _) => return Held::Elsewhere(Some(life.name)),
                (StatementLocation::TakingOver | StatementLocation::Local, None)
                    if Instant::now() < until =>
                {
                    custody::news(custody, until, LOOK_AGAIN).await;
                }
                (StatementLocation::TakingOver | StatementLocation::Local, None) => {
                    return Held::Reply(later())
                }
                // A gateway that stood still does nothing for what it holds before it knows that it still does.
                // Others may have taken it over since; who has passed the poll on asks them himself.
                (StatementLocation::Local, Some(_)) if !may => {
                    if Instant::now() >= rest {
                        return match connection {
                            Some(_) => Held::Elsewhere(None),
                            None => Held::Reply(later()),
                        };
                    }
                    custody::news(custody, rest, LOOK_AGAIN).await;
                }
                (_, Some(id)) if request.method == "DELETE" => {
                    let known = self.host.core(|core, now| core.cancel(now, id));
                    let headers = Headers::default();
                    return Held::Reply(if known {
                        Reply { status: 204, headers, body: Vec::new() }
                    } else {
                        unknown()
                    });
                }
                (_, Some(id)) => match self.poll(request, id, &token.page, token.after, connection).await {
                    // Another gateway has come to hold it meanwhile.
                    Some(reply) if reply.status == 404 && custody.find(&token.key).1.is_none() => {}
                    Some(reply) => return Held::Reply(reply),
                    None => return Held::Left,
                },
                (StatementLocation::Ended(ending), None) => {
                    let (from, number) = (&token.key.accepted_by.name, token.key.number);
                    tracing::debug!(from, number, at = self.host.now(), "asked for after its end");
                    return Held::Reply(self.over(token, request, ending));
                }
                (StatementLocation::Unknown, None) => return Held::Elsewhere(None),
            }
        }
    }

    /// The reply for a statement that has ended and is not kept any more.
    fn over(
        &self,
        token: &Token,
        request: &Request<'_>,
        ending: Option<violetward_custody::Ending>,
    ) -> Reply {
        match ending {
            Some(ending) => self.last(token, request, crate::core::ended(&ending)),
            None => gone(),
        }
    }

    fn lives(&self, life: &violetward_custody::Incarnation) -> bool {
        self.host.peers().is_some_and(|peers| peers.lives(life))
    }

    fn last(&self, token: &Token, request: &Request<'_>, ending: Ending) -> Reply {
        if request.method == "DELETE" {
            return Reply { status: 204, headers: Headers::default(), body: Vec::new() };
        }
        let mut made = pages::Pages::default();
        made.resume(token.page.token, None);
        made.finish(ending);
        match made.take(token.page.token, true) {
            Turn::Page(made) => self.document(request.base, &token.page, &made),
            _ => unknown(),
        }
    }

    /// How long a poll may wait.
    fn hold(&self, query: &str) -> Duration {
        let wanted = query.split('&').find_map(|p| p.strip_prefix("maxWait="));
        let wanted = wanted.and_then(violetward_statement::session::duration);
        let hold = self.host.config.host.long_poll;
        wanted.map_or(hold, |wanted| hold.min(wanted))
    }

    /// The reply to a request; `None` if its client has left meanwhile.
    async fn answer(&self, message: &Message, connection: &Connection) -> Option<Reply> {
        let (method, target) = message.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (method, path) {
            ("POST", STATEMENT) => Some(self.post(message).await),
            ("GET", "/v1/info") => Some(self.info()),
            ("GET", "/v1/status") => Some(self.status()),
            ("GET", "/metrics") => Some(self.metrics()),
            ("GET", "/v1/members") => Some(self.members()),
            ("GET", agreed::PATH) => Some(self.settings(query)),
            ("POST", agreed::PATH) => Some(self.propose(message, query).await),
            ("GET", "/v1/custody") => Some(self.custody()),
            ("GET", crate::windows::PATH) => Some(self.windows()),
            ("GET", "/v1/sites") => Some(self.sites()),
            ("GET" | "DELETE", _) => match self.find(path) {
                Some((id, page)) if method == "GET" => {
                    let until = Instant::now() + self.hold(query);
                    let request = Request { method, base: &base(message), until };
                    self.poll(&request, id, &page, None, Some(connection)).await
                }
                Some((id, _)) => {
                    let known = self.host.core(|core, now| core.cancel(now, id));
                    let headers = Headers::default();
                    Some(if known { Reply { status: 204, headers, body: Vec::new() } } else { unknown() })
                }
                None => match self.token(path) {
                    Some(token) => self.anywhere(token, message, query, connection).await,
                    None => Some(unknown()),
                },
            },
            ("POST" | "PUT", _) => Some(Reply::text(404, "statements are posted to /v1/statement")),
            ("HEAD", _) => Some(Reply { status: 405, headers: Headers::default(), body: Vec::new() }),
            _ => Some(Reply::text(405, "GET, POST and DELETE are known here")),
        }
    }

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
        // Named after the number that the core gives next, so that a path leads back without a table.
        let public_id = self.host.next_public_id();
        let submission = Submission { public_id: public_id.clone(), text, context };
        let protects = match self.host.custody().map(|custody| custody.takes(&self.host)) {
            Some(Takes::No(why)) => return Reply::text(503, why),
            Some(Takes::Unprotected) => false,
            Some(Takes::Protected) | None => true,
        };
        let id = self.host.core(|core, now| core.submit_as(now, submission, protects));
        let mut page = PageRef { slug: self.slug_of(id, &public_id, None), id: public_id, token: 0 };
        if self.host.look(|core| core.has_ended(id)) {
            if let Turn::Page(made) = self.host.core(|core, now| core.page(now, id, 0, true)) {
                return self.document(&base(message), &page, &made);
            }
        }
        let custody = self.host.custody().filter(|custody| custody.knows(id));
        if let Some(custody) = &custody {
            if !custody.settles(&self.host, id).await {
                return Reply::text(503, "no other gateway could keep the statement; it was not taken");
            }
            // Others may have been named meanwhile. One that has been handed over keeps the names it had.
            if custody.knows(id) {
                page.slug = self.slug_of(id, &page.id, None);
            }
        }
        let mut reply = Reply::document(pages::queued(&base(message), &page));
        if custody.is_some() {
            reply.headers.push(ANY_GATEWAY, "true");
        }
        if let Some(window) = self.host.look(|core| core.repeat_window(id)) {
            reply.headers.push(REPEAT_WINDOW, window.as_millis().to_string());
        }
        reply
    }

    async fn poll(
        &self,
        request: &Request<'_>,
        id: StatementId,
        page: &PageRef,
        after: Option<u64>,
        connection: Option<&Connection>,
    ) -> Option<Reply> {
        let until = request.until;
        self.host.core(|core, now| core.waits(now, id, true));
        let reply = loop {
            let heard = self.host.listen(id);
            let patient = Instant::now() < until;
            match self.host.core(|core, now| core.page_after(now, id, page.token, after, patient)) {
                Turn::Page(made) => {
                    // The page after it is named by what its client has then, and by who may hold it then.
                    let slug = match made.end {
                        None => self.slug_of(id, &page.id, made.after),
                        Some(_) => page.slug.clone(),
                    };
                    break Some(self.document(request.base, &PageRef { slug, ..page.clone() }, &made));
                }
                Turn::Gone => break Some(Reply::text(410, "this page has been taken and is gone")),
                Turn::Unknown => break Some(unknown()),
                Turn::Wait => {}
            }
            let news = async {
                future::or(heard, violetward_net::sleep_until(until)).await;
                true
            };
            let left = async {
                let Some(connection) = connection else { return future::pending().await };
                connection.wait_readable().await;
                if connection.is_closed() {
                    return false;
                }
                // The next request has come already; it waits for its turn.
                future::pending().await
            };
            if !future::or(news, left).await {
                break None;
            }
        };
        self.host.core(|core, now| core.waits(now, id, false));
        self.host.unlisten(id);
        reply
    }

    fn document(&self, base: &str, page: &PageRef, made: &Page) -> Reply {
        let error = made.end.as_ref().and_then(|e| e.error());
        let mut reply = Reply::document(pages::document(base, page, made));
        for (name, value) in &made.session {
            reply.headers.push(name, value.clone());
        }
        let advice = error.and_then(|e| e.failure_info.as_ref()).and_then(|i| i.retry_after_millis);
        if let Some(millis) = advice.filter(|&ms| ms > 0) {
            // RFC 9110, section 10.2.3: whole seconds, rounded up.
            reply.headers.push("Retry-After", millis.div_ceil(1000).to_string());
        }
        reply
    }

    fn find(&self, path: &str) -> Option<(StatementId, PageRef)> {
        let page = PageRef::parse(path)?;
        let mac = self.mac(&page.id);
        mac.verify_truncated_left(&unhex(&page.slug)?).ok()?;
        let number = page.id.rsplit('_').nth(1)?.parse().ok()?;
        Some((StatementId(number), page))
    }

    fn mac(&self, id: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("any length of key will do");
        mac.update(id.as_bytes());
        mac
    }

    /// The slug of a statement's next page: one that all gateways read if it is protected.
    fn slug_of(&self, id: StatementId, public_id: &str, after: Option<u64>) -> String {
        let due = self.host.look(|core| core.due(id)).unwrap_or(0);
        let guarded = || self.host.custody()?.slug(id, public_id, after, due);
        guarded().unwrap_or_else(|| self.slug(public_id))
    }

    fn slug(&self, id: &str) -> String {
        self.mac(id).finalize().into_bytes()[..16].iter().map(|b| format!("{b:02x}")).collect()
    }

    fn info(&self) -> Reply {
        let up = self.host.started.elapsed();
        Reply::json(&serde_json::json!({
            "nodeVersion": { "version": env!("CARGO_PKG_VERSION") },
            "environment": "violetward",
            "coordinator": true,
            "starting": false,
            "uptime": format!("{:.2}s", up.as_secs_f64()),
        }))
    }

    fn metrics(&self) -> Reply {
        let mut headers = Headers::default();
        headers.push("Content-Type", metrics::TYPE);
        Reply { status: 200, headers, body: metrics::text(&self.host, self.connections.get()).into_bytes() }
    }

    fn members(&self) -> Reply {
        match &*self.host.peers.borrow() {
            Some(peers) => Reply::json(&serde_json::to_value(peers.view()).unwrap_or_default()),
            None => {
                Reply::text(404, "this gateway knows of no others: its configuration has no (membership ...)")
            }
        }
    }

    fn custody(&self) -> Reply {
        match self.host.custody() {
            Some(custody) => {
                Reply::json(&serde_json::to_value(custody.standing(&self.host)).unwrap_or_default())
            }
            None => {
                Reply::text(404, "statements end with this gateway: its configuration has no (custody ...)")
            }
        }
    }

    fn windows(&self) -> Reply {
        match &*self.host.windows.borrow() {
            Some(windows) => Reply::json(&windows.standing(&self.host)),
            None => Reply::text(404, "this gateway holds no windows: its configuration has no (windows ...)"),
        }
    }

    fn sites(&self) -> Reply {
        match self.host.outage() {
            Some(outage) => Reply::json(&outage.standing(&self.host)),
            None => {
                Reply::text(404, "this gateway watches no sites: its configuration has no (site-loss ...)")
            }
        }
    }

    fn settings(&self, query: &str) -> Reply {
        let since = query.split('&').find_map(|p| p.strip_prefix("since=")).and_then(|n| n.parse().ok());
        match &*self.host.agreed.borrow() {
            Some(agreed) => Reply::json(&agreed.standing(self.host.now(), since.unwrap_or(0))),
            None => no_agreement(),
        }
    }

    async fn propose(&self, message: &Message, query: &str) -> Reply {
        let Some(agreed) = self.host.agreed.borrow().clone() else { return no_agreement() };
        let header = |name: &str| message.headers.get(name).unwrap_or_default().to_owned();
        let Ok(after) = header(agreed::AFTER).parse() else {
            return Reply::text(400, "the header that names the version before is missing");
        };
        let (key, code) = (header(agreed::KEY), header(agreed::CODE));
        if query == "clock" {
            let (status, text) = agreed.clock_is_right(&self.host, after, &key, &code);
            return Reply::text(status, text);
        }
        let dry = query == "dry";
        let (status, report) = agreed.proposed(&self.host, &message.body, after, dry, &key, &code).await;
        Reply { status, ..Reply::json(&report) }
    }

    fn status(&self) -> Reply {
        let (open, held, counts) = self.host.look(|core| (core.open(), core.held(), core.counts));
        let node = NodeStatus {
            node_id: self.host.life.clone(),
            uptime_millis: self.host.started.elapsed().as_millis() as u64,
            running_statements: Some(open as u32),
            ..NodeStatus::default()
        };
        let mut value = serde_json::to_value(&node).unwrap_or_default();
        value["gateway"] = serde_json::json!({
            "held": held, "connections": self.connections.get(), "taken": counts.taken, "served": counts.served,
            "declined": counts.declined, "refused": counts.refused, "failed": counts.failed,
            "cancelled": counts.cancelled, "abandoned": counts.abandoned, "attempts": counts.attempts,
            "overdue": counts.overdue,
        });
        if let Some(custody) = self.host.custody() {
            value["custody"] = serde_json::to_value(custody.standing(&self.host)).unwrap_or_default();
        }
        if let Some(peers) = &*self.host.peers.borrow() {
            let view = peers.view();
            let count = |state: &str| view.members.iter().filter(|m| m.state == state).count();
            value["membership"] = serde_json::json!({
                "name": view.name, "standing": view.standing, "share": view.share,
                "alive": count("alive"), "suspect": count("suspect"), "dead": count("dead"), "left": count("left"),
                "sent": view.sent, "taken": view.taken, "refused": view.refused, "paused": view.paused,
            });
        }
        if let Some(agreed) = &*self.host.agreed.borrow() {
            let standing = agreed.standing(self.host.now(), u64::MAX);
            value["agreement"] = serde_json::json!({
                "newest": standing.newest, "acts": standing.acts, "votes": standing.votes,
                "withoutLease": standing.without_lease,
            });
        }
        Reply::json(&value)
    }
}

/// A request for a page, its client's or one passed on.
struct Request<'a> {
    method: &'a str,
    /// The address of this service as the client calls it.
    base: &'a str,
    until: Instant,
}

/// What came of asking here for a statement.
enum Held {
    Reply(Reply),
    /// It is not here; who may hold it.
    Elsewhere(Option<String>),
    /// The client has left.
    Left,
}

/// It is known neither where the statement is nor that it is nowhere. By the protocol the client asks again.
fn later() -> Reply {
    let mut reply = Reply::text(503, "whoever holds this statement cannot be reached now; ask again");
    reply.headers.push("Retry-After", "1");
    reply
}

/// Not an ending: nobody can say any more whether it ran.
fn lost() -> Reply {
    Reply::text(410, "this statement was lost with the gateways that knew of it; it may have run")
}

fn gone() -> Reply {
    Reply::text(410, "this statement has ended, and its pages are gone")
}

fn no_agreement() -> Reply {
    Reply::text(404, "this gateway agrees on no settings: its configuration has no (agreement ...)")
}

fn unknown() -> Reply {
    Reply::text(404, "no such page here. If this gateway has been restarted, the statement may have run")
}

fn base(message: &Message) -> String {
    format!("http://{}", message.headers.get("host").unwrap_or("localhost"))
}

pub(crate) fn unhex(text: &str) -> Option<[u8; 16]> {
    let mut out = [0; 16];
    if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (i, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(out)
}
