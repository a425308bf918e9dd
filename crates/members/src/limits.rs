//! The protocol's settings.

/// Periods, counts and multipliers of the failure detector and of gossip.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time between two direct probes, in ms.
    pub probe_period: f64,
    /// How long a direct probe waits for its ack before others are asked to probe, in ms. A member that has
    /// not answered by the end of the probe period is suspected. Multiplied by this router's health
    /// multiplier.
    pub ack_timeout: f64,
    /// Members asked to probe one that did not answer directly.
    pub indirect_probes: usize,
    /// Duration of a suspicion, in probe periods for each power of ten of counted members (at least one
    /// power).
    pub suspicion_multiplier: f64,
    /// Transmissions of one update, for each doubling of the roster.
    pub retransmit_multiplier: f64,
    /// One probe period in so many probes a member that is dead or has left, so that partitions find each
    /// other again.
    pub dead_probe_interval: u32,
    /// Time between two ticks, in ms, beyond which this router's own process must have been paused.
    pub pause_threshold: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            probe_period: 1_250.0,
            ack_timeout: 250.0,
            indirect_probes: 3,
            suspicion_multiplier: 3.0,
            retransmit_multiplier: 2.0,
            dead_probe_interval: 4,
            pause_threshold: 400.0,
        }
    }
}

/// The most members of a roster: what was simulated, with room; numbers would go to 65,536.
pub const MAX_MEMBERS: usize = 8_192;

/// Members that one router suspects by its own probes at one time. Further ones are suspected when there is room.
pub(crate) const MAX_OWN_SUSPICIONS: usize = 64;

/// The most that the local health penalty grows to; the health multiplier is one more.
pub(crate) const MAX_HEALTH_PENALTY: u32 = 5;

/// Pings relayed for other members at one time; further requests are ignored.
pub(crate) const MAX_RELAYED_PINGS: usize = 32;

/// The factor by which probe periods are stretched while the local health penalty is above zero.
pub(crate) const UNHEALTHY_PERIOD_FACTOR: f64 = 4.0 / 3.0;
