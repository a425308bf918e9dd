//! Clients that send a moderate number of ops, some on a connection that they keep and some on new ones, and
//! record how each op ended.

use crate::client::{Answer, Client};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CLIENTS: usize = 20;
/// Time between two ops of a client.
const INTERVAL: Duration = Duration::from_millis(100);
const CLIENT_TIMEOUT_MS: u64 = 320;
/// An answer is late this long after the client timeout, and its op is lost, and its client gone, half a
/// second later: the platform's bounds for sockets.
const LATE_AFTER_MS: f64 = CLIENT_TIMEOUT_MS as f64 + 50.0;
const LOST_AFTER_MS: f64 = LATE_AFTER_MS + 500.0;
/// The group of the stand-in host.
const GROUP: u64 = 3;
const STACK_BYTES: usize = 128 * 1024;

/// How the ops of usual clients ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpCounts {
    pub answered: u64,
    /// Answered as refused; counted in `answered`, too.
    pub busy: u64,
    /// The router closed the connection unread.
    pub closed: u64,
    /// Answered late; counted in `answered`, too.
    pub late: u64,
    /// Without an answer when their client went away.
    pub lost: u64,
    /// The longest time until an op ended.
    pub slowest_ms: f64,
}

impl OpCounts {
    /// The counts since `before`; the longest time stays.
    pub fn since(self, before: OpCounts) -> OpCounts {
        OpCounts {
            answered: self.answered - before.answered,
            busy: self.busy - before.busy,
            closed: self.closed - before.closed,
            late: self.late - before.late,
            lost: self.lost - before.lost,
            slowest_ms: self.slowest_ms,
        }
    }

    fn record(&mut self, result: std::io::Result<Answer>, took_ms: f64) {
        self.slowest_ms = self.slowest_ms.max(took_ms);
        match result {
            Ok(answer) => {
                self.answered += 1;
                self.busy += u64::from(matches!(answer, Answer::Busy(_)));
                self.late += u64::from(took_ms > LATE_AFTER_MS);
            }
            Err(_) if took_ms >= LOST_AFTER_MS => self.lost += 1,
            Err(_) => self.closed += 1,
        }
    }
}

/// Running clients, until they are stopped.
pub struct UsualClients {
    stop_requested: Arc<AtomicBool>,
    counts: Arc<Mutex<OpCounts>>,
    threads: Vec<JoinHandle<()>>,
}

impl UsualClients {
    pub fn start(addr: SocketAddr) -> UsualClients {
        let (stop_requested, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
        let spawn_client = |number: usize| {
            let (stop_requested, counts) = (stop_requested.clone(), counts.clone());
            let run = move || run_client(addr, number, &stop_requested, &counts);
            std::thread::Builder::new().stack_size(STACK_BYTES).spawn(run).ok()
        };
        let threads = (0..CLIENTS).filter_map(spawn_client).collect();
        UsualClients { stop_requested, counts, threads }
    }

    pub fn counts(&self) -> OpCounts {
        *self.counts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Stops all clients once their last op has ended.
    pub fn stop(mut self) -> OpCounts {
        self.stop_requested.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
        self.counts()
    }
}

/// Every second client opens a connection for each op.
fn run_client(addr: SocketAddr, number: usize, stop_requested: &AtomicBool, counts: &Mutex<OpCounts>) {
    let mut kept: Option<Client> = None;
    std::thread::sleep(INTERVAL * number as u32 / CLIENTS as u32);
    while !stop_requested.load(Relaxed) {
        let opens_connection = number.is_multiple_of(2) || kept.is_none();
        let client = if opens_connection { connect(addr) } else { kept.take() };
        let Some(mut client) = client else { continue };
        let sent_at = Instant::now();
        let result = send_read(&mut client, opens_connection);
        let took = sent_at.elapsed();
        let retry_after_ms = match result {
            Ok(Answer::Busy(retry_after_ms)) => retry_after_ms,
            _ => 0.0,
        };
        kept = result.is_ok().then_some(client);
        counts
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .record(result, took.as_secs_f64() * 1_000.0);
        std::thread::sleep(Duration::from_secs_f64(retry_after_ms / 1_000.0));
        std::thread::sleep(INTERVAL.saturating_sub(took));
    }
}

fn connect(addr: SocketAddr) -> Option<Client> {
    let client = Client::connect(addr).ok()?;
    client.stream.set_read_timeout(Some(Duration::from_secs_f64(LOST_AFTER_MS / 1_000.0))).ok()?;
    Some(client)
}

/// Sends a read, right behind the startup message on a new connection, and reads its answer.
fn send_read(client: &mut Client, is_new: bool) -> std::io::Result<Answer> {
    let startup = if is_new { crate::client::startup_message() } else { Vec::new() };
    client.send_read_after(&startup, "look", GROUP, CLIENT_TIMEOUT_MS)?;
    if is_new {
        client.read_answer()?;
    }
    client.read_answer()
}
