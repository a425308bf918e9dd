//! All decisions of magpiewell. The interface (ids, facts, `Outbox`) stands in lib.rs, shapes in state.rs.
//!
//! One `Policy` serves one router. The adapter calls `op_arrived`, `ended`, `told`, `probed`, `listed`, ...
//! with what happened, and `woken` on every beat. An op runs down `STAGES`; each stage passes it on, keeps it
//! in its group's held ops or ends it. What comes back from a host runs the chain upwards.
//!
//! The design: writes and fresh reads go to the probed, cached primary; other reads rotate over replicas
//! known to be fresh enough; one whose latency average exceeds RHO times the median leaves the rotation.
//!
//! Mechanisms beside it, at most six:
//! 1. scout: while no primary is known, one write a group looks for it and the others are held
//! 2. silence: failed contact sets a host aside before the list does, sends it overtook are lost; ops move on
//! 3. proof: who is ejected gets single reads until it is no outlier any more; a group's median is
//!    held against the fleet's, so that a lifted one shows
//! 4. connections: a probe tells why one failed; kept if slow to open, closed if few are taken, few if dear
//! 5. pace: work in flight on a host, the shares let through to an idle one and to a group's and the shares of
//!    reads that spill onto a primary or leave the router's zone follow what comes back in time; ops are held
//!    briefly, then shed, and so is the part that the router's own processor time can't carry; repeats are
//!    dated by when they come back or by their patience, and not sent past their first try's target
//! 6. cold share: a host that came back gets no more than its least possible capacity allows, of ops whose turn
//!    it is; where the part of one router is under an op, chance lets through what all together may send

use crate::state::{
    self, Demand, Group, Host, InFlightSend, Op, OpTable, OpType, PolicyParams, Random, Rate, RecentEvent,
    RetryMatcher, Send, SendAttempt, SendResult, SessionCommits, StageOutcome, TenantShare, median,
    update_average,
};
use crate::{
    Consistency, Ending, HostEntry, HostState, OpId, OpRequest, OpTypeSpec, Outbox, PeerReport,
    PolicyOptions, Retryability, Role,
};

/// Outlier factor of the design.
const OUTLIER_FACTOR: f64 = 2.0;
/// Weight of one read in a host's latency average, and of a trial read.
const LATENCY_SMOOTHING: f64 = 0.05;
const TRIAL_SMOOTHING: f64 = 0.35;
/// Reads before an average counts.
const MIN_LATENCY_SAMPLES: u32 = 20;
/// A host is probed at most this often, and only if an op needs what a probe tells.
const PROBE_INTERVAL_MS: f64 = 250.0;
/// Hosts that one read asks for their position where none is known to be fresh enough; and, where connections
/// are charged for, replicas of a group that have some before others get any.
const HOST_SUBSET_SIZE: usize = 2;
/// The usual latency of an op type starts as this part of its target and is learned with this weight.
const INITIAL_LATENCY_SHARE: f64 = 0.2;
const USUAL_LATENCY_SMOOTHING: f64 = 0.02;
/// A send later than this multiple of its usual latency counts as lost if others were heard since.
const LOST_SEND_FACTOR: f64 = 4.0;
/// Ops in flight that a host starts with, over all routers, and the least that a limit in flight can be.
const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 1.0;
/// Answers past this part of their target, on average, cut a limit; it is measured anew from this strain.
const CONGESTED_TARGET_SHARE: f64 = 0.33;
const CONGESTION_AFTER_CUT: f64 = 0.75;
const LIMIT_CUT: f64 = 0.85;
const CONGESTION_SMOOTHING: f64 = 0.1;
/// Reads stay in their zone until its replicas would do so much of their part of the group's work, and but for the
/// part by which one is strained beyond one less than this; of what comes by, a strained one keeps at least so much.
const LOCAL_ZONE_MAX_LOAD: f64 = 1.5;
const LOCAL_ZONE_MAX_CONGESTION: f64 = 2.0;
const LOCAL_ZONE_MIN_SHARE: f64 = 0.25;
/// Reads that fall back to a primary may at first, and at most, add this part to the work that must go there.
const INITIAL_FALLBACK_RATIO: f64 = 0.5;
const MAX_FALLBACK_RATIO: f64 = 4.0;
/// More than one replica takes long reads while this part of all lags by less than that part of any bound.
const MIN_CAUGHT_UP_SHARE: f64 = 0.5;
const CAUGHT_UP_BOUND_SHARE: f64 = 0.3;
/// More replicas take long reads after each late one, fewer after each other: in balance a tenth is late.
const LONG_READ_WIDEN: f64 = 1.5;
const LONG_READ_NARROW: f64 = 0.95;
/// An answer past this part of its target is late: it cuts what may spill, and the share let through to the
/// host if it is idle; any other raises them, and a second's time the share, which has a least. What a group's
/// replicas let through together is cut more gently, as it is told more often.
const LATE_TARGET_SHARE: f64 = 0.7;
const SHARE_CUT: f64 = 0.5;
const GROUP_SHARE_CUT: f64 = 0.7;
const SHARE_RISE: f64 = 1.25;
const IDLE_SHARE_RECOVERY: f64 = 1.1;
const MIN_SHARE: f64 = 0.1;
/// How long what was seen of a group's work, or of connections, counts; and of what comes here in all.
const RETENTION_MS: f64 = 10_000.0;
const DEMAND_WINDOW_MS: f64 = 3000.0;
/// Part of the spare time (target less usual latency) for which an op waits for room.
const HOLD_SHARE: f64 = 0.4;
/// Votes by which the commonest patience must lead to be trusted.
const MIN_TIMEOUT_VOTES: i32 = 8;
/// Patience within this part of the op timeout counts as the same.
const TIMEOUT_TOLERANCE: f64 = 0.005;
/// Weight from which an op type counts as long.
const LONG_OP_WEIGHT: f64 = 2.5;
/// A connection that failed after this long was slow to open; before it, refused.
const SLOW_CONNECT_MS: f64 = 50.0;
/// Part of the cold budget that is used, and that chance uses, as more than a host can do is seldom served in
/// time; it decides up to so many ops a window.
const COLD_BUDGET_SHARE: f64 = 0.9;
const COLD_DRAW_SHARE: f64 = 0.6;
const THIN_DEMAND_OPS: f64 = 4.0;
/// Rates are noted this often, a failed list is asked again after about it, and contact lost for longer means
/// a restart, so that the host comes back cold.
const SECOND_MS: f64 = 1000.0;
/// Probes of a host that is down or far behind move apart up to this.
const MAX_PROBE_INTERVAL_MS: f64 = 4000.0;

type ForwardStage = fn(&mut Policy, &mut SendAttempt) -> StageOutcome;
type ResultStage = fn(&mut Policy, &SendResult);
const STAGES: [(ForwardStage, ResultStage); 5] = [
    (Policy::admit, Policy::learn_send_time),
    (Policy::route_to_primary, Policy::update_primary),
    (Policy::route_to_replica, Policy::update_latency),
    (Policy::limit_in_flight, Policy::update_limits),
    (Policy::enforce_rules, Policy::record_commit),
];

#[derive(Default)]
pub struct Policy {
    /// What was derived from the terms at start, and the part of reads that each zone's routers bring.
    params: PolicyParams,
    pub zone_read_shares: Vec<f64>,
    op_types: Vec<OpType>,
    tenant_shares: Vec<TenantShare>,
    hosts: Vec<Host>,
    groups: Vec<Group>,
    /// Replicas of each group that take long reads.
    long_read_replicas: f64,
    /// Work that reads may add to a primary, as a part of what must go there.
    fallback_ratio: f64,
    /// Share of ops that the router itself can carry, and the time to come back that others are told.
    admission: (f64, f64),
    ops: OpTable,
    session_commits: SessionCommits,
    retry_matcher: RetryMatcher,
    random: Random,
    /// The clock as last told, and until when connections are taken to be slow to open or few.
    now: f64,
    slow_connect_until: f64,
    scarce_connections_until: f64,
    connection_refused: RecentEvent,
    rates_updated_at: f64,
    /// Work that warm hosts of size 1 do for this router, as replicas and as primaries, and what it is asked.
    warm_rates: [Rate; 2],
    demand: Demand,
    /// What cold hosts are sent, against what they should be able to do, as it fares.
    cold_load_factors: [f64; 2],
    poll_list_at: f64,
    /// An answer, a probe or a list has come since averages were last compared.
    is_outlier_check_due: bool,
    is_list_full: bool,
    list_revision: u64,
}

