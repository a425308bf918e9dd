//! SWIM group membership with Lifeguard's local health, as seen by one router of the tier: each router pings
//! one member per probe period, asks others to ping a member that does not answer, suspects it, and declares
//! it dead if the suspicion is not refuted in time. The crate has no I/O, clock or threads: it takes events
//! and returns actions. All times are in ms. Datagrams from members outside the roster are ignored.
//!
//! A router's incarnation starts with its process start time, so an update about an earlier incarnation is
//! about an earlier process. A router that learns that it is suspected or declared dead refutes this with a
//! later incarnation. A router whose own process was paused, as a late tick shows, drops its outstanding
//! pings and suspects nobody because of them.

mod gossip;
mod health;
mod limits;
mod message;
mod probe;
mod random;
mod roster;
mod suspicion;
mod update;

pub use limits::{Limits, MAX_MEMBERS};
pub use message::{Action, Message};
pub use update::{GroupStatus, Incarnation, MemberId, State, Update};

use probe::{PendingPing, RelayedPing};
use random::Random;
use roster::Roster;
use suspicion::OwnSuspicion;

/// One router's view of all members.
#[derive(Clone, Debug)]
pub struct Members {
    /// This router.
    local: MemberId,
    incarnation: Incarnation,
    limits: Limits,
    roster: Roster,
    /// Suspicions that this router raised itself.
    suspicions: Vec<OwnSuspicion>,
    /// Members still to be pinged in the current round, in reverse order.
    round: Vec<MemberId>,
    pending_ping: Option<PendingPing>,
    relayed_pings: Vec<RelayedPing>,
    /// Sequence number of the last ping sent.
    last_ping_number: u32,
    /// Probe periods so far.
    periods: u32,
    next_probe_at: f64,
    next_suspect_ping_at: f64,
    last_tick_at: Option<f64>,
    /// Lifeguard's local health score: 0 while this router is healthy.
    health_penalty: u32,
    random: Random,
    /// Whether this router has left.
    has_left: bool,
    /// Members whose state changed and has not been reported yet.
    changed: Vec<MemberId>,
}

impl Members {
    /// The initial view of router `local` in a roster of `size` members; `started_at` is the start of its
    /// process in Unix ms. All other members are believed alive at first.
    pub fn new(
        local: MemberId,
        size: usize,
        started_at: u64,
        seed: u64,
        limits: Limits,
    ) -> Result<Members, RosterError> {
        if size > MAX_MEMBERS {
            return Err(RosterError::TooLarge { size });
        }
        if usize::from(local) >= size {
            return Err(RosterError::NotInRoster { member: local, size });
        }
        let mut members = Members {
            local,
            incarnation: Incarnation { started_at, refutations: 0 },
            limits,
            roster: Roster::new(size),
            suspicions: Vec::new(),
            round: Vec::new(),
            pending_ping: None,
            relayed_pings: Vec::new(),
            last_ping_number: 0,
            periods: 0,
            next_probe_at: f64::NEG_INFINITY,
            next_suspect_ping_at: f64::NEG_INFINITY,
            last_tick_at: None,
            health_penalty: 0,
            random: Random::new(seed),
            has_left: false,
            changed: Vec::new(),
        };
        members.announce_self();
        Ok(members)
    }

    /// This router's own number in the roster.
    pub fn local(&self) -> MemberId {
        self.local
    }

    /// This router's own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The believed state of a member; dead if it is not in the roster.
    pub fn state(&self, member: MemberId) -> State {
        self.roster.get(member).map_or(State::Dead, |member| member.state)
    }

    /// Whether a member is neither dead nor has left, and its group is counted. A suspected member is
    /// counted.
    pub fn is_counted(&self, member: MemberId) -> bool {
        self.roster.get(member).is_some_and(|member| member.is_counted())
    }

    /// The number of counted members.
    pub fn counted_size(&self) -> usize {
        self.roster.counted()
    }

    /// Whether a queued update has not been sent to any member yet.
    pub fn has_unsent_updates(&self) -> bool {
        self.roster.has_unsent(self.transmit_limit())
    }

    /// The number of updates queued for gossip.
    pub fn pending_updates(&self) -> usize {
        self.roster.pending()
    }

    /// The next number of this router's pseudo-random sequence.
    pub fn random_number(&mut self) -> u64 {
        self.random.next()
    }

    /// Sets the status of a member's group, as determined by a group failure detector.
    pub fn set_group_status(&mut self, member: MemberId, status: GroupStatus) {
        if member != self.local {
            self.roster.set_group_status(member, status);
        }
    }

