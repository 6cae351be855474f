//! Contracts: properties that every implementation of a trait must keep, written once a trait. A contract draws sequences of
//! operations from a seed, plays them on an implementation beside a plain model, and shrinks what fails. Broken
//! implementations stand in the tests: a contract that does not find its own is no contract.

pub mod store;
pub mod transport;
