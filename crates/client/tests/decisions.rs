//! What is sent again, and which gateway is chosen, without sockets or clocks.

use std::time::Duration;

use violetward_client::choice::Choice;
use violetward_client::pace::Pace;
use violetward_client::resend::*;

const S: Micros = 1_000_000;

fn case(effect: Effect) -> Case {
    Case { effect, sends: 1, first_sent: 0, due: 60 * S, may_resend: true, ..Case::default() }
}

fn decide(stop: Stop, case: &Case) -> Next {
    Table::default().decide(stop, case, S, &mut Budget::new(100.0, 0.0, Duration::from_secs(5)), 0.5)
}

fn sends(next: Next) -> bool {
    matches!(next, Next::Send { .. })
}

#[test]
fn what_was_not_written_goes_again_whatever_it_is_and_what_may_have_run_only_as_its_class_allows() {
    for effect in [Effect::Repeatable, Effect::Keyed, Effect::Once] {
        assert!(sends(decide(Stop::NotWritten, &case(effect))));
        assert!(sends(decide(Stop::TurnedAway, &case(effect))));
        assert!(sends(decide(Stop::Refused, &case(effect))), "a refusal promises that it is harmless");
        assert_eq!(decide(Stop::Declined, &case(effect)), Next::End);
    }
    for stop in [Stop::PostUnanswered, Stop::Lost] {
        assert!(sends(decide(stop, &case(Effect::Repeatable))));
        assert_eq!(decide(stop, &case(Effect::Once)), Next::Unknown);
        assert_eq!(decide(stop, &case(Effect::Keyed)), Next::Unknown, "no mark and no window are known");
    }
    assert_eq!(decide(Stop::Failed, &case(Effect::Once)), Next::End);
}

#[test]
fn a_marked_statement_goes_again_only_within_the_window_that_the_service_told() {
    let marked = Case { marked: true, window: Some(Duration::from_secs(25)), ..case(Effect::Keyed) };
    assert!(sends(decide(Stop::Lost, &marked)));
    let untold = Case { window: None, ..marked.clone() };
    assert_eq!(decide(Stop::Lost, &untold), Next::Unknown);
    let late = Case { window: Some(Duration::from_millis(1010)), ..marked };
    assert_eq!(decide(Stop::Lost, &late), Next::Unknown, "the window ends before the pause does");
}

#[test]
fn by_default_the_gateway_alone_makes_attempts() {
    for effect in [Effect::Repeatable, Effect::Keyed] {
        let alone =
            Case { may_resend: false, marked: true, window: Some(Duration::from_secs(25)), ..case(effect) };
        assert_eq!(decide(Stop::Refused, &alone), Next::End);
        assert_eq!(decide(Stop::Lost, &alone), Next::Unknown);
        assert!(sends(decide(Stop::NotWritten, &alone)), "that was no attempt");
    }
}

#[test]
fn sends_are_bounded_by_number_deadline_advice_and_budget() {
    let tired = Case { sends: 3, ..case(Effect::Repeatable) };
    assert_eq!(decide(Stop::Lost, &tired), Next::Unknown);
    let due = Case { due: S + 10_000, ..case(Effect::Repeatable) };
    assert_eq!(decide(Stop::Refused, &due), Next::End);
    let told = Case { advice: Some(Duration::from_secs(7)), ..case(Effect::Repeatable) };
    assert_eq!(decide(Stop::Refused, &told), Next::Send { after: Duration::from_secs(7) });
    let mut budget = Budget::new(2.0, 0.1, Duration::from_secs(5));
    (0..20).for_each(|_| budget.begin(S));
    let table = Table::default();
    let mut made = 0;
    for _ in 0..1000 {
        made +=
            usize::from(sends(table.decide(Stop::Refused, &case(Effect::Repeatable), S, &mut budget, 0.5)));
    }
    assert_eq!(made, 4, "two, and a tenth of twenty");
    assert!(budget.take(7 * S), "in the next window there are some again");
}

