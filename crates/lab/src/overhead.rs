//! What the gateway costs: the same short statements straight to a stand-in engine, through a bare byte relay, and
//! through the gateway, in turn, in one run. Processor time is read per process, so that throughput per core does not
//! depend on how many cores there are.

use std::fmt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use violetward_net::{Connection, Pool};
use violetward_statement::http::{Headers, Limits};
use violetward_statement::results::{QueryResults, STATEMENT};

use crate::fleet::{self, GatewayPlan, Listed};
use crate::process::{self, Process};

/// What one way of asking gave.
#[derive(Debug, Clone)]
pub struct Way {
    /// Its name.
    pub name: &'static str,
    /// Statements a second.
    pub rate: f64,
    /// Microseconds.
    pub p50: u64,
    /// See `p50`.
    pub p99: u64,
    /// Processor time of the process in between, microseconds a statement.
    pub cpu: f64,
}

/// What a run gave: medians over its rounds.
#[derive(Debug, Clone)]
pub struct Overhead {
    /// With one client at a time: latency.
    pub alone: Vec<Way>,
    /// With many: throughput.
    pub many: Vec<Way>,
    /// Memory of the gateway: bytes for an idle connection and for an open statement.
    pub idle_connection: f64,
    /// See `idle_connection`.
    pub open_statement: f64,
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (what, ways) in [("one client at a time", &self.alone), ("32 clients at a time", &self.many)] {
            writeln!(f, "{what}:")?;
            writeln!(f, "| way      | statements/s | p50 us | p99 us | added p50 | added p99 | CPU us/statement | per core/s |")?;
            writeln!(f, "|----------|--------------|--------|--------|-----------|-----------|------------------|------------|")?;
            let direct = &ways[0];
            for way in ways {
                let (a, b) = (way.p50 as i64 - direct.p50 as i64, way.p99 as i64 - direct.p99 as i64);
                let core = if way.cpu > 0.0 { 1e6 / way.cpu } else { 0.0 };
                writeln!(
                    f,
                    "| {:<8} | {:>12.0} | {:>6} | {:>6} | {a:>9} | {b:>9} | {:>16.1} | {core:>10.0} |",
                    way.name, way.rate, way.p50, way.p99, way.cpu
                )?;
            }
            let (relay, gateway) = (&ways[1], &ways[2]);
            writeln!(f, "gateway per core against relay: {:.2}", relay.cpu / gateway.cpu)?;
            let added = |w: &Way| w.p99 as f64 - direct.p99 as f64;
            if added(relay) > 0.05 * direct.p99 as f64 {
                writeln!(f, "added p99 against the relay's: {:.2}\n", added(gateway) / added(relay))?;
            } else {
                writeln!(f, "the relay adds nothing to the p99 that could be told from noise\n")?;
            }
        }
        writeln!(f, "memory of an idle keep-alive connection: {:.0} bytes", self.idle_connection)?;
        writeln!(f, "memory of an open statement (its poll waiting): {:.0} bytes", self.open_statement)
    }
}

/// Runs the comparison: `rounds` times each way in turn, `count` statements at a time.
///
/// # Errors
/// If a process does not start.
pub fn run(rounds: usize, count: usize) -> std::io::Result<Overhead> {
    let folder = crate::demo::scratch("overhead")?;
    let result = compare(&folder, rounds, count);
    std::fs::remove_dir_all(&folder).ok();
    result
}

