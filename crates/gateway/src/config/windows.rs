//! Windows of maintenance.

use violetward_windows::cover::{Spare, Terms as CoverTerms};
use violetward_windows::find::Margins;
use violetward_windows::profile;

use super::*;

/// `(windows (folder PATH) (spare engine|site|nothing) (fill F) (warm SPAN) (slack SPAN) (lead SPAN) ...)`.
pub(super) fn window_terms(
    c: &mut Checker,
    form: &Form<'_>,
    agreement: Option<&mut AgreementTerms>,
    folder: &Path,
) -> Option<WindowTerms> {
    let known = ["folder", "spare", "fill", "cold", "warm", "slack", "lead", "fresh", "sample", "weeks"];
    let f = c.fields(form, 0, &known);
    let Some(agreement) = agreement else {
        c.error_at(form, "windows needs (agreement ...): a window is held by a version of the settings");
        return None;
    };
    let path = f.require(c, "folder").cloned().and_then(|v| c.word(&v, "a path"));
    let spares = [("engine", Spare::Engine), ("site", Spare::Site), ("nothing", Spare::Nothing)];
    let spare = f.get("spare").cloned().and_then(|v| c.choice(&v, &spares)).unwrap_or(Spare::Engine);
    let cover = CoverTerms {
        fill: f.number(c, "fill", (0.05, 1.0), 0.8),
        spare,
        cold: f.number(c, "cold", (0.0, 1.0), 0.25),
        warm: micros(f.duration(c, "warm", Duration::from_secs(600))),
    };
    let (slack, lead) =
        (f.duration(c, "slack", Duration::from_secs(2)), f.duration(c, "lead", Duration::from_secs(60)));
    let margins = Margins { slack: micros(slack), lead: micros(lead) };
    let fresh = f.duration(c, "fresh", Duration::from_secs(10));
    let sample = f.duration(c, "sample", Duration::from_secs(60));
    if fresh < Duration::from_millis(500) || !(1..=300).contains(&sample.as_secs()) {
        c.error_at(form, "windows: expected fresh >= \"500ms\" and sample from \"1s\" to \"5m\"");
    }
    // What acts on the version before as well is gone by the start: nothing new comes to an engine that is worked on.
    if lead < agreement.lease {
        c.error_at(
            form,
            format!("windows: expected lead >= (agreement (lease ...)), which is {:?}", agreement.lease),
        );
    }
    let weeks = f.integer(c, "weeks", (1, 12), 3) as u32;
    // At most one of the last weeks may be missing.
    let profile = profile::Terms { weeks, of: weeks + 1, ..profile::Terms::default() };
    let terms = WindowTerms {
        folder: folder.join(path?),
        cover,
        margins,
        max_fleet_age: fresh,
        sample_interval: sample,
        profile,
    };
    agreement.windows_fingerprint = Some(terms.fingerprint());
    Some(terms)
}
