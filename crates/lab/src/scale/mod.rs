//! Scale tests in real time: some hundred hollow routers, many to a process, beside real router processes
//! on loopback.
//!
//! A hollow router runs the real membership, fact and datagram code over a real UDP socket of its own; it
//! has no clients and no hosts. `docs/design/scale.md` says what is real, what is hollow and how a verdict
//! is reached.

pub mod fault;
pub mod hollow;
pub mod hollow_process;
pub mod judge;
pub mod message;
pub mod plan;
pub mod prove;
pub mod real;
pub mod recorder;
pub mod report;
pub mod runner;
