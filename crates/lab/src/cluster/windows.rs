//! Windows of maintenance in a cluster: what gateways have learned before the run, how operators ask for windows and work in
//! them, and whether what was left out ever left a cell uncovered.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use violetward_gateway::timestamp;
use violetward_gateway::windows::WindowsStatus;
use violetward_standin::journal::What;
use violetward_store::file::FileStore;
use violetward_store::Store;
use violetward_windows::cover::{Cover, Engine, Part, Placement, Spare, Terms};
use violetward_windows::profile::{Profile, Terms as Learning, QUARTER, WEEK};
use violetward_windows::Cell;

use super::check::{runs, Sample};
use super::plan::Plan;
use super::settings::Proposed;
use crate::checker::Evidence;
use crate::load::{Draw, KINDS};

/// Clocks of one machine: all that the slack has to cover is the time of a step.
const SLACK: Duration = Duration::from_millis(300);
/// Engines of the lab are cold for so long.
pub const WARM: Duration = Duration::from_secs(8);
/// From a gateway's last look to an engine's journal, with few cores for many processes.
const LATE: u64 = 900_000;

/// What gateways know of demand at the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Learned {
    /// The last four weeks.
    All,
    /// Nothing.
    Nothing,
    /// All but the last week at the time of the run.
    Hole,
}

/// How a plan has windows held.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// How long ahead engines drain.
    pub lead: Duration,
    /// What may fail as well: the configuration's word.
    pub spare: String,
    /// See [`Learned`].
    pub learned: Learned,
    /// By which part demand went up and down as it was learned.
    pub swing: f64,
}

/// What has to come of the windows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Expect {
    /// Windows that must have been open at all gateways that ran, and those that must never have been at any.
    pub opened: Vec<String>,
    /// See `opened`.
    pub never: Vec<String>,
    /// Windows that a version must have called off.
    pub off: Vec<String>,
    /// What proposals must have been answered, each a part of it.
    pub told: Vec<String>,
    /// Engines that must have been taken through windows, at least.
    pub maintained: usize,
}

/// The configuration of a gateway.
pub fn section(held: &Held, number: usize) -> String {
    format!(
        "(windows (folder \"windows{number}\") (spare {}) (fill 0.8) (cold 0.25) (warm \"{}ms\") (slack \"{}ms\") (lead \"{}ms\") (fresh \"2s\") (sample \"5s\"))\n",
        held.spare,
        WARM.as_millis(),
        SLACK.as_millis(),
        held.lead.as_millis()
    )
}

fn cell(class: usize) -> Cell {
    Cell { class: class as u16, group: None, kind: None, zone: None, site: None }
}

/// What each class asks for by its estimates, which is what gateways see: core seconds a second.
fn asked(plan: &Plan) -> Vec<(Cell, f64)> {
    let cores: f64 = (0..plan.engines).map(super::cores).sum();
    let rate = plan.load * cores / Draw::mean_work();
    let told = |kind: &crate::load::Kind| kind.share * kind.work * crate::load::told(kind.name) / 1e3;
    KINDS.iter().enumerate().map(|(n, kind)| (cell(n), rate * told(kind))).collect()
}

/// Puts what was learned before the run where a gateway finds it.
///
/// # Errors
/// The store's.
pub fn learn(plan: &Plan, held: &Held, folder: &Path, now: u64) -> std::io::Result<()> {
    if held.learned == Learned::Nothing {
        return Ok(());
    }
    let mut profile = Profile::new(Learning::default());
    let demand = asked(plan);
    let last = now / QUARTER;
    for quarter in last - 4 * WEEK / QUARTER..=last + 8 {
        // A hole: the last week was not seen at the time of the run, nor the quarter hours after that.
        if held.learned == Learned::Hole && quarter + WEEK / QUARTER + 1 >= last {
            break;
        }
        for swing in [1.0 - held.swing, 1.0, 1.0 + held.swing] {
            let sample: Vec<(Cell, f64)> = demand.iter().map(|d| (d.0, d.1 * swing)).collect();
            profile.sample(quarter * QUARTER, &sample);
        }
    }
    let error = |e: violetward_store::StoreError| std::io::Error::other(e.to_string());
    FileStore::open(folder)
        .and_then(|mut store| store.put("profile", &profile.write()))
        .map_err(error)
        .map(drop)
}

