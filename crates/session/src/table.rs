//! The table of sessions that live on one engine. Free of I/O and clock.
//!
//! A session is held by an engine in one life of its process (its epoch). It is idle, or one statement of it runs. It ends with
//! its client's word, by a limit, or because its engine is gone, drains, or came back with another epoch; a lost session is told
//! as lost, by its name and with what it held, for as long as its token could come back.
//!
//! Sessions lie in a slab, found by a compact index; those of one engine and epoch are linked, so that losing an engine costs
//! what it held; each has one timer in a wheel, which is not touched when a statement comes or goes but looked at when it fires.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use violetward_wheel::{TimerKey, TimerWheel};

use crate::index::Index;

/// Microseconds of the caller's clock.
pub type Micros = u64;

/// A tick of the wheel.
const TICK: Micros = 10_000;
const NONE: u32 = u32::MAX;

/// What a session holds on its engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holds {
    /// An open transaction.
    pub transaction: bool,
    /// Temporary tables.
    pub tables: bool,
}

impl Holds {
    /// It holds nothing, and need not stay where it is.
    pub fn is_nothing(self) -> bool {
        self == Holds::default()
    }

    /// For people.
    pub fn words(self) -> &'static str {
        match (self.transaction, self.tables) {
            (true, true) => "an open transaction and temporary tables",
            (true, false) => "an open transaction",
            (false, true) => "temporary tables",
            (false, false) => "nothing",
        }
    }
}

/// Bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// A session with temporary tables ends after so long without a statement.
    pub idle: Duration,
    /// One with an open transaction after so long: its locks stand in others' way.
    pub locks_idle: Duration,
    /// Any ends after so long, a running statement with it.
    pub absolute: Duration,
    /// How much longer than new work a session may run on an engine that drains; zero: not at all.
    pub finish_within: Duration,
    /// Sessions at once.
    pub most: usize,
    /// Of one user.
    pub most_a_user: usize,
    /// On one engine.
    pub most_an_engine: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            idle: Duration::from_secs(300),
            locks_idle: Duration::from_secs(30),
            absolute: Duration::from_secs(3600),
            finish_within: Duration::ZERO,
            most: 100_000,
            most_a_user: 1000,
            most_an_engine: 10_000,
        }
    }
}

/// Why a session is no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its client ended it.
    Ended,
    /// No statement came for too long.
    Idle,
    /// It lasted too long.
    Absolute,
    /// Its engine was taken off the list.
    Removed,
    /// Its engine drains, and the time that the session had to finish is over.
    Drained,
    /// Its engine came back with another epoch.
    Restarted,
    /// Its engine does not know it.
    Forgotten,
}

impl Why {
    /// For people, after "the session ... was lost:".
    pub fn words(self) -> &'static str {
        match self {
            Why::Ended => "its client ended it",
            Why::Idle => "no statement came for too long",
            Why::Absolute => "it lasted longer than a session may",
            Why::Removed => "its engine was removed",
            Why::Drained => "its engine drains",
            Why::Restarted => "its engine was restarted",
            Why::Forgotten => "its engine no longer knows it",
        }
    }
}

/// Where a session lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// The engine, as the module numbers it.
    pub engine: u64,
    /// The life of its process.
    pub epoch: String,
    /// The engine's own name for the session.
    pub inner: String,
    /// What it holds.
    pub holds: Holds,
    /// Its engine drains and it may finish there.
    pub finishing: bool,
}

/// Why a statement may not run in its session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// Another statement of it runs. Nothing happened; a further try is harmless.
    Busy,
    /// A statement of its transaction ended without anybody knowing what it did: only a rollback is heard.
    Aborted,
    /// It is no more.
    Gone(Why, Holds),
    /// It is another user's.
    NotYours,
    /// It is not known here.
    Unknown,
}

/// Why no session may be opened. Nothing happened; a further try is harmless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
    /// This gateway has as many as it may.
    Gateway,
    /// The user has.
    User,
    /// The engine has.
    Engine,
}

