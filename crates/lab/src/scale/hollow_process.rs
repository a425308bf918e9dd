//! A process of hollow routers: each router has its own UDP socket, a few threads serve all of them. Commands
//! are read from standard input, events are written to standard output.

use super::fault::Faults;
use super::hollow::{self, HollowRouter, Output, PAUSE_THRESHOLD_MS, Primary, TICK_MS};
use super::message::{Command, Entry, Event, Totals};
use super::plan::{MemberId, Plan};
use crate::tier::net::Epoch;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufWriter, ErrorKind, Stdout, Write};
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

const THREADS_PER_PROCESS: usize = 2;
/// Interval between reports of the totals.
const REPORT_INTERVAL_MS: f64 = 1_000.0;
const RECEIVE_BUFFER_BYTES: usize = 2 * magpiewell_peers::MAX_DATAGRAM_BYTES;
/// First salt of the random number generators for faults, one per thread; the plan itself uses salt 0.
const FIRST_FAULT_SALT: u64 = 1_000;

/// Data shared by all threads of the process.
struct Context {
    plan: Plan,
    epoch: Epoch,
    /// Offset of the routers' clocks.
    clock_offset_ms: f64,
}

impl Context {
    /// The routers' Unix time at `at` ms since the epoch.
    fn unix_ms(&self, at: f64) -> f64 {
        self.epoch.unix_ms + at + self.clock_offset_ms
    }
}

/// A new primary that a hollow router is to observe.
struct Observation {
    observer: MemberId,
    primary: Primary,
}

/// Access to one thread of the process from the others.
struct WorkerHandle {
    members: Vec<MemberId>,
    observations: Sender<Observation>,
    totals: Arc<Mutex<Totals>>,
}

/// Reads the plan and runs the hollow routers of one process until standard input ends.
pub fn run(plan: &Path, process: usize, epoch: Epoch) -> Result<(), String> {
    let text = std::fs::read_to_string(plan).map_err(|e| format!("{}: {e}", plan.display()))?;
    let plan: Plan = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", plan.display()))?;
    plan.validate()?;
    let faults = Arc::new(RwLock::new(plan.permanent_faults()));
    let context = Arc::new(Context { clock_offset_ms: plan.clock_offset_ms(process), plan, epoch });
    let writer = Arc::new(EventWriter::new(epoch));
    let members = context.plan.members_of_process(process);
    let mut handles = Vec::new();
    let mut workers = Vec::new();
    for thread in 0..THREADS_PER_PROCESS {
        let own_members: Vec<MemberId> =
            members.iter().copied().skip(thread).step_by(THREADS_PER_PROCESS).collect();
        let (observations, received_observations) = mpsc::channel();
        let totals = Arc::new(Mutex::new(Totals::default()));
        let rng = context.plan.rng(FIRST_FAULT_SALT + (process * THREADS_PER_PROCESS + thread) as u64);
        workers.push(Worker::open(
            &context,
            &own_members,
            received_observations,
            &faults,
            rng,
            &writer,
            &totals,
        )?);
        handles.push(WorkerHandle { members: own_members, observations, totals });
    }
    writer.write(Event::Ready { process });
    for worker in workers {
        std::thread::spawn(move || worker.run());
    }
    let totals: Vec<Arc<Mutex<Totals>>> = handles.iter().map(|handle| handle.totals.clone()).collect();
    std::thread::spawn(move || report_totals(process, &totals, &writer));
    run_commands(&handles, &faults);
    Ok(())
}

/// Executes the commands on standard input until it ends.
fn run_commands(handles: &[WorkerHandle], faults: &RwLock<Faults>) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(Command::Faults(new)) => *faults.write().unwrap_or_else(PoisonError::into_inner) = new,
            Ok(Command::ObservePrimary { observer, group, host }) => {
                let handle = handles.iter().find(|handle| handle.members.contains(&observer));
                if let Some(handle) = handle {
                    let primary = Primary { group, host };
                    // Fails only if the thread has ended, which then observes nothing any more.
                    let _ = handle.observations.send(Observation { observer, primary });
                }
            }
            Err(why) => eprintln!("hollow process: unreadable command: {why}: {line}"),
        }
    }
}

