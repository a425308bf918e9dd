//! The settings of one router's part in its tier.

/// Sizes, counts and rates; times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Settings of the membership protocol.
    pub members: magpiewell_members::Limits,
    /// Settings of the facts that are kept and sent.
    pub facts: magpiewell_facts::Limits,
    /// Members that new facts are sent to at once.
    pub fanout: usize,
    /// Such urgent datagrams that may be sent together.
    pub urgent_burst: f64,
    /// Such urgent datagrams a second beyond the burst.
    pub urgent_per_second: f64,
    /// Entries of one datagram that updates of members may take where facts wait as well.
    pub max_updates: usize,
    /// Whether this router judges whole zones, and tells others how long it has heard nothing of each.
    pub zone_evidence: bool,
    /// Whether this router asks others for primaries that it lacks while primaries are changing.
    pub pull_facts: bool,
    /// One such request goes out so often, in ms, while the token bucket has room for it and its answer.
    pub pull_period_ms: f64,
    /// Datagrams of one sender that are accepted a second.
    pub max_received_per_second: u32,
    /// Members that are told that this router leaves.
    pub leave_fanout: usize,
    /// Other routers that must report a host as unresponsive before it is passed on.
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
            max_updates: 6,
            zone_evidence: false,
            pull_facts: false,
            pull_period_ms: 625.0,
            max_received_per_second: 40,
            leave_fanout: 6,
            unresponsive_quorum: 2,
        }
    }
}
