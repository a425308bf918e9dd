//! What is kept of all members: their states, how many of them count, and which updates are still to be gossiped.

use crate::update::Member;
use crate::{GroupStatus, MemberId, Update};

/// All members of the tier, by their numbers.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    members: Vec<Member>,
    /// Members that count.
    counted: usize,
    /// Members whose update is still to be gossiped, each once.
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

    /// Changes one member, and keeps the number of members that count right.
    pub fn change(&mut self, member: MemberId, change: impl FnOnce(&mut Member)) {
        let Some(held) = self.members.get_mut(usize::from(member)) else { return };
        let counted_before = usize::from(held.is_counted());
        change(held);
        self.counted = self.counted + usize::from(held.is_counted()) - counted_before;
    }

    /// Has a member's update gossiped so many times from now on.
    pub fn gossip(&mut self, member: MemberId, transmissions: u32) {
        let Some(held) = self.members.get_mut(usize::from(member)) else { return };
        let was_pending = held.transmissions_left > 0;
        held.transmissions_left = transmissions;
        match (was_pending, transmissions > 0) {
            (false, true) => self.pending.push(member),
            (true, false) => self.pending.retain(|pending| *pending != member),
            _ => {}
        }
    }

    /// Whether an update waits that has been transmitted to nobody yet.
    pub fn has_unsent(&self, transmit_limit: u32) -> bool {
        let is_unsent = |member: &MemberId| self.left(*member) >= transmit_limit;
        self.pending.iter().any(is_unsent)
    }

    /// How many updates wait to be gossiped.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn left(&self, member: MemberId) -> u32 {
        self.members[usize::from(member)].transmissions_left
    }

    /// Takes at most `limit` updates for a datagram to this member: those transmitted least often.
    pub fn take_updates(&mut self, to: MemberId, limit: usize) -> Vec<Update> {
        let mut chosen: Vec<MemberId> = self.pending.iter().copied().filter(|id| *id != to).collect();
        if limit == 0 {
            return Vec::new();
        }
        let key = |id: &MemberId| (std::cmp::Reverse(self.left(*id)), *id);
        if chosen.len() > limit {
            chosen.select_nth_unstable_by_key(limit - 1, key);
            chosen.truncate(limit);
        }
        chosen.sort_by_key(key);
        for id in &chosen {
            let left = self.left(*id) - 1;
            self.members[usize::from(*id)].transmissions_left = left;
        }
        self.pending.retain(|id| self.members[usize::from(*id)].transmissions_left > 0);
        chosen.into_iter().map(|id| self.members[usize::from(id)].update(id)).collect()
    }

    /// Sets what the detector of groups says of a member.
    pub fn set_group_status(&mut self, member: MemberId, status: GroupStatus) {
        self.change(member, |held| held.group = status);
    }
}