/// A version with one more window; those that are over are left out.
pub fn with_window(
    content: &str,
    name: &str,
    engines: &[usize],
    from: u64,
    span: Duration,
    now: u64,
) -> String {
    let over = |line: &str| {
        let until = line.split("(until \"").nth(1).and_then(|rest| rest.split('"').next());
        let gone = WARM.as_micros() as u64 + 2 * SLACK.as_micros() as u64;
        until.and_then(timestamp::parse).is_some_and(|until| until + gone <= now)
    };
    let mut text: String = content.lines().filter(|l| !over(l)).map(|l| format!("{l}\n")).collect();
    let engines: Vec<String> = engines.iter().map(|n| format!("e{n}")).collect();
    text += &format!(
        "(window {name} (engines {}) (from \"{}\") (until \"{}\") (by rig))\n",
        engines.join(" "),
        timestamp::format(from),
        timestamp::format(from + span.as_micros() as u64)
    );
    text
}

/// The phase of a window at a gateway, as it told it.
pub fn phase<'a>(standing: &'a WindowsStatus, name: &str) -> Option<&'a str> {
    standing.windows.iter().find(|w| w.name == name).map(|w| w.phase.as_str())
}

/// What came of the windows.
pub struct Findings {
    figures: Vec<(String, serde_json::Value)>,
    faults: Vec<(&'static str, u64, String)>,
}

impl Findings {
    /// Reads it from what engines were sent, from the samples, and from when engines' processes ran (`out`: engine, from when,
    /// until when it did not; by an operator in a window, or by a fault).
    pub fn new(
        plan: &Plan,
        evidence: &Evidence,
        samples: &[Sample],
        versions: &BTreeMap<u64, String>,
        proposed: &[Proposed],
        (out, bound): (&[Out], u64),
    ) -> Findings {
        let mut found = Findings { figures: Vec::new(), faults: Vec::new() };
        found.sent(evidence, samples);
        found.uncovered(plan, evidence, samples, out);
        found.called_off(evidence, samples, versions, bound);
        found.expected(plan, evidence, samples, proposed, out);
        found
    }

    /// Figures.
    pub fn figures(&self) -> Vec<(String, serde_json::Value)> {
        self.figures.clone()
    }

