//! Where messages begin and end in a buffer.

use std::ops::Range;

/// Codes that stand where a startup message has its version.
pub const CANCEL_REQUEST: u32 = 80877102;
pub const SSL_REQUEST: u32 = 80877103;
pub const GSSENC_REQUEST: u32 = 80877104;

/// A length that no message can have.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidLength(pub usize);

/// The length that stands there, if all of it is there.
pub fn length_at(buf: &[u8], at: usize) -> Option<usize> {
    Some(u32::from_be_bytes(buf.get(at..at + 4)?.try_into().ok()?) as usize)
}

/// The first message: its kind and where its body stands. None where bytes are missing.
pub fn message(buf: &[u8], most: usize) -> Result<Option<(u8, Range<usize>)>, InvalidLength> {
    let Some(length) = length_at(buf, 1) else { return Ok(None) };
    if length < 4 || length > most {
        return Err(InvalidLength(length));
    }
    Ok((buf.len() > length).then(|| (buf[0], 5..1 + length)))
}

/// The message that opens a connection and has no kind: its code and where its body stands.
pub fn startup(buf: &[u8], most: usize) -> Result<Option<(u32, Range<usize>)>, InvalidLength> {
    let Some(length) = length_at(buf, 0) else { return Ok(None) };
    if length < 8 || length > most {
        return Err(InvalidLength(length));
    }
    Ok(length_at(buf, 4).filter(|_| buf.len() >= length).map(|code| (code as u32, 8..length)))
}

/// The text up to the first zero byte from `at` on, and where what follows begins.
pub fn c_string(buf: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let rest = buf.get(at..)?;
    let end = rest.iter().position(|b| *b == 0)?;
    Some((&rest[..end], at + end + 1))
}

/// The field of an error's body that has this letter.
pub fn error_field(body: &[u8], letter: u8) -> Option<&[u8]> {
    let mut at = 0;
    while *body.get(at)? != 0 {
        let (value, next) = c_string(body, at + 1)?;
        if body[at] == letter {
            return Some(value);
        }
        at = next;
    }
    None
}

/// How many columns a row has.
pub fn column_count(body: &[u8]) -> Option<u16> {
    Some(u16::from_be_bytes(body.get(..2)?.try_into().ok()?))
}

/// The first column of a row; none where it is null or does not fit its row.
pub fn first_column(body: &[u8]) -> Option<&[u8]> {
    let length = length_at(body, 2)?;
    body.get(6..6usize.checked_add(length)?)
}
