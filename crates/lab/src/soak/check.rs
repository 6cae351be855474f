//! The rules, checked on what clients, engines and the resolver of a soak saw.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use super::record::{Event, Written};
use super::settings::STOP_SENDING_MS;

/// Up to this long after its client's time a final answer earns nothing; later it is lost.
pub const TOLERANCE: Duration = Duration::from_millis(500);
/// A request that meets the close of a resting connection within this time is sent again by its client.
pub const CROSSING: Duration = Duration::from_millis(80);
/// What scheduling may cost between something and its record.
const SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin this long after its client left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// By how much the patience told to an engine may exceed what its client has left.
const PATIENCE_SLACK: Duration = Duration::from_millis(150);
/// What happened counts as told by the list after this time.
const TOLD_WITHIN: Duration = Duration::from_millis(1_500);
/// Every time limit is longer by this on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Requests that come later than this after SIGTERM have to be answered before SIGKILL.
const TAKEN_AFTER_TERM: Duration = Duration::from_millis(700);
/// How long a gateway that has stood still may take to catch up.
const CATCH_UP: Duration = Duration::from_millis(600);

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Break {
    /// The rule.
    pub rule: &'static str,
    /// When.
    pub at: Duration,
    /// By which request; 0 if by none.
    pub id: u64,
    /// How.
    pub why: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<10} {:8.3} s  request {:016x}: {}", self.rule, self.at.as_secs_f64(), self.id, self.why)
    }
}

/// What is known of a request.
#[derive(Default)]
struct Story {
    written: Option<(Duration, Written)>,
    answers: Vec<(Duration, bool)>,
    left: Option<Duration>,
    ended: Option<(Duration, bool)>,
    fetched: Vec<(Duration, usize, Duration)>,
    turned_away: usize,
}

/// What is known of the processes and the list.
#[derive(Default)]
struct Circumstances {
    terminated: Vec<(Duration, usize)>,
    killed: Vec<(Duration, usize, bool)>,
    stopped: Vec<(Duration, usize, Duration)>,
    troubled: Vec<(Duration, Duration)>,
    drains: HashMap<usize, Duration>,
    /// The lists that were sent, by time: to whom, and the engines that are ready.
    lists: Vec<(Duration, usize, Vec<usize>)>,
    end: Duration,
}

impl Circumstances {
    /// A time by which a gateway has to have done something, or later if it was stopped meanwhile.
    fn unless_stopped(&self, gateway: usize, from: Duration, by: Duration) -> Duration {
        let stops = self.stopped.iter().filter(|(_, stopped, _)| *stopped == gateway);
        stops.fold(
            by,
            |by, &(at, _, span)| {
                if at <= by && at + span >= from {
                    by.max(at + span + CATCH_UP)
                } else {
                    by
                }
            },
        )
    }

    /// When a gateway counts as told that an engine drains: with the first answer that says so, and at the latest
    /// some time after it began.
    fn told(&self, gateway: usize, engine: usize, drained: Duration) -> Duration {
        let says_so = |&&(at, told, ref ready): &&(Duration, usize, Vec<usize>)| {
            at >= drained && told == gateway && !ready.contains(&engine)
        };
        let answered = self.lists.iter().find(says_so).map(|(at, ..)| *at);
        answered.unwrap_or(Duration::MAX).min(self.told_at_the_latest(drained))
    }

    fn told_at_the_latest(&self, drained: Duration) -> Duration {
        let mut told = drained + TOLD_WITHIN;
        for &(at, span) in &self.troubled {
            if at <= told && at + span + SLACK >= drained {
                told = told.max(at + span + TOLD_WITHIN);
            }
        }
        told
    }

    /// Whether a gateway was killed so that a request may stay unanswered.
    fn excuses(&self, gateway: usize, written: Duration, ended: Duration) -> bool {
        self.killed.iter().any(|&(at, killed, after_sigterm)| {
            let meets = killed == gateway && at + SLACK >= written && at <= ended + SLACK;
            let told = self.terminated.iter().rfind(|&&(told, of)| of == gateway && told <= at);
            let told = told.filter(|_| after_sigterm);
            meets && told.is_none_or(|&(told, _)| written < told + TAKEN_AFTER_TERM + SLACK)
        })
    }
}

/// All breaks, by time.
pub fn check(records: &[(Duration, Event)]) -> Vec<Break> {
    let (stories, circumstances) = gather(records);
    let mut breaks = Vec::new();
    for (&id, story) in &stories {
        let mut broken = |rule, at, why: String| breaks.push(Break { rule, at, id, why });
        check_answers(story, &circumstances, &mut broken);
        check_attempts(story, &circumstances, &mut broken);
    }
    breaks.sort_by_key(|b| (b.at, b.id));
    breaks
}

