//! The resolver's answers: each that is not whole and good is told from a good one.

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

fn ask(resolver: &PlatformResolver, id: u16) -> Vec<u8> {
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
fn a_good_answer_is_read_in_the_modules_units() {
    let resolver = PlatformResolver::start("east", "std").unwrap();
    resolver.tell(41, engines());
    let list = list::parse_answer(&ask(&resolver, 7), 7, &names()).unwrap();
    assert_eq!((list.number, list.engines.len()), (41, 9));
    let engine = &list.engines["s-00000001"];
    assert_eq!(engine.address, "10.1.0.1:4100".parse().unwrap());
    assert_eq!((engine.entry.kind, engine.entry.zone, engine.entry.weight), (KindId(1), ZoneId(1), 1.0));
    assert_eq!(engine.entry.listed, State::Up);
    assert_eq!(list.engines["s-00000002"].entry.listed, State::Draining);
}

#[test]
fn what_is_not_whole_and_good_is_not_believed() {
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
        let bytes = ask(&resolver, 7);
        assert!(list::parse_answer(&bytes, 7, &names()).is_err(), "{fault:?}");
    }
    let good = ask(&resolver, 7);
    assert!(list::parse_answer(&good, 7, &names()).is_ok());
    assert!(list::parse_answer(&list::query(7), 7, &names()).is_err(), "a question is no answer");
    let strange = Names { kinds: vec!["old".into()], ..names() };
    assert!(list::parse_answer(&good, 7, &strange).is_err(), "a kind that is not known");
    for end in 0..good.len() {
        assert!(list::parse_answer(&good[..end], 7, &names()).is_err(), "cut at {end}");
    }
}

#[test]
fn the_events_of_the_start_make_a_list() {
    let server = |id: &str, state: &str, more: &str| {
        format!(
            r#"{{"id":"{id}","addr":"10.1.0.9:4100","zone":"east","kind":"std","cell":2,"state":"{state}"{more}}}"#
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
fn a_configuration_that_is_wrong_is_told_in_one_line() {
    let good = bed::config("127.0.0.1:53", &[]);
    assert!(config::parse(&good).is_ok());
    let wrong = [
        good.replace("127.0.0.1:53", "nowhere"),
        good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
        good.replace("\"sockets\":256", "\"sockets\":3"),
        good.replace("by_key", "by_luck"),
        good[..good.len() / 2].to_owned(),
        String::new(),
    ];
    for text in wrong {
        let why = config::parse(&text).expect_err("wrong");
        assert!(!why.is_empty() && !why.contains('\n'), "{why}");
    }
}
