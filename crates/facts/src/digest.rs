//! A digest of the primaries that a router has learned lately, by which another one sends it just what it
//! lacks.
//!
//! Pushed gossip is cheap while few know a fact and wasteful when most do: the last routers mostly hear
//! what they know. They pull instead. The digest is a Bloom filter: it may claim a fact that the router
//! doesn't have, and so withhold it, but each digest has a salt of its own, so that another claims another
//! few.

use crate::Fact;
use crate::{GroupKey, HostKey};
use magpiewell_splitmix::mix;

/// Bytes of the filter.
pub const DIGEST_BYTES: usize = 60;
const BITS: u64 = 8 * DIGEST_BYTES as u64;
/// Bits set for each fact.
const HASHES: u32 = 2;

/// What a router has, as told to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Changes which facts the filter can't tell apart.
    pub salt: u8,
    pub bits: [u8; DIGEST_BYTES],
}

impl Digest {
    /// A digest of nothing.
    pub fn empty(salt: u8) -> Digest {
        Digest { salt, bits: [0; DIGEST_BYTES] }
    }

    pub(crate) fn insert(&mut self, group: GroupKey, host: HostKey, observed_at: f64) {
        for bit in positions(self.salt, group, host, observed_at) {
            self.bits[bit / 8] |= 1 << (bit % 8);
        }
    }

    /// Whether the router that made the digest has this primary, or something that looks like it.
    pub(crate) fn may_contain(&self, group: GroupKey, host: HostKey, observed_at: f64) -> bool {
        positions(self.salt, group, host, observed_at).all(|bit| self.bits[bit / 8] >> (bit % 8) & 1 == 1)
    }
}

/// The bits of a fact. Times count in whole ms, as they are sent.
fn positions(salt: u8, group: GroupKey, host: HostKey, observed_at: f64) -> impl Iterator<Item = usize> {
    let subject = u64::from(group) << 32 | u64::from(host);
    let hash = mix(subject ^ mix(observed_at.max(0.0) as u64 ^ mix(u64::from(salt))));
    (0..HASHES).map(move |n| (mix(hash ^ u64::from(n)) % BITS) as usize)
}

/// Facts of which a digest speaks, and those that may be missing by it.
pub(crate) fn missing(recent: &[Fact], digest: &Digest, limit: usize) -> Vec<Fact> {
    let is_missing = |fact: &&Fact| match fact.observation {
        crate::Observation::Primary { group, host } => !digest.may_contain(group, host, fact.observed_at),
        _ => false,
    };
    // Not always the same ones first: others are asked as well.
    let start = if recent.is_empty() { 0 } else { usize::from(digest.salt) * recent.len() / 256 };
    recent[start..].iter().chain(&recent[..start]).filter(is_missing).take(limit).copied().collect()
}

#[cfg(test)]
mod tests;
