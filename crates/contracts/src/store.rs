//! What every [`Store`] must keep. A contract plays drawn sequences on a store beside a plain model, and plays each again with
//! every fault at every operation of the medium under it.

use std::cell::Cell;
use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use violetward_store::faulty::{SimulatedDisk, ALL_FAULTS};
use violetward_store::{Store, StoreError, StoredValue, MAX_NAME_LENGTH, MAX_VALUE_BYTES};

/// What a store is played on. Each play begins with a new one.
pub trait Stage {
    /// The store.
    type Store: Store;

    /// Starts a process that uses the store.
    ///
    /// # Errors
    /// Why it cannot use it.
    fn open(&mut self) -> Result<Self::Store, StoreError>;

    /// The disks under it. A stopped one has stopped the process, or the copy on it.
    fn disks(&self) -> Vec<SimulatedDisk>;

    /// Whether what is put outlasts a process.
    fn lasts(&self) -> bool {
        true
    }

    /// Characters of the longest name, and octets of the longest value.
    fn most(&self) -> (usize, usize) {
        (MAX_NAME_LENGTH, MAX_VALUE_BYTES)
    }

    /// Time goes by until a process that is gone, or says nothing, counts as gone; what keeps copies starts again.
    fn wait(&mut self) {}
}

/// A step of a play.
#[derive(Debug, Clone)]
pub enum Step {
    /// Puts a value of a length under one of the names.
    Put(usize, usize),
    /// Reads one.
    Get(usize),
    /// The process ends, and another one starts.
    Restart,
    /// Power is lost, and comes back.
    Crash,
}

/// How much was tried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tried {
    /// Plays, each with a fault at one operation.
    pub plays: usize,
    /// Operations of the medium in them without a fault.
    pub operations: usize,
}

const NAMES: [&str; 3] = ["ends", "votes.1", "a-profile"];

/// What has to be there under a name.
#[derive(Debug, Clone, Default)]
struct Expected {
    /// What was acknowledged, or read, last.
    sure: Option<StoredValue>,
    /// What may be there in its place: put since, and neither acknowledged nor refused.
    perhaps: Vec<Vec<u8>>,
}

struct Play<S: Stage> {
    stage: S,
    store: Option<S::Store>,
    model: BTreeMap<usize, Expected>,
    puts: u64,
}

impl<S: Stage> Play<S> {
    fn new(stage: S) -> Play<S> {
        Play { stage, store: None, model: BTreeMap::new(), puts: 0 }
    }

    /// Whether a fault has stopped something: what fails then says nothing.
    fn stopped(&self) -> bool {
        self.stage.disks().iter().any(SimulatedDisk::is_stopped)
    }

    fn open(&mut self) -> Result<(), String> {
        if self.store.is_some() {
            return Ok(());
        }
        for _ in 0..3 {
            match self.stage.open() {
                Ok(store) => {
                    self.store = Some(store);
                    return Ok(());
                }
                // One planned failure may hit the opening.
                Err(StoreError::Io(_) | StoreError::Indeterminate(_)) => {}
                Err(e) => return Err(format!("it cannot be opened: {e}")),
            }
            if self.stopped() {
                self.crash();
            }
            self.stage.disks().iter().for_each(SimulatedDisk::free);
        }
        Err("it cannot be opened".into())
    }

    fn crash(&mut self) {
        self.store = None;
        self.stage.disks().iter().for_each(SimulatedDisk::crash);
        self.stage.wait();
        if !self.stage.lasts() {
            self.model.clear();
        }
    }

