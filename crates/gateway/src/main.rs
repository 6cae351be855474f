//! The program `violetward`.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use violetward_dns::master;
use violetward_dns::name::Name;
use violetward_dns::zone::{Change, Zone};
use violetward_gateway::{config, peers, service, watch};

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
    /// End with the process that started this one, even if that is killed outright.
    #[arg(long, global = true, hide = true)]
    with_parent: bool,
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
    /// Run the query gateway of a platform that tells its configuration by PROXY_CONFIG and PROXY_LISTEN.
    Platform {
        /// The configuration (JSON; see docs/operators.md).
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        /// The address that clients connect to, if not that of the configuration.
        #[arg(long, env = "PROXY_LISTEN")]
        listen: Option<std::net::SocketAddr>,
    },
    /// Show the gateways that the one at ADDRESS knows of, as a table.
    Members {
        /// Where that gateway takes statements.
        address: std::net::SocketAddr,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Look at zone files that list engines.
    Zone {
        #[command(subcommand)]
        what: ZoneCommand,
    },
}

#[derive(Subcommand)]
enum ZoneCommand {
    /// Tell each mistake with its line and column.
    Check {
        /// The master file.
        file: PathBuf,
        /// The zone's name.
        #[arg(long)]
        origin: String,
    },
    /// Show its records, whole and in order.
    Show {
        /// The master file.
        file: PathBuf,
        /// The zone's name.
        #[arg(long)]
        origin: String,
    },
    /// Show what has changed from one file to another.
    Diff {
        /// The master file of before.
        old: PathBuf,
        /// That of after.
        new: PathBuf,
        /// The zone's name.
        #[arg(long)]
        origin: String,
    },
}

/// Reads a zone, and tells what is wrong with it; `None` if nothing of it can be used.
fn read_zone(file: &std::path::Path, origin: &str) -> Option<(Zone, bool)> {
    let told = |why: String| eprintln!("{}:{why}", file.display());
    let origin = match Name::parse(origin, &Name::root()) {
        Ok(origin) => origin,
        Err(e) => {
            eprintln!("{origin}: {e}");
            return None;
        }
    };
    let text = std::fs::read_to_string(file).map_err(|e| told(format!(" {e}"))).ok()?;
    let reading = master::read(&text, &origin, &mut |name| watch::include(file, name));
    let (zone, wrong) = master::zone(&origin, &reading);
    let mut good = reading.mistakes.is_empty() && wrong.is_empty();
    reading.mistakes.iter().for_each(|m| told(m.to_string()));
    wrong.into_iter().for_each(|w| told(format!(" {w}")));
    if reading.cut {
        told(" the file is cut off".into());
        good = false;
    }
    if zone.serial().is_none() {
        told(" there is no SOA record: no gateway would believe it".into());
        good = false;
    }
    Some((zone, good))
}

fn zone(what: &ZoneCommand) -> ExitCode {
    let done = match what {
        ZoneCommand::Check { file, origin } => read_zone(file, origin).map(|(zone, good)| {
            if good {
                println!("{}: good, {} sets of records", file.display(), zone.len());
            }
            good
        }),
        ZoneCommand::Show { file, origin } => read_zone(file, origin).map(|(zone, good)| {
            zone.records().for_each(|record| println!("{record}"));
            good
        }),
        ZoneCommand::Diff { old, new, origin } => {
            read_zone(old, origin).zip(read_zone(new, origin)).map(|((old, _), (new, good))| {
                for change in new.diff(&old) {
                    match change {
                        Change::Added(record) => println!("+ {record}"),
                        Change::Removed(record) => println!("- {record}"),
                    }
                }
                good
            })
        }
    };
    if done == Some(true) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}

fn platform(file: &std::path::Path, listen: Option<std::net::SocketAddr>) -> ExitCode {
    let mut config = match violetward_platform::config::load(file) {
        Ok(config) => config,
        Err(why) => {
            eprintln!("violetward: {why}");
            return ExitCode::from(2);
        }
    };
    config.listen = listen.unwrap_or(config.listen);
    match violetward_platform::service::serve(config, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("violetward: {e}");
            ExitCode::FAILURE
        }
    }
}

fn members(address: std::net::SocketAddr, json: bool) -> ExitCode {
    match futures_lite::future::block_on(peers::ask(address)) {
        Ok(view) if json => println!("{}", serde_json::to_string_pretty(&view).unwrap_or_default()),
        Ok(view) => println!("{view}"),
        Err(why) => {
            eprintln!("violetward: {address}: {why}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.with_parent {
        rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL)).ok();
    }
    let filter = tracing_subscriber::EnvFilter::new(&cli.log_level);
    let ansi = std::io::stderr().is_terminal();
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(ansi).with_writer(std::io::stderr);
    match cli.log {
        LogForm::Plain => log.init(),
        LogForm::Json => log.json().init(),
    }
    let file = match &cli.command {
        Command::Serve { file, .. } | Command::Check { file } => file,
        Command::Platform { config, listen } => return platform(config, *listen),
        Command::Zone { what } => return zone(what),
        Command::Members { address, json } => return members(*address, *json),
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
        Command::Platform { config, listen } => platform(&config, listen),
        Command::Zone { what } => zone(&what),
        Command::Members { address, json } => members(address, json),
        Command::Serve { address_file, .. } => match service::serve(config, address_file.as_deref()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("violetward: {e}");
                ExitCode::FAILURE
            }
        },
    }
}
