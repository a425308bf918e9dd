//! What the reader makes of one message: a command is passed on, answered or refused.

use super::InputEnd::{self, Disconnected, ErrorSent};
use super::{ClientReader, SurplusWork};
use crate::event::{Event, Statement};
use magpiewell_pg::{encode, frame};
use std::sync::Arc;
use std::sync::atomic::Ordering::{Acquire, Relaxed};

impl ClientReader {
    /// Handles a message; without its body if that was discarded for want of memory.
    pub(super) fn handle_message(&mut self, kind: u8, body: Option<&[u8]>) -> Result<(), InputEnd> {
        match kind {
            b'X' => Err(Disconnected),
            b'S' => {
                self.is_skipping = false;
                self.reply(encode::READY_FOR_QUERY.to_vec())
            }
            b'd' | b'c' | b'f' | b'H' => {
                self.note_surplus();
                Ok(())
            }
            _ if self.is_skipping => {
                self.note_surplus();
                Ok(())
            }
            b'Q' => match body {
                Some(body) => self.handle_query(body),
                None => self.refuse_for_memory(),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.is_skipping = true;
                let mut reply = Vec::new();
                encode::error_response(&mut reply, false, "0A000", "only simple queries are taken", "");
                self.reply(reply)
            }
            b'F' => self.reject("0A000", "only simple queries are taken"),
            _ => self.reject_fatally("08P01", &format!("unknown message kind {kind}")),
        }
    }

    pub(super) fn handle_query(&mut self, body: &[u8]) -> Result<(), InputEnd> {
        let arrived_at = self.shared.clock.now();
        // The only zero byte of a query is its last: one inside would hide what follows it.
        let Some((text, _)) = frame::c_string(body, 0).filter(|(_, end)| *end == body.len()) else {
            return self.reject_fatally("08P01", "a query with no end, or more behind it");
        };
        let Ok(text) = std::str::from_utf8(text) else {
            return self.reject("22021", "the statement is not UTF-8");
        };
        if text.trim().is_empty() {
            let mut reply = Vec::new();
            match self.shared.is_ready.load(Acquire) {
                true => encode::empty_query_response(&mut reply),
                false => {
                    encode::error_response(&mut reply, false, "57P03", "no list of hosts is known yet", "")
                }
            }
            reply.extend_from_slice(&encode::READY_FOR_QUERY);
            return self.reply(reply);
        }
        let facts = match self.parser.parse(text) {
            Ok(facts) => facts,
            Err(why) => return self.reject("42601", &why),
        };
        self.consecutive_faults = 0;
        self.has_valid_op = true;
        let Some(reservation) = self.shared.try_reserve(text.len() + self.shared.limits.read_bytes) else {
            return self.refuse_for_memory();
        };
        let seq = self.begin_command()?;
        let (is_write, client_timeout_range) = (facts.is_write, facts.client_timeout_range.clone());
        let statement =
            Statement { text: text.as_bytes().to_vec(), is_write, client_timeout_range, reservation };
        let event = Event::OpArrived {
            client: self.client.clone(),
            seq,
            facts: Box::new(facts),
            statement: Arc::new(statement),
            arrived_at,
        };
        self.events.send(event).map_err(|_| Disconnected)?;
        // A client that ignores its retry times costs more than the ops that it is refused. Once closed, it
        // waits in the accept queue until there is processor time for it.
        let is_early = arrived_at < self.client.retry_at.load(Relaxed) as f64
            && self.shared.is_cpu_limited.load(Relaxed);
        self.early_ops += usize::from(is_early);
        // What has arrived after this op is still accepted: if it were dropped, its ops would get no answer.
        self.is_draining |= self.early_ops >= self.shared.limits.early;
        Ok(())
    }

    fn begin_command(&self) -> Result<u64, InputEnd> {
        self.client.begin_command().ok_or(Disconnected)
    }

    /// Answers a command that is no valid op.
    pub(super) fn reply(&mut self, bytes: Vec<u8>) -> Result<(), InputEnd> {
        self.note_surplus();
        self.reply_at_no_charge(bytes)
    }

    /// Answers a command without the decision thread; the answer is written at the end of the turn.
    pub(super) fn reply_at_no_charge(&self, bytes: Vec<u8>) -> Result<(), InputEnd> {
        self.shared.metrics.local_answers.fetch_add(1, Relaxed);
        let seq = self.begin_command()?;
        let reservation = self.shared.reserve(bytes.len());
        self.client.queue_answer(seq, bytes, reservation);
        Ok(())
    }

    /// Refuses a command because too much memory is in use. Nothing of it was sent, and it is no fault of the
    /// client.
    fn refuse_for_memory(&mut self) -> Result<(), InputEnd> {
        self.shared.metrics.memory_refusals.fetch_add(1, Relaxed);
        self.shared.metrics.refused_ops.fetch_add(1, Relaxed);
        let mut reply = Vec::new();
        encode::error_response(&mut reply, false, "53300", "too much is held already", "");
        reply.extend_from_slice(&encode::READY_FOR_QUERY);
        self.reply_at_no_charge(reply)
    }

    /// Counts a message that is no valid op.
    fn note_surplus(&mut self) {
        self.surplus.get_or_insert_with(SurplusWork::begin).messages += 1;
    }

    /// Rejects a command with an error; the next one is accepted as usual, up to the limit of faults in a
    /// row.
    fn reject(&mut self, code: &str, line: &str) -> Result<(), InputEnd> {
        self.consecutive_faults += 1;
        self.has_valid_op = false;
        if self.consecutive_faults >= self.shared.limits.faults {
            return self.reject_fatally(code, line);
        }
        let mut reply = Vec::new();
        encode::error_response(&mut reply, false, code, line, "");
        reply.extend_from_slice(&encode::READY_FOR_QUERY);
        self.reply(reply)
    }

    /// Rejects a command with a fatal error, as the rest of the stream can't be parsed.
    pub(super) fn reject_fatally(&mut self, code: &str, line: &str) -> Result<(), InputEnd> {
        let mut reply = Vec::new();
        encode::error_response(&mut reply, true, code, line, "");
        self.reply(reply)?;
        Err(ErrorSent)
    }
}
