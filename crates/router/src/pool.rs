//! The connection pool: the hosts that the list names, the connections to them, and the task of each
//! connection.

use crate::host_loop::{Command, CommandSender};
use crate::job_progress::{CancelOutcome, CancelScope, JobProgress};
use crate::observer;
use crate::send::Job;
use crate::shared::Shared;
use magpiewell::OpId;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a connection is in use for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Task {
    Send {
        op: OpId,
        send: usize,
    },
    Probe {
        started_at: f64,
    },
    /// Cancelled before anything was written; the connection is still being opened.
    Cancelled,
}

/// A host; the slot's index is the host's index within this router.
struct HostSlot {
    /// The host's id in the list; `None` while the slot is free.
    id: Option<String>,
    /// The host's key in facts shared with peers.
    key: u32,
    addr: SocketAddr,
    /// Ids of idle connections, the newest last.
    idle: Vec<u64>,
}

struct PooledConnection {
    host: usize,
    addr: SocketAddr,
    progress: Arc<JobProgress>,
    task: Option<Task>,
    idle_since: f64,
}

pub struct Pool {
    shared: Arc<Shared>,
    hosts_by_id: HashMap<String, usize>,
    /// Hosts by their keys in facts.
    hosts_by_key: HashMap<u32, usize>,
    slots: Vec<HostSlot>,
    /// Group indices by the groups' keys in the list.
    groups_by_key: HashMap<u64, usize>,
    connections: HashMap<u64, PooledConnection>,
    commands: CommandSender,
    next_conn_id: u64,
    /// Connections opened since the start.
    pub opened: u64,
}

impl Pool {
    pub fn new(shared: Arc<Shared>, commands: CommandSender) -> Pool {
        let (hosts_by_id, hosts_by_key, slots, groups_by_key) = Default::default();
        Pool {
            shared,
            hosts_by_id,
            hosts_by_key,
            slots,
            groups_by_key,
            connections: HashMap::new(),
            commands,
            next_conn_id: 0,
            opened: 0,
        }
    }

    /// Wakes the host loop if commands have been sent to it since the last wake.
    pub fn wake_host_loop(&self) {
        self.commands.wake();
    }

    /// Adds a host or updates its address, and returns its index. Idle connections to a previous address are
    /// closed.
    pub fn upsert_host(&mut self, id: &str, addr: SocketAddr) -> usize {
        if let Some(host) = self.hosts_by_id.get(id).copied() {
            if self.slots[host].addr != addr {
                self.slots[host].addr = addr;
                self.close_idle(host);
            }
            return host;
        }
        let key = observer::host_key(id);
        let slot = HostSlot { id: Some(id.to_string()), key, addr, idle: Vec::new() };
        let host = self.slots.iter().position(|slot| slot.id.is_none()).unwrap_or(self.slots.len());
        match self.slots.get_mut(host) {
            Some(free) => *free = slot,
            None => self.slots.push(slot),
        }
        self.hosts_by_id.insert(id.to_string(), host);
        self.hosts_by_key.insert(key, host);
        host
    }

    /// The host's key in facts.
    pub fn host_key(&self, host: usize) -> u32 {
        self.slots[host].key
    }

    /// The host with this key in facts.
    pub fn host_by_key(&self, key: u32) -> Option<usize> {
        self.hosts_by_key.get(&key).copied()
    }

    /// The number of hosts that the list has named and that have not been removed.
    pub fn host_count(&self) -> usize {
        self.hosts_by_id.len()
    }

    /// Removes the hosts for which `is_gone` holds, with their connections, and frees their indices.
    /// Otherwise a deployment that keeps replacing its hosts would fill the memory.
    pub fn remove_gone_hosts(&mut self, mut is_gone: impl FnMut(usize) -> bool) {
        // Collected once instead of per host: with thousands of hosts and connections the repeated scan took
        // more time than everything else.
        let in_use = self.connections.values().filter(|connection| connection.task.is_some());
        let busy: HashSet<usize> = in_use.map(|connection| connection.host).collect();
        for host in 0..self.slots.len() {
            if self.slots[host].id.is_some() && !busy.contains(&host) && is_gone(host) {
                self.close_idle(host);
                let id = self.slots[host].id.take().expect("checked above");
                self.hosts_by_id.remove(&id);
                self.hosts_by_key.remove(&self.slots[host].key);
            }
        }
    }

    /// The index of the group with this key in the list; assigned at the first call.
    pub fn upsert_group(&mut self, group_key: u64) -> usize {
        let next = self.groups_by_key.len();
        *self.groups_by_key.entry(group_key).or_insert(next)
    }

