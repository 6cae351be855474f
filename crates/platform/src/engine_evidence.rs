//! What is known of each engine from the resolver's answers, and which engines may be used. Without I/O and
//! clock.
//!
//! Resolvers in trouble send older lists, also ones of before this gateway's start, under numbers that are still
//! to come. So no list is taken for the true one as a whole: each answer is evidence about each engine.
//!
//! - **What forbids** the use of an engine, that it drains or has gone, is heeded at once. Only lists below a
//!   number that has been reached for [`EVIDENCE_TIME`] are older ones for sure, since numbers only grow.
//! - **What permits** it again must outlast the worst trouble of the resolver: all answers have to say so for
//!   [`EVIDENCE_TIME`]. Answers that come together are one piece of evidence. A late return costs capacity; an
//!   early one sends requests to an engine that drains.
//! - **Another process** of an engine, which has started later or listens elsewhere, is another engine. No older
//!   list can name it, so that it is used at once.
//! - **An engine that was never listed** is used at once if it has started later than all of the configuration's.
//!   Else it may have gone before this gateway's start, and has to be permitted like one that has.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use violetward::{Listed, Micros};
use violetward_dns::serial::is_newer;

use crate::list::{List, Listing};

/// For how long all answers must name an engine as up that was draining or gone, and a number must be the newest
/// one until it is certain. By the platform's protocol, what
/// a resolver in trouble does not tell counts as told 4.5 s after the trouble began: none lasts longer.
pub const EVIDENCE_TIME: Duration = Duration::from_millis(4_500);
/// The longest time between two answers that counts as evidence: the longest interval of queries.
pub const EVIDENCE_GAP_MAX: Duration = Duration::from_millis(250);
/// How many answers in a row must have a lower number than the newest one while that is not confirmed.
const LOWER_THAN_UNCONFIRMED: u32 = 2;
/// How many answers in a row must have a lower number than the confirmed one, and for how long: the resolver
/// counts from a lower number now.
const LOWER_THAN_CONFIRMED: u32 = 6;
const LOWER_THAN_CONFIRMED_TIME: Duration = Duration::from_secs(2);
/// How many numbers wait to be confirmed; beyond that, the lowest are left out.
const UNCONFIRMED_MAX: usize = 64;
/// How many engines that have gone are remembered.
const GONE_MAX: usize = 4_000;

/// A process of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process {
    /// When it started, as listed; 0 if that is long ago.
    started: Micros,
    address: SocketAddr,
}

impl Process {
    fn of(listing: &Listing) -> Process {
        Process { started: listing.entry.came_up, address: listing.address }
    }

    /// Whether it cannot have come before another process of the same engine, by their start times.
    fn follows(&self, other: &Process) -> bool {
        self.started > other.started || self.started == other.started && self.address != other.address
    }
}

/// Whether an engine may be used; a greater one permits less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    Up,
    Draining,
    Gone,
}

impl State {
    fn of(listing: &Listing) -> State {
        if listing.entry.listed == Listed::Up {
            State::Up
        } else {
            State::Draining
        }
    }
}

/// What is known of an engine.
#[derive(Debug, Clone)]
struct Engine {
    /// As it was last told, but for whether it may be used: see `state`.
    listing: Listing,
    state: State,
    /// The process that answers have named as up though it is not known to be, and for how long.
    return_evidence: Option<(Process, Evidence)>,
    /// When it left the list.
    gone_at: Option<Instant>,
}

/// An answer of the resolver.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimes {
    /// When its query was sent.
    pub asked: Instant,
    /// When it was received.
    pub received: Instant,
}

/// What an answer means.
#[derive(Debug, Clone, PartialEq)]
pub struct Judgement {
    /// The engines that are listed now, if anything has changed.
    pub change: Option<List>,
    /// The answer is no older than those before it. If it is, another one has to tell soon what holds.
    pub is_current: bool,
}

/// For how long answers have said the same.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    span: Duration,
    last_answer: Instant,
}

impl Evidence {
    fn begin(now: Instant) -> Evidence {
        Evidence { span: Duration::ZERO, last_answer: now }
    }

    /// Adds an answer. Silence before it is no evidence.
    fn add(&mut self, now: Instant) {
        self.span += now.saturating_duration_since(self.last_answer).min(EVIDENCE_GAP_MAX);
        self.last_answer = now;
    }

    fn is_enough(&self) -> bool {
        self.span >= EVIDENCE_TIME
    }
}