    /// The counted members, including this router, in ascending order.
    pub fn counted(&self) -> impl Iterator<Item = MemberId> {
        self.roster.ids().filter(|member| self.is_counted(*member))
    }

    /// Whether a member other than this router is expected to answer.
    fn is_reachable(&self, member: MemberId) -> bool {
        member != self.local && self.roster.get(member).is_some_and(|member| member.is_reachable())
    }

    fn reachable(&self) -> Vec<MemberId> {
        self.roster.ids().filter(|member| self.is_reachable(*member)).collect()
    }

    /// Other members that are dead, have left, or are in a silent group.
    fn unreachable(&self) -> Vec<MemberId> {
        self.roster.ids().filter(|member| *member != self.local && !self.is_reachable(*member)).collect()
    }

    /// Advances the time; must be called several times per probe period. If more than the pause threshold has
    /// passed since the previous call, this process is taken to have been paused.
    pub fn tick(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        let elapsed_ms = self.last_tick_at.map_or(0.0, |at| now - at);
        self.last_tick_at = Some(now);
        if self.has_left {
            return actions;
        }
        if elapsed_ms > self.limits.pause_threshold_ms {
            self.resume_after_pause(now, elapsed_ms);
        }
        self.expire_relayed_pings(now);
        self.expire_suspicions(now);
        self.ping_suspects(now, &mut actions);
        self.request_indirect_pings(now, &mut actions);
        self.probe_when_due(now, &mut actions);
        self.report_changes(&mut actions);
        actions
    }

    /// Handles a datagram from a member: its incarnation, its message and the piggybacked updates. A datagram
    /// from outside the roster is ignored.
    pub fn receive(
        &mut self,
        now: f64,
        from: MemberId,
        incarnation: Incarnation,
        message: Message,
        updates: &[Update],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if from == self.local || usize::from(from) >= self.roster.len() || self.has_left {
            return actions;
        }
        let has_not_refuted = self.record_sender(from, incarnation);
        for update in updates {
            self.apply(*update);
        }
        match message {
            Message::Ping { number } => {
                actions.push(Action::Send { to: from, message: Message::Ack { number } });
            }
            Message::Ack { number } => self.receive_ack(from, number, &mut actions),
            Message::PingRequest { number, target } => {
                self.receive_ping_request(now, from, number, target, &mut actions);
            }
            Message::Gossip => {}
        }
        if has_not_refuted && !matches!(message, Message::Ping { .. }) {
            // A ping is answered with an ack, which carries the same updates.
            actions.push(Action::Send { to: from, message: Message::Gossip });
        }
        self.report_changes(&mut actions);
        actions
    }

    /// Records the sender of a datagram as alive; a late datagram of an earlier process does not revive the
    /// member. Returns whether the sender has yet to refute the state believed of it: the next datagram to it
    /// carries that state, so that it can.
    fn record_sender(&mut self, from: MemberId, incarnation: Incarnation) -> bool {
        let Some(believed) = self.roster.get(from) else { return false };
        let has_not_refuted = believed.state != State::Alive && incarnation == believed.incarnation;
        self.apply(Update { member: from, incarnation, state: State::Alive });
        has_not_refuted
    }

    fn report_changes(&mut self, actions: &mut Vec<Action>) {
        for member in std::mem::take(&mut self.changed) {
            actions.push(Action::StateChanged { member, state: self.state(member) });
        }
    }

    /// Leaves the tier: announces this to at most `count` members. All later events are ignored.
    pub fn leave(&mut self, count: usize) -> Vec<Action> {
        self.has_left = true;
        self.announce_self();
        self.roster.change(self.local, |own| own.state = State::Left);
        let mut receivers = self.reachable();
        while receivers.len() > count {
            let i = self.random.index(receivers.len());
            receivers.swap_remove(i);
        }
        let announce = |to| Action::Send { to, message: Message::Gossip };
        receivers.into_iter().map(announce).collect()
    }
}

/// Why a roster is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterError {
    /// The roster has more than [`MAX_MEMBERS`] members.
    TooLarge { size: usize },
    /// This router's own number is not in the roster.
    NotInRoster { member: MemberId, size: usize },
}

impl std::fmt::Display for RosterError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RosterError::TooLarge { size } => {
                write!(f, "the roster has {size} members, at most {MAX_MEMBERS} are supported")
            }
            RosterError::NotInRoster { member, size } => {
                write!(f, "member {member} is not in a roster of {size} members")
            }
        }
    }
}

impl std::error::Error for RosterError {}

#[cfg(test)]
mod tests;
