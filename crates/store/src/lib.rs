//! What must outlast a process: votes, history, ends of lives, profiles of demand. One small trait, and what each store promises;
//! the contracts in `violetward-contracts` hold every implementation to it.
//!
//! A store keeps values by name. A value is replaced as a whole, and each writing of it is counted: by its count an old copy of
//! a store can be told from a new one by whoever remembers the count.

pub mod copies;
pub mod faulty;
pub mod file;
pub mod medium;
pub mod memory;

/// Octets of the longest value.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// Characters of the longest name: lower-case letters, digits, `-` and `.`; no `.` at the beginning.
pub const MAX_NAME_LENGTH: usize = 64;
/// Values of one store.
pub const MAX_VALUES: usize = 4_096;

/// A value as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// What was put.
    pub bytes: Vec<u8>,
    /// How often the value of that name has been written, from 1.
    pub writes: u64,
}

/// What is wrong.
#[derive(Debug)]
#[non_exhaustive]
pub enum StoreError {
    /// The name or the value breaks the store's bounds.
    Invalid(&'static str),
    /// What is kept is cut off, or a bit of it has turned.
    Corrupt(&'static str),
    /// What is kept belongs to something else, or was written by a program with another format.
    Foreign(&'static str),
    /// Another process uses the store.
    Busy,
    /// The medium does not take it; what was kept before stands.
    Io(std::io::Error),
    /// It is not known whether it is kept: the new value may be there or the one before, each as a whole. The next
    /// [`Store::get`] that goes well settles it.
    Indeterminate(std::io::Error),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Invalid(what) => write!(f, "it cannot be kept: {what}"),
            StoreError::Corrupt(what) => write!(f, "what is kept is spoilt: {what}"),
            StoreError::Foreign(what) => write!(f, "what is kept is not ours: {what}"),
            StoreError::Busy => f.write_str("another process uses it"),
            StoreError::Io(e) => write!(f, "the medium fails: {e}"),
            StoreError::Indeterminate(e) => write!(f, "it may be kept or not: {e}"),
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

/// A store. What [`Store::put`] has acknowledged is there after any crash; what it has not is there as a whole or not at all.
pub trait Store {
    /// What is kept under a name; `None` if nothing ever was.
    ///
    /// # Errors
    /// What is wrong with it; the store stays as it is.
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError>;

    /// Keeps a value in place of the one before; gives its count of writes. When this returns well, it outlasts the process.
    ///
    /// # Errors
    /// Why it is not kept; what was kept before stands, but for [`StoreError::Indeterminate`].
    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError>;
}

/// Whether a name and a value of a length are within the bounds.
///
/// # Errors
/// [`StoreError::Invalid`], with what is not.
pub fn validate(name: &str, length: usize) -> Result<(), StoreError> {
    let good = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'.';
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || name.starts_with('.') || !name.bytes().all(good) {
        return Err(StoreError::Invalid(
            "a name has 1 to 64 of a-z, 0-9, - and ., and does not begin with .",
        ));
    }
    if length > MAX_VALUE_BYTES {
        return Err(StoreError::Invalid("the value is too long"));
    }
    Ok(())
}
