//! Small cases searched through, and planted faults found.

use violetward_agreement::search::{search, Case, Outcome};
use violetward_agreement::InjectedFault;

/// The first version is in force, and one gateway has just learned that the second is committed: leases on both are asked
/// for while that goes round.
fn leases(fault: InjectedFault) -> Case {
    Case {
        gateways: 3,
        proposers: vec![],
        informed: vec![1],
        lease_requests: vec![1, 1, 0],
        restarts: 0,
        time_steps: 3,
        step_micros: 60,
        clock_rates_ppm: vec![0; 3],
        lease: 100,
        drift_ppm: 0,
        fault,
    }
}

/// Two gateways propose different contents at once; time does not matter.
fn votes(fault: InjectedFault) -> Case {
    Case {
        proposers: vec![1, 2],
        informed: vec![],
        lease_requests: vec![0; 3],
        time_steps: 0,
        ..leases(fault)
    }
}

const MOST: usize = 4_000_000;

fn holds(case: &Case, what: &str) -> Outcome {
    let outcome = search(case, MOST);
    println!(
        "{what}: {} states, complete {}, states_in_full_use {:?}",
        outcome.states, outcome.complete, outcome.states_in_full_use
    );
    assert!(outcome.counterexample.is_none(), "{what}: {:#?}", outcome.counterexample);
    outcome
}

#[test]
fn whoever_acts_has_what_others_act_on_in_full_within_its_range() {
    // Slow and fast by all that is allowed: the holder's clock runs slow, those of its voters fast. What clocks that run
    // alike lead to is among it (546,681 states on their own, visited whole as well).
    let case = Case {
        clock_rates_ppm: vec![-100_000, 100_000, 100_000],
        drift_ppm: 100_000,
        ..leases(InjectedFault::None)
    };
    let outcome = holds(&case, "drift");
    assert!(outcome.complete, "not all states were visited");
    assert!(
        outcome.states_in_full_use.0 > 0 && outcome.states_in_full_use.1 > 0,
        "both versions have to be acted on in full"
    );
}

#[test]
fn nor_does_what_a_voter_tells_once_the_last_one_has_asked_again() {
    let case = Case {
        lease_requests: vec![2, 1, 0],
        time_steps: 1,
        step_micros: 120,
        ..leases(InjectedFault::None)
    };
    let outcome = holds(&case, "asked again");
    assert!(outcome.complete && outcome.states_in_full_use.0 > 0 && outcome.states_in_full_use.1 > 0);
}

#[test]
fn nor_does_a_restart_break_that() {
    let outcome = holds(&Case { restarts: 1, time_steps: 2, ..leases(InjectedFault::None) }, "a restart");
    assert!(outcome.complete && outcome.states_in_full_use.0 > 0 && outcome.states_in_full_use.1 > 0);
}

#[test]
fn a_number_has_one_version_whoever_proposes() {
    holds(&votes(InjectedFault::None), "two proposers");
    // One that has started again votes after its silence only.
    let restart = Case { restarts: 1, time_steps: 1, step_micros: 120, ..votes(InjectedFault::None) };
    let outcome = holds(&restart, "two proposers and a restart");
    assert!(outcome.complete);
}

#[test]
fn planted_faults_are_found() {
    let restart = |case: Case| Case { restarts: 1, ..case };
    let cases = [
        leases(InjectedFault::LeaseFromReceipt),
        leases(InjectedFault::HalfIsQuorum),
        Case { time_steps: 1, ..restart(leases(InjectedFault::NoWaitAfterStart)) },
        leases(InjectedFault::OtherGrantsNotReported),
        Case { time_steps: 0, lease_requests: vec![2, 1, 0], ..leases(InjectedFault::RangeNotExtended) },
        Case { time_steps: 1, step_micros: 120, ..restart(votes(InjectedFault::VoteNotPersisted)) },
    ];
    for case in cases {
        let outcome = search(&case, MOST);
        println!(
            "{:?}: {} states, {:?}",
            case.fault,
            outcome.states,
            outcome.counterexample.as_ref().map(|b| &b.1)
        );
        assert!(outcome.counterexample.is_some(), "{:?} was not found", case.fault);
    }
    // A clock that drifts by more than is allowed is outside the promise, and the search shows it.
    let out = Case {
        clock_rates_ppm: vec![-300_000, 300_000, 300_000],
        drift_ppm: 10_000,
        ..leases(InjectedFault::None)
    };
    assert!(search(&out, MOST).counterexample.is_some());
}
