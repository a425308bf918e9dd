//! One simulated ("hollow") router: the real membership, fact and datagram code, with nothing round it.

use magpiewell_facts::Observation;
use magpiewell_members::RosterError;
use magpiewell_peers::Key;
use magpiewell_tier::{Limits, Outgoing, Tier};
use magpiewell_zones::Reachability;

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
    pub fn start(
        identity: Identity,
        now: f64,
        clock_offset: f64,
        limits: Limits,
    ) -> Result<Router, RosterError> {
        let Identity { number, roster, zone, seed } = identity;
        let started_at = (now + clock_offset) as u64;
        let identity =
            magpiewell_tier::Identity { local: number, roster_size: roster, zone: Some(zone), started_at };
        let tier = Tier::new(identity, seed, Some(Key::new(SECRET)), limits)?;
        Ok(Router { tier, clock_offset })
    }

    pub fn tier(&self) -> &Tier {
        &self.tier
    }

    pub fn tick(&mut self, now: f64) -> Vec<Outgoing> {
        self.tier.tick(now + self.clock_offset).datagrams
    }

    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) -> Vec<Outgoing> {
        self.tier.receive(now + self.clock_offset, from, bytes).datagrams
    }

    /// This router sees that a host is the primary of a group.
    pub fn sees_primary(&mut self, now: f64, group: u32, host: u32) -> Vec<Outgoing> {
        let observation = Observation::Primary { group, host };
        self.tier.observe(now + self.clock_offset, observation).datagrams
    }

    /// Whether this router knows that host as the group's primary.
    pub fn knows_primary(&self, now: f64, group: u32, host: u32) -> bool {
        let known = self.tier.facts().primary(now + self.clock_offset, group);
        known.is_some_and(|known| known.host == host)
    }

    /// Whether this router counts that member.
    pub fn counts(&self, member: u16) -> bool {
        self.tier.members().is_counted(member)
    }

    /// What this router believes of a zone as a whole.
    pub fn reachability(&self, zone: usize) -> Reachability {
        self.tier.reachability(zone)
    }

    /// The share of the roster whose zone this router knows.
    pub fn known_zones(&self) -> f64 {
        let Some(map) = self.tier.zone_map() else { return 0.0 };
        let known = (0..map.roster() as u16).filter(|member| map.zone(*member).is_some()).count();
        known as f64 / map.roster() as f64
    }
}
