//! Sessions that live on one engine: an open transaction, or temporary tables. Free of I/O and clock.
//!
//! - [`kind`]: which statements open, end or need such a session.
//! - [`table`]: what a session holds, on which engine and in which life of its process; limits; losses.
//! - [`index`]: the compact index under the table.
//! - [`token`]: what the client carries, so that another gateway can go on with the session.
//! - [`recipe`]: how temporary tables are rebuilt elsewhere, where their client allows it.
//! - [`reserve`]: which statements of open transactions go before new work.

pub mod index;
pub mod kind;
pub mod recipe;
pub mod reserve;
pub mod table;
pub mod token;
