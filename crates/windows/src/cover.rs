//! Whether engines that remain cover what cells need: less one more failure (or one more site), filled no further than answers
//! bear, and with those that come back counted as the part of an engine that they are while cold.
//!
//! The measure is the projection of `violetward_site::plan`: work flows from cells to rooms. What is asked here many thousand
//! times is only whether all of it fits, so rooms are bits of a word and one flow is mended for each further failure, not
//! worked out anew.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use violetward_site::plan;

use crate::{Cell, Micros};

/// Engines that differ in nothing share a room; so many rooms a fleet has at most.
pub const ROOMS: usize = 64;
/// Engines at most.
pub const ENGINES: usize = 4_096;

/// An engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// Its kind, its zone and its site, by number as in cells.
    pub kind: u16,
    /// See `kind`.
    pub zone: u16,
    /// See `kind`.
    pub site: u16,
    /// The groups of tables of which it has a copy; `None`: it reads all.
    pub groups: Option<BTreeSet<u64>>,
    /// Its cores.
    pub cores: f64,
}

/// Where requests of a class may run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Placement {
    /// Kinds, zones and sites; `None`: any.
    pub kinds: Option<BTreeSet<u16>>,
    /// See `kinds`.
    pub zones: Option<BTreeSet<u16>>,
    /// See `kinds`.
    pub sites: Option<BTreeSet<u16>>,
    /// They stay at the site of their clients.
    pub bound: bool,
    /// What a core second of it is worth: what is worth least is named first where not all fits.
    pub worth: f64,
}

/// What may fail beside what is taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spare {
    /// Nothing.
    Nothing,
    /// Any one engine.
    Engine,
    /// All engines of any one site.
    Site,
}

/// The settings of a cover.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Part of the cores that can be filled before answers come too late.
    pub fill: f64,
    /// What may fail as well.
    pub spare: Spare,
    /// Part of an engine's cores that it serves while it is cold.
    pub cold: f64,
    /// How long an engine that comes back is cold.
    pub warm: Micros,
}

/// How an engine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// It serves.
    Up,
    /// It has come back and is cold.
    Cold,
    /// It is taken away, or has failed.
    Away,
}

/// What fails as well.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lost {
    /// An engine.
    Engine(String),
    /// A site.
    Site(u16),
}

/// A cell that is not covered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Uncovered {
    /// The cell.
    pub cell: Cell,
    /// The further failure that would leave it so; `None`: it needs none.
    pub lost: Option<Lost>,
}

impl fmt::Display for Uncovered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Shown(&self.cell))?;
        match &self.lost {
            None => f.write_str(" is not covered by what remains"),
            Some(Lost::Engine(e)) => write!(f, " would not be covered if {e} failed as well"),
            Some(Lost::Site(s)) => write!(f, " would not be covered if site {s} failed as well"),
        }
    }
}

/// A cell, for people.
pub struct Shown<'a>(pub &'a Cell);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = self.0;
        write!(f, "class {}", c.class)?;
        c.group.map_or(Ok(()), |g| write!(f, " of group {g}"))?;
        c.kind.map_or(Ok(()), |k| write!(f, " on kind {k}"))?;
        c.zone.map_or(Ok(()), |z| write!(f, " in zone {z}"))?;
        c.site.map_or(Ok(()), |s| write!(f, " for site {s}"))
    }
}

/// Why a fleet cannot be judged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Unfit {
    /// Its engines differ in more ways than there are rooms.
    Rooms,
    /// It has too many engines.
    Engines,
    /// A name stands twice.
    Twice(String),
    /// The cores of an engine, or a part, are no number, or out of bounds.
    Number(String),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Rooms => write!(f, "engines differ in over {ROOMS} ways"),
            Unfit::Engines => write!(f, "there are over {ENGINES} engines"),
            Unfit::Twice(name) => write!(f, "engine {name} stands twice"),
            Unfit::Number(what) => write!(f, "{what} is out of bounds"),
        }
    }
}

impl std::error::Error for Unfit {}

#[derive(Debug, Clone)]
struct Room {
    first: usize,
    site: u16,
}

