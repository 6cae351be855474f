//! The core with statements that outlive their gateway: a clock by hand, engines and custody played by the test.

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

const S: Micros = 1_000_000;

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

struct Bed {
    core: Core,
    now: Micros,
    effects: Vec<Effect>,
}

impl Bed {
    fn new() -> Bed {
        let config = config::parse(SETUP, Path::new(".")).expect("good");
        let engines = "(engine e0 (address \"127.0.0.1:1\"))\n(engine e1 (address \"127.0.0.1:2\"))";
        let engines = list::parse(engines, &config.names).unwrap().records;
        let mut core = Core::new(&config, "life", 7);
        core.protect_classes(vec![true, true]);
        core.update_engines(1_000 * S, &engines);
        let mut bed = Bed { core, now: 1_000 * S, effects: Vec::new() };
        bed.collect();
        bed.effects.clear();
        bed
    }

    fn collect(&mut self) {
        while let Some(effect) = self.core.pop_effect() {
            match effect {
                Effect::Probe(engine, _) => self.core.engine_status(self.now, engine, Some(Load::default())),
                effect => self.effects.push(effect),
            }
        }
    }

    fn found<T>(&self, pick: impl Fn(&Effect) -> Option<T>) -> Vec<T> {
        self.effects.iter().filter_map(pick).collect()
    }

    fn launched(&self) -> Vec<AttemptId> {
        self.found(|e| if let Effect::Launch(launch) = e { Some(launch.attempt) } else { None })
    }

    fn followed(&self) -> Vec<String> {
        self.found(|e| if let Effect::Resume(follow) = e { Some(follow.uri.clone()) } else { None })
    }

    fn submit(&mut self, tag: &str) -> StatementId {
        let context = Context { user: "u".into(), tags: vec![tag.into()], ..Context::default() };
        let submission = Submission { public_id: "q".into(), text: "SELECT 1".into(), context };
        let id = self.core.submit(self.now, submission);
        self.collect();
        id
    }

    fn arrive(&mut self, id: AttemptId, page: u64, rows: Option<&str>, last: bool) {
        let raw = |text: &str| Rc::<RawValue>::from(RawValue::from_string(text.to_owned()).unwrap());
        let part = Part { bytes: rows.map_or(0, str::len), data: rows.map(raw), ..Part::default() };
        let next = (!last).then(|| format!("http://e/v1/statement/executing/s/x/{}", page + 1));
        let stats = Stats { state: "RUNNING".into(), ..Stats::default() };
        self.core.page_received(
            self.now,
            id,
            EnginePage { part, stats, last, next_uri: next, ..EnginePage::default() },
        );
        self.collect();
    }

