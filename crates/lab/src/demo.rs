//! One command that starts stand-in engines and a gateway, says how to try them, and shows what happens.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::future;
use violetward_gateway::{config, service};
use violetward_standin::model::Machine;
use violetward_standin::server::{Engine, Setup};

use crate::fleet::{self, GatewayPlan, Listed};

/// A folder of this process's own under the system's temporary one.
///
/// # Errors
/// The file system's.
pub fn scratch(what: &str) -> std::io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("violetward-{what}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Starts engines on a thread of their own; they run as long as the process does.
///
/// # Errors
/// If one cannot listen.
pub fn engines(setups: Vec<Setup>) -> std::io::Result<Vec<(Listed, Option<SocketAddr>)>> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let mut started = Vec::new();
        let mut kept = Vec::new();
        for setup in setups {
            let kind = setup.kind.clone();
            match Engine::start(setup, executor.clone()) {
                Ok(engine) => {
                    let (name, address) = (engine.name().to_owned(), engine.address());
                    let listed = Listed { name, address, kind, came_up: 0, state: "up" };
                    started.push((listed, engine.control_address()));
                    kept.push(engine);
                }
                Err(e) => {
                    sender.send(Err(e)).ok();
                    return;
                }
            }
        }
        sender.send(Ok(started)).ok();
        async_io::block_on(executor.run(future::pending::<()>()));
    });
    receiver.recv().map_err(std::io::Error::other)?
}

/// The key of the demo's updates: not a secret.
const DEMO_KEY: &str = "sixteen bytes and more";

/// The demo's engines as a zone.
fn zone(engines: &[Listed]) -> String {
    let mut text =
        "$TTL 5\n@ SOA ns hostmaster 1 1h 15m 1w 5\n  NS ns\nns A 127.0.0.1\nhost A 127.0.0.1\n".to_owned();
    for engine in engines {
        let (name, port, kind) = (&engine.name, engine.address.port(), &engine.kind);
        text += &format!("{name} SRV 0 0 {port} host\n  TXT \"kind={kind}\"\n");
    }
    text
}

/// Runs the demo until it is stopped.
///
/// # Errors
/// If something cannot listen or be written.
pub fn run(
    listen: SocketAddr,
    count: usize,
    address_file: Option<PathBuf>,
    kernel: Option<PathBuf>,
    dns: Option<SocketAddr>,
) -> std::io::Result<()> {
    // With port 0 the system's choice is settled first, so that it can be told.
    let listen = match listen.port() {
        0 => std::net::TcpListener::bind(listen)?.local_addr()?,
        _ => listen,
    };
    let folder = scratch("demo")?;
    let storage = folder.join("storage");
    std::fs::create_dir_all(&storage)?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let setup = |i: usize| {
        let kind = if i % 3 == 2 { "m4" } else { "m8" };
        let cores = if kind == "m4" { 4.0 } else { 8.0 };
        Setup {
            kind: kind.into(),
            machine: Machine { cores, disks: cores * 0.75, memory: cores * 2048.0, ..Machine::default() },
            control: Some(any),
            storage: Some(storage.clone()),
            ..Setup::new(&format!("e{}", i + 1))
        }
    };
    let started = engines((0..count).map(setup).collect())?;
    let list = folder.join(if dns.is_some() { "fleet.zone" } else { "engines.lisp" });
    let listed: Vec<Listed> = started.iter().map(|s| s.0.clone()).collect();
    match dns {
        Some(_) => std::fs::write(&list, zone(&listed))?,
        None => fleet::write_list(&list, &listed)?,
    }
    let mut more = match &kernel {
        Some(file) => {
            format!("(kernel (connection-file {:?}))\n", std::path::absolute(file)?.display().to_string())
        }
        None => String::new(),
    };
    if let Some(dns) = dns {
        more += &format!("(dns (listen \"{dns}\") (key ops. \"{DEMO_KEY}\"))\n");
    }
    let plan = GatewayPlan { number: 0, of: 1, listen: listen.to_string(), engines: list.clone(), more };
    let file = folder.join("gateway.lisp");
    let mut text = fleet::configuration(&plan);
    if dns.is_some() {
        text = text.replacen("(listen", "(origin \"fleet.example.\")\n  (listen", 1);
    }
    std::fs::write(&file, text)?;
    if let Some(dns) = dns {
        println!(
            "The zone fleet.example. is served on {dns}; updates are signed by ops., secret {DEMO_KEY:?}."
        );
    }
    println!("A gateway for {count} stand-in engines on {listen}. Its files are in {}.", folder.display());
    println!("The list of engines is {}: change it while this runs.", list.display());
    for (engine, control) in &started {
        let control = control.map(|c| c.to_string()).unwrap_or_default();
        println!("  {} ({}) on {}, faults on {control}", engine.name, engine.kind, engine.address);
    }
    println!("\nTry it, with the Python package trino:\n");
    println!(
        "  python3 -c 'import trino; c = trino.dbapi.connect(host=\"{}\", port={}, user=\"me\").cursor(); \\",
        listen.ip(),
        listen.port()
    );
    println!("    c.execute(\"SELECT name, price FROM players ORDER BY price DESC LIMIT 5\"); print(c.fetchall())'\n");
    println!("or without: curl -s -H 'X-Trino-User: me' -d 'SELECT 1' http://{listen}/v1/statement (then its nextUri).");
    if let Some((_, Some(control))) = started.first() {
        println!("A fault: curl -d '{{\"kind\":\"crash\",\"for_ms\":5000}}' http://{control}/fault\n");
    }
    let config = config::load(&file).map_err(|m| std::io::Error::other(m.join("\n")))?;
    let result = service::serve(config, address_file.as_deref());
    std::fs::remove_dir_all(&folder).ok();
    result
}
