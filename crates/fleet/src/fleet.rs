//! The fleet: all simulated routers, the network between them, and the virtual clock that advances them in
//! fixed time steps. The routers of a step are computed on several threads; the result doesn't depend on the
//! number of threads.

use crate::network::{Datagram, Links, Network};
use crate::random;
use crate::router::{Identity, Router, TICK_MS};
use magpiewell_members::RosterError;
use magpiewell_tier::{Limits, Outgoing};

/// Length of a step of virtual time.
pub const STEP_MS: f64 = 10.0;
/// Virtual time at the start of a run, in Unix ms.
const EPOCH_MS: f64 = 1_796_000_000_000.0;
const STEPS_PER_TICK: u64 = (TICK_MS / STEP_MS) as u64;

/// Size, limits and conditions of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub routers: usize,
    pub zones: usize,
    pub seed: u64,
    pub links: Links,
    pub limits: Limits,
    /// Number of threads that compute a step.
    pub threads: usize,
}

/// A member of the roster: its router process, if one is running, and the conditions imposed on it.
struct Slot {
    identity: Identity,
    clock_offset_ms: f64,
    router: Option<Router>,
    is_paused: bool,
    inbox: Vec<Datagram>,
    sent: Vec<Datagram>,
    /// Traffic sent by all processes of this member so far.
    traffic: Traffic,
}

/// Datagrams and bytes sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

/// A simulated fleet at one point in virtual time.
pub struct Fleet {
    plan: Plan,
    step: u64,
    slots: Vec<Slot>,
    network: Network,
}

impl Fleet {
    /// Starts all routers at once; their timers are out of phase by up to a tick.
    pub fn start(plan: Plan) -> Result<Fleet, RosterError> {
        let slots = (0..plan.routers)
            .map(|number| Slot {
                identity: Identity {
                    number: number as u16,
                    roster_size: plan.routers,
                    zone: (number % plan.zones) as u8,
                    seed: random::number(plan.seed, &[number as u64]),
                },
                clock_offset_ms: 0.0,
                router: None,
                is_paused: false,
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

    /// Starts a new process of this member. One that is still running is replaced.
    pub fn start_router(&mut self, number: usize) -> Result<(), RosterError> {
        let now = self.now();
        let slot = &mut self.slots[number];
        slot.is_paused = false;
        slot.router = Some(Router::start(slot.identity, now, slot.clock_offset_ms, self.plan.limits)?);
        Ok(())
    }

    /// Kills this member's process, which does not announce that it leaves.
    pub fn kill(&mut self, number: usize) {
        self.slots[number].router = None;
    }

    /// Pauses or resumes the process, like SIGSTOP and SIGCONT.
    pub fn set_paused(&mut self, number: usize, is_paused: bool) {
        self.slots[number].is_paused = is_paused;
    }

    /// Sets the clock offset of processes that are started from now on.
    pub fn set_clock_offset(&mut self, number: usize, offset_ms: f64) {
        self.slots[number].clock_offset_ms = offset_ms;
    }

    /// Makes a router observe a host as a group's primary.
    pub fn observe_primary(&mut self, number: usize, group: u32, host: u32) {
        let now = self.now();
        let slot = &mut self.slots[number];
        if let Some(router) = &mut slot.router {
            let outgoing = router.observe_primary(now, group, host);
            slot.queue_outgoing(outgoing);
        }
        self.transmit_sent();
    }

    /// Datagrams and bytes sent by all routers so far.
    pub fn traffic(&self) -> Traffic {
        self.slots.iter().fold(Traffic::default(), |sum, slot| Traffic {
            datagrams: sum.datagrams + slot.traffic.datagrams,
            bytes: sum.bytes + slot.traffic.bytes,
        })
    }

    /// Advances virtual time by `ms`.
    pub fn run_ms(&mut self, ms: f64) {
        for _ in 0..(ms / STEP_MS).round() as u64 {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        for datagram in self.network.take_arrivals(self.step) {
            self.slots[usize::from(datagram.to)].inbox.push(datagram);
        }
        let (step, now) = (self.step, self.now());
        self.advance_routers(step, now);
        self.transmit_sent();
    }

    fn advance_routers(&mut self, step: u64, now: f64) {
        let threads = self.plan.threads.max(1);
        if threads == 1 {
            return self.slots.iter_mut().for_each(|slot| slot.advance(step, now));
        }
        let slots_per_thread = self.slots.len().div_ceil(threads).max(1);
        std::thread::scope(|scope| {
            for slots in self.slots.chunks_mut(slots_per_thread) {
                scope.spawn(move || slots.iter_mut().for_each(|slot| slot.advance(step, now)));
            }
        });
    }

    fn transmit_sent(&mut self) {
        for slot in &mut self.slots {
            for datagram in slot.sent.drain(..) {
                self.network.send(self.step, datagram);
            }
        }
    }
}

impl Slot {
    fn advance(&mut self, step: u64, now: f64) {
        if self.is_paused {
            // Arriving datagrams stay in the socket's buffer, which is bounded.
            self.inbox.truncate(SOCKET_BUFFER_DATAGRAMS);
            return;
        }
        let inbox = std::mem::take(&mut self.inbox);
        for datagram in inbox {
            let Some(router) = &mut self.router else { return };
            let outgoing = router.receive(now, datagram.from, &datagram.bytes);
            self.queue_outgoing(outgoing);
        }
        // The routers' timers are out of phase with one another.
        let phase = self.identity.seed % STEPS_PER_TICK;
        if step % STEPS_PER_TICK != phase {
            return;
        }
        if let Some(router) = &mut self.router {
            let outgoing = router.tick(now);
            self.queue_outgoing(outgoing);
        }
    }

    fn queue_outgoing(&mut self, outgoing: Vec<Outgoing>) {
        for datagram in outgoing {
            self.traffic.datagrams += 1;
            self.traffic.bytes += datagram.bytes.len() as u64;
            self.sent.push(Datagram { from: self.identity.number, to: datagram.to, bytes: datagram.bytes });
        }
    }
}

/// Maximum number of datagrams that the socket of a paused process buffers.
const SOCKET_BUFFER_DATAGRAMS: usize = 256;
