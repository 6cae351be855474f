//! The section `agreement`: agreement among the gateways on settings.

use super::*;

/// Reads `(agreement (voters NAME ...) (folder PATH) (key-file PATH) ...)`.
pub(super) fn agreement_terms(
    checker: &mut Checker,
    form: &Form<'_>,
    peers: Option<&PeerTerms>,
    names: &Names,
    folder: &Path,
) -> Option<AgreementTerms> {
    let known = ["voters", "folder", "lease", "drift", "check", "floor", "wait-at-start", "key-file"];
    let fields = checker.fields(form, 0, &known);
    let Some(peers) = peers else {
        checker.error_at(
            form,
            "agreement needs (membership ...): it carries the gateways' messages to each other",
        );
        return None;
    };
    let voters = fields.require(checker, "voters").cloned().map(|v| (checker.words(&v), v));
    if let Some((voters, form)) = &voters {
        let repeated = voters.iter().enumerate().any(|(i, v)| voters[..i].contains(v));
        if repeated || !(1..=9).contains(&voters.len()) {
            checker.error_at(form, "voters: expected one to nine names, each once");
        }
    }
    let path = fields.require(checker, "folder").cloned().and_then(|v| checker.word(&v, "a path"));
    let lease = fields.duration(checker, "lease", Duration::from_secs(8));
    let lease_check_margin = fields.duration(checker, "check", Duration::from_millis(100));
    let drift_ppm = fields.integer(checker, "drift", (0, 100_000), 1_000);
    if lease < Duration::from_millis(400) || lease_check_margin > lease / 4 {
        checker.error_at(form, "agreement: expected lease >= \"400ms\" and check <= a quarter of lease");
    }
    let startup_wait = fields.duration(checker, "wait-at-start", Duration::from_secs(2));
    let mut floor = (Vec::new(), Vec::new());
    if let Some(form) = fields.get("floor").cloned() {
        let floor_fields = checker.fields(&form, 0, &["classes", "engines"]);
        let (classes, engines) = (
            floor_fields.require(checker, "classes").cloned(),
            floor_fields.require(checker, "engines").cloned(),
        );
        floor.0 = classes.map(|v| checker.words(&v)).unwrap_or_default();
        floor.1 = engines.map(|v| checker.words(&v)).unwrap_or_default();
        for class in floor.0.iter().filter(|class| !names.classes.contains(class)) {
            checker.error_at(&form, format!("floor: there is no class {class}"));
        }
    }
    let mut operator_keys = Vec::new();
    if let Some(form) = fields.require(checker, "key-file").cloned() {
        if let Some(path) = checker.word(&form, "a path") {
            let read = std::fs::read_to_string(folder.join(&path)).map_err(|e| e.to_string());
            match read.and_then(|text| read_operator_keys(&text)) {
                Ok(keys) => operator_keys = keys,
                Err(why) => checker.error_at(&form, format!("key-file {path}: {why}")),
            }
        }
    }
    let (voters, name, folder) = (voters?.0, peers.name.clone(), folder.join(path?));
    Some(AgreementTerms {
        name,
        voters,
        folder,
        lease,
        drift_ppm,
        lease_check_margin,
        floor,
        startup_wait,
        operator_keys,
        windows_fingerprint: None,
    })
}
