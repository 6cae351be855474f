//! Pages and datagrams: their layout and their bounds.
//!
//! A page is `length 2 | format 1 | origin | number 1 | version 8 | age 4 | count 1 | cells`, a datagram is pages. Integers are
//! big-endian, an origin has one octet of length, the age is in milliseconds. A cell is `class 2 | which 1 | places | values`, of
//! the places only those that there are. A value has two octets: 256 steps to each power of two from 2^-64 on, 0 is nothing.

use std::fmt;

use crate::{Cell, Micros, Summary};

/// Octets of a datagram at most: it has to fit behind one octet in what membership carries for others.
pub const MAX_DATAGRAM_BYTES: usize = 990;
/// Octets of an origin's name at most.
pub const MAX_ORIGIN_BYTES: usize = 48;
/// Pages of one origin at most.
pub const MAX_PAGES_PER_ORIGIN: u8 = 8;
/// Cells of a page at most: the longest page fills a datagram.
pub const MAX_CELLS_PER_PAGE: usize = 34;

/// The format that this code writes.
const FORMAT: u8 = 1;
/// Octets of a page around its cells, and of a cell, at most.
const HEAD: usize = 2 + 1 + 1 + MAX_ORIGIN_BYTES + 1 + 8 + 4 + 1;
const CELL: usize = 2 + 1 + 8 + 2 + 2 + 2 + 5 * 2;
const _: () = assert!(HEAD + MAX_CELLS_PER_PAGE * CELL <= MAX_DATAGRAM_BYTES);

/// What comes is no page, or of a format that is not known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("this is no page of a digest")
    }
}

impl std::error::Error for DecodeError {}

/// A value as it is told, to within a seventh of a hundredth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Code(u16);

impl Code {
    fn of(value: f64) -> Code {
        if value.is_nan() || value <= 0.0 {
            return Code(0);
        }
        // The 64 powers below one, and those above it up to 2^191.
        Code(((value.log2() + 64.0) * 256.0).round().clamp(1.0, f64::from(u16::MAX)) as u16)
    }

    fn value(self) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        (f64::from(self.0) / 256.0 - 64.0).exp2()
    }
}

pub(crate) fn coded(summary: &Summary) -> [Code; 5] {
    [summary.demand, summary.cost_ratio, summary.cost_weight, summary.headroom, summary.round_trip_us]
        .map(Code::of)
}

fn decoded(codes: &[Code; 5]) -> Summary {
    let [demand, cost_ratio, cost_weight, headroom, round_trip_us] = codes.map(Code::value);
    Summary { demand, cost_ratio, cost_weight, headroom, round_trip_us }
}

/// Some cells of one origin, all of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Who says it.
    pub(crate) origin: String,
    /// Which of its pages: a cell always stands on the same.
    pub(crate) number: u8,
    /// A later one has a higher one.
    pub(crate) version: u64,
    /// When it was said, by the clock of whoever holds it: no later than that, since an age does not count the way here.
    pub(crate) said: Micros,
    /// In order of their cells.
    pub(crate) cells: Vec<(Cell, [Code; 5])>,
}

impl Page {
    pub(crate) fn new(
        origin: &str,
        number: u8,
        version: u64,
        said: Micros,
        cells: impl Iterator<Item = (Cell, Summary)>,
    ) -> Page {
        let mut cells: Vec<_> = cells.map(|(cell, summary)| (cell, coded(&summary))).collect();
        cells.sort_unstable();
        Page { origin: origin.to_owned(), number, version, said, cells }
    }

    /// Who says it.
    pub fn origin(&self) -> &str {
        &self.origin
    }

