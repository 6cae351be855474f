//! Settings of different deployments, parsed from the text of a configuration, and requests, parsed from
//! their fields: their effect on the answers to clients and on the commands to engines.

mod bed;

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::{json, Value};
use violetward::{Action, Decide, Event, Gateway, Load, Micros, Outcome, TenantId};
use violetward_platform::call::{self, Call};
use violetward_platform::config::{self, Config};
use violetward_platform::core::{
    Admission, AttemptId, ClientId, Completion, Core, CoreConfig, Effect, Launch, Reply,
};
use violetward_platform::link::Link;

const START_US: Micros = 1_700_000_000_000_000;
const CLIENT: ClientId = ClientId(1);
const IDEMPOTENCY_KEY_FIELD: (&str, &str) = ("once", "0123456789abcdef0123456789abcdef");

/// A configuration with the settings of the test bed after a change. It has two kinds, two zones and one
/// engine of each combination: engine `e-KZ` has kind K and zone Z.
fn configuration(change: impl FnOnce(&mut Value)) -> Result<Config, String> {
    let mut document: Value = serde_json::from_str(&bed::config("127.0.0.1:1", &[])).expect("valid JSON");
    let settings = &mut document["settings"];
    settings["MachineTypes"] = json!(["small", "large"]);
    settings["FamilyInfo"]["SizeCores"] = json!([8, 16]);
    settings["FamilyInfo"]["MemoryByKindMb"] = json!([16384.0, 32768.0]);
    settings["Zones"] = json!(["east", "west"]);
    change(settings);
    let engine = |kind: usize, zone: usize| {
        let (kinds, zones) = (["small", "large"], ["east", "west"]);
        json!({
            "id": format!("e-{kind}{zone}"),
            "addr": format!("10.0.{kind}.{zone}:4100"),
            "zone": zones[zone],
            "kind": kinds[kind],
            "cell": 0,
            "state": "ready",
            "weight": 1,
            "started_ms": 0,
        })
    };
    let servers = [engine(0, 0), engine(0, 1), engine(1, 0), engine(1, 1)];
    document["known"]["items"][0]["roster"]["servers"] = json!(servers);
    config::parse(&document.to_string())
}

fn parse_call(config: &Config, fields: &[(&str, &str)]) -> Result<Call, String> {
    call::parse(fields, b"select 1", &config.names, &config.settings.classes)
}

/// The required fields of a request of a class and `more`.
fn fields<'a>(class: &'a str, more: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
    let required = [("class", class), ("id", "9b1f03aa5c7e2d41"), ("wait", "1500"), ("cost", "20.0")];
    required.into_iter().chain(more.iter().copied()).collect()
}

/// A core with the engines of the configuration; the test calls it directly.
struct CoreDriver {
    config: Config,
    core: Core,
    now: Micros,
}

impl CoreDriver {
    /// A core with the real decision module.
    fn new(config: Config) -> CoreDriver {
        let gateway = Gateway::new(config.settings.clone(), 1);
        CoreDriver::with_module(config, Box::new(gateway))
    }

    fn with_module(config: Config, module: Box<dyn Decide>) -> CoreDriver {
        let core_config = CoreConfig {
            attempts_cap: config.settings.attempts_cap,
            open_cap: 1_000,
            body_bytes_cap: 1 << 20,
            recent_ids_max: 1 << 10,
            answer_margin: 15_000,
            client_delay: 310_000,
        };
        let mut core = Core::new(module, core_config, START_US);
        core.update_engines(START_US, &config.known.list(&config.names).expect("a valid list"), true);
        CoreDriver { config, core, now: START_US }
    }

    /// Submits a request with these fields, which must be accepted.
    fn submit(&mut self, seqid: i32, fields: &[(&str, &str)]) {
        let call = parse_call(&self.config, fields).expect("a valid request");
        assert_eq!(self.core.submit(self.now, CLIENT, seqid, call), Admission::Accepted);
    }

