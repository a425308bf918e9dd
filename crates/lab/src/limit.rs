//! What waiting connections cost a router that is stopped at its limit, what an op, an open and a refusal cost, and
//! what is served at two and four times what the processor can carry. The control is a router that is not told its
//! grant: it lets in what it can't carry.

use crate::client::{Answer, Client};
use crate::host;
use crate::process::{Process, ResourceLimits};
use crate::throttle::{How, Throttle};
use hdrhistogram::Histogram;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The group that the lab's host is in, and how long a client waits, in ms.
const GROUP: u64 = 3;
const WAIT: u64 = 1000;
/// The grant under load, in cores, and what a client thinks between two ops, in ms.
const CORES: f64 = 0.1;
const THINK: f64 = 100.0;

/// True where every promise was kept.
pub fn prove(
    router: &Path,
    seed: u64,
    idle: usize,
    untold: bool,
    overload: bool,
    costs_only: bool,
) -> Result<bool, String> {
    let host = host::start().map_err(|e| e.to_string())?;
    if !overload {
        waiting(router, host, idle)?;
        costs(router, host)?;
    }
    if costs_only {
        return Ok(true);
    }
    beyond(router, host, seed, untold)
}

fn waiting(router: &Path, host: SocketAddr, most: usize) -> Result<(), String> {
    println!("idle clients | threads | MB | of a core, alone | of a core, stopped | stops a second");
    let mut counts = vec![0, 100, 250, 700, 1_000, 1_500, 10_000];
    counts.retain(|count| *count <= most);
    for count in counts {
        let grant = ResourceLimits { cores: 8.0, memory_mb: 8_192, sockets: 200_000 };
        let process = Process::start(router, host, &grant)?;
        let open = |_| Client::open(process.addr).map_err(|e| format!("{count} idle clients: {e}"));
        let kept: Vec<Client> = (0..count).map(open).collect::<Result<_, _>>()?;
        let part = |seconds: f64| {
            let before = process.processor_time_ms();
            std::thread::sleep(Duration::from_secs_f64(seconds));
            (process.processor_time_ms() - before) / (seconds * 1000.0)
        };
        part(0.2);
        let alone = part(2.0);
        let throttle = Throttle::start(process.pid(), How::Beat);
        let stopped = part(2.0);
        let stops = throttle.end() / 2;
        let (threads, memory) = process.thread_count_and_memory_mb();
        println!("{count} | {threads} | {memory:.1} | {alone:.3} | {stopped:.3} | {stops}");
        drop(kept);
    }
    Ok(())
}

/// Processor time of each kind of work, in ms, by itself and not throttled.
fn costs(router: &Path, host: SocketAddr) -> Result<(), String> {
    let grant = ResourceLimits { cores: 8.0, memory_mb: 8_192, sockets: 20_000 };
    let process = Process::start(router, host, &grant)?;
    let each = |name: &str, count: usize, work: &(dyn Fn() -> std::io::Result<()> + Sync)| {
        let before = process.processor_time_ms();
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| (0..count / 4).try_for_each(|_| work()));
            }
        });
        println!("{name}: {:.4} ms of processor time", (process.processor_time_ms() - before) / count as f64);
    };
    let pool: Vec<Mutex<Client>> =
        (0..4).filter_map(|_| Client::open(process.addr).ok()).map(Mutex::new).collect();
    let ask = |group: u64| {
        let free = pool.iter().find_map(|client| client.try_lock().ok());
        free.map_or(Ok(()), |mut client| client.read(group, WAIT).map(drop))
    };
    each("an op carried", 8_000, &|| ask(GROUP));
    each("an op refused", 8_000, &|| ask(GROUP + 1));
    each("a connection opened, and closed", 4_000, &|| Client::open(process.addr).map(drop));
    each("a connection closed unopened", 4_000, &|| Client::connect(process.addr).map(drop));
    Ok(())
}

#[derive(Default)]
struct Seen {
    acked: AtomicUsize,
    busy: AtomicUsize,
    errored: AtomicUsize,
    /// Asked and never answered while the connection lasted, or for two seconds.
    unanswered: AtomicUsize,
}

/// Clients that think, ask, and come back when told to, until told to stop.
struct Load {
    over: Arc<AtomicBool>,
    seen: Arc<Seen>,
    waits: Arc<Mutex<Histogram<u64>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(at: SocketAddr, clients: usize, seed: u64, obeys: bool) -> Load {
        let (over, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
        let waits = Arc::new(Mutex::new(Histogram::new(3).expect("three digits are allowed")));
        let each = |no: usize| {
            let (over, seen, waits) = (over.clone(), seen.clone(), waits.clone());
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(10_007).wrapping_add(no as u64));
            let run = move || run(at, rng, obeys, &over, &seen, &waits);
            std::thread::Builder::new().stack_size(128 * 1024).spawn(run).ok()
        };
        let threads = (0..clients).filter_map(each).collect();
        Load { over, seen, waits, threads }
    }

    fn acked(&self) -> usize {
        self.seen.acked.load(Relaxed)
    }

