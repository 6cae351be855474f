//! One test or more for each of the seven rules.

mod common;
use common::*;
use violetward::*;

#[test]
fn every_request_gets_one_final_answer_before_it_is_due() {
    let mut bed = Bed::new(settings(class(Effect::Once)), vec![entry(1)]);
    for id in 0..40 {
        bed.ask(id);
    }
    bed.pass(6 * SECOND);
    for id in 0..40 {
        let was_sent = bed.all.iter().any(|(_, a)| sent(std::slice::from_ref(a)).iter().any(|s| s.0 == id));
        let ends: Vec<Micros> = bed
            .all
            .iter()
            .filter(|(_, a)| refused(std::slice::from_ref(a), id) || failed(std::slice::from_ref(a), id))
            .map(|e| e.0)
            .collect();
        assert_eq!(ends.len(), usize::from(!was_sent), "request {id}");
        assert!(ends.iter().all(|&at| at <= 105 * SECOND));
    }
}

#[test]
fn nothing_goes_out_after_the_client_has_left() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
    assert_eq!(sent(&bed.ask(1)).len(), 1);
    let actions = bed.feed(Event::Lapsed(RequestId(1)));
    assert_eq!(actions, [Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert!(sent(&bed.answer(1, Outcome::Cancelled)).is_empty());
    assert!(sent(&bed.pass(6 * SECOND)).is_empty());
}

#[test]
fn a_once_request_that_may_have_run_is_failed_and_not_sent_again() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut bed = Bed::new(settings(class(Effect::Once)), vec![entry(1), entry(2)]);
        bed.ask(1);
        let actions = bed.answer(1, outcome);
        assert!(failed(&actions, 1) && sent(&actions).is_empty(), "{outcome:?}");
    }
}

#[test]
fn a_once_request_that_surely_never_ran_is_sent_again_elsewhere() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let mut bed = Bed::new(settings(class(Effect::Once)), vec![entry(1), entry(2)]);
        let first = sent(&bed.ask(1))[0].1;
        let again = sent(&bed.answer(1, outcome));
        assert_eq!(again, [(1, 3 - first)], "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_stays_in_its_zone_or_cell_and_is_never_refused_there() {
    for scope in [KeyScope::Zone, KeyScope::Cell] {
        let effect = Effect::Keyed { scope, window: 20 * SECOND };
        let other = EngineEntry { zone: ZoneId(1), cell: CellId(1), ..entry(2) };
        let mut bed = Bed::new(settings(class(effect)), vec![entry(1)]);
        assert_eq!(sent(&bed.ask(1)), [(1, 1)]);
        let gone = EngineEntry { listed: Listed::Draining, ..entry(1) };
        bed.feed(Event::Engines { kind: ListKind::Changes, entries: vec![gone, other] });
        let actions = bed.answer(1, Outcome::Reset);
        assert!(failed(&actions, 1) && sent(&actions).is_empty(), "{scope:?}");
    }
}

#[test]
fn a_keyed_request_is_not_sent_after_its_window() {
    let effect = Effect::Keyed { scope: KeyScope::All, window: SECOND };
    for (pause, again) in [(SECOND / 2, 1), (2 * SECOND, 0)] {
        let mut bed = Bed::new(settings(class(effect)), vec![entry(1), entry(2)]);
        bed.ask(1);
        bed.now += pause;
        assert_eq!(sent(&bed.answer(1, Outcome::Reset)).len(), again);
    }
}

#[test]
fn never_two_attempts_at_once() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
    bed.ask(1);
    assert!(sent(&bed.pass(4 * SECOND)).is_empty());
    assert!(sent(&bed.ask(1)).is_empty(), "a repeated event is ignored");
}

#[test]
fn an_engine_that_drains_or_is_gone_gets_nothing_new() {
    for listed in [Listed::Draining, Listed::Removed] {
        let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
        let entries = vec![EngineEntry { listed, ..entry(1) }];
        bed.feed(Event::Engines { kind: ListKind::Changes, entries });
        let mut all = Vec::new();
        for id in 0..30 {
            all.extend(bed.ask(id));
        }
        all.extend(bed.pass(SECOND));
        assert!(!sent(&all).is_empty() && sent(&all).iter().all(|s| s.1 == 2), "{listed:?}");
    }
}

