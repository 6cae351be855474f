//! The ordered, hash-chained history of committed versions.

use sha2::{Digest, Sha256};

/// A version of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// Consecutive numbers, from 1.
    pub number: u64,
    /// First 8 bytes of the SHA-256 of the predecessor's number and hash and of this content.
    pub hash: u64,
    /// The settings as text, which this crate does not interpret.
    pub content: Vec<u8>,
}

impl Version {
    /// The version with this content that follows the version with this number and hash. Number 0 and hash 0
    /// make it the first version.
    pub fn after(number: u64, hash: u64, content: &[u8]) -> Version {
        let mut hasher = Sha256::new();
        hasher.update(number.to_be_bytes());
        hasher.update(hash.to_be_bytes());
        hasher.update(content);
        let digest = hasher.finalize();
        let hash = u64::from_be_bytes(digest[..8].try_into().expect("SHA-256 has 32 bytes"));
        Version { number: number + 1, hash, content: content.to_vec() }
    }
}

/// Maximum number of versions in a history; the oldest is dropped for a newer one.
pub const MAX_VERSIONS: usize = 64;

/// Versions in order, without gaps from the oldest retained one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// Number and hash of the version before the oldest retained one.
    base: (u64, u64),
    versions: Vec<Version>,
}

impl History {
    /// An empty history that continues after the version with this number and hash.
    pub fn starting_after(number: u64, hash: u64) -> History {
        History { base: (number, hash), versions: Vec::new() }
    }

    /// Number and hash of the version before the oldest retained one.
    pub fn base(&self) -> (u64, u64) {
        self.base
    }

    /// Number and hash of the newest version; the number is 0 if there is none.
    pub fn newest(&self) -> (u64, u64) {
        self.versions.last().map_or(self.base, |v| (v.number, v.hash))
    }

    /// The version with this number, if it is retained.
    pub fn get(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|v| v.number == number)
    }

    /// All retained versions, the oldest first.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// Appends a version. False, without a change, if it does not follow the newest one.
    pub fn add(&mut self, version: &Version) -> bool {
        let (number, hash) = self.newest();
        let fits = *version == Version::after(number, hash, &version.content);
        if fits {
            self.versions.push(version.clone());
            if self.versions.len() > MAX_VERSIONS {
                let old = self.versions.remove(0);
                self.base = (old.number, old.hash);
            }
        }
        fits
    }
}
