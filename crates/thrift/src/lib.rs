//! Thrift messages in framed transport and the strict binary protocol, without I/O.
//!
//! [`FrameDecoder`] splits a stream of bytes into frames, [`Cursor`] reads the values of a frame, and
//! [`Writer`] writes them. Lengths that the peer announces are checked before memory is allocated for them:
//! the length of a frame against the limit, and that of a string, list or map against what is left of the
//! frame. Nesting is limited.
//!
//! ```
//! use violetward_thrift::{Cursor, FrameDecoder, MessageType, Writer};
//!
//! let mut writer = Writer::message("alive", MessageType::Call, 7);
//! writer.bool(1, true);
//! writer.end_struct();
//! let mut decoder = FrameDecoder::new(1 << 10);
//! decoder.feed(&writer.into_frame());
//! let frame = decoder.next_frame().unwrap().unwrap();
//! let mut cursor = Cursor::new(&frame);
//! let header = cursor.message_header().unwrap();
//! assert_eq!((header.method.as_str(), header.message_type, header.seqid), ("alive", MessageType::Call, 7));
//! assert_eq!(cursor.field_header().unwrap(), Some((Cursor::BOOL, 1)));
//! ```

use std::fmt;

/// Why a message cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThriftError {
    /// The message ends within a value, or a length in it exceeds what is left of it.
    Truncated,
    /// A frame exceeds the length limit.
    TooLarge,
    /// A length or count is negative.
    NegativeLength,
    /// The message is not in version 1 of the strict binary protocol.
    UnsupportedVersion,
    /// A type code is unknown or not the expected one.
    UnexpectedType,
    /// A string is not valid UTF-8.
    InvalidUtf8,
    /// Values are nested deeper than allowed.
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

/// The type of a message, with its number in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageType {
    /// A call that expects a reply.
    Call = 1,
    /// The reply to a call.
    Reply = 2,
    /// The reply to a call that could not be handled.
    Exception = 3,
    /// A call without a reply.
    Oneway = 4,
}

/// The header of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageHeader {
    /// The name of the method called.
    pub method: String,
    /// The type of the message.
    pub message_type: MessageType,
    /// The sequence number, which the reply repeats.
    pub seqid: i32,
}

/// Splits a stream of bytes into frames.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes of the buffer that have been decoded.
    consumed: usize,
    max_frame_bytes: usize,
}

impl FrameDecoder {
    /// A decoder of frames of up to `max_frame_bytes`.
    pub fn new(max_frame_bytes: usize) -> Self {
        FrameDecoder { buffer: Vec::new(), consumed: 0, max_frame_bytes }
    }

