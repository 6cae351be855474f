//! The query gateway: the fronts that clients connect to, the core that decides, and the connections to
//! engines.
//!
//! The following modules perform no I/O and read no clock: [`core`], [`sessions`], and the terms they work
//! with, [`terms`], [`record`] and [`rules`], which are independent of any syntax; [`forms`], the reader of
//! S-expressions, and what is read with it, [`config`] and [`list`].
//!
//! The I/O is done by [`host`] (effects of the core, timers, probes), [`engine`] (an attempt on an engine),
//! [`front`] (the statement API), [`notebook`] (a notebook kernel), [`watch`] (the file of the engine list)
//! and [`peers`] (datagrams between gateways). [`service`] starts and stops them.

pub mod agreement;
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
pub mod unfinished;
pub mod watch;
pub mod windows;
pub mod zone_responder;
pub mod zone_server;
