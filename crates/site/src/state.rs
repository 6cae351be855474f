//! The state of each site, from signs: what engines answer or fail to, what membership believes of gateways and of links, what
//! witnesses elsewhere reach, and how this gateway itself stands.
//!
//! Two questions are kept apart. *What is away?* Engines and gateways are counted each by themselves, so that a site whose
//! gateways are dead and whose engines live is another thing than the reverse. *Is it dead, or is it cut off from here?* A
//! site is called lost only if its hosts refuse connections (who refuses is reached), or if a witness at a third site that is
//! itself reached finds nothing there either, none finds something, and more than half of all gateways are in sight.
//! Whoever may be cut off himself calls nobody lost.

use std::collections::{BTreeMap, VecDeque};

/// A time or span in microseconds of a clock that never goes back.
pub type Micros = u64;

/// Failures in a row that make an engine count as away, once they last.
const FAILURES: u32 = 2;
/// Part of what a site has that must be away before it counts as partly lost; one more at least than one machine.
const SOME: f64 = 0.34;
/// Doublings of the time for which a site that flaps is held back, at most.
const DOUBLINGS: u32 = 6;

/// Spans by which a site's state is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Failures that last this long make an engine count as away.
    pub doubt: Micros,
    /// What is away for this long, beyond `doubt`, changes the state; half of it where connections are refused.
    pub settle: Micros,
    /// A lost site must answer for this long before it counts as returning; doubled for each loss that followed a return,
    /// up to `back_most`.
    pub back: Micros,
    /// The bound of `back`: whatever a site did before, it is let in after answering for this long.
    pub back_most: Micros,
    /// A site returns over this span.
    pub ramp: Micros,
    /// A witness's word holds this long.
    pub fresh: Micros,
    /// A site that stays whole this long has its past forgotten.
    pub calm: Micros,
}

impl Default for Terms {
    fn default() -> Self {
        let s = 1_000_000;
        Terms {
            doubt: s / 2,
            settle: 2 * s,
            back: 3 * s,
            back_most: 60 * s,
            ramp: 10 * s,
            fresh: 3 * s,
            calm: 600 * s,
        }
    }
}

/// What was seen of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineSign {
    /// It answered, whatever it said.
    Answered,
    /// No answer in time, or the connection broke.
    Silent,
    /// Its host refused the connection: the path there works, the process is gone.
    Refused,
    /// It is drained, by plan.
    Drains,
    /// It is off the list.
    Gone,
}

/// What membership believes of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberSign {
    /// It lives; the link there may be cut one way, so that others' hands carry its answers.
    Lives {
        /// It is heard directly.
        direct: bool,
    },
    /// It is suspected.
    Suspect,
    /// It is dead.
    Dead,
    /// It said good-bye.
    Left,
}

/// How this gateway stands with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It hears others, and they hear it.
    Whole,
    /// It may be the one that is cut off: it hears nobody, is not heard, has just started or stood still.
    Doubtful,
}

/// Something that bears on the state of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A sign of an engine.
    Engine {
        /// Its site, by place.
        site: usize,
        /// Its number.
        engine: u64,
        /// The sign.
        sign: EngineSign,
    },
    /// A belief about another gateway.
    Member {
        /// Its site, by place.
        site: usize,
        /// Its number.
        member: u64,
        /// The belief.
        sign: MemberSign,
    },
    /// A gateway at another site says whether it reaches anything of a site.
    Witness {
        /// The witness's own site.
        from: usize,
        /// Its number.
        member: u64,
        /// The site that it speaks of.
        of: usize,
        /// Whether it reaches an engine or a gateway there.
        reaches: bool,
    },
    /// How this one stands.
    Standing(Standing),
    /// This process stood still: no silence in that span counts.
    Paused(Micros),
}

/// The state of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Nothing speaks against it.
    Whole,
    /// Something is away, too little or for too short a time to act on.
    Doubtful,
    /// All engines, all gateways, or a good part of the engines are away; the rest is there.
    PartlyLost,
    /// Nothing of it is reached from here, and it may live.
    CutOff,
    /// It is dead.
    Lost,
    /// It was lost or cut off, answers again, and is let in step by step.
    Returning,
}

