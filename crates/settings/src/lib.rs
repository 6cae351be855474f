//! The settings that a gateway gets at its start, as the interface has them: read from their JSON by the simulator's
//! adapter and by the program in service alike, so that both mean the same.
//!
//! ```
//! let text = r#"{"NInstances": 3, "Contract": {}, "Limits": {"AttemptsCap": 3},
//!     "Classes": [{"Name": "look", "AimUs": 1500000, "HardLimitUs": 7500000, "Effect": "repeatable"}]}"#;
//! let info: violetward_settings::BootInfo = serde_json::from_str(text).unwrap();
//! let settings = info.settings().unwrap();
//! assert_eq!((settings.gateways, settings.classes[0].latency_target), (3, 1_500_000));
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::Deserialize;
use violetward as vw;

/// Where the settings do not tell how long a connection may take to come up.
const CONNECT_TIMEOUT: vw::Micros = 250_000;

/// The settings as their JSON has them.
#[derive(Debug, Clone, Deserialize)]
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
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Report {
    how: String,
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
    late_fail: f64,
    probe: f64,
    waste: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Class {
    #[serde(default)]
    name: String,
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

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Debug, Clone, Deserialize, Default)]
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

#[derive(Debug, Clone, Deserialize)]
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
    #[serde(default)]
    grace_to_answer_us: u64,
    extra_per_request: Option<f64>,
    look_back_us: Option<u64>,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default)]
    tip_after_us: u64,
    #[serde(default)]
    turn_gap_us: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    attempts_cap: u32,
    #[serde(default)]
    conn_idle_us: u64,
    #[serde(default)]
    connect_timeout_us: u64,
    #[serde(default)]
    probe_timeout_us: u64,
    #[serde(default)]
    streams_per_conn: usize,
    #[serde(default)]
    open_cap: usize,
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

/// The names behind the numbers of the interface, in the order of those numbers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Tenants; none where the settings define none.
    pub tenants: Vec<String>,
}

/// What the settings say of connections to engines, and of answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Connections {
    /// Attempts that one connection carries at a time; at least 1.
    pub streams: usize,
    /// Engines close a connection that has been idle for so long; 0 if not told.
    pub idle_timeout: vw::Micros,
    /// A connection that is not up within this span has failed.
    pub connect_timeout: vw::Micros,
    /// A probe without an answer within this span has failed.
    pub probe_timeout: vw::Micros,
    /// Requests that may be open at a time; 0 if not told.
    pub open_cap: usize,
    /// How long after the client's deadline a final answer still counts.
    pub answer_grace: vw::Micros,
}

/// An engine's address or name as a number that is the same at every gateway.
pub fn engine_id(node: &str) -> vw::EngineId {
    let packed =
        node.parse::<SocketAddrV4>().map(|a| u64::from(u32::from(*a.ip())) << 16 | u64::from(a.port()));
    let hashed = || {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
        node.bytes().fold(0xcbf2_9ce4_8422_2325, step) | 1 << 63
    };
    vw::EngineId(packed.unwrap_or_else(|_| hashed()))
}

/// An engine's load report, value by name; what it lacks stays unknown.
pub fn load_from_stats(stats: &BTreeMap<String, f64>) -> vw::Load {
    let get = |name: &str| stats.get(name).copied();
    vw::Load { in_flight: get("concurrent"), cores: get("load_share"), memory: get("x0"), disks: get("x1") }
}

impl BootInfo {
    /// The names behind numbers.
    pub fn names(&self) -> Names {
        Names {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            kinds: self.machine_types.clone(),
            zones: self.zones.clone(),
            tenants: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        }
    }

    /// What is said of connections.
    pub fn connections(&self) -> Connections {
        let limits = &self.limits;
        let or = |told: u64, other: u64| if told > 0 { told } else { other };
        let connect_timeout = or(limits.connect_timeout_us, CONNECT_TIMEOUT);
        Connections {
            streams: limits.streams_per_conn.max(1),
            idle_timeout: limits.conn_idle_us,
            connect_timeout,
            probe_timeout: or(limits.probe_timeout_us, connect_timeout),
            open_cap: limits.open_cap,
            answer_grace: self.contract.grace_to_answer_us,
        }
    }

    /// The settings of the decision module.
    ///
    /// # Errors
    /// Names an effect that is not known.
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
            own_id: vw::PeerId(self.me),
            gateways: self.n_instances,
            classes: classes.collect::<Result<_, _>>()?,
            kinds: cores.map(|(i, &cores)| vw::Kind { cores, memory_mb: memory(i) }).collect(),
            tenants: self.tenants.iter().map(|t| vw::Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            grants: family.grants_count,
            priorities: family.lanes_count,
            grant_cap: family.grant_cap,
            memory_shortage: match family.when_short.as_str() {
                "cut" => vw::MemoryShortage::Reduce,
                "overcommit" => vw::MemoryShortage::Overcommit,
                _ => vw::MemoryShortage::Queue,
            },
            reports_cost: family.tells_cost,
            list_poll_interval: (self.discovery == "on_request").then_some(contract.ask_within_us),
            cold_capacity: contract.cold_from,
            cold_span: contract.cold_us,
            overload_multiple: contract.fall_multiple,
            overload_span: contract.tip_after_us,
            key_cooldown: contract.turn_gap_us,
            budget: contract.extra_per_request.or(contract.extra_free.map(|_| 0.0)).map(budget),
            attempts_cap: limits.attempts_cap,
            may_cancel: limits.may_cancel,
            may_duplicate: limits.may_duplicate,
            may_probe: limits.probes,
            peer_messages: limits.peer_messages,
            max_retry_after: limits.retry_after.then_some(limits.max_retry_after_us),
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
            latency_target: self.aim_us,
            target_stretch: self.aim_stretch,
            client_timeout: self.hard_limit_us,
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
