use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() }
}

/// New sessions evict the positions of older ones, which then read again and must still see their writes.
#[test]
fn a_flood_of_sessions_stays_within_the_capacity_and_evicted_sessions_require_no_less() {
    let mut positions = SessionPositions::new(1_000, 16);
    (0..500u64).for_each(|session| positions.record(session, 1_000.0 + session as f64));
    (500..200_000u64).for_each(|session| positions.record(session, 2_000.0 + session as f64));
    assert!(positions.len() <= 1_000);
    assert!((0..500u64).all(|session| positions.required_position(session) >= 1_000.0 + session as f64));
}

#[test]
fn invalid_positions_are_ignored() {
    let mut positions = SessionPositions::new(10, 1);
    [f64::NAN, f64::INFINITY, -1.0].into_iter().for_each(|position| positions.record(1, position));
    positions.raise_floor(f64::NAN);
    positions.raise_floor(f64::INFINITY);
    assert!(positions.is_empty() && positions.required_position(1) == f64::NEG_INFINITY);
}

proptest! {
    #![proptest_config(config())]

    /// Compared with a plain map that evicts nothing: never less, and the same while the capacity suffices.
    #[test]
    fn required_positions_are_never_less_than_the_acknowledged_ones(
        steps in prop::collection::vec((0u64..40, 0.0f64..1e6, prop::bool::weighted(0.02)), 1..300),
        capacity in 1usize..64,
        shards in 1usize..5,
    ) {
        let mut positions = SessionPositions::new(capacity, shards);
        let (mut model, mut floor) = (HashMap::new(), f64::NEG_INFINITY);
        for (session, position, raises_floor) in steps {
            if raises_floor {
                positions.raise_floor(position);
                floor = floor.max(position);
            } else {
                positions.record(session, position);
                let last = model.entry(session).or_insert(position);
                *last = position.max(*last);
            }
            for (session, last) in &model {
                prop_assert!(positions.required_position(*session) >= last.max(floor));
                if capacity >= 40 * shards {
                    prop_assert_eq!(positions.required_position(*session), last.max(floor));
                }
            }
            prop_assert!(positions.len() <= capacity.max(shards));
            for shard in &positions.shards {
                prop_assert_eq!(shard.by_session.len(), shard.by_position.len());
            }
        }
    }
}
