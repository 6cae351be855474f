//! A cold engine falls under the sum of what all gateways send: that sum, in every sliding window, against what the
//! settings allow it, at 5, 30 and 300 gateways with uneven traffic, restarts and late lists.

mod common;
mod fleet;

use fleet::*;
use violetward::*;

/// What one run showed, over all its cold engines.
#[derive(Default)]
struct Figures {
    /// The most that a window held against what the settings allow, each request counted by its class.
    most: f64,
    /// The same, each request counted by its true work.
    most_by_work: f64,
    /// The same, each request counted as one.
    most_by_count: f64,
    /// By how many requests of mean work a window passed what is put down to chance, and the same of windows of which
    /// over two thirds came from gateways that had been told of the start; negative if none did.
    beyond: f64,
    beyond_told: f64,
    /// The mean of what was sent against what the settings allow.
    used: f64,
    /// The part of all requests that was served.
    served: f64,
}

/// Requests of mean work beyond the allowance that are put down to chance.
fn chance(allowed: f64) -> f64 {
    2.0 * allowed.sqrt() + 2.0
}

fn figures(plan: &Plan) -> Figures {
    let fleet = Fleet::play(plan.clone());
    let span = plan.settings.overload_span;
    let mut result = Figures { beyond: f64::MIN, beyond_told: f64::MIN, ..Figures::default() };
    result.served = fleet.served as f64 / fleet.asked as f64;
    let (mut sent, mut room) = (0.0, 0.0);
    for run in fleet.cold_runs.iter().filter(|r| r.ended > r.started) {
        sent += run.arrivals.iter().map(|a| a.usual).sum::<f64>();
        let middle = (run.ended - run.started) / 2;
        room += plan.allowed(middle) * (run.ended - run.started) as f64 / span as f64;
        let mut first = 0;
        for (last, arrival) in run.arrivals.iter().enumerate() {
            while run.arrivals[first].at + span <= arrival.at {
                first += 1;
            }
            let window = &run.arrivals[first..=last];
            let sum: f64 = window.iter().map(|a| a.usual).sum();
            let knew = |a: &&Arrival| run.told.get(&a.gateway).is_some_and(|&at| at <= arrival.at);
            let told: f64 = window.iter().filter(knew).map(|a| a.usual).sum();
            // What is allowed at the window's start: the least that may be meant.
            let allowed = plan.allowed(arrival.at.saturating_sub(span).saturating_sub(run.started));
            let beyond = sum - allowed - chance(allowed);
            let work: f64 = window.iter().map(|a| a.work).sum();
            result.most = result.most.max(sum / allowed);
            result.most_by_work = result.most_by_work.max(work / allowed);
            result.most_by_count = result.most_by_count.max(window.len() as f64 / allowed);
            result.beyond = result.beyond.max(beyond);
            if told > sum * 2.0 / 3.0 {
                result.beyond_told = result.beyond_told.max(beyond);
            }
        }
    }
    result.used = sent / room;
    result
}

fn settings(gateways: u32) -> Settings {
    let class = |aim: Micros, give_up: Micros, worth: f64, threads: u32| Class {
        latency_target: aim,
        client_timeout: give_up,
        worth,
        threads,
        ..common::class(Effect::Repeatable)
    };
    Settings {
        gateways,
        classes: vec![
            class(600 * MILLISECOND, 3 * SECOND, 1.0, 1),
            class(800 * MILLISECOND, 6 * SECOND, 6.0, 1),
            class(1600 * MILLISECOND, 9 * SECOND, 6.0, 1),
        ],
        kinds: vec![Kind { cores: 8.0, memory_mb: 16_384.0 }],
        cold_capacity: 0.31,
        cold_span: 15 * SECOND,
        overload_multiple: 4.0,
        overload_span: 1_500 * MILLISECOND,
        budget: Some(AttemptBudget { free: 5.0, per_request: 0.1, window: 5 * SECOND }),
        may_probe: true,
        ..common::settings(common::class(Effect::Repeatable))
    }
}

/// Light look-ups, reports and loads, each with work that varies widely and estimates that lie.
fn traffic(scale: f64) -> Vec<Traffic> {
    let class = |share, mean_work: f64, spread, estimate_bias| Traffic {
        share,
        mean_work: mean_work * scale,
        spread,
        estimate_bias,
    };
    vec![class(0.55, 30e3, 0.7, 0.4), class(0.30, 250e3, 1.0, 2.0), class(0.15, 400e3, 0.8, 0.5)]
}

/// How hard a run is on cold engines.
struct Pressure {
    name: &'static str,
    fall_multiple: f64,
    /// Mean work against that of [`traffic`].
    work: f64,
    /// Against the fleet's warm capacity.
    load: f64,
}

/// About a hundred requests of mean work for each span, at a usual load.
const USUAL: Pressure = Pressure { name: "usual", fall_multiple: 4.0, work: 1.0, load: 0.9 };
/// About fifty, with gateways that would send far more.
const TIGHT: Pressure = Pressure { name: "tight", fall_multiple: 2.0, work: 1.0, load: 2.5 };
/// About twelve, with gateways that would send far more.
const HEAVY: Pressure = Pressure { name: "heavy", fall_multiple: 2.0, work: 4.0, load: 2.5 };

const ENGINES: u64 = 10;

