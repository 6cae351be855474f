//! The query gateway: fronts that clients speak to, the core that owns the decisions, and engine connections.
//!
//! Free of I/O and clock: [`core`] and what it stands on, [`terms`], [`record`] and [`rules`], which know no syntax; [`forms`]
//! and what is read from it, [`config`] and [`list`]. What moves bytes: [`host`] (the core's
//! effects, timers, probes), [`engine`] (one attempt on one engine), [`front`] (the statement API), [`notebook`]
//! (a notebook kernel), [`watch`] (the
//! engine list's file), [`peers`] (datagrams among gateways); [`service`] ties them together.

pub mod agreed;
pub mod config;
pub mod core;
pub mod custody;
pub mod custody_terms;
pub mod engine;
mod fetch;
pub mod forms;
pub mod front;
pub mod host;
pub mod list;
pub mod membership;
pub mod metrics;
pub mod notebook;
pub mod outage;
pub mod peers;
pub mod record;
pub mod rules;
pub mod service;
pub mod sessions;
pub mod terms;
pub mod timestamp;
pub mod updates;
pub mod watch;
pub mod windows;
pub mod zonefront;
