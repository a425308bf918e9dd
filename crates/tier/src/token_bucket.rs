//! A token bucket: limits bursts and the sustained rate of datagrams.

/// Maximum time that one refill accounts for.
const MAX_REFILL_MS: f64 = 60_000.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    capacity: f64,
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(capacity: f64, tokens_per_second: f64) -> TokenBucket {
        TokenBucket { capacity, tokens_per_second, tokens: capacity, refilled_at: f64::NEG_INFINITY }
    }

    /// Adds the tokens for the time since the last call.
    pub fn refill(&mut self, now: f64) {
        let seconds = (now - self.refilled_at).clamp(0.0, MAX_REFILL_MS) / 1_000.0;
        self.tokens = (self.tokens + seconds * self.tokens_per_second).min(self.capacity);
        self.refilled_at = now;
    }

    /// Whether the bucket holds at least this many tokens.
    pub fn has_tokens(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    pub fn take_one(&mut self) {
        self.tokens -= 1.0;
    }
}
