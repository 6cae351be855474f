//! Sequences of events at the core under a virtual clock: single sequences, and random ones with random
//! settings that are checked against the rules. The decision module is the real one.

mod bed;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use violetward::{
    Action, Decide, EngineId, Event, Gateway, KeyScope, Load, Micros, OrderKey, Outcome, RequestId,
};
use violetward_platform::call::{self, Call};
use violetward_platform::config::{self, Config};
use violetward_platform::core::{
    Admission, AttemptId, ClientId, Completion, Core, CoreConfig, Effect, Launch, Reply,
};
use violetward_platform::list::{Known, List};
use violetward_platform::recent_ids::REMEMBERED_FOR_US;

const START_US: Micros = 1_700_000_000_000_000;
const ANSWER_MARGIN_US: Micros = 15_000;
const OPEN_REQUESTS_CAP: usize = 60;
/// The tick of the timer wheel, by which a timer may be late.
const TICK_US: Micros = 1_000;

/// The configuration of the test bed with two kinds and two zones, after a change of its settings.
fn configuration(change: impl FnOnce(&mut Value)) -> Config {
    let mut document: Value = serde_json::from_str(&bed::config("127.0.0.1:1", &[])).expect("valid JSON");
    let settings = &mut document["settings"];
    settings["MachineTypes"] = json!(["small", "large"]);
    settings["FamilyInfo"]["SizeCores"] = json!([8, 16]);
    settings["FamilyInfo"]["MemoryByKindMb"] = json!([16384.0, 32768.0]);
    settings["Zones"] = json!(["east", "west"]);
    change(settings);
    config::parse(&document.to_string()).expect("valid settings")
}

fn core_config(config: &Config) -> CoreConfig {
    CoreConfig {
        attempts_cap: config.settings.attempts_cap,
        open_cap: OPEN_REQUESTS_CAP,
        body_bytes_cap: 1 << 20,
        recent_ids_max: 1 << 10,
        answer_margin: ANSWER_MARGIN_US,
        client_delay: 310_000,
    }
}

/// An engine as it is listed.
#[derive(Clone)]
struct ListedEngine {
    name: String,
    kind: usize,
    zone: usize,
    cell: u64,
    draining: bool,
    started_ms: u64,
}

impl ListedEngine {
    fn new(number: u64, kind: usize, zone: usize, started_ms: u64) -> ListedEngine {
        ListedEngine {
            name: format!("e-{number:04x}"),
            kind,
            zone,
            cell: zone as u64,
            draining: false,
            started_ms,
        }
    }

    fn id(&self) -> EngineId {
        violetward_settings::engine_id(&self.name)
    }
}

fn list(number: u64, engines: &[ListedEngine], config: &Config) -> List {
    let server = |engine: &ListedEngine| {
        json!({
            "id": engine.name,
            "addr": "10.0.0.1:4100",
            "zone": config.names.zones[engine.zone],
            "kind": config.names.kinds[engine.kind],
            "cell": engine.cell,
            "state": if engine.draining { "draining" } else { "ready" },
            "weight": 1,
            "started_ms": engine.started_ms,
        })
    };
    let servers: Vec<Value> = engines.iter().map(server).collect();
    let roster = json!({"version": 1, "full": true, "servers": servers});
    let known = json!({"no": number, "items": [{"no": number, "roster": roster}]});
    let known: Known = serde_json::from_value(known).expect("a list");
    known.list(&config.names).expect("a valid list")
}

/// A request parsed from its fields.
fn parse_call(config: &Config, class: &str, id: u64, wait_ms: u64, cost_ms: f64, key: &str) -> Call {
    let (id, wait, cost) = (format!("{id:016x}"), wait_ms.to_string(), cost_ms.to_string());
    let once = format!("{id}{id}");
    let fields = [
        ("class", class),
        ("id", &*id),
        ("wait", &*wait),
        ("cost", &*cost),
        ("once", &*once),
        ("key", key),
        ("heap_mb", "64"),
    ];
    call::parse(&fields, b"select 1", &config.names, &config.settings.classes).expect("a valid request")
}

/// The attempts that the module has dispatched and the outcomes that were reported to it.
#[derive(Default)]
struct AttemptLog {
    /// The number of the next attempt of each request.
    next_attempt: HashMap<RequestId, u32>,
    running: BTreeSet<AttemptId>,
    outcomes: Vec<(AttemptId, Outcome)>,
}

/// The real module with a check that exactly one outcome is reported for each attempt that it dispatches.
struct CheckedModule(Gateway, Rc<RefCell<AttemptLog>>);

impl Decide for CheckedModule {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let mut log = self.1.borrow_mut();
        match &event {
            Event::Request(request) => drop(log.next_attempt.insert(request.id, 0)),
            Event::Answer(answer) => {
                let attempt = AttemptId(answer.id, answer.attempt);
                assert!(
                    log.running.remove(&attempt),
                    "the end of an attempt that is not running: {answer:?}"
                );
                log.outcomes.push((attempt, answer.outcome));
            }
            _ => {}
        }
        let earlier_actions = out.len();
        self.0.handle(now, event, out);
        for action in &out[earlier_actions..] {
            if let Action::Dispatch { id, .. } = action {
                let next_attempt = log.next_attempt.entry(*id).or_default();
                let attempt = AttemptId(*id, *next_attempt);
                *next_attempt += 1;
                assert!(log.running.insert(attempt), "dispatched while it is running: {attempt:?}");
            }
        }
    }
}

/// A core with some engines; the test calls it directly.
struct CoreDriver {
    config: Config,
    core: Core,
    attempt_log: Rc<RefCell<AttemptLog>>,
    now: Micros,
}

