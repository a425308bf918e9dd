//! Tells list responses that run behind from those of a list service that counts its versions anew. No I/O and
//! no clock.

/// How long responses with lower versions count as running behind. One that runs behind catches up within some
/// seconds; one that has lost its count goes on with lower versions for good.
const MAX_BEHIND_MS: f64 = 30_000.0;

/// The versions of the responses applied so far, whatever address they came from.
#[derive(Default)]
pub struct ListVersions {
    /// The highest version since the last recount.
    newest: Option<u64>,
    /// Since when all responses have had lower versions, in ms.
    behind_since: Option<f64>,
}

impl ListVersions {
    /// Records the version of a response that is applied at the time `now`, in ms. True if it is older than
    /// one before it. A response without a version never is.
    pub fn is_older(&mut self, version: Option<u64>, now: f64) -> bool {
        let Some(version) = version else { return false };
        if self.newest.is_none_or(|newest| version >= newest) {
            (self.newest, self.behind_since) = (Some(version), None);
            return false;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let is_behind = now - behind_since < MAX_BEHIND_MS;
        if !is_behind {
            (self.newest, self.behind_since) = (Some(version), None);
        }
        is_behind
    }
}

#[cfg(test)]
mod tests;
