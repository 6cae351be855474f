//! Reading the text of a version.

use std::collections::BTreeSet;

use violetward::Listed;
use violetward_windows::held::Grant;

use super::{Attempts, ClassRules, Rules};
use crate::forms::{self, Checker, Mistake};
use crate::terms::Names;
use crate::timestamp;

impl Rules {
    /// Reads a version's content.
    ///
    /// # Errors
    /// Every mistake, with its place: a name that this gateway does not know is one.
    pub fn parse(text: &str, names: &Names) -> Result<Rules, Vec<Mistake>> {
        let data = forms::read(text).map_err(|m| vec![m])?;
        let mut c = Checker::default();
        let mut rules = Rules::default();
        for datum in &data {
            let Some(form) = c.form(datum.as_ref()) else { continue };
            match form.name.as_str() {
                "class" => {
                    let Some(name) = c.name(&form) else { continue };
                    if !names.classes.contains(&name) {
                        c.at(
                            &form,
                            format!("there is no class {name} here; known: {}", names.classes.join(", ")),
                        );
                    }
                    let f = c.fields(&form, 1, &["admit", "kinds", "zones", "once"]);
                    let admit = f.get("admit").cloned();
                    let admit = admit.and_then(|f| c.choice(&f, &[("yes", true), ("no", false)]));
                    let kinds = f.get("kinds").cloned().map(|f| set(&mut c, &f, &names.kinds, "kind"));
                    let zones = f.get("zones").cloned().map(|f| set(&mut c, &f, &names.zones, "zone"));
                    let once = f.flag(&mut c, "once", false);
                    let class = ClassRules { closed: admit == Some(false), kinds, zones, once };
                    if rules.classes.insert(name.clone(), class).is_some() {
                        c.at(&form, format!("class {name} stands twice"));
                    }
                }
                "tenant" => {
                    let Some(name) = c.name(&form) else { continue };
                    if !names.tenants.contains(&name) {
                        c.at(&form, format!("there is no tenant {name} here"));
                    }
                    let f = c.fields(&form, 1, &["per-second"]);
                    let rate = f.need(&mut c, "per-second").cloned().and_then(|f| c.number(&f, 0.0, 1e9));
                    rules.tenants.insert(name, rate.unwrap_or(0.0));
                }
                "attempts" => {
                    let f = c.fields(&form, 0, &["cap", "free", "per-request"]);
                    rules.attempts = Attempts {
                        cap: f.whole(&mut c, "cap", (1, 1_000), u64::from(u32::MAX)) as u32,
                        free: f.number(&mut c, "free", (0.0, 1e9), f64::INFINITY),
                        per_request: f.number(&mut c, "per-request", (0.0, 1e3), f64::INFINITY),
                    };
                }
                "engine" => {
                    let Some(name) = c.name(&form) else { continue };
                    let f = c.fields(&form, 1, &["state"]);
                    let states =
                        [("up", Listed::Up), ("draining", Listed::Draining), ("removed", Listed::Removed)];
                    let state = f.need(&mut c, "state").cloned().and_then(|f| c.choice(&f, &states));
                    rules.engines.insert(name, state.unwrap_or(Listed::Up));
                }
                "window" => {
                    let Some(grant) = window(&mut c, &form) else { continue };
                    if rules.windows.iter().any(|g| g.name == grant.name) {
                        c.at(&form, format!("window {} stands twice", grant.name));
                    }
                    rules.windows.push(grant);
                }
                other => c.at(
                    &form,
                    format!("{other} is not known; known: class, tenant, attempts, engine, window"),
                ),
            }
        }
        c.mistakes.sort();
        if c.mistakes.is_empty() {
            Ok(rules.plain())
        } else {
            Err(c.mistakes)
        }
    }
}

/// `(window NAME (engines E ...) (from TIME) (until TIME) (by WHO) (off yes))`.
fn window(c: &mut Checker, form: &forms::Form<'_>) -> Option<Grant> {
    let name = c.name(form)?;
    let f = c.fields(form, 1, &["engines", "from", "until", "by", "off"]);
    let engines = f.need(c, "engines").cloned().map(|f| c.words(&f))?.into_iter().collect();
    let mut time = |name: &str| {
        let field = f.need(c, name).cloned()?;
        let word = c.word(&field, "a time such as \"2026-12-02T03:00:00Z\"")?;
        let at = timestamp::parse(&word);
        if at.is_none() {
            c.at(&field, format!("{name}: expected a time such as \"2026-12-02T03:00:00Z\", found {word}"));
        }
        at
    };
    let (from, until) = (time("from"), time("until"));
    let (by, off) = (f.word(c, "by", ""), f.flag(c, "off", false));
    Some(Grant { name, engines, from: from?, until: until?, by, off })
}

/// A version's text with one of its windows called off, on its own lines and without comments; `None` if it is not there, or
/// off already.
pub fn call_off(text: &str, name: &str) -> Option<String> {
    let data = forms::read(text).ok()?;
    let (mut found, mut out) = (false, String::new());
    for datum in &data {
        let shown = datum.value().to_string();
        let mut c = Checker::default();
        let form = c.form(datum.as_ref()).filter(|f| f.name == "window");
        let grant = form.and_then(|f| window(&mut c, &f)).filter(|g| g.name == name && !g.off);
        let open = grant.and(shown.strip_suffix(')'));
        match open {
            // `(off no)` may be said.
            Some(open) => {
                found = true;
                out += &open.replace(" (off no)", "");
                out += " (off yes))";
            }
            None => out += &shown,
        }
        out.push('\n');
    }
    found.then_some(out)
}

fn set(c: &mut Checker, form: &forms::Form<'_>, known: &[String], what: &str) -> BTreeSet<String> {
    let words = c.words(form);
    for word in words.iter().filter(|w| !known.contains(w)) {
        c.at(form, format!("there is no {what} {word} here; known: {}", known.join(", ")));
    }
    words.into_iter().collect()
}
