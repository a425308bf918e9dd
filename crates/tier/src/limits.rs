//! The limits of one router's gossip.

/// Fan-outs, rates and intervals of gossip.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Limits of the membership protocol.
    pub members: magpiewell_members::Limits,
    /// Limits of the fact store and its send queue.
    pub facts: magpiewell_facts::Limits,
    /// Number of members to which new facts and updates are sent immediately.
    pub fanout: usize,
    /// Capacity of the token bucket: immediate datagrams that may be sent in one burst.
    pub urgent_burst: f64,
    /// Refill rate of the token bucket: sustained immediate datagrams per second.
    pub urgent_per_second: f64,
    /// Maximum number of entries of a datagram that are reserved for member updates; facts may take the
    /// others.
    pub max_reserved_for_updates: usize,
    /// Whether to detect the loss of whole zones, and to gossip the age of each zone's latest sign of life.
    pub zone_evidence: bool,
    /// Whether to request missing primaries from other routers while primaries are changing.
    pub pull_facts: bool,
    /// Interval between such requests. Each takes two tokens of the token bucket: for itself and its
    /// response.
    pub pull_period_ms: f64,
    /// Maximum number of datagrams accepted from one sender per second.
    pub max_received_per_second: u32,
    /// Number of members to which this router announces that it leaves.
    pub leave_fanout: usize,
    /// Number of other routers that must report a host as unresponsive before an event is emitted.
    pub unresponsive_quorum: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            members: magpiewell_members::Limits::default(),
            facts: magpiewell_facts::Limits::default(),
            fanout: 4,
            urgent_burst: 8.0,
            urgent_per_second: 4.0,
            max_reserved_for_updates: 6,
            zone_evidence: false,
            pull_facts: false,
            pull_period_ms: 625.0,
            max_received_per_second: 40,
            leave_fanout: 6,
            unresponsive_quorum: 2,
        }
    }
}
