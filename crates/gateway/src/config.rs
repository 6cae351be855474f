//! The gateway's configuration: S-expressions, each mistake with its place, and checks against the rules.

mod agreement;
mod keys;
mod limits;
mod membership;
mod policy;
mod sessions;
mod sites;
mod windows;
mod zone;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use violetward::*;

use crate::custody_terms;
use crate::forms::{self, Checker, Form, Mistake};
use crate::terms::micros;
pub use crate::terms::{
    AgreementTerms, Config, CustodyTerms, HostLimits, KernelConfig, Names, PeerTerms, Selection, Selector,
    SessionTerms, WindowTerms,
};
use agreement::agreement_terms;
pub use keys::{read_keys, read_operators, read_ring};
use limits::host_limits;
use membership::peer_terms;
use policy::{class, policy};
use sessions::session_terms;
use sites::site_terms;
use windows::window_terms;
use zone::zone_front;

const SECTIONS: [&str; 15] = [
    "agreement",
    "custody",
    "windows",
    "gateway",
    "dns",
    "membership",
    "kernel",
    "sessions",
    "site-loss",
    "limits",
    "engine-properties",
    "policy",
    "kinds",
    "tenants",
    "classes",
];

/// Reads a configuration. Relative paths in it are relative to `folder`.
///
/// # Errors
/// Every mistake found, in the order of their places.
pub fn parse(text: &str, folder: &Path) -> Result<Config, Vec<Mistake>> {
    let data = forms::read(text).map_err(|m| vec![m])?;
    let mut c = Checker::default();
    let forms: Vec<Form<'_>> = data.iter().filter_map(|d| c.form(d.as_ref())).collect();
    for (i, form) in forms.iter().enumerate() {
        let repeated = form.name != "select" && forms[..i].iter().any(|f| f.name == form.name);
        if !SECTIONS.contains(&form.name.as_str()) && form.name != "select" {
            c.at(form, format!("{} is not known; known: {}, select", form.name, SECTIONS.join(", ")));
        } else if repeated {
            c.at(form, format!("{} stands twice", form.name));
        }
    }
    let section = |name: &str| forms.iter().find(|f| f.name == name);
    let config = build(&mut c, &section, &forms, folder);
    c.mistakes.sort();
    match config {
        Some(config) if c.mistakes.is_empty() => Ok(config),
        _ => {
            if c.mistakes.is_empty() {
                c.mistakes.push(Mistake { line: 1, column: 1, text: "the file is empty".into() });
            }
            Err(c.mistakes)
        }
    }
}

