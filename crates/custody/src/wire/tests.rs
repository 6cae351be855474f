//! Checks the encoded bytes of each message and of the stored marks, as gateways of different versions have
//! to understand each other.

use super::stored_marks::{decode_marks, encode_marks, Fence, StoredMarksError};
use super::*;
use crate::{Ending, InFlightAttempt, RepeatSafety};

const SENDER: ProcessTerm = ProcessTerm { incarnation_number: 0x0102_0304_0506_0708, term: 0x0a0b_0c0d };

fn incarnation(name: &str, number: u64) -> Incarnation {
    Incarnation { name: name.into(), number }
}

fn participant(name: &str, number: u64, term: u32) -> Participant {
    Participant { incarnation: incarnation(name, number), term }
}

fn key(number: u64) -> StatementKey {
    StatementKey { accepted_by: incarnation("g0", 0x77), number }
}

fn replicas() -> Vec<ReplicaEntry> {
    vec![
        ReplicaEntry { participant: participant("g0", 0x77, 1), excluded: true, added_after: 0 },
        ReplicaEntry { participant: participant("g1", 0x78, 2), excluded: false, added_after: 1 },
    ]
}

fn replica_record(
    has_body: bool,
    repeat: RepeatSafety,
    in_flight: Option<InFlightAttempt>,
    ending: Option<Ending>,
) -> ReplicaRecord {
    let body = if has_body { b"select 1".to_vec() } else { Vec::new() };
    let record = Record {
        key: key(5),
        version: 0x0100_0000_0002,
        body,
        repeat,
        remaining_wait: 60_000_000,
        attempts: 3,
        in_flight,
        pages_delivered: 4,
        ending,
    };
    ReplicaRecord { record, has_body, replicas: replicas() }
}

fn attempt(next_uri: Option<&str>) -> InFlightAttempt {
    InFlightAttempt {
        number: 2,
        engine: "e1".into(),
        next_uri: next_uri.map(str::to_owned),
        next_page: 6,
        elapsed: 7,
        timeout: 8,
    }
}

fn batch(records: Vec<ReplicaRecord>) -> Message {
    Message::Batch {
        to: ProcessTerm { incarnation_number: 0x1112, term: 0x13 },
        number: 0x1415,
        records,
        ended: vec![key(8), key(9)],
    }
}

fn mark(participant: Participant, remaining: Micros) -> FenceMark {
    FenceMark { participant, remaining }
}

/// Checks the encoded bytes of a message, and that they decode to that message.
#[track_caller]
fn assert_encoding(message: &Message, expected_hex: &str) {
    let bytes = message.encode(SENDER);
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(hex, expected_hex);
    assert_eq!(Message::decode(&bytes), Ok((SENDER, message.clone())));
}

/// Checks the encoded bytes of one record within a batch.
#[track_caller]
fn assert_record_encoding(record: ReplicaRecord, record_hex: &str) {
    let header =
        "01060102030405060708 0a0b0c0d 0000000000001112 00000013 0000000000001415 0001".replace(' ', "");
    let ended = concat!(
        "0002",
        "00026730",
        "0000000000000077",
        "0000000000000008",
        "00026730",
        "0000000000000077",
        "0000000000000009",
    );
    assert_encoding(&batch(vec![record]), &format!("{header}{record_hex}{ended}"));
}

#[test]
fn the_bytes_of_lease_messages_are_unchanged() {
    assert_encoding(&Message::LeaseRequest(0x21), "010101020304050607080a0b0c0d0000000000000021");
    assert_encoding(&Message::LeaseGrant(0x22), "010201020304050607080a0b0c0d0000000000000022");
    assert_encoding(&Message::Fenced(0x23), "010301020304050607080a0b0c0d00000023");
    assert_encoding(&Message::TermAnnouncement, "010801020304050607080a0b0c0d");
    assert_encoding(&Message::TermQuery, "010901020304050607080a0b0c0d");
    assert_encoding(&Message::LeaseHeld, "010c01020304050607080a0b0c0d");
}