impl Full {
    /// For people.
    pub fn words(self) -> &'static str {
        match self {
            Full::Gateway => "too many sessions are open at this gateway",
            Full::User => "too many sessions of this user are open",
            Full::Engine => "too many sessions are open on this engine",
        }
    }
}

/// A session that ended other than by its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Its number.
    pub session: u64,
    /// Where it was.
    pub binding: Binding,
    /// The statement of it that ran.
    pub running: Option<u64>,
    /// Why.
    pub why: Why,
}

/// How a statement of a session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    /// Well, or with an error of its own; the session holds this now.
    Holding(Holds),
    /// It did not reach the engine: nothing has changed.
    Untouched,
    /// Nobody knows what it did.
    Unsure,
}

struct Session {
    number: u64,
    user: u32,
    place: u32,
    inner: Box<str>,
    holds: Holds,
    running: Option<u64>,
    /// The transaction that its client named last, 0 for none.
    transaction: u64,
    /// A write ended without anybody knowing what it did, in this transaction or in none.
    aborted: Option<u64>,
    opened: Micros,
    used: Micros,
    until: Micros,
    timer: Option<TimerKey>,
    before: u32,
    after: u32,
}

/// An engine in one life of its process.
struct Place {
    engine: u64,
    epoch: Box<str>,
    first: u32,
    count: u32,
    /// Statements that use the reserve now.
    reserved: u32,
}

/// The table.
pub struct Table {
    limits: Limits,
    index: Index,
    slab: Vec<Option<Session>>,
    free: Vec<u32>,
    wheel: TimerWheel<u32>,
    places: Vec<Place>,
    place_of: HashMap<(u64, Box<str>), u32>,
    /// Engines that drain, and since when.
    draining: HashMap<u64, Micros>,
    users: Vec<(Box<str>, u32)>,
    user_of: HashMap<Box<str>, u32>,
    free_users: Vec<u32>,
    gone: HashMap<u64, (Why, Holds)>,
    gone_in_order: VecDeque<(Micros, u64)>,
    fired: Vec<u32>,
}

/// Lost sessions that are remembered by name at most; of older ones it is only said that they are not known.
const MOST_GONE: usize = 200_000;

impl Table {
    /// An empty one at a time.
    pub fn new(limits: Limits, now: Micros) -> Self {
        Table {
            limits,
            index: Index::default(),
            slab: Vec::new(),
            free: Vec::new(),
            wheel: TimerWheel::new(now / TICK),
            places: Vec::new(),
            place_of: HashMap::new(),
            draining: HashMap::new(),
            users: Vec::new(),
            user_of: HashMap::new(),
            free_users: Vec::new(),
            gone: HashMap::new(),
            gone_in_order: VecDeque::new(),
            fired: Vec::new(),
        }
    }

    /// Open sessions.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// None is open.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Bytes of the table itself, without names: for measurements.
    pub fn bytes(&self) -> usize {
        self.index.bytes() + self.slab.capacity() * std::mem::size_of::<Option<Session>>()
    }

    /// The limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether a session is open.
    pub fn contains(&self, number: u64) -> bool {
        self.index.get(number).is_some()
    }

    fn session(&self, number: u64) -> Option<&Session> {
        self.slab[self.index.get(number)? as usize].as_ref()
    }

    fn session_mut(&mut self, number: u64) -> Option<&mut Session> {
        self.slab[self.index.get(number)? as usize].as_mut()
    }

    /// Whether a user may open another session, before it is known where.
    ///
    /// # Errors
    /// What is full.
    pub fn may_open(&self, user: &str) -> Result<(), Full> {
        let of_user = self.user_of.get(user).map_or(0, |&u| self.users[u as usize].1);
        if self.index.len() >= self.limits.most {
            Err(Full::Gateway)
        } else if of_user as usize >= self.limits.most_a_user {
            Err(Full::User)
        } else {
            Ok(())
        }
    }

