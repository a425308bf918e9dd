//! The clients: one event loop sends ops at random times to all routers and records each answer. A client
//! stays connected well beyond its timeout, so that late answers are observed.

use super::net::{BufferedStream, Epoch};
use super::plan::Plan;
use super::record::{How, Kind, Record, Seen};
use super::script::random_unit;
use magpiewell_pg::{encode, frame};
use mio::{Events, Poll, Token};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::Duration;

/// How long a client waits for an answer.
pub const CLIENT_TIMEOUT_MS: f64 = 1_200.0;
/// How long a client stays connected beyond its timeout.
const LINGER_MS: f64 = 800.0;
/// How long a router gets no ops after a connection to it ended before the timeout of its op, as behind a
/// load balancer.
const AVOID_MS: f64 = 300.0;
/// Number of sessions per router.
const SESSIONS_PER_ROUTER: u64 = 8;

/// A client connection; it carries one op at a time.
struct Client {
    stream: BufferedStream,
    router: usize,
    opened: bool,
    op: Option<Op>,
    /// The outcome of the op according to the part of its answer that has arrived.
    how: Option<How>,
}

#[derive(Clone, Copy)]
struct Op {
    id: u64,
    asked_at: f64,
    /// Its client disconnects before its timeout.
    leaves_early: bool,
}

/// The number of the current start of each router process; updated by the thread that starts them.
pub struct StartCounts(pub Vec<AtomicU32>);

/// The event loop of all clients.
struct ClientLoop<'a> {
    plan: &'a Plan,
    epoch: Epoch,
    start_counts: &'a StartCounts,
    poll: Poll,
    clients: HashMap<usize, Client>,
    /// By router: idle clients, and until when the router is avoided.
    idle: Vec<Vec<usize>>,
    avoid_until: Vec<f64>,
    next_client: usize,
    next_op: u64,
    record: Record,
    /// When the clients of open ops disconnect: (ms << 20 | low 20 bits of the op's id) -> client.
    leave_at: BTreeMap<u64, usize>,
    /// Clients whose link was stalled when an event arrived.
    stalled: BTreeSet<usize>,
    /// Weight of each group in the load: the capacity of its replicas.
    group_weights: Vec<f64>,
}

/// Sends ops until the load ends, receives answers until the run ends, and returns the recorded events.
pub fn run(plan: &Plan, epoch: Epoch, start_counts: &StartCounts) -> Result<Record, String> {
    let routers = plan.script.routers;
    let mut client_loop = ClientLoop {
        plan,
        epoch,
        start_counts,
        poll: Poll::new().map_err(|e| e.to_string())?,
        clients: HashMap::new(),
        idle: vec![Vec::new(); routers],
        avoid_until: vec![0.0; routers],
        next_client: 0,
        next_op: 0,
        record: Vec::new(),
        leave_at: BTreeMap::new(),
        stalled: BTreeSet::new(),
        group_weights: (0..plan.script.groups).map(|group| plan.script.replica_capacity(group)).collect(),
    };
    client_loop.run()?;
    Ok(client_loop.record)
}

