//! The clients: one loop asks ops at random times of all routers, each answer recorded; a client gives up only long
//! after its time, so that what comes late is seen.

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

/// What a client waits, and how long it stays on beyond that.
pub const WAIT_MS: f64 = 1_200.0;
const STAYS_MS: f64 = 800.0;
/// A router that refuses is left alone for so long, as a front would.
const AWAY_MS: f64 = 300.0;
/// Sessions a router has.
const SESSIONS: u64 = 8;

struct Client {
    wire: BufferedStream,
    router: usize,
    opened: bool,
    op: Option<Op>,
    /// What has come of its answer so far.
    how: Option<How>,
}

#[derive(Clone, Copy)]
struct Op {
    id: u64,
    asked: f64,
    /// Its client goes before its time.
    leaves: bool,
}

/// Which start of each router's process is the present one; told by whoever starts them.
pub struct Lives(pub Vec<AtomicU32>);

struct Crowd<'a> {
    plan: &'a Plan,
    epoch: Epoch,
    lives: &'a Lives,
    poll: Poll,
    clients: HashMap<usize, Client>,
    idle: Vec<Vec<usize>>,
    away: Vec<f64>,
    next: usize,
    next_op: u64,
    record: Record,
    /// When each open op's client goes.
    leaves: BTreeMap<u64, usize>,
    /// Those whose way was stalled when something came.
    waits: BTreeSet<usize>,
    /// How much of each group is asked: as much as its replicas can do.
    asked: Vec<f64>,
}

/// Asks until the load ends, listens until the play does, and gives what was seen.
pub fn run(plan: &Plan, epoch: Epoch, lives: &Lives) -> Result<Record, String> {
    let routers = plan.script.routers;
    let mut crowd = Crowd {
        plan,
        epoch,
        lives,
        poll: Poll::new().map_err(|e| e.to_string())?,
        clients: HashMap::new(),
        idle: vec![Vec::new(); routers],
        away: vec![0.0; routers],
        next: 0,
        next_op: 0,
        record: Vec::new(),
        leaves: BTreeMap::new(),
        waits: BTreeSet::new(),
        asked: (0..plan.script.groups).map(|group| plan.script.room(group)).collect(),
    };
    crowd.go()?;
    Ok(crowd.record)
}