/// How the number of a list compares with those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Age {
    /// It is the newest one.
    Newest,
    /// It is lower than the newest one, which is not confirmed. Either may be the true one.
    Uncertain,
    /// It was sent before the newest one, or is lower than a confirmed one.
    Older,
}

/// What is known of the numbers of lists.
#[derive(Debug)]
struct Numbering {
    newest: u32,
    /// When the newest number came first; `None` for the one of the configuration.
    received: Option<Instant>,
    /// The highest number that has been reached for long enough, or that of the configuration.
    confirmed: u32,
    /// The numbers above it that were reached, in order, and for how long.
    unconfirmed: VecDeque<(u32, Evidence)>,
    /// How many answers in a row had a lower number than the newest one, since when.
    lower: u32,
    lower_since: Option<Instant>,
}

impl Numbering {
    /// Notes the number of a list.
    fn note(&mut self, number: u32, times: AnswerTimes) -> Age {
        let is_lower = number != self.newest && !is_newer(number, self.newest);
        if is_lower {
            let age = self.compare_lower(number, times);
            if age != Age::Newest {
                return age;
            }
            self.unconfirmed.retain(|&(reached, _)| !is_newer(reached, number));
        }
        if number != self.newest {
            self.received = Some(times.received);
            self.unconfirmed.push_back((number, Evidence::begin(times.received)));
        }
        (self.newest, self.lower, self.lower_since) = (number, 0, None);
        self.confirm(times.received);
        Age::Newest
    }

    /// Notes that the newest number has come again, and confirms the numbers that have been reached for long.
    fn confirm(&mut self, now: Instant) {
        self.unconfirmed.iter_mut().for_each(|(_, evidence)| evidence.add(now));
        while let Some((number, _)) = self.unconfirmed.front().filter(|(_, evidence)| evidence.is_enough()) {
            self.confirmed = *number;
            self.unconfirmed.pop_front();
        }
        while self.unconfirmed.len() > UNCONFIRMED_MAX {
            self.unconfirmed.pop_front();
        }
    }

    /// The age of a list with a lower number than the newest one. It becomes the newest one if enough answers in
    /// a row had lower numbers.
    fn compare_lower(&mut self, number: u32, times: AnswerTimes) -> Age {
        if self.received.is_some_and(|received| times.asked < received) {
            return Age::Older;
        }
        self.lower += 1;
        let since = *self.lower_since.get_or_insert(times.received);
        if !is_newer(self.confirmed, number) {
            return if self.lower >= LOWER_THAN_UNCONFIRMED { Age::Newest } else { Age::Uncertain };
        }
        let lasted = times.received.saturating_duration_since(since);
        if self.lower < LOWER_THAN_CONFIRMED || lasted < LOWER_THAN_CONFIRMED_TIME {
            return Age::Older;
        }
        self.confirmed = number;
        Age::Newest
    }
}

/// What is known of all engines.
#[derive(Debug)]
pub struct EngineEvidence {
    engines: BTreeMap<String, Engine>,
    numbering: Numbering,
    /// The latest start of an engine in the list of the configuration.
    latest_initial_start: Micros,
    /// The last list, if to take it once more would change nothing.
    settled: Option<Rc<List>>,
}

impl Engine {
    fn new(listing: Listing) -> Engine {
        let state = State::of(&listing);
        Engine { listing, state, return_evidence: None, gone_at: None }
    }

    /// Takes the word that the engine drains or has gone.
    fn restrict(&mut self, state: State, number: u32, age: Age, now: Instant) {
        self.return_evidence = None;
        let relists = self.state == State::Gone && age == Age::Newest;
        if state == self.state || age == Age::Older || (state < self.state && !relists) {
            return;
        }
        tracing::debug!(target: "violetward_platform::list", name = self.listing.name, number, ?age,
            from = ?self.state, to = ?state, "an answer forbids the use of an engine");
        self.gone_at = (state == State::Gone).then_some(now);
        self.state = state;
    }

    /// Takes the word that the process that is known is up.
    fn permit(&mut self, listing: &Listing, number: u32, age: Age, now: Instant) {
        if self.state != State::Up {
            if self.has_returned(listing, now) {
                tracing::debug!(target: "violetward_platform::list", name = listing.name, number,
                    "all answers have named the engine as up for long enough: it is used again");
                *self = Engine::new(listing.clone());
            }
        } else if age == Age::Newest {
            self.listing = listing.clone();
        }
    }

    /// Takes an answer that names a process as up which is not known to be; whether answers have done so for
    /// long enough.
    fn has_returned(&mut self, listing: &Listing, now: Instant) -> bool {
        let process = Process::of(listing);
        let known = self.return_evidence.filter(|known| known.0 == process);
        let mut evidence = known.map_or(Evidence::begin(now), |known| known.1);
        evidence.add(now);
        self.return_evidence = Some((process, evidence));
        evidence.is_enough()
    }

