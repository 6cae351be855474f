//! Drawn histories of small fleets, and the faults planted into them.

use violetward_custody::sim::{play, Case, Counts};
use violetward_custody::Plant;

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
fn found(plant: Plant, case: &Case, within: u64) -> bool {
    (0..within).any(|seed| play(&Case { plant, ..case.clone() }, seed).is_err())
}

#[test]
fn an_attempt_that_does_not_wait_for_its_intent_is_found() {
    assert!(found(Plant::IntentNotAwaited, &Case::default(), 300));
}

#[test]
fn acting_without_a_tenure_is_found() {
    assert!(found(Plant::ActsWithoutTenure, &Case::default(), 300));
}

#[test]
fn half_of_the_voters_as_a_quorum_is_found() {
    assert!(found(Plant::HalfIsQuorum, &Case::default(), 300));
}
