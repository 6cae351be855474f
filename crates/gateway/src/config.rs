//! The gateway's configuration: S-expressions, each mistake with its place, and checks against the rules.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetward::*;

use crate::custody_terms::{self, CustodyTerms};
use crate::forms::{self, Checker, Form, Mistake};
use crate::notebook::KernelConfig;

/// All that `violetward serve` needs to know.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Where statements are taken.
    pub listen: SocketAddr,
    /// The file that lists the engines.
    pub engines: PathBuf,
    /// The name of the zone, if that file is a zone's master file; else it holds S-expressions.
    pub origin: Option<violetward_dns::name::Name>,
    /// Where that zone is served and updated by DNS messages, and the keys of updates.
    pub zone_front: Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)>,
    /// A notebook kernel beside the statement API, if one is wanted.
    pub kernel: Option<KernelConfig>,
    /// The other gateways, where this one is to know of them.
    pub peers: Option<PeerTerms>,
    /// Settings on which the gateways agree, where they are to.
    pub agreement: Option<AgreementTerms>,
    /// Statements that outlive their gateway, where some are to.
    pub custody: Option<CustodyTerms>,
    /// How the host carries things out.
    pub host: HostLimits,
    /// Sessions that live on one engine.
    pub sessions: SessionTerms,
    /// How a statement's class and estimates are read.
    pub selection: Selection,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of classes, kinds, tenants and zones, in the order of their numbers.
    pub names: Names,
    /// Rule 3: nothing new to an engine later than this after it was told gone.
    pub drain_grace: Duration,
}

/// Membership among gateways; see `docs/membership.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerTerms {
    /// Where datagrams are taken.
    pub listen: SocketAddr,
    /// Where others reach that, if not there.
    pub advertise: Option<SocketAddr>,
    /// This gateway's name, the same after a restart.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Where members may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// Where to send what is for a member, in place of the address that it tells.
    pub via: std::collections::BTreeMap<String, SocketAddr>,
    /// The keys: the first signs, all are believed.
    pub keys: violetward_membership::Keys,
    /// The file that they came from; it is watched.
    pub key_file: Option<PathBuf>,
    /// Between two probes.
    pub period: Duration,
    /// Members that are known at once.
    pub most: usize,
    /// What all shares may add up to at most, and how much of an even share one widens by in a second.
    pub widest: f64,
    /// See `widest`.
    pub widen: f64,
}

/// Agreement on settings; see `docs/agreement.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct AgreementTerms {
    /// This gateway's name, as membership has it.
    pub name: String,
    /// The names of the gateways that vote.
    pub voters: Vec<String>,
    /// Where votes are kept.
    pub folder: PathBuf,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Parts of a million by which any clock may run too fast or too slow.
    pub drift: u64,
    /// The longest time from the last look at the lease to the end of what is sent on it.
    pub check: Duration,
    /// What every version has to allow: classes, and engines that they may go to.
    pub floor: (Vec<String>, Vec<String>),
    /// How long the first lease is waited for before clients are served without one.
    pub wait_at_start: Duration,
    /// Names and secrets of the keys that sign proposals.
    pub operators: Vec<(String, String)>,
}

impl AgreementTerms {
    /// A mark of all that gateways must have in common.
    pub fn mark(&self) -> u64 {
        let (mut classes, mut engines) = self.floor.clone();
        classes.sort();
        engines.sort();
        let common = (&self.voters, self.lease, self.drift, self.check, classes, engines);
        crate::list::hash(&format!("{common:?}"))
    }

    /// The bound *T* in microseconds.
    pub fn bound(&self) -> u64 {
        let terms = violetward_agreement::Terms {
            me: 0,
            voters: self.voters.len() as u16,
            votes: false,
            lease: micros(self.lease),
            drift: self.drift,
            check: micros(self.check),
            plant: violetward_agreement::Plant::None,
        };
        terms.bound()
    }
}

