//! Windows that are held: what may be granted beside what, and when one that was granted begins, is called off and ends.
//!
//! A version of the settings carries all windows that are not over. It is a permission to leave engines out, nothing that has to
//! be done, and it holds only where *every* version that a gateway acts on has it. Any two ranges of versions that are acted
//! on at the same true time overlap, so all of them share a version: whatever any gateway leaves out then, that version allows, and
//! all windows of one version are safe together. [`admissible`] is what a quorum of voters has found of a version before it is
//! voted on; [`Held`] is one gateway's part.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::cover::Part;
use crate::find::{Outlook, Why};
use crate::profile::QUARTER;
use crate::{Cell, Micros, Wall};

/// Windows in one version at most.
pub const WINDOWS: usize = 64;
/// The longest one.
pub const LONGEST: Micros = 86_400_000_000;

/// A window as a version has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Its name.
    pub name: String,
    /// The engines that it takes away.
    pub engines: BTreeSet<String>,
    /// Its start and its end.
    pub from: Wall,
    /// See `from`.
    pub until: Wall,
    /// Who asked for it.
    pub by: String,
    /// It is called off. It stays in the versions until it would have been over: what came back early may still be cold.
    pub off: bool,
}

impl Grant {
    /// Whether this is that window, called off or not.
    pub fn same(&self, other: &Grant) -> bool {
        Grant { off: other.off, ..self.clone() } == *other
    }
}

/// Why a version's windows are not granted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Refused {
    /// There are more than a version may have.
    Many,
    /// A name stands twice.
    Twice(String),
    /// It ends before it starts, or lasts too long.
    Span(String),
    /// It takes no engine, or one that is not known here.
    Engine(String, Option<String>),
    /// One of the version before is neither over nor there, or is not as it was: it can be called off only.
    Changed(String),
    /// Engines would have to drain already.
    Late(String),
    /// With all windows of the version together a cell is not covered, or not surely: the window that is asked for, and why.
    Uncovered(String, Why),
    /// It reaches beyond what is projected.
    Far(String),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Many => write!(f, "over {WINDOWS} windows"),
            Refused::Twice(name) => write!(f, "window {name} stands twice"),
            Refused::Span(name) => write!(f, "window {name} ends before it starts, or lasts over a day"),
            Refused::Engine(name, None) => write!(f, "window {name} takes no engine"),
            Refused::Engine(name, Some(engine)) => {
                write!(f, "window {name}: there is no engine {engine} here")
            }
            Refused::Changed(name) => {
                write!(f, "window {name} is not over: it can be called off, not left out or changed")
            }
            Refused::Late(name) => write!(f, "window {name}: its engines would have to drain already"),
            Refused::Uncovered(name, why) => write!(f, "window {name}: {why}"),
            Refused::Far(name) => write!(f, "window {name} reaches beyond the week that is projected"),
        }
    }
}

impl std::error::Error for Refused {}

/// A fault planted on purpose, to see that simulated histories find it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// Each window is judged alone.
    Alone,
    /// Windows of the version before need not be in the next one.
    Dropped,
    /// A window holds where any version that is acted on has it.
    AnyVersion,
    /// A window begins without a look at what has failed.
    NoLook,
    /// What fails in a window does not end it.
    NotCalledOff,
    /// Time is what the wall clock shows.
    WallClock,
    /// A window ends when a version says so.
    NoEnd,
    /// The next window does not wait for what came back.
    NoWait,
    /// A window goes on without a lease.
    NoLease,
}