/// A fleet and how it is judged. See the module's documentation.
#[derive(Debug, Clone)]
pub struct Cover {
    engines: Vec<Engine>,
    placements: BTreeMap<u16, Placement>,
    terms: Terms,
    rooms: Vec<Room>,
    /// The room of each engine.
    room_of: Vec<usize>,
    names: BTreeMap<String, usize>,
}

/// Cells in the form in which they are judged: those that may run in the same rooms as one.
#[derive(Debug, Clone)]
pub struct Shape {
    cells: Vec<Cell>,
    masks: Vec<u64>,
    /// The mask of each cell, by place.
    of: Vec<usize>,
}

impl Shape {
    /// Its cells.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// How many kinds of cells there are, by the rooms that they may run in.
    pub fn len(&self) -> usize {
        self.masks.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.masks.is_empty()
    }

    /// Sums what cells need, in their order.
    pub fn sum(&self, demand: &[f64]) -> Vec<f64> {
        let mut work = vec![0.0; self.masks.len()];
        self.of.iter().zip(demand).for_each(|(&mask, d)| work[mask] += d);
        work
    }
}

/// What further failures leave, and which they are.
struct Losses {
    room: Vec<f64>,
    lost: Vec<(Lost, Vec<(usize, f64)>)>,
}

impl Cover {
    /// A fleet.
    ///
    /// # Errors
    /// Why it cannot be judged.
    pub fn new(
        engines: Vec<Engine>,
        placements: BTreeMap<u16, Placement>,
        terms: Terms,
    ) -> Result<Cover, Unfit> {
        let part = |what: &str, p: f64| match (0.0..=1.0).contains(&p) {
            true => Ok(()),
            false => Err(Unfit::Number(what.to_owned())),
        };
        part("fill", terms.fill)?;
        part("the part that a cold engine serves", terms.cold)?;
        if engines.len() > ENGINES {
            return Err(Unfit::Engines);
        }
        let (mut rooms, mut room_of, mut names) = (Vec::<Room>::new(), Vec::new(), BTreeMap::new());
        for (n, e) in engines.iter().enumerate() {
            if !(e.cores.is_finite() && e.cores >= 0.0) {
                return Err(Unfit::Number(format!("the number of cores of {}", e.name)));
            }
            if names.insert(e.name.clone(), n).is_some() {
                return Err(Unfit::Twice(e.name.clone()));
            }
            let alike = |r: &Room| {
                let o = &engines[r.first];
                (o.kind, o.zone, o.site, &o.groups, o.cores) == (e.kind, e.zone, e.site, &e.groups, e.cores)
            };
            let room = rooms.iter().position(alike).unwrap_or(rooms.len());
            if room == rooms.len() {
                rooms.push(Room { first: n, site: e.site });
            }
            room_of.push(room);
        }
        if rooms.len() > ROOMS {
            return Err(Unfit::Rooms);
        }
        Ok(Cover { engines, placements, terms, rooms, room_of, names })
    }

    /// The engines, by place.
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// The settings.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// The place of an engine.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// All engines up.
    pub fn all_up(&self) -> Vec<Part> {
        vec![Part::Up; self.engines.len()]
    }

    /// Engines that differ in nothing: the number of an engine's room.
    pub(crate) fn room(&self, engine: usize) -> usize {
        self.room_of[engine]
    }

    /// Whether a cell's requests may run on an engine.
    pub fn may(&self, cell: &Cell, e: &Engine) -> bool {
        let none = Placement::default();
        let p = self.placements.get(&cell.class).unwrap_or(&none);
        let within = |set: &Option<BTreeSet<u16>>, n| set.as_ref().is_none_or(|s| s.contains(&n));
        cell.kind.is_none_or(|k| k == e.kind)
            && cell.zone.is_none_or(|z| z == e.zone)
            && cell.group.is_none_or(|g| e.groups.as_ref().is_none_or(|all| all.contains(&g)))
            && (!p.bound || cell.site.is_none_or(|s| s == e.site))
            && within(&p.kinds, e.kind)
            && within(&p.zones, e.zone)
            && within(&p.sites, e.site)
    }

