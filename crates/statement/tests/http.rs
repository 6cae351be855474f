//! The reader of HTTP messages: what must be read, what must be refused, and that portions don't matter.

use proptest::prelude::*;
use violetward_statement::http::*;

fn all(side: Side, limits: Limits, portions: &[&[u8]]) -> (Vec<Message>, Option<HttpError>) {
    let mut reader = Reader::new(side, limits);
    let mut messages = Vec::new();
    for portion in portions {
        reader.feed(portion);
        loop {
            match reader.next() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(e) => return (messages, Some(e)),
            }
        }
    }
    match reader.finish() {
        Ok(last) => messages.extend(last),
        Err(e) => return (messages, Some(e)),
    }
    (messages, None)
}

fn requests(text: &str) -> (Vec<Message>, Option<HttpError>) {
    all(Side::Requests, Limits::default(), &[text.as_bytes()])
}

#[test]
fn pipelined_requests_come_out_one_by_one() {
    let (messages, error) = requests(
        "POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nSELECT 1GET /v1/info HTTP/1.1\r\nhost: a\r\nConnection: close\r\n\r\n",
    );
    assert_eq!(error, None);
    assert_eq!(messages.len(), 2);
    assert_eq!(
        (messages[0].request(), messages[0].body.as_slice()),
        (("POST", "/v1/statement"), &b"SELECT 1"[..])
    );
    assert!(messages[0].keep_alive && !messages[1].keep_alive);
}

#[test]
fn chunks_are_joined_and_trailers_dropped() {
    let (messages, error) = requests(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nSEL\r\n5\r\nECT 1\r\n0\r\nX-T: 1\r\n\r\n",
    );
    assert_eq!(error, None);
    assert_eq!(messages[0].body, b"SELECT 1");
    assert_eq!(messages[0].headers.get("x-t"), None);
}

#[test]
fn what_two_servers_could_read_differently_is_refused() {
    let cases = [
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc",
        "GET / HTTP/1.1\r\nHost: a\r\n folded: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: a\u{0}b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
    ];
    for case in cases {
        let (messages, error) = requests(case);
        assert!(messages.is_empty(), "{case:?} gave a message");
        assert_eq!(error.map(HttpError::status), Some(400), "{case:?}: {error:?}");
    }
    assert_eq!(
        requests("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n").1,
        Some(HttpError::Coding)
    );
    assert_eq!(requests("GET / HTTP/2.0\r\nHost: a\r\n\r\n").1, Some(HttpError::Version));
}

#[test]
fn everything_is_bounded() {
    let limits = Limits { line: 64, head: 256, headers: 4, body: 32 };
    let run = |text: String| all(Side::Requests, limits, &[text.as_bytes()]).1.map(HttpError::status);
    assert_eq!(run(format!("GET /{} HTTP/1.1\r\n", "a".repeat(100))), Some(414));
    assert_eq!(run(format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "a".repeat(300))), Some(431));
    assert_eq!(run(format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: y\r\n".repeat(5))), Some(431));
    assert_eq!(run("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33\r\n\r\n".into()), Some(413));
    let chunks = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        "8\r\n12345678\r\n".repeat(5)
    );
    assert_eq!(run(chunks), Some(413));
    // Without an end in sight, the reader holds no more than its limits.
    let mut reader = Reader::new(Side::Requests, limits);
    let mut failed = false;
    for _ in 0..1000 {
        reader.feed(b"xxxxxxxxxxxxxxxx");
        failed |= reader.next().is_err();
        assert!(reader.held() <= 64 + 16);
    }
    assert!(failed);
}

