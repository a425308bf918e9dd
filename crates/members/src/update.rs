//! The believed state of a member, and the precedence of updates. Updates are commutative and idempotent:
//! the same set of updates results in the same state in any order.

/// A member's index in the roster.
pub type MemberId = u16;

/// A router's incarnation, ordered by the start time of the process, then by its number of refutations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// When the process started, in Unix ms.
    pub started_at: u64,
    /// How many times the process has since refuted that it is suspected or dead.
    pub refutations: u32,
}

impl Incarnation {
    /// The incarnation with which the process of incarnation `self` refutes an update about incarnation
    /// `refuted`.
    pub(crate) fn refuting(self, refuted: Incarnation) -> Incarnation {
        let started_at = self.started_at.max(refuted.started_at);
        match refuted.refutations.checked_add(1) {
            Some(refutations) => Incarnation { started_at, refutations },
            // No process refutes this often, but a forged update may claim it: the later start time ensures
            // that it can still be refuted.
            None => Incarnation { started_at: started_at + 1, refutations: 0 },
        }
    }
}

/// The state of a member, in ascending precedence: within an incarnation, the greater state overrides the
/// lesser.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Neither suspected nor known to be dead or to have left.
    #[default]
    Alive,
    /// It did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

/// A gossiped statement about the state of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Update {
    pub member: MemberId,
    /// The incarnation of the member that the update is about.
    pub incarnation: Incarnation,
    pub state: State,
}

/// The status of a member's group, such as its zone, as determined by a failure detector for whole groups. A
/// group is silent if no router has received a datagram from any of its members for some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GroupStatus {
    /// The group is not silent: its members may be suspected individually.
    #[default]
    Reachable,
    /// The group is silent: its members are not counted, and none of them is suspected individually.
    NotCounted,
    /// The group is silent, but its members may be on the other side of a partition: they stay counted, and
    /// none of them is suspected individually.
    Frozen,
}

/// The roster's entry for one member.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Member {
    pub incarnation: Incarnation,
    pub state: State,
    pub group: GroupStatus,
    /// How many more times this state is to be gossiped.
    pub transmissions_left: u32,
}

impl Member {
    /// Whether the member is neither dead nor has left, and its group is counted. A suspected member is
    /// counted.
    pub fn is_counted(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect) && self.group != GroupStatus::NotCounted
    }

    /// Whether the member is expected to answer.
    pub fn is_reachable(&self) -> bool {
        self.is_counted() && self.group == GroupStatus::Reachable
    }

    /// The update that announces this member's state.
    pub fn update(&self, member: MemberId) -> Update {
        Update { member, incarnation: self.incarnation, state: self.state }
    }
}

impl Update {
    /// Whether this update overrides the stored state: a later incarnation does, and within an incarnation a
    /// greater state.
    pub(crate) fn overrides(&self, member: &Member) -> bool {
        (self.incarnation, self.state) > (member.incarnation, member.state)
    }
}
