//! Routes ops: the one thread that owns the policy, the ops and the pool's books. It takes events until its
//! next wake and never waits for a socket; it alone settles which answer is final.
use crate::answer::Result;
use crate::client::Client;
use crate::event::{Event, Statement};
use crate::host_loop::CommandSender;
use crate::list::{self, ListUpdate};
use crate::observer::{GroupId, HostId, Observer};
use crate::op_facts::OpFacts;
use crate::pool::{Pool, Task};
use crate::probe::Told;
use crate::send::{CallBack, Job, Work};
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

/// One op, from its arrival until its last send has ended.
struct Op {
    /// The id that its client gave it.
    name: u64,
    client: Arc<Client>,
    seq: u64,
    statement: Arc<Statement>,
    until: f64,
    answered: bool,
    sends: Vec<Send>,
}

struct Send {
    /// Its connection, while it is out.
    conn: Option<u64>,
    begin_by: f64,
}

#[derive(Default)]
struct Counts {
    taken: u64,
    acked: u64,
    busy: u64,
    errored: u64,
    left: u64,
    probes: u64,
}

/// All that the policy's actions act on.
struct RouterOutbox {
    shared: Arc<Shared>,
    pool: Pool,
    ops: HashMap<OpId, Op>,
    /// Clients' ids of the ops that are not answered yet.
    open: HashSet<u64>,
    /// Sends that ended here, not yet told to the policy.
    ended: VecDeque<(OpId, usize, Ending)>,
    /// Probes that ended here.
    unasked: VecDeque<usize>,
    wake_at: f64,
    ask_list: Sender<()>,
    counts: Counts,
    /// Hosts that contact was lost with, not told to peers yet.
    lost: Vec<usize>,
}

impl RouterOutbox {
    /// When the policy is next told the time: as it asked, and less often while no op is open, as nothing waits.
    fn next_beat(&self) -> f64 {
        self.wake_at + if self.ops.is_empty() { self.shared.limits.idle_beat_ms } else { 0.0 }
    }

    fn send_on(&mut self, op: OpId, send: usize, host: usize) {
        let Some(o) = self.ops.get_mut(&op) else { return };
        let (work, begin_by) = (Work::Op(o.statement.clone()), o.sends[send].begin_by);
        let conn = self.pool.start(host, Task::Send { op, send }, Job { work, until: o.until, begin_by });
        o.sends[send].conn = conn;
        if conn.is_none() {
            self.ended.push_back((op, send, Ending::Unsent));
        }
    }

    fn probe_on(&mut self, host: usize, since: f64) {
        let until = since + self.shared.limits.probe_ms;
        // One that has not begun by then tells that the host takes no connections: no rule forbids it to begin.
        let job = Job { work: Work::Probe, until, begin_by: f64::INFINITY };
        if self.pool.start(host, Task::Probe { since }, job).is_none() {
            self.unasked.push_back(host);
        }
    }

    /// The final answer; false where there has been one.
    fn answer(&mut self, op: OpId, fill: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(o) = self.ops.get_mut(&op).filter(|o| !o.answered) else { return false };
        o.answered = true;
        self.open.remove(&o.name);
        let mut bytes = Vec::new();
        fill(&mut bytes);
        bytes.extend_from_slice(&encode::READY_FOR_QUERY);
        let held = self.shared.reserve(bytes.len());
        o.client.answer(o.seq, bytes, held);
        // Ops given up on a beat end here: kept, each would hold its client for ever.
        self.drop_if_over(op);
        true
    }

    fn drop_if_over(&mut self, op: OpId) {
        if self.ops.get(&op).is_some_and(|o| o.answered && o.sends.iter().all(|s| s.conn.is_none())) {
            self.ops.remove(&op);
        }
    }
}

impl Outbox for RouterOutbox {
    fn send(&mut self, op: OpId, host: usize, begin_by: f64) {
        let Some(o) = self.ops.get_mut(&op) else { return };
        o.sends.push(Send { conn: None, begin_by });
        let send = o.sends.len() - 1;
        self.shared.simulate_send_work();
        self.send_on(op, send, host);
    }

