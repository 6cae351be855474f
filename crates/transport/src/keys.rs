//! The fleet's ring of keys.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A key and its name.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Its name.
    pub name: String,
    /// The secret.
    pub secret: Vec<u8>,
}

impl Key {
    /// The code of parts put together, not finished. Parts of varying length need their lengths before them.
    pub fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).expect("any length will do");
        parts.iter().for_each(|part| mac.update(part));
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.name)
    }
}

/// A ring of keys: the first signs, all are believed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// A ring.
    ///
    /// # Errors
    /// If it is empty, a secret is under sixteen octets, or a name stands twice.
    pub fn new(keys: Vec<Key>) -> Result<Self, String> {
        if keys.is_empty() {
            return Err("expected at least one (key NAME \"secret\")".into());
        }
        for (i, key) in keys.iter().enumerate() {
            if key.secret.len() < 16 {
                return Err(format!("the secret of {} is under sixteen octets", key.name));
            }
            if keys[..i].iter().any(|k| k.name == key.name) {
                return Err(format!("the key {} stands twice", key.name));
            }
        }
        Ok(Keys(keys))
    }

    /// The one that signs.
    pub fn signing_key(&self) -> &Key {
        &self.0[0]
    }

    /// Those whose names have a mark: one as a rule, none if it is not believed.
    pub fn with_id(&self, id: u32) -> impl Iterator<Item = &Key> {
        self.0.iter().filter(move |k| name_hash(&k.name) == id)
    }

    /// Whether a key is believed.
    pub fn contains(&self, key: &Key) -> bool {
        self.0.contains(key)
    }
}

/// A short mark of a name (FNV-1a).
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
