//! The `violetward` command.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use violetward_dns::master;
use violetward_dns::name::Name;
use violetward_dns::zone::{Change, Zone};
use violetward_gateway::{agreement, config, peers, service, watch};

/// A workload manager for analytic engines. It admits statements, routes each to an engine that can answer it
/// in time, and refuses at once those that none could answer. Clients connect with the statement protocol of
/// Trino.
#[derive(Parser)]
#[command(name = "violetward", version)]
struct Cli {
    /// Format of the log, which is written to standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Plain, global = true)]
    log: LogForm,
    /// Log level (error, warn, info, debug) or a filter such as "info,violetward::module=warn".
    #[arg(long, default_value = "info", global = true)]
    log_level: String,
    /// Exit together with the parent process, even if that is killed.
    #[arg(long, global = true, hide = true)]
    with_parent: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum LogForm {
    /// Plain text lines.
    Plain,
    /// One JSON object per line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway with the configuration FILE until SIGTERM. Accepted statements are still answered after
    /// that.
    Serve {
        /// Configuration file (S-expressions; see docs/operators.md).
        file: PathBuf,
        /// Write the listening address to this file once the gateway listens.
        #[arg(long)]
        address_file: Option<PathBuf>,
    },
    /// Check the configuration FILE and report each mistake with its line, its column and what was expected.
    Check {
        /// Configuration file.
        file: PathBuf,
    },
    /// Run the query gateway of a platform that passes its configuration in PROXY_CONFIG and PROXY_LISTEN.
    Platform {
        /// Configuration file (JSON; see docs/operators.md).
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        /// Listening address for clients, instead of that in the configuration.
        #[arg(long, env = "PROXY_LISTEN")]
        listen: Option<std::net::SocketAddr>,
    },
    /// Show the gateways known to the gateway at ADDRESS as a table.
    Members {
        /// Address at which the gateway serves the statement API.
        address: std::net::SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Manage the settings on which the gateways agree.
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
    /// Inspect zone files that list engines.
    Zone {
        #[command(subcommand)]
        command: ZoneCommand,
    },
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Create the vote file of the gateway with the configuration FILE. To be run once, before its very first
    /// start.
    Init {
        /// Configuration file.
        file: PathBuf,
    },
    /// Re-create the lost vote file of the voting gateway with the configuration FILE, from the answers of a
    /// majority of the voters, this one not among them. The gateway must not be running.
    Replace {
        /// Configuration file.
        file: PathBuf,
        /// Addresses at which those other voters serve the statement API.
        #[arg(required = true)]
        others: Vec<std::net::SocketAddr>,
    },
    /// Propose the rules in FILE as the next version, and print what they change.
    Propose {
        /// Address at which a voting gateway serves the statement API.
        address: std::net::SocketAddr,
        /// File with the rules.
        file: PathBuf,
        /// File with operator keys; the first key signs.
        #[arg(long)]
        key_file: PathBuf,
        /// Only print what the rules would change.
        #[arg(long)]
        dry_run: bool,
    },
    /// Propose the rules of an earlier version as the next one: those of the version before the newest, or of
    /// version TO.
    Undo {
        /// Address at which a voting gateway serves the statement API.
        address: std::net::SocketAddr,
        /// Version whose rules are proposed again; 0 stands for the configuration alone.
        #[arg(long)]
        to: Option<u64>,
        /// File with operator keys; the first key signs.
        #[arg(long)]
        key_file: PathBuf,
    },
    /// Show the settings that the gateway at ADDRESS acts on, and the newest rules.
    Show {
        /// Address at which the gateway serves the statement API.
        address: std::net::SocketAddr,
        /// Print JSON with all versions.
        #[arg(long)]
        json: bool,
    },
    /// Show the versions kept by the gateway at ADDRESS, and what each one changed.
    History {
        /// Address at which the gateway serves the statement API.
        address: std::net::SocketAddr,
    },
    /// Confirm that the wall clock of the gateway at ADDRESS is right after it was set, so that maintenance
    /// windows follow it again.
    Clock {
        /// Address at which the gateway serves the statement API.
        address: std::net::SocketAddr,
        /// File with operator keys; the first key signs.
        #[arg(long)]
        key_file: PathBuf,
    },
    /// Show the lines in which two versions differ.
    Diff {
        /// Address at which a gateway serves the statement API.
        address: std::net::SocketAddr,
        /// Older version.
        from: u64,
        /// Newer version.
        to: u64,
    },
}

/// The rules of a version kept by a gateway; version 0 is the configuration alone.
fn content(standing: &agreement::SettingsStatus, number: u64) -> Result<String, String> {
    if number == 0 {
        return Ok(String::new());
    }
    let found = standing.history.iter().find(|v| v.number == number);
    found.map(|v| v.content.clone()).ok_or_else(|| format!("the gateway does not keep version {number}"))
}

/// Reads the first key of a file of operator keys.
fn operator_key(file: &std::path::Path) -> Result<(String, String), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let keys = config::read_operator_keys(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    keys.into_iter().next().ok_or_else(|| format!("{}: contains no key", file.display()))
}

/// Proposes rules as the version after `after` and prints the result. Returns whether they were committed
/// or, in a dry run, would be.
async fn propose(
    address: std::net::SocketAddr,
    rules: &str,
    after: u64,
    dry_run: bool,
    key_file: &std::path::Path,
) -> Result<bool, String> {
    let report =
        agreement::propose(address, rules.as_bytes(), after, dry_run, &operator_key(key_file)?).await?;
    report.changes.iter().for_each(|change| println!("{change}"));
    let number = report.number.map_or(String::new(), |n| format!(" as version {n}"));
    println!("{}{number}{}{}", report.outcome, if report.text.is_empty() { "" } else { ": " }, report.text);
    Ok(matches!(report.outcome.as_str(), "committed" | "would commit"))
}

/// Runs a `settings` command. Returns whether it succeeded.
async fn settings(command: SettingsCommand) -> Result<bool, String> {
    match command {
        SettingsCommand::Init { file } => {
            let config = config::load(&file).map_err(|mistakes| mistakes.join("\n"))?;
            let terms = config.agreement.ok_or("the configuration has no (agreement ...)")?;
            if !terms.voters.contains(&terms.name) {
                return Err(format!("{} does not vote and needs no vote file", terms.name));
            }
            println!("{}: created", agreement::init_votes(&terms)?.display());
        }
        SettingsCommand::Replace { file, others } => {
            let config = config::load(&file).map_err(|mistakes| mistakes.join("\n"))?;
            let terms = config.agreement.ok_or("the configuration has no (agreement ...)")?;
            println!("{}: created", agreement::replace_votes(&terms, &others).await?.display());
        }
        SettingsCommand::Propose { address, file, key_file, dry_run } => {
            let rules = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let newest = agreement::fetch_status(address).await?.newest;
            return propose(address, &rules, newest, dry_run, &key_file).await;
        }
        SettingsCommand::Undo { address, to, key_file } => {
            let standing = agreement::fetch_status(address).await?;
            let before = standing.newest.checked_sub(1).ok_or("there is no version to undo")?;
            let rules = content(&standing, to.unwrap_or(before))?;
            return propose(address, &rules, standing.newest, false, &key_file).await;
        }
        SettingsCommand::Show { address, json } => {
            let standing = agreement::fetch_status(address).await?;
            if json {
                println!("{}", serde_json::to_string_pretty(&standing).map_err(|e| e.to_string())?);
            } else {
                println!("{standing}\n{}", content(&standing, standing.newest)?.trim_end());
            }
        }
        SettingsCommand::History { address } => {
            for version in agreement::fetch_status(address).await?.history {
                println!("{} {}", version.number, version.hash);
                version.changes.iter().for_each(|change| println!("  {change}"));
            }
        }
        SettingsCommand::Clock { address, key_file } => {
            println!("{}", agreement::confirm_clock(address, &operator_key(&key_file)?).await?);
        }
        SettingsCommand::Diff { address, from, to } => {
            let standing = agreement::fetch_status(address).await?;
            let (old, new) = (content(&standing, from)?, content(&standing, to)?);
            let lines = |text: &str| -> Vec<String> { text.lines().map(|l| l.trim().to_owned()).collect() };
            let (old, new) = (lines(&old), lines(&new));
            old.iter().filter(|l| !new.contains(l)).for_each(|line| println!("- {line}"));
            new.iter().filter(|l| !old.contains(l)).for_each(|line| println!("+ {line}"));
        }
    }
    Ok(true)
}

#[derive(Subcommand)]
enum ZoneCommand {
    /// Report each mistake with its line and column.
    Check {
        /// Master file.
        file: PathBuf,
        /// Name of the zone.
        #[arg(long)]
        origin: String,
    },
    /// Print all records in order.
    Show {
        /// Master file.
        file: PathBuf,
        /// Name of the zone.
        #[arg(long)]
        origin: String,
    },
    /// Show the differences between two files.
    Diff {
        /// Older master file.
        old: PathBuf,
        /// Newer master file.
        new: PathBuf,
        /// Name of the zone.
        #[arg(long)]
        origin: String,
    },
}

/// Reads a zone and reports its mistakes. Returns whether it has none, or `None` if nothing of it can be
/// used.
fn read_zone(file: &std::path::Path, origin: &str) -> Option<(Zone, bool)> {
    let report = |why: String| eprintln!("{}:{why}", file.display());
    let origin = match Name::parse(origin, &Name::root()) {
        Ok(origin) => origin,
        Err(e) => {
            eprintln!("{origin}: {e}");
            return None;
        }
    };
    let text = std::fs::read_to_string(file).map_err(|e| report(format!(" {e}"))).ok()?;
    let parsed = master::read(&text, &origin, &mut |name| watch::read_include(file, name));
    let (zone, inconsistencies) = master::zone(&origin, &parsed);
    let mut valid = parsed.mistakes.is_empty() && inconsistencies.is_empty();
    parsed.mistakes.iter().for_each(|m| report(m.to_string()));
    inconsistencies.into_iter().for_each(|w| report(format!(" {w}")));
    if parsed.cut {
        report(" the file is truncated".into());
        valid = false;
    }
    if zone.serial().is_none() {
        report(" there is no SOA record: gateways would reject the zone".into());
        valid = false;
    }
    Some((zone, valid))
}

/// Runs a `zone` command.
fn zone(command: &ZoneCommand) -> ExitCode {
    let result = match command {
        ZoneCommand::Check { file, origin } => read_zone(file, origin).map(|(zone, valid)| {
            if valid {
                println!("{}: valid, {} record sets", file.display(), zone.len());
            }
            valid
        }),
        ZoneCommand::Show { file, origin } => read_zone(file, origin).map(|(zone, valid)| {
            zone.records().for_each(|record| println!("{record}"));
            valid
        }),
        ZoneCommand::Diff { old, new, origin } => {
            read_zone(old, origin).zip(read_zone(new, origin)).map(|((old, _), (new, valid))| {
                for change in new.diff(&old) {
                    match change {
                        Change::Added(record) => println!("+ {record}"),
                        Change::Removed(record) => println!("- {record}"),
                    }
                }
                valid
            })
        }
    };
    if result == Some(true) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}

/// Runs the query gateway of a platform.
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

/// Shows the members that a gateway knows and, if it has custody, the state of that.
fn members(address: std::net::SocketAddr, json: bool) -> ExitCode {
    match futures_lite::future::block_on(peers::fetch_status(address)) {
        Ok(view) if json => println!("{}", serde_json::to_string_pretty(&view).unwrap_or_default()),
        Ok(view) => {
            println!("{view}");
            // Without custody there is nothing to show.
            let custody = futures_lite::future::block_on(violetward_gateway::custody::fetch_status(address));
            custody.iter().for_each(|standing| println!("{standing}"));
        }
        Err(why) => {
            eprintln!("violetward: {address}: {why}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Runs a `settings` command and reports its errors.
fn run_settings(command: SettingsCommand) -> ExitCode {
    match futures_lite::future::block_on(settings(command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("violetward: {why}");
            ExitCode::FAILURE
        }
    }
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
    let file = match cli.command {
        Command::Serve { ref file, .. } | Command::Check { ref file } => file,
        Command::Platform { config, listen } => return platform(&config, listen),
        Command::Zone { command } => return zone(&command),
        Command::Members { address, json } => return members(address, json),
        Command::Settings { command } => return run_settings(command),
    };
    let config = match config::load(file) {
        Ok(config) => config,
        Err(mistakes) => {
            mistakes.iter().for_each(|m| eprintln!("{m}"));
            return ExitCode::from(2);
        }
    };
    let Command::Serve { address_file, .. } = cli.command else {
        let (classes, kinds) = (config.names.classes.join(", "), config.names.kinds.join(", "));
        println!("{}: valid. Classes: {classes}. Kinds: {kinds}.", file.display());
        if let Some(terms) = &config.custody {
            let protected = config.names.classes.iter().zip(&terms.protected_classes).filter(|c| *c.1);
            let protected: Vec<&str> = protected.map(|c| c.0.as_str()).collect();
            println!("Classes whose statements other gateways can take over: {}.", protected.join(", "));
        }
        if let Some(terms) = &config.agreement {
            let bound = std::time::Duration::from_micros(terms.switch_bound_micros());
            println!(
                "Bound T: {bound:.1?} after a version is committed, no gateway acts on an earlier one alone."
            );
        }
        return ExitCode::SUCCESS;
    };
    match service::serve(config, address_file.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("violetward: {e}");
            ExitCode::FAILURE
        }
    }
}