    /// Opens a session, or takes one over that another gateway opened. `until` is when it ends at the latest; `running` the
    /// statement that opened it, which has not ended yet.
    ///
    /// # Errors
    /// What is full.
    #[allow(clippy::too_many_arguments)]
    pub fn open(
        &mut self,
        now: Micros,
        number: u64,
        user: &str,
        binding: &Binding,
        until: Micros,
        running: Option<u64>,
    ) -> Result<(), Full> {
        self.may_open(user)?;
        let place = self.place(binding.engine, &binding.epoch);
        if self.places[place as usize].count as usize >= self.limits.most_an_engine {
            return Err(Full::Engine);
        }
        let user = self.user(user);
        let session = Session {
            number,
            user,
            place,
            inner: binding.inner.as_str().into(),
            holds: binding.holds,
            running,
            transaction: 0,
            aborted: None,
            opened: now,
            used: now,
            until,
            timer: None,
            before: NONE,
            after: self.places[place as usize].first,
        };
        let at = match self.free.pop() {
            Some(at) => {
                self.slab[at as usize] = Some(session);
                at
            }
            None => {
                self.slab.push(Some(session));
                (self.slab.len() - 1) as u32
            }
        };
        self.users[user as usize].1 += 1;
        let place = &mut self.places[place as usize];
        place.count += 1;
        if let Some(next) = self.slab.get_mut(place.first as usize).and_then(Option::as_mut) {
            next.before = at;
        }
        place.first = at;
        self.index.insert(number, at);
        self.arm(now, at);
        Ok(())
    }

    fn place(&mut self, engine: u64, epoch: &str) -> u32 {
        if let Some(&place) = self.place_of.get(&(engine, Box::from(epoch))) {
            return place;
        }
        // A place that nobody lives in any more is taken over.
        let unused = self.places.iter().position(|p| p.count == 0 && p.engine == engine && p.reserved == 0);
        let made = Place { engine, epoch: epoch.into(), first: NONE, count: 0, reserved: 0 };
        let at = match unused {
            Some(at) => {
                let old = std::mem::replace(&mut self.places[at], made);
                self.place_of.remove(&(old.engine, old.epoch));
                at as u32
            }
            None => {
                self.places.push(made);
                (self.places.len() - 1) as u32
            }
        };
        self.place_of.insert((engine, epoch.into()), at);
        at
    }

    fn user(&mut self, name: &str) -> u32 {
        if let Some(&user) = self.user_of.get(name) {
            return user;
        }
        let at = match self.free_users.pop() {
            Some(at) => {
                self.users[at as usize] = (name.into(), 0);
                at
            }
            None => {
                self.users.push((name.into(), 0));
                (self.users.len() - 1) as u32
            }
        };
        self.user_of.insert(name.into(), at);
        at
    }

    fn binding(&self, session: &Session) -> Binding {
        let place = &self.places[session.place as usize];
        Binding {
            engine: place.engine,
            epoch: place.epoch.to_string(),
            inner: session.inner.to_string(),
            holds: session.holds,
            finishing: self.draining.contains_key(&place.engine),
        }
    }

    /// A statement of a session begins. `carried` is what the client has the tokens of, and
    /// `transaction` names the one that it has open, 0 for none; `rolls_back` says that it is heard even if the transaction is aborted.
    ///
    /// # Errors
    /// Why it may not.
    #[allow(clippy::too_many_arguments)]
    pub fn enter(
        &mut self,
        now: Micros,
        number: u64,
        user: &str,
        statement: u64,
        carried: Holds,
        transaction: u64,
        rolls_back: bool,
    ) -> Result<Binding, Denied> {
        let theirs = self.session(number).is_some_and(|s| &*self.users[s.user as usize].0 == user);
        if let (true, Some(session)) = (theirs, self.session_mut(number).filter(|s| s.running.is_none())) {
            // Its client may have ended a transaction through another gateway, and its doubts with it.
            session.aborted = session.aborted.filter(|&within| within == 0 || within == transaction);
            session.transaction = transaction;
            if !carried.is_nothing() && session.holds != carried {
                session.holds = carried;
                if let Some(at) = self.index.get(number) {
                    self.arm(now, at);
                }
            }
        }
        let Some(session) = self.session(number) else {
            return Err(match self.gone.get(&number) {
                Some(&(why, holds)) => Denied::Gone(why, holds),
                None => Denied::Unknown,
            });
        };
        if &*self.users[session.user as usize].0 != user {
            return Err(Denied::NotYours);
        }
        if session.running.is_some() {
            return Err(Denied::Busy);
        }
        if session.aborted.is_some() && !rolls_back {
            return Err(Denied::Aborted);
        }
        let binding = self.binding(session);
        if let Some(session) = self.session_mut(number) {
            (session.running, session.used) = (Some(statement), now);
        }
        Ok(binding)
    }

