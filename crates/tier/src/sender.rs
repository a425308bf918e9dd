//! What is kept of each sender: its zone, and how much of it was accepted lately.

use magpiewell_peers::tier::NO_ZONE;

/// The time over which the datagrams of a sender are counted, in ms.
const WINDOW_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderState {
    /// The zone that the sender last gave, or [`NO_ZONE`].
    pub zone: u8,
    received: u32,
    window_started_at: f64,
}

impl Default for SenderState {
    fn default() -> SenderState {
        SenderState { zone: NO_ZONE, received: 0, window_started_at: f64::NEG_INFINITY }
    }
}

impl SenderState {
    /// Counts a datagram; false where there are more in this window than the limit.
    pub fn accepts(&mut self, now: f64, limit: u32) -> bool {
        if now - self.window_started_at >= WINDOW_MS || now < self.window_started_at {
            self.window_started_at = now;
            self.received = 0;
        }
        self.received += 1;
        self.received <= limit
    }

    /// Begins to count anew.
    pub fn reset_count(&mut self) {
        self.received = 0;
    }

    pub fn known_zone(&self) -> Option<u8> {
        (self.zone != NO_ZONE).then_some(self.zone)
    }
}
