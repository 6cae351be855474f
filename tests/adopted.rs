//! Requests that this gateway takes over from another one.

mod common;
use common::*;
use violetward::*;

/// Outcomes after which the attempt may have run.
const MAY_HAVE_RUN: [Outcome; 5] =
    [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
/// Outcomes that show of an attempt of this gateway that it has not run.
const HAS_NOT_RUN: [Outcome; 3] = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot];

fn keyed(scope: KeyScope) -> Effect {
    Effect::Keyed { scope, window: 20 * SECOND }
}

fn request(gateway: &TestGateway, id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: TenantId(0),
        cost: 100_000,
        memory_mb: 64.0,
        group: GroupId(id % 3),
        key: None,
        is_retry: false,
        has_dedup_key: false,
        pin: None,
        deadline: gateway.now + 5 * SECOND,
    }
}

/// Adopts a request after `attempts` attempts. If `engine` is given, the last of them has been in flight
/// there for 1 s.
fn adopt(gateway: &mut TestGateway, id: u64, attempts: u32, engine: Option<u64>) -> Vec<Action> {
    adopt_with(gateway, id, attempts, engine, |_| {})
}

fn adopt_with(
    gateway: &mut TestGateway,
    id: u64,
    attempts: u32,
    engine: Option<u64>,
    change: impl FnOnce(&mut Request),
) -> Vec<Action> {
    let (sent, until) = (gateway.now - SECOND, gateway.now + 3 * SECOND);
    let in_flight = engine.map(|engine| AdoptedAttempt { engine: EngineId(engine), sent, until });
    let mut request = request(gateway, id);
    change(&mut request);
    gateway.handle(Event::Adopted { request, attempts, in_flight })
}

/// Ends an attempt, given by its number, 20 s after it was sent.
fn answer(gateway: &mut TestGateway, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
    let ok = outcome == Outcome::Ok;
    gateway.handle(Event::Answer(Answer {
        id: RequestId(id),
        attempt,
        outcome,
        took: 20 * SECOND,
        complete: ok || outcome == Outcome::Declined,
        work: ok.then_some(100_000),
        memory_mb: None,
        load: Load::default(),
    }))
}

fn with_key(request: &mut Request) {
    request.key = Some(OrderKey("a".into()));
}

#[test]
fn adopted_attempt_holds_its_threads_and_debt_until_answered() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    // Six threads fit: 1.7 for each of four cores.
    for id in 0..6 {
        assert!(dispatches(&adopt(&mut gateway, id, 1, Some(1))).is_empty(), "it is in flight already");
    }
    let actions = gateway.request(50);
    assert!(dispatches(&actions).is_empty() && !is_refused(&actions, 50), "it is queued");
    assert!(dispatches(&answer(&mut gateway, 0, 7, Outcome::Ok)).is_empty(), "there is no such attempt");
    assert_eq!(dispatches(&answer(&mut gateway, 0, 0, Outcome::Ok)), [(50, 1)]);
    assert!(dispatches(&answer(&mut gateway, 0, 0, Outcome::Ok)).is_empty(), "it has ended already");
    // With long work in flight, a request that could not end in time is refused.
    for id in 10..40 {
        adopt_with(&mut gateway, id, 1, Some(1), |r| r.cost = SECOND);
    }
    assert!(is_refused(&gateway.request(60), 60));
}

/// No outcome proves here that an adopted attempt has not run: the other gateway may have written it to the
/// connection.
#[test]
fn adopted_request_that_must_not_run_twice_fails_after_any_outcome() {
    let session_pin = Pin { engine: EngineId(1), uses_reserve: false, finishing: false };
    for outcome in MAY_HAVE_RUN.into_iter().chain(HAS_NOT_RUN) {
        for attempts in 1..=2 {
            for pin in [None, Some(session_pin)] {
                let effect = if pin.is_some() { Effect::Repeatable } else { Effect::Once };
                let mut gateway = TestGateway::with_engines(effect, 2);
                adopt_with(&mut gateway, 1, attempts, Some(1), |r| r.pin = pin);
                let actions = answer(&mut gateway, 1, attempts - 1, outcome);
                assert!(
                    is_failed(&actions, 1) && dispatches(&actions).is_empty(),
                    "{outcome:?} {attempts} {pin:?}"
                );
            }
        }
    }
    let mut gateway = TestGateway::with_engines(Effect::Once, 2);
    assert_eq!(dispatches(&adopt(&mut gateway, 1, 0, None)).len(), 1, "no attempt was made before");
    assert!(is_failed(&adopt(&mut gateway, 2, 1, None), 2), "the attempt made before may have run");
}

