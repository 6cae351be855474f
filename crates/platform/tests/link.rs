//! One connection to an engine without sockets: what is asked, what is believed, and what never shares it.

use violetward::{EngineId, Outcome, RequestId};
use violetward_platform::core::{AttemptId, Completion, Launch};
use violetward_platform::link::{EngineEvent, Link};
use violetward_resp::write_array;

const ID: &str = "9b1f03aa5c7e2d41";

fn launch(attempt: u32) -> Launch {
    Launch {
        attempt: AttemptId(RequestId(0x9b1f_03aa_5c7e_2d41), attempt),
        engine: EngineId(1),
        class: 0,
        idempotency_key: Some("5c0f".into()),
        memory_mb: 95.2,
        priority: 2,
        deadline: 0,
        body: b"select 1".as_slice().into(),
    }
}

/// A connection on which the first attempt is out.
fn asked() -> Link {
    let mut link = Link::new();
    let mut out = Vec::new();
    link.fetch(&launch(0), "report", 1500, &mut out);
    let fields = b"sort=report,patience=1500,op=5c0f,mb=96,nice=2";
    assert_eq!(out, command(&[b"fetch", ID.as_bytes(), fields, b"select 1"]));
    link
}

fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_array(&mut bytes, words);
    bytes
}

fn answer(word: &str, fields: &str, body: &str) -> Vec<u8> {
    command(&[ID.as_bytes(), word.as_bytes(), fields.as_bytes(), body.as_bytes()])
}

fn feed(link: &mut Link, bytes: &[u8]) -> Result<(Vec<u8>, Vec<EngineEvent>), String> {
    let (mut out, mut told) = (Vec::new(), Vec::new());
    link.feed(bytes, &mut out, &mut told).map(|()| (out, told))
}

fn ended(told: &[EngineEvent]) -> &Completion {
    let [EngineEvent::AttemptEnded(_, ending)] = told else { panic!("{told:?}") };
    ending
}

#[test]
fn a_good_end_reaches_the_module_in_its_units() {
    let mut link = asked();
    let fields = "batches=1,cpu=820.5,used=96.5,l=inflight:7;util:0.61;x0:nan;x1:-1";
    let (out, told) = feed(&mut link, &answer("ok", fields, "a\tb\tc\n")).unwrap();
    let ending = ended(&told);
    assert_eq!((ending.outcome, ending.work, ending.memory_mb), (Outcome::Ok, Some(820_500), Some(96.5)));
    assert_eq!((ending.load.in_flight, ending.load.cores), (Some(7.0), Some(0.61)));
    assert_eq!((ending.load.memory, ending.load.disks), (None, None), "what is absurd is left out");
    assert_eq!(out, command(&[b"done", ID.as_bytes()]));
}

#[test]
fn pages_come_in_any_order_and_more_than_once() {
    let mut link = asked();
    let (out, _) = feed(&mut link, &answer("ok", "batches=3", "a\tb\t0\n")).unwrap();
    assert_eq!(
        out,
        [command(&[b"more", ID.as_bytes(), b"1"]), command(&[b"more", ID.as_bytes(), b"2"])].concat()
    );
    for (page, body) in [("batch=2", "a\tb\t2\n"), ("batch=2", "a\tb\t9\n")] {
        assert_eq!(feed(&mut link, &answer("batch", page, body)).unwrap().1, []);
    }
    // A second copy of the first page changes nothing.
    assert_eq!(feed(&mut link, &answer("ok", "batches=3", "x\ty\tz\n")).unwrap().1, []);
    let (_, told) = feed(&mut link, &answer("batch", "batch=1", "a\tb\t1\n")).unwrap();
    assert_eq!(ended(&told).result, b"a\tb\t0\na\tb\t1\na\tb\t2\n");
    assert_eq!(feed(&mut link, &answer("batch", "batch=1", "a\tb\t1\n")).unwrap().1, [], "late");
}

#[test]
fn what_does_not_fit_spoils_the_connection() {
    let long = "a\tb\tc\n".repeat(1_100);
    let spoils = [
        answer("ok", "batches=0", ""),
        answer("ok", "batches=33", ""),
        answer("ok", "batches=x", ""),
        answer("ok", "-", ""),
        answer("ok", "batches=1", "a\tb"),
        answer("ok", "batches=1", "a\tb\n"),
        answer("ok", "batches=1", &long),
        answer("ok", "batches=1,cpu", "a\tb\tc\n"),
        answer("batch", "batch=1", ""),
        answer("maybe", "-", ""),
        command(&[ID.as_bytes(), b"ok"]),
        command(&[&[0xff], b"ok", b"-", b""]),
        [answer("ok", "batches=2", ""), answer("batch", "batch=2", "")].concat(),
        [answer("ok", "batches=2", ""), answer("batch", "batch=0", "")].concat(),
    ];
    for bytes in spoils {
        let mut link = asked();
        assert!(feed(&mut link, &bytes).is_err(), "{}", String::from_utf8_lossy(&bytes));
        let mut told = Vec::new();
        link.fail_all(Outcome::Broken, &mut told);
        assert_eq!(ended(&told).outcome, Outcome::Broken);
    }
    // Every page fits, all together do not.
    let mut link = asked();
    feed(&mut link, &answer("ok", "batches=32", &long[..5_999 / 6 * 6])).unwrap();
    let more = (1..9).map(|n| feed(&mut link, &answer("batch", &format!("batch={n}"), &long[..5_994])));
    assert!(more.collect::<Result<Vec<_>, _>>().is_err());
}

