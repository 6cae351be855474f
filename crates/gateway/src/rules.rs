//! The content of a version of the settings: rules that restrict the configuration. Performs no I/O and
//! reads no clock.
//!
//! ```text
//! (class NAME (admit no) (kinds K ...) (zones Z ...) (once yes))
//! (tenant NAME (per-second R))
//! (attempts (cap N) (free F) (per-request P))
//! (engine NAME (state draining|removed))
//! (window NAME (engines E ...) (from "2026-12-02T03:00:00Z") (until "...") (by WHO) (off yes))
//! ```
//!
//! What a version does not name stays as configured, and a version never allows more than the
//! configuration. So any two versions have an intersection ([`Rules::intersect`]), which allows exactly
//! what both of them allow. Windows are not part of it: they permit gateways to send nothing to engines for
//! a while, and `violetward-windows` decides when.

mod syntax;

pub use syntax::cancel_window;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use violetward::{AttemptBudget, Class, Effect, KindId, Listed, Settings, Tenant};
use violetward_windows::held::Grant;

use crate::record::zone_id;
use crate::terms::Names;
use crate::timestamp;

/// Restrictions of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassRules {
    /// The class's requests are refused.
    pub closed: bool,
    /// Kinds of machine on which requests may run, of those configured; `None`: all configured ones.
    pub kinds: Option<BTreeSet<String>>,
    /// Zones in which requests may run, of those configured; `None`: all configured ones.
    pub zones: Option<BTreeSet<String>>,
    /// Requests must not run twice, even if the configuration allows it.
    pub once: bool,
}

/// Limits on attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptLimits {
    /// Maximum number of attempts of one request.
    pub cap: u32,
    /// Maximum number of further attempts that the budget holds without any requests.
    pub free: f64,
    /// Maximum number of further attempts that each request adds to the budget.
    pub per_request: f64,
}

const UNLIMITED: AttemptLimits =
    AttemptLimits { cap: u32::MAX, free: f64::INFINITY, per_request: f64::INFINITY };

/// The rules of a version of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    classes: BTreeMap<String, ClassRules>,
    tenants: BTreeMap<String, f64>,
    attempts: AttemptLimits,
    engines: BTreeMap<String, Listed>,
    /// New work goes to these engines only; `None`: to all engines.
    allowed_engines: Option<BTreeSet<String>>,
    windows: Vec<Grant>,
}

impl Default for Rules {
    /// No restrictions: the configuration as it is.
    fn default() -> Self {
        let (classes, tenants, engines) = Default::default();
        Rules { classes, tenants, attempts: UNLIMITED, engines, allowed_engines: None, windows: Vec::new() }
    }
}

/// A difference between two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The subject and its change.
    pub description: String,
    /// Whether the newer version allows something that the older one does not.
    pub widens: bool,
}

/// The more restrictive of two states of an engine.
pub fn more_restrictive(a: Listed, b: Listed) -> Listed {
    match (a, b) {
        (Listed::Removed, _) | (_, Listed::Removed) => Listed::Removed,
        (Listed::Draining, _) | (_, Listed::Draining) => Listed::Draining,
        _ => Listed::Up,
    }
}

/// The intersection of two sets; `None` is the set of everything.
fn intersect_sets(a: &Option<BTreeSet<String>>, b: &Option<BTreeSet<String>>) -> Option<BTreeSet<String>> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.intersection(b).cloned().collect()),
        (some, None) | (None, some) => some.clone(),
    }
}

impl Rules {
    /// The floor: what every version has to allow, so that a gateway without a lease may do it. It admits
    /// only these classes, to these engines, with one attempt per request.
    pub fn floor(classes: &[String], engines: &[String], names: &Names) -> Rules {
        let others = names.classes.iter().filter(|c| !classes.contains(c));
        let closed_class =
            |name: &String| (name.clone(), ClassRules { closed: true, ..ClassRules::default() });
        Rules {
            classes: others.map(closed_class).collect(),
            tenants: names.tenants.iter().map(|t| (t.clone(), 0.0)).collect(),
            attempts: AttemptLimits { cap: 1, free: 0.0, per_request: 0.0 },
            engines: BTreeMap::new(),
            allowed_engines: Some(engines.iter().cloned().collect()),
            windows: Vec::new(),
        }
    }

