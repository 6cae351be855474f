//! What has to hold in a cluster: the seven rules, and what membership promises, from samples of what gateways believe.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use violetward_gateway::agreement::SettingsStatus;
use violetward_gateway::peers::MembershipStatus;

use super::custody;
use super::plan::{Act, Plan};
use super::settings::{self, Proposed};
use super::{costs, forged, site, windows, Options};
use crate::checker::{self, Evidence, Terms, RULES};
use crate::report::Report;

/// The most that all shares may add up to: the default of the configuration.
const WIDEST: f64 = 2.0;

/// What a gateway believed at a time.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When it was asked.
    pub at: u64,
    /// Which one.
    pub gateway: usize,
    /// What it said.
    pub view: MembershipStatus,
    /// How it stood with the settings, where there is agreement on them.
    pub settings: Option<SettingsStatus>,
    /// How custody stood, where there is any.
    pub custody: Option<violetward_gateway::custody::CustodyStatus>,
    /// How windows stood, where they are held.
    pub windows: Option<violetward_gateway::windows::WindowsStatus>,
    /// How the sites stood, where they are watched.
    pub sites: Option<violetward_gateway::outage::SitesStatus>,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The table of statements.
    pub report: Report,
    /// What did not hold: invariant, seconds from the first sample, which process, and more.
    pub failed: Option<(String, f64, String, String)>,
    /// Figures.
    pub json: serde_json::Value,
    seed: u64,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.report.line())?;
        for (name, value) in self.json.as_object().into_iter().flatten() {
            if name != "worth_by_second" {
                writeln!(f, "{name}: {value}")?;
            }
        }
        match &self.failed {
            None => write!(f, "CLUSTER passed"),
            Some((what, at, who, more)) => {
                writeln!(f, "{more}")?;
                write!(f, "CLUSTER failed: {what} at {at:.1} s, {who}, seed {}", self.seed)
            }
        }
    }
}

