//! The process of stand-in hosts: one loop holds many, each reached by every router at an address of their own, so that
//! the link's faults are done here: what a stalled link holds back is not read, or not written.

use super::machine::{Machine, Took};
use super::net::{self, BufferedStream, Epoch};
use super::plan::{Listed, Plan};
use super::record::{Kind, Record, Seen, WINDOW_MS};
use super::script::{A_PROCESS, ends};
use magpiewell_pg::{encode, frame, statement};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

const LISTENER: Token = Token(0);
/// How often links are looked at for what has ended; also the longest sleep.
const BEAT_MS: f64 = 5.0;

struct Conn {
    wire: BufferedStream,
    router: usize,
    host: usize,
    opened: bool,
    /// Bytes may wait in the kernel because the link is stalled.
    waits: bool,
    /// Answers that a delayed or mute link holds: when they may go.
    held: Vec<(f64, Vec<u8>)>,
}

/// What is due at a time.
enum Due {
    /// The statement begins, or ends, to run.
    Ends { conn: usize, op: u64, kind: Kind, token: u64, begins: f64 },
}

pub struct Hosts<'a> {
    plan: &'a Plan,
    epoch: Epoch,
    first: usize,
    machines: Vec<Machine>,
    was_down: Vec<bool>,
    open: Vec<usize>,
    conns: HashMap<usize, Conn>,
    next: usize,
    /// Due times in microseconds, so that they have an order.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Due>,
    next_due: u64,
    /// Tokens that a group's hosts have seen, and when; and each group's last commit.
    tokens: HashMap<(usize, u64), f64>,
    commits: HashMap<usize, f64>,
    record: Record,
    poll: Poll,
}

/// Runs one part of a play's hosts until the play is over, and gives what they saw. `free` of hosts: those whose number
/// divided by [`A_PROCESS`] is the part.
pub fn run(plan: &Plan, part: usize, epoch: Epoch) -> Result<Record, String> {
    let first = part * A_PROCESS;
    let last = plan.script.all_hosts().min(first + A_PROCESS);
    let poll = Poll::new().map_err(|e| e.to_string())?;
    let mut listener = net::listen(plan.script.hosts_port(part))?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(|e| e.to_string())?;
    let machine = |host: usize| {
        let started = plan.changes.iter().find(|c| c.host == host && c.listed == Listed::Ready);
        let chance = plan.script.rng(10_000 + host as u64);
        Machine::new(&plan.script.host, plan.script.size(host), started.and_then(|c| c.started), chance)
    };
    let machines: Vec<Machine> = (first..last).map(machine).collect();
    let (was_down, open) = (vec![false; machines.len()], vec![0; machines.len()]);
    let mut hosts = Hosts {
        plan,
        epoch,
        first,
        machines,
        was_down,
        open,
        conns: HashMap::new(),
        next: 1,
        order: BinaryHeap::new(),
        due: HashMap::new(),
        next_due: 0,
        tokens: HashMap::new(),
        commits: HashMap::new(),
        record: Vec::new(),
        poll,
    };
    hosts.go(&listener)?;
    Ok(hosts.record)
}

