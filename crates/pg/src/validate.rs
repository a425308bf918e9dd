//! Validates messages from hosts: kind, length and layout of the body. Once a stream has broken these rules,
//! nothing that follows in it can be trusted, so all that the received bytes can show is checked as they
//! arrive.

use crate::frame;

/// Longest accepted RowDescription.
const MAX_ROW_DESCRIPTION_BYTES: usize = 256;
/// Longest accepted CommandComplete.
const MAX_COMPLETION_BYTES: usize = 64;
/// Longest accepted ErrorResponse, NoticeResponse, ParameterStatus and NegotiateProtocolVersion.
const MAX_TEXT_MESSAGE_BYTES: usize = 8 * 1024;
/// A null column: its stated length of -1, and the length of the row that holds nothing else.
const NULL_COLUMN: (usize, usize) = (u32::MAX as usize, 10);

/// Whether hosts send messages of this kind.
pub fn is_known_kind(kind: u8) -> bool {
    b"ZRKTDCENSIv".contains(&kind)
}

/// Whether a valid message may begin with these bytes: `length` as stated in the message, and as much of the
/// body as has arrived.
pub fn is_valid_prefix(kind: u8, length: usize, body: &[u8]) -> bool {
    let length_fits = match kind {
        b'Z' => length == 5,
        b'I' => length == 4,
        b'R' => length == 8,
        b'K' => length == 12,
        b'T' => (25..=MAX_ROW_DESCRIPTION_BYTES).contains(&length),
        b'D' => length >= 10,
        b'C' => (5..=MAX_COMPLETION_BYTES).contains(&length),
        b'E' | b'N' | b'S' | b'v' => (5..=MAX_TEXT_MESSAGE_BYTES).contains(&length),
        _ => false,
    };
    let has_one_column = || frame::column_count(body).is_none_or(|columns| columns == 1);
    length_fits
        && match kind {
            // The only column fills the rest of the row, or is null.
            b'D' => {
                has_one_column()
                    && frame::length_at(body, 2)
                        .is_none_or(|column| column == length - 10 || (column, length) == NULL_COLUMN)
            }
            // The column's name and the 18 bytes of its other fields fill the rest of the description.
            b'T' => {
                has_one_column() && frame::c_string(body, 2).is_none_or(|(_, end)| length == 4 + end + 18)
            }
            _ => true,
        }
}

/// The name and value of a ParameterStatus.
pub fn parameter_status(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let (name, value_start) = frame::c_string(body, 0)?;
    let (value, end) = frame::c_string(body, value_start)?;
    (end == body.len()).then_some((name, value))
}

/// The SQLSTATE of a well-formed ErrorResponse: all fields are terminated, severity and message are present,
/// and the code is five digits or capital letters.
pub fn sqlstate(body: &[u8]) -> Option<&[u8]> {
    let mut offset = 0;
    while *body.get(offset)? != 0 {
        offset = frame::c_string(body, offset + 1)?.1;
    }
    let code = frame::error_field(body, b'C')?;
    let is_code = code.len() == 5 && code.iter().all(|c| c.is_ascii_digit() || c.is_ascii_uppercase());
    let is_complete = frame::error_field(body, b'S').is_some() && frame::error_field(body, b'M').is_some();
    (offset + 1 == body.len() && is_code && is_complete).then_some(code)
}

/// Whether the body of a CommandComplete holds exactly this tag.
pub fn is_completion(body: &[u8], tag: &[u8]) -> bool {
    body.strip_suffix(&[0]) == Some(tag)
}
