//! Versions of the settings in a cluster: who proposed what when, and whether any two gateways acted on versions that
//! contradict each other, worked out from what engines were sent.

use std::collections::BTreeMap;
use std::path::Path;

use violetward_gateway::config::Names;
use violetward_gateway::rules::Rules;
use violetward_standin::journal::What;

use crate::checker::Evidence;

/// What a disk of a voter that does not run goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// A copy of its file is put aside.
    Save,
    /// That copy comes back in its place.
    Old,
    /// Its file is gone.
    Lose,
    /// A bit of it turns.
    Spoil,
}

/// Does it.
///
/// # Errors
/// The file system's.
pub fn disk(folder: &Path, what: Disk) -> std::io::Result<()> {
    let (file, copy) = (folder.join("agreement.kept"), folder.join("agreement.copy"));
    match what {
        Disk::Save => std::fs::copy(&file, &copy).map(|_| ()),
        Disk::Old => std::fs::copy(&copy, &file).map(|_| ()),
        Disk::Lose => std::fs::remove_file(&file),
        Disk::Spoil => {
            let mut bytes = std::fs::read(&file)?;
            let middle = bytes.len() / 2;
            bytes[middle] ^= 8;
            std::fs::write(&file, bytes)
        }
    }
}

/// A proposal that the rig made.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposed {
    /// When, and when its end was told.
    pub at: u64,
    /// See `at`.
    pub told: u64,
    /// To which gateway.
    pub gateway: usize,
    /// Its content.
    pub content: String,
    /// What the gateway said: the outcome's word, or why there was none.
    pub outcome: String,
    /// The version, if it became one.
    pub number: Option<u64>,
    /// More that it said.
    pub text: String,
}

/// What the rules of the lab's league name.
fn names() -> Names {
    let list = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Names {
        classes: list(&["lookup", "report", "load", "notice"]),
        kinds: list(&["m8", "m4"]),
        tenants: list(&["extra"]),
        zones: list(&["default"]),
    }
}

/// What came of the versions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// For each version after which an earlier one was still acted on: for how long, in microseconds.
    pub overlaps: Vec<u64>,
    /// Versions that engines saw acted on, by what only they and not the one before allow.
    pub seen: usize,
    /// Something that no version allows: when, engine, class.
    pub never: Option<(u64, String, String)>,
}

/// Reads from what engines were sent how long versions that contradict each other were acted on side by side. The reading is
/// the most lenient one: whatever can be explained by the version that was acted on already, or by the next one that was
/// proposed by then, is. Before the first version, which may contradict nothing, all is allowed: the reading begins a bound
/// after that one was told to be committed.
pub fn check(
    evidence: &Evidence,
    versions: &BTreeMap<u64, String>,
    proposed: &[Proposed],
    bound: u64,
    kinds: &dyn Fn(&str) -> String,
) -> Findings {
    let names = names();
    let mut found = Findings::default();
    // A version cannot be acted on before its content was proposed. Contents differ from each other.
    let mut known: Vec<(u64, Rules)> = vec![(0, Rules::default())];
    for content in versions.values() {
        let at = proposed.iter().filter(|p| p.content == *content).map(|p| p.at).min().unwrap_or(0);
        known.push((at, Rules::parse(content, &names).unwrap_or_default()));
    }
    let mut first: Vec<Option<u64>> = vec![None; known.len()];
    let begins = proposed.iter().find(|p| p.number == Some(1)).map(|p| p.told + bound);
    let (Some(begins), true) = (begins, known.len() > 1) else { return found };
    let mut now = 1;
    for line in evidence.lines.iter().filter(|l| l.at >= begins) {
        let What::Got { class, .. } = &line.what else { continue };
        let kind = kinds(&line.engine);
        let allows = |n: usize| known[n].1.allows(class, &line.engine, &kind, "default");
        if allows(now) {
            first[now].get_or_insert(line.at);
            continue;
        }
        if let Some(next) = (now + 1..known.len()).find(|&n| allows(n) && known[n].0 <= line.at) {
            now = next;
            first[now].get_or_insert(line.at);
            found.seen += 1;
            continue;
        }
        match (1..now).rev().find(|&n| allows(n)) {
            Some(old) => {
                let since = first[old + 1..=now].iter().flatten().min().copied().unwrap_or(line.at);
                found.overlaps.push(line.at - since);
            }
            None => {
                found.never.get_or_insert((line.at, line.engine.clone(), class.clone()));
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use violetward_standin::journal::Line;

    fn got(at: u64, engine: &str) -> Line {
        let text = String::new;
        let what = What::Got { trace: text(), via: text(), n: 0, class: "lookup".into(), key: text() };
        Line { at, engine: engine.into(), what }
    }

    fn findings(lines: Vec<Line>) -> Findings {
        let evidence = Evidence { lines, ..Evidence::default() };
        let contents = ["(class lookup (kinds m4)) ; 1", "(class lookup (kinds m8)) ; 2"];
        let versions = (1..).zip(contents.map(str::to_owned)).collect();
        let proposal = |(at, (number, content)): (u64, (u64, &str))| Proposed {
            at,
            told: at + 5,
            gateway: 0,
            content: content.into(),
            outcome: "committed".into(),
            number: Some(number),
            text: String::new(),
        };
        let proposed: Vec<Proposed> = [100, 200].into_iter().zip((1..).zip(contents)).map(proposal).collect();
        let kind = |engine: &str| if engine == "e2" { "m4".to_owned() } else { "m8".to_owned() };
        check(&evidence, &versions, &proposed, 20, &kind)
    }

    #[test]
    fn versions_in_turn_are_no_contradiction() {
        let lines = vec![got(50, "e0"), got(60, "e2"), got(150, "e2"), got(210, "e0"), got(300, "e0")];
        assert_eq!(findings(lines), Findings { overlaps: vec![], seen: 1, never: None });
    }

    #[test]
    fn an_old_version_acted_on_beside_a_newer_one_is_found_and_measured() {
        let found = findings(vec![got(150, "e2"), got(210, "e0"), got(290, "e2"), got(295, "e0")]);
        assert_eq!(found, Findings { overlaps: vec![80], seen: 1, never: None });
    }

    #[test]
    fn what_no_version_allowed_by_then_is_found() {
        assert_eq!(findings(vec![got(150, "e0")]).never, Some((150, "e0".into(), "lookup".into())));
    }
}
