//! What this gateway itself says.

use std::collections::BTreeMap;

use crate::page::{Page, MAX_CELLS_PER_PAGE, MAX_ORIGIN_BYTES, MAX_PAGES_PER_ORIGIN};
use crate::{Cell, Micros, Summary};

/// This gateway's own pages.
#[derive(Debug, Clone)]
pub struct PageBuilder {
    origin: String,
    pages: u8,
    version: u64,
}

impl PageBuilder {
    /// For a gateway of that name, with so many pages (1 to [`MAX_PAGES_PER_ORIGIN`]) and, at the start of its process, a first version: the
    /// time since the Unix epoch will do, since any later version of an earlier process is heard and passed.
    pub fn new(origin: &str, pages: u8, version: u64) -> PageBuilder {
        let cut = (0..=origin.len().min(MAX_ORIGIN_BYTES))
            .rev()
            .find(|&at| origin.is_char_boundary(at))
            .unwrap_or(0);
        PageBuilder { origin: origin[..cut].to_owned(), pages: pages.clamp(1, MAX_PAGES_PER_ORIGIN), version }
    }

    /// Its name.
    pub fn origin(&self) -> &str {
        &self.origin
    }

    /// Pages that say this, of a new version. On each page there is room for [`MAX_CELLS_PER_PAGE`] cells: those with the most work, with
    /// room and with the most learned in this order; what is left over is summed up by class, and classes beyond that with the
    /// last one.
    pub fn build_pages(
        &mut self,
        now: Micros,
        cells: impl IntoIterator<Item = (Cell, Summary)>,
    ) -> Vec<Page> {
        self.version += 1;
        let mut by_page: Vec<BTreeMap<Cell, Summary>> = vec![BTreeMap::new(); self.pages as usize];
        for (cell, summary) in cells {
            let page = &mut by_page[(mark(&cell) % u64::from(self.pages)) as usize];
            page.entry(cell).and_modify(|sum| *sum = sum.combine(summary)).or_insert(summary);
        }
        let page = |(number, cells): (usize, BTreeMap<Cell, Summary>)| {
            Page::new(&self.origin, number as u8, self.version, now, fit(cells).into_iter())
        };
        by_page.into_iter().enumerate().map(page).collect()
    }

    /// A page of this origin has come back: an earlier process may have said more than this one yet.
    pub fn observe(&mut self, page: &Page) {
        if page.origin == self.origin {
            self.version = self.version.max(page.version);
        }
    }
}

/// The cells that a page has room for; the others summed up.
fn fit(cells: BTreeMap<Cell, Summary>) -> BTreeMap<Cell, Summary> {
    if cells.len() <= MAX_CELLS_PER_PAGE {
        return cells;
    }
    let mut order: Vec<(Cell, Summary)> = cells.into_iter().collect();
    let by = |s: &Summary| [s.demand, s.headroom, s.cost_weight];
    order.sort_by(|(a, x), (b, y)| {
        by(y).partial_cmp(&by(x)).unwrap_or(std::cmp::Ordering::Equal).then(a.cmp(b))
    });
    // As many cells stay alone as leave room for the sums of the rest.
    let classes = |rest: &[(Cell, Summary)]| {
        let mut classes: Vec<u16> = rest.iter().map(|(cell, _)| cell.class).collect();
        classes.sort_unstable();
        classes.dedup();
        classes
    };
    let alone = (0..MAX_CELLS_PER_PAGE)
        .rev()
        .find(|&alone| alone + classes(&order[alone..]).len() <= MAX_CELLS_PER_PAGE)
        .unwrap_or(0);
    let summed = classes(&order[alone..]);
    let last = summed[summed.len().min(MAX_CELLS_PER_PAGE - alone) - 1];
    let mut kept: BTreeMap<Cell, Summary> = order[..alone].iter().copied().collect();
    for (cell, summary) in &order[alone..] {
        let others = Cell::for_class(cell.class.min(last));
        kept.entry(others).and_modify(|sum| *sum = sum.combine(*summary)).or_insert(*summary);
    }
    kept
}

/// A number by which a cell always stands on the same page (FNV-1a over its places).
fn mark(cell: &Cell) -> u64 {
    let place = |place: Option<u16>| place.map_or(u64::MAX, u64::from);
    let places = [
        u64::from(cell.class),
        cell.group.unwrap_or(u64::MAX),
        place(cell.kind),
        place(cell.zone),
        place(cell.site),
    ];
    let mixed = places.iter().flat_map(|p| p.to_be_bytes()).fold(0xcbf2_9ce4_8422_2325_u64, |hash, octet| {
        (hash ^ u64::from(octet)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    mixed >> 32
}
