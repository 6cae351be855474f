//! The seven rules, checked from what passed on the sockets: what clients were told, what engines were sent. The
//! gateways' own word counts for nothing here.
//!
//! Times of different processes of one machine are compared, so each bound has some slack for scheduling.

use std::collections::{BTreeMap, HashMap};

use violetward_standin::journal::{Line, What};

use crate::client::{Record, Seen};

/// What a day left behind.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// What clients wrote down.
    pub records: Vec<Record>,
    /// What engines wrote down, by time.
    pub lines: Vec<Line>,
    /// What the list said, and from when.
    pub changes: Vec<ListChange>,
    /// When gateways ran.
    pub lives: Vec<GatewayLife>,
}

/// The list began to say this of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ListChange {
    /// When it was written.
    pub at: u64,
    /// The engine.
    pub engine: String,
    /// `up`, `draining` or `removed`.
    pub state: &'static str,
}

/// A gateway's process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayLife {
    /// Which gateway.
    pub gateway: usize,
    /// From when it answered, and when it was ended.
    pub from: u64,
    /// See `from`.
    pub to: u64,
    /// When it was made to stand still.
    pub stalls: Vec<(u64, u64)>,
}

/// The figures of the rules, in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// An engine told gone or draining may get something new for so long.
    pub drain_grace: u64,
    /// How long until a gateway has read the list.
    pub list_every: u64,
    /// Rest of a key after an attempt whose end is not known.
    pub key_rest: u64,
    /// Further attempts: free, for each request, and how far back.
    pub budget: (f64, f64, u64),
    /// Slack for scheduling.
    pub slack: u64,
    /// Classes bound to kinds of machine.
    pub bound: Vec<(String, String)>,
    /// Classes that must not run twice.
    pub once: Vec<String>,
    /// Classes whose repeats engines drop.
    pub keyed: Vec<String>,
    /// Statements outlive their gateways: the death of one excuses nothing.
    pub outlive: bool,
}

impl Default for Terms {
    /// The figures of `fleet::LEAGUE`.
    fn default() -> Self {
        Terms {
            drain_grace: 250_000,
            list_every: 50_000,
            key_rest: 1_000_000,
            budget: (5.0, 0.1, 5_000_000),
            slack: 250_000,
            bound: vec![("report".into(), "m8".into())],
            once: vec!["notice".into()],
            keyed: vec!["load".into()],
            outlive: false,
        }
    }
}

/// The names of the rules, by number from 1.
pub const RULES: [&str; 7] = ["answers", "effects", "drains", "cold starts", "order", "placement", "budget"];

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// Its number.
    pub rule: usize,
    /// What was seen.
    pub text: String,
}

/// A statement at an engine.
#[derive(Debug, Clone)]
struct Visit {
    engine: String,
    at: u64,
    over: Option<u64>,
    how: String,
    trace: String,
    gateway: usize,
    class: String,
}

/// Every broken rule.
pub fn check(evidence: &Evidence, terms: &Terms) -> Vec<Broken> {
    let visits = visits(&evidence.lines);
    let mut broken = Vec::new();
    answers(evidence, terms, &visits, &mut broken);
    effects(evidence, terms, &mut broken);
    drains(evidence, terms, &visits, &mut broken);
    cold_starts(evidence, &mut broken);
    order(evidence, terms, &visits, &mut broken);
    placement(evidence, terms, &visits, &mut broken);
    budget(evidence, terms, &visits, &mut broken);
    broken
}

