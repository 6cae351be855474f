//! The settings of the decision module: policy, classes and their effects.

use super::*;

/// Shortest time between two calls of the decision module with events.
const QUANTUM_MICROS: Micros = 5_000;

/// Reads the section `policy`. Returns the settings, still without classes, kinds and tenants, and the
/// grace of drains.
pub(super) fn policy(checker: &mut Checker, form: Option<&Form<'_>>) -> (Settings, Duration) {
    let empty = Form::empty("policy");
    let known = [
        "attempts",
        "budget",
        "cancels",
        "probes",
        "grants",
        "priorities",
        "tells-cost",
        "grant-cap",
        "when-short",
        "cold-from",
        "cold-span",
        "fall-multiple",
        "fall-span",
        "key-rest",
        "drain-grace",
        "retry-advice",
        "over-share-worth",
        "cross-zone-price",
    ];
    let fields = checker.fields(form.unwrap_or(&empty), 0, &known);
    let micros_of = |checker: &mut Checker, name: &str, ms: u64| {
        micros(fields.duration(checker, name, Duration::from_millis(ms)))
    };
    let budget = fields.get("budget").cloned().map(|budget| {
        let fields = checker.fields(&budget, 0, &["free", "share", "window"]);
        let window = fields
            .require(checker, "window")
            .cloned()
            .and_then(|w| checker.duration(&w))
            .unwrap_or(Duration::from_secs(5));
        AttemptBudget {
            free: fields.number(checker, "free", (0.0, 1e6), 5.0),
            per_request: fields.number(checker, "share", (0.0, 1.0), 0.1),
            window: micros(window),
        }
    });
    let shortage_choices = [
        ("wait", MemoryShortage::Queue),
        ("shrink", MemoryShortage::Reduce),
        ("page", MemoryShortage::Overcommit),
    ];
    let default_budget = AttemptBudget { free: 5.0, per_request: 0.1, window: 5_000_000 };
    let settings = Settings {
        own_id: PeerId(0),
        zone: ZoneId(0),
        gateways: 1,
        classes: Vec::new(),
        kinds: Vec::new(),
        tenants: Vec::new(),
        over_share_worth: fields.number(checker, "over-share-worth", (0.0, 1.0), 0.1),
        grants: fields.flag(checker, "grants", true),
        priorities: fields.flag(checker, "priorities", true),
        grant_cap: fields.number(checker, "grant-cap", (0.01, 1.0), 0.4),
        memory_shortage: fields
            .get("when-short")
            .cloned()
            .and_then(|f| checker.choice(&f, &shortage_choices))
            .unwrap_or(MemoryShortage::Queue),
        reports_cost: fields.flag(checker, "tells-cost", true),
        list_poll_interval: None,
        cold_capacity: fields.number(checker, "cold-from", (0.01, 1.0), 0.3),
        cold_span: micros_of(checker, "cold-span", 15_000),
        overload_multiple: fields.number(checker, "fall-multiple", (1.0, 100.0), 4.0),
        overload_span: micros_of(checker, "fall-span", 1_500).max(1),
        key_cooldown: micros_of(checker, "key-rest", 2_000),
        budget: Some(budget.unwrap_or(default_budget)),
        attempts_cap: fields.integer(checker, "attempts", (1, 10), 3) as u32,
        may_cancel: fields.flag(checker, "cancels", true),
        may_duplicate: false,
        may_probe: fields.flag(checker, "probes", true),
        peer_messages: false,
        max_retry_after: Some(micros_of(checker, "retry-advice", 30_000)),
        quantum: QUANTUM_MICROS,
        note_period: None,
        load_reports: LoadReports::WithAnswers,
        prices: Prices {
            cross_zone: fields.number(checker, "cross-zone-price", (0.0, 1.0), 0.0),
            ..Prices::default()
        },
    };
    let drain_grace = fields.duration(checker, "drain-grace", Duration::from_millis(250));
    if drain_grace < Duration::from_millis(1) {
        checker.error_at(&fields.form, "policy: drain-grace must be at least \"1ms\"");
    }
    (settings, drain_grace)
}

