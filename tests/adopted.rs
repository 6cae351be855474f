//! Requests that another gateway took and this one goes on with.

mod common;
use common::*;
use violetward::*;

const UNSURE: [Outcome; 5] =
    [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
const UNSEEN: [Outcome; 3] = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot];

fn gateway_with(effect: Effect, engines: u64) -> TestGateway {
    TestGateway::new(settings(class(effect)), (1..=engines).map(engine_entry).collect())
}

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
        marked: false,
        pin: None,
        due: gateway.now + 5 * SECOND,
    }
}

/// Adopts a request with that many attempts spent, the last one out on `engine` for a second, if one is named.
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
    let out = engine.map(|engine| AdoptedAttempt { engine: EngineId(engine), sent, until });
    let mut request = request(gateway, id);
    change(&mut request);
    gateway.handle(Event::Adopted { request, attempts, out })
}

fn answer(gateway: &mut TestGateway, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
    let (ok, took) = (outcome == Outcome::Ok, 20 * SECOND);
    gateway.handle(Event::Answer(Answer {
        id: RequestId(id),
        attempt,
        outcome,
        took,
        complete: ok || outcome == Outcome::Declined,
        work: ok.then_some(100_000),
        memory_mb: None,
        load: Load::default(),
    }))
}

fn key(request: &mut Request) {
    request.key = Some(OrderKey("a".into()));
}

#[test]
fn an_adopted_attempt_holds_its_threads_and_debt_until_it_is_answered() {
    let mut gateway = gateway_with(Effect::Repeatable, 1);
    // Six threads fit: 1.7 for each of four cores.
    for id in 0..6 {
        assert!(dispatches(&adopt(&mut gateway, id, 1, Some(1))).is_empty(), "it is out already");
    }
    let actions = gateway.request(50);
    assert!(dispatches(&actions).is_empty() && !is_refused(&actions, 50), "it waits");
    assert!(dispatches(&answer(&mut gateway, 0, 7, Outcome::Ok)).is_empty(), "no such attempt");
    assert_eq!(dispatches(&answer(&mut gateway, 0, 0, Outcome::Ok)), [(50, 1)]);
    assert!(dispatches(&answer(&mut gateway, 0, 0, Outcome::Ok)).is_empty(), "ended once");
    // Long work that is out turns away what could no longer be done in time.
    for id in 10..40 {
        adopt_with(&mut gateway, id, 1, Some(1), |r| r.cost = SECOND);
    }
    assert!(is_refused(&gateway.request(60), 60));
}

#[test]
fn what_is_unsafe_and_was_sent_elsewhere_is_never_sent_again_nor_refused() {
    let pin = Pin { engine: EngineId(1), reserve: false, finishing: false };
    for outcome in UNSURE.into_iter().chain(UNSEEN) {
        for attempts in 1..=2 {
            for pin in [None, Some(pin)] {
                let mut gateway =
                    gateway_with(if pin.is_some() { Effect::Repeatable } else { Effect::Once }, 2);
                adopt_with(&mut gateway, 1, attempts, Some(1), |r| r.pin = pin);
                let actions = answer(&mut gateway, 1, attempts - 1, outcome);
                assert!(
                    is_failed(&actions, 1) && dispatches(&actions).is_empty(),
                    "{outcome:?} {attempts} {pin:?}"
                );
            }
        }
    }
    let mut gateway = gateway_with(Effect::Once, 2);
    assert_eq!(dispatches(&adopt(&mut gateway, 1, 0, None)).len(), 1, "none was spent: it is sent like any");
    assert!(is_failed(&adopt(&mut gateway, 2, 1, None), 2), "one was spent of which nothing is known");
}

#[test]
fn a_keyed_one_goes_out_again_only_while_its_first_sending_is_known_and_within_the_window() {
    let far = EngineEntry { zone: ZoneId(1), cell: CellId(1), ..engine_entry(2) };
    let again = |scope, attempts, engine, wait: Micros| {
        let mut gateway = TestGateway::new(settings(class(keyed(scope))), vec![engine_entry(1), far.clone()]);
        let mut actions = adopt_with(&mut gateway, 1, attempts, engine, |r| r.due += 60 * SECOND);
        gateway.now += wait;
        if engine.is_some() {
            actions = answer(&mut gateway, 1, attempts - 1, Outcome::Reset);
        }
        assert_eq!(dispatches(&actions).is_empty(), is_failed(&actions, 1));
        dispatches(&actions).first().map(|s| s.1)
    };
    assert_eq!(again(KeyScope::Zone, 1, Some(1), 0), Some(1));
    assert_eq!(again(KeyScope::Zone, 1, Some(2), 0), Some(2));
    assert_eq!(again(KeyScope::All, 1, Some(1), 18 * SECOND), Some(2));
    // It was sent a second before it was adopted.
    assert_eq!(again(KeyScope::All, 1, Some(1), 19 * SECOND), None);
    assert_eq!(again(KeyScope::All, 2, Some(1), 0), None, "nobody knows when the first one was sent");
    assert_eq!(again(KeyScope::All, 1, None, 0), None, "nor where");
}

