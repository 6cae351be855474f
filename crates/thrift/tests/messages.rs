//! Frames are decoded however the stream is split, values agree with an independent codec, and false lengths
//! are rejected before memory is allocated.

use proptest::prelude::*;
use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TStructIdentifier, TType,
};
use violetward_thrift::{Cursor, FrameDecoder, MessageType, ThriftError, Writer};

/// A `dispatch` call with sequence number 5, fields {"id": "a"} and body "q", encoded by hand from the
/// specification.
const HAND_ENCODED_CALL: &[u8] = &[
    0, 0, 0, 49, 0x80, 1, 0, 1, 0, 0, 0, 8, b'd', b'i', b's', b'p', b'a', b't', b'c', b'h', 0, 0, 0, 5, 13,
    0, 1, 11, 11, 0, 0, 0, 1, 0, 0, 0, 2, b'i', b'd', 0, 0, 0, 1, b'a', 11, 0, 2, 0, 0, 0, 1, b'q', 0,
];

/// The frame of a call, as this crate encodes it.
fn encode(name: &str, seqid: i32, fields: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut writer = Writer::message(name, MessageType::Call, seqid);
    writer.string_map(1, fields.iter().map(|(name, value)| (name.as_str(), value.as_str())));
    writer.binary(2, body);
    writer.bool(3, true);
    writer.i32(4, -7);
    writer.end_struct();
    writer.into_frame()
}

/// The message of the same call without the frame length, as the `thrift` crate encodes it.
fn encode_with_reference(name: &str, seqid: i32, fields: &[(String, String)], body: &[u8]) -> Vec<u8> {
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
    fn encoding_agrees_with_the_reference_codec(
        name in "[a-z]{1,12}", seqid in any::<i32>(),
        fields in proptest::collection::vec(("\\PC{0,9}", "\\PC{0,9}"), 0..6),
        body in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        let frame = encode(&name, seqid, &fields, &body);
        prop_assert_eq!(&frame[4..], &encode_with_reference(&name, seqid, &fields, &body)[..]);
        let mut input = TBinaryInputProtocol::new(&frame[4..], true);
        let header = input.read_message_begin().unwrap();
        prop_assert_eq!((header.name, header.sequence_number), (name, seqid));
        let mut cursor = Cursor::new(&frame[4..]);
        cursor.message_header().unwrap();
        prop_assert_eq!(cursor.field_header().unwrap(), Some((Cursor::MAP, 1)));
        let entries = cursor.string_map().unwrap();
        let expected = fields.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        prop_assert!(entries.iter().copied().eq(expected));
        cursor.field_header().unwrap();
        prop_assert_eq!(cursor.binary().unwrap(), &body[..]);
        let mut skipping = cursor.clone();
        while let Some((field_type, _)) = skipping.field_header().unwrap() {
            skipping.skip(field_type).unwrap();
        }
        prop_assert!(skipping.rest().is_empty());
    }

    #[test]
    fn frames_are_decoded_from_any_chunks(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..8),
        chunk_bytes in 1usize..40,
    ) {
        let bytes: Vec<u8> = bodies.iter().flat_map(|body| encode("x", 1, &[], body)).collect();
        let mut decoder = FrameDecoder::new(1 << 10);
        let mut received = 0;
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.feed(chunk);
            while let Some(frame) = decoder.next_frame().unwrap() {
                prop_assert_eq!(&frame[..], &encode("x", 1, &[], &bodies[received])[4..]);
                received += 1;
            }
        }
        prop_assert_eq!(received, bodies.len());
        prop_assert!(!decoder.has_partial_frame());
    }

    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        type_code in any::<u8>(),
    ) {
        let mut cursor = Cursor::new(&bytes);
        cursor.message_header().ok();
        while let Ok(Some((field_type, _))) = cursor.field_header() {
            if cursor.skip(field_type).is_err() {
                break;
            }
        }
        Cursor::new(&bytes).skip(type_code).ok();
        Cursor::new(&bytes).string_map().ok();
    }
}

#[test]
fn a_hand_encoded_call_is_decoded() {
    let mut decoder = FrameDecoder::new(100);
    decoder.feed(HAND_ENCODED_CALL);
    let frame = decoder.next_frame().unwrap().unwrap();
    let mut cursor = Cursor::new(&frame);
    let header = cursor.message_header().unwrap();
    assert_eq!(
        (header.method.as_str(), header.message_type, header.seqid),
        ("dispatch", MessageType::Call, 5)
    );
    assert_eq!(cursor.field_header().unwrap(), Some((Cursor::MAP, 1)));
    assert_eq!(cursor.string_map().unwrap(), [("id", "a")]);
    assert_eq!(cursor.field_header().unwrap(), Some((Cursor::STRING, 2)));
    assert_eq!(cursor.binary().unwrap(), b"q");
    assert_eq!(cursor.field_header().unwrap(), None);
}

#[test]
fn malformed_lengths_types_and_versions_are_rejected() {
    let decode_length = |size: i32| {
        let mut decoder = FrameDecoder::new(1 << 10);
        decoder.feed(&size.to_be_bytes());
        decoder.next_frame()
    };
    assert_eq!(decode_length(-1), Err(ThriftError::NegativeLength));
    assert_eq!(decode_length(60 << 20), Err(ThriftError::TooLarge));
    assert_eq!(decode_length(i32::MAX), Err(ThriftError::TooLarge));
    assert_eq!(decode_length(1 << 10), Ok(None));
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

/// Guards against buffers that keep the size of a large read while a small rest is awaited, and against such
/// that grow beyond the frame that is received.
#[test]
fn the_buffer_of_an_incomplete_frame_is_at_most_twice_what_was_received() {
    const MAX_FRAME_BYTES: usize = 64 << 10;
    let whole = Writer::message("alive", MessageType::Call, 1).into_frame();
    let frame = [&(MAX_FRAME_BYTES as i32).to_be_bytes()[..], &vec![0; MAX_FRAME_BYTES - 1]].concat();
    for chunk_bytes in [1, 100, 4_000, 40_000] {
        let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
        decoder.feed(&whole.repeat(1_000));
        decoder.feed(&frame[..3]);
        while decoder.next_frame().unwrap().is_some() {}
        let mut received = 3;
        assert!(decoder.allocated_bytes() <= 2 * received, "{} bytes", decoder.allocated_bytes());
        for chunk in frame[3..].chunks(chunk_bytes) {
            decoder.feed(chunk);
            received += chunk.len();
            assert_eq!(decoder.next_frame(), Ok(None));
            let allocated = decoder.allocated_bytes();
            assert!(allocated <= (2 * received).min(frame.len() + 1), "{allocated} bytes for {received}");
        }
    }
}
