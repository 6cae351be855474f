//! The whole path over sockets: a gateway, stand-in engines and clients on one thread of each test.

mod bed;

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use bed::with;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, StreamExt};
use violetward_client::resend::{Budget, Effect};
use violetward_client::{Cancelled, Client, Ending, KernelClient, Kernels, Options, Query, Service};
use violetward_gateway::service;
use violetward_kernel::message::Signer;
use violetward_kernel::zmtp;
use violetward_lab::fleet;
use violetward_net::{sleep, timeout};
use violetward_standin::fault::Fault;
use violetward_standin::journal::{self, What};
use violetward_standin::server::clock;
use violetward_statement::http::{Headers, Message};
use violetward_statement::results::{QueryResults, STATEMENT};

fn next(message: &Message) -> String {
    let results: QueryResults = serde_json::from_slice(&message.body).unwrap();
    results.next_uri.expect("a next page")
}

#[test]
fn pages_can_be_asked_for_twice_older_ones_are_gone_and_guessed_ones_unknown() {
    with(1, "", |bed| async move {
        let mut c = bed.connect().await;
        let posted = bed.post(&mut c, "SELECT * FROM points LIMIT 350", "lookup").await;
        let zero = posted.next_uri.unwrap();
        let first = bed.get(&mut c, &zero).await;
        assert_eq!(bed.get(&mut c, &zero).await.body, first.body);
        // On two connections at once.
        let one = next(&first);
        let (mut a, mut b) = (bed.connect().await, bed.connect().await);
        let (x, y) = future::zip(bed.get(&mut a, &one), bed.get(&mut b, &one)).await;
        assert_eq!((x.status(), &x.body), (200, &y.body));
        assert_eq!(bed.get(&mut c, &zero).await.status(), 410);
        let far = one.replace("/1", "/9");
        assert_eq!(bed.get(&mut c, &far).await.status(), 404);
        let at = zero.len() - 4;
        let mut guessed = zero.clone();
        let other = if &zero[at..=at] == "0" { "1" } else { "0" };
        guessed.replace_range(at..=at, other);
        assert_eq!(bed.get(&mut c, &guessed).await.status(), 404, "a slug that is one digit off");
        assert_eq!(bed.get(&mut c, "/v1/statement/executing/x/y/0").await.status(), 404);
        let (error, rows) = bed.run("SELECT * FROM points LIMIT 350", "lookup").await;
        assert_eq!((error, rows), (None, 350));
    });
}

#[test]
fn a_poll_after_its_engine_fell_silent_gets_one_end_in_time() {
    with(1, "(limits (long-poll \"300ms\"))", |bed| async move {
        let mut c = bed.connect().await;
        let start = Instant::now();
        let posted = bed.post(&mut c, "SELECT 1 /*sim work=300*/", "lookup").await;
        sleep(Duration::from_millis(50)).await;
        bed.engine(0).fault(&Fault::Vanish { for_ms: 20_000 });
        let (error, rows) = bed.finish(posted).await;
        assert_eq!((error.as_deref(), rows), (Some("STATEMENT_REFUSED"), 0));
        assert!(start.elapsed() < Duration::from_millis(4500), "its client gives up after 4 s");
    });
}

#[test]
fn an_engine_that_stops_after_half_of_the_rows_means_one_failure() {
    with(2, "(limits (stream-idle \"700ms\") (buffer \"1B\") (long-poll \"200ms\"))", |bed| async move {
        for n in 0..2 {
            bed.engine(n).fault(&Fault::StopAfterPages { pages: 1, for_ms: 30_000 });
        }
        let (error, rows) = bed.run("SELECT * FROM points LIMIT 1000", "lookup").await;
        assert_eq!(error.as_deref(), Some("STATEMENT_FAILED"));
        assert!((100..1000).contains(&rows), "{rows} rows, and never a second beginning");
        assert_eq!(bed.got(), 1);
    });
}

