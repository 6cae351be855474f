//! Orders of events that the core has to stand: single ones, and drawn ones against the rules, with the real module and
//! settings of many kinds under a virtual clock.

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

const START: Micros = 1_700_000_000_000_000;
const MARGIN: Micros = 15_000;
const OPEN_CAP: usize = 60;
/// How far a timer may be late: a tick of the wheel.
const TICK: Micros = 1_000;

fn configuration(change: impl FnOnce(&mut Value)) -> Config {
    let mut whole: Value = serde_json::from_str(&bed::config("127.0.0.1:1", &[])).expect("good JSON");
    let settings = &mut whole["settings"];
    settings["MachineTypes"] = json!(["small", "large"]);
    settings["FamilyInfo"]["SizeCores"] = json!([8, 16]);
    settings["FamilyInfo"]["MemoryByKindMb"] = json!([16384.0, 32768.0]);
    settings["Zones"] = json!(["east", "west"]);
    change(settings);
    config::parse(&whole.to_string()).expect("good settings")
}

fn terms(config: &Config) -> CoreConfig {
    CoreConfig {
        attempts_cap: config.settings.attempts_cap,
        open_cap: OPEN_CAP,
        body_bytes_cap: 1 << 20,
        answer_margin: MARGIN,
        client_delay: 310_000,
    }
}

/// An engine as the list has it.
#[derive(Clone)]
struct Machine {
    name: String,
    kind: usize,
    zone: usize,
    cell: u64,
    draining: bool,
    started_ms: u64,
}

impl Machine {
    fn new(number: u64, kind: usize, zone: usize, started_ms: u64) -> Machine {
        Machine {
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

fn list(number: u64, machines: &[Machine], config: &Config) -> List {
    let server = |m: &Machine| {
        json!({"id": m.name, "addr": "10.0.0.1:4100", "zone": config.names.zones[m.zone], "kind": config.names.kinds[m.kind],
            "cell": m.cell, "state": if m.draining { "draining" } else { "ready" }, "weight": 1, "started_ms": m.started_ms})
    };
    let servers: Vec<Value> = machines.iter().map(server).collect();
    let known = json!({"no": number, "items": [{"no": number, "roster": {"version": 1, "full": true, "servers": servers}}]});
    let known: Known = serde_json::from_value(known).expect("a list");
    known.list(&config.names).expect("a good list")
}

/// A request as its fields are read; `cost` in milliseconds.
fn ask(config: &Config, class: &str, id: u64, wait: u64, cost: f64, key: &str) -> Call {
    let (id, wait, cost) = (format!("{id:016x}"), wait.to_string(), cost.to_string());
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
    call::parse(&fields, b"select 1", &config.names, &config.settings.classes).expect("a good request")
}

/// What the module has sent, and the ends that it was told.
#[derive(Default)]
struct Ledger {
    next: HashMap<RequestId, u32>,
    out: BTreeSet<AttemptId>,
    ends: Vec<(AttemptId, Outcome)>,
}

/// The real module; each attempt that it sends must end once.
struct Noting(Gateway, Rc<RefCell<Ledger>>);

impl Decide for Noting {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let mut ledger = self.1.borrow_mut();
        match &event {
            Event::Request(request) => drop(ledger.next.insert(request.id, 0)),
            Event::Answer(answer) => {
                let attempt = AttemptId(answer.id, answer.attempt);
                assert!(ledger.out.remove(&attempt), "the end of an attempt that is not out: {answer:?}");
                ledger.ends.push((attempt, answer.outcome));
            }
            _ => {}
        }
        let before = out.len();
        self.0.handle(now, event, out);
        for action in &out[before..] {
            if let Action::Dispatch { id, .. } = action {
                let next = ledger.next.entry(*id).or_default();
                let attempt = AttemptId(*id, *next);
                *next += 1;
                assert!(ledger.out.insert(attempt), "sent under a number that is out: {attempt:?}");
            }
        }
    }
}

/// A core with some engines, driven by hand.
struct Bench {
    config: Config,
    core: Core,
    ledger: Rc<RefCell<Ledger>>,
    now: Micros,
}

impl Bench {
    fn new(engines: u64, change: impl FnOnce(&mut Value)) -> Bench {
        let config = configuration(change);
        let ledger = Rc::<RefCell<Ledger>>::default();
        let module = Noting(Gateway::new(config.settings.clone(), 1), Rc::clone(&ledger));
        let mut core = Core::new(Box::new(module), terms(&config), START);
        let machines: Vec<Machine> = (0..engines).map(|n| Machine::new(n, 0, 0, 0)).collect();
        core.update_engines(START, &list(1, &machines, &config), true);
        Bench { config, core, ledger, now: START }
    }

    fn ask(&mut self, client: u64, seqid: i32, id: u64, cost: f64) -> Admission {
        let call = ask(&self.config, "look", id, 2_000, cost, "k");
        self.core.submit(self.now, ClientId(client), seqid, call)
    }

    fn effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.core.next_effect()).collect()
    }

