//! The constants of the decisions.

use crate::api::Micros;

/// The time between two ticks while a request waits.
pub(super) const TICK_US: Micros = 20_000;
/// The time between two ticks while no request waits and only attempts in flight are watched. A waiting
/// request is also ended if its deadline is closer than this.
pub(super) const IDLE_TICK_US: Micros = 60_000;
/// The weight of a sample in the averages of cost, slowdown and demand: about the last thirty samples count.
pub(super) const SAMPLE_WEIGHT: f64 = 0.03;
/// A sample of a class's cost ratio is clipped to the ratio times or divided by this, so that one bad query
/// plan does not dominate the average.
pub(super) const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// The weight of a sample in the fleet's slowdown and mean load. For the slowdown it is up to twice as large
/// where this gateway's share is small.
pub(super) const FLEET_SAMPLE_WEIGHT: f64 = 0.1;
/// The upper limit of the best slowdown seen, and of the work per estimate assumed where work is not
/// reported.
pub(super) const MAX_BEST_SLOWDOWN: f64 = 1.5;
/// The lower and upper limit of the factor by which a query's worth density scales the fleet's limit.
pub(super) const FLEET_LIMIT_FACTORS: [f64; 2] = [0.5, 4.0];
/// The fraction of this gateway's share of memory that may be granted before the fleet counts as full.
pub(super) const FLEET_MEMORY_FRACTION: f64 = 0.6;
/// How much a reported load of 1 adds to the score of an engine, relative to its own debt.
pub(super) const REPORTED_LOAD_WEIGHT: f64 = 2.0;
/// The time constant with which a load report decays towards the mean load.
pub(super) const REPORT_DECAY_US: f64 = 2e6;
/// The load assumed of an engine that rejects requests, lacks memory or fails a probe, which its reports may
/// not show; also the upper limit of a reported load.
pub(super) const FULL_LOAD: f64 = 10.0;
/// The weight of the price of crossing zones in the choice of an engine, relative to the worth at stake.
pub(super) const CROSS_ZONE_WEIGHT: f64 = 10.0;
/// The random part of an engine's score: many gateways with the same information would all choose the same
/// engine.
pub(super) const RANDOM_SPREAD: f64 = 0.1;
/// The average over all engines counts as much as this many samples of a single engine.
pub(super) const PRIOR_SAMPLES: f64 = 20.0;
/// The initial value of the fleet's slowdown counts as much as this many samples.
pub(super) const FLEET_PRIOR_SAMPLES: f64 = 3.0;
/// The initial limit of threads for each core; more than 1 because cores idle while their query reads.
pub(super) const INITIAL_THREADS_PER_CORE: f64 = 1.7;
/// The thread limit is raised while the slowdown is below this multiple of the best seen.
pub(super) const RAISE_LIMIT_BELOW: f64 = 1.5;
/// The thread limit is cut while the slowdown is above this multiple of the best seen.
pub(super) const CUT_LIMIT_ABOVE: f64 = 2.3;
/// The factor of one raise of the thread limit.
pub(super) const LIMIT_RAISE_FACTOR: f64 = 1.1;
/// The bounds of the factor of one cut of the thread limit.
pub(super) const MAX_LIMIT_CUT_FACTOR: f64 = 0.9;
pub(super) const MIN_LIMIT_CUT_FACTOR: f64 = 0.6;
/// The shortest time between two changes of the same thread limit.
pub(super) const LIMIT_INTERVAL_US: Micros = 150_000;
/// How much this gateway's share grows on an idle fleet, as a fraction of the share.
pub(super) const MAX_SHARE_BOOST: f64 = 1.0;
/// The mean load from which the share does not grow any more.
pub(super) const SHARE_BOOST_END_LOAD: f64 = 0.9;
/// The bounds of the thread limit: the lower for each core of this gateway's share, the upper for each core
/// in total.
pub(super) const MIN_THREADS_PER_CORE: f64 = 1.0;
pub(super) const MAX_THREADS_PER_CORE: f64 = 1.8;
/// The extra cost of reading a group of tables that is not warm, as a fraction of the query's work.
pub(super) const COLD_READ_COST: f64 = 0.35;
/// The number of engines that all gateways choose as the homes of a group of tables and expect to be warm for
/// it.
pub(super) const HOME_ENGINES: usize = 2;
/// The number of groups of tables that an engine is assumed to keep warm.
pub(super) const WARM_GROUPS_PER_ENGINE: usize = 4;
/// The fraction of unfinished work that stays in the debt until it is answered: an engine that makes no
/// progress keeps its debt, for whatever reason. Also the fraction of the work in flight that is assumed to
/// be left.
pub(super) const UNFINISHED_DEBT_FRACTION: f64 = 0.5;
/// The smallest share of the drain that a class has, however rare its requests are.
pub(super) const MIN_DEMAND_SHARE: f64 = 0.05;
/// An attempt times out after this multiple of its expected duration plus a margin.
pub(super) const TIMEOUT_FACTOR: f64 = 8.0;
pub(super) const TIMEOUT_MARGIN_US: Micros = 1_000_000;
/// The factor on that time-out where attempts can't be cancelled, so that giving one up frees nothing.
pub(super) const NO_CANCEL_TIMEOUT_FACTOR: f64 = 2.0;
/// An attempt is overdue after this multiple of its expected duration plus a margin.
pub(super) const OVERDUE_FACTOR: f64 = 3.0;
pub(super) const OVERDUE_MARGIN_US: Micros = 700_000;
/// Where engines send notes, an engine is silent after this many note periods without a message.
pub(super) const MAX_MISSED_NOTES: f64 = 2.5;
/// An attempt is replaced if its remaining time exceeds this multiple of a new attempt's expected duration.
pub(super) const RESTART_FACTOR: f64 = 4.0;
/// A request is ended if this fraction of its attempt's estimated remaining time exceeds the time to its
/// deadline.
pub(super) const HOPELESS_FACTOR: f64 = 0.6;
/// A gap between events of this length means that this process stalled: that nothing arrived in it does not
/// show that an engine was silent.
pub(super) const STALL_US: Micros = 4 * IDLE_TICK_US;
/// The weight of one outcome in an engine's failure rate.
pub(super) const FAILURE_SAMPLE_WEIGHT: f64 = 0.2;
/// The weight of a failure to connect in an engine's failure rate.
pub(super) const CONNECT_FAILURE_WEIGHT: f64 = 0.5;
/// The weight of a broken connection to a live process in an engine's failure rate: smaller, because it is
/// more likely a fault of the network.
pub(super) const BROKEN_CONNECTION_WEIGHT: f64 = 0.05;
/// The failure rate above which an engine is quarantined while the other engines have no failures.
pub(super) const QUARANTINE_FAILURE_RATE: f64 = 0.35;
/// That limit grows by this multiple of the other engines' failure rate: a fault that all engines share
/// quarantines none.
pub(super) const FLEET_FAILURE_FACTOR: f64 = 2.0;
/// The number of successful trials in a row that end a quarantine.
pub(super) const TRIALS_TO_RECOVER: u32 = 3;
/// The time to the first trial, and the longest time between two trials.
pub(super) const FIRST_TRIAL_DELAY_US: Micros = 500_000;
pub(super) const MAX_TRIAL_DELAY_US: Micros = 4_000_000;
/// How long the record of an unanswered attempt is kept after its time-out.
pub(super) const UNANSWERED_RETENTION_US: Micros = 60_000_000;
/// The quantile of a class's memory need, relative to the estimate, that a grant covers.
pub(super) const GRANT_QUANTILE: f64 = 0.9;
/// The initial memory grant, relative to the estimate.
pub(super) const INITIAL_GRANT_RATIO: f64 = 1.25;
/// The step by which a sample moves the logarithm of that ratio, and the addition to it for the first sample,
/// which shrinks as samples come in.
pub(super) const GRANT_STEPS: [f64; 2] = [0.06, 0.3];
/// The fraction of a cold engine's budget that is used, because a window may overlap two turns.
pub(super) const COLD_BUDGET_FRACTION: f64 = 0.5;
/// The assumed variance of the work within a class, relative to the square of its mean; it is not reported.
pub(super) const RELATIVE_WORK_VARIANCE: f64 = 2.0;
/// The fraction of the missing capacity that a cold engine is assumed to gain during its cold span. How it
/// warms up is unknown.
pub(super) const COLD_WARM_UP_FRACTION: f64 = 0.5;
/// The exponent by which a worth density below the average shrinks the backlog in front of which a request is
/// admitted.
pub(super) const BACKLOG_EXPONENT: f64 = 2.0;
/// The depth of a class's debt bucket, relative to what drains from it in the time that the request has.
pub(super) const DEBT_DEPTH: f64 = 2.5;
/// The worth densities, relative to the average, from which a query's priority is one and two levels higher.
pub(super) const PRIORITY_DENSITIES: [f64; 2] = [0.5, 1.0];
/// The depth of the debt bucket for requests beyond their tenant's quota, relative to the usual depth.
pub(super) const OVER_QUOTA_DEPTH_FRACTION: f64 = 0.25;
/// The burst of a tenant's token bucket, in seconds of its quota.
pub(super) const QUOTA_BURST_S: f64 = 2.0;
/// The work assumed of a class without estimates, as a fraction of its latency target on each thread.
pub(super) const UNKNOWN_WORK_FRACTION: f64 = 0.25;
