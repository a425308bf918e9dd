//! A client's connection and its answers, which are written in the order of its commands. The thread that
//! completes the next answer writes as much of it as the socket accepts without blocking; the client loop
//! writes the rest once the socket is writable again.

use crate::shared::{MemoryReservation, Shared};
use crate::vectored_io;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};

/// Answers that are not written yet to one client.
#[derive(Default)]
pub struct Outgoing {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Commands accepted so far.
    accepted: u64,
    /// Number of the command whose answer is queued next.
    next_seq: u64,
    /// Answers written so far.
    written: u64,
    /// Answers that arrived before their turn, by command number.
    out_of_order: BTreeMap<u64, (Vec<u8>, MemoryReservation)>,
    /// Answers in order that the socket has not taken in full.
    unwritten: VecDeque<(Vec<u8>, MemoryReservation)>,
    /// Reading is paused until some answers are written.
    is_reader_waiting: bool,
    /// No more commands will be accepted.
    is_finishing: bool,
    /// Nothing more can be written.
    is_broken: bool,
}

impl State {
    /// Queues the answer to command `seq`, and behind it those that have waited for it.
    fn queue(&mut self, seq: u64, bytes: Vec<u8>, reservation: MemoryReservation) {
        if self.is_broken {
            return;
        }
        self.out_of_order.insert(seq, (bytes, reservation));
        while let Some(answer) = self.out_of_order.remove(&self.next_seq) {
            self.unwritten.push_back(answer);
            self.next_seq += 1;
        }
    }
}

/// One client connection. Its descriptor closes when the client loop and all ops of the client have dropped
/// it.
pub struct Client {
    pub id: u64,
    pub stream: TcpStream,
    pub outgoing: Outgoing,
    /// Commands accepted whose answers are not written yet.
    pub pending: AtomicUsize,
    /// When it last sent something or was answered, in whole Unix ms.
    pub last_active_at: AtomicU64,
    /// The retry time that its last busy reply named, in whole Unix ms.
    pub retry_at: AtomicU64,
    pub shared: Arc<Shared>,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.shared.client_closed();
    }
}

impl Client {
    pub fn new(shared: &Arc<Shared>, id: u64, stream: TcpStream) -> Arc<Client> {
        shared.client_opened();
        let last_active_at = AtomicU64::new(shared.clock.now() as u64);
        let (outgoing, pending, retry_at) = Default::default();
        Arc::new(Client { id, stream, outgoing, pending, last_active_at, retry_at, shared: shared.clone() })
    }

    fn outgoing(&self) -> MutexGuard<'_, State> {
        self.outgoing.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether this many answers or more are unwritten; if so, the client loop is woken once some are
    /// written.
    pub fn is_full(&self, limit: usize) -> bool {
        let mut state = self.outgoing();
        state.is_reader_waiting = !state.is_broken && state.accepted - state.written >= limit as u64;
        state.is_reader_waiting
    }

    /// Accepts a command and returns its number; `None` if the connection is broken.
    pub fn begin_command(&self) -> Option<u64> {
        let mut state = self.outgoing();
        if state.is_broken {
            return None;
        }
        state.accepted += 1;
        self.pending.fetch_add(1, Relaxed);
        Some(state.accepted - 1)
    }

    /// Queues the whole answer to command `seq`, and writes what can be written.
    pub fn answer(self: &Arc<Client>, seq: u64, bytes: Vec<u8>, reservation: MemoryReservation) {
        let mut state = self.outgoing();
        let was_slow = !state.unwritten.is_empty();
        state.queue(seq, bytes, reservation);
        if was_slow || state.unwritten.is_empty() {
            return;
        }
        self.write(&mut state);
        if !state.unwritten.is_empty() {
            // Wakes the client loop, which limits how long the client may take to read the rest.
            self.shared.wake_client(self.id);
        }
    }

    /// Queues the whole answer to command `seq` without writing it. For the client loop, which calls
    /// `write_remaining` after the client's turn: many answers then cost one system call.
    pub fn queue_answer(&self, seq: u64, bytes: Vec<u8>, reservation: MemoryReservation) {
        self.outgoing().queue(seq, bytes, reservation);
    }

    /// Writes as much as the socket accepts without blocking; returns whether that was anything.
    pub fn write_remaining(&self) -> bool {
        let mut state = self.outgoing();
        let before = (state.written, state.unwritten.front().map(|(bytes, _)| bytes.len()));
        self.write(&mut state);
        before != (state.written, state.unwritten.front().map(|(bytes, _)| bytes.len()))
    }

    /// Whether answers wait until the client reads more.
    pub fn is_slow(&self) -> bool {
        !self.outgoing().unwritten.is_empty()
    }

    fn write(&self, state: &mut State) {
        if state.unwritten.is_empty() {
            return;
        }
        let parts: Vec<&[u8]> = state.unwritten.iter().map(|(bytes, _)| bytes.as_slice()).collect();
        let Ok(mut sent) = vectored_io::write_nonblocking(&self.stream, &parts) else {
            return self.abort_locked(state);
        };
        let mut answers_written = 0;
        while let Some((bytes, _)) = state.unwritten.front_mut() {
            if bytes.len() > sent {
                bytes.drain(..sent);
                break;
            }
            sent -= bytes.len();
            state.unwritten.pop_front();
            answers_written += 1;
        }
        if state.unwritten.is_empty() {
            // Most clients have one op in flight: an idle client keeps no buffer for more.
            state.unwritten = VecDeque::new();
        }
        self.record_written(state, answers_written);
    }

    /// Accepts no more commands: the sending side is shut down after the last answer.
    pub fn finish(&self) {
        let mut state = self.outgoing();
        state.is_finishing = true;
        self.record_written(&mut state, 0);
    }

    /// Whether the connection is broken: nothing can be written, and open commands need no answer.
    pub fn is_disconnected(&self) -> bool {
        self.outgoing().is_broken
    }

    /// Whether all answers have been written after `finish`, or the connection is broken.
    pub fn is_finished(&self) -> bool {
        let state = self.outgoing();
        state.is_broken || (state.is_finishing && state.written == state.accepted)
    }

    fn record_written(&self, state: &mut State, answers: usize) {
        state.written += answers as u64;
        self.last_active_at.store(self.shared.clock.now() as u64, Relaxed);
        self.pending.fetch_sub(answers, Relaxed);
        let finished = state.is_finishing && state.written == state.accepted;
        if finished {
            drop(self.stream.shutdown(Shutdown::Write));
        }
        if finished || (answers > 0 && std::mem::take(&mut state.is_reader_waiting)) {
            self.shared.wake_client(self.id);
        }
    }

    /// Drops the unwritten answers and closes the connection: one of them may be partly written, and nothing
    /// else can follow it.
    pub fn abort(&self) {
        self.abort_locked(&mut self.outgoing());
    }

    fn abort_locked(&self, state: &mut State) {
        (state.is_broken, state.unwritten, state.out_of_order) = (true, VecDeque::new(), BTreeMap::new());
        // The client loop is woken by the shutdown and removes the client.
        drop(self.stream.shutdown(Shutdown::Both));
    }
}
