//! Thrift messages in framed transport and the strict binary protocol, free of I/O.
//!
//! [`FrameDecoder`] cuts a stream of bytes into frames, [`Cursor`] reads the values of one, [`Writer`] writes them. Bounds
//! are checked on what the peer announces before memory is taken for it: a frame by its length alone, a string, list
//! or map by what is left of its frame, nesting by its depth.
//!
//! ```
//! use violetward_thrift::{Cursor, FrameDecoder, MessageType, Writer};
//!
//! let mut writer = Writer::message("alive", MessageType::Call, 7);
//! writer.bool(1, true);
//! writer.end_struct();
//! let mut frames = FrameDecoder::new(1 << 10);
//! frames.feed(&writer.into_frame());
//! let frame = frames.next_frame().unwrap().unwrap();
//! let mut cursor = Cursor::new(&frame);
//! let head = cursor.message_header().unwrap();
//! assert_eq!((head.method.as_str(), head.message_type, head.seqid), ("alive", MessageType::Call, 7));
//! assert_eq!(cursor.field_header().unwrap(), Some((Cursor::BOOL, 1)));
//! ```

use std::fmt;

/// Why bytes are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThriftError {
    /// It ends in the middle, or a length in it points beyond its end.
    Truncated,
    /// A frame that is longer than allowed.
    TooLarge,
    /// A length or count that is negative.
    NegativeLength,
    /// Not the strict binary protocol, or another version of it.
    UnsupportedVersion,
    /// A type that does not exist, or not the one expected.
    UnexpectedType,
    /// Text that is not UTF-8.
    InvalidUtf8,
    /// Nested deeper than allowed.
    NestedTooDeep,
}

impl fmt::Display for ThriftError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ThriftError::Truncated => "a message that ends in the middle",
            ThriftError::TooLarge => "a frame that is longer than allowed",
            ThriftError::NegativeLength => "a negative length",
            ThriftError::UnsupportedVersion => "not the strict binary protocol",
            ThriftError::UnexpectedType => "a value of another type than expected",
            ThriftError::InvalidUtf8 => "text that is not UTF-8",
            ThriftError::NestedTooDeep => "values nested too deep",
        })
    }
}

impl std::error::Error for ThriftError {}

/// What a message is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageType {
    /// A call that gets an answer.
    Call = 1,
    /// The answer to a call.
    Reply = 2,
    /// The answer to a call that could not be taken.
    Exception = 3,
    /// A call that gets none.
    Oneway = 4,
}

/// The head of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageHeader {
    /// The method.
    pub method: String,
    /// What the message is.
    pub message_type: MessageType,
    /// The number that its answer bears too.
    pub seqid: i32,
}

/// Cuts a stream into frames.
#[derive(Debug)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    at: usize,
    most: usize,
}

impl FrameDecoder {
    /// A decoder of frames of up to `most` bytes.
    pub fn new(most: usize) -> Self {
        FrameDecoder { bytes: Vec::new(), at: 0, most }
    }

    /// Takes what has come in. To keep memory bounded, call [`FrameDecoder::next_frame`] until it gives nothing before the next.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// A frame has begun to come in and is not whole.
    pub fn has_partial_frame(&self) -> bool {
        self.at < self.bytes.len()
    }

    /// The next whole frame, without its length; `None` until more comes in.
    ///
    /// # Errors
    /// [`ThriftError::NegativeLength`] or [`ThriftError::TooLarge`] as soon as the length is there; the stream is of no
    /// further use.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, ThriftError> {
        let rest = &self.bytes[self.at..];
        if let Some(&[a, b, c, d]) = rest.first_chunk::<4>() {
            let size = i32::from_be_bytes([a, b, c, d]);
            let size = usize::try_from(size).map_err(|_| ThriftError::NegativeLength)?;
            if size > self.most {
                return Err(ThriftError::TooLarge);
            }
            if let Some(frame) = rest.get(4..4 + size) {
                let frame = frame.to_vec();
                self.at += 4 + size;
                return Ok(Some(frame));
            }
        }
        // Only a part of a frame is left; an idle connection holds no buffer.
        if self.at == self.bytes.len() {
            (self.bytes, self.at) = (Vec::new(), 0);
        } else if self.at > 0 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        Ok(None)
    }
}

