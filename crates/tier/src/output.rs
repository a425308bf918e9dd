//! What comes of one call: datagrams to send, and events for the router's decisions.

use magpiewell_facts::{GroupKey, HostKey};
use magpiewell_zones::Reachability;

/// A datagram for a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The member's number in the roster.
    pub to: u16,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// What the router's decisions learn from its peers. None of it says that a host is well or up to date.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerFact {
    /// The host that was last seen as the group's primary, and when.
    Primary { group: GroupKey, host: HostKey, observed_at: f64 },
    /// How many ms a replica lagged, and when.
    ReplicaLag { host: HostKey, ms: f64, observed_at: f64 },
    /// Several other routers had no answer from a host.
    Unresponsive { host: HostKey },
    /// Other routers' reads of a host took `ratio` times as long as usual.
    Slow { host: HostKey, ratio: f64, reads: f64 },
    /// How many members count, and the part of them in each zone; empty where no zone is known.
    Members { counted: usize, zone_shares: Vec<f64> },
}

/// What is believed of a zone has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    pub zone: usize,
    pub reachability: Reachability,
    /// Members known to be in the zone.
    pub members: usize,
}

/// What came of one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Datagrams to send.
    pub datagrams: Vec<Outgoing>,
    /// Events for the router's decisions, in order.
    pub events: Vec<PeerFact>,
    /// Zones that fell silent, or are heard again.
    pub zone_changes: Vec<ZoneChange>,
}