    /// What is launched with the effects so far.
    fn launches(&mut self) -> Vec<Launch> {
        let launch = |effect| match effect {
            Effect::Launch(launch) => Some(launch),
            _ => None,
        };
        self.effects().into_iter().filter_map(launch).collect()
    }

    /// A client's only request, launched and waiting for a connection.
    fn launched(&mut self) -> Launch {
        assert_eq!(self.ask(1, 1, 1, 20.0), Admission::Accepted);
        self.launches().pop().expect("an attempt")
    }
}

fn may_cancel(allowed: bool) -> impl Fn(&mut Value) {
    move |settings| settings["Limits"]["MayCancel"] = json!(allowed)
}

#[test]
fn an_attempt_that_waits_for_its_connection_is_given_up_as_its_client_leaves() {
    let leave: [fn(&mut Core, Micros); 2] = [
        |core, now| core.cancel_request(now, ClientId(1), 1),
        |core, now| core.client_disconnected(now, ClientId(1)),
    ];
    for (allowed, leave) in [(true, leave[0]), (true, leave[1]), (false, leave[0]), (false, leave[1])] {
        let mut bench = Bench::new(2, may_cancel(allowed));
        let launch = bench.launched();
        leave(&mut bench.core, bench.now + 10_000);
        assert_eq!(bench.effects(), [Effect::CancelAttempt(launch.engine, launch.attempt)]);
        assert_eq!(bench.ledger.borrow().ends, [(launch.attempt, Outcome::Moot)]);
        assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
        // What its connection tells of it later is nobody's.
        bench.core.attempt_ended(bench.now + 20_000, launch.attempt, Completion::new(Outcome::ConnectFailed));
        assert_eq!(bench.ledger.borrow().ends.len(), 1);
    }
}

#[test]
fn an_attempt_that_was_written_goes_on_where_it_may_not_be_withdrawn_and_ends_once() {
    for allowed in [true, false] {
        let mut bench = Bench::new(2, may_cancel(allowed));
        let launch = bench.launched();
        bench.core.attempt_written(bench.now, launch.attempt);
        bench.core.cancel_request(bench.now + 10_000, ClientId(1), 1);
        let withdrawn = Effect::CancelAttempt(launch.engine, launch.attempt);
        assert_eq!(bench.effects(), if allowed { vec![withdrawn] } else { vec![] });
        bench.core.attempt_ended(bench.now + 20_000, launch.attempt, Completion::new(Outcome::Ok));
        assert_eq!(bench.effects(), [], "nothing is owed any more");
        let outcome = if allowed { Outcome::Cancelled } else { Outcome::Ok };
        assert_eq!(bench.ledger.borrow().ends, [(launch.attempt, outcome)]);
        assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
    }
}

#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_further_one() {
    let mut bench = Bench::new(2, |s| s["Contract"]["TurnGapUs"] = json!(200_000));
    // Two of one key: the second waits for its turn, which comes with the end of the first.
    for (client, id) in [(1, 1), (2, 2)] {
        let call = ask(&bench.config, "load", id, 5_000, 20.0, "k");
        assert_eq!(bench.core.submit(bench.now, ClientId(client), 1, call), Admission::Accepted);
    }
    let first = bench.launches().pop().expect("an attempt");
    bench.core.attempt_written(bench.now, first.attempt);
    bench.core.client_disconnected(bench.now + 1_000, ClientId(2));
    bench.core.attempt_ended(bench.now + 2_000, first.attempt, Completion::new(Outcome::Full));
    // The first goes elsewhere, or waits; its client leaves before that is written.
    bench.core.client_disconnected(bench.now + 3_000, ClientId(1));
    bench.effects();
    for after in (10_000..6_000_000).step_by(20_000) {
        bench.core.wake(bench.now + after);
        assert_eq!(bench.launches(), []);
    }
    assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
}

