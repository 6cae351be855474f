//! Tests the core with statements that outlive their gateway. The test drives the clock and plays the
//! engines and the custody service.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

use serde_json::value::RawValue;
use violetward::{Action, Decide, Event, Load, Micros};
use violetward_custody::{self as custody, InFlightAttempt, Incarnation, StatementKey};
use violetward_gateway::config;
use violetward_gateway::core::{AttemptId, Core, Effect, EnginePage, StatementId, Submission};
use violetward_gateway::list;
use violetward_statement::pages::{Ending, Page, Part, Turn};
use violetward_statement::results::Stats;
use violetward_statement::session::Context;

const SECOND: Micros = 1_000_000;

const SETUP: &str = r#"
(gateway (number 0) (of 1) (listen "127.0.0.1:0") (engines "none"))
(limits (abandon-after "5s") (keep-ended "2s"))
(kinds (kind m8 (cores 8) (memory "16GB")))
(classes
  (class lookup (aim "1s") (give-up "4s") (effect repeatable))
  (class notice (aim "3s") (give-up "10s") (effect once)))
(select notice (tag notice))
(select lookup)
(policy (attempts 2) (budget (free 20) (share 1.0) (window "5s")))
"#;

struct Harness {
    core: Core,
    now: Micros,
    effects: Vec<Effect>,
}

impl Harness {
    fn new() -> Harness {
        let config = config::parse(SETUP, Path::new(".")).expect("valid configuration");
        let engines = "(engine e0 (address \"127.0.0.1:1\"))\n(engine e1 (address \"127.0.0.1:2\"))";
        let engines = list::parse(engines, &config.names).unwrap().records;
        let mut core = Core::new(&config, "life", 7);
        core.protect_classes(vec![true, true]);
        core.update_engines(1_000 * SECOND, &engines);
        let mut harness = Harness { core, now: 1_000 * SECOND, effects: Vec::new() };
        harness.collect_effects();
        harness.effects.clear();
        harness
    }

    fn collect_effects(&mut self) {
        while let Some(effect) = self.core.pop_effect() {
            match effect {
                Effect::Probe(engine, _) => self.core.engine_status(self.now, engine, Some(Load::default())),
                effect => self.effects.push(effect),
            }
        }
    }

    fn filter_effects<T>(&self, pick: impl Fn(&Effect) -> Option<T>) -> Vec<T> {
        self.effects.iter().filter_map(pick).collect()
    }

    fn launched_attempts(&self) -> Vec<AttemptId> {
        self.filter_effects(|e| if let Effect::Launch(launch) = e { Some(launch.attempt) } else { None })
    }

    fn resumed_uris(&self) -> Vec<String> {
        self.filter_effects(|e| if let Effect::Resume(resume) = e { Some(resume.uri.clone()) } else { None })
    }

    fn submit(&mut self, tag: &str) -> StatementId {
        let context = Context { user: "u".into(), tags: vec![tag.into()], ..Context::default() };
        let submission = Submission { public_id: "q".into(), text: "SELECT 1".into(), context };
        let id = self.core.submit(self.now, submission);
        self.collect_effects();
        id
    }

    fn receive_page(&mut self, id: AttemptId, page: u64, rows: Option<&str>, last: bool) {
        let raw = |text: &str| Rc::<RawValue>::from(RawValue::from_string(text.to_owned()).unwrap());
        let part = Part { bytes: rows.map_or(0, str::len), data: rows.map(raw), ..Part::default() };
        let next = (!last).then(|| format!("http://e/v1/statement/executing/s/x/{}", page + 1));
        let stats = Stats { state: "RUNNING".into(), ..Stats::default() };
        self.core.page_received(
            self.now,
            id,
            EnginePage { part, stats, last, next_uri: next, ..EnginePage::default() },
        );
        self.collect_effects();
    }

