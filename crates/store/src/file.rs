//! Values in the files of a folder, for one process at a time.
//!
//! A file is only ever replaced as a whole: what is new is written beside it and synced, takes its name, and the folder is
//! synced. [`AtomicFiles`] does that for files whose octets are their owner's own; [`FileStore`] is the store, whose files carry name,
//! count of writes, length and a checksum over all of it.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::path::Path;

use sha2::{Digest, Sha256};

use crate::medium::{Directory, Medium};
use crate::{validate, Store, StoreError, StoredValue, MAX_NAME_LENGTH, MAX_VALUES, MAX_VALUE_BYTES};

/// The file whose lock stands for a folder of [`FileStore`]; no value can have its name.
pub const LOCK_FILE: &str = "LOCK";
/// Stands before the name of a file that is not yet whole; no value's name begins with it.
const TEMPORARY_PREFIX: char = '~';
/// Octets read at once.
const READ_BUFFER_BYTES: usize = 1 << 16;

const MAGIC: &[u8; 16] = b"violetward store";
const FORMAT_VERSION: u16 = 1;
/// Octets of a checksum, and of a file without its name and value: magic, format, length of the name, count, length.
const CHECKSUM_BYTES: usize = 32;
const HEADER_BYTES: usize = MAGIC.len() + 2 + 1 + 8 + 8;
/// Octets of the longest file that can be one of ours.
const MAX_FILE_BYTES: usize = HEADER_BYTES + MAX_NAME_LENGTH + MAX_VALUE_BYTES + CHECKSUM_BYTES;

/// A folder whose files are replaced as a whole.
#[derive(Debug)]
pub struct AtomicFiles<M> {
    medium: M,
    piece: Vec<u8>,
}

impl<M: Medium> AtomicFiles<M> {
    /// Takes the folder, and clears away what an earlier process has left half written.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another one has it; what the medium says.
    pub fn open(mut medium: M) -> Result<AtomicFiles<M>, StoreError> {
        // Two that write the same files would undo each other's.
        if !medium.lock()? {
            return Err(StoreError::Busy);
        }
        for file in medium.list()? {
            if file.strip_prefix(TEMPORARY_PREFIX).is_some_and(|name| validate(name, 0).is_ok()) {
                medium.remove(&file)?;
            }
        }
        Ok(AtomicFiles { medium, piece: vec![0; READ_BUFFER_BYTES] })
    }

    /// The octets of a file of that length at most; `None` if there is none.
    ///
    /// # Errors
    /// [`StoreError::Foreign`] if it is longer; what the medium says.
    pub fn read(&mut self, file: &str, most: usize) -> Result<Option<Vec<u8>>, StoreError> {
        let mut bytes = Vec::new();
        loop {
            match self.medium.read(file, bytes.len() as u64, &mut self.piece) {
                Ok(0) => return Ok(Some(bytes)),
                // One read may give less than there is.
                Ok(got) => bytes.extend_from_slice(&self.piece[..got]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
                Err(e) => return Err(e.into()),
            }
            if bytes.len() > most {
                return Err(StoreError::Foreign("it is longer than any of ours"));
            }
        }
    }

    /// Replaces a file, or makes it. When this returns well, it outlasts a loss of power.
    ///
    /// # Errors
    /// [`StoreError::Indeterminate`] if either of the two may be there after one, else what the medium says; the old file stands.
    pub fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let fresh = format!("{TEMPORARY_PREFIX}{file}");
        let made = self.medium.write(&fresh, bytes).and_then(|()| self.medium.sync(&fresh));
        // Before its octets are safe it must not take the name: a loss of power could keep the name and lose them.
        if let Err(e) = made {
            self.medium.remove(&fresh).ok();
            return Err(e.into());
        }
        self.medium
            .rename(&fresh, file)
            .and_then(|()| self.medium.sync_directory())
            .map_err(StoreError::Indeterminate)
    }

    /// Gives a file that cannot be used another name.
    ///
    /// # Errors
    /// What the medium says.
    pub fn set_aside(&mut self, file: &str, to: &str) -> Result<(), StoreError> {
        self.medium.rename(file, to)?;
        Ok(self.medium.sync_directory()?)
    }

    /// The medium.
    pub fn medium(&mut self) -> &mut M {
        &mut self.medium
    }
}

/// A store whose values are files.
#[derive(Debug)]
pub struct FileStore<M> {
    whole: AtomicFiles<M>,
    names: BTreeSet<String>,
    /// Whether what is read may not outlast a loss of power: the folder is synced before anything is told.
    unsure: bool,
}

impl FileStore<Directory> {
    /// Opens the store in a folder, made if it is not there.
    ///
    /// # Errors
    /// See [`FileStore::on_medium`].
    pub fn open(folder: &Path) -> Result<FileStore<Directory>, StoreError> {
        FileStore::on_medium(Directory::new(folder, LOCK_FILE)?)
    }
}

