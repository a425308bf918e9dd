//! Stand-in database hosts, thousands in one event loop. Each has its own address at a shared listener and
//! answers at once; connections and messages are counted.

use super::setup;
use crate::tier::net::{self, BufferedStream};
use magpiewell_pg::{encode, frame};
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const LISTENER: Token = Token(0);
/// Longest wait for events before the loop checks for commands and the stop flag.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest startup message that is accepted.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Longest statement that is accepted.
const MAX_STATEMENT_BYTES: usize = 1 << 20;
/// Replication lag that replicas report.
const LAG_MS: f64 = 20.0;

/// How the hosts of some zones fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Open connections are reset, and so are new ones.
    Lost,
    /// Connections stay open and new ones are accepted, but nothing is read or answered.
    Silent,
}

/// The outage of each zone, if any.
type Outages = [Option<Outage>; setup::ZONES];

/// Sets or clears the outage of some zones; the event loop confirms it on `applied`.
struct OutageCommand {
    zones: Vec<usize>,
    outage: Option<Outage>,
    applied: Sender<()>,
}

/// Totals over all hosts since the start, except for `open`: the connections that are open now.
#[derive(Default)]
pub struct Counters {
    pub accepted: AtomicU64,
    pub reset: AtomicU64,
    pub open: AtomicU64,
    pub reads: AtomicU64,
    pub reads_in_outage: AtomicU64,
    pub probes: AtomicU64,
    pub bytes_in: AtomicU64,
}

/// The counters at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterValues {
    pub accepted: u64,
    /// Connections reset on accept because of an outage.
    pub reset: u64,
    pub open: u64,
    pub reads: u64,
    /// Reads that a host answered although its zone was set to fail.
    pub reads_in_outage: u64,
    pub probes: u64,
    pub bytes_in: u64,
}

/// Handle of the stand-in hosts and their event loop, which stops when the handle is dropped.
pub struct Databases {
    counters: Arc<Counters>,
    stop_requested: Arc<AtomicBool>,
    commands: Sender<OutageCommand>,
    thread: Option<JoinHandle<()>>,
    /// Port of all hosts.
    pub port: u16,
}

impl Databases {
    /// Starts the event loop in a thread of its own.
    pub fn start() -> Result<Databases, String> {
        let listener = net::listen(0)?;
        let port = listener.local_addr().map_err(|e| e.to_string())?.port();
        let counters = Arc::new(Counters::default());
        let stop_requested = Arc::new(AtomicBool::new(false));
        let (commands, command_receiver) = channel();
        let poll = Poll::new().map_err(|e| e.to_string())?;
        let mut hosts = EventLoop {
            listener,
            poll,
            counters: counters.clone(),
            stop_requested: stop_requested.clone(),
            commands: command_receiver,
            outages: Outages::default(),
            connections: HashMap::new(),
            next_number: 1,
        };
        let registration = hosts.poll.registry().register(&mut hosts.listener, LISTENER, Interest::READABLE);
        registration.map_err(|e| e.to_string())?;
        let thread = Some(std::thread::spawn(move || hosts.run()));
        Ok(Databases { counters, stop_requested, commands, thread, port })
    }

    /// Makes the hosts of these zones fail, or restores them with `None`; returns once this is in effect.
    pub fn set_outage(&self, zones: &[usize], outage: Option<Outage>) {
        let (applied, applied_receiver) = channel();
        let command = OutageCommand { zones: zones.to_vec(), outage, applied };
        if self.commands.send(command).is_ok() {
            // An error means that the event loop has ended, so there is no host left that could fail.
            let _ = applied_receiver.recv();
        }
    }

    pub fn counter_values(&self) -> CounterValues {
        let counters = &self.counters;
        CounterValues {
            accepted: counters.accepted.load(Relaxed),
            reset: counters.reset.load(Relaxed),
            open: counters.open.load(Relaxed),
            reads: counters.reads.load(Relaxed),
            reads_in_outage: counters.reads_in_outage.load(Relaxed),
            probes: counters.probes.load(Relaxed),
            bytes_in: counters.bytes_in.load(Relaxed),
        }
    }
}

