//! A simulated disk with fault injection, for tests. At a crash it loses, tears and reorders what was not
//! synced; it can stop the process at any operation, fill up, fail to sync and return short reads. Everything
//! follows from a seed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Error, ErrorKind};
use std::rc::Rc;

use crate::medium::Medium;

/// The size that the disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A fault at one operation of the disk; reads count as operations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process stops just before the operation.
    StopBefore,
    /// The process stops just after the operation.
    StopAfter,
    /// This operation fails and later ones succeed. A write writes half of its bytes. A failed sync of a file
    /// loses the content, although the next sync succeeds; after a failed sync of the directory a later one
    /// can still succeed.
    Fail,
    /// The disk is full from this operation on.
    Full,
}

/// All faults.
pub const ALL_FAULTS: [Fault; 4] = [Fault::StopBefore, Fault::StopAfter, Fault::Fail, Fault::Full];

/// The content of a file.
#[derive(Debug, Default)]
struct FileContent {
    /// The content that processes see.
    current: Vec<u8>,
    /// The content that is synced.
    durable: Vec<u8>,
    /// Whether a sync would still make the current content durable.
    is_dirty: bool,
}

/// A change of file names.
#[derive(Debug)]
struct NameChange {
    /// A name and the index of the file that it refers to afterwards.
    added: Option<(String, usize)>,
    removed: Option<String>,
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        if let Some(name) = &self.removed {
            names.remove(name);
        }
        if let Some((name, file)) = &self.added {
            names.insert(name.clone(), *file);
        }
    }
}

#[derive(Debug, Default)]
struct State {
    seed: u64,
    contents: Vec<FileContent>,
    /// Indices into `contents` by file name, as processes see them.
    names: BTreeMap<String, usize>,
    /// The same, as synced.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the directory.
    unsynced_changes: Vec<NameChange>,
    /// The opening that holds the lock.
    lock_holder: Option<u64>,
    /// Counts openings and crashes, so that each opening has its own number.
    openings: u64,
    /// Counts operations since the disk was created.
    operations: usize,
    planned_fault: Option<(usize, Fault)>,
    is_stopped: bool,
    is_full: bool,
    /// Whether reads may be short or interrupted.
    has_short_reads: bool,
}

impl State {
    /// A pseudo-random number below a bound (SplitMix64).
    fn random(&mut self, below: usize) -> usize {
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % below.max(1) as u64) as usize
    }

    fn file_index(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_changes.push(change);
    }

    /// The content of a file after a crash: each sector is current, durable or zero, and the length is either
    /// length or between them.
    fn torn_content(&mut self, at: usize) -> Vec<u8> {
        let FileContent { current, durable, .. } = &self.contents[at];
        let (current, durable) = (current.clone(), durable.clone());
        let shorter = current.len().min(durable.len());
        let longer = current.len().max(durable.len());
        let length = match self.random(3) {
            0 => current.len(),
            1 => durable.len(),
            _ => shorter + self.random(longer - shorter + 1),
        };
        let mut out = vec![0; length];
        // All sectors are current, all are durable, or each is drawn.
        let mode = self.random(3);
        for from in (0..length).step_by(SECTOR_BYTES) {
            let to = length.min(from + SECTOR_BYTES);
            let source = match if mode == 2 { self.random(3) } else { mode } {
                0 => &current,
                1 => &durable,
                _ => continue,
            };
            let end = to.min(source.len()).max(from);
            out[from..end].copy_from_slice(&source[from.min(source.len())..end.min(source.len())]);
        }
        out
    }
}

/// A simulated disk. Its content survives the processes that use it. Clones share the same disk.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk(Rc<RefCell<State>>);

impl SimulatedDisk {
    /// An empty disk. With an odd seed, reads may be short or interrupted.
    pub fn new(seed: u64) -> SimulatedDisk {
        SimulatedDisk(Rc::new(RefCell::new(State {
            seed,
            has_short_reads: seed & 1 == 1,
            ..State::default()
        })))
    }

    /// Opens the disk for a new process.
    pub fn open(&self) -> FaultyMedium {
        let mut state = self.0.borrow_mut();
        state.openings += 1;
        FaultyMedium { disk: self.clone(), opening: state.openings }
    }

    /// The number of operations since the disk was created.
    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// Plans a fault at an operation, counted from 0.
    pub fn plan(&self, at: usize, fault: Fault) {
        self.0.borrow_mut().planned_fault = Some((at, fault));
    }

    /// Whether a planned stop of the process has happened. All operations fail until
    /// [`SimulatedDisk::crash`].
    pub fn is_stopped(&self) -> bool {
        self.0.borrow().is_stopped
    }

    /// Ends the effect of [`Fault::Full`].
    pub fn free(&self) {
        self.0.borrow_mut().is_full = false;
    }

    /// Simulates a power loss and a restart. Of what was not synced, each sector and each change of a name is
    /// randomly kept or lost.
    pub fn crash(&self) {
        let state = &mut *self.0.borrow_mut();
        for at in 0..state.contents.len() {
            if state.contents[at].current == state.contents[at].durable {
                continue;
            }
            let content = state.torn_content(at);
            state.contents[at] = FileContent { current: content.clone(), durable: content, is_dirty: false };
        }
        let changes = std::mem::take(&mut state.unsynced_changes);
        let mut names = std::mem::take(&mut state.durable_names);
        // All changes are kept, each is drawn, or none is kept.
        let mode = state.random(3);
        for change in &changes {
            if mode == 0 || (mode == 1 && state.random(2) == 0) {
                change.apply(&mut names);
            }
        }
        (state.names, state.durable_names) = (names.clone(), names);
        (state.lock_holder, state.planned_fault) = (None, None);
        (state.is_stopped, state.is_full) = (false, false);
        state.openings += 1;
    }

