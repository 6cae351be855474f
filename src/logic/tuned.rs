//! Tuned values.

use crate::api::Micros;

/// The tick; also how early before its deadline a waiting request is ended.
pub(super) const TICK: Micros = 20_000;
/// The tick while nothing waits in a line: it only watches attempts that are out.
pub(super) const WATCH: Micros = 60_000;
/// Weight of one sample in the averages of cost, slowness and use: about the last thirty.
pub(super) const SAMPLE: f64 = 0.03;
/// A sample of k counts at most this many times the class's k (or this part): one bad plan is no rule.
pub(super) const CLIP: f64 = 4.0;
/// Sample weight in the fleet's slowness, up to twice at small shares; the most that its best may be.
pub(super) const FLEET_SAMPLE: f64 = 0.1;
pub(super) const BEST_MOST: f64 = 1.5;
/// Bounds of the part of the fleet's bound that a query may find held and still start.
pub(super) const REACH: [f64; 2] = [0.5, 4.0];
/// Part of the share of the fleet's memory that may be granted before the fleet counts as full.
pub(super) const MEMORY_PART: f64 = 0.6;
/// How much a reported load of 1 weighs against own debt, how fast reports fade, and what "full" counts: no
/// session or no memory left, which reports need not tell of.
pub(super) const OTHERS: f64 = 2.0;
pub(super) const REPORT_FADES: f64 = 2e6;
pub(super) const FULL_LOAD: f64 = 10.0;
/// How much the price of crossing zones weighs in a choice, as a part of the worth at stake.
pub(super) const CROSSING: f64 = 10.0;
/// Random part of a choice where gateways are many: with the same news they would all choose the same.
pub(super) const SPREAD: f64 = 0.1;
/// As many samples of an engine weigh as much as the class's average over all engines.
pub(super) const LEAN: f64 = 20.0;
/// Threads for each core of the share at the start; cores stand idle while their query reads.
pub(super) const THREADS_PER_CORE: f64 = 1.7;
/// Slowness against the best seen under which the thread bound widens, and over which it is cut.
pub(super) const WIDEN_UNDER: f64 = 1.5;
pub(super) const CUT_OVER: f64 = 2.3;
/// One step of widening and of cutting, and the least time between two steps of an engine.
pub(super) const WIDEN: f64 = 1.1;
pub(super) const CUT: f64 = 0.9;
pub(super) const CUT_MOST: f64 = 0.6;
pub(super) const STEP_EVERY: Micros = 150_000;
/// How far this gateway's share of an idle fleet is lifted, and the reported load at which that ends.
pub(super) const LIFT: f64 = 1.0;
pub(super) const ROOM: f64 = 0.9;
/// How far the bound may be cut under its start, and how far it may pass one gateway's whole engine.
pub(super) const NARROWEST: f64 = 1.0;
pub(super) const WIDEST: f64 = 1.8;
/// Work that a group of tables costs more where it is not warm, in the choice of an engine.
pub(super) const COLD_READ: f64 = 0.35;
/// Engines that all gateways take for a group's homes, warm for it; what one read itself counts by its share.
pub(super) const HOMES: usize = 2;
/// Groups that an engine is thought to keep warm.
pub(super) const WARM_GROUPS: usize = 4;
/// Share of the debt that stays until answered: an engine that does not get on keeps it, for any reason.
pub(super) const STANDING: f64 = 0.5;
/// Drain share that a class keeps however seldom it comes.
pub(super) const LEAST_USE: f64 = 0.05;
/// An attempt is given up after this many times its usual time and a span; later where that frees nothing.
pub(super) const PATIENCE: f64 = 8.0;
pub(super) const PATIENCE_SPAN: Micros = 1_000_000;
pub(super) const STUBBORN: f64 = 2.0;
/// An attempt is overdue after this many times its usual time, and this span more.
pub(super) const OVERDUE: f64 = 3.0;
pub(super) const OVERDUE_SPAN: Micros = 700_000;
/// Where engines tell of attempts: silent after this many periods without a word.
pub(super) const NOTES_MISSED: f64 = 2.5;
/// A fresh attempt takes the place of one that has this many times the fresh one's time still to run.
pub(super) const RESTART: f64 = 4.0;
/// It is ended if even this part of the time that it still seems to need is more than its client waits.
pub(super) const HOPELESS: f64 = 0.6;
/// A gap between events as long as this is our own stall: what came meanwhile proves no silence.
pub(super) const STALL: Micros = 4 * WATCH;
/// Weight of one outcome in an engine's share of failures, and the share over which it is sick.
pub(super) const FAIL_SAMPLE: f64 = 0.2;
pub(super) const NO_CONNECTION: f64 = 0.5;
/// A connection that broke while its engine's process goes on tells more of the way there than of the engine.
pub(super) const BROKEN: f64 = 0.05;
pub(super) const FAIL_OVER: f64 = 0.35;
/// How much of its peers' share of failures an engine is granted: what all share condemns none.
pub(super) const FLEET_FAILS: f64 = 2.0;
/// Good trials in a row before a sick engine is well; the first wait for a trial, and the longest.
pub(super) const TRIALS: u32 = 3;
pub(super) const TRIAL_FIRST: Micros = 500_000;
pub(super) const TRIAL_LONGEST: Micros = 4_000_000;
/// How long an attempt may stay unanswered past its time before its record is dropped.
pub(super) const FORGET: Micros = 60_000_000;
/// The quantile of need against estimate that a memory grant covers; its start, a step, more at the first.
pub(super) const GRANT_QUANTILE: f64 = 0.9;
pub(super) const GRANT_START: f64 = 1.25;
pub(super) const GRANT_STEPS: [f64; 2] = [0.06, 0.3];
/// Part of the cold budget used: a window may touch two turns.
pub(super) const COLD_MARGIN: f64 = 0.5;
/// Variance of the work within a class, against the square of its mean; nothing tells it.
pub(super) const WORK_VARIANCE: f64 = 2.0;
/// How far a cold engine is thought to have warmed by the end of its span: how it gets there is not told.
pub(super) const COLD_RAMP: f64 = 0.5;
/// Power of worth for work against the average by which the backlog that a request may find shrinks.
pub(super) const PINCH: f64 = 2.0;
/// Depth of a bucket against what it drains in the time that a request has.
pub(super) const DEPTH: f64 = 2.5;
/// Worth for its work against the average that lifts a query one rank, and another.
pub(super) const RANKS: [f64; 2] = [0.5, 1.0];
/// Requests beyond their tenant's share find buckets of this depth against the usual.
pub(super) const OVER_SHARE_DEPTH: f64 = 0.25;
/// Seconds of a tenant's quota that may come at once.
pub(super) const QUOTA_BURST: f64 = 2.0;
/// Stand-in for a class's work while nothing is told or learned: this part of its aim, on each thread.
pub(super) const UNKNOWN_COST: f64 = 0.25;
