//! Shapes the policy keeps and plain mechanics on them; no choices here.

use crate::{Ending, HostState, OpId, OpTypeSpec, PeerReport, PolicyOptions};
use std::collections::{HashMap, VecDeque, hash_map::DefaultHasher};
use std::hash::{Hash, Hasher};

/// What the policy derives from a deployment's terms at start; times in ms.
#[derive(Default)]
pub struct PolicyParams {
    pub zone_count: usize,
    pub zone: usize,
    pub tick_ms: f64,
    /// Answers are given this long before the client's time is up.
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
    /// Cold budget: work allowed in a window, as a multiple of present capacity times one ms.
    pub overload_window_ms: f64,
    pub cold_budget_multiple: f64,
    pub max_cold_load_factor: f64,
    /// Reads try replicas that were behind, instead of probes.
    pub trial_reads_replace_probes: bool,
    /// Replicas of a group to which connections are kept before others are opened.
    pub preferred_connected_replicas: usize,
    /// Ops a ms that all tenants may ask of one router within their shares.
    pub quota_ops_per_ms: f64,
    /// Ops in flight that a host starts with from here.
    pub initial_limit: f64,
    /// Least bound of any op type's data.
    pub min_staleness_bound_ms: f64,
    /// Hosts turn away reads for which they are too far behind.
    pub hosts_reject_stale_reads: bool,
    pub track_session_writes: bool,
}

impl From<&PolicyOptions> for PolicyParams {
    /// Takes over what needs no choice.
    fn from(terms: &PolicyOptions) -> PolicyParams {
        PolicyParams {
            zone_count: terms.zone_count,
            zone: terms.zone,
            over_share_value: terms.over_share_value,
            max_sends: terms.max_sends,
            max_outstanding_sends: if terms.may_hedge { 2 } else { 1 },
            may_withdraw: terms.may_withdraw,
            may_probe: terms.may_probe,
            max_retry_after_ms: terms.max_retry_after_ms,
            drain_grace_ms: terms.drain_grace_ms,
            gone_is_binding: terms.gone_is_binding,
            list_poll_interval_ms: terms.list_poll_interval_ms,
            cold_capacity_share: terms.cold_capacity_share.clamp(0.01, 1.0),
            warmup_ms: terms.warmup_ms.max(1.0),
            overload_window_ms: terms.overload_window_ms,
            hosts_reject_stale_reads: terms.hosts_reject_stale_reads,
            track_session_writes: terms.track_session_writes,
            ..PolicyParams::default()
        }
    }
}

/// All that is known of one database host.
#[derive(Clone, Debug)]
pub struct Host {
    pub group: usize,
    pub zone: usize,
    pub state: HostState,
    /// Number of the last list or change that named it.
    pub list_revision: u64,
    /// When this router was told that the host drains or is gone; infinite while it is ready.
    pub unready_since: f64,
    /// Was ever seen listed as draining since it last was ready.
    pub has_drained: bool,
    pub capacity: f64,
    pub started_at: f64,
    /// Latest time at which the host is known to have been primary; -inf without a standing claim.
    pub primary_seen_at: f64,
    /// Claims up to here are void: a write failed or missed since.
    pub primary_cleared_at: f64,
    pub is_listed_primary: bool,
    /// Was primary, and no answer has said otherwise: a read there is excused.
    pub is_freshness_exempt: bool,
    /// When others last saw it as primary.
    pub peer_primary_seen_at: f64,
    /// When the host last said that it is a replica.
    pub replica_seen_at: f64,
    pub position: f64,
    pub position_at: f64,
    /// Read latency average, as a multiple of what its ops usually take.
    pub latency_ratio: f64,
    pub latency_samples: u32,
    pub is_ejected: bool,
    pub next_trial_at: f64,
    /// Average of latency over latency target.
    pub congestion: f64,
    pub in_flight_limit: f64,
    pub in_flight_weight: f64,
    pub in_flight: Vec<InFlightSend>,
    pub last_response_at: f64,
    pub is_unresponsive: bool,
    pub down_since: f64,
    /// How long the last failed connection took that no probe has explained yet; 0 for none.
    pub failed_connect_ms: f64,
    /// Connections held open, in use or idle.
    pub open_connections: usize,
    pub rotation_position: f64,
    pub is_probe_in_flight: bool,
    pub last_probe_at: f64,
    /// When a probe's connection was last reset.
    pub probe_reset: RecentEvent,
    /// Work sent lately, for the cold budget: (when, ms of work).
    pub recent_sends: VecDeque<(f64, f64)>,
}