fn plan(gateways: u32, pressure: &Pressure, seed: u64, happenings: Vec<(Micros, Happening)>) -> Plan {
    Plan {
        seed,
        settings: Settings { overload_multiple: pressure.fall_multiple, ..settings(gateways) },
        traffic: traffic(pressure.work),
        engines: ENGINES,
        load: pressure.load,
        length: 9 * SECOND,
        list_delay: (300 * MILLISECOND, 1_700 * MILLISECOND),
        happenings,
    }
}

/// All engines end at once and are back a second later, all cold.
fn outage() -> Vec<(Micros, Happening)> {
    vec![(2 * SECOND, Happening::Restart { engines: 1..ENGINES + 1, down: SECOND })]
}

/// All engines are replaced one after another.
fn release() -> Vec<(Micros, Happening)> {
    let replace = |n: u64| (2 * SECOND + n * 300 * MILLISECOND, Happening::Replace { engines: n + 1..n + 2 });
    (0..ENGINES).map(replace).collect()
}

/// Six in ten engines are replaced within 7 s, under a burst.
fn join() -> Vec<(Micros, Happening)> {
    let replace = |n: u64| (3 * SECOND + n * 580 * MILLISECOND, Happening::Replace { engines: n + 1..n + 2 });
    let burst = [(6 * SECOND, Happening::Load(1.4)), (9 * SECOND, Happening::Load(0.9))];
    (0..6).map(replace).chain(burst).collect()
}

/// Half of the engines are replaced in steps while the gateways are restarted, a tenth at a time.
fn roll(gateways: usize) -> Vec<(Micros, Happening)> {
    let replace = |n: u64| (3 * SECOND + n * SECOND, Happening::Replace { engines: n + 1..n + 2 });
    let tenth = |n: usize| n * gateways / 10..(n + 1) * gateways / 10;
    let kill = |n: usize| Happening::Kill { gateways: tenth(n), down: 400 * MILLISECOND };
    let kills = (0..10).map(|n| (4 * SECOND + n as u64 * SECOND, kill(n)));
    (0..5).map(replace).chain(kills).collect()
}

/// Seven in ten gateways are killed at once while eight engines are cold at different ages.
fn herd(gateways: usize) -> Vec<(Micros, Happening)> {
    let replace = |n: u64| (3 * SECOND + n * SECOND, Happening::Replace { engines: n + 1..n + 2 });
    let kill = |down| Happening::Kill { gateways: 0..gateways * 7 / 10, down };
    let kills = [(6_700 * MILLISECOND, kill(300 * MILLISECOND)), (11 * SECOND, kill(900 * MILLISECOND))];
    (0..4).map(replace).chain(kills).collect()
}

/// Three in ten engines end at once and are back cold under their ids, seconds before the lists say so.
fn zone() -> Vec<(Micros, Happening)> {
    let burst = [(4 * SECOND, Happening::Load(1.2))];
    let lost = [(3 * SECOND, Happening::Restart { engines: 1..4, down: 3 * SECOND })];
    burst.into_iter().chain(lost).collect()
}

/// A list that lacks cold engines comes in between, and the right one after it.
fn forgets() -> Vec<(Micros, Happening)> {
    let replace = [(3 * SECOND, Happening::Replace { engines: 1..4 })];
    let forget = |n: u64| Happening::Forgets { engines: 1_001..1_004, back: 100 * MILLISECOND * n };
    let forgets = (1..5).map(|n| (4 * SECOND + n * 1_300 * MILLISECOND, forget(n)));
    replace.into_iter().chain(forgets).collect()
}

type Days = Vec<(&'static str, Vec<(Micros, Happening)>)>;

fn days(gateways: usize) -> Days {
    vec![
        ("outage", outage()),
        ("release", release()),
        ("join", join()),
        ("roll", roll(gateways)),
        ("herd", herd(gateways)),
        ("zone", zone()),
        ("forgets", forgets()),
    ]
}

/// Plays all days and names those on which more was sent than chance explains by gateways that were told.
fn broken_days(gateways: u32, pressure: &Pressure, seed: u64) -> Vec<String> {
    let mut broken = Vec::new();
    println!("gateways pressure day | most/N: by class, by work, by count; beyond: all, told; used, served");
    for (name, happenings) in days(gateways as usize) {
        let f = figures(&plan(gateways, pressure, seed, happenings));
        println!(
            "{gateways:3} {} {name:8} | {:.2} {:.2} {:.2}; {:6.1} {:6.1}; {:.3} {:.3}",
            pressure.name, f.most, f.most_by_work, f.most_by_count, f.beyond, f.beyond_told, f.used, f.served
        );
        if f.beyond_told > 0.0 {
            broken.push(format!("{name}: {:.1} beyond", f.beyond_told));
        }
    }
    broken
}

#[test]
fn five_gateways_keep_cold_engines_up() {
    assert_eq!(broken_days(5, &USUAL, 1), [""; 0]);
    assert_eq!(broken_days(5, &HEAVY, 1), [""; 0]);
}

#[test]
fn thirty_gateways_keep_cold_engines_up() {
    assert_eq!(broken_days(30, &USUAL, 1), [""; 0]);
    assert_eq!(broken_days(30, &HEAVY, 1), [""; 0]);
}

#[test]
fn three_hundred_gateways_keep_cold_engines_up() {
    assert_eq!(broken_days(300, &USUAL, 1), [""; 0]);
    assert_eq!(broken_days(300, &TIGHT, 1), [""; 0]);
}
