//! A client library for violetward's gateways.
//!
//! A statement has four endings here: rows, [`Ending::Refused`] (harmless to try again, and when), [`Ending::Failed`] (it
//! may have run) and, what only a library can know, [`Ending::Unknown`] (the connection broke and nobody can say).
//! By default the gateway alone makes attempts; what the library may send again is one table, `resend.json`, shared with the
//! library for Python.
//!
//! - [`resend`]: the decision to send again, and its budget over the process. Free of I/O and clock.
//! - [`choice`]: which gateway: power of two choices, ejection, slow return. Free of I/O and clock.
//! - [`pace`]: how fast pages are asked for. Free of I/O and clock.
//! - [`client`]: carries both out over the statement protocol.
//! - [`service`]: both protocols behind one interface.
//! - [`kernel`]: the same endings over the notebook kernel protocol.

pub mod choice;
pub mod client;
pub mod kernel;
pub mod pace;
pub mod resend;
pub mod service;

pub use client::{Batch, Cancelled, Canceller, Client, Ending, Options, Query, Rows, Running};
pub use service::Service;

pub use kernel::{Interrupter, KernelClient, Kernels};