/// Checks a run.
pub fn check(
    plan: &Plan,
    options: &Options,
    evidence: &Evidence,
    (samples, acts): (&[Sample], &[(u64, Act)]),
    (relayed, forged, marks): ([u64; 4], &forged::Findings, &[costs::Mark]),
    (versions, proposed): (&BTreeMap<u64, String>, &[Proposed]),
    (kills, ends_of, out): (&[u64], &[std::time::Duration], &[windows::Out]),
) -> Verdict {
    let outlive = plan.keepers > 0 && !options.even && !options.bare;
    // Whole processes stand still and share few cores here: scheduling is granted more than on a day of few processes.
    let terms = Terms { slack: 800_000, list_every: 50_000, outlive, ..Terms::default() };
    let mut broken = checker::check(evidence, &terms);
    if outlive && plan.expect.lost > 0 {
        // What goes down with its holder and all its guardians is counted and bounded below, and is no broken rule.
        let lost = custody::Findings::new(evidence, samples, kills, ends_of).lost;
        let counted = |text: &str| lost.iter().any(|l| l.split(' ').next() == text.split(' ').next());
        broken.retain(|b| b.rule != 1 || !counted(&b.text));
    }
    let start = evidence.records.iter().map(|r| r.posted).min().unwrap_or_default();
    let seconds = |at: u64| (at as f64 - start as f64) / 1e6;
    let mut failed: Option<(String, f64, String, String)> = None;
    let mut fail = |what: &str, at: f64, who: String, more: String| {
        if failed.as_ref().is_none_or(|f| at < f.1) {
            failed = Some((what.to_owned(), at, who, more));
        }
    };
    if let Some(more) = nothing_served(evidence) {
        fail("nothing served", 0.0, "all gateways".into(), more);
    }
    for b in &broken {
        fail(RULES[b.rule - 1], 0.0, "the gateways".into(), b.text.clone());
    }
    let last = acts.iter().map(|a| a.0 + a.1.lasts().as_micros() as u64).max().unwrap_or(start);
    let mut json = serde_json::Map::new();
    json.insert("worth".into(), round(Report::new("", "", evidence, vec![]).worth()).into());
    json.insert("worth_by_second".into(), worth_by_second(evidence, start).into());
    if !options.even {
        let shares = shares(plan, evidence, samples);
        let most = shares.iter().map(|s| s.1).fold(0.0, f64::max);
        json.insert("most_sum_of_shares".into(), round(most).into());
        let over = shares.iter().find(|s| s.1 > WIDEST + 0.01);
        if let Some((at, sum)) = over {
            fail(
                "shares",
                seconds(*at),
                "all gateways".into(),
                format!("shares add up to {sum:.2} of {WIDEST}"),
            );
        }
        let within = |s: &&(u64, f64)| (s.1 - 1.0).abs() <= 0.1;
        if let Some(span) = plan.expect.shares {
            // When they came within a tenth of one for good.
            let settled = shares.iter().rev().take_while(within).last().map(|s| s.0.saturating_sub(last));
            json.insert(
                "shares_settled_s".into(),
                settled.map_or(serde_json::Value::Null, |s| round(s as f64 / 1e6).into()),
            );
            if settled.is_none_or(|s| s > span.as_micros() as u64) {
                let sum = shares.last().map_or(0.0, |s| s.1);
                fail(
                    "shares settle",
                    seconds(last),
                    "all gateways".into(),
                    format!("they add up to {sum:.3} in the end"),
                );
            }
        }
        let agreed = agreement(plan, evidence, samples).map(|at| at.saturating_sub(last));
        json.insert(
            "agreed_s".into(),
            agreed.map_or(serde_json::Value::Null, |s| round(s as f64 / 1e6).into()),
        );
        if agreed.is_none_or(|s| s > plan.expect.agree.as_micros() as u64) {
            let views: Vec<String> = ends(plan, samples).into_values().map(|s| s.view.to_string()).collect();
            fail("agreement", seconds(last), "all gateways".into(), views.join("\n"));
        }
        let false_deaths = false_deaths(evidence, samples, acts);
        json.insert("false_deaths".into(), false_deaths.len().into());
        if false_deaths.len() > plan.expect.false_deaths {
            let (at, observer, name) = &false_deaths[plan.expect.false_deaths];
            fail(
                "false deaths",
                seconds(*at),
                format!("g{observer}"),
                format!("{name} runs and is taken for dead"),
            );
        }
        for (n, word) in &plan.expect.standing {
            if !samples.iter().any(|s| s.gateway == *n && s.view.standing == *word) {
                fail("standing", seconds(last), format!("g{n}"), format!("it was never {word}"));
            }
        }
        for (a, b, word) in &plan.expect.link {
            let name = format!("g{b}");
            let seen = samples
                .iter()
                .any(|s| s.gateway == *a && s.view.members.iter().any(|m| m.name == name && m.link == *word));
            if !seen {
                fail(
                    "link",
                    seconds(last),
                    format!("g{a}"),
                    format!("it never knew its link to g{b} as {word}"),
                );
            }
        }
        let ends = ends(plan, samples);
        let pauses: u64 = ends.values().map(|s| s.view.paused).sum();
        let refused: u64 = ends.values().map(|s| s.view.refused.iter().sum::<u64>()).sum();
        if pauses < plan.expect.pauses {
            fail("pauses", seconds(last), "all gateways".into(), format!("{pauses} were noticed"));
        }
        if refused < plan.expect.refused {
            fail(
                "refusals",
                seconds(last),
                "all gateways".into(),
                format!("{refused} datagrams were refused"),
            );
        }
        let sent: (u64, u64) = ends.values().fold((0, 0), |a, s| (a.0 + s.view.sent.0, a.1 + s.view.sent.1));
        json.insert("datagrams_sent".into(), sent.0.into());
        json.insert("octets_sent".into(), sent.1.into());
        json.insert("datagrams_refused".into(), refused.into());
        json.insert("pauses_noticed".into(), pauses.into());
        json.insert("relayed_lost_copied_spoilt".into(), relayed.to_vec().into());
    }
    if plan.voters > 0 {
        for (name, value) in settings_figures(plan, evidence, samples, versions, proposed) {
            json.insert(name, value);
        }
        for (what, at, who, more) in settings_faults(plan, evidence, samples, acts, versions, proposed) {
            fail(&what, at.map_or(0.0, seconds), who, more);
        }
    }
    if plan.keepers > 0 {
        let found = custody::Findings::new(evidence, samples, kills, ends_of);
        found.figures().into_iter().for_each(|(name, value)| drop(json.insert(name, value)));
        let cost = costs::figures(evidence, marks, plan.gateways);
        cost.into_iter().for_each(|(name, value)| drop(json.insert(name, value)));
        if plan.acts.iter().any(|a| a.1 == Act::Forge) && outlive {
            forged.figures().into_iter().for_each(|(name, value)| drop(json.insert(name, value)));
            let faults = forged.faults().into_iter();
            faults.for_each(|(what, more)| fail(what, 0.0, "the gateways".into(), more));
        }
        if outlive {
            found
                .faults(plan)
                .into_iter()
                .for_each(|(what, more)| fail(what, 0.0, "the gateways".into(), more));
        }
    }
    if plan.windows.is_some() {
        let found =
            windows::Findings::new(plan, evidence, samples, versions, proposed, (out, bound(samples)));
        found.figures().into_iter().for_each(|(name, value)| drop(json.insert(name, value)));
        for (what, at, more) in found.faults() {
            let at = if *at == 0 { 0.0 } else { seconds(*at) };
            fail(what, at, "the gateways".into(), more.clone());
        }
    }
    if plan.acts_on_loss && !options.even {
        let found = site::Findings::new(plan, evidence, samples, acts, start);
        found.figures().into_iter().for_each(|(name, value)| drop(json.insert(name, value)));
        for (what, at, who, more) in found.faults(plan) {
            fail(what, at, who, more);
        }
    }
    let policy = if options.even { "even" } else { "members" };
    let report = Report::new(&plan.name, policy, evidence, broken);
    Verdict { report, failed, json: json.into(), seed: options.seed }
}