/// `(agreement (voters NAME ...) (folder PATH) (key NAME "secret") ...)`.
fn agreement_terms(
    c: &mut Checker,
    form: &Form<'_>,
    peers: Option<&PeerTerms>,
    names: &Names,
    folder: &Path,
) -> Option<AgreementTerms> {
    let known = ["voters", "folder", "lease", "drift", "check", "floor", "wait-at-start", "key-file"];
    let f = c.fields(form, 0, &known);
    let Some(peers) = peers else {
        c.at(form, "agreement needs (membership ...): what gateways say to each other goes that way");
        return None;
    };
    let voters = f.need(c, "voters").cloned().map(|v| (c.words(&v), v));
    if let Some((voters, form)) = &voters {
        let repeated = voters.iter().enumerate().any(|(i, v)| voters[..i].contains(v));
        if repeated || !(1..=9).contains(&voters.len()) {
            c.at(form, "voters: expected one to nine names, each once");
        }
    }
    let path = f.need(c, "folder").cloned().and_then(|v| c.word(&v, "a path"));
    let lease = f.span(c, "lease", Duration::from_secs(8));
    let check = f.span(c, "check", Duration::from_millis(100));
    let drift = f.whole(c, "drift", (0, 100_000), 1_000);
    if lease < Duration::from_millis(400) || check > lease / 4 {
        c.at(form, "agreement: expected lease >= \"400ms\" and check <= a quarter of it");
    }
    let wait_at_start = f.span(c, "wait-at-start", Duration::from_secs(2));
    let mut floor = (Vec::new(), Vec::new());
    if let Some(form) = f.get("floor").cloned() {
        let g = c.fields(&form, 0, &["classes", "engines"]);
        let (classes, engines) = (g.need(c, "classes").cloned(), g.need(c, "engines").cloned());
        floor.0 = classes.map(|v| c.words(&v)).unwrap_or_default();
        floor.1 = engines.map(|v| c.words(&v)).unwrap_or_default();
        for class in floor.0.iter().filter(|class| !names.classes.contains(class)) {
            c.at(&form, format!("floor: there is no class {class}"));
        }
    }
    let mut operators = Vec::new();
    if let Some(form) = f.need(c, "key-file").cloned() {
        if let Some(path) = c.word(&form, "a path") {
            let read = std::fs::read_to_string(folder.join(&path)).map_err(|e| e.to_string());
            match read.and_then(|text| read_operators(&text)) {
                Ok(keys) => operators = keys,
                Err(why) => c.at(&form, format!("key-file {path}: {why}")),
            }
        }
    }
    let (voters, name, folder) = (voters?.0, peers.name.clone(), folder.join(path?));
    Some(AgreementTerms { name, voters, folder, lease, drift, check, floor, wait_at_start, operators })
}

/// Reads a file of operators' keys: `(key NAME "secret")`, of sixteen octets or more.
///
/// # Errors
/// What is wrong.
pub fn read_operators(text: &str) -> Result<Vec<(String, String)>, String> {
    let keys = named_secrets(text)?;
    if keys.is_empty() || keys.iter().any(|k| k.1.len() < 16) {
        return Err("expected (key NAME \"secret\") with a secret of sixteen octets or more".into());
    }
    Ok(keys)
}

/// Reads a file of keys for datagrams: `(key NAME "secret")`, the first signs, all are believed.
///
/// # Errors
/// What is wrong, with its place.
pub fn read_ring(text: &str) -> Result<violetward_membership::Keys, String> {
    let keys = named_secrets(text)?;
    let key =
        |(name, secret): (String, String)| violetward_membership::Key { name, secret: secret.into_bytes() };
    violetward_membership::Keys::new(keys.into_iter().map(key).collect())
}