#[test]
fn an_adopted_attempt_on_an_engine_that_is_unknown_or_gone_counts_as_broken() {
    let left = |effect| {
        let mut gateway = gateway_with(effect, 2);
        adopt(&mut gateway, 50, 1, Some(2));
        let gone = EngineEntry { listed: Listed::Removed, ..engine_entry(2) };
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries: vec![gone] });
        gateway
    };
    for engine in [2, 9] {
        assert!(is_failed(&adopt(&mut left(Effect::Once), 1, 1, Some(engine)), 1));
        let mut safe = left(Effect::Repeatable);
        assert_eq!(dispatches(&adopt(&mut safe, 1, 1, Some(engine))), [(1, 1)]);
        assert!(dispatches(&answer(&mut safe, 1, 0, Outcome::Reset)).is_empty(), "the host has let go of it");
        let drains = EngineEntry { listed: Listed::Draining, ..engine_entry(2) };
        let mut drained = TestGateway::new(settings(class(Effect::Once)), vec![engine_entry(1), drains]);
        assert_eq!(is_failed(&adopt(&mut drained, 1, 1, Some(engine)), 1), engine == 9, "it ends its work");
    }
}

#[test]
fn what_others_spent_counts_toward_the_cap_and_only_what_follows_toward_the_budget() {
    let mut all = gateway_with(Effect::Repeatable, 4);
    adopt(&mut all, 1, 2, Some(1));
    assert_eq!(dispatches(&answer(&mut all, 1, 1, Outcome::Reset)).len(), 1, "the third of three");
    assert!(is_refused(&answer(&mut all, 1, 2, Outcome::Reset), 1));
    assert!(is_refused(&adopt(&mut all, 2, 3, None), 2));

    let mut s = settings(class(Effect::Repeatable));
    s.budget = Some(AttemptBudget { free: 2.0, per_request: 1.0, window: 5 * SECOND });
    let mut gateway = TestGateway::new(s, (1..9).map(engine_entry).collect());
    // Further attempts of others are paid, and what others took earns none here.
    for id in 0..6 {
        adopt(&mut gateway, id, 2, Some(1));
    }
    let further = (0..6).map(|id| dispatches(&answer(&mut gateway, id, 1, Outcome::Reset)).len());
    assert_eq!(further.sum::<usize>(), 2);
}

#[test]
fn what_was_counted_in_its_tenants_quota_asks_for_no_token_again() {
    let admitted = |quota: f64, adopted: bool| {
        let mut s = settings(class(Effect::Repeatable));
        s.tenants = vec![Tenant { quota_per_s: quota }];
        let mut gateway = TestGateway::new(s, vec![engine_entry(1)]);
        let one = |id| {
            let actions = if adopted { adopt(&mut gateway, id, 0, None) } else { gateway.request(id) };
            usize::from(!is_refused(&actions, id))
        };
        (0..200).map(one).sum::<usize>()
    };
    assert!(admitted(1.0, false) < admitted(1e6, false), "beyond the quota buckets are small");
    assert_eq!(admitted(1.0, true), admitted(1e6, true));
}

#[test]
fn a_key_keeps_its_order_across_an_adoption() {
    let mut ordered = class(keyed(KeyScope::All));
    ordered.in_order = true;
    let mut s = settings(ordered);
    s.key_rest = SECOND / 2;
    let mut gateway = TestGateway::new(s, vec![engine_entry(1)]);
    // What is out goes first, what waited elsewhere next, in the order of adoption; then what came here.
    for id in 100..108 {
        adopt(&mut gateway, id, 1, Some(1));
    }
    let actions = [gateway.request_with(1, key), gateway.request(5)].concat();
    assert!(
        dispatches(&actions).is_empty() && !is_refused(&actions, 1) && !is_refused(&actions, 5),
        "they stand in line"
    );
    assert!(dispatches(&adopt_with(&mut gateway, 2, 1, Some(1), key)).is_empty());
    assert!(dispatches(&gateway.advance(SECOND)).is_empty());
    let freed: Vec<_> =
        (100..108).flat_map(|id| dispatches(&answer(&mut gateway, id, 0, Outcome::Ok))).collect();
    assert_eq!(freed, [(5, 1)], "while one of the key is out the next one waits, and holds nobody up");
    assert!(dispatches(&adopt_with(&mut gateway, 3, 0, None, key)).is_empty());
    assert!(dispatches(&adopt_with(&mut gateway, 4, 0, None, key)).is_empty());
    assert!(
        dispatches(&answer(&mut gateway, 2, 0, Outcome::Ok)).is_empty(),
        "what the key rested for is not known"
    );
    let mut order = Vec::new();
    let mut next = dispatches(&gateway.advance(SECOND));
    while let Some((id, _)) = next.pop() {
        order.push(id);
        next = dispatches(&gateway.answer(id, Outcome::Ok));
    }
    assert_eq!(order, [3, 4, 1]);
}