    /// Takes the pending effects.
    fn take_effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.core.next_effect()).collect()
    }

    /// Takes the pending effects and returns the launches among them.
    fn take_launches(&mut self) -> Vec<Launch> {
        let launch = |effect| match effect {
            Effect::Launch(launch) => Some(launch),
            _ => None,
        };
        self.take_effects().into_iter().filter_map(launch).collect()
    }

    fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.core.attempt_ended(self.now, attempt, Completion::new(outcome));
    }

    /// Advances the time until the request is answered. Attempts that are launched meanwhile are never
    /// written.
    fn wait_for_answer(&mut self) -> Reply {
        loop {
            for effect in self.take_effects() {
                if let Effect::Answer(_, _, reply) = effect {
                    return reply;
                }
            }
            self.now = self.core.next_wake().expect("a timer while a request is open");
            self.core.wake(self.now);
        }
    }
}

/// A decision module that records the tenants of requests.
struct TenantRecorder(Rc<RefCell<Vec<TenantId>>>);

impl Decide for TenantRecorder {
    fn handle(&mut self, _: Micros, event: Event, _: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            self.0.borrow_mut().push(request.tenant);
        }
    }
}

fn set_two_tenants(settings: &mut Value) {
    settings["Tenants"] = json!([
        {"Name": "muzeum", "QuotaPerS": 40.0, "Share": 0.8},
        {"Name": "urząd", "QuotaPerS": 1.0, "Share": 0.2},
    ]);
}

#[test]
fn a_request_reaches_the_module_under_its_own_tenant() {
    let config = configuration(set_two_tenants).expect("valid settings");
    let tenants = Rc::default();
    let mut driver = CoreDriver::with_module(config, Box::new(TenantRecorder(Rc::clone(&tenants))));
    driver.submit(1, &fields("look", &[("tenant", "urząd")]));
    let mut other_tenant = fields("look", &[("tenant", "muzeum")]);
    other_tenant[1] = ("id", "9b1f03aa5c7e2d42");
    driver.submit(2, &other_tenant);
    assert_eq!(*tenants.borrow(), [TenantId(1), TenantId(0)]);
}

#[test]
fn an_unknown_missing_or_repeated_tenant_is_an_error() {
    let config = configuration(set_two_tenants).expect("valid settings");
    let error = |more: &[(&str, &str)]| {
        parse_call(&config, &fields("look", more)).expect_err("a request without its tenant")
    };
    assert_eq!(error(&[("tenant", "Muzeum")]), "tenant: not known");
    assert_eq!(error(&[("tenant", "")]), "tenant: not known");
    assert_eq!(error(&[]), "tenant: missing");
    assert_eq!(error(&[("tenant", "muzeum"), ("tenant", "urząd")]), "tenant: given twice");
}

#[test]
fn without_tenants_in_the_settings_the_tenant_field_is_ignored() {
    let config = configuration(|_| ()).expect("valid settings");
    for more in [&[][..], &[("tenant", "anybody")]] {
        assert_eq!(parse_call(&config, &fields("look", more)).expect("a valid request").tenant, TenantId(0));
    }
}

/// A tenant within its share may use the whole capacity, one beyond it a quarter. At the same load of both
/// tenants, more requests of the one with the smaller share are refused.
#[test]
fn a_tenant_beyond_its_share_is_refused_before_others() {
    let mut driver = CoreDriver::new(configuration(set_two_tenants).expect("valid settings"));
    let mut refused = [0; 2];
    for number in 0..400 {
        driver.now += 5_000;
        let tenant = number % 2;
        let id = format!("{:016x}", number + 1);
        let name = ["muzeum", "urząd"][tenant];
        let fields = [("class", "report"), ("id", &id), ("wait", "1000"), ("cost", "2000"), ("tenant", name)];
        driver.submit(number as i32, &fields);
        for effect in driver.take_effects() {
            if let Effect::Answer(_, seqid, Reply::Refused(_)) = effect {
                refused[seqid as usize % 2] += 1;
            }
        }
    }
    assert!(refused[1] > refused[0], "{refused:?}");
}

/// The name of a class is sent to engines as a value in a list `name=value,name=value`.
#[test]
fn a_class_may_have_any_name_that_can_be_sent_to_an_engine() {
    let names = ["hasło", "two words", "a:b;c", "日報", "-", "class"];
    for name in names {
        let config = configuration(|s| s["Classes"][0]["Name"] = json!(name)).expect("valid settings");
        let mut driver = CoreDriver::new(config);
        driver.submit(1, &fields(name, &[]));
        let launch = driver.take_launches().pop().expect("an attempt");
        let mut out = Vec::new();
        Link::new().fetch(&launch, &driver.config.names.classes[launch.class], 1_000, &mut out);
        let text = String::from_utf8(out).expect("text");
        assert!(text.contains(&format!("sort={name},patience=1000,")), "{text}");
    }
    for name in ["a,b", "a=b", "a\r\nb", "a\0", ""] {
        let config = configuration(|s| s["Classes"][0]["Name"] = json!(name)).expect("valid settings");
        let error = parse_call(&config, &fields(name, &[])).expect_err("a name that can't be sent");
        assert_eq!(error, "class: its name can't be passed on to an engine");
        // Requests of other classes are still accepted.
        parse_call(&config, &fields("report", &[])).expect("a valid request");
    }
}

