//! Unusual timing, in real time: a gateway whose process is suspended, a client that pauses in the middle of
//! a request, and a wall clock that is wrong. Every request still gets its answer in time.

mod bed;

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bed::scripted::*;
use bed::LONG_CONNECT_TIMEOUT;
use violetward_platform::standstill::{PauseDetector, HEARTBEAT_INTERVAL};
use violetward_standin::platform::Listed;

/// How late a final answer may be.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(500);

/// Guards against counting a client's wait from the read of its request: the request may have been in the
/// socket's buffer for as long as the gateway was suspended.
#[test]
fn a_request_that_arrives_while_the_gateway_is_suspended_is_answered_within_the_clients_wait() {
    let engine = ScriptedEngine::start_held();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[LONG_CONNECT_TIMEOUT]);
    let mut client = Client::connect(&gateway);
    client.wait_until_processed();
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(1), "look", 2_500));
    let sent_at = gateway.run_on_thread(move |_| {
        socket.write_all(&request).unwrap();
        let sent_at = Instant::now();
        std::thread::sleep(Duration::from_millis(1_500));
        sent_at
    });
    assert_eq!(client.read_response().1, Response::Refused);
    let took = sent_at.elapsed();
    assert!(took < Duration::from_millis(2_500) + ANSWER_TOLERANCE, "answered after {took:?}");
}

/// Guards against sending by a list from before a pause: the engine may have begun to drain meanwhile, and that
/// counts as known by the end of the pause.
#[test]
fn a_request_that_is_read_after_a_long_pause_is_sent_by_the_current_list() {
    let (drains, stays, resolver) =
        (ScriptedEngine::start(), ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[drains.address], &[]);
    // The engine has an idle connection, on which the next request can be sent at once.
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "report", 6_000);
    let (connection, _) = drains.wait_for_command("fetch");
    drains.serve(connection, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(2), "report", 6_000));
    gateway.run_on_thread(move |_| {
        socket.write_all(&request).unwrap();
        std::thread::sleep(Duration::from_millis(1_800));
    });
    // Less than the longest hold. Without one, the request is sent to the draining engine meanwhile.
    std::thread::sleep(Duration::from_millis(100));
    resolver.publish(2, &[(drains.address, true), (stays.address, false)]);
    let (connection, _) = stays.wait_for_command("fetch");
    stays.serve(connection, &request_id(2));
    assert_eq!(client.read_response().1, served_page(&request_id(2)));
    assert_eq!(drains.collect_fetches(), Vec::<String>::new());
}

/// Guards against sending a waiting request after a pause to an engine whose answer was read first, although its
/// client had taken it back during the pause.
#[test]
fn a_request_that_is_taken_back_during_a_pause_is_not_sent_after_it() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    let ids: Vec<String> = (1..=30).map(request_id).collect();
    client.send_burst(ids.iter().cloned(), "report", 6_000);
    let sent = engine.collect_commands("fetch");
    let is_sent = |id: &String| sent.iter().any(|(_, words)| words[1] == *id);
    let waiting: Vec<(i32, String)> = (1..).zip(ids.iter().cloned()).filter(|(_, id)| !is_sent(id)).collect();
    assert!(!sent.is_empty() && !waiting.is_empty(), "{} sent, {} waiting", sent.len(), waiting.len());
    let taken_back = waiting.clone();
    // The client stays connected.
    let (engine, _client) = gateway.run_on_thread(move |_| {
        sent.iter().for_each(|(connection, words)| engine.serve(*connection, &words[1]));
        std::thread::sleep(Duration::from_millis(200));
        taken_back.iter().for_each(|(seqid, _)| client.cancel(*seqid));
        std::thread::sleep(Duration::from_millis(400));
        (engine, client)
    });
    let sent_after: Vec<String> = engine.collect_fetches();
    let is_taken_back = |id: &String| waiting.iter().any(|(_, waited)| waited == id);
    assert_eq!(sent_after.into_iter().filter(is_taken_back).collect::<Vec<_>>(), Vec::<String>::new());
}

