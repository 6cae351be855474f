//! Cold engines under the load of a whole fleet. A cold engine becomes overloaded by the sum of what all
//! gateways send, so these tests compare that sum, in every sliding window, with the limit that follows from
//! the settings: at 5, 30 and 300 gateways with uneven traffic, restarts and late engine lists.

mod common;
mod fleet;

use fleet::*;
use violetward::*;

/// Measurements of one run, over all its cold engines. A window is one overload span; its limit is the number
/// of requests of mean work that a cold engine may get in it.
#[derive(Default)]
struct Measurements {
    /// The largest load of a window as a multiple of its limit, each request counted by the mean work of its
    /// class.
    peak: f64,
    /// The same, each request counted by its true work.
    peak_by_work: f64,
    /// The same, each request counted as one.
    peak_by_count: f64,
    /// The largest excess of a window, in requests of mean work, over its limit and the margin for chance;
    /// negative if no window exceeds them.
    excess: f64,
    /// The same over windows of which more than two thirds came from gateways whose list had reported the
    /// start.
    excess_notified: f64,
    /// Load of all cold engines as a fraction of what their limit allowed.
    utilization: f64,
    /// Fraction of all requests that were served.
    served: f64,
}

/// The margin over a limit that is put down to chance, in requests of mean work.
fn chance_margin(limit: f64) -> f64 {
    2.0 * limit.sqrt() + 2.0
}

fn measure(scenario: &Scenario) -> Measurements {
    let fleet = Fleet::run(scenario.clone());
    let window_span = scenario.settings.overload_span;
    let mut result = Measurements { excess: f64::MIN, excess_notified: f64::MIN, ..Measurements::default() };
    result.served = fleet.served as f64 / fleet.requested as f64;
    let (mut sent, mut allowed) = (0.0, 0.0);
    for run in fleet.cold_runs.iter().filter(|run| run.ended > run.started) {
        sent += run.arrivals.iter().map(|a| a.class_work).sum::<f64>();
        let middle = (run.ended - run.started) / 2;
        allowed += scenario.cold_limit(middle) * (run.ended - run.started) as f64 / window_span as f64;
        let mut first = 0;
        for (last, arrival) in run.arrivals.iter().enumerate() {
            while run.arrivals[first].at + window_span <= arrival.at {
                first += 1;
            }
            let window = &run.arrivals[first..=last];
            let load: f64 = window.iter().map(|a| a.class_work).sum();
            let was_notified =
                |a: &&Arrival| run.notified.get(&a.gateway).is_some_and(|&at| at <= arrival.at);
            let notified_load: f64 = window.iter().filter(was_notified).map(|a| a.class_work).sum();
            // The limit at the start of the window, which is its lowest.
            let limit =
                scenario.cold_limit(arrival.at.saturating_sub(window_span).saturating_sub(run.started));
            let excess = load - limit - chance_margin(limit);
            let work: f64 = window.iter().map(|a| a.work).sum();
            result.peak = result.peak.max(load / limit);
            result.peak_by_work = result.peak_by_work.max(work / limit);
            result.peak_by_count = result.peak_by_count.max(window.len() as f64 / limit);
            result.excess = result.excess.max(excess);
            if notified_load > load * 2.0 / 3.0 {
                result.excess_notified = result.excess_notified.max(excess);
            }
        }
    }
    result.utilization = sent / allowed;
    result
}

fn settings(gateways: u32) -> Settings {
    let class = |latency_target: Micros, client_timeout: Micros, worth: f64, threads: u32| Class {
        latency_target,
        client_timeout,
        worth,
        threads,
        ..common::class(Effect::Repeatable)
    };
    Settings {
        gateways,
        classes: vec![
            class(600 * MILLISECOND, 3 * SECOND, 1.0, 1),
            class(800 * MILLISECOND, 6 * SECOND, 6.0, 1),
            class(1600 * MILLISECOND, 9 * SECOND, 6.0, 1),
        ],
        kinds: vec![Kind { cores: 8.0, memory_mb: 16_384.0 }],
        cold_capacity: 0.31,
        cold_span: 15 * SECOND,
        overload_multiple: 4.0,
        overload_span: 1_500 * MILLISECOND,
        budget: Some(AttemptBudget { free: 5.0, per_request: 0.1, window: 5 * SECOND }),
        may_probe: true,
        ..common::settings(common::class(Effect::Repeatable))
    }
}

