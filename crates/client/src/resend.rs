//! What may be sent again, when and how many times: a table, a deadline and a budget. Free of I/O and clock.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;

/// Microseconds of the caller's clock.
pub type Micros = u64;

/// How often a statement may take effect, as its client knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// Harmless to repeat.
    Repeatable,
    /// Engines drop repeats of its mark, for as long as the service says.
    Keyed,
    /// Must not run twice. What is not said is taken for this.
    #[default]
    Once,
}

/// How a try stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stop {
    /// No connection, or not a byte was written.
    NotWritten,
    /// The gateway did not take it (503, 429).
    TurnedAway,
    /// Bytes of the post were written, and no answer came.
    PostUnanswered,
    /// A poll broke; the gateway may still have the statement.
    PollBroken,
    /// The gateway is gone or no longer knows it.
    Lost,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The statement itself is wrong.
    Declined,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Verdict {
    Again,
    Marked,
    Poll,
    End,
    Unknown,
}

#[derive(Debug, Clone, Deserialize)]
struct Row {
    stop: Stop,
    repeatable: Verdict,
    keyed: Verdict,
    once: Verdict,
}

/// The table.
#[derive(Debug, Clone, Deserialize)]
pub struct Table {
    rows: Vec<Row>,
    gateway_alone: Vec<Stop>,
    polls_again: u32,
    polls_anywhere: u32,
    sends_most: u32,
    pause_first_millis: u64,
    pause_longest_millis: u64,
    pause_anywhere_millis: u64,
}

impl Default for Table {
    /// The table that both libraries share.
    fn default() -> Self {
        serde_json::from_str(include_str!("../resend.json")).expect("the table of this crate can be read")
    }
}

/// What is known of a statement when a try of it stops.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Case {
    /// Its effect class.
    pub effect: Effect,
    /// It carries a mark of its client.
    pub marked: bool,
    /// The window that the service told, from the first sending.
    pub window: Option<Duration>,
    /// When it was first sent.
    pub first_sent: Micros,
    /// Tries so far.
    pub sends: u32,
    /// Polls of the same page that broke in a row.
    pub broken_polls: u32,
    /// When its caller stops waiting.
    pub due: Micros,
    /// The service's advice when to come back.
    pub advice: Option<Duration>,
    /// Rows have been handed to the caller: a further try would give some of them twice.
    pub delivered: bool,
    /// The caller wants no more.
    pub cancelled: bool,
    /// The service said that any of its gateways gives the statement's pages.
    pub anywhere: bool,
    /// The caller lets the library make attempts of its own; else the gateway alone makes them.
    pub may_resend: bool,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it again, after a pause, through another gateway if there is one.
    Send {
        /// The pause.
        after: Duration,
    },
    /// Ask for the same page again: the same gateway, and another one where any of them gives it.
    Poll {
        /// The pause.
        after: Duration,
    },
    /// Hand the ending that came to the caller.
    End,
    /// Tell the caller that nobody knows whether it ran.
    Unknown,
}

impl Table {
    /// Decides. `dice` is drawn evenly from 0 to 1, for the jitter of pauses.
    pub fn decide(&self, stop: Stop, case: &Case, now: Micros, budget: &mut Budget, dice: f64) -> Next {
        let row = self.rows.iter().find(|r| r.stop == stop);
        let verdict = row.map_or(Verdict::Unknown, |r| match case.effect {
            Effect::Repeatable => r.repeatable,
            Effect::Keyed => r.keyed,
            Effect::Once => r.once,
        });
        // Nothing more can be tried: what was told is handed on; if nothing was, it is honest to say so.
        let over = match stop {
            Stop::PostUnanswered | Stop::Lost | Stop::PollBroken => Next::Unknown,
            _ => Next::End,
        };
        match verdict {
            Verdict::End => Next::End,
            Verdict::Unknown => Next::Unknown,
            Verdict::Poll => {
                let mut after = self.pause(case.broken_polls, dice);
                let mut most = self.polls_again;
                if case.anywhere {
                    // While one takes it over from another it is worth asking on.
                    most = self.polls_anywhere;
                    after = after.min(Duration::from_millis(self.pause_anywhere_millis));
                }
                if case.broken_polls < most && now + micros(after) < case.due {
                    Next::Poll { after }
                } else {
                    // As good as lost.
                    self.decide(Stop::Lost, case, now, budget, dice)
                }
            }
            Verdict::Again | Verdict::Marked => {
                let after =
                    self.pause(case.sends.saturating_sub(1), dice).max(case.advice.unwrap_or_default());
                let at = now + micros(after);
                let known = case.window.is_some_and(|w| at < case.first_sent + micros(w));
                let allowed = verdict == Verdict::Again || case.marked && known;
                let ours = case.may_resend || !self.gateway_alone.contains(&stop);
                let allowed = allowed && !case.delivered && !case.cancelled;
                if allowed && ours && case.sends < self.sends_most && at < case.due && budget.take(now) {
                    Next::Send { after }
                } else {
                    over
                }
            }
        }
    }

    /// Grows by twos up to a longest one; half to all of it, so that clients don't come together.
    fn pause(&self, before: u32, dice: f64) -> Duration {
        let grown =
            self.pause_first_millis.saturating_mul(1 << before.min(16)).min(self.pause_longest_millis);
        Duration::from_secs_f64(grown as f64 / 1e3 * (0.5 + 0.5 * dice.clamp(0.0, 1.0)))
    }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// The budget of further sends of a whole process: within any window a few, and a share of the statements begun in it.
#[derive(Debug, Clone)]
pub struct Budget {
    free: f64,
    share: f64,
    window: Micros,
    begun: VecDeque<Micros>,
    made: VecDeque<Micros>,
}

impl Budget {
    /// `free` sends, and `share` for each statement, counted over `window`.
    pub fn new(free: f64, share: f64, window: Duration) -> Self {
        Budget { free, share, window: micros(window), begun: VecDeque::new(), made: VecDeque::new() }
    }

    /// A statement begins.
    pub fn begin(&mut self, now: Micros) {
        self.tidy(now);
        self.begun.push_back(now);
    }

    /// Takes one further send out, if there is one left.
    pub fn take(&mut self, now: Micros) -> bool {
        self.tidy(now);
        let left = self.free + self.share * self.begun.len() as f64 - self.made.len() as f64;
        if left >= 1.0 {
            self.made.push_back(now);
        }
        left >= 1.0
    }

    fn tidy(&mut self, now: Micros) {
        let from = now.saturating_sub(self.window);
        self.begun.drain(..self.begun.partition_point(|&t| t <= from));
        self.made.drain(..self.made.partition_point(|&t| t < from));
    }
}

impl Default for Budget {
    /// Five, and a tenth, over five seconds.
    fn default() -> Self {
        Budget::new(5.0, 0.1, Duration::from_secs(5))
    }
}
