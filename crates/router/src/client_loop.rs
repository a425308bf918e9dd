//! The clients' loop: one thread accepts clients, watches all of their connections, and gives a turn to those that
//! have something to say, can take more of their answers, or have run out of time. A connection that says nothing
//! has no thread and costs nothing but its descriptor.

use crate::client::Client;
use crate::client_reader::{Reader, Turn};
use crate::event::Event;
use crate::eviction::{EvictionOrder, Standing};
use crate::op_facts::OpFactsParser;
use crate::shared::Shared;
use crate::timers::Timers;
use crossbeam_channel::{Receiver, Sender};
use magpiewell_budget::{AcceptLimiter, AdmissionLimits, Budget, SheddingMode};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use rustix::net::SocketFlags;
use std::collections::HashMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Wakes the loop; clients' numbers begin behind it.
pub const WAKE: Token = Token(0);
const LISTENER: Token = Token(1);
const FIRST: u64 = 2;

pub struct ClientLoop {
    shared: Arc<Shared>,
    names: Arc<OpFactsParser>,
    events: Sender<Event>,
    poll: Poll,
    /// None once nobody else is let in.
    listener: Option<TcpListener>,
    /// Somebody may be waiting to be accepted.
    acceptable: bool,
    wakeups: Receiver<u64>,
    readers: HashMap<u64, Reader>,
    /// How many of them are on their way out.
    leaving: usize,
    evictions: EvictionOrder,
    timers: Timers,
    /// Those that had more to say than one turn takes.
    more: Vec<u64>,
    scratch: Vec<u8>,
    next: u64,
    budget: Budget,
    room: AdmissionLimits,
    opens: AcceptLimiter,
    budget_at: f64,
    /// Until when the queue is still looked at; none before the grace is over.
    last_look: Option<f64>,
    /// All are being closed gracefully.
    emptying: bool,
}

