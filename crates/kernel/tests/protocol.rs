//! ZMTP, signatures and the kernel's answers, without sockets.

use proptest::prelude::*;
use serde_json::json;
use violetward_kernel::kernel::*;
use violetward_kernel::message::*;
use violetward_kernel::zmtp::{self, *};

fn peer_ready(kind: &str) -> Vec<u8> {
    let mut body = b"\x05READY\x0bSocket-Type".to_vec();
    body.extend((kind.len() as u32).to_be_bytes());
    body.extend(kind.as_bytes());
    body.extend(b"\x08Identity\0\0\0\x02me");
    let mut out = vec![4, body.len() as u8];
    out.extend(body);
    out
}

fn read(socket: Socket, portions: &[&[u8]]) -> (Vec<Got>, Option<ZmtpError>) {
    let mut reader = Reader::new(socket, Limits { message: 2000, parts: 8 });
    let mut all = Vec::new();
    for portion in portions {
        reader.feed(portion);
        loop {
            match reader.next() {
                Ok(Some(got)) => all.push(got),
                Ok(None) => break,
                Err(e) => return (all, Some(e)),
            }
        }
    }
    (all, None)
}

fn opening(kind: &str) -> Vec<u8> {
    [greeting(), peer_ready(kind)].concat()
}

#[test]
fn a_peer_greets_gets_ready_and_sends() {
    let bytes = [opening("DEALER"), zmtp::message(&[&b"a"[..], &[b'x'; 300]])].concat();
    let (got, error) = read(Socket::Router, &[&bytes]);
    assert_eq!(error, None);
    assert_eq!(got, [Got::Ready(b"me".to_vec()), Got::Message(vec![b"a".to_vec(), vec![b'x'; 300]])]);
    let bytes =
        [opening("SUB"), zmtp::message(&[b"\x01kernel"]), b"\x04\x0d\x09SUBSCRIBEabc".to_vec()].concat();
    let (got, _) = read(Socket::Pub, &[&bytes]);
    let expected = [Got::Subscribe(true, b"kernel".to_vec()), Got::Subscribe(true, b"abc".to_vec())];
    assert_eq!(got[1..], expected);
    let bytes = [opening("REQ"), b"\x04\x09\x04PING\0\x05ct".to_vec()].concat();
    assert_eq!(read(Socket::Rep, &[&bytes]).0[1], Got::Ping(b"ct".to_vec()));
}

#[test]
fn what_is_no_zmtp_is_refused_early_and_everything_is_bounded() {
    let error = |socket, bytes: &[u8]| read(socket, &[bytes]).1;
    assert_eq!(error(Socket::Router, b"GET / HTTP/1.1\r\n"), Some(ZmtpError::Greeting));
    let mut old = greeting();
    old[10] = 2;
    assert_eq!(error(Socket::Router, &old), Some(ZmtpError::Greeting));
    let mut curve = greeting();
    curve[12..17].copy_from_slice(b"CURVE");
    assert_eq!(error(Socket::Router, &curve), Some(ZmtpError::Mechanism));
    assert_eq!(error(Socket::Pub, &opening("DEALER")), Some(ZmtpError::SocketType));
    let early = [greeting(), zmtp::message(&[b"no ready"])].concat();
    assert_eq!(error(Socket::Router, &early), Some(ZmtpError::Handshake));
    let short = [greeting(), b"\x04\x0a\x05READY\x0bSoc".to_vec()].concat();
    assert_eq!(error(Socket::Router, &short), Some(ZmtpError::Handshake));
    let reserved = [opening("DEALER"), vec![0x10, 1, b'x']].concat();
    assert_eq!(error(Socket::Router, &reserved), Some(ZmtpError::Frame));
    let huge = [opening("DEALER"), [&[2u8][..], &u64::MAX.to_be_bytes()].concat()].concat();
    assert_eq!(error(Socket::Router, &huge), Some(ZmtpError::TooLarge));
    let endless = [opening("DEALER"), [1u8, 1, b'x'].repeat(50)].concat();
    assert_eq!(error(Socket::Router, &endless), Some(ZmtpError::TooLarge));
}

fn request(signer: &Signer, id: &str, kind: &str, content: serde_json::Value) -> Vec<Vec<u8>> {
    let header = header(id.into(), "s", kind, "now".into());
    signer.write(&[], &header, &json!({}), &content)
}

