//! Gossip datagrams of a tier: a message of the membership protocol, with as many updates about members and
//! facts about hosts piggybacked on it as fit. Bytes in and out, no I/O.
//!
//! The common header is followed by the sender (its member number, incarnation and zone), the message's
//! sequence number and target, and entries of 15 bytes. Timestamps of facts are encoded as the lowest 32 bits
//! of their whole ms and decoded as the nearest such time to the receiver's clock.

use crate::frame::{self, DecodeError, KIND, read_number};
use crate::key::Key;
use magpiewell_facts::{DIGEST_BYTES, Digest, Fact, Observation};
use magpiewell_members::{Incarnation, Message, State, Update};
use magpiewell_zones::{Age, Ages, CHUNK_MEMBERS, MAX_ZONES, MapBatch, MapChunk};
use std::ops::Range;

const SENDER: Range<usize> = 4..6;
const INCARNATION: Range<usize> = 6..16;
const NUMBER: Range<usize> = 16..20;
const TARGET: Range<usize> = 20..22;
const ZONE: usize = 22;
const REQUESTED_BATCH: usize = 23;
const HEADER_LENGTH: usize = 24;

/// Fills unused bytes: the last one of an update and two of an entry of zone ages.
const PADDING: u8 = 0;

const KIND_PING: u8 = 16;
const KIND_ACK: u8 = 17;
const KIND_PING_REQUEST: u8 = 18;
const KIND_GOSSIP: u8 = 19;

/// Offset of the entry's kind.
const ENTRY_KIND: usize = 0;
/// The member that an update is about, or the origin of a fact.
const ENTRY_MEMBER: Range<usize> = 1..3;
const UPDATE_INCARNATION: Range<usize> = 3..13;
const UPDATE_STATE: usize = 13;
const FACT_SUBJECT: Range<usize> = 3..7;
const FACT_VALUE: Range<usize> = 7..11;
const FACT_TIME: Range<usize> = 11..15;
const ENTRY_LENGTH: usize = 15;
/// Maximum number of entries in a datagram, with room for the hash.
pub const MAX_ENTRIES: usize = frame::max_entries(HEADER_LENGTH, ENTRY_LENGTH);

const ENTRY_UPDATE: u8 = 0;
const ENTRY_PRIMARY: u8 = 1;
const ENTRY_REPLICA_LAG: u8 = 2;
const ENTRY_UNRESPONSIVE: u8 = 3;
const ENTRY_SLOW: u8 = 4;
const ENTRY_ZONE_AGES: u8 = 5;
const ENTRY_ZONE_MAP: u8 = 6;
const ENTRY_DIGEST: u8 = 7;

/// The first member that a chunk of the zone map covers.
const CHUNK_FIRST: Range<usize> = 1..3;
/// The ages of zones, one byte each, or the zones of members, four bits each.
const ZONE_DATA: Range<usize> = 3..15;
/// The index of the part of the digest that an entry holds.
const DIGEST_PART: usize = 1;
/// The digest's salt, the same in all parts.
const DIGEST_SALT: usize = 2;
const DIGEST_DATA: Range<usize> = 3..15;
const DIGEST_PART_BYTES: usize = DIGEST_DATA.end - DIGEST_DATA.start;
/// Number of entries that a digest occupies.
pub const DIGEST_ENTRIES: usize = DIGEST_BYTES / DIGEST_PART_BYTES;
/// The header's value if no batch of the zone map is requested; otherwise it is the batch number plus one.
const NO_BATCH: u8 = 0;

const STATE_ALIVE: u8 = 0;
const STATE_SUSPECT: u8 = 1;
const STATE_DEAD: u8 = 2;
const STATE_LEFT: u8 = 3;

/// Length of the encoded start time of an incarnation, in bytes.
const STARTED_AT_LENGTH: usize = 6;

/// The sender's zone in the header if the sender doesn't know its zone.
pub const NO_ZONE: u8 = u8::MAX;

/// The contents of a tier datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender's member number: its index in the roster.
    pub sender: u16,
    /// The sender's zone, or [`NO_ZONE`].
    pub zone: u8,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message of the membership protocol.
    pub message: Message,
    /// Updates about members.
    pub updates: Vec<Update>,
    /// Facts about groups and hosts.
    pub facts: Vec<Fact>,
    /// The age of the latest sign of life that the sender knows of each zone.
    pub zone_ages: Option<Ages>,
    /// Chunks of the sender's zone map.
    pub zone_chunks: Vec<MapChunk>,
    /// A batch of the zone map that the sender lacks and requests.
    pub requested_batch: Option<MapBatch>,
    /// A digest of the primaries that the sender knows: a request for those it lacks.
    pub digest: Option<Digest>,
}