    fn page(&mut self, id: StatementId, token: u64, after: Option<u64>) -> Option<Rc<Page>> {
        let turn = self.core.page_after(self.now, id, token, after, true);
        self.collect();
        match turn {
            Turn::Page(page) => Some(page),
            _ => None,
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
    }

    /// What a guardian of a statement knows of it after an attempt was out.
    fn recorded(&self, id: StatementId) -> custody::Record {
        let taken = self.core.statement_record(id).expect("it is protected");
        let (attempts, out, passed) = self.core.progress(id).expect("it is protected");
        let key = StatementKey { accepted_by: Incarnation { name: "g".into(), number: 1 }, number: id.0 };
        let (body, repeat, left) = (taken.body, taken.repeat, taken.remaining);
        custody::Record {
            key,
            version: 2,
            body,
            repeat,
            remaining_wait: left,
            attempts,
            in_flight: out,
            pages_delivered: passed,
            ending: None,
        }
    }
}

/// The statement of one gateway in another one.
fn moved(record: &custody::Record) -> (Bed, StatementId) {
    let mut bed = Bed::new();
    let id = bed.core.adopt(bed.now, record).expect("readable");
    bed.collect();
    (bed, id)
}

fn running(tag: &str) -> (Bed, StatementId, AttemptId) {
    let mut bed = Bed::new();
    let id = bed.submit(tag);
    bed.page(id, 0, None);
    let attempt = *bed.launched().last().expect("launched");
    (bed, id, attempt)
}

#[test]
fn an_end_that_is_decided_here_after_an_attempt_waits_for_its_record() {
    let (mut bed, id, _) = running("notice");
    bed.core.cancel(bed.now, id);
    bed.collect();
    let decides = |e: &Effect| matches!(e, Effect::RecordEnding(..)).then_some(());
    assert_eq!(bed.found(decides).len(), 1);
    assert!(!bed.core.has_ended(id), "it is told before anybody else knows of it");
    // What comes of the attempt meanwhile takes nothing back.
    bed.arrive(AttemptId(id, 0), 0, Some("[[1]]"), true);
    assert!(!bed.core.has_ended(id));
    bed.core.ending_recorded(bed.now, id);
    assert!(matches!(bed.page(id, 0, None).unwrap().end, Some(Ending::Cancelled(_))));
}

#[test]
fn what_was_never_sent_and_what_the_engine_decided_is_told_at_once() {
    let mut bed = Bed::new();
    let id = bed.submit("notice");
    bed.core.cancel(bed.now, id);
    assert!(bed.core.has_ended(id));
    let (mut bed, id, attempt) = running("notice");
    bed.arrive(attempt, 0, None, true);
    assert!(bed.core.has_ended(id));
}

#[test]
fn the_taker_asks_the_engine_for_the_page_that_the_client_has_not_got_and_posts_nothing() {
    let (mut bed, id, attempt) = running("lookup");
    bed.arrive(attempt, 0, None, false);
    bed.arrive(attempt, 1, Some("[[1]]"), false);
    let first = bed.page(id, 0, None).unwrap();
    assert_eq!(first.after, Some(2));
    // The guardian's record is older than what the client has got.
    let mut record = bed.recorded(id);
    record.in_flight.as_mut().unwrap().next_uri = Some("http://e/v1/statement/executing/s/x/1".into());
    let (mut taker, there) = moved(&record);
    assert!(taker.followed().is_empty(), "only the client knows which rows it has");
    taker.page(there, 1, first.after);
    assert_eq!(taker.followed(), ["http://e/v1/statement/executing/s/x/2"]);
    assert!(taker.launched().is_empty());
    taker.arrive(AttemptId(there, 0), 2, Some("[[2]]"), true);
    let next = taker.page(there, 1, first.after).unwrap();
    assert_eq!(
        (next.token, next.data.as_ref().unwrap().get(), &next.end),
        (1, "[[2]]", &Some(Ending::Served))
    );
}

#[test]
fn an_engine_is_not_asked_on_before_its_rows_have_come() {
    let (mut bed, id, attempt) = running("lookup");
    let pulls = |bed: &Bed| bed.found(|e| matches!(e, Effect::FetchPage(_)).then_some(())).len();
    bed.arrive(attempt, 0, Some("[[1]]"), false);
    bed.page(id, 0, None);
    assert_eq!(pulls(&bed), 0, "the engine would let go of rows that may be lost on their way");
    bed.page(id, 1, Some(1));
    assert_eq!(pulls(&bed), 1);
}

#[test]
fn what_may_have_run_and_cannot_be_found_fails_if_it_is_unsafe_and_begins_anew_if_it_is_harmless() {
    let out = InFlightAttempt {
        number: 0,
        engine: "e0".into(),
        next_uri: None,
        next_page: 0,
        elapsed: S,
        timeout: 5 * S,
    };
    for (tag, fails) in [("notice", true), ("lookup", false)] {
        let (bed, id, _) = running(tag);
        let record = custody::Record { in_flight: Some(out.clone()), ..bed.recorded(id) };
        let (mut taker, there) = moved(&record);
        if fails {
            assert!(taker.launched().is_empty(), "it is sent a second time");
            assert_eq!(taker.found(|e| matches!(e, Effect::RecordEnding(..)).then_some(())).len(), 1);
            taker.core.ending_recorded(taker.now, there);
            assert!(matches!(taker.page(there, 0, None).unwrap().end, Some(Ending::Failed(_))));
        } else {
            assert!(taker.launched().is_empty(), "its client may have its end already");
            taker.page(there, 0, None);
            assert_eq!(taker.launched(), [AttemptId(there, 1)], "the attempts of all gateways count");
        }
    }
}

#[test]
fn rows_that_were_passed_on_are_never_followed_by_those_of_another_attempt() {
    let (mut bed, id, attempt) = running("lookup");
    bed.arrive(attempt, 0, Some("[[1]]"), false);
    let first = bed.page(id, 0, None).unwrap();
    let mut record = bed.recorded(id);
    record.in_flight.as_mut().unwrap().next_uri = None;
    let (mut taker, there) = moved(&record);
    taker.page(there, 1, first.after);
    taker.core.ending_recorded(taker.now, there);
    assert!(matches!(taker.page(there, 1, first.after).unwrap().end, Some(Ending::Failed(_))));
}

#[test]
fn what_goes_to_another_gateway_is_let_go_of_without_a_word_to_its_engine() {
    let (mut bed, id, attempt) = running("lookup");
    bed.arrive(attempt, 0, None, false);
    bed.core.detach(bed.now, id);
    bed.collect();
    assert_eq!(bed.found(|e| if let Effect::Detach(id) = e { Some(*id) } else { None }), [attempt]);
    assert!(bed.found(|e| matches!(e, Effect::Cancel(_)).then_some(())).is_empty());
    assert_eq!((bed.core.open(), bed.core.held()), (0, 0));
    bed.arrive(attempt, 1, Some("[[1]]"), true);
    bed.pass(20 * S);
    assert!(bed.found(|e| matches!(e, Effect::Ended { .. }).then_some(())).is_empty());
}

#[test]
fn a_recorded_end_is_the_end_wherever_it_is_asked_for() {
    let (bed, id, _) = running("lookup");
    let ending = Some(custody::Ending::Refused("for the test".into()));
    let (mut taker, there) = moved(&custody::Record { ending, ..bed.recorded(id) });
    let page = taker.page(there, 0, None).unwrap();
    assert!(matches!(&page.end, Some(Ending::Refused(e)) if e.message.contains("for the test")));
    assert!(taker.launched().is_empty());
}

/// A module that keeps what it is told, and decides nothing.
struct Ear(Rc<RefCell<Vec<Event>>>);

impl Decide for Ear {
    fn handle(&mut self, _: Micros, event: Event, _: &mut Vec<Action>) {
        self.0.borrow_mut().push(event);
    }
}

#[test]
fn what_was_never_sent_is_adopted_too_so_that_its_tenant_is_not_charged_again() {
    let (bed, id, _) = running("lookup");
    let record = custody::Record { attempts: 0, in_flight: None, ..bed.recorded(id) };
    let heard = Rc::<RefCell<Vec<Event>>>::default();
    let config = config::parse(SETUP, Path::new(".")).expect("good");
    let mut core = Core::with(&config, "other", Box::new(Ear(heard.clone())));
    core.protect_classes(vec![true, true]);
    let mut taker = Bed { core, now: 1_001 * S, effects: Vec::new() };
    let there = taker.core.adopt(taker.now, &record).expect("readable");
    taker.page(there, 0, None);
    let heard = heard.borrow();
    assert!(
        heard.iter().any(|e| matches!(e, Event::Adopted { attempts: 0, in_flight: None, .. })),
        "{heard:?}"
    );
    assert!(!heard.iter().any(|e| matches!(e, Event::Request(_))));
}
