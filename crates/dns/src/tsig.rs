//! Signed messages (TSIG, RFC 8945) with HMAC-SHA256. Works on the octets of messages, since they are what is signed.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::name::Name;
use crate::record::{Type, ANY};

/// Seconds since the Unix epoch.
pub type Seconds = u64;

/// Octets of a whole code, and the fewest of a truncated one (RFC 8945, section 5.2.2.1).
const WHOLE: usize = 32;
const FEWEST: usize = 16;

/// A key and its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Its name.
    pub name: Name,
    /// The secret.
    pub secret: Vec<u8>,
}

/// Why a message is not believed (RFC 8945, section 5.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TsigError {
    /// It is not signed.
    Unsigned,
    /// It, or its signature, cannot be read.
    Form,
    /// Its key or algorithm is not known (BADKEY, 17).
    Key,
    /// Its code does not fit (BADSIG, 16).
    Signature,
    /// It was signed too long ago, or ahead of us (BADTIME, 18).
    Time,
    /// Its code is cut shorter than is allowed (BADTRUNC, 22).
    Truncated,
}

impl fmt::Display for TsigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TsigError::Unsigned => "it is not signed",
            TsigError::Form => "its signature cannot be read",
            TsigError::Key => "its key or algorithm is not known",
            TsigError::Signature => "its signature does not fit",
            TsigError::Time => "it was signed at another time than now",
            TsigError::Truncated => "its signature is cut too short",
        })
    }
}

impl std::error::Error for TsigError {}

/// What was found to be so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verified {
    /// The key's name.
    pub key: Name,
    /// The code, for signing the answer.
    pub mac: Vec<u8>,
    /// When it was signed.
    pub time: Seconds,
    /// The message without its signature.
    pub message: Vec<u8>,
}

fn algorithm() -> Name {
    Name::from_labels([b"hmac-sha256".as_slice()]).expect("a good name")
}

struct Terms {
    time: Seconds,
    fudge: u16,
    error: u16,
    other: Vec<u8>,
}

fn mac(key: &Key, request: Option<&[u8]>, message: &[u8], terms: &Terms) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("any length of key will do");
    if let Some(request) = request {
        mac.update(&(request.len() as u16).to_be_bytes());
        mac.update(request);
    }
    mac.update(message);
    mac.update(key.name.wire());
    mac.update(&ANY.to_be_bytes());
    mac.update(&0u32.to_be_bytes());
    mac.update(algorithm().wire());
    mac.update(&terms.time.to_be_bytes()[2..]);
    mac.update(&terms.fudge.to_be_bytes());
    mac.update(&terms.error.to_be_bytes());
    mac.update(&(terms.other.len() as u16).to_be_bytes());
    mac.update(&terms.other);
    mac
}

/// Signs a message; for an answer with the code of what it answers. Gives the signed message and its code.
pub fn sign(message: &[u8], key: &Key, now: Seconds, request: Option<&[u8]>) -> (Vec<u8>, Vec<u8>) {
    let terms = Terms { time: now, fudge: 300, error: 0, other: Vec::new() };
    let code = mac(key, request, message, &terms).finalize().into_bytes().to_vec();
    let mut out = message.to_vec();
    let more = u16::from_be_bytes([out[10], out[11]]) + 1;
    out[10..12].copy_from_slice(&more.to_be_bytes());
    out.extend(key.name.wire());
    out.extend(Type::TSIG.0.to_be_bytes());
    out.extend(ANY.to_be_bytes());
    out.extend(0u32.to_be_bytes());
    let mut data = algorithm().wire().to_vec();
    data.extend(&now.to_be_bytes()[2..]);
    data.extend(terms.fudge.to_be_bytes());
    data.extend((code.len() as u16).to_be_bytes());
    data.extend(&code);
    data.extend(&message[..2]);
    data.extend([0; 4]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    (out, code)
}

/// Where the last record of a message begins, if that is an additional one.
fn last_record(message: &[u8]) -> Option<usize> {
    let number = |at: usize| Some(u16::from_be_bytes([*message.get(at)?, *message.get(at + 1)?]));
    let counts = [number(4)?, number(6)?, number(8)?, number(10)?];
    if counts[3] == 0 {
        return None;
    }
    let mut at = 12;
    for _ in 0..counts[0] {
        at = Name::read(message, at).ok()?.1 + 4;
    }
    let mut start = at;
    for _ in 0..counts[1..].iter().map(|&c| usize::from(c)).sum() {
        start = at;
        at = Name::read(message, at).ok()?.1 + 8;
        at += 2 + usize::from(number(at)?);
    }
    (at == message.len()).then_some(start)
}

/// Checks a message's signature: key, code (in constant time), then time, in that order, so that nobody without the key learns of our
/// clock.
///
/// # Errors
/// See [`TsigError`].
pub fn verify(
    message: &[u8],
    keys: &[Key],
    now: Seconds,
    request: Option<&[u8]>,
) -> Result<Verified, TsigError> {
    let start = last_record(message).ok_or(TsigError::Unsigned)?;
    let (name, at) = Name::read(message, start).map_err(|_| TsigError::Form)?;
    let bytes = |at: usize, size: usize| message.get(at..at + size).ok_or(TsigError::Form);
    let number = |at: usize| bytes(at, 2).map(|b| u16::from_be_bytes([b[0], b[1]]));
    if number(at)? != Type::TSIG.0 {
        return Err(TsigError::Unsigned);
    }
    if number(at + 2)? != ANY || bytes(at + 4, 4)? != [0; 4] {
        return Err(TsigError::Form);
    }
    let (used, at) = Name::read(message, at + 10).map_err(|_| TsigError::Form)?;
    let time = bytes(at, 6)?.iter().fold(0, |t: u64, &b| t << 8 | u64::from(b));
    let (fudge, size) = (number(at + 6)?, usize::from(number(at + 8)?));
    let code = bytes(at + 10, size)?;
    let at = at + 10 + size;
    let original = bytes(at, 2)?;
    let (error, other) = (number(at + 2)?, usize::from(number(at + 4)?));
    let other = bytes(at + 6, other)?.to_vec();
    if at + 6 + other.len() != message.len() {
        return Err(TsigError::Form);
    }
    let key = keys.iter().find(|k| k.name == name && used == algorithm()).ok_or(TsigError::Key)?;
    if size > WHOLE {
        return Err(TsigError::Form);
    }
    if size < FEWEST {
        return Err(TsigError::Truncated);
    }
    let mut plain = message[..start].to_vec();
    plain[..2].copy_from_slice(original);
    let fewer = u16::from_be_bytes([plain[10], plain[11]]) - 1;
    plain[10..12].copy_from_slice(&fewer.to_be_bytes());
    let terms = Terms { time, fudge, error, other };
    mac(key, request, &plain, &terms).verify_truncated_left(code).map_err(|_| TsigError::Signature)?;
    if now.abs_diff(time) > u64::from(fudge) {
        return Err(TsigError::Time);
    }
    plain[..2].copy_from_slice(&message[..2]);
    Ok(Verified { key: name, mac: code.to_vec(), time, message: plain })
}
