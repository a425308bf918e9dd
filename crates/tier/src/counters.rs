//! Counters of dropped and sent datagrams since the tier was created.

use magpiewell_peers::DecodeError;

/// Datagrams and facts dropped so far, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Datagrams that could not be decoded.
    pub unreadable: u64,
    /// Datagrams made with another key, or without one.
    pub wrong_key: u64,
    /// Datagrams from outside the roster or from this router itself, or with another member's number.
    pub stranger: u64,
    /// Datagrams beyond the rate that is accepted from one sender.
    pub too_many: u64,
    /// Facts that were dated in the future or had expired.
    pub rejected_facts: u64,
}

impl Dropped {
    pub(crate) fn count_error(&mut self, error: DecodeError) {
        match error {
            DecodeError::Authentication => self.wrong_key += 1,
            DecodeError::Length | DecodeError::Magic | DecodeError::Kind => self.unreadable += 1,
        }
    }
}

/// Datagrams and bytes sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their total length in bytes, without the headers of IP and UDP.
    pub bytes: u64,
}
