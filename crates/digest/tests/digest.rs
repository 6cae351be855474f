//! Properties of the encoding of pages, of merging and aggregation, and of the distribution of pages in a
//! fleet.

#[allow(dead_code)]
#[path = "../examples/spread.rs"]
mod spread;

use proptest::prelude::*;
use violetward_digest::{
    Cell, CellAggregate, Digest, DigestConfig, GossipScheduler, Page, PageBuilder, Summary,
    MAX_CELLS_PER_PAGE, MAX_DATAGRAM_BYTES,
};

const SECOND: u64 = 1_000_000;

/// The current time of the property tests. Generated pages are up to 2 s old.
const NOW: u64 = 10 * SECOND;

fn arbitrary_cells(max_count: usize) -> impl Strategy<Value = Vec<(Cell, Summary)>> {
    let field = || prop::option::of(0..3_u16);
    let cell = (0..5_u16, prop::option::of(0..40_u64), field(), field(), field());
    let cell = cell.prop_map(|(class, group, kind, zone, site)| Cell { class, group, kind, zone, site });
    let value = || prop_oneof![3 => 1e-6..1e9_f64, 1 => Just(0.0)];
    let summary = (value(), value(), value(), value(), value());
    let summary = summary.prop_map(|(demand, cost_ratio, cost_weight, headroom, round_trip_us)| Summary {
        demand,
        cost_ratio,
        cost_weight,
        headroom,
        round_trip_us,
    });
    prop::collection::vec((cell, summary), 0..max_count)
}

/// Generates pages of few origins and versions, so that several have the same origin and version.
fn arbitrary_page() -> impl Strategy<Value = Page> {
    (0..4_usize, 1..5_u64, 0..3_u64, arbitrary_cells(4)).prop_map(|(origin, version, age_s, cells)| {
        let mut builder = PageBuilder::new(&format!("g{origin}"), 1, version - 1);
        builder.build_pages(NOW - age_s * SECOND, cells).remove(0)
    })
}

/// A configuration whose limit on origins is below the number of generated origins.
fn three_origins_config() -> DigestConfig {
    DigestConfig { max_origins: 3, ..DigestConfig::default() }
}

fn digest_of(pages: &[Page]) -> Digest {
    let mut digest = Digest::new(three_origins_config());
    for page in pages {
        digest.merge(NOW, page.clone());
    }
    digest
}

