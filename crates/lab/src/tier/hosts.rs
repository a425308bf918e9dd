//! The process of simulated hosts: one event loop runs many of them. Each pair of a router and a host has an
//! address of its own, so link faults can be injected here: bytes on a stalled link are not read, or not
//! written.

use super::host_model::{Admission, HostModel};
use super::net::{self, BufferedStream, Epoch};
use super::plan::{ListState, Plan};
use super::record::{Kind, Record, Seen, TOKEN_WINDOW_MS};
use super::script::{HOSTS_PER_PROCESS, decode_pair};
use magpiewell_pg::{encode, frame, statement};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const LISTENER: Token = Token(0);
/// Interval at which faults that have begun or ended are applied; also the longest sleep.
const TICK_MS: f64 = 5.0;

/// A connection of a router to a host.
struct HostConnection {
    stream: BufferedStream,
    router: usize,
    host: usize,
    started_up: bool,
    /// The link was stalled at last use, so bytes may be held back in the kernel or in `outgoing`.
    is_stalled: bool,
    /// Replies that a delayed link holds, each with the time at which it may be sent.
    held: Vec<(f64, Vec<u8>)>,
}

/// Work with a due time.
enum Due {
    /// The statement finishes. It started to run at `starts_at`.
    Finish { conn: usize, op: u64, kind: Kind, token: u64, starts_at: f64 },
}

/// The event loop of one host process.
pub struct HostLoop<'a> {
    plan: &'a Plan,
    epoch: Epoch,
    first_host: usize,
    models: Vec<HostModel>,
    was_down: Vec<bool>,
    open_connections: Vec<usize>,
    connections: HashMap<usize, HostConnection>,
    next_connection: usize,
    /// Due times in microseconds, so that they are ordered, and the keys of `due`.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Due>,
    next_due: u64,
    /// By group and token: when the write with this token was committed.
    tokens: HashMap<(usize, u64), f64>,
    /// Position of each group's last commit.
    commits: HashMap<usize, f64>,
    record: Record,
    poll: Poll,
}

/// Simulates the hosts of one process until the run ends, and returns the recorded events. The hosts are
/// those whose number divided by [`HOSTS_PER_PROCESS`] is `part`.
pub fn run(plan: &Plan, part: usize, epoch: Epoch) -> Result<Record, String> {
    let first_host = part * HOSTS_PER_PROCESS;
    let end = plan.script.hosts_with_replacements().min(first_host + HOSTS_PER_PROCESS);
    let poll = Poll::new().map_err(|e| e.to_string())?;
    let mut listener = net::listen(plan.script.host_port(part))?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(|e| e.to_string())?;
    let model = |host: usize| {
        let started = plan.changes.iter().find(|c| c.host == host && c.state == ListState::Ready);
        let rng = plan.script.rng(10_000 + host as u64);
        HostModel::new(&plan.script.host, plan.script.size(host), started.and_then(|c| c.started), rng)
    };
    let models: Vec<HostModel> = (first_host..end).map(model).collect();
    let (was_down, open_connections) = (vec![false; models.len()], vec![0; models.len()]);
    let mut host_loop = HostLoop {
        plan,
        epoch,
        first_host,
        models,
        was_down,
        open_connections,
        connections: HashMap::new(),
        next_connection: 1,
        order: BinaryHeap::new(),
        due: HashMap::new(),
        next_due: 0,
        tokens: HashMap::new(),
        commits: HashMap::new(),
        record: Vec::new(),
        poll,
    };
    host_loop.run(&listener)?;
    Ok(host_loop.record)
}