fn visits(lines: &[Line]) -> Vec<Visit> {
    let mut visits: Vec<Visit> = Vec::new();
    let mut open: HashMap<(String, u64), usize> = HashMap::new();
    for line in lines {
        match &line.what {
            What::Got { trace, via, n, class, .. } => {
                open.insert((line.engine.clone(), *n), visits.len());
                let gateway = via.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(usize::MAX);
                let (trace, class) = (trace.clone(), class.clone());
                let (engine, at) = (line.engine.clone(), line.at);
                visits.push(Visit { engine, at, over: None, how: String::new(), trace, gateway, class });
            }
            What::Turned { n } => {
                if let Some(i) = open.remove(&(line.engine.clone(), *n)) {
                    (visits[i].over, visits[i].how) = (Some(line.at), "turned".into());
                }
            }
            What::Over { n, how } => {
                if let Some(i) = open.remove(&(line.engine.clone(), *n)) {
                    (visits[i].over, visits[i].how) = (Some(line.at), how.clone());
                }
            }
            // A process that is killed outright writes nothing: the next one's start ends what it had.
            What::Up { .. } | What::Gone | What::Fell => {
                let dead: Vec<_> = open.keys().filter(|k| k.0 == line.engine).cloned().collect();
                for key in dead {
                    let i = open.remove(&key).expect("just found");
                    (visits[i].over, visits[i].how) = (Some(line.at), "died".into());
                }
            }
            _ => {}
        }
    }
    visits
}

impl Evidence {
    /// The gateway's process ended while it held the statement.
    fn held_at_a_death(&self, r: &Record) -> bool {
        self.lives.iter().any(|l| l.gateway == r.gateway && l.to >= r.posted && l.to <= r.ended + 100_000)
    }

    /// The gateway stood still at a time.
    pub fn stands_still(&self, gateway: usize, at: u64) -> bool {
        self.lives
            .iter()
            .filter(|l| l.gateway == gateway)
            .flat_map(|l| &l.stalls)
            .any(|s| s.0 <= at && at <= s.1)
    }

    /// How long the gateway stood still between two times.
    fn stalled(&self, gateway: usize, from: u64, to: u64) -> u64 {
        let stalls = self.lives.iter().filter(|l| l.gateway == gateway).flat_map(|l| &l.stalls);
        stalls.map(|s| s.1.min(to).saturating_sub(s.0.max(from))).sum()
    }
}

/// Rule 1: one final answer, before the deadline, and nothing goes out after it.
fn answers(e: &Evidence, terms: &Terms, visits: &[Visit], broken: &mut Vec<Broken>) {
    let mut say = |text: String| broken.push(Broken { rule: 1, text });
    let by_trace: HashMap<&str, &Record> = e.records.iter().map(|r| (r.trace.as_str(), r)).collect();
    for r in &e.records {
        if r.taken.is_none() || matches!(r.seen, Seen::NotTaken(_)) {
            continue;
        }
        if let Some(other) = &r.contradicted {
            say(format!("{} ended as {:?}, and then again as {other}", r.trace, r.seen));
        }
        let lost = matches!(r.seen, Seen::Lost(_) | Seen::GaveUp);
        if if terms.outlive { !r.moved.is_empty() && !lost } else { e.held_at_a_death(r) } {
            continue;
        }
        let late = r.ended.saturating_sub(r.due);
        match &r.seen {
            // No process answers while it stands still, nor knows how long a post has waited for it; what it does when it goes on is checked below like any other's.
            Seen::GaveUp if e.stands_still(r.gateway, r.posted) => {}
            Seen::GaveUp if !terms.outlive && e.stands_still(r.gateway, r.due) => {}
            Seen::GaveUp => say(format!("{} ({}) got no final answer", r.trace, r.class)),
            Seen::Lost(why) => say(format!("{} ({}) was lost: {why}", r.trace, r.class)),
            _ if late > terms.slack + e.stalled(r.gateway, r.posted, r.ended) => {
                say(format!("{} ({}) got its answer {} ms late", r.trace, r.class, late / 1000));
            }
            _ => {}
        }
    }
    for v in visits {
        let Some(r) = by_trace.get(v.trace.as_str()) else { continue };
        let ended = matches!(r.seen, Seen::Served | Seen::Refused(_) | Seen::Failed | Seen::Declined(_));
        if ended && v.at > r.ended + terms.slack {
            say(format!("{} reached {} {} ms after its end", r.trace, v.engine, (v.at - r.ended) / 1000));
        }
    }
}

