//! State that all threads of a router share: limits, clock, counters and the wake-up of the client loop.
//! Depends on none of the threads' own modules.

use crate::clock::Clock;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crossbeam_channel::Sender;
use mio::Waker;
use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool, AtomicU64, AtomicUsize,
    Ordering::{Acquire, Relaxed, Release},
};
use std::thread::{Builder, JoinHandle};

/// What the laboratory's own program changes in a router so that a test's verdict does not depend on the
/// speed of the machine. Empty by default; no configuration can set it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LabOverrides {
    /// Processor time that each send of an op takes on top of its own, in ms; 0 or more.
    pub send_work_ms: f64,
    /// How far the router's clock runs ahead of the machine's, in ms; negative if it runs behind.
    pub clock_off_ms: f64,
}

/// The shared state; every thread holds an `Arc` of it.
pub struct Shared {
    pub limits: Limits,
    pub overrides: LabOverrides,
    pub clock: Clock,
    /// Whether a host list is known.
    pub is_ready: AtomicBool,
    /// How long the loops sleep between two iterations, in microseconds: see the budget's `AdmissionLimits`.
    pub batch_pause_us: AtomicU64,
    pub metrics: Metrics,
    /// Whether processor time is short, so that opens wait or ops are refused.
    pub is_cpu_limited: AtomicBool,
    /// By when every accepted command has to be answered, in whole Unix ms; `u64::MAX` until a stop is
    /// requested.
    stop_deadline: AtomicU64,
    /// Threads started by `spawn` that are still running.
    pub threads: AtomicUsize,
    /// Total of all memory reservations.
    pub reserved_bytes: AtomicUsize,
    /// Client connections whose descriptors are open.
    clients: AtomicUsize,
    wakeups: Sender<u64>,
    waker: Waker,
}

impl Shared {
    /// `wakeups` takes the ids of clients that the client loop is to serve; `waker` wakes the loop.
    pub fn new(
        limits: Limits,
        overrides: LabOverrides,
        clock: Clock,
        wakeups: Sender<u64>,
        waker: Waker,
    ) -> Arc<Shared> {
        Arc::new(Shared {
            limits,
            overrides,
            clock,
            is_ready: AtomicBool::new(false),
            batch_pause_us: AtomicU64::new(0),
            metrics: Metrics::default(),
            is_cpu_limited: AtomicBool::new(false),
            stop_deadline: AtomicU64::new(u64::MAX),
            threads: AtomicUsize::new(0),
            reserved_bytes: AtomicUsize::new(0),
            clients: AtomicUsize::new(0),
            wakeups,
            waker,
        })
    }

    /// Starts the shutdown: sets its deadline and wakes the client loop.
    pub fn request_stop(&self) {
        let deadline = self.clock.now() + self.limits.stop.as_secs_f64() * 1000.0;
        self.stop_deadline.store(deadline as u64, Release);
        let _ = self.waker.wake();
    }

    /// By when every accepted command has to be answered, in Unix ms; far in the future until a stop is
    /// requested.
    pub fn stop_deadline(&self) -> f64 {
        self.stop_deadline.load(Acquire) as f64
    }

