//! What a play of a tier is: how many of what, which load, and which faults when. A script and its seed say all of it;
//! every process of the laboratory derives the same plan from the same text. No I/O, no clock.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Hosts that one process holds: every router may have several connections to each.
pub const A_PROCESS: usize = 60;

/// Times in ms since the play's start, rates a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub seed: u64,
    /// How long clients ask, and how long the tier is watched after that.
    pub lasts_ms: f64,
    #[serde(default = "tail")]
    pub tail_ms: f64,
    pub routers: usize,
    pub zones: usize,
    pub groups: usize,
    /// Hosts in all; groups get them in turn, each a primary first.
    pub hosts: usize,
    /// The base of the play's ports, so that several can run side by side.
    #[serde(default = "ports")]
    pub port: u16,
    pub load: Load,
    #[serde(default)]
    pub host: HostFacts,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The template by which routers tell one another what they see; they tell nothing where it is left out.
    #[serde(default)]
    pub tier: Option<String>,
    /// Hosts answer reads from what they have, so that freshness is the router's care alone.
    #[serde(default = "yes")]
    pub unchecked: bool,
}

fn tail() -> f64 {
    3_000.0
}

fn ports() -> u16 {
    21_000
}

fn yes() -> bool {
    true
}

/// What clients ask, by all of them together.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub ops: f64,
    /// Part of ops of each type: writes that carry a token, writes that must not be repeated, fresh reads, session
    /// reads, bounded reads; the rest are reads that any member may answer.
    #[serde(default = "tokened")]
    pub tokened: f64,
    #[serde(default = "once")]
    pub once: f64,
    #[serde(default = "some")]
    pub fresh: f64,
    #[serde(default = "some")]
    pub session: f64,
    #[serde(default = "half")]
    pub bounded: f64,
    /// A router gets up to so many times what another one gets.
    #[serde(default = "skew")]
    pub skew: f64,
    /// Part of ops whose clients go while they wait.
    #[serde(default)]
    pub leave: f64,
}

fn tokened() -> f64 {
    0.08
}

fn once() -> f64 {
    0.04
}

fn some() -> f64 {
    0.08
}

fn half() -> f64 {
    0.5
}

fn skew() -> f64 {
    4.0
}

/// What a stand-in host of size 1 is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostFacts {
    pub cores: usize,
    /// Mean work of a read and of a write, and the spread of its logarithm.
    pub read_ms: f64,
    pub write_ms: f64,
    pub spread: f64,
    pub queue: usize,
    pub connections: usize,
    /// What a new connection costs the host.
    pub dial_ms: f64,
    pub lag_ms: f64,
    pub cold_from: f64,
    pub cold_ms: f64,
    pub fall_multiple: f64,
    pub fall_ms: f64,
    /// How long one that fell stays down.
    pub down_ms: f64,
    /// Sizes are drawn from 1 to this.
    pub largest: f64,
}

impl Default for HostFacts {
    fn default() -> HostFacts {
        HostFacts {
            cores: 1,
            read_ms: 8.0,
            write_ms: 12.0,
            spread: 0.5,
            queue: 64,
            connections: 400,
            dial_ms: 1.0,
            lag_ms: 40.0,
            cold_from: 0.25,
            cold_ms: 8_000.0,
            fall_multiple: 2.5,
            fall_ms: 2_000.0,
            down_ms: 3_000.0,
            largest: 3.0,
        }
    }
}

