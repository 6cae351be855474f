//! The ledger and the order in which peers make room, on drawn histories.

use std::time::Duration;

use proptest::prelude::*;
use violetward_overload::{shed_order, Charge, Holding, MemoryLedger, PeerState};

/// What happens to the charges in a history.
#[derive(Debug, Clone)]
enum Step {
    Open(usize),
    Set(usize, usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..Holding::ALL.len()).prop_map(Step::Open),
        (any::<usize>(), 0..100_000usize).prop_map(|(which, bytes)| Step::Set(which, bytes)),
        any::<usize>().prop_map(Step::Close),
    ]
}

fn peer() -> impl Strategy<Value = PeerState> {
    (any::<bool>(), 0..3usize, 0..4usize, 0..4u64).prop_map(
        |(has_sent_request, open_requests, bytes, for_s)| PeerState {
            has_sent_request,
            open_requests,
            unfinished_bytes: bytes,
            unfinished_for: Duration::from_secs(for_s),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against memory that is counted twice, or not given back.
    #[test]
    fn the_ledger_is_the_sum_of_the_open_charges(steps in proptest::collection::vec(step(), 0..60)) {
        let ledger = MemoryLedger::new(50_000);
        let mut open: Vec<(Holding, Charge)> = Vec::new();
        for step in steps {
            match step {
                Step::Open(holding) => {
                    let holding = Holding::ALL[holding];
                    open.push((holding, ledger.charge(holding)));
                }
                Step::Set(which, bytes) if !open.is_empty() => open[which % open.len()].1.set(bytes),
                Step::Close(which) if !open.is_empty() => drop(open.swap_remove(which % open.len())),
                _ => {}
            }
            for holding in Holding::ALL {
                let charges = open.iter().filter(|(of, _)| *of == holding);
                let sum: usize = charges.map(|(_, charge)| charge.bytes()).sum();
                prop_assert_eq!(ledger.used_for(holding), sum);
            }
            prop_assert_eq!(ledger.excess(), ledger.used().saturating_sub(ledger.limit()));
        }
        drop(open);
        prop_assert_eq!(ledger.used(), 0);
    }

    /// Guards against room that is made at the cost of peers that behave.
    #[test]
    fn peers_that_behave_are_shed_last(first in peer(), second in peer()) {
        if first.open_requests == 0 && second.open_requests > 0 {
            prop_assert!(shed_order(&first) < shed_order(&second));
        }
        let idle = first.open_requests == 0 && second.open_requests == 0;
        if idle && !first.has_sent_request && second.has_sent_request {
            prop_assert!(shed_order(&first) < shed_order(&second));
        }
        let alike = first.open_requests.min(1) == second.open_requests.min(1)
            && first.has_sent_request == second.has_sent_request;
        if alike && first.unfinished_bytes > second.unfinished_bytes {
            prop_assert!(shed_order(&first) < shed_order(&second));
        }
    }
}
