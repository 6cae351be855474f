//! A reader of gateways' logs: where the worth of a day went, by time and class.
//!
//! Each gateway of `violetward platform` writes its own log; at debug level it tells every request, attempt and answer.
//! Put together they show what a day's report can't: what was turned away at once, what waited in vain, what ended with
//! the engine that it was sent to. Only what our own program writes is read.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::path::Path;
use std::{fs, io};

/// A request that is answered within this span without any attempt was turned away, in seconds.
const AT_ONCE: f64 = 0.05;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// Taken back by its client.
    Lapsed,
    /// The log ends before it.
    Open,
}

/// One request, as its gateway's log tells it. Times are seconds since that log began.
#[derive(Debug, Clone, PartialEq)]
pub struct Story {
    /// Its class, by place in the settings.
    pub class: usize,
    /// When it came.
    pub came: f64,
    /// When its first attempt was launched.
    pub sent: Option<f64>,
    /// Attempts launched.
    pub attempts: usize,
    /// How the last attempt that has ended did: the outcome's name.
    pub outcome: Option<String>,
    /// Its end.
    pub end: End,
    /// When that was; when it came if it has none.
    pub ended: f64,
}

impl Story {
    /// Why it was not served; nothing if it was.
    fn cause(&self) -> Option<String> {
        let how = match (&self.outcome, self.attempts) {
            (Some(outcome), _) => format!("after {outcome}"),
            (None, 0) if self.ended - self.came < AT_ONCE => "at once".into(),
            (None, 0) => "never sent".into(),
            (None, _) => "attempt out".into(),
        };
        let word = match self.end {
            End::Served => return None,
            End::Refused => "refused",
            End::Failed => "failed",
            End::Lapsed => "taken back",
            End::Open => "no answer",
        };
        Some(format!("{word}, {how}"))
    }
}

/// What the logs of a day tell.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Logs {
    /// Requests, in no order.
    pub stories: Vec<Story>,
    /// What the module said, with engines' names left out: how often.
    pub said: BTreeMap<String, usize>,
}

/// The value of `name` in a line, up to the next space or comma: `name=value` of a field, `name: value` inside one.
fn value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let found = |mark: &str| line.find(mark).map(|at| &line[at + mark.len()..]);
    let rest = found(&format!(" {name}=")).or_else(|| found(&format!(" {name}: ")))?;
    Some(rest.split([' ', ',']).next().unwrap_or(rest).trim_matches('"'))
}

/// Seconds of the day in a line's own time stamp (`2026-01-31T10:20:30.5Z`).
fn stamp(word: &str) -> Option<f64> {
    let clock = word.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    Some(parts.next()?? * 3600.0 + parts.next()?? * 60.0 + parts.next()??)
}

