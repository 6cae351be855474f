//! Regression tests, one for each failure that was found.

mod common;

use std::collections::BTreeSet;

use common::*;
use violetward::*;

/// Sends `count` requests one after another, ends each of their attempts with the outcome of its engine and
/// returns the engines of all attempts.
fn run_requests(
    gateway: &mut TestGateway,
    first_id: u64,
    count: u64,
    outcome: impl Fn(u64) -> Outcome,
) -> Vec<u64> {
    let mut engines = Vec::new();
    for id in first_id..first_id + count {
        let mut actions = gateway.request(id);
        while let Some(&(_, engine)) = dispatches(&actions).iter().find(|d| d.0 == id) {
            engines.push(engine);
            gateway.now += 50_000;
            actions = gateway.answer(id, outcome(engine));
        }
        gateway.advance(50_000);
    }
    engines
}

/// Whether an action is no memory grant or a finite one.
fn is_finite_grant(action: &Action) -> bool {
    !matches!(action, Action::Terms { memory_mb, .. } if !memory_mb.is_finite())
}

/// Ends the first attempt of a request well.
fn serve(gateway: &mut TestGateway, id: u64, took: Micros, work: Option<Micros>) {
    gateway.handle(Event::Answer(Answer {
        id: RequestId(id),
        attempt: 0,
        outcome: Outcome::Ok,
        took,
        complete: true,
        work,
        memory_mb: None,
        load: Load::default(),
    }));
}

#[test]
fn engine_that_fails_fast_attracts_no_more_queries() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 4);
    run_requests(&mut gateway, 0, 40, |e| if e == 2 { Outcome::Error } else { Outcome::Ok });
    assert!(gateway.has_logged("fails"));
    let engines = run_requests(&mut gateway, 100, 20, |_| Outcome::Ok);
    assert!(engines.iter().filter(|&&engine| engine == 2).count() <= 10);
}

#[test]
fn silence_of_all_engines_quarantines_none() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 4);
    for id in 0..8 {
        gateway.request(id);
    }
    let actions = gateway.advance(4 * SECOND);
    assert!(!actions.iter().any(|a| matches!(a, Action::Log(_))));
}

#[test]
fn silent_engine_is_quarantined() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 4);
    let mut sent_to_silent_at = Vec::new();
    for id in 0..60 {
        for (id, engine) in dispatches(&gateway.request_with(id, |r| r.group = GroupId(id))) {
            if engine != 3 {
                gateway.answer(id, Outcome::Ok);
            } else {
                sent_to_silent_at.push(gateway.now);
            }
        }
        gateway.advance(100_000);
    }
    assert!(gateway.has_logged("no answers"));
    assert!(sent_to_silent_at.iter().filter(|&&at| at > 102 * SECOND).count() <= 8);
}

#[test]
fn one_overdue_query_among_answered_ones_quarantines_no_engine() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    gateway.request(1);
    for id in 2..40 {
        if !dispatches(&gateway.request(id)).is_empty() {
            gateway.answer(id, Outcome::Ok);
        }
        gateway.advance(100_000);
    }
    assert!(gateway.log_lines().is_empty());
}

#[test]
fn one_query_with_a_bad_plan_does_not_cause_refusals_of_light_queries() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    run_requests(&mut gateway, 0, 30, |_| Outcome::Ok);
    gateway.request(100);
    serve(&mut gateway, 100, 3 * SECOND, Some(20 * SECOND));
    gateway.advance(SECOND);
    assert_eq!(dispatches(&gateway.request(101)).len(), 1);
    assert_eq!(dispatches(&gateway.request(102)).len(), 1);
}

#[test]
fn timed_out_attempts_keep_their_threads_where_cancelling_is_not_allowed() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.may_cancel = false;
    settings.attempts_cap = 1;
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    let dispatched: usize = (0..6).map(|id| dispatches(&gateway.request(id)).len()).sum();
    assert_eq!(dispatched, 6);
    let actions: Vec<Action> = (0..6).flat_map(|id| gateway.answer(id, Outcome::Timeout)).collect();
    assert!(dispatches(&actions).is_empty());
    assert!(dispatches(&gateway.request(50)).is_empty(), "six threads may still run");
    assert_eq!(dispatches(&gateway.advance(SECOND)).len(), 1);
}

