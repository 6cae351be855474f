//! The wire's messages and their translation to and from the interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetward as vw;
pub use violetward_settings::engine_id;
use violetward_settings::{load_from_stats, BootInfo};

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

fn request(job: &str) -> Result<vw::RequestId, String> {
    let id = u64::from_str_radix(job, 16).ok().filter(|&n| format!("{n:016x}") == job);
    id.map(vw::RequestId).ok_or_else(|| format!("Job: {job:?} is not 16 hex digits"))
}

fn job(id: vw::RequestId) -> String {
    format!("{:016x}", id.0)
}

pub fn engines(kind: ListKind, lines: &[Line]) -> vw::Event {
    let kind = match kind {
        ListKind::Incr => vw::ListKind::Changes,
        ListKind::Total => vw::ListKind::Whole,
        ListKind::WarmCopy => vw::ListKind::WarmCopy,
        ListKind::Lost => vw::ListKind::Lost,
    };
    let entry = |line: &Line| vw::EngineEntry {
        engine: engine_id(&line.node),
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
            has_dedup_key: true,
            pin: None,
            deadline: due_us,
        }),
        News::Lapsed { job } => vw::Event::Lapsed(request(&job)?),
        News::Streaming { job } => vw::Event::Streaming(request(&job)?),
        News::HealthResult { node, reason, server_stats } => vw::Event::Probed {
            engine: engine_id(&node),
            ok: reason == "ok",
            load: load_from_stats(&server_stats),
        },
        News::NoteFrom { neighbour, data } => {
            vw::Event::PeerMessage { from: vw::PeerId(neighbour), text: data }
        }
        News::Answer { job, send_no, reason, time_taken_us, complete, stats, server_stats } => {
            vw::Event::Answer(vw::Answer {
                id: request(&job)?,
                attempt: send_no,
                outcome: outcome(reason),
                took: time_taken_us,
                complete,
                work: (stats > 0).then_some((stats / 4096).saturating_mul(1000)),
                memory_mb: (stats > 0).then_some((stats % 4096 * 4) as f64),
                load: load_from_stats(&server_stats),
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
        vw::Action::Broadcast(text) => Output::Announce { dst: "all", data: text },
        vw::Action::Arm { handle, span } => Output::Arm { handle, span_us: span },
        vw::Action::Subscribe => Output::Tail { active: true },
        vw::Action::FetchList => Output::Lookup {},
        vw::Action::Log(text) => Output::NoteDown { reason_text: text },
    })
}
