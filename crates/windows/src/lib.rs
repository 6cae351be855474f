//! Times at which engines may be taken away while what remains still covers every cell; free of I/O and clock. See
//! `docs/windows.md`.
//!
//! [`profile`] learns demand by time of the week, [`cover`] judges whether what remains covers it, [`find`] looks for windows
//! and schedules, and [`held`] holds those that were granted: what may be granted beside what, and when one begins, is called
//! off and ends.

pub mod cover;
pub mod find;
pub mod held;
pub mod profile;

pub use violetward_digest::{Cell, Micros};

/// Microseconds since the Unix epoch.
pub type Wall = u64;
