//! What the routers believe, compared with what is true.

use crate::fleet::Fleet;
use crate::random;
use magpiewell_zones::Reachability;

/// Routers whose beliefs are sampled, at the most.
const OBSERVERS: usize = 240;

/// A change of primary that one router has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    pub group: u32,
    pub host: u32,
}

/// The running, not paused routers whose beliefs are sampled: evenly over the fleet.
pub fn observers(fleet: &Fleet, is_excluded: impl Fn(usize) -> bool) -> Vec<usize> {
    let all: Vec<usize> =
        (0..fleet.plan().routers).filter(|n| fleet.is_running(*n) && !is_excluded(*n)).collect();
    let stride = all.len().div_ceil(OBSERVERS).max(1);
    all.into_iter().step_by(stride).collect()
}

/// The share of (observer, member) pairs in which the observer does not count the member. An observer's belief in
/// itself is left out.
pub fn share_not_counted(fleet: &Fleet, observers: &[usize], members: &[usize]) -> f64 {
    let (mut pairs, mut not_counted) = (0usize, 0usize);
    for observer in observers {
        let Some(router) = fleet.router(*observer) else { continue };
        for member in members.iter().filter(|member| *member != observer) {
            pairs += 1;
            not_counted += usize::from(!router.counts(*member as u16));
        }
    }
    not_counted as f64 / pairs.max(1) as f64
}

/// The share of (observer, group) pairs in which the observer knows the group's new primary.
pub fn share_knowing(fleet: &Fleet, observers: &[usize], changes: &[PrimaryChange]) -> f64 {
    let now = fleet.now();
    let (mut pairs, mut known) = (0usize, 0usize);
    for observer in observers {
        let Some(router) = fleet.router(*observer) else { continue };
        pairs += changes.len();
        known += changes.iter().filter(|c| router.knows_primary(now, c.group, c.host)).count();
    }
    known as f64 / pairs.max(1) as f64
}

/// The share of the roster's zones that the observers know.
pub fn share_of_zones_known(fleet: &Fleet, observers: &[usize]) -> f64 {
    let known =
        observers.iter().filter_map(|number| fleet.router(*number)).map(|router| router.known_zones());
    known.sum::<f64>() / observers.len().max(1) as f64
}

/// Of the zones that observers hold silent, the share that they say are cut off.
pub fn share_said_cut_off(fleet: &Fleet, observers: &[usize]) -> f64 {
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

/// One change of primary for each so many routers, each seen by one running router, drawn by the seed.
pub fn change_primaries(fleet: &mut Fleet, count: usize, round: u64) -> Vec<PrimaryChange> {
    /// Hosts in a group.
    const GROUP_SIZE: u64 = 5;
    let seed = fleet.plan().seed;
    let running: Vec<usize> = (0..fleet.plan().routers).filter(|n| fleet.is_running(*n)).collect();
    (0..count as u64)
        .map(|group| {
            let member = random::number(seed, &[round, group, 0]) % GROUP_SIZE;
            let change = PrimaryChange { group: group as u32, host: (group * GROUP_SIZE + member) as u32 };
            let witness = running[random::index(seed, &[round, group, 1], running.len())];
            fleet.sees_primary(witness, change.group, change.host);
            change
        })
        .collect()
}
