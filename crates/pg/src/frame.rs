//! Finds messages, and the fields in them, in a buffer.

use std::ops::Range;

/// Request codes that take the place of the protocol version in a startup message.
pub const CANCEL_REQUEST: u32 = 80877102;
pub const SSL_REQUEST: u32 = 80877103;
pub const GSSENC_REQUEST: u32 = 80877104;

/// A message states a length that is too short to be valid, or longer than the caller accepts.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidLength(pub usize);

/// The big-endian 32-bit length at `offset`; `None` unless all four bytes have arrived.
pub fn length_at(buf: &[u8], offset: usize) -> Option<usize> {
    Some(u32::from_be_bytes(buf.get(offset..offset + 4)?.try_into().ok()?) as usize)
}

/// Finds the first message: its kind and the range of its body. `None` if the message is incomplete.
pub fn message(buf: &[u8], max_length: usize) -> Result<Option<(u8, Range<usize>)>, InvalidLength> {
    let Some(length) = length_at(buf, 1) else { return Ok(None) };
    if length < 4 || length > max_length {
        return Err(InvalidLength(length));
    }
    Ok((buf.len() > length).then(|| (buf[0], 5..1 + length)))
}

/// Finds the startup message, which has no kind byte: its version or request code and the range of its body.
pub fn startup(buf: &[u8], max_length: usize) -> Result<Option<(u32, Range<usize>)>, InvalidLength> {
    let Some(length) = length_at(buf, 0) else { return Ok(None) };
    if length < 8 || length > max_length {
        return Err(InvalidLength(length));
    }
    Ok(length_at(buf, 4).filter(|_| buf.len() >= length).map(|code| (code as u32, 8..length)))
}

/// The zero-terminated string at `offset`, and the offset just past its terminator.
pub fn c_string(buf: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let rest = buf.get(offset..)?;
    let end = rest.iter().position(|b| *b == 0)?;
    Some((&rest[..end], offset + end + 1))
}

/// The value of the field `letter` in the body of an ErrorResponse.
pub fn error_field(body: &[u8], letter: u8) -> Option<&[u8]> {
    let mut offset = 0;
    while *body.get(offset)? != 0 {
        let (value, next) = c_string(body, offset + 1)?;
        if body[offset] == letter {
            return Some(value);
        }
        offset = next;
    }
    None
}

/// The number of columns of a DataRow or RowDescription.
pub fn column_count(body: &[u8]) -> Option<u16> {
    Some(u16::from_be_bytes(body.get(..2)?.try_into().ok()?))
}

/// The first column of a DataRow; `None` if it is null or its length exceeds the row.
pub fn first_column(body: &[u8]) -> Option<&[u8]> {
    let length = length_at(body, 2)?;
    body.get(6..6usize.checked_add(length)?)
}