impl<M: Medium> FileStore<M> {
    /// Opens the store on a medium.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another one has it; what the medium says.
    pub fn on_medium(medium: M) -> Result<FileStore<M>, StoreError> {
        let mut whole = AtomicFiles::open(medium)?;
        let names = whole.medium.list()?.into_iter().filter(|name| validate(name, 0).is_ok()).collect();
        // A process that was killed may have left a name that is not safe yet.
        Ok(FileStore { whole, names, unsure: true })
    }

    /// The names of what is kept.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// Puts a value that cannot be used out of the way, as a file that no value can be; its name is free then. Its count
    /// begins anew: whoever remembers the old one will take what is written next for an old copy.
    ///
    /// # Errors
    /// What the medium says.
    pub fn set_aside(&mut self, name: &str) -> Result<(), StoreError> {
        validate(name, 0)?;
        self.whole.set_aside(name, &format!("{name}_aside"))?;
        self.names.remove(name);
        Ok(())
    }

    fn read(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        self.whole.read(name, MAX_FILE_BYTES)?.map(|bytes| decode(name, &bytes)).transpose()
    }
}

impl<M: Medium> Store for FileStore<M> {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        validate(name, 0)?;
        // What is told once must stay.
        if self.unsure {
            self.whole.medium.sync_directory()?;
            self.unsure = false;
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
        // What cannot be read is not written over: its count would be lost.
        let writes = self.read(name)?.map_or(0, |kept| kept.writes) + 1;
        let result = self.whole.replace(name, &encode(name, bytes, writes));
        match result {
            Ok(()) => self.unsure = false,
            Err(StoreError::Indeterminate(_)) => self.unsure = true,
            Err(_) => return result.map(|()| writes),
        }
        self.names.insert(name.to_owned());
        result.map(|()| writes)
    }
}

/// A value as a file holds it.
fn encode(name: &str, bytes: &[u8], writes: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + name.len() + bytes.len() + CHECKSUM_BYTES);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    out.push(name.len() as u8);
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(&writes.to_be_bytes());
    out.extend_from_slice(&(bytes.len() as u64).to_be_bytes());
    out.extend_from_slice(bytes);
    let sum = Sha256::digest(&out);
    out.extend_from_slice(&sum);
    out
}

/// The value in a file, if it is whole and its own. Every format ends with the checksum of all before it, so that a turned bit
/// is told from another program's file.
fn decode(name: &str, file: &[u8]) -> Result<StoredValue, StoreError> {
    let torn = || StoreError::Corrupt("it is cut off, or a bit of it has turned");
    let (body, sum) = file.split_at(file.len().saturating_sub(CHECKSUM_BYTES));
    if Sha256::digest(body)[..] != *sum {
        let alike = file.iter().zip(MAGIC).filter(|(a, b)| a == b).count();
        let ours = alike * 2 >= MAGIC.len().min(file.len());
        return Err(if ours { torn() } else { StoreError::Foreign("it is no file of a store") });
    }
    let rest = body.strip_prefix(MAGIC).ok_or(StoreError::Foreign("it is no file of a store"))?;
    let mut rest = rest;
    let mut take = |length: usize| {
        let (taken, left) = rest.split_at_checked(length).ok_or_else(torn)?;
        rest = left;
        Ok::<&[u8], StoreError>(taken)
    };
    if take(2)? != FORMAT_VERSION.to_be_bytes() {
        return Err(StoreError::Foreign("it was written by a program with another format"));
    }
    let length = usize::from(take(1)?[0]);
    if take(length)? != name.as_bytes() {
        return Err(StoreError::Foreign("it was kept under another name"));
    }
    let mut number = || Ok::<u64, StoreError>(u64::from_be_bytes(take(8)?.try_into().expect("eight octets")));
    let (writes, length) = (number()?, number()?);
    if rest.len() as u64 != length {
        return Err(torn());
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
    fn a_folder_keeps_values_for_one_process_at_a_time() {
        let folder = std::env::temp_dir().join(format!("violetward-store-{}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        let mut store = FileStore::open(&folder).unwrap();
        assert!(matches!(FileStore::open(&folder), Err(StoreError::Busy)));
        assert!(store.get("ends").unwrap().is_none());
        assert_eq!((store.put("ends", b"one").unwrap(), store.put("ends", b"two").unwrap()), (1, 2));
        std::fs::write(folder.join("~ends"), b"half").unwrap();
        drop(store);
        let mut store = FileStore::open(&folder).unwrap();
        assert!(!folder.join("~ends").exists());
        assert_eq!(store.get("ends").unwrap(), Some(StoredValue { bytes: b"two".to_vec(), writes: 2 }));
        std::fs::write(folder.join("ends"), b"").unwrap();
        assert!(matches!(store.put("ends", b"three"), Err(StoreError::Corrupt(_))));
        store.set_aside("ends").unwrap();
        assert_eq!(store.put("ends", b"three").unwrap(), 1);
        std::fs::remove_dir_all(&folder).ok();
    }
}
