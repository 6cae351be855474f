//! Durable storage of small named values, such as votes, settings history, records of ended processes and
//! demand profiles: one small trait and what each implementation guarantees. The contract tests in
//! `violetward-contracts` check every implementation against these guarantees.
//!
//! A value is only replaced as a whole, and its writes are counted. A user that remembers the count can
//! detect that a store was restored to an older state.

pub mod copies;
pub mod faulty;
pub mod file;
pub mod medium;
pub mod memory;

/// Longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// Longest name, in characters: lower-case letters, digits, `-` and `.`, not starting with `.`.
pub const MAX_NAME_LENGTH: usize = 64;
/// Most values in a store.
pub const MAX_VALUES: usize = 4_096;

/// A value in a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The content.
    pub bytes: Vec<u8>,
    /// How many times the value of this name has been written; at least 1.
    pub writes: u64,
}

/// An error of a store.
#[derive(Debug)]
#[non_exhaustive]
pub enum StoreError {
    /// The request violates a limit of the store, such as the length of a name or value.
    Invalid(&'static str),
    /// The stored data is truncated or corrupted.
    Corrupt(&'static str),
    /// The stored data belongs to another program or name, or has another format version.
    Foreign(&'static str),
    /// Another process uses the store.
    Busy,
    /// The storage medium failed. After a failed write the previous value is intact.
    Io(std::io::Error),
    /// It is unknown whether the write took effect: the store holds either the new value or the previous one,
    /// each intact. The next successful [`Store::get`] settles which.
    Indeterminate(std::io::Error),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Invalid(what) => write!(f, "the value cannot be stored: {what}"),
            StoreError::Corrupt(what) => write!(f, "the stored data is corrupt: {what}"),
            StoreError::Foreign(what) => write!(f, "the stored data is not from this store: {what}"),
            StoreError::Busy => f.write_str("another process uses the store"),
            StoreError::Io(e) => write!(f, "the storage failed: {e}"),
            StoreError::Indeterminate(e) => write!(f, "the value may or may not be stored: {e}"),
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StoreError::Io(e) | StoreError::Indeterminate(e) => Some(e),
            _ => None,
        }
    }
}

/// A durable key-value store. A write that [`Store::put`] has acknowledged survives any crash; one that it
/// has not acknowledged takes effect as a whole or not at all.
pub trait Store {
    /// Reads the value of a name; `None` if none was ever written.
    ///
    /// # Errors
    /// Why it can't be read. The store is not changed.
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError>;

    /// Replaces the value of a name and returns its count of writes. On success the value is durable.
    ///
    /// # Errors
    /// Why it was not stored. The previous value is intact, except that after [`StoreError::Indeterminate`]
    /// either value may be stored.
    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError>;
}

/// Checks a name and the length of a value against the limits of a store.
///
/// # Errors
/// [`StoreError::Invalid`], with the limit that is violated.
pub fn validate(name: &str, length: usize) -> Result<(), StoreError> {
    let is_allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'.';
    if name.is_empty()
        || name.len() > MAX_NAME_LENGTH
        || name.starts_with('.')
        || !name.bytes().all(is_allowed)
    {
        return Err(StoreError::Invalid(
            "a name has 1 to 64 characters of a-z, 0-9, - and ., and does not start with .",
        ));
    }
    if length > MAX_VALUE_BYTES {
        return Err(StoreError::Invalid("the value is too long"));
    }
    Ok(())
}
