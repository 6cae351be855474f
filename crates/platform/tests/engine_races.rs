//! Races between the gateway and its engines over real connections; scripted engines force the order of
//! events.

mod bed;

use std::net::SocketAddr;
use std::time::Instant;

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;
use violetward_platform::engine_evidence::EVIDENCE_TIME;
use violetward_standin::platform::{page, Listed};

/// Makes the class `look` unsafe to repeat.
const UNSAFE: (&str, &str) = (
    r#""Effect": "repeatable", "Group": "all", "HardLimitUs": 3000000"#,
    r#""Effect": "once", "Group": "all", "HardLimitUs": 3000000"#,
);

/// Leaves room for eight connections to engines.
const EIGHT_CONNECTIONS: (&str, &str) = ("\"sockets\":256", "\"sockets\":48");

/// A gateway with one engine and a resolver that never answers, so that the list of the configuration stays
/// in force. With the long connect timeout no connection attempt counts as late, so that the gateway opens
/// only one connection as long as one suffices.
fn one_engine(changes: &[(&str, &str)]) -> (Gateway, ScriptedEngine) {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway =
        Gateway::start(resolver.address, &[engine.address], &[changes, &[LONG_CONNECT_TIMEOUT]].concat());
    // The resolver's socket stays open, so that queries to it are not refused.
    std::mem::forget(resolver);
    (gateway, engine)
}

#[test]
fn a_second_refusal_does_not_end_the_next_attempt() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.send_answer(first, [&request_id(1), "refused", "-", ""]);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(
        first, second,
        "answers name only the request, so attempts of one request must not share a connection"
    );
    engine.send_answer(first, [&request_id(1), "refused", "-", ""]);
    engine.serve(second, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
}

#[test]
fn a_refusal_after_an_ok_answer_does_not_prove_that_the_request_did_not_run() {
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.send_answer(connection, [&request_id(1), "ok", "batches=2", &page(&request_id(1), 0)]);
    engine.send_answer(connection, [&request_id(1), "refused", "-", ""]);
    assert_eq!(client.read_response().1, Response::Failed, "the request ran");
    assert_eq!(engine.collect_fetches(), Vec::<String>::new(), "the request was sent a second time");
}