#[test]
fn what_a_leaving_client_frees_is_not_given_to_its_own_requests() {
    for allowed in [true, false] {
        let mut bench = Bench::new(1, may_cancel(allowed));
        for id in 0..20 {
            assert_eq!(bench.ask(1, id, id as u64 + 1, 300.0), Admission::Accepted);
        }
        let out = bench.launches();
        for launch in &out {
            bench.core.attempt_written(bench.now, launch.attempt);
        }
        assert!(bench.core.open_requests() > out.len(), "some wait for room");
        // Where attempts may be withdrawn, each that is makes room for one of those that wait.
        bench.core.client_disconnected(bench.now + 1_000, ClientId(1));
        assert_eq!(bench.launches(), []);
        assert_eq!(bench.core.open_requests(), 0);
        for launch in out {
            bench.core.attempt_ended(bench.now + 2_000, launch.attempt, Completion::new(Outcome::Ok));
        }
        assert_eq!(bench.effects(), []);
        assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
    }
}

#[test]
fn unwritten_attempts_of_a_leaving_client_make_no_room_for_its_others() {
    let mut bench = Bench::new(1, may_cancel(true));
    for id in 0..20 {
        assert_eq!(bench.ask(1, id, id as u64 + 1, 300.0), Admission::Accepted);
    }
    let out = bench.launches().len();
    assert!(bench.core.open_requests() > out, "some wait for room");
    bench.core.client_disconnected(bench.now + 1_000, ClientId(1));
    assert_eq!(bench.launches(), []);
    assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
    assert_eq!(bench.core.counts.lapsed + bench.core.counts.refused, 20);
    // None was tried over and over on its way out: that would use up the budget of further attempts.
    assert!(bench.ledger.borrow().next.values().all(|&sent| sent <= 1));
}

/// Every engine has just started, and answers at once: only the rule on cold engines keeps requests from it.
#[test]
fn a_cold_engine_gets_no_more_than_its_budget_in_any_window() {
    const WORK_MS: f64 = 100.0;
    let mut bench = Bench::new(1, |s| s["Contract"]["FallMultiple"] = json!(0.5));
    let cold = Machine::new(7, 0, 0, START / 1_000);
    bench.core.update_engines(START, &list(2, &[cold], &bench.config), false);
    let settings = bench.config.settings.clone();
    let capacity = settings.kinds[0].cores * settings.cold_capacity * settings.overload_span as f64;
    let budget = settings.overload_multiple * capacity / (WORK_MS * 1e3);
    let most = budget + 2.0 * budget.sqrt() + 2.0;
    let mut sent: Vec<Micros> = Vec::new();
    for id in 1..=600 {
        bench.now += 5_000;
        bench.core.wake(bench.now);
        assert_eq!(bench.ask(id, 1, id, WORK_MS), Admission::Accepted);
        for launch in bench.launches() {
            sent.push(bench.now);
            bench.core.attempt_written(bench.now, launch.attempt);
            let work = Some((WORK_MS * 1e3) as Micros);
            bench.core.attempt_ended(
                bench.now,
                launch.attempt,
                Completion { work, ..Completion::new(Outcome::Ok) },
            );
        }
        let within = sent.iter().filter(|&&at| at + settings.overload_span > bench.now).count();
        assert!(within as f64 <= most, "{within} in a window, where {most:.1} are borne");
    }
    assert!(sent.len() > 10, "{} in all: it warms up by what it gets", sent.len());
}

#[test]
fn a_second_answer_is_nobodys() {
    let mut bench = Bench::new(2, may_cancel(true));
    let launch = bench.launched();
    bench.core.attempt_written(bench.now, launch.attempt);
    let served = Completion { result: b"a\tb\tc\n".to_vec(), ..Completion::new(Outcome::Ok) };
    bench.core.attempt_ended(bench.now + 1_000, launch.attempt, served.clone());
    let answer = Effect::Answer(ClientId(1), 1, Reply::Served(served.result.clone()));
    assert_eq!(bench.effects(), [answer]);
    // The same number is in use again as it comes.
    assert_eq!(bench.ask(1, 1, 2, 20.0), Admission::Accepted);
    bench.launches();
    bench.core.attempt_ended(bench.now + 2_000, launch.attempt, served);
    assert_eq!(bench.effects(), []);
    assert_eq!(bench.ledger.borrow().ends.len(), 1);
}

#[test]
fn an_id_is_free_again_only_when_none_of_its_attempts_is_out() {
    let mut bench = Bench::new(2, may_cancel(false));
    let launch = bench.launched();
    assert_eq!(bench.ask(1, 2, 1, 20.0), Admission::OwnIdReused);
    assert_eq!(bench.ask(2, 1, 1, 20.0), Admission::IdInUse);
    bench.core.attempt_written(bench.now, launch.attempt);
    bench.core.cancel_request(bench.now, ClientId(1), 1);
    assert_eq!(bench.ask(1, 2, 1, 20.0), Admission::IdInUse);
    bench.core.attempt_ended(bench.now, launch.attempt, Completion::new(Outcome::Error));
    assert_eq!(bench.ask(2, 1, 1, 20.0), Admission::Accepted);
    assert_eq!(bench.launches()[0].attempt, launch.attempt);
}

