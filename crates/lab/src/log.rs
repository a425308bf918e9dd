//! The log of a process under measurement: its lines as they come, each with the time at which it came.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Lines kept; a process that logs more loses the later ones here.
const MOST_LINES: usize = 20_000;

#[derive(Clone, Debug)]
pub struct Line {
    pub received_at: Instant,
    pub text: String,
}

#[derive(Default)]
struct Lines {
    lines: Vec<Line>,
    ended: bool,
}

#[derive(Default)]
pub struct Log {
    present: Mutex<Lines>,
    came: Condvar,
}

impl Log {
    fn present(&self) -> MutexGuard<'_, Lines> {
        self.present.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn push(&self, text: String) {
        let mut present = self.present();
        if present.lines.len() < MOST_LINES {
            present.lines.push(Line { received_at: Instant::now(), text });
        }
        self.came.notify_all();
    }

    /// No line will come any more.
    pub fn end(&self) {
        self.present().ended = true;
        self.came.notify_all();
    }

    /// How many lines have come.
    pub fn line_count(&self) -> usize {
        self.present().lines.len()
    }

    /// The first line from number `from` on that contains this, waited for; none where none came in time, or
    /// the log has ended.
    pub fn wait_for_line(&self, part: &str, from: usize, patience: Duration) -> Option<Line> {
        let until = Instant::now() + patience;
        let mut present = self.present();
        loop {
            let found = present.lines.iter().skip(from).find(|line| line.text.contains(part)).cloned();
            let left = until.saturating_duration_since(Instant::now());
            if found.is_some() || present.ended || left.is_zero() {
                return found;
            }
            present = match self.came.wait_timeout(present, left) {
                Ok((present, _)) => present,
                Err(broken) => broken.into_inner().0,
            };
        }
    }
}
