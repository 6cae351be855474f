//! The query gateway of a platform on which clients speak framed Thrift, engines speak RESP, and the engines
//! are listed in DNS. The gateway leaves every decision to the decision module, [`violetward::Gateway`].
//!
//! Without I/O and clock: [`core`] (requests, attempts, timers), [`call`] and [`group`] (parsing of
//! requests), [`link`] (the protocol on a connection to an engine), [`list`] (the list of engines),
//! [`config`], [`freshness`], [`standstill`] and [`starts`].
//!
//! With I/O: [`front`], [`client`], [`requests`] and [`closing`] (client connections), [`engine`]
//! (connections to engines), [`resolver`] (polling of the list), [`host`] (shared state), [`service`] (start
//! and reload) and [`shutdown`].

pub mod call;
pub mod client;
pub mod closing;
pub mod config;
pub mod core;
pub mod engine;
pub mod engine_evidence;
pub mod freshness;
pub mod front;
pub mod group;
pub mod host;
pub mod link;
pub mod list;
pub mod recent_ids;
pub mod requests;
pub mod resolver;
pub mod result_flow;
pub mod service;
pub mod shutdown;
pub mod standstill;
pub mod starts;
