//! Many statements, drawn from a seed: what comes when, of which class, what it truly costs and what it says it costs.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetward_standin::hint::Hint;
use violetward_statement::session::Context;

use crate::client::{Ask, Record, Seen};

/// A class of the lab's league, as its clients know it.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Its name; also the client tag by which the gateway knows it.
    pub name: &'static str,
    /// Share of the statements.
    pub share: f64,
    /// Mean work of all threads, milliseconds.
    pub work: f64,
    /// Threads.
    pub threads: f64,
    /// Part of it that reads.
    pub io: f64,
    /// Memory, megabytes.
    pub memory: f64,
    /// Aim, its growth by the work, and when the client gives up; milliseconds.
    pub aim: f64,
    /// See `aim`.
    pub stretch: f64,
    /// See `aim`.
    pub give_up: f64,
    /// What it is worth.
    pub worth: f64,
    /// How often an attempt gets a bad plan, and how many times the work that takes.
    pub bad: (f64, f64),
    /// It has a key, and how often it may run.
    pub keyed: bool,
    /// What it asks.
    pub sql: &'static str,
}

/// Part of the worth that a late answer still has, in all classes.
pub const LATE_WORTH: f64 = 0.3;

/// The classes of `fleet::LEAGUE`.
pub const KINDS: [Kind; 4] = [
    Kind {
        name: "lookup",
        share: 0.78,
        work: 150.0,
        threads: 1.0,
        io: 0.3,
        memory: 150.0,
        aim: 800.0,
        stretch: 2.0,
        give_up: 4000.0,
        worth: 1.0,
        bad: (0.0, 1.0),
        keyed: false,
        sql: "SELECT name, price FROM players WHERE id = {}",
    },
    Kind {
        name: "report",
        share: 0.13,
        work: 1800.0,
        threads: 3.0,
        io: 0.5,
        memory: 1200.0,
        aim: 2000.0,
        stretch: 2.5,
        give_up: 8000.0,
        worth: 6.0,
        bad: (0.06, 10.0),
        keyed: false,
        sql: "SELECT p.name, sum(s.points) AS total FROM points s JOIN players p ON p.id = s.player WHERE p.team = {} GROUP BY p.name ORDER BY total DESC",
    },
    Kind {
        name: "load",
        share: 0.06,
        work: 1200.0,
        threads: 2.0,
        io: 0.5,
        memory: 800.0,
        aim: 3000.0,
        stretch: 3.0,
        give_up: 10_000.0,
        worth: 6.0,
        bad: (0.0, 1.0),
        keyed: true,
        sql: "INSERT INTO loads VALUES ({}, 'a line')",
    },
    Kind {
        name: "notice",
        share: 0.03,
        work: 200.0,
        threads: 1.0,
        io: 0.3,
        memory: 100.0,
        aim: 2000.0,
        stretch: 2.0,
        give_up: 6000.0,
        worth: 3.0,
        bad: (0.0, 1.0),
        keyed: false,
        sql: "INSERT INTO loads VALUES (0, 'notice {}')",
    },
];

/// By how much the estimates of a class are off at the median.
fn lie(class: &str) -> f64 {
    if class == "report" {
        1.6
    } else {
        0.8
    }
}

/// By how much the estimates of a class are off in the mean.
pub fn told(class: &str) -> f64 {
    lie(class) * (0.6 + 1.6) / 2.0
}

/// How a stretch of the day differs from the usual.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Times the usual rate.
    pub rate: f64,
    /// Share of reports that cost twelve times the usual, estimates showing it.
    pub heavy_tail: f64,
    /// All loads carry one key.
    pub hot_key: bool,
    /// Share of statements that turn into reports.
    pub shift: f64,
    /// Statements of the first tenant for each one of another.
    pub tenant: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape { rate: 1.0, heavy_tail: 0.0, hot_key: false, shift: 0.0, tenant: 1.0 }
    }
}

/// Draws statements.
#[derive(Debug)]
pub struct Draw {
    dice: StdRng,
    n: u64,
    /// Statements a second at the usual rate.
    rate: f64,
    gateways: usize,
    mark: String,
    /// Share of look-ups and reports that run in a transaction each.
    pub pinned: f64,
}