#[test]
fn requests_go_only_to_the_kinds_and_zones_that_their_class_allows() {
    let engine = |kind: usize, zone: usize| violetward_settings::engine_id(&format!("e-{kind}{zone}"));
    let cases = [
        (json!([1]), Value::Null, vec![engine(1, 0), engine(1, 1)]),
        (Value::Null, json!([1]), vec![engine(0, 1), engine(1, 1)]),
        (json!([1]), json!([0]), vec![engine(1, 0)]),
        (json!([]), Value::Null, vec![]),
        (json!([7]), Value::Null, vec![]),
    ];
    for (kinds, zones, allowed) in cases {
        let config = configuration(|s| {
            s["Classes"][0]["AllowedOn"] = kinds;
            s["Classes"][0]["ZonesAllowed"] = zones;
        });
        let mut driver = CoreDriver::new(config.expect("valid settings"));
        for seqid in 0..20 {
            let id = format!("{seqid:016x}");
            let fields = [("class", "look"), ("id", &*id), ("wait", "1500"), ("cost", "20")];
            driver.submit(seqid, &fields);
        }
        let launches = driver.take_launches();
        assert_eq!(launches.is_empty(), allowed.is_empty());
        assert!(launches.iter().all(|launch| allowed.contains(&launch.engine)), "{launches:?}");
        if allowed.is_empty() {
            assert_eq!(driver.core.open_requests(), 0, "all requests are refused at once");
        }
    }
}

#[test]
fn settings_with_one_class_and_no_optional_fields_are_valid() {
    let config = configuration(|s| {
        *s = json!({"NInstances": 1, "Contract": {}, "Limits": {"AttemptsCap": 3},
            "MachineTypes": ["small", "large"], "Zones": ["east", "west"],
            "Classes": [{"Name": "only", "AimUs": 700_000, "Effect": "repeatable"}]});
    });
    let config = config.expect("valid settings");
    let connections = config.connections.clone();
    assert_eq!((connections.streams, connections.idle_timeout, connections.open_cap), (1, 0, 0));
    assert_eq!((connections.connect_timeout, connections.probe_timeout), (250_000, 250_000));
    let mut driver = CoreDriver::new(config);
    // The class has no longest wait, so that the client's wait alone counts.
    driver.submit(1, &fields("only", &[]));
    let launch = driver.take_launches().pop().expect("an attempt");
    assert_eq!((launch.memory_mb, launch.priority), (0.0, 1));
    driver.core.attempt_written(driver.now, launch.attempt);
    driver.end_attempt(launch.attempt, Outcome::Ok);
    assert_eq!(driver.wait_for_answer(), Reply::Served(Vec::new()));
}

#[test]
fn without_classes_in_the_settings_every_request_is_an_error() {
    let config = configuration(|s| s["Classes"] = json!([])).expect("valid settings");
    assert_eq!(parse_call(&config, &fields("look", &[])).expect_err("no such class"), "class: not known");
}

#[test]
fn a_cap_of_one_attempt_allows_no_retry() {
    let mut driver =
        CoreDriver::new(configuration(|s| s["Limits"]["AttemptsCap"] = json!(1)).expect("valid settings"));
    driver.submit(1, &fields("look", &[]));
    let launch = driver.take_launches().pop().expect("an attempt");
    driver.end_attempt(launch.attempt, Outcome::ConnectFailed);
    assert_eq!(driver.wait_for_answer(), Reply::Refused(0));
    assert_eq!(driver.core.counts.attempts, 1);
}

