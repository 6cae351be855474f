//! Times that are not what they seem: a gateway that stood still, a client that stops within a request, a wall clock that is
//! wrong. Spans are real time, and what is owed stays owed.

mod bed;

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;
use violetward_platform::standstill::{PauseDetector, HEARTBEAT_INTERVAL};
use violetward_standin::platform::Listed;

/// How late a final answer may be.
const TOLERANCE: Duration = Duration::from_millis(500);

/// ConnectionEvent by reading: a client's wait was counted from when its request was read, also by a gateway that had stood still, or
/// had been stopped, while the request lay there.
#[test]
fn a_request_that_came_while_the_gateway_stood_still_is_answered_in_its_clients_time() {
    let engine = ScriptedEngine::start_held();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.wait_until_processed();
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(1), "look", 2_500));
    let written = gateway.run_on_thread(move |_| {
        socket.write_all(&request).unwrap();
        let written = Instant::now();
        std::thread::sleep(Duration::from_millis(1_500));
        written
    });
    assert_eq!(client.read_response().1, Response::Refused);
    let took = written.elapsed();
    assert!(took < Duration::from_millis(2_500) + TOLERANCE, "answered after {took:?}");
}

/// ConnectionEvent by reading: a frame that took over two seconds to come in ended its connection, and with it the answers that were
/// still owed there.
#[test]
fn what_is_open_is_answered_though_its_client_stops_within_the_next_request() {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "report", 6_000);
    let (connection, _) = engine.wait_for_command("fetch");
    let next = client.encode_request(&request_id(2), "report", 6_000);
    client.socket().write_all(&next[..20]).unwrap();
    // Longer than a frame may take, and than a look at all connections may be late.
    std::thread::sleep(Duration::from_millis(2_800));
    engine.serve(connection, &request_id(1));
    // Served or, where its attempt was given up meanwhile, refused; a connection that ends has the number 0.
    assert_eq!(client.read_response().0, 1);
    client.read_to_end().expect("the end of the stream, not a reset");
}

/// How many requests of a burst go at once to an engine that a list names as new, as started at that time.
fn burst_to_a_new_engine(started_ms: u64) -> usize {
    let (old, new) = (ScriptedEngine::start(), ScriptedEngine::start());
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[old.address], &[]);
    resolver.publish(2, &[(old.address, false)]);
    let SocketAddr::V4(address) = new.address else { panic!("not IPv4") };
    let listed = Listed { id: "e-1".into(), address, draining: false, started_ms };
    resolver.publish_with(|question| resolver.encode_engines(question, 3, vec![listed.clone()]));
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(&gateway)).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.send_burst((1..=30).map(|k| request_id(100 * n + k)), "look", 2_500);
    }
    new.collect_fetches().len()
}

/// ConnectionEvent by reading: how long an engine has been up was told by the gateway's wall clock alone. One that was started, or
/// works, under a clock that is an hour fast took an engine that had just started for a warm one.
#[test]
fn an_engine_that_a_new_list_names_first_is_cold_whatever_the_wall_clock_says() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let fresh = burst_to_a_new_engine(now);
    let hour = 3_600_000;
    let (fast, slow) = (burst_to_a_new_engine(now - hour), burst_to_a_new_engine(now + hour));
    assert!(fresh > 0, "nothing is sent to an engine that has just started");
    assert!(fast <= fresh + fresh / 2, "{fast} where {fresh} are sent");
    assert!(slow >= fresh / 2, "{slow} where {fresh} are sent");
}

#[test]
fn a_standstill_is_noticed_by_what_is_read_before_its_beat_and_just_behind_it() {
    let (start, stood) = (Instant::now(), Duration::from_millis(1_500));
    let process = PauseDetector::new(start);
    assert_eq!(process.backlog_age(start + HEARTBEAT_INTERVAL), Duration::ZERO);
    assert_eq!(
        process.heartbeat(start + HEARTBEAT_INTERVAL + Duration::from_millis(20)),
        None,
        "a beat that is a little late"
    );
    let last = start + HEARTBEAT_INTERVAL + Duration::from_millis(20);
    let resumed = last + HEARTBEAT_INTERVAL + stood;
    assert_eq!(process.backlog_age(resumed), stood);
    assert_eq!(process.heartbeat(resumed), Some(stood));
    assert_eq!(process.backlog_age(resumed + Duration::from_millis(20)), stood, "what came meanwhile");
    assert_eq!(process.backlog_age(resumed + Duration::from_millis(120)), Duration::ZERO);
}
