//! Tests the core alone, without sockets: the test drives the clock and plays the engines.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

use serde_json::value::RawValue;
use violetward::{Load, Micros, Outcome};
use violetward_gateway::config::{self, Config};
use violetward_gateway::core::{AttemptId, Core, Effect, EnginePage, Launch, StatementId, Submission};
use violetward_gateway::list::{self, EngineRecord};
use violetward_gateway::rules::Rules;
use violetward_statement::pages::{Ending, Part, Turn};
use violetward_statement::results::{ErrorType, QueryError, Stats, QUEUE_FULL};
use violetward_statement::session::Context;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

const SETUP: &str = r#"
(gateway (number 0) (of 1) (listen "127.0.0.1:0") (engines "none"))
(limits (abandon-after "5s") (keep-ended "2s") (buffer "1kB") (stream-idle "3s") (open 50))
(kinds (kind m8 (cores 8) (memory "16GB")))
(classes
  (class lookup (aim "1s") (give-up "4s") (effect repeatable))
  (class load (aim "3s") (give-up "10s") (effect (keyed (scope all) (window "25s"))) (in-order yes))
  (class notice (aim "3s") (give-up "10s") (effect once)))
(select load (tag load))
(select notice (tag notice))
(select lookup)
(policy (attempts 3) (budget (free 20) (share 1.0) (window "5s")) (key-rest "1s"))
"#;

struct Harness {
    core: Core,
    now: Micros,
    launched: Vec<Launch>,
    cancelled: Vec<AttemptId>,
    page_fetches: Vec<AttemptId>,
    ended: Vec<(StatementId, &'static str)>,
    engines: BTreeMap<String, EngineRecord>,
}

impl Harness {
    fn new(engines: usize) -> Harness {
        let config: Config = config::parse(SETUP, Path::new(".")).expect("valid configuration");
        let text: String =
            (0..engines).map(|n| format!("(engine e{n} (address \"127.0.0.1:{}\"))\n", n + 1)).collect();
        let engines = list::parse(&text, &config.names).unwrap().records;
        let core = Core::new(&config, "life", 7);
        let (launched, cancelled, page_fetches, ended) = Default::default();
        let mut harness =
            Harness { core, now: 1_000 * SECOND, launched, cancelled, page_fetches, ended, engines };
        harness.update_engines();
        harness
    }

    fn update_engines(&mut self) {
        self.core.update_engines(self.now, &self.engines);
        self.collect_effects();
    }

    fn collect_effects(&mut self) {
        while let Some(effect) = self.core.pop_effect() {
            match effect {
                Effect::Launch(launch) => self.launched.push(*launch),
                Effect::Cancel(id) => self.cancelled.push(id),
                Effect::FetchPage(id) => self.page_fetches.push(id),
                Effect::Ended { id, ending, .. } => self.ended.push((id, ending)),
                Effect::Probe(engine, _) => self.core.engine_status(self.now, engine, Some(Load::default())),
                _ => {}
            }
        }
    }

    fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(at) = self.core.next_wake().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.core.wake(self.now);
            self.collect_effects();
        }
        self.now = end;
        self.core.wake(end);
        self.collect_effects();
    }

    fn submit(&mut self, tags: &[&str]) -> StatementId {
        let tags = tags.iter().map(|t| t.to_string()).collect();
        let context = Context { user: "u".into(), tags, ..Context::default() };
        let text = "SELECT 1".to_owned();
        let id = self.core.submit(self.now, Submission { public_id: "q".into(), text, context });
        self.collect_effects();
        id
    }

    fn poll(&mut self, id: StatementId, token: u64) -> Turn {
        let turn = self.core.page(self.now, id, token, true);
        self.collect_effects();
        turn
    }

    fn receive_page(&mut self, id: AttemptId, rows: Option<&str>, last: bool) {
        let raw = |text: &str| Rc::<RawValue>::from(RawValue::from_string(text.to_owned()).unwrap());
        let part = Part { bytes: rows.map_or(0, str::len), data: rows.map(raw), ..Part::default() };
        let stats = Stats { state: "RUNNING".into(), ..Stats::default() };
        self.core.page_received(self.now, id, EnginePage { part, stats, last, ..EnginePage::default() });
        self.collect_effects();
    }

    fn receive_error(&mut self, id: AttemptId, error: QueryError) {
        self.core.page_received(
            self.now,
            id,
            EnginePage { last: true, error: Some(error), ..EnginePage::default() },
        );
        self.collect_effects();
    }

    fn fail_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        self.core.attempt_failed(self.now, id, outcome, "for the test");
        self.collect_effects();
    }

    fn last_attempt(&self) -> AttemptId {
        self.launched.last().expect("an attempt was launched").attempt
    }

    fn endings(&self, id: StatementId) -> Vec<&'static str> {
        self.ended.iter().filter(|e| e.0 == id).map(|e| e.1).collect()
    }
}

