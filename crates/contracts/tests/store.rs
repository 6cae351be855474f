//! The contracts of [`violetward_store::Store`], on every store and on broken ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};

use violetward_contracts::store::{bounded, keeps, one_opens, tells_old, tells_spoilt, Stage};
use violetward_store::copies::{
    Command, Config, Epoch, Micros, Replica, Replicas, ReplicatedStore, Request, Response,
    MAX_REPLICATED_NAME_LENGTH, MAX_REPLICATED_VALUE_BYTES,
};
use violetward_store::faulty::{FaultyMedium, SimulatedDisk};
use violetward_store::file::FileStore;
use violetward_store::medium::{Directory, Medium};
use violetward_store::memory::MemoryStore;
use violetward_store::{Store, StoreError, StoredValue};

struct InMemory;

impl Stage for InMemory {
    type Store = MemoryStore;
    fn open(&mut self) -> Result<MemoryStore, StoreError> {
        Ok(MemoryStore::default())
    }
    fn disks(&self) -> Vec<SimulatedDisk> {
        vec![]
    }
    fn lasts(&self) -> bool {
        false
    }
}

/// A store on files, perhaps on a medium or in a wrapper that is broken on purpose.
struct OnFiles<S> {
    disk: SimulatedDisk,
    make: fn(FaultyMedium) -> Result<S, StoreError>,
}

impl<S: Store> Stage for OnFiles<S> {
    type Store = S;
    fn open(&mut self) -> Result<S, StoreError> {
        (self.make)(self.disk.open())
    }
    fn disks(&self) -> Vec<SimulatedDisk> {
        vec![self.disk.clone()]
    }
}

fn on<S: Store>(make: fn(FaultyMedium) -> Result<S, StoreError>) -> impl Fn(u64) -> OnFiles<S> {
    move |seed| OnFiles { disk: SimulatedDisk::new(seed), make }
}

#[test]
fn the_store_in_memory_keeps_its_contracts() {
    keeps(1, 200, |_| InMemory).unwrap();
    bounded(InMemory).unwrap();
}

#[test]
fn the_store_on_files_keeps_its_contracts() {
    let good = on(FileStore::on_medium);
    let tried = keeps(1, 120, &good).unwrap();
    println!("{tried:?}");
    assert!(tried.plays > 4 * tried.operations, "{tried:?}");
    one_opens(good(1)).unwrap();
    bounded(good(2)).unwrap();
    println!("{} spoilt files", tells_spoilt(good(2)).unwrap());
    tells_old(good(4)).unwrap();
}

/// A folder of this machine, gone with the test.
struct InFolder(PathBuf);

impl InFolder {
    fn new() -> InFolder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("violetward-contracts-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        InFolder(std::env::temp_dir().join(name))
    }
}

impl Drop for InFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

impl Stage for InFolder {
    type Store = FileStore<Directory>;
    fn open(&mut self) -> Result<FileStore<Directory>, StoreError> {
        FileStore::open(&self.0)
    }
    fn disks(&self) -> Vec<SimulatedDisk> {
        vec![]
    }
}

#[test]
fn a_folder_of_this_machine_keeps_the_contracts_that_need_no_faulty_disk() {
    keeps(1, 30, |_| InFolder::new()).unwrap();
    one_opens(InFolder::new()).unwrap();
    bounded(InFolder::new()).unwrap();
}

/// What is broken about a medium.
#[derive(Clone, Copy, PartialEq)]
enum Broken {
    NoSync,
    NoFolderSync,
    InPlace,
    NoLock,
    SumMadeUp,
    OneRead,
}

struct Bad(FaultyMedium, Broken);

impl Bad {
    fn file<'a>(&self, file: &'a str) -> &'a str {
        if self.1 == Broken::InPlace {
            file.trim_start_matches('~')
        } else {
            file
        }
    }
}

impl Medium for Bad {
    fn lock(&mut self) -> io::Result<bool> {
        Ok(self.0.lock()? || self.1 == Broken::NoLock)
    }
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.0.list()
    }
    fn read(&mut self, file: &str, at: u64, into: &mut [u8]) -> io::Result<usize> {
        if self.1 == Broken::OneRead && at > 0 {
            return Ok(0);
        }
        let got = self.0.read(file, at, into)?;
        if self.1 == Broken::SumMadeUp && at == 0 && got > 32 {
            use sha2::Digest;
            let sum = sha2::Sha256::digest(&into[..got - 32]);
            into[got - 32..got].copy_from_slice(&sum);
        }
        Ok(got)
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.write(self.file(file), bytes)
    }
    fn sync(&mut self, file: &str) -> io::Result<()> {
        if self.1 == Broken::NoSync {
            return Ok(());
        }
        self.0.sync(self.file(file))
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.1 == Broken::InPlace {
            return Ok(());
        }
        self.0.rename(from, to)
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.0.remove(file)
    }
    fn sync_directory(&mut self) -> io::Result<()> {
        if self.1 == Broken::NoFolderSync {
            return Ok(());
        }
        self.0.sync_directory()
    }
}

