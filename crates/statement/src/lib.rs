//! HTTP/1.1 and the statement protocol (the public client REST protocol of Trino), without any I/O.
//!
//! - [`http`]: an incremental, bounded reader of requests and responses, and their writers (RFC 9110, 9112).
//! - [`results`]: the documents of the statement protocol, its errors and its paths.
//! - [`pages`]: the pages of one statement, for whoever serves them.
//! - [`session`]: the `X-Trino-*` headers that travel with a statement.
//! - [`text`]: the little that is read of a statement's text.

pub mod carried;
pub mod http;
pub mod pages;
pub mod results;
pub mod session;
pub mod text;
