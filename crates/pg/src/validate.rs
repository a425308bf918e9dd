//! What makes a host's message acceptable: its kind, its length, and how its body is built. A stream that breaks
//! this once can't be trusted any further, so all that the bytes at hand can show is looked at as they come.

use crate::frame;

/// Longest row description, completion, and word a host says of itself (errors, notices, parameters).
const DESCRIPTION: usize = 256;
const COMPLETION: usize = 64;
const WORD: usize = 8 * 1024;
/// A value that is none: the length it states, and that of its row.
const NULL: (usize, usize) = (u32::MAX as usize, 10);

/// Whether a host's message can have this kind.
pub fn is_known_kind(kind: u8) -> bool {
    b"ZRKTDCENSv".contains(&kind)
}

/// Whether a message may begin like this: its length as stated, and as much of its body as is there.
pub fn is_valid_prefix(kind: u8, length: usize, body: &[u8]) -> bool {
    let fits = match kind {
        b'Z' => length == 5,
        b'R' => length == 8,
        b'K' => length == 12,
        b'T' => (25..=DESCRIPTION).contains(&length),
        b'D' => length >= 10,
        b'C' => (5..=COMPLETION).contains(&length),
        b'E' | b'N' | b'S' | b'v' => (5..=WORD).contains(&length),
        _ => false,
    };
    let one_column = || frame::column_count(body).is_none_or(|columns| columns == 1);
    fits && match kind {
        // The one value takes up all of its row, or there is none.
        b'D' => {
            one_column() && frame::length_at(body, 2).is_none_or(|n| n == length - 10 || (n, length) == NULL)
        }
        // The name and the 18 bytes behind it take up all of the description.
        b'T' => one_column() && frame::c_string(body, 2).is_none_or(|(_, end)| length == 4 + end + 18),
        _ => true,
    }
}

/// A parameter's name and value.
pub fn parameter_status(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let (name, at) = frame::c_string(body, 0)?;
    let (value, end) = frame::c_string(body, at)?;
    (end == body.len()).then_some((name, value))
}

/// The code of an error that is built as errors are: text behind each letter, severity, code and line among them.
pub fn sqlstate(body: &[u8]) -> Option<&[u8]> {
    let mut at = 0;
    while *body.get(at)? != 0 {
        at = frame::c_string(body, at + 1)?.1;
    }
    let code = frame::error_field(body, b'C')?;
    let plain = code.len() == 5 && code.iter().all(|c| c.is_ascii_digit() || c.is_ascii_uppercase());
    let named = frame::error_field(body, b'S').is_some() && frame::error_field(body, b'M').is_some();
    (at + 1 == body.len() && plain && named).then_some(code)
}

/// Whether a completion says just this.
pub fn is_completion(body: &[u8], tag: &[u8]) -> bool {
    body.strip_suffix(&[0]) == Some(tag)
}
