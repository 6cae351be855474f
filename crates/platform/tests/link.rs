//! The protocol state of one connection to an engine, without sockets: which commands are encoded, which
//! answers are accepted, and which attempts must not share a connection.

use violetward::{EngineId, Outcome, RequestId};
use violetward_platform::core::{AttemptId, Completion, Launch};
use violetward_platform::link::{EngineEvent, Link, ResultSize};
use violetward_resp::write_array;

/// The request id of the tests as it is encoded.
const REQUEST_ID_TEXT: &str = "9b1f03aa5c7e2d41";
const REQUEST_ID: RequestId = RequestId(0x9b1f_03aa_5c7e_2d41);
/// A result of one row.
const ROW: &str = "a\tb\tc\n";

fn launch(attempt: u32) -> Launch {
    Launch {
        attempt: AttemptId(REQUEST_ID, attempt),
        engine: EngineId(1),
        class: 0,
        idempotency_key: Some("5c0f".into()),
        memory_mb: 95.2,
        priority: 2,
        deadline: 0,
        body: b"select 1".as_slice().into(),
    }
}

/// A connection on which the first attempt is running.
fn link_with_attempt() -> Link {
    let mut link = Link::new();
    let mut out = Vec::new();
    link.fetch(&launch(0), "report", 1500, &mut out);
    let fields = b"sort=report,patience=1500,op=5c0f,mb=96,nice=2";
    assert_eq!(out, encode(&[b"fetch", REQUEST_ID_TEXT.as_bytes(), fields, b"select 1"]));
    link
}

fn encode(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_array(&mut bytes, words);
    bytes
}

/// Encodes an answer to the request of the tests.
fn answer(word: &str, fields: &str, body: &str) -> Vec<u8> {
    encode(&[REQUEST_ID_TEXT.as_bytes(), word.as_bytes(), fields.as_bytes(), body.as_bytes()])
}

/// Feeds received bytes to a connection and returns the bytes to send and the events.
fn feed(link: &mut Link, bytes: &[u8]) -> Result<(Vec<u8>, Vec<EngineEvent>), String> {
    let (mut out, mut events) = (Vec::new(), Vec::new());
    link.feed(bytes, &mut out, &mut events).map(|()| (out, events))
}

/// The completion in a single `AttemptEnded` event.
fn completion(events: &[EngineEvent]) -> &Completion {
    let [EngineEvent::AttemptEnded(_, completion)] = events else { panic!("{events:?}") };
    completion
}

#[test]
fn an_ok_answer_is_converted_to_the_modules_units() {
    let mut link = link_with_attempt();
    let fields = "batches=1,cpu=820.5,used=96.5,l=inflight:7;util:0.61;x0:nan;x1:-1";
    let (out, events) = feed(&mut link, &answer("ok", fields, ROW)).unwrap();
    let ended = completion(&events);
    assert_eq!((ended.outcome, ended.work, ended.memory_mb), (Outcome::Ok, Some(820_500), Some(96.5)));
    assert_eq!((ended.load.in_flight, ended.load.cores), (Some(7.0), Some(0.61)));
    assert_eq!((ended.load.memory, ended.load.disks), (None, None), "invalid load figures are ignored");
    assert_eq!(out, encode(&[b"done", REQUEST_ID_TEXT.as_bytes()]));
}

#[test]
fn pages_are_accepted_in_any_order_and_more_than_once() {
    let mut link = link_with_attempt();
    let (out, events) = feed(&mut link, &answer("ok", "batches=3", "a\tb\t0\n")).unwrap();
    let [EngineEvent::ResultBegun(attempt, size, _)] = events[..] else { panic!("{events:?}") };
    assert_eq!(size, ResultSize { first_page: 6, rest_max: 12_000 });
    // The further pages are requested when there is room for them, each once.
    assert!(out.is_empty());
    let mut out = Vec::new();
    (0..2).for_each(|_| link.request_pages(attempt, &mut out));
    let more = |page: &[u8]| encode(&[b"more", REQUEST_ID_TEXT.as_bytes(), page]);
    assert_eq!(out, [more(b"1"), more(b"2")].concat());
    for (page, body) in [("batch=2", "a\tb\t2\n"), ("batch=2", "a\tb\t9\n")] {
        assert_eq!(feed(&mut link, &answer("batch", page, body)).unwrap().1, []);
    }
    // A second copy of the first page changes nothing.
    assert_eq!(feed(&mut link, &answer("ok", "batches=3", "x\ty\tz\n")).unwrap().1, []);
    let (_, events) = feed(&mut link, &answer("batch", "batch=1", "a\tb\t1\n")).unwrap();
    assert_eq!(completion(&events).result, b"a\tb\t0\na\tb\t1\na\tb\t2\n");
    let after_the_end = feed(&mut link, &answer("batch", "batch=1", "a\tb\t1\n")).unwrap().1;
    assert_eq!(after_the_end, []);
}

