//! Messages between members and the actions that the protocol asks its caller to perform.

use crate::update::{MemberId, State};

/// What one router sends to another, beside the updates that are piggybacked on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Asks for an [`Message::Ack`] with the same number.
    Ping { number: u32 },
    /// Answers the ping, or the ping request, with this number.
    Ack { number: u32 },
    /// Asks the receiver to ping `target` and to send an ack with this number if the target answers.
    PingRequest { number: u32, target: MemberId },
    /// Carries only updates.
    Gossip,
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send this message to a member.
    Send { to: MemberId, message: Message },
    /// Send this message to a member that may not be there, with no other updates than what it must know of
    /// itself.
    SendToSuspect { to: MemberId, message: Message },
    /// Note that the believed state of a member has changed.
    StateChanged { member: MemberId, state: State },
}
