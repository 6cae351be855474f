//! The encoded bytes of each message and of the stored marks, pinned: gateways of different builds exchange them.

use super::*;

const SENDER_LIFE: u64 = 0x0102_0304_0506_0708;
const SENDER_TERM: u32 = 0x0a0b_0c0d;

fn life(name: &str, life: u64) -> Incarnation {
    Incarnation { name: name.into(), life }
}

fn actor(name: &str, number: u64, term: u32) -> Participant {
    Participant { life: life(name, number), term }
}

fn key(number: u64) -> StatementKey {
    StatementKey { taken_by: life("g0", 0x77), number }
}

fn links() -> Vec<ReplicaEntry> {
    vec![
        ReplicaEntry { actor: actor("g0", 0x77, 1), gone: true, after: 0 },
        ReplicaEntry { actor: actor("g1", 0x78, 2), gone: false, after: 1 },
    ]
}

fn item(whole: bool, repeat: Repeat, out: Option<Out>, ending: Option<Ending>) -> ReplicaRecord {
    let body = if whole { b"select 1".to_vec() } else { Vec::new() };
    let record = Record {
        key: key(5),
        version: 0x0100_0000_0002,
        body,
        repeat,
        left: 60_000_000,
        attempts: 3,
        out,
        passed: 4,
        ending,
    };
    ReplicaRecord { record, whole, links: links() }
}

fn out(next: Option<&str>) -> Out {
    Out { number: 2, engine: "e1".into(), next: next.map(str::to_owned), page: 6, sent: 7, within: 8 }
}

fn batch(items: Vec<ReplicaRecord>) -> Message {
    Message::Batch { to: (0x1112, 0x13), number: 0x1415, records: items, ends: vec![key(8), key(9)] }
}

/// Checks the bytes of a message, and that they are read as that message.
#[track_caller]
fn pinned(message: &Message, body: &str) {
    let bytes = message.write(SENDER_LIFE, SENDER_TERM);
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(hex, body);
    assert_eq!(Message::read(&bytes), Ok((SENDER_LIFE, SENDER_TERM, message.clone())));
}

/// Checks the bytes of one record within a batch.
#[track_caller]
fn pinned_item(item: ReplicaRecord, body: &str) {
    let to = "01060102030405060708 0a0b0c0d 0000000000001112 00000013 0000000000001415 0001".replace(' ', "");
    let ends = concat!(
        "0002",
        "00026730",
        "0000000000000077",
        "0000000000000008",
        "00026730",
        "0000000000000077",
        "0000000000000009",
    );
    pinned(&batch(vec![item]), &format!("{to}{body}{ends}"));
}

#[test]
fn the_bytes_of_lease_messages_are_pinned() {
    pinned(&Message::LeaseRequest(0x21), "010101020304050607080a0b0c0d0000000000000021");
    pinned(&Message::LeaseGrant(0x22), "010201020304050607080a0b0c0d0000000000000022");
    pinned(&Message::Fenced(0x23), "010301020304050607080a0b0c0d00000023");
    pinned(&Message::TermAnnouncement, "010801020304050607080a0b0c0d");
    pinned(&Message::TermQuery, "010901020304050607080a0b0c0d");
}

#[test]
fn the_bytes_of_fencing_messages_are_pinned() {
    let (first, second) = (actor("g1", 0x31, 1), actor("gate-2", 0x32, 2));
    pinned(&Message::FenceRequest(vec![first.clone(), second.clone()]), "010401020304050607080a0b0c0d0002000267310000000000000031000000010006676174652d32000000000000003200000002");
    pinned(&Message::FenceMarks(vec![(first, 0x33), (second, 0x34)]), "010501020304050607080a0b0c0d00020002673100000000000000310000000100000000000000330006676174652d320000000000000032000000020000000000000034");
    pinned(&Message::MarksQuery(0x24), "010a01020304050607080a0b0c0d0000000000000024");
    pinned(
        &Message::StoredMarks { asked: 0x25, kept: vec![1, 2, 3] },
        "010b01020304050607080a0b0c0d000000000000002500000003010203",
    );
    pinned(
        &Message::StoredMarks { asked: 0x26, kept: Vec::new() },
        "010b01020304050607080a0b0c0d000000000000002600000000",
    );
}

#[test]
fn the_bytes_of_an_acknowledgement_are_pinned() {
    let not = vec![
        (0, RejectReason::NoRoom),
        (1, RejectReason::MissingBody),
        (2, RejectReason::Ended),
        (3, RejectReason::Obsolete),
    ];
    pinned(
        &Message::Acknowledgement { to: (0x1112, 0x13), number: 0x1415, not },
        "010701020304050607080a0b0c0d00000000000011120000001300000000000014150004000000000101000202000303",
    );
}

#[test]
fn the_bytes_of_records_are_pinned() {
    pinned_item(item(true, Repeat::Harmless, None, None), "00026730000000000000007700000000000000050000010000000002020000000873656c65637420310000000003938700000000030000000000000004000002000267300000000000000077000000010100000267310000000000000078000000020001");
    pinned_item(item(false, Repeat::Unsafe, Some(out(None)), Some(Ending::Cancelled)), "00026730000000000000007700000000000000050000010000000002010000000003938700000000030000000000000004010000000200026531000000000000000006000000000000000700000000000000080102000267300000000000000077000000010100000267310000000000000078000000020001");
    let (refused, failed) = (Ending::Refused("no".into()), Ending::Failed("lost".into()));
    pinned_item(item(false, Repeat::Harmless, Some(out(Some("/p/2"))), Some(refused)), "000267300000000000000077000000000000000500000100000000020000000000039387000000000300000000000000040100000002000265310100042f702f320000000000000006000000000000000700000000000000080200026e6f02000267300000000000000077000000010100000267310000000000000078000000020001");
    pinned_item(item(true, Repeat::Unsafe, None, Some(failed)), "00026730000000000000007700000000000000050000010000000002030000000873656c65637420310000000003938700000000030000000000000004000300046c6f737402000267300000000000000077000000010100000267310000000000000078000000020001");
}

#[test]
fn the_answer_to_an_unknown_format_is_pinned() {
    assert_eq!(other_format(), [1, 255]);
    assert_eq!(Message::read(&[2, 1, 0]), Err(DecodeError::UnknownFormat(2)));
    assert_eq!(Message::read(&[2, 255]), Err(DecodeError::PeerFormat(2)));
}

#[test]
fn the_bytes_of_stored_marks_are_pinned() {
    let marks = [(life("g1", 0x31), 1), (life("gate-2", 0x32), 2)];
    let bytes = keep(marks.iter().map(|(life, through)| (life, *through)));
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(hex, "7677637573746f640100000002000267310000000000000031000000010006676174652d32000000000000003200000002f15b737a8ea2844924ff89cff21b79297d4f305d968cb2521a54e83173f09b75");
    assert_eq!(kept(&bytes, 2), Ok(marks.to_vec()));
    assert_eq!(kept(&bytes, 1), Err(StoredMarksError::Damaged), "more marks than allowed");
}
