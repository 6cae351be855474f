//! Requests that another gateway took and this one goes on with.

mod common;
use common::*;
use violetward::*;

const UNSURE: [Outcome; 5] =
    [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Broken, Outcome::Cancelled];
const UNSEEN: [Outcome; 3] = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot];

fn bed(effect: Effect, engines: u64) -> Bed {
    Bed::new(settings(class(effect)), (1..=engines).map(entry).collect())
}

fn keyed(scope: KeyScope) -> Effect {
    Effect::Keyed { scope, window: 20 * SECOND }
}

fn request(bed: &Bed, id: u64) -> Request {
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
        deadline: bed.now + 5 * SECOND,
    }
}

/// Adopts a request with that many attempts spent, the last one out on `engine` for a second, if one is named.
fn adopt(bed: &mut Bed, id: u64, attempts: u32, engine: Option<u64>) -> Vec<Action> {
    adopt_with(bed, id, attempts, engine, |_| {})
}

fn adopt_with(
    bed: &mut Bed,
    id: u64,
    attempts: u32,
    engine: Option<u64>,
    change: impl FnOnce(&mut Request),
) -> Vec<Action> {
    let (sent, until) = (bed.now - SECOND, bed.now + 3 * SECOND);
    let out = engine.map(|engine| AdoptedAttempt { engine: EngineId(engine), sent, until });
    let mut request = request(bed, id);
    change(&mut request);
    bed.feed(Event::Adopted { request, attempts, out })
}

