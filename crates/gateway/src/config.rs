//! Reads the gateway's configuration from S-expressions. Reports every error with its position, and checks
//! the values against each other.

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
use crate::forms::{self, Checker, Diagnostic, Form};
use crate::terms::micros;
pub use crate::terms::{
    AgreementTerms, Config, CustodyTerms, HostLimits, KernelConfig, Names, PeerTerms, Selection, Selector,
    SessionTerms, WindowTerms,
};
use agreement::agreement_terms;
pub use keys::{read_membership_keys, read_operator_keys, read_session_keys};
use limits::host_limits;
use membership::peer_terms;
use policy::{class, policy};
use sessions::session_terms;
use sites::site_terms;
use windows::window_terms;
use zone::zone_server;

/// Names of the sections that may be given once. `select` may be repeated.
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
/// All errors found, in the order of their positions.
pub fn parse(text: &str, folder: &Path) -> Result<Config, Vec<Diagnostic>> {
    let data = forms::read(text).map_err(|diagnostic| vec![diagnostic])?;
    let mut checker = Checker::default();
    let forms: Vec<Form<'_>> = data.iter().filter_map(|datum| checker.form(datum.as_ref())).collect();
    for (i, form) in forms.iter().enumerate() {
        let repeated = form.name != "select" && forms[..i].iter().any(|f| f.name == form.name);
        if !SECTIONS.contains(&form.name.as_str()) && form.name != "select" {
            checker.error_at(
                form,
                format!("{} is not known; known: {}, select", form.name, SECTIONS.join(", ")),
            );
        } else if repeated {
            checker.error_at(form, format!("{} is given twice", form.name));
        }
    }
    let section = |name: &str| forms.iter().find(|f| f.name == name);
    let config = build(&mut checker, &section, &forms, folder);
    checker.diagnostics.sort();
    match config {
        Some(config) if checker.diagnostics.is_empty() => Ok(config),
        _ => {
            if checker.diagnostics.is_empty() {
                checker.diagnostics.push(Diagnostic {
                    line: 1,
                    column: 1,
                    message: "the file is empty".into(),
                });
            }
            Err(checker.diagnostics)
        }
    }
}