/// One outstanding send, as its host's record sees it.
#[derive(Clone, Debug)]
pub struct InFlightSend {
    pub op_slot: usize,
    pub send_index: usize,
    pub sent_at: f64,
    pub usual_ms: f64,
    pub weight: f64,
    /// A read that fell back to the primary.
    pub is_fallback: bool,
    /// It had to open a connection.
    pub opens_connection: bool,
}

impl Host {
    pub fn new(group: usize, limit: f64) -> Host {
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
            in_flight_limit: limit,
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
    pub fn record_work(&mut self, now: f64, work: f64, since: f64) {
        self.recent_sends.retain(|(at, _)| *at > since);
        self.recent_sends.push_back((now, work));
    }

    pub fn recent_work(&self, since: f64) -> f64 {
        self.recent_sends.iter().filter(|(at, _)| *at > since).map(|(_, work)| work).sum()
    }

    /// Where it has been started anew: what was believed of the old process is void, but not its position.
    pub fn record_start(&mut self, started: f64, limit: f64) {
        if started.is_finite() && started > self.started_at + 1.0 {
            self.in_flight_limit = self.in_flight_limit.min(limit);
            (self.started_at, self.is_unresponsive, self.down_since) = (started, false, f64::INFINITY);
            self.primary_seen_at =
                if self.primary_seen_at < started { f64::NEG_INFINITY } else { self.primary_seen_at };
        }
    }

    /// Notes what others say; true where it is a reason to look. How far behind it is counts only where hosts check
    /// reads themselves: else it would stand for freshness.
    pub fn record_peer_report(&mut self, now: f64, peer_fact: PeerReport, checked: bool) -> bool {
        match peer_fact {
            PeerReport::Primary { at } => {
                self.peer_primary_seen_at = self.peer_primary_seen_at.max(at.min(now))
            }
            PeerReport::ReplicaLag { lag_ms: ms, at } if checked && at > self.position_at && at <= now => {
                (self.position, self.position_at) = (self.position.max(at - ms.max(0.0)), at);
            }
            PeerReport::ReplicaLag { .. } | PeerReport::Unresponsive => {}
        }
        peer_fact == PeerReport::Unresponsive
    }

    /// When others last saw it as primary, where it is there and has not shown since that it is none; else -inf.
    pub fn peer_primary_hint(&self) -> f64 {
        let there = self.state == HostState::Ready && !self.is_unresponsive;
        let stands = there && self.peer_primary_seen_at > self.replica_seen_at.max(self.primary_cleared_at);
        if stands { self.peer_primary_seen_at } else { f64::NEG_INFINITY }
    }

    /// No longer taken for a primary by what was said up to then.
    pub fn clear_primary(&mut self, until: f64) {
        (self.primary_seen_at, self.is_listed_primary, self.primary_cleared_at) =
            (f64::NEG_INFINITY, false, until);
    }

    /// Ejected, in contact, and due to prove itself.
    pub fn is_trial_due(&self, now: f64) -> bool {
        self.is_ejected && !self.is_unresponsive && self.next_trial_at <= now
    }

    /// In contact and not ejected.
    pub fn is_in_rotation(&self) -> bool {
        !self.is_unresponsive && !self.is_ejected
    }

    /// Open connections that no send is using.
    pub fn idle_connections(&self) -> usize {
        self.open_connections.saturating_sub(self.in_flight.iter().filter(|o| !o.opens_connection).count())
    }

    /// A host that spoke keeps the connection; one withdrawn or broken on its way closes it.
    pub fn record_connection(&mut self, heard: bool, dialled: bool) {
        match (heard, dialled) {
            (true, true) => self.open_connections += 1,
            (false, false) => self.open_connections = self.open_connections.saturating_sub(1),
            _ => {}
        }
    }

    /// Whether the op is out on a connection that was open before it.
    pub fn uses_open_connection(&self, op: usize) -> bool {
        self.in_flight.iter().any(|o| o.op_slot == op && !o.opens_connection)
    }

    /// Takes back an outstanding send, with the load as it was with it.
    pub fn remove_in_flight(&mut self, op: usize, sent: f64) -> Option<(InFlightSend, f64)> {
        let i = self.in_flight.iter().position(|o| o.op_slot == op && o.sent_at == sent)?;
        let (o, load) = (self.in_flight.swap_remove(i), self.in_flight_weight);
        self.in_flight_weight = if self.in_flight.is_empty() { 0.0 } else { (load - o.weight).max(0.0) };
        Some((o, load))
    }
}

/// One send of an op.
#[derive(Clone, Debug)]
pub struct Send {
    pub host: usize,
    pub sent_at: f64,
    pub ending: Option<Ending>,
    pub is_withdrawn: bool,
    /// No answer is expected any more.
    pub is_lost: bool,
}

impl Send {
    pub fn may_have_run(&self) -> bool {
        self.ending.is_none_or(|e| !e.cannot_have_run())
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
    /// When its first try is taken to have come.
    pub first_try_at: f64,
    pub target_at: f64,
    pub give_up_at: f64,
    pub min_position: f64,
    pub value: f64,
    pub is_over_share: bool,
    /// Taken for a first try.
    pub is_first_try: bool,
    /// Random drawn once, by which the op is let through or not where only a share is.
    pub admission_draw: f64,
    /// Counted among the reads that would fall back to the primary.
    pub is_counted_as_fallback: bool,
    /// Counted among what its group is asked for.
    pub is_counted_as_demand: bool,
    pub sends: Vec<Send>,
    pub is_answered: bool,
    pub is_held: bool,
    /// Not to be tried again before this time.
    pub retry_not_before: f64,
}

impl Op {
    pub fn outstanding(&self) -> usize {
        self.sends.iter().filter(|s| s.ending.is_none()).count()
    }
}

/// Ops by slot; slots are reused once an op and all its sends are over.
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