impl Crowd<'_> {
    fn go(&mut self) -> Result<(), String> {
        let (s, mut events) = (&self.plan.script, Events::with_capacity(1_024));
        let mut chance = s.rng(1);
        // Some routers get several times what others do.
        let weights: Vec<f64> = (0..s.routers)
            .map(|_| 1.0 + random_unit(&mut chance).powi(3) * (s.load.skew - 1.0).max(0.0))
            .collect();
        let mut ask_at = 0.0;
        loop {
            let now = self.epoch.now();
            if now >= self.plan.ends_at() {
                return Ok(());
            }
            let wait = if now < s.lasts_ms { ask_at - now } else { 5.0 };
            let wait = Duration::from_secs_f64(wait.clamp(0.0, 5.0) / 1e3);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(e.to_string()),
                _ => {}
            }
            for event in &events {
                self.look(event.token().0);
            }
            for no in std::mem::take(&mut self.waits) {
                self.look(no);
            }
            let now = self.epoch.now();
            while ask_at <= now && ask_at < s.lasts_ms && s.load.ops > 0.0 {
                self.ask(now, &weights, &mut chance);
                ask_at += -(1.0 - random_unit(&mut chance)).ln() * 1e3 / s.load.ops;
            }
            while let Some((at, no)) = self.leaves.first_key_value().map(|(at, no)| (*at, *no)) {
                if (at >> 20) as f64 > now {
                    break;
                }
                self.leaves.remove(&at);
                let id = at & 0xf_ffff;
                if self.clients.get(&no).is_some_and(|c| c.op.is_some_and(|op| op.id & 0xf_ffff == id)) {
                    self.gone(no);
                }
            }
        }
    }

    fn kind(&self, chance: &mut ChaCha8Rng) -> Kind {
        let (l, mut lot) = (&self.plan.script.load, random_unit(chance));
        for (part, kind) in [
            (l.tokened, Kind::Tokened),
            (l.once, Kind::Once),
            (l.fresh, Kind::Fresh),
            (l.session, Kind::Session),
            (l.bounded, Kind::Bounded),
        ] {
            lot -= part;
            if lot < 0.0 {
                return kind;
            }
        }
        Kind::Any
    }

    fn ask(&mut self, now: f64, weights: &[f64], chance: &mut ChaCha8Rng) {
        let s = &self.plan.script;
        let kind = self.kind(chance);
        let group = pick(&self.asked, chance) as u32;
        let first = pick(weights, chance);
        let session_lot = (random_unit(chance) * SESSIONS as f64) as u64;
        let Some(router) = (0..s.routers).map(|n| (first + n) % s.routers).find(|r| self.away[*r] <= now)
        else {
            return;
        };
        let no = match self.idle[router].pop() {
            Some(no) => no,
            None => match self.open(router) {
                Some(no) => no,
                None => return,
            },
        };
        let session = router as u64 * SESSIONS + session_lot;
        self.next_op += 1;
        // The router's life is part of the id, so that ids are never used twice.
        let life = self.lives.0[router].load(Relaxed);
        // Without such clients plays stay as they were.
        let leave = s.load.leave;
        let leaves = leave > 0.0 && random_unit(chance) < leave;
        let stays = if leaves { WAIT_MS * random_unit(chance) } else { WAIT_MS + STAYS_MS };
        let op = Op { id: self.next_op, asked: now, leaves };
        let text = statement(op.id, kind, group, session);
        let Some(client) = self.clients.get_mut(&no) else { return };
        let head = encode::query_header(text.len());
        client.wire.outgoing.extend([&head[..], text.as_bytes(), &[0]].concat());
        (client.op, client.how) = (Some(op), None);
        client.wire.write();
        let router = router as u32;
        self.record.push((now, Seen::Asked { op: op.id, router, life, kind, group, session, wait: WAIT_MS }));
        self.leaves.insert(((now + stays) as u64) << 20 | op.id & 0xf_ffff, no);
    }

    fn open(&mut self, router: usize) -> Option<usize> {
        let mut wire = BufferedStream::connect(self.plan.script.router_at(router)).ok()?;
        let no = self.next;
        self.next += 1;
        wire.register(self.poll.registry(), Token(no)).ok()?;
        encode::startup_message(&mut wire.outgoing, "svc", "main");
        let client = Client { wire, router, opened: false, op: None, how: None };
        self.clients.insert(no, client);
        Some(no)
    }

    fn look(&mut self, no: usize) {
        let now = self.epoch.now();
        let Some(router) = self.clients.get(&no).map(|c| c.router) else { return };
        let (stalled, reset) = self.plan.client_way(router, now, now);
        let Some(client) = self.clients.get_mut(&no) else { return };
        if reset {
            client.wire.reset();
            return self.gone(no);
        }
        if stalled {
            self.waits.insert(no);
        } else {
            client.wire.read();
            client.wire.write();
        }
        loop {
            let Some(client) = self.clients.get_mut(&no) else { return };
            match frame::message(&client.wire.received, 1 << 20) {
                Ok(Some((kind, body))) => {
                    let bytes = client.wire.received[body.clone()].to_vec();
                    client.wire.received.drain(..body.end);
                    self.message(no, now, kind, &bytes);
                }
                Ok(None) if client.wire.closed => return self.gone(no),
                Ok(None) => return,
                Err(_) => return self.gone(no),
            }
        }
    }

    fn message(&mut self, no: usize, now: f64, kind: u8, body: &[u8]) {
        let Some(client) = self.clients.get_mut(&no) else { return };
        let id = client.op.map(|op| op.id);
        match kind {
            b'D' => {
                let value = frame::first_column(body).and_then(|v| std::str::from_utf8(v).ok());
                // The value names the op it was made for, and its position.
                let made = value.and_then(|v| v.strip_prefix("\\x")).and_then(|v| v.split_once('@'));
                let whose = made.and_then(|(op, _)| u64::from_str_radix(op, 16).ok());
                let pos = made.and_then(|(_, pos)| pos.parse().ok());
                client.how = Some(match (whose == id, pos) {
                    (true, Some(pos)) => How::Acked(pos),
                    _ => How::Wrong,
                });
            }
            b'E' => {
                let code = frame::error_field(body, b'C');
                let busy = code.is_some_and(|c| c == b"53300" || c == b"57P03");
                client.how = Some(if busy { How::Busy } else { How::Errored });
                if frame::error_field(body, b'S') == Some(b"FATAL") {
                    self.answered(no, now);
                    self.gone(no);
                }
            }
            b'Z' if !client.opened => client.opened = true,
            b'Z' => {
                self.answered(no, now);
                let router = self.clients[&no].router;
                self.idle[router].push(no);
            }
            _ => {}
        }
    }

    fn answered(&mut self, no: usize, now: f64) {
        let Some(client) = self.clients.get_mut(&no) else { return };
        if let (Some(op), Some(how)) = (client.op.take(), client.how.take()) {
            self.record.push((now, Seen::Answered { op: op.id, how }));
        }
    }

    /// The connection has ended; an op that was not answered is lost, unless the connection never came about.
    fn gone(&mut self, no: usize) {
        let now = self.epoch.now();
        let Some(client) = self.clients.remove(&no) else { return };
        self.idle[client.router].retain(|n| *n != no);
        if let Some(op) = client.op {
            let lost = if client.opened { How::Lost } else { How::Shut };
            let early = op.leaves && now < op.asked + WAIT_MS && !client.wire.closed;
            self.record.push((
                now,
                if early { Seen::Left { op: op.id } } else { Seen::Answered { op: op.id, how: lost } },
            ));
            if early {
                return;
            }
            if now < op.asked + WAIT_MS {
                self.away[client.router] = now + AWAY_MS;
            }
        }
    }
}

/// One of these by weight.
fn pick(weights: &[f64], chance: &mut ChaCha8Rng) -> usize {
    let mut lot = random_unit(chance) * weights.iter().sum::<f64>();
    let found = weights.iter().position(|w| {
        lot -= w;
        lot < 0.0
    });
    found.unwrap_or(0)
}

fn statement(id: u64, kind: Kind, group: u32, session: u64) -> String {
    let facts = format!("id={id:016x},c={},t=acme,d={WAIT_MS},cluster={group}", kind.name());
    let token = if kind == Kind::Tokened { format!(",k={id:016x}") } else { String::new() };
    if kind.writes() {
        format!("INSERT INTO records (k, v) VALUES ('s{session}', '\\x9f') RETURNING v /* {facts}{token} */")
    } else {
        format!("SELECT v FROM records WHERE k = 's{session}' /* {facts} */")
    }
}
