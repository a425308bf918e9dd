//! The merged state of groups and hosts: the latest primary and replica lag, and the latest reports of
//! unresponsive or slow hosts from a few origins.

use crate::latest::{LatestByOrigin, Stamp, Stamped};
use crate::{Fact, GroupKey, HostKey, Limits, Observation};
use std::collections::BTreeMap;

/// The host that was last observed as a group's primary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Primary {
    pub host: HostKey,
    /// When it was observed, in Unix ms.
    pub observed_at: f64,
}

/// The lag of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaLag {
    pub lag_ms: f64,
    /// When it was observed, in Unix ms.
    pub observed_at: f64,
}

/// How slow a host's reads were, over all routers that reported slow reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyRatio {
    /// The number of slow reads that were reported.
    pub reads: f64,
    /// The mean latency of these reads as a multiple of the usual latency.
    pub ratio: f64,
}

/// Sizes of the store and the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Groups with a known primary.
    pub groups: usize,
    /// Hosts with at least one known fact.
    pub hosts: usize,
    /// Facts in the queue to be sent.
    pub queued: usize,
    /// Groups and hosts evicted so far because the limits were exceeded.
    pub evicted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SlowReads {
    latency_percent: u16,
    reads: u16,
}

/// The known facts about one host.
#[derive(Clone, Debug, Default, PartialEq)]
struct Host {
    replica_lag: Option<Stamped<u32>>,
    unresponsive_reports: LatestByOrigin<()>,
    slow_reads: LatestByOrigin<SlowReads>,
}

impl Host {
    /// The time of the latest observation of the host.
    fn last_observed_at(&self) -> f64 {
        let replica_lag = self.replica_lag.iter().map(|entry| entry.stamp.observed_at);
        let unresponsive_reports = self.unresponsive_reports.iter().map(|entry| entry.stamp.observed_at);
        let slow_reads = self.slow_reads.iter().map(|entry| entry.stamp.observed_at);
        replica_lag.chain(unresponsive_reports).chain(slow_reads).fold(f64::NEG_INFINITY, f64::max)
    }

    fn merge_replica_lag(&mut self, stamp: Stamp, lag_ms: u32) -> bool {
        let is_new = self.replica_lag.is_none_or(|entry| stamp.is_later_than(&entry.stamp));
        if is_new {
            self.replica_lag = Some(Stamped { stamp, value: lag_ms });
        }
        is_new
    }
}

/// The merged state of all groups and hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    primaries: BTreeMap<GroupKey, Stamped<HostKey>>,
    hosts: BTreeMap<HostKey, Host>,
    evicted: u64,
}

impl Store {
    /// Merges a fact; returns whether it changed the state.
    pub fn merge(&mut self, fact: Fact, limits: &Limits) -> bool {
        let stamp = Stamp { observed_at: fact.observed_at, origin: fact.origin };
        match fact.observation {
            Observation::Primary { group, host } => self.merge_primary(stamp, group, host, limits),
            Observation::ReplicaLag { host, lag_ms } => {
                self.merge_host(host, limits, |entry| entry.merge_replica_lag(stamp, lag_ms))
            }
            Observation::Unresponsive { host } => self.merge_host(host, limits, |entry| {
                entry.unresponsive_reports.merge(Stamped { stamp, value: () }, limits.max_origins)
            }),
            Observation::Slow { host, latency_percent, reads } => self.merge_host(host, limits, |entry| {
                let value = SlowReads { latency_percent, reads };
                entry.slow_reads.merge(Stamped { stamp, value }, limits.max_origins)
            }),
        }
    }

    fn merge_primary(&mut self, stamp: Stamp, group: GroupKey, host: HostKey, limits: &Limits) -> bool {
        let entry = self.primaries.get(&group);
        if entry.is_some_and(|entry| !stamp.is_later_than(&entry.stamp)) {
            return false;
        }
        self.primaries.insert(group, Stamped { stamp, value: host });
        if self.primaries.len() > limits.max_groups {
            self.remove_oldest_primary();
        }
        true
    }