/// Rule 2: no effect twice, and none of what was refused.
fn effects(e: &Evidence, terms: &Terms, broken: &mut Vec<Broken>) {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for line in &e.lines {
        if let What::Effect { trace, .. } = &line.what {
            *counts.entry(trace).or_default() += 1;
        }
    }
    for r in &e.records {
        let n = counts.get(r.trace.as_str()).copied().unwrap_or(0);
        let (once, keyed) = (terms.once.contains(&r.class), terms.keyed.contains(&r.class));
        if n > 1 && (once || keyed) {
            broken.push(Broken { rule: 2, text: format!("{} ({}) took effect {n} times", r.trace, r.class) });
        }
        if n > 0 && once && matches!(r.seen, Seen::Refused(_)) {
            broken.push(Broken { rule: 2, text: format!("{} was refused and took effect", r.trace) });
        }
        if n == 0 && (once || keyed) && r.seen == Seen::Served {
            broken.push(Broken { rule: 2, text: format!("{} was served and took no effect", r.trace) });
        }
    }
}

/// Rule 3: nothing new to an engine that is told to drain or to be gone.
fn drains(e: &Evidence, terms: &Terms, visits: &[Visit], broken: &mut Vec<Broken>) {
    let mut spans: BTreeMap<&str, Vec<(u64, u64, &str)>> = BTreeMap::new();
    for change in &e.changes {
        let of = spans.entry(change.engine.as_str()).or_default();
        if let Some(last) = of.last_mut().filter(|l| l.1 == u64::MAX) {
            if change.state == "up" {
                last.1 = change.at;
            }
            continue;
        }
        if change.state != "up" {
            of.push((change.at, u64::MAX, change.state));
        }
    }
    for v in visits {
        for &(from, to, state) in spans.get(v.engine.as_str()).into_iter().flatten() {
            // A gateway that stood still was told when it went on.
            let told = from + terms.list_every + e.stalled(v.gateway, from, v.at);
            let told = e
                .lives
                .iter()
                .filter(|l| l.gateway == v.gateway && l.from <= v.at)
                .map(|l| l.from)
                .max()
                .unwrap_or(0)
                .max(told);
            if v.at > told + terms.drain_grace + terms.slack / 2 && v.at < to {
                let text = format!(
                    "{} reached {} {} ms after it was told {state}",
                    v.trace,
                    v.engine,
                    (v.at - from) / 1000
                );
                broken.push(Broken { rule: 3, text });
            }
        }
    }
}

/// Rule 4: no cold engine pushed over.
fn cold_starts(e: &Evidence, broken: &mut Vec<Broken>) {
    for line in &e.lines {
        if line.what == What::Fell {
            broken.push(Broken { rule: 4, text: format!("{} was pushed over while cold", line.engine) });
        }
    }
}

/// Rule 5: statements of one key run one at a time, in the order in which one gateway took them.
fn order(e: &Evidence, terms: &Terms, visits: &[Visit], broken: &mut Vec<Broken>) {
    let mut by_trace: HashMap<&str, Vec<&Visit>> = HashMap::new();
    for v in visits {
        by_trace.entry(v.trace.as_str()).or_default().push(v);
    }
    let mut keys: BTreeMap<(usize, &str), Vec<&Record>> = BTreeMap::new();
    for r in e.records.iter().filter(|r| !r.key.is_empty() && r.taken.is_some()) {
        keys.entry((r.gateway, r.key.as_str())).or_default().push(r);
    }
    for ((gateway, key), mut list) in keys {
        list.sort_by_key(|r| r.taken);
        for (i, b) in list.iter().enumerate() {
            let Some(first) = by_trace.get(b.trace.as_str()).and_then(|v| v.iter().map(|v| v.at).min())
            else {
                continue;
            };
            for a in &list[..i] {
                let same_life =
                    !e.lives.iter().any(|l| l.gateway == gateway && l.to > a.posted && l.to < b.ended);
                if !same_life || a.taken.is_none_or(|t| t >= b.posted) {
                    continue;
                }
                let of_a = by_trace.get(a.trace.as_str()).map(Vec::as_slice).unwrap_or_default();
                let after = of_a.iter().any(|v| v.at > first);
                let open = a.ended > first + terms.slack && of_a.iter().any(|v| v.at > first);
                // Still running there when the next one came, and not yet at rest for as long as was agreed.
                let running = of_a.iter().any(|v| {
                    v.at < first
                        && v.over.is_none_or(|o| o > first)
                        && first < v.at + terms.key_rest
                        && v.how != "died"
                });
                if after || open || running {
                    let text = format!("{} of key {key} went out before {} was over", b.trace, a.trace);
                    broken.push(Broken { rule: 5, text });
                }
            }
        }
    }
}