#[test]
fn beyond_the_most_that_may_be_open_nothing_is_taken_until_one_ends() {
    let mut bench = Bench::new(1, may_cancel(true));
    let cap = OPEN_CAP as u64;
    let taken = (0..2 * cap).filter(|&n| bench.ask(n, 1, n + 1, 0.1) == Admission::Accepted).count();
    assert_eq!((taken, bench.core.open_requests()), (OPEN_CAP, OPEN_CAP));
    assert_eq!(bench.core.counts.full, cap);
    bench.core.cancel_request(bench.now, ClientId(0), 1);
    assert_eq!(bench.ask(500, 1, 500, 0.1), Admission::Accepted);
}

/// Does what the settings' limits are there to prevent: sends each request to two engines at once.
struct Doubling;

impl Decide for Doubling {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            for n in 0..2 {
                let engine = Machine::new(n, 0, 0, 0).id();
                out.push(Action::Dispatch { id: request.id, engine, until: 0 });
            }
        }
    }
}

#[test]
fn a_second_copy_that_waits_for_its_connection_is_given_up_as_the_first_serves() {
    let mut bench = Bench::new(2, may_cancel(true));
    bench.core = Core::new(Box::new(Doubling), terms(&bench.config), START);
    let machines: Vec<Machine> = (0..2).map(|n| Machine::new(n, 0, 0, 0)).collect();
    bench.core.update_engines(START, &list(1, &machines, &bench.config), true);
    assert_eq!(bench.ask(1, 1, 1, 20.0), Admission::Accepted);
    let out = bench.launches();
    bench.core.attempt_written(bench.now, out[0].attempt);
    bench.core.attempt_ended(bench.now, out[0].attempt, Completion::new(Outcome::Ok));
    let effects = bench.effects();
    assert!(effects.contains(&Effect::CancelAttempt(out[1].engine, out[1].attempt)), "{effects:?}");
    assert!(effects.contains(&Effect::Answer(ClientId(1), 1, Reply::Served(Vec::new()))), "{effects:?}");
    assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
}

#[test]
fn a_request_that_the_module_forgets_is_answered_and_its_unwritten_attempts_are_given_up() {
    let mut bench = Bench::new(2, may_cancel(true));
    bench.core = Core::new(Box::new(Doubling), terms(&bench.config), START);
    let machines: Vec<Machine> = (0..2).map(|n| Machine::new(n, 0, 0, 0)).collect();
    bench.core.update_engines(START, &list(1, &machines, &bench.config), true);
    assert_eq!(bench.ask(1, 1, 1, 20.0), Admission::Accepted);
    bench.launches();
    let mut answers = 0;
    while let Some(at) = bench.core.next_wake() {
        bench.core.wake(at);
        for effect in bench.effects() {
            if let Effect::Answer(_, _, verdict) = effect {
                assert!(at <= START + 2_000_000 && verdict == Reply::Failed);
                answers += 1;
            }
        }
    }
    assert_eq!((answers, bench.core.counts.overdue), (1, 1));
    assert_eq!(bench.core.entry_counts()[..3], [0, 0, 0]);
}

/// The first attempt may have run; the second waits for its connection until after the window in which engines would have
/// dropped it as a repeat.
#[test]
fn a_repeat_is_not_written_after_its_window() {
    let mut bench = Bench::new(2, |s| {
        s["Classes"][0]["Effect"] = json!("by_key");
        s["Classes"][0]["WindowUs"] = json!(600_000);
    });
    let first = bench.launched();
    bench.core.attempt_written(bench.now, first.attempt);
    bench.core.attempt_ended(bench.now + 400_000, first.attempt, Completion::new(Outcome::Broken));
    let second = bench.launches().pop().expect("a repeat");
    bench.core.wake(bench.now + 600_000);
    let effects = bench.effects();
    assert!(effects.contains(&Effect::CancelAttempt(second.engine, second.attempt)), "{effects:?}");
    assert_eq!(bench.ledger.borrow().ends.last(), Some(&(second.attempt, Outcome::Moot)));
}

#[test]
fn a_repeat_that_is_written_within_its_window_has_its_whole_time() {
    let mut bench = Bench::new(2, |s| {
        s["Classes"][0]["Effect"] = json!("by_key");
        s["Classes"][0]["WindowUs"] = json!(600_000);
    });
    let first = bench.launched();
    bench.core.attempt_written(bench.now, first.attempt);
    bench.core.attempt_ended(bench.now + 400_000, first.attempt, Completion::new(Outcome::Broken));
    let second = bench.launches().pop().expect("a repeat");
    bench.core.attempt_written(bench.now + 410_000, second.attempt);
    bench.core.wake(bench.now + 700_000);
    assert_eq!(bench.effects(), []);
    bench.core.attempt_ended(bench.now + 710_000, second.attempt, Completion::new(Outcome::Ok));
    assert_eq!(bench.effects(), [Effect::Answer(ClientId(1), 1, Reply::Served(Vec::new()))]);
}

