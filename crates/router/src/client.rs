//! Relays answers to a client, in the order of its commands. Whoever brings the next one writes it, as far as the
//! client takes it without waiting; what is left over the clients' loop writes when the client takes more.

use crate::shared::{MemoryReservation, Shared};
use crate::vectored_io;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};

/// Answers on their way to one client.
#[derive(Default)]
pub struct Outgoing {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Commands taken so far, answers in turn so far, and answers written so far.
    taken: u64,
    next: u64,
    done: u64,
    /// Answers that came before their turn.
    early: BTreeMap<u64, (Vec<u8>, MemoryReservation)>,
    /// What the client did not take at once.
    left: VecDeque<(Vec<u8>, MemoryReservation)>,
    /// Reading waits until some of the answers are written.
    waited_for: bool,
    /// No more commands come.
    over: bool,
    /// Nothing more can be written.
    broken: bool,
}

/// One client connection; its descriptor closes when the clients' loop and its ops have let go.
pub struct Client {
    pub id: u64,
    pub stream: TcpStream,
    pub outgoing: Outgoing,
    /// Commands taken whose answers are not written yet.
    pub pending: AtomicUsize,
    /// When it last wrote something or was answered, in whole ms.
    pub last: AtomicU64,
    /// When it was told to come back, in whole ms.
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
        let last = AtomicU64::new(shared.clock.now() as u64);
        let (outgoing, pending, retry_at) = Default::default();
        Arc::new(Client { id, stream, outgoing, pending, last, retry_at, shared: shared.clone() })
    }

    fn outgoing(&self) -> MutexGuard<'_, State> {
        self.outgoing.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// True where as many answers as that are still to be written; the clients' loop then hears once some are.
    pub fn is_full(&self, most: usize) -> bool {
        let mut state = self.outgoing();
        state.waited_for = !state.broken && state.taken - state.done >= most as u64;
        state.waited_for
    }

    /// The number of a new command; none where nothing can be written any more.
    pub fn begin_command(&self) -> Option<u64> {
        let mut state = self.outgoing();
        if state.broken {
            return None;
        }
        state.taken += 1;
        self.pending.fetch_add(1, Relaxed);
        Some(state.taken - 1)
    }

    /// The whole answer to a command.
    pub fn answer(self: &Arc<Client>, seq: u64, bytes: Vec<u8>, held: MemoryReservation) {
        let mut guard = self.outgoing();
        let state = &mut *guard;
        if state.broken {
            return;
        }
        let was_slow = !state.left.is_empty();
        if seq == state.next {
            state.left.push_back((bytes, held));
            state.next += 1;
        } else {
            state.early.insert(seq, (bytes, held));
        }
        while let Some(answer) = state.early.remove(&state.next) {
            state.left.push_back(answer);
            state.next += 1;
        }
        if was_slow || state.left.is_empty() {
            return;
        }
        self.write(state);
        if !state.left.is_empty() {
            // Its loop gives it only so long to take the rest.
            self.shared.wake_client(self.id);
        }
    }

    /// Writes what the client takes by now; true where that was something.
    pub fn write_left(&self) -> bool {
        let mut state = self.outgoing();
        let before = (state.done, state.left.front().map(|(bytes, _)| bytes.len()));
        self.write(&mut state);
        before != (state.done, state.left.front().map(|(bytes, _)| bytes.len()))
    }

    /// Some answers wait for the client to take them.
    pub fn is_slow(&self) -> bool {
        !self.outgoing().left.is_empty()
    }

    fn write(&self, state: &mut State) {
        if state.left.is_empty() {
            return;
        }
        let parts: Vec<&[u8]> = state.left.iter().map(|(bytes, _)| bytes.as_slice()).collect();
        let Ok(mut taken) = vectored_io::write_nonblocking(&self.stream, &parts) else {
            return self.abort_locked(state);
        };
        let mut whole = 0;
        while let Some((bytes, _)) = state.left.front_mut() {
            if bytes.len() > taken {
                bytes.drain(..taken);
                break;
            }
            taken -= bytes.len();
            state.left.pop_front();
            whole += 1;
        }
        if state.left.is_empty() {
            // One answer at a time is the rule: an idle client keeps no room for more.
            state.left = VecDeque::new();
        }
        self.wrote(state, whole);
    }

    /// No more commands come: the sending ends with the last answer.
    pub fn over(&self) {
        let mut state = self.outgoing();
        state.over = true;
        self.wrote(&mut state, 0);
    }

    /// It has gone: nothing is owed to it.
    pub fn is_disconnected(&self) -> bool {
        self.outgoing().broken
    }

    /// All is written, or nothing more can be.
    pub fn is_finished(&self) -> bool {
        let state = self.outgoing();
        state.broken || (state.over && state.done == state.taken)
    }

    fn wrote(&self, state: &mut State, answers: usize) {
        state.done += answers as u64;
        self.last.store(self.shared.clock.now() as u64, Relaxed);
        self.pending.fetch_sub(answers, Relaxed);
        let finished = state.over && state.done == state.taken;
        if finished {
            drop(self.stream.shutdown(Shutdown::Write));
        }
        if finished || (answers > 0 && std::mem::take(&mut state.waited_for)) {
            self.shared.wake_client(self.id);
        }
    }

    /// Nothing more is written: an answer cut short can only end the connection.
    pub fn abort(&self) {
        self.abort_locked(&mut self.outgoing());
    }

    fn abort_locked(&self, state: &mut State) {
        (state.broken, state.left, state.early) = (true, VecDeque::new(), BTreeMap::new());
        // Its loop notices the end of reading.
        drop(self.stream.shutdown(Shutdown::Both));
    }
}
