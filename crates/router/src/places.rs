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
pub struct Places {
    /// By `asks`.
    order: [BTreeSet<(u64, u64)>; 2],
    seen: HashMap<u64, Standing>,
}

impl Places {
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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn set() -> Config {
        Config { cases: 256, rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..Config::default() }
    }

    proptest! {
        #![proptest_config(set())]

        /// Beside a scan over all clients, which is what stood here before and took most of a crowded router's time.
        #[test]
        fn the_same_goes_first_as_in_a_scan(
            steps in prop::collection::vec((0u64..12, 0u8..5, any::<bool>()), 1..120)
        ) {
            let (mut places, mut all, mut now) = (Places::default(), HashMap::new(), 0u64);
            for (no, step, asks) in steps {
                now += 1;
                match step {
                    0 => {
                        all.insert(no, Standing { asks: false, last: now });
                        places.enter(no, all[&no]);
                    }
                    1 => {
                        all.remove(&no);
                        places.leave(no);
                    }
                    2 => {
                        let Some(standing) = all.get_mut(&no) else { continue };
                        let other = standing.asks != asks;
                        *standing = Standing { asks, last: now };
                        if other {
                            places.enter(no, *standing);
                        }
                    }
                    _ => {
                        let until = now.saturating_sub(no);
                        let scan = all.iter().filter(|(_, s)| s.asks == asks && s.last <= until);
                        let scan = scan.map(|(no, s)| (s.last, *no)).min().map(|(_, no)| no);
                        let first = places.quietest(asks, until, |no| all[&no]);
                        prop_assert_eq!(first.map(|no| all[&no].last), scan.map(|no| all[&no].last));
                    }
                }
                prop_assert_eq!(places.seen.len(), all.len());
                prop_assert_eq!(places.order[0].len() + places.order[1].len(), all.len());
            }
        }
    }
}
