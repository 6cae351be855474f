//! Prints the tables of `docs/site-loss.md`: `cargo run --release -p violetward-site --example outages [forecast|learned|cases|seconds|week|cost]`.

use violetward_site::projection::{Learned, Loss};
use violetward_site::sim::{cases, known, learn, measured, play, week, Policy, Setting};

const SEEDS: [u64; 3] = [1, 2, 3];
const POLICIES: [Policy; 3] = [Policy::Own, Policy::Levels, Policy::Projected];

fn forecast() {
    println!("| asked for, of all cores' work | forecast of worth | seen | refused, failed or late by class, forecast | seen |");
    println!("| --- | --- | --- | --- | --- |");
    for load in [0.36, 0.6, 0.9, 1.2] {
        // The first five seconds, in which nobody knows yet, are in the tables of cases.
        let setting = Setting { until: 60_000_000, window: (20_000_000, 55_000_000), ..Setting::lost(load) };
        let (mut seen, mut missed) = (0.0, vec![0.0; setting.classes.len()]);
        for seed in SEEDS {
            let day = play(&setting, Policy::Projected, seed);
            seen += day.part() / SEEDS.len() as f64;
            for (m, c) in missed.iter_mut().zip(&day.classes) {
                *m += (c[2] + c[3]) as f64 / c[0].max(1) as f64 / SEEDS.len() as f64;
            }
        }
        let p = measured(&setting).project(&Loss::of(0), &Learned::new(1, 1), 0);
        let refused: Vec<String> = (0..missed.len())
            .map(|class| {
                let of = |pick: fn(&violetward_site::projection::Line) -> f64| -> f64 {
                    p.lines.iter().filter(|l| l.class == class).map(pick).sum()
                };
                format!("{:.3}", 1.0 - of(|l| l.served) / of(|l| l.asked))
            })
            .collect();
        let missed: Vec<String> = missed.iter().map(|m| format!("{m:.3}")).collect();
        println!(
            "| {load} | {:.3} ({:.3} to {:.3}) | {seen:.3} | {} | {} |",
            p.served / p.asked,
            p.range.0 / p.asked,
            (p.range.1 / p.asked).min(1.0),
            refused.join(", "),
            missed.join(", ")
        );
    }
}

/// Outages one after the other, of a fleet whose engines report no load: what the projection learns from them.
fn learned() {
    println!("| outage | forecast of worth | seen |\n| --- | --- | --- |");
    for load in [0.6, 0.9] {
        let lost = Setting { until: 60_000_000, window: (20_000_000, 55_000_000), ..Setting::lost(load) };
        let setting = Setting { reports: false, ..lost };
        let mut learned = Learned::new(3_600_000_000, 100);
        for outage in 1..=4 {
            let p = measured(&setting).project(&Loss::of(0), &learned, 0);
            let day = play(&setting, Policy::Projected, 20 + outage);
            println!("| {load}, number {outage} | {:.3} | {:.3} |", p.served / p.asked, day.part());
            learn(&mut learned, &measured(&setting), &day);
        }
    }
}

fn table() {
    println!("| case | own evidence | adaptive levels | projection | reversals | cold engines fallen | sum of turns |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, setting) in cases() {
        let mut row = Vec::new();
        let (mut reversals, mut fallen, mut turns) = (Vec::new(), Vec::new(), 0.0f64);
        for policy in POLICIES {
            let days: Vec<_> = SEEDS.iter().map(|&s| play(&setting, policy, s)).collect();
            let worth: f64 = days.iter().map(|d| d.part()).sum::<f64>() / days.len() as f64;
            row.push(format!("{worth:.3}"));
            reversals.push(days.iter().map(|d| d.reversals).sum::<u32>().to_string());
            fallen.push(days.iter().map(|d| d.fallen).sum::<u32>().to_string());
            if policy == Policy::Projected {
                turns = days.iter().map(|d| d.turns).fold(0.0, f64::max);
            }
        }
        println!(
            "| {name} | {} | {} | {} | {turns:.2} |",
            row.join(" | "),
            reversals.join(", "),
            fallen.join(", ")
        );
    }
}

fn seconds() {
    let setting = Setting::lost(0.9);
    let days: Vec<_> = POLICIES.iter().map(|&p| play(&setting, p, 1)).collect();
    println!("| second | own evidence | adaptive levels | projection |\n| --- | --- | --- | --- |");
    for second in 12..30 {
        let of = |n: usize| days[n].seconds[second].1 / days[n].seconds[second].0.max(1e-9);
        println!("| {second} | {:.2} | {:.2} | {:.2} |", of(0), of(1), of(2));
    }
    for (at, gateway, site, state) in &days[2].told {
        println!("{:.1} s: g{gateway} says that s{site} is {}", *at as f64 / 1e6, state.word());
    }
}

fn weeks() {
    println!("| seed | releases | racks | pauses | away told | partly lost told | doubtful told |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for seed in SEEDS {
        let w = week(seed);
        println!(
            "| {seed} | {} | {} | {} | {} | {} | {} |",
            w.releases, w.racks, w.pauses, w.away, w.partly, w.doubtful
        );
    }
}

fn cost() {
    println!("| sites | gateways | classes | projection of every loss |\n| --- | --- | --- | --- |");
    for (sites, classes) in [(3, 3), (6, 12), (12, 30)] {
        let mut setting = Setting::usual(0.9);
        setting.sites = sites;
        setting.classes = setting.classes.into_iter().cycle().take(classes).collect();
        setting.classes.iter_mut().for_each(|c| c.part = 1.0 / classes as f64);
        let k = measured(&setting);
        let k = known(&setting, k.demand);
        let begin = std::time::Instant::now();
        let n = k.all(&Learned::new(1, 1), 0).len();
        println!(
            "| {sites} | {} | {classes} | {} microseconds, {n} cases |",
            sites * setting.gateways,
            begin.elapsed().as_micros()
        );
    }
}

fn main() {
    let what: Vec<String> = std::env::args().skip(1).collect();
    let all: [(&str, fn()); 6] = [
        ("forecast", forecast),
        ("learned", learned),
        ("cases", table),
        ("seconds", seconds),
        ("week", weeks),
        ("cost", cost),
    ];
    for (name, print) in all {
        if what.is_empty() || what.iter().any(|w| w == name) {
            println!("\n## {name}\n");
            print();
        }
    }
}
