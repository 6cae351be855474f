//! What the decision module is told: policy, classes, effects.

use super::*;

pub(super) fn policy(c: &mut Checker, form: Option<&Form<'_>>) -> (Settings, Duration) {
    let empty = Form::made("policy");
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
    let f = c.fields(form.unwrap_or(&empty), 0, &known);
    let span = |c: &mut Checker, name: &str, ms: u64| micros(f.span(c, name, Duration::from_millis(ms)));
    let budget = f.get("budget").cloned().map(|b| {
        let f = c.fields(&b, 0, &["free", "share", "window"]);
        let window = f.need(c, "window").cloned().and_then(|w| c.span(&w)).unwrap_or(Duration::from_secs(5));
        AttemptBudget {
            free: f.number(c, "free", (0.0, 1e6), 5.0),
            per_request: f.number(c, "share", (0.0, 1.0), 0.1),
            window: micros(window),
        }
    });
    let when = [
        ("wait", MemoryShortage::Queue),
        ("shrink", MemoryShortage::Reduce),
        ("page", MemoryShortage::Overcommit),
    ];
    let default = AttemptBudget { free: 5.0, per_request: 0.1, window: 5_000_000 };
    let settings = Settings {
        own_id: PeerId(0),
        zone: ZoneId(0),
        gateways: 1,
        classes: Vec::new(),
        kinds: Vec::new(),
        tenants: Vec::new(),
        over_share_worth: f.number(c, "over-share-worth", (0.0, 1.0), 0.1),
        grants: f.flag(c, "grants", true),
        priorities: f.flag(c, "priorities", true),
        grant_cap: f.number(c, "grant-cap", (0.01, 1.0), 0.4),
        memory_shortage: f
            .get("when-short")
            .cloned()
            .and_then(|f| c.choice(&f, &when))
            .unwrap_or(MemoryShortage::Queue),
        reports_cost: f.flag(c, "tells-cost", true),
        list_poll_interval: None,
        cold_capacity: f.number(c, "cold-from", (0.01, 1.0), 0.3),
        cold_span: span(c, "cold-span", 15_000),
        overload_multiple: f.number(c, "fall-multiple", (1.0, 100.0), 4.0),
        overload_span: span(c, "fall-span", 1_500).max(1),
        key_cooldown: span(c, "key-rest", 2_000),
        budget: Some(budget.unwrap_or(default)),
        attempts_cap: f.whole(c, "attempts", (1, 10), 3) as u32,
        may_cancel: f.flag(c, "cancels", true),
        may_duplicate: false,
        may_probe: f.flag(c, "probes", true),
        peer_messages: false,
        max_retry_after: Some(span(c, "retry-advice", 30_000)),
        quantum: 5_000,
        note_period: None,
        load_reports: LoadReports::WithAnswers,
        prices: Prices { cross_zone: f.number(c, "cross-zone-price", (0.0, 1.0), 0.0), ..Prices::default() },
    };
    let grace = f.span(c, "drain-grace", Duration::from_millis(250));
    if grace < Duration::from_millis(1) {
        c.at(&f.owner, "policy: drain-grace must be at least \"1ms\"");
    }
    (settings, grace)
}

pub(super) fn class(
    c: &mut Checker,
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
    let f = c.fields(form, 1, &known);
    let aim = f.need(c, "aim").cloned().and_then(|f| c.span(&f)).unwrap_or(Duration::from_secs(1));
    let give_up = f.need(c, "give-up").cloned().and_then(|f| c.span(&f)).unwrap_or(aim * 2);
    if give_up <= aim {
        c.at(form, "class: give-up must be over aim: nothing could be late and still be answered");
    }
    if give_up <= host.reply_margin * 2 {
        c.at(form, "class: give-up must be over twice limits/reply-margin: no time to run would be left");
    }
    let effect = f.need(c, "effect").cloned().and_then(|e| effect(c, &e));
    let effect = effect.unwrap_or(Effect::Repeatable);
    let in_order = f.flag(c, "in-order", false);
    if in_order && settings.key_cooldown == 0 {
        c.at(form, "class: in-order needs policy/key-rest over 0: work whose end is not known may go on");
    }
    if let Effect::Keyed { window, .. } = effect {
        if window <= 2 * settings.quantum {
            c.at(form, "class: the window of a keyed effect is too short for any further attempt");
        }
    }
    let places = |c: &mut Checker, name: &str, known: &mut Vec<String>, open: bool| -> Option<Vec<usize>> {
        let form = f.get(name).cloned()?;
        let words = c.words(&form);
        let mut numbers = Vec::new();
        for word in words {
            match known.iter().position(|k| *k == word) {
                Some(n) => numbers.push(n),
                None if open => {
                    known.push(word);
                    numbers.push(known.len() - 1);
                }
                None => c.at(&form, format!("{name}: there is no {word}; known: {}", known.join(", "))),
            }
        }
        Some(numbers)
    };
    let kinds = places(c, "kinds", &mut names.kinds, false);
    let zones = places(c, "zones", &mut names.zones, true);
    Class {
        latency_target: micros(aim),
        target_stretch: f.number(c, "aim-stretch", (0.0, 100.0), 0.0),
        client_timeout: micros(give_up),
        worth: f.number(c, "worth", (0.0, 1e6), 1.0),
        late_worth: f.number(c, "late-worth", (0.0, 1.0), 0.3),
        effect,
        in_order,
        kinds: kinds.map(|k| k.into_iter().map(KindId).collect()),
        zones: zones.map(|z| z.into_iter().map(ZoneId).collect()),
        threads: f.whole(c, "threads", (1, 1024), 1) as u32,
        is_load: f.flag(c, "load", false),
        waits_for_loads: f.flag(c, "waits-for-loads", false),
    }
}

fn effect(c: &mut Checker, form: &Form<'_>) -> Option<Effect> {
    let datum = c.one(form, "repeatable, once or (keyed (scope all) (window \"25s\"))")?;
    if datum.list_iter().is_none() {
        return c.choice(form, &[("repeatable", Effect::Repeatable), ("once", Effect::Once)]);
    }
    let keyed = c.form(datum)?;
    if keyed.name != "keyed" {
        c.at(&keyed, "effect: expected repeatable, once or (keyed ...)");
        return None;
    }
    let f = c.fields(&keyed, 0, &["scope", "window"]);
    let scopes = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
    let scope = f.get("scope").cloned().and_then(|f| c.choice(&f, &scopes)).unwrap_or(KeyScope::All);
    let window = f.need(c, "window").cloned().and_then(|f| c.span(&f))?;
    Some(Effect::Keyed { scope, window: micros(window) })
}
