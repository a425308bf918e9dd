//! The laboratory: measures router processes on loopback, between stand-ins for clients, hosts and the list
//! service. Load and duration are bounded.

pub mod capacity;
pub mod client;
pub mod demo;
pub mod flood;
pub mod host;
pub mod limit;
pub mod log;
pub mod process;
pub mod scale;
pub mod spread;
pub mod throttle;
pub mod tier;
