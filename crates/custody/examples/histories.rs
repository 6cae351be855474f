//! Simulates randomly drawn histories and prints totals: `histories [FIRST_SEED [END_SEED [FAULT]]]`.
//! `FAULT` is the index of a fault to inject; the run then stops at the first history that detects it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use violetward_custody::sim::{play, Case, Counts};
use violetward_custody::InjectedFault;

const FAULTS: [InjectedFault; 11] = [
    InjectedFault::None,
    InjectedFault::LeaseFromReceipt,
    InjectedFault::HalfIsQuorum,
    InjectedFault::MarksNotStored,
    InjectedFault::NoStartupSilence,
    InjectedFault::ReplicaListForgotten,
    InjectedFault::ReplicaListNotAwaited,
    InjectedFault::ActsWithoutLease,
    InjectedFault::IntentNotAwaited,
    InjectedFault::GrantNotWaitedOut,
    InjectedFault::VotesWithoutMarks,
];

/// A percentile of times in microseconds, in milliseconds.
fn percentile_ms(times: &mut [u64], percent: usize) -> f64 {
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) * percent / 100).map_or(0.0, |&time| time as f64 / 1_000.0)
}

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let arg = |index: usize, default| args.get(index).copied().unwrap_or(default);
    let fault = FAULTS[arg(2, 0) as usize % FAULTS.len()];
    let (next_seed, end_seed) = (AtomicU64::new(arg(0, 0)), arg(1, 1_000));
    let (totals, failures) = (Mutex::new(Counts::default()), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                let is_detected = failures.lock().is_ok_and(|failures| !failures.is_empty());
                if seed >= end_seed || (fault != InjectedFault::None && is_detected) {
                    break;
                }
                let draws_shape = fault == InjectedFault::None;
                let shape = if draws_shape { Case::drawn(seed) } else { Case::default() };
                let case = Case { injected_fault: fault, ..shape };
                match (play(&case, seed), totals.lock(), failures.lock()) {
                    (Ok(counts), Ok(mut totals), _) => totals.add(counts),
                    (Err(why), _, Ok(mut failures)) => failures.push((seed, why)),
                    _ => {}
                }
            });
        }
    });
    let mut totals = totals.into_inner().unwrap_or_default();
    let failures = failures.into_inner().unwrap_or_default();
    println!("| fault: {fault:?} | seeds {} to {end_seed} |", arg(0, 0));
    println!("| --- | --- |");
    println!(
        "| statements accepted, ended, lost with all gateways that had them | {}, {}, {} |",
        totals.accepted, totals.ended, totals.lost
    );
    println!(
        "| attempts, takeovers, statements relinquished, intents that waited | {}, {}, {}, {} |",
        totals.attempts, totals.takeovers, totals.relinquished, totals.awaited_intents
    );
    let fault_counts =
        [totals.kills, totals.pauses, totals.partitions, totals.false_suspicions, totals.hand_overs];
    println!("| kills, pauses, partitions, false suspicions, hand-overs | {fault_counts:?} |");
    let sent = [totals.datagrams, totals.datagram_bytes, totals.record_sends, totals.record_bytes];
    println!("| datagrams and their bytes, sends of records and their bytes | {sent:?} |");
    let (takeover_delays, intent_delays) = (&mut totals.takeover_delays, &mut totals.intent_delays);
    println!(
        "| failure to takeover, ms, median and 99th percentile | {:.0}, {:.0} |",
        percentile_ms(takeover_delays, 50),
        percentile_ms(takeover_delays, 99)
    );
    println!(
        "| intent to permission, ms, median and 99th percentile | {:.1}, {:.1} |",
        percentile_ms(intent_delays, 50),
        percentile_ms(intent_delays, 99)
    );
    println!("| failed histories | {} |", failures.len());
    failures.iter().take(5).for_each(|(seed, why)| println!("seed {seed}: {why}"));
}
