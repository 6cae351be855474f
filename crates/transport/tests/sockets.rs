//! Calls, streams and messages over UDP and TCP on the loopback interface.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use violetward_net::{sleep, Clock};
use violetward_transport::session::{CloseReason, Identity, Timeouts};
use violetward_transport::sockets::{
    bind, dial, serve, CallError, CallFailure, Caller, Datagrams, Endpoint, Mailbox,
};
use violetward_transport::{Key, Keys, Messages, Records, MAX_RECORD_BYTES};

const TIME_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A key for each name; the first one signs.
fn keys(names: &[&str]) -> Keys {
    let key =
        |name: &&str| Key { name: (*name).into(), secret: format!("the secret of {name}, long").into() };
    Keys::new(names.iter().map(key).collect()).expect("valid keys")
}

type Executor = Rc<LocalExecutor<'static>>;

fn endpoint(executor: &Executor, name: &str, key_names: &[&str]) -> Rc<Endpoint> {
    let timeouts = Timeouts { handshake: 1_000_000, keepalive: 200_000, idle: 2_000_000 };
    let identity = Identity { name: name.into(), incarnation: 7 };
    Endpoint::new(executor.clone(), Clock::new(), identity, keys(key_names), timeouts)
}

/// Starts an endpoint that responds with the caller's name followed by the record, but never to a record that
/// starts with `hold`.
fn start_echo_server(
    executor: &Executor,
    name: &str,
    key_names: &[&str],
) -> (Rc<Endpoint>, SocketAddr, Datagrams) {
    let endpoint = endpoint(executor, name, key_names);
    let (datagrams, listener) = bind(([127, 0, 0, 1], 0).into()).expect("a UDP and a TCP socket");
    let address = datagrams.address().expect("its address");
    assert_eq!(listener.get_ref().local_addr().expect("its address"), address);
    let handler = |from: String, record: Vec<u8>| async move {
        if record.starts_with(b"hold") {
            future::pending::<()>().await;
        }
        [from.into_bytes(), record].concat()
    };
    executor.spawn(serve(endpoint.clone(), listener, handler)).detach();
    (endpoint, address, datagrams)
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Executor) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    future::block_on(executor.run(test(executor.clone())));
}

#[test]
fn each_of_many_concurrent_calls_gets_its_own_response() {
    run(|executor| async move {
        let (_g2, to, _) = start_echo_server(&executor, "g2", &["new", "old"]);
        let caller = Rc::new(Caller::new(&endpoint(&executor, "g1", &["old", "new"])));
        let calls: Vec<_> = (0..400_usize)
            .map(|n| {
                let caller = caller.clone();
                let record = vec![n as u8; if n % 100 == 0 { MAX_RECORD_BYTES - 2 } else { n }];
                executor.spawn(async move {
                    loop {
                        match caller.call_named("g2", to, &record, TIME_LIMIT).await {
                            Ok(answer) => break assert!(answer[..2] == *b"g1" && answer[2..] == record[..]),
                            // Over the limit of pending calls on either end: not delivered, so it is safe to
                            // repeat.
                            Err(CallError::NotDelivered(
                                CallFailure::QueueFull | CallFailure::Overloaded,
                            )) => sleep(POLL_INTERVAL).await,
                            Err(other) => panic!("{other}"),
                        }
                    }
                })
            })
            .collect();
        for call in calls {
            call.await;
        }
        let too_long = caller.call(to, &vec![0; MAX_RECORD_BYTES + 1], TIME_LIMIT).await;
        assert_eq!(too_long, Err(CallError::NotDelivered(CallFailure::TooLong)));
    });
}

#[test]
fn call_errors_say_whether_the_record_may_have_been_delivered() {
    run(|executor| async move {
        let (g2, to, _) = start_echo_server(&executor, "g2", &["key"]);
        let caller = Caller::new(&endpoint(&executor, "g1", &["key"]));
        let unused = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
        let not_listening = caller.call(unused, b"x", TIME_LIMIT).await;
        assert_eq!(
            not_listening,
            Err(CallError::NotDelivered(CallFailure::Unreachable(CloseReason::Disconnected)))
        );
        let wrong_name = caller.call_named("g3", to, b"x", TIME_LIMIT).await;
        assert_eq!(wrong_name, Err(CallError::NotDelivered(CallFailure::WrongGateway("g2".into()))));
        let untrusted = Caller::new(&endpoint(&executor, "g9", &["another"]));
        assert!(untrusted
            .call(to, b"x", TIME_LIMIT)
            .await
            .expect_err("its key is not accepted")
            .is_undelivered());
        // A listener that accepts connections but never sends a hello: the call fails in bounded time, and
        // the record is not sent.
        let mute_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let no_hello = caller.call(mute_listener.local_addr().expect("its address"), b"x", TIME_LIMIT).await;
        assert_eq!(
            no_hello,
            Err(CallError::NotDelivered(CallFailure::Unreachable(CloseReason::HandshakeTimeout)))
        );

        let timed_out = caller.call(to, b"hold", Duration::from_millis(200)).await;
        assert_eq!(timed_out, Err(CallError::MayBeDelivered(CallFailure::TimedOut)));
        // The server no longer accepts the caller's key: the stream and its pending call end.
        let revoke_key = async {
            sleep(Duration::from_millis(100)).await;
            g2.set_keys(keys(&["another"]));
            future::pending().await
        };
        let key_revoked = future::or(caller.call(to, b"hold", TIME_LIMIT), revoke_key).await;
        assert_eq!(
            key_revoked,
            Err(CallError::MayBeDelivered(CallFailure::StreamClosed(CloseReason::Disconnected)))
        );
    });
}

