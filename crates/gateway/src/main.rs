//! The program `violetward`.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use violetward_dns::master;
use violetward_dns::name::Name;
use violetward_dns::zone::{Change, Zone};
use violetward_gateway::{agreed, config, peers, service, watch};

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
    /// The settings on which the gateways agree.
    Settings {
        #[command(subcommand)]
        what: SettingsCommand,
    },
    /// Look at zone files that list engines.
    Zone {
        #[command(subcommand)]
        what: ZoneCommand,
    },
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Make the file in which the gateway of the configuration FILE keeps its votes, before its very first start.
    Init {
        /// The configuration.
        file: PathBuf,
    },
    /// Make a new file for the gateway of the configuration FILE, which votes and has lost its own, while it does not run: from
    /// what a majority of the voters, this one not among them, say.
    Replace {
        /// The configuration.
        file: PathBuf,
        /// Where those other voters take statements.
        #[arg(required = true)]
        others: Vec<std::net::SocketAddr>,
    },
    /// Propose the rules in FILE as the next version; tells what they change.
    Propose {
        /// Where a gateway that votes takes statements.
        address: std::net::SocketAddr,
        /// The rules.
        file: PathBuf,
        /// The file of the operator's key: the first one signs.
        #[arg(long)]
        key_file: PathBuf,
        /// Only tell what they would change.
        #[arg(long)]
        dry_run: bool,
    },
    /// Propose the rules of an earlier version as the next one: that before the newest, or that with the number TO.
    Undo {
        /// Where a gateway that votes takes statements.
        address: std::net::SocketAddr,
        /// The version whose rules are to hold again; 0: the configuration alone.
        #[arg(long)]
        to: Option<u64>,
        /// The file of the operator's key: the first one signs.
        #[arg(long)]
        key_file: PathBuf,
    },
    /// Show what the gateway at ADDRESS acts on, and the newest rules.
    Show {
        /// Where that gateway takes statements.
        address: std::net::SocketAddr,
        /// As JSON, all versions included.
        #[arg(long)]
        json: bool,
    },
    /// Show the versions that the gateway at ADDRESS keeps, and what each changed.
    History {
        /// Where that gateway takes statements.
        address: std::net::SocketAddr,
    },
    /// Say that the wall clock of the gateway at ADDRESS, which was set, is right: windows go by it again.
    Clock {
        /// Where that gateway takes statements.
        address: std::net::SocketAddr,
        /// The file of the operator's key: the first one signs.
        #[arg(long)]
        key_file: PathBuf,
    },
    /// Show the lines in which two versions differ.
    Diff {
        /// Where a gateway takes statements.
        address: std::net::SocketAddr,
        /// The older version.
        from: u64,
        /// The newer one.
        to: u64,
    },
}

/// The rules of a version that a gateway keeps; 0 is the configuration alone.
fn content(standing: &agreed::Standing, number: u64) -> Result<String, String> {
    if number == 0 {
        return Ok(String::new());
    }
    let found = standing.history.iter().find(|v| v.number == number);
    found.map(|v| v.content.clone()).ok_or_else(|| format!("version {number} is not kept there"))
}

fn operator(file: &std::path::Path) -> Result<(String, String), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let keys = config::read_operators(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    keys.into_iter().next().ok_or_else(|| "no key".into())
}

async fn propose(
    address: std::net::SocketAddr,
    rules: &str,
    after: u64,
    dry_run: bool,
    key_file: &std::path::Path,
) -> Result<bool, String> {
    let report = agreed::propose(address, rules.as_bytes(), after, dry_run, &operator(key_file)?).await?;
    report.changes.iter().for_each(|change| println!("{change}"));
    let number = report.number.map_or(String::new(), |n| format!(" as version {n}"));
    println!("{}{number}{}{}", report.outcome, if report.text.is_empty() { "" } else { ": " }, report.text);
    Ok(matches!(report.outcome.as_str(), "committed" | "would commit"))
}

async fn settings(what: SettingsCommand) -> Result<bool, String> {
    match what {
        SettingsCommand::Init { file } => {
            let config = config::load(&file).map_err(|mistakes| mistakes.join("\n"))?;
            let terms = config.agreement.ok_or("the configuration has no (agreement ...)")?;
            if !terms.voters.contains(&terms.name) {
                return Err(format!("{} does not vote and needs no file", terms.name));
            }
            println!("{}: made", agreed::init(&terms)?.display());
        }
        SettingsCommand::Replace { file, others } => {
            let config = config::load(&file).map_err(|mistakes| mistakes.join("\n"))?;
            let terms = config.agreement.ok_or("the configuration has no (agreement ...)")?;
            println!("{}: made", agreed::replace(&terms, &others).await?.display());
        }
        SettingsCommand::Propose { address, file, key_file, dry_run } => {
            let rules = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
            let newest = agreed::ask(address).await?.newest;
            return propose(address, &rules, newest, dry_run, &key_file).await;
        }
        SettingsCommand::Undo { address, to, key_file } => {
            let standing = agreed::ask(address).await?;
            let before = standing.newest.checked_sub(1).ok_or("there is no version to undo")?;
            let rules = content(&standing, to.unwrap_or(before))?;
            return propose(address, &rules, standing.newest, false, &key_file).await;
        }
        SettingsCommand::Show { address, json } => {
            let standing = agreed::ask(address).await?;
            if json {
                println!("{}", serde_json::to_string_pretty(&standing).map_err(|e| e.to_string())?);
            } else {
                println!("{standing}\n{}", content(&standing, standing.newest)?.trim_end());
            }
        }
        SettingsCommand::History { address } => {
            for version in agreed::ask(address).await?.history {
                println!("{} {}", version.number, version.hash);
                version.changes.iter().for_each(|change| println!("  {change}"));
            }
        }
        SettingsCommand::Clock { address, key_file } => {
            println!("{}", agreed::clock_is_right(address, &operator(&key_file)?).await?);
        }
        SettingsCommand::Diff { address, from, to } => {
            let standing = agreed::ask(address).await?;
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
        Ok(view) => {
            println!("{view}");
            // Without custody there is nothing to tell.
            let custody = futures_lite::future::block_on(violetward_gateway::custody::ask(address));
            custody.iter().for_each(|standing| println!("{standing}"));
        }
        Err(why) => {
            eprintln!("violetward: {address}: {why}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn run_settings(what: SettingsCommand) -> ExitCode {
    match futures_lite::future::block_on(settings(what)) {
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
        Command::Zone { what } => return zone(&what),
        Command::Members { address, json } => return members(address, json),
        Command::Settings { what } => return run_settings(what),
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
        println!("{}: good. Classes: {classes}. Kinds: {kinds}.", file.display());
        if let Some(terms) = &config.custody {
            let kept = config.names.classes.iter().zip(&terms.protect).filter(|c| *c.1);
            let kept: Vec<&str> = kept.map(|c| c.0.as_str()).collect();
            println!("Statements outlive their gateway: {}.", kept.join(", "));
        }
        if let Some(terms) = &config.agreement {
            let bound = std::time::Duration::from_micros(terms.bound());
            println!("T: {bound:.1?} after a version is committed nobody acts on an earlier one alone.");
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
