//! Tiers of members in virtual time: loss, cuts, stops, restarts, liars; and updates in any order.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const TICK: f64 = 50.0;
const ENTRIES: usize = 12;

type Datagram = (u16, u16, Incarnation, Message, Vec<Update>);

/// A tier on a network that loses and delays by a seed.
struct Tier {
    now: f64,
    members: Vec<Option<Members>>,
    stopped: Vec<bool>,
    /// Datagrams on their way, by the time at which they are due.
    in_flight: BTreeMap<(u64, u64), Datagram>,
    random: ChaCha8Rng,
    loss: f64,
    /// Which side of a cut each is on.
    side: Vec<u8>,
    sent: usize,
    datagrams: u64,
}

impl Tier {
    fn new(of: usize, seed: u64, loss: f64) -> Tier {
        let one =
            |me: usize| Some(Members::new(me as u16, of, 1, seed + me as u64, Limits::default()).unwrap());
        Tier {
            now: 0.0,
            members: (0..of).map(one).collect(),
            stopped: vec![false; of],
            in_flight: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            side: vec![0; of],
            sent: 0,
            datagrams: 0,
        }
    }

    fn draw(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let (Action::Send { to, message } | Action::SendToSuspect { to, message }) = action else {
                continue;
            };
            let Some(member) = &mut self.members[from] else { return };
            let (incarnation, updates) = (member.incarnation(), member.updates_for(to, ENTRIES));
            self.sent += 1;
            if self.draw() < self.loss || self.side[from] != self.side[to as usize] {
                continue;
            }
            let due = self.now + 1.0 + self.draw() * 20.0;
            self.datagrams += 1;
            self.in_flight.insert(
                ((due * 1e3) as u64, self.datagrams),
                (from as u16, to, incarnation, message, updates),
            );
        }
    }

    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += TICK;
            let now = self.now;
            while let Some((key, (from, to, incarnation, message, updates))) = self.in_flight.pop_first() {
                if key.0 as f64 / 1e3 > now {
                    self.in_flight.insert(key, (from, to, incarnation, message, updates));
                    break;
                }
                if self.stopped[to as usize] {
                    // It waits in the socket until the process goes on.
                    self.in_flight.insert(
                        (key.0 + (TICK * 1e3) as u64, key.1),
                        (from, to, incarnation, message, updates),
                    );
                    continue;
                }
                if let Some(member) = &mut self.members[to as usize] {
                    let actions = member.receive(now, from, incarnation, message, &updates);
                    self.perform(to as usize, actions);
                }
            }
            for who in 0..self.members.len() {
                if !self.stopped[who]
                    && let Some(member) = &mut self.members[who]
                {
                    let actions = member.tick(now);
                    self.perform(who, actions);
                }
            }
        }
    }

    /// What each living, running one believes of this one.
    fn views(&self, of: usize) -> Vec<State> {
        let seen = self.members.iter().enumerate().filter(|(who, _)| *who != of && !self.stopped[*who]);
        seen.filter_map(|(_, m)| m.as_ref()).map(|m| m.state(of as u16)).collect()
    }

    fn all_alive(&self) -> bool {
        (0..self.members.len()).all(|who| self.views(who).iter().all(|s| *s == State::Alive))
    }
}

#[test]
fn a_quiet_tier_declares_nobody_dead_and_each_sends_at_most_two_a_second() {
    for (of, seconds) in [(3, 60.0), (30, 60.0), (300, 20.0)] {
        let mut tier = Tier::new(of, 5, 0.0);
        tier.run(seconds * 1_000.0);
        assert!(tier.all_alive());
        let each = tier.sent as f64 / of as f64 / seconds;
        assert!((1.0..2.0).contains(&each), "{of}: {each}");
    }
}

#[test]
fn with_three_in_ten_lost_nobody_is_declared_dead_for_long_and_who_dies_is() {
    for seed in 1..6 {
        let mut tier = Tier::new(30, seed, 0.3);
        let mut wrong = 0;
        for _ in 0..60 {
            tier.run(1_000.0);
            let dead = |who: usize| tier.views(who).iter().filter(|s| **s == State::Dead).count();
            wrong += (0..30).map(dead).sum::<usize>();
        }
        // Of 60 looks at 870 beliefs, less than one in a hundred.
        assert!(wrong < 522, "{wrong}");
        (0..21).for_each(|who| tier.members[who] = None);
        tier.run(tier.members[25].as_ref().unwrap().detection_bound());
        for dead in 0..21 {
            assert!(tier.views(dead).iter().all(|s| *s == State::Dead), "{dead}");
        }
    }
}

