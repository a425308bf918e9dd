//! The last acked commit of each session that wrote through this router, in bounded room. The decision thread notes
//! a commit before its answer is written, and looks up for its own reads and for those of peers.

use std::collections::{BTreeSet, HashMap};

/// Positions are Unix ms, as hosts tell them. What is not kept is not forgotten: it raises the floor under all
/// sessions of its shard, so that letting go can only make a read ask for more.
#[derive(Clone, Debug)]
pub struct Marks {
    shards: Vec<Shard>,
    /// Marks kept a shard.
    most: usize,
}

#[derive(Clone, Debug)]
struct Shard {
    marks: HashMap<u64, u64>,
    /// The same by position, the oldest first.
    order: BTreeSet<(u64, u64)>,
    floor: f64,
}

/// Positions as whole bits, which order as the numbers do from zero upwards.
fn bits(pos: f64) -> u64 {
    pos.max(0.0).to_bits()
}

impl Marks {
    /// Room for about `most` marks, spread over `shards`; at least one each.
    pub fn new(most: usize, shards: usize) -> Marks {
        let shards = shards.max(1);
        let shard = Shard { marks: HashMap::new(), order: BTreeSet::new(), floor: f64::NEG_INFINITY };
        Marks { shards: vec![shard; shards], most: (most / shards).max(1) }
    }

    fn shard(&self, session: u64) -> usize {
        // Sessions are hashes already; the high bits are left to the tables' own hashing.
        (session % self.shards.len() as u64) as usize
    }

    /// A commit of the session was acked, or is about to be. One that is no time at all is passed over, as is one
    /// before the last.
    pub fn note(&mut self, session: u64, pos: f64) {
        if !pos.is_finite() || pos < 0.0 {
            return;
        }
        let (most, at) = (self.most, self.shard(session));
        let shard = &mut self.shards[at];
        if pos <= shard.floor {
            return;
        }
        match shard.marks.get(&session).copied() {
            Some(old) if old >= bits(pos) => return,
            Some(old) => drop(shard.order.remove(&(old, session))),
            None => {}
        }
        shard.marks.insert(session, bits(pos));
        shard.order.insert((bits(pos), session));
        while shard.marks.len() > most {
            let Some((old, let_go)) = shard.order.pop_first() else { return };
            shard.marks.remove(&let_go);
            shard.floor = shard.floor.max(f64::from_bits(old));
        }
    }

    /// From what position on the session sees its own acked writes that came through here; minus infinity where
    /// there are none.
    pub fn last(&self, session: u64) -> f64 {
        let shard = &self.shards[self.shard(session)];
        let mark = shard.marks.get(&session).map_or(f64::NEG_INFINITY, |bits| f64::from_bits(*bits));
        mark.max(shard.floor)
    }

    /// All sessions ask for at least this from now on: after a start all that the last life acked lies before it.
    /// What lies under it need not be kept.
    pub fn raise(&mut self, floor: f64) {
        if !floor.is_finite() {
            return;
        }
        for shard in &mut self.shards {
            shard.floor = shard.floor.max(floor);
            while let Some((old, session)) = shard.order.first().copied()
                && f64::from_bits(old) <= shard.floor
            {
                shard.order.pop_first();
                shard.marks.remove(&session);
            }
        }
    }

    /// Marks kept now.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.marks.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn set() -> Config {
        Config { cases: 256, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Config::default() }
    }

    /// A flood of new sessions pushes older marks out, and then the older ones come back.
    #[test]
    fn a_flood_takes_no_more_room_and_who_returns_after_it_asks_for_no_less() {
        let mut marks = Marks::new(1_000, 16);
        (0..500u64).for_each(|session| marks.note(session, 1_000.0 + session as f64));
        (500..200_000u64).for_each(|session| marks.note(session, 2_000.0 + session as f64));
        assert!(marks.len() <= 1_000);
        assert!((0..500u64).all(|session| marks.last(session) >= 1_000.0 + session as f64));
    }

    #[test]
    fn what_is_no_time_is_passed_over() {
        let mut marks = Marks::new(10, 1);
        [f64::NAN, f64::INFINITY, -1.0].into_iter().for_each(|pos| marks.note(1, pos));
        marks.raise(f64::NAN);
        marks.raise(f64::INFINITY);
        assert!(marks.is_empty() && marks.last(1) == f64::NEG_INFINITY);
    }

    proptest! {
        #![proptest_config(set())]

        /// Beside a plain map that keeps everything: never less than it, and the same while there is room.
        #[test]
        fn never_less_than_what_was_acked(
            steps in prop::collection::vec((0u64..40, 0.0f64..1e6, prop::bool::weighted(0.02)), 1..300),
            most in 1usize..64,
            shards in 1usize..5,
        ) {
            let (mut marks, mut plain, mut floor) = (Marks::new(most, shards), HashMap::new(), f64::NEG_INFINITY);
            for (session, pos, raises) in steps {
                if raises {
                    marks.raise(pos);
                    floor = floor.max(pos);
                } else {
                    marks.note(session, pos);
                    let last = plain.entry(session).or_insert(pos);
                    *last = pos.max(*last);
                }
                for (session, last) in &plain {
                    prop_assert!(marks.last(*session) >= last.max(floor));
                    if most >= 40 * shards {
                        prop_assert_eq!(marks.last(*session), last.max(floor));
                    }
                }
                prop_assert!(marks.len() <= most.max(shards));
                for shard in &marks.shards {
                    prop_assert_eq!(shard.marks.len(), shard.order.len());
                }
            }
        }
    }
}
