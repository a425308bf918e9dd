//! Stand-in database hosts, thousands in one loop: each has an address of its own at one listener, answers at
//! once, and is counted.

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
const TURN: Duration = Duration::from_millis(50);
/// Longest startup message and statement that are taken.
const STARTUP_BYTES: usize = 10_000;
const STATEMENT_BYTES: usize = 1 << 20;
/// How far replicas are behind, in ms.
const LAG_MS: f64 = 20.0;

/// How the hosts of some zones fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are broken off, and new ones are reset.
    Lost,
    /// Connections stand and new ones are accepted, but nothing is read or answered.
    Silent,
}

/// The outage of each zone.
type Outages = [Option<Outage>; setup::ZONES];

/// Asks the loop to let these zones fail so, or work again; answered once it does.
struct Order {
    zones: Vec<usize>,
    outage: Option<Outage>,
    done: Sender<()>,
}

/// What the hosts have seen since their start, but for `open`, which is what is so now.
#[derive(Default)]
pub struct Counts {
    pub accepted: AtomicU64,
    pub reset: AtomicU64,
    pub open: AtomicU64,
    pub reads: AtomicU64,
    pub reads_in_outage: AtomicU64,
    pub probes: AtomicU64,
    pub bytes_in: AtomicU64,
}

/// The counts at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counted {
    pub accepted: u64,
    /// Connections refused for an outage.
    pub reset: u64,
    pub open: u64,
    pub reads: u64,
    /// Reads that a host answered although its zone was to fail.
    pub reads_in_outage: u64,
    pub probes: u64,
    pub bytes_in: u64,
}

pub struct Databases {
    counts: Arc<Counts>,
    over: Arc<AtomicBool>,
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
    pub port: u16,
}

impl Databases {
    pub fn start() -> Result<Databases, String> {
        let listener = net::listen(0)?;
        let port = listener.local_addr().map_err(|e| e.to_string())?.port();
        let counts = Arc::new(Counts::default());
        let over = Arc::new(AtomicBool::new(false));
        let (orders, ordered) = channel();
        let poll = Poll::new().map_err(|e| e.to_string())?;
        let mut hosts = Loop {
            listener,
            poll,
            counts: counts.clone(),
            over: over.clone(),
            orders: ordered,
            outages: Outages::default(),
            connections: HashMap::new(),
            next: 1,
        };
        let registered = hosts.poll.registry().register(&mut hosts.listener, LISTENER, Interest::READABLE);
        registered.map_err(|e| e.to_string())?;
        let thread = Some(std::thread::spawn(move || hosts.run()));
        Ok(Databases { counts, over, orders, thread, port })
    }

    /// From now on the hosts of these zones fail so, or work again.
    pub fn set_outage(&self, zones: &[usize], outage: Option<Outage>) {
        let (done, is_done) = channel();
        let order = Order { zones: zones.to_vec(), outage, done };
        if self.orders.send(order).is_ok() {
            // An error tells that the loop has ended: nothing is left that could fail.
            let _ = is_done.recv();
        }
    }

    pub fn counted(&self) -> Counted {
        let counts = &self.counts;
        Counted {
            accepted: counts.accepted.load(Relaxed),
            reset: counts.reset.load(Relaxed),
            open: counts.open.load(Relaxed),
            reads: counts.reads.load(Relaxed),
            reads_in_outage: counts.reads_in_outage.load(Relaxed),
            probes: counts.probes.load(Relaxed),
            bytes_in: counts.bytes_in.load(Relaxed),
        }
    }
}

impl Drop for Databases {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

struct Connection {
    wire: BufferedStream,
    zone: usize,
    primary: bool,
    opened: bool,
}

struct Loop {
    listener: mio::net::TcpListener,
    poll: Poll,
    counts: Arc<Counts>,
    over: Arc<AtomicBool>,
    orders: Receiver<Order>,
    outages: Outages,
    connections: HashMap<usize, Connection>,
    next: usize,
}

impl Loop {
    fn run(&mut self) {
        let mut events = Events::with_capacity(1_024);
        while !self.over.load(Relaxed) {
            if self.poll.poll(&mut events, Some(TURN)).is_err() {
                continue;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    token => self.look(token.0),
                }
            }
            while let Ok(order) = self.orders.try_recv() {
                self.obey(&order);
            }
        }
    }