    fn put(&mut self, name: usize, length: usize) -> Result<(), String> {
        self.puts += 1;
        let puts = self.puts;
        let bytes: Vec<u8> = (0..length).map(|i| (i as u64 + puts * 37) as u8).chain([puts as u8]).collect();
        let store = self.store.as_mut().expect("it is open");
        let result = store.put(NAMES[name], &bytes);
        let stopped = self.stopped();
        let expected = self.model.entry(name).or_default();
        match result {
            Ok(writes) => {
                if let Some(sure) = expected.sure.as_ref().filter(|sure| sure.writes >= writes) {
                    return Err(format!("count {writes} after {}", sure.writes));
                }
                *expected = Expected { sure: Some(StoredValue { bytes, writes }), perhaps: vec![] };
            }
            Err(StoreError::Indeterminate(_)) => expected.perhaps.push(bytes),
            Err(StoreError::Io(_)) if stopped => expected.perhaps.push(bytes),
            Err(StoreError::Io(_)) => {}
            Err(e) => return Err(format!("put: {e}")),
        }
        Ok(())
    }

    fn get(&mut self, name: usize) -> Result<bool, String> {
        let store = self.store.as_mut().expect("it is open");
        let expected = self.model.entry(name).or_default();
        match store.get(NAMES[name]) {
            Ok(found) => {
                let (had, got) = (expected.sure.as_ref(), found.as_ref());
                let same = had.map(|k| &k.bytes) == got.map(|k| &k.bytes);
                let good = same || got.is_some_and(|k| expected.perhaps.contains(&k.bytes));
                let (before, after) = (had.map_or(0, |k| k.writes), got.map_or(0, |k| k.writes));
                if !good {
                    return Err(format!("count {before} was sure, another value of count {after} is there"));
                }
                if after < before || (after == before && !same) {
                    return Err(format!("count {after} after {before}"));
                }
                *expected = Expected { sure: found, perhaps: vec![] };
                Ok(true)
            }
            Err(StoreError::Io(_) | StoreError::Indeterminate(_)) => Ok(false),
            Err(e) => Err(format!("get: {e}")),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        self.open()?;
        match *step {
            Step::Put(name, length) => self.put(name, length)?,
            Step::Get(name) => drop(self.get(name)?),
            Step::Restart if self.stage.lasts() => {
                self.store = None;
                self.stage.wait();
            }
            Step::Restart => {}
            Step::Crash => self.crash(),
        }
        if self.stopped() {
            self.crash();
        }
        Ok(())
    }

    /// All steps; then power is lost, and all that was acknowledged has to be there, and to be told twice.
    fn run(&mut self, steps: &[Step]) -> Result<(), String> {
        steps.iter().try_for_each(|step| self.step(step))?;
        for end in 0..2 {
            if end == 0 {
                // Where the process goes on, what it tells holds too.
                self.open()?;
            } else {
                self.crash();
            }
            for name in 0..NAMES.len() {
                for again in 0.. {
                    self.open()?;
                    if self.get(name)? {
                        break;
                    }
                    if self.stopped() {
                        self.crash();
                    }
                    self.stage.disks().iter().for_each(SimulatedDisk::free);
                    if again > 4 {
                        return Err("nothing can be read any more".into());
                    }
                }
            }
        }
        Ok(())
    }
}

fn operations<S: Stage>(stage: &S) -> usize {
    stage.disks().iter().map(SimulatedDisk::operations).sum()
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let length = prop_oneof![4 => 0..40usize, 2 => 400..1_700usize];
    let step = prop_oneof![
        6 => (0..NAMES.len(), length).prop_map(|(name, length)| Step::Put(name, length)),
        3 => (0..NAMES.len()).prop_map(Step::Get),
        1 => Just(Step::Restart),
        1 => Just(Step::Crash),
    ];
    prop::collection::vec(step, 1..8)
}

/// What was acknowledged is there after any crash at any operation, what was not is there as a whole or not at all, a failed put
/// leaves the old value, and counts only grow. Every sequence is played once without a fault and then once with each fault at
/// each operation of each disk; what fails is shrunk.
///
/// # Errors
/// The shortest sequence that was found to break it, and how.
pub fn keeps<S: Stage>(seed: u64, cases: u32, stage: impl Fn(u64) -> S) -> Result<Tried, String> {
    let tried = Cell::new(Tried::default());
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 2_000, ..Config::default() };
    let result = TestRunner::new_with_rng(config, rng).run(&(steps(), any::<u64>()), |(steps, seed)| {
        let mut calm = Play::new(stage(seed));
        calm.run(&steps).map_err(|why| TestCaseError::fail(format!("without a fault: {why}")))?;
        let counts: Vec<usize> = calm.stage.disks().iter().map(SimulatedDisk::operations).collect();
        let mut now = tried.get();
        now.operations += operations(&calm.stage);
        now.plays += 1;
        for (disk, &count) in counts.iter().enumerate() {
            for (at, fault) in (0..count).flat_map(|at| ALL_FAULTS.map(|fault| (at, fault))) {
                let mut play = Play::new(stage(seed ^ (at as u64) << 8));
                play.stage.disks()[disk].plan(at, fault);
                now.plays += 1;
                play.run(&steps).map_err(|why| {
                    TestCaseError::fail(format!("{fault:?} at operation {at} of disk {disk}: {why}"))
                })?;
            }
        }
        tried.set(now);
        Ok(())
    });
    result.map(|()| tried.get()).map_err(|e| e.to_string())
}

