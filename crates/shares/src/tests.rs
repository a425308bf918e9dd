//! Assignments are even, stable and the same for all routers with the same view of the members.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { cases: 64, rng_seed: RngSeed::Fixed(37), failure_persistence: None, ..Config::default() }
}

fn routers(count: u16, zones: usize) -> Vec<Router> {
    (0..count).map(|number| Router { number, zone: number as usize % zones }).collect()
}

fn replicas(zones: &[usize]) -> Vec<Replica> {
    let one = |(i, zone): (usize, &usize)| Replica { key: 1_000 + i as u32 * 17, zone: *zone, capacity: 1.0 };
    zones.iter().enumerate().map(one).collect()
}

/// How many routers' first choice each replica is.
fn first_choices(members: &[Router], replicas: &[Replica], local_factor: f64) -> Vec<usize> {
    let mut counts = vec![0; replicas.len()];
    for router in members {
        counts[preferred_replicas(9, *router, members, replicas, 1, local_factor)[0]] += 1;
    }
    counts
}

#[test]
fn first_choices_are_local_where_capacity_allows_and_even_otherwise() {
    let members = routers(300, 3);
    // One replica a zone: each zone's routers take their own.
    let even = first_choices(&members, &replicas(&[0, 1, 2]), 1.0);
    assert_eq!(even, [100, 100, 100]);
    // Three in one zone, one in the next, none in the last: 75 each is fair.
    let skewed = first_choices(&members, &replicas(&[0, 0, 0, 1]), 1.0);
    assert!(skewed.iter().all(|count| (55..=95).contains(count)), "{skewed:?}");
    // A replica with twice the capacity is the first choice of twice as many routers.
    let mut unequal = replicas(&[0, 0, 0]);
    unequal[2].capacity = 2.0;
    let counts = first_choices(&members, &unequal, 1.0);
    assert!((125..=175).contains(&counts[2]), "{counts:?}");
}

#[test]
fn a_zone_keeps_the_reads_it_can_serve_and_the_rest_goes_to_zones_with_a_surplus() {
    let third = [1.0 / 3.0; 3];
    assert_eq!(zone_shares(&[1.0, 1.0, 1.0], &third, 1, 1.0), [0.0, 1.0, 0.0]);
    // No local replica: to the zones with a surplus, in proportion to it.
    assert_eq!(zone_shares(&[2.0, 1.0, 0.0], &third, 2, 1.5), [1.0, 0.0, 0.0]);
    assert_eq!(zone_shares(&[2.0, 2.0, 0.0], &third, 2, 1.5), [0.5, 0.5, 0.0]);
    // One of nine: a third of what the zone offers, or half of it where it may do half more.
    let one = |local_factor| zone_shares(&[4.0, 4.0, 1.0], &third, 2, local_factor)[2];
    assert!((one(1.0) - 1.0 / 3.0).abs() < 1e-9 && (one(1.5) - 0.5).abs() < 1e-9);
    // A zone that offers more than others may keep less of it.
    assert!(zone_shares(&[1.0, 1.0], &[0.75, 0.25], 0, 1.0)[0] < 0.7);
    assert!(
        zone_shares(&[1.0, 1.0], &[0.5, 0.5], 5, 1.0).is_empty()
            && zone_shares(&[0.0; 2], &[0.5; 2], 0, 1.0).is_empty()
    );
}

#[test]
fn probes_are_even_and_a_member_that_leaves_moves_only_its_own() {
    let all: Vec<u16> = (0..300).collect();
    let prober = |members: &[u16], key: u32| {
        members
            .iter()
            .copied()
            .find(|router| probe_rank(key, *router, members.iter().copied(), 1) == Some(0))
            .unwrap()
    };
    let mut counts = vec![0; 300];
    for key in 0..3_000 {
        counts[prober(&all, key) as usize] += 1;
    }
    assert!(counts.iter().all(|count| (1..=26).contains(count)), "{counts:?}");
    let without: Vec<u16> = all.iter().copied().filter(|m| *m != 7).collect();
    for key in 0..500 {
        let before = prober(&all, key);
        assert!(before == 7 || prober(&without, key) == before);
    }
}

/// Routers of all versions must compute the same scores.
#[test]
fn scores_are_fixed() {
    assert_eq!(score(1, 2), 3_857_103_152_913_385_077);
    assert_eq!(score(9, 300), 12_137_934_814_249_141_026);
}

