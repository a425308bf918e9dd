//! A set of peers of one tier, stored in one 64-bit word.

/// The largest number of peers in a set.
pub(crate) const MAX_PEERS: usize = u64::BITS as usize;

/// Peers by index, one bit each. Indexes from [`MAX_PEERS`] on are never members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerSet(u64);

impl PeerSet {
    fn bit(peer: usize) -> u64 {
        if peer < MAX_PEERS { 1 << peer } else { 0 }
    }

    pub fn contains(self, peer: usize) -> bool {
        self.0 & PeerSet::bit(peer) != 0
    }

    pub fn remove(&mut self, peer: usize) {
        self.0 &= !PeerSet::bit(peer);
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    pub fn intersects(self, other: PeerSet) -> bool {
        self.0 & other.0 != 0
    }

    /// The members in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..MAX_PEERS).filter(move |peer| self.contains(*peer))
    }
}

impl FromIterator<usize> for PeerSet {
    fn from_iter<I: IntoIterator<Item = usize>>(peers: I) -> PeerSet {
        PeerSet(peers.into_iter().fold(0, |bits, peer| bits | PeerSet::bit(peer)))
    }
}

#[cfg(test)]
mod tests;
