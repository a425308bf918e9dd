//! One fact: what a router observed, and when.

use crate::Limits;

/// A host's name in facts: the same at every router.
pub type HostKey = u32;
/// A group's name in facts: the same at every router.
pub type GroupKey = u32;

/// What a router observed of a group or a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// This host showed itself to be the group's primary.
    Primary { group: GroupKey, host: HostKey },
    /// The replica lagged this many ms behind its log.
    ReplicaLag { host: HostKey, ms: u32 },
    /// Nothing came back from the host: a probe was not answered, or sends were overtaken by later ones.
    Unresponsive { host: HostKey },
    /// So many reads took this many hundredths of the time that the host's ops usually take.
    Slow { host: HostKey, latency_percent: u16, reads: u16 },
}

/// An observation, its origin and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fact {
    /// What was observed.
    pub observation: Observation,
    /// The number of the router that made the observation itself.
    pub origin: u16,
    /// When it was made, by the origin's clock.
    pub observed_at: f64,
}

impl Observation {
    /// How long the observation is of use, in ms.
    fn lifetime(&self, limits: &Limits) -> f64 {
        match self {
            Observation::Primary { .. } => limits.primary_lifetime,
            Observation::ReplicaLag { .. } => limits.replica_lag_lifetime,
            Observation::Unresponsive { .. } | Observation::Slow { .. } => limits.degradation_lifetime,
        }
    }
}

impl Fact {
    pub(crate) fn is_expired(&self, now: f64, limits: &Limits) -> bool {
        now - self.observed_at > self.observation.lifetime(limits)
    }

    /// Whether a queued fact is about the same thing as a newer one, which is then enough to send.
    pub(crate) fn is_superseded_by(&self, newer: &Fact) -> bool {
        use Observation::{Primary, ReplicaLag, Slow, Unresponsive};
        let same_origin = self.origin == newer.origin;
        match (self.observation, newer.observation) {
            (Primary { group: a, .. }, Primary { group: b, .. }) => a == b,
            (ReplicaLag { host: a, .. }, ReplicaLag { host: b, .. }) => a == b,
            (Unresponsive { host: a }, Unresponsive { host: b }) => a == b && same_origin,
            (Slow { host: a, .. }, Slow { host: b, .. }) => a == b && same_origin,
            _ => false,
        }
    }
}
