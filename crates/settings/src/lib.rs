//! The settings that a gateway receives at its start, as JSON. The simulator's adapter and the gateway
//! program both decode them with this crate, so that they have the same meaning in both.
//!
//! ```
//! let text = r#"{"NInstances": 3, "Contract": {}, "Limits": {"AttemptsCap": 3},
//!     "Classes": [{"Name": "look", "AimUs": 1500000, "HardLimitUs": 7500000, "Effect": "repeatable"}]}"#;
//! let boot_info: violetward_settings::BootInfo = serde_json::from_str(text).unwrap();
//! let settings = boot_info.settings().unwrap();
//! assert_eq!((settings.gateways, settings.classes[0].latency_target), (3, 1_500_000));
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::Deserialize;
use violetward as vw;

/// The connect time-out if the settings give none.
const DEFAULT_CONNECT_TIMEOUT_US: vw::Micros = 250_000;

/// The settings as decoded from JSON. Fields are named after their keys; [`BootInfo::settings`] and
/// [`BootInfo::connections`] translate them.
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

/// The names of classes, kinds of machine, zones and tenants. The decision module refers to each by its
/// index.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Tenants; empty if the settings define none.
    pub tenants: Vec<String>,
}

/// Settings of the connections to engines and of answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// The largest number of concurrent attempts on one connection; at least 1.
    pub streams: usize,
    /// How long a connection may be idle before its engine closes it; 0 if unknown.
    pub idle_timeout: vw::Micros,
    /// How long establishing a connection may take.
    pub connect_timeout: vw::Micros,
    /// How long a probe may take.
    pub probe_timeout: vw::Micros,
    /// The largest number of concurrently open requests; 0 for no limit.
    pub open_cap: usize,
    /// How long after the client's deadline a final answer is still accepted.
    pub answer_grace: vw::Micros,
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The identifier of an engine, which is the same at every gateway: its packed IPv4 address and port, or the
/// FNV-1a hash of its name with the highest bit set, which no packed address has.
pub fn engine_id(name: &str) -> vw::EngineId {
    let packed =
        name.parse::<SocketAddrV4>().map(|a| u64::from(u32::from(*a.ip())) << 16 | u64::from(a.port()));
    let hashed = || {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        name.bytes().fold(FNV_OFFSET_BASIS, step) | 1 << 63
    };
    vw::EngineId(packed.unwrap_or_else(|_| hashed()))
}

/// Converts an engine's load report, which maps names to values. Values that it lacks are unknown.
pub fn load_from_stats(stats: &BTreeMap<String, f64>) -> vw::Load {
    let get = |name: &str| stats.get(name).copied();
    vw::Load { in_flight: get("concurrent"), cores: get("load_share"), memory: get("x0"), disks: get("x1") }
}

impl BootInfo {
    /// The names of classes, kinds, zones and tenants.
    pub fn names(&self) -> Names {
        Names {
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            kinds: self.machine_types.clone(),
            zones: self.zones.clone(),
            tenants: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        }
    }

    /// The settings of connections to engines.
    pub fn connections(&self) -> ConnectionSettings {
        let limits = &self.limits;
        let value_or = |value: u64, default: u64| if value > 0 { value } else { default };
        let connect_timeout = value_or(limits.connect_timeout_us, DEFAULT_CONNECT_TIMEOUT_US);
        ConnectionSettings {
            streams: limits.streams_per_conn.max(1),
            idle_timeout: limits.conn_idle_us,
            connect_timeout,
            probe_timeout: value_or(limits.probe_timeout_us, connect_timeout),
            open_cap: limits.open_cap,
            answer_grace: self.contract.grace_to_answer_us,
        }
    }

    /// The settings of the decision module.
    ///
    /// # Errors
    /// If the effect of a class is unknown; the message names it.
    pub fn settings(&self) -> Result<vw::Settings, String> {
        let family = &self.family_info;
        let (contract, limits) = (&self.contract, &self.limits);
        let kind_cores = family.size_cores.iter().enumerate();
        let memory_mb = |kind: usize| family.memory_by_kind_mb.get(kind).copied().unwrap_or(0.0);
        let classes = self.classes.iter().enumerate().map(|(index, class)| class.settings(index, family));
        let attempt_budget = |per_request: f64| vw::AttemptBudget {
            free: contract.extra_free.unwrap_or(0.0),
            per_request,
            window: contract.look_back_us.unwrap_or(0),
        };
        Ok(vw::Settings {
            own_id: vw::PeerId(self.me),
            gateways: self.n_instances,
            classes: classes.collect::<Result<_, _>>()?,
            kinds: kind_cores.map(|(kind, &cores)| vw::Kind { cores, memory_mb: memory_mb(kind) }).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| vw::Tenant { quota_per_s: tenant.quota_per_s })
                .collect(),
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
            budget: contract.extra_per_request.or(contract.extra_free.map(|_| 0.0)).map(attempt_budget),
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
    /// The class at `index`, with its values from the lists by class of `family`.
    fn settings(&self, index: usize, family: &FamilyInfo) -> Result<vw::Class, String> {
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
        let flag = |flags: &[bool]| flags.get(index).copied().unwrap_or(false);
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
            kinds: kinds.map(|kinds| kinds.iter().copied().map(vw::KindId).collect()),
            zones: zones.map(|zones| zones.iter().copied().map(vw::ZoneId).collect()),
            threads: family.width_by_class.get(index).copied().unwrap_or(1),
            is_load: flag(&family.loads),
            waits_for_loads: flag(&family.waits_for_loads),
        })
    }
}
