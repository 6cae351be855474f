//! Orders of events between the gateway and its engines over real connections, each forced by a scripted engine.

mod bed;

use bed::scripted::*;
use violetward_standin::platform::page;

/// Makes the first class unsafe to repeat.
const UNSAFE: (&str, &str) = (
    r#""Effect": "repeatable", "Group": "all", "HardLimitUs": 3000000"#,
    r#""Effect": "once", "Group": "all", "HardLimitUs": 3000000"#,
);

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
