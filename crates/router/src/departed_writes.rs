//! Writes whose client has gone while they may have run. Their ids are refused for a while, as an op that comes
//! again under such an id could run twice. No I/O and no clock.

use std::collections::{HashSet, VecDeque};

/// Longer than any client timeout, within which a client may come again.
const RETENTION_MS: f64 = 10_000.0;
/// Beyond it the oldest are forgotten.
const MAX_IDS: usize = 16_384;

/// The hashes of the ids, for a limited time and number.
#[derive(Default)]
pub struct DepartedWrites {
    ids: HashSet<u64>,
    /// End of retention, and id.
    by_age: VecDeque<(f64, u64)>,
}

impl DepartedWrites {
    /// Adds an id at the time `now`, in ms.
    pub fn insert(&mut self, now: f64, id: u64) {
        self.forget(now);
        if self.ids.insert(id) {
            self.by_age.push_back((now + RETENTION_MS, id));
        }
        if self.by_age.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether a write under this id may have run.
    pub fn contains(&mut self, now: f64, id: u64) -> bool {
        self.forget(now);
        self.ids.contains(&id)
    }

    fn forget(&mut self, now: f64) {
        while self.by_age.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
