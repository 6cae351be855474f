//! Requests pinned to one engine, by the session that they belong to.

mod common;
use common::*;
use violetward::*;

fn pin(engine: u64) -> Pin {
    Pin { engine: EngineId(engine), uses_reserve: false, finishing: false }
}

fn pinned(bed: &mut Bed, id: u64, pin: Pin) -> Vec<Action> {
    bed.ask_with(id, |r| r.pin = Some(pin))
}

#[test]
fn a_pinned_request_goes_to_its_engine_or_nowhere() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2), entry(3)]);
    for id in 0..6 {
        assert_eq!(sent(&pinned(&mut bed, id, pin(2))).iter().map(|s| s.1).collect::<Vec<_>>(), [2]);
        bed.answer(id, Outcome::Ok);
    }
    assert!(refused(&pinned(&mut bed, 10, pin(9)), 10), "it is not listed");
    // Full there, idle elsewhere: it is refused in time, and never moved.
    for id in 20..60 {
        pinned(&mut bed, id, pin(2));
    }
    let actions = bed.pass(7 * SECOND);
    let all: Vec<Action> = bed.all.iter().map(|a| a.1.clone()).chain(actions).collect();
    assert!(sent(&all).iter().filter(|s| s.0 >= 20).all(|s| s.1 == 2));
    assert!(all.iter().any(|a| matches!(a, Action::Refuse { .. })));
}

#[test]
fn what_may_have_run_in_a_session_is_never_sent_again_and_what_did_not_only_there() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
        pinned(&mut bed, 1, pin(1));
        let actions = bed.answer(1, outcome);
        assert!(failed(&actions, 1) && sent(&actions).is_empty(), "{outcome:?}: not refused, not repeated");
    }
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
    pinned(&mut bed, 1, pin(1));
    let actions = bed.answer(1, Outcome::Full);
    assert!(sent(&actions).iter().all(|s| s.1 == 1));
}

#[test]
fn a_draining_engine_takes_only_what_may_finish_there() {
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1), entry(2)]);
    let entries = vec![EngineEntry { listed: Listed::Draining, ..entry(1) }];
    bed.feed(Event::Engines { kind: ListKind::Changes, entries });
    assert!(refused(&pinned(&mut bed, 1, pin(1)), 1), "by the strict rule");
    let finishing = Pin { finishing: true, ..pin(1) };
    assert_eq!(sent(&pinned(&mut bed, 2, finishing)), [(2, 1)]);
    assert_eq!(sent(&bed.ask(3)), [(3, 2)], "new work has left");
    let entries = vec![EngineEntry { listed: Listed::Removed, ..entry(1) }];
    bed.feed(Event::Engines { kind: ListKind::Changes, entries });
    assert!(refused(&pinned(&mut bed, 4, finishing), 4), "gone is gone");
}

#[test]
fn what_ends_a_transaction_is_admitted_where_new_work_is_refused() {
    let fill = |bed: &mut Bed| {
        (100..400).for_each(|id| drop(bed.ask_with(id, |r| r.cost = SECOND)));
    };
    let mut bed = Bed::new(settings(class(Effect::Repeatable)), vec![entry(1)]);
    fill(&mut bed);
    assert!(refused(&pinned(&mut bed, 1, pin(1)), 1), "the debt is at its bound");
    let reserve = Pin { uses_reserve: true, ..pin(1) };
    assert!(!refused(&bed.ask_with(2, |r| (r.pin, r.cost) = (Some(reserve), 1000)), 2));
}