/// Whether a version may have the windows that are asked for after one that had those before, and whether any of them is new:
/// if none is, nothing depends on when and by whom this is asked.
///
/// # Errors
/// Why not.
pub fn admissible(
    before: &[Grant],
    asked: &[Grant],
    outlook: &Outlook<'_>,
    now: Wall,
    plant: Plant,
) -> Result<bool, Refused> {
    let (cover, margins) = (outlook.cover(), outlook.margins());
    if asked.len() > WINDOWS {
        return Err(Refused::Many);
    }
    let mut names = BTreeSet::new();
    for grant in asked {
        if !names.insert(&grant.name) {
            return Err(Refused::Twice(grant.name.clone()));
        }
    }
    // A gateway with a slow clock may still be within one that is over by this clock: each is wrong by the slack at most.
    let warm = cover.terms().warm;
    let over = |g: &Grant| margins.cold(g.until, warm).1.saturating_add(margins.slack) <= now;
    for old in before.iter().filter(|g| !over(g) && plant != Plant::Dropped) {
        let kept = asked.iter().find(|g| g.name == old.name);
        let same = kept.is_some_and(|g| g.same(old) && (g.off || !old.off));
        if !same {
            return Err(Refused::Changed(old.name.clone()));
        }
    }
    let new: Vec<&Grant> = asked.iter().filter(|g| before.iter().all(|b| b.name != g.name)).collect();
    for grant in &new {
        let name = || grant.name.clone();
        if grant.until <= grant.from || grant.until - grant.from > LONGEST {
            return Err(Refused::Span(name()));
        }
        let unknown = grant.engines.iter().find(|e| cover.place(e).is_none());
        if unknown.is_some() || grant.engines.is_empty() {
            return Err(Refused::Engine(name(), unknown.cloned()));
        }
        let span = (margins.away(grant.from, grant.until).0, margins.cold(grant.until, warm).1);
        if span.0 < now {
            return Err(Refused::Late(name()));
        }
        let all: Vec<&Grant> = match plant {
            Plant::Alone => vec![grant],
            _ => asked.iter().collect(),
        };
        let stretches = stretches(&all, outlook, span).ok_or_else(|| Refused::Far(name()))?;
        for (quarter, stretch) in stretches {
            let mut parts = cover.all_up();
            lay(&all, outlook, stretch, &mut parts);
            outlook.judge_at(quarter, &parts, &[]).map_err(|why| Refused::Uncovered(name(), why))?;
        }
    }
    Ok(!new.is_empty())
}

/// A span of time in stretches in which no window begins or ends, each with its quarter hour: windows that follow each other
/// within one are not taken for windows at once. `None`: it reaches beyond what is projected.
fn stretches(
    windows: &[&Grant],
    outlook: &Outlook<'_>,
    span: (Wall, Wall),
) -> Option<Vec<(usize, (Wall, Wall))>> {
    let (margins, warm) = (outlook.margins(), outlook.cover().terms().warm);
    let mut ends: BTreeSet<Wall> = BTreeSet::from([span.0, span.1]);
    for g in windows {
        let (away, cold) = (margins.away(g.from, g.until), margins.cold(g.until, warm));
        ends.extend([away.0, away.1, cold.0, cold.1]);
    }
    let quarters = outlook.quarters(span)?;
    ends.extend(quarters.clone().map(|q| outlook.span_of(q).0));
    let ends: Vec<Wall> = ends.into_iter().filter(|at| (span.0..=span.1).contains(at)).collect();
    let first = outlook.span_of(quarters.start).0;
    let place = |at: Wall| quarters.start + ((at - first) / QUARTER) as usize;
    Some(ends.windows(2).map(|w| (place(w[0]), (w[0], w[1]))).collect())
}

/// How windows leave engines at their worst in a span of time.
fn lay(windows: &[&Grant], outlook: &Outlook<'_>, span: (Wall, Wall), parts: &mut [Part]) {
    let (cover, margins) = (outlook.cover(), outlook.margins());
    let within = |of: (Wall, Wall)| of.0 < span.1 && span.0 < of.1;
    for g in windows {
        let part = match (
            within(margins.away(g.from, g.until)),
            within(margins.cold(g.until, cover.terms().warm)),
        ) {
            (true, _) => Part::Away,
            (false, true) => Part::Cold,
            (false, false) => continue,
        };
        for e in g.engines.iter().filter_map(|e| cover.place(e)) {
            parts[e] = parts[e].max(part);
        }
    }
}

/// What a gateway knows of the fleet at a moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    /// Engines that have failed.
    pub down: BTreeSet<String>,
    /// Engines that are cold.
    pub cold: BTreeSet<String>,
    /// Sites that are in doubt.
    pub doubtful: BTreeSet<u16>,
    /// Cells that are asked for, core seconds a second.
    pub demand: Vec<(Cell, f64)>,
}

/// The settings of a gateway's part; the margins are the outlook's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How old what is known of the fleet may be.
    pub fresh: Micros,
    /// Parts of a million by which the monotone clock may run too fast or too slow.
    pub drift: u64,
    /// See [`Plant`].
    pub plant: Plant,
}

