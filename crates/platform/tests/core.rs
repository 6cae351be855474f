//! Random histories of the core with the real module under a virtual clock: one answer each, in time, and nothing kept.

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

const MARGIN: Micros = 15_000;
const HELD: Micros = 2_000_000;

struct History {
    seed: u64,
    rng: StdRng,
    core: Core,
    terms: CoreConfig,
    config: Config,
    now: Micros,
    out: BTreeMap<AttemptId, Micros>,
    owed: HashMap<(ClientId, i32), (RequestId, Micros)>,
    next: u64,
    answers: [u32; 3],
}

/// Sends each request to one engine and remembers how long its attempts took.
struct Watcher(Rc<RefCell<Vec<Micros>>>);

impl Decide for Watcher {
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
fn what_an_attempt_waits_for_its_connection_is_no_time_of_its_engine() {
    let mut history = History::new(1);
    let (call, now) = (history.call(), history.now);
    let took = Rc::default();
    history.core = Core::new(Box::new(Watcher(Rc::clone(&took))), history.terms.clone(), now);
    history.core.update_engines(now, &list(1, 0, 1), true);
    let attempt = AttemptId(call.id, 0);
    let call = Call { wait: 5_000_000, ..call };
    assert_eq!(history.core.submit(now, ClientId(1), 1, call), Admission::Accepted);
    history.core.attempt_written(now + 200_000, attempt);
    history.core.attempt_ended(now + 230_000, attempt, Completion::new(Outcome::Ok));
    assert_eq!(*took.borrow(), [30_000]);
}

fn list(number: u32, from: u64, engines: u64) -> List {
    let address = |n: u64| format!("10.0.{}.{}:4100", n / 250 % 250, n % 250 + 1);
    let named: Vec<(String, String)> =
        (from..from + engines).map(|n| (format!("e-{n:08x}"), address(n))).collect();
    let named: Vec<(&str, String)> = named.iter().map(|(id, a)| (id.as_str(), a.clone())).collect();
    let config = config::parse(&bed::config("127.0.0.1:1", &named)).expect("a good configuration");
    let mut list = config.known.list(&config.names).expect("a good list");
    list.number = number;
    list
}

impl History {
    fn new(seed: u64) -> History {
        let config = config::parse(&bed::config("127.0.0.1:1", &[])).expect("a good configuration");
        let gateway = Gateway::new(config.settings.clone(), seed);
        let terms = CoreConfig {
            attempts_cap: 3,
            open_cap: 1_000,
            body_bytes_cap: 1 << 20,
            answer_margin: MARGIN,
            client_delay: HELD,
        };
        let now = 1_700_000_000_000_000;
        let mut core = Core::new(Box::new(gateway), terms.clone(), now);
        core.update_engines(now, &list(1, 0, 4), true);
        let rng = StdRng::seed_from_u64(seed);
        let (out, owed) = (BTreeMap::new(), HashMap::new());
        History { seed, rng, core, terms, config, now, out, owed, next: 1, answers: [0; 3] }
    }

    fn call(&mut self) -> Call {
        let class = [0, 0, 0, 1, 2][self.rng.random_range(0..5)];
        let give_up = self.config.settings.classes[class].client_timeout;
        Call {
            id: RequestId(self.next * 0x9e37_79b9),
            class,
            tenant: TenantId(0),
            wait: self.rng.random_range(give_up / 20..give_up),
            longest_wait: give_up,
            retry: self.rng.random_bool(0.1),
            dedup_window: (class == 2).then_some(9_000_000),
            idempotency_key: (class == 2).then(|| format!("{:032x}", self.next)),
            cost: self.rng.random_range(1_000..400_000),
            memory_mb: self.rng.random_range(0.0..500.0),
            key: (class == 2).then(|| OrderKey(format!("k{}", self.rng.random_range(0..5)))),
            group: GroupId(self.rng.random_range(0..6)),
            body: b"select 1".as_slice().into(),
        }
    }

