//! The gossip state machine of one router in its tier: membership and facts in datagrams of at most 256
//! bytes. Datagrams in, datagrams and events out; no I/O, no clock, no threads. Times are Unix ms.
//!
//! Updates and facts are piggybacked on the membership protocol's messages, which are sent at a steady rate.
//! New facts and updates are also sent immediately to a few members, which forward them immediately to a few
//! others. A token bucket bounds these additional datagrams in all situations. A datagram that can't be
//! decoded, comes from outside the roster or carries another member's number is dropped and counted. The rate
//! limit on received datagrams applies to each sender separately, so that one sender can't use up another
//! one's share.

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
use zones::ChunkRequest;

/// The identity of this router in its tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its member number: its index in the roster.
    pub local: u16,
    /// Number of members in the roster.
    pub roster_size: usize,
    /// Its zone, if known.
    pub zone: Option<u8>,
    /// Start time of its process, in Unix ms.
    pub started_at: u64,
}

/// Entries of a datagram that remain for updates and facts, whatever else it carries.
const MIN_GOSSIP_ENTRIES: usize = 2;
/// Entries that the ages of zones occupy.
const ZONE_AGES_ENTRIES: usize = 1;
// A requested batch of the zone map has to fit into one datagram: what is omitted would never be learned.
const _: () = assert!(BATCH_CHUNKS + MIN_GOSSIP_ENTRIES + ZONE_AGES_ENTRIES <= MAX_ENTRIES);

/// The entries piggybacked on a message.
#[derive(Clone, Debug, Default)]
struct Entries {
    updates: Vec<Update>,
    facts: Vec<Fact>,
    zone_chunks: Vec<MapChunk>,
    requested_batch: Option<MapBatch>,
    digest: Option<Digest>,
}

/// Number of counted members, and the share of them in each zone.
#[derive(Clone, Debug, Default, PartialEq)]
struct MemberCounts {
    counted: usize,
    zone_shares: Vec<f64>,
}

/// One router's view of its tier: members, facts and zones, with the limits on its datagrams.
pub struct Tier {
    limits: Limits,
    members: Members,
    facts: Facts,
    key: Option<Key>,
    zone: u8,
    /// Indexed by member number.
    senders: Vec<SenderState>,
    /// Limits the datagrams that are sent outside the membership protocol's regular schedule.
    urgent_tokens: TokenBucket,
    /// Failure detector for whole zones; `None` if disabled.
    evidence: Option<ZoneEvidence>,
    /// Version of the zone map when the members' group statuses were last set.
    applied_map_version: u64,
    /// The request for chunks of the zone map in the latest datagram, until it is answered.
    chunk_request: Option<ChunkRequest>,
    /// The request for missing primaries in the latest datagram, until it is answered.
    pull_request: Option<PullRequest>,
    next_pull_at: f64,
    /// Whether the counts may differ from those last reported.
    counts_changed: bool,
    /// The counts last reported as an event.
    reported_counts: MemberCounts,
    dropped: Dropped,
    sent: Sent,
}

impl Tier {
    /// Creates the state of a router that has just started and knows only the roster.
    pub fn new(identity: Identity, seed: u64, key: Option<Key>, limits: Limits) -> Result<Tier, RosterError> {
        let Identity { local, roster_size, zone, started_at } = identity;
        let members = Members::new(local, roster_size, started_at, seed, limits.members)?;
        let evidence = zones::evidence(&limits, zone, local, roster_size, started_at as f64);
        let zone = zone.unwrap_or(NO_ZONE);
        let mut senders = vec![SenderState::default(); roster_size];
        if let Some(local_sender) = senders.get_mut(usize::from(local)) {
            local_sender.zone = zone;
        }
        Ok(Tier {
            members,
            facts: Facts::new(local, limits.facts),
            key,
            zone,
            senders,
            urgent_tokens: TokenBucket::new(limits.urgent_burst, limits.urgent_per_second),
            evidence,
            applied_map_version: 0,
            chunk_request: None,
            pull_request: None,
            next_pull_at: f64::NEG_INFINITY,
            counts_changed: true,
            reported_counts: MemberCounts::default(),
            dropped: Dropped::default(),
            sent: Sent::default(),
            limits,
        })
    }

    /// This router's view of the members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The facts that this router has stored.
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

    /// Advances the time. To be called about ten times a second.
    pub fn tick(&mut self, now: f64) -> Output {
        let mut output = Output::default();
        self.tick_zones(now, &mut output);
        let actions = self.members.tick(now);
        self.perform_actions(now, actions, &mut output);
        self.send_urgent(now, &mut output);
        self.pull_facts(now, &mut output);
        self.facts.remove_expired(now);
        self.report_members(&mut output);
        output
    }

    /// Records an observation that this router made itself.
    pub fn observe(&mut self, now: f64, observation: Observation) -> Output {
        let mut output = Output::default();
        if self.facts.observe(now, observation) {
            self.send_urgent(now, &mut output);
        }
        output
    }

    /// Processes a datagram received from the address of member `from`.
    pub fn receive(&mut self, now: f64, from: u16, bytes: &[u8]) -> Output {
        let mut output = Output::default();
        let Some(datagram) = self.accept(now, from, bytes) else { return output };
        self.process_zone_data(now, &datagram);
        self.record_pull_request(&datagram);
        for fact in &datagram.facts {
            match self.facts.receive(now, *fact) {
                Received::New => output.events.extend(self.peer_fact(now, fact)),
                Received::Known => {}
                Received::Rejected => self.dropped.rejected_facts += 1,
            }
        }
        let Datagram { incarnation, message, updates, .. } = datagram;
        let actions = self.members.receive(now, from, incarnation, message, &updates);
        self.perform_actions(now, actions, &mut output);
        self.send_urgent(now, &mut output);
        output
    }

