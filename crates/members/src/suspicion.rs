//! Suspicions, their end, and how updates change what is believed of the members.

use crate::limits::{MAX_HEALTH_PENALTY, UNHEALTHY_PERIOD_FACTOR};
use crate::update::Member;
use crate::{MemberId, Members, State, Update};

impl Members {
    /// How long a suspicion stands before its member counts as dead, in ms, while this router's health is
    /// good.
    pub fn suspicion_timeout(&self) -> f64 {
        let counted = self.counted().count() as f64;
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

    /// Declares dead whoever did not refute its suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: f64) {
        let timeout = self.suspicion_timeout() * self.health_multiplier();
        let expired =
            |member: &Member| member.state == State::Suspect && now - member.suspected_at >= timeout;
        let dead: Vec<MemberId> =
            self.ids().filter(|member| expired(&self.roster[*member as usize])).collect();
        for member in dead {
            let incarnation = self.roster[member as usize].incarnation;
            self.apply(now, Update { member, incarnation, state: State::Dead });
        }
    }

    /// Applies an update if it overrides what is believed. One about this router itself is refuted.
    pub(crate) fn apply(&mut self, now: f64, update: Update) {
        if update.member == self.local {
            return self.refute(update);
        }
        let transmit_limit = self.transmit_limit();
        let Some(member) = self.roster.get_mut(update.member as usize) else { return };
        if !update.overrides(member) {
            return;
        }
        let changed = member.state != update.state;
        if changed && update.state == State::Suspect {
            member.suspected_at = now;
        }
        member.incarnation = update.incarnation;
        member.state = update.state;
        member.transmissions_left = transmit_limit;
        if changed && !self.changed.contains(&update.member) {
            self.changed.push(update.member);
        }
    }

    /// Refutes an update that says of this router that it is anything but alive, with a later incarnation.
    fn refute(&mut self, update: Update) {
        let accused = update.state != State::Alive && update.incarnation >= self.incarnation && !self.left;
        // An earlier process of this member may have run on a clock that was ahead.
        let later_process = update.incarnation.started > self.incarnation.started;
        if !accused && !later_process {
            return;
        }
        self.incarnation = self.incarnation.refuting(update.incarnation);
        self.worsen_health();
        self.announce_self();
    }
}
