//! Reads one client's commands: takes what the socket has without blocking, splits it into messages, checks
//! them and passes ops to the decision thread. The client loop (`client_loop.rs`) calls it when there may be
//! something to read or a deadline has passed.

mod commands;

use crate::client::Client;
use crate::deferral::DeferralClass;
use crate::event::Event;
use crate::op_facts::OpFactsParser;
use crate::shared::{MemoryReservation, Shared};
use crossbeam_channel::Sender;
use magpiewell_pg::{encode, frame};
use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::sync::atomic::Ordering::{Acquire, Relaxed};

/// What the client loop does with a client after its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing more to read for now.
    Wait,
    /// There may be more to read, after other clients have had their turn.
    ReadMore,
    /// The connection is done with and is removed.
    Closed,
}

/// The input side of one client connection.
pub struct ClientReader {
    shared: Arc<Shared>,
    parser: Arc<OpFactsParser>,
    events: Sender<Event>,
    pub client: Arc<Client>,
    /// What has been read but not processed: part of a message, and whole messages while reading is paused.
    buf: Vec<u8>,
    /// Counts a long message of which part is buffered.
    reservation: Option<MemoryReservation>,
    /// The message that is being discarded, for want of memory.
    discarded: Option<DiscardedMessage>,
    is_opened: bool,
    /// Messages are skipped up to the next Sync.
    is_skipping: bool,
    /// Why whole messages may be in `buf`; `None` if it holds part of a message at most.
    pause: Option<Pause>,
    /// Messages processed in the present turn.
    turn_messages: usize,
    /// Work of the present turn that served no valid op; `None` for none.
    surplus: Option<SurplusWork>,
    /// Messages without a valid op after which the turn is over.
    pub max_surplus_messages: usize,
    /// Whether the next turn waits for processor time.
    pub is_deferred: bool,
    /// Whether its last command was a valid op; false until the first one.
    pub has_valid_op: bool,
    /// Whether the client is being drained: its place counts as free, accepted commands are still answered.
    pub is_draining: bool,
    /// The client has closed its sending side or the connection: it no longer waits for any answer.
    pub hung_up: bool,
    /// No more commands are accepted.
    is_input_ended: bool,
    /// Bytes that are still read and discarded after the last answer: closing a connection with unread bytes
    /// resets it, and the client would lose answers that it has not read yet.
    discard_left: Option<usize>,
    /// Nothing that was sent to the client can still be in flight, so closing can't lose an answer.
    is_delivered: bool,
    /// Faulty commands in a row.
    consecutive_faults: usize,
    /// Ops sent before the retry time that the client was given, while processor time was short.
    early_ops: usize,
    /// Deadline of the startup, of a command that has begun, or of discarding.
    read_deadline: Option<f64>,
    /// Deadline by which the client must have read more of its answers.
    write_deadline: Option<f64>,
    /// Whether the loop also watches for the socket to become writable.
    pub watches_writable: bool,
    /// Whether the client is queued for another turn.
    pub is_queued: bool,
}

/// Why messages that have been read are not processed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pause {
    /// Too many answers are unwritten: no command is accepted until some are written.
    UnwrittenAnswers,
    /// The turn is over: other clients come first.
    TurnOver,
}

/// Work of one turn that serves no valid op.
#[derive(Clone, Copy, Debug)]
pub struct SurplusWork {
    messages: usize,
    /// Processor time of the thread as the work began, in ms.
    began_at_cpu_ms: f64,
}

impl SurplusWork {
    fn begin() -> SurplusWork {
        SurplusWork { messages: 0, began_at_cpu_ms: Shared::thread_cpu_ms() }
    }

    /// Processor time that the work has taken until now, in ms.
    pub fn used_ms(&self) -> f64 {
        (Shared::thread_cpu_ms() - self.began_at_cpu_ms).max(0.0)
    }
}