#[test]
fn what_is_missing_from_a_whole_list_is_gone() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
    bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![entry(2)] });
    let all: Vec<Action> = (0..20).flat_map(|id| bed.ask(id)).collect();
    assert!(sent(&all).iter().all(|s| s.1 == 2));
}

#[test]
fn a_cold_engine_gets_no_more_than_this_gateways_part() {
    let mut s = settings(class(Effect::Repeatable));
    s.gateways = 4;
    let cold = EngineEntry { came_up: 99 * SECOND, ..entry(1) };
    let mut bed = Bed::new(s, vec![cold]);
    let mut sends = 0;
    for id in 0..200 {
        sends += sent(&bed.ask(id)).len();
        sends += sent(&bed.answer(id, Outcome::Ok)).len();
        bed.now += 2_000;
    }
    // 0.4 s pass; each attempt weighs 0.1 s; the whole fleet may send 4 × 0.3 × 4 cores × 0.85 × 1 s = 4.08 s.
    assert!(sends as f64 * 0.1 <= 4.08 / 4.0, "{sends}");
    assert!(sends > 0);
}

/// What a cold engine gets within one span from a gateway of four, after `before` has happened to it.
fn sent_to_a_cold_one_after(before: impl FnOnce(&mut Bed, EngineEntry) -> f64) -> f64 {
    let mut s = settings(class(Effect::Repeatable));
    (s.gateways, s.budget) = (4, None);
    let cold = EngineEntry { came_up: 99 * SECOND, ..entry(1) };
    let mut bed = Bed::new(s, vec![entry(1)]);
    let mut work = before(&mut bed, cold);
    for id in 1_000..1_200 {
        let sends = sent(&bed.ask(id)).len() + sent(&bed.answer(id, Outcome::Ok)).len();
        work += 0.1 * sends as f64;
        bed.now += 2_000;
    }
    work
}

/// As above: 4.08 s for the whole fleet within the span, this gateway's part of it.
const PART_OF_FOUR: f64 = 4.08 / 4.0;

#[test]
fn an_older_list_does_not_make_a_cold_engine_warm() {
    let work = sent_to_a_cold_one_after(|bed, cold| {
        bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![cold] });
        bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![entry(1)] });
        0.0
    });
    assert!(work > 0.0 && work <= PART_OF_FOUR, "{work}");
}

#[test]
fn a_list_that_lacks_a_cold_engine_for_a_moment_gives_no_second_part() {
    let work = sent_to_a_cold_one_after(|bed, cold| {
        let mut work = 0.0;
        for id in 0..20 {
            bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![cold.clone()] });
            work += 0.1 * (sent(&bed.ask(id)).len() + sent(&bed.answer(id, Outcome::Ok)).len()) as f64;
            bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![] });
            bed.now += 2_000;
        }
        bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![cold] });
        work
    });
    assert!(work > 0.0 && work <= PART_OF_FOUR, "{work}");
}

#[test]
fn what_was_sent_before_the_list_told_of_the_start_counts_in_the_part() {
    let work = sent_to_a_cold_one_after(|bed, cold| {
        let mut before = 0.0;
        for id in 0..8 {
            before += 0.1 * (sent(&bed.ask(id)).len() + sent(&bed.answer(id, Outcome::Ok)).len()) as f64;
            bed.now += SECOND / 20;
        }
        bed.feed(Event::Engines { kind: ListKind::Whole, entries: vec![cold] });
        before
    });
    assert!(work > 0.0 && work <= PART_OF_FOUR, "{work}");
}

#[test]
fn requests_of_a_key_run_one_at_a_time_in_their_order() {
    let mut ordered = class(Effect::Keyed { scope: KeyScope::All, window: 20 * SECOND });
    ordered.in_order = true;
    let mut s = settings(ordered);
    s.key_cooldown = SECOND / 2;
    let mut bed = Bed::new(s, vec![entry(1), entry(2)]);
    let key = |r: &mut Request| r.key = Some(OrderKey("a".into()));
    assert_eq!(sent(&bed.ask_with(1, key)).len(), 1);
    assert!(sent(&bed.ask_with(2, key)).is_empty());
    assert_eq!(sent(&bed.ask(3)).len(), 1, "without a key nothing is bound");
    // The first lapses while it is out: the key waits for its answer and then rests.
    assert!(sent(&bed.feed(Event::Lapsed(RequestId(1)))).is_empty());
    assert!(sent(&bed.answer(1, Outcome::Cancelled)).is_empty());
    assert!(sent(&bed.pass(SECOND * 4 / 10)).is_empty());
    assert_eq!(sent(&bed.pass(SECOND / 5))[0].0, 2);
}

