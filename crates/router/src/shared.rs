//! What all threads of a router share: limits, clock, counts, and how the clients' loop is woken. Knows no stage.

use crate::clock::Clock;
use crate::limits::Limits;
use crossbeam_channel::Sender;
use mio::Waker;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool, AtomicU64, AtomicUsize,
    Ordering::{Acquire, Relaxed, Release},
};
use std::thread::{Builder, JoinHandle};

/// What the laboratory's own program adds to a router, so that a test's verdict does not hang on the machine; nothing
/// by default, and no configuration can ask for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LabOverrides {
    /// Processor time that each send of an op takes on top of its own, in ms, from 0.
    pub send_work_ms: f64,
    /// The router's clock runs so many ms before the machine's; behind it where negative.
    pub clock_off_ms: f64,
}

pub struct Shared {
    pub limits: Limits,
    pub overrides: LabOverrides,
    pub clock: Clock,
    /// A list of hosts is known.
    pub ready: AtomicBool,
    /// How long the loops sleep between two turns, in microseconds: see the budget's `AdmissionLimits`.
    pub batch_pause_us: AtomicU64,
    /// Ops refused as busy since the start.
    pub refused: AtomicUsize,
    /// Processor time is short.
    pub short: AtomicBool,
    /// When all that is taken must be answered, in whole ms on the clock; far off until a request to stop.
    stop_deadline: AtomicU64,
    pub threads: AtomicUsize,
    pub reserved_bytes: AtomicUsize,
    /// Client connections whose descriptors are open.
    clients: AtomicUsize,
    wakeups: Sender<u64>,
    waker: Waker,
}

impl Shared {
    /// `wakeups` takes numbers of clients that their loop is to look at; `waker` wakes it.
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
            ready: AtomicBool::new(false),
            batch_pause_us: AtomicU64::new(0),
            refused: AtomicUsize::new(0),
            short: AtomicBool::new(false),
            stop_deadline: AtomicU64::new(u64::MAX),
            threads: AtomicUsize::new(0),
            reserved_bytes: AtomicUsize::new(0),
            clients: AtomicUsize::new(0),
            wakeups,
            waker,
        })
    }

    /// The router was asked to stop.
    pub fn request_stop(&self) {
        let by = self.clock.now() + self.limits.stop.as_secs_f64() * 1000.0;
        self.stop_deadline.store(by as u64, Release);
        let _ = self.waker.wake();
    }

    /// When all that is taken must be answered; far off while nobody has asked to stop.
    pub fn stop_deadline(&self) -> f64 {
        self.stop_deadline.load(Acquire) as f64
    }

    /// A stop has been asked for.
    pub fn is_stopping(&self) -> bool {
        self.stop_deadline.load(Acquire) != u64::MAX
    }

    /// That long after a request to stop.
    pub fn after_stop_request(&self, after: std::time::Duration) -> f64 {
        self.stop_deadline() - (self.limits.stop.saturating_sub(after)).as_secs_f64() * 1000.0
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

    /// Uses up the processor time that a send takes in the laboratory.
    pub fn simulate_send_work(&self) {
        let used = || {
            let used = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
            used.tv_sec as f64 * 1e3 + used.tv_nsec as f64 / 1e6
        };
        if self.overrides.send_work_ms > 0.0 {
            let from = used();
            while used() - from < self.overrides.send_work_ms {}
        }
    }

    /// Where processor time is getting short: lets work come together before a loop goes on.
    pub fn pause_to_batch(&self) {
        let us = self.batch_pause_us.load(Relaxed);
        if us > 0 {
            std::thread::sleep(std::time::Duration::from_micros(us));
        }
    }

    /// Has the clients' loop look at one of them.
    pub fn wake_client(&self, client: u64) {
        // Once the loop has ended nobody is left to be looked at.
        let _ = self.wakeups.send(client);
        let _ = self.waker.wake();
    }

    /// Starts a thread with a small stack, if one is to be had.
    pub fn spawn(
        self: &Arc<Shared>,
        name: &str,
        work: impl FnOnce() + Send + 'static,
    ) -> Option<JoinHandle<()>> {
        let shared = self.clone();
        self.threads.fetch_add(1, Relaxed);
        let thread = Builder::new().name(name.into()).stack_size(self.limits.stack_bytes);
        let spawned = thread.spawn(move || {
            work();
            shared.threads.fetch_sub(1, Relaxed);
        });
        if spawned.is_err() {
            self.threads.fetch_sub(1, Relaxed);
        }
        spawned.ok()
    }

    /// Counts bytes as held until the share is dropped; none where there would be too many.
    pub fn try_reserve(self: &Arc<Shared>, bytes: usize) -> Option<MemoryReservation> {
        let held = self.reserve(bytes);
        (self.reserved_bytes.load(Relaxed) <= self.limits.held_bytes).then_some(held)
    }

    /// Counts bytes that are here already, be there too many or not.
    pub fn reserve(self: &Arc<Shared>, bytes: usize) -> MemoryReservation {
        self.reserved_bytes.fetch_add(bytes, Relaxed);
        MemoryReservation { shared: self.clone(), bytes }
    }
}

/// A share of the bytes held at once.
pub struct MemoryReservation {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shared.reserved_bytes.fetch_sub(self.bytes, Relaxed);
    }
}

/// A shared for tests of what works in it.
#[cfg(test)]
pub fn test_shared() -> Arc<Shared> {
    test_shared_with(|_| ())
}

/// The same with other limits.
#[cfg(test)]
pub fn test_shared_with(change: impl FnOnce(&mut Limits)) -> Arc<Shared> {
    let mut limits =
        Limits::new(&magpiewell_terms::startup::parse(crate::limits::MINIMAL_CONFIGURATION).unwrap().0);
    change(&mut limits);
    let poll = mio::Poll::new().unwrap();
    let waker = Waker::new(poll.registry(), mio::Token(0)).unwrap();
    Shared::new(limits, LabOverrides::default(), Clock::start(0.0), crossbeam_channel::unbounded().0, waker)
}
