//! Facts about groups and hosts that the routers of a tier disseminate by gossip. Each fact has an origin, a
//! timestamp and a lifetime, and merging is commutative and idempotent: any set of facts results in the same
//! state in any order. The crate has no I/O, clock or threads. Times are in Unix ms.
//!
//! A fact is one router's observation. It may make other routers more cautious, save them a probe or point
//! them to a host, but a reported position never makes a read fresh enough, and no op is retried because of
//! it. The store therefore answers only a few questions: which host was last seen as a group's primary, how
//! far a replica lagged at what time, and whether several routers reported a host as unresponsive or slow.

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

/// The outcome of receiving a fact from another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// It changed the stored state, and is queued to be forwarded.
    New,
    /// It is already known, is older than what is known, or was observed by this router itself.
    Known,
    /// Its timestamp is invalid or in the future, or it has expired.
    Rejected,
}

/// The facts stored by one router, and its queue of facts to send.
#[derive(Clone, Debug)]
pub struct Facts {
    /// This router's number in the roster.
    local: u16,
    limits: Limits,
    store: Store,
    queue: Queue,
    /// When a fact from another router last updated a stored primary.
    primary_learned_at: f64,
}

impl Facts {
    /// An empty store for router `local`.
    pub fn new(local: u16, limits: Limits) -> Facts {
        Facts {
            local,
            limits,
            store: Store::default(),
            queue: Queue::default(),
            primary_learned_at: f64::NEG_INFINITY,
        }
    }

    /// Records an observation of this router itself, and queues it for sending unless it adds nothing: the
    /// host is already stored as the group's primary, or enough other routers have reported it as
    /// unresponsive. Returns whether it was queued.
    pub fn observe(&mut self, now: f64, observation: Observation) -> bool {
        let is_known = match observation {
            Observation::Unresponsive { host } => {
                self.unresponsive_reports(now, host) >= self.limits.max_origins
            }
            Observation::Primary { group, host } => self.store.has_primary(group, host),
            Observation::ReplicaLag { .. } | Observation::Slow { .. } => false,
        };
        let fact = Fact { observation, origin: self.local, observed_at: now };
        let is_new = self.store.merge(fact, &self.limits) && !is_known;
        if is_new {
            self.queue.push(fact, &self.limits);
        }
        is_new
    }

    /// Merges a fact received from another router, and queues it for forwarding if it is new.
    pub fn receive(&mut self, now: f64, fact: Fact) -> Received {
        let is_in_future = fact.observed_at > now + self.limits.max_clock_skew_ms;
        if !fact.observed_at.is_finite() || is_in_future || fact.is_expired(now, &self.limits) {
            return Received::Rejected;
        }
        // For its own observations this router's store is authoritative.
        if fact.origin == self.local || !self.store.merge(fact, &self.limits) {
            return Received::Known;
        }
        if let Observation::Primary { .. } = fact.observation {
            self.primary_learned_at = now;
        }
        self.queue.push(fact, &self.limits);
        Received::New
    }

    /// Whether a queued fact has not been sent yet.
    pub fn has_unsent(&self) -> bool {
        self.queue.has_unsent(&self.limits)
    }

    /// Takes at most `limit` unexpired facts for a datagram, those sent least often first.
    pub fn facts_to_send(&mut self, now: f64, limit: usize) -> Vec<Fact> {
        self.queue.take(now, limit, &self.limits)
    }

    /// Whether this router learned a new primary recently: others may have changed as well that it does not
    /// know yet.
    pub fn should_pull(&self, now: f64) -> bool {
        now - self.primary_learned_at <= self.limits.pull_window_ms
    }

    /// A digest of the recently observed primaries, for a request to another router to send the missing ones.
    pub fn digest(&self, now: f64, salt: u8) -> Digest {
        let mut digest = Digest::empty(salt);
        for fact in self.store.recent_primaries(now, &self.limits) {
            if let Observation::Primary { group, host } = fact.observation {
                digest.insert(group, host, fact.observed_at);
            }
        }
        digest
    }

    /// At most `limit` facts that are missing from another router's digest.
    pub fn missing_from(&self, now: f64, digest: &Digest, limit: usize) -> Vec<Fact> {
        digest::missing(&self.store.recent_primaries(now, &self.limits), digest, limit)
    }

    /// The host that was last seen as a group's primary.
    pub fn primary(&self, now: f64, group: GroupKey) -> Option<Primary> {
        self.store.primary(now, group, &self.limits)
    }

    /// The last known lag of a replica, as observed by any router.
    pub fn replica_lag(&self, now: f64, host: HostKey) -> Option<ReplicaLag> {
        self.store.replica_lag(now, host, &self.limits)
    }

    /// How many other routers recently reported a host as unresponsive, at most [`Limits::max_origins`].
    pub fn unresponsive_reports(&self, now: f64, host: HostKey) -> usize {
        self.store.unresponsive_reports(now, host, self.local, &self.limits)
    }

    /// How slow other routers' reads from a host were recently; `None` if no router reported slow reads.
    pub fn latency_ratio(&self, now: f64, host: HostKey) -> Option<LatencyRatio> {
        self.store.latency_ratio(now, host, self.local, &self.limits)
    }

    /// Removes expired facts; must be called periodically.
    pub fn remove_expired(&mut self, now: f64) {
        self.store.remove_expired(now, &self.limits);
    }

    /// The current sizes of the store and the queue.
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
