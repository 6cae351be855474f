//! Versions of settings on which gateways agree, free of I/O and clock: an ordered history, each version committed by a
//! quorum of the configured voters, each acted on under a lease that a quorum has granted.
//!
//! The property: **whoever acts, does only what every version allows that anybody acts on in full at the same true time**,
//! as long as every clock runs within the allowed rate of drift. See `docs/agreement.md` for the argument; [`search`] looks
//! for a counterexample in all interleavings of small cases, with the very code of [`Voter`].

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