/// A run in which nobody was served proves nothing, whatever else held.
fn nothing_served(evidence: &Evidence) -> Option<String> {
    let served = evidence.records.iter().any(|r| r.seen == crate::client::Seen::Served);
    let first = evidence.records.first().map(|r| format!("the first saw {:?}", r.seen));
    (!served).then(|| {
        format!("none of {} statements was served; {}", evidence.records.len(), first.unwrap_or_default())
    })
}

fn round(x: f64) -> f64 {
    (x * 1e4).round() / 1e4
}

/// Worth served over worth asked by the second in which it was asked.
pub fn worth_by_second(evidence: &Evidence, start: u64) -> Vec<f64> {
    let mut seconds: Vec<(f64, f64)> = Vec::new();
    for r in &evidence.records {
        let at = (r.posted.saturating_sub(start) / 1_000_000) as usize;
        if seconds.len() <= at {
            seconds.resize(at + 1, (0.0, 0.0));
        }
        seconds[at].0 += r.worth;
        if r.seen == crate::client::Seen::Served {
            seconds[at].1 += if r.ended > r.aim { r.worth * r.late_worth } else { r.worth };
        }
    }
    seconds.iter().map(|s| round(s.1 / s.0.max(1e-9))).collect()
}

/// Whether a gateway's process ran at a time, standing still or not.
pub fn runs(evidence: &Evidence, gateway: usize, at: u64) -> bool {
    evidence.lives.iter().any(|l| l.gateway == gateway && l.from <= at && at <= l.to)
}

/// The sum of the last told shares of all that run, at each sample.
pub fn shares(plan: &Plan, evidence: &Evidence, samples: &[Sample]) -> Vec<(u64, f64)> {
    let mut last = vec![0.0; plan.gateways];
    let mut sums = Vec::new();
    for sample in samples {
        let least = sample.sites.as_ref().map_or(0.0, |s| s.share.1);
        last[sample.gateway] = least.max(sample.view.share);
        let sum = (0..plan.gateways).filter(|&n| runs(evidence, n, sample.at)).map(|n| last[n]).sum();
        sums.push((sample.at, sum));
    }
    sums
}

/// The last sample of each gateway.
fn ends(plan: &Plan, samples: &[Sample]) -> BTreeMap<usize, Sample> {
    (0..plan.gateways)
        .filter_map(|n| samples.iter().rev().find(|s| s.gateway == n).map(|s| (n, s.clone())))
        .collect()
}

/// From when on all that run agreed for good on who lives: each of them, and nobody else.
fn agreement(plan: &Plan, evidence: &Evidence, samples: &[Sample]) -> Option<u64> {
    let mut last: Vec<Option<&Sample>> = vec![None; plan.gateways];
    let mut since = None;
    for sample in samples {
        last[sample.gateway] = Some(sample);
        let running: BTreeSet<usize> = (0..plan.gateways).filter(|&n| runs(evidence, n, sample.at)).collect();
        let right = running.iter().all(|&n| {
            last[n].is_some_and(|s| {
                let living: BTreeSet<usize> = s
                    .view
                    .members
                    .iter()
                    .filter(|m| m.state == "alive" || m.state == "suspect")
                    .filter_map(|m| m.name.strip_prefix('g')?.parse().ok())
                    .chain([n])
                    .collect();
                s.view.standing == "whole" && living == running
            })
        });
        since = if right { since.or(Some(sample.at)) } else { None };
    }
    since
}

