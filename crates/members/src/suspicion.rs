//! Suspicions, their expiry, refutation, and the application of updates.
//!
//! Only the router whose own probe failed declares a member dead. Until its suspicion expires it keeps
//! pinging the member, so that neither a lost datagram nor a refutation crowded out by other gossip removes
//! a live member. A suspicion raised by another router is stored, so that the suspected member is notified
//! of it, but starts no timeout here.

use crate::limits::{MAX_HEALTH_PENALTY, MAX_OWN_SUSPICIONS, UNHEALTHY_PERIOD_FACTOR};
use crate::{Action, GroupStatus, MemberId, Members, State, Update};

/// A suspicion that this router raised after a failed probe of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnSuspicion {
    pub member: MemberId,
    /// When it was raised; moved forward by the time for which this router was paused since.
    pub raised_at: f64,
    /// When the next ping to the member is due.
    next_ping_at: f64,
}

impl Members {
    /// How long after a suspicion is raised its member is declared dead, while this router is healthy.
    pub fn suspicion_timeout_ms(&self) -> f64 {
        let counted = self.counted_size() as f64;
        let powers_of_ten = counted.max(2.0).log10().max(1.0);
        self.limits.suspicion_multiplier * powers_of_ten * self.limits.probe_period_ms
    }

    /// An upper bound of the time from a member's death until this router declares it dead, even without
    /// updates from others: a round of probes and the longest suspicion. Simulated tiers in tests rely on
    /// this bound.
    pub fn detection_bound_ms(&self) -> f64 {
        let round = 2.0 * self.roster.len() as f64 + 2.0;
        let longest_suspicion_ms = self.suspicion_timeout_ms() * f64::from(1 + MAX_HEALTH_PENALTY);
        round * self.limits.probe_period_ms * UNHEALTHY_PERIOD_FACTOR + longest_suspicion_ms
    }

    /// Suspects a member that did not answer, unless its whole group is silent. Returns whether a new
    /// suspicion was raised.
    pub(crate) fn suspect(&mut self, now: f64, member: MemberId) -> bool {
        let is_suspected = self.suspicions.iter().any(|own| own.member == member);
        if is_suspected || !self.is_reachable(member) || self.suspicions.len() >= MAX_OWN_SUSPICIONS {
            return false;
        }
        let Some(entry) = self.roster.get(member) else { return false };
        let update = Update { state: State::Suspect, ..entry.update(member) };
        self.suspicions.push(OwnSuspicion { member, raised_at: now, next_ping_at: now });
        self.apply(update);
        true
    }

    /// Declares members dead that did not refute this router's own suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: f64) {
        let timeout_ms = self.suspicion_timeout_ms() * self.health_multiplier();
        let mut suspicions = std::mem::take(&mut self.suspicions);
        // A suspicion is obsolete if the member refuted it, is known to be dead or to have left, or is in a
        // silent group.
        suspicions.retain(|own| self.is_reachable(own.member) && self.state(own.member) == State::Suspect);
        let (expired, remaining) = suspicions.into_iter().partition(|own| now - own.raised_at >= timeout_ms);
        self.suspicions = remaining;
        for own in expired {
            let Some(entry) = self.roster.get(own.member) else { continue };
            let update = Update { state: State::Dead, ..entry.update(own.member) };
            self.apply(update);
        }
    }

    /// Pings the member suspected by this router whose next ping has been due for longest. At most one such
    /// ping is sent per ack timeout, however many members are suspected.
    pub(crate) fn ping_suspects(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.next_suspect_ping_at {
            return;
        }
        let due = self.suspicions.iter_mut().filter(|own| own.next_ping_at <= now);
        let Some(own) = due.min_by(|a, b| a.next_ping_at.total_cmp(&b.next_ping_at)) else { return };
        // Allows an ack timeout for each direction. A suspicion then lasts for some twenty pings, and one
        // answer is enough to refute it.
        own.next_ping_at = now + 2.0 * self.limits.ack_timeout_ms;
        let to = own.member;
        self.next_suspect_ping_at = now + self.limits.ack_timeout_ms;
        let message = self.ping();
        actions.push(Action::SendToSuspect { to, message });
    }

    /// Applies an update if it overrides the believed state. An update about this router itself is refuted if
    /// necessary.
    pub(crate) fn apply(&mut self, update: Update) {
        if update.member == self.local {
            return self.refute(update);
        }
        let Some(entry) = self.roster.get(update.member) else { return };
        let is_suspicion_or_death = matches!(update.state, State::Suspect | State::Dead);
        let is_ignored = is_suspicion_or_death && entry.group != GroupStatus::Reachable;
        if is_ignored || !update.overrides(entry) {
            return;
        }
        let changed = entry.state != update.state;
        let transmissions = self.transmissions_of(&update, changed);
        self.roster.change(update.member, |entry| {
            entry.incarnation = update.incarnation;
            entry.state = update.state;
        });
        self.roster.set_transmissions(update.member, transmissions);
        if changed && !self.changed.contains(&update.member) {
            self.changed.push(update.member);
        }
    }

    /// How many times an update is gossiped. A suspicion reaches its member with the pings of the router
    /// that raised it, and a later incarnation of a member already believed alive changes no state: neither
    /// may crowd out updates that change a state.
    fn transmissions_of(&self, update: &Update, changed: bool) -> u32 {
        let transmissions_left = self.roster.get(update.member).map_or(0, |entry| entry.transmissions_left);
        let is_own_suspicion = self.suspicions.iter().any(|own| own.member == update.member);
        match update.state {
            State::Suspect if is_own_suspicion => self.limits.indirect_probes as u32,
            State::Suspect => 0,
            _ if changed => self.transmit_limit(),
            _ => transmissions_left,
        }
    }

    /// Refutes, with a later incarnation, an update that this router is not alive, or that a later process of
    /// it exists.
    fn refute(&mut self, update: Update) {
        let is_believed_not_alive =
            update.state != State::Alive && update.incarnation >= self.incarnation && !self.has_left;
        // An earlier process of this router may have started while its clock was ahead.
        let is_later_process = update.incarnation.started_at > self.incarnation.started_at;
        if !is_believed_not_alive && !is_later_process {
            return;
        }
        self.incarnation = self.incarnation.refuting(update.incarnation);
        self.raise_health_penalty();
        self.announce_self();
    }
}