impl CoreDriver {
    fn new(engine_count: u64, change: impl FnOnce(&mut Value)) -> CoreDriver {
        let config = configuration(change);
        let attempt_log = Rc::<RefCell<AttemptLog>>::default();
        let module = CheckedModule(Gateway::new(config.settings.clone(), 1), Rc::clone(&attempt_log));
        let mut core = Core::new(Box::new(module), core_config(&config), START_US);
        let engines: Vec<ListedEngine> = (0..engine_count).map(|n| ListedEngine::new(n, 0, 0, 0)).collect();
        core.update_engines(START_US, &list(1, &engines, &config), true);
        CoreDriver { config, core, attempt_log, now: START_US }
    }

    fn submit(&mut self, client: u64, seqid: i32, id: u64, cost_ms: f64) -> Admission {
        let call = parse_call(&self.config, "look", id, 2_000, cost_ms, "k");
        self.core.submit(self.now, ClientId(client), seqid, call)
    }

    /// Takes the pending effects.
    fn take_effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.core.next_effect()).collect()
    }

    /// Takes the pending effects and returns the launches among them.
    fn take_launches(&mut self) -> Vec<Launch> {
        let launch = |effect| match effect {
            Effect::Launch(launch) => Some(launch),
            _ => None,
        };
        self.take_effects().into_iter().filter_map(launch).collect()
    }

    /// Submits one request and returns its attempt, which waits for a connection.
    fn launch_one(&mut self) -> Launch {
        assert_eq!(self.submit(1, 1, 1, 20.0), Admission::Accepted);
        self.take_launches().pop().expect("an attempt")
    }
}

fn set_may_cancel(allowed: bool) -> impl Fn(&mut Value) {
    move |settings| settings["Limits"]["MayCancel"] = json!(allowed)
}

#[test]
fn an_attempt_waiting_for_its_connection_is_cancelled_when_its_client_leaves() {
    let leave: [fn(&mut Core, Micros); 2] = [
        |core, now| core.cancel_request(now, ClientId(1), 1),
        |core, now| core.client_disconnected(now, ClientId(1)),
    ];
    for (may_cancel, leave) in [(true, leave[0]), (true, leave[1]), (false, leave[0]), (false, leave[1])] {
        let mut driver = CoreDriver::new(2, set_may_cancel(may_cancel));
        let launch = driver.launch_one();
        leave(&mut driver.core, driver.now + 10_000);
        assert_eq!(driver.take_effects(), [Effect::CancelAttempt(launch.engine, launch.attempt)]);
        assert_eq!(driver.attempt_log.borrow().outcomes, [(launch.attempt, Outcome::Moot)]);
        assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
        // A later report of the connection about this attempt is ignored.
        let completion = Completion::new(Outcome::ConnectFailed);
        driver.core.attempt_ended(driver.now + 20_000, launch.attempt, completion);
        assert_eq!(driver.attempt_log.borrow().outcomes.len(), 1);
    }
}

#[test]
fn a_written_attempt_that_may_not_be_cancelled_continues_and_ends_once() {
    for may_cancel in [true, false] {
        let mut driver = CoreDriver::new(2, set_may_cancel(may_cancel));
        let launch = driver.launch_one();
        driver.core.attempt_written(driver.now, launch.attempt);
        driver.core.cancel_request(driver.now + 10_000, ClientId(1), 1);
        let cancelled = Effect::CancelAttempt(launch.engine, launch.attempt);
        assert_eq!(driver.take_effects(), if may_cancel { vec![cancelled] } else { vec![] });
        driver.core.attempt_ended(driver.now + 20_000, launch.attempt, Completion::new(Outcome::Ok));
        assert_eq!(driver.take_effects(), [], "no request is open");
        let outcome = if may_cancel { Outcome::Cancelled } else { Outcome::Ok };
        assert_eq!(driver.attempt_log.borrow().outcomes, [(launch.attempt, outcome)]);
        assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
    }
}

#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_further_attempt() {
    let mut driver = CoreDriver::new(2, |s| s["Contract"]["TurnGapUs"] = json!(200_000));
    // Two requests with one order key: the second is launched only after the first has ended.
    for (client, id) in [(1, 1), (2, 2)] {
        let call = parse_call(&driver.config, "load", id, 5_000, 20.0, "k");
        assert_eq!(driver.core.submit(driver.now, ClientId(client), 1, call), Admission::Accepted);
    }
    let first = driver.take_launches().pop().expect("an attempt");
    driver.core.attempt_written(driver.now, first.attempt);
    driver.core.client_disconnected(driver.now + 1_000, ClientId(2));
    driver.core.attempt_ended(driver.now + 2_000, first.attempt, Completion::new(Outcome::Full));
    // The first request is sent to another engine or waits; its client leaves before the next attempt is
    // written.
    driver.core.client_disconnected(driver.now + 3_000, ClientId(1));
    driver.take_effects();
    for after in (10_000..6_000_000).step_by(20_000) {
        driver.core.wake(driver.now + after);
        assert_eq!(driver.take_launches(), []);
    }
    assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
}

#[test]
fn capacity_freed_by_a_leaving_client_is_not_given_to_its_own_requests() {
    for may_cancel in [true, false] {
        let mut driver = CoreDriver::new(1, set_may_cancel(may_cancel));
        for id in 0..20 {
            assert_eq!(driver.submit(1, id, id as u64 + 1, 300.0), Admission::Accepted);
        }
        let launches = driver.take_launches();
        for launch in &launches {
            driver.core.attempt_written(driver.now, launch.attempt);
        }
        assert!(driver.core.open_requests() > launches.len(), "some requests wait for capacity");
        // If attempts may be cancelled, each cancelled attempt frees capacity for a waiting request.
        driver.core.client_disconnected(driver.now + 1_000, ClientId(1));
        assert_eq!(driver.take_launches(), []);
        assert_eq!(driver.core.open_requests(), 0);
        for launch in launches {
            driver.core.attempt_ended(driver.now + 2_000, launch.attempt, Completion::new(Outcome::Ok));
        }
        assert_eq!(driver.take_effects(), []);
        assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
    }
}

