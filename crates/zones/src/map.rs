//! Which zone each member of the roster is in, as far as known. A member states its own zone in its
//! datagrams; the rest is learned from other routers, which are asked for the batches of the map in which
//! some zone is unknown.

use crate::MAX_ZONES;

/// Members in one chunk of the map.
pub const CHUNK_MEMBERS: usize = 24;
/// Chunks per request: as many as fit into one datagram of the answer.
pub const BATCH_CHUNKS: usize = 11;
const BATCH_MEMBERS: usize = BATCH_CHUNKS * CHUNK_MEMBERS;

/// The number of a batch: the part of the map that one router requests from another at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapBatch(pub u8);

/// The zones of some consecutive members, as one router knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapChunk {
    /// The number of the first member.
    pub first: u16,
    /// Their zones; [`MapChunk::UNKNOWN`] where none is known.
    pub zones: [u8; CHUNK_MEMBERS],
}

impl MapChunk {
    /// Marks a member whose zone is unknown. It and all zones fit into four bits.
    pub const UNKNOWN: u8 = 15;
}

/// What is known of one member's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KnownZone {
    #[default]
    Unknown,
    /// Reported by another router.
    Relayed(u8),
    /// Reported by the member itself.
    SelfReported(u8),
}

impl KnownZone {
    fn zone(self) -> Option<u8> {
        match self {
            KnownZone::Unknown => None,
            KnownZone::Relayed(zone) | KnownZone::SelfReported(zone) => Some(zone),
        }
    }
}

/// The zones of all members of a roster.
#[derive(Clone, Debug)]
pub struct ZoneMap {
    members: Vec<KnownZone>,
    /// The number of members known in each zone.
    sizes: [usize; MAX_ZONES],
    next_batch: usize,
    /// Incremented by each change.
    version: u64,
}

impl ZoneMap {
    /// An empty map for a roster of `roster_size` members. `first_batch`, taken modulo the number of batches,
    /// is the batch that is requested first.
    pub fn new(roster_size: usize, first_batch: usize) -> ZoneMap {
        ZoneMap {
            members: vec![KnownZone::default(); roster_size],
            sizes: [0; MAX_ZONES],
            next_batch: first_batch,
            version: 0,
        }
    }

    /// The zone of a member, if known.
    pub fn zone(&self, member: u16) -> Option<usize> {
        self.members.get(usize::from(member)).and_then(|known| known.zone()).map(usize::from)
    }

    /// The number of members known in a zone.
    pub fn size(&self, zone: usize) -> usize {
        self.sizes.get(zone).copied().unwrap_or(0)
    }

    /// A number that changes whenever the zone of some member becomes known or changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of members of the roster.
    pub fn roster_size(&self) -> usize {
        self.members.len()
    }

    /// The members known in a zone, in the order of their numbers.
    pub fn members_of(&self, zone: usize) -> impl Iterator<Item = u16> {
        let numbered = self.members.iter().zip(0u16..);
        numbered
            .filter(move |(known, _)| known.zone().map(usize::from) == Some(zone))
            .map(|(_, number)| number)
    }

    /// Records the zone that a member states of itself.
    pub fn learn_from_member(&mut self, member: u16, zone: u8) {
        self.set(usize::from(member), KnownZone::SelfReported(zone));
    }

    /// Fills in unknown zones from another router's map; known ones are never overridden.
    pub fn learn_chunk(&mut self, chunk: &MapChunk) {
        for (member, zone) in (usize::from(chunk.first)..).zip(chunk.zones) {
            if self.members.get(member).is_some_and(|known| *known == KnownZone::Unknown) {
                self.set(member, KnownZone::Relayed(zone));
            }
        }
    }

    fn set(&mut self, member: usize, known: KnownZone) {
        let is_monitored = known.zone().is_some_and(|zone| usize::from(zone) < MAX_ZONES);
        let Some(current) = self.members.get_mut(member).filter(|_| is_monitored) else { return };
        if let Some(before) = current.zone() {
            self.sizes[usize::from(before)] -= 1;
        }
        self.version += u64::from(current.zone() != known.zone());
        *current = known;
        if let Some(zone) = current.zone() {
            self.sizes[usize::from(zone)] += 1;
        }
    }

    /// The next batch of the map, in rotation, in which some zone is unknown.
    pub fn next_unknown_batch(&mut self) -> Option<MapBatch> {
        let batches = self.members.len().div_ceil(BATCH_MEMBERS);
        for _ in 0..batches {
            let batch = self.next_batch % batches;
            self.next_batch = self.next_batch.wrapping_add(1);
            let from = batch * BATCH_MEMBERS;
            let until = (from + BATCH_MEMBERS).min(self.members.len());
            if self.members[from..until].contains(&KnownZone::Unknown) {
                return u8::try_from(batch).ok().map(MapBatch);
            }
        }
        None
    }

    /// The chunks of a batch in which some zone is known.
    pub fn chunks(&self, batch: MapBatch) -> Vec<MapChunk> {
        let first = usize::from(batch.0) * BATCH_MEMBERS;
        let starts = (first..first + BATCH_MEMBERS).step_by(CHUNK_MEMBERS);
        starts.filter_map(|start| self.chunk(start)).collect()
    }

    fn chunk(&self, start: usize) -> Option<MapChunk> {
        let members = self.members.get(start..)?;
        let mut zones = [MapChunk::UNKNOWN; CHUNK_MEMBERS];
        for (slot, known) in zones.iter_mut().zip(members) {
            *slot = known.zone().unwrap_or(MapChunk::UNKNOWN);
        }
        let first = u16::try_from(start).ok()?;
        zones.iter().any(|zone| *zone != MapChunk::UNKNOWN).then_some(MapChunk { first, zones })
    }
}
