//! Parses the text of a version of the settings.

use std::collections::BTreeSet;

use violetward::Listed;
use violetward_windows::held::Grant;

use super::{AttemptLimits, ClassRules, Rules};
use crate::forms::{self, Checker, Diagnostic};
use crate::terms::Names;
use crate::timestamp;

impl Rules {
    /// Parses a version's content.
    ///
    /// # Errors
    /// All errors with their positions. A name unknown to this gateway is an error.
    pub fn parse(text: &str, names: &Names) -> Result<Rules, Vec<Diagnostic>> {
        let data = forms::read(text).map_err(|m| vec![m])?;
        let mut checker = Checker::default();
        let mut rules = Rules::default();
        for datum in &data {
            let Some(form) = checker.form(datum.as_ref()) else { continue };
            match form.name.as_str() {
                "class" => {
                    let Some(name) = checker.name(&form) else { continue };
                    if !names.classes.contains(&name) {
                        checker.error_at(
                            &form,
                            format!("there is no class {name} here; known: {}", names.classes.join(", ")),
                        );
                    }
                    let fields = checker.fields(&form, 1, &["admit", "kinds", "zones", "once"]);
                    let admit = fields.get("admit").cloned();
                    let admit = admit.and_then(|f| checker.choice(&f, &[("yes", true), ("no", false)]));
                    let kinds = fields
                        .get("kinds")
                        .cloned()
                        .map(|f| known_names(&mut checker, &f, &names.kinds, "kind"));
                    let zones = fields
                        .get("zones")
                        .cloned()
                        .map(|f| known_names(&mut checker, &f, &names.zones, "zone"));
                    let once = fields.flag(&mut checker, "once", false);
                    let class = ClassRules { closed: admit == Some(false), kinds, zones, once };
                    if rules.classes.insert(name.clone(), class).is_some() {
                        checker.error_at(&form, format!("class {name} stands twice"));
                    }
                }
                "tenant" => {
                    let Some(name) = checker.name(&form) else { continue };
                    if !names.tenants.contains(&name) {
                        checker.error_at(&form, format!("there is no tenant {name} here"));
                    }
                    let fields = checker.fields(&form, 1, &["per-second"]);
                    let rate = fields
                        .require(&mut checker, "per-second")
                        .cloned()
                        .and_then(|f| checker.number(&f, 0.0, 1e9));
                    rules.tenants.insert(name, rate.unwrap_or(0.0));
                }
                "attempts" => {
                    let fields = checker.fields(&form, 0, &["cap", "free", "per-request"]);
                    rules.attempts = AttemptLimits {
                        cap: fields.integer(&mut checker, "cap", (1, 1_000), u64::from(u32::MAX)) as u32,
                        free: fields.number(&mut checker, "free", (0.0, 1e9), f64::INFINITY),
                        per_request: fields.number(&mut checker, "per-request", (0.0, 1e3), f64::INFINITY),
                    };
                }
                "engine" => {
                    let Some(name) = checker.name(&form) else { continue };
                    let fields = checker.fields(&form, 1, &["state"]);
                    let states =
                        [("up", Listed::Up), ("draining", Listed::Draining), ("removed", Listed::Removed)];
                    let state = fields
                        .require(&mut checker, "state")
                        .cloned()
                        .and_then(|f| checker.choice(&f, &states));
                    rules.engines.insert(name, state.unwrap_or(Listed::Up));
                }
                "window" => {
                    let Some(grant) = window(&mut checker, &form) else { continue };
                    if rules.windows.iter().any(|g| g.name == grant.name) {
                        checker.error_at(&form, format!("window {} stands twice", grant.name));
                    }
                    rules.windows.push(grant);
                }
                other => checker.error_at(
                    &form,
                    format!("{other} is not known; known: class, tenant, attempts, engine, window"),
                ),
            }
        }
        checker.diagnostics.sort();
        if checker.diagnostics.is_empty() {
            Ok(rules.normalized())
        } else {
            Err(checker.diagnostics)
        }
    }
}

/// Reads `(window NAME (engines E ...) (from TIME) (until TIME) (by WHO) (off yes))`.
fn window(checker: &mut Checker, form: &forms::Form<'_>) -> Option<Grant> {
    let name = checker.name(form)?;
    let fields = checker.fields(form, 1, &["engines", "from", "until", "by", "off"]);
    let engines =
        fields.require(checker, "engines").cloned().map(|f| checker.words(&f))?.into_iter().collect();
    let mut time = |name: &str| {
        let field = fields.require(checker, name).cloned()?;
        let word = checker.word(&field, "a time such as \"2026-12-02T03:00:00Z\"")?;
        let at = timestamp::parse(&word);
        if at.is_none() {
            checker.error_at(
                &field,
                format!("{name}: expected a time such as \"2026-12-02T03:00:00Z\", found {word}"),
            );
        }
        at
    };
    let (from, until) = (time("from"), time("until"));
    let (by, off) = (fields.word(checker, "by", ""), fields.flag(checker, "off", false));
    Some(Grant { name, engines, from: from?, until: until?, by, off })
}

/// A version's text with one of its windows called off, one form per line and without comments. `None` if
/// there is no such window or it is called off already.
pub fn cancel_window(text: &str, name: &str) -> Option<String> {
    let data = forms::read(text).ok()?;
    let (mut found, mut out) = (false, String::new());
    for datum in &data {
        let form_text = datum.value().to_string();
        let mut checker = Checker::default();
        let form = checker.form(datum.as_ref()).filter(|f| f.name == "window");
        let grant = form.and_then(|f| window(&mut checker, &f)).filter(|g| g.name == name && !g.off);
        let unclosed = grant.and(form_text.strip_suffix(')'));
        match unclosed {
            // The form may contain `(off no)`, which is replaced.
            Some(unclosed) => {
                found = true;
                out += &unclosed.replace(" (off no)", "");
                out += " (off yes))";
            }
            None => out += &form_text,
        }
        out.push('\n');
    }
    found.then_some(out)
}

/// Reads the words of a form, which must be known names of kinds or zones.
fn known_names(
    checker: &mut Checker,
    form: &forms::Form<'_>,
    known: &[String],
    what: &str,
) -> BTreeSet<String> {
    let words = checker.words(form);
    for word in words.iter().filter(|w| !known.contains(w)) {
        checker.error_at(form, format!("there is no {what} {word} here; known: {}", known.join(", ")));
    }
    words.into_iter().collect()
}
