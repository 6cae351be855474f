//! A disk that fails on purpose, for tests: it loses, tears and reorders at a crash whatever is not synced, stops at any
//! operation, fills up, fails to sync, reads short and turns bits. All of it follows from a seed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Error, ErrorKind};
use std::rc::Rc;

use crate::medium::Medium;

/// Octets that a disk writes as a whole.
const SECTOR: usize = 512;

/// What happens at an operation. Reading counts as one too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is gone before it.
    StopBefore,
    /// The process is gone just after it.
    StopAfter,
    /// It fails, and the next ones do not. Half of what was to be written is; octets that were to be synced are never written,
    /// though the next sync says so; names still may be.
    Fail,
    /// From here on nothing more can be written.
    Full,
}

/// All faults.
pub const ALL_FAULTS: [Fault; 4] = [Fault::StopBefore, Fault::StopAfter, Fault::Fail, Fault::Full];

#[derive(Debug, Default)]
struct Octets {
    now: Vec<u8>,
    safe: Vec<u8>,
    /// Whether a sync still would write what is not safe.
    dirty: bool,
}

/// A name that gets a file, and one that loses its own.
type Change = (Option<(String, usize)>, Option<String>);

#[derive(Debug, Default)]
struct State {
    seed: u64,
    octets: Vec<Octets>,
    now: BTreeMap<String, usize>,
    safe: BTreeMap<String, usize>,
    /// Changes of names that are not safe.
    changes: Vec<Change>,
    /// Who holds the lock; counts openings.
    held: Option<u64>,
    openings: u64,
    operations: usize,
    plan: Option<(usize, Fault)>,
    stopped: bool,
    full: bool,
    short: bool,
}

impl State {
    /// A number below a bound, drawn by the seed (splitmix64).
    fn draw(&mut self, below: usize) -> usize {
        self.seed = self.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % below.max(1) as u64) as usize
    }

    fn file(&self, name: &str) -> io::Result<usize> {
        self.now.get(name).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change(&mut self, gets: Option<(String, usize)>, loses: Option<String>) {
        apply(&mut self.now, &gets, &loses);
        self.changes.push((gets, loses));
    }

    /// What of a file's octets the disk has after a crash: each sector as it was, as it is, or empty; any length between.
    fn torn(&mut self, at: usize) -> Vec<u8> {
        let Octets { now, safe, .. } = &self.octets[at];
        let (now, safe) = (now.clone(), safe.clone());
        let (least, most) = (now.len().min(safe.len()), now.len().max(safe.len()));
        let length = match self.draw(3) {
            0 => now.len(),
            1 => safe.len(),
            _ => least + self.draw(most - least + 1),
        };
        let mut out = vec![0; length];
        // All new, all old, or mixed.
        let mood = self.draw(3);
        for from in (0..length).step_by(SECTOR) {
            let to = length.min(from + SECTOR);
            let source = match if mood == 2 { self.draw(3) } else { mood } {
                0 => &now,
                1 => &safe,
                _ => continue,
            };
            let there = to.min(source.len()).max(from);
            out[from..there].copy_from_slice(&source[from.min(source.len())..there.min(source.len())]);
        }
        out
    }
}

fn apply(names: &mut BTreeMap<String, usize>, gets: &Option<(String, usize)>, loses: &Option<String>) {
    if let Some(name) = loses {
        names.remove(name);
    }
    if let Some((name, file)) = gets {
        names.insert(name.clone(), *file);
    }
}

/// The disk itself: what is on it outlasts those that use it.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk(Rc<RefCell<State>>);

impl SimulatedDisk {
    /// An empty disk. Half of all seeds read short.
    pub fn new(seed: u64) -> SimulatedDisk {
        SimulatedDisk(Rc::new(RefCell::new(State { seed, short: seed & 1 == 1, ..State::default() })))
    }

    /// A process that uses it.
    pub fn open(&self) -> FaultyMedium {
        let mut state = self.0.borrow_mut();
        state.openings += 1;
        FaultyMedium { disk: self.clone(), opening: state.openings }
    }

    /// How many operations there were since the disk was made.
    pub fn operations(&self) -> usize {
        self.0.borrow().operations
    }

    /// Plans what happens at an operation, counted from 0.
    pub fn plan(&self, at: usize, fault: Fault) {
        self.0.borrow_mut().plan = Some((at, fault));
    }

    /// Whether a planned stop has come: the process is gone, and all that it asks for fails.
    pub fn is_stopped(&self) -> bool {
        self.0.borrow().stopped
    }

    /// There is room again.
    pub fn free(&self) {
        self.0.borrow_mut().full = false;
    }

    /// Power is lost and comes back. Of what was not synced each part is kept or lost as drawn: octets by sector, changes of
    /// names in any order.
    pub fn crash(&self) {
        let state = &mut *self.0.borrow_mut();
        for at in 0..state.octets.len() {
            let kept = if state.octets[at].now == state.octets[at].safe { continue } else { state.torn(at) };
            state.octets[at] = Octets { now: kept.clone(), safe: kept, dirty: false };
        }
        let changes = std::mem::take(&mut state.changes);
        let mut safe = std::mem::take(&mut state.safe);
        let mood = state.draw(3);
        for (gets, loses) in &changes {
            if mood == 0 || (mood == 1 && state.draw(2) == 0) {
                apply(&mut safe, gets, loses);
            }
        }
        (state.now, state.safe) = (safe.clone(), safe);
        (state.held, state.stopped, state.full, state.plan) = (None, false, false, None);
        state.openings += 1;
    }

