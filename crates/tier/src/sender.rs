//! State kept for each sender: its zone, and the rate of its datagrams.

use magpiewell_peers::tier::NO_ZONE;

/// The window over which a sender's datagrams are counted.
const WINDOW_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderState {
    /// The zone in the sender's latest datagram, or [`NO_ZONE`].
    pub zone: u8,
    received_in_window: u32,
    window_started_at: f64,
}

impl Default for SenderState {
    fn default() -> SenderState {
        SenderState { zone: NO_ZONE, received_in_window: 0, window_started_at: f64::NEG_INFINITY }
    }
}

impl SenderState {
    /// Counts a datagram; returns whether it is within the limit for this window.
    pub fn try_accept(&mut self, now: f64, limit: u32) -> bool {
        if now - self.window_started_at >= WINDOW_MS || now < self.window_started_at {
            self.window_started_at = now;
            self.received_in_window = 0;
        }
        self.received_in_window += 1;
        self.received_in_window <= limit
    }

    /// Restarts the count of the current window.
    pub fn reset_rate(&mut self) {
        self.received_in_window = 0;
    }

    pub fn known_zone(&self) -> Option<u8> {
        (self.zone != NO_ZONE).then_some(self.zone)
    }
}