    /// Takes what a list says of the engine that it contains.
    fn take(&mut self, listing: &Listing, number: u32, age: Age, now: Instant) {
        let (known, told) = (Process::of(&self.listing), Process::of(listing));
        if told == known {
            return match State::of(listing) {
                State::Up => self.permit(listing, number, age, now),
                state => self.restrict(state, number, age, now),
            };
        }
        // A later process is another engine, an earlier one is believed by evidence that lasts.
        if age == Age::Newest && told.follows(&known) || self.has_returned(listing, now) {
            tracing::debug!(target: "violetward_platform::list", name = listing.name, number, ?known, ?told,
                "another process of an engine");
            *self = Engine::new(listing.clone());
        }
    }
}

impl EngineEvidence {
    /// What the list of the configuration tells.
    pub fn new(initial: List) -> EngineEvidence {
        let (newest, confirmed) = (initial.number, initial.number);
        let starts = initial.engines.values().map(|listing| listing.entry.came_up);
        let latest_initial_start = starts.max().unwrap_or(0);
        let engines =
            initial.engines.into_iter().map(|(name, listing)| (name, Engine::new(listing))).collect();
        let numbering = Numbering {
            newest,
            received: None,
            confirmed,
            unconfirmed: VecDeque::new(),
            lower: 0,
            lower_since: None,
        };
        EngineEvidence { engines, numbering, latest_initial_start, settled: None }
    }

    /// Takes the list of an answer.
    pub fn take(&mut self, list: &Rc<List>, times: AnswerTimes) -> Judgement {
        if self.settled.as_ref().is_some_and(|settled| Rc::ptr_eq(settled, list)) {
            self.numbering.note(list.number, times);
            return Judgement { change: None, is_current: true };
        }
        let before = self.listed();
        let (age, now) = (self.numbering.note(list.number, times), times.received);
        for (name, engine) in &mut self.engines {
            match list.engines.get(name) {
                None => engine.restrict(State::Gone, list.number, age, now),
                Some(listing) => engine.take(listing, list.number, age, now),
            }
        }
        if age == Age::Newest {
            self.add_unknown(list, now);
        }
        self.forget_oldest_gone();
        let listed = self.listed();
        let change = (listed != before).then_some(List { number: list.number, engines: listed });
        let judgement = Judgement { change, is_current: age == Age::Newest };
        self.settled = self.is_settled(list, &judgement).then(|| list.clone());
        judgement
    }

    /// Whether to take a list once more would change nothing but its number's evidence: what is known is what it
    /// says.
    fn is_settled(&self, list: &List, last: &Judgement) -> bool {
        let agrees = |(name, listing): (&String, &Listing)| {
            self.engines.get(name).is_some_and(|engine| {
                engine.state == State::of(listing) && Process::of(&engine.listing) == Process::of(listing)
            })
        };
        last.change.is_none() && last.is_current && list.engines.iter().all(agrees)
    }

    fn add_unknown(&mut self, list: &List, now: Instant) {
        for (name, listing) in &list.engines {
            if self.engines.contains_key(name) {
                continue;
            }
            let mut engine = Engine::new(listing.clone());
            if listing.entry.came_up <= self.latest_initial_start {
                (engine.state, engine.gone_at) = (State::Gone, Some(now));
            }
            self.engines.insert(name.clone(), engine);
        }
    }

    /// Bounds the memory for engines that have gone.
    fn forget_oldest_gone(&mut self) {
        let gone =
            |engines: &BTreeMap<String, Engine>| engines.values().filter(|e| e.gone_at.is_some()).count();
        while gone(&self.engines) > GONE_MAX {
            let leavers = self.engines.iter().filter_map(|(name, engine)| Some((engine.gone_at?, name)));
            let Some((_, oldest)) = leavers.min() else { return };
            let oldest = oldest.clone();
            self.engines.remove(&oldest);
        }
    }

    /// The engines that are up or draining.
    fn listed(&self) -> BTreeMap<String, Listing> {
        let listed = self.engines.iter().filter(|(_, engine)| engine.state != State::Gone);
        let listing = |(name, engine): (&String, &Engine)| {
            let mut listing = engine.listing.clone();
            listing.entry.listed = if engine.state == State::Up { Listed::Up } else { Listed::Draining };
            (name.clone(), listing)
        };
        listed.map(listing).collect()
    }
}
