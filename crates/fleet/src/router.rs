//! A simulated router: the real membership, fact and datagram code, without clients and hosts.

use magpiewell_facts::Observation;
use magpiewell_members::RosterError;
use magpiewell_peers::Key;
use magpiewell_tier::{Limits, Outgoing, Tier};
use magpiewell_zones::Reachability;

/// Interval between ticks, the same as in a real router.
pub const TICK_MS: f64 = 100.0;
/// The tier's shared secret. Its value is arbitrary, but datagrams carry a keyed hash as in production.
const SECRET: &[u8] = b"the fleet's key";

/// The identity of a simulated router.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Its member number: its index in the roster.
    pub number: u16,
    /// Number of members in the roster.
    pub roster_size: usize,
    pub zone: u8,
    pub seed: u64,
}

/// A running router process.
pub struct Router {
    tier: Tier,
    /// How far this router's clock is ahead of the true time, in ms.
    clock_offset_ms: f64,
}

impl Router {
    /// Starts a process at the true time `now`, in Unix ms. All methods take the true time.
    pub fn start(
        identity: Identity,
        now: f64,
        clock_offset_ms: f64,
        limits: Limits,
    ) -> Result<Router, RosterError> {
        let Identity { number, roster_size, zone, seed } = identity;
        let started_at = (now + clock_offset_ms) as u64;
        let identity = magpiewell_tier::Identity { local: number, roster_size, zone: Some(zone), started_at };
        let tier = Tier::new(identity, seed, Some(Key::new(SECRET)), limits)?;
        Ok(Router { tier, clock_offset_ms })
    }

    pub fn tier(&self) -> &Tier {
        &self.tier
    }

    pub fn tick(&mut self, now: f64) -> Vec<Outgoing> {
        self.tier.tick(now + self.clock_offset_ms).datagrams
    }

    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) -> Vec<Outgoing> {
        self.tier.receive(now + self.clock_offset_ms, from, bytes).datagrams
    }

    /// Makes the router observe a host as a group's primary.
    pub fn observe_primary(&mut self, now: f64, group: u32, host: u32) -> Vec<Outgoing> {
        let observation = Observation::Primary { group, host };
        self.tier.observe(now + self.clock_offset_ms, observation).datagrams
    }

    /// Whether this router knows that host as the group's primary.
    pub fn knows_primary(&self, now: f64, group: u32, host: u32) -> bool {
        let known = self.tier.facts().primary(now + self.clock_offset_ms, group);
        known.is_some_and(|known| known.host == host)
    }

    /// Whether this router counts a member.
    pub fn is_counted(&self, member: u16) -> bool {
        self.tier.members().is_counted(member)
    }

    /// The reachability of a zone as this router believes it.
    pub fn reachability(&self, zone: usize) -> Reachability {
        self.tier.reachability(zone)
    }

    /// The share of members whose zone this router knows.
    pub fn known_zone_share(&self) -> f64 {
        let Some(map) = self.tier.zone_map() else { return 0.0 };
        let known = (0..map.roster_size() as u16).filter(|member| map.zone(*member).is_some()).count();
        known as f64 / map.roster_size() as f64
    }
}