impl State {
    /// A word for the log.
    pub fn word(self) -> &'static str {
        match self {
            State::Whole => "whole",
            State::Doubtful => "doubtful",
            State::PartlyLost => "partly-lost",
            State::CutOff => "cut-off",
            State::Lost => "lost",
            State::Returning => "returning",
        }
    }

    /// Its clients have to be served elsewhere, or its engines are not to be reckoned with.
    pub fn is_away(self) -> bool {
        matches!(self, State::CutOff | State::Lost)
    }
}

/// By what evidence a state is believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Why {
    /// Engines of the site, those drained and delisted apart, and how many of them are away.
    pub engines: (u32, u32),
    /// Engines that are drained.
    pub drained: u32,
    /// Gateways of the site, and how many are dead or have left.
    pub gateways: (u32, u32),
    /// Engines whose hosts refuse connections.
    pub refused: u32,
    /// Witnesses at third sites that reach it, and that do not.
    pub witnesses: (u32, u32),
    /// This gateway may be the one that is cut off: by its standing, or because it sees no more than half of the others.
    pub own_doubt: bool,
    /// The engines that are away were so before; how often the site went right after a return.
    pub flaps: u32,
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Why { engines, drained, gateways, refused, witnesses, own_doubt, flaps } = self;
        write!(f, "engines {} of {} away ({refused} refuse, {drained} drained), ", engines.1, engines.0)?;
        write!(f, "gateways {} of {} gone, ", gateways.1, gateways.0)?;
        write!(f, "witnesses {} reach it, {} do not", witnesses.0, witnesses.1)?;
        let doubt = if *own_doubt { "; this one may be cut off itself" } else { "" };
        write!(f, "{doubt}")?;
        if *flaps > 0 {
            write!(f, "; went {flaps} times after a return")
        } else {
            Ok(())
        }
    }
}

/// A change of a site's state, or of the number of its engines that are away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The site, by place.
    pub site: usize,
    /// The state before.
    pub was: State,
    /// The state.
    pub state: State,
    /// By what evidence.
    pub why: Why,
}

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    drained: bool,
    /// The first failure since the last answer, failures since, and whether the last one was a refused connection.
    failing: Option<Micros>,
    failures: u32,
    refused: bool,
}

impl Engine {
    fn is_away(&self, now: Micros, doubt: Micros) -> bool {
        self.failures >= FAILURES && self.failing.is_some_and(|since| now >= since + doubt)
    }
}

/// What a look at a site finds, before time is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    Well,
    Little,
    Partly,
    Away { lost: bool },
}

#[derive(Debug)]
struct Site {
    engines: BTreeMap<u64, Engine>,
    members: BTreeMap<u64, MemberSign>,
    witnesses: BTreeMap<u64, (usize, bool, Micros)>,
    state: State,
    since: Micros,
    /// The finding that stands, and since when.
    finding: (Finding, Micros),
    flaps: u32,
    last_away: Micros,
    /// Engines away as last told.
    told: u32,
    why: Why,
}

/// Watches the sites. See the module's documentation.
#[derive(Debug)]
pub struct Watch {
    terms: Terms,
    own: usize,
    standing: Standing,
    sites: Vec<Site>,
    most: usize,
    changes: VecDeque<Change>,
}

impl Watch {
    /// A watch over so many sites from one of them, all of them thought whole. Of each site at most `most` engines, gateways
    /// and witnesses are remembered; what comes beyond them is not taken in.
    pub fn new(terms: Terms, own: usize, sites: usize, most: usize, now: Micros) -> Watch {
        let site = |_| Site {
            engines: BTreeMap::new(),
            members: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            state: State::Whole,
            since: now,
            finding: (Finding::Well, now),
            flaps: 0,
            last_away: now,
            told: 0,
            why: Why::default(),
        };
        let sites = (0..sites).map(site).collect();
        Watch { terms, own, standing: Standing::Whole, sites, most, changes: VecDeque::new() }
    }

