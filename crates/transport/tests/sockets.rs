//! Calls and messages over loopback.

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

const LONG: Duration = Duration::from_secs(20);
const BRIEF: Duration = Duration::from_millis(5);

fn ring(names: &[&str]) -> Keys {
    let key =
        |name: &&str| Key { name: (*name).into(), secret: format!("the secret of {name}, long").into() };
    Keys::new(names.iter().map(key).collect()).expect("a ring")
}

type Executor = Rc<LocalExecutor<'static>>;

fn endpoint(executor: &Executor, name: &str, keys: &[&str]) -> Rc<Endpoint> {
    let timeouts = Timeouts { handshake: 1_000_000, keepalive: 200_000, idle: 2_000_000 };
    let identity = Identity { name: name.into(), incarnation: 7 };
    Endpoint::new(executor.clone(), Clock::new(), identity, ring(keys), timeouts)
}

/// A endpoint that answers with the caller's name and what it said; what begins with `hold` it never answers.
fn echo(executor: &Executor, name: &str, keys: &[&str]) -> (Rc<Endpoint>, SocketAddr, Datagrams) {
    let endpoint = endpoint(executor, name, keys);
    let (datagrams, listener) = bind(([127, 0, 0, 1], 0).into()).expect("two sockets");
    let address = datagrams.address().expect("its address");
    assert_eq!(listener.get_ref().local_addr().expect("its address"), address);
    let handler = |from: String, says: Vec<u8>| async move {
        if says.starts_with(b"hold") {
            future::pending::<()>().await;
        }
        [from.into_bytes(), says].concat()
    };
    executor.spawn(serve(endpoint.clone(), listener, handler)).detach();
    (endpoint, address, datagrams)
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Executor) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    future::block_on(executor.run(test(executor.clone())));
}

#[test]
fn many_calls_at_once_get_their_own_answers() {
    run(|executor| async move {
        let (_g2, to, _) = echo(&executor, "g2", &["new", "old"]);
        let caller = Rc::new(Caller::new(&endpoint(&executor, "g1", &["old", "new"])));
        let calls: Vec<_> = (0..400_usize)
            .map(|n| {
                let caller = caller.clone();
                let record = vec![n as u8; if n % 100 == 0 { MAX_RECORD_BYTES - 2 } else { n }];
                executor.spawn(async move {
                    loop {
                        match caller.call_named("g2", to, &record, LONG).await {
                            Ok(answer) => break assert!(answer[..2] == *b"g1" && answer[2..] == record[..]),
                            // More at once than may be out, or be in hand there: surely not delivered, so sent again.
                            Err(CallError::NotDelivered(
                                CallFailure::QueueFull | CallFailure::Overloaded,
                            )) => sleep(BRIEF).await,
                            Err(other) => panic!("{other}"),
                        }
                    }
                })
            })
            .collect();
        for call in calls {
            call.await;
        }
        let too_long = caller.call(to, &vec![0; MAX_RECORD_BYTES + 1], LONG).await;
        assert_eq!(too_long, Err(CallError::NotDelivered(CallFailure::TooLong)));
    });
}

#[test]
fn what_was_surely_not_delivered_is_told_apart_from_what_may_have_been() {
    run(|executor| async move {
        let (g2, to, _) = echo(&executor, "g2", &["key"]);
        let caller = Caller::new(&endpoint(&executor, "g1", &["key"]));
        let free = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
        let nobody = caller.call(free, b"x", LONG).await;
        assert_eq!(nobody, Err(CallError::NotDelivered(CallFailure::Unreachable(CloseReason::Disconnected))));
        let other = caller.call_named("g3", to, b"x", LONG).await;
        assert_eq!(other, Err(CallError::NotDelivered(CallFailure::WrongGateway("g2".into()))));
        let stranger = Caller::new(&endpoint(&executor, "g9", &["another"]));
        assert!(stranger.call(to, b"x", LONG).await.expect_err("its key is not believed").is_undelivered());
        // Somebody who takes connections and says nothing: given up in bounded time, and nothing was said to him.
        let mute = TcpListener::bind("127.0.0.1:0").expect("a port");
        let silent = caller.call(mute.local_addr().expect("its address"), b"x", LONG).await;
        assert_eq!(
            silent,
            Err(CallError::NotDelivered(CallFailure::Unreachable(CloseReason::HandshakeTimeout)))
        );

        let late = caller.call(to, b"hold", Duration::from_millis(200)).await;
        assert_eq!(late, Err(CallError::MayBeDelivered(CallFailure::TimedOut)));
        // The ring there has no key of ours any more: the stream ends, and with it what is out on it.
        let cut = async {
            sleep(Duration::from_millis(100)).await;
            g2.set_keys(ring(&["another"]));
            future::pending().await
        };
        let broken = future::or(caller.call(to, b"hold", LONG), cut).await;
        assert_eq!(
            broken,
            Err(CallError::MayBeDelivered(CallFailure::StreamClosed(CloseReason::Disconnected)))
        );
    });
}

