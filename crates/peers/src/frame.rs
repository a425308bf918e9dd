//! What all datagrams have in common: mark, version, kind, number of entries, and the hash at the end.

use crate::Key;
use crate::key::HASH_LENGTH;

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// A byte that marks the protocol, and its version.
pub(crate) const MARK: [u8; 2] = [0x4d, 1];
/// Offset of the byte that says of what kind a datagram is.
pub(crate) const KIND: usize = 2;
/// Offset of the byte that counts the entries.
pub(crate) const COUNT: usize = 3;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, or its number of entries does not fit its length.
    Length,
    /// Another protocol, or another version of this one.
    Mark,
    /// An unknown kind of datagram, of entry or of state.
    Kind,
    /// The hash does not fit: another key, or the datagram was changed on the way.
    Key,
}

/// How many entries fit behind a header, with room for the hash.
pub(crate) const fn max_entries(header_length: usize, entry_length: usize) -> usize {
    (MAX_DATAGRAM_BYTES - header_length - HASH_LENGTH) / entry_length
}

/// Begins a datagram of this kind, with no entries yet.
pub(crate) fn begin(kind: u8, bytes: &mut Vec<u8>) {
    bytes.clear();
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&[kind, 0]);
}

/// Sets the number of entries and appends the hash, if there is a key.
pub(crate) fn finish(count: usize, key: Option<&Key>, bytes: &mut Vec<u8>) {
    bytes[COUNT] = count as u8;
    if let Some(key) = key {
        let hash = key.hash(bytes);
        bytes.extend_from_slice(&hash);
    }
}

/// Header and entries of a received datagram, if mark, hash and length fit.
pub(crate) fn open<'a>(
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
    if body[..MARK.len()] != MARK {
        return Err(DecodeError::Mark);
    }
    if key.is_some_and(|key| !key.verifies(body, hash)) {
        return Err(DecodeError::Key);
    }
    let (header, entries) = body.split_at(header_length);
    if entries.len() != entry_length * usize::from(header[COUNT]) {
        return Err(DecodeError::Length);
    }
    Ok((header, entries))
}

/// The big-endian number in these bytes, of which there are at most eight.
pub(crate) fn read_number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}
