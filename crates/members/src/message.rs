//! Messages between members, and actions for the caller to perform.

use crate::update::{MemberId, State};

/// A message from one router to another, without the piggybacked updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Asks the receiver for a [`Message::Ack`] with the same number.
    Ping { number: u32 },
    /// Answers the ping or ping request with this number.
    Ack { number: u32 },
    /// Asks the receiver to ping `target`, and send an ack with this number if the target answers.
    PingRequest { number: u32, target: MemberId },
    /// Carries only updates.
    Gossip,
}

/// An action for the caller to perform after an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send this message with piggybacked updates.
    Send { to: MemberId, message: Message },
    /// Send this message to a suspected member, with only the update about that member, which it needs to
    /// refute the suspicion. Other gossip would be wasted if the member is dead.
    SendToSuspect { to: MemberId, message: Message },
    /// The believed state of a member has changed.
    StateChanged { member: MemberId, state: State },
}
