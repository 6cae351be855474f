//! Demo, scripted bad days, replays of troubles, and the rule checker.
//!
//! - [`demo`]: one command that starts all and shows what happens.
//! - [`fleet`]: the files of a fleet; [`process`]: its processes.
//! - [`client`]: one statement, as a client sees it; [`load`]: many, drawn from a seed.
//! - [`trouble`]: what goes wrong on a day; [`day`]: a day from start to end.
//! - [`checker`]: the seven rules, from what passed on the sockets; [`report`]: a day in a table.
//! - [`cluster`]: several processes, with faults between them.
//! - [`agreement`]: simulated fleets that agree on settings, in figures.
//! - [`siteplan`]: what the loss of a site would leave.
//! - [`membership`]: simulated fleets of gateways in figures.
//! - [`overhead`]: what the gateway costs against a bare relay; [`speed`]: speeds of its parts.
//! - [`soak`]: gateways of a platform as processes, under days of overlapping faults.
//! - [`storm`]: a thousand library clients while gateways restart.
//! - [`baseline`]: random choice and least in flight, to run the same day with.

pub mod agreement;
pub mod baseline;
pub mod checker;
pub mod client;
pub mod cluster;
pub mod day;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod membership;
pub mod overhead;
pub mod pinned;
pub mod process;
pub mod readlog;
pub mod report;
pub mod script;
pub mod siteplan;
pub mod soak;
pub mod speed;
pub mod storm;
pub mod trouble;