fn ending_of(turn: Turn) -> Option<Ending> {
    match turn {
        Turn::Page(page) => page.end.clone(),
        _ => None,
    }
}

#[test]
fn rows_come_in_order_and_the_end_with_the_last() {
    let mut harness = Harness::new(2);
    let id = harness.submit(&[]);
    let attempt = harness.last_attempt();
    assert!(matches!(harness.poll(id, 0), Turn::Wait));
    harness.receive_page(attempt, Some("[[1]]"), false);
    assert!(ending_of(harness.poll(id, 0)).is_none());
    harness.receive_page(attempt, Some("[[2]]"), true);
    assert_eq!(ending_of(harness.poll(id, 1)), Some(Ending::Served));
    assert_eq!(harness.endings(id), ["served"]);
}

#[test]
fn a_statement_on_a_silent_engine_ends_once_before_its_deadline() {
    let mut harness = Harness::new(1);
    let id = harness.submit(&[]);
    harness.advance(3_900 * MILLISECOND);
    assert!(matches!(harness.poll(id, 0), Turn::Wait | Turn::Page(_)));
    harness.advance(99 * MILLISECOND);
    // The ending is decided a margin before the client's four seconds are over.
    assert_eq!(harness.endings(id).len(), 1);
    assert!(matches!(ending_of(harness.poll(id, 0)), Some(Ending::Refused(_))));
    assert_eq!(
        harness.cancelled.len(),
        harness.launched.len(),
        "every attempt is cancelled when its statement ends"
    );
    harness.advance(10 * SECOND);
    assert_eq!(harness.endings(id).len(), 1);
    assert_eq!(harness.core.counts.overdue, 0);
}

#[test]
fn the_earlier_of_the_last_page_and_the_deadline_decides_the_ending() {
    for late in [false, true] {
        let mut harness = Harness::new(1);
        let id = harness.submit(&["notice"]);
        harness.poll(id, 0);
        harness.core.set_waiting(harness.now, id, true);
        let attempt = harness.last_attempt();
        if late {
            harness.advance(10 * SECOND);
            harness.receive_page(attempt, Some("[[1]]"), true);
            assert_eq!(
                harness.endings(id),
                ["failed"],
                "a statement that may have run has failed, it is not refused"
            );
            assert!(matches!(ending_of(harness.poll(id, 0)), Some(Ending::Failed(_))));
        } else {
            harness.advance(9_900 * MILLISECOND);
            harness.receive_page(attempt, Some("[[1]]"), true);
            harness.advance(10 * SECOND);
            assert_eq!(harness.endings(id), ["served"]);
        }
    }
}

#[test]
fn a_statement_whose_rows_were_delivered_fails_once_and_is_not_restarted_when_its_engine_stops() {
    let mut harness = Harness::new(3);
    let id = harness.submit(&[]);
    let attempt = harness.last_attempt();
    harness.receive_page(attempt, Some("[[1]]"), false);
    harness.poll(id, 0);
    let before = harness.launched.len();
    for _ in 0..60 {
        harness.advance(100 * MILLISECOND);
        harness.core.set_waiting(harness.now, id, true);
        harness.core.set_waiting(harness.now, id, false);
    }
    assert_eq!(harness.endings(id), ["failed"]);
    assert_eq!(harness.launched.len(), before, "a statement whose client has rows is not restarted");
    assert!(harness.cancelled.contains(&attempt));
}

