//! What hosts answer: read message by message, each checked before it acts, then judged as an ending.

use crate::probe::Told;
use magpiewell::Ending;
use magpiewell_pg::{frame, validate};

/// How a job went.
pub struct Result {
    pub ending: Ending,
    /// A served answer as the host gave it.
    pub answer: Vec<u8>,
    pub told: Told,
    /// The connection can take another job.
    pub open: bool,
}

pub fn ended(ending: Ending) -> Result {
    Result { ending, answer: Vec::new(), told: Told::default(), open: false }
}

/// What came last of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Last {
    /// The host has not admitted the connection yet.
    Opening,
    Nothing,
    Description,
    Row,
    Completion,
    Error,
    Ready,
}

/// An answer as it is read, message by message.
pub struct Reading {
    last: Last,
    /// Only the opening is read, no answer is expected.
    only: bool,
    /// How the answer's completion must read.
    tag: &'static [u8],
    answer: Vec<u8>,
    value: Vec<u8>,
    code: Vec<u8>,
    told: Told,
    /// The host did not let the connection in.
    refused: bool,
    spoilt: bool,
}

impl Reading {
    /// On a connection that is still to be opened, or to be opened and no more.
    pub fn new(opening: bool, only: bool, tag: &'static [u8]) -> Reading {
        let last = if opening { Last::Opening } else { Last::Nothing };
        let (answer, value, code, told) = Default::default();
        Reading { last, only, tag, answer, value, code, told, refused: false, spoilt: false }
    }

    /// Nothing more is to be read.
    pub fn done(&self) -> bool {
        self.last == Last::Ready || self.spoilt
    }

    /// The host has let the connection in.
    pub fn admitted(&self) -> bool {
        self.last == Last::Ready && !self.refused && !self.spoilt
    }

    /// What follows can't be read: the answer is spoilt from here on.
    pub fn spoil(&mut self) {
        self.spoilt = true;
    }

    /// One message: its kind, its body, and all of it. One out of its place spoils the answer.
    pub fn take(&mut self, kind: u8, body: &[u8], whole: &[u8]) {
        let next = match (kind, self.last) {
            (b'Z', Last::Opening) if self.only => Some(Last::Ready),
            (b'Z', Last::Opening) => Some(Last::Nothing),
            (b'Z', Last::Completion | Last::Error) => Some(Last::Ready),
            // Authentication without a password, keys to cancel with, another version of the protocol.
            (b'R', Last::Opening) => Some(self.last).filter(|_| body == [0; 4]),
            (b'K' | b'v', Last::Opening) => Some(self.last),
            (b'N', _) => Some(self.last),
            (b'S', _) => {
                // One that can't be read is passed over alone: the answer beside it may be good.
                if let Some((name, value)) =
                    validate::parameter_status(body).filter(|_| self.last != Last::Opening)
                {
                    self.told.parameter(name, value);
                }
                Some(self.last)
            }
            (b'T', Last::Nothing) => Some(Last::Description),
            (b'D', Last::Description) => Some(Last::Row),
            (b'C', Last::Row) => Some(Last::Completion).filter(|_| validate::is_completion(body, self.tag)),
            (b'E', Last::Opening | Last::Nothing | Last::Description | Last::Row) => {
                self.code = validate::sqlstate(body).unwrap_or_default().to_vec();
                self.refused = self.last == Last::Opening;
                // One who is not let in is told no more.
                let next = if self.refused { Last::Ready } else { Last::Error };
                Some(next).filter(|_| !self.code.is_empty())
            }
            _ => None,
        };
        let Some(next) = next else { return self.spoil() };
        if matches!(kind, b'T' | b'D' | b'C') {
            self.answer.extend_from_slice(whole);
        }
        if kind == b'D' {
            self.value = frame::first_column(body).unwrap_or_default().to_vec();
        }
        self.last = next;
    }

    /// What it comes to; `broke` says how reading ended where the answer is not whole. `more` stands behind it:
    /// the answer is good, the connection is of no more use.
    pub fn result(self, broke: Option<Ending>, more: bool, probe: bool) -> Result {
        if self.spoilt {
            // It may have run; nothing that came with it can be believed.
            return ended(Ending::Spoilt);
        }
        let row = self.last == Last::Completion || (self.last == Last::Ready && self.code.is_empty());
        let ending = match (self.code.as_slice(), broke) {
            // Not admitted, most likely for too many connections: nothing of the job was looked at.
            _ if self.refused => Ending::Unreached,
            (b"53300" | b"57P03", _) => Ending::Full,
            (b"25006" | b"72000", _) => Ending::Missed,
            (b"", _) if row => Ending::Acked,
            (b"", Some(ending)) => ending,
            _ => Ending::Errored,
        };
        let mut told = self.told;
        if probe && ending == Ending::Acked {
            told.report(std::str::from_utf8(&self.value).unwrap_or(""));
        }
        let open = self.last == Last::Ready && broke.is_none() && !more && !self.refused;
        Result { ending, answer: self.answer, told, open }
    }
}
