//! The program `violetward-lab`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use violetward::Gateway;
use violetward_gateway::{config, service};
use violetward_lab::baseline::{Baseline, Rule};
use violetward_lab::day::{self, Plan, Policy};
use violetward_lab::report::Report;
use violetward_lab::{cluster, demo, overhead, pinned, readlog, script, soak, speed, storm, trouble};
use violetward_standin::model::Machine;
use violetward_standin::server::{self, Setup};

/// Tries violetward out on this machine, against stand-in engines.
#[derive(Parser)]
#[command(name = "violetward-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum PlanCommand {
    /// For each site lost: what is kept, what is refused in which order, the first limit that breaks, engines that would help.
    SiteLoss {
        /// The fleet and its demand (S-expressions; see docs/site-loss.md).
        file: PathBuf,
        /// Draw it here.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Command {
    /// Play real gateways of a platform through days of overlapping faults, and check the rules.
    Soak {
        /// A day is drawn from each.
        #[arg(long = "seed", default_values_t = [1])]
        seeds: Vec<u64>,
        /// How many gateways.
        #[arg(long, default_value_t = 5)]
        gateways: usize,
        /// For how many seconds faults are drawn.
        #[arg(long, default_value_t = 15)]
        seconds: u64,
        /// One of so many system calls of the gateways goes wrong; 0: none.
        #[arg(long, default_value_t = 50)]
        calls_one_in: u64,
        /// Trouble the engine list alone: engines come and drain and gateways are killed, while the resolver's answers
        /// overtake each other or are bad.
        #[arg(long)]
        lists: bool,
        /// Where logs go.
        #[arg(long, default_value = "logs/soak")]
        folder: PathBuf,
    },
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
        /// Be a notebook kernel too, and write its connection file here.
        #[arg(long)]
        kernel: Option<PathBuf>,
        /// List the engines by a zone, and serve it here over DNS, for queries, transfers and signed updates.
        #[arg(long)]
        dns: Option<SocketAddr>,
    },
    /// Run the scripted bad day with gateways and engines as processes of their own, and check the seven rules.
    Badday {
        /// Everything drawn is drawn from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Who decides; several are run one after the other on the same day.
        #[arg(long, value_enum, default_values_t = [Policy::Module])]
        policy: Vec<Policy>,
        /// Leave the day's files in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Share of look-ups and reports that run in a transaction of their own.
        #[arg(long, default_value_t = 0.0)]
        pinned: f64,
        /// What scheduling may cost in the checker's comparisons of times, milliseconds.
        #[arg(long, default_value_t = 250)]
        slack_ms: u64,
    },
    /// Replay kinds of trouble, one a day, and check the seven rules. Names: all, or see `troubles`.
    Replay {
        /// The troubles.
        #[arg(required = true)]
        troubles: Vec<String>,
        /// Everything drawn is drawn from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Who decides.
        #[arg(long, value_enum, default_values_t = [Policy::Module])]
        policy: Vec<Policy>,
        /// Days at once.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Leave the day's files in this folder (one trouble, one policy).
        #[arg(long)]
        keep: Option<PathBuf>,
        /// What scheduling may cost in the checker's comparisons of times, milliseconds.
        #[arg(long, default_value_t = 250)]
        slack_ms: u64,
    },
    /// Measure what the gateway costs: against the engine itself and a bare byte relay, in one run.
    Overhead {
        /// Rounds; medians are told.
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Statements in a round.
        #[arg(long, default_value_t = 8000)]
        count: usize,
    },
    /// Let library clients that send again storm gateways that restart, and hold what engines saw against the budgets.
    Storm {
        /// Clients.
        #[arg(long, default_value_t = 1000)]
        clients: usize,
        /// Seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Take the library's budget away, to see what it is for.
        #[arg(long)]
        unbounded: bool,
        /// Over the kernel protocol.
        #[arg(long)]
        kernel: bool,
    },
    /// Run one script through every client library and both protocols on a bad day, and hold what callers were told
    /// against what the engines did.
    Libraries {
        /// Statements for each.
        #[arg(long, default_value_t = 10_000)]
        count: usize,
        /// Statements at once.
        #[arg(long, default_value_t = 32)]
        workers: usize,
        /// A Python that has jupyter_client; without it the Rust library alone.
        #[arg(long)]
        python: Option<PathBuf>,
        /// The runner for Python.
        #[arg(long, default_value = "tests/clients/script.py")]
        runner: PathBuf,
        /// Without troubles.
        #[arg(long)]
        calm: bool,
        /// Everything drawn is drawn from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure how long after its engine is gone a client knows that its transaction is lost.
    Pinned {
        /// Rounds for each event.
        #[arg(long, default_value_t = 20)]
        rounds: usize,
    },
    /// A script through the library for Rust, as a process of its own.
    #[command(hide = true)]
    RunScript {
        #[arg(long)]
        script: PathBuf,
        #[arg(long)]
        workers: usize,
        #[arg(long)]
        kernel: bool,
        to: Vec<String>,
    },
    /// Measure parts of the program, each beside a plain one: parsers, the module's events, timers.
    Speed,
    /// Read gateways' logs (`platform` at `--log-level debug`): what became of requests by time and class, and the causes.
    Worth {
        /// The folder that holds them, `*.log`.
        folder: PathBuf,
        /// Seconds that a row of the table spans.
        #[arg(long, default_value_t = 5.0)]
        span: f64,
        /// Aims of the classes, seconds, in the order of the settings: what is served later is late.
        #[arg(long, value_delimiter = ',')]
        aims: Vec<f64>,
    },
    /// A bare byte relay, as a process of its own.
    #[command(hide = true)]
    Relay { to: SocketAddr, address_file: PathBuf },
    /// Run several gateways and engines as processes of their own, put faults between them, and check what must hold.
    Cluster {
        /// A plan's name (see `cluster list`), `list`, or a file.
        plan: String,
        /// Everything drawn is drawn from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write what came of it to this file.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Leave the files, and a timeline as an SVG, in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Start the gateways without membership: each takes 1/N.
        #[arg(long)]
        even: bool,
        /// Start the gateways without custody, where the plan has it.
        #[arg(long)]
        bare: bool,
        /// Let the gateways watch the sites and do nothing about a loss, where the plan has them act.
        #[arg(long)]
        watch: bool,
    },
    /// Membership in figures: simulated fleets of the state machine, beside plain SWIM.
    Membership {
        /// Of this size alone: 8, 64, 300 or 1000; without it all but the last.
        #[arg(long)]
        members: Option<usize>,
    },
    /// Agreement in figures: simulated fleets of the state machine, and the price of a look at the lease.
    Agreement {
        /// Of this size alone: 3, 8, 24 or 300.
        #[arg(long)]
        members: Option<usize>,
    },
    /// Plans for what has not happened yet.
    Plan {
        #[command(subcommand)]
        what: PlanCommand,
    },
    /// List the kinds of trouble.
    Troubles,
    /// An engine of a day, as a process of its own.
    #[command(hide = true)]
    Engine {
        #[arg(long)]
        name: String,
        #[arg(long)]
        kind: String,
        #[arg(long)]
        seed: u64,
        #[arg(long)]
        journal: PathBuf,
        #[arg(long)]
        storage: PathBuf,
        #[arg(long)]
        address_file: PathBuf,
        #[arg(long)]
        cold: bool,
    },
    /// A gateway of a day, as a process of its own.
    #[command(hide = true)]
    Gateway {
        file: PathBuf,
        #[arg(long)]
        address_file: PathBuf,
        #[arg(long, value_enum)]
        policy: Policy,
        #[arg(long, default_value = "info")]
        log_level: String,
    },
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    if matches!(
        command,
        Command::Engine { .. } | Command::Gateway { .. } | Command::Relay { .. } | Command::RunScript { .. }
    ) {
        // A process of a day ends with its owner, even if that is killed outright.
        rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL)).ok();
    }
    let result = match command {
        Command::Demo { listen, engines, address_file, kernel, dns } => {
            tracing_subscriber::fmt().with_writer(std::io::stderr).init();
            demo::run(listen, engines, address_file, kernel, dns)
        }
        Command::Badday { seed, policy, keep, pinned, slack_ms } => {
            let slack = Duration::from_millis(slack_ms);
            let plans = policy
                .into_iter()
                .map(|p| Plan { keep: keep.clone(), slack, pinned, ..Plan::bad_day(seed, p) })
                .collect();
            days(plans, 1)
        }
        Command::Replay { troubles, seed, policy, jobs, keep, slack_ms } => {
            let slack = Duration::from_millis(slack_ms);
            replay(troubles, &policy, jobs, |name, policy| {
                let keep = keep.clone();
                Plan { keep, slack, ..Plan::replay(name, seed, policy) }
            })
        }
        Command::Cluster { plan, seed, json, keep, even, bare, watch } => {
            let options = cluster::Options { seed, json, keep, even, bare, watch };
            return match cluster::command(&plan, &options) {
                Ok(true) => ExitCode::SUCCESS,
                Ok(false) => ExitCode::FAILURE,
                Err(e) => {
                    eprintln!("violetward-lab: {e}");
                    ExitCode::from(2)
                }
            };
        }
        Command::Membership { members } => {
            violetward_lab::membership::table(members);
            Ok(())
        }
        Command::Agreement { members } => {
            violetward_lab::agreement::table(members);
            Ok(())
        }
        Command::Plan { what: PlanCommand::SiteLoss { file, svg } } => {
            violetward_lab::siteplan::command(&file, svg.as_deref())
        }
        Command::Troubles => {
            trouble::ALL
                .iter()
                .chain([&trouble::SHIFT])
                .for_each(|(name, what)| println!("{name:<16} {what}"));
            Ok(())
        }
        Command::Engine { name, kind, seed, journal, storage, address_file, cold } => {
            let cores = kind.strip_prefix('m').and_then(|c| c.parse().ok()).unwrap_or(8.0);
            let (memory, disks) = (cores * 2048.0, cores * 0.75);
            let sessions = (cores * 8.0) as usize;
            let machine =
                Machine { cores, disks, memory, sessions, cold_span: 8_000_000, ..Machine::default() };
            let control = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
            let (journal, storage) = (Some(journal), Some(storage));
            server::serve(
                Setup { kind, machine, seed, control, journal, storage, cold, ..Setup::new(&name) },
                Some(&address_file),
            )
        }
        Command::Gateway { file, address_file, policy, log_level } => {
            let filter = tracing_subscriber::EnvFilter::new(log_level);
            tracing_subscriber::fmt()
                .with_env_filter(filter)
                .with_writer(std::io::stderr)
                .with_ansi(false)
                .init();
            gateway(&file, &address_file, policy)
        }
        Command::Overhead { rounds, count } => {
            overhead::run(rounds.max(1), count.max(100)).map(|o| println!("{o}"))
        }
        Command::Libraries { count, workers, python, runner, calm, seed } => {
            let setup = script::Setup { count, workers, python, runner, calm, seed };
            script::compare(&setup).and_then(|comparison| {
                print!("{comparison}");
                if comparison.is_honest() {
                    Ok(())
                } else {
                    Err(std::io::Error::other("a caller was told what is not so"))
                }
            })
        }
        Command::Pinned { rounds } => {
            pinned::measure(rounds.max(1)).map(|all| all.iter().for_each(|k| println!("{k}")))
        }
        Command::RunScript { script, workers, kernel, to } => script::run_rust(&script, &to, kernel, workers)
            .and_then(|told| {
                println!("{}", serde_json::to_string(&told)?);
                Ok(())
            }),
        Command::Storm { clients, seconds, unbounded, kernel } => {
            storm::run(clients, Duration::from_secs(seconds), unbounded, kernel).and_then(|storm| {
                println!("{storm}");
                if storm.is_bounded() {
                    Ok(())
                } else {
                    Err(std::io::Error::other("more was sent than the budgets allow"))
                }
            })
        }
        Command::Speed => speed::run(),
        Command::Worth { folder, span, aims } => {
            readlog::Logs::read(&folder).map(|logs| print!("{}", logs.tables(span.max(0.1), &aims)))
        }
        Command::Soak { seeds, gateways, seconds, calls_one_in, lists, folder } => {
            let setup = |seed| soak::Setup {
                seed,
                gateways,
                seconds,
                calls_one_in,
                lists_only: lists,
                folder: soak::folder(&folder, seed),
            };
            seeds.into_iter().try_for_each(|seed| {
                let outcome = soak::run(&setup(seed))?;
                print!("seed {seed}: {}\n{outcome}", if outcome.is_good() { "passed" } else { "FAILED" });
                outcome.is_good().then_some(()).ok_or_else(|| std::io::Error::other("a rule was broken"))
            })
        }
        Command::Relay { to, address_file } => overhead::relay(to, &address_file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("violetward-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn replay(
    names: Vec<String>,
    policies: &[Policy],
    jobs: usize,
    plan: impl Fn(&str, Policy) -> Plan,
) -> std::io::Result<()> {
    let all = names.iter().any(|n| n == "all");
    let names: Vec<String> = match all {
        true => trouble::ALL.iter().chain([&trouble::SHIFT]).map(|t| t.0.to_owned()).collect(),
        false => names,
    };
    if let Some(unknown) = names.iter().find(|n| !trouble::is_known(n)) {
        return Err(std::io::Error::other(format!(
            "there is no trouble {unknown}; see `violetward-lab troubles`"
        )));
    }
    let mut plans = Vec::new();
    for name in &names {
        for &policy in policies {
            plans.push(plan(name, policy));
        }
    }
    days(plans, jobs.max(1))
}

/// Runs days, some at once, and prints them in order.
fn days(plans: Vec<Plan>, jobs: usize) -> std::io::Result<()> {
    println!("{}", Report::head());
    let mut broken = false;
    let mut reports = Vec::new();
    for some in plans.chunks(jobs) {
        let running: Vec<_> = some
            .iter()
            .map(|plan| {
                let plan = plan.clone();
                std::thread::spawn(move || day::run(&plan))
            })
            .collect();
        for day in running {
            let report =
                day.join().map_err(|_| std::io::Error::other("a day ended in a fault of the lab"))??;
            println!("{}", report.line());
            broken |= report.policy == "module" && !report.broken.is_empty();
            reports.push(report);
        }
    }
    for report in
        reports.iter().filter(|r| reports.len() == 1 || r.policy == "module" && !r.broken.is_empty())
    {
        println!("\n{} ({}):\n{report}", report.name, report.policy);
    }
    if broken {
        return Err(std::io::Error::other("a rule was broken"));
    }
    Ok(())
}

fn gateway(file: &std::path::Path, address_file: &std::path::Path, policy: Policy) -> std::io::Result<()> {
    let config = config::load(file).map_err(|m| std::io::Error::other(m.join("\n")))?;
    let settings = config.settings.clone();
    let seed = violetward_standin::server::clock();
    match policy {
        Policy::Module => {
            let module = Gateway::new(settings, seed);
            service::serve_with(config, Some(address_file), Box::new(module))
        }
        Policy::Random => service::serve_with(
            config,
            Some(address_file),
            Box::new(Baseline::new(Rule::Random, settings, seed)),
        ),
        Policy::LeastInFlight => service::serve_with(
            config,
            Some(address_file),
            Box::new(Baseline::new(Rule::LeastInFlight, settings, seed)),
        ),
    }
}