/// Who a fault is about. Numbers count from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    All,
    One(usize),
    Some(Vec<usize>),
    Zone(usize),
    /// This part of all, drawn by the seed and the fault's place in the script.
    Part(f64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Fault {
    pub at_ms: f64,
    #[serde(default)]
    pub for_ms: f64,
    pub what: What,
}

/// What goes wrong. Links name their two ends; what holds for both directions says so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Bytes between these routers and hosts wait, without a sign.
    StallHosts {
        routers: Who,
        hosts: Who,
    },
    /// Connections between these are reset, and new ones at once too.
    ResetHosts {
        routers: Who,
        hosts: Who,
    },
    DelayHosts {
        routers: Who,
        hosts: Who,
        ms: f64,
    },
    /// Only what hosts say waits: ops arrive and run, answers don't come.
    MuteHosts {
        routers: Who,
        hosts: Who,
    },
    StallClients {
        routers: Who,
    },
    ResetClients {
        routers: Who,
    },
    /// The list is not answered to these.
    SilenceList {
        routers: Who,
    },
    /// Peers' datagrams from these to those are lost in this part, or doubled, held for so long, or come in disorder.
    LosePeers {
        from: Who,
        to: Who,
        part: f64,
    },
    DoublePeers {
        from: Who,
        to: Who,
        part: f64,
    },
    DelayPeers {
        from: Who,
        to: Who,
        ms: f64,
    },
    /// They wait and then come all at once.
    StallPeers {
        from: Who,
        to: Who,
    },
    /// A zone's routers are cut off from all others' routers and hosts, and others from its hosts.
    CutZone {
        zone: usize,
    },
    Kill {
        routers: Who,
        again_ms: f64,
    },
    Stop {
        routers: Who,
    },
    Restart {
        routers: Who,
        again_ms: f64,
    },
    /// Set at the start of these routers' processes: their clocks are off by this.
    ClockOff {
        routers: Who,
        ms: f64,
    },
    /// Hosts are replaced by new, cold ones: drained, gone, and new ids listed.
    Replace {
        hosts: Who,
    },
    /// Hosts die and come back, cold, when the fault ends.
    Crash {
        hosts: Who,
    },
    Slow {
        hosts: Who,
        times: f64,
    },
    Lag {
        hosts: Who,
        ms: f64,
    },
    /// These hosts tell that they have all that is committed, whatever they have.
    Boast {
        hosts: Who,
    },
    /// The group's next member becomes its primary.
    MovePrimary {
        group: usize,
    },
    /// A peer of no router's shouts what is not so.
    Liar {
        rate: f64,
    },
}

