//! The checker of a soak finds forged breaks of each rule, and lets pass what the rules allow.

use std::time::Duration;

use violetward_lab::soak::check::check;
use violetward_lab::soak::record::{Event, Written};
use violetward_lab::soak::schedule::Day;

const ID: u64 = 7;
const GATEWAY: usize = 1;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request that is written at 10 s and waited for 2 s, and what else is seen of it; the day ends at 30 s.
fn breaks(change: impl Fn(&mut Written), seen: &[(u64, Event)]) -> Vec<&'static str> {
    let wait = at(2_000);
    let mut written =
        Written { id: ID, gateway: GATEWAY, held: Duration::ZERO, wait, unsafe_to_repeat: false };
    change(&mut written);
    let mut records = vec![(at(10_000), Event::Written(written))];
    records.extend(seen.iter().map(|(millis, event)| (at(*millis), event.clone())));
    records.push((at(30_000), Event::Stopped { gateway: GATEWAY + 1, span: Duration::ZERO }));
    records.sort_by_key(|(at, _)| *at);
    check(&records).into_iter().map(|found| found.rule).collect()
}

fn plain(seen: &[(u64, Event)]) -> Vec<&'static str> {
    breaks(|_| {}, seen)
}

fn answered(millis: u64) -> (u64, Event) {
    (millis, Event::Answered { id: ID, served: true, right: true })
}

fn fetched(millis: u64, engine: usize, patience: u64) -> (u64, Event) {
    (millis, Event::Fetched { id: ID, engine, patience: at(patience) })
}

fn ended(millis: u64, crossed: bool) -> (u64, Event) {
    (millis, Event::Ended { id: ID, crossed })
}

const NONE: [&str; 0] = [];

#[test]
fn a_request_has_one_right_answer_in_its_time() {
    assert_eq!(plain(&[answered(11_000)]), NONE);
    assert_eq!(plain(&[answered(12_600)]), NONE, "late, and within the tolerance");
    assert_eq!(plain(&[answered(12_700)]), ["lost"]);
    assert_eq!(plain(&[]), ["lost"]);
    assert_eq!(plain(&[answered(11_000), answered(11_001)]), ["lost"]);
    assert_eq!(plain(&[(11_000, Event::Answered { id: ID, served: true, right: false })]), ["lost"]);
    assert_eq!(breaks(|w| w.held = at(1_000), &[answered(12_000)]), ["lost"], "held back for a second");
    assert_eq!(breaks(|w| w.held = at(1_000), &[answered(11_600)]), NONE);
    assert_eq!(plain(&[(10_500, Event::Left { id: ID })]), NONE);
}

#[test]
fn a_connection_ends_behind_its_answers() {
    assert_eq!(plain(&[ended(10_500, false)]), ["lost"]);
    assert_eq!(plain(&[ended(10_040, true)]), NONE, "it crossed the close of a resting connection");
    let killed = |after_sigterm| (10_490, Event::Killed { gateway: GATEWAY, after_sigterm });
    assert_eq!(plain(&[killed(false), ended(10_500, false)]), NONE);
    let other = (10_490, Event::Killed { gateway: GATEWAY + 1, after_sigterm: false });
    assert_eq!(plain(&[other, ended(10_500, false)]), ["lost"]);
    // Written a second after SIGTERM, it has to be answered before SIGKILL.
    let terminated = (9_000, Event::Terminated { gateway: GATEWAY });
    assert_eq!(plain(&[terminated.clone(), killed(true), ended(10_500, false)]), ["lost"]);
    assert_eq!(
        plain(&[terminated, killed(false), ended(10_500, false)]),
        NONE,
        "it had ended and was started again"
    );
    let terminated = (9_500, Event::Terminated { gateway: GATEWAY });
    assert_eq!(plain(&[terminated, killed(true), ended(10_500, false)]), NONE);
}

