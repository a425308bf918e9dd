//! The simulated network: datagrams are delayed, may be lost, and don't cross a partition.

use crate::random;
use std::collections::BTreeMap;

/// Delay and loss of the links; times are virtual.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Minimum delay of a datagram.
    pub delay_ms: f64,
    /// Maximum random delay added to the minimum, uniformly distributed.
    pub jitter_ms: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

impl Default for Links {
    fn default() -> Links {
        Links { delay_ms: 10.0, jitter_ms: 2.0, loss: 0.0 }
    }
}

/// A datagram in flight.
#[derive(Clone, Debug)]
pub struct Datagram {
    pub from: u16,
    pub to: u16,
    pub bytes: Vec<u8>,
}

/// The network, with the datagrams that are in flight.
pub struct Network {
    links: Links,
    seed: u64,
    step_ms: f64,
    /// By the step of virtual time in which the datagrams arrive.
    in_flight: BTreeMap<u64, Vec<Datagram>>,
    sent: u64,
    /// The side of the partition that each router is on; routers of the same side can communicate.
    sides: Vec<u8>,
}

impl Network {
    pub fn new(routers: usize, links: Links, step_ms: f64, seed: u64) -> Network {
        Network { links, seed, step_ms, in_flight: BTreeMap::new(), sent: 0, sides: vec![0; routers] }
    }

    /// Partitions the network: drops datagrams between routers on different sides from now on.
    pub fn partition(&mut self, side_of: impl Fn(usize) -> u8) {
        for (router, side) in self.sides.iter_mut().enumerate() {
            *side = side_of(router);
        }
    }

    /// Removes the partition.
    pub fn heal(&mut self) {
        self.sides.fill(0);
    }

    /// Sends a datagram in this step; it is delayed or dropped.
    pub fn send(&mut self, step: u64, datagram: Datagram) {
        self.sent += 1;
        let is_partitioned = self.sides[usize::from(datagram.from)] != self.sides[usize::from(datagram.to)];
        if is_partitioned || random::unit(self.seed, &[self.sent, 0]) < self.links.loss {
            return;
        }
        let delay_ms = self.links.delay_ms + self.links.jitter_ms * random::unit(self.seed, &[self.sent, 1]);
        let arrival_step = step + (delay_ms / self.step_ms).ceil().max(1.0) as u64;
        self.in_flight.entry(arrival_step).or_default().push(datagram);
    }

    /// Takes the datagrams that arrive in this step.
    pub fn take_arrivals(&mut self, step: u64) -> Vec<Datagram> {
        self.in_flight.remove(&step).unwrap_or_default()
    }
}
