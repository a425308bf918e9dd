//! Limits of the store and the queue.

/// Maximum sizes, lifetimes and counts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Groups in the store; beyond this, the one with the oldest observation is evicted and counted.
    pub max_groups: usize,
    /// Hosts in the store; beyond this, the one with the oldest observation is evicted and counted.
    pub max_hosts: usize,
    /// Origins whose reports of a host as unresponsive, and likewise as slow, are stored.
    pub max_origins: usize,
    /// How long an observed primary is valid.
    pub primary_lifetime_ms: f64,
    /// Maximum age of the primaries that a digest covers.
    pub digest_window_ms: f64,
    /// How long after learning a new primary a router pulls missing ones from others.
    pub pull_window_ms: f64,
    /// How long an observed replica lag is valid.
    pub replica_lag_lifetime_ms: f64,
    /// How long a report of an unresponsive or slow host is valid.
    pub degradation_lifetime_ms: f64,
    /// Maximum clock skew between routers: facts with a timestamp further in the future are rejected.
    pub max_clock_skew_ms: f64,
    /// How many times a router sends a fact.
    pub transmit_limit: u8,
    /// Facts in the queue to be sent; the first one is dropped when it is full.
    pub max_queued: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_groups: 8_192,
            max_hosts: 16_384,
            max_origins: 4,
            primary_lifetime_ms: 60_000.0,
            digest_window_ms: 15_000.0,
            pull_window_ms: 5_000.0,
            replica_lag_lifetime_ms: 3_000.0,
            degradation_lifetime_ms: 4_000.0,
            max_clock_skew_ms: 1_500.0,
            transmit_limit: 10,
            max_queued: 256,
        }
    }
}