#[test]
fn a_retry_delay_is_sent_only_if_allowed_and_never_exceeds_its_maximum() {
    for (allowed, max_us) in [(true, 900_000), (true, 0), (false, 900_000)] {
        let config = configuration(|s| {
            s["Limits"]["RetryAfter"] = json!(allowed);
            s["Limits"]["MaxRetryAfterUs"] = json!(max_us);
        });
        let mut driver = CoreDriver::new(config.expect("valid settings"));
        let mut longest = 0;
        for seqid in 0..200 {
            let id = format!("{:016x}", seqid + 1);
            driver.submit(seqid, &[("class", "look"), ("id", &id), ("wait", "1500"), ("cost", "400")]);
            for effect in driver.take_effects() {
                if let Effect::Answer(_, _, Reply::Refused(retry_after)) = effect {
                    longest = longest.max(retry_after);
                }
            }
        }
        assert_eq!(longest > 0, allowed && max_us > 0);
        assert!(longest <= max_us);
    }
}

#[test]
fn settings_for_peers_duplicates_and_lists_on_request_have_no_effect_on_the_core() {
    let config = configuration(|s| {
        s["Limits"]["PeerMessages"] = json!(true);
        s["Limits"]["MayDuplicate"] = json!(true);
        s["Discovery"] = json!("on_request");
        s["Contract"]["AskWithinUs"] = json!(1_000_000);
    });
    let mut driver = CoreDriver::new(config.expect("valid settings"));
    driver.submit(1, &fields("look", &[]));
    let launches = driver.take_launches();
    assert_eq!(launches.len(), 1, "{launches:?}");
    driver.core.attempt_written(driver.now, launches[0].attempt);
    driver.end_attempt(launches[0].attempt, Outcome::Ok);
    assert_eq!(driver.wait_for_answer(), Reply::Served(Vec::new()));
}

#[test]
fn without_grants_and_priorities_engines_are_sent_neither() {
    let config = configuration(|s| {
        s["FamilyInfo"]["GrantsCount"] = json!(false);
        s["FamilyInfo"]["LanesCount"] = json!(false);
    });
    let mut driver = CoreDriver::new(config.expect("valid settings"));
    driver.submit(1, &fields("look", &[("heap_mb", "96")]));
    let launch = driver.take_launches().pop().expect("an attempt");
    let mut out = Vec::new();
    Link::new().fetch(&launch, "look", 1_000, &mut out);
    let text = String::from_utf8(out).expect("text");
    assert!(text.contains("nice=1") && !text.contains("mb="), "{text}");
}

#[test]
fn without_probes_engines_are_never_probed() {
    for allowed in [true, false] {
        let config = configuration(|s| {
            s["Limits"]["Probes"] = json!(allowed);
            s["Report"]["How"] = json!("probe");
        });
        let mut driver = CoreDriver::new(config.expect("valid settings"));
        let mut probes = 0;
        for seqid in 0..100 {
            driver.now += 30_000;
            let id = format!("{:016x}", seqid + 1);
            driver.submit(seqid, &[("class", "look"), ("id", &id), ("wait", "900"), ("cost", "40")]);
            driver.core.wake(driver.now);
            for effect in driver.take_effects() {
                match effect {
                    Effect::Probe(engine) => {
                        probes += 1;
                        driver.core.probe_ended(driver.now, engine, true, Load::default());
                    }
                    Effect::Launch(launch) => driver.end_attempt(launch.attempt, Outcome::Error),
                    _ => {}
                }
            }
        }
        assert_eq!(probes > 0, allowed);
    }
}

/// Makes the class `look` unsafe to repeat.
fn set_unsafe_class(settings: &mut Value) {
    settings["Classes"][0]["Effect"] = json!("once");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_repeated_and_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Broken] {
        let mut driver = CoreDriver::new(configuration(set_unsafe_class).expect("valid settings"));
        driver.submit(1, &fields("look", &[]));
        let launch = driver.take_launches().pop().expect("an attempt");
        driver.core.attempt_written(driver.now, launch.attempt);
        driver.end_attempt(launch.attempt, outcome);
        assert_eq!(driver.wait_for_answer(), Reply::Failed, "{outcome:?}");
        assert_eq!(driver.core.counts.attempts, 1, "{outcome:?}");
    }
}

