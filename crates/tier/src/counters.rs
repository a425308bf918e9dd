//! Counters since the start.

use magpiewell_peers::DecodeError;

/// Datagrams and facts dropped so far, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Could not be decoded.
    pub unreadable: u64,
    /// Made with another key, or without one.
    pub wrong_key: u64,
    /// From outside the roster, or in another member's name.
    pub stranger: u64,
    /// Beyond what one sender may send a second.
    pub too_many: u64,
    /// Facts of the future or the far past.
    pub rejected_facts: u64,
}

impl Dropped {
    pub(crate) fn count_error(&mut self, error: DecodeError) {
        match error {
            DecodeError::Key => self.wrong_key += 1,
            DecodeError::Length | DecodeError::Mark | DecodeError::Kind => self.unreadable += 1,
        }
    }
}

/// What was sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their lengths together, in bytes.
    pub bytes: u64,
}
