//! Agreement among gateways on versions of the settings, without I/O and without reading a clock: an ordered
//! history of versions, each committed by a quorum of the configured voters. A gateway applies versions under
//! a lease that a quorum has granted.
//!
//! The safety property: **whoever acts does only what is allowed by every version that any gateway applies in
//! full at the same true time**, as long as the rate of each clock stays within the allowed drift.
//! `docs/agreement.md` has the proof; [`search`] looks for a counterexample in all interleavings of small
//! cases, and runs the same [`Voter`] as the gateways do.

mod history;
mod lists;
mod member;
pub mod search;
pub mod sim;
mod voter;
pub mod wire;

pub use history::{History, Version, MAX_VERSIONS};
pub use lists::{Claim, EngineClaims, EngineState, ListEffect, CLAIM_TTL_MICROS};
pub use member::{Check, Effect, Fitness, Member, MemberTerms, Outcome, ProposeError};
pub use voter::{
    abstain_through, Ballot, DurableState, Effect as VoterEffect, InjectedFault, Message, Micros, Terms,
    Voter, MAX_GRANTS,
};
