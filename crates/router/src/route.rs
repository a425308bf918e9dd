//! The decision thread: owns the policy, the open ops and the connection pool. It handles events until its
//! next tick, never blocks on a socket, and is the only thread that decides which answer to an op is final.

use crate::answer::JobResult;
use crate::client::Client;
use crate::departed_writes::DepartedWrites;
use crate::event::{Event, Statement};
use crate::host_loop::CommandSender;
use crate::job_progress::CancelScope;
use crate::list::{self, ListUpdate};
use crate::list_versions::ListVersions;
use crate::observer::{GroupId, HostId, Observer};
use crate::op_facts::OpFacts;
use crate::pool::{Pool, Task};
use crate::probe::HostStatus;
use crate::send::{Job, Work};
use crate::shared::Shared;
use crate::tier::ObservationSender;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use magpiewell::policy::Policy;
use magpiewell::{Consistency, Ending, OpId, OpRequest, Outbox, PeerReport, PolicyOptions};
use magpiewell_facts::Observation;
use magpiewell_pg::encode;
use magpiewell_terms::settings::AdapterOptions;
use serde_json::Value;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering::{Relaxed, Release};

/// An op, from its arrival until it is answered and its last send has ended.
struct Op {
    /// Hash of the id that its client gave it.
    client_op_id: u64,
    client: Arc<Client>,
    seq: u64,
    statement: Arc<Statement>,
    /// When the client stops waiting, or the router has to have stopped, on the router's clock.
    deadline: f64,
    is_answered: bool,
    sends: Vec<Send>,
}

impl Op {
    /// How log lines name the op: by the hash of its client's id.
    fn log_id(&self) -> String {
        format!("{:016x}", self.client_op_id)
    }
}

struct Send {
    /// Its connection, while it is in flight.
    conn_id: Option<u64>,
    /// When writing it must have begun; see [`Job`].
    begin_by: f64,
}

/// Totals since the start.
#[derive(Default)]
struct Counts {
    received: u64,
    acked: u64,
    busy: u64,
    errored: u64,
    /// Ops whose client disconnected before they were answered.
    abandoned: u64,
    probes: u64,
}

/// Carries out the policy's actions, and holds the state they act on.
struct RouterOutbox {
    shared: Arc<Shared>,
    pool: Pool,
    ops: HashMap<OpId, Op>,
    /// Hashes of the clients' ids of the ops that are not answered yet.
    open_client_op_ids: HashSet<u64>,
    /// Hashes of the ids of writes that may have run although nobody waits for their answers.
    departed_writes: DepartedWrites,
    /// Sends that ended within the router, not yet reported to the policy.
    ended_sends: VecDeque<(OpId, usize, Ending)>,
    /// Hosts whose probe could not be sent, not yet reported to the policy.
    unsent_probes: VecDeque<usize>,
    wake_at: f64,
    list_retries: Sender<()>,
    counts: Counts,
    /// Hosts with which contact was lost, not yet reported to peers.
    unresponsive_hosts: Vec<usize>,
}

impl RouterOutbox {
    /// The time of the next tick: when the policy requested it, or later while no op is open, as nothing is
    /// waiting then.
    fn next_tick_at(&self) -> f64 {
        self.wake_at + if self.ops.is_empty() { self.shared.limits.idle_beat_ms } else { 0.0 }
    }

    fn start_send(&mut self, op: OpId, send: usize, host: usize) {
        let Some(o) = self.ops.get_mut(&op) else { return };
        let (work, begin_by) = (Work::Op(o.statement.clone()), o.sends[send].begin_by);
        let conn_id =
            self.pool.start_job(host, Task::Send { op, send }, Job { work, deadline: o.deadline, begin_by });
        o.sends[send].conn_id = conn_id;
        if conn_id.is_none() {
            self.ended_sends.push_back((op, send, Ending::Unsent));
        }
    }

    fn start_probe(&mut self, host: usize, started_at: f64) {
        let deadline = started_at + self.shared.limits.probe_ms;
        // No `begin_by`: a probe that could not be written by its deadline is evidence that the host accepts
        // no connections.
        let job = Job { work: Work::Probe, deadline, begin_by: f64::INFINITY };
        if self.pool.start_job(host, Task::Probe { started_at }, job).is_none() {
            self.unsent_probes.push_back(host);
        }
    }