    /// Cells as they are judged here, those that are worth more for their work in front.
    pub fn shape(&self, cells: impl IntoIterator<Item = Cell>) -> Shape {
        let mut cells: Vec<Cell> = cells.into_iter().collect();
        cells.sort();
        cells.dedup();
        let worth = |c: &Cell| self.placements.get(&c.class).map_or(0.0, |p| p.worth);
        cells.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
        let (mut masks, mut of) = (Vec::new(), Vec::new());
        for cell in &cells {
            let open = |r: &Room| self.may(cell, &self.engines[r.first]);
            let mask = self.rooms.iter().enumerate().fold(0u64, |m, (n, r)| m | u64::from(open(r)) << n);
            let place = masks.iter().position(|&m| m == mask).unwrap_or(masks.len());
            if place == masks.len() {
                masks.push(mask);
            }
            of.push(place);
        }
        Shape { cells, masks, of }
    }

    fn losses(&self, parts: &[Part]) -> Losses {
        let mut room = vec![0.0; self.rooms.len()];
        // Of engines that differ in nothing, losing the one that serves most is the worst.
        let mut most: Vec<Option<(f64, usize)>> = vec![None; self.rooms.len()];
        for (n, (e, part)) in self.engines.iter().zip(parts).enumerate() {
            let whole = e.cores * self.terms.fill;
            let serves = match part {
                Part::Up => whole,
                Part::Cold => whole * self.terms.cold,
                Part::Away => continue,
            };
            let r = self.room_of[n];
            room[r] += serves;
            if most[r].is_none_or(|(s, _)| serves > s) {
                most[r] = Some((serves, n));
            }
        }
        let engine = |(r, m): (usize, &Option<(f64, usize)>)| {
            m.map(|(serves, n)| (Lost::Engine(self.engines[n].name.clone()), vec![(r, serves)]))
        };
        let site = |site: u16| {
            let its = (0..room.len()).filter(|&r| self.rooms[r].site == site && most[r].is_some());
            (Lost::Site(site), its.map(|r| (r, room[r])).collect())
        };
        let sites: BTreeSet<u16> = self.rooms.iter().map(|r| r.site).collect();
        let lost = match self.terms.spare {
            Spare::Nothing => Vec::new(),
            Spare::Engine => most.iter().enumerate().filter_map(engine).collect(),
            Spare::Site => sites.into_iter().map(site).collect(),
        };
        Losses { room, lost }
    }

    /// Whether engines, standing as they do, cover that much work of each kind of cells, and which further failure they do not
    /// bear if they do not.
    pub(crate) fn bears(&self, shape: &Shape, work: &[f64], parts: &[Part]) -> Result<(), Option<Lost>> {
        let losses = self.losses(parts);
        let mut left = self.left(parts);
        let mut flow = Flow::new(&shape.masks, losses.room.clone());
        if !flow.all(work, &left) {
            return Err(None);
        }
        for (lost, rooms) in &losses.lost {
            let kept = left.clone();
            for (r, _) in rooms {
                left[*r] -= if matches!(lost, Lost::Site(_)) { left[*r] } else { 1 };
            }
            let mut less = flow.clone();
            rooms.iter().for_each(|&(r, serves)| less.narrow(r, serves));
            if !less.all(work, &left) {
                return Err(Some(lost.clone()));
            }
            left = kept;
        }
        Ok(())
    }

    /// Engines that are not away, by room.
    fn left(&self, parts: &[Part]) -> Vec<usize> {
        let mut left = vec![0; self.rooms.len()];
        let there = parts.iter().zip(&self.room_of).filter(|(p, _)| **p != Part::Away);
        there.for_each(|(_, &r)| left[r] += 1);
        left
    }

    /// Whether engines, standing as they do, cover what each cell needs (core seconds a second, in the shape's order).
    ///
    /// # Errors
    /// The cell that they do not cover: of those the first that would be refused.
    pub fn covers(&self, shape: &Shape, demand: &[f64], parts: &[Part]) -> Result<(), Uncovered> {
        match self.bears(shape, &shape.sum(demand), parts) {
            Ok(()) => Ok(()),
            Err(lost) => Err(self.name(shape, demand, parts, lost)),
        }
    }

