//! Orders of events between the gateway and its engines over real connections, each forced by a scripted engine.

mod bed;

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;
use violetward_standin::platform::page;

/// Makes the first class unsafe to repeat.
const UNSAFE: (&str, &str) = (
    r#""Effect": "repeatable", "Group": "all", "HardLimitUs": 3000000"#,
    r#""Effect": "once", "Group": "all", "HardLimitUs": 3000000"#,
);

/// Leaves room for eight connections to engines.
const EIGHT_CONNECTIONS: (&str, &str) = ("\"sockets\":256", "\"sockets\":48");

/// A gateway with one engine and a resolver that says nothing: the list of the start stands. No dial is late, so that there
/// is one connection as long as one is enough.
fn one_engine(changes: &[(&str, &str)]) -> (Gateway, ScriptedEngine) {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway =
        Gateway::start(resolver.address, &[engine.address], &[changes, &[LONG_CONNECT_TIMEOUT]].concat());
    // Its socket stays open, so that no question is refused.
    std::mem::forget(resolver);
    (gateway, engine)
}

#[test]
fn a_second_refusal_never_ends_the_attempt_after_it() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.send_answer(first, [&request_id(1), "refused", "-", ""]);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(
        first, second,
        "answers name the request alone: one connection cannot tell its attempts apart"
    );
    engine.send_answer(first, [&request_id(1), "refused", "-", ""]);
    engine.serve(second, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
}

#[test]
fn a_refusal_behind_a_good_end_is_no_proof_that_nothing_ran() {
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.send_answer(connection, [&request_id(1), "ok", "batches=2", &page(&request_id(1), 0)]);
    engine.send_answer(connection, [&request_id(1), "refused", "-", ""]);
    assert_eq!(client.read_response().1, Response::Failed, "it ran");
    assert_eq!(engine.collect_fetches(), Vec::<String>::new(), "it was sent a second time");
}

#[test]
fn behind_half_an_answer_nothing_more_is_asked() {
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 300);
    let (first, _) = engine.wait_for_command("fetch");
    let whole = encode_answer([&request_id(1), "ok", SUCCESS_FIELDS, &page(&request_id(1), 0)]);
    engine.write(first, &whole[..whole.len() / 2]);
    assert_eq!(client.read_response().1, Response::Failed, "it may have run");
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second, "the answer would be read as the rest of the first one");
    engine.serve(second, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn behind_half_a_second_answer_nothing_more_is_asked() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    let whole = encode_answer([&request_id(1), "ok", SUCCESS_FIELDS, &page(&request_id(1), 0)]);
    // The second copy breaks off, and comes in the same breath as the first.
    engine.write(first, &[&whole[..], &whole[..whole.len() / 2]].concat());
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second, "the answer would be read as the rest of the first one");
    engine.serve(second, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn connections_stay_in_their_bound_when_idle_ones_make_room() {
    let (one, two, resolver) = (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[one.address], &[EIGHT_CONNECTIONS]);
    let mut client = Client::connect(&gateway);
    // All eight go to the only engine, and rest there.
    for n in 0..8 {
        client.send(&request_id(n), "look", 2_500);
    }
    let fetches: Vec<_> = (0..8).map(|_| one.wait_for_command("fetch")).collect();
    fetches.iter().for_each(|(connection, words)| one.serve(*connection, &words[1]));
    fetches.iter().for_each(|_| assert!(matches!(client.read_response().1, Response::Served(_))));
    assert_eq!(one.open_connections(), 8);
    resolver.publish(2, &[(one.address, false), (two.address, false)]);
    // In one breath: each one for the other engine needs a connection of its own to be closed.
    client.send_burst((100..108).map(request_id), "look", 2_500);
    let (sent_to_one, sent_to_two) = (one.collect_fetches(), two.collect_fetches());
    assert!(sent_to_two.len() > 2, "{sent_to_one:?} and {sent_to_two:?}");
    assert!(
        one.open_connections() + two.open_connections() <= 8,
        "{} and {}",
        one.open_connections(),
        two.open_connections()
    );
}

#[test]
fn where_no_connection_may_be_added_requests_share_those_of_their_engine() {
    let (one, two, resolver) = (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[one.address], &[EIGHT_CONNECTIONS]);
    let mut client = Client::connect(&gateway);
    // Seven are in use at an engine that may have four once there are two.
    for n in 0..7 {
        client.send(&request_id(n), "look", 2_500);
    }
    (0..7).for_each(|_| drop(one.wait_for_command("fetch")));
    resolver.publish(2, &[(one.address, false), (two.address, false)]);
    client.send_burst((100..104).map(request_id), "look", 2_500);
    let (sent_to_one, sent_to_two) = (one.collect_fetches(), two.collect_fetches());
    assert!(sent_to_two.len() > 1, "{sent_to_one:?} and {sent_to_two:?}");
    assert_eq!(sent_to_one.len() + sent_to_two.len(), 4, "one waits for a connection that nobody may dial");
    assert!(one.open_connections() + two.open_connections() <= 8);
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
        client.send(&request_id(n), "look", 3_500);
    }
    let asked = engines.each_ref().map(|engine| engine.wait_for_command("fetch"));
    for (engine, (connection, words)) in engines.iter().zip(&asked).skip(1) {
        engine.serve(*connection, &words[1]);
        assert!(matches!(client.read_response().1, Response::Served(_)));
    }
    let (probed, _) = engines[0].wait_for_command("stats");
    assert_ne!(asked[0].0, probed, "a connection of its own");
    engines[0].reset(probed);
    let (probed, words) = engines[0].wait_for_command("stats");
    engines[0].send_answer(probed, [&words[1], "yes", "l=util:0.25", ""]);
    // It is not left alone: it gets its part of these, and not one as a trial.
    client.send_burst((10..22).map(request_id), "look", 2_500);
    assert!(engines[0].collect_fetches().len() > 1);
}

