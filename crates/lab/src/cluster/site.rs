//! What the loss of a site has to show on the rig: who says what state when, whether turns add up, what limits did, and how
//! the gateways' own forecast at the loss stands against what came.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use serde_json::{json, Value};
use violetward_gateway::outage::Forecast;

use super::check::{runs, Sample};
use super::plan::{Act, Plan};
use crate::checker::Evidence;
use crate::client::Seen;

/// After the loss, so long is not counted against the forecast: clients dial again, and what was out is given up.
const SETTLES: u64 = 4_000_000;
/// What a cold engine of the rig is thought to do at its start, and over which span it warms: as configured.
const COLD: (f64, f64) = (0.3, 8e6);

/// The section of a gateway's configuration.
pub fn section(plan: &Plan, acts: bool) -> String {
    let mut text = format!("(site-loss (acts {})\n", if acts { "yes" } else { "no" });
    for site in 0..plan.sites {
        let gateways = (0..plan.gateways).filter(|n| n % plan.sites == site).count();
        let engines: Vec<String> =
            (0..plan.engines).filter(|n| n % plan.sites == site).map(|n| format!("e{n}")).collect();
        writeln!(text, "  (site s{site} (gateways {gateways}) (engines {}))", engines.join(" ")).ok();
    }
    match plan.round {
        Some(round) => text + &format!("  (round \"{}ms\"))\n", round.as_millis()),
        None => text + ")\n",
    }
}

/// By class: requests asked for, and those refused, failed or late.
type Losses = BTreeMap<String, (usize, usize)>;

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    /// When each site was first called so by each gateway after the first act: site, word, gateway.
    told: BTreeMap<(String, String, usize), u64>,
    /// Sites called partly lost, cut off or lost, ever.
    away: BTreeSet<String>,
    /// The greatest sum of turns at a returning site over what its true ramp allows.
    turns: f64,
    /// The forecast at the first loss, and when.
    forecast: Option<Forecast>,
    /// Worth seen of worth asked in the loss, and what was lost.
    seen: Option<(f64, Losses)>,
    /// Octets and microseconds a member and second.
    octets: f64,
    spent: f64,
    first: u64,
    limited: bool,
}

impl Findings {
    /// Reads them.
    pub fn new(
        plan: &Plan,
        evidence: &Evidence,
        samples: &[Sample],
        acts: &[(u64, Act)],
        start: u64,
    ) -> Findings {
        let first = acts.first().map_or(start, |a| a.0);
        let mut found = Findings { first, ..Findings::default() };
        let mut last: BTreeMap<usize, (u64, violetward_gateway::outage::Counts)> = BTreeMap::new();
        let (mut octets, mut spent, mut over) = (0.0, 0.0, 0.0);
        let mut turns: BTreeMap<(String, usize), f64> = BTreeMap::new();
        for sample in samples {
            let Some(sites) = &sample.sites else { continue };
            found.limited |= sites.acts && !sites.keep.is_empty();
            for row in &sites.sites {
                if ["partly-lost", "cut-off", "lost"].contains(&row.state.as_str()) {
                    found.away.insert(row.name.clone());
                }
                if sample.at >= first {
                    let key = (row.name.clone(), row.state.clone(), sample.gateway);
                    found.told.entry(key).or_insert(sample.at);
                }
                let turn = if row.state == "returning" { row.turn.unwrap_or(0.0) } else { 0.0 };
                turns.insert((row.name.clone(), sample.gateway), turn);
                let sum: f64 = (0..plan.gateways)
                    .filter(|&n| runs(evidence, n, sample.at))
                    .filter_map(|n| turns.get(&(row.name.clone(), n)))
                    .sum();
                let since =
                    acts.iter().rev().find(|a| matches!(a.1, Act::StartEngines(_)) && a.0 <= sample.at);
                if let (Some((at, _)), true) = (since, sum > 0.0) {
                    let ramp = COLD.0 + (1.0 - COLD.0) * ((sample.at - at) as f64 / COLD.1).min(1.0);
                    found.turns = found.turns.max(sum / ramp);
                }
            }
            // The one told at the first loss counts: later ones know what has been refused since.
            if let Some(forecast) = &sites.opening {
                if found.forecast.as_ref().is_none_or(|f| forecast.at < f.at) {
                    found.forecast = Some(forecast.clone());
                }
            }
            let counts = sites.counts;
            if let Some((at, before)) = last.insert(sample.gateway, (sample.at, counts)) {
                // A process that started again counts from nothing.
                if counts.sent.1 >= before.sent.1 && counts.spent >= before.spent {
                    octets += (counts.sent.1 - before.sent.1) as f64;
                    spent += (counts.spent - before.spent) as f64;
                    over += (sample.at - at) as f64 / 1e6;
                }
            }
        }
        (found.octets, found.spent) = (octets / f64::max(over, 1.0), spent / f64::max(over, 1.0));
        found.seen(evidence, acts);
        found
    }