/// Rule 6: bound classes only reach the kinds that they are bound to.
fn placement(e: &Evidence, terms: &Terms, visits: &[Visit], broken: &mut Vec<Broken>) {
    let mut kinds: HashMap<&str, &str> = HashMap::new();
    for line in &e.lines {
        if let What::Up { machine, .. } = &line.what {
            kinds.insert(&line.engine, machine);
        }
    }
    for v in visits {
        let kind = kinds.get(v.engine.as_str()).copied().unwrap_or_default();
        if terms.bound.iter().any(|(class, allowed)| *class == v.class && allowed != kind) {
            let text = format!("{} ({}) reached {} of kind {kind}", v.trace, v.class, v.engine);
            broken.push(Broken { rule: 6, text });
        }
    }
}

/// Rule 7: attempts beyond each request's first stay within the budget, in every window.
fn budget(e: &Evidence, terms: &Terms, visits: &[Visit], broken: &mut Vec<Broken>) {
    let (free, share, window) = terms.budget;
    let mut seen: HashMap<(usize, &str), usize> = HashMap::new();
    let mut extras: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for v in visits {
        let n = seen.entry((v.gateway, v.trace.as_str())).or_default();
        *n += 1;
        if *n > 1 {
            extras.entry(v.gateway).or_default().push(v.at);
        }
    }
    for (gateway, times) in extras {
        let mut taken: Vec<u64> =
            e.records.iter().filter(|r| r.gateway == gateway).map(|r| r.posted).collect();
        taken.sort_unstable();
        for &at in &times {
            // What reached the engine within the window was sent within one a little longer.
            let from = at.saturating_sub(window - terms.slack.min(window / 2));
            let made = times.iter().filter(|&&t| t > from && t <= at).count() as f64;
            let got = taken.iter().filter(|&&t| t + window + terms.slack > at && t <= at).count() as f64;
            if made > free + share * got {
                let text = format!(
                    "gateway {gateway} made {made} further attempts within {} ms for {got} requests",
                    window / 1000
                );
                broken.push(Broken { rule: 7, text });
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    fn record(trace: &str, class: &str) -> Record {
        Record {
            trace: trace.into(),
            gateway: 0,
            class: class.into(),
            key: String::new(),
            posted: 10 * S,
            taken: Some(10 * S + 1000),
            due: 14 * S,
            aim: 11 * S,
            worth: 1.0,
            late_worth: 0.3,
            seen: Seen::Served,
            ended: 11 * S,
            contradicted: None,
            rows: 1,
            session: None,
            moved: Vec::new(),
        }
    }

    fn line(at: u64, engine: &str, what: What) -> Line {
        Line { at, engine: engine.into(), what }
    }

    fn got(at: u64, engine: &str, trace: &str, class: &str, n: u64) -> Line {
        let what = What::Got {
            trace: trace.into(),
            via: "1.1 violetward-0".into(),
            n,
            class: class.into(),
            key: String::new(),
        };
        line(at, engine, what)
    }

    fn over(at: u64, engine: &str, n: u64) -> Line {
        line(at, engine, What::Over { n, how: "done".into() })
    }

    fn rules(e: &Evidence) -> Vec<usize> {
        check(e, &Terms::default()).iter().map(|b| b.rule).collect()
    }

    fn good() -> Evidence {
        let lines = vec![
            line(S, "e1", What::Up { life: "x".into(), machine: "m8".into(), cold: false }),
            got(10 * S + 2000, "e1", "a", "lookup", 1),
            over(10 * S + 90_000, "e1", 1),
        ];
        let lives = vec![GatewayLife { gateway: 0, from: S, to: u64::MAX, stalls: vec![] }];
        let changes = vec![ListChange { at: S, engine: "e1".into(), state: "up" }];
        Evidence { records: vec![record("a", "lookup")], lines, changes, lives }
    }

    #[test]
    fn a_good_day_breaks_nothing() {
        assert_eq!(rules(&good()), [0; 0]);
    }

    #[test]
    fn answers_that_lack_come_late_or_twice_are_found() {
        let mut e = good();
        e.records[0].seen = Seen::GaveUp;
        assert_eq!(rules(&e), [1]);
        e = good();
        e.records[0].ended = 14 * S + 400_000;
        assert_eq!(rules(&e), [1]);
        e = good();
        e.records[0].contradicted = Some("other".into());
        assert_eq!(rules(&e), [1]);
        e = good();
        e.lines.push(got(12 * S, "e1", "a", "lookup", 2));
        assert_eq!(rules(&e), [1]);
        // The same, but its gateway was killed: its client looks after itself.
        e = good();
        e.records[0].seen = Seen::Lost("reset".into());
        e.lives[0].to = 10 * S + 500_000;
        assert_eq!(rules(&e), [0; 0]);
    }

    #[test]
    fn effects_twice_or_after_a_refusal_are_found() {
        let mut e = good();
        e.records[0].class = "notice".into();
        let effect = |n| line(10 * S + 80_000, "e1", What::Effect { trace: "a".into(), n });
        e.lines.push(effect(1));
        assert_eq!(rules(&e), [0; 0]);
        e.records[0].seen = Seen::Refused(0);
        assert_eq!(rules(&e), [2]);
        e.records[0].seen = Seen::Failed;
        e.lines.push(effect(2));
        assert_eq!(rules(&e), [2]);
    }

    #[test]
    fn work_for_a_drained_engine_and_for_one_of_the_wrong_kind_is_found() {
        let mut e = good();
        e.changes.push(ListChange { at: 9 * S, engine: "e1".into(), state: "draining" });
        assert_eq!(rules(&e), [3]);
        e.changes[1].at = 10 * S - 400_000;
        assert_eq!(rules(&e), [0; 0], "within the grace");
        let mut e = good();
        e.lines[0] = line(S, "e1", What::Up { life: "x".into(), machine: "m4".into(), cold: false });
        e.lines[1] = got(10 * S + 2000, "e1", "a", "report", 1);
        assert_eq!(rules(&e), [6]);
        e.lines.push(line(11 * S, "e1", What::Fell));
        assert_eq!(rules(&e), [4, 6]);
    }

    #[test]
    fn statements_of_a_key_that_overlap_are_found() {
        let mut e = good();
        let keyed = |trace: &str, posted| Record {
            key: "k".into(),
            posted,
            taken: Some(posted + 1000),
            ended: posted + S,
            ..record(trace, "lookup")
        };
        e.records = vec![keyed("a", 10 * S), keyed("b", 10 * S + 50_000)];
        e.lines.push(got(10 * S + 95_000, "e1", "b", "lookup", 2));
        assert_eq!(rules(&e), [0; 0]);
        e.lines[3].at = 10 * S + 85_000;
        e.lines.swap(2, 3);
        assert_eq!(rules(&e), [5]);
    }

    #[test]
    fn attempts_over_the_budget_are_found() {
        let mut e = good();
        for n in 2..8 {
            e.lines.push(got(10 * S + 10_000 * n, "e1", "a", "lookup", n));
        }
        assert_eq!(rules(&e), [7]);
        e.lines.pop();
        assert_eq!(rules(&e), [0; 0]);
    }
}