    /// Frees the slot if the op is answered and nothing of it is out.
    pub fn remove_if_finished(&mut self, slot: usize) {
        if self.slots[slot].as_ref().is_some_and(|op| op.is_answered && op.outstanding() == 0) {
            let op = self.slots[slot].take().expect("just seen");
            self.by_id.remove(&op.id);
            self.free_slots.push(slot);
        }
    }
}

/// A group of hosts that hold the same data.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub members: Vec<usize>,
    pub held_ops: Vec<usize>,
    /// The one write that looks for the primary.
    pub discovery_write: Option<usize>,
    /// Since when no primary is known; infinite while one is.
    pub no_primary_since: f64,
    pub next_candidate: usize,
    /// Work that went to the primary as it must, and work of reads that found no replica.
    pub primary_work: DecayingSum,
    pub fallback_work: DecayingSum,
    /// Share of reads let through to idle replicas, as they all fare.
    pub idle_admission_share: f64,
    /// Work that this router is asked for: reads that replicas may take, and what must go to the primary.
    pub demand: [Rate; 2],
}

impl Group {
    /// Notes whether a primary is known; a line where that has changed and ops wait or waited for it.
    pub fn record_primary_known(&mut self, now: f64, lost: bool) -> Option<String> {
        if lost && !self.held_ops.is_empty() && self.no_primary_since == f64::INFINITY {
            self.no_primary_since = now;
            return Some(format!("has no known primary, {} ops held", self.held_ops.len()));
        }
        if lost || self.no_primary_since == f64::INFINITY {
            return None;
        }
        let gone = now - std::mem::replace(&mut self.no_primary_since, f64::INFINITY);
        Some(format!("has a primary again after {gone:.0} ms"))
    }
}

/// Work a ms, averaged over some seconds; where no time counts it stays as it is.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    work: DecayingSum,
    elapsed_ms: DecayingSum,
}

impl Rate {
    pub fn add(&mut self, now: f64, work: f64, span: f64, fade: f64) {
        self.work.add(now, work, fade);
        self.elapsed_ms.add(now, span, fade);
    }

    /// 0 while no time has counted.
    pub fn per_ms(&self) -> f64 {
        if self.elapsed_ms.value > 0.0 { self.work.value / self.elapsed_ms.value } else { 0.0 }
    }
}

/// What this router is asked for in all: work for replicas and work for primaries, and that of first tries.
#[derive(Default)]
pub struct Demand {
    pub rates: [Rate; 2],
    first_tries: DecayingSum,
    first_try_work: [DecayingSum; 2],
}

impl Demand {
    /// Notes an op; the rates fade sooner than the work of first tries.
    pub fn add(&mut self, now: f64, which: usize, work: f64, first: bool, fades: (f64, f64)) {
        self.rates[which].add(now, work, 0.0, fades.0);
        let first = if first { 1.0 } else { 0.0 };
        self.first_tries.add(now, first, fades.1);
        self.first_try_work[which].add(now, work * first, fades.1);
        self.first_try_work[1 - which].add(now, 0.0, fades.1);
    }