    fn seen(&mut self, evidence: &Evidence, acts: &[(u64, Act)]) {
        let ends = |act: &Act| matches!(act, Act::StartEngines(_) | Act::Start(_) | Act::Heal);
        let until = acts.iter().find(|a| a.0 > self.first && ends(&a.1)).map_or(u64::MAX, |a| a.0);
        let (mut asked, mut worth) = (0.0, 0.0);
        let mut classes: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for r in evidence.records.iter().filter(|r| (self.first + SETTLES..until).contains(&r.posted)) {
            let served = r.seen == Seen::Served;
            let late = served && r.ended > r.aim;
            asked += r.worth;
            worth += if late { r.worth * r.late_worth } else { r.worth * f64::from(u8::from(served)) };
            let of = classes.entry(r.class.clone()).or_default();
            (of.0, of.1) = (of.0 + 1, of.1 + usize::from(!served || late));
        }
        self.seen = (asked > 0.0).then(|| (worth / asked, classes));
    }

    /// The figures of a run.
    pub fn figures(&self) -> Vec<(String, Value)> {
        let mut told: BTreeMap<String, (f64, f64, usize)> = BTreeMap::new();
        for ((site, word, _), at) in &self.told {
            let after = (*at - self.first) as f64 / 1e6;
            let row = told.entry(format!("{site} {word}")).or_insert((after, after, 0));
            *row = (row.0.min(after), row.1.max(after), row.2 + 1);
        }
        let round = |x: f64| (x * 1e3).round() / 1e3;
        let told: BTreeMap<String, Value> =
            told.into_iter().map(|(k, v)| (k, json!([round(v.0), round(v.1), v.2]))).collect();
        let mut figures = vec![
            ("told_first_last_by".into(), json!(told)),
            ("turns_over_ramp".into(), json!(round(self.turns))),
            ("limits_in_force".into(), json!(self.limited)),
            ("summary_octets_a_second".into(), json!(round(self.octets))),
            ("summary_micros_a_second".into(), json!(round(self.spent))),
        ];
        if let Some(f) = &self.forecast {
            let mut lost: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
            for line in &f.lines {
                let of = lost.entry(&line.class).or_default();
                *of = (of.0 + line.asked, of.1 + line.asked - line.served);
            }
            let lost: BTreeMap<&str, f64> = lost
                .into_iter()
                .map(|(class, (asked, lost))| (class, round(lost / asked.max(1e-9))))
                .collect();
            let worth = |x: f64| round(x / f.asked.max(1e-9));
            let after = (f.at as f64 - self.first as f64) / 1e6;
            figures.push((
                "forecast".into(),
                json!({ "after_s": round(after), "worth": worth(f.served),
                    "range": [worth(f.range.0), worth(f.range.1)], "lost": lost }),
            ));
        }
        if let Some((worth, classes)) = &self.seen {
            let lost: BTreeMap<&str, f64> = classes
                .iter()
                .map(|(c, (all, lost))| (c.as_str(), round(*lost as f64 / *all as f64)))
                .collect();
            figures.push(("seen".into(), json!({ "worth": round(*worth), "lost": lost })));
        }
        figures
    }

    /// What did not hold.
    pub fn faults(&self, plan: &Plan) -> Vec<(&'static str, f64, String, String)> {
        let mut faults = Vec::new();
        for (site, word, span) in &plan.expect.site {
            let name = format!("s{site}");
            for n in (0..plan.gateways).filter(|n| n % plan.sites != *site) {
                let at = self.told.get(&(name.clone(), word.clone(), n));
                let after = at.map(|at| Duration::from_micros(at - self.first));
                if after.is_none_or(|after| after > *span) {
                    let more = format!("it called {name} {word} after {after:?}");
                    faults.push(("site state", 0.0, format!("g{n}"), more));
                }
            }
        }
        let may = |name: &String| plan.expect.away.iter().any(|n| *name == format!("s{n}"));
        for name in self.away.iter().filter(|name| !may(name)) {
            faults.push(("false alarm", 0.0, "some gateway".into(), format!("it called {name} away")));
        }
        if self.turns > 1.01 {
            faults.push(("turns", 0.0, "all gateways".into(), format!("they add up to {:.2}", self.turns)));
        }
        faults
    }
}
