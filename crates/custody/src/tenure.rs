//! Tenures: a voter grants them and ends lives, a holder counts its own, and whoever wants a life ended asks for the marks.
//!
//! A holder counts from when it asked, slowest against fastest; a voter from when it heard. What a voter tells as still
//! running is never less, by any allowed clock, than what the holder still counts.

use std::collections::{BTreeMap, BTreeSet};

use crate::wire::{self, Actor, Spoilt};
use crate::{Life, Micros, Plant};

/// Grants and marks that one voter remembers at once; further ones are not given.
pub(crate) const REMEMBERED: usize = 4_096;
/// A term that has held no tenure for so long ends by itself; what was marked longer ago than that is forgotten.
pub(crate) const ENDS_ALONE: Micros = 3_600_000_000;

/// Times that hold whatever the clocks do within the allowed drift.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spans {
    pub lease: Micros,
    pub drift: u64,
}

impl Spans {
    fn part(&self, span: Micros, times: u64) -> Micros {
        let drift = u128::from(self.drift.min(250_000) * times);
        (u128::from(span) * drift).div_ceil(1_000_000) as Micros
    }

    /// How long a holder counts a grant, from when it asked.
    pub fn held(&self) -> Micros {
        self.lease - self.part(self.lease, 1)
    }

    /// How long a voter counts it, from when it heard.
    pub fn granted(&self) -> Micros {
        self.lease + self.part(self.lease, 1)
    }

    /// How long to wait by one's own clock for a span of another's.
    pub fn surely(&self, span: Micros) -> Micros {
        span + self.part(span, 2)
    }
}

struct Grant {
    life: u64,
    term: u32,
    until: Micros,
}

/// What a voter answers.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Granted,
    Ended(u32),
    Nothing,
}

/// A voter's part.
pub(crate) struct Voter {
    spans: Spans,
    /// By name.
    grants: BTreeMap<String, Grant>,
    /// Through which term a life is ended, and since when.
    marks: BTreeMap<Life, (u32, Micros)>,
    silent_until: Micros,
    /// Something was kept before this start, or has been since.
    started: bool,
    /// A writing is under way, or the first one of all is due.
    writing: bool,
    first: bool,
    /// Marks that are not on disk yet, and who waits for which: by the writing that is under way, and by the next one.
    open: [BTreeSet<Life>; 2],
    waiting: [Vec<(String, Actor)>; 2],
}

impl Voter {
    pub fn new(spans: Spans, ends: Option<&[u8]>, now: Micros, plant: Plant) -> Result<Voter, Spoilt> {
        let marks = ends.map_or(Ok(Vec::new()), |bytes| wire::kept(bytes, REMEMBERED))?;
        let marks = if plant == Plant::MarkNotKept { Vec::new() } else { marks };
        let silent = ends.is_some() && plant != Plant::NoSilence;
        Ok(Voter {
            spans,
            grants: BTreeMap::new(),
            marks: marks.into_iter().map(|(life, through)| (life, (through, now))).collect(),
            silent_until: if silent { now + spans.surely(spans.lease) } else { 0 },
            started: ends.is_some(),
            writing: false,
            // One that has never kept anything says so on disk before its first grant: the next start is then no first one.
            first: ends.is_none(),
            open: Default::default(),
            waiting: Default::default(),
        })
    }

    /// Whether a life in a term may act on what this voter grants from now on.
    pub fn asked(&mut self, now: Micros, who: &Actor) -> Answer {
        if let Some((through, _)) = self.marks.get(&who.life).filter(|m| m.0 >= who.term) {
            return Answer::Ended(*through);
        }
        if !self.started || now < self.silent_until {
            return Answer::Nothing;
        }
        let until = now + self.spans.granted();
        let Actor { life: Life { name, life }, term } = who;
        if let Some(grant) = self.grants.get_mut(name) {
            // A later term says that the earlier one is over; of another life only the time tells that.
            let runs = grant.until > now && (grant.life != *life || grant.term > *term);
            if runs || (grant.life == *life && grant.term > *term) {
                return Answer::Nothing;
            }
            if grant.life != *life {
                let before = Actor { life: Life { name: name.clone(), life: grant.life }, term: grant.term };
                *grant = Grant { life: *life, term: *term, until };
                self.mark(now, &before);
                return Answer::Granted;
            }
        } else if self.grants.len() >= REMEMBERED {
            self.grants.retain(|_, g| g.until > now);
            if self.grants.len() >= REMEMBERED {
                return Answer::Nothing;
            }
        }
        self.grants.insert(name.clone(), Grant { life: *life, term: *term, until });
        Answer::Granted
    }

