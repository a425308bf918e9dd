//! The data that the policy keeps, with the bookkeeping on it. Routing decisions are in [`crate::policy`].

use crate::{Ending, HostState, OpId, OpTypeSpec, PeerReport, PolicyOptions};
use std::collections::{HashMap, VecDeque, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};

/// Parameters that the policy derives from the deployment's [`PolicyOptions`] at start.
#[derive(Default)]
pub struct PolicyParams {
    pub zone_count: usize,
    pub zone: usize,
    pub tick_ms: f64,
    /// Final answers are given this long before the client's deadline.
    pub reply_margin_ms: f64,
    pub over_share_value: f64,
    pub max_sends: usize,
    pub max_outstanding_sends: usize,
    pub may_withdraw: bool,
    pub may_probe: bool,
    pub max_retry_after_ms: f64,
    pub drain_grace_ms: f64,
    pub gone_is_binding: bool,
    pub list_poll_interval_ms: Option<f64>,
    pub cold_capacity_share: f64,
    pub warmup_ms: f64,
    /// The cold budget: within a window, a host that warms up is sent at most `cold_budget_multiple` times
    /// the work that its present capacity can do in the window.
    pub overload_window_ms: f64,
    pub cold_budget_multiple: f64,
    /// Upper bound of the load factors for random admission to cold hosts.
    pub max_cold_load_factor: f64,
    /// Single reads are sent to replicas that were behind, instead of probes.
    pub trial_reads_replace_probes: bool,
    /// Number of replicas per group that get connections before any others do.
    pub preferred_connected_replicas: usize,
    /// Ops per millisecond that all tenants may send to one router within their shares.
    pub quota_ops_per_ms: f64,
    /// In-flight limit of a host at first contact.
    pub initial_limit: f64,
    /// The tightest staleness bound of any op type.
    pub min_staleness_bound_ms: f64,
    /// Replicas reject reads for which they are too far behind.
    pub hosts_reject_stale_reads: bool,
    pub track_session_writes: bool,
}

impl From<&PolicyOptions> for PolicyParams {
    /// Copies the options that need no tuning; [`crate::policy::Policy::new`] fills in the rest.
    fn from(options: &PolicyOptions) -> PolicyParams {
        PolicyParams {
            zone_count: options.zone_count,
            zone: options.zone,
            over_share_value: options.over_share_value,
            max_sends: options.max_sends,
            max_outstanding_sends: if options.may_hedge { 2 } else { 1 },
            may_withdraw: options.may_withdraw,
            may_probe: options.may_probe,
            max_retry_after_ms: options.max_retry_after_ms,
            drain_grace_ms: options.drain_grace_ms,
            gone_is_binding: options.gone_is_binding,
            list_poll_interval_ms: options.list_poll_interval_ms,
            cold_capacity_share: options.cold_capacity_share.clamp(0.01, 1.0),
            warmup_ms: options.warmup_ms.max(1.0),
            overload_window_ms: options.overload_window_ms,
            hosts_reject_stale_reads: options.hosts_reject_stale_reads,
            track_session_writes: options.track_session_writes,
            ..PolicyParams::default()
        }
    }
}