proptest! {
    #![proptest_config(config())]

    /// Over all zones, none gets more than the local factor times its share, and all offered reads are
    /// assigned.
    #[test]
    fn no_zone_gets_more_than_the_local_factor_times_its_share_of_the_capacity(
        capacity in prop::collection::vec(0u8..5, 1..6),
        local_factor in 1.0f64..2.0,
    ) {
        let capacity: Vec<f64> = capacity.into_iter().map(f64::from).collect();
        let offered = vec![1.0 / capacity.len() as f64; capacity.len()];
        let total: f64 = capacity.iter().sum();
        prop_assume!(total > 0.0);
        let mut assigned = vec![0.0; capacity.len()];
        for zone in 0..capacity.len() {
            let shares = zone_shares(&capacity, &offered, zone, local_factor);
            prop_assert!((shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            shares.iter().zip(&mut assigned).for_each(|(share, assigned)| *assigned += share * offered[zone]);
        }
        for (assigned, zone_capacity) in assigned.iter().zip(&capacity) {
            prop_assert!(
                *assigned <= zone_capacity / total * local_factor + 1e-9,
                "{:?} {:?}", assigned, capacity
            );
        }
    }

    #[test]
    fn in_one_zone_a_member_that_leaves_changes_no_other_members_replicas(
        router_count in 12u16..60,
        removed in any::<prop::sample::Index>(),
        key in any::<u32>(),
    ) {
        let all = routers(router_count, 1);
        let removed = removed.index(router_count as usize) as u16;
        let without: Vec<Router> = all.iter().copied().filter(|member| member.number != removed).collect();
        let mut replicas = replicas(&[0; 6]);
        replicas[3].key = key;
        for router in &without {
            let before = preferred_replicas(4, *router, &all, &replicas, 2, 1.0);
            prop_assert_eq!(before, preferred_replicas(4, *router, &without, &replicas, 2, 1.0));
        }
    }

    /// In several zones, at most 2/N of all pairs of a router and a preferred replica change when a member
    /// leaves.
    #[test]
    fn in_several_zones_few_choices_change_when_a_member_leaves(
        router_count in 30u16..120,
        removed in any::<prop::sample::Index>(),
        zones in prop::collection::vec(0usize..3, 4..8),
    ) {
        let all = routers(router_count, 3);
        let removed = removed.index(router_count as usize) as u16;
        let without: Vec<Router> = all.iter().copied().filter(|m| m.number != removed).collect();
        let replicas = replicas(&zones);
        let (mut moved, mut pairs) = (0, 0);
        for group in 0..20 {
            for router in &without {
                let before = preferred_replicas(group, *router, &all, &replicas, 2, 1.25);
                let after = preferred_replicas(group, *router, &without, &replicas, 2, 1.25);
                moved += before.iter().filter(|b| !after.contains(b)).count();
                pairs += before.len();
            }
        }
        prop_assert!(
            moved as f64 <= 2.0 / f64::from(router_count) * pairs as f64 + 3.0,
            "{} of {}", moved, pairs
        );
    }

    /// Whatever its view of the members, a router prefers as many replicas as there are, up to the count, and
    /// none twice.
    #[test]
    fn every_router_prefers_distinct_replicas_up_to_the_count(
        router_count in 1u16..40,
        router in 0u16..60,
        zones in prop::collection::vec(0usize..5, 0..9),
        count in 0usize..5,
    ) {
        let replicas = replicas(&zones);
        let kept = preferred_replicas(
            1, Router { number: router, zone: 2 }, &routers(router_count, 3), &replicas, count, 1.25
        );
        let mut seen = kept.clone();
        seen.sort_unstable();
        seen.dedup();
        prop_assert_eq!(seen.len(), count.min(replicas.len()));
        prop_assert_eq!(kept.len(), seen.len());
    }

    /// In the worst partition each side counts its own members only; the shares of all sides together are at
    /// most the stated bound.
    #[test]
    fn allowances_of_a_partitioned_tier_stay_within_the_stated_bound(
        sides in prop::collection::vec(1usize..80, 1..5),
    ) {
        let all: usize = sides.iter().sum();
        let floor = all.div_ceil(2);
        let sum: f64 = sides.iter().map(|side| *side as f64 * allowance(*side, floor)).sum();
        prop_assert!(sum <= all as f64 / floor as f64 + 1e-9);
    }

    #[test]
    fn every_side_of_a_partitioned_tier_probes_each_host(split in 1u16..59, key in any::<u32>()) {
        for side in [0..split, split..60] {
            let members: Vec<u16> = side.collect();
            let rank = |router: &u16| probe_rank(key, *router, members.iter().copied(), 2);
            prop_assert_eq!(members.iter().filter_map(rank).count(), members.len().min(2));
        }
    }
}
