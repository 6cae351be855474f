//! The rules that bind every decision: one final answer for each request, effects and their windows, one
//! attempt at a time, the engine list and placement limits, the budget of attempts, the limit of cold
//! engines, and the order of keys.

mod common;
use common::*;
use violetward::*;

/// The order key that the tests of ordered requests share.
fn with_key(request: &mut Request) {
    request.key = Some(OrderKey("a".into()));
}

/// Sends a request, ends its attempt well and returns the number of dispatches.
fn request_and_answer(gateway: &mut TestGateway, id: u64) -> usize {
    dispatches(&gateway.request(id)).len() + dispatches(&gateway.answer(id, Outcome::Ok)).len()
}

#[test]
fn every_request_gets_one_final_answer_before_its_deadline() {
    let mut gateway = TestGateway::with_engines(Effect::Once, 1);
    for id in 0..40 {
        gateway.request(id);
    }
    gateway.advance(6 * SECOND);
    for id in 0..40 {
        let was_dispatched = dispatches(&gateway.actions()).iter().any(|d| d.0 == id);
        let is_final = |action: &Action| {
            let action = std::slice::from_ref(action);
            is_refused(action, id) || is_failed(action, id)
        };
        let ended_at: Vec<Micros> =
            gateway.history.iter().filter(|(_, action)| is_final(action)).map(|(at, _)| *at).collect();
        assert_eq!(ended_at.len(), usize::from(!was_dispatched), "request {id}");
        assert!(ended_at.iter().all(|&at| at <= 105 * SECOND));
    }
}

#[test]
fn nothing_is_dispatched_after_the_client_has_left() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    assert_eq!(dispatches(&gateway.request(1)).len(), 1);
    let actions = gateway.handle(Event::Lapsed(RequestId(1)));
    assert_eq!(actions, [Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert!(dispatches(&gateway.answer(1, Outcome::Cancelled)).is_empty());
    assert!(dispatches(&gateway.advance(6 * SECOND)).is_empty());
}

#[test]
fn once_request_that_may_have_run_fails_without_a_retry() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut gateway = TestGateway::with_engines(Effect::Once, 2);
        gateway.request(1);
        let actions = gateway.answer(1, outcome);
        assert!(is_failed(&actions, 1) && dispatches(&actions).is_empty(), "{outcome:?}");
    }
}

#[test]
fn once_request_that_did_not_run_is_retried_on_another_engine() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut gateway = TestGateway::with_engines(Effect::Once, 2);
        let first_engine = dispatches(&gateway.request(1))[0].1;
        let retries = dispatches(&gateway.answer(1, outcome));
        assert_eq!(retries, [(1, 3 - first_engine)], "{outcome:?}");
    }
}

#[test]
fn keyed_request_that_may_have_run_fails_if_its_zone_or_cell_has_no_other_engine() {
    for scope in [KeyScope::Zone, KeyScope::Cell] {
        let effect = Effect::Keyed { scope, window: 20 * SECOND };
        let out_of_scope = EngineEntry { zone: ZoneId(1), cell: CellId(1), ..engine_entry(2) };
        let mut gateway = TestGateway::with_engines(effect, 1);
        assert_eq!(dispatches(&gateway.request(1)), [(1, 1)]);
        let draining = EngineEntry { listed: Listed::Draining, ..engine_entry(1) };
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries: vec![draining, out_of_scope] });
        let actions = gateway.answer(1, Outcome::Reset);
        assert!(is_failed(&actions, 1) && dispatches(&actions).is_empty(), "{scope:?}");
    }
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let effect = Effect::Keyed { scope: KeyScope::All, window: SECOND };
    for (answered_after, retries) in [(SECOND / 2, 1), (2 * SECOND, 0)] {
        let mut gateway = TestGateway::with_engines(effect, 2);
        gateway.request(1);
        gateway.now += answered_after;
        assert_eq!(dispatches(&gateway.answer(1, Outcome::Reset)).len(), retries);
    }
}

/// Guards against a refusal, which promises that a retry is harmless, after engines have forgotten a request that
/// may have run: the retry was applied a second time.
#[test]
fn keyed_request_that_may_have_run_is_refused_within_its_window_and_fails_after_it() {
    let effect = Effect::Keyed { scope: KeyScope::All, window: SECOND };
    for (answered_after, refused) in [(SECOND / 2, true), (2 * SECOND, false)] {
        let mut gateway = TestGateway::with_engines(effect, 1);
        gateway.request(1);
        gateway.now += answered_after;
        let draining = EngineEntry { listed: Listed::Draining, ..engine_entry(1) };
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries: vec![draining] });
        let actions = gateway.answer(1, Outcome::Reset);
        assert_eq!((is_refused(&actions, 1), is_failed(&actions, 1)), (refused, !refused));
    }
}

