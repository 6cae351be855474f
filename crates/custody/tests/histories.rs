//! Drawn histories of small fleets, and the faults planted into them.

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
    assert!(all.done[1] > 300 && all.done[3] > 1_000, "{:?}", all.done);
}

/// Whether a planted fault is found within some histories.
fn found(plant: InjectedFault, case: &Case, within: u64) -> bool {
    (0..within).any(|seed| play(&Case { plant, ..case.clone() }, seed).is_err())
}

#[test]
fn an_attempt_that_does_not_wait_for_its_intent_is_found() {
    assert!(found(InjectedFault::IntentNotAwaited, &Case::default(), 300));
}

#[test]
fn acting_without_a_tenure_is_found() {
    assert!(found(InjectedFault::ActsWithoutLease, &Case::default(), 300));
}

#[test]
fn half_of_the_voters_as_a_quorum_is_found() {
    assert!(found(InjectedFault::HalfIsQuorum, &Case::default(), 300));
}

#[test]
fn fleets_of_drawn_shapes_keep_the_promise_too() {
    let mut all = Counts::default();
    for seed in 1_000..1_100 {
        all.add(play(&Case::drawn(seed), seed).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
    }
    assert!(all.done[1] > 100, "{:?}", all.done);
}

#[test]
fn each_other_planted_fault_is_found() {
    let plants = [
        InjectedFault::LeaseFromReceipt,
        InjectedFault::MarksNotStored,
        InjectedFault::NoStartupSilence,
        InjectedFault::ReplicaListForgotten,
        InjectedFault::ReplicaListNotAwaited,
        InjectedFault::GrantNotWaitedOut,
        InjectedFault::VotesWithoutMarks,
    ];
    for plant in plants {
        assert!(found(plant, &Case::default(), 300), "{plant:?}");
    }
}

const SECOND: u64 = 1_000_000;

fn calm() -> Case {
    Case { gateways: 12, sites: 3, loss: 0, drift: 200, ..Case::default() }
}

#[test]
fn a_death_loses_nothing_that_was_recorded_and_spreads_over_the_others() {
    let mut fleet = Fleet::new(calm(), 3);
    fleet.run(2 * SECOND);
    fleet.load(600, 0, SECOND / 2);
    fleet.run(SECOND / 2 + 50_000);
    let before = fleet.held();
    fleet.fell(4);
    fleet.run(4 * SECOND);
    let after = fleet.held();
    assert!(before[4] > 20, "{before:?}");
    // Nobody else has taken more than a third of what fell.
    assert!(fleet.counts().adopted_after.len() >= before[4] * 9 / 10, "{before:?} {after:?}");
    fleet.settled();
    fleet.run(60 * SECOND);
    let counts = fleet.ended().unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(counts.statements[2], 0, "{:?}", counts.statements);
}

#[test]
fn a_fleet_that_is_restarted_in_turn_loses_nothing() {
    let mut fleet = Fleet::new(calm(), 5);
    fleet.run(2 * SECOND);
    fleet.load(400, 0, 30 * SECOND);
    fleet.roll(3 * SECOND);
    fleet.run(36 * SECOND);
    fleet.settled();
    fleet.run(60 * SECOND);
    let counts = fleet.ended().unwrap_or_else(|why| panic!("{why}"));
    assert_eq!((counts.faults[4], counts.statements[2]), (12, 0), "{counts:?}");
    assert!(counts.done[1] > 10, "{:?}", counts.done);
}
