//! The encoding of pages and datagrams.
//!
//! A datagram is a sequence of pages. Integers are big-endian; the numbers below are sizes in bytes.
//!
//! ```text
//! page: length 2 | format 1 | origin length 1 | origin | page number 1 | version 8 | age in ms 4
//!       | cell count 1 | cells
//! cell: class 2 | field mask 1 | group 8 | kind 2 | zone 2 | site 2 | five values of 2 bytes each
//! ```
//!
//! The page length does not include itself. The field mask has one bit for each of group, kind, zone and site,
//! from the lowest bit up; a field whose bit is not set is left out. The values are demand, cost ratio, cost
//! weight, headroom and round trip on a logarithmic scale: 256 steps per power of two, starting at 2^-64; 0
//! encodes zero.

use std::fmt;

use crate::{Cell, Micros, Summary};

/// Largest datagram. Together with the type bytes that the gateway puts in front, it must fit into one
/// application message of membership.
pub const MAX_DATAGRAM_BYTES: usize = 990;
/// Longest name of an origin.
pub const MAX_ORIGIN_BYTES: usize = 48;
/// Most pages of one origin.
pub const MAX_PAGES_PER_ORIGIN: u8 = 8;
/// Most cells on one page. A page of this many cells with all fields present still fits into one datagram.
pub const MAX_CELLS_PER_PAGE: usize = 34;

/// The format version that this code writes.
const FORMAT_VERSION: u8 = 1;
/// Size of a page without its cells, with an origin of the longest name.
const MAX_HEADER_BYTES: usize = 2 + 1 + 1 + MAX_ORIGIN_BYTES + 1 + 8 + 4 + 1;
/// Number of encoded values per cell.
const VALUES_PER_CELL: usize = 5;
/// Size of a cell with all fields present.
const MAX_CELL_BYTES: usize = 2 + 1 + 8 + 2 + 2 + 2 + VALUES_PER_CELL * 2;
const _: () = assert!(MAX_HEADER_BYTES + MAX_CELLS_PER_PAGE * MAX_CELL_BYTES <= MAX_DATAGRAM_BYTES);

/// A datagram is truncated, too long, or contains a malformed page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed digest datagram")
    }
}

impl std::error::Error for DecodeError {}

/// A non-negative value on the logarithmic scale of the encoding. Within the range of the scale the relative
/// error is at most 0.14 %.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogValue(u16);

impl LogValue {
    fn from_f64(value: f64) -> LogValue {
        if value.is_nan() || value <= 0.0 {
            return LogValue(0);
        }
        // The scale starts at 2^-64 and ends just below 2^192.
        LogValue(((value.log2() + 64.0) * 256.0).round().clamp(1.0, f64::from(u16::MAX)) as u16)
    }

    fn to_f64(self) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        (f64::from(self.0) / 256.0 - 64.0).exp2()
    }
}

/// The fields of a [`Summary`], in the order of the encoding.
type EncodedSummary = [LogValue; VALUES_PER_CELL];

fn encode_summary(summary: &Summary) -> EncodedSummary {
    [summary.demand, summary.cost_ratio, summary.cost_weight, summary.headroom, summary.round_trip_us]
        .map(LogValue::from_f64)
}

fn decode_summary(values: &EncodedSummary) -> Summary {
    let [demand, cost_ratio, cost_weight, headroom, round_trip_us] = values.map(LogValue::to_f64);
    Summary { demand, cost_ratio, cost_weight, headroom, round_trip_us }
}

/// Some cells of one origin, all of the same version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    pub(crate) origin: String,
    /// Number of the page among the pages of its origin. A cell is always on the page of the same number.
    pub(crate) number: u8,
    /// Higher for newer pages.
    pub(crate) version: u64,
    /// Creation time by the local clock. The actual creation may be earlier, because the encoded age does not
    /// include the time in transit.
    pub(crate) created_at: Micros,
    /// Sorted by cell.
    pub(crate) cells: Vec<(Cell, EncodedSummary)>,
}

impl Page {
    pub(crate) fn new(
        origin: &str,
        number: u8,
        version: u64,
        created_at: Micros,
        cells: impl Iterator<Item = (Cell, Summary)>,
    ) -> Page {
        let mut cells: Vec<_> = cells.map(|(cell, summary)| (cell, encode_summary(&summary))).collect();
        cells.sort_unstable();
        Page { origin: origin.to_owned(), number, version, created_at, cells }
    }

    /// Returns the name of the gateway that created the page.
    pub fn origin(&self) -> &str {
        &self.origin
    }