    /// Rules under which these engines drain, without other restrictions.
    pub fn draining(engines: &BTreeSet<String>) -> Rules {
        let engines = engines.iter().map(|e| (e.clone(), Listed::Draining)).collect();
        Rules { engines, ..Rules::default() }
    }

    /// The version's windows of maintenance.
    pub fn windows(&self) -> &[Grant] {
        &self.windows
    }

    /// Removes entries without effect, so that rules that allow the same are equal.
    fn normalized(mut self) -> Rules {
        for class in self.classes.values_mut().filter(|c| c.closed) {
            *class = ClassRules { closed: true, ..ClassRules::default() };
        }
        self.classes.retain(|_, c| *c != ClassRules::default());
        if let Some(allowed) = &self.allowed_engines {
            // An engine outside the set gets no new work, as if it were draining. Removal remains, because
            // it may also end the work that runs on the engine.
            let allowed = allowed.iter().filter(|e| !self.engines.contains_key(*e)).cloned().collect();
            self.engines.retain(|_, s| *s == Listed::Removed);
            self.allowed_engines = Some(allowed);
        }
        self.engines.retain(|_, s| *s != Listed::Up);
        self
    }

    /// The intersection: allows exactly what both allow.
    pub fn intersect(&self, other: &Rules) -> Rules {
        let mut rules = self.clone();
        for (name, theirs) in &other.classes {
            let own = rules.classes.entry(name.clone()).or_default();
            own.closed |= theirs.closed;
            own.once |= theirs.once;
            own.kinds = intersect_sets(&own.kinds, &theirs.kinds);
            own.zones = intersect_sets(&own.zones, &theirs.zones);
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
            *own = more_restrictive(*own, state);
        }
        rules.allowed_engines = intersect_sets(&rules.allowed_engines, &other.allowed_engines);
        rules.windows.clear();
        rules.normalized()
    }

    /// Whether the other rules allow everything that these rules allow.
    pub fn is_within(&self, other: &Rules) -> bool {
        // Only new work counts. Removal also ends running work, which is not compared here.
        let new_work = |rules: Rules| {
            let mut rules = rules.normalized();
            rules.windows.clear();
            if rules.allowed_engines.is_some() {
                rules.engines.clear();
            }
            rules
        };
        new_work(self.intersect(other)) == new_work(self.clone())
    }

    /// The restrictions of a class.
    pub fn class_rules(&self, name: &str) -> ClassRules {
        self.classes.get(name).cloned().unwrap_or_default()
    }

    /// The least restrictive state in which an engine may be used.
    pub fn engine_state(&self, name: &str) -> Listed {
        let allowed = self.allowed_engines.as_ref().is_none_or(|allowed| allowed.contains(name));
        more_restrictive(self.named_state(name), if allowed { Listed::Up } else { Listed::Draining })
    }

    /// The state that the rules give an engine by name, regardless of the engines that the floor allows. It
    /// applies to sessions bound to the engine.
    pub fn named_state(&self, name: &str) -> Listed {
        self.engines.get(name).copied().unwrap_or(Listed::Up)
    }

    /// Whether a request of a class may be sent to an engine of that kind and zone.
    pub fn allows(&self, class: &str, engine: &str, kind: &str, zone: &str) -> bool {
        let rules = self.class_rules(class);
        let permits =
            |set: &Option<BTreeSet<String>>, name: &str| set.as_ref().is_none_or(|s| s.contains(name));
        let up = self.engine_state(engine) == Listed::Up;
        up && !rules.closed && permits(&rules.kinds, kind) && permits(&rules.zones, zone)
    }