impl Script {
    /// From TOML; an error names the key.
    pub fn from_toml(text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|e| e.to_string())?;
        script.check().map(|()| script)
    }

    fn check(&self) -> Result<(), String> {
        let counts = [
            ("routers", self.routers, 1_000),
            ("zones", self.zones, 16),
            ("groups", self.groups, 250),
            ("hosts", self.hosts, 250),
        ];
        for (key, value, most) in counts {
            if value == 0 || value > most {
                return Err(format!("{key} is out of range: {value}, 1 to {most}"));
            }
        }
        if self.hosts < self.groups {
            return Err(format!("hosts are fewer than groups: {} and {}", self.hosts, self.groups));
        }
        let l = &self.load;
        if !(0.0..=20_000.0).contains(&l.ops) || l.tokened + l.once + l.fresh + l.session + l.bounded > 1.0 {
            return Err("load is out of range: at most 20000 ops, parts of 1 in all".into());
        }
        if !self.unchecked && l.session > 0.0 {
            return Err(
                "unchecked = false: stand-ins can't check session reads, load.session must be 0".into()
            );
        }
        if !(0.0..=600_000.0).contains(&self.lasts_ms) || !(0.0..=60_000.0).contains(&self.tail_ms) {
            return Err("lasts_ms or tail_ms is out of range: at most ten minutes and one".into());
        }
        Ok(())
    }

    /// Chance of its own for each use, the same in all processes.
    pub fn rng(&self, salt: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(salt))
    }

    pub fn group_of(&self, host: usize) -> usize {
        // Groups are of unlike size: every third gets a second turn as long as there are hosts.
        let base = host % self.hosts;
        if base < 2 * self.groups.min(self.hosts / 2) { base % self.groups } else { (base * 3) % self.groups }
    }

    /// The members of a group that the play starts with; the first is its primary.
    pub fn members(&self, group: usize) -> Vec<usize> {
        (0..self.hosts).filter(|h| self.group_of(*h) == group).collect()
    }

    /// What a group's replicas can do together.
    pub fn room(&self, group: usize) -> f64 {
        let members = self.members(group);
        let replicas = if members.len() > 1 { &members[1..] } else { &members[..] };
        replicas.iter().map(|h| self.size(*h)).sum()
    }

    pub fn zone_of_host(&self, host: usize) -> usize {
        let base = host % self.hosts;
        (base + base / self.groups) % self.zones
    }

    pub fn zone_of_router(&self, router: usize) -> usize {
        router % self.zones
    }

    /// How big a host is against others; the play's first primaries are as big as any.
    pub fn size(&self, host: usize) -> f64 {
        if host % self.hosts < self.groups {
            return self.host.largest;
        }
        let mut chance = self.rng(1_000 + (host % self.hosts) as u64);
        (1.0 + random_unit(&mut chance) * (self.host.largest - 1.0)).round()
    }

    /// Replaced hosts go by the number of the one before them plus the number of hosts.
    pub fn all_hosts(&self) -> usize {
        let replaced = self.faults.iter().any(|f| matches!(f.what, What::Replace { .. }));
        if replaced { 2 * self.hosts } else { self.hosts }
    }

    /// Whom a fault is about, of so many, by number. `zones` tells the zone of each.
    pub fn chosen(&self, fault: usize, who: &Who, of: usize, zones: impl Fn(usize) -> usize) -> Vec<usize> {
        match who {
            Who::All => (0..of).collect(),
            Who::One(one) => (0..of).filter(|n| n == one).collect(),
            Who::Some(some) => (0..of).filter(|n| some.contains(n)).collect(),
            Who::Zone(zone) => (0..of).filter(|n| zones(*n) == *zone).collect(),
            Who::Part(part) => {
                let mut chance = self.rng(5_000 + fault as u64);
                let mut order: Vec<(u64, usize)> = (0..of).map(|n| (chance.next_u64(), n)).collect();
                order.sort_unstable();
                let count = (of as f64 * part.clamp(0.0, 1.0)).round() as usize;
                let mut chosen: Vec<usize> = order.into_iter().take(count).map(|(_, n)| n).collect();
                chosen.sort_unstable();
                chosen
            }
        }
    }

    pub fn routers(&self, fault: usize, who: &Who) -> Vec<usize> {
        self.chosen(fault, who, self.routers, |n| self.zone_of_router(n))
    }

    /// Hosts of the play's start; their replacements are meant with them.
    pub fn hosts(&self, fault: usize, who: &Who) -> Vec<usize> {
        self.chosen(fault, who, self.hosts, |n| self.zone_of_host(n))
    }

    // ---- addresses: all on loopback, each pair of ends of its own, so that every link can be told from every other

    /// Where a router's clients reach it.
    pub fn router_at(&self, router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(pair(1, router, 0), self.port)
    }

    /// Where a host is reached by one router: each process of hosts has a port of its own.
    pub fn host_at(&self, router: usize, host: usize) -> SocketAddrV4 {
        SocketAddrV4::new(pair(2, router, host % 256), self.hosts_port(host / A_PROCESS))
    }

    pub fn hosts_port(&self, part: usize) -> u16 {
        self.port + 10 + part as u16
    }

    /// Processes that it takes to hold all hosts.
    pub fn parts(&self) -> usize {
        self.all_hosts().div_ceil(A_PROCESS)
    }

    /// Where the list is, for one router.
    pub fn list_at(&self, router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(pair(1, router, 0), self.port + 1)
    }

    /// Where a router hears its peers, and where one router reaches another: the laboratory stands between.
    pub fn hears_at(&self, router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(pair(1, router, 0), self.port + 2)
    }

    pub fn peer_at(&self, from: usize, to: usize) -> SocketAddrV4 {
        SocketAddrV4::new(peers(from, to), self.port + 3)
    }
}

/// 127.(kind and two bits of the first).(eight bits of it).(the second).
fn pair(kind: u8, first: usize, second: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, kind << 3 | (first >> 8) as u8, first as u8, second as u8)
}

/// The two ends of a pair of a router and a host.
pub fn ends(at: &Ipv4Addr) -> (usize, usize) {
    let [_, b, c, d] = at.octets();
    (((b & 7) as usize) << 8 | c as usize, d as usize)
}

/// Two numbers of ten bits; the highest of the three bytes is at least 0x40, off all other addresses.
fn peers(from: usize, to: usize) -> Ipv4Addr {
    let both = 0x40_0000 | from << 10 | to;
    Ipv4Addr::new(127, (both >> 16) as u8, (both >> 8) as u8, both as u8)
}

pub fn peer_ends(at: &Ipv4Addr) -> (usize, usize) {
    let [_, b, c, d] = at.octets();
    let both = (b as usize) << 16 | (c as usize) << 8 | d as usize;
    (both >> 10 & 0x3ff, both & 0x3ff)
}

/// Chance in [0, 1).
pub fn random_unit(chance: &mut ChaCha8Rng) -> f64 {
    f64::from(chance.next_u32()) / 4_294_967_296.0
}
