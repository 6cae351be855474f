//! A gateway, stand-in engines and clients on one thread of each test.

// Each test program uses its own part.
#![allow(dead_code)]

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use violetward::Gateway;
use violetward_gateway::host::Host;
use violetward_gateway::{config, service};
use violetward_lab::fleet::{self, GatewayPlan, Listed};
use violetward_net::{sleep, timeout, Connection};
use violetward_standin::journal::{self, What};
use violetward_standin::server::{Engine, Setup};
use violetward_statement::http::{Headers, Limits, Message};
use violetward_statement::results::{QueryResults, STATEMENT};
use violetward_statement::session::decode;

/// A gateway and its engines.
pub struct Bed {
    pub executor: Rc<LocalExecutor<'static>>,
    pub folder: PathBuf,
    pub engines: RefCell<Vec<Rc<Engine>>>,
    pub address: SocketAddr,
    pub host: Rc<Host>,
}

impl Drop for Bed {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Runs a test on a bed with so many engines; `more` is added to the configuration.
pub fn with<F: Future<Output = ()>>(engines: usize, more: &str, test: impl FnOnce(Rc<Bed>) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    static BEDS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let n = BEDS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("violetward-test-{}-{n}", std::process::id()));
    std::fs::create_dir_all(folder.join("storage")).unwrap();
    let start = |n: usize| {
        let name = format!("e{n}");
        let journal = Some(folder.join(format!("{name}.jsonl")));
        let storage = Some(folder.join("storage"));
        Engine::start(Setup { journal, storage, rows_a_page: 100, ..Setup::new(&name) }, executor.clone())
            .unwrap()
    };
    let engines: Vec<Rc<Engine>> = (0..engines).map(start).collect();
    let list = folder.join("engines.lisp");
    fleet::write_list(&list, &engines.iter().map(|e| listed(e)).collect::<Vec<_>>()).unwrap();
    let plan =
        GatewayPlan { number: 0, of: 1, listen: "127.0.0.1:0".into(), engines: list, more: more.into() };
    let config = config::parse(&fleet::configuration(&plan), &folder).expect("good");
    let module = Gateway::new(config.settings.clone(), 5);
    let (host, address) = service::start(config, Box::new(module), executor.clone()).unwrap();
    let bed =
        Rc::new(Bed { executor: executor.clone(), folder, engines: RefCell::new(engines), address, host });
    async_io::block_on(executor.run(async {
        while bed.host.read_core(|core| core.engines().count()) < bed.engines.borrow().len() {
            sleep(Duration::from_millis(5)).await;
        }
        timeout(Duration::from_secs(60), test(bed.clone())).await.expect("the test hangs");
    }));
}

pub fn listed(engine: &Engine) -> Listed {
    Listed {
        name: engine.name().into(),
        address: engine.address(),
        kind: "m8".into(),
        came_up: 0,
        state: "up",
    }
}

impl Bed {
    pub fn engine(&self, n: usize) -> Rc<Engine> {
        self.engines.borrow()[n].clone()
    }

    pub fn write_list(&self, change: impl Fn(&mut Vec<Listed>)) {
        let mut list: Vec<Listed> = self.engines.borrow().iter().map(|e| listed(e)).collect();
        change(&mut list);
        fleet::write_list(&self.folder.join("engines.lisp"), &list).unwrap();
    }

    pub async fn connect(&self) -> Connection {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        Connection::connect(self.address, limits).await.unwrap()
    }

    pub async fn post(&self, connection: &mut Connection, sql: &str, tags: &str) -> QueryResults {
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        headers.push("X-Trino-User", "tester");
        headers.push("X-Trino-Client-Tags", tags);
        headers.push("X-Trino-Trace-Token", sql.rsplit("--").next().unwrap_or(sql).trim());
        let message = connection.call("POST", STATEMENT, &headers, sql.as_bytes()).await.unwrap();
        assert_eq!(message.status(), 200, "{}", String::from_utf8_lossy(&message.body));
        serde_json::from_slice(&message.body).unwrap()
    }

    pub async fn get(&self, connection: &mut Connection, uri: &str) -> Message {
        self.ask(connection, "GET", uri).await
    }

    pub async fn ask(&self, connection: &mut Connection, method: &str, uri: &str) -> Message {
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        let path = uri.strip_prefix("http://gateway").unwrap_or(uri);
        connection.call(method, path, &headers, b"").await.unwrap()
    }

    /// Polls to the end: the name of the error, if any, and all rows.
    pub async fn finish(&self, mut results: QueryResults) -> (Option<String>, usize) {
        let mut connection = self.connect().await;
        let mut rows = 0;
        loop {
            rows += results
                .data
                .as_ref()
                .map_or(0, |d| serde_json::from_str::<Vec<serde_json::Value>>(d.get()).unwrap().len());
            let Some(next) = results.next_uri else { return (results.error.map(|e| e.error_name), rows) };
            let message = self.get(&mut connection, &next).await;
            assert_eq!(message.status(), 200, "{}", String::from_utf8_lossy(&message.body));
            results = serde_json::from_slice(&message.body).unwrap();
        }
    }

