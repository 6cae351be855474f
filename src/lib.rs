//! violetward makes the decisions of a query gateway: which requests to admit, to which engine to send them
//! and how much memory to grant.
//!
//! It has no input or output of its own. The host owns the clock, the network and the timers; it passes each
//! [`Event`] with the time to [`Gateway::handle`] and carries out the [`Action`]s in order.
//!
//! ```
//! use violetward::*;
//!
//! let settings = Settings {
//!     own_id: PeerId(0),
//!     gateways: 1,
//!     classes: vec![Class {
//!         latency_target: 1_000_000,
//!         target_stretch: 2.0,
//!         client_timeout: 5_000_000,
//!         worth: 1.0,
//!         late_worth: 0.0,
//!         effect: Effect::Repeatable,
//!         in_order: false,
//!         kinds: None,
//!         zones: None,
//!         threads: 1,
//!         is_load: false,
//!         waits_for_loads: false,
//!     }],
//!     kinds: vec![Kind { cores: 8.0, memory_mb: 16384.0 }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     grants: true,
//!     priorities: false,
//!     grant_cap: 0.4,
//!     memory_shortage: MemoryShortage::Queue,
//!     reports_cost: true,
//!     list_poll_interval: None,
//!     cold_capacity: 0.3,
//!     cold_span: 15_000_000,
//!     overload_multiple: 4.0,
//!     overload_span: 1_500_000,
//!     key_cooldown: 0,
//!     budget: None,
//!     attempts_cap: 3,
//!     may_cancel: true,
//!     may_duplicate: false,
//!     may_probe: true,
//!     peer_messages: false,
//!     max_retry_after: None,
//!     quantum: 5_000,
//!     zone: ZoneId(0),
//!     note_period: None,
//!     load_reports: LoadReports::WithAnswers,
//!     prices: Prices::default(),
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let entry = EngineEntry {
//!     engine: EngineId(1),
//!     came_up: 0,
//!     weight: 1.0,
//!     kind: KindId(0),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     listed: Listed::Up,
//! };
//! gateway.handle(0, Event::Engines { kind: ListKind::Whole, entries: vec![entry] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     cost: 100_000,
//!     memory_mb: 64.0,
//!     group: GroupId(3),
//!     key: None,
//!     is_retry: false,
//!     has_dedup_key: true,
//!     pin: None,
//!     deadline: 5_000_000,
//! };
//! gateway.handle(10, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Dispatch { engine: EngineId(1), .. })));
//! ```
//!
//! # The contract
//!
//! - **Time** comes from the host and is monotonic; a time before the last one counts as the last one.
//! - **Order**: events are passed in the order in which they arrive, actions are carried out in the order
//!   listed.
//! - **Timers**: each [`Action::Arm`] comes back once as [`Event::Elapsed`], possibly late but never early.
//! - **End of a request**: a request is over after [`Action::Refuse`], [`Action::Fail`], [`Event::Lapsed`] or
//!   an [`Answer`] with `complete`. Attempts still in flight get their [`Answer`] nonetheless.
//! - **Reports**: the host passes on what engines report, as it is and however late: [`Event::Note`] for an
//!   attempt in flight, [`Load`] for an engine. Missing values are `None`; implausible values and notes on
//!   unknown attempts are harmless.
//! - **Determinism**: the same settings, seed and events give the same actions.
//! - **Unknown ids**: events on requests, attempts or engines that are unknown or over are ignored, and so
//!   are repeated events.

mod api;
mod logic;
mod state;

pub use api::*;
pub use state::Gateway;

/// A decision module. In production it is always [`Gateway`]. Experiments substitute a baseline, to run the
/// same load through the same host with other decisions.
pub trait Decide {
    /// Decides on one event as [`Gateway::handle`] does.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);

    /// The engines that get no requests because they seem faulty; none if the module does not track that.
    fn quarantined_engines(&self) -> Vec<EngineId> {
        Vec::new()
    }
}

impl Decide for Gateway {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Gateway::handle(self, now, event, out);
    }

    fn quarantined_engines(&self) -> Vec<EngineId> {
        self.engines.iter().filter(|(_, e)| e.quarantine.is_some()).map(|(id, _)| *id).collect()
    }
}