fn build<'a>(
    c: &mut Checker,
    section: &dyn Fn(&str) -> Option<&'a Form<'a>>,
    forms: &[Form<'a>],
    folder: &Path,
) -> Option<Config> {
    let missing = |c: &mut Checker, name: &str| {
        if section(name).is_none() {
            c.mistakes.push(Mistake { line: 1, column: 1, text: format!("({name} ...) is missing") });
        }
    };
    for name in ["gateway", "kinds", "classes"] {
        missing(c, name);
    }
    let (gateway, kinds, classes) = (section("gateway")?, section("kinds")?, section("classes")?);
    let known = [
        "number",
        "of",
        "zone",
        "listen",
        "engines",
        "origin",
        "key-tag",
        "group-tag",
        "tenant-tag",
        "repeat-tag",
    ];
    let g = c.fields(gateway, 0, &known);
    let number = g.whole(c, "number", (0, 1 << 20), 0);
    let of = g.whole(c, "of", (1, 1 << 20), 1);
    if number >= of {
        c.at(gateway, format!("gateway: number {number} must be under (of {of}): numbers count from 0"));
    }
    let zone = g.word(c, "zone", "default");
    let mut names = Names { zones: vec![zone], ..Names::default() };
    let listen = g.need(c, "listen").cloned();
    let listen = listen.and_then(|f| c.word(&f, "an address such as \"127.0.0.1:8080\"").map(|w| (f, w)));
    let listen = listen.and_then(|(f, w)| {
        let parsed = w.parse::<SocketAddr>().ok();
        if parsed.is_none() {
            c.at(&f, format!("listen: expected an address and port such as \"127.0.0.1:8080\", found {w}"));
        }
        parsed
    });
    let origin = g.get("origin").cloned().and_then(|f| {
        let word = c.word(&f, "the name of a zone")?;
        let name = violetward_dns::name::Name::parse(&word, &violetward_dns::name::Name::root());
        name.map_err(|e| c.at(&f, format!("origin: {e}"))).ok()
    });
    let engines = g.need(c, "engines").cloned().and_then(|f| c.word(&f, "the path of the engine list"));

    let zone_front = section("dns").and_then(|form| zone_front(c, form, &origin));
    let peers = section("membership").and_then(|form| peer_terms(c, form, folder));
    let kernel = section("kernel").and_then(|form| {
        let f = c.fields(form, 0, &["connection-file", "user", "rows"]);
        let file = f.need(c, "connection-file").cloned().and_then(|f| c.word(&f, "a path"))?;
        let user = f.word(c, "user", "notebook");
        let rows = f.whole(c, "rows", (1, 1_000_000), 1000) as usize;
        Some(KernelConfig { connection_file: folder.join(file), user, rows })
    });
    let sessions = session_terms(c, section("sessions"), folder);
    let limits = section("limits");
    let host = host_limits(c, limits, section("engine-properties"));
    let (mut settings, drain_grace) = policy(c, section("policy"));
    settings.own_id = PeerId(number);
    settings.gateways = of as u32;

    for datum in &kinds.rest {
        let Some(form) = c.form(*datum) else { continue };
        let Some(name) = named(c, &form, "kind", &names.kinds) else { continue };
        let f = c.fields(&form, 1, &["cores", "memory"]);
        let cores = f.need(c, "cores").cloned().and_then(|f| c.number(&f, 0.1, 4096.0)).unwrap_or(1.0);
        let memory = f.size(c, "memory", 0);
        settings.kinds.push(Kind { cores, memory_mb: memory as f64 / f64::from(1 << 20) });
        names.kinds.push(name);
    }
    if settings.kinds.is_empty() {
        c.at(kinds, "kinds: expected at least one (kind NAME (cores N) (memory SIZE))");
    }
    if let Some(tenants) = section("tenants") {
        for datum in &tenants.rest {
            let Some(form) = c.form(*datum) else { continue };
            let Some(name) = named(c, &form, "tenant", &names.tenants) else { continue };
            let f = c.fields(&form, 1, &["per-second"]);
            let rate = f.need(c, "per-second").cloned().and_then(|f| c.number(&f, 0.0, 1e9)).unwrap_or(0.0);
            settings.tenants.push(Tenant { quota_per_s: rate });
            names.tenants.push(name);
        }
    }
    for datum in &classes.rest {
        let Some(form) = c.form(*datum) else { continue };
        let Some(name) = named(c, &form, "class", &names.classes) else { continue };
        let f = class(c, &form, &mut names, &host, &settings);
        settings.classes.push(f);
        names.classes.push(name);
    }
    if settings.classes.is_empty() {
        c.at(classes, "classes: expected at least one (class NAME ...)");
    }
    let mut agreement =
        section("agreement").and_then(|f| agreement_terms(c, f, peers.as_ref(), &names, folder));
    let windows = section("windows").and_then(|f| window_terms(c, f, agreement.as_mut(), folder));
    let custody = section("custody").and_then(|f| custody_terms::read(c, f, peers.as_ref(), &names, folder));
    let sites = section("site-loss").and_then(|form| site_terms(c, form, peers.as_ref()));
    let mut selection = Selection {
        selectors: Vec::new(),
        key_tag: g.word(c, "key-tag", "key="),
        group_tag: g.word(c, "group-tag", "group="),
        tenant_tag: g.word(c, "tenant-tag", "tenant="),
        repeat_tag: g.word(c, "repeat-tag", "repeat="),
    };
    for form in forms.iter().filter(|f| f.name == "select") {
        let Some(name) = c.name(form) else { continue };
        let Some(class) = names.classes.iter().position(|n| *n == name) else {
            c.at(form, format!("select: there is no class {name}; classes: {}", names.classes.join(", ")));
            continue;
        };
        let f = c.fields(form, 1, &["source", "user", "tag", "first-word"]);
        let mut list = |name: &str| f.get(name).cloned().map(|f| c.words(&f)).unwrap_or_default();
        let (sources, users, tags) = (list("source"), list("user"), list("tag"));
        let first_words = list("first-word").iter().map(|w| w.to_lowercase()).collect();
        selection.selectors.push(Selector { class, sources, users, tags, first_words });
    }
    Some(Config {
        listen: listen?,
        engines: folder.join(engines?),
        origin,
        zone_front,
        kernel,
        peers,
        agreement,
        windows,
        custody,
        sites,
        sessions,
        host,
        selection,
        settings,
        names,
        drain_grace,
    })
}

fn named(c: &mut Checker, form: &Form<'_>, what: &str, before: &[String]) -> Option<String> {
    if form.name != what {
        c.at(form, format!("expected ({what} NAME ...), found ({} ...)", form.name));
        return None;
    }
    let name = c.name(form)?;
    if before.contains(&name) {
        c.at(form, format!("{what} {name} stands twice"));
        return None;
    }
    Some(name)
}

/// Checks that only hold over several sections.
pub fn cross_checks(config: &Config) -> Vec<String> {
    let mut found = Vec::new();
    if config.host.list_every * 2 > config.drain_grace {
        found.push(format!(
            "limits/list-every ({:?}) must be at most half of policy/drain-grace ({:?}): a drain seen late is not kept",
            config.host.list_every, config.drain_grace
        ));
    }
    let s = &config.settings;
    let ordered = s.classes.iter().any(|c| c.in_order);
    if ordered && config.selection.key_tag.is_empty() {
        found
            .push("a class is in-order, but gateway/key-tag is empty: no statement could carry a key".into());
    }
    if config.selection.selectors.is_empty() && s.classes.len() > 1 {
        found.push(
            "there are several classes and no (select ...): all statements would be of the first".into(),
        );
    }
    let keyed = s.classes.iter().any(|c| matches!(c.effect, Effect::Keyed { .. }));
    if keyed && config.host.repeat_property.is_empty() {
        found.push(
            "a class is keyed, but engine-properties/repeat is empty: engines could drop no repeat".into(),
        );
    }
    found
}

/// Reads and checks a file.
///
/// # Errors
/// Lines that tell each mistake with its place.
pub fn load(path: &Path) -> Result<Config, Vec<String>> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{shown}: {e}")])?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let config =
        parse(&text, folder).map_err(|all| all.iter().map(|m| format!("{shown}:{m}")).collect::<Vec<_>>())?;
    let crossed = cross_checks(&config);
    if !crossed.is_empty() {
        return Err(crossed.iter().map(|m| format!("{shown}: {m}")).collect());
    }
    Ok(config)
}