fn compare(folder: &Path, rounds: usize, count: usize) -> std::io::Result<Overhead> {
    std::fs::create_dir_all(folder.join("storage"))?;
    let text = |p: PathBuf| p.display().to_string();
    let file = folder.join("e1.address");
    let arguments = [
        "engine",
        "--name",
        "e1",
        "--kind",
        "m256",
        "--seed",
        "1",
        "--journal",
        "/dev/null",
        "--storage",
        &text(folder.join("storage")),
        "--address-file",
        &text(file.clone()),
    ];
    let log = folder.join("log");
    let _engine = Process::start(&arguments.map(String::from), &log)?;
    let engine = process::address_from(&file)?;
    let file = folder.join("relay.address");
    let relay = Process::start(&["relay".into(), engine.to_string(), text(file.clone())], &log)?;
    let relay_at = process::address_from(&file)?;
    let list = folder.join("engines.lisp");
    let listed = Listed { name: "e1".into(), address: engine, kind: "m8".into(), came_up: 0, state: "up" };
    fleet::write_list(&list, &[listed])?;
    let plan =
        GatewayPlan { number: 0, of: 1, listen: "127.0.0.1:0".into(), engines: list, more: String::new() };
    let file = folder.join("gateway.lisp");
    // So many cores that no bound of the policy holds anything back: what is measured is the program.
    let configuration =
        fleet::configuration(&plan).replace("(cores 8)", "(cores 256)").replace("16GB", "512GB");
    std::fs::write(&file, configuration)?;
    let ready = folder.join("gateway.address");
    let arguments = [
        "gateway",
        &text(file),
        "--address-file",
        &text(ready.clone()),
        "--policy",
        "module",
        "--log-level",
        "warn",
    ];
    let gateway = Process::start(&arguments.map(String::from), &log)?;
    let gateway_at = process::address_from(&ready)?;
    std::thread::sleep(Duration::from_millis(300));
    let ways = [
        ("direct", engine, None),
        ("relay", relay_at, Some(&relay)),
        ("gateway", gateway_at, Some(&gateway)),
    ];
    let mut result = Vec::new();
    for (clients, count) in [(1, count / 4), (32, count)] {
        let mut seen: Vec<Vec<Way>> = vec![Vec::new(); 3];
        for round in 0..=rounds {
            for (i, (name, address, process)) in ways.iter().enumerate() {
                let before = process.map_or(0.0, |p| cpu(p.id()));
                let (rate, histogram) = ask(*address, clients, count);
                let after = process.map_or(0.0, |p| cpu(p.id()));
                if round == 0 {
                    continue; // a warm-up
                }
                let (p50, p99) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
                seen[i].push(Way { name, rate, p50, p99, cpu: (after - before) * 1e6 / count as f64 });
            }
        }
        result.push(seen.into_iter().map(median).collect::<Vec<Way>>());
    }
    let many = result.pop().unwrap_or_default();
    let alone = result.pop().unwrap_or_default();
    let (idle_connection, open_statement) = memory(gateway.id(), gateway_at)?;
    Ok(Overhead { alone, many, idle_connection, open_statement })
}

