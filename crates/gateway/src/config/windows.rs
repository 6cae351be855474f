//! The section `windows`: windows of maintenance.

use violetward_windows::cover::{Spare, Terms as CoverTerms};
use violetward_windows::find::Margins;
use violetward_windows::profile;

use super::*;

/// Reads `(windows (folder PATH) (spare engine|site|nothing) (fill F) (warm SPAN) (slack SPAN) (lead SPAN)
/// ...)`.
pub(super) fn window_terms(
    checker: &mut Checker,
    form: &Form<'_>,
    agreement: Option<&mut AgreementTerms>,
    folder: &Path,
) -> Option<WindowTerms> {
    let known = ["folder", "spare", "fill", "cold", "warm", "slack", "lead", "fresh", "sample", "weeks"];
    let fields = checker.fields(form, 0, &known);
    let Some(agreement) = agreement else {
        checker.error_at(
            form,
            "windows needs (agreement ...): a window is granted by a version of the settings",
        );
        return None;
    };
    let path = fields.require(checker, "folder").cloned().and_then(|v| checker.word(&v, "a path"));
    let spare_choices = [("engine", Spare::Engine), ("site", Spare::Site), ("nothing", Spare::Nothing)];
    let spare = fields
        .get("spare")
        .cloned()
        .and_then(|v| checker.choice(&v, &spare_choices))
        .unwrap_or(Spare::Engine);
    let cover = CoverTerms {
        fill: fields.number(checker, "fill", (0.05, 1.0), 0.8),
        spare,
        cold: fields.number(checker, "cold", (0.0, 1.0), 0.25),
        warm: micros(fields.duration(checker, "warm", Duration::from_secs(600))),
    };
    let (slack, lead) = (
        fields.duration(checker, "slack", Duration::from_secs(2)),
        fields.duration(checker, "lead", Duration::from_secs(60)),
    );
    let margins = Margins { slack: micros(slack), lead: micros(lead) };
    let max_fleet_age = fields.duration(checker, "fresh", Duration::from_secs(10));
    let sample_interval = fields.duration(checker, "sample", Duration::from_secs(60));
    if max_fleet_age < Duration::from_millis(500) || !(1..=300).contains(&sample_interval.as_secs()) {
        checker.error_at(form, "windows: expected fresh >= \"500ms\" and sample from \"1s\" to \"5m\"");
    }
    // By the start of a window, all leases on the version before it must have ended. Otherwise a gateway
    // could still send new work to an engine under maintenance.
    if lead < agreement.lease {
        checker.error_at(
            form,
            format!("windows: expected lead >= (agreement (lease ...)), which is {:?}", agreement.lease),
        );
    }
    let weeks = fields.integer(checker, "weeks", (1, 12), 3) as u32;
    // One of the last weeks may be missing from the profile.
    let profile = profile::Terms { weeks, of: weeks + 1, ..profile::Terms::default() };
    let terms =
        WindowTerms { folder: folder.join(path?), cover, margins, max_fleet_age, sample_interval, profile };
    agreement.windows_fingerprint = Some(terms.fingerprint());
    Some(terms)
}
