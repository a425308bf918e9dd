//! What is known of groups and hosts: the latest of each kind, of complaints the latest of a few origins.

use crate::latest::{LatestByOrigin, Stamp, Stamped};
use crate::{Fact, GroupKey, HostKey, Limits, Observation};
use std::collections::BTreeMap;

/// The host that was seen as a group's primary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Primary {
    /// The primary.
    pub host: HostKey,
    /// When it was seen.
    pub observed_at: f64,
}

/// How far a replica lagged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaLag {
    /// The lag in ms.
    pub ms: f64,
    /// When it was seen.
    pub observed_at: f64,
}

/// How slow reads were, over all routers that reported slow ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyRatio {
    /// How many reads were slow.
    pub reads: f64,
    /// The mean time of these reads, as a multiple of what they usually take.
    pub ratio: f64,
}

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Groups of which something is known.
    pub groups: usize,
    /// Hosts of which something is known.
    pub hosts: usize,
    /// Facts that wait to be sent.
    pub queued: usize,
    /// Groups and hosts dropped so far because there were more than the limits.
    pub evicted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SlowReads {
    latency_percent: u16,
    reads: u16,
}

/// What is known of one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct Host {
    replica_lag: Option<Stamped<u32>>,
    unresponsive: LatestByOrigin<()>,
    slow: LatestByOrigin<SlowReads>,
}

impl Host {
    /// When anything was last observed of the host.
    fn last_observed_at(&self) -> f64 {
        let replica_lag = self.replica_lag.iter().map(|held| held.stamp.observed_at);
        let unresponsive = self.unresponsive.iter().map(|held| held.stamp.observed_at);
        let slow = self.slow.iter().map(|held| held.stamp.observed_at);
        replica_lag.chain(unresponsive).chain(slow).fold(f64::NEG_INFINITY, f64::max)
    }

    fn merge_replica_lag(&mut self, stamp: Stamp, ms: u32) -> bool {
        let new = self.replica_lag.is_none_or(|held| stamp.is_later_than(&held.stamp));
        if new {
            self.replica_lag = Some(Stamped { stamp, value: ms });
        }
        new
    }
}

/// All that is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    primaries: BTreeMap<GroupKey, Stamped<HostKey>>,
    hosts: BTreeMap<HostKey, Host>,
    evicted: u64,
}

impl Store {
    /// Takes a fact in; true if it changed what is known.
    pub fn merge(&mut self, fact: Fact, limits: &Limits) -> bool {
        let stamp = Stamp { observed_at: fact.observed_at, origin: fact.origin };
        match fact.observation {
            Observation::Primary { group, host } => self.merge_primary(stamp, group, host, limits),
            Observation::ReplicaLag { host, ms } => {
                self.merge_host(host, limits, |held| held.merge_replica_lag(stamp, ms))
            }
            Observation::Unresponsive { host } => self.merge_host(host, limits, |held| {
                held.unresponsive.merge(Stamped { stamp, value: () }, limits.max_origins)
            }),
            Observation::Slow { host, latency_percent, reads } => self.merge_host(host, limits, |held| {
                let value = SlowReads { latency_percent, reads };
                held.slow.merge(Stamped { stamp, value }, limits.max_origins)
            }),
        }
    }

    fn merge_primary(&mut self, stamp: Stamp, group: GroupKey, host: HostKey, limits: &Limits) -> bool {
        let held = self.primaries.get(&group);
        if held.is_some_and(|held| !stamp.is_later_than(&held.stamp)) {
            return false;
        }
        self.primaries.insert(group, Stamped { stamp, value: host });
        if self.primaries.len() > limits.max_groups {
            self.remove_oldest_primary();
        }
        true
    }

    fn merge_host(&mut self, host: HostKey, limits: &Limits, merge: impl FnOnce(&mut Host) -> bool) -> bool {
        let new = merge(self.hosts.entry(host).or_default());
        if self.hosts.len() > limits.max_hosts {
            self.remove_oldest_host();
        }
        new
    }

