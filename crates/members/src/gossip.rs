//! Dissemination: which updates are piggybacked on a datagram, how many times, and to which members.

use crate::{MemberId, Members, State, Update};

/// Random draws per member requested from [`Members::random_members`] before it builds a list of all
/// candidates.
const DRAWS_PER_MEMBER: usize = 4;

impl Members {
    /// How many times one update is transmitted.
    pub(crate) fn transmit_limit(&self) -> u32 {
        let doublings = (self.roster.len() as f64 + 1.0).log2();
        (self.limits.retransmit_multiplier * doublings).ceil() as u32
    }

    /// Queues this router's own incarnation and state for gossip.
    pub(crate) fn announce_self(&mut self) {
        let (incarnation, transmit_limit) = (self.incarnation, self.transmit_limit());
        self.roster.change(self.local, |own| own.incarnation = incarnation);
        self.roster.set_transmissions(self.local, transmit_limit);
    }

    /// At most `count` distinct random members that are expected to answer, none of them excluded.
    pub fn random_members(&mut self, count: usize, excluded: [MemberId; 2]) -> Vec<MemberId> {
        let mut chosen = Vec::new();
        for _ in 0..DRAWS_PER_MEMBER * count {
            if chosen.len() == count {
                return chosen;
            }
            let candidate = self.random.index(self.roster.len()) as MemberId;
            if self.is_candidate(candidate, excluded) && !chosen.contains(&candidate) {
                chosen.push(candidate);
            }
        }
        // So few candidates remain that random draws seldom hit one: chooses the rest from a list of them.
        let mut candidates = self.reachable();
        candidates.retain(|member| self.is_candidate(*member, excluded) && !chosen.contains(member));
        while chosen.len() < count && !candidates.is_empty() {
            let i = self.random.index(candidates.len());
            chosen.push(candidates.swap_remove(i));
        }
        chosen
    }

    fn is_candidate(&self, member: MemberId, excluded: [MemberId; 2]) -> bool {
        self.is_reachable(member) && !excluded.contains(&member)
    }

    /// At most `limit` updates to piggyback on a datagram to member `to`: first the update about `to`
    /// itself if it is not believed alive, which it may then refute, then those transmitted least often.
    pub fn updates_for(&mut self, to: MemberId, limit: usize) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(member) = self.roster.get(to).filter(|member| member.state != State::Alive) {
            updates.push(member.update(to));
        }
        updates.extend(self.roster.take_updates(to, limit.saturating_sub(updates.len())));
        updates.truncate(limit);
        updates
    }
}
