//! Datagrams by which routers of a tier tell one another about members and hosts: a membership message, and
//! as many updates and facts as fit. Bytes in and out, no I/O.
//!
//! Behind the common header the sender (its number, incarnation and zone) and the message's numbers, then
//! entries of 15 bytes. Times of facts are encoded by their lowest 32 bits in whole ms and decoded as the
//! nearest such time to the reader's clock.

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
const WANTED_BATCH: usize = 23;
const HEADER_LENGTH: usize = 24;

/// Fills an update's last byte, and what an entry of zones doesn't use.
const PADDING: u8 = 0;

const KIND_PING: u8 = 16;
const KIND_ACK: u8 = 17;
const KIND_PING_REQUEST: u8 = 18;
const KIND_GOSSIP: u8 = 19;

/// Offset of the byte that says of what kind an entry is.
const ENTRY_KIND: usize = 0;
/// The member that an update is about, or the origin of a fact.
const ENTRY_MEMBER: Range<usize> = 1..3;
const UPDATE_INCARNATION: Range<usize> = 3..13;
const UPDATE_STATE: usize = 13;
const FACT_SUBJECT: Range<usize> = 3..7;
const FACT_VALUE: Range<usize> = 7..11;
const FACT_TIME: Range<usize> = 11..15;
const ENTRY_LENGTH: usize = 15;
/// Entries that fit into one datagram, with room for the hash.
pub const MAX_ENTRIES: usize = frame::max_entries(HEADER_LENGTH, ENTRY_LENGTH);

const ENTRY_UPDATE: u8 = 0;
const ENTRY_PRIMARY: u8 = 1;
const ENTRY_REPLICA_LAG: u8 = 2;
const ENTRY_UNRESPONSIVE: u8 = 3;
const ENTRY_SLOW: u8 = 4;
const ENTRY_ZONE_AGES: u8 = 5;
const ENTRY_ZONE_MAP: u8 = 6;
const ENTRY_DIGEST: u8 = 7;

/// The first member of a chunk of the zone map.
const CHUNK_FIRST: Range<usize> = 1..3;
/// The ages of zones, a byte each, or the zones of members, four bits each.
const ZONE_DATA: Range<usize> = 3..15;
/// The number of a part of a digest, and the digest's salt.
const DIGEST_PART: usize = 1;
const DIGEST_SALT: usize = 2;
const DIGEST_DATA: Range<usize> = 3..15;
const DIGEST_PART_BYTES: usize = DIGEST_DATA.end - DIGEST_DATA.start;
/// Entries that a digest takes.
pub const DIGEST_ENTRIES: usize = DIGEST_BYTES / DIGEST_PART_BYTES;
/// Stands in the header where no part of the zone map is asked for; else it is the number of the part, plus one.
const NO_BATCH: u8 = 0;

const STATE_ALIVE: u8 = 0;
const STATE_SUSPECT: u8 = 1;
const STATE_DEAD: u8 = 2;
const STATE_LEFT: u8 = 3;

/// Length of the encoded start time of an incarnation, in bytes.
const STARTED_LENGTH: usize = 6;

/// What a sender gives as its zone where it knows none.
pub const NO_ZONE: u8 = u8::MAX;

/// The contents of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender's number in the roster.
    pub sender: u16,
    /// The sender's zone, or [`NO_ZONE`].
    pub zone: u8,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The membership protocol's message.
    pub message: Message,
    /// Updates about members.
    pub updates: Vec<Update>,
    /// Facts about groups and hosts.
    pub facts: Vec<Fact>,
    /// How old the sender's latest signs of life of each zone are.
    pub zone_ages: Option<Ages>,
    /// Parts of the sender's map of zones.
    pub zone_chunks: Vec<MapChunk>,
    /// A part of the map of zones that the sender lacks.
    pub wanted_batch: Option<MapBatch>,
    /// The primaries that the sender knows: it asks for others.
    pub digest: Option<Digest>,
}

/// Encodes a datagram. Entries beyond [`MAX_ENTRIES`] are left out: of the zone map first, then
/// facts, then updates.
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
    let wanted = datagram.wanted_batch.map_or(NO_BATCH, |batch| batch.0.saturating_add(1));
    bytes.extend_from_slice(&[datagram.zone, wanted]);
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
    let started = incarnation.started_at.to_be_bytes();
    bytes.extend_from_slice(&started[started.len() - STARTED_LENGTH..]);
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
        Observation::ReplicaLag { host, ms } => (ENTRY_REPLICA_LAG, host, ms),
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

/// The lowest 32 bits of a time in whole ms.
fn low_bits(time: f64) -> u32 {
    time.max(0.0) as u64 as u32
}

/// The time nearest to now with these lowest 32 bits of whole ms.
fn nearest_time(now: f64, low_bits: u32) -> f64 {
    let base = now.clamp(0.0, 1e15) as u64;
    let offset = low_bits.wrapping_sub(base as u32) as i32;
    base as f64 + f64::from(offset)
}

/// Decodes a datagram received at this time, in Unix ms.
pub fn decode(bytes: &[u8], key: Option<&Key>, now: f64) -> Result<Datagram, DecodeError> {
    let (header, entries) = frame::open(bytes, key, HEADER_LENGTH, ENTRY_LENGTH)?;
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
    let wanted_batch = header[WANTED_BATCH].checked_sub(1).map(MapBatch);
    Ok(Datagram {
        sender,
        zone,
        incarnation,
        message,
        updates,
        facts,
        zone_ages,
        zone_chunks,
        wanted_batch,
        digest: decode_digest(&digest_parts)?,
    })
}

/// The digest of which these are the entries, if there are any; they come whole and in order.
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
    let (started, refutations) = bytes.split_at(STARTED_LENGTH);
    Incarnation { started_at: read_number(started), refutations: read_number(refutations) as u32 }
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
        ENTRY_REPLICA_LAG => Observation::ReplicaLag { host: subject, ms: value },
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
