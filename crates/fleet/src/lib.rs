//! A simulation in virtual time of a whole fleet of routers: each runs the real membership, fact and datagram code, the
//! network between them delays, loses and parts. It measures what the routers believe against what is true, at sizes
//! that no machine could run as processes.

pub mod fleet;
pub mod measure;
pub mod network;
pub mod prove;
pub mod random;
pub mod router;
pub mod scenario;