/// Light lookups, reports and loads, whose work varies widely and whose estimates are wrong by the class's
/// bias. `scale` multiplies the work of all.
fn traffic(scale: f64) -> Vec<Traffic> {
    let class = |share, mean_work: f64, log_std_dev, estimate_bias| Traffic {
        share,
        mean_work: mean_work * scale,
        log_std_dev,
        estimate_bias,
    };
    vec![class(0.55, 30e3, 0.7, 0.4), class(0.30, 250e3, 1.0, 2.0), class(0.15, 400e3, 0.8, 0.5)]
}

/// What determines the limit of cold engines and how hard gateways press against it.
struct LoadProfile {
    name: &'static str,
    overload_multiple: f64,
    /// Factor on the work of [`traffic`].
    work_scale: f64,
    /// Traffic as a multiple of the capacity that the fleet has when warm.
    load: f64,
}

/// A limit of about 100 requests of mean work per overload span, under a usual load.
const USUAL_LOAD: LoadProfile =
    LoadProfile { name: "usual", overload_multiple: 4.0, work_scale: 1.0, load: 0.9 };
/// A limit of about 50 requests, under a load far above it.
const HIGH_LOAD: LoadProfile =
    LoadProfile { name: "high", overload_multiple: 2.0, work_scale: 1.0, load: 2.5 };
/// A limit of about 12 requests, under a load far above it.
const HIGH_LOAD_OF_HEAVY_QUERIES: LoadProfile =
    LoadProfile { name: "heavy", overload_multiple: 2.0, work_scale: 4.0, load: 2.5 };

const ENGINES: u64 = 10;

/// Events of a scenario, each with its time since the start.
type Events = Vec<(Micros, ScenarioEvent)>;

fn scenario(gateways: u32, profile: &LoadProfile, seed: u64, events: Events) -> Scenario {
    Scenario {
        seed,
        settings: Settings { overload_multiple: profile.overload_multiple, ..settings(gateways) },
        traffic: traffic(profile.work_scale),
        engine_count: ENGINES,
        load: profile.load,
        duration: 9 * SECOND,
        list_delay: (300 * MILLISECOND, 1_700 * MILLISECOND),
        events,
    }
}

/// Replaces engine `index + 1`.
fn replace_engine(index: u64) -> ScenarioEvent {
    ScenarioEvent::ReplaceEngines { engines: index + 1..index + 2 }
}

/// All engines stop at once and restart cold a second later.
fn restart_of_all_engines() -> Events {
    vec![(2 * SECOND, ScenarioEvent::RestartEngines { engines: 1..ENGINES + 1, downtime: SECOND })]
}

/// All engines are replaced one after another.
fn replacement_of_all_engines() -> Events {
    (0..ENGINES).map(|n| (2 * SECOND + n * 300 * MILLISECOND, replace_engine(n))).collect()
}

/// Six of ten engines are replaced within 3 s, followed by a burst of traffic.
fn replacement_under_burst() -> Events {
    let replacements = (0..6).map(|n| (3 * SECOND + n * 580 * MILLISECOND, replace_engine(n)));
    let burst = [(6 * SECOND, ScenarioEvent::SetLoad(1.4)), (9 * SECOND, ScenarioEvent::SetLoad(0.9))];
    replacements.chain(burst).collect()
}

/// Half of the engines are replaced in steps while the gateways are restarted, a tenth at a time.
fn rolling_restart_of_gateways(gateways: usize) -> Events {
    let replacements = (0..5).map(|n| (3 * SECOND + n * SECOND, replace_engine(n)));
    let tenth = |n: usize| n * gateways / 10..(n + 1) * gateways / 10;
    let restart =
        |n: usize| ScenarioEvent::RestartGateways { gateways: tenth(n), downtime: 400 * MILLISECOND };
    let restarts = (0..10).map(|n| (4 * SECOND + n as u64 * SECOND, restart(n)));
    replacements.chain(restarts).collect()
}