macro_rules! bad {
    ($broken:ident) => {
        on(|medium| FileStore::on_medium(Bad(medium, Broken::$broken)))
    };
}

#[test]
fn each_broken_medium_is_found() {
    for (what, found) in [
        ("no sync", keeps(1, 100, bad!(NoSync)).unwrap_err()),
        ("no sync of the folder", keeps(1, 100, bad!(NoFolderSync)).unwrap_err()),
        ("in place", keeps(1, 100, bad!(InPlace)).unwrap_err()),
        ("one read", keeps(1, 100, bad!(OneRead)).unwrap_err()),
        ("no lock", one_opens(bad!(NoLock)(1)).unwrap_err()),
        ("no checksum", tells_spoilt(bad!(SumMadeUp)(2)).unwrap_err()),
    ] {
        println!("{what}: {}", found.lines().next().unwrap_or_default());
    }
}

/// A store that forgets the count, or acknowledges first and writes later.
struct Wrapped {
    store: FileStore<FaultyMedium>,
    forgets: bool,
    later: Option<(String, Vec<u8>)>,
    counts: BTreeMap<String, u64>,
}

impl Wrapped {
    fn on(medium: FaultyMedium, forgets: bool) -> Result<Wrapped, StoreError> {
        Ok(Wrapped { store: FileStore::on_medium(medium)?, forgets, later: None, counts: BTreeMap::new() })
    }
    fn flush(&mut self) {
        let later = self.later.take();
        later.iter().for_each(|(name, bytes)| drop(self.store.put(name, bytes)));
    }
}

impl Store for Wrapped {
    fn get(&mut self, name: &str) -> Result<Option<StoredValue>, StoreError> {
        self.flush();
        let found = self.store.get(name)?;
        let writes = self.counts.get(name).copied().filter(|_| self.forgets);
        Ok(found.map(|kept| StoredValue { writes: writes.unwrap_or(kept.writes), ..kept }))
    }
    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        self.flush();
        if self.forgets {
            self.store.put(name, bytes)?;
            let count = self.counts.entry(name.to_owned()).or_default();
            *count += 1;
            return Ok(*count);
        }
        let writes = self.store.get(name)?.map_or(0, |kept| kept.writes) + 1;
        self.later = Some((name.to_owned(), bytes.to_vec()));
        Ok(writes)
    }
}

#[test]
fn a_count_that_is_not_kept_and_an_early_acknowledgement_are_found() {
    let found = keeps(1, 100, on(|medium| Wrapped::on(medium, true))).unwrap_err();
    println!("count: {}", found.lines().next().unwrap_or_default());
    let found = keeps(1, 100, on(|medium| Wrapped::on(medium, false))).unwrap_err();
    println!("early: {}", found.lines().next().unwrap_or_default());
}

const LEASE: Micros = 2_000_000;
const COPIES: usize = 3;

/// What is broken about the way to the copies.
#[derive(Clone, Copy, PartialEq)]
enum Lie {
    None,
    /// Every copy answers what the first one holds.
    OneIsRead,
    /// One acknowledges for all.
    OneIsWritten,
    /// Claims are not told apart.
    OneEpoch,
    /// What is written under an epoch of before counts as taken.
    NoFence,
}

/// Three copies on disks of their own; the way to some may be cut.
struct Three {
    disks: Vec<SimulatedDisk>,
    now: Cell<Micros>,
    copies: RefCell<Vec<Option<Replica<FileStore<FaultyMedium>>>>>,
    cut: RefCell<Vec<usize>>,
    old: RefCell<Vec<usize>>,
    lie: Lie,
}

impl Three {
    fn answer(&self, copy: usize, request: &Request) -> Option<Response> {
        let (mut copies, now) = (self.copies.borrow_mut(), self.now.get());
        if copies[copy].is_none() {
            let store = FileStore::on_medium(self.disks[copy].open()).ok();
            copies[copy] = store.map(|store| Replica::new(store, LEASE, now));
        }
        let answer = copies[copy].as_mut().map(|c| c.handle(now, request));
        if self.disks[copy].is_stopped() {
            copies[copy] = None;
            self.disks[copy].crash();
            return None;
        }
        answer
    }
}

#[derive(Clone)]
struct Way(Rc<Three>);

impl Replicas for Way {
    fn now(&self) -> Micros {
        self.0.now.get()
    }
    fn request(&mut self, copy: usize, request: &Request) -> Option<Response> {
        self.0.now.set(self.0.now.get() + 100);
        if self.0.cut.borrow().contains(&copy) {
            return None;
        }
        match (self.0.lie, &request.command) {
            (Lie::OneIsRead, Command::Read(_)) => self.0.answer(0, request),
            (Lie::OneIsWritten, Command::Write(..)) if copy > 0 => Some(Response::Written),
            (Lie::OneEpoch, _) => {
                let epoch = Epoch { number: 1, incarnation: 1 };
                self.0.answer(copy, &Request { epoch, ..request.clone() })
            }
            (lie, command) => match (self.0.answer(copy, request), command) {
                (Some(Response::Superseded(_)), Command::Write(..)) if lie == Lie::NoFence => {
                    Some(Response::Written)
                }
                (answer, _) => answer,
            },
        }
    }
    fn wait_until(&mut self, until: Micros) {
        self.0.now.set(until.max(self.0.now.get()));
    }
    fn on_stale(&mut self, copy: usize) {
        self.0.old.borrow_mut().push(copy);
    }
}

