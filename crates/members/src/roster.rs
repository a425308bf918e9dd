//! The states of all members, the number of counted members, and the updates still to be gossiped.

use crate::update::Member;
use crate::{GroupStatus, MemberId, Update};

/// All members of the tier, indexed by [`MemberId`].
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    members: Vec<Member>,
    /// The number of counted members.
    counted: usize,
    /// Members whose update is queued for gossip, without duplicates.
    pending: Vec<MemberId>,
}

impl Roster {
    pub fn new(size: usize) -> Roster {
        Roster { members: vec![Member::default(); size], counted: size, pending: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn ids(&self) -> impl Iterator<Item = MemberId> + use<> {
        0..self.members.len() as MemberId
    }

    pub fn get(&self, member: MemberId) -> Option<&Member> {
        self.members.get(usize::from(member))
    }

    pub fn counted(&self) -> usize {
        self.counted
    }

    /// Changes one member and updates the number of counted members.
    pub fn change(&mut self, member: MemberId, change: impl FnOnce(&mut Member)) {
        let Some(entry) = self.members.get_mut(usize::from(member)) else { return };
        let counted_before = usize::from(entry.is_counted());
        change(entry);
        self.counted = self.counted + usize::from(entry.is_counted()) - counted_before;
    }

    /// Sets how many more times a member's update is gossiped.
    pub fn set_transmissions(&mut self, member: MemberId, transmissions: u32) {
        let Some(entry) = self.members.get_mut(usize::from(member)) else { return };
        let was_pending = entry.transmissions_left > 0;
        entry.transmissions_left = transmissions;
        match (was_pending, transmissions > 0) {
            (false, true) => self.pending.push(member),
            (true, false) => self.pending.retain(|pending| *pending != member),
            _ => {}
        }
    }

    /// Whether a queued update has not been transmitted yet.
    pub fn has_unsent(&self, transmit_limit: u32) -> bool {
        let is_unsent = |member: &MemberId| self.transmissions_left(*member) >= transmit_limit;
        self.pending.iter().any(is_unsent)
    }

    /// The number of updates queued for gossip.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn transmissions_left(&self, member: MemberId) -> u32 {
        self.members[usize::from(member)].transmissions_left
    }

    /// Takes at most `limit` updates for a datagram to member `to`, those transmitted least often first.
    pub fn take_updates(&mut self, to: MemberId, limit: usize) -> Vec<Update> {
        let mut chosen: Vec<MemberId> = self.pending.iter().copied().filter(|id| *id != to).collect();
        if limit == 0 {
            return Vec::new();
        }
        let key = |id: &MemberId| (std::cmp::Reverse(self.transmissions_left(*id)), *id);
        if chosen.len() > limit {
            chosen.select_nth_unstable_by_key(limit - 1, key);
            chosen.truncate(limit);
        }
        chosen.sort_by_key(key);
        for id in &chosen {
            let left = self.transmissions_left(*id) - 1;
            self.members[usize::from(*id)].transmissions_left = left;
        }
        self.pending.retain(|id| self.members[usize::from(*id)].transmissions_left > 0);
        chosen.into_iter().map(|id| self.members[usize::from(id)].update(id)).collect()
    }

    /// Sets the status of a member's group.
    pub fn set_group_status(&mut self, member: MemberId, status: GroupStatus) {
        self.change(member, |entry| entry.group = status);
    }
}
