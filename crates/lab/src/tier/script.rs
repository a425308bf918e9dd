//! The script of a run: sizes of the tier, load, and scheduled faults. A script and its seed determine the
//! whole run; every process of the laboratory derives the same plan from the same text. No I/O, no clock.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Hosts that one process simulates. Limited because every router may hold several connections to each host.
pub const HOSTS_PER_PROCESS: usize = 60;

/// A run as described in TOML. Times are in ms since the start of the run, rates per second.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub seed: u64,
    /// How long clients send ops.
    pub lasts_ms: f64,
    /// How long the tier is observed after that.
    #[serde(default = "default_tail_ms")]
    pub tail_ms: f64,
    pub routers: usize,
    pub zones: usize,
    pub groups: usize,
    /// Total number of hosts. They are assigned to the groups in turn, the primary of each group first.
    pub hosts: usize,
    /// First port of the run, so that several runs can take place side by side.
    #[serde(default = "default_port")]
    pub port: u16,
    pub load: Load,
    #[serde(default)]
    pub host: HostFacts,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Template of the tier settings by which routers exchange observations. Without it they exchange
    /// nothing.
    #[serde(default)]
    pub tier: Option<String>,
    /// Whether hosts serve reads without checking staleness, so that only the router ensures freshness.
    #[serde(default = "default_unchecked")]
    pub unchecked: bool,
}

fn default_tail_ms() -> f64 {
    3_000.0
}

fn default_port() -> u16 {
    21_000
}

fn default_unchecked() -> bool {
    true
}

/// The load of all clients together.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Ops per second.
    pub ops: f64,
    /// Share of each op type: tokened writes, writes that must not be repeated, fresh reads, session reads
    /// and bounded reads. The rest are reads that any member may answer.
    #[serde(default = "default_tokened")]
    pub tokened: f64,
    #[serde(default = "default_once")]
    pub once: f64,
    #[serde(default = "default_fresh_or_session")]
    pub fresh: f64,
    #[serde(default = "default_fresh_or_session")]
    pub session: f64,
    #[serde(default = "default_bounded")]
    pub bounded: f64,
    /// Highest ratio between the loads of two routers.
    #[serde(default = "default_skew")]
    pub skew: f64,
    /// Share of ops whose client disconnects while it waits.
    #[serde(default)]
    pub leave: f64,
}

fn default_tokened() -> f64 {
    0.08
}

fn default_once() -> f64 {
    0.04
}

fn default_fresh_or_session() -> f64 {
    0.08
}

fn default_bounded() -> f64 {
    0.5
}

fn default_skew() -> f64 {
    4.0
}

/// Properties of a simulated host of size 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostFacts {
    pub cores: usize,
    /// Mean work of a read and of a write; `spread` is the standard deviation of its logarithm.
    pub read_ms: f64,
    pub write_ms: f64,
    pub spread: f64,
    /// Number of statements that may wait for a core; beyond it they are rejected.
    pub queue: usize,
    /// Number of connections beyond which startup messages are refused.
    pub connections: usize,
    /// Work that a new connection costs the host.
    pub dial_ms: f64,
    /// How far a replica is behind its primary without faults.
    pub lag_ms: f64,
    /// The fraction of its capacity that a host has when it starts; it has all of it `cold_ms` later.
    pub cold_from: f64,
    pub cold_ms: f64,
    /// A cold host goes down if the work that arrives within `fall_ms` exceeds this multiple of what it can
    /// do in that time.
    pub fall_multiple: f64,
    pub fall_ms: f64,
    /// How long a host stays down after it was overloaded.
    pub down_ms: f64,
    /// Sizes are random between 1 and this value.
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

/// The routers or hosts that a fault affects. Numbers count from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    All,
    One(usize),
    Some(Vec<usize>),
    Zone(usize),
    /// A random share of all, determined by the seed and the index of the fault in the script.
    Part(f64),
}

/// A scheduled fault: it starts at `at_ms` and lasts `for_ms`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Fault {
    pub at_ms: f64,
    #[serde(default)]
    pub for_ms: f64,
    pub what: What,
}