impl Hosts<'_> {
    fn go(&mut self, listener: &mio::net::TcpListener) -> Result<(), String> {
        let mut events = Events::with_capacity(1_024);
        let mut beat_at = 0.0;
        loop {
            let now = self.epoch.now();
            if now >= self.plan.ends_at() {
                return Ok(());
            }
            let due = self.order.peek().map_or(BEAT_MS, |Reverse((at, _))| *at as f64 / 1e3 - now);
            let wait = Duration::from_secs_f64(due.clamp(0.0, BEAT_MS) / 1e3);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
                _ => {}
            }
            for event in &events {
                if event.token() == LISTENER {
                    self.accept(listener);
                } else {
                    self.look(event.token().0);
                }
            }
            let now = self.epoch.now();
            while let Some(Reverse((at, no))) = self.order.peek().copied() {
                if at as f64 / 1e3 > now {
                    break;
                }
                self.order.pop();
                if let Some(due) = self.due.remove(&no) {
                    self.end(now, due);
                }
            }
            if now >= beat_at {
                beat_at = now + BEAT_MS;
                self.beat(now);
            }
        }
    }

    fn accept(&mut self, listener: &mio::net::TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            let mut wire = BufferedStream::new(stream);
            let Some((router, low)) = wire.local_addr().map(|at| ends(at.ip())) else { continue };
            // The fourth byte is the host's number up to 255; the port tells which process, so which of them.
            let host = (self.first..self.first + self.machines.len()).find(|h| h % 256 == low);
            let Some(host) = host.filter(|_| router < self.plan.script.routers) else { continue };
            let (now, at) = (self.epoch.now(), host - self.first);
            let reset = self.plan.way(router, host, now).reset;
            if reset || self.down(host, now) || self.plan.listed(host, now).is_none() {
                wire.reset();
                continue;
            }
            let no = self.next;
            self.next += 1;
            if wire.register(self.poll.registry(), Token(no)).is_err() {
                continue;
            }
            self.open[at] += 1;
            let (opened, waits, held) = (false, false, Vec::new());
            self.conns.insert(no, Conn { wire, router, host, opened, waits, held });
        }
    }

    fn down(&self, host: usize, now: f64) -> bool {
        self.machines[host - self.first].is_down(now) || self.plan.down(host, now)
    }

    /// Reads and writes what the link lets through.
    fn look(&mut self, no: usize) {
        let now = self.epoch.now();
        let Some(conn) = self.conns.get_mut(&no) else { return };
        let way = self.plan.way(conn.router, conn.host, now);
        conn.waits = way.stalled;
        if !way.stalled {
            conn.wire.read();
            if !way.mute {
                conn.wire.write();
            }
        }
        if conn.wire.closed || way.reset {
            return self.close(no, way.reset);
        }
        while let Some(conn) = self.conns.get_mut(&no) {
            let Ok(message) = next(&mut conn.wire.received, &mut conn.opened) else {
                return self.close(no, false);
            };
            match message {
                None => return,
                Some(Message::Startup) => self.admit(no, now),
                Some(Message::Query(text)) => self.query(no, now, &text),
                Some(Message::Other) => return self.close(no, false),
            }
        }
    }

    fn admit(&mut self, no: usize, now: f64) {
        let Some(conn) = self.conns.get(&no) else { return };
        let at = conn.host - self.first;
        let mut says = Vec::new();
        if self.open[at] > self.plan.script.host.connections {
            encode::error_response(&mut says, true, "53300", "too many connections", "");
        } else {
            self.machines[at].dialled(now);
            encode::startup_reply(&mut says);
        }
        self.say(no, now, says);
    }

    fn query(&mut self, no: usize, now: f64, text: &str) {
        let Some(conn) = self.conns.get(&no) else { return };
        let (host, router) = (conn.host, conn.router);
        if text.is_empty() {
            let mut says = Vec::new();
            encode::empty_query_response(&mut says);
            says.extend_from_slice(&encode::READY_FOR_QUERY);
            return self.say(no, now, says);
        }
        let Some(op) = Statement::read(text) else {
            // A probe, of either kind.
            let pos = self.tells(host, now).1;
            let says = self.answer(host, now, pos, b"1", "SHOW");
            return self.say(no, now, says);
        };
        self.record.push((now, Seen::Got { op: op.id, host: host as u32, router: router as u32 }));
        let group = self.plan.script.group_of(host);
        let leads = self.plan.primary(group, now) == Some(host);
        let drains = self.plan.listed(host, now) != Some(Listed::Ready);
        if op.kind.writes() && !leads {
            return self.turn(no, now, op.id, "25006");
        }
        if !self.plan.script.unchecked
            && op.kind == Kind::Bounded
            && self.lag(host, now) > super::record::BOUND_MS
        {
            return self.turn(no, now, op.id, "72000");
        }
        if drains && self.plan.listed(host, now) == Some(Listed::Gone) {
            return self.turn(no, now, op.id, "53300");
        }
        let times = self.plan.ails(host, now).0;
        match self.machines[host - self.first].take(now, op.kind.writes(), times) {
            Took::Full => self.turn(no, now, op.id, "53300"),
            Took::Falls => {
                self.record.push((now, Seen::Fell { host: host as u32 }));
                self.drop_all(host);
            }
            Took::Runs { begins, ends } => {
                let due = Due::Ends { conn: no, op: op.id, kind: op.kind, token: op.token, begins };
                self.next_due += 1;
                self.due.insert(self.next_due, due);
                self.order.push(Reverse(((ends * 1e3) as u64, self.next_due)));
            }
        }
    }

    fn turn(&mut self, no: usize, now: f64, op: u64, code: &str) {
        let Some(conn) = self.conns.get(&no) else { return };
        self.record.push((now, Seen::Turned { op, host: conn.host as u32 }));
        let mut says = Vec::new();
        encode::error_response(&mut says, false, code, "turned away", "");
        let (role, pos) = self.tells(conn.host, now);
        says.extend(parameter("server_role", role));
        says.extend(parameter("commit_clock", &format!("{:.3}", pos + self.epoch.unix_ms)));
        says.extend_from_slice(&encode::READY_FOR_QUERY);
        self.say(no, now, says);
    }

    /// A statement has run, if its connection still stood when it began.
    fn end(&mut self, now: f64, due: Due) {
        let Due::Ends { conn: no, op, kind, token, begins } = due;
        let Some(conn) = self.conns.get(&no) else { return };
        let (host, group) = (conn.host, self.plan.script.group_of(conn.host));
        if self.down(host, now) || begins > now {
            return;
        }
        let (mut pos, mut again) = (now - self.lag(host, now), false);
        if kind.writes() {
            if self.plan.primary(group, now) != Some(host) {
                // It lost its role with the write in hand: no effect, and nobody can tell.
                let mut says = Vec::new();
                encode::error_response(&mut says, false, "XX000", "no longer the primary", "");
                says.extend_from_slice(&encode::READY_FOR_QUERY);
                return self.say(no, now, says);
            }
            let seen = self.tokens.get(&(group, token)).filter(|at| now - **at < WINDOW_MS).copied();
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
        let tag = if kind.writes() { "INSERT 0 1" } else { "SELECT 1" };
        let says = self.answer(host, now, pos, value.as_bytes(), tag);
        self.say(no, now, says);
    }

    /// How far a host is behind its group's log: its primary not at all.
    fn lag(&self, host: usize, now: f64) -> f64 {
        let group = self.plan.script.group_of(host);
        match self.plan.primary(group, now) == Some(host) {
            true => 0.0,
            false => self.plan.script.host.lag_ms + self.plan.ails(host, now).1,
        }
    }

    fn tells(&self, host: usize, now: f64) -> (&'static str, f64) {
        let group = self.plan.script.group_of(host);
        let leads = self.plan.primary(group, now) == Some(host);
        (if leads { "writer" } else { "reader" }, now - self.lag(host, now))
    }

    fn answer(&self, host: usize, now: f64, pos: f64, value: &[u8], tag: &str) -> Vec<u8> {
        let role = self.tells(host, now).0;
        let told = if self.plan.boasts(host, now) { now } else { pos };
        let described = [&1u16.to_be_bytes()[..], b"v\0", &[0; 18]].concat();
        let data = [&1u16.to_be_bytes()[..], &(value.len() as u32).to_be_bytes(), value].concat();
        [
            message(b'T', &described),
            message(b'D', &data),
            message(b'C', format!("{tag}\0").as_bytes()),
            parameter("server_role", role),
            parameter("commit_clock", &format!("{:.3}", told + self.epoch.unix_ms)),
            encode::READY_FOR_QUERY.to_vec(),
        ]
        .concat()
    }

    fn say(&mut self, no: usize, now: f64, says: Vec<u8>) {
        let Some(conn) = self.conns.get_mut(&no) else { return };
        let way = self.plan.way(conn.router, conn.host, now);
        if way.delay > 0.0 || !conn.held.is_empty() {
            conn.held.push((now + way.delay, says));
            return;
        }
        conn.wire.outgoing.extend(says);
        if !way.stalled && !way.mute {
            conn.wire.write();
        } else {
            conn.waits = true;
        }
    }

    fn close(&mut self, no: usize, reset: bool) {
        if let Some(conn) = self.conns.remove(&no) {
            self.open[conn.host - self.first] -= 1;
            if reset {
                conn.wire.reset();
            }
        }
    }

    fn drop_all(&mut self, host: usize) {
        let all: Vec<usize> = self.conns.iter().filter(|(_, c)| c.host == host).map(|(no, _)| *no).collect();
        all.into_iter().for_each(|no| self.close(no, true));
    }

    /// Crashes, and links whose fault has begun or ended.
    fn beat(&mut self, now: f64) {
        for host in self.first..self.first + self.machines.len() {
            let at = host - self.first;
            let down = self.plan.down(host, now);
            let gone = self.plan.listed(host, now) == Some(Listed::Gone);
            if down && !self.was_down[at] {
                let fault = self.plan.faults(now).find_map(|(no, _)| {
                    let f = &self.plan.script.faults[no];
                    matches!(f.what, super::script::What::Crash { .. }).then_some(f.at_ms + f.for_ms)
                });
                self.machines[at].crash(fault.unwrap_or(now));
            }
            if (down || gone) && !self.was_down[at] {
                self.drop_all(host);
            }
            self.was_down[at] = down || gone;
        }
        if self.plan.turns(now - 2.0 * BEAT_MS, now) {
            let all: Vec<usize> = self.conns.keys().copied().collect();
            all.into_iter().for_each(|no| self.look(no));
        }
        for conn in self.conns.values_mut().filter(|c| !c.held.is_empty()) {
            let way = self.plan.way(conn.router, conn.host, now);
            let free = conn.held.iter().take_while(|(at, _)| *at <= now).count();
            for (_, says) in conn.held.drain(..free) {
                conn.wire.outgoing.extend(says);
            }
            if !way.stalled && !way.mute {
                conn.wire.write();
            }
        }
    }
}

