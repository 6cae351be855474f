//! The stand-in engine: speaks the statement protocol on a socket and takes faults on another.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::value::RawValue;
use violetward_net::{sleep, timeout, Connection};
use violetward_statement::http::{self, Headers, Limits, Message};
use violetward_statement::pages::{self, Ending, Pages, Part, Turn};
use violetward_statement::results::{
    ErrorType, NodeStatus, PageRef, QueryError, Stats, CANCELED, QUEUE_FULL, STATEMENT,
};
use violetward_statement::session::{self, Context};

use crate::data::Data;
use crate::fault::{Fault, Until};
use crate::hint::Hint;
use crate::journal::{Journal, What};
use crate::model::{Job, Machine, Model, Taken};
use crate::sessions::{self, Sessions};

/// How long a poll is held; after it the page is empty and tells of progress.
const HOLD: Duration = Duration::from_millis(400);
/// How often the load that it tells is worked out anew.
const REPORT_EVERY: u64 = 150_000;
/// What nobody has asked about for so long is forgotten.
const FORGET: u64 = 60_000_000;
/// The same for what has been told to the end.
const FORGET_OVER: u64 = 3_000_000;

/// How an engine is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its name.
    pub name: String,
    /// Its kind of machine, for the journal.
    pub kind: String,
    /// Where it takes statements.
    pub listen: SocketAddr,
    /// Where it takes faults.
    pub control: Option<SocketAddr>,
    /// The machine.
    pub machine: Machine,
    /// Seed of its rows.
    pub seed: u64,
    /// Where it writes down what passed.
    pub journal: Option<PathBuf>,
    /// A folder that engines share: what has taken effect there, so that repeats are dropped by all.
    pub storage: Option<PathBuf>,
    /// For how long repeats are dropped.
    pub window: Duration,
    /// It stops work that is cancelled.
    pub cancels: bool,
    /// It starts cold.
    pub cold: bool,
    /// Rows on a page.
    pub rows_a_page: usize,
    /// Sessions that nobody uses for so long are dropped.
    pub session_idle: Duration,
}

impl Setup {
    /// A warm engine on a port that the system gives.
    pub fn new(name: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Setup {
            name: name.to_owned(),
            kind: "m8".into(),
            listen: any,
            control: None,
            machine: Machine::default(),
            seed: 1,
            journal: None,
            storage: None,
            window: Duration::from_secs(25),
            cancels: true,
            cold: false,
            rows_a_page: 500,
            session_idle: Duration::from_secs(120),
        }
    }
}

struct Statement {
    page: PageRef,
    text: String,
    context: Context,
    hint: Hint,
    pages: Pages,
    asked: u64,
    taken: u64,
    over: bool,
    trace: String,
    priority: u8,
}

#[derive(Default)]
struct Faults {
    hang: Until,
    fast_errors: Until,
    lost: Until,
    half: Until,
    split: Until,
    slow: Until,
    neighbour: Until,
    late: Until,
    garbage: Until,
    stop_pages: Until,
}

struct State {
    model: Model,
    statements: HashMap<u64, Statement>,
    faults: Faults,
    life: String,
    started: u64,
    dice: StdRng,
    reports: Vec<(u64, NodeStatus)>,
    sessions: Sessions,
}

/// An engine.
pub struct Engine {
    setup: Setup,
    address: SocketAddr,
    executor: Rc<LocalExecutor<'static>>,
    data: RefCell<Data>,
    journal: Journal,
    state: RefCell<State>,
    /// Counts processes: connections of an earlier one are dead.
    generation: Cell<u64>,
    /// It is away: `Some(silent)`.
    away: Cell<Option<bool>>,
    refuses: Cell<bool>,
    next: Cell<u64>,
    /// Something about statements has changed.
    changed: Event,
    /// Something about the process has changed.
    turned: Event,
}

/// Microseconds since the Unix epoch.
pub fn clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