#[test]
fn what_surely_never_ran_begins_no_window() {
    let mut bench = Bench::new(2, |s| {
        s["Classes"][0]["Effect"] = json!("by_key");
        s["Classes"][0]["WindowUs"] = json!(600_000);
    });
    let first = bench.launched();
    bench.core.attempt_written(bench.now, first.attempt);
    bench.core.attempt_ended(bench.now + 400_000, first.attempt, Completion::new(Outcome::Full));
    let second = bench.launches().pop().expect("another attempt");
    bench.core.wake(bench.now + 650_000);
    assert_eq!(bench.effects(), []);
    bench.core.attempt_written(bench.now + 660_000, second.attempt);
}

/// An attempt as the rules see it.
struct Sent {
    engine: EngineId,
    zone: usize,
    cell: u64,
    written: Option<Micros>,
    out: bool,
    /// Its end proves that it never ran.
    never_ran: bool,
}

impl Sent {
    fn may_have_run(&self) -> bool {
        self.written.is_some() && !self.never_ran
    }
}

/// A request as the rules see it.
struct Story {
    number: u64,
    client: ClientId,
    seqid: i32,
    class: usize,
    key: Option<OrderKey>,
    owed: bool,
    gone: bool,
    due: Micros,
    sent: Vec<Sent>,
}

impl Story {
    fn is_out(&self) -> bool {
        self.sent.iter().any(|s| s.out)
    }

    fn may_have_run(&self) -> bool {
        self.sent.iter().any(Sent::may_have_run)
    }
}

/// A drawn history, checked against the rules.
struct World {
    seed: u64,
    rng: StdRng,
    config: Config,
    core: Core,
    ledger: Rc<RefCell<Ledger>>,
    now: Micros,
    machines: Vec<Machine>,
    lists: u64,
    next: u64,
    stories: HashMap<RequestId, Story>,
    /// Attempts that wait for a connection, and those that are written.
    waiting: Vec<AttemptId>,
    written: Vec<AttemptId>,
    /// How long each key rests.
    rests: HashMap<OrderKey, Micros>,
    taken: Vec<Micros>,
    extras: Vec<Micros>,
    /// Sends to cold engines: where, when, work.
    cold: Vec<(EngineId, Micros)>,
    launched: usize,
    answers: [u32; 3],
}

