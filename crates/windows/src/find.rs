//! Windows that are safe: for some engines and a duration all of them within a week, for a whole fleet a schedule of few of
//! them that takes every engine once.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::cover::{Cover, Lost, Part, Shape, Shown, Uncovered};
use crate::profile::{Profile, Unsure, QUARTER, QUARTERS};
use crate::{Cell, Micros, Wall};

/// Orders in which a schedule is tried, and starts that are tried for each of its windows.
const TRIES: u64 = 6;
const STARTS: usize = 4;

/// What a window takes beyond its own span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Margins {
    /// The most by which any gateway's clock is wrong.
    pub slack: Micros,
    /// Engines drain so long ahead of its start.
    pub lead: Micros,
}

impl Margins {
    /// The span in which some gateway may send an engine nothing because of a window.
    pub fn away(&self, from: Wall, until: Wall) -> (Wall, Wall) {
        (from.saturating_sub(self.lead).saturating_sub(self.slack), until.saturating_add(self.slack))
    }

    /// The span in which an engine may be cold after it.
    pub fn cold(&self, until: Wall, warm: Micros) -> (Wall, Wall) {
        (until.saturating_sub(self.slack), until.saturating_add(self.slack).saturating_add(warm))
    }
}

/// Why there is no window at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// A cell would not be covered.
    Uncovered(Uncovered),
    /// What a cell needs then is not sure.
    Unsure(Cell, Unsure),
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Uncovered(u) => u.fmt(f),
            Why::Unsure(cell, why) => write!(f, "what {} needs is not sure: {why}", Shown(cell)),
        }
    }
}

/// All windows for some engines.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Found {
    /// The quarter hours at which one may start.
    pub starts: Vec<Wall>,
    /// Those at which none may, from the first of a row to the end of its last, and why.
    pub refused: Vec<(Wall, Wall, Why)>,
}

/// A window of a schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Window {
    /// Its start and its end.
    pub from: Wall,
    /// See `from`.
    pub until: Wall,
    /// The engines that it takes away.
    pub engines: Vec<String>,
}

/// A schedule for a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Schedule {
    /// Its windows in order; none begins before what the one before it took away is warm.
    pub windows: Vec<Window>,
    /// Engines that no window takes, and what prevents it most often; `None`: the week has no room left beside the others.
    pub left: Vec<(String, Option<Why>)>,
}

/// How a quarter hour is judged.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Verdict {
    Safe,
    Unsure,
    Bad(Option<Lost>),
}

/// What is projected for the quarter hours of a week to come.
pub struct Outlook<'a> {
    cover: Cow<'a, Cover>,
    shape: Shape,
    margins: Margins,
    now: Wall,
    /// The first quarter hour.
    base: u64,
    /// What each cell needs, and each kind of cells, by quarter hour.
    demand: Vec<Vec<f64>>,
    work: Vec<Vec<f64>>,
    unsure: Vec<Option<(Cell, Unsure)>>,
    /// The most and the least that each kind of cells needs in halves, quarters, eighths ... of the week; `None` where nothing is
    /// sure. What fits at its most fits all along, what does not at its least never does.
    tree: Vec<Option<(Vec<f64>, Vec<f64>)>>,
    leaves: usize,
}