impl Drop for Databases {
    fn drop(&mut self) {
        self.stop_requested.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

struct Connection {
    socket: BufferedStream,
    zone: usize,
    is_primary: bool,
    started_up: bool,
    /// Rows written, which make each value differ from the one before: a router verifies rows that repeat.
    rows: u64,
}

struct EventLoop {
    listener: mio::net::TcpListener,
    poll: Poll,
    counters: Arc<Counters>,
    stop_requested: Arc<AtomicBool>,
    commands: Receiver<OutageCommand>,
    outages: Outages,
    connections: HashMap<usize, Connection>,
    next_number: usize,
}

impl EventLoop {
    fn run(&mut self) {
        let mut events = Events::with_capacity(1_024);
        while !self.stop_requested.load(Relaxed) {
            if self.poll.poll(&mut events, Some(POLL_TIMEOUT)).is_err() {
                continue;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    token => self.serve(token.0),
                }
            }
            while let Ok(command) = self.commands.try_recv() {
                self.apply(&command);
            }
        }
    }

    fn apply(&mut self, command: &OutageCommand) {
        for zone in command.zones.iter().filter(|zone| **zone < setup::ZONES) {
            self.outages[*zone] = command.outage;
        }
        self.apply_outages();
        // The receiver may have been dropped.
        let _ = command.applied.send(());
    }

    /// Closes the connections of lost zones and serves all others, for data that arrived while they were
    /// silent.
    fn apply_outages(&mut self) {
        let numbers: Vec<usize> = self.connections.keys().copied().collect();
        for number in numbers {
            let zone = self.connections.get(&number).map_or(0, |connection| connection.zone);
            if self.outages[zone] == Some(Outage::Lost) {
                self.close(number);
            } else {
                self.serve(number);
            }
        }
    }

    fn close(&mut self, number: usize) {
        if let Some(connection) = self.connections.remove(&number) {
            connection.socket.reset();
            self.counters.open.fetch_sub(1, Relaxed);
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let mut socket = BufferedStream::new(stream);
            let Some(host) = socket.local_addr().and_then(|addr| setup::host_of(*addr.ip())) else {
                continue;
            };
            let zone = setup::zone_of(host);
            if self.outages[zone] == Some(Outage::Lost) {
                socket.reset();
                self.counters.reset.fetch_add(1, Relaxed);
                continue;
            }
            let number = self.next_number;
            self.next_number += 1;
            if socket.register(self.poll.registry(), Token(number)).is_err() {
                continue;
            }
            self.counters.accepted.fetch_add(1, Relaxed);
            self.counters.open.fetch_add(1, Relaxed);
            let connection =
                Connection { socket, zone, is_primary: setup::is_primary(host), started_up: false, rows: 0 };
            self.connections.insert(number, connection);
        }
    }

    fn serve(&mut self, number: usize) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if self.outages[connection.zone] == Some(Outage::Silent) {
            return;
        }
        let length_before = connection.socket.received.len();
        connection.socket.read();
        self.counters.bytes_in.fetch_add((connection.socket.received.len() - length_before) as u64, Relaxed);
        let reads_before = self.counters.reads.load(Relaxed);
        let is_valid = connection.answer_messages(&self.counters);
        if self.outages[connection.zone].is_some() {
            self.counters
                .reads_in_outage
                .fetch_add(self.counters.reads.load(Relaxed) - reads_before, Relaxed);
        }
        connection.socket.write();
        if connection.socket.closed || !is_valid {
            self.connections.remove(&number);
            self.counters.open.fetch_sub(1, Relaxed);
        }
    }
}

impl Connection {
    /// Answers all complete messages; false if the input is malformed or is not a query.
    fn answer_messages(&mut self, counters: &Counters) -> bool {
        if !self.started_up {
            match frame::startup(&self.socket.received, MAX_STARTUP_BYTES) {
                Ok(Some((_, body))) => drop(self.socket.received.drain(..body.end)),
                Ok(None) => return true,
                Err(_) => return false,
            }
            self.started_up = true;
            encode::startup_reply(&mut self.socket.outgoing);
        }
        loop {
            match frame::message(&self.socket.received, MAX_STATEMENT_BYTES) {
                Ok(Some((b'Q', body))) => {
                    if self.socket.received[body.clone()] == [0] {
                        self.socket.received.drain(..body.end);
                        encode::empty_query_response(&mut self.socket.outgoing);
                        self.socket.outgoing.extend_from_slice(&encode::READY_FOR_QUERY);
                        continue;
                    }
                    let is_read = self.socket.received[body.clone()].starts_with(b"SELECT");
                    self.socket.received.drain(..body.end);
                    let counter = if is_read { &counters.reads } else { &counters.probes };
                    counter.fetch_add(1, Relaxed);
                    self.write_row(if is_read { "SELECT 1" } else { "SHOW" });
                }
                Ok(None) => return true,
                Ok(Some(_)) | Err(_) => return false,
            }
        }
    }

    /// Writes a result of one row, followed by the host's role and commit clock as parameters.
    fn write_row(&mut self, tag: &str) {
        let (role, lag) = if self.is_primary { ("writer", 0.0) } else { ("reader", LAG_MS) };
        let commit_clock_ms = unix_now_ms() - lag;
        let description = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
        let value = format!("\\x{:08x}", self.rows);
        self.rows += 1;
        let row = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
        let outgoing = &mut self.socket.outgoing;
        outgoing.extend(encode_message(b'T', &description));
        outgoing.extend(encode_message(b'D', &row));
        outgoing.extend(encode_message(b'C', format!("{tag}\0").as_bytes()));
        outgoing.extend(encode_message(b'S', format!("server_role\0{role}\0").as_bytes()));
        outgoing.extend(encode_message(b'S', format!("commit_clock\0{commit_clock_ms:.3}\0").as_bytes()));
        outgoing.extend_from_slice(&encode::READY_FOR_QUERY);
    }
}

fn unix_now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

fn encode_message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}
