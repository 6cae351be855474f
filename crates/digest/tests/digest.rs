//! Properties of pages, of merging, of what all say together, and of how pages spread.

#[allow(dead_code)]
#[path = "../examples/spread.rs"]
mod spread;

use proptest::prelude::*;
use violetward_digest::{
    Cell, CellAggregate, Digest, DigestConfig, GossipScheduler, Page, PageBuilder, Summary,
    MAX_CELLS_PER_PAGE, MAX_DATAGRAM_BYTES,
};

const SECOND: u64 = 1_000_000;

fn cells(most: usize) -> impl Strategy<Value = Vec<(Cell, Summary)>> {
    let place = || prop::option::of(0..3_u16);
    let cell = (0..5_u16, prop::option::of(0..40_u64), place(), place(), place());
    let cell = cell.prop_map(|(class, group, kind, zone, site)| Cell { class, group, kind, zone, site });
    let value = || prop_oneof![3 => 1e-6..1e9_f64, 1 => Just(0.0)];
    let says = (value(), value(), value(), value(), value());
    let says = says.prop_map(|(demand, cost_ratio, cost_weight, headroom, round_trip_us)| Summary {
        demand,
        cost_ratio,
        cost_weight,
        headroom,
        round_trip_us,
    });
    prop::collection::vec((cell, says), 0..most)
}

/// A page as it comes: of few origins and versions, so that they meet.
fn page() -> impl Strategy<Value = Page> {
    (0..4_usize, 1..5_u64, 0..3_u64, cells(4)).prop_map(|(origin, version, age, cells)| {
        let mut pages = PageBuilder::new(&format!("g{origin}"), 1, version - 1)
            .build_pages(10 * SECOND - age * SECOND, cells);
        pages.remove(0)
    })
}

fn terms() -> DigestConfig {
    DigestConfig { max_origins: 3, ..DigestConfig::default() }
}

fn merged(pages: &[Page]) -> Digest {
    let mut digest = Digest::new(terms());
    for page in pages {
        digest.merge(10 * SECOND, page.clone());
    }
    digest
}

fn joined(a: &Digest, b: &Digest) -> Digest {
    let mut digest = a.clone();
    for page in b.pages() {
        digest.merge(10 * SECOND, page.clone());
    }
    digest
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..Default::default() })]

    #[test]
    fn merging_is_idempotent_commutative_and_associative(
        (a, b, c) in (prop::collection::vec(page(), 0..8), prop::collection::vec(page(), 0..8), prop::collection::vec(page(), 0..8))
    ) {
        let mut turned = [&a[..], &b[..], &c[..]].concat();
        let all = merged(&turned);
        turned.reverse();
        prop_assert_eq!(&merged(&turned), &all);
        turned.rotate_left(a.len());
        prop_assert_eq!(&merged(&turned), &all);
        prop_assert_eq!(&joined(&all, &all), &all);
        let (a, b, c) = (merged(&a), merged(&b), merged(&c));
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        prop_assert!(all.origin_count() <= 3);
    }

    #[test]
    fn a_page_is_bounded_loses_no_work_and_reads_as_it_was_written(cells in cells(400), pages in 1..9_u8) {
        let mut own = PageBuilder::new(&"x".repeat(48), pages, 5);
        let (mut digest, mut spread) = (Digest::new(DigestConfig::default()), GossipScheduler::new(Default::default(), 1, 0));
        let out = spread.poll(10 * SECOND, || vec!["other".into()], || cells.clone(), &mut own, &mut digest);
        let mut read = Digest::new(DigestConfig::default());
        for (_, datagram) in &out {
            prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            for page in Page::decode_datagram(datagram, 10 * SECOND).unwrap() {
                prop_assert!(page.cells().count() <= MAX_CELLS_PER_PAGE);
                read.merge(10 * SECOND, page);
            }
        }
        prop_assert_eq!(&read, &digest);
        for class in 0..5 {
            let sum = |works: &mut dyn Iterator<Item = (Cell, f64)>| -> f64 {
                works.filter(|(cell, _)| cell.class == class).map(|(_, work)| work).sum()
            };
            let put = sum(&mut cells.iter().map(|(cell, says)| (*cell, says.demand)));
            let told = sum(&mut read.aggregate(10 * SECOND).into_iter().map(|(cell, view)| (cell, view.demand)));
            prop_assert!((put - told).abs() <= put * 0.002, "{put} put, {told} told");
        }
    }

    #[test]
    fn what_is_no_page_is_refused(mut bytes in prop::collection::vec(any::<u8>(), 0..1_100), page in page(), cut in 0.0..1.0_f64) {
        let _ = Page::decode_datagram(&bytes, 0);
        let mut digest = Digest::new(terms());
        digest.merge(10 * SECOND, page);
        let mut spread = GossipScheduler::new(Default::default(), 1, 0);
        let out = spread.poll(10 * SECOND, || vec!["other".into()], Vec::new, &mut PageBuilder::new("me", 1, 1), &mut digest);
        bytes = out[0].1.clone();
        bytes.truncate((bytes.len() as f64 * cut) as usize);
        // Cut between two pages it is whole.
        if let Ok(pages) = Page::decode_datagram(&bytes, 0) {
            prop_assert!(pages.len() < 2);
        }
    }
}

