//! What all gateways say together.

use std::collections::BTreeMap;

use crate::page::Page;
use crate::{Cell, Micros, Summary};

/// How pages are believed.
#[derive(Debug, Clone, Copy)]
pub struct DigestConfig {
    /// Until this age what a page says counts in full.
    pub full_weight_age: Micros,
    /// After each further span of this length it counts by half.
    pub half_life: Micros,
    /// At this age it is forgotten.
    pub max_age: Micros,
    /// Origins that are known at once: of more of them those whose names come first.
    pub max_origins: usize,
    /// In a cell of which three or more tell, one origin counts for at most so many times the median of them.
    pub max_ratio_to_median: f64,
    /// What one origin can ask for in all, core milliseconds a second: what it says beyond is scaled down to that.
    pub max_demand_per_origin: f64,
}

impl Default for DigestConfig {
    fn default() -> Self {
        let second = 1_000_000;
        DigestConfig {
            full_weight_age: 40 * second,
            half_life: 20 * second,
            max_age: 200 * second,
            max_origins: 4_096,
            max_ratio_to_median: 4.0,
            max_demand_per_origin: f64::INFINITY,
        }
    }
}

/// What all together say of a cell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellAggregate {
    /// Work asked for, core milliseconds a second, of all origins; each faded and capped.
    pub demand: f64,
    /// Seen work over estimated work: the median of the origins, weighted by what they learned it from.
    pub cost_ratio: f64,
    /// The work that it was learned from, of all origins, core milliseconds.
    pub cost_weight: f64,
    /// Work that the cell's engines could take beyond what they have: the median of the origins, since all see the same engines.
    pub headroom: f64,
    /// How long a request is on its way, microseconds: the median.
    pub round_trip_us: f64,
    /// How many origins tell of it.
    pub origins: usize,
    /// The age of what the youngest of them says.
    pub age: Micros,
}

/// The newest pages of all origins. To merge is idempotent, commutative and associative.
#[derive(Debug, Clone)]
pub struct Digest {
    terms: DigestConfig,
    pages: BTreeMap<(String, u8), Page>,
    origins: usize,
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.pages == other.pages
    }
}

impl Digest {
    /// What one origin can ask for in all from now on, in place of what the terms say.
    pub fn set_max_demand_per_origin(&mut self, work: f64) {
        self.terms.max_demand_per_origin = work;
    }

    /// Nothing is known.
    pub fn new(terms: DigestConfig) -> Digest {
        Digest { terms, pages: BTreeMap::new(), origins: 0 }
    }

    /// Takes a page in; gives whether it says something new. One that is past its age is not taken.
    pub fn merge(&mut self, now: Micros, page: Page) -> bool {
        if now.saturating_sub(page.said) >= self.terms.max_age {
            return false;
        }
        let key = (page.origin.clone(), page.number);
        match self.pages.get_mut(&key) {
            Some(held) if held.rank() >= page.rank() => return false,
            // The same once more, known to be older than it was thought to be.
            Some(held) if held.version == page.version => *held = page,
            Some(held) => {
                *held = page;
                return true;
            }
            None => {
                let is_new = self.pages_of(&key.0).next().is_none();
                self.origins += usize::from(is_new);
                self.pages.insert(key.clone(), page);
                if self.origins > self.terms.max_origins {
                    // Which origins stay does not hang on the order in which they came.
                    if let Some(((last, _), _)) = self.pages.last_key_value() {
                        let last = last.clone();
                        self.pages.retain(|(origin, _), _| *origin != last);
                        self.origins -= 1;
                    }
                }
                return self.pages.contains_key(&key);
            }
        }
        false
    }

    /// Forgets what is past its age.
    pub fn evict_expired(&mut self, now: Micros) {
        let keep = self.terms.max_age;
        self.pages.retain(|_, page| now.saturating_sub(page.said) < keep);
        let mut names: Vec<&str> = self.pages.keys().map(|(origin, _)| origin.as_str()).collect();
        names.dedup();
        self.origins = names.len();
    }

    /// All pages, by origin and number.
    pub fn pages(&self) -> impl Iterator<Item = &Page> {
        self.pages.values()
    }

