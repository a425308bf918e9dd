//! Tiers of up to a thousand in virtual time, with the datagrams as they are written.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const START: f64 = 1_796_000_000_000.0;
const BEAT: f64 = 100.0;

struct Net {
    now: f64,
    tiers: Vec<Option<Tier>>,
    way: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    chance: ChaCha8Rng,
    loses: f64,
    no: u64,
    /// When each router first heard of a group's primary.
    knows: Vec<Option<f64>>,
    peer_facts: Vec<Vec<PeerFact>>,
}

fn one(me: usize, of: usize, seed: u64) -> Tier {
    let zone = Some((me % 3) as u8);
    Tier::new(
        (me as u16, of),
        zone,
        START as u64,
        seed * 10_000 + me as u64,
        Some(Key::new(b"k")),
        Limits::default(),
    )
}

impl Net {
    fn new(of: usize, seed: u64, loses: f64) -> Net {
        Net {
            now: START,
            tiers: (0..of).map(|me| Some(one(me, of, seed))).collect(),
            way: BTreeMap::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            loses,
            no: 0,
            knows: vec![None; of],
            peer_facts: vec![Vec::new(); of],
        }
    }

    fn carry(&mut self, from: usize, done: Done) {
        if done.peer_facts.iter().any(|t| matches!(t, PeerFact::Leads { .. })) {
            self.knows[from] = self.knows[from].or(Some(self.now));
        }
        self.peer_facts[from].extend(done.peer_facts);
        for out in done.out {
            assert!(out.bytes.len() <= 256);
            if f64::from(self.chance.next_u32()) / 4_294_967_296.0 < self.loses {
                continue;
            }
            let due = self.now - START + 1.0 + f64::from(self.chance.next_u32() % 20);
            self.no += 1;
            self.way.insert(((due * 1e3) as u64, self.no), (from as u16, out.to, out.bytes));
        }
    }

    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 20.0;
            while let Some(entry) = self.way.first_entry() {
                if entry.key().0 as f64 / 1e3 > self.now - START {
                    break;
                }
                let (from, to, bytes) = entry.remove();
                let now = self.now;
                if let Some(tier) = &mut self.tiers[to as usize] {
                    let done = tier.heard(now, from, &bytes);
                    self.carry(to as usize, done);
                }
            }
            // Beats of different routers fall at different times.
            let phase = (self.now - START) % BEAT;
            for who in 0..self.tiers.len() {
                let now = self.now;
                if (who % 5) as f64 * 20.0 == phase
                    && let Some(tier) = &mut self.tiers[who]
                {
                    let done = tier.beat(now);
                    self.carry(who, done);
                }
            }
        }
    }

    /// Datagrams a second and router so far.
    fn rate(&self) -> f64 {
        let sent: u64 = self.tiers.iter().flatten().map(|t| t.sent.0).sum();
        sent as f64 / self.tiers.len() as f64 / ((self.now - START) / 1e3)
    }
}

#[test]
fn a_quiet_tier_sends_two_a_second_at_most_and_knows_its_zones() {
    for (of, seconds) in [(3, 30.0), (30, 30.0), (300, 12.0)] {
        let mut net = Net::new(of, 1, 0.0);
        net.run(seconds * 1e3);
        assert!((1.0..2.0).contains(&net.rate()), "{of}: {}", net.rate());
        let last = net.peer_facts[0].iter().rev().find(|t| matches!(t, PeerFact::Members { .. }));
        let Some(PeerFact::Members { counted, zones }) = last else { panic!("{last:?}") };
        assert!(
            *counted == of && zones.len() == 3 && zones.iter().all(|z| (z - 1.0 / 3.0).abs() < 0.15),
            "{zones:?}"
        );
    }
}

#[test]
fn what_one_sees_all_know_soon_though_three_in_ten_are_lost() {
    // A thousand takes minutes in a debug build; its figure is measured by `prove`.
    for seed in [1, 2] {
        let mut net = Net::new(300, seed, 0.3);
        net.run(2_000.0);
        let done = net.tiers[7].as_mut().unwrap().saw(net.now, Observation::Primary { group: 1, host: 2 });
        net.carry(7, done);
        let from = net.now;
        net.run(6_000.0);
        let mut took: Vec<f64> = net.knows.iter().flatten().map(|at| at - from).collect();
        took.sort_by(f64::total_cmp);
        assert!(took.len() >= 295, "{}", took.len());
        assert!(took[200] < 2_000.0, "two in three after {} ms", took[200]);
    }
}

