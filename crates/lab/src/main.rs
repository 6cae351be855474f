//! The program `violetward-lab`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use violetward_lab::demo;

/// Tries violetward out on this machine, against stand-in engines.
#[derive(Parser)]
#[command(name = "violetward-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-in engines and a gateway, say how to try them, and show what happens, until stopped.
    Demo {
        /// Where the gateway listens.
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
        /// How many engines.
        #[arg(long, default_value_t = 3)]
        engines: usize,
        /// Write the gateway's address to this file once it listens.
        #[arg(long)]
        address_file: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Demo { listen, engines, address_file } => {
            tracing_subscriber::fmt().with_writer(std::io::stderr).init();
            demo::run(listen, engines, address_file)
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("violetward-lab: {e}");
            ExitCode::FAILURE
        }
    }
}
