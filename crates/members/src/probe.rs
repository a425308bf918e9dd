//! The failure detector: direct pings in a random round-robin order, indirect pings through other members.

use crate::limits::{MAX_HEALTH_PENALTY, MAX_RELAYED_PINGS, UNHEALTHY_PERIOD_FACTOR};
use crate::{Action, MemberId, Members, Message};

/// The direct ping that this router waits to see answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingPing {
    target: MemberId,
    number: u32,
    sent_at: f64,
    /// Whether other members were asked to ping the target.
    indirect: bool,
}

/// A ping made for another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedPing {
    number: u32,
    target: MemberId,
    requester: MemberId,
    requester_number: u32,
    expires_at: f64,
}

impl Members {
    /// Forgets what was waited for while this process was paused: whoever seems silent may have answered
    /// meanwhile, so nobody is suspected for the time of this router's own pause.
    pub(crate) fn resume_after_pause(&mut self, now: f64, pause: f64) {
        self.pending = None;
        self.relayed.clear();
        self.health_penalty = MAX_HEALTH_PENALTY;
        self.suspicions.iter_mut().for_each(|suspicion| suspicion.since += pause);
        self.next_probe_at = now;
    }

    /// Drops relayed pings whose time is over.
    pub(crate) fn expire_relayed_pings(&mut self, now: f64) {
        self.relayed.retain(|relayed| relayed.expires_at > now);
    }

    /// Asks other members to ping a target that did not answer in time.
    pub(crate) fn request_indirect_pings(&mut self, now: f64, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending else { return };
        if pending.indirect || now - pending.sent_at < self.ack_timeout() {
            return;
        }
        self.pending = Some(PendingPing { indirect: true, ..pending });
        let message = Message::PingRequest { number: pending.number, target: pending.target };
        for to in self.random_members(self.limits.indirect_probes, [pending.target, self.local]) {
            actions.push(Action::Send { to, message });
        }
    }

    /// Ends the probe period when it is over and begins the next one.
    pub(crate) fn probe_when_due(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.next_probe_at {
            return;
        }
        self.suspect_unanswered(now);
        if let Some(target) = self.next_target() {
            let number = self.next_number();
            self.pending = Some(PendingPing { target, number, sent_at: now, indirect: false });
            actions.push(Action::Send { to: target, message: Message::Ping { number } });
        }
        // Jitter of a quarter either way: routers that start together don't probe in step.
        let jitter = 0.75 + (self.random.next() % 1_000) as f64 / 2_000.0;
        let stretch = if self.health_penalty > 0 { UNHEALTHY_PERIOD_FACTOR } else { 1.0 };
        self.next_probe_at = now + self.limits.probe_period * jitter * stretch;
    }

    /// Suspects the target of the last ping if it has not been answered.
    fn suspect_unanswered(&mut self, now: f64) {
        let Some(pending) = self.pending.take() else { return };
        if now - pending.sent_at < self.ack_timeout() {
            return;
        }
        if self.suspect(now, pending.target) {
            self.worsen_health();
        }
    }

    /// The next member to ping: each reachable one once a round, and now and then one that is not.
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

    /// A ping besides the regular probes; nobody is suspected where it goes unanswered.
    pub fn ping(&mut self) -> Message {
        Message::Ping { number: self.next_number() }
    }

    pub(crate) fn next_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Takes an ack of this router's own ping, or passes on the ack of a relayed one.
    pub(crate) fn receive_ack(&mut self, from: MemberId, number: u32, actions: &mut Vec<Action>) {
        if self.pending.is_some_and(|pending| pending.number == number) {
            self.pending = None;
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
        let answered = |relayed: &RelayedPing| relayed.number == number && relayed.target == from;
        if let Some(i) = self.relayed.iter().position(answered) {
            let relayed = self.relayed.swap_remove(i);
            let message = Message::Ack { number: relayed.requester_number };
            actions.push(Action::Send { to: relayed.requester, message });
        }
    }

    /// Pings a target for another member, if it is in the roster and not too many such pings are open.
    pub(crate) fn receive_ping_request(
        &mut self,
        now: f64,
        requester: MemberId,
        requester_number: u32,
        target: MemberId,
        actions: &mut Vec<Action>,
    ) {
        let known = usize::from(target) < self.roster.len() && target != self.local;
        if !known || self.relayed.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let number = self.next_number();
        let expires_at = now + self.limits.probe_period;
        self.relayed.push(RelayedPing { number, target, requester, requester_number, expires_at });
        actions.push(Action::Send { to: target, message: Message::Ping { number } });
    }
}
