//! Tests of simulated tiers in virtual time that exchange encoded datagrams.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

/// Virtual time at the start of a run, in Unix ms.
const START: f64 = 1_796_000_000_000.0;
const TICK_MS: f64 = 100.0;

struct SimulatedNetwork {
    now: f64,
    tiers: Vec<Option<Tier>>,
    /// Sender, receiver and bytes of the datagrams in flight, by delivery time in microseconds since the
    /// start and sequence number.
    in_flight: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    random: ChaCha8Rng,
    loss: f64,
    /// Datagrams put in flight so far.
    datagrams: u64,
    /// When each router first received a fact about a primary.
    learned_at: Vec<Option<f64>>,
    /// All events of each router.
    events: Vec<Vec<PeerFact>>,
}

fn new_tier(index: usize, size: usize, seed: u64) -> Tier {
    let zone = Some((index % 3) as u8);
    let identity = Identity { local: index as u16, roster_size: size, zone, started_at: START as u64 };
    Tier::new(identity, seed * 10_000 + index as u64, Some(Key::new(b"k")), Limits::default()).unwrap()
}

impl SimulatedNetwork {
    fn new(size: usize, seed: u64, loss: f64) -> SimulatedNetwork {
        SimulatedNetwork {
            now: START,
            tiers: (0..size).map(|index| Some(new_tier(index, size, seed))).collect(),
            in_flight: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            datagrams: 0,
            learned_at: vec![None; size],
            events: vec![Vec::new(); size],
        }
    }

    fn dispatch(&mut self, from: usize, output: Output) {
        if output.events.iter().any(|event| matches!(event, PeerFact::Primary { .. })) {
            self.learned_at[from] = self.learned_at[from].or(Some(self.now));
        }
        self.events[from].extend(output.events);
        for datagram in output.datagrams {
            assert!(datagram.bytes.len() <= 256);
            if f64::from(self.random.next_u32()) / 4_294_967_296.0 < self.loss {
                continue;
            }
            let due = self.now - START + 1.0 + f64::from(self.random.next_u32() % 20);
            self.datagrams += 1;
            self.in_flight
                .insert(((due * 1e3) as u64, self.datagrams), (from as u16, datagram.to, datagram.bytes));
        }
    }

    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 20.0;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 as f64 / 1e3 > self.now - START {
                    break;
                }
                let (from, to, bytes) = entry.remove();
                let now = self.now;
                if let Some(tier) = &mut self.tiers[to as usize] {
                    let output = tier.receive(now, from, &bytes);
                    self.dispatch(to as usize, output);
                }
            }
            // Ticks of different routers fall at different times.
            let phase = (self.now - START) % TICK_MS;
            for member in 0..self.tiers.len() {
                let now = self.now;
                if (member % 5) as f64 * 20.0 == phase
                    && let Some(tier) = &mut self.tiers[member]
                {
                    let output = tier.tick(now);
                    self.dispatch(member, output);
                }
            }
        }
    }

    /// Datagrams sent per second and router so far.
    fn datagrams_per_second(&self) -> f64 {
        let sent: u64 = self.tiers.iter().flatten().map(|tier| tier.sent().datagrams).sum();
        sent as f64 / self.tiers.len() as f64 / ((self.now - START) / 1e3)
    }
}

#[test]
fn idle_routers_send_less_than_two_datagrams_per_second_and_learn_all_zones() {
    for (size, seconds) in [(3, 30.0), (30, 30.0), (300, 12.0)] {
        let mut network = SimulatedNetwork::new(size, 1, 0.0);
        network.run(seconds * 1e3);
        assert!(
            (1.0..2.0).contains(&network.datagrams_per_second()),
            "{size}: {}",
            network.datagrams_per_second()
        );
        let last = network.events[0].iter().rev().find(|event| matches!(event, PeerFact::Members { .. }));
        let Some(PeerFact::Members { counted, zone_shares }) = last else { panic!("{last:?}") };
        assert!(
            *counted == size
                && zone_shares.len() == 3
                && zone_shares.iter().all(|z| (z - 1.0 / 3.0).abs() < 0.15),
            "{zone_shares:?}"
        );
    }
}

