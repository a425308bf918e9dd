use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Compares with a scan over all clients, the former implementation, which took most of a crowded
    /// router's time.
    #[test]
    fn the_same_client_is_evicted_first_as_by_a_scan(
        steps in prop::collection::vec((0u64..12, 0u8..5, any::<bool>()), 1..120)
    ) {
        let (mut order, mut all, mut now) = (EvictionOrder::default(), HashMap::new(), 0u64);
        for (client, step, has_valid_op) in steps {
            now += 1;
            match step {
                0 => {
                    all.insert(client, ClientActivity { has_valid_op: false, last_active_at: now });
                    order.insert(client, all[&client]);
                }
                1 => {
                    all.remove(&client);
                    order.remove(client);
                }
                2 => {
                    let Some(activity) = all.get_mut(&client) else { continue };
                    let other = activity.has_valid_op != has_valid_op;
                    *activity = ClientActivity { has_valid_op, last_active_at: now };
                    if other {
                        order.insert(client, *activity);
                    }
                }
                _ => {
                    let until = now.saturating_sub(client);
                    let scan = all
                        .iter()
                        .filter(|(_, a)| a.has_valid_op == has_valid_op && a.last_active_at <= until);
                    let scan = scan.map(|(id, a)| (a.last_active_at, *id)).min().map(|(_, id)| id);
                    let first = order.longest_idle(has_valid_op, until, |id| all[&id]);
                    prop_assert_eq!(
                        first.map(|id| all[&id].last_active_at),
                        scan.map(|id| all[&id].last_active_at)
                    );
                }
            }
            prop_assert_eq!(order.activities.len(), all.len());
            prop_assert_eq!(order.order[0].len() + order.order[1].len(), all.len());
        }
    }
}
