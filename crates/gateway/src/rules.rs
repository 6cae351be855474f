//! What a version of the settings says: rules that narrow the configuration. Free of I/O and clock.
//!
//! ```text
//! (class NAME (admit no) (kinds K ...) (zones Z ...) (once yes))
//! (tenant NAME (per-second R))
//! (attempts (cap N) (free F) (per-request P))
//! (engine NAME (state draining|removed))
//! (window NAME (engines E ...) (from "2026-12-02T03:00:00Z") (until "...") (by WHO) (off yes))
//! ```
//!
//! What a version does not name stays as configured, and nothing that it names goes beyond that. So any two versions have a
//! narrower of both ([`Rules::meet`]), which allows just what each of them allows. Windows are no part of that: they permit to
//! leave engines out, and `violetward-windows` says when.

mod syntax;

pub use syntax::call_off;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use violetward::{AttemptBudget, Class, Effect, KindId, Listed, Settings, Tenant};
use violetward_windows::held::Grant;

use crate::record::zone_id;
use crate::terms::Names;
use crate::timestamp;

/// What is left of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassRules {
    /// Its requests are refused.
    pub closed: bool,
    /// Kinds of machine that it may run on, of those configured; `None`: all of them.
    pub kinds: Option<BTreeSet<String>>,
    /// Zones, likewise.
    pub zones: Option<BTreeSet<String>>,
    /// Its requests must not run twice, also where the configuration would allow it.
    pub once: bool,
}

/// Bounds on further attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempts {
    /// Attempts of one request at most.
    pub cap: u32,
    /// Attempts that need no requests to earn them, at most.
    pub free: f64,
    /// Attempts earned by each request, at most.
    pub per_request: f64,
}

/// No bound.
const UNBOUND: Attempts = Attempts { cap: u32::MAX, free: f64::INFINITY, per_request: f64::INFINITY };

/// The rules of a version.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    classes: BTreeMap<String, ClassRules>,
    tenants: BTreeMap<String, f64>,
    attempts: Attempts,
    engines: BTreeMap<String, Listed>,
    /// Only these engines are sent anything new; `None`: all.
    only: Option<BTreeSet<String>>,
    windows: Vec<Grant>,
}

impl Default for Rules {
    /// The configuration as it is.
    fn default() -> Self {
        let (classes, tenants, engines) = Default::default();
        Rules { classes, tenants, attempts: UNBOUND, engines, only: None, windows: Vec::new() }
    }
}

/// A difference between two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// What it is about and how it changes.
    pub text: String,
    /// The newer one allows something that the older one does not.
    pub widens: bool,
}

/// The state that forbids more.
pub fn worse(a: Listed, b: Listed) -> Listed {
    match (a, b) {
        (Listed::Removed, _) | (_, Listed::Removed) => Listed::Removed,
        (Listed::Draining, _) | (_, Listed::Draining) => Listed::Draining,
        _ => Listed::Up,
    }
}

fn both(a: &Option<BTreeSet<String>>, b: &Option<BTreeSet<String>>) -> Option<BTreeSet<String>> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.intersection(b).cloned().collect()),
        (some, None) | (None, some) => some.clone(),
    }
}

impl Rules {
    /// The floor: what every version has to allow, so that a gateway without a lease may do it. Only these classes, each
    /// request once, on these engines.
    pub fn floor(classes: &[String], engines: &[String], names: &Names) -> Rules {
        let others = names.classes.iter().filter(|c| !classes.contains(c));
        let closed = |name: &String| (name.clone(), ClassRules { closed: true, ..ClassRules::default() });
        Rules {
            classes: others.map(closed).collect(),
            tenants: names.tenants.iter().map(|t| (t.clone(), 0.0)).collect(),
            attempts: Attempts { cap: 1, free: 0.0, per_request: 0.0 },
            engines: BTreeMap::new(),
            only: Some(engines.iter().cloned().collect()),
            windows: Vec::new(),
        }
    }

    /// Rules that say of these engines that they drain, and nothing else.
    pub fn draining(engines: &BTreeSet<String>) -> Rules {
        let engines = engines.iter().map(|e| (e.clone(), Listed::Draining)).collect();
        Rules { engines, ..Rules::default() }
    }

    /// The windows of the version.
    pub fn windows(&self) -> &[Grant] {
        &self.windows
    }

    /// The same rules without what says nothing, so that rules that allow the same are equal.
    fn plain(mut self) -> Rules {
        for class in self.classes.values_mut().filter(|c| c.closed) {
            *class = ClassRules { closed: true, ..ClassRules::default() };
        }
        self.classes.retain(|_, c| *c != ClassRules::default());
        if let Some(only) = &self.only {
            // One that is sent nothing is as good as draining; one that is removed may lose what runs there.
            let only = only.iter().filter(|e| !self.engines.contains_key(*e)).cloned().collect();
            self.engines.retain(|_, s| *s == Listed::Removed);
            self.only = Some(only);
        }
        self.engines.retain(|_, s| *s != Listed::Up);
        self
    }

