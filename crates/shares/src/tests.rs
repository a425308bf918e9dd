//! Shares are even, stable and the same for all that believe the same.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn set() -> Config {
    Config { cases: 64, rng_seed: RngSeed::Fixed(37), failure_persistence: None, ..Config::default() }
}

fn routers(of: u16, zones: usize) -> Vec<Router> {
    (0..of).map(|no| Router { no, zone: no as usize % zones }).collect()
}

fn replicas(zones: &[usize]) -> Vec<Replica> {
    let one = |(i, zone): (usize, &usize)| Replica { key: 1_000 + i as u32 * 17, zone: *zone, size: 1.0 };
    zones.iter().enumerate().map(one).collect()
}

/// How many routers' first choice each replica is.
fn firsts(members: &[Router], replicas: &[Replica], over: f64) -> Vec<usize> {
    let mut counts = vec![0; replicas.len()];
    for me in members {
        counts[keeps(9, *me, members, replicas, 1, over)[0]] += 1;
    }
    counts
}

#[test]
fn first_choices_are_near_where_there_is_room_and_even_where_there_is_not() {
    let members = routers(300, 3);
    // One replica a zone: each zone's routers take their own.
    let even = firsts(&members, &replicas(&[0, 1, 2]), 1.0);
    assert_eq!(even, [100, 100, 100]);
    // Three in one zone, one in the next, none in the last: 75 each is fair.
    let skewed = firsts(&members, &replicas(&[0, 0, 0, 1]), 1.0);
    assert!(skewed.iter().all(|c| (55..=95).contains(c)), "{skewed:?}");
    // Sizes count.
    let mut sized = replicas(&[0, 0, 0]);
    sized[2].size = 2.0;
    let counts = firsts(&members, &sized, 1.0);
    assert!((125..=175).contains(&counts[2]), "{counts:?}");
}

#[test]
fn a_zone_keeps_what_it_can_carry_and_the_rest_goes_where_there_is_room() {
    let third = [1.0 / 3.0; 3];
    assert_eq!(parts(&[1.0, 1.0, 1.0], &third, 1, 1.0), [0.0, 1.0, 0.0]);
    // No replica near: to the zones with more than their part, as they have it to spare.
    assert_eq!(parts(&[2.0, 1.0, 0.0], &third, 2, 1.5), [1.0, 0.0, 0.0]);
    assert_eq!(parts(&[2.0, 2.0, 0.0], &third, 2, 1.5), [0.5, 0.5, 0.0]);
    // One of nine: a third of what the zone brings, or half of it where it may do half more.
    let one = |over| parts(&[4.0, 4.0, 1.0], &third, 2, over)[2];
    assert!((one(1.0) - 1.0 / 3.0).abs() < 1e-9 && (one(1.5) - 0.5).abs() < 1e-9);
    // A zone that brings more than others may keep less of it.
    assert!(parts(&[1.0, 1.0], &[0.75, 0.25], 0, 1.0)[0] < 0.7);
    assert!(
        parts(&[1.0, 1.0], &[0.5, 0.5], 5, 1.0).is_empty() && parts(&[0.0; 2], &[0.5; 2], 0, 1.0).is_empty()
    );
}

#[test]
fn duties_are_even_and_one_that_goes_moves_only_its_own() {
    let all: Vec<u16> = (0..300).collect();
    let of = |members: &[u16], key: u32| {
        members.iter().copied().find(|me| duty(key, *me, members.iter().copied(), 1) == Some(0)).unwrap()
    };
    let mut counts = vec![0; 300];
    for key in 0..3_000 {
        counts[of(&all, key) as usize] += 1;
    }
    assert!(counts.iter().all(|c| (1..=26).contains(c)), "{counts:?}");
    let without: Vec<u16> = all.iter().copied().filter(|m| *m != 7).collect();
    for key in 0..500 {
        let before = of(&all, key);
        assert!(before == 7 || of(&without, key) == before);
    }
}

/// Every router must compute the same scores, of whatever version it is.
#[test]
fn scores_are_fixed() {
    assert_eq!(score(1, 2), 3_857_103_152_913_385_077);
    assert_eq!(score(9, 300), 12_137_934_814_249_141_026);
}