#[test]
fn a_keyed_load_whose_answers_are_lost_takes_effect_once() {
    with(2, "", |bed| async move {
        for n in 0..2 {
            bed.engine(n).fault(&Fault::LostAnswers { share: 1.0, for_ms: 1500 });
        }
        let (error, _) = bed.run("INSERT INTO loads VALUES (1, 'x')", "load,key=m1,repeat=r1").await;
        assert!(bed.got() >= 2, "it was tried again");
        // The end may come while the engines are still at it.
        sleep(Duration::from_millis(300)).await;
        assert_eq!(bed.effects(), 1);
        // Refused is honest too: its mark makes a further try a repeat.
        assert!(error.is_none() || error.as_deref() == Some("STATEMENT_REFUSED"), "{error:?}");
        // The client's own retry with the same mark is dropped too; with another mark it is another load.
        bed.insist("INSERT INTO loads VALUES (1, 'x')", "load,key=m1,repeat=r1").await;
        assert_eq!(bed.effects(), 1);
        bed.insist("INSERT INTO loads VALUES (1, 'x')", "load,key=m1,repeat=r2").await;
        assert_eq!(bed.effects(), 2);
    });
}

#[test]
fn an_unsafe_statement_goes_elsewhere_only_if_nothing_was_written() {
    with(2, "", |bed| async move {
        bed.engine(0).fault(&Fault::Refuse { for_ms: 30_000 });
        sleep(Duration::from_millis(30)).await;
        for n in 0..6 {
            let (error, _) = bed.run(&format!("INSERT INTO loads VALUES ({n}, 'n')"), "notice").await;
            assert_eq!(error, None, "a refused connection proves that it has not run");
        }
        assert_eq!(bed.effects(), 6);
    });
    with(1, "", |bed| async move {
        bed.engine(0).fault(&Fault::LostAnswers { share: 1.0, for_ms: 30_000 });
        let (error, _) = bed.run("INSERT INTO loads VALUES (1, 'n')", "notice").await;
        assert_eq!(error.as_deref(), Some("STATEMENT_FAILED"), "it may have run");
        assert_eq!(bed.got(), 1);
    });
}

#[test]
fn a_removed_engine_gets_nothing_after_the_grace() {
    with(2, "", |bed| async move {
        let stop = Rc::new(std::cell::Cell::new(false));
        let mut clients = Vec::new();
        for _ in 0..12 {
            let (bed, stop) = (bed.clone(), stop.clone());
            clients.push(bed.clone().executor.spawn(async move {
                let mut ends = 0;
                while !stop.get() {
                    bed.run("SELECT 1 /*sim work=40*/", "lookup").await;
                    ends += 1;
                }
                ends
            }));
        }
        sleep(Duration::from_millis(500)).await;
        let at = clock();
        bed.write_list(|list| list.retain(|e| e.name != "e0"));
        sleep(Duration::from_millis(1500)).await;
        let at_removal = |name: &str, from: u64, to: u64| {
            let lines = bed.lines();
            lines
                .iter()
                .filter(|l| {
                    l.engine == name && matches!(l.what, What::Got { .. }) && l.at > from && l.at < to
                })
                .count()
        };
        assert!(at_removal("e0", 0, at) > 0 && at_removal("e1", at + 500_000, u64::MAX) > 0);
        assert_eq!(at_removal("e0", at + 500_000, u64::MAX), 0);
        // All engines at once: everything still ends, and nothing goes out.
        let at = clock();
        bed.write_list(|list| list.clear());
        sleep(Duration::from_millis(700)).await;
        let (error, _) = bed.run("SELECT 2", "lookup").await;
        assert_eq!(error.as_deref(), Some("STATEMENT_REFUSED"));
        stop.set(true);
        for client in clients {
            assert!(client.await > 0);
        }
        assert_eq!(at_removal("e1", at + 500_000, u64::MAX), 0);
    });
}

