//! A gateway under test with a few engines: tests feed it events one at a time and set its clock.
// Each test file uses a part of these helpers.
#![allow(dead_code)]

use std::collections::BTreeMap;

use violetward::*;

pub const SECOND: Micros = 1_000_000;

/// A class of light requests with this effect, without order, placement limits or loads.
pub fn class(effect: Effect) -> Class {
    Class {
        latency_target: SECOND,
        target_stretch: 2.0,
        client_timeout: 6 * SECOND,
        worth: 1.0,
        late_worth: 0.5,
        effect,
        in_order: false,
        kinds: None,
        zones: None,
        threads: 1,
        is_load: false,
        waits_for_loads: false,
    }
}

/// Settings of a single gateway with one class, two equal kinds of machine, and neither tenants, probes nor a
/// budget.
pub fn settings(class: Class) -> Settings {
    Settings {
        own_id: PeerId(0),
        gateways: 1,
        classes: vec![class],
        kinds: vec![Kind { cores: 4.0, memory_mb: 8192.0 }; 2],
        tenants: vec![],
        over_share_worth: 1.0,
        grants: true,
        priorities: true,
        grant_cap: 0.4,
        memory_shortage: MemoryShortage::Queue,
        reports_cost: true,
        list_poll_interval: None,
        cold_capacity: 0.3,
        cold_span: 15 * SECOND,
        overload_multiple: 4.0,
        overload_span: SECOND,
        key_cooldown: 0,
        budget: None,
        attempts_cap: 3,
        may_cancel: true,
        may_duplicate: false,
        may_probe: false,
        peer_messages: false,
        max_retry_after: None,
        quantum: 5_000,
        zone: ZoneId(0),
        note_period: None,
        load_reports: LoadReports::WithAnswers,
        prices: Prices::default(),
    }
}

pub fn engine_entry(engine: u64) -> EngineEntry {
    EngineEntry {
        engine: EngineId(engine),
        came_up: 0,
        weight: 1.0,
        kind: KindId(0),
        zone: ZoneId(0),
        cell: CellId(0),
        listed: Listed::Up,
    }
}

/// A gateway with its clock and pending timers. Time starts at 100 s and passes only where a test says so.
pub struct TestGateway {
    gateway: Gateway,
    pub now: Micros,
    /// All actions since the start, with their times.
    pub history: Vec<(Micros, Action)>,
    /// Due time and handle of each armed timer.
    timers: Vec<(Micros, u64)>,
    /// Attempts dispatched so far, by request.
    attempts: BTreeMap<RequestId, u32>,
}

impl TestGateway {
    pub fn new(settings: Settings, entries: Vec<EngineEntry>) -> Self {
        TestGateway::seeded(settings, 1, entries)
    }

    /// A gateway with one class of this effect and the engines from 1 to `engines`.
    pub fn with_engines(effect: Effect, engines: u64) -> Self {
        TestGateway::new(settings(class(effect)), (1..=engines).map(engine_entry).collect())
    }

    pub fn seeded(settings: Settings, seed: u64, entries: Vec<EngineEntry>) -> Self {
        let mut gateway = TestGateway {
            gateway: Gateway::new(settings, seed),
            now: 100 * SECOND,
            history: vec![],
            timers: vec![],
            attempts: BTreeMap::new(),
        };
        gateway.handle(Event::Engines { kind: ListKind::WarmCopy, entries });
        gateway
    }

    /// Passes an event to the gateway now and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Arm { handle, span } => self.timers.push((self.now + span, *handle)),
                Action::Dispatch { id, .. } => *self.attempts.entry(*id).or_default() += 1,
                _ => {}
            }
            self.history.push((self.now, action.clone()));
        }
        actions
    }

    /// Moves the clock on by `span`, fires the timers that are due on the way and returns the actions of all
    /// of them.
    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((due, handle)) if due <= end => {
                    self.timers.remove(0);
                    self.now = due;
                    actions.extend(self.handle(Event::Elapsed(handle)));
                }
                _ => break,
            }
        }
        self.now = end;
        actions
    }

    /// Sends a request of 0.1 s of work whose client waits for 5 s.
    pub fn request(&mut self, id: u64) -> Vec<Action> {
        self.request_with(id, |_| {})
    }

    /// Sends a request like [`TestGateway::request`], changed by `change`.
    pub fn request_with(&mut self, id: u64, change: impl FnOnce(&mut Request)) -> Vec<Action> {
        let mut request = Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: TenantId(0),
            cost: 100_000,
            memory_mb: 64.0,
            group: GroupId(id % 3),
            key: None,
            is_retry: false,
            has_dedup_key: true,
            pin: None,
            deadline: self.now + 5 * SECOND,
        };
        change(&mut request);
        self.handle(Event::Request(request))
    }

    /// Ends the last attempt of a request with `outcome`, 0.1 s after it was sent.
    pub fn answer(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        let attempt = self.attempts.get(&RequestId(id)).map_or(0, |n| n - 1);
        let ok = outcome == Outcome::Ok;
        self.handle(Event::Answer(Answer {
            id: RequestId(id),
            attempt,
            outcome,
            took: 100_000,
            complete: ok,
            work: ok.then_some(100_000),
            memory_mb: ok.then_some(64.0),
            load: Load::default(),
        }))
    }

    /// All actions since the start.
    pub fn actions(&self) -> Vec<Action> {
        self.history.iter().map(|(_, action)| action.clone()).collect()
    }

    /// The log lines since the start.
    pub fn log_lines(&self) -> Vec<&str> {
        let lines = self.history.iter().filter_map(|(_, action)| match action {
            Action::Log(line) => Some(line.as_str()),
            _ => None,
        });
        lines.collect()
    }

    /// Whether a log line contains `text`.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log_lines().iter().any(|line| line.contains(text))
    }
}

/// The request and the engine of each dispatch.
pub fn dispatches(actions: &[Action]) -> Vec<(u64, u64)> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch { id, engine, .. } => Some((id.0, engine.0)),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

pub fn is_refused(actions: &[Action], id: u64) -> bool {
    let refuses = |action: &Action| matches!(action, Action::Refuse { id: refused, .. } if refused.0 == id);
    actions.iter().any(refuses)
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