/// Everything known about one database host.
#[derive(Clone, Debug)]
pub struct Host {
    pub group: usize,
    pub zone: usize,
    pub state: HostState,
    /// Number of the last list response that named the host.
    pub list_revision: u64,
    /// When the list first reported the host as draining or gone; infinite while it is ready.
    pub unready_since: f64,
    /// Has been listed as draining since it was last ready.
    pub has_drained: bool,
    /// Capacity relative to other hosts.
    pub capacity: f64,
    pub started_at: f64,
    /// Latest time at which the host is known to have been primary; -inf where it is not taken for one.
    pub primary_seen_at: f64,
    /// Evidence of a primary up to this time is void, as a write has failed or been rejected since.
    pub primary_cleared_at: f64,
    pub is_listed_primary: bool,
    /// The host was primary and no response has contradicted that: the freshness check is waived for reads
    /// there.
    pub is_freshness_exempt: bool,
    /// When peers last saw the host as primary.
    pub peer_primary_seen_at: f64,
    /// When the host last reported being a replica.
    pub replica_seen_at: f64,
    /// Log position, as the commit time up to which the host has applied the log.
    pub position: f64,
    /// When `position` was last reported.
    pub position_at: f64,
    /// Moving average of read latency over the usual latency of the op type.
    pub latency_ratio: f64,
    pub latency_samples: u32,
    pub is_ejected: bool,
    /// When an ejected host may next get a single trial read.
    pub next_trial_at: f64,
    /// Moving average of latency over the part of the latency target from which a host counts as congested.
    pub congestion: f64,
    /// Limit on `in_flight_weight`; below 1 it is the share of ops admitted to the idle host.
    pub in_flight_limit: f64,
    pub in_flight_weight: f64,
    pub in_flight: Vec<InFlightSend>,
    pub last_response_at: f64,
    pub is_unresponsive: bool,
    /// When contact with the host first failed; infinite while there is contact.
    pub down_since: f64,
    /// Duration of the last failed connection attempt that no probe has explained yet; 0 for none.
    pub failed_connect_ms: f64,
    /// Open connections, in use or idle.
    pub open_connections: usize,
    /// The replica with the lowest value is next in the rotation.
    pub rotation_position: f64,
    pub is_probe_in_flight: bool,
    pub last_probe_at: f64,
    /// The last reset of a probe's connection.
    pub probe_reset: RecentEvent,
    /// Recent sends, for the cold budget: (time of the send, its work in ms).
    pub recent_sends: VecDeque<(f64, f64)>,
}

/// One outstanding send, as recorded at its host.
#[derive(Clone, Debug)]
pub struct InFlightSend {
    pub op_slot: usize,
    pub send_index: usize,
    pub sent_at: f64,
    /// Usual latency of the op type at the time of the send.
    pub usual_ms: f64,
    pub weight: f64,
    /// A read that fell back to the primary.
    pub is_fallback: bool,
    /// The send had to open a connection.
    pub opens_connection: bool,
}

impl Host {
    pub fn new(group: usize, in_flight_limit: f64) -> Host {
        Host {
            group,
            zone: usize::MAX,
            state: HostState::Gone,
            list_revision: 0,
            unready_since: f64::INFINITY,
            has_drained: false,
            capacity: 1.0,
            started_at: f64::NEG_INFINITY,
            primary_seen_at: f64::NEG_INFINITY,
            primary_cleared_at: f64::NEG_INFINITY,
            is_listed_primary: false,
            is_freshness_exempt: false,
            peer_primary_seen_at: f64::NEG_INFINITY,
            replica_seen_at: f64::NEG_INFINITY,
            position: f64::NEG_INFINITY,
            position_at: f64::NEG_INFINITY,
            latency_ratio: 1.0,
            latency_samples: 0,
            is_ejected: false,
            next_trial_at: 0.0,
            congestion: 0.0,
            in_flight_limit,
            in_flight_weight: 0.0,
            in_flight: Vec::new(),
            last_response_at: f64::NEG_INFINITY,
            is_unresponsive: false,
            down_since: f64::INFINITY,
            failed_connect_ms: 0.0,
            open_connections: 0,
            rotation_position: 0.0,
            is_probe_in_flight: false,
            last_probe_at: f64::NEG_INFINITY,
            probe_reset: RecentEvent::default(),
            recent_sends: VecDeque::new(),
        }
    }
}

impl Host {
    /// Adds a send to the recent work and drops sends up to `since`.
    pub fn record_work(&mut self, now: f64, work_ms: f64, since: f64) {
        self.recent_sends.retain(|(at, _)| *at > since);
        self.recent_sends.push_back((now, work_ms));
    }

    /// Work sent after `since`.
    pub fn recent_work(&self, since: f64) -> f64 {
        self.recent_sends.iter().filter(|(at, _)| *at > since).map(|(_, work_ms)| work_ms).sum()
    }

    /// Records when the host started. After a restart it counts as responsive, its in-flight limit is at most
    /// the initial one, and evidence of a primary from before the start is void. The log position stays.
    pub fn record_start(&mut self, started_at: f64, initial_limit: f64) {
        if started_at.is_finite() && started_at > self.started_at + 1.0 {
            self.in_flight_limit = self.in_flight_limit.min(initial_limit);
            (self.started_at, self.is_unresponsive, self.down_since) = (started_at, false, f64::INFINITY);
            self.primary_seen_at =
                if self.primary_seen_at < started_at { f64::NEG_INFINITY } else { self.primary_seen_at };
        }
    }

