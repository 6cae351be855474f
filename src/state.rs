//! What the module keeps between events: plain data and bookkeeping, no decision and no tuned value.

use std::collections::{BTreeSet, VecDeque};

use crate::api::*;

/// Two decayed averages whose ratio is learned.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ratio {
    truth: f64,
    told: f64,
    /// Decayed count, against the most that `weight` lets it reach.
    pub samples: f64,
}

impl Ratio {
    pub fn learn(&mut self, truth: f64, told: f64, weight: f64) {
        self.truth += truth - weight * self.truth;
        self.told += told - weight * self.told;
        self.samples += 1.0 - weight * self.samples;
    }

    pub fn get(&self) -> Option<f64> {
        (self.told > 0.0).then(|| self.truth / self.told)
    }

    /// Its own value, leaning on `other` as if that were `lean` samples.
    pub fn leaning(&self, other: f64, lean: f64) -> f64 {
        (self.get().unwrap_or(other) * self.samples + other * lean) / (self.samples + lean)
    }
}

/// What is learned of a class over all engines.
#[derive(Clone, Default)]
pub(crate) struct Learned {
    pub k: Ratio,
    /// Latency × threads against true work.
    pub slow: Ratio,
    /// The average work of a query.
    pub usual: Ratio,
    /// Logarithm of memory granted against estimated.
    pub grant: f64,
    /// Decayed work and worth asked for.
    pub asked: f64,
    pub worth: f64,
}

pub(crate) struct Engine {
    pub entry: EngineEntry,
    /// Debt of each class, and how far it is drained.
    pub debt: Vec<f64>,
    pub drained_at: Micros,
    /// Predicted work of each class that waits or runs here.
    pub standing: Vec<f64>,
    pub k: Vec<Ratio>,
    pub slow: Ratio,
    /// Threads for each core of this gateway's share.
    pub width: f64,
    pub stepped_at: Micros,
    pub pressed: bool,
    /// What waits, earliest deadline first.
    pub line: BTreeSet<(Micros, RequestId)>,
    pub threads: f64,
    pub memory: f64,
    /// Work given up on that may still run: until when, threads, memory.
    pub ghosts: Vec<(Micros, f64, f64)>,
    pub warm: VecDeque<GroupId>,
    pub heard_at: Micros,
    pub fails: f64,
    pub probing: bool,
    pub sick: Option<Sick>,
    /// Sends to it while cold: when, and their weight.
    pub cold: VecDeque<(Micros, f64)>,
}

impl Engine {
    pub fn new(entry: EngineEntry, classes: usize, width: f64, now: Micros) -> Self {
        Engine {
            entry,
            debt: vec![0.0; classes],
            drained_at: now,
            standing: vec![0.0; classes],
            k: vec![Ratio::default(); classes],
            slow: Ratio::default(),
            width,
            stepped_at: now,
            pressed: false,
            line: BTreeSet::new(),
            threads: 0.0,
            memory: 0.0,
            ghosts: Vec::new(),
            warm: VecDeque::new(),
            heard_at: now,
            fails: 0.0,
            probing: false,
            sick: None,
            cold: VecDeque::new(),
        }
    }

    pub fn total_debt(&self) -> f64 {
        self.debt.iter().sum()
    }

    /// Threads and memory held by what runs here, ghosts among them.
    pub fn held(&self) -> (f64, f64) {
        self.ghosts.iter().fold((self.threads, self.memory), |sum, g| (sum.0 + g.1, sum.1 + g.2))
    }

    pub fn charge(&mut self, class: ClassId, cost: f64) {
        self.debt[class.0] += cost;
        self.standing[class.0] += cost;
    }

    pub fn discharge(&mut self, class: ClassId, cost: f64) {
        self.debt[class.0] = (self.debt[class.0] - cost).max(0.0);
        self.standing[class.0] = (self.standing[class.0] - cost).max(0.0);
    }

    /// Notes that a group was read here; the `keep` last are remembered.
    pub fn touch(&mut self, group: GroupId, keep: usize) {
        self.warm.retain(|&g| g != group);
        self.warm.push_front(group);
        self.warm.truncate(keep);
    }
}

/// How an engine that is left alone gets back.
pub(crate) struct Sick {
    /// Good trials in a row.
    pub good: u32,
    pub wait: Micros,
    pub next: Micros,
    pub trial: Option<RequestId>,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Place {
    /// Waits for its key's turn.
    Parked,
    Line(EngineId),
    Out,
    /// Its stream belongs to the client.
    Bound,
}

/// A request that is not over.
pub(crate) struct Open {
    pub request: Request,
    pub place: Place,
    /// When its worth falls.
    pub goal: Micros,
    pub over_share: bool,
    pub attempts: u32,
    /// The first attempt that may have run: its number, zone, cell, and when it was sent.
    pub maybe: Option<(u32, ZoneId, CellId, Micros)>,
    /// The engine of the last failed attempt.
    pub avoid: Option<EngineId>,
    /// What it has added to the debt of its engine.
    pub charged: f64,
}

impl Open {
    pub fn waits(&self) -> bool {
        matches!(self.place, Place::Parked | Place::Line(_))
    }
}

/// An attempt that is out.
pub(crate) struct Flight {
    pub engine: EngineId,
    pub request: Request,
    pub sent: Micros,
    pub until: Micros,
    pub cost: f64,
    pub memory: f64,
    pub threads: f64,
    /// How long it should take.
    pub usual: f64,
    pub cancelled: bool,
}

/// The turns of a key.
#[derive(Default)]
pub(crate) struct Turns {
    pub queue: VecDeque<RequestId>,
    pub rest_until: Micros,
}

/// Drops what is older than `from` at the front of a queue.
pub(crate) fn trim<T>(queue: &mut VecDeque<T>, from: Micros, time: impl Fn(&T) -> Micros) {
    while queue.front().is_some_and(|item| time(item) < from) {
        queue.pop_front();
    }
}

/// `x` within bounds; the least if it is no number.
pub(crate) fn finite(x: f64, least: f64, most: f64) -> f64 {
    if x.is_finite() {
        x.clamp(least, most)
    } else {
        least
    }
}

/// Scatters the bits of a number (the last step of splitmix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
