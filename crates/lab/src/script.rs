//! The same script through every library and both protocols, on the same bad day: what each caller was told, side by side.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use violetward_client::resend::{Budget, Effect};
use violetward_client::{Client, Ending, Kernels, Options, Query};
use violetward_net::sleep;
use violetward_standin::hint::Hint;
use violetward_standin::journal::What;

use crate::day::{self, Plan, Policy, World};
use crate::load::KINDS;
use crate::trouble;

/// One statement of a script.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// The text.
    pub sql: String,
    /// `repeatable`, `keyed` or `once`.
    pub effect: String,
    /// Its class.
    pub class: String,
    /// Its order key.
    pub key: Option<String>,
    /// Its mark, by which the engines' journals name it too.
    pub mark: String,
    /// Milliseconds.
    pub deadline_ms: u64,
    /// Estimated processor time, milliseconds.
    pub cpu_ms: f64,
}

/// A script of so many statements of every class, an eighth of a day's usual work each, so that there can be many.
pub fn write(count: usize, seed: u64, name: &str) -> Vec<Line> {
    let mut dice = StdRng::seed_from_u64(seed);
    (0..count)
        .map(|n| {
            let mut at = dice.random::<f64>();
            let kind = KINDS.iter().find(|k| {
                at -= k.share;
                at < 0.0
            });
            let kind = kind.unwrap_or(&KINDS[0]);
            let work = kind.work / 8.0 * dice.random_range(0.5..1.5);
            let id = dice.random_range(1..=60u64);
            let hint = Hint {
                work,
                weight: work,
                group: id % 5,
                is_load: kind.keyed,
                class: kind.name.into(),
                ..Hint::default()
            };
            let effect = match kind.name {
                "load" => "keyed",
                "notice" => "once",
                _ => "repeatable",
            };
            Line {
                sql: format!("{} {}", kind.sql.replace("{}", &id.to_string()), hint.comment()),
                effect: effect.into(),
                class: kind.name.into(),
                key: kind.keyed.then(|| format!("m{}", id % 20)),
                mark: format!("{name}-{n}"),
                deadline_ms: kind.give_up as u64,
                cpu_ms: work,
            }
        })
        .collect()
}

/// What a library's runner says at its end, on one line of JSON.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Told {
    /// Endings by class and word.
    pub endings: BTreeMap<String, BTreeMap<String, u64>>,
    /// Processor time of the runner, seconds.
    pub cpu: f64,
    /// Seconds that it took.
    pub took: f64,
    /// Sends, first tries included.
    pub sends: u64,
    /// How each statement that is not safe to repeat ended, by its mark.
    pub by_mark: BTreeMap<String, String>,
}

