//! The client loop: one thread that accepts clients, polls all of their connections and serves those that can
//! be read or written or whose deadline has passed. An idle connection has no thread and costs nothing but
//! its descriptor.

use crate::client::Client;
use crate::client_reader::{ClientReader, Outcome};
use crate::deferral::Deferrals;
use crate::event::Event;
use crate::eviction::{ClientActivity, EvictionOrder};
use crate::op_facts::OpFactsParser;
use crate::shared::Shared;
use crate::timers::Timers;
use crossbeam_channel::{Receiver, Sender};
use magpiewell_budget::{AcceptLimiter, AdmissionLimits, Allowance, Budget, SheddingMode};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use rustix::net::SocketFlags;
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Token of the waker. A client's id is its token, so ids begin after the two tokens here.
pub const WAKE: Token = Token(0);
const LISTENER: Token = Token(1);
const FIRST_CLIENT_ID: u64 = 2;
/// Deferred clients are looked at no more often than this.
const MIN_DEFERRAL: Duration = Duration::from_millis(1);
/// Deferred clients that have their turn in one iteration.
const MAX_DEFERRED_A_TURN: usize = 32;

/// Accepts, serves, drains and evicts clients, within the limits and the budget of processor time.
pub struct ClientLoop {
    shared: Arc<Shared>,
    parser: Arc<OpFactsParser>,
    events: Sender<Event>,
    poll: Poll,
    /// None once no more clients are accepted.
    listener: Option<TcpListener>,
    /// Whether clients may be waiting to be accepted.
    may_accept: bool,
    wakeups: Receiver<u64>,
    readers: HashMap<u64, ClientReader>,
    /// How many of the readers are draining.
    draining: usize,
    /// Bytes of long messages of which only a part has arrived, over all readers.
    partial_bytes: usize,
    evictions: EvictionOrder,
    timers: Timers,
    /// Clients that may have more to read than one turn allows.
    queued: Vec<u64>,
    /// Clients whose next turn waits for the allowance.
    deferrals: Deferrals,
    /// Processor time for commands that are no valid ops.
    allowance: Allowance,
    /// When the accept queue was last found empty or closed unread, and when it was last worked through, on
    /// the router's clock.
    queue_empty_at: f64,
    queue_served_at: f64,
    scratch: Vec<u8>,
    next_client_id: u64,
    budget: Budget,
    admission: AdmissionLimits,
    accept_limiter: AcceptLimiter,
    next_budget_at: f64,
    /// Until when clients are still accepted from the queue; none before the grace period is over.
    accept_until: Option<f64>,
    /// Whether all clients are being drained.
    is_draining_all: bool,
}

