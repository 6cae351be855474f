//! The shared secret keys with which gateways authenticate each other.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

const MIN_SECRET_BYTES: usize = 16;

/// A named secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Identifies the key on the wire, through its [`name_hash`].
    pub name: String,
    /// The HMAC key.
    pub secret: Vec<u8>,
}

impl Key {
    /// The unfinalized MAC over the concatenation of `parts`. Parts of variable length need a length prefix,
    /// because the boundaries between parts are not authenticated.
    pub fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        parts.iter().for_each(|part| mac.update(part));
        mac
    }
}

/// Omits the secret.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.name)
    }
}

/// A non-empty list of keys: the first one signs, all of them are accepted for verification. This allows key
/// rotation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// Checks the list and takes its first key for signing.
    ///
    /// # Errors
    /// If the list is empty, a secret has less than 16 bytes, or a name is not unique.
    pub fn new(keys: Vec<Key>) -> Result<Self, String> {
        if keys.is_empty() {
            return Err("expected at least one (key NAME \"secret\")".into());
        }
        for (i, key) in keys.iter().enumerate() {
            if key.secret.len() < MIN_SECRET_BYTES {
                return Err(format!("the secret of {} is under {MIN_SECRET_BYTES} bytes", key.name));
            }
            if keys[..i].iter().any(|k| k.name == key.name) {
                return Err(format!("the key {} is defined twice", key.name));
            }
        }
        Ok(Keys(keys))
    }

    /// The key that signs what this gateway sends.
    pub fn signing_key(&self) -> &Key {
        &self.0[0]
    }

    /// The keys whose names have this hash: normally one, or none if the key is not accepted.
    pub fn with_id(&self, id: u32) -> impl Iterator<Item = &Key> {
        self.0.iter().filter(move |k| name_hash(&k.name) == id)
    }

    /// Whether `key` is accepted, by name and secret.
    pub fn contains(&self, key: &Key) -> bool {
        self.0.contains(key)
    }
}

/// A 32-bit hash of a name (FNV-1a), used as a short identifier on the wire.
pub fn name_hash(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