    /// The narrower of both: allows what each of them allows.
    pub fn meet(&self, other: &Rules) -> Rules {
        let mut rules = self.clone();
        for (name, theirs) in &other.classes {
            let own = rules.classes.entry(name.clone()).or_default();
            own.closed |= theirs.closed;
            own.once |= theirs.once;
            own.kinds = both(&own.kinds, &theirs.kinds);
            own.zones = both(&own.zones, &theirs.zones);
        }
        for (name, &rate) in &other.tenants {
            let own = rules.tenants.entry(name.clone()).or_insert(rate);
            *own = own.min(rate);
        }
        let (a, b) = (&mut rules.attempts, &other.attempts);
        a.cap = a.cap.min(b.cap);
        a.free = a.free.min(b.free);
        a.per_request = a.per_request.min(b.per_request);
        for (name, &state) in &other.engines {
            let own = rules.engines.entry(name.clone()).or_insert(state);
            *own = worse(*own, state);
        }
        rules.only = both(&rules.only, &other.only);
        rules.windows.clear();
        rules.plain()
    }

    /// Whether all that this allows, the other one allows as well.
    pub fn is_within(&self, other: &Rules) -> bool {
        // Removal ends what runs on an engine, and these rules say nothing of it: what is sent anew is what counts.
        let sent = |rules: Rules| {
            let mut rules = rules.plain();
            rules.windows.clear();
            if rules.only.is_some() {
                rules.engines.clear();
            }
            rules
        };
        sent(self.meet(other)) == sent(self.clone())
    }

    /// What a class may do.
    pub fn class(&self, name: &str) -> ClassRules {
        self.classes.get(name).cloned().unwrap_or_default()
    }

    /// The state of an engine at best.
    pub fn engine(&self, name: &str) -> Listed {
        let told = self.engines.get(name).copied().unwrap_or(Listed::Up);
        let kept = self.only.as_ref().is_none_or(|only| only.contains(name));
        worse(told, if kept { Listed::Up } else { Listed::Draining })
    }

    /// What the rules say of an engine by its name, the floor's choice apart: sessions that live there heed it.
    pub fn told(&self, name: &str) -> Listed {
        self.engines.get(name).copied().unwrap_or(Listed::Up)
    }

    /// Whether a request of a class may be sent to an engine of that kind and zone.
    pub fn allows(&self, class: &str, engine: &str, kind: &str, zone: &str) -> bool {
        let rules = self.class(class);
        let within =
            |set: &Option<BTreeSet<String>>, name: &str| set.as_ref().is_none_or(|s| s.contains(name));
        let up = self.engine(engine) == Listed::Up;
        up && !rules.closed && within(&rules.kinds, kind) && within(&rules.zones, zone)
    }

    /// Classes, tenants, the cap of attempts and the budget of a configuration as these rules leave them.
    pub fn narrow(
        &self,
        settings: &Settings,
        names: &Names,
    ) -> (Vec<Class>, Vec<Tenant>, u32, Option<AttemptBudget>) {
        let class = |(class, name): (&Class, &String)| {
            let rules = self.class(name);
            let mut class = class.clone();
            let kinds = |kept: &BTreeSet<String>, old: &Option<Vec<KindId>>| {
                let all = || (0..names.kinds.len()).map(KindId).collect::<Vec<_>>();
                let mut kinds = old.clone().unwrap_or_else(all);
                kinds.retain(|k| names.kinds.get(k.0).is_some_and(|n| kept.contains(n)));
                kinds
            };
            if let Some(kept) = &rules.kinds {
                class.kinds = Some(kinds(kept, &class.kinds));
            }
            if let Some(kept) = &rules.zones {
                let kept: Vec<_> = kept.iter().map(|z| zone_id(z, names)).collect();
                class.zones = Some(match &class.zones {
                    Some(old) => old.iter().filter(|z| kept.contains(z)).copied().collect(),
                    None => kept,
                });
            }
            if rules.closed {
                class.kinds = Some(Vec::new());
            }
            if rules.once {
                class.effect = Effect::Once;
            }
            class
        };
        let tenant = |(tenant, name): (&Tenant, &String)| Tenant {
            quota_per_s: self.tenants.get(name).map_or(tenant.quota_per_s, |&r| r.min(tenant.quota_per_s)),
        };
        let bounds = self.attempts;
        let usual = AttemptBudget { free: 0.0, per_request: 0.0, window: 60_000_000 };
        let bounded = bounds.free.is_finite() || bounds.per_request.is_finite();
        let budget = settings.budget.clone().or_else(|| {
            let (free, per_request) = (bounds.free.min(1e9), bounds.per_request.min(1e3));
            bounded.then_some(AttemptBudget { free, per_request, ..usual })
        });
        let budget = budget.map(|b| AttemptBudget {
            free: b.free.min(bounds.free),
            per_request: b.per_request.min(bounds.per_request),
            window: b.window,
        });
        (
            settings.classes.iter().zip(&names.classes).map(class).collect(),
            settings.tenants.iter().zip(&names.tenants).map(tenant).collect(),
            settings.attempts_cap.min(bounds.cap),
            budget,
        )
    }

