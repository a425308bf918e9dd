//! Datagrams by which routers ask one another from what positions on sessions see their writes.
//!
//! Behind the common header the incarnation of the router that asks (eight bytes), then entries of 16 bytes.
//! An answer to another incarnation of the same router means nothing to this one. An old datagram that is
//! sent again changes nothing: requests change nothing, and a reply counts for one open request of one
//! incarnation only.

use crate::frame::{self, COUNT, DecodeError, KIND, read_number};
use crate::key::Key;
use std::ops::Range;

const INCARNATION: Range<usize> = 4..12;
const HEADER_LENGTH: usize = 12;

const ENTRY_REQUEST: Range<usize> = 0..8;
const ENTRY_VALUE: Range<usize> = 8..16;
const ENTRY_LENGTH: usize = 16;
/// Entries that fit into one datagram, with room for the hash.
pub const MAX_ENTRIES: usize = frame::max_entries(HEADER_LENGTH, ENTRY_LENGTH);

const KIND_REQUESTS: u8 = 1;
const KIND_REPLIES: u8 = 2;
const KIND_PING: u8 = 3;
const KIND_ACK: u8 = 4;

/// The contents of one datagram. `incarnation` is that of the router that asked.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionMessage {
    /// From what positions on do these sessions see their writes?
    Requests { incarnation: u64, requests: Vec<PositionRequest> },
    /// Answers to requests.
    Replies { incarnation: u64, replies: Vec<PositionReply> },
    /// Asks for an [`SessionMessage::Ack`].
    Ping { incarnation: u64 },
    /// Answers a ping.
    Ack { incarnation: u64 },
}

/// A question about one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionRequest {
    /// The number of this request.
    pub request: u64,
    /// The session asked about.
    pub session: u64,
}

/// The answer to one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PositionReply {
    /// The number of the request.
    pub request: u64,
    /// The log position from which on the session sees its writes.
    pub position: f64,
}

impl SessionMessage {
    fn kind(&self) -> u8 {
        match self {
            SessionMessage::Requests { .. } => KIND_REQUESTS,
            SessionMessage::Replies { .. } => KIND_REPLIES,
            SessionMessage::Ping { .. } => KIND_PING,
            SessionMessage::Ack { .. } => KIND_ACK,
        }
    }

    fn incarnation(&self) -> u64 {
        match self {
            SessionMessage::Requests { incarnation, .. }
            | SessionMessage::Replies { incarnation, .. }
            | SessionMessage::Ping { incarnation }
            | SessionMessage::Ack { incarnation } => *incarnation,
        }
    }
}

/// Encodes a message. Entries beyond [`MAX_ENTRIES`] are left out: whoever has more encodes more datagrams.
pub fn encode(message: &SessionMessage, key: Option<&Key>, bytes: &mut Vec<u8>) {
    frame::begin(message.kind(), bytes);
    bytes.extend_from_slice(&message.incarnation().to_be_bytes());
    let mut push = |request: u64, value: u64| {
        bytes.extend_from_slice(&request.to_be_bytes());
        bytes.extend_from_slice(&value.to_be_bytes());
    };
    let count = match message {
        SessionMessage::Requests { requests, .. } => {
            requests.iter().take(MAX_ENTRIES).for_each(|entry| push(entry.request, entry.session));
            requests.len().min(MAX_ENTRIES)
        }
        SessionMessage::Replies { replies, .. } => {
            replies.iter().take(MAX_ENTRIES).for_each(|entry| push(entry.request, entry.position.to_bits()));
            replies.len().min(MAX_ENTRIES)
        }
        SessionMessage::Ping { .. } | SessionMessage::Ack { .. } => 0,
    };
    frame::finish(count, key, bytes);
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8], key: Option<&Key>) -> Result<SessionMessage, DecodeError> {
    let (header, entries) = frame::open(bytes, key, HEADER_LENGTH, ENTRY_LENGTH)?;
    let incarnation = read_number(&header[INCARNATION]);
    match header[KIND] {
        KIND_REQUESTS => {
            let requests = entries.chunks_exact(ENTRY_LENGTH).map(decode_request).collect();
            Ok(SessionMessage::Requests { incarnation, requests })
        }
        KIND_REPLIES => {
            let replies = entries.chunks_exact(ENTRY_LENGTH).map(decode_reply).collect();
            Ok(SessionMessage::Replies { incarnation, replies })
        }
        KIND_PING if header[COUNT] == 0 => Ok(SessionMessage::Ping { incarnation }),
        KIND_ACK if header[COUNT] == 0 => Ok(SessionMessage::Ack { incarnation }),
        KIND_PING | KIND_ACK => Err(DecodeError::Length),
        _ => Err(DecodeError::Kind),
    }
}

fn decode_request(entry: &[u8]) -> PositionRequest {
    PositionRequest { request: read_number(&entry[ENTRY_REQUEST]), session: read_number(&entry[ENTRY_VALUE]) }
}

fn decode_reply(entry: &[u8]) -> PositionReply {
    let position = f64::from_bits(read_number(&entry[ENTRY_VALUE]));
    PositionReply { request: read_number(&entry[ENTRY_REQUEST]), position }
}

#[cfg(test)]
mod tests;