#[test]
fn facts_reach_most_routers_within_two_seconds_despite_30_percent_loss() {
    // 1,000 routers take minutes in a debug build; `magpiewell-fleet prove` measures larger fleets.
    for seed in [1, 2] {
        let mut network = SimulatedNetwork::new(300, seed, 0.3);
        network.run(2_000.0);
        let output = network.tiers[7]
            .as_mut()
            .unwrap()
            .observe(network.now, Observation::Primary { group: 1, host: 2 });
        network.dispatch(7, output);
        let observed_at = network.now;
        network.run(6_000.0);
        let mut delays: Vec<f64> = network.learned_at.iter().flatten().map(|at| at - observed_at).collect();
        delays.sort_by(f64::total_cmp);
        assert!(delays.len() >= 295, "{}", delays.len());
        assert!(delays[200] < 2_000.0, "two thirds after {} ms", delays[200]);
    }
}

/// A zone is cut off: every router loses forty hosts in the same second. The token bucket bounds the traffic,
/// and although some reports then stay below the quorum, every router is notified of an unresponsive host.
#[test]
fn token_bucket_bounds_traffic_when_all_routers_observe_the_same() {
    let mut network = SimulatedNetwork::new(60, 3, 0.0);
    network.run(3_000.0);
    let before: u64 = network.tiers.iter().flatten().map(|tier| tier.sent().datagrams).sum();
    for member in 0..60 {
        for host in 0..40 {
            let output = network.tiers[member]
                .as_mut()
                .unwrap()
                .observe(network.now, Observation::Unresponsive { host });
            network.dispatch(member, output);
        }
    }
    network.run(5_000.0);
    let sent_per_router = (network.tiers.iter().flatten().map(|tier| tier.sent().datagrams).sum::<u64>()
        - before) as f64
        / 60.0;
    let limits = Limits::default();
    assert!(
        sent_per_router < limits.urgent_burst + 5.0 * (limits.urgent_per_second + 2.5),
        "{sent_per_router}"
    );
    let reported = |member: usize| {
        network.events[member].iter().filter(|event| matches!(event, PeerFact::Unresponsive { .. })).count()
    };
    assert!((0..60).all(|member| reported(member) > 0));
}

#[test]
fn unacceptable_and_excess_datagrams_affect_only_their_sender() {
    let mut tier = new_tier(0, 4, 1);
    let other_incarnation = new_tier(1, 4, 1).members().incarnation();
    let encoded = |from: u16, at: f64, observation| {
        let facts = vec![Fact { observation, origin: from, observed_at: at }];
        let datagram = Datagram {
            sender: from,
            zone: 1,
            incarnation: other_incarnation,
            message: Message::Gossip,
            updates: Vec::new(),
            facts,
            zone_ages: None,
            zone_chunks: Vec::new(),
            requested_batch: None,
            digest: None,
        };
        let mut bytes = Vec::new();
        encode(&datagram, Some(&Key::new(b"k")), &mut bytes);
        bytes
    };
    let unresponsive = Observation::Unresponsive { host: 9 };
    // From outside the roster, from the router itself, and with another member's number.
    for (from, bytes) in [
        (9, encoded(9, START, unresponsive)),
        (0, encoded(0, START, unresponsive)),
        (2, encoded(1, START, unresponsive)),
    ] {
        assert_eq!(tier.receive(START, from, &bytes), Output::default());
    }
    assert_eq!(tier.receive(START, 1, b"noise"), Output::default());
    // A fact dated in the future is rejected.
    tier.receive(START, 1, &encoded(1, START + 60_000.0, unresponsive));
    assert_eq!(
        (tier.dropped().stranger, tier.dropped().unreadable, tier.dropped().rejected_facts),
        (3, 1, 1)
    );
    // Repeated reports by one router don't reach the quorum; a report by a second router does.
    let events = |output: Output| {
        output.events.into_iter().filter(|event| matches!(event, PeerFact::Unresponsive { .. })).count()
    };
    assert_eq!(
        (0..9)
            .map(|n| events(tier.receive(START, 1, &encoded(1, START + f64::from(n), unresponsive))))
            .sum::<usize>(),
        0
    );
    assert_eq!(events(tier.receive(START, 2, &encoded(2, START, unresponsive))), 1);
    // Datagrams beyond one sender's rate are dropped, those of others are accepted.
    (0..500).for_each(|_| drop(tier.receive(START + 1.0, 1, &encoded(1, START, unresponsive))));
    assert!(tier.dropped().too_many > 400);
    assert_eq!(events(tier.receive(START + 2.0, 3, &encoded(3, START, unresponsive))), 1);
    // Encoded without the key.
    let mut bytes = Vec::new();
    let datagram = Datagram {
        sender: 3,
        zone: 1,
        incarnation: other_incarnation,
        message: Message::Gossip,
        updates: vec![],
        facts: vec![],
        zone_ages: None,
        zone_chunks: vec![],
        requested_batch: None,
        digest: None,
    };
    encode(&datagram, None, &mut bytes);
    tier.receive(START, 3, &bytes);
    assert_eq!(tier.dropped().unreadable + tier.dropped().wrong_key, 2);
}