    /// Sends the final answer to the client; false if the op has been answered before.
    fn answer(&mut self, op: OpId, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(o) = self.ops.get_mut(&op).filter(|o| !o.is_answered) else { return false };
        o.is_answered = true;
        let late_ms = self.shared.clock.now() - o.deadline;
        if late_ms > 0.0 {
            self.shared.metrics.late_answers.fetch_add(1, Relaxed);
            tracing::debug!(op = %o.log_id(), client = o.client.id, late_ms, "answered late");
        }
        self.open_client_op_ids.remove(&o.client_op_id);
        let mut bytes = Vec::new();
        write(&mut bytes);
        bytes.extend_from_slice(&encode::READY_FOR_QUERY);
        let reservation = self.shared.reserve(bytes.len());
        o.client.answer(o.seq, bytes, reservation);
        // Ops that the policy gives up on a tick are removed here: each one left would keep its client's
        // connection open for ever.
        self.remove_if_finished(op);
        true
    }

    /// Rejects a command for the id that its client gave it.
    fn reject_id(&self, client: &Arc<Client>, seq: u64, reason: &str) {
        let mut bytes = Vec::new();
        encode::error_response(&mut bytes, false, "55006", reason, "");
        bytes.extend_from_slice(&encode::READY_FOR_QUERY);
        let reservation = self.shared.reserve(bytes.len());
        client.answer(seq, bytes, reservation);
    }

    fn remove_if_finished(&mut self, op: OpId) {
        if self.ops.get(&op).is_some_and(|o| o.is_answered && o.sends.iter().all(|s| s.conn_id.is_none())) {
            self.ops.remove(&op);
        }
    }
}

impl Outbox for RouterOutbox {
    fn send(&mut self, op: OpId, host: usize, begin_by: f64) {
        let Some(o) = self.ops.get_mut(&op) else { return };
        o.sends.push(Send { conn_id: None, begin_by });
        let send = o.sends.len() - 1;
        self.shared.simulate_send_work();
        self.start_send(op, send, host);
    }

    fn withdraw(&mut self, op: OpId, send: usize, abort: bool) {
        let Some(o) = self.ops.get_mut(&op) else { return };
        let Some(conn_id) = o.sends.get(send).and_then(|s| s.conn_id) else { return };
        if self.pool.cancel_job(conn_id, if abort { CancelScope::All } else { CancelScope::Incomplete }) {
            o.sends[send].conn_id = None;
            self.ended_sends.push_back((op, send, Ending::Withdrawn));
        }
    }

    fn cancel_unstarted(&mut self, host: usize) {
        for (op, send) in self.pool.cancel_unwritten_sends(host) {
            if let Some(o) = self.ops.get_mut(&op) {
                o.sends[send].conn_id = None;
            }
            self.ended_sends.push_back((op, send, Ending::Unsent));
        }
    }

    fn busy_reply(&mut self, op: OpId, retry_after_ms: f64) {
        let detail = if retry_after_ms > 0.0 { format!("{}", retry_after_ms.ceil()) } else { String::new() };
        if let Some(o) = self.ops.get(&op) {
            o.client.retry_at.store((self.shared.clock.now() + retry_after_ms) as u64, Relaxed);
        }
        let is_sent = self
            .answer(op, |reply| encode::error_response(reply, false, "53300", "busy, try again", &detail));
        self.counts.busy += u64::from(is_sent);
        self.shared.metrics.refused_ops.fetch_add(usize::from(is_sent), Relaxed);
    }

    fn error_reply(&mut self, op: OpId) {
        let is_sent = self
            .answer(op, |reply| encode::error_response(reply, false, "58000", "no host has answered", ""));
        self.counts.errored += u64::from(is_sent);
    }

    fn probe(&mut self, host: usize) {
        self.counts.probes += 1;
        let now = self.shared.clock.now();
        self.start_probe(host, now);
    }

    fn close_idle_connections(&mut self, host: usize) {
        self.pool.close_idle(host);
    }