/// A zone's cut: every router loses forty hosts in the same second. What that costs is bounded, and who is
/// told by too few is not moved.
#[test]
fn when_all_see_the_same_at_once_the_bucket_bounds_what_is_said() {
    let mut net = Net::new(60, 3, 0.0);
    net.run(3_000.0);
    let before: u64 = net.tiers.iter().flatten().map(|t| t.sent.0).sum();
    for who in 0..60 {
        for host in 0..40 {
            let done = net.tiers[who].as_mut().unwrap().saw(net.now, Observation::Unresponsive { host });
            net.carry(who, done);
        }
    }
    net.run(5_000.0);
    let each = (net.tiers.iter().flatten().map(|t| t.sent.0).sum::<u64>() - before) as f64 / 60.0;
    let limits = Limits::default();
    assert!(each < limits.burst + 5.0 * (limits.refill + 2.5), "{each}");
    let heard =
        |who: usize| net.peer_facts[who].iter().filter(|t| matches!(t, PeerFact::Silent { .. })).count();
    assert!((0..60).all(|who| heard(who) > 0));
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
        };
        let mut bytes = Vec::new();
        encode(&datagram, Some(&Key::new(b"k")), &mut bytes);
        bytes
    };
    let silent = Observation::Unresponsive { host: 9 };
    // Not in the roster, itself, or in another's name.
    for (from, bytes) in
        [(9, said(9, START, silent)), (0, said(0, START, silent)), (2, said(1, START, silent))]
    {
        assert_eq!(tier.heard(START, from, &bytes), Done::default());
    }
    assert_eq!(tier.heard(START, 1, b"noise"), Done::default());
    // Of the future: passed over.
    tier.heard(START, 1, &said(1, START + 60_000.0, silent));
    assert_eq!((tier.dropped.stranger, tier.dropped.unreadable, tier.dropped.odd_facts), (3, 1, 1));
    // One alone, however often, makes nobody move; a second one does.
    let peer_facts =
        |done: Done| done.peer_facts.into_iter().filter(|t| matches!(t, PeerFact::Silent { .. })).count();
    assert_eq!(
        (0..9)
            .map(|n| peer_facts(tier.heard(START, 1, &said(1, START + f64::from(n), silent))))
            .sum::<usize>(),
        0
    );
    assert_eq!(peer_facts(tier.heard(START, 2, &said(2, START, silent))), 1);
    // A flood is not taken in, and others are.
    (0..500).for_each(|_| drop(tier.heard(START + 1.0, 1, &said(1, START, silent))));
    assert!(tier.dropped.too_many > 400);
    assert_eq!(peer_facts(tier.heard(START + 2.0, 3, &said(3, START, silent))), 1);
    // Without the key.
    let mut bytes = Vec::new();
    let datagram = Datagram {
        sender: 3,
        zone: 1,
        incarnation: other,
        message: Message::Gossip,
        updates: vec![],
        facts: vec![],
    };
    encode(&datagram, None, &mut bytes);
    tier.heard(START, 3, &bytes);
    assert_eq!(tier.dropped.unreadable + tier.dropped.wrong_key, 2);
}

#[test]
fn who_leaves_is_missed_by_nobody_and_counted_no_more() {
    let mut net = Net::new(12, 5, 0.0);
    net.run(4_000.0);
    let done = net.tiers[4].as_mut().unwrap().leave(net.now);
    net.carry(4, done);
    net.tiers[4] = None;
    net.run(5_000.0);
    for who in (0..12).filter(|w| *w != 4) {
        assert_eq!(net.tiers[who].as_ref().unwrap().members().state(4), State::Left);
        let last = net.peer_facts[who].iter().rev().find(|t| matches!(t, PeerFact::Members { .. }));
        assert!(matches!(last, Some(PeerFact::Members { counted: 11, .. })), "{last:?}");
    }
}

fn set() -> Config {
    Config { cases: 128, rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(set())]

    #[test]
    fn any_bytes_from_anybody_are_survived(
        all in prop::collection::vec((0u16..6, prop::collection::vec(any::<u8>(), 0..300)), 0..60)
    ) {
        let mut tier = Tier::new((0, 4), None, 1, 1, None, Limits::default());
        for (no, (from, bytes)) in all.into_iter().enumerate() {
            let done = tier.heard(START + no as f64 * 37.0, from, &bytes);
            prop_assert!(done.out.len() <= 8);
            tier.beat(START + no as f64 * 37.0);
        }
    }
}