fn drawn_settings(rng: &mut StdRng, settings: &mut Value) {
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

impl World {
    fn new(seed: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = configuration(|settings| drawn_settings(&mut rng, settings));
        let ledger = Rc::<RefCell<Ledger>>::default();
        let module = Noting(Gateway::new(config.settings.clone(), seed), Rc::clone(&ledger));
        let mut core = Core::new(Box::new(module), terms(&config), START);
        let machines: Vec<Machine> =
            (0..6).map(|n| Machine::new(n, n as usize % 2, n as usize / 2 % 2, 0)).collect();
        core.update_engines(START, &list(1, &machines, &config), true);
        World {
            seed,
            rng,
            config,
            core,
            ledger,
            now: START,
            machines,
            lists: 1,
            next: 100,
            stories: HashMap::new(),
            waiting: Vec::new(),
            written: Vec::new(),
            rests: HashMap::new(),
            taken: Vec::new(),
            extras: Vec::new(),
            cold: Vec::new(),
            launched: 0,
            answers: [0; 3],
        }
    }

    fn story(&mut self, id: RequestId) -> &mut Story {
        self.stories.get_mut(&id).expect("a request that was taken")
    }

    /// The end of an attempt that is out.
    fn end(&mut self, attempt: AttemptId, never_ran: bool, unsure: bool) {
        self.waiting.retain(|&a| a != attempt);
        self.written.retain(|&a| a != attempt);
        let (now, gap) = (self.now, self.config.settings.key_cooldown);
        let story = self.story(attempt.0);
        let sent = &mut story.sent[attempt.1 as usize];
        sent.out = false;
        sent.never_ran |= never_ran;
        if let (true, Some(key)) = (unsure && sent.written.is_some(), story.key.clone()) {
            self.rests.insert(key, now + gap);
        }
    }

    fn effects(&mut self) {
        while let Some(effect) = self.core.next_effect() {
            let seed = self.seed;
            match effect {
                Effect::Launch(launch) => self.check_launch(&launch),
                Effect::CancelAttempt(_, attempt) => {
                    assert!(
                        self.story(attempt.0).sent[attempt.1 as usize].out,
                        "seed {seed}: {attempt:?} was not out"
                    );
                    self.end(attempt, false, true);
                }
                Effect::Renice(_, attempt, _) => {
                    assert!(
                        self.story(attempt.0).sent[attempt.1 as usize].out,
                        "seed {seed}: {attempt:?} was not out"
                    );
                }
                Effect::Answer(client, seqid, verdict) => self.check_answer(client, seqid, &verdict),
                Effect::Probe(engine) => {
                    assert!(self.config.settings.may_probe, "seed {seed}: a probe that is not allowed");
                    let ok = self.rng.random_bool(0.7);
                    self.core.probe_ended(self.now, engine, ok, Load::default());
                }
                Effect::Log(_) => {}
            }
        }
        let out: usize = self.waiting.len() + self.written.len();
        let open = self.stories.values().filter(|s| s.owed).count();
        assert_eq!(self.core.entry_counts()[..3], [open, open, out], "seed {}", self.seed);
    }

    fn check_launch(&mut self, launch: &Launch) {
        let (seed, now, settings) = (self.seed, self.now, self.config.settings.clone());
        let AttemptId(id, number) = launch.attempt;
        let machine = self.machines.iter().find(|m| m.id() == launch.engine).cloned();
        let machine = machine.unwrap_or_else(|| panic!("seed {seed}: sent to an engine that is not listed"));
        assert!(!machine.draining, "seed {seed}: sent to an engine that drains");
        let class = settings.classes[launch.class].clone();
        let allowed = |of: &Option<Vec<usize>>, place| of.as_ref().is_none_or(|of| of.contains(&place));
        let kinds = class.kinds.as_ref().map(|k| k.iter().map(|k| k.0).collect());
        let zones = class.zones.as_ref().map(|z| z.iter().map(|z| z.0).collect());
        assert!(allowed(&kinds, machine.kind) && allowed(&zones, machine.zone), "seed {seed}: placement");
        let cap = settings.attempts_cap;
        let story = self.story(id);
        assert!(story.owed && !story.gone, "seed {seed}: an attempt begins for nobody");
        assert!(number < cap && story.sent.len() == number as usize, "seed {seed}: attempt {number}");
        assert!(!story.is_out(), "seed {seed}: two attempts are out");
        assert!(launch.deadline > now && launch.deadline <= story.due, "seed {seed}: until");
        if class.effect == violetward::Effect::Once {
            assert!(!story.may_have_run(), "seed {seed}: an unsafe request is repeated");
        }
        let (mine, key) = (story.number, story.key.clone());
        let (zone, cell) = (machine.zone, machine.cell);
        let sent = Sent { engine: launch.engine, zone, cell, written: None, out: true, never_ran: false };
        story.sent.push(sent);
        if let Some(key) = key {
            let before = self.stories.values().filter(|s| s.key.as_ref() == Some(&key) && s.number < mine);
            for story in before {
                assert!(!story.owed && !story.is_out(), "seed {seed}: out of its key's order");
            }
            let rest = self.rests.get(&key).copied().unwrap_or(0);
            assert!(number > 0 || now >= rest, "seed {seed}: its key rests");
        }
        if number > 0 {
            self.extras.push(now);
            if let Some(budget) = &settings.budget {
                let within =
                    |times: &[Micros]| times.iter().filter(|&&t| t > now - budget.window).count() as f64;
                let most = budget.free + budget.per_request * within(&self.taken);
                assert!(within(&self.extras) <= most, "seed {seed}: beyond the budget of attempts");
            }
        }
        let started = machine.started_ms * 1_000;
        if started > 0 && now < started + settings.cold_span {
            self.check_cold(&machine, launch.engine);
        }
        self.launched += 1;
        if self.rng.random_bool(0.5) {
            self.write(launch.attempt);
        } else {
            self.waiting.push(launch.attempt);
        }
    }

    /// No more than the mean work of a cold engine's budget, and what is put down to chance.
    fn check_cold(&mut self, machine: &Machine, engine: EngineId) {
        const MEAN_WORK: f64 = 100_000.0;
        let settings = &self.config.settings;
        self.cold.push((engine, self.now));
        let from = self.now - settings.overload_span;
        let sent = self.cold.iter().filter(|c| c.0 == engine && c.1 > from).count() as f64;
        let capacity =
            settings.kinds[machine.kind].cores * settings.cold_capacity * settings.overload_span as f64;
        let budget = settings.overload_multiple * capacity / MEAN_WORK;
        assert!(sent <= budget + 2.0 * budget.sqrt() + 2.0, "seed {}: a cold engine falls", self.seed);
    }

    /// An attempt goes out on its connection.
    fn write(&mut self, attempt: AttemptId) {
        self.waiting.retain(|&a| a != attempt);
        self.written.push(attempt);
        let (seed, now) = (self.seed, self.now);
        let classes = self.config.settings.classes.clone();
        let story = self.story(attempt.0);
        assert!(story.owed && !story.gone, "seed {seed}: an attempt is written for nobody");
        let first = story.sent.iter().find(|s| s.may_have_run()).map(|s| (s.zone, s.cell, s.written));
        if let (violetward::Effect::Keyed { scope, window }, Some((zone, cell, Some(at)))) =
            (classes[story.class].effect, first)
        {
            let there = &story.sent[attempt.1 as usize];
            let known = match scope {
                KeyScope::All => true,
                KeyScope::Zone => zone == there.zone,
                KeyScope::Cell => cell == there.cell,
            };
            assert!(known && now < at + window, "seed {seed}: a repeat that engines don't drop");
        }
        story.sent[attempt.1 as usize].written = Some(now);
        self.core.attempt_written(now, attempt);
    }

    fn check_answer(&mut self, client: ClientId, seqid: i32, verdict: &Reply) {
        let (seed, now) = (self.seed, self.now);
        let story = self.stories.values_mut().find(|s| s.owed && (s.client, s.seqid) == (client, seqid));
        let story = story.unwrap_or_else(|| panic!("seed {seed}: an answer that is not owed"));
        assert!(!story.gone, "seed {seed}: an answer to one who has left");
        assert!(now <= story.due + TICK, "seed {seed}: an answer too late");
        story.owed = false;
        let effect = self.config.settings.classes[story.class].effect;
        match verdict {
            Reply::Served(result) => {
                assert_eq!(
                    *result,
                    format!("{}\tb\tc\n", story.number).into_bytes(),
                    "seed {seed}: another's result"
                );
                self.answers[0] += 1;
            }
            Reply::Refused(after) => {
                let dropped = matches!(effect, violetward::Effect::Keyed { scope: KeyScope::All, .. });
                let harmless = effect == violetward::Effect::Repeatable || dropped || !story.may_have_run();
                assert!(harmless, "seed {seed}: refused though a further try may do harm");
                assert!(*after <= self.config.settings.max_retry_after.unwrap_or(0), "seed {seed}: advice");
                self.answers[1] += 1;
            }
            Reply::Failed => {
                assert!(story.may_have_run(), "seed {seed}: failed though it never ran");
                self.answers[2] += 1;
            }
        }
    }

    /// Time passes; the core is woken when it has asked for it.
    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.core.next_wake().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.core.wake(self.now);
            self.effects();
        }
        self.now = end;
    }

    fn request(&mut self) {
        let name = ["look", "look", "look", "report", "load"][self.rng.random_range(0..5)];
        let wait = self.rng.random_range(50..3_000);
        let cost = self.rng.random_range(1.0..200.0);
        let key = format!("k{}", self.rng.random_range(0..4));
        // Now and then an id is used again, by the same client or another.
        let fresh = self.rng.random_bool(0.95);
        let id = if fresh { self.next } else { self.rng.random_range(100..=self.next) };
        let call = ask(&self.config, name, id, wait, cost, &key);
        let client = ClientId(self.rng.random_range(0..4));
        let (number, seqid) = (self.next, self.next as i32);
        self.next += 1;
        let before = self.stories.get(&call.id);
        let expected = match before {
            Some(story) if story.owed && story.client == client => Admission::OwnIdReused,
            Some(story) if story.owed || story.is_out() => Admission::IdInUse,
            _ if self.stories.values().filter(|s| s.owed).count() >= OPEN_CAP => Admission::Full,
            _ => Admission::Accepted,
        };
        if expected == Admission::Accepted {
            let story = Story {
                number,
                client,
                seqid,
                class: call.class,
                key: call.key.clone(),
                owed: true,
                gone: false,
                due: self.now + call.wait,
                sent: Vec::new(),
            };
            self.stories.insert(call.id, story);
            self.taken.push(self.now);
        }
        assert_eq!(self.core.submit(self.now, client, seqid, call), expected, "seed {}", self.seed);
    }

    /// An engine answers, or a connection ends.
    fn ending(&mut self) {
        let out: Vec<AttemptId> = self.waiting.iter().chain(&self.written).copied().collect();
        if out.is_empty() {
            return;
        }
        let attempt = out[self.rng.random_range(0..out.len())];
        if self.waiting.contains(&attempt) {
            if self.rng.random_bool(0.7) {
                return self.write(attempt);
            }
            self.end(attempt, true, false);
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
        self.end(attempt, never_ran, unsure);
        let result = format!("{}\tb\tc\n", self.story(attempt.0).number).into_bytes();
        let work = (outcome == Outcome::Ok).then_some(100_000);
        let ending = Completion { work, result, ..Completion::new(outcome) };
        self.core.attempt_ended(self.now, attempt, ending.clone());
        if self.rng.random_bool(0.1) {
            // A second answer, or one after the connection has told of its end.
            self.effects();
            if !self.waiting.contains(&attempt) && !self.written.contains(&attempt) {
                self.core.attempt_ended(self.now, attempt, ending);
            }
        }
    }

    fn leave(&mut self) {
        let owed = self.stories.values().filter(|s| s.owed).map(|s| (s.number, s.client, s.seqid));
        let Some((_, client, seqid)) = owed.min() else { return };
        let all = self.rng.random_bool(0.3);
        for story in self.stories.values_mut().filter(|s| s.owed && s.client == client) {
            if all || story.seqid == seqid {
                (story.owed, story.gone) = (false, true);
            }
        }
        if all {
            self.core.client_disconnected(self.now, client);
        } else {
            self.core.cancel_request(self.now, client, seqid);
        }
    }

    fn change_list(&mut self) {
        let at = self.rng.random_range(0..self.machines.len());
        let now_ms = self.now / 1_000;
        match self.rng.random_range(0..4) {
            0 => self.machines[at].draining ^= true,
            1 if self.machines.len() > 3 => drop(self.machines.remove(at)),
            2 => self.machines[at].started_ms = now_ms,
            _ => {
                let number = 100 + self.lists;
                self.machines.push(Machine::new(number, at % 2, at / 2 % 2, now_ms));
                self.machines.truncate(10);
            }
        }
        self.lists += 1;
        let list = list(self.lists, &self.machines, &self.config);
        // As the host does: what waits for a connection to an engine that drains or has left ends with the list.
        let stays = |engine| self.machines.iter().any(|m| m.id() == engine && !m.draining);
        let engine_of = |a: &AttemptId| self.stories[&a.0].sent[a.1 as usize].engine;
        let unsent: Vec<AttemptId> = self.waiting.iter().copied().filter(|a| !stays(engine_of(a))).collect();
        self.core.update_engines(self.now, &list, false);
        for attempt in unsent {
            // Its request may have been ended by the list itself.
            self.effects();
            if self.waiting.contains(&attempt) {
                self.end(attempt, true, false);
                self.core.attempt_ended(self.now, attempt, Completion::new(Outcome::ConnectFailed));
            }
        }
    }

    fn step(&mut self) {
        let span = if self.rng.random_bool(0.02) { 1_500_000 } else { 8_000 };
        let span = self.rng.random_range(0..span);
        self.pass(span);
        match self.rng.random_range(0..100) {
            0..38 => self.request(),
            38..88 => self.ending(),
            88..96 => self.leave(),
            _ => self.change_list(),
        }
        self.effects();
    }
}