#[test]
fn an_invalid_answer_makes_the_connection_unusable() {
    let long = ROW.repeat(1_100);
    let invalid_answers = [
        answer("ok", "batches=0", ""),
        answer("ok", "batches=33", ""),
        answer("ok", "batches=x", ""),
        answer("ok", "-", ""),
        answer("ok", "batches=1", "a\tb"),
        answer("ok", "batches=1", "a\tb\n"),
        answer("ok", "batches=1", &long),
        answer("ok", "batches=1,cpu", ROW),
        answer("batch", "batch=1", ""),
        answer("maybe", "-", ""),
        encode(&[REQUEST_ID_TEXT.as_bytes(), b"ok"]),
        encode(&[&[0xff], b"ok", b"-", b""]),
        [answer("ok", "batches=2", ""), answer("batch", "batch=2", "")].concat(),
        [answer("ok", "batches=2", ""), answer("batch", "batch=0", "")].concat(),
    ];
    for bytes in invalid_answers {
        let mut link = link_with_attempt();
        assert!(feed(&mut link, &bytes).is_err(), "{}", String::from_utf8_lossy(&bytes));
        let mut events = Vec::new();
        link.fail_all(Outcome::Broken, &mut events);
        assert_eq!(completion(&events).outcome, Outcome::Broken);
    }
    // Each page is within the limit of a page, but the result as a whole exceeds its limit.
    let mut link = link_with_attempt();
    feed(&mut link, &answer("ok", "batches=32", &long[..5_999 / 6 * 6])).unwrap();
    let pages = (1..9).map(|n| feed(&mut link, &answer("batch", &format!("batch={n}"), &long[..5_994])));
    assert!(pages.collect::<Result<Vec<_>, _>>().is_err());
}

#[test]
fn an_attempt_never_shares_a_connection_with_an_earlier_one_that_may_still_answer() {
    let mut link = link_with_attempt();
    assert!(!link.accepts(launch(1).attempt), "the first attempt is running");
    let mut out = Vec::new();
    assert!(!link.cancel(launch(1).attempt, &mut out), "an attempt of another connection");
    assert!(link.cancel(launch(0).attempt, &mut out));
    assert_eq!(out, encode(&[b"abort", REQUEST_ID_TEXT.as_bytes()]));
    assert!(!link.accepts(launch(1).attempt), "the cancelled attempt may still answer");
    assert!(link.accepts(AttemptId(RequestId(5), 0)));
    assert_eq!(feed(&mut link, &answer("ok", "batches=1", ROW)).unwrap().1, []);
    assert!(!link.accepts(launch(1).attempt), "a second copy may follow");
}

#[test]
fn a_second_answer_does_not_end_the_next_attempt() {
    for word in ["refused", "error", "stale"] {
        let mut link = link_with_attempt();
        feed(&mut link, &answer(word, "-", "")).unwrap();
        assert!(!link.accepts(launch(1).attempt), "a second {word} would end the next attempt");
        assert_eq!(feed(&mut link, &answer(word, "-", "")).unwrap().1, []);
        assert!(!link.accepts(launch(1).attempt), "a third {word} may follow");
        assert!(link.accepts(AttemptId(RequestId(5), 0)), "other requests may use the connection");
    }
}

#[test]
fn an_attempt_with_an_ok_answer_is_never_reported_as_not_run() {
    for word in ["refused", "stale"] {
        let mut link = link_with_attempt();
        feed(&mut link, &answer("ok", "batches=2", ROW)).unwrap();
        assert!(feed(&mut link, &answer(word, "-", "")).is_err(), "{word}");
        let mut events = Vec::new();
        link.fail_all(Outcome::Broken, &mut events);
        assert_eq!(completion(&events).outcome, Outcome::Broken);
    }
    // An error between two pages is valid: the engine may have lost the request.
    let mut link = link_with_attempt();
    feed(&mut link, &answer("ok", "batches=2", ROW)).unwrap();
    let (_, events) = feed(&mut link, &answer("error", "-", "")).unwrap();
    assert_eq!(completion(&events).outcome, Outcome::Error);
}

#[test]
fn a_partial_message_is_detected_at_every_byte() {
    let mut link = Link::new();
    let message = answer("ok", "batches=1", ROW);
    for (position, byte) in message.iter().enumerate() {
        assert_eq!(link.has_partial_message(), position > 0, "before byte {position}");
        feed(&mut link, &[*byte]).unwrap();
    }
    assert!(!link.has_partial_message());
}

#[test]
fn cancelling_a_partly_received_result_sends_done_and_only_a_running_attempt_is_reniced() {
    let mut link = link_with_attempt();
    let mut out = Vec::new();
    link.renice(launch(0).attempt, 3, &mut out);
    assert_eq!(out, encode(&[b"renice", REQUEST_ID_TEXT.as_bytes(), b"3"]));
    feed(&mut link, &answer("ok", "batches=2", "")).unwrap();
    out.clear();
    link.renice(launch(0).attempt, 1, &mut out);
    assert_eq!(out, b"", "the attempt has run");
    link.cancel(launch(0).attempt, &mut out);
    assert_eq!(out, encode(&[b"done", REQUEST_ID_TEXT.as_bytes()]));
}

#[test]
fn answers_that_prove_an_attempt_never_ran_are_distinguished() {
    for (word, outcome) in [("refused", Outcome::Full), ("stale", Outcome::Moot), ("error", Outcome::Error)] {
        let (_, events) = feed(&mut link_with_attempt(), &answer(word, "-", "")).unwrap();
        assert_eq!(completion(&events).outcome, outcome);
    }
}

#[test]
fn a_probe_is_answered_at_most_once() {
    let mut link = Link::new();
    let mut out = Vec::new();
    let tag = link.probe(&mut out);
    assert_eq!(out, encode(&[b"stats", tag.as_bytes()]));
    let probe_answer = encode(&[tag.as_bytes(), b"yes", b"l=util:0.5", b""]);
    let (_, events) = feed(&mut link, &probe_answer).unwrap();
    assert!(matches!(events[..], [EngineEvent::ProbeEnded(true, load)] if load.cores == Some(0.5)));
    assert_eq!(feed(&mut link, &probe_answer).unwrap().1, []);
    assert!(!link.cancel_probe(&tag));
}