/// Who was taken for dead by whom though it ran, did not stand still and was not cut off just then: each once.
fn false_deaths(evidence: &Evidence, samples: &[Sample], acts: &[(u64, Act)]) -> Vec<(u64, usize, String)> {
    // Around cuts and stops nobody can tell: such spans, and what it takes to agree after them, do not count.
    let unclear = |at: u64| {
        let mut cut = false;
        let mut mended = 0;
        for (when, act) in acts.iter().filter(|a| a.0 <= at) {
            match act {
                Act::Cut(..) | Act::Part(_) | Act::PartSites => cut = true,
                Act::Heal => (cut, mended) = (false, *when),
                _ => {}
            }
        }
        cut || (mended > 0 && at < mended + 10_000_000)
    };
    let mut found: BTreeMap<(usize, String), u64> = BTreeMap::new();
    for sample in samples.iter().filter(|s| !unclear(s.at)) {
        for m in sample.view.members.iter().filter(|m| m.state == "dead") {
            let Some(n) = m.name.strip_prefix('g').and_then(|n| n.parse::<usize>().ok()) else { continue };
            // A process that started again is known a while later.
            let settled = evidence.lives.iter().any(|l| {
                l.gateway == n && l.from + 10_000_000 <= sample.at && sample.at <= l.to && {
                    l.stalls.iter().all(|s| sample.at < s.0 || sample.at > s.1 + 10_000_000)
                }
            });
            let awake = evidence
                .lives
                .iter()
                .filter(|l| l.gateway == sample.gateway)
                .flat_map(|l| &l.stalls)
                .all(|s| sample.at < s.0 || sample.at > s.1 + 10_000_000);
            if settled && awake {
                found.entry((sample.gateway, m.name.clone())).or_insert(sample.at);
            }
        }
    }
    found.into_iter().map(|((observer, name), at)| (at, observer, name)).collect()
}

/// The bound of a run's settings in microseconds, as its gateways tell it.
fn bound(samples: &[Sample]) -> u64 {
    samples.iter().filter_map(|s| s.settings.as_ref()).map(|s| s.bound).max().unwrap_or(0)
}

fn findings(
    evidence: &Evidence,
    samples: &[Sample],
    versions: &BTreeMap<u64, String>,
    proposed: &[Proposed],
) -> settings::Findings {
    let kind = |engine: &str| {
        let number = engine.trim_start_matches('e').parse::<usize>().unwrap_or(0);
        if super::cores(number) < 8.0 {
            "m4".to_owned()
        } else {
            "m8".to_owned()
        }
    };
    settings::check(evidence, versions, proposed, bound(samples), &kind)
}

fn settings_figures(
    plan: &Plan,
    evidence: &Evidence,
    samples: &[Sample],
    versions: &BTreeMap<u64, String>,
    proposed: &[Proposed],
) -> Vec<(String, serde_json::Value)> {
    let found = findings(evidence, samples, versions, proposed);
    let mut outcomes: BTreeMap<&str, u64> = BTreeMap::new();
    proposed.iter().for_each(|p| *outcomes.entry(p.outcome.as_str()).or_default() += 1);
    // From a proposal until its gateway told that it is committed.
    let mut took: Vec<u64> =
        proposed.iter().filter(|p| p.outcome == "committed").map(|p| (p.told - p.at) / 1000).collect();
    took.sort_unstable();
    let at = |part: f64| took.get((took.len().saturating_sub(1) as f64 * part) as usize).copied();
    let (mut ran, mut without) = (0.0, 0.0);
    for life in &evidence.lives {
        let own = |s: &&Sample| s.gateway == life.gateway && (life.from..=life.to).contains(&s.at);
        let last = samples.iter().rev().find(own);
        let Some((last, standing)) = last.and_then(|s| Some((s, s.settings.as_ref()?))) else { continue };
        ran += (last.at - life.from) as f64;
        without += standing.without_lease as f64;
    }
    let ends = ends(plan, samples);
    let counts = ends.values().filter_map(|s| s.settings.as_ref()).fold([0; 3], |mut sum, s| {
        sum.iter_mut().zip(s.counts).for_each(|(a, b)| *a += b);
        sum
    });
    vec![
        ("versions".into(), versions.len().into()),
        ("versions_seen_by_engines".into(), found.seen.into()),
        ("bound_ms".into(), (bound(samples) / 1000).into()),
        ("contradictions".into(), found.overlaps.len().into()),
        (
            "longest_contradiction_ms".into(),
            round(found.overlaps.iter().max().map_or(0.0, |&o| o as f64 / 1e3)).into(),
        ),
        ("outcomes".into(), serde_json::to_value(outcomes).unwrap_or_default()),
        ("commit_ms_median_most".into(), serde_json::json!([at(0.5), at(1.0)])),
        ("without_lease".into(), round(without / f64::max(ran, 1.0)).into()),
        ("sayings_taken_unread_foreign".into(), counts.to_vec().into()),
    ]
}

