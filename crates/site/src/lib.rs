//! The loss of a whole site, free of I/O and clock: how it is told from what only looks like one ([`state`]), what it would
//! cost ([`plan`], [`projection`]), and what a gateway does about it ([`act`]). [`sim`] plays whole fleets under a virtual
//! clock. See `docs/site-loss.md`.

pub mod act;
pub mod plan;
pub mod projection;
pub mod sim;
pub mod state;