impl<'a> Outlook<'a> {
    /// What a profile projects from now on for the cells that it knows and those that are named.
    pub fn new(
        cover: &'a Cover,
        profile: &Profile,
        named: &[Cell],
        margins: Margins,
        now: Wall,
    ) -> Outlook<'a> {
        Outlook::of(Cow::Borrowed(cover), profile, named, margins, now)
    }

    /// The same for a fleet that nobody else holds.
    pub fn owning(
        cover: Cover,
        profile: &Profile,
        named: &[Cell],
        margins: Margins,
        now: Wall,
    ) -> Outlook<'static> {
        Outlook::of(Cow::Owned(cover), profile, named, margins, now)
    }

    fn of(
        cover: Cow<'a, Cover>,
        profile: &Profile,
        named: &[Cell],
        margins: Margins,
        now: Wall,
    ) -> Outlook<'a> {
        let shape = cover.shape(profile.cells().chain(named.iter().copied()));
        let base = now / QUARTER;
        let (mut demand, mut unsure) = (Vec::new(), Vec::new());
        for q in 0..QUARTERS as u64 {
            let each = shape.cells().iter().map(|c| profile.project(c, (base + q) * QUARTER));
            let mut why = None;
            let mut needs = Vec::with_capacity(shape.cells().len());
            for (cell, p) in shape.cells().iter().zip(each) {
                why = why.or(p.unsure.map(|u| (*cell, u)));
                needs.push(p.demand);
            }
            demand.push(needs);
            unsure.push(why);
        }
        let work: Vec<Vec<f64>> = demand.iter().map(|d| shape.sum(d)).collect();
        let leaves = QUARTERS.next_power_of_two();
        let mut tree = vec![None; 2 * leaves];
        for q in (0..QUARTERS).filter(|&q| unsure[q].is_none()) {
            tree[leaves + q] = Some((work[q].clone(), work[q].clone()));
        }
        for node in (1..leaves).rev() {
            let (a, b) = (&tree[2 * node], &tree[2 * node + 1]);
            tree[node] = match (a, b) {
                (Some((high, low)), Some((other, least))) => {
                    let each = |a: &[f64], b: &[f64], of: fn(f64, f64) -> f64| {
                        a.iter().zip(b).map(|(x, y)| of(*x, *y)).collect::<Vec<f64>>()
                    };
                    Some((each(high, other, f64::max), each(low, least, f64::min)))
                }
                (some, None) | (None, some) => some.clone(),
            };
        }
        Outlook { cover, shape, margins, now, base, demand, work, unsure, tree, leaves }
    }

    /// The cells that are judged.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The fleet.
    pub fn cover(&self) -> &Cover {
        &self.cover
    }

    /// What windows take beyond their own span.
    pub fn margins(&self) -> Margins {
        self.margins
    }

    /// The quarter hours that a span touches, by place; `None`: it begins before the first or ends after the last.
    pub fn quarters(&self, span: (Wall, Wall)) -> Option<std::ops::Range<usize>> {
        let touched = self.touched(span);
        Some(touched.start?..touched.end.filter(|&end| end <= QUARTERS)?)
    }

    /// Start and end of a quarter hour.
    pub fn span_of(&self, quarter: usize) -> (Wall, Wall) {
        let from = (self.base + quarter as u64) * QUARTER;
        (from, from + QUARTER)
    }

    /// How much more than what is projected cells ask for at a time, in the shape's order.
    ///
    /// # Errors
    /// If a cell is asked for that is not known.
    pub fn beyond(&self, at: Wall, demand: &[(Cell, f64)]) -> Result<Vec<f64>, Why> {
        let new = demand.iter().find(|d| d.1 > 0.0 && !self.shape.cells().contains(&d.0));
        if let Some(&(cell, _)) = new {
            return Err(Why::Unsure(cell, Unsure::New));
        }
        let q = (at / QUARTER).checked_sub(self.base).filter(|&q| q < QUARTERS as u64);
        let projected = q.map_or(&[][..], |q| &self.demand[q as usize]);
        let asked = |c: &Cell| demand.iter().filter(|d| d.0 == *c).map(|d| d.1).sum::<f64>();
        let more = |(c, p): (&Cell, &f64)| (asked(c) - p).max(0.0);
        Ok(self.shape.cells().iter().zip(projected).map(more).collect())
    }

    /// Whether engines, standing so, cover a quarter hour's demand, and so much more of each cell (none: nothing).
    ///
    /// # Errors
    /// Why not.
    pub fn judge_at(&self, quarter: usize, parts: &[Part], beyond: &[f64]) -> Result<(), Why> {
        if let Some((cell, why)) = self.unsure[quarter] {
            return Err(Why::Unsure(cell, why));
        }
        let more = |(n, d): (usize, &f64)| d + beyond.get(n).copied().unwrap_or(0.0);
        let demand: Vec<f64> = self.demand[quarter].iter().enumerate().map(more).collect();
        self.cover.covers(&self.shape, &demand, parts).map_err(Why::Uncovered)
    }

    fn parts(&self, engines: &[usize], part: Part) -> Vec<Part> {
        let mut parts = self.cover.all_up();
        engines.iter().for_each(|&e| parts[e] = part);
        parts
    }

    /// How each quarter hour is judged with engines standing so.
    fn judge(&self, parts: &[Part]) -> Vec<Verdict> {
        let mut verdicts = vec![Verdict::Unsure; QUARTERS];
        let mut open = vec![(1, 0, self.leaves)];
        while let Some((node, from, to)) = open.pop() {
            let Some((high, low)) = &self.tree[node] else { continue };
            let all = match self.cover.bears(&self.shape, high, parts) {
                Ok(()) => Some(Verdict::Safe),
                Err(lost) if to - from == 1 => Some(Verdict::Bad(lost)),
                Err(_) => self.cover.bears(&self.shape, low, parts).err().map(Verdict::Bad),
            };
            match all {
                Some(verdict) => {
                    let sure = (from..to.min(QUARTERS)).filter(|&q| self.unsure[q].is_none());
                    sure.for_each(|q| verdicts[q] = verdict.clone());
                }
                None => {
                    let middle = (from + to) / 2;
                    open.extend([(2 * node, from, middle), (2 * node + 1, middle, to)]);
                }
            }
        }
        verdicts
    }

    /// The quarter hours that a span touches; those before the first or after the last have no place.
    fn touched(&self, span: (Wall, Wall)) -> std::ops::Range<Option<usize>> {
        let place = |q: u64| q.checked_sub(self.base).map(|q| q as usize);
        place(span.0 / QUARTER)..place(span.1.div_ceil(QUARTER))
    }

    /// Quarter hours in which a window's engines are away, and those in which they are cold.
    fn spans(
        &self,
        from: Wall,
        duration: Micros,
    ) -> Option<(std::ops::Range<usize>, std::ops::Range<usize>)> {
        let until = from.checked_add(duration)?;
        let away = self.touched(self.margins.away(from, until));
        let cold = self.touched(self.margins.cold(until, self.cover.terms().warm));
        let (start, middle, end) = (away.start?, away.end?, cold.end?.max(away.end?));
        (end <= QUARTERS).then_some((start..middle, middle..end))
    }

    /// The quarter hours at which a window that lies within the week can start.
    fn starts(&self, duration: Micros) -> Vec<Wall> {
        let all = (0..=QUARTERS as u64).map(|q| (self.base + q) * QUARTER);
        all.filter(|&s| s >= self.now && self.spans(s, duration).is_some()).collect()
    }

    fn why(&self, q: usize, parts: &[Part], verdict: &Verdict) -> Option<Why> {
        match verdict {
            Verdict::Safe => None,
            Verdict::Unsure => self.unsure[q].map(|(cell, why)| Why::Unsure(cell, why)),
            Verdict::Bad(lost) => {
                Some(Why::Uncovered(self.cover.name(&self.shape, &self.demand[q], parts, lost.clone())))
            }
        }
    }

    /// All windows of a duration in which engines, by place, may be taken away.
    pub fn find(&self, engines: &[usize], duration: Micros) -> Found {
        let parts = [self.parts(engines, Part::Away), self.parts(engines, Part::Cold)];
        let verdicts = [self.judge(&parts[0]), self.judge(&parts[1])];
        let (mut found, mut known) = (Found::default(), BTreeMap::new());
        for start in self.starts(duration) {
            let Some((away, cold)) = self.spans(start, duration) else { continue };
            let first = away.map(|q| (0, q)).chain(cold.map(|q| (1, q)));
            let bad = first.into_iter().find(|&(state, q)| verdicts[state][q] != Verdict::Safe);
            let Some((state, q)) = bad else {
                found.starts.push(start);
                continue;
            };
            let why = || self.why(q, &parts[state], &verdicts[state][q]);
            let Some(why) = known.entry((state, q)).or_insert_with(why).clone() else { continue };
            match found.refused.last_mut().filter(|last| last.1 == start && last.2 == why) {
                Some(last) => last.1 = start + QUARTER,
                None => found.refused.push((start, start + QUARTER, why)),
            }
        }
        found
    }

    /// Whether engines may be taken away from a start on.
    pub fn safe(&self, engines: &[usize], start: Wall, duration: Micros) -> bool {
        let Some((away, cold)) = self.spans(start, duration) else { return false };
        let holds = |range: std::ops::Range<usize>, part| {
            let parts = self.parts(engines, part);
            if range.clone().any(|q| self.unsure[q].is_some()) {
                return false;
            }
            let mut most = vec![0.0f64; self.shape.len()];
            self.work[range.clone()].iter().for_each(|w| {
                most.iter_mut().zip(w).for_each(|(m, w)| *m = m.max(*w));
            });
            let one = range.len() <= 1;
            self.cover.bears(&self.shape, &most, &parts).is_ok()
                || !one && range.clone().all(|q| self.cover.bears(&self.shape, &self.work[q], &parts).is_ok())
        };
        holds(away, Part::Away) && holds(cold, Part::Cold)
    }

    /// A schedule of few windows that takes each of these engines once.
    pub fn schedule(&self, engines: &[usize], duration: Micros) -> Schedule {
        // Engines that differ in nothing have the same windows.
        let mut alone: BTreeMap<usize, Found> = BTreeMap::new();
        for &e in engines {
            alone.entry(self.cover.room(e)).or_insert_with(|| self.find(&[e], duration));
        }
        let starts: BTreeMap<usize, BTreeSet<Wall>> =
            alone.iter().map(|(room, f)| (*room, f.starts.iter().copied().collect())).collect();
        let mut quiet: Vec<(f64, Wall)> = self
            .starts(duration)
            .into_iter()
            .filter_map(|s| {
                let (away, cold) = self.spans(s, duration)?;
                let needs = |q: usize| self.work[q].iter().sum::<f64>();
                Some(((away.start..cold.end).map(needs).fold(0.0, f64::max), s))
            })
            .collect();
        quiet.sort_by(|a, b| a.partial_cmp(b).expect("no demand is NaN"));
        let plan = Plan { outlook: self, duration, starts, quiet };
        // Those with the fewest windows of their own in front; the other tries have drawn orders.
        let mut order: Vec<usize> = engines.to_vec();
        order.sort_by_key(|&e| (plan.alone(e).len(), self.cover.room(e), e));
        let (mut best, mut dice) = (plan.dissolved(plan.greedy(&order)), 0x9e37_79b9_7f4a_7c15u64);
        let possible = order.iter().filter(|&&e| !plan.alone(e).is_empty()).count();
        for n in 0..2 * TRIES {
            let missed = best.1.len() > order.len() - possible;
            if !missed && (best.0.len() <= 1 || n >= TRIES) {
                break;
            }
            // Where room in the week is short, windows one after the other.
            let other = if n % 2 == 0 && missed { plan.packed(&order) } else { plan.greedy(&order) };
            let other = plan.dissolved(other);
            if (other.1.len(), other.0.len()) < (best.1.len(), best.0.len()) {
                best = other;
            }
            for n in (1..order.len()).rev() {
                dice ^= dice << 13;
                dice ^= dice >> 7;
                dice ^= dice << 17;
                order.swap(n, (dice % (n as u64 + 1)) as usize);
            }
        }
        best.0.sort();
        let name = |e: &usize| self.cover.engines()[*e].name.clone();
        let window = |(from, engines): &(Wall, Vec<usize>)| {
            let mut engines: Vec<String> = engines.iter().map(name).collect();
            engines.sort();
            Window { from: *from, until: from + duration, engines }
        };
        let left = |e: &usize| {
            let found = &alone[&self.cover.room(*e)];
            let longest = found.refused.iter().max_by_key(|r| r.1 - r.0).map(|r| r.2.clone());
            (name(e), longest.filter(|_| found.starts.is_empty()))
        };
        Schedule { windows: best.0.iter().map(window).collect(), left: best.1.iter().map(left).collect() }
    }
}