fn settings_faults(
    plan: &Plan,
    evidence: &Evidence,
    samples: &[Sample],
    acts: &[(u64, Act)],
    versions: &BTreeMap<u64, String>,
    proposed: &[Proposed],
) -> Vec<(String, Option<u64>, String, String)> {
    let mut faults = Vec::new();
    let bound = bound(samples);
    let found = findings(evidence, samples, versions, proposed);
    // By the invariant there is none at all: what is left is the way from the last look to an engine's journal, and the
    // scheduling of many processes. T bounds how long a version waits, not how long two contradict each other.
    let slack = super::LOOK.as_micros() as u64 + 400_000;
    if let Some(most) = found.overlaps.iter().max().filter(|&&o| o > slack) {
        let more = format!(
            "contradicting versions were acted on for {most} us, granted are {slack} us, T is {bound} us"
        );
        faults.push(("bound".into(), None, "all gateways".into(), more));
    }
    if let Some((at, engine, class)) = &found.never {
        let more = format!("{engine} was sent a {class}, which no version proposed by then allows");
        faults.push(("versions".into(), Some(*at), "some gateway".into(), more));
    }
    for p in proposed.iter().filter(|p| p.number.is_some()) {
        let became = p.number.and_then(|n| versions.get(&n));
        if became != Some(&p.content) {
            let more = format!("{:?} was told to be version {:?}, which is {became:?}", p.content, p.number);
            faults.push(("history".into(), Some(p.told), format!("g{}", p.gateway), more));
        }
    }
    let last = acts.iter().map(|a| a.0 + a.1.lasts().as_micros() as u64).max().unwrap_or_default();
    if let Some((span, least)) = plan.expect.settings {
        // From when on all that ran acted on one version in full for good.
        let mut state: Vec<Option<(u64, u64)>> = vec![None; plan.gateways];
        let mut since = None;
        for sample in samples {
            state[sample.gateway] = sample.settings.as_ref().and_then(|s| s.acts);
            let running: Vec<usize> = (0..plan.gateways).filter(|&n| runs(evidence, n, sample.at)).collect();
            let first = running.first().and_then(|&n| state[n]);
            let full = first.is_some_and(|(low, top)| low == top && top >= least);
            let all = full && running.iter().all(|&n| state[n] == first);
            since = if all { since.or(Some(sample.at)) } else { None };
        }
        if since.is_none_or(|at| at > last + span.as_micros() as u64) {
            let more =
                format!("since {since:?}; in the end they act on {state:?}, at least {least} was expected");
            faults.push(("settings agree".into(), Some(last), "all gateways".into(), more));
        }
    }
    for word in &plan.expect.outcomes {
        if !proposed.iter().any(|p| p.outcome == *word) {
            faults.push(("outcomes".into(), None, "the operators".into(), format!("nobody was told {word}")));
        }
    }
    for n in &plan.expect.voteless {
        let last = samples.iter().rev().find(|s| s.gateway == *n).and_then(|s| s.settings.as_ref());
        if !last.is_some_and(|s| !s.votes && s.trouble.is_some()) {
            faults.push(("votes".into(), None, format!("g{n}"), "it votes, or does not say why not".into()));
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client::Seen;
    use crate::load::{Draw, Shape};

    #[test]
    fn a_run_in_which_nobody_was_served_proves_nothing() {
        let mut draw = Draw::new(1, 1.0, 1, "t");
        let mut evidence = Evidence::default();
        assert!(nothing_served(&evidence).is_some(), "nobody came");
        for seen in [Seen::NotTaken("503 to the post".into()), Seen::Refused(100)] {
            evidence.records.push(crate::client::Record { seen, ..draw.next(&Shape::default()).record });
        }
        assert!(nothing_served(&evidence).is_some_and(|why| why.contains("none of 2")));
        evidence.records[1].seen = Seen::Served;
        assert_eq!(nothing_served(&evidence), None);
    }
}
