//! Randomly drawn histories of small fleets, which have to pass the checks of the simulation, and faults
//! injected into the state machine, which these checks have to detect.

use violetward_custody::sim::{play, Case, Counts, Fleet};
use violetward_custody::InjectedFault;

fn run_histories(case: &Case, seeds: std::ops::Range<u64>) -> Counts {
    let mut totals = Counts::default();
    for seed in seeds {
        totals.add(play(case, seed).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
    }
    totals
}

#[test]
fn drawn_histories_repeat_no_unsafe_statement_and_end_every_surviving_one() {
    let totals = run_histories(&Case::default(), 0..300);
    // The histories have to exercise takeovers and intents for the checks to mean anything.
    assert!(totals.takeovers > 300 && totals.awaited_intents > 1_000, "{totals:?}");
}

/// Whether any of the first `histories` seeds detects an injected fault.
fn is_detected(injected_fault: InjectedFault, case: &Case, histories: u64) -> bool {
    (0..histories).any(|seed| play(&Case { injected_fault, ..case.clone() }, seed).is_err())
}

#[test]
fn an_attempt_that_does_not_wait_for_its_intent_is_detected() {
    assert!(is_detected(InjectedFault::IntentNotAwaited, &Case::default(), 300));
}

#[test]
fn acting_without_a_lease_is_detected() {
    assert!(is_detected(InjectedFault::ActsWithoutLease, &Case::default(), 300));
}

#[test]
fn half_of_the_voters_as_a_quorum_is_detected() {
    assert!(is_detected(InjectedFault::HalfIsQuorum, &Case::default(), 300));
}

#[test]
fn fleets_of_drawn_shapes_pass_the_checks_too() {
    let mut totals = Counts::default();
    for seed in 1_000..1_100 {
        totals.add(play(&Case::drawn(seed), seed).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
    }
    assert!(totals.takeovers > 100, "{totals:?}");
}

#[test]
fn each_other_injected_fault_is_detected() {
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
        assert!(is_detected(fault, &Case::default(), 300), "{fault:?}");
    }
}

/// One second in microseconds.
const SECOND: u64 = 1_000_000;

/// A fleet of 12 gateways without message loss or random faults.
fn fleet_without_faults() -> Case {
    Case { gateways: 12, sites: 3, max_loss_per_mille: 0, drift_ppm: 200, ..Case::default() }
}

#[test]
fn a_killed_gateway_loses_no_recorded_statement() {
    let mut fleet = Fleet::new(fleet_without_faults(), 3);
    fleet.run(2 * SECOND);
    fleet.schedule_statements(600, 0, SECOND / 2);
    fleet.run(SECOND / 2 + 50_000);
    let before = fleet.owned_statements();
    fleet.kill_process(4);
    fleet.run(4 * SECOND);
    let after = fleet.owned_statements();
    assert!(before[4] > 20, "{before:?}");
    // At least 90 % of the killed gateway's statements are taken over.
    assert!(fleet.counts().takeover_delays.len() >= before[4] * 9 / 10, "{before:?} {after:?}");
    fleet.mark_survivors();
    fleet.run(60 * SECOND);
    let counts = fleet.finish().unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(counts.lost, 0, "{counts:?}");
}

#[test]
fn a_rolling_restart_loses_no_statement() {
    let mut fleet = Fleet::new(fleet_without_faults(), 5);
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
