//! Timers of the client loop and the host loop: at most one deadline per id. No clock and no I/O.

use std::collections::{BTreeSet, HashMap};

/// Deadlines are whole ms on the router's clock, rounded up, so that no timer fires early.
#[derive(Default)]
pub struct Timers {
    /// Deadline and id.
    order: BTreeSet<(u64, u64)>,
    /// Deadlines by id.
    due: HashMap<u64, u64>,
}

impl Timers {
    /// Sets, moves or (with `None`) cancels the timer of an id.
    pub fn set(&mut self, id: u64, due: Option<f64>) {
        let due = due.map(|ms| ms.ceil().max(0.0) as u64);
        let old = match due {
            Some(due) => self.due.insert(id, due),
            None => self.due.remove(&id),
        };
        if old == due {
            return;
        }
        if let Some(old) = old {
            self.order.remove(&(old, id));
        }
        if let Some(due) = due {
            self.order.insert((due, id));
        }
    }

    /// Removes the earliest timer that is due by `now` and returns its id.
    pub fn pop_due(&mut self, now: f64) -> Option<u64> {
        let (due, id) = *self.order.first()?;
        if due as f64 > now {
            return None;
        }
        self.set(id, None);
        Some(id)
    }

    /// The earliest deadline.
    pub fn next_due(&self) -> Option<f64> {
        self.order.first().map(|(due, _)| *due as f64)
    }
}

#[cfg(test)]
mod tests;