    /// All files with their contents, as a process sees them.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.0.borrow();
        state.names.iter().map(|(name, &at)| (name.clone(), state.contents[at].current.clone())).collect()
    }

    /// Durably replaces all files, for example by corrupted, truncated, old or foreign ones.
    pub fn set_files(&self, files: BTreeMap<String, Vec<u8>>) {
        let mut state = self.0.borrow_mut();
        state.unsynced_changes.clear();
        state.contents.clear();
        state.names.clear();
        for (name, bytes) in files {
            let at = state.contents.len();
            state.contents.push(FileContent { current: bytes.clone(), durable: bytes, is_dirty: false });
            state.names.insert(name, at);
        }
        state.durable_names = state.names.clone();
    }
}

/// A [`Medium`] on a [`SimulatedDisk`], for one process.
#[derive(Debug)]
pub struct FaultyMedium {
    disk: SimulatedDisk,
    opening: u64,
}

impl FaultyMedium {
    /// Performs an operation with the fault that is planned for it. `act` is told whether to simulate a
    /// failure.
    fn operation<T>(&mut self, act: impl FnOnce(&mut State, bool) -> io::Result<T>) -> io::Result<T> {
        let state = &mut *self.disk.0.borrow_mut();
        if state.is_stopped {
            return Err(Error::other("the process has stopped"));
        }
        let fault = state.planned_fault.filter(|&(at, _)| at == state.operations).map(|(_, fault)| fault);
        state.operations += 1;
        match fault {
            Some(Fault::StopBefore) => {
                state.is_stopped = true;
                Err(Error::other("the process has stopped"))
            }
            Some(Fault::StopAfter) => {
                let result = act(state, false);
                state.is_stopped = true;
                result.and(Err(Error::other("the process has stopped")))
            }
            Some(Fault::Fail) => act(state, true).and(Err(Error::other("planned failure"))),
            Some(Fault::Full) => {
                state.is_full = true;
                act(state, false)
            }
            None => act(state, false),
        }
    }
}

impl Drop for FaultyMedium {
    fn drop(&mut self) {
        let mut state = self.disk.0.borrow_mut();
        if state.lock_holder == Some(self.opening) {
            state.lock_holder = None;
        }
    }
}

impl Medium for FaultyMedium {
    fn lock(&mut self) -> io::Result<bool> {
        let opening = self.opening;
        self.operation(|state, fails| {
            let is_free = state.lock_holder.is_none();
            if is_free && !fails {
                state.lock_holder = Some(opening);
            }
            Ok(is_free)
        })
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.operation(|state, _| Ok(state.names.keys().cloned().collect()))
    }

    fn read(&mut self, file: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.operation(|state, _| {
            let index = state.file_index(file)?;
            let available = state.contents[index].current.len().saturating_sub(at as usize).min(into.len());
            if !state.has_short_reads {
                return copy(state, index, at, &mut into[..available]);
            }
            if state.random(8) == 0 {
                return Err(ErrorKind::Interrupted.into());
            }
            let length = available.min(1 + state.random(available));
            copy(state, index, at, &mut into[..length])
        })
    }

    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.operation(|state, fails| {
            let at = match state.file_index(file) {
                Ok(at) => at,
                Err(_) => {
                    state.contents.push(FileContent::default());
                    let at = state.contents.len() - 1;
                    state.change_names(NameChange { added: Some((file.to_owned(), at)), removed: None });
                    at
                }
            };
            let succeeds = !fails && !state.is_full;
            let written = if succeeds { bytes.len() } else { bytes.len() / 2 };
            (state.contents[at].current, state.contents[at].is_dirty) = (bytes[..written].to_vec(), true);
            if succeeds {
                Ok(())
            } else {
                Err(Error::other("the disk is full"))
            }
        })
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.operation(|state, fails| {
            let at = state.file_index(file)?;
            let content = &mut state.contents[at];
            // A failed sync marks the content as clean all the same, so that a second sync reports success
            // without writing it.
            if content.is_dirty && !fails {
                content.durable = content.current.clone();
            }
            content.is_dirty = false;
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.operation(|state, fails| {
            let at = state.file_index(from)?;
            if !fails {
                state.change_names(NameChange {
                    added: Some((to.to_owned(), at)),
                    removed: Some(from.to_owned()),
                });
            }
            Ok(())
        })
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.operation(|state, fails| {
            state.file_index(file)?;
            if !fails {
                state.change_names(NameChange { added: None, removed: Some(file.to_owned()) });
            }
            Ok(())
        })
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.operation(|state, fails| {
            if !fails {
                state.unsynced_changes.clear();
                state.durable_names = state.names.clone();
            }
            Ok(())
        })
    }
}

/// Fills `into` from a file's current content at an offset.
fn copy(state: &State, index: usize, at: u64, into: &mut [u8]) -> io::Result<usize> {
    let content = &state.contents[index].current;
    let from = (at as usize).min(content.len());
    into.copy_from_slice(&content[from..from + into.len()]);
    Ok(into.len())
}
