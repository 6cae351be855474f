//! The zone of the engines by DNS messages, without sockets.

use violetward_dns::message::{Entry, Message, Opcode, Question, Rcode};
use violetward_dns::name::Name;
use violetward_dns::record::{Type, ANY, IN};
use violetward_dns::tsig::{sign, verify, Key};
use violetward_gateway::config::Names;
use violetward_gateway::membership::EngineRegistry;
use violetward_gateway::zone_responder::ZoneResponder;

const NOW: u64 = 1_796_000_000;

fn name(text: &str) -> Name {
    Name::parse(text, &Name::root()).unwrap()
}

fn names() -> Names {
    Names { kinds: vec!["m8".into()], zones: vec!["a".into()], ..Names::default() }
}

fn key() -> Key {
    Key { name: name("ops."), secret: b"sixteen bytes and more".to_vec() }
}

fn bed() -> (ZoneResponder, EngineRegistry) {
    let mut registry = EngineRegistry::default();
    let mut text = "$TTL 5\n@ SOA ns h 5 1 1 1 1\nhost A 127.0.0.1\n".to_owned();
    for n in 0..150 {
        text += &format!("e{n} SRV 0 0 {} host\n", 9000 + n);
    }
    registry.read_zone_file(&text, &name("fleet.example."), &names(), &mut |_| Err("none".into()));
    assert_eq!(registry.engines().len(), 150);
    (ZoneResponder::new(vec![key()]), registry)
}

fn removal(id: u16, engines: &[&str]) -> Vec<u8> {
    let origin = name("fleet.example.");
    let gone = |e: &&str| Entry {
        name: name(&format!("{e}.fleet.example.")),
        kind: Type::ANY,
        class: ANY,
        ttl: 0,
        data: None,
    };
    let message = Message {
        opcode: Opcode::UPDATE,
        questions: vec![Question { name: origin.clone(), kind: Type::SOA, class: IN }],
        authorities: engines.iter().map(gone).collect(),
        ..Message::query(id, origin, Type::SOA)
    };
    message.write()
}

fn rcode(answers: &[Vec<u8>]) -> Rcode {
    Message::read(&answers[0]).unwrap().rcode
}

#[test]
fn a_signed_update_removes_an_engine_once_and_nothing_else_does() {
    let (mut updates, mut m) = bed();
    let plain = removal(1, &["e0", "e1"]);
    let stranger = Key { secret: b"another secret, as long".to_vec(), ..key() };
    for (bytes, code) in [
        (plain.clone(), Rcode::REFUSED),
        (sign(&plain, &stranger, NOW, None).0, Rcode::NOTAUTH),
        (sign(&plain, &key(), NOW - 301, None).0, Rcode::NOTAUTH),
        (sign(&plain, &Key { name: name("else."), ..key() }, NOW, None).0, Rcode::NOTAUTH),
    ] {
        let outcome = updates.handle_message(NOW, &bytes, false, &mut m, &names());
        assert!(!outcome.changed && outcome.log_line.is_some() && m.engines().len() == 150);
        assert_eq!(rcode(&outcome.answers), code);
    }
    let (signed, mac) = sign(&plain, &key(), NOW, None);
    let outcome = updates.handle_message(NOW, &signed, false, &mut m, &names());
    assert!(outcome.changed && m.engines().len() == 148);
    assert!(
        verify(&outcome.answers[0], &[key()], NOW, Some(&mac)).is_ok(),
        "the answer is signed over the question"
    );
    assert_eq!(m.zone().unwrap().serial(), Some(6));
    // An engine that is added again is not removed again by the same message, whatever its id says now.
    let mut replayed = signed.clone();
    replayed[1] ^= 1;
    for bytes in [&signed, &replayed] {
        let outcome = updates.handle_message(NOW + 5, bytes, false, &mut m, &names());
        assert!(!outcome.changed && rcode(&outcome.answers) == Rcode::REFUSED);
    }
    // The file that the zone was read from is older now.
    let text = "$TTL 5\n@ SOA ns h 5 1 1 1 1\nhost A 127.0.0.1\ne0 SRV 0 0 1 host\n";
    m.read_zone_file(text, &name("fleet.example."), &names(), &mut |_| Err("none".into()));
    assert_eq!(m.engines().len(), 148);
}

#[test]
fn the_zone_is_asked_for_and_transferred_whole_over_streams_alone() {
    let (mut updates, mut m) = bed();
    let mut ask = |kind: Type, owner: &str, stream: bool| {
        let bytes = Message::query(3, name(owner), kind).write();
        updates.handle_message(NOW, &bytes, stream, &mut m, &names()).answers
    };
    let found = Message::read(&ask(Type::SRV, "E7.fleet.example.", false)[0]).unwrap();
    assert!(found.authoritative && found.answers.len() == 1);
    assert_eq!(rcode(&ask(Type::A, "nowhere.fleet.example.", false)), Rcode::NXDOMAIN);
    assert_eq!(rcode(&ask(Type::A, "e7.fleet.example.", false)), Rcode::NOERROR);
    assert_eq!(rcode(&ask(Type::A, "else.", false)), Rcode::REFUSED);
    assert_eq!(rcode(&ask(Type::AXFR, "fleet.example.", false)), Rcode::REFUSED);
    let parts = ask(Type::AXFR, "fleet.example.", true);
    let all: Vec<Entry> = parts.iter().flat_map(|p| Message::read(p).unwrap().answers).collect();
    assert_eq!((parts.len(), all.len()), (2, 153), "the start of authority at both ends");
    assert_eq!((all[0].kind, &all[0]), (Type::SOA, &all[152]));
}

#[test]
fn what_is_no_message_gets_an_error_or_nothing() {
    let (mut updates, mut m) = bed();
    let mut answers = |bytes: &[u8]| updates.handle_message(NOW, bytes, true, &mut m, &names()).answers;
    assert!(answers(b"short").is_empty());
    assert_eq!(rcode(&answers(&[0, 1, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 1])), Rcode::FORMERR);
    let mut response = Message::query(1, name("fleet.example."), Type::SOA);
    response.response = true;
    assert!(
        answers(&response.write()).is_empty(),
        "answers are not answered: two servers could go on for ever"
    );
    let mut notify = Message::query(1, name("fleet.example."), Type::SOA);
    notify.opcode = Opcode::NOTIFY;
    assert_eq!(rcode(&answers(&notify.write())), Rcode::NOTIMP);
}