#[test]
fn keyed_request_is_retried_only_if_its_first_attempt_is_known_and_within_the_window() {
    let far = EngineEntry { zone: ZoneId(1), cell: CellId(1), ..engine_entry(2) };
    // The engine of the retry, if there is one, when the adopted attempt breaks after `wait`.
    let retry_engine = |scope, attempts, engine, wait: Micros| {
        let mut gateway = TestGateway::new(settings(class(keyed(scope))), vec![engine_entry(1), far.clone()]);
        let mut actions = adopt_with(&mut gateway, 1, attempts, engine, |r| r.deadline += 60 * SECOND);
        gateway.now += wait;
        if engine.is_some() {
            actions = answer(&mut gateway, 1, attempts - 1, Outcome::Reset);
        }
        assert_eq!(dispatches(&actions).is_empty(), is_failed(&actions, 1));
        dispatches(&actions).first().map(|d| d.1)
    };
    assert_eq!(retry_engine(KeyScope::Zone, 1, Some(1), 0), Some(1));
    assert_eq!(retry_engine(KeyScope::Zone, 1, Some(2), 0), Some(2));
    assert_eq!(retry_engine(KeyScope::All, 1, Some(1), 18 * SECOND), Some(2));
    // The window of 20 s began 1 s before the adoption.
    assert_eq!(retry_engine(KeyScope::All, 1, Some(1), 19 * SECOND), None);
    assert_eq!(retry_engine(KeyScope::All, 2, Some(1), 0), None, "the time of the first attempt is unknown");
    assert_eq!(retry_engine(KeyScope::All, 1, None, 0), None, "its engine is unknown too");
}

#[test]
fn adopted_attempt_on_an_unknown_or_removed_engine_counts_as_broken() {
    let gateway_without_engine_2 = |effect| {
        let mut gateway = TestGateway::with_engines(effect, 2);
        adopt(&mut gateway, 50, 1, Some(2));
        let removed = EngineEntry { listed: Listed::Removed, ..engine_entry(2) };
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries: vec![removed] });
        gateway
    };
    // Engine 2 was removed, engine 9 was never listed.
    for engine in [2, 9] {
        assert!(is_failed(&adopt(&mut gateway_without_engine_2(Effect::Once), 1, 1, Some(engine)), 1));
        let mut repeatable = gateway_without_engine_2(Effect::Repeatable);
        assert_eq!(dispatches(&adopt(&mut repeatable, 1, 1, Some(engine))), [(1, 1)]);
        let actions = answer(&mut repeatable, 1, 0, Outcome::Reset);
        assert!(dispatches(&actions).is_empty(), "the adopted attempt has ended already");
        let draining = EngineEntry { listed: Listed::Draining, ..engine_entry(2) };
        let mut gateway = TestGateway::new(settings(class(Effect::Once)), vec![engine_entry(1), draining]);
        let failed = is_failed(&adopt(&mut gateway, 1, 1, Some(engine)), 1);
        assert_eq!(failed, engine == 9, "a draining engine completes its work");
    }
}