#[test]
fn request_has_one_attempt_in_flight_at_most() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    gateway.request(1);
    assert!(dispatches(&gateway.advance(4 * SECOND)).is_empty());
    assert!(dispatches(&gateway.request(1)).is_empty(), "a repeated event is ignored");
}

#[test]
fn draining_or_removed_engine_gets_no_new_requests() {
    for listed in [Listed::Draining, Listed::Removed] {
        let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
        let entries = vec![EngineEntry { listed, ..engine_entry(1) }];
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries });
        let mut actions = Vec::new();
        for id in 0..30 {
            actions.extend(gateway.request(id));
        }
        actions.extend(gateway.advance(SECOND));
        let dispatches = dispatches(&actions);
        assert!(!dispatches.is_empty() && dispatches.iter().all(|d| d.1 == 2), "{listed:?}");
    }
}

#[test]
fn engine_missing_from_a_whole_list_is_removed() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![engine_entry(2)] });
    let actions: Vec<Action> = (0..20).flat_map(|id| gateway.request(id)).collect();
    assert!(dispatches(&actions).iter().all(|d| d.1 == 2));
}

/// Seconds of work of one default request.
const REQUEST_WORK_S: f64 = 0.1;

/// Seconds of work that one gateway of four may send to a cold engine within the overload span: the whole
/// fleet may send 4 × 0.3 × 4 cores × 0.85 × 1 s = 4.08 s.
const COLD_SHARE_OF_FOUR_S: f64 = 4.08 / 4.0;

#[test]
fn cold_engine_gets_at_most_the_share_of_this_gateway() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.gateways = 4;
    let cold = EngineEntry { came_up: 99 * SECOND, ..engine_entry(1) };
    let mut gateway = TestGateway::new(settings, vec![cold]);
    let mut dispatched = 0;
    // The loop takes 0.4 s, less than the overload span.
    for id in 0..200 {
        dispatched += request_and_answer(&mut gateway, id);
        gateway.now += 2_000;
    }
    assert!(dispatched as f64 * REQUEST_WORK_S <= COLD_SHARE_OF_FOUR_S, "{dispatched}");
    assert!(dispatched > 0);
}

/// Seconds of work that one gateway of four sends to a cold engine within the overload span, plus the work
/// that `before` has sent and returns. The gateway knows the engine as warm until `before` passes it the cold
/// entry.
fn work_sent_to_cold_engine(before: impl FnOnce(&mut TestGateway, EngineEntry) -> f64) -> f64 {
    let mut settings = settings(class(Effect::Repeatable));
    (settings.gateways, settings.budget) = (4, None);
    let cold = EngineEntry { came_up: 99 * SECOND, ..engine_entry(1) };
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    let mut work = before(&mut gateway, cold);
    for id in 1_000..1_200 {
        work += REQUEST_WORK_S * request_and_answer(&mut gateway, id) as f64;
        gateway.now += 2_000;
    }
    work
}

#[test]
fn older_list_does_not_make_a_cold_engine_warm() {
    let work = work_sent_to_cold_engine(|gateway, cold| {
        gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![cold] });
        gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![engine_entry(1)] });
        0.0
    });
    assert!(work > 0.0 && work <= COLD_SHARE_OF_FOUR_S, "{work}");
}

/// Guards against a gateway that forgets what it sent to a cold engine when a list leaves the engine out, and
/// so sends its share once more when the engine is listed again.
#[test]
fn cold_engine_that_briefly_leaves_the_list_gets_no_second_share() {
    let work = work_sent_to_cold_engine(|gateway, cold| {
        let mut work = 0.0;
        for id in 0..20 {
            gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![cold.clone()] });
            work += REQUEST_WORK_S * request_and_answer(gateway, id) as f64;
            gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![] });
            gateway.now += 2_000;
        }
        gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![cold] });
        work
    });
    assert!(work > 0.0 && work <= COLD_SHARE_OF_FOUR_S, "{work}");
}

#[test]
fn work_sent_before_the_list_reports_the_start_counts_against_the_share() {
    let work = work_sent_to_cold_engine(|gateway, cold| {
        let mut work = 0.0;
        for id in 0..8 {
            work += REQUEST_WORK_S * request_and_answer(gateway, id) as f64;
            gateway.now += SECOND / 20;
        }
        gateway.handle(Event::Engines { kind: ListKind::Whole, entries: vec![cold] });
        work
    });
    assert!(work > 0.0 && work <= COLD_SHARE_OF_FOUR_S, "{work}");
}

