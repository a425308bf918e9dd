//! A digest of a router's recently observed primaries, from which another router determines the facts that it
//! lacks.
//!
//! Push gossip is efficient while few routers know a fact and wasteful once most do: the last routers to
//! learn a fact mostly receive facts that they already know. They pull the missing ones instead. The digest
//! is a Bloom filter: a false positive withholds a fact that the router lacks. Each digest therefore has a
//! salt of its own, so that the next one has other false positives.

use crate::Fact;
use crate::{GroupKey, HostKey};
use magpiewell_splitmix::mix;

/// Size of the filter in bytes.
pub const DIGEST_BYTES: usize = 60;
const BITS: u64 = 8 * DIGEST_BYTES as u64;
/// Number of hashes, and so of bits, per fact.
const HASHES: u32 = 2;

/// A Bloom filter of the primaries that a router knows, as sent to another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Mixed into the hashes, so that different digests have different false positives.
    pub salt: u8,
    pub bits: [u8; DIGEST_BYTES],
}

impl Digest {
    /// A digest without facts.
    pub fn empty(salt: u8) -> Digest {
        Digest { salt, bits: [0; DIGEST_BYTES] }
    }

    pub(crate) fn insert(&mut self, group: GroupKey, host: HostKey, observed_at: f64) {
        for bit in bit_indexes(self.salt, group, host, observed_at) {
            self.bits[bit / 8] |= 1 << (bit % 8);
        }
    }

    /// Whether the digest contains this primary; may be a false positive.
    pub(crate) fn may_contain(&self, group: GroupKey, host: HostKey, observed_at: f64) -> bool {
        bit_indexes(self.salt, group, host, observed_at).all(|bit| self.bits[bit / 8] >> (bit % 8) & 1 == 1)
    }
}

/// The indexes of a primary's bits. Its timestamp is truncated to whole ms, as on the wire.
fn bit_indexes(salt: u8, group: GroupKey, host: HostKey, observed_at: f64) -> impl Iterator<Item = usize> {
    let subject = u64::from(group) << 32 | u64::from(host);
    let hash = mix(subject ^ mix(observed_at.max(0.0) as u64 ^ mix(u64::from(salt))));
    (0..HASHES).map(move |n| (mix(hash ^ u64::from(n)) % BITS) as usize)
}

/// At most `limit` of the `recent` primaries that are not in the digest.
pub(crate) fn missing(recent: &[Fact], digest: &Digest, limit: usize) -> Vec<Fact> {
    let is_missing = |fact: &&Fact| match fact.observation {
        crate::Observation::Primary { group, host } => !digest.may_contain(group, host, fact.observed_at),
        _ => false,
    };
    // The salt determines where to start, so that the members asked with different digests don't all send the
    // same facts first.
    let start = if recent.is_empty() { 0 } else { usize::from(digest.salt) * recent.len() / 256 };
    recent[start..].iter().chain(&recent[..start]).filter(is_missing).take(limit).copied().collect()
}

#[cfg(test)]
mod tests;