/// Encodes a datagram. Entries beyond [`MAX_ENTRIES`] are omitted: chunks of the zone map first, then facts,
/// then updates.
pub fn encode(datagram: &Datagram, key: Option<&Key>, bytes: &mut Vec<u8>) {
    let (kind, number, target) = match datagram.message {
        Message::Ping { number } => (KIND_PING, number, 0),
        Message::Ack { number } => (KIND_ACK, number, 0),
        Message::PingRequest { number, target } => (KIND_PING_REQUEST, number, target),
        Message::Gossip => (KIND_GOSSIP, 0, 0),
    };
    frame::begin(kind, bytes);
    bytes.extend_from_slice(&datagram.sender.to_be_bytes());
    encode_incarnation(datagram.incarnation, bytes);
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(&target.to_be_bytes());
    let requested = datagram.requested_batch.map_or(NO_BATCH, |batch| batch.0.saturating_add(1));
    bytes.extend_from_slice(&[datagram.zone, requested]);
    datagram.zone_ages.iter().for_each(|ages| encode_zone_ages(ages, bytes));
    datagram.digest.iter().for_each(|digest| encode_digest(digest, bytes));
    let mut count = usize::from(datagram.zone_ages.is_some());
    count += datagram.digest.map_or(0, |_| DIGEST_ENTRIES);
    let updates = datagram.updates.len().min(MAX_ENTRIES - count);
    datagram.updates.iter().take(updates).for_each(|update| encode_update(update, bytes));
    count += updates;
    let facts = datagram.facts.len().min(MAX_ENTRIES - count);
    datagram.facts.iter().take(facts).for_each(|fact| encode_fact(fact, bytes));
    count += facts;
    let chunks = datagram.zone_chunks.len().min(MAX_ENTRIES - count);
    datagram.zone_chunks.iter().take(chunks).for_each(|chunk| encode_zone_chunk(chunk, bytes));
    count += chunks;
    frame::finish(count, key, bytes);
}

fn encode_incarnation(incarnation: Incarnation, bytes: &mut Vec<u8>) {
    let started_at = incarnation.started_at.to_be_bytes();
    bytes.extend_from_slice(&started_at[started_at.len() - STARTED_AT_LENGTH..]);
    bytes.extend_from_slice(&incarnation.refutations.to_be_bytes());
}

fn encode_update(update: &Update, bytes: &mut Vec<u8>) {
    let state = match update.state {
        State::Alive => STATE_ALIVE,
        State::Suspect => STATE_SUSPECT,
        State::Dead => STATE_DEAD,
        State::Left => STATE_LEFT,
    };
    bytes.push(ENTRY_UPDATE);
    bytes.extend_from_slice(&update.member.to_be_bytes());
    encode_incarnation(update.incarnation, bytes);
    bytes.extend_from_slice(&[state, PADDING]);
}

fn encode_fact(fact: &Fact, bytes: &mut Vec<u8>) {
    let (kind, subject, value) = match fact.observation {
        Observation::Primary { group, host } => (ENTRY_PRIMARY, group, host),
        Observation::ReplicaLag { host, lag_ms } => (ENTRY_REPLICA_LAG, host, lag_ms),
        Observation::Unresponsive { host } => (ENTRY_UNRESPONSIVE, host, 0),
        Observation::Slow { host, latency_percent, reads } => {
            (ENTRY_SLOW, host, u32::from(latency_percent) << 16 | u32::from(reads))
        }
    };
    bytes.push(kind);
    bytes.extend_from_slice(&fact.origin.to_be_bytes());
    bytes.extend_from_slice(&subject.to_be_bytes());
    bytes.extend_from_slice(&value.to_be_bytes());
    bytes.extend_from_slice(&low_bits(fact.observed_at).to_be_bytes());
}

fn encode_zone_ages(ages: &Ages, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(&[ENTRY_ZONE_AGES, PADDING, PADDING]);
    bytes.extend(ages.iter().map(|age| age.0));
}

fn encode_zone_chunk(chunk: &MapChunk, bytes: &mut Vec<u8>) {
    bytes.push(ENTRY_ZONE_MAP);
    bytes.extend_from_slice(&chunk.first.to_be_bytes());
    bytes.extend(chunk.zones.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1] & 0x0f));
}

fn encode_digest(digest: &Digest, bytes: &mut Vec<u8>) {
    for (part, data) in (0u8..).zip(digest.bits.chunks_exact(DIGEST_PART_BYTES)) {
        bytes.extend_from_slice(&[ENTRY_DIGEST, part, digest.salt]);
        bytes.extend_from_slice(data);
    }
}

/// The lowest 32 bits of a timestamp in whole ms.
fn low_bits(time: f64) -> u32 {
    time.max(0.0) as u64 as u32
}

/// The timestamp nearest to `now` whose whole ms have these lowest 32 bits.
fn nearest_time(now: f64, low_bits: u32) -> f64 {
    let base = now.clamp(0.0, 1e15) as u64;
    let offset = low_bits.wrapping_sub(base as u32) as i32;
    base as f64 + f64::from(offset)
}

