//! [`Duplex`] with peers that read late or never, or send while the connection is being closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use async_io::{block_on, Async};
use violetward_net::Duplex;

/// Bound of every wait for something that must happen.
const DEADLINE: Duration = Duration::from_secs(20);
/// Bytes that are buffered for a peer that does not read.
const MAX_UNSENT_BYTES: usize = 8 << 20;

/// A connection and its peer.
fn connect(max_unsent_bytes: usize) -> (Duplex, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_read_timeout(Some(DEADLINE)).unwrap();
    let (socket, _) = listener.accept().unwrap();
    (Duplex::new(Async::new(socket).unwrap(), max_unsent_bytes), peer)
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

#[test]
fn a_connection_whose_peer_does_not_read_is_aborted_at_the_buffer_limit() {
    let (duplex, peer) = connect(100_000);
    let mut sent = 0;
    while duplex.send(&[7; 10_000]) {
        sent += 10_000;
        assert!(duplex.unsent().0 <= 100_000 && sent < 1 << 30, "{sent} sent, {} unsent", duplex.unsent().0);
    }
    assert!(sent > 100_000 && duplex.is_closed() && duplex.unsent().0 == 0);
    assert!(!duplex.send(b"more") && !duplex.is_alive());
    drop(peer);
}

#[test]
fn bytes_received_before_the_close_are_not_read_after_it() {
    let (duplex, mut peer) = connect(MAX_UNSENT_BYTES);
    deliver(&duplex, &mut peer, b"a request");
    duplex.close();
    assert_eq!(read(&duplex), b"");
}

#[test]
fn bytes_received_after_the_close_are_not_read() {
    let (duplex, mut peer) = connect(MAX_UNSENT_BYTES);
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
    let (duplex, _peer) = connect(MAX_UNSENT_BYTES);
    let reading = duplex.read(|_| {});
    let closing = async {
        // The read is polled first and waits by now.
        futures_lite::future::yield_now().await;
        duplex.close();
    };
    let (read, ()) = block_on(futures_lite::future::zip(reading, closing));
    assert_eq!(read.unwrap(), 0);
}

#[test]
fn a_close_with_unread_bytes_ends_the_stream_without_a_reset() {
    let (duplex, mut peer) = connect(MAX_UNSENT_BYTES);
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
    let (duplex, mut peer) = connect(MAX_UNSENT_BYTES);
    assert!(duplex.send(&vec![7; ANSWER_BYTES]));
    assert!(duplex.unsent().0 > 0, "the kernel buffered the whole answer: the test checks nothing");
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
    let (unread, _peer_without_read) = connect(MAX_UNSENT_BYTES);
    assert!(unread.send(&vec![7; 6 << 20]) && unread.unsent().0 > 0);
    let (unclosed, _peer_without_close) = connect(MAX_UNSENT_BYTES);
    for duplex in [&unread, &unclosed] {
        let since = Instant::now();
        block_on(duplex.finish(LIMIT));
        assert!((LIMIT..DEADLINE).contains(&since.elapsed()), "after {:?}", since.elapsed());
    }
}

#[test]
fn a_peer_that_never_stops_sending_is_disconnected() {
    let (duplex, mut peer) = connect(MAX_UNSENT_BYTES);
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
    let (duplex, mut peer) = connect(MAX_UNSENT_BYTES);
    deliver(&duplex, &mut peer, b"a request");
    duplex.abort();
    duplex.close();
    assert_eq!(read(&duplex), b"");
    block_on(duplex.finish(Duration::from_secs(3_600)));
}
