//! The process of one slice of hollow routers: a UDP socket for each, a few threads, commands on standard
//! input and what was seen on standard output.

use super::fault::Faults;
use super::hollow::{self, HollowRouter, OVERSLEPT_MS, Output, Primary, TICK_MS};
use super::message::{Command, Entry, Event, Totals};
use super::plan::{Member, Plan};
use crate::tier::net::Epoch;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufWriter, ErrorKind, Stdout, Write};
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

/// Threads of one process.
const THREADS: usize = 2;
/// How often totals are reported, in ms.
const REPORT_MS: f64 = 1_000.0;
const LONGEST_DATAGRAM: usize = 2 * magpiewell_peers::MAX_DATAGRAM_BYTES;
/// Chance for the faults of a process' threads begins here, beyond that of the plan itself.
const CHANCE_OF_FAULTS: u64 = 1_000;

/// What all threads of the process read.
struct Place {
    plan: Plan,
    epoch: Epoch,
    /// How far the routers' clocks are off, in ms.
    clock_off_ms: f64,
}

impl Place {
    /// Unix ms by the routers' clocks at a time since the start.
    fn unix(&self, at: f64) -> f64 {
        self.epoch.unix + at + self.clock_off_ms
    }
}

/// What one hollow router is to see.
struct Observation {
    observer: Member,
    primary: Primary,
}

/// One thread of the process, as the others know it.
struct Handle {
    members: Vec<Member>,
    observations: Sender<Observation>,
    totals: Arc<Mutex<Totals>>,
}

/// Reads the plan and runs until the input ends.
pub fn run(plan: &Path, process: usize, epoch: Epoch) -> Result<(), String> {
    let text = std::fs::read_to_string(plan).map_err(|e| format!("{}: {e}", plan.display()))?;
    let plan: Plan = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", plan.display()))?;
    plan.check()?;
    let faults = Arc::new(RwLock::new(plan.standing_faults()));
    let place = Arc::new(Place { clock_off_ms: plan.clock_off_ms(process), plan, epoch });
    let journal = Arc::new(Journal::new(epoch));
    let members = place.plan.slice(process);
    let mut handles = Vec::new();
    let mut loops = Vec::new();
    for thread in 0..THREADS {
        let own: Vec<Member> = members.iter().copied().skip(thread).step_by(THREADS).collect();
        let (observations, to_observe) = mpsc::channel();
        let totals = Arc::new(Mutex::new(Totals::default()));
        let chance = place.plan.chance(CHANCE_OF_FAULTS + (process * THREADS + thread) as u64);
        loops.push(Loop::open(&place, &own, to_observe, &faults, chance, &journal, &totals)?);
        handles.push(Handle { members: own, observations, totals });
    }
    journal.write(Event::Ready { process });
    for running in loops {
        std::thread::spawn(move || running.run());
    }
    let totals: Vec<Arc<Mutex<Totals>>> = handles.iter().map(|handle| handle.totals.clone()).collect();
    std::thread::spawn(move || report_totals(process, &totals, &journal));
    take_commands(&handles, &faults);
    Ok(())
}

/// Does what the input says until it ends.
fn take_commands(handles: &[Handle], faults: &RwLock<Faults>) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(Command::Faults(new)) => *faults.write().unwrap_or_else(PoisonError::into_inner) = new,
            Ok(Command::ObservePrimary { observer, group, host }) => {
                let handle = handles.iter().find(|handle| handle.members.contains(&observer));
                if let Some(handle) = handle {
                    let primary = Primary { group, host };
                    // A thread that has ended sees nothing any more.
                    let _ = handle.observations.send(Observation { observer, primary });
                }
            }
            Err(why) => eprintln!("hollow process: not understood: {why}: {line}"),
        }
    }
}

