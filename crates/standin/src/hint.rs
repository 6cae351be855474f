//! How a statement tells a stand-in what it costs: a comment `/*sim work=200 threads=2 io=0.3 mem=64 load=1*/`.
//! The gateway passes comments over, so that it learns nothing from them. Work and memory: milliseconds, megabytes.

/// What a statement costs.
#[derive(Debug, Clone, PartialEq)]
pub struct Hint {
    /// True work of all threads, milliseconds.
    pub work: f64,
    /// Threads.
    pub threads: f64,
    /// Part of the work that is reading or writing.
    pub io: f64,
    /// Memory that it needs, megabytes.
    pub memory: f64,
    /// Group of tables.
    pub group: u64,
    /// It holds its group.
    pub is_load: bool,
    /// Usual work of its class, milliseconds: what it weighs on a cold engine.
    pub weight: f64,
    /// An attempt may get a bad plan with this chance, and then takes as many times its work.
    pub bad_plan: (f64, f64),
    /// Name of the class, for the journal alone.
    pub class: String,
}

impl Default for Hint {
    fn default() -> Self {
        Hint {
            work: 2.0,
            threads: 1.0,
            io: 0.2,
            memory: 16.0,
            group: 0,
            is_load: false,
            weight: 0.0,
            bad_plan: (0.0, 1.0),
            class: String::new(),
        }
    }
}

impl Hint {
    /// Reads the first such comment of a text.
    pub fn read(sql: &str) -> Hint {
        let mut hint = Hint::default();
        let inner =
            sql.find("/*sim ").and_then(|at| sql[at + 6..].find("*/").map(|end| &sql[at + 6..at + 6 + end]));
        for pair in inner.unwrap_or_default().split_ascii_whitespace() {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let number: f64 = value.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).unwrap_or(0.0);
            match name {
                "work" => hint.work = number,
                "threads" => hint.threads = number.max(0.1),
                "io" => hint.io = number.min(0.95),
                "mem" => hint.memory = number,
                "group" => hint.group = number as u64,
                "load" => hint.is_load = number > 0.0,
                "weight" => hint.weight = number,
                "bad" => hint.bad_plan.0 = number,
                "times" => hint.bad_plan.1 = number.max(1.0),
                "class" => hint.class = value.to_owned(),
                _ => {}
            }
        }
        hint
    }

    /// Writes the comment.
    pub fn comment(&self) -> String {
        format!(
            "/*sim work={:.3} threads={} io={:.3} mem={:.1} group={} load={} weight={:.3} bad={} times={} class={}*/",
            self.work,
            self.threads,
            self.io,
            self.memory,
            self.group,
            u8::from(self.is_load),
            self.weight,
            self.bad_plan.0,
            self.bad_plan.1,
            self.class
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_back() {
        let hint = Hint { work: 12.5, is_load: true, class: "load".into(), group: 4, ..Hint::default() };
        assert_eq!(Hint::read(&format!("SELECT 1 {}", hint.comment())), hint);
        assert_eq!(Hint::read("SELECT 1 /*sim work=-3 io=NaN*/").work, 0.0);
    }
}
