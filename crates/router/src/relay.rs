//! Relays answers to a client, in the order of its commands. Whoever brings the next one writes it, as far as the
//! client takes it without waiting; only what is left over costs a thread, which waits.

use crate::gather;
use crate::hall::{Client, Held};
use std::collections::{BTreeMap, VecDeque};
use std::net::Shutdown;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// Answers on their way to one client.
#[derive(Default)]
pub struct Outgoing {
    state: Mutex<State>,
    written: Condvar,
}

#[derive(Default)]
struct State {
    /// Commands taken so far, answers in turn so far, and answers written so far.
    taken: u64,
    next: u64,
    done: u64,
    /// Answers that came before their turn.
    early: BTreeMap<u64, (Vec<u8>, Held)>,
    /// What the client did not take at once; a thread is writing it.
    left: VecDeque<(Vec<u8>, Held)>,
    slow: bool,
    /// No more commands come.
    over: bool,
    /// Nothing more can be written.
    broken: bool,
}

impl Client {
    fn outgoing(&self) -> MutexGuard<'_, State> {
        self.outgoing.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// The number of a new command; waits where too many answers are still to be written.
    pub fn enter(&self, most: usize) -> Option<u64> {
        let mut state = self.outgoing();
        while !state.broken && state.taken - state.done >= most as u64 {
            state = self.outgoing.written.wait(state).unwrap_or_else(|broken| broken.into_inner());
        }
        state.taken += 1;
        self.pending.fetch_add(1, Relaxed);
        (!state.broken).then(|| state.taken - 1)
    }

    /// The whole answer to a command.
    pub fn answer(self: &Arc<Client>, seq: u64, bytes: Vec<u8>, held: Held) {
        let mut guard = self.outgoing();
        let state = &mut *guard;
        state.early.insert(seq, (bytes, held));
        let mut due = VecDeque::new();
        while let Some(answer) = state.early.remove(&state.next) {
            due.push_back(answer);
            state.next += 1;
        }
        if state.broken || due.is_empty() {
            return;
        }
        if state.slow {
            return state.left.append(&mut due);
        }
        let parts: Vec<&[u8]> = due.iter().map(|(bytes, _)| bytes.as_slice()).collect();
        let Ok(mut taken) = gather::write_now(&self.stream, &parts) else { return self.break_off(state) };
        while let Some((bytes, _)) = due.front_mut() {
            if bytes.len() > taken {
                bytes.drain(..taken);
                break;
            }
            taken -= bytes.len();
            due.pop_front();
            self.wrote(state, 1);
        }
        if !due.is_empty() {
            (state.left, state.slow) = (due, true);
            let client = self.clone();
            if self.hall.spawn("relay", move || client.write_left()).is_none() {
                self.break_off(state);
            }
        }
    }

    /// Writes what the client did not take at once, until nothing is left of it.
    fn write_left(&self) {
        loop {
            let mut state = self.outgoing();
            let left = std::mem::take(&mut state.left);
            state.slow = !left.is_empty();
            if left.is_empty() {
                return;
            }
            drop(state);
            let parts: Vec<&[u8]> = left.iter().map(|(bytes, _)| bytes.as_slice()).collect();
            let written = gather::write_all(&self.stream, &parts);
            let mut state = self.outgoing();
            match written {
                Ok(()) => self.wrote(&mut state, left.len()),
                // A client that does not read, or is gone: an answer cut short can only end the connection.
                Err(_) => return self.break_off(&mut state),
            }
        }
    }

    /// No more commands come: the sending ends with the last answer.
    pub fn over(&self) {
        let mut state = self.outgoing();
        state.over = true;
        self.wrote(&mut state, 0);
    }

    fn wrote(&self, state: &mut State, answers: usize) {
        state.done += answers as u64;
        self.last.store(self.hall.clock.now() as u64, Relaxed);
        self.pending.fetch_sub(answers, Relaxed);
        if state.over && state.done == state.taken {
            drop(self.stream.shutdown(Shutdown::Write));
        }
        self.outgoing.written.notify_one();
    }

    fn break_off(&self, state: &mut State) {
        (state.broken, state.left, state.early) = (true, VecDeque::new(), BTreeMap::new());
        drop(self.stream.shutdown(Shutdown::Both));
        self.outgoing.written.notify_one();
    }
}
