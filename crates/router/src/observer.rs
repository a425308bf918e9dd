//! Observations that this router makes itself and shares with its peers: a host became a group's primary, a
//! replica fell behind or has caught up. No I/O, no clock and no decisions.

use magpiewell::Role;
use magpiewell_facts::{GroupKey, HostKey, Observation};

/// A replica counts as behind while its lag exceeds this share of the tightest bound.
const BEHIND_SHARE_OF_BOUND: f64 = 0.5;
/// How often the lag of a replica that stays behind is reported.
const LAG_REPORT_INTERVAL_MS: f64 = 1_000.0;

/// A host's key in facts, derived from its id in the list. The hash has to be the same at every router and
/// must not change with a library's version.
pub fn host_key(id: &str) -> HostKey {
    // 32-bit FNV-1a with the published parameters.
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// A host, as this router and as its peers refer to it.
#[derive(Clone, Copy, Debug)]
pub struct HostId {
    /// Its index within this router.
    pub index: usize,
    /// Its key in facts.
    pub key: HostKey,
}

/// A group, as this router and as its peers refer to it.
#[derive(Clone, Copy, Debug)]
pub struct GroupId {
    /// Its index within this router.
    pub index: usize,
    /// Its key in facts.
    pub key: GroupKey,
}

/// The state of a replica's lag when it was last recorded.
#[derive(Clone, Copy, Debug, Default)]
struct Replica {
    is_behind: bool,
    /// When its lag was last reported, in ms.
    reported_at: f64,
}

/// Turns the roles and positions in hosts' answers into observations worth sharing.
pub struct Observer {
    /// The tightest staleness bound of all op types, in ms; `None` if no type has one.
    tightest_bound_ms: Option<f64>,
    /// By the host's index.
    replicas: Vec<Replica>,
    /// By the group's index: the host that last answered as its primary.
    primaries: Vec<Option<usize>>,
}

impl Observer {
    /// An observer without any recorded answers.
    pub fn new(tightest_bound_ms: Option<f64>) -> Observer {
        Observer { tightest_bound_ms, replicas: Vec::new(), primaries: Vec::new() }
    }

    /// Records the role and the position in a host's answer; returns the observation to share with peers, if
    /// there is one.
    pub fn record_answer(
        &mut self,
        now: f64,
        host: HostId,
        group: GroupId,
        role: Option<Role>,
        position: Option<f64>,
    ) -> Option<Observation> {
        self.ensure_capacity(host.index, group.index);
        match role? {
            Role::Primary => self.record_primary(host, group),
            Role::Replica => {
                self.clear_primary(host.index, group.index);
                self.record_lag(now, host, (now - position?).max(0.0))
            }
        }
    }

    /// Removes a host, whose index may then be assigned to another one.
    pub fn remove_host(&mut self, host: usize) {
        if let Some(replica) = self.replicas.get_mut(host) {
            *replica = Replica::default();
        }
        for group in 0..self.primaries.len() {
            self.clear_primary(host, group);
        }
    }

    /// Grows the tables to hold these indices.
    fn ensure_capacity(&mut self, host: usize, group: usize) {
        if self.primaries.len() <= group {
            self.primaries.resize(group + 1, None);
        }
        if self.replicas.len() <= host {
            self.replicas.resize(host + 1, Replica::default());
        }
    }

    /// Returns an observation if the host wasn't known as the group's primary.
    fn record_primary(&mut self, host: HostId, group: GroupId) -> Option<Observation> {
        let previous = self.primaries[group.index].replace(host.index);
        let observation = Observation::Primary { group: group.key, host: host.key };
        (previous != Some(host.index)).then_some(observation)
    }

    /// Records that the host is not, or no longer, the group's primary.
    fn clear_primary(&mut self, host: usize, group: usize) {
        let primary = &mut self.primaries[group];
        if *primary == Some(host) {
            *primary = None;
        }
    }

    /// Returns an observation if the replica fell behind, caught up, or is still behind and a report is due.
    fn record_lag(&mut self, now: f64, host: HostId, lag_ms: f64) -> Option<Observation> {
        let is_behind = lag_ms > BEHIND_SHARE_OF_BOUND * self.tightest_bound_ms?;
        let replica = &mut self.replicas[host.index];
        let has_changed = is_behind != replica.is_behind;
        let is_report_due = is_behind && now - replica.reported_at >= LAG_REPORT_INTERVAL_MS;
        replica.is_behind = is_behind;
        if !(has_changed || is_report_due) {
            return None;
        }
        replica.reported_at = now;
        Some(Observation::ReplicaLag { host: host.key, lag_ms: lag_ms.min(f64::from(u32::MAX)) as u32 })
    }
}

#[cfg(test)]
mod tests;