/// Reports the sum of all threads' totals every second.
fn report_totals(process: usize, totals: &[Arc<Mutex<Totals>>], journal: &Journal) {
    loop {
        std::thread::sleep(Duration::from_secs_f64(REPORT_MS / 1e3));
        let mut sum = Totals::default();
        for thread in totals {
            let mut of = thread.lock().unwrap_or_else(PoisonError::into_inner);
            sum.datagrams += of.datagrams;
            sum.bytes += of.bytes;
            sum.ticks += of.ticks;
            sum.late_ticks += of.late_ticks;
            sum.lost += of.lost;
            sum.most_bytes = sum.most_bytes.max(of.most_bytes);
            of.most_bytes = 0;
        }
        journal.write(Event::Totals { process, totals: sum });
    }
}

/// Writes what was seen to standard output.
struct Journal {
    epoch: Epoch,
    out: Mutex<BufWriter<Stdout>>,
}

impl Journal {
    fn new(epoch: Epoch) -> Journal {
        Journal { epoch, out: Mutex::new(BufWriter::new(std::io::stdout())) }
    }

    fn write(&self, event: Event) {
        self.write_all(vec![event]);
    }

    fn write_all(&self, events: Vec<Event>) {
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        // Taken under the lock, so that a process' lines are in the order of their times.
        let at = self.epoch.now();
        for event in events {
            let line = serde_json::to_string(&Entry { at, event }).unwrap_or_default();
            // Nobody reads any more: the process is about to be ended.
            drop(writeln!(out, "{line}"));
        }
        drop(out.flush());
    }
}

/// A hollow router with its socket.
struct Seat {
    router: HollowRouter,
    socket: UdpSocket,
    next_tick: f64,
    last_tick: f64,
    reported_bytes: u64,
    reported_at: f64,
}

/// One thread's routers.
struct Loop {
    place: Arc<Place>,
    poll: Poll,
    seats: Vec<Seat>,
    observations: Receiver<Observation>,
    faults: Arc<RwLock<Faults>>,
    chance: ChaCha8Rng,
    journal: Arc<Journal>,
    shared_totals: Arc<Mutex<Totals>>,
    totals: Totals,
    seen: Vec<Event>,
}

impl Loop {
    fn open(
        place: &Arc<Place>,
        members: &[Member],
        observations: Receiver<Observation>,
        faults: &Arc<RwLock<Faults>>,
        chance: ChaCha8Rng,
        journal: &Arc<Journal>,
        shared_totals: &Arc<Mutex<Totals>>,
    ) -> Result<Loop, String> {
        let terms = hollow::read_template(&place.plan)?;
        let poll = Poll::new().map_err(|e| e.to_string())?;
        let now = place.epoch.now();
        let mut seats = Vec::new();
        for (position, member) in members.iter().enumerate() {
            let address = place.plan.address(*member);
            let named = |e: std::io::Error| format!("hollow router {member} at {address}: {e}");
            let mut socket = UdpSocket::bind(address).map_err(named)?;
            poll.registry().register(&mut socket, Token(position), Interest::READABLE).map_err(named)?;
            let router = HollowRouter::new(&place.plan, &terms, *member, place.unix(now))?;
            // Not all of them at the same moment.
            let next_tick = now + TICK_MS * position as f64 / members.len() as f64;
            seats.push(Seat {
                router,
                socket,
                next_tick,
                last_tick: next_tick,
                reported_bytes: 0,
                reported_at: now,
            });
        }
        Ok(Loop {
            place: place.clone(),
            poll,
            seats,
            observations,
            faults: faults.clone(),
            chance,
            journal: journal.clone(),
            shared_totals: shared_totals.clone(),
            totals: Totals::default(),
            seen: Vec::new(),
        })
    }