    /// The cell that is not covered once that is lost.
    pub(crate) fn name(
        &self,
        shape: &Shape,
        demand: &[f64],
        parts: &[Part],
        lost: Option<Lost>,
    ) -> Uncovered {
        let mut parts = parts.to_vec();
        let gone = |e: &Engine| match &lost {
            None => false,
            Some(Lost::Engine(name)) => e.name == *name,
            Some(Lost::Site(site)) => e.site == *site,
        };
        self.engines.iter().zip(&mut parts).filter(|(e, _)| gone(e)).for_each(|(_, p)| *p = Part::Away);
        let left = self.left(&parts);
        let masks: Vec<u64> = shape.of.iter().map(|&m| shape.masks[m]).collect();
        let mut flow = Flow::new(&masks, self.losses(&parts).room);
        let first = (0..masks.len()).find(|&c| !here(masks[c], &left) || !flow.add(c, demand[c]));
        Uncovered { cell: shape.cells[first.unwrap_or(0)], lost }
    }

    /// What would be kept of each cell, and what refused in which order, as the plan for a lost site tells it.
    pub fn forecast(&self, shape: &Shape, demand: &[f64], parts: &[Part]) -> plan::Forecast {
        let room = self.losses(parts).room;
        let there =
            |place: usize| Some((0..room.len()).filter(|r| shape.masks[place] >> r & 1 == 1).collect());
        let class = |(c, &place): (&Cell, &usize)| plan::Class {
            name: Shown(c).to_string(),
            worth: self.placements.get(&c.class).map_or(0.0, |p| p.worth),
            work: 1.0,
            threads: 1.0,
            memory_mb: 0.0,
            kinds: there(place),
            sites: None,
            bound: false,
        };
        let kind = |(r, &cores): (usize, &f64)| plan::Kind { name: r.to_string(), cores, memory_mb: 0.0 };
        let fleet = plan::Fleet {
            sites: vec![(String::new(), 1)],
            kinds: room.iter().enumerate().map(kind).collect(),
            rooms: (0..room.len()).map(|kind| plan::Room { site: 0, kind, engines: 1 }).collect(),
            classes: shape.cells.iter().zip(&shape.of).map(class).collect(),
            demand: demand.iter().enumerate().map(|(c, &d)| (0, c, d)).collect(),
            fill: 1.0,
        };
        fleet.without(None)
    }
}

/// Whether any engine is left in rooms.
fn here(mask: u64, left: &[usize]) -> bool {
    left.iter().enumerate().any(|(r, &n)| n > 0 && mask >> r & 1 == 1)
}

/// Work that fits nowhere because of rounding alone is none, core seconds a second.
const NOTHING: f64 = 1e-6;

/// Work of cells in rooms; what was let in may move.
#[derive(Clone)]
struct Flow<'a> {
    masks: &'a [u64],
    room: Vec<f64>,
    /// How much of each kind of cells is where.
    work: Vec<f64>,
}