/// Waits until a connection is ended, without a word.
async fn ended(mut stream: &TcpStream) {
    stream.set_nonblocking(true).expect("a socket");
    loop {
        match stream.read(&mut [0]) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => sleep(BRIEF).await,
            read => return assert!(!matches!(read, Ok(1..)), "something is said to it"),
        }
    }
}

#[test]
fn ends_that_connect_and_prove_nothing_are_let_go_and_stop_nobody() {
    run(|executor| async move {
        let (_g2, to, _) = echo(&executor, "g2", &["key"]);
        let mut silent = Vec::new();
        for _ in 0..300 {
            silent.push(Async::<TcpStream>::connect(to).await.expect("a connection"));
        }
        let caller = Caller::new(&endpoint(&executor, "g1", &["key"]));
        assert_eq!(caller.call(to, b"!", LONG).await.as_deref(), Ok(&b"g1!"[..]));
        for stream in &silent {
            ended(stream.get_ref()).await;
        }
        // The stream that is used outlives spans of silence: both ends say that they are still there.
        sleep(Duration::from_millis(2_500)).await;
        assert_eq!(caller.call(to, b"?", LONG).await.as_deref(), Ok(&b"g1?"[..]));
        // A length that nobody of ours sends is not waited for.
        let mut odd = TcpStream::connect(to).expect("a connection");
        odd.write_all(&u32::MAX.to_be_bytes()).expect("four octets");
        ended(&odd).await;
    });
}

#[test]
fn a_reader_that_takes_nothing_holds_bounded_memory_and_is_let_go() {
    run(|executor| async move {
        let (_datagrams, listener) = bind(([127, 0, 0, 1], 0).into()).expect("two sockets");
        let to = listener.get_ref().local_addr().expect("its address");
        // Behind a relay that stops passing on, once the ends are proved.
        let relay = TcpListener::bind("127.0.0.1:0").expect("a port");
        let by = relay.local_addr().expect("its address");
        let stop = std::thread::spawn(move || {
            let (mut near, _) = relay.accept().expect("a connection");
            let mut far = TcpStream::connect(to).expect("its other half");
            let (mut near2, mut far2) = (near.try_clone().expect("it"), far.try_clone().expect("it"));
            let back = std::thread::spawn(move || std::io::copy(&mut far2, &mut near2).ok());
            let mut first = [0; 300];
            let mut passed = 0;
            while passed < 80 {
                let n = near.read(&mut first).expect("a greeting");
                far.write_all(&first[..n]).expect("passed on");
                passed += n;
            }
            (near, far, back)
        });
        let (g1, g2) = (endpoint(&executor, "g1", &["key"]), endpoint(&executor, "g2", &["key"]));
        executor.spawn(serve(g2, listener, |_, says| async move { says })).detach();
        let mut stream = dial(&g1, by).await.expect("a stream");
        let start = Instant::now();
        let mut most = 0;
        while !stream.is_closed() && start.elapsed() < LONG {
            while Records::send(&mut stream, &[7; 100_000]).is_ok() {}
            most = most.max(stream.queued_bytes());
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(stream.close_reason(), Some(CloseReason::TimedOut));
        assert!(most > 4 << 20 && most <= (8 << 20) + 100, "{most} octets waited");
        drop(stop.join());
    });
}

#[test]
fn messages_come_from_whom_they_say_or_not_at_all() {
    run(|executor| async move {
        let posts = ["g1", "g2", "g9"].map(|name| {
            let key = if name == "g9" { "another" } else { "key" };
            let (datagrams, _) = bind(([127, 0, 0, 1], 0).into()).expect("two sockets");
            let address = datagrams.address().expect("its address");
            (Mailbox::start(&endpoint(&executor, name, &[key]), datagrams), address)
        });
        let [(mut g1, _), (mut g2, to), (mut g9, _)] = posts;
        for post in [&mut g1, &mut g9] {
            post.set_address("g2", to).expect("room");
            post.set_address("g3", to).expect("room");
        }
        g9.send("g2", b"a stranger's").expect("sent");
        g1.send("g3", b"another's").expect("sent");
        g1.send("g2", b"hello").expect("sent");
        let mut come = None;
        while come.is_none() {
            sleep(BRIEF).await;
            come = g2.next();
        }
        assert_eq!(come, Some(("g1".into(), b"hello".to_vec())));
        sleep(BRIEF).await;
        assert_eq!(g2.next(), None);
    });
}
