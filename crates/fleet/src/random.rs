//! Deterministic random numbers: every draw is a function of the run's seed and of what is drawn for, so
//! that a run gives the same result however many threads compute it.

use magpiewell_splitmix::mix;

/// A number drawn for this purpose, evenly distributed in [0, 1).
pub fn unit(seed: u64, purpose: &[u64]) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (number(seed, purpose) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// A number drawn for this purpose.
pub fn number(seed: u64, purpose: &[u64]) -> u64 {
    purpose.iter().fold(mix(seed), |state, part| mix(state ^ mix(*part)))
}

/// An index below `count`, which must not be 0.
pub fn index(seed: u64, purpose: &[u64], count: usize) -> usize {
    (number(seed, purpose) % count as u64) as usize
}