#[test]
fn forged_altered_and_repeated_messages_are_dropped() {
    let (client, mut kernel) = (Signer::new(b"key", 10), Signer::new(b"key", 10));
    let parts = request(&client, "1", "kernel_info_request", json!({}));
    assert_eq!(kernel.read(&parts).unwrap().header.msg_type, "kernel_info_request");
    assert_eq!(kernel.read(&parts), Err(MessageError::Replay));
    let forged = request(&Signer::new(b"other", 10), "2", "kernel_info_request", json!({}));
    assert_eq!(kernel.read(&forged), Err(MessageError::Signature));
    let mut altered = request(&client, "3", "execute_request", json!({ "code": "SELECT 1" }));
    altered[5] = b"{\"code\":\"DROP TABLE x\"}".to_vec();
    assert_eq!(kernel.read(&altered), Err(MessageError::Signature));
    assert_eq!(kernel.read(&parts[..4]), Err(MessageError::Parts));
    assert_eq!(kernel.read(&[b"x".to_vec()]), Err(MessageError::Parts));
    let mut unsigned = parts.clone();
    unsigned[1] = Vec::new();
    assert_eq!(kernel.read(&unsigned), Err(MessageError::Signature));
    // What it remembers is bounded.
    for n in 0..50 {
        kernel.read(&request(&client, &format!("m{n}"), "kernel_info_request", json!({}))).unwrap();
    }
}

struct Bed {
    kernel: Kernel,
    signer: Signer,
    client: Signer,
    n: u64,
}

impl Bed {
    fn new() -> Bed {
        Bed { kernel: Kernel::new(), signer: Signer::new(b"k", 1000), client: Signer::new(b"k", 1000), n: 0 }
    }

    fn ask(&mut self, kind: &str, content: serde_json::Value) -> Vec<Out> {
        self.ask_in("s", kind, content)
    }

    fn ask_in(&mut self, session: &str, kind: &str, content: serde_json::Value) -> Vec<Out> {
        self.n += 1;
        let header = header(self.n.to_string(), session, kind, "now".into());
        let parts = self.client.write(&[], &header, &json!({}), &content);
        let message = self.signer.read(&parts).unwrap();
        self.kernel.handle(Channel::Shell, message)
    }

    fn cell(&mut self, code: &str) -> Vec<Out> {
        self.ask("execute_request", json!({ "code": code }))
    }
}

fn kinds(out: &[Out]) -> Vec<String> {
    let word = |o: &Out| match o {
        Out::Publish { kind, content, .. } if *kind == "status" => {
            content["execution_state"].as_str().unwrap().to_owned()
        }
        Out::Publish { kind, .. } => kind.to_string(),
        Out::Reply { kind, content, .. } => format!("{kind}:{}", content["status"].as_str().unwrap()),
        Out::Run { run, .. } => format!("run{run}"),
        Out::Stop(run) => format!("stop{run}"),
        Out::Shutdown => "shutdown".into(),
    };
    out.iter().map(word).collect()
}

fn table() -> CellEnd {
    let rows = vec![vec![json!("<b>"), json!(null)]];
    CellEnd::Table(Table { columns: vec!["a".into(), "b".into()], rows, ..Table::default() })
}

fn refused() -> CellEnd {
    CellEnd::Error {
        name: "STATEMENT_REFUSED".into(),
        text: "later".into(),
        harmless: Some(true),
        retry_after: Some(900),
    }
}

#[test]
fn a_cell_is_busy_runs_gives_its_result_once_and_is_idle() {
    let mut bed = Bed::new();
    assert_eq!(kinds(&bed.cell("SELECT 1")), ["busy", "execute_input", "run1"]);
    let out = bed.kernel.ended(1, table());
    assert_eq!(kinds(&out), ["execute_result", "execute_reply:ok", "idle"]);
    let Out::Publish { content, .. } = &out[0] else { panic!() };
    assert!(content["data"]["text/html"].as_str().unwrap().contains("&lt;b&gt;"), "cells are escaped");
    assert!(bed.kernel.ended(1, refused()).is_empty(), "a second end counts for nothing");
    assert_eq!(kinds(&bed.cell("  ;")), ["busy", "execute_input", "execute_reply:ok", "idle"]);
}

