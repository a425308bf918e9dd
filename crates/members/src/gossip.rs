//! Dissemination: which updates go with a datagram, how often, and to whom.

use crate::{MemberId, Members, State, Update};
use std::cmp::Reverse;

/// Draws for each member wanted from [`Members::random_members`] before fewer are returned.
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
        if let Some(own) = self.roster.get_mut(self.local as usize) {
            own.incarnation = incarnation;
            own.transmissions_left = transmit_limit;
        }
    }

    /// At most `count` random members among those that count, without this router and the two excluded.
    pub fn random_members(&mut self, count: usize, excluded: [MemberId; 2]) -> Vec<MemberId> {
        let mut candidates = self.other_counted();
        candidates.retain(|member| !excluded.contains(member));
        let mut chosen = Vec::new();
        // Few are wanted of many: whoever was drawn before is drawn again.
        for _ in 0..DRAWS_PER_MEMBER * count {
            if chosen.len() == count.min(candidates.len()) || candidates.is_empty() {
                break;
            }
            let candidate = candidates[self.random.index(candidates.len())];
            if !chosen.contains(&candidate) {
                chosen.push(candidate);
            }
        }
        chosen
    }

    /// At most `limit` updates to piggyback on a datagram to this member: first what it must know of itself
    /// to refute it, then what was transmitted least often.
    pub fn updates_for(&mut self, to: MemberId, limit: usize) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(member) = self.roster.get(to as usize).filter(|member| member.state != State::Alive) {
            updates.push(member.update(to));
        }
        let left = |member: &MemberId| self.roster[*member as usize].transmissions_left;
        let mut pending: Vec<MemberId> =
            self.ids().filter(|member| *member != to && left(member) > 0).collect();
        pending.sort_by_key(|member| Reverse(left(member)));
        for id in pending.into_iter().take(limit.saturating_sub(updates.len())) {
            let member = &mut self.roster[id as usize];
            member.transmissions_left -= 1;
            updates.push(member.update(id));
        }
        updates.truncate(limit);
        updates
    }
}