#[test]
fn connections_to_the_process_before_are_not_used_once_a_new_one_is_listed() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.serve(first, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    resolver.publish_with(|question| {
        let mut list = resolver.encode_list(question, 2, &[(engine.address, false)]);
        let started = list.windows(9).position(|w| w == b"started=0").unwrap();
        list[started + 8] = b'9';
        list
    });
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second, "it belongs to a process that has ended");
}

/// Attempts that are out must not be withdrawn.
const NO_CANCEL: (&str, &str) = ("\"MayCancel\": true", "\"MayCancel\": false");

#[test]
fn what_was_given_up_while_it_was_dialled_for_is_never_written() {
    for changes in [&[LONG_CONNECT_TIMEOUT][..], &[LONG_CONNECT_TIMEOUT, NO_CANCEL]] {
        let (engine, resolver) = (ScriptedEngine::start_held(), ScriptedResolver::start());
        let gateway = Gateway::start(resolver.address, &[engine.address], changes);
        let mut client = Client::connect(&gateway);
        let given_up: Vec<i32> = (0..20).map(|n| client.send(&request_id(n), "look", 2_500)).collect();
        client.wait_until_processed();
        given_up.into_iter().for_each(|seqid| client.cancel(seqid));
        client.wait_until_processed();
        // One that waits beside them, so that the dials go on and come up.
        client.send(&request_id(100), "look", 2_500);
        client.wait_until_processed();
        engine.release();
        let (connection, words) = engine.wait_for_command("fetch");
        assert_eq!(words[1], request_id(100));
        engine.serve(connection, &request_id(100));
        assert_eq!(client.read_response().1, served_page(&request_id(100)));
        assert_eq!(engine.collect_fetches(), Vec::<String>::new());
    }
}

#[test]
fn what_waits_for_an_engine_that_begins_to_drain_is_never_written() {
    let (engine, resolver) = (ScriptedEngine::start_held(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    client.wait_until_processed();
    // Later than a dial is late: others go beside it.
    assert!(client.is_silent());
    resolver.publish(2, &[(engine.address, true)]);
    assert_eq!(client.read_response().1, Response::Refused);
    engine.release();
    // Up again under a newer list: the dials of before have come up and gone.
    resolver.publish(3, &[(engine.address, false)]);
    client.send(&request_id(2), "look", 2_500);
    let (connection, words) = engine.wait_for_command("fetch");
    assert_eq!(words[1], request_id(2));
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn what_waits_for_an_engine_that_moves_goes_to_its_new_address_alone() {
    let (old, new) = (ScriptedEngine::start_held(), ScriptedEngine::start());
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[old.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    client.wait_until_processed();
    resolver.publish(2, &[(new.address, false)]);
    let (connection, _) = new.wait_for_command("fetch");
    old.release();
    new.serve(connection, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    client.send(&request_id(2), "look", 2_500);
    let (connection, _) = new.wait_for_command("fetch");
    new.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
    assert_eq!(old.collect_fetches(), Vec::<String>::new());
}

#[test]
fn a_new_engine_at_a_gone_ones_address_gets_connections_of_its_own() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.serve(first, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    resolver.publish_with(|question| {
        resolver.encode_named_list(question, 2, &[("e-new", engine.address, false)])
    });
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second);
    engine.serve(second, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn an_unsafe_request_is_sent_once_whenever_its_connection_is_reset() {
    let half = encode_answer([&request_id(1), "ok", SUCCESS_FIELDS, &page(&request_id(1), 0)]);
    let half = &half[..half.len() / 2];
    for begun in [&b""[..], half] {
        let (gateway, engine) = one_engine(&[UNSAFE]);
        let mut client = Client::connect(&gateway);
        client.send(&request_id(1), "look", 2_500);
        let (connection, _) = engine.wait_for_command("fetch");
        engine.write(connection, begun);
        engine.reset(connection);
        assert_eq!(client.read_response().1, Response::Failed, "it may have run");
        assert_eq!(engine.collect_fetches(), Vec::<String>::new(), "it was sent a second time");
    }
    // Behind a whole answer the reset costs nothing.
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(1));
    engine.reset(connection);
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    // Nor does one of a resting connection: the next request finds it gone.
    client.send(&request_id(2), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn a_late_second_answer_is_never_told_to_the_request_after_it() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.serve(first, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_eq!(first, second, "a quiet connection is used again");
    engine.serve(first, &request_id(1));
    engine.serve(first, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}