    /// Records a peer's report; true where the host should be probed. A reported lag is used only where hosts
    /// reject stale reads themselves: elsewhere it would count as proof of freshness.
    pub fn record_peer_report(
        &mut self,
        now: f64,
        report: PeerReport,
        hosts_reject_stale_reads: bool,
    ) -> bool {
        match report {
            PeerReport::Primary { at } => {
                self.peer_primary_seen_at = self.peer_primary_seen_at.max(at.min(now))
            }
            PeerReport::ReplicaLag { lag_ms, at }
                if hosts_reject_stale_reads && at > self.position_at && at <= now =>
            {
                (self.position, self.position_at) = (self.position.max(at - lag_ms.max(0.0)), at);
            }
            PeerReport::ReplicaLag { .. } | PeerReport::Unresponsive => {}
        }
        report == PeerReport::Unresponsive
    }

    /// When peers last saw the host as primary; -inf where it is unreachable or has since proved not to be
    /// primary.
    pub fn peer_primary_hint(&self) -> f64 {
        let is_reachable = self.state == HostState::Ready && !self.is_unresponsive;
        let is_current =
            is_reachable && self.peer_primary_seen_at > self.replica_seen_at.max(self.primary_cleared_at);
        if is_current { self.peer_primary_seen_at } else { f64::NEG_INFINITY }
    }

    /// Discards all evidence up to `until` that the host is primary.
    pub fn clear_primary(&mut self, until: f64) {
        (self.primary_seen_at, self.is_listed_primary, self.primary_cleared_at) =
            (f64::NEG_INFINITY, false, until);
    }

    /// True for an ejected, responsive host that is due for a trial read.
    pub fn is_trial_due(&self, now: f64) -> bool {
        self.is_ejected && !self.is_unresponsive && self.next_trial_at <= now
    }

    /// Responsive and not ejected.
    pub fn is_in_rotation(&self) -> bool {
        !self.is_unresponsive && !self.is_ejected
    }

    /// Open connections that no send is using.
    pub fn idle_connections(&self) -> usize {
        self.open_connections
            .saturating_sub(self.in_flight.iter().filter(|send| !send.opens_connection).count())
    }

    /// Updates the open connections after a send: a response leaves the connection open, any other ending
    /// closes it.
    pub fn record_connection(&mut self, is_from_host: bool, was_opened: bool) {
        match (is_from_host, was_opened) {
            (true, true) => self.open_connections += 1,
            (false, false) => self.open_connections = self.open_connections.saturating_sub(1),
            _ => {}
        }
    }

    /// Whether a send of the op is in flight on a connection that was open before.
    pub fn uses_open_connection(&self, op_slot: usize) -> bool {
        self.in_flight.iter().any(|send| send.op_slot == op_slot && !send.opens_connection)
    }

    /// Removes a send; returns it with the in-flight weight before the removal.
    pub fn remove_in_flight(&mut self, op_slot: usize, sent_at: f64) -> Option<(InFlightSend, f64)> {
        let index =
            self.in_flight.iter().position(|send| send.op_slot == op_slot && send.sent_at == sent_at)?;
        let (send, weight_before) = (self.in_flight.swap_remove(index), self.in_flight_weight);
        self.in_flight_weight =
            if self.in_flight.is_empty() { 0.0 } else { (weight_before - send.weight).max(0.0) };
        Some((send, weight_before))
    }
}

/// One send of an op.
#[derive(Clone, Debug)]
pub struct Send {
    pub host: usize,
    pub sent_at: f64,
    pub ending: Option<Ending>,
    pub is_withdrawn: bool,
    /// No response is expected any more.
    pub is_lost: bool,
}

impl Send {
    pub fn may_have_run(&self) -> bool {
        self.ending.is_none_or(|ending| !ending.cannot_have_run())
    }
}

