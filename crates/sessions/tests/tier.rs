//! Simulates a tier of three routers under loss, delay, duplication, reordering, partitions and restarts, by
//! seed, and compares it with a plain record of all acknowledged writes: no read may be resolved below a
//! write of its session that was acknowledged before it arrived. Without requests to peers, or without the
//! floor after a restart, the same run must show such reads.

use magpiewell_sessions::positions::SessionPositions;
use magpiewell_sessions::requests::{Action, Limits, PositionRequests, RequiredPosition};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, HashMap};

const ROUTERS: usize = 3;
const SESSIONS: u64 = 60;
/// Clocks of routers and hosts differ by less than this.
const MAX_CLOCK_SKEW_MS: f64 = 2_000.0;

#[derive(Clone, Copy, PartialEq)]
enum Defect {
    None,
    /// Reads are resolved with the position of their own router only.
    NoRequests,
    /// A router that restarts raises no floor.
    NoFloor,
}

enum Message {
    Request { from: usize, request: u64, session: u64 },
    Reply { from: usize, request: u64, position: f64 },
    Ping { from: usize },
    Ack { from: usize },
}

/// A read's number holds its router in the bits above these.
const READ_BITS: u32 = 48;

fn new_positions() -> SessionPositions {
    SessionPositions::new(256, 4)
}

struct Router {
    positions: SessionPositions,
    requests: PositionRequests,
    /// How far its clock is ahead of the true time.
    clock_offset_ms: f64,
    incarnation: u64,
}

struct Tier {
    rng: ChaCha8Rng,
    defect: Defect,
    loss: f64,
    routers: Vec<Router>,
    /// Messages and their receivers, by the time at which they are due and their number.
    in_flight: BTreeMap<(u64, u64), (usize, Message)>,
    sent: u64,
    now: f64,
    /// The last acknowledged commit of each session: the reference.
    acknowledged: HashMap<u64, f64>,
    /// The position that each waiting read must at least require, by its number.
    expected: HashMap<u64, f64>,
    reads: u64,
    /// Reads resolved with a known position.
    known: u64,
    /// Reads resolved below the position that they must at least require.
    stale: u64,
    /// The router that is cut off, and until when.
    partition: Option<(usize, f64)>,
}

impl Tier {
    fn new(seed: u64, loss: f64, defect: Defect) -> Tier {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let router = |_| {
            let clock_offset_ms = f64::from(rng.next_u32() % 2_000) - 1_000.0;
            let requests = PositionRequests::new(ROUTERS - 1, Limits::default(), 1);
            Router { positions: new_positions(), requests, clock_offset_ms, incarnation: 0 }
        };
        let routers = (0..ROUTERS).map(router).collect();
        Tier {
            rng,
            defect,
            loss,
            routers,
            in_flight: BTreeMap::new(),
            sent: 0,
            now: 1e6,
            acknowledged: HashMap::new(),
            expected: HashMap::new(),
            reads: 0,
            known: 0,
            stale: 0,
            partition: None,
        }
    }

    /// A random number from 0 to 1, exclusive.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    /// The index under which a router knows another one: it doesn't count itself.
    fn peer_index(of: usize, other: usize) -> usize {
        if other > of { other - 1 } else { other }
    }

    /// The router that another one knows under this index.
    fn router_index(of: usize, peer: usize) -> usize {
        if peer >= of { peer + 1 } else { peer }
    }