    /// The index of a group that the list has named.
    pub fn group(&self, group_key: u64) -> Option<usize> {
        self.groups_by_key.get(&group_key).copied()
    }

    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Takes the newest connection that has been idle for `rest_ms`, else the oldest one.
    fn take_idle(&mut self, host: usize) -> Option<u64> {
        let rested_since = self.shared.clock.now() - self.shared.limits.rest_ms;
        let idle = &mut self.slots[host].idle;
        let idle_since = |id: &u64| self.connections.get(id).map_or(0.0, |connection| connection.idle_since);
        let at = idle.iter().rposition(|id| idle_since(id) <= rested_since).unwrap_or(0);
        (at < idle.len()).then(|| idle.remove(at))
    }

    /// Starts a job on an idle connection, else on a new one, and returns the connection's id. `None` if all
    /// connections that may be open are in use.
    pub fn start_job(&mut self, host: usize, task: Task, job: Job) -> Option<u64> {
        if let Some(conn_id) = self.take_idle(host) {
            let connection = self.connections.get_mut(&conn_id)?;
            connection.progress.reset();
            connection.task = Some(task);
            // If the connection has just ended, the host loop has reported it; the task is started again when
            // that event is handled.
            self.commands.send(Command::Run { conn_id, job });
            return Some(conn_id);
        }
        if self.connections.len() >= self.shared.limits.host_connections && !self.close_longest_idle() {
            return None;
        }
        let conn_id = self.next_conn_id;
        self.next_conn_id += 1;
        let (progress, addr) = (Arc::new(JobProgress::default()), self.slots[host].addr);
        self.commands.send(Command::Open { conn_id, addr, progress: progress.clone(), job });
        self.opened += 1;
        self.connections
            .insert(conn_id, PooledConnection { host, addr, progress, task: Some(task), idle_since: 0.0 });
        Some(conn_id)
    }

    /// Ends a connection's task, and returns it with its host. A reusable connection becomes idle unless the
    /// host's address has changed; any other is removed.
    pub fn finish_job(&mut self, conn_id: u64, is_reusable: bool) -> Option<(usize, Task)> {
        let connection = self.connections.get_mut(&conn_id)?;
        let (host, task) = (connection.host, connection.task.take()?);
        if is_reusable && connection.addr == self.slots[host].addr {
            connection.idle_since = self.shared.clock.now();
            self.slots[host].idle.push(conn_id);
        } else if is_reusable {
            self.close(conn_id);
        } else {
            self.connections.remove(&conn_id);
        }
        Some((host, task))
    }

    /// Removes a connection that ended by itself. Returns its host and its task, if it had one; nothing of
    /// the task was written.
    pub fn remove(&mut self, conn_id: u64) -> Option<(usize, Task)> {
        let connection = self.connections.remove(&conn_id)?;
        self.slots[connection.host].idle.retain(|other| *other != conn_id);
        connection.task.map(|task| (connection.host, task))
    }

    /// Cancels a connection's job; true if nothing of it was or will be written.
    pub fn cancel_job(&mut self, conn_id: u64, scope: CancelScope) -> bool {
        let Some(connection) = self.connections.get_mut(&conn_id) else { return false };
        let is_unwritten = connection.progress.cancel(scope) == CancelOutcome::NeverWritten;
        if is_unwritten {
            connection.task = Some(Task::Cancelled);
        }
        is_unwritten
    }

    /// Cancels all sends to a host of which nothing has been written, and returns them.
    pub fn cancel_unwritten_sends(&mut self, host: usize) -> Vec<(OpId, usize)> {
        let send_to_host = |(id, connection): (&u64, &PooledConnection)| match connection.task {
            Some(Task::Send { op, send }) if connection.host == host => Some((op, send, *id)),
            _ => None,
        };
        let mut sends: Vec<_> = self.connections.iter().filter_map(send_to_host).collect();
        sends.sort_unstable();
        sends.retain(|(_, _, id)| self.cancel_job(*id, CancelScope::Unwritten));
        sends.into_iter().map(|(op, send, _)| (op, send)).collect()
    }

    pub fn close_idle(&mut self, host: usize) {
        for conn_id in std::mem::take(&mut self.slots[host].idle) {
            self.close(conn_id);
        }
    }

    fn close(&mut self, conn_id: u64) {
        self.connections.remove(&conn_id);
        self.commands.send(Command::Close { conn_id });
    }

    /// Closes the connection that has been idle longest; false if all are in use.
    fn close_longest_idle(&mut self) -> bool {
        let idle_since =
            |id: &u64| self.connections.get(id).map_or(f64::INFINITY, |connection| connection.idle_since);
        let oldest = self.slots.iter().filter_map(|slot| slot.idle.first().copied());
        let Some(conn_id) = oldest.min_by(|a, b| idle_since(a).total_cmp(&idle_since(b))) else {
            return false;
        };
        self.remove(conn_id);
        self.commands.send(Command::Close { conn_id });
        true
    }
}

#[cfg(test)]
mod tests;