enum Message {
    Startup,
    Query(String),
    Other,
}

fn next(came: &mut Vec<u8>, opened: &mut bool) -> Result<Option<Message>, ()> {
    if !*opened {
        let Some((_, body)) = frame::startup(came, 10_000).map_err(drop)? else { return Ok(None) };
        came.drain(..body.end);
        *opened = true;
        return Ok(Some(Message::Startup));
    }
    let Some((kind, body)) = frame::message(came, 1 << 20).map_err(drop)? else { return Ok(None) };
    let text = came[body.start..body.end.saturating_sub(1).max(body.start)].to_vec();
    came.drain(..body.end);
    if kind != b'Q' {
        return Ok(Some(Message::Other));
    }
    Ok(Some(Message::Query(String::from_utf8(text).map_err(drop)?)))
}

/// What a host reads from a statement of a client's.
struct Statement {
    id: u64,
    kind: Kind,
    token: u64,
}

impl Statement {
    fn read(text: &str) -> Option<Statement> {
        let found = statement::parse(text).ok()?;
        let (mut id, mut kind, mut token) = (None, None, 0);
        for (name, at) in statement::attributes(text, found.comment) {
            let value = &text[at];
            match name {
                "id" => id = u64::from_str_radix(value, 16).ok(),
                "c" => kind = Kind::named(value),
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
