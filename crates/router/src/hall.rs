//! What all threads of a router share: limits, clock, counts, and who is in.

use crate::clock::Clock;
use crate::limits::Limits;
use crate::relay::Outgoing;
use crate::route::Event;
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{
    AtomicBool, AtomicU64, AtomicUsize,
    Ordering::{AcqRel, Acquire, Relaxed},
};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread::{Builder, JoinHandle};

pub struct Hall {
    pub limits: Limits,
    pub clock: Clock,
    pub events: Sender<Event>,
    /// A list of hosts is known.
    pub ready: AtomicBool,
    /// No more clients are let in, and those inside leave after their answers.
    pub closing: AtomicBool,
    /// When all that is taken must be answered, in whole ms on the clock; far off until a request to stop.
    stop_by: AtomicU64,
    pub threads: AtomicUsize,
    pub held: AtomicUsize,
    clients: Mutex<HashMap<u64, Weak<Client>>>,
    leaving: AtomicUsize,
    next_client: AtomicU64,
}

/// One client connection; its descriptor closes when its reader and its ops have let go.
pub struct Client {
    pub no: u64,
    pub stream: TcpStream,
    pub outgoing: Outgoing,
    /// Commands taken whose answers are not written yet.
    pub pending: AtomicUsize,
    /// When it last did something, in whole ms.
    pub last: AtomicU64,
    /// Has said what opens a connection.
    pub opened: AtomicBool,
    /// Was asked to go: no more is read from it, what was taken is still answered.
    pub leaving: AtomicBool,
    pub hall: Arc<Hall>,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.hall.registry().remove(&self.no);
        if self.leaving.load(Acquire) {
            self.hall.leaving.fetch_sub(1, Relaxed);
        }
    }
}

impl Hall {
    pub fn new(limits: Limits, clock: Clock, events: Sender<Event>) -> Arc<Hall> {
        Arc::new(Hall {
            limits,
            clock,
            events,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            stop_by: AtomicU64::new(u64::MAX),
            threads: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            clients: Mutex::default(),
            leaving: AtomicUsize::new(0),
            next_client: AtomicU64::new(1),
        })
    }

    /// The router was asked to stop.
    pub fn stop_from_now(&self) {
        let by = self.clock.now() + self.limits.stop.as_secs_f64() * 1000.0;
        self.stop_by.store(by as u64, Relaxed);
    }

    pub fn stop_by(&self) -> f64 {
        self.stop_by.load(Relaxed) as f64
    }

    fn registry(&self) -> MutexGuard<'_, HashMap<u64, Weak<Client>>> {
        self.clients.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn clients(&self) -> usize {
        self.registry().len()
    }

    pub fn enter(self: &Arc<Hall>, stream: TcpStream) -> Arc<Client> {
        let no = self.next_client.fetch_add(1, Relaxed);
        let last = AtomicU64::new(self.clock.now() as u64);
        let (outgoing, pending, opened, leaving) = Default::default();
        let hall = self.clone();
        let client = Arc::new(Client { no, stream, outgoing, pending, last, opened, leaving, hall });
        self.registry().insert(no, Arc::downgrade(&client));
        client
    }

    fn all(&self) -> Vec<Arc<Client>> {
        // Collected first: letting go of the last handle takes the same lock.
        let weak: Vec<Weak<Client>> = self.registry().values().cloned().collect();
        weak.iter().filter_map(Weak::upgrade).collect()
    }

    /// Clients that nobody has asked to go.
    pub fn staying(&self) -> usize {
        self.clients().saturating_sub(self.leaving.load(Relaxed))
    }

    /// Asks one client to go: the first that has long not opened its connection, else whoever is idle longest.
    /// False where none is: commands that are open are never cut off for others, and who has only just come
    /// may be about to speak.
    pub fn make_room(&self) -> bool {
        let staying = self.all().into_iter().filter(|c| !c.leaving.load(Relaxed));
        let free: Vec<Arc<Client>> = staying.filter(|c| c.pending.load(Relaxed) == 0).collect();
        let now = self.clock.now();
        let first = |opened: bool| {
            let those = free.iter().filter(|c| c.opened.load(Relaxed) == opened);
            those.min_by_key(|c| c.last.load(Relaxed))
        };
        let over = |c: &&Arc<Client>, ms: f64| now - c.last.load(Relaxed) as f64 > ms;
        let (silent, idle) = (first(false), first(true));
        let client = silent.filter(|c| over(c, self.limits.silent_ms));
        let client = client.or(idle.filter(|c| silent.is_none() || over(c, self.limits.idle_ms)));
        client.inspect(|c| c.show_out()).is_some()
    }

    /// Asks all clients to go.
    pub fn show_out_all(&self) {
        self.all().iter().for_each(|c| c.show_out());
    }

    /// Starts a thread with a small stack, if one is to be had.
    pub fn spawn(
        self: &Arc<Hall>,
        name: &str,
        work: impl FnOnce() + Send + 'static,
    ) -> Option<JoinHandle<()>> {
        let hall = self.clone();
        self.threads.fetch_add(1, Relaxed);
        let thread = Builder::new().name(name.into()).stack_size(self.limits.stack_bytes);
        let spawned = thread.spawn(move || {
            work();
            hall.threads.fetch_sub(1, Relaxed);
        });
        if spawned.is_err() {
            self.threads.fetch_sub(1, Relaxed);
        }
        spawned.ok()
    }

    /// Counts bytes as held until the share is dropped; none where there would be too many.
    pub fn hold(self: &Arc<Hall>, bytes: usize) -> Option<Held> {
        let held = self.keep(bytes);
        (self.held.load(Relaxed) <= self.limits.held_bytes).then_some(held)
    }

    /// Counts bytes that are here already, be there too many or not.
    pub fn keep(self: &Arc<Hall>, bytes: usize) -> Held {
        self.held.fetch_add(bytes, Relaxed);
        Held { hall: self.clone(), bytes }
    }
}

impl Client {
    /// Is on its way out: its place counts as free.
    pub fn leave(&self) {
        if !self.leaving.swap(true, AcqRel) {
            self.hall.leaving.fetch_add(1, Relaxed);
        }
    }

    /// Ends reading: what has arrived is still taken, then the reader wakes and ends.
    fn show_out(&self) {
        self.leave();
        drop(self.stream.shutdown(Shutdown::Read));
    }
}

/// A share of the bytes held at once.
pub struct Held {
    hall: Arc<Hall>,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.hall.held.fetch_sub(self.bytes, Relaxed);
    }
}
