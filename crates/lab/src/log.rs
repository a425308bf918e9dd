//! The log lines of a process under measurement, each with the time at which it was received.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Number of lines that are kept; later ones are dropped.
const MAX_LINES: usize = 20_000;

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    pub received_at: Instant,
    pub text: String,
}

#[derive(Default)]
struct State {
    lines: Vec<Line>,
    is_closed: bool,
}

/// A log that one thread fills while others wait for lines in it.
#[derive(Default)]
pub struct Log {
    state: Mutex<State>,
    changed: Condvar,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Appends a line, received now.
    pub fn push(&self, text: String) {
        let mut state = self.lock();
        if state.lines.len() < MAX_LINES {
            state.lines.push(Line { received_at: Instant::now(), text });
        }
        self.changed.notify_all();
    }

    /// Closes the log: no more lines will be appended.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_all();
    }

    /// Number of lines received so far.
    pub fn line_count(&self) -> usize {
        self.lock().lines.len()
    }

    /// The last line so far that contains `text`.
    pub fn last_line_with(&self, text: &str) -> Option<String> {
        self.lock().lines.iter().rfind(|line| line.text.contains(text)).map(|line| line.text.clone())
    }

    /// Waits for a line that contains `text`, from line number `from` on, and returns the first one; `None`
    /// if there is none within `timeout` or when the log is closed.
    pub fn wait_for_line(&self, text: &str, from: usize, timeout: Duration) -> Option<Line> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            let found = state.lines.iter().skip(from).find(|line| line.text.contains(text)).cloned();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if found.is_some() || state.is_closed || remaining.is_zero() {
                return found;
            }
            state = match self.changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}
