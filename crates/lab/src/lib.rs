//! Demo, scripted bad days, replays of troubles, and the rule checker.
//!
//! - [`fleet`]: engines and gateways of a day, with their files.
//! - [`demo`]: one command that starts all and shows what happens.

pub mod demo;
pub mod fleet;