    /// Mean work of that kind in a first try of any kind; no number before the first.
    pub fn mean_first_try_work(&self, which: usize) -> f64 {
        self.first_try_work[which].value / self.first_tries.value
    }
}

/// A sum whose parts fade with time.
#[derive(Clone, Debug, Default)]
pub struct DecayingSum {
    pub value: f64,
    updated_at: f64,
}

impl DecayingSum {
    pub fn add(&mut self, now: f64, amount: f64, fade: f64) {
        self.value = self.value * ((self.updated_at - now) / fade).exp() + amount;
        self.updated_at = now;
    }
}

/// Groups are made as they are first named.
pub fn ensure_group(groups: &mut Vec<Group>, group: usize) {
    while groups.len() <= group {
        groups.push(Group { no_primary_since: f64::INFINITY, idle_admission_share: 1.0, ..Group::default() });
    }
}

/// Puts an op among its group's held ones.
pub fn hold_op(ops: &mut OpTable, groups: &mut [Group], slot: usize) {
    let op = ops.get_mut(slot);
    if !std::mem::replace(&mut op.is_held, true) {
        groups[op.group].held_ops.push(slot);
    }
}

/// Marks an op as answered; its group no longer waits for it.
pub fn mark_answered(ops: &mut OpTable, groups: &mut [Group], slot: usize) {
    let op = ops.get_mut(slot);
    op.is_answered = true;
    let group = &mut groups[op.group];
    if std::mem::take(&mut op.is_held) {
        group.held_ops.retain(|s| *s != slot);
    }
    group.discovery_write = group.discovery_write.filter(|s| *s != slot);
}

/// Has every op given up by then at the latest.
pub fn cap_give_up_at(ops: &mut OpTable, by: f64) {
    for op in ops.slots.iter_mut().flatten() {
        op.give_up_at = op.give_up_at.min(by);
    }
}

/// Enters a host in the group that the list names, out of the one it was in.
pub fn assign_group(groups: &mut Vec<Group>, h: &mut Host, host: usize, group: usize) {
    ensure_group(groups, group);
    if h.group != group {
        let old = std::mem::replace(&mut h.group, group);
        move_member(groups, host, old, group);
    }
}

/// Moves a host from one group to another; a group that was never entered holds nobody.
pub fn move_member(groups: &mut [Group], host: usize, from: usize, to: usize) {
    if let Some(group) = groups.get_mut(from) {
        group.members.retain(|m| *m != host);
    }
    if let Some(group) = groups.get_mut(to) {
        group.members.push(host);
    }
}

/// Whether a host is gone and nothing that is out names it.
pub fn is_host_releasable(ops: &OpTable, h: &Host, host: usize) -> bool {
    let named = |op: &Op| op.sends.iter().any(|s| s.host == host);
    h.state == HostState::Gone
        && h.in_flight.is_empty()
        && !h.is_probe_in_flight
        && !ops.slots.iter().flatten().any(named)
}

/// Makes a host's record as new; its group lets it go.
pub fn reset_host(groups: &mut [Group], hosts: &mut [Host], host: usize, limit: f64) -> bool {
    let old = std::mem::replace(&mut hosts[host], Host::new(usize::MAX, limit));
    move_member(groups, host, old.group, usize::MAX);
    true
}

/// Tells whether something has happened a short time ago already.
#[derive(Clone, Debug, Default)]
pub struct RecentEvent(Option<f64>);

impl RecentEvent {
    pub fn recurs_within(&mut self, now: f64, ms: f64) -> bool {
        self.0.replace(now).is_some_and(|at| now - at < ms)
    }
}

/// Commits of sessions, forgotten by age; what is forgotten leaves a floor that covers it.
#[derive(Default)]
pub struct SessionCommits {
    by_session: HashMap<u64, f64>,
    by_age: VecDeque<(u64, f64)>,
    floor: Option<f64>,
}

impl SessionCommits {
    pub fn add(&mut self, session: u64, commit: f64, keep_from: f64) {
        let last = self.by_session.entry(session).or_insert(commit);
        *last = last.max(commit);
        self.by_age.push_back((session, commit));
        while let Some(&(old, at)) = self.by_age.front().filter(|(_, at)| *at < keep_from) {
            self.by_age.pop_front();
            self.floor = Some(self.floor.map_or(at, |f| f.max(at)));
            if self.by_session.get(&old).is_some_and(|last| *last <= at) {
                self.by_session.remove(&old);
            }
        }
    }

