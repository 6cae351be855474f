//! Demand of each cell by quarter hour of the week (UTC): mean and deviation, learned from samples and forgotten slowly. What
//! was not seen often enough is told as unsure, with its reason: an empty quarter hour is not a quiet one.

use std::collections::BTreeMap;
use std::fmt;

use crate::{Cell, Wall};

/// The quarter hours of a week.
pub const QUARTERS: usize = 672;
/// One of them.
pub const QUARTER: Wall = 900_000_000;
/// A week.
pub const WEEK: Wall = QUARTERS as Wall * QUARTER;
/// Cells that a profile holds at most: as many as fit into one value of a store.
pub const CELLS: usize = 400;
/// Weeks of which a quarter hour remembers whether it was seen.
const SEEN: u32 = 16;
/// The first octets of the stored form: the name and the version of its format.
const FORMAT: &[u8; 4] = b"vwp1";

/// How a profile learns, and when it is sure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Samples that a quarter hour needs to count as seen.
    pub samples: u32,
    /// It is sure once it was seen in so many ...
    pub weeks: u32,
    /// ... of the last so many weeks, the last one among them; at most 16.
    pub of: u32,
    /// What the newest week weighs at least: the part of what came before that is forgotten each week.
    pub newest: f64,
    /// Deviations that are added to the mean: what is projected.
    pub deviations: f64,
    /// A week that is off its quarter hour's mean by more than this part of it, and by more than those deviations, is odd: a
    /// holiday, or a change that is not known to last.
    pub odd: f64,
    /// A cell that no sample has named leaves after as many quarter hours that were seen as so many weeks have.
    pub forget: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { samples: 3, weeks: 3, of: 4, newest: 0.25, deviations: 3.0, odd: 0.5, forget: 26 }
    }
}

/// Why a quarter hour of a cell is not sure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unsure {
    /// Nothing at all has been learned.
    Empty,
    /// The cell is too young.
    New,
    /// Too few of the last weeks were seen at that time of the week, or the last one was not.
    Hole,
    /// The last week was far off the ones before it.
    Odd,
    /// More cells were asked for than a profile holds: what some of them need is not known.
    Crowded,
}

impl fmt::Display for Unsure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unsure::Empty => "nothing has been learned yet",
            Unsure::New => "the cell is too young",
            Unsure::Hole => "too few of the last weeks were seen at that time",
            Unsure::Odd => "the last week was far off the ones before",
            Unsure::Crowded => "there are more cells than a profile holds",
        })
    }
}

/// What is projected for a cell at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Projected {
    /// Core seconds a second.
    pub demand: f64,
    /// Why this is not sure, if it is not.
    pub unsure: Option<Unsure>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Bucket {
    mean: f32,
    variance: f32,
    /// The weeks in which it was seen, the last one in the lowest bit.
    seen: u16,
    /// That week, counted from the epoch.
    week: u16,
    odd: bool,
}

impl Bucket {
    fn learn(&mut self, terms: &Terms, week: u16, mean: f64, variance: f64) {
        // A clock that was set back for longer than a week: what was learned by it says nothing.
        if self.seen == 0 || week.saturating_add(1) < self.week {
            *self = Bucket { mean: mean as f32, variance: variance as f32, seen: 1, week, odd: false };
            return;
        }
        if week <= self.week {
            return;
        }
        let shift = u32::from(week - self.week);
        self.seen = if shift < SEEN { self.seen << shift | 1 } else { 1 };
        self.week = week;
        let before = f64::from(self.variance);
        let off = mean - f64::from(self.mean);
        let far = off.abs() > terms.odd * f64::from(self.mean).max(mean);
        self.odd = far && off.abs() > terms.deviations * before.sqrt();
        let newest = terms.newest.max(1.0 / f64::from(self.seen.count_ones()));
        self.mean += (newest * off) as f32;
        self.variance = ((1.0 - newest) * (before + newest * off * off) + newest * variance).min(1e30) as f32;
    }

