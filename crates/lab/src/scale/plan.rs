//! What a scale test consists of: its sizes, who is in which zone and process, addresses, the schedule of
//! its faults and the primaries that change. Everything follows from the plan's fields, so that each
//! process reads the same from it.

use super::fault::Faults;
use crate::tier::script::random_unit;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// A router's number in the roster: the hollow ones first, then the real ones.
pub type Member = u16;

/// The zone that is lost.
pub const LOST_ZONE: usize = 1;
/// In so many routers one group changes its primary while the zone is lost.
const ROUTERS_PER_CHANGE: usize = 24;
/// Primaries change within so many ms after the zone was lost.
const CHANGES_WITHIN_MS: f64 = 1_000.0;
/// The first group's number and the first new primary's.
const FIRST_GROUP: u32 = 1;
const FIRST_HOST: u32 = 1_000_001;

/// Bounds of any plan, so that one machine carries it.
const MOST_ROUTERS: usize = 4_800;
const MOST_PROCESSES: usize = 300;
/// Routers' addresses are 127.SECOND_BYTE.x.y, with y from 1 to 250.
const SECOND_BYTE: u8 = 93;
const HOSTS_IN_A_BLOCK: usize = 250;

/// How long each phase lasts, in ms; a phase of zero is left out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Durations {
    /// From the start of all processes on, not measured.
    pub settle: f64,
    pub quiet: f64,
    pub zone_lost: f64,
    pub zone_back: f64,
    /// One process is stopped for a while.
    pub stop: f64,
    /// Datagrams are lost.
    pub loss: f64,
    pub cut: f64,
    /// After the cut.
    pub healed: f64,
}

impl Durations {
    /// The proof's.
    pub const PROOF: Durations = Durations {
        settle: 5_000.0,
        quiet: 22_000.0,
        zone_lost: 91_000.0,
        zone_back: 14_000.0,
        stop: 14_000.0,
        loss: 14_000.0,
        cut: 12_000.0,
        healed: 12_000.0,
    };
    /// The control's: until its aims are missed or kept.
    pub const CONTROL: Durations = Durations {
        settle: 3_000.0,
        quiet: 0.0,
        zone_lost: 12_000.0,
        zone_back: 0.0,
        stop: 0.0,
        loss: 0.0,
        cut: 0.0,
        healed: 0.0,
    };
}

impl Durations {
    pub fn total_ms(&self) -> f64 {
        let Durations { settle, quiet, zone_lost, zone_back, stop, loss, cut, healed } = self;
        settle + quiet + zone_lost + zone_back + stop + loss + cut + healed
    }
}

/// Whether the tier is sound, or what a control takes from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Variant {
    Sound,
    /// No datagram of a hollow router gets to another zone or to a real router.
    ZonesMute,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub variant: Variant,
    pub seed: u64,
    pub hollow: usize,
    pub real: usize,
    pub zones: usize,
    /// Hollow processes, as many in each zone.
    pub processes: usize,
    /// Port of all routers' datagrams.
    pub port: u16,
    /// The settings of the tier, a template as under `deploy`.
    pub template: String,
    pub durations: Durations,
    /// The clocks of the last hollow process' routers run so many ms ahead.
    pub clock_ahead_ms: f64,
}

/// A group whose primary changes while the zone is lost, and the live hollow router that sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrimaryChange {
    /// Ms after the zone was lost.
    pub after_ms: f64,
    pub observer: Member,
    pub group: u32,
    pub host: u32,
}

impl Plan {
    /// Checks what the fields must fulfil among each other.
    pub fn check(&self) -> Result<(), String> {
        let members = self.members();
        if self.zones < 2 || self.processes == 0 || !self.processes.is_multiple_of(self.zones) {
            return Err(format!(
                "{} processes are not as many in each of {} zones",
                self.processes, self.zones
            ));
        }
        if self.hollow < self.processes {
            return Err(format!(
                "{} hollow routers are too few for {} processes",
                self.hollow, self.processes
            ));
        }
        if members > MOST_ROUTERS || self.processes + self.real > MOST_PROCESSES {
            return Err(format!(
                "{members} routers in {} processes: at most {MOST_ROUTERS} in {MOST_PROCESSES}",
                self.processes + self.real
            ));
        }
        Ok(())
    }

