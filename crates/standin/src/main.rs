//! The program `violetward-standin`: one stand-in engine, until it is ended.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use clap::Parser;
use futures_lite::future;
use violetward_standin::model::Machine;
use violetward_standin::server::{Engine, Setup};

/// A stand-in engine: the engine's side of the statement protocol over an embedded SQL library, with faults on order.
#[derive(Parser)]
#[command(name = "violetward-standin", version)]
struct Cli {
    /// Its name.
    #[arg(long, default_value = "e1")]
    name: String,
    /// Where it takes statements.
    #[arg(long, default_value = "127.0.0.1:9001")]
    listen: SocketAddr,
    /// Where it takes faults: a POST of JSON such as {"kind":"crash","for_ms":5000}.
    #[arg(long)]
    control: Option<SocketAddr>,
    /// Its kind of machine, for the journal.
    #[arg(long, default_value = "m8")]
    kind: String,
    /// Cores.
    #[arg(long, default_value_t = 8.0)]
    cores: f64,
    /// Memory in megabytes.
    #[arg(long, default_value_t = 16384.0)]
    memory: f64,
    /// Writes down what passed on its sockets.
    #[arg(long)]
    journal: Option<PathBuf>,
    /// A folder that all engines share, by which repeats are dropped.
    #[arg(long)]
    storage: Option<PathBuf>,
    /// It starts cold.
    #[arg(long)]
    cold: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let machine =
        Machine { cores: cli.cores, disks: cli.cores * 0.75, memory: cli.memory, ..Machine::default() };
    let setup = Setup {
        listen: cli.listen,
        control: cli.control,
        kind: cli.kind,
        machine,
        journal: cli.journal,
        storage: cli.storage,
        cold: cli.cold,
        ..Setup::new(&cli.name)
    };
    let executor = Rc::new(LocalExecutor::new());
    match Engine::start(setup, executor.clone()) {
        Ok(engine) => {
            println!("{}", engine.address());
            async_io::block_on(executor.run(future::pending::<()>()));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("violetward-standin: {e}");
            ExitCode::FAILURE
        }
    }
}