impl<'a> Flow<'a> {
    fn new(masks: &'a [u64], room: Vec<f64>) -> Flow<'a> {
        let work = vec![0.0; masks.len() * room.len()];
        Flow { masks, room, work }
    }

    /// A room loses some of its cores: what was in them has to go elsewhere.
    fn narrow(&mut self, room: usize, by: f64) {
        self.room[room] -= by;
        let rooms = self.room.len();
        for mask in 0..self.masks.len() {
            let over = -self.room[room];
            if over <= 0.0 {
                break;
            }
            let out = self.work[mask * rooms + room].min(over);
            self.work[mask * rooms + room] -= out;
            self.room[room] += out;
        }
        self.room[room] = self.room[room].max(0.0);
    }

    /// Whether all of that work fits, and each kind of cells has an engine left however little it needs.
    fn all(&mut self, work: &[f64], left: &[usize]) -> bool {
        self.masks.iter().all(|&m| here(m, left)) && (0..work.len()).all(|c| self.add(c, work[c]))
    }

    /// Lets in what a kind of cells still lacks of its work; whether all of it fits.
    fn add(&mut self, own: usize, work: f64) -> bool {
        let rooms = self.room.len();
        let mut lacks = work - self.work[own * rooms..(own + 1) * rooms].iter().sum::<f64>();
        // First where there is space, the most of it in front.
        while lacks > NOTHING {
            let open = (0..rooms).filter(|r| self.masks[own] >> r & 1 == 1 && self.room[*r] > NOTHING);
            let Some(r) = open.max_by(|a, b| self.room[*a].total_cmp(&self.room[*b])) else { break };
            let step = self.room[r].min(lacks);
            self.room[r] -= step;
            self.work[own * rooms + r] += step;
            lacks -= step;
        }
        while lacks > NOTHING {
            let Some(path) = self.path(own) else { return false };
            let last = path[path.len() - 1].1;
            let moved = path.windows(2).map(|p| self.work[p[1].0 * rooms + p[0].1]);
            let step = moved.fold(self.room[last].min(lacks), f64::min);
            for (i, &(class, room)) in path.iter().enumerate() {
                self.work[class * rooms + room] += step;
                if let Some(&(next, _)) = path.get(i + 1) {
                    self.work[next * rooms + room] -= step;
                }
            }
            self.room[last] -= step;
            lacks -= step;
        }
        true
    }

    /// The shortest way to a room with space, over rooms that others can be moved out of: pairs of a kind of cells and the room
    /// that it goes to.
    fn path(&self, own: usize) -> Option<Vec<(usize, usize)>> {
        let rooms = self.room.len();
        let mut before: [(usize, usize); ROOMS] = [(usize::MAX, usize::MAX); ROOMS];
        let (mut reached, mut seen) = (0u64, vec![false; self.masks.len()]);
        let mut next = std::collections::VecDeque::from([(own, usize::MAX)]);
        seen[own] = true;
        while let Some((class, via)) = next.pop_front() {
            let mut open = self.masks[class] & !reached;
            reached |= open;
            while open != 0 {
                let room = open.trailing_zeros() as usize;
                open &= open - 1;
                before[room] = (class, via);
                if self.room[room] > NOTHING {
                    let (mut path, mut at) = (Vec::new(), room);
                    while at != usize::MAX {
                        path.push((before[at].0, at));
                        at = before[at].1;
                    }
                    path.reverse();
                    return Some(path);
                }
                for (other, seen) in seen.iter_mut().enumerate().filter(|s| !*s.1) {
                    if self.work[other * rooms + room] > NOTHING {
                        *seen = true;
                        next.push_back((other, room));
                    }
                }
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn engine(name: usize, site: u16, groups: Option<&[u64]>) -> Engine {
        let groups = groups.map(|g| g.iter().copied().collect());
        Engine { name: format!("e{name}"), kind: site % 2, zone: 0, site, groups, cores: 10.0 }
    }

    fn cell(class: u16, group: Option<u64>) -> Cell {
        Cell { class, group, kind: None, zone: None, site: None }
    }

    fn terms(spare: Spare) -> Terms {
        Terms { fill: 0.8, spare, cold: 0.25, warm: 600_000_000 }
    }

    fn verdict(
        cover: &Cover,
        cells: &[(Cell, f64)],
        away: &[usize],
        cold: &[usize],
    ) -> Result<(), Uncovered> {
        let shape = cover.shape(cells.iter().map(|c| c.0));
        let demand: Vec<f64> =
            shape.cells().iter().map(|c| cells.iter().find(|d| d.0 == *c).unwrap().1).collect();
        let mut parts = cover.all_up();
        away.iter().for_each(|&n| parts[n] = Part::Away);
        cold.iter().for_each(|&n| parts[n] = Part::Cold);
        cover.covers(&shape, &demand, &parts)
    }

    #[test]
    fn the_cell_and_the_engine_that_prevent_it_are_named() {
        // Group 7 has copies at e0 and e1, group 8 at e0 alone.
        let copies: [&[u64]; 4] = [&[7, 8], &[7], &[], &[]];
        let engines: Vec<Engine> = (0..4).map(|n| engine(n, n as u16 / 2, Some(copies[n]))).collect();
        let cover = |spare| Cover::new(engines.clone(), BTreeMap::new(), terms(spare)).unwrap();
        let one = cover(Spare::Engine);
        let (seven, eight, any) = (cell(1, Some(7)), cell(1, Some(8)), cell(2, None));
        assert_eq!(verdict(&one, &[(seven, 1.0), (any, 1.0)], &[2], &[]), Ok(()));
        let lost = |e: &str| Some(Lost::Engine(e.into()));
        assert_eq!(
            verdict(&one, &[(seven, 1.0), (any, 1.0)], &[0], &[]),
            Err(Uncovered { cell: seven, lost: lost("e1") })
        );
        // One copy is no cover for one more failure, whatever is taken away; needing nothing changes nothing about that.
        let only = verdict(&one, &[(eight, 0.0), (any, 1.0)], &[3], &[]);
        assert_eq!(only, Err(Uncovered { cell: eight, lost: lost("e0") }));
        assert_eq!(verdict(&cover(Spare::Nothing), &[(eight, 0.0)], &[3], &[]), Ok(()));
        assert_eq!(
            verdict(&cover(Spare::Nothing), &[(eight, 0.0)], &[0], &[]),
            Err(Uncovered { cell: eight, lost: None })
        );
        // All copies are at one site.
        let site = verdict(&cover(Spare::Site), &[(seven, 1.0)], &[], &[]);
        assert_eq!(site, Err(Uncovered { cell: seven, lost: Some(Lost::Site(0)) }));
        // 8 of 10 cores can be filled; one away and one lost leave 16, and a cold one counts a quarter.
        assert_eq!(verdict(&one, &[(any, 15.9)], &[2], &[]), Ok(()));
        assert!(verdict(&one, &[(any, 16.1)], &[2], &[]).is_err());
        assert_eq!(verdict(&one, &[(any, 9.9)], &[2], &[3]), Ok(()));
        assert!(verdict(&one, &[(any, 10.1)], &[2], &[3]).is_err());
    }

    #[test]
    fn a_fleet_that_cannot_be_judged_is_told() {
        let new = |engines| Cover::new(engines, BTreeMap::new(), terms(Spare::Engine)).map(|_| ());
        assert_eq!(new(vec![engine(1, 0, None); 2]), Err(Unfit::Twice("e1".into())));
        assert_eq!(new((0..65).map(|n| engine(n, n as u16, None)).collect()), Err(Unfit::Rooms));
        let odd = Engine { cores: f64::NAN, ..engine(1, 0, None) };
        assert!(matches!(new(vec![odd]), Err(Unfit::Number(_))));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
        /// What the quick flow says of every further failure is what the plan for a lost site says.
        #[test]
        fn the_verdict_is_that_of_the_plan(
            copies in proptest::collection::vec((0u8..16, 0u16..3, 0u8..3), 2..8),
            cells in proptest::collection::vec((0u16..4, proptest::option::of(0u64..4), 0.0f64..14.0), 1..7),
            site in any::<bool>(),
        ) {
            let part = [Part::Up, Part::Cold, Part::Away];
            let engines: Vec<Engine> = copies.iter().enumerate().map(|(n, &(groups, site, _))| {
                let held: Vec<u64> = (0..4).filter(|g| groups >> g & 1 == 1).collect();
                engine(n, site, Some(&held))
            }).collect();
            let placements = BTreeMap::from([
                (1, Placement { kinds: Some(BTreeSet::from([0])), worth: 3.0, ..Placement::default() }),
                (2, Placement { worth: 2.0, ..Placement::default() }),
            ]);
            let spare = if site { Spare::Site } else { Spare::Engine };
            let cover = Cover::new(engines, placements, terms(spare)).unwrap();
            let parts: Vec<Part> = copies.iter().map(|c| part[usize::from(c.2)]).collect();
            let shape = cover.shape(cells.iter().map(|c| cell(c.0, c.1)));
            let demand: Vec<f64> = shape.cells().iter().map(|c| {
                cells.iter().filter(|d| cell(d.0, d.1) == *c).map(|d| d.2).sum()
            }).collect();
            let fits = |parts: &[Part]| {
                let there = |c: &Cell| cover.engines().iter().zip(parts)
                    .any(|(e, p)| *p != Part::Away && cover.may(c, e));
                let kept = cover.forecast(&shape, &demand, parts).lines;
                shape.cells().iter().all(there) && kept.iter().all(|l| l.kept > l.asked - 1e-4)
            };
            let without = |gone: &dyn Fn(&Engine) -> bool| {
                let part = |(e, p): (&Engine, &Part)| if gone(e) { Part::Away } else { *p };
                fits(&cover.engines().iter().zip(&parts).map(part).collect::<Vec<_>>())
            };
            let all = fits(&parts) && match site {
                true => (0..3).all(|s| without(&|e| e.site == s)),
                false => (0..parts.len()).all(|n| without(&|e| e.name == format!("e{n}"))),
            };
            prop_assert_eq!(cover.covers(&shape, &demand, &parts).is_ok(), all);
        }
    }
}
