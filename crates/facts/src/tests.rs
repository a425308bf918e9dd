//! Merging of facts in any order, of invalid and of expired facts, checked against a simple model.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The time at which facts are received, in Unix ms.
const NOW: f64 = 1_000_000.0;

fn config() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..Config::default() }
}

fn fact() -> impl Strategy<Value = Fact> {
    let observation = prop_oneof![
        (0u32..3, 0u32..4).prop_map(|(group, host)| Observation::Primary { group, host }),
        (0u32..4, 0u32..5_000).prop_map(|(host, lag_ms)| Observation::ReplicaLag { host, lag_ms }),
        (0u32..4).prop_map(|host| Observation::Unresponsive { host }),
        (0u32..4, 0u16..900, 1u16..9).prop_map(|(host, latency_percent, reads)| Observation::Slow {
            host,
            latency_percent,
            reads
        }),
    ];
    // Generated facts may share subject, origin and timestamp, which a router's own observations never do:
    // tests for which this matters remove such duplicates.
    (observation, 1u16..7, 0u32..5).prop_map(|(observation, origin, age)| Fact {
        observation,
        origin,
        observed_at: NOW - f64::from(age) * 900.0,
    })
}

fn received(all: &[Fact]) -> Facts {
    let mut facts = Facts::new(0, Limits { max_origins: 3, ..Limits::default() });
    for fact in all {
        facts.receive(NOW, *fact);
    }
    facts
}

/// The answers of a store to all queries about the groups and hosts that the strategies generate.
fn query_all(facts: &Facts) -> String {
    let groups: Vec<_> = (0..3).map(|g| facts.primary(NOW, g)).collect();
    let hosts: Vec<_> = (0..4)
        .map(|h| (facts.replica_lag(NOW, h), facts.unresponsive_reports(NOW, h), facts.latency_ratio(NOW, h)))
        .collect();
    format!("{groups:?} {hosts:?}")
}

/// When a limit is exceeded, the oldest entry must be evicted, and each eviction counted.
#[test]
fn groups_and_hosts_beyond_the_limits_are_evicted_and_counted() {
    let limits = Limits { max_groups: 3, max_hosts: 2, ..Limits::default() };
    let mut facts = Facts::new(0, limits);
    for number in 0..5u32 {
        let now = f64::from(number);
        facts.observe(now, Observation::Primary { group: number, host: number });
        facts.observe(now, Observation::ReplicaLag { host: number, lag_ms: 1 });
    }
    let Sizes { groups, hosts, evicted, .. } = facts.sizes();
    assert_eq!((groups, hosts, evicted), (3, 2, 5));
    assert_eq!((facts.primary(4.0, 1), facts.primary(4.0, 2).map(|primary| primary.host)), (None, Some(2)));
}

/// Two routers know different primaries. The answer to a digest must contain only facts that the requester
/// lacks, and after some rounds with different salts the requester must know them all.
#[test]
fn the_answer_to_a_digest_contains_only_missing_facts() {
    const GROUPS: u32 = 200;
    let (mut requester, mut responder) = (Facts::new(0, Limits::default()), Facts::new(1, Limits::default()));
    for group in 0..GROUPS {
        let fact = Fact {
            observation: Observation::Primary { group, host: group * 5 },
            origin: 7,
            observed_at: 1_000.25 + f64::from(group),
        };
        responder.receive(2_000.0, fact);
        if group % 4 != 0 {
            requester.receive(2_000.0, Fact { observed_at: fact.observed_at.floor(), ..fact });
        }
    }
    assert!(requester.should_pull(2_000.0) && !Facts::new(0, Limits::default()).should_pull(2_000.0));
    let known_primaries =
        |facts: &Facts| (0..GROUPS).filter(|group| facts.primary(2_000.0, *group).is_some()).count();
    assert_eq!(known_primaries(&requester), 150);
    for salt in 0..20 {
        let sent = responder.missing_from(2_000.0, &requester.digest(2_000.0, salt), 8);
        let is_known = |fact: &Fact| match fact.observation {
            Observation::Primary { group, .. } => requester.primary(2_000.0, group).is_some(),
            _ => true,
        };
        assert!(!sent.iter().any(is_known), "{sent:?}");
        for fact in sent {
            requester.receive(2_000.0, fact);
        }
    }
    assert_eq!(known_primaries(&requester), 200);
    // Primaries older than the digest window are neither in a digest nor sent.
    assert!(responder.missing_from(60_000.0, &Digest::empty(0), 8).is_empty());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn facts_converge_in_any_order_and_with_repetitions(
        all in prop::collection::vec(fact(), 1..60), seed in any::<u64>()
    ) {
        let mut seen = std::collections::HashSet::new();
        let key = |f: &Fact| match f.observation {
            Observation::Primary { group, .. } => (0, group, f.origin, f.observed_at as u64),
            Observation::ReplicaLag { host, .. } => (1, host, f.origin, f.observed_at as u64),
            Observation::Unresponsive { host } => (2, host, f.origin, f.observed_at as u64),
            Observation::Slow { host, .. } => (3, host, f.origin, f.observed_at as u64),
        };
        let mut all: Vec<Fact> = all.into_iter().filter(|f| seen.insert(key(f))).collect();
        let first = query_all(&received(&all));
        let (mut random, repeated) = (seed, all.clone());
        all.extend(repeated);
        for i in (1..all.len()).rev() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            all.swap(i, (random >> 33) as usize % (i + 1));
        }
        prop_assert_eq!(first, query_all(&received(&all)));
    }

    /// Checked against a simple model: the latest primary of a group and the latest lag of a host are stored.
    #[test]
    fn the_latest_observation_wins(all in prop::collection::vec(fact(), 1..60)) {
        let facts = received(&all);
        for group in 0..3 {
            let about = |f: &&Fact| {
                matches!(f.observation, Observation::Primary { group: g, .. } if g == group)
            };
            let stamps = all.iter().filter(about).map(|f| (f.observed_at, f.origin));
            let last = stamps.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            prop_assert_eq!(facts.primary(NOW, group).map(|entry| entry.observed_at), last.map(|(at, _)| at));
        }
        for host in 0..4 {
            let about = |f: &&Fact| {
                matches!(f.observation, Observation::ReplicaLag { host: h, .. } if h == host)
            };
            let times = all.iter().filter(about).map(|f| f.observed_at);
            let last = times.filter(|at| NOW - at <= 3_000.0).reduce(f64::max);
            prop_assert_eq!(facts.replica_lag(NOW, host).map(|entry| entry.observed_at), last);
        }
    }

    /// Arbitrary facts with arbitrary timestamps stay within the limits of the store and expire.
    #[test]
    fn arbitrary_facts_are_bounded_and_expire(
        all in prop::collection::vec((any::<u32>(), any::<u16>(), -1e7f64..1e7, 0u8..4), 0..400)
    ) {
        let defaults = Limits::default();
        let limits = Limits { max_groups: 5, max_hosts: 7, max_origins: 2, max_queued: 9, ..defaults };
        let mut facts = Facts::new(0, limits);
        for (key, origin, offset, kind) in all {
            let observation = match kind {
                0 => Observation::Primary { group: key, host: key },
                1 => Observation::ReplicaLag { host: key, lag_ms: key },
                2 => Observation::Unresponsive { host: key % 11 },
                _ => Observation::Slow { host: key % 11, latency_percent: origin, reads: origin },
            };
            let received = facts.receive(NOW, Fact { observation, origin, observed_at: NOW + offset });
            prop_assert!(offset <= limits.max_clock_skew_ms || received == Received::Rejected);
            let Sizes { groups, hosts, queued, .. } = facts.sizes();
            prop_assert!(groups <= 5 && hosts <= 7 && queued <= 9);
            prop_assert!(facts.unresponsive_reports(NOW, key % 11) <= 2);
        }
        facts.facts_to_send(NOW + 70_000.0, 1);
        facts.remove_expired(NOW + 70_000.0);
        let Sizes { groups, hosts, queued, .. } = facts.sizes();
        prop_assert_eq!((groups, hosts, queued), (0, 0, 0));
    }
}