    fn watch_host_list(&mut self) {
        let _ = self.list_retries.try_send(());
    }

    fn wake_after(&mut self, in_ms: f64) {
        self.wake_at = self.shared.clock.now() + in_ms;
    }

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }

    fn contact_lost(&mut self, host: usize) {
        self.unresponsive_hosts.push(host);
    }
}

/// The state of the decision thread.
pub struct Router {
    policy: Policy,
    outbox: RouterOutbox,
    /// Whether ops state when their session last wrote; otherwise the policy keeps track of it itself.
    clients_report_writes: bool,
    /// Op timeouts by op type.
    op_timeouts_ms: Vec<f64>,
    /// The names of the zones, by index.
    zone_names: Vec<String>,
    observer: Observer,
    /// Receives observations to share with peers; `None` if the router has no peers.
    observations: Option<ObservationSender>,
    /// Each host's group according to the list.
    groups: HashMap<usize, GroupId>,
    list_versions: ListVersions,
    /// Whether the list named more hosts than connections may be open when it was last applied.
    has_too_many_hosts: bool,
    /// The id of the op that arrived last.
    last_op: OpId,
    figures_at: f64,
    cleanup_at: f64,
}

impl Router {
    pub fn new(
        shared: Arc<Shared>,
        policy_options: PolicyOptions,
        adapter_options: &AdapterOptions,
        seed: u64,
        list_retries: Sender<()>,
        commands: CommandSender,
        observations: Option<ObservationSender>,
    ) -> Router {
        let now = shared.clock.now();
        let figures_at = now + shared.limits.figures_ms;
        let mut outbox = RouterOutbox {
            pool: Pool::new(shared.clone(), commands),
            shared,
            ops: HashMap::new(),
            open_client_op_ids: HashSet::new(),
            departed_writes: DepartedWrites::default(),
            ended_sends: VecDeque::new(),
            unsent_probes: VecDeque::new(),
            wake_at: now,
            list_retries,
            counts: Counts::default(),
            unresponsive_hosts: Vec::new(),
        };
        let bounds_ms = policy_options
            .op_types
            .iter()
            .filter(|t| t.consistency == Consistency::Bounded)
            .map(|t| t.staleness_bound_ms);
        let observer = Observer::new(bounds_ms.reduce(f64::min));
        let policy = Policy::new(policy_options, seed, now, &mut outbox);
        let (op_timeouts_ms, zone_names) =
            (adapter_options.op_timeouts_ms.clone(), adapter_options.zone_names.clone());
        let clients_report_writes = adapter_options.clients_report_writes;
        let (last_op, cleanup_at, groups) = (0, now, HashMap::new());
        Router {
            policy,
            outbox,
            clients_report_writes,
            op_timeouts_ms,
            zone_names,
            observer,
            observations,
            groups,
            list_versions: ListVersions::default(),
            has_too_many_hosts: false,
            last_op,
            figures_at,
            cleanup_at,
        }
    }

    /// Applies a response of the host list that has been validated. `is_saved`: it is the last known list
    /// from the configuration and may be old.
    pub fn apply_host_list(&mut self, response: &Value, is_saved: bool) {
        let now = self.outbox.shared.clock.now();
        let (policy, pool) = (&mut self.policy, &mut self.outbox.pool);
        policy.list_started(is_saved || list::is_complete(response), is_saved);
        if self.list_versions.is_older(list::version(response), now) {
            policy.mark_list_older();
        }
        let (zone_names, groups) = (&self.zone_names, &mut self.groups);
        let parsed = list::parse_entries(response, zone_names, |id, addr, group_key, mut entry| {
            entry.group = pool.upsert_group(group_key);
            let host = pool.upsert_host(id, addr);
            groups.insert(host, GroupId { index: entry.group, key: group_key as u32 });
            policy.host_listed(now, host, entry);
        });
        if let Err(why) = parsed {
            tracing::warn!(%why, "invalid host list response");
        }
        self.policy.list_ended(now, &mut self.outbox);
        self.warn_of_too_many_hosts();
        self.outbox.shared.is_ready.store(true, Release);
        self.report_local_endings();
    }

