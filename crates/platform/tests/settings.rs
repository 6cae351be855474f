//! Settings of many deployments, read from the text of a configuration, and requests read from their fields: what the
//! core then does for a client and asks of the engines.

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

const START: Micros = 1_700_000_000_000_000;
const CLIENT: ClientId = ClientId(1);
const ONCE: (&str, &str) = ("once", "0123456789abcdef0123456789abcdef");

/// A configuration with the tests' settings after a change, and the names of two kinds and two zones with one engine of
/// each pair: engine `e-KZ` has the kind K and the zone Z.
fn configuration(change: impl FnOnce(&mut Value)) -> Result<Config, String> {
    let mut whole: Value = serde_json::from_str(&bed::config("127.0.0.1:1", &[])).expect("good JSON");
    let settings = &mut whole["settings"];
    settings["MachineTypes"] = json!(["small", "large"]);
    settings["FamilyInfo"]["SizeCores"] = json!([8, 16]);
    settings["FamilyInfo"]["MemoryByKindMb"] = json!([16384.0, 32768.0]);
    settings["Zones"] = json!(["east", "west"]);
    change(settings);
    let engine = |kind: usize, zone: usize| {
        let (kinds, zones) = (["small", "large"], ["east", "west"]);
        json!({"id": format!("e-{kind}{zone}"), "addr": format!("10.0.{kind}.{zone}:4100"), "zone": zones[zone],
            "kind": kinds[kind], "cell": 0, "state": "ready", "weight": 1, "started_ms": 0})
    };
    let servers = [engine(0, 0), engine(0, 1), engine(1, 0), engine(1, 1)];
    whole["known"]["items"][0]["roster"]["servers"] = json!(servers);
    config::parse(&whole.to_string())
}

fn read(config: &Config, fields: &[(&str, &str)]) -> Result<Call, String> {
    call::parse(fields, b"select 1", &config.names, &config.settings.classes)
}

/// Fields of a request of a class, with further ones.
fn fields<'a>(class: &'a str, more: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
    let usual = [("class", class), ("id", "9b1f03aa5c7e2d41"), ("wait", "1500"), ("cost", "20.0")];
    usual.into_iter().chain(more.iter().copied()).collect()
}

/// A core with the real module, or another one, and the engines of the configuration.
struct Bench {
    config: Config,
    core: Core,
    now: Micros,
}

impl Bench {
    fn new(config: Config) -> Bench {
        let gateway = Gateway::new(config.settings.clone(), 1);
        Bench::with(config, Box::new(gateway))
    }

    fn with(config: Config, module: Box<dyn Decide>) -> Bench {
        let terms = CoreConfig {
            attempts_cap: config.settings.attempts_cap,
            open_cap: 1_000,
            body_bytes_cap: 1 << 20,
            answer_margin: 15_000,
            client_delay: 310_000,
        };
        let mut core = Core::new(module, terms, START);
        core.update_engines(START, &config.known.list(&config.names).expect("a good list"), true);
        Bench { config, core, now: START }
    }

    /// Takes a request with these fields under a number.
    fn ask(&mut self, seqid: i32, fields: &[(&str, &str)]) {
        let call = read(&self.config, fields).expect("a good request");
        assert_eq!(self.core.submit(self.now, CLIENT, seqid, call), Admission::Accepted);
    }

    fn effects(&mut self) -> Vec<Effect> {
        std::iter::from_fn(|| self.core.next_effect()).collect()
    }

    fn launches(&mut self) -> Vec<Launch> {
        let launch = |effect| match effect {
            Effect::Launch(launch) => Some(launch),
            _ => None,
        };
        self.effects().into_iter().filter_map(launch).collect()
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.core.attempt_ended(self.now, attempt, Completion::new(outcome));
    }

