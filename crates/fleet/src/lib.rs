//! A simulation of a whole fleet of routers in virtual time. Each router runs the real membership, fact and
//! datagram code; the simulated network delays and loses datagrams and can be partitioned. The simulation
//! compares what the routers believe with the true state, at sizes that no machine could run as processes.

pub mod fleet;
pub mod measure;
pub mod network;
pub mod prove;
pub mod random;
pub mod router;
pub mod scenario;
