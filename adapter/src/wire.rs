//! The JSON messages exchanged with the simulator, and their translation to events and from actions of the
//! `violetward` library. The simulator defines the names of messages and fields.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use violetward as vw;
pub use violetward_settings::engine_id;
use violetward_settings::{load_from_stats, BootInfo};

/// One input line: the events of all gateways at one time.
#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "AtTimeUs")]
    pub at_time_us: u64,
    pub gateways: Vec<GatewayInput>,
}

/// The events of one gateway, in order.
#[derive(Deserialize)]
pub struct GatewayInput {
    #[serde(rename = "I")]
    pub gateway: u64,
    #[serde(default, rename = "news")]
    pub events: Vec<InputEvent>,
}

/// How an `Endpoints` event applies its engine list.
#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListKind {
    /// The lines are the entries that have changed.
    Incr,
    /// The lines are the whole list.
    Total,
    /// The lines are a saved copy of the whole list, which may be out of date.
    WarmCopy,
    /// No list could be had; there are no lines.
    Lost,
}

/// An input event; the variant is the value of `cmd`.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all_fields = "PascalCase")]
pub enum InputEvent {
    /// Creates the gateway, in place of any earlier one with its number.
    Configure { init_seed: u64, boot_info: Box<BootInfo> },
    /// Removes the gateway.
    Teardown {},
    /// Stores an engine list under a buffer number, for later `Endpoints` events.
    List {
        #[serde(default)]
        buffer: u64,
        #[serde(default)]
        lines: Vec<EngineLine>,
    },
    /// Applies the list in a buffer to this gateway.
    Endpoints {
        #[serde(default)]
        buffer: u64,
        kind: ListKind,
        #[serde(default, rename = "Rev")]
        _rev: u64,
    },
    /// A client's request; see [`vw::Request`].
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
    /// The client has disconnected or its deadline has passed.
    Lapsed { job: String },
    /// A streamed answer has begun.
    Streaming { job: String },
    /// Progress of a running attempt; `what` is one of the `NOTE_` codes and gives `value` its meaning.
    Note {
        job: String,
        #[serde(default)]
        send_no: u32,
        #[serde(default)]
        value: f64,
        what: u32,
    },
    /// The result of a probe.
    HealthResult {
        node: String,
        reason: String,
        #[serde(default)]
        server_stats: BTreeMap<String, f64>,
    },
    /// A message from another gateway.
    NoteFrom {
        #[serde(default)]
        neighbour: u64,
        #[serde(default)]
        data: String,
    },
    /// The end of an attempt.
    Answer {
        job: String,
        #[serde(default)]
        send_no: u32,
        reason: Reason,
        #[serde(default)]
        time_taken_us: u64,
        #[serde(default)]
        complete: bool,
        /// Measured work and memory in one number; see [`unpack_stats`].
        #[serde(default)]
        stats: u64,
        #[serde(default)]
        server_stats: BTreeMap<String, f64>,
    },
    /// A timer has expired.
    Elapsed {
        #[serde(default)]
        handle: u64,
    },
}

/// How an attempt ended; see [`vw::Outcome`].
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

/// The state of an engine in the list; see [`vw::Listed`].
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    Up,
    Draining,
    Removed,
}