    /// Classes, tenants, maximum number of attempts and budget of attempts of a configuration, restricted
    /// by these rules.
    pub fn restrict(
        &self,
        settings: &Settings,
        names: &Names,
    ) -> (Vec<Class>, Vec<Tenant>, u32, Option<AttemptBudget>) {
        let restrict_class = |(class, name): (&Class, &String)| {
            let rules = self.class_rules(name);
            let mut class = class.clone();
            let restrict_kinds = |kept: &BTreeSet<String>, old: &Option<Vec<KindId>>| {
                let all = || (0..names.kinds.len()).map(KindId).collect::<Vec<_>>();
                let mut kinds = old.clone().unwrap_or_else(all);
                kinds.retain(|k| names.kinds.get(k.0).is_some_and(|n| kept.contains(n)));
                kinds
            };
            if let Some(kept) = &rules.kinds {
                class.kinds = Some(restrict_kinds(kept, &class.kinds));
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
        let restrict_tenant = |(tenant, name): (&Tenant, &String)| Tenant {
            quota_per_s: self.tenants.get(name).map_or(tenant.quota_per_s, |&r| r.min(tenant.quota_per_s)),
        };
        let limits = self.attempts;
        // Without a configured budget, limits given by the rules apply over a window of one minute.
        const DEFAULT_WINDOW_MICROS: u64 = 60_000_000;
        let bounded = limits.free.is_finite() || limits.per_request.is_finite();
        let budget = settings.budget.clone().or_else(|| {
            let (free, per_request) = (limits.free.min(1e9), limits.per_request.min(1e3));
            bounded.then_some(AttemptBudget { free, per_request, window: DEFAULT_WINDOW_MICROS })
        });
        let budget = budget.map(|b| AttemptBudget {
            free: b.free.min(limits.free),
            per_request: b.per_request.min(limits.per_request),
            window: b.window,
        });
        (
            settings.classes.iter().zip(&names.classes).map(restrict_class).collect(),
            settings.tenants.iter().zip(&names.tenants).map(restrict_tenant).collect(),
            settings.attempts_cap.min(limits.cap),
            budget,
        )
    }

    /// The differences of newer rules from these.
    pub fn differences(&self, newer: &Rules) -> Vec<Difference> {
        let mut found = Vec::new();
        let mut report = |description: String, widens: bool| found.push(Difference { description, widens });
        let names: BTreeSet<&String> = self.classes.keys().chain(newer.classes.keys()).collect();
        for name in names {
            let (old, new) = (self.class_rules(name), newer.class_rules(name));
            if old.closed != new.closed {
                let word = |closed| if closed { "refused" } else { "admitted" };
                report(format!("class {name}: {} -> {}", word(old.closed), word(new.closed)), old.closed);
            }
            let shown = |set: &Option<BTreeSet<String>>| match set {
                Some(set) => set.iter().cloned().collect::<Vec<_>>().join(" "),
                None => "as configured".into(),
            };
            for (what, a, b) in [("kinds", &old.kinds, &new.kinds), ("zones", &old.zones, &new.zones)] {
                if a != b {
                    let restricts = intersect_sets(a, b) == *b;
                    report(format!("class {name}: {what} {} -> {}", shown(a), shown(b)), !restricts);
                }
            }
            if old.once != new.once {
                let text = if new.once { "must not run twice" } else { "may be repeated as configured" };
                report(format!("class {name}: {text}"), old.once);
            }
        }
        let tenants: BTreeSet<&String> = self.tenants.keys().chain(newer.tenants.keys()).collect();
        let rate = |rules: &Rules, name: &str| rules.tenants.get(name).copied().unwrap_or(f64::INFINITY);
        for name in tenants {
            let (old, new) = (rate(self, name), rate(newer, name));
            if old != new {
                report(format!("tenant {name}: at most {old} -> {new} a second"), new > old);
            }
        }
        let (a, b) = (self.attempts, newer.attempts);
        let bounds = [
            ("cap", f64::from(a.cap), f64::from(b.cap)),
            ("free", a.free, b.free),
            ("per request", a.per_request, b.per_request),
        ];
        for (what, old, new) in bounds.into_iter().filter(|(_, old, new)| old != new) {
            report(format!("attempts: {what} at most {old} -> {new}"), new > old);
        }
        let engines: BTreeSet<&String> = self.engines.keys().chain(newer.engines.keys()).collect();
        for name in engines {
            let (old, new) = (self.named_state(name), newer.named_state(name));
            if old != new {
                let mut text = format!("engine {name}: ");
                write!(text, "{old:?} -> {new:?}").ok();
                report(text, more_restrictive(old, new) != new);
            }
        }
        let find = |all: &[Grant], name: &str| all.iter().find(|g| g.name == name).cloned();
        for new in &newer.windows {
            let engines = new.engines.iter().cloned().collect::<Vec<_>>().join(" ");
            let span = format!("{} to {}", timestamp::format(new.from), timestamp::format(new.until));
            let off = if new.off { ", called off" } else { "" };
            match find(&self.windows, &new.name) {
                None => report(format!("window {}: {engines} from {span}{off}", new.name), false),
                Some(old) if old == *new => {}
                Some(old) if old.same(new) && new.off => {
                    report(format!("window {}: called off", new.name), true)
                }
                Some(_) => {
                    report(format!("window {}: changed to {engines} from {span}{off}", new.name), true)
                }
            }
        }
        for old in self.windows.iter().filter(|old| find(&newer.windows, &old.name).is_none()) {
            report(format!("window {}: left out", old.name), !old.off);
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

    const EXAMPLES: [&str; 9] = [
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
    fn the_intersection_allows_what_both_allow() {
        let names = names();
        let floor = Rules::floor(&["light".into()], &["e2".into(), "e3".into()], &names);
        let all: Vec<Rules> = EXAMPLES.iter().map(|t| rules(t)).chain([floor]).collect();
        for a in &all {
            assert_eq!(a.intersect(a), *a);
            for b in &all {
                let intersection = a.intersect(b);
                assert_eq!(intersection, b.intersect(a));
                assert!(intersection.is_within(a) && intersection.is_within(b));
                for class in &names.classes {
                    for engine in ["e1", "e2", "e3"] {
                        for (kind, zone) in [("m4", "a"), ("m8", "a"), ("m4", "b"), ("m8", "b")] {
                            let allowed_by_both =
                                a.allows(class, engine, kind, zone) && b.allows(class, engine, kind, zone);
                            assert_eq!(
                                intersection.allows(class, engine, kind, zone),
                                allowed_by_both,
                                "{a:?} and {b:?}"
                            );
                        }
                    }
                }
                // If `a` is within `b`, intersecting it with `b` changes nothing.
                if a.is_within(b) {
                    assert_eq!(a.intersect(b).differences(a), [], "{a:?} within {b:?}");
                }
            }
        }
    }

    #[test]
    fn a_version_that_restricts_the_floor_is_recognized() {
        let floor = Rules::floor(&["light".into()], &["e2".into()], &names());
        for good in ["", "(class heavy (admit no))", "(engine e1 (state removed))", "(attempts (cap 1))"] {
            assert!(floor.is_within(&rules(good)), "{good}");
        }
        for bad in ["(class light (admit no))", "(class light (zones a))", "(engine e2 (state draining))"] {
            assert!(!floor.is_within(&rules(bad)), "{bad}");
        }
        // A floor without classes is within every version.
        let empty_floor = Rules::floor(&[], &[], &names());
        assert!(EXAMPLES.iter().all(|t| empty_floor.is_within(&rules(t))));
    }

    #[test]
    fn unknown_names_are_errors_with_their_position() {
        let errors = Rules::parse("(class light)\n (class huge (admit no))", &names()).unwrap_err();
        assert_eq!((errors[0].line, errors[0].column), (2, 2));
        assert!(Rules::parse("(class heavy (kinds m9))", &names()).is_err());
        assert!(Rules::parse("(share 2)", &names()).is_err());
    }

    #[test]
    fn differences_report_what_is_newly_allowed() {
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
    fn windows_are_parsed_compared_and_called_off_and_restrict_nothing() {
        let one = rules(WINDOW);
        let [grant] = one.windows() else { panic!("{one:?}") };
        assert_eq!((grant.until - grant.from, grant.engines.len(), grant.off), (3_600_000_000, 2, false));
        // A window only permits gateways to leave engines out; it restricts nothing by itself.
        assert!(one.is_within(&rules("")) && rules("").is_within(&one));
        assert_eq!(one.intersect(&one).windows(), []);
        let text = format!("(class heavy (admit no)) ; why\n{WINDOW}");
        let off = cancel_window(&text, "w").expect("the window is present");
        let called = rules(&off);
        assert!(
            called.windows()[0].off && called.windows()[0].same(grant) && called.class_rules("heavy").closed
        );
        assert_eq!((cancel_window(&off, "w"), cancel_window(&text, "v")), (None, None));
        let changes =
            |a: &Rules, b: &Rules| a.differences(b).into_iter().map(|d| (d.description, d.widens)).collect();
        let new: Vec<(String, bool)> = changes(&rules(""), &one);
        let text = "window w: e1 e2 from 2026-12-02T03:00:00Z to 2026-12-02T04:00:00Z";
        assert_eq!(new, [(text.to_owned(), false)]);
        let gone: Vec<(String, bool)> =
            changes(&one, &rules(&cancel_window(WINDOW, "w").expect("the window is present")));
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