/// One op, from arrival until its last send has ended.
#[derive(Clone, Debug, Default)]
pub struct Op {
    pub id: OpId,
    pub op_type: usize,
    pub group: usize,
    pub session: u64,
    pub arrived_at: f64,
    /// Estimated arrival of the op's first try.
    pub first_try_at: f64,
    /// When the latency target ends.
    pub target_at: f64,
    /// When the op gets its final answer at the latest.
    pub give_up_at: f64,
    /// Position that a host must have applied for the op to see its data.
    pub min_position: f64,
    pub value: f64,
    pub is_over_share: bool,
    /// Treated as a first try.
    pub is_first_try: bool,
    /// Random number in [0, 1), drawn once per op. Where only a share of ops is admitted, those with a draw
    /// below that share are.
    pub admission_draw: f64,
    /// Already counted among the reads that would fall back to the primary.
    pub is_counted_as_fallback: bool,
    /// Already counted in its group's demand.
    pub is_counted_as_demand: bool,
    pub sends: Vec<Send>,
    pub is_answered: bool,
    pub is_held: bool,
    /// Not to be sent again before this time.
    pub retry_not_before: f64,
}

impl Op {
    /// Number of sends that have not ended.
    pub fn outstanding(&self) -> usize {
        self.sends.iter().filter(|s| s.ending.is_none()).count()
    }
}

/// Ops by slot. A slot is reused once its op is answered and all the sends of the op have ended.
#[derive(Default)]
pub struct OpTable {
    pub slots: Vec<Option<Op>>,
    free_slots: Vec<usize>,
    by_id: HashMap<OpId, usize>,
}

impl OpTable {
    pub fn add(&mut self, op: Op) -> usize {
        let id = op.id;
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(Some(op));
        } else {
            self.slots[slot] = Some(op);
        }
        self.by_id.insert(id, slot);
        slot
    }

    pub fn find(&self, id: OpId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn get(&self, slot: usize) -> &Op {
        self.slots[slot].as_ref().expect("a live slot")
    }

    pub fn get_mut(&mut self, slot: usize) -> &mut Op {
        self.slots[slot].as_mut().expect("a live slot")
    }

    /// Frees the slot if the op is answered and has no outstanding sends.
    pub fn remove_if_finished(&mut self, slot: usize) {
        if self.slots[slot].as_ref().is_some_and(|op| op.is_answered && op.outstanding() == 0) {
            let op = self.slots[slot].take().expect("a live slot");
            self.by_id.remove(&op.id);
            self.free_slots.push(slot);
        }
    }
}

/// A replication group: hosts that hold the same data.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub members: Vec<usize>,
    /// Slots of the ops that wait to be sent.
    pub held_ops: Vec<usize>,
    /// Slot of the one write that is sent to find the primary.
    pub discovery_write: Option<usize>,
    /// Since when ops have been held for lack of a known primary; infinite otherwise.
    pub no_primary_since: f64,
    /// Index into `members` at which the search for the primary continues.
    pub next_candidate: usize,
    /// Work that had to go to the primary, and work of reads that found no replica.
    pub primary_work: DecayingSum,
    pub fallback_work: DecayingSum,
    /// Share of reads admitted to idle replicas, from the results of all replicas of the group.
    pub idle_admission_share: f64,
    /// Work requested from this router: [reads that replicas may serve, ops that must go to the primary].
    pub demand: [Rate; 2],
}

impl Group {
    /// Records whether a primary is known. Returns a log line when that changes while ops wait for it.
    pub fn record_primary_known(&mut self, now: f64, is_unknown: bool) -> Option<String> {
        if is_unknown && !self.held_ops.is_empty() && self.no_primary_since == f64::INFINITY {
            self.no_primary_since = now;
            return Some(format!("has no known primary, {} ops held", self.held_ops.len()));
        }
        if is_unknown || self.no_primary_since == f64::INFINITY {
            return None;
        }
        let elapsed_ms = now - std::mem::replace(&mut self.no_primary_since, f64::INFINITY);
        Some(format!("has a primary again after {elapsed_ms:.0} ms"))
    }
}

/// Work per millisecond, as a moving average; it stays constant while no elapsed time is added.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    work: DecayingSum,
    elapsed_ms: DecayingSum,
}