    pub fn members(&self) -> usize {
        self.hollow + self.real
    }

    pub fn is_hollow(&self, member: Member) -> bool {
        usize::from(member) < self.hollow
    }

    pub fn all_members(&self) -> impl Iterator<Item = Member> + use<> {
        0..self.members() as Member
    }

    pub fn real_members(&self) -> impl Iterator<Item = Member> + use<> {
        self.hollow as Member..self.members() as Member
    }

    pub fn zone(&self, member: Member) -> usize {
        let number = usize::from(member);
        if number < self.hollow {
            number % self.processes % self.zones
        } else {
            (number - self.hollow) % self.zones
        }
    }

    /// Hollow routers of one process; all of them are in one zone.
    pub fn slice(&self, process: usize) -> Vec<Member> {
        (process..self.hollow).step_by(self.processes).map(|number| number as Member).collect()
    }

    pub fn zone_of_process(&self, process: usize) -> usize {
        process % self.zones
    }

    /// How far the clocks of a process' routers are off, in ms.
    pub fn clock_off_ms(&self, process: usize) -> f64 {
        if process + 1 == self.processes { self.clock_ahead_ms } else { 0.0 }
    }

    /// Where a router receives datagrams.
    pub fn address(&self, member: Member) -> SocketAddr {
        let number = usize::from(member);
        let (block, host) = (number / HOSTS_IN_A_BLOCK, number % HOSTS_IN_A_BLOCK + 1);
        let ip = Ipv4Addr::new(127, SECOND_BYTE, block as u8, host as u8);
        SocketAddr::V4(SocketAddrV4::new(ip, self.port))
    }

    /// Whose address that is.
    pub fn member_at(&self, address: SocketAddr) -> Option<Member> {
        let SocketAddr::V4(address) = address else { return None };
        let [_, _, block, host] = address.ip().octets();
        let number = usize::from(block) * HOSTS_IN_A_BLOCK + usize::from(host).checked_sub(1)?;
        let member = Member::try_from(number).ok().filter(|_| number < self.members())?;
        (self.address(member) == SocketAddr::V4(address)).then_some(member)
    }

    /// Chance of its own for each use.
    pub fn chance(&self, purpose: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(purpose))
    }

    /// The primaries that change while the zone is lost, in order of time.
    pub fn primary_changes(&self) -> Vec<PrimaryChange> {
        let mut chance = self.chance(0);
        let live: Vec<Member> =
            (0..self.hollow as Member).filter(|member| self.zone(*member) != LOST_ZONE).collect();
        let count = (self.members() / ROUTERS_PER_CHANGE).max(1) as u32;
        let mut changes: Vec<PrimaryChange> = (0..count)
            .map(|number| PrimaryChange {
                after_ms: random_unit(&mut chance) * CHANGES_WITHIN_MS,
                observer: live[(random_unit(&mut chance) * live.len() as f64) as usize],
                group: FIRST_GROUP + number,
                host: FIRST_HOST + number,
            })
            .collect();
        changes.sort_by(|a, b| a.after_ms.total_cmp(&b.after_ms));
        changes
    }

    /// Faults that last for the whole test.
    pub fn standing_faults(&self) -> Faults {
        match self.variant {
            Variant::Sound => Faults::default(),
            Variant::ZonesMute => Faults { sides: self.every_zone_alone(), ..Faults::default() },
        }
    }

    /// The two sides of the cut, by member. Real routers' datagrams among each other can't be cut from
    /// here, so that all of them are on one side.
    pub fn halves(&self) -> Vec<u8> {
        let other_side = |member: Member| self.is_hollow(member) && self.zone(member) >= self.zones / 2;
        self.all_members().map(|member| u8::from(other_side(member))).collect()
    }

    /// Each zone's hollow routers for themselves, and all real routers for themselves.
    fn every_zone_alone(&self) -> Vec<u8> {
        let side = |member: Member| if self.is_hollow(member) { self.zone(member) } else { self.zones };
        self.all_members().map(|member| side(member) as u8).collect()
    }
}
