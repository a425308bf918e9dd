use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

proptest! {
    #![proptest_config(Config { cases: 256, rng_seed: RngSeed::Fixed(54), failure_persistence: None, ..Config::default() })]

    /// Whoever uses only what is available takes the share, one burst and one use more at most; and whoever
    /// waits as long as is named may go on.
    #[test]
    fn use_keeps_to_the_share_of_the_grant(
        steps in prop::collection::vec((0.0f64..300.0, 0.0f64..5.0), 1..300), cores in 0.01f64..2.0
    ) {
        let (mut allowance, mut now, mut used_ms) = (Allowance::new(cores, 0.0), 0.0, 0.0);
        for (step, cost_ms) in steps {
            now += step;
            if allowance.is_available(now) {
                allowance.charge(now, cost_ms);
                used_ms += cost_ms;
            }
            prop_assert!(used_ms <= SHARE * cores * (now + BURST_MS) + 5.0 + 1e-6);
        }
        let wait_ms = allowance.available_in_ms();
        prop_assert!(allowance.is_available(now + wait_ms + 1e-6));
    }
}

#[test]
fn clock_that_runs_backwards_adds_nothing() {
    let mut allowance = Allowance::new(1.0, 1_000.0);
    allowance.charge(1_000.0, 60.0);
    assert!(!allowance.is_available(0.0) && !allowance.is_available(1_000.0));
    assert!(allowance.is_available(1_040.0));
}
