//! Counters and longest durations of the whole router, which all threads record and the decision thread logs.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

/// Totals since the start, and longest durations since they were last logged.
#[derive(Default)]
pub struct Metrics {
    /// Ops refused as busy.
    pub refused_ops: AtomicUsize,
    /// Commands refused because too much memory was in use.
    pub memory_refusals: AtomicUsize,
    /// Answers of hosts that might have been second copies of those before, and how many were.
    pub doubtful_answers: AtomicUsize,
    pub second_copies: AtomicUsize,
    /// Commands that the client loop answered itself, without the decision thread.
    pub local_answers: AtomicUsize,
    /// Turns of clients that had to wait for processor time, and connections that were closed unread for want
    /// of room.
    pub deferred_turns: AtomicUsize,
    pub closed_unread: AtomicUsize,
    /// Answers given after the client timeout.
    pub late_answers: AtomicUsize,
    /// From reading an op to its arrival in the decision thread.
    pub op_queueing: LongestDuration,
    /// One iteration of the client loop, without waiting.
    pub client_loop_iteration: LongestDuration,
}

/// The longest of several durations.
#[derive(Default)]
pub struct LongestDuration(AtomicU64);

impl LongestDuration {
    /// Records a duration in ms; one below 0 counts as 0.
    pub fn record(&self, ms: f64) {
        self.0.fetch_max((ms * 1_000.0) as u64, Relaxed);
    }

    /// The longest duration since the last call, in ms, to a thousandth.
    pub fn take_ms(&self) -> f64 {
        self.0.swap(0, Relaxed) as f64 / 1_000.0
    }
}

#[cfg(test)]
mod tests;