    /// Takes evidence. What names a site that is not there is nothing.
    pub fn take(&mut self, now: Micros, evidence: Evidence) {
        match evidence {
            Evidence::Engine { site, engine, sign } => {
                let Some(s) = self.sites.get_mut(site) else { return };
                if sign == EngineSign::Gone {
                    s.engines.remove(&engine);
                } else if s.engines.len() < self.most || s.engines.contains_key(&engine) {
                    let e = s.engines.entry(engine).or_default();
                    match sign {
                        EngineSign::Answered => *e = Engine::default(),
                        EngineSign::Drains => *e = Engine { drained: true, ..Engine::default() },
                        EngineSign::Silent | EngineSign::Refused | EngineSign::Gone => {
                            e.failing.get_or_insert(now);
                            e.failures = e.failures.saturating_add(1);
                            e.refused = sign == EngineSign::Refused;
                        }
                    }
                }
            }
            Evidence::Member { site, member, sign } => {
                let Some(s) = self.sites.get_mut(site) else { return };
                if s.members.len() < self.most || s.members.contains_key(&member) {
                    s.members.insert(member, sign);
                }
            }
            Evidence::Witness { from, member, of, reaches } => {
                let own = self.own;
                let Some(s) = self.sites.get_mut(of).filter(|_| from != of && from != own) else { return };
                if s.witnesses.len() < self.most || s.witnesses.contains_key(&member) {
                    s.witnesses.insert(member, (from, reaches, now));
                }
            }
            Evidence::Standing(standing) => self.standing = standing,
            Evidence::Paused(span) => {
                for s in &mut self.sites {
                    let shift = |at: &mut Micros| *at = at.saturating_add(span).min(now);
                    s.engines.values_mut().filter_map(|e| e.failing.as_mut()).for_each(shift);
                    shift(&mut s.finding.1);
                    s.witnesses.clear();
                }
            }
        }
    }

    /// Looks at all sites; to be called after evidence was taken, and at least every `doubt`.
    pub fn wake(&mut self, now: Micros) {
        let in_sight = self.in_sight(now);
        for site in 0..self.sites.len() {
            self.look(now, site, in_sight);
        }
    }

    /// The next change.
    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// The state of a site, since when, and by what evidence.
    pub fn state(&self, site: usize) -> Option<(State, Micros, Why)> {
        self.sites.get(site).map(|s| (s.state, s.since, s.why))
    }

    /// The time for which a site that was lost must answer: what a site that flaps is held back.
    pub fn held_back(&self, site: usize) -> Micros {
        let flaps = self.sites.get(site).map_or(0, |s| s.flaps.min(DOUBLINGS));
        (self.terms.back << flaps).min(self.terms.back_most.max(self.terms.back))
    }

    /// Whether anything of a site is reached from here: what this gateway says as a witness.
    pub fn reaches(&self, now: Micros, site: usize) -> bool {
        let Some(s) = self.sites.get(site) else { return false };
        let engine = s.engines.values().any(|e| !e.drained && !e.is_away(now, self.terms.doubt));
        engine || site == self.own || s.members.values().any(|m| *m == MemberSign::Lives { direct: true })
    }

    /// More than half of all gateways, this one counted, are in sight. Without any others there is nothing to go by.
    fn in_sight(&self, now: Micros) -> bool {
        let (mut all, mut seen) = (1u32, 1u32);
        for s in &self.sites {
            for m in s.members.values().filter(|m| **m != MemberSign::Left) {
                all += 1;
                seen += u32::from(*m < MemberSign::Dead);
            }
        }
        // Fleets without membership tell it by sites.
        if all == 1 {
            all = self.sites.len() as u32;
            seen = (0..self.sites.len()).filter(|&s| self.reaches(now, s)).count() as u32;
        }
        seen * 2 > all
    }

