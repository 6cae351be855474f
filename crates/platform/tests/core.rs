//! Random event sequences against the core with the real decision module under a virtual clock: each request
//! gets one answer in time, and no state is left behind.

mod bed;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetward::{
    Action, Decide, Event, Gateway, GroupId, Load, Micros, OrderKey, Outcome, RequestId, TenantId,
};
use violetward_platform::call::Call;
use violetward_platform::config::{self, Config};
use violetward_platform::core::{
    Admission, AttemptId, ClientId, Completion, Core, CoreConfig, Effect, Reply,
};
use violetward_platform::list::List;

const ANSWER_MARGIN_US: Micros = 15_000;
const CLIENT_DELAY_US: Micros = 2_000_000;
/// The result of an attempt that succeeds.
const RESULT: &[u8] = b"a\tb\tc\n";

/// A core with the requests that clients have sent and the attempts that it has launched.
struct Simulation {
    seed: u64,
    rng: StdRng,
    core: Core,
    core_config: CoreConfig,
    config: Config,
    now: Micros,
    /// Deadlines of the attempts that have not ended.
    running: BTreeMap<AttemptId, Micros>,
    /// Requests without an answer, with the time by which each must be answered.
    unanswered: HashMap<(ClientId, i32), (RequestId, Micros)>,
    next_request: u64,
    /// Requests served, refused and failed.
    answers: [u32; 3],
}

/// A decision module that sends each request to one engine and records how long its attempts took.
struct DurationRecorder(Rc<RefCell<Vec<Micros>>>);

impl Decide for DurationRecorder {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                let engine = list(1, 0, 1).engines.values().map(|l| l.entry.engine).next();
                let engine = engine.expect("one engine");
                out.push(Action::Dispatch { id: request.id, engine, until: 0 });
            }
            Event::Answer(answer) => self.0.borrow_mut().push(answer.took),
            _ => {}
        }
    }
}

#[test]
fn time_spent_waiting_for_a_connection_does_not_count_as_the_engines() {
    let mut simulation = Simulation::new(1);
    let (call, now) = (simulation.random_call(), simulation.now);
    let durations = Rc::default();
    let module = Box::new(DurationRecorder(Rc::clone(&durations)));
    simulation.core = Core::new(module, simulation.core_config.clone(), now);
    simulation.core.update_engines(now, &list(1, 0, 1), true);
    let attempt = AttemptId(call.id, 0);
    let call = Call { wait: 5_000_000, ..call };
    assert_eq!(simulation.core.submit(now, ClientId(1), 1, call), Admission::Accepted);
    simulation.core.attempt_written(now + 200_000, attempt);
    simulation.core.attempt_ended(now + 230_000, attempt, Completion::new(Outcome::Ok));
    assert_eq!(*durations.borrow(), [30_000]);
}

/// Guards against a slow reader that occupies an engine or makes it look slow: the module is told the end of an
/// attempt once its engine has served it, though the result still waits there for the client.
#[test]
fn a_result_that_waits_for_its_client_has_ended_for_the_module_and_is_answered_once() {
    let (held_at, over) = (230_000, 6_000_000);
    let ok = || Completion { result: RESULT.to_vec(), ..Completion::new(Outcome::Ok) };
    type End = fn(&mut Core, Micros, AttemptId, Completion);
    let ends: [(End, Option<Reply>); 4] = [
        (|core, now, attempt, ok| core.attempt_ended(now, attempt, ok), Some(Reply::Served(RESULT.to_vec()))),
        (
            |core, now, attempt, _| core.attempt_ended(now, attempt, Completion::new(Outcome::Broken)),
            Some(Reply::Failed),
        ),
        (|core, now, _, _| core.wake(now + 6_000_000), Some(Reply::Failed)),
        (|core, now, _, _| core.client_disconnected(now, ClientId(1)), None),
    ];
    for (end, reply) in ends {
        let mut simulation = Simulation::new(1);
        let (call, now) = (simulation.random_call(), simulation.now);
        let durations = Rc::default();
        let module = Box::new(DurationRecorder(Rc::clone(&durations)));
        let mut core = Core::new(module, simulation.core_config.clone(), now);
        core.update_engines(now, &list(1, 0, 1), true);
        let attempt = AttemptId(call.id, 0);
        core.submit(now, ClientId(1), 1, Call { wait: 5_000_000, ..call });
        core.attempt_written(now + 200_000, attempt);
        core.result_held(now + held_at, attempt, Completion::new(Outcome::Ok));
        assert_eq!(*durations.borrow(), [30_000]);
        assert!(core.is_outstanding(attempt) && core.open_requests() == 1);
        end(&mut core, now + 2 * held_at, attempt, ok());
        core.wake(now + 2 * over);
        assert_eq!(*durations.borrow(), [30_000], "the module is told the end once");
        let effects: Vec<_> = std::iter::from_fn(|| core.next_effect()).collect();
        let answers = effects.iter().filter_map(|effect| match effect {
            Effect::Answer(_, _, reply) => Some(reply.clone()),
            _ => None,
        });
        assert_eq!(answers.collect::<Vec<_>>(), Vec::from_iter(reply));
        assert_eq!(core.entry_counts()[..3], [0; 3]);
    }
}

