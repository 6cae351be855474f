//! A retry storm: many clients of the library, all allowed to send again, while most gateways are killed and come back.
//! What reached the engines is held against what the budgets allow.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use violetward_client::resend::{Budget, Effect};
use violetward_client::{Client, Ending, Kernels, Options, Query, Service};
use violetward_net::sleep;
use violetward_standin::hint::Hint;
use violetward_standin::journal::What;

use crate::day::{self, Plan, Policy};

/// What came of a storm.
#[derive(Debug, Clone, Default)]
pub struct Storm {
    /// Statements begun by callers.
    pub begun: u64,
    /// Endings, by word.
    pub endings: BTreeMap<&'static str, u64>,
    /// What the library sent to gateways, first tries included, and the most that its budget allows.
    pub sent: u64,
    /// See `sent`.
    pub may_send: f64,
    /// Attempts that reached engines, in all.
    pub attempts: u64,
    /// The most that the budgets allow for the statements begun.
    pub allowed: f64,
    /// The most attempts that reached engines for one statement.
    pub most: u64,
    /// Loads that took effect more than once.
    pub doubled: u64,
    /// Gateways killed.
    pub kills: u64,
    /// Second by second: begun, sent, served, ended otherwise, all counted at their end but what is sent.
    pub seconds: Vec<[u64; 4]>,
}

impl Storm {
    /// Nothing beyond the budgets, and no effect twice.
    pub fn is_bounded(&self) -> bool {
        self.sent as f64 <= self.may_send && self.attempts as f64 <= self.allowed && self.doubled == 0
    }
}

impl fmt::Display for Storm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "gateways killed: {}", self.kills)?;
        writeln!(f, "statements begun: {}", self.begun)?;
        for (word, n) in &self.endings {
            writeln!(f, "  {word}: {n}")?;
        }
        writeln!(f, "sent to gateways: {}, at most {:.0} allowed", self.sent, self.may_send)?;
        let each = self.attempts as f64 / self.begun.max(1) as f64;
        writeln!(
            f,
            "attempts that reached engines: {} ({each:.3} a statement, most for one: {})",
            self.attempts, self.most
        )?;
        writeln!(f, "allowed by the budgets of library and gateways: {:.0}", self.allowed)?;
        writeln!(f, "loads that took effect twice: {}", self.doubled)?;
        write!(f, "second by second: ended, sent, served, otherwise")?;
        for (n, [ended, sent, served, other]) in self.seconds.iter().enumerate() {
            write!(f, "\n  {:>2}  {ended:>5} {sent:>5} {served:>5} {other:>5}", n + 1)?;
        }
        Ok(())
    }
}

/// Share and free part of both budgets, and their window in seconds: the library's default, and that of `fleet::LEAGUE`.
const SHARE: f64 = 0.1;
const FREE: f64 = 5.0;
const WINDOW: f64 = 5.0;