impl Rate {
    pub fn add(&mut self, now: f64, work: f64, elapsed_ms: f64, time_constant_ms: f64) {
        self.work.add(now, work, time_constant_ms);
        self.elapsed_ms.add(now, elapsed_ms, time_constant_ms);
    }

    /// 0 before any elapsed time has been added.
    pub fn per_ms(&self) -> f64 {
        if self.elapsed_ms.value > 0.0 { self.work.value / self.elapsed_ms.value } else { 0.0 }
    }
}

/// Total demand on this router: work for [replicas, primaries], and separately that of first tries.
#[derive(Default)]
pub struct Demand {
    pub rates: [Rate; 2],
    first_tries: DecayingSum,
    first_try_work: [DecayingSum; 2],
}

impl Demand {
    /// Adds an op. The rates have a shorter time constant (the first) than the sums over first tries (the
    /// second).
    pub fn add(
        &mut self,
        now: f64,
        role_index: usize,
        work: f64,
        is_first_try: bool,
        time_constants_ms: (f64, f64),
    ) {
        self.rates[role_index].add(now, work, 0.0, time_constants_ms.0);
        let first_tries = if is_first_try { 1.0 } else { 0.0 };
        self.first_tries.add(now, first_tries, time_constants_ms.1);
        self.first_try_work[role_index].add(now, work * first_tries, time_constants_ms.1);
        self.first_try_work[1 - role_index].add(now, 0.0, time_constants_ms.1);
    }

    /// Work for this role per first try of any role; NaN before the first one.
    pub fn mean_first_try_work(&self, role_index: usize) -> f64 {
        self.first_try_work[role_index].value / self.first_tries.value
    }
}

/// A sum whose terms decay exponentially.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    pub value: f64,
    updated_at: f64,
}

impl DecayingSum {
    pub fn add(&mut self, now: f64, amount: f64, time_constant_ms: f64) {
        self.value = self.value * ((self.updated_at - now) / time_constant_ms).exp() + amount;
        self.updated_at = now;
    }
}

/// Creates the records of all groups up to this index.
pub fn ensure_group(groups: &mut Vec<Group>, group: usize) {
    while groups.len() <= group {
        groups.push(Group { no_primary_since: f64::INFINITY, idle_admission_share: 1.0, ..Group::default() });
    }
}

/// Adds an op to its group's held ops.
pub fn hold_op(ops: &mut OpTable, groups: &mut [Group], slot: usize) {
    let op = ops.get_mut(slot);
    if !std::mem::replace(&mut op.is_held, true) {
        groups[op.group].held_ops.push(slot);
    }
}

/// Marks an op as answered and removes it from its group.
pub fn mark_answered(ops: &mut OpTable, groups: &mut [Group], slot: usize) {
    let op = ops.get_mut(slot);
    op.is_answered = true;
    let group = &mut groups[op.group];
    if std::mem::take(&mut op.is_held) {
        group.held_ops.retain(|s| *s != slot);
    }
    group.discovery_write = group.discovery_write.filter(|s| *s != slot);
}

/// Sets the deadline of every op to `by` at the latest.
pub fn cap_give_up_at(ops: &mut OpTable, by: f64) {
    for op in ops.slots.iter_mut().flatten() {
        op.give_up_at = op.give_up_at.min(by);
    }
}

/// Moves a host to the group that the list names.
pub fn assign_group(groups: &mut Vec<Group>, record: &mut Host, host: usize, group: usize) {
    ensure_group(groups, group);
    if record.group != group {
        let old = std::mem::replace(&mut record.group, group);
        move_member(groups, host, old, group);
    }
}

/// Moves a host from one group to another; an index without a group stands for none.
pub fn move_member(groups: &mut [Group], host: usize, from: usize, to: usize) {
    if let Some(group) = groups.get_mut(from) {
        group.members.retain(|m| *m != host);
    }
    if let Some(group) = groups.get_mut(to) {
        group.members.push(host);
    }
}

/// Whether a host is gone and no send, probe or op refers to it.
pub fn is_host_releasable(ops: &OpTable, record: &Host, host: usize) -> bool {
    let is_target = |op: &Op| op.sends.iter().any(|s| s.host == host);
    record.state == HostState::Gone
        && record.in_flight.is_empty()
        && !record.is_probe_in_flight
        && !ops.slots.iter().flatten().any(is_target)
}

