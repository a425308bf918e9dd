//! Dissemination: which updates go with a datagram, how often, and to whom.

use crate::{MemberId, Members, State, Update};

/// Draws for each member wanted from [`Members::random_members`] before a list of all candidates is made.
const DRAWS_PER_MEMBER: usize = 4;

impl Members {
    /// How many times one update is transmitted.
    pub(crate) fn transmit_limit(&self) -> u32 {
        let doublings = (self.roster.len() as f64 + 1.0).log2();
        (self.limits.retransmit_multiplier * doublings).ceil() as u32
    }

    /// Has this router's own incarnation and state gossiped anew.
    pub(crate) fn announce_self(&mut self) {
        let (incarnation, transmit_limit) = (self.incarnation, self.transmit_limit());
        self.roster.change(self.local, |own| own.incarnation = incarnation);
        self.roster.gossip(self.local, transmit_limit);
    }

    /// At most `count` random members among those that can be expected to answer, without the two excluded.
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
        // Few are left to choose from: the rest is drawn from a list of them.
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

    /// At most `limit` updates to piggyback on a datagram to this member: first what it must know of itself
    /// to refute it, then what was transmitted least often.
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
