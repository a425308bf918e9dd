//! Parses the statements that clients send: their form, their quoted key, and the op's attributes in the
//! comment that follows.

use std::ops::Range;

/// A parsed statement: whether it writes, and the ranges of its key without the quotes and of the comment's
/// content.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    pub is_write: bool,
    pub key: Range<usize>,
    pub comment: Range<usize>,
}

/// The two accepted forms: `n` stands for any name and `q` for a quoted string; other words stand for
/// themselves.
const READ: &str = "SELECT n FROM n WHERE n = q";
const WRITE: &str = "INSERT INTO n ( n , n ) VALUES ( q , q ) RETURNING n";

/// Parses one of the two forms, followed by exactly one comment with the op's attributes. The first quoted
/// string is the key.
pub fn parse(text: &str) -> Result<Statement, &'static str> {
    const UNSUPPORTED: &str = "not a read or write of one record as they are taken here";
    let mut tokens = Tokens { text, position: 0 };
    let first = tokens.peek()?;
    let is_write = text[first].eq_ignore_ascii_case("INSERT");
    let mut key = None;
    for expected in if is_write { WRITE } else { READ }.split(' ') {
        let found = tokens.next()?;
        let token = &text[found.clone()];
        let matches = match expected {
            "n" => token.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_'),
            "q" => token.starts_with('\''),
            _ => token.eq_ignore_ascii_case(expected),
        };
        if !matches {
            return Err(UNSUPPORTED);
        }
        if expected == "q" {
            key = key.or(Some(found.start + 1..found.end - 1));
        }
    }
    let comment = tokens.next()?;
    if !text[comment.clone()].starts_with("/*") {
        return Err("no comment with the op's facts behind the statement");
    }
    let mut rest = tokens.next()?;
    if &text[rest.clone()] == ";" {
        rest = tokens.next()?;
    }
    if !rest.is_empty() {
        return Err("something stands behind the op's facts");
    }
    Ok(Statement { is_write, key: key.ok_or(UNSUPPORTED)?, comment: comment.start + 2..comment.end - 2 })
}

/// Splits a statement into tokens: names, punctuation characters, quoted strings and comments; an empty token
/// marks the end.
struct Tokens<'a> {
    text: &'a str,
    position: usize,
}

impl Tokens<'_> {
    fn peek(&mut self) -> Result<Range<usize>, &'static str> {
        let position = self.position;
        let next = self.next();
        self.position = position;
        next
    }

    fn next(&mut self) -> Result<Range<usize>, &'static str> {
        let bytes = self.text.as_bytes();
        let find = |from: usize, is_match: &dyn Fn(u8) -> bool| {
            bytes[from..].iter().position(|b| is_match(*b)).map_or(bytes.len(), |n| from + n)
        };
        let start = find(self.position, &|b| !b.is_ascii_whitespace());
        self.position = match bytes.get(start..) {
            Some([b'/', b'*', ..]) => {
                let end = bytes[start + 2..].windows(2).position(|pair| pair == b"*/");
                start + 4 + end.ok_or("a comment never ends")?
            }
            Some([b'\'', ..]) => {
                let mut end = start + 1;
                loop {
                    end = find(end, &|b| b == b'\'') + 1;
                    match bytes.get(end) {
                        // A doubled quote is an escaped quote.
                        Some(b'\'') => end += 1,
                        _ if end > bytes.len() => return Err("a quote never ends"),
                        _ => break end,
                    }
                }
            }
            Some([b, ..]) if b.is_ascii_alphanumeric() || *b == b'_' => {
                find(start, &|b| !b.is_ascii_alphanumeric() && b != b'_')
            }
            Some([b, ..]) if b.is_ascii() => start + 1,
            Some([_, ..]) => return Err("a character that no name can hold"),
            _ => start,
        };
        Ok(start..self.position)
    }
}

/// The attributes in a comment, `name=value` separated by commas: each name and the range of its value in
/// `text`. A part of any other form has an empty name.
pub fn attributes(text: &str, comment: Range<usize>) -> impl Iterator<Item = (&str, Range<usize>)> {
    let mut next_start = comment.start;
    text[comment].split(',').map(move |part| {
        let start = next_start;
        next_start += part.len() + 1;
        let (name, value) = part.split_once('=').unwrap_or(("", part));
        let value_start = start + part.len() - value.len();
        let leading = value.len() - value.trim_start().len();
        (name.trim(), value_start + leading..value_start + leading + value.trim().len())
    })
}
