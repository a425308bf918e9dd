//! When what is due, one time a number: for the clients' and the hosts' loops. No clock and no I/O.

use std::collections::{BTreeSet, HashMap};

/// Times are whole ms on the router's clock, rounded up, so that nothing fires early.
#[derive(Default)]
pub struct Timers {
    order: BTreeSet<(u64, u64)>,
    due: HashMap<u64, u64>,
}

impl Timers {
    /// Sets, moves or (with none) ends the time of a number.
    pub fn set(&mut self, no: u64, due: Option<f64>) {
        let due = due.map(|ms| ms.ceil().max(0.0) as u64);
        let old = match due {
            Some(due) => self.due.insert(no, due),
            None => self.due.remove(&no),
        };
        if old == due {
            return;
        }
        if let Some(old) = old {
            self.order.remove(&(old, no));
        }
        if let Some(due) = due {
            self.order.insert((due, no));
        }
    }

    /// The earliest number that is due by now; its time is taken from it.
    pub fn pop_due(&mut self, now: f64) -> Option<u64> {
        let (due, no) = *self.order.first()?;
        if due as f64 > now {
            return None;
        }
        self.set(no, None);
        Some(no)
    }

    /// When the next one is due.
    pub fn next_due(&self) -> Option<f64> {
        self.order.first().map(|(due, _)| *due as f64)
    }
}

#[cfg(test)]
mod tests;