fn answer(bed: &mut Bed, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
    let (ok, took) = (outcome == Outcome::Ok, 20 * SECOND);
    bed.feed(Event::Answer(Answer {
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
    let mut bed = bed(Effect::Repeatable, 1);
    // Six threads fit: 1.7 for each of four cores.
    for id in 0..6 {
        assert!(sent(&adopt(&mut bed, id, 1, Some(1))).is_empty(), "it is out already");
    }
    let actions = bed.ask(50);
    assert!(sent(&actions).is_empty() && !refused(&actions, 50), "it waits");
    assert!(sent(&answer(&mut bed, 0, 7, Outcome::Ok)).is_empty(), "no such attempt");
    assert_eq!(sent(&answer(&mut bed, 0, 0, Outcome::Ok)), [(50, 1)]);
    assert!(sent(&answer(&mut bed, 0, 0, Outcome::Ok)).is_empty(), "ended once");
    // Long work that is out turns away what could no longer be done in time.
    for id in 10..40 {
        adopt_with(&mut bed, id, 1, Some(1), |r| r.cost = SECOND);
    }
    assert!(refused(&bed.ask(60), 60));
}

#[test]
fn what_is_unsafe_and_was_sent_elsewhere_is_never_sent_again_nor_refused() {
    let pin = Pin { engine: EngineId(1), uses_reserve: false, finishing: false };
    for outcome in UNSURE.into_iter().chain(UNSEEN) {
        for attempts in 1..=2 {
            for pin in [None, Some(pin)] {
                let mut bed = bed(if pin.is_some() { Effect::Repeatable } else { Effect::Once }, 2);
                adopt_with(&mut bed, 1, attempts, Some(1), |r| r.pin = pin);
                let actions = answer(&mut bed, 1, attempts - 1, outcome);
                assert!(failed(&actions, 1) && sent(&actions).is_empty(), "{outcome:?} {attempts} {pin:?}");
            }
        }
    }
    let mut bed = bed(Effect::Once, 2);
    assert_eq!(sent(&adopt(&mut bed, 1, 0, None)).len(), 1, "none was spent: it is sent like any");
    assert!(failed(&adopt(&mut bed, 2, 1, None), 2), "one was spent of which nothing is known");
}

#[test]
fn a_keyed_one_goes_out_again_only_while_its_first_sending_is_known_and_within_the_window() {
    let far = EngineEntry { zone: ZoneId(1), cell: CellId(1), ..entry(2) };
    let again = |scope, attempts, engine, wait: Micros| {
        let mut bed = Bed::new(settings(class(keyed(scope))), vec![entry(1), far.clone()]);
        let mut actions = adopt_with(&mut bed, 1, attempts, engine, |r| r.deadline += 60 * SECOND);
        bed.now += wait;
        if engine.is_some() {
            actions = answer(&mut bed, 1, attempts - 1, Outcome::Reset);
        }
        assert_eq!(sent(&actions).is_empty(), failed(&actions, 1));
        sent(&actions).first().map(|s| s.1)
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
        let mut bed = bed(effect, 2);
        adopt(&mut bed, 50, 1, Some(2));
        let gone = EngineEntry { listed: Listed::Removed, ..entry(2) };
        bed.feed(Event::Engines { kind: ListKind::Changes, entries: vec![gone] });
        bed
    };
    for engine in [2, 9] {
        assert!(failed(&adopt(&mut left(Effect::Once), 1, 1, Some(engine)), 1));
        let mut safe = left(Effect::Repeatable);
        assert_eq!(sent(&adopt(&mut safe, 1, 1, Some(engine))), [(1, 1)]);
        assert!(sent(&answer(&mut safe, 1, 0, Outcome::Reset)).is_empty(), "the host has let go of it");
        let drains = EngineEntry { listed: Listed::Draining, ..entry(2) };
        let mut drained = Bed::new(settings(class(Effect::Once)), vec![entry(1), drains]);
        assert_eq!(failed(&adopt(&mut drained, 1, 1, Some(engine)), 1), engine == 9, "it ends its work");
    }
}

#[test]
fn what_others_spent_counts_toward_the_cap_and_only_what_follows_toward_the_budget() {
    let mut all = bed(Effect::Repeatable, 4);
    adopt(&mut all, 1, 2, Some(1));
    assert_eq!(sent(&answer(&mut all, 1, 1, Outcome::Reset)).len(), 1, "the third of three");
    assert!(refused(&answer(&mut all, 1, 2, Outcome::Reset), 1));
    assert!(refused(&adopt(&mut all, 2, 3, None), 2));

    let mut s = settings(class(Effect::Repeatable));
    s.budget = Some(AttemptBudget { free: 2.0, per_request: 1.0, window: 5 * SECOND });
    let mut bed = Bed::new(s, (1..9).map(entry).collect());
    // Further attempts of others are paid, and what others took earns none here.
    for id in 0..6 {
        adopt(&mut bed, id, 2, Some(1));
    }
    let further = (0..6).map(|id| sent(&answer(&mut bed, id, 1, Outcome::Reset)).len());
    assert_eq!(further.sum::<usize>(), 2);
}

#[test]
fn what_was_counted_in_its_tenants_quota_asks_for_no_token_again() {
    let admitted = |quota: f64, adopted: bool| {
        let mut s = settings(class(Effect::Repeatable));
        s.tenants = vec![Tenant { quota_per_s: quota }];
        let mut bed = Bed::new(s, vec![entry(1)]);
        let one = |id| {
            let actions = if adopted { adopt(&mut bed, id, 0, None) } else { bed.ask(id) };
            usize::from(!refused(&actions, id))
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
    s.key_cooldown = SECOND / 2;
    let mut bed = Bed::new(s, vec![entry(1)]);
    // What is out goes first, what waited elsewhere next, in the order of adoption; then what came here.
    for id in 100..108 {
        adopt(&mut bed, id, 1, Some(1));
    }
    let actions = [bed.ask_with(1, key), bed.ask(5)].concat();
    assert!(
        sent(&actions).is_empty() && !refused(&actions, 1) && !refused(&actions, 5),
        "they stand in line"
    );
    assert!(sent(&adopt_with(&mut bed, 2, 1, Some(1), key)).is_empty());
    assert!(sent(&bed.pass(SECOND)).is_empty());
    let freed: Vec<_> = (100..108).flat_map(|id| sent(&answer(&mut bed, id, 0, Outcome::Ok))).collect();
    assert_eq!(freed, [(5, 1)], "while one of the key is out the next one waits, and holds nobody up");
    assert!(sent(&adopt_with(&mut bed, 3, 0, None, key)).is_empty());
    assert!(sent(&adopt_with(&mut bed, 4, 0, None, key)).is_empty());
    assert!(sent(&answer(&mut bed, 2, 0, Outcome::Ok)).is_empty(), "what the key rested for is not known");
    let mut order = Vec::new();
    let mut next = sent(&bed.pass(SECOND));
    while let Some((id, _)) = next.pop() {
        order.push(id);
        next = sent(&bed.answer(id, Outcome::Ok));
    }
    assert_eq!(order, [3, 4, 1]);
}

#[test]
fn a_death_elsewhere_condemns_no_engine_and_teaches_no_slowness() {
    let mut bed = bed(Effect::Repeatable, 3);
    bed.now += 60 * SECOND;
    let (long_ago, until) = (bed.now - 60 * SECOND, bed.now + 60 * SECOND);
    let out = AdoptedAttempt { engine: EngineId(1), sent: long_ago, until };
    let request = Request { deadline: until, ..request(&bed, 1) };
    bed.feed(Event::Adopted { request, attempts: 1, out: Some(out) });
    let condemned = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Log(_)));
    assert!(!condemned(&bed.pass(SECOND / 2)), "this gateway waits for it since now");
    assert!(condemned(&bed.pass(10 * SECOND)));

    let at_once = |adopted: u64| {
        let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
        for id in 1000..1000 + adopted {
            adopt(&mut bed, id, 1, Some(1 + id % 2));
            answer(&mut bed, id, 0, Outcome::Ok);
            bed.now += SECOND;
        }
        bed.pass(20 * SECOND);
        bed.ask(999);
        bed.answer(999, Outcome::Ok);
        (0..200).flat_map(|id| sent(&bed.ask(id))).count()
    };
    assert_eq!(at_once(0), at_once(40));
}

#[test]
fn an_adopted_attempt_draws_no_turn_of_a_cold_engine() {
    let sends = |adopted: u64| {
        let mut s = settings(class(Effect::Repeatable));
        s.gateways = 4;
        let mut bed = Bed::new(s, vec![EngineEntry { came_up: 99 * SECOND, ..entry(1) }]);
        for id in 1000..1000 + adopted {
            adopt(&mut bed, id, 1, Some(1));
            answer(&mut bed, id, 0, Outcome::Declined);
        }
        // What they owe turns none of these away.
        let pin = Some(Pin { engine: EngineId(1), uses_reserve: true, finishing: false });
        let one = |id| {
            let out = sent(&bed.ask_with(id, |r| r.pin = pin)).len();
            bed.now += 2_000;
            out + sent(&bed.answer(id, Outcome::Ok)).len()
        };
        (0..200).map(one).sum::<usize>()
    };
    assert!(sends(0) > 0);
    assert_eq!(sends(0), sends(20));
}

#[test]
fn absurd_adoptions_do_no_harm() {
    let mut bed = bed(Effect::Once, 1);
    let odd = |bed: &mut Bed, id, class, attempts, out| {
        let request = Request { class: ClassId(class), ..request(bed, id) };
        bed.feed(Event::Adopted { request, attempts, out })
    };
    let ever = AdoptedAttempt { engine: EngineId(1), sent: Micros::MAX, until: Micros::MAX };
    assert!(odd(&mut bed, 1, 7, 0, None).is_empty(), "an unknown class");
    assert!(sent(&odd(&mut bed, 2, 0, 0, Some(ever))).is_empty(), "an attempt that was not counted");
    assert!(failed(&answer(&mut bed, 2, 0, Outcome::Reset), 2));
    assert!(failed(&odd(&mut bed, 3, 0, u32::MAX, None), 3));
    odd(&mut bed, 4, 0, u32::MAX, Some(ever));
    assert!(odd(&mut bed, 4, 0, 1, None).is_empty(), "a repeated event is ignored");
    assert!(failed(&answer(&mut bed, 4, u32::MAX - 2, Outcome::Full), 4));
    let mut early = Bed::new(settings(class(keyed(KeyScope::All))), vec![entry(1)]);
    let request = Request { deadline: Micros::MAX, ..request(&early, 1) };
    early.feed(Event::Adopted { request, attempts: 1, out: Some(ever) });
    early.now += 21 * SECOND;
    assert!(failed(&answer(&mut early, 1, 0, Outcome::Reset), 1), "its window began by now at the latest");
    // An attempt whose end never comes is forgotten in time, its threads with it.
    for id in 10..20 {
        odd(&mut bed, id, 0, 1, Some(ever));
    }
    bed.pass(70 * SECOND);
    assert_eq!((100..104).flat_map(|id| sent(&bed.ask(id))).count(), 4);
}
