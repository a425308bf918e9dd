//! The pool's books: hosts as the list names them, connections, and what each is doing.

use crate::host_loop::{Command, CommandSender};
use crate::observer;
use crate::send::{CallBack, CalledBack, Job, Line};
use crate::shared::Shared;
use magpiewell::OpId;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a connection is out for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Task {
    Send {
        op: OpId,
        send: usize,
    },
    Probe {
        since: f64,
    },
    /// Called back before anything was written; the connection is still being opened.
    Nothing,
}

struct Slot {
    /// As the list names the host; none while the number is free.
    id: Option<String>,
    /// The host's name among peers.
    key: u32,
    addr: SocketAddr,
    /// Idle connections, the newest last.
    idle: Vec<u64>,
}

struct Conn {
    host: usize,
    addr: SocketAddr,
    line: Arc<Line>,
    task: Option<Task>,
    idle_since: f64,
}

pub struct Pool {
    shared: Arc<Shared>,
    index: HashMap<String, usize>,
    /// Hosts by their names among peers.
    keys: HashMap<u32, usize>,
    slots: Vec<Slot>,
    groups: HashMap<u64, usize>,
    conns: HashMap<u64, Conn>,
    orders: CommandSender,
    next: u64,
    /// Connections opened since the start.
    pub dials: u64,
}

impl Pool {
    pub fn new(shared: Arc<Shared>, orders: CommandSender) -> Pool {
        let (index, keys, slots, groups) = Default::default();
        Pool { shared, index, keys, slots, groups, conns: HashMap::new(), orders, next: 0, dials: 0 }
    }

    /// Has the hosts' loop look at the orders given since the last time.
    pub fn wake_hosts(&self) {
        self.orders.wake();
    }

    /// A host's small number; its idle connections to an address it has left are closed.
    pub fn host(&mut self, id: &str, addr: SocketAddr) -> usize {
        if let Some(host) = self.index.get(id).copied() {
            if self.slots[host].addr != addr {
                self.slots[host].addr = addr;
                self.close_idle(host);
            }
            return host;
        }
        let key = observer::host_key(id);
        let slot = Slot { id: Some(id.to_string()), key, addr, idle: Vec::new() };
        let host = self.slots.iter().position(|p| p.id.is_none()).unwrap_or(self.slots.len());
        match self.slots.get_mut(host) {
            Some(free) => *free = slot,
            None => self.slots.push(slot),
        }
        self.index.insert(id.to_string(), host);
        self.keys.insert(key, host);
        host
    }

    /// A host's name among peers, and whom a name means.
    pub fn key(&self, host: usize) -> u32 {
        self.slots[host].key
    }

    pub fn keyed(&self, key: u32) -> Option<usize> {
        self.keys.get(&key).copied()
    }

    /// Hosts that the list has named and that are not gone for good.
    pub fn hosts(&self) -> usize {
        self.index.len()
    }

    /// Lets go of hosts that are gone for good: their connections, names and numbers. Hosts that come and go for
    /// ever would else fill the memory.
    pub fn tidy(&mut self, mut is_over: impl FnMut(usize) -> bool) {
        // Looked at once, not for each host: with thousands of both that took more than all else.
        let out = self.conns.values().filter(|conn| conn.task.is_some());
        let busy: HashSet<usize> = out.map(|conn| conn.host).collect();
        for host in 0..self.slots.len() {
            if self.slots[host].id.is_some() && !busy.contains(&host) && is_over(host) {
                self.close_idle(host);
                let id = self.slots[host].id.take().expect("just seen");
                self.index.remove(&id);
                self.keys.remove(&self.slots[host].key);
            }
        }
    }

    /// A group's small number, as the list names it.
    pub fn group(&mut self, cluster: u64) -> usize {
        let next = self.groups.len();
        *self.groups.entry(cluster).or_insert(next)
    }

