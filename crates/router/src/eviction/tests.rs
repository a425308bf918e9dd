use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn set() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(set())]

    /// Beside a scan over all clients, which is what stood here before and took most of a crowded router's time.
    #[test]
    fn the_same_goes_first_as_in_a_scan(
        steps in prop::collection::vec((0u64..12, 0u8..5, any::<bool>()), 1..120)
    ) {
        let (mut order, mut all, mut now) = (EvictionOrder::default(), HashMap::new(), 0u64);
        for (no, step, asks) in steps {
            now += 1;
            match step {
                0 => {
                    all.insert(no, Standing { asks: false, last: now });
                    order.enter(no, all[&no]);
                }
                1 => {
                    all.remove(&no);
                    order.leave(no);
                }
                2 => {
                    let Some(standing) = all.get_mut(&no) else { continue };
                    let other = standing.asks != asks;
                    *standing = Standing { asks, last: now };
                    if other {
                        order.enter(no, *standing);
                    }
                }
                _ => {
                    let until = now.saturating_sub(no);
                    let scan = all.iter().filter(|(_, s)| s.asks == asks && s.last <= until);
                    let scan = scan.map(|(no, s)| (s.last, *no)).min().map(|(_, no)| no);
                    let first = order.quietest(asks, until, |no| all[&no]);
                    prop_assert_eq!(first.map(|no| all[&no].last), scan.map(|no| all[&no].last));
                }
            }
            prop_assert_eq!(order.seen.len(), all.len());
            prop_assert_eq!(order.order[0].len() + order.order[1].len(), all.len());
        }
    }
}
