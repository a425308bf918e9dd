//! The output of a call: datagrams to send, and events for the router's decisions.

use magpiewell_facts::{GroupKey, HostKey};
use magpiewell_zones::Reachability;

/// A datagram to send to a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The recipient's member number.
    pub to: u16,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// An event for the router's decisions, learned from its peers. No event says that a host is healthy or up to
/// date.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerFact {
    /// The host that was last observed as the group's primary, and when.
    Primary { group: GroupKey, host: HostKey, observed_at: f64 },
    /// How far a replica was behind the primary's log, and when this was observed.
    ReplicaLag { host: HostKey, lag_ms: f64, observed_at: f64 },
    /// A quorum of other routers reported that a host does not answer.
    Unresponsive { host: HostKey },
    /// Other routers' reads of a host took `ratio` times as long as usual, measured over `reads` reads.
    Slow { host: HostKey, ratio: f64, reads: f64 },
    /// The number of counted members, and the share of them in each zone; empty if no zone is known.
    Members { counted: usize, zone_shares: Vec<f64> },
}

/// A change of a zone's reachability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    pub zone: usize,
    pub reachability: Reachability,
    /// Number of members known to be in the zone.
    pub members: usize,
}

/// The output of one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Datagrams to send.
    pub datagrams: Vec<Outgoing>,
    /// Events for the router's decisions, in order.
    pub events: Vec<PeerFact>,
    /// Zones that became silent or reachable again.
    pub zone_changes: Vec<ZoneChange>,
}