    pub fn latest(&self, session: u64) -> f64 {
        let known = self.by_session.get(&session).copied();
        known.or(self.floor).unwrap_or(f64::NEG_INFINITY)
    }
}

/// Random from the standard hasher over a seed and a counter; in [0, 1).
#[derive(Default)]
pub struct Random {
    pub seed: u64,
    pub count: u64,
}

impl Random {
    pub fn next_f64(&mut self) -> f64 {
        self.count += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.count).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Moves an average towards a value.
pub fn update_average(average: &mut f64, value: f64, weight: f64) {
    *average += (value - *average) * weight;
}

/// The middle value (the lower of two); none of nothing.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// An op that was given up here, and when its client was told to come back; -inf where it was not told.
struct GivenUpOp {
    given_up_at: f64,
    op_type: usize,
    group: usize,
    first_try_at: f64,
    retry_at: f64,
    /// One like it has come since, which told how long its client took if that was it.
    is_gap_sampled: bool,
}

/// Ops given up here lately: by them their repeats are known where clients come back to the router they left.
pub struct RetryMatcher {
    given_up: VecDeque<GivenUpOp>,
    /// How long after they are given up those come back that keep to no time they were told.
    retry_gap: MajorityValue,
    /// The part of those given up of whose kind and group one came just when they would come back.
    match_rate: f64,
    /// That is more than chance brings: clients come back to the router that gave them up.
    pub clients_return: bool,
}

impl Default for RetryMatcher {
    /// One or two that come just in time are enough where chance hardly brings any: some routers see an op a second.
    fn default() -> RetryMatcher {
        let (gone, gap) = (VecDeque::new(), MajorityValue::default());
        RetryMatcher {
            given_up: gone,
            retry_gap: gap,
            match_rate: RetryMatcher::MIN_EXCESS_MATCHES,
            clients_return: false,
        }
    }
}

impl RetryMatcher {
    /// Ops are remembered for so many ms, and so many of them at most.
    const RETENTION_MS: f64 = 1000.0;
    const MAX_OPS: usize = 128;
    /// Votes by which the commonest gap must lead to be trusted.
    const MIN_GAP_VOTES: i32 = 2;
    const MATCH_SMOOTHING: f64 = 0.1;
    const MIN_EXCESS_MATCHES: f64 = 0.3;

    pub fn record_given_up(&mut self, now: f64, op: &Op, wait: f64) {
        if self.given_up.len() == Self::MAX_OPS {
            self.given_up.pop_front();
            update_average(&mut self.match_rate, 0.0, Self::MATCH_SMOOTHING);
        }
        let told = if wait > 0.0 { now + wait } else { f64::NEG_INFINITY };
        let (at, kind, group, begun) = (now, op.op_type, op.group, op.first_try_at);
        self.given_up.push_back(GivenUpOp {
            given_up_at: at,
            op_type: kind,
            group,
            first_try_at: begun,
            retry_at: told,
            is_gap_sampled: false,
        });
    }