#[test]
fn capacity_of_unwritten_attempts_of_a_leaving_client_is_not_given_to_its_own_requests() {
    let mut driver = CoreDriver::new(1, set_may_cancel(true));
    for id in 0..20 {
        assert_eq!(driver.submit(1, id, id as u64 + 1, 300.0), Admission::Accepted);
    }
    let launched = driver.take_launches().len();
    assert!(driver.core.open_requests() > launched, "some requests wait for capacity");
    driver.core.client_disconnected(driver.now + 1_000, ClientId(1));
    assert_eq!(driver.take_launches(), []);
    assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
    assert_eq!(driver.core.counts.lapsed + driver.core.counts.refused, 20);
    // No request was dispatched again while its client was leaving: that would use up the retry budget.
    assert!(driver.attempt_log.borrow().next_attempt.values().all(|&attempts| attempts <= 1));
}

/// The only engine has just started and answers at once, so that only the limit for cold engines holds
/// requests back.
#[test]
fn a_cold_engine_gets_no_more_than_its_budget_in_any_window() {
    const WORK_MS: f64 = 100.0;
    let mut driver = CoreDriver::new(1, |s| s["Contract"]["FallMultiple"] = json!(0.5));
    let cold = ListedEngine::new(7, 0, 0, START_US / 1_000);
    driver.core.update_engines(START_US, &list(2, &[cold], &driver.config), false);
    let settings = driver.config.settings.clone();
    let capacity = settings.kinds[0].cores * settings.cold_capacity * settings.overload_span as f64;
    let budget = settings.overload_multiple * capacity / (WORK_MS * 1e3);
    let most = budget + 2.0 * budget.sqrt() + 2.0;
    let mut sent: Vec<Micros> = Vec::new();
    for id in 1..=600 {
        driver.now += 5_000;
        driver.core.wake(driver.now);
        assert_eq!(driver.submit(id, 1, id, WORK_MS), Admission::Accepted);
        for launch in driver.take_launches() {
            sent.push(driver.now);
            driver.core.attempt_written(driver.now, launch.attempt);
            let work = Some((WORK_MS * 1e3) as Micros);
            driver.core.attempt_ended(
                driver.now,
                launch.attempt,
                Completion { work, ..Completion::new(Outcome::Ok) },
            );
        }
        let within = sent.iter().filter(|&&at| at + settings.overload_span > driver.now).count();
        assert!(within as f64 <= most, "{within} requests in a window, {most:.1} allowed");
    }
    assert!(sent.len() > 10, "{} requests in all, too few to warm the engine up", sent.len());
}

#[test]
fn a_second_answer_to_an_attempt_is_ignored() {
    let mut driver = CoreDriver::new(2, set_may_cancel(true));
    let launch = driver.launch_one();
    driver.core.attempt_written(driver.now, launch.attempt);
    let served = Completion { result: b"a\tb\tc\n".to_vec(), ..Completion::new(Outcome::Ok) };
    driver.core.attempt_ended(driver.now + 1_000, launch.attempt, served.clone());
    let answer = Effect::Answer(ClientId(1), 1, Reply::Served(served.result.clone()));
    assert_eq!(driver.take_effects(), [answer]);
    // The second answer arrives when the sequence id is in use for another request.
    assert_eq!(driver.submit(1, 1, 2, 20.0), Admission::Accepted);
    driver.take_launches();
    driver.core.attempt_ended(driver.now + 2_000, launch.attempt, served);
    assert_eq!(driver.take_effects(), []);
    assert_eq!(driver.attempt_log.borrow().outcomes.len(), 1);
}

/// Guards against a request that runs again for the next client that uses its id, and against an answer to the
/// earlier one that is taken for one to the later one: engines know requests by their ids alone.
#[test]
fn an_id_that_may_have_run_is_not_accepted_again() {
    let mut driver = CoreDriver::new(2, set_may_cancel(false));
    let launch = driver.launch_one();
    assert_eq!(driver.submit(1, 2, 1, 20.0), Admission::OwnIdReused);
    assert_eq!(driver.submit(2, 1, 1, 20.0), Admission::IdInUse);
    driver.core.attempt_written(driver.now, launch.attempt);
    driver.core.cancel_request(driver.now, ClientId(1), 1);
    assert_eq!(driver.submit(1, 2, 1, 20.0), Admission::IdInUse);
    driver.core.attempt_ended(driver.now, launch.attempt, Completion::new(Outcome::Error));
    assert_eq!(driver.submit(2, 1, 1, 20.0), Admission::IdInUse);
    driver.now += REMEMBERED_FOR_US;
    assert_eq!(driver.submit(2, 1, 1, 20.0), Admission::IdInUse);
    driver.now += 1;
    assert_eq!(driver.submit(2, 1, 1, 20.0), Admission::Accepted);
}

/// Guards against refusing an id that certainly has not run: its client may try again with it elsewhere, and here.
#[test]
fn an_id_whose_attempts_have_not_run_is_in_use_until_they_have_ended() {
    let mut driver = CoreDriver::new(2, set_may_cancel(false));
    let launch = driver.launch_one();
    driver.core.attempt_written(driver.now, launch.attempt);
    driver.core.attempt_ended(driver.now, launch.attempt, Completion::new(Outcome::Full));
    let second = driver.take_launches().remove(0);
    driver.core.cancel_request(driver.now, ClientId(1), 1);
    driver.core.attempt_ended(driver.now, second.attempt, Completion::new(Outcome::Moot));
    assert_eq!(driver.submit(2, 1, 1, 20.0), Admission::Accepted);
    assert_eq!(driver.take_launches()[0].attempt, launch.attempt);
}

