//! Runs a tier on loopback: real router processes, simulated hosts, a host list service and clients. A seeded
//! script injects faults into every link and process, and a judge outside the routers checks the recorded
//! events.

pub mod clients;
pub mod host_model;
pub mod hosts;
pub mod judge;
pub mod list;
pub mod net;
pub mod peers;
pub mod plan;
pub mod record;
pub mod report;
pub mod runner;
pub mod script;
