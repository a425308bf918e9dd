//! One router's part in its tier: what it believes of the members and what it knows of hosts, in datagrams of
//! at most 256 bytes. Datagrams in, datagrams and peer_facts out; no I/O, no clock, no threads.
//!
//! Update and facts ride on the members' probes, which go out at a steady rate. What is new is told at once
//! to a few members, who tell it on at once to a few others: within a bucket that bounds what one router
//! sends whatever happens. Whoever can't be read, is not in the roster, or says it is somebody else, is
//! dropped and counted; a sender's own datagrams cost nobody else anything, as each has its own bound on what
//! is taken in a second.

use magpiewell_facts::{Fact, Facts, GroupKey, HostKey, Observation, Received};
use magpiewell_members::{Action, Members, Message, State};
use magpiewell_peers::tier::{Datagram, MAX_ENTRIES, NO_ZONE, decode, encode};
use magpiewell_peers::{DecodeError, Key};

/// Sizes, counts and times; times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub members: magpiewell_members::Limits,
    pub facts: magpiewell_facts::Limits,
    /// Members that are told what is new at once.
    pub fan: usize,
    /// Such datagrams that may go out together, and in a second from then on.
    pub burst: f64,
    pub refill: f64,
    /// Update of members in one datagram at most, where there are facts too.
    pub news: usize,
    /// Datagrams of one sender that are taken in a second.
    pub taken: u32,
    /// Members told that this one leaves.
    pub farewells: usize,
    /// Others that must say so before a host counts as silent.
    pub silent: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            members: magpiewell_members::Limits::default(),
            facts: magpiewell_facts::Limits::default(),
            fan: 4,
            burst: 12.0,
            refill: 4.0,
            news: 6,
            taken: 40,
            farewells: 6,
            silent: 2,
        }
    }
}

/// A datagram for a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Out {
    pub to: u16,
    pub bytes: Vec<u8>,
}

/// What the decisions are told. None of it says that a host is well or fresh.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerFact {
    /// The host that was last seen as the group's primary, and when.
    Leads { group: GroupKey, host: HostKey, at: f64 },
    /// How far a replica was behind, and when.
    Behind { host: HostKey, ms: f64, at: f64 },
    /// Several had no answer from a host.
    Silent { host: HostKey },
    /// Others' reads took so many times what they usually take.
    Slow { host: HostKey, times: f64, reads: f64 },
    /// Members that count, and the part of them in each zone; empty where none is known.
    Members { counted: usize, zones: Vec<f64> },
}

/// What came of one call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Done {
    pub out: Vec<Out>,
    pub peer_facts: Vec<PeerFact>,
}

/// Datagrams dropped so far, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    pub unreadable: u64,
    pub wrong_key: u64,
    pub stranger: u64,
    pub too_many: u64,
    /// Facts of the future or the far past.
    pub odd_facts: u64,
}

/// What is kept of a sender.
#[derive(Clone, Copy, Debug)]
struct Sender {
    zone: u8,
    taken: u32,
    since: f64,
}

pub struct Tier {
    limits: Limits,
    members: Members,
    facts: Facts,
    key: Option<Key>,
    zone: u8,
    senders: Vec<Sender>,
    left: f64,
    left_at: f64,
    told: (usize, Vec<f64>),
    pub dropped: Dropped,
    /// Datagrams and bytes sent so far.
    pub sent: (u64, u64),
}