/// Resets a host's record and removes the host from its group. Always true.
pub fn reset_host(groups: &mut [Group], hosts: &mut [Host], host: usize, initial_limit: f64) -> bool {
    let old = std::mem::replace(&mut hosts[host], Host::new(usize::MAX, initial_limit));
    move_member(groups, host, old.group, usize::MAX);
    true
}

/// The time of the last occurrence of an event.
#[derive(Clone, Debug, Default)]
pub struct RecentEvent(Option<f64>);

impl RecentEvent {
    /// Records an occurrence; true where the previous one was less than `window_ms` ago.
    pub fn recurs_within(&mut self, now: f64, window_ms: f64) -> bool {
        self.0.replace(now).is_some_and(|at| now - at < window_ms)
    }
}

/// The latest commit of each session. Old ones are evicted into a floor that covers all evicted sessions.
#[derive(Default)]
pub struct SessionCommits {
    by_session: HashMap<u64, f64>,
    /// (session, commit), in the order in which they were recorded.
    by_age: VecDeque<(u64, f64)>,
    floor: Option<f64>,
}

impl SessionCommits {
    /// Records a commit and evicts those before `keep_from`.
    pub fn add(&mut self, session: u64, commit: f64, keep_from: f64) {
        let latest = self.by_session.entry(session).or_insert(commit);
        *latest = latest.max(commit);
        self.by_age.push_back((session, commit));
        while let Some(&(old, at)) = self.by_age.front().filter(|(_, at)| *at < keep_from) {
            self.by_age.pop_front();
            self.floor = Some(self.floor.map_or(at, |f| f.max(at)));
            if self.by_session.get(&old).is_some_and(|latest| *latest <= at) {
                self.by_session.remove(&old);
            }
        }
    }

    /// The commit up to which a read of the session must see the data.
    pub fn latest(&self, session: u64) -> f64 {
        let known = self.by_session.get(&session).copied();
        known.or(self.floor).unwrap_or(f64::NEG_INFINITY)
    }
}

/// Deterministic random numbers, hashed from a seed and a counter.
#[derive(Default)]
pub struct Random {
    pub seed: u64,
    pub count: u64,
}

impl Random {
    /// A number in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        self.count += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.count).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Adds a value to an exponential moving average.
pub fn update_average(average: &mut f64, value: f64, smoothing_factor: f64) {
    *average += (value - *average) * smoothing_factor;
}

/// The lower median; `None` for no values.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// An op that this router gave up.
struct GivenUpOp {
    given_up_at: f64,
    op_type: usize,
    group: usize,
    first_try_at: f64,
    /// When its client was asked to retry; -inf where no time was named.
    retry_at: f64,
    /// A similar op has arrived since and has served as a sample of the retry gap.
    is_gap_sampled: bool,
}

/// Recognizes retries of ops that this router gave up, by their time of arrival. That works where clients
/// retry at the same router.
pub struct RetryMatcher {
    given_up: VecDeque<GivenUpOp>,
    /// Usual time from giving up an op to its retry, for clients that ignore the time they were given.
    retry_gap: MajorityValue,
    /// Moving average of the share of given-up ops that were followed by a similar op (same type and group)
    /// at the time at which a retry is expected.
    match_rate: f64,
    /// True while the match rate is higher than random arrivals explain: clients retry at the same router.
    pub clients_return: bool,
}

impl Default for RetryMatcher {
    /// The match rate starts at the threshold, so that one or two matches suffice where random ones are rare:
    /// some routers see only one op per second.
    fn default() -> RetryMatcher {
        let (given_up, retry_gap) = (VecDeque::new(), MajorityValue::default());
        RetryMatcher {
            given_up,
            retry_gap,
            match_rate: RetryMatcher::MIN_EXCESS_MATCHES,
            clients_return: false,
        }
    }
}

impl RetryMatcher {
    /// Given-up ops are kept for this long, and at most this many of them.
    const RETENTION_MS: f64 = 1000.0;
    const MAX_OPS: usize = 128;
    /// Lead in votes from which the most frequent gap is used.
    const MIN_GAP_VOTES: i32 = 2;
    const MATCH_SMOOTHING: f64 = 0.1;
    /// Excess of the match rate over that of random arrivals from which clients are taken to retry here.
    const MIN_EXCESS_MATCHES: f64 = 0.3;

