//! The shutdown of a gateway and the closing of its clients' connections while bytes, answers and new
//! connections arrive. The tests force the order of events by acting on the gateway's thread: bytes that are
//! written there arrive before any of the gateway's tasks runs.

mod bed;

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;
use violetward_platform::front;

/// What a client's read must end with.
const CLEAN_CLOSE: &str = "the end of the stream, not a reset";

/// A gateway with one engine and a resolver that never answers, so that the list of the configuration stays
/// in force.
fn one_engine() -> (Gateway, ScriptedEngine) {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    // The resolver's socket stays open, so that queries to it are not refused.
    std::mem::forget(resolver);
    (gateway, engine)
}

/// A connected client whose first request, number `n`, has been served.
fn served_client(gateway: &Gateway, engine: &ScriptedEngine, n: u64) -> Client {
    let mut client = Client::connect(gateway);
    client.send(&request_id(n), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(n));
    assert_eq!(client.read_response().1, served_page(&request_id(n)));
    client
}

#[test]
fn a_request_that_arrives_as_its_idle_connection_is_closed_is_not_forwarded() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(2), "look", 2_500));
    gateway.run_on_thread(move |host| {
        host.begin_drain();
        front::close_drained(host);
        // The connection has been shut down, but the task that reads it has not run yet.
        socket.write_all(&request).unwrap();
    });
    client.read_to_end().expect(CLEAN_CLOSE);
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn a_request_that_arrives_just_before_the_idle_timeout_of_its_connection_is_served() {
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
fn a_request_that_arrives_just_before_the_drain_is_refused_at_once() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(2), "look", 2_500));
    gateway.run_on_thread(move |host| {
        socket.write_all(&request).unwrap();
        host.begin_drain();
        front::close_drained(host);
    });
    assert_eq!(client.read_response(), (2, Response::Refused));
    client.read_to_end().expect(CLEAN_CLOSE);
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn requests_open_at_the_drain_are_served_and_later_ones_on_their_connection_are_refused() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    client.send(&request_id(2), "look", 2_500);
    let (connection, _) = engine.wait_for_command("fetch");
    gateway.run_on_thread(|host| host.begin_drain());
    client.send(&request_id(3), "look", 2_500);
    assert_eq!(client.read_response(), (3, Response::Refused));
    engine.serve(connection, &request_id(2));
    assert_eq!(client.read_response(), (2, served_page(&request_id(2))));
    client.read_to_end().expect(CLEAN_CLOSE);
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

/// Guards against closing a connection between two of its answers: if the core ends several requests in one
/// step, no request is open any more when the first of their answers is sent. In rolling restarts one request
/// in about 50,000 was lost this way.
#[test]
fn requests_that_end_in_one_step_of_a_drain_are_all_answered() {
    let engine = ScriptedEngine::start_held();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.send_burst((1..=3).map(request_id), "report", 6_000);
    client.wait_until_processed();
    gateway.run_on_thread(|host| host.begin_drain());
    // No request has been sent to the engine, so that all of them end in one step when it drains.
    resolver.publish(2, &[(engine.address, true)]);
    let mut answers: Vec<_> = (0..3).map(|_| client.read_response()).collect();
    answers.sort_by_key(|(seqid, _)| *seqid);
    assert_eq!(answers, [(1, Response::Refused), (2, Response::Refused), (3, Response::Refused)]);
    client.read_to_end().expect(CLEAN_CLOSE);
}

#[test]
fn requests_between_sigterm_and_the_drain_are_served() {
    let (gateway, engine) = one_engine();
    let mut idle_client = served_client(&gateway, &engine, 1);
    let stopped = gateway.stop();
    // On an open connection and on a new one.
    let mut new_client = Client::connect(&gateway);
    for (n, client) in (2..).zip([&mut idle_client, &mut new_client]) {
        client.send(&request_id(n), "look", 2_500);
        let (connection, _) = engine.wait_for_command("fetch");
        engine.serve(connection, &request_id(n));
        assert_eq!(client.read_response().1, served_page(&request_id(n)));
    }
    idle_client.read_to_end().expect(CLEAN_CLOSE);
    new_client.read_to_end().expect(CLEAN_CLOSE);
    drop((idle_client, new_client));
    stopped.recv_timeout(TIMEOUT).unwrap();
    assert!(TcpStream::connect(gateway.address).is_err(), "the gateway still listens");
}

#[test]
fn a_request_on_a_connection_in_the_accept_queue_is_refused_and_not_reset() {
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
    let mut queued_client = Client::from_socket(socket);
    assert_eq!(queued_client.read_response(), (2, Response::Refused));
    queued_client.read_to_end().expect(CLEAN_CLOSE);
    assert_eq!(engine.collect_fetches(), Vec::<String>::new());
}

#[test]
fn clients_that_never_close_never_read_or_send_half_a_request_do_not_prevent_the_shutdown() {
    let (gateway, engine) = one_engine();
    let idle_client = served_client(&gateway, &engine, 1);
    let mut half_request_client = served_client(&gateway, &engine, 2);
    let request = half_request_client.encode_request(&request_id(3), "look", 2_500);
    half_request_client.socket().write_all(&request[..20]).unwrap();
    let mut unreading_client = served_client(&gateway, &engine, 4);
    // Thousands of responses that the client does not read: more than the socket buffers hold.
    let socket = unreading_client.socket();
    let request = unreading_client.encode_unknown_method();
    let flood = std::thread::spawn(move || {
        let mut socket = socket;
        while socket.write_all(&request).is_ok() {}
    });
    let stopped = gateway.stop();
    stopped.recv_timeout(TIMEOUT).unwrap();
    flood.join().unwrap();
    drop((idle_client, half_request_client, unreading_client));
}

#[test]
fn a_response_before_a_protocol_violation_is_not_lost_to_a_reset() {
    let (gateway, engine) = one_engine();
    let mut client = served_client(&gateway, &engine, 1);
    let method = client.encode_unknown_method();
    // A malformed message, followed by more bytes than one read takes.
    let noise = [&[0, 0, 0, 20][..], &[0xaa; 20], &[0; 150_000]].concat();
    let mut socket = client.socket();
    let sender = std::thread::spawn(move || socket.write_all(&[method, noise].concat()));
    assert_eq!(client.read_response().1, Response::Exception);
    client.read_to_end().expect(CLEAN_CLOSE);
    sender.join().unwrap().expect("the gateway takes all bytes");
}

#[test]
fn a_request_whose_client_has_disconnected_before_it_is_read_is_not_started() {
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
fn idle_connections_that_use_all_descriptors_are_closed_without_a_reset_for_new_clients() {
    let (gateway, engine) = one_engine();
    let max_clients = gateway.run_on_thread(|host| host.config.limits.descriptors().clients);
    let mut idle_clients: Vec<Client> =
        (0..max_clients as u64).map(|n| served_client(&gateway, &engine, n)).collect();
    let mut new_clients: Vec<Client> =
        (0..20).map(|n| served_client(&gateway, &engine, 10_000 + n)).collect();
    // The connections that were idle for longest are closed.
    for client in &mut idle_clients[..20] {
        client.read_to_end().expect(CLEAN_CLOSE);
    }
    for (n, client) in (20_000..).zip(&mut new_clients) {
        client.send(&request_id(n), "look", 2_500);
        let (connection, _) = engine.wait_for_command("fetch");
        engine.serve(connection, &request_id(n));
        assert_eq!(client.read_response().1, served_page(&request_id(n)));
    }
}
