//! The framing shared by all datagrams: magic byte, version, kind, entry count and the trailing keyed hash.

use crate::Key;
use crate::key::HASH_LENGTH;

/// Maximum length of a datagram, including the hash.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// The magic byte that identifies the protocol, and the protocol version.
pub(crate) const MAGIC: [u8; 2] = [0x4d, 1];
/// Offset of the datagram's kind.
pub(crate) const KIND: usize = 2;
/// Offset of the entry count.
pub(crate) const COUNT: usize = 3;

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, or the length does not match the entry count.
    Length,
    /// A different protocol or protocol version.
    Magic,
    /// An unknown datagram kind, entry kind or member state, or digest parts that do not match.
    Kind,
    /// The keyed hash does not match: a different key, or the datagram was modified in transit.
    Authentication,
}

/// Number of entries that fit into a datagram after the header, with room for the hash.
pub(crate) const fn max_entries(header_length: usize, entry_length: usize) -> usize {
    (MAX_DATAGRAM_BYTES - header_length - HASH_LENGTH) / entry_length
}

/// Starts a datagram of this kind: replaces the contents of `bytes` with the common header.
pub(crate) fn begin(kind: u8, bytes: &mut Vec<u8>) {
    bytes.clear();
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[kind, 0]);
}

/// Sets the entry count and, if there is a key, appends the hash.
pub(crate) fn finish(count: usize, key: Option<&Key>, bytes: &mut Vec<u8>) {
    bytes[COUNT] = count as u8;
    if let Some(key) = key {
        let hash = key.hash(bytes);
        bytes.extend_from_slice(&hash);
    }
}

/// Checks length, magic, version and hash of a received datagram; returns its header and its entries.
pub(crate) fn parse<'a>(
    bytes: &'a [u8],
    key: Option<&Key>,
    header_length: usize,
    entry_length: usize,
) -> Result<(&'a [u8], &'a [u8]), DecodeError> {
    let hash_length = if key.is_some() { HASH_LENGTH } else { 0 };
    let body_length = bytes.len().checked_sub(hash_length).ok_or(DecodeError::Length)?;
    let (body, hash) = bytes.split_at(body_length);
    if body.len() < header_length || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Length);
    }
    if body[..MAGIC.len()] != MAGIC {
        return Err(DecodeError::Magic);
    }
    if key.is_some_and(|key| !key.verifies(body, hash)) {
        return Err(DecodeError::Authentication);
    }
    let (header, entries) = body.split_at(header_length);
    if entries.len() != entry_length * usize::from(header[COUNT]) {
        return Err(DecodeError::Length);
    }
    Ok((header, entries))
}

/// Reads a big-endian number of at most eight bytes.
pub(crate) fn read_number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}
