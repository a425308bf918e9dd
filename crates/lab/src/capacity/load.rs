//! Reads at a steady rate over many groups: each thread has one client, draws its groups, and counts what
//! came back.

use super::ready;
use crate::client::{Answer, Client};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a client may wait for its answer, in ms.
const WAIT_MS: u64 = 1_000;
/// Reads a second that one client is asked for at the most.
const A_CLIENT: f64 = 130.0;
/// How long a client may take to open.
const PATIENCE: Duration = Duration::from_secs(20);
const STACK_BYTES: usize = 128 * 1024;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    pub a_second: f64,
    pub groups: usize,
    /// Clients that ask; each asks one at a time, so that few are held up where hosts don't answer.
    pub clients: usize,
    pub seed: u64,
}

/// As many clients as a rate needs while answers come at once.
pub fn clients_for(a_second: f64) -> usize {
    (a_second / A_CLIENT).ceil().max(4.0) as usize
}

#[derive(Default)]
struct Counts {
    acked: AtomicU64,
    refused: AtomicU64,
    errored: AtomicU64,
    unanswered: AtomicU64,
}

impl Counts {
    fn now(&self) -> Answers {
        Answers {
            acked: self.acked.load(Relaxed),
            refused: self.refused.load(Relaxed),
            errored: self.errored.load(Relaxed),
            unanswered: self.unanswered.load(Relaxed),
        }
    }
}

/// Answers since the start: served, told to come back, told that it failed, or none within two seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answers {
    pub acked: u64,
    pub refused: u64,
    pub errored: u64,
    pub unanswered: u64,
}

impl Answers {
    /// Those that came after an earlier count.
    pub fn since(self, before: Answers) -> Answers {
        Answers {
            acked: self.acked.saturating_sub(before.acked),
            refused: self.refused.saturating_sub(before.refused),
            errored: self.errored.saturating_sub(before.errored),
            unanswered: self.unanswered.saturating_sub(before.unanswered),
        }
    }

    /// As a cell of a table.
    pub fn cell(&self) -> String {
        let Answers { acked, refused, errored, unanswered } = self;
        format!("{acked} / {refused} / {errored} / {unanswered}")
    }
}

pub struct Load {
    counts: Arc<Counts>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(at: SocketAddr, rate: Rate) -> Result<Load, String> {
        let clients = rate.clients.max(1);
        let counts = Arc::new(Counts::default());
        let over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..clients {
            let client = ready::open(at, PATIENCE).map_err(|e| format!("a client of the load: {e}"))?;
            let asker = Asker {
                at,
                client,
                gap: Duration::from_secs_f64(clients as f64 / rate.a_second),
                groups: rate.groups as u32,
                chance: ChaCha8Rng::seed_from_u64(rate.seed.wrapping_mul(10_007).wrapping_add(number as u64)),
                counts: counts.clone(),
                over: over.clone(),
            };
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(move || asker.run());
            threads.push(thread.map_err(|e| e.to_string())?);
        }
        Ok(Load { counts, over, threads })
    }

    pub fn answers(&self) -> Answers {
        self.counts.now()
    }

    /// Ends it and gives what was counted in all.
    pub fn end(mut self) -> Answers {
        self.over.store(true, Relaxed);
        let threads = std::mem::take(&mut self.threads);
        threads.into_iter().for_each(|thread| drop(thread.join()));
        self.answers()
    }
}

struct Asker {
    at: SocketAddr,
    client: Client,
    gap: Duration,
    groups: u32,
    chance: ChaCha8Rng,
    counts: Arc<Counts>,
    over: Arc<AtomicBool>,
}

impl Asker {
    fn run(mut self) {
        let mut next = Instant::now() + self.gap.mul_f64(f64::from(self.chance.next_u32()) / 4_294_967_296.0);
        let mut bounded = false;
        while !self.over.load(Relaxed) {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next += self.gap;
            let group = u64::from(self.chance.next_u32() % self.groups.max(1));
            bounded = !bounded;
            let op_type = if bounded { "near" } else { "look" };
            match self.client.read_with_op_type(op_type, group, WAIT_MS) {
                Ok(Answer::Acked) => self.counts.acked.fetch_add(1, Relaxed),
                Ok(Answer::Busy(_)) => self.counts.refused.fetch_add(1, Relaxed),
                Ok(Answer::Errored) => self.counts.errored.fetch_add(1, Relaxed),
                Err(_) => {
                    self.open_anew();
                    self.counts.unanswered.fetch_add(1, Relaxed)
                }
            };
        }
    }

    /// What is left of an answer that came too late would be taken for the next one's.
    fn open_anew(&mut self) {
        while !self.over.load(Relaxed) {
            if let Ok(client) = Client::open(self.at) {
                self.client = client;
                return;
            }
            std::thread::sleep(self.gap);
        }
    }
}