/// A list of `count` engines whose names and addresses are numbered from `from`.
fn list(number: u32, from: u64, count: u64) -> List {
    let address = |n: u64| format!("10.0.{}.{}:4100", n / 250 % 250, n % 250 + 1);
    let named: Vec<(String, String)> =
        (from..from + count).map(|n| (format!("e-{n:08x}"), address(n))).collect();
    let named: Vec<(&str, String)> = named.iter().map(|(id, a)| (id.as_str(), a.clone())).collect();
    let config = config::parse(&bed::config("127.0.0.1:1", &named)).expect("a valid configuration");
    let mut list = config.known.list(&config.names).expect("a valid list");
    list.number = number;
    list
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let config = config::parse(&bed::config("127.0.0.1:1", &[])).expect("a valid configuration");
        let gateway = Gateway::new(config.settings.clone(), seed);
        let core_config = CoreConfig {
            attempts_cap: 3,
            open_cap: 1_000,
            body_bytes_cap: 1 << 20,
            recent_ids_max: 1 << 10,
            answer_margin: ANSWER_MARGIN_US,
            client_delay: CLIENT_DELAY_US,
        };
        let now = 1_700_000_000_000_000;
        let mut core = Core::new(Box::new(gateway), core_config.clone(), now);
        core.update_engines(now, &list(1, 0, 4), true);
        Simulation {
            seed,
            rng: StdRng::seed_from_u64(seed),
            core,
            core_config,
            config,
            now,
            running: BTreeMap::new(),
            unanswered: HashMap::new(),
            next_request: 1,
            answers: [0; 3],
        }
    }

    fn random_call(&mut self) -> Call {
        let class = [0, 0, 0, 1, 2][self.rng.random_range(0..5)];
        let client_timeout = self.config.settings.classes[class].client_timeout;
        Call {
            id: RequestId(self.next_request * 0x9e37_79b9),
            class,
            tenant: TenantId(0),
            wait: self.rng.random_range(client_timeout / 20..client_timeout),
            longest_wait: client_timeout,
            retry: self.rng.random_bool(0.1),
            dedup_window: (class == 2).then_some(9_000_000),
            idempotency_key: (class == 2).then(|| format!("{:032x}", self.next_request)),
            cost: self.rng.random_range(1_000..400_000),
            memory_mb: self.rng.random_range(0.0..500.0),
            key: (class == 2).then(|| OrderKey(format!("k{}", self.rng.random_range(0..5)))),
            group: GroupId(self.rng.random_range(0..6)),
            body: b"select 1".as_slice().into(),
        }
    }

    /// Performs the core's effects and checks them.
    fn apply_effects(&mut self) {
        while let Some(effect) = self.core.next_effect() {
            match effect {
                Effect::Launch(launch) => {
                    assert!(launch.deadline > self.now, "seed {}: sent after its deadline", self.seed);
                    assert!(launch.attempt.1 < 3, "seed {}: too many attempts", self.seed);
                    self.running.insert(launch.attempt, launch.deadline);
                }
                Effect::CancelAttempt(_, attempt) => {
                    let was_running = self.running.remove(&attempt);
                    assert!(was_running.is_some(), "seed {}: {attempt:?} is not running", self.seed);
                }
                Effect::Renice(_, attempt, priority) => {
                    let is_running = self.running.contains_key(&attempt);
                    assert!(
                        priority <= 3 && is_running,
                        "seed {}: {attempt:?}, priority {priority}",
                        self.seed
                    );
                }
                Effect::Answer(client, seqid, reply) => {
                    let unanswered = self.unanswered.remove(&(client, seqid));
                    let (_, due) = unanswered
                        .unwrap_or_else(|| panic!("seed {}: an answer to no open request", self.seed));
                    assert!(self.now <= due, "seed {}: an answer too late", self.seed);
                    let kind = match reply {
                        Reply::Served(result) => {
                            assert_eq!(result, RESULT, "seed {}", self.seed);
                            0
                        }
                        Reply::Refused(_) => 1,
                        Reply::Failed => 2,
                    };
                    self.answers[kind] += 1;
                }
                Effect::Probe(engine) => {
                    let ok = self.rng.random_bool(0.7);
                    self.core.probe_ended(self.now, engine, ok, Load::default());
                }
                Effect::Log(_) => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..8_000);
        // Like the host, wakes the core at the times that it asked for.
        while let Some(at) = self.core.next_wake().filter(|&at| at <= self.now) {
            let now = self.now;
            self.now = at;
            self.core.wake(at);
            self.apply_effects();
            self.now = now;
        }
        match self.rng.random_range(0..100) {
            0..35 => {
                let call = self.random_call();
                let (client, seqid) = (ClientId(self.rng.random_range(0..4)), self.next_request as i32);
                let due = self.now + call.wait;
                self.next_request += 1;
                self.unanswered.insert((client, seqid), (call.id, due));
                assert_eq!(self.core.submit(self.now, client, seqid, call.clone()), Admission::Accepted);
                if self.rng.random_bool(0.05) && self.core.has_request(client, seqid) {
                    let by_other_client = self.core.submit(self.now, ClientId(9), 1, call.clone());
                    assert_eq!(by_other_client, Admission::IdInUse, "seed {}", self.seed);
                    assert_eq!(
                        self.core.submit(self.now, client, -1, call),
                        Admission::OwnIdReused,
                        "seed {}",
                        self.seed
                    );
                }
            }
            35..90 => {
                let running: Vec<AttemptId> = self.running.keys().copied().collect();
                if !running.is_empty() {
                    let attempt = running[self.rng.random_range(0..running.len())];
                    self.running.remove(&attempt);
                    let outcome = match self.rng.random_range(0..20) {
                        0 => Outcome::Error,
                        1 => Outcome::Full,
                        2 => Outcome::Reset,
                        3 => Outcome::Broken,
                        4 => Outcome::ConnectFailed,
                        5 => Outcome::Moot,
                        _ => Outcome::Ok,
                    };
                    let work = (outcome == Outcome::Ok).then_some(50_000);
                    let result = RESULT.to_vec();
                    self.core.attempt_ended(
                        self.now,
                        attempt,
                        Completion { work, result, ..Completion::new(outcome) },
                    );
                }
            }
            90..96 => {
                let requests: Vec<_> = self.unanswered.keys().copied().collect();
                if let Some(&(client, seqid)) = requests.iter().min() {
                    self.unanswered.remove(&(client, seqid));
                    self.core.cancel_request(self.now, client, seqid);
                }
            }
            96 => {
                let client = ClientId(self.rng.random_range(0..4));
                self.unanswered.retain(|request, _| request.0 != client);
                self.core.client_disconnected(self.now, client);
            }
            _ => {
                let from = self.rng.random_range(0..5);
                let number = self.next_request as u32 + 1;
                self.core.update_engines(self.now, &list(number, from, 4), false);
            }
        }
        self.apply_effects();
    }
}

