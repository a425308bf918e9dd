//! Messages of PostgreSQL's protocol, version 3: framing, encoding, validation of what database hosts send,
//! and parsing of the statements that the router accepts. The crate does no I/O and parses in place: what is
//! found is returned as ranges or slices of the caller's buffer.

pub mod encode;
pub mod frame;
pub mod statement;
pub mod validate;
