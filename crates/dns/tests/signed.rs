//! Signed messages: one that a public library (dnspython) has made, our own, and what is not to be believed.

use violetward_dns::message::{Message, Opcode};
use violetward_dns::name::Name;
use violetward_dns::record::Type;
use violetward_dns::tsig::{sign, verify, Key, TsigError};

fn name(text: &str) -> Name {
    Name::parse(text, &Name::root()).unwrap()
}

fn key(name_of: &str, secret: &str) -> Key {
    Key { name: name(name_of), secret: secret.into() }
}

/// Made by dnspython's UpdateMessage at 1,796,000,000: e1.engines must exist, and its SRV set goes; key `ops.`.
const MADE: &str = "12672800000100010001000105666c656574076578616d706c65000006000102653107656e67696e6573c00c00ff00ff000000000000c01f002100ff000000000000036f70730000fa00ff00000000003d0b686d61632d7368613235360000006b0cc900012c0020b389797823d8078a7b5302441d982c00f85b40b3b628bb634839985e107adb5c334f00000000";
const THEN: u64 = 1_796_000_000;

fn made() -> Vec<u8> {
    (0..MADE.len()).step_by(2).map(|i| u8::from_str_radix(&MADE[i..i + 2], 16).unwrap()).collect()
}

#[test]
fn an_update_that_a_public_library_signed_is_believed_and_read() {
    let keys = [key("other.", "x"), key("OPS.", "sixteen bytes and more")];
    let verified = verify(&made(), &keys, THEN + 200, None).unwrap();
    assert_eq!((verified.key, verified.time, verified.mac.len()), (name("ops."), THEN, 32));
    let update = Message::read(&verified.message).unwrap();
    assert_eq!((update.opcode, update.id), (Opcode::UPDATE, 0x1267));
    assert_eq!(update.authorities[0].kind, Type::SRV);
    assert_eq!(update.authorities[0].name, name("e1.engines.fleet.example."));
}

#[test]
fn what_is_altered_foreign_old_or_early_is_not_believed() {
    let keys = [key("ops.", "sixteen bytes and more")];
    let made = made();
    for (now, expected) in [(THEN + 301, TsigError::Time), (THEN - 301, TsigError::Time)] {
        assert_eq!(verify(&made, &keys, now, None).unwrap_err(), expected);
    }
    assert_eq!(
        verify(&made, &[key("ops.", "another secret")], THEN, None).unwrap_err(),
        TsigError::Signature
    );
    assert_eq!(
        verify(&made, &[key("else.", "sixteen bytes and more")], THEN, None).unwrap_err(),
        TsigError::Key
    );
    // Also an old one with a wrong code is told as wrong, not as old.
    assert_eq!(verify(&made, &[key("ops.", "another secret")], 0, None).unwrap_err(), TsigError::Signature);
    let mut believed = 0;
    for at in 0..made.len() {
        let mut altered = made.clone();
        altered[at] ^= 1;
        believed +=
            usize::from(verify(&altered, &keys, THEN, None).is_ok_and(|v| v.message[2..] != made[2..100]));
        if let Ok(verified) = verify(&altered, &keys, THEN, None) {
            // The id alone is not signed: the original one is (RFC 8945, section 5.3).
            assert!(at < 2, "octet {at} can be changed: {verified:?}");
        }
    }
    assert!(believed <= 2);
    for size in 0..made.len() {
        assert!(verify(&made[..size], &keys, THEN, None).is_err());
    }
    let plain = Message::query(1, name("x."), Type::SOA).write();
    assert_eq!(verify(&plain, &keys, THEN, None).unwrap_err(), TsigError::Unsigned);
}

#[test]
fn answers_are_signed_over_what_they_answer() {
    let ours = key("ops.", "sixteen bytes and more");
    let plain = Message::query(7, name("fleet.example."), Type::AXFR).write();
    let (asked, request) = sign(&plain, &ours, THEN, None);
    assert_eq!(verify(&asked, std::slice::from_ref(&ours), THEN, None).unwrap().message, plain);
    let (answer, _) = sign(&plain, &ours, THEN, Some(&request));
    assert!(verify(&answer, std::slice::from_ref(&ours), THEN, Some(&request)).is_ok());
    // An answer to another question.
    assert_eq!(verify(&answer, &[ours], THEN, Some(&[0; 32])).unwrap_err(), TsigError::Signature);
}