    /// Marks a life as ended through a term. Gives whether there was room for it.
    fn mark(&mut self, now: Micros, who: &Actor) -> bool {
        let known = self.marks.get(&who.life);
        if known.is_some_and(|m| m.0 >= who.term) {
            return true;
        }
        if known.is_none() && self.marks.len() >= REMEMBERED {
            let span = self.spans.surely(self.spans.surely(ENDS_ALONE + 2 * self.spans.lease));
            self.marks.retain(|_, (_, since)| now < *since + span);
            if self.marks.len() >= REMEMBERED {
                return false;
            }
        }
        self.marks.insert(who.life.clone(), (who.term, now));
        self.open[1].insert(who.life.clone());
        true
    }

    /// Somebody wants lives ended: gives those whose marks are on disk already, with what this voter's grant still runs; the
    /// others follow from [`Voter::kept`].
    pub fn end(&mut self, now: Micros, from: &str, who: Vec<Actor>) -> Vec<(Actor, Micros)> {
        let mut told = Vec::new();
        for actor in who {
            if !self.mark(now, &actor) {
                continue;
            }
            match self.open.iter().rposition(|open| open.contains(&actor.life)) {
                None => told.push((actor.clone(), self.left(now, &actor))),
                Some(by) if self.waiting[by].len() < REMEMBERED => {
                    self.waiting[by].push((from.to_owned(), actor))
                }
                Some(_) => {}
            }
        }
        told
    }

    fn left(&self, now: Micros, who: &Actor) -> Micros {
        let grant = self.grants.get(&who.life.name).filter(|g| g.life == who.life.life && g.term <= who.term);
        grant.map_or(0, |g| g.until).max(self.silent_until).saturating_sub(now)
    }

    /// What is to be kept now, if anything.
    pub fn keep(&mut self) -> Option<Vec<u8>> {
        if self.writing || (self.open[1].is_empty() && !self.first) {
            return None;
        }
        (self.writing, self.first) = (true, false);
        self.open[0] = std::mem::take(&mut self.open[1]);
        self.waiting[0] = std::mem::take(&mut self.waiting[1]);
        Some(wire::keep(self.marks.iter().map(|(life, (through, _))| (life, *through))))
    }

    /// What was to be kept is: who is told of which marks.
    pub fn kept(&mut self, now: Micros) -> Vec<(String, Actor, Micros)> {
        (self.writing, self.started) = (false, true);
        self.open[0].clear();
        let waited = std::mem::take(&mut self.waiting[0]);
        waited.into_iter().map(|(to, actor)| (to, actor.clone(), self.left(now, &actor))).collect()
    }
}

/// A holder's own tenure.
pub(crate) struct Tenure {
    /// The newest question that each voter has granted.
    granted: BTreeMap<String, Micros>,
    quorum: usize,
    /// When it last held.
    pub held_at: Micros,
    pub until: Micros,
}

impl Tenure {
    pub fn new(now: Micros, quorum: usize) -> Tenure {
        Tenure { granted: BTreeMap::new(), quorum, held_at: now, until: 0 }
    }

    /// A voter has granted what was asked at a time: whoever it is, a quorum's grants run from the latest time that a quorum
    /// has granted.
    pub fn granted(&mut self, voter: &str, asked: Micros, held: Micros) {
        let newest = self.granted.entry(voter.to_owned()).or_default();
        *newest = asked.max(*newest);
        let mut times: Vec<Micros> = self.granted.values().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(asked) = self.quorum.checked_sub(1).and_then(|n| times.get(n)) {
            self.until = self.until.max(asked + held);
        }
    }
}

/// A life that is to be ended: the marks that have come, by voter, each with the time at which its grant has run out.
#[derive(Default)]
pub(crate) struct EndAsk {
    marks: BTreeMap<String, Micros>,
    pub asked: Option<Micros>,
}

impl EndAsk {
    pub fn marked(&mut self, voter: &str, at: Micros) {
        let over = self.marks.entry(voter.to_owned()).or_insert(at);
        *over = at.min(*over);
    }

    pub fn lacks(&self, voter: &str) -> bool {
        !self.marks.contains_key(voter)
    }

    /// From when on the life is surely over, once a quorum has marked it: any quorum will do.
    pub fn over_at(&self, quorum: usize) -> Option<Micros> {
        let mut times: Vec<Micros> = self.marks.values().copied().collect();
        times.sort_unstable();
        times.get(quorum.checked_sub(1)?).copied()
    }
}
