//! The queue of facts to be sent, each a limited number of times.

use crate::{Fact, Limits};
use std::cmp::Reverse;

#[derive(Clone, Copy, Debug)]
struct Queued {
    fact: Fact,
    transmissions_left: u8,
}

/// Queued facts; new ones are appended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    facts: Vec<Queued>,
}

impl Queue {
    /// Appends a fact and removes those that it supersedes. If the queue is full, the first fact is dropped.
    pub fn push(&mut self, fact: Fact, limits: &Limits) {
        self.facts.retain(|queued| !queued.fact.is_superseded_by(&fact));
        self.facts.push(Queued { fact, transmissions_left: limits.transmit_limit });
        if self.facts.len() > limits.max_queued {
            self.facts.remove(0);
        }
    }

    pub fn has_unsent(&self, limits: &Limits) -> bool {
        self.facts.iter().any(|queued| queued.transmissions_left == limits.transmit_limit)
    }

    /// Takes at most `limit` facts for one transmission, those sent least often first. Removes facts that
    /// have expired or have been sent often enough.
    pub fn take(&mut self, now: f64, limit: usize, limits: &Limits) -> Vec<Fact> {
        self.facts.retain(|queued| queued.transmissions_left > 0 && !queued.fact.is_expired(now, limits));
        self.facts.sort_by_key(|queued| Reverse(queued.transmissions_left));
        let mut taken = Vec::new();
        for queued in self.facts.iter_mut().take(limit) {
            queued.transmissions_left -= 1;
            taken.push(queued.fact);
        }
        taken
    }

    pub fn len(&self) -> usize {
        self.facts.len()
    }
}