impl HostLoop<'_> {
    fn run(&mut self, listener: &mio::net::TcpListener) -> Result<(), String> {
        let mut events = Events::with_capacity(1_024);
        let mut tick_at = 0.0;
        loop {
            let now = self.epoch.now();
            if now >= self.plan.ends_at() {
                return Ok(());
            }
            let due = self.order.peek().map_or(TICK_MS, |Reverse((at, _))| *at as f64 / 1e3 - now);
            let wait = Duration::from_secs_f64(due.clamp(0.0, TICK_MS) / 1e3);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
                _ => {}
            }
            for event in &events {
                if event.token() == LISTENER {
                    self.accept(listener);
                } else {
                    self.on_ready(event.token().0);
                }
            }
            let now = self.epoch.now();
            while let Some(Reverse((at, key))) = self.order.peek().copied() {
                if at as f64 / 1e3 > now {
                    break;
                }
                self.order.pop();
                if let Some(due) = self.due.remove(&key) {
                    self.finish(now, due);
                }
            }
            if now >= tick_at {
                tick_at = now + TICK_MS;
                self.tick(now);
            }
        }
    }

    fn accept(&mut self, listener: &mio::net::TcpListener) {
        while let Ok((accepted, _)) = listener.accept() {
            let mut stream = BufferedStream::new(accepted);
            let Some((router, low)) = stream.local_addr().map(|addr| decode_pair(addr.ip())) else {
                continue;
            };
            // The fourth byte of the address is the host's number modulo 256, unique within a process.
            let host = (self.first_host..self.first_host + self.models.len()).find(|h| h % 256 == low);
            let Some(host) = host.filter(|_| router < self.plan.script.routers) else { continue };
            let (now, index) = (self.epoch.now(), host - self.first_host);
            let reset = self.plan.link(router, host, now).reset;
            if reset || self.is_down(host, now) || self.plan.list_state(host, now).is_none() {
                stream.reset();
                continue;
            }
            let number = self.next_connection;
            self.next_connection += 1;
            if stream.register(self.poll.registry(), Token(number)).is_err() {
                continue;
            }
            self.open_connections[index] += 1;
            let (started_up, is_stalled, held) = (false, false, Vec::new());
            self.connections
                .insert(number, HostConnection { stream, router, host, started_up, is_stalled, held });
        }
    }

    fn is_down(&self, host: usize, now: f64) -> bool {
        self.models[host - self.first_host].is_down(now) || self.plan.is_down(host, now)
    }

    /// Reads, processes and writes what the link lets through.
    fn on_ready(&mut self, number: usize) {
        let now = self.epoch.now();
        let Some(conn) = self.connections.get_mut(&number) else { return };
        let link = self.plan.link(conn.router, conn.host, now);
        conn.is_stalled = link.stalled;
        if !link.stalled {
            conn.stream.read();
            if !link.replies_stalled {
                conn.stream.write();
            }
        }
        if conn.stream.closed || link.reset {
            return self.close(number, link.reset);
        }
        while let Some(conn) = self.connections.get_mut(&number) {
            let Ok(message) = next_message(&mut conn.stream.received, &mut conn.started_up) else {
                return self.close(number, false);
            };
            match message {
                None => return,
                Some(Message::Startup) => self.accept_startup(number, now),
                Some(Message::Query(text)) => self.on_query(number, now, &text),
                Some(Message::Other) => return self.close(number, false),
            }
        }
    }

    /// Answers a startup message, or refuses it beyond the connection limit of the host.
    fn accept_startup(&mut self, number: usize, now: f64) {
        let Some(conn) = self.connections.get(&number) else { return };
        let index = conn.host - self.first_host;
        let mut reply = Vec::new();
        if self.open_connections[index] > self.plan.script.host.connections {
            encode::error_response(&mut reply, true, "53300", "too many connections", "");
        } else {
            self.models[index].connection_opened(now);
            encode::startup_reply(&mut reply);
        }
        self.send(number, now, reply);
    }

    /// Answers a probe at once; rejects an op or hands it to the host model.
    fn on_query(&mut self, number: usize, now: f64, text: &str) {
        let Some(conn) = self.connections.get(&number) else { return };
        let (host, router) = (conn.host, conn.router);
        if text.is_empty() {
            let mut reply = Vec::new();
            encode::empty_query_response(&mut reply);
            reply.extend_from_slice(&encode::READY_FOR_QUERY);
            return self.send(number, now, reply);
        }
        let Some(op) = Statement::read(text) else {
            // A statement without op attributes is a probe.
            let pos = self.role_and_position(host, now).1;
            let reply = self.result_reply(host, now, pos, b"1", "SHOW");
            return self.send(number, now, reply);
        };
        self.record.push((now, Seen::Got { op: op.id, host: host as u32, router: router as u32 }));
        let group = self.plan.script.group_of(host);
        let is_primary = self.plan.primary(group, now) == Some(host);
        let is_draining = self.plan.list_state(host, now) != Some(ListState::Ready);
        if op.kind.is_write() && !is_primary {
            return self.reject(number, now, op.id, "25006");
        }
        if !self.plan.script.unchecked
            && op.kind == Kind::Bounded
            && self.lag(host, now) > super::record::STALENESS_BOUND_MS
        {
            return self.reject(number, now, op.id, "72000");
        }
        if is_draining && self.plan.list_state(host, now) == Some(ListState::Gone) {
            return self.reject(number, now, op.id, "53300");
        }
        let work_factor = self.plan.slowdown_and_lag(host, now).0;
        match self.models[host - self.first_host].submit(now, op.kind.is_write(), work_factor) {
            Admission::QueueFull => self.reject(number, now, op.id, "53300"),
            Admission::Overloaded => {
                self.record.push((now, Seen::Fell { host: host as u32 }));
                self.reset_all(host);
            }
            Admission::Accepted { starts_at, ends_at } => {
                let due = Due::Finish { conn: number, op: op.id, kind: op.kind, token: op.token, starts_at };
                self.next_due += 1;
                self.due.insert(self.next_due, due);
                self.order.push(Reverse(((ends_at * 1e3) as u64, self.next_due)));
            }
        }
    }

    /// Answers an op with an error, without running it.
    fn reject(&mut self, number: usize, now: f64, op: u64, code: &str) {
        let Some(conn) = self.connections.get(&number) else { return };
        self.record.push((now, Seen::Turned { op, host: conn.host as u32 }));
        let mut reply = Vec::new();
        encode::error_response(&mut reply, false, code, "turned away", "");
        let (role, pos) = self.role_and_position(conn.host, now);
        reply.extend(parameter("server_role", role));
        reply.extend(parameter("commit_clock", &format!("{:.3}", pos + self.epoch.unix_ms)));
        reply.extend_from_slice(&encode::READY_FOR_QUERY);
        self.send(number, now, reply);
    }

    /// Completes a statement, unless its connection has closed or its host is down.
    fn finish(&mut self, now: f64, due: Due) {
        let Due::Finish { conn: number, op, kind, token, starts_at } = due;
        let Some(conn) = self.connections.get(&number) else { return };
        let (host, group) = (conn.host, self.plan.script.group_of(conn.host));
        if self.is_down(host, now) || starts_at > now {
            return;
        }
        let (mut pos, mut again) = (now - self.lag(host, now), false);
        if kind.is_write() {
            if self.plan.primary(group, now) != Some(host) {
                // The host lost its role while it ran the write: no effect, and the client cannot know that.
                let mut reply = Vec::new();
                encode::error_response(&mut reply, false, "XX000", "no longer the primary", "");
                reply.extend_from_slice(&encode::READY_FOR_QUERY);
                return self.send(number, now, reply);
            }
            let seen = self.tokens.get(&(group, token)).filter(|at| now - **at < TOKEN_WINDOW_MS).copied();
            again = kind == Kind::Tokened && seen.is_some();
            let last = self.commits.entry(group).or_insert(f64::NEG_INFINITY);
            pos = if again { seen.unwrap_or(now) } else { now.max(*last + 0.001) };
            *last = last.max(pos);
            if !again {
                self.tokens.insert((group, token), now);
            }
        }
        self.record.push((now, Seen::Ran { op, host: host as u32, pos, again }));
        let value = format!("\\x{op:016x}@{pos:.3}");
        let tag = if kind.is_write() { "INSERT 0 1" } else { "SELECT 1" };
        let reply = self.result_reply(host, now, pos, value.as_bytes(), tag);
        self.send(number, now, reply);
    }

    /// How far a host is behind its group's log in ms: 0 for the primary.
    fn lag(&self, host: usize, now: f64) -> f64 {
        let group = self.plan.script.group_of(host);
        match self.plan.primary(group, now) == Some(host) {
            true => 0.0,
            false => self.plan.script.host.lag_ms + self.plan.slowdown_and_lag(host, now).1,
        }
    }

    /// The role of a host and its log position.
    fn role_and_position(&self, host: usize, now: f64) -> (&'static str, f64) {
        let group = self.plan.script.group_of(host);
        let is_primary = self.plan.primary(group, now) == Some(host);
        (if is_primary { "writer" } else { "reader" }, now - self.lag(host, now))
    }

    /// A reply with one row, and the role and the commit clock that the host reports.
    fn result_reply(&self, host: usize, now: f64, pos: f64, value: &[u8], tag: &str) -> Vec<u8> {
        let role = self.role_and_position(host, now).0;
        let reported = if self.plan.claims_current(host, now) { now } else { pos };
        let description = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
        let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
        [
            message(b'T', &description),
            message(b'D', &data),
            message(b'C', format!("{tag}\0").as_bytes()),
            parameter("server_role", role),
            parameter("commit_clock", &format!("{:.3}", reported + self.epoch.unix_ms)),
            encode::READY_FOR_QUERY.to_vec(),
        ]
        .concat()
    }

    /// Sends a reply, or holds it back as the faults of the link require.
    fn send(&mut self, number: usize, now: f64, reply: Vec<u8>) {
        let Some(conn) = self.connections.get_mut(&number) else { return };
        let link = self.plan.link(conn.router, conn.host, now);
        if link.delay_ms > 0.0 || !conn.held.is_empty() {
            conn.held.push((now + link.delay_ms, reply));
            return;
        }
        conn.stream.outgoing.extend(reply);
        if !link.stalled && !link.replies_stalled {
            conn.stream.write();
        } else {
            conn.is_stalled = true;
        }
    }

    fn close(&mut self, number: usize, reset: bool) {
        if let Some(conn) = self.connections.remove(&number) {
            self.open_connections[conn.host - self.first_host] -= 1;
            if reset {
                conn.stream.reset();
            }
        }
    }

    /// Resets all connections to a host.
    fn reset_all(&mut self, host: usize) {
        let all: Vec<usize> =
            self.connections.iter().filter(|(_, c)| c.host == host).map(|(number, _)| *number).collect();
        all.into_iter().for_each(|number| self.close(number, true));
    }

    /// Applies crashes and link faults that have begun or ended, and sends the delayed replies that are due.
    fn tick(&mut self, now: f64) {
        for host in self.first_host..self.first_host + self.models.len() {
            let index = host - self.first_host;
            let down = self.plan.is_down(host, now);
            let gone = self.plan.list_state(host, now) == Some(ListState::Gone);
            if down && !self.was_down[index] {
                let crash_ends_at = self.plan.active_faults(now).find_map(|(fault_index, _)| {
                    let f = &self.plan.script.faults[fault_index];
                    matches!(f.what, super::script::What::Crash { .. }).then_some(f.at_ms + f.for_ms)
                });
                self.models[index].crash(crash_ends_at.unwrap_or(now));
            }
            if (down || gone) && !self.was_down[index] {
                self.reset_all(host);
            }
            self.was_down[index] = down || gone;
        }
        if self.plan.has_link_change(now - 2.0 * TICK_MS, now) {
            let all: Vec<usize> = self.connections.keys().copied().collect();
            all.into_iter().for_each(|number| self.on_ready(number));
        }
        for conn in self.connections.values_mut().filter(|c| !c.held.is_empty()) {
            let link = self.plan.link(conn.router, conn.host, now);
            let due = conn.held.iter().take_while(|(at, _)| *at <= now).count();
            for (_, reply) in conn.held.drain(..due) {
                conn.stream.outgoing.extend(reply);
            }
            if !link.stalled && !link.replies_stalled {
                conn.stream.write();
            }
        }
    }
}

