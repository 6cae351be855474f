//! Merges the pages of all gateways and aggregates them per cell.

use std::collections::BTreeMap;

use crate::page::Page;
use crate::{Cell, Micros, Summary};

/// How a [`Digest`] retains and weights pages.
#[derive(Debug, Clone, Copy)]
pub struct DigestConfig {
    /// Pages up to this age count in full.
    pub full_weight_age: Micros,
    /// Beyond `full_weight_age`, the weight of a page halves each time this span passes.
    pub half_life: Micros,
    /// Pages of this age are discarded.
    pub max_age: Micros,
    /// Most origins retained. If there are more, those whose names sort first are kept.
    pub max_origins: usize,
    /// In a cell with at least three origins, a single origin counts for at most this multiple of their
    /// median.
    pub max_ratio_to_median: f64,
    /// Limit on the total demand of one origin, in core milliseconds per second. Higher reports are scaled
    /// down to it.
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

/// The combined reports of all origins for one cell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellAggregate {
    /// Sum of the requested work, in core milliseconds per second. The report of each origin is weighted by
    /// age and capped.
    pub demand: f64,
    /// Ratio of measured work to estimated work: the median of the origins, weighted by their cost weights.
    pub cost_ratio: f64,
    /// Sum of the work from which the cost ratios were learned, in core milliseconds.
    pub cost_weight: f64,
    /// Additional work that the engines of the cell could take, in core milliseconds per second. This is the
    /// median of the origins, not the sum, because all origins see the same engines.
    pub headroom: f64,
    /// Network round trip, in microseconds: the median of the origins.
    pub round_trip_us: f64,
    /// Number of origins that report the cell.
    pub origins: usize,
    /// Age of the most recent report.
    pub age: Micros,
}

/// The newest pages of all origins. Merging pages is idempotent, commutative and associative.
#[derive(Debug, Clone)]
pub struct Digest {
    config: DigestConfig,
    /// By origin and page number.
    pages: BTreeMap<(String, u8), Page>,
    origin_count: usize,
}

/// Digests are equal if they contain the same pages; their configuration is not compared.
impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.pages == other.pages
    }
}

impl Digest {
    /// Creates an empty digest.
    pub fn new(config: DigestConfig) -> Digest {
        Digest { config, pages: BTreeMap::new(), origin_count: 0 }
    }

    /// Replaces [`DigestConfig::max_demand_per_origin`].
    pub fn set_max_demand_per_origin(&mut self, max_demand: f64) {
        self.config.max_demand_per_origin = max_demand;
    }

    /// Merges a page. Returns whether it added new content. Expired pages are ignored.
    pub fn merge(&mut self, now: Micros, page: Page) -> bool {
        if now.saturating_sub(page.created_at) >= self.config.max_age {
            return false;
        }
        let key = (page.origin.clone(), page.number);
        match self.pages.get_mut(&key) {
            Some(stored) if stored.precedence() >= page.precedence() => return false,
            // A copy of the stored version that takes precedence, normally because its creation time is
            // earlier. It replaces the stored copy but adds no new content.
            Some(stored) if stored.version == page.version => *stored = page,
            Some(stored) => {
                *stored = page;
                return true;
            }
            None => {
                let is_new_origin = self.pages_of(&key.0).next().is_none();
                self.origin_count += usize::from(is_new_origin);
                self.pages.insert(key.clone(), page);
                if self.origin_count > self.config.max_origins {
                    // Removes the last origin by name, so that the result does not depend on the order of
                    // arrival.
                    if let Some(((last_origin, _), _)) = self.pages.last_key_value() {
                        let last_origin = last_origin.clone();
                        self.pages.retain(|(origin, _), _| *origin != last_origin);
                        self.origin_count -= 1;
                    }
                }
                return self.pages.contains_key(&key);
            }
        }
        false
    }

    /// Discards the pages that have reached the maximum age.
    pub fn evict_expired(&mut self, now: Micros) {
        let max_age = self.config.max_age;
        self.pages.retain(|_, page| now.saturating_sub(page.created_at) < max_age);
        let mut origins: Vec<&str> = self.pages.keys().map(|(origin, _)| origin.as_str()).collect();
        origins.dedup();
        self.origin_count = origins.len();
    }

    /// Returns all pages, sorted by origin and number.
    pub fn pages(&self) -> impl Iterator<Item = &Page> {
        self.pages.values()
    }

    /// Returns the pages of one origin, sorted by number.
    pub fn pages_of<'a>(&'a self, origin: &'a str) -> impl Iterator<Item = &'a Page> {
        let keys = (origin.to_owned(), 0)..=(origin.to_owned(), u8::MAX);
        self.pages.range(keys).map(|(_, page)| page)
    }

    pub(crate) fn get(&self, key: &(String, u8)) -> Option<&Page> {
        self.pages.get(key)
    }