#[test]
fn attempts_of_other_gateways_count_against_the_cap_and_not_against_the_budget() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 4);
    adopt(&mut gateway, 1, 2, Some(1));
    assert_eq!(dispatches(&answer(&mut gateway, 1, 1, Outcome::Reset)).len(), 1, "the third of three");
    assert!(is_refused(&answer(&mut gateway, 1, 2, Outcome::Reset), 1));
    assert!(is_refused(&adopt(&mut gateway, 2, 3, None), 2));

    let mut settings = settings(class(Effect::Repeatable));
    settings.budget = Some(AttemptBudget { free: 2.0, per_request: 1.0, window: 5 * SECOND });
    let mut gateway = TestGateway::new(settings, (1..9).map(engine_entry).collect());
    // The budget is neither charged for attempts of other gateways nor credited for requests that they
    // accepted.
    for id in 0..6 {
        adopt(&mut gateway, id, 2, Some(1));
    }
    let retries = (0..6).map(|id| dispatches(&answer(&mut gateway, id, 1, Outcome::Reset)).len());
    assert_eq!(retries.sum::<usize>(), 2);
}

#[test]
fn adopted_request_is_not_counted_against_the_quota_of_its_tenant() {
    let admitted = |quota_per_s: f64, adopted: bool| {
        let mut settings = settings(class(Effect::Repeatable));
        settings.tenants = vec![Tenant { quota_per_s }];
        let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
        let is_admitted = |id: &u64| {
            let actions = if adopted { adopt(&mut gateway, *id, 0, None) } else { gateway.request(*id) };
            !is_refused(&actions, *id)
        };
        (0..200).filter(is_admitted).count()
    };
    assert!(admitted(1.0, false) < admitted(1e6, false), "requests beyond the quota find smaller buckets");
    assert_eq!(admitted(1.0, true), admitted(1e6, true));
}

#[test]
fn order_of_a_key_holds_across_an_adoption() {
    let mut ordered = class(keyed(KeyScope::All));
    ordered.in_order = true;
    let mut settings = settings(ordered);
    settings.key_cooldown = SECOND / 2;
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    // The order is: an adopted attempt in flight, requests adopted while waiting in the order of adoption,
    // then requests of this gateway's clients.
    for id in 100..108 {
        adopt(&mut gateway, id, 1, Some(1));
    }
    let actions = [gateway.request_with(1, with_key), gateway.request(5)].concat();
    assert!(
        dispatches(&actions).is_empty() && !is_refused(&actions, 1) && !is_refused(&actions, 5),
        "both are queued"
    );
    assert!(dispatches(&adopt_with(&mut gateway, 2, 1, Some(1), with_key)).is_empty());
    assert!(dispatches(&gateway.advance(SECOND)).is_empty());
    let after_free_threads: Vec<_> =
        (100..108).flat_map(|id| dispatches(&answer(&mut gateway, id, 0, Outcome::Ok))).collect();
    assert_eq!(after_free_threads, [(5, 1)], "a request that waits for its key does not block others");
    assert!(dispatches(&adopt_with(&mut gateway, 3, 0, None, with_key)).is_empty());
    assert!(dispatches(&adopt_with(&mut gateway, 4, 0, None, with_key)).is_empty());
    let actions = answer(&mut gateway, 2, 0, Outcome::Ok);
    assert!(
        dispatches(&actions).is_empty(),
        "a cooldown at the other gateway is unknown, so one starts here"
    );
    let mut order = Vec::new();
    let mut next = dispatches(&gateway.advance(SECOND));
    while let Some((id, _)) = next.pop() {
        order.push(id);
        next = dispatches(&gateway.answer(id, Outcome::Ok));
    }
    assert_eq!(order, [3, 4, 1]);
}

/// The time that an adopted attempt was in flight for another gateway counts neither as silence of its engine
/// nor as slowness.
#[test]
fn time_before_the_adoption_does_not_count_against_the_engine() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 3);
    gateway.now += 60 * SECOND;
    let (sent, until) = (gateway.now - 60 * SECOND, gateway.now + 60 * SECOND);
    let in_flight = AdoptedAttempt { engine: EngineId(1), sent, until };
    let request = Request { deadline: until, ..request(&gateway, 1) };
    gateway.handle(Event::Adopted { request, attempts: 1, in_flight: Some(in_flight) });
    let quarantined = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Log(_)));
    assert!(!quarantined(&gateway.advance(SECOND / 2)), "this gateway has waited for 0.5 s only");
    assert!(quarantined(&gateway.advance(10 * SECOND)));

    let dispatched_at_once = |adopted: u64| {
        let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
        for id in 1000..1000 + adopted {
            adopt(&mut gateway, id, 1, Some(1 + id % 2));
            answer(&mut gateway, id, 0, Outcome::Ok);
            gateway.now += SECOND;
        }
        gateway.advance(20 * SECOND);
        gateway.request(999);
        gateway.answer(999, Outcome::Ok);
        (0..200).flat_map(|id| dispatches(&gateway.request(id))).count()
    };
    assert_eq!(dispatched_at_once(0), dispatched_at_once(40));
}

