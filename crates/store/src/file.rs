//! Durable files in a directory, for one process at a time.
//!
//! A file is only replaced as a whole: the new content is written to a temporary file and synced, the file is
//! renamed, and the directory is synced. [`AtomicFiles`] does this for files of any format; [`FileStore`] is
//! a store whose files contain the name, count of writes and length of the value and a checksum over
//! everything.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::path::Path;

use sha2::{Digest, Sha256};

use crate::medium::{Directory, Medium};
use crate::{validate, Store, StoreError, StoredValue, MAX_NAME_LENGTH, MAX_VALUES, MAX_VALUE_BYTES};

/// The lock file of a [`FileStore`]; no value can have this name.
pub const LOCK_FILE: &str = "LOCK";
/// Prefix of the names of temporary files; no value's name starts with it.
const TEMPORARY_PREFIX: char = '~';
/// Most bytes in one read.
const READ_BUFFER_BYTES: usize = 1 << 16;

/// First bytes of a file of a store.
const MAGIC: &[u8; 16] = b"violetward store";
const FORMAT_VERSION: u16 = 1;
/// Length of a SHA-256 checksum.
const CHECKSUM_BYTES: usize = 32;
/// Length of a file's header without the name: magic, format version, length of the name, count of writes,
/// length of the value.
const HEADER_BYTES: usize = MAGIC.len() + 2 + 1 + 8 + 8;
/// Length of the longest valid file.
const MAX_FILE_BYTES: usize = HEADER_BYTES + MAX_NAME_LENGTH + MAX_VALUE_BYTES + CHECKSUM_BYTES;

/// A directory whose files are replaced atomically.
#[derive(Debug)]
pub struct AtomicFiles<M> {
    medium: M,
    read_buffer: Vec<u8>,
}

impl<M: Medium> AtomicFiles<M> {
    /// Locks the directory and removes the temporary files of an earlier process.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another process holds the lock; errors of the medium.
    pub fn open(mut medium: M) -> Result<AtomicFiles<M>, StoreError> {
        // Two processes that write the same files would overwrite each other's changes.
        if !medium.lock()? {
            return Err(StoreError::Busy);
        }
        for file in medium.list()? {
            if file.strip_prefix(TEMPORARY_PREFIX).is_some_and(|name| validate(name, 0).is_ok()) {
                medium.remove(&file)?;
            }
        }
        Ok(AtomicFiles { medium, read_buffer: vec![0; READ_BUFFER_BYTES] })
    }

    /// Reads a file of at most `max_length` bytes; `None` if it does not exist.
    ///
    /// # Errors
    /// [`StoreError::Foreign`] if it is longer; errors of the medium.
    pub fn read(&mut self, file: &str, max_length: usize) -> Result<Option<Vec<u8>>, StoreError> {
        let mut bytes = Vec::new();
        loop {
            match self.medium.read(file, bytes.len() as u64, &mut self.read_buffer) {
                Ok(0) => return Ok(Some(bytes)),
                // A read may be short, so only an empty one ends the file.
                Ok(length) => bytes.extend_from_slice(&self.read_buffer[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
                Err(e) => return Err(e.into()),
            }
            if bytes.len() > max_length {
                return Err(StoreError::Foreign("the file is longer than the maximum"));
            }
        }
    }

    /// Creates or replaces a file atomically. On success the new content survives a power loss.
    ///
    /// # Errors
    /// [`StoreError::Indeterminate`] if the file may have either content after a power loss. After other
    /// errors, which are those of the medium, the old file is intact.
    pub fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let temporary = format!("{TEMPORARY_PREFIX}{file}");
        let written = self.medium.write(&temporary, bytes).and_then(|()| self.medium.sync(&temporary));
        // The file must not be renamed before its content is durable: a power loss could keep the new name
        // and lose the content.
        if let Err(e) = written {
            self.medium.remove(&temporary).ok();
            return Err(e.into());
        }
        self.medium
            .rename(&temporary, file)
            .and_then(|()| self.medium.sync_directory())
            .map_err(StoreError::Indeterminate)
    }

    /// Renames a file that can't be used.
    ///
    /// # Errors
    /// Errors of the medium.
    pub fn set_aside(&mut self, file: &str, to: &str) -> Result<(), StoreError> {
        self.medium.rename(file, to)?;
        Ok(self.medium.sync_directory()?)
    }

    /// The underlying medium.
    pub fn medium(&mut self) -> &mut M {
        &mut self.medium
    }
}

/// A store that holds each value in a file.
#[derive(Debug)]
pub struct FileStore<M> {
    files: AtomicFiles<M>,
    names: BTreeSet<String>,
    /// Whether a rename may not be durable yet. The directory is synced then before a value is returned.
    needs_sync: bool,
}

impl FileStore<Directory> {
    /// Opens the store in a directory, creating it if needed.
    ///
    /// # Errors
    /// See [`FileStore::on_medium`].
    pub fn open(directory: &Path) -> Result<FileStore<Directory>, StoreError> {
        FileStore::on_medium(Directory::new(directory, LOCK_FILE)?)
    }
}

impl<M: Medium> FileStore<M> {
    /// Opens the store on a medium.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another process has opened it; errors of the medium.
    pub fn on_medium(medium: M) -> Result<FileStore<M>, StoreError> {
        let mut files = AtomicFiles::open(medium)?;
        let names = files.medium.list()?.into_iter().filter(|name| validate(name, 0).is_ok()).collect();
        // A process that was killed may have left a rename that is not durable yet.
        Ok(FileStore { files, names, needs_sync: true })
    }