impl Policy {
    pub fn new(terms: PolicyOptions, seed: u64, now: f64, out: &mut dyn Outbox) -> Policy {
        let beat = terms.tick_ms.max(5.0);
        let share = |rate: &f64| TenantShare {
            ops_per_ms: rate / terms.routers / 1000.0,
            tokens: 1.0,
            refilled_at: now,
        };
        let shares = terms.tenant_rates.iter().map(share).collect();
        let typed =
            |facts: OpTypeSpec| OpType::new(facts.latency_target_ms * INITIAL_LATENCY_SHARE, now, facts);
        let bounded = |t: &&OpTypeSpec| t.consistency == Consistency::Bounded;
        let fixed = PolicyParams {
            tick_ms: beat,
            reply_margin_ms: 2.0 * beat,
            preferred_connected_replicas: if terms.connection_price > terms.cross_zone_price {
                HOST_SUBSET_SIZE
            } else {
                usize::MAX
            },
            trial_reads_replace_probes: terms.hosts_reject_stale_reads
                && terms.probe_price > terms.cross_zone_price,
            cold_budget_multiple: terms.overload_multiple * COLD_BUDGET_SHARE,
            max_cold_load_factor: terms.overload_multiple * COLD_DRAW_SHARE,
            quota_ops_per_ms: terms.tenant_rates.iter().sum::<f64>() / terms.routers / 1000.0,
            initial_limit: (INITIAL_LIMIT / terms.routers).max(MIN_LIMIT),
            min_staleness_bound_ms: terms
                .op_types
                .iter()
                .filter(bounded)
                .map(|t| t.staleness_bound_ms)
                .fold(f64::INFINITY, f64::min),
            ..PolicyParams::from(&terms)
        };
        let brings = vec![1.0 / fixed.zone_count.max(1) as f64; fixed.zone_count.max(1)];
        let (types, chance) = (terms.op_types.into_iter().map(typed).collect(), Random { seed, count: 0 });
        let start = Policy {
            rates_updated_at: now,
            poll_list_at: f64::INFINITY,
            fallback_ratio: INITIAL_FALLBACK_RATIO,
            ..Policy::default()
        };
        let start = Policy {
            admission: (1.0, 0.0),
            cold_load_factors: [fixed.max_cold_load_factor; 2],
            long_read_replicas: 1.0,
            ..start
        };
        let mut policy = Policy {
            params: fixed,
            op_types: types,
            tenant_shares: shares,
            random: chance,
            zone_read_shares: brings,
            ..start
        };
        policy.poll_list(now, out);
        out.wake_after(policy.params.tick_ms);
        policy
    }

    /// The share of new ops that the router's own time carries, and in about how many ms the others may come back.
    pub fn set_admission(&mut self, share: f64, come_back: f64) {
        self.admission = (share, come_back);
    }

    fn poll_list(&mut self, now: f64, out: &mut dyn Outbox) {
        if let Some(every) = self.params.list_poll_interval_ms {
            out.watch_host_list();
            self.poll_list_at = now + every * 0.5;
        }
    }

    /// A list begins: whole or changes, as kept or from the service; `listed` calls follow, then `list_end`.
    pub fn list_started(&mut self, whole: bool, kept: bool) {
        self.poll_list_at = if kept { self.poll_list_at } else { f64::INFINITY };
        (self.is_list_full, self.list_revision) = (whole, self.list_revision + 1);
    }

    pub fn host_listed(&mut self, now: f64, host: usize, entry: HostEntry) {
        let HostEntry { group, state: phase, capacity: size, started_at: started, primary, zone } = entry;
        while self.hosts.len() <= host {
            // By chance, or all routers that start together begin with the same replica and move on together.
            let turn = self.random.next_f64() / if size > 0.0 { size } else { 1.0 };
            self.hosts
                .push(Host { rotation_position: turn, ..Host::new(usize::MAX, self.params.initial_limit) });
        }
        state::assign_group(&mut self.groups, &mut self.hosts[host], host, group);
        let h = &mut self.hosts[host];
        (h.list_revision, h.zone) = (self.list_revision, zone);
        h.capacity = if size.is_finite() && size > 0.0 { size } else { h.capacity };
        h.record_start(started, self.params.initial_limit);
        // Where gone alone does not bind, it proves nothing either: contact tells what is up.
        let alive = phase == HostState::Gone && !self.params.gone_is_binding && !h.has_drained;
        let phase = if alive { HostState::Ready } else { phase };
        h.unready_since = if phase == HostState::Ready { f64::INFINITY } else { h.unready_since.min(now) };
        h.state = phase;
        h.has_drained = phase == HostState::Draining || (h.has_drained && phase == HostState::Gone);
        h.is_listed_primary = primary;
        h.is_freshness_exempt |= primary && h.replica_seen_at == f64::NEG_INFINITY;
    }

    pub fn list_ended(&mut self, now: f64, out: &mut dyn Outbox) {
        self.is_outlier_check_due = true;
        let missing = |h: &&mut Host| self.is_list_full && h.list_revision != self.list_revision;
        for h in
            self.hosts.iter_mut().filter(missing).filter(|h| self.params.gone_is_binding || h.has_drained)
        {
            (h.state, h.unready_since) = (HostState::Gone, h.unready_since.min(now));
        }
        // A connection may open only after the grace.
        let leaving =
            |m: &usize| self.hosts[*m].state != HostState::Ready && !self.hosts[*m].in_flight.is_empty();
        (0..self.hosts.len()).filter(leaving).for_each(|m| out.cancel_unstarted(m));
        for group in 0..self.groups.len() {
            self.retry_held(now, out, group, false);
        }
    }

    /// True where a host has long been gone and nothing names it: its number may then be given to another.
    pub fn release_host(&mut self, now: f64, host: usize) -> bool {
        let (h, limit) = (&self.hosts[host], self.params.initial_limit);
        let over = now - h.unready_since > RETENTION_MS && state::is_host_releasable(&self.ops, h, host);
        over && state::reset_host(&mut self.groups, &mut self.hosts, host, limit)
    }

    /// A call failed or the watch broke, which one is not said: ask again soon, not all routers at once.
    pub fn list_failed(&mut self, now: f64) {
        self.poll_list_at = now + SECOND_MS * (0.5 + self.random.next_f64());
    }

    /// A host's role and position, from an answer (as of now) or from a report (some time old).
    pub fn host_reported(
        &mut self,
        now: f64,
        host: usize,
        role: Option<Role>,
        pos: Option<f64>,
        answer: bool,
    ) {
        let Some(h) = self.hosts.get_mut(host) else { return };
        let pos = pos.filter(|p| p.is_finite() && *p <= now);
        if let Some(p) = pos.filter(|p| *p >= h.position) {
            (h.position, h.position_at) = (p, now);
        }
        // An answer is of now (its rounded position made quick errors clear the primary). A report is dated
        // by its position: an old one cannot bring back what a write has since found wanting.
        let at = if answer { now } else { pos.unwrap_or(f64::NEG_INFINITY) };
        if role == Some(Role::Primary) && at > h.primary_cleared_at.max(h.primary_seen_at) {
            (h.primary_seen_at, h.is_freshness_exempt) = (at, true);
        } else if role == Some(Role::Replica) && (answer || at >= h.primary_seen_at) {
            h.clear_primary(if answer { now } else { h.primary_cleared_at });
            h.replica_seen_at = now;
            h.is_freshness_exempt &= !answer;
        }
    }

    pub fn probe_ended(&mut self, now: f64, out: &mut dyn Outbox, host: usize, ending: Ending, spent: f64) {
        let Some(h) = self.hosts.get_mut(host) else { return };
        (h.is_probe_in_flight, self.is_outlier_check_due) = (false, true);
        let group = h.group;
        if ending == Ending::Acked {
            // The host is up, so what failed before was its connections.
            match std::mem::take(&mut h.failed_connect_ms) {
                took if took > SLOW_CONNECT_MS => self.slow_connect_until = now + RETENTION_MS,
                // One alone may be a host that broke it; where few are taken the next is not far.
                took if took > 0.0 && self.connection_refused.recurs_within(now, SECOND_MS) => {
                    self.scarce_connections_until = now + RETENTION_MS
                }
                _ => {}
            }
            if h.down_since < f64::INFINITY {
                self.record_contact(now, out, host);
            }
        } else if ending == Ending::Reset && !h.probe_reset.recurs_within(now, PROBE_INTERVAL_MS) {
            // Its connection may have been closed as an op's was; a host that is down refuses the next one.
            self.probe_host(now, out, host);
        } else if ending.is_contact_failure() && h.last_response_at < now - spent {
            h.failed_connect_ms = 0.0;
            self.mark_unresponsive(now, out, host, "probe unanswered");
        }
        self.retry_held(now, out, group, false);
    }

