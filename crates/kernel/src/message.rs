//! Jupyter messages, version 5.x ("Messaging in Jupyter", wire protocol): identities, a delimiter, a signature and four
//! JSON dictionaries, signed with HMAC-SHA256.

use std::collections::{HashSet, VecDeque};
use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use sha2::Sha256;

/// The version of the protocol that is spoken.
pub const VERSION: &str = "5.3";
const DELIMITER: &[u8] = b"<IDS|MSG>";

/// A message's header.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Its own id.
    pub msg_id: String,
    /// Its sender's session.
    pub session: String,
    /// Its sender's user.
    pub username: String,
    /// When it was sent, ISO 8601.
    pub date: String,
    /// What it is.
    pub msg_type: String,
    /// The protocol's version.
    pub version: String,
}

/// A message that has been checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Where it came from, for the way back.
    pub identities: Vec<Vec<u8>>,
    /// Its header.
    pub header: Header,
    /// The header as it came, to be given back as the parent.
    pub raw_header: Value,
    /// The header of what it answers, if it answers anything.
    pub parent: Value,
    /// Its metadata, free for extensions.
    pub metadata: Value,
    /// Its content.
    pub content: Value,
}

/// Why a message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// Parts are missing.
    Parts,
    /// The signature is not right.
    Signature,
    /// The same signature has come before.
    Replay,
    /// A dictionary is none.
    Json,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::Parts => "parts are missing",
            MessageError::Signature => "the signature is not right",
            MessageError::Replay => "it has come before",
            MessageError::Json => "a dictionary cannot be read",
        })
    }
}

impl std::error::Error for MessageError {}

/// Signs and checks with one key, and remembers the signatures that have come.
pub struct Signer {
    key: Vec<u8>,
    seen: HashSet<[u8; 32]>,
    order: VecDeque<[u8; 32]>,
    remembers: usize,
}

impl Signer {
    /// A signer that remembers so many signatures.
    pub fn new(key: &[u8], remembers: usize) -> Self {
        Signer {
            key: key.to_vec(),
            seen: HashSet::new(),
            order: VecDeque::new(),
            remembers: remembers.max(1),
        }
    }

    fn mac(&self, parts: &[impl AsRef<[u8]>]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any length of key will do");
        parts.iter().for_each(|p| mac.update(p.as_ref()));
        mac
    }

    /// Reads a message from the parts of a ZMTP message.
    ///
    /// # Errors
    /// Why it is to be dropped. A wrong signature is compared in constant time and remembered nowhere.
    pub fn read(&mut self, parts: &[Vec<u8>]) -> Result<Message, MessageError> {
        let at = parts.iter().position(|p| p == DELIMITER).ok_or(MessageError::Parts)?;
        let [signature, header, parent, metadata, content] =
            parts.get(at + 1..at + 6).ok_or(MessageError::Parts)?
        else {
            return Err(MessageError::Parts);
        };
        let mut told = [0; 32];
        if signature.len() != 64 {
            return Err(MessageError::Signature);
        }
        for (i, byte) in told.iter_mut().enumerate() {
            let digits =
                std::str::from_utf8(&signature[2 * i..2 * i + 2]).map_err(|_| MessageError::Signature)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| MessageError::Signature)?;
        }
        let mac = self.mac(&[header, parent, metadata, content]);
        mac.verify_slice(&told).map_err(|_| MessageError::Signature)?;
        if !self.seen.insert(told) {
            return Err(MessageError::Replay);
        }
        self.order.push_back(told);
        if self.order.len() > self.remembers {
            let oldest = self.order.pop_front().expect("one was just added");
            self.seen.remove(&oldest);
        }
        let read = |part: &[u8]| serde_json::from_slice::<Value>(part).ok().filter(Value::is_object);
        let raw_header = read(header).ok_or(MessageError::Json)?;
        let header = serde_json::from_value(raw_header.clone()).map_err(|_| MessageError::Json)?;
        let (metadata, content) = read(metadata).zip(read(content)).ok_or(MessageError::Json)?;
        let parent = read(parent).ok_or(MessageError::Json)?;
        let identities = parts[..at].to_vec();
        Ok(Message { identities, header, raw_header, parent, metadata, content })
    }

    /// Writes a message as the parts of a ZMTP message.
    pub fn write(
        &self,
        identities: &[Vec<u8>],
        header: &Header,
        parent: &Value,
        content: &Value,
    ) -> Vec<Vec<u8>> {
        self.write_with(identities, header, parent, &json!({}), content)
    }

    /// The same with metadata.
    pub fn write_with(
        &self,
        identities: &[Vec<u8>],
        header: &Header,
        parent: &Value,
        metadata: &Value,
        content: &Value,
    ) -> Vec<Vec<u8>> {
        let parent = if parent.is_object() { parent.clone() } else { json!({}) };
        let dictionaries = [
            serde_json::to_vec(header).unwrap_or_default(),
            serde_json::to_vec(&parent).unwrap_or_default(),
            serde_json::to_vec(metadata).unwrap_or_default(),
            serde_json::to_vec(content).unwrap_or_default(),
        ];
        let signature: String =
            self.mac(&dictionaries).finalize().into_bytes().iter().map(|b| format!("{b:02x}")).collect();
        let mut parts = identities.to_vec();
        parts.extend([DELIMITER.to_vec(), signature.into_bytes()]);
        parts.extend(dictionaries);
        parts
    }
}
