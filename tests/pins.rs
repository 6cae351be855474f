//! Requests pinned to the engine that holds their session.

mod common;
use common::*;
use violetward::*;

fn pin(engine: u64) -> Pin {
    Pin { engine: EngineId(engine), uses_reserve: false, finishing: false }
}

fn request_pinned(gateway: &mut TestGateway, id: u64, pin: Pin) -> Vec<Action> {
    gateway.request_with(id, |r| r.pin = Some(pin))
}

#[test]
fn pinned_request_goes_to_its_engine_or_is_refused() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 3);
    for id in 0..6 {
        assert_eq!(dispatches(&request_pinned(&mut gateway, id, pin(2))), [(id, 2)]);
        gateway.answer(id, Outcome::Ok);
    }
    assert!(is_refused(&request_pinned(&mut gateway, 10, pin(9)), 10), "engine 9 is not listed");
    // The engine is overloaded while others are idle: requests are refused in time, none is moved.
    for id in 20..60 {
        request_pinned(&mut gateway, id, pin(2));
    }
    gateway.advance(7 * SECOND);
    let actions = gateway.actions();
    assert!(dispatches(&actions).iter().filter(|d| d.0 >= 20).all(|d| d.1 == 2));
    assert!(actions.iter().any(|action| matches!(action, Action::Refuse { .. })));
}

#[test]
fn pinned_request_is_retried_only_if_it_did_not_run_and_only_on_its_engine() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
        request_pinned(&mut gateway, 1, pin(1));
        let actions = gateway.answer(1, outcome);
        assert!(
            is_failed(&actions, 1) && dispatches(&actions).is_empty(),
            "{outcome:?}: must fail and not be retried"
        );
    }
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    request_pinned(&mut gateway, 1, pin(1));
    let actions = gateway.answer(1, Outcome::Full);
    assert!(dispatches(&actions).iter().all(|d| d.1 == 1));
}

#[test]
fn draining_engine_accepts_only_pins_that_may_finish_there() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    let entries = vec![EngineEntry { listed: Listed::Draining, ..engine_entry(1) }];
    gateway.handle(Event::Engines { kind: ListKind::Changes, entries });
    assert!(
        is_refused(&request_pinned(&mut gateway, 1, pin(1)), 1),
        "the pin does not allow draining engines"
    );
    let finishing = Pin { finishing: true, ..pin(1) };
    assert_eq!(dispatches(&request_pinned(&mut gateway, 2, finishing)), [(2, 1)]);
    assert_eq!(dispatches(&gateway.request(3)), [(3, 2)], "a request without a pin goes to the other engine");
    let entries = vec![EngineEntry { listed: Listed::Removed, ..engine_entry(1) }];
    gateway.handle(Event::Engines { kind: ListKind::Changes, entries });
    assert!(is_refused(&request_pinned(&mut gateway, 4, finishing), 4), "the engine is removed");
}

#[test]
fn request_that_ends_a_transaction_is_admitted_while_others_are_refused() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    for id in 100..400 {
        gateway.request_with(id, |r| r.cost = SECOND);
    }
    assert!(is_refused(&request_pinned(&mut gateway, 1, pin(1)), 1), "the engine's debt is at its limit");
    let reserve = Pin { uses_reserve: true, ..pin(1) };
    assert!(!is_refused(&gateway.request_with(2, |r| (r.pin, r.cost) = (Some(reserve), 1000)), 2));
}