    /// Which version of it this is.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Its age, the time on the way not counted.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.said)
    }

    /// What it says.
    pub fn cells(&self) -> impl Iterator<Item = (Cell, Summary)> + '_ {
        self.cells.iter().map(|(cell, codes)| (*cell, decoded(codes)))
    }

    /// Of two pages of one origin and number the one that ranks higher holds. A version says one thing; where a mistaken origin
    /// says two, all gateways still choose the same. Of one page that came twice the older time holds: ages leave out the time
    /// on the way, so they are too small rather than too great.
    pub(crate) fn rank(&self) -> impl Ord + '_ {
        (self.version, &self.cells[..], std::cmp::Reverse(self.said))
    }

    /// Octets that it has in a datagram.
    pub fn encoded_len(&self) -> usize {
        let places = |cell: &Cell| {
            let place = |place: Option<u16>| 2 * usize::from(place.is_some());
            8 * usize::from(cell.group.is_some()) + place(cell.kind) + place(cell.zone) + place(cell.site)
        };
        let cells: usize = self.cells.iter().map(|(cell, _)| 2 + 1 + places(cell) + 5 * 2).sum();
        HEAD - MAX_ORIGIN_BYTES + self.origin.len() + cells
    }

    /// Writes it at the end of a datagram, with the age that it has now.
    pub(crate) fn encode(&self, now: Micros, out: &mut Vec<u8>) {
        out.extend_from_slice(&((self.encoded_len() - 2) as u16).to_be_bytes());
        out.push(FORMAT);
        out.push(self.origin.len() as u8);
        out.extend_from_slice(self.origin.as_bytes());
        out.push(self.number);
        out.extend_from_slice(&self.version.to_be_bytes());
        let age = now.saturating_sub(self.said) / 1_000;
        out.extend_from_slice(&u32::try_from(age).unwrap_or(u32::MAX).to_be_bytes());
        out.push(self.cells.len() as u8);
        for (cell, codes) in &self.cells {
            out.extend_from_slice(&cell.class.to_be_bytes());
            let places = [cell.kind, cell.zone, cell.site];
            let which = |at: usize| u8::from(places[at].is_some()) << (at + 1);
            out.push(u8::from(cell.group.is_some()) | which(0) | which(1) | which(2));
            cell.group.iter().for_each(|group| out.extend_from_slice(&group.to_be_bytes()));
            places.iter().flatten().for_each(|place| out.extend_from_slice(&place.to_be_bytes()));
            codes.iter().for_each(|code| out.extend_from_slice(&code.0.to_be_bytes()));
        }
    }

    /// Reads the pages of a datagram that came at `now`. Pages of newer formats are passed over.
    ///
    /// # Errors
    /// If it is longer than any of ours, cut off, or what it says does not fit.
    pub fn decode_datagram(bytes: &[u8], now: Micros) -> Result<Vec<Page>, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError);
        }
        let (mut rest, mut pages) = (bytes, Vec::new());
        while !rest.is_empty() {
            let (length, behind) = rest.split_first_chunk::<2>().ok_or(DecodeError)?;
            let length = u16::from_be_bytes(*length) as usize;
            let (page, behind) = behind.split_at_checked(length).ok_or(DecodeError)?;
            rest = behind;
            if page.first().is_some_and(|&format| format > FORMAT) {
                continue;
            }
            pages.push(read_page(page, now).ok_or(DecodeError)?);
        }
        Ok(pages)
    }
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (taken, behind) = rest.split_first_chunk::<N>()?;
    *rest = behind;
    Some(*taken)
}

fn read_page(mut rest: &[u8], now: Micros) -> Option<Page> {
    let rest = &mut rest;
    let [format, length] = take(rest)?;
    let (name, behind) = rest.split_at_checked(length as usize)?;
    *rest = behind;
    let origin =
        std::str::from_utf8(name).ok().filter(|n| !n.is_empty() && n.len() <= MAX_ORIGIN_BYTES)?.to_owned();
    let [number] = take(rest)?;
    let version = u64::from_be_bytes(take(rest)?);
    let age = Micros::from(u32::from_be_bytes(take(rest)?)) * 1_000;
    let [count] = take(rest)?;
    if format != FORMAT || number >= MAX_PAGES_PER_ORIGIN || count as usize > MAX_CELLS_PER_PAGE {
        return None;
    }
    let mut cells: Vec<(Cell, [Code; 5])> = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let class = u16::from_be_bytes(take(rest)?);
        let [which] = take(rest)?;
        let group = if which & 1 != 0 { Some(u64::from_be_bytes(take(rest)?)) } else { None };
        let mut places = [None; 3];
        for (at, place) in places.iter_mut().enumerate() {
            if which & 2 << at != 0 {
                *place = Some(u16::from_be_bytes(take(rest)?));
            }
        }
        let [kind, zone, site] = places;
        let mut codes = [Code::default(); 5];
        for code in &mut codes {
            *code = Code(u16::from_be_bytes(take(rest)?));
        }
        let cell = Cell { class, group, kind, zone, site };
        // Each cell once, and in order: one page has one form.
        if which > 15 || cells.last().is_some_and(|last| last.0 >= cell) {
            return None;
        }
        cells.push((cell, codes));
    }
    rest.is_empty().then(|| Page { origin, number, version, said: now.saturating_sub(age), cells })
}
