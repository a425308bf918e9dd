//! Clients whose next turn waits, as commands that are no valid ops have used up their share of the processor
//! time. Does no I/O and reads no clock.

use std::collections::VecDeque;

/// Which clients wait: those whose last command was faulty wait longer, as a valid op behind it is unlikely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferralClass {
    Regular,
    Faulty,
}

const CLASSES: [DeferralClass; 2] = [DeferralClass::Regular, DeferralClass::Faulty];

impl DeferralClass {
    /// The longest wait, in ms. Behind it an op is still answered before it counts as lost, even if its
    /// client allowed it 100 ms only.
    fn max_wait_ms(self) -> f64 {
        match self {
            DeferralClass::Regular => 200.0,
            DeferralClass::Faulty => 600.0,
        }
    }
}

/// Waiting clients of each class, in the order in which they began to wait.
#[derive(Default)]
pub struct Deferrals {
    /// Client and the end of its longest wait.
    waiting: [VecDeque<(u64, f64)>; CLASSES.len()],
}

impl Deferrals {
    /// Lets a client wait from `now` on, in ms.
    pub fn push(&mut self, client: u64, class: DeferralClass, now: f64) {
        self.waiting[class as usize].push_back((client, now + class.max_wait_ms()));
    }

    /// Removes the next client that may have its turn: any while there is an allowance, otherwise one that has
    /// waited for its longest time.
    pub fn pop(&mut self, now: f64, has_allowance: bool) -> Option<u64> {
        let is_next =
            |queue: &VecDeque<(u64, f64)>| queue.front().is_some_and(|(_, due)| has_allowance || *due <= now);
        let queue = self.waiting.iter_mut().find(|queue| is_next(queue))?;
        queue.pop_front().map(|(client, _)| client)
    }

    /// When the first client has waited for its longest time, in ms.
    pub fn next_due(&self) -> Option<f64> {
        self.waiting.iter().filter_map(|queue| queue.front()).map(|(_, due)| *due).reduce(f64::min)
    }
}

#[cfg(test)]
mod tests;