#[test]
fn beyond_the_cap_of_open_requests_none_is_accepted_until_one_ends() {
    let mut driver = CoreDriver::new(1, set_may_cancel(true));
    let cap = OPEN_REQUESTS_CAP as u64;
    let accepted = (0..2 * cap).filter(|&n| driver.submit(n, 1, n + 1, 0.1) == Admission::Accepted).count();
    assert_eq!((accepted, driver.core.open_requests()), (OPEN_REQUESTS_CAP, OPEN_REQUESTS_CAP));
    assert_eq!(driver.core.counts.full, cap);
    driver.core.cancel_request(driver.now, ClientId(0), 1);
    assert_eq!(driver.submit(500, 1, 500, 0.1), Admission::Accepted);
}

/// A faulty module that sends each request to two engines at once, which the limits of the settings forbid.
struct DuplicatingModule;

impl Decide for DuplicatingModule {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            for n in 0..2 {
                let engine = ListedEngine::new(n, 0, 0, 0).id();
                out.push(Action::Dispatch { id: request.id, engine, until: 0 });
            }
        }
    }
}

#[test]
fn a_duplicate_attempt_waiting_for_its_connection_is_cancelled_when_the_first_one_succeeds() {
    let mut driver = CoreDriver::new(2, set_may_cancel(true));
    driver.core = Core::new(Box::new(DuplicatingModule), core_config(&driver.config), START_US);
    let engines: Vec<ListedEngine> = (0..2).map(|n| ListedEngine::new(n, 0, 0, 0)).collect();
    driver.core.update_engines(START_US, &list(1, &engines, &driver.config), true);
    assert_eq!(driver.submit(1, 1, 1, 20.0), Admission::Accepted);
    let launches = driver.take_launches();
    driver.core.attempt_written(driver.now, launches[0].attempt);
    driver.core.attempt_ended(driver.now, launches[0].attempt, Completion::new(Outcome::Ok));
    let effects = driver.take_effects();
    let cancelled = Effect::CancelAttempt(launches[1].engine, launches[1].attempt);
    assert!(effects.contains(&cancelled), "{effects:?}");
    assert!(effects.contains(&Effect::Answer(ClientId(1), 1, Reply::Served(Vec::new()))), "{effects:?}");
    assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
}

#[test]
fn a_request_that_the_module_never_ends_is_answered_and_its_unwritten_attempts_are_cancelled() {
    let mut driver = CoreDriver::new(2, set_may_cancel(true));
    driver.core = Core::new(Box::new(DuplicatingModule), core_config(&driver.config), START_US);
    let engines: Vec<ListedEngine> = (0..2).map(|n| ListedEngine::new(n, 0, 0, 0)).collect();
    driver.core.update_engines(START_US, &list(1, &engines, &driver.config), true);
    assert_eq!(driver.submit(1, 1, 1, 20.0), Admission::Accepted);
    driver.take_launches();
    let mut answers = 0;
    while let Some(at) = driver.core.next_wake() {
        driver.core.wake(at);
        for effect in driver.take_effects() {
            if let Effect::Answer(_, _, reply) = effect {
                assert!(at <= START_US + 2_000_000 && reply == Reply::Failed);
                answers += 1;
            }
        }
    }
    assert_eq!((answers, driver.core.counts.overdue), (1, 1));
    assert_eq!(driver.core.entry_counts()[..3], [0, 0, 0]);
}

/// Makes the class `look` deduplicated by key, with a deduplication window of 0.6 s.
fn set_short_dedup_window(settings: &mut Value) {
    settings["Classes"][0]["Effect"] = json!("by_key");
    settings["Classes"][0]["WindowUs"] = json!(600_000);
}

/// The first attempt may have run. The second one waits for its connection until the deduplication window is
/// over, so that the engine would no longer recognise it as a repeat.
#[test]
fn a_repeat_is_not_written_after_its_deduplication_window() {
    let mut driver = CoreDriver::new(2, set_short_dedup_window);
    let first = driver.launch_one();
    driver.core.attempt_written(driver.now, first.attempt);
    driver.core.attempt_ended(driver.now + 400_000, first.attempt, Completion::new(Outcome::Broken));
    let second = driver.take_launches().pop().expect("a repeat");
    driver.core.wake(driver.now + 600_000);
    let effects = driver.take_effects();
    assert!(effects.contains(&Effect::CancelAttempt(second.engine, second.attempt)), "{effects:?}");
    assert_eq!(driver.attempt_log.borrow().outcomes.last(), Some(&(second.attempt, Outcome::Moot)));
}

#[test]
fn a_repeat_written_within_its_deduplication_window_may_end_after_it() {
    let mut driver = CoreDriver::new(2, set_short_dedup_window);
    let first = driver.launch_one();
    driver.core.attempt_written(driver.now, first.attempt);
    driver.core.attempt_ended(driver.now + 400_000, first.attempt, Completion::new(Outcome::Broken));
    let second = driver.take_launches().pop().expect("a repeat");
    driver.core.attempt_written(driver.now + 410_000, second.attempt);
    driver.core.wake(driver.now + 700_000);
    assert_eq!(driver.take_effects(), []);
    driver.core.attempt_ended(driver.now + 710_000, second.attempt, Completion::new(Outcome::Ok));
    assert_eq!(driver.take_effects(), [Effect::Answer(ClientId(1), 1, Reply::Served(Vec::new()))]);
}

