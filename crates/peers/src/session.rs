//! Session datagrams: routers ask one another which log position a replica must have reached for a session to
//! read its own writes.
//!
//! The common header is followed by the incarnation of the requesting router (eight bytes) and entries of 16
//! bytes. A router ignores replies to another of its incarnations. Replayed datagrams are harmless: requests
//! change no state, and a reply is accepted only for one outstanding request of one incarnation.

use crate::frame::{self, COUNT, DecodeError, KIND, read_number};
use crate::key::Key;
use std::ops::Range;

const INCARNATION: Range<usize> = 4..12;
const HEADER_LENGTH: usize = 12;

const ENTRY_REQUEST_ID: Range<usize> = 0..8;
/// The session id of a request, or the position of a reply.
const ENTRY_VALUE: Range<usize> = 8..16;
const ENTRY_LENGTH: usize = 16;
/// Maximum number of entries in a datagram, with room for the hash.
pub const MAX_ENTRIES: usize = frame::max_entries(HEADER_LENGTH, ENTRY_LENGTH);

const KIND_REQUESTS: u8 = 1;
const KIND_REPLIES: u8 = 2;
const KIND_PING: u8 = 3;
const KIND_ACK: u8 = 4;

/// The contents of a session datagram. `incarnation` is that of the requesting router.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionMessage {
    /// Asks for the positions from which these sessions read their own writes.
    Requests { incarnation: u64, requests: Vec<PositionRequest> },
    /// Replies to [`SessionMessage::Requests`].
    Replies { incarnation: u64, replies: Vec<PositionReply> },
    /// Asks for a [`SessionMessage::Ack`].
    Ping { incarnation: u64 },
    /// Acknowledges a [`SessionMessage::Ping`].
    Ack { incarnation: u64 },
}

/// A request for the position of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionRequest {
    /// Identifies the request in its reply.
    pub request_id: u64,
    /// The session whose position is requested.
    pub session_id: u64,
}

/// The reply to one [`PositionRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PositionReply {
    /// The id of the request that this replies to.
    pub request_id: u64,
    /// The lowest log position at which the session reads its own writes.
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

/// Encodes a message. Entries beyond [`MAX_ENTRIES`] are omitted: callers with more of them encode several
/// datagrams.
pub fn encode(message: &SessionMessage, key: Option<&Key>, bytes: &mut Vec<u8>) {
    frame::begin(message.kind(), bytes);
    bytes.extend_from_slice(&message.incarnation().to_be_bytes());
    let mut push = |request_id: u64, value: u64| {
        bytes.extend_from_slice(&request_id.to_be_bytes());
        bytes.extend_from_slice(&value.to_be_bytes());
    };
    let count = match message {
        SessionMessage::Requests { requests, .. } => {
            requests.iter().take(MAX_ENTRIES).for_each(|entry| push(entry.request_id, entry.session_id));
            requests.len().min(MAX_ENTRIES)
        }
        SessionMessage::Replies { replies, .. } => {
            replies
                .iter()
                .take(MAX_ENTRIES)
                .for_each(|entry| push(entry.request_id, entry.position.to_bits()));
            replies.len().min(MAX_ENTRIES)
        }
        SessionMessage::Ping { .. } | SessionMessage::Ack { .. } => 0,
    };
    frame::finish(count, key, bytes);
}

/// Decodes a session datagram.
pub fn decode(bytes: &[u8], key: Option<&Key>) -> Result<SessionMessage, DecodeError> {
    let (header, entries) = frame::parse(bytes, key, HEADER_LENGTH, ENTRY_LENGTH)?;
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
    PositionRequest {
        request_id: read_number(&entry[ENTRY_REQUEST_ID]),
        session_id: read_number(&entry[ENTRY_VALUE]),
    }
}

fn decode_reply(entry: &[u8]) -> PositionReply {
    let position = f64::from_bits(read_number(&entry[ENTRY_VALUE]));
    PositionReply { request_id: read_number(&entry[ENTRY_REQUEST_ID]), position }
}

#[cfg(test)]
mod tests;
