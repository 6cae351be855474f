//! Headers, paths and texts of the statement protocol.

use std::time::Duration;

use proptest::prelude::*;
use violetward_statement::http::Headers;
use violetward_statement::results::{PageRef, QueryError, QueryResults};
use violetward_statement::session::{self, Context};
use violetward_statement::text;

fn headers(pairs: &[(&str, &str)]) -> Headers {
    let mut headers = Headers::default();
    pairs.iter().for_each(|(n, v)| headers.push(n, *v));
    headers
}

#[test]
fn a_context_is_written_as_it_is_read() {
    let context = Context {
        user: "ola".into(),
        source: "app".into(),
        catalog: Some("league".into()),
        tags: vec!["load".into(), "key=m1".into()],
        session: vec![("query_max_run_time".into(), "5s, or so".into())],
        prepared: vec![("st".into(), session::encode("SELECT ?"))],
        trace_token: Some("t".into()),
        estimated_cpu: Some(Duration::from_millis(1500)),
        estimated_memory: Some(1 << 30),
        passed: vec![("X-Trino-Time-Zone".into(), "Europe/Warsaw".into())],
        ..Context::default()
    };
    let mut written = Headers::default();
    context.write(&mut written);
    assert_eq!(Context::read(&written), Ok(context));
}

#[test]
fn what_cannot_be_read_is_named() {
    let read = |pairs: &[(&str, &str)]| Context::read(&headers(pairs)).unwrap_err();
    assert!(read(&[]).contains("X-Trino-User"));
    let user = ("x-trino-user", "u");
    assert!(read(&[user, ("X-Trino-Session", "novalue")]).contains("Session"));
    assert!(read(&[user, ("X-Trino-Session", "a=%zz")]).contains("encoded"));
    assert!(read(&[user, ("X-Trino-Resource-Estimate", "CPU_TIME=soon")]).contains("CPU_TIME"));
    assert!(read(&[user, ("X-Trino-Resource-Estimate", "LUCK=1")]).contains("LUCK"));
    let estimate = ("X-Trino-Resource-Estimate", "EXECUTION_TIME=1.5m, PEAK_MEMORY=2GB");
    let good = Context::read(&headers(&[user, estimate])).unwrap();
    assert_eq!((good.estimated_time, good.estimated_memory), (Some(Duration::from_secs(90)), Some(2 << 30)));
}

#[test]
fn paths_lead_back_and_strange_ones_nowhere() {
    let page = PageRef { id: "2026_1_x".into(), slug: "ab".into(), token: 7 };
    assert_eq!(PageRef::parse(&page.path()), Some(page));
    for path in [
        "/v1/statement/executing/a/b",
        "/v1/statement/executing/a/b/x",
        "/v1/statement/executing/a/b/1/2",
        "/v1/statement/other/a/b/1",
        "/v1/statement/executing//b/1",
        "/v1/statement/executing/a/b/99999999999999999999",
    ] {
        assert_eq!(PageRef::parse(path), None, "{path}");
    }
}

#[test]
fn first_words_and_tables_pass_over_comments_and_quotes() {
    assert_eq!(text::first_word("-- select\n/* insert */ (UPDATE x"), "update");
    assert_eq!(
        text::first_table("SELECT 'from a' FROM league.\"Zażółć\" x").as_deref(),
        Some("league.Zażółć")
    );
    assert_eq!(text::first_table("insert into loads values (1)").as_deref(), Some("loads"));
    assert_eq!(text::first_table("DROP TABLE IF EXISTS t").as_deref(), Some("t"));
    assert_eq!(text::first_table("SELECT 1 /* from x"), None);
}

#[test]
fn refusals_and_failures_are_told_apart() {
    let (refused, failed) =
        (QueryError::refused("full", 1500), QueryError::failed("STATEMENT_FAILED", "gone"));
    assert_eq!(refused.error_name, "STATEMENT_REFUSED");
    let info = refused.failure_info.unwrap();
    assert_eq!((info.retry_is_harmless, info.retry_after_millis), (Some(true), Some(1500)));
    assert_eq!(failed.failure_info.unwrap().retry_is_harmless, Some(false));
}

/// Few in CI; more with VIOLETWARD_CASES.
fn cases() -> u32 {
    std::env::var("VIOLETWARD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(400)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn encoding_leads_back(text in any::<String>()) {
        prop_assert_eq!(session::decode(&session::encode(&text)), Some(text));
    }

    #[test]
    fn no_text_is_too_strange(text in any::<String>(), number in any::<f64>()) {
        text::first_word(&text);
        text::first_table(&text);
        session::duration(&text);
        session::bytes(&text);
        session::decode(&text);
        session::duration(&format!("{number}s"));
        let _ = serde_json::from_str::<QueryResults>(&text);
        PageRef::parse(&format!("/v1/statement/{text}"));
    }
}