    /// What other routers say: a direction, a probe spared, or a reason to look; never that a host is fresh or well.
    pub fn peer_reported(&mut self, now: f64, out: &mut dyn Outbox, host: usize, peer_fact: PeerReport) {
        let (checked, h) = (self.params.hosts_reject_stale_reads, &mut self.hosts[host]);
        if h.record_peer_report(now, peer_fact, checked)
            && h.last_response_at < now - PROBE_INTERVAL_MS
            && self.may_probe_host(now, host)
        {
            self.probe_host(now, out, host);
        }
    }

    fn record_contact(&mut self, now: f64, out: &mut dyn Outbox, host: usize) {
        let h = &mut self.hosts[host];
        h.last_response_at = now;
        if now - h.down_since > SECOND_MS && h.started_at < h.down_since {
            h.started_at = now;
        }
        h.down_since = f64::INFINITY;
        if h.is_unresponsive {
            h.is_unresponsive = false;
            out.log(&format!("host {host} answers again"));
        }
    }

    fn mark_unresponsive(&mut self, now: f64, out: &mut dyn Outbox, host: usize, why: &str) {
        let h = &mut self.hosts[host];
        h.down_since = h.down_since.min(now);
        if !std::mem::replace(&mut h.is_unresponsive, true) {
            out.log(&format!("host {host} set aside: {why}, {} out", h.in_flight.len()));
            out.contact_lost(host);
        }
    }

    pub fn op_arrived(&mut self, now: f64, out: &mut dyn Outbox, op: OpRequest) {
        let OpRequest {
            id,
            op_type: kind,
            group,
            tenant,
            session,
            client_timeout_ms: patience,
            since_write_ms: since_write,
            is_retry: repeat,
            extra_latency_ms: longer,
            op_timeout_ms: op_timeout,
        } = op;
        state::ensure_group(&mut self.groups, group);
        let over_share = self.tenant_shares.get_mut(tenant).is_some_and(|s| s.charge(now));
        let t = &mut self.op_types[kind];
        let patience = if patience.is_finite() { patience.max(0.0) } else { t.spec.latency_target_ms };
        // First tries have one patience, the commonest; another is what the op timeout leaves of a last try
        // and dates its first: past that one's target it is not worth sending. Where clients mark no repeats,
        // only as many ops are dated as were given up lately: clients that just lost patience are served.
        (t.recent_give_ups, t.recent_give_ups_at) =
            (t.recent_give_ups * 0.5f64.powf((now - t.recent_give_ups_at) / op_timeout), now);
        let same = t.client_timeout.observe(patience, TIMEOUT_TOLERANCE * op_timeout, repeat != Some(true));
        let first = same || repeat == Some(false);
        // Where clients come back to the router that gave them up, when they come tells whose try it is.
        t.arrivals.add(now, 1.0, DEMAND_WINDOW_MS);
        let rate = t.arrivals.value / DEMAND_WINDOW_MS / self.groups.len() as f64;
        let back = self.retry_matcher.match_retry(now, (kind, group), repeat, rate, self.params.tick_ms);
        let dated = !first
            && t.client_timeout.votes >= MIN_TIMEOUT_VOTES
            && (repeat.is_some() || t.recent_give_ups >= 1.0);
        if dated && repeat.is_none() {
            t.recent_give_ups -= 1.0;
        }
        let undated = if repeat == Some(true) { t.give_up_age_ms } else { 0.0 };
        let age = if dated { (op_timeout - patience).max(0.0) } else { undated };
        let age = back.map_or(age, |begun| now - begun);
        let need_pos = match t.spec.consistency {
            Consistency::Fresh => now,
            Consistency::Session => {
                // The commit was rounded up and positions down: one ms more covers both.
                let carried = since_write.filter(|ms| ms.is_finite() && *ms > 0.0).map(|ms| now - ms + 1.0);
                let own = self.session_commits.latest(session);
                if self.params.track_session_writes { own } else { carried.unwrap_or(f64::NEG_INFINITY) }
            }
            _ => f64::NEG_INFINITY,
        };
        let lot = self.random.next_f64();
        let slot = self.ops.add(Op {
            id,
            op_type: kind,
            group,
            session,
            arrived_at: now,
            first_try_at: now - age,
            target_at: now + (t.spec.latency_target_ms + longer - age).min(patience),
            give_up_at: now + patience - self.params.reply_margin_ms,
            min_position: need_pos,
            value: t.spec.value * if over_share { self.params.over_share_value } else { 1.0 },
            is_over_share: over_share,
            admission_draw: lot,
            is_first_try: age == 0.0,
            ..Op::default()
        });
        if self.groups[group].held_ops.is_empty() || patience <= self.params.reply_margin_ms {
            self.route_op(now, out, slot);
        } else {
            // Others wait already: the next answer or beat takes the best of them.
            state::hold_op(&mut self.ops, &mut self.groups, slot);
        }
    }

    /// The router ends: what is open is answered by then.
    pub fn set_shutdown_deadline(&mut self, by: f64) {
        state::cap_give_up_at(&mut self.ops, by - self.params.reply_margin_ms);
    }

    /// The client of these has gone; no answer is owed, and none of them takes the room that another leaves.
    pub fn client_left(&mut self, now: f64, out: &mut dyn Outbox, ids: &[OpId]) {
        let open = |id: &OpId| self.ops.find(*id).filter(|s| !self.ops.get(*s).is_answered);
        let slots: Vec<usize> = ids.iter().filter_map(open).collect();
        let groups: std::collections::BTreeSet<_> = slots.iter().map(|s| self.ops.get(*s).group).collect();
        for slot in slots {
            self.close_op(slot, out);
            self.retry_matcher.record_given_up(now, self.ops.get(slot), 0.0);
            self.ops.remove_if_finished(slot);
        }
        groups.into_iter().for_each(|group| self.retry_held(now, out, group, false));
    }

    /// A send has ended; `over` says that its op has been answered.
    pub fn send_ended(
        &mut self,
        now: f64,
        out: &mut dyn Outbox,
        id: OpId,
        send: usize,
        ending: Ending,
        over: bool,
    ) {
        (self.now, self.is_outlier_check_due) = (now, true);
        let Some(slot) = self.ops.find(id) else { return };
        let op = self.ops.get_mut(slot);
        let group = op.group;
        let Some(s) = op.sends.get_mut(send).filter(|s| s.ending.is_none()) else { return };
        s.ending = Some(ending);
        let back = SendResult { now, slot, host: s.host, sent_at: s.sent_at, ending };
        let heard = self.hosts[back.host].last_response_at;
        if ending.is_from_host() {
            self.record_contact(now, out, back.host);
        } else if matches!(ending, Ending::Reset | Ending::Unreached) && heard < back.sent_at {
            // The host may have closed it as idle, or take no more connections, or slowly: a probe tells.
            self.hosts[back.host].failed_connect_ms =
                if ending == Ending::Reset { 0.0 } else { now - back.sent_at };
            self.probe_host(now, out, back.host);
        }
        for (_, up) in STAGES.iter().rev() {
            up(self, &back);
        }
        if over && !self.ops.get(slot).is_answered {
            self.close_op(slot, out);
        }
        // Where hosts take few connections, an idle one keeps other routers out.
        let h = &mut self.hosts[back.host];
        if now < self.scarce_connections_until
            && now >= self.slow_connect_until
            && h.in_flight.is_empty()
            && h.open_connections > 0
        {
            h.open_connections = 0;
            out.close_idle_connections(back.host);
        }
        let op = self.ops.get(slot);
        if !op.is_answered && op.outstanding() == 0 && !op.is_held {
            self.route_op(now, out, slot);
        }
        self.ops.remove_if_finished(slot);
        self.retry_held(now, out, group, false);
    }