    /// Lets time pass until the request has its answer; whatever is launched meanwhile is never written.
    fn answer(&mut self) -> Reply {
        loop {
            for effect in self.effects() {
                if let Effect::Answer(_, _, verdict) = effect {
                    return verdict;
                }
            }
            self.now = self.core.next_wake().expect("a timer while a request is open");
            self.core.wake(self.now);
        }
    }
}

/// Notes the tenants of requests.
struct Watcher(Rc<RefCell<Vec<TenantId>>>);

impl Decide for Watcher {
    fn handle(&mut self, _: Micros, event: Event, _: &mut Vec<Action>) {
        if let Event::Request(request) = event {
            self.0.borrow_mut().push(request.tenant);
        }
    }
}

fn with_tenants(settings: &mut Value) {
    settings["Tenants"] = json!([
        {"Name": "muzeum", "QuotaPerS": 40.0, "Share": 0.8}, {"Name": "urząd", "QuotaPerS": 1.0, "Share": 0.2}]);
}

#[test]
fn a_request_reaches_the_module_under_its_own_tenant() {
    let config = configuration(with_tenants).expect("good settings");
    let seen = Rc::default();
    let mut bench = Bench::with(config, Box::new(Watcher(Rc::clone(&seen))));
    bench.ask(1, &fields("look", &[("tenant", "urząd")]));
    let mut other = fields("look", &[("tenant", "muzeum")]);
    other[1].1 = "9b1f03aa5c7e2d42";
    bench.ask(2, &other);
    assert_eq!(*seen.borrow(), [TenantId(1), TenantId(0)]);
}

#[test]
fn a_tenant_that_the_settings_do_not_name_is_an_error() {
    let config = configuration(with_tenants).expect("good settings");
    let refused = |more: &[(&str, &str)]| read(&config, &fields("look", more)).expect_err("no such tenant");
    assert_eq!(refused(&[("tenant", "Muzeum")]), "tenant: not known");
    assert_eq!(refused(&[("tenant", "")]), "tenant: not known");
    assert_eq!(refused(&[]), "tenant: missing");
    assert_eq!(refused(&[("tenant", "muzeum"), ("tenant", "urząd")]), "tenant: given twice");
}

#[test]
fn without_tenants_in_the_settings_the_field_is_not_looked_at() {
    let config = configuration(|_| ()).expect("good settings");
    for more in [&[][..], &[("tenant", "anybody")]] {
        assert_eq!(read(&config, &fields("look", more)).expect("a good request").tenant, TenantId(0));
    }
}

/// A tenant within its share finds the whole room, one beyond it a quarter: with both at the same load, the one with the
/// small share is turned away more.
#[test]
fn a_tenant_beyond_its_share_is_turned_away_before_others() {
    let mut bench = Bench::new(configuration(with_tenants).expect("good settings"));
    let mut refused = [0; 2];
    for turn in 0..400 {
        bench.now += 5_000;
        let tenant = turn % 2;
        let id = format!("{:016x}", turn + 1);
        let name = ["muzeum", "urząd"][tenant];
        let fields = [("class", "report"), ("id", &id), ("wait", "1000"), ("cost", "2000"), ("tenant", name)];
        bench.ask(turn as i32, &fields);
        for effect in bench.effects() {
            if let Effect::Answer(_, seqid, Reply::Refused(_)) = effect {
                refused[seqid as usize % 2] += 1;
            }
        }
    }
    assert!(refused[1] > refused[0], "{refused:?}");
}

/// The class is a value in a list `name=value,name=value` on the way to an engine.
#[test]
fn a_class_has_any_name_that_can_be_passed_on_to_an_engine() {
    let names = ["hasło", "two words", "a:b;c", "日報", "-", "class"];
    for name in names {
        let config = configuration(|s| s["Classes"][0]["Name"] = json!(name)).expect("good settings");
        let mut bench = Bench::new(config);
        bench.ask(1, &fields(name, &[]));
        let launch = bench.launches().pop().expect("an attempt");
        let mut out = Vec::new();
        Link::new().fetch(&launch, &bench.config.names.classes[launch.class], 1_000, &mut out);
        let text = String::from_utf8(out).expect("text");
        assert!(text.contains(&format!("sort={name},patience=1000,")), "{text}");
    }
    for name in ["a,b", "a=b", "a\r\nb", "a\0", ""] {
        let config = configuration(|s| s["Classes"][0]["Name"] = json!(name)).expect("good settings");
        let refused = read(&config, &fields(name, &[])).expect_err("a name that can't be passed on");
        assert_eq!(refused, "class: its name can't be passed on to an engine");
        // The other classes are served as ever.
        read(&config, &fields("report", &[])).expect("a good request");
    }
}