    fn unsure(&self, terms: &Terms, week: u64, first: u64) -> Option<Unsure> {
        let seen = (self.seen & (((1u32 << terms.of.min(SEEN)) - 1) as u16)).count_ones();
        // Of a time to come the last week is the one before it.
        let behind = week.saturating_sub(u64::from(self.week));
        if self.seen > 0 && behind <= 1 && seen >= terms.weeks {
            return self.odd.then_some(Unsure::Odd);
        }
        let young = first + u64::from(terms.weeks) >= week;
        Some(if young { Unsure::New } else { Unsure::Hole })
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Learned {
    /// The first week, and the quarter hours that were seen since it was last named.
    first: u64,
    idle: u64,
    buckets: Vec<Bucket>,
}

/// The quarter hour that is being sampled.
#[derive(Debug, Clone, Default, PartialEq)]
struct Open {
    quarter: u64,
    samples: u32,
    /// Sums of demand and of its square.
    sums: BTreeMap<Cell, (f64, f64)>,
}

/// A profile of demand. See the module's documentation.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    terms: Terms,
    cells: BTreeMap<Cell, Learned>,
    open: Open,
    /// The last week in which a cell found no place.
    crowded: Option<u64>,
}

impl Profile {
    /// One that has learned nothing.
    pub fn new(terms: Terms) -> Profile {
        Profile { terms, cells: BTreeMap::new(), open: Open::default(), crowded: None }
    }

    /// The cells that are known.
    pub fn cells(&self) -> impl Iterator<Item = Cell> + '_ {
        self.cells.keys().copied()
    }

    /// A sample of all cells at a time: core seconds a second of each. What is not named was not asked for, and leaves in the end; a time of which
    /// there is no sample was not seen. Gives how many cells found no place.
    pub fn sample(&mut self, at: Wall, demand: &[(Cell, f64)]) -> usize {
        let quarter = at / QUARTER;
        if quarter != self.open.quarter {
            let open = std::mem::take(&mut self.open);
            // A clock that was set back says of the quarter hour in hand only that it was not what it seemed.
            if quarter > open.quarter && open.samples >= self.terms.samples.max(1) {
                self.fold(&open);
            }
            self.open.quarter = quarter;
        }
        self.open.samples = self.open.samples.saturating_add(1);
        let open = self.open.sums.keys().filter(|c| !self.cells.contains_key(c)).count();
        let (mut left_out, mut room) = (0, CELLS.saturating_sub(self.cells.len() + open));
        for &(cell, demand) in demand.iter().filter(|d| d.1.is_finite() && d.1 >= 0.0) {
            if !self.cells.contains_key(&cell) && !self.open.sums.contains_key(&cell) {
                if room == 0 {
                    left_out += 1;
                    continue;
                }
                room -= 1;
            }
            let sums = self.open.sums.entry(cell).or_default();
            *sums = (sums.0 + demand, sums.1 + demand * demand);
        }
        if left_out > 0 {
            self.crowded = Some(at / WEEK);
        }
        left_out
    }

    fn fold(&mut self, open: &Open) {
        let (week, place) = (open.quarter / QUARTERS as u64, (open.quarter % QUARTERS as u64) as usize);
        let Ok(short) = u16::try_from(week) else { return };
        let terms = self.terms;
        for &cell in open.sums.keys() {
            if !self.cells.contains_key(&cell) {
                if self.cells.len() >= CELLS {
                    self.crowded = Some(week);
                    continue;
                }
                let buckets = vec![Bucket::default(); QUARTERS];
                self.cells.insert(cell, Learned { first: week, idle: 0, buckets });
            }
        }
        let samples = f64::from(open.samples);
        for (cell, learned) in &mut self.cells {
            let (sum, squares) = open.sums.get(cell).copied().unwrap_or_default();
            let mean = sum / samples;
            learned.idle = if open.sums.contains_key(cell) { 0 } else { learned.idle + 1 };
            learned.buckets[place].learn(&terms, short, mean, (squares / samples - mean * mean).max(0.0));
        }
        // Not by the calendar: a clock that is set ahead by a year must not empty a profile.
        self.cells.retain(|_, l| l.idle <= u64::from(terms.forget) * QUARTERS as u64);
    }