    fn withdraw(&mut self, op: OpId, send: usize, cut: bool) {
        let Some(o) = self.ops.get_mut(&op) else { return };
        let Some(conn) = o.sends.get(send).and_then(|s| s.conn) else { return };
        if self.pool.call_back(conn, if cut { CallBack::All } else { CallBack::Unfinished }) {
            o.sends[send].conn = None;
            self.ended.push_back((op, send, Ending::Withdrawn));
        }
    }

    fn cancel_unstarted(&mut self, host: usize) {
        for (op, send) in self.pool.call_off(host) {
            if let Some(o) = self.ops.get_mut(&op) {
                o.sends[send].conn = None;
            }
            self.ended.push_back((op, send, Ending::Unsent));
        }
    }

    fn busy_reply(&mut self, op: OpId, retry_ms: f64) {
        let detail = if retry_ms > 0.0 { format!("{}", retry_ms.ceil()) } else { String::new() };
        if let Some(o) = self.ops.get(&op) {
            o.client.retry_at.store((self.shared.clock.now() + retry_ms) as u64, Relaxed);
        }
        let said =
            self.answer(op, |to| encode::error_response(to, false, "53300", "busy, try again", &detail));
        self.counts.busy += u64::from(said);
        self.shared.refused.fetch_add(usize::from(said), Relaxed);
    }

    fn error_reply(&mut self, op: OpId) {
        let said =
            self.answer(op, |to| encode::error_response(to, false, "58000", "no host has answered", ""));
        self.counts.errored += u64::from(said);
    }

    fn probe(&mut self, host: usize) {
        self.counts.probes += 1;
        let now = self.shared.clock.now();
        self.probe_on(host, now);
    }

    fn close_idle_connections(&mut self, host: usize) {
        self.pool.close_idle(host);
    }

    fn watch_host_list(&mut self) {
        let _ = self.ask_list.try_send(());
    }

    fn wake_after(&mut self, in_ms: f64) {
        self.wake_at = self.shared.clock.now() + in_ms;
    }

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }

    fn contact_lost(&mut self, host: usize) {
        self.lost.push(host);
    }
}

pub struct Router {
    policy: Policy,
    outbox: RouterOutbox,
    carried: bool,
    timeouts_ms: Vec<f64>,
    /// The names of zones, by number.
    zones: Vec<String>,
    observer: Observer,
    /// Takes what this router has observed for its peers; none where it has no peers.
    observations: Option<ObservationSender>,
    /// Each host's group, as listed.
    groups: HashMap<usize, GroupId>,
    /// Whether the list last named more hosts than connections may be open.
    has_too_many_hosts: bool,
    next_op: OpId,
    figures_at: f64,
    tidy_at: f64,
}

impl Router {
    pub fn new(
        shared: Arc<Shared>,
        terms: PolicyOptions,
        fields: &AdapterOptions,
        seed: u64,
        ask_list: Sender<()>,
        orders: CommandSender,
        observations: Option<ObservationSender>,
    ) -> Router {
        let now = shared.clock.now();
        let figures_at = now + shared.limits.figures_ms;
        let mut outbox = RouterOutbox {
            pool: Pool::new(shared.clone(), orders),
            shared,
            ops: HashMap::new(),
            open: HashSet::new(),
            ended: VecDeque::new(),
            unasked: VecDeque::new(),
            wake_at: now,
            ask_list,
            counts: Counts::default(),
            lost: Vec::new(),
        };
        let bounded = terms
            .op_types
            .iter()
            .filter(|t| t.consistency == Consistency::Bounded)
            .map(|t| t.staleness_bound_ms);
        let observer = Observer::new(bounded.reduce(f64::min));
        let policy = Policy::new(terms, seed, now, &mut outbox);
        let (timeouts_ms, zones) = (fields.op_timeouts_ms.clone(), fields.zone_names.clone());
        let carried = fields.clients_report_writes;
        let (next_op, tidy_at, groups) = (0, now, HashMap::new());
        Router {
            policy,
            outbox,
            carried,
            timeouts_ms,
            zones,
            observer,
            observations,
            groups,
            has_too_many_hosts: false,
            next_op,
            figures_at,
            tidy_at,
        }
    }

