//! Clients that ask for many results at once and take them late, slowly or never.

mod bed;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bed::scripted::*;
use socket2::{Domain, Socket, Type};
use violetward_platform::front;

/// The most requests that a connection may have open.
const AT_ONCE: u64 = 32;
/// A result has this many pages of [`PAGE_ROWS`] rows, about the most that the protocol allows.
const PAGES: usize = 8;
const PAGE_ROWS: usize = 6;
const ROW_BYTES: usize = 945;
/// The wait of the requests, in milliseconds; the longest of their class.
const WAIT_MS: u32 = 6_000;
/// Bytes that a client's kernel holds for it.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
/// The payload of a segment on an Ethernet.
const ETHERNET_SEGMENT_BYTES: u32 = 1_448;
/// A gateway with 32 MB sets aside an eighth of it for answers.
const SMALL_MEMORY: (&str, &str) = ("\"memory_mb\":48", "\"memory_mb\":32");
const SMALL_MEMORY_ANSWERS_BYTES: usize = 4 << 20;

/// An engine that serves each request at once with the largest result, and counts the pages that were asked for.
struct LargeResults {
    address: SocketAddr,
    pages: Arc<AtomicUsize>,
}

impl LargeResults {
    fn start() -> LargeResults {
        let engine = ScriptedEngine::start();
        let (address, pages) = (engine.address, Arc::new(AtomicUsize::new(0)));
        let counter = pages.clone();
        std::thread::spawn(move || loop {
            let ConnectionEvent::Command(connection, words) = engine.next_event_without_limit() else {
                continue;
            };
            let fields = format!("batches={PAGES},cpu=20.5,used=64.0,l=util:0.25");
            match words[0].as_str() {
                "fetch" => engine.send_answer(connection, [&words[1], "ok", &fields, &large_page(&words[1])]),
                "more" => {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let number = format!("batch={}", words[2]);
                    engine.send_answer(connection, [&words[1], "batch", &number, &large_page(&words[1])]);
                }
                _ => {}
            }
        });
        LargeResults { address, pages }
    }
}

/// Waits until no page has been asked for during [`QUIET_PERIOD`], and returns how many were in all.
fn pages_once_quiet(engines: &[LargeResults]) -> usize {
    let pages = || engines.iter().map(|engine| engine.pages.load(Ordering::Relaxed)).sum::<usize>();
    wait_until("the first page is asked for", || pages() > 0);
    loop {
        let before = pages();
        std::thread::sleep(QUIET_PERIOD);
        if pages() == before {
            return before;
        }
    }
}

fn large_page(id: &str) -> String {
    let padding = "x".repeat(ROW_BYTES - id.len() - 5);
    format!("{id}{padding}\ta\tb\n").repeat(PAGE_ROWS)
}

fn large_result(id: &str) -> Response {
    Response::Served(large_page(id).repeat(PAGES))
}

/// A gateway with engines that serve large results. The list of the configuration stays in force.
fn start(engine_count: usize, changes: &[(&str, &str)]) -> (Gateway, Vec<LargeResults>) {
    let engines: Vec<_> = (0..engine_count).map(|_| LargeResults::start()).collect();
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let resolver = ScriptedResolver::start();
    let gateway = Gateway::start(resolver.address, &addresses, changes);
    // The resolver's socket stays open, so that queries to it are not refused.
    std::mem::forget(resolver);
    (gateway, engines)
}

/// A client whose kernel holds little for it, over segments of Ethernet's size: with loopback's, the gateway's kernel
/// takes megabytes at once.
fn connect(gateway: &Gateway) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.set_tcp_mss(ETHERNET_SEGMENT_BYTES).unwrap();
    socket.connect(&gateway.address.into()).unwrap();
    Client::from_socket(TcpStream::from(socket))
}

/// A client that has sent [`AT_ONCE`] requests, numbered from `first`, and has read nothing yet.
fn client_with_burst(gateway: &Gateway, first: u64) -> Client {
    let mut client = connect(gateway);
    client.send_burst((first..first + AT_ONCE).map(request_id), "report", WAIT_MS);
    client
}

/// Reads the answers to all requests of a burst; fails if the connection ends before the last one, or if a result
/// is not the engine's. Returns how many were served.
fn read_answers(client: &mut Client, first: u64) -> usize {
    read_answers_slowly(client, first, Duration::ZERO)
}

/// Like [`read_answers`], with a pause before each answer.
fn read_answers_slowly(client: &mut Client, first: u64, pause: Duration) -> usize {
    let mut answers = HashMap::new();
    while answers.len() < AT_ONCE as usize {
        std::thread::sleep(pause);
        let (seqid, response) = client.read_response();
        assert_ne!(response, Response::Closed, "the connection ended after {} answers", answers.len());
        if matches!(response, Response::Served(_)) {
            assert_eq!(response, large_result(&request_id(first + seqid as u64 - 1)));
        }
        assert!(answers.insert(seqid, response).is_none(), "a second answer to {seqid}");
    }
    answers.values().filter(|response| matches!(response, Response::Served(_))).count()
}

/// Guards against closing a connection at a number of unread bytes: a client that reads lost all its open requests
/// when it had asked for more results than fit into the buffers.
#[test]
fn a_client_that_reads_late_gets_all_results_that_it_asked_for_at_once() {
    let (gateway, engines) = start(4, &[]);
    let mut client = client_with_burst(&gateway, 1);
    pages_once_quiet(&engines);
    assert_eq!(read_answers(&mut client, 1), AT_ONCE as usize);
}

