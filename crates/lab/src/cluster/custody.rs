//! What custody has to hold: no statement lost, none with two endings, no two gateways that act for one at once; read from what
//! clients were told and engines were sent.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use violetward_standin::journal::What;

use super::check::Sample;
use super::plan::Plan;
use crate::checker::{Evidence, GatewayLife};
use crate::client::Seen;

/// What came of the statements.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// Statements taken.
    pub taken: usize,
    /// Those of which their clients heard no end.
    pub lost: Vec<String>,
    /// Those that took effect more often than they may.
    pub doubled: Vec<String>,
    /// Those of which two endings were told.
    pub endings: Vec<String>,
    /// Those of which a gateway began an attempt after another one had.
    pub returned: Vec<String>,
    /// From the kill, or from the broken poll, to the client's next page, microseconds, in order.
    pub gaps: Vec<u64>,
    /// How long processes took to end after SIGTERM.
    pub ends: Vec<Duration>,
    /// Statements taken over, and how many intents there were and waited.
    pub adopted: u64,
    /// Those lost of which their client was told so, and those lost though their gateway was not killed while they were open.
    told: usize,
    strangers: Vec<String>,
    intents: (u64, u64),
    unprotected: u64,
    kills: usize,
}

impl Findings {
    /// Reads them.
    pub fn new(evidence: &Evidence, samples: &[Sample], kills: &[u64], ends: &[Duration]) -> Findings {
        let mut found = Findings { kills: kills.len(), ends: ends.to_vec(), ..Findings::default() };
        let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
        let mut visits: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
        for line in &evidence.lines {
            match &line.what {
                What::Effect { trace, .. } => *effects.entry(trace).or_default() += 1,
                What::Got { trace, via, .. } => visits.entry(trace).or_default().push((line.at, via)),
                _ => {}
            }
        }
        for r in evidence.records.iter().filter(|r| r.taken.is_some()) {
            found.taken += 1;
            // What was posted to a process that stands still has waited for it to go on, and was not taken before.
            let waited = evidence.stands_still(r.gateway, r.posted);
            if matches!(r.seen, Seen::Lost(_) | Seen::GaveUp) && !waited {
                found.lost.push(format!("{} ({}, g{}): {:?}", r.trace, r.class, r.gateway, r.seen));
                found.told += usize::from(matches!(r.seen, Seen::Lost(_)));
                let held = |l: &GatewayLife| l.gateway == r.gateway && r.posted <= l.to && l.to <= r.ended;
                if !evidence.lives.iter().any(held) {
                    found.strangers.push(r.trace.clone());
                }
            }
            if r.contradicted.is_some() {
                found.endings.push(r.trace.clone());
            }
            let harmless = matches!(r.class.as_str(), "lookup" | "report");
            if !harmless && effects.get(r.trace.as_str()).is_some_and(|&n| n > 1) {
                found.doubled.push(r.trace.clone());
            }
            let of = visits.get(r.trace.as_str()).map(Vec::as_slice).unwrap_or_default();
            if returns(of, |via, from, to| restarted(evidence, via, from, to)) {
                found.returned.push(r.trace.clone());
            }
            for &(from, to) in &r.moved {
                let killed = kills.iter().filter(|&&k| k <= to).max().copied().unwrap_or(0);
                found.gaps.push(to - from.max(killed));
            }
        }
        found.gaps.sort_unstable();
        // The last word of each life counts.
        let mut last: BTreeMap<&str, &violetward_gateway::custody::CustodyStatus> = BTreeMap::new();
        for standing in samples.iter().filter_map(|s| s.custody.as_ref()) {
            last.insert(&standing.life, standing);
        }
        for standing in last.values() {
            found.adopted += standing.adopted;
            found.intents = (found.intents.0 + standing.intents.0, found.intents.1 + standing.intents.1);
            found.unprotected += standing.unprotected;
        }
        found
    }