/// Seven of ten gateways are killed at once while engines are cold at different ages.
fn simultaneous_restart_of_gateways(gateways: usize) -> Events {
    let replacements = (0..4).map(|n| (3 * SECOND + n * SECOND, replace_engine(n)));
    let restart = |downtime| ScenarioEvent::RestartGateways { gateways: 0..gateways * 7 / 10, downtime };
    let restarts =
        [(6_700 * MILLISECOND, restart(300 * MILLISECOND)), (11 * SECOND, restart(900 * MILLISECOND))];
    replacements.chain(restarts).collect()
}

/// Three of ten engines stop at once and restart cold under their ids, before the lists report it.
fn restart_of_a_zone() -> Events {
    vec![
        (4 * SECOND, ScenarioEvent::SetLoad(1.2)),
        (3 * SECOND, ScenarioEvent::RestartEngines { engines: 1..4, downtime: 3 * SECOND }),
    ]
}

/// Lists that lack cold engines alternate with complete ones.
fn incomplete_lists() -> Events {
    let replacement = [(3 * SECOND, ScenarioEvent::ReplaceEngines { engines: 1..4 })];
    let omission = |n: u64| ScenarioEvent::OmitFromList {
        engines: 1 + REPLACEMENT_ID_OFFSET..4 + REPLACEMENT_ID_OFFSET,
        restored_after: 100 * MILLISECOND * n,
    };
    let omissions = (1..5).map(|n| (4 * SECOND + n * 1_300 * MILLISECOND, omission(n)));
    replacement.into_iter().chain(omissions).collect()
}

fn all_events(gateways: usize) -> [(&'static str, Events); 7] {
    [
        ("restart of all engines", restart_of_all_engines()),
        ("replacement of all engines", replacement_of_all_engines()),
        ("replacement under burst", replacement_under_burst()),
        ("rolling restart of gateways", rolling_restart_of_gateways(gateways)),
        ("simultaneous restart of gateways", simultaneous_restart_of_gateways(gateways)),
        ("restart of a zone", restart_of_a_zone()),
        ("incomplete lists", incomplete_lists()),
    ]
}

/// Runs all scenarios and names those in which notified gateways sent a cold engine more than its limit and
/// chance allow.
fn overloaded_scenarios(gateways: u32, profile: &LoadProfile, seed: u64) -> Vec<String> {
    let mut overloaded = Vec::new();
    println!(
        "gateways load scenario | peak/limit: by class, by work, by count; \
         excess: all, notified; utilization, served"
    );
    for (name, events) in all_events(gateways as usize) {
        let m = measure(&scenario(gateways, profile, seed, events));
        println!(
            "{gateways:3} {} {name:32} | {:.2} {:.2} {:.2}; {:6.1} {:6.1}; {:.3} {:.3}",
            profile.name,
            m.peak,
            m.peak_by_work,
            m.peak_by_count,
            m.excess,
            m.excess_notified,
            m.utilization,
            m.served
        );
        if m.excess_notified > 0.0 {
            overloaded.push(format!("{name}: {:.1} requests of mean work too many", m.excess_notified));
        }
    }
    overloaded
}

#[test]
fn five_gateways_do_not_overload_cold_engines() {
    assert_eq!(overloaded_scenarios(5, &USUAL_LOAD, 1), [""; 0]);
    assert_eq!(overloaded_scenarios(5, &HIGH_LOAD_OF_HEAVY_QUERIES, 1), [""; 0]);
}

#[test]
fn thirty_gateways_do_not_overload_cold_engines() {
    assert_eq!(overloaded_scenarios(30, &USUAL_LOAD, 1), [""; 0]);
    assert_eq!(overloaded_scenarios(30, &HIGH_LOAD_OF_HEAVY_QUERIES, 1), [""; 0]);
}

#[test]
fn three_hundred_gateways_do_not_overload_cold_engines() {
    assert_eq!(overloaded_scenarios(300, &USUAL_LOAD, 1), [""; 0]);
    assert_eq!(overloaded_scenarios(300, &HIGH_LOAD, 1), [""; 0]);
}