/// Runs a storm, over the kernel protocol if `kernel`; `unbounded` takes the library's budget away.
///
/// # Errors
/// If a process does not start.
pub fn run(clients: usize, span: Duration, unbounded: bool, kernel: bool) -> std::io::Result<Storm> {
    let plan = Plan {
        name: "storm".into(),
        troubles: Vec::new(),
        kernels: kernel,
        ..Plan::replay("", 3, Policy::Module)
    };
    let world = day::start(&plan)?;
    let storm = Rc::new(RefCell::new(Storm::default()));
    let addresses: Vec<_> = world.gateways.borrow().iter().map(|g| g.address).collect();
    // Without its budget the library shows what that is for.
    let budget = if unbounded { Budget::new(1e9, 1.0, Duration::from_secs(5)) } else { Budget::default() };
    let options = Options { may_resend: true, ..Options::default() };
    let files: Vec<_> = (0..addresses.len()).map(|n| world.kernel_file(n)).collect();
    let client = Rc::new(match kernel {
        true => Service::Kernels(Kernels::new(&files, options, budget)),
        false => Service::Gateways(Client::new(&addresses, options, budget)),
    });
    let start = Instant::now();
    let ids = Rc::new(Cell::new(0u64));
    let work = async {
        sleep(Duration::from_millis(400)).await;
        let mut tasks = Vec::new();
        for n in 0..clients {
            let (client, storm, ids) = (client.clone(), storm.clone(), ids.clone());
            tasks.push(world.executor.spawn(async move {
                sleep(Duration::from_millis(n as u64 * 7 % 3000)).await;
                while start.elapsed() < span {
                    let id = ids.replace(ids.get() + 1);
                    let ending = one(&client, id).await;
                    {
                        let mut storm = storm.borrow_mut();
                        storm.begun += 1;
                        *storm.endings.entry(ending).or_default() += 1;
                    }
                    sleep(Duration::from_millis(3000 + id * 37 % 1000)).await;
                }
            }));
        }
        let (troubled, counted) = (world.clone(), storm.clone());
        tasks.push(world.executor.spawn(async move {
            for _ in 0..2 {
                sleep(Duration::from_millis(2500)).await;
                counted.borrow_mut().kills += 2;
                let both = futures_lite::future::zip(
                    troubled.crash_gateway(0, Duration::from_millis(1200)),
                    troubled.crash_gateway(1, Duration::from_millis(1500)),
                );
                both.await;
            }
        }));
        let (watched, sender) = (storm.clone(), client.clone());
        let _watch = world.executor.spawn(async move {
            let mut last = [0; 4];
            loop {
                sleep(Duration::from_secs(1)).await;
                let mut storm = watched.borrow_mut();
                let served = storm.endings.get("served").copied().unwrap_or(0);
                let now = [storm.begun, sender.sent(), served, storm.begun - served];
                storm.seconds.push(std::array::from_fn(|i| now[i] - last[i]));
                last = now;
            }
        });
        for task in tasks {
            task.await;
        }
    };
    async_io::block_on(world.executor.run(work));
    std::thread::sleep(Duration::from_millis(200));
    let lines = world.lines()?;
    world.end();
    let mut storm = storm.borrow().clone();
    let (mut got, mut effects): (HashMap<&str, u64>, HashMap<&str, u64>) = Default::default();
    for line in &lines {
        match &line.what {
            What::Got { trace, .. } => *got.entry(trace).or_default() += 1,
            What::Effect { trace, .. } => *effects.entry(trace).or_default() += 1,
            _ => {}
        }
    }
    storm.attempts = got.values().sum();
    storm.most = got.values().copied().max().unwrap_or(0);
    storm.doubled = effects.values().filter(|&&n| n > 1).count() as u64;
    // What the library sends at most, and what the gateways make of that; each window's free part counts once more for
    // the two that a stretch of time may touch.
    let windows = (start.elapsed().as_secs_f64() / WINDOW).ceil() + 1.0;
    let sent = storm.begun as f64 * (1.0 + SHARE) + FREE * windows;
    (storm.sent, storm.may_send) = (client.sent(), sent);
    storm.allowed = sent * (1.0 + SHARE) + FREE * windows * plan.gateways as f64;
    Ok(storm)
}

async fn one(client: &Service, id: u64) -> &'static str {
    let load = id % 20 == 0;
    let (class, work) = if load { ("load", 100.0) } else { ("lookup", 60.0) };
    let hint =
        Hint { work, weight: work, group: id % 5, is_load: load, class: class.into(), ..Hint::default() };
    let sql =
        if load { "INSERT INTO loads VALUES (7, 'storm')" } else { "SELECT name FROM players WHERE id = 7" };
    let query = Query {
        effect: if load { Effect::Keyed } else { Effect::Repeatable },
        deadline: Some(Duration::from_secs(3)),
        class: Some(class.into()),
        key: load.then(|| format!("m{}", id % 7)),
        mark: Some(format!("storm-{id}")),
        cpu: Some(Duration::from_secs_f64(work / 1e3)),
        ..Query::new(format!("{sql} {}", hint.comment()))
    };
    match client.run(&query).await {
        Ok(_) => "served",
        Err(Ending::Refused { .. }) => "refused",
        Err(Ending::Failed { .. }) => "failed",
        Err(Ending::Declined { .. }) => "declined",
        Err(Ending::Unknown { .. }) => "unknown",
    }
}
