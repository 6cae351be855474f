//! Fleets whose links are cut, or whose processes stand still, while others go on: whoever kept its lease all
//! the time keeps its term and its statements, whatever the others believe of it afterwards.

use violetward_custody::sim::{Case, Fleet};
use violetward_custody::InjectedFault;

/// One millisecond in microseconds.
const MILLISECOND: u64 = 1_000;
/// One second in microseconds.
const SECOND: u64 = 1_000 * MILLISECOND;
const GATEWAYS: [usize; 5] = [0, 1, 2, 3, 4];
/// The gateways of the smaller side of a partition, and those of the larger one, which has a quorum.
const MINORITY: [usize; 2] = [0, 1];
const MAJORITY: [usize; 3] = [2, 3, 4];

/// Five voters whose network loses nothing but what the history cuts.
fn five_voters(lease: u64, injected_fault: InjectedFault) -> Case {
    Case { gateways: 5, voters: 5, sites: 1, lease, max_loss_per_mille: 0, injected_fault, ..Case::default() }
}

fn started_fleet(case: Case, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(case, seed);
    fleet.run(3 * SECOND);
    fleet.schedule_statements(60, 0, 20 * SECOND);
    fleet
}

fn finish(mut fleet: Fleet, seed: u64) {
    fleet.mark_survivors();
    fleet.run(30 * SECOND);
    fleet.finish().unwrap_or_else(|why| panic!("seed {seed}: {why}"));
}

/// Two partitions of six seconds each.
fn fleet_after_partitions(lease: u64, injected_fault: InjectedFault, seed: u64) -> Fleet {
    let mut fleet = started_fleet(five_voters(lease, injected_fault), seed);
    for _ in 0..2 {
        fleet.run((1_000 + seed * 37 % 900) * MILLISECOND);
        fleet.partition_groups(&MINORITY, &MAJORITY, 6 * SECOND);
        fleet.run(14 * SECOND);
    }
    fleet
}

/// After a partition the gateways that were cut off, with a new lease and an old view, fenced those that had
/// gone on, and their statements were lost.
#[test]
fn after_a_partition_no_gateway_of_the_side_that_went_on_is_fenced() {
    for seed in 0..30 {
        for lease in [SECOND, 2 * SECOND] {
            let fleet = fleet_after_partitions(lease, InjectedFault::None, seed);
            let terms = fleet.terms();
            assert_eq!(terms[2..], [Some(0); 3], "seed {seed}: {terms:?}");
            assert!(terms[..2].iter().any(|term| *term > Some(0)), "nobody was fenced: seed {seed}");
            // Whoever was cut off is fenced for that, and not once more after the cut.
            assert!(terms[..2].iter().all(|term| *term <= Some(2)), "seed {seed}: {terms:?}");
            finish(fleet, seed);
        }
    }
}

#[test]
fn a_voter_that_fences_without_evidence_is_detected() {
    let is_detected = |seed| {
        let fleet = fleet_after_partitions(SECOND, InjectedFault::FencesWithoutEvidence, seed);
        fleet.terms()[2..] != [Some(0); 3]
    };
    assert!((0..30).any(is_detected));
}

/// Links that are cut between all gateways leave no quorum: nobody acts meanwhile, and afterwards all go on.
#[test]
fn after_a_cut_of_all_links_nobody_is_fenced() {
    for seed in 0..30 {
        let mut fleet = started_fleet(five_voters(SECOND, InjectedFault::None), seed);
        fleet.run(SECOND);
        fleet.cut_links(&GATEWAYS, &GATEWAYS, 6 * SECOND);
        fleet.run(14 * SECOND);
        assert_eq!(fleet.terms(), [Some(0); 5], "seed {seed}");
        finish(fleet, seed);
    }
}

/// A gateway that stood still for several leases wakes with the belief that the others are dead.
#[test]
fn a_gateway_that_stood_still_fences_nobody() {
    for seed in 0..30 {
        let mut fleet = started_fleet(five_voters(SECOND, InjectedFault::None), seed);
        fleet.run((1_000 + seed * 37 % 900) * MILLISECOND);
        fleet.pause_process(0, 4 * SECOND);
        MAJORITY.iter().for_each(|&member| fleet.suspect(0, member, 8 * SECOND));
        fleet.run(12 * SECOND);
        assert_eq!(fleet.terms()[1..], [Some(0); 4], "seed {seed}");
        finish(fleet, seed);
    }
}

/// A gateway that all others wrongly believe dead goes on, as the voters hear that it holds its lease.
#[test]
fn a_wrong_belief_fences_nobody() {
    for seed in 0..30 {
        let mut fleet = started_fleet(five_voters(SECOND, InjectedFault::None), seed);
        fleet.run(SECOND);
        GATEWAYS[1..].iter().for_each(|&gateway| fleet.suspect(gateway, 0, 6 * SECOND));
        fleet.run(14 * SECOND);
        assert_eq!(fleet.terms(), [Some(0); 5], "seed {seed}");
        finish(fleet, seed);
    }
}

/// A gateway that hears nobody keeps asking for its lease but holds none: its statements are taken over. So
/// are those of one that nobody hears.
#[test]
fn a_gateway_that_is_cut_off_in_one_direction_is_fenced() {
    for seed in 0..10 {
        for hears in [false, true] {
            let mut fleet = started_fleet(five_voters(SECOND, InjectedFault::None), seed);
            fleet.schedule_statements(200, 0, SECOND);
            fleet.run(SECOND);
            let (from, to) =
                if hears { (&GATEWAYS[..1], &GATEWAYS[1..]) } else { (&GATEWAYS[1..], &GATEWAYS[..1]) };
            fleet.cut_links(from, to, 12 * SECOND);
            fleet.run(11 * SECOND);
            let counts = fleet.counts();
            assert!(counts.takeovers > 0, "seed {seed}, hears {hears}: {counts:?}");
            fleet.run(7 * SECOND);
            let terms = fleet.terms();
            assert!(terms[0] > Some(0), "seed {seed}, hears {hears}: {terms:?}");
            assert_eq!(terms[1..], [Some(0); 4], "seed {seed}, hears {hears}");
            finish(fleet, seed);
        }
    }
}