/// `(membership (listen ADDRESS) (name NAME) (site SITE) (seeds ADDRESS ...) (key NAME "secret") ...)`.
fn peer_terms(c: &mut Checker, form: &Form<'_>, folder: &Path) -> Option<PeerTerms> {
    use violetward_membership::wire::NAME;
    let several = ["key", "via"];
    let mut fields: Vec<Form<'_>> = Vec::new();
    for datum in &form.rest {
        let Some(field) = c.form(*datum) else { continue };
        let known = [
            "listen",
            "advertise",
            "name",
            "site",
            "seeds",
            "key",
            "key-file",
            "via",
            "period",
            "most",
            "widest",
            "widen",
        ];
        if !known.contains(&field.name.as_str()) {
            c.at(&field, format!("{} is not known in membership; known: {}", field.name, known.join(", ")));
        } else if !several.contains(&field.name.as_str()) && fields.iter().any(|f| f.name == field.name) {
            c.at(&field, format!("{} stands twice", field.name));
        }
        fields.push(field);
    }
    let get = |name: &str| fields.iter().find(|f| f.name == name).cloned();
    let what = "an address and port such as \"10.0.0.4:7946\"";
    let address = |c: &mut Checker, form: &Form<'_>, word: &str| -> Option<SocketAddr> {
        let parsed = word.parse().ok();
        if parsed.is_none() {
            c.at(form, format!("{}: expected {what}, found {word}", form.name));
        }
        parsed
    };
    let one = |c: &mut Checker, name: &str| {
        let form = get(name)?;
        let word = c.word(&form, what)?;
        address(c, &form, &word)
    };
    let (listen, advertise) = (one(c, "listen"), one(c, "advertise"));
    let name = |c: &mut Checker, field: &str, default: Option<&str>| {
        let word = match get(field) {
            Some(form) => c.word(&form, "a name").filter(|word| {
                let fits = (1..=NAME).contains(&word.len());
                if !fits {
                    c.at(&form, format!("{field}: expected 1 to {NAME} octets"));
                }
                fits
            }),
            None => default.map(str::to_owned),
        };
        if word.is_none() && get(field).is_none() {
            c.at(form, format!("membership needs ({field} ...)"));
        }
        word
    };
    let (own, site) = (name(c, "name", None), name(c, "site", Some("default")));
    let mut seeds = Vec::new();
    if let Some(form) = get("seeds") {
        for word in c.words(&form) {
            seeds.extend(address(c, &form, &word));
        }
    }
    let (mut via, mut keys) = (std::collections::BTreeMap::new(), Vec::new());
    for field in &fields {
        let words = if several.contains(&field.name.as_str()) { c.words(field) } else { continue };
        match (field.name.as_str(), words.as_slice()) {
            ("via", [name, to]) => via.extend(address(c, field, to).map(|to| (name.clone(), to))),
            ("key", [name, secret]) => keys
                .push(violetward_membership::Key { name: name.clone(), secret: secret.clone().into_bytes() }),
            _ => c.at(
                field,
                format!("expected (key NAME \"secret\") or (via NAME ADDRESS), found ({} ...)", field.name),
            ),
        }
    }
    let file = get("key-file").and_then(|form| Some((c.word(&form, "a path")?, form)));
    let key_file = file.as_ref().map(|(path, _)| folder.join(path));
    let ring = match &file {
        Some((path, form)) => {
            if !keys.is_empty() {
                c.at(form, "key-file and key: expected one of them");
            }
            let read = std::fs::read_to_string(folder.join(path))
                .map_err(|e| e.to_string())
                .and_then(|t| read_ring(&t));
            read.map_err(|why| c.at(form, format!("key-file {path}: {why}"))).ok()
        }
        None => violetward_membership::Keys::new(keys)
            .map_err(|why| c.at(form, format!("membership: {why}")))
            .ok(),
    };
    let period = get("period").and_then(|f| c.span(&f)).unwrap_or(Duration::from_millis(500));
    if period < Duration::from_millis(20) {
        c.at(form, "membership: period must be at least \"20ms\"");
    }
    let most = get("most").and_then(|f| c.whole(&f, 2, 100_000)).unwrap_or(4_096) as usize;
    let widest = get("widest").and_then(|f| c.number(&f, 1.0, 10.0)).unwrap_or(2.0);
    let widen = get("widen").and_then(|f| c.number(&f, 0.001, 10.0)).unwrap_or(0.1);
    if listen.is_none() && get("listen").is_none() {
        c.at(form, "membership needs (listen ADDRESS)");
    }
    let (listen, name, site, keys) = (listen?, own?, site?, ring?);
    if advertise.is_none() && listen.ip().is_unspecified() {
        c.at(
            form,
            "membership: (advertise ADDRESS) must tell where others reach a listener on all addresses",
        );
    }
    Some(PeerTerms { listen, advertise, name, site, seeds, via, keys, key_file, period, most, widest, widen })
}

