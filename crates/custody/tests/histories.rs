//! Drawn histories of small fleets, and the faults planted into them.

use violetward_custody::sim::{play, Case, Counts};
use violetward_custody::Plant;

#[test]
fn nothing_is_done_twice_and_nothing_that_lives_is_left_in_drawn_histories() {
    let mut all = Counts::default();
    for seed in 0..300 {
        all.add(play(&Case::default(), seed).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
    }
    // Histories in which nothing happens would show nothing.
    println!("{:?} {:?} {:?} {:?}", all.statements, all.done, all.faults, all.sent);
    assert!(all.done[1] > 300 && all.done[3] > 1_000, "{:?}", all.done);
}
