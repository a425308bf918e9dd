//! The network between the simulated routers: each datagram is delayed, may be lost, and doesn't cross a partition.

use crate::random;
use std::collections::BTreeMap;

/// What the network does to datagrams; times in ms of virtual time.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// The shortest time on the way.
    pub delay: f64,
    /// Added evenly distributed between 0 and this.
    pub jitter: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

impl Default for Links {
    fn default() -> Links {
        Links { delay: 10.0, jitter: 2.0, loss: 0.0 }
    }
}

/// A datagram on the way.
#[derive(Clone, Debug)]
pub struct Datagram {
    pub from: u16,
    pub to: u16,
    pub bytes: Vec<u8>,
}

/// Datagrams on the way, by the simulation step in which they arrive.
pub struct Network {
    links: Links,
    seed: u64,
    step_ms: f64,
    in_flight: BTreeMap<u64, Vec<Datagram>>,
    sent: u64,
    /// The side of a partition that each router is on; equal sides hear each other.
    sides: Vec<u8>,
}

impl Network {
    pub fn new(routers: usize, links: Links, step_ms: f64, seed: u64) -> Network {
        Network { links, seed, step_ms, in_flight: BTreeMap::new(), sent: 0, sides: vec![0; routers] }
    }

    /// Parts the network: routers on different sides don't hear each other from now on.
    pub fn partition(&mut self, side_of: impl Fn(usize) -> u8) {
        for (router, side) in self.sides.iter_mut().enumerate() {
            *side = side_of(router);
        }
    }

    /// All routers hear each other again.
    pub fn heal(&mut self) {
        self.sides.fill(0);
    }

    /// Takes a datagram that is sent in this step.
    pub fn send(&mut self, step: u64, datagram: Datagram) {
        self.sent += 1;
        let separated = self.sides[usize::from(datagram.from)] != self.sides[usize::from(datagram.to)];
        if separated || random::unit(self.seed, &[self.sent, 0]) < self.links.loss {
            return;
        }
        let time = self.links.delay + self.links.jitter * random::unit(self.seed, &[self.sent, 1]);
        let arrives = step + (time / self.step_ms).ceil().max(1.0) as u64;
        self.in_flight.entry(arrives).or_default().push(datagram);
    }

    /// The datagrams that arrive in this step.
    pub fn arriving(&mut self, step: u64) -> Vec<Datagram> {
        self.in_flight.remove(&step).unwrap_or_default()
    }
}