fn median(mut ways: Vec<Way>) -> Way {
    let of = |values: Vec<f64>| {
        let mut values = values;
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let rate = of(ways.iter().map(|w| w.rate).collect());
    let p50 = of(ways.iter().map(|w| w.p50 as f64).collect()) as u64;
    let p99 = of(ways.iter().map(|w| w.p99 as f64).collect()) as u64;
    let cpu = of(ways.iter().map(|w| w.cpu).collect());
    let name = ways.remove(0).name;
    Way { name, rate, p50, p99, cpu }
}

/// Processor seconds of a process (`/proc`, fields 14 and 15, hundredths).
pub(crate) fn cpu(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after.split(' ').filter_map(|f| f.parse().ok()).collect();
    // The state is no number, so that field 14 stands at place 10 from it on.
    (fields.get(10).unwrap_or(&0.0) + fields.get(11).unwrap_or(&0.0)) / 100.0
}

fn resident(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    text.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// Asks `count` statements, so many at a time, each to its end.
fn ask(address: SocketAddr, clients: usize, count: usize) -> (f64, Histogram<u64>) {
    let executor = Rc::new(LocalExecutor::new());
    let pool = Rc::new(Pool::new(address, Limits { body: 1 << 24, ..Limits::default() }, clients));
    let histogram =
        Rc::new(std::cell::RefCell::new(Histogram::<u64>::new(3).expect("three digits are allowed")));
    let start = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..clients {
        let (pool, histogram) = (pool.clone(), histogram.clone());
        let own = count / clients + usize::from(n < count % clients);
        tasks.push(executor.spawn(async move {
            let Ok(mut connection) = pool.get(Duration::from_secs(2)).await else { return };
            for _ in 0..own {
                let at = Instant::now();
                if one(&mut connection, address).await.is_none() {
                    return;
                }
                histogram.borrow_mut().record(at.elapsed().as_micros() as u64).ok();
            }
        }));
    }
    async_io::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    let took = start.elapsed().as_secs_f64();
    let histogram = histogram.borrow().clone();
    (histogram.len() as f64 / took, histogram)
}

/// One short statement: its work is next to nothing, so that what lies in between shows.
async fn one(connection: &mut Connection, address: SocketAddr) -> Option<()> {
    let mut headers = Headers::default();
    headers.push("Host", address.to_string());
    headers.push("X-Trino-User", "lab");
    headers.push("X-Trino-Client-Tags", "lookup");
    let sql = b"SELECT name, price FROM players WHERE id = 7 /*sim work=0.01 mem=1*/";
    let mut message = connection.call("POST", STATEMENT, &headers, sql).await.ok()?;
    let mut plain = Headers::default();
    plain.push("Host", address.to_string());
    loop {
        let results: QueryResults = serde_json::from_slice(&message.body).ok()?;
        let Some(next) = results.next_uri else { return results.error.is_none().then_some(()) };
        let path = next.find("/v1/").map(|at| &next[at..])?;
        message = connection.call("GET", path, &plain, b"").await.ok()?;
    }
}

/// Bytes of the gateway for an idle connection, and for a statement whose client waits for its rows.
fn memory(pid: u32, address: SocketAddr) -> std::io::Result<(f64, f64)> {
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let (idle, open) = (4000, 400);
        let before = resident(pid);
        let mut kept = Vec::new();
        for _ in 0..idle {
            let mut connection = Connection::connect(address, Limits::default()).await?;
            let mut headers = Headers::default();
            headers.push("Host", "gateway");
            connection.call("GET", "/v1/info", &headers, b"").await.map_err(std::io::Error::other)?;
            kept.push(connection);
        }
        let with_idle = resident(pid);
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        headers.push("X-Trino-User", "lab");
        headers.push("X-Trino-Client-Tags", "load,key=k");
        headers.push("X-Trino-Resource-Estimate", "CPU_TIME=50ms,PEAK_MEMORY=1MB");
        let mut polls = Vec::new();
        // Loads of one key wait for their turn: the first holds all others up.
        for mut connection in kept.drain(..open) {
            let sql = b"INSERT INTO loads VALUES (1, 'x') /*sim work=9000 mem=1*/";
            let message =
                connection.call("POST", STATEMENT, &headers, sql).await.map_err(std::io::Error::other)?;
            let results: QueryResults =
                serde_json::from_slice(&message.body).map_err(std::io::Error::other)?;
            let next = results.next_uri.unwrap_or_default();
            polls.push(executor.spawn(async move {
                let path = next.find("/v1/").map_or("/", |at| &next[at..]);
                let mut plain = Headers::default();
                plain.push("Host", "gateway");
                connection.call("GET", path, &plain, b"").await.ok();
            }));
        }
        violetward_net::sleep(Duration::from_millis(400)).await;
        let with_open = resident(pid);
        Ok(((with_idle - before).max(0.0) / f64::from(idle), (with_open - with_idle).max(0.0) / open as f64))
    }))
}

/// The bare relay: bytes there and back, on the same executor, with nothing in between.
///
/// # Errors
/// If it cannot listen.
pub fn relay(to: SocketAddr, address_file: &Path) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let fresh = address_file.with_extension("new");
    std::fs::write(&fresh, listener.get_ref().local_addr()?.to_string())?;
    std::fs::rename(&fresh, address_file)?;
    let spawner = executor.clone();
    async_io::block_on(executor.run(async move {
        loop {
            let (client, _) = listener.accept().await?;
            spawner
                .spawn(async move {
                    let Ok(engine) = Async::<TcpStream>::connect(to).await else { return };
                    client.get_ref().set_nodelay(true).ok();
                    engine.get_ref().set_nodelay(true).ok();
                    future::or(copy(&client, &engine), copy(&engine, &client)).await;
                })
                .detach();
        }
    }))
}

async fn copy(mut from: &Async<TcpStream>, mut to: &Async<TcpStream>) {
    let mut chunk = vec![0; 16 << 10];
    while let Ok(n) = from.read(&mut chunk).await {
        if n == 0 || to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}