    /// A statement of a session has ended. A session that holds nothing any more is over.
    pub fn leave(&mut self, now: Micros, number: u64, statement: u64, left: Left) {
        let Some(session) = self.session_mut(number).filter(|s| s.running == Some(statement)) else { return };
        (session.running, session.used) = (None, now);
        let mut shorter = false;
        match left {
            Left::Untouched => {}
            Left::Unsure => session.aborted = Some(session.transaction),
            Left::Holding(holds) => {
                // What ended the transaction ended its doubts too.
                session.aborted = session.aborted.filter(|&within| within == 0 || holds.transaction);
                shorter = holds.transaction && !session.holds.transaction;
                session.holds = holds;
            }
        }
        let nothing = session.holds.is_nothing();
        if nothing {
            self.end(now, number, Why::Ended);
        } else if let (true, Some(at)) = (shorter, self.index.get(number)) {
            // It has become a transaction, whose idle limit is the shorter one.
            self.arm(now, at);
        }
    }

    /// Ends a session. What it was is remembered for as long as its token may come back.
    pub fn end(&mut self, now: Micros, number: u64, why: Why) -> Option<Loss> {
        let at = self.index.remove(number)?;
        let session = self.slab[at as usize].take()?;
        self.free.push(at);
        if let Some(key) = session.timer {
            self.wheel.cancel(key);
        }
        for (side, other) in [(session.before, true), (session.after, false)] {
            if let Some(neighbour) = self.slab.get_mut(side as usize).and_then(Option::as_mut) {
                match other {
                    true => neighbour.after = session.after,
                    false => neighbour.before = session.before,
                }
            }
        }
        let binding = self.binding(&session);
        let place = &mut self.places[session.place as usize];
        place.count -= 1;
        if place.first == at {
            place.first = session.after;
        }
        let user = &mut self.users[session.user as usize];
        user.1 -= 1;
        if user.1 == 0 {
            let name = std::mem::take(&mut user.0);
            self.user_of.remove(&name);
            self.free_users.push(session.user);
        }
        self.gone.insert(number, (why, session.holds));
        self.gone_in_order.push_back((session.until, number));
        while self.gone_in_order.front().is_some_and(|g| g.0 <= now) || self.gone_in_order.len() > MOST_GONE {
            if let Some((_, old)) = self.gone_in_order.pop_front() {
                self.gone.remove(&old);
            }
        }
        Some(Loss { session: number, binding, running: session.running, why })
    }

    /// An engine is gone, or lives on with the epoch `but`: all its sessions of other epochs are lost.
    pub fn lose(&mut self, now: Micros, engine: u64, but: Option<&str>, why: Why) -> Vec<Loss> {
        let mut lost = Vec::new();
        for place in 0..self.places.len() {
            let p = &self.places[place];
            if p.engine != engine || but.is_some_and(|epoch| *p.epoch == *epoch) {
                continue;
            }
            while let Some(session) =
                self.slab.get(self.places[place].first as usize).and_then(Option::as_ref)
            {
                let number = session.number;
                lost.extend(self.end(now, number, why));
            }
        }
        lost
    }

