//! Frames come whole whatever the portions, values agree with an independent codec, and lies cost nothing.

use proptest::prelude::*;
use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TStructIdentifier, TType,
};
use violetward_thrift::{Cursor, FrameDecoder, MessageType, ThriftError, Writer};

/// `dispatch` with number 5 and fields {"id": "a"}, written down by hand from the published format.
const BY_HAND: &[u8] = &[
    0, 0, 0, 49, 0x80, 1, 0, 1, 0, 0, 0, 8, b'd', b'i', b's', b'p', b'a', b't', b'c', b'h', 0, 0, 0, 5, 13,
    0, 1, 11, 11, 0, 0, 0, 1, 0, 0, 0, 2, b'i', b'd', 0, 0, 0, 1, b'a', 11, 0, 2, 0, 0, 0, 1, b'q', 0,
];

fn ours(name: &str, seqid: i32, fields: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut writer = Writer::message(name, MessageType::Call, seqid);
    writer.string_map(1, fields.iter().map(|(n, v)| (n.as_str(), v.as_str())));
    writer.binary(2, body);
    writer.bool(3, true);
    writer.i32(4, -7);
    writer.end_struct();
    writer.into_frame()
}

fn theirs(name: &str, seqid: i32, fields: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut out = TBinaryOutputProtocol::new(&mut bytes, true);
    out.write_message_begin(&TMessageIdentifier::new(name, TMessageType::Call, seqid)).unwrap();
    out.write_struct_begin(&TStructIdentifier::new("args")).unwrap();
    out.write_field_begin(&TFieldIdentifier::new("fields", TType::Map, 1)).unwrap();
    out.write_map_begin(&TMapIdentifier::new(TType::String, TType::String, fields.len() as i32)).unwrap();
    for (name, value) in fields {
        out.write_string(name).unwrap();
        out.write_string(value).unwrap();
    }
    out.write_field_begin(&TFieldIdentifier::new("body", TType::String, 2)).unwrap();
    out.write_bytes(body).unwrap();
    out.write_field_begin(&TFieldIdentifier::new("unused", TType::Bool, 3)).unwrap();
    out.write_bool(true).unwrap();
    out.write_field_begin(&TFieldIdentifier::new("n", TType::I32, 4)).unwrap();
    out.write_i32(-7).unwrap();
    out.write_field_stop().unwrap();
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn both_codecs_write_the_same(
        name in "[a-z]{1,12}", seqid in any::<i32>(),
        fields in proptest::collection::vec(("\\PC{0,9}", "\\PC{0,9}"), 0..6),
        body in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        let frame = ours(&name, seqid, &fields, &body);
        prop_assert_eq!(&frame[4..], &theirs(&name, seqid, &fields, &body)[..]);
        let mut input = TBinaryInputProtocol::new(&frame[4..], true);
        let head = input.read_message_begin().unwrap();
        prop_assert_eq!((head.name, head.sequence_number), (name, seqid));
        let mut cursor = Cursor::new(&frame[4..]);
        cursor.message_header().unwrap();
        prop_assert_eq!(cursor.field_header().unwrap(), Some((Cursor::MAP, 1)));
        let read = cursor.string_map().unwrap();
        prop_assert!(read.iter().copied().eq(fields.iter().map(|(n, v)| (n.as_str(), v.as_str()))));
        cursor.field_header().unwrap();
        prop_assert_eq!(cursor.binary().unwrap(), &body[..]);
        let mut skipping = cursor.clone();
        while let Some((kind, _)) = skipping.field_header().unwrap() {
            skipping.skip(kind).unwrap();
        }
        prop_assert!(skipping.rest().is_empty());
    }

    #[test]
    fn portions_do_not_matter(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..8),
        size in 1usize..40,
    ) {
        let bytes: Vec<u8> = bodies.iter().flat_map(|b| ours("x", 1, &[], b)).collect();
        let mut frames = FrameDecoder::new(1 << 10);
        let mut got = 0;
        for portion in bytes.chunks(size) {
            frames.feed(portion);
            while let Some(frame) = frames.next_frame().unwrap() {
                prop_assert_eq!(&frame[..], &ours("x", 1, &[], &bodies[got])[4..]);
                got += 1;
            }
        }
        prop_assert_eq!(got, bodies.len());
        prop_assert!(!frames.has_partial_frame());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), kind in any::<u8>()) {
        let mut cursor = Cursor::new(&bytes);
        cursor.message_header().ok();
        while let Ok(Some((kind, _))) = cursor.field_header() {
            if cursor.skip(kind).is_err() {
                break;
            }
        }
        Cursor::new(&bytes).skip(kind).ok();
        Cursor::new(&bytes).string_map().ok();
    }
}

#[test]
fn known_bytes_are_read() {
    let mut frames = FrameDecoder::new(100);
    frames.feed(BY_HAND);
    let frame = frames.next_frame().unwrap().unwrap();
    let mut cursor = Cursor::new(&frame);
    let head = cursor.message_header().unwrap();
    assert_eq!((head.method.as_str(), head.message_type, head.seqid), ("dispatch", MessageType::Call, 5));
    assert_eq!(cursor.field_header().unwrap(), Some((Cursor::MAP, 1)));
    assert_eq!(cursor.string_map().unwrap(), [("id", "a")]);
    assert_eq!(cursor.field_header().unwrap(), Some((Cursor::STRING, 2)));
    assert_eq!(cursor.binary().unwrap(), b"q");
    assert_eq!(cursor.field_header().unwrap(), None);
}

#[test]
fn lies_are_seen_before_memory_is_taken() {
    let frame = |size: i32| {
        let mut frames = FrameDecoder::new(1 << 10);
        frames.feed(&size.to_be_bytes());
        frames.next_frame()
    };
    assert_eq!(frame(-1), Err(ThriftError::NegativeLength));
    assert_eq!(frame(60 << 20), Err(ThriftError::TooLarge));
    assert_eq!(frame(i32::MAX), Err(ThriftError::TooLarge));
    assert_eq!(frame(1 << 10), Ok(None));
    assert_eq!(Cursor::new(&[0x7f, 0xff, 0xff, 0xff, 1]).binary(), Err(ThriftError::Truncated));
    assert_eq!(Cursor::new(&[0xff, 0xff, 0xff, 0xff, 1]).binary(), Err(ThriftError::NegativeLength));
    assert_eq!(Cursor::new(&[11, 11, 0x7f, 0xff, 0xff, 0xff]).string_map(), Err(ThriftError::Truncated));
    assert_eq!(
        Cursor::new(&[8, 8, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 1]).string_map(),
        Err(ThriftError::UnexpectedType)
    );
    assert_eq!(Cursor::new(&[2, 0x7f, 0xff, 0xff, 0xff]).skip(15), Err(ThriftError::Truncated));
    assert_eq!(Cursor::new(&[12, 0, 1].repeat(100)).skip(12), Err(ThriftError::NestedTooDeep));
    assert_eq!(Cursor::new(&[0, 0, 0, 5, 0, 0, 0, 1]).message_header(), Err(ThriftError::UnsupportedVersion));
}