/// Sessions that live on one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SessionTerms {
    /// Bounds.
    pub limits: violetward_session::table::Limits,
    /// Statements of open transactions that go before new work, for one engine at once; what ends a transaction always does.
    pub reserve: u32,
    /// Keys that sign what clients carry; without them sessions end with this process.
    pub keys: Option<violetward_session::token::Keys>,
    /// The file that the keys came from; it is watched.
    pub key_file: Option<PathBuf>,
}

/// Reads a file of keys: `(key NAME "secret")`, the first signs, all are believed.
///
/// # Errors
/// What is wrong, with its place.
pub fn read_keys(text: &str) -> Result<violetward_session::token::Keys, String> {
    let keys = named_secrets(text)?;
    let key = |(name, secret): (String, String)| violetward_session::token::Key {
        name,
        secret: secret.into_bytes(),
    };
    violetward_session::token::Keys::new(keys.into_iter().map(key).collect())
}

/// The forms `(key NAME "secret")` of a file.
fn named_secrets(text: &str) -> Result<Vec<(String, String)>, String> {
    let data = forms::read(text).map_err(|m| m.to_string())?;
    let mut c = Checker::default();
    let each = |datum: &lexpr::Datum| {
        let form = c.form(datum.as_ref()).filter(|f| f.name == "key")?;
        <[String; 2]>::try_from(c.words(&form)).ok().map(|[name, secret]| (name, secret))
    };
    data.iter().map(each).collect::<Option<_>>().ok_or_else(|| "expected (key NAME \"secret\")".into())
}

fn session_terms(c: &mut Checker, form: Option<&Form<'_>>, folder: &Path) -> SessionTerms {
    let empty = Form::made("sessions");
    let known = [
        "idle",
        "locks-idle",
        "absolute",
        "finish-within",
        "most",
        "most-a-user",
        "most-an-engine",
        "reserve",
        "key-file",
    ];
    let f = c.fields(form.unwrap_or(&empty), 0, &known);
    let usual = violetward_session::table::Limits::default();
    let limits = violetward_session::table::Limits {
        idle: f.span(c, "idle", usual.idle),
        locks_idle: f.span(c, "locks-idle", usual.locks_idle),
        absolute: f.span(c, "absolute", usual.absolute),
        finish_within: f.span(c, "finish-within", usual.finish_within),
        most: f.whole(c, "most", (0, 100_000_000), usual.most as u64) as usize,
        most_a_user: f.whole(c, "most-a-user", (0, 100_000_000), usual.most_a_user as u64) as usize,
        most_an_engine: f.whole(c, "most-an-engine", (0, 100_000_000), usual.most_an_engine as u64) as usize,
    };
    if limits.idle > limits.absolute || limits.locks_idle > limits.idle {
        c.at(&f.owner, "sessions: expected locks-idle <= idle <= absolute");
    }
    let file = f.get("key-file").cloned().and_then(|form| Some((c.word(&form, "a path")?, form)));
    let key_file = file.map(|(file, form)| (folder.join(file), form));
    let keys = key_file.as_ref().and_then(|(path, form)| {
        let read = std::fs::read_to_string(path).map_err(|e| e.to_string()).and_then(|t| read_keys(&t));
        read.map_err(|why| c.at(form, format!("key-file {}: {why}", path.display()))).ok()
    });
    let reserve = f.whole(c, "reserve", (0, 1_000_000), 4) as u32;
    SessionTerms { limits, reserve, keys, key_file: key_file.map(|k| k.0) }
}

/// Names behind the module's numbers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones, this gateway's first.
    pub zones: Vec<String>,
}