#[test]
fn the_bytes_of_fencing_messages_are_unchanged() {
    let (first, second) = (participant("g1", 0x31, 1), participant("gate-2", 0x32, 2));
    assert_encoding(
        &Message::FenceRequest(vec![first.clone(), second.clone()]),
        concat!(
            "010401020304050607080a0b0c0d0002000267310000000000000031000000010006676174652d32",
            "000000000000003200000002",
        ),
    );
    assert_encoding(
        &Message::FenceMarks(vec![mark(first, 0x33), mark(second, 0x34)]),
        concat!(
            "010501020304050607080a0b0c0d0002000267310000000000000031000000010000000000000033",
            "0006676174652d320000000000000032000000020000000000000034",
        ),
    );
    assert_encoding(&Message::MarksQuery(0x24), "010a01020304050607080a0b0c0d0000000000000024");
    assert_encoding(
        &Message::StoredMarks { asked_at: 0x25, marks: vec![1, 2, 3] },
        "010b01020304050607080a0b0c0d000000000000002500000003010203",
    );
    assert_encoding(
        &Message::StoredMarks { asked_at: 0x26, marks: Vec::new() },
        "010b01020304050607080a0b0c0d000000000000002600000000",
    );
}

#[test]
fn the_bytes_of_an_acknowledgement_are_unchanged() {
    let reasons =
        [RejectReason::NoRoom, RejectReason::MissingBody, RejectReason::Ended, RejectReason::Obsolete];
    let rejected = (0..).zip(reasons).map(|(index, reason)| Rejection { index, reason }).collect();
    assert_encoding(
        &Message::Acknowledgement {
            to: ProcessTerm { incarnation_number: 0x1112, term: 0x13 },
            number: 0x1415,
            rejected,
        },
        concat!(
            "010701020304050607080a0b0c0d0000000000001112000000130000000000001415000400000000",
            "0101000202000303",
        ),
    );
}

#[test]
fn the_bytes_of_records_are_unchanged() {
    assert_record_encoding(
        replica_record(true, RepeatSafety::Safe, None, None),
        concat!(
            "00026730000000000000007700000000000000050000010000000002020000000873656c65637420",
            "31000000000393870000000003000000000000000400000200026730000000000000007700000001",
            "0100000267310000000000000078000000020001",
        ),
    );
    assert_record_encoding(
        replica_record(false, RepeatSafety::Unsafe, Some(attempt(None)), Some(Ending::Cancelled)),
        concat!(
            "00026730000000000000007700000000000000050000010000000002010000000003938700000000",
            "03000000000000000401000000020002653100000000000000000600000000000000070000000000",
            "00000801020002673000000000000000770000000101000002673100000000000000780000000200",
            "01",
        ),
    );
    let (refused, failed) = (Ending::Refused("no".into()), Ending::Failed("lost".into()));
    assert_record_encoding(
        replica_record(false, RepeatSafety::Safe, Some(attempt(Some("/p/2"))), Some(refused)),
        concat!(
            "00026730000000000000007700000000000000050000010000000002000000000003938700000000",
            "0300000000000000040100000002000265310100042f702f32000000000000000600000000000000",
            "0700000000000000080200026e6f0200026730000000000000007700000001010000026731000000",
            "0000000078000000020001",
        ),
    );
    assert_record_encoding(
        replica_record(true, RepeatSafety::Unsafe, None, Some(failed)),
        concat!(
            "00026730000000000000007700000000000000050000010000000002030000000873656c65637420",
            "310000000003938700000000030000000000000004000300046c6f73740200026730000000000000",
            "0077000000010100000267310000000000000078000000020001",
        ),
    );
}

#[test]
fn the_reply_to_an_unknown_format_is_unchanged() {
    assert_eq!(unsupported_format_reply(), [1, 255]);
    assert_eq!(Message::decode(&[2, 1, 0]), Err(DecodeError::UnknownFormat(2)));
    assert_eq!(Message::decode(&[2, 255]), Err(DecodeError::PeerFormat(2)));
}

#[test]
fn the_bytes_of_stored_marks_are_unchanged() {
    let fence = |name, number, through_term| Fence { incarnation: incarnation(name, number), through_term };
    let fences = [fence("g1", 0x31, 1), fence("gate-2", 0x32, 2)];
    let bytes = encode_marks(&fences);
    let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(
        hex,
        concat!(
            "7677637573746f640100000002000267310000000000000031000000010006676174652d32000000",
            "000000003200000002f15b737a8ea2844924ff89cff21b79297d4f305d968cb2521a54e83173f09b",
            "75",
        )
    );
    assert_eq!(decode_marks(&bytes, 2), Ok(fences.to_vec()));
    assert_eq!(decode_marks(&bytes, 1), Err(StoredMarksError::Damaged), "more marks than allowed");
}
