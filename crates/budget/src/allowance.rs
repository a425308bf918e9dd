//! The share of the granted processor time that work without a valid op may take: empty, unsound and skipped
//! commands and connections that only bring such. Clients that send more of it wait for their next turn. No
//! I/O and no clock.

/// The share of the grant. Usual clients send few such commands, and a bad one is owed no more than an answer
/// within seconds.
const SHARE: f64 = 0.25;
/// Unused allowance that is kept, as the time in which it accrues.
const BURST_MS: f64 = 200.0;

/// An account of processor time, in ms, that accrues at a fixed share of the grant.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Processor time that accrues in a millisecond.
    rate: f64,
    /// Negative while more was used than has accrued.
    balance_ms: f64,
    updated_at: f64,
}

impl Allowance {
    /// `cores` is the grant, above 0; `now` the time in ms.
    pub fn new(cores: f64, now: f64) -> Allowance {
        let rate = SHARE * cores;
        Allowance { rate, balance_ms: rate * BURST_MS, updated_at: now }
    }

    /// Takes processor time that was used, in ms, 0 or more.
    pub fn charge(&mut self, now: f64, used_ms: f64) {
        self.accrue(now);
        self.balance_ms -= used_ms;
    }

    /// Whether more may be used at the time `now`, in ms.
    pub fn is_available(&mut self, now: f64) -> bool {
        self.accrue(now);
        self.balance_ms >= 0.0
    }

    /// How long it takes, in ms, until more may be used; 0 if it may be now.
    pub fn available_in_ms(&self) -> f64 {
        (-self.balance_ms / self.rate).max(0.0)
    }

    /// A time before the last one adds nothing.
    fn accrue(&mut self, now: f64) {
        let elapsed_ms = (now - self.updated_at).max(0.0);
        self.balance_ms = (self.balance_ms + elapsed_ms * self.rate).min(self.rate * BURST_MS);
        self.updated_at = self.updated_at.max(now);
    }
}

#[cfg(test)]
mod tests;
