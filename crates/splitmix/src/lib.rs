//! SplitMix64 (Steele, Lea and Flood, 2014): a small generator of pseudo-random numbers, and its parts as
//! integer hashes.
//!
//! Every function gives the same numbers on every machine and in every version, as routers of a tier compare
//! results computed from them. Not suitable for cryptography.

/// The odd constant by which the generator's state advances: 2^64 divided by the golden ratio.
pub const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer: a bijection that spreads the bits of a number over all 64. It maps 0 to 0.
pub fn finalize(value: u64) -> u64 {
    let mut mixed = value;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A hash of a number: the first output of a generator with this seed.
pub fn mix(value: u64) -> u64 {
    finalize(value.wrapping_add(GOLDEN_GAMMA))
}

/// The generator.
#[derive(Clone, Debug)]
pub struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// A generator whose sequence is determined by the seed.
    pub fn new(seed: u64) -> SplitMix {
        SplitMix { state: seed }
    }

    /// The next number of the sequence.
    pub fn next_u64(&mut self) -> u64 {
        let output = mix(self.state);
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        output
    }
}

#[cfg(test)]
mod tests;