impl ClientLoop<'_> {
    fn run(&mut self) -> Result<(), String> {
        let (s, mut events) = (&self.plan.script, Events::with_capacity(1_024));
        let mut rng = s.rng(1);
        // Some routers get several times the load of others.
        let weights: Vec<f64> = (0..s.routers)
            .map(|_| 1.0 + random_unit(&mut rng).powi(3) * (s.load.skew - 1.0).max(0.0))
            .collect();
        let mut next_op_at = 0.0;
        loop {
            let now = self.epoch.now();
            if now >= self.plan.ends_at() {
                return Ok(());
            }
            let wait = if now < s.lasts_ms { next_op_at - now } else { 5.0 };
            let wait = Duration::from_secs_f64(wait.clamp(0.0, 5.0) / 1e3);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
                _ => {}
            }
            for event in &events {
                self.on_ready(event.token().0);
            }
            for number in std::mem::take(&mut self.stalled) {
                self.on_ready(number);
            }
            let now = self.epoch.now();
            while next_op_at <= now && next_op_at < s.lasts_ms && s.load.ops > 0.0 {
                self.send_op(now, &weights, &mut rng);
                next_op_at += -(1.0 - random_unit(&mut rng)).ln() * 1e3 / s.load.ops;
            }
            while let Some((at, number)) = self.leave_at.first_key_value().map(|(at, number)| (*at, *number))
            {
                if (at >> 20) as f64 > now {
                    break;
                }
                self.leave_at.remove(&at);
                let id = at & 0xf_ffff;
                if self.clients.get(&number).is_some_and(|c| c.op.is_some_and(|op| op.id & 0xf_ffff == id)) {
                    self.close(number);
                }
            }
        }
    }

    fn random_kind(&self, rng: &mut ChaCha8Rng) -> Kind {
        let (l, mut remaining) = (&self.plan.script.load, random_unit(rng));
        for (share, kind) in [
            (l.tokened, Kind::Tokened),
            (l.once, Kind::Once),
            (l.fresh, Kind::Fresh),
            (l.session, Kind::Session),
            (l.bounded, Kind::Bounded),
        ] {
            remaining -= share;
            if remaining < 0.0 {
                return kind;
            }
        }
        Kind::Any
    }

    fn send_op(&mut self, now: f64, weights: &[f64], rng: &mut ChaCha8Rng) {
        let s = &self.plan.script;
        let kind = self.random_kind(rng);
        let group = weighted_index(&self.group_weights, rng) as u32;
        let first = weighted_index(weights, rng);
        let session_number = (random_unit(rng) * SESSIONS_PER_ROUTER as f64) as u64;
        let Some(router) =
            (0..s.routers).map(|n| (first + n) % s.routers).find(|r| self.avoid_until[*r] <= now)
        else {
            return;
        };
        let number = match self.idle[router].pop() {
            Some(number) => number,
            None => match self.open(router) {
                Some(number) => number,
                None => return,
            },
        };
        let session = router as u64 * SESSIONS_PER_ROUTER + session_number;
        self.next_op += 1;
        // Sessions don't survive a restart of their router, so the start count is recorded with the op.
        let life = self.start_counts.0[router].load(Relaxed);
        // Takes no random number if no client leaves early, so that the sequence of such runs stays the same.
        let leave = s.load.leave;
        let leaves_early = leave > 0.0 && random_unit(rng) < leave;
        let connected_ms =
            if leaves_early { CLIENT_TIMEOUT_MS * random_unit(rng) } else { CLIENT_TIMEOUT_MS + LINGER_MS };
        let op = Op { id: self.next_op, asked_at: now, leaves_early };
        let text = statement(op.id, kind, group, session);
        let Some(client) = self.clients.get_mut(&number) else { return };
        let head = encode::query_header(text.len());
        client.stream.outgoing.extend([&head[..], text.as_bytes(), &[0]].concat());
        (client.op, client.how) = (Some(op), None);
        client.stream.write();
        let router = router as u32;
        self.record.push((
            now,
            Seen::Asked { op: op.id, router, life, kind, group, session, wait: CLIENT_TIMEOUT_MS },
        ));
        self.leave_at.insert(((now + connected_ms) as u64) << 20 | op.id & 0xf_ffff, number);
    }

    fn open(&mut self, router: usize) -> Option<usize> {
        let mut stream = BufferedStream::connect(self.plan.script.router_addr(router)).ok()?;
        let number = self.next_client;
        self.next_client += 1;
        stream.register(self.poll.registry(), Token(number)).ok()?;
        encode::startup_message(&mut stream.outgoing, "svc", "main");
        let client = Client { stream, router, opened: false, op: None, how: None };
        self.clients.insert(number, client);
        Some(number)
    }

    /// Processes what the link of a client lets through.
    fn on_ready(&mut self, number: usize) {
        let now = self.epoch.now();
        let Some(router) = self.clients.get(&number).map(|c| c.router) else { return };
        let (stalled, reset) = self.plan.client_link(router, now, now);
        let Some(client) = self.clients.get_mut(&number) else { return };
        if reset {
            client.stream.reset();
            return self.close(number);
        }
        if stalled {
            self.stalled.insert(number);
        } else {
            client.stream.read();
            client.stream.write();
        }
        loop {
            let Some(client) = self.clients.get_mut(&number) else { return };
            match frame::message(&client.stream.received, 1 << 20) {
                Ok(Some((kind, body))) => {
                    let bytes = client.stream.received[body.clone()].to_vec();
                    client.stream.received.drain(..body.end);
                    self.on_message(number, now, kind, &bytes);
                }
                Ok(None) if client.stream.closed => return self.close(number),
                Ok(None) => return,
                Err(_) => return self.close(number),
            }
        }
    }

    fn on_message(&mut self, number: usize, now: f64, kind: u8, body: &[u8]) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        let id = client.op.map(|op| op.id);
        match kind {
            b'D' => {
                let value = frame::first_column(body).and_then(|v| std::str::from_utf8(v).ok());
                // The value holds the id of the op it was returned for, and its log position.
                let parts = value.and_then(|v| v.strip_prefix("\\x")).and_then(|v| v.split_once('@'));
                let value_op = parts.and_then(|(op, _)| u64::from_str_radix(op, 16).ok());
                let pos = parts.and_then(|(_, pos)| pos.parse().ok());
                client.how = Some(match (value_op == id, pos) {
                    (true, Some(pos)) => How::Acked(pos),
                    _ => How::Wrong,
                });
            }
            b'E' => {
                let code = frame::error_field(body, b'C');
                let busy = code.is_some_and(|c| c == b"53300" || c == b"57P03");
                client.how = Some(if busy { How::Busy } else { How::Errored });
                if frame::error_field(body, b'S') == Some(b"FATAL") {
                    self.record_answer(number, now);
                    self.close(number);
                }
            }
            b'Z' if !client.opened => client.opened = true,
            b'Z' => {
                self.record_answer(number, now);
                let router = self.clients[&number].router;
                self.idle[router].push(number);
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, number: usize, now: f64) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        if let (Some(op), Some(how)) = (client.op.take(), client.how.take()) {
            self.record.push((now, Seen::Answered { op: op.id, how }));
        }
    }

    /// Removes a client whose connection has ended or is to be closed. An op without an answer is lost,
    /// unless the connection was never established or its client left early.
    fn close(&mut self, number: usize) {
        let now = self.epoch.now();
        let Some(client) = self.clients.remove(&number) else { return };
        self.idle[client.router].retain(|n| *n != number);
        if let Some(op) = client.op {
            let outcome = if client.opened { How::Lost } else { How::Shut };
            let left_early =
                op.leaves_early && now < op.asked_at + CLIENT_TIMEOUT_MS && !client.stream.closed;
            self.record.push((
                now,
                if left_early {
                    Seen::Left { op: op.id }
                } else {
                    Seen::Answered { op: op.id, how: outcome }
                },
            ));
            if left_early {
                return;
            }
            if now < op.asked_at + CLIENT_TIMEOUT_MS {
                self.avoid_until[client.router] = now + AVOID_MS;
            }
        }
    }
}

/// A random index, by weight.
fn weighted_index(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut remaining = random_unit(rng) * weights.iter().sum::<f64>();
    let found = weights.iter().position(|w| {
        remaining -= w;
        remaining < 0.0
    });
    found.unwrap_or(0)
}

/// The statement of an op, with its attributes in a comment.
fn statement(id: u64, kind: Kind, group: u32, session: u64) -> String {
    let attributes = format!("id={id:016x},c={},t=acme,d={CLIENT_TIMEOUT_MS},cluster={group}", kind.name());
    let token = if kind == Kind::Tokened { format!(",k={id:016x}") } else { String::new() };
    if kind.is_write() {
        format!(
            "INSERT INTO records (k, v) VALUES ('s{session}', '\\x9f') RETURNING v /* {attributes}{token} */"
        )
    } else {
        format!("SELECT v FROM records WHERE k = 's{session}' /* {attributes} */")
    }
}
