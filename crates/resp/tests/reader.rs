//! Arrays are decoded however the stream is split; malformed or oversized ones are errors as soon as they can
//! be seen.

use proptest::prelude::*;
use violetward_resp::{write_array, Limits, Reader, RespError};

fn read_all(reader: &mut Reader) -> Result<Vec<Vec<Vec<u8>>>, RespError> {
    let mut all = Vec::new();
    while let Some(array) = reader.next_array()? {
        all.push(array);
    }
    Ok(all)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arrays_are_decoded_from_any_chunks(
        arrays in proptest::collection::vec(
            proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..6), 0..6),
        chunk_sizes in proptest::collection::vec(1usize..30, 1..40),
    ) {
        let mut bytes = Vec::new();
        for array in &arrays {
            write_array(&mut bytes, &array.iter().map(Vec::as_slice).collect::<Vec<_>>());
        }
        let mut reader = Reader::new(Limits::default());
        let (mut received, mut rest, mut chunk) = (Vec::new(), &bytes[..], 0);
        while !rest.is_empty() {
            let size = chunk_sizes[chunk % chunk_sizes.len()].min(rest.len());
            reader.feed(&rest[..size]);
            received.extend(read_all(&mut reader).unwrap());
            (rest, chunk) = (&rest[size..], chunk + 1);
        }
        prop_assert_eq!(received, arrays);
        prop_assert!(reader.is_at_array_boundary());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = Reader::new(Limits { max_strings: 3, max_string_bytes: 50, max_total_bytes: 60 });
        for chunk in bytes.chunks(7) {
            reader.feed(chunk);
            if read_all(&mut reader).is_err() {
                prop_assert!(reader.next_array().is_err(), "an error is returned again by every later call");
                break;
            }
        }
    }
}

#[test]
fn malformed_bytes_are_rejected_as_early_as_possible() {
    let cases: [(&[u8], RespError); 10] = [
        (b"+OK\r\n", RespError::UnexpectedType),
        (b"*1\r\n+x", RespError::UnexpectedType),
        (b"*-1\r\n", RespError::InvalidLength),
        (b"*1\r\n$-1\r\n", RespError::InvalidLength),
        (b"*\r\n", RespError::InvalidLength),
        (b"*11111111111111111111", RespError::UnterminatedLine),
        (b"*1\r\n$3000000000\r\n", RespError::TooLarge),
        (b"*17\r\n", RespError::TooLarge),
        (b"*1\r\n$2\r\nabc", RespError::MissingTerminator),
        (b"*1\rx", RespError::UnterminatedLine),
    ];
    for (bytes, error) in cases {
        let mut reader = Reader::new(Limits::default());
        reader.feed(bytes);
        assert_eq!(read_all(&mut reader), Err(error), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn the_total_length_of_an_array_is_limited() {
    let mut reader = Reader::new(Limits { max_strings: 4, max_string_bytes: 10, max_total_bytes: 15 });
    let mut bytes = Vec::new();
    write_array(&mut bytes, &[b"0123456789", b"0123456789"]);
    reader.feed(&bytes);
    assert_eq!(read_all(&mut reader), Err(RespError::TooLarge));
}

/// Guards against buffers that keep the size of a large read while the rest of an array is awaited.
#[test]
fn the_buffer_of_an_incomplete_array_is_at_most_about_twice_what_was_received() {
    const SMALL_ALLOCATION_BYTES: usize = 64;
    let mut array = Vec::new();
    write_array(&mut array, &[b"0123456789abcdef", b"ok", &[b'x'; 6_000]]);
    let mut reader = Reader::new(Limits::default());
    reader.feed(&array.repeat(10));
    reader.feed(&array[..40]);
    while reader.next_array().unwrap().is_some() {}
    let mut received = 40;
    for chunk in array[40..array.len() - 1].chunks(100) {
        assert!(reader.allocated_bytes() <= 2 * received + SMALL_ALLOCATION_BYTES, "for {received} bytes");
        reader.feed(chunk);
        received += chunk.len();
        assert_eq!(reader.next_array(), Ok(None));
    }
}