    /// A page of the list, read in full before.
    pub fn apply_host_list(&mut self, page: &Value, kept: bool) {
        let now = self.outbox.shared.clock.now();
        let (policy, pool) = (&mut self.policy, &mut self.outbox.pool);
        policy.list_started(kept || list::is_complete(page), kept);
        let (zones, groups) = (&self.zones, &mut self.groups);
        let read = list::parse_entries(page, zones, |id, addr, cluster, mut entry| {
            entry.group = pool.group(cluster);
            let host = pool.host(id, addr);
            groups.insert(host, GroupId { index: entry.group, key: cluster as u32 });
            policy.host_listed(now, host, entry);
        });
        if let Err(why) = read {
            tracing::warn!(%why, "a page of the list is odd");
        }
        self.policy.list_ended(now, &mut self.outbox);
        self.warn_of_too_many_hosts();
        self.outbox.shared.ready.store(true, Release);
        self.settle();
    }

    /// Says once that the list names more hosts than connections may be open: each op may then need a new one.
    fn warn_of_too_many_hosts(&mut self) {
        let (hosts, connections) = (self.outbox.pool.hosts(), self.outbox.shared.limits.host_connections);
        let too_many = hosts > connections;
        if too_many && !self.has_too_many_hosts {
            tracing::warn!(hosts, connections, "the list names more hosts than connections may be open");
        }
        self.has_too_many_hosts = too_many;
    }

