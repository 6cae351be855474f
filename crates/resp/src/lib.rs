//! RESP arrays of bulk strings (the Redis serialization protocol, version 2), both ways, free of I/O.
//!
//! [`Reader`] takes bytes in any portions and gives whole arrays. Its bounds are checked on what the peer announces,
//! before anything is kept for it: a bulk string that is said to have gigabytes costs its connection at once.
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

/// Bounds of what a peer may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Strings of an array.
    pub max_strings: usize,
    /// Bytes of a string.
    pub max_string_bytes: usize,
    /// Bytes of an array's strings together.
    pub max_total_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_strings: 16, max_string_bytes: 64 << 10, max_total_bytes: 96 << 10 }
    }
}

/// Why bytes are no array of bulk strings. Nothing after them on the connection can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RespError {
    /// Something else than an array or a bulk string.
    UnexpectedType,
    /// A length that is no number, or is negative.
    InvalidLength,
    /// A line for a length that does not end.
    UnterminatedLine,
    /// More than the bounds allow.
    TooLarge,
    /// A string that does not end where its length says.
    MissingTerminator,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RespError::UnexpectedType => "neither an array nor a bulk string",
            RespError::InvalidLength => "a length that is no number or negative",
            RespError::UnterminatedLine => "a line that does not end",
            RespError::TooLarge => "more than is allowed",
            RespError::MissingTerminator => "a string that does not end where its length says",
        })
    }
}

impl std::error::Error for RespError {}

/// Bytes of the line that holds a length, its mark and end included. Guards against lines without end.
const LINE: usize = 16;

/// Reads arrays from a stream of bytes.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    bytes: Vec<u8>,
    at: usize,
    /// Strings of the array that has begun, and how many it has; `None` between two.
    begun: Option<(Vec<Vec<u8>>, usize)>,
    /// Bytes of the strings so far.
    held: usize,
    broken: Option<RespError>,
}

impl Reader {
    /// A reader with bounds.
    pub fn new(limits: Limits) -> Self {
        Reader { limits, bytes: Vec::new(), at: 0, begun: None, held: 0, broken: None }
    }

    /// Takes what has come in. To keep memory bounded, call [`Reader::next_array`] until it gives nothing before the next.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Nothing has come in that is not part of an array already given.
    pub fn is_at_array_boundary(&self) -> bool {
        self.begun.is_none() && self.at == self.bytes.len()
    }

    /// The next whole array; `None` until more comes in.
    ///
    /// # Errors
    /// See [`RespError`]; the same again from then on.
    pub fn next_array(&mut self) -> Result<Option<Vec<Vec<u8>>>, RespError> {
        if let Some(error) = self.broken {
            return Err(error);
        }
        let result = self.step();
        if let Err(error) = result {
            (self.bytes, self.at, self.begun) = (Vec::new(), 0, None);
            self.broken = Some(error);
        } else if matches!(result, Ok(None)) {
            // What is left is less than a string; an idle connection holds no buffer.
            if self.at == self.bytes.len() {
                (self.bytes, self.at) = (Vec::new(), 0);
            } else if self.at > 0 {
                self.bytes.drain(..self.at);
                self.at = 0;
            }
        }
        result
    }

    fn step(&mut self) -> Result<Option<Vec<Vec<u8>>>, RespError> {
        loop {
            let Some((strings, wanted)) = &mut self.begun else {
                let Some((count, after)) = length(&self.bytes[self.at..], b'*')? else { return Ok(None) };
                if count > self.limits.max_strings {
                    return Err(RespError::TooLarge);
                }
                self.at += after;
                if count == 0 {
                    return Ok(Some(Vec::new()));
                }
                (self.begun, self.held) = (Some((Vec::with_capacity(count), count)), 0);
                continue;
            };
            let rest = &self.bytes[self.at..];
            let Some((size, start)) = length(rest, b'$')? else { return Ok(None) };
            if size > self.limits.max_string_bytes || self.held + size > self.limits.max_total_bytes {
                return Err(RespError::TooLarge);
            }
            let end = start + size;
            if rest.get(end).is_some_and(|&b| b != b'\r') || rest.get(end + 1).is_some_and(|&b| b != b'\n') {
                return Err(RespError::MissingTerminator);
            }
            if rest.len() < end + 2 {
                return Ok(None);
            }
            strings.push(rest[start..end].to_vec());
            self.held += size;
            self.at += end + 2;
            if strings.len() == *wanted {
                return Ok(self.begun.take().map(|(strings, _)| strings));
            }
        }
    }
}

/// The length in a line that begins with `mark`, and where the line ends; `None` if it has not come in whole.
fn length(bytes: &[u8], mark: u8) -> Result<Option<(usize, usize)>, RespError> {
    match bytes.first() {
        None => return Ok(None),
        Some(&first) if first != mark => return Err(RespError::UnexpectedType),
        Some(_) => {}
    }
    let line = &bytes[..bytes.len().min(LINE)];
    let Some(end) = line.iter().position(|&b| b == b'\r') else {
        let digits = line[1..].iter().all(u8::is_ascii_digit);
        return match (digits, line.len() < LINE) {
            (false, _) => Err(RespError::InvalidLength),
            (true, false) => Err(RespError::UnterminatedLine),
            (true, true) => Ok(None),
        };
    };
    let digits = &line[1..end];
    let number = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let number = number.and_then(|d| d.parse().ok()).ok_or(RespError::InvalidLength)?;
    match bytes.get(end + 1) {
        None => Ok(None),
        Some(b'\n') => Ok(Some((number, end + 2))),
        Some(_) => Err(RespError::UnterminatedLine),
    }
}

/// Writes an array of bulk strings behind what `out` holds.
pub fn write_array(out: &mut Vec<u8>, strings: &[&[u8]]) {
    let number = |out: &mut Vec<u8>, mark: u8, n: usize| {
        out.push(mark);
        out.extend_from_slice(n.to_string().as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    number(out, b'*', strings.len());
    for string in strings {
        number(out, b'$', string.len());
        out.extend_from_slice(string);
        out.extend_from_slice(b"\r\n");
    }
}
