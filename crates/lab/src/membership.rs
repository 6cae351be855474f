//! Membership in figures: whole fleets of the state machine on a virtual network, beside plain SWIM.

use std::time::{Duration, Instant};

use violetward_membership::sim::{test_config, Action, Fleet, LinkConditions};
use violetward_membership::Micros;

const SECOND: Micros = 1_000_000;
/// Between two probes in these runs.
const PERIOD: Micros = 500_000;

/// What one setting has shown.
struct Row {
    detected: Vec<Micros>,
    agreed: Vec<Micros>,
    false_deaths: f64,
    messages: f64,
    octets: f64,
    wakes: f64,
    most_share: f64,
    /// Processor time a member and second, the simulated network's included.
    cost: Duration,
}

fn at(sorted: &[Micros], part: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[((sorted.len() - 1) as f64 * part).round() as usize] as f64 / SECOND as f64
}

fn play(count: usize, loss: f64, pauses: bool, plain: bool, seeds: u64, quiet: Micros) -> Row {
    let mut row = Row {
        detected: vec![],
        agreed: vec![],
        false_deaths: 0.0,
        messages: 0.0,
        octets: 0.0,
        wakes: 0.0,
        most_share: 0.0,
        cost: Duration::ZERO,
    };
    for seed in 1..=seeds {
        let mut fleet = Fleet::new(count, seed, move |n| test_config(n, count, PERIOD, plain));
        fleet.run_until(120 * SECOND, Fleet::views_agree);
        fleet.apply(&Action::Weather(LinkConditions { loss, ..LinkConditions::default() }));
        fleet.run(5 * SECOND);
        fleet.report = Default::default();
        let (start, began) = (fleet.now, Instant::now());
        // Some stand still now and then, for longer than a round of probes.
        let mut turn = 0;
        while fleet.now < start + quiet {
            if pauses {
                let sleepers: Vec<usize> =
                    (0..count.div_ceil(20)).map(|i| (turn * 7 + i * 20) % count).collect();
                sleepers.iter().for_each(|&n| fleet.apply(&Action::Pause(n)));
                fleet.run(4 * SECOND);
                sleepers.iter().for_each(|&n| fleet.apply(&Action::Resume(n)));
                fleet.run(6 * SECOND);
                turn += 1;
            } else {
                fleet.run(10 * SECOND);
            }
        }
        let members = count as f64 * seeds as f64;
        row.cost += began.elapsed().div_f64((fleet.now - start) as f64 / SECOND as f64 * members);
        let span = (fleet.now - start) as f64 / SECOND as f64 * count as f64 * seeds as f64;
        row.false_deaths += fleet.report.false_death_count as f64 / (span / 3600.0);
        row.messages += fleet.report.sent.0 as f64 / span;
        row.octets += fleet.report.sent.1 as f64 / span;
        row.wakes += fleet.report.wake_count as f64 / span;
        // One dies, and how long that takes to be known.
        fleet.report.detection_times.clear();
        fleet.report.agreement_times.clear();
        fleet.apply(&Action::Kill(count / 2));
        fleet.run(40 * SECOND);
        row.detected.append(&mut fleet.report.detection_times);
        row.agreed.append(&mut fleet.report.agreement_times);
        row.most_share = row.most_share.max(fleet.report.max_total_share);
    }
    row.detected.sort_unstable();
    row.agreed.sort_unstable();
    row
}

/// Prints the table, row by row; of one size alone if `only` says so, else up to 300 members.
pub fn table(only: Option<usize>) {
    println!(
        "| members | loss | pauses | kind | known: first | median | 99th | by all | false deaths a member and hour | messages a member and s | octets | wakes | µs | most sum of shares |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    let sizes: &[(usize, u64, Micros)] =
        &[(8, 10, 120 * SECOND), (64, 2, 40 * SECOND), (300, 1, 20 * SECOND), (1000, 1, 10 * SECOND)];
    let wanted = |count: usize| only.map_or(count <= 300, |only| only == count);
    for &(count, seeds, quiet) in sizes.iter().filter(|s| wanted(s.0)) {
        for (loss, pauses) in [(0.0, false), (0.05, false), (0.2, false), (0.0, true), (0.2, true)] {
            for plain in [false, true] {
                let row = play(count, loss, pauses, plain, seeds, quiet);
                println!(
                    "| {count} | {loss} | {} | {} | {:.2} s | {:.2} s | {:.2} s | {:.2} s | {:.2} | {:.1} | {:.0} | {:.1} | {:.0} | {} |",
                    if pauses { "yes" } else { "no" },
                    if plain { "plain SWIM" } else { "violetward" },
                    at(&row.detected, 0.0),
                    at(&row.detected, 0.5),
                    at(&row.detected, 0.99),
                    at(&row.agreed, 0.5),
                    row.false_deaths,
                    row.messages,
                    row.octets,
                    row.wakes,
                    row.cost.as_secs_f64() * 1e6,
                    if row.most_share > 0.0 { format!("{:.2}", row.most_share) } else { "unchanged".into() },
                );
            }
        }
    }
}
