//! Asking others for primaries that this router lacks, and answering such requests.

use crate::{Entries, Output, Tier};
use magpiewell_facts::{Digest, Fact};
use magpiewell_peers::tier::Datagram;

/// Tokens for a request and its answer.
const TOKENS_PER_PULL: u32 = 2;

/// A member has said what it knows, and lacks the rest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PullRequest {
    pub member: u16,
    pub digest: Digest,
}

impl Tier {
    /// Notes what the sender of a datagram asks for.
    pub(crate) fn note_pull_request(&mut self, datagram: &Datagram) {
        let member = datagram.sender;
        self.pull_request = datagram.digest.map(|digest| PullRequest { member, digest });
    }

    /// The facts that this member has asked for, if this datagram is the answer.
    pub(crate) fn take_pulled_facts(&mut self, now: f64, to: u16, limit: usize) -> Option<Vec<Fact>> {
        let request = self.pull_request.take_if(|request| request.member == to)?;
        Some(self.facts.missing_from(now, &request.digest, limit))
    }

    /// Asks a random member for primaries, if they are changing and the token bucket allows it.
    pub(crate) fn pull_facts(&mut self, now: f64, output: &mut Output) {
        let is_due = self.limits.pull_facts && now >= self.next_pull_at && self.facts.should_pull(now);
        if !is_due || !self.urgent.has(f64::from(TOKENS_PER_PULL)) {
            return;
        }
        let Some(to) = self.gossip_targets(now, 1).pop() else { return };
        (0..TOKENS_PER_PULL).for_each(|_| self.urgent.take_one());
        self.next_pull_at = now + self.limits.pull_period_ms;
        let salt = self.members.random_number() as u8;
        let entries = Entries { digest: Some(self.facts.digest(now, salt)), ..Entries::default() };
        let message = self.members.ping();
        self.send_entries(now, to, message, entries, output);
    }
}
