//! The ordered history of versions.

use sha2::{Digest, Sha256};

/// A version of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// Its number, from 1.
    pub number: u64,
    /// The first octets of the hash of its content and of its predecessor's hash.
    pub hash: u64,
    /// Its content.
    pub content: Vec<u8>,
}

impl Version {
    /// The version with this content after another one (number 0 and hash 0: none).
    pub fn after(number: u64, hash: u64, content: &[u8]) -> Version {
        let mut sum = Sha256::new();
        sum.update(number.to_be_bytes());
        sum.update(hash.to_be_bytes());
        sum.update(content);
        let sum = sum.finalize();
        let hash = u64::from_be_bytes(sum[..8].try_into().expect("32 octets"));
        Version { number: number + 1, hash, content: content.to_vec() }
    }
}

/// Versions that are kept at most; older ones leave.
pub const MAX_VERSIONS: usize = 64;

/// Versions in order, without gaps from the first that is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// Number and hash of the version before the first that is kept.
    base: (u64, u64),
    versions: Vec<Version>,
}

impl History {
    /// A history that goes on after a version that is not kept itself: its number and hash.
    pub fn starting_after(number: u64, hash: u64) -> History {
        History { base: (number, hash), versions: Vec::new() }
    }

    /// Number and hash of the version before the first that is kept.
    pub fn base(&self) -> (u64, u64) {
        self.base
    }

    /// The newest version; number 0 where there is none.
    pub fn newest(&self) -> (u64, u64) {
        self.versions.last().map_or(self.base, |v| (v.number, v.hash))
    }

    /// A version by its number.
    pub fn get(&self, number: u64) -> Option<&Version> {
        self.versions.iter().find(|v| v.number == number)
    }

    /// All versions kept, the oldest first.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }

    /// Adds a version that follows the newest one; false if it does not.
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
