//! Parameters and bounds of the membership protocol.

/// Periods, counts and multipliers of the failure detector and of gossip.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Mean time between two direct probes.
    pub probe_period_ms: f64,
    /// How long a direct probe waits for its ack before indirect probes are requested; multiplied by
    /// this router's health multiplier. A member that has not answered by the end of the probe period is
    /// suspected.
    pub ack_timeout_ms: f64,
    /// Number of members that are asked to probe a member that did not answer the direct probe.
    pub indirect_probes: usize,
    /// Suspicion timeout, in probe periods per power of ten of the number of counted members (at least one
    /// power).
    pub suspicion_multiplier: f64,
    /// Transmissions of an update per doubling of the roster size.
    pub retransmit_multiplier: f64,
    /// Every this many probe periods, a member is probed that is dead, has left or is in a silent group, so
    /// that the sides of a partition find each other again when it heals.
    pub dead_probe_interval: u32,
    /// Time between two ticks beyond which this router's own process is taken to have been paused.
    pub pause_threshold_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            probe_period_ms: 1_250.0,
            ack_timeout_ms: 250.0,
            indirect_probes: 3,
            suspicion_multiplier: 3.0,
            retransmit_multiplier: 2.0,
            dead_probe_interval: 4,
            pause_threshold_ms: 400.0,
        }
    }
}

/// Maximum roster size: the simulated sizes with a margin. Member numbers would allow 65,536.
pub const MAX_MEMBERS: usize = 8_192;

/// Maximum number of concurrent suspicions raised by a router's own probes. Further members are suspected
/// later, when an earlier suspicion has ended.
pub(crate) const MAX_OWN_SUSPICIONS: usize = 64;

/// Upper limit of the local health penalty; the health multiplier is the penalty plus one.
pub(crate) const MAX_HEALTH_PENALTY: u32 = 5;

/// Maximum number of outstanding pings on behalf of other members; further requests are ignored.
pub(crate) const MAX_RELAYED_PINGS: usize = 32;

/// Factor by which probe periods are extended while the local health penalty is above zero.
pub(crate) const UNHEALTHY_PERIOD_FACTOR: f64 = 4.0 / 3.0;