#[test]
fn requests_without_an_engine_that_is_up_are_refused_on_arrival() {
    for entries in [vec![], vec![EngineEntry { listed: Listed::Draining, ..engine_entry(1) }]] {
        let mut gateway = TestGateway::new(settings(class(Effect::Once)), entries);
        assert!(is_refused(&gateway.request(1), 1));
    }
}

#[test]
fn extreme_settings_and_estimates_give_finite_memory_grants() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.kinds = vec![Kind { cores: 0.0, memory_mb: f64::NAN }];
    settings.gateways = 0;
    settings.classes[0].worth = f64::NAN;
    settings.classes[0].target_stretch = f64::INFINITY;
    settings.overload_multiple = f64::MAX;
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }];
    let mut gateway =
        TestGateway::new(settings, vec![EngineEntry { weight: 0.0, kind: KindId(9), ..engine_entry(1) }]);
    for (id, cost) in [(1, 0), (2, u64::MAX), (3, 1)] {
        gateway.request_with(id, |r| (r.cost, r.memory_mb) = (cost, f64::MAX));
    }
    gateway.request_with(4, |r| r.deadline = u64::MAX);
    gateway.request_with(5, |r| r.class = ClassId(77));
    gateway.advance(6 * SECOND);
    assert!(gateway.actions().iter().all(is_finite_grant));
    assert!(!dispatches(&gateway.actions()).is_empty());
}

#[test]
fn unknown_late_and_repeated_events_are_ignored() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 2);
    for event in [Event::Lapsed(RequestId(9)), Event::Streaming(RequestId(9)), Event::Elapsed(99)] {
        assert!(gateway.handle(event).is_empty());
    }
    assert!(gateway.answer(9, Outcome::Ok).is_empty());
    let probed = Event::Probed { engine: EngineId(7), ok: false, load: Load::default() };
    assert!(gateway.handle(probed).is_empty());
    gateway.request(1);
    gateway.answer(1, Outcome::Ok);
    assert!(gateway.answer(1, Outcome::Error).is_empty());
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut gateway = TestGateway::with_engines(Effect::Repeatable, 3);
        run_requests(&mut gateway, 0, 50, |e| if e == 1 { Outcome::Error } else { Outcome::Ok });
        gateway.history
    };
    assert_eq!(run(), run());
}

#[test]
fn light_query_is_dispatched_before_a_heavier_one_queued_earlier() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    for id in 0..6 {
        gateway.request(id);
    }
    gateway.request_with(10, |r| r.cost = 300_000);
    gateway.request_with(11, |r| r.cost = 50_000);
    let order: Vec<u64> =
        (0..6).flat_map(|id| dispatches(&gateway.answer(id, Outcome::Ok))).map(|d| d.0).collect();
    assert_eq!(order, [11, 10]);
}

#[test]
fn gateway_polls_the_engine_list_within_the_required_interval() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.list_poll_interval = Some(9 * SECOND);
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    assert!(gateway.actions().contains(&Action::Subscribe));
    gateway.advance(10 * SECOND);
    assert!(gateway.actions().iter().filter(|&action| *action == Action::FetchList).count() >= 3);
}

#[test]
fn queued_request_past_its_latency_target_goes_behind_those_in_time() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    for id in 0..6 {
        assert_eq!(dispatches(&gateway.request(id)).len(), 1);
    }
    assert!(dispatches(&gateway.request(10)).is_empty());
    gateway.advance(SECOND * 13 / 10);
    assert!(dispatches(&gateway.request(11)).is_empty());
    assert_eq!(dispatches(&gateway.answer(0, Outcome::Ok)).first(), Some(&(11, 1)));
}

#[test]
fn failures_of_all_engines_quarantine_none() {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 4);
    for id in 0..8 {
        gateway.request_with(id, |r| r.group = GroupId(id));
    }
    for id in 0..8 {
        gateway.answer(id, Outcome::Error);
    }
    assert!(gateway.log_lines().is_empty());
}