#[test]
fn a_broken_poll_is_asked_again_a_few_times_and_then_is_as_good_as_lost() {
    let broken = |n| Case { broken_polls: n, ..case(Effect::Once) };
    assert!(matches!(decide(Stop::PollBroken, &broken(0)), Next::Poll { .. }));
    assert!(matches!(decide(Stop::PollBroken, &broken(3)), Next::Poll { .. }));
    assert_eq!(decide(Stop::PollBroken, &broken(4)), Next::Unknown);
    assert!(sends(decide(Stop::PollBroken, &Case { broken_polls: 4, ..case(Effect::Repeatable) })));
}

#[test]
fn pauses_grow_and_are_spread() {
    let pause = |sends, dice| {
        let case = Case { sends, ..case(Effect::Repeatable) };
        match Table::default().decide(
            Stop::Lost,
            &case,
            S,
            &mut Budget::new(9.0, 0.0, Duration::from_secs(5)),
            dice,
        ) {
            Next::Send { after } => after,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!((pause(1, 0.0), pause(1, 1.0)), (Duration::from_millis(25), Duration::from_millis(50)));
    assert_eq!(pause(2, 1.0), Duration::from_millis(100));
}

#[test]
fn the_better_of_two_gateways_is_chosen_and_a_failing_one_is_ejected_and_returns_slowly() {
    let mut choice = Choice::new(2);
    let ms = Duration::from_millis;
    let mut now = S;
    for _ in 0..50 {
        for (which, took) in [(0, 10), (1, 100)] {
            // Taken by hand: both are tried.
            choice.done(which, now, ms(took), true);
        }
    }
    assert_eq!(choice.pick(now, [0.9, 0.1], None), Some(0));
    choice.done(0, now, ms(10), true);
    for _ in 0..3 {
        choice.done(0, now, ms(1), false);
    }
    assert!(choice.is_out(0, now) && !choice.is_out(1, now));
    for d in [0.0, 0.3, 0.9] {
        assert_eq!(choice.pick(now, [d, d], None), Some(1));
    }
    now += 2 * S;
    assert!(!choice.is_out(0, now));
    assert_eq!(choice.pick(now, [0.0, 0.0], Some(1)), Some(0), "another than the one that just failed");
    // With all out, one is tried all the same.
    for which in 0..2 {
        (0..3).for_each(|_| choice.done(which, now, ms(1), false));
    }
    assert!(choice.pick(now, [0.5, 0.5], None).is_some());
    assert_eq!(Choice::new(0).pick(now, [0.0, 0.0], None), None);
}

#[test]
fn after_rows_were_handed_out_or_a_cancel_nothing_goes_again() {
    for stop in [Stop::NotWritten, Stop::Lost, Stop::Failed, Stop::Refused] {
        let fresh = case(Effect::Repeatable);
        assert!(sends(decide(stop, &fresh)));
        assert!(!sends(decide(stop, &Case { delivered: true, ..fresh.clone() })));
        assert!(!sends(decide(stop, &Case { cancelled: true, ..fresh })));
    }
}

#[test]
fn polls_that_the_service_does_not_hold_are_paced() {
    let (mut pace, ms) = (Pace::default(), Duration::from_millis);
    let pauses: Vec<_> = (0..9).map(|_| pace.pause(ms(1), false, 1.0)).collect();
    assert_eq!(pauses[..4], [ms(0), ms(10), ms(20), ms(40)]);
    assert_eq!(pauses[8], ms(500), "bounded");
    assert_eq!(pace.pause(ms(1), true, 1.0), ms(0), "rows are fetched at once");
    assert_eq!((pace.pause(ms(900), false, 1.0), pace.pause(ms(1), false, 0.0)), (ms(0), ms(0)));
    assert_eq!(pace.pause(ms(1), false, 0.0), ms(5));
}

#[test]
fn a_statement_that_any_gateway_gives_is_asked_for_longer() {
    let broken = |n, anywhere| Case { broken_polls: n, anywhere, ..case(Effect::Once) };
    assert_eq!(decide(Stop::PollBroken, &broken(4, false)), Next::Unknown);
    let Next::Poll { after } = decide(Stop::PollBroken, &broken(40, true)) else { panic!("it is given up") };
    assert!(after <= Duration::from_millis(250));
    assert_eq!(decide(Stop::PollBroken, &broken(64, true)), Next::Unknown);
}