/// Runs a script through the library for Rust: gateways' addresses, or connection files if `kernel`.
///
/// # Errors
/// If the script or an address cannot be read.
pub fn run_rust(script: &Path, to: &[String], kernel: bool, workers: usize) -> std::io::Result<Told> {
    let text = std::fs::read_to_string(script)?;
    let lines: Result<Vec<Line>, _> = text.lines().map(serde_json::from_str).collect();
    let lines = Rc::new(lines?);
    let options = Options { may_resend: true, ..Options::default() };
    let addresses: Result<Vec<_>, _> =
        to.iter().filter(|_| !kernel).map(|a| a.parse().map_err(std::io::Error::other)).collect();
    let files: Vec<PathBuf> = to.iter().filter(|_| kernel).map(PathBuf::from).collect();
    let client = Rc::new(Client::new(&addresses?, options.clone(), Budget::default()));
    let kernels = Rc::new(Kernels::new(&files, options, Budget::default()));
    let (next, told) = (Rc::new(std::cell::Cell::new(0)), Rc::new(std::cell::RefCell::new(Told::default())));
    let start = Instant::now();
    let executor = async_executor::LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let worker = || {
            let (client, kernels, lines) = (client.clone(), kernels.clone(), lines.clone());
            let (next, told) = (next.clone(), told.clone());
            async move {
                while let Some(line) = lines.get(next.replace(next.get() + 1)) {
                    let query = Query {
                        effect: match line.effect.as_str() {
                            "keyed" => Effect::Keyed,
                            "once" => Effect::Once,
                            _ => Effect::Repeatable,
                        },
                        deadline: Some(Duration::from_millis(line.deadline_ms)),
                        class: Some(line.class.clone()),
                        key: line.key.clone(),
                        mark: Some(line.mark.clone()),
                        cpu: Some(Duration::from_secs_f64(line.cpu_ms / 1e3)),
                        ..Query::new(line.sql.clone())
                    };
                    let ended = if kernel { kernels.run(&query).await } else { client.run(&query).await };
                    let word = match &ended {
                        Ok(_) => "served",
                        Err(Ending::Refused { .. }) => "refused",
                        Err(Ending::Failed { .. }) => "failed",
                        Err(Ending::Declined { .. }) => "declined",
                        Err(Ending::Unknown { .. }) => "unknown",
                    };
                    let mut told = told.borrow_mut();
                    if line.effect != "repeatable" {
                        told.by_mark.insert(line.mark.clone(), word.into());
                    }
                    *told.endings.entry(line.class.clone()).or_default().entry(word.into()).or_default() += 1;
                }
            }
        };
        let tasks: Vec<_> = (0..workers).map(|_| executor.spawn(worker())).collect();
        for task in tasks {
            task.await;
        }
    }));
    let mut told = told.borrow().clone();
    told.took = start.elapsed().as_secs_f64();
    told.cpu = cpu_seconds();
    told.sends = if kernel { kernels.sent() } else { client.sent() };
    Ok(told)
}

/// Processor time of this process, from the system's table (proc(5), fields 14 and 15, in hundredths of a second).
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let ticks = |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// One library over one protocol.
#[derive(Debug, Clone)]
pub struct Row {
    /// Its name.
    pub name: &'static str,
    /// What it told.
    pub told: Told,
    /// Attempts that reached engines.
    pub attempts: u64,
    /// Statements of which a load or notice took effect more than once.
    pub doubled: u64,
    /// Statements told as served whose effect is not there.
    pub missing: u64,
    /// Statements told as refused whose effect is there.
    pub belied: u64,
}

/// The comparison.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    /// Its rows.
    pub rows: Vec<Row>,
}

impl Comparison {
    /// No library doubled an effect, or told something of an effect that is not so.
    pub fn is_honest(&self) -> bool {
        self.rows.iter().all(|r| r.doubled == 0 && r.missing == 0 && r.belied == 0)
    }
}

const WORDS: [&str; 5] = ["served", "refused", "failed", "unknown", "declined"];

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let n: u64 = row.told.endings.values().flat_map(|e| e.values()).sum();
            writeln!(
                f,
                "{}: {n} statements in {:.1} s, {:.2} s of processor ({:.0} a second a core), {} sends, {} attempts at engines, effects doubled {}, missing {}, belied {}",
                row.name, row.told.took, row.told.cpu, n as f64 / row.told.cpu.max(0.001), row.told.sends, row.attempts,
                row.doubled, row.missing, row.belied
            )?;
            for (class, endings) in &row.told.endings {
                let all: u64 = endings.values().sum();
                write!(f, "  {class:<8}")?;
                for word in WORDS {
                    let n = endings.get(word).copied().unwrap_or(0);
                    write!(f, "  {word} {n:>6} ({:>6.2}%)", 100.0 * n as f64 / all.max(1) as f64)?;
                }
                writeln!(f)?;
            }
        }
        Ok(())
    }
}

/// How to run a comparison.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Statements for each library and protocol.
    pub count: usize,
    /// Statements at once.
    pub workers: usize,
    /// The Python to run, with `jupyter_client`; without it the Rust libraries alone are compared.
    pub python: Option<PathBuf>,
    /// The runner for Python.
    pub runner: PathBuf,
    /// Without troubles: what the libraries cost.
    pub calm: bool,
    /// Everything drawn is drawn from it.
    pub seed: u64,
}

