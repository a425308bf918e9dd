//! Scale tests in real time: several hundred hollow routers, many per process, beside real router processes
//! on loopback.
//!
//! A hollow router is a simulated member of the tier without traffic: it runs the real membership, fact and
//! datagram code over its own UDP socket, but has no clients and no hosts. `docs/design/scale.md` describes
//! what is real, what is hollow and how a verdict is reached.

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
