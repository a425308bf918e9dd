//! The believed state of one member, and which update overrides it. The order in which updates arrive does
//! not matter: the same set of updates ends in the same state.

/// A member's index in the roster.
pub type MemberId = u16;

/// A router's incarnation. A later start or, of one process, a higher number of refutations is the later
/// incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// When the process started, in Unix ms.
    pub started_at: u64,
    /// How often the process has refuted a suspicion of itself since.
    pub refutations: u32,
}

impl Incarnation {
    /// The incarnation with which a process of `self` refutes an update about `accused`.
    pub(crate) fn refuting(self, accused: Incarnation) -> Incarnation {
        let started_at = self.started_at.max(accused.started_at);
        match accused.refutations.checked_add(1) {
            Some(refutations) => Incarnation { started_at, refutations },
            // No process refutes so often; a forged update may say so, and must not win for good.
            None => Incarnation { started_at: started_at + 1, refutations: 0 },
        }
    }
}

/// The state of a member, ordered by precedence: of one incarnation, the greater state overrides the lesser.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Nothing speaks against it.
    #[default]
    Alive,
    /// It did not answer, and may still refute that it is dead.
    Suspect,
    /// Nobody refuted the suspicion in time.
    Dead,
    /// The member itself announced that it leaves.
    Left,
}

/// A statement about one member, as gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Update {
    /// The member that the update is about.
    pub member: MemberId,
    /// The incarnation of it that the update is about.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: State,
}

/// What a detector of whole groups of members, such as zones, says of a member's group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupStatus {
    /// The group is heard: its members are judged one by one.
    #[default]
    Reachable,
    /// The group is silent and its members don't count. No single one of them is suspected meanwhile.
    NotCounted,
    /// The group is silent, but its members may be on the other side of a partition: they go on counting, and no
    /// single one of them is suspected meanwhile.
    Frozen,
}

/// What is kept of one member.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Member {
    pub incarnation: Incarnation,
    pub state: State,
    pub group: GroupStatus,
    /// How often this state is still to be gossiped.
    pub transmissions_left: u32,
}

impl Member {
    /// Whether the member is neither dead nor left, and its group isn't lost. A suspected one still counts.
    pub fn is_counted(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect) && self.group != GroupStatus::NotCounted
    }

    /// Whether the member can be expected to answer.
    pub fn is_reachable(&self) -> bool {
        self.is_counted() && self.group == GroupStatus::Reachable
    }

    /// The update that tells this member's state.
    pub fn update(&self, member: MemberId) -> Update {
        Update { member, incarnation: self.incarnation, state: self.state }
    }
}

impl Update {
    /// Whether this update overrides what is kept: a later incarnation does, and of one incarnation the
    /// greater state.
    pub(crate) fn overrides(&self, member: &Member) -> bool {
        (self.incarnation, self.state) > (member.incarnation, member.state)
    }
}