    /// When the first try came of an op that arrives now, where that is known: its client comes back at once, after
    /// the common gap or when it was told to, to within a beat, or says that it does. `rate` is how many of its kind
    /// and group come in a ms.
    pub fn match_retry(
        &mut self,
        now: f64,
        (kind, group): (usize, usize),
        says: Option<bool>,
        rate: f64,
        beat: f64,
    ) -> Option<f64> {
        while self.given_up.front().is_some_and(|g| now - g.given_up_at > Self::RETENTION_MS) {
            self.given_up.pop_front();
            update_average(&mut self.match_rate, 0.0, Self::MATCH_SMOOTHING);
        }
        let gap = if self.retry_gap.votes >= Self::MIN_GAP_VOTES { self.retry_gap.value } else { 0.0 };
        let due = |g: &GivenUpOp| [g.retry_at, g.given_up_at, g.given_up_at + gap];
        let off = |g: &GivenUpOp| {
            due(g).map(|d| (now - d - 0.5 * beat).abs()).into_iter().fold(f64::INFINITY, f64::min)
        };
        let like = |g: &GivenUpOp| g.op_type == kind && g.group == group && says != Some(false);
        let found = (0..self.given_up.len()).filter(|i| like(&self.given_up[*i]));
        let found = found.min_by(|a, b| off(&self.given_up[*a]).total_cmp(&off(&self.given_up[*b])))?;
        let just = off(&self.given_up[found]) <= beat;
        let (chance, begun) = (
            1.0 - (-rate * 2.0 * beat * due(&self.given_up[found]).len() as f64).exp(),
            self.given_up[found].first_try_at,
        );
        if let Some(last) = self.given_up.iter_mut().rfind(|g| like(g)).filter(|g| !g.is_gap_sampled) {
            last.is_gap_sampled = true;
            if !just || gap > 0.0 {
                self.retry_gap.observe(now - last.given_up_at, beat, true);
            }
        }
        if !(just || self.clients_return && says == Some(true)) {
            return None;
        }
        update_average(&mut self.match_rate, 1.0, Self::MATCH_SMOOTHING);
        self.clients_return = self.match_rate > chance + Self::MIN_EXCESS_MATCHES;
        self.given_up.remove(found);
        self.clients_return.then_some(begun)
    }
}

/// What a stage does with an op.
pub enum StageOutcome {
    Continue,
    Hold,
    Reject,
}

/// One op on its way down the chain.
pub struct SendAttempt {
    pub now: f64,
    pub slot: usize,
    pub host: usize,
    pub is_trial: bool,
    /// A read that falls back to the primary.
    pub is_fallback: bool,
    /// Hosts that the op would have probed.
    pub hosts_to_probe: Vec<usize>,
}

/// One ended send on its way up the chain.
pub struct SendResult {
    pub now: f64,
    pub slot: usize,
    pub host: usize,
    pub sent_at: f64,
    pub ending: Ending,
}

/// An op type with what is learned of it.
pub struct OpType {
    pub spec: OpTypeSpec,
    /// What answers usually take, and what sends do with those that were not waited for to their end.
    pub usual_ms: f64,
    pub send_ms: f64,
    pub client_timeout: MajorityValue,
    /// How old first tries are when they are given up.
    pub give_up_age_ms: f64,
    /// First tries given up lately, halved every op timeout.
    pub recent_give_ups: f64,
    pub recent_give_ups_at: f64,
    /// Ops that came lately.
    pub arrivals: DecayingSum,
}

impl OpType {
    pub fn new(usual: f64, now: f64, facts: OpTypeSpec) -> OpType {
        let patience = MajorityValue::default();
        OpType {
            spec: facts,
            usual_ms: usual,
            send_ms: usual,
            client_timeout: patience,
            give_up_age_ms: 0.0,
            recent_give_ups: 0.0,
            recent_give_ups_at: now,
            arrivals: DecayingSum::default(),
        }
    }
    /// Notes how long a send was waited for; `well`: its host is in the rotation. Neither average goes past
    /// the part of the target that is late: made longer by a stall, it would stay, as no op would be sent to
    /// learn better.
    pub fn record_send_time(&mut self, spent: f64, ending: Ending, well: bool, weight: f64, late: f64) {
        let most = late * self.spec.latency_target_ms;
        if ending == Ending::Acked && well {
            let bounded = spent.min(5.0 * self.usual_ms).max(1.0);
            update_average(&mut self.usual_ms, bounded, weight);
            self.usual_ms = self.usual_ms.min(most);
        }
        // What was not waited for to its end would have taken longer still: left out, only quick answers
        // would count.
        let rest = if ending == Ending::Acked { 0.0 } else { self.send_ms };
        if matches!(ending, Ending::Acked | Ending::Withdrawn | Ending::TimedOut) {
            update_average(&mut self.send_ms, spent + rest, weight);
            self.send_ms = self.send_ms.min(most);
        }
    }
}

/// Ops a tenant may still send within its share.
pub struct TenantShare {
    pub ops_per_ms: f64,
    pub tokens: f64,
    pub refilled_at: f64,
}

impl TenantShare {
    /// Takes one op; true where it goes beyond the share.
    pub fn charge(&mut self, now: f64) -> bool {
        let most = (self.ops_per_ms * 1000.0).max(1.0);
        self.tokens = (self.tokens + (now - self.refilled_at) * self.ops_per_ms).min(most);
        self.refilled_at = now;
        let over = self.tokens < 1.0;
        self.tokens -= if over { 0.0 } else { 1.0 };
        over
    }
}

/// The commonest of many values, by a running majority vote.
#[derive(Default)]
pub struct MajorityValue {
    pub value: f64,
    pub votes: i32,
}

impl MajorityValue {
    /// True where the value is the commonest one, within a band; it is counted if it may vote.
    pub fn observe(&mut self, value: f64, band: f64, votes: bool) -> bool {
        let same = (value - self.value).abs() < band;
        if votes {
            self.votes += if same { 1 } else { -1 };
        }
        if self.votes < 0 {
            (self.value, self.votes) = (value, 1);
        }
        same
    }
}
