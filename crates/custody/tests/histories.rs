//! Drawn histories of small fleets, and faults injected into the state machine that they have to find.

use violetward_custody::sim::{play, Case, Counts, Fleet};
use violetward_custody::InjectedFault;

fn histories(case: &Case, seeds: std::ops::Range<u64>) -> Counts {
    let mut all = Counts::default();
    for seed in seeds {
        all.add(play(case, seed).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
    }
    all
}

#[test]
fn nothing_is_done_twice_and_nothing_that_lives_is_left_in_drawn_histories() {
    let all = histories(&Case::default(), 0..300);
    // Histories in which nothing happens would show nothing.
    assert!(all.takeovers > 300 && all.awaited_intents > 1_000, "{all:?}");
}

/// Whether an injected fault is found within some histories.
fn is_found(injected_fault: InjectedFault, case: &Case, within: u64) -> bool {
    (0..within).any(|seed| play(&Case { injected_fault, ..case.clone() }, seed).is_err())
}

#[test]
fn an_attempt_that_does_not_wait_for_its_intent_is_found() {
    assert!(is_found(InjectedFault::IntentNotAwaited, &Case::default(), 300));
}

#[test]
fn acting_without_a_lease_is_found() {
    assert!(is_found(InjectedFault::ActsWithoutLease, &Case::default(), 300));
}

#[test]
fn half_of_the_voters_as_a_quorum_is_found() {
    assert!(is_found(InjectedFault::HalfIsQuorum, &Case::default(), 300));
}

#[test]
fn fleets_of_drawn_shapes_keep_the_promise_too() {
    let mut all = Counts::default();
    for seed in 1_000..1_100 {
        all.add(play(&Case::drawn(seed), seed).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
    }
    assert!(all.takeovers > 100, "{all:?}");
}

#[test]
fn each_other_injected_fault_is_found() {
    let faults = [
        InjectedFault::LeaseFromReceipt,
        InjectedFault::MarksNotStored,
        InjectedFault::NoStartupSilence,
        InjectedFault::ReplicaListForgotten,
        InjectedFault::ReplicaListNotAwaited,
        InjectedFault::GrantNotWaitedOut,
        InjectedFault::VotesWithoutMarks,
    ];
    for fault in faults {
        assert!(is_found(fault, &Case::default(), 300), "{fault:?}");
    }
}

const SECOND: u64 = 1_000_000;

fn calm() -> Case {
    Case { gateways: 12, sites: 3, max_loss_per_mille: 0, drift_ppm: 200, ..Case::default() }
}

#[test]
fn a_death_loses_nothing_that_was_recorded_and_spreads_over_the_others() {
    let mut fleet = Fleet::new(calm(), 3);
    fleet.run(2 * SECOND);
    fleet.schedule_statements(600, 0, SECOND / 2);
    fleet.run(SECOND / 2 + 50_000);
    let before = fleet.owned_statements();
    fleet.kill_process(4);
    fleet.run(4 * SECOND);
    let after = fleet.owned_statements();
    assert!(before[4] > 20, "{before:?}");
    // Most of what the killed gateway owned is taken over.
    assert!(fleet.counts().takeover_delays.len() >= before[4] * 9 / 10, "{before:?} {after:?}");
    fleet.mark_survivors();
    fleet.run(60 * SECOND);
    let counts = fleet.finish().unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(counts.lost, 0, "{counts:?}");
}

#[test]
fn a_fleet_that_is_restarted_in_turn_loses_nothing() {
    let mut fleet = Fleet::new(calm(), 5);
    fleet.run(2 * SECOND);
    fleet.schedule_statements(400, 0, 30 * SECOND);
    fleet.schedule_rolling_restart(3 * SECOND);
    fleet.run(36 * SECOND);
    fleet.mark_survivors();
    fleet.run(60 * SECOND);
    let counts = fleet.finish().unwrap_or_else(|why| panic!("{why}"));
    assert_eq!((counts.hand_overs, counts.lost), (12, 0), "{counts:?}");
    assert!(counts.takeovers > 10, "{counts:?}");
}