impl Engine {
    /// Binds an engine's sockets; it answers as long as the executor runs.
    ///
    /// # Errors
    /// If it cannot listen, or cannot make its rows.
    pub fn start(mut setup: Setup, executor: Rc<LocalExecutor<'static>>) -> std::io::Result<Rc<Engine>> {
        let listener = Async::<TcpListener>::bind(setup.listen)?;
        let address = listener.get_ref().local_addr()?;
        setup.listen = address;
        let control = setup.control.map(Async::<TcpListener>::bind).transpose()?;
        setup.control = control.as_ref().and_then(|c| c.get_ref().local_addr().ok());
        let data = Data::new(setup.seed).map_err(std::io::Error::other)?;
        let journal = Journal::open(&setup.name, setup.journal.as_deref())?;
        let now = clock();
        let started = if setup.cold { now } else { 0 };
        let state = State {
            model: Model::new(setup.machine.clone(), now, started),
            statements: HashMap::new(),
            faults: Faults::default(),
            life: String::new(),
            started: now,
            dice: StdRng::seed_from_u64(setup.seed ^ 0x5eed),
            reports: Vec::new(),
            sessions: Sessions::default(),
        };
        let engine = Rc::new(Engine {
            address,
            executor: executor.clone(),
            data: RefCell::new(data),
            journal,
            state: RefCell::new(state),
            generation: Cell::new(0),
            away: Cell::new(None),
            refuses: Cell::new(false),
            next: Cell::new(1),
            changed: Event::new(),
            turned: Event::new(),
            setup,
        });
        engine.born(engine.setup.cold);
        executor.spawn(engine.clone().listen(listener)).detach();
        executor.spawn(engine.clone().work()).detach();
        if let Some(control) = control {
            executor.spawn(engine.clone().control(control)).detach();
        }
        Ok(engine)
    }