#[test]
fn adopted_attempts_do_not_use_this_gateways_share_of_a_cold_engine() {
    let dispatched = |adopted: u64| {
        let mut settings = settings(class(Effect::Repeatable));
        settings.gateways = 4;
        let cold = EngineEntry { came_up: 99 * SECOND, ..engine_entry(1) };
        let mut gateway = TestGateway::new(settings, vec![cold]);
        for id in 1000..1000 + adopted {
            adopt(&mut gateway, id, 1, Some(1));
            answer(&mut gateway, id, 0, Outcome::Declined);
        }
        // Requests with this pin are admitted whatever the debt that the adopted attempts have left.
        let pin = Some(Pin { engine: EngineId(1), uses_reserve: true, finishing: false });
        let request_and_answer = |id| {
            let first = dispatches(&gateway.request_with(id, |r| r.pin = pin)).len();
            gateway.now += 2_000;
            first + dispatches(&gateway.answer(id, Outcome::Ok)).len()
        };
        (0..200).map(request_and_answer).sum::<usize>()
    };
    assert!(dispatched(0) > 0);
    assert_eq!(dispatched(0), dispatched(20));
}

#[test]
fn adoptions_with_extreme_or_invalid_values_are_harmless() {
    let mut gateway = TestGateway::with_engines(Effect::Once, 1);
    let adopt_raw = |gateway: &mut TestGateway, id, class, attempts, in_flight| {
        let request = Request { class: ClassId(class), ..request(gateway, id) };
        gateway.handle(Event::Adopted { request, attempts, in_flight })
    };
    let endless = AdoptedAttempt { engine: EngineId(1), sent: Micros::MAX, until: Micros::MAX };
    assert!(adopt_raw(&mut gateway, 1, 7, 0, None).is_empty(), "the class is unknown");
    let actions = adopt_raw(&mut gateway, 2, 0, 0, Some(endless));
    assert!(dispatches(&actions).is_empty(), "an attempt is in flight though none is counted");
    assert!(is_failed(&answer(&mut gateway, 2, 0, Outcome::Reset), 2));
    assert!(is_failed(&adopt_raw(&mut gateway, 3, 0, u32::MAX, None), 3));
    adopt_raw(&mut gateway, 4, 0, u32::MAX, Some(endless));
    assert!(adopt_raw(&mut gateway, 4, 0, 1, None).is_empty(), "a repeated event is ignored");
    assert!(is_failed(&answer(&mut gateway, 4, u32::MAX - 2, Outcome::Full), 4));
    let mut gateway_of_keyed = TestGateway::with_engines(keyed(KeyScope::All), 1);
    let request = Request { deadline: Micros::MAX, ..request(&gateway_of_keyed, 1) };
    gateway_of_keyed.handle(Event::Adopted { request, attempts: 1, in_flight: Some(endless) });
    gateway_of_keyed.now += 21 * SECOND;
    let actions = answer(&mut gateway_of_keyed, 1, 0, Outcome::Reset);
    assert!(is_failed(&actions, 1), "its window began at the adoption at the latest");
    // Attempts whose end never comes are dropped after some time and free their threads.
    for id in 10..20 {
        adopt_raw(&mut gateway, id, 0, 1, Some(endless));
    }
    gateway.advance(70 * SECOND);
    assert_eq!((100..104).flat_map(|id| dispatches(&gateway.request(id))).count(), 4);
}