    fn merge_host(&mut self, host: HostKey, limits: &Limits, merge: impl FnOnce(&mut Host) -> bool) -> bool {
        let is_new = merge(self.hosts.entry(host).or_default());
        if self.hosts.len() > limits.max_hosts {
            self.remove_oldest_host();
        }
        is_new
    }

    fn remove_oldest_primary(&mut self) {
        let observed_at = |entry: &Stamped<HostKey>| entry.stamp.observed_at;
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

    /// Whether this host is stored as the group's primary, however old the observation is.
    pub fn has_primary(&self, group: GroupKey, host: HostKey) -> bool {
        self.primaries.get(&group).is_some_and(|entry| entry.value == host)
    }

    pub fn primary(&self, now: f64, group: GroupKey, limits: &Limits) -> Option<Primary> {
        let entry = self.primaries.get(&group)?;
        let observed_at = entry.stamp.observed_at;
        (now - observed_at <= limits.primary_lifetime_ms)
            .then_some(Primary { host: entry.value, observed_at })
    }

    /// The primaries observed within the digest window, in ascending order of their groups.
    pub fn recent_primaries(&self, now: f64, limits: &Limits) -> Vec<Fact> {
        let is_recent = |entry: &Stamped<HostKey>| now - entry.stamp.observed_at <= limits.digest_window_ms;
        let recent = self.primaries.iter().filter(|(_, entry)| is_recent(entry));
        recent
            .map(|(group, entry)| Fact {
                observation: Observation::Primary { group: *group, host: entry.value },
                origin: entry.stamp.origin,
                observed_at: entry.stamp.observed_at,
            })
            .collect()
    }

    pub fn replica_lag(&self, now: f64, host: HostKey, limits: &Limits) -> Option<ReplicaLag> {
        let entry = self.hosts.get(&host)?.replica_lag?;
        let (lag_ms, observed_at) = (f64::from(entry.value), entry.stamp.observed_at);
        (now - observed_at <= limits.replica_lag_lifetime_ms).then_some(ReplicaLag { lag_ms, observed_at })
    }

    /// How many routers other than `local` recently reported the host as unresponsive.
    pub fn unresponsive_reports(&self, now: f64, host: HostKey, local: u16, limits: &Limits) -> usize {
        let Some(entry) = self.hosts.get(&host) else { return 0 };
        entry.unresponsive_reports.recent_of_others(now, limits.degradation_lifetime_ms, local).count()
    }

    /// How slow the reads of routers other than `local` were.
    pub fn latency_ratio(
        &self,
        now: f64,
        host: HostKey,
        local: u16,
        limits: &Limits,
    ) -> Option<LatencyRatio> {
        let entry = self.hosts.get(&host)?;
        let (mut reads, mut sum) = (0.0, 0.0);
        for slow in entry.slow_reads.recent_of_others(now, limits.degradation_lifetime_ms, local) {
            let count = f64::from(slow.value.reads);
            reads += count;
            sum += count * f64::from(slow.value.latency_percent) / 100.0;
        }
        (reads > 0.0).then(|| LatencyRatio { reads, ratio: sum / reads })
    }

    pub fn remove_expired(&mut self, now: f64, limits: &Limits) {
        let age = |stamp: Stamp| now - stamp.observed_at;
        self.primaries.retain(|_, entry| age(entry.stamp) <= limits.primary_lifetime_ms);
        for host in self.hosts.values_mut() {
            host.replica_lag =
                host.replica_lag.filter(|entry| age(entry.stamp) <= limits.replica_lag_lifetime_ms);
            host.unresponsive_reports.remove_older(now, limits.degradation_lifetime_ms);
            host.slow_reads.remove_older(now, limits.degradation_lifetime_ms);
        }
        self.hosts.retain(|_, host| *host != Host::default());
    }

    pub fn groups(&self) -> usize {
        self.primaries.len()
    }

    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Groups and hosts evicted so far because the limits were exceeded.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