    fn find(&self, now: Micros, site: usize, in_sight: bool) -> (Finding, Why) {
        let s = &self.sites[site];
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let open: Vec<&Engine> = s.engines.values().filter(|e| !e.drained).collect();
        let away = open.iter().filter(|e| e.is_away(now, self.terms.doubt)).count();
        let gone = s.members.values().filter(|m| **m >= MemberSign::Dead).count();
        let left = s.members.values().filter(|m| **m == MemberSign::Left).count();
        let fresh = |w: &&(usize, bool, Micros)| w.2 + self.terms.fresh >= now;
        let reached = |w: &&(usize, bool, Micros)| self.reaches(now, w.0);
        let third: Vec<_> = s.witnesses.values().filter(fresh).filter(reached).collect();
        let why = Why {
            engines: (count(open.len()), count(away)),
            drained: count(s.engines.len() - open.len()),
            gateways: (count(s.members.len()), count(gone)),
            refused: count(open.iter().filter(|e| e.failing.is_some() && e.refused).count()),
            witnesses: (
                count(third.iter().filter(|w| w.1).count()),
                count(third.iter().filter(|w| !w.1).count()),
            ),
            own_doubt: self.standing != Standing::Whole || !in_sight,
            flaps: s.flaps,
        };
        let no_engine = away == open.len() && !s.engines.is_empty();
        // A gateway that others' hands alone reach lives: its site is no dead one, but nothing of it is reached from here.
        let direct = s.members.values().any(|m| *m == MemberSign::Lives { direct: true });
        let no_gateway = !s.members.is_empty() && gone == s.members.len() && site != self.own;
        let by_plan = left == s.members.len() && left > 0 && open.is_empty();
        let none_heard = !s.members.is_empty() && !direct && site != self.own;
        let nothing =
            if s.members.is_empty() { no_engine && site != self.own } else { no_engine && none_heard };
        let finding = if nothing && (no_gateway || s.members.is_empty()) {
            let refused = away > 0 && why.refused as usize == open.len();
            let seen_dead = why.witnesses.1 > 0 && why.witnesses.0 == 0;
            let lost = by_plan || (self.standing == Standing::Whole && (refused || (in_sight && seen_dead)));
            Finding::Away { lost }
        } else if nothing {
            // Suspected gateways count as unheard: what they turn out to be tells lost from cut off.
            Finding::Away { lost: false }
        } else if why.own_doubt {
            // What this one finds missing may be its own fault: a doubt, no more.
            if away + gone > 0 {
                Finding::Little
            } else {
                Finding::Well
            }
        } else if no_engine || no_gateway || (away > 1 && away as f64 >= SOME * open.len() as f64) {
            Finding::Partly
        } else if away + gone > 0 || s.members.values().any(|m| *m == MemberSign::Suspect) {
            Finding::Little
        } else {
            Finding::Well
        };
        (finding, why)
    }

