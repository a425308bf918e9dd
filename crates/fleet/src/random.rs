//! Deterministic random numbers: each is a hash of the run's seed and of the purpose it is drawn for, so that
//! a run gives the same result for any number of threads.

use magpiewell_splitmix::mix;

/// A random number for this purpose, uniformly distributed in [0, 1).
pub fn unit(seed: u64, purpose: &[u64]) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (number(seed, purpose) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// A random number for this purpose, uniformly distributed over all 64-bit values.
pub fn number(seed: u64, purpose: &[u64]) -> u64 {
    purpose.iter().fold(mix(seed), |state, part| mix(state ^ mix(*part)))
}

/// A random index below `count` for this purpose. `count` must not be 0.
pub fn index(seed: u64, purpose: &[u64], count: usize) -> usize {
    (number(seed, purpose) % count as u64) as usize
}
