//! Values that several others keep. [`Keeper`] is the part of the one whose values they are, [`struct@Copy`] that of each other; both are
//! free of I/O and clock. [`Copies`] is a [`Store`] made of them where a question can be waited for.
//!
//! A process claims its name with an *epoch* greater than any that a copy has promised; a copy writes the promise down and takes
//! nothing of a lower one. What is put is acknowledged by a quorum before it is told; what is got is the newest that a quorum
//! knows, written back under the own epoch if it was not known to be safe. Two quorums share a copy: what was acknowledged is
//! seen by every later claim, and a claimed quorum takes nothing more from the one before.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use crate::{fits, Kept, Store, StoreError, NAME, NAMES, VALUE};

/// Microseconds of a clock that never goes back.
pub type Micros = u64;

/// Characters of the longest name of an owner: as for values, but without `.`.
pub const OWNER: usize = 24;
/// Characters of the longest name of a value.
pub const SHORTER: usize = NAME - OWNER - 3;
/// Copies there may be of one store.
pub const MOST: usize = 9;
/// Octets of the longest value.
pub const SMALLER: usize = VALUE - 26 - MOST * STAMP;
const STAMP: usize = 24;

/// Who may write: the greater one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch {
    /// Counts claims.
    pub number: u64,
    /// Which process: drawn at its start.
    pub life: u64,
}

/// Which writing of a value: the greater one is the newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// By whom.
    pub epoch: Epoch,
    /// Its count of writes.
    pub writes: u64,
}

/// What a copy holds under a name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Copied {
    /// Which writing it is.
    pub stamp: Stamp,
    /// What each copy had acknowledged before it.
    pub known: Vec<Stamp>,
    /// The value; `None` says that there is none, for good.
    pub bytes: Option<Vec<u8>>,
}

/// What a copy is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// Whether it would grant a claim. It promises nothing yet: one that reaches too few copies must not end the process that
    /// has the name.
    Look,
    /// To take nothing more of lower epochs.
    Claim,
    /// What it holds under a name.
    Read(String),
    /// To hold this.
    Write(String, Copied),
}

/// A question to a copy. Each may be asked again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Whose values these are.
    pub owner: String,
    /// Its process.
    pub epoch: Epoch,
    /// Which question of this process.
    pub number: u64,
    /// The question.
    pub ask: Ask,
}

/// What a copy answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It has promised, or would.
    Claimed,
    /// Another process that was heard of lately has the name.
    Held,
    /// It has promised to take nothing of that epoch, for this one.
    Newer(Epoch),
    /// What it holds.
    Value(Copied),
    /// It holds it, for good.
    Written,
    /// It cannot: its own store fails.
    Failed(String),
}

/// The copies of others' values that one keeps, in a store of its own.
#[derive(Debug)]
pub struct Copy<S> {
    store: S,
    lease: Micros,
    started: Micros,
    /// Epochs promised, and when each owner was last heard.
    owners: BTreeMap<String, (Epoch, Micros)>,
}

impl<S: Store> Copy<S> {
    /// Copies in a store. An owner that was heard of within the lease keeps its name.
    pub fn new(store: S, lease: Micros, now: Micros) -> Copy<S> {
        Copy { store, lease, started: now, owners: BTreeMap::new() }
    }

    /// Answers a question.
    pub fn asked(&mut self, now: Micros, request: &Request) -> Answer {
        self.answer(now, request).unwrap_or_else(|e| Answer::Failed(e.to_string()))
    }

