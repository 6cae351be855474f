//! A schedule for 36 engines over a week with 200 cells, and how long the search takes:
//! `cargo run --release -p violetward-windows --example schedule [SEED] [LOAD]`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use violetward_windows::cover::{Cover, Engine, Placement, Spare, Terms};
use violetward_windows::find::{Margins, Outlook};
use violetward_windows::profile::{self, Profile, QUARTER, QUARTERS, WEEK};
use violetward_windows::{Cell, Wall};

const MINUTE: u64 = 60_000_000;

fn main() {
    let seed: u64 = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    let load: f64 = std::env::args().nth(2).and_then(|s| s.parse().ok()).unwrap_or(1.0);
    let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = |of: u64| {
        dice ^= dice << 13;
        dice ^= dice >> 7;
        dice ^= dice << 17;
        dice % of
    };
    // Three sites, two kinds; each of twelve groups of tables has copies at four engines, of three at each site.
    let engine = |n: usize| Engine {
        name: format!("e{n:02}"),
        kind: (n % 2) as u16,
        zone: (n % 3) as u16,
        site: (n % 3) as u16,
        groups: Some((0..12u64).filter(|g| (n as u64 + g) % 12 < 4).collect()),
        cores: if n % 2 == 0 { 16.0 } else { 8.0 },
    };
    let terms = Terms { fill: 0.8, spare: Spare::Engine, cold: 0.25, warm: 10 * MINUTE };
    let places =
        BTreeMap::from([(3, Placement { sites: Some(BTreeSet::from([0, 1])), ..Placement::default() })]);
    let cover = Cover::new((0..36).map(engine).collect(), places, terms).expect("a fleet");
    let cells: Vec<Cell> = (0..200u16)
        .map(|n| Cell {
            class: n % 6,
            group: Some(u64::from(n / 6 % 12)),
            kind: None,
            zone: None,
            site: Some(n / 72),
        })
        .collect();
    let (most, peak): (Vec<f64>, Vec<u64>) =
        (0..200).map(|_| (load * (0.5 + draw(200) as f64 / 100.0), 8 + draw(10))).unzip();
    let mut profile = Profile::new(profile::Terms { samples: 1, ..profile::Terms::default() });
    // Four weeks; each cell has its own hours.
    for q in 0..=4 * QUARTERS as u64 {
        let hour = (q / 4) % 24;
        let needs = |(n, cell): (usize, &Cell)| {
            let off = hour.abs_diff(peak[n]).min(24 - hour.abs_diff(peak[n])) as f64;
            (*cell, most[n] * (0.15 + 0.85 * (1.0 - off / 12.0)) * (1.0 + (draw(5) as f64 - 2.0) / 50.0))
        };
        let needs: Vec<(Cell, f64)> = cells.iter().enumerate().map(needs).collect();
        profile.sample(100 * WEEK + q * QUARTER, &needs);
    }
    let now: Wall = 104 * WEEK;
    let begun = Instant::now();
    let outlook = Outlook::new(&cover, &profile, &[], Margins { slack: MINUTE / 2, lead: 2 * MINUTE }, now);
    let set: Vec<usize> = (0..3).collect();
    let made = begun.elapsed();
    let found = outlook.find(&set, 30 * MINUTE);
    let one = begun.elapsed();
    let schedule = outlook.schedule(&(0..36).collect::<Vec<_>>(), 30 * MINUTE);
    let all = begun.elapsed();
    println!("e00 e01 e02 for 30 minutes: {} of {QUARTERS} starts are safe", found.starts.len());
    for (from, until, why) in found.refused.iter().take(3) {
        println!("  not from {} to {} minutes: {why}", (from - now) / MINUTE, (until - now) / MINUTE);
    }
    println!("the fleet: {} windows, {} engines left", schedule.windows.len(), schedule.left.len());
    for w in &schedule.windows {
        println!("  {:>5} minutes: {}", (w.from - now) / MINUTE, w.engines.join(" "));
    }
    for (engine, why) in schedule.left.iter().take(3) {
        println!("  {engine}: {}", why.as_ref().map_or("no room in the week".into(), ToString::to_string));
    }
    println!(
        "outlook {:.3} s, windows of three engines {:.3} s, schedule {:.3} s, in all {:.3} s",
        made.as_secs_f64(),
        (one - made).as_secs_f64(),
        (all - one).as_secs_f64(),
        all.as_secs_f64()
    );
}