    fn end(self) -> (Arc<Seen>, Histogram<u64>) {
        self.over.store(true, Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        let waits = self.waits.lock().map(|waits| waits.clone());
        (self.seen, waits.unwrap_or_else(|broken| broken.into_inner().clone()))
    }
}

fn run(
    at: SocketAddr,
    mut rng: ChaCha8Rng,
    obeys: bool,
    over: &AtomicBool,
    seen: &Seen,
    waits: &Mutex<Histogram<u64>>,
) {
    let mut kept: Option<Client> = None;
    let sleep = |ms: f64| std::thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    let mut draw = || f64::from(rng.next_u32()) / 4_294_967_296.0;
    sleep(draw() * 10.0 * THINK);
    while !over.load(Relaxed) {
        let Some(mut client) = kept.take().or_else(|| Client::open(at).ok()) else { continue };
        let began = Instant::now();
        match client.read(GROUP, WAIT) {
            Ok(Answer::Acked) => {
                seen.acked.fetch_add(1, Relaxed);
                if let Ok(mut waits) = waits.lock() {
                    let _ = waits.record(began.elapsed().as_micros() as u64);
                }
                sleep(THINK * (0.5 + draw()));
            }
            Ok(Answer::Busy(wait)) => {
                seen.busy.fetch_add(1, Relaxed);
                if obeys {
                    sleep(wait.max(1.0));
                }
            }
            Ok(Answer::Errored) => {
                seen.errored.fetch_add(1, Relaxed);
            }
            // Closed between requests is allowed; silence is not.
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                seen.unanswered.fetch_add(1, Relaxed);
                continue;
            }
            Err(_) => continue,
        }
        kept = Some(client);
    }
}

fn beyond(router: &Path, host: SocketAddr, seed: u64, untold: bool) -> Result<bool, String> {
    let told = if untold { 8.0 } else { CORES };
    let fresh = || {
        let process =
            Process::start(router, host, &ResourceLimits { cores: told, memory_mb: 192, sockets: 4_096 })?;
        let throttle = Throttle::start(process.pid(), How::Cores(CORES));
        Ok::<_, String>((process, throttle))
    };
    println!(
        "clients | of a core | acked a second | busy-replied a second | unanswered | p50 ms | p99 ms | stops a second"
    );
    let measure = |clients: usize, obeys: bool| {
        let (process, throttle) = fresh()?;
        let load = Load::start(process.addr, clients, seed, obeys);
        std::thread::sleep(Duration::from_secs(3));
        let (before, busy) = (load.acked(), load.seen.busy.load(Relaxed));
        let used = process.processor_time_ms();
        std::thread::sleep(Duration::from_secs(4));
        let (acked, busy) = (load.acked() - before, load.seen.busy.load(Relaxed) - busy);
        let used = (process.processor_time_ms() - used) / 4_000.0;
        let (seen, waits) = load.end();
        let unanswered = seen.unanswered.load(Relaxed);
        let at = |part| waits.value_at_quantile(part) as f64 / 1000.0;
        let stops = throttle.end() / 7;
        let whose = if obeys { "" } else { " that ignore the time to come back" };
        println!(
            "{clients}{whose} | {used:.3} | {:.0} | {:.0} | {unanswered} | {:.1} | {:.1} | {stops}",
            acked as f64 / 4.0,
            busy as f64 / 4.0,
            at(0.5),
            at(0.99)
        );
        Ok::<_, String>((acked as f64 / 4.0, unanswered))
    };
    // The load is raised until more clients bring no more: that is the peak, and what the processor can carry.
    let (mut peak, mut carried, mut clients) = (0.0f64, 16, 16);
    while clients <= 512 {
        let (acked, _) = measure(clients, true)?;
        if acked > 1.05 * peak {
            (peak, carried) = (acked, clients);
        }
        clients *= 2;
        if acked < 0.98 * peak && clients > 2 * carried {
            break;
        }
    }
    let (twice, lost_twice) = measure(2 * carried, true)?;
    let (four, lost_four) = measure(4 * carried, true)?;
    let (ignored, _) = measure(4 * carried, false)?;
    let peak = peak.max(twice).max(four);
    // Half the load, a trigger of five seconds, and what comes after it.
    let (process, throttle) = fresh()?;
    let load = Load::start(process.addr, carried / 2, seed, true);
    std::thread::sleep(Duration::from_secs(3));
    let rate = |seconds: f64| {
        let before = load.acked();
        std::thread::sleep(Duration::from_secs_f64(seconds));
        (load.acked() - before) as f64 / seconds
    };
    let before = rate(4.0);
    let trigger = Load::start(process.addr, 4 * carried, seed + 1, false);
    let during = rate(5.0);
    drop(trigger.end());
    // What the trigger's clients left behind and the first second, which is granted.
    rate(1.0);
    let after = rate(4.0);
    drop(load.end());
    drop(throttle);
    let kept = [
        ("the load reaches the limit", peak > 0.0 && carried > 16),
        ("at twice the load 0.90 of the peak", twice >= 0.9 * peak),
        ("at four times the load 0.90 of the peak", four >= 0.9 * peak),
        ("back a second after the load has gone", after >= 0.95 * before),
        ("nothing unanswered", lost_twice + lost_four == 0),
    ];
    for (promise, kept) in kept {
        println!("{promise}: {}", if kept { "kept" } else { "broken" });
    }
    println!(
        "seed {seed}: peak {peak:.0}/s with {carried} clients; twice {:.2}, four times {:.2}, ignoring {:.2} of it; \
         trigger: {before:.0}/s before, {during:.0} during, {after:.0} after; unanswered {}",
        twice / peak,
        four / peak,
        ignored / peak,
        lost_twice + lost_four
    );
    Ok(kept.iter().all(|(_, kept)| *kept))
}
