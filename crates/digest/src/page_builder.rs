//! Builds the pages of this gateway.

use std::collections::BTreeMap;

use crate::page::{Page, MAX_CELLS_PER_PAGE, MAX_ORIGIN_BYTES, MAX_PAGES_PER_ORIGIN};
use crate::{Cell, Micros, Summary};

/// Builds new versions of this gateway's own pages.
#[derive(Debug, Clone)]
pub struct PageBuilder {
    origin: String,
    page_count: u8,
    version: u64,
}

impl PageBuilder {
    /// Creates a builder for the gateway `origin`, whose name is cut to [`MAX_ORIGIN_BYTES`], with 1 to
    /// [`MAX_PAGES_PER_ORIGIN`] pages.
    ///
    /// `initial_version` should be higher than the versions of an earlier process of this gateway, for
    /// example the time since the Unix epoch. If the clock was set back and it is not,
    /// [`observe`](Self::observe) raises the version as soon as a page of the earlier process arrives.
    pub fn new(origin: &str, page_count: u8, initial_version: u64) -> PageBuilder {
        let max_len = origin.len().min(MAX_ORIGIN_BYTES);
        let len = (0..=max_len).rev().find(|&len| origin.is_char_boundary(len)).unwrap_or(0);
        PageBuilder {
            origin: origin[..len].to_owned(),
            page_count: page_count.clamp(1, MAX_PAGES_PER_ORIGIN),
            version: initial_version,
        }
    }

    /// Returns the name of this gateway.
    pub fn origin(&self) -> &str {
        &self.origin
    }

    /// Builds the pages for `cells`, with a new version. Summaries of the same cell are combined.
    ///
    /// A page holds [`MAX_CELLS_PER_PAGE`] cells: those with the highest demand, then headroom, then cost
    /// weight. The remaining cells are combined into one cell per class. If there are more such classes than
    /// free places, the last of these cells collects the remaining classes.
    pub fn build_pages(
        &mut self,
        now: Micros,
        cells: impl IntoIterator<Item = (Cell, Summary)>,
    ) -> Vec<Page> {
        self.version += 1;
        let mut cells_by_page: Vec<BTreeMap<Cell, Summary>> = vec![BTreeMap::new(); self.page_count as usize];
        for (cell, summary) in cells {
            let page = &mut cells_by_page[(cell_hash(&cell) % u64::from(self.page_count)) as usize];
            add_summary(page, cell, summary);
        }
        let build_page = |(number, cells): (usize, BTreeMap<Cell, Summary>)| {
            Page::new(&self.origin, number as u8, self.version, now, limit_cells(cells).into_iter())
        };
        cells_by_page.into_iter().enumerate().map(build_page).collect()
    }

    /// Takes note of a received page. If it is a page of this origin from an earlier process with a higher
    /// version, later pages get versions above it.
    pub fn observe(&mut self, page: &Page) {
        if page.origin == self.origin {
            self.version = self.version.max(page.version);
        }
    }
}

fn add_summary(cells: &mut BTreeMap<Cell, Summary>, cell: Cell, summary: Summary) {
    cells.entry(cell).and_modify(|sum| *sum = sum.combine(summary)).or_insert(summary);
}

/// Returns the classes of the given cells, sorted and without duplicates.
fn distinct_classes(cells: &[(Cell, Summary)]) -> Vec<u16> {
    let mut classes: Vec<u16> = cells.iter().map(|(cell, _)| cell.class).collect();
    classes.sort_unstable();
    classes.dedup();
    classes
}

/// Reduces the cells to [`MAX_CELLS_PER_PAGE`] by combining those of the lowest rank per class.
fn limit_cells(cells: BTreeMap<Cell, Summary>) -> BTreeMap<Cell, Summary> {
    if cells.len() <= MAX_CELLS_PER_PAGE {
        return cells;
    }
    let mut ranked: Vec<(Cell, Summary)> = cells.into_iter().collect();
    let rank = |s: &Summary| [s.demand, s.headroom, s.cost_weight];
    ranked.sort_by(|(cell_a, a), (cell_b, b)| {
        rank(b).partial_cmp(&rank(a)).unwrap_or(std::cmp::Ordering::Equal).then(cell_a.cmp(cell_b))
    });
    // Keeps as many separate cells as leave places for the combined cells of the others.
    let fits = |&kept: &usize| kept + distinct_classes(&ranked[kept..]).len() <= MAX_CELLS_PER_PAGE;
    let kept = (0..MAX_CELLS_PER_PAGE).rev().find(fits).unwrap_or(0);
    let combined_classes = distinct_classes(&ranked[kept..]);
    let last_class = combined_classes[combined_classes.len().min(MAX_CELLS_PER_PAGE - kept) - 1];
    let mut limited: BTreeMap<Cell, Summary> = ranked[..kept].iter().copied().collect();
    for (cell, summary) in &ranked[kept..] {
        add_summary(&mut limited, Cell::for_class(cell.class.min(last_class)), *summary);
    }
    limited
}

/// Hashes a cell (FNV-1a over its fields, upper 32 bits). The hash determines the page of the cell, so that
/// the cell is on the page of the same number in every version.
fn cell_hash(cell: &Cell) -> u64 {
    let field = |field: Option<u16>| field.map_or(u64::MAX, u64::from);
    let fields = [
        u64::from(cell.class),
        cell.group.unwrap_or(u64::MAX),
        field(cell.kind),
        field(cell.zone),
        field(cell.site),
    ];
    let hash = fields.iter().flat_map(|f| f.to_be_bytes()).fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash >> 32
}