/// Decodes a tier datagram that was received at `now`, in Unix ms.
pub fn decode(bytes: &[u8], key: Option<&Key>, now: f64) -> Result<Datagram, DecodeError> {
    let (header, entries) = frame::parse(bytes, key, HEADER_LENGTH, ENTRY_LENGTH)?;
    let message = decode_message(header)?;
    let (mut updates, mut facts) = (Vec::new(), Vec::new());
    let (mut zone_ages, mut zone_chunks) = (None, Vec::new());
    let mut digest_parts = Vec::new();
    for entry in entries.chunks_exact(ENTRY_LENGTH) {
        match entry[ENTRY_KIND] {
            ENTRY_UPDATE => updates.push(decode_update(entry)?),
            ENTRY_ZONE_AGES if zone_ages.is_none() => zone_ages = Some(decode_zone_ages(entry)),
            ENTRY_DIGEST => digest_parts.push(entry),
            ENTRY_ZONE_MAP => zone_chunks.push(decode_zone_chunk(entry)),
            _ => facts.push(decode_fact(entry, now)?),
        }
    }
    let sender = read_number(&header[SENDER]) as u16;
    let incarnation = decode_incarnation(&header[INCARNATION]);
    let zone = header[ZONE];
    let requested_batch = header[REQUESTED_BATCH].checked_sub(1).map(MapBatch);
    Ok(Datagram {
        sender,
        zone,
        incarnation,
        message,
        updates,
        facts,
        zone_ages,
        zone_chunks,
        requested_batch,
        digest: decode_digest(&digest_parts)?,
    })
}

/// Decodes the digest from its entries, all of which must be present and in order; `None` if there are none.
fn decode_digest(parts: &[&[u8]]) -> Result<Option<Digest>, DecodeError> {
    let Some(first) = parts.first() else { return Ok(None) };
    let mut digest = Digest::empty(first[DIGEST_SALT]);
    if parts.len() != DIGEST_ENTRIES {
        return Err(DecodeError::Length);
    }
    let data = digest.bits.chunks_exact_mut(DIGEST_PART_BYTES);
    for ((number, part), bits) in (0u8..).zip(parts).zip(data) {
        if part[DIGEST_PART] != number || part[DIGEST_SALT] != digest.salt {
            return Err(DecodeError::Kind);
        }
        bits.copy_from_slice(&part[DIGEST_DATA]);
    }
    Ok(Some(digest))
}

fn decode_zone_ages(entry: &[u8]) -> Ages {
    let mut ages = [Age::UNKNOWN; MAX_ZONES];
    for (age, byte) in ages.iter_mut().zip(&entry[ZONE_DATA]) {
        *age = Age(*byte);
    }
    ages
}

fn decode_zone_chunk(entry: &[u8]) -> MapChunk {
    let mut zones = [MapChunk::UNKNOWN; CHUNK_MEMBERS];
    for (pair, byte) in zones.chunks_exact_mut(2).zip(&entry[ZONE_DATA]) {
        pair.copy_from_slice(&[byte >> 4, byte & 0x0f]);
    }
    MapChunk { first: read_number(&entry[CHUNK_FIRST]) as u16, zones }
}

fn decode_message(header: &[u8]) -> Result<Message, DecodeError> {
    let number = read_number(&header[NUMBER]) as u32;
    let target = read_number(&header[TARGET]) as u16;
    match header[KIND] {
        KIND_PING => Ok(Message::Ping { number }),
        KIND_ACK => Ok(Message::Ack { number }),
        KIND_PING_REQUEST => Ok(Message::PingRequest { number, target }),
        KIND_GOSSIP => Ok(Message::Gossip),
        _ => Err(DecodeError::Kind),
    }
}

fn decode_incarnation(bytes: &[u8]) -> Incarnation {
    let (started_at, refutations) = bytes.split_at(STARTED_AT_LENGTH);
    Incarnation { started_at: read_number(started_at), refutations: read_number(refutations) as u32 }
}

fn decode_update(entry: &[u8]) -> Result<Update, DecodeError> {
    let state = match entry[UPDATE_STATE] {
        STATE_ALIVE => State::Alive,
        STATE_SUSPECT => State::Suspect,
        STATE_DEAD => State::Dead,
        STATE_LEFT => State::Left,
        _ => return Err(DecodeError::Kind),
    };
    let member = read_number(&entry[ENTRY_MEMBER]) as u16;
    Ok(Update { member, incarnation: decode_incarnation(&entry[UPDATE_INCARNATION]), state })
}

fn decode_fact(entry: &[u8], now: f64) -> Result<Fact, DecodeError> {
    let subject = read_number(&entry[FACT_SUBJECT]) as u32;
    let value = read_number(&entry[FACT_VALUE]) as u32;
    let observation = match entry[ENTRY_KIND] {
        ENTRY_PRIMARY => Observation::Primary { group: subject, host: value },
        ENTRY_REPLICA_LAG => Observation::ReplicaLag { host: subject, lag_ms: value },
        ENTRY_UNRESPONSIVE => Observation::Unresponsive { host: subject },
        ENTRY_SLOW => {
            Observation::Slow { host: subject, latency_percent: (value >> 16) as u16, reads: value as u16 }
        }
        _ => return Err(DecodeError::Kind),
    };
    let origin = read_number(&entry[ENTRY_MEMBER]) as u16;
    Ok(Fact { observation, origin, observed_at: nearest_time(now, read_number(&entry[FACT_TIME]) as u32) })
}

#[cfg(test)]
mod tests;
