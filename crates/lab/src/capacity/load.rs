//! Reads at a steady rate over many groups. Each thread has one client, reads from random groups and counts
//! the outcomes.

use super::ready;
use crate::client::{Answer, Client};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The client timeout that each read states.
const CLIENT_TIMEOUT_MS: u64 = 1_000;
const MAX_READS_PER_SECOND_PER_CLIENT: f64 = 130.0;
/// Time for a client to connect, including retries.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
const CLIENT_STACK_BYTES: usize = 128 * 1024;

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadParameters {
    pub reads_per_second: f64,
    pub groups: usize,
    /// Number of clients, each with one read outstanding at a time: with many clients, hosts that do not
    /// answer hold up only few of them.
    pub clients: usize,
    pub seed: u64,
}

/// The number of clients that a rate needs while reads are answered at once.
pub fn clients_for_rate(reads_per_second: f64) -> usize {
    (reads_per_second / MAX_READS_PER_SECOND_PER_CLIENT).ceil().max(4.0) as usize
}

#[derive(Default)]
struct OutcomeCounters {
    acked: AtomicU64,
    busy: AtomicU64,
    errored: AtomicU64,
    unanswered: AtomicU64,
}

impl OutcomeCounters {
    fn snapshot(&self) -> OutcomeCounts {
        OutcomeCounts {
            acked: self.acked.load(Relaxed),
            busy: self.busy.load(Relaxed),
            errored: self.errored.load(Relaxed),
            unanswered: self.unanswered.load(Relaxed),
        }
    }
}

/// Reads by outcome since the start: acked, busy-replied, errored, or unanswered (no answer within the
/// client's timeout of two seconds, or a broken connection).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub acked: u64,
    pub busy: u64,
    pub errored: u64,
    pub unanswered: u64,
}

impl OutcomeCounts {
    /// The outcomes since an earlier count.
    pub fn since(self, before: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            acked: self.acked.saturating_sub(before.acked),
            busy: self.busy.saturating_sub(before.busy),
            errored: self.errored.saturating_sub(before.errored),
            unanswered: self.unanswered.saturating_sub(before.unanswered),
        }
    }

    /// Formats the counts as a table cell.
    pub fn cell(&self) -> String {
        let OutcomeCounts { acked, busy, errored, unanswered } = self;
        format!("{acked} / {busy} / {errored} / {unanswered}")
    }
}

/// A running load.
pub struct Load {
    counters: Arc<OutcomeCounters>,
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Connects all clients to the router at `addr` and starts reading.
    pub fn start(addr: SocketAddr, parameters: LoadParameters) -> Result<Load, String> {
        let clients = parameters.clients.max(1);
        let counters = Arc::new(OutcomeCounters::default());
        let stop_requested = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..clients {
            let client = ready::connect(addr, CONNECT_TIMEOUT)
                .map_err(|e| format!("a load client could not connect: {e}"))?;
            let load_client = LoadClient {
                addr,
                client,
                interval: Duration::from_secs_f64(clients as f64 / parameters.reads_per_second),
                groups: parameters.groups as u32,
                rng: ChaCha8Rng::seed_from_u64(
                    parameters.seed.wrapping_mul(10_007).wrapping_add(number as u64),
                ),
                counters: counters.clone(),
                stop_requested: stop_requested.clone(),
            };
            let thread =
                std::thread::Builder::new().stack_size(CLIENT_STACK_BYTES).spawn(move || load_client.run());
            threads.push(thread.map_err(|e| e.to_string())?);
        }
        Ok(Load { counters, stop_requested, threads })
    }

    pub fn outcomes(&self) -> OutcomeCounts {
        self.counters.snapshot()
    }

    /// Stops the load and returns the total outcomes.
    pub fn stop(mut self) -> OutcomeCounts {
        self.stop_requested.store(true, Relaxed);
        let threads = std::mem::take(&mut self.threads);
        threads.into_iter().for_each(|thread| drop(thread.join()));
        self.outcomes()
    }
}

struct LoadClient {
    addr: SocketAddr,
    client: Client,
    interval: Duration,
    groups: u32,
    rng: ChaCha8Rng,
    counters: Arc<OutcomeCounters>,
    stop_requested: Arc<AtomicBool>,
}

impl LoadClient {
    fn run(mut self) {
        let mut next_at =
            Instant::now() + self.interval.mul_f64(f64::from(self.rng.next_u32()) / 4_294_967_296.0);
        let mut bounded = false;
        while !self.stop_requested.load(Relaxed) {
            std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at += self.interval;
            let group = u64::from(self.rng.next_u32() % self.groups.max(1));
            bounded = !bounded;
            let op_type = if bounded { "near" } else { "look" };
            match self.client.read_with_op_type(op_type, group, CLIENT_TIMEOUT_MS) {
                Ok(Answer::Acked) => self.counters.acked.fetch_add(1, Relaxed),
                Ok(Answer::Busy(_)) => self.counters.busy.fetch_add(1, Relaxed),
                Ok(Answer::Errored) => self.counters.errored.fetch_add(1, Relaxed),
                Err(_) => {
                    self.reconnect();
                    self.counters.unanswered.fetch_add(1, Relaxed)
                }
            };
        }
    }

    /// Replaces the connection: the rest of a late answer would otherwise be read as the answer to the next
    /// read.
    fn reconnect(&mut self) {
        while !self.stop_requested.load(Relaxed) {
            if let Ok(client) = Client::open(self.addr) {
                self.client = client;
                return;
            }
            std::thread::sleep(self.interval);
        }
    }
}