#[test]
fn an_unsafe_request_that_certainly_did_not_run_is_sent_again() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot] {
        let mut driver = CoreDriver::new(configuration(set_unsafe_class).expect("valid settings"));
        driver.submit(1, &fields("look", &[]));
        let first = driver.take_launches().pop().expect("an attempt");
        driver.end_attempt(first.attempt, outcome);
        let second = driver.take_launches();
        assert_eq!(second.len(), 1, "{outcome:?}");
        assert_eq!(second[0].attempt, AttemptId(first.attempt.0, 1));
    }
}

/// No connection is established before the deadline of the request. It was never sent, so that its client may
/// safely repeat it.
#[test]
fn an_unsafe_request_that_was_never_written_is_refused() {
    let mut driver = CoreDriver::new(configuration(set_unsafe_class).expect("valid settings"));
    driver.submit(1, &fields("look", &[]));
    assert_eq!(driver.wait_for_answer(), Reply::Refused(0));
    assert_eq!(driver.core.counts.overdue, 0);
}

#[test]
fn a_keyed_request_is_repeated_only_within_the_scope_of_its_key() {
    let config = configuration(|s| {
        s["Classes"][0]["Effect"] = json!("by_key");
        s["Classes"][0]["Group"] = json!("zone");
        s["Classes"][0]["WindowUs"] = json!(5_000_000);
    });
    let mut driver = CoreDriver::new(config.expect("valid settings"));
    driver.submit(1, &fields("look", &[IDEMPOTENCY_KEY_FIELD]));
    let first = driver.take_launches().pop().expect("an attempt");
    driver.core.attempt_written(driver.now, first.attempt);
    driver.end_attempt(first.attempt, Outcome::Broken);
    let second = driver.take_launches().pop().expect("another attempt");
    let zone = |engine| {
        (0..2).find(|z| (0..2).any(|k| violetward_settings::engine_id(&format!("e-{k}{z}")) == engine))
    };
    assert_eq!(zone(first.engine), zone(second.engine));
    // The request may have run, so that it fails and is not refused: if the client repeated it, an engine of
    // the other zone would run it again.
    driver.core.attempt_written(driver.now, second.attempt);
    driver.end_attempt(second.attempt, Outcome::Broken);
    assert_eq!(driver.wait_for_answer(), Reply::Failed);
}

#[test]
fn the_error_of_invalid_settings_is_a_single_line() {
    let error = |change: fn(&mut Value)| configuration(change).expect_err("invalid settings");
    assert_eq!(
        error(|s| s["Classes"][0]["Effect"] = json!("twice")),
        "settings: Effect: \"twice\" is not known"
    );
    for change in [
        |s: &mut Value| s["Classes"][0]["AimUs"] = json!("soon"),
        |s: &mut Value| s["Limits"]["AttemptsCap"] = json!(-1),
        |s: &mut Value| s["Limits"] = Value::Null,
        |s: &mut Value| s["NInstances"] = json!(4_294_967_296_u64),
        |s: &mut Value| s["Classes"][0]["AllowedOn"] = json!(["small"]),
    ] {
        let error = error(change);
        assert!(!error.is_empty() && !error.contains('\n'), "{error}");
    }
}

/// A running gateway applies only the resolver's address of a new configuration; other changes need a restart
/// and are reported.
#[test]
fn changes_of_the_configuration_other_than_the_resolver_are_reported() {
    let running = configuration(|_| ()).expect("valid settings");
    let changes_after = |change: fn(&mut Value)| {
        let reloaded = configuration(change).expect("valid settings");
        running.changes_pending_restart(&reloaded)
    };
    assert!(changes_after(|_| ()).is_empty());
    assert_eq!(changes_after(|s| s["Classes"][2]["Name"] = json!("renamed")), ["settings"]);
    assert_eq!(changes_after(|s| drop(s["Classes"].as_array_mut().expect("classes").pop())), ["settings"]);
    assert_eq!(changes_after(set_two_tenants), ["settings"]);
    assert_eq!(changes_after(|s| s["Limits"]["ConnIdleUs"] = json!(1)), ["settings"]);
    let text = bed::config("127.0.0.1:2", &[]);
    let parse = |text: &str| config::parse(text).expect("a valid configuration");
    assert!(parse(&text).changes_pending_restart(&parse(&bed::config("127.0.0.1:3", &[]))).is_empty());
    let less_memory = text.replace("\"memory_mb\":48", "\"memory_mb\":32");
    assert_eq!(parse(&text).changes_pending_restart(&parse(&less_memory)), ["limits"]);
}