    fn answer(&mut self, now: Micros, request: &Request) -> Result<Answer, StoreError> {
        let Request { owner, epoch, ask, .. } = request;
        owned(owner)?;
        let (promised, heard) = match self.owners.get(owner) {
            Some(&known) => known,
            // Who was heard before its own start it does not know: then all were, just now.
            None => (self.promised(owner)?, self.started),
        };
        if *epoch < promised {
            return Ok(Answer::Newer(promised));
        }
        let lives = promised != Epoch::default() && now < heard.saturating_add(self.lease);
        if matches!(ask, Ask::Look | Ask::Claim) && promised.life != epoch.life && lives {
            return Ok(Answer::Held);
        }
        if *ask == Ask::Look {
            return Ok(Answer::Claimed);
        }
        if *epoch > promised {
            self.store
                .put(&format!("{owner}.c"), &[epoch.number, epoch.life].map(u64::to_be_bytes).concat())?;
        }
        if !self.owners.contains_key(owner) && self.owners.len() >= NAMES {
            return Err(StoreError::Unfit("there are too many owners"));
        }
        self.owners.insert(owner.clone(), (*epoch, now));
        match ask {
            Ask::Look | Ask::Claim => Ok(Answer::Claimed),
            Ask::Read(name) => Ok(Answer::Value(self.copied(owner, name)?)),
            Ask::Write(name, new) => {
                // A question that came late must not undo a later one.
                if self.copied(owner, name)?.stamp < new.stamp {
                    self.store.put(&format!("{owner}.v.{name}"), &new.write())?;
                }
                Ok(Answer::Written)
            }
        }
    }

    fn promised(&mut self, owner: &str) -> Result<Epoch, StoreError> {
        let Some(kept) = self.store.get(&format!("{owner}.c"))? else { return Ok(Epoch::default()) };
        let mut rest = &kept.bytes[..];
        Ok(Epoch { number: number(&mut rest)?, life: number(&mut rest)? })
    }

    fn copied(&mut self, owner: &str, name: &str) -> Result<Copied, StoreError> {
        let kept = self.store.get(&format!("{owner}.v.{name}"))?;
        kept.map_or(Ok(Copied::default()), |kept| Copied::read(&kept.bytes))
    }
}

fn owned(owner: &str) -> Result<(), StoreError> {
    fits(owner, 0)?;
    if owner.len() > OWNER || owner.contains('.') {
        return Err(StoreError::Unfit("an owner's name has 24 characters at most, and no ."));
    }
    Ok(())
}

fn number(rest: &mut &[u8]) -> Result<u64, StoreError> {
    let (taken, left) = rest.split_first_chunk().ok_or(StoreError::Spoilt("a copy is cut off"))?;
    *rest = left;
    Ok(u64::from_be_bytes(*taken))
}

impl Stamp {
    fn write(self, out: &mut Vec<u8>) {
        out.extend([self.epoch.number, self.epoch.life, self.writes].map(u64::to_be_bytes).concat());
    }

    fn read(rest: &mut &[u8]) -> Result<Stamp, StoreError> {
        let epoch = Epoch { number: number(rest)?, life: number(rest)? };
        Ok(Stamp { epoch, writes: number(rest)? })
    }
}

impl Copied {
    /// It in octets.
    pub fn write(&self) -> Vec<u8> {
        let mut out = vec![self.known.len() as u8, u8::from(self.bytes.is_some())];
        self.stamp.write(&mut out);
        self.known.iter().for_each(|stamp| stamp.write(&mut out));
        out.extend_from_slice(self.bytes.as_deref().unwrap_or_default());
        out
    }

    /// Reads it.
    ///
    /// # Errors
    /// If it is cut off.
    pub fn read(bytes: &[u8]) -> Result<Copied, StoreError> {
        let (&[count, some], mut rest) =
            bytes.split_first_chunk().ok_or(StoreError::Spoilt("a copy is cut off"))?;
        if usize::from(count) > MOST {
            return Err(StoreError::Foreign("it tells of more copies than there may be"));
        }
        let stamp = Stamp::read(&mut rest)?;
        let known = (0..count).map(|_| Stamp::read(&mut rest)).collect::<Result<_, _>>()?;
        Ok(Copied { stamp, known, bytes: (some != 0).then(|| rest.to_vec()) })
    }
}

/// The settings of a [`Keeper`].
#[derive(Debug, Clone)]
pub struct Terms {
    /// Whose values these are.
    pub owner: String,
    /// How many copies there are, at most [`MOST`]; more than half of them are a quorum.
    pub copies: usize,
    /// How long a process that is not heard keeps its name, as the copies count it.
    pub lease: Micros,
    /// Between two askings of one that does not answer.
    pub again: Micros,
    /// After which a value is not put or got.
    pub patience: Micros,
    /// Values that are put or got at once.
    pub waiting: usize,
}

/// Whether this process has the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It asks for it.
    Claims,
    /// It has it.
    Holds,
    /// Another process has it now; it asks again after a lease.
    Waits,
    /// Another process has taken it: for good.
    Lost,
}

