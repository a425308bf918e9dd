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
mod suspicion;
mod update;

pub use limits::Limits;
pub use message::{Action, Message};
pub use update::{Incarnation, MemberId, State, Update};

use probe::{PendingPing, RelayedPing};
use random::Random;
use update::Member;

/// One router's view of all members.
#[derive(Clone, Debug)]
pub struct Members {
    /// This router.
    local: MemberId,
    incarnation: Incarnation,
    limits: Limits,
    roster: Vec<Member>,
    /// Members still to be pinged in this round, the next one last.
    round: Vec<MemberId>,
    pending: Option<PendingPing>,
    relayed: Vec<RelayedPing>,
    /// The number of the last ping.
    next_number: u32,
    /// Probe periods so far.
    periods: u32,
    next_probe_at: f64,
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
    /// The view of router `local` of a roster of `size` (at most 1,024), whose process started at this Unix
    /// time in ms. All others count as alive until they are found not to be.
    pub fn new(local: MemberId, size: usize, started: u64, seed: u64, limits: Limits) -> Members {
        let size = size.clamp(1, limits::MAX_MEMBERS);
        let mut members = Members {
            local,
            incarnation: Incarnation { started, refutations: 0 },
            limits,
            roster: vec![Member::default(); size],
            round: Vec::new(),
            pending: None,
            relayed: Vec::new(),
            next_number: 0,
            periods: 0,
            next_probe_at: f64::NEG_INFINITY,
            last_tick_at: None,
            health_penalty: 0,
            random: Random::new(seed),
            left: false,
            changed: Vec::new(),
        };
        members.announce_self();
        members
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
        self.roster.get(member as usize).map_or(State::Dead, |member| member.state)
    }

    /// Whether a member is neither dead nor left. A suspected one still counts.
    pub fn is_counted(&self, member: MemberId) -> bool {
        matches!(self.state(member), State::Alive | State::Suspect)
    }

    /// Members that count, this router among them, in the order of their numbers.
    pub fn counted(&self) -> impl Iterator<Item = MemberId> {
        self.ids().filter(|member| self.is_counted(*member))
    }

    fn ids(&self) -> impl Iterator<Item = MemberId> + use<> {
        0..self.roster.len() as MemberId
    }

    fn other_counted(&self) -> Vec<MemberId> {
        self.counted().filter(|member| *member != self.local).collect()
    }

    /// Others that are dead or have left.
    fn uncounted(&self) -> Vec<MemberId> {
        self.ids().filter(|member| *member != self.local && !self.is_counted(*member)).collect()
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
        if from == self.local || from as usize >= self.roster.len() || self.left {
            return actions;
        }
        self.note_sender(now, from, incarnation);
        for update in updates {
            self.apply(now, *update);
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
        self.report_changes(&mut actions);
        actions
    }

    /// Whoever sends is alive; but a late datagram of an earlier process brings nobody back.
    fn note_sender(&mut self, now: f64, from: MemberId, incarnation: Incarnation) {
        let believed = &self.roster[from as usize];
        let unaware = believed.state != State::Alive && incarnation == believed.incarnation;
        self.apply(now, Update { member: from, incarnation, state: State::Alive });
        if unaware {
            // It does not know what is believed of it: it is told, and will refute it.
            self.roster[from as usize].transmissions_left = self.transmit_limit();
        }
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
        if let Some(own) = self.roster.get_mut(self.local as usize) {
            own.state = State::Left;
        }
        let mut informed = self.other_counted();
        while informed.len() > count {
            let i = self.random.index(informed.len());
            informed.swap_remove(i);
        }
        let farewell = |to| Action::Send { to, message: Message::Gossip };
        informed.into_iter().map(farewell).collect()
    }
}

#[cfg(test)]
mod tests;