#[test]
fn requests_with_one_key_run_one_at_a_time_in_order() {
    let mut ordered = class(Effect::Keyed { scope: KeyScope::All, window: 20 * SECOND });
    ordered.in_order = true;
    let mut settings = settings(ordered);
    settings.key_cooldown = SECOND / 2;
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1), engine_entry(2)]);
    assert_eq!(dispatches(&gateway.request_with(1, with_key)).len(), 1);
    assert!(dispatches(&gateway.request_with(2, with_key)).is_empty());
    assert_eq!(dispatches(&gateway.request(3)).len(), 1, "a request without a key does not wait");
    // The first request lapses in flight: the next one waits for its answer and for the cooldown of the key.
    assert!(dispatches(&gateway.handle(Event::Lapsed(RequestId(1)))).is_empty());
    assert!(dispatches(&gateway.answer(1, Outcome::Cancelled)).is_empty());
    assert!(dispatches(&gateway.advance(SECOND * 4 / 10)).is_empty());
    assert_eq!(dispatches(&gateway.advance(SECOND / 5))[0].0, 2);
}

#[test]
fn class_limited_to_kinds_and_zones_runs_only_there() {
    let mut limited = class(Effect::Repeatable);
    limited.kinds = Some(vec![KindId(1)]);
    limited.zones = Some(vec![ZoneId(0)]);
    let allowed = EngineEntry { kind: KindId(1), ..engine_entry(3) };
    let wrong_zone = EngineEntry { kind: KindId(1), zone: ZoneId(1), ..engine_entry(2) };
    let mut gateway = TestGateway::new(settings(limited), vec![engine_entry(1), wrong_zone, allowed]);
    let mut actions = Vec::new();
    for id in 0..20 {
        actions.extend(gateway.request(id));
    }
    actions.extend(gateway.answer(0, Outcome::ConnectFailed));
    actions.extend(gateway.advance(SECOND));
    let dispatches = dispatches(&actions);
    assert!(!dispatches.is_empty() && dispatches.iter().all(|d| d.1 == 3));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.budget = Some(AttemptBudget { free: 2.0, per_request: 0.1, window: 5 * SECOND });
    let mut gateway = TestGateway::new(settings, (1..9).map(engine_entry).collect());
    let mut retries = 0;
    for id in 0..10 {
        gateway.request(id);
        retries += dispatches(&gateway.answer(id, Outcome::Full)).len();
    }
    assert_eq!(retries, 3, "2 free and a tenth of 10 requests");
}

#[test]
fn request_has_no_more_attempts_than_the_cap() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 8);
    gateway.request(1);
    assert_eq!(dispatches(&gateway.answer(1, Outcome::Full)).len(), 1);
    assert_eq!(dispatches(&gateway.answer(1, Outcome::Full)).len(), 1);
    assert!(is_refused(&gateway.answer(1, Outcome::Full), 1));
}

/// Guards against a retry without any time left: an attempt times out at the deadline of its request, while a
/// quarantined engine waits for a request to try it with.
#[test]
fn request_that_times_out_at_its_deadline_is_not_sent_to_a_quarantined_engine() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    let deadline = gateway.now + 5 * SECOND;
    let healthy = dispatches(&gateway.request_with(1, |r| r.deadline = deadline))[0].1;
    for id in 2..20 {
        for (id, engine) in dispatches(&gateway.request_with(id, |r| r.group = GroupId(id))) {
            gateway.answer(id, if engine == healthy { Outcome::Ok } else { Outcome::Error });
        }
    }
    assert!(gateway.has_logged("left alone"));
    gateway.advance(deadline - gateway.now);
    let actions = gateway.answer(1, Outcome::Timeout);
    assert!(is_refused(&actions, 1) && dispatches(&actions).is_empty(), "{actions:?}");
}

#[test]
fn request_due_before_the_next_tick_is_refused_on_arrival() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    for id in 0..20 {
        gateway.request_with(id, |r| r.cost = 1_000);
    }
    gateway.advance(SECOND / 2);
    let deadline = gateway.now + 50_000;
    gateway.request_with(100, |r| (r.cost, r.deadline) = (1_000, deadline));
    assert!(is_refused(&gateway.actions(), 100));
}