/// Bounds and spans of the host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostLimits {
    /// How often the list of engines is looked at.
    pub list_every: Duration,
    /// How long before the client's deadline an answer must be fixed.
    pub reply_margin: Duration,
    /// The longest that a poll is held.
    pub long_poll: Duration,
    /// A client that has not polled for so long is let go.
    pub abandon_after: Duration,
    /// How long the end of a statement can still be asked for.
    pub keep_ended: Duration,
    /// Bytes of rows held for one statement before its engine is no longer asked for more.
    pub buffer: usize,
    /// Bytes of a statement's text and of an engine's page, at most.
    pub statement_bytes: usize,
    /// See `statement_bytes`.
    pub page_bytes: usize,
    /// Statements open at once; further ones are refused.
    pub most_open: usize,
    /// Client connections at once; further ones are closed with 503 before anything is taken.
    pub most_connections: usize,
    /// A request must be whole within this span of its first byte.
    pub request_within: Duration,
    /// An idle client connection is closed after this span.
    pub idle_connection: Duration,
    /// A stream that an engine has begun and does not go on with is broken off after this span.
    pub stream_idle: Duration,
    /// How often an engine's load is asked for; zero leaves that to the module's probes.
    pub status_every: Duration,
    /// A probe fails after this span.
    pub probe_within: Duration,
    /// A connection to an engine fails after this span.
    pub connect_within: Duration,
    /// Longest stay after SIGTERM.
    pub drain_within: Duration,
    /// Session properties by which engines hear of memory, priority and the key of repeats; empty: not told.
    pub grant_property: String,
    /// See `grant_property`.
    pub priority_property: String,
    /// See `grant_property`.
    pub repeat_property: String,
}

/// How a statement's class, key, group and tenant are read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selection {
    /// The first that fits decides.
    pub selectors: Vec<Selector>,
    /// Prefixes of client tags that name the order key, the group of tables and the tenant.
    pub key_tag: String,
    /// See `key_tag`.
    pub group_tag: String,
    /// See `key_tag`.
    pub tenant_tag: String,
    /// Prefix of the client tag that marks a statement: a further try with the same mark is a repeat to the engines.
    pub repeat_tag: String,
}

/// Conditions that must all hold; an empty list holds always.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selector {
    /// The class chosen.
    pub class: usize,
    /// Any of these sources.
    pub sources: Vec<String>,
    /// Any of these users.
    pub users: Vec<String>,
    /// Any of these tags.
    pub tags: Vec<String>,
    /// Any of these first words.
    pub first_words: Vec<String>,
}

const SECTIONS: [&str; 13] = [
    "agreement",
    "custody",
    "gateway",
    "dns",
    "membership",
    "kernel",
    "sessions",
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

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
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
    settings.me = PeerId(number);
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
    let agreement = section("agreement").and_then(|f| agreement_terms(c, f, peers.as_ref(), &names, folder));
    let custody = section("custody").and_then(|f| custody_terms::read(c, f, peers.as_ref(), &names, folder));
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
        custody,
        sessions,
        host,
        selection,
        settings,
        names,
        drain_grace,
    })
}