#[test]
fn a_tier_cut_in_two_declares_the_other_side_dead_and_finds_it_again() {
    let mut tier = Tier::new(12, 9, 0.0);
    tier.run(5_000.0);
    (0..5).for_each(|who| tier.side[who] = 1);
    tier.run(40_000.0);
    assert_eq!(tier.members[0].as_ref().unwrap().counted().collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
    assert_eq!(tier.members[7].as_ref().unwrap().counted().count(), 7);
    tier.side = vec![0; 12];
    tier.run(40_000.0);
    assert!(tier.all_alive());
}

#[test]
fn who_was_paused_suspects_nobody_when_it_goes_on_and_refutes_what_was_said() {
    let mut tier = Tier::new(8, 3, 0.0);
    tier.run(5_000.0);
    tier.stopped[2] = true;
    tier.run(20_000.0);
    assert!(tier.views(2).iter().all(|s| *s == State::Dead));
    tier.stopped[2] = false;
    tier.run(500.0);
    let woken = tier.members[2].as_ref().unwrap();
    assert_eq!(woken.counted().count(), 8, "believes itself alive, and all others too");
    tier.run(15_000.0);
    assert!(tier.all_alive() && tier.members[2].as_ref().unwrap().incarnation().refutations > 0);
}

#[test]
fn who_leaves_is_not_waited_for_and_who_restarts_is_another_incarnation() {
    let mut tier = Tier::new(8, 4, 0.0);
    tier.run(3_000.0);
    let actions = tier.members[5].as_mut().unwrap().leave(3);
    assert_eq!(actions.len(), 3);
    tier.perform(5, actions);
    tier.members[5] = None;
    tier.run(6_000.0);
    assert!(tier.views(5).iter().all(|s| *s == State::Left));
    // Back on a clock that is a second behind: its old incarnation's end does not hold it down.
    tier.members[5] = Some(Members::new(5, 8, 0, 77, Limits::default()).unwrap());
    tier.run(20_000.0);
    assert!(tier.all_alive());
}

#[test]
fn whom_the_roster_does_not_name_does_not_exist_and_lies_about_others_are_refuted() {
    let mut tier = Tier::new(6, 8, 0.0);
    tier.run(3_000.0);
    let far = Incarnation { started_at: u64::MAX >> 16, refutations: 3 };
    let lies: Vec<Update> =
        (0..10_000).map(|who| Update { member: who as u16, incarnation: far, state: State::Dead }).collect();
    let actions = tier.members[0].as_mut().unwrap().receive(
        tier.now,
        1,
        Incarnation::default(),
        Message::Gossip,
        &lies,
    );
    tier.perform(0, actions);
    let nobody =
        tier.members[0].as_mut().unwrap().receive(tier.now, 4_000, far, Message::Ping { number: 1 }, &[]);
    assert!(nobody.is_empty());
    tier.run(40_000.0);
    assert!(tier.all_alive());
}

/// The highest number that fits says that a process has refuted four thousand million times: it is refuted as well.
#[test]
fn a_forged_update_with_the_highest_count_is_refuted() {
    let mut one = Members::new(0, 4, 9, 1, Limits::default()).unwrap();
    let forged = Incarnation { started_at: 9, refutations: u32::MAX };
    let update = Update { member: 0, incarnation: forged, state: State::Dead };
    one.receive(1.0, 1, Incarnation::default(), Message::Gossip, &[update]);
    assert!(one.incarnation() > forged, "{:?}", one.incarnation());
}

/// However many are suspected at once, the pings to them are bounded.
#[test]
fn many_suspects_are_pinged_at_a_bounded_rate() {
    let limits = Limits::default();
    let mut one = Members::new(0, 60, 9, 1, limits).unwrap();
    let mut pings = 0;
    let (mut now, until) = (0.0, 60_000.0);
    while now < until {
        now += 100.0;
        let to_suspects = |action: &Action| matches!(action, Action::SendToSuspect { .. });
        pings += one.tick(now).iter().filter(|action| to_suspects(action)).count();
    }
    let most = until / limits.ack_timeout;
    assert!(one.suspicions.len() > 2 && pings > 50 && pings as f64 <= most, "{pings} of {most}");
}

/// While a whole group is silent none of its members is accused, whoever says so, and all are as before when it is
/// heard again.
#[test]
fn nobody_in_a_silent_group_is_accused_one_by_one() {
    for status in [GroupStatus::NotCounted, GroupStatus::Frozen] {
        let mut one = Members::new(0, 4, 9, 1, Limits::default()).unwrap();
        one.set_group_status(2, status);
        assert_eq!(one.is_counted(2), status == GroupStatus::Frozen);
        assert_eq!(one.counted_size(), one.counted().count());
        let accused = |member| Update { member, incarnation: Incarnation::default(), state: State::Dead };
        one.receive(1.0, 1, Incarnation::default(), Message::Gossip, &[accused(2), accused(3)]);
        assert_eq!((one.state(2), one.state(3)), (State::Alive, State::Dead));
        assert!(!one.suspect(2.0, 2), "and this router itself accuses nobody there");
        // What the member says of itself is taken: it has left.
        let left = Update { state: State::Left, ..accused(2) };
        one.set_group_status(2, GroupStatus::Reachable);
        assert!(one.is_counted(2));
        one.set_group_status(2, status);
        one.receive(3.0, 1, Incarnation::default(), Message::Gossip, &[left]);
        assert_eq!((one.state(2), one.is_counted(2)), (State::Left, false));
    }
}

#[test]
fn a_roster_that_is_too_large_or_without_this_router_is_a_named_error() {
    let new = |local, size| Members::new(local, size, 0, 1, Limits::default()).map(|_| ());
    assert_eq!(new(0, MAX_MEMBERS), Ok(()));
    assert_eq!(new(0, MAX_MEMBERS + 1), Err(RosterError::TooLarge { size: MAX_MEMBERS + 1 }));
    assert_eq!(new(4, 4), Err(RosterError::NotInRoster { member: 4, size: 4 }));
    assert!(RosterError::TooLarge { size: 9_000 }.to_string().contains("9000 members, at most 8192"));
}

fn set() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..Config::default() }
}