/// A message that is read to its end without being kept.
#[derive(Clone, Copy, Debug)]
struct DiscardedMessage {
    kind: u8,
    /// Bytes of it that have not arrived yet.
    missing_bytes: usize,
}

/// Why no more commands are accepted.
enum InputEnd {
    /// The client has disconnected or can't be served: its open commands need no answer.
    Disconnected,
    /// The client was sent a fatal error, and the rest of its stream can't be parsed; earlier commands are
    /// still answered.
    ErrorSent,
    /// The router closes the connection between two commands.
    ClosedByRouter,
}
use InputEnd::{ClosedByRouter, Disconnected, ErrorSent};

impl ClientReader {
    pub fn new(
        shared: &Arc<Shared>,
        parser: &Arc<OpFactsParser>,
        events: &Sender<Event>,
        client: Arc<Client>,
    ) -> ClientReader {
        let read_deadline = Some(shared.clock.now() + shared.limits.opening_ms);
        ClientReader {
            shared: shared.clone(),
            parser: parser.clone(),
            events: events.clone(),
            client,
            buf: Vec::new(),
            reservation: None,
            discarded: None,
            is_opened: false,
            is_skipping: false,
            pause: None,
            turn_messages: 0,
            surplus: None,
            max_surplus_messages: usize::MAX,
            is_deferred: false,
            has_valid_op: false,
            is_draining: false,
            hung_up: false,
            is_input_ended: false,
            discard_left: None,
            is_delivered: false,
            consecutive_faults: 0,
            early_ops: 0,
            read_deadline,
            write_deadline: None,
            watches_writable: false,
            is_queued: false,
        }
    }

