//! Arrays come whole whatever the portions; what is no array costs the connection, and little memory before that.

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
    fn portions_do_not_matter(
        arrays in proptest::collection::vec(
            proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..6), 0..6),
        sizes in proptest::collection::vec(1usize..30, 1..40),
    ) {
        let mut bytes = Vec::new();
        for array in &arrays {
            write_array(&mut bytes, &array.iter().map(Vec::as_slice).collect::<Vec<_>>());
        }
        let mut reader = Reader::new(Limits::default());
        let (mut got, mut rest, mut turn) = (Vec::new(), &bytes[..], 0);
        while !rest.is_empty() {
            let size = sizes[turn % sizes.len()].min(rest.len());
            reader.feed(&rest[..size]);
            got.extend(read_all(&mut reader).unwrap());
            (rest, turn) = (&rest[size..], turn + 1);
        }
        prop_assert_eq!(got, arrays);
        prop_assert!(reader.is_at_array_boundary());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = Reader::new(Limits { max_strings: 3, max_string_bytes: 50, max_total_bytes: 60 });
        for portion in bytes.chunks(7) {
            reader.feed(portion);
            if read_all(&mut reader).is_err() {
                prop_assert!(reader.next_array().is_err(), "a broken stream stays broken");
                break;
            }
        }
    }
}

#[test]
fn what_is_no_array_is_told_as_soon_as_it_shows() {
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
fn strings_together_are_bounded() {
    let mut reader = Reader::new(Limits { max_strings: 4, max_string_bytes: 10, max_total_bytes: 15 });
    let mut bytes = Vec::new();
    write_array(&mut bytes, &[b"0123456789", b"0123456789"]);
    reader.feed(&bytes);
    assert_eq!(read_all(&mut reader), Err(RespError::TooLarge));
}
