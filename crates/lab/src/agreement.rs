//! Agreement in figures: simulated fleets of the state machine, and the price of a look at the lease.

use std::time::Instant;

use violetward_agreement::sim::{splitmix64, Fleet};
use violetward_net::Clock;

const SECOND: u64 = 1_000_000;
const LEASE: u64 = 8 * SECOND;
const DRIFT: u64 = 1_000;
/// Looks that are timed.
const LOOKS: u32 = 5_000_000;

/// What a fleet under one weather showed.
struct Row {
    /// From each proposal until all acted on it in full, sorted.
    took: Vec<u64>,
    /// Proposals that became no version in time.
    lost: usize,
    /// Part of the time without a lease.
    without: f64,
    /// Datagrams and octets a gateway and second, at rest.
    rest: (f64, f64),
}

/// `pauses`: one gateway after the other, those that vote among them, stands still for a while longer than a lease.
fn row(count: usize, loss: u64, pauses: bool, changes: u64, seed: u64) -> Row {
    let voters = if count > 3 { 5 } else { 3 };
    let mut fleet = Fleet::new(count, voters, LEASE, DRIFT, seed);
    fleet.loss_per_mille = loss;
    fleet.run(2 * LEASE);
    let (before, from) = (fleet.sent, fleet.now);
    fleet.run(10 * SECOND);
    let span = (fleet.now - from) as f64 / SECOND as f64 * count as f64;
    let rest = ((fleet.sent.0 - before.0) as f64 / span, (fleet.sent.1 - before.1) as f64 / span);
    let mut row = Row { took: Vec::new(), lost: 0, without: 0.0, rest };
    let (mut looks, mut dice) = (0u64, seed);
    for change in 0..changes {
        if pauses {
            let n = splitmix64(&mut dice) as usize % count;
            fleet.nodes[n].paused_until = fleet.now + LEASE + splitmix64(&mut dice) % LEASE;
        }
        let awake = (0..voters).find(|&n| fleet.nodes[n].paused_until <= fleet.now).unwrap_or(0);
        let at = fleet.now;
        let wanted = fleet.committed.len() as u64 + 1;
        let begun = fleet.propose(awake, format!("{seed} {change}").as_bytes()).is_ok();
        let until = at + 4 * LEASE;
        let mut done = None;
        while fleet.now < until {
            fleet.run(if done.is_none() && fleet.now < at + SECOND { 5_000 } else { 250_000 });
            let acts = fleet.usable_ranges();
            // Whoever stands still acts on nothing: nobody waits for it but by its lease.
            let awake = |n: &usize| fleet.nodes[*n].paused_until <= fleet.now;
            let full = (0..count).filter(awake).all(|n| acts[n].is_some_and(|(low, _)| low >= wanted));
            if done.is_none() && full {
                done = Some(fleet.now - at);
            }
            if fleet.now >= at + SECOND {
                looks += count as u64;
                row.without += acts.iter().filter(|a| a.is_none()).count() as f64;
            }
            if done.is_some() && !pauses && fleet.now > at + 3 * SECOND {
                break;
            }
        }
        match done.filter(|_| begun) {
            Some(took) => row.took.push(took),
            None => row.lost += 1,
        }
    }
    row.without /= looks.max(1) as f64;
    row.took.sort_unstable();
    row
}

/// Prints the figures of fleets of one size, or of all.
pub fn table(members: Option<usize>) {
    println!(
        "Simulated: ways of 1 to 21 ms, a lease of 8 s, clocks apart by 0.1% each way, 3 or 5 that vote."
    );
    println!("| gateways | loss | pauses | changes | acted on by all, median | most | not in time | without a lease | datagrams, octets a gateway and second at rest |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in [3, 8, 24, 300].into_iter().filter(|&n| members.is_none_or(|m| m == n)) {
        for (loss, pauses) in [(0, false), (50, false), (200, false), (0, true), (50, true)] {
            let (changes, seeds) = if count > 100 { (6, 1) } else { (20, 5) };
            let mut all = Row { took: vec![], lost: 0, without: 0.0, rest: (0.0, 0.0) };
            for seed in 1..=seeds {
                let one = row(count, loss, pauses, changes, seed);
                all.took.extend(one.took);
                all.lost += one.lost;
                all.without += one.without / seeds as f64;
                all.rest = (all.rest.0 + one.rest.0 / seeds as f64, all.rest.1 + one.rest.1 / seeds as f64);
            }
            all.took.sort_unstable();
            let at = |part: f64| {
                let place = (all.took.len().saturating_sub(1) as f64 * part) as usize;
                all.took.get(place).map_or("-".into(), |&t| format!("{:.3} s", t as f64 / 1e6))
            };
            println!(
                "| {count} | {}% | {} | {} | {} | {} | {} | {:.2}% | {:.1}, {:.0} |",
                loss / 10,
                if pauses { "yes" } else { "no" },
                all.took.len() + all.lost,
                at(0.5),
                at(1.0),
                all.lost,
                all.without * 100.0,
                all.rest.0,
                all.rest.1
            );
        }
    }
    let (clock, until) = (Clock::new(), std::cell::Cell::new(u64::MAX));
    let begun = Instant::now();
    let mut late = 0u32;
    for _ in 0..LOOKS {
        late += u32::from(clock.now() >= std::hint::black_box(&until).get());
    }
    let each = begun.elapsed().as_nanos() as f64 / f64::from(LOOKS);
    println!("A look at the lease: {each:.0} ns ({late} of {LOOKS} late).");
}