fn update() -> impl Strategy<Value = Update> {
    let state = prop::sample::select(vec![State::Alive, State::Suspect, State::Dead, State::Left]);
    (1u16..4, 0u64..3, 0u32..3, state).prop_map(|(member, started_at, refutations, state)| Update {
        member,
        incarnation: Incarnation { started_at, refutations },
        state,
    })
}

proptest! {
    #![proptest_config(set())]

    /// Beside a plain model: the greatest state about the latest incarnation, whatever the order and however
    /// often.
    #[test]
    fn any_order_of_updates_ends_in_one_belief(
        mut all in prop::collection::vec(update(), 1..40), seed in any::<u64>()
    ) {
        let believe = |all: &[Update]| {
            let mut one = Members::new(0, 4, 9, 1, Limits::default()).unwrap();
            one.receive(1.0, 1, Incarnation::default(), Message::Gossip, all);
            (1..4).map(|who| (one.roster.get(who as u16).unwrap().incarnation, one.state(who as u16))).collect::<Vec<_>>()
        };
        let first = believe(&all);
        let mut plain = [(Incarnation::default(), State::Alive); 4];
        for update in &all {
            let held = &mut plain[update.member as usize];
            *held = (*held).max((update.incarnation, update.state));
        }
        prop_assert_eq!(&first[..], &plain[1..]);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for i in (1..all.len()).rev() {
            all.swap(i, (random.next_u64() % (i as u64 + 1)) as usize);
        }
        let again = all.clone();
        all.extend(again);
        prop_assert_eq!(first, believe(&all));
    }

    /// Whatever comes, at whatever time: no panic, and nothing grows beyond its bound.
    #[test]
    fn any_events_leave_it_within_its_bounds(
        events in prop::collection::vec(
            (0u16..9, 0u8..5, any::<u32>(), -1e4f64..1e6, prop::collection::vec(update(), 0..4)),
            0..200,
        )
    ) {
        let mut one = Members::new(0, 6, 9, 1, Limits::default()).unwrap();
        for (from, kind, number, now, updates) in events {
            let message = match kind {
                0 => Message::Ping { number },
                1 => Message::Ack { number },
                2 => Message::PingRequest { number, target: number as u16 },
                _ => Message::Gossip,
            };
            let actions = if kind == 4 {
                one.tick(now)
            } else {
                one.receive(now, from, Incarnation::default(), message, &updates)
            };
            prop_assert!(actions.len() < 8 && one.changed.is_empty());
            prop_assert!(one.relayed_pings.len() <= limits::MAX_RELAYED_PINGS);
            prop_assert!(one.updates_for(from, 5).len() <= 5);
            prop_assert!(one.is_counted(0));
        }
    }
}
