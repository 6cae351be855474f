//! Plays drawn histories and prints what happened: `histories [FROM [TO [FAULT]]]`. With an injected fault,
//! by its number, until it is found.

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

fn at(times: &mut [u64], part: usize) -> f64 {
    times.sort_unstable();
    times.get(times.len().saturating_sub(1) * part / 100).map_or(0.0, |&t| t as f64 / 1_000.0)
}

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let arg = |i: usize, or| args.get(i).copied().unwrap_or(or);
    let fault = FAULTS[arg(2, 0) as usize % FAULTS.len()];
    let (next, to) = (AtomicU64::new(arg(0, 0)), arg(1, 1_000));
    let (all, broken) = (Mutex::new(Counts::default()), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                let found = broken.lock().is_ok_and(|b| !b.is_empty());
                if seed >= to || (fault != InjectedFault::None && found) {
                    break;
                }
                let is_drawn = fault == InjectedFault::None;
                let shape = if is_drawn { Case::drawn(seed) } else { Case::default() };
                let case = Case { injected_fault: fault, ..shape };
                match (play(&case, seed), all.lock(), broken.lock()) {
                    (Ok(counts), Ok(mut all), _) => all.add(counts),
                    (Err(why), _, Ok(mut broken)) => broken.push((seed, why)),
                    _ => {}
                }
            });
        }
    });
    let (mut all, broken) = (all.into_inner().unwrap_or_default(), broken.into_inner().unwrap_or_default());
    println!("| {fault:?} | histories {} to {to} |", arg(0, 0));
    println!("| --- | --- |");
    println!(
        "| statements taken, ended, lost with all that had them | {}, {}, {} |",
        all.accepted, all.ended, all.lost
    );
    println!(
        "| attempts, adopted, dropped, intents that waited | {}, {}, {}, {} |",
        all.attempts, all.takeovers, all.relinquished, all.awaited_intents
    );
    let faults = [all.kills, all.pauses, all.partitions, all.false_suspicions, all.hand_overs];
    println!("| kills, stops, cuts, wrong beliefs, planned ends | {faults:?} |");
    let sent = [all.datagrams, all.datagram_bytes, all.record_sends, all.record_bytes];
    println!("| datagrams and octets, sendings and octets | {sent:?} |");
    let (after, intent) = (&mut all.takeover_delays, &mut all.intent_delays);
    println!(
        "| from the fall to the adoption, ms, median and 99th | {:.0}, {:.0} |",
        at(after, 50),
        at(after, 99)
    );
    println!("| from intent to word, ms, median and 99th | {:.1}, {:.1} |", at(intent, 50), at(intent, 99));
    println!("| broken | {} |", broken.len());
    broken.iter().take(5).for_each(|(seed, why)| println!("seed {seed}: {why}"));
}
