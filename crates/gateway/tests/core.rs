//! The core by itself: no sockets, a clock by hand, engines played by the test.

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

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

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

struct Bed {
    core: Core,
    now: Micros,
    launched: Vec<Launch>,
    withdrawn: Vec<AttemptId>,
    pulls: Vec<AttemptId>,
    ended: Vec<(StatementId, &'static str)>,
    engines: BTreeMap<String, EngineRecord>,
}

impl Bed {
    fn new(engines: usize) -> Bed {
        let config: Config = config::parse(SETUP, Path::new(".")).expect("good");
        let text: String =
            (0..engines).map(|n| format!("(engine e{n} (address \"127.0.0.1:{}\"))\n", n + 1)).collect();
        let engines = list::parse(&text, &config.names).unwrap().records;
        let core = Core::new(&config, "life", 7);
        let (launched, withdrawn, pulls, ended) = Default::default();
        let mut bed = Bed { core, now: 1_000 * S, launched, withdrawn, pulls, ended, engines };
        bed.list();
        bed
    }

    fn list(&mut self) {
        self.core.update_engines(self.now, &self.engines);
        self.collect();
    }

    fn collect(&mut self) {
        while let Some(effect) = self.core.pop_effect() {
            match effect {
                Effect::Launch(launch) => self.launched.push(*launch),
                Effect::Cancel(id) => self.withdrawn.push(id),
                Effect::FetchPage(id) => self.pulls.push(id),
                Effect::Ended { id, ending, .. } => self.ended.push((id, ending)),
                Effect::Probe(engine, _) => self.core.engine_status(self.now, engine, Some(Load::default())),
                _ => {}
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.core.next_wake().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.core.wake(self.now);
            self.collect();
        }
        self.now = end;
        self.core.wake(end);
        self.collect();
    }

    fn submit(&mut self, tags: &[&str]) -> StatementId {
        let tags = tags.iter().map(|t| t.to_string()).collect();
        let context = Context { user: "u".into(), tags, ..Context::default() };
        let text = "SELECT 1".to_owned();
        let id = self.core.submit(self.now, Submission { public_id: "q".into(), text, context });
        self.collect();
        id
    }

    fn poll(&mut self, id: StatementId, token: u64) -> Turn {
        let turn = self.core.page(self.now, id, token, true);
        self.collect();
        turn
    }

    fn arrive(&mut self, id: AttemptId, rows: Option<&str>, last: bool) {
        let raw = |text: &str| Rc::<RawValue>::from(RawValue::from_string(text.to_owned()).unwrap());
        let part = Part { bytes: rows.map_or(0, str::len), data: rows.map(raw), ..Part::default() };
        let stats = Stats { state: "RUNNING".into(), ..Stats::default() };
        self.core.page_received(self.now, id, EnginePage { part, stats, last, ..EnginePage::default() });
        self.collect();
    }

    fn error(&mut self, id: AttemptId, error: QueryError) {
        self.core.page_received(
            self.now,
            id,
            EnginePage { last: true, error: Some(error), ..EnginePage::default() },
        );
        self.collect();
    }

    fn end(&mut self, id: AttemptId, outcome: Outcome) {
        self.core.attempt_failed(self.now, id, outcome, "for the test");
        self.collect();
    }

    fn last(&self) -> AttemptId {
        self.launched.last().expect("something was launched").attempt
    }

    fn endings(&self, id: StatementId) -> Vec<&'static str> {
        self.ended.iter().filter(|e| e.0 == id).map(|e| e.1).collect()
    }
}

fn ending(turn: Turn) -> Option<Ending> {
    match turn {
        Turn::Page(page) => page.end.clone(),
        _ => None,
    }
}

#[test]
fn rows_come_in_order_and_the_end_with_the_last() {
    let mut bed = Bed::new(2);
    let id = bed.submit(&[]);
    let attempt = bed.last();
    assert!(matches!(bed.poll(id, 0), Turn::Wait));
    bed.arrive(attempt, Some("[[1]]"), false);
    assert!(ending(bed.poll(id, 0)).is_none());
    bed.arrive(attempt, Some("[[2]]"), true);
    assert_eq!(ending(bed.poll(id, 1)), Some(Ending::Served));
    assert_eq!(bed.endings(id), ["served"]);
}

#[test]
fn a_poll_after_its_engine_went_silent_gets_one_end_before_the_deadline() {
    let mut bed = Bed::new(1);
    let id = bed.submit(&[]);
    bed.pass(3_900 * MS);
    assert!(matches!(bed.poll(id, 0), Turn::Wait | Turn::Page(_)));
    bed.pass(99 * MS);
    // Fixed by now, a margin before the client's four seconds are over.
    assert_eq!(bed.endings(id).len(), 1);
    assert!(matches!(ending(bed.poll(id, 0)), Some(Ending::Refused(_))));
    assert_eq!(bed.withdrawn.len(), bed.launched.len(), "no attempt goes on after the end");
    bed.pass(10 * S);
    assert_eq!(bed.endings(id).len(), 1);
    assert_eq!(bed.core.counts.overdue, 0);
}

#[test]
fn the_last_page_and_the_deadline_race_and_the_first_wins() {
    for late in [false, true] {
        let mut bed = Bed::new(1);
        let id = bed.submit(&["notice"]);
        bed.poll(id, 0);
        bed.core.set_waiting(bed.now, id, true);
        let attempt = bed.last();
        if late {
            bed.pass(10 * S);
            bed.arrive(attempt, Some("[[1]]"), true);
            assert_eq!(bed.endings(id), ["failed"], "it may have run, so it is no refusal");
            assert!(matches!(ending(bed.poll(id, 0)), Some(Ending::Failed(_))));
        } else {
            bed.pass(9_900 * MS);
            bed.arrive(attempt, Some("[[1]]"), true);
            bed.pass(10 * S);
            assert_eq!(bed.endings(id), ["served"]);
        }
    }
}

#[test]
fn an_engine_that_stops_after_rows_were_handed_out_means_one_failure_and_no_second_beginning() {
    let mut bed = Bed::new(3);
    let id = bed.submit(&[]);
    let attempt = bed.last();
    bed.arrive(attempt, Some("[[1]]"), false);
    bed.poll(id, 0);
    let before = bed.launched.len();
    for _ in 0..60 {
        bed.pass(100 * MS);
        bed.core.set_waiting(bed.now, id, true);
        bed.core.set_waiting(bed.now, id, false);
    }
    assert_eq!(bed.endings(id), ["failed"]);
    assert_eq!(bed.launched.len(), before, "rows that the client has can't begin again");
    assert!(bed.withdrawn.contains(&attempt));
}

#[test]
fn rows_that_were_not_handed_out_are_dropped_and_another_engine_begins() {
    let mut bed = Bed::new(3);
    let id = bed.submit(&[]);
    let first = bed.last();
    bed.arrive(first, Some("[[1]]"), false);
    bed.end(first, Outcome::Reset);
    let second = bed.last();
    assert_ne!(first, second);
    assert_ne!(bed.launched[0].engine, bed.launched[1].engine);
    bed.arrive(first, Some("[[9]]"), true);
    assert!(bed.endings(id).is_empty(), "what a dead attempt still sends counts for nothing");
    bed.arrive(second, Some("[[2]]"), true);
    match bed.poll(id, 0) {
        Turn::Page(page) => assert_eq!(page.data.as_ref().unwrap().get(), "[[2]]"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_broken_connection_sends_an_unsafe_statement_on_only_if_nothing_was_written() {
    for (outcome, launches, end) in [(Outcome::ConnectFailed, 2, None), (Outcome::Reset, 1, Some("failed"))] {
        let mut bed = Bed::new(3);
        let id = bed.submit(&["notice"]);
        bed.poll(id, 0);
        assert!(
            bed.launched[0].new_connection,
            "a used connection may break without telling whether it was read"
        );
        let attempt = bed.last();
        bed.end(attempt, outcome);
        assert_eq!(bed.launched.len(), launches, "{outcome:?}");
        assert_eq!(bed.endings(id).first().copied(), end);
    }
}

#[test]
fn a_keyed_load_goes_out_again_under_the_same_mark_and_without_one_it_is_never_refused() {
    let mut bed = Bed::new(3);
    let id = bed.submit(&["load", "key=m1", "repeat=abc"]);
    bed.poll(id, 0);
    let first = bed.last();
    bed.end(first, Outcome::Reset);
    bed.pass(1_500 * MS);
    assert_eq!(bed.launched.len(), 2);
    let marks: Vec<_> =
        bed.launched.iter().map(|l| l.context.property("query_repeat_key").map(str::to_owned)).collect();
    assert_eq!(marks[0], Some("u.abc".into()));
    assert_eq!(marks[0], marks[1]);
    // Without a mark of its client, a retry would be another statement to the engines.
    for (tags, expected) in [(&["load", "repeat=x"][..], "refused"), (&["load"][..], "failed")] {
        let mut bed = Bed::new(1);
        let id = bed.submit(tags);
        bed.poll(id, 0);
        for _ in 0..12 {
            if bed.endings(id).is_empty() && bed.core.open() > 0 {
                let attempt = bed.last();
                bed.end(attempt, Outcome::Reset);
            }
            bed.pass(S);
        }
        assert_eq!(bed.endings(id), [expected], "{tags:?}");
    }
}

#[test]
fn what_is_not_safe_to_repeat_begins_with_the_first_poll() {
    let mut bed = Bed::new(2);
    let id = bed.submit(&["notice"]);
    assert!(bed.launched.is_empty(), "its client may post it again if our answer was lost");
    bed.poll(id, 0);
    assert_eq!(bed.launched.len(), 1);
    let other = bed.submit(&["notice"]);
    bed.pass(20 * S);
    assert_eq!(bed.launched.len(), 1, "nobody came for the other one");
    assert!(matches!(bed.poll(other, 0), Turn::Unknown));
}

#[test]
fn an_engine_taken_off_the_list_gets_nothing_more_and_its_work_goes_elsewhere() {
    let mut bed = Bed::new(2);
    let ids: Vec<StatementId> = (0..30).map(|_| bed.submit(&[])).collect();
    let at = bed.now;
    let gone: Vec<AttemptId> = bed.launched.iter().filter(|l| l.engine == "e0").map(|l| l.attempt).collect();
    assert!(!gone.is_empty());
    bed.engines.remove("e0");
    bed.list();
    let before = bed.launched.len();
    // What is out there ends badly, what waited in its line goes to the other.
    gone.iter().for_each(|&a| bed.end(a, Outcome::Reset));
    for _ in 0..400 {
        bed.pass(10 * MS);
        let open: Vec<AttemptId> =
            bed.launched.iter().filter(|l| l.engine == "e1").map(|l| l.attempt).collect();
        open.into_iter().for_each(|a| bed.arrive(a, Some("[[1]]"), true));
    }
    assert!(bed.launched[before..].iter().all(|l| l.engine == "e1"));
    assert!(bed.now >= at + 4 * S);
    for id in ids {
        assert_eq!(bed.endings(id).len(), 1);
    }
}

#[test]
fn with_all_engines_gone_everything_ends_once_and_nothing_goes_out() {
    let mut bed = Bed::new(3);
    let ids: Vec<StatementId> = (0..40).map(|_| bed.submit(&[])).collect();
    let notice = bed.submit(&["notice"]);
    bed.poll(notice, 0);
    bed.engines.clear();
    bed.list();
    let launched = bed.launched.len();
    let later = bed.submit(&[]);
    bed.pass(12 * S);
    assert_eq!(bed.launched.len(), launched);
    for id in ids.into_iter().chain([later, notice]) {
        assert_eq!(bed.endings(id).len(), 1);
    }
}

#[test]
fn a_client_that_stops_polling_is_let_go_and_its_work_ended() {
    let mut bed = Bed::new(1);
    let id = bed.submit(&["notice"]);
    bed.poll(id, 0);
    let attempt = bed.last();
    bed.pass(4 * S);
    assert!(bed.endings(id).is_empty());
    bed.pass(1_200 * MS);
    assert_eq!(bed.endings(id), ["cancelled"]);
    assert_eq!(bed.withdrawn, [attempt]);
    assert_eq!(bed.core.held(), 0, "nothing of it is kept");
}

#[test]
fn a_client_that_polls_for_ever_holds_nothing_for_ever() {
    let mut bed = Bed::new(1);
    let id = bed.submit(&[]);
    let attempt = bed.last();
    bed.arrive(attempt, Some("[[1]]"), true);
    for _ in 0..5 {
        assert_eq!(ending(bed.poll(id, 0)), Some(Ending::Served), "the same page each time");
    }
    assert!(matches!(bed.poll(id, 1), Turn::Unknown));
    // Polls that wait keep a statement; its deadline ends it all the same.
    let mut bed = Bed::new(1);
    let id = bed.submit(&[]);
    bed.core.set_waiting(bed.now, id, true);
    bed.pass(8 * S);
    assert_eq!(bed.endings(id).len(), 1);
}

#[test]
fn a_slow_client_holds_its_engine_back_and_memory_is_bounded() {
    let mut bed = Bed::new(1);
    let id = bed.submit(&[]);
    let attempt = bed.last();
    let rows = format!("[[\"{}\"]]", "x".repeat(600));
    bed.arrive(attempt, Some(&rows), false);
    assert_eq!(bed.pulls.len(), 1, "there is room for more");
    bed.arrive(attempt, Some(&rows), false);
    assert_eq!(bed.pulls.len(), 1, "one kilobyte is held: no more is asked for");
    bed.poll(id, 0);
    assert_eq!(bed.pulls.len(), 2, "the client took a page");
}

#[test]
fn a_statement_of_its_own_fault_is_declined_and_costs_the_engine_nothing() {
    let mut bed = Bed::new(1);
    for _ in 0..40 {
        let id = bed.submit(&[]);
        let attempt = bed.last();
        bed.error(attempt, QueryError::new(ErrorType::UserError, 1, "SYNTAX_ERROR", "no"));
        assert_eq!(bed.endings(id), ["declined"]);
    }
    let launched = bed.launched.len();
    bed.submit(&[]);
    assert_eq!(bed.launched.len(), launched + 1, "the engine is as good as ever");
}

#[test]
fn an_engine_that_is_full_has_not_run_the_statement() {
    let mut bed = Bed::new(2);
    let id = bed.submit(&["notice"]);
    bed.poll(id, 0);
    let first = bed.last();
    bed.error(first, QueryError::new(ErrorType::InsufficientResources, 2, QUEUE_FULL, "full"));
    assert_eq!(bed.launched.len(), 2, "turned away unseen: it may go elsewhere");
    let second = bed.last();
    bed.error(second, QueryError::new(ErrorType::InternalError, 0, "GENERIC_INTERNAL_ERROR", "oops"));
    assert_eq!(bed.endings(id), ["failed"], "it may have run");
}

#[test]
fn statements_of_one_key_take_turns() {
    let mut bed = Bed::new(3);
    let a = bed.submit(&["load", "key=m"]);
    let b = bed.submit(&["load", "key=m"]);
    let c = bed.submit(&["load", "key=other"]);
    for id in [a, b, c] {
        bed.poll(id, 0);
    }
    let out: Vec<StatementId> = bed.launched.iter().map(|l| l.attempt.0).collect();
    assert_eq!(out, [a, c]);
    bed.arrive(AttemptId(a, 0), None, true);
    assert_eq!(bed.last().0, b);
}

#[test]
fn past_the_bound_of_open_statements_new_ones_are_refused_and_old_ones_go_on() {
    let mut bed = Bed::new(1);
    let ids: Vec<StatementId> = (0..60).map(|_| bed.submit(&["notice"])).collect();
    let refused = ids.iter().filter(|&&id| bed.endings(id) == ["refused"]).count();
    assert_eq!(refused, 10);
    // What was refused before it began does not begin when its client asks for the page that says so.
    let before = bed.launched.len();
    assert!(matches!(bed.poll(ids[59], 0), Turn::Page(_)));
    assert_eq!(bed.launched.len(), before);
    bed.poll(ids[0], 0);
    let attempt = bed.last();
    bed.arrive(attempt, None, true);
    assert_eq!(bed.endings(ids[0]), ["served"]);
}

#[test]
fn a_wave_of_sessions_of_a_dead_gateway_is_taken_over_at_once() {
    use violetward_session::table::Holds;
    use violetward_session::token::{Key, Keys, Token};
    let keys =
        Keys::new(vec![Key { name: "k".into(), secret: b"a secret of the core's tests".to_vec() }]).unwrap();
    let mut bed = Bed::new(2);
    bed.core.set_keys(keys.clone());
    let submit = |bed: &mut Bed, n: u64, engine: &str, until: Micros| {
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
        let id = bed.core.submit(bed.now, submission);
        bed.collect();
        id
    };
    let later = bed.now + 600 * S;
    let ids: Vec<StatementId> = (0..40).map(|n| submit(&mut bed, n, "e1", later)).collect();
    assert_eq!(bed.core.sessions().0, 40);
    for &id in &ids {
        bed.poll(id, 0);
    }
    assert!(bed.launched.iter().all(|l| l.engine == "e1"), "where they live");
    assert!(
        bed.launched.iter().all(|l| l.new_connection),
        "a used connection may be dead without our knowing"
    );
    let named = bed.launched[0].context.transaction.as_deref().unwrap();
    assert!(named.starts_with('s') && named.ends_with("@x"), "the engine hears its own name for it: {named}");
    // Of an engine that is not listed, and of a time that is over: told at once.
    let gone = submit(&mut bed, 100, "e9", later);
    assert_eq!(bed.endings(gone), ["failed"]);
    let now = bed.now;
    let stale = submit(&mut bed, 101, "e1", now);
    assert_eq!(bed.endings(stale), ["declined"]);
}

#[test]
fn a_cancel_is_one_end_and_stops_the_work() {
    let mut bed = Bed::new(1);
    let id = bed.submit(&[]);
    let attempt = bed.last();
    assert!(bed.core.cancel(bed.now, id));
    bed.collect();
    assert_eq!((bed.endings(id), bed.withdrawn.clone()), (vec!["cancelled"], vec![attempt]));
    bed.arrive(attempt, Some("[[1]]"), true);
    assert_eq!(bed.endings(id).len(), 1);
}

#[test]
fn every_statement_ends_once_whatever_its_engines_do() {
    // Seeds are fixed: the same courses every time.
    for seed in 0..40u64 {
        let mut dice = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = move |n: u64| {
            dice ^= dice >> 12;
            dice ^= dice << 25;
            dice ^= dice >> 27;
            dice.wrapping_mul(0x2545_f491_4f6c_dd1d) % n
        };
        let mut bed = Bed::new(4);
        let mut ids = Vec::new();
        for step in 0..300 {
            let tags: &[&str] =
                [&[][..], &["load", "key=a", "repeat=r"], &["load", "key=b"], &["notice"]][draw(4) as usize];
            let id = bed.submit(tags);
            bed.poll(id, 0);
            ids.push(id);
            let open: Vec<AttemptId> = bed.launched.iter().rev().take(12).map(|l| l.attempt).collect();
            for attempt in open {
                match draw(9) {
                    0 => bed.arrive(attempt, Some("[[1]]"), true),
                    1 => bed.arrive(attempt, Some("[[1]]"), false),
                    2 => bed.end(attempt, Outcome::Reset),
                    3 => bed.end(attempt, Outcome::ConnectFailed),
                    4 => bed.error(attempt, QueryError::new(ErrorType::InternalError, 0, "X", "x")),
                    _ => {}
                }
            }
            if step % 50 == 20 {
                let kept = bed.engines.clone();
                bed.engines.remove(&format!("e{}", draw(4)));
                bed.list();
                bed.pass(draw(200) * MS);
                bed.engines = kept;
                bed.list();
            }
            bed.pass(draw(30) * MS);
        }
        bed.pass(30 * S);
        for id in ids {
            assert_eq!(bed.endings(id).len(), 1, "seed {seed}");
        }
        assert_eq!((bed.core.open(), bed.core.held(), bed.core.counts.overdue), (0, 0, 0), "seed {seed}");
    }
}

/// Versions of the settings while statements run: what was launched and not written yet is looked at once more, what is new
/// goes by the rules that hold, and an engine that a version drains gets nothing new whatever the list says.
#[test]
fn rules_of_a_version_narrow_what_is_taken_and_where_it_goes() {
    let names = config::parse(SETUP, Path::new(".")).expect("good").names;
    let rules = |text: &str| Rules::parse(text, &names).expect("good rules");
    let mut bed = Bed::new(2);
    bed.submit(&[]);
    let launch = bed.launched.pop().expect("launched");
    assert!(bed.core.may_send(launch.attempt, &launch.engine));

    bed.core.set_rules(bed.now, rules(&format!("(engine {} (state draining))", launch.engine)));
    bed.collect();
    assert!(!bed.core.may_send(launch.attempt, &launch.engine), "the last look sees the new rules");
    bed.list();
    for _ in 0..6 {
        bed.submit(&[]);
    }
    assert!(bed.launched.iter().all(|l| l.engine != launch.engine) && !bed.launched.is_empty());

    bed.core.set_rules(bed.now, rules("(class lookup (admit no))"));
    bed.collect();
    let refused = bed.submit(&[]);
    assert!(bed.core.has_ended(refused), "refused at once");
    assert!(bed.ended.contains(&(refused, "refused")), "{:?}", bed.ended);

    bed.core.set_rules(bed.now, Rules::default());
    bed.collect();
    let again = bed.submit(&[]);
    assert!(!bed.core.has_ended(again));
}
