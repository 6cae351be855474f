//! Reads the configuration of custody: `(custody (voters NAME ...) (folder PATH) (protect CLASS ...) ...)`.

use std::path::Path;
use std::time::Duration;

use crate::forms::{Checker, Form};
pub use crate::terms::CustodyTerms;
use crate::terms::{Names, PeerTerms};

/// Reads the section `custody`.
pub fn read(
    checker: &mut Checker,
    form: &Form<'_>,
    peers: Option<&PeerTerms>,
    names: &Names,
    folder: &Path,
) -> Option<CustodyTerms> {
    let known = [
        "voters",
        "lease",
        "drift",
        "check",
        "copies",
        "folder",
        "protect",
        "unguarded",
        "records",
        "octets",
    ];
    let fields = checker.fields(form, 0, &known);
    if peers.is_none() {
        checker.error_at(
            form,
            "custody needs (membership ...): it tells which gateways are alive, and carries their messages",
        );
        return None;
    }
    let voters = fields.require(checker, "voters").cloned().map(|v| (checker.words(&v), v));
    if let Some((voters, form)) = &voters {
        let repeated = voters.iter().enumerate().any(|(i, v)| voters[..i].contains(v));
        if repeated || !(1..=9).contains(&voters.len()) {
            checker.error_at(form, "voters: expected one to nine names, each once");
        }
    }
    let lease = fields.duration(checker, "lease", Duration::from_secs(2));
    let lease_check_margin = fields.duration(checker, "check", Duration::from_millis(100));
    let drift_ppm = fields.integer(checker, "drift", (0, 100_000), 1_000);
    if lease < Duration::from_millis(400) || lease_check_margin > lease / 4 {
        checker.error_at(form, "custody: expected lease >= \"400ms\" and check <= a quarter of lease");
    }
    let guardians = fields.integer(checker, "copies", (1, 8), 2) as usize;
    let path = fields.require(checker, "folder").cloned().and_then(|v| checker.word(&v, "a path"));
    let mut protected_classes = vec![fields.get("protect").is_none(); names.classes.len()];
    if let Some(form) = fields.get("protect").cloned() {
        for class in checker.words(&form) {
            match names.classes.iter().position(|n| *n == class) {
                Some(n) => protected_classes[n] = true,
                None => checker.error_at(
                    &form,
                    format!("protect: there is no class {class}; classes: {}", names.classes.join(", ")),
                ),
            }
        }
    }
    let unguarded_choices = [("go", false), ("refuse", true)];
    let refuse_unguarded = fields
        .get("unguarded")
        .cloned()
        .and_then(|f| checker.choice(&f, &unguarded_choices))
        .unwrap_or(false);
    let max_records = fields.integer(checker, "records", (1, 10_000_000), 50_000) as usize;
    let max_record_bytes = fields.size(checker, "octets", 256 << 20) as usize;
    let (voters, folder) = (voters?.0, folder.join(path?));
    Some(CustodyTerms {
        voters,
        lease,
        drift_ppm,
        lease_check_margin,
        guardians,
        folder,
        protected_classes,
        refuse_unguarded,
        max_records,
        max_record_bytes,
    })
}