    /// Adds received bytes. To bound the memory used, call [`FrameDecoder::next_frame`] until it returns
    /// `None` before adding more.
    pub fn feed(&mut self, bytes: &[u8]) {
        let needed = self.buffer.len() + bytes.len();
        if needed > self.buffer.capacity() {
            // Doubles as a vector does, but not beyond the frame that is being received.
            let capacity = needed.max((2 * self.buffer.len()).min(self.awaited_bytes()));
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The size of the frame at the start of the buffer with its length; 0 if the length has not been received
    /// or exceeds the limit.
    fn awaited_bytes(&self) -> usize {
        let length = self.buffer.first_chunk::<LENGTH_BYTES>();
        let size = length.and_then(|&length| usize::try_from(i32::from_be_bytes(length)).ok());
        size.filter(|&size| size <= self.max_frame_bytes).map_or(0, |size| LENGTH_BYTES + size)
    }

    /// The memory that it has allocated, in bytes: at most twice what has been received and not returned, once
    /// [`FrameDecoder::next_frame`] has returned `None`.
    pub fn allocated_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether part of a frame has been received that has not been returned.
    pub fn has_partial_frame(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// The next complete frame, without its length; `None` until more bytes are received.
    ///
    /// # Errors
    /// [`ThriftError::NegativeLength`] or [`ThriftError::TooLarge`] as soon as the length has been received.
    /// The stream cannot be used any further.
    pub fn next_frame(&mut self) -> Result<Option<Vec<u8>>, ThriftError> {
        let rest = &self.buffer[self.consumed..];
        if let Some(&length) = rest.first_chunk::<LENGTH_BYTES>() {
            let size = i32::from_be_bytes(length);
            let size = usize::try_from(size).map_err(|_| ThriftError::NegativeLength)?;
            if size > self.max_frame_bytes {
                return Err(ThriftError::TooLarge);
            }
            if let Some(frame) = rest.get(LENGTH_BYTES..LENGTH_BYTES + size) {
                let frame = frame.to_vec();
                self.consumed += LENGTH_BYTES + size;
                return Ok(Some(frame));
            }
        }
        // Only part of a frame is left, or nothing. The rest of the buffer is freed: many connections may wait
        // for the rest of a frame.
        if self.consumed > 0 {
            (self.buffer, self.consumed) = (self.buffer[self.consumed..].to_vec(), 0);
        }
        Ok(None)
    }
}

/// Reads the values of a frame.
#[derive(Debug, Clone)]
pub struct Cursor<'a> {
    rest: &'a [u8],
}

/// The length ahead of each frame.
const LENGTH_BYTES: usize = 4;
/// The version bits of a message in version 1 of the strict binary protocol.
const STRICT_VERSION_1: u32 = 0x8001_0000;
const VERSION_MASK: u32 = 0xffff_ff00;
/// Nesting that [`Cursor::skip`] accepts; deeper values could overflow the stack.
const MAX_DEPTH: u32 = 16;
/// The least size of a map entry of two strings: their lengths.
const MIN_ENTRY_BYTES: usize = 8;

// Type codes of values that are only skipped.
const BYTE: u8 = 3;
const DOUBLE: u8 = 4;
const I16: u8 = 6;
const I64: u8 = 10;
const SET: u8 = 14;
const LIST: u8 = 15;
/// The type code that ends the fields of a struct.
const STOP: u8 = 0;

impl<'a> Cursor<'a> {
    /// The type code of a boolean.
    pub const BOOL: u8 = 2;
    /// The type code of a 32-bit integer.
    pub const I32: u8 = 8;
    /// The type code of a string or of binary data.
    pub const STRING: u8 = 11;
    /// The type code of a struct.
    pub const STRUCT: u8 = 12;
    /// The type code of a map.
    pub const MAP: u8 = 13;

    /// A cursor at the start of a frame.
    pub fn new(frame: &'a [u8]) -> Self {
        Cursor { rest: frame }
    }

    /// The bytes of the frame that have not been read.
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

    /// Reads a 32-bit integer.
    ///
    /// # Errors
    /// If the frame ends within the value.
    pub fn i32(&mut self) -> Result<i32, ThriftError> {
        Ok(i32::from_be_bytes(self.take(4)?.try_into().expect("four bytes")))
    }

    /// Reads a boolean.
    ///
    /// # Errors
    /// If the frame ends within the value.
    pub fn bool(&mut self) -> Result<bool, ThriftError> {
        Ok(self.byte()? != 0)
    }

    /// Reads a length or a count.
    fn length(&mut self) -> Result<usize, ThriftError> {
        usize::try_from(self.i32()?).map_err(|_| ThriftError::NegativeLength)
    }

    /// Reads binary data and its length.
    ///
    /// # Errors
    /// If the length is negative or exceeds the frame.
    pub fn binary(&mut self) -> Result<&'a [u8], ThriftError> {
        let length = self.length()?;
        self.take(length)
    }

    /// Reads a string and its length.
    ///
    /// # Errors
    /// If the length is negative or exceeds the frame, or the string is not UTF-8.
    pub fn string(&mut self) -> Result<&'a str, ThriftError> {
        std::str::from_utf8(self.binary()?).map_err(|_| ThriftError::InvalidUtf8)
    }

    /// Reads the header of a message.
    ///
    /// # Errors
    /// If it is malformed or not of the strict binary protocol.
    pub fn message_header(&mut self) -> Result<MessageHeader, ThriftError> {
        let version_and_type = self.i32()? as u32;
        if version_and_type & VERSION_MASK != STRICT_VERSION_1 {
            return Err(ThriftError::UnsupportedVersion);
        }
        let message_type = match version_and_type & !VERSION_MASK {
            1 => MessageType::Call,
            2 => MessageType::Reply,
            3 => MessageType::Exception,
            4 => MessageType::Oneway,
            _ => return Err(ThriftError::UnexpectedType),
        };
        let method = self.string()?.to_owned();
        Ok(MessageHeader { method, message_type, seqid: self.i32()? })
    }

    /// Reads the type code and the number of a struct's next field; `None` at the end of the struct.
    ///
    /// # Errors
    /// If the frame ends before the end of the struct.
    pub fn field_header(&mut self) -> Result<Option<(u8, i16)>, ThriftError> {
        let type_code = self.byte()?;
        if type_code == STOP {
            return Ok(None);
        }
        Ok(Some((type_code, i16::from_be_bytes(self.take(2)?.try_into().expect("two bytes")))))
    }