#[test]
fn responses_without_a_length_end_with_the_connection() {
    let read = |text: &str| all(Side::Responses, Limits::default(), &[text.as_bytes()]);
    let (messages, _) = read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest");
    assert_eq!((messages[0].status(), messages[0].body.as_slice()), (200, &b"rest"[..]));
    assert!(!messages[0].keep_alive);
    assert_eq!(read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort").1, Some(HttpError::Truncated));
    assert_eq!(
        read("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").0.len(),
        2
    );
    assert!(read("\u{16}\u{3}\u{1} this is no answer\r\n\r\n").1.is_some());
}

#[test]
fn a_body_is_asked_for_once_when_the_client_waits_for_it() {
    let mut reader = Reader::new(Side::Requests, Limits::default());
    reader.feed(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert_eq!(reader.next(), Ok(None));
    assert!(reader.expects_continue());
    assert!(!reader.expects_continue());
    reader.feed(b"ab");
    assert_eq!(reader.next().unwrap().unwrap().body, b"ab");
}

#[test]
fn header_values_cannot_end_their_line() {
    let mut headers = Headers::default();
    headers.push("X", "a\r\nContent-Length: 5");
    headers.push("Host", "h");
    let mut out = Vec::new();
    write_request(&mut out, "GET", "/a\r\nX: y", &headers, b"");
    let (messages, error) = all(Side::Requests, Limits::default(), &[&out]);
    assert_eq!((messages.len(), error), (1, None));
    assert_eq!(messages[0].headers.get("content-length"), None);
}

fn method() -> impl Strategy<Value = String> {
    prop_oneof!["GET", "POST", "DELETE"].prop_map(String::from)
}

/// Few in CI; more with VIOLETWARD_CASES.
fn cases() -> u32 {
    std::env::var("VIOLETWARD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_is_read_back_in_any_portions(
        method in method(),
        target in "/[a-zA-Z0-9/?=&._-]{0,40}",
        names in prop::collection::vec(("X-[A-Za-z]{1,10}", "[ -~]{0,30}"), 0..6),
        body in prop::collection::vec(any::<u8>(), 0..300),
        cuts in prop::collection::vec(0usize..600, 0..12),
    ) {
        let mut headers = Headers::default();
        headers.push("Host", "h");
        names.iter().for_each(|(n, v)| headers.push(n, v.clone()));
        let mut bytes = Vec::new();
        write_request(&mut bytes, &method, &target, &headers, &body);
        write_request(&mut bytes, "GET", "/next", &headers, b"");
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.sort_unstable();
        let (mut portions, mut at) = (Vec::new(), 0);
        for cut in cuts {
            portions.push(&bytes[at..cut]);
            at = cut;
        }
        portions.push(&bytes[at..]);
        let (messages, error) = all(Side::Requests, Limits::default(), &portions);
        prop_assert_eq!(error, None);
        prop_assert_eq!(messages.len(), 2);
        prop_assert_eq!(messages[0].request(), (method.as_str(), target.as_str()));
        prop_assert_eq!(&messages[0].body, &body);
        for (name, value) in &names {
            prop_assert!(messages[0].headers.all(name).any(|v| v == value.trim()));
        }
        // Byte by byte gives the same.
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(all(Side::Requests, Limits::default(), &single).0, messages);
    }

    #[test]
    fn whatever_comes_is_read_or_refused_within_bounds(
        parts in prop::collection::vec(prop_oneof![
            prop::collection::vec(any::<u8>(), 0..40),
            Just(b"\r\n".to_vec()),
            Just(b"POST / HTTP/1.1\r\n".to_vec()),
            Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
            Just(b"Host: a\r\n".to_vec()),
            Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
            Just(b"Content-Length: 5\r\n".to_vec()),
            Just(b"5\r\nabcde\r\n".to_vec()),
            Just(b"0\r\n\r\n".to_vec()),
        ], 0..40),
        responses in any::<bool>(),
    ) {
        let side = if responses { Side::Responses } else { Side::Requests };
        let limits = Limits { line: 128, head: 512, headers: 8, body: 256 };
        let mut reader = Reader::new(side, limits);
        for part in &parts {
            reader.feed(part);
            while let Ok(Some(message)) = reader.next() {
                prop_assert!(message.body.len() <= limits.body);
            }
            prop_assert!(reader.held() <= limits.body + limits.head + 64);
        }
        let whole: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        let joined = parts.concat();
        let bytes: Vec<&[u8]> = joined.chunks(1).collect();
        prop_assert_eq!(all(side, limits, &whole), all(side, limits, &bytes), "portions must not matter");
    }
}
