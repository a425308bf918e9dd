//! Datagrams by which routers of a tier tell one another about members and hosts: a membership message, and
//! as many updates and facts as fit. Bytes in and out, no I/O.
//!
//! Behind the common header the sender (its number, incarnation and zone) and the message's numbers, then
//! entries of 15 bytes. Times of facts are encoded by their lowest 32 bits in whole ms and decoded as the
//! nearest such time to the reader's clock.

use crate::frame::{self, DecodeError, KIND, read_number};
use crate::key::Key;
use magpiewell_facts::{Fact, Observation};
use magpiewell_members::{Incarnation, Message, State, Update};
use std::ops::Range;

const SENDER: Range<usize> = 4..6;
const INCARNATION: Range<usize> = 6..16;
const NUMBER: Range<usize> = 16..20;
const TARGET: Range<usize> = 20..22;
const ZONE: usize = 22;
const HEADER_LENGTH: usize = 24;

/// Fills the header's and an update's last byte.
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
}

/// Encodes a datagram. Entries beyond [`MAX_ENTRIES`] are left out, facts first.
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
    bytes.extend_from_slice(&[datagram.zone, PADDING]);
    let updates = datagram.updates.len().min(MAX_ENTRIES);
    datagram.updates.iter().take(updates).for_each(|update| encode_update(update, bytes));
    let facts = datagram.facts.len().min(MAX_ENTRIES - updates);
    datagram.facts.iter().take(facts).for_each(|fact| encode_fact(fact, bytes));
    frame::finish(updates + facts, key, bytes);
}

fn encode_incarnation(incarnation: Incarnation, bytes: &mut Vec<u8>) {
    let started = incarnation.started.to_be_bytes();
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
        Observation::Slow { host, hundredths, reads } => {
            (ENTRY_SLOW, host, u32::from(hundredths) << 16 | u32::from(reads))
        }
    };
    bytes.push(kind);
    bytes.extend_from_slice(&fact.origin.to_be_bytes());
    bytes.extend_from_slice(&subject.to_be_bytes());
    bytes.extend_from_slice(&value.to_be_bytes());
    bytes.extend_from_slice(&low_bits(fact.observed_at).to_be_bytes());
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
    for entry in entries.chunks_exact(ENTRY_LENGTH) {
        if entry[ENTRY_KIND] == ENTRY_UPDATE {
            updates.push(decode_update(entry)?);
        } else {
            facts.push(decode_fact(entry, now)?);
        }
    }
    let sender = read_number(&header[SENDER]) as u16;
    let incarnation = decode_incarnation(&header[INCARNATION]);
    Ok(Datagram { sender, zone: header[ZONE], incarnation, message, updates, facts })
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
    Incarnation { started: read_number(started), refutations: read_number(refutations) as u32 }
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
            Observation::Slow { host: subject, hundredths: (value >> 16) as u16, reads: value as u16 }
        }
        _ => return Err(DecodeError::Kind),
    };
    let origin = read_number(&entry[ENTRY_MEMBER]) as u16;
    Ok(Fact { observation, origin, observed_at: nearest_time(now, read_number(&entry[FACT_TIME]) as u32) })
}

#[cfg(test)]
mod tests;