    /// Leaves the tier: announces it to some members. The membership protocol sends nothing afterwards.
    pub fn leave(&mut self, now: f64) -> Output {
        let mut output = Output::default();
        let actions = self.members.leave(self.limits.leave_fanout);
        self.perform_actions(now, actions, &mut output);
        output
    }

    /// Checks and decodes a datagram and records the sender's zone; counts it as dropped if it is rejected.
    fn accept(&mut self, now: f64, from: u16, bytes: &[u8]) -> Option<Datagram> {
        let is_own = from == self.members.local();
        let Some(sender) = self.senders.get_mut(usize::from(from)).filter(|_| !is_own) else {
            self.dropped.stranger += 1;
            return None;
        };
        if !sender.try_accept(now, self.limits.max_received_per_second) {
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

    /// The event to report for a new fact; `None` if it doesn't affect the router's decisions yet.
    fn peer_fact(&self, now: f64, fact: &Fact) -> Option<PeerFact> {
        let observed_at = fact.observed_at;
        match fact.observation {
            Observation::Primary { group, host } => Some(PeerFact::Primary { group, host, observed_at }),
            Observation::ReplicaLag { host, lag_ms } => {
                Some(PeerFact::ReplicaLag { host, lag_ms: f64::from(lag_ms), observed_at })
            }
            Observation::Unresponsive { host } => {
                let reports = self.facts.unresponsive_reports(now, host);
                (reports >= self.limits.unresponsive_quorum).then_some(PeerFact::Unresponsive { host })
            }
            Observation::Slow { host, .. } => {
                let latency = self.facts.latency_ratio(now, host)?;
                Some(PeerFact::Slow { host, ratio: latency.ratio, reads: latency.reads })
            }
        }
    }

    fn perform_actions(&mut self, now: f64, actions: Vec<Action>, output: &mut Output) {
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
                    // The member's next process must not be limited by what this one has sent.
                    if let Some(sender) = self.senders.get_mut(usize::from(member)) {
                        sender.reset_rate();
                    }
                }
                Action::StateChanged { state: State::Alive | State::Suspect, .. } => {
                    self.counts_changed = true;
                }
            }
        }
    }

    /// Sends a message with the entries that the recipient requested, and as many updates and facts as fit.
    fn send(&mut self, now: f64, to: u16, message: Message, output: &mut Output) {
        let age_entries = if self.evidence.is_some() { ZONE_AGES_ENTRIES } else { 0 };
        let zone_chunks = self.take_requested_chunks(to);
        let room = MAX_ENTRIES - age_entries - zone_chunks.len();
        let reserved_for_updates =
            self.members.pending_updates().min(self.limits.max_reserved_for_updates).min(room / 2);
        let max_facts = room - reserved_for_updates;
        let facts = match self.take_pulled_facts(now, to, max_facts) {
            Some(missing) => missing,
            None => self.facts.facts_to_send(now, max_facts),
        };
        let updates = self.members.updates_for(to, room - facts.len());
        let entries = Entries { updates, facts, zone_chunks, ..Entries::default() };
        self.send_entries(now, to, message, entries, output);
    }

    /// Sends a message with these entries and, if zones are monitored, their ages.
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
            requested_batch: entries.requested_batch,
            digest: entries.digest,
        };
        let mut bytes = Vec::new();
        encode(&datagram, self.key.as_ref(), &mut bytes);
        self.sent.datagrams += 1;
        self.sent.bytes += bytes.len() as u64;
        output.datagrams.push(Outgoing { to, bytes });
    }

    /// Sends new facts and updates to a few members without delay, if the token bucket allows it.
    fn send_urgent(&mut self, now: f64, output: &mut Output) {
        self.urgent_tokens.refill(now);
        let has_unsent = self.facts.has_unsent() || self.members.has_unsent_updates();
        if !has_unsent || !self.urgent_tokens.has_tokens(self.limits.fanout as f64) {
            return;
        }
        for to in self.gossip_targets(now, self.limits.fanout) {
            self.urgent_tokens.take_one();
            self.send(now, to, Message::Gossip, output);
        }
    }

    /// At most `count` random members to gossip with, none of them in a zone whose latest sign of life is
    /// stale.
    fn gossip_targets(&mut self, now: f64, count: usize) -> Vec<u16> {
        let local = self.members.local();
        // Draws twice as many as needed: up to half of the fleet may be in such zones.
        let mut targets = self.members.random_members(2 * count, [local, local]);
        if let Some(evidence) = &self.evidence {
            targets.retain(|member| !evidence.is_in_stale_zone(now, *member));
        }
        targets.truncate(count);
        targets
    }

    /// Reports the number of counted members and their zone shares as an event, if they have changed.
    fn report_members(&mut self, output: &mut Output) {
        if !std::mem::take(&mut self.counts_changed) {
            return;
        }
        let counts = self.count_members();
        if self.reported_counts == counts {
            return;
        }
        self.reported_counts = counts.clone();
        output.events.push(PeerFact::Members { counted: counts.counted, zone_shares: counts.zone_shares });
    }

    fn count_members(&self) -> MemberCounts {
        let zone = |member: u16| {
            let self_reported = self.senders.get(usize::from(member))?.known_zone();
            self_reported.or_else(|| self.zone_map()?.zone(member).map(|zone| zone as u8))
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