/// The share of the fleet that is left to a gateway by the failures of others raises what may run at once on
/// warm engines. A cold engine gets the even share at most, whatever is believed of the others.
#[test]
fn fleet_share_changes_the_limit_of_warm_engines_and_never_raises_that_of_cold_ones() {
    let dispatched_at_once = |share: Option<f64>| {
        let mut settings = settings(class(Effect::Repeatable));
        (settings.gateways, settings.load_reports) = (4, LoadReports::None);
        let mut gateway = TestGateway::new(settings, (1..=4).map(engine_entry).collect());
        if let Some(share) = share {
            gateway.handle(Event::FleetShare(share));
        }
        (0..200).flat_map(|id| dispatches(&gateway.request(id))).count()
    };
    let even = dispatched_at_once(None);
    assert_eq!(dispatched_at_once(Some(0.25)), even);
    let (half, whole) = (dispatched_at_once(Some(0.5)), dispatched_at_once(Some(1.0)));
    assert!(half > even && whole > half, "{even}, {half}, {whole}");
    assert!(dispatched_at_once(Some(0.05)) < even);

    let cold_work = |share: f64| {
        let mut settings = settings(class(Effect::Repeatable));
        settings.gateways = 4;
        let cold = EngineEntry { came_up: 99 * SECOND, ..engine_entry(1) };
        let mut gateway = TestGateway::new(settings, vec![cold]);
        gateway.handle(Event::FleetShare(share));
        let mut dispatched = 0;
        for id in 0..200 {
            dispatched += request_and_answer(&mut gateway, id);
            gateway.now += 2_000;
        }
        dispatched as f64 * REQUEST_WORK_S
    };
    let (whole, tenth) = (cold_work(1.0), cold_work(0.1));
    assert!(whole <= COLD_SHARE_OF_FOUR_S, "{whole}");
    assert!(tenth <= 4.08 * 0.1, "{tenth}");
}

/// The rules of these settings with other kinds of machine for all classes and another budget.
fn rules_event(settings: &Settings, kinds: Option<Vec<KindId>>, budget: Option<AttemptBudget>) -> Event {
    Event::Rules {
        classes: settings.classes.iter().map(|c| Class { kinds: kinds.clone(), ..c.clone() }).collect(),
        tenants: settings.tenants.clone(),
        attempts_cap: settings.attempts_cap,
        budget,
    }
}

/// New rules leave no engine to a class: attempts in flight go on, requests that wait are refused at once,
/// and requests are accepted again once the rules allow it.
#[test]
fn narrower_rules_refuse_waiting_requests_and_spare_attempts_in_flight() {
    let settings = settings(class(Effect::Repeatable));
    let rules = |kinds| match rules_event(&settings, kinds, settings.budget.clone()) {
        Event::Rules { classes, tenants, budget, .. } => {
            Event::Rules { classes, tenants, attempts_cap: 1, budget }
        }
        other => other,
    };
    let mut gateway = TestGateway::new(settings.clone(), vec![engine_entry(1)]);
    let (mut in_flight, mut waiting) = (Vec::new(), Vec::new());
    for id in 0..60 {
        let actions = gateway.request(id);
        if !dispatches(&actions).is_empty() {
            in_flight.push(id);
        } else if !is_refused(&actions, id) {
            waiting.push(id);
        }
    }
    assert!(!in_flight.is_empty() && !waiting.is_empty(), "{in_flight:?} in flight, {waiting:?} waiting");

    let actions = gateway.handle(rules(Some(Vec::new())));
    assert!(waiting.iter().all(|&id| is_refused(&actions, id)), "waiting requests are refused at once");
    assert!(
        in_flight.iter().all(|&id| !is_refused(&actions, id) && !is_failed(&actions, id)),
        "attempts in flight go on"
    );
    assert!(is_refused(&gateway.request(100), 100));
    // A retry may not use an engine that the rules exclude by now.
    assert!(dispatches(&gateway.answer(in_flight[0], Outcome::Full)).is_empty());

    gateway.handle(rules(None));
    assert_eq!(dispatches(&gateway.request(101)).len(), 1);
    assert!(!is_refused(&gateway.request(102), 102));
    // Rules with another number of classes than the settings are ignored.
    gateway.handle(Event::Rules { classes: vec![], tenants: vec![], attempts_cap: 0, budget: None });
    assert!(!is_refused(&gateway.request(103), 103));
}