impl Tier {
    /// Router `me` of a roster of so many, in this zone, that started at this Unix time in ms.
    pub fn new(
        (me, of): (u16, usize),
        zone: Option<u8>,
        started: u64,
        seed: u64,
        key: Option<Key>,
        limits: Limits,
    ) -> Tier {
        let sender = Sender { zone: NO_ZONE, taken: 0, since: f64::NEG_INFINITY };
        let zone = zone.unwrap_or(NO_ZONE);
        let mut senders = vec![sender; of.clamp(1, 1_024)];
        if let Some(own) = senders.get_mut(me as usize) {
            own.zone = zone;
        }
        Tier {
            members: Members::new(me, of, started, seed, limits.members),
            facts: Facts::new(me, limits.facts),
            limits,
            key,
            zone,
            senders,
            left: limits.burst,
            left_at: f64::NEG_INFINITY,
            told: (0, Vec::new()),
            dropped: Dropped::default(),
            sent: (0, 0),
        }
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// The time passes: some ten times a second.
    pub fn beat(&mut self, now: f64) -> Done {
        let mut done = Done::default();
        let actions = self.members.tick(now);
        self.carry_out(now, actions, &mut done);
        self.press(now, &mut done);
        self.facts.remove_expired(now);
        self.count(&mut done);
        done
    }

    /// This router has seen something itself.
    pub fn saw(&mut self, now: f64, what: Observation) -> Done {
        let mut done = Done::default();
        if self.facts.observe(now, what) {
            self.press(now, &mut done);
        }
        done
    }

    /// A datagram from this member's address.
    pub fn heard(&mut self, now: f64, from: u16, bytes: &[u8]) -> Done {
        let mut done = Done::default();
        let Some(sender) = self.senders.get_mut(from as usize).filter(|_| from != self.members.local())
        else {
            self.dropped.stranger += 1;
            return done;
        };
        if now - sender.since >= 1_000.0 || now < sender.since {
            (sender.since, sender.taken) = (now, 0);
        }
        sender.taken += 1;
        if sender.taken > self.limits.taken {
            self.dropped.too_many += 1;
            return done;
        }
        let datagram = match decode(bytes, self.key.as_ref(), now) {
            Ok(datagram) if datagram.sender == from => datagram,
            Ok(_) => {
                self.dropped.stranger += 1;
                return done;
            }
            Err(DecodeError::Key) => {
                self.dropped.wrong_key += 1;
                return done;
            }
            Err(_) => {
                self.dropped.unreadable += 1;
                return done;
            }
        };
        sender.zone = datagram.zone;
        for fact in &datagram.facts {
            match self.facts.receive(now, *fact) {
                Received::New => self.peer_fact(now, fact, &mut done),
                Received::Known => {}
                Received::Rejected => self.dropped.odd_facts += 1,
            }
        }
        let actions =
            self.members.receive(now, from, datagram.incarnation, datagram.message, &datagram.updates);
        self.carry_out(now, actions, &mut done);
        self.press(now, &mut done);
        self.count(&mut done);
        done
    }

    /// This router goes: it says so to some, and to nobody anything after that.
    pub fn leave(&mut self, now: f64) -> Done {
        let mut done = Done::default();
        let actions = self.members.leave(self.limits.farewells);
        self.carry_out(now, actions, &mut done);
        done
    }

    fn peer_fact(&mut self, now: f64, fact: &Fact, done: &mut Done) {
        let peer_fact = match fact.observation {
            Observation::Primary { group, host } => {
                Some(PeerFact::Leads { group, host, at: fact.observed_at })
            }
            Observation::ReplicaLag { host, ms } => {
                Some(PeerFact::Behind { host, ms: f64::from(ms), at: fact.observed_at })
            }
            Observation::Unresponsive { host } => (self.facts.unresponsive(now, host) >= self.limits.silent)
                .then_some(PeerFact::Silent { host }),
            Observation::Slow { host, .. } => {
                let slow = self.facts.slow(now, host);
                slow.map(|slow| PeerFact::Slow { host, times: slow.ratio, reads: slow.reads })
            }
        };
        done.peer_facts.extend(peer_fact);
    }

    fn carry_out(&mut self, now: f64, actions: Vec<Action>, done: &mut Done) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(now, to, message, done),
                Action::StateChanged { member, state: State::Dead | State::Left } => {
                    // Its zone's routers bring less from now on; where it went it may come back from.
                    if let Some(sender) = self.senders.get_mut(member as usize) {
                        sender.taken = 0;
                    }
                }
                Action::StateChanged { .. } => {}
            }
        }
    }

    fn send(&mut self, now: f64, to: u16, message: Message, done: &mut Done) {
        let updates = self.members.updates_for(to, self.limits.news);
        let facts = self.facts.facts_to_send(now, MAX_ENTRIES - updates.len());
        let (sender, zone, incarnation) = (self.members.local(), self.zone, self.members.incarnation());
        let mut bytes = Vec::new();
        encode(
            &Datagram { sender, zone, incarnation, message, updates, facts },
            self.key.as_ref(),
            &mut bytes,
        );
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        done.out.push(Out { to, bytes });
    }

    /// Tells what is new to a few at once, as far as the bucket has it.
    fn press(&mut self, now: f64, done: &mut Done) {
        let since = (now - self.left_at).clamp(0.0, 60_000.0) / 1_000.0;
        self.left = (self.left + since * self.limits.refill).min(self.limits.burst);
        self.left_at = now;
        if !self.facts.has_unsent() || self.left < self.limits.fan as f64 {
            return;
        }
        for to in self.members.random_members(self.limits.fan, [self.members.local(); 2]) {
            self.left -= 1.0;
            self.send(now, to, Message::Gossip, done);
        }
    }

    /// Tells how many count, and where, if that has changed.
    fn count(&mut self, done: &mut Done) {
        let counted: Vec<u16> = self.members.counted().collect();
        let zone = |who: &u16| self.senders.get(*who as usize).map(|s| s.zone).filter(|z| *z != NO_ZONE);
        let known: Vec<u8> = counted.iter().filter_map(zone).collect();
        let mut zones = vec![0.0; known.iter().max().map_or(0, |z| usize::from(*z) + 1)];
        known.iter().for_each(|z| zones[usize::from(*z)] += 1.0 / known.len() as f64);
        if self.told != (counted.len(), zones.clone()) {
            self.told = (counted.len(), zones.clone());
            done.peer_facts.push(PeerFact::Members { counted: counted.len(), zones });
        }
    }
}

#[cfg(test)]
mod tests;