#[test]
fn member_that_leaves_is_not_declared_dead_and_no_longer_counted() {
    let mut network = SimulatedNetwork::new(12, 5, 0.0);
    network.run(4_000.0);
    let output = network.tiers[4].as_mut().unwrap().leave(network.now);
    network.dispatch(4, output);
    network.tiers[4] = None;
    network.run(5_000.0);
    for member in (0..12).filter(|member| *member != 4) {
        assert_eq!(network.tiers[member].as_ref().unwrap().members().state(4), State::Left);
        let last =
            network.events[member].iter().rev().find(|event| matches!(event, PeerFact::Members { .. }));
        assert!(matches!(last, Some(PeerFact::Members { counted: 11, .. })), "{last:?}");
    }
}

/// One router knows forty new primaries and no longer gossips them; another has just learned the first one
/// and pulls the rest. Responses omit what the digest shows as known, and requests cease once primaries have
/// stopped changing.
#[test]
fn missing_primaries_are_pulled_while_primaries_change() {
    const GROUPS: u32 = 40;
    let router = |local, pull_facts| {
        let identity = Identity { local, roster_size: 2, zone: Some(0), started_at: START as u64 };
        Tier::new(identity, 7, None, Limits { pull_facts, ..Limits::default() }).unwrap()
    };
    let known =
        |tier: &Tier, now| (0..GROUPS).filter(|group| tier.facts().primary(now, *group).is_some()).count();
    for is_pulling in [true, false] {
        let (mut informed, mut asking) = (router(0, false), router(1, is_pulling));
        for group in 0..GROUPS {
            informed.observe(START, Observation::Primary { group, host: group });
        }
        while !informed.facts.facts_to_send(START, 20).is_empty() {}
        asking.facts.receive(
            START,
            Fact { observation: Observation::Primary { group: 0, host: 0 }, origin: 0, observed_at: START },
        );
        let mut digests = 0;
        for step in 1..150 {
            let now = START + f64::from(step) * TICK_MS;
            informed.tick(now);
            for request in asking.tick(now).datagrams {
                digests += usize::from(decode(&request.bytes, None, now).unwrap().digest.is_some());
                for answer in informed.receive(now, 1, &request.bytes).datagrams {
                    asking.receive(now, 0, &answer.bytes);
                }
            }
        }
        let now = START + 150.0 * TICK_MS;
        assert_eq!(known(&asking, now), if is_pulling { 40 } else { 1 }, "pulls: {is_pulling}");
        // One request per 625 ms until five seconds after the last primary was learned.
        assert!(if is_pulling { (3..=16).contains(&digests) } else { digests == 0 }, "{digests}");
    }
}

fn config() -> Config {
    Config { cases: 128, rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_datagrams_cause_no_panic_and_at_most_eight_replies_each(
        datagrams in prop::collection::vec((0u16..6, prop::collection::vec(any::<u8>(), 0..300)), 0..60),
        zone_evidence in any::<bool>()
    ) {
        let identity = Identity { local: 0, roster_size: 4, zone: None, started_at: 1 };
        let mut tier = Tier::new(
            identity,
            1,
            None,
            Limits { zone_evidence, pull_facts: zone_evidence, ..Limits::default() },
        )
        .unwrap();
        for (number, (from, bytes)) in datagrams.into_iter().enumerate() {
            let output = tier.receive(START + number as f64 * 37.0, from, &bytes);
            prop_assert!(output.datagrams.len() <= 8);
            tier.tick(START + number as f64 * 37.0);
        }
    }
}