/// Windows by their starts, and engines that found none.
type Taken = (Vec<(Wall, Vec<usize>)>, Vec<usize>);

struct Plan<'a, 'b> {
    outlook: &'a Outlook<'b>,
    duration: Micros,
    /// Starts by room at which an engine of it may go alone.
    starts: BTreeMap<usize, BTreeSet<Wall>>,
    /// All starts, those at which the least is needed in front.
    quiet: Vec<(f64, Wall)>,
}

impl Plan<'_, '_> {
    fn alone(&self, engine: usize) -> &BTreeSet<Wall> {
        &self.starts[&self.outlook.cover.room(engine)]
    }

    /// Whether a window leaves the other ones alone: the later one waits until the earlier one's engines are warm.
    fn apart(&self, windows: &[(Wall, Vec<usize>)], start: Wall) -> bool {
        let (outlook, warm) = (self.outlook, self.outlook.cover.terms().warm);
        let end = |s: Wall| outlook.margins.cold(s + self.duration, warm).1;
        let begin = |s: Wall| outlook.margins.away(s, s + self.duration).0;
        windows.iter().all(|w| end(w.0) <= begin(start) || end(start) <= begin(w.0))
    }

    fn greedy(&self, order: &[usize]) -> Taken {
        let (mut windows, mut left, mut open) = (Vec::new(), Vec::new(), order.to_vec());
        while !open.is_empty() {
            let first = open.remove(0);
            let mine = self.alone(first);
            let mut best: Option<(Wall, Vec<usize>)> = None;
            let mut tried: Vec<Wall> = Vec::new();
            for &(_, start) in &self.quiet {
                // Starts next to each other hardly differ.
                let near = tried.iter().any(|t| t.abs_diff(start) < self.duration.max(4 * QUARTER));
                if near || !mine.contains(&start) || !self.apart(&windows, start) {
                    continue;
                }
                let filled = self.fill(first, &open, start);
                if best.as_ref().is_none_or(|b| filled.len() > b.1.len()) {
                    best = Some((start, filled));
                }
                tried.push(start);
                if tried.len() >= STARTS {
                    break;
                }
            }
            match best {
                Some((start, filled)) => {
                    open.retain(|e| !filled.contains(e));
                    windows.push((start, filled));
                }
                None => left.push(first),
            }
        }
        (windows, left)
    }