impl ClientLoop {
    /// The listener has to be non-blocking.
    pub fn new(
        shared: Arc<Shared>,
        parser: Arc<OpFactsParser>,
        events: Sender<Event>,
        poll: Poll,
        listener: TcpListener,
        wakeups: Receiver<u64>,
    ) -> std::io::Result<ClientLoop> {
        poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER, Interest::READABLE)?;
        let scratch = vec![0; shared.limits.read_bytes];
        let now = shared.clock.now();
        let budget = Budget::new(shared.limits.cores, shared.limits.open_ms, shared.limits.refuse_ms);
        Ok(ClientLoop {
            admission: budget.admission_limits(),
            budget,
            accept_limiter: AcceptLimiter::default(),
            next_budget_at: 0.0,
            parser,
            events,
            poll,
            listener: Some(listener),
            may_accept: true,
            wakeups,
            readers: HashMap::new(),
            draining: 0,
            partial_bytes: 0,
            evictions: EvictionOrder::default(),
            timers: Timers::default(),
            queued: Vec::new(),
            deferrals: Deferrals::default(),
            allowance: Allowance::new(shared.limits.cores, now),
            queue_empty_at: now,
            queue_served_at: now,
            scratch,
            next_client_id: FIRST_CLIENT_ID,
            shared,
            accept_until: None,
            is_draining_all: false,
        })
    }

    /// Runs until the router was asked to stop and all clients have disconnected.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(self.shared.limits.events);
        loop {
            self.shared.pause_to_batch();
            let timeout = self.poll_timeout();
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "cannot poll client connections");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            let started_at = self.shared.clock.now();
            for event in &events {
                let id = event.token().0 as u64;
                match event.token() {
                    WAKE => {}
                    LISTENER => self.note_waiting_clients(),
                    _ if event.is_writable() && !event.is_readable() => self.write_remaining(id),
                    _ => {
                        if event.is_writable() {
                            self.write_remaining(id);
                        }
                        self.serve_ready(id, event.is_read_closed() || event.is_error());
                    }
                }
            }
            while let Ok(id) = self.wakeups.try_recv() {
                self.serve_ready(id, false);
            }
            self.serve_deferred();
            for id in std::mem::take(&mut self.queued) {
                self.serve(id, |reader, scratch| {
                    reader.is_queued = false;
                    reader.serve(scratch, true)
                });
            }
            self.update_budget();
            self.accept();
            while let Some(id) = self.timers.pop_due(self.shared.clock.now()) {
                self.serve(id, ClientReader::handle_deadline);
            }
            self.drain_idle();
            self.shared.metrics.client_loop_iteration.record(self.shared.clock.now() - started_at);
            if self.advance_shutdown() {
                return;
            }
        }
    }

    /// Measures the processor time that the process has used, and derives the admission limits from it.
    fn update_budget(&mut self) {
        let now = self.shared.clock.now();
        if now < self.next_budget_at {
            return;
        }
        self.next_budget_at = now + self.shared.limits.budget_ms;
        let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        let used = used.tv_sec as f64 * 1e3 + used.tv_nsec as f64 / 1e6;
        let admission = self.budget.update(now, used, self.shared.metrics.refused_ops.load(Relaxed));
        let before = std::mem::replace(&mut self.admission, admission);
        let AdmissionLimits { mode, batch_delay_ms, accepts_per_second, admitted_share, retry_after_ms } =
            self.admission;
        self.shared.batch_pause_us.store((batch_delay_ms * 1e3) as u64, Relaxed);
        if (admitted_share, retry_after_ms) != (before.admitted_share, before.retry_after_ms) {
            drop(self.events.send(Event::AdmissionChanged { share: admitted_share, retry_after_ms }));
        }
        if mode == before.mode {
            return;
        }
        self.shared.is_cpu_limited.store(mode != SheddingMode::Off, Relaxed);
        let (load, clients, cores) = (self.budget.load(), self.shared.clients(), self.shared.limits.cores);
        match mode {
            SheddingMode::Off => tracing::info!(load, cores, clients, "processor time suffices again"),
            SheddingMode::DelayConnections => tracing::info!(
                load,
                cores,
                clients,
                opens = accepts_per_second,
                "processor time is short: opens wait"
            ),
            SheddingMode::RefuseOps => {
                tracing::info!(
                    load,
                    cores,
                    clients,
                    opens = accepts_per_second,
                    share = admitted_share,
                    "processor time is short: ops are refused"
                )
            }
        }
    }

    /// A turn of a client that can be read or written, unless its turn is deferred. One that has hung up ends
    /// at once.
    fn serve_ready(&mut self, id: u64, hung_up: bool) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        reader.hung_up |= hung_up;
        if reader.is_deferred && !reader.hung_up {
            return self.write_remaining(id);
        }
        self.serve(id, |reader, scratch| reader.serve(scratch, false));
    }

    /// Turns of deferred clients, while the allowance suffices or their longest wait is over.
    fn serve_deferred(&mut self) {
        for _ in 0..MAX_DEFERRED_A_TURN {
            let now = self.shared.clock.now();
            let has_allowance = self.allowance.is_available(now);
            let Some(id) = self.deferrals.pop(now, has_allowance) else { return };
            if let Some(reader) = self.readers.get_mut(&id) {
                reader.is_deferred = false;
                self.serve(id, |reader, scratch| reader.serve(scratch, true));
            }
        }
    }

    /// Charges what the client's last turn took without a valid op; true where its next turn has to wait.
    fn charge_surplus(&mut self, id: u64, outcome: Outcome) -> bool {
        let Some(reader) = self.readers.get_mut(&id) else { return false };
        let surplus = reader.take_surplus();
        let limits = &self.shared.limits;
        let turn_ms = surplus.map_or(0.0, |work| work.used_ms() + limits.turn_ms);
        let brought_nothing = outcome == Outcome::Closed && !reader.has_valid_op;
        let close_ms = if brought_nothing { limits.open_ms } else { 0.0 };
        let now = self.shared.clock.now();
        self.allowance.charge(now, turn_ms + close_ms);
        let must_wait = surplus.is_some() && outcome != Outcome::Closed && !self.allowance.is_available(now);
        if must_wait && !std::mem::replace(&mut reader.is_deferred, true) {
            self.deferrals.push(id, reader.deferral_class(), now);
            self.shared.metrics.deferred_turns.fetch_add(1, Relaxed);
        }
        must_wait
    }

    /// How long the loop may block in its poll.
    fn poll_timeout(&self) -> Duration {
        let limits = &self.shared.limits;
        if !self.queued.is_empty() {
            return Duration::ZERO;
        }
        // Checked more often while clients wait for room, or while all are drained.
        let interval = if self.may_accept || self.is_draining_all {
            limits.accept_check / 10
        } else {
            limits.accept_check
        };
        let next = self.timers.next_due().map_or(interval, |due| self.shared.clock.until(due));
        let next_deferred = self.deferrals.next_due().map_or(interval, |due| {
            let allowed = Duration::from_secs_f64(self.allowance.available_in_ms().min(1e6) / 1_000.0);
            self.shared.clock.until(due).min(allowed).max(MIN_DEFERRAL)
        });
        next.min(interval).min(next_deferred)
    }

    /// Runs one turn of a client, and handles its outcome.
    fn serve(&mut self, id: u64, turn: impl FnOnce(&mut ClientReader, &mut [u8]) -> Outcome) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        let (was_draining, had_valid_op) = (reader.is_draining, reader.has_valid_op);
        let old_partial_bytes = reader.partial_bytes();
        let has_allowance = self.allowance.is_available(self.shared.clock.now());
        reader.max_surplus_messages = if has_allowance { usize::MAX } else { 1 };
        let outcome = turn(reader, &mut self.scratch);
        self.partial_bytes = self.partial_bytes + reader.partial_bytes() - old_partial_bytes;
        self.draining += usize::from(reader.is_draining && !was_draining);
        let must_wait = self.charge_surplus(id, outcome);
        let Some(reader) = self.readers.get_mut(&id) else { return };
        match outcome {
            Outcome::Closed => {
                self.draining -= usize::from(reader.is_draining);
                self.partial_bytes -= reader.partial_bytes();
                self.readers.remove(&id);
                self.evictions.remove(id);
                self.timers.set(id, None);
                return;
            }
            // Queued once, however often it is served meanwhile: otherwise a client that floods the router
            // would gain a turn, and memory, each time.
            _ if must_wait => {}
            Outcome::ReadMore if !std::mem::replace(&mut reader.is_queued, true) => self.queued.push(id),
            Outcome::ReadMore => {}
            Outcome::Wait => {}
        }
        if reader.is_slow() && !std::mem::replace(&mut reader.watches_writable, true) {
            let stream = reader.client.stream.as_raw_fd();
            let both = Interest::READABLE | Interest::WRITABLE;
            let watched = self.poll.registry().reregister(&mut SourceFd(&stream), Token(id as usize), both);
            if watched.is_err() {
                // Without the watch the loop would not notice when it can write the rest.
                reader.client.abort();
            }
        }
        self.timers.set(id, reader.next_deadline());
        if reader.is_draining {
            self.evictions.remove(id);
        } else if reader.has_valid_op != had_valid_op {
            self.evictions.insert(id, reader.activity(self.shared.clock.now()));
        }
        self.drop_partial_messages();
    }

    /// While messages of which only a part has arrived take up too much memory, drops those that have waited
    /// longest for their rest. What is dropped is refused once it is complete.
    fn drop_partial_messages(&mut self) {
        let is_too_much =
            |partial_bytes| partial_bytes > self.shared.limits.partial_bytes || self.shared.is_over_limit();
        while self.partial_bytes > 0 && is_too_much(self.partial_bytes) {
            let partial = self.readers.values_mut().filter(|reader| reader.partial_bytes() > 0);
            let waiting_longest = partial.min_by_key(|reader| reader.client.last_active_at.load(Relaxed));
            let Some(reader) = waiting_longest else { return };
            self.partial_bytes -= reader.partial_bytes();
            reader.drop_partial_message();
        }
    }

    fn write_remaining(&mut self, id: u64) {
        self.serve(id, |reader, _| {
            reader.write_remaining();
            Outcome::Wait
        });
    }

    /// Clients that are not draining.
    fn not_draining(&self) -> usize {
        self.readers.len() - self.draining
    }

    /// Clients have come to the accept queue.
    fn note_waiting_clients(&mut self) {
        if !std::mem::replace(&mut self.may_accept, true) {
            self.queue_empty_at = self.shared.clock.now();
            self.queue_served_at = self.queue_empty_at;
        }
    }

    /// Accepts waiting clients, a few per iteration, while there is room. Where the queue may hold some that
    /// have waited for long, all of it is accepted at once. Where room has been short for as long as a client
    /// may wait for its answer, the queue is closed unread: a client that is told so comes again, one that
    /// waits is lost.
    fn accept(&mut self) {
        let now = self.shared.clock.now();
        let limits = &self.shared.limits;
        let is_overdue = self.may_accept && now - self.queue_served_at > limits.accept_wait_ms;
        let closes_unread = is_overdue && now - self.queue_empty_at > limits.unread_wait_ms;
        let max_accepts = if is_overdue { limits.backlog as usize } else { limits.accepts_a_turn };
        if is_overdue {
            // Who comes during this call waits for the next one.
            self.queue_served_at = now;
        }
        if closes_unread {
            self.queue_empty_at = now;
        }
        for _ in 0..max_accepts {
            if !self.may_accept {
                return;
            }
            let limits = &self.shared.limits;
            // When full, a client is evicted at once, so that accepting keeps pace with clients that connect
            // and stay silent: each of them costs one eviction. If all are busy, or too many are still
            // draining, new ones wait in the accept queue.
            let (max_clients, max_connections) = (limits.clients, limits.clients + limits.leaving);
            let has_room = self.not_draining() < max_clients || self.make_room();
            let has_room = has_room && self.shared.clients() < max_connections;
            if !has_room && !closes_unread {
                return;
            }
            let Some(listener) = &self.listener else { return };
            // A connection in the kernel's accept queue costs nothing, an open one does.
            let may_accept = self.accept_limiter.take(now, self.admission.accepts_per_second);
            if !may_accept && !is_overdue {
                return;
            }
            match rustix::net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(stream) if has_room => self.add_client(TcpStream::from(stream)),
                Ok(_) => {
                    self.shared.metrics.closed_unread.fetch_add(1, Relaxed);
                }
                Err(rustix::io::Errno::WOULDBLOCK) => {
                    (self.may_accept, self.queue_empty_at) = (false, now);
                    self.queue_served_at = now;
                }
                Err(rustix::io::Errno::INTR | rustix::io::Errno::CONNABORTED) => {}
                Err(e) => {
                    // Out of descriptors or memory: new connections fail, but the router keeps running.
                    tracing::warn!(error = %e, clients = self.shared.clients(), "cannot accept a client");
                    self.make_room();
                    return;
                }
            }
        }
    }

    fn add_client(&mut self, stream: TcpStream) {
        let id = self.next_client_id;
        self.next_client_id += 1;
        // Also polled for writing only once the client is slow, which saves a wake-up per client.
        let (token, reads) = (Token(id as usize), Interest::READABLE);
        if self.poll.registry().register(&mut SourceFd(&stream.as_raw_fd()), token, reads).is_err() {
            return;
        }
        let reader = ClientReader::new(
            &self.shared,
            &self.parser,
            &self.events,
            Client::new(&self.shared, id, stream),
        );
        self.evictions.insert(id, reader.activity(self.shared.clock.now()));
        self.timers.set(id, reader.next_deadline());
        self.readers.insert(id, reader);
    }

    /// The client that has been idle longest and at least for `min_idle_ms`, among those whose last command
    /// was a valid op or those whose last was not.
    fn longest_idle(&mut self, has_valid_op: bool, min_idle_ms: f64) -> Option<u64> {
        let now = self.shared.clock.now();
        let readers = &self.readers;
        let current_activity = |id: u64| {
            readers
                .get(&id)
                .map_or(ClientActivity { has_valid_op, last_active_at: 0 }, |reader| reader.activity(now))
        };
        self.evictions.longest_idle(has_valid_op, (now - min_idle_ms) as u64, current_activity)
    }

    /// Drains one client to make room: the one idle longest of those that have sent no valid op yet or
    /// nothing but faults since, unless it has only just connected and may be about to send one; else the one
    /// idle longest of the others, if for long enough. False if there is none.
    fn make_room(&mut self) -> bool {
        let (silent_ms, idle_ms) = (self.shared.limits.silent_ms, self.shared.limits.idle_ms);
        let candidate = self.longest_idle(false, silent_ms).or_else(|| self.longest_idle(true, idle_ms));
        candidate.inspect(|id| self.serve(*id, ClientReader::drain)).is_some()
    }

    /// Drains idle clients beyond the crowd limit. Clients that stay connected after an op would keep others
    /// out, because the limits on the clients' side count idle connections too.
    fn drain_idle(&mut self) {
        while self.not_draining() > self.shared.limits.crowd {
            let idle_ms = self.shared.limits.idle_ms;
            let candidate = self.longest_idle(false, idle_ms).or_else(|| self.longest_idle(true, idle_ms));
            let Some(id) = candidate else { return };
            self.serve(id, ClientReader::drain);
        }
    }

    /// Advances the shutdown once it is requested: accepts clients for the grace period, goes on serving,
    /// then drains all clients between their requests. True once none is left.
    fn advance_shutdown(&mut self) -> bool {
        let (now, limits) = (self.shared.clock.now(), &self.shared.limits);
        let disconnect_at = self.shared.stop_deadline() + limits.cut.as_secs_f64() * 1000.0;
        if now < self.shared.after_stop_request(limits.grace) {
            return false;
        }
        // Clients in the accept queue are lost when it closes, so they are accepted in one last period, which
        // lasts its full time even if the router was delayed. It is limited, as some clients go on
        // connecting whatever happens.
        let Some(accept_until) = self.accept_until else {
            self.accept_until = Some(now + limits.last_look.as_secs_f64() * 1000.0);
            self.may_accept = self.listener.is_some();
            return false;
        };
        if self.listener.is_some() && (now >= accept_until || !self.may_accept) {
            (self.listener, self.may_accept) = (None, false);
            tracing::info!(clients = self.shared.clients(), "no more clients are let in");
        }
        if self.listener.is_none()
            && !self.is_draining_all
            && now >= self.shared.after_stop_request(limits.linger)
        {
            self.is_draining_all = true;
            let (all, clients): (Vec<u64>, _) =
                (self.readers.keys().copied().collect(), self.shared.clients());
            for id in all {
                self.serve(id, ClientReader::drain);
            }
            // Logged after each has been read for the last time.
            tracing::info!(clients, "closing clients between requests");
        }
        // A client that reads no answer, or writes without end, must not delay the shutdown.
        if self.is_draining_all && now >= disconnect_at {
            tracing::info!(clients = self.readers.len(), "disconnecting the remaining clients");
            let all: Vec<u64> = self.readers.keys().copied().collect();
            all.into_iter().for_each(|id| self.serve(id, |reader, _| reader.disconnect()));
            return true;
        }
        self.is_draining_all && self.shared.clients() == 0
    }
}

#[cfg(test)]
mod tests;
