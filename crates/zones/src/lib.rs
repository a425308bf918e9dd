//! A failure detector for whole zones, beside the one for single members.
//!
//! A router that loses hundreds of peers at once can't learn of them one by one: finding each takes a probe and a
//! suspicion timeout, and telling the others takes one gossip entry each. So every router also keeps, for each zone, the
//! age of the latest sign of life of *any* of its routers, and gossips these few ages. Ages merge by their minimum, which
//! makes the order and the repetition of messages harmless. While one router of a zone is there and heard by anybody, the
//! age stays low everywhere; when all are gone it grows at all routers alike, and the zone is silent for all of them at
//! about the same time.
//!
//! Silence alone doesn't tell a lost zone from one that is cut off. If the silent zones together hold less than half of
//! the roster, they are [`Reachability::LostOrCutOff`] and their members are not counted. Otherwise this router may be on
//! the smaller side of a partition: the zones are [`Reachability::CutOff`] and their members stay counted, so that the
//! sides of a partition don't each take all of what the fleet may do together.
//!
//! No I/O, no clock, no threads. Times are ms of the caller's clock, of which only differences count: clocks of different
//! routers need not agree.

mod evidence;
mod map;

pub use evidence::{Change, Limits, Reachability, ZoneEvidence};
pub use map::{BATCH_CHUNKS, CHUNK_MEMBERS, MapBatch, MapChunk, ZoneMap};

/// Zones that are watched: numbers 0 to 11, as many as fit into one gossip entry. Members of others are only watched
/// one by one.
pub const MAX_ZONES: usize = 12;

/// The age of the latest sign of life of each zone, as told to others.
pub type Ages = [Age; MAX_ZONES];

/// An age as it is sent: in units of 50 ms, rounded up, and one more unit for the time on the way. So an age that is
/// passed on from router to router never falls behind the truth while a datagram takes 50 ms at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Age(pub u8);

impl Age {
    /// No sign of life, or one older than can be told.
    pub const UNKNOWN: Age = Age(u8::MAX);
    const UNIT_MS: f64 = 50.0;
    const TRAVEL_UNITS: f64 = 1.0;
    /// The longest silence that ages can tell, in ms, with room for the rounding of some hops.
    pub const MAX_SILENCE_MS: f64 = 12_000.0;

    /// The age to send for a sign of life that is so many ms old.
    pub fn from_ms(ms: f64) -> Age {
        let units = (ms.max(0.0) / Age::UNIT_MS).ceil() + Age::TRAVEL_UNITS;
        if units < f64::from(u8::MAX) { Age(units as u8) } else { Age::UNKNOWN }
    }

    /// The age in ms; none where nothing is known.
    pub fn to_ms(self) -> Option<f64> {
        (self != Age::UNKNOWN).then_some(f64::from(self.0) * Age::UNIT_MS)
    }
}

#[cfg(test)]
mod tests;