#[test]
fn each_request_gets_one_answer_in_time_and_leaves_no_state() {
    let mut totals = [0; 3];
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_200 {
            simulation.step();
        }
        // Without further events, timers alone answer the open requests and end the running attempts.
        let end = simulation.now + 30_000_000;
        while let Some(at) = simulation.core.next_wake().filter(|&at| at <= end) {
            simulation.now = simulation.now.max(at);
            simulation.core.wake(at);
            simulation.apply_effects();
        }
        let unanswered = &simulation.unanswered;
        assert!(unanswered.is_empty(), "seed {seed}: no answer to {unanswered:?}");
        let [requests, seqids, attempts, engines, _] = simulation.core.entry_counts();
        assert_eq!((requests, seqids, attempts, engines), (0, 0, 0, 4), "seed {seed}");
        let overdue = simulation.core.counts.overdue;
        assert_eq!(overdue, 0, "seed {seed}: the module left a request unanswered");
        totals.iter_mut().zip(simulation.answers).for_each(|(sum, n)| *sum += n);
    }
    // A request of any of these classes can be refused even if it may have run, so that none has to fail.
    assert!(totals[0] > 1_000 && totals[1] > 1_000 && totals[2] == 0, "{totals:?}");
}

#[test]
fn thousands_of_engines_and_requests_leave_no_state() {
    let mut simulation = Simulation::new(7);
    for round in 0..2_000 {
        let client = ClientId(round);
        simulation.now += 400_000;
        simulation.core.update_engines(simulation.now, &list(round as u32 + 2, round, 4), false);
        for _ in 0..5 {
            let call = simulation.random_call();
            let seqid = simulation.next_request as i32;
            simulation.next_request += 1;
            simulation.unanswered.insert((client, seqid), (call.id, simulation.now + call.wait));
            simulation.core.submit(simulation.now, client, seqid, call);
            simulation.apply_effects();
        }
        let running: Vec<AttemptId> = simulation.running.keys().copied().collect();
        for attempt in running {
            simulation.running.remove(&attempt);
            let completion = Completion { result: RESULT.to_vec(), ..Completion::new(Outcome::Ok) };
            simulation.core.attempt_ended(simulation.now, attempt, completion);
            simulation.apply_effects();
        }
        simulation.unanswered.retain(|request, _| request.0 != client);
        simulation.core.client_disconnected(simulation.now, client);
        simulation.core.wake(simulation.now);
        simulation.apply_effects();
    }
    let [requests, seqids, attempts, engines, timers] = simulation.core.entry_counts();
    assert_eq!((requests, seqids, attempts, engines), (0, 0, 0, 4));
    assert!(timers <= 2, "{timers} timers are left");
}

