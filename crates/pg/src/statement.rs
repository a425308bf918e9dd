//! What stands in a statement: its form, the quoted key, and facts in the comment behind it.

use std::ops::Range;

/// What a statement is, and where its key (without its quotes) and the inside of its comment stand.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    pub writes: bool,
    pub key: Range<usize>,
    pub comment: Range<usize>,
}

/// The two forms that are taken: a small letter is a name, a capital word itself, `q` a quoted text.
const READ: &str = "SELECT n FROM n WHERE n = q";
const WRITE: &str = "INSERT INTO n ( n , n ) VALUES ( q , q ) RETURNING n";

/// Reads a statement: one of the two forms, then one comment with the op's facts, and nothing else.
pub fn parse(text: &str) -> Result<Statement, &'static str> {
    const FORM: &str = "not a read or write of one record as they are taken here";
    let mut words = Words { text, at: 0 };
    let first = words.peek()?;
    let writes = text[first].eq_ignore_ascii_case("INSERT");
    let mut key = None;
    for expected in if writes { WRITE } else { READ }.split(' ') {
        let found = words.next()?;
        let word = &text[found.clone()];
        let fits = match expected {
            "n" => word.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_'),
            "q" => word.starts_with('\''),
            _ => word.eq_ignore_ascii_case(expected),
        };
        if !fits {
            return Err(FORM);
        }
        if expected == "q" {
            key = key.or(Some(found.start + 1..found.end - 1));
        }
    }
    let comment = words.next()?;
    if !text[comment.clone()].starts_with("/*") {
        return Err("no comment with the op's facts behind the statement");
    }
    let mut rest = words.next()?;
    if &text[rest.clone()] == ";" {
        rest = words.next()?;
    }
    if !rest.is_empty() {
        return Err("something stands behind the op's facts");
    }
    Ok(Statement { writes, key: key.ok_or(FORM)?, comment: comment.start + 2..comment.end - 2 })
}

/// A statement word by word: names, marks, quoted texts and comments; an empty word at its end.
struct Words<'a> {
    text: &'a str,
    at: usize,
}

impl Words<'_> {
    fn peek(&mut self) -> Result<Range<usize>, &'static str> {
        let at = self.at;
        let next = self.next();
        self.at = at;
        next
    }

    fn next(&mut self) -> Result<Range<usize>, &'static str> {
        let bytes = self.text.as_bytes();
        let find = |from: usize, is: &dyn Fn(u8) -> bool| {
            bytes[from..].iter().position(|b| is(*b)).map_or(bytes.len(), |n| from + n)
        };
        let start = find(self.at, &|b| !b.is_ascii_whitespace());
        self.at = match bytes.get(start..) {
            Some([b'/', b'*', ..]) => {
                let inside = bytes[start + 2..].windows(2).position(|two| two == b"*/");
                start + 4 + inside.ok_or("a comment never ends")?
            }
            Some([b'\'', ..]) => {
                let mut end = start + 1;
                loop {
                    end = find(end, &|b| b == b'\'') + 1;
                    match bytes.get(end) {
                        // A doubled mark stands for the mark itself.
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
        Ok(start..self.at)
    }
}

/// The facts of a comment, `name=value` between commas: each name, and where its value stands. A part of any
/// other form has an empty name.
pub fn attributes(text: &str, inside: Range<usize>) -> impl Iterator<Item = (&str, Range<usize>)> {
    let mut at = inside.start;
    text[inside].split(',').map(move |part| {
        let start = at;
        at += part.len() + 1;
        let (name, value) = part.split_once('=').unwrap_or(("", part));
        let from = start + part.len() - value.len();
        let lead = value.len() - value.trim_start().len();
        (name.trim(), from + lead..from + lead + value.trim().len())
    })
}
