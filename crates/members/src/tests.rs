//! Simulated tiers in virtual time: datagram loss, partitions, pauses, restarts and forged updates; and
//! updates in any order.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const TICK_MS: f64 = 50.0;
const MAX_UPDATES_PER_DATAGRAM: usize = 12;

/// Sender, receiver, the sender's incarnation, message and piggybacked updates.
type Datagram = (u16, u16, Incarnation, Message, Vec<Update>);

/// A tier on a simulated network that drops and delays datagrams pseudo-randomly.
struct Tier {
    now: f64,
    members: Vec<Option<Members>>,
    paused: Vec<bool>,
    /// Datagrams in flight, by delivery time in microseconds and sequence number.
    in_flight: BTreeMap<(u64, u64), Datagram>,
    random: ChaCha8Rng,
    loss: f64,
    /// The side of the partition that each member is on.
    side: Vec<u8>,
    /// Messages sent so far, including lost ones.
    sent_messages: usize,
    /// Datagrams put in flight so far.
    datagrams: u64,
}

impl Tier {
    fn new(size: usize, seed: u64, loss: f64) -> Tier {
        let new_member =
            |id: usize| Some(Members::new(id as u16, size, 1, seed + id as u64, Limits::default()).unwrap());
        Tier {
            now: 0.0,
            members: (0..size).map(new_member).collect(),
            paused: vec![false; size],
            in_flight: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            side: vec![0; size],
            sent_messages: 0,
            datagrams: 0,
        }
    }

    /// A random number from 0 to 1, exclusive.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let (Action::Send { to, message } | Action::SendToSuspect { to, message }) = action else {
                continue;
            };
            let Some(member) = &mut self.members[from] else { return };
            let (incarnation, updates) =
                (member.incarnation(), member.updates_for(to, MAX_UPDATES_PER_DATAGRAM));
            self.sent_messages += 1;
            if self.random_fraction() < self.loss || self.side[from] != self.side[to as usize] {
                continue;
            }
            let due_at = self.now + 1.0 + self.random_fraction() * 20.0;
            self.datagrams += 1;
            self.in_flight.insert(
                ((due_at * 1e3) as u64, self.datagrams),
                (from as u16, to, incarnation, message, updates),
            );
        }
    }

    /// Advances the time by `ms`.
    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += TICK_MS;
            let now = self.now;
            while let Some((key, (from, to, incarnation, message, updates))) = self.in_flight.pop_first() {
                if key.0 as f64 / 1e3 > now {
                    self.in_flight.insert(key, (from, to, incarnation, message, updates));
                    break;
                }
                if self.paused[to as usize] {
                    // The datagram stays in the socket's buffer until the process resumes.
                    self.in_flight.insert(
                        (key.0 + (TICK_MS * 1e3) as u64, key.1),
                        (from, to, incarnation, message, updates),
                    );
                    continue;
                }
                if let Some(member) = &mut self.members[to as usize] {
                    let actions = member.receive(now, from, incarnation, message, &updates);
                    self.perform(to as usize, actions);
                }
            }
            for id in 0..self.members.len() {
                if !self.paused[id]
                    && let Some(member) = &mut self.members[id]
                {
                    let actions = member.tick(now);
                    self.perform(id, actions);
                }
            }
        }
    }

    /// The state of `target` as believed by each other member that is neither dead nor paused.
    fn believed_states(&self, target: usize) -> Vec<State> {
        let observers = self.members.iter().enumerate().filter(|(id, _)| *id != target && !self.paused[*id]);
        observers.filter_map(|(_, m)| m.as_ref()).map(|m| m.state(target as u16)).collect()
    }

    fn all_alive(&self) -> bool {
        (0..self.members.len()).all(|id| self.believed_states(id).iter().all(|s| *s == State::Alive))
    }
}

#[test]
fn healthy_members_stay_alive_and_each_sends_less_than_two_messages_per_second() {
    for (size, seconds) in [(3, 60.0), (30, 60.0), (300, 20.0)] {
        let mut tier = Tier::new(size, 5, 0.0);
        tier.run(seconds * 1_000.0);
        assert!(tier.all_alive());
        let sent_per_second = tier.sent_messages as f64 / size as f64 / seconds;
        assert!((1.0..2.0).contains(&sent_per_second), "{size}: {sent_per_second}");
    }
}