/// A message of a router to a host.
enum Message {
    Startup,
    Query(String),
    Other,
}

/// Takes the next complete message from the received bytes.
fn next_message(received: &mut Vec<u8>, started_up: &mut bool) -> Result<Option<Message>, ()> {
    if !*started_up {
        let Some((_, body)) = frame::startup(received, 10_000).map_err(drop)? else { return Ok(None) };
        received.drain(..body.end);
        *started_up = true;
        return Ok(Some(Message::Startup));
    }
    let Some((kind, body)) = frame::message(received, 1 << 20).map_err(drop)? else { return Ok(None) };
    let text = received[body.start..body.end.saturating_sub(1).max(body.start)].to_vec();
    received.drain(..body.end);
    if kind != b'Q' {
        return Ok(Some(Message::Other));
    }
    Ok(Some(Message::Query(String::from_utf8(text).map_err(drop)?)))
}

/// The attributes of a client's statement that a host needs.
struct Statement {
    id: u64,
    kind: Kind,
    token: u64,
}

impl Statement {
    fn read(text: &str) -> Option<Statement> {
        let found = statement::parse(text).ok()?;
        let (mut id, mut kind, mut token) = (None, None, 0);
        for (name, range) in statement::attributes(text, found.comment) {
            let value = &text[range];
            match name {
                "id" => id = u64::from_str_radix(value, 16).ok(),
                "c" => kind = Kind::from_name(value),
                "k" => token = u64::from_str_radix(value, 16).ok()?,
                _ => {}
            }
        }
        Some(Statement { id: id?, kind: kind?, token })
    }
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}