/// One gateway of a fleet, with a light class (0) and a heavy class of four threads (1).
fn gateway_of_fleet(number: u64, gateways: u32, engines: Vec<EngineEntry>) -> TestGateway {
    let heavy = Class { threads: 4, worth: 4.0, ..class(Effect::Repeatable) };
    let mut settings = settings(class(Effect::Repeatable));
    settings.own_id = PeerId(number);
    settings.gateways = gateways;
    settings.classes.push(heavy);
    TestGateway::new(settings, engines)
}

#[test]
fn small_share_of_the_fleet_limits_queries_in_flight_over_all_engines() {
    let mut gateway = gateway_of_fleet(0, 150, (1..=30).map(engine_entry).collect());
    let heavy = |r: &mut Request| (r.class, r.cost) = (ClassId(1), 4_000_000);
    let dispatched: usize = (0..30).map(|id| dispatches(&gateway.request_with(id, heavy)).len()).sum();
    assert_eq!(dispatched, 1, "thirty engines are idle, but the share is one query");
    assert_eq!(
        dispatches(&gateway.request_with(100, |r| r.cost = 20_000)).len(),
        1,
        "a light query is still dispatched"
    );
}

#[test]
fn fleet_limit_allows_a_single_gateway_all_engines() {
    let mut gateway = gateway_of_fleet(0, 1, (1..=30).map(engine_entry).collect());
    let heavy = |r: &mut Request| (r.class, r.cost) = (ClassId(1), 4_000_000);
    let dispatched: usize = (0..15).map(|id| dispatches(&gateway.request_with(id, heavy)).len()).sum();
    assert_eq!(dispatched, 15);
}

#[test]
fn light_queries_of_many_gateways_stay_within_the_budget_of_a_cold_engine() {
    let (gateways, cost) = (150, 100_000);
    let cold = EngineEntry { came_up: 101 * SECOND, ..engine_entry(2) };
    let mut sent_to_cold_at: Vec<Micros> = Vec::new();
    for number in 0..u64::from(gateways) {
        let mut gateway = gateway_of_fleet(number, gateways, vec![engine_entry(1)]);
        let light = |r: &mut Request| r.cost = cost;
        for id in 0..10 {
            gateway.request_with(id, light);
            gateway.answer(id, Outcome::Ok);
            gateway.advance(100_000);
        }
        let draining = EngineEntry { listed: Listed::Draining, ..engine_entry(1) };
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries: vec![draining, cold.clone()] });
        for id in 100..150 {
            for (id, engine) in dispatches(&gateway.request_with(id, light)) {
                sent_to_cold_at.extend((engine == 2).then_some(gateway.now));
                gateway.answer(id, Outcome::Ok);
            }
            gateway.advance(200_000);
        }
    }
    // The overload multiple times four cores at 0.3 of their capacity, for the overload span of 1 s.
    let budget = 4.0 * 4.0 * 0.3 * SECOND as f64;
    let in_window =
        |start: Micros| sent_to_cold_at.iter().filter(|&&at| start <= at && at < start + SECOND).count();
    let most = sent_to_cold_at.iter().map(|&start| in_window(start)).max();
    let most = most.expect("the cold engine was sent no query") as f64;
    assert!(most * cost as f64 <= budget, "{most} queries in one window");
}

#[test]
fn quarantined_engine_is_tried_again_though_no_request_is_queued() {
    let mut gateway = gateway_of_fleet(0, 150, (1..=4).map(engine_entry).collect());
    let failing = dispatches(&gateway.request(90))[0].1;
    gateway.answer(90, Outcome::Ok);
    run_requests(&mut gateway, 0, 60, |e| if e == failing { Outcome::Error } else { Outcome::Ok });
    assert!(gateway.has_logged("left alone"));
    run_requests(&mut gateway, 100, 150, |_| Outcome::Ok);
    assert!(gateway.has_logged("used again"));
}

#[test]
fn engine_that_rejects_queries_at_once_as_full_gets_fewer_queries() {
    let mut gateway = gateway_of_fleet(0, 150, (1..=4).map(engine_entry).collect());
    let full = dispatches(&gateway.request(90))[0].1;
    gateway.answer(90, Outcome::Ok);
    let engines = run_requests(&mut gateway, 0, 80, |e| if e == full { Outcome::Full } else { Outcome::Ok });
    let attempts = engines.iter().filter(|&&engine| engine == full).count();
    assert!((1..=8).contains(&attempts), "{attempts} of {} attempts", engines.len());
}

