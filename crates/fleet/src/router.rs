//! One simulated ("hollow") router: the real membership, fact and datagram code, with nothing round it.

use magpiewell_facts::What;
use magpiewell_peers::Key;
use magpiewell_tier::{Done, Limits, Out, Tier};

/// How often a router's timers run, in ms: what the socket thread of a real router does.
pub const TICK_MS: f64 = 100.0;
/// The tier's shared secret; any will do, but datagrams are signed as in production.
const SECRET: &[u8] = b"the fleet's key";

/// What a router is made from.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    pub number: u16,
    pub roster: usize,
    pub zone: u8,
    pub seed: u64,
}

pub struct Router {
    tier: Tier,
    /// How far this router's clock is ahead of the true time, in ms.
    clock_offset: f64,
}

impl Router {
    /// Starts a process at this true time (Unix ms).
    pub fn start(identity: Identity, now: f64, clock_offset: f64, limits: Limits) -> Router {
        let started = (now + clock_offset) as u64;
        let Identity { number, roster, zone, seed } = identity;
        let key = Some(Key::new(SECRET));
        Router { tier: Tier::new((number, roster), Some(zone), started, seed, key, limits), clock_offset }
    }

    pub fn tier(&self) -> &Tier {
        &self.tier
    }

    pub fn tick(&mut self, now: f64) -> Vec<Out> {
        outgoing(self.tier.beat(now + self.clock_offset))
    }

    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) -> Vec<Out> {
        outgoing(self.tier.heard(now + self.clock_offset, from, bytes))
    }

    /// This router sees that a host is the primary of a group.
    pub fn sees_primary(&mut self, now: f64, group: u32, host: u32) -> Vec<Out> {
        outgoing(self.tier.saw(now + self.clock_offset, What::Leads { group, host }))
    }

    /// Whether this router knows that host as the group's primary.
    pub fn knows_primary(&self, now: f64, group: u32, host: u32) -> bool {
        let known = self.tier.facts().primary(now + self.clock_offset, group);
        known.is_some_and(|(known, _)| known == host)
    }

    /// Whether this router counts that member.
    pub fn counts(&self, member: u16) -> bool {
        self.tier.members().counts(member)
    }
}

fn outgoing(done: Done) -> Vec<Out> {
    done.out
}