#[test]
fn a_bound_class_goes_only_where_it_may() {
    let mut bound = class(Effect::Repeatable);
    bound.kinds = Some(vec![KindId(1)]);
    bound.zones = Some(vec![ZoneId(0)]);
    let right = EngineEntry { kind: KindId(1), ..entry(3) };
    let wrong_zone = EngineEntry { kind: KindId(1), zone: ZoneId(1), ..entry(2) };
    let mut bed = Bed::new(settings(bound), vec![entry(1), wrong_zone, right]);
    let mut all = Vec::new();
    for id in 0..20 {
        all.extend(bed.ask(id));
    }
    all.extend(bed.answer(0, Outcome::ConnectFailed));
    all.extend(bed.pass(SECOND));
    assert!(!sent(&all).is_empty() && sent(&all).iter().all(|s| s.1 == 3));
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings(class(Effect::Repeatable));
    s.budget = Some(AttemptBudget { free: 2.0, per_request: 0.1, window: 5 * SECOND });
    let mut bed = Bed::new(s, (1..9).map(entry).collect());
    let mut extras = 0;
    for id in 0..10 {
        bed.ask(id);
        extras += sent(&bed.answer(id, Outcome::Full)).len();
    }
    assert_eq!(extras, 3, "2 and a tenth of 10 requests");
}

#[test]
fn a_request_has_no_more_attempts_than_allowed() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), (1..9).map(entry).collect());
    bed.ask(1);
    assert_eq!(sent(&bed.answer(1, Outcome::Full)).len(), 1);
    assert_eq!(sent(&bed.answer(1, Outcome::Full)).len(), 1);
    assert!(refused(&bed.answer(1, Outcome::Full), 1));
}

#[test]
fn what_times_out_with_its_client_is_ended_and_tries_no_sick_engine() {
    // As reported: a time-out at the deadline, and an engine left alone that awaits a trial by a request.
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
    let due = bed.now + 5 * SECOND;
    let other = sent(&bed.ask_with(1, |r| r.deadline = due))[0].1;
    for id in 2..20 {
        for (id, engine) in sent(&bed.ask_with(id, |r| r.group = GroupId(id))) {
            bed.answer(id, if engine == other { Outcome::Ok } else { Outcome::Error });
        }
    }
    assert!(bed.all.iter().any(|(_, a)| matches!(a, Action::Log(t) if t.contains("left alone"))));
    bed.pass(due - bed.now);
    let actions = bed.answer(1, Outcome::Timeout);
    assert!(refused(&actions, 1) && sent(&actions).is_empty(), "{actions:?}");
}

#[test]
fn what_is_due_before_the_next_tick_is_ended_as_it_comes() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1)]);
    for id in 0..20 {
        bed.ask_with(id, |r| r.cost = 1_000);
    }
    bed.pass(SECOND / 2);
    let due = bed.now + 50_000;
    let ended = |bed: &Bed| refused(&bed.all.iter().map(|a| a.1.clone()).collect::<Vec<_>>(), 100);
    bed.ask_with(100, |r| (r.cost, r.deadline) = (1_000, due));
    assert!(ended(&bed));
}

