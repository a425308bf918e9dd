//! Lifeguard's local health: while a router shows signs of a problem of its own, it waits longer for other
//! members before it suspects them.

use crate::Members;
use crate::limits::MAX_HEALTH_PENALTY;

impl Members {
    /// The factor by which this router's timeouts are extended while its own health is impaired: 1 to 6.
    pub fn health_multiplier(&self) -> f64 {
        f64::from(1 + self.health_penalty)
    }

    /// How long a ping waits for its ack, extended by the health multiplier.
    pub(crate) fn extended_ack_timeout_ms(&self) -> f64 {
        self.limits.ack_timeout_ms * self.health_multiplier()
    }

    /// Records a sign that this router itself is impaired.
    pub(crate) fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }
}
