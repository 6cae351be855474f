//! Exhaustive searches of small cases, and of the same protocol with injected faults.

use violetward_agreement::search::{search, Case, Outcome};
use violetward_agreement::InjectedFault;

/// The first version is in use, and one gateway has just learned that the second is committed. Leases on both
/// are requested while this spreads.
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

/// Two gateways propose different contents concurrently; time does not advance.
fn votes(fault: InjectedFault) -> Case {
    Case {
        proposers: vec![1, 2],
        informed: vec![],
        lease_requests: vec![0; 3],
        time_steps: 0,
        ..leases(fault)
    }
}

const MAX_STATES: usize = 4_000_000;

fn assert_holds(case: &Case, what: &str) -> Outcome {
    let outcome = search(case, MAX_STATES);
    println!(
        "{what}: {} states, complete {}, states_in_full_use {:?}",
        outcome.states, outcome.complete, outcome.states_in_full_use
    );
    assert!(outcome.counterexample.is_none(), "{what}: {:#?}", outcome.counterexample);
    outcome
}

#[test]
fn each_range_contains_versions_that_others_apply_in_full() {
    // The extremes of the allowed drift: the holder's clock is slow, those of its voters are fast. This
    // includes the states that clocks of equal rates lead to; searched alone, those are 546,681 and are all
    // visited as well.
    let case = Case {
        clock_rates_ppm: vec![-100_000, 100_000, 100_000],
        drift_ppm: 100_000,
        ..leases(InjectedFault::None)
    };
    let outcome = assert_holds(&case, "drift");
    assert!(outcome.complete, "not all states were visited");
    assert!(
        outcome.states_in_full_use.0 > 0 && outcome.states_in_full_use.1 > 0,
        "no state applies version 1, or none a later one, in full"
    );
}

#[test]
fn property_holds_when_the_last_holder_renews_its_lease() {
    let case = Case {
        lease_requests: vec![2, 1, 0],
        time_steps: 1,
        step_micros: 120,
        ..leases(InjectedFault::None)
    };
    let outcome = assert_holds(&case, "renewal");
    assert!(outcome.complete && outcome.states_in_full_use.0 > 0 && outcome.states_in_full_use.1 > 0);
}

#[test]
fn property_holds_after_a_restart() {
    let outcome =
        assert_holds(&Case { restarts: 1, time_steps: 2, ..leases(InjectedFault::None) }, "restart");
    assert!(outcome.complete && outcome.states_in_full_use.0 > 0 && outcome.states_in_full_use.1 > 0);
}

#[test]
fn each_number_has_one_version_with_two_proposers() {
    assert_holds(&votes(InjectedFault::None), "two proposers");
    // A restarted voter does not vote before its wait is over.
    let restart = Case { restarts: 1, time_steps: 1, step_micros: 120, ..votes(InjectedFault::None) };
    let outcome = assert_holds(&restart, "two proposers and a restart");
    assert!(outcome.complete);
}

#[test]
fn injected_faults_are_found() {
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
        let outcome = search(&case, MAX_STATES);
        println!(
            "{:?}: {} states, {:?}",
            case.fault,
            outcome.states,
            outcome.counterexample.as_ref().map(|b| &b.1)
        );
        assert!(outcome.counterexample.is_some(), "{:?} was not found", case.fault);
    }
    // Clocks that drift by more than the allowed rate break the property, and the search finds it.
    let excessive_drift = Case {
        clock_rates_ppm: vec![-300_000, 300_000, 300_000],
        drift_ppm: 10_000,
        ..leases(InjectedFault::None)
    };
    assert!(search(&excessive_drift, MAX_STATES).counterexample.is_some());
}