/// One final answer each before its time, none to who has left; nothing begins or is written for nobody; never two
/// attempts out; an unsafe request is not repeated where it may have run, a keyed one only within its window and scope;
/// refused only where a further try is harmless, failed only where it may have run; nothing to engines that drain or have
/// left; placement; order by key; attempts of each and of all; cold engines; ends told once; nothing stays.
#[test]
fn drawn_orders_of_events_keep_the_rules() {
    let (mut answers, mut launched) = ([0; 3], 0);
    for seed in 0..80 {
        let mut world = World::new(seed);
        for _ in 0..1_000 {
            world.step();
        }
        world.pass(30_000_000);
        world.effects();
        let owed = world.stories.values().filter(|s| s.owed).count();
        assert_eq!(owed, 0, "seed {seed}: requests without an answer");
        let [open, numbers, attempts, engines, _] = world.core.entry_counts();
        assert_eq!((open, numbers, attempts, engines), (0, 0, 0, world.machines.len()), "seed {seed}");
        assert_eq!(world.core.counts.overdue, 0, "seed {seed}: the module forgot a request");
        let left = &world.ledger.borrow().out;
        assert!(left.is_empty(), "seed {seed}: the module was not told how {left:?} ended");
        answers.iter_mut().zip(world.answers).for_each(|(sum, n)| *sum += n);
        launched += world.launched;
    }
    assert!(answers.iter().all(|&n| n > 200) && launched > 10_000, "{answers:?}, {launched} attempts");
}