impl Logs {
    /// Adds one gateway's log. Lines that are of no use are passed over.
    pub fn add(&mut self, text: &str) {
        let mut began = None;
        let (mut open, mut numbers) = (HashMap::new(), HashMap::new());
        for line in text.lines() {
            // Whoever ran the gateway may have put a time of his own before ours.
            let Some(now) = line.split(' ').take(2).find_map(stamp) else { continue };
            // A log that runs over midnight goes on.
            let first = *began.get_or_insert(now);
            let now = if now < first { now + 86_400.0 } else { now } - first;
            if let Some((_, said)) = line.split_once("violetward::module: ") {
                let words =
                    said.split(' ').filter(|w| w.len() < 8 || !w.bytes().all(|b| b.is_ascii_hexdigit()));
                *self.said.entry(words.collect::<Vec<_>>().join(" ")).or_default() += 1;
            } else if line.contains("::front: request client=") {
                let told = (value(line, "id"), value(line, "class").and_then(|class| class.parse().ok()));
                let (Some(id), Some(class)) = told else { continue };
                let story = Story {
                    class,
                    came: now,
                    sent: None,
                    attempts: 0,
                    outcome: None,
                    end: End::Open,
                    ended: now,
                };
                let number =
                    (value(line, "client").map(String::from), value(line, "seqid").map(String::from));
                open.insert(id.to_string(), self.stories.len());
                numbers.insert(number, self.stories.len());
                self.stories.push(story);
            } else if line.contains("::front: answer client=") || line.contains("::core: taken back client=")
            {
                let number =
                    (value(line, "client").map(String::from), value(line, "seqid").map(String::from));
                let Some(story) = numbers.remove(&number).map(|at: usize| &mut self.stories[at]) else {
                    continue;
                };
                story.ended = now;
                story.end = match value(line, "what") {
                    Some("served") => End::Served,
                    Some("refused") => End::Refused,
                    Some("failed") => End::Failed,
                    _ => End::Lapsed,
                };
            } else if let Some(&at) = value(line, "id").and_then(|id| open.get(id)) {
                let story: &mut Story = &mut self.stories[at];
                if line.contains("::engine: launch ") {
                    story.attempts += 1;
                    story.sent = story.sent.or(Some(now));
                } else if let Some(outcome) = value(line, "outcome") {
                    story.outcome = Some(outcome.to_string());
                } else if line.contains("no way to it") {
                    story.outcome = Some("no way to it".into());
                }
            }
        }
    }

