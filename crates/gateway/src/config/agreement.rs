//! Agreement on settings.

use super::*;

/// `(agreement (voters NAME ...) (folder PATH) (key NAME "secret") ...)`.
pub(super) fn agreement_terms(
    c: &mut Checker,
    form: &Form<'_>,
    peers: Option<&PeerTerms>,
    names: &Names,
    folder: &Path,
) -> Option<AgreementTerms> {
    let known = ["voters", "folder", "lease", "drift", "check", "floor", "wait-at-start", "key-file"];
    let f = c.fields(form, 0, &known);
    let Some(peers) = peers else {
        c.error_at(form, "agreement needs (membership ...): what gateways say to each other goes that way");
        return None;
    };
    let voters = f.require(c, "voters").cloned().map(|v| (c.words(&v), v));
    if let Some((voters, form)) = &voters {
        let repeated = voters.iter().enumerate().any(|(i, v)| voters[..i].contains(v));
        if repeated || !(1..=9).contains(&voters.len()) {
            c.error_at(form, "voters: expected one to nine names, each once");
        }
    }
    let path = f.require(c, "folder").cloned().and_then(|v| c.word(&v, "a path"));
    let lease = f.duration(c, "lease", Duration::from_secs(8));
    let check = f.duration(c, "check", Duration::from_millis(100));
    let drift = f.integer(c, "drift", (0, 100_000), 1_000);
    if lease < Duration::from_millis(400) || check > lease / 4 {
        c.error_at(form, "agreement: expected lease >= \"400ms\" and check <= a quarter of it");
    }
    let wait_at_start = f.duration(c, "wait-at-start", Duration::from_secs(2));
    let mut floor = (Vec::new(), Vec::new());
    if let Some(form) = f.get("floor").cloned() {
        let g = c.fields(&form, 0, &["classes", "engines"]);
        let (classes, engines) = (g.require(c, "classes").cloned(), g.require(c, "engines").cloned());
        floor.0 = classes.map(|v| c.words(&v)).unwrap_or_default();
        floor.1 = engines.map(|v| c.words(&v)).unwrap_or_default();
        for class in floor.0.iter().filter(|class| !names.classes.contains(class)) {
            c.error_at(&form, format!("floor: there is no class {class}"));
        }
    }
    let mut operators = Vec::new();
    if let Some(form) = f.require(c, "key-file").cloned() {
        if let Some(path) = c.word(&form, "a path") {
            let read = std::fs::read_to_string(folder.join(&path)).map_err(|e| e.to_string());
            match read.and_then(|text| read_operator_keys(&text)) {
                Ok(keys) => operators = keys,
                Err(why) => c.error_at(&form, format!("key-file {path}: {why}")),
            }
        }
    }
    let (voters, name, folder) = (voters?.0, peers.name.clone(), folder.join(path?));
    let windows = None;
    Some(AgreementTerms {
        name,
        voters,
        folder,
        lease,
        drift_ppm: drift,
        lease_check_margin: check,
        floor,
        startup_wait: wait_at_start,
        operator_keys: operators,
        windows_fingerprint: windows,
    })
}