    /// Reads a map from strings to strings, in the order of its entries in the frame.
    ///
    /// # Errors
    /// If the map is malformed or its keys or values are not strings.
    pub fn string_map(&mut self) -> Result<Vec<(&'a str, &'a str)>, ThriftError> {
        let (key, value, count) = (self.byte()?, self.byte()?, self.length()?);
        // Detects a false count before memory is allocated for it.
        if count > self.rest.len() / MIN_ENTRY_BYTES {
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

    /// Skips a value.
    ///
    /// # Errors
    /// If the type code is unknown, or the value is malformed or nested too deep.
    pub fn skip(&mut self, type_code: u8) -> Result<(), ThriftError> {
        self.skip_nested(type_code, MAX_DEPTH)
    }

    fn skip_nested(&mut self, type_code: u8, depth: u32) -> Result<(), ThriftError> {
        let depth = depth.checked_sub(1).ok_or(ThriftError::NestedTooDeep)?;
        match type_code {
            Self::BOOL | BYTE => self.take(1).map(drop),
            I16 => self.take(2).map(drop),
            Self::I32 => self.take(4).map(drop),
            DOUBLE | I64 => self.take(8).map(drop),
            Self::STRING => self.binary().map(drop),
            Self::STRUCT => {
                while let Some((field_type, _)) = self.field_header()? {
                    self.skip_nested(field_type, depth)?;
                }
                Ok(())
            }
            Self::MAP => {
                let (key, value, count) = (self.byte()?, self.byte()?, self.length()?);
                for _ in 0..self.check_count(count)? {
                    self.skip_nested(key, depth)?;
                    self.skip_nested(value, depth)?;
                }
                Ok(())
            }
            SET | LIST => {
                let (element, count) = (self.byte()?, self.length()?);
                for _ in 0..self.check_count(count)? {
                    self.skip_nested(element, depth)?;
                }
                Ok(())
            }
            _ => Err(ThriftError::UnexpectedType),
        }
    }

    /// Rejects a count that exceeds the bytes left in the frame: every value takes at least one.
    fn check_count(&self, count: usize) -> Result<usize, ThriftError> {
        if count > self.rest.len() {
            return Err(ThriftError::Truncated);
        }
        Ok(count)
    }
}

/// Writes a message as a frame.
#[derive(Debug)]
pub struct Writer {
    out: Vec<u8>,
}

impl Writer {
    /// Begins a message. The fields of its arguments or result follow, then [`Writer::end_struct`].
    pub fn message(method: &str, message_type: MessageType, seqid: i32) -> Self {
        let mut writer = Writer { out: vec![0; LENGTH_BYTES] };
        writer.i32_value((STRICT_VERSION_1 | message_type as u32) as i32);
        writer.binary_value(method.as_bytes());
        writer.i32_value(seqid);
        writer
    }

    fn i32_value(&mut self, value: i32) {
        self.out.extend_from_slice(&value.to_be_bytes());
    }

    fn binary_value(&mut self, bytes: &[u8]) {
        self.i32_value(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
        self.out.extend_from_slice(bytes);
    }

    fn field_header(&mut self, type_code: u8, number: i16) {
        self.out.push(type_code);
        self.out.extend_from_slice(&number.to_be_bytes());
    }

    /// Writes a boolean field.
    pub fn bool(&mut self, number: i16, value: bool) {
        self.field_header(Cursor::BOOL, number);
        self.out.push(u8::from(value));
    }

    /// Writes a field of a 32-bit integer.
    pub fn i32(&mut self, number: i16, value: i32) {
        self.field_header(Cursor::I32, number);
        self.i32_value(value);
    }

    /// Writes a field of a string or of binary data.
    pub fn binary(&mut self, number: i16, value: &[u8]) {
        self.field_header(Cursor::STRING, number);
        self.binary_value(value);
    }

    /// Writes a field of a map from strings to strings.
    pub fn string_map<'e>(
        &mut self,
        number: i16,
        entries: impl ExactSizeIterator<Item = (&'e str, &'e str)>,
    ) {
        self.field_header(Cursor::MAP, number);
        self.out.extend_from_slice(&[Cursor::STRING, Cursor::STRING]);
        self.i32_value(i32::try_from(entries.len()).unwrap_or(i32::MAX));
        for (key, value) in entries {
            self.binary_value(key.as_bytes());
            self.binary_value(value.as_bytes());
        }
    }

    /// Begins a field of a struct. The struct's fields follow, then [`Writer::end_struct`].
    pub fn begin_struct(&mut self, number: i16) {
        self.field_header(Cursor::STRUCT, number);
    }

    /// Ends the innermost struct that is open; the last call ends that of the message.
    pub fn end_struct(&mut self) {
        self.out.push(STOP);
    }

    /// Returns the message as a frame that begins with its length.
    pub fn into_frame(mut self) -> Vec<u8> {
        let size = u32::try_from(self.out.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
        self.out[..LENGTH_BYTES].copy_from_slice(&size.to_be_bytes());
        self.out
    }
}