/// One engine of a list; see [`vw::EngineEntry`].
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EngineLine {
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

/// One output line: the outputs of all gateways that have any.
#[derive(Serialize)]
pub struct Reply {
    pub gateways: Vec<GatewayReply>,
}

/// The outputs of one gateway, in order.
#[derive(Serialize)]
pub struct GatewayReply {
    #[serde(rename = "I")]
    pub gateway: u64,
    pub output: Vec<Output>,
}

/// An output; the variant is the value of `cmd`.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all_fields = "PascalCase")]
pub enum Output {
    /// Send an attempt to an engine.
    Dispatch { job: String, node: String, until_us: u64 },
    /// Set the memory grant, in MB, and the priority of a request.
    GrantAndRank { job: String, memory: f64, rank: u8 },
    /// Refuse a request.
    Bounce { job: String, retry_after_us: u64 },
    /// Fail a request.
    Abort { job: String },
    /// Cancel an attempt.
    Cancel { job: String, send_no: u32 },
    /// Probe an engine.
    SoundOut { node: String },
    /// Send a message to other gateways.
    Announce { dst: &'static str, data: String },
    /// Set a timer.
    Arm { handle: u64, span_us: u64 },
    /// Subscribe to the list of engines.
    Tail { active: bool },
    /// Request the whole list of engines once.
    Lookup {},
    /// Write a line to the log.
    NoteDown { reason_text: String },
    /// The gateway panicked.
    Crash { reason_text: String },
}

/// `what` of a note: `value` is the fraction done.
const NOTE_PROGRESS: u32 = 1;
/// `what` of a note: `value` is the memory that the attempt lacks, in MB.
const NOTE_SPILL: u32 = 2;
/// `what` of a note: `value` is one of the `WAITS_FOR_` codes.
const NOTE_WAIT: u32 = 3;
const WAITS_FOR_MEMORY: u32 = 1;
const WAITS_FOR_LOAD: u32 = 2;

/// The number of memory values that `Stats` can hold beside the work.
const STATS_MEMORY_STEPS: u64 = 4096;
const STATS_MEMORY_STEP_MB: u64 = 4;
const STATS_WORK_STEP_US: u64 = 1000;

fn request_id(job: &str) -> Result<vw::RequestId, String> {
    let id = u64::from_str_radix(job, 16).ok().filter(|&n| format!("{n:016x}") == job);
    id.map(vw::RequestId).ok_or_else(|| format!("Job: {job:?} is not 16 hex digits"))
}

fn job(id: vw::RequestId) -> String {
    format!("{:016x}", id.0)
}

/// Splits `Stats` into the measured work and the memory in MB: the work in milliseconds times
/// [`STATS_MEMORY_STEPS`], plus the memory in steps of [`STATS_MEMORY_STEP_MB`]. 0 means that neither is
/// known.
fn unpack_stats(stats: u64) -> (Option<vw::Micros>, Option<f64>) {
    if stats == 0 {
        return (None, None);
    }
    let work = (stats / STATS_MEMORY_STEPS).saturating_mul(STATS_WORK_STEP_US);
    let memory_mb = (stats % STATS_MEMORY_STEPS * STATS_MEMORY_STEP_MB) as f64;
    (Some(work), Some(memory_mb))
}

/// Builds the event that applies an engine list to a gateway.
pub fn engines_event(kind: ListKind, lines: &[EngineLine]) -> vw::Event {
    let kind = match kind {
        ListKind::Incr => vw::ListKind::Changes,
        ListKind::Total => vw::ListKind::Whole,
        ListKind::WarmCopy => vw::ListKind::WarmCopy,
        ListKind::Lost => vw::ListKind::Lost,
    };
    let entry = |line: &EngineLine| vw::EngineEntry {
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

/// Translates an event that depends on no state of the adapter; `None` for a note of an unknown code. The
/// events that set up a gateway or its engine list depend on such state and are errors here.
pub fn stateless_event(event: InputEvent) -> Result<Option<vw::Event>, String> {
    Ok(Some(match event {
        InputEvent::Req {
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
            id: request_id(&job)?,
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
        InputEvent::Lapsed { job } => vw::Event::Lapsed(request_id(&job)?),
        InputEvent::Streaming { job } => vw::Event::Streaming(request_id(&job)?),
        InputEvent::HealthResult { node, reason, server_stats } => vw::Event::Probed {
            engine: engine_id(&node),
            ok: reason == "ok",
            load: load_from_stats(&server_stats),
        },
        InputEvent::NoteFrom { neighbour, data } => {
            vw::Event::PeerMessage { from: vw::PeerId(neighbour), text: data }
        }
        InputEvent::Answer { job, send_no, reason, time_taken_us, complete, stats, server_stats } => {
            let (work, memory_mb) = unpack_stats(stats);
            vw::Event::Answer(vw::Answer {
                id: request_id(&job)?,
                attempt: send_no,
                outcome: outcome(reason),
                took: time_taken_us,
                complete,
                work,
                memory_mb,
                load: load_from_stats(&server_stats),
            })
        }
        InputEvent::Elapsed { handle } => vw::Event::Elapsed(handle),
        InputEvent::Note { job, send_no, value, what } => {
            let note = match (what, value as u32) {
                (NOTE_PROGRESS, _) => vw::Note::Progress(value),
                (NOTE_SPILL, _) => vw::Note::Spills(value),
                (NOTE_WAIT, WAITS_FOR_MEMORY) => vw::Note::WaitsForMemory,
                (NOTE_WAIT, WAITS_FOR_LOAD) => vw::Note::WaitsForLoad,
                _ => return Ok(None),
            };
            vw::Event::Note { id: request_id(&job)?, attempt: send_no, note }
        }
        InputEvent::Configure { .. }
        | InputEvent::Teardown {}
        | InputEvent::List { .. }
        | InputEvent::Endpoints { .. } => {
            return Err("an event that sets up a gateway cannot be translated on its own".to_string())
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

/// Translates an action; `None` if it names an engine that is in no list so far.
pub fn output(action: vw::Action, addresses: &BTreeMap<vw::EngineId, String>) -> Option<Output> {
    Some(match action {
        vw::Action::Dispatch { id, engine, until } => {
            Output::Dispatch { job: job(id), node: addresses.get(&engine)?.clone(), until_us: until }
        }
        vw::Action::Terms { id, memory_mb, rank } => {
            Output::GrantAndRank { job: job(id), memory: memory_mb, rank }
        }
        vw::Action::Refuse { id, retry_after } => {
            Output::Bounce { job: job(id), retry_after_us: retry_after }
        }
        vw::Action::Fail(id) => Output::Abort { job: job(id) },
        vw::Action::Cancel { id, attempt } => Output::Cancel { job: job(id), send_no: attempt },
        vw::Action::Probe(engine) => Output::SoundOut { node: addresses.get(&engine)?.clone() },
        vw::Action::Broadcast(text) => Output::Announce { dst: "all", data: text },
        vw::Action::Arm { handle, span } => Output::Arm { handle, span_us: span },
        vw::Action::Subscribe => Output::Tail { active: true },
        vw::Action::FetchList => Output::Lookup {},
        vw::Action::Log(text) => Output::NoteDown { reason_text: text },
    })
}
