//! The end of a gateway and of its clients' connections, with bytes, answers and new connections at the wrong moment.
//! Orders are forced on the gateway's own thread: what is written there arrives before any of its tasks gets a turn.

mod bed;

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;
use violetward_platform::front;

/// A gateway with one engine and a list that stands.
fn one_engine() -> (Gateway, ScriptedEngine) {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    // Its socket stays open, so that no question is refused.
    std::mem::forget(resolver);
    (gateway, engine)
}

/// A client whose connection is served: its first request has been answered.
fn served_client(gateway: &Gateway, engine: &ScriptedEngine, n: u64) -> Client {
    let mut client = Client::connect(gateway);
    client.send(&request_id(n), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(n));
    assert_eq!(client.read_response().1, served_page(&request_id(n)));
    client
}

#[test]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_not_sent_on() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(2), "look", 2_500));
    gateway.run_on_thread(move |host| {
        host.begin_drain();
        front::close_drained(host);
        // The connection is shut, and its reader has not had a turn yet.
        socket.write_all(&request).unwrap();
    });
    client.read_to_end().expect("the end of the stream, not a reset");
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn a_request_that_came_just_before_its_connection_was_idle_for_too_long_is_served() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(2), "look", 2_500));
    gateway.run_on_thread(move |host| {
        socket.write_all(&request).unwrap();
        front::close_timed_out(host, Instant::now() + TIMEOUT);
    });
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response(), (2, served_page(&request_id(2))));
}

#[test]
fn a_request_that_came_just_before_the_drain_is_refused_at_once() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(2), "look", 2_500));
    gateway.run_on_thread(move |host| {
        socket.write_all(&request).unwrap();
        host.begin_drain();
        front::close_drained(host);
    });
    assert_eq!(client.read_response(), (2, Response::Refused));
    client.read_to_end().expect("the end of the stream, not a reset");
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn what_is_open_at_the_drain_is_answered_and_what_comes_behind_it_is_refused() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    client.send(&request_id(2), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    gateway.run_on_thread(|host| host.begin_drain());
    client.send(&request_id(3), "look", 2_500);
    assert_eq!(client.read_response(), (3, Response::Refused));
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response(), (2, served_page(&request_id(2))));
    client.read_to_end().expect("the end of the stream, not a reset");
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

/// ConnectionEvent: one request in some 50,000 of a rolling restart found its connection closed without an answer. The gateway's log
/// had its refusal, in the same turn as that of another request on the same connection, and the close between the two:
/// the core had ended both by the time the first answer was carried out, so that nothing seemed to be open any more.
#[test]
fn requests_that_end_in_one_step_of_a_drain_are_all_answered() {
    let engine = ScriptedEngine::start_held();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.send_burst((1..=3).map(request_id), "report", 6_000);
    client.wait_until_processed();
    gateway.run_on_thread(|host| host.begin_drain());
    // None of them has been sent: as their engine drains, all of them end at once.
    resolver.publish(2, &[(engine.address, true)]);
    let mut answers: Vec<_> = (0..3).map(|_| client.read_response()).collect();
    answers.sort_by_key(|(seqid, _)| *seqid);
    assert_eq!(answers, [(1, Response::Refused), (2, Response::Refused), (3, Response::Refused)]);
    client.read_to_end().expect("the end of the stream, not a reset");
}

#[test]
fn a_request_taken_before_the_drain_is_served_after_sigterm() {
    let (gateway, engine) = one_engine();
    let mut resting = served_client(&gateway, &engine, 1);
    let stopped = gateway.stop();
    // On an open connection and on a new one.
    let mut fresh = Client::connect(&gateway);
    for (n, client) in (2..).zip([&mut resting, &mut fresh]) {
        client.send(&request_id(n), "look", 2_500);
        let (connection, _) = engine.wait_for_command("fetch");
        engine.serve(connection, &request_id(n));
        assert_eq!(client.read_response().1, served_page(&request_id(n)));
    }
    resting.read_to_end().expect("the end of the stream, not a reset");
    fresh.read_to_end().expect("the end of the stream, not a reset");
    drop((resting, fresh));
    stopped.recv_timeout(TIMEOUT).unwrap();
    assert!(TcpStream::connect(gateway.address).is_err(), "nobody listens any more");
}

#[test]
fn a_connection_in_the_accept_queue_is_answered_and_not_reset() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let request = client.encode_request(&request_id(2), "look", 2_500);
    let address = gateway.address;
    let socket = gateway.run_on_thread(move |host| {
        let mut socket = TcpStream::connect(address).unwrap();
        socket.write_all(&request).unwrap();
        host.begin_drain();
        socket
    });
    let mut queued = Client::from_socket(socket);
    assert_eq!(queued.read_response(), (2, Response::Refused));
    queued.read_to_end().expect("the end of the stream, not a reset");
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn clients_that_never_close_never_read_or_send_half_a_request_do_not_keep_it_from_ending() {
    let (gateway, engine) = one_engine();
    let resting = served_client(&gateway, &engine, 1);
    let mut half = served_client(&gateway, &engine, 2);
    let request = half.encode_request(&request_id(3), "look", 2_500);
    half.socket().write_all(&request[..20]).unwrap();
    let mut unread = served_client(&gateway, &engine, 4);
    // Answers by the thousand that nobody reads: more than the system's buffers hold.
    let socket = unread.socket();
    let request = unread.encode_unknown_method();
    let flood = std::thread::spawn(move || {
        let mut socket = socket;
        while socket.write_all(&request).is_ok() {}
    });
    let stopped = gateway.stop();
    stopped.recv_timeout(TIMEOUT).unwrap();
    flood.join().unwrap();
    drop((resting, half, unread));
}

#[test]
fn answers_before_a_violation_are_read_and_not_lost_to_a_reset() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let method = client.encode_unknown_method();
    // A message that can't be read, and more behind it that nobody will read: more than one read takes in.
    let noise = [&[0, 0, 0, 20][..], &[0xaa; 20], &[0; 150_000]].concat();
    let mut socket = client.socket();
    let sending = std::thread::spawn(move || socket.write_all(&[method, noise].concat()));
    assert_eq!(client.read_response().1, Response::Exception);
    client.read_to_end().expect("the end of the stream, not a reset");
    sending.join().unwrap().expect("all is taken");
}

#[test]
fn a_request_whose_client_has_gone_by_the_time_it_is_read_is_not_begun() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let request = client.encode_request(&request_id(2), "look", 2_500);
    let mut socket = client.socket();
    drop(client);
    gateway.run_on_thread(move |_| {
        socket.write_all(&request).unwrap();
        socket.shutdown(std::net::Shutdown::Both).unwrap();
    });
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn idle_clients_that_fill_the_descriptors_give_way_and_are_not_reset() {
    let (gateway, engine) = one_engine();
    let most = gateway.run_on_thread(|host| host.config.limits.descriptors().clients);
    let mut idle: Vec<Client> = (0..most as u64).map(|n| served_client(&gateway, &engine, n)).collect();
    let mut later: Vec<Client> = (0..20).map(|n| served_client(&gateway, &engine, 10_000 + n)).collect();
    // The ones that were idle for longest.
    for client in &mut idle[..20] {
        client.read_to_end().expect("the end of the stream, not a reset");
    }
    for (n, client) in (20_000..).zip(&mut later) {
        client.send(&request_id(n), "look", 2_500);
        let (connection, _) = engine.wait_for_command("fetch");
        engine.serve(connection, &request_id(n));
        assert_eq!(client.read_response().1, served_page(&request_id(n)));
    }
}