#[test]
fn an_attempt_that_did_not_run_does_not_start_the_deduplication_window() {
    let mut driver = CoreDriver::new(2, set_short_dedup_window);
    let first = driver.launch_one();
    driver.core.attempt_written(driver.now, first.attempt);
    driver.core.attempt_ended(driver.now + 400_000, first.attempt, Completion::new(Outcome::Full));
    let second = driver.take_launches().pop().expect("another attempt");
    driver.core.wake(driver.now + 650_000);
    assert_eq!(driver.take_effects(), []);
    driver.core.attempt_written(driver.now + 660_000, second.attempt);
}

/// What the checks know of an attempt.
struct AttemptRecord {
    engine: EngineId,
    zone: usize,
    cell: u64,
    written_at: Option<Micros>,
    running: bool,
    /// Its outcome proves that it did not run.
    never_ran: bool,
}

impl AttemptRecord {
    fn may_have_run(&self) -> bool {
        self.written_at.is_some() && !self.never_ran
    }
}

/// What the checks know of a request.
struct RequestRecord {
    number: u64,
    client: ClientId,
    seqid: i32,
    class: usize,
    key: Option<OrderKey>,
    /// It may have run, as far as was known when it was answered or left by its client.
    ended_uncertain: bool,
    /// It has neither been answered nor been left by its client.
    open: bool,
    client_left: bool,
    due: Micros,
    attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    fn is_running(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.running)
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::may_have_run)
    }
}

/// A random sequence of events at a core, checked against the rules.
struct Simulation {
    seed: u64,
    rng: StdRng,
    config: Config,
    core: Core,
    attempt_log: Rc<RefCell<AttemptLog>>,
    now: Micros,
    engines: Vec<ListedEngine>,
    list_number: u64,
    next_request: u64,
    requests: HashMap<RequestId, RequestRecord>,
    /// Attempts that wait for a connection.
    waiting: Vec<AttemptId>,
    /// Attempts that have been written to a connection.
    written: Vec<AttemptId>,
    /// The end of the cooldown of each order key.
    cooldowns: HashMap<OrderKey, Micros>,
    /// When requests were accepted.
    accepted_at: Vec<Micros>,
    /// When attempts after the first one of their request were launched.
    retried_at: Vec<Micros>,
    /// Attempts launched at cold engines, with their time.
    cold_launches: Vec<(EngineId, Micros)>,
    launched: usize,
    /// Requests served, refused and failed.
    answers: [u32; 3],
}

