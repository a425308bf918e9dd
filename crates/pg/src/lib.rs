//! PostgreSQL's protocol, version 3: framing, heads of statements, words that a router says. No I/O, and
//! what is read stays where it stands in its buffer.

pub mod encode;
pub mod frame;
pub mod statement;
pub mod validate;