/// What a value's putting or getting led to.
#[derive(Debug)]
pub enum Done {
    /// It is put, with this count.
    Put(u64),
    /// This is there.
    Got(Option<Kept>),
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Ask a copy, by its number.
    Ask(usize, Request),
    /// What was begun under that ticket has ended.
    Done(u64, Result<Done, StoreError>),
    /// A copy holds less than it has acknowledged: it was put back to an old state. It counts again when it has taken what is
    /// newest.
    Old(usize),
}

#[derive(Debug)]
enum Phase {
    /// For the claim, or for an earlier one of the same name.
    Waits,
    Reads(Vec<Option<Copied>>),
    /// What is written, and who has it.
    Writes(Copied, Vec<bool>),
}

#[derive(Debug)]
struct Work {
    ticket: u64,
    name: String,
    /// What is put; `None` if it is got.
    put: Option<Vec<u8>>,
    phase: Phase,
    /// The number of its question.
    number: u64,
    until: Micros,
    again: Micros,
}

/// What is known of a name.
#[derive(Debug, Clone, Default)]
struct Known {
    /// The greatest count that this process has used; `None` before it has written or read the value.
    used: Option<u64>,
    /// What each copy has acknowledged.
    acked: Vec<Stamp>,
}

/// The part of the one whose values are copied. One process at a time has the name.
#[derive(Debug)]
pub struct Keeper {
    terms: Terms,
    epoch: Epoch,
    standing: Standing,
    /// Whether it only looks so far, and who has granted that or the claim (`true`) or not.
    looks: bool,
    claims: Vec<Option<bool>>,
    /// The number of the claim's question, and when it is asked again.
    claim: (u64, Micros),
    numbers: u64,
    names: BTreeMap<String, Known>,
    works: VecDeque<Work>,
    effects: VecDeque<Effect>,
}

impl Keeper {
    /// Begins to claim the owner's name; `life` is drawn anew for each process.
    ///
    /// # Errors
    /// [`StoreError::Unfit`] if the terms cannot be.
    pub fn new(terms: Terms, life: u64, now: Micros) -> Result<Keeper, StoreError> {
        owned(&terms.owner)?;
        if terms.copies == 0 || terms.copies > MOST {
            return Err(StoreError::Unfit("there are 1 to 9 copies"));
        }
        let mut keeper = Keeper {
            epoch: Epoch { number: 1, life },
            standing: Standing::Claims,
            looks: true,
            claims: vec![None; terms.copies],
            claim: (0, now),
            numbers: 0,
            names: BTreeMap::new(),
            works: VecDeque::new(),
            effects: VecDeque::new(),
            terms,
        };
        keeper.begin_claim(now, true);
        Ok(keeper)
    }

