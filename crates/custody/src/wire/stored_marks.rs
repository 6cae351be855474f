//! The file format of a voter's marks: the fences that it must keep across restarts.
//!
//! `magic | format | count | fences | SHA-256 of all bytes before it`, of 8, 1, 4, any and 32 bytes.

use std::fmt;

use sha2::{Digest, Sha256};

use super::codec::{Decoder, Encoder};
use super::DecodeError;
use crate::Incarnation;

const MAGIC: &[u8; 8] = b"vwcustod";
const STORED_FORMAT: u8 = 1;
/// Size of the SHA-256 checksum at the end.
const CHECKSUM_BYTES: usize = 32;

/// A mark with which a voter fences an incarnation: it grants no lease to its terms up to `through_term`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fence {
    pub incarnation: Incarnation,
    pub through_term: u32,
}

/// Why the stored marks of a voter cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredMarksError {
    /// The file does not begin with the magic bytes of stored marks.
    Foreign,
    /// The file has this format, which this program does not support.
    Format(u8),
    /// The file is truncated or corrupted.
    Damaged,
}

impl fmt::Display for StoredMarksError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoredMarksError::Foreign => write!(f, "the stored file is not a list of fenced processes"),
            StoredMarksError::Format(n) => {
                write!(
                    f,
                    "the list of fenced processes has format {n}; this program supports only {STORED_FORMAT}"
                )
            }
            StoredMarksError::Damaged => write!(f, "the list of fenced processes is truncated or corrupted"),
        }
    }
}

impl std::error::Error for StoredMarksError {}

/// Encodes fences into the bytes of the file.
pub(crate) fn encode_marks(fences: &[Fence]) -> Vec<u8> {
    let mut encoder = Encoder::new([&MAGIC[..], &[STORED_FORMAT]].concat());
    encoder.u32(fences.len() as u32);
    for fence in fences {
        encoder.incarnation(&fence.incarnation);
        encoder.u32(fence.through_term);
    }
    let checksum = Sha256::digest(encoder.bytes());
    encoder.raw(&checksum);
    encoder.into_bytes()
}

/// Decodes the bytes of the file; [`StoredMarksError::Damaged`] if it has more than `max` fences.
pub(crate) fn decode_marks(bytes: &[u8], max: usize) -> Result<Vec<Fence>, StoredMarksError> {
    if !bytes.starts_with(MAGIC) {
        return Err(if bytes.is_empty() { StoredMarksError::Damaged } else { StoredMarksError::Foreign });
    }
    // The checksum is verified before the format, so that a corrupted format byte is reported as damage.
    let (content, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(StoredMarksError::Damaged)?;
    if Sha256::digest(content)[..] != checksum[..] {
        return Err(StoredMarksError::Damaged);
    }
    let mut decoder = Decoder::new(&content[MAGIC.len()..]);
    match decoder.u8() {
        Ok(STORED_FORMAT) => decode_fences(decoder, max).map_err(|_| StoredMarksError::Damaged),
        Ok(other) => Err(StoredMarksError::Format(other)),
        Err(_) => Err(StoredMarksError::Damaged),
    }
}

fn decode_fences(mut decoder: Decoder<'_>, max: usize) -> Result<Vec<Fence>, DecodeError> {
    let count = decoder.u32()? as usize;
    let fences = decoder.items(count, max, |decoder| {
        Ok(Fence { incarnation: decoder.incarnation()?, through_term: decoder.u32()? })
    })?;
    if decoder.is_at_end() {
        Ok(fences)
    } else {
        Err(DecodeError::Malformed)
    }
}
