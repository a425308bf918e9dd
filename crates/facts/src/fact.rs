//! Facts: observations with their origin and timestamp.

use crate::Limits;

/// A host's key in facts, identical on every router.
pub type HostKey = u32;
/// A group's key in facts, identical on every router.
pub type GroupKey = u32;

/// A router's observation of a group or a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The host answered as the group's primary.
    Primary { group: GroupKey, host: HostKey },
    /// The replica was this many ms behind the primary's log.
    ReplicaLag { host: HostKey, lag_ms: u32 },
    /// The host did not respond: a probe was not answered, or sends were overtaken by later ones.
    Unresponsive { host: HostKey },
    /// This many reads took this percentage of the host's usual op latency.
    Slow { host: HostKey, latency_percent: u16, reads: u16 },
}

/// An observation with its origin and timestamp.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fact {
    pub observation: Observation,
    /// The roster number of the router that made the observation, not of one that forwarded it.
    pub origin: u16,
    /// When it was made, in Unix ms by the origin's clock.
    pub observed_at: f64,
}

impl Observation {
    /// How long the observation is valid, in ms.
    fn lifetime_ms(&self, limits: &Limits) -> f64 {
        match self {
            Observation::Primary { .. } => limits.primary_lifetime_ms,
            Observation::ReplicaLag { .. } => limits.replica_lag_lifetime_ms,
            Observation::Unresponsive { .. } | Observation::Slow { .. } => limits.degradation_lifetime_ms,
        }
    }
}

impl Fact {
    pub(crate) fn is_expired(&self, now: f64, limits: &Limits) -> bool {
        now - self.observed_at > self.observation.lifetime_ms(limits)
    }

    /// Whether a newer fact has the same subject, so that this one need not be sent any more.
    pub(crate) fn is_superseded_by(&self, newer: &Fact) -> bool {
        use Observation::{Primary, ReplicaLag, Slow, Unresponsive};
        let is_same_origin = self.origin == newer.origin;
        match (self.observation, newer.observation) {
            (Primary { group: a, .. }, Primary { group: b, .. }) => a == b,
            (ReplicaLag { host: a, .. }, ReplicaLag { host: b, .. }) => a == b,
            (Unresponsive { host: a }, Unresponsive { host: b }) => a == b && is_same_origin,
            (Slow { host: a, .. }, Slow { host: b, .. }) => a == b && is_same_origin,
            _ => false,
        }
    }
}