#[test]
fn unreachable_engine_counts_as_cold_before_the_list_reports_its_restart() {
    let light = |r: &mut Request| r.cost = 100_000;
    let mut queries = 0;
    for number in 0..150 {
        let mut gateway = gateway_of_fleet(number, 150, (1..=2).map(engine_entry).collect());
        for id in 0..20 {
            gateway.request_with(id, light);
            gateway.answer(id, Outcome::Ok);
            gateway.advance(100_000);
        }
        let unreachable = dispatches(&gateway.request_with(50, light))[0].1;
        gateway.answer(50, Outcome::ConnectFailed);
        gateway.advance(SECOND);
        for id in 100..110 {
            let actions = gateway.request_with(id, light);
            queries += dispatches(&actions).iter().filter(|d| d.1 == unreachable).count();
            gateway.answer(id, Outcome::Ok);
            gateway.advance(100_000);
        }
    }
    // All gateways together may send 4 × 0.3 × 4 cores × 1 s in any second, which is 48 light queries; the
    // loop allows twice that.
    assert!((1..=96).contains(&queries), "{queries} queries within a second to an engine that may be cold");
}

/// A gateway over two engines that report the progress of running attempts every half second.
fn gateway_with_notes(change: impl FnOnce(&mut Settings)) -> TestGateway {
    let mut settings = settings(class(Effect::Repeatable));
    settings.note_period = Some(SECOND / 2);
    change(&mut settings);
    TestGateway::new(settings, vec![engine_entry(1), engine_entry(2)])
}

fn note(gateway: &mut TestGateway, id: u64, attempt: u32, note: Note) -> Vec<Action> {
    gateway.handle(Event::Note { id: RequestId(id), attempt, note })
}