    /// The files and what is in them, as a process sees them now.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let state = self.0.borrow();
        state.now.iter().map(|(name, &at)| (name.clone(), state.octets[at].now.clone())).collect()
    }

    /// Puts other files in place of those that are there, for good: a turned bit, a cut, an old copy, a foreign file.
    pub fn set_files(&self, files: BTreeMap<String, Vec<u8>>) {
        let mut state = self.0.borrow_mut();
        state.changes.clear();
        state.octets.clear();
        state.now.clear();
        for (name, bytes) in files {
            let at = state.octets.len();
            state.octets.push(Octets { now: bytes.clone(), safe: bytes, dirty: false });
            state.now.insert(name, at);
        }
        state.safe = state.now.clone();
    }
}

/// A [`Medium`] on a [`SimulatedDisk`].
#[derive(Debug)]
pub struct FaultyMedium {
    disk: SimulatedDisk,
    opening: u64,
}

impl FaultyMedium {
    /// Does an operation as planned: `act` is told whether to fail.
    fn operation<T>(&mut self, act: impl FnOnce(&mut State, bool) -> io::Result<T>) -> io::Result<T> {
        let state = &mut *self.disk.0.borrow_mut();
        if state.stopped {
            return Err(Error::other("the process is gone"));
        }
        let fault = state.plan.filter(|&(at, _)| at == state.operations).map(|(_, fault)| fault);
        state.operations += 1;
        match fault {
            Some(Fault::StopBefore) => {
                state.stopped = true;
                Err(Error::other("the process is gone"))
            }
            Some(Fault::StopAfter) => {
                let result = act(state, false);
                state.stopped = true;
                result.and(Err(Error::other("the process is gone")))
            }
            Some(Fault::Fail) => act(state, true).and(Err(Error::other("a planned failure"))),
            Some(Fault::Full) => {
                state.full = true;
                act(state, false)
            }
            None => act(state, false),
        }
    }
}

impl Drop for FaultyMedium {
    fn drop(&mut self) {
        let mut state = self.disk.0.borrow_mut();
        if state.held == Some(self.opening) {
            state.held = None;
        }
    }
}

impl Medium for FaultyMedium {
    fn lock(&mut self) -> io::Result<bool> {
        let opening = self.opening;
        self.operation(|state, fails| {
            let free = state.held.is_none();
            if free && !fails {
                state.held = Some(opening);
            }
            Ok(free)
        })
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.operation(|state, _| Ok(state.now.keys().cloned().collect()))
    }

    fn read(&mut self, file: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.operation(|state, _| {
            let octets = state.file(file)?;
            let there = state.octets[octets].now.len().saturating_sub(at as usize).min(into.len());
            if !state.short {
                return copy(state, octets, at, &mut into[..there]);
            }
            if state.draw(8) == 0 {
                return Err(ErrorKind::Interrupted.into());
            }
            let some = there.min(1 + state.draw(there));
            copy(state, octets, at, &mut into[..some])
        })
    }

    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.operation(|state, fails| {
            let at = match state.file(file) {
                Ok(at) => at,
                Err(_) => {
                    state.octets.push(Octets::default());
                    let at = state.octets.len() - 1;
                    state.change(Some((file.to_owned(), at)), None);
                    at
                }
            };
            let room = !fails && !state.full;
            let taken = if room { bytes.len() } else { bytes.len() / 2 };
            (state.octets[at].now, state.octets[at].dirty) = (bytes[..taken].to_vec(), true);
            if room {
                Ok(())
            } else {
                Err(Error::other("the disk is full"))
            }
        })
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.operation(|state, fails| {
            let at = state.file(file)?;
            let octets = &mut state.octets[at];
            // What failed once is no longer known as unwritten: a second sync says that all is well.
            if octets.dirty && !fails {
                octets.safe = octets.now.clone();
            }
            octets.dirty = false;
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.operation(|state, fails| {
            let at = state.file(from)?;
            if !fails {
                state.change(Some((to.to_owned(), at)), Some(from.to_owned()));
            }
            Ok(())
        })
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.operation(|state, fails| {
            state.file(file)?;
            if !fails {
                state.change(None, Some(file.to_owned()));
            }
            Ok(())
        })
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.operation(|state, fails| {
            if !fails {
                state.changes.clear();
                state.safe = state.now.clone();
            }
            Ok(())
        })
    }
}

fn copy(state: &State, octets: usize, at: u64, into: &mut [u8]) -> io::Result<usize> {
    let from = (at as usize).min(state.octets[octets].now.len());
    into.copy_from_slice(&state.octets[octets].now[from..from + into.len()]);
    Ok(into.len())
}
