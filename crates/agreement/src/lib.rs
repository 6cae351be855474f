//! Versions of settings on which gateways agree, free of I/O and clock: an ordered history, each version committed by a
//! quorum of the configured gateways, each acted on under a lease that a quorum has granted.
//!
//! The property: **no two gateways hold leases on different versions at the same true time**, as long as every clock runs
//! within the allowed rate of drift. See `docs/agreement.md` for the argument; [`search`] looks for a counterexample in
//! all interleavings of small cases, with the very code of [`Voter`].

mod history;
pub mod search;
mod voter;

pub use history::{History, Version};
pub use voter::{Ballot, Effect, Kept, Message, Micros, Plant, Terms, Voter};