/// Runs the script through each library and protocol, each on a day of its own.
///
/// # Errors
/// If a process does not start or a file cannot be read.
pub fn compare(setup: &Setup) -> std::io::Result<Comparison> {
    let mut comparison = Comparison::default();
    let all = [
        ("rust, statement protocol", false, false),
        ("rust, kernel protocol", false, true),
        ("python, statement protocol", true, false),
        ("python, kernel protocol", true, true),
    ];
    for (name, python, kernel) in all {
        if python && setup.python.is_none() {
            continue;
        }
        comparison.rows.push(one(setup, name, python, kernel)?);
    }
    Ok(comparison)
}

fn one(setup: &Setup, name: &'static str, python: bool, kernel: bool) -> std::io::Result<Row> {
    let plan = Plan { kernels: true, ..Plan::bad_day(setup.seed, Policy::Module) };
    let world = day::start(&plan)?;
    let lines = write(setup.count, setup.seed, "s");
    let script = world.folder.join("script.jsonl");
    let text: Vec<String> = lines.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
    std::fs::write(&script, text.join("\n") + "\n")?;
    let mut command = match (&setup.python, python) {
        (Some(program), true) => {
            let mut command = Command::new(program);
            command.arg(&setup.runner);
            command
        }
        _ => {
            let mut command = Command::new(std::env::current_exe()?);
            command.arg("run-script");
            command
        }
    };
    command.arg("--script").arg(&script).arg("--workers").arg(setup.workers.to_string());
    if kernel {
        command.arg("--kernel");
    }
    for (n, gateway) in world.gateways.borrow().iter().enumerate() {
        if kernel {
            command.arg(world.kernel_file(n));
        } else {
            command.arg(gateway.address.to_string());
        }
    }
    let output = world.folder.join("told.json");
    command.stdin(Stdio::null()).stdout(std::fs::File::create(&output)?);
    async_io::block_on(world.executor.run(async {
        sleep(Duration::from_millis(400)).await;
        let mut child = command.spawn()?;
        if !setup.calm {
            let troubled = world.clone();
            world.executor.spawn(troubles(troubled)).detach();
        }
        while child.try_wait()?.is_none() {
            sleep(Duration::from_millis(50)).await;
        }
        Ok::<_, std::io::Error>(())
    }))?;
    std::thread::sleep(Duration::from_millis(300));
    let journal = world.lines()?;
    let told = std::fs::read_to_string(&output)?;
    world.end();
    let told: Told = serde_json::from_str(told.trim())?;
    let words = &told.by_mark;
    let (mut attempts, mut effects) = (0, BTreeMap::<&str, u64>::new());
    for line in &journal {
        match &line.what {
            What::Got { .. } => attempts += 1,
            What::Effect { trace, .. } => *effects.entry(trace).or_default() += 1,
            _ => {}
        }
    }
    let doubled = effects.values().filter(|&&n| n > 1).count() as u64;
    let count = |word: &str, there: bool| {
        let told = |l: &&Line| words.get(&l.mark).is_some_and(|w| w == word);
        lines.iter().filter(told).filter(|l| effects.contains_key(l.mark.as_str()) == there).count() as u64
    };
    let (missing, belied) = (count("served", false), count("refused", true));
    Ok(Row { name, told, attempts, doubled, missing, belied })
}

/// The troubles of the bad day that need no load of the lab's own, over and over.
async fn troubles(world: Rc<World>) {
    loop {
        for name in
            ["crash", "slow", "answer_lost", "balancer_crash", "hang", "vanish", "fast_errors", "flush"]
        {
            sleep(Duration::from_millis(2500)).await;
            let playing = world.clone();
            world.executor.spawn(async move { trouble::play(playing, name).await }).detach();
        }
    }
}
