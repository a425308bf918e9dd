//! Suspicions, their end, and how updates change what is believed of the members.
//!
//! Only the router whose own probe failed declares a member dead, and until then it pings the member again and again:
//! one lost datagram, or a refutation that gets lost among much other gossip, costs nobody its place. What others say of
//! a suspicion is kept, so that the member hears of it, but starts no timeout here.

use crate::limits::{MAX_HEALTH_PENALTY, MAX_OWN_SUSPICIONS, UNHEALTHY_PERIOD_FACTOR};
use crate::{Action, GroupStatus, MemberId, Members, State, Update};

/// A suspicion that this router raised after a failed probe of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnSuspicion {
    pub member: MemberId,
    /// When it was raised, in ms; later by the time that this router was paused meanwhile.
    pub since: f64,
    /// When the member is pinged again.
    next_ping_at: f64,
}

impl Members {
    /// How long a suspicion stands before its member counts as dead, in ms, while this router's health is
    /// good.
    pub fn suspicion_timeout(&self) -> f64 {
        let counted = self.counted_size() as f64;
        let powers_of_ten = counted.max(2.0).log10().max(1.0);
        self.limits.suspicion_multiplier * powers_of_ten * self.limits.probe_period
    }

    /// An upper bound, in ms, of the time from a member's death until one router counts it as dead, even if
    /// that router learns nothing from others: a round of probes and the longest suspicion. The models rely
    /// on this bound.
    pub fn detection_bound(&self) -> f64 {
        let round = 2.0 * self.roster.len() as f64 + 2.0;
        let longest_suspicion = self.suspicion_timeout() * f64::from(1 + MAX_HEALTH_PENALTY);
        round * self.limits.probe_period * UNHEALTHY_PERIOD_FACTOR + longest_suspicion
    }

    /// Suspects a member that didn't answer, unless its whole group is silent; false where nothing new came of it.
    pub(crate) fn suspect(&mut self, now: f64, member: MemberId) -> bool {
        let is_suspected = self.suspicions.iter().any(|own| own.member == member);
        if is_suspected || !self.is_reachable(member) || self.suspicions.len() >= MAX_OWN_SUSPICIONS {
            return false;
        }
        let Some(held) = self.roster.get(member) else { return false };
        let update = Update { state: State::Suspect, ..held.update(member) };
        self.suspicions.push(OwnSuspicion { member, since: now, next_ping_at: now });
        self.apply(update);
        true
    }

    /// Declares dead whoever did not refute this router's own suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: f64) {
        let timeout = self.suspicion_timeout() * self.health_multiplier();
        let mut suspicions = std::mem::take(&mut self.suspicions);
        // Over: the member refuted, is known to be dead, or its whole group is silent.
        suspicions.retain(|own| self.is_reachable(own.member) && self.state(own.member) == State::Suspect);
        let (expired, open) = suspicions.into_iter().partition(|own| now - own.since >= timeout);
        self.suspicions = open;
        for own in expired {
            let Some(held) = self.roster.get(own.member) else { continue };
            let update = Update { state: State::Dead, ..held.update(own.member) };
            self.apply(update);
        }
    }

    /// Pings one of those again that this router suspects: whoever waits longest. However many there are, one such ping
    /// goes out in the time that an ack may take.
    pub(crate) fn ping_suspects(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.next_suspect_ping_at {
            return;
        }
        let due = self.suspicions.iter_mut().filter(|own| own.next_ping_at <= now);
        let Some(own) = due.min_by(|a, b| a.next_ping_at.total_cmp(&b.next_ping_at)) else { return };
        // As often as both ways may take: a suspicion then lasts for a score of pings, of which one suffices.
        own.next_ping_at = now + 2.0 * self.limits.ack_timeout;
        let to = own.member;
        self.next_suspect_ping_at = now + self.limits.ack_timeout;
        let message = self.ping();
        actions.push(Action::SendToSuspect { to, message });
    }

    /// Applies an update if it overrides what is believed. One about this router itself is refuted.
    pub(crate) fn apply(&mut self, update: Update) {
        if update.member == self.local {
            return self.refute(update);
        }
        let Some(held) = self.roster.get(update.member) else { return };
        let is_accusation = matches!(update.state, State::Suspect | State::Dead);
        let is_ignored = is_accusation && held.group != GroupStatus::Reachable;
        if is_ignored || !update.overrides(held) {
            return;
        }
        let changed = held.state != update.state;
        let transmissions = self.transmissions_of(&update, changed);
        self.roster.change(update.member, |held| {
            held.incarnation = update.incarnation;
            held.state = update.state;
        });
        self.roster.gossip(update.member, transmissions);
        if changed && !self.changed.contains(&update.member) {
            self.changed.push(update.member);
        }
    }

    /// How often an update is passed on. Suspicions are pressed by the pings of whoever raised them, and a later
    /// incarnation of a member that was thought alive changes nothing for anybody: neither may crowd out news.
    fn transmissions_of(&self, update: &Update, changed: bool) -> u32 {
        let transmissions_left = self.roster.get(update.member).map_or(0, |held| held.transmissions_left);
        let is_own_suspicion = self.suspicions.iter().any(|own| own.member == update.member);
        match update.state {
            State::Suspect if is_own_suspicion => self.limits.indirect_probes as u32,
            State::Suspect => 0,
            _ if changed => self.transmit_limit(),
            _ => transmissions_left,
        }
    }

    /// Refutes an update that says of this router that it is anything but alive, with a later incarnation.
    fn refute(&mut self, update: Update) {
        let accused = update.state != State::Alive && update.incarnation >= self.incarnation && !self.left;
        // An earlier process of this member may have run on a clock that was ahead.
        let later_process = update.incarnation.started_at > self.incarnation.started_at;
        if !accused && !later_process {
            return;
        }
        self.incarnation = self.incarnation.refuting(update.incarnation);
        self.worsen_health();
        self.announce_self();
    }
}