/// Kinds of faults. A fault on a link names both of its ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Bytes between these routers and hosts are held back silently, in both directions.
    StallHosts { routers: Who, hosts: Who },
    /// Connections between these routers and hosts are reset, new ones immediately.
    ResetHosts { routers: Who, hosts: Who },
    /// Replies of these hosts to these routers are delayed by `ms`.
    DelayHosts { routers: Who, hosts: Who, ms: f64 },
    /// Only the replies of hosts are held back: ops arrive and run, but their answers do not.
    MuteHosts { routers: Who, hosts: Who },
    /// Bytes between these routers and their clients are held back.
    StallClients { routers: Who },
    /// Connections between these routers and their clients are reset.
    ResetClients { routers: Who },
    /// The list service does not answer these routers.
    SilenceList { routers: Who },
    /// This share of the peer datagrams from `from` to `to` is lost.
    LosePeers { from: Who, to: Who, part: f64 },
    /// This share of the peer datagrams is duplicated; the copy may arrive out of order.
    DoublePeers { from: Who, to: Who, part: f64 },
    /// Peer datagrams are delayed by `ms` on average, so that they may arrive out of order.
    DelayPeers { from: Who, to: Who, ms: f64 },
    /// Peer datagrams are held back until the fault ends and then delivered all at once.
    StallPeers { from: Who, to: Who },
    /// The routers of a zone are cut off from the routers and hosts of all other zones, and the routers of
    /// other zones from its hosts.
    CutZone { zone: usize },
    /// Router processes are killed and started again `again_ms` later.
    Kill { routers: Who, again_ms: f64 },
    /// Router processes are suspended (SIGSTOP) until the fault ends.
    Stop { routers: Who },
    /// Router processes are terminated (SIGTERM) one after another, each started again `again_ms` later.
    Restart { routers: Who, again_ms: f64 },
    /// The clocks of these routers are off by `ms`; set when their processes start.
    ClockOff { routers: Who, ms: f64 },
    /// Hosts are replaced by new, cold ones: the new ids are listed, the old ones drain and are removed from
    /// the list.
    Replace { hosts: Who },
    /// Hosts crash and come back, cold, when the fault ends.
    Crash { hosts: Who },
    /// Statements on these hosts take `times` as much work.
    Slow { hosts: Who, times: f64 },
    /// These hosts are behind by a further `ms`.
    Lag { hosts: Who, ms: f64 },
    /// These hosts report a current commit clock, however far they are behind.
    Boast { hosts: Who },
    /// The group's next member becomes its primary.
    MovePrimary { group: usize },
    /// Datagrams of random bytes are sent to random routers under the addresses of peers, `rate` per second.
    Liar { rate: f64 },
}