#[test]
fn a_client_that_leaves_frees_its_engine() {
    with(1, "(limits (abandon-after \"400ms\") (long-poll \"100ms\"))", |bed| async move {
        let mut c = bed.connect().await;
        let posted = bed.post(&mut c, "SELECT 1 /*sim work=2500*/", "lookup").await;
        bed.get(&mut c, &posted.next_uri.unwrap()).await;
        drop(c);
        while bed.host.read_core(|core| core.counts.abandoned) == 0 {
            sleep(Duration::from_millis(20)).await;
        }
        let cancelled = |l: &journal::Line| matches!(&l.what, What::Over { how, .. } if how == "cancelled");
        for _ in 0..40 {
            if bed.lines().iter().any(cancelled) {
                break;
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert!(bed.lines().iter().any(cancelled), "its work is ended before it is done");
    });
}

#[test]
fn a_cancel_reaches_the_engine_and_the_end_stays() {
    with(1, "", |bed| async move {
        let mut c = bed.connect().await;
        let posted = bed.post(&mut c, "SELECT 1 /*sim work=1500*/", "lookup").await;
        let uri = posted.next_uri.unwrap();
        sleep(Duration::from_millis(50)).await;
        assert_eq!(bed.ask(&mut c, "DELETE", &uri).await.status(), 204);
        let page = bed.get(&mut c, &uri).await;
        let results: QueryResults = serde_json::from_slice(&page.body).unwrap();
        assert_eq!(results.error.unwrap().error_name, "USER_CANCELED");
        sleep(Duration::from_millis(100)).await;
        assert!(bed.lines().iter().any(|l| matches!(&l.what, What::Over { how, .. } if how == "cancelled")));
        assert_eq!(bed.get(&mut c, &uri).await.body, page.body);
    });
}

#[test]
fn a_gateway_that_stops_takes_nothing_new_and_answers_what_it_took() {
    with(1, "", |bed| async move {
        let mut c = bed.connect().await;
        let posted = bed.post(&mut c, "SELECT 1 /*sim work=400*/", "lookup").await;
        let host = bed.host.clone();
        let stopping = bed.executor.spawn(async move { service::stop(&host, Duration::from_secs(20)).await });
        sleep(Duration::from_millis(50)).await;
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        headers.push("X-Trino-User", "late");
        let late = c.call("POST", STATEMENT, &headers, b"SELECT 1").await.unwrap();
        assert_eq!(late.status(), 503, "not taken: it may be sent to another gateway");
        assert_eq!(bed.finish(posted).await, (None, 1));
        stopping.await;
        assert_eq!(bed.got(), 1);
    });
}

/// Sends bytes as they are; what comes back until the peer closes or is quiet.
async fn raw(address: SocketAddr, bytes: &[u8], quiet: Duration) -> String {
    let mut socket = Async::<TcpStream>::connect(address).await.unwrap();
    socket.write_all(bytes).await.ok();
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    while let Some(Ok(n)) = timeout(quiet, socket.read(&mut chunk)).await {
        if n == 0 {
            break;
        }
        answer.extend_from_slice(&chunk[..n]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn bad_clients_get_a_clear_error_and_cost_nobody_else_anything() {
    with(1, "(limits (request-within \"400ms\") (statement \"10kB\"))", |bed| async move {
        let stop = Rc::new(std::cell::Cell::new(false));
        let (good, halt) = (bed.clone(), stop.clone());
        let good = bed.executor.spawn(async move {
            let mut served = 0;
            while !halt.get() {
                assert_eq!(good.run("SELECT 1", "lookup").await, (None, 1));
                served += 1;
            }
            served
        });
        let quiet = Duration::from_millis(1500);
        let long = "a".repeat(100_000);
        let cases = [
            ("\x16\x03\x01\x02\x00 hello\r\n\r\n".to_owned(), "400"),
            ("GET / HTTP/3.0\r\nHost: a\r\n\r\n".to_owned(), "505"),
            (format!("GET /{long} HTTP/1.1\r\n"), "414"),
            (format!("GET / HTTP/1.1\r\nHost: a\r\nX: {long}\r\n\r\n"), "431"),
            ("POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n".to_owned(), "413"),
            ("POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(), "400"),
            ("POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nslow".to_owned(), "408"),
            ("GET /v1/in".to_owned(), "408"),
            ("POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\nConnection: close\r\n\r\nSELECT 1".to_owned(), "400"),
            ("POST /v1/statement HTTP/1.1\r\nHost: a\r\nX-Trino-User: u\r\nContent-Length: 2\r\nConnection: close\r\n\r\n\u{7f}\n".replace('\u{7f}', " "), "400"),
            ("PATCH /v1/info HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".to_owned(), "405"),
            ("HEAD /v1/statement/executing/a/b/0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".to_owned(), "405"),
        ];
        for (bytes, status) in &cases {
            let answer = raw(bed.address, bytes.as_bytes(), quiet).await;
            let shown: String = bytes.chars().take(60).collect();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{shown:?} got {answer:?}");
        }
        // Pipelined: both get their answers, in order.
        let two = "GET /v1/info HTTP/1.1\r\nHost: a\r\n\r\nGET /v1/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = raw(bed.address, two.as_bytes(), quiet).await;
        assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 2);
        let asks = "POST /v1/statement HTTP/1.1\r\nHost: a\r\nX-Trino-User: u\r\nExpect: 100-continue\r\nContent-Length: 8\r\n\r\n";
        assert!(raw(bed.address, asks.as_bytes(), Duration::from_millis(200))
            .await
            .starts_with("HTTP/1.1 100 "));
        stop.set(true);
        assert!(good.await > 10, "meanwhile everyone else was served");
    });
}

#[test]
fn counts_are_told_in_the_usual_exposition() {
    with(1, "", |bed| async move {
        for _ in 0..3 {
            assert_eq!(bed.run("SELECT 1", "lookup").await, (None, 1));
        }
        let mut c = bed.connect().await;
        let page = bed.get(&mut c, "/metrics").await;
        assert_eq!(page.headers.get("content-type"), Some(violetward_gateway::metrics::CONTENT_TYPE));
        let text = String::from_utf8(page.body).unwrap();
        for line in [
            "# TYPE violetward_statements_ended counter",
            "violetward_statements_ended_total{ending=\"served\"} 3",
            "violetward_statements_ended_total{ending=\"failed\"} 0",
            "violetward_statements_taken_total 3",
            "violetward_statements_open 0.0",
        ] {
            assert!(text.lines().any(|l| l == line), "{line:?} is not in {text}");
        }
        assert!(text.ends_with("# EOF\n"), "{text}");
        assert!(!text.contains("members"), "what the configuration lacks is not told: {text}");
    });
}

#[test]
fn bad_engines_are_told_from_good_ones_and_clients_are_served() {
    for bad in [
        Fault::Garbage { share: 1.0, for_ms: 60_000 },
        Fault::HalfAnswers { share: 1.0, for_ms: 60_000 },
        Fault::FastErrors { share: 1.0, for_ms: 60_000 },
    ] {
        with(3, "", |bed| async move {
            bed.engine(0).fault(&bad);
            for n in 0..30 {
                assert_eq!(bed.run("SELECT 1", "lookup").await, (None, 1), "statement {n} with {bad:?}");
            }
        });
    }
    with(1, "", |bed| async move {
        bed.engine(0).fault(&Fault::Split { for_ms: 60_000 });
        assert_eq!(bed.run("SELECT * FROM players LIMIT 250", "lookup").await, (None, 250), "byte by byte");
    });
    with(2, "(limits (page \"20kB\"))", |bed| async move {
        let (error, rows) = bed.run("SELECT hex(zeroblob(100000))", "lookup").await;
        assert_eq!(rows, 0);
        assert_eq!(error.as_deref(), Some("STATEMENT_REFUSED"), "a page over the bound is not held");
        assert_eq!(bed.run("SELECT 1", "lookup").await, (None, 1));
    });
}

#[test]
fn grants_priorities_and_deadlines_reach_the_engine_as_session_properties() {
    with(1, "", |bed| async move {
        let mut c = bed.connect().await;
        let posted = bed.post(&mut c, "SELECT 1 /*sim work=200*/ -- mark", "lookup").await;
        sleep(Duration::from_millis(50)).await;
        assert!(bed.engine(0).priority_of("mark").is_some_and(|p| p > 0));
        assert_eq!(bed.finish(posted).await, (None, 1));
        // A deadline of the client's own travels too.
        let mut headers = Headers::default();
        headers.push("Host", "gateway");
        headers.push("X-Trino-User", "hasty");
        headers.push("X-Trino-Session", "query_max_run_time=300ms");
        let message = c.call("POST", STATEMENT, &headers, b"SELECT 1 /*sim work=3000*/").await.unwrap();
        let start = Instant::now();
        let posted: QueryResults = serde_json::from_slice(&message.body).unwrap();
        assert_eq!(bed.finish(posted).await.0.as_deref(), Some("STATEMENT_REFUSED"));
        assert!(start.elapsed() < Duration::from_millis(1500));
    });
}

/// A peer of the notebook front that sends ZMTP by hand.
async fn zmtp_peer(port: u64, kind: &str) -> Async<TcpStream> {
    let mut body = b"\x05READY\x0bSocket-Type".to_vec();
    body.extend((kind.len() as u32).to_be_bytes());
    body.extend(kind.as_bytes());
    let mut out = zmtp::greeting();
    out.extend([4, body.len() as u8]);
    out.extend(body);
    let mut socket = Async::<TcpStream>::connect(([127, 0, 0, 1], port as u16)).await.unwrap();
    socket.write_all(&out).await.unwrap();
    socket
}

#[test]
fn a_subscriber_that_does_not_read_and_a_forger_hold_up_no_cell() {
    let file = std::env::temp_dir().join(format!("violetward-kernel-{}.json", std::process::id()));
    let more = format!("(kernel (connection-file {:?}))", file.display().to_string());
    with(1, &more, |bed| async move {
        let told: serde_json::Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
        std::fs::remove_file(&file).ok();
        let port = |name: &str| told[name].as_u64().unwrap();
        let mut deaf = zmtp_peer(port("iopub_port"), "SUB").await;
        deaf.write_all(&zmtp::message(&[b"\x01"])).await.unwrap();
        let mut noise =
            Async::<TcpStream>::connect(([127, 0, 0, 1], port("shell_port") as u16)).await.unwrap();
        noise.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let mut shell = zmtp_peer(port("shell_port"), "DEALER").await;
        let signer = Signer::new(told["key"].as_str().unwrap().as_bytes(), 1);
        let forger = Signer::new(b"another key", 1);
        let cells = 150;
        for n in 0..cells {
            let header =
                violetward_kernel::kernel::header(format!("m{n}"), "s", "execute_request", "now".into());
            let content = serde_json::json!({ "code": "SELECT * FROM points LIMIT 900" });
            for signer in [&forger, &signer] {
                let parts = signer.write(&[], &header, &serde_json::json!({}), &content);
                shell.write_all(&zmtp::message(&parts)).await.unwrap();
            }
        }
        let (mut seen, mut chunk) = (Vec::new(), vec![0; 65536]);
        let replies =
            |seen: &[u8]| String::from_utf8_lossy(seen).matches("\"msg_type\":\"execute_reply\"").count();
        while replies(&seen) < cells {
            let n = shell.read(&mut chunk).await.unwrap();
            assert!(n > 0, "the front has cut the client off");
            seen.extend_from_slice(&chunk[..n]);
        }
        assert_eq!(bed.got(), cells, "forged cells were not run");
        assert_eq!(String::from_utf8_lossy(&seen).matches("\"status\":\"ok\"").count(), cells);
    });
}

fn library(addresses: &[SocketAddr], may_resend: bool) -> Client {
    Client::new(addresses, Options { may_resend, ..Options::default() }, Budget::default())
}

fn lookup(sql: &str) -> Query {
    Query { effect: Effect::Repeatable, class: Some("lookup".into()), ..Query::new(sql) }
}

#[test]
fn rows_come_as_a_stream_and_a_cancel_says_what_came_of_it() {
    with(1, "(limits (buffer \"1B\"))", |bed| async move {
        let client = library(&[bed.address], false);
        let many = "SELECT * FROM points LIMIT 950";
        let rows: Vec<_> = client.open(lookup(many)).rows().collect().await;
        assert_eq!((rows.len(), rows.iter().filter(|r| r.is_err()).count()), (950, 0));
        let mut running = client.open(lookup(many));
        let first = running.batch().await.unwrap().unwrap();
        assert!(
            !first.columns.is_empty() && first.rows.len() < 950,
            "rows come before all of them are there"
        );
        assert_eq!(running.cancel().await, Cancelled::Stopped);
        // After the last row there is nothing to stop, and that is said.
        let mut running = client.open(lookup("SELECT 1"));
        while running.batch().await.unwrap().is_some() {}
        assert_eq!(running.cancel().await, Cancelled::Late(Ok(())));
        // From another task, while it is held by the service.
        let mut running = client.open(lookup("SELECT 1 /*sim work=60000*/"));
        let canceller = running.canceller();
        let (ended, ()) = future::zip(running.batch(), async {
            sleep(Duration::from_millis(60)).await;
            canceller.cancel().await;
        })
        .await;
        assert!(matches!(ended, Err(Ending::Declined { name, .. }) if name == "USER_CANCELED"));
        while !bed.lines().iter().any(|l| matches!(&l.what, What::Over { how, .. } if how == "cancelled")) {
            sleep(Duration::from_millis(10)).await;
        }
        // Before it is sent: it is cancelled as soon as it has an address.
        let mut running = client.open(lookup("SELECT 1 /*sim work=60000*/"));
        running.canceller().cancel().await;
        assert!(matches!(running.batch().await, Err(Ending::Declined { .. })));
    });
}

#[test]
fn a_stream_that_breaks_after_rows_is_not_begun_again() {
    with(1, "(limits (stream-idle \"700ms\") (buffer \"1B\") (long-poll \"200ms\"))", |bed| async move {
        bed.engine(0).fault(&Fault::StopAfterPages { pages: 1, for_ms: 30_000 });
        let client = library(&[bed.address], true);
        let mut running = client.open(lookup("SELECT * FROM points LIMIT 950"));
        let mut rows = 0;
        let ending = loop {
            match running.batch().await {
                Ok(Some(batch)) => rows += batch.rows.len(),
                Ok(None) => panic!("half of the rows are not the result"),
                Err(ending) => break ending,
            }
        };
        assert!(rows > 0 && rows < 950 && matches!(ending, Ending::Failed { .. }), "{rows} {ending:?}");
        assert_eq!(running.sends(), 1, "the caller has some of its rows");
        assert_eq!(running.batch().await, Ok(None), "an ending stays");
    });
}

/// A gateway of the test's own: answers the first request on each connection with a document that ends the statement, then
/// counts what else comes and closes without an answer.
async fn forgetful(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<std::net::TcpListener>,
    posts: Rc<RefCell<usize>>,
) {
    while let Ok((mut peer, _)) = listener.accept().await {
        let posts = posts.clone();
        let one = async move {
            let body = br#"{"id":"x","stats":{},"data":[[1]]}"#;
            let mut chunk = [0; 4096];
            for n in 0..2 {
                if peer.read(&mut chunk).await.unwrap_or(0) == 0 {
                    break;
                }
                *posts.borrow_mut() += 1;
                if n == 0 {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    peer.write_all(&[head.as_bytes(), body].concat()).await.unwrap();
                }
            }
        };
        executor.spawn(one).detach();
    }
}

#[test]
fn the_library_sends_what_is_unsafe_on_a_fresh_connection_only() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let posts = Rc::new(RefCell::new(0));
        executor.spawn(forgetful(executor.clone(), listener, posts.clone())).detach();
        let client = library(&[address], false);
        for _ in 0..5 {
            // On a kept connection the second one would be read, and its answer never come.
            client.run(&Query::new("INSERT INTO loads VALUES (1, 'x')")).await.expect("a fresh connection");
        }
        assert_eq!(*posts.borrow(), 5);
        // What is harmless to repeat takes a kept one, and here finds out what that may mean.
        assert!(matches!(client.run(&lookup("SELECT 1")).await, Err(Ending::Unknown { .. })));
        assert_eq!(*posts.borrow(), 6);
    }));
}

#[test]
fn the_post_of_an_unsafe_load_that_breaks_at_any_byte_is_not_sent_again() {
    let executor = LocalExecutor::new();
    async_io::block_on(executor.run(async {
        let mut cut = 0;
        loop {
            let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
            let address = listener.get_ref().local_addr().unwrap();
            let posts = Rc::new(RefCell::new((0, 0)));
            let seen = posts.clone();
            executor
                .spawn(async move {
                    while let Ok((mut peer, _)) = listener.accept().await {
                        seen.borrow_mut().0 += 1;
                        let mut read = 0;
                        while read < cut {
                            let mut chunk = vec![0; cut - read];
                            match peer.read(&mut chunk).await {
                                Ok(n) if n > 0 => read += n,
                                _ => break,
                            }
                        }
                        seen.borrow_mut().1 = read;
                    }
                })
                .detach();
            let keyed = Query {
                effect: Effect::Keyed,
                mark: Some("m".into()),
                deadline: Some(Duration::from_millis(1500)),
                ..Query::new("INSERT INTO loads VALUES (1, 'x')")
            };
            let once = Query { effect: Effect::Once, mark: None, ..keyed.clone() };
            for query in [keyed, once] {
                *posts.borrow_mut() = (0, 0);
                let ended = library(&[address], true).run(&query).await;
                assert!(matches!(ended, Err(Ending::Unknown { .. })), "cut after {cut}: {ended:?}");
                assert_eq!(posts.borrow().0, 1, "cut after {cut}: sent again");
            }
            // Read to its end and beyond: every cut has been tried.
            if posts.borrow().1 < cut {
                break;
            }
            cut += 1;
            assert!(cut < 4096);
        }
    }));
}

#[test]
fn cells_are_cancelled_by_session_and_kernels_of_several_gateways_stand_in_for_each_other() {
    with(2, "(kernel (connection-file \"kernel.json\"))", |bed| async move {
        let file = bed.folder.join("kernel.json");
        let (mut one, mut two) =
            (KernelClient::connect(&file).await.unwrap(), KernelClient::connect(&file).await.unwrap());
        let interrupter = one.interrupter();
        let long = lookup("SELECT 1 /*sim work=60000*/");
        let other = lookup("SELECT id FROM players ORDER BY id LIMIT 2");
        let (ended, beside) = future::zip(one.run(&long), async {
            let beside = two.run(&other).await;
            interrupter.interrupt().await.unwrap();
            beside
        })
        .await;
        assert_eq!(beside.unwrap().rows.len(), 2, "another session does not wait");
        assert!(matches!(ended, Err(Ending::Declined { name, .. }) if name == "USER_CANCELED"));
        assert_eq!(one.run(&other).await.unwrap().rows.len(), 2, "the session goes on");
        // A kernel that cannot be reached costs nothing but the choice of another.
        let gone = bed.folder.join("gone.json");
        let mut told: serde_json::Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
        let closed = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap().port();
        for name in ["shell_port", "iopub_port", "control_port"] {
            told[name] = closed.into();
        }
        std::fs::write(&gone, serde_json::to_vec(&told).unwrap()).unwrap();
        let kernels = Kernels::new(&[gone, file], Options::default(), Budget::default());
        for n in 0..10 {
            let load = Query {
                class: Some("notice".into()),
                ..Query::new(format!("INSERT INTO loads VALUES ({n}, 'k')"))
            };
            kernels.run(&load).await.unwrap();
        }
        assert_eq!((kernels.sent(), bed.effects()), (10, 10));
    });
}

#[test]
fn a_gateway_follows_a_zone_file_and_a_damaged_one_costs_nothing() {
    with(2, "", |bed| async move {
        let file = bed.folder.join("fleet.zone");
        let write = |serial: u32, engines: &[usize], more: &str| {
            let mut text = format!("$TTL 5\n@ SOA ns h {serial} 1 1 1 1\nhost A 127.0.0.1\n");
            for &n in engines {
                let port = bed.engine(n).address().port();
                text += &format!("e{n} SRV 0 0 {port} host\n   TXT \"kind=m8\"\n");
            }
            let fresh = file.with_extension("new");
            std::fs::write(&fresh, text + more).unwrap();
            std::fs::rename(&fresh, &file).unwrap();
        };
        write(1, &[0, 1], "");
        let plan = fleet::GatewayPlan {
            number: 0,
            of: 1,
            listen: "127.0.0.1:0".into(),
            engines: file.clone(),
            more: String::new(),
        };
        let text = fleet::configuration(&plan).replace("(listen", "(origin \"fleet.example.\")\n  (listen");
        let config = violetward_gateway::config::parse(&text, &bed.folder).expect("good");
        let module = violetward::Gateway::new(config.settings.clone(), 5);
        let (host, address) = service::start(config, Box::new(module), bed.executor.clone()).unwrap();
        let engines = || host.read_core(|core| core.engines().map(|r| r.name.clone()).collect::<Vec<_>>());
        let until = |names: &'static [&'static str]| {
            let engines = &engines;
            async move {
                for _ in 0..300 {
                    let mut now = engines();
                    now.sort();
                    if now == names {
                        return;
                    }
                    sleep(Duration::from_millis(10)).await;
                }
                panic!("{:?}, not {names:?}", engines());
            }
        };
        until(&["e0", "e1"]).await;
        library(&[address], false).run(&lookup("SELECT 1")).await.unwrap();
        // Damaged, cut off and of an older version: nothing is lost by any of them.
        write(2, &[1], "e0 SRV 0 x 1 host\n");
        sleep(Duration::from_millis(200)).await;
        until(&["e0", "e1"]).await;
        write(3, &[], "e0 SRV ( 0 0");
        sleep(Duration::from_millis(200)).await;
        until(&["e0", "e1"]).await;
        write(1, &[0], "");
        sleep(Duration::from_millis(200)).await;
        until(&["e0", "e1"]).await;
        write(4, &[1], "");
        until(&["e1"]).await;
        let before =
            bed.lines().iter().filter(|l| l.engine == "e0" && matches!(l.what, What::Got { .. })).count();
        for _ in 0..5 {
            library(&[address], false).run(&lookup("SELECT 1")).await.unwrap();
        }
        let after =
            bed.lines().iter().filter(|l| l.engine == "e0" && matches!(l.what, What::Got { .. })).count();
        assert_eq!(after, before, "what was told gone gets nothing new");
    });
}