/// Waits until a connection is closed by the other end, without receiving any bytes.
async fn wait_until_closed(mut stream: &TcpStream) {
    stream.set_nonblocking(true).expect("a socket");
    loop {
        match stream.read(&mut [0]) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => sleep(POLL_INTERVAL).await,
            read => {
                return assert!(!matches!(read, Ok(1..)), "received bytes before the connection was closed")
            }
        }
    }
}

#[test]
fn unauthenticated_connections_are_closed_and_do_not_block_calls() {
    run(|executor| async move {
        let (_g2, to, _) = start_echo_server(&executor, "g2", &["key"]);
        let mut idle_connections = Vec::new();
        for _ in 0..300 {
            idle_connections.push(Async::<TcpStream>::connect(to).await.expect("a connection"));
        }
        let caller = Caller::new(&endpoint(&executor, "g1", &["key"]));
        assert_eq!(caller.call(to, b"!", TIME_LIMIT).await.as_deref(), Ok(&b"g1!"[..]));
        for stream in &idle_connections {
            wait_until_closed(stream.get_ref()).await;
        }
        // Keepalives keep an idle stream open for longer than the idle timeout.
        sleep(Duration::from_millis(2_500)).await;
        assert_eq!(caller.call(to, b"?", TIME_LIMIT).await.as_deref(), Ok(&b"g1?"[..]));
        // A frame length over the limit is rejected at once.
        let mut invalid = TcpStream::connect(to).expect("a connection");
        invalid.write_all(&u32::MAX.to_be_bytes()).expect("four bytes");
        wait_until_closed(&invalid).await;
    });
}

#[test]
fn a_stream_whose_peer_stops_reading_queues_bounded_bytes_and_times_out() {
    run(|executor| async move {
        let (_datagrams, listener) = bind(([127, 0, 0, 1], 0).into()).expect("a UDP and a TCP socket");
        let to = listener.get_ref().local_addr().expect("its address");
        // A relay forwards the handshake and then stops forwarding.
        let relay = TcpListener::bind("127.0.0.1:0").expect("a port");
        let relay_address = relay.local_addr().expect("its address");
        let relaying = std::thread::spawn(move || {
            let (mut client, _) = relay.accept().expect("a connection");
            let mut server = TcpStream::connect(to).expect("a connection to the server");
            let (mut client2, mut server2) =
                (client.try_clone().expect("a second handle"), server.try_clone().expect("a second handle"));
            let back = std::thread::spawn(move || std::io::copy(&mut server2, &mut client2).ok());
            let mut bytes = [0; 300];
            let mut forwarded = 0;
            while forwarded < 80 {
                let n = client.read(&mut bytes).expect("a hello");
                server.write_all(&bytes[..n]).expect("forwarded");
                forwarded += n;
            }
            (client, server, back)
        });
        let (g1, g2) = (endpoint(&executor, "g1", &["key"]), endpoint(&executor, "g2", &["key"]));
        executor.spawn(serve(g2, listener, |_, record| async move { record })).detach();
        let mut stream = dial(&g1, relay_address).await.expect("a stream");
        let start = Instant::now();
        let mut max_queued = 0;
        while !stream.is_closed() && start.elapsed() < TIME_LIMIT {
            while Records::send(&mut stream, &[7; 100_000]).is_ok() {}
            max_queued = max_queued.max(stream.queued_bytes());
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(stream.close_reason(), Some(CloseReason::TimedOut));
        assert!(max_queued > 4 << 20 && max_queued <= (8 << 20) + 100, "{max_queued} bytes queued");
        drop(relaying.join());
    });
}

#[test]
fn messages_with_a_wrong_key_or_addressee_are_dropped() {
    run(|executor| async move {
        let mailboxes = ["g1", "g2", "g9"].map(|name| {
            let key = if name == "g9" { "another" } else { "key" };
            let (datagrams, _) = bind(([127, 0, 0, 1], 0).into()).expect("a UDP and a TCP socket");
            let address = datagrams.address().expect("its address");
            (Mailbox::start(&endpoint(&executor, name, &[key]), datagrams), address)
        });
        let [(mut g1, _), (mut g2, to), (mut g9, _)] = mailboxes;
        for mailbox in [&mut g1, &mut g9] {
            mailbox.set_address("g2", to).expect("room");
            mailbox.set_address("g3", to).expect("room");
        }
        g9.send("g2", b"untrusted").expect("sent");
        g1.send("g3", b"to another gateway").expect("sent");
        g1.send("g2", b"hello").expect("sent");
        let mut received = None;
        while received.is_none() {
            sleep(POLL_INTERVAL).await;
            received = g2.next();
        }
        assert_eq!(received, Some(("g1".into(), b"hello".to_vec())));
        sleep(POLL_INTERVAL).await;
        assert_eq!(g2.next(), None);
    });
}
