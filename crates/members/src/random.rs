//! A small pseudo-random generator (SplitMix64), good enough to choose whom to probe or to gossip to.

/// Distinguishes this crate's sequence from other uses of the same seed.
const SEED_MASK: u64 = 0x6d65_6d62_6572_7321;

#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { state: seed ^ SEED_MASK }
    }

    pub fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// An index below `length`, which must be at least one.
    pub fn index(&mut self, length: usize) -> usize {
        (self.next() % length as u64) as usize
    }

    /// Puts the items into a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            let j = self.index(i + 1);
            items.swap(i, j);
        }
    }
}

#[cfg(test)]
mod tests;
