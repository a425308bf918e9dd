//! What routers of a tier tell one another about groups and hosts. Each fact has an origin, a time and an
//! expiry, and any set of facts merges in any order to the same state. No I/O, no clock, no threads. Times
//! are Unix ms.
//!
//! A fact is one router's observation. It may make others more careful, save them a probe or point them to a
//! host; what it says of positions never makes a read fresh enough, and no op is sent again because of it. So
//! the store answers few questions: which host was last seen as a group's primary, how far a replica lagged
//! at some time, and whether several routers had no answer from a host, or slow ones.

mod digest;
mod fact;
mod latest;
mod limits;
mod queue;
mod store;

pub use digest::{DIGEST_BYTES, Digest};
pub use fact::{Fact, GroupKey, HostKey, Observation};
pub use limits::Limits;
pub use store::{LatencyRatio, Primary, ReplicaLag, Sizes};

use queue::Queue;
use store::Store;

/// What became of a fact received from another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// It changed what is known, and is forwarded.
    New,
    /// Known already, or older than what is known.
    Known,
    /// Dated in the future, or expired.
    Rejected,
}

/// The facts that one router keeps, and those that it has still to send.
#[derive(Clone, Debug)]
pub struct Facts {
    /// This router's number in the roster.
    local: u16,
    limits: Limits,
    store: Store,
    queue: Queue,
    /// When this router last learned a primary that it didn't know.
    primary_learned_at: f64,
}

impl Facts {
    /// No facts yet, for this router.
    pub fn new(local: u16, limits: Limits) -> Facts {
        Facts {
            local,
            limits,
            store: Store::default(),
            queue: Queue::default(),
            primary_learned_at: f64::NEG_INFINITY,
        }
    }

    /// Takes in what this router has observed itself, and queues it unless that is known well enough. True if
    /// it was queued.
    pub fn observe(&mut self, now: f64, observation: Observation) -> bool {
        let known = match observation {
            Observation::Unresponsive { host } => {
                self.unresponsive_reports(now, host) >= self.limits.max_origins
            }
            Observation::Primary { group, host } => self.store.holds_primary(group, host),
            Observation::ReplicaLag { .. } | Observation::Slow { .. } => false,
        };
        let fact = Fact { observation, origin: self.local, observed_at: now };
        let new = self.store.merge(fact, &self.limits) && !known;
        if new {
            self.queue.push(fact, &self.limits);
        }
        new
    }

    /// Takes in what another router sent, and queues it if it is new.
    pub fn receive(&mut self, now: f64, fact: Fact) -> Received {
        let in_future = fact.observed_at > now + self.limits.max_clock_skew;
        if !fact.observed_at.is_finite() || in_future || fact.is_expired(now, &self.limits) {
            return Received::Rejected;
        }
        // This router knows better what it has observed itself.
        if fact.origin == self.local || !self.store.merge(fact, &self.limits) {
            return Received::Known;
        }
        if let Observation::Primary { .. } = fact.observation {
            self.primary_learned_at = now;
        }
        self.queue.push(fact, &self.limits);
        Received::New
    }

    /// Whether some fact waits to be sent for the first time.
    pub fn has_unsent(&self) -> bool {
        self.queue.has_unsent(&self.limits)
    }

    /// At most `limit` facts to go with a datagram: first what was sent least often. Expired facts are not
    /// sent.
    pub fn facts_to_send(&mut self, now: f64, limit: usize) -> Vec<Fact> {
        self.queue.take(now, limit, &self.limits)
    }

    /// Whether primaries are changing: more may have changed than this router has heard of.
    pub fn should_pull(&self, now: f64) -> bool {
        now - self.primary_learned_at <= self.limits.pull_window
    }

    /// What this router has learned of primaries lately, to ask another for what it lacks.
    pub fn digest(&self, now: f64, salt: u8) -> Digest {
        let mut digest = Digest::empty(salt);
        for fact in self.store.recent_primaries(now, &self.limits) {
            if let Observation::Primary { group, host } = fact.observation {
                digest.insert(group, host, fact.observed_at);
            }
        }
        digest
    }

    /// At most `limit` facts that the router with this digest lacks.
    pub fn missing_from(&self, now: f64, digest: &Digest, limit: usize) -> Vec<Fact> {
        digest::missing(&self.store.recent_primaries(now, &self.limits), digest, limit)
    }

    /// The host that was last seen as a group's primary.
    pub fn primary(&self, now: f64, group: GroupKey) -> Option<Primary> {
        self.store.primary(now, group, &self.limits)
    }

    /// How far a replica lagged as last seen by any router.
    pub fn replica_lag(&self, now: f64, host: HostKey) -> Option<ReplicaLag> {
        self.store.replica_lag(now, host, &self.limits)
    }

    /// How many other routers lately had no answer from a host: at most as many as origins are kept.
    pub fn unresponsive_reports(&self, now: f64, host: HostKey) -> usize {
        self.store.unresponsive_reports(now, host, self.local, &self.limits)
    }

    /// How slow other routers' reads of a host were lately; none where no router reported slow reads.
    pub fn latency_ratio(&self, now: f64, host: HostKey) -> Option<LatencyRatio> {
        self.store.latency_ratio(now, host, self.local, &self.limits)
    }

    /// Drops what has expired; to be called now and then.
    pub fn remove_expired(&mut self, now: f64) {
        self.store.remove_expired(now, &self.limits);
    }

    /// How much is kept.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            groups: self.store.groups(),
            hosts: self.store.hosts(),
            queued: self.queue.len(),
            evicted: self.store.evicted(),
        }
    }
}

#[cfg(test)]
mod tests;
