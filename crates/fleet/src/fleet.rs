//! The fleet: all simulated routers, the network between them, and the virtual clock that moves them in small steps.
//! Routers of one step are computed on several threads; the result doesn't depend on how many.

use crate::network::{Datagram, Links, Network};
use crate::random;
use crate::router::{Identity, Router, TICK_MS};
use magpiewell_members::RosterError;
use magpiewell_tier::{Limits, Outgoing};

/// One step of virtual time, in ms.
pub const STEP_MS: f64 = 10.0;
/// The virtual time at which a run begins, in Unix ms.
const EPOCH_MS: f64 = 1_796_000_000_000.0;
const STEPS_PER_TICK: u64 = (TICK_MS / STEP_MS) as u64;

/// What a fleet is made from.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub routers: usize,
    pub zones: usize,
    pub seed: u64,
    pub links: Links,
    pub limits: Limits,
    /// Threads that compute a step.
    pub threads: usize,
}

/// A place in the fleet: a router process, and what is done to it.
struct Slot {
    identity: Identity,
    clock_offset: f64,
    router: Option<Router>,
    paused: bool,
    inbox: Vec<Datagram>,
    sent: Vec<Datagram>,
    /// Datagrams and bytes sent by all processes that ran here.
    traffic: Traffic,
}

/// Datagrams and bytes sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

pub struct Fleet {
    plan: Plan,
    step: u64,
    slots: Vec<Slot>,
    network: Network,
}

impl Fleet {
    /// All routers start within one probe period.
    pub fn start(plan: Plan) -> Result<Fleet, RosterError> {
        let slots = (0..plan.routers)
            .map(|number| Slot {
                identity: Identity {
                    number: number as u16,
                    roster: plan.routers,
                    zone: (number % plan.zones) as u8,
                    seed: random::number(plan.seed, &[number as u64]),
                },
                clock_offset: 0.0,
                router: None,
                paused: false,
                inbox: Vec::new(),
                sent: Vec::new(),
                traffic: Traffic::default(),
            })
            .collect();
        let network = Network::new(plan.routers, plan.links, STEP_MS, plan.seed);
        let mut fleet = Fleet { plan, step: 0, slots, network };
        for number in 0..plan.routers {
            fleet.start_router(number)?;
        }
        Ok(fleet)
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The true time, in Unix ms.
    pub fn now(&self) -> f64 {
        EPOCH_MS + self.step as f64 * STEP_MS
    }

    /// Virtual time since the start, in ms.
    pub fn elapsed_ms(&self) -> f64 {
        self.step as f64 * STEP_MS
    }

    pub fn network(&mut self) -> &mut Network {
        &mut self.network
    }

    pub fn zone_of(&self, number: usize) -> usize {
        number % self.plan.zones
    }

    pub fn is_running(&self, number: usize) -> bool {
        self.slots[number].router.is_some()
    }

    pub fn router(&self, number: usize) -> Option<&Router> {
        self.slots[number].router.as_ref()
    }

    /// Starts a new process in this place.
    pub fn start_router(&mut self, number: usize) -> Result<(), RosterError> {
        let now = self.now();
        let slot = &mut self.slots[number];
        slot.paused = false;
        slot.router = Some(Router::start(slot.identity, now, slot.clock_offset, self.plan.limits)?);
        Ok(())
    }

    /// Ends the process in this place without a word.
    pub fn kill(&mut self, number: usize) {
        self.slots[number].router = None;
    }

    /// Stops the process's execution, or lets it go on.
    pub fn set_paused(&mut self, number: usize, paused: bool) {
        self.slots[number].paused = paused;
    }

    /// Sets the clock that processes started from now on have.
    pub fn set_clock_offset(&mut self, number: usize, offset: f64) {
        self.slots[number].clock_offset = offset;
    }

    /// A router sees a group's primary.
    pub fn sees_primary(&mut self, number: usize, group: u32, host: u32) {
        let now = self.now();
        let slot = &mut self.slots[number];
        if let Some(router) = &mut slot.router {
            let outgoing = router.sees_primary(now, group, host);
            slot.take(outgoing);
        }
        self.collect_sent();
    }

    /// Datagrams and bytes sent by all routers so far.
    pub fn traffic(&self) -> Traffic {
        self.slots.iter().fold(Traffic::default(), |sum, slot| Traffic {
            datagrams: sum.datagrams + slot.traffic.datagrams,
            bytes: sum.bytes + slot.traffic.bytes,
        })
    }

    /// Lets so much virtual time pass.
    pub fn run_ms(&mut self, ms: f64) {
        for _ in 0..(ms / STEP_MS).round() as u64 {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        for datagram in self.network.arriving(self.step) {
            self.slots[usize::from(datagram.to)].inbox.push(datagram);
        }
        let (step, now) = (self.step, self.now());
        self.advance_routers(step, now);
        self.collect_sent();
    }

    fn advance_routers(&mut self, step: u64, now: f64) {
        let threads = self.plan.threads.max(1);
        if threads == 1 {
            return self.slots.iter_mut().for_each(|slot| slot.advance(step, now));
        }
        let per_thread = self.slots.len().div_ceil(threads).max(1);
        std::thread::scope(|scope| {
            for slots in self.slots.chunks_mut(per_thread) {
                scope.spawn(move || slots.iter_mut().for_each(|slot| slot.advance(step, now)));
            }
        });
    }

    fn collect_sent(&mut self) {
        for slot in &mut self.slots {
            for datagram in slot.sent.drain(..) {
                self.network.send(self.step, datagram);
            }
        }
    }
}

impl Slot {
    fn advance(&mut self, step: u64, now: f64) {
        if self.paused {
            // What arrives waits in the socket's buffer, which is bounded.
            self.inbox.truncate(SOCKET_BUFFER);
            return;
        }
        let inbox = std::mem::take(&mut self.inbox);
        for datagram in inbox {
            let Some(router) = &mut self.router else { return };
            let outgoing = router.receive(now, datagram.from, &datagram.bytes);
            self.take(outgoing);
        }
        // Routers' timers are out of phase with one another.
        let phase = self.identity.seed % STEPS_PER_TICK;
        if step % STEPS_PER_TICK != phase {
            return;
        }
        if let Some(router) = &mut self.router {
            let outgoing = router.tick(now);
            self.take(outgoing);
        }
    }

    fn take(&mut self, outgoing: Vec<Outgoing>) {
        for one in outgoing {
            self.traffic.datagrams += 1;
            self.traffic.bytes += one.bytes.len() as u64;
            self.sent.push(Datagram { from: self.identity.number, to: one.to, bytes: one.bytes });
        }
    }
}

/// Datagrams that wait at a paused process, at the most.
const SOCKET_BUFFER: usize = 256;