impl Draw {
    /// Draws for a day with a seed.
    pub fn new(seed: u64, rate: f64, gateways: usize, mark: &str) -> Self {
        Draw { dice: StdRng::seed_from_u64(seed), n: 0, rate, gateways, mark: mark.to_owned(), pinned: 0.0 }
    }

    /// Mean work of a statement in core seconds.
    pub fn mean_work() -> f64 {
        let all: f64 = KINDS.iter().map(|k| k.share).sum();
        KINDS.iter().map(|k| k.share * k.work * (1.0 + k.bad.0 * (k.bad.1 - 1.0))).sum::<f64>() / all / 1e3
    }

    /// The span until the next statement.
    pub fn pause(&mut self, shape: &Shape) -> Duration {
        let u: f64 = self.dice.random_range(1e-9..1.0);
        Duration::from_secs_f64(-u.ln() / (self.rate * shape.rate.max(0.01)))
    }

    /// The next statement.
    pub fn next(&mut self, shape: &Shape) -> Ask {
        self.n += 1;
        let dice = &mut self.dice;
        let all: f64 = KINDS.iter().map(|k| k.share).sum();
        let mut at = dice.random_range(0.0..all);
        let mut kind = KINDS.iter().find(|k| {
            at -= k.share;
            at < 0.0
        });
        if dice.random_bool(shape.shift.clamp(0.0, 1.0)) {
            kind = Some(&KINDS[1]);
        }
        let kind = kind.unwrap_or(&KINDS[0]);
        // Widely spread: log-normal with the class's mean.
        let normal: f64 = (0..12).map(|_| dice.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let mut work = kind.work * (0.7 * normal - 0.245).exp();
        if kind.name == "report" && dice.random_bool(shape.heavy_tail.clamp(0.0, 1.0)) {
            work *= 12.0;
        }
        // Estimates scatter, and lie too high for reports.
        let told = work * lie(kind.name) * dice.random_range(0.6..1.6);
        let memory = kind.memory * dice.random_range(0.6..1.4);
        let tenants = ["north", "south", "east"];
        let others = 2.0;
        let first = dice.random_bool(shape.tenant / (shape.tenant + others));
        let tenant = if first { tenants[0] } else { tenants[dice.random_range(1..tenants.len())] };
        let group = (8.0 * dice.random_range(0.0f64..1.0).powi(2)) as u64;
        let key = if !kind.keyed {
            String::new()
        } else if shape.hot_key {
            "match-0".into()
        } else {
            format!("match-{}", dice.random_range(0..6))
        };
        let trace = format!("{}-{:06}", self.mark, self.n);
        let hint = Hint {
            work,
            threads: kind.threads,
            io: kind.io,
            memory,
            group,
            is_load: kind.keyed,
            weight: kind.work,
            bad_plan: kind.bad,
            class: kind.name.into(),
        };
        let mut tags = vec![kind.name.to_owned(), format!("tenant={tenant}"), format!("group=g{group}")];
        if kind.keyed {
            tags.push(format!("key={key}"));
            tags.push(format!("repeat={trace}"));
        }
        let sql = kind.sql.replace("{}", &dice.random_range(1..300u32).to_string());
        let sql = format!("{sql} {}", hint.comment());
        let context = Context {
            user: tenant.into(),
            source: "lab".into(),
            tags,
            trace_token: Some(trace.clone()),
            estimated_cpu: Some(Duration::from_secs_f64(told / 1e3)),
            estimated_memory: Some((memory * 0.8 * 1024.0 * 1024.0) as u64),
            ..Context::default()
        };
        let aim = kind.aim + kind.stretch * work / kind.threads;
        let record = Record {
            trace,
            gateway: dice.random_range(0..self.gateways),
            class: kind.name.into(),
            key,
            posted: 0,
            taken: None,
            due: 0,
            aim: (aim.min(kind.give_up) * 1e3) as u64,
            worth: kind.worth,
            late_worth: LATE_WORTH,
            seen: Seen::GaveUp,
            ended: 0,
            contradicted: None,
            rows: 0,
            session: None,
            moved: Vec::new(),
        };
        let pinned = self.pinned > 0.0
            && !kind.keyed
            && kind.name != "notice"
            && dice.random_bool(self.pinned.clamp(0.0, 1.0));
        let asks_again = dice.random_bool(0.2);
        let patience = Duration::from_millis(kind.give_up as u64);
        Ask { sql, context, record, patience, asks_again, leaves_after: None, pinned }
    }
}
