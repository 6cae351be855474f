//! A socket that is read and written at once, between a peer that reads late, never, or sends at the wrong moment.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use async_io::{block_on, Async};
use violetward_net::Duplex;

/// How long anything may take that has to happen.
const SOON: Duration = Duration::from_secs(20);
/// Bytes that are kept for the peer.
const KEPT: usize = 8 << 20;

fn connected(kept: usize) -> (Duplex, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_read_timeout(Some(SOON)).unwrap();
    let (socket, _) = listener.accept().unwrap();
    (Duplex::new(Async::new(socket).unwrap(), kept), peer)
}

/// The peer writes, and its bytes have arrived.
fn arrives(duplex: &Duplex, peer: &mut TcpStream, bytes: &[u8]) {
    peer.write_all(bytes).unwrap();
    let since = Instant::now();
    while duplex.is_idle() {
        assert!(since.elapsed() < SOON, "the bytes do not arrive");
        std::thread::yield_now();
    }
}

/// What is read from it, once.
fn read(duplex: &Duplex) -> Vec<u8> {
    let mut got = Vec::new();
    block_on(duplex.read(|bytes| got.extend_from_slice(bytes))).unwrap();
    got
}

#[test]
fn a_peer_that_does_not_read_is_given_up_and_holds_nothing() {
    let (duplex, peer) = connected(100_000);
    let mut sent = 0;
    while duplex.send(&[7; 10_000]) {
        sent += 10_000;
        assert!(duplex.unsent().0 <= 100_000 && sent < 1 << 30, "{sent} sent, {} kept", duplex.unsent().0);
    }
    assert!(sent > 100_000 && duplex.is_closed() && duplex.unsent().0 == 0);
    assert!(!duplex.send(b"more") && !duplex.is_alive());
    drop(peer);
}

#[test]
fn bytes_that_came_before_the_close_are_not_read_after_it() {
    let (duplex, mut peer) = connected(KEPT);
    arrives(&duplex, &mut peer, b"a request");
    duplex.close();
    assert_eq!(read(&duplex), b"");
}

#[test]
fn bytes_that_cross_the_close_are_not_read_after_it() {
    let (duplex, mut peer) = connected(KEPT);
    duplex.close();
    arrives_after_close(&mut peer, b"a request");
    assert_eq!(read(&duplex), b"");
    drop(duplex);
}

/// The peer sees the end of the stream, and writes.
fn arrives_after_close(peer: &mut TcpStream, bytes: &[u8]) {
    assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0);
    peer.write_all(bytes).unwrap();
}

#[test]
fn a_reader_that_waits_is_told_of_the_close() {
    let (duplex, _peer) = connected(KEPT);
    let reading = duplex.read(|_| {});
    let closing = async {
        // The reader waits by now: it was polled first.
        futures_lite::future::yield_now().await;
        duplex.close();
    };
    let (read, ()) = block_on(futures_lite::future::zip(reading, closing));
    assert_eq!(read.unwrap(), 0);
}

#[test]
fn a_close_over_unread_bytes_ends_the_stream_and_resets_nothing() {
    let (duplex, mut peer) = connected(KEPT);
    arrives(&duplex, &mut peer, &[1; 50_000]);
    assert!(duplex.send(b"the last answer"));
    let answered = std::thread::spawn(move || {
        let mut got = Vec::new();
        // Reads to the end of the stream; a reset is an error.
        peer.read_to_end(&mut got).map(|_| got)
    });
    block_on(duplex.finish(SOON));
    drop(duplex);
    assert_eq!(answered.join().unwrap().unwrap(), b"the last answer");
}

#[test]
fn all_that_is_kept_is_sent_before_the_end() {
    const ANSWER: usize = 6 << 20;
    let (duplex, mut peer) = connected(KEPT);
    assert!(duplex.send(&vec![7; ANSWER]));
    assert!(duplex.unsent().0 > 0, "the system takes it all: nothing is shown");
    duplex.close();
    let answered = std::thread::spawn(move || {
        let mut got = Vec::new();
        peer.read_to_end(&mut got).map(|_| got.len())
    });
    block_on(duplex.finish(SOON));
    assert_eq!(answered.join().unwrap().unwrap(), ANSWER);
}

#[test]
fn a_peer_that_never_reads_or_never_closes_is_waited_for_in_bounded_time() {
    const WITHIN: Duration = Duration::from_millis(50);
    let (unread, _silent) = connected(KEPT);
    assert!(unread.send(&vec![7; 6 << 20]) && unread.unsent().0 > 0);
    let (unclosed, _resting) = connected(KEPT);
    for duplex in [&unread, &unclosed] {
        let since = Instant::now();
        block_on(duplex.finish(WITHIN));
        assert!((WITHIN..SOON).contains(&since.elapsed()), "after {:?}", since.elapsed());
    }
}

#[test]
fn a_peer_that_never_stops_sending_is_cut_off() {
    let (duplex, mut peer) = connected(KEPT);
    let sending = std::thread::spawn(move || loop {
        if let Err(e) = peer.write_all(&[0; 64 << 10]) {
            return e.kind();
        }
    });
    // Without a bound of bytes this would not end by itself.
    block_on(duplex.finish(Duration::from_secs(3_600)));
    drop(duplex);
    let ended = sending.join().unwrap();
    assert!(matches!(ended, ErrorKind::ConnectionReset | ErrorKind::BrokenPipe), "{ended:?}");
}

#[test]
fn an_aborted_connection_is_not_finished() {
    let (duplex, mut peer) = connected(KEPT);
    arrives(&duplex, &mut peer, b"a request");
    duplex.abort();
    duplex.close();
    assert_eq!(read(&duplex), b"");
    block_on(duplex.finish(Duration::from_secs(3_600)));
}