    /// Returns the version of the page.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the age of the page, without the time that it spent in transit.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.created_at)
    }

    /// Returns the cells of the page with their summaries.
    pub fn cells(&self) -> impl Iterator<Item = (Cell, Summary)> + '_ {
        self.cells.iter().map(|(cell, values)| (*cell, decode_summary(values)))
    }

    /// Returns the precedence among pages of the same origin and number; the highest is kept.
    ///
    /// A version normally has only one content. If a faulty origin gives one version two contents, the
    /// comparison of the cells makes all gateways choose the same. Of two copies with equal content the one
    /// with the earlier creation time wins: ages do not include the time in transit, so the estimate is never
    /// too early.
    pub(crate) fn precedence(&self) -> impl Ord + '_ {
        (self.version, &self.cells[..], std::cmp::Reverse(self.created_at))
    }

    /// Returns the size of the page in a datagram, in bytes.
    pub fn encoded_len(&self) -> usize {
        let optional_fields = |cell: &Cell| {
            let field_len = |field: Option<u16>| 2 * usize::from(field.is_some());
            8 * usize::from(cell.group.is_some())
                + field_len(cell.kind)
                + field_len(cell.zone)
                + field_len(cell.site)
        };
        let cells: usize =
            self.cells.iter().map(|(cell, _)| 2 + 1 + optional_fields(cell) + VALUES_PER_CELL * 2).sum();
        MAX_HEADER_BYTES - MAX_ORIGIN_BYTES + self.origin.len() + cells
    }

    /// Appends the page to a datagram, with its age at `now`.
    pub(crate) fn encode(&self, now: Micros, out: &mut Vec<u8>) {
        out.extend_from_slice(&((self.encoded_len() - 2) as u16).to_be_bytes());
        out.push(FORMAT_VERSION);
        out.push(self.origin.len() as u8);
        out.extend_from_slice(self.origin.as_bytes());
        out.push(self.number);
        out.extend_from_slice(&self.version.to_be_bytes());
        let age_ms = now.saturating_sub(self.created_at) / 1_000;
        out.extend_from_slice(&u32::try_from(age_ms).unwrap_or(u32::MAX).to_be_bytes());
        out.push(self.cells.len() as u8);
        for (cell, values) in &self.cells {
            out.extend_from_slice(&cell.class.to_be_bytes());
            let fields = [cell.kind, cell.zone, cell.site];
            let mask_bit = |index: usize| u8::from(fields[index].is_some()) << (index + 1);
            out.push(u8::from(cell.group.is_some()) | mask_bit(0) | mask_bit(1) | mask_bit(2));
            cell.group.iter().for_each(|group| out.extend_from_slice(&group.to_be_bytes()));
            fields.iter().flatten().for_each(|field| out.extend_from_slice(&field.to_be_bytes()));
            values.iter().for_each(|value| out.extend_from_slice(&value.0.to_be_bytes()));
        }
    }

    /// Decodes the pages of a datagram that was received at `now`. Pages of a newer format are skipped.
    ///
    /// # Errors
    /// If the datagram is longer than [`MAX_DATAGRAM_BYTES`], truncated, or contains a malformed page.
    pub fn decode_datagram(datagram: &[u8], now: Micros) -> Result<Vec<Page>, DecodeError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError);
        }
        let (mut remaining, mut pages) = (datagram, Vec::new());
        while !remaining.is_empty() {
            let (length, after_length) = remaining.split_first_chunk::<2>().ok_or(DecodeError)?;
            let length = u16::from_be_bytes(*length) as usize;
            let (page, after_page) = after_length.split_at_checked(length).ok_or(DecodeError)?;
            remaining = after_page;
            if page.first().is_some_and(|&format| format > FORMAT_VERSION) {
                continue;
            }
            pages.push(decode_page(page, now).ok_or(DecodeError)?);
        }
        Ok(pages)
    }
}

/// Removes the first `N` bytes of the input.
fn take_bytes<const N: usize>(input: &mut &[u8]) -> Option<[u8; N]> {
    let (taken, remaining) = input.split_first_chunk::<N>()?;
    *input = remaining;
    Some(*taken)
}

fn decode_page(mut input: &[u8], now: Micros) -> Option<Page> {
    let input = &mut input;
    let [format, origin_len] = take_bytes(input)?;
    let (origin, remaining) = input.split_at_checked(origin_len as usize)?;
    *input = remaining;
    let origin = std::str::from_utf8(origin).ok()?;
    if origin.is_empty() || origin.len() > MAX_ORIGIN_BYTES {
        return None;
    }
    let [number] = take_bytes(input)?;
    let version = u64::from_be_bytes(take_bytes(input)?);
    let age = Micros::from(u32::from_be_bytes(take_bytes(input)?)) * 1_000;
    let [cell_count] = take_bytes(input)?;
    if format != FORMAT_VERSION || number >= MAX_PAGES_PER_ORIGIN || cell_count as usize > MAX_CELLS_PER_PAGE
    {
        return None;
    }
    let mut cells: Vec<(Cell, EncodedSummary)> = Vec::with_capacity(cell_count as usize);
    for _ in 0..cell_count {
        let class = u16::from_be_bytes(take_bytes(input)?);
        let [field_mask] = take_bytes(input)?;
        let group = if field_mask & 1 != 0 { Some(u64::from_be_bytes(take_bytes(input)?)) } else { None };
        let mut fields = [None; 3];
        for (index, field) in fields.iter_mut().enumerate() {
            if field_mask & 2 << index != 0 {
                *field = Some(u16::from_be_bytes(take_bytes(input)?));
            }
        }
        let [kind, zone, site] = fields;
        let mut values = EncodedSummary::default();
        for value in &mut values {
            *value = LogValue(u16::from_be_bytes(take_bytes(input)?));
        }
        let cell = Cell { class, group, kind, zone, site };
        // Unknown mask bits, duplicate cells and unsorted cells are rejected, so a page has exactly one
        // encoding.
        if field_mask > 0b1111 || cells.last().is_some_and(|(last, _)| *last >= cell) {
            return None;
        }
        cells.push((cell, values));
    }
    let created_at = now.saturating_sub(age);
    input.is_empty().then(|| Page { origin: origin.to_owned(), number, version, created_at, cells })
}
