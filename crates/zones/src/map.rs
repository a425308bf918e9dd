//! Which zone each member of the roster is in, as far as known. A member's own word comes with its datagrams; the rest is
//! learned from other routers, which answer when asked for a part of the map that isn't known.

use crate::MAX_ZONES;

/// Members in one chunk of the map.
pub const CHUNK_MEMBERS: usize = 24;
/// Chunks that are asked for at once: as many as one datagram answers.
pub const BATCH_CHUNKS: usize = 11;
const BATCH_MEMBERS: usize = BATCH_CHUNKS * CHUNK_MEMBERS;

/// The number of a part of the map that one router asks another for.
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
    /// Stands for a member whose zone isn't known. Zones fit into four bits beside it.
    pub const UNKNOWN: u8 = 15;
}

/// What is known of one member's zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Known {
    #[default]
    Unknown,
    /// Another router said so.
    Told(u8),
    /// The member itself said so.
    FirstHand(u8),
}

impl Known {
    fn zone(self) -> Option<u8> {
        match self {
            Known::Unknown => None,
            Known::Told(zone) | Known::FirstHand(zone) => Some(zone),
        }
    }
}

/// The zones of all members of a roster.
#[derive(Clone, Debug)]
pub struct ZoneMap {
    members: Vec<Known>,
    /// Members known in each zone.
    sizes: [usize; MAX_ZONES],
    next_batch: usize,
    /// Counts the changes.
    version: u64,
}

impl ZoneMap {
    /// Nothing is known yet of a roster of so many. `first_batch` is the part that is asked for first.
    pub fn new(roster: usize, first_batch: usize) -> ZoneMap {
        ZoneMap {
            members: vec![Known::default(); roster],
            sizes: [0; MAX_ZONES],
            next_batch: first_batch,
            version: 0,
        }
    }

    pub fn zone(&self, member: u16) -> Option<usize> {
        self.members.get(usize::from(member)).and_then(|known| known.zone()).map(usize::from)
    }

    /// Members known in a zone.
    pub fn size(&self, zone: usize) -> usize {
        self.sizes.get(zone).copied().unwrap_or(0)
    }

    /// Differs whenever the zone of some member has become known, or another.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn roster(&self) -> usize {
        self.members.len()
    }

    /// The members known in a zone, in the order of their numbers.
    pub fn members_of(&self, zone: usize) -> impl Iterator<Item = u16> {
        let numbered = self.members.iter().zip(0u16..);
        numbered
            .filter(move |(known, _)| known.zone().map(usize::from) == Some(zone))
            .map(|(_, number)| number)
    }

    /// A member says its own zone.
    pub fn learn_from_member(&mut self, member: u16, zone: u8) {
        self.set(usize::from(member), Known::FirstHand(zone));
    }

    /// Another router's word fills what isn't known yet; it never overrides what is.
    pub fn learn_chunk(&mut self, chunk: &MapChunk) {
        for (member, zone) in (usize::from(chunk.first)..).zip(chunk.zones) {
            if self.members.get(member).is_some_and(|known| *known == Known::Unknown) {
                self.set(member, Known::Told(zone));
            }
        }
    }

    fn set(&mut self, member: usize, known: Known) {
        let is_watched = known.zone().is_some_and(|zone| usize::from(zone) < MAX_ZONES);
        let Some(held) = self.members.get_mut(member).filter(|_| is_watched) else { return };
        if let Some(before) = held.zone() {
            self.sizes[usize::from(before)] -= 1;
        }
        self.version += u64::from(held.zone() != known.zone());
        *held = known;
        if let Some(zone) = held.zone() {
            self.sizes[usize::from(zone)] += 1;
        }
    }

    /// The next batch of the map in which something isn't known yet, in turn.
    pub fn next_unknown_batch(&mut self) -> Option<MapBatch> {
        let batches = self.members.len().div_ceil(BATCH_MEMBERS);
        for _ in 0..batches {
            let batch = self.next_batch % batches;
            self.next_batch = self.next_batch.wrapping_add(1);
            let from = batch * BATCH_MEMBERS;
            let until = (from + BATCH_MEMBERS).min(self.members.len());
            if self.members[from..until].contains(&Known::Unknown) {
                return u8::try_from(batch).ok().map(MapBatch);
            }
        }
        None
    }

    /// The chunks of a batch in which something is known.
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