    /// An engine drains, or no longer does. By the strict rule its sessions are lost at once; else they have
    /// [`Limits::finish_within`] from when the drain was first told.
    pub fn drains(&mut self, now: Micros, engine: u64, drains: bool) -> Vec<Loss> {
        if drains && self.limits.finish_within.is_zero() {
            return self.lose(now, engine, None, Why::Drained);
        }
        match (drains, self.draining.contains_key(&engine)) {
            (true, false) => self.draining.insert(engine, now),
            (false, true) => self.draining.remove(&engine),
            _ => return Vec::new(),
        };
        let mut armed = Vec::new();
        for place in self.places.iter().filter(|p| p.engine == engine) {
            let mut at = place.first;
            while let Some(session) = self.slab.get(at as usize).and_then(Option::as_ref) {
                armed.push(at);
                at = session.after;
            }
        }
        armed.into_iter().for_each(|at| self.arm(now, at));
        Vec::new()
    }

    /// Counts a statement that uses the reserve of its engine.
    pub fn reserve(&mut self, engine: u64, epoch: &str, more: bool) {
        let Some(&place) = self.place_of.get(&(engine, Box::from(epoch))) else { return };
        let reserved = &mut self.places[place as usize].reserved;
        *reserved = if more { *reserved + 1 } else { reserved.saturating_sub(1) };
    }

    /// Statements that use it now.
    pub fn reserved(&self, engine: u64, epoch: &str) -> u32 {
        self.place_of.get(&(engine, Box::from(epoch))).map_or(0, |&p| self.places[p as usize].reserved)
    }

    /// When something may be due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.wheel.next_tick().map(|tick| tick * TICK)
    }

    /// Lets time pass: sessions whose limits are over are lost.
    pub fn advance(&mut self, now: Micros) -> Vec<Loss> {
        let mut fired = std::mem::take(&mut self.fired);
        self.wheel.advance(now / TICK, &mut fired);
        let mut lost = Vec::new();
        for at in fired.drain(..) {
            let Some(session) = self.slab[at as usize].as_mut() else { continue };
            session.timer = None;
            let number = session.number;
            let session = self.slab[at as usize].as_ref().expect("looked at above");
            let (due, why) = self.due(session);
            if due / TICK <= now / TICK {
                lost.extend(self.end(now, number, why));
            } else {
                // It was used since the timer was set.
                self.arm(now, at);
            }
        }
        self.fired = fired;
        lost
    }

    /// When a session ends if nothing happens, and why.
    fn due(&self, session: &Session) -> (Micros, Why) {
        let micros = |d: Duration| d.as_micros() as Micros;
        let limits = &self.limits;
        let idle = if session.holds.transaction { limits.locks_idle } else { limits.idle };
        let mut first =
            (session.until.min(session.opened.saturating_add(micros(limits.absolute))), Why::Absolute);
        if session.running.is_none() {
            first = first.min((session.used + micros(idle), Why::Idle));
        }
        if let Some(&since) = self.draining.get(&self.places[session.place as usize].engine) {
            first = first.min((since + micros(limits.finish_within), Why::Drained));
        }
        first
    }

    fn arm(&mut self, now: Micros, at: u32) {
        let Some(session) = self.slab[at as usize].as_ref() else { return };
        let (mut due, _) = self.due(session);
        if session.running.is_some() {
            // It may end and then be idle: looked at again by then.
            let idle = if session.holds.transaction { self.limits.locks_idle } else { self.limits.idle };
            due = due.min(now + idle.as_micros() as Micros);
        }
        let old = session.timer;
        if let Some(key) = old {
            self.wheel.cancel(key);
        }
        if self.wheel.is_empty() {
            // Nothing is set: its time may be that of long ago.
            self.wheel.advance(now / TICK, &mut Vec::new());
        }
        let key = self.wheel.schedule(due / TICK, at);
        if let Some(session) = self.slab[at as usize].as_mut() {
            session.timer = Some(key);
        }
    }
}
