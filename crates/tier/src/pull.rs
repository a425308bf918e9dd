//! Anti-entropy for primaries: requests those that this router lacks, and responds to such requests.

use crate::{Entries, Output, Tier};
use magpiewell_facts::{Digest, Fact};
use magpiewell_peers::tier::Datagram;

/// Tokens for a request and its response.
const TOKENS_PER_PULL: u32 = 2;

/// A member's request for the primaries that are not in its digest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PullRequest {
    pub member: u16,
    pub digest: Digest,
}

impl Tier {
    /// Records the request in a datagram, if there is one.
    pub(crate) fn record_pull_request(&mut self, datagram: &Datagram) {
        let member = datagram.sender;
        self.pull_request = datagram.digest.map(|digest| PullRequest { member, digest });
    }

    /// Takes the pending request of member `to` and returns the facts that it lacks; `None` if there is none.
    pub(crate) fn take_pulled_facts(&mut self, now: f64, to: u16, limit: usize) -> Option<Vec<Fact>> {
        let request = self.pull_request.take_if(|request| request.member == to)?;
        Some(self.facts.missing_from(now, &request.digest, limit))
    }

    /// Requests primaries from a random member, if primaries are changing and the token bucket allows it.
    pub(crate) fn pull_facts(&mut self, now: f64, output: &mut Output) {
        let is_due = self.limits.pull_facts && now >= self.next_pull_at && self.facts.should_pull(now);
        if !is_due || !self.urgent_tokens.has_tokens(f64::from(TOKENS_PER_PULL)) {
            return;
        }
        let Some(to) = self.gossip_targets(now, 1).pop() else { return };
        (0..TOKENS_PER_PULL).for_each(|_| self.urgent_tokens.take_one());
        self.next_pull_at = now + self.limits.pull_period_ms;
        let salt = self.members.random_number() as u8;
        let entries = Entries { digest: Some(self.facts.digest(now, salt)), ..Entries::default() };
        let message = self.members.ping();
        self.send_entries(now, to, message, entries, output);
    }
}