    /// Records an op that was given up. `retry_after_ms` is the wait that its client was given; 0 for none.
    pub fn record_given_up(&mut self, now: f64, op: &Op, retry_after_ms: f64) {
        if self.given_up.len() == Self::MAX_OPS {
            self.given_up.pop_front();
            update_average(&mut self.match_rate, 0.0, Self::MATCH_SMOOTHING);
        }
        let retry_at = if retry_after_ms > 0.0 { now + retry_after_ms } else { f64::NEG_INFINITY };
        let (given_up_at, op_type, group, first_try_at) = (now, op.op_type, op.group, op.first_try_at);
        self.given_up.push_back(GivenUpOp {
            given_up_at,
            op_type,
            group,
            first_try_at,
            retry_at,
            is_gap_sampled: false,
        });
    }

    /// The arrival of the first try of an op that arrives now, where the op is recognized as a retry: it
    /// arrives within a tick of the end of the given-up op, of the usual gap after it or of the time that its
    /// client was given, or it is marked as a retry. `arrivals_per_ms` is the arrival rate of ops of its type
    /// and group.
    pub fn match_retry(
        &mut self,
        now: f64,
        (op_type, group): (usize, usize),
        is_retry: Option<bool>,
        arrivals_per_ms: f64,
        tick_ms: f64,
    ) -> Option<f64> {
        while self.given_up.front().is_some_and(|given_up| now - given_up.given_up_at > Self::RETENTION_MS) {
            self.given_up.pop_front();
            update_average(&mut self.match_rate, 0.0, Self::MATCH_SMOOTHING);
        }
        let retry_gap_ms =
            if self.retry_gap.votes >= Self::MIN_GAP_VOTES { self.retry_gap.value } else { 0.0 };
        let expected_at = |given_up: &GivenUpOp| {
            [given_up.retry_at, given_up.given_up_at, given_up.given_up_at + retry_gap_ms]
        };
        let deviation_ms = |given_up: &GivenUpOp| {
            expected_at(given_up)
                .map(|expected| (now - expected - 0.5 * tick_ms).abs())
                .into_iter()
                .fold(f64::INFINITY, f64::min)
        };
        let is_similar = |given_up: &GivenUpOp| {
            given_up.op_type == op_type && given_up.group == group && is_retry != Some(false)
        };
        let closest = (0..self.given_up.len()).filter(|i| is_similar(&self.given_up[*i]));
        let closest = closest
            .min_by(|a, b| deviation_ms(&self.given_up[*a]).total_cmp(&deviation_ms(&self.given_up[*b])))?;
        let is_on_time = deviation_ms(&self.given_up[closest]) <= tick_ms;
        let (random_match_probability, first_try_at) = (
            1.0 - (-arrivals_per_ms * 2.0 * tick_ms * expected_at(&self.given_up[closest]).len() as f64)
                .exp(),
            self.given_up[closest].first_try_at,
        );
        if let Some(last) = self
            .given_up
            .iter_mut()
            .rfind(|given_up| is_similar(given_up))
            .filter(|given_up| !given_up.is_gap_sampled)
        {
            last.is_gap_sampled = true;
            if !is_on_time || retry_gap_ms > 0.0 {
                self.retry_gap.observe(now - last.given_up_at, tick_ms, true);
            }
        }
        if !(is_on_time || self.clients_return && is_retry == Some(true)) {
            return None;
        }
        update_average(&mut self.match_rate, 1.0, Self::MATCH_SMOOTHING);
        self.clients_return = self.match_rate > random_match_probability + Self::MIN_EXCESS_MATCHES;
        self.given_up.remove(closest);
        self.clients_return.then_some(first_try_at)
    }
}

/// The decision of a stage about an op.
pub enum StageOutcome {
    /// The next stage decides.
    Continue,
    /// The op waits in its group.
    Hold,
    /// The op gets its final answer, or waits if a send of it is outstanding.
    Reject,
}

/// One op on its way through the stages.
pub struct SendAttempt {
    pub now: f64,
    pub slot: usize,
    /// The host chosen; `usize::MAX` for none.
    pub host: usize,
    /// A single read to a host that is ejected.
    pub is_trial: bool,
    /// A read that falls back to the primary.
    pub is_fallback: bool,
    /// Hosts to probe if a probe of them is due, as their state decides where the op can be sent.
    pub hosts_to_probe: Vec<usize>,
}

/// An ended send, passed back through the stages in reverse order.
pub struct SendResult {
    pub now: f64,
    pub slot: usize,
    pub host: usize,
    pub sent_at: f64,
    pub ending: Ending,
}

/// An op type with its learned statistics.
pub struct OpType {
    pub spec: OpTypeSpec,
    /// Average latency of answers, and average duration of sends including those withdrawn or timed out.
    pub usual_ms: f64,
    pub send_ms: f64,
    /// The client timeout of first tries: the most frequent one.
    pub client_timeout: MajorityValue,
    /// Average age of first tries when they are given up.
    pub give_up_age_ms: f64,
    /// Number of first tries given up, with the op timeout as its half-life.
    pub recent_give_ups: f64,
    pub recent_give_ups_at: f64,
    /// Recent arrivals.
    pub arrivals: DecayingSum,
}

impl OpType {
    pub fn new(usual_ms: f64, now: f64, spec: OpTypeSpec) -> OpType {
        let client_timeout = MajorityValue::default();
        OpType {
            spec,
            usual_ms,
            send_ms: usual_ms,
            client_timeout,
            give_up_age_ms: 0.0,
            recent_give_ups: 0.0,
            recent_give_ups_at: now,
            arrivals: DecayingSum::default(),
        }
    }