    pub async fn run(&self, sql: &str, tags: &str) -> (Option<String>, usize) {
        let mut connection = self.connect().await;
        let results = self.post(&mut connection, sql, tags).await;
        self.finish(results).await
    }

    /// Tries again while it is refused, as a refusal says that it may.
    pub async fn insist(&self, sql: &str, tags: &str) {
        loop {
            match self.run(sql, tags).await.0.as_deref() {
                None => return,
                Some("STATEMENT_REFUSED") => sleep(Duration::from_millis(50)).await,
                Some(other) => panic!("{other}"),
            }
        }
    }

    pub fn lines(&self) -> Vec<journal::Line> {
        let mut all = Vec::new();
        for engine in self.engines.borrow().iter() {
            all.extend(journal::read(&self.folder.join(format!("{}.jsonl", engine.name()))).unwrap());
        }
        all.sort_by_key(|l| l.at);
        all
    }

    pub fn effects(&self) -> usize {
        self.lines().iter().filter(|l| matches!(l.what, What::Effect { .. })).count()
    }

    pub fn got(&self) -> usize {
        self.lines().iter().filter(|l| matches!(l.what, What::Got { .. })).count()
    }
}

/// A client that carries its session as the protocol has it.
pub struct Caller {
    pub address: SocketAddr,
    pub user: String,
    pub transaction: Option<String>,
    pub session: Vec<(String, String)>,
}

/// Rows, or name and message of an error.
pub type Answered = Result<Vec<Vec<serde_json::Value>>, (String, String)>;

impl Caller {
    pub fn new(address: SocketAddr) -> Caller {
        Caller { address, user: "tester".into(), transaction: None, session: Vec::new() }
    }

    /// A headers-only client: nothing is interpreted but what the protocol says.
    pub async fn run(&mut self, sql: &str) -> Answered {
        let limits = Limits { body: 64 << 20, ..Limits::default() };
        let mut connection = Connection::connect(self.address, limits).await.unwrap();
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        headers.push("X-Trino-User", self.user.clone());
        headers.push("X-Trino-Client-Tags", "lookup");
        headers.push("X-Trino-Transaction-Id", self.transaction.clone().unwrap_or("NONE".into()));
        let session: Vec<String> = self.session.iter().map(|(n, v)| format!("{n}={v}")).collect();
        if !session.is_empty() {
            headers.push("X-Trino-Session", session.join(","));
        }
        let mut message = connection.call("POST", STATEMENT, &headers, sql.as_bytes()).await.unwrap();
        let mut rows = Vec::new();
        loop {
            assert_eq!(message.status(), 200, "{}", String::from_utf8_lossy(&message.body));
            self.take(&message);
            let results: QueryResults = serde_json::from_slice(&message.body).unwrap();
            if let Some(data) = &results.data {
                rows.extend(serde_json::from_str::<Vec<Vec<serde_json::Value>>>(data.get()).unwrap());
            }
            if let Some(error) = results.error {
                return Err((error.error_name, error.message));
            }
            let Some(next) = results.next_uri else { return Ok(rows) };
            let mut headers = Headers::default();
            headers.push("Host", "gateway");
            let path = next.strip_prefix("http://gateway").unwrap_or(&next).to_owned();
            message = connection.call("GET", &path, &headers, b"").await.unwrap();
        }
    }

    fn take(&mut self, message: &Message) {
        for (name, value) in message.headers.iter() {
            match name.to_ascii_lowercase().as_str() {
                "x-trino-started-transaction-id" => self.transaction = Some(value.to_owned()),
                "x-trino-clear-transaction-id" => self.transaction = None,
                "x-trino-set-session" => {
                    let (name, value) = value.split_once('=').unwrap();
                    self.session.retain(|(n, _)| n != name);
                    self.session.push((name.to_owned(), value.to_owned()));
                }
                "x-trino-clear-session" => self.session.retain(|(n, _)| n != value),
                _ => {}
            }
        }
    }

    /// The token that it carries.
    pub fn token(&self) -> String {
        let session = self.session.iter().find(|(n, _)| n == "engine_session");
        self.transaction.clone().or(session.and_then(|(_, v)| decode(v))).expect("a session")
    }

    pub async fn one(&mut self, sql: &str) -> serde_json::Value {
        self.run(sql).await.unwrap_or_else(|e| panic!("{sql}: {e:?}"))[0][0].clone()
    }

    /// The name of the error that a statement ends with.
    pub async fn error(&mut self, sql: &str) -> String {
        self.run(sql).await.expect_err("an error").0
    }
}
