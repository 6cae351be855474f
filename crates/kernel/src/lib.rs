//! The notebook kernel protocol, without any I/O.
//!
//! - [`zmtp`]: ZMTP 3.0 (ZeroMQ RFC 23) with the NULL mechanism: greeting, handshake, frames, whole messages.
//! - [`message`]: Jupyter messages, version 5.x: signed parts in, signed parts out; replays are dropped.
//! - [`kernel`]: what a kernel answers to each request, and what it asks its host to run.

pub mod kernel;
pub mod message;
pub mod zmtp;