fn set_random_settings(rng: &mut StdRng, settings: &mut Value) {
    let effects =
        [("repeatable", "all"), ("once", "all"), ("by_key", "all"), ("by_key", "zone"), ("by_key", "cell")];
    for class in 0..3 {
        let (effect, group) = effects[rng.random_range(0..effects.len())];
        let class = &mut settings["Classes"][class];
        class["Effect"] = json!(effect);
        class["Group"] = json!(group);
        class["WindowUs"] = json!(rng.random_range(300_000..3_000_000));
        class["AllowedOn"] = if rng.random_bool(0.2) { json!([1]) } else { Value::Null };
        class["ZonesAllowed"] = if rng.random_bool(0.2) { json!([0]) } else { Value::Null };
    }
    settings["Limits"]["AttemptsCap"] = json!(rng.random_range(1..6));
    for allowed in ["MayCancel", "Probes", "MayDuplicate", "RetryAfter"] {
        settings["Limits"][allowed] = json!(rng.random_bool(0.5));
    }
    settings["Contract"]["TurnGapUs"] = json!([0, 100_000][rng.random_range(0..2)]);
    settings["Contract"]["FallMultiple"] = json!(rng.random_range(1.5..4.0));
    settings["Contract"]["LookBackUs"] = json!(rng.random_range(500_000..5_000_000));
    settings["Contract"]["ExtraFree"] = json!(rng.random_range(0..6));
    settings["Contract"]["ExtraPerRequest"] =
        if rng.random_bool(0.5) { json!(rng.random_range(0.0..0.4)) } else { Value::Null };
    if settings["Contract"]["ExtraPerRequest"].is_null() && rng.random_bool(0.5) {
        settings["Contract"]["ExtraFree"] = Value::Null;
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = configuration(|settings| set_random_settings(&mut rng, settings));
        let attempt_log = Rc::<RefCell<AttemptLog>>::default();
        let module = CheckedModule(Gateway::new(config.settings.clone(), seed), Rc::clone(&attempt_log));
        let mut core = Core::new(Box::new(module), core_config(&config), START_US);
        let engines: Vec<ListedEngine> =
            (0..6).map(|n| ListedEngine::new(n, n as usize % 2, n as usize / 2 % 2, 0)).collect();
        core.update_engines(START_US, &list(1, &engines, &config), true);
        Simulation {
            seed,
            rng,
            config,
            core,
            attempt_log,
            now: START_US,
            engines,
            list_number: 1,
            next_request: 100,
            requests: HashMap::new(),
            waiting: Vec::new(),
            written: Vec::new(),
            cooldowns: HashMap::new(),
            accepted_at: Vec::new(),
            retried_at: Vec::new(),
            cold_launches: Vec::new(),
            launched: 0,
            answers: [0; 3],
        }
    }

    fn request(&mut self, id: RequestId) -> &mut RequestRecord {
        self.requests.get_mut(&id).expect("a request that was accepted")
    }

    fn is_running(&mut self, attempt: AttemptId) -> bool {
        self.request(attempt.0).attempts[attempt.1 as usize].running
    }

    /// Records the end of a running attempt. After an end that leaves it `unsure` whether the attempt ran,
    /// its order key has a cooldown.
    fn record_end(&mut self, attempt: AttemptId, never_ran: bool, unsure: bool) {
        self.waiting.retain(|&a| a != attempt);
        self.written.retain(|&a| a != attempt);
        let (now, cooldown) = (self.now, self.config.settings.key_cooldown);
        let request = self.request(attempt.0);
        let record = &mut request.attempts[attempt.1 as usize];
        record.running = false;
        record.never_ran |= never_ran;
        if let (true, Some(key)) = (unsure && record.written_at.is_some(), request.key.clone()) {
            self.cooldowns.insert(key, now + cooldown);
        }
    }

    /// Performs the core's effects and checks them.
    fn apply_effects(&mut self) {
        while let Some(effect) = self.core.next_effect() {
            let seed = self.seed;
            match effect {
                Effect::Launch(launch) => self.check_launch(&launch),
                Effect::CancelAttempt(_, attempt) => {
                    assert!(self.is_running(attempt), "seed {seed}: {attempt:?} is not running");
                    self.record_end(attempt, false, true);
                }
                Effect::Renice(_, attempt, _) => {
                    assert!(self.is_running(attempt), "seed {seed}: {attempt:?} is not running");
                }
                Effect::Answer(client, seqid, reply) => self.check_answer(client, seqid, &reply),
                Effect::Probe(engine) => {
                    assert!(self.config.settings.may_probe, "seed {seed}: a probe that is not allowed");
                    let ok = self.rng.random_bool(0.7);
                    self.core.probe_ended(self.now, engine, ok, Load::default());
                }
                Effect::Log(_) => {}
            }
        }
        let running = self.waiting.len() + self.written.len();
        let open = self.requests.values().filter(|request| request.open).count();
        assert_eq!(self.core.entry_counts()[..3], [open, open, running], "seed {}", self.seed);
    }

    fn check_launch(&mut self, launch: &Launch) {
        let (seed, now, settings) = (self.seed, self.now, self.config.settings.clone());
        let AttemptId(id, number) = launch.attempt;
        let engine = self.engines.iter().find(|engine| engine.id() == launch.engine).cloned();
        let engine = engine.unwrap_or_else(|| panic!("seed {seed}: sent to an engine that is not listed"));
        assert!(!engine.draining, "seed {seed}: sent to a draining engine");
        let class = settings.classes[launch.class].clone();
        let allows = |allowed: &Option<Vec<usize>>, index| {
            allowed.as_ref().is_none_or(|allowed| allowed.contains(&index))
        };
        let kinds = class.kinds.as_ref().map(|kinds| kinds.iter().map(|kind| kind.0).collect());
        let zones = class.zones.as_ref().map(|zones| zones.iter().map(|zone| zone.0).collect());
        assert!(
            allows(&kinds, engine.kind) && allows(&zones, engine.zone),
            "seed {seed}: sent to a kind or zone that the class does not allow"
        );
        let cap = settings.attempts_cap;
        let request = self.request(id);
        assert!(
            request.open && !request.client_left,
            "seed {seed}: an attempt for a request that is not open"
        );
        assert!(number < cap && request.attempts.len() == number as usize, "seed {seed}: attempt {number}");
        assert!(!request.is_running(), "seed {seed}: two attempts at the same time");
        assert!(
            launch.deadline > now && launch.deadline <= request.due,
            "seed {seed}: deadline {} at {now} of a request due at {}",
            launch.deadline,
            request.due
        );
        if class.effect == violetward::Effect::Once {
            assert!(!request.may_have_run(), "seed {seed}: an unsafe request is repeated");
        }
        let (request_number, key) = (request.number, request.key.clone());
        request.attempts.push(AttemptRecord {
            engine: launch.engine,
            zone: engine.zone,
            cell: engine.cell,
            written_at: None,
            running: true,
            never_ran: false,
        });
        if let Some(key) = key {
            let earlier = self
                .requests
                .values()
                .filter(|request| request.key.as_ref() == Some(&key) && request.number < request_number);
            for request in earlier {
                assert!(!request.open && !request.is_running(), "seed {seed}: not in the order of its key");
            }
            let cooldown_end = self.cooldowns.get(&key).copied().unwrap_or(0);
            assert!(number > 0 || now >= cooldown_end, "seed {seed}: launched in its key's cooldown");
        }
        if number > 0 {
            self.retried_at.push(now);
            if let Some(budget) = &settings.budget {
                let in_window =
                    |times: &[Micros]| times.iter().filter(|&&t| t > now - budget.window).count() as f64;
                let most = budget.free + budget.per_request * in_window(&self.accepted_at);
                assert!(in_window(&self.retried_at) <= most, "seed {seed}: beyond the retry budget");
            }
        }
        let started = engine.started_ms * 1_000;
        if started > 0 && now < started + settings.cold_span {
            self.check_cold_launch(&engine);
        }
        self.launched += 1;
        if self.rng.random_bool(0.5) {
            self.write(launch.attempt);
        } else {
            self.waiting.push(launch.attempt);
        }
    }

    /// Checks that the attempts at a cold engine within the overload span stay within the number that its
    /// budget allows at the mean work per request. The work varies, hence the tolerance of twice the square
    /// root of that number plus two.
    fn check_cold_launch(&mut self, engine: &ListedEngine) {
        const MEAN_WORK_US: f64 = 100_000.0;
        let (settings, id) = (&self.config.settings, engine.id());
        self.cold_launches.push((id, self.now));
        let from = self.now - settings.overload_span;
        let launches = self.cold_launches.iter().filter(|launch| launch.0 == id && launch.1 > from);
        let launched = launches.count() as f64;
        let capacity =
            settings.kinds[engine.kind].cores * settings.cold_capacity * settings.overload_span as f64;
        let budget = settings.overload_multiple * capacity / MEAN_WORK_US;
        assert!(
            launched <= budget + 2.0 * budget.sqrt() + 2.0,
            "seed {}: {launched} attempts at a cold engine with a budget of {budget:.1}",
            self.seed
        );
    }

    /// Writes an attempt to its connection.
    fn write(&mut self, attempt: AttemptId) {
        self.waiting.retain(|&a| a != attempt);
        self.written.push(attempt);
        let (seed, now) = (self.seed, self.now);
        let classes = self.config.settings.classes.clone();
        let request = self.request(attempt.0);
        assert!(
            request.open && !request.client_left,
            "seed {seed}: an attempt is written for a request that is not open"
        );
        let first = request.attempts.iter().find(|attempt| attempt.may_have_run());
        let first = first.map(|attempt| (attempt.zone, attempt.cell, attempt.written_at));
        if let (violetward::Effect::Keyed { scope, window }, Some((zone, cell, Some(first_written_at)))) =
            (classes[request.class].effect, first)
        {
            let repeat = &request.attempts[attempt.1 as usize];
            let in_scope = match scope {
                KeyScope::All => true,
                KeyScope::Zone => zone == repeat.zone,
                KeyScope::Cell => cell == repeat.cell,
            };
            assert!(
                in_scope && now < first_written_at + window,
                "seed {seed}: a repeat that engines don't deduplicate"
            );
        }
        request.attempts[attempt.1 as usize].written_at = Some(now);
        self.core.attempt_written(now, attempt);
    }

    fn check_answer(&mut self, client: ClientId, seqid: i32, reply: &Reply) {
        let (seed, now) = (self.seed, self.now);
        let mut requests = self.requests.values_mut();
        let request =
            requests.find(|request| request.open && (request.client, request.seqid) == (client, seqid));
        let request = request.unwrap_or_else(|| panic!("seed {seed}: an answer to no open request"));
        assert!(!request.client_left, "seed {seed}: an answer to a client that has left");
        assert!(now <= request.due + TICK_US, "seed {seed}: an answer too late");
        (request.open, request.ended_uncertain) = (false, request.may_have_run());
        let effect = self.config.settings.classes[request.class].effect;
        match reply {
            Reply::Served(result) => {
                assert_eq!(
                    *result,
                    format!("{}\tb\tc\n", request.number).into_bytes(),
                    "seed {seed}: the result of another request"
                );
                self.answers[0] += 1;
            }
            Reply::Refused(retry_after) => {
                let deduplicated = matches!(effect, violetward::Effect::Keyed { scope: KeyScope::All, .. });
                let safe_to_repeat =
                    effect == violetward::Effect::Repeatable || deduplicated || !request.may_have_run();
                assert!(safe_to_repeat, "seed {seed}: refused though it is not safe to repeat");
                assert!(
                    *retry_after <= self.config.settings.max_retry_after.unwrap_or(0),
                    "seed {seed}: retry after {retry_after} µs"
                );
                self.answers[1] += 1;
            }
            Reply::Failed => {
                assert!(request.may_have_run(), "seed {seed}: failed though it never ran");
                self.answers[2] += 1;
            }
        }
    }

    /// Advances the time and wakes the core at the times that it asked for.
    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.core.next_wake().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.core.wake(self.now);
            self.apply_effects();
        }
        self.now = end;
    }

    fn submit_request(&mut self) {
        let name = ["look", "look", "look", "report", "load"][self.rng.random_range(0..5)];
        let wait_ms = self.rng.random_range(50..3_000);
        let cost_ms = self.rng.random_range(1.0..200.0);
        let key = format!("k{}", self.rng.random_range(0..4));
        // One request in twenty draws an id that may have been used before, by the same client or another
        // one.
        let new_id = self.rng.random_bool(0.95);
        let id = if new_id { self.next_request } else { self.rng.random_range(100..=self.next_request) };
        let call = parse_call(&self.config, name, id, wait_ms, cost_ms, &key);
        let client = ClientId(self.rng.random_range(0..4));
        let (number, seqid) = (self.next_request, self.next_request as i32);
        self.next_request += 1;
        let expected = match self.requests.get(&call.id) {
            Some(request) if request.open && request.client == client => Admission::OwnIdReused,
            Some(request) if request.open || request.is_running() || request.ended_uncertain => {
                Admission::IdInUse
            }
            _ if self.requests.values().filter(|request| request.open).count() >= OPEN_REQUESTS_CAP => {
                Admission::Full
            }
            _ => Admission::Accepted,
        };
        if expected == Admission::Accepted {
            let request = RequestRecord {
                number,
                client,
                seqid,
                class: call.class,
                key: call.key.clone(),
                ended_uncertain: false,
                open: true,
                client_left: false,
                due: self.now + call.wait,
                attempts: Vec::new(),
            };
            self.requests.insert(call.id, request);
            self.accepted_at.push(self.now);
        }
        assert_eq!(self.core.submit(self.now, client, seqid, call), expected, "seed {}", self.seed);
    }

    /// A waiting attempt is written or its connection fails; a written attempt ends.
    fn progress_attempt(&mut self) {
        let running: Vec<AttemptId> = self.waiting.iter().chain(&self.written).copied().collect();
        if running.is_empty() {
            return;
        }
        let attempt = running[self.rng.random_range(0..running.len())];
        if self.waiting.contains(&attempt) {
            if self.rng.random_bool(0.7) {
                return self.write(attempt);
            }
            self.record_end(attempt, true, false);
            return self.core.attempt_ended(self.now, attempt, Completion::new(Outcome::ConnectFailed));
        }
        let (outcome, never_ran) = match self.rng.random_range(0..20) {
            0 => (Outcome::Error, false),
            1 => (Outcome::Full, true),
            2 => (Outcome::Reset, false),
            3 => (Outcome::Broken, false),
            4 => (Outcome::Moot, true),
            _ => (Outcome::Ok, false),
        };
        let unsure = matches!(outcome, Outcome::Reset | Outcome::Broken);
        self.record_end(attempt, never_ran, unsure);
        let result = format!("{}\tb\tc\n", self.request(attempt.0).number).into_bytes();
        let work = (outcome == Outcome::Ok).then_some(100_000);
        let completion = Completion { work, result, ..Completion::new(outcome) };
        self.core.attempt_ended(self.now, attempt, completion.clone());
        if self.rng.random_bool(0.1) {
            // A second answer, or an answer after the connection has reported its end.
            self.apply_effects();
            if !self.waiting.contains(&attempt) && !self.written.contains(&attempt) {
                self.core.attempt_ended(self.now, attempt, completion);
            }
        }
    }

    /// The client of the oldest open request cancels it or disconnects.
    fn abandon_oldest_request(&mut self) {
        let open = self.requests.values().filter(|request| request.open);
        let oldest = open.map(|request| (request.number, request.client, request.seqid)).min();
        let Some((_, client, seqid)) = oldest else { return };
        let disconnects = self.rng.random_bool(0.3);
        for request in self.requests.values_mut().filter(|request| request.open && request.client == client) {
            if disconnects || request.seqid == seqid {
                (request.open, request.client_left) = (false, true);
                request.ended_uncertain = request.may_have_run();
            }
        }
        if disconnects {
            self.core.client_disconnected(self.now, client);
        } else {
            self.core.cancel_request(self.now, client, seqid);
        }
    }

    fn change_list(&mut self) {
        let index = self.rng.random_range(0..self.engines.len());
        let now_ms = self.now / 1_000;
        match self.rng.random_range(0..4) {
            0 => self.engines[index].draining ^= true,
            1 if self.engines.len() > 3 => drop(self.engines.remove(index)),
            2 => self.engines[index].started_ms = now_ms,
            _ => {
                let number = 100 + self.list_number;
                self.engines.push(ListedEngine::new(number, index % 2, index / 2 % 2, now_ms));
                self.engines.truncate(10);
            }
        }
        self.list_number += 1;
        let list = list(self.list_number, &self.engines, &self.config);
        // Like the host, fails the attempts that wait for a connection to an engine that drains or is no
        // longer listed.
        let is_up = |id| self.engines.iter().any(|engine| engine.id() == id && !engine.draining);
        let engine_of = |attempt: &AttemptId| self.requests[&attempt.0].attempts[attempt.1 as usize].engine;
        let without_engine: Vec<AttemptId> =
            self.waiting.iter().copied().filter(|attempt| !is_up(engine_of(attempt))).collect();
        self.core.update_engines(self.now, &list, false);
        for attempt in without_engine {
            // The update of the list may have ended the request already.
            self.apply_effects();
            if self.waiting.contains(&attempt) {
                self.record_end(attempt, true, false);
                self.core.attempt_ended(self.now, attempt, Completion::new(Outcome::ConnectFailed));
            }
        }
    }

    fn step(&mut self) {
        let longest_span = if self.rng.random_bool(0.02) { 1_500_000 } else { 8_000 };
        let span = self.rng.random_range(0..longest_span);
        self.advance(span);
        match self.rng.random_range(0..100) {
            0..38 => self.submit_request(),
            38..88 => self.progress_attempt(),
            88..96 => self.abandon_oldest_request(),
            _ => self.change_list(),
        }
        self.apply_effects();
    }
}

