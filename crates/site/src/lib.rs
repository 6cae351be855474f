//! What the loss of a whole site leaves, free of I/O and clock: where its load goes, what is refused first, and which limit
//! breaks first. See `docs/site-loss.md`.

pub mod plan;