fn cell(class: u16) -> Cell {
    Cell { site: Some(1), ..Cell::for_class(class) }
}

fn says(work: f64, k: f64) -> Summary {
    Summary { demand: work, cost_ratio: k, cost_weight: work, headroom: 10.0 * work, round_trip_us: 500.0 }
}

/// What `count` origins say together of one cell, the first one being wrong.
fn together(count: usize, wrong: Summary, right: Summary) -> CellAggregate {
    let mut digest = Digest::new(DigestConfig { max_demand_per_origin: 5_000.0, ..DigestConfig::default() });
    for n in 0..count {
        let mut own = PageBuilder::new(&format!("g{n}"), 1, 1);
        for page in own.build_pages(0, [(cell(1), if n == 0 { wrong } else { right })]) {
            digest.merge(0, page);
        }
    }
    digest.aggregate(0)[&cell(1)]
}

#[test]
fn one_that_is_wrong_by_far_counts_for_little() {
    let right = together(24, says(100.0, 1.0), says(100.0, 1.0));
    assert!((right.demand - 2_400.0).abs() < 10.0 && (right.cost_ratio - 1.0).abs() < 0.01);
    let wrong = together(24, says(1_000.0, 10.0), says(100.0, 1.0));
    // At most as three more of its kind: 27 in place of 33.
    assert!((wrong.demand - 2_700.0).abs() < 10.0, "{}", wrong.demand);
    assert!((wrong.cost_ratio - 1.0).abs() < 0.01 && (wrong.headroom - 1_000.0).abs() < 5.0);
    // Where nobody else tells of the cell, the bound on what one can ask for in all remains.
    let alone = together(1, says(1e9, 1.0), says(0.0, 1.0));
    assert!((alone.demand - 5_000.0).abs() < 20.0, "{}", alone.demand);
}

#[test]
fn what_is_old_fades_and_goes() {
    let mut digest = Digest::new(DigestConfig::default());
    let mut own = PageBuilder::new("g0", 1, 1);
    for page in own.build_pages(0, [(cell(1), says(100.0, 1.0))]) {
        digest.merge(0, page);
    }
    let work = |digest: &Digest, at: u64| {
        digest.aggregate(at * SECOND).get(&cell(1)).map_or(0.0, |view| view.demand)
    };
    let seen: Vec<f64> = [0, 40, 60, 80, 199, 200].map(|at| work(&digest, at)).into();
    let due = [100.0, 100.0, 50.0, 25.0, 0.4, 0.0];
    assert!(seen.iter().zip(due).all(|(seen, due)| (seen - due).abs() < 0.5), "{seen:?}");
    digest.evict_expired(200 * SECOND);
    assert_eq!((digest.origin_count(), digest.pages().count()), (0, 0));
    // An old copy does not come back to life.
    let old = PageBuilder::new("g0", 1, 1).build_pages(0, [(cell(1), says(100.0, 1.0))]).remove(0);
    assert!(!digest.merge(201 * SECOND, old));
}

#[test]
fn a_new_process_outranks_what_its_forerunner_said() {
    let mut digest = Digest::new(DigestConfig::default());
    let earlier = PageBuilder::new("g0", 1, 1_000).build_pages(0, [(cell(1), says(100.0, 1.0))]).remove(0);
    digest.merge(0, earlier.clone());
    // Its clock was set back: its first version is below.
    let mut own = PageBuilder::new("g0", 1, 10);
    assert!(!digest.merge(SECOND, own.build_pages(SECOND, [(cell(1), says(7.0, 1.0))]).remove(0)));
    own.observe(&earlier);
    assert!(digest.merge(SECOND, own.build_pages(SECOND, [(cell(1), says(7.0, 1.0))]).remove(0)));
    assert!((digest.aggregate(SECOND)[&cell(1)].demand - 7.0).abs() < 0.1);
}

#[test]
fn three_hundred_members_keep_to_their_octets_and_know_each_other() {
    let shown = spread::play(300, 12, 0.05, 0, 44, 1);
    // But for one datagram, in 22 s and in any one.
    assert!(shown.octets <= 16_384.0 + MAX_DATAGRAM_BYTES as f64 / 22.0, "{}", shown.octets);
    assert!(shown.worst <= 16_384 + MAX_DATAGRAM_BYTES, "{}", shown.worst);
    assert_eq!(shown.unknown, 0);
    assert!(shown.ages[1] < 40.0, "{:?}", shown.ages);
}

#[test]
fn who_is_not_reached_directly_learns_it_from_others() {
    let shown = spread::play(24, 12, 0.05, 100, 60, 2);
    assert_eq!(shown.unknown, 0);
    assert!(shown.ages[1] < 40.0, "{:?}", shown.ages);
}