    /// Whether answers wait until the client reads more.
    pub fn is_slow(&self) -> bool {
        self.write_deadline.is_some()
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<f64> {
        match (self.read_deadline, self.write_deadline) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// The work of the last turn that served no valid op.
    pub fn take_surplus(&mut self) -> Option<SurplusWork> {
        self.surplus.take()
    }

    /// How the client waits where its next turn is deferred.
    pub fn deferral_class(&self) -> DeferralClass {
        if self.consecutive_faults > 0 { DeferralClass::Faulty } else { DeferralClass::Regular }
    }

    /// The client's activity, for the order of eviction.
    pub fn activity(&self, now: f64) -> crate::eviction::ClientActivity {
        let busy = self.client.pending.load(Relaxed) > 0;
        let last_active_at = if busy { now as u64 } else { self.client.last_active_at.load(Relaxed) };
        crate::eviction::ClientActivity { has_valid_op: self.has_valid_op, last_active_at }
    }

    /// Runs one turn: reads and processes what has arrived, with a limited number of reads and of messages. A
    /// short read ends the turn unless `until_blocked` is set. `scratch` is overwritten.
    pub fn serve(&mut self, scratch: &mut [u8], until_blocked: bool) -> Outcome {
        self.turn_messages = 0;
        let outcome = self.read_and_process(scratch, until_blocked);
        self.write_remaining();
        outcome
    }

    fn read_and_process(&mut self, scratch: &mut [u8], until_blocked: bool) -> Outcome {
        // Checked before bytes are read: behind many of them, or while reading is paused, the end would be
        // noticed late.
        if self.hung_up {
            return self.end_input(Disconnected);
        }
        if self.is_input_ended {
            return self.serve_after_input(scratch);
        }
        for _ in 0..self.shared.limits.reads_a_turn {
            if self.pause.is_some() {
                let buffered = std::mem::take(&mut self.buf);
                let processed = self.process_buffered(buffered);
                if let Err(end) = processed {
                    return self.end_input(end);
                }
            }
            match self.pause {
                Some(Pause::UnwrittenAnswers) => return Outcome::Wait,
                Some(Pause::TurnOver) => return Outcome::ReadMore,
                None => {}
            }
            match (&self.client.stream).read(scratch) {
                Ok(0) => return self.end_input(Disconnected),
                Ok(n) => {
                    self.client.last_active_at.store(self.shared.clock.now() as u64, Relaxed);
                    let processed = self.process_read(&scratch[..n]);
                    if let Err(end) = processed {
                        return self.end_input(end);
                    }
                    // A short read means that nothing more has arrived, and saves a call.
                    if n < scratch.len() && !until_blocked && !self.is_draining && self.pause.is_none() {
                        return Outcome::Wait;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // Of a draining client, everything that had arrived has been accepted.
                    return if self.is_draining { self.end_input(ClosedByRouter) } else { Outcome::Wait };
                }
                Err(_) => return self.end_input(Disconnected),
            }
        }
        Outcome::ReadMore
    }

    /// Writes answers to a socket that has become writable.
    pub fn write_remaining(&mut self) {
        let progressed = self.client.write_remaining();
        self.update_write_deadline(progressed);
    }

    /// Sets the deadline after which a client that reads nothing is disconnected.
    fn update_write_deadline(&mut self, progressed: bool) {
        if !self.client.is_slow() {
            self.write_deadline = None;
        } else if progressed || self.write_deadline.is_none() {
            let timeout_ms = self.shared.limits.client_write.as_secs_f64() * 1000.0;
            self.write_deadline = Some(self.shared.clock.now() + timeout_ms);
        }
    }

    /// Handles a deadline that may have passed.
    pub fn handle_deadline(&mut self, _: &mut [u8]) -> Outcome {
        let now = self.shared.clock.now();
        if self.write_deadline.is_some_and(|deadline| deadline <= now) {
            return self.disconnect();
        }
        if self.read_deadline.is_none_or(|deadline| deadline > now) {
            return Outcome::Wait;
        }
        self.read_deadline = None;
        if self.is_input_ended {
            return self.end_discarding();
        }
        if !self.is_opened {
            return self.end_input(Disconnected);
        }
        let rejected = self.reject_fatally("08P01", "what was begun here was not ended in time");
        self.end_input(rejected.err().unwrap_or(ErrorSent))
    }

    /// Starts draining the client: what has arrived is still accepted and answered.
    pub fn drain(&mut self, scratch: &mut [u8]) -> Outcome {
        self.is_draining = true;
        self.serve(scratch, true)
    }

    fn end_input(&mut self, end: InputEnd) -> Outcome {
        (self.is_input_ended, self.read_deadline) = (true, None);
        self.client.write_remaining();
        (self.buf, self.reservation, self.discarded) = (Vec::new(), None, None);
        if matches!(end, Disconnected) {
            return self.disconnect();
        }
        self.is_draining = true;
        // A client that has sent no command, or has been idle for longer than the time for discarding, has no
        // answer in flight: it is closed at once.
        let idle_ms = self.shared.clock.now() - self.client.last_active_at.load(Relaxed) as f64;
        let has_sent_command = self.has_valid_op || self.consecutive_faults > 0;
        let may_be_in_flight =
            has_sent_command && (self.client.pending.load(Acquire) > 0 || idle_ms < self.discard_ms());
        self.is_delivered = matches!(end, ClosedByRouter) && !may_be_in_flight;
        self.client.finish();
        if matches!(end, ErrorSent) {
            self.start_discarding();
        }
        self.continue_closing()
    }

    fn discard_ms(&self) -> f64 {
        self.shared.limits.drain.as_secs_f64() * 1000.0
    }

    fn start_discarding(&mut self) {
        self.discard_left = Some(self.shared.limits.drain_bytes);
        self.read_deadline = Some(self.shared.clock.now() + self.discard_ms());
    }

    /// The next step of closing: once all answers are written, discards what still arrives for a while, then
    /// ends.
    fn continue_closing(&mut self) -> Outcome {
        match self.client.is_finished() {
            true if self.is_delivered => Outcome::Closed,
            true if self.discard_left.is_none() => {
                self.is_delivered = true;
                self.start_discarding();
                Outcome::ReadMore
            }
            _ => Outcome::Wait,
        }
    }

    /// Disconnects at once; commands that are not answered yet need no answer any more.
    pub fn disconnect(&mut self) -> Outcome {
        if self.client.pending.load(Acquire) > 0 {
            drop(self.events.send(Event::ClientDisconnected { client: self.client.id }));
        }
        self.client.abort();
        Outcome::Closed
    }

    /// A turn after the input has ended: discards what still arrives, up to the limits. Until the last answer
    /// is written it only checks whether the client has disconnected: what a client sends in the meantime it
    /// sends again on another connection.
    fn serve_after_input(&mut self, scratch: &mut [u8]) -> Outcome {
        if self.discard_left.is_none() {
            return match self.client.stream.peek(&mut scratch[..1]) {
                Ok(0) => self.disconnect(),
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    self.disconnect()
                }
                _ => self.continue_closing(),
            };
        }
        for _ in 0..self.shared.limits.reads_a_turn {
            let Some(left) = self.discard_left else { break };
            match (&self.client.stream).read(scratch) {
                Ok(n) if n > 0 => self.discard_left = Some(left.saturating_sub(n)).filter(|left| *left > 0),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Outcome::Wait,
                // Disconnected: answers to commands before the fault that ended the input have no recipient
                // any more.
                _ => return self.disconnect(),
            }
        }
        if self.discard_left.is_some() { Outcome::ReadMore } else { self.end_discarding() }
    }

    /// Ends the discarding of input.
    fn end_discarding(&mut self) -> Outcome {
        (self.discard_left, self.read_deadline, self.is_delivered) = (None, None, true);
        self.continue_closing()
    }

    fn process_read(&mut self, read: &[u8]) -> Result<(), InputEnd> {
        let (read, is_discarded) = self.discard_message(read)?;
        if !self.buf.is_empty() {
            let mut buffered = std::mem::take(&mut self.buf);
            buffered.extend_from_slice(read);
            return self.process_buffered(buffered);
        }
        let at = self.process_messages(read)?;
        self.buf.extend_from_slice(&read[at..]);
        self.update_buffered(is_discarded || at > 0);
        Ok(())
    }

    fn process_buffered(&mut self, mut buffered: Vec<u8>) -> Result<(), InputEnd> {
        // A message that has become complete is counted by its op.
        self.reservation = None;
        let at = self.process_messages(&buffered)?;
        if at < buffered.len() {
            buffered.drain(..at);
            self.buf = buffered;
        }
        self.update_buffered(at > 0);
        Ok(())
    }

    /// Accounts for the bytes that were not processed, and sets the deadline by which their message must be
    /// complete.
    fn update_buffered(&mut self, progressed: bool) {
        if self.buf.len() <= self.shared.limits.read_bytes {
            self.reservation = None;
        } else {
            let reservation = self.reservation.get_or_insert_with(|| self.shared.reserve(0));
            reservation.resize(self.buf.len());
        }
        if self.is_opened {
            // A command that has begun must be completed in time; between commands a client may stay idle.
            let has_begun = (!self.buf.is_empty() || self.discarded.is_some()) && self.pause.is_none();
            let old = self.read_deadline.filter(|_| !progressed);
            let deadline = || old.unwrap_or_else(|| self.shared.clock.now() + self.shared.limits.command_ms);
            self.read_deadline = has_begun.then(deadline);
        }
    }

    /// Bytes of a long message of which only a part has arrived, and that may be dropped.
    pub fn partial_bytes(&self) -> usize {
        let may_drop = self.is_opened && self.pause.is_none();
        self.reservation.as_ref().filter(|_| may_drop).map_or(0, MemoryReservation::bytes)
    }

    /// Drops the part of a message that has arrived, for want of memory. The rest is discarded as it arrives,
    /// and the message is refused at its end: its client has not failed, and is owed an answer.
    pub fn drop_partial_message(&mut self) {
        let (Some(kind), Some(length)) = (self.buf.first().copied(), frame::length_at(&self.buf, 1)) else {
            return;
        };
        let missing_bytes = (1 + length).saturating_sub(self.buf.len());
        self.discarded = Some(DiscardedMessage { kind, missing_bytes });
        (self.buf, self.reservation) = (Vec::new(), None);
    }

    /// Discards what belongs to a dropped message, and answers it at its end. Returns the bytes behind it, and
    /// whether it has ended.
    fn discard_message<'a>(&mut self, read: &'a [u8]) -> Result<(&'a [u8], bool), InputEnd> {
        let Some(DiscardedMessage { kind, missing_bytes }) = self.discarded else { return Ok((read, false)) };
        let (discarded, rest) = read.split_at(missing_bytes.min(read.len()));
        let missing_bytes = missing_bytes - discarded.len();
        self.discarded = (missing_bytes > 0).then_some(DiscardedMessage { kind, missing_bytes });
        if missing_bytes == 0 {
            self.handle_message(kind, None)?;
        }
        Ok((rest, missing_bytes == 0))
    }

    /// Begins the next message of the turn; false where reading has to pause before it.
    fn begin_message(&mut self) -> bool {
        let surplus_messages = self.surplus.map_or(0, |surplus| surplus.messages);
        self.pause = if self.turn_messages >= self.shared.limits.messages_a_turn
            || surplus_messages >= self.max_surplus_messages
        {
            Some(Pause::TurnOver)
        } else if self.client.is_full(self.shared.limits.pending) {
            Some(Pause::UnwrittenAnswers)
        } else {
            None
        };
        self.turn_messages += 1;
        self.pause.is_none()
    }

    /// Processes the complete messages in the buffer until the turn is over or too many answers are unwritten;
    /// returns the offset of the first byte that was not processed.
    fn process_messages(&mut self, buf: &[u8]) -> Result<usize, InputEnd> {
        let (max_bytes, mut at) = (self.shared.limits.message_bytes, 0);
        while !self.is_opened {
            if !self.begin_message() {
                return Ok(at);
            }
            let (code, body) = match frame::startup(&buf[at..], self.shared.limits.startup_bytes) {
                Ok(Some(read)) => read,
                Ok(None) => return Ok(at),
                Err(_) => {
                    self.reject_fatally("08P01", "this opens no connection")?;
                    return Ok(at);
                }
            };
            at += body.end;
            let mut reply = Vec::new();
            match code {
                frame::SSL_REQUEST | frame::GSSENC_REQUEST => reply.push(b'N'),
                frame::CANCEL_REQUEST => return Err(Disconnected),
                _ if code >> 16 == 3 => {
                    if code & 0xffff != 0 {
                        encode::negotiate_protocol_version(&mut reply);
                    }
                    encode::startup_reply(&mut reply);
                    self.is_opened = true;
                    self.reply_at_no_charge(reply)?;
                    break;
                }
                _ => {
                    self.reject_fatally("0A000", "only protocol 3 is spoken here")?;
                }
            }
            self.reply(reply)?;
        }
        loop {
            if !self.begin_message() {
                return Ok(at);
            }
            let (kind, body) = match frame::message(&buf[at..], max_bytes) {
                Ok(Some((kind, body))) => (kind, &buf[at + body.start..at + body.end]),
                Ok(None) => return Ok(at),
                Err(length) => {
                    let line = format!("message of {} bytes, 4 to {max_bytes} are taken", length.0);
                    self.reject_fatally("08P01", &line)?;
                    return Ok(at);
                }
            };
            at += 5 + body.len();
            self.handle_message(kind, Some(body))?;
        }
    }
}

#[cfg(test)]
pub use tests::parser as test_parser;

#[cfg(test)]
mod tests;
