//! Tests the responder of the engines' zone with DNS messages, without sockets.

use violetward_dns::message::{Entry, Message, Opcode, Question, Rcode};
use violetward_dns::name::Name;
use violetward_dns::record::{Type, ANY, IN};
use violetward_dns::tsig::{sign, verify, Key};
use violetward_gateway::config::Names;
use violetward_gateway::membership::EngineRegistry;
use violetward_gateway::zone_responder::ZoneResponder;

/// The time of every message, in seconds since 1970.
const NOW_S: u64 = 1_796_000_000;

fn name(text: &str) -> Name {
    Name::parse(text, &Name::root()).unwrap()
}

fn names() -> Names {
    Names { kinds: vec!["m8".into()], zones: vec!["a".into()], ..Names::default() }
}

fn key() -> Key {
    Key { name: name("ops."), secret: b"sixteen bytes and more".to_vec() }
}

/// A responder, and a membership whose zone lists 150 engines.
fn responder_with_zone() -> (ZoneResponder, EngineRegistry) {
    let mut registry = EngineRegistry::default();
    let mut text = "$TTL 5\n@ SOA ns h 5 1 1 1 1\nhost A 127.0.0.1\n".to_owned();
    for n in 0..150 {
        text += &format!("e{n} SRV 0 0 {} host\n", 9000 + n);
    }
    registry.read_zone_file(&text, &name("fleet.example."), &names(), &mut |_| Err("none".into()));
    assert_eq!(registry.engines().len(), 150);
    (ZoneResponder::new(vec![key()]), registry)
}

fn removal_message(id: u16, engines: &[&str]) -> Vec<u8> {
    let origin = name("fleet.example.");
    let removed = |e: &&str| Entry {
        name: name(&format!("{e}.fleet.example.")),
        kind: Type::ANY,
        class: ANY,
        ttl: 0,
        data: None,
    };
    let message = Message {
        opcode: Opcode::UPDATE,
        questions: vec![Question { name: origin.clone(), kind: Type::SOA, class: IN }],
        authorities: engines.iter().map(removed).collect(),
        ..Message::query(id, origin, Type::SOA)
    };
    message.write()
}

fn rcode(answers: &[Vec<u8>]) -> Rcode {
    Message::read(&answers[0]).unwrap().rcode
}

#[test]
fn only_a_signed_update_removes_engines_and_only_once() {
    let (mut responder, mut membership) = responder_with_zone();
    let unsigned = removal_message(1, &["e0", "e1"]);
    let unknown_key = Key { secret: b"another secret, as long".to_vec(), ..key() };
    for (bytes, code) in [
        (unsigned.clone(), Rcode::REFUSED),
        (sign(&unsigned, &unknown_key, NOW_S, None).0, Rcode::NOTAUTH),
        (sign(&unsigned, &key(), NOW_S - 301, None).0, Rcode::NOTAUTH),
        (sign(&unsigned, &Key { name: name("else."), ..key() }, NOW_S, None).0, Rcode::NOTAUTH),
    ] {
        let outcome = responder.handle_message(NOW_S, &bytes, false, &mut membership, &names());
        assert!(!outcome.changed && outcome.log_line.is_some() && membership.engines().len() == 150);
        assert_eq!(rcode(&outcome.answers), code);
    }
    let (signed, mac) = sign(&unsigned, &key(), NOW_S, None);
    let outcome = responder.handle_message(NOW_S, &signed, false, &mut membership, &names());
    assert!(outcome.changed && membership.engines().len() == 148);
    assert!(
        verify(&outcome.answers[0], &[key()], NOW_S, Some(&mac)).is_ok(),
        "the signature of the answer covers the one of the query"
    );
    assert_eq!(membership.zone().unwrap().serial(), Some(6));
    // A replay of the message, also under another id, is refused: it would remove engines that were added
    // again.
    let mut replayed = signed.clone();
    replayed[1] ^= 1;
    for bytes in [&signed, &replayed] {
        let outcome = responder.handle_message(NOW_S + 5, bytes, false, &mut membership, &names());
        assert!(!outcome.changed && rcode(&outcome.answers) == Rcode::REFUSED);
    }
    // The update made the zone newer than its file, so reading the file again changes nothing.
    let text = "$TTL 5\n@ SOA ns h 5 1 1 1 1\nhost A 127.0.0.1\ne0 SRV 0 0 1 host\n";
    membership.read_zone_file(text, &name("fleet.example."), &names(), &mut |_| Err("none".into()));
    assert_eq!(membership.engines().len(), 148);
}

#[test]
fn queries_are_answered_and_transfers_are_served_over_streams_only() {
    let (mut responder, mut membership) = responder_with_zone();
    let mut query = |kind: Type, owner: &str, stream: bool| {
        let bytes = Message::query(3, name(owner), kind).write();
        responder.handle_message(NOW_S, &bytes, stream, &mut membership, &names()).answers
    };
    let found = Message::read(&query(Type::SRV, "E7.fleet.example.", false)[0]).unwrap();
    assert!(found.authoritative && found.answers.len() == 1);
    assert_eq!(rcode(&query(Type::A, "nowhere.fleet.example.", false)), Rcode::NXDOMAIN);
    assert_eq!(rcode(&query(Type::A, "e7.fleet.example.", false)), Rcode::NOERROR);
    assert_eq!(rcode(&query(Type::A, "else.", false)), Rcode::REFUSED);
    assert_eq!(rcode(&query(Type::AXFR, "fleet.example.", false)), Rcode::REFUSED);
    let parts = query(Type::AXFR, "fleet.example.", true);
    let all: Vec<Entry> = parts.iter().flat_map(|p| Message::read(p).unwrap().answers).collect();
    assert_eq!((parts.len(), all.len()), (2, 153), "the SOA record is the first and the last");
    assert_eq!((all[0].kind, &all[0]), (Type::SOA, &all[152]));
}

#[test]
fn malformed_and_unsupported_messages_get_an_error_or_no_answer() {
    let (mut responder, mut membership) = responder_with_zone();
    let mut answers =
        |bytes: &[u8]| responder.handle_message(NOW_S, bytes, true, &mut membership, &names()).answers;
    assert!(answers(b"short").is_empty());
    assert_eq!(rcode(&answers(&[0, 1, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 1])), Rcode::FORMERR);
    let mut response = Message::query(1, name("fleet.example."), Type::SOA);
    response.response = true;
    assert!(
        answers(&response.write()).is_empty(),
        "answers get no answer, or two servers could exchange messages without end"
    );
    let mut notify = Message::query(1, name("fleet.example."), Type::SOA);
    notify.opcode = Opcode::NOTIFY;
    assert_eq!(rcode(&answers(&notify.write())), Rcode::NOTIMP);
}