/// Of two that open a store at once the second is told so, and the first goes on; one that has lost its store to another one
/// by standing still writes nothing any more; what one has left another one may open.
///
/// # Errors
/// How it is broken.
pub fn one_opens<S: Stage>(mut stage: S) -> Result<(), String> {
    let mut first = stage.open().map_err(|e| e.to_string())?;
    first.put(NAMES[0], b"one").map_err(|e| e.to_string())?;
    if !matches!(stage.open(), Err(StoreError::Busy)) {
        return Err("the second is not told".into());
    }
    first.put(NAMES[0], b"two").map_err(|e| format!("the first is disturbed: {e}"))?;
    stage.wait();
    // The first has stood still; where another one may take over then, it must not go on when it wakes.
    match stage.open() {
        Ok(mut second) => {
            second.put(NAMES[0], b"three").map_err(|e| e.to_string())?;
            let late = first.put(NAMES[0], b"late");
            let kept = second.get(NAMES[0]).map_err(|e| e.to_string())?;
            if late.is_ok() || kept.is_none_or(|kept| kept.bytes != b"three") {
                return Err("two go on".into());
            }
        }
        Err(StoreError::Busy) => {}
        Err(e) => return Err(format!("the second: {e}")),
    }
    drop(first);
    stage.wait();
    stage.open().map(drop).map_err(|e| format!("it cannot be opened again: {e}"))
}

/// Names and values outside of the bounds are refused and change nothing; those at the bounds are kept.
///
/// # Errors
/// How it is broken.
pub fn bounded<S: Stage>(mut stage: S) -> Result<(), String> {
    let mut store = stage.open().map_err(|e| e.to_string())?;
    let (longest, value) = stage.most();
    let long = "n".repeat(longest + 1);
    for name in ["", ".", "..", ".a", "A", "a/b", "a~", "a b", "\u{e4}", "a\0", &long] {
        let (put, got) = (store.put(name, b"x"), store.get(name));
        if !matches!((&put, &got), (Err(StoreError::Invalid(_)), Err(StoreError::Invalid(_)))) {
            return Err(format!("{name:?}: {put:?}, {got:?}"));
        }
    }
    let wide = vec![7; value + 1];
    let name = &long[1..];
    if !matches!(store.put(name, &wide), Err(StoreError::Invalid(_))) || !matches!(store.get(name), Ok(None))
    {
        return Err("a value that is too long is taken".into());
    }
    store.put(name, &wide[1..]).map_err(|e| e.to_string())?;
    match store.get(name) {
        Ok(Some(kept)) if kept.bytes == wide[1..] => Ok(()),
        _ => Err("the longest value is not kept".into()),
    }
}

