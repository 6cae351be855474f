//! Tenures: a voter grants them and ends lives, a holder counts its own, and whoever wants a life ended asks for the marks.
//!
//! A holder counts from when it asked, slowest against fastest; a voter from when it heard. What a voter tells as still
//! running is never less, by any allowed clock, than what the holder still counts.

use std::collections::{BTreeMap, BTreeSet};

use crate::wire::{self, Participant, StoredMarksError};
use crate::{Incarnation, InjectedFault, Micros};

/// Grants and marks that one voter remembers at once; further ones are not given.
pub(crate) const REMEMBERED: usize = 4_096;
/// A term that has held no tenure for so long ends by itself; what was marked longer ago than that is forgotten.
pub(crate) const ENDS_ALONE: Micros = 3_600_000_000;

/// Times that hold whatever the clocks do within the allowed drift.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseTimes {
    pub lease: Micros,
    pub drift: u64,
}

impl LeaseTimes {
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
pub(crate) enum LeaseAnswer {
    Granted,
    Fenced(u32),
    Silence,
}

/// A voter's part.
pub(crate) struct Voter {
    spans: LeaseTimes,
    /// By name.
    grants: BTreeMap<String, Grant>,
    /// Through which term a life is ended, and since when.
    marks: BTreeMap<Incarnation, (u32, Micros)>,
    silent_until: Micros,
    /// Something was kept before this start, or has been since.
    started: bool,
    /// A writing is under way, or the first one of all is due.
    writing: bool,
    first: bool,
    /// Marks that are not on disk yet, and who waits for which: by the writing that is under way, and by the next one.
    open: [BTreeSet<Incarnation>; 2],
    waiting: [Vec<(String, Participant)>; 2],
    /// It has nothing that it kept, and learns first what the others have.
    empty: Option<Recovery>,
}

/// A voter that has kept nothing: it starts for the first time, or its disk is lost, and with it marks that count still.
struct Recovery {
    voters: usize,
    /// Others that have nothing either, and others that have told their marks after the silence.
    too: BTreeSet<String>,
    told: BTreeSet<String>,
}

impl Voter {
    pub fn new(
        spans: LeaseTimes,
        ends: Option<&[u8]>,
        now: Micros,
        voters: usize,
        plant: InjectedFault,
    ) -> Result<Voter, StoredMarksError> {
        let marks = ends.map_or(Ok(Vec::new()), |bytes| wire::kept(bytes, REMEMBERED))?;
        let marks = if plant == InjectedFault::MarksNotStored { Vec::new() } else { marks };
        let silent = plant != InjectedFault::NoStartupSilence;
        let empty = ends.is_none() && voters > 1 && plant != InjectedFault::VotesWithoutMarks;
        let silent = silent && (ends.is_some() || empty);
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
            empty: empty.then(|| Recovery { voters, too: BTreeSet::new(), told: BTreeSet::new() }),
        })
    }

    /// Whether this voter has to learn what the others have marked before it takes part.
    pub fn is_empty(&self) -> bool {
        self.empty.is_some()
    }

    /// What it tells another one that has nothing: its marks; nothing if it has nothing either.
    pub fn tells(&self) -> Vec<u8> {
        if self.is_empty() {
            return Vec::new();
        }
        wire::keep(self.marks.iter().map(|(life, (through, _))| (life, *through)))
    }

    /// Another voter has told its marks, asked at that time. Once all others have nothing either it is the first start of all.
    /// Otherwise so many are needed that each quorum with this voter in it has one of them; they are asked after a lease's silence,
    /// when each quorum that counts a mark which this voter gave before is whole.
    pub fn learn(&mut self, now: Micros, from: &str, asked: Micros, kept: &[u8]) {
        let Some(empty) = &mut self.empty else { return };
        if kept.is_empty() {
            empty.too.insert(from.to_owned());
        } else if asked >= self.silent_until {
            let Ok(marks) = wire::kept(kept, REMEMBERED) else { return };
            empty.told.insert(from.to_owned());
            for (life, through) in marks {
                let known = self.marks.entry(life).or_insert((through, now));
                known.0 = through.max(known.0);
            }
        }
        let others = empty.voters - 1;
        let quorum = empty.voters / 2 + 1;
        let first = empty.too.len() == others;
        let all = empty.told.union(&empty.too).count() == others && !empty.told.is_empty();
        if first || all || empty.told.len() > empty.voters - quorum {
            self.empty = None;
            if first {
                self.silent_until = 0;
            }
        }
    }

    /// Whether a life in a term may act on what this voter grants from now on.
    pub fn asked(&mut self, now: Micros, who: &Participant) -> LeaseAnswer {
        if let Some((through, _)) = self.marks.get(&who.life).filter(|m| m.0 >= who.term) {
            return LeaseAnswer::Fenced(*through);
        }
        if !self.started || self.is_empty() || now < self.silent_until {
            return LeaseAnswer::Silence;
        }
        let until = now + self.spans.granted();
        let Participant { life: Incarnation { name, life }, term } = who;
        if let Some(grant) = self.grants.get_mut(name) {
            // A later term says that the earlier one is over; of another life only the time tells that.
            let runs = grant.until > now && (grant.life != *life || grant.term > *term);
            if runs || (grant.life == *life && grant.term > *term) {
                return LeaseAnswer::Silence;
            }
            if grant.life != *life {
                let before = Participant {
                    life: Incarnation { name: name.clone(), life: grant.life },
                    term: grant.term,
                };
                *grant = Grant { life: *life, term: *term, until };
                self.mark(now, &before);
                return LeaseAnswer::Granted;
            }
        } else if self.grants.len() >= REMEMBERED {
            self.grants.retain(|_, g| g.until > now);
            if self.grants.len() >= REMEMBERED {
                return LeaseAnswer::Silence;
            }
        }
        self.grants.insert(name.clone(), Grant { life: *life, term: *term, until });
        LeaseAnswer::Granted
    }

    /// Marks a life as ended through a term. Gives whether there was room for it.
    fn mark(&mut self, now: Micros, who: &Participant) -> bool {
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
    pub fn end(&mut self, now: Micros, from: &str, who: Vec<Participant>) -> Vec<(Participant, Micros)> {
        let mut told = Vec::new();
        if self.is_empty() {
            return told;
        }
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

    fn left(&self, now: Micros, who: &Participant) -> Micros {
        let grant = self.grants.get(&who.life.name).filter(|g| g.life == who.life.life && g.term <= who.term);
        grant.map_or(0, |g| g.until).max(self.silent_until).saturating_sub(now)
    }

    /// What is to be kept now, if anything.
    pub fn keep(&mut self) -> Option<Vec<u8>> {
        if self.is_empty() || self.writing || (self.open[1].is_empty() && !self.first) {
            return None;
        }
        (self.writing, self.first) = (true, false);
        self.open[0] = std::mem::take(&mut self.open[1]);
        self.waiting[0] = std::mem::take(&mut self.waiting[1]);
        Some(wire::keep(self.marks.iter().map(|(life, (through, _))| (life, *through))))
    }

    /// What was to be kept is: who is told of which marks.
    pub fn kept(&mut self, now: Micros) -> Vec<(String, Participant, Micros)> {
        (self.writing, self.started) = (false, true);
        self.open[0].clear();
        let waited = std::mem::take(&mut self.waiting[0]);
        waited.into_iter().map(|(to, actor)| (to, actor.clone(), self.left(now, &actor))).collect()
    }
}

/// A holder's own tenure.
pub(crate) struct Lease {
    /// The newest question that each voter has granted.
    granted: BTreeMap<String, Micros>,
    quorum: usize,
    /// When it last held.
    pub held_at: Micros,
    pub until: Micros,
}

impl Lease {
    pub fn new(now: Micros, quorum: usize) -> Lease {
        Lease { granted: BTreeMap::new(), quorum, held_at: now, until: 0 }
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

/// A life that is to be ended: the marks that have come, by voter, each with when it came and the time at which its grant has run
/// out. A quorum counts if its marks came within one lease: a voter that has lost its disk keeps still for longer.
#[derive(Default)]
pub(crate) struct FencingAttempt {
    marks: BTreeMap<String, (Micros, Micros)>,
    pub asked: Option<Micros>,
    /// From when on the life is surely over; set once a quorum has marked it.
    pub over: Option<Micros>,
}

impl FencingAttempt {
    pub fn marked(&mut self, voter: &str, now: Micros, at: Micros, quorum: usize, lease: Micros) {
        let over = self.marks.entry(voter.to_owned()).or_insert((now, at));
        *over = (now, at.min(over.1));
        self.marks.retain(|_, (came, _)| now < *came + lease);
        let mut times: Vec<Micros> = self.marks.values().map(|(_, over)| *over).collect();
        times.sort_unstable();
        let over = quorum.checked_sub(1).and_then(|n| times.get(n)).copied();
        self.over = self.over.into_iter().chain(over).min();
    }

    /// Whether a voter's mark is to be asked for.
    pub fn lacks(&self, now: Micros, voter: &str, lease: Micros) -> bool {
        self.over.is_none() && self.marks.get(voter).is_none_or(|(came, _)| now >= *came + lease / 2)
    }
}