#[test]
fn an_attempt_never_shares_a_connection_with_an_earlier_one_that_may_still_answer() {
    let mut link = asked();
    assert!(!link.accepts(AttemptId(RequestId(0x9b1f_03aa_5c7e_2d41), 1)), "it is out");
    let mut out = Vec::new();
    assert!(!link.cancel(launch(1).attempt, &mut out), "another attempt");
    assert!(link.cancel(launch(0).attempt, &mut out));
    assert_eq!(out, command(&[b"abort", ID.as_bytes()]));
    assert!(!link.accepts(launch(1).attempt), "its answer may still come");
    assert!(link.accepts(AttemptId(RequestId(5), 0)));
    assert_eq!(feed(&mut link, &answer("ok", "batches=1", "a\tb\tc\n")).unwrap().1, []);
    assert!(!link.accepts(launch(1).attempt), "a second copy may follow");
}

#[test]
fn a_second_end_is_never_taken_for_the_next_attempts() {
    for word in ["refused", "error", "stale"] {
        let mut link = asked();
        feed(&mut link, &answer(word, "-", "")).unwrap();
        assert!(!link.accepts(launch(1).attempt), "a second {word} would end the next attempt");
        assert_eq!(feed(&mut link, &answer(word, "-", "")).unwrap().1, []);
        assert!(!link.accepts(launch(1).attempt), "a third {word} may follow");
        assert!(link.accepts(AttemptId(RequestId(5), 0)), "other requests go on");
    }
}

#[test]
fn what_was_served_is_never_told_as_never_run() {
    for word in ["refused", "stale"] {
        let mut link = asked();
        feed(&mut link, &answer("ok", "batches=2", "a\tb\tc\n")).unwrap();
        assert!(feed(&mut link, &answer(word, "-", "")).is_err(), "{word}");
        let mut told = Vec::new();
        link.fail_all(Outcome::Broken, &mut told);
        assert_eq!(ended(&told).outcome, Outcome::Broken);
    }
    // An error may come between two pages: its engine knows the request no more.
    let mut link = asked();
    feed(&mut link, &answer("ok", "batches=2", "a\tb\tc\n")).unwrap();
    assert_eq!(ended(&feed(&mut link, &answer("error", "-", "")).unwrap().1).outcome, Outcome::Error);
}

#[test]
fn half_a_message_is_seen_wherever_it_is_cut() {
    let mut link = Link::new();
    let whole = answer("ok", "batches=1", "a\tb\tc\n");
    for (at, byte) in whole.iter().enumerate() {
        assert_eq!(link.has_partial_message(), at > 0, "before byte {at}");
        feed(&mut link, &[*byte]).unwrap();
    }
    assert!(!link.has_partial_message());
}

#[test]
fn a_result_that_is_given_up_half_way_is_done_and_a_running_one_is_reniced() {
    let mut link = asked();
    let mut out = Vec::new();
    link.renice(launch(0).attempt, 3, &mut out);
    assert_eq!(out, command(&[b"renice", ID.as_bytes(), b"3"]));
    feed(&mut link, &answer("ok", "batches=2", "")).unwrap();
    out.clear();
    link.renice(launch(0).attempt, 1, &mut out);
    assert_eq!(out, b"", "it has run");
    link.cancel(launch(0).attempt, &mut out);
    assert_eq!(out, command(&[b"done", ID.as_bytes()]));
}

#[test]
fn what_never_ran_is_told_from_what_may_have() {
    for (word, outcome) in [("refused", Outcome::Full), ("stale", Outcome::Moot), ("error", Outcome::Error)] {
        let (_, told) = feed(&mut asked(), &answer(word, "-", "")).unwrap();
        assert_eq!(ended(&told).outcome, outcome);
    }
}

#[test]
fn a_probe_comes_back_once() {
    let mut link = Link::new();
    let mut out = Vec::new();
    let tag = link.probe(&mut out);
    assert_eq!(out, command(&[b"stats", tag.as_bytes()]));
    let yes = command(&[tag.as_bytes(), b"yes", b"l=util:0.5", b""]);
    let (_, told) = feed(&mut link, &yes).unwrap();
    assert!(matches!(told[..], [EngineEvent::ProbeEnded(true, load)] if load.cores == Some(0.5)));
    assert_eq!(feed(&mut link, &yes).unwrap().1, []);
    assert!(!link.cancel_probe(&tag));
}