#[test]
fn attempt_with_slow_progress_is_cancelled_and_retried_on_another_engine() {
    let mut gateway = gateway_with_notes(|_| {});
    let first = dispatches(&gateway.request_with(1, |r| r.cost = 300_000))[0].1;
    gateway.advance(SECOND / 2);
    let actions = note(&mut gateway, 1, 0, Note::Progress(0.05));
    assert_eq!(actions, [Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert!(note(&mut gateway, 1, 0, Note::Progress(0.06)).is_empty(), "it is cancelled once");
    assert_eq!(dispatches(&gateway.answer(1, Outcome::Cancelled)), [(1, 3 - first)]);
    gateway.advance(SECOND / 5);
    assert!(note(&mut gateway, 1, 1, Note::Progress(0.6)).is_empty(), "the second attempt progresses well");
}

#[test]
fn slow_attempt_goes_on_if_a_retry_is_unsafe_or_not_allowed() {
    let changes: [fn(&mut Settings); 3] = [
        |s| s.classes[0].effect = Effect::Once,
        |s| s.attempts_cap = 1,
        |s| s.budget = Some(AttemptBudget { free: 0.0, per_request: 0.0, window: SECOND }),
    ];
    for change in changes {
        let mut gateway = gateway_with_notes(change);
        gateway.request_with(1, |r| r.cost = 300_000);
        gateway.advance(SECOND / 2);
        assert!(note(&mut gateway, 1, 0, Note::Progress(0.12)).is_empty());
    }
}

#[test]
fn attempt_that_cannot_end_before_the_deadline_is_cancelled_at_once() {
    let mut gateway = gateway_with_notes(|s| s.attempts_cap = 1);
    gateway.request_with(1, |r| r.cost = 300_000);
    gateway.advance(SECOND / 2);
    let actions = note(&mut gateway, 1, 0, Note::Progress(0.02));
    assert!(is_refused(&actions, 1) && actions.contains(&Action::Cancel { id: RequestId(1), attempt: 0 }));
}

#[test]
fn query_that_waits_for_memory_moves_and_its_engine_is_avoided() {
    let mut gateway = gateway_with_notes(|s| s.gateways = 100);
    let first = dispatches(&gateway.request(1))[0].1;
    assert_eq!(note(&mut gateway, 1, 0, Note::WaitsForMemory).len(), 1);
    assert_eq!(dispatches(&gateway.answer(1, Outcome::Cancelled)), [(1, 3 - first)]);
    gateway.answer(1, Outcome::Ok);
    assert_eq!(
        dispatches(&gateway.request(4)),
        [(4, 3 - first)],
        "the engine that is warm for its group is short of memory"
    );
}

#[test]
fn query_that_waits_for_a_load_is_cancelled() {
    let mut gateway = gateway_with_notes(|_| {});
    gateway.request(1);
    assert_eq!(
        note(&mut gateway, 1, 0, Note::WaitsForLoad),
        [Action::Cancel { id: RequestId(1), attempt: 0 }]
    );
}

/// Whether an engine is quarantined for silence within 1.4 s after a long query was sent there, with one of
/// these notes every 0.2 s.
fn is_quarantined_after(gateway: &mut TestGateway, notes: &[Note]) -> bool {
    gateway.request_with(1, |r| r.cost = 900_000);
    for step in 0..7 {
        gateway.advance(SECOND / 5);
        if let Some(&progress) = notes.get(step) {
            note(gateway, 1, 0, progress);
        }
    }
    gateway.has_logged("no answers")
}

#[test]
fn engine_is_quarantined_for_missing_notes_and_not_while_notes_come() {
    assert!(is_quarantined_after(&mut gateway_with_notes(|_| {}), &[]));
    let notes = [Note::Progress(0.2), Note::Spills(4.0), Note::Progress(0.5)];
    assert!(!is_quarantined_after(&mut gateway_with_notes(|_| {}), &notes));
}

/// Guards against a gateway that takes its own stall, in which it handles no events, for silence of its
/// engines.
#[test]
fn stall_of_the_gateway_quarantines_no_engine() {
    for stalled in [false, true] {
        let mut gateway = gateway_with_notes(|_| {});
        gateway.request_with(1, |r| r.cost = 900_000);
        gateway.advance(SECOND / 10);
        if stalled {
            gateway.now += 2 * SECOND;
            gateway.handle(Event::Elapsed(0));
        }
        let until = gateway.now + SECOND * 13 / 10 - if stalled { SECOND / 10 } else { 0 };
        while gateway.now < until {
            gateway.advance(SECOND / 20);
        }
        assert_eq!(gateway.has_logged("no answers"), !stalled, "stalled: {stalled}");
    }
}

#[test]
fn slow_engine_lowers_the_thread_limit_where_cost_is_not_reported() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.reports_cost = false;
    let in_flight = |slow: bool| {
        let mut gateway = TestGateway::new(settings.clone(), vec![engine_entry(1)]);
        for id in 0..120 {
            if !dispatches(&gateway.request(id)).is_empty() {
                let took = if slow && id >= 30 { 600_000 } else { 100_000 };
                serve(&mut gateway, id, took, None);
            }
            gateway.advance(200_000);
        }
        (200..240)
            .map(|id| dispatches(&gateway.request_with(id, |r| r.deadline += 60 * SECOND)).len())
            .sum::<usize>()
    };
    let (usual, slow) = (in_flight(false), in_flight(true));
    assert!(slow < usual, "{slow} in flight on a slow engine, {usual} on a fast one");
}

#[test]
fn each_request_probes_an_engine_where_only_probes_report_load() {
    let probed_engines = |reports| {
        let mut settings = settings(class(Effect::Repeatable));
        (settings.may_probe, settings.load_reports) = (true, reports);
        let mut gateway = TestGateway::new(settings, (1..=4).map(engine_entry).collect());
        let actions: Vec<Action> = (0..3).flat_map(|id| gateway.request(id)).collect();
        let probe = |action: &Action| if let Action::Probe(engine) = action { Some(engine.0) } else { None };
        actions.iter().filter_map(probe).collect::<BTreeSet<u64>>().len()
    };
    assert_eq!(probed_engines(LoadReports::WithProbes), 3, "three different engines");
    assert_eq!(probed_engines(LoadReports::WithAnswers), 0);
}

#[test]
fn reported_queries_in_flight_tell_overloaded_engines_from_busy_ones() {
    let mut settings = settings(class(Effect::Repeatable));
    (settings.may_probe, settings.load_reports, settings.gateways) = (true, LoadReports::WithProbes, 100);
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1), engine_entry(2)]);
    gateway.request(0);
    gateway.request(1);
    for (engine, in_flight) in [(1, 40.0), (2, 6.0)] {
        let load = Load { in_flight: Some(in_flight), cores: Some(1.0), ..Load::default() };
        gateway.handle(Event::Probed { engine: EngineId(engine), ok: true, load });
    }
    gateway.answer(0, Outcome::Ok);
    gateway.answer(1, Outcome::Ok);
    assert_eq!(dispatches(&gateway.request(2)), [(2, 2)]);
}

