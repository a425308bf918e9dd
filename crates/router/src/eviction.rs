//! Order in which clients are evicted when others need their place: by how long they have been idle. Used by
//! the client loop; never scans all clients, does no I/O and reads no clock.

use std::collections::{BTreeSet, HashMap};

/// A client's activity: whether its last command was a valid op, and when it was last active, in whole Unix
/// ms (the current time while it has an open command).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientActivity {
    pub has_valid_op: bool,
    pub last_active_at: u64,
}

/// Clients in the order of the activity that was last recorded for them. An entry is brought up to date only
/// when it comes first, so that a busy client costs nothing here. A client that starts or stops sending valid
/// ops must be inserted again.
#[derive(Default)]
pub struct EvictionOrder {
    /// Pairs of last activity and client id; the index is `has_valid_op`.
    order: [BTreeSet<(u64, u64)>; 2],
    activities: HashMap<u64, ClientActivity>,
}

impl EvictionOrder {
    pub fn insert(&mut self, client: u64, activity: ClientActivity) {
        self.remove(client);
        self.activities.insert(client, activity);
        self.order[usize::from(activity.has_valid_op)].insert((activity.last_active_at, client));
    }

    pub fn remove(&mut self, client: u64) {
        if let Some(old) = self.activities.remove(&client) {
            self.order[usize::from(old.has_valid_op)].remove(&(old.last_active_at, client));
        }
    }

    /// The client that has been idle longest, among those that send valid ops or those that don't, if it was
    /// last active at `until` or before. `current_activity` returns a client's activity now.
    pub fn longest_idle(
        &mut self,
        has_valid_op: bool,
        until: u64,
        mut current_activity: impl FnMut(u64) -> ClientActivity,
    ) -> Option<u64> {
        loop {
            let (last_active_at, client) = *self.order[usize::from(has_valid_op)].first()?;
            if last_active_at > until {
                return None;
            }
            let current = current_activity(client);
            if current == (ClientActivity { has_valid_op, last_active_at }) {
                return Some(client);
            }
            self.insert(client, current);
        }
    }
}

#[cfg(test)]
mod tests;