#[test]
fn a_connection_with_half_an_answer_is_not_reused() {
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 300);
    let (first, _) = engine.wait_for_command("fetch");
    let complete_answer = encode_answer([&request_id(1), "ok", SUCCESS_FIELDS, &page(&request_id(1), 0)]);
    engine.write(first, &complete_answer[..complete_answer.len() / 2]);
    assert_eq!(client.read_response().1, Response::Failed, "the request may have run");
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second, "the answer would be read as the rest of the first one");
    engine.serve(second, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn a_connection_with_half_a_duplicate_answer_is_not_reused() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    let complete_answer = encode_answer([&request_id(1), "ok", SUCCESS_FIELDS, &page(&request_id(1), 0)]);
    // The second copy is incomplete and arrives together with the first.
    engine.write(first, &[&complete_answer[..], &complete_answer[..complete_answer.len() / 2]].concat());
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second, "the answer would be read as the rest of the first one");
    engine.serve(second, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn the_limit_of_connections_holds_while_idle_ones_are_replaced() {
    let (one, two, resolver) = (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[one.address], &[EIGHT_CONNECTIONS]);
    let mut client = Client::connect(&gateway);
    // All eight connections lead to the only engine and become idle.
    for n in 0..8 {
        client.send(&request_id(n), "look", 2_500);
    }
    let fetches: Vec<_> = (0..8).map(|_| one.wait_for_command("fetch")).collect();
    fetches.iter().for_each(|(connection, words)| one.serve(*connection, &words[1]));
    fetches.iter().for_each(|_| assert!(matches!(client.read_response().1, Response::Served(_))));
    assert_eq!(one.open_connections(), 8);
    // The second engine has been up for long, so that it is warm, and is used after as much evidence.
    let listed = || {
        let addresses = [one.address, two.address].into_iter().enumerate();
        let listing = |(n, address)| {
            let SocketAddr::V4(address) = address else { panic!("{address} is not IPv4") };
            Listed { id: format!("e-{n}"), address, draining: false, started_ms: 0 }
        };
        addresses.map(listing).collect()
    };
    let published = Instant::now();
    while published.elapsed() < EVIDENCE_TIME + 4 * QUIET_PERIOD {
        resolver.publish_with(|query| resolver.encode_engines(query, 2, listed()));
    }
    // In one write: each request for the second engine requires an idle connection of the first one to be
    // closed.
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
fn requests_share_connections_if_no_further_one_is_allowed() {
    let (one, two, resolver) = (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[one.address], &[EIGHT_CONNECTIONS]);
    let mut client = Client::connect(&gateway);
    // Seven connections are in use at an engine that may have four as soon as there are two engines.
    for n in 0..7 {
        client.send(&request_id(n), "look", 2_500);
    }
    (0..7).for_each(|_| drop(one.wait_for_command("fetch")));
    resolver.publish(2, &[(one.address, false), (two.address, false)]);
    client.send_burst((100..104).map(request_id), "look", 2_500);
    let (sent_to_one, sent_to_two) = (one.collect_fetches(), two.collect_fetches());
    assert!(sent_to_two.len() > 1, "{sent_to_one:?} and {sent_to_two:?}");
    assert_eq!(
        sent_to_one.len() + sent_to_two.len(),
        4,
        "a request waits for a connection that must not be opened"
    );
    assert!(one.open_connections() + two.open_connections() <= 8);
}

#[test]
fn a_probe_whose_connection_breaks_is_repeated() {
    let engines = [(); 3].map(|()| ScriptedEngine::start());
    let resolver = ScriptedResolver::start();
    let addresses = engines.each_ref().map(|engine| engine.address);
    let gateway = Gateway::start(resolver.address, &addresses, &[UNSAFE]);
    let mut client = Client::connect(&gateway);
    // Each engine gets one request. The first engine does not answer for so long that it is probed.
    for n in 0..3 {
        client.send(&request_id(n), "look", 3_500);
    }
    let fetches = engines.each_ref().map(|engine| engine.wait_for_command("fetch"));
    for (engine, (connection, words)) in engines.iter().zip(&fetches).skip(1) {
        engine.serve(*connection, &words[1]);
        assert!(matches!(client.read_response().1, Response::Served(_)));
    }
    let (probed, _) = engines[0].wait_for_command("stats");
    assert_ne!(fetches[0].0, probed, "a probe has a connection of its own");
    engines[0].reset(probed);
    let (probed, words) = engines[0].wait_for_command("stats");
    engines[0].send_answer(probed, [&words[1], "yes", "l=util:0.25", ""]);
    // The engine is not excluded: it gets its share of these requests, not just a single trial request.
    client.send_burst((10..22).map(request_id), "look", 2_500);
    assert!(engines[0].collect_fetches().len() > 1);
}

#[test]
fn connections_to_an_engines_old_process_are_not_used_once_a_new_process_is_listed() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.serve(first, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    // The list names a later start of the engine.
    resolver.publish_with(|query| {
        let mut list = resolver.encode_list(query, 2, &[(engine.address, false)]);
        let started = list.windows(9).position(|w| w == b"started=0").unwrap();
        list[started + 8] = b'9';
        list
    });
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second, "the connection belongs to a process that has ended");
}

/// Forbids cancelling attempts that have been written.
const NO_CANCEL: (&str, &str) = ("\"MayCancel\": true", "\"MayCancel\": false");

#[test]
fn requests_cancelled_while_their_connection_is_established_are_never_written() {
    for changes in [&[LONG_CONNECT_TIMEOUT][..], &[LONG_CONNECT_TIMEOUT, NO_CANCEL]] {
        let (engine, resolver) = (ScriptedEngine::start_held(), ScriptedResolver::start());
        let gateway = Gateway::start(resolver.address, &[engine.address], changes);
        let mut client = Client::connect(&gateway);
        let cancelled: Vec<i32> = (0..20).map(|n| client.send(&request_id(n), "look", 2_500)).collect();
        client.wait_until_processed();
        cancelled.into_iter().for_each(|seqid| client.cancel(seqid));
        client.wait_until_processed();
        // Another waiting request keeps the gateway connecting until the connections are established.
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
fn requests_waiting_for_an_engine_that_begins_to_drain_are_never_written() {
    let (engine, resolver) = (ScriptedEngine::start_held(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    client.wait_until_processed();
    // After this time the gateway opens further connections beside the late one.
    assert!(client.is_silent());
    resolver.publish(2, &[(engine.address, true)]);
    assert_eq!(client.read_response().1, Response::Refused);
    engine.release();
    // A newer list names a later process of the engine as ready. The earlier connections have been established
    // and closed by then.
    let SocketAddr::V4(address) = engine.address else { panic!("{} is not IPv4", engine.address) };
    let restarted = || Listed { id: "e-0".into(), address, draining: false, started_ms: 1_700_000_000_000 };
    (0..2).for_each(|_| resolver.publish_with(|query| resolver.encode_engines(query, 3, vec![restarted()])));
    client.send(&request_id(2), "look", 2_500);
    let (connection, words) = engine.wait_for_command("fetch");
    assert_eq!(words[1], request_id(2));
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn requests_waiting_for_an_engine_that_moves_go_only_to_its_new_address() {
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
fn a_new_engine_at_the_address_of_a_removed_one_gets_connections_of_its_own() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.serve(first, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    resolver.publish_with(|query| resolver.encode_named_list(query, 2, &[("e-new", engine.address, false)]));
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_ne!(first, second);
    engine.serve(second, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn an_unsafe_request_is_not_repeated_after_a_reset_of_its_connection() {
    let half = encode_answer([&request_id(1), "ok", SUCCESS_FIELDS, &page(&request_id(1), 0)]);
    let half = &half[..half.len() / 2];
    for received in [&b""[..], half] {
        let (gateway, engine) = one_engine(&[UNSAFE]);
        let mut client = Client::connect(&gateway);
        client.send(&request_id(1), "look", 2_500);
        let (connection, _) = engine.wait_for_command("fetch");
        engine.write(connection, received);
        engine.reset(connection);
        assert_eq!(client.read_response().1, Response::Failed, "the request may have run");
        assert_eq!(engine.collect_fetches(), Vec::<String>::new(), "the request was sent a second time");
    }
    // A reset after a complete answer has no effect on the request.
    let (gateway, engine) = one_engine(&[UNSAFE]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(1));
    engine.reset(connection);
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    // Nor does the reset of an idle connection affect the next request.
    client.send(&request_id(2), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

#[test]
fn a_late_second_answer_is_not_taken_for_the_answer_to_the_next_request() {
    let (gateway, engine) = one_engine(&[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "look", 2_500);
    let (first, _) = engine.wait_for_command("fetch");
    engine.serve(first, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    client.send(&request_id(2), "look", 2_500);
    let (second, _) = engine.wait_for_command("fetch");
    assert_eq!(first, second, "an idle connection is reused");
    engine.serve(first, &request_id(1));
    engine.serve(first, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
}

/// Guards against an orderly close behind a cancelled request of which the engine has shown no sign: what was
/// written into a cut of the network would reach the engine after it, when the client has long gone.
#[test]
fn a_connection_whose_cancelled_request_was_not_heard_of_is_reset() {
    for is_heard in [false, true] {
        let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
        let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
        let mut client = Client::connect(&gateway);
        let seqid = client.send(&request_id(1), "report", 6_000);
        let (connection, _) = engine.wait_for_command("fetch");
        if is_heard {
            // A part of an answer: the engine has the request.
            engine.write(connection, b"*4\r\n");
            client.wait_until_processed();
        }
        client.cancel(seqid);
        engine.wait_until_closed(connection);
        assert_eq!(engine.was_reset(connection), !is_heard);
    }
}
