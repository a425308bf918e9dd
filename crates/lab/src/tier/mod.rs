//! A tier on loopback: real router processes, stand-in hosts, a list and clients, with faults on every link and process by
//! a script with a seed, and an outside judge of what came of it.

pub mod clients;
pub mod hosts;
pub mod judge;
pub mod list;
pub mod machine;
pub mod net;
pub mod peers;
pub mod plan;

pub mod record;
pub mod report;
pub mod runner;
pub mod script;