    /// Whether this process has the name.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn quorum(&self) -> usize {
        self.terms.copies / 2 + 1
    }

    /// Begins to put a value; gives the ticket under which the end is told.
    ///
    /// # Errors
    /// Why it is not even begun.
    pub fn put(&mut self, now: Micros, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        if bytes.len() > SMALLER {
            return Err(StoreError::Unfit("the value is too long"));
        }
        self.begin(now, name, Some(bytes.to_vec()))
    }

    /// Begins to get one.
    ///
    /// # Errors
    /// Why it is not even begun.
    pub fn get(&mut self, now: Micros, name: &str) -> Result<u64, StoreError> {
        self.begin(now, name, None)
    }

    fn begin(&mut self, now: Micros, name: &str, put: Option<Vec<u8>>) -> Result<u64, StoreError> {
        fits(name, 0)?;
        if name.len() > SHORTER {
            return Err(StoreError::Unfit("the name is too long"));
        }
        if !self.names.contains_key(name) && self.names.len() >= NAMES {
            return Err(StoreError::Unfit("there are too many values"));
        }
        if self.works.len() >= self.terms.waiting {
            return Err(StoreError::Unfit("too many values are put or got at once"));
        }
        if matches!(self.standing, Standing::Lost | Standing::Waits) {
            return Err(StoreError::Busy);
        }
        self.numbers += 1;
        let (ticket, until) = (self.numbers, now.saturating_add(self.terms.patience));
        let work =
            Work { ticket, name: name.to_owned(), put, phase: Phase::Waits, number: 0, until, again: until };
        self.works.push_back(work);
        self.go_on(now);
        Ok(ticket)
    }

    /// A copy has answered the question of that number.
    pub fn heard(&mut self, now: Micros, from: usize, number: u64, answer: Answer) {
        if from >= self.terms.copies || self.standing == Standing::Lost {
            return;
        }
        if let Answer::Newer(epoch) = answer {
            if epoch > self.epoch {
                self.outdone(now, epoch);
            }
            return;
        }
        if number == self.claim.0 {
            return self.heard_claim(now, from, &answer);
        }
        let Some(at) = self.works.iter().position(|w| w.number == number) else { return };
        let work = &mut self.works[at];
        match (&mut work.phase, answer) {
            (Phase::Reads(answers), Answer::Value(value)) => {
                answers[from] = Some(value);
                self.read(now, at);
            }
            (Phase::Writes(new, takers), Answer::Written) => {
                takers[from] = true;
                let stamp = new.stamp;
                let known = self.names.entry(work.name.clone()).or_default();
                known.acked.resize(self.terms.copies, Stamp::default());
                known.acked[from] = known.acked[from].max(stamp);
                self.written(now, at);
            }
            _ => {}
        }
    }

    /// Another process has promises of a greater epoch.
    fn outdone(&mut self, now: Micros, epoch: Epoch) {
        if self.standing == Standing::Holds {
            self.standing = Standing::Lost;
            for work in std::mem::take(&mut self.works) {
                let why = match work.phase {
                    Phase::Writes(..) => {
                        StoreError::Unsure(io::Error::other("another process has taken the name"))
                    }
                    _ => StoreError::Busy,
                };
                self.effects.push_back(Effect::Done(work.ticket, Err(why)));
            }
        } else {
            self.epoch.number = epoch.number.saturating_add(1);
            self.begin_claim(now, true);
        }
    }

    fn begin_claim(&mut self, now: Micros, looks: bool) {
        (self.standing, self.looks) = (Standing::Claims, looks);
        self.claims.fill(None);
        self.numbers += 1;
        self.claim = (self.numbers, now);
        self.ask_claim(now);
    }

    fn ask_claim(&mut self, now: Micros) {
        // One that has the name says so before a lease ends, whatever else it asks.
        let holds = self.standing == Standing::Holds;
        self.claim.1 = now + if holds { self.terms.lease / 3 } else { self.terms.again };
        for copy in (0..self.terms.copies).filter(|&c| holds || self.claims[c].is_none()) {
            let ask = if self.looks { Ask::Look } else { Ask::Claim };
            self.effects.push_back(Effect::Ask(copy, self.request(self.claim.0, ask)));
        }
    }

    fn request(&self, number: u64, ask: Ask) -> Request {
        Request { owner: self.terms.owner.clone(), epoch: self.epoch, number, ask }
    }

    fn heard_claim(&mut self, now: Micros, from: usize, answer: &Answer) {
        match answer {
            Answer::Claimed => self.claims[from] = Some(true),
            Answer::Held => self.claims[from] = Some(false),
            _ => return,
        }
        if self.standing != Standing::Claims {
            return;
        }
        let count = |what| self.claims.iter().filter(|c| **c == Some(what)).count();
        if count(true) >= self.quorum() && self.looks {
            self.begin_claim(now, false);
        } else if count(true) >= self.quorum() {
            self.standing = Standing::Holds;
            self.claim.1 = now + self.terms.lease / 3;
            self.go_on(now);
        } else if count(false) > self.terms.copies - self.quorum() {
            self.standing = Standing::Waits;
            self.claim.1 = now + self.terms.lease;
            for work in std::mem::take(&mut self.works) {
                self.effects.push_back(Effect::Done(work.ticket, Err(StoreError::Busy)));
            }
        }
    }

    /// Begins what waited and need not any more.
    fn go_on(&mut self, now: Micros) {
        if self.standing != Standing::Holds {
            return;
        }
        for at in 0..self.works.len() {
            let work = &self.works[at];
            let first = self.works.iter().position(|w| w.name == work.name) == Some(at);
            if !first || !matches!(work.phase, Phase::Waits) {
                continue;
            }
            let used = self.names.get(&work.name).and_then(|known| known.used);
            match (used, &work.put) {
                (Some(used), Some(_)) => self.write(now, at, used + 1, None),
                _ => {
                    self.works[at].phase = Phase::Reads(vec![None; self.terms.copies]);
                    self.ask(now, at, true);
                }
            }
        }
    }

    /// Asks those that have not answered.
    fn ask(&mut self, now: Micros, at: usize, anew: bool) {
        if anew {
            self.numbers += 1;
            self.works[at].number = self.numbers;
        }
        self.works[at].again = now + self.terms.again;
        let work = &self.works[at];
        for copy in 0..self.terms.copies {
            let ask = match &work.phase {
                Phase::Reads(answers) if answers[copy].is_none() => Ask::Read(work.name.clone()),
                Phase::Writes(new, takers) if !takers[copy] => Ask::Write(work.name.clone(), new.clone()),
                _ => continue,
            };
            self.effects.push_back(Effect::Ask(copy, self.request(work.number, ask)));
        }
    }

    fn write(&mut self, now: Micros, at: usize, writes: u64, back: Option<Option<Vec<u8>>>) {
        let work = &mut self.works[at];
        let known = self.names.entry(work.name.clone()).or_default();
        known.used = Some(known.used.unwrap_or(0).max(writes));
        let bytes = back.unwrap_or_else(|| work.put.clone());
        let stamp = Stamp { epoch: self.epoch, writes };
        let takers = vec![false; self.terms.copies];
        work.phase = Phase::Writes(Copied { stamp, known: known.acked.clone(), bytes }, takers);
        self.ask(now, at, true);
    }

    /// Whether a quorum has told what it holds, and what follows.
    fn read(&mut self, now: Micros, at: usize) {
        let quorum = self.quorum();
        let work = &self.works[at];
        let Phase::Reads(answers) = &work.phase else { return };
        let known = self.names.entry(work.name.clone()).or_default();
        known.acked.resize(self.terms.copies, Stamp::default());
        for value in answers.iter().flatten() {
            for (acked, told) in known.acked.iter_mut().zip(&value.known) {
                *acked = (*acked).max(*told);
            }
        }
        // One that holds less than it has acknowledged has forgotten: its word does not count.
        let good: Vec<&Copied> = answers
            .iter()
            .zip(&known.acked)
            .filter_map(|(a, acked)| a.as_ref().filter(|a| a.stamp >= *acked))
            .collect();
        if good.len() < quorum {
            return;
        }
        let olds: Vec<usize> = (0..answers.len())
            .filter(|&c| answers[c].as_ref().is_some_and(|a| a.stamp < known.acked[c]))
            .collect();
        self.effects.extend(olds.into_iter().map(Effect::Old));
        let newest = good.iter().max_by_key(|value| value.stamp).expect("a quorum is one at least");
        let Stamp { epoch, writes } = newest.stamp;
        let own = epoch == self.epoch && known.used == Some(writes);
        let all = good.iter().filter(|value| value.stamp == newest.stamp).count() >= quorum;
        if work.put.is_some() {
            let writes = writes.max(known.used.unwrap_or(0)) + 1;
            return self.write(now, at, writes, None);
        }
        if own && all {
            let got = newest.bytes.clone().map(|bytes| Kept { bytes, writes });
            return self.end(now, at, Ok(Done::Got(got)));
        }
        // What is told once must stay, and what an earlier process, or an earlier try, has left at some must not come up later.
        let writes = if own { writes } else { writes.max(known.used.map_or(0, |used| used + 1)) };
        let bytes = newest.bytes.clone();
        self.write(now, at, writes, Some(bytes));
    }

    /// Whether a quorum has it, and what follows.
    fn written(&mut self, now: Micros, at: usize) {
        let work = &self.works[at];
        let Phase::Writes(new, takers) = &work.phase else { return };
        if takers.iter().filter(|&&taken| taken).count() < self.quorum() {
            return;
        }
        let writes = new.stamp.writes;
        let done = match &work.put {
            Some(_) => Done::Put(writes),
            None => Done::Got(new.bytes.clone().map(|bytes| Kept { bytes, writes })),
        };
        self.end(now, at, Ok(done));
    }

    fn end(&mut self, now: Micros, at: usize, result: Result<Done, StoreError>) {
        let work = self.works.remove(at).expect("it was found");
        self.effects.push_back(Effect::Done(work.ticket, result));
        self.go_on(now);
    }

    /// When to wake it next, at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        let works = self.works.iter().map(|w| w.until.min(w.again));
        let claim = (self.standing != Standing::Lost).then_some(self.claim.1);
        works.chain(claim).min()
    }

    /// Time has gone by.
    pub fn wake(&mut self, now: Micros) {
        if self.standing != Standing::Lost && now >= self.claim.1 {
            match self.standing {
                Standing::Waits => self.begin_claim(now, true),
                _ => self.ask_claim(now),
            }
        }
        while let Some(at) = self.works.iter().position(|w| now >= w.until) {
            let late = || io::Error::new(io::ErrorKind::TimedOut, "too few copies answer");
            let writes = matches!(self.works[at].phase, Phase::Writes(..)) && self.works[at].put.is_some();
            let why = if writes { StoreError::Unsure(late()) } else { StoreError::Io(late()) };
            self.end(now, at, Err(why));
        }
        for at in 0..self.works.len() {
            if now >= self.works[at].again && !matches!(self.works[at].phase, Phase::Waits) {
                self.ask(now, at, false);
            }
        }
    }

    /// What is to be done next.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }
}

