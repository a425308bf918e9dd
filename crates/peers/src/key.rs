//! The shared key of a tier, and the hash that authenticates a datagram.

/// Length of the hash at the end of a datagram, in bytes.
pub(crate) const HASH_LENGTH: usize = 16;

/// Context string of the key derivation: separates this key from other uses of the same secret.
const KEY_CONTEXT: &str = "magpiewell peers 1";

/// The key shared by the routers of a tier.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the operator's secret, which may have any length.
    pub fn new(secret: &[u8]) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, secret))
    }

    pub(crate) fn hash(&self, bytes: &[u8]) -> [u8; HASH_LENGTH] {
        let full_hash = blake3::keyed_hash(&self.0, bytes);
        let mut hash = [0; HASH_LENGTH];
        hash.copy_from_slice(&full_hash.as_bytes()[..HASH_LENGTH]);
        hash
    }

    /// Whether this is the hash of the bytes. Compares in constant time, so that timing does not reveal how
    /// much of a forged hash is right.
    pub(crate) fn verifies(&self, bytes: &[u8], hash: &[u8]) -> bool {
        let expected = self.hash(bytes);
        expected.iter().zip(hash).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
    }
}
