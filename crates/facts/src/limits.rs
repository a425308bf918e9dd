//! The settings of the store and of the queue.

/// Sizes and lifetimes of what is kept; all times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Groups of which anything is kept; beyond it the oldest is dropped and counted.
    pub max_groups: usize,
    /// Hosts of which anything is kept; beyond it the oldest is dropped and counted.
    pub max_hosts: usize,
    /// Origins kept of the complaints about one host.
    pub max_origins: usize,
    /// How long a group's primary is of use.
    pub primary_lifetime: f64,
    /// A digest covers the primaries observed within so long.
    pub digest_window: f64,
    /// For so long after a router has learned a primary it asks others for more.
    pub pull_window: f64,
    /// How long a replica's lag is of use.
    pub replica_lag_lifetime: f64,
    /// How long it is of use that a host was unresponsive or slow.
    pub degradation_lifetime: f64,
    /// Facts dated further ahead than this are rejected: clocks may differ by no more.
    pub max_clock_skew: f64,
    /// How often one fact is sent.
    pub transmit_limit: u8,
    /// Facts that wait to be sent; the oldest is dropped first.
    pub max_queued: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_groups: 8_192,
            max_hosts: 16_384,
            max_origins: 4,
            primary_lifetime: 60_000.0,
            digest_window: 15_000.0,
            pull_window: 5_000.0,
            replica_lag_lifetime: 3_000.0,
            degradation_lifetime: 4_000.0,
            max_clock_skew: 1_500.0,
            transmit_limit: 10,
            max_queued: 256,
        }
    }
}
