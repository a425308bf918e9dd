//! The position of the last acknowledged commit of each session that wrote through this router, in bounded
//! memory. The decision thread records a commit before its answer is written, and looks up positions for
//! its own reads and for those of peers.

use std::collections::{BTreeSet, HashMap};

/// Positions by session, in Unix ms, as hosts report them. Beyond the capacity the oldest are evicted, and an
/// evicted position becomes the floor under all sessions of its shard: eviction can only make a read require
/// more.
#[derive(Clone, Debug)]
pub struct SessionPositions {
    shards: Vec<Shard>,
    shard_capacity: usize,
}

#[derive(Clone, Debug)]
struct Shard {
    /// The bits of each session's position, by session id.
    by_session: HashMap<u64, u64>,
    /// The same entries as (position, session), the oldest first.
    by_position: BTreeSet<(u64, u64)>,
    floor: f64,
}

/// A position's bits, which sort like the numbers themselves from zero upwards.
fn position_bits(position: f64) -> u64 {
    position.max(0.0).to_bits()
}

impl Shard {
    fn new() -> Shard {
        Shard { by_session: HashMap::new(), by_position: BTreeSet::new(), floor: f64::NEG_INFINITY }
    }

    fn record(&mut self, session: u64, position: f64) {
        let bits = position_bits(position);
        if let Some(previous) = self.by_session.get(&session).copied() {
            if previous >= bits {
                return;
            }
            self.by_position.remove(&(previous, session));
        }
        self.by_session.insert(session, bits);
        self.by_position.insert((bits, session));
    }

    /// Evicts the oldest positions beyond the capacity.
    fn evict(&mut self, capacity: usize) {
        while self.by_session.len() > capacity {
            let Some((oldest, session)) = self.by_position.pop_first() else { return };
            self.by_session.remove(&session);
            self.floor = self.floor.max(f64::from_bits(oldest));
        }
    }

    /// Raises the floor and removes the positions that it covers.
    fn raise_floor(&mut self, floor: f64) {
        self.floor = self.floor.max(floor);
        while let Some((oldest, session)) = self.by_position.first().copied()
            && f64::from_bits(oldest) <= self.floor
        {
            self.by_position.pop_first();
            self.by_session.remove(&session);
        }
    }

    fn required_position(&self, session: u64) -> f64 {
        let bits = self.by_session.get(&session);
        bits.map_or(f64::NEG_INFINITY, |bits| f64::from_bits(*bits)).max(self.floor)
    }
}

impl SessionPositions {
    /// A table of about `capacity` positions, divided among `shards`; at least one each.
    pub fn new(capacity: usize, shards: usize) -> SessionPositions {
        let shards = shards.max(1);
        let shard_capacity = (capacity / shards).max(1);
        SessionPositions { shards: vec![Shard::new(); shards], shard_capacity }
    }

    /// Session ids are hashes already, so a remainder spreads them evenly; the maps' own hashing uses their
    /// high bits.
    fn shard_index(&self, session: u64) -> usize {
        (session % self.shards.len() as u64) as usize
    }

    /// Records a commit of the session that was acknowledged, or is about to be. A position that is not a
    /// valid time is ignored, and so is one before the session's last position.
    pub fn record(&mut self, session: u64, position: f64) {
        if !position.is_finite() || position < 0.0 {
            return;
        }
        let index = self.shard_index(session);
        let shard = &mut self.shards[index];
        if position > shard.floor {
            shard.record(session, position);
            shard.evict(self.shard_capacity);
        }
    }

    /// The position from which on the session sees its acknowledged writes that came through this router;
    /// minus infinity where there are none.
    pub fn required_position(&self, session: u64) -> f64 {
        self.shards[self.shard_index(session)].required_position(session)
    }

    /// Makes all sessions require at least this position from now on: after a restart, all commits that the
    /// previous incarnation acknowledged lie before it. Positions below it are removed.
    pub fn raise_floor(&mut self, floor: f64) {
        if floor.is_finite() {
            self.shards.iter_mut().for_each(|shard| shard.raise_floor(floor));
        }
    }

    /// How many positions are stored.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.by_session.len()).sum()
    }

    /// Whether no position is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