struct OnCopies {
    way: Way,
    lives: u64,
}

impl OnCopies {
    fn new(seed: u64, lie: Lie) -> OnCopies {
        let three = Three {
            disks: (0..COPIES as u64).map(|n| SimulatedDisk::new(seed.wrapping_add(n << 32))).collect(),
            now: Cell::new(1),
            copies: RefCell::new((0..COPIES).map(|_| None).collect()),
            cut: RefCell::default(),
            old: RefCell::default(),
            lie,
        };
        OnCopies { way: Way(Rc::new(three)), lives: 0 }
    }
}

impl Stage for OnCopies {
    type Store = ReplicatedStore<Way>;
    fn open(&mut self) -> Result<ReplicatedStore<Way>, StoreError> {
        self.lives += 1;
        let terms = Config {
            owner: "g1".into(),
            replicas: COPIES,
            lease: LEASE,
            retry_interval: LEASE / 20,
            timeout: LEASE / 2,
            max_pending: 8,
        };
        ReplicatedStore::open(terms, self.lives, self.way.clone())
    }
    fn disks(&self) -> Vec<SimulatedDisk> {
        self.way.0.disks.clone()
    }
    fn most(&self) -> (usize, usize) {
        (MAX_REPLICATED_NAME_LENGTH, MAX_REPLICATED_VALUE_BYTES)
    }
    fn wait(&mut self) {
        let three = &self.way.0;
        three.copies.borrow_mut().fill_with(|| None);
        let nobody =
            Request { owner: "nobody".into(), epoch: Epoch::default(), number: 0, command: Command::Probe };
        (0..COPIES).for_each(|copy| drop(three.answer(copy, &nobody)));
        three.now.set(three.now.get() + 2 * LEASE);
    }
}

#[test]
fn copies_keep_their_contracts() {
    let tried = keeps(1, 4, |seed| OnCopies::new(seed, Lie::None)).unwrap();
    println!("{tried:?}");
    one_opens(OnCopies::new(1, Lie::None)).unwrap();
    bounded(OnCopies::new(2, Lie::None)).unwrap();
    tells_old(OnCopies::new(2, Lie::None)).unwrap();
}

#[test]
fn lies_of_copies_are_found() {
    for (what, found) in [
        ("the older copy", tells_old(OnCopies::new(2, Lie::OneIsRead)).unwrap_err()),
        ("one is read", keeps(1, 60, |seed| OnCopies::new(seed, Lie::OneIsRead)).unwrap_err()),
        ("one is written", keeps(1, 60, |seed| OnCopies::new(seed, Lie::OneIsWritten)).unwrap_err()),
        ("no fence", one_opens(OnCopies::new(2, Lie::NoFence)).unwrap_err()),
        ("one epoch", one_opens(OnCopies::new(2, Lie::OneEpoch)).unwrap_err()),
    ] {
        println!("{what}: {}", found.lines().next().unwrap_or_default());
    }
}

#[test]
fn one_copy_of_three_may_be_cut_off_spoilt_or_old_and_a_quorum_may_not() {
    let mut stage = OnCopies::new(2, Lie::None);
    let mut store = stage.open().unwrap();
    store.put("ends", b"one").unwrap();
    let three = stage.way.0.clone();
    let old = three.disks[1].files();
    three.cut.replace(vec![0]);
    assert_eq!(store.put("ends", b"two").unwrap(), 2);
    three.cut.replace(vec![0, 1]);
    assert!(matches!(store.put("ends", b"three"), Err(StoreError::Indeterminate(_))));
    assert!(matches!(store.get("ends"), Err(StoreError::Io(_))));
    three.cut.replace(vec![2]);
    // The third one alone has what is unsure: what stands is settled without it, and it does not come up later.
    assert_eq!(store.get("ends").unwrap().unwrap().bytes, b"two");
    three.cut.replace(vec![]);
    assert_eq!(store.get("ends").unwrap().unwrap().bytes, b"two");
    assert_eq!(*three.old.borrow(), [0; 0]);
    three.disks[1].set_files(old);
    assert_eq!(store.get("ends").unwrap().unwrap().bytes, b"two");
    assert_eq!(*three.old.borrow(), [1]);
    let mut files = three.disks[0].files();
    files.values_mut().for_each(|bytes| bytes[40] ^= 4);
    three.disks[0].set_files(files);
    assert_eq!(store.put("ends", b"four").unwrap(), store.get("ends").unwrap().unwrap().writes);
    drop(store);
    stage.wait();
    assert_eq!(stage.open().unwrap().get("ends").unwrap().unwrap().bytes, b"four");
}