    fn is_cut_off(&self, router: usize) -> bool {
        self.partition.is_some_and(|(lost, until)| lost == router && self.now < until)
    }

    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> Message) {
        let is_cut_off = self.is_cut_off(from) || self.is_cut_off(to);
        let copies = if self.random_fraction() < 0.1 { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = if self.random_fraction() < 0.02 {
                3_000.0 * self.random_fraction()
            } else {
                3.0 * self.random_fraction()
            };
            if self.random_fraction() >= self.loss && !is_cut_off {
                self.sent += 1;
                self.in_flight.insert(((self.now + delay_ms) as u64, self.sent), (to, message()));
            }
        }
    }

    fn perform_actions(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Request { peer, request, session } => {
                    let to = Tier::router_index(router, peer);
                    self.send(router, to, || Message::Request { from: router, request, session });
                }
                Action::Ping { peer } => {
                    let to = Tier::router_index(router, peer);
                    self.send(router, to, || Message::Ping { from: router });
                }
                Action::Resolved { read, required } => self.record_resolution(read, required),
            }
        }
    }

    /// Counts a resolved read; panics where it was resolved before.
    fn record_resolution(&mut self, read: u64, required: RequiredPosition) {
        let Some(expected) = self.expected.remove(&read) else { panic!("read {read} resolved twice") };
        if let RequiredPosition::AtLeast(position) = required {
            self.known += 1;
            self.stale += u64::from(position < expected);
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let mut actions = Vec::new();
        match message {
            Message::Request { from, request, session } => {
                let position = self.routers[to].positions.required_position(session);
                self.send(to, from, || Message::Reply { from: to, request, position });
            }
            Message::Reply { from, request, position } => {
                let peer = Tier::peer_index(to, from);
                self.routers[to].requests.receive_reply(peer, request, position, &mut actions);
            }
            Message::Ping { from } => self.send(to, from, || Message::Ack { from: to }),
            Message::Ack { from } => self.routers[to].requests.receive_ack(Tier::peer_index(to, from)),
        }
        self.perform_actions(to, actions);
    }

    /// The router loses its waiting reads, whose clients retry them elsewhere, and its positions.
    fn restart(&mut self, router: usize) {
        self.expected.retain(|read, _| read >> READ_BITS != router as u64);
        let clock_offset_ms = self.routers[router].clock_offset_ms;
        let incarnation = self.routers[router].incarnation + 1;
        let mut positions = new_positions();
        if self.defect != Defect::NoFloor {
            positions.raise_floor(self.now + clock_offset_ms + MAX_CLOCK_SKEW_MS);
        }
        let requests = PositionRequests::new(ROUTERS - 1, Limits::default(), incarnation << 32);
        self.routers[router] = Router { positions, requests, clock_offset_ms, incarnation };
    }

    fn step(&mut self) {
        self.now += 1.0;
        self.deliver_due();
        self.inject_faults();
        // A session writes through one router and reads through another, faster than a datagram arrives.
        for _ in 0..2 {
            let router = self.rng.next_u32() as usize % ROUTERS;
            let session = u64::from(self.rng.next_u32()) % SESSIONS;
            if self.random_fraction() < 0.3 {
                self.write(router, session);
            } else {
                self.read(router, session);
            }
        }
        self.tick();
    }

    fn deliver_due(&mut self) {
        while let Some(((due, _), _)) = self.in_flight.first_key_value()
            && *due as f64 <= self.now
        {
            let Some((_, (to, message))) = self.in_flight.pop_first() else { break };
            self.deliver(to, message);
        }
    }

    fn inject_faults(&mut self) {
        if self.random_fraction() < 0.000_5 {
            let router = self.rng.next_u32() as usize % ROUTERS;
            self.restart(router);
        }
        if self.random_fraction() < 0.000_1 {
            self.partition = Some((self.rng.next_u32() as usize % ROUTERS, self.now + 3_000.0));
        }
    }

    /// A write is acknowledged; its position is by the host's clock, which all share, not by the router's.
    fn write(&mut self, router: usize, session: u64) {
        let position = self.now + self.random_fraction();
        self.routers[router].positions.record(session, position);
        let last = self.acknowledged.entry(session).or_insert(position);
        *last = last.max(position);
    }

    fn read(&mut self, router: usize, session: u64) {
        self.reads += 1;
        let read = ((router as u64) << READ_BITS) | self.reads;
        let expected = self.acknowledged.get(&session).copied().unwrap_or(f64::NEG_INFINITY);
        self.expected.insert(read, expected);
        let own_position = self.routers[router].positions.required_position(session);
        let mut actions = Vec::new();
        if self.defect == Defect::NoRequests {
            let required = RequiredPosition::AtLeast(own_position);
            actions.push(Action::Resolved { read, required });
        } else {
            let requests = &mut self.routers[router].requests;
            requests.read_arrived(self.now, read, session, own_position, &mut actions);
        }
        self.perform_actions(router, actions);
    }

    fn tick(&mut self) {
        for router in 0..ROUTERS {
            let mut actions = Vec::new();
            self.routers[router].requests.tick(self.now, &mut actions);
            self.perform_actions(router, actions);
        }
    }

    fn run(mut self, steps: usize) -> Tier {
        (0..steps).for_each(|_| self.step());
        self
    }
}

#[test]
fn no_read_is_resolved_below_its_sessions_acknowledged_write() {
    for seed in 1..=5 {
        for loss in [0.0, 0.1, 0.3] {
            let tier = Tier::new(seed, loss, Defect::None).run(20_000);
            assert_eq!(tier.stale, 0, "seed {seed}, loss {loss}: of {} known of {}", tier.known, tier.reads);
            // Nor may all reads be fresh reads: partitions, restarts and late replies cause only a part of
            // them.
            let min_known_share = if loss < 0.2 { 0.5 } else { 0.1 };
            assert!(
                tier.known as f64 > min_known_share * tier.reads as f64,
                "{} of {}",
                tier.known,
                tier.reads
            );
        }
    }
}

#[test]
fn without_requests_or_without_the_floor_reads_are_stale() {
    assert!(Tier::new(1, 0.1, Defect::NoRequests).run(5_000).stale > 100);
    let without_floor: u64 =
        (1..=5).map(|seed| Tier::new(seed, 0.0, Defect::NoFloor).run(20_000).stale).sum();
    assert!(without_floor > 0);
}

/// Every read is resolved, and only once: the simulated tier panics if one is resolved twice.
#[test]
fn every_read_is_resolved_in_a_few_attempts_however_much_is_lost() {
    for loss in [0.3, 1.0] {
        let mut tier = Tier::new(7, loss, Defect::None).run(5_000);
        let waiting: Vec<u64> = tier.expected.keys().copied().collect();
        for _ in 0..60 {
            tier.now += 1.0;
            tier.tick();
        }
        assert!(waiting.iter().all(|read| !tier.expected.contains_key(read)));
        assert!(tier.routers.iter().all(|router| router.requests.waiting_reads() == 0));
    }
}

/// Reads beyond the rate limit of requests, or beyond the limit of waiting reads, are resolved as fresh reads
/// at once and send nothing.
#[test]
fn a_flood_of_reads_keeps_to_the_request_rate() {
    let limits = Limits { requests_per_second: 1_000.0, max_waiting_reads: 5_000, ..Limits::default() };
    let (mut requests, mut actions) = (PositionRequests::new(2, limits, 0), Vec::new());
    (0..10_000).for_each(|read| requests.read_arrived(0.0, read, read, 0.0, &mut actions));
    let is_fresh =
        |action: &&Action| matches!(action, Action::Resolved { required: RequiredPosition::Fresh, .. });
    let fresh = actions.iter().filter(is_fresh).count();
    assert_eq!((requests.waiting_reads(), fresh), (50, 9_950));
    // The requests of a tenth of a second, two for each read.
    let sent = actions.iter().filter(|action| matches!(action, Action::Request { .. })).count();
    assert_eq!(sent, 100);
    (0..50).for_each(|read| requests.cancel(read));
    assert_eq!((requests.waiting_reads(), requests.next_tick_at(0.0)), (0, None));
}
