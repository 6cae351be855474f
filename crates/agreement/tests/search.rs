//! Small cases searched through, and planted faults found.

use violetward_agreement::search::{search, Case, Outcome};
use violetward_agreement::Plant;

/// The first version is in force, and one gateway has just learned that the second is committed: leases on both are asked
/// for while that goes round.
fn leases(plant: Plant) -> Case {
    Case {
        gateways: 3,
        proposers: vec![],
        learned: vec![1],
        asks: vec![1, 1, 0],
        restarts: 0,
        steps: 3,
        step: 60,
        rates: vec![0; 3],
        lease: 100,
        drift: 0,
        plant,
    }
}

/// Two gateways propose different contents at once; time does not matter.
fn votes(plant: Plant) -> Case {
    Case { proposers: vec![1, 2], learned: vec![], asks: vec![0; 3], steps: 0, ..leases(plant) }
}

const MOST: usize = 400_000;

fn holds(case: &Case, what: &str) -> Outcome {
    let outcome = search(case, MOST);
    println!("{what}: {} states, whole {}, held {:?}", outcome.states, outcome.whole, outcome.held);
    assert!(outcome.broken.is_none(), "{what}: {:#?}", outcome.broken);
    outcome
}

#[test]
fn nobody_acts_on_two_versions_at_once() {
    // Slow and fast by all that is allowed: the holder's clock runs slow, those of its voters fast.
    let drift = Case { rates: vec![-100_000, 100_000, 100_000], drift: 100_000, ..leases(Plant::None) };
    for (what, case) in [("calm", leases(Plant::None)), ("drift", drift)] {
        let outcome = holds(&case, what);
        assert!(outcome.whole, "{what}: not all states were visited");
        assert!(outcome.held.0 > 0 && outcome.held.1 > 0, "{what}: leases on both versions have to be seen");
    }
    holds(&Case { restarts: 1, steps: 2, ..leases(Plant::None) }, "a restart");
}

#[test]
fn a_number_has_one_version_whoever_proposes() {
    holds(&votes(Plant::None), "two proposers");
    holds(&Case { restarts: 1, ..votes(Plant::None) }, "two proposers and a restart");
}

#[test]
fn planted_faults_are_found() {
    let restart = |case: Case| Case { restarts: 1, ..case };
    let cases = [
        leases(Plant::LeaseFromReceipt),
        leases(Plant::HalfIsQuorum),
        Case { steps: 1, ..restart(leases(Plant::NoWaitAfterStart)) },
        restart(votes(Plant::VoteNotKept)),
    ];
    for case in cases {
        let outcome = search(&case, MOST);
        println!("{:?}: {} states, {:?}", case.plant, outcome.states, outcome.broken.as_ref().map(|b| &b.1));
        assert!(outcome.broken.is_some(), "{:?} was not found", case.plant);
    }
    // A clock that drifts by more than is allowed is outside the promise, and the search shows it.
    let out = Case { rates: vec![-300_000, 300_000, 300_000], drift: 10_000, ..leases(Plant::None) };
    assert!(search(&out, MOST).broken.is_some());
}
