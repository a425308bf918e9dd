//! One router's part in its tier: membership and facts in datagrams of at most 256 bytes. Datagrams in,
//! datagrams and events out; no I/O, no clock, no threads. Times are Unix ms.
//!
//! Updates and facts are piggybacked on the membership protocol's messages, which go out at a steady rate.
//! New facts are sent at once to a few members, who send them on at once to a few others, within a token
//! bucket that bounds what one router sends whatever happens. A datagram that can't be decoded, comes from
//! outside the roster or is in another member's name is dropped and counted. As the rate accepted of each
//! sender is bounded on its own, no sender's datagrams cost another one anything.

mod counters;
mod limits;
mod output;
mod pull;
mod sender;
mod token_bucket;
mod zones;

pub use counters::{Dropped, Sent};
pub use limits::Limits;
pub use output::{Outgoing, Output, PeerFact, ZoneChange};

use magpiewell_facts::{Digest, Fact, Facts, Observation, Received};
use magpiewell_members::{Action, Members, Message, RosterError, State, Update};
use magpiewell_peers::Key;
use magpiewell_peers::tier::{Datagram, MAX_ENTRIES, NO_ZONE, decode, encode};
use magpiewell_zones::{BATCH_CHUNKS, MapBatch, MapChunk, ZoneEvidence};
use pull::PullRequest;
use sender::SenderState;
use token_bucket::TokenBucket;
use zones::WantedChunks;

/// Who this router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its number in the roster.
    pub local: u16,
    /// How many members the roster has.
    pub roster_size: usize,
    /// Its zone, where it knows it.
    pub zone: Option<u8>,
    /// When its process started, in Unix ms.
    pub started_at: u64,
}

/// Entries for updates and facts that a datagram has at least, whatever else was asked for.
const MIN_GOSSIP_ENTRIES: usize = 2;
/// One entry for the ages of zones.
const AGES_ENTRIES: usize = 1;
// A part of the map that is asked for fits into one answer, or the rest of it would never be learned.
const _: () = assert!(BATCH_CHUNKS + MIN_GOSSIP_ENTRIES + AGES_ENTRIES <= MAX_ENTRIES);

/// What goes with a message.
#[derive(Clone, Debug, Default)]
struct Entries {
    updates: Vec<Update>,
    facts: Vec<Fact>,
    zone_chunks: Vec<MapChunk>,
    wanted_batch: Option<MapBatch>,
    digest: Option<Digest>,
}

/// Members that count, and the part of them in each zone.
#[derive(Clone, Debug, Default, PartialEq)]
struct MemberCounts {
    counted: usize,
    zone_shares: Vec<f64>,
}

/// One router's membership and facts, and what bounds its datagrams.
pub struct Tier {
    limits: Limits,
    members: Members,
    facts: Facts,
    key: Option<Key>,
    zone: u8,
    /// By the member's number.
    senders: Vec<SenderState>,
    /// Bounds the datagrams that are sent out of turn.
    urgent: TokenBucket,
    /// What is known of whole zones, where this router judges them.
    evidence: Option<ZoneEvidence>,
    /// The version of the zone map by which the members' group statuses were last set.
    applied_map_version: u64,
    /// A part of the zone map that the sender of the present datagram has asked for.
    wanted_chunks: Option<WantedChunks>,
    /// What the sender of the present datagram knows, and asks for more than.
    pull_request: Option<PullRequest>,
    next_pull_at: f64,
    /// Whether the counts may differ from those that were last given.
    counts_changed: bool,
    /// The counts that were last given as an event.
    reported: MemberCounts,
    dropped: Dropped,
    sent: Sent,
}

impl Tier {
    /// A tier of which this router knows nothing yet but the roster.
    pub fn new(identity: Identity, seed: u64, key: Option<Key>, limits: Limits) -> Result<Tier, RosterError> {
        let Identity { local, roster_size, zone, started_at } = identity;
        let members = Members::new(local, roster_size, started_at, seed, limits.members)?;
        let evidence = zones::evidence(&limits, zone, local, roster_size, started_at as f64);
        let zone = zone.unwrap_or(NO_ZONE);
        let mut senders = vec![SenderState::default(); roster_size];
        if let Some(own) = senders.get_mut(usize::from(local)) {
            own.zone = zone;
        }
        Ok(Tier {
            members,
            facts: Facts::new(local, limits.facts),
            key,
            zone,
            senders,
            urgent: TokenBucket::new(limits.urgent_burst, limits.urgent_per_second),
            evidence,
            applied_map_version: 0,
            wanted_chunks: None,
            pull_request: None,
            next_pull_at: f64::NEG_INFINITY,
            counts_changed: true,
            reported: MemberCounts::default(),
            dropped: Dropped::default(),
            sent: Sent::default(),
            limits,
        })
    }

