//! What a connection remembers of its earlier answers. Messages carry no request id, so an answer belongs to
//! a request by its place in the stream alone, and bytes that a host sends behind an answer can be taken for
//! the answer to the next request. Pure: no clock and no I/O.

/// The latest row of a connection, and how soon the host has answered with one.
#[derive(Debug, Default)]
pub struct AnswerHistory {
    /// Hash of the latest answer's row; `None` before the first answer and after one without a row.
    latest_row: Option<u64>,
    /// The shortest time in which the host has answered with a row, in ms.
    shortest_ms: Option<f64>,
}

impl AnswerHistory {
    /// Whether an answer with this row, which came `took_ms` after its request, is a second copy of the answer
    /// before: it holds the same row, and came sooner than any answer so far, so that it may have left the host
    /// before the request arrived there, or is followed by more, which may be the answer.
    pub fn is_second_copy(&self, row: u64, took_ms: f64, has_excess: bool) -> bool {
        let is_too_early = self.shortest_ms.is_some_and(|shortest| took_ms < shortest);
        self.latest_row == Some(row) && (is_too_early || has_excess)
    }

    #[cfg(test)]
    pub fn shortest_ms(&self) -> Option<f64> {
        self.shortest_ms
    }

    /// Records an answer that was accepted. `took_ms` is `None` if it is not known how long the host took.
    pub fn record(&mut self, row: Option<u64>, took_ms: Option<f64>) {
        // The same row again may be a second copy that was not recognised: its time proves nothing.
        let is_evidence = row.is_some() && row != self.latest_row;
        if let Some(took_ms) = took_ms.filter(|_| is_evidence) {
            self.shortest_ms = Some(self.shortest_ms.map_or(took_ms, |shortest| shortest.min(took_ms)));
        }
        self.latest_row = row;
    }
}

#[cfg(test)]
mod tests;