    /// What did not hold.
    pub fn faults(&self) -> &[(&'static str, u64, String)] {
        &self.faults
    }

    fn fault(&mut self, what: &'static str, at: u64, more: String) {
        self.faults.push((what, at, more));
    }

    /// Nothing new goes to an engine of a window from a gateway that leaves it out, before and after.
    fn sent(&mut self, evidence: &Evidence, samples: &[Sample]) {
        let mut by: BTreeMap<usize, Vec<&Sample>> = BTreeMap::new();
        samples.iter().for_each(|s| by.entry(s.gateway).or_default().push(s));
        let mut wrong = 0;
        for line in &evidence.lines {
            let What::Got { via, trace, .. } = &line.what else { continue };
            let gateway = via.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(usize::MAX);
            let Some(all) = by.get(&gateway) else { continue };
            let place = all.partition_point(|s| s.at + LATE <= line.at);
            let after = all[place..].iter().find(|s| s.at >= line.at);
            let out = |s: &&Sample| s.windows.as_ref().is_some_and(|w| w.away.contains(&line.engine));
            // What belongs to a session that lives there may end there: the lab's statements have none.
            if place > 0
                && out(&all[place - 1])
                && all[place..].iter().take_while(|s| s.at < line.at).all(out)
                && after.is_some_and(out)
            {
                wrong += 1;
                self.fault(
                    "windows: nothing new",
                    line.at,
                    format!("g{gateway} sent {trace} to {} in its window", line.engine),
                );
            }
        }
        self.figures.push(("sent_in_windows".into(), wrong.into()));
    }

    /// At no moment is a cell uncovered by what is left out, or taken, because of windows, that would be covered without.
    fn uncovered(&mut self, plan: &Plan, evidence: &Evidence, samples: &[Sample], out: &[Out]) {
        let engine = |n: usize| Engine {
            name: format!("e{n}"),
            kind: u16::from(super::cores(n) < 8.0),
            zone: 0,
            site: 0,
            groups: None,
            cores: super::cores(n),
        };
        // Reports are bound to the larger kind.
        let bound = Placement { kinds: Some(BTreeSet::from([0])), ..Placement::default() };
        let terms = Terms { fill: 1.0, spare: Spare::Nothing, cold: 0.25, warm: WARM.as_micros() as u64 };
        let engines = (0..plan.engines).map(engine).collect();
        let Ok(cover) = Cover::new(engines, BTreeMap::from([(1, bound)]), terms) else { return };
        let asked = asked(plan);
        let shape = cover.shape(asked.iter().map(|a| a.0));
        let demand: Vec<f64> =
            shape.cells().iter().map(|c| asked.iter().filter(|a| a.0 == *c).map(|a| a.1).sum()).collect();
        let mut last: Vec<BTreeSet<String>> = vec![BTreeSet::new(); plan.gateways];
        let (mut moments, mut most) = (0u64, 0);
        for sample in samples {
            let Some(windows) = &sample.windows else { continue };
            last[sample.gateway] = windows.away.iter().cloned().collect();
            let left: BTreeSet<&String> =
                (0..plan.gateways).filter(|&n| runs(evidence, n, sample.at)).flat_map(|n| &last[n]).collect();
            most = most.max(left.len());
            let part = |(n, e): (usize, &Engine), windows: bool| {
                let gone = |o: &&Out| o.engine == n && o.from <= sample.at && sample.at < o.until;
                let cold =
                    |o: &&Out| o.engine == n && o.until <= sample.at && sample.at < o.until + terms.warm;
                let mine = |o: &&Out| windows || !o.window;
                if out.iter().filter(mine).any(|o| gone(&o)) || windows && left.contains(&e.name) {
                    Part::Away
                } else if out.iter().filter(mine).any(|o| cold(&o)) {
                    Part::Cold
                } else {
                    Part::Up
                }
            };
            let covers = |windows: bool| {
                let parts: Vec<Part> = cover.engines().iter().enumerate().map(|e| part(e, windows)).collect();
                cover.covers(&shape, &demand, &parts)
            };
            if let (Err(why), Ok(())) = (covers(true), covers(false)) {
                moments += 1;
                if moments == 1 {
                    self.fault("windows: cover", sample.at, format!("{why}; left out are {left:?}"));
                }
            }
        }
        self.figures.push(("moments_uncovered_by_windows".into(), moments.into()));
        self.figures.push(("most_engines_left_out".into(), most.into()));
    }

    /// A window that a version calls off is left by all that run within the bound.
    fn called_off(
        &mut self,
        evidence: &Evidence,
        samples: &[Sample],
        versions: &BTreeMap<u64, String>,
        bound: u64,
    ) {
        let off = |content: &String| {
            let lines = content.lines().filter(|l| l.contains("(off yes)"));
            lines.filter_map(|l| l.split_whitespace().nth(1).map(str::to_owned)).collect::<Vec<_>>()
        };
        let names: BTreeSet<String> = versions.values().flat_map(off).collect();
        let mut longest = 0;
        for name in &names {
            let holds = |s: &&Sample| {
                let phase = s.windows.as_ref().and_then(|w| phase(w, name));
                matches!(phase, Some("draining" | "open"))
                    && s.windows.as_ref().is_some_and(|w| {
                        w.windows
                            .iter()
                            .any(|r| r.name == *name && r.engines.iter().any(|e| w.away.contains(e)))
                    })
            };
            let seen = |s: &&Sample| s.windows.as_ref().and_then(|w| phase(w, name)) == Some("off");
            let Some(first) = samples.iter().find(seen).map(|s| s.at) else { continue };
            let late = samples.iter().rev().find(|s| holds(s) && runs(evidence, s.gateway, s.at));
            let took = late.map_or(0, |s| s.at.saturating_sub(first));
            longest = longest.max(took);
            if took > bound + LATE {
                self.fault("windows: called off by all", first, format!("window {name} was still held somewhere {took} us after it was called off, T is {bound} us"));
            }
        }
        self.figures.push(("windows_called_off".into(), names.into_iter().collect::<Vec<_>>().into()));
        self.figures.push(("longest_way_of_a_call_ms".into(), (longest / 1000).into()));
    }

    fn expected(
        &mut self,
        plan: &Plan,
        evidence: &Evidence,
        samples: &[Sample],
        proposed: &[Proposed],
        out: &[Out],
    ) {
        let expect = &plan.expect.windows;
        let open = |name: &str| -> BTreeSet<usize> {
            let was = |s: &&Sample| s.windows.as_ref().and_then(|w| phase(w, name)) == Some("open");
            samples.iter().filter(was).map(|s| s.gateway).collect()
        };
        for name in &expect.opened {
            let all: BTreeSet<usize> = (0..plan.gateways)
                .filter(|&n| evidence.lives.iter().any(|l| l.gateway == n && l.to == u64::MAX))
                .collect();
            if !open(name).is_superset(&all) {
                self.fault("windows: opened", 0, format!("{name} was open at {:?} only", open(name)));
            }
        }
        for name in expect.never.iter().filter(|name| !open(name).is_empty()) {
            self.fault("windows: never", 0, format!("{name} was open at {:?}", open(name)));
        }
        for name in &expect.off {
            let told = |s: &&Sample| {
                s.windows.as_ref().is_some_and(|w| w.windows.iter().any(|r| r.name == *name && r.off))
            };
            if !samples.iter().any(|s| told(&s)) {
                self.fault("windows: off", 0, format!("no version called {name} off"));
            }
        }
        for part in &expect.told {
            if !proposed.iter().any(|p| p.text.contains(part.as_str())) {
                let all: Vec<&String> = proposed.iter().map(|p| &p.text).collect();
                self.fault("windows: told", 0, format!("nobody was told {part:?}, but {all:?}"));
            }
        }
        let mut refused: BTreeMap<String, u64> = BTreeMap::new();
        for p in proposed.iter().filter(|p| p.outcome == "unfit") {
            let rest = p.text.split_once("window ").and_then(|(_, rest)| rest.split_once(": "));
            let cause = rest.map_or(p.text.as_str(), |(_, cause)| cause);
            *refused.entry(cause.to_owned()).or_default() += 1;
        }
        let granted =
            proposed.iter().filter(|p| p.number.is_some() && p.content.contains("(window ")).count();
        self.figures.push(("windows_granted".into(), granted.into()));
        self.figures.push(("windows_refused".into(), serde_json::to_value(refused).unwrap_or_default()));
        let done: BTreeSet<usize> =
            out.iter().filter(|o| o.window && o.until < u64::MAX).map(|o| o.engine).collect();
        self.figures.push(("engines_maintained".into(), done.len().into()));
        if done.len() < expect.maintained {
            self.fault("windows: fleet", 0, format!("only {done:?} were taken through windows"));
        }
    }
}

/// A span in which an engine's process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Out {
    /// Which.
    pub engine: usize,
    /// From when.
    pub from: u64,
    /// Until when; the greatest: it never came back.
    pub until: u64,
    /// An operator had taken it in a window.
    pub window: bool,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::checker::GatewayLife;
    use violetward_gateway::windows::WindowStatus;
    use violetward_standin::journal::Line;