#[test]
fn a_gateway_that_stands_still_has_time_to_catch_up_and_no_more() {
    let stopped = (11_500, Event::Stopped { gateway: GATEWAY, span: at(1_500) });
    assert_eq!(plain(&[stopped.clone(), answered(13_500)]), NONE);
    assert_eq!(plain(&[stopped, answered(13_700)]), ["lost"]);
    let another = (11_500, Event::Stopped { gateway: GATEWAY + 1, span: at(1_500) });
    assert_eq!(plain(&[another, answered(13_500)]), ["lost"]);
}

#[test]
fn nothing_has_its_effect_twice() {
    let twice = [fetched(10_010, 1, 1_900), fetched(10_200, 2, 1_700), answered(10_300)];
    assert_eq!(plain(&twice), NONE, "it may be repeated");
    assert_eq!(breaks(|w| w.unsafe_to_repeat = true, &twice), ["duplicate"]);
    let mut away = twice.to_vec();
    away.push((10_020, Event::TurnedAway { id: ID }));
    assert_eq!(breaks(|w| w.unsafe_to_repeat = true, &away), NONE);
    assert_eq!(breaks(|w| w.id = ID + 1, &[fetched(10_010, 1, 1_900)]), ["lost", "lost"], "of nobody's");
}

#[test]
fn nothing_begins_for_a_client_that_has_left() {
    let left = (10_100, Event::Left { id: ID });
    assert_eq!(plain(&[left.clone(), fetched(10_300, 1, 1_700)]), NONE);
    assert_eq!(plain(&[left, fetched(10_400, 1, 1_600)]), ["lost"]);
}

#[test]
fn an_engine_is_told_no_more_patience_than_is_left() {
    assert_eq!(plain(&[fetched(11_000, 1, 1_250), answered(11_500)]), NONE);
    assert_eq!(plain(&[fetched(11_000, 1, 1_350), answered(11_500)]), ["patience"]);
    assert_eq!(breaks(|w| w.held = at(400), &[fetched(10_010, 1, 1_985), answered(11_000)]), ["patience"]);
}

#[test]
fn nothing_goes_to_an_engine_that_drains() {
    let drains = |millis| (millis, Event::Drains { engine: 1 });
    let sent = [fetched(10_200, 1, 1_700), answered(10_300)];
    let with = |more: &[(u64, Event)]| plain(&[&sent[..], more].concat());
    assert_eq!(with(&[drains(8_300)]), NONE, "within the time to be told and the grace");
    assert_eq!(with(&[drains(8_200)]), ["drain"]);
    let silent = (8_000, Event::ListTroubled { span: at(1_000) });
    assert_eq!(with(&[drains(8_200), silent.clone()]), NONE, "the list was silent");
    let silent_before = (5_000, Event::ListTroubled { span: at(1_000) });
    assert_eq!(with(&[drains(8_200), silent_before]), ["drain"]);
    let told =
        |millis, gateway, ready: &[usize]| (millis, Event::ListTold { gateway, ready: ready.to_vec() });
    assert_eq!(with(&[drains(9_000), told(9_500, GATEWAY, &[0, 2])]), ["drain"], "an answer said so");
    assert_eq!(with(&[drains(9_000), told(9_900, GATEWAY, &[0, 2])]), NONE, "within the grace");
    assert_eq!(with(&[drains(9_000), told(9_500, GATEWAY, &[0, 1])]), NONE, "listed as ready");
    assert_eq!(with(&[drains(9_000), told(9_500, GATEWAY + 1, &[0, 2])]), NONE, "another gateway");
    assert_eq!(
        with(&[silent, drains(8_200), told(9_500, GATEWAY, &[0, 2])]),
        ["drain"],
        "told in spite of it"
    );
}

#[test]
fn a_day_is_its_seeds() {
    let day = |seed| Day::draw(seed, 5, at(15_000));
    assert_eq!(day(3), day(3));
    assert_ne!(day(3).events, day(4).events);
    assert!((1..20).all(|seed| day(seed).events.len() > 5));
    let lists = |seed| Day::draw_lists(seed, 5, at(15_000));
    assert_eq!(lists(3), lists(3));
    assert!(lists(3).events.len() > 20);
}