#[test]
fn undelivered_rows_are_dropped_and_the_statement_restarts_on_another_engine() {
    let mut harness = Harness::new(3);
    let id = harness.submit(&[]);
    let first = harness.last_attempt();
    harness.receive_page(first, Some("[[1]]"), false);
    harness.fail_attempt(first, Outcome::Reset);
    let second = harness.last_attempt();
    assert_ne!(first, second);
    assert_ne!(harness.launched[0].engine, harness.launched[1].engine);
    harness.receive_page(first, Some("[[9]]"), true);
    assert!(harness.endings(id).is_empty(), "pages of a failed attempt are ignored");
    harness.receive_page(second, Some("[[2]]"), true);
    match harness.poll(id, 0) {
        Turn::Page(page) => assert_eq!(page.data.as_ref().unwrap().get(), "[[2]]"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_unsafe_statement_is_retried_after_a_broken_connection_only_if_nothing_was_written() {
    for (outcome, launches, end) in [(Outcome::ConnectFailed, 2, None), (Outcome::Reset, 1, Some("failed"))] {
        let mut harness = Harness::new(3);
        let id = harness.submit(&["notice"]);
        harness.poll(id, 0);
        assert!(
            harness.launched[0].new_connection,
            "a reused connection may break without showing whether the statement was read"
        );
        let attempt = harness.last_attempt();
        harness.fail_attempt(attempt, outcome);
        assert_eq!(harness.launched.len(), launches, "{outcome:?}");
        assert_eq!(harness.endings(id).first().copied(), end);
    }
}

#[test]
fn a_keyed_load_is_retried_under_the_same_repeat_key_and_without_one_it_fails() {
    let mut harness = Harness::new(3);
    let id = harness.submit(&["load", "key=m1", "repeat=abc"]);
    harness.poll(id, 0);
    let first = harness.last_attempt();
    harness.fail_attempt(first, Outcome::Reset);
    harness.advance(1_500 * MILLISECOND);
    assert_eq!(harness.launched.len(), 2);
    let repeat_keys: Vec<_> =
        harness.launched.iter().map(|l| l.context.property("query_repeat_key").map(str::to_owned)).collect();
    assert_eq!(repeat_keys[0], Some("u.abc".into()));
    assert_eq!(repeat_keys[0], repeat_keys[1]);
    // Without a repeat key of its client, the engines would take a retry for another statement.
    for (tags, expected) in [(&["load", "repeat=x"][..], "refused"), (&["load"][..], "failed")] {
        let mut harness = Harness::new(1);
        let id = harness.submit(tags);
        harness.poll(id, 0);
        for _ in 0..12 {
            if harness.endings(id).is_empty() && harness.core.open() > 0 {
                let attempt = harness.last_attempt();
                harness.fail_attempt(attempt, Outcome::Reset);
            }
            harness.advance(SECOND);
        }
        assert_eq!(harness.endings(id), [expected], "{tags:?}");
    }
}

#[test]
fn an_unsafe_statement_starts_with_its_first_poll() {
    let mut harness = Harness::new(2);
    let id = harness.submit(&["notice"]);
    assert!(
        harness.launched.is_empty(),
        "the client may post it again if the answer to the first post was lost"
    );
    harness.poll(id, 0);
    assert_eq!(harness.launched.len(), 1);
    let other = harness.submit(&["notice"]);
    harness.advance(20 * SECOND);
    assert_eq!(harness.launched.len(), 1, "a statement that is never polled does not start");
    assert!(matches!(harness.poll(other, 0), Turn::Unknown));
}

#[test]
fn an_engine_removed_from_the_list_gets_no_more_statements_and_others_take_its_work() {
    let mut harness = Harness::new(2);
    let ids: Vec<StatementId> = (0..30).map(|_| harness.submit(&[])).collect();
    let at = harness.now;
    let gone: Vec<AttemptId> =
        harness.launched.iter().filter(|l| l.engine == "e0").map(|l| l.attempt).collect();
    assert!(!gone.is_empty());
    harness.engines.remove("e0");
    harness.update_engines();
    let before = harness.launched.len();
    // Its open attempts fail, and the statements in its queue go to the other engine.
    gone.iter().for_each(|&a| harness.fail_attempt(a, Outcome::Reset));
    for _ in 0..400 {
        harness.advance(10 * MILLISECOND);
        let open: Vec<AttemptId> =
            harness.launched.iter().filter(|l| l.engine == "e1").map(|l| l.attempt).collect();
        open.into_iter().for_each(|a| harness.receive_page(a, Some("[[1]]"), true));
    }
    assert!(harness.launched[before..].iter().all(|l| l.engine == "e1"));
    assert!(harness.now >= at + 4 * SECOND);
    for id in ids {
        assert_eq!(harness.endings(id).len(), 1);
    }
}

#[test]
fn with_all_engines_removed_every_statement_ends_once_and_nothing_is_launched() {
    let mut harness = Harness::new(3);
    let ids: Vec<StatementId> = (0..40).map(|_| harness.submit(&[])).collect();
    let notice = harness.submit(&["notice"]);
    harness.poll(notice, 0);
    harness.engines.clear();
    harness.update_engines();
    let launched = harness.launched.len();
    let later = harness.submit(&[]);
    harness.advance(12 * SECOND);
    assert_eq!(harness.launched.len(), launched);
    for id in ids.into_iter().chain([later, notice]) {
        assert_eq!(harness.endings(id).len(), 1);
    }
}

#[test]
fn a_statement_whose_client_stops_polling_is_cancelled_and_dropped() {
    let mut harness = Harness::new(1);
    let id = harness.submit(&["notice"]);
    harness.poll(id, 0);
    let attempt = harness.last_attempt();
    harness.advance(4 * SECOND);
    assert!(harness.endings(id).is_empty());
    harness.advance(1_200 * MILLISECOND);
    assert_eq!(harness.endings(id), ["cancelled"]);
    assert_eq!(harness.cancelled, [attempt]);
    assert_eq!(harness.core.held(), 0, "the statement is not kept");
}

#[test]
fn endless_polling_does_not_keep_a_statement() {
    let mut harness = Harness::new(1);
    let id = harness.submit(&[]);
    let attempt = harness.last_attempt();
    harness.receive_page(attempt, Some("[[1]]"), true);
    for _ in 0..5 {
        assert_eq!(ending_of(harness.poll(id, 0)), Some(Ending::Served), "the same page each time");
    }
    assert!(matches!(harness.poll(id, 1), Turn::Unknown));
    // A waiting poll keeps the statement from being abandoned, but its deadline still ends it.
    let mut harness = Harness::new(1);
    let id = harness.submit(&[]);
    harness.core.set_waiting(harness.now, id, true);
    harness.advance(8 * SECOND);
    assert_eq!(harness.endings(id).len(), 1);
}

#[test]
fn pages_are_fetched_only_while_the_buffer_has_room() {
    let mut harness = Harness::new(1);
    let id = harness.submit(&[]);
    let attempt = harness.last_attempt();
    let rows = format!("[[\"{}\"]]", "x".repeat(600));
    harness.receive_page(attempt, Some(&rows), false);
    assert_eq!(harness.page_fetches.len(), 1, "the buffer has room for another page");
    harness.receive_page(attempt, Some(&rows), false);
    assert_eq!(harness.page_fetches.len(), 1, "one kilobyte is buffered: no further page is fetched");
    harness.poll(id, 0);
    assert_eq!(harness.page_fetches.len(), 2, "the client took a page");
}

#[test]
fn a_user_error_is_declined_and_does_not_count_against_the_engine() {
    let mut harness = Harness::new(1);
    for _ in 0..40 {
        let id = harness.submit(&[]);
        let attempt = harness.last_attempt();
        harness.receive_error(attempt, QueryError::new(ErrorType::UserError, 1, "SYNTAX_ERROR", "no"));
        assert_eq!(harness.endings(id), ["declined"]);
    }
    let launched = harness.launched.len();
    harness.submit(&[]);
    assert_eq!(harness.launched.len(), launched + 1, "the engine is still used");
}

#[test]
fn an_engine_that_is_full_has_not_run_the_statement() {
    let mut harness = Harness::new(2);
    let id = harness.submit(&["notice"]);
    harness.poll(id, 0);
    let first = harness.last_attempt();
    harness.receive_error(first, QueryError::new(ErrorType::InsufficientResources, 2, QUEUE_FULL, "full"));
    assert_eq!(harness.launched.len(), 2, "the full engine did not run it: another engine may");
    let second = harness.last_attempt();
    harness.receive_error(
        second,
        QueryError::new(ErrorType::InternalError, 0, "GENERIC_INTERNAL_ERROR", "oops"),
    );
    assert_eq!(harness.endings(id), ["failed"], "a statement that may have run has failed");
}

#[test]
fn statements_with_the_same_order_key_run_one_at_a_time() {
    let mut harness = Harness::new(3);
    let a = harness.submit(&["load", "key=m"]);
    let b = harness.submit(&["load", "key=m"]);
    let c = harness.submit(&["load", "key=other"]);
    for id in [a, b, c] {
        harness.poll(id, 0);
    }
    let out: Vec<StatementId> = harness.launched.iter().map(|l| l.attempt.0).collect();
    assert_eq!(out, [a, c]);
    harness.receive_page(AttemptId(a, 0), None, true);
    assert_eq!(harness.last_attempt().0, b);
}

#[test]
fn above_the_limit_of_open_statements_new_ones_are_refused_and_open_ones_continue() {
    let mut harness = Harness::new(1);
    let ids: Vec<StatementId> = (0..60).map(|_| harness.submit(&["notice"])).collect();
    let refused = ids.iter().filter(|&&id| harness.endings(id) == ["refused"]).count();
    assert_eq!(refused, 10);
    // A statement that was refused before it started does not start when its client fetches the error page.
    let before = harness.launched.len();
    assert!(matches!(harness.poll(ids[59], 0), Turn::Page(_)));
    assert_eq!(harness.launched.len(), before);
    harness.poll(ids[0], 0);
    let attempt = harness.last_attempt();
    harness.receive_page(attempt, None, true);
    assert_eq!(harness.endings(ids[0]), ["served"]);
}

#[test]
fn sessions_of_a_failed_gateway_are_taken_over_at_once() {
    use violetward_session::table::Holds;
    use violetward_session::token::{Key, Keys, Token};
    let keys =
        Keys::new(vec![Key { name: "k".into(), secret: b"a secret of the core's tests".to_vec() }]).unwrap();
    let mut harness = Harness::new(2);
    harness.core.set_keys(keys.clone());
    let submit = |harness: &mut Harness, n: u64, engine: &str, until: Micros| {
        let token = Token {
            session: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            user: "u".into(),
            engine: engine.into(),
            epoch: "x".into(),
            inner: format!("s{n}"),
            holds: Holds { transaction: true, tables: false },
            until,
        };
        let context =
            Context { user: "u".into(), transaction: Some(keys.sign(&token)), ..Context::default() };
        let submission = Submission { public_id: "q".into(), text: "COMMIT".into(), context };
        let id = harness.core.submit(harness.now, submission);
        harness.collect_effects();
        id
    };
    let later = harness.now + 600 * SECOND;
    let ids: Vec<StatementId> = (0..40).map(|n| submit(&mut harness, n, "e1", later)).collect();
    assert_eq!(harness.core.sessions().0, 40);
    for &id in &ids {
        harness.poll(id, 0);
    }
    assert!(harness.launched.iter().all(|l| l.engine == "e1"), "sessions stay on their engine");
    assert!(
        harness.launched.iter().all(|l| l.new_connection),
        "a reused connection may already be closed by the engine"
    );
    let session = harness.launched[0].context.transaction.as_deref().unwrap();
    assert!(
        session.starts_with('s') && session.ends_with("@x"),
        "the engine gets its own session name: {session}"
    );
    // A session on an unlisted engine and an expired session are answered at once.
    let gone = submit(&mut harness, 100, "e9", later);
    assert_eq!(harness.endings(gone), ["failed"]);
    let now = harness.now;
    let stale = submit(&mut harness, 101, "e1", now);
    assert_eq!(harness.endings(stale), ["declined"]);
}

#[test]
fn a_cancelled_statement_ends_once_and_its_attempt_is_cancelled() {
    let mut harness = Harness::new(1);
    let id = harness.submit(&[]);
    let attempt = harness.last_attempt();
    assert!(harness.core.cancel(harness.now, id));
    harness.collect_effects();
    assert_eq!((harness.endings(id), harness.cancelled.clone()), (vec!["cancelled"], vec![attempt]));
    harness.receive_page(attempt, Some("[[1]]"), true);
    assert_eq!(harness.endings(id).len(), 1);
}

#[test]
fn every_statement_ends_once_under_random_engine_faults() {
    // The seeds are fixed, so each run has the same sequence of events.
    for seed in 0..40u64 {
        let mut random_state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = move |n: u64| {
            random_state ^= random_state >> 12;
            random_state ^= random_state << 25;
            random_state ^= random_state >> 27;
            random_state.wrapping_mul(0x2545_f491_4f6c_dd1d) % n
        };
        let mut harness = Harness::new(4);
        let mut ids = Vec::new();
        for step in 0..300 {
            let tags: &[&str] =
                [&[][..], &["load", "key=a", "repeat=r"], &["load", "key=b"], &["notice"]][draw(4) as usize];
            let id = harness.submit(tags);
            harness.poll(id, 0);
            ids.push(id);
            let open: Vec<AttemptId> = harness.launched.iter().rev().take(12).map(|l| l.attempt).collect();
            for attempt in open {
                match draw(9) {
                    0 => harness.receive_page(attempt, Some("[[1]]"), true),
                    1 => harness.receive_page(attempt, Some("[[1]]"), false),
                    2 => harness.fail_attempt(attempt, Outcome::Reset),
                    3 => harness.fail_attempt(attempt, Outcome::ConnectFailed),
                    4 => {
                        harness.receive_error(attempt, QueryError::new(ErrorType::InternalError, 0, "X", "x"))
                    }
                    _ => {}
                }
            }
            if step % 50 == 20 {
                let kept = harness.engines.clone();
                harness.engines.remove(&format!("e{}", draw(4)));
                harness.update_engines();
                harness.advance(draw(200) * MILLISECOND);
                harness.engines = kept;
                harness.update_engines();
            }
            harness.advance(draw(30) * MILLISECOND);
        }
        harness.advance(30 * SECOND);
        for id in ids {
            assert_eq!(harness.endings(id).len(), 1, "seed {seed}");
        }
        assert_eq!(
            (harness.core.open(), harness.core.held(), harness.core.counts.overdue),
            (0, 0, 0),
            "seed {seed}"
        );
    }
}

/// Settings change while statements run. A launched statement that is not yet written is checked against the
/// new rules, new statements follow the current rules, and an engine that the settings drain gets no new
/// statements whatever the engine list says.
#[test]
fn rules_of_the_settings_restrict_admission_and_routing() {
    let names = config::parse(SETUP, Path::new(".")).expect("valid configuration").names;
    let rules = |text: &str| Rules::parse(text, &names).expect("valid rules");
    let mut harness = Harness::new(2);
    harness.submit(&[]);
    let launch = harness.launched.pop().expect("launched");
    assert!(harness.core.may_send(launch.attempt, &launch.engine));

    harness.core.set_rules(harness.now, rules(&format!("(engine {} (state draining))", launch.engine)));
    harness.collect_effects();
    assert!(
        !harness.core.may_send(launch.attempt, &launch.engine),
        "the check before the write applies the new rules"
    );
    harness.update_engines();
    for _ in 0..6 {
        harness.submit(&[]);
    }
    assert!(harness.launched.iter().all(|l| l.engine != launch.engine) && !harness.launched.is_empty());

    harness.core.set_rules(harness.now, rules("(class lookup (admit no))"));
    harness.collect_effects();
    let refused = harness.submit(&[]);
    assert!(harness.core.has_ended(refused), "the statement is refused at once");
    assert!(harness.ended.contains(&(refused, "refused")), "{:?}", harness.ended);

    harness.core.set_rules(harness.now, Rules::default());
    harness.collect_effects();
    let again = harness.submit(&[]);
    assert!(!harness.core.has_ended(again));
}
