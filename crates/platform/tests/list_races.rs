//! Orders of events between the gateway and its resolver over real sockets, each forced by a scripted resolver.

mod bed;

use std::time::{Duration, Instant};

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;

/// Has a request served by the engine, which shows that it is listed as up.
fn assert_used(gateway: &Gateway, engine: &ScriptedEngine, number: u64) {
    let mut client = Client::connect(gateway);
    client.send(&request_id(number), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(number));
    assert_eq!(client.read_response().1, served_page(&request_id(number)));
}

/// Has a request refused, which shows that no engine is listed as up.
fn assert_unused(gateway: &Gateway, number: u64) {
    let mut client = Client::connect(gateway);
    client.send(&request_id(number), "look", 2_500);
    assert_eq!(client.read_response().1, Response::Refused);
}

#[test]
fn what_the_old_address_answers_after_a_move_does_not_count() {
    let (engine, old, new) = (ScriptedEngine::start(), ScriptedResolver::start(), ScriptedResolver::start());
    let gateway = Gateway::start(old.address, &[engine.address], &[]);
    let question = old.next_query();
    gateway.move_resolver(new.address);
    // A list that is newer than any of the new address's, in which the engine drains.
    old.send(&question, &old.encode_list(&question, 100, &[(engine.address, true)]));
    new.publish(2, &[(engine.address, false)]);
    assert_used(&gateway, &engine, 1);
}

#[test]
fn questions_get_no_rarer_while_nothing_is_heard() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    (0..12).for_each(|_| drop(resolver.next_query()));
    let silent = Instant::now();
    (0..8).for_each(|_| drop(resolver.next_query()));
    // Four in a second are usual; every 650 ms would be 5 s.
    assert!(silent.elapsed() < Duration::from_millis(4_200), "{:?} for 8 questions", silent.elapsed());
    // The first answer after all that silence counts.
    resolver.publish(2, &[(engine.address, true)]);
    assert_unused(&gateway, 1);
}

/// ConnectionEvent by reading, after engines that drain were sent requests: an answer was waited for 0.15 s and then asked for anew,
/// on another socket and under another id. From a resolver that takes longer than that no list was ever believed.
#[test]
fn the_answer_of_a_slow_resolver_counts() {
    let (engine, later) = (ScriptedEngine::start_held(), ScriptedEngine::start());
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "report", 6_000);
    client.wait_until_processed();
    let asked = resolver.next_query();
    // It has been asked again by the time it answers the first question.
    (0..2).for_each(|_| drop(resolver.next_query()));
    resolver
        .send(&asked, &resolver.encode_list(&asked, 2, &[(engine.address, true), (later.address, false)]));
    let (connection, _) = later.wait_for_command("fetch");
    later.serve(connection, &request_id(1));
    assert_eq!(client.read_response(), (1, served_page(&request_id(1))));
}

#[test]
fn an_older_list_a_second_copy_and_another_ids_answer_change_nothing() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    // Its serial is about to wrap.
    let known = ("\"known\":{\"no\":1,", "\"known\":{\"no\":4294967290,");
    let gateway = Gateway::start(resolver.address, &[engine.address], &[known]);
    let (up, draining) = ([(engine.address, false)], [(engine.address, true)]);
    resolver.publish(5, &up);
    let (first, second) = (resolver.next_query(), resolver.next_query());
    // An answer to another question, and the list of before the wrap.
    resolver.send(&second, &resolver.encode_list(&first, 9, &draining));
    resolver.send(&second, &resolver.encode_list(&second, 4_294_967_295, &draining));
    // The same list once more, and one that is older.
    resolver.publish(5, &draining);
    resolver.publish(4, &draining);
    assert_used(&gateway, &engine, 1);
    resolver.publish(6, &draining);
    assert_unused(&gateway, 2);
}

#[test]
fn a_flood_of_answers_that_do_not_fit_holds_nothing_up() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut asked = resolver.next_query();
    for _ in 0..5 {
        let noise = resolver.encode_list(&asked, 9, &[(engine.address, true)]);
        // Another id than that of the question.
        let noise = [&[!noise[0], !noise[1]], &noise[2..]].concat();
        (0..64).for_each(|_| resolver.send(&asked, &noise));
        asked = resolver.next_query();
    }
    assert_used(&gateway, &engine, 1);
    resolver.publish(2, &[(engine.address, true)]);
    assert_unused(&gateway, 2);
}