#[test]
fn a_fact_is_sent_a_limited_number_of_times_least_sent_first_and_not_if_reported_by_enough_others() {
    let mut facts = Facts::new(0, Limits { transmit_limit: 2, max_origins: 2, ..Limits::default() });
    assert!(facts.observe(NOW, Observation::Unresponsive { host: 1 }) && facts.has_unsent());
    assert_eq!(facts.facts_to_send(NOW, 9).len(), 1);
    assert!(!facts.has_unsent() && facts.observe(NOW, Observation::Unresponsive { host: 2 }));
    let sent = facts.facts_to_send(NOW, 1);
    assert_eq!(sent[0].observation, Observation::Unresponsive { host: 2 });
    assert_eq!((facts.facts_to_send(NOW, 9).len(), facts.facts_to_send(NOW, 9).len()), (2, 0));
    // Two other routers have reported host 3: a third report adds nothing and is not queued.
    for origin in [4, 5] {
        facts.receive(
            NOW,
            Fact { observation: Observation::Unresponsive { host: 3 }, origin, observed_at: NOW },
        );
    }
    assert!(!facts.observe(NOW, Observation::Unresponsive { host: 3 }));
    assert_eq!(facts.unresponsive_reports(NOW, 3), 2);
}

#[test]
fn returned_own_facts_and_facts_from_the_future_are_not_merged() {
    let mut facts = Facts::new(3, Limits::default());
    let primary = Observation::Primary { group: 1, host: 9 };
    assert_eq!(
        facts.receive(NOW, Fact { observation: primary, origin: 3, observed_at: NOW }),
        Received::Known
    );
    assert_eq!(
        facts.receive(NOW, Fact { observation: primary, origin: 4, observed_at: NOW + 9_000.0 }),
        Received::Rejected
    );
    assert_eq!(
        facts.receive(NOW, Fact { observation: primary, origin: 4, observed_at: f64::NAN }),
        Received::Rejected
    );
    assert_eq!(facts.primary(NOW, 1), None);
    assert_eq!(
        facts.receive(NOW, Fact { observation: primary, origin: 4, observed_at: NOW - 5.0 }),
        Received::New
    );
    assert_eq!(facts.primary(NOW, 1), Some(Primary { host: 9, observed_at: NOW - 5.0 }));
}

#[test]
fn slow_reads_of_other_routers_are_aggregated_without_own_ones() {
    let mut facts = Facts::new(0, Limits::default());
    facts.observe(NOW, Observation::Slow { host: 1, latency_percent: 900, reads: 50 });
    assert_eq!(facts.latency_ratio(NOW, 1), None);
    for (origin, latency_percent, reads) in [(1, 300, 1), (2, 500, 3)] {
        facts.receive(
            NOW,
            Fact {
                observation: Observation::Slow { host: 1, latency_percent, reads },
                origin,
                observed_at: NOW,
            },
        );
    }
    assert_eq!(facts.latency_ratio(NOW, 1), Some(LatencyRatio { reads: 4.0, ratio: 4.5 }));
    assert_eq!(facts.latency_ratio(NOW + 5_000.0, 1), None);
}
