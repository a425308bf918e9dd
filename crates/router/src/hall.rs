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
    /// When it last wrote something or was answered, in whole ms.
    pub last: AtomicU64,
    /// What it asked last was no fault; not yet so where it has asked nothing.
    pub asks: AtomicBool,
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

    /// Until when clients are let in at the latest.
    pub fn accept_until(&self) -> f64 {
        let limits = &self.limits;
        self.stop_by() - (limits.stop.saturating_sub(limits.grace + limits.last_look)).as_secs_f64() * 1000.0
    }

    /// Until when clients are kept that are inside.
    pub fn linger_until(&self) -> f64 {
        self.stop_by() - (self.limits.stop - self.limits.linger).as_secs_f64() * 1000.0
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
        let (outgoing, pending, asks, leaving) = Default::default();
        let hall = self.clone();
        let client = Arc::new(Client { no, stream, outgoing, pending, last, asks, leaving, hall });
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

    /// Asks one client to go: the first that has asked nothing yet or nothing but faults, unless it has only just
    /// come and may be about to, else whoever has been idle longest, if for long enough. False where none is.
    pub fn make_room(&self) -> bool {
        let staying = self.all().into_iter().filter(|c| !c.leaving.load(Relaxed));
        let due = |c: &Arc<Client>| {
            let asks = c.asks.load(Relaxed);
            let least = if asks { self.limits.idle_ms } else { self.limits.silent_ms };
            (c.idle_ms() > least).then_some((asks, c.last.load(Relaxed)))
        };
        let first = staying.filter_map(|c| due(&c).map(|order| (order, c))).min_by_key(|(order, _)| *order);
        first.inspect(|(_, client)| client.show_out()).is_some()
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
    /// How long it has had no command open.
    pub fn idle_ms(&self) -> f64 {
        let idle = self.hall.clock.now() - self.last.load(Relaxed) as f64;
        if self.pending.load(Relaxed) == 0 { idle } else { 0.0 }
    }

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

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// With some silent clients about, accepting once waited for others that took up places.
    #[test]
    fn room_is_made_by_the_silent_then_the_idlest_never_the_busy() {
        let limits = Limits::new(&magpiewell_terms::start::read(crate::limits::START).unwrap().0);
        let hall = Hall::new(limits, Clock::start(), crossbeam_channel::unbounded().0);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = |asks, ago: u64, pending| {
            let client = hall.enter(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            client.asks.store(asks, Relaxed);
            client.pending.store(pending, Relaxed);
            client.last.fetch_sub(ago, Relaxed);
            client
        };
        let stay = [client(true, 90_000, 1), client(true, 0, 0), client(false, 0, 0)];
        for client in &stay {
            client.last.fetch_add(60_000, Relaxed);
        }
        let (idle, idler) = (client(true, 50_000, 0), client(true, 70_000, 0));
        let (faulty, silent) = (client(false, 1_000, 0), client(false, 2_000, 0));
        for next in [&silent, &faulty, &idler, &idle] {
            let staying = hall.staying();
            assert!(!next.leaving.load(Relaxed) && hall.make_room() && next.leaving.load(Relaxed));
            assert_eq!(hall.staying(), staying - 1);
        }
        assert!(!hall.make_room() && stay.iter().all(|c| !c.leaving.load(Relaxed)));
    }
}
