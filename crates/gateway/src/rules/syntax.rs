//! Reading the text of a version.

use std::collections::BTreeSet;

use violetward::Listed;

use super::{Attempts, ClassRules, Rules};
use crate::forms::{self, Checker, Mistake};
use crate::terms::Names;

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
                other => c.at(&form, format!("{other} is not known; known: class, tenant, attempts, engine")),
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

fn set(c: &mut Checker, form: &forms::Form<'_>, known: &[String], what: &str) -> BTreeSet<String> {
    let words = c.words(form);
    for word in words.iter().filter(|w| !known.contains(w)) {
        c.at(form, format!("there is no {what} {word} here; known: {}", known.join(", ")));
    }
    words.into_iter().collect()
}