#[test]
fn light_queries_stay_in_their_zone_where_crossing_zones_has_a_price() {
    let crossed = |price| {
        let mut settings = settings(class(Effect::Repeatable));
        settings.prices.cross_zone = price;
        let far = |n| EngineEntry { zone: ZoneId(1), ..engine_entry(n) };
        let mut gateway = TestGateway::new(settings, vec![engine_entry(1), far(2), engine_entry(3), far(4)]);
        let mut crossed = 0;
        for id in 0..60 {
            let actions = gateway.request_with(id, |r| r.group = GroupId(id));
            crossed += dispatches(&actions).iter().filter(|d| d.1 % 2 == 0).count();
            gateway.answer(id, Outcome::Ok);
            gateway.advance(100_000);
        }
        crossed
    };
    let (free, priced) = (crossed(0.0), crossed(0.04));
    assert!(free >= 20 && priced <= 10, "{free} and {priced}");
}

#[test]
fn heavy_queries_of_many_gateways_reach_cold_engines_within_the_budget() {
    let gateways = 150;
    let heavy = |r: &mut Request| (r.class, r.cost) = (ClassId(1), 2_000_000);
    let mut sent_to_cold_at: Vec<Micros> = Vec::new();
    for number in 0..gateways {
        let mut gateway = gateway_of_fleet(number, gateways as u32, vec![engine_entry(1)]);
        for id in 0..4 {
            gateway.request_with(id, heavy);
            serve(&mut gateway, id, SECOND / 2, Some(2 * SECOND));
            gateway.advance(100_000);
        }
        let removed = EngineEntry { listed: Listed::Removed, ..engine_entry(1) };
        let mut entries: Vec<_> =
            (2..=9).map(|n| EngineEntry { came_up: 100 * SECOND, ..engine_entry(n) }).collect();
        entries.push(removed);
        gateway.handle(Event::Engines { kind: ListKind::Changes, entries });
        for id in 100..140 {
            let actions = gateway.request_with(id, heavy);
            sent_to_cold_at.extend(dispatches(&actions).iter().filter(|d| d.1 == 2).map(|_| gateway.now));
            gateway.answer(id, Outcome::Ok);
            gateway.advance(200_000);
        }
    }
    assert!(!sent_to_cold_at.is_empty(), "a cold engine was sent no heavy query");
    for &start in &sent_to_cold_at {
        let in_window = sent_to_cold_at.iter().filter(|&&at| start <= at && at < start + SECOND).count();
        let work = 2.0 * in_window as f64;
        // The capacity at that time if the engine warms evenly: from 0.3 of its 4 cores to all of them in 15
        // s.
        let cores = 4.0 * (0.3 + 0.7 * (start - 100 * SECOND) as f64 / (15 * SECOND) as f64);
        // Gateways send whole queries, so that chance may add one of 2 s.
        assert!(work <= 4.0 * cores + 2.0, "{work} s of work sent within a second at {start}, {cores} cores");
    }
}

#[test]
fn retry_advice_is_bounded_and_spread() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.max_retry_after = Some(60 * SECOND);
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    let actions: Vec<Action> =
        (0..60).flat_map(|id| gateway.request_with(id, |r| r.cost = 600_000)).collect();
    let retry_after = |action: &Action| match action {
        Action::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    };
    let advice: Vec<Micros> = actions.iter().filter_map(retry_after).collect();
    let distinct: BTreeSet<_> = advice.iter().collect();
    assert!(advice.len() >= 10 && distinct.len() > advice.len() / 2);
    assert!(advice.iter().all(|span| (50_000..6 * SECOND).contains(span)), "{advice:?}");
}

