//! Last-writer-wins values: one over all origins, or one for each of the latest few origins.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The time and the origin of an observation. The later time wins; on a tie, the higher origin.
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

/// A value with its stamp.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Stamped<T> {
    pub stamp: Stamp,
    pub value: T,
}

/// The latest value of each of the few origins with the latest observations.
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
    /// Stores a value if it is later than its origin's stored value, and keeps only the values of the
    /// `max_origins` origins with the latest ones. Returns whether the new value is kept.
    pub fn merge(&mut self, new: Stamped<T>, max_origins: usize) -> bool {
        let origin = new.stamp.origin;
        let entry = self.values.get(&origin);
        if entry.is_some_and(|entry| entry.stamp.observed_at >= new.stamp.observed_at) {
            return false;
        }
        self.values.insert(origin, new);
        if self.values.len() <= max_origins {
            return true;
        }
        let oldest = self.values.values().map(|entry| entry.stamp).min_by(Stamp::order);
        if let Some(oldest) = oldest {
            self.values.remove(&oldest.origin);
        }
        oldest.is_none_or(|oldest| oldest.origin != origin)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Stamped<T>> {
        self.values.values()
    }

    /// Values of origins other than `local` that were observed within `lifetime_ms`.
    pub fn recent_of_others(
        &self,
        now: f64,
        lifetime_ms: f64,
        local: u16,
    ) -> impl Iterator<Item = &Stamped<T>> {
        self.iter()
            .filter(move |entry| entry.stamp.origin != local && now - entry.stamp.observed_at <= lifetime_ms)
    }

    pub fn remove_older(&mut self, now: f64, lifetime_ms: f64) {
        self.values.retain(|_, entry| now - entry.stamp.observed_at <= lifetime_ms);
    }
}
