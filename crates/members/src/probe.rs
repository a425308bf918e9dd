//! The failure detector: direct pings in randomized round-robin order, and indirect pings through other
//! members.

use crate::limits::{MAX_HEALTH_PENALTY, MAX_RELAYED_PINGS, UNHEALTHY_PERIOD_FACTOR};
use crate::{Action, MemberId, Members, Message};

/// The outstanding direct ping of this router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPing {
    target: MemberId,
    number: u32,
    sent_at: f64,
    /// Whether indirect pings of the target have been requested.
    is_indirect_requested: bool,
}

/// An outstanding ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedPing {
    number: u32,
    target: MemberId,
    requester: MemberId,
    requester_number: u32,
    expires_at: f64,
}

impl Members {
    /// Drops the outstanding pings after a pause of this process and extends its suspicions by the pause:
    /// members may have answered meanwhile, so none is suspected or declared dead because of this router's
    /// own pause.
    pub(crate) fn resume_after_pause(&mut self, now: f64, pause_ms: f64) {
        self.pending_ping = None;
        self.relayed_pings.clear();
        self.health_penalty = MAX_HEALTH_PENALTY;
        self.suspicions.iter_mut().for_each(|suspicion| suspicion.raised_at += pause_ms);
        self.next_probe_at = now;
    }

    /// Drops expired relayed pings.
    pub(crate) fn expire_relayed_pings(&mut self, now: f64) {
        self.relayed_pings.retain(|relayed| relayed.expires_at > now);
    }

    /// Asks other members to ping the target if its ack is overdue.
    pub(crate) fn request_indirect_pings(&mut self, now: f64, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_ping else { return };
        if pending.is_indirect_requested || now - pending.sent_at < self.extended_ack_timeout_ms() {
            return;
        }
        self.pending_ping = Some(PendingPing { is_indirect_requested: true, ..pending });
        let message = Message::PingRequest { number: pending.number, target: pending.target };
        for to in self.random_members(self.limits.indirect_probes, [pending.target, self.local]) {
            actions.push(Action::Send { to, message });
        }
    }

    /// Starts the next probe period when the current one has ended.
    pub(crate) fn probe_when_due(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.next_probe_at {
            return;
        }
        self.suspect_unanswered(now);
        if let Some(target) = self.next_target() {
            let number = self.next_ping_number();
            self.pending_ping =
                Some(PendingPing { target, number, sent_at: now, is_indirect_requested: false });
            actions.push(Action::Send { to: target, message: Message::Ping { number } });
        }
        // Jitter of a quarter in either direction, so that routers started together do not probe in lockstep.
        let jitter = 0.75 + (self.random.next() % 1_000) as f64 / 2_000.0;
        let health_factor = if self.health_penalty > 0 { UNHEALTHY_PERIOD_FACTOR } else { 1.0 };
        self.next_probe_at = now + self.limits.probe_period_ms * jitter * health_factor;
    }

    /// Suspects the target of the outstanding ping if its ack is overdue.
    fn suspect_unanswered(&mut self, now: f64) {
        let Some(pending) = self.pending_ping.take() else { return };
        if now - pending.sent_at < self.extended_ack_timeout_ms() {
            return;
        }
        if self.suspect(now, pending.target) {
            self.raise_health_penalty();
        }
    }

    /// The next member to ping: each reachable member once per round, and an unreachable one every
    /// `dead_probe_interval` periods.
    fn next_target(&mut self) -> Option<MemberId> {
        self.periods = self.periods.wrapping_add(1);
        if self.periods.is_multiple_of(self.limits.dead_probe_interval) {
            let unreachable = self.unreachable();
            if !unreachable.is_empty() {
                return Some(unreachable[self.random.index(unreachable.len())]);
            }
        }
        loop {
            if self.round.is_empty() {
                self.round = self.reachable();
                self.random.shuffle(&mut self.round);
            }
            let target = self.round.pop()?;
            if self.is_reachable(target) {
                return Some(target);
            }
        }
    }

    /// A ping outside the regular probes; its target is not suspected if it does not answer.
    pub fn ping(&mut self) -> Message {
        Message::Ping { number: self.next_ping_number() }
    }

    pub(crate) fn next_ping_number(&mut self) -> u32 {
        self.last_ping_number = self.last_ping_number.wrapping_add(1);
        self.last_ping_number
    }

    /// Handles the ack of this router's own ping, or forwards the ack of a relayed one.
    pub(crate) fn receive_ack(&mut self, from: MemberId, number: u32, actions: &mut Vec<Action>) {
        if self.pending_ping.is_some_and(|pending| pending.number == number) {
            self.pending_ping = None;
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
        let answered = |relayed: &RelayedPing| relayed.number == number && relayed.target == from;
        if let Some(i) = self.relayed_pings.iter().position(answered) {
            let relayed = self.relayed_pings.swap_remove(i);
            let message = Message::Ack { number: relayed.requester_number };
            actions.push(Action::Send { to: relayed.requester, message });
        }
    }

    /// Pings a target on behalf of another member, if the target is in the roster and not too many such
    /// pings are outstanding.
    pub(crate) fn receive_ping_request(
        &mut self,
        now: f64,
        requester: MemberId,
        requester_number: u32,
        target: MemberId,
        actions: &mut Vec<Action>,
    ) {
        let is_known = usize::from(target) < self.roster.len() && target != self.local;
        if !is_known || self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let number = self.next_ping_number();
        let expires_at = now + self.limits.probe_period_ms;
        self.relayed_pings.push(RelayedPing { number, target, requester, requester_number, expires_at });
        actions.push(Action::Send { to: target, message: Message::Ping { number } });
    }
}
