//! Group membership of gateways, free of I/O and clocks: which gateways are alive, which links between them
//! work, and what share of the engine fleet this gateway may use as a result.
//!
//! [`Membership`] is a state machine: it takes datagrams and wake-ups, and returns [`Effect`]s. Times are
//! microseconds of a monotonic clock. The protocol is SWIM (Das, Gupta, Motivala, 2002) with the local health
//! score and the suspicion confirmations of Lifeguard (Dadgar, Phillips, Currey, 2018); `docs/membership.md`
//! describes the extensions. [`sim`] runs whole fleets of members on a simulated network.

mod machine;
pub mod share;
pub mod sim;
pub mod wire;

pub use machine::{Change, Config, Counts, Effect, Link, MemberView, Membership, Micros, Standing};
pub use wire::{Demand, Key, Keys, Record, Rejection, State};