/// A turned bit, a cut, a foreign file and one of another name are told; none is ever given out as good. Every bit of every
/// file is turned and every length tried, one at a time.
///
/// # Errors
/// How it is broken.
pub fn tells_spoilt<S: Stage>(mut stage: S) -> Result<usize, String> {
    let disk = stage.disks().into_iter().next().ok_or("there is no disk")?;
    let values = |stage: &mut S| -> Result<Vec<Result<Option<StoredValue>, StoreError>>, String> {
        let mut store = stage.open().map_err(|e| e.to_string())?;
        Ok(NAMES.iter().map(|name| store.get(name)).collect())
    };
    let mut store = stage.open().map_err(|e| e.to_string())?;
    for (n, name) in NAMES.iter().enumerate() {
        (0..=n).try_for_each(|i| store.put(name, &[i as u8; 9]).map(drop)).map_err(|e| e.to_string())?;
    }
    drop(store);
    let good = disk.files();
    let mut tried = 0;
    let mut check = |files: BTreeMap<String, Vec<u8>>, spoilt: usize, what: &str| {
        disk.set_files(files);
        tried += 1;
        match &values(&mut stage)?[spoilt] {
            Err(StoreError::Corrupt(_)) if what != "foreign" => Ok(()),
            Err(StoreError::Foreign(_)) if what == "foreign" => Ok(()),
            other => Err(format!("{what}: {other:?}")),
        }
    };
    for (n, name) in NAMES.iter().enumerate() {
        let file = good.get(*name).ok_or("a value has no file of its name")?;
        let with = |bytes: Vec<u8>| {
            let mut files = good.clone();
            files.insert((*name).to_owned(), bytes);
            files
        };
        for bit in (0..file.len() * 8).rev() {
            let mut bytes = file.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            check(with(bytes), n, "a turned bit")?;
        }
        for length in 0..file.len() {
            check(with(file[..length].to_vec()), n, "a cut")?;
        }
        check(with([&file[..], b"x"].concat()), n, "one octet more")?;
        check(with(b"(engine e1 (address \"127.0.0.1:9\"))\n".to_vec()), n, "foreign")?;
        check(with(good[NAMES[(n + 1) % NAMES.len()]].clone()), n, "foreign")?;
    }
    Ok(tried)
}

/// An old copy of what a disk held never passes for the new one: its count is smaller, or it is not given out at all.
///
/// # Errors
/// How it is broken.
pub fn tells_old<S: Stage>(mut stage: S) -> Result<(), String> {
    let mut store = stage.open().map_err(|e| e.to_string())?;
    for n in 1..=3u8 {
        store.put(NAMES[0], &[n]).map_err(|e| e.to_string())?;
    }
    drop(store);
    stage.wait();
    let old: Vec<_> = stage.disks().iter().map(SimulatedDisk::files).collect();
    let mut store = stage.open().map_err(|e| e.to_string())?;
    let newest = store.put(NAMES[0], b"newest").map_err(|e| e.to_string())?;
    drop(store);
    stage.wait();
    // One disk of several: what a quorum knows still is the newest.
    let several = stage.disks().len() > 1;
    for (disk, files) in stage.disks().iter().zip(old) {
        let now = disk.files();
        disk.set_files(files);
        stage.wait();
        let mut store = stage.open().map_err(|e| e.to_string())?;
        match store.get(NAMES[0]) {
            Ok(Some(kept)) if kept.writes >= newest && kept.bytes != b"newest" => {
                return Err("an old copy passes for the new one".into())
            }
            Ok(Some(kept)) if several && kept.bytes != b"newest" => {
                return Err("the older copy is given out".into())
            }
            Ok(None) => return Err("what was kept is not there".into()),
            _ => {}
        }
        drop(store);
        stage.wait();
        disk.set_files(now);
    }
    Ok(())
}