#[test]
fn a_page_that_is_lost_is_asked_for_again_and_a_refusal_that_is_lost_is_not_known() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        // Each connection gets one request answered by the next of these, or none at all.
        let taken = r#"{"id":"x","stats":{},"nextUri":"http://g/v1/statement/executing/x/y/0"}"#;
        let last = r#"{"id":"x","stats":{},"columns":[{"name":"a"}],"data":[[1]]}"#;
        for (script, served) in
            [(vec![taken, "", "", last], true), (vec![taken, "", "", "", "", "", ""], false)]
        {
            let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
            let address = listener.get_ref().local_addr().unwrap();
            let asked = Rc::new(RefCell::new(Vec::new()));
            let seen = asked.clone();
            executor
                .spawn(async move {
                    for body in script {
                        let (mut peer, _) = listener.accept().await.unwrap();
                        let mut chunk = [0; 4096];
                        let size = peer.read(&mut chunk).await.unwrap();
                        seen.borrow_mut().push(String::from_utf8_lossy(&chunk[..size.min(4)]).into_owned());
                        if !body.is_empty() {
                            let head = format!(
                                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                                body.len()
                            );
                            peer.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await.unwrap();
                        }
                    }
                })
                .detach();
            let query = Query {
                deadline: Some(Duration::from_secs(4)),
                ..Query::new("INSERT INTO loads VALUES (1, 'x')")
            };
            let ended = library(&[address], true).run(&query).await;
            let posts = asked.borrow().iter().filter(|a| *a == "POST").count();
            assert_eq!(posts, 1, "it is never posted again");
            match served {
                true => assert_eq!(ended.unwrap().rows, [[1]]),
                // Whatever the lost page said, a refusal too: nobody knows.
                false => assert!(matches!(ended, Err(Ending::Unknown { .. })), "{ended:?}"),
            }
        }
    }));
}