/// Reads the values of a frame.
#[derive(Debug, Clone)]
pub struct Cursor<'a> {
    rest: &'a [u8],
}

const STRICT: u32 = 0x8001_0000;
/// Nesting that [`Cursor::skip`] follows. Guards the stack against values made to overflow it.
const DEPTH: u32 = 16;

impl<'a> Cursor<'a> {
    /// The type of a truth value.
    pub const BOOL: u8 = 2;
    /// The type of a 32-bit number.
    pub const I32: u8 = 8;
    /// The type of a string or of bytes.
    pub const STRING: u8 = 11;
    /// The type of a struct.
    pub const STRUCT: u8 = 12;
    /// The type of a map.
    pub const MAP: u8 = 13;

    /// A cursor at the start of a frame.
    pub fn new(frame: &'a [u8]) -> Self {
        Cursor { rest: frame }
    }

    /// What has not been read yet.
    pub fn rest(&self) -> &'a [u8] {
        self.rest
    }

    fn take(&mut self, size: usize) -> Result<&'a [u8], ThriftError> {
        if size > self.rest.len() {
            return Err(ThriftError::Truncated);
        }
        let (taken, rest) = self.rest.split_at(size);
        self.rest = rest;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, ThriftError> {
        Ok(self.take(1)?[0])
    }

    /// A 32-bit number.
    ///
    /// # Errors
    /// If the frame ends before.
    pub fn i32(&mut self) -> Result<i32, ThriftError> {
        Ok(i32::from_be_bytes(self.take(4)?.try_into().expect("four bytes")))
    }

    /// A truth value.
    ///
    /// # Errors
    /// If the frame ends before.
    pub fn bool(&mut self) -> Result<bool, ThriftError> {
        Ok(self.byte()? != 0)
    }

    fn size(&mut self) -> Result<usize, ThriftError> {
        usize::try_from(self.i32()?).map_err(|_| ThriftError::NegativeLength)
    }

    /// Bytes with their length.
    ///
    /// # Errors
    /// If the length is negative or beyond the frame's end.
    pub fn binary(&mut self) -> Result<&'a [u8], ThriftError> {
        let size = self.size()?;
        self.take(size)
    }

    /// Text with its length.
    ///
    /// # Errors
    /// As for bytes, and if it is not UTF-8.
    pub fn string(&mut self) -> Result<&'a str, ThriftError> {
        std::str::from_utf8(self.binary()?).map_err(|_| ThriftError::InvalidUtf8)
    }

    /// The head of a message.
    ///
    /// # Errors
    /// If it is not of the strict binary protocol.
    pub fn message_header(&mut self) -> Result<MessageHeader, ThriftError> {
        let word = self.i32()? as u32;
        if word & 0xffff_ff00 != STRICT {
            return Err(ThriftError::UnsupportedVersion);
        }
        let message_type = match word & 0xff {
            1 => MessageType::Call,
            2 => MessageType::Reply,
            3 => MessageType::Exception,
            4 => MessageType::Oneway,
            _ => return Err(ThriftError::UnexpectedType),
        };
        let method = self.string()?.to_owned();
        Ok(MessageHeader { method, message_type, seqid: self.i32()? })
    }

    /// The type and number of a struct's next field; `None` at its end.
    ///
    /// # Errors
    /// If the frame ends before.
    pub fn field_header(&mut self) -> Result<Option<(u8, i16)>, ThriftError> {
        let kind = self.byte()?;
        if kind == 0 {
            return Ok(None);
        }
        Ok(Some((kind, i16::from_be_bytes(self.take(2)?.try_into().expect("two bytes")))))
    }

    /// A map of texts, in the order in which it came.
    ///
    /// # Errors
    /// If it holds something else, or its count lies.
    pub fn string_map(&mut self) -> Result<Vec<(&'a str, &'a str)>, ThriftError> {
        let (key, value, count) = (self.byte()?, self.byte()?, self.size()?);
        // Two lengths at least for each entry: a count that lies is seen before memory is taken for it.
        if count > self.rest.len() / 8 {
            return Err(ThriftError::Truncated);
        }
        if count > 0 && (key, value) != (Self::STRING, Self::STRING) {
            return Err(ThriftError::UnexpectedType);
        }
        let mut entries = Vec::with_capacity(count);
        for _ in 0..count {
            entries.push((self.string()?, self.string()?));
        }
        Ok(entries)
    }

    /// Passes over a value of a type.
    ///
    /// # Errors
    /// If it is no value of that type, or nested too deep.
    pub fn skip(&mut self, kind: u8) -> Result<(), ThriftError> {
        self.skip_within(kind, DEPTH)
    }

    fn skip_within(&mut self, kind: u8, depth: u32) -> Result<(), ThriftError> {
        let depth = depth.checked_sub(1).ok_or(ThriftError::NestedTooDeep)?;
        match kind {
            2 | 3 => self.take(1).map(drop),
            6 => self.take(2).map(drop),
            8 => self.take(4).map(drop),
            4 | 10 => self.take(8).map(drop),
            Self::STRING => self.binary().map(drop),
            Self::STRUCT => {
                while let Some((kind, _)) = self.field_header()? {
                    self.skip_within(kind, depth)?;
                }
                Ok(())
            }
            Self::MAP => {
                let (key, value, count) = (self.byte()?, self.byte()?, self.size()?);
                for _ in 0..self.count(count)? {
                    self.skip_within(key, depth)?;
                    self.skip_within(value, depth)?;
                }
                Ok(())
            }
            14 | 15 => {
                let (inner, count) = (self.byte()?, self.size()?);
                for _ in 0..self.count(count)? {
                    self.skip_within(inner, depth)?;
                }
                Ok(())
            }
            _ => Err(ThriftError::UnexpectedType),
        }
    }

    /// Every value has a byte at least: a count beyond what is left lies.
    fn count(&self, count: usize) -> Result<usize, ThriftError> {
        if count > self.rest.len() {
            return Err(ThriftError::Truncated);
        }
        Ok(count)
    }
}

