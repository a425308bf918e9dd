//! The plan of a scale test: sizes, the zone and process of each member, addresses, phase durations and
//! changes of primary. Everything is derived from the plan's fields, so that all processes agree on it.

use super::fault::Faults;
use crate::tier::script::random_unit;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// A router's number in the roster: hollow routers first, then real ones.
pub type MemberId = u16;

/// The zone whose processes are killed.
pub const LOST_ZONE: usize = 1;
/// While the zone is lost, one group changes its primary per this many routers.
const ROUTERS_PER_PRIMARY_CHANGE: usize = 24;
/// Primaries change within this time after the loss of the zone.
const PRIMARY_CHANGE_WINDOW_MS: f64 = 1_000.0;
/// Numbers of the first group whose primary changes, and of the first new primary.
const FIRST_GROUP: u32 = 1;
const FIRST_HOST: u32 = 1_000_001;

/// Limits of a plan, so that one machine can run it.
const MAX_ROUTERS: usize = 4_800;
const MAX_PROCESSES: usize = 300;
/// Routers have the addresses 127.93.x.y, with y from 1 to 250.
const ADDRESS_SECOND_BYTE: u8 = 93;
const ADDRESSES_PER_BLOCK: usize = 250;

/// The duration of each phase in ms; a phase of zero is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Durations {
    /// From the start of all processes; not measured.
    pub settle: f64,
    pub quiet: f64,
    pub zone_lost: f64,
    pub zone_back: f64,
    /// One process is stopped with SIGSTOP for some seconds.
    pub stop: f64,
    /// A share of the hollow routers' datagrams is lost.
    pub loss: f64,
    /// The network is partitioned.
    pub cut: f64,
    /// After the partition.
    pub healed: f64,
}

impl Durations {
    /// Durations of the full test.
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
    /// Durations of a control: long enough to decide whether its targets are met.
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

/// Whether the network between zones works, or is broken on purpose as a control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Variant {
    /// Without permanent faults.
    Sound,
    /// No datagram of a hollow router reaches another zone or a real router.
    ZonesMute,
}

/// A test as given by the caller; passed to the hollow processes as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub variant: Variant,
    pub seed: u64,
    /// The number of hollow routers.
    pub hollow: usize,
    /// The number of real routers.
    pub real: usize,
    pub zones: usize,
    /// The number of hollow processes; a multiple of the number of zones.
    pub processes: usize,
    /// UDP port of all routers.
    pub port: u16,
    /// The tier's settings: a Jsonnet template as in `deploy`.
    pub template: String,
    pub durations: Durations,
    /// How far the clocks of the routers in the last hollow process are ahead.
    pub clock_ahead_ms: f64,
}

/// A change of a group's primary while the zone is lost, and the live hollow router that observes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrimaryChange {
    /// Time after the loss of the zone.
    pub after_ms: f64,
    pub observer: MemberId,
    pub group: u32,
    pub host: u32,
}

impl Plan {
    /// Checks that the sizes fit together and stay within the limits.
    pub fn validate(&self) -> Result<(), String> {
        let members = self.members();
        if self.zones < 2 || self.processes == 0 || !self.processes.is_multiple_of(self.zones) {
            return Err(format!(
                "{} hollow processes can't be spread evenly over {} zones",
                self.processes, self.zones
            ));
        }
        if self.hollow < self.processes {
            return Err(format!(
                "{} hollow routers are too few for {} hollow processes",
                self.hollow, self.processes
            ));
        }
        if members > MAX_ROUTERS || self.processes + self.real > MAX_PROCESSES {
            return Err(format!(
                "{members} routers in {} processes: at most {MAX_ROUTERS} in {MAX_PROCESSES}",
                self.processes + self.real
            ));
        }
        Ok(())
    }

    pub fn members(&self) -> usize {
        self.hollow + self.real
    }

    pub fn is_hollow(&self, member: MemberId) -> bool {
        usize::from(member) < self.hollow
    }