/// Reports the sum of all threads' totals at each interval.
fn report_totals(process: usize, totals: &[Arc<Mutex<Totals>>], writer: &EventWriter) {
    loop {
        std::thread::sleep(Duration::from_secs_f64(REPORT_INTERVAL_MS / 1e3));
        let mut sum = Totals::default();
        for thread in totals {
            let mut thread_totals = thread.lock().unwrap_or_else(PoisonError::into_inner);
            sum.datagrams += thread_totals.datagrams;
            sum.bytes += thread_totals.bytes;
            sum.ticks += thread_totals.ticks;
            sum.late_ticks += thread_totals.late_ticks;
            sum.lost += thread_totals.lost;
            sum.most_bytes = sum.most_bytes.max(thread_totals.most_bytes);
            thread_totals.most_bytes = 0;
        }
        writer.write(Event::Totals { process, totals: sum });
    }
}

/// Writes events to standard output.
struct EventWriter {
    epoch: Epoch,
    out: Mutex<BufWriter<Stdout>>,
}

impl EventWriter {
    fn new(epoch: Epoch) -> EventWriter {
        EventWriter { epoch, out: Mutex::new(BufWriter::new(std::io::stdout())) }
    }

    fn write(&self, event: Event) {
        self.write_all(vec![event]);
    }

    fn write_all(&self, events: Vec<Event>) {
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that the lines are in the order of their timestamps.
        let at = self.epoch.now();
        for event in events {
            let line = serde_json::to_string(&Entry { at, event }).unwrap_or_default();
            // Fails only if the reader has gone; this process is then about to be killed.
            drop(writeln!(out, "{line}"));
        }
        drop(out.flush());
    }
}

/// A hollow router with its socket.
struct Endpoint {
    router: HollowRouter,
    socket: UdpSocket,
    next_tick: f64,
    last_tick: f64,
    reported_bytes: u64,
    reported_at: f64,
}

/// The event loop of one thread and its routers.
struct Worker {
    context: Arc<Context>,
    poll: Poll,
    endpoints: Vec<Endpoint>,
    observations: Receiver<Observation>,
    faults: Arc<RwLock<Faults>>,
    rng: ChaCha8Rng,
    writer: Arc<EventWriter>,
    shared_totals: Arc<Mutex<Totals>>,
    totals: Totals,
    pending_events: Vec<Event>,
}

impl Worker {
    fn open(
        context: &Arc<Context>,
        members: &[MemberId],
        observations: Receiver<Observation>,
        faults: &Arc<RwLock<Faults>>,
        rng: ChaCha8Rng,
        writer: &Arc<EventWriter>,
        shared_totals: &Arc<Mutex<Totals>>,
    ) -> Result<Worker, String> {
        let options = hollow::parse_template(&context.plan)?;
        let poll = Poll::new().map_err(|e| e.to_string())?;
        let now = context.epoch.now();
        let mut endpoints = Vec::new();
        for (position, member) in members.iter().enumerate() {
            let address = context.plan.address(*member);
            let with_router = |e: std::io::Error| format!("hollow router {member} at {address}: {e}");
            let mut socket = UdpSocket::bind(address).map_err(with_router)?;
            poll.registry()
                .register(&mut socket, Token(position), Interest::READABLE)
                .map_err(with_router)?;
            let router = HollowRouter::new(&context.plan, &options, *member, context.unix_ms(now))?;
            // Spreads the routers' ticks over the interval.
            let next_tick = now + TICK_MS * position as f64 / members.len() as f64;
            endpoints.push(Endpoint {
                router,
                socket,
                next_tick,
                last_tick: next_tick,
                reported_bytes: 0,
                reported_at: now,
            });
        }
        Ok(Worker {
            context: context.clone(),
            poll,
            endpoints,
            observations,
            faults: faults.clone(),
            rng,
            writer: writer.clone(),
            shared_totals: shared_totals.clone(),
            totals: Totals::default(),
            pending_events: Vec::new(),
        })
    }

