//! Relays answers to a client, in the order of its commands. One thread a client writes here.

use crate::gather;
use crate::hall::Client;
use crossbeam_channel::Receiver;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering::Relaxed;

/// Runs until nobody can answer this client any more, or the client takes nothing.
pub fn run(client: &Client, answers: &Receiver<(u64, Vec<u8>)>, written: &Receiver<()>) {
    let mut next = 0;
    let mut waiting = BTreeMap::new();
    while let Ok((seq, bytes)) = answers.recv() {
        waiting.insert(seq, bytes);
        waiting.extend(answers.try_iter());
        let mut due = Vec::new();
        while let Some(bytes) = waiting.remove(&next) {
            due.push(bytes);
            next += 1;
        }
        let parts: Vec<&[u8]> = due.iter().map(Vec::as_slice).collect();
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
