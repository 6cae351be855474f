//! Messages, master files, zones and updates, against texts of the RFCs and random input.

use proptest::prelude::*;
use violetward_dns::master;
use violetward_dns::message::{Entry, Message, Opcode, Question, Rcode, Stream};
use violetward_dns::name::Name;
use violetward_dns::record::{Data, Record, Type, ANY, IN, NONE};
use violetward_dns::serial;
use violetward_dns::update;
use violetward_dns::zone::{Change, Zone};

fn cases() -> u32 {
    std::env::var("VIOLETWARD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    }
}

fn name(text: &str) -> Name {
    Name::parse(text, &Name::root()).unwrap()
}

fn read(text: &str) -> master::Reading {
    master::read(text, &name("fleet.example."), &mut |file| Err(format!("{file} is not to be had")))
}

const FLEET: &str = r#"
$TTL 60
@       IN SOA ns hostmaster ( 7 ; serial
                               1h 15m 1w 30 )
        NS  ns
ns      A   127.0.0.1
$ORIGIN engines.fleet.example.
e1  5   SRV 0 10 9001 host1.fleet.example.
        TXT "kind=m8" "zone=a \"quoted\" \009"
e2      IN 5 SRV 0 10 9002 host2.fleet.example.
        SVCB 1 host2.fleet.example. port=9002 key65280="m4"
e3      TYPE65281 \# 3 0a 0b0c
\101\.x A   10.0.0.3
"#;

#[test]
fn a_master_file_is_read_and_written_and_read_again() {
    let reading = read(FLEET);
    assert_eq!((reading.mistakes.clone(), reading.cut), (vec![], false));
    assert_eq!(reading.records.len(), 9);
    let (zone, wrong) = master::zone(&name("fleet.example."), &reading);
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(zone.serial(), Some(7));
    let soa = zone.soa().unwrap();
    assert_eq!((soa.refresh, soa.retry, soa.expire, soa.minimum), (3600, 900, 604_800, 30));
    let e1 = name("E1.engines.FLEET.example.");
    assert!(matches!(&zone.get(&e1, Type::SRV).unwrap().data[0], Data::Srv { port: 9001, .. }));
    let Data::Txt(texts) = &zone.get(&e1, Type::TXT).unwrap().data[0] else { panic!() };
    assert_eq!(texts, &[b"kind=m8".to_vec(), b"zone=a \"quoted\" \t".to_vec()]);
    assert!(zone.has(&name("e\\.x.engines.fleet.example.")), "an escaped octet and an escaped dot");
    let text: String = zone.records().map(|r| format!("{r}\n")).collect();
    let again = read(&text);
    assert_eq!(again.mistakes, vec![], "{text}");
    let (again, _) = master::zone(&name("fleet.example."), &again);
    assert!(again.diff(&zone).is_empty() && zone.diff(&again).is_empty());
}

#[test]
fn a_damaged_record_is_told_with_its_place_and_costs_itself_alone() {
    let text = "$TTL 60\n@ SOA ns h 1 1 1 1 1\na A 10.0.0.1\nb A 10.0.0\nc SRV 0 x 1 h\nd TXT \"open\ne A 10.0.0.2\n\
                f WHAT 1\ng CH A 10.0.0.3\n) \nh AAAA ::1\n$WHAT x\ni CNAME a..b\nj \\# 1\nk A 10.0.0.4 more\n$INCLUDE other\nl A 10.0.0.5\n";
    let reading = read(text);
    let places: Vec<(usize, usize)> = reading.mistakes.iter().map(|m| (m.line, m.column)).collect();
    assert_eq!(
        places,
        [(4, 5), (5, 9), (6, 7), (8, 3), (9, 3), (10, 1), (12, 1), (13, 9), (14, 3), (15, 14), (16, 10)],
        "{:#?}",
        reading.mistakes
    );
    let names: Vec<String> = reading.records.iter().map(|r| r.name.to_string()).collect();
    let good = ["", "a.", "e.", "h.", "l."].map(|n| format!("{n}fleet.example."));
    assert_eq!(names, good, "a good record next to a damaged one counts");
}

#[test]
fn a_file_that_is_cut_off_is_known_as_such() {
    for end in [FLEET.find("1w").unwrap(), FLEET.find("m8").unwrap(), FLEET.len() - 3] {
        assert!(read(&FLEET[..end]).cut, "{}", &FLEET[end - 10..end]);
    }
}

#[test]
fn files_include_each_other_and_get_their_origin_back() {
    let mut asked = Vec::new();
    let reading = master::read("$TTL 5\n$INCLUDE sub inner\nz A 10.0.0.1\n", &name("x."), &mut |file| {
        asked.push(file.to_owned());
        Ok("a A 10.0.0.2\n$ORIGIN else.\nb A 1\n".into())
    });
    assert_eq!(asked, ["sub"]);
    let names: Vec<String> = reading.records.iter().map(|r| r.name.to_string()).collect();
    assert_eq!(names, ["a.inner.x.", "z.x."]);
    assert_eq!(reading.mistakes[0].to_string(), "sub:3:5: A: 1 is no IPv4 address");
    let endless = master::read("$INCLUDE me\n", &name("x."), &mut |_| Ok("$INCLUDE me\n".into()));
    assert_eq!(endless.mistakes.len(), 1, "bounded");
}

#[test]
fn serials_wrap() {
    assert!(serial::is_newer(1, u32::MAX) && !serial::is_newer(u32::MAX, 1));
    assert_eq!(serial::compare(0, 1 << 31), None);
    assert_eq!((serial::next(7), serial::next(u32::MAX)), (8, 1));
}

fn zone() -> Zone {
    master::zone(&name("fleet.example."), &read(FLEET)).0
}

fn asked(prerequisites: Vec<Entry>, updates: Vec<Entry>) -> Message {
    let origin = name("fleet.example.");
    Message {
        opcode: Opcode::UPDATE,
        questions: vec![Question { name: origin.clone(), kind: Type::SOA, class: IN }],
        answers: prerequisites,
        authorities: updates,
        ..Message::query(1, origin, Type::SOA)
    }
}

fn entry(owner: &str, kind: Type, class: u16, ttl: u32, data: Option<Data>) -> Entry {
    Entry { name: name(owner), kind, class, ttl, data }
}

#[test]
fn updates_change_all_or_nothing_and_move_the_serial() {
    let zone = zone();
    let e1 = "e1.engines.fleet.example.";
    let gone = update::apply(&zone, &asked(vec![], vec![entry(e1, Type::SRV, ANY, 0, None)])).unwrap();
    assert!(gone.get(&name(e1), Type::SRV).is_none() && gone.get(&name(e1), Type::TXT).is_some());
    assert_eq!(gone.serial(), Some(8));
    assert!(zone.get(&name(e1), Type::SRV).is_some(), "who still reads the old version sees the old version");
    // Nothing new: nothing moves.
    let same = update::apply(&gone, &asked(vec![], vec![entry(e1, Type::SRV, ANY, 0, None)])).unwrap();
    assert_eq!(same.serial(), Some(8));
    // One bad entry: none counts.
    let bad = vec![
        entry(e1, Type::SRV, ANY, 0, None),
        entry("elsewhere.", Type::A, IN, 5, Some(Data::A([10, 0, 0, 1].into()))),
    ];
    assert_eq!(update::apply(&zone, &asked(vec![], bad)).unwrap_err(), Rcode::NOTZONE);
    // All sets of a name; the zone's own start and servers stay.
    let all = asked(
        vec![],
        vec![entry(e1, Type::ANY, ANY, 0, None), entry("fleet.example.", Type::ANY, ANY, 0, None)],
    );
    let new = update::apply(&zone, &all).unwrap();
    assert!(!new.has(&name(e1)) && new.soa().is_some() && new.get(new.origin(), Type::NS).is_some());
    let last = entry("fleet.example.", Type::NS, NONE, 0, Some(Data::Ns(name("ns.fleet.example."))));
    let new = update::apply(&zone, &asked(vec![], vec![last])).unwrap();
    assert!(new.get(new.origin(), Type::NS).is_some(), "the last server stays");
    // A serial that goes back is passed over.
    let mut old = zone.soa().unwrap().clone();
    old.serial = 3;
    let back = entry("fleet.example.", Type::SOA, IN, 5, Some(Data::Soa(old)));
    assert_eq!(update::apply(&zone, &asked(vec![], vec![back])).unwrap().serial(), Some(7));
}

#[test]
fn prerequisites_hold_an_update_back() {
    let zone = zone();
    let (here, not) = ("e1.engines.fleet.example.", "e9.engines.fleet.example.");
    let change = || vec![entry(not, Type::A, IN, 5, Some(Data::A([10, 0, 0, 9].into())))];
    for (prerequisite, expected) in [
        (entry(here, Type::ANY, ANY, 0, None), Ok(())),
        (entry(not, Type::ANY, ANY, 0, None), Err(Rcode::NXDOMAIN)),
        (entry(here, Type::A, ANY, 0, None), Err(Rcode::NXRRSET)),
        (entry(here, Type::ANY, NONE, 0, None), Err(Rcode::YXDOMAIN)),
        (entry(here, Type::SRV, NONE, 0, None), Err(Rcode::YXRRSET)),
        (entry(not, Type::ANY, NONE, 0, None), Ok(())),
        (entry("ns.fleet.example.", Type::A, IN, 0, Some(Data::A([127, 0, 0, 1].into()))), Ok(())),
        (
            entry("ns.fleet.example.", Type::A, IN, 0, Some(Data::A([127, 0, 0, 2].into()))),
            Err(Rcode::NXRRSET),
        ),
        (entry(here, Type::ANY, ANY, 1, None), Err(Rcode::FORMERR)),
        (entry("else.", Type::ANY, ANY, 0, None), Err(Rcode::NOTZONE)),
    ] {
        let got = update::apply(&zone, &asked(vec![prerequisite.clone()], change())).map(|_| ());
        assert_eq!(got, expected, "{prerequisite:?}");
    }
    let mut other = asked(vec![], change());
    other.questions[0].name = name("other.example.");
    assert_eq!(update::apply(&zone, &other).unwrap_err(), Rcode::NOTAUTH);
}

#[test]
fn a_name_exists_if_it_or_one_under_it_has_records() {
    let zone = zone();
    for (text, exists) in [
        ("engines.fleet.example.", true),
        ("e1.engines.fleet.example.", true),
        ("fleet.example.", true),
        ("e0.engines.fleet.example.", false),
        ("gines.fleet.example.", false),
        ("zz.fleet.example.", false),
    ] {
        assert_eq!(zone.exists(&name(text)), exists, "{text}");
    }
}

#[test]
fn two_versions_differ_by_what_has_changed() {
    let old = zone();
    let mut new = old.clone();
    new.remove(&name("ns.fleet.example."), &Data::A([127, 0, 0, 1].into()));
    new.add(&name("ns.fleet.example."), 60, Data::A([127, 0, 0, 2].into())).unwrap();
    new.set_serial(8);
    let changes = new.diff(&old);
    assert_eq!(changes.len(), 4, "{changes:?}");
    let addresses: Vec<&Change> = changes
        .iter()
        .filter(|c| matches!(c, Change::Added(r) | Change::Removed(r) if r.data.kind() == Type::A))
        .collect();
    assert!(matches!(addresses[..], [Change::Removed(_), Change::Added(_)]));
    assert!(new.add(&name("e1.engines.fleet.example."), 5, Data::Cname(name("x."))).is_err());
    assert!(new.add(&name("x."), 5, Data::A([1, 1, 1, 1].into())).is_err());
}

#[test]
fn messages_are_compressed_and_pointers_only_lead_back() {
    let mut message = Message::query(9, name("e1.engines.fleet.example."), Type::SRV).answer(Rcode::NOERROR);
    message.answers = zone().records().map(Entry::from).collect();
    let bytes = message.write();
    assert_eq!(Message::read(&bytes).unwrap(), message);
    let plain: usize = message.answers.iter().map(|e| e.name.wire().len()).sum();
    assert!(bytes.len() < plain + 600, "owners' names are compressed");
    // A name that points at itself, and one that points ahead.
    for to in [12u8, 14] {
        let loops = [&[0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0xc0, to, 0, 1, 0, 1][..]].concat();
        assert!(Message::read(&loops).is_err());
    }
    let mut stream = Stream::default();
    let framed = [Stream::frame(&bytes).unwrap(), Stream::frame(&bytes).unwrap()].concat();
    let mut seen = 0;
    for byte in framed {
        stream.feed(&[byte]);
        while let Some(message) = stream.next_message() {
            assert_eq!(message, bytes);
            seen += 1;
        }
    }
    assert_eq!(seen, 2);
}

fn data() -> impl Strategy<Value = Data> {
    let label = "[a-z0-9_-]{1,8}";
    let host = prop::collection::vec(label, 1..4).prop_map(|l| name(&(l.join(".") + ".")));
    prop_oneof![
        any::<[u8; 4]>().prop_map(|o| Data::A(o.into())),
        any::<[u8; 16]>().prop_map(|o| Data::Aaaa(o.into())),
        prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20), 1..4).prop_map(Data::Txt),
        (any::<u16>(), any::<u16>(), any::<u16>(), host.clone())
            .prop_map(|(priority, weight, port, target)| Data::Srv { priority, weight, port, target }),
        (
            any::<u16>(),
            host.clone(),
            prop::collection::btree_map(4..9u16, prop::collection::vec(any::<u8>(), 0..9), 0..4)
        )
            .prop_map(|(priority, target, parameters)| Data::Svcb {
                priority,
                target,
                parameters: parameters.into_iter().collect()
            }),
        (300..500u16, prop::collection::vec(any::<u8>(), 0..20))
            .prop_map(|(t, raw)| Data::Unknown(Type(t), raw)),
        host.prop_map(Data::Ns),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn whatever_is_written_is_read_again_on_the_wire_and_as_text(all in prop::collection::vec((data(), any::<u32>(), "[a-z]{1,9}"), 1..20)) {
        let records: Vec<Record> = all
            .into_iter()
            .map(|(data, ttl, owner)| Record { name: name(&format!("{owner}.fleet.example.")), class: IN, ttl: ttl >> 1, data })
            .collect();
        let mut message = Message::query(1, name("fleet.example."), Type::AXFR);
        message.answers = records.iter().cloned().map(Entry::from).collect();
        let mut read_back = Message::read(&message.write()).unwrap();
        // Data of no octets is read as none: an update could not be told otherwise.
        for (e, r) in read_back.answers.iter_mut().zip(&records) {
            if e.data.is_none() {
                e.data = Some(r.data.clone());
            }
        }
        prop_assert_eq!(read_back, message);
        let text: String = records.iter().map(|r| format!("{r}\n")).collect();
        let reading = read(&text);
        prop_assert_eq!(reading.mistakes, vec![]);
        prop_assert_eq!(reading.records, records);
    }

    #[test]
    fn no_bytes_and_no_text_are_too_strange(bytes in prop::collection::vec(any::<u8>(), 0..200), text in ".{0,200}") {
        if let Ok(message) = Message::read(&bytes) {
            Message::read(&message.write()).ok();
        }
        read(&text);
    }

    #[test]
    fn a_difference_leads_from_one_version_to_the_other(steps in prop::collection::vec((any::<bool>(), 0..6u8, 0..4u8), 0..60), at in 0..60usize) {
        let mut versions = vec![zone()];
        for (add, owner, value) in steps {
            let mut next = versions.last().unwrap().clone();
            let (owner, data) = (name(&format!("n{owner}.fleet.example.")), Data::A([10, 0, 0, value].into()));
            if add {
                next.add(&owner, 60, data).unwrap();
            } else {
                next.remove(&owner, &data);
            }
            versions.push(next);
        }
        let (old, new) = (&versions[at.min(versions.len() - 1)], versions.last().unwrap());
        let mut made = old.clone();
        for change in new.diff(old) {
            match change {
                Change::Added(r) => made.add(&r.name, r.ttl, r.data).unwrap(),
                Change::Removed(r) => made.remove(&r.name, &r.data),
            }
        }
        prop_assert!(made.diff(new).is_empty() && new.diff(&made).is_empty());
    }
}