/// Why a window does not begin, or is called off.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// As the fleet is now, a cell would not be covered, or not surely.
    Unsafe(Why),
    /// Not all versions that are acted on have it, or there is no lease.
    Lease,
    /// The wall clock was set: it is not known by which time the window goes.
    Clock,
    /// What is known of the fleet is too old.
    Stale,
    /// An engine that an earlier window took away is not warm.
    Returning(String),
    /// A version of the settings says so.
    Version,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Unsafe(why) => why.fmt(f),
            Reason::Lease => f.write_str("not all versions that are acted on have it"),
            Reason::Clock => f.write_str("the wall clock was set"),
            Reason::Stale => f.write_str("what is known of the fleet is too old"),
            Reason::Returning(engine) => write!(f, "{engine} has not come back warm from an earlier one"),
            Reason::Version => f.write_str("a version of the settings calls it off"),
        }
    }
}

/// Where a window stands here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It is to come.
    Granted,
    /// Its engines drain.
    Draining,
    /// Its engines may be worked on.
    Open,
    /// Its engines come back, and are not known to be warm yet.
    Returning,
    /// It is over.
    Over,
    /// It was called off, or did not begin.
    Off(Reason),
}

/// What is to be done and told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A window is in another phase.
    Phase(String, Phase),
    /// It has to be called off by a version; said again until one says so.
    CallOff(String, Reason),
}

#[derive(Debug, Clone)]
struct Window {
    grant: Grant,
    phase: Phase,
    /// Why it does not begin, last time it was looked at.
    waits: Option<Reason>,
    told: Micros,
}

/// The time of day by a clock that is never set: the wall clock's while it runs on, the monotone clock's once it was set.
#[derive(Debug, Clone, Copy)]
struct Time {
    mono: Micros,
    wall: Wall,
    set: bool,
}

/// A read of both clocks takes so long at most.
const READ: Micros = 100_000;
/// A window that is to be called off is told again after so long.
const AGAIN: Micros = 2_000_000;

/// One gateway's part. See the module's documentation.
#[derive(Debug, Clone)]
pub struct Held {
    terms: Terms,
    time: Option<Time>,
    /// The windows of each version that is acted on, from the lowest to the newest; `None`: no lease.
    versions: Option<Vec<Vec<Grant>>>,
    windows: BTreeMap<String, Window>,
    evidence: Option<(Micros, Evidence)>,
    effects: VecDeque<Effect>,
}

impl Held {
    /// A gateway that starts.
    pub fn new(terms: Terms) -> Held {
        let (windows, effects) = Default::default();
        Held { terms, time: None, versions: None, windows, evidence: None, effects }
    }

    /// The windows of each version that is acted on now, from the lowest to the newest; `None`: there is no lease.
    pub fn versions(&mut self, versions: Option<Vec<Vec<Grant>>>) {
        self.versions = versions;
    }

    /// What is known of the fleet now.
    pub fn evidence(&mut self, now: Micros, evidence: Evidence) {
        self.evidence = Some((now, evidence));
    }

    /// The next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// The windows that are known here, where they stand, and what keeps one from beginning.
    pub fn windows(&self) -> impl Iterator<Item = (&Grant, &Phase, Option<&Reason>)> {
        self.windows.values().map(|w| (&w.grant, &w.phase, w.waits.as_ref()))
    }

    /// What would keep a window from beginning now; `None`: nothing, or it is not to come.
    pub fn against(&self, name: &str, now: Micros, outlook: &Outlook<'_>) -> Option<Reason> {
        let window = self.windows.get(name).filter(|w| w.phase == Phase::Granted)?;
        let at = self.time.map(|t| t.wall + now.saturating_sub(t.mono))?;
        self.may(window, now, at, outlook).err()
    }

    /// The engines that nothing is sent to because of windows.
    pub fn away(&self) -> BTreeSet<String> {
        let open = self.windows.values().filter(|w| matches!(w.phase, Phase::Draining | Phase::Open));
        let open = open.filter(|w| self.holds(&w.grant));
        open.flat_map(|w| w.grant.engines.iter().cloned()).collect()
    }

    /// Whether every version that is acted on has a window.
    fn holds(&self, grant: &Grant) -> bool {
        let has = |v: &Vec<Grant>| v.iter().any(|g| g == grant && !g.off);
        match (&self.versions, self.terms.plant) {
            (None, plant) => plant == Plant::NoLease,
            (Some(all), Plant::AnyVersion) => all.iter().any(has),
            (Some(all), _) => all.iter().all(has),
        }
    }