    fn obey(&mut self, order: &Order) {
        for zone in order.zones.iter().filter(|zone| **zone < setup::ZONES) {
            self.outages[*zone] = order.outage;
        }
        self.outages_changed();
        // Whoever asked may have gone.
        let _ = order.done.send(());
    }

    /// Breaks off what is lost, and looks for what came while its host was silent.
    fn outages_changed(&mut self) {
        let numbers: Vec<usize> = self.connections.keys().copied().collect();
        for number in numbers {
            let zone = self.connections.get(&number).map_or(0, |connection| connection.zone);
            if self.outages[zone] == Some(Outage::Lost) {
                self.close(number);
            } else {
                self.look(number);
            }
        }
    }

    fn close(&mut self, number: usize) {
        if let Some(connection) = self.connections.remove(&number) {
            connection.wire.reset();
            self.counts.open.fetch_sub(1, Relaxed);
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let mut wire = BufferedStream::new(stream);
            let Some(host) = wire.local_addr().and_then(|at| setup::host_of(*at.ip())) else { continue };
            let zone = setup::zone_of(host);
            if self.outages[zone] == Some(Outage::Lost) {
                wire.reset();
                self.counts.reset.fetch_add(1, Relaxed);
                continue;
            }
            let number = self.next;
            self.next += 1;
            if wire.register(self.poll.registry(), Token(number)).is_err() {
                continue;
            }
            self.counts.accepted.fetch_add(1, Relaxed);
            self.counts.open.fetch_add(1, Relaxed);
            let connection = Connection { wire, zone, primary: setup::is_primary(host), opened: false };
            self.connections.insert(number, connection);
        }
    }

    fn look(&mut self, number: usize) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if self.outages[connection.zone] == Some(Outage::Silent) {
            return;
        }
        let had = connection.wire.received.len();
        connection.wire.read();
        self.counts.bytes_in.fetch_add((connection.wire.received.len() - had) as u64, Relaxed);
        let reads = self.counts.reads.load(Relaxed);
        let sound = connection.answer(&self.counts);
        if self.outages[connection.zone].is_some() {
            self.counts.reads_in_outage.fetch_add(self.counts.reads.load(Relaxed) - reads, Relaxed);
        }
        connection.wire.write();
        if connection.wire.closed || !sound {
            self.connections.remove(&number);
            self.counts.open.fetch_sub(1, Relaxed);
        }
    }
}

impl Connection {
    /// Answers what has come whole; false where it is no message.
    fn answer(&mut self, counts: &Counts) -> bool {
        if !self.opened {
            match frame::startup(&self.wire.received, STARTUP_BYTES) {
                Ok(Some((_, body))) => drop(self.wire.received.drain(..body.end)),
                Ok(None) => return true,
                Err(_) => return false,
            }
            self.opened = true;
            encode::startup_reply(&mut self.wire.outgoing);
        }
        loop {
            match frame::message(&self.wire.received, STATEMENT_BYTES) {
                Ok(Some((b'Q', body))) => {
                    let is_read = self.wire.received[body.clone()].starts_with(b"SELECT");
                    self.wire.received.drain(..body.end);
                    let count = if is_read { &counts.reads } else { &counts.probes };
                    count.fetch_add(1, Relaxed);
                    self.row(if is_read { "SELECT 1" } else { "SHOW" });
                }
                Ok(None) => return true,
                Ok(Some(_)) | Err(_) => return false,
            }
        }
    }

    /// A row, and beside it the host's role and position.
    fn row(&mut self, tag: &str) {
        let (role, lag) = if self.primary { ("writer", 0.0) } else { ("reader", LAG_MS) };
        let position = unix_ms() - lag;
        let described = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
        let value = b"\\x9f";
        let row = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
        let out = &mut self.wire.outgoing;
        out.extend(message(b'T', &described));
        out.extend(message(b'D', &row));
        out.extend(message(b'C', format!("{tag}\0").as_bytes()));
        out.extend(message(b'S', format!("server_role\0{role}\0").as_bytes()));
        out.extend(message(b'S', format!("commit_clock\0{position:.3}\0").as_bytes()));
        out.extend_from_slice(&encode::READY_FOR_QUERY);
    }
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}