    /// Runs the held ops of a group through the chain, the most value per work first. Between beats the first
    /// op of a type that must go on waiting speaks for its type, or a crowd would cost time squared.
    fn retry_held(&mut self, now: f64, out: &mut dyn Outbox, group: usize, all: bool) {
        if group >= self.groups.len() || self.groups[group].held_ops.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.groups[group].held_ops);
        let rank = |slot: &usize| {
            let op = self.ops.get(*slot);
            let t = &self.op_types[op.op_type];
            op.value * if now > op.target_at { t.spec.late_value } else { 1.0 } / t.usual_ms
        };
        held.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        let mut stuck = vec![false; self.op_types.len()];
        for slot in held {
            let op = self.ops.get_mut(slot);
            op.is_held = false;
            let kind = op.op_type;
            if stuck[kind] && !all {
                state::hold_op(&mut self.ops, &mut self.groups, slot);
                continue;
            }
            self.route_op(now, out, slot);
            stuck[kind] |= self.groups[group].held_ops.last() == Some(&slot);
        }
    }

    fn route_op(&mut self, now: f64, out: &mut dyn Outbox, slot: usize) {
        let mut turn = SendAttempt {
            now,
            slot,
            host: usize::MAX,
            is_trial: false,
            is_fallback: false,
            hosts_to_probe: Vec::new(),
        };
        for (down, _) in &STAGES {
            let step = down(self, &mut turn);
            for host in std::mem::take(&mut turn.hosts_to_probe).into_iter() {
                if self.may_probe_host(now, host) {
                    self.probe_host(now, out, host);
                }
            }
            match step {
                StageOutcome::Continue => {}
                StageOutcome::Hold => return state::hold_op(&mut self.ops, &mut self.groups, slot),
                // While a send is out, its answer may still come; the beat ends the op in time.
                StageOutcome::Reject if self.ops.get(slot).outstanding() > 0 => {
                    return state::hold_op(&mut self.ops, &mut self.groups, slot);
                }
                StageOutcome::Reject => return self.give_up(now, out, slot),
            }
        }
        let (host, kind) = (turn.host, self.ops.get(slot).op_type);
        let begin_by = self.send_deadline(self.ops.get(slot), host);
        let (usual, weight) = (self.op_types[kind].usual_ms, self.relative_weight(kind));
        let op = self.ops.get_mut(slot);
        let dials = self.hosts[host].idle_connections() == 0;
        op.sends.push(Send { host, sent_at: now, ending: None, is_withdrawn: false, is_lost: false });
        let send = op.sends.len() - 1;
        let (group, level) = (op.group, self.op_types[kind].spec.consistency);
        if level == Consistency::Write && self.primary_of(group) != Some(host) {
            self.groups[group].discovery_write = Some(slot);
        } else if matches!(level, Consistency::Write | Consistency::Fresh) {
            self.groups[group].primary_work.add(now, usual, RETENTION_MS);
        }
        let cold = self.warm_fraction(now, host);
        let h = &mut self.hosts[host];
        h.in_flight.push(InFlightSend {
            op_slot: slot,
            send_index: send,
            sent_at: now,
            usual_ms: usual,
            weight,
            is_fallback: turn.is_fallback,
            opens_connection: dials,
        });
        h.in_flight_weight += weight;
        // Turns come as often as the host has capacity.
        h.rotation_position += weight / (h.capacity * cold);
        if cold < 1.0 {
            h.record_work(now, usual, now - self.params.overload_window_ms);
        }
        h.next_trial_at = if turn.is_trial { now + 2.0 * PROBE_INTERVAL_MS } else { h.next_trial_at };
        out.send(self.ops.get(slot).id, host, begin_by);
    }

    /// The final answer, given as soon as it is known: a busy reply where that is true, else an error.
    fn give_up(&mut self, now: f64, out: &mut dyn Outbox, slot: usize) {
        let op = self.ops.get(slot);
        let t = &mut self.op_types[op.op_type];
        if op.is_first_try {
            update_average(&mut t.give_up_age_ms, now - op.arrived_at, LATENCY_SMOOTHING);
            // Two for each, as time and other routers take some.
            t.recent_give_ups += 2.0;
        }
        let lost = self.groups[op.group].no_primary_since < f64::INFINITY;
        // What is out is called back first: a send whose connection is still opening would leave after the answer.
        self.close_op(slot, out);
        let op = self.ops.get(slot);
        if self.may_busy_reply(op) {
            let wait = if lost { 2.0 * PROBE_INTERVAL_MS } else { self.op_types[op.op_type].usual_ms };
            // Spread, as those who are told the same time come back as one.
            let wait =
                wait.max(self.admission.1 * (0.5 + op.admission_draw)).min(self.params.max_retry_after_ms);
            out.busy_reply(op.id, wait);
            self.retry_matcher.record_given_up(now, op, wait);
        } else {
            out.error_reply(op.id);
            self.retry_matcher.record_given_up(now, op, 0.0);
        }
        self.ops.remove_if_finished(slot);
    }

    /// Nothing more is owed for the op; what is still out is called back to spare the hosts.
    fn close_op(&mut self, slot: usize, out: &mut dyn Outbox) {
        state::mark_answered(&mut self.ops, &mut self.groups, slot);
        for send in 0..self.ops.get(slot).sends.len() {
            self.withdraw_send(slot, send, out);
        }
    }

    fn withdraw_send(&mut self, slot: usize, send: usize, out: &mut dyn Outbox) {
        let op = self.ops.get_mut(slot);
        let s = &mut op.sends[send];
        // Withdrawing closes a connection. Where opening one takes long, the next ops would be late for it.
        let keep = self.now < self.slow_connect_until && self.hosts[s.host].uses_open_connection(slot);
        if s.ending.is_none() && !s.is_withdrawn {
            // What has not left yet is no withdrawal at the host: left alone, it would leave after the final answer.
            s.is_withdrawn = self.params.may_withdraw && !keep;
            out.withdraw(op.id, send, s.is_withdrawn);
        }
    }

    // ---- the chain, downwards

    /// Ends ops that can no longer earn anything or may not be sent again.
    fn admit(&mut self, turn: &mut SendAttempt) -> StageOutcome {
        let op = self.ops.get(turn.slot);
        let t = &self.op_types[op.op_type];
        let over = turn.now >= op.give_up_at || op.sends.len() >= self.params.max_sends;
        let (share, new) = (self.admission.0, op.sends.is_empty());
        let carried =
            share >= 1.0 || op.admission_draw < share * self.relative_to_mean(op.value, |t| t.spec.value);
        if over || (new && !carried) || turn.now >= self.retry_deadline(op) {
            return StageOutcome::Reject;
        }
        let in_time = turn.now + t.send_ms < op.target_at;
        if !in_time && (t.spec.late_value == 0.0 || turn.now + t.usual_ms > op.give_up_at) {
            return StageOutcome::Reject;
        }
        if turn.now < op.retry_not_before { StageOutcome::Hold } else { StageOutcome::Continue }
    }

    /// Writes and fresh reads: the cached primary, or one scout a group while none is known.
    fn route_to_primary(&mut self, turn: &mut SendAttempt) -> StageOutcome {
        let leads = self.role_index(self.ops.get(turn.slot));
        let op = self.ops.get_mut(turn.slot);
        let (level, usual, group) =
            (self.op_types[op.op_type].spec.consistency, self.op_types[op.op_type].usual_ms, op.group);
        if !std::mem::replace(&mut op.is_counted_as_demand, true) {
            self.groups[group].demand[leads].add(turn.now, usual, 0.0, RETENTION_MS);
            self.demand.add(turn.now, leads, usual, op.is_first_try, (DEMAND_WINDOW_MS, RETENTION_MS));
        }
        if leads == 0 {
            return StageOutcome::Continue;
        }
        let primary = self.primary_of(group);
        if let Some(m) = primary.filter(|m| !self.hosts[*m].is_unresponsive) {
            turn.host = m;
            return StageOutcome::Continue;
        }
        // Whom others have seen lead is asked, or tried, first.
        let (g, hint) = (&self.groups[group], |m: &usize| self.hosts[*m].peer_primary_hint());
        let (members, new) = (&g.members, turn.now - g.no_primary_since < SECOND_MS);
        let told = members.iter().copied().filter(|m| new && hint(m) > f64::NEG_INFINITY);
        let told = told.max_by(|a, b| hint(a).total_cmp(&hint(b)));
        turn.hosts_to_probe.extend(members.iter().filter(|m| told.is_none_or(|t| t == **m)));
        // A primary out of contact would swallow what can't be sent again.
        let scouted = self.groups[group].discovery_write.is_some_and(|s| s != turn.slot);
        if primary.is_some() || level == Consistency::Fresh || scouted {
            return StageOutcome::Hold;
        }
        // The write rotates over members that have not just said they are replicas.
        let (op, members) = (self.ops.get(turn.slot), &self.groups[group].members);
        let misses = op.sends.len();
        let (first, count) = (self.groups[group].next_candidate, members.len());
        let first = told.and_then(|t| members.iter().position(|m| *m == t)).unwrap_or(first);
        let next = (0..count).map(|i| (first + i) % count).find(|i| {
            let h = &self.hosts[members[*i]];
            let tried = op.sends.iter().any(|s| s.host == members[*i]);
            h.state == HostState::Ready
                && !h.is_unresponsive
                && h.replica_seen_at < turn.now - PROBE_INTERVAL_MS
                && !tried
        });
        let Some(i) = next.filter(|_| misses < self.params.max_sends.div_ceil(2)) else {
            // Missed everywhere: the next probe, not a further send, finds the primary.
            self.ops.get_mut(turn.slot).retry_not_before = turn.now + PROBE_INTERVAL_MS;
            self.groups[group].discovery_write = None;
            return StageOutcome::Hold;
        };
        turn.host = members[i];
        self.groups[group].next_candidate = i + 1;
        StageOutcome::Continue
    }

    /// Other reads rotate over the replicas that are fresh enough.
    fn route_to_replica(&mut self, turn: &mut SendAttempt) -> StageOutcome {
        if turn.host != usize::MAX {
            return StageOutcome::Continue;
        }
        let op = self.ops.get(turn.slot);
        let primary = self.primary_of(op.group);
        let members = &self.groups[op.group].members;
        let free = |m: &usize| {
            let failed =
                op.sends.iter().any(|s| s.host == *m && s.sent_at > turn.now - 2.0 * PROBE_INTERVAL_MS);
            self.hosts[*m].state == HostState::Ready && !failed
        };
        let need = self.required_position(op, turn.now);
        let mut others: Vec<usize> =
            members.iter().copied().filter(|m| free(m) && Some(*m) != primary).collect();
        let place = |m: usize| self.hosts[m].rotation_position;
        others.sort_by(|a, b| place(*a).total_cmp(&place(*b)));
        let fits = |m: &usize| self.estimated_position(turn.now, *m) >= need;
        let doubtful = |m: &usize| self.hosts[*m].down_since < f64::INFINITY;
        let fresh: Vec<usize> = others.iter().copied().filter(fits).collect();
        // A host ejected proves itself by single reads; one that was behind too, where probes are dear.
        let due = |m: &usize| !fits(m) && !doubtful(m) && self.may_probe_host(turn.now, *m);
        let due =
            |m: &usize| self.params.trial_reads_replace_probes && due(m) && self.has_room(turn.now, op, *m);
        let trial = fresh.iter().copied().find(|m| self.hosts[*m].is_trial_due(turn.now)).map(|m| (m, true));
        let trial = trial.or(others.iter().copied().find(due).map(|m| (m, false)));
        if let Some((m, trial)) = trial.filter(|_| op.sends.is_empty()) {
            (turn.host, turn.is_trial, self.hosts[m].last_probe_at) = (m, trial, turn.now);
            return StageOutcome::Continue;
        }
        let well: Vec<usize> = fresh.iter().copied().filter(|m| !self.hosts[*m].is_unresponsive).collect();
        let pool: Vec<usize> = well.iter().copied().filter(|m| !self.hosts[*m].is_ejected).collect();
        // Reads ask for what only a probe can tell: whether the next in turn has caught up or answers again.
        // Where few are fresh, one that is not due yet must not stand before those that are.
        let thin = 2 * pool.len() <= others.len();
        let unsure = |m: &usize| (!fits(m) || doubtful(m)) && (!thin || self.may_probe_host(turn.now, *m));
        let asked =
            if pool.is_empty() && !self.params.hosts_reject_stale_reads { HOST_SUBSET_SIZE } else { 1 };
        turn.hosts_to_probe.extend(others.iter().copied().filter(unsure).take(asked));
        // Long reads that any member may answer hold up the log where they run: spread evenly they would
        // leave no replica fresh. The first in a common order take them, by a further digit of the lot, as
        // many as their lateness asks for, or the next that idles; and only the first where few are fresh.
        let room = |m: &&usize| self.has_room(turn.now, op, **m);
        let mut line: Vec<&usize> = pool.iter().filter(|_| self.is_long(op.op_type)).collect();
        line.sort_unstable();
        let recent = turn.now - CAUGHT_UP_BOUND_SHARE * self.params.min_staleness_bound_ms;
        let keeps_up =
            line.iter().filter(|m| self.estimated_position(turn.now, ***m) >= recent).count() as f64;
        let fed = keeps_up >= MIN_CAUGHT_UP_SHARE * line.len() as f64;
        let wide = if fed { self.long_read_replicas } else { 1.0 };
        let mine = line.get(((op.admission_draw * 16.0).fract() * wide) as usize).filter(|m| room(m));
        let within = || line.iter().take(wide.ceil() as usize).find(|m| room(m));
        let idle = |h: &Host| h.in_flight.is_empty() && self.relative_weight(op.op_type) <= h.in_flight_limit;
        let next = || line.iter().find(|m| fed && idle(&self.hosts[***m]) && room(m));
        if let Some(m) = mine.or_else(within).or_else(next).or(line.first()) {
            turn.host = **m;
            return StageOutcome::Continue;
        }
        let few = pool.iter().filter(|m| self.hosts[**m].open_connections > 0).count()
            < self.params.preferred_connected_replicas;
        let opens = few && turn.now >= self.slow_connect_until;
        let ready = |m: &&usize| room(m) && (opens || self.hosts[**m].idle_connections() > 0);
        // The first in turn of a zone that is drawn, by digits of the lot; a host there less as its answers strain.
        let mut rooms = vec![0.0; self.params.zone_count];
        for m in &pool {
            let room = rooms.get_mut(self.hosts[*m].zone);
            room.into_iter().for_each(|r| *r += self.hosts[*m].capacity * self.warm_fraction(turn.now, *m));
        }
        let mut digit = (op.admission_draw * 1024.0).fract();
        let parts = magpiewell_shares::zone_shares(
            &rooms,
            &self.zone_read_shares,
            self.params.zone,
            LOCAL_ZONE_MAX_LOAD,
        );
        let zone = parts.iter().position(|part| (digit -= part, digit < 0.0).1);
        let eased = |h: &Host| {
            (op.admission_draw * 64.0).fract()
                < (LOCAL_ZONE_MAX_CONGESTION - h.congestion).max(LOCAL_ZONE_MIN_SHARE)
        };
        let near = |h: &Host| Some(h.zone) == zone && eased(h);
        let near = |m: &&usize| near(&self.hosts[**m]);
        // Where no shares tell what hosts are built for, a cold replica takes only ops whose turn it is: judged by what
        // one router sees of warm ones, all that those refuse would come to it, from all routers.
        let warm = |m: &usize| self.warm_fraction(turn.now, *m) >= 1.0;
        let turns = [pool.first(), pool.iter().find(near)];
        let mixed = self.params.quota_ops_per_ms <= 0.0 && pool.iter().any(warm);
        let own = |m: &&usize| !mixed || warm(m) || turns.contains(&Some(*m));
        let mut line = pool.iter().filter(own);
        let pick = line.clone().find(|m| near(m) && ready(m)).or(line.clone().find(ready));
        let pick = pick.or(line.find(room)).copied();
        // None is known to qualify: a probe's answer may show one.
        let soon = |m: &usize| {
            !self.hosts[*m].is_unresponsive
                && (self.hosts[*m].is_probe_in_flight || self.may_probe_host(turn.now, *m))
        };
        let unknown = pool.is_empty() && !self.params.hosts_reject_stale_reads && others.iter().any(soon);
        if unknown && self.may_hold(turn) {
            return StageOutcome::Hold;
        }
        // Those that are fresh are full, or none is: the primary if it has room, or an ejected one.
        let usable = primary.filter(|m| pick.is_none() && free(m) && self.has_room(turn.now, op, *m));
        let (first, well) = (pool.first().copied(), well.first().copied());
        if let Some(m) = usable.filter(|_| self.may_fall_back(turn)) {
            (turn.host, turn.is_fallback) = (m, true);
        } else if let Some(m) = pick.or(first) {
            turn.host = m;
            // A host that was out of the rotation joins at its present place instead of catching up: by chance, or
            // all routers would go on with the same one of those.
            let place = self.hosts[m].rotation_position;
            for o in others.into_iter().filter(|o| *o != m) {
                let (h, lot) = (&mut self.hosts[o], self.random.next_f64());
                h.rotation_position =
                    if h.rotation_position < place { place + lot / h.capacity } else { h.rotation_position };
            }
        } else {
            turn.host = well.unwrap_or(usize::MAX);
        }
        StageOutcome::Continue
    }

    /// Whether a read may go to its primary: all routers together add but a part of what must go there.
    fn may_fall_back(&mut self, turn: &SendAttempt) -> bool {
        let op = self.ops.get_mut(turn.slot);
        let g = &mut self.groups[op.group];
        let work = if std::mem::replace(&mut op.is_counted_as_fallback, true) {
            0.0
        } else {
            self.op_types[op.op_type].usual_ms
        };
        g.fallback_work.add(turn.now, work, RETENTION_MS);
        g.primary_work.add(turn.now, 0.0, RETENTION_MS);
        let (lot, spilt, led) = (op.admission_draw, g.fallback_work.value, g.primary_work.value);
        // One group is led too seldom to judge by it alone.
        let mean = self.groups.iter().map(|g| g.primary_work.value).sum::<f64>() / self.groups.len() as f64;
        lot * spilt < self.fallback_ratio * led.max(mean)
    }

    /// The position a host is taken to have: its last lag stands where it checks reads, else what it told.
    fn estimated_position(&self, now: f64, host: usize) -> f64 {
        let h = &self.hosts[host];
        match self.params.hosts_reject_stale_reads {
            true if h.position == f64::NEG_INFINITY => now,
            true => h.position + (now - h.position_at),
            false => h.position,
        }
    }

    /// An op waits for room for a part of its spare time; one over its tenant's share not at all.
    fn may_hold(&self, turn: &SendAttempt) -> bool {
        let op = self.ops.get(turn.slot);
        let t = &self.op_types[op.op_type];
        let spare =
            (op.target_at - op.arrived_at - t.usual_ms) * if op.is_over_share { 0.0 } else { HOLD_SHARE };
        turn.now - op.arrived_at <= spare
    }

    /// Keeps ops off a host that has enough in flight; what has waited too long for room is shed.
    fn limit_in_flight(&mut self, turn: &mut SendAttempt) -> StageOutcome {
        let op = self.ops.get(turn.slot);
        match turn.is_trial || (turn.host != usize::MAX && self.has_room(turn.now, op, turn.host)) {
            true => StageOutcome::Continue,
            false if self.may_hold(turn) => StageOutcome::Hold,
            false => StageOutcome::Reject,
        }
    }

    /// The rules. Whatever the stages above chose, a send that breaks one waits.
    fn enforce_rules(&mut self, turn: &mut SendAttempt) -> StageOutcome {
        let op = self.ops.get(turn.slot);
        let cold = self.fits_cold_budget(turn.now, op, turn.host);
        if cold && self.is_allowed(op, turn.host, turn.now) {
            StageOutcome::Continue
        } else {
            StageOutcome::Hold
        }
    }

    // ---- the chain, upwards

    fn record_commit(&mut self, back: &SendResult) {
        let op = self.ops.get(back.slot);
        let write = self.op_types[op.op_type].spec.consistency == Consistency::Write;
        if self.params.track_session_writes && write && back.ending == Ending::Acked {
            // `told` has just brought the commit as the host's position.
            let (session, commit) = (op.session, self.hosts[back.host].position.max(back.sent_at));
            self.session_commits.add(session, commit + 1.0, back.now - 4.0 * self.params.warmup_ms);
        }
    }

    fn update_limits(&mut self, back: &SendResult) {
        let op = self.ops.get(back.slot);
        let t = &self.op_types[op.op_type];
        // Unanswered it would have taken longer still: ops withdrawn at their target made a jam look well.
        let rest = if back.ending.is_from_host() { 0.0 } else { t.usual_ms };
        let spent = back.now - back.sent_at + rest;
        let cold = self.warm_fraction(back.sent_at, back.host) < 1.0;
        let (leads, led) = (self.role_index(op), usize::from(self.primary_of(op.group) == Some(back.host)));
        let h = &mut self.hosts[back.host];
        let Some((o, load)) = h.remove_in_flight(back.slot, back.sent_at) else { return };
        h.record_connection(back.ending.is_from_host(), o.opens_connection);
        if back.ending.cannot_have_run() && back.ending != Ending::Full {
            return;
        }
        let late = back.ending == Ending::Full || spent > LATE_TARGET_SHARE * t.spec.latency_target_ms;
        if cold {
            let least = MIN_SHARE * self.params.max_cold_load_factor;
            let part = &mut self.cold_load_factors[leads];
            *part = (*part * if late { SHARE_CUT } else { SHARE_RISE })
                .clamp(least, self.params.max_cold_load_factor);
        }
        if o.is_fallback {
            self.fallback_ratio = (self.fallback_ratio * if late { SHARE_CUT } else { SHARE_RISE })
                .clamp(MIN_SHARE, MAX_FALLBACK_RATIO);
        }
        let strain = (spent / (CONGESTED_TARGET_SHARE * t.spec.latency_target_ms)).min(5.0);
        update_average(&mut h.congestion, strain, CONGESTION_SMOOTHING);
        if back.ending == Ending::Acked && !cold {
            self.warm_rates[led].add(back.now, t.usual_ms, 0.0, RETENTION_MS);
        }
        // An op alone on its host was crowded by nobody from here, but if it is late indeed, by all routers.
        let alone = load <= o.weight;
        if alone && leads == 0 && !o.is_fallback {
            let part = &mut self.groups[op.group].idle_admission_share;
            *part = (*part * if late { GROUP_SHARE_CUT } else { SHARE_RISE }).clamp(MIN_SHARE, 1.0);
        }
        if alone && (late || h.in_flight_limit < MIN_LIMIT) {
            let step = if h.in_flight_limit > MIN_LIMIT { LIMIT_CUT } else { SHARE_CUT };
            h.in_flight_limit = (h.in_flight_limit * if late { step } else { SHARE_RISE }).max(MIN_SHARE);
            return;
        }
        let crowded = h.congestion > 1.0 && strain > 1.0 && !alone;
        if crowded || back.ending == Ending::Full {
            h.in_flight_limit = (h.in_flight_limit.min(load) * LIMIT_CUT).max(MIN_LIMIT);
            // What is measured next belongs to the new limit: without this, one jam cuts it to the least.
            h.congestion = CONGESTION_AFTER_CUT;
        } else if back.ending == Ending::Acked && load > 0.7 * h.in_flight_limit {
            h.in_flight_limit += 2.0 * (1.0 - h.congestion).clamp(0.0, 0.5) * o.weight / h.in_flight_limit;
        }
    }

    /// The latency average, against what op types usually take. Sends that died count if that raises it.
    fn update_latency(&mut self, back: &SendResult) {
        let Op { op_type: kind, group, .. } = *self.ops.get(back.slot);
        if self.is_long(kind) && !back.ending.cannot_have_run() {
            let in_time =
                back.now - back.sent_at <= LATE_TARGET_SHARE * self.op_types[kind].spec.latency_target_ms;
            let most = self.groups[group].members.len().max(2) as f64 - 1.0;
            self.long_read_replicas = (self.long_read_replicas
                * if in_time { LONG_READ_NARROW } else { LONG_READ_WIDEN })
            .clamp(1.0, most);
        }
        let spent = (back.now - back.sent_at) / self.op_types[kind].usual_ms;
        // A host that errs quickly must not look well: an error counts as an outlier's latency.
        let erred = matches!(back.ending, Ending::Errored | Ending::Spoilt);
        let ratio = if erred { spent.max(2.0 * OUTLIER_FACTOR) } else { spent.min(20.0) };
        let h = &mut self.hosts[back.host];
        let died = matches!(back.ending, Ending::TimedOut | Ending::Withdrawn | Ending::Reset);
        if back.ending == Ending::Acked || erred || (died && ratio > h.latency_ratio) {
            update_average(
                &mut h.latency_ratio,
                ratio,
                if h.is_ejected { TRIAL_SMOOTHING } else { LATENCY_SMOOTHING },
            );
            h.latency_samples = h.latency_samples.saturating_add(1);
        }
    }

    /// A failed or missed write clears the cached primary, unless this very answer vouches for it.
    fn update_primary(&mut self, back: &SendResult) {
        let op = self.ops.get_mut(back.slot);
        let t = &self.op_types[op.op_type];
        let turned_away = matches!(back.ending, Ending::Full | Ending::Unreached);
        if turned_away && self.hosts[back.host].primary_seen_at > f64::NEG_INFINITY {
            // Sent again at once, all that a crowded primary turns away would be back in a moment.
            op.retry_not_before = back.now + 0.5 * t.usual_ms * op.sends.len() as f64;
        }
        if t.spec.consistency != Consistency::Write {
            return;
        }
        let scout = &mut self.groups[op.group].discovery_write;
        *scout = scout.filter(|s| *s != back.slot);
        let h = &mut self.hosts[back.host];
        // What did not get to the host, or came back spoilt, says nothing of its role.
        let failed =
            matches!(back.ending, Ending::Missed | Ending::Errored | Ending::TimedOut | Ending::Reset);
        if failed && h.primary_seen_at <= back.sent_at {
            h.clear_primary(back.now);
        }
    }

    fn learn_send_time(&mut self, back: &SendResult) {
        let (kind, well) = (self.ops.get(back.slot).op_type, self.hosts[back.host].is_in_rotation());
        self.op_types[kind].record_send_time(
            back.now - back.sent_at,
            back.ending,
            well,
            USUAL_LATENCY_SMOOTHING,
            LATE_TARGET_SHARE,
        );
    }

    fn may_busy_reply(&self, op: &Op) -> bool {
        match self.op_types[op.op_type].spec.retryability {
            Retryability::Retryable | Retryability::Tokened { anywhere: true, .. } => true,
            _ => !op.sends.iter().any(Send::may_have_run),
        }
    }

    /// Until when the op may be sent, by what of it may have run.
    fn retry_deadline(&self, op: &Op) -> f64 {
        match (self.op_types[op.op_type].spec.retryability, op.sends.iter().find(|s| s.may_have_run())) {
            (_, None) | (Retryability::Retryable, _) => f64::INFINITY,
            (Retryability::Tokened { window_ms, .. }, Some(s)) => s.sent_at + window_ms - self.params.tick_ms,
            (Retryability::NonRetryable, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// The same, and by how old the host's data may be where it does not look itself.
    fn send_deadline(&self, op: &Op, host: usize) -> f64 {
        let (facts, h) = (&self.op_types[op.op_type].spec, &self.hosts[host]);
        self.retry_deadline(op).min(match facts.consistency {
            _ if self.params.hosts_reject_stale_reads || h.is_freshness_exempt => f64::INFINITY,
            Consistency::Bounded => h.position + facts.staleness_bound_ms,
            _ if h.position >= op.min_position => f64::INFINITY,
            _ => f64::NEG_INFINITY,
        })
    }

    /// True where every rule but the cold budget allows the send.
    fn is_allowed(&self, op: &Op, host: usize, now: f64) -> bool {
        let h = &self.hosts[host];
        !op.is_answered
            && now < op.give_up_at
            && h.group == op.group
            && op.sends.len() < self.params.max_sends
            && op.outstanding() < self.params.max_outstanding_sends
            && (now - h.unready_since < self.params.drain_grace_ms - self.params.tick_ms
                || h.unready_since == f64::INFINITY)
            && now < self.send_deadline(op, host)
    }

    /// The position that the op's data must have.
    fn required_position(&self, op: &Op, now: f64) -> f64 {
        match self.op_types[op.op_type].spec.consistency {
            Consistency::Bounded => now - self.op_types[op.op_type].spec.staleness_bound_ms,
            _ => op.min_position,
        }
    }

    /// Cached primary: the member with the latest claim, else the listed one.
    fn primary_of(&self, group: usize) -> Option<usize> {
        let ready = |m: &&usize| self.hosts[**m].state == HostState::Ready;
        let members = &self.groups[group].members;
        let claim = |m: &&usize| self.hosts[**m].primary_seen_at;
        let best = members.iter().filter(ready).max_by(|a, b| claim(a).total_cmp(&claim(b)));
        let best = best.filter(|m| claim(m) > f64::NEG_INFINITY);
        best.or(members.iter().filter(ready).find(|m| self.hosts[**m].is_listed_primary)).copied()
    }

    /// Something of an op type, against the mean over op types.
    fn relative_to_mean(&self, value: f64, of: impl Fn(&OpType) -> f64) -> f64 {
        value * self.op_types.len() as f64 / self.op_types.iter().map(of).sum::<f64>()
    }

    /// A read that any member may answer and that takes long.
    fn is_long(&self, kind: usize) -> bool {
        self.op_types[kind].spec.consistency == Consistency::Any
            && self.relative_weight(kind) > LONG_OP_WEIGHT
    }

    fn replicas(&self, group: usize) -> impl Iterator<Item = usize> {
        let primary = self.primary_of(group);
        let members = self.groups[group].members.iter().copied();
        members.filter(move |m| self.hosts[*m].state == HostState::Ready && Some(*m) != primary)
    }

    fn relative_weight(&self, kind: usize) -> f64 {
        self.relative_to_mean(self.op_types[kind].usual_ms, |t| t.usual_ms).clamp(0.5, 3.0)
    }

    /// Room for one more in flight. A limit under one is the share of ops let through to an idle host.
    fn has_room(&self, now: f64, op: &Op, host: usize) -> bool {
        let h = &self.hosts[host];
        let worth = self
            .relative_to_mean(op.value / self.op_types[op.op_type].usual_ms, |t| t.spec.value / t.usual_ms);
        // A read goes to whichever replica lets it through: what they let through together has a share of its own.
        let together =
            if self.role_index(op) == 1 { 1.0 } else { self.groups[op.group].idle_admission_share };
        let part = h.in_flight_limit.min(together);
        let alone = h.in_flight.is_empty() && (part >= MIN_LIMIT || op.admission_draw < part * worth);
        let fits = h.in_flight_limit > MIN_LIMIT
            && h.in_flight_weight + self.relative_weight(op.op_type) <= h.in_flight_limit;
        // Where connections are dear, an op rather waits for an open one than for a new one.
        let open = now >= self.slow_connect_until || h.idle_connections() > 0 || h.in_flight.is_empty();
        !h.is_unresponsive && open && (alone || fits) && self.fits_cold_budget(now, op, host)
    }

    /// Least possible part of its capacity that a host has by now.
    fn warm_fraction(&self, now: f64, host: usize) -> f64 {
        let age = (now - self.hosts[host].started_at).max(0.0);
        (self.params.cold_capacity_share
            + (1.0 - self.params.cold_capacity_share) * age / self.params.warmup_ms)
            .min(1.0)
    }

    /// Work a ms that a warm host of its size does for this router, as a replica or as a primary.
    fn warm_work_per_ms(&self, host: usize) -> f64 {
        self.hosts[host].capacity * self.warm_rates[0].per_ms().max(self.warm_rates[1].per_ms())
    }

    /// Cold budget: this router's part is judged by what it sends to warm hosts of like size. Where that is
    /// less than an op, as with hundreds of routers, chance lets through what it is of all that they bring.
    fn fits_cold_budget(&self, now: f64, op: &Op, host: usize) -> bool {
        let (warmth, h, usual) =
            (self.warm_fraction(now, host), &self.hosts[host], self.op_types[op.op_type].usual_ms);
        let recent = h.recent_work(now - self.params.overload_window_ms);
        let budget = self.params.cold_budget_multiple
            * warmth
            * self.warm_work_per_ms(host)
            * self.params.overload_window_ms;
        warmth >= 1.0
            || recent + usual <= budget
            || (recent < THIN_DEMAND_OPS * usual
                && op.admission_draw * self.demand_ratio(now, op, host)
                    < self.cold_load_factors[self.role_index(op)] * warmth)
    }

    /// 1 for what must go to the primary, 0 for other reads.
    fn role_index(&self, op: &Op) -> usize {
        usize::from(matches!(
            self.op_types[op.op_type].spec.consistency,
            Consistency::Write | Consistency::Fresh
        ))
    }

    /// What ops like this bring to the host from here, against what a warm one would be asked for here if all
    /// tenants used their shares. One group is asked too seldom to judge by it alone.
    fn demand_ratio(&self, now: f64, op: &Op, host: usize) -> f64 {
        let (group, groups, leads) = (&self.groups[op.group], self.groups.len() as f64, self.role_index(op));
        let asked = group.demand[leads].per_ms().max(self.demand.rates[leads].per_ms() / groups);
        let replicas = || self.replicas(op.group);
        let places: f64 =
            replicas().filter(|m| self.hosts[*m].is_in_rotation()).map(|m| self.warm_fraction(now, m)).sum();
        let (part, parts) = match leads == 1 {
            true => (1.0, 1.0),
            // A cold primary has no room for reads that are let through by chance.
            false if self.primary_of(op.group) == Some(host) => return f64::INFINITY,
            false => (self.warm_fraction(now, host) / places.max(0.01), replicas().count() as f64),
        };
        let built_for =
            self.params.quota_ops_per_ms * self.demand.mean_first_try_work(leads) / groups / parts;
        let full = if built_for > 0.0 { built_for } else { self.warm_work_per_ms(host) };
        if full > 0.0 && asked > 0.0 { asked * part / full } else { part * parts }
    }

    pub fn tick(&mut self, now: f64, out: &mut dyn Outbox) {
        self.now = now;
        out.wake_after(self.params.tick_ms);
        if now >= self.poll_list_at {
            self.poll_list(now, out);
        }
        self.evaluate_hosts(now, out);
        // With hundreds of routers most beats find nothing to do: what has nothing out and nobody waiting is passed.
        for host in 0..self.hosts.len() {
            self.hosts[host].is_unresponsive &= self.params.may_probe || now < self.hosts[host].next_trial_at;
            if !self.hosts[host].in_flight.is_empty() {
                self.detect_lost_sends(now, out, host);
            }
        }
        for group in 0..self.groups.len() {
            if self.groups[group].held_ops.is_empty() && self.groups[group].no_primary_since == f64::INFINITY
            {
                continue;
            }
            let lost = self.primary_of(group).is_none();
            if let Some(line) = self.groups[group].record_primary_known(now, lost) {
                out.log(&format!("group {group} {line}"));
            }
            self.retry_held(now, out, group, true);
        }
        for slot in 0..self.ops.slots.len() {
            let Some(op) = &self.ops.slots[slot] else { continue };
            // Just before the target: what ends unserved after it costs more.
            let lost = op.sends.last().is_some_and(|s| s.is_lost && s.ending.is_none());
            let useless = lost || self.op_types[op.op_type].spec.late_value == 0.0;
            let late = now + self.params.tick_ms >= op.target_at && useless;
            if !op.is_answered && (late || now >= op.give_up_at) {
                self.give_up(now, out, slot);
            }
        }
    }

    /// Ejects outliers and lets them back; once a second notes what each host gets done.
    fn evaluate_hosts(&mut self, now: f64, out: &mut dyn Outbox) {
        if now - self.rates_updated_at >= SECOND_MS {
            let span = now - std::mem::replace(&mut self.rates_updated_at, now);
            for h in &mut self.hosts {
                // What was seen of an idle host gets old, the more so where few ops go there.
                h.in_flight_limit *= if h.in_flight_limit < MIN_LIMIT { IDLE_SHARE_RECOVERY } else { 1.0 };
            }
            // The mean of what warm hosts do from here; with under an op for each the median was nothing.
            let warm =
                |m: &usize| self.hosts[*m].state == HostState::Ready && self.warm_fraction(now, *m) >= 1.0;
            for m in (0..self.hosts.len()).filter(warm).collect::<Vec<_>>() {
                let led = usize::from(self.primary_of(self.hosts[m].group) == Some(m));
                self.warm_rates[led].add(now, 0.0, self.hosts[m].capacity * span, RETENTION_MS);
            }
            self.groups
                .iter_mut()
                .flat_map(|g| &mut g.demand)
                .for_each(|a| a.add(now, 0.0, span, RETENTION_MS));
            self.demand.rates.iter_mut().for_each(|a| a.add(now, 0.0, span, DEMAND_WINDOW_MS));
        }
        if !std::mem::take(&mut self.is_outlier_check_due) {
            return;
        }
        let counted = |h: &&Host| {
            h.state == HostState::Ready && h.latency_samples >= MIN_LATENCY_SAMPLES && !h.is_unresponsive
        };
        let fleet =
            median(self.hosts.iter().filter(counted).map(|h| h.latency_ratio).collect()).unwrap_or(1.0);
        for group in 0..self.groups.len() {
            let members = &self.groups[group].members;
            let lats =
                members.iter().map(|m| &self.hosts[*m]).filter(counted).map(|h| h.latency_ratio).collect();
            // Two slow members of three lift their group's median; the fleet's still tells.
            let base = median(lats).unwrap_or(1.0).min(fleet);
            for m in members.clone() {
                let h = &mut self.hosts[m];
                let outlier =
                    h.latency_samples >= MIN_LATENCY_SAMPLES && h.latency_ratio > OUTLIER_FACTOR * base;
                if outlier != h.is_ejected {
                    (h.is_ejected, h.next_trial_at) = (outlier, now + PROBE_INTERVAL_MS);
                    let what = if outlier { "ejected" } else { "back in rotation" };
                    out.log(&format!(
                        "host {m} {what}: {:.2} against a median of {base:.2}",
                        h.latency_ratio
                    ));
                }
            }
        }
    }

    /// Marks sends as lost that later ones overtook or whose host is out of contact, and moves their ops on.
    fn detect_lost_sends(&mut self, now: f64, out: &mut dyn Outbox, host: usize) {
        let h = &mut self.hosts[host];
        let slow = h.latency_ratio.max(1.0);
        let late = |o: &InFlightSend| now - o.sent_at > LOST_SEND_FACTOR * o.usual_ms * slow;
        // Late sends are lost even where the host answers others: they take no room.
        let silent = h.is_unresponsive;
        let lost = |o: &InFlightSend| late(o) && o.sent_at < h.last_response_at;
        let gone: Vec<InFlightSend> = h.in_flight.iter().filter(|o| silent || lost(o)).cloned().collect();
        h.in_flight_weight = h.in_flight.iter().filter(|o| !lost(o)).map(|o| o.weight).sum();
        for o in gone.into_iter().filter(|o| now - o.sent_at > o.usual_ms) {
            let op = self.ops.get_mut(o.op_slot);
            op.sends[o.send_index].is_lost = true;
            // A scout stuck on a host that answers nothing must not keep the others from looking.
            let scout = &mut self.groups[op.group].discovery_write;
            *scout = scout.filter(|s| *s != o.op_slot);
            let op = self.ops.get(o.op_slot);
            let facts = &self.op_types[op.op_type].spec;
            let led = self.primary_of(op.group).is_some_and(|p| !self.hosts[p].is_unresponsive);
            let movable =
                !op.is_answered && !op.sends[o.send_index].is_withdrawn && now < self.retry_deadline(op);
            let moves = movable && (facts.consistency != Consistency::Write || led);
            if moves
                && self.params.max_outstanding_sends > 1
                && op.outstanding() == 1
                && facts.retryability == Retryability::Retryable
            {
                self.route_op(now, out, o.op_slot);
            } else if moves && self.params.max_outstanding_sends == 1 {
                self.withdraw_send(o.op_slot, o.send_index, out);
            }
        }
    }

    fn probe_host(&mut self, now: f64, out: &mut dyn Outbox, host: usize) {
        let h = &mut self.hosts[host];
        if !self.params.may_probe {
            self.mark_unresponsive(now, out, host, "contact failed");
            // No probe will tell when it is back: an op tries it, after a while.
            let h = &mut self.hosts[host];
            h.next_trial_at =
                now + (0.5 * (now - h.down_since)).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS);
        } else if !h.is_probe_in_flight {
            (h.is_probe_in_flight, h.last_probe_at) = (true, now);
            out.probe(host);
        }
    }

    /// Ops have hosts probed whose last word or probe is not recent: probes then cost as ops do, not hosts.
    fn may_probe_host(&self, now: f64, host: usize) -> bool {
        let h = &self.hosts[host];
        // What is known to be far behind, or has long been down, won't be back before long.
        let led = self.groups[h.group].no_primary_since == f64::INFINITY;
        let away = if h.down_since < f64::INFINITY { now - h.down_since } else { h.position_at - h.position };
        let gap = if led {
            (0.5 * away).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS)
        } else {
            PROBE_INTERVAL_MS / 2.0
        };
        let due = h.last_probe_at.max(h.position_at) + gap;
        self.params.may_probe && h.state == HostState::Ready && !h.is_probe_in_flight && now >= due
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