/// `(dns (listen ADDRESS) (key NAME "secret") ...)`.
fn zone_front(
    c: &mut Checker,
    form: &Form<'_>,
    origin: &Option<violetward_dns::name::Name>,
) -> Option<(SocketAddr, Vec<violetward_dns::tsig::Key>)> {
    use violetward_dns::name::Name;
    if origin.is_none() {
        c.at(form, "dns: gateway/origin must name the zone that is served");
    }
    let mut listen = None;
    let mut keys = Vec::new();
    for datum in &form.rest {
        let Some(field) = c.form(*datum) else { continue };
        let words = c.words(&field);
        match (field.name.as_str(), words.as_slice()) {
            ("listen", [address]) => match address.parse() {
                Ok(address) => listen = Some(address),
                Err(_) => c.at(&field, "listen: expected an address and port such as \"127.0.0.1:5300\""),
            },
            ("key", [name, secret]) => match Name::parse(name, &Name::root()) {
                Ok(name) if secret.len() >= 16 => {
                    let secret = secret.clone().into_bytes();
                    keys.push(violetward_dns::tsig::Key { name, secret });
                }
                Ok(_) => c.at(&field, "key: the secret is under sixteen bytes"),
                Err(e) => c.at(&field, format!("key: {e}")),
            },
            _ => c.at(&field, "expected (listen ADDRESS) or (key NAME \"secret\")"),
        }
    }
    if listen.is_none() {
        c.at(form, "dns: (listen ADDRESS) is missing");
    }
    Some((listen?, keys))
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

fn host_limits(c: &mut Checker, limits: Option<&Form<'_>>, properties: Option<&Form<'_>>) -> HostLimits {
    let empty = Form::made("limits");
    let known = [
        "list-every",
        "reply-margin",
        "long-poll",
        "abandon-after",
        "keep-ended",
        "buffer",
        "statement",
        "page",
        "open",
        "connections",
        "request-within",
        "idle-connection",
        "stream-idle",
        "status-every",
        "probe-within",
        "connect-within",
        "drain-within",
    ];
    let f = c.fields(limits.unwrap_or(&empty), 0, &known);
    let empty = Form::made("engine-properties");
    let p = c.fields(properties.unwrap_or(&empty), 0, &["grant", "priority", "repeat"]);
    let ms = Duration::from_millis;
    let host = HostLimits {
        list_every: f.span(c, "list-every", ms(50)),
        reply_margin: f.span(c, "reply-margin", ms(50)),
        long_poll: f.span(c, "long-poll", ms(1000)),
        abandon_after: f.span(c, "abandon-after", ms(30_000)),
        keep_ended: f.span(c, "keep-ended", ms(10_000)),
        buffer: f.size(c, "buffer", 1 << 20) as usize,
        statement_bytes: f.size(c, "statement", 1 << 20) as usize,
        page_bytes: f.size(c, "page", 16 << 20) as usize,
        most_open: f.whole(c, "open", (1, 10_000_000), 20_000) as usize,
        most_connections: f.whole(c, "connections", (1, 10_000_000), 20_000) as usize,
        request_within: f.span(c, "request-within", ms(10_000)),
        idle_connection: f.span(c, "idle-connection", ms(120_000)),
        stream_idle: f.span(c, "stream-idle", ms(30_000)),
        status_every: f.span(c, "status-every", ms(250)),
        probe_within: f.span(c, "probe-within", ms(1000)),
        connect_within: f.span(c, "connect-within", ms(1000)),
        drain_within: f.span(c, "drain-within", ms(60_000)),
        grant_property: p.word(c, "grant", "query_max_memory"),
        priority_property: p.word(c, "priority", "query_priority"),
        repeat_property: p.word(c, "repeat", "query_repeat_key"),
    };
    if host.long_poll >= host.abandon_after {
        c.at(&f.owner, "limits: long-poll must be under abandon-after, or clients that wait would be let go");
    }
    host
}

fn policy(c: &mut Checker, form: Option<&Form<'_>>) -> (Settings, Duration) {
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
    let when = [("wait", WhenShort::LineUp), ("shrink", WhenShort::Cut), ("page", WhenShort::Overcommit)];
    let default = AttemptBudget { free: 5.0, per_request: 0.1, window: 5_000_000 };
    let settings = Settings {
        me: PeerId(0),
        zone: ZoneId(0),
        gateways: 1,
        classes: Vec::new(),
        kinds: Vec::new(),
        tenants: Vec::new(),
        over_share_worth: f.number(c, "over-share-worth", (0.0, 1.0), 0.1),
        grants: f.flag(c, "grants", true),
        priorities: f.flag(c, "priorities", true),
        grant_cap: f.number(c, "grant-cap", (0.01, 1.0), 0.4),
        when_short: f
            .get("when-short")
            .cloned()
            .and_then(|f| c.choice(&f, &when))
            .unwrap_or(WhenShort::LineUp),
        tells_cost: f.flag(c, "tells-cost", true),
        ask_within: None,
        cold_from: f.number(c, "cold-from", (0.01, 1.0), 0.3),
        cold_span: span(c, "cold-span", 15_000),
        fall_multiple: f.number(c, "fall-multiple", (1.0, 100.0), 4.0),
        fall_span: span(c, "fall-span", 1_500).max(1),
        key_rest: span(c, "key-rest", 2_000),
        budget: Some(budget.unwrap_or(default)),
        attempts_cap: f.whole(c, "attempts", (1, 10), 3) as u32,
        may_cancel: f.flag(c, "cancels", true),
        may_duplicate: false,
        may_probe: f.flag(c, "probes", true),
        peer_messages: false,
        retry_advice: Some(span(c, "retry-advice", 30_000)),
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

fn class(
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
    if in_order && settings.key_rest == 0 {
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
        aim: micros(aim),
        aim_stretch: f.number(c, "aim-stretch", (0.0, 100.0), 0.0),
        give_up: micros(give_up),
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