#[test]
fn extreme_notes_and_load_reports_give_finite_memory_grants() {
    let mut gateway = gateway_with_notes(|s| (s.may_probe, s.load_reports) = (true, LoadReports::WithProbes));
    gateway.request(1);
    for value in [f64::NAN, f64::INFINITY, -3.0, 7.0, 0.0] {
        for (id, attempt) in [(1, 0), (1, 9), (77, 0)] {
            note(&mut gateway, id, attempt, Note::Spills(value));
            note(&mut gateway, id, attempt, Note::Progress(value));
        }
        let load =
            Load { in_flight: Some(value), cores: Some(value), memory: Some(value), disks: Some(value) };
        gateway.handle(Event::Probed { engine: EngineId(1), ok: true, load });
        gateway.handle(Event::Probed { engine: EngineId(9), ok: true, load });
    }
    gateway.advance(2 * SECOND);
    assert_eq!(dispatches(&gateway.request(2)).len(), 1);
    assert!(gateway.actions().iter().all(is_finite_grant));
}

/// Gateways prefer the same engines for a group of tables, since these have read it before. They do not where
/// load is not reported, nor for a class that waits for loads, since a load on such an engine would hold its
/// queries up.
#[test]
fn gateways_send_a_group_to_the_same_engines_unless_load_is_unknown_or_loads_block_queries() {
    let chosen_engine = |number: u64, reports, waits_for_loads| {
        let mut settings = settings(class(Effect::Repeatable));
        (settings.own_id, settings.gateways, settings.load_reports) = (PeerId(number), 200, reports);
        settings.classes[0].waits_for_loads = waits_for_loads;
        // Every gateway has a seed of its own.
        let mut gateway = TestGateway::seeded(settings, number, (1..=20).map(engine_entry).collect());
        dispatches(&gateway.request_with(1, |r| r.group = GroupId(7)))[0].1
    };
    let distinct_engines = |reports, waits_for_loads| {
        let engines = (0..30).map(|number| chosen_engine(number, reports, waits_for_loads));
        engines.collect::<BTreeSet<u64>>().len()
    };
    assert!(distinct_engines(LoadReports::WithAnswers, false) <= 2);
    assert!(distinct_engines(LoadReports::None, false) > 5);
    assert!(distinct_engines(LoadReports::WithAnswers, true) > 5);
}

#[test]
fn old_load_reports_lose_their_weight() {
    // The number of gateways, of forty, that choose the engine with busy cores `age` after its report.
    let choose_busy_engine = |age: Micros| {
        let chosen_engine = |seed: u64| {
            let mut settings = settings(class(Effect::Repeatable));
            settings.gateways = 100;
            let mut gateway = TestGateway::seeded(settings, seed, vec![engine_entry(1), engine_entry(2)]);
            for (engine, cores) in [(1, 1.0), (2, 0.1)] {
                let load = Load { cores: Some(cores), ..Load::default() };
                gateway.handle(Event::Probed { engine: EngineId(engine), ok: true, load });
            }
            gateway.now += age;
            dispatches(&gateway.request(1))[0].1
        };
        (0..40).filter(|&seed| chosen_engine(seed) == 1).count()
    };
    assert_eq!(choose_busy_engine(0), 0);
    assert!((10..=30).contains(&choose_busy_engine(20 * SECOND)));
}

#[test]
fn tenant_beyond_its_quota_leaves_room_for_others() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 50.0 }];
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    let is_accepted = |id: &u64| {
        let actions = gateway.request_with(*id, |r| (r.tenant, r.cost) = (TenantId(0), 400_000));
        !is_refused(&actions, *id)
    };
    let accepted = (0..80).filter(is_accepted).count();
    let actions = gateway.request_with(999, |r| r.tenant = TenantId(1));
    assert!(!is_refused(&actions, 999), "the other tenant is within its quota");
    assert!((10..15).contains(&accepted), "{accepted} of 80 accepted, the first ten are within the quota");
}