impl Script {
    /// Parses and validates a script in TOML; an error names the key.
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
        for (key, value, max) in counts {
            if value == 0 || value > max {
                return Err(format!("{key} is out of range: {value}, 1 to {max}"));
            }
        }
        if self.hosts < self.groups {
            return Err(format!("hosts are fewer than groups: {} and {}", self.hosts, self.groups));
        }
        let l = &self.load;
        if !(0.0..=20_000.0).contains(&l.ops) || l.tokened + l.once + l.fresh + l.session + l.bounded > 1.0 {
            return Err("load is out of range: at most 20000 ops, shares that add up to at most 1".into());
        }
        if !self.unchecked && l.session > 0.0 {
            return Err(
                "unchecked = false: simulated hosts can't check session reads, load.session must be 0".into(),
            );
        }
        if !(0.0..=600_000.0).contains(&self.lasts_ms) || !(0.0..=60_000.0).contains(&self.tail_ms) {
            return Err("lasts_ms or tail_ms is out of range: at most 600000 and 60000".into());
        }
        Ok(())
    }

    /// A random number generator for one purpose, given by `salt`. All processes get the same sequence.
    pub fn rng(&self, salt: u64) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(salt))
    }

    /// The group of a host. Groups differ in size.
    pub fn group_of(&self, host: usize) -> usize {
        // Each group first gets two hosts, where there are enough. Further hosts are assigned with a stride
        // of three, so that groups differ in size: if three divides the number of groups, only every third
        // group gets them.
        let base = host % self.hosts;
        if base < 2 * self.groups.min(self.hosts / 2) { base % self.groups } else { (base * 3) % self.groups }
    }

    /// The members of a group at the start of the run; the first is its primary.
    pub fn members(&self, group: usize) -> Vec<usize> {
        (0..self.hosts).filter(|h| self.group_of(*h) == group).collect()
    }

    /// The total size of a group's replicas; of its primary if it has no replica.
    pub fn replica_capacity(&self, group: usize) -> f64 {
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

    /// The relative capacity of a host. The primaries at the start of the run have the largest size.
    pub fn size(&self, host: usize) -> f64 {
        if host % self.hosts < self.groups {
            return self.host.largest;
        }
        let mut rng = self.rng(1_000 + (host % self.hosts) as u64);
        (1.0 + random_unit(&mut rng) * (self.host.largest - 1.0)).round()
    }

    /// Size of the range of host ids. The replacement of host n has id n + `hosts`.
    pub fn hosts_with_replacements(&self) -> usize {
        let replaced = self.faults.iter().any(|f| matches!(f.what, What::Replace { .. }));
        if replaced { 2 * self.hosts } else { self.hosts }
    }

    /// The numbers, below `count`, of the routers or hosts that a fault affects. `zone_of` returns the zone
    /// of each.
    pub fn select(
        &self,
        fault_index: usize,
        who: &Who,
        count: usize,
        zone_of: impl Fn(usize) -> usize,
    ) -> Vec<usize> {
        match who {
            Who::All => (0..count).collect(),
            Who::One(one) => (0..count).filter(|n| n == one).collect(),
            Who::Some(some) => (0..count).filter(|n| some.contains(n)).collect(),
            Who::Zone(zone) => (0..count).filter(|n| zone_of(*n) == *zone).collect(),
            Who::Part(part) => {
                let mut rng = self.rng(5_000 + fault_index as u64);
                let mut order: Vec<(u64, usize)> = (0..count).map(|n| (rng.next_u64(), n)).collect();
                order.sort_unstable();
                let selected_count = (count as f64 * part.clamp(0.0, 1.0)).round() as usize;
                let mut selected: Vec<usize> =
                    order.into_iter().take(selected_count).map(|(_, n)| n).collect();
                selected.sort_unstable();
                selected
            }
        }
    }

    /// The routers that a fault affects.
    pub fn selected_routers(&self, fault_index: usize, who: &Who) -> Vec<usize> {
        self.select(fault_index, who, self.routers, |n| self.zone_of_router(n))
    }

    /// The hosts that a fault affects, of those at the start of the run. Faults on links apply to their
    /// replacements too.
    pub fn selected_hosts(&self, fault_index: usize, who: &Who) -> Vec<usize> {
        self.select(fault_index, who, self.hosts, |n| self.zone_of_host(n))
    }

    // Addresses. All are on loopback; each pair of ends has an address of its own, so that every link can be
    // identified.

    /// The address at which clients connect to a router.
    pub fn router_addr(&self, router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(encode_pair(1, router, 0), self.port)
    }

    /// The address at which one router connects to a host. Each host process has a port of its own.
    pub fn host_addr(&self, router: usize, host: usize) -> SocketAddrV4 {
        SocketAddrV4::new(encode_pair(2, router, host % 256), self.host_port(host / HOSTS_PER_PROCESS))
    }

    /// The port of a host process.
    pub fn host_port(&self, process: usize) -> u16 {
        self.port + 10 + process as u16
    }

    /// Number of processes that are needed to simulate all hosts.
    pub fn host_process_count(&self) -> usize {
        self.hosts_with_replacements().div_ceil(HOSTS_PER_PROCESS)
    }

    /// The address of the list service for one router.
    pub fn list_addr(&self, router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(encode_pair(1, router, 0), self.port + 1)
    }

    /// The address at which a router receives datagrams of its peers.
    pub fn peer_listen_addr(&self, router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(encode_pair(1, router, 0), self.port + 2)
    }

    /// The address to which router `from` sends datagrams for router `to`; the laboratory forwards them.
    pub fn peer_proxy_addr(&self, from: usize, to: usize) -> SocketAddrV4 {
        SocketAddrV4::new(encode_peer_pair(from, to), self.port + 3)
    }
}

/// Encodes a pair as 127.(kind and the two high bits of `first`).(its eight low bits).(`second`).
fn encode_pair(kind: u8, first: usize, second: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, kind << 3 | (first >> 8) as u8, first as u8, second as u8)
}

/// The router and the low byte of the host number that an address made by [`encode_pair`] stands for.
pub fn decode_pair(addr: &Ipv4Addr) -> (usize, usize) {
    let [_, b, c, d] = addr.octets();
    (((b & 7) as usize) << 8 | c as usize, d as usize)
}

/// Encodes two numbers of ten bits. The second byte of the address is at least 0x40, so that it differs from
/// those made by [`encode_pair`].
fn encode_peer_pair(from: usize, to: usize) -> Ipv4Addr {
    let packed = 0x40_0000 | from << 10 | to;
    Ipv4Addr::new(127, (packed >> 16) as u8, (packed >> 8) as u8, packed as u8)
}

/// The sending and the receiving router of an address made by [`encode_peer_pair`].
pub fn decode_peer_pair(addr: &Ipv4Addr) -> (usize, usize) {
    let [_, b, c, d] = addr.octets();
    let packed = (b as usize) << 16 | (c as usize) << 8 | d as usize;
    (packed >> 10 & 0x3ff, packed & 0x3ff)
}

/// A uniformly distributed random number in [0, 1).
pub fn random_unit(rng: &mut ChaCha8Rng) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}
