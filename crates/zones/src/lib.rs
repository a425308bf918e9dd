//! A failure detector for whole zones, beside the one for single members.
//!
//! A router that loses hundreds of peers at once can't detect them one by one: each takes a probe and a
//! suspicion timeout, and one gossip entry to report it to the others. So every router also keeps, for each
//! zone, the age of the latest sign of life of *any* of its routers, and gossips these few ages. Ages merge
//! by their minimum, which makes the order and the repetition of messages harmless. While any router receives
//! from one router of a zone, the age stays low everywhere; when all of them are gone, it grows at all
//! routers alike, and the zone becomes silent for all of them at about the same time.
//!
//! Silence alone doesn't distinguish a lost zone from one that is cut off. If the silent zones together hold
//! less than half of the roster, they are [`Reachability::LostOrCutOff`] and their members are not counted.
//! Otherwise this router may be on the smaller side of a partition: the zones are [`Reachability::CutOff`]
//! and their members stay counted, so that the sides of a partition don't each use the allowances of the
//! whole fleet.
//!
//! No I/O, no clock, no threads. Times are ms of the caller's clock, of which only differences count: clocks
//! of different routers need not agree.

mod evidence;
mod map;

pub use evidence::{Limits, Reachability, ReachabilityChange, ZoneEvidence};
pub use map::{BATCH_CHUNKS, CHUNK_MEMBERS, MapBatch, MapChunk, ZoneMap};

/// The number of zones that are monitored, 0 to 11: as many as fit into one gossip entry. Members of other
/// zones are only monitored one by one.
pub const MAX_ZONES: usize = 12;

/// The age of the latest sign of life of each zone, as reported to others.
pub type Ages = [Age; MAX_ZONES];

/// An age as it is sent: in units of 50 ms, rounded up, plus one unit for the time in transit. So an age that
/// is relayed from router to router is never too young while a datagram takes at most 50 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Age(pub u8);

impl Age {
    /// No sign of life, or one too old to be encoded.
    pub const UNKNOWN: Age = Age(u8::MAX);
    const UNIT_MS: f64 = 50.0;
    const TRANSIT_UNITS: f64 = 1.0;
    /// The longest silence that ages can express, in ms, with a margin for the rounding of some hops.
    pub const MAX_SILENCE_MS: f64 = 12_000.0;

    /// The age to send for a sign of life that is `ms` old.
    pub fn from_ms(ms: f64) -> Age {
        let units = (ms.max(0.0) / Age::UNIT_MS).ceil() + Age::TRANSIT_UNITS;
        if units < f64::from(u8::MAX) { Age(units as u8) } else { Age::UNKNOWN }
    }

    /// The age in ms; `None` if unknown.
    pub fn to_ms(self) -> Option<f64> {
        (self != Age::UNKNOWN).then_some(f64::from(self.0) * Age::UNIT_MS)
    }
}

#[cfg(test)]
mod tests;
