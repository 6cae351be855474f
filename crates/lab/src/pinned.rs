//! How long after its engine was removed, drained or restarted a client knows that its transaction is lost: with a statement that
//! runs, and with the next one.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::future;
use violetward::Gateway;
use violetward_gateway::{config, service};
use violetward_net::{sleep, Connection};
use violetward_standin::fault::Fault;
use violetward_standin::server::{Engine, Setup};
use violetward_statement::carried::Carried;
use violetward_statement::http::{Headers, Limits};
use violetward_statement::results::{QueryResults, STATEMENT};
use violetward_statement::session::Context;

use crate::demo::scratch;
use crate::fleet::{self, GatewayPlan, Listed};

/// Milliseconds from an event to the client's knowledge, sorted.
#[derive(Debug, Clone)]
pub struct Knowledge {
    /// What happened.
    pub event: &'static str,
    /// Rounds.
    pub millis: Vec<f64>,
}

impl fmt::Display for Knowledge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.millis.is_empty() {
            return write!(f, "{:<42} no round", self.event);
        }
        let at = |q: f64| self.millis[((self.millis.len() - 1) as f64 * q) as usize];
        let n = self.millis.len();
        write!(f, "{:<42} median {:>6.1} ms, longest {:>6.1} ms of {n}", self.event, at(0.5), at(1.0))
    }
}

/// Runs a statement of a client and gives the name of the error that it ended with.
async fn run(address: SocketAddr, carried: &mut Carried, sql: &str) -> std::io::Result<Option<String>> {
    let other = |e: violetward_net::NetError| std::io::Error::other(e.to_string());
    let mut connection = Connection::connect(address, Limits::default()).await?;
    let mut headers = Headers::default();
    headers.push("Host", "gateway");
    let mut context = Context { user: "lab".into(), tags: vec!["lookup".into()], ..Context::default() };
    carried.put(&mut context);
    context.write(&mut headers);
    let mut message = connection.call("POST", STATEMENT, &headers, sql.as_bytes()).await.map_err(other)?;
    loop {
        message.headers.iter().for_each(|(name, value)| carried.take(name, value));
        let results: QueryResults = serde_json::from_slice(&message.body)?;
        let Some(next) = results.next_uri else { return Ok(results.error.map(|e| e.error_name)) };
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        let path = next.find("/v1/").map_or("/", |at| &next[at..]).to_owned();
        message = connection.call("GET", &path, &headers, b"").await.map_err(other)?;
    }
}

/// Measures, so many rounds each.
///
/// # Errors
/// If something cannot listen, or a client is not told what it should be.
pub fn measure(rounds: usize) -> std::io::Result<Vec<Knowledge>> {
    let folder = scratch("pinned")?;
    let executor = Rc::new(LocalExecutor::new());
    let engines: Vec<Rc<Engine>> = (0..2)
        .map(|n| Engine::start(Setup::new(&format!("e{n}")), executor.clone()))
        .collect::<Result<_, _>>()?;
    let file = folder.join("engines.lisp");
    let list = |leave_out: Option<usize>, drains: Option<usize>, came_up: &[u64; 2]| {
        let entry = |n: usize| Listed {
            name: engines[n].name().into(),
            address: engines[n].address(),
            kind: "m8".into(),
            came_up: came_up[n],
            state: if drains == Some(n) { "draining" } else { "up" },
        };
        let all: Vec<Listed> = (0..2).filter(|&n| leave_out != Some(n)).map(entry).collect();
        fleet::write_list(&file, &all)
    };
    let up = [0, 0];
    list(None, None, &up)?;
    let plan = GatewayPlan {
        number: 0,
        of: 1,
        listen: "127.0.0.1:0".into(),
        engines: file.clone(),
        more: String::new(),
    };
    let config = config::parse(&fleet::configuration(&plan), &folder)
        .map_err(|m| std::io::Error::other(format!("{m:?}")))?;
    let module = Gateway::new(config.settings.clone(), 1);
    let (_host, address) = service::start(config, Box::new(module), executor.clone())?;
    let events = [
        "removed, a statement runs",
        "drains, a statement runs",
        "restarted, a statement runs",
        "restarted, the next statement",
    ];
    let mut all: Vec<Knowledge> = events.map(|event| Knowledge { event, millis: Vec::new() }).into();
    async_io::block_on(executor.run(async {
        sleep(Duration::from_millis(300)).await;
        for round in 0..rounds * events.len() {
            let which = round % events.len();
            let mut carried = Carried::default();
            while run(address, &mut carried, "START TRANSACTION").await?.is_some() {
                sleep(Duration::from_millis(100)).await;
            }
            let n = engines.iter().position(|e| e.sessions() > 0).unwrap_or(0);
            let begun = Instant::now();
            let act = async {
                sleep(Duration::from_millis(60 + round as u64 % 37)).await;
                let at = begun.elapsed();
                match which {
                    0 => list(Some(n), None, &up)?,
                    1 => list(None, Some(n), &up)?,
                    _ => engines[n].fault(&Fault::Crash { for_ms: 20 }),
                }
                Ok::<Duration, std::io::Error>(at)
            };
            let (told, at) = if which < 3 {
                let (told, at) =
                    future::zip(run(address, &mut carried, "SELECT 1 /*sim work=3000*/"), act).await;
                (told?, at?)
            } else {
                let at = act.await?;
                // Asked every few milliseconds until the answer is the one that says so.
                let told = loop {
                    match run(address, &mut carried, "SELECT 1").await? {
                        Some(name) if name == "STATEMENT_REFUSED" => sleep(Duration::from_millis(5)).await,
                        told => break told,
                    }
                };
                (told, at)
            };
            let took = begun.elapsed().saturating_sub(at);
            match told.as_deref() {
                Some("SESSION_LOST" | "STATEMENT_FAILED") => {
                    all[which].millis.push(took.as_secs_f64() * 1e3);
                }
                // An engine that has just come back takes little; then this round tells nothing.
                Some("STATEMENT_REFUSED") => {}
                told => return Err(std::io::Error::other(format!("{}: told {told:?}", events[which]))),
            }
            list(None, None, &up)?;
            sleep(Duration::from_millis(400)).await;
        }
        Ok(())
    }))?;
    for knowledge in &mut all {
        knowledge.millis.sort_by(f64::total_cmp);
    }
    std::fs::remove_dir_all(&folder).ok();
    Ok(all)
}
