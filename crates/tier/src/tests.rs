//! Tiers of up to a thousand in virtual time, with the datagrams as they are written.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const START: f64 = 1_796_000_000_000.0;
const TICK: f64 = 100.0;

struct Net {
    now: f64,
    tiers: Vec<Option<Tier>>,
    in_flight: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    random: ChaCha8Rng,
    loss: f64,
    datagrams: u64,
    /// When each router first heard of a group's primary.
    knows: Vec<Option<f64>>,
    events: Vec<Vec<PeerFact>>,
}

fn one(me: usize, of: usize, seed: u64) -> Tier {
    let zone = Some((me % 3) as u8);
    let identity = Identity { local: me as u16, roster_size: of, zone, started_at: START as u64 };
    Tier::new(identity, seed * 10_000 + me as u64, Some(Key::new(b"k")), Limits::default()).unwrap()
}

impl Net {
    fn new(of: usize, seed: u64, loss: f64) -> Net {
        Net {
            now: START,
            tiers: (0..of).map(|me| Some(one(me, of, seed))).collect(),
            in_flight: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            datagrams: 0,
            knows: vec![None; of],
            events: vec![Vec::new(); of],
        }
    }

    fn carry(&mut self, from: usize, output: Output) {
        if output.events.iter().any(|t| matches!(t, PeerFact::Primary { .. })) {
            self.knows[from] = self.knows[from].or(Some(self.now));
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
                    self.carry(to as usize, output);
                }
            }
            // Ticks of different routers fall at different times.
            let phase = (self.now - START) % TICK;
            for who in 0..self.tiers.len() {
                let now = self.now;
                if (who % 5) as f64 * 20.0 == phase
                    && let Some(tier) = &mut self.tiers[who]
                {
                    let output = tier.tick(now);
                    self.carry(who, output);
                }
            }
        }
    }

    /// Datagrams a second and router so far.
    fn rate(&self) -> f64 {
        let sent: u64 = self.tiers.iter().flatten().map(|t| t.sent().datagrams).sum();
        sent as f64 / self.tiers.len() as f64 / ((self.now - START) / 1e3)
    }
}

#[test]
fn a_quiet_tier_sends_two_a_second_at_most_and_knows_its_zones() {
    for (of, seconds) in [(3, 30.0), (30, 30.0), (300, 12.0)] {
        let mut net = Net::new(of, 1, 0.0);
        net.run(seconds * 1e3);
        assert!((1.0..2.0).contains(&net.rate()), "{of}: {}", net.rate());
        let last = net.events[0].iter().rev().find(|t| matches!(t, PeerFact::Members { .. }));
        let Some(PeerFact::Members { counted, zone_shares }) = last else { panic!("{last:?}") };
        assert!(
            *counted == of
                && zone_shares.len() == 3
                && zone_shares.iter().all(|z| (z - 1.0 / 3.0).abs() < 0.15),
            "{zone_shares:?}"
        );
    }
}

#[test]
fn what_one_sees_all_know_soon_though_three_in_ten_are_lost() {
    // A thousand takes minutes in a debug build; its figure is measured by `prove`.
    for seed in [1, 2] {
        let mut net = Net::new(300, seed, 0.3);
        net.run(2_000.0);
        let output =
            net.tiers[7].as_mut().unwrap().observe(net.now, Observation::Primary { group: 1, host: 2 });
        net.carry(7, output);
        let from = net.now;
        net.run(6_000.0);
        let mut took: Vec<f64> = net.knows.iter().flatten().map(|at| at - from).collect();
        took.sort_by(f64::total_cmp);
        assert!(took.len() >= 295, "{}", took.len());
        assert!(took[200] < 2_000.0, "two in three after {} ms", took[200]);
    }
}

/// A zone's cut: every router loss forty hosts in the same second. What that costs is bounded, and who is
/// told by too few is not moved.
#[test]
fn when_all_see_the_same_at_once_the_bucket_bounds_what_is_said() {
    let mut net = Net::new(60, 3, 0.0);
    net.run(3_000.0);
    let before: u64 = net.tiers.iter().flatten().map(|t| t.sent().datagrams).sum();
    for who in 0..60 {
        for host in 0..40 {
            let output =
                net.tiers[who].as_mut().unwrap().observe(net.now, Observation::Unresponsive { host });
            net.carry(who, output);
        }
    }
    net.run(5_000.0);
    let each = (net.tiers.iter().flatten().map(|t| t.sent().datagrams).sum::<u64>() - before) as f64 / 60.0;
    let limits = Limits::default();
    assert!(each < limits.urgent_burst + 5.0 * (limits.urgent_per_second + 2.5), "{each}");
    let reported =
        |who: usize| net.events[who].iter().filter(|t| matches!(t, PeerFact::Unresponsive { .. })).count();
    assert!((0..60).all(|who| reported(who) > 0));
}

