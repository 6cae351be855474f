//! [`Duplex`] with peers that read late or never, or send while the connection is being closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use async_io::{block_on, Async};
use futures_lite::future;
use violetward_net::Duplex;
use violetward_overload::{Holding, MemoryLedger};

/// Bound of every wait for something that must happen.
const DEADLINE: Duration = Duration::from_secs(20);
/// More bytes than the kernel holds for a peer that does not read.
const MAX_KERNEL_BYTES: usize = 16 << 20;

/// A connection and its peer.
fn connect() -> (Duplex, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_read_timeout(Some(DEADLINE)).unwrap();
    let (socket, _) = listener.accept().unwrap();
    let charge = MemoryLedger::new(usize::MAX).charge(Holding::Answers);
    (Duplex::new(Async::new(socket).unwrap(), charge), peer)
}

/// Writes bytes from the peer and waits until they have been received.
fn deliver(duplex: &Duplex, peer: &mut TcpStream, bytes: &[u8]) {
    peer.write_all(bytes).unwrap();
    let since = Instant::now();
    while duplex.is_idle() {
        assert!(since.elapsed() < DEADLINE, "the bytes were not received in time");
        std::thread::yield_now();
    }
}

/// Reads once.
fn read(duplex: &Duplex) -> Vec<u8> {
    let mut received = Vec::new();
    block_on(duplex.read(|bytes| received.extend_from_slice(bytes))).unwrap();
    received
}

/// Guards against a limit in bytes for what waits on one connection: a peer that reads would lose its answers
/// if it has asked for many at once.
#[test]
fn a_peer_that_reads_late_gets_every_byte_however_many_wait() {
    const SENDS: usize = 3_200;
    let (duplex, mut peer) = connect();
    assert!((0..SENDS).all(|_| duplex.send(&[7; 10_000])));
    assert!(duplex.unsent_bytes() > MAX_KERNEL_BYTES, "{} unsent", duplex.unsent_bytes());
    let reading = std::thread::spawn(move || {
        let mut received = Vec::new();
        peer.read_to_end(&mut received).map(|_| received.len())
    });
    let sending = async {
        duplex.wait_all_sent().await;
        duplex.close();
    };
    block_on(future::or(sending, async { panic!("{}", duplex.run_writer(|| {}).await) }));
    assert_eq!(reading.join().unwrap().unwrap(), SENDS * 10_000);
}

/// Guards against finding a peer that does not read by anything else than the time without progress.
#[test]
fn a_peer_that_does_not_read_is_told_by_the_time_without_progress() {
    let (duplex, mut peer) = connect();
    let before = Instant::now();
    assert_eq!(duplex.stalled_since(), None);
    while duplex.unsent_bytes() < MAX_KERNEL_BYTES {
        assert!(duplex.send(&[7; 10_000]));
    }
    let since = duplex.stalled_since().expect("bytes wait");
    assert!(since >= before);
    std::thread::sleep(Duration::from_millis(50));
    assert!(duplex.send(b"more") && duplex.stalled_since() == Some(since), "a further answer is no progress");
    // The peer reads: the time starts anew, also if the writer has had no turn.
    let mut bytes = vec![0; MAX_KERNEL_BYTES];
    let progress = Instant::now();
    while duplex.stalled_since() == Some(since) {
        assert!(progress.elapsed() < DEADLINE, "no progress although the peer reads");
        let _: usize = peer.read(&mut bytes).unwrap();
    }
    assert!(duplex.stalled_since().is_none_or(|later| later > since));
}

#[test]
fn bytes_received_before_the_close_are_not_read_after_it() {
    let (duplex, mut peer) = connect();
    deliver(&duplex, &mut peer, b"a request");
    duplex.close();
    assert_eq!(read(&duplex), b"");
}

#[test]
fn bytes_received_after_the_close_are_not_read() {
    let (duplex, mut peer) = connect();
    duplex.close();
    send_after_close(&mut peer, b"a request");
    assert_eq!(read(&duplex), b"");
    drop(duplex);
}

/// Reads the end of the stream at the peer, then writes bytes from it.
fn send_after_close(peer: &mut TcpStream, bytes: &[u8]) {
    assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0);
    peer.write_all(bytes).unwrap();
}

#[test]
fn a_close_ends_a_waiting_read() {
    let (duplex, _peer) = connect();
    let reading = duplex.read(|_| {});
    let closing = async {
        // The read is polled first and waits by now.
        future::yield_now().await;
        duplex.close();
    };
    let (read, ()) = block_on(future::zip(reading, closing));
    assert_eq!(read.unwrap(), 0);
}