#[test]
fn classes_go_only_to_the_kinds_and_zones_that_are_open_to_them() {
    let engine = |kind: usize, zone: usize| violetward_settings::engine_id(&format!("e-{kind}{zone}"));
    let cases = [
        (json!([1]), Value::Null, vec![engine(1, 0), engine(1, 1)]),
        (Value::Null, json!([1]), vec![engine(0, 1), engine(1, 1)]),
        (json!([1]), json!([0]), vec![engine(1, 0)]),
        (json!([]), Value::Null, vec![]),
        (json!([7]), Value::Null, vec![]),
    ];
    for (kinds, zones, open) in cases {
        let config = configuration(|s| {
            s["Classes"][0]["AllowedOn"] = kinds;
            s["Classes"][0]["ZonesAllowed"] = zones;
        });
        let mut bench = Bench::new(config.expect("good settings"));
        for seqid in 0..20 {
            let id = format!("{seqid:016x}");
            let fields = [("class", "look"), ("id", &*id), ("wait", "1500"), ("cost", "20")];
            bench.ask(seqid, &fields);
        }
        let launches = bench.launches();
        assert_eq!(launches.is_empty(), open.is_empty());
        assert!(launches.iter().all(|l| open.contains(&l.engine)), "{launches:?}");
        if open.is_empty() {
            assert_eq!(bench.core.open_requests(), 0, "refused at once");
        }
    }
}

#[test]
fn one_class_without_a_name_for_anything_else_is_enough() {
    let config = configuration(|s| {
        *s = json!({"NInstances": 1, "Contract": {}, "Limits": {"AttemptsCap": 3},
            "MachineTypes": ["small", "large"], "Zones": ["east", "west"],
            "Classes": [{"Name": "only", "AimUs": 700_000, "Effect": "repeatable"}]});
    });
    let config = config.expect("good settings");
    let connections = config.connections.clone();
    assert_eq!((connections.streams, connections.idle_timeout, connections.open_cap), (1, 0, 0));
    assert_eq!((connections.connect_timeout, connections.probe_timeout), (250_000, 250_000));
    let mut bench = Bench::new(config);
    // No longest wait is told: the client's own counts.
    bench.ask(1, &fields("only", &[]));
    let launch = bench.launches().pop().expect("an attempt");
    assert_eq!((launch.memory_mb, launch.priority), (0.0, 1));
    bench.core.attempt_written(bench.now, launch.attempt);
    bench.end(launch.attempt, Outcome::Ok);
    assert_eq!(bench.answer(), Reply::Served(Vec::new()));
}

#[test]
fn settings_without_classes_turn_every_request_away() {
    let config = configuration(|s| s["Classes"] = json!([])).expect("good settings");
    assert_eq!(read(&config, &fields("look", &[])).expect_err("no such class"), "class: not known");
}

#[test]
fn with_one_attempt_there_is_no_second_one() {
    let mut bench =
        Bench::new(configuration(|s| s["Limits"]["AttemptsCap"] = json!(1)).expect("good settings"));
    bench.ask(1, &fields("look", &[]));
    let launch = bench.launches().pop().expect("an attempt");
    bench.end(launch.attempt, Outcome::ConnectFailed);
    assert_eq!(bench.answer(), Reply::Refused(0));
    assert_eq!(bench.core.counts.attempts, 1);
}