#[test]
fn gateway_with_the_traffic_of_failed_ones_exceeds_its_even_share() {
    let mut gateway = gateway_of_fleet(0, 100, (1..=10).map(engine_entry).collect());
    // Sends twenty requests at once and returns the number not refused; the engines serve all of them within
    // 0.3 s.
    let mut accepted = |first_id: u64| {
        let ids = first_id..first_id + 20;
        let is_accepted = |id: &u64| !is_refused(&gateway.request_with(*id, |r| r.cost = 400_000), *id);
        let accepted = ids.clone().filter(is_accepted).count();
        for _ in 0..3 {
            gateway.advance(100_000);
            for id in ids.clone() {
                serve(&mut gateway, id, 400_000, Some(400_000));
            }
        }
        accepted
    };
    let first = accepted(0);
    let later = (1..60).map(|round| accepted(100 * round)).last().expect("there are rounds");
    assert!(later >= 2 * first.max(1), "{first} at first, {later} later");
}

#[test]
fn quarantined_engine_recovers_by_probes_where_no_light_request_comes() {
    let mut settings = settings(class(Effect::Once));
    settings.may_probe = true;
    let mut gateway = TestGateway::new(settings, vec![engine_entry(1)]);
    for id in 0..6 {
        if !dispatches(&gateway.request(id)).is_empty() {
            gateway.answer(id, Outcome::Error);
        }
    }
    assert!(dispatches(&gateway.request(50)).is_empty(), "the engine is quarantined");
    for _ in 0..300 {
        let actions = gateway.advance(100_000);
        if actions.contains(&Action::Probe(EngineId(1))) {
            gateway.handle(Event::Probed { engine: EngineId(1), ok: true, load: Load::default() });
        }
    }
    assert_eq!(dispatches(&gateway.request(99)), [(99, 1)]);
}

/// The number of queries sent at once to an engine after three attempts on it have ended with `outcome`.
fn dispatched_after(outcome: Outcome) -> usize {
    let mut gateway = TestGateway::with_engines(Effect::Repeatable, 1);
    run_requests(&mut gateway, 0, 30, |_| Outcome::Ok);
    for id in 100..103 {
        gateway.request(id);
        gateway.answer(id, outcome);
        gateway.advance(50_000);
        // The retry, if there is one.
        gateway.answer(id, Outcome::Ok);
        gateway.advance(50_000);
    }
    (200..240).map(|id| dispatches(&gateway.request(id)).len()).sum()
}

#[test]
fn broken_connection_to_a_live_engine_makes_it_neither_cold_nor_quarantined() {
    let (calm, broken, reset) =
        (dispatched_after(Outcome::Ok), dispatched_after(Outcome::Broken), dispatched_after(Outcome::Reset));
    assert!(broken * 10 >= calm * 8, "{broken} after broken connections, {calm} without");
    assert!(reset * 2 <= calm, "{reset} after resets, {calm} without: resets must make an engine cold");
}

/// The number of queries that one of three gateways runs at once while engines report this fraction of their
/// cores busy.
fn in_flight_at_reported_load(busy_cores: f64) -> usize {
    let mut settings = settings(class(Effect::Repeatable));
    (settings.gateways, settings.load_reports) = (3, LoadReports::WithAnswers);
    // An engine runs one query of four threads at a time, so that the limit of the fleet is the lower one.
    settings.classes[0].threads = 4;
    let mut gateway = TestGateway::new(settings, (1..=12).map(engine_entry).collect());
    for id in 0..60 {
        gateway.request(id);
        gateway.advance(50_000);
        gateway.handle(Event::Answer(Answer {
            id: RequestId(id),
            attempt: 0,
            outcome: Outcome::Ok,
            took: 100_000,
            complete: true,
            work: Some(100_000),
            memory_mb: Some(64.0),
            load: Load { cores: Some(busy_cores), ..Load::default() },
        }));
    }
    (100..300).map(|id| dispatches(&gateway.request(id)).len()).sum()
}

#[test]
fn gateway_exceeds_its_even_share_while_engines_report_free_cores() {
    let (idle, busy) = (in_flight_at_reported_load(0.05), in_flight_at_reported_load(1.0));
    assert!(idle * 4 >= busy * 5, "{idle} at once on idle engines, {busy} on busy ones");
}
