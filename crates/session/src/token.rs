//! What the client carries: where its session lives, signed with keyed hashing (HMAC-SHA256, RFC 2104), so that another gateway
//! can go on with it. A token says nothing secret; a client that changes a byte of it holds a forged one.
//!
//! The form is `1.<key>.<payload>.<mac>`: the name of the key, the payload in hexadecimal, and the first sixteen bytes of the
//! code over all before it.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::table::Holds;

/// Microseconds since the Unix epoch: gateways share no other clock.
pub type Micros = u64;

/// The longest token that is looked at, bytes.
const LONGEST: usize = 2048;

/// Where a session lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Its number, unlike any other.
    pub session: u64,
    /// Whose it is.
    pub user: String,
    /// Name of the engine.
    pub engine: String,
    /// Life of the engine's process.
    pub epoch: String,
    /// The engine's own name for it.
    pub inner: String,
    /// What it holds.
    pub holds: Holds,
    /// When the session ends at the latest.
    pub until: Micros,
}

/// Why a token is not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// It is none.
    Malformed,
    /// Its key is not known here: too old, or of another deployment.
    UnknownKey,
    /// Its code does not fit.
    Forged,
    /// The session's time is over.
    Stale,
    /// It belongs to another user.
    NotYours,
}

impl std::fmt::Display for TokenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            TokenError::Malformed => "it is no token of a session",
            TokenError::UnknownKey => {
                "it was signed with a key that is no longer known, or by another deployment"
            }
            TokenError::Forged => "its signature does not fit",
            TokenError::Stale => "the session's time is over",
            TokenError::NotYours => "it belongs to another user",
        })
    }
}

impl std::error::Error for TokenError {}

/// A key and its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// A word, told in the open.
    pub name: String,
    /// The secret.
    pub secret: Vec<u8>,
}

/// Keys: the first signs, all are believed, so that keys change in service with an overlap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// Of these, in order.
    ///
    /// # Errors
    /// Says what is wrong: no key, a name that is no word or stands twice, a secret under sixteen bytes.
    pub fn new(keys: Vec<Key>) -> Result<Keys, String> {
        if keys.is_empty() {
            return Err("there must be a key".into());
        }
        for (i, key) in keys.iter().enumerate() {
            let word =
                !key.name.is_empty() && key.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if !word || key.name.len() > 32 {
                return Err(format!(
                    "{:?} is no name for a key: up to 32 letters, digits and hyphens",
                    key.name
                ));
            }
            if keys[..i].iter().any(|k| k.name == key.name) {
                return Err(format!("the key {} stands twice", key.name));
            }
            if key.secret.len() < 16 {
                return Err(format!("the secret of {} is under sixteen bytes", key.name));
            }
        }
        Ok(Keys(keys))
    }

    fn mac(key: &Key, signed: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("any length of key will do");
        mac.update(signed.as_bytes());
        mac
    }

    /// Signs a token with the first key.
    pub fn sign(&self, token: &Token) -> String {
        let mut payload = Vec::with_capacity(64);
        payload.extend(token.session.to_be_bytes());
        payload.extend(token.until.to_be_bytes());
        payload.push(u8::from(token.holds.transaction) | u8::from(token.holds.tables) << 1);
        for text in [&token.user, &token.engine, &token.epoch, &token.inner] {
            let bytes = &text.as_bytes()[..text.len().min(usize::from(u8::MAX))];
            payload.push(bytes.len() as u8);
            payload.extend(bytes);
        }
        let key = &self.0[0];
        let signed = format!("1.{}.{}", key.name, hex(&payload));
        let mac = Keys::mac(key, &signed).finalize().into_bytes();
        format!("{signed}.{}", hex(&mac[..16]))
    }

    /// Reads a token of a user at a time. The code is compared in constant time, and before anything else is believed.
    ///
    /// # Errors
    /// See [`TokenError`].
    pub fn open(&self, now: Micros, user: &str, text: &str) -> Result<Token, TokenError> {
        if text.len() > LONGEST {
            return Err(TokenError::Malformed);
        }
        let (signed, mac) = text.rsplit_once('.').ok_or(TokenError::Malformed)?;
        let mut parts = signed.split('.');
        let (Some("1"), Some(name), Some(payload), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TokenError::Malformed);
        };
        let mac = unhex(mac).filter(|m| m.len() == 16).ok_or(TokenError::Malformed)?;
        let key = self.0.iter().find(|k| k.name == name).ok_or(TokenError::UnknownKey)?;
        Keys::mac(key, signed).verify_truncated_left(&mac).map_err(|_| TokenError::Forged)?;
        let token = read(&unhex(payload).ok_or(TokenError::Malformed)?).ok_or(TokenError::Malformed)?;
        if token.user != user {
            return Err(TokenError::NotYours);
        }
        if token.until <= now {
            return Err(TokenError::Stale);
        }
        Ok(token)
    }
}

fn read(payload: &[u8]) -> Option<Token> {
    let number = |at: usize| Some(u64::from_be_bytes(payload.get(at..at + 8)?.try_into().ok()?));
    let flags = *payload.get(16)?;
    let mut rest = payload.get(17..)?;
    let mut text = || {
        let (&size, more) = rest.split_first()?;
        let (text, more) = more.split_at_checked(usize::from(size))?;
        rest = more;
        String::from_utf8(text.to_vec()).ok()
    };
    let (user, engine, epoch, inner) = (text()?, text()?, text()?, text()?);
    let holds = Holds { transaction: flags & 1 > 0, tables: flags & 2 > 0 };
    Some(Token { session: number(0)?, until: number(8)?, holds, user, engine, epoch, inner })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let even = text.len() % 2 == 0 && text.bytes().all(|b| b.is_ascii_hexdigit());
    even.then(|| {
        (0..text.len()).step_by(2).filter_map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
    })
}
