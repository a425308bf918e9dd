//! Reads hosts' answers message by message, checks each message before using it, and derives the ending of
//! the job.

use crate::probe::HostStatus;
use magpiewell::Ending;
use magpiewell_pg::{frame, validate};
use std::hash::{DefaultHasher, Hasher};

/// The result of a job on a host connection.
pub struct JobResult {
    pub ending: Ending,
    /// The host's answer to an op that it served, unchanged.
    pub answer: Vec<u8>,
    pub host_status: HostStatus,
    /// The connection can take another job.
    pub is_reusable: bool,
}

/// The result of a job without an answer; its connection is not reused.
pub fn without_answer(ending: Ending) -> JobResult {
    JobResult { ending, answer: Vec::new(), host_status: HostStatus::default(), is_reusable: false }
}

/// How far the answer has been read: the last message that matters to the order of messages.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReadState {
    /// The host has not accepted the connection yet.
    Startup,
    /// Nothing of the answer has been read yet.
    Waiting,
    Description,
    Row,
    Completion,
    Error,
    /// The reply to an empty query.
    EmptyQuery,
    Ready,
}

/// Reads one answer.
pub struct AnswerReader {
    state: ReadState,
    /// Only the startup phase is read; no answer is expected.
    is_startup_only: bool,
    /// The command tag that the answer must complete with.
    expected_tag: &'static [u8],
    answer: Vec<u8>,
    value: Vec<u8>,
    error_code: Vec<u8>,
    host_status: HostStatus,
    /// The host rejected the connection.
    is_rejected: bool,
    is_reply_to_empty_query: bool,
    is_malformed: bool,
}

impl AnswerReader {
    /// `is_new`: the connection is new, so its startup phase comes first. `is_startup_only`: no answer
    /// follows it.
    pub fn new(is_new: bool, is_startup_only: bool, expected_tag: &'static [u8]) -> AnswerReader {
        let state = if is_new { ReadState::Startup } else { ReadState::Waiting };
        let (answer, value, error_code, host_status) = Default::default();
        AnswerReader {
            state,
            is_startup_only,
            expected_tag,
            answer,
            value,
            error_code,
            host_status,
            is_rejected: false,
            is_reply_to_empty_query: false,
            is_malformed: false,
        }
    }

    /// A reader for a further answer to the request that this answer seems to belong to.
    pub fn for_same_request(&self) -> AnswerReader {
        AnswerReader::new(false, false, self.expected_tag)
    }

    /// Nothing more is to be read.
    pub fn is_done(&self) -> bool {
        self.state == ReadState::Ready || self.is_malformed
    }

    /// The host has accepted the connection.
    pub fn is_accepted(&self) -> bool {
        self.state == ReadState::Ready && !self.is_rejected && !self.is_malformed
    }

    /// The host has replied to an empty query.
    pub fn is_reply_to_empty_query(&self) -> bool {
        self.is_reply_to_empty_query && !self.is_malformed
    }

    /// Hash of the row that the host answered with; `None` unless the answer holds a whole one.
    pub fn row_hash(&self) -> Option<u64> {
        if !self.has_row() || self.is_malformed {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        hasher.write(&self.answer);
        Some(hasher.finish())
    }

    /// Whether the answer holds a whole row.
    fn has_row(&self) -> bool {
        let has_ended = matches!(self.state, ReadState::Completion | ReadState::Ready);
        has_ended && self.error_code.is_empty() && !self.answer.is_empty()
    }

    /// Marks the answer as malformed: what follows can't be read.
    pub fn mark_malformed(&mut self) {
        self.is_malformed = true;
    }

    /// Reads one message: its kind, its body, and the whole message. A message out of order makes the answer
    /// malformed.
    pub fn read_message(&mut self, kind: u8, body: &[u8], message: &[u8]) {
        let next = match (kind, self.state) {
            (b'Z', ReadState::Startup) if self.is_startup_only => Some(ReadState::Ready),
            (b'Z', ReadState::Startup) => Some(ReadState::Waiting),
            (b'Z', ReadState::Completion | ReadState::Error) => Some(ReadState::Ready),
            (b'I', ReadState::Waiting) => Some(ReadState::EmptyQuery),
            (b'Z', ReadState::EmptyQuery) => {
                self.is_reply_to_empty_query = true;
                Some(ReadState::Ready)
            }
            // Authentication without a password, the cancellation key, protocol version negotiation.
            (b'R', ReadState::Startup) => Some(self.state).filter(|_| body == [0; 4]),
            (b'K' | b'v', ReadState::Startup) => Some(self.state),
            (b'N', _) => Some(self.state),
            (b'S', _) => {
                // An unreadable parameter is skipped on its own: the answer beside it may be good.
                if let Some((name, value)) =
                    validate::parameter_status(body).filter(|_| self.state != ReadState::Startup)
                {
                    self.host_status.read_parameter(name, value);
                }
                Some(self.state)
            }
            (b'T', ReadState::Waiting) => Some(ReadState::Description),
            (b'D', ReadState::Description) => Some(ReadState::Row),
            (b'C', ReadState::Row) => {
                Some(ReadState::Completion).filter(|_| validate::is_completion(body, self.expected_tag))
            }
            (b'E', ReadState::Startup | ReadState::Waiting | ReadState::Description | ReadState::Row) => {
                self.error_code = validate::sqlstate(body).unwrap_or_default().to_vec();
                self.is_rejected = self.state == ReadState::Startup;
                // After rejecting a connection the host sends nothing more.
                let next = if self.is_rejected { ReadState::Ready } else { ReadState::Error };
                Some(next).filter(|_| !self.error_code.is_empty())
            }
            _ => None,
        };
        let Some(next) = next else { return self.mark_malformed() };
        if matches!(kind, b'T' | b'D' | b'C') {
            self.answer.extend_from_slice(message);
        }
        if kind == b'D' {
            self.value = frame::first_column(body).unwrap_or_default().to_vec();
        }
        self.state = next;
    }

    /// The result of the job. `read_end` is how reading ended if the answer is incomplete. `has_excess`:
    /// bytes follow the answer; the answer is good, but the connection can't be reused.
    pub fn into_result(self, read_end: Option<Ending>, has_excess: bool, is_probe: bool) -> JobResult {
        if self.is_malformed || self.is_reply_to_empty_query {
            // The op may have run; nothing received with it can be trusted.
            return without_answer(Ending::Spoilt);
        }
        let has_row = self.has_row();
        let ending = match (self.error_code.as_slice(), read_end) {
            // The connection was rejected, most likely for too many connections: the host never saw the job.
            _ if self.is_rejected => Ending::Unreached,
            (b"53300" | b"57P03", _) => Ending::Full,
            (b"25006" | b"72000", _) => Ending::Missed,
            (b"", _) if has_row => Ending::Acked,
            (b"", Some(ending)) => ending,
            _ => Ending::Errored,
        };
        let mut host_status = self.host_status;
        if is_probe && ending == Ending::Acked {
            host_status.read_report(std::str::from_utf8(&self.value).unwrap_or(""));
        }
        let is_reusable =
            self.state == ReadState::Ready && read_end.is_none() && !has_excess && !self.is_rejected;
        JobResult { ending, answer: self.answer, host_status, is_reusable }
    }
}
