//! The files of a fleet: a gateway's configuration and the list of engines.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An engine as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it takes statements.
    pub address: SocketAddr,
    /// Its kind of machine.
    pub kind: String,
    /// When its process started, microseconds since the Unix epoch; 0: long ago.
    pub came_up: u64,
    /// `up` or `draining`.
    pub state: &'static str,
}

/// Writes the list at one instant: a reader sees the old one or the new one.
///
/// # Errors
/// The file system's.
pub fn write_list(path: &Path, engines: &[Listed]) -> std::io::Result<()> {
    let mut text = String::from("; The engines, as the lab knows them.\n");
    for e in engines {
        let came_up = if e.came_up > 0 { format!(" (came-up {})", e.came_up / 1000) } else { String::new() };
        writeln!(
            text,
            "(engine {} (address \"{}\") (kind {}) (state {}){came_up})",
            e.name, e.address, e.kind, e.state
        )
        .map_err(std::io::Error::other)?;
    }
    let fresh = path.with_extension("new");
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)
}

/// What a day's gateways are told. Everything else is as the defaults have it.
#[derive(Debug, Clone)]
pub struct GatewayPlan {
    /// This one's number, and how many there are.
    pub number: usize,
    /// See `number`.
    pub of: usize,
    /// Where it listens; port 0 for any.
    pub listen: String,
    /// The list.
    pub engines: PathBuf,
    /// Further top-level forms, for example a `(limits ...)`.
    pub more: String,
}

/// The classes, kinds and rules of the lab's league: look-ups, reports (bound to a kind) and loads (keyed, in order),
/// and notices, which must not run twice.
pub const LEAGUE: &str = r#"
(kinds
  (kind m8 (cores 8) (memory "16GB"))
  (kind m4 (cores 4) (memory "8GB")))

(classes
  (class lookup (aim "800ms") (aim-stretch 2) (give-up "4s") (worth 1) (late-worth 0.3) (effect repeatable))
  (class report (aim "2s") (aim-stretch 2.5) (give-up "8s") (worth 6) (late-worth 0.3) (effect repeatable)
    (threads 3) (kinds m8))
  (class load (aim "3s") (aim-stretch 3) (give-up "10s") (worth 6) (late-worth 0.3) (threads 2) (load yes)
    (effect (keyed (scope all) (window "25s"))) (in-order yes))
  (class notice (aim "2s") (aim-stretch 2) (give-up "6s") (worth 3) (late-worth 0.3) (effect once)))

; The first that fits decides.
(select load (tag load))
(select report (tag report))
(select notice (tag notice))
(select lookup (tag lookup))
(select load (first-word insert merge update delete))
(select lookup)

(policy
  (attempts 3)
  (budget (free 5) (share 0.1) (window "5s"))
  (cold-from 0.3) (cold-span "8s") (fall-multiple 4) (fall-span "1.5s")
  (key-rest "1s")
  (drain-grace "250ms"))
"#;

/// A gateway's configuration.
pub fn configuration(plan: &GatewayPlan) -> String {
    format!(
        "; A gateway of the lab's league.\n(gateway\n  (number {}) (of {})\n  (listen \"{}\")\n  (engines {:?}))\n{LEAGUE}{}",
        plan.number,
        plan.of,
        plan.listen,
        plan.engines.display().to_string(),
        plan.more
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_league_passes_the_gateways_own_check() {
        let engines = PathBuf::from("/somewhere/engines.lisp");
        let plan =
            GatewayPlan { number: 0, of: 2, listen: "127.0.0.1:0".into(), engines, more: String::new() };
        let config = violetward_gateway::config::parse(&configuration(&plan), Path::new(".")).expect("good");
        assert_eq!(config.names.classes, ["lookup", "report", "load", "notice"]);
        assert!(violetward_gateway::config::cross_checks(&config).is_empty());
    }
}