    /// Windows from the first on: of those that leave no room for the first one, the one that takes the most.
    fn packed(&self, order: &[usize]) -> Taken {
        let (mut windows, mut open) = (Vec::<(Wall, Vec<usize>)>::new(), order.to_vec());
        let mut starts: Vec<Wall> = self.quiet.iter().map(|q| q.1).collect();
        starts.sort_unstable();
        loop {
            let free =
                |s: &&Wall| self.apart(&windows, **s) && open.iter().any(|e| self.alone(*e).contains(s));
            let free: Vec<Wall> = starts.iter().filter(free).copied().collect();
            let Some(&first) = free.first() else { break };
            let filled = |&s: &Wall| {
                let seeds = open.iter().filter(|e| self.alone(**e).contains(&s)).take(STARTS);
                let each = seeds.map(|&e| {
                    let others: Vec<usize> = open.iter().copied().filter(|o| *o != e).collect();
                    (s, self.fill(e, &others, s))
                });
                each.max_by_key(|w| w.1.len())
            };
            let near = free.iter().filter(|s| **s == first || !self.apart(&[(first, Vec::new())], **s));
            // Of those that take as many the first one leaves the most time.
            let near: Vec<&Wall> = near.collect();
            let Some(best) = near.into_iter().rev().filter_map(filled).max_by_key(|w| w.1.len()) else {
                break;
            };
            open.retain(|e| !best.1.contains(e));
            windows.push(best);
        }
        (windows, open)
    }