/// Copies that can be asked while one waits.
pub trait Peers {
    /// The time.
    fn now(&self) -> Micros;

    /// Asks one; `None` if it does not answer.
    fn ask(&mut self, copy: usize, request: &Request) -> Option<Answer>;

    /// Waits until a time.
    fn wait(&mut self, until: Micros);

    /// A copy was put back to an old state.
    fn old(&mut self, _copy: usize) {}
}

/// A store whose values several others keep.
#[derive(Debug)]
pub struct Copies<P> {
    keeper: Keeper,
    peers: P,
}

impl<P: Peers> Copies<P> {
    /// Claims the owner's name at a quorum of copies.
    ///
    /// # Errors
    /// [`StoreError::Busy`] if another process has it; [`StoreError::Io`] if too few answer.
    pub fn open(terms: Terms, life: u64, peers: P) -> Result<Copies<P>, StoreError> {
        let until = peers.now() + terms.patience;
        let mut store = Copies { keeper: Keeper::new(terms, life, peers.now())?, peers };
        loop {
            store.step(0);
            match store.keeper.standing() {
                Standing::Holds => return Ok(store),
                Standing::Claims if store.peers.now() < until => store.wait(),
                Standing::Claims => {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "too few copies answer").into())
                }
                Standing::Waits | Standing::Lost => return Err(StoreError::Busy),
            }
        }
    }

    fn wait(&mut self) {
        let next = self.keeper.next_wake().unwrap_or(0).max(self.peers.now());
        self.peers.wait(next);
        self.keeper.wake(self.peers.now());
    }

    /// Carries out effects; what the ticket led to.
    fn step(&mut self, ticket: u64) -> Option<Result<Done, StoreError>> {
        let mut result = None;
        while let Some(effect) = self.keeper.effect() {
            match effect {
                Effect::Ask(copy, request) => {
                    if let Some(answer) = self.peers.ask(copy, &request) {
                        self.keeper.heard(self.peers.now(), copy, request.number, answer);
                    }
                }
                Effect::Done(of, done) if of == ticket => result = Some(done),
                Effect::Done(..) => {}
                Effect::Old(copy) => self.peers.old(copy),
            }
        }
        result
    }

    fn end(&mut self, ticket: u64) -> Result<Done, StoreError> {
        loop {
            if let Some(result) = self.step(ticket) {
                return result;
            }
            self.wait();
        }
    }
}

impl<P: Peers> Store for Copies<P> {
    fn get(&mut self, name: &str) -> Result<Option<Kept>, StoreError> {
        let ticket = self.keeper.get(self.peers.now(), name)?;
        match self.end(ticket)? {
            Done::Got(kept) => Ok(kept),
            Done::Put(_) => unreachable!("nothing was put"),
        }
    }

    fn put(&mut self, name: &str, bytes: &[u8]) -> Result<u64, StoreError> {
        let ticket = self.keeper.put(self.peers.now(), name, bytes)?;
        match self.end(ticket)? {
            Done::Put(writes) => Ok(writes),
            Done::Got(_) => unreachable!("nothing was got"),
        }
    }
}