    pub fn all_members(&self) -> impl Iterator<Item = MemberId> + use<> {
        0..self.members() as MemberId
    }

    pub fn real_members(&self) -> impl Iterator<Item = MemberId> + use<> {
        self.hollow as MemberId..self.members() as MemberId
    }

    pub fn zone(&self, member: MemberId) -> usize {
        let number = usize::from(member);
        if number < self.hollow {
            number % self.processes % self.zones
        } else {
            (number - self.hollow) % self.zones
        }
    }

    /// The hollow routers of one process; all of them are in one zone.
    pub fn members_of_process(&self, process: usize) -> Vec<MemberId> {
        (process..self.hollow).step_by(self.processes).map(|number| number as MemberId).collect()
    }

    pub fn zone_of_process(&self, process: usize) -> usize {
        process % self.zones
    }

    /// The clock offset of a process' routers.
    pub fn clock_offset_ms(&self, process: usize) -> f64 {
        if process + 1 == self.processes { self.clock_ahead_ms } else { 0.0 }
    }

    /// The address on which a router receives datagrams.
    pub fn address(&self, member: MemberId) -> SocketAddr {
        let number = usize::from(member);
        let (block, host) = (number / ADDRESSES_PER_BLOCK, number % ADDRESSES_PER_BLOCK + 1);
        let ip = Ipv4Addr::new(127, ADDRESS_SECOND_BYTE, block as u8, host as u8);
        SocketAddr::V4(SocketAddrV4::new(ip, self.port))
    }

    /// The member with this address, if any.
    pub fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        let SocketAddr::V4(address) = address else { return None };
        let [_, _, block, host] = address.ip().octets();
        let number = usize::from(block) * ADDRESSES_PER_BLOCK + usize::from(host).checked_sub(1)?;
        let member = MemberId::try_from(number).ok().filter(|_| number < self.members())?;
        (self.address(member) == SocketAddr::V4(address)).then_some(member)
    }

    /// A random number generator for one use, which the salt identifies.
    pub fn rng(&self, salt: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(1_000_003).wrapping_add(salt))
    }

    /// The changes of primary while the zone is lost, in order of time.
    pub fn primary_changes(&self) -> Vec<PrimaryChange> {
        let mut rng = self.rng(0);
        let live: Vec<MemberId> =
            (0..self.hollow as MemberId).filter(|member| self.zone(*member) != LOST_ZONE).collect();
        let count = (self.members() / ROUTERS_PER_PRIMARY_CHANGE).max(1) as u32;
        let mut changes: Vec<PrimaryChange> = (0..count)
            .map(|number| PrimaryChange {
                after_ms: random_unit(&mut rng) * PRIMARY_CHANGE_WINDOW_MS,
                observer: live[(random_unit(&mut rng) * live.len() as f64) as usize],
                group: FIRST_GROUP + number,
                host: FIRST_HOST + number,
            })
            .collect();
        changes.sort_by(|a, b| a.after_ms.total_cmp(&b.after_ms));
        changes
    }

    /// Faults that are in force during the whole test.
    pub fn permanent_faults(&self) -> Faults {
        match self.variant {
            Variant::Sound => Faults::default(),
            Variant::ZonesMute => Faults { sides: self.sides_by_zone(), ..Faults::default() },
        }
    }

    /// The two sides of the partition, by member. Datagrams between real routers can't be dropped by the
    /// laboratory, so all real routers are on the same side.
    pub fn sides_of_cut(&self) -> Vec<u8> {
        let is_other_side = |member: MemberId| self.is_hollow(member) && self.zone(member) >= self.zones / 2;
        self.all_members().map(|member| u8::from(is_other_side(member))).collect()
    }

    /// One side for each zone's hollow routers, and one for all real routers.
    fn sides_by_zone(&self) -> Vec<u8> {
        let side = |member: MemberId| if self.is_hollow(member) { self.zone(member) } else { self.zones };
        self.all_members().map(|member| side(member) as u8).collect()
    }
}