    /// Where it takes statements.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it takes faults.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.setup.control
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.setup.name
    }

    /// Sessions that it holds, for tests.
    pub fn sessions(&self) -> usize {
        self.state.borrow().sessions.len()
    }

    /// Runs a statement on its rows directly, for tests.
    pub fn execute(&self, sql: &str) {
        self.data.borrow().batch(sql).unwrap_or_else(|e| panic!("{sql}: {e}"));
    }

    /// Rows of a table as they stand for all, for tests.
    pub fn count(&self, table: &str) -> i64 {
        let sql = format!("SELECT count(*) FROM {table}");
        let rows = self.data.borrow().run(&sql, &Context::default());
        rows.ok().and_then(|o| o.rows.first()?.trim_matches(['[', ']']).parse().ok()).unwrap_or(-1)
    }

    /// When its process last started, microseconds since the Unix epoch.
    pub fn started(&self) -> u64 {
        self.state.borrow().started
    }

    fn born(&self, cold: bool) {
        let now = clock();
        let life = format!("{}-{:x}", self.setup.name, now);
        let mut state = self.state.borrow_mut();
        state.life = life.clone();
        state.started = now;
        self.journal.write(now, What::Up { life, machine: self.setup.kind.clone(), cold });
    }

    // ---- The process: it dies and comes back -----------------------------------------------------------

    fn die(self: &Rc<Self>, silent: bool) {
        let now = clock();
        let mut state = self.state.borrow_mut();
        for (&n, s) in &state.statements {
            if !s.over {
                self.journal.write(now, What::Over { n, how: "died".into() });
            }
        }
        state.statements.clear();
        state.sessions.clear();
        state.model = Model::new(self.setup.machine.clone(), now, now);
        self.journal.write(now, What::Gone);
        self.away.set(Some(silent));
        if !silent {
            self.generation.set(self.generation.get() + 1);
        }
        self.turned.notify(usize::MAX);
        self.changed.notify(usize::MAX);
    }

    fn come_back(self: &Rc<Self>) {
        let now = clock();
        self.generation.set(self.generation.get() + 1);
        self.away.set(None);
        let mut state = self.state.borrow_mut();
        state.statements.clear();
        state.model = Model::new(self.setup.machine.clone(), now, now);
        state.reports.clear();
        drop(state);
        self.born(true);
        self.turned.notify(usize::MAX);
    }

    /// Makes something go wrong.
    pub fn fault(self: &Rc<Self>, fault: &Fault) {
        let now = clock();
        let until = |value: f64, for_ms: u64| Until { value, until: now + for_ms * 1000 };
        let back = |for_ms: u64| {
            let engine = self.clone();
            self.executor
                .spawn(async move {
                    sleep(Duration::from_millis(for_ms)).await;
                    engine.come_back();
                })
                .detach();
        };
        match *fault {
            Fault::Crash { for_ms } => {
                self.die(false);
                back(for_ms);
            }
            Fault::Vanish { for_ms } => {
                self.die(true);
                back(for_ms);
            }
            Fault::Down => self.die(false),
            Fault::Restart => {
                if self.away.get().is_none() {
                    self.die(false);
                }
                self.come_back();
            }
            Fault::Refuse { for_ms } => {
                self.refuses.set(true);
                self.turned.notify(usize::MAX);
                let engine = self.clone();
                self.executor
                    .spawn(async move {
                        sleep(Duration::from_millis(for_ms)).await;
                        engine.refuses.set(false);
                        engine.turned.notify(usize::MAX);
                    })
                    .detach();
            }
            Fault::Flush => self.state.borrow_mut().model.flush(),
            Fault::Hang { for_ms } => self.state.borrow_mut().faults.hang = until(1.0, for_ms),
            Fault::Slow { factor, for_ms } => self.state.borrow_mut().faults.slow = until(factor, for_ms),
            Fault::FastErrors { share, for_ms } => {
                self.state.borrow_mut().faults.fast_errors = until(share, for_ms)
            }
            Fault::LostAnswers { share, for_ms } => {
                self.state.borrow_mut().faults.lost = until(share, for_ms)
            }
            Fault::Neighbour { share, for_ms } => {
                self.state.borrow_mut().faults.neighbour = until(share, for_ms)
            }
            Fault::HalfAnswers { share, for_ms } => {
                self.state.borrow_mut().faults.half = until(share, for_ms)
            }
            Fault::Split { for_ms } => self.state.borrow_mut().faults.split = until(1.0, for_ms),
            Fault::ReportLate { by_ms, for_ms } => {
                self.state.borrow_mut().faults.late = until(by_ms as f64 * 1e3, for_ms);
            }
            Fault::Garbage { share, for_ms } => self.state.borrow_mut().faults.garbage = until(share, for_ms),
            Fault::StopAfterPages { pages, for_ms } => {
                self.state.borrow_mut().faults.stop_pages = until(pages as f64 + 0.5, for_ms);
            }
        }
        self.changed.notify(usize::MAX);
    }

    // ---- Work ------------------------------------------------------------------------------------------

    /// Lets the model run and answers what is done. Never ends.
    async fn work(self: Rc<Self>) {
        let mut tidy = 0;
        loop {
            let heard = self.changed.listen();
            let now = clock();
            let mut next = {
                let mut state = self.state.borrow_mut();
                let State { model, faults, .. } = &mut *state;
                model.advance(now);
                model.frozen = now < faults.hang.until;
                model.slow = faults.slow.at(now, 1.0);
                model.neighbour = faults.neighbour.at(now, 0.0);
                model.advance(now);
                // Faults end by themselves.
                let ends = [faults.hang.until, faults.slow.until, faults.neighbour.until]
                    .into_iter()
                    .filter(|&u| u > now)
                    .min();
                [model.next_end(), ends].into_iter().flatten().min()
            };
            let done = self.state.borrow_mut().model.done();
            for n in done {
                self.complete(n);
                next = Some(now);
            }
            match next {
                Some(at) if at <= now => future::yield_now().await,
                Some(at) => future::or(heard, sleep(Duration::from_micros(at - now))).await,
                None => future::or(heard, sleep(Duration::from_secs(5))).await,
            }
            if clock() >= tidy {
                tidy = clock() + 1_000_000;
                self.tidy();
            }
        }
    }

    /// Forgets what nobody has asked about for long.
    fn tidy(&self) {
        let now = clock();
        let mut state = self.state.borrow_mut();
        let State { model, statements, sessions, .. } = &mut *state;
        sessions.tidy(now, self.setup.session_idle.as_micros() as u64);
        statements.retain(|&n, s| {
            let keep = now < s.asked + if s.pages.is_over() { FORGET_OVER } else { FORGET };
            if !keep {
                model.drop_job(now, n);
            }
            keep
        });
    }

    /// A statement's work is done: it takes effect, and its rows are there.
    fn complete(&self, n: u64) {
        let now = clock();
        let mut state = self.state.borrow_mut();
        let State { statements, sessions, life, .. } = &mut *state;
        let Some(s) = statements.get_mut(&n) else { return };
        s.over = true;
        let mut data = self.data.borrow_mut();
        let concerns = sessions::concerns(&s.text, &s.context);
        let writes = !concerns && data.writes(&s.text, &s.context);
        let repeat = s.context.property("query_repeat_key").map(str::to_owned);
        let is_repeat = writes && !self.is_first(repeat.as_deref());
        let result = if is_repeat {
            self.journal.write(now, What::Dropped { trace: s.trace.clone(), n });
            let word = violetward_statement::text::first_word(&s.text).to_uppercase();
            Ok(crate::data::Outcome { update: Some((word, 0)), ..Default::default() })
        } else if concerns {
            let (result, effects) = sessions.run(now, life, &mut data, &s.trace, &s.text, &s.context);
            for trace in effects {
                self.journal.write(now, What::Effect { trace, n });
            }
            result
        } else {
            let result = data.run(&s.text, &s.context);
            if writes && result.is_ok() {
                self.journal.write(now, What::Effect { trace: s.trace.clone(), n });
            }
            result
        };
        let how = if result.is_ok() { "done" } else { "error" };
        s.pages.stats.cpu_time_millis = (s.hint.work.round() as u64).max(1);
        s.pages.stats.peak_memory_bytes = (s.hint.memory * 1024.0 * 1024.0) as u64;
        s.pages.stats.elapsed_time_millis = (now - s.taken) / 1000;
        s.pages.stats.progress_percentage = Some(100.0);
        s.pages.stats.queued = false;
        match result {
            Ok(outcome) => {
                let raw = |text: String| RawValue::from_string(text).ok().map(Rc::<RawValue>::from);
                let columns = outcome.columns.and_then(raw);
                s.pages.push(Part { columns, ..Part::default() });
                for rows in outcome.rows.chunks(self.setup.rows_a_page.max(1)) {
                    let text = format!("[{}]", rows.join(","));
                    s.pages.push(Part { bytes: text.len(), data: raw(text), ..Part::default() });
                }
                s.pages.update = outcome.update.map(|(word, count)| (word, Some(count)));
                s.pages.session = outcome.session;
                s.pages.finish(Ending::Served);
            }
            Err(error) => {
                s.pages.finish(Ending::Declined(error));
            }
        }
        self.journal.write(now, What::Over { n, how: how.into() });
        self.changed.notify(usize::MAX);
    }

    /// Whether no engine that shares the storage has seen this key within the window.
    fn is_first(&self, key: Option<&str>) -> bool {
        let (Some(folder), Some(key)) = (&self.setup.storage, key) else { return true };
        let path = folder.join(session::encode(key));
        match std::fs::File::options().write(true).create_new(true).open(&path) {
            Ok(_) => true,
            Err(_) => {
                let age =
                    std::fs::metadata(&path).and_then(|m| m.modified()).ok().and_then(|t| t.elapsed().ok());
                let forgotten = age.is_some_and(|age| age > self.setup.window);
                // It takes effect again, and its window begins anew.
                forgotten && std::fs::write(&path, b"again").is_ok()
            }
        }
    }

    // ---- Sockets ---------------------------------------------------------------------------------------

    async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut listener = Some(listener);
        loop {
            let heard = self.turned.listen();
            let open = self.away.get() != Some(false) && !self.refuses.get();
            if !open {
                listener = None;
                heard.await;
                continue;
            }
            if listener.is_none() {
                match Async::<TcpListener>::bind(self.address) {
                    Ok(bound) => listener = Some(bound),
                    Err(_) => {
                        sleep(Duration::from_millis(10)).await;
                        continue;
                    }
                }
            }
            let bound = listener.as_ref().expect("bound above");
            let accepted = future::or(async { bound.accept().await.ok() }, async {
                heard.await;
                None
            });
            if let Some((socket, _)) = accepted.await {
                let engine = self.clone();
                self.executor.spawn(async move { engine.serve(socket).await }).detach();
            }
        }
    }

    /// Completes once the process that this connection belongs to is gone.
    async fn until_gone(&self, generation: u64) {
        loop {
            let heard = self.turned.listen();
            if self.generation.get() != generation {
                return;
            }
            heard.await;
        }
    }

    async fn serve(self: &Rc<Self>, socket: Async<TcpStream>) {
        let generation = self.generation.get();
        let limits = Limits { body: 4 << 20, ..Limits::default() };
        let mut connection = Connection::server(socket, limits);
        let work = async {
            while let Ok(Some(message)) = connection.read().await {
                if self.away.get().is_some() {
                    // Silent: neither answer nor reset until the process is back, and then a reset.
                    future::pending::<()>().await;
                }
                let Some((status, headers, body)) = self.answer(&message).await else { return };
                if self.away.get().is_some() {
                    future::pending::<()>().await;
                }
                let mut headers = headers;
                headers.push(session::EPOCH, self.state.borrow().life.clone());
                let mut out = Vec::new();
                http::write_response(&mut out, status, &headers, &body, message.keep_alive);
                if !self.send(&mut connection, &out, &message).await || !message.keep_alive {
                    return;
                }
            }
        };
        future::or(work, self.until_gone(generation)).await;
    }

    /// Writes an answer, or what a fault makes of it.
    async fn send(&self, connection: &mut Connection, out: &[u8], message: &Message) -> bool {
        let now = clock();
        let is_status = message.request().1 == "/v1/status";
        let (lost, half, split, garbage) = {
            let mut state = self.state.borrow_mut();
            let State { faults, dice, .. } = &mut *state;
            let mut hit = |u: Until| dice.random_bool(u.at(now, 0.0).clamp(0.0, 1.0));
            (hit(faults.lost), hit(faults.half), hit(faults.split), hit(faults.garbage))
        };
        if !is_status {
            if lost {
                return false;
            }
            if half {
                connection.write(&out[..out.len() / 2]).await.ok();
                return false;
            }
            if garbage {
                connection.write(b"\x16\x03\x01 this is no answer\r\n\r\n").await.ok();
                return false;
            }
        }
        if split {
            for byte in out {
                if connection.write(&[*byte]).await.is_err() {
                    return false;
                }
                future::yield_now().await;
            }
            return true;
        }
        matches!(timeout(Duration::from_secs(30), connection.write(out)).await, Some(Ok(())))
    }

    async fn answer(self: &Rc<Self>, message: &Message) -> Option<(u16, Headers, Vec<u8>)> {
        let (method, target) = message.request();
        let path = target.split('?').next().unwrap_or_default();
        let json = |body: Vec<u8>| {
            let mut headers = Headers::default();
            headers.push("Content-Type", "application/json");
            Some((200, headers, body))
        };
        let base = format!("http://{}", message.headers.get("host").unwrap_or_default());
        match (method, path) {
            ("POST", STATEMENT) => {
                let body = self.post(message, &base).await?;
                json(body)
            }
            ("GET", "/v1/status") => {
                self.thaw().await;
                json(serde_json::to_vec(&self.status()).unwrap_or_default())
            }
            ("GET", "/v1/info") => {
                let info = serde_json::json!({
                    "nodeVersion": { "version": "stand-in" }, "environment": "standin", "coordinator": true, "starting": false,
                });
                json(info.to_string().into_bytes())
            }
            ("GET", _) => {
                let page = PageRef::parse(path);
                let found = match page {
                    Some(page) => self.poll(&page, &base).await,
                    None => Err((404, "unknown")),
                };
                match found {
                    Ok((headers, body)) => {
                        let mut all = Headers::default();
                        all.push("Content-Type", "application/json");
                        headers.iter().for_each(|(n, v)| all.push(n, v.clone()));
                        Some((200, all, body))
                    }
                    Err((status, why)) => Some((status, Headers::default(), why.as_bytes().to_vec())),
                }
            }
            ("DELETE", _) => {
                if let Some(page) = PageRef::parse(path) {
                    self.cancel(&page);
                }
                Some((204, Headers::default(), Vec::new()))
            }
            _ => Some((405, Headers::default(), Vec::new())),
        }
    }

    /// Waits while the engine hangs: it answers neither statements nor probes.
    async fn thaw(&self) {
        loop {
            let until = self.state.borrow().faults.hang.until;
            let now = clock();
            if now >= until {
                return;
            }
            sleep(Duration::from_micros((until - now).min(50_000))).await;
        }
    }

    async fn post(self: &Rc<Self>, message: &Message, base: &str) -> Option<Vec<u8>> {
        let now = clock();
        let n = self.next.get();
        self.next.set(n + 1);
        let context = Context::read(&message.headers).unwrap_or_default();
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let hint = Hint::read(&text);
        let trace = context.trace_token.clone().unwrap_or_default();
        let via = message.headers.get("via").unwrap_or_default().to_owned();
        let key = context.tagged("key=").unwrap_or_default().to_owned();
        let got = What::Got { trace: trace.clone(), via, n, class: hint.class.clone(), key };
        self.journal.write(now, got);
        let page = PageRef { id: format!("{}_{n}", self.setup.name), slug: "x".into(), token: 0 };
        let refuse = |error: QueryError| {
            let stats = Stats { state: "FAILED".into(), ..Stats::default() };
            let end = Some(Ending::Declined(error));
            let made = pages::Page {
                after: None,
                token: 0,
                columns: None,
                data: None,
                stats,
                end,
                update: None,
                session: Vec::new(),
            };
            Some(pages::document(base, &page, &made))
        };
        {
            let mut state = self.state.borrow_mut();
            let session = sessions::named(&context).map(str::to_owned);
            let runs = |s: &Statement| !s.over && sessions::named(&s.context) == session.as_deref();
            if session.is_some() && state.statements.values().any(runs) {
                self.journal.write(now, What::Turned { n });
                let why = "another statement of the session runs";
                return refuse(QueryError::new(ErrorType::UserError, 0x61, "SESSION_BUSY", why));
            }
            let share = state.faults.fast_errors.at(now, 0.0).clamp(0.0, 1.0);
            if state.dice.random_bool(share) {
                self.journal.write(now, What::Over { n, how: "error".into() });
                return refuse(QueryError::new(
                    ErrorType::InternalError,
                    0,
                    "GENERIC_INTERNAL_ERROR",
                    "a fault on order",
                ));
            }
            let bad = state.dice.random_bool(hint.bad_plan.0.clamp(0.0, 1.0));
            let work = hint.work * 1e3 * if bad { hint.bad_plan.1 } else { 1.0 };
            let grant = context.property("query_max_memory").and_then(session::bytes);
            let priority = context.property("query_priority").and_then(|p| p.parse().ok()).unwrap_or(1);
            let job = Job {
                id: n,
                work,
                threads: hint.threads,
                io: hint.io,
                need: hint.memory,
                grant: grant.map_or(0.0, |b| b as f64 / f64::from(1 << 20)),
                priority,
                group: hint.group,
                is_load: hint.is_load,
            };
            let weight = if hint.weight > 0.0 { hint.weight * 1e3 } else { work };
            match state.model.take(now, job, weight) {
                Taken::Yes => {}
                Taken::Full => {
                    self.journal.write(now, What::Turned { n });
                    return refuse(QueryError::new(
                        ErrorType::InsufficientResources,
                        2,
                        QUEUE_FULL,
                        "too many statements",
                    ));
                }
                Taken::FellOver => {
                    drop(state);
                    self.journal.write(now, What::Fell);
                    self.die(false);
                    return None;
                }
            }
            let hint = Hint { work: work / 1e3, ..hint };
            let statement = Statement {
                page: page.clone(),
                text,
                context,
                hint,
                pages: Pages::default(),
                asked: now,
                taken: now,
                over: false,
                trace,
                priority,
            };
            state.statements.insert(n, statement);
        }
        self.changed.notify(usize::MAX);
        self.thaw().await;
        Some(pages::queued(base, &page))
    }

    async fn poll(
        &self,
        page: &PageRef,
        base: &str,
    ) -> Result<(Vec<(String, String)>, Vec<u8>), (u16, &'static str)> {
        let n = page.id.rsplit('_').next().and_then(|n| n.parse::<u64>().ok()).ok_or((404, "unknown"))?;
        let until = Instant::now() + HOLD;
        loop {
            self.thaw().await;
            let heard = self.changed.listen();
            let now = clock();
            {
                let mut state = self.state.borrow_mut();
                let stop = state.faults.stop_pages.at(now, -1.0);
                let State { model, statements, .. } = &mut *state;
                let s = statements.get_mut(&n).filter(|s| s.page.id == page.id).ok_or((404, "unknown"))?;
                s.asked = now;
                model.advance(now);
                if let Some(standing) = model.standing(n) {
                    s.pages.stats.queued = standing.waits;
                    s.pages.stats.state =
                        if standing.waits { "WAITING_FOR_RESOURCES" } else { "RUNNING" }.into();
                    s.pages.stats.progress_percentage = Some((standing.done * 1000.0).round() / 10.0);
                    s.pages.stats.elapsed_time_millis = (now - s.taken) / 1000;
                    s.pages.stats.nodes = 1;
                }
                let stopped = stop >= 0.0 && page.token as f64 > stop && s.pages.begun;
                if !stopped {
                    match s.pages.take(page.token, Instant::now() >= until) {
                        Turn::Page(made) => {
                            return Ok((made.session.clone(), pages::document(base, &s.page, &made)))
                        }
                        Turn::Gone => return Err((410, "gone")),
                        Turn::Unknown => return Err((404, "unknown")),
                        Turn::Wait => {}
                    }
                }
            }
            future::or(
                heard,
                sleep(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(5))),
            )
            .await;
        }
    }

    fn cancel(&self, page: &PageRef) {
        let now = clock();
        let Some(n) = page.id.rsplit('_').next().and_then(|n| n.parse::<u64>().ok()) else { return };
        if !self.setup.cancels {
            return;
        }
        let mut state = self.state.borrow_mut();
        let State { model, statements, .. } = &mut *state;
        let Some(s) = statements.get_mut(&n) else { return };
        if !s.over {
            s.over = true;
            model.drop_job(now, n);
            self.journal.write(now, What::Over { n, how: "cancelled".into() });
        }
        s.pages.finish(Ending::Cancelled(QueryError::new(ErrorType::UserError, 3, CANCELED, "cancelled")));
        drop(state);
        self.changed.notify(usize::MAX);
    }

    fn status(&self) -> NodeStatus {
        let now = clock();
        let mut state = self.state.borrow_mut();
        let life = state.life.clone();
        let started = state.started;
        let late = state.faults.late.at(now, 0.0) as u64;
        let State { model, reports, .. } = &mut *state;
        model.advance(now);
        if reports.last().is_none_or(|r| r.0 + REPORT_EVERY <= now) {
            let (cores, disks, memory) = model.load();
            let all = self.setup.machine.memory * 1024.0 * 1024.0;
            let status = NodeStatus {
                node_id: life,
                uptime_millis: (now - started) / 1000,
                process_cpu_load: cores,
                system_cpu_load: cores,
                processors: self.setup.machine.cores as u32,
                heap_used: (memory * all) as u64,
                heap_available: all as u64,
                running_statements: Some(model.count() as u32),
                disk_load: Some(disks),
            };
            reports.push((now, status));
            if reports.len() > 128 {
                reports.remove(0);
            }
        }
        let old = reports.iter().rev().find(|r| r.0 + late <= now).or(reports.first());
        old.map(|r| r.1.clone()).unwrap_or_default()
    }

    /// The priority that a statement got, for tests.
    pub fn priority_of(&self, trace: &str) -> Option<u8> {
        self.state.borrow().statements.values().find(|s| s.trace == trace).map(|s| s.priority)
    }

    // ---- Faults by a socket ----------------------------------------------------------------------------

    async fn control(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let engine = self.clone();
            let work = async move {
                let mut connection = Connection::server(socket, Limits::default());
                while let Ok(Some(message)) = connection.read().await {
                    let (status, body) = match serde_json::from_slice::<Fault>(&message.body) {
                        Ok(fault) => {
                            engine.fault(&fault);
                            (200, "{}".to_owned())
                        }
                        Err(e) => {
                            (400, format!("{e}; expected for example {{\"kind\":\"crash\",\"for_ms\":5000}}"))
                        }
                    };
                    let mut out = Vec::new();
                    http::write_response(&mut out, status, &Headers::default(), body.as_bytes(), true);
                    if connection.write(&out).await.is_err() {
                        return;
                    }
                }
            };
            self.executor.spawn(work).detach();
        }
    }
}

/// Runs an engine until its process is ended; its addresses go to `file` (and beside it, `.control`) once it listens, or
/// to standard output.
///
/// # Errors
/// If it cannot listen or write.
pub fn serve(setup: Setup, file: Option<&std::path::Path>) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let engine = Engine::start(setup, executor.clone())?;
    match file {
        Some(file) => {
            if let Some(control) = engine.control_address() {
                write_address(&file.with_extension("control"), control)?;
            }
            write_address(file, engine.address())?;
        }
        None => println!("{}", engine.address()),
    }
    async_io::block_on(executor.run(future::pending::<()>()));
    Ok(())
}

/// Writes an address at one instant: a reader sees all of it or nothing.
///
/// # Errors
/// The file system's.
pub fn write_address(file: &std::path::Path, address: SocketAddr) -> std::io::Result<()> {
    let fresh = file.with_extension("new");
    std::fs::write(&fresh, address.to_string())?;
    std::fs::rename(&fresh, file)
}