    fn look(&mut self, now: Micros, site: usize, in_sight: bool) {
        let (finding, why) = self.find(now, site, in_sight);
        let back = self.held_back(site);
        let terms = self.terms;
        let s = &mut self.sites[site];
        s.why = why;
        if s.finding.0 != finding {
            // Whether it is lost or cut off may turn; that nothing is there stands since it did.
            let both = matches!((s.finding.0, finding), (Finding::Away { .. }, Finding::Away { .. }));
            // Little or nothing missing: it is there in both cases.
            let there = |f| matches!(f, Finding::Well | Finding::Little);
            let kept = both || (s.state.is_away() && there(s.finding.0) && there(finding));
            s.finding = (finding, if kept { s.finding.1 } else { now });
        }
        let held = now.saturating_sub(s.finding.1);
        let settle =
            if why.refused > 0 && why.refused == why.engines.0 { terms.settle / 2 } else { terms.settle };
        let state = match (s.state, finding) {
            (was, Finding::Away { lost }) => match (held >= settle, lost) {
                (true, true) => State::Lost,
                // What was seen dead is not called alive because witnesses fall silent.
                (true, false) if was == State::Lost && why.witnesses.0 == 0 => State::Lost,
                (true, false) => State::CutOff,
                (false, _) if was.is_away() => was,
                (false, _) if was == State::Returning => State::Returning,
                (false, _) => State::Doubtful,
            },
            // What was away must answer for a while, the longer the more often it flapped.
            (was, _) if was.is_away() && held < back => was,
            (was, _) if was.is_away() => State::Returning,
            (State::Returning, _) if now.saturating_sub(s.since) < terms.ramp => State::Returning,
            (State::PartlyLost, Finding::Well | Finding::Little) if held < terms.settle => State::PartlyLost,
            (was, Finding::Partly) => match held >= terms.settle {
                true => State::PartlyLost,
                false if was == State::PartlyLost => was,
                false => State::Doubtful,
            },
            (_, Finding::Little) => State::Doubtful,
            (_, Finding::Well) => State::Whole,
        };
        if state.is_away() {
            s.last_away = now;
        } else if now.saturating_sub(s.last_away) >= terms.calm {
            s.flaps = 0;
        }
        let told = std::mem::replace(&mut s.told, why.engines.1);
        if state == s.state {
            if told != why.engines.1 {
                self.changes.push_back(Change { site, was: state, state, why });
            }
            return;
        }
        let was = std::mem::replace(&mut s.state, state);
        // A loss that follows a return counts, however the return went on: the past is forgotten after `calm` alone.
        if state.is_away() && !was.is_away() {
            s.flaps = s.flaps.saturating_add(1);
        }
        s.since = now;
        self.changes.push_back(Change { site, was, state, why });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    /// Four sites of three engines and two gateways, seen from the first; site `away` does as told, all else is well.
    struct Seen {
        watch: Watch,
        now: Micros,
    }

    impl Seen {
        fn new() -> Seen {
            Seen { watch: Watch::new(Terms::default(), 0, 4, 16, 0), now: 0 }
        }

        /// So long; what the engines and gateways of site 1 do, and what witnesses at site 2 say of it.
        fn go(&mut self, span: Micros, engines: &[EngineSign], gateways: MemberSign, witness: Option<bool>) {
            let end = self.now + span;
            let lives = MemberSign::Lives { direct: true };
            while self.now < end {
                self.now += S / 4;
                for site in 0..4 {
                    for engine in 0..3 {
                        let sign =
                            if site == 1 { engines[engine % engines.len()] } else { EngineSign::Answered };
                        self.watch.take(self.now, Evidence::Engine { site, engine: engine as u64, sign });
                    }
                    for member in 0..2 {
                        let sign = if site == 1 { gateways } else { lives };
                        self.watch.take(self.now, Evidence::Member { site, member, sign });
                    }
                }
                if let Some(reaches) = witness {
                    let word = Evidence::Witness { from: 2, member: 0, of: 1, reaches };
                    self.watch.take(self.now, word);
                }
                self.watch.wake(self.now);
            }
        }

        fn state(&self) -> State {
            self.watch.state(1).expect("a site").0
        }
    }

    use EngineSign::{Answered, Drains, Refused, Silent};
    const LIVES: MemberSign = MemberSign::Lives { direct: true };

    #[test]
    fn a_site_is_lost_only_by_a_witness_or_by_refusals_and_cut_off_else() {
        for (engines, witness, state) in [
            (Silent, None, State::CutOff),
            (Silent, Some(true), State::CutOff),
            (Silent, Some(false), State::Lost),
            (Refused, None, State::Lost),
        ] {
            let mut seen = Seen::new();
            seen.go(5 * S, &[engines], MemberSign::Dead, witness);
            assert_eq!(seen.state(), state, "{engines:?} {witness:?}");
        }
    }

    #[test]
    fn one_that_may_be_cut_off_itself_calls_nobody_lost() {
        let mut seen = Seen::new();
        seen.watch.take(0, Evidence::Standing(Standing::Doubtful));
        seen.go(5 * S, &[Silent], MemberSign::Dead, Some(false));
        let (state, _, why) = seen.watch.state(1).expect("a site");
        assert!(state == State::CutOff && why.own_doubt, "{why}");
    }

    #[test]
    fn half_of_the_fleet_calls_the_other_half_cut_off() {
        let mut watch = Watch::new(Terms::default(), 0, 4, 16, 0);
        for step in 0..40 {
            let now = step * S / 4;
            for site in 0..4 {
                let (sign, member) = if site < 2 { (Answered, LIVES) } else { (Silent, MemberSign::Dead) };
                watch.take(now, Evidence::Engine { site, engine: 0, sign });
                if site != 0 {
                    watch.take(now, Evidence::Member { site, member: 0, sign: member });
                }
                watch.take(now, Evidence::Witness { from: 1, member: 9, of: site, reaches: site < 2 });
            }
            watch.wake(now);
        }
        let state = |site| watch.state(site).map(|s| s.0);
        assert_eq!((state(2), state(3)), (Some(State::CutOff), Some(State::CutOff)));
    }

    #[test]
    fn dead_gateways_and_dead_engines_are_told_apart() {
        let mut seen = Seen::new();
        seen.go(5 * S, &[Answered], MemberSign::Dead, Some(true));
        let (state, _, why) = seen.watch.state(1).expect("a site");
        assert_eq!((state, why.engines, why.gateways), (State::PartlyLost, (3, 0), (2, 2)));
        let mut seen = Seen::new();
        seen.go(5 * S, &[Silent], LIVES, Some(true));
        let (state, _, why) = seen.watch.state(1).expect("a site");
        assert_eq!((state, why.engines, why.gateways), (State::PartlyLost, (3, 3), (2, 0)));
    }

    #[test]
    fn a_drained_site_whose_gateways_have_left_is_lost_by_plan() {
        let mut seen = Seen::new();
        seen.go(3 * S, &[Drains], LIVES, None);
        let (state, _, why) = seen.watch.state(1).expect("a site");
        assert_eq!((state, why.drained), (State::PartlyLost, 3));
        seen.go(3 * S, &[Drains], MemberSign::Left, None);
        assert_eq!(seen.state(), State::Lost);
    }

    #[test]
    fn what_was_silent_while_this_one_stood_still_is_no_silence() {
        let mut seen = Seen::new();
        seen.go(2 * S, &[Silent, Answered, Answered], LIVES, None);
        let before = seen.watch.state(1).expect("a site").0;
        assert_eq!(before, State::Doubtful);
        // Ten seconds pass at once: the failure of before must not have lasted through them.
        let mut seen = Seen::new();
        seen.go(S, &[Answered], LIVES, None);
        for engine in 0..3 {
            for _ in 0..2 {
                seen.watch.take(seen.now, Evidence::Engine { site: 1, engine, sign: Silent });
            }
        }
        seen.now += 10 * S;
        seen.watch.take(seen.now, Evidence::Paused(10 * S));
        seen.watch.wake(seen.now);
        assert_eq!(seen.watch.state(1).expect("a site").2.engines, (3, 0));
    }

    #[test]
    fn a_site_that_flaps_is_held_back_longer_each_time_and_no_longer_than_the_bound() {
        let mut seen = Seen::new();
        let mut spans = Vec::new();
        for _ in 0..9 {
            seen.go(5 * S, &[Refused], MemberSign::Dead, None);
            assert_eq!(seen.state(), State::Lost);
            let begin = seen.now;
            while seen.state() == State::Lost {
                seen.go(S / 4, &[Answered], LIVES, None);
            }
            assert_eq!(seen.state(), State::Returning);
            spans.push(seen.now - begin);
        }
        let bound = Terms::default().back_most;
        assert!(spans.windows(2).all(|w| w[0] < w[1] || w[1] >= bound), "{spans:?}");
        assert!(spans.iter().all(|&s| s <= bound + S), "{spans:?}");
        // After a calm time its past is forgotten.
        seen.go(Terms::default().calm + 20 * S, &[Answered], LIVES, None);
        assert_eq!((seen.state(), seen.watch.held_back(1)), (State::Whole, Terms::default().back));
    }

    #[test]
    fn what_comes_beyond_the_bound_is_not_remembered() {
        let mut watch = Watch::new(Terms::default(), 0, 2, 4, 0);
        for engine in 0..100 {
            watch.take(0, Evidence::Engine { site: 1, engine, sign: Answered });
            watch.take(0, Evidence::Member { site: 1, member: engine, sign: LIVES });
            watch.take(0, Evidence::Engine { site: 7, engine, sign: Answered });
        }
        watch.wake(0);
        let why = watch.state(1).expect("a site").2;
        assert_eq!((why.engines.0, why.gateways.0), (4, 4));
    }
}
