//! The program `violetward-standin`: one stand-in engine, until it is ended.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use violetward_standin::model::Machine;
use violetward_standin::server::{self, Setup};

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
    /// Milliseconds until an engine that started cold is warm.
    #[arg(long, default_value_t = 15_000)]
    cold_span_ms: u64,
    /// Write the address to this file once it listens, and that of faults beside it (`.control`).
    #[arg(long)]
    address_file: Option<PathBuf>,
    /// End with the process that started this one, even if that is killed outright.
    #[arg(long, hide = true)]
    with_parent: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.with_parent {
        rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL)).ok();
    }
    let (disks, cold_span) = (cli.cores * 0.75, cli.cold_span_ms * 1000);
    let sessions = (cli.cores * 8.0) as usize;
    let machine =
        Machine { cores: cli.cores, disks, memory: cli.memory, sessions, cold_span, ..Machine::default() };
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
    match server::serve(setup, cli.address_file.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("violetward-standin: {e}");
            ExitCode::FAILURE
        }
    }
}