    /// Whether a stop has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stop_deadline.load(Acquire) != u64::MAX
    }

    /// The time at which `delay` has passed since the request to stop; far in the future until then.
    pub fn after_stop_request(&self, delay: std::time::Duration) -> f64 {
        self.stop_deadline() - (self.limits.stop.saturating_sub(delay)).as_secs_f64() * 1000.0
    }

    pub fn clients(&self) -> usize {
        self.clients.load(Relaxed)
    }

    /// Counts a client whose descriptor is open, until `client_closed`.
    pub fn client_opened(&self) {
        self.clients.fetch_add(1, Relaxed);
    }

    pub fn client_closed(&self) {
        self.clients.fetch_sub(1, Relaxed);
    }

    /// Processor time that the calling thread has used, in ms; 0 where the system does not tell.
    pub fn thread_cpu_ms() -> f64 {
        let clock = DynamicClockId::Known(ClockId::ThreadCPUTime);
        let used = clock_gettime_dynamic(clock);
        used.map_or(0.0, |used| used.tv_sec as f64 * 1e3 + used.tv_nsec as f64 / 1e6)
    }

    /// Uses up the processor time that the laboratory adds to each send.
    pub fn simulate_send_work(&self) {
        if self.overrides.send_work_ms > 0.0 {
            let start = Shared::thread_cpu_ms();
            while Shared::thread_cpu_ms() - start < self.overrides.send_work_ms {}
        }
    }

    /// Sleeps while processor time is getting short, so that a loop handles more work in one iteration.
    pub fn pause_to_batch(&self) {
        let us = self.batch_pause_us.load(Relaxed);
        if us > 0 {
            std::thread::sleep(std::time::Duration::from_micros(us));
        }
    }

    /// Has the client loop serve this client.
    pub fn wake_client(&self, client: u64) {
        // After the loop has ended the client is no longer served, so failures don't matter.
        let _ = self.wakeups.send(client);
        let _ = self.waker.wake();
    }

    /// Starts a thread with a small stack; `None` if the system refuses one.
    pub fn spawn(
        self: &Arc<Shared>,
        name: &str,
        body: impl FnOnce() + Send + 'static,
    ) -> Option<JoinHandle<()>> {
        let shared = self.clone();
        self.threads.fetch_add(1, Relaxed);
        let thread = Builder::new().name(name.into()).stack_size(self.limits.stack_bytes);
        let spawned = thread.spawn(move || {
            body();
            shared.threads.fetch_sub(1, Relaxed);
        });
        if spawned.is_err() {
            self.threads.fetch_sub(1, Relaxed);
        }
        spawned.ok()
    }

    /// Counts bytes as in use until the reservation is dropped; `None` if that would exceed the limit.
    pub fn try_reserve(self: &Arc<Shared>, bytes: usize) -> Option<MemoryReservation> {
        let reservation = self.reserve(bytes);
        (!self.is_over_limit()).then_some(reservation)
    }

    /// Whether more is reserved than the limit allows.
    pub fn is_over_limit(&self) -> bool {
        self.reserved_bytes.load(Relaxed) > self.limits.held_bytes
    }

    /// Counts bytes that are already in memory, even where they exceed the limit.
    pub fn reserve(self: &Arc<Shared>, bytes: usize) -> MemoryReservation {
        self.reserved_bytes.fetch_add(bytes, Relaxed);
        MemoryReservation { shared: self.clone(), bytes }
    }
}

/// A share of the memory limit for statements, answers and long buffers; released on drop.
pub struct MemoryReservation {
    shared: Arc<Shared>,
    bytes: usize,
}

impl MemoryReservation {
    /// Changes the count of bytes in use, even where that exceeds the limit.
    pub fn resize(&mut self, bytes: usize) {
        self.shared.reserved_bytes.fetch_add(bytes, Relaxed);
        self.shared.reserved_bytes.fetch_sub(self.bytes, Relaxed);
        self.bytes = bytes;
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shared.reserved_bytes.fetch_sub(self.bytes, Relaxed);
    }
}

/// A `Shared` for unit tests.
#[cfg(test)]
pub fn test_shared() -> Arc<Shared> {
    test_shared_with(|_| ())
}

/// The same with changed limits.
#[cfg(test)]
pub fn test_shared_with(change: impl FnOnce(&mut Limits)) -> Arc<Shared> {
    let mut limits =
        Limits::new(&magpiewell_terms::startup::parse(crate::limits::MINIMAL_CONFIGURATION).unwrap().0);
    change(&mut limits);
    let poll = mio::Poll::new().unwrap();
    let waker = Waker::new(poll.registry(), mio::Token(0)).unwrap();
    Shared::new(limits, LabOverrides::default(), Clock::start(0.0), crossbeam_channel::unbounded().0, waker)
}
