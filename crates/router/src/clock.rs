//! The router's clock: Unix time read once, then advanced by the monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    /// Unix time at `origin`.
    origin_unix_ms: f64,
}

impl Clock {
    /// Starts a clock that runs `offset_ms` ahead of the machine's, or behind it if negative. The offset is 0
    /// except in the laboratory.
    pub fn start(offset_ms: f64) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_ms: unix.as_secs_f64() * 1000.0 + offset_ms }
    }

    /// The current time, in Unix ms.
    pub fn now(&self) -> f64 {
        self.origin_unix_ms + self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// How long it is until `time`, in Unix ms; zero if that has passed.
    pub fn until(&self, time: f64) -> Duration {
        Duration::from_secs_f64((time - self.now()).clamp(0.0, 1e9) / 1000.0)
    }
}