#[test]
fn false_deaths_are_rare_with_thirty_percent_loss_and_real_deaths_are_detected() {
    for seed in 1..6 {
        let mut tier = Tier::new(30, seed, 0.3);
        let mut false_deaths = 0;
        for _ in 0..60 {
            tier.run(1_000.0);
            let dead = |id: usize| tier.believed_states(id).iter().filter(|s| **s == State::Dead).count();
            false_deaths += (0..30).map(dead).sum::<usize>();
        }
        // Less than 1 % of 60 samples of 870 believed states each.
        assert!(false_deaths < 522, "{false_deaths}");
        (0..21).for_each(|id| tier.members[id] = None);
        tier.run(tier.members[25].as_ref().unwrap().detection_bound_ms());
        for dead in 0..21 {
            assert!(tier.believed_states(dead).iter().all(|s| *s == State::Dead), "{dead}");
        }
    }
}

#[test]
fn a_partitioned_tier_declares_the_other_side_dead_and_recovers_when_healed() {
    let mut tier = Tier::new(12, 9, 0.0);
    tier.run(5_000.0);
    (0..5).for_each(|id| tier.side[id] = 1);
    tier.run(40_000.0);
    assert_eq!(tier.members[0].as_ref().unwrap().counted().collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
    assert_eq!(tier.members[7].as_ref().unwrap().counted().count(), 7);
    tier.side = vec![0; 12];
    tier.run(40_000.0);
    assert!(tier.all_alive());
}

#[test]
fn a_paused_member_suspects_nobody_when_it_resumes_and_refutes_its_death() {
    let mut tier = Tier::new(8, 3, 0.0);
    tier.run(5_000.0);
    tier.paused[2] = true;
    tier.run(20_000.0);
    assert!(tier.believed_states(2).iter().all(|s| *s == State::Dead));
    tier.paused[2] = false;
    tier.run(500.0);
    let resumed = tier.members[2].as_ref().unwrap();
    assert_eq!(resumed.counted().count(), 8, "it believes itself and all others alive");
    tier.run(15_000.0);
    assert!(tier.all_alive() && tier.members[2].as_ref().unwrap().incarnation().refutations > 0);
}

#[test]
fn a_leaving_member_is_reported_as_left_and_a_restarted_one_as_alive() {
    let mut tier = Tier::new(8, 4, 0.0);
    tier.run(3_000.0);
    let actions = tier.members[5].as_mut().unwrap().leave(3);
    assert_eq!(actions.len(), 3);
    tier.perform(5, actions);
    tier.members[5] = None;
    tier.run(6_000.0);
    assert!(tier.believed_states(5).iter().all(|s| *s == State::Left));
    // It restarts with a clock that is 1 ms behind, so with an earlier incarnation: it has to refute that it
    // has left.
    tier.members[5] = Some(Members::new(5, 8, 0, 77, Limits::default()).unwrap());
    tier.run(20_000.0);
    assert!(tier.all_alive());
}

#[test]
fn datagrams_from_outside_the_roster_are_ignored_and_forged_updates_are_refuted() {
    let mut tier = Tier::new(6, 8, 0.0);
    tier.run(3_000.0);
    let future_incarnation = Incarnation { started_at: u64::MAX >> 16, refutations: 3 };
    let forged: Vec<Update> = (0..10_000)
        .map(|id| Update { member: id as u16, incarnation: future_incarnation, state: State::Dead })
        .collect();
    let actions = tier.members[0].as_mut().unwrap().receive(
        tier.now,
        1,
        Incarnation::default(),
        Message::Gossip,
        &forged,
    );
    tier.perform(0, actions);
    let replies = tier.members[0].as_mut().unwrap().receive(
        tier.now,
        4_000,
        future_incarnation,
        Message::Ping { number: 1 },
        &[],
    );
    assert!(replies.is_empty());
    tier.run(40_000.0);
    assert!(tier.all_alive());
}

/// A forged update may carry the highest refutation count that fits into the number (4,294,967,295), so
/// that the count can't be increased any further. It must be refuted as well.
#[test]
fn a_forged_update_with_the_highest_refutation_count_is_refuted() {
    let mut members = Members::new(0, 4, 9, 1, Limits::default()).unwrap();
    let forged = Incarnation { started_at: 9, refutations: u32::MAX };
    let update = Update { member: 0, incarnation: forged, state: State::Dead };
    members.receive(1.0, 1, Incarnation::default(), Message::Gossip, &[update]);
    assert!(members.incarnation() > forged, "{:?}", members.incarnation());
}

/// The rate of pings to suspected members must be bounded, however many members are suspected at once.
#[test]
fn suspected_members_are_pinged_at_a_bounded_rate() {
    let limits = Limits::default();
    let mut members = Members::new(0, 60, 9, 1, limits).unwrap();
    let mut pings = 0;
    let (mut now, end) = (0.0, 60_000.0);
    while now < end {
        now += 100.0;
        let to_suspects = |action: &Action| matches!(action, Action::SendToSuspect { .. });
        pings += members.tick(now).iter().filter(|action| to_suspects(action)).count();
    }
    let max_pings = end / limits.ack_timeout_ms;
    assert!(
        members.suspicions.len() > 2 && pings > 50 && pings as f64 <= max_pings,
        "{pings} of {max_pings}"
    );
}

/// While a whole group is silent, suspicions and deaths of its individual members are ignored, whether they
/// are this router's own or received. Its members are counted again when the group is no longer silent.
#[test]
fn members_of_a_silent_group_are_not_suspected_individually() {
    for status in [GroupStatus::NotCounted, GroupStatus::Frozen] {
        let mut members = Members::new(0, 4, 9, 1, Limits::default()).unwrap();
        members.set_group_status(2, status);
        assert_eq!(members.is_counted(2), status == GroupStatus::Frozen);
        assert_eq!(members.counted_size(), members.counted().count());
        let dead = |member| Update { member, incarnation: Incarnation::default(), state: State::Dead };
        members.receive(1.0, 1, Incarnation::default(), Message::Gossip, &[dead(2), dead(3)]);
        assert_eq!((members.state(2), members.state(3)), (State::Alive, State::Dead));
        assert!(!members.suspect(2.0, 2), "this router itself suspects no member of a silent group");
        // The member's own announcement is applied: it has left.
        let left = Update { state: State::Left, ..dead(2) };
        members.set_group_status(2, GroupStatus::Reachable);
        assert!(members.is_counted(2));
        members.set_group_status(2, status);
        members.receive(3.0, 1, Incarnation::default(), Message::Gossip, &[left]);
        assert_eq!((members.state(2), members.is_counted(2)), (State::Left, false));
    }
}

#[test]
fn a_roster_that_is_too_large_or_without_this_router_is_rejected() {
    let new = |local, size| Members::new(local, size, 0, 1, Limits::default()).map(|_| ());
    assert_eq!(new(0, MAX_MEMBERS), Ok(()));
    assert_eq!(new(0, MAX_MEMBERS + 1), Err(RosterError::TooLarge { size: MAX_MEMBERS + 1 }));
    assert_eq!(new(4, 4), Err(RosterError::NotInRoster { member: 4, size: 4 }));
    assert!(RosterError::TooLarge { size: 9_000 }.to_string().contains("9000 members, at most 8192"));
}

fn config() -> Config {
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
    #![proptest_config(config())]

    /// Checked against a simple model: the greatest state of the latest incarnation wins, regardless of the
    /// order and repetition of updates.
    #[test]
    fn updates_converge_in_any_order(
        mut all in prop::collection::vec(update(), 1..40), seed in any::<u64>()
    ) {
        let beliefs_after = |all: &[Update]| {
            let mut members = Members::new(0, 4, 9, 1, Limits::default()).unwrap();
            members.receive(1.0, 1, Incarnation::default(), Message::Gossip, all);
            (1..4)
                .map(|id| (members.roster.get(id as u16).unwrap().incarnation, members.state(id as u16)))
                .collect::<Vec<_>>()
        };
        let first = beliefs_after(&all);
        let mut model = [(Incarnation::default(), State::Alive); 4];
        for update in &all {
            let entry = &mut model[update.member as usize];
            *entry = (*entry).max((update.incarnation, update.state));
        }
        prop_assert_eq!(&first[..], &model[1..]);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for i in (1..all.len()).rev() {
            all.swap(i, (random.next_u64() % (i as u64 + 1)) as usize);
        }
        let repeated = all.clone();
        all.extend(repeated);
        prop_assert_eq!(first, beliefs_after(&all));
    }

    /// Arbitrary events at arbitrary times cause no panic, and no collection grows beyond its bound.
    #[test]
    fn arbitrary_events_respect_all_bounds(
        events in prop::collection::vec(
            (0u16..9, 0u8..5, any::<u32>(), -1e4f64..1e6, prop::collection::vec(update(), 0..4)),
            0..200,
        )
    ) {
        let mut members = Members::new(0, 6, 9, 1, Limits::default()).unwrap();
        for (from, kind, number, now, updates) in events {
            let message = match kind {
                0 => Message::Ping { number },
                1 => Message::Ack { number },
                2 => Message::PingRequest { number, target: number as u16 },
                _ => Message::Gossip,
            };
            let actions = if kind == 4 {
                members.tick(now)
            } else {
                members.receive(now, from, Incarnation::default(), message, &updates)
            };
            prop_assert!(actions.len() < 8 && members.changed.is_empty());
            prop_assert!(members.relayed_pings.len() <= limits::MAX_RELAYED_PINGS);
            prop_assert!(members.updates_for(from, 5).len() <= 5);
            prop_assert!(members.is_counted(0));
        }
    }
}