    /// Runs until the process ends.
    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(self.until_next_tick()))
                && e.kind() != ErrorKind::Interrupted
            {
                return eprintln!("hollow process: sockets can't be watched: {e}");
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

    fn until_next_tick(&self) -> Duration {
        let next = self.seats.iter().map(|seat| seat.next_tick).fold(f64::INFINITY, f64::min);
        let wait = (next - self.place.epoch.now()).clamp(1.0, TICK_MS);
        Duration::from_secs_f64(wait / 1e3)
    }

    fn unix_now(&self) -> f64 {
        self.place.unix(self.place.epoch.now())
    }

    fn receive(&mut self, position: usize, faults: &Faults) {
        let mut buffer = [0; LONGEST_DATAGRAM];
        while let Ok((length, from)) = self.seats[position].socket.recv_from(&mut buffer) {
            let Some(from) = self.place.plan.member_at(from) else { continue };
            let member = self.seats[position].router.member;
            // What hollow routers send is lost where they send it.
            if !self.place.plan.is_hollow(from) && faults.loses(from, member, &mut self.chance) {
                self.totals.lost += 1;
                continue;
            }
            let now = self.unix_now();
            let output = self.seats[position].router.receive(now, from, &buffer[..length]);
            self.carry_out(position, output, faults);
        }
    }

    fn observe_primaries(&mut self, faults: &Faults) {
        while let Ok(Observation { observer, primary }) = self.observations.try_recv() {
            let position = self.seats.iter().position(|seat| seat.router.member == observer);
            let Some(position) = position else { continue };
            let Primary { group, host } = primary;
            // It knows what it has seen itself.
            self.seen.push(Event::PrimaryChanged { observer, group, host });
            self.seen.push(Event::Primary { observer, group, host });
            let now = self.unix_now();
            let output = self.seats[position].router.observe_primary(now, primary);
            self.carry_out(position, output, faults);
        }
    }

    fn tick(&mut self, faults: &Faults) {
        for position in 0..self.seats.len() {
            let now = self.place.epoch.now();
            let seat = &mut self.seats[position];
            if now < seat.next_tick {
                continue;
            }
            self.totals.ticks += 1;
            self.totals.late_ticks += u64::from(now - seat.last_tick > OVERSLEPT_MS);
            seat.last_tick = now;
            seat.next_tick = now + TICK_MS;
            let output = seat.router.tick(self.place.unix(now));
            self.carry_out(position, output, faults);
            self.note_beliefs(position);
            self.note_bytes(position, now);
        }
    }

    fn note_beliefs(&mut self, position: usize) {
        let router = &mut self.seats[position].router;
        let observer = router.member;
        let belief = |(member, counts)| Event::Belief { observer, member, counts };
        self.seen.extend(router.changed_members().into_iter().map(belief));
    }

    fn note_bytes(&mut self, position: usize, now: f64) {
        let seat = &mut self.seats[position];
        if now - seat.reported_at < REPORT_MS {
            return;
        }
        let (_, bytes) = seat.router.sent();
        self.totals.most_bytes = self.totals.most_bytes.max(bytes - seat.reported_bytes);
        seat.reported_bytes = bytes;
        seat.reported_at = now;
    }

    fn carry_out(&mut self, position: usize, output: Output, faults: &Faults) {
        let seat = &self.seats[position];
        let observer = seat.router.member;
        for datagram in output.datagrams {
            if faults.loses(observer, datagram.to, &mut self.chance) {
                self.totals.lost += 1;
                continue;
            }
            // Not taken by the machine: as lost on the way.
            drop(seat.socket.send_to(&datagram.bytes, self.place.plan.address(datagram.to)));
        }
        let learned = |Primary { group, host }| Event::Primary { observer, group, host };
        self.seen.extend(output.primaries.into_iter().map(learned));
    }

    /// Hands on what was seen and counted in this turn.
    fn publish(&mut self) {
        let sent = self.seats.iter().map(|seat| seat.router.sent());
        (self.totals.datagrams, self.totals.bytes) = sent.fold((0, 0), |(d, b), (x, y)| (d + x, b + y));
        {
            let mut shared = self.shared_totals.lock().unwrap_or_else(PoisonError::into_inner);
            let most_bytes = shared.most_bytes.max(self.totals.most_bytes);
            *shared = Totals { most_bytes, ..self.totals };
        }
        self.totals.most_bytes = 0;
        if !self.seen.is_empty() {
            self.journal.write_all(std::mem::take(&mut self.seen));
        }
    }
}