    /// Records the duration of a send; `is_in_rotation` refers to its host. Both averages are capped at the
    /// share of the latency target from which an answer is late: with an average above that, as after a
    /// stall, no op would be sent any more, and the average would never recover.
    pub fn record_send_time(
        &mut self,
        spent_ms: f64,
        ending: Ending,
        is_in_rotation: bool,
        smoothing: f64,
        late_target_share: f64,
    ) {
        let cap_ms = late_target_share * self.spec.latency_target_ms;
        if ending == Ending::Acked && is_in_rotation {
            let sample_ms = spent_ms.min(5.0 * self.usual_ms).max(1.0);
            update_average(&mut self.usual_ms, sample_ms, smoothing);
            self.usual_ms = self.usual_ms.min(cap_ms);
        }
        // A send that was not awaited to its end would have taken longer still. Leaving such sends out would
        // count only the fast answers.
        let unobserved_ms = if ending == Ending::Acked { 0.0 } else { self.send_ms };
        if matches!(ending, Ending::Acked | Ending::Withdrawn | Ending::TimedOut) {
            update_average(&mut self.send_ms, spent_ms + unobserved_ms, smoothing);
            self.send_ms = self.send_ms.min(cap_ms);
        }
    }
}

/// Token bucket of one tenant's share.
pub struct TenantShare {
    pub ops_per_ms: f64,
    pub tokens: f64,
    pub refilled_at: f64,
}

impl TenantShare {
    /// Charges one op; true where it exceeds the tenant's share.
    pub fn charge(&mut self, now: f64) -> bool {
        let burst = (self.ops_per_ms * 1000.0).max(1.0);
        self.tokens = (self.tokens + (now - self.refilled_at) * self.ops_per_ms).min(burst);
        self.refilled_at = now;
        let is_over_share = self.tokens < 1.0;
        self.tokens -= if is_over_share { 0.0 } else { 1.0 };
        is_over_share
    }
}

/// The most frequent of a stream of values, by a running majority vote.
#[derive(Default)]
pub struct MajorityValue {
    pub value: f64,
    pub votes: i32,
}

impl MajorityValue {
    /// True if the value equals the most frequent one within the tolerance. Only a value that can vote may
    /// change which one is the most frequent.
    pub fn observe(&mut self, value: f64, tolerance: f64, can_vote: bool) -> bool {
        let is_majority = (value - self.value).abs() < tolerance;
        if can_vote {
            self.votes += if is_majority { 1 } else { -1 };
        }
        if self.votes < 0 {
            (self.value, self.votes) = (value, 1);
        }
        is_majority
    }
}