fn gather(records: &[(Duration, Event)]) -> (HashMap<u64, Story>, Circumstances) {
    let mut stories: HashMap<u64, Story> = HashMap::new();
    let mut circumstances = Circumstances::default();
    for &(at, ref event) in records {
        circumstances.end = at;
        match *event {
            Event::Written(written) => stories.entry(written.id).or_default().written = Some((at, written)),
            Event::Answered { id, served, right } => {
                stories.entry(id).or_default().answers.push((at, !served || right))
            }
            Event::Left { id } => stories.entry(id).or_default().left = Some(at),
            Event::Ended { id, crossed } => stories.entry(id).or_default().ended = Some((at, crossed)),
            Event::Fetched { id, engine, patience } => {
                stories.entry(id).or_default().fetched.push((at, engine, patience));
            }
            Event::TurnedAway { id } => stories.entry(id).or_default().turned_away += 1,
            Event::Drains { engine } => {
                circumstances.drains.entry(engine).or_insert(at);
            }
            Event::ListTold { gateway, ref ready } => {
                circumstances.lists.push((at, gateway, ready.clone()));
            }
            Event::ListTroubled { span } => circumstances.troubled.push((at, span)),
            Event::Terminated { gateway } => circumstances.terminated.push((at, gateway)),
            Event::Killed { gateway, after_sigterm } => {
                circumstances.killed.push((at, gateway, after_sigterm))
            }
            Event::Stopped { gateway, span } => circumstances.stopped.push((at, gateway, span)),
            Event::Fault(_) => {}
        }
    }
    (stories, circumstances)
}

/// One final answer, right and in time.
fn check_answers(
    story: &Story,
    circumstances: &Circumstances,
    broken: &mut impl FnMut(&'static str, Duration, String),
) {
    let Some((at, written)) = story.written else {
        if let Some(&(at, ..)) = story.fetched.first() {
            broken("lost", at, "sent on, and no client wrote it".into());
        }
        return;
    };
    if let [_, (again, _), ..] = story.answers[..] {
        broken("lost", again, "a second answer".into());
    }
    if let Some(&(wrong, _)) = story.answers.iter().find(|(_, right)| !right) {
        broken("lost", wrong, "served with a wrong result".into());
    }
    let due = (at + written.wait).saturating_sub(written.held) + TOLERANCE + SLACK;
    let due = circumstances.unless_stopped(written.gateway, at, due);
    match (story.answers.first(), story.ended) {
        (Some(&(answered, _)), _) if answered > due => {
            broken("lost", answered, format!("answered {:?} after its time was over", answered - due));
        }
        (Some(_), _) => {}
        _ if story.left.is_some() => {}
        (None, Some((ended, crossed))) => {
            if !crossed && !circumstances.excuses(written.gateway, at, ended) {
                broken(
                    "lost",
                    ended,
                    format!("its connection to n{} ended without an answer", written.gateway),
                );
            }
        }
        (None, None) if due < circumstances.end && !circumstances.excuses(written.gateway, at, due) => {
            broken("lost", due, format!("no final answer of n{}", written.gateway));
        }
        (None, None) => {}
    }
}

/// No effect twice, nothing for clients that left, no more patience than is left, nothing to engines that drain.
fn check_attempts(
    story: &Story,
    circumstances: &Circumstances,
    broken: &mut impl FnMut(&'static str, Duration, String),
) {
    let Some((at, written)) = story.written else { return };
    let ran = story.fetched.len().saturating_sub(story.turned_away);
    if let (true, Some(&(last, ..))) = (written.unsafe_to_repeat && ran > 1, story.fetched.last()) {
        broken("duplicate", last, format!("{ran} attempts that may have run"));
    }
    let stood = |by| circumstances.unless_stopped(written.gateway, by, by);
    let ends = (at + written.wait).saturating_sub(written.held);
    let mut drained = HashSet::new();
    for &(fetched, engine, patience) in &story.fetched {
        if story.left.is_some_and(|left| fetched > stood(left + LEFT_SLACK + SLACK)) {
            broken("lost", fetched, "an attempt after its client left".into());
        }
        let left = ends.saturating_sub(fetched);
        if patience > left + PATIENCE_SLACK + SLACK {
            broken("patience", fetched, format!("its engine is told {patience:?} where {left:?} are left"));
        }
        let Some(&drains) = circumstances.drains.get(&engine) else { continue };
        let grace = Duration::from_millis(STOP_SENDING_MS) + SOCKET_SLACK + SLACK;
        let told = circumstances.told(written.gateway, engine, drains);
        if fetched > stood(told + grace) && drained.insert(engine) {
            broken(
                "drain",
                fetched,
                format!("sent to e-{engine} {:?} after its drain was told", fetched - told),
            );
        }
    }
}
