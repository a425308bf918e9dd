//! Assigns replicas, probes and allowances to the routers of a tier without messages between them: each
//! router computes the same assignment from its view of the members. No I/O, no clock, no threads.
//!
//! - Which of a group's replicas a router keeps connections to ([`preferred_replicas`]): weighted rendezvous
//!   hashing, so that the number of routers that prefer a replica is proportional to its capacity.
//! - Which routers probe a host ([`probe_rank`]): the few with the highest score for it, so that a member
//!   that joins or leaves moves only its own probes.
//! - How much of an allowance for the whole tier is one router's ([`allowance`]).
//!
//! Where two routers have different views of the members, each still has its replicas, and a host is probed
//! by the few of each view: never by none.

use magpiewell_splitmix as splitmix;

/// The odd multiplier of a score's second number, so that exchanging the two gives another score.
const SECOND_MULTIPLIER: u64 = 0xc2b2_ae3d_27d4_eb4f;
/// The smallest weight of a replica relative to its capacity: above 0, so that it is still chosen if all
/// nearer ones are lost.
const MIN_WEIGHT: f64 = 1e-6;

/// A counted member of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Router {
    /// The member's number.
    pub number: u16,
    /// The index of its zone.
    pub zone: usize,
}

/// A replica that may be preferred.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replica {
    /// A key that is the same at every router.
    pub key: u32,
    /// The index of its zone.
    pub zone: usize,
    /// Its capacity relative to others, above 0.
    pub capacity: f64,
}

/// A hash of two numbers, the same at every router and in every version.
fn score(a: u64, b: u64) -> u64 {
    splitmix::finalize(a.wrapping_mul(splitmix::GOLDEN_GAMMA) ^ b.wrapping_mul(SECOND_MULTIPLIER))
}

/// Maps a score evenly to (0, 1).
fn unit_interval(score: u64) -> f64 {
    ((score >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The rank of the router with number `own_number` among those that probe the host `key`: 0 for the first,
/// `None` if it isn't one of the `count` with the highest scores. All routers with the same view of the
/// members agree on them.
pub fn probe_rank(
    key: u32,
    own_number: u16,
    members: impl Iterator<Item = u16>,
    count: usize,
) -> Option<usize> {
    let score_of = |member: u16| (score(u64::from(key), u64::from(member)), member);
    let own_score = score_of(own_number);
    let rank = members.filter(|member| *member != own_number && score_of(*member) > own_score).count();
    (rank < count).then_some(rank)
}

/// The shares of one zone's reads that go to each zone, in all 1; empty where the zone is unknown or no
/// zone has capacity.
///
/// `capacity` is what each zone's replicas can serve, `offered` the share of all reads that each zone's
/// routers offer (in all 1), `zone` the zone whose reads are divided. It keeps its reads up to `local_factor`
/// times its share of the capacity; the rest goes to zones with more capacity than their own routers need, in
/// proportion to the surplus.
pub fn zone_shares(capacity: &[f64], offered: &[f64], zone: usize, local_factor: f64) -> Vec<f64> {
    let total: f64 = capacity.iter().sum();
    let (Some(own_capacity), Some(own_offered)) = (capacity.get(zone), offered.get(zone)) else {
        return Vec::new();
    };
    if total <= 0.0 {
        return Vec::new();
    }
    let surpluses: Vec<f64> = (0..capacity.len())
        .map(|other| if other == zone { 0.0 } else { surplus(capacity, offered, total, other) })
        .collect();
    let total_surplus: f64 = surpluses.iter().sum();
    // Without a surplus elsewhere the zone serves all of its reads.
    let is_local = total_surplus <= 0.0 || *own_offered <= 0.0;
    let local_share =
        if is_local { 1.0 } else { (own_capacity * local_factor / (total * own_offered)).min(1.0) };
    let remote_share = |other: usize| match total_surplus > 0.0 {
        true => (1.0 - local_share) * surpluses[other] / total_surplus,
        false => 0.0,
    };
    (0..capacity.len()).map(|other| if other == zone { local_share } else { remote_share(other) }).collect()
}

/// A zone's capacity beyond what its own routers offer.
fn surplus(capacity: &[f64], offered: &[f64], total: f64, zone: usize) -> f64 {
    let own_offered = offered.get(zone).copied().unwrap_or(0.0);
    (capacity[zone] - total * own_offered).max(0.0)
}

/// The indexes of the replicas of a group that `router` keeps connections to, the most preferred first:
/// `count` of them, or all if there are fewer.
///
/// They are chosen by weighted rendezvous hashing, the least `-ln(u)/w` first. A replica's weight is its
/// share of its zone's capacity, times what this router's zone sends there (see [`zone_shares`]), so that a
/// zone's routers don't overload the few local replicas.
pub fn preferred_replicas(
    group: u32,
    router: Router,
    members: &[Router],
    replicas: &[Replica],
    count: usize,
    local_factor: f64,
) -> Vec<usize> {
    let zones = zone_count(router, members, replicas);
    let capacity = capacity_by_zone(replicas, zones);
    let shares = zone_shares(&capacity, &offered_by_zone(members, zones), router.zone, local_factor);
    let weight = |replica: &Replica| {
        let zone_share = shares.get(replica.zone).copied().unwrap_or(0.0);
        let zone_capacity = capacity[replica.zone].max(f64::MIN_POSITIVE);
        (zone_share * replica.capacity / zone_capacity).max(MIN_WEIGHT * replica.capacity)
    };
    let distance = |replica: &Replica| {
        let hash = score(u64::from(replica.key) ^ u64::from(group) << 32, u64::from(router.number) + 1);
        -unit_interval(hash).ln() / weight(replica).max(f64::MIN_POSITIVE)
    };
    let mut order: Vec<(f64, usize)> =
        replicas.iter().enumerate().map(|(index, replica)| (distance(replica), index)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(replicas[a.1].key.cmp(&replicas[b.1].key)));
    order.into_iter().take(count).map(|(_, index)| index).collect()
}

/// One more than the largest zone index.
fn zone_count(router: Router, members: &[Router], replicas: &[Replica]) -> usize {
    let members = members.iter().map(|member| member.zone);
    let replicas = replicas.iter().map(|replica| replica.zone);
    members.chain(replicas).fold(router.zone, usize::max) + 1
}

fn capacity_by_zone(replicas: &[Replica], zones: usize) -> Vec<f64> {
    let mut capacity = vec![0.0; zones];
    for replica in replicas {
        capacity[replica.zone] += replica.capacity.max(0.0);
    }
    capacity
}

/// The share of all reads that each zone's routers offer, if all routers offer the same.
fn offered_by_zone(members: &[Router], zones: usize) -> Vec<f64> {
    let share_of_one = 1.0 / members.len().max(1) as f64;
    let mut offered = vec![0.0; zones];
    for member in members {
        offered[member.zone] += share_of_one;
    }
    offered
}

/// A router's share of an allowance for the whole tier, such as that of a cold host: one over the number of
/// counted members, and never more than one over `floor`, the smallest number of members that any router may
/// count. While routers have different views of the members, the sum is at most `live routers / floor`.
pub fn allowance(counted: usize, floor: usize) -> f64 {
    1.0 / counted.max(floor).max(1) as f64
}

#[cfg(test)]
mod tests;