#[test]
fn a_death_elsewhere_condemns_no_engine_and_teaches_no_slowness() {
    let mut gateway = gateway_with(Effect::Repeatable, 3);
    gateway.now += 60 * SECOND;
    let (long_ago, until) = (gateway.now - 60 * SECOND, gateway.now + 60 * SECOND);
    let out = AdoptedAttempt { engine: EngineId(1), sent: long_ago, until };
    let request = Request { due: until, ..request(&gateway, 1) };
    gateway.handle(Event::Adopted { request, attempts: 1, out: Some(out) });
    let condemned = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Log(_)));
    assert!(!condemned(&gateway.advance(SECOND / 2)), "this gateway waits for it since now");
    assert!(condemned(&gateway.advance(10 * SECOND)));

    let at_once = |adopted: u64| {
        let mut gateway =
            TestGateway::new(settings(class(Effect::Repeatable)), vec![engine_entry(1), engine_entry(2)]);
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
    assert_eq!(at_once(0), at_once(40));
}

#[test]
fn an_adopted_attempt_draws_no_turn_of_a_cold_engine() {
    let sends = |adopted: u64| {
        let mut s = settings(class(Effect::Repeatable));
        s.gateways = 4;
        let mut gateway = TestGateway::new(s, vec![EngineEntry { came_up: 99 * SECOND, ..engine_entry(1) }]);
        for id in 1000..1000 + adopted {
            adopt(&mut gateway, id, 1, Some(1));
            answer(&mut gateway, id, 0, Outcome::Declined);
        }
        // What they owe turns none of these away.
        let pin = Some(Pin { engine: EngineId(1), reserve: true, finishing: false });
        let one = |id| {
            let out = dispatches(&gateway.request_with(id, |r| r.pin = pin)).len();
            gateway.now += 2_000;
            out + dispatches(&gateway.answer(id, Outcome::Ok)).len()
        };
        (0..200).map(one).sum::<usize>()
    };
    assert!(sends(0) > 0);
    assert_eq!(sends(0), sends(20));
}

#[test]
fn absurd_adoptions_do_no_harm() {
    let mut gateway = gateway_with(Effect::Once, 1);
    let odd = |gateway: &mut TestGateway, id, class, attempts, out| {
        let request = Request { class: ClassId(class), ..request(gateway, id) };
        gateway.handle(Event::Adopted { request, attempts, out })
    };
    let ever = AdoptedAttempt { engine: EngineId(1), sent: Micros::MAX, until: Micros::MAX };
    assert!(odd(&mut gateway, 1, 7, 0, None).is_empty(), "an unknown class");
    assert!(
        dispatches(&odd(&mut gateway, 2, 0, 0, Some(ever))).is_empty(),
        "an attempt that was not counted"
    );
    assert!(is_failed(&answer(&mut gateway, 2, 0, Outcome::Reset), 2));
    assert!(is_failed(&odd(&mut gateway, 3, 0, u32::MAX, None), 3));
    odd(&mut gateway, 4, 0, u32::MAX, Some(ever));
    assert!(odd(&mut gateway, 4, 0, 1, None).is_empty(), "a repeated event is ignored");
    assert!(is_failed(&answer(&mut gateway, 4, u32::MAX - 2, Outcome::Full), 4));
    let mut early = TestGateway::new(settings(class(keyed(KeyScope::All))), vec![engine_entry(1)]);
    let request = Request { due: Micros::MAX, ..request(&early, 1) };
    early.handle(Event::Adopted { request, attempts: 1, out: Some(ever) });
    early.now += 21 * SECOND;
    assert!(is_failed(&answer(&mut early, 1, 0, Outcome::Reset), 1), "its window began by now at the latest");
    // An attempt whose end never comes is forgotten in time, its threads with it.
    for id in 10..20 {
        odd(&mut gateway, id, 0, 1, Some(ever));
    }
    gateway.advance(70 * SECOND);
    assert_eq!((100..104).flat_map(|id| dispatches(&gateway.request(id))).count(), 4);
}