/// Attempts made under a larger budget count against a smaller one: no retry goes out until they leave the
/// window.
#[test]
fn lowered_budget_counts_attempts_made_before() {
    let mut settings = settings(class(Effect::Repeatable));
    let budget = |free| Some(AttemptBudget { free, per_request: 0.0, window: 5 * SECOND });
    settings.budget = budget(4.0);
    let mut gateway = TestGateway::new(settings.clone(), (1..9).map(engine_entry).collect());
    let retries = |gateway: &mut TestGateway, ids: std::ops::Range<u64>| {
        let retry = |id| {
            gateway.request(id);
            dispatches(&gateway.answer(id, Outcome::Full)).len()
        };
        ids.map(retry).sum::<usize>()
    };
    assert_eq!(retries(&mut gateway, 0..2), 2, "half of four");
    gateway.handle(rules_event(&settings, None, budget(2.0)));
    assert_eq!(retries(&mut gateway, 2..6), 0, "two of two are spent");
    gateway.handle(rules_event(&settings, None, budget(3.0)));
    assert_eq!(retries(&mut gateway, 6..10), 1);
    gateway.advance(6 * SECOND);
    assert_eq!(retries(&mut gateway, 10..16), 3);
}

/// The rules change while requests of one key are queued: the attempt in flight goes on where it is, and the
/// next requests go, in order, where the new rules allow them.
#[test]
fn order_of_a_key_holds_across_new_rules() {
    let mut ordered = class(Effect::Keyed { scope: KeyScope::All, window: 20 * SECOND });
    ordered.in_order = true;
    let mut settings = settings(ordered);
    settings.kinds.push(settings.kinds[0].clone());
    let entries = vec![engine_entry(1), EngineEntry { kind: KindId(1), ..engine_entry(2) }];
    let mut gateway = TestGateway::new(settings.clone(), entries);
    let first_engine = dispatches(&gateway.request_with(1, with_key))[0].1;
    assert!(dispatches(&gateway.request_with(2, with_key)).is_empty());
    assert!(dispatches(&gateway.request_with(3, with_key)).is_empty());
    // The new rules allow only the kind of machine that the first request does not run on.
    let other_kind = KindId(if first_engine == 1 { 1 } else { 0 });
    let actions = gateway.handle(rules_event(&settings, Some(vec![other_kind]), settings.budget.clone()));
    assert!(dispatches(&actions).is_empty(), "{actions:?}");
    assert!(!is_refused(&actions, 2) && !is_refused(&actions, 3), "{actions:?}");
    assert_eq!(dispatches(&gateway.answer(1, Outcome::Ok)), [(2, 3 - first_engine)]);
    assert_eq!(dispatches(&gateway.answer(2, Outcome::Ok)), [(3, 3 - first_engine)]);
}

/// The fraction of each class that a forecast leaves is admitted, for own clients and for guests. The rest is
/// refused at once with advice when to retry. Pinned requests are always admitted.
#[test]
fn requests_beyond_the_admitted_fraction_are_refused_at_once() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.max_retry_after = Some(30 * SECOND);
    let mut gateway = TestGateway::new(settings, (1..=4).map(engine_entry).collect());
    gateway.handle(Event::AdmitFractions { own: vec![0.25], guests: vec![0.0], min_retry_after: 2 * SECOND });
    let mut retry_advice = Vec::new();
    for id in 0..400 {
        for action in gateway.request(id) {
            if let Action::Refuse { retry_after, .. } = action {
                retry_advice.push(retry_after);
            }
        }
        gateway.answer(id, Outcome::Ok);
        gateway.advance(SECOND / 10);
    }
    assert!((270..=330).contains(&retry_advice.len()), "{}", retry_advice.len());
    assert!(retry_advice.iter().all(|span| (SECOND..=3 * SECOND).contains(span)), "{retry_advice:?}");
    let guest = |gateway: &TestGateway, id: u64, pin: Option<Pin>| {
        Event::Guest(Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: TenantId(0),
            cost: 100_000,
            memory_mb: 64.0,
            group: GroupId(0),
            key: None,
            is_retry: false,
            has_dedup_key: false,
            pin,
            deadline: gateway.now + 5 * SECOND,
        })
    };
    let unpinned = guest(&gateway, 1_000, None);
    assert!(is_refused(&gateway.handle(unpinned), 1_000));
    let pin = Pin { engine: EngineId(1), uses_reserve: false, finishing: false };
    let pinned = guest(&gateway, 1_001, Some(pin));
    assert!(!is_refused(&gateway.handle(pinned), 1_001));
    // Without fractions all requests are admitted again.
    gateway.handle(Event::AdmitFractions { own: vec![], guests: vec![], min_retry_after: 0 });
    for id in 2_000..2_040 {
        assert!(!is_refused(&gateway.request(id), id));
        gateway.answer(id, Outcome::Ok);
        gateway.advance(SECOND / 10);
    }
}
