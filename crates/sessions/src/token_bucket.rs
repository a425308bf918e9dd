//! A token bucket: limits bursts and the sustained rate of requests.

const MS_PER_SECOND: f64 = 1_000.0;

#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens_per_second: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(tokens_per_second: f64, capacity: f64) -> TokenBucket {
        TokenBucket { tokens_per_second, capacity, tokens: capacity, refilled_at: 0.0 }
    }

    /// Takes `count` tokens; takes none and returns false where there are fewer. `now` is in ms.
    pub fn take(&mut self, now: f64, count: u32) -> bool {
        self.refill(now);
        let wanted = f64::from(count);
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    fn refill(&mut self, now: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed * self.tokens_per_second / MS_PER_SECOND).min(self.capacity);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
