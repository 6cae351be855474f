//! The wire's messages and their translation to and from the interface.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use violetward as vw;

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "AtTimeUs")]
    pub at_time_us: u64,
    pub gateways: Vec<NewsOf>,
}

#[derive(Deserialize)]
pub struct NewsOf {
    #[serde(rename = "I")]
    pub i: u64,
    #[serde(default)]
    pub news: Vec<News>,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all_fields = "PascalCase")]
pub enum News {
    Configure {
        init_seed: u64,
        boot_info: Box<BootInfo>,
    },
    Teardown {},
    List {
        #[serde(default)]
        buffer: u64,
        #[serde(default)]
        lines: Vec<Line>,
    },
    Endpoints {
        #[serde(default)]
        buffer: u64,
        kind: ListKind,
        #[serde(default, rename = "Rev")]
        _rev: u64,
    },
    Req {
        job: String,
        #[serde(default)]
        client_group: usize,
        #[serde(default)]
        cost_us: u64,
        #[serde(default)]
        source_set: f64,
        #[serde(default)]
        is_retry: bool,
        order_key: Option<String>,
        #[serde(default)]
        mem_mb: f64,
        #[serde(default)]
        tier_class: usize,
        due_us: u64,
    },
    Lapsed {
        job: String,
    },
    Streaming {
        job: String,
    },
    Note {
        job: String,
        #[serde(default)]
        send_no: u32,
        #[serde(default)]
        value: f64,
        what: u32,
    },
    HealthResult {
        node: String,
        reason: String,
        #[serde(default)]
        server_stats: BTreeMap<String, f64>,
    },
    NoteFrom {
        #[serde(default)]
        neighbour: u64,
        #[serde(default)]
        data: String,
    },
    Answer {
        job: String,
        #[serde(default)]
        send_no: u32,
        reason: Reason,
        #[serde(default)]
        time_taken_us: u64,
        #[serde(default)]
        complete: bool,
        #[serde(default)]
        stats: u64,
        #[serde(default)]
        server_stats: BTreeMap<String, f64>,
    },
    Elapsed {
        #[serde(default)]
        handle: u64,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    Up,
    Draining,
    Removed,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Line {
    pub node: String,
    #[serde(default)]
    came_up_us: u64,
    #[serde(default)]
    power_hint: f64,
    #[serde(default)]
    model: usize,
    #[serde(default)]
    az: usize,
    #[serde(default)]
    cell: u64,
    health: Health,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct BootInfo {
    #[serde(default)]
    me: u64,
    n_instances: u32,
    classes: Vec<Class>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    over_share_worth: Option<f64>,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    discovery: String,
    contract: Contract,
    limits: Limits,
    #[serde(default)]
    quantum_us: u64,
    #[serde(default)]
    zone: usize,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    prices: Prices,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Report {
    how: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
    late_fail: f64,
    probe: f64,
    waste: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Class {
    aim_us: u64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    hard_limit_us: u64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_us: u64,
    #[serde(default)]
    fifo_by_key: bool,
    allowed_on: Option<Vec<usize>>,
    zones_allowed: Option<Vec<usize>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    grant_cap: f64,
    grants_count: bool,
    lanes_count: bool,
    loads: Vec<bool>,
    memory_by_kind_mb: Vec<f64>,
    note_period_us: u64,
    size_cores: Vec<f64>,
    tells_cost: bool,
    waits_for_loads: Vec<bool>,
    when_short: String,
    width_by_class: Vec<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Contract {
    #[serde(default)]
    ask_within_us: u64,
    #[serde(default)]
    cold_from: f64,
    #[serde(default)]
    cold_us: u64,
    #[serde(default)]
    extra_free: Option<f64>,
    extra_per_request: Option<f64>,
    look_back_us: Option<u64>,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default)]
    tip_after_us: u64,
    #[serde(default)]
    turn_gap_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    attempts_cap: u32,
    #[serde(default)]
    max_retry_after_us: u64,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Serialize)]
pub struct Reply {
    pub gateways: Vec<ReplyOf>,
}

#[derive(Serialize)]
pub struct ReplyOf {
    #[serde(rename = "I")]
    pub i: u64,
    pub output: Vec<Output>,
}

#[derive(Serialize)]
#[serde(tag = "cmd", rename_all_fields = "PascalCase")]
pub enum Output {
    Dispatch { job: String, node: String, until_us: u64 },
    GrantAndRank { job: String, memory: f64, rank: u8 },
    Bounce { job: String, retry_after_us: u64 },
    Abort { job: String },
    Cancel { job: String, send_no: u32 },
    SoundOut { node: String },
    Announce { dst: &'static str, data: String },
    Arm { handle: u64, span_us: u64 },
    Tail { active: bool },
    Lookup {},
    NoteDown { reason_text: String },
    Crash { reason_text: String },
}

/// The wire's address as a number that is the same at every gateway.
pub fn engine(node: &str) -> vw::EngineId {
    let packed =
        node.parse::<SocketAddrV4>().map(|a| u64::from(u32::from(*a.ip())) << 16 | u64::from(a.port()));
    let hashed = || {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
        node.bytes().fold(0xcbf2_9ce4_8422_2325, step) | 1 << 63
    };
    vw::EngineId(packed.unwrap_or_else(|_| hashed()))
}

fn request(job: &str) -> Result<vw::RequestId, String> {
    let id = u64::from_str_radix(job, 16).ok().filter(|&n| format!("{n:016x}") == job);
    id.map(vw::RequestId).ok_or_else(|| format!("Job: {job:?} is not 16 hex digits"))
}

fn job(id: vw::RequestId) -> String {
    format!("{:016x}", id.0)
}

fn load(stats: &BTreeMap<String, f64>) -> vw::Load {
    let get = |name: &str| stats.get(name).copied();
    vw::Load { in_flight: get("concurrent"), cores: get("load_share"), memory: get("x0"), disks: get("x1") }
}

pub fn engines(kind: ListKind, lines: &[Line]) -> vw::Event {
    let kind = match kind {
        ListKind::Incr => vw::ListKind::Changes,
        ListKind::Total => vw::ListKind::Whole,
        ListKind::WarmCopy => vw::ListKind::WarmCopy,
        ListKind::Lost => vw::ListKind::Lost,
    };
    let entry = |line: &Line| vw::EngineEntry {
        engine: engine(&line.node),
        came_up: line.came_up_us,
        weight: line.power_hint,
        kind: vw::KindId(line.model),
        zone: vw::ZoneId(line.az),
        cell: vw::CellId(line.cell),
        listed: match line.health {
            Health::Up => vw::Listed::Up,
            Health::Draining => vw::Listed::Draining,
            Health::Removed => vw::Listed::Removed,
        },
    };
    vw::Event::Engines { kind, entries: lines.iter().map(entry).collect() }
}

/// Translates an event that needs nothing but itself; `None` for one that the interface has no use for.
pub fn event(news: News) -> Result<Option<vw::Event>, String> {
    Ok(Some(match news {
        News::Req {
            job,
            client_group,
            cost_us,
            source_set,
            is_retry,
            order_key,
            mem_mb,
            tier_class,
            due_us,
        } => vw::Event::Request(vw::Request {
            id: request(&job)?,
            class: vw::ClassId(tier_class),
            tenant: vw::TenantId(client_group),
            cost: cost_us,
            memory_mb: mem_mb,
            group: vw::GroupId(source_set as u64),
            key: order_key.map(vw::OrderKey),
            is_retry,
            marked: true,
            pin: None,
            due: due_us,
        }),
        News::Lapsed { job } => vw::Event::Lapsed(request(&job)?),
        News::Streaming { job } => vw::Event::Streaming(request(&job)?),
        News::HealthResult { node, reason, server_stats } => {
            vw::Event::Probed { engine: engine(&node), ok: reason == "ok", load: load(&server_stats) }
        }
        News::NoteFrom { neighbour, data } => vw::Event::Heard { from: vw::PeerId(neighbour), text: data },
        News::Answer { job, send_no, reason, time_taken_us, complete, stats, server_stats } => {
            vw::Event::Answer(vw::Answer {
                id: request(&job)?,
                attempt: send_no,
                outcome: outcome(reason),
                took: time_taken_us,
                complete,
                work: (stats > 0).then_some((stats / 4096).saturating_mul(1000)),
                memory_mb: (stats > 0).then_some((stats % 4096 * 4) as f64),
                load: load(&server_stats),
            })
        }
        News::Elapsed { handle } => vw::Event::Elapsed(handle),
        News::Note { job, send_no, value, what } => {
            let note = match (what, value as u32) {
                (1, _) => vw::Note::Progress(value),
                (2, _) => vw::Note::Spills(value),
                (3, 1) => vw::Note::WaitsForMemory,
                (3, 2) => vw::Note::WaitsForLoad,
                _ => return Ok(None),
            };
            vw::Event::Note { id: request(&job)?, attempt: send_no, note }
        }
        News::Configure { .. } | News::Teardown {} | News::List { .. } | News::Endpoints { .. } => {
            return Err("event out of place".to_string())
        }
    }))
}

fn outcome(reason: Reason) -> vw::Outcome {
    match reason {
        Reason::Ok => vw::Outcome::Ok,
        Reason::Error => vw::Outcome::Error,
        Reason::Full => vw::Outcome::Full,
        Reason::Timeout => vw::Outcome::Timeout,
        Reason::ConnectFailed => vw::Outcome::ConnectFailed,
        Reason::Reset => vw::Outcome::Reset,
        Reason::Cancelled => vw::Outcome::Cancelled,
        Reason::Moot => vw::Outcome::Moot,
    }
}

/// Translates an action; `None` if it names an engine that the wire has not named.
pub fn output(action: vw::Action, nodes: &BTreeMap<vw::EngineId, String>) -> Option<Output> {
    Some(match action {
        vw::Action::Dispatch { id, engine, until } => {
            Output::Dispatch { job: job(id), node: nodes.get(&engine)?.clone(), until_us: until }
        }
        vw::Action::Terms { id, memory_mb, rank } => {
            Output::GrantAndRank { job: job(id), memory: memory_mb, rank }
        }
        vw::Action::Refuse { id, retry_after } => {
            Output::Bounce { job: job(id), retry_after_us: retry_after }
        }
        vw::Action::Fail(id) => Output::Abort { job: job(id) },
        vw::Action::Cancel { id, attempt } => Output::Cancel { job: job(id), send_no: attempt },
        vw::Action::Probe(engine) => Output::SoundOut { node: nodes.get(&engine)?.clone() },
        vw::Action::Tell(text) => Output::Announce { dst: "all", data: text },
        vw::Action::Arm { handle, span } => Output::Arm { handle, span_us: span },
        vw::Action::Subscribe => Output::Tail { active: true },
        vw::Action::FetchList => Output::Lookup {},
        vw::Action::Log(text) => Output::NoteDown { reason_text: text },
    })
}

impl BootInfo {
    pub fn settings(&self) -> Result<vw::Settings, String> {
        let family = &self.family_info;
        let (contract, limits) = (&self.contract, &self.limits);
        let cores = family.size_cores.iter().enumerate();
        let memory = |i: usize| family.memory_by_kind_mb.get(i).copied().unwrap_or(0.0);
        let classes = self.classes.iter().enumerate().map(|(i, class)| class.settings(i, family));
        let budget = |per_request: f64| vw::AttemptBudget {
            free: contract.extra_free.unwrap_or(0.0),
            per_request,
            window: contract.look_back_us.unwrap_or(0),
        };
        Ok(vw::Settings {
            me: vw::PeerId(self.me),
            gateways: self.n_instances,
            classes: classes.collect::<Result<_, _>>()?,
            kinds: cores.map(|(i, &cores)| vw::Kind { cores, memory_mb: memory(i) }).collect(),
            tenants: self.tenants.iter().map(|t| vw::Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            grants: family.grants_count,
            priorities: family.lanes_count,
            grant_cap: family.grant_cap,
            when_short: match family.when_short.as_str() {
                "cut" => vw::WhenShort::Cut,
                "overcommit" => vw::WhenShort::Overcommit,
                _ => vw::WhenShort::LineUp,
            },
            tells_cost: family.tells_cost,
            ask_within: (self.discovery == "on_request").then_some(contract.ask_within_us),
            cold_from: contract.cold_from,
            cold_span: contract.cold_us,
            fall_multiple: contract.fall_multiple,
            fall_span: contract.tip_after_us,
            key_rest: contract.turn_gap_us,
            budget: contract.extra_per_request.or(contract.extra_free.map(|_| 0.0)).map(budget),
            attempts_cap: limits.attempts_cap,
            may_cancel: limits.may_cancel,
            may_duplicate: limits.may_duplicate,
            may_probe: limits.probes,
            peer_messages: limits.peer_messages,
            retry_advice: limits.retry_after.then_some(limits.max_retry_after_us),
            quantum: self.quantum_us,
            zone: vw::ZoneId(self.zone),
            note_period: Some(family.note_period_us).filter(|&period| period > 0),
            load_reports: match self.report.how.as_str() {
                "answers" => vw::LoadReports::WithAnswers,
                "probe" => vw::LoadReports::WithProbes,
                _ => vw::LoadReports::None,
            },
            prices: vw::Prices {
                cross_zone: self.prices.cross_zone,
                waste: self.prices.waste,
                late_fail: self.prices.late_fail,
                probe: self.prices.probe,
            },
        })
    }
}

impl Class {
    fn settings(&self, place: usize, family: &FamilyInfo) -> Result<vw::Class, String> {
        let scope = match self.group.as_str() {
            "zone" => vw::KeyScope::Zone,
            "cell" => vw::KeyScope::Cell,
            _ => vw::KeyScope::All,
        };
        let effect = match self.effect.as_str() {
            "repeatable" => vw::Effect::Repeatable,
            "by_key" => vw::Effect::Keyed { scope, window: self.window_us },
            "once" => vw::Effect::Once,
            other => return Err(format!("Effect: {other:?} is not known")),
        };
        let flag = |flags: &[bool]| flags.get(place).copied().unwrap_or(false);
        let kinds = self.allowed_on.as_ref();
        let zones = self.zones_allowed.as_ref();
        Ok(vw::Class {
            aim: self.aim_us,
            aim_stretch: self.aim_stretch,
            give_up: self.hard_limit_us,
            worth: self.worth,
            late_worth: self.late_worth,
            effect,
            in_order: self.fifo_by_key,
            kinds: kinds.map(|k| k.iter().copied().map(vw::KindId).collect()),
            zones: zones.map(|z| z.iter().copied().map(vw::ZoneId).collect()),
            threads: family.width_by_class.get(place).copied().unwrap_or(1),
            is_load: flag(&family.loads),
            waits_for_loads: flag(&family.waits_for_loads),
        })
    }
}
