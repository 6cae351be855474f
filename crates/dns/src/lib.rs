//! DNS, as far as a list of engines needs it. Free of I/O and clock.
//!
//! - [`name`]: domain names (RFC 1035, section 3.1), compared without regard to case.
//! - [`record`]: records and their data, on the wire and as text.
//! - [`message`]: messages, with compression both ways and the framing of TCP.
//! - [`master`]: master files; a damaged record costs itself and nothing else.
//! - [`serial`]: serial arithmetic (RFC 1982).
//! - [`tsig`]: signed messages (RFC 8945).
//! - [`zone`]: a zone as a persistent map: snapshots for nothing, differences in time that grows with the change.
//! - [`update`]: dynamic updates with prerequisites (RFC 2136).

pub mod master;
pub mod message;
pub mod name;
pub mod record;
pub mod serial;
pub mod tsig;
pub mod update;
pub mod zone;