    /// Returns the number of origins that have pages in the digest.
    pub fn origin_count(&self) -> usize {
        self.origin_count
    }

    /// Returns the weight, from 0 to 1, at which a page created at `created_at` counts.
    fn age_weight(&self, now: Micros, created_at: Micros) -> f64 {
        let age = now.saturating_sub(created_at);
        if age >= self.config.max_age {
            return 0.0;
        }
        let fading_span = age.saturating_sub(self.config.full_weight_age);
        (-(fading_span as f64) / self.config.half_life as f64).exp2()
    }

    /// Combines the reports of all origins per cell.
    pub fn aggregate(&self, now: Micros) -> BTreeMap<Cell, CellAggregate> {
        let mut demand_by_origin: BTreeMap<&str, f64> = BTreeMap::new();
        for page in self.pages.values() {
            let page_demand = page.cells().map(|(_, summary)| summary.demand).sum::<f64>();
            *demand_by_origin.entry(&page.origin).or_default() += page_demand;
        }
        let mut reports_by_cell: BTreeMap<Cell, BTreeMap<&str, Report>> = BTreeMap::new();
        for page in self.pages.values() {
            let age_weight = self.age_weight(now, page.created_at);
            // Bounds the effect of a wrong origin also in cells that no other origin reports, where there is
            // no median.
            let scale = (self.config.max_demand_per_origin / demand_by_origin[page.origin.as_str()]).min(1.0);
            let age = now.saturating_sub(page.created_at);
            for (cell, summary) in page.cells().filter(|_| age_weight > 0.0) {
                let summary = Summary {
                    demand: summary.demand * scale * age_weight,
                    cost_weight: summary.cost_weight * age_weight,
                    ..summary
                };
                // The cell of a whole class can be on several pages of one origin.
                let report = reports_by_cell.entry(cell).or_default().entry(&page.origin);
                report
                    .and_modify(|report| report.summary = report.summary.combine(summary))
                    .or_insert(Report { summary, age_weight, age });
            }
        }
        let combine = |reports: BTreeMap<&str, Report>| {
            self.combine_reports(&reports.into_values().collect::<Vec<_>>())
        };
        reports_by_cell.into_iter().map(|(cell, reports)| (cell, combine(reports))).collect()
    }

    /// Combines the reports of different origins for one cell.
    fn combine_reports(&self, reports: &[Report]) -> CellAggregate {
        let capped = |value_of: fn(&Report) -> f64| -> Vec<f64> {
            let positive_values =
                reports.iter().map(|r| (value_of(r), 1.0)).filter(|(value, _)| *value > 0.0);
            let median = weighted_median(positive_values);
            // With only two reports, the median cannot show which of them is wrong.
            let cap =
                if reports.len() > 2 { median * self.config.max_ratio_to_median } else { f64::INFINITY };
            reports.iter().map(|r| value_of(r).min(cap)).collect()
        };
        let demands = capped(|r| r.summary.demand);
        let cost_weights = capped(|r| r.summary.cost_weight);
        let cost_ratios =
            reports.iter().zip(&cost_weights).map(|(r, &weight)| (r.summary.cost_ratio, weight));
        let round_trips = reports.iter().map(|r| (r.summary.round_trip_us, r.age_weight));
        CellAggregate {
            demand: demands.iter().sum(),
            cost_ratio: weighted_median(cost_ratios.filter(|(ratio, weight)| *ratio > 0.0 && *weight > 0.0)),
            cost_weight: cost_weights.iter().sum(),
            headroom: weighted_median(reports.iter().map(|r| (r.summary.headroom, r.age_weight))),
            round_trip_us: weighted_median(round_trips.filter(|(round_trip, _)| *round_trip > 0.0)),
            origins: reports.len(),
            age: reports.iter().map(|r| r.age).min().unwrap_or(0),
        }
    }
}

/// The report of one origin for one cell. The demand and the cost weight of the summary are already weighted
/// by age.
struct Report {
    summary: Summary,
    age_weight: f64,
    age: Micros,
}

/// Returns the median of `(value, weight)` pairs, or 0 if there are none. If the weights below and above a
/// pair of neighbouring values are equal, it is the mean of the two.
fn weighted_median(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut values: Vec<(f64, f64)> = values.collect();
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half_weight = values.iter().map(|v| v.1).sum::<f64>() / 2.0;
    let mut weight_so_far = 0.0;
    for (index, (value, weight)) in values.iter().enumerate() {
        weight_so_far += weight;
        // The tolerance absorbs rounding errors of the sums.
        if weight_so_far > half_weight * (1.0 + 1e-9) {
            return *value;
        }
        if weight_so_far > half_weight * (1.0 - 1e-9) {
            return (value + values.get(index + 1).map_or(*value, |next| next.0)) / 2.0;
        }
    }
    0.0
}