#[test]
fn cells_take_turns_and_those_behind_a_failed_one_are_aborted() {
    let mut bed = Bed::new();
    bed.cell("a");
    assert!(bed.cell("b").is_empty() && bed.cell("c").is_empty());
    assert_eq!(kinds(&bed.kernel.ended(1, table())).last().unwrap(), "run2");
    let out = bed.kernel.ended(2, refused());
    let expected = ["error", "execute_reply:error", "idle", "busy", "execute_reply:aborted", "idle"];
    assert_eq!(kinds(&out), expected);
    let Out::Reply { content, .. } = &out[1] else { panic!() };
    assert_eq!((&content["retry_is_harmless"], &content["retry_after_millis"]), (&json!(true), &json!(900)));
    assert_eq!(kinds(&bed.cell("d")).last().unwrap(), "run3");
}

#[test]
fn an_interrupt_stops_the_running_cell_and_what_waits_and_a_shutdown_ends_all() {
    let mut bed = Bed::new();
    bed.cell("a");
    bed.cell("b");
    let out = kinds(&bed.ask("interrupt_request", json!({})));
    assert_eq!(out[..2], ["stop1", "busy"]);
    assert!(out.contains(&"execute_reply:aborted".into()) && out.contains(&"interrupt_reply:ok".into()));
    bed.kernel.ended(1, refused());
    let out = kinds(&bed.ask("shutdown_request", json!({ "restart": false })));
    assert_eq!(out.last().unwrap(), "shutdown");
    assert!(bed.cell("late").is_empty());
}

#[test]
fn sessions_do_not_wait_for_each_other_and_two_clients_with_one_session_id_share_its_line() {
    let mut bed = Bed::new();
    let code = |c: &str| json!({ "code": c });
    bed.ask_in("a", "execute_request", code("1"));
    let other = bed.ask_in("b", "execute_request", code("2"));
    assert_eq!(kinds(&other).last().unwrap(), "run2", "another session runs beside it");
    // A second client under the same id: its cell waits for the first one's, and gets an answer of its own.
    assert!(bed.ask_in("a", "execute_request", code("3")).is_empty());
    // A failure and an interrupt stop what waits in their own session alone.
    assert!(bed.ask_in("b", "execute_request", code("4")).is_empty());
    let out = kinds(&bed.ask_in("b", "interrupt_request", json!({})));
    assert_eq!(out.iter().filter(|k| k.starts_with("stop")).collect::<Vec<_>>(), ["stop2"]);
    assert_eq!(out.iter().filter(|k| *k == "execute_reply:aborted").count(), 1);
    let out = bed.kernel.ended(1, table());
    let Out::Reply { content, .. } = &out[1] else { panic!("{out:?}") };
    assert_eq!(content["execution_count"], 1, "its own count, although others began since");
    assert_eq!(kinds(&out).last().unwrap(), "run3");
    assert_eq!(
        kinds(&bed.ask_in("c", "interrupt_request", json!({}))),
        ["busy", "interrupt_reply:ok", "idle"]
    );
    let out = kinds(&bed.ask_in("c", "shutdown_request", json!({})));
    assert!(out.contains(&"stop2".into()) && out.contains(&"stop3".into()), "a shutdown ends all: {out:?}");
}

#[test]
fn cells_that_wait_are_bounded() {
    let mut bed = Bed::new();
    let refused = (0..400).filter(|n| kinds(&bed.cell(&n.to_string())) == ["execute_reply:error"]).count();
    assert_eq!(refused, 400 - 1 - 256);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn portions_do_not_matter_and_no_bytes_are_too_strange(
        messages in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..400), 1..4), 0..5),
        noise in prop::collection::vec(any::<u8>(), 0..60),
        size in 1usize..70,
    ) {
        let mut bytes = opening("DEALER");
        messages.iter().for_each(|m| bytes.extend(zmtp::message(m)));
        let (got, error) = read(Socket::Router, &[&bytes]);
        prop_assert_eq!(error, None);
        let found: Vec<_> = got[1..].iter().map(|g| match g { Got::Message(m) => m.clone(), _ => vec![] }).collect();
        prop_assert_eq!(&found, &messages);
        bytes.extend(&noise);
        let portions: Vec<&[u8]> = bytes.chunks(size).collect();
        prop_assert_eq!(read(Socket::Router, &portions), read(Socket::Router, &[&bytes]));
        let alone: Vec<&[u8]> = noise.chunks(size).collect();
        read(Socket::Pub, &alone);
    }

    #[test]
    fn no_code_is_too_strange(code in any::<String>(), cursor in any::<u64>()) {
        let mut bed = Bed::new();
        bed.ask("is_complete_request", json!({ "code": code }));
        bed.ask("complete_request", json!({ "code": code, "cursor_pos": cursor }));
        bed.ask("history_request", json!({ "n": cursor }));
        bed.cell(&code);
    }
}
