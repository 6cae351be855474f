//! Stand-in engines: the engine's side of the statement protocol over an embedded SQL library, with a cost model
//! beside it and faults on order. For demos, tests and experiments on loopback; no engine for real work.
//!
//! - [`model`]: cores, disks, memory, cold starts; free of I/O and clock.
//! - [`data`]: the league's rows, made from a seed.
//! - [`fault`]: what can be made to go wrong.
//! - [`hint`]: how a statement tells what it costs.
//! - [`journal`]: what an engine writes down of what it was sent; the rule checker reads it.
//! - [`server`]: the engine itself.
//! - [`platform`]: an engine and a resolver of a platform that speaks RESP and DNS.

pub mod data;
pub mod fault;
pub mod hint;
pub mod journal;
pub mod model;
pub mod platform;
pub mod server;
pub mod sessions;
