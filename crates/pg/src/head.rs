//! What stands in a statement beside its work: the quoted key, and facts in its last comment.

use std::ops::Range;

/// Where something stands in a statement, if it does.
type Place = Option<Range<usize>>;

/// Finds the first quoted text (without its quotes) and the inside of the last comment. Marks inside quotes
/// or other comments do not count. Fails where something never ends or a second statement follows.
pub fn scan(text: &str) -> Result<(Place, Place), &'static str> {
    let bytes = text.as_bytes();
    let find = |from: usize, mark: &str| {
        text.as_bytes()[from..].windows(mark.len()).position(|w| w == mark.as_bytes())
    };
    let (mut quoted, mut comment, mut ended, mut at) = (None, None, false, 0);
    while at < bytes.len() {
        match (bytes[at], bytes.get(at + 1)) {
            (b'/', Some(b'*')) => {
                let end = at + 2 + find(at + 2, "*/").ok_or("a comment never ends")?;
                comment = Some(at + 2..end);
                at = end + 2;
            }
            (b'-', Some(b'-')) => at = find(at, "\n").map_or(bytes.len(), |n| at + n + 1),
            (mark @ (b'\'' | b'"'), _) if !ended => {
                let start = at + 1;
                at = start;
                // A doubled mark stands for the mark itself.
                loop {
                    at += find(at, if mark == b'"' { "\"" } else { "'" }).ok_or("a quote never ends")? + 1;
                    if bytes.get(at) != Some(&mark) {
                        break;
                    }
                    at += 1;
                }
                if mark == b'\'' {
                    quoted = quoted.or(Some(start..at - 1));
                }
            }
            (b';', _) => (ended, at) = (true, at + 1),
            (other, _) if ended && !other.is_ascii_whitespace() => return Err("more than one statement"),
            _ => at += 1,
        }
    }
    Ok((quoted, comment))
}

/// The facts of a comment, `name=value` between commas: each name, and where its value stands.
pub fn facts(text: &str, inside: Range<usize>) -> impl Iterator<Item = (&str, Range<usize>)> {
    let mut at = inside.start;
    text[inside].split(',').filter_map(move |part| {
        let start = at;
        at += part.len() + 1;
        let (name, value) = part.split_once('=')?;
        let from = start + name.len() + 1;
        let lead = value.len() - value.trim_start().len();
        Some((name.trim(), from + lead..from + lead + value.trim().len()))
    })
}