/// The module's deadline is earlier than the end of the client's wait, so that the answer still reaches the
/// client.
#[test]
fn a_request_that_no_engine_answers_ends_before_its_client_gives_up() {
    let mut simulation = Simulation::new(3);
    let call =
        Call { wait: 1_000_000, class: 0, idempotency_key: None, key: None, ..simulation.random_call() };
    let start = simulation.now;
    simulation.core.submit(start, ClientId(1), 1, call);
    let mut answered_at = None;
    while let (None, Some(at)) = (answered_at, simulation.core.next_wake()) {
        simulation.core.wake(at);
        while let Some(effect) = simulation.core.next_effect() {
            if let Effect::Answer(..) = effect {
                answered_at = Some(at);
            }
        }
    }
    let took = answered_at.expect("an answer") - start;
    assert!(took <= 1_000_000 - ANSWER_MARGIN_US + 2_000, "answered after {took} µs");
}

/// How long a request stays open that no engine answers, so that only its deadline ends it.
fn time_until_answer(change: impl FnOnce(&mut Call)) -> Micros {
    let mut simulation = Simulation::new(7);
    let mut call = simulation.random_call();
    change(&mut call);
    let submitted = simulation.now;
    assert_eq!(simulation.core.submit(submitted, ClientId(1), 1, call), Admission::Accepted);
    loop {
        while let Some(effect) = simulation.core.next_effect() {
            if matches!(effect, Effect::Answer(..)) {
                return simulation.now - submitted;
            }
        }
        let next = simulation.core.next_wake().expect("a timer while a request is open");
        simulation.now = next.max(simulation.now + 1);
        simulation.core.wake(simulation.now);
    }
}

/// A client may hold back a request with an order key, be it a first try or a retry, before sending it. The
/// core subtracts `client_delay` from the wait of such a request, but no more than a quarter of the longest
/// wait of its class. A request with no time left after that is answered at once.
#[test]
fn a_request_that_its_client_may_have_delayed_is_answered_before_the_client_gives_up() {
    let longest_wait = 9_000_000;
    for (wait, retry, keyed, most) in [
        (longest_wait, false, true, longest_wait - CLIENT_DELAY_US),
        (5_000_000, true, true, 5_000_000 - CLIENT_DELAY_US),
        (1_500_000, true, true, 0),
        (5_000_000, true, false, 5_000_000),
        (5_000_000, false, false, 5_000_000),
    ] {
        let answered = time_until_answer(|call| {
            (call.wait, call.longest_wait, call.retry, call.cost) = (wait, longest_wait, retry, 1_000);
            call.class = if keyed { 2 } else { 0 };
            call.key = keyed.then(|| OrderKey("k".into()));
            call.idempotency_key = keyed.then(|| "0123456789abcdef0123456789abcdef".into());
        });
        assert!(answered <= most, "{answered} µs of {most}: wait {wait}, retry {retry}, keyed {keyed}");
        assert!(answered + 10 * ANSWER_MARGIN_US > most, "{answered} µs of {most}: answered too early");
    }
    // In a class with a short longest wait, a quarter of that is less than `client_delay`.
    let answered = time_until_answer(|call| {
        (call.wait, call.longest_wait, call.class, call.cost) = (2_000_000, 2_000_000, 2, 1_000);
        (call.key, call.idempotency_key) = (Some(OrderKey("k".into())), Some("a".repeat(32)));
    });
    assert!((1_300_000..=1_500_000).contains(&answered), "{answered} µs of 2 s");
}