fn union(a: &Digest, b: &Digest) -> Digest {
    let mut digest = a.clone();
    for page in b.pages() {
        digest.merge(NOW, page.clone());
    }
    digest
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..Default::default()
    })]

    #[test]
    fn merging_is_idempotent_commutative_and_associative(
        (a, b, c) in (
            prop::collection::vec(arbitrary_page(), 0..8),
            prop::collection::vec(arbitrary_page(), 0..8),
            prop::collection::vec(arbitrary_page(), 0..8),
        )
    ) {
        let mut pages = [&a[..], &b[..], &c[..]].concat();
        let all = digest_of(&pages);
        pages.reverse();
        prop_assert_eq!(&digest_of(&pages), &all);
        pages.rotate_left(a.len());
        prop_assert_eq!(&digest_of(&pages), &all);
        prop_assert_eq!(&union(&all, &all), &all);
        let (a, b, c) = (digest_of(&a), digest_of(&b), digest_of(&c));
        prop_assert_eq!(union(&a, &b), union(&b, &a));
        prop_assert_eq!(union(&union(&a, &b), &c), union(&a, &union(&b, &c)));
        prop_assert!(all.origin_count() <= 3);
    }

    #[test]
    fn pages_are_bounded_keep_all_demand_and_decode_to_what_was_encoded(
        cells in arbitrary_cells(400),
        page_count in 1..9_u8,
    ) {
        let mut builder = PageBuilder::new(&"x".repeat(48), page_count, 5);
        let mut digest = Digest::new(DigestConfig::default());
        let mut scheduler = GossipScheduler::new(Default::default(), 1, 0);
        let outgoing =
            scheduler.poll(NOW, || vec!["other".into()], || cells.clone(), &mut builder, &mut digest);
        let mut decoded = Digest::new(DigestConfig::default());
        for (_, datagram) in &outgoing {
            prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            for page in Page::decode_datagram(datagram, NOW).unwrap() {
                prop_assert!(page.cells().count() <= MAX_CELLS_PER_PAGE);
                decoded.merge(NOW, page);
            }
        }
        prop_assert_eq!(&decoded, &digest);
        for class in 0..5 {
            let class_demand = |demands: &mut dyn Iterator<Item = (Cell, f64)>| -> f64 {
                demands.filter(|(cell, _)| cell.class == class).map(|(_, demand)| demand).sum()
            };
            let reported = class_demand(&mut cells.iter().map(|(cell, summary)| (*cell, summary.demand)));
            let aggregates = decoded.aggregate(NOW).into_iter();
            let received = class_demand(&mut aggregates.map(|(cell, aggregate)| (cell, aggregate.demand)));
            prop_assert!(
                (reported - received).abs() <= reported * 0.002,
                "{reported} reported, {received} received"
            );
        }
    }

    #[test]
    fn random_and_truncated_datagrams_are_rejected(
        random_bytes in prop::collection::vec(any::<u8>(), 0..1_100),
        page in arbitrary_page(),
        kept_share in 0.0..1.0_f64,
    ) {
        // Random bytes must not cause a panic.
        let _ = Page::decode_datagram(&random_bytes, 0);
        let mut digest = Digest::new(three_origins_config());
        digest.merge(NOW, page);
        let mut scheduler = GossipScheduler::new(Default::default(), 1, 0);
        let mut builder = PageBuilder::new("me", 1, 1);
        let outgoing = scheduler.poll(NOW, || vec!["other".into()], Vec::new, &mut builder, &mut digest);
        let mut datagram = outgoing[0].1.clone();
        datagram.truncate((datagram.len() as f64 * kept_share) as usize);
        // A datagram that is cut exactly between its two pages is valid.
        if let Ok(pages) = Page::decode_datagram(&datagram, 0) {
            prop_assert!(pages.len() < 2);
        }
    }
}

fn test_cell(class: u16) -> Cell {
    Cell { site: Some(1), ..Cell::for_class(class) }
}

fn summary(demand: f64, cost_ratio: f64) -> Summary {
    Summary { demand, cost_ratio, cost_weight: demand, headroom: 10.0 * demand, round_trip_us: 500.0 }
}

/// Builds the single page of a builder for the test cell.
fn build_page(builder: &mut PageBuilder, now: u64, demand: f64) -> Page {
    builder.build_pages(now, [(test_cell(1), summary(demand, 1.0))]).remove(0)
}

/// Aggregates the reports of `origin_count` origins for one cell. The first origin reports `first`, the
/// others `rest`.
fn aggregate_reports(origin_count: usize, first: Summary, rest: Summary) -> CellAggregate {
    let config = DigestConfig { max_demand_per_origin: 5_000.0, ..DigestConfig::default() };
    let mut digest = Digest::new(config);
    for n in 0..origin_count {
        let mut builder = PageBuilder::new(&format!("g{n}"), 1, 1);
        for page in builder.build_pages(0, [(test_cell(1), if n == 0 { first } else { rest })]) {
            digest.merge(0, page);
        }
    }
    digest.aggregate(0)[&test_cell(1)]
}