/// The share of the fleet as others' deaths leave it: more may run at once on warm engines, and a cold one gets no more
/// than this gateway's even part, whatever is believed of the others.
#[test]
fn a_told_share_moves_what_runs_on_warm_engines_and_never_what_a_cold_one_gets() {
    let out_at_once = |share: Option<f64>| {
        let mut settings = settings(class(Effect::Repeatable));
        (settings.gateways, settings.load_reports) = (4, LoadReports::None);
        let mut bed = Bed::new(settings, (1..=4).map(entry).collect());
        share.into_iter().for_each(|share| drop(bed.feed(Event::FleetShare(share))));
        (0..200).flat_map(|id| sent(&bed.ask(id))).count()
    };
    let even = out_at_once(None);
    assert_eq!(out_at_once(Some(0.25)), even);
    let (half, whole) = (out_at_once(Some(0.5)), out_at_once(Some(1.0)));
    assert!(half > even && whole > half, "{even}, {half}, {whole}");
    assert!(out_at_once(Some(0.05)) < even);

    let to_a_cold_one = |share: f64| {
        let mut s = settings(class(Effect::Repeatable));
        s.gateways = 4;
        let mut bed = Bed::new(s, vec![EngineEntry { came_up: 99 * SECOND, ..entry(1) }]);
        bed.feed(Event::FleetShare(share));
        let mut sends = 0;
        for id in 0..200 {
            sends += sent(&bed.ask(id)).len() + sent(&bed.answer(id, Outcome::Ok)).len();
            bed.now += 2_000;
        }
        // As in the test above: 0.1 s each, of 4.08 s for the whole fleet.
        sends as f64 * 0.1
    };
    assert!(to_a_cold_one(1.0) <= 4.08 / 4.0, "{}", to_a_cold_one(1.0));
    assert!(to_a_cold_one(0.1) <= 4.08 * 0.1, "{}", to_a_cold_one(0.1));
}

/// Rules that narrow while requests wait and run: what is out goes on, what waits is refused at once where it may go nowhere
/// any more, and comes in again once the rules allow it.
#[test]
fn narrower_rules_hold_for_what_waits_and_leave_what_is_out() {
    let settings = settings(class(Effect::Repeatable));
    let rules = |kinds| match ruled(&settings, kinds, settings.budget.clone()) {
        Event::Rules { classes, tenants, budget, .. } => {
            Event::Rules { classes, tenants, attempts_cap: 1, budget }
        }
        other => other,
    };
    let mut bed = Bed::new(settings.clone(), vec![entry(1)]);
    let asked: Vec<(u64, Vec<Action>)> = (0..60).map(|id| (id, bed.ask(id))).collect();
    let out: Vec<u64> = asked.iter().filter(|(_, a)| !sent(a).is_empty()).map(|a| a.0).collect();
    let waits: Vec<u64> =
        asked.iter().filter(|(id, a)| sent(a).is_empty() && !refused(a, *id)).map(|a| a.0).collect();
    assert!(!out.is_empty() && !waits.is_empty(), "{out:?} are out, {waits:?} wait");

    let actions = bed.feed(rules(Some(Vec::new())));
    assert!(waits.iter().all(|&id| refused(&actions, id)), "what waits is refused at once");
    assert!(out.iter().all(|&id| !refused(&actions, id) && !failed(&actions, id)), "what is out goes on");
    assert!(refused(&bed.ask(100), 100));
    // No further attempt goes where it may not any more.
    let last = out[0];
    assert!(sent(&bed.answer(last, Outcome::Full)).is_empty());

    bed.feed(rules(None));
    assert_eq!(sent(&bed.ask(101)).len() + usize::from(!refused(&bed.ask(102), 102)), 2);
    // Rules for other classes than those of the settings are none.
    let odd = Event::Rules { classes: vec![], tenants: vec![], attempts_cap: 0, budget: None };
    bed.feed(odd);
    assert!(!refused(&bed.ask(103), 103));
}

fn ruled(settings: &Settings, kinds: Option<Vec<KindId>>, budget: Option<AttemptBudget>) -> Event {
    Event::Rules {
        classes: settings.classes.iter().map(|c| Class { kinds: kinds.clone(), ..c.clone() }).collect(),
        tenants: settings.tenants.clone(),
        attempts_cap: settings.attempts_cap,
        budget,
    }
}

