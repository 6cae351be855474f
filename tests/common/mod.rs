//! A gateway with a few engines, fed by hand.
#![allow(dead_code)]

use violetward::*;

pub const SECOND: Micros = 1_000_000;

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

pub fn entry(engine: u64) -> EngineEntry {
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

/// A gateway, its clock, what it last asked for and the timers it awaits.
pub struct Bed {
    pub gateway: Gateway,
    pub now: Micros,
    pub all: Vec<(Micros, Action)>,
    timers: Vec<(Micros, u64)>,
    attempts: std::collections::BTreeMap<RequestId, u32>,
}

impl Bed {
    pub fn new(settings: Settings, entries: Vec<EngineEntry>) -> Self {
        Bed::seeded(settings, 1, entries)
    }

    pub fn seeded(settings: Settings, seed: u64, entries: Vec<EngineEntry>) -> Self {
        let gateway = Gateway::new(settings, seed);
        let now = 100 * SECOND;
        let mut bed = Bed { gateway, now, all: vec![], timers: vec![], attempts: Default::default() };
        bed.feed(Event::Engines { kind: ListKind::WarmCopy, entries });
        bed
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        for action in &out {
            match action {
                Action::Arm { handle, span } => self.timers.push((self.now + span, *handle)),
                Action::Dispatch { id, .. } => *self.attempts.entry(*id).or_default() += 1,
                _ => {}
            }
            self.all.push((self.now, action.clone()));
        }
        out
    }

    /// Lets time pass; timers come when they are due.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut out = Vec::new();
        loop {
            self.timers.sort();
            match self.timers.first().copied() {
                Some((at, handle)) if at <= end => {
                    self.timers.remove(0);
                    self.now = at;
                    out.extend(self.feed(Event::Elapsed(handle)));
                }
                _ => break,
            }
        }
        self.now = end;
        out
    }

    pub fn ask(&mut self, id: u64) -> Vec<Action> {
        self.ask_with(id, |_| {})
    }

    pub fn ask_with(&mut self, id: u64, change: impl FnOnce(&mut Request)) -> Vec<Action> {
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
        self.feed(Event::Request(request))
    }

    /// Answers the last attempt of a request.
    pub fn answer(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        let attempt = self.attempts.get(&RequestId(id)).map_or(0, |n| n - 1);
        let ok = outcome == Outcome::Ok;
        self.feed(Event::Answer(Answer {
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
}

pub fn sent(actions: &[Action]) -> Vec<(u64, u64)> {
    let pick = |a: &Action| match a {
        Action::Dispatch { id, engine, .. } => Some((id.0, engine.0)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: RequestId(r), .. } if *r == id))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
