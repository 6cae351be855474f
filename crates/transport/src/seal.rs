//! Authenticated single messages: `version 1 | key id 4 | addressee | sender | content | MAC 16`, sizes in
//! bytes, names with a one-byte length prefix.
//!
//! The MAC covers both names, so a message that is reflected to its sender or forwarded to a third gateway is
//! rejected. It does not prevent replay: messages may be duplicated, and users of this module must tolerate
//! that or number their messages.

use hmac::Mac;

use crate::{name_hash, Keys, MAX_MESSAGE_BYTES};

/// Length of the truncated MAC.
pub const MAC_BYTES: usize = 16;
/// Longest name of a gateway.
pub const MAX_NAME_BYTES: usize = 48;
/// Most bytes that sealing adds to a message.
pub const MAX_OVERHEAD_BYTES: usize = 5 + 2 * (1 + MAX_NAME_BYTES) + MAC_BYTES;

const VERSION: u8 = 1;
/// Separates the MACs of messages from those of streams.
const MAC_CONTEXT: &[u8] = b"violetward message";

/// Encodes and signs a message; `None` if a name or the content is too long.
pub fn seal(keys: &Keys, from: &str, to: &str, content: &[u8]) -> Option<Vec<u8>> {
    if content.len() > MAX_MESSAGE_BYTES || from.len() > MAX_NAME_BYTES || to.len() > MAX_NAME_BYTES {
        return None;
    }
    let mut out = Vec::with_capacity(MAX_OVERHEAD_BYTES + content.len());
    out.push(VERSION);
    out.extend_from_slice(&name_hash(&keys.signing_key().name).to_be_bytes());
    for name in [to, from] {
        out.push(name.len() as u8);
        out.extend_from_slice(name.as_bytes());
    }
    out.extend_from_slice(content);
    let mac = keys.signing_key().mac(&[MAC_CONTEXT, &out]).finalize().into_bytes();
    out.extend_from_slice(&mac[..MAC_BYTES]);
    Some(out)
}

/// Verifies and decodes a message to the gateway `own_name`: its sender and content. `None` if it is
/// malformed, not authentic, or for another gateway.
pub fn open(keys: &Keys, own_name: &str, bytes: &[u8]) -> Option<(String, Vec<u8>)> {
    let (body, mac) = bytes.split_at_checked(bytes.len().checked_sub(MAC_BYTES)?)?;
    let key_id = u32::from_be_bytes(body.get(1..5)?.try_into().ok()?);
    let verifies = |key: &crate::Key| key.mac(&[MAC_CONTEXT, body]).verify_truncated_left(mac).is_ok();
    if body[0] != VERSION || !keys.with_id(key_id).any(verifies) {
        return None;
    }
    let (to, rest) = split_name(&body[5..])?;
    let (from, content) = split_name(rest)?;
    (to == own_name && from != own_name && content.len() <= MAX_MESSAGE_BYTES)
        .then(|| (from.to_owned(), content.to_vec()))
}

/// Splits a length-prefixed name off the front of `bytes`; returns it and the rest.
pub(crate) fn split_name(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    let (name, rest) = rest.split_at_checked(length as usize)?;
    let name = std::str::from_utf8(name).ok()?;
    (!name.is_empty() && name.len() <= MAX_NAME_BYTES).then_some((name, rest))
}
