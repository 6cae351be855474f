//! The configuration of custody: `(custody (voters NAME ...) (folder PATH) (protect CLASS ...) ...)`.

use std::path::Path;
use std::time::Duration;

use crate::forms::{Checker, Form};
pub use crate::terms::CustodyTerms;
use crate::terms::{Names, PeerTerms};

/// Reads the section.
pub fn read(
    c: &mut Checker,
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
    let f = c.fields(form, 0, &known);
    if peers.is_none() {
        c.error_at(
            form,
            "custody needs (membership ...): who lives, and what gateways say to each other, come from there",
        );
        return None;
    }
    let voters = f.require(c, "voters").cloned().map(|v| (c.words(&v), v));
    if let Some((voters, form)) = &voters {
        let repeated = voters.iter().enumerate().any(|(i, v)| voters[..i].contains(v));
        if repeated || !(1..=9).contains(&voters.len()) {
            c.error_at(form, "voters: expected one to nine names, each once");
        }
    }
    let lease = f.duration(c, "lease", Duration::from_secs(2));
    let check = f.duration(c, "check", Duration::from_millis(100));
    let drift = f.integer(c, "drift", (0, 100_000), 1_000);
    if lease < Duration::from_millis(400) || check > lease / 4 {
        c.error_at(form, "custody: expected lease >= \"400ms\" and check <= a quarter of it");
    }
    let copies = f.integer(c, "copies", (1, 8), 2) as usize;
    let path = f.require(c, "folder").cloned().and_then(|v| c.word(&v, "a path"));
    let mut protect = vec![f.get("protect").is_none(); names.classes.len()];
    if let Some(form) = f.get("protect").cloned() {
        for class in c.words(&form) {
            match names.classes.iter().position(|n| *n == class) {
                Some(n) => protect[n] = true,
                None => c.error_at(
                    &form,
                    format!("protect: there is no class {class}; classes: {}", names.classes.join(", ")),
                ),
            }
        }
    }
    let choices = [("go", false), ("refuse", true)];
    let refuses = f.get("unguarded").cloned().and_then(|f| c.choice(&f, &choices)).unwrap_or(false);
    let max_records = f.integer(c, "records", (1, 10_000_000), 50_000) as usize;
    let max_record_bytes = f.size(c, "octets", 256 << 20) as usize;
    let (voters, folder) = (voters?.0, folder.join(path?));
    Some(CustodyTerms {
        voters,
        lease,
        drift_ppm: drift,
        lease_check_margin: check,
        guardians: copies,
        folder,
        protected_classes: protect,
        refuse_unguarded: refuses,
        max_records,
        max_record_bytes,
    })
}
