//! Orders of events between the gateway and its engines over real connections, each forced by a scripted engine.

mod bed;

use bed::scripted::*;
use violetward_standin::platform::page;

/// Makes the first class unsafe to repeat.
const UNSAFE: (&str, &str) = (
    r#""Effect": "repeatable", "Group": "all", "HardLimitUs": 3000000"#,
    r#""Effect": "once", "Group": "all", "HardLimitUs": 3000000"#,
);

/// Leaves room for eight connections to engines.
const EIGHT_CONNECTIONS: (&str, &str) = ("\"sockets\":256", "\"sockets\":48");

/// A gateway with one engine and a resolver that says nothing: the list of the start stands.
fn one_engine(changes: &[(&str, &str)]) -> (Gateway, ScriptedEngine) {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], changes);
    // Its socket stays open, so that no question is refused.
    std::mem::forget(resolver);
    (gateway, engine)
}

#[test]
fn a_second_refusal_never_ends_the_attempt_after_it() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&id(1), "look", 2_500);
    let (first, _) = engine.command("fetch");
    engine.say(first, [&id(1), "refused", "-", ""]);
    let (second, _) = engine.command("fetch");
    assert_ne!(
        first, second,
        "answers name the request alone: one connection cannot tell its attempts apart"
    );
    engine.say(first, [&id(1), "refused", "-", ""]);
    engine.serve(second, &id(1));
    assert_eq!(client.read().1, served(&id(1)));
}

#[test]
fn a_refusal_behind_a_good_end_is_no_proof_that_nothing_ran() {
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&id(1), "look", 2_500);
    let (connection, _) = engine.command("fetch");
    engine.say(connection, [&id(1), "ok", "batches=2", &page(&id(1), 0)]);
    engine.say(connection, [&id(1), "refused", "-", ""]);
    assert_eq!(client.read().1, Got::Failed, "it ran");
    assert_eq!(engine.fetches(), Vec::<String>::new(), "it was sent a second time");
}

#[test]
fn behind_half_an_answer_nothing_more_is_asked() {
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&id(1), "look", 300);
    let (first, _) = engine.command("fetch");
    let whole = answer([&id(1), "ok", GOOD, &page(&id(1), 0)]);
    engine.write(first, &whole[..whole.len() / 2]);
    assert_eq!(client.read().1, Got::Failed, "it may have run");
    client.send(&id(2), "look", 2_500);
    let (second, _) = engine.command("fetch");
    assert_ne!(first, second, "the answer would be read as the rest of the first one");
    engine.serve(second, &id(2));
    assert_eq!(client.read().1, served(&id(2)));
}

#[test]
fn behind_half_a_second_answer_nothing_more_is_asked() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&id(1), "look", 2_500);
    let (first, _) = engine.command("fetch");
    let whole = answer([&id(1), "ok", GOOD, &page(&id(1), 0)]);
    // The second copy breaks off, and comes in the same breath as the first.
    engine.write(first, &[&whole[..], &whole[..whole.len() / 2]].concat());
    assert_eq!(client.read().1, served(&id(1)));
    client.send(&id(2), "look", 2_500);
    let (second, _) = engine.command("fetch");
    assert_ne!(first, second, "the answer would be read as the rest of the first one");
    engine.serve(second, &id(2));
    assert_eq!(client.read().1, served(&id(2)));
}

#[test]
fn connections_stay_in_their_bound_when_idle_ones_make_room() {
    let (one, two, resolver) = (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[one.address], &[EIGHT_CONNECTIONS]);
    let mut client = Client::connect(&gateway);
    // All eight go to the only engine, and rest there.
    for n in 0..8 {
        client.send(&id(n), "look", 2_500);
    }
    let fetches: Vec<_> = (0..8).map(|_| one.command("fetch")).collect();
    fetches.iter().for_each(|(connection, words)| one.serve(*connection, &words[1]));
    fetches.iter().for_each(|_| assert!(matches!(client.read().1, Got::Served(_))));
    assert_eq!(one.open(), 8);
    let question = resolver.question();
    resolver.send(&question, &resolver.list(&question, 2, &[(one.address, false), (two.address, false)]));
    resolver.question();
    // In one breath: each one for the other engine needs a connection of its own to be closed.
    client.send_burst((100..108).map(id), "look", 2_500);
    let (sent_to_one, sent_to_two) = (one.fetches(), two.fetches());
    assert!(sent_to_two.len() > 2, "{sent_to_one:?} and {sent_to_two:?}");
    assert!(one.open() + two.open() <= 8, "{} and {}", one.open(), two.open());
}

#[test]
fn where_no_connection_may_be_added_requests_share_those_of_their_engine() {
    let (one, two, resolver) = (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[one.address], &[EIGHT_CONNECTIONS]);
    let mut client = Client::connect(&gateway);
    // Seven are in use at an engine that may have four once there are two.
    for n in 0..7 {
        client.send(&id(n), "look", 2_500);
    }
    (0..7).for_each(|_| drop(one.command("fetch")));
    let question = resolver.question();
    resolver.send(&question, &resolver.list(&question, 2, &[(one.address, false), (two.address, false)]));
    resolver.question();
    client.send_burst((100..104).map(id), "look", 2_500);
    let (sent_to_one, sent_to_two) = (one.fetches(), two.fetches());
    assert!(sent_to_two.len() > 1, "{sent_to_one:?} and {sent_to_two:?}");
    assert_eq!(sent_to_one.len() + sent_to_two.len(), 4, "one waits for a connection that nobody may dial");
    assert!(one.open() + two.open() <= 8);
}

#[test]
fn a_probe_whose_connection_breaks_is_asked_again() {
    let engines = [(); 3].map(|()| ScriptedEngine::start());
    let resolver = ScriptedResolver::start();
    let addresses = engines.each_ref().map(|engine| engine.address);
    let gateway = Gateway::start(resolver.address, &addresses, &[UNSAFE]);
    let mut client = Client::connect(&gateway);
    // Each engine has one request. One gives no answer for so long that it is checked.
    for n in 0..3 {
        client.send(&id(n), "look", 3_500);
    }
    let asked = engines.each_ref().map(|engine| engine.command("fetch"));
    for (engine, (connection, words)) in engines.iter().zip(&asked).skip(1) {
        engine.serve(*connection, &words[1]);
        assert!(matches!(client.read().1, Got::Served(_)));
    }
    let (probed, _) = engines[0].command("stats");
    assert_ne!(asked[0].0, probed, "a connection of its own");
    engines[0].reset(probed);
    let (probed, words) = engines[0].command("stats");
    engines[0].say(probed, [&words[1], "yes", "l=util:0.25", ""]);
    // It is not left alone: it gets its part of these, and not one as a trial.
    client.send_burst((10..22).map(id), "look", 2_500);
    assert!(engines[0].fetches().len() > 1);
}

#[test]
fn connections_to_the_process_before_are_not_used_once_a_new_one_is_listed() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&id(1), "look", 2_500);
    let (first, _) = engine.command("fetch");
    engine.serve(first, &id(1));
    assert_eq!(client.read().1, served(&id(1)));
    let question = resolver.question();
    let mut list = resolver.list(&question, 2, &[(engine.address, false)]);
    let started = list.windows(9).position(|w| w == b"started=0").unwrap();
    list[started + 8] = b'9';
    resolver.send(&question, &list);
    resolver.question();
    client.send(&id(2), "look", 2_500);
    let (second, _) = engine.command("fetch");
    assert_ne!(first, second, "it belongs to a process that has ended");
}
