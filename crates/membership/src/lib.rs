//! Membership among gateways, free of I/O and clock: who lives, who can hear whom, and which share of the fleet that
//! leaves to this gateway.
//!
//! [`Membership`] is a state machine: datagrams and wake-ups in, [`Effect`]s out, times in microseconds of a clock that
//! never goes back. It follows SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health and confirmations
//! (Dadgar, Phillips, Currey, 2018); what it does beyond them is told in `docs/membership.md`. [`sim`] plays whole
//! fleets of it on a virtual network.

mod machine;
pub mod share;
pub mod sim;
pub mod wire;

pub use machine::{Change, Config, Counts, Effect, Link, MemberView, Membership, Micros, Standing};
pub use wire::{Demand, Key, Keys, Record, Rejection, State};