    fn remove_oldest_primary(&mut self) {
        let observed_at = |held: &Stamped<HostKey>| held.stamp.observed_at;
        let oldest = self.primaries.iter().min_by(|a, b| observed_at(a.1).total_cmp(&observed_at(b.1)));
        if let Some(group) = oldest.map(|(group, _)| *group) {
            self.primaries.remove(&group);
            self.evicted += 1;
        }
    }

    fn remove_oldest_host(&mut self) {
        let last = |host: &Host| host.last_observed_at();
        let oldest = self.hosts.iter().min_by(|a, b| last(a.1).total_cmp(&last(b.1)));
        if let Some(host) = oldest.map(|(host, _)| *host) {
            self.hosts.remove(&host);
            self.evicted += 1;
        }
    }

    /// Whether this host is held to be the group's primary, however long ago that was seen.
    pub fn holds_primary(&self, group: GroupKey, host: HostKey) -> bool {
        self.primaries.get(&group).is_some_and(|held| held.value == host)
    }

    pub fn primary(&self, now: f64, group: GroupKey, limits: &Limits) -> Option<Primary> {
        let held = self.primaries.get(&group)?;
        let observed_at = held.stamp.observed_at;
        (now - observed_at <= limits.primary_lifetime).then_some(Primary { host: held.value, observed_at })
    }

    /// The primaries that were observed within the digest's window, in the order of their groups.
    pub fn recent_primaries(&self, now: f64, limits: &Limits) -> Vec<Fact> {
        let is_recent = |held: &Stamped<HostKey>| now - held.stamp.observed_at <= limits.digest_window;
        let recent = self.primaries.iter().filter(|(_, held)| is_recent(held));
        recent
            .map(|(group, held)| Fact {
                observation: Observation::Primary { group: *group, host: held.value },
                origin: held.stamp.origin,
                observed_at: held.stamp.observed_at,
            })
            .collect()
    }

    pub fn replica_lag(&self, now: f64, host: HostKey, limits: &Limits) -> Option<ReplicaLag> {
        let held = self.hosts.get(&host)?.replica_lag?;
        let (ms, observed_at) = (f64::from(held.value), held.stamp.observed_at);
        (now - observed_at <= limits.replica_lag_lifetime).then_some(ReplicaLag { ms, observed_at })
    }

    /// How many other routers than `local` had no answer from a host.
    pub fn unresponsive_reports(&self, now: f64, host: HostKey, local: u16, limits: &Limits) -> usize {
        let Some(held) = self.hosts.get(&host) else { return 0 };
        held.unresponsive.recent_of_others(now, limits.degradation_lifetime, local).count()
    }

    /// How slow the reads of other routers than `local` were.
    pub fn latency_ratio(
        &self,
        now: f64,
        host: HostKey,
        local: u16,
        limits: &Limits,
    ) -> Option<LatencyRatio> {
        let held = self.hosts.get(&host)?;
        let (mut reads, mut sum) = (0.0, 0.0);
        for slow in held.slow.recent_of_others(now, limits.degradation_lifetime, local) {
            let count = f64::from(slow.value.reads);
            reads += count;
            sum += count * f64::from(slow.value.latency_percent) / 100.0;
        }
        (reads > 0.0).then(|| LatencyRatio { reads, ratio: sum / reads })
    }

    pub fn remove_expired(&mut self, now: f64, limits: &Limits) {
        let age = |stamp: Stamp| now - stamp.observed_at;
        self.primaries.retain(|_, held| age(held.stamp) <= limits.primary_lifetime);
        for host in self.hosts.values_mut() {
            host.replica_lag = host.replica_lag.filter(|held| age(held.stamp) <= limits.replica_lag_lifetime);
            host.unresponsive.remove_older(now, limits.degradation_lifetime);
            host.slow.remove_older(now, limits.degradation_lifetime);
        }
        self.hosts.retain(|_, host| *host != Host::default());
    }

    pub fn groups(&self) -> usize {
        self.primaries.len()
    }

    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Groups and hosts dropped so far because there were more than the limits.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
