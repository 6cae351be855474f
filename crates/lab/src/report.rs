//! A day in a table.

use std::collections::BTreeMap;
use std::fmt;

use violetward_standin::journal::What;

use crate::checker::{Broken, Evidence, RULES};
use crate::client::Seen;

/// Counts of a class or of the day.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Taken by a gateway.
    pub taken: usize,
    /// Served, in time or late.
    pub served: usize,
    /// Of these, after the aim.
    pub late: usize,
    /// Refused.
    pub refused: usize,
    /// Failed, or declined by an engine.
    pub failed: usize,
    /// Lost with a gateway that was killed.
    pub lost: usize,
    /// No gateway took it.
    pub not_taken: usize,
    /// Worth asked for.
    pub asked: f64,
    /// Worth served.
    pub earned: f64,
}

/// What came of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The day's name.
    pub name: String,
    /// Who decided.
    pub policy: &'static str,
    /// By class.
    pub classes: BTreeMap<String, Counts>,
    /// In all.
    pub all: Counts,
    /// Statements that took effect more than once.
    pub doubled: usize,
    /// Attempts that reached engines.
    pub attempts: usize,
    /// How transactions ended for their clients.
    pub sessions: BTreeMap<String, usize>,
    /// Broken rules.
    pub broken: Vec<Broken>,
}

impl Report {
    /// Counts a day's evidence.
    pub fn new(name: &str, policy: &'static str, evidence: &Evidence, broken: Vec<Broken>) -> Report {
        let mut classes: BTreeMap<String, Counts> = BTreeMap::new();
        let mut all = Counts::default();
        for r in &evidence.records {
            let of = classes.entry(r.class.clone()).or_default();
            for c in [of, &mut all] {
                c.asked += r.worth;
                c.taken += usize::from(r.taken.is_some());
                match &r.seen {
                    Seen::Served => {
                        c.served += 1;
                        let late = r.ended > r.aim;
                        c.late += usize::from(late);
                        c.earned += if late { r.worth * r.late_worth } else { r.worth };
                    }
                    Seen::Refused(_) => c.refused += 1,
                    Seen::Failed | Seen::Declined(_) => c.failed += 1,
                    Seen::Lost(_) | Seen::GaveUp => c.lost += 1,
                    Seen::NotTaken(_) => c.not_taken += 1,
                }
            }
        }
        let mut sessions = BTreeMap::new();
        for word in evidence.records.iter().filter_map(|r| r.session.clone()) {
            *sessions.entry(word).or_default() += 1;
        }
        let mut effects: BTreeMap<&str, usize> = BTreeMap::new();
        let mut attempts = 0;
        for line in &evidence.lines {
            match &line.what {
                What::Effect { trace, .. } => *effects.entry(trace).or_default() += 1,
                What::Got { .. } => attempts += 1,
                _ => {}
            }
        }
        let doubled = effects.values().filter(|&&n| n > 1).count();
        Report { name: name.to_owned(), policy, classes, all, doubled, attempts, sessions, broken }
    }

    /// Worth served over worth asked.
    pub fn worth(&self) -> f64 {
        self.all.earned / self.all.asked.max(1e-9)
    }

    /// One line for a table of days.
    pub fn line(&self) -> String {
        let c = &self.all;
        let rules: Vec<String> =
            (1..=7).filter(|r| self.broken.iter().any(|b| b.rule == *r)).map(|r| r.to_string()).collect();
        let rules = if rules.is_empty() { "kept".to_owned() } else { format!("BROKEN {}", rules.join(",")) };
        format!(
            "| {:<16} | {:<15} | {:>5} | {:>6} | {:>4} | {:>7} | {:>6} | {:>4} | {:>7} | {:>5.3} | {} |",
            self.name,
            self.policy,
            c.taken,
            c.served,
            c.late,
            c.refused,
            c.failed,
            c.lost,
            self.doubled,
            self.worth(),
            rules
        )
    }

    /// The head of such a table.
    pub fn head() -> String {
        let names = "| day              | policy          | taken | served | late | refused | failed | lost | doubled | worth | rules |";
        let bars: String = names.chars().map(|c| if c == '|' { '|' } else { '-' }).collect();
        format!("{names}\n{bars}")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n{}\n", Report::head(), self.line())?;
        writeln!(f, "class     taken served  late refused failed  lost   worth")?;
        for (name, c) in &self.classes {
            let worth = c.earned / c.asked.max(1e-9);
            writeln!(
                f,
                "{name:<9} {:>5} {:>6} {:>5} {:>7} {:>6} {:>5}   {worth:.3}",
                c.taken, c.served, c.late, c.refused, c.failed, c.lost
            )?;
        }
        writeln!(f, "\nattempts that reached engines: {}", self.attempts)?;
        for (word, n) in &self.sessions {
            writeln!(f, "transactions {word}: {n}")?;
        }
        for (i, rule) in RULES.iter().enumerate() {
            let of: Vec<&Broken> = self.broken.iter().filter(|b| b.rule == i + 1).collect();
            if of.is_empty() {
                writeln!(f, "rule {} ({rule}): kept", i + 1)?;
            } else {
                writeln!(f, "rule {} ({rule}): BROKEN {} times", i + 1, of.len())?;
                for b in of.iter().take(5) {
                    writeln!(f, "    {}", b.text)?;
                }
            }
        }
        Ok(())
    }
}