/// Guards against collecting results in the gateway that their client does not take yet.
#[test]
fn results_wait_at_their_engine_until_their_client_has_taken_earlier_ones() {
    const UNREAD_MAX_BYTES: usize = 300_000;
    let (gateway, engines) = start(1, &[]);
    let mut client = client_with_burst(&gateway, 1);
    let pages = pages_once_quiet(&engines);
    assert!(pages < AT_ONCE as usize * (PAGES - 1) / 2, "{pages} pages were asked for");
    let unread = gateway.run_on_thread(|host| front::unread_bytes(host));
    assert!((1..UNREAD_MAX_BYTES).contains(&unread), "{unread} bytes wait");
    assert_eq!(read_answers(&mut client, 1), AT_ONCE as usize);
}

/// Guards against a bound for each connection in place of one for the process, and against closing connections to
/// keep it.
#[test]
fn what_waits_for_all_clients_stays_within_the_memory_and_every_request_is_answered() {
    const CLIENTS: u64 = 24;
    let (gateway, engines) = start(4, &[SMALL_MEMORY]);
    let mut clients: Vec<_> = (0..CLIENTS).map(|n| client_with_burst(&gateway, 1 + n * AT_ONCE)).collect();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(1) {
        let unread = gateway.run_on_thread(|host| front::unread_bytes(host));
        assert!(unread <= SMALL_MEMORY_ANSWERS_BYTES, "{unread} bytes wait");
    }
    drop(engines);
    let readers = clients
        .drain(..)
        .zip(0..)
        .map(|(mut client, n)| std::thread::spawn(move || read_answers(&mut client, 1 + n * AT_ONCE)));
    let served: Vec<_> =
        readers.collect::<Vec<_>>().into_iter().map(|reader| reader.join().unwrap()).collect();
    assert!(served.iter().sum::<usize>() > AT_ONCE as usize, "served: {served:?}");
}

/// Guards against taking a slow reader for one that does not read: only the time without progress tells them apart.
#[test]
fn a_client_that_reads_slowly_keeps_its_connection_and_one_that_does_not_read_loses_it() {
    // All answers together take longer than a client may go without progress.
    const PAUSE: Duration = Duration::from_millis(150);
    let (gateway, _engines) = start(4, &[]);
    let unreading = client_with_burst(&gateway, 1);
    let mut slow = client_with_burst(&gateway, 1 + AT_ONCE);
    read_answers_slowly(&mut slow, 1 + AT_ONCE, PAUSE);
    wait_until("the other connection has ended", || {
        gateway.run_on_thread(|host| front::unread_bytes(host)) == 0
    });
    drop(unreading);
}

/// Guards against reading requests without end from a client that does not take its answers.
#[test]
fn a_flood_of_requests_whose_answers_are_not_read_is_not_read_on() {
    const UNREAD_MAX_BYTES: usize = 300_000;
    let (gateway, _engines) = start(1, &[]);
    let mut client = connect(&gateway);
    let request = client.encode_unknown_method();
    let mut socket = client.socket();
    let flood = std::thread::spawn(move || while socket.write_all(&request).is_ok() {});
    while !flood.is_finished() {
        let unread = gateway.run_on_thread(|host| front::unread_bytes(host));
        assert!(unread < UNREAD_MAX_BYTES, "{unread} bytes wait");
        std::thread::sleep(Duration::from_millis(5));
    }
    flood.join().unwrap();
}

/// Guards against judging a client by what the gateway knew before it stood still.
#[test]
fn a_client_that_reads_while_the_gateway_stands_still_keeps_its_connection() {
    let (gateway, engines) = start(1, &[]);
    let mut client = client_with_burst(&gateway, 1);
    pages_once_quiet(&engines);
    let (sender, standing_still) = channel();
    let reader = std::thread::spawn(move || {
        standing_still.recv().unwrap();
        read_answers(&mut client, 1)
    });
    gateway.run_on_thread(move |host| {
        sender.send(()).unwrap();
        std::thread::sleep(Duration::from_millis(2_800));
        front::close_timed_out(host, Instant::now());
    });
    reader.join().unwrap();
}

/// Guards against results that wait for good behind those that are no longer wanted: the end of one makes room.
#[test]
fn a_waiting_result_is_collected_when_those_before_it_are_cancelled() {
    /// As many results as may be on their way to a client, and two more.
    const REQUESTS: u64 = 6;
    const REQUESTED: u64 = 4;
    let (engine, resolver) = (ScriptedEngine::start(), ScriptedResolver::start());
    let gateway = Gateway::start(resolver.address, &[engine.address], &[]);
    let mut client = connect(&gateway);
    // An engine runs more of this class at a time.
    client.send_burst((1..=REQUESTS).map(request_id), "look", 2_500);
    let fields = format!("batches={PAGES},cpu=20.5,used=64.0,l=util:0.25");
    // All are served, and the engine sends no further page.
    let fetches: Vec<_> = (0..REQUESTS).map(|_| engine.wait_for_command("fetch")).collect();
    for (connection, words) in &fetches {
        engine.send_answer(*connection, [&words[1], "ok", &fields, &large_page(&words[1])]);
    }
    let mut requested: Vec<String> = Vec::new();
    while requested.len() < REQUESTED as usize * (PAGES - 1) {
        requested.push(engine.wait_for_command("more").1[1].clone());
    }
    let (requested, waiting): (Vec<u64>, Vec<u64>) =
        (1..=REQUESTS).partition(|n| requested.contains(&request_id(*n)));
    assert_eq!(waiting.len() as u64, REQUESTS - REQUESTED, "{requested:?} were asked for");
    requested.iter().for_each(|&n| client.cancel(n as i32));
    let asked_for = engine.collect_more();
    assert!(waiting.iter().all(|&n| asked_for.contains(&request_id(n))), "{waiting:?} wait, {asked_for:?}");
}