impl ClientLoop {
    /// The listener must not wait in its calls.
    pub fn new(
        shared: Arc<Shared>,
        names: Arc<OpFactsParser>,
        events: Sender<Event>,
        poll: Poll,
        listener: TcpListener,
        wakeups: Receiver<u64>,
    ) -> std::io::Result<ClientLoop> {
        poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER, Interest::READABLE)?;
        let scratch = vec![0; shared.limits.read_bytes];
        let budget = Budget::new(shared.limits.cores, shared.limits.open_ms, shared.limits.refuse_ms);
        Ok(ClientLoop {
            room: budget.admission_limits(),
            budget,
            opens: AcceptLimiter::default(),
            budget_at: 0.0,
            shared,
            names,
            events,
            poll,
            listener: Some(listener),
            acceptable: true,
            wakeups,
            readers: HashMap::new(),
            leaving: 0,
            evictions: EvictionOrder::default(),
            timers: Timers::default(),
            more: Vec::new(),
            scratch,
            next: FIRST,
            last_look: None,
            emptying: false,
        })
    }

    /// Runs until the router has been asked to stop and all clients have gone.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(self.shared.limits.events);
        loop {
            self.shared.pause_to_batch();
            let wait = self.wait();
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => {
                    tracing::error!(error = %e, "clients can't be watched");
                    std::thread::sleep(self.shared.limits.accept_check);
                }
                _ => {}
            }
            for event in &events {
                let no = event.token().0 as u64;
                match event.token() {
                    WAKE => {}
                    LISTENER => self.acceptable = true,
                    _ if event.is_writable() && !event.is_readable() => self.writes_on(no),
                    _ => {
                        if event.is_writable() {
                            self.writes_on(no);
                        }
                        let hung_up = event.is_read_closed() || event.is_error();
                        self.give(no, |reader, scratch| {
                            reader.hung_up |= hung_up;
                            reader.turn(scratch, false)
                        });
                    }
                }
            }
            while let Ok(no) = self.wakeups.try_recv() {
                self.give(no, |reader, scratch| reader.turn(scratch, false));
            }
            for no in std::mem::take(&mut self.more) {
                self.give(no, |reader, scratch| {
                    reader.in_line = false;
                    reader.turn(scratch, true)
                });
            }
            self.keep_budget();
            self.accept();
            while let Some(no) = self.timers.pop_due(self.shared.clock.now()) {
                self.give(no, Reader::overdue);
            }
            self.thin_out();
            if self.stops() {
                return;
            }
        }
    }

    /// Looks at the processor time that the process has used, and tells what may be let in for the rest.
    fn keep_budget(&mut self) {
        let now = self.shared.clock.now();
        if now < self.budget_at {
            return;
        }
        self.budget_at = now + self.shared.limits.budget_ms;
        let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        let used = used.tv_sec as f64 * 1e3 + used.tv_nsec as f64 / 1e6;
        let room = self.budget.update(now, used, self.shared.refused.load(Relaxed));
        let before = std::mem::replace(&mut self.room, room);
        let AdmissionLimits { mode, batch_delay_ms, accepts_per_second, admitted_share, retry_after_ms } =
            self.room;
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

    /// How long the loop may sleep.
    fn wait(&self) -> Duration {
        let limits = &self.shared.limits;
        if !self.more.is_empty() {
            return Duration::ZERO;
        }
        // Somebody acceptable and there is no room, or all are to go: looked at more often.
        let beat =
            if self.acceptable || self.emptying { limits.accept_check / 10 } else { limits.accept_check };
        let next = self.timers.next_due().map_or(beat, |due| self.shared.clock.until(due));
        next.min(beat)
    }

    /// Gives a client its turn, and keeps the books about what comes of it.
    fn give(&mut self, no: u64, turn: impl FnOnce(&mut Reader, &mut [u8]) -> Turn) {
        let Some(reader) = self.readers.get_mut(&no) else { return };
        let (left, asked) = (reader.leaving, reader.asks);
        let what = turn(reader, &mut self.scratch);
        self.leaving += usize::from(reader.leaving && !left);
        match what {
            Turn::Gone => {
                self.leaving -= usize::from(reader.leaving);
                self.readers.remove(&no);
                self.evictions.leave(no);
                self.timers.set(no, None);
                return;
            }
            // Once, however often it is looked at meanwhile: else a flood would gain turns, and room, with each.
            Turn::More if !std::mem::replace(&mut reader.in_line, true) => self.more.push(no),
            Turn::More => {}
            Turn::Wait => {}
        }
        if reader.is_slow() && !std::mem::replace(&mut reader.watched, true) {
            let stream = reader.client.stream.as_raw_fd();
            let both = Interest::READABLE | Interest::WRITABLE;
            let watched = self.poll.registry().reregister(&mut SourceFd(&stream), Token(no as usize), both);
            if watched.is_err() {
                // Nobody would tell when it takes more.
                reader.client.abort();
            }
        }
        self.timers.set(no, reader.due());
        if reader.leaving {
            self.evictions.leave(no);
        } else if reader.asks != asked {
            self.evictions.enter(no, reader.standing(self.shared.clock.now()));
        }
    }

    fn writes_on(&mut self, no: u64) {
        self.give(no, |reader, _| {
            reader.write_left();
            Turn::Wait
        });
    }

    /// Clients that nobody has asked to go.
    fn staying(&self) -> usize {
        self.readers.len() - self.leaving
    }

    /// Accepts those who wait, a few at a time, while there is room.
    fn accept(&mut self) {
        for _ in 0..self.shared.limits.accepts_a_turn {
            let limits = &self.shared.limits;
            if !self.acceptable {
                return;
            }
            // Full: somebody makes room at once, so that accepting keeps pace with those who only take up evictions.
            // Where all are busy, or too many are still on their way out, those outside wait in the queue.
            let (clients, most) = (limits.clients, limits.clients + limits.leaving);
            let room = self.staying() < clients || self.make_room();
            if !room || self.shared.clients() >= most {
                return;
            }
            let Some(listener) = &self.listener else { return };
            // A connection in the system's queue costs nothing, an open one does.
            if !self.opens.take(self.shared.clock.now(), self.room.accepts_per_second) {
                return;
            }
            match rustix::net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(stream) => self.welcome(TcpStream::from(stream)),
                Err(rustix::io::Errno::WOULDBLOCK) => self.acceptable = false,
                Err(rustix::io::Errno::INTR | rustix::io::Errno::CONNABORTED) => {}
                Err(e) => {
                    // Out of descriptors or memory: it costs new connections, never the router.
                    tracing::warn!(error = %e, clients = self.shared.clients(), "cannot accept");
                    self.make_room();
                    return;
                }
            }
        }
    }

    fn welcome(&mut self, stream: TcpStream) {
        let no = self.next;
        self.next += 1;
        // For writing only once it is slow, which spares a wake for each that comes.
        let (token, reads) = (Token(no as usize), Interest::READABLE);
        if self.poll.registry().register(&mut SourceFd(&stream.as_raw_fd()), token, reads).is_err() {
            return;
        }
        let reader =
            Reader::new(&self.shared, &self.names, &self.events, Client::new(&self.shared, no, stream));
        self.evictions.enter(no, reader.standing(self.shared.clock.now()));
        self.timers.set(no, reader.due());
        self.readers.insert(no, reader);
    }

    /// The client that has been quiet longest among those that ask or those that don't, if for longer than that.
    fn quietest(&mut self, asks: bool, least_ms: f64) -> Option<u64> {
        let now = self.shared.clock.now();
        let readers = &self.readers;
        let like =
            |no: u64| readers.get(&no).map_or(Standing { asks, last: 0 }, |reader| reader.standing(now));
        self.evictions.quietest(asks, (now - least_ms) as u64, like)
    }

    /// Asks one client to go: the first that has asked nothing yet or nothing but faults, unless it has only just
    /// come and may be about to, else whoever has been idle longest, if for long enough. False where none is.
    fn make_room(&mut self) -> bool {
        let (silent_ms, idle_ms) = (self.shared.limits.silent_ms, self.shared.limits.idle_ms);
        let first = self.quietest(false, silent_ms).or_else(|| self.quietest(true, idle_ms));
        first.inspect(|no| self.give(*no, Reader::close_gracefully)).is_some()
    }

    /// Who asks once and stays keeps others out, whose own limit counts those connections too.
    fn thin_out(&mut self) {
        while self.staying() > self.shared.limits.crowd {
            let idle_ms = self.shared.limits.idle_ms;
            let first = self.quietest(false, idle_ms).or_else(|| self.quietest(true, idle_ms));
            let Some(no) = first else { return };
            self.give(no, Reader::close_gracefully);
        }
    }

    /// After a request to stop: lets clients in for a while, serves on, shows all out between their requests. True
    /// once nobody is left.
    fn stops(&mut self) -> bool {
        let (now, limits) = (self.shared.clock.now(), &self.shared.limits);
        let cut_at = self.shared.stop_deadline() + limits.cut.as_secs_f64() * 1000.0;
        if now < self.shared.after_stop_request(limits.grace) {
            return false;
        }
        // Who stands in the queue as it closes is lost, so it is looked at once more; where the router was held up, it
        // has its time for that all the same. Some go on connecting whatever happens: emptied, but not for ever.
        let Some(last_look) = self.last_look else {
            self.last_look = Some(now + limits.last_look.as_secs_f64() * 1000.0);
            self.acceptable = self.listener.is_some();
            return false;
        };
        if self.listener.is_some() && (now >= last_look || !self.acceptable) {
            (self.listener, self.acceptable) = (None, false);
            tracing::info!(clients = self.shared.clients(), "no more clients are let in");
        }
        if self.listener.is_none() && !self.emptying && now >= self.shared.after_stop_request(limits.linger) {
            self.emptying = true;
            let (all, clients): (Vec<u64>, _) =
                (self.readers.keys().copied().collect(), self.shared.clients());
            for no in all {
                self.give(no, Reader::close_gracefully);
            }
            // Said once all have been read for the last time.
            tracing::info!(clients, "closing clients between requests");
        }
        // Who takes no answer, or writes without end, does not delay the end.
        if self.emptying && now >= cut_at {
            tracing::info!(clients = self.readers.len(), "breaking off clients that are left");
            let all: Vec<u64> = self.readers.keys().copied().collect();
            all.into_iter().for_each(|no| self.give(no, |reader, _| reader.cut_off()));
            return true;
        }
        self.emptying && self.shared.clients() == 0
    }
}

#[cfg(test)]
mod tests;