#[test]
fn a_client_gone_with_its_cell_running_costs_the_kernel_nothing() {
    with(1, "(kernel (connection-file \"kernel.json\"))", |bed| async move {
        let file = bed.folder.join("kernel.json");
        let mut gone = KernelClient::connect(&file).await.unwrap();
        let load = Query {
            class: Some("notice".into()),
            ..Query::new("INSERT INTO loads VALUES (1, 'x') /*sim work=400*/")
        };
        // It leaves while its cell runs.
        assert!(timeout(Duration::from_millis(150), gone.run(&load)).await.is_none());
        drop(gone);
        let mut other = KernelClient::connect(&file).await.unwrap();
        assert_eq!(other.run(&lookup("SELECT id FROM players LIMIT 2")).await.unwrap().rows.len(), 2);
        // The engine counts its effect before the gateway has its answer.
        let is_over = || bed.effects() > 0 && bed.host.read_core(|core| core.open()) == 0;
        for _ in 0..300 {
            if is_over() {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!((bed.effects(), bed.got()), (1, 2), "the cell ran to its end, once");
        assert_eq!(bed.host.read_core(|core| core.open()), 0);
    });
}

#[test]
fn both_protocols_are_one_interface() {
    with(1, "(kernel (connection-file \"kernel.json\"))", |bed| async move {
        let kernels = Kernels::new(&[bed.folder.join("kernel.json")], Options::default(), Budget::default());
        for service in [Service::Gateways(library(&[bed.address], false)), Service::Kernels(kernels)] {
            let few = lookup("SELECT id FROM players ORDER BY id LIMIT 3");
            assert_eq!(service.run(&few).await.unwrap().rows, [[1], [2], [3]]);
            let rows: Vec<_> = service.rows(few.clone()).collect().await;
            assert_eq!(rows.into_iter().map(Result::unwrap).collect::<Vec<_>>(), [[1], [2], [3]]);
            let failed: Vec<_> = service.rows(lookup("SELECT * FROM nowhere")).collect().await;
            assert!(matches!(failed[..], [Err(Ending::Declined { .. })]));
            let long = lookup("SELECT 1 /*sim work=3000*/");
            let ended = service.run_until(&long, sleep(Duration::from_millis(200))).await;
            assert!(
                matches!(&ended, Err(Ending::Declined { name, .. }) if name == "USER_CANCELED"),
                "{ended:?}"
            );
            assert!(service.run_until(&few, std::future::pending()).await.is_ok(), "and goes on");
            assert_eq!(service.sent(), 5);
        }
    });
}
