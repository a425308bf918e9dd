//! Relays answers to a client, in the order of its commands. One thread a client writes here.

use crate::gather;
use crate::hall::{Client, Held};
use crossbeam_channel::Receiver;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering::Relaxed;

/// A whole answer by the number of its command, counted as held; the writer brings them into order.
pub type Answer = (u64, Vec<u8>, Held);

/// Runs until nobody can answer this client any more, or the client takes nothing.
pub fn run(client: &Client, answers: &Receiver<Answer>, written: &Receiver<()>) {
    let mut next = 0;
    let mut waiting = BTreeMap::new();
    while let Ok(answer) = answers.recv() {
        for (seq, bytes, held) in std::iter::once(answer).chain(answers.try_iter()) {
            waiting.insert(seq, (bytes, held));
        }
        let mut due = Vec::new();
        while let Some(answer) = waiting.remove(&next) {
            due.push(answer);
            next += 1;
        }
        let parts: Vec<&[u8]> = due.iter().map(|(bytes, _)| bytes.as_slice()).collect();
        if gather::write_all(&client.stream, &parts).is_err() {
            // A client that does not read, or is gone: an answer cut short can only end the connection.
            drop(client.stream.shutdown(Shutdown::Both));
            return;
        }
        for _ in &due {
            let _ = written.try_recv();
        }
        client.pending.fetch_sub(due.len(), Relaxed);
    }
    drop(client.stream.shutdown(Shutdown::Write));
}