    /// The figures of a run.
    pub fn figures(&self) -> Vec<(String, Value)> {
        let at = |part: f64| self.gaps.get((self.gaps.len().saturating_sub(1) as f64 * part) as usize);
        let ms = |micros: Option<&u64>| micros.map_or(Value::Null, |m| (m / 1000).into());
        let slowest = self.ends.iter().max().map_or(Value::Null, |d| (d.as_millis() as u64).into());
        let wait = self.intents.1 / self.intents.0.max(1);
        let figures: [(&str, Value); 15] = [
            ("statements", self.taken.into()),
            ("gateways_killed", self.kills.into()),
            ("lost", self.lost.len().into()),
            ("lost_and_told", self.told.into()),
            ("doubled", self.doubled.len().into()),
            ("two_endings", self.endings.len().into()),
            ("acted_again_after_another", self.returned.len().into()),
            ("taken_over_at_the_least", self.adopted.into()),
            ("intents_waited", self.intents.0.into()),
            ("intents_mean_wait_micros", wait.into()),
            ("without_guardian", self.unprotected.into()),
            ("polls_that_went_elsewhere", self.gaps.len().into()),
            ("next_page_ms_median", ms(at(0.5))),
            ("next_page_ms_99th", ms(at(0.99))),
            ("slowest_end_after_sigterm_ms", slowest),
        ];
        figures.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
    }

    /// What did not hold.
    pub fn faults(&self, plan: &Plan) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        let mut none = |what: &'static str, list: &[String], most: usize| {
            if list.len() > most {
                faults.push((what, format!("{what}: {}", list.join("; "))));
            }
        };
        none("lost", &self.lost, plan.expect.lost);
        // What may go down with its holder and all its guardians is no excuse for what others hold.
        none("lost without a death", &self.strangers, 0);
        none("doubled", &self.doubled, 0);
        none("two endings", &self.endings, 0);
        none("acted again after another", &self.returned, 0);
        if self.adopted < plan.expect.adopted {
            faults.push(("taken over", format!("{} were taken over", self.adopted)));
        }
        if let Some(most) = plan.expect.rolled {
            if let Some(slow) = self.ends.iter().find(|&&d| d > most) {
                faults.push(("rolled", format!("a process ended {slow:?} after SIGTERM")));
            }
        }
        faults
    }
}

/// Whether somebody sends an attempt again after another one has, without having started anew in between.
fn returns(visits: &[(u64, &str)], restarted: impl Fn(&str, u64, u64) -> bool) -> bool {
    visits.iter().enumerate().any(|(i, &(at, via))| {
        let left = visits[..i].iter().rposition(|v| v.1 == via).filter(|&j| j + 1 < i);
        left.is_some_and(|j| !restarted(via, visits[j].0, at))
    })
}

fn restarted(evidence: &Evidence, via: &str, from: u64, to: u64) -> bool {
    let number = via.rsplit('-').next().and_then(|n| n.parse::<usize>().ok());
    evidence.lives.iter().any(|l| Some(l.gateway) == number && l.from > from && l.from <= to)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_gateway_that_goes_on_after_another_one_took_over_is_found() {
        let never = |_: &str, _: u64, _: u64| false;
        assert!(!returns(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")], never));
        assert!(returns(&[(1, "a"), (3, "b"), (4, "a")], never));
        assert!(!returns(&[(1, "a"), (3, "b"), (4, "a")], |_, _, _| true), "it has started anew");
    }

    #[test]
    fn what_is_lost_counts_as_expected_only_if_its_holder_was_killed() {
        let mut draw = crate::load::Draw::new(1, 1.0, 2, "t");
        let mut lost = |gateway| crate::client::Record {
            gateway,
            posted: 10,
            taken: Some(11),
            ended: 30,
            seen: Seen::Lost("410 to a poll".into()),
            ..draw.next(&crate::load::Shape::default()).record
        };
        let life = |gateway, to| GatewayLife { gateway, from: 0, to, stalls: vec![] };
        let evidence = Evidence {
            records: vec![lost(0), lost(1), lost(2)],
            lives: vec![life(0, 20), life(1, u64::MAX), life(2, 40)],
            ..Evidence::default()
        };
        let found = Findings::new(&evidence, &[], &[20], &[]);
        assert_eq!((found.lost.len(), found.told), (3, 3));
        assert_eq!(found.strangers, [evidence.records[1].trace.clone(), evidence.records[2].trace.clone()]);
        let mut plan = super::super::plan::parse("x", "(gateways 3) (keepers 3) (expect (lost 3))").unwrap();
        assert!(found.faults(&plan).iter().any(|f| f.0 == "lost without a death"));
        plan.expect.lost = 2;
        assert!(found.faults(&plan).iter().any(|f| f.0 == "lost"));
    }
}
