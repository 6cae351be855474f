//! Decodes and encodes arrays of bulk strings in RESP 2 (the Redis serialization protocol), without I/O.
//!
//! [`Reader`] accepts bytes in chunks of any size and returns complete arrays. Announced lengths are checked
//! against [`Limits`] before memory is allocated for them: a bulk string with an announced length of
//! gigabytes is an error at once.
//!
//! ```
//! use violetward_resp::{write_array, Limits, Reader};
//!
//! let mut bytes = Vec::new();
//! write_array(&mut bytes, &[b"alive", b"t1"]);
//! assert_eq!(bytes, b"*2\r\n$5\r\nalive\r\n$2\r\nt1\r\n");
//! let mut reader = Reader::new(Limits::default());
//! reader.feed(&bytes[..9]);
//! assert_eq!(reader.next_array(), Ok(None));
//! reader.feed(&bytes[9..]);
//! assert_eq!(reader.next_array(), Ok(Some(vec![b"alive".to_vec(), b"t1".to_vec()])));
//! ```

use std::fmt;

/// Limits of the arrays that a peer may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Strings in an array.
    pub max_strings: usize,
    /// Length of a string.
    pub max_string_bytes: usize,
    /// Length of all strings of an array together.
    pub max_total_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_strings: 16, max_string_bytes: 64 << 10, max_total_bytes: 96 << 10 }
    }
}

/// Why received bytes are not an array of bulk strings. The rest of the stream cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RespError {
    /// A value is of another type than an array or a bulk string.
    UnexpectedType,
    /// A length is negative or not a number.
    InvalidLength,
    /// The line of a length does not end in CR LF.
    UnterminatedLine,
    /// An array exceeds the limits.
    TooLarge,
    /// A string is not followed by CR LF.
    MissingTerminator,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RespError::UnexpectedType => "expected an array of bulk strings, got another type",
            RespError::InvalidLength => "a length is negative or not a number",
            RespError::UnterminatedLine => "the line of a length does not end in CR LF",
            RespError::TooLarge => "an array exceeds the size limits",
            RespError::MissingTerminator => "a string is not followed by CR LF",
        })
    }
}

impl std::error::Error for RespError {}

/// Longest line of a length, with its type byte and CR LF. Bounds the memory used for a line without an end.
const MAX_LENGTH_LINE_BYTES: usize = 16;

/// Decodes arrays from a stream of bytes.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: Vec<u8>,
    /// Bytes of the buffer that have been decoded.
    consumed: usize,
    /// The array being decoded; `None` between two arrays.
    partial: Option<PartialArray>,
    /// The first error; the stream cannot be decoded any further.
    error: Option<RespError>,
}

#[derive(Debug)]
struct PartialArray {
    strings: Vec<Vec<u8>>,
    /// The announced number of strings.
    count: usize,
    /// Bytes of the strings decoded so far.
    string_bytes: usize,
}

impl Reader {
    /// A reader of arrays within `limits`.
    pub fn new(limits: Limits) -> Self {
        Reader { limits, buffer: Vec::new(), consumed: 0, partial: None, error: None }
    }

    /// Adds received bytes. To bound the memory used, call [`Reader::next_array`] until it returns `None`
    /// before adding more.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether all bytes received belong to arrays that have been returned.
    pub fn is_at_array_boundary(&self) -> bool {
        self.partial.is_none() && self.consumed == self.buffer.len()
    }

    /// The memory that it has allocated, in bytes: at most about twice what has been received of an array that
    /// is not complete, once [`Reader::next_array`] has returned `None`.
    pub fn allocated_bytes(&self) -> usize {
        let strings = self.partial.iter().flat_map(|array| &array.strings);
        self.buffer.capacity() + strings.map(Vec::capacity).sum::<usize>()
    }

    /// The next complete array; `None` until more bytes are received.
    ///
    /// # Errors
    /// If the stream is malformed or exceeds the limits; every later call returns the same error.
    pub fn next_array(&mut self) -> Result<Option<Vec<Vec<u8>>>, RespError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let result = self.decode();
        if let Err(error) = result {
            (self.buffer, self.consumed, self.partial) = (Vec::new(), 0, None);
            self.error = Some(error);
        } else if matches!(result, Ok(None)) {
            // Only part of a string is left, or nothing. The rest of the buffer is freed: many connections may
            // wait for the rest of an array.
            if self.consumed > 0 {
                (self.buffer, self.consumed) = (self.buffer[self.consumed..].to_vec(), 0);
            }
        }
        result
    }

    fn decode(&mut self) -> Result<Option<Vec<Vec<u8>>>, RespError> {
        loop {
            let Some(array) = &mut self.partial else {
                let Some((count, line_end)) = decode_length(&self.buffer[self.consumed..], b'*')? else {
                    return Ok(None);
                };
                if count > self.limits.max_strings {
                    return Err(RespError::TooLarge);
                }
                self.consumed += line_end;
                if count == 0 {
                    return Ok(Some(Vec::new()));
                }
                self.partial =
                    Some(PartialArray { strings: Vec::with_capacity(count), count, string_bytes: 0 });
                continue;
            };
            let rest = &self.buffer[self.consumed..];
            let Some((length, start)) = decode_length(rest, b'$')? else { return Ok(None) };
            if length > self.limits.max_string_bytes
                || array.string_bytes + length > self.limits.max_total_bytes
            {
                return Err(RespError::TooLarge);
            }
            let end = start + length;
            if rest.get(end).is_some_and(|&b| b != b'\r') || rest.get(end + 1).is_some_and(|&b| b != b'\n') {
                return Err(RespError::MissingTerminator);
            }
            if rest.len() < end + 2 {
                return Ok(None);
            }
            array.strings.push(rest[start..end].to_vec());
            array.string_bytes += length;
            self.consumed += end + 2;
            if array.strings.len() == array.count {
                return Ok(self.partial.take().map(|array| array.strings));
            }
        }
    }
}

/// Decodes the length in a line that begins with `type_byte`, and returns it with the length of the line;
/// `None` if the line has not been received completely.
fn decode_length(bytes: &[u8], type_byte: u8) -> Result<Option<(usize, usize)>, RespError> {
    match bytes.first() {
        None => return Ok(None),
        Some(&first) if first != type_byte => return Err(RespError::UnexpectedType),
        Some(_) => {}
    }
    let line = &bytes[..bytes.len().min(MAX_LENGTH_LINE_BYTES)];
    let Some(end) = line.iter().position(|&b| b == b'\r') else {
        let all_digits = line[1..].iter().all(u8::is_ascii_digit);
        return match (all_digits, line.len() < MAX_LENGTH_LINE_BYTES) {
            (false, _) => Err(RespError::InvalidLength),
            (true, false) => Err(RespError::UnterminatedLine),
            (true, true) => Ok(None),
        };
    };
    let digits = &line[1..end];
    let digits = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let length = digits.and_then(|d| d.parse().ok()).ok_or(RespError::InvalidLength)?;
    match bytes.get(end + 1) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((length, end + 2))),
        Some(_) => Err(RespError::UnterminatedLine),
    }
}

/// Appends an array of bulk strings to `out`.
pub fn write_array(out: &mut Vec<u8>, strings: &[&[u8]]) {
    let write_length = |out: &mut Vec<u8>, type_byte: u8, length: usize| {
        out.push(type_byte);
        out.extend_from_slice(length.to_string().as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    write_length(out, b'*', strings.len());
    for string in strings {
        write_length(out, b'$', string.len());
        out.extend_from_slice(string);
        out.extend_from_slice(b"\r\n");
    }
}