    pub fn known_group(&self, cluster: u64) -> Option<usize> {
        self.groups.get(&cluster).copied()
    }

    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// The newest idle connection that has rested, else the oldest.
    fn idle(&mut self, host: usize) -> Option<u64> {
        let rested = self.shared.clock.now() - self.shared.limits.rest_ms;
        let idle = &mut self.slots[host].idle;
        let since = |no: &u64| self.conns.get(no).map_or(0.0, |conn| conn.idle_since);
        let at = idle.iter().rposition(|no| since(no) <= rested).unwrap_or(0);
        (at < idle.len()).then(|| idle.remove(at))
    }

    /// Gives a job to an idle connection, else to a new one. None where none is to be had.
    pub fn start(&mut self, host: usize, task: Task, job: Job) -> Option<u64> {
        if let Some(no) = self.idle(host) {
            let conn = self.conns.get_mut(&no)?;
            conn.line.begin();
            conn.task = Some(task);
            // Where it has just ended, the loop has told so, and the task is started anew when that is taken.
            self.orders.give(Command::Carry { no, job });
            return Some(no);
        }
        if self.conns.len() >= self.shared.limits.host_connections && !self.close_idlest() {
            return None;
        }
        let no = self.next;
        self.next += 1;
        let (line, addr) = (Arc::new(Line::default()), self.slots[host].addr);
        self.orders.give(Command::Open { no, addr, line: line.clone(), job });
        self.dials += 1;
        self.conns.insert(no, Conn { host, addr, line, task: Some(task), idle_since: 0.0 });
        Some(no)
    }

    /// A connection's job is over; it becomes idle or is forgotten.
    pub fn finish(&mut self, no: u64, open: bool) -> Option<(usize, Task)> {
        let conn = self.conns.get_mut(&no)?;
        let (host, task) = (conn.host, conn.task.take()?);
        if open && conn.addr == self.slots[host].addr {
            conn.idle_since = self.shared.clock.now();
            self.slots[host].idle.push(no);
        } else if open {
            self.let_go(no);
        } else {
            self.conns.remove(&no);
        }
        Some((host, task))
    }

    /// A connection has ended by itself; what it was to do was never written.
    pub fn closed(&mut self, no: u64) -> Option<(usize, Task)> {
        let conn = self.conns.remove(&no)?;
        self.slots[conn.host].idle.retain(|other| *other != no);
        conn.task.map(|task| (conn.host, task))
    }

    /// Calls a job back; true where nothing of it was or will be written.
    pub fn call_back(&mut self, no: u64, which: CallBack) -> bool {
        let Some(conn) = self.conns.get_mut(&no) else { return false };
        let unwritten = conn.line.call_back(which) == CalledBack::Unwritten;
        if unwritten {
            conn.task = Some(Task::Nothing);
        }
        unwritten
    }

    /// Calls back what was to be sent to a host and has not been begun; tells which sends those were.
    pub fn call_off(&mut self, host: usize) -> Vec<(OpId, usize)> {
        let out = |(no, conn): (&u64, &Conn)| match conn.task {
            Some(Task::Send { op, send }) if conn.host == host => Some((op, send, *no)),
            _ => None,
        };
        let mut sends: Vec<_> = self.conns.iter().filter_map(out).collect();
        sends.sort_unstable();
        sends.retain(|(_, _, no)| self.call_back(*no, CallBack::Waiting));
        sends.into_iter().map(|(op, send, _)| (op, send)).collect()
    }

    pub fn close_idle(&mut self, host: usize) {
        for no in std::mem::take(&mut self.slots[host].idle) {
            self.let_go(no);
        }
    }

    fn let_go(&mut self, no: u64) {
        self.conns.remove(&no);
        self.orders.give(Command::Close { no });
    }

    /// Closes the connection that has been idle longest; false where all are in use.
    fn close_idlest(&mut self) -> bool {
        let since = |no: &u64| self.conns.get(no).map_or(f64::INFINITY, |conn| conn.idle_since);
        let oldest = self.slots.iter().filter_map(|slot| slot.idle.first().copied());
        let Some(no) = oldest.min_by(|a, b| since(a).total_cmp(&since(b))) else { return false };
        self.closed(no);
        self.orders.give(Command::Close { no });
        true
    }
}

#[cfg(test)]
mod tests;