    /// The names of the stored values.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// Renames the file of a value that can't be used to a name that no value can have, which frees the
    /// value's name. The count of writes restarts: a user that remembers the old count will take the next
    /// value for one of a restored old store.
    ///
    /// # Errors
    /// Errors of the medium.
    pub fn set_aside(&mut self, name: &str) -> Result<(), StoreError> {
        validate(name, 0)?;
        self.files.set_aside(name, &format!("{name}_aside"))?;
        self.names.remove(name);
        Ok(())
    }

    fn read(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        self.files.read(name, MAX_FILE_BYTES)?.map(|bytes| decode(name, &bytes)).transpose()
    }
}

impl<M: Medium> Store for FileStore<M> {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        validate(name, 0)?;
        // A value that was returned once must not be lost in a power loss.
        if self.needs_sync {
            self.files.medium.sync_directory()?;
            self.needs_sync = false;
        }
        let found = self.read(name)?;
        if found.is_none() {
            self.names.remove(name);
        }
        Ok(found)
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        validate(name, bytes.len())?;
        if !self.names.contains(name) && self.names.len() >= MAX_VALUES {
            return Err(StoreError::Invalid("there are too many values"));
        }
        // A value that can't be read is not overwritten, because its count of writes would be lost.
        let writes = self.read(name)?.map_or(0, |value| value.writes) + 1;
        let result = self.files.replace(name, &encode(name, bytes, writes));
        match result {
            Ok(()) => self.needs_sync = false,
            Err(StoreError::Indeterminate(_)) => self.needs_sync = true,
            Err(_) => return result.map(|()| writes),
        }
        self.names.insert(name.to_owned());
        result.map(|()| writes)
    }
}

/// Encodes a value as the content of a file.
fn encode(name: &str, bytes: &[u8], writes: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + name.len() + bytes.len() + CHECKSUM_BYTES);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    out.push(name.len() as u8);
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(&writes.to_be_bytes());
    out.extend_from_slice(&(bytes.len() as u64).to_be_bytes());
    out.extend_from_slice(bytes);
    let checksum = Sha256::digest(&out);
    out.extend_from_slice(&checksum);
    out
}

/// Decodes a file, if it is intact and belongs to the name. Every format version ends with the checksum of
/// everything before it, so that a corrupted file can be told from one of another program.
fn decode(name: &str, file: &[u8]) -> Result<StoredValue, StoreError> {
    let corrupt = || StoreError::Corrupt("the file is truncated or corrupted");
    let (body, checksum) = file.split_at(file.len().saturating_sub(CHECKSUM_BYTES));
    if Sha256::digest(body)[..] != *checksum {
        // Most of the magic is still there in a corrupted file of a store.
        let matching_bytes = file.iter().zip(MAGIC).filter(|(a, b)| a == b).count();
        let is_store_file = matching_bytes * 2 >= MAGIC.len().min(file.len());
        return Err(if is_store_file {
            corrupt()
        } else {
            StoreError::Foreign("the file is not one of a store")
        });
    }
    let mut rest = body.strip_prefix(MAGIC).ok_or(StoreError::Foreign("the file is not one of a store"))?;
    let mut take = |length: usize| {
        let (taken, left) = rest.split_at_checked(length).ok_or_else(corrupt)?;
        rest = left;
        Ok::<&[u8], StoreError>(taken)
    };
    if take(2)? != FORMAT_VERSION.to_be_bytes() {
        return Err(StoreError::Foreign("the file has another format version"));
    }
    let length = usize::from(take(1)?[0]);
    if take(length)? != name.as_bytes() {
        return Err(StoreError::Foreign("the file belongs to another name"));
    }
    let mut take_u64 =
        || Ok::<u64, StoreError>(u64::from_be_bytes(take(8)?.try_into().expect("eight bytes")));
    let (writes, length) = (take_u64()?, take_u64()?);
    if rest.len() as u64 != length {
        return Err(corrupt());
    }
    Ok(StoredValue { bytes: rest.to_vec(), writes })
}

impl From<io::Error> for StoreError {
    fn from(e: io::Error) -> StoreError {
        StoreError::Io(e)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_survive_reopening_and_only_one_process_can_open_the_store() {
        let directory = std::env::temp_dir().join(format!("violetward-store-{}", std::process::id()));
        std::fs::remove_dir_all(&directory).ok();
        let mut store = FileStore::open(&directory).unwrap();
        assert!(matches!(FileStore::open(&directory), Err(StoreError::Busy)));
        assert!(store.get("ends").unwrap().is_none());
        assert_eq!((store.put("ends", b"one").unwrap(), store.put("ends", b"two").unwrap()), (1, 2));
        std::fs::write(directory.join("~ends"), b"partly written").unwrap();
        drop(store);
        let mut store = FileStore::open(&directory).unwrap();
        assert!(!directory.join("~ends").exists());
        assert_eq!(store.get("ends").unwrap(), Some(StoredValue { bytes: b"two".to_vec(), writes: 2 }));
        std::fs::write(directory.join("ends"), b"").unwrap();
        assert!(matches!(store.put("ends", b"three"), Err(StoreError::Corrupt(_))));
        store.set_aside("ends").unwrap();
        assert_eq!(store.put("ends", b"three").unwrap(), 1);
        std::fs::remove_dir_all(&directory).ok();
    }
}