    const S: u64 = 1_000_000;

    /// A gateway that says that a window is in a phase and leaves these engines out.
    fn says(at: u64, gateway: usize, phase: &str, away: &[&str]) -> Sample {
        let engines: Vec<String> = away.iter().map(|e| (*e).to_owned()).collect();
        let (name, phase, text) = ("w".to_owned(), phase.to_owned(), String::new);
        let (from, until, by) = (text(), text(), text());
        let row = WindowStatus {
            name,
            engines: vec!["e0".into()],
            from,
            until,
            by,
            off: false,
            phase,
            reason: None,
        };
        let windows = Some(WindowsStatus {
            away: engines,
            windows: vec![row],
            lease: true,
            ..WindowsStatus::default()
        });
        Sample {
            at: at * S,
            gateway,
            view: Default::default(),
            settings: None,
            custody: None,
            windows,
            sites: None,
        }
    }

    fn faults(plan: &str, samples: &[Sample], sent: &[(u64, &str)], off: bool) -> Vec<&'static str> {
        let plan = super::super::plan::find(plan).expect("a plan");
        let text = String::new;
        let line = |&(at, engine): &(u64, &str)| Line {
            at: at * S / 10,
            engine: engine.into(),
            what: What::Got { trace: text(), via: "violetward-0".into(), n: 0, class: text(), key: text() },
        };
        let life = |gateway| GatewayLife { gateway, from: 0, to: u64::MAX, stalls: vec![] };
        let lines = sent.iter().map(line).collect();
        let evidence = Evidence { lines, lives: vec![life(0), life(1)], ..Evidence::default() };
        let content = format!("(window w (engines e0){})", if off { " (off yes)" } else { "" });
        let versions = BTreeMap::from([(1, content)]);
        let found = Findings::new(&plan, &evidence, samples, &versions, &[], (&[], 2 * S));
        found.faults().iter().map(|f| f.0).collect()
    }

    #[test]
    fn what_must_not_be_is_found_and_nothing_else() {
        let open = |at| [says(at, 0, "open", &["e0"]), says(at, 1, "open", &["e0"])];
        let good: Vec<Sample> = [1, 2, 3, 4].into_iter().flat_map(open).collect();
        let plan = "windows-one";
        // Before the first word of it, and to another engine.
        assert_eq!(faults(plan, &good, &[(5, "e0"), (25, "e1")], false), [""; 0]);
        assert_eq!(faults(plan, &good, &[(25, "e0")], false), ["windows: nothing new"]);
        let mut many = good.clone();
        many.push(says(5, 1, "open", &["e1", "e3", "e4"]));
        assert_eq!(faults(plan, &many, &[], false), ["windows: cover"]);
        let mut off = vec![says(5, 0, "off", &[])];
        assert_eq!(faults(plan, &[good.clone(), off.clone()].concat(), &[], true), [""; 0]);
        off.push(says(9, 1, "open", &["e0"]));
        assert_eq!(faults(plan, &[good, off].concat(), &[], true), ["windows: called off by all"]);
        assert_eq!(faults(plan, &[says(1, 0, "open", &["e0"])], &[], false), ["windows: opened"]);
        assert_eq!(faults("windows-bound", &[says(1, 0, "open", &["e0"])], &[], false)[0], "windows: never");
        assert_eq!(faults("windows-fleet", &[], &[], false), ["windows: fleet"]);
    }
}