/// The rules that random event sequences must keep:
/// - Each request gets one final answer in time, unless its client has left; then it gets none.
/// - No attempt is launched or written for a request that is not open, and a request never has two attempts
///   running.
/// - An unsafe request is not repeated if it may have run; a keyed one is repeated only within its
///   deduplication window and scope.
/// - A request is refused only if repeating it is safe, and fails only if it may have run.
/// - Nothing is sent to engines that drain or are not listed, or to kinds and zones that the class does not
///   allow.
/// - Requests run in the order of their order keys.
/// - The attempts of each request, the retries of all requests and the load of cold engines stay within their
///   limits.
/// - One outcome of each attempt is reported to the module.
/// - No state is left behind.
#[test]
fn random_event_sequences_keep_the_rules() {
    let (mut answers, mut launched) = ([0; 3], 0);
    for seed in 0..80 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_000 {
            simulation.step();
        }
        simulation.advance(30_000_000);
        simulation.apply_effects();
        let unanswered = simulation.requests.values().filter(|request| request.open).count();
        assert_eq!(unanswered, 0, "seed {seed}: requests without an answer");
        let [requests, seqids, attempts, engines, _] = simulation.core.entry_counts();
        let listed = simulation.engines.len();
        assert_eq!((requests, seqids, attempts, engines), (0, 0, 0, listed), "seed {seed}");
        let overdue = simulation.core.counts.overdue;
        assert_eq!(overdue, 0, "seed {seed}: the module left a request unanswered");
        let running = &simulation.attempt_log.borrow().running;
        assert!(running.is_empty(), "seed {seed}: no outcome of {running:?} was reported to the module");
        answers.iter_mut().zip(simulation.answers).for_each(|(sum, n)| *sum += n);
        launched += simulation.launched;
    }
    assert!(answers.iter().all(|&n| n > 200) && launched > 10_000, "{answers:?}, {launched} attempts");
}