    /// Carries out what the core asks for, and checks it.
    fn effects(&mut self) {
        while let Some(effect) = self.core.next_effect() {
            match effect {
                Effect::Launch(launch) => {
                    assert!(launch.deadline > self.now, "seed {}: sent when its time was up", self.seed);
                    assert!(launch.attempt.1 < 3, "seed {}: too many attempts", self.seed);
                    self.out.insert(launch.attempt, launch.deadline);
                }
                Effect::CancelAttempt(_, attempt) => {
                    let was = self.out.remove(&attempt);
                    assert!(was.is_some(), "seed {}: {attempt:?} was not out", self.seed);
                }
                Effect::Renice(_, attempt, rank) => {
                    assert!(rank <= 3 && self.out.contains_key(&attempt), "seed {}: {attempt:?}", self.seed);
                }
                Effect::Answer(client, seqid, verdict) => {
                    let owed = self.owed.remove(&(client, seqid));
                    let (_, due) = owed.unwrap_or_else(|| panic!("seed {}: an answer not owed", self.seed));
                    assert!(self.now <= due, "seed {}: an answer too late", self.seed);
                    let place = match verdict {
                        Reply::Served(result) => {
                            assert_eq!(result, b"a\tb\tc\n", "seed {}", self.seed);
                            0
                        }
                        Reply::Refused(_) => 1,
                        Reply::Failed => 2,
                    };
                    self.answers[place] += 1;
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
        // The host wakes the core when it has asked for it.
        while let Some(at) = self.core.next_wake().filter(|&at| at <= self.now) {
            let now = self.now;
            self.now = at;
            self.core.wake(at);
            self.effects();
            self.now = now;
        }
        match self.rng.random_range(0..100) {
            0..35 => {
                let call = self.call();
                let (client, seqid) = (ClientId(self.rng.random_range(0..4)), self.next as i32);
                let owed = (call.id, self.now + call.wait);
                self.next += 1;
                self.owed.insert((client, seqid), owed);
                assert_eq!(self.core.submit(self.now, client, seqid, call.clone()), Admission::Accepted);
                if self.rng.random_bool(0.05) && self.core.has_request(client, seqid) {
                    let again = self.core.submit(self.now, ClientId(9), 1, call.clone());
                    assert_eq!(again, Admission::IdInUse, "seed {}", self.seed);
                    assert_eq!(
                        self.core.submit(self.now, client, -1, call),
                        Admission::OwnIdReused,
                        "seed {}",
                        self.seed
                    );
                }
            }
            35..90 => {
                let out: Vec<AttemptId> = self.out.keys().copied().collect();
                if !out.is_empty() {
                    let attempt = out[self.rng.random_range(0..out.len())];
                    self.out.remove(&attempt);
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
                    let result = b"a\tb\tc\n".to_vec();
                    self.core.attempt_ended(
                        self.now,
                        attempt,
                        Completion { work, result, ..Completion::new(outcome) },
                    );
                }
            }
            90..96 => {
                let keys: Vec<_> = self.owed.keys().copied().collect();
                if let Some(&(client, seqid)) = keys.iter().min() {
                    self.owed.remove(&(client, seqid));
                    self.core.cancel_request(self.now, client, seqid);
                }
            }
            96 => {
                let client = ClientId(self.rng.random_range(0..4));
                self.owed.retain(|key, _| key.0 != client);
                self.core.client_disconnected(self.now, client);
            }
            _ => {
                let from = self.rng.random_range(0..5);
                let number = self.next as u32 + 1;
                self.core.update_engines(self.now, &list(number, from, 4), false);
            }
        }
        self.effects();
    }
}

#[test]
fn each_request_has_one_answer_in_time_and_nothing_stays() {
    let mut all = [0; 3];
    for seed in 0..60 {
        let mut history = History::new(seed);
        for _ in 0..1_200 {
            history.step();
        }
        // Everything ends by itself: answers by their time, attempts by theirs.
        let end = history.now + 30_000_000;
        while let Some(at) = history.core.next_wake().filter(|&at| at <= end) {
            history.now = history.now.max(at);
            history.core.wake(at);
            history.effects();
        }
        assert!(history.owed.is_empty(), "seed {seed}: {:?} without an answer", history.owed);
        let [open, numbers, attempts, engines, _] = history.core.entry_counts();
        assert_eq!((open, numbers, attempts, engines), (0, 0, 0, 4), "seed {seed}");
        assert_eq!(history.core.counts.overdue, 0, "seed {seed}: the module forgot a request");
        all.iter_mut().zip(history.answers).for_each(|(sum, n)| *sum += n);
    }
    // These classes can all be refused, whatever may have run: none has to fail.
    assert!(all[0] > 1_000 && all[1] > 1_000 && all[2] == 0, "{all:?}");
}

#[test]
fn thousands_of_engines_and_requests_come_and_go_and_nothing_stays() {
    let mut history = History::new(7);
    for turn in 0..2_000 {
        history.now += 400_000;
        history.core.update_engines(history.now, &list(turn as u32 + 2, turn, 4), false);
        for _ in 0..5 {
            let call = history.call();
            let seqid = history.next as i32;
            history.next += 1;
            history.owed.insert((ClientId(turn), seqid), (call.id, history.now + call.wait));
            history.core.submit(history.now, ClientId(turn), seqid, call);
            history.effects();
        }
        let out: Vec<AttemptId> = history.out.keys().copied().collect();
        for attempt in out {
            history.out.remove(&attempt);
            let ending = Completion { result: b"a\tb\tc\n".to_vec(), ..Completion::new(Outcome::Ok) };
            history.core.attempt_ended(history.now, attempt, ending);
            history.effects();
        }
        history.owed.retain(|key, _| key.0 != ClientId(turn));
        history.core.client_disconnected(history.now, ClientId(turn));
        history.core.wake(history.now);
        history.effects();
    }
    let [open, numbers, attempts, engines, timers] = history.core.entry_counts();
    assert_eq!((open, numbers, attempts, engines), (0, 0, 0, 4));
    assert!(timers <= 2, "{timers} timers are left");
}

/// The way of the answer to the client is kept free: the module is told less than the client's whole wait.
#[test]
fn a_request_that_no_engine_answers_is_ended_before_its_client_leaves() {
    let mut history = History::new(3);
    let call = Call { wait: 1_000_000, class: 0, idempotency_key: None, key: None, ..history.call() };
    let start = history.now;
    history.core.submit(start, ClientId(1), 1, call);
    let mut ended = None;
    while let (None, Some(at)) = (ended, history.core.next_wake()) {
        history.core.wake(at);
        while let Some(effect) = history.core.next_effect() {
            if let Effect::Answer(..) = effect {
                ended = Some(at);
            }
        }
    }
    let took = ended.expect("an answer") - start;
    assert!(took <= 1_000_000 - MARGIN + 2_000, "{took}");
}

/// How long a request is open whose engine never says a word, so that only its time ends it.
fn open_time(change: impl FnOnce(&mut Call)) -> Micros {
    let mut history = History::new(7);
    let mut call = history.call();
    change(&mut call);
    let came = history.now;
    assert_eq!(history.core.submit(came, ClientId(1), 1, call), Admission::Accepted);
    loop {
        while let Some(effect) = history.core.next_effect() {
            if matches!(effect, Effect::Answer(..)) {
                return history.now - came;
            }
        }
        let next = history.core.next_wake().expect("a timer while a request is open");
        history.now = next.max(history.now + 1);
        history.core.wake(history.now);
    }
}

/// A request with an order key, first try or further one, may have been held back by its client: as much of its wait as is
/// allowed for that is not used, a quarter of its class's longest wait at most, and no more. What has less left ends at once.
#[test]
fn a_request_that_may_have_been_held_back_is_answered_before_its_client_leaves() {
    let longest_wait = 9_000_000;
    for (wait, retry, keyed, most) in [
        (longest_wait, false, true, longest_wait - HELD),
        (5_000_000, true, true, 5_000_000 - HELD),
        (1_500_000, true, true, 0),
        (5_000_000, true, false, 5_000_000),
        (5_000_000, false, false, 5_000_000),
    ] {
        let answered = open_time(|call| {
            (call.wait, call.longest_wait, call.retry, call.cost) = (wait, longest_wait, retry, 1_000);
            call.class = if keyed { 2 } else { 0 };
            call.key = keyed.then(|| OrderKey("k".into()));
            call.idempotency_key = keyed.then(|| "0123456789abcdef0123456789abcdef".into());
        });
        assert!(answered <= most, "{answered} µs of {most}: wait {wait}, retry {retry}, keyed {keyed}");
        assert!(answered + 10 * MARGIN > most, "{answered} µs of {most}: time given away");
    }
    // Where a class's waits are short, less is allowed for: a quarter of them.
    let answered = open_time(|call| {
        (call.wait, call.longest_wait, call.class, call.cost) = (2_000_000, 2_000_000, 2, 1_000);
        (call.key, call.idempotency_key) = (Some(OrderKey("k".into())), Some("a".repeat(32)));
    });
    assert!((1_300_000..=1_500_000).contains(&answered), "{answered} µs of 2 s");
}