#[test]
fn advice_to_stay_away_is_given_only_where_it_is_allowed_and_no_longer_than_heeded() {
    for (allowed, most) in [(true, 900_000), (true, 0), (false, 900_000)] {
        let config = configuration(|s| {
            s["Limits"]["RetryAfter"] = json!(allowed);
            s["Limits"]["MaxRetryAfterUs"] = json!(most);
        });
        let mut bench = Bench::new(config.expect("good settings"));
        let mut longest = 0;
        for seqid in 0..200 {
            let id = format!("{:016x}", seqid + 1);
            bench.ask(seqid, &[("class", "look"), ("id", &id), ("wait", "1500"), ("cost", "400")]);
            for effect in bench.effects() {
                if let Effect::Answer(_, _, Reply::Refused(after)) = effect {
                    longest = longest.max(after);
                }
            }
        }
        assert_eq!(longest > 0, allowed && most > 0);
        assert!(longest <= most);
    }
}

#[test]
fn peers_second_copies_and_on_request_lists_ask_nothing_of_the_sockets() {
    let config = configuration(|s| {
        s["Limits"]["PeerMessages"] = json!(true);
        s["Limits"]["MayDuplicate"] = json!(true);
        s["Discovery"] = json!("on_request");
        s["Contract"]["AskWithinUs"] = json!(1_000_000);
    });
    let mut bench = Bench::new(config.expect("good settings"));
    bench.ask(1, &fields("look", &[]));
    let launches = bench.launches();
    assert_eq!(launches.len(), 1, "{launches:?}");
    bench.core.attempt_written(bench.now, launches[0].attempt);
    bench.end(launches[0].attempt, Outcome::Ok);
    assert_eq!(bench.answer(), Reply::Served(Vec::new()));
}

#[test]
fn without_grants_and_priorities_engines_are_told_neither() {
    let config = configuration(|s| {
        s["FamilyInfo"]["GrantsCount"] = json!(false);
        s["FamilyInfo"]["LanesCount"] = json!(false);
    });
    let mut bench = Bench::new(config.expect("good settings"));
    bench.ask(1, &fields("look", &[("heap_mb", "96")]));
    let launch = bench.launches().pop().expect("an attempt");
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
        let mut bench = Bench::new(config.expect("good settings"));
        let mut probes = 0;
        for seqid in 0..100 {
            bench.now += 30_000;
            let id = format!("{:016x}", seqid + 1);
            bench.ask(seqid, &[("class", "look"), ("id", &id), ("wait", "900"), ("cost", "40")]);
            bench.core.wake(bench.now);
            for effect in bench.effects() {
                match effect {
                    Effect::Probe(engine) => {
                        probes += 1;
                        bench.core.probe_ended(bench.now, engine, true, Load::default());
                    }
                    Effect::Launch(launch) => bench.end(launch.attempt, Outcome::Error),
                    _ => {}
                }
            }
        }
        assert_eq!(probes > 0, allowed);
    }
}

fn unsafe_class(settings: &mut Value) {
    settings["Classes"][0]["Effect"] = json!("once");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_repeated_and_not_refused() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Broken] {
        let mut bench = Bench::new(configuration(unsafe_class).expect("good settings"));
        bench.ask(1, &fields("look", &[]));
        let launch = bench.launches().pop().expect("an attempt");
        bench.core.attempt_written(bench.now, launch.attempt);
        bench.end(launch.attempt, outcome);
        assert_eq!(bench.answer(), Reply::Failed, "{outcome:?}");
        assert_eq!(bench.core.counts.attempts, 1, "{outcome:?}");
    }
}

#[test]
fn an_unsafe_request_that_surely_never_ran_is_sent_again() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot] {
        let mut bench = Bench::new(configuration(unsafe_class).expect("good settings"));
        bench.ask(1, &fields("look", &[]));
        let first = bench.launches().pop().expect("an attempt");
        bench.end(first.attempt, outcome);
        let second = bench.launches();
        assert_eq!(second.len(), 1, "{outcome:?}");
        assert_eq!(second[0].attempt, AttemptId(first.attempt.0, 1));
    }
}

