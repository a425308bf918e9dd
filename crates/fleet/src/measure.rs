//! Measurements that compare what the routers believe with the true state of the fleet.

use crate::fleet::Fleet;
use crate::random;
use magpiewell_zones::Reachability;

/// Maximum number of routers whose beliefs are sampled.
const MAX_OBSERVERS: usize = 240;

/// A change of primary that one router has observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    pub group: u32,
    pub host: u32,
}

/// The routers whose beliefs are sampled: running, not excluded, and spread evenly over the fleet.
pub fn observers(fleet: &Fleet, is_excluded: impl Fn(usize) -> bool) -> Vec<usize> {
    let all: Vec<usize> =
        (0..fleet.plan().routers).filter(|n| fleet.is_running(*n) && !is_excluded(*n)).collect();
    let stride = all.len().div_ceil(MAX_OBSERVERS).max(1);
    all.into_iter().step_by(stride).collect()
}

/// The share of (observer, member) pairs in which the observer does not count the member. Pairs of an
/// observer with itself are left out.
pub fn share_not_counted(fleet: &Fleet, observers: &[usize], members: &[usize]) -> f64 {
    let (mut pairs, mut not_counted) = (0usize, 0usize);
    for observer in observers {
        let Some(router) = fleet.router(*observer) else { continue };
        for member in members.iter().filter(|member| *member != observer) {
            pairs += 1;
            not_counted += usize::from(!router.is_counted(*member as u16));
        }
    }
    not_counted as f64 / pairs.max(1) as f64
}

/// The share of (observer, group) pairs in which the observer knows the group's new primary.
pub fn share_knowing_primary(fleet: &Fleet, observers: &[usize], changes: &[PrimaryChange]) -> f64 {
    let now = fleet.now();
    let (mut pairs, mut known) = (0usize, 0usize);
    for observer in observers {
        let Some(router) = fleet.router(*observer) else { continue };
        pairs += changes.len();
        known += changes.iter().filter(|c| router.knows_primary(now, c.group, c.host)).count();
    }
    known as f64 / pairs.max(1) as f64
}

/// The share of (observer, member) pairs in which the observer knows the member's zone.
pub fn share_of_zones_known(fleet: &Fleet, observers: &[usize]) -> f64 {
    let known =
        observers.iter().filter_map(|number| fleet.router(*number)).map(|router| router.known_zone_share());
    known.sum::<f64>() / observers.len().max(1) as f64
}

/// The share of zones reported as cut off, among those that the observers report as silent.
pub fn share_reported_cut_off(fleet: &Fleet, observers: &[usize]) -> f64 {
    let (mut silent, mut cut_off) = (0usize, 0usize);
    for router in observers.iter().filter_map(|number| fleet.router(*number)) {
        for zone in 0..fleet.plan().zones {
            let reachability = router.reachability(zone);
            silent += usize::from(reachability != Reachability::Reachable);
            cut_off += usize::from(reachability == Reachability::CutOff);
        }
    }
    cut_off as f64 / silent.max(1) as f64
}

/// Changes the primaries of `count` groups, each observed by one running router. The seed determines the new
/// primaries and the routers.
pub fn change_primaries(fleet: &mut Fleet, count: usize, round: u64) -> Vec<PrimaryChange> {
    /// Number of hosts in a group.
    const GROUP_SIZE: u64 = 5;
    let seed = fleet.plan().seed;
    let running: Vec<usize> = (0..fleet.plan().routers).filter(|n| fleet.is_running(*n)).collect();
    (0..count as u64)
        .map(|group| {
            let member = random::number(seed, &[round, group, 0]) % GROUP_SIZE;
            let change = PrimaryChange { group: group as u32, host: (group * GROUP_SIZE + member) as u32 };
            let reporter = running[random::index(seed, &[round, group, 1], running.len())];
            fleet.observe_primary(reporter, change.group, change.host);
            change
        })
        .collect()
}