    /// What changes from these rules to newer ones.
    pub fn differences(&self, newer: &Rules) -> Vec<Difference> {
        let mut found = Vec::new();
        let mut say = |text: String, widens: bool| found.push(Difference { text, widens });
        let names: BTreeSet<&String> = self.classes.keys().chain(newer.classes.keys()).collect();
        for name in names {
            let (old, new) = (self.class(name), newer.class(name));
            if old.closed != new.closed {
                let word = |closed| if closed { "refused" } else { "admitted" };
                say(format!("class {name}: {} -> {}", word(old.closed), word(new.closed)), old.closed);
            }
            let shown = |set: &Option<BTreeSet<String>>| match set {
                Some(set) => set.iter().cloned().collect::<Vec<_>>().join(" "),
                None => "as configured".into(),
            };
            for (what, a, b) in [("kinds", &old.kinds, &new.kinds), ("zones", &old.zones, &new.zones)] {
                if a != b {
                    let narrows = both(a, b) == *b;
                    say(format!("class {name}: {what} {} -> {}", shown(a), shown(b)), !narrows);
                }
            }
            if old.once != new.once {
                let text = if new.once { "must not run twice" } else { "may be repeated as configured" };
                say(format!("class {name}: {text}"), old.once);
            }
        }
        let tenants: BTreeSet<&String> = self.tenants.keys().chain(newer.tenants.keys()).collect();
        let rate = |rules: &Rules, name: &str| rules.tenants.get(name).copied().unwrap_or(f64::INFINITY);
        for name in tenants {
            let (old, new) = (rate(self, name), rate(newer, name));
            if old != new {
                say(format!("tenant {name}: at most {old} -> {new} a second"), new > old);
            }
        }
        let (a, b) = (self.attempts, newer.attempts);
        let bounds = [
            ("cap", f64::from(a.cap), f64::from(b.cap)),
            ("free", a.free, b.free),
            ("per request", a.per_request, b.per_request),
        ];
        for (what, old, new) in bounds.into_iter().filter(|(_, old, new)| old != new) {
            say(format!("attempts: {what} at most {old} -> {new}"), new > old);
        }
        let engines: BTreeSet<&String> = self.engines.keys().chain(newer.engines.keys()).collect();
        for name in engines {
            let (old, new) = (self.told(name), newer.told(name));
            if old != new {
                let mut text = format!("engine {name}: ");
                write!(text, "{old:?} -> {new:?}").ok();
                say(text, worse(old, new) != new);
            }
        }
        let find = |all: &[Grant], name: &str| all.iter().find(|g| g.name == name).cloned();
        for new in &newer.windows {
            let engines = new.engines.iter().cloned().collect::<Vec<_>>().join(" ");
            let span = format!("{} to {}", timestamp::format(new.from), timestamp::format(new.until));
            let off = if new.off { ", called off" } else { "" };
            match find(&self.windows, &new.name) {
                None => say(format!("window {}: {engines} from {span}{off}", new.name), false),
                Some(old) if old == *new => {}
                Some(old) if old.same(new) && new.off => {
                    say(format!("window {}: called off", new.name), true)
                }
                Some(_) => say(format!("window {}: changed to {engines} from {span}{off}", new.name), true),
            }
        }
        for old in self.windows.iter().filter(|old| find(&newer.windows, &old.name).is_none()) {
            say(format!("window {}: left out", old.name), !old.off);
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let list = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        Names {
            classes: list(&["light", "heavy"]),
            kinds: list(&["m4", "m8"]),
            tenants: list(&["t"]),
            zones: list(&["a", "b"]),
        }
    }

    fn rules(text: &str) -> Rules {
        Rules::parse(text, &names()).unwrap_or_else(|e| panic!("{text}: {e:?}"))
    }

    const SOME: [&str; 9] = [
        "",
        "(class heavy (admit no))",
        "(class heavy (kinds m8))",
        "(class heavy (kinds m4) (zones a))",
        "(class light (once yes)) (tenant t (per-second 3))",
        "(attempts (cap 2) (free 5))",
        "(attempts (per-request 0.1)) (class heavy (kinds m4 m8))",
        "(engine e1 (state draining))",
        "(engine e1 (state removed)) (engine e2 (state draining))",
    ];

    #[test]
    fn the_narrower_of_both_allows_what_each_allows() {
        let names = names();
        let floor = Rules::floor(&["light".into()], &["e2".into(), "e3".into()], &names);
        let all: Vec<Rules> = SOME.iter().map(|t| rules(t)).chain([floor]).collect();
        for a in &all {
            assert_eq!(a.meet(a), *a);
            for b in &all {
                let both = a.meet(b);
                assert_eq!(both, b.meet(a));
                assert!(both.is_within(a) && both.is_within(b));
                for class in &names.classes {
                    for engine in ["e1", "e2", "e3"] {
                        for (kind, zone) in [("m4", "a"), ("m8", "a"), ("m4", "b"), ("m8", "b")] {
                            let each =
                                a.allows(class, engine, kind, zone) && b.allows(class, engine, kind, zone);
                            assert_eq!(both.allows(class, engine, kind, zone), each, "{a:?} and {b:?}");
                        }
                    }
                }
                // Within means: whatever the one allows, the other does.
                if a.is_within(b) {
                    assert_eq!(a.meet(b).differences(a), [], "{a:?} within {b:?}");
                }
            }
        }
    }

    #[test]
    fn a_version_below_the_floor_is_told() {
        let floor = Rules::floor(&["light".into()], &["e2".into()], &names());
        for good in ["", "(class heavy (admit no))", "(engine e1 (state removed))", "(attempts (cap 1))"] {
            assert!(floor.is_within(&rules(good)), "{good}");
        }
        for bad in ["(class light (admit no))", "(class light (zones a))", "(engine e2 (state draining))"] {
            assert!(!floor.is_within(&rules(bad)), "{bad}");
        }
        // Without classes nothing is promised, and any version will do.
        let nothing = Rules::floor(&[], &[], &names());
        assert!(SOME.iter().all(|t| nothing.is_within(&rules(t))));
    }

    #[test]
    fn unknown_names_are_mistakes_with_their_place() {
        let wrong = Rules::parse("(class light)\n (class huge (admit no))", &names()).unwrap_err();
        assert_eq!((wrong[0].line, wrong[0].column), (2, 2));
        assert!(Rules::parse("(class heavy (kinds m9))", &names()).is_err());
        assert!(Rules::parse("(share 2)", &names()).is_err());
    }

    #[test]
    fn differences_tell_what_is_let_in_anew() {
        let change = |a: &str, b: &str| rules(a).differences(&rules(b));
        let closed = change("", "(class heavy (admit no))");
        assert_eq!((closed.len(), closed[0].widens), (1, false));
        assert!(change("(class heavy (admit no))", "")[0].widens);
        assert!(change("(class heavy (kinds m4))", "(class heavy (kinds m8))")[0].widens);
        assert!(!change("(attempts (cap 3))", "(attempts (cap 2))")[0].widens);
        assert!(change("(engine e1 (state removed))", "(engine e1 (state draining))")[0].widens);
    }

    const WINDOW: &str =
        "(window w (engines e1 e2) (from \"2026-12-02T03:00:00Z\") (until \"2026-12-02T04:00:00Z\"))";

    #[test]
    fn windows_are_read_shown_and_called_off_and_narrow_nothing() {
        let one = rules(WINDOW);
        let [grant] = one.windows() else { panic!("{one:?}") };
        assert_eq!((grant.until - grant.from, grant.engines.len(), grant.off), (3_600_000_000, 2, false));
        // A permission: what is left out is said when it is.
        assert!(one.is_within(&rules("")) && rules("").is_within(&one));
        assert_eq!(one.meet(&one).windows(), []);
        let text = format!("(class heavy (admit no)) ; why\n{WINDOW}");
        let off = call_off(&text, "w").expect("it is there");
        let called = rules(&off);
        assert!(called.windows()[0].off && called.windows()[0].same(grant) && called.class("heavy").closed);
        assert_eq!((call_off(&off, "w"), call_off(&text, "v")), (None, None));
        let told = |a: &Rules, b: &Rules| a.differences(b).into_iter().map(|d| (d.text, d.widens)).collect();
        let new: Vec<(String, bool)> = told(&rules(""), &one);
        let text = "window w: e1 e2 from 2026-12-02T03:00:00Z to 2026-12-02T04:00:00Z";
        assert_eq!(new, [(text.to_owned(), false)]);
        let gone: Vec<(String, bool)> = told(&one, &rules(&call_off(WINDOW, "w").expect("it is there")));
        assert_eq!(gone, [("window w: called off".to_owned(), true)]);
        for bad in [
            "(window w (engines e1))",
            &WINDOW.replace("03:00:00Z", "3 o'clock"),
            &format!("{WINDOW}{WINDOW}"),
        ] {
            assert!(Rules::parse(bad, &names()).is_err(), "{bad}");
        }
    }
}