    /// This router's view of the members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The facts that this router keeps.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Datagrams and facts dropped so far.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Datagrams and bytes sent so far.
    pub fn sent(&self) -> Sent {
        self.sent
    }

    /// Advances the time; to be called some ten times a second.
    pub fn tick(&mut self, now: f64) -> Output {
        let mut output = Output::default();
        self.tick_zones(now, &mut output);
        let actions = self.members.tick(now);
        self.perform(now, actions, &mut output);
        self.send_urgent(now, &mut output);
        self.pull_facts(now, &mut output);
        self.facts.remove_expired(now);
        self.report_members(&mut output);
        output
    }

    /// Takes in what this router has observed itself.
    pub fn observe(&mut self, now: f64, observation: Observation) -> Output {
        let mut output = Output::default();
        if self.facts.observe(now, observation) {
            self.send_urgent(now, &mut output);
        }
        output
    }

    /// Takes in a datagram from this member's address.
    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) -> Output {
        let mut output = Output::default();
        let Some(datagram) = self.accept(now, from, bytes) else { return output };
        self.learn_zones(now, &datagram);
        self.note_pull_request(&datagram);
        for fact in &datagram.facts {
            match self.facts.receive(now, *fact) {
                Received::New => output.events.extend(self.event(now, fact)),
                Received::Known => {}
                Received::Rejected => self.dropped.rejected_facts += 1,
            }
        }
        let Datagram { incarnation, message, updates, .. } = datagram;
        let actions = self.members.receive(now, from, incarnation, message, &updates);
        self.perform(now, actions, &mut output);
        self.send_urgent(now, &mut output);
        output
    }

    /// Leaves the tier: tells some members, and sends nothing more afterwards.
    pub fn leave(&mut self, now: f64) -> Output {
        let mut output = Output::default();
        let actions = self.members.leave(self.limits.leave_fanout);
        self.perform(now, actions, &mut output);
        output
    }

    /// Decodes a datagram and notes the sender's zone; counts it as dropped where it can't be accepted.
    fn accept(&mut self, now: f64, from: u16, bytes: &[u8]) -> Option<Datagram> {
        let own = from == self.members.local();
        let Some(sender) = self.senders.get_mut(usize::from(from)).filter(|_| !own) else {
            self.dropped.stranger += 1;
            return None;
        };
        if !sender.accepts(now, self.limits.max_received_per_second) {
            self.dropped.too_many += 1;
            return None;
        }
        match decode(bytes, self.key.as_ref(), now) {
            Ok(datagram) if datagram.sender == from => {
                self.counts_changed |= sender.zone != datagram.zone;
                sender.zone = datagram.zone;
                Some(datagram)
            }
            Ok(_) => {
                self.dropped.stranger += 1;
                None
            }
            Err(error) => {
                self.dropped.count_error(error);
                None
            }
        }
    }

    /// What a new fact means for the router's decisions.
    fn event(&self, now: f64, fact: &Fact) -> Option<PeerFact> {
        let observed_at = fact.observed_at;
        match fact.observation {
            Observation::Primary { group, host } => Some(PeerFact::Primary { group, host, observed_at }),
            Observation::ReplicaLag { host, ms } => {
                Some(PeerFact::ReplicaLag { host, ms: f64::from(ms), observed_at })
            }
            Observation::Unresponsive { host } => {
                let reports = self.facts.unresponsive_reports(now, host);
                (reports >= self.limits.unresponsive_quorum).then_some(PeerFact::Unresponsive { host })
            }
            Observation::Slow { host, .. } => {
                let slow = self.facts.latency_ratio(now, host)?;
                Some(PeerFact::Slow { host, ratio: slow.ratio, reads: slow.reads })
            }
        }
    }

    fn perform(&mut self, now: f64, actions: Vec<Action>, output: &mut Output) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(now, to, message, output),
                Action::SendToSuspect { to, message } => {
                    let updates = self.members.updates_for(to, 1);
                    let entries = Entries { updates, ..Entries::default() };
                    self.send_entries(now, to, message, entries, output);
                }
                Action::StateChanged { member, state: State::Dead | State::Left } => {
                    self.counts_changed = true;
                    // A later process of this member is not held to what the earlier one sent.
                    if let Some(sender) = self.senders.get_mut(usize::from(member)) {
                        sender.reset_count();
                    }
                }
                Action::StateChanged { state: State::Alive | State::Suspect, .. } => {
                    self.counts_changed = true;
                }
            }
        }
    }

    /// Sends a message with the entries that the receiver has asked for, and as many updates and facts as fit.
    fn send(&mut self, now: f64, to: u16, message: Message, output: &mut Output) {
        let for_ages = if self.evidence.is_some() { AGES_ENTRIES } else { 0 };
        let zone_chunks = self.take_wanted_chunks(to);
        let room = MAX_ENTRIES - for_ages - zone_chunks.len();
        let for_updates = self.members.pending_updates().min(self.limits.max_updates).min(room / 2);
        let for_facts = room - for_updates;
        let facts = match self.take_pulled_facts(now, to, for_facts) {
            Some(missing) => missing,
            None => self.facts.facts_to_send(now, for_facts),
        };
        let updates = self.members.updates_for(to, room - facts.len());
        let entries = Entries { updates, facts, zone_chunks, ..Entries::default() };
        self.send_entries(now, to, message, entries, output);
    }

    /// Sends a message with these entries and the ages of the zones.
    fn send_entries(&mut self, now: f64, to: u16, message: Message, entries: Entries, output: &mut Output) {
        let datagram = Datagram {
            sender: self.members.local(),
            zone: self.zone,
            incarnation: self.members.incarnation(),
            message,
            updates: entries.updates,
            facts: entries.facts,
            zone_ages: self.evidence.as_ref().map(|evidence| evidence.ages(now)),
            zone_chunks: entries.zone_chunks,
            wanted_batch: entries.wanted_batch,
            digest: entries.digest,
        };
        let mut bytes = Vec::new();
        encode(&datagram, self.key.as_ref(), &mut bytes);
        self.sent.datagrams += 1;
        self.sent.bytes += bytes.len() as u64;
        output.datagrams.push(Outgoing { to, bytes });
    }

    /// Sends new facts and updates to a few members at once, if the token bucket allows it.
    fn send_urgent(&mut self, now: f64, output: &mut Output) {
        self.urgent.refill(now);
        let has_unsent = self.facts.has_unsent() || self.members.has_unsent_updates();
        if !has_unsent || !self.urgent.has(self.limits.fanout as f64) {
            return;
        }
        for to in self.gossip_targets(now, self.limits.fanout) {
            self.urgent.take_one();
            self.send(now, to, Message::Gossip, output);
        }
    }

    /// At most `count` random members to gossip with, but for those whose zone may be lost.
    fn gossip_targets(&mut self, now: f64, count: usize) -> Vec<u16> {
        let local = self.members.local();
        // Up to half of the fleet may be in doubt.
        let mut targets = self.members.random_members(2 * count, [local, local]);
        if let Some(evidence) = &self.evidence {
            targets.retain(|member| !evidence.is_in_stale_zone(now, *member));
        }
        targets.truncate(count);
        targets
    }

    /// Gives the number of members that count and their zones as an event, if they have changed.
    fn report_members(&mut self, output: &mut Output) {
        if !std::mem::take(&mut self.counts_changed) {
            return;
        }
        let counts = self.count_members();
        if self.reported == counts {
            return;
        }
        self.reported = counts.clone();
        output.events.push(PeerFact::Members { counted: counts.counted, zone_shares: counts.zone_shares });
    }

    fn count_members(&self) -> MemberCounts {
        let zone = |member: u16| {
            let first_hand = self.senders.get(usize::from(member))?.known_zone();
            first_hand.or_else(|| self.zone_map()?.zone(member).map(|zone| zone as u8))
        };
        let known: Vec<u8> = self.members.counted().filter_map(zone).collect();
        let mut zone_shares = vec![0.0; known.iter().max().map_or(0, |highest| usize::from(*highest) + 1)];
        for zone in &known {
            zone_shares[usize::from(*zone)] += 1.0 / known.len() as f64;
        }
        MemberCounts { counted: self.members.counted_size(), zone_shares }
    }
}

#[cfg(test)]
mod tests;