    fn poll_page(&mut self, id: StatementId, token: u64, after: Option<u64>) -> Option<Rc<Page>> {
        let turn = self.core.page_after(self.now, id, token, after, true);
        self.collect_effects();
        match turn {
            Turn::Page(page) => Some(page),
            _ => None,
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
    }

    /// The record that a statement's guardian holds after an attempt was launched.
    fn guardian_record(&self, id: StatementId) -> custody::Record {
        let statement = self.core.statement_record(id).expect("a protected statement");
        let (attempts, in_flight, pages_delivered) = self.core.progress(id).expect("a protected statement");
        let key = StatementKey { accepted_by: Incarnation { name: "g".into(), number: 1 }, number: id.0 };
        let (body, repeat, remaining_wait) = (statement.body, statement.repeat, statement.remaining);
        custody::Record {
            key,
            version: 2,
            body,
            repeat,
            remaining_wait,
            attempts,
            in_flight,
            pages_delivered,
            ending: None,
        }
    }
}

/// Another gateway that has adopted the recorded statement, and the id of the statement there.
fn adopt_elsewhere(record: &custody::Record) -> (Harness, StatementId) {
    let mut harness = Harness::new();
    let id = harness.core.adopt(harness.now, record).expect("a readable record");
    harness.collect_effects();
    (harness, id)
}

fn start_statement(tag: &str) -> (Harness, StatementId, AttemptId) {
    let mut harness = Harness::new();
    let id = harness.submit(tag);
    harness.poll_page(id, 0, None);
    let attempt = *harness.launched_attempts().last().expect("an attempt was launched");
    (harness, id, attempt)
}

#[test]
fn an_ending_decided_by_the_gateway_after_an_attempt_waits_until_it_is_recorded() {
    let (mut harness, id, _) = start_statement("notice");
    harness.core.cancel(harness.now, id);
    harness.collect_effects();
    let record_ending = |e: &Effect| matches!(e, Effect::RecordEnding(..)).then_some(());
    assert_eq!(harness.filter_effects(record_ending).len(), 1);
    assert!(
        !harness.core.has_ended(id),
        "the ending is visible to the client before a guardian has recorded it"
    );
    // Pages that the attempt delivers in the meantime do not change the ending.
    harness.receive_page(AttemptId(id, 0), 0, Some("[[1]]"), true);
    assert!(!harness.core.has_ended(id));
    harness.core.ending_recorded(harness.now, id);
    assert!(matches!(harness.poll_page(id, 0, None).unwrap().end, Some(Ending::Cancelled(_))));
}

#[test]
fn endings_of_unsent_statements_and_endings_by_the_engine_need_no_record() {
    let mut harness = Harness::new();
    let id = harness.submit("notice");
    harness.core.cancel(harness.now, id);
    assert!(harness.core.has_ended(id));
    let (mut harness, id, attempt) = start_statement("notice");
    harness.receive_page(attempt, 0, None, true);
    assert!(harness.core.has_ended(id));
}

#[test]
fn the_adopting_gateway_fetches_the_first_undelivered_page_and_posts_no_statement() {
    let (mut harness, id, attempt) = start_statement("lookup");
    harness.receive_page(attempt, 0, None, false);
    harness.receive_page(attempt, 1, Some("[[1]]"), false);
    let first = harness.poll_page(id, 0, None).unwrap();
    assert_eq!(first.after, Some(2));
    // The guardian's record is older than the last page that the client received.
    let mut record = harness.guardian_record(id);
    record.in_flight.as_mut().unwrap().next_uri = Some("http://e/v1/statement/executing/s/x/1".into());
    let (mut adopter, adopted_id) = adopt_elsewhere(&record);
    assert!(adopter.resumed_uris().is_empty(), "the next page is known only from the client's poll");
    adopter.poll_page(adopted_id, 1, first.after);
    assert_eq!(adopter.resumed_uris(), ["http://e/v1/statement/executing/s/x/2"]);
    assert!(adopter.launched_attempts().is_empty());
    adopter.receive_page(AttemptId(adopted_id, 0), 2, Some("[[2]]"), true);
    let next = adopter.poll_page(adopted_id, 1, first.after).unwrap();
    assert_eq!(
        (next.token, next.data.as_ref().unwrap().get(), &next.end),
        (1, "[[2]]", &Some(Ending::Served))
    );
}

#[test]
fn the_next_engine_page_is_not_fetched_before_the_client_confirms_the_rows() {
    let (mut harness, id, attempt) = start_statement("lookup");
    let page_fetches =
        |harness: &Harness| harness.filter_effects(|e| matches!(e, Effect::FetchPage(_)).then_some(())).len();
    harness.receive_page(attempt, 0, Some("[[1]]"), false);
    harness.poll_page(id, 0, None);
    assert_eq!(
        page_fetches(&harness),
        0,
        "the engine would drop rows that may be lost on their way to the client"
    );
    harness.poll_page(id, 1, Some(1));
    assert_eq!(page_fetches(&harness), 1);
}

#[test]
fn a_statement_that_may_have_run_and_has_no_uri_fails_if_unsafe_and_restarts_if_repeatable() {
    let in_flight = InFlightAttempt {
        number: 0,
        engine: "e0".into(),
        next_uri: None,
        next_page: 0,
        elapsed: SECOND,
        timeout: 5 * SECOND,
    };
    for (tag, fails) in [("notice", true), ("lookup", false)] {
        let (harness, id, _) = start_statement(tag);
        let record = custody::Record { in_flight: Some(in_flight.clone()), ..harness.guardian_record(id) };
        let (mut adopter, adopted_id) = adopt_elsewhere(&record);
        if fails {
            assert!(adopter.launched_attempts().is_empty(), "an unsafe statement is sent a second time");
            assert_eq!(
                adopter.filter_effects(|e| matches!(e, Effect::RecordEnding(..)).then_some(())).len(),
                1
            );
            adopter.core.ending_recorded(adopter.now, adopted_id);
            assert!(matches!(adopter.poll_page(adopted_id, 0, None).unwrap().end, Some(Ending::Failed(_))));
        } else {
            assert!(
                adopter.launched_attempts().is_empty(),
                "the client may have received the ending already"
            );
            adopter.poll_page(adopted_id, 0, None);
            assert_eq!(
                adopter.launched_attempts(),
                [AttemptId(adopted_id, 1)],
                "attempt numbers continue across gateways"
            );
        }
    }
}

#[test]
fn delivered_rows_are_never_followed_by_rows_of_another_attempt() {
    let (mut harness, id, attempt) = start_statement("lookup");
    harness.receive_page(attempt, 0, Some("[[1]]"), false);
    let first = harness.poll_page(id, 0, None).unwrap();
    let mut record = harness.guardian_record(id);
    record.in_flight.as_mut().unwrap().next_uri = None;
    let (mut adopter, adopted_id) = adopt_elsewhere(&record);
    adopter.poll_page(adopted_id, 1, first.after);
    adopter.core.ending_recorded(adopter.now, adopted_id);
    assert!(matches!(adopter.poll_page(adopted_id, 1, first.after).unwrap().end, Some(Ending::Failed(_))));
}

#[test]
fn a_statement_handed_to_another_gateway_is_detached_without_cancelling_its_attempt() {
    let (mut harness, id, attempt) = start_statement("lookup");
    harness.receive_page(attempt, 0, None, false);
    harness.core.detach(harness.now, id);
    harness.collect_effects();
    assert_eq!(
        harness.filter_effects(|e| if let Effect::Detach(id) = e { Some(*id) } else { None }),
        [attempt]
    );
    assert!(harness.filter_effects(|e| matches!(e, Effect::Cancel(_)).then_some(())).is_empty());
    assert_eq!((harness.core.open(), harness.core.held()), (0, 0));
    harness.receive_page(attempt, 1, Some("[[1]]"), true);
    harness.advance(20 * SECOND);
    assert!(harness.filter_effects(|e| matches!(e, Effect::Ended { .. }).then_some(())).is_empty());
}

#[test]
fn a_recorded_ending_is_served_by_every_gateway() {
    let (harness, id, _) = start_statement("lookup");
    let ending = Some(custody::Ending::Refused("for the test".into()));
    let (mut adopter, adopted_id) =
        adopt_elsewhere(&custody::Record { ending, ..harness.guardian_record(id) });
    let page = adopter.poll_page(adopted_id, 0, None).unwrap();
    assert!(matches!(&page.end, Some(Ending::Refused(e)) if e.message.contains("for the test")));
    assert!(adopter.launched_attempts().is_empty());
}

/// A decision module that records its events and takes no action.
struct EventRecorder(Rc<RefCell<Vec<Event>>>);

impl Decide for EventRecorder {
    fn handle(&mut self, _: Micros, event: Event, _: &mut Vec<Action>) {
        self.0.borrow_mut().push(event);
    }
}

#[test]
fn an_unsent_statement_is_adopted_and_its_tenant_is_not_charged_again() {
    let (harness, id, _) = start_statement("lookup");
    let record = custody::Record { attempts: 0, in_flight: None, ..harness.guardian_record(id) };
    let events = Rc::<RefCell<Vec<Event>>>::default();
    let config = config::parse(SETUP, Path::new(".")).expect("valid configuration");
    let mut core = Core::with(&config, "other", Box::new(EventRecorder(events.clone())));
    core.protect_classes(vec![true, true]);
    let mut adopter = Harness { core, now: 1_001 * SECOND, effects: Vec::new() };
    let adopted_id = adopter.core.adopt(adopter.now, &record).expect("a readable record");
    adopter.poll_page(adopted_id, 0, None);
    let events = events.borrow();
    assert!(
        events.iter().any(|e| matches!(e, Event::Adopted { attempts: 0, in_flight: None, .. })),
        "{events:?}"
    );
    assert!(!events.iter().any(|e| matches!(e, Event::Request(_))));
}

/// A copy of a poll that the former gateway had answered with the ending was told by the adopting gateway that
/// the statement goes on: the client saw two answers that contradict each other.
#[test]
fn a_poll_from_before_the_adoption_is_not_told_that_the_statement_goes_on() {
    let (harness, id, _) = start_statement("lookup");
    let (mut adopter, adopted_id) = adopt_elsewhere(&harness.guardian_record(id));
    let adopted_at = adopter.now;
    let ask = |adopter: &mut Harness, patient: bool, arrived_at: Micros| {
        let turn = adopter.core.page_for_request(adopter.now, adopted_id, (0, None), patient, arrived_at);
        adopter.collect_effects();
        turn
    };
    let before = adopted_at - SECOND / 2;
    assert!(matches!(ask(&mut adopter, true, before), Some(Turn::Wait)), "it may still get rows or the end");
    assert!(ask(&mut adopter, false, before).is_none());
    // The client does need the statement: its next poll is answered as usual.
    let attempt = *adopter.launched_attempts().last().expect("the first poll starts the statement");
    adopter.receive_page(attempt, 0, Some("[[1]]"), false);
    let rows = ask(&mut adopter, false, before);
    assert!(matches!(&rows, Some(Turn::Page(page)) if page.data.is_some()), "{rows:?}");
    let (mut other, other_id) = adopt_elsewhere(&harness.guardian_record(id));
    let later = other.core.page_for_request(other.now, other_id, (0, None), false, other.now);
    assert!(matches!(&later, Some(Turn::Page(page)) if page.is_empty()), "{later:?}");
}