    pub fn run(mut self, events: &Receiver<Event>, news: &Receiver<ListUpdate>) {
        loop {
            let wait = self.outbox.shared.clock.until(self.outbox.next_beat());
            match events.recv_timeout(wait) {
                Ok(Event::Stop) => return self.figures(true),
                // News of the list never waits behind ops.
                Ok(event) => {
                    self.take_news(news);
                    self.take(event);
                    // What has queued up meanwhile is taken in one go, but not past the beat for long.
                    for _ in 1..self.outbox.shared.limits.events {
                        match events.try_recv() {
                            Ok(Event::Stop) => return self.figures(true),
                            Ok(event) => self.take(event),
                            Err(_) => break,
                        }
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.outbox.shared.clock.now();
            if now >= self.outbox.next_beat() {
                self.take_news(news);
                if self.outbox.shared.is_stopping() {
                    self.policy.set_shutdown_deadline(self.outbox.shared.stop_deadline());
                }
                self.policy.tick(now, &mut self.outbox);
                self.settle();
                if now >= self.tidy_at {
                    self.tidy_at = now + self.outbox.shared.limits.tidy_ms;
                    let (policy, observer, groups) = (&mut self.policy, &mut self.observer, &mut self.groups);
                    self.outbox.pool.tidy(|host| {
                        let over = policy.release_host(now, host);
                        if over {
                            observer.forget(host);
                            groups.remove(&host);
                        }
                        over
                    });
                }
                if now >= self.figures_at {
                    self.figures_at = now + self.outbox.shared.limits.figures_ms;
                    self.figures(false);
                }
            }
            self.outbox.pool.wake_hosts();
        }
    }

    fn figures(&self, last: bool) {
        let (shared, c) = (&self.outbox.shared, &self.outbox.counts);
        tracing::info!(
            taken = c.taken,
            acked = c.acked,
            busy = c.busy,
            errored = c.errored,
            left = c.left,
            open = self.outbox.ops.len(),
            probes = c.probes,
            dials = self.outbox.pool.dials,
            hosts = self.outbox.pool.hosts(),
            connections = self.outbox.pool.connections(),
            clients = shared.clients(),
            threads = shared.threads.load(Relaxed),
            held = shared.reserved_bytes.load(Relaxed),
            "{}",
            if last { "stopped" } else { "figures" }
        );
    }

    fn take_news(&mut self, news: &Receiver<ListUpdate>) {
        for page in news.try_iter() {
            match page {
                Some(page) => self.apply_host_list(&page, false),
                None => self.policy.list_failed(self.outbox.shared.clock.now()),
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.outbox.shared.clock.now();
        match event {
            // It left while its op waited in the channel.
            Event::OpArrived { client, .. } if client.is_disconnected() => self.outbox.counts.left += 1,
            Event::OpArrived { client, seq, facts, statement, arrived_at } => {
                if !self.outbox.open.insert(facts.id) {
                    // Another op has this id: one of the two could be taken for the other by hosts.
                    let mut bytes = Vec::new();
                    encode::error_response(&mut bytes, false, "55006", "an open op has this id", "");
                    bytes.extend_from_slice(&encode::READY_FOR_QUERY);
                    let held = self.outbox.shared.reserve(bytes.len());
                    client.answer(seq, bytes, held);
                    return;
                }
                self.next_op += 1;
                let id = self.next_op;
                let until = (arrived_at + facts.client_timeout_ms).min(self.outbox.shared.stop_deadline());
                let sends = Vec::new();
                let name = facts.id;
                let op = Op { name, client, seq, statement, until, answered: false, sends };
                self.outbox.ops.insert(id, op);
                self.outbox.counts.taken += 1;
                match self.outbox.pool.known_group(facts.cluster) {
                    Some(group) => self.arrived(now, id, group, until - now, &facts),
                    // No list has named it: nothing was sent, so trying again is harmless.
                    None => self.outbox.busy_reply(id, 0.0),
                }
            }
            Event::ClientDisconnected { client } => {
                let outbox = &self.outbox;
                let gone = outbox.ops.iter().filter(|(_, o)| o.client.id == client && !o.answered);
                let mut gone: Vec<OpId> = gone.map(|(id, _)| *id).collect();
                gone.sort_unstable();
                // All at once, or room that one leaves would go to another of them.
                for id in &gone {
                    let op = self.outbox.ops.get_mut(id).expect("just seen");
                    op.answered = true;
                    self.outbox.open.remove(&op.name);
                }
                self.outbox.counts.left += gone.len() as u64;
                self.policy.client_left(now, &mut self.outbox, &gone);
                gone.into_iter().for_each(|id| self.outbox.drop_if_over(id));
            }
            Event::JobFinished { conn, result } => self.back(now, conn, *result),
            Event::IdleConnectionClosed { conn } => match self.outbox.pool.closed(conn) {
                Some((host, Task::Send { op, send })) => self.outbox.send_on(op, send, host),
                Some((host, Task::Probe { since })) => self.outbox.probe_on(host, since),
                _ => {}
            },
            Event::AdmissionChanged { share, retry_after_ms } => {
                self.policy.set_admission(share, retry_after_ms)
            }
            Event::PeerFacts(peer_facts) => self.peer_facts(now, peer_facts),
            Event::ListResponse | Event::Stop => {}
        }
        self.settle();
    }

    /// What peers tell, by this router's own numbers; what it does not know is passed over.
    fn peer_facts(&mut self, now: f64, peer_facts: Vec<magpiewell_tier::PeerFact>) {
        for peer_fact in peer_facts {
            let (key, peer_fact) = match peer_fact {
                magpiewell_tier::PeerFact::Primary { host, observed_at: at, .. } => {
                    (host, PeerReport::Primary { at })
                }
                magpiewell_tier::PeerFact::ReplicaLag { host, ms, observed_at: at } => {
                    (host, PeerReport::ReplicaLag { lag_ms: ms, at })
                }
                magpiewell_tier::PeerFact::Unresponsive { host } => (host, PeerReport::Unresponsive),
                magpiewell_tier::PeerFact::Members { zones, .. } if zones.len() == self.zones.len() => {
                    self.policy.zone_read_shares = zones;
                    continue;
                }
                _ => continue,
            };
            if let Some(host) = self.outbox.pool.keyed(key) {
                self.policy.peer_reported(now, &mut self.outbox, host, peer_fact);
            }
        }
    }

    /// Shares with peers what an answer showed.
    fn share_observation(&mut self, now: f64, host: usize, told: &Told) {
        let (Some(observations), Some(group)) = (&self.observations, self.groups.get(&host)) else { return };
        let (role, position) = (told.role.or(told.report_role), told.pos.or(told.report_pos));
        let host = HostId { index: host, key: self.outbox.pool.key(host) };
        if let Some(observation) = self.observer.record_answer(now, host, *group, role, position) {
            observations.send(observation);
        }
    }

    fn arrived(&mut self, now: f64, id: OpId, group: usize, patience: f64, facts: &OpFacts) {
        // The commit stands there as a time, and the policy takes how long ago that was.
        let age = |after: f64| (now - after).max(0.001);
        let since = self.carried.then(|| facts.after.map_or(0.0, age));
        let op = OpRequest {
            id,
            op_type: facts.op_type,
            group,
            tenant: facts.tenant,
            session: facts.session,
            client_timeout_ms: patience,
            since_write_ms: since,
            is_retry: facts.is_retry,
            extra_latency_ms: 0.0,
            op_timeout_ms: self.timeouts_ms[facts.op_type],
        };
        self.policy.op_arrived(now, &mut self.outbox, op);
    }

    /// What came back on a connection: what it tells first, then how it ended.
    fn back(&mut self, now: f64, conn: u64, result: Result) {
        let Some((host, task)) = self.outbox.pool.finish(conn, result.open) else { return };
        self.tell(now, host, &result.told);
        self.share_observation(now, host, &result.told);
        match task {
            Task::Send { op, send } => {
                if let Some(o) = self.outbox.ops.get_mut(&op) {
                    o.sends[send].conn = None;
                }
                if result.ending == Ending::Acked {
                    let said = self.outbox.answer(op, |to| *to = result.answer);
                    self.outbox.counts.acked += u64::from(said);
                }
                self.tell_ended(now, op, send, result.ending);
            }
            Task::Probe { since } => {
                self.policy.probe_ended(now, &mut self.outbox, host, result.ending, now - since);
            }
            Task::Nothing => {}
        }
    }

    fn tell(&mut self, now: f64, host: usize, told: &Told) {
        // A commit is rounded up to a whole ms and may lie that far ahead, where the policy would doubt it.
        let ahead = told.pos.filter(|pos| *pos < now + self.outbox.shared.limits.ahead_ms);
        let now = ahead.map_or(now, |pos| now.max(pos));
        if told.role.is_some() || told.pos.is_some() {
            self.policy.host_reported(now, host, told.role, told.pos, true);
        }
        if told.report_role.is_some() || told.report_pos.is_some() {
            self.policy.host_reported(now, host, told.report_role, told.report_pos, false);
        }
    }

    fn tell_ended(&mut self, now: f64, op: OpId, send: usize, ending: Ending) {
        let over = self.outbox.ops.get(&op).is_none_or(|o| o.answered);
        self.policy.send_ended(now, &mut self.outbox, op, send, ending, over);
        self.outbox.drop_if_over(op);
    }

    /// Tells the policy what ended here, until nothing more does.
    fn settle(&mut self) {
        for host in std::mem::take(&mut self.outbox.lost) {
            if let Some(observations) = &self.observations {
                observations.send(Observation::Unresponsive { host: self.outbox.pool.key(host) });
            }
        }
        loop {
            let now = self.outbox.shared.clock.now();
            if let Some((op, send, ending)) = self.outbox.ended.pop_front() {
                self.tell_ended(now, op, send, ending);
            } else if let Some(host) = self.outbox.unasked.pop_front() {
                self.policy.probe_ended(now, &mut self.outbox, host, Ending::Unsent, 0.0);
            } else {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