    /// As many engines as a window bears, in their order.
    fn fill(&self, first: usize, others: &[usize], start: Wall) -> Vec<usize> {
        let mut taken = vec![first];
        let mut full = BTreeSet::new();
        for &e in others {
            let room = self.outlook.cover.room(e);
            // One like it was too many already.
            if full.contains(&room) || !self.alone(e).contains(&start) {
                continue;
            }
            taken.push(e);
            if !self.outlook.safe(&taken, start, self.duration) {
                taken.pop();
                full.insert(room);
            }
        }
        taken
    }

    /// Windows of few engines go, as far as the others take these as well.
    fn dissolved(&self, (mut windows, left): Taken) -> Taken {
        windows.sort_by_key(|w| w.1.len());
        let mut at = 0;
        while at < windows.len() {
            let mut others = windows.clone();
            let (_, engines) = others.remove(at);
            let mut placed = |e: usize| {
                let takes = |w: &&mut (Wall, Vec<usize>)| {
                    let more = [&w.1[..], &[e]].concat();
                    self.alone(e).contains(&w.0) && self.outlook.safe(&more, w.0, self.duration)
                };
                others.iter_mut().find(takes).map(|w| w.1.push(e)).is_some()
            };
            if engines.into_iter().all(&mut placed) {
                windows = others;
            } else {
                at += 1;
            }
        }
        (windows, left)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::cover::{Engine, Placement, Spare, Terms};
    use crate::profile::{self, WEEK};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const MINUTE: Micros = 60_000_000;
    const NOW: Wall = 101 * WEEK;

    /// A profile that is sure of the first quarter hours of the week, with what each cell needs in them.
    fn profile(needs: &[Vec<(Cell, f64)>]) -> Profile {
        let mut p = Profile::new(profile::Terms { samples: 1, weeks: 1, of: 1, ..Default::default() });
        for (q, needs) in needs.iter().enumerate() {
            p.sample(100 * WEEK + q as u64 * QUARTER, needs);
        }
        p.sample(100 * WEEK + needs.len() as u64 * QUARTER, &[]);
        p
    }

    fn cover(engines: &[(u16, u8)], spare: Spare) -> Cover {
        let engine = |(n, &(site, groups)): (usize, &(u16, u8))| {
            let groups = Some((0..2).filter(|g| groups >> g & 1 == 1).collect());
            Engine { name: format!("e{n}"), kind: 0, zone: 0, site, groups, cores: 10.0 }
        };
        let terms = Terms { fill: 0.8, spare, cold: 0.25, warm: 10 * MINUTE };
        let engines = engines.iter().enumerate().map(engine).collect();
        Cover::new(engines, BTreeMap::from([(1, Placement::default())]), terms).unwrap()
    }

    fn cell(class: u16, group: Option<u64>) -> Cell {
        Cell { class, group, kind: None, zone: None, site: None }
    }

    /// Judged one by one, without any of the short cuts.
    fn plainly(o: &Outlook<'_>, engines: &[usize], start: Wall, duration: Micros) -> bool {
        let (away, end) = (o.margins.away(start, start + duration), start + duration + o.margins.slack);
        (0..QUARTERS as u64 + 99).all(|q| {
            let (from, to) = ((o.base + q) * QUARTER, (o.base + q + 1) * QUARTER);
            let part = match (from < away.1 && away.0 < to, from < end + o.cover.terms().warm && end < to) {
                (true, _) => Part::Away,
                (false, true) => Part::Cold,
                (false, false) => return true,
            };
            let known = q < QUARTERS as u64 && o.unsure[q as usize].is_none();
            let parts = o.parts(engines, part);
            known && o.cover.covers(&o.shape, &o.demand[q as usize], &parts).is_ok()
        }) && away.0 >= o.base * QUARTER
    }

    #[test]
    fn a_class_bound_to_one_engine_has_no_window_and_is_named() {
        let cover = cover(&[(0, 1), (0, 0), (0, 0), (0, 0)], Spare::Engine);
        let bound = cell(1, Some(0));
        let p = profile(&vec![vec![(bound, 1.0)]; 40]);
        let o = Outlook::new(&cover, &p, &[], Margins { slack: 0, lead: 0 }, NOW);
        let found = o.find(&[2], 30 * MINUTE);
        let lost = Some(Lost::Engine("e0".into()));
        let why = Why::Uncovered(Uncovered { cell: bound, lost });
        assert!(found.starts.is_empty() && found.refused[0].2 == why, "{found:?}");
        let schedule = o.schedule(&[0, 1, 2, 3], 30 * MINUTE);
        assert!(schedule.windows.is_empty() && schedule.left.len() == 4, "{schedule:?}");
    }

    #[test]
    fn what_is_not_sure_is_no_window() {
        let cover = cover(&[(0, 3); 4], Spare::Engine);
        let p = profile(&vec![vec![(cell(1, None), 1.0)]; 8]);
        let o = Outlook::new(&cover, &p, &[], Margins { slack: 0, lead: 0 }, NOW);
        // Away for two quarter hours, cold for one, within the eight that were seen.
        assert_eq!(o.find(&[0], 30 * MINUTE).starts, (0..6).map(|q| NOW + q * QUARTER).collect::<Vec<_>>());
        let named = [cell(2, None)];
        let o = Outlook::new(&cover, &p, &named, Margins { slack: 0, lead: 0 }, NOW);
        let found = o.find(&[0], 30 * MINUTE);
        assert_eq!(found.refused[0].2, Why::Unsure(cell(2, None), Unsure::New));
        assert!(found.starts.is_empty());
        let nothing = Profile::new(profile::Terms::default());
        let o = Outlook::new(&cover, &nothing, &named, Margins { slack: 0, lead: 0 }, NOW);
        assert_eq!(o.find(&[0], 30 * MINUTE).refused[0].2, Why::Unsure(cell(2, None), Unsure::Empty));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
        /// Against an exhaustive search: the same windows, and a schedule that is never unsafe and at most one window longer.
        #[test]
        fn windows_are_those_of_an_exhaustive_search(
            engines in proptest::collection::vec((0u16..3, 0u8..4), 3..7),
            needs in proptest::collection::vec((0.0f64..14.0, 0.0f64..9.0, 0.0f64..5.0), 10..24),
            (slack, lead) in (0u64..6, 0u64..6),
            some in 1usize..64,
            site in any::<bool>(),
        ) {
            let spare = if site { Spare::Site } else { Spare::Engine };
            let (cover, minutes) = (cover(&engines, spare), 25 * MINUTE);
            let needs: Vec<Vec<(Cell, f64)>> = needs.iter().map(|n| {
                vec![(cell(1, None), n.0), (cell(1, Some(0)), n.1), (cell(2, Some(1)), n.2)]
            }).collect();
            let p = profile(&needs);
            let margins = Margins { slack: slack * MINUTE, lead: lead * MINUTE };
            let o = Outlook::new(&cover, &p, &[], margins, NOW);
            let all: Vec<usize> = (0..engines.len()).collect();
            let starts: Vec<Wall> = (0..needs.len() as u64).map(|q| NOW + q * QUARTER).collect();
            let of = |set: usize| all.iter().copied().filter(|e| set >> e & 1 == 1).collect::<Vec<_>>();
            let some = of(some % (1 << engines.len()));
            let safe: Vec<Wall> =
                starts.iter().copied().filter(|&s| plainly(&o, &some, s, minutes)).collect();
            prop_assert_eq!(&o.find(&some, minutes).starts, &safe);

            // The fewest windows that take each engine that can be taken: by start and by who was taken already.
            let schedule = o.schedule(&all, minutes);
            let sets: Vec<Vec<usize>> = starts.iter().map(|&s| {
                (1..1usize << all.len()).filter(|&set| plainly(&o, &of(set), s, minutes)).collect()
            }).collect();
            let mut fewest: Vec<BTreeMap<usize, usize>> = vec![BTreeMap::new(); starts.len() + 99];
            fewest[0].insert(0, 0);
            let warm = minutes + cover.terms().warm + 2 * margins.slack + margins.lead;
            let next = warm.div_ceil(QUARTER) as usize;
            for q in 0..starts.len() {
                for (taken, count) in fewest[q].clone() {
                    let mut put = |at: usize, set, count: usize| {
                        let entry = fewest[at].entry(set).or_insert(usize::MAX);
                        *entry = count.min(*entry);
                    };
                    put(q + 1, taken, count);
                    sets[q].iter().for_each(|set| put(q + next, taken | set, count + 1));
                }
            }
            let ends = fewest[starts.len()..].iter().flatten().map(|(set, count)| (set.count_ones(), *count));
            let (most, least) = ends.fold((0, 0), |best, (size, count)| {
                if size > best.0 || size == best.0 && count < best.1 { (size, count) } else { best }
            });
            let mut taken: Vec<String> = schedule.windows.iter().flat_map(|w| w.engines.clone()).collect();
            for (n, w) in schedule.windows.iter().enumerate() {
                let engines: Vec<usize> = w.engines.iter().map(|e| cover.place(e).unwrap()).collect();
                prop_assert!(plainly(&o, &engines, w.from, minutes), "{:?}", w);
                let after = schedule.windows.get(n + 1);
                prop_assert!(after.is_none_or(|a| a.from >= w.from + warm), "{:?}", schedule);
            }
            let count = taken.len();
            taken.sort();
            taken.dedup();
            prop_assert_eq!((taken.len(), count + schedule.left.len()), (count, all.len()), "once each");
            if std::env::var_os("WINDOWS_QUALITY").is_some() {
                eprintln!("quality {} {least} {count} {most}", schedule.windows.len());
            }
            if count == most as usize {
                prop_assert!(schedule.windows.len() <= least + 1, "{} for {least}", schedule.windows.len());
            } else {
                prop_assert!(count + 1 >= most as usize, "{count} of {most} engines");
            }
        }
    }
}