#[test]
fn a_close_with_unread_bytes_ends_the_stream_without_a_reset() {
    let (duplex, mut peer) = connect();
    deliver(&duplex, &mut peer, &[1; 50_000]);
    assert!(duplex.send(b"the last answer"));
    let answered = std::thread::spawn(move || {
        let mut received = Vec::new();
        // Reads to the end of the stream; a reset is an error.
        peer.read_to_end(&mut received).map(|_| received)
    });
    block_on(duplex.finish(DEADLINE));
    drop(duplex);
    assert_eq!(answered.join().unwrap().unwrap(), b"the last answer");
}

#[test]
fn all_unsent_bytes_are_sent_before_the_end_of_the_stream() {
    const ANSWER_BYTES: usize = 6 << 20;
    let (duplex, mut peer) = connect();
    assert!(duplex.send(&vec![7; ANSWER_BYTES]));
    assert!(duplex.unsent_bytes() > 0, "the kernel buffered the whole answer: the test checks nothing");
    duplex.close();
    let answered = std::thread::spawn(move || {
        let mut received = Vec::new();
        peer.read_to_end(&mut received).map(|_| received.len())
    });
    block_on(duplex.finish(DEADLINE));
    assert_eq!(answered.join().unwrap().unwrap(), ANSWER_BYTES);
}

#[test]
fn the_wait_for_a_peer_that_never_reads_or_never_closes_is_bounded() {
    const LIMIT: Duration = Duration::from_millis(50);
    let (unread, _peer_without_read) = connect();
    assert!(unread.send(&vec![7; 6 << 20]) && unread.unsent_bytes() > 0);
    let (unclosed, _peer_without_close) = connect();
    for duplex in [&unread, &unclosed] {
        let since = Instant::now();
        block_on(duplex.finish(LIMIT));
        assert!((LIMIT..DEADLINE).contains(&since.elapsed()), "after {:?}", since.elapsed());
    }
}

#[test]
fn a_peer_that_never_stops_sending_is_disconnected() {
    let (duplex, mut peer) = connect();
    let sending = std::thread::spawn(move || loop {
        if let Err(e) = peer.write_all(&[0; 64 << 10]) {
            return e.kind();
        }
    });
    // Returns before its time limit only because the discarded bytes are bounded.
    block_on(duplex.finish(Duration::from_secs(3_600)));
    drop(duplex);
    let ended = sending.join().unwrap();
    assert!(matches!(ended, ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{ended:?}");
}

#[test]
fn finish_returns_at_once_after_an_abort() {
    let (duplex, mut peer) = connect();
    deliver(&duplex, &mut peer, b"a request");
    duplex.abort();
    duplex.close();
    assert_eq!(read(&duplex), b"");
    block_on(duplex.finish(Duration::from_secs(3_600)));
}

/// Guards against a limit for the time of a whole write: a client that reads slowly would lose the rest of its answer.
#[test]
fn a_write_lasts_as_long_as_its_peer_reads_and_ends_when_it_stops() {
    const MAX_STALL: Duration = Duration::from_millis(400);
    const PAUSE: Duration = Duration::from_millis(20);
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = Async::new(listener.accept().unwrap().0).unwrap();
    violetward_net::set_stream_options(socket.get_ref());
    let bytes = vec![7; 2 * MAX_KERNEL_BYTES];
    let slow_reader = std::thread::spawn(move || {
        let mut buffer = vec![0; 256 << 10];
        for _ in 0..2 * MAX_STALL.as_millis() / PAUSE.as_millis() {
            std::thread::sleep(PAUSE);
            peer.read_exact(&mut buffer).unwrap();
        }
        peer
    });
    let started = Instant::now();
    let error = block_on(violetward_net::write_all(&socket, &bytes, MAX_STALL)).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    assert!(started.elapsed() > 2 * MAX_STALL, "given up after {:?}, while the peer read", started.elapsed());
    drop(slow_reader.join().unwrap());
}

/// Bytes sent before the socket is dropped, and how the peer sees the connection end.
fn end_behind_unread_bytes(end: impl FnOnce(&Duplex)) -> std::io::Result<usize> {
    let (duplex, mut peer) = connect();
    duplex.send(&vec![7; MAX_KERNEL_BYTES]);
    end(&duplex);
    assert_eq!(read(&duplex), b"", "an ended connection is not read");
    drop(duplex);
    peer.read_to_end(&mut Vec::new())
}

/// Guards against a request that reaches its engine after a cut of the network although it was given up: after an
/// orderly close the kernel still sends what it holds.
#[test]
fn a_reset_drops_what_the_peer_has_not_received() {
    assert!(end_behind_unread_bytes(Duplex::abort).is_ok_and(|received| received > 0));
    let error = end_behind_unread_bytes(Duplex::reset).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
