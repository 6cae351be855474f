//! Single messages, signed: `version 1 | key 4 | addressee | sender | what it says | code 16`, names with one octet of length.
//!
//! The code covers both names, so that a message sent back to its sender, or on to a third one, is not taken. It does not keep
//! a copy from coming later: messages may come twice, and what stands on them bears that or numbers them.

use hmac::Mac;

use crate::{name_hash, Keys, MAX_MESSAGE_BYTES};

/// Octets of a code.
pub const CODE: usize = 16;
/// Octets of a name at most.
pub const NAME: usize = 48;
/// Octets around what a message says, at most.
pub const AROUND: usize = 5 + 2 * (1 + NAME) + CODE;

const VERSION: u8 = 1;
/// Keeps codes of messages and of streams apart.
const USE: &[u8] = b"violetward message";

/// Writes a message, signed; `None` if a name or the message is too long.
pub fn seal(keys: &Keys, from: &str, to: &str, says: &[u8]) -> Option<Vec<u8>> {
    if says.len() > MAX_MESSAGE_BYTES || from.len() > NAME || to.len() > NAME {
        return None;
    }
    let mut out = Vec::with_capacity(AROUND + says.len());
    out.push(VERSION);
    out.extend_from_slice(&name_hash(&keys.signing_key().name).to_be_bytes());
    for name in [to, from] {
        out.push(name.len() as u8);
        out.extend_from_slice(name.as_bytes());
    }
    out.extend_from_slice(says);
    let code = keys.signing_key().mac(&[USE, &out]).finalize().into_bytes();
    out.extend_from_slice(&code[..CODE]);
    Some(out)
}

/// Reads a message for `me`: its sender and what it says. `None` for anything else.
pub fn open(keys: &Keys, me: &str, bytes: &[u8]) -> Option<(String, Vec<u8>)> {
    let (body, code) = bytes.split_at_checked(bytes.len().checked_sub(CODE)?)?;
    let id = u32::from_be_bytes(body.get(1..5)?.try_into().ok()?);
    let good = |key: &crate::Key| key.mac(&[USE, body]).verify_truncated_left(code).is_ok();
    if body[0] != VERSION || !keys.with_id(id).any(good) {
        return None;
    }
    let (to, rest) = name(&body[5..])?;
    let (from, says) = name(rest)?;
    (to == me && from != me && says.len() <= MAX_MESSAGE_BYTES).then(|| (from.to_owned(), says.to_vec()))
}

/// A name with its length before it, and what stands behind it.
pub(crate) fn name(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    let (name, rest) = rest.split_at_checked(length as usize)?;
    let name = std::str::from_utf8(name).ok()?;
    (!name.is_empty() && name.len() <= NAME).then_some((name, rest))
}
