//! Pseudo-random numbers to choose members for probes and gossip.

use magpiewell_splitmix::SplitMix;

/// Makes this crate's sequence differ from those of other uses of the same seed.
const SEED_MASK: u64 = 0x6d65_6d62_6572_7321;

/// A seeded pseudo-random number generator.
#[derive(Clone, Debug)]
pub(crate) struct Random {
    generator: SplitMix,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { generator: SplitMix::new(seed ^ SEED_MASK) }
    }

    pub fn next(&mut self) -> u64 {
        self.generator.next_u64()
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
