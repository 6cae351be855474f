//! The program `violetward`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use violetward_gateway::{config, service};

/// A workload manager for analytic engines: it admits statements, sends each to an engine that can answer it in time,
/// and refuses at once what none could. Clients speak the public statement protocol of Trino to it.
#[derive(Parser)]
#[command(name = "violetward", version)]
struct Cli {
    /// How the log is written to standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Plain, global = true)]
    log: LogForm,
    /// What is logged: error, warn, info, debug, or a filter such as "info,violetward::module=warn".
    #[arg(long, default_value = "info", global = true)]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum LogForm {
    /// Lines for people.
    Plain,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway with the configuration FILE until SIGTERM; what has been taken then still gets its answer.
    Serve {
        /// The configuration (S-expressions; see docs/operators.md).
        file: PathBuf,
        /// Write the address that the gateway listens on to this file, once it does.
        #[arg(long)]
        address_file: Option<PathBuf>,
    },
    /// Check the configuration FILE: each mistake with its line, its column and what was expected.
    Check {
        /// The configuration.
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::new(&cli.log_level);
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match cli.log {
        LogForm::Plain => log.init(),
        LogForm::Json => log.json().init(),
    }
    let file = match &cli.command {
        Command::Serve { file, .. } | Command::Check { file } => file,
    };
    let config = match config::load(file) {
        Ok(config) => config,
        Err(mistakes) => {
            mistakes.iter().for_each(|m| eprintln!("{m}"));
            return ExitCode::from(2);
        }
    };
    match cli.command {
        Command::Check { file } => {
            let (classes, kinds) = (config.names.classes.join(", "), config.names.kinds.join(", "));
            println!("{}: good. Classes: {classes}. Kinds: {kinds}.", file.display());
            ExitCode::SUCCESS
        }
        Command::Serve { address_file, .. } => match service::serve(config, address_file.as_deref()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("violetward: {e}");
                ExitCode::FAILURE
            }
        },
    }
}