/// Reads a class. Zones that the configuration has not named before are added to `names`.
pub(super) fn class(
    checker: &mut Checker,
    form: &Form<'_>,
    names: &mut Names,
    host: &HostLimits,
    settings: &Settings,
) -> Class {
    let known = [
        "aim",
        "aim-stretch",
        "give-up",
        "worth",
        "late-worth",
        "effect",
        "in-order",
        "kinds",
        "zones",
        "threads",
        "load",
        "waits-for-loads",
    ];
    let fields = checker.fields(form, 1, &known);
    let aim = fields
        .require(checker, "aim")
        .cloned()
        .and_then(|f| checker.duration(&f))
        .unwrap_or(Duration::from_secs(1));
    let give_up =
        fields.require(checker, "give-up").cloned().and_then(|f| checker.duration(&f)).unwrap_or(aim * 2);
    if give_up <= aim {
        checker
            .error_at(form, "class: give-up must be over aim: no late answer could still reach the client");
    }
    if give_up <= host.reply_margin * 2 {
        checker.error_at(
            form,
            "class: give-up must be over twice limits/reply-margin: no time to run would remain",
        );
    }
    let effect = fields.require(checker, "effect").cloned().and_then(|e| effect(checker, &e));
    let effect = effect.unwrap_or(Effect::Repeatable);
    let in_order = fields.flag(checker, "in-order", false);
    if in_order && settings.key_cooldown == 0 {
        checker.error_at(
            form,
            "class: in-order needs policy/key-rest over 0: work of unknown outcome may still be running",
        );
    }
    if let Effect::Keyed { window, .. } = effect {
        if window <= 2 * settings.quantum {
            checker
                .error_at(form, "class: the window of a keyed effect is too short for any further attempt");
        }
    }
    // Reads the numbers of the names in a field. Unknown names are added or reported.
    let numbers_of = |checker: &mut Checker,
                      name: &str,
                      known: &mut Vec<String>,
                      add_unknown: bool|
     -> Option<Vec<usize>> {
        let form = fields.get(name).cloned()?;
        let words = checker.words(&form);
        let mut numbers = Vec::new();
        for word in words {
            match known.iter().position(|k| *k == word) {
                Some(n) => numbers.push(n),
                None if add_unknown => {
                    known.push(word);
                    numbers.push(known.len() - 1);
                }
                None => checker
                    .error_at(&form, format!("{name}: there is no {word}; known: {}", known.join(", "))),
            }
        }
        Some(numbers)
    };
    let kinds = numbers_of(checker, "kinds", &mut names.kinds, false);
    let zones = numbers_of(checker, "zones", &mut names.zones, true);
    Class {
        latency_target: micros(aim),
        target_stretch: fields.number(checker, "aim-stretch", (0.0, 100.0), 0.0),
        client_timeout: micros(give_up),
        worth: fields.number(checker, "worth", (0.0, 1e6), 1.0),
        late_worth: fields.number(checker, "late-worth", (0.0, 1.0), 0.3),
        effect,
        in_order,
        kinds: kinds.map(|k| k.into_iter().map(KindId).collect()),
        zones: zones.map(|z| z.into_iter().map(ZoneId).collect()),
        threads: fields.integer(checker, "threads", (1, 1024), 1) as u32,
        is_load: fields.flag(checker, "load", false),
        waits_for_loads: fields.flag(checker, "waits-for-loads", false),
    }
}

/// Reads the effect of a class's statements.
fn effect(checker: &mut Checker, form: &Form<'_>) -> Option<Effect> {
    let datum = checker.single_arg(form, "repeatable, once or (keyed (scope all) (window \"25s\"))")?;
    if datum.list_iter().is_none() {
        return checker.choice(form, &[("repeatable", Effect::Repeatable), ("once", Effect::Once)]);
    }
    let keyed = checker.form(datum)?;
    if keyed.name != "keyed" {
        checker.error_at(&keyed, "effect: expected repeatable, once or (keyed ...)");
        return None;
    }
    let fields = checker.fields(&keyed, 0, &["scope", "window"]);
    let scopes = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
    let scope =
        fields.get("scope").cloned().and_then(|f| checker.choice(&f, &scopes)).unwrap_or(KeyScope::All);
    let window = fields.require(checker, "window").cloned().and_then(|f| checker.duration(&f))?;
    Some(Effect::Keyed { scope, window: micros(window) })
}