    /// The pages of one origin, by number.
    pub fn pages_of<'a>(&'a self, origin: &'a str) -> impl Iterator<Item = &'a Page> {
        let all = (origin.to_owned(), 0)..=(origin.to_owned(), u8::MAX);
        self.pages.range(all).map(|(_, page)| page)
    }

    pub(crate) fn get(&self, key: &(String, u8)) -> Option<&Page> {
        self.pages.get(key)
    }

    /// Origins that are known.
    pub fn origin_count(&self) -> usize {
        self.origins
    }

    /// What part of what was said then counts now.
    fn fades(&self, now: Micros, said: Micros) -> f64 {
        let age = now.saturating_sub(said);
        if age >= self.terms.max_age {
            return 0.0;
        }
        (-(age.saturating_sub(self.terms.full_weight_age) as f64) / self.terms.half_life as f64).exp2()
    }

    /// What all together say of each cell.
    pub fn aggregate(&self, now: Micros) -> BTreeMap<Cell, CellAggregate> {
        let mut totals: BTreeMap<&str, f64> = BTreeMap::new();
        for page in self.pages.values() {
            *totals.entry(&page.origin).or_default() += page.cells().map(|(_, s)| s.demand).sum::<f64>();
        }
        let mut told: BTreeMap<Cell, BTreeMap<&str, Told>> = BTreeMap::new();
        for page in self.pages.values() {
            let fades = self.fades(now, page.said);
            // Guards against one that is wrong by far in a cell that nobody else tells of.
            let scale = (self.terms.max_demand_per_origin / totals[page.origin.as_str()]).min(1.0);
            let age = now.saturating_sub(page.said);
            for (cell, says) in page.cells().filter(|_| fades > 0.0) {
                let says = Summary {
                    demand: says.demand * scale * fades,
                    cost_weight: says.cost_weight * fades,
                    ..says
                };
                // Cells of others stand on several pages of one origin.
                let told = told.entry(cell).or_default().entry(&page.origin);
                told.and_modify(|told| told.says = told.says.combine(says)).or_insert(Told {
                    says,
                    fades,
                    age,
                });
            }
        }
        let together = |told: BTreeMap<&str, Told>| self.together(&told.into_values().collect::<Vec<_>>());
        told.into_iter().map(|(cell, told)| (cell, together(told))).collect()
    }

    fn together(&self, told: &[Told]) -> CellAggregate {
        let capped = |of: fn(&Told) -> f64| -> Vec<f64> {
            let middle = median(told.iter().map(|t| (of(t), 1.0)).filter(|t| t.0 > 0.0));
            // Two say too little of each other for that.
            let cap = if told.len() > 2 { middle * self.terms.max_ratio_to_median } else { f64::INFINITY };
            told.iter().map(|t| of(t).min(cap)).collect()
        };
        let (work, weight) = (capped(|t| t.says.demand), capped(|t| t.says.cost_weight));
        let learned = told.iter().zip(&weight).map(|(t, &weight)| (t.says.cost_ratio, weight));
        CellAggregate {
            demand: work.iter().sum(),
            cost_ratio: median(learned.filter(|(k, weight)| *k > 0.0 && *weight > 0.0)),
            cost_weight: weight.iter().sum(),
            headroom: median(told.iter().map(|t| (t.says.headroom, t.fades))),
            round_trip_us: median(told.iter().map(|t| (t.says.round_trip_us, t.fades)).filter(|t| t.0 > 0.0)),
            origins: told.len(),
            age: told.iter().map(|t| t.age).min().unwrap_or(0),
        }
    }
}

/// What one origin says of a cell, faded.
struct Told {
    says: Summary,
    fades: f64,
    age: Micros,
}

/// The value in the middle of the weight; 0 of nothing. Between two halves of the same weight it is the mean.
fn median(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut values: Vec<(f64, f64)> = values.collect();
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = values.iter().map(|v| v.1).sum::<f64>() / 2.0;
    let mut below = 0.0;
    for (at, (value, weight)) in values.iter().enumerate() {
        below += weight;
        if below > half * (1.0 + 1e-9) {
            return *value;
        }
        if below > half * (1.0 - 1e-9) {
            return (value + values.get(at + 1).map_or(*value, |next| next.0)) / 2.0;
        }
    }
    0.0
}
