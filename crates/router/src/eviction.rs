//! Who gives up a place first when others need it: clients in the order of how long they have been quiet. The
//! clients' loop asks; nothing here scans all clients, does I/O or reads a clock.

use std::collections::{BTreeSet, HashMap};

/// What a client is like now: whether it has asked for something that was no fault, and when it last did anything,
/// in whole ms; the present where it has a command open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    pub asks: bool,
    pub last: u64,
}

/// Clients keep the place in the order that they had when last looked at, and move when their turn comes: being
/// busy costs nothing here. One that begins or ceases to ask must be entered anew.
#[derive(Default)]
pub struct EvictionOrder {
    /// By `asks`.
    order: [BTreeSet<(u64, u64)>; 2],
    seen: HashMap<u64, Standing>,
}

impl EvictionOrder {
    pub fn enter(&mut self, no: u64, standing: Standing) {
        self.leave(no);
        self.seen.insert(no, standing);
        self.order[usize::from(standing.asks)].insert((standing.last, no));
    }

    pub fn leave(&mut self, no: u64) {
        if let Some(old) = self.seen.remove(&no) {
            self.order[usize::from(old.asks)].remove(&(old.last, no));
        }
    }

    /// The client that has been quiet longest among those that ask, or those that don't, if last heard by `until`.
    /// `now_like` tells what a client is like now.
    pub fn quietest(
        &mut self,
        asks: bool,
        until: u64,
        mut now_like: impl FnMut(u64) -> Standing,
    ) -> Option<u64> {
        loop {
            let (last, no) = *self.order[usize::from(asks)].first()?;
            if last > until {
                return None;
            }
            let now = now_like(no);
            if now == (Standing { asks, last }) {
                return Some(no);
            }
            self.enter(no, now);
        }
    }
}

#[cfg(test)]
mod tests;