    fn time(&mut self, now: Micros, wall: Wall) -> Time {
        let before = self.time.unwrap_or(Time { mono: now, wall, set: false });
        let gone = now.saturating_sub(before.mono);
        let ran = before.wall + gone;
        let allowed = (gone as u128 * u128::from(self.terms.drift) / 1_000_000) as u64 + READ;
        let fits = ran.abs_diff(wall) <= allowed && !before.set;
        // Followed so seldom that many small steps lead no further off than the drift does.
        let due = gone >= READ * 1_000_000 / self.terms.drift.max(1);
        let time = match fits && due || self.terms.plant == Plant::WallClock {
            true => Time { mono: now, wall, set: false },
            false => Time { set: !fits, ..before },
        };
        self.time = Some(time);
        time
    }

    /// The time of day as windows go by it.
    pub fn now(&mut self, now: Micros, wall: Wall) -> Wall {
        let time = self.time(now, wall);
        time.wall + (now - time.mono)
    }

    /// Whether the wall clock was set since it was last known to be right: nothing begins by it, and nothing new is granted.
    pub fn clock_was_set(&self) -> bool {
        self.time.is_some_and(|t| t.set)
    }

    /// The wall clock was set on purpose and is right: windows go by it again.
    pub fn clock_is_right(&mut self) {
        self.time = None;
    }

    /// Does what is due. Called when anything has changed, and every second or so: the wall clock tells when it is set by nothing
    /// but its reading.
    pub fn step(&mut self, now: Micros, wall: Wall, outlook: &Outlook<'_>) {
        let at = self.now(now, wall);
        self.learn();
        let names: Vec<String> = self.windows.keys().cloned().collect();
        for name in names {
            while self.turn(&name, now, at, outlook) {}
        }
        let known: Vec<&Grant> = self.versions.iter().flatten().flatten().collect();
        let named = |name: &String| known.iter().any(|g| g.name == *name);
        let gone: Vec<String> = self.windows.keys().filter(|n| !named(n)).cloned().collect();
        // Without a lease nothing is known of what versions say.
        for name in gone.into_iter().filter(|_| self.versions.is_some()) {
            let phase = self.windows.get(&name).map(|w| w.phase.clone());
            if !matches!(phase, Some(Phase::Returning)) {
                self.windows.remove(&name);
            }
        }
    }

    /// Takes up windows that versions have.
    fn learn(&mut self) {
        for grant in self.versions.iter().flatten().flatten() {
            let window = || Window { grant: grant.clone(), phase: Phase::Granted, waits: None, told: 0 };
            let room = self.windows.len() < 4 * WINDOWS;
            match self.windows.get_mut(&grant.name) {
                Some(known) if grant.same(&known.grant) => known.grant.off |= grant.off,
                // Another one by that name: the one before is over, or it would not have been granted.
                Some(known) => *known = window(),
                None if room => drop(self.windows.insert(grant.name.clone(), window())),
                None => {}
            }
        }
    }

    fn set(&mut self, name: &str, phase: Phase) {
        if let Some(window) = self.windows.get_mut(name) {
            window.phase = phase.clone();
            window.waits = None;
            self.effects.push_back(Effect::Phase(name.to_owned(), phase));
        }
    }