/// Reads the sections and builds the configuration; `None` if a required part is missing.
fn build<'a>(
    checker: &mut Checker,
    section: &dyn Fn(&str) -> Option<&'a Form<'a>>,
    forms: &[Form<'a>],
    folder: &Path,
) -> Option<Config> {
    let report_if_missing = |checker: &mut Checker, name: &str| {
        if section(name).is_none() {
            checker.diagnostics.push(Diagnostic {
                line: 1,
                column: 1,
                message: format!("({name} ...) is missing"),
            });
        }
    };
    for name in ["gateway", "kinds", "classes"] {
        report_if_missing(checker, name);
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
    let gateway_fields = checker.fields(gateway, 0, &known);
    let number = gateway_fields.integer(checker, "number", (0, 1 << 20), 0);
    let gateways = gateway_fields.integer(checker, "of", (1, 1 << 20), 1);
    if number >= gateways {
        checker.error_at(
            gateway,
            format!("gateway: number {number} must be under (of {gateways}): numbers count from 0"),
        );
    }
    let zone = gateway_fields.word(checker, "zone", "default");
    let mut names = Names { zones: vec![zone], ..Names::default() };
    let listen = gateway_fields.require(checker, "listen").cloned();
    let listen =
        listen.and_then(|f| checker.word(&f, "an address such as \"127.0.0.1:8080\"").map(|w| (f, w)));
    let listen = listen.and_then(|(f, w)| {
        let parsed = w.parse::<SocketAddr>().ok();
        if parsed.is_none() {
            checker.error_at(
                &f,
                format!("listen: expected an address and port such as \"127.0.0.1:8080\", found {w}"),
            );
        }
        parsed
    });
    let origin = gateway_fields.get("origin").cloned().and_then(|f| {
        let word = checker.word(&f, "the name of a zone")?;
        let name = violetward_dns::name::Name::parse(&word, &violetward_dns::name::Name::root());
        name.map_err(|e| checker.error_at(&f, format!("origin: {e}"))).ok()
    });
    let engines = gateway_fields
        .require(checker, "engines")
        .cloned()
        .and_then(|f| checker.word(&f, "the path of the engine list"));

    let zone_server = section("dns").and_then(|form| zone_server(checker, form, &origin));
    let peers = section("membership").and_then(|form| peer_terms(checker, form, folder));
    let kernel = section("kernel").and_then(|form| {
        let fields = checker.fields(form, 0, &["connection-file", "user", "rows"]);
        let file =
            fields.require(checker, "connection-file").cloned().and_then(|f| checker.word(&f, "a path"))?;
        let user = fields.word(checker, "user", "notebook");
        let max_rows = fields.integer(checker, "rows", (1, 1_000_000), 1000) as usize;
        Some(KernelConfig { connection_file: folder.join(file), user, max_rows })
    });
    let sessions = session_terms(checker, section("sessions"), folder);
    let limits = section("limits");
    let host = host_limits(checker, limits, section("engine-properties"));
    let (mut settings, drain_grace) = policy(checker, section("policy"));
    settings.own_id = PeerId(number);
    settings.gateways = gateways as u32;

    for datum in &kinds.args {
        let Some(form) = checker.form(*datum) else { continue };
        let Some(name) = unique_name(checker, &form, "kind", &names.kinds) else { continue };
        let fields = checker.fields(&form, 1, &["cores", "memory"]);
        let cores = fields
            .require(checker, "cores")
            .cloned()
            .and_then(|f| checker.number(&f, 0.1, 4096.0))
            .unwrap_or(1.0);
        let memory = fields.size(checker, "memory", 0);
        settings.kinds.push(Kind { cores, memory_mb: memory as f64 / f64::from(1 << 20) });
        names.kinds.push(name);
    }
    if settings.kinds.is_empty() {
        checker.error_at(kinds, "kinds: expected at least one (kind NAME (cores N) (memory SIZE))");
    }
    if let Some(tenants) = section("tenants") {
        for datum in &tenants.args {
            let Some(form) = checker.form(*datum) else { continue };
            let Some(name) = unique_name(checker, &form, "tenant", &names.tenants) else { continue };
            let fields = checker.fields(&form, 1, &["per-second"]);
            let rate = fields
                .require(checker, "per-second")
                .cloned()
                .and_then(|f| checker.number(&f, 0.0, 1e9))
                .unwrap_or(0.0);
            settings.tenants.push(Tenant { quota_per_s: rate });
            names.tenants.push(name);
        }
    }
    for datum in &classes.args {
        let Some(form) = checker.form(*datum) else { continue };
        let Some(name) = unique_name(checker, &form, "class", &names.classes) else { continue };
        let class = class(checker, &form, &mut names, &host, &settings);
        settings.classes.push(class);
        names.classes.push(name);
    }
    if settings.classes.is_empty() {
        checker.error_at(classes, "classes: expected at least one (class NAME ...)");
    }
    let mut agreement =
        section("agreement").and_then(|f| agreement_terms(checker, f, peers.as_ref(), &names, folder));
    let windows = section("windows").and_then(|f| window_terms(checker, f, agreement.as_mut(), folder));
    let custody =
        section("custody").and_then(|f| custody_terms::read(checker, f, peers.as_ref(), &names, folder));
    let sites = section("site-loss").and_then(|form| site_terms(checker, form, peers.as_ref()));
    let mut selection = Selection {
        selectors: Vec::new(),
        key_tag: gateway_fields.word(checker, "key-tag", "key="),
        group_tag: gateway_fields.word(checker, "group-tag", "group="),
        tenant_tag: gateway_fields.word(checker, "tenant-tag", "tenant="),
        repeat_tag: gateway_fields.word(checker, "repeat-tag", "repeat="),
    };
    for form in forms.iter().filter(|f| f.name == "select") {
        let Some(name) = checker.name(form) else { continue };
        let Some(class) = names.classes.iter().position(|n| *n == name) else {
            checker.error_at(
                form,
                format!("select: there is no class {name}; classes: {}", names.classes.join(", ")),
            );
            continue;
        };
        let fields = checker.fields(form, 1, &["source", "user", "tag", "first-word"]);
        let mut words_of =
            |name: &str| fields.get(name).cloned().map(|f| checker.words(&f)).unwrap_or_default();
        let (sources, users, tags) = (words_of("source"), words_of("user"), words_of("tag"));
        let first_words = words_of("first-word").iter().map(|w| w.to_lowercase()).collect();
        selection.selectors.push(Selector { class, sources, users, tags, first_words });
    }
    Some(Config {
        listen: listen?,
        engines: folder.join(engines?),
        origin,
        zone_server,
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

/// Reads the name of a form `(what NAME ...)`, which must not be among `before`.
fn unique_name(checker: &mut Checker, form: &Form<'_>, what: &str, before: &[String]) -> Option<String> {
    if form.name != what {
        checker.error_at(form, format!("expected ({what} NAME ...), found ({} ...)", form.name));
        return None;
    }
    let name = checker.name(form)?;
    if before.contains(&name) {
        checker.error_at(form, format!("{what} {name} is given twice"));
        return None;
    }
    Some(name)
}

/// Checks conditions that involve several sections.
pub fn cross_checks(config: &Config) -> Vec<String> {
    let mut found = Vec::new();
    if config.host.list_poll_interval * 2 > config.drain_grace {
        found.push(format!(
            "limits/list-every ({:?}) must be at most half of policy/drain-grace ({:?}): \
             a drain that is seen too late is not honoured in time",
            config.host.list_poll_interval, config.drain_grace
        ));
    }
    let classes = &config.settings.classes;
    let ordered = classes.iter().any(|class| class.in_order);
    if ordered && config.selection.key_tag.is_empty() {
        found.push("a class is in-order, but gateway/key-tag is empty: no statement could name a key".into());
    }
    if config.selection.selectors.is_empty() && classes.len() > 1 {
        found.push(
            "there are several classes and no (select ...): all statements would be of the first class"
                .into(),
        );
    }
    let keyed = classes.iter().any(|class| matches!(class.effect, Effect::Keyed { .. }));
    if keyed && config.host.repeat_property.is_empty() {
        found.push(
            "a class is keyed, but engine-properties/repeat is empty: engines could not recognize repeats"
                .into(),
        );
    }
    found
}

/// Reads and checks a configuration file.
///
/// # Errors
/// One line per error, with the file and the position.
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