    /// Warns once when the list names more hosts than connections may be open: each op may then need a new
    /// connection.
    fn warn_of_too_many_hosts(&mut self) {
        let (hosts, connections) =
            (self.outbox.pool.host_count(), self.outbox.shared.limits.host_connections);
        let too_many = hosts > connections;
        if too_many && !self.has_too_many_hosts {
            tracing::warn!(hosts, connections, "the list names more hosts than connections may be open");
        }
        self.has_too_many_hosts = too_many;
    }

    /// Runs until it receives `Event::Stop`.
    pub fn run(mut self, events: &Receiver<Event>, list_updates: &Receiver<ListUpdate>) {
        loop {
            let wait = self.outbox.shared.clock.until(self.outbox.next_tick_at());
            match events.recv_timeout(wait) {
                Ok(Event::Stop) => return self.log_figures(true),
                // List updates never wait behind ops.
                Ok(event) => {
                    self.receive_list_updates(list_updates);
                    self.handle_event(event);
                    // Events queued meanwhile are handled in one batch, limited so that the tick isn't
                    // delayed for long.
                    for _ in 1..self.outbox.shared.limits.events {
                        match events.try_recv() {
                            Ok(Event::Stop) => return self.log_figures(true),
                            Ok(event) => self.handle_event(event),
                            Err(_) => break,
                        }
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.outbox.shared.clock.now();
            if now >= self.outbox.next_tick_at() {
                self.receive_list_updates(list_updates);
                if self.outbox.shared.is_stopping() {
                    self.policy.set_shutdown_deadline(self.outbox.shared.stop_deadline());
                }
                self.policy.tick(now, &mut self.outbox);
                self.report_local_endings();
                if now >= self.cleanup_at {
                    self.cleanup_at = now + self.outbox.shared.limits.tidy_ms;
                    let (policy, observer, groups) = (&mut self.policy, &mut self.observer, &mut self.groups);
                    self.outbox.pool.remove_gone_hosts(|host| {
                        let is_gone = policy.release_host(now, host);
                        if is_gone {
                            observer.remove_host(host);
                            groups.remove(&host);
                        }
                        is_gone
                    });
                }
                if now >= self.figures_at {
                    self.figures_at = now + self.outbox.shared.limits.figures_ms;
                    self.log_figures(false);
                }
            }
            self.outbox.pool.wake_host_loop();
        }
    }

    /// Logs totals and current counts; `is_last`: the router has stopped.
    fn log_figures(&self, is_last: bool) {
        let (shared, c) = (&self.outbox.shared, &self.outbox.counts);
        tracing::info!(
            taken = c.received,
            acked = c.acked,
            busy = c.busy,
            errored = c.errored,
            left = c.abandoned,
            open = self.outbox.ops.len(),
            probes = c.probes,
            dials = self.outbox.pool.opened,
            hosts = self.outbox.pool.host_count(),
            connections = self.outbox.pool.connection_count(),
            clients = shared.clients(),
            threads = shared.threads.load(Relaxed),
            held = shared.reserved_bytes.load(Relaxed),
            doubtful = shared.metrics.doubtful_answers.load(Relaxed),
            copies = shared.metrics.second_copies.load(Relaxed),
            short = shared.metrics.memory_refusals.load(Relaxed),
            local = shared.metrics.local_answers.load(Relaxed),
            deferred = shared.metrics.deferred_turns.load(Relaxed),
            unread = shared.metrics.closed_unread.load(Relaxed),
            late = shared.metrics.late_answers.load(Relaxed),
            queue_ms = shared.metrics.op_queueing.take_ms(),
            iteration_ms = shared.metrics.client_loop_iteration.take_ms(),
            "{}",
            if is_last { "stopped" } else { "figures" }
        );
    }

    fn receive_list_updates(&mut self, list_updates: &Receiver<ListUpdate>) {
        for update in list_updates.try_iter() {
            match update {
                Some(response) => self.apply_host_list(&response, false),
                None => self.policy.list_failed(self.outbox.shared.clock.now()),
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.outbox.shared.clock.now();
        match event {
            // The client disconnected while its op was queued.
            Event::OpArrived { client, .. } if client.is_disconnected() => self.outbox.counts.abandoned += 1,
            Event::OpArrived { client, seq, facts, statement, arrived_at } => {
                if self.outbox.departed_writes.contains(now, facts.id) {
                    return self.outbox.reject_id(&client, seq, "a write with this id may have run");
                }
                if !self.outbox.open_client_op_ids.insert(facts.id) {
                    // Hosts could mistake one of the two for the other.
                    return self.outbox.reject_id(&client, seq, "an open op has this id");
                }
                self.last_op += 1;
                let id = self.last_op;
                self.outbox.shared.metrics.op_queueing.record(now - arrived_at);
                let deadline = (arrived_at + facts.client_timeout_ms).min(self.outbox.shared.stop_deadline());
                let sends = Vec::new();
                let client_op_id = facts.id;
                let op = Op { client_op_id, client, seq, statement, deadline, is_answered: false, sends };
                self.outbox.ops.insert(id, op);
                self.outbox.counts.received += 1;
                match self.outbox.pool.group(facts.group_key) {
                    Some(group) => self.submit_op(now, id, group, deadline - now, &facts),
                    // The list has not named this group: nothing was sent, so a retry is safe.
                    None => self.outbox.busy_reply(id, 0.0),
                }
            }
            Event::ClientDisconnected { client } => {
                let outbox = &self.outbox;
                let abandoned = outbox.ops.iter().filter(|(_, o)| o.client.id == client && !o.is_answered);
                let mut abandoned: Vec<OpId> = abandoned.map(|(id, _)| *id).collect();
                abandoned.sort_unstable();
                // All are marked before the policy acts, else capacity freed by one would go to another of
                // them.
                for id in &abandoned {
                    let op = self.outbox.ops.get_mut(id).expect("found above");
                    op.is_answered = true;
                    self.outbox.open_client_op_ids.remove(&op.client_op_id);
                    if op.statement.is_write && !op.sends.is_empty() {
                        self.outbox.departed_writes.insert(now, op.client_op_id);
                    }
                }
                self.outbox.counts.abandoned += abandoned.len() as u64;
                self.policy.client_left(now, &mut self.outbox, &abandoned);
                abandoned.into_iter().for_each(|id| self.outbox.remove_if_finished(id));
            }
            Event::JobFinished { conn_id, result } => self.finish_job(now, conn_id, *result),
            Event::IdleConnectionClosed { conn_id } => match self.outbox.pool.remove(conn_id) {
                Some((host, Task::Send { op, send })) => self.outbox.start_send(op, send, host),
                Some((host, Task::Probe { started_at })) => self.outbox.start_probe(host, started_at),
                _ => {}
            },
            Event::AdmissionChanged { share, retry_after_ms } => {
                self.policy.set_admission(share, retry_after_ms)
            }
            Event::PeerFacts(peer_facts) => self.apply_peer_facts(now, peer_facts),
            Event::ListUpdated | Event::Stop => {}
        }
        self.report_local_endings();
    }

    /// Applies facts received from peers. Facts about hosts that this router doesn't know are ignored.
    fn apply_peer_facts(&mut self, now: f64, peer_facts: Vec<magpiewell_tier::PeerFact>) {
        for peer_fact in peer_facts {
            let (key, peer_report) = match peer_fact {
                magpiewell_tier::PeerFact::Primary { host, observed_at: at, .. } => {
                    (host, PeerReport::Primary { at })
                }
                magpiewell_tier::PeerFact::ReplicaLag { host, lag_ms, observed_at: at } => {
                    (host, PeerReport::ReplicaLag { lag_ms, at })
                }
                magpiewell_tier::PeerFact::Unresponsive { host } => (host, PeerReport::Unresponsive),
                magpiewell_tier::PeerFact::Members { zone_shares, .. }
                    if zone_shares.len() == self.zone_names.len() =>
                {
                    self.policy.zone_read_shares = zone_shares;
                    continue;
                }
                _ => continue,
            };
            if let Some(host) = self.outbox.pool.host_by_key(key) {
                self.policy.peer_reported(now, &mut self.outbox, host, peer_report);
            }
        }
    }

    /// Shares with peers what an answer showed of its host.
    fn share_observation(&mut self, now: f64, host: usize, status: &HostStatus) {
        let (Some(observations), Some(group)) = (&self.observations, self.groups.get(&host)) else { return };
        let (role, position) =
            (status.role.or(status.report_role), status.position.or(status.report_position));
        let host = HostId { index: host, key: self.outbox.pool.host_key(host) };
        if let Some(observation) = self.observer.record_answer(now, host, *group, role, position) {
            observations.send(observation);
        }
    }

    /// Passes an op to the policy; `remaining_ms` is what is left of its client timeout.
    fn submit_op(&mut self, now: f64, id: OpId, group: usize, remaining_ms: f64, facts: &OpFacts) {
        // Ops state the time of the commit; the policy takes its age, which is 0 if there was no write.
        let age_ms = |last_write_at: f64| (now - last_write_at).max(0.001);
        let since_write_ms = self.clients_report_writes.then(|| facts.last_write_at.map_or(0.0, age_ms));
        let op = OpRequest {
            id,
            op_type: facts.op_type,
            group,
            tenant: facts.tenant,
            session: facts.session,
            client_timeout_ms: remaining_ms,
            since_write_ms,
            is_retry: facts.is_retry,
            extra_latency_ms: 0.0,
            op_timeout_ms: self.op_timeouts_ms[facts.op_type],
        };
        self.policy.op_arrived(now, &mut self.outbox, op);
    }

    /// Reports a finished job to the policy: first the host's status, then how the job ended.
    fn finish_job(&mut self, now: f64, conn_id: u64, result: JobResult) {
        let Some((host, task)) = self.outbox.pool.finish_job(conn_id, result.is_reusable) else { return };
        self.report_host_status(now, host, &result.host_status);
        self.share_observation(now, host, &result.host_status);
        match task {
            Task::Send { op, send } => {
                if let Some(o) = self.outbox.ops.get_mut(&op) {
                    o.sends[send].conn_id = None;
                }
                if result.ending == Ending::Acked {
                    let is_sent = self.outbox.answer(op, |reply| *reply = result.answer);
                    self.outbox.counts.acked += u64::from(is_sent);
                }
                self.report_ended_send(now, op, send, result.ending);
            }
            Task::Probe { started_at } => {
                self.policy.probe_ended(now, &mut self.outbox, host, result.ending, now - started_at);
            }
            Task::Cancelled => {}
        }
    }

    fn report_host_status(&mut self, now: f64, host: usize, status: &HostStatus) {
        // A commit's time is rounded up to a whole ms, so it may lie slightly ahead of the clock. The policy
        // would reject such a position, so it gets the position's time as the current time.
        let plausible_position =
            status.position.filter(|position| *position < now + self.outbox.shared.limits.ahead_ms);
        let now = plausible_position.map_or(now, |position| now.max(position));
        if status.role.is_some() || status.position.is_some() {
            self.policy.host_reported(now, host, status.role, status.position, true);
        }
        if status.report_role.is_some() || status.report_position.is_some() {
            self.policy.host_reported(now, host, status.report_role, status.report_position, false);
        }
    }

    fn report_ended_send(&mut self, now: f64, op: OpId, send: usize, ending: Ending) {
        let is_answered = self.outbox.ops.get(&op).is_none_or(|o| o.is_answered);
        self.policy.send_ended(now, &mut self.outbox, op, send, ending, is_answered);
        self.outbox.remove_if_finished(op);
    }

    /// Reports unresponsive hosts to peers, and to the policy all sends and probes that ended within the
    /// router, until its reactions cause no more of them.
    fn report_local_endings(&mut self) {
        for host in std::mem::take(&mut self.outbox.unresponsive_hosts) {
            if let Some(observations) = &self.observations {
                observations.send(Observation::Unresponsive { host: self.outbox.pool.host_key(host) });
            }
        }
        loop {
            let now = self.outbox.shared.clock.now();
            if let Some((op, send, ending)) = self.outbox.ended_sends.pop_front() {
                self.report_ended_send(now, op, send, ending);
            } else if let Some(host) = self.outbox.unsent_probes.pop_front() {
                self.policy.probe_ended(now, &mut self.outbox, host, Ending::Unsent, 0.0);
            } else {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