    /// One step of one window; whether there was any.
    fn turn(&mut self, name: &str, now: Micros, at: Wall, outlook: &Outlook<'_>) -> bool {
        let Some(window) = self.windows.get(name).cloned() else { return false };
        let (grant, margins) = (&window.grant, outlook.margins());
        let ended = grant.until <= at && self.terms.plant != Plant::NoEnd;
        let next = match &window.phase {
            Phase::Over => return false,
            Phase::Off(_) if ended => Phase::Over,
            Phase::Off(reason) => {
                if !grant.off && self.versions.is_some() && window.told + AGAIN <= now {
                    self.effects.push_back(Effect::CallOff(name.to_owned(), reason.clone()));
                    self.windows.entry(name.to_owned()).and_modify(|w| w.told = now);
                }
                return false;
            }
            Phase::Granted if ended => Phase::Returning,
            Phase::Granted if grant.off => Phase::Off(Reason::Version),
            Phase::Granted if at < grant.from.saturating_sub(margins.lead) => return false,
            Phase::Granted => match self.may(&window, now, at, outlook) {
                Ok(()) => Phase::Draining,
                // What is only in the way may go while there is time.
                Err(reason) if at < grant.from => {
                    self.windows.entry(name.to_owned()).and_modify(|w| w.waits = Some(reason));
                    return false;
                }
                // This gateway cannot tell: that says nothing against the window elsewhere.
                Err(reason @ (Reason::Lease | Reason::Clock | Reason::Stale)) => {
                    self.windows.entry(name.to_owned()).and_modify(|w| w.waits = Some(reason));
                    return false;
                }
                Err(reason) => Phase::Off(reason),
            },
            Phase::Draining | Phase::Open if ended => Phase::Returning,
            Phase::Draining | Phase::Open if grant.off => Phase::Off(Reason::Version),
            Phase::Draining | Phase::Open => {
                let look = self.terms.plant != Plant::NotCalledOff;
                match self.still(&window, at, outlook).err().filter(|_| look) {
                    Some(why) => Phase::Off(Reason::Unsafe(why)),
                    None if window.phase == Phase::Draining && at >= grant.from && self.holds(grant) => {
                        Phase::Open
                    }
                    None => return false,
                }
            }
            Phase::Returning => {
                let warm = grant.until.saturating_add(outlook.cover().terms().warm) <= at;
                let seen = self.evidence.as_ref().filter(|(when, _)| now - when <= self.terms.fresh);
                let back =
                    |e: &&Evidence| grant.engines.iter().all(|n| !e.down.contains(n) && !e.cold.contains(n));
                match seen.map(|(_, e)| e).filter(back) {
                    Some(_) if warm => Phase::Over,
                    _ => return false,
                }
            }
        };
        self.set(name, next);
        true
    }

    /// Whether a window may begin here and now.
    fn may(&self, window: &Window, now: Micros, at: Wall, outlook: &Outlook<'_>) -> Result<(), Reason> {
        if !self.holds(&window.grant) {
            return Err(Reason::Lease);
        }
        if self.time.is_some_and(|t| t.set) {
            return Err(Reason::Clock);
        }
        if self.terms.plant == Plant::NoLook {
            return Ok(());
        }
        let fresh = self.evidence.as_ref().is_some_and(|(when, _)| now - when <= self.terms.fresh);
        if !fresh {
            return Err(Reason::Stale);
        }
        let back = self.windows.values().find(|w| w.phase == Phase::Returning);
        if let Some(back) = back.filter(|_| self.terms.plant != Plant::NoWait) {
            let engine = back.grant.engines.iter().next().cloned().unwrap_or_default();
            return Err(Reason::Returning(engine));
        }
        self.still(window, at, outlook).map_err(Reason::Unsafe)
    }

    /// Whether what remains covers all cells from now to a window's end and until its engines are warm, with what is known
    /// to have failed, and with as much demand beyond the profile as there is now.
    fn still(&self, window: &Window, at: Wall, outlook: &Outlook<'_>) -> Result<(), Why> {
        let (cover, margins) = (outlook.cover(), outlook.margins());
        let Some((_, seen)) = self.evidence.as_ref() else { return Ok(()) };
        let alone = self.terms.plant == Plant::Alone;
        let others = self.windows.values().map(|w| &w.grant);
        let known: Vec<&Grant> = others.filter(|g| !alone || g.name == window.grant.name).collect();
        let own: BTreeSet<&String> = known
            .iter()
            .filter(|g| {
                let away = margins.away(g.from, g.until);
                away.0 <= at && at < away.1
            })
            .flat_map(|g| &g.engines)
            .collect();
        let end = margins.cold(window.grant.until, cover.terms().warm).1;
        let Some(stretches) = stretches(&known, outlook, (at, end)) else { return Ok(()) };
        let beyond = outlook.beyond(at, &seen.demand)?;
        for (quarter, stretch) in stretches {
            let mut parts = cover.all_up();
            // As granted, what was called off too: it may have come back cold, and others may not know of it yet.
            lay(&known, outlook, stretch, &mut parts);
            for (e, part) in cover.engines().iter().zip(&mut parts) {
                let failed = seen.down.contains(&e.name) && !own.contains(&e.name);
                if failed || seen.doubtful.contains(&e.site) {
                    *part = Part::Away;
                } else if seen.cold.contains(&e.name) {
                    *part = (*part).max(Part::Cold);
                }
            }
            outlook.judge_at(quarter, &parts, &beyond)?;
        }
        Ok(())
    }
}