    /// Runs until the process exits.
    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(self.time_until_next_tick()))
                && e.kind() != ErrorKind::Interrupted
            {
                return eprintln!("hollow process: sockets can't be polled: {e}");
            }
            let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner).clone();
            for event in &events {
                self.receive(event.token().0, &faults);
            }
            self.observe_primaries(&faults);
            self.tick(&faults);
            self.publish();
        }
    }

    fn time_until_next_tick(&self) -> Duration {
        let next = self.endpoints.iter().map(|endpoint| endpoint.next_tick).fold(f64::INFINITY, f64::min);
        let wait = (next - self.context.epoch.now()).clamp(1.0, TICK_MS);
        Duration::from_secs_f64(wait / 1e3)
    }

    fn unix_now_ms(&self) -> f64 {
        self.context.unix_ms(self.context.epoch.now())
    }

    fn receive(&mut self, position: usize, faults: &Faults) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        while let Ok((length, from)) = self.endpoints[position].socket.recv_from(&mut buffer) {
            let Some(from) = self.context.plan.member_at(from) else { continue };
            let member = self.endpoints[position].router.member;
            // Datagrams from hollow routers are subject to faults at the sender.
            if !self.context.plan.is_hollow(from) && faults.should_drop(from, member, &mut self.rng) {
                self.totals.lost += 1;
                continue;
            }
            let now = self.unix_now_ms();
            let output = self.endpoints[position].router.receive(now, from, &buffer[..length]);
            self.handle_output(position, output, faults);
        }
    }

    fn observe_primaries(&mut self, faults: &Faults) {
        while let Ok(Observation { observer, primary }) = self.observations.try_recv() {
            let position = self.endpoints.iter().position(|endpoint| endpoint.router.member == observer);
            let Some(position) = position else { continue };
            let Primary { group, host } = primary;
            // The observer itself knows the new primary at once.
            self.pending_events.push(Event::PrimaryChanged { observer, group, host });
            self.pending_events.push(Event::Primary { observer, group, host });
            let now = self.unix_now_ms();
            let output = self.endpoints[position].router.observe_primary(now, primary);
            self.handle_output(position, output, faults);
        }
    }

    fn tick(&mut self, faults: &Faults) {
        for position in 0..self.endpoints.len() {
            let now = self.context.epoch.now();
            let endpoint = &mut self.endpoints[position];
            if now < endpoint.next_tick {
                continue;
            }
            self.totals.ticks += 1;
            self.totals.late_ticks += u64::from(now - endpoint.last_tick > PAUSE_THRESHOLD_MS);
            endpoint.last_tick = now;
            endpoint.next_tick = now + TICK_MS;
            let output = endpoint.router.tick(self.context.unix_ms(now));
            self.handle_output(position, output, faults);
            self.record_status_changes(position);
            self.record_sent_bytes(position, now);
        }
    }

    fn record_status_changes(&mut self, position: usize) {
        let router = &mut self.endpoints[position].router;
        let observer = router.member;
        let status_event = |(member, counts)| Event::Belief { observer, member, counts };
        self.pending_events.extend(router.changed_members().into_iter().map(status_event));
    }

    fn record_sent_bytes(&mut self, position: usize, now: f64) {
        let endpoint = &mut self.endpoints[position];
        if now - endpoint.reported_at < REPORT_INTERVAL_MS {
            return;
        }
        let (_, bytes) = endpoint.router.sent();
        self.totals.most_bytes = self.totals.most_bytes.max(bytes - endpoint.reported_bytes);
        endpoint.reported_bytes = bytes;
        endpoint.reported_at = now;
    }

    fn handle_output(&mut self, position: usize, output: Output, faults: &Faults) {
        let endpoint = &self.endpoints[position];
        let observer = endpoint.router.member;
        for datagram in output.datagrams {
            if faults.should_drop(observer, datagram.to, &mut self.rng) {
                self.totals.lost += 1;
                continue;
            }
            // A send error counts as a datagram lost on the way.
            drop(endpoint.socket.send_to(&datagram.bytes, self.context.plan.address(datagram.to)));
        }
        let primary_event = |Primary { group, host }| Event::Primary { observer, group, host };
        self.pending_events.extend(output.primaries.into_iter().map(primary_event));
    }

    /// Writes the events and publishes the totals of this iteration.
    fn publish(&mut self) {
        let sent = self.endpoints.iter().map(|endpoint| endpoint.router.sent());
        (self.totals.datagrams, self.totals.bytes) = sent.fold((0, 0), |(d, b), (x, y)| (d + x, b + y));
        {
            let mut shared = self.shared_totals.lock().unwrap_or_else(PoisonError::into_inner);
            let most_bytes = shared.most_bytes.max(self.totals.most_bytes);
            *shared = Totals { most_bytes, ..self.totals };
        }
        self.totals.most_bytes = 0;
        if !self.pending_events.is_empty() {
            self.writer.write_all(std::mem::take(&mut self.pending_events));
        }
    }
}