/// No connection comes up until its time is over: it was never sent, and a further try by its client is harmless.
#[test]
fn an_unsafe_request_that_was_never_written_is_refused() {
    let mut bench = Bench::new(configuration(unsafe_class).expect("good settings"));
    bench.ask(1, &fields("look", &[]));
    assert_eq!(bench.answer(), Reply::Refused(0));
    assert_eq!(bench.core.counts.overdue, 0);
}

#[test]
fn a_keyed_request_is_repeated_only_where_its_key_is_known() {
    let config = configuration(|s| {
        s["Classes"][0]["Effect"] = json!("by_key");
        s["Classes"][0]["Group"] = json!("zone");
        s["Classes"][0]["WindowUs"] = json!(5_000_000);
    });
    let mut bench = Bench::new(config.expect("good settings"));
    bench.ask(1, &fields("look", &[ONCE]));
    let first = bench.launches().pop().expect("an attempt");
    bench.core.attempt_written(bench.now, first.attempt);
    bench.end(first.attempt, Outcome::Broken);
    let second = bench.launches().pop().expect("another attempt");
    let zone = |engine| {
        (0..2).find(|z| (0..2).any(|k| violetward_settings::engine_id(&format!("e-{k}{z}")) == engine))
    };
    assert_eq!(zone(first.engine), zone(second.engine));
    // What may have run is not refused: an engine of the other zone would run the client's next try again.
    bench.core.attempt_written(bench.now, second.attempt);
    bench.end(second.attempt, Outcome::Broken);
    let last = bench.answer();
    assert_eq!(last, Reply::Failed);
}

#[test]
fn settings_that_can_not_be_used_are_told_in_one_line() {
    let told = |change: fn(&mut Value)| configuration(change).expect_err("settings that can't be used");
    assert_eq!(
        told(|s| s["Classes"][0]["Effect"] = json!("twice")),
        "settings: Effect: \"twice\" is not known"
    );
    for change in [
        |s: &mut Value| s["Classes"][0]["AimUs"] = json!("soon"),
        |s: &mut Value| s["Limits"]["AttemptsCap"] = json!(-1),
        |s: &mut Value| s["Limits"] = Value::Null,
        |s: &mut Value| s["NInstances"] = json!(4_294_967_296_u64),
        |s: &mut Value| s["Classes"][0]["AllowedOn"] = json!(["small"]),
    ] {
        let why = told(change);
        assert!(!why.is_empty() && !why.contains('\n'), "{why}");
    }
}

/// A running gateway follows a new configuration to its resolver alone: what else is new in it has to be told.
#[test]
fn what_a_new_configuration_changes_beside_its_resolver_is_named() {
    let running = configuration(|_| ()).expect("good settings");
    let differs = |change: fn(&mut Value)| {
        let read = configuration(change).expect("good settings");
        running.changes_pending_restart(&read)
    };
    assert!(differs(|_| ()).is_empty());
    assert_eq!(differs(|s| s["Classes"][2]["Name"] = json!("renamed")), ["settings"]);
    assert_eq!(differs(|s| drop(s["Classes"].as_array_mut().expect("classes").pop())), ["settings"]);
    assert_eq!(differs(with_tenants), ["settings"]);
    assert_eq!(differs(|s| s["Limits"]["ConnIdleUs"] = json!(1)), ["settings"]);
    let text = bed::config("127.0.0.1:2", &[]);
    let parse = |text: &str| config::parse(text).expect("a good configuration");
    assert!(parse(&text).changes_pending_restart(&parse(&bed::config("127.0.0.1:3", &[]))).is_empty());
    let small = text.replace("\"memory_mb\":48", "\"memory_mb\":32");
    assert_eq!(parse(&text).changes_pending_restart(&parse(&small)), ["limits"]);
}