proptest! {
    #![proptest_config(set())]

    /// All zones together: nobody gets more than so much over its part, and all that is brought goes somewhere.
    #[test]
    fn parts_of_all_zones_are_even(rooms in prop::collection::vec(0u8..5, 1..6), over in 1.0f64..2.0) {
        let rooms: Vec<f64> = rooms.into_iter().map(f64::from).collect();
        let brings = vec![1.0 / rooms.len() as f64; rooms.len()];
        let total: f64 = rooms.iter().sum();
        prop_assume!(total > 0.0);
        let mut got = vec![0.0; rooms.len()];
        for here in 0..rooms.len() {
            let parts = parts(&rooms, &brings, here, over);
            prop_assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            parts.iter().zip(&mut got).for_each(|(p, g)| *g += p * brings[here]);
        }
        for (got, room) in got.iter().zip(&rooms) {
            prop_assert!(*got <= room / total * over + 1e-9, "{:?} {:?}", got, rooms);
        }
    }

    /// A member that comes or goes moves at most 2/N of all pairs; one of another zone and a replica that comes move few.
    #[test]
    fn choices_are_stable(of in 12u16..60, gone in any::<prop::sample::Index>(), key in any::<u32>()) {
        let all = routers(of, 1);
        let without: Vec<Router> = all.iter().copied().filter(|m| m.no != gone.index(of as usize) as u16).collect();
        let mut replicas = replicas(&[0; 6]);
        replicas[3].key = key;
        let moved = without.iter().filter(|me| {
            keeps(4, **me, &all, &replicas, 2, 1.0) != keeps(4, **me, &without, &replicas, 2, 1.0)
        });
        // In one zone nobody else's choice depends on who is there.
        prop_assert_eq!(moved.count(), 0);
    }

    /// Members in zones: at most two in N of all pairs move when one goes, counted over routers and replicas kept.
    #[test]
    fn zones_move_few(of in 30u16..120, gone in any::<prop::sample::Index>(), zones in prop::collection::vec(0usize..3, 4..8)) {
        let all = routers(of, 3);
        let gone = gone.index(of as usize) as u16;
        let without: Vec<Router> = all.iter().copied().filter(|m| m.no != gone).collect();
        let replicas = replicas(&zones);
        let (mut moved, mut pairs) = (0, 0);
        for group in 0..20 {
            for me in &without {
                let before = keeps(group, *me, &all, &replicas, 2, 1.25);
                let after = keeps(group, *me, &without, &replicas, 2, 1.25);
                moved += before.iter().filter(|b| !after.contains(b)).count();
                pairs += before.len();
            }
        }
        prop_assert!(moved as f64 <= 2.0 / f64::from(of) * pairs as f64 + 3.0, "{} of {}", moved, pairs);
    }

    /// Whatever a router believes: it has as many replicas as there are up to the count, none twice.
    #[test]
    fn every_router_has_its_replicas(of in 1u16..40, me in 0u16..60, zones in prop::collection::vec(0usize..5, 0..9), count in 0usize..5) {
        let replicas = replicas(&zones);
        let kept = keeps(1, Router { no: me, zone: 2 }, &routers(of, 3), &replicas, count, 1.25);
        let mut seen = kept.clone();
        seen.sort_unstable();
        seen.dedup();
        prop_assert_eq!(seen.len(), count.min(replicas.len()));
        prop_assert_eq!(kept.len(), seen.len());
    }

    /// At the worst split: each side reckons with its own members only, and all sides' parts together are at most the
    /// bound.
    #[test]
    fn allowances_of_a_tier_cut_apart_stay_within_the_stated_bound(sides in prop::collection::vec(1usize..80, 1..5)) {
        let all: usize = sides.iter().sum();
        let floor = all.div_ceil(2);
        let sum: f64 = sides.iter().map(|side| *side as f64 * allowance(*side, floor)).sum();
        prop_assert!(sum <= all as f64 / floor as f64 + 1e-9);
    }

    #[test]
    fn probes_of_a_tier_cut_apart_are_done_on_every_side(split in 1u16..59, key in any::<u32>()) {
        for side in [0..split, split..60] {
            let members: Vec<u16> = side.collect();
            let on_duty = members.iter().filter(|me| duty(key, **me, members.iter().copied(), 2).is_some()).count();
            prop_assert_eq!(on_duty, members.len().min(2));
        }
    }
}