    /// Reads the logs of a folder, `*.log`, one for each gateway.
    ///
    /// # Errors
    /// The folder or a file can't be read.
    pub fn read(folder: &Path) -> io::Result<Logs> {
        let mut logs = Logs::default();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "log") {
                logs.add(&String::from_utf8_lossy(&fs::read(&path)?));
            }
        }
        Ok(logs)
    }

    /// Tables: each class by spans of `span` seconds, then the causes of what was not served. What is served later than
    /// its class's aim (seconds, by place) is late; a class without one has none.
    pub fn tables(&self, span: f64, aims: &[f64]) -> String {
        let mut spans: BTreeMap<(usize, u64), Vec<&Story>> = BTreeMap::new();
        let mut causes: BTreeMap<(usize, String), usize> = BTreeMap::new();
        for story in &self.stories {
            spans.entry((story.class, (story.came / span) as u64)).or_default().push(story);
            if let Some(cause) = story.cause() {
                *causes.entry((story.class, cause)).or_default() += 1;
            }
        }
        let mut text = String::from(
            "class   from  asked in-time  late refused failed  back  open attempts  first attempt ms (median, 99th)\n",
        );
        for ((class, at), stories) in &spans {
            let count = |end: End| stories.iter().filter(|s| s.end == end).count();
            let aim = aims.get(*class).copied().unwrap_or(f64::INFINITY);
            let late = stories.iter().filter(|s| s.end == End::Served && s.ended - s.came > aim).count();
            let mut waits: Vec<f64> = stories.iter().filter_map(|s| Some(s.sent? - s.came)).collect();
            waits.sort_by(f64::total_cmp);
            let part = |of: usize| waits.get(waits.len() * of / 100).map_or(0.0, |wait| wait * 1e3);
            let _ = writeln!(
                text,
                "{class:5} {:6.0} {:6} {:7} {late:5} {:7} {:6} {:5} {:5} {:8}  {:.1}, {:.0}",
                *at as f64 * span,
                stories.len(),
                count(End::Served) - late,
                count(End::Refused),
                count(End::Failed),
                count(End::Lapsed),
                count(End::Open),
                stories.iter().map(|s| s.attempts).sum::<usize>(),
                part(50),
                part(99),
            );
        }
        text.push_str("\nnot served, by class and cause\n");
        let mut causes: Vec<_> = causes.into_iter().collect();
        causes.sort_by_key(|((class, _), n)| (*class, std::cmp::Reverse(*n)));
        for ((class, cause), n) in causes {
            let _ = writeln!(text, "{class:5} {n:6}  {cause}");
        }
        text.push_str("\nsaid by the module\n");
        for (said, n) in &self.said {
            let _ = writeln!(text, "{n:12}  {said}");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY: &str = "\
0.000 2026-01-31T23:59:58.000000Z  INFO violetward_platform::service: taking requests name=\"n0\"
2026-01-31T23:59:59.000000Z DEBUG violetward_platform::front: request client=1 seqid=1 call=Call { id: 00000000000000aa, class: 0, wait: 6000000, retry: false, once: None }
2026-01-31T23:59:59.010000Z DEBUG violetward_platform::engine: launch engine=ff id=00000000000000aa attempt=0 memory=1 rank=1
2026-02-01T00:00:00.000000Z DEBUG violetward_platform::engine: ended engine=ff id=00000000000000aa attempt=0 outcome=Ok work=Some(30000)
2026-02-01T00:00:00.000000Z DEBUG violetward_platform::front: answer client=1 seqid=1 what=\"served\"
2026-02-01T00:00:00.000000Z DEBUG violetward_platform::front: request client=1 seqid=2 call=Call { id: 00000000000000ab, class: 1, wait: 6000000, retry: false, once: None }
2026-02-01T00:00:00.001000Z DEBUG violetward_platform::front: answer client=1 seqid=2 what=\"refused\"
2026-02-01T00:00:01.000000Z DEBUG violetward_platform::front: request client=1 seqid=3 call=Call { id: 00000000000000ac, class: 1, wait: 6000000, retry: false, once: None }
2026-02-01T00:00:01.000000Z DEBUG violetward_platform::engine: launch engine=ff id=00000000000000ac attempt=0 memory=1 rank=1
2026-02-01T00:00:02.000000Z DEBUG violetward_platform::core: given up engine=ff id=00000000000000ac attempt=0 outcome=\"Timeout\"
2026-02-01T00:00:02.000000Z  INFO violetward::module: engine 907242b458d220d5 is left alone: no answers
2026-02-01T00:00:02.000000Z DEBUG violetward_platform::front: answer client=1 seqid=3 what=\"failed\"
2026-02-01T00:00:03.000000Z DEBUG violetward_platform::front: request client=2 seqid=3 call=Call { id: 00000000000000ad, class: 1, wait: 6000000, retry: false, once: None }
2026-02-01T00:00:03.500000Z DEBUG violetward_platform::core: taken back client=2 seqid=3 id=00000000000000ad
";

    #[test]
    fn a_day_is_put_together_from_what_gateways_write() {
        let mut logs = Logs::default();
        logs.add(DAY);
        logs.add(DAY);
        assert_eq!(logs.stories.len(), 8);
        let ends: Vec<End> = logs.stories[..4].iter().map(|s| s.end).collect();
        assert_eq!(ends, [End::Served, End::Refused, End::Failed, End::Lapsed]);
        let first = &logs.stories[0];
        assert_eq!((first.came, first.attempts), (1.0, 1), "over midnight, since the log began");
        assert!((first.sent.unwrap() - 1.01).abs() < 1e-6 && (first.ended - 2.0).abs() < 1e-6);
        let causes: Vec<Option<String>> = logs.stories[4..].iter().map(Story::cause).collect();
        let told = ["refused, at once", "failed, after Timeout", "taken back, never sent"]
            .map(|c| Some(c.to_string()));
        assert_eq!(causes, [&[None], &told[..]].concat());
        assert_eq!(logs.said, BTreeMap::from([("engine is left alone: no answers".to_string(), 2)]));
    }

    #[test]
    fn what_is_served_after_its_aim_is_late() {
        let mut logs = Logs::default();
        logs.add(DAY);
        let row = |aims: &[f64]| logs.tables(10.0, aims).lines().nth(1).expect("a row").to_string();
        let counts =
            |aims: &[f64]| row(aims).split_whitespace().skip(2).take(3).map(String::from).collect::<Vec<_>>();
        assert_eq!(counts(&[]), ["1", "1", "0"]);
        assert_eq!(counts(&[0.5]), ["1", "0", "1"]);
    }
}
