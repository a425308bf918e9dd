//! Membership of the tier as one router believes it, by SWIM with Lifeguard's local health: each router pings
//! another every probe period, asks others to ping one that does not answer, suspects it, and declares it
//! dead if nobody refutes the suspicion in time. No I/O, no clock, no threads: events in, actions out. All
//! times are in ms. Whoever is not in the roster is ignored.
//!
//! A router's incarnation begins with its start time: an update about an earlier one is about another
//! process. A router that learns that it is suspected or declared dead refutes it with a later incarnation.
//! One whose own process was paused, as a late tick shows, drops what it was waiting for and suspects nobody
//! for it.

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
    /// Members still to be pinged in this round, the next one last.
    round: Vec<MemberId>,
    pending: Option<PendingPing>,
    relayed: Vec<RelayedPing>,
    /// The number of the last ping.
    next_number: u32,
    /// Probe periods so far.
    periods: u32,
    next_probe_at: f64,
    next_suspect_ping_at: f64,
    last_tick_at: Option<f64>,
    /// Lifeguard's local health score: 0 while all is well.
    health_penalty: u32,
    random: Random,
    /// Whether this router has left.
    left: bool,
    /// Members whose state changed and has not been reported yet.
    changed: Vec<MemberId>,
}

impl Members {
    /// The view of router `local` of a roster of `size`, whose process started at this Unix time in ms. All
    /// others count as alive until they are found not to be.
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
            pending: None,
            relayed: Vec::new(),
            next_number: 0,
            periods: 0,
            next_probe_at: f64::NEG_INFINITY,
            next_suspect_ping_at: f64::NEG_INFINITY,
            last_tick_at: None,
            health_penalty: 0,
            random: Random::new(seed),
            left: false,
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

    /// The believed state of a member; dead where the roster does not name it.
    pub fn state(&self, member: MemberId) -> State {
        self.roster.get(member).map_or(State::Dead, |member| member.state)
    }

    /// Whether a member is neither dead nor left, and its group is not lost. A suspected one still counts.
    pub fn is_counted(&self, member: MemberId) -> bool {
        self.roster.get(member).is_some_and(|member| member.is_counted())
    }

    /// How many members count.
    pub fn counted_size(&self) -> usize {
        self.roster.counted()
    }

    /// Whether something is to be gossiped that has been told to nobody yet.
    pub fn has_unsent_updates(&self) -> bool {
        self.roster.has_unsent(self.transmit_limit())
    }

    /// How many updates wait to be gossiped.
    pub fn pending_updates(&self) -> usize {
        self.roster.pending()
    }

    /// A number from this router's sequence of random numbers.
    pub fn random_number(&mut self) -> u64 {
        self.random.next()
    }

    /// Takes the word of a detector of groups about a member's group.
    pub fn set_group_status(&mut self, member: MemberId, status: GroupStatus) {
        if member != self.local {
            self.roster.set_group_status(member, status);
        }
    }

    /// Members that count, this router among them, in the order of their numbers.
    pub fn counted(&self) -> impl Iterator<Item = MemberId> {
        self.roster.ids().filter(|member| self.is_counted(*member))
    }

    /// Whether a member, other than this router, can be expected to answer.
    fn is_reachable(&self, member: MemberId) -> bool {
        member != self.local && self.roster.get(member).is_some_and(|member| member.is_reachable())
    }

    fn reachable(&self) -> Vec<MemberId> {
        self.roster.ids().filter(|member| self.is_reachable(*member)).collect()
    }

    /// Others that are dead, have left, or are in a silent group.
    fn unreachable(&self) -> Vec<MemberId> {
        self.roster.ids().filter(|member| *member != self.local && !self.is_reachable(*member)).collect()
    }

    /// Advances the time; to be called several times a probe period. A call later than the pause threshold
    /// after the last one shows that this process was paused.
    pub fn tick(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        let elapsed = self.last_tick_at.map_or(0.0, |at| now - at);
        self.last_tick_at = Some(now);
        if self.left {
            return actions;
        }
        if elapsed > self.limits.pause_threshold {
            self.resume_after_pause(now, elapsed);
        }
        self.expire_relayed_pings(now);
        self.expire_suspicions(now);
        self.ping_suspects(now, &mut actions);
        self.request_indirect_pings(now, &mut actions);
        self.probe_when_due(now, &mut actions);
        self.report_changes(&mut actions);
        actions
    }

    /// Takes a datagram from a member: its own incarnation, its message and the updates with it. One from
    /// outside the roster is ignored.
    pub fn receive(
        &mut self,
        now: f64,
        from: MemberId,
        incarnation: Incarnation,
        message: Message,
        updates: &[Update],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if from == self.local || usize::from(from) >= self.roster.len() || self.left {
            return actions;
        }
        let is_unaware = self.note_sender(from, incarnation);
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
        if is_unaware && !matches!(message, Message::Ping { .. }) {
            // An ack would tell it as well.
            actions.push(Action::Send { to: from, message: Message::Gossip });
        }
        self.report_changes(&mut actions);
        actions
    }

    /// Whoever sends is alive; but a late datagram of an earlier process brings nobody back. True where the sender
    /// doesn't know what is believed of it: the next datagram to it says so, and it will refute it.
    fn note_sender(&mut self, from: MemberId, incarnation: Incarnation) -> bool {
        let Some(believed) = self.roster.get(from) else { return false };
        let unaware = believed.state != State::Alive && incarnation == believed.incarnation;
        self.apply(Update { member: from, incarnation, state: State::Alive });
        unaware
    }

    fn report_changes(&mut self, actions: &mut Vec<Action>) {
        for member in std::mem::take(&mut self.changed) {
            actions.push(Action::StateChanged { member, state: self.state(member) });
        }
    }

    /// Leaves the tier: announces it to at most `count` members, and does nothing more afterwards.
    pub fn leave(&mut self, count: usize) -> Vec<Action> {
        self.left = true;
        self.announce_self();
        self.roster.change(self.local, |own| own.state = State::Left);
        let mut informed = self.reachable();
        while informed.len() > count {
            let i = self.random.index(informed.len());
            informed.swap_remove(i);
        }
        let farewell = |to| Action::Send { to, message: Message::Gossip };
        informed.into_iter().map(farewell).collect()
    }
}

/// Why a roster can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterError {
    /// More members than the protocol is made for.
    TooLarge { size: usize },
    /// This router's own number is not in the roster.
    NotInRoster { member: MemberId, size: usize },
}

impl std::fmt::Display for RosterError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RosterError::TooLarge { size } => {
                write!(f, "the roster has {size} members, at most {MAX_MEMBERS} are possible")
            }
            RosterError::NotInRoster { member, size } => {
                write!(f, "number {member} is not in a roster of {size} members")
            }
        }
    }
}

impl std::error::Error for RosterError {}

#[cfg(test)]
mod tests;
