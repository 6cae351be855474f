//! The query gateway of a platform: clients come by framed Thrift, engines are spoken to by RESP, and the list of
//! engines comes from DNS. Every decision is the module's.
//!
//! Free of I/O and clock: [`core`] (requests, attempts, timers), [`call`] and [`group`] (what a client sent), [`link`]
//! (a connection to an engine), [`list`] (the list of engines), [`config`]. What moves bytes: [`front`] with [`client`],
//! [`requests`] and [`closing`], [`engine`], [`resolver`]; [`service`] ties them together, [`shutdown`] ends them.

pub mod call;
pub mod client;
pub mod closing;
pub mod config;
pub mod core;
pub mod engine;
pub mod front;
pub mod group;
pub mod host;
pub mod link;
pub mod list;
pub mod requests;
pub mod resolver;
pub mod service;
pub mod shutdown;
pub mod standstill;
pub mod starts;