/// What was spent under the wider budget counts in the narrower one: nothing more goes out until the window has let it go.
#[test]
fn a_budget_that_is_lowered_half_spent_counts_what_was_spent() {
    let mut s = settings(class(Effect::Repeatable));
    let budget = |free| Some(AttemptBudget { free, per_request: 0.0, window: 5 * SECOND });
    s.budget = budget(4.0);
    let mut bed = Bed::new(s.clone(), (1..9).map(entry).collect());
    let extras = |bed: &mut Bed, ids: std::ops::Range<u64>| {
        let one = |id| {
            bed.ask(id);
            sent(&bed.answer(id, Outcome::Full)).len()
        };
        ids.map(one).sum::<usize>()
    };
    assert_eq!(extras(&mut bed, 0..2), 2, "half of four");
    bed.feed(ruled(&s, None, budget(2.0)));
    assert_eq!(extras(&mut bed, 2..6), 0, "two of two are spent");
    bed.feed(ruled(&s, None, budget(3.0)));
    assert_eq!(extras(&mut bed, 6..10), 1);
    bed.pass(6 * SECOND);
    assert_eq!(extras(&mut bed, 10..16), 3);
}

/// Loads of one key queued across a change: the one that is out ends as it was begun, the next one goes where the newer rules
/// allow it, in its turn.
#[test]
fn a_key_keeps_its_order_across_new_rules() {
    let mut ordered = class(Effect::Keyed { scope: KeyScope::All, window: 20 * SECOND });
    ordered.in_order = true;
    let mut s = settings(ordered);
    s.kinds.push(s.kinds[0].clone());
    let mut bed = Bed::new(s.clone(), vec![entry(1), EngineEntry { kind: KindId(1), ..entry(2) }]);
    let key = |r: &mut Request| r.key = Some(OrderKey("a".into()));
    let first = sent(&bed.ask_with(1, key))[0];
    assert!(sent(&bed.ask_with(2, key)).is_empty() && sent(&bed.ask_with(3, key)).is_empty());
    // From now on only where the first one is not.
    let other = KindId(if first.1 == 1 { 1 } else { 0 });
    let actions = bed.feed(ruled(&s, Some(vec![other]), s.budget.clone()));
    assert!(sent(&actions).is_empty() && !refused(&actions, 2) && !refused(&actions, 3), "{actions:?}");
    assert_eq!(sent(&bed.answer(1, Outcome::Ok)), [(2, 3 - first.1)]);
    assert_eq!(sent(&bed.answer(2, Outcome::Ok)), [(3, 3 - first.1)]);
}

/// What is projected for a loss: of each class the part that is told is let in, of own clients and of guests, and who is turned
/// away hears so at once, with a time to come back. What is bound to its engine is always let in.
#[test]
fn of_each_class_the_part_that_is_told_is_let_in_and_the_rest_is_refused_at_once() {
    let mut settings = settings(class(Effect::Repeatable));
    settings.max_retry_after = Some(30 * SECOND);
    let mut bed = Bed::new(settings, (1..=4).map(entry).collect());
    bed.feed(Event::AdmitFractions { own: vec![0.25], guests: vec![0.0], min_retry_after: 2 * SECOND });
    let mut turned_away = Vec::new();
    for id in 0..400 {
        for action in bed.ask(id) {
            if let Action::Refuse { retry_after, .. } = action {
                turned_away.push(retry_after);
            }
        }
        bed.answer(id, Outcome::Ok);
        bed.pass(SECOND / 10);
    }
    assert!((270..=330).contains(&turned_away.len()), "{}", turned_away.len());
    assert!(turned_away.iter().all(|advice| (SECOND..=3 * SECOND).contains(advice)), "{turned_away:?}");
    let guest = |bed: &Bed, id: u64, pin: Option<Pin>| Request {
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
        deadline: bed.now + 5 * SECOND,
    };
    let free = Event::Guest(guest(&bed, 1_000, None));
    assert!(refused(&bed.feed(free), 1_000));
    let pin = Pin { engine: EngineId(1), uses_reserve: false, finishing: false };
    let pinned = Event::Guest(guest(&bed, 1_001, Some(pin)));
    assert!(!refused(&bed.feed(pinned), 1_001));
    // Nothing told: all are let in again.
    bed.feed(Event::AdmitFractions { own: vec![], guests: vec![], min_retry_after: 0 });
    for id in 2_000..2_040 {
        assert!(!refused(&bed.ask(id), id));
        bed.answer(id, Outcome::Ok);
        bed.pass(SECOND / 10);
    }
}