/// Writes a message.
#[derive(Debug)]
pub struct Writer {
    out: Vec<u8>,
}

impl Writer {
    /// Begins a message; its struct of arguments or result follows.
    pub fn message(method: &str, message_type: MessageType, seqid: i32) -> Self {
        let mut writer = Writer { out: vec![0; 4] };
        writer.i32_value((STRICT | message_type as u32) as i32);
        writer.bytes_value(method.as_bytes());
        writer.i32_value(seqid);
        writer
    }

    fn i32_value(&mut self, n: i32) {
        self.out.extend_from_slice(&n.to_be_bytes());
    }

    fn bytes_value(&mut self, bytes: &[u8]) {
        self.i32_value(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
        self.out.extend_from_slice(bytes);
    }

    fn field_header(&mut self, kind: u8, number: i16) {
        self.out.push(kind);
        self.out.extend_from_slice(&number.to_be_bytes());
    }

    /// A field with a truth value.
    pub fn bool(&mut self, number: i16, value: bool) {
        self.field_header(Cursor::BOOL, number);
        self.out.push(u8::from(value));
    }

    /// A field with a 32-bit number.
    pub fn i32(&mut self, number: i16, value: i32) {
        self.field_header(Cursor::I32, number);
        self.i32_value(value);
    }

    /// A field with bytes or text.
    pub fn binary(&mut self, number: i16, value: &[u8]) {
        self.field_header(Cursor::STRING, number);
        self.bytes_value(value);
    }

    /// A field with a map of texts.
    pub fn string_map<'t>(
        &mut self,
        number: i16,
        entries: impl ExactSizeIterator<Item = (&'t str, &'t str)>,
    ) {
        self.field_header(Cursor::MAP, number);
        self.out.extend_from_slice(&[Cursor::STRING, Cursor::STRING]);
        self.i32_value(i32::try_from(entries.len()).unwrap_or(i32::MAX));
        for (name, value) in entries {
            self.bytes_value(name.as_bytes());
            self.bytes_value(value.as_bytes());
        }
    }

    /// A field with a struct; its own fields follow, then [`Writer::end_struct`].
    pub fn begin_struct(&mut self, number: i16) {
        self.field_header(Cursor::STRUCT, number);
    }

    /// Ends the struct begun last; the message's own at last.
    pub fn end_struct(&mut self) {
        self.out.push(0);
    }

    /// The message as a frame, its length ahead.
    pub fn into_frame(mut self) -> Vec<u8> {
        let size = u32::try_from(self.out.len() - 4).unwrap_or(u32::MAX);
        self.out[..4].copy_from_slice(&size.to_be_bytes());
        self.out
    }
}
