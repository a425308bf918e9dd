//! Values of which the latest is kept: of all origins together, or of the few latest origins.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// When something was observed and by whom: the later time wins, then the higher origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Stamp {
    pub observed_at: f64,
    pub origin: u16,
}

impl Stamp {
    fn order(&self, other: &Stamp) -> Ordering {
        self.observed_at.total_cmp(&other.observed_at).then(self.origin.cmp(&other.origin))
    }

    pub fn is_later_than(&self, other: &Stamp) -> bool {
        self.order(other).is_gt()
    }
}

/// A value and when it was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Stamped<T> {
    pub stamp: Stamp,
    pub value: T,
}

/// One value of each of the few origins that observed something last.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LatestByOrigin<T> {
    values: BTreeMap<u16, Stamped<T>>,
}

impl<T> Default for LatestByOrigin<T> {
    fn default() -> LatestByOrigin<T> {
        LatestByOrigin { values: BTreeMap::new() }
    }
}

impl<T> LatestByOrigin<T> {
    /// Keeps a value unless it is older than its origin's, or than those of `max_origins` other origins. True
    /// if it is kept.
    pub fn merge(&mut self, new: Stamped<T>, max_origins: usize) -> bool {
        let origin = new.stamp.origin;
        let held = self.values.get(&origin);
        if held.is_some_and(|held| held.stamp.observed_at >= new.stamp.observed_at) {
            return false;
        }
        self.values.insert(origin, new);
        if self.values.len() <= max_origins {
            return true;
        }
        let oldest = self.values.values().map(|held| held.stamp).min_by(Stamp::order);
        if let Some(oldest) = oldest {
            self.values.remove(&oldest.origin);
        }
        oldest.is_none_or(|oldest| oldest.origin != origin)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Stamped<T>> {
        self.values.values()
    }

    /// Values of other origins than this one, observed no longer ago than `lifetime`.
    pub fn recent_of_others(&self, now: f64, lifetime: f64, local: u16) -> impl Iterator<Item = &Stamped<T>> {
        self.iter().filter(move |held| held.stamp.origin != local && now - held.stamp.observed_at <= lifetime)
    }

    pub fn remove_older(&mut self, now: f64, lifetime: f64) {
        self.values.retain(|_, held| now - held.stamp.observed_at <= lifetime);
    }
}
