//! Parsing of the resolver's answers, of the list in the configuration and of the configuration itself:
//! invalid input is rejected.

mod bed;

use std::net::UdpSocket;
use std::time::Duration;

use violetward::{KindId, Listed as State, ZoneId};
use violetward_platform::config;
use violetward_platform::list;
use violetward_settings::Names;
use violetward_standin::platform::{ListFault, Listed, PlatformResolver};

fn names() -> Names {
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect();
    Names { kinds: names(&["old", "std"]), zones: names(&["west", "east"]), ..Names::default() }
}

/// Queries a resolver and returns the bytes of its answer.
fn query(resolver: &PlatformResolver, id: u16) -> Vec<u8> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    socket.send_to(&list::query(id), resolver.address).unwrap();
    let mut bytes = vec![0; 9_000];
    let size = socket.recv(&mut bytes).unwrap();
    bytes.truncate(size);
    bytes
}

fn engines() -> Vec<Listed> {
    let engine = |n: u16| Listed {
        id: format!("s-{n:08x}"),
        address: format!("10.1.0.{n}:4100").parse().unwrap(),
        draining: n == 2,
        started_ms: 0,
    };
    (1..=9).map(engine).collect()
}

#[test]
fn a_valid_answer_is_converted_to_the_modules_types() {
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver.tell(41, engines());
    let list = list::parse_answer(&query(&resolver, 7), 7, &names()).unwrap();
    assert_eq!((list.number, list.engines.len()), (41, 9));
    let engine = &list.engines["s-00000001"];
    assert_eq!(engine.address, "10.1.0.1:4100".parse().unwrap());
    assert_eq!((engine.entry.kind, engine.entry.zone, engine.entry.weight), (KindId(1), ZoneId(1), 1.0));
    assert_eq!(engine.entry.listed, State::Up);
    assert_eq!(list.engines["s-00000002"].entry.listed, State::Draining);
}

#[test]
fn an_invalid_or_truncated_answer_is_rejected() {
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver.tell(41, engines());
    let faults = [
        ListFault::OtherId,
        ListFault::Failure,
        ListFault::Truncated,
        ListFault::Short,
        ListFault::Empty,
        ListFault::NoAddresses,
    ];
    for fault in faults {
        resolver.order(fault);
        let bytes = query(&resolver, 7);
        assert!(list::parse_answer(&bytes, 7, &names()).is_err(), "{fault:?}");
    }
    let valid = query(&resolver, 7);
    assert!(list::parse_answer(&valid, 7, &names()).is_ok());
    assert!(list::parse_answer(&list::query(7), 7, &names()).is_err(), "a query instead of an answer");
    let other_kinds = Names { kinds: vec!["old".into()], ..names() };
    assert!(list::parse_answer(&valid, 7, &other_kinds).is_err(), "an unknown kind");
    for length in 0..valid.len() {
        assert!(list::parse_answer(&valid[..length], 7, &names()).is_err(), "truncated to {length} bytes");
    }
}

#[test]
fn the_roster_events_of_the_configuration_result_in_a_list() {
    let server = |id: &str, state: &str, more: &str| {
        format!(
            r#"{{"id":"{id}","addr":"10.1.0.9:4100","zone":"east","kind":"std","cell":2,
            "state":"{state}"{more}}}"#
        )
    };
    let text = format!(
        r#"{{"no":43,"items":[{{"no":41,"roster":{{"version":7,"full":true,"servers":[{},{}]}}}},
        {{"no":42,"roster":{{"version":8,"full":false,"servers":[{},{}]}}}}]}}"#,
        server("a", "ready", ""),
        server("b", "ready", ""),
        server("a", "gone", ""),
        server("c", "draining", r#","weight":4,"started_ms":1700000000000"#)
    );
    let known: list::Known = serde_json::from_str(&text).unwrap();
    let list = known.list(&names()).unwrap();
    assert_eq!(
        (list.number, list.engines.keys().map(String::as_str).collect::<Vec<_>>()),
        (43, vec!["b", "c"])
    );
    let engine = &list.engines["c"].entry;
    assert_eq!((engine.came_up, engine.weight, engine.cell.0), (1_700_000_000_000_000, 4.0, 2));
    assert_eq!(engine.listed, State::Draining);
}

#[test]
fn the_error_of_an_invalid_configuration_is_a_single_line() {
    let valid = bed::config("127.0.0.1:53", &[]);
    assert!(config::parse(&valid).is_ok());
    let invalid = [
        valid.replace("127.0.0.1:53", "nowhere"),
        valid.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
        valid.replace("\"sockets\":256", "\"sockets\":3"),
        valid.replace("by_key", "by_luck"),
        valid[..valid.len() / 2].to_owned(),
        String::new(),
    ];
    for text in invalid {
        let error = config::parse(&text).expect_err("an invalid configuration");
        assert!(!error.is_empty() && !error.contains('\n'), "{error}");
    }
}
