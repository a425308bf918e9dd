//! Settles which answer on a connection belongs to a request. Messages carry no request id, so a host's second
//! copy of the answer before, still under way as the request was written, looks like the answer to it. An empty
//! query is asked behind a doubtful answer: hosts answer in order, so the last answer that comes before the
//! reply to the empty query belongs to the request. Pure: no clock and no I/O.

use crate::answer::AnswerReader;

/// A doubtful answer, and what has come behind it.
pub struct Verification {
    /// The latest whole answer.
    candidate: AnswerReader,
    /// Whether the candidate came behind another answer, which was then a second copy.
    has_displaced_copy: bool,
    /// Reads what comes behind the candidate.
    next: AnswerReader,
}

/// The state of a verification after a further answer.
pub enum Verdict {
    /// The reply to the empty query has not come yet.
    Pending(Verification),
    /// This is the answer to the request; whether a second copy came before it.
    Confirmed { answer: AnswerReader, had_copy: bool },
    /// More has come than one copy can explain.
    Failed,
}

impl Verification {
    pub fn new(doubtful: AnswerReader) -> Verification {
        Verification { next: doubtful.for_same_request(), candidate: doubtful, has_displaced_copy: false }
    }

    /// The reader for what comes next.
    pub fn reader(&mut self) -> &mut AnswerReader {
        &mut self.next
    }

    /// Takes the next answer into account once its reader is done.
    pub fn advance(self) -> Verdict {
        if self.next.is_reply_to_empty_query() {
            return Verdict::Confirmed { answer: self.candidate, had_copy: self.has_displaced_copy };
        }
        if self.has_displaced_copy || !self.next.is_accepted() {
            return Verdict::Failed;
        }
        let next = self.next.for_same_request();
        Verdict::Pending(Verification { candidate: self.next, has_displaced_copy: true, next })
    }
}