#[test]
fn the_influence_of_a_wrong_origin_is_bounded() {
    let correct = aggregate_reports(24, summary(100.0, 1.0), summary(100.0, 1.0));
    assert!((correct.demand - 2_400.0).abs() < 10.0 && (correct.cost_ratio - 1.0).abs() < 0.01);
    let with_wrong_origin = aggregate_reports(24, summary(1_000.0, 10.0), summary(100.0, 1.0));
    // The wrong origin counts for four times the median: 2,700 instead of 3,300 in all.
    assert!((with_wrong_origin.demand - 2_700.0).abs() < 10.0, "{}", with_wrong_origin.demand);
    assert!((with_wrong_origin.cost_ratio - 1.0).abs() < 0.01);
    assert!((with_wrong_origin.headroom - 1_000.0).abs() < 5.0);
    // In a cell that no other origin reports, the limit on the total demand of an origin still applies.
    let single = aggregate_reports(1, summary(1e9, 1.0), summary(0.0, 1.0));
    assert!((single.demand - 5_000.0).abs() < 20.0, "{}", single.demand);
}

#[test]
fn pages_lose_weight_with_age_and_expire() {
    let mut digest = Digest::new(DigestConfig::default());
    digest.merge(0, build_page(&mut PageBuilder::new("g0", 1, 1), 0, 100.0));
    let demand_at = |digest: &Digest, seconds: u64| {
        digest.aggregate(seconds * SECOND).get(&test_cell(1)).map_or(0.0, |aggregate| aggregate.demand)
    };
    let actual: Vec<f64> = [0, 40, 60, 80, 199, 200].map(|seconds| demand_at(&digest, seconds)).into();
    let expected = [100.0, 100.0, 50.0, 25.0, 0.4, 0.0];
    assert!(actual.iter().zip(expected).all(|(a, e)| (a - e).abs() < 0.5), "{actual:?}");
    digest.evict_expired(200 * SECOND);
    assert_eq!((digest.origin_count(), digest.pages().count()), (0, 0));
    // A late copy of an expired page is not accepted again.
    let expired = build_page(&mut PageBuilder::new("g0", 1, 1), 0, 100.0);
    assert!(!digest.merge(201 * SECOND, expired));
}

/// A restarted gateway whose clock was set back starts with a version below those of its earlier process.
/// Other gateways ignore its pages until it has received a page of the earlier process.
#[test]
fn a_restarted_gateway_raises_its_version_above_that_of_the_earlier_process() {
    let mut digest = Digest::new(DigestConfig::default());
    let earlier = build_page(&mut PageBuilder::new("g0", 1, 1_000), 0, 100.0);
    digest.merge(0, earlier.clone());
    let mut restarted = PageBuilder::new("g0", 1, 10);
    assert!(!digest.merge(SECOND, build_page(&mut restarted, SECOND, 7.0)));
    restarted.observe(&earlier);
    assert!(digest.merge(SECOND, build_page(&mut restarted, SECOND, 7.0)));
    assert!((digest.aggregate(SECOND)[&test_cell(1)].demand - 7.0).abs() < 0.1);
}

#[test]
fn a_fleet_of_300_members_respects_the_rate_limit_and_distributes_all_pages() {
    let report = spread::simulate(300, 12, 0.05, 0, 44, 1);
    // The limit can be exceeded by one datagram, in the 22 s that are counted and in any single second.
    let max_mean = 16_384.0 + MAX_DATAGRAM_BYTES as f64 / 22.0;
    assert!(report.mean_bytes_per_second <= max_mean, "{}", report.mean_bytes_per_second);
    assert!(report.max_bytes_per_second <= 16_384 + MAX_DATAGRAM_BYTES, "{}", report.max_bytes_per_second);
    assert_eq!(report.missing_pages, 0);
    assert!(report.page_ages_s[1] < 40.0, "{:?}", report.page_ages_s);
}

#[test]
fn pages_reach_members_that_their_origin_cannot_reach() {
    let report = spread::simulate(24, 12, 0.05, 100, 60, 2);
    assert_eq!(report.missing_pages, 0);
    assert!(report.page_ages_s[1] < 40.0, "{:?}", report.page_ages_s);
}
