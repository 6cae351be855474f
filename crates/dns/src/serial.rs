//! Serial arithmetic (RFC 1982): numbers of 32 bits that wrap.

use std::cmp::Ordering;

/// How two serials compare; `None` where they are exactly half of the circle apart, which the RFC leaves undefined.
pub fn compare(a: u32, b: u32) -> Option<Ordering> {
    match a.wrapping_sub(b) {
        0 => Some(Ordering::Equal),
        d if d < 1 << 31 => Some(Ordering::Greater),
        d if d > 1 << 31 => Some(Ordering::Less),
        _ => None,
    }
}

/// Whether `a` is newer than `b`.
pub fn is_newer(a: u32, b: u32) -> bool {
    compare(a, b) == Some(Ordering::Greater)
}

/// The next serial; never 0, which some servers take for "none" (RFC 2136, section 7.11).
pub fn next(serial: u32) -> u32 {
    serial.wrapping_add(1).max(1)
}