    /// What a cell is projected to need at a time, of this week or the next.
    pub fn project(&self, cell: &Cell, at: Wall) -> Projected {
        let (week, place) = (at / WEEK, (at / QUARTER % QUARTERS as u64) as usize);
        let crowded = self.crowded.is_some_and(|c| week.saturating_sub(c) <= u64::from(self.terms.of));
        let Some(learned) = self.cells.get(cell) else {
            let unsure = if self.cells.is_empty() { Unsure::Empty } else { Unsure::New };
            return Projected { demand: 0.0, unsure: Some(unsure) };
        };
        let bucket = &learned.buckets[place];
        let unsure = bucket.unsure(&self.terms, week, learned.first);
        let deviation = f64::from(bucket.variance).sqrt();
        Projected {
            demand: f64::from(bucket.mean) + self.terms.deviations * deviation,
            unsure: unsure.or(crowded.then_some(Unsure::Crowded)),
        }
    }

    /// The form in which it is kept. It has no checksum: stores have. The quarter hour that is open is not in it.
    pub fn write(&self) -> Vec<u8> {
        let mut out = FORMAT.to_vec();
        out.extend(self.crowded.map_or(0, |week| week + 1).to_be_bytes());
        out.extend((self.cells.len() as u32).to_be_bytes());
        for (cell, learned) in &self.cells {
            out.extend(cell.class.to_be_bytes());
            let told = [cell.group.is_some(), cell.kind.is_some(), cell.zone.is_some(), cell.site.is_some()];
            out.push(told.iter().fold(0, |bits, &t| bits << 1 | u8::from(t)));
            out.extend(cell.group.unwrap_or(0).to_be_bytes());
            [cell.kind, cell.zone, cell.site].iter().for_each(|p| out.extend(p.unwrap_or(0).to_be_bytes()));
            out.extend(learned.first.to_be_bytes());
            out.extend(learned.idle.to_be_bytes());
            for b in &learned.buckets {
                out.extend(b.mean.to_be_bytes());
                // The sign, which a variance has no need of, tells an odd week.
                out.extend((if b.odd { -b.variance } else { b.variance }).to_be_bytes());
                out.extend(b.seen.to_be_bytes());
                out.extend(b.week.to_be_bytes());
            }
        }
        out
    }

    /// Reads that form.
    ///
    /// # Errors
    /// If it is of another format, cut off, too long, or says what no profile can.
    pub fn read(bytes: &[u8], terms: Terms) -> Result<Profile, Unread> {
        let mut at = bytes.strip_prefix(FORMAT).ok_or(Unread::Format)?;
        let crowded = u64::from_be_bytes(take(&mut at)?);
        let count = u32::from_be_bytes(take(&mut at)?) as usize;
        if count > CELLS {
            return Err(Unread::Bad("it has too many cells"));
        }
        let mut profile = Profile::new(terms);
        profile.crowded = crowded.checked_sub(1);
        for _ in 0..count {
            let class = u16::from_be_bytes(take(&mut at)?);
            let [told] = take(&mut at)?;
            let is = |bit: u8| told >> bit & 1 == 1;
            let group = u64::from_be_bytes(take(&mut at)?);
            let mut place =
                |bit| Ok::<_, Unread>(Some(u16::from_be_bytes(take(&mut at)?)).filter(|_| is(bit)));
            let (kind, zone, site) = (place(2)?, place(1)?, place(0)?);
            let cell = Cell { class, group: Some(group).filter(|_| is(3)), kind, zone, site };
            let (first, idle) = (u64::from_be_bytes(take(&mut at)?), u64::from_be_bytes(take(&mut at)?));
            let mut buckets = Vec::with_capacity(QUARTERS);
            for _ in 0..QUARTERS {
                let (mean, spread) = (f32::from_be_bytes(take(&mut at)?), f32::from_be_bytes(take(&mut at)?));
                if !(mean.is_finite() && spread.is_finite() && mean >= 0.0) {
                    return Err(Unread::Bad("a demand is no number"));
                }
                let (seen, week) = (u16::from_be_bytes(take(&mut at)?), u16::from_be_bytes(take(&mut at)?));
                let odd = spread.is_sign_negative();
                buckets.push(Bucket { mean, variance: spread.abs(), seen, week, odd });
            }
            let after = profile.cells.last_key_value().is_none_or(|(last, _)| *last < cell);
            if told > 15 || !after {
                return Err(Unread::Bad("its cells are not in order"));
            }
            profile.cells.insert(cell, Learned { first, idle, buckets });
        }
        if at.is_empty() {
            Ok(profile)
        } else {
            Err(Unread::Bad("it goes on after its end"))
        }
    }
}