/// Guards against holding requests back for good after a pause while the resolver is silent.
#[test]
fn a_request_that_is_read_after_a_long_pause_is_sent_although_the_resolver_is_silent() {
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.wait_until_processed();
    let (mut socket, request) = (client.socket(), client.encode_request(&request_id(1), "report", 6_000));
    gateway.run_on_thread(move |_| {
        socket.write_all(&request).unwrap();
        std::thread::sleep(Duration::from_millis(1_800));
    });
    let (connection, _) = engine.wait_for_command("fetch");
    engine.serve(connection, &request_id(1));
    assert_eq!(client.read_response().1, served_page(&request_id(1)));
}

/// Guards against closing a connection whose next frame takes more than two seconds to arrive before the open
/// requests on it are answered.
#[test]
fn an_open_request_is_answered_although_its_client_pauses_within_the_next_one() {
    let engine = ScriptedEngine::start();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = Client::connect(&gateway);
    client.send(&request_id(1), "report", 6_000);
    let (connection, _) = engine.wait_for_command("fetch");
    let next = client.encode_request(&request_id(2), "report", 6_000);
    client.socket().write_all(&next[..20]).unwrap();
    // Longer than the frame timeout plus the period in which connections are checked for timeouts.
    std::thread::sleep(Duration::from_millis(2_800));
    engine.serve_if_open(connection, &request_id(1));
    // The request is served, or refused if its attempt was cancelled meanwhile. Sequence id 0 would mean that
    // the connection was closed.
    assert_eq!(client.read_response().0, 1);
    client.read_to_end().expect("the end of the stream, not a reset");
}

/// The number of requests of a burst that are sent at once to an engine that a list names for the first time,
/// with the given start time.
fn burst_sent_to_new_engine(started_ms: u64) -> usize {
    let (old, new) = (ScriptedEngine::start(), ScriptedEngine::start());
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &[old.address], &[]);
    resolver.publish(2, &[(old.address, false)]);
    let SocketAddr::V4(address) = new.address else { panic!("not IPv4") };
    let listed = Listed { id: "e-1".into(), address, draining: false, started_ms };
    resolver.publish_with(|query| resolver.encode_engines(query, 3, vec![listed.clone()]));
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(&gateway)).collect();
    for (n, client) in (0..).zip(&mut clients) {
        client.send_burst((1..=30).map(|k| request_id(100 * n + k)), "look", 2_500);
    }
    new.collect_fetches().len()
}

/// Guards against judging by the wall clock alone how long an engine has been up: under a clock that is an
/// hour fast, an engine that has just started would be treated as warm.
#[test]
fn an_engine_that_a_new_list_names_first_is_cold_whatever_the_wall_clock_says() {
    const HOUR_MS: u64 = 3_600_000;
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let correct_clock = burst_sent_to_new_engine(now_ms);
    let fast_clock = burst_sent_to_new_engine(now_ms - HOUR_MS);
    let slow_clock = burst_sent_to_new_engine(now_ms + HOUR_MS);
    assert!(correct_clock > 0, "nothing is sent to an engine that has just started");
    assert!(
        fast_clock <= correct_clock + correct_clock / 2,
        "{fast_clock} requests under a fast clock, {correct_clock} under a correct one"
    );
    assert!(
        slow_clock >= correct_clock / 2,
        "{slow_clock} requests under a slow clock, {correct_clock} under a correct one"
    );
}

#[test]
fn a_pause_is_noticed_by_reads_before_the_heartbeat_and_shortly_after_it() {
    let (start, pause) = (Instant::now(), Duration::from_millis(1_500));
    let detector = PauseDetector::new(start);
    assert_eq!(detector.backlog_age(start + HEARTBEAT_INTERVAL), Duration::ZERO);
    let first_heartbeat = start + HEARTBEAT_INTERVAL + Duration::from_millis(20);
    assert_eq!(detector.heartbeat(first_heartbeat), None, "a heartbeat that is a little late");
    let resumed = first_heartbeat + HEARTBEAT_INTERVAL + pause;
    assert_eq!(detector.backlog_age(resumed), pause);
    assert_eq!(detector.heartbeat(resumed), Some(pause));
    let shortly_after = resumed + Duration::from_millis(20);
    assert_eq!(detector.backlog_age(shortly_after), pause, "bytes that arrived during the pause");
    assert_eq!(detector.backlog_age(resumed + Duration::from_millis(120)), Duration::ZERO);
}