#[test]
fn strangers_liars_and_floods_cost_their_sender_alone() {
    let mut tier = one(0, 4, 1);
    let other = one(1, 4, 1).members().incarnation();
    let said = |from: u16, at: f64, observation| {
        let facts = vec![Fact { observation, origin: from, observed_at: at }];
        let datagram = Datagram {
            sender: from,
            zone: 1,
            incarnation: other,
            message: Message::Gossip,
            updates: Vec::new(),
            facts,
            zone_ages: None,
            zone_chunks: Vec::new(),
            wanted_batch: None,
            digest: None,
        };
        let mut bytes = Vec::new();
        encode(&datagram, Some(&Key::new(b"k")), &mut bytes);
        bytes
    };
    let unresponsive = Observation::Unresponsive { host: 9 };
    // Not in the roster, itself, or in another's name.
    for (from, bytes) in [
        (9, said(9, START, unresponsive)),
        (0, said(0, START, unresponsive)),
        (2, said(1, START, unresponsive)),
    ] {
        assert_eq!(tier.receive(START, from, &bytes), Output::default());
    }
    assert_eq!(tier.receive(START, 1, b"noise"), Output::default());
    // Of the future: passed over.
    tier.receive(START, 1, &said(1, START + 60_000.0, unresponsive));
    assert_eq!(
        (tier.dropped().stranger, tier.dropped().unreadable, tier.dropped().rejected_facts),
        (3, 1, 1)
    );
    // One alone, however often, makes nobody move; a second one does.
    let events = |output: Output| {
        output.events.into_iter().filter(|t| matches!(t, PeerFact::Unresponsive { .. })).count()
    };
    assert_eq!(
        (0..9)
            .map(|n| events(tier.receive(START, 1, &said(1, START + f64::from(n), unresponsive))))
            .sum::<usize>(),
        0
    );
    assert_eq!(events(tier.receive(START, 2, &said(2, START, unresponsive))), 1);
    // A flood is not taken in, and others are.
    (0..500).for_each(|_| drop(tier.receive(START + 1.0, 1, &said(1, START, unresponsive))));
    assert!(tier.dropped().too_many > 400);
    assert_eq!(events(tier.receive(START + 2.0, 3, &said(3, START, unresponsive))), 1);
    // Without the key.
    let mut bytes = Vec::new();
    let datagram = Datagram {
        sender: 3,
        zone: 1,
        incarnation: other,
        message: Message::Gossip,
        updates: vec![],
        facts: vec![],
        zone_ages: None,
        zone_chunks: vec![],
        wanted_batch: None,
        digest: None,
    };
    encode(&datagram, None, &mut bytes);
    tier.receive(START, 3, &bytes);
    assert_eq!(tier.dropped().unreadable + tier.dropped().wrong_key, 2);
}

#[test]
fn who_leaves_is_missed_by_nobody_and_counted_no_more() {
    let mut net = Net::new(12, 5, 0.0);
    net.run(4_000.0);
    let output = net.tiers[4].as_mut().unwrap().leave(net.now);
    net.carry(4, output);
    net.tiers[4] = None;
    net.run(5_000.0);
    for who in (0..12).filter(|w| *w != 4) {
        assert_eq!(net.tiers[who].as_ref().unwrap().members().state(4), State::Left);
        let last = net.events[who].iter().rev().find(|t| matches!(t, PeerFact::Members { .. }));
        assert!(matches!(last, Some(PeerFact::Members { counted: 11, .. })), "{last:?}");
    }
}

/// One router knows forty new primaries and has stopped telling them; another has just heard of the first and pulls the
/// rest. What it knows already isn't sent to it, and it asks for nothing once primaries have stopped changing.
#[test]
fn what_a_router_lacks_it_pulls_while_primaries_change() {
    const GROUPS: u32 = 40;
    let router = |local, pull_facts| {
        let identity = Identity { local, roster_size: 2, zone: Some(0), started_at: START as u64 };
        Tier::new(identity, 7, None, Limits { pull_facts, ..Limits::default() }).unwrap()
    };
    let known =
        |tier: &Tier, now| (0..GROUPS).filter(|group| tier.facts().primary(now, *group).is_some()).count();
    for pulls in [true, false] {
        let (mut informed, mut asking) = (router(0, false), router(1, pulls));
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
            let now = START + f64::from(step) * TICK;
            informed.tick(now);
            for request in asking.tick(now).datagrams {
                digests += usize::from(decode(&request.bytes, None, now).unwrap().digest.is_some());
                for answer in informed.receive(now, 1, &request.bytes).datagrams {
                    asking.receive(now, 0, &answer.bytes);
                }
            }
        }
        let now = START + 150.0 * TICK;
        assert_eq!(known(&asking, now), if pulls { 40 } else { 1 }, "pulls: {pulls}");
        // For five seconds after the last news, one in 625 ms.
        assert!(if pulls { (3..=16).contains(&digests) } else { digests == 0 }, "{digests}");
    }
}

fn set() -> Config {
    Config { cases: 128, rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(set())]

    #[test]
    fn any_bytes_from_anybody_are_survived(
        all in prop::collection::vec((0u16..6, prop::collection::vec(any::<u8>(), 0..300)), 0..60),
        zone_evidence in any::<bool>()
    ) {
        let identity = Identity { local: 0, roster_size: 4, zone: None, started_at: 1 };
        let mut tier = Tier::new(identity, 1, None, Limits { zone_evidence, pull_facts: zone_evidence, ..Limits::default() }).unwrap();
        for (no, (from, bytes)) in all.into_iter().enumerate() {
            let output = tier.receive(START + no as f64 * 37.0, from, &bytes);
            prop_assert!(output.datagrams.len() <= 8);
            tier.tick(START + no as f64 * 37.0);
        }
    }
}