fn take<const N: usize>(at: &mut &[u8]) -> Result<[u8; N], Unread> {
    let (head, rest) = at.split_first_chunk::<N>().ok_or(Unread::Cut)?;
    *at = rest;
    Ok(*head)
}

/// Why a stored profile cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is something else, or of another version of the format.
    Format,
    /// It is cut off.
    Cut,
    /// It says what no profile can.
    Bad(&'static str),
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unread::Format => f.write_str("it is no profile of this format"),
            Unread::Cut => f.write_str("the profile is cut off"),
            Unread::Bad(what) => write!(f, "the profile is spoilt: {what}"),
        }
    }
}

impl std::error::Error for Unread {}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn cell(class: u16) -> Cell {
        Cell { class, group: Some(7), kind: None, zone: Some(1), site: None }
    }

    /// Three samples of a quarter hour.
    fn quarter(p: &mut Profile, at: Wall, demand: &[(Cell, f64)]) {
        for n in 0..3 {
            p.sample(at + n, demand);
        }
        p.sample(at + QUARTER, &[]);
    }

    fn weeks(p: &mut Profile, weeks: std::ops::Range<u64>, demand: f64) {
        weeks.for_each(|w| quarter(p, w * WEEK, &[(cell(1), demand)]));
    }

    #[test]
    fn what_was_seen_often_enough_is_sure_and_everything_else_says_why_not() {
        let mut p = Profile::new(Terms::default());
        let unsure = |p: &Profile, cell: Cell, at| p.project(&cell, at).unsure;
        assert_eq!(unsure(&p, cell(1), 9 * WEEK), Some(Unsure::Empty));
        weeks(&mut p, 100..102, 4.0);
        assert_eq!(unsure(&p, cell(1), 102 * WEEK), Some(Unsure::New));
        assert_eq!(unsure(&p, cell(2), 102 * WEEK), Some(Unsure::New));
        weeks(&mut p, 102..104, 4.0);
        assert_eq!(p.project(&cell(1), 104 * WEEK), Projected { demand: 4.0, unsure: None });
        assert_eq!(unsure(&p, cell(1), 104 * WEEK + QUARTER), Some(Unsure::Hole), "never seen");
        assert_eq!(unsure(&p, cell(1), 105 * WEEK), Some(Unsure::Hole), "the last week is not there");
        // A week without anybody asking is far off, and drags what is projected nowhere near zero.
        let mut holiday = p.clone();
        quarter(&mut holiday, 104 * WEEK, &[]);
        let after = holiday.project(&cell(1), 105 * WEEK);
        assert!(after.unsure == Some(Unsure::Odd) && after.demand > 4.0, "{after:?}");
        weeks(&mut holiday, 105..106, 4.0);
        assert_eq!(unsure(&holiday, cell(1), 106 * WEEK), None);
        // Two samples are not enough for a quarter hour to be seen.
        p.sample(104 * WEEK, &[(cell(1), 4.0)]);
        p.sample(104 * WEEK + 1, &[(cell(1), 4.0)]);
        p.sample(104 * WEEK + QUARTER, &[]);
        assert_eq!(unsure(&p, cell(1), 105 * WEEK), Some(Unsure::Hole));
    }

    #[test]
    fn it_follows_slowly_and_a_clock_that_steps_makes_it_unsure_at_most() {
        let mut p = Profile::new(Terms::default());
        weeks(&mut p, 100..110, 4.0);
        weeks(&mut p, 110..112, 2.0);
        let middle = p.project(&cell(1), 112 * WEEK).demand;
        weeks(&mut p, 112..150, 2.0);
        let late = p.project(&cell(1), 150 * WEEK);
        assert!(
            middle > 4.0 && (late.demand - 2.0).abs() < 0.05 && late.unsure.is_none(),
            "{middle} {late:?}"
        );
        // Ahead by a year and back: unsure, until it was seen often enough again.
        weeks(&mut p, 202..203, 0.0);
        weeks(&mut p, 150..152, 2.0);
        assert_eq!(p.project(&cell(1), 152 * WEEK).unsure, Some(Unsure::Hole));
        weeks(&mut p, 152..153, 2.0);
        assert_eq!(p.project(&cell(1), 153 * WEEK).unsure, None);
    }

    #[test]
    fn cells_are_bounded_and_one_that_finds_no_place_makes_all_unsure() {
        let mut p = Profile::new(Terms { samples: 1, weeks: 1, forget: 0, ..Terms::default() });
        let all: Vec<(Cell, f64)> = (0..CELLS as u16).map(|c| (cell(c), 1.0)).collect();
        assert_eq!(p.sample(100 * WEEK, &all), 0);
        p.sample(100 * WEEK + QUARTER, &[]);
        assert_eq!(p.project(&cell(3), 101 * WEEK).unsure, None);
        assert_eq!(p.sample(100 * WEEK + QUARTER, &[(cell(9_000), 1.0)]), 1);
        assert_eq!(p.project(&cell(3), 101 * WEEK).unsure, Some(Unsure::Crowded));
        assert!(p.write().len() < 4 << 20, "a value of a store");
        // Nobody asks for them any more: they leave.
        p.sample(100 * WEEK + 2 * QUARTER, &[(cell(9_000), 1.0)]);
        p.sample(100 * WEEK + 3 * QUARTER, &[]);
        assert_eq!(p.cells().collect::<Vec<_>>(), [cell(9_000)]);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 40, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]
        #[test]
        fn what_is_written_is_read_and_nothing_cut_off_is(
            samples in proptest::collection::vec((0u64..6 * QUARTERS as u64, 0u16..4, 0.0f64..1e6), 1..60),
            cut in 0.0f64..1.0,
            turned in 0.0f64..1.0,
        ) {
            let terms = Terms { samples: 1, ..Terms::default() };
            let mut p = Profile::new(terms);
            for &(q, c, demand) in &samples {
                p.sample(q * QUARTER, &[(cell(c), demand)]);
            }
            p.open = Open::default();
            let mut bytes = p.write();
            prop_assert_eq!(&Profile::read(&bytes, terms).unwrap(), &p);
            let short = (bytes.len() as f64 * cut) as usize;
            prop_assert!(Profile::read(&bytes[..short], terms).is_err());
            // Stores tell a bit that has turned; here nothing may come of it but an error or another profile.
            let place = (bytes.len() as f64 * turned) as usize % bytes.len();
            bytes[place] ^= 0x40;
            prop_assert!(Profile::read(&bytes, terms).map_or(true, |other| other != p));
        }
    }
}
