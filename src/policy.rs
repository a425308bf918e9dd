//! Routing decisions: which host an op is sent to, and when it is held, retried, withdrawn or refused.
//!
//! The interface of the crate (ids, events, [`Outbox`]) is defined in lib.rs; the records kept per host,
//! group and op, with their bookkeeping, are in state.rs. One [`Policy`] serves one router. It does no I/O:
//! the adapter calls a method for each event (`op_arrived`, `send_ended`, `probe_ended`, `host_reported`,
//! `host_listed`, ...) and [`Policy::tick`] at every tick, and carries out the actions put into the
//! [`Outbox`].
//!
//! # Path of an op
//!
//! An op passes through `STAGES` in order. Each stage lets it continue, holds it in its group or rejects it
//! with a final answer; an op that passes all of them is sent. When a send ends, its result passes through
//! the same stages in reverse order, and each updates the statistics that it decides by. Held ops are retried
//! whenever an event may have made room for them, and at every tick.
//!
//! 1. `admit` / `learn_send_time`: rejects ops that can no longer be answered in time or may not be sent
//!    again, and those beyond the share that the router itself has processor time for.
//! 2. `route_to_primary` / `update_primary`: sends writes and fresh reads to the cached primary.
//! 3. `route_to_replica` / `update_latency`: rotates other reads over the replicas that are fresh enough.
//! 4. `limit_in_flight` / `update_limits`: limits the work in flight per host; sheds what has waited too
//!    long.
//! 5. `enforce_rules` / `record_commit`: checks the rules that no send may break, whatever was decided
//!    before.
//!
//! # Design
//!
//! Writes and fresh reads go to the cached primary, which responses and probes confirm. Other reads rotate
//! over the replicas known to be fresh enough. A host whose average latency exceeds OUTLIER_FACTOR times the
//! median is ejected from the rotation. Six mechanisms support this:
//!
//! 1. Primary discovery: while no primary is known, one write per group is sent to find it; the others are
//!    held.
//! 2. Failure detection: a host with which contact fails is set aside without waiting for the host list. A
//!    send that was overtaken by later ones counts as lost. The ops concerned move to other hosts.
//! 3. Outlier ejection: an ejected host gets single trial reads until it is no outlier any more. A group's
//!    median is capped by that of the fleet, so that several slow members can't hide each other.
//! 4. Connections: a probe shows whether a failed connection was the host's failure or the connection's.
//!    While connections are slow to open, they are kept; while hosts accept few, idle ones are closed; where
//!    they are charged for, only a few replicas per group get them.
//! 5. Load control: the in-flight limit of a host, the shares of ops admitted to an idle host and to a
//!    group's idle replicas, and the shares of reads that fall back to a primary or leave the router's zone
//!    all follow how many answers arrive in time. Ops that find no room are held briefly and then shed, as is
//!    the share that exceeds the router's own processor time. For a retry, the arrival of its first try is
//!    estimated from its own time of arrival or from its client timeout; it is not sent after the latency
//!    target of that first try.
//! 6. Cold budget: a host that warms up gets no more work than the smallest capacity it can have by then.
//!    Where no tenant rates are given, it gets only ops for which it is next in the rotation. Where one
//!    router's share of the budget is less than one op, ops are admitted at random, so that all routers
//!    together keep within it.

use crate::state::{
    self, Demand, Group, Host, InFlightSend, Op, OpTable, OpType, PolicyParams, Random, Rate, RecentEvent,
    RetryMatcher, Send, SendAttempt, SendResult, SessionCommits, StageOutcome, TenantShare, median,
    update_average,
};
use crate::{
    Consistency, Ending, HostEntry, HostState, OpId, OpRequest, OpTypeSpec, Outbox, PeerReport,
    PolicyOptions, Retryability, Role,
};

/// A host is ejected when its latency exceeds this multiple of the median.
const OUTLIER_FACTOR: f64 = 2.0;
/// Smoothing factors of a host's latency average, for regular reads and for trial reads of an ejected host.
const LATENCY_SMOOTHING: f64 = 0.05;
const TRIAL_SMOOTHING: f64 = 0.35;
/// Reads from which a latency average is used.
const MIN_LATENCY_SAMPLES: u32 = 20;
/// Shortest usual interval between probes of a host; a host is probed only when an op needs the result or a
/// peer reports it as unresponsive.
const PROBE_INTERVAL_MS: f64 = 250.0;
/// Number of hosts probed for one read where none is known to be fresh enough. Where connections are charged
/// for, also the number of replicas per group that get connections before any others do.
const HOST_SUBSET_SIZE: usize = 2;
/// Initial usual latency of an op type as a share of its latency target, and the smoothing factor with which
/// the usual latency is learned.
const INITIAL_LATENCY_SHARE: f64 = 0.2;
const USUAL_LATENCY_SMOOTHING: f64 = 0.02;
/// A send that exceeds this multiple of its usual latency counts as lost if its host has responded to others
/// since.
const LOST_SEND_FACTOR: f64 = 4.0;
/// Initial in-flight limit of a host, divided among all routers.
const INITIAL_LIMIT: f64 = 16.0;
/// Floor of an in-flight limit. A lower value is the share of ops admitted to an idle host.
const MIN_LIMIT: f64 = 1.0;
/// A host's congestion is the average of its latency over this share of the latency target. Congestion above
/// 1 multiplies the in-flight limit by `LIMIT_CUT`, and then restarts at `CONGESTION_AFTER_CUT`.
const CONGESTED_TARGET_SHARE: f64 = 0.33;
const CONGESTION_AFTER_CUT: f64 = 0.75;
const LIMIT_CUT: f64 = 0.85;
const CONGESTION_SMOOTHING: f64 = 0.1;
/// Reads stay in the router's zone until its replicas would do this multiple of their proportional share of
/// the group's work.
const LOCAL_ZONE_MAX_LOAD: f64 = 1.5;
/// A replica in the zone chosen for a read takes it with a probability of this value less its congestion, and
/// of at least `LOCAL_ZONE_MIN_SHARE`.
const LOCAL_ZONE_MAX_CONGESTION: f64 = 2.0;
const LOCAL_ZONE_MIN_SHARE: f64 = 0.25;
/// Work of reads that fall back to a primary, as a ratio of the work that must go there: initially, and at
/// most.
const INITIAL_FALLBACK_RATIO: f64 = 0.5;
const MAX_FALLBACK_RATIO: f64 = 4.0;
/// Long reads may go to more than one replica while at least this share of the replicas is caught up, which
/// means a lag below `CAUGHT_UP_BOUND_SHARE` of the tightest staleness bound.
const MIN_CAUGHT_UP_SHARE: f64 = 0.5;
const CAUGHT_UP_BOUND_SHARE: f64 = 0.3;
/// Factors on the number of replicas that take long reads, after a late one and after one in time. They
/// balance where a tenth of the long reads is late.
const LONG_READ_WIDEN: f64 = 1.5;
const LONG_READ_NARROW: f64 = 0.95;
/// An answer after this share of its latency target is late.
const LATE_TARGET_SHARE: f64 = 0.7;
/// A late answer multiplies the fallback ratio, and the share of ops admitted to an idle host, by
/// `SHARE_CUT`; any other by `SHARE_RISE`. The share admitted to a group's idle replicas is cut less, as more
/// answers update it.
const SHARE_CUT: f64 = 0.5;
const GROUP_SHARE_CUT: f64 = 0.7;
const SHARE_RISE: f64 = 1.25;
/// Factor per second on the share of ops admitted to an idle host, so that it recovers without answers.
const IDLE_SHARE_RECOVERY: f64 = 1.1;
const MIN_SHARE: f64 = 0.1;
/// Time constant of the work averages, and how long findings about connections and records of gone hosts are
/// kept.
const RETENTION_MS: f64 = 10_000.0;
/// Time constant of the averages of the total demand on this router.
const DEMAND_WINDOW_MS: f64 = 3000.0;
/// Share of the spare time (latency target less usual latency) for which an op is held when no host has room.
const HOLD_SHARE: f64 = 0.4;
/// Lead in votes from which the most frequent client timeout is trusted.
const MIN_TIMEOUT_VOTES: i32 = 8;
/// Client timeouts that differ by less than this share of the op timeout count as equal.
const TIMEOUT_TOLERANCE: f64 = 0.005;
/// Relative weight above which an op type counts as long.
const LONG_OP_WEIGHT: f64 = 2.5;
/// A connection attempt that failed after more than this was slow; a faster failure was a refusal.
const SLOW_CONNECT_MS: f64 = 50.0;
/// Shares of the overload multiple used by the cold budget and by random admission. They are below 1, as work
/// beyond the capacity of a host is seldom served in time.
const COLD_BUDGET_SHARE: f64 = 0.9;
const COLD_DRAW_SHARE: f64 = 0.6;
/// Random admission to a cold host applies while the work sent to it in the overload window is less than that
/// of this many ops.
const THIN_DEMAND_OPS: f64 = 4.0;
/// One second: the interval at which rates are updated, and roughly the delay after which a failed list
/// request is retried. Loss of contact for longer is taken for a restart, after which the host is cold.
const SECOND_MS: f64 = 1000.0;
/// Longest interval between probes of a host that is down or far behind.
const MAX_PROBE_INTERVAL_MS: f64 = 4000.0;

/// Decides about an op on its way to a host.
type ForwardStage = fn(&mut Policy, &mut SendAttempt) -> StageOutcome;
/// Updates the statistics of a stage from the result of a send.
type ResultStage = fn(&mut Policy, &SendResult);
/// The stages in the order in which an op passes through them; results pass in reverse order.
const STAGES: [(ForwardStage, ResultStage); 5] = [
    (Policy::admit, Policy::learn_send_time),
    (Policy::route_to_primary, Policy::update_primary),
    (Policy::route_to_replica, Policy::update_latency),
    (Policy::limit_in_flight, Policy::update_limits),
    (Policy::enforce_rules, Policy::record_commit),
];

/// The routing policy of one router; see the module documentation.
#[derive(Default)]
pub struct Policy {
    params: PolicyParams,
    /// Share of all reads that arrive at the routers of each zone, by zone number.
    pub zone_read_shares: Vec<f64>,
    op_types: Vec<OpType>,
    tenant_shares: Vec<TenantShare>,
    hosts: Vec<Host>,
    groups: Vec<Group>,
    /// Number of replicas per group that take long reads.
    long_read_replicas: f64,
    /// Work that reads may add to a primary, as a ratio of the work that must go there.
    fallback_ratio: f64,
    /// (share of new ops that the router has processor time for, time in ms after which the clients of the
    /// other ops are asked to retry).
    admission: (f64, f64),
    ops: OpTable,
    session_commits: SessionCommits,
    retry_matcher: RetryMatcher,
    random: Random,
    /// Time of the last tick or ended send, for functions that are not given the time.
    now: f64,
    /// Until when connections are taken to be slow to open, and until when hosts are taken to accept few.
    slow_connect_until: f64,
    scarce_connections_until: f64,
    /// The last connection that failed fast at a host that then answered a probe.
    connection_refused: RecentEvent,
    rates_updated_at: f64,
    /// Work that warm hosts of capacity 1 do for this router, as [replicas, primaries].
    warm_rates: [Rate; 2],
    demand: Demand,
    /// Limits of random admission to cold hosts, as multiples of their present capacity, for [replicas,
    /// primaries]. They follow how many answers of cold hosts are late.
    cold_load_factors: [f64; 2],
    poll_list_at: f64,
    /// A send, a probe or a list response has ended since hosts were last checked for outliers.
    is_outlier_check_due: bool,
    /// The list response being read names all hosts, not only changes.
    is_list_full: bool,
    /// The present list response is older than one before it.
    is_list_older: bool,
    list_revision: u64,
}

impl Policy {
    /// Creates the policy and requests the host list and the first tick.
    pub fn new(options: PolicyOptions, seed: u64, now: f64, outbox: &mut dyn Outbox) -> Policy {
        let tick_ms = options.tick_ms.max(5.0);
        let tenant_share = |rate: &f64| TenantShare {
            ops_per_ms: rate / options.routers / 1000.0,
            tokens: 1.0,
            refilled_at: now,
        };
        let tenant_shares = options.tenant_rates.iter().map(tenant_share).collect();
        let op_type =
            |spec: OpTypeSpec| OpType::new(spec.latency_target_ms * INITIAL_LATENCY_SHARE, now, spec);
        let is_bounded = |t: &&OpTypeSpec| t.consistency == Consistency::Bounded;
        let params = PolicyParams {
            tick_ms,
            reply_margin_ms: 2.0 * tick_ms,
            preferred_connected_replicas: if options.connection_price > options.cross_zone_price {
                HOST_SUBSET_SIZE
            } else {
                usize::MAX
            },
            trial_reads_replace_probes: options.hosts_reject_stale_reads
                && options.probe_price > options.cross_zone_price,
            cold_budget_multiple: options.overload_multiple * COLD_BUDGET_SHARE,
            max_cold_load_factor: options.overload_multiple * COLD_DRAW_SHARE,
            quota_ops_per_ms: options.tenant_rates.iter().sum::<f64>() / options.routers / 1000.0,
            initial_limit: (INITIAL_LIMIT / options.routers).max(MIN_LIMIT),
            min_staleness_bound_ms: options
                .op_types
                .iter()
                .filter(is_bounded)
                .map(|t| t.staleness_bound_ms)
                .fold(f64::INFINITY, f64::min),
            ..PolicyParams::from(&options)
        };
        let zone_read_shares = vec![1.0 / params.zone_count.max(1) as f64; params.zone_count.max(1)];
        let (op_types, random) =
            (options.op_types.into_iter().map(op_type).collect(), Random { seed, count: 0 });
        let initial = Policy {
            rates_updated_at: now,
            poll_list_at: f64::INFINITY,
            fallback_ratio: INITIAL_FALLBACK_RATIO,
            ..Policy::default()
        };
        let initial = Policy {
            admission: (1.0, 0.0),
            cold_load_factors: [params.max_cold_load_factor; 2],
            long_read_replicas: 1.0,
            ..initial
        };
        let mut policy = Policy { params, op_types, tenant_shares, random, zone_read_shares, ..initial };
        policy.poll_list(now, outbox);
        outbox.wake_after(policy.params.tick_ms);
        policy
    }

    /// Sets the share of new ops that the router has processor time for, and the approximate time after which
    /// the clients of the other ops are asked to retry.
    pub fn set_admission(&mut self, share: f64, retry_after_ms: f64) {
        self.admission = (share, retry_after_ms);
    }

    /// Requests the host list where it must be polled; schedules the next request in case no response
    /// arrives.
    fn poll_list(&mut self, now: f64, outbox: &mut dyn Outbox) {
        if let Some(interval_ms) = self.params.list_poll_interval_ms {
            outbox.watch_host_list();
            self.poll_list_at = now + interval_ms * 0.5;
        }
    }

    /// Starts a list response: a full list or changes, from the cache or from the list service. It is
    /// followed by calls of `host_listed` and one of `list_ended`.
    pub fn list_started(&mut self, is_full: bool, is_cached: bool) {
        self.poll_list_at = if is_cached { self.poll_list_at } else { f64::INFINITY };
        (self.is_list_full, self.list_revision) = (is_full, self.list_revision + 1);
        self.is_list_older = false;
    }

    /// The response that has been started is older than one before it. It adds what it names, but takes nothing
    /// back: neither drains nor hosts that it doesn't know yet.
    pub fn mark_list_older(&mut self) {
        (self.is_list_full, self.is_list_older) = (false, true);
    }

    /// Applies the list entry of one host.
    pub fn host_listed(&mut self, now: f64, host: usize, entry: HostEntry) {
        let HostEntry { group, state, capacity, started_at, primary, zone } = entry;
        while self.hosts.len() <= host {
            // Random, as routers that start together would otherwise use the same replicas in lockstep.
            let rotation_position = self.random.next_f64() / if capacity > 0.0 { capacity } else { 1.0 };
            self.hosts.push(Host { rotation_position, ..Host::new(usize::MAX, self.params.initial_limit) });
        }
        state::assign_group(&mut self.groups, &mut self.hosts[host], host, group);
        let record = &mut self.hosts[host];
        let has_left = record.list_revision > 0 && record.state != HostState::Ready;
        let has_restarted = started_at.is_finite() && started_at > record.started_at;
        let is_outdated = has_left && !has_restarted || started_at < record.started_at;
        if self.is_list_older && is_outdated {
            return;
        }
        (record.list_revision, record.zone) = (self.list_revision, zone);
        record.capacity = if capacity.is_finite() && capacity > 0.0 { capacity } else { record.capacity };
        record.record_start(started_at, self.params.initial_limit);
        // Where "gone" is not binding it proves nothing either: contact shows whether the host is up.
        let is_assumed_ready =
            state == HostState::Gone && !self.params.gone_is_binding && !record.has_drained;
        let state = if is_assumed_ready { HostState::Ready } else { state };
        record.unready_since =
            if state == HostState::Ready { f64::INFINITY } else { record.unready_since.min(now) };
        record.state = state;
        record.has_drained = state == HostState::Draining || (record.has_drained && state == HostState::Gone);
        record.is_listed_primary = primary;
        record.is_freshness_exempt |= primary && record.replica_seen_at == f64::NEG_INFINITY;
    }

    /// Ends a list response. After a full list, hosts that it does not name are gone, where gone is binding
    /// or they have drained.
    pub fn list_ended(&mut self, now: f64, outbox: &mut dyn Outbox) {
        self.is_outlier_check_due = true;
        let is_unlisted =
            |record: &&mut Host| self.is_list_full && record.list_revision != self.list_revision;
        for record in self
            .hosts
            .iter_mut()
            .filter(is_unlisted)
            .filter(|record| self.params.gone_is_binding || record.has_drained)
        {
            (record.state, record.unready_since) = (HostState::Gone, record.unready_since.min(now));
        }
        // A connection that is still opening may be ready only after the drain grace.
        let has_sends_while_leaving = |host: &usize| {
            self.hosts[*host].state != HostState::Ready && !self.hosts[*host].in_flight.is_empty()
        };
        (0..self.hosts.len()).filter(has_sends_while_leaving).for_each(|host| outbox.cancel_unstarted(host));
        for group in 0..self.groups.len() {
            self.retry_held(now, outbox, group, false);
        }
    }

    /// Releases the record of a host that has long been gone. True where the host's index may be reused.
    pub fn release_host(&mut self, now: f64, host: usize) -> bool {
        let (record, initial_limit) = (&self.hosts[host], self.params.initial_limit);
        let is_releasable =
            now - record.unready_since > RETENTION_MS && state::is_host_releasable(&self.ops, record, host);
        is_releasable && state::reset_host(&mut self.groups, &mut self.hosts, host, initial_limit)
    }

    /// The list request or the watch failed. The list is requested again after about a second, with jitter,
    /// so that routers do not retry in lockstep.
    pub fn list_failed(&mut self, now: f64) {
        self.poll_list_at = now + SECOND_MS * (0.5 + self.random.next_f64());
    }

    /// Applies a host's role and position, from a response (current) or from a report (some time old).
    pub fn host_reported(
        &mut self,
        now: f64,
        host: usize,
        role: Option<Role>,
        position: Option<f64>,
        is_response: bool,
    ) {
        let Some(record) = self.hosts.get_mut(host) else { return };
        let position = position.filter(|p| p.is_finite() && *p <= now);
        if let Some(p) = position.filter(|p| *p >= record.position) {
            (record.position, record.position_at) = (p, now);
        }
        // A response is dated by its arrival: dated by its position, which is rounded down, a fast error
        // would clear the primary that sent it. A report is dated by its position, so that an old one cannot
        // restore a primary that a write has disproved since.
        let observed_at = if is_response { now } else { position.unwrap_or(f64::NEG_INFINITY) };
        if role == Some(Role::Primary) && observed_at > record.primary_cleared_at.max(record.primary_seen_at)
        {
            (record.primary_seen_at, record.is_freshness_exempt) = (observed_at, true);
        } else if role == Some(Role::Replica) && (is_response || observed_at >= record.primary_seen_at) {
            record.clear_primary(if is_response { now } else { record.primary_cleared_at });
            record.replica_seen_at = now;
            record.is_freshness_exempt &= !is_response;
        }
    }

    /// A probe has ended after `elapsed_ms`.
    pub fn probe_ended(
        &mut self,
        now: f64,
        outbox: &mut dyn Outbox,
        host: usize,
        ending: Ending,
        elapsed_ms: f64,
    ) {
        let Some(record) = self.hosts.get_mut(host) else { return };
        (record.is_probe_in_flight, self.is_outlier_check_due) = (false, true);
        let group = record.group;
        if ending == Ending::Acked {
            // The host is up, so an earlier failure was one of its connections.
            match std::mem::take(&mut record.failed_connect_ms) {
                connect_ms if connect_ms > SLOW_CONNECT_MS => self.slow_connect_until = now + RETENTION_MS,
                // A single failure may be a connection that the host broke. Where hosts accept few
                // connections, another one follows soon.
                connect_ms if connect_ms > 0.0 && self.connection_refused.recurs_within(now, SECOND_MS) => {
                    self.scarce_connections_until = now + RETENTION_MS
                }
                _ => {}
            }
            if record.down_since < f64::INFINITY {
                self.record_contact(now, outbox, host);
            }
        } else if ending == Ending::Reset && !record.probe_reset.recurs_within(now, PROBE_INTERVAL_MS) {
            // The probe's connection may have been closed for the same reason as an op's. A host that is down
            // refuses the next one.
            self.probe_host(now, outbox, host);
        } else if ending.is_contact_failure() && record.last_response_at < now - elapsed_ms {
            record.failed_connect_ms = 0.0;
            self.mark_unresponsive(now, outbox, host, "probe unanswered");
        }
        self.retry_held(now, outbox, group, false);
    }

    /// Applies a report of another router: a hint at the primary, a replica's lag, or a reason to probe.
    /// It never proves that a host is fresh or healthy.
    pub fn peer_reported(&mut self, now: f64, outbox: &mut dyn Outbox, host: usize, report: PeerReport) {
        let (hosts_reject_stale_reads, record) =
            (self.params.hosts_reject_stale_reads, &mut self.hosts[host]);
        if record.record_peer_report(now, report, hosts_reject_stale_reads)
            && record.last_response_at < now - PROBE_INTERVAL_MS
            && self.may_probe_host(now, host)
        {
            self.probe_host(now, outbox, host);
        }
    }

    /// The host has responded. After a loss of contact of more than a second it counts as restarted.
    fn record_contact(&mut self, now: f64, outbox: &mut dyn Outbox, host: usize) {
        let record = &mut self.hosts[host];
        record.last_response_at = now;
        if now - record.down_since > SECOND_MS && record.started_at < record.down_since {
            record.started_at = now;
        }
        record.down_since = f64::INFINITY;
        if record.is_unresponsive {
            record.is_unresponsive = false;
            outbox.log(&format!("host {host} answers again"));
        }
    }

    /// Sets a host aside until it responds again.
    fn mark_unresponsive(&mut self, now: f64, outbox: &mut dyn Outbox, host: usize, reason: &str) {
        let record = &mut self.hosts[host];
        record.down_since = record.down_since.min(now);
        if !std::mem::replace(&mut record.is_unresponsive, true) {
            outbox
                .log(&format!("host {host} set aside: {reason}, {} sends in flight", record.in_flight.len()));
            outbox.contact_lost(host);
        }
    }

    /// A client has sent an op.
    pub fn op_arrived(&mut self, now: f64, outbox: &mut dyn Outbox, op: OpRequest) {
        let OpRequest {
            id,
            op_type,
            group,
            tenant,
            session,
            client_timeout_ms,
            since_write_ms,
            is_retry,
            extra_latency_ms,
            op_timeout_ms,
        } = op;
        state::ensure_group(&mut self.groups, group);
        let is_over_share = self.tenant_shares.get_mut(tenant).is_some_and(|s| s.charge(now));
        let stats = &mut self.op_types[op_type];
        let client_timeout_ms = if client_timeout_ms.is_finite() {
            client_timeout_ms.max(0.0)
        } else {
            stats.spec.latency_target_ms
        };
        // First tries share the most frequent client timeout. A different one is taken for what remains of
        // the op timeout to the last try, so it tells when the first try arrived: after the latency target of
        // the first try, the op is not worth sending. Where clients do not mark retries, only as many ops are
        // taken for last tries as were given up recently, so that clients that have merely shortened their
        // timeout are served.
        (stats.recent_give_ups, stats.recent_give_ups_at) =
            (stats.recent_give_ups * 0.5f64.powf((now - stats.recent_give_ups_at) / op_timeout_ms), now);
        let is_usual_timeout = stats.client_timeout.observe(
            client_timeout_ms,
            TIMEOUT_TOLERANCE * op_timeout_ms,
            is_retry != Some(true),
        );
        let is_likely_first_try = is_usual_timeout || is_retry == Some(false);
        // Where clients retry at the router that gave up their op, the time of arrival shows which given-up
        // op is the first try.
        stats.arrivals.add(now, 1.0, DEMAND_WINDOW_MS);
        let arrivals_per_ms = stats.arrivals.value / DEMAND_WINDOW_MS / self.groups.len() as f64;
        let matched_first_try = self.retry_matcher.match_retry(
            now,
            (op_type, group),
            is_retry,
            arrivals_per_ms,
            self.params.tick_ms,
        );
        let is_dated_by_timeout = !is_likely_first_try
            && stats.client_timeout.votes >= MIN_TIMEOUT_VOTES
            && (is_retry.is_some() || stats.recent_give_ups >= 1.0);
        if is_dated_by_timeout && is_retry.is_none() {
            stats.recent_give_ups -= 1.0;
        }
        let default_age_ms = if is_retry == Some(true) { stats.give_up_age_ms } else { 0.0 };
        let age_ms =
            if is_dated_by_timeout { (op_timeout_ms - client_timeout_ms).max(0.0) } else { default_age_ms };
        let age_ms = matched_first_try.map_or(age_ms, |first_try_at| now - first_try_at);
        let min_position = match stats.spec.consistency {
            Consistency::Fresh => now,
            Consistency::Session => {
                // The commit time was rounded up and positions are rounded down: 1 ms more covers both.
                let reported_write =
                    since_write_ms.filter(|ms| ms.is_finite() && *ms > 0.0).map(|ms| now - ms + 1.0);
                let tracked_write = self.session_commits.latest(session);
                if self.params.track_session_writes {
                    tracked_write
                } else {
                    reported_write.unwrap_or(f64::NEG_INFINITY)
                }
            }
            _ => f64::NEG_INFINITY,
        };
        let admission_draw = self.random.next_f64();
        let slot = self.ops.add(Op {
            id,
            op_type,
            group,
            session,
            arrived_at: now,
            first_try_at: now - age_ms,
            target_at: now
                + (stats.spec.latency_target_ms + extra_latency_ms - age_ms).min(client_timeout_ms),
            give_up_at: now + client_timeout_ms - self.params.reply_margin_ms,
            min_position,
            value: stats.spec.value * if is_over_share { self.params.over_share_value } else { 1.0 },
            is_over_share,
            admission_draw,
            is_first_try: age_ms == 0.0,
            ..Op::default()
        });
        if self.groups[group].held_ops.is_empty() || client_timeout_ms <= self.params.reply_margin_ms {
            self.route_op(now, outbox, slot);
        } else {
            // Others are waiting: the next answer or tick picks the most valuable one.
            state::hold_op(&mut self.ops, &mut self.groups, slot);
        }
    }

    /// The router shuts down: all ops that are open now get their final answers by this time.
    pub fn set_shutdown_deadline(&mut self, deadline: f64) {
        state::cap_give_up_at(&mut self.ops, deadline - self.params.reply_margin_ms);
    }

    /// The client of these ops has disconnected, and they need no answer. All are closed before held ops are
    /// retried, so that none of them takes the room that another one frees.
    pub fn client_left(&mut self, now: f64, outbox: &mut dyn Outbox, ids: &[OpId]) {
        let unanswered = |id: &OpId| self.ops.find(*id).filter(|s| !self.ops.get(*s).is_answered);
        let slots: Vec<usize> = ids.iter().filter_map(unanswered).collect();
        let groups: std::collections::BTreeSet<_> = slots.iter().map(|s| self.ops.get(*s).group).collect();
        for slot in slots {
            self.close_op(slot, outbox);
            self.retry_matcher.record_given_up(now, self.ops.get(slot), 0.0);
            self.ops.remove_if_finished(slot);
        }
        groups.into_iter().for_each(|group| self.retry_held(now, outbox, group, false));
    }

    /// A send has ended; `is_answered` tells whether its op has been answered.
    pub fn send_ended(
        &mut self,
        now: f64,
        outbox: &mut dyn Outbox,
        id: OpId,
        send_index: usize,
        ending: Ending,
        is_answered: bool,
    ) {
        (self.now, self.is_outlier_check_due) = (now, true);
        let Some(slot) = self.ops.find(id) else { return };
        let op = self.ops.get_mut(slot);
        let group = op.group;
        let Some(send) = op.sends.get_mut(send_index).filter(|s| s.ending.is_none()) else { return };
        send.ending = Some(ending);
        let result = SendResult { now, slot, host: send.host, sent_at: send.sent_at, ending };
        let last_response_at = self.hosts[result.host].last_response_at;
        if ending.is_from_host() {
            self.record_contact(now, outbox, result.host);
        } else if matches!(ending, Ending::Reset | Ending::Unreached) && last_response_at < result.sent_at {
            // The host may have closed the connection as idle, or accept no more connections, or accept them
            // slowly. A probe shows whether it is up.
            self.hosts[result.host].failed_connect_ms =
                if ending == Ending::Reset { 0.0 } else { now - result.sent_at };
            self.probe_host(now, outbox, result.host);
        }
        for (_, update) in STAGES.iter().rev() {
            update(self, &result);
        }
        if is_answered && !self.ops.get(slot).is_answered {
            self.close_op(slot, outbox);
        }
        // Where hosts accept few connections, an idle one keeps other routers from connecting.
        let record = &mut self.hosts[result.host];
        if now < self.scarce_connections_until
            && now >= self.slow_connect_until
            && record.in_flight.is_empty()
            && record.open_connections > 0
        {
            record.open_connections = 0;
            outbox.close_idle_connections(result.host);
        }
        let op = self.ops.get(slot);
        if !op.is_answered && op.outstanding() == 0 && !op.is_held {
            self.route_op(now, outbox, slot);
        }
        self.ops.remove_if_finished(slot);
        self.retry_held(now, outbox, group, false);
    }

    /// Passes the held ops of a group through the stages, those with the most value per work first. Without
    /// `retry_all` (between ticks), once an op is held again, the further ones of its type stay held untried:
    /// otherwise the cost would be quadratic in the number of held ops.
    fn retry_held(&mut self, now: f64, outbox: &mut dyn Outbox, group: usize, retry_all: bool) {
        if group >= self.groups.len() || self.groups[group].held_ops.is_empty() {
            return;
        }
        let mut held_ops = std::mem::take(&mut self.groups[group].held_ops);
        let value_per_work = |slot: &usize| {
            let op = self.ops.get(*slot);
            let stats = &self.op_types[op.op_type];
            op.value * if now > op.target_at { stats.spec.late_value } else { 1.0 } / stats.usual_ms
        };
        held_ops.sort_by(|a, b| value_per_work(b).total_cmp(&value_per_work(a)));
        let mut is_blocked = vec![false; self.op_types.len()];
        for slot in held_ops {
            let op = self.ops.get_mut(slot);
            op.is_held = false;
            let op_type = op.op_type;
            if is_blocked[op_type] && !retry_all {
                state::hold_op(&mut self.ops, &mut self.groups, slot);
                continue;
            }
            self.route_op(now, outbox, slot);
            is_blocked[op_type] |= self.groups[group].held_ops.last() == Some(&slot);
        }
    }

    /// Passes an op through the stages and sends it, holds it or gives it up.
    fn route_op(&mut self, now: f64, outbox: &mut dyn Outbox, slot: usize) {
        let mut attempt = SendAttempt {
            now,
            slot,
            host: usize::MAX,
            is_trial: false,
            is_fallback: false,
            hosts_to_probe: Vec::new(),
        };
        for (stage, _) in &STAGES {
            let outcome = stage(self, &mut attempt);
            for host in std::mem::take(&mut attempt.hosts_to_probe).into_iter() {
                if self.may_probe_host(now, host) {
                    self.probe_host(now, outbox, host);
                }
            }
            match outcome {
                StageOutcome::Continue => {}
                StageOutcome::Hold => return state::hold_op(&mut self.ops, &mut self.groups, slot),
                // The answer of an outstanding send may still arrive; the tick gives the op up in time.
                StageOutcome::Reject if self.ops.get(slot).outstanding() > 0 => {
                    return state::hold_op(&mut self.ops, &mut self.groups, slot);
                }
                StageOutcome::Reject => return self.give_up(now, outbox, slot),
            }
        }
        let (host, op_type) = (attempt.host, self.ops.get(slot).op_type);
        let begin_by = self.send_deadline(self.ops.get(slot), host);
        let (usual_ms, weight) = (self.op_types[op_type].usual_ms, self.relative_weight(op_type));
        let op = self.ops.get_mut(slot);
        let opens_connection = self.hosts[host].idle_connections() == 0;
        op.sends.push(Send { host, sent_at: now, ending: None, is_withdrawn: false, is_lost: false });
        let send_index = op.sends.len() - 1;
        let (group, consistency) = (op.group, self.op_types[op_type].spec.consistency);
        if consistency == Consistency::Write && self.primary_of(group) != Some(host) {
            self.groups[group].discovery_write = Some(slot);
        } else if matches!(consistency, Consistency::Write | Consistency::Fresh) {
            self.groups[group].primary_work.add(now, usual_ms, RETENTION_MS);
        }
        let warm_fraction = self.warm_fraction(now, host);
        let record = &mut self.hosts[host];
        record.in_flight.push(InFlightSend {
            op_slot: slot,
            send_index,
            sent_at: now,
            usual_ms,
            weight,
            is_fallback: attempt.is_fallback,
            opens_connection,
        });
        record.in_flight_weight += weight;
        // A host is next in the rotation in proportion to its present capacity.
        record.rotation_position += weight / (record.capacity * warm_fraction);
        if warm_fraction < 1.0 {
            record.record_work(now, usual_ms, now - self.params.overload_window_ms);
        }
        record.next_trial_at =
            if attempt.is_trial { now + 2.0 * PROBE_INTERVAL_MS } else { record.next_trial_at };
        outbox.send(self.ops.get(slot).id, host, begin_by);
    }

    /// Gives an op that will not be served its final answer: a busy reply where a retry is harmless, else an
    /// error reply.
    fn give_up(&mut self, now: f64, outbox: &mut dyn Outbox, slot: usize) {
        let op = self.ops.get(slot);
        let stats = &mut self.op_types[op.op_type];
        if op.is_first_try {
            update_average(&mut stats.give_up_age_ms, now - op.arrived_at, LATENCY_SMOOTHING);
            // Counted twice, as the count decays and some clients retry at other routers.
            stats.recent_give_ups += 2.0;
        }
        let has_no_primary = self.groups[op.group].no_primary_since < f64::INFINITY;
        // Outstanding sends are withdrawn first: one whose connection is still opening would leave after the
        // answer.
        self.close_op(slot, outbox);
        let op = self.ops.get(slot);
        if self.may_busy_reply(op) {
            let retry_after_ms =
                if has_no_primary { 2.0 * PROBE_INTERVAL_MS } else { self.op_types[op.op_type].usual_ms };
            // Spread out, as clients that are given the same time would retry all at once.
            let retry_after_ms = retry_after_ms
                .max(self.admission.1 * (0.5 + op.admission_draw))
                .min(self.params.max_retry_after_ms);
            outbox.busy_reply(op.id, retry_after_ms);
            self.retry_matcher.record_given_up(now, op, retry_after_ms);
        } else {
            outbox.error_reply(op.id);
            self.retry_matcher.record_given_up(now, op, 0.0);
        }
        self.ops.remove_if_finished(slot);
    }

    /// The op needs no further answer: withdraws its outstanding sends to relieve the hosts.
    fn close_op(&mut self, slot: usize, outbox: &mut dyn Outbox) {
        state::mark_answered(&mut self.ops, &mut self.groups, slot);
        for send_index in 0..self.ops.get(slot).sends.len() {
            self.withdraw_send(slot, send_index, outbox);
        }
    }

    /// Withdraws a send if it is outstanding.
    fn withdraw_send(&mut self, slot: usize, send_index: usize, outbox: &mut dyn Outbox) {
        let op = self.ops.get_mut(slot);
        let send = &mut op.sends[send_index];
        // Withdrawing closes the connection. Where connections are slow to open, the next ops would be late.
        let keeps_connection =
            self.now < self.slow_connect_until && self.hosts[send.host].uses_open_connection(slot);
        if send.ending.is_none() && !send.is_withdrawn {
            // Called even if a completely written send is not to be aborted: any other must not be written
            // after the final answer. Cancelling it is permitted, as the host sees no withdrawal.
            send.is_withdrawn = self.params.may_withdraw && !keeps_connection;
            outbox.withdraw(op.id, send_index, send.is_withdrawn);
        }
    }

    // Stages on the way to a host.

    /// Rejects ops that can no longer be answered usefully, may not be sent again, or exceed the admitted
    /// share.
    fn admit(&mut self, attempt: &mut SendAttempt) -> StageOutcome {
        let op = self.ops.get(attempt.slot);
        let stats = &self.op_types[op.op_type];
        let is_exhausted = attempt.now >= op.give_up_at || op.sends.len() >= self.params.max_sends;
        let (admitted_share, is_new) = (self.admission.0, op.sends.is_empty());
        let is_admitted = admitted_share >= 1.0
            || op.admission_draw < admitted_share * self.relative_to_mean(op.value, |stats| stats.spec.value);
        if is_exhausted || (is_new && !is_admitted) || attempt.now >= self.retry_deadline(op) {
            return StageOutcome::Reject;
        }
        let is_in_time = attempt.now + stats.send_ms < op.target_at;
        if !is_in_time && (stats.spec.late_value == 0.0 || attempt.now + stats.usual_ms > op.give_up_at) {
            return StageOutcome::Reject;
        }
        if attempt.now < op.retry_not_before { StageOutcome::Hold } else { StageOutcome::Continue }
    }

    /// Routes writes and fresh reads to the cached primary. While none is known, one write per group looks
    /// for it.
    fn route_to_primary(&mut self, attempt: &mut SendAttempt) -> StageOutcome {
        let role_index = self.role_index(self.ops.get(attempt.slot));
        let op = self.ops.get_mut(attempt.slot);
        let (consistency, usual_ms, group) =
            (self.op_types[op.op_type].spec.consistency, self.op_types[op.op_type].usual_ms, op.group);
        if !std::mem::replace(&mut op.is_counted_as_demand, true) {
            self.groups[group].demand[role_index].add(attempt.now, usual_ms, 0.0, RETENTION_MS);
            self.demand.add(
                attempt.now,
                role_index,
                usual_ms,
                op.is_first_try,
                (DEMAND_WINDOW_MS, RETENTION_MS),
            );
        }
        if role_index == 0 {
            return StageOutcome::Continue;
        }
        let primary = self.primary_of(group);
        if let Some(host) = primary.filter(|m| !self.hosts[*m].is_unresponsive) {
            attempt.host = host;
            return StageOutcome::Continue;
        }
        // The host that peers have last seen as primary is probed, or sent the write, first.
        let (group_record, hinted_at) = (&self.groups[group], |m: &usize| self.hosts[*m].peer_primary_hint());
        let (members, is_recent) =
            (&group_record.members, attempt.now - group_record.no_primary_since < SECOND_MS);
        let hinted = members.iter().copied().filter(|m| is_recent && hinted_at(m) > f64::NEG_INFINITY);
        let hinted = hinted.max_by(|a, b| hinted_at(a).total_cmp(&hinted_at(b)));
        attempt.hosts_to_probe.extend(members.iter().filter(|m| hinted.is_none_or(|host| host == **m)));
        // A known but unresponsive primary gets no writes, as it might lose some that cannot be sent again.
        let is_search_running = self.groups[group].discovery_write.is_some_and(|s| s != attempt.slot);
        if primary.is_some() || consistency == Consistency::Fresh || is_search_running {
            return StageOutcome::Hold;
        }
        // The write tries the members that have not just reported being replicas, in turn.
        let (op, members) = (self.ops.get(attempt.slot), &self.groups[group].members);
        let send_count = op.sends.len();
        let (first, count) = (self.groups[group].next_candidate, members.len());
        let first = hinted.and_then(|host| members.iter().position(|m| *m == host)).unwrap_or(first);
        let next = (0..count).map(|i| (first + i) % count).find(|index| {
            let record = &self.hosts[members[*index]];
            let was_tried = op.sends.iter().any(|s| s.host == members[*index]);
            record.state == HostState::Ready
                && !record.is_unresponsive
                && record.replica_seen_at < attempt.now - PROBE_INTERVAL_MS
                && !was_tried
        });
        let Some(index) = next.filter(|_| send_count < self.params.max_sends.div_ceil(2)) else {
            // No member has accepted it: the next probe, not a further send, has to find the primary.
            self.ops.get_mut(attempt.slot).retry_not_before = attempt.now + PROBE_INTERVAL_MS;
            self.groups[group].discovery_write = None;
            return StageOutcome::Hold;
        };
        attempt.host = members[index];
        self.groups[group].next_candidate = index + 1;
        StageOutcome::Continue
    }

    /// Rotates other reads over the replicas that are fresh enough.
    fn route_to_replica(&mut self, attempt: &mut SendAttempt) -> StageOutcome {
        if attempt.host != usize::MAX {
            return StageOutcome::Continue;
        }
        let op = self.ops.get(attempt.slot);
        let primary = self.primary_of(op.group);
        let members = &self.groups[op.group].members;
        let is_eligible = |host: &usize| {
            let was_just_tried =
                op.sends.iter().any(|s| s.host == *host && s.sent_at > attempt.now - 2.0 * PROBE_INTERVAL_MS);
            self.hosts[*host].state == HostState::Ready && !was_just_tried
        };
        let required_position = self.required_position(op, attempt.now);
        let mut candidates: Vec<usize> =
            members.iter().copied().filter(|m| is_eligible(m) && Some(*m) != primary).collect();
        let rotation_position = |host: usize| self.hosts[host].rotation_position;
        candidates.sort_by(|a, b| rotation_position(*a).total_cmp(&rotation_position(*b)));
        let is_fresh = |host: &usize| self.estimated_position(attempt.now, *host) >= required_position;
        let is_suspect = |host: &usize| self.hosts[*host].down_since < f64::INFINITY;
        let fresh: Vec<usize> = candidates.iter().copied().filter(is_fresh).collect();
        // An ejected host is tested with single reads; so is one that was behind, where probes cost more than
        // reads.
        let is_stale_probe_due =
            |host: &usize| !is_fresh(host) && !is_suspect(host) && self.may_probe_host(attempt.now, *host);
        let may_try_stale = |host: &usize| {
            self.params.trial_reads_replace_probes
                && is_stale_probe_due(host)
                && self.has_room(attempt.now, op, *host)
        };
        let trial =
            fresh.iter().copied().find(|m| self.hosts[*m].is_trial_due(attempt.now)).map(|m| (m, true));
        let trial = trial.or(candidates.iter().copied().find(may_try_stale).map(|m| (m, false)));
        if let Some((host, is_trial)) = trial.filter(|_| op.sends.is_empty()) {
            (attempt.host, attempt.is_trial, self.hosts[host].last_probe_at) = (host, is_trial, attempt.now);
            return StageOutcome::Continue;
        }
        let responsive: Vec<usize> =
            fresh.iter().copied().filter(|m| !self.hosts[*m].is_unresponsive).collect();
        let pool: Vec<usize> = responsive.iter().copied().filter(|m| !self.hosts[*m].is_ejected).collect();
        // Only a probe shows whether the next replica in the rotation has caught up or responds again. Where
        // few replicas are fresh, hosts whose probes are not due are left out: they must not take the place
        // of one whose probe is.
        let is_pool_small = 2 * pool.len() <= candidates.len();
        let needs_probe = |host: &usize| {
            (!is_fresh(host) || is_suspect(host))
                && (!is_pool_small || self.may_probe_host(attempt.now, *host))
        };
        let max_probes =
            if pool.is_empty() && !self.params.hosts_reject_stale_reads { HOST_SUBSET_SIZE } else { 1 };
        attempt.hosts_to_probe.extend(candidates.iter().copied().filter(needs_probe).take(max_probes));
        // Long reads that any member may answer delay the log where they run. Spread evenly, they would leave
        // no replica fresh, so they go to the first few replicas in an order common to all routers, or else
        // to the next idle one. How many depends on how many long reads are late; only the first where few
        // are caught up. Here and below, further digits of the admission draw serve as independent random
        // numbers.
        let has_room = |host: &&usize| self.has_room(attempt.now, op, **host);
        let mut long_read_order: Vec<&usize> = pool.iter().filter(|_| self.is_long(op.op_type)).collect();
        long_read_order.sort_unstable();
        let caught_up_from = attempt.now - CAUGHT_UP_BOUND_SHARE * self.params.min_staleness_bound_ms;
        let caught_up = long_read_order
            .iter()
            .filter(|m| self.estimated_position(attempt.now, ***m) >= caught_up_from)
            .count() as f64;
        let may_spread = caught_up >= MIN_CAUGHT_UP_SHARE * long_read_order.len() as f64;
        let spread = if may_spread { self.long_read_replicas } else { 1.0 };
        let assigned = long_read_order
            .get(((op.admission_draw * 16.0).fract() * spread) as usize)
            .filter(|m| has_room(m));
        let within_spread = || long_read_order.iter().take(spread.ceil() as usize).find(|m| has_room(m));
        let is_idle = |record: &Host| {
            record.in_flight.is_empty() && self.relative_weight(op.op_type) <= record.in_flight_limit
        };
        let next_idle =
            || long_read_order.iter().find(|m| may_spread && is_idle(&self.hosts[***m]) && has_room(m));
        if let Some(host) = assigned.or_else(within_spread).or_else(next_idle).or(long_read_order.first()) {
            attempt.host = **host;
            return StageOutcome::Continue;
        }
        let has_few_connected = pool.iter().filter(|m| self.hosts[**m].open_connections > 0).count()
            < self.params.preferred_connected_replicas;
        let may_open_connection = has_few_connected && attempt.now >= self.slow_connect_until;
        let is_available = |host: &&usize| {
            has_room(host) && (may_open_connection || self.hosts[**host].idle_connections() > 0)
        };
        // A zone is drawn at random, and the read goes to the next replica in the rotation there. A congested
        // replica takes only some of these reads.
        let mut zone_capacity = vec![0.0; self.params.zone_count];
        for host in &pool {
            let capacity = zone_capacity.get_mut(self.hosts[*host].zone);
            capacity
                .into_iter()
                .for_each(|sum| *sum += self.hosts[*host].capacity * self.warm_fraction(attempt.now, *host));
        }
        let mut zone_draw = (op.admission_draw * 1024.0).fract();
        let zone_shares = magpiewell_shares::zone_shares(
            &zone_capacity,
            &self.zone_read_shares,
            self.params.zone,
            LOCAL_ZONE_MAX_LOAD,
        );
        let zone = zone_shares.iter().position(|share| (zone_draw -= share, zone_draw < 0.0).1);
        let passes_congestion = |record: &Host| {
            (op.admission_draw * 64.0).fract()
                < (LOCAL_ZONE_MAX_CONGESTION - record.congestion).max(LOCAL_ZONE_MIN_SHARE)
        };
        let is_in_zone = |record: &Host| Some(record.zone) == zone && passes_congestion(record);
        let is_in_zone = |m: &&usize| is_in_zone(&self.hosts[**m]);
        // Without tenant rates, which tell what hosts are built for, a cold replica takes only the ops for
        // which it is next in the rotation. Judged by the little that one router sees of the warm ones, it
        // would otherwise get, from all routers, every op that the warm ones refuse.
        let is_warm = |m: &usize| self.warm_fraction(attempt.now, *m) >= 1.0;
        let next_in_rotation = [pool.first(), pool.iter().find(is_in_zone)];
        let limits_cold = self.params.quota_ops_per_ms <= 0.0 && pool.iter().any(is_warm);
        let may_take = |m: &&usize| !limits_cold || is_warm(m) || next_in_rotation.contains(&Some(*m));
        let mut order = pool.iter().filter(may_take);
        let pick =
            order.clone().find(|m| is_in_zone(m) && is_available(m)).or(order.clone().find(is_available));
        let pick = pick.or(order.find(has_room)).copied();
        // No replica is known to qualify; a probe may still find one.
        let may_answer_soon = |host: &usize| {
            !self.hosts[*host].is_unresponsive
                && (self.hosts[*host].is_probe_in_flight || self.may_probe_host(attempt.now, *host))
        };
        let awaits_probe = pool.is_empty()
            && !self.params.hosts_reject_stale_reads
            && candidates.iter().any(may_answer_soon);
        if awaits_probe && self.may_hold(attempt) {
            return StageOutcome::Hold;
        }
        // All fresh replicas are full, or none is fresh: falls back to the primary if it has room, else to a
        // replica that is full or ejected.
        let fallback =
            primary.filter(|m| pick.is_none() && is_eligible(m) && self.has_room(attempt.now, op, *m));
        let (first, responsive) = (pool.first().copied(), responsive.first().copied());
        if let Some(host) = fallback.filter(|_| self.may_fall_back(attempt)) {
            (attempt.host, attempt.is_fallback) = (host, true);
        } else if let Some(host) = pick.or(first) {
            attempt.host = host;
            // A host that was out of the rotation rejoins at the present position instead of catching up. The
            // position is random, as all routers would otherwise continue with the same host.
            let rotation_position = self.hosts[host].rotation_position;
            for other in candidates.into_iter().filter(|other| *other != host) {
                let (record, jitter) = (&mut self.hosts[other], self.random.next_f64());
                record.rotation_position = if record.rotation_position < rotation_position {
                    rotation_position + jitter / record.capacity
                } else {
                    record.rotation_position
                };
            }
        } else {
            attempt.host = responsive.unwrap_or(usize::MAX);
        }
        StageOutcome::Continue
    }

    /// Whether a read may fall back to its primary. Decided at random, so that all routers together add only
    /// a limited ratio to the work that must go there.
    fn may_fall_back(&mut self, attempt: &SendAttempt) -> bool {
        let op = self.ops.get_mut(attempt.slot);
        let group = &mut self.groups[op.group];
        let work_ms = if std::mem::replace(&mut op.is_counted_as_fallback, true) {
            0.0
        } else {
            self.op_types[op.op_type].usual_ms
        };
        group.fallback_work.add(attempt.now, work_ms, RETENTION_MS);
        group.primary_work.add(attempt.now, 0.0, RETENTION_MS);
        let (admission_draw, fallback_work, primary_work) =
            (op.admission_draw, group.fallback_work.value, group.primary_work.value);
        // One group alone has too few ops for its primary to be judged by.
        let mean_primary_work =
            self.groups.iter().map(|group| group.primary_work.value).sum::<f64>() / self.groups.len() as f64;
        admission_draw * fallback_work < self.fallback_ratio * primary_work.max(mean_primary_work)
    }

    /// The log position that a host is assumed to have. Where hosts reject stale reads, its lag is taken to
    /// be constant; elsewhere its last reported position counts.
    fn estimated_position(&self, now: f64, host: usize) -> f64 {
        let record = &self.hosts[host];
        match self.params.hosts_reject_stale_reads {
            true if record.position == f64::NEG_INFINITY => now,
            true => record.position + (now - record.position_at),
            false => record.position,
        }
    }

    /// Whether an op may still be held: for a share of its spare time, but not at all beyond its tenant's
    /// share.
    fn may_hold(&self, attempt: &SendAttempt) -> bool {
        let op = self.ops.get(attempt.slot);
        let stats = &self.op_types[op.op_type];
        let max_hold_ms =
            (op.target_at - op.arrived_at - stats.usual_ms) * if op.is_over_share { 0.0 } else { HOLD_SHARE };
        attempt.now - op.arrived_at <= max_hold_ms
    }

    /// Holds ops whose host has no room, and sheds those that have waited too long.
    fn limit_in_flight(&mut self, attempt: &mut SendAttempt) -> StageOutcome {
        let op = self.ops.get(attempt.slot);
        match attempt.is_trial || (attempt.host != usize::MAX && self.has_room(attempt.now, op, attempt.host))
        {
            true => StageOutcome::Continue,
            false if self.may_hold(attempt) => StageOutcome::Hold,
            false => StageOutcome::Reject,
        }
    }

    /// Holds every op whose send would break a rule, whatever the earlier stages have chosen.
    fn enforce_rules(&mut self, attempt: &mut SendAttempt) -> StageOutcome {
        let op = self.ops.get(attempt.slot);
        let fits_cold_budget = self.fits_cold_budget(attempt.now, op, attempt.host);
        if fits_cold_budget && self.is_allowed(op, attempt.host, attempt.now) {
            StageOutcome::Continue
        } else {
            StageOutcome::Hold
        }
    }

    // Stages on the way back.

    /// Records the commit of an acked write for later reads of its session.
    fn record_commit(&mut self, result: &SendResult) {
        let op = self.ops.get(result.slot);
        let is_write = self.op_types[op.op_type].spec.consistency == Consistency::Write;
        if self.params.track_session_writes && is_write && result.ending == Ending::Acked {
            // `host_reported` has just set the host's position to the commit.
            let (session, commit) = (op.session, self.hosts[result.host].position.max(result.sent_at));
            self.session_commits.add(session, commit + 1.0, result.now - 4.0 * self.params.warmup_ms);
        }
    }

    /// Updates the in-flight limit and the admitted shares.
    fn update_limits(&mut self, result: &SendResult) {
        let op = self.ops.get(result.slot);
        let stats = &self.op_types[op.op_type];
        // Without a response it would have taken longer still: ops withdrawn at their target would make a
        // congested host look healthy.
        let unobserved_ms = if result.ending.is_from_host() { 0.0 } else { stats.usual_ms };
        let spent_ms = result.now - result.sent_at + unobserved_ms;
        let is_cold = self.warm_fraction(result.sent_at, result.host) < 1.0;
        let (role_index, host_role_index) =
            (self.role_index(op), usize::from(self.primary_of(op.group) == Some(result.host)));
        let record = &mut self.hosts[result.host];
        let Some((send, weight_before)) = record.remove_in_flight(result.slot, result.sent_at) else {
            return;
        };
        record.record_connection(result.ending.is_from_host(), send.opens_connection);
        if result.ending.cannot_have_run() && result.ending != Ending::Full {
            return;
        }
        let is_late =
            result.ending == Ending::Full || spent_ms > LATE_TARGET_SHARE * stats.spec.latency_target_ms;
        if is_cold {
            let min_factor = MIN_SHARE * self.params.max_cold_load_factor;
            let factor = &mut self.cold_load_factors[role_index];
            *factor = (*factor * if is_late { SHARE_CUT } else { SHARE_RISE })
                .clamp(min_factor, self.params.max_cold_load_factor);
        }
        if send.is_fallback {
            self.fallback_ratio = (self.fallback_ratio * if is_late { SHARE_CUT } else { SHARE_RISE })
                .clamp(MIN_SHARE, MAX_FALLBACK_RATIO);
        }
        let congestion = (spent_ms / (CONGESTED_TARGET_SHARE * stats.spec.latency_target_ms)).min(5.0);
        update_average(&mut record.congestion, congestion, CONGESTION_SMOOTHING);
        if result.ending == Ending::Acked && !is_cold {
            self.warm_rates[host_role_index].add(result.now, stats.usual_ms, 0.0, RETENTION_MS);
        }
        // An op that was alone on its host was not delayed by other ops of this router. If it is late all the
        // same, the ops of all routers together overload the host.
        let was_alone = weight_before <= send.weight;
        if was_alone && role_index == 0 && !send.is_fallback {
            let share = &mut self.groups[op.group].idle_admission_share;
            *share = (*share * if is_late { GROUP_SHARE_CUT } else { SHARE_RISE }).clamp(MIN_SHARE, 1.0);
        }
        if was_alone && (is_late || record.in_flight_limit < MIN_LIMIT) {
            let cut = if record.in_flight_limit > MIN_LIMIT { LIMIT_CUT } else { SHARE_CUT };
            record.in_flight_limit =
                (record.in_flight_limit * if is_late { cut } else { SHARE_RISE }).max(MIN_SHARE);
            return;
        }
        let is_congested = record.congestion > 1.0 && congestion > 1.0 && !was_alone;
        if is_congested || result.ending == Ending::Full {
            record.in_flight_limit = (record.in_flight_limit.min(weight_before) * LIMIT_CUT).max(MIN_LIMIT);
            // Later measurements belong to the new limit; without this, a single congested period would cut
            // it to the floor.
            record.congestion = CONGESTION_AFTER_CUT;
        } else if result.ending == Ending::Acked && weight_before > 0.7 * record.in_flight_limit {
            record.in_flight_limit +=
                2.0 * (1.0 - record.congestion).clamp(0.0, 0.5) * send.weight / record.in_flight_limit;
        }
    }

    /// Updates a host's latency average, relative to the usual latency of the op type. Unfinished sends count
    /// if they raise it.
    fn update_latency(&mut self, result: &SendResult) {
        let Op { op_type, group, .. } = *self.ops.get(result.slot);
        if self.is_long(op_type) && !result.ending.cannot_have_run() {
            let is_in_time = result.now - result.sent_at
                <= LATE_TARGET_SHARE * self.op_types[op_type].spec.latency_target_ms;
            let max_replicas = self.groups[group].members.len().max(2) as f64 - 1.0;
            self.long_read_replicas = (self.long_read_replicas
                * if is_in_time { LONG_READ_NARROW } else { LONG_READ_WIDEN })
            .clamp(1.0, max_replicas);
        }
        let measured_ratio = (result.now - result.sent_at) / self.op_types[op_type].usual_ms;
        // A host that fails fast must not look healthy: an error counts as the latency of an outlier.
        let is_error = matches!(result.ending, Ending::Errored | Ending::Spoilt);
        let ratio =
            if is_error { measured_ratio.max(2.0 * OUTLIER_FACTOR) } else { measured_ratio.min(20.0) };
        let record = &mut self.hosts[result.host];
        let is_unfinished = matches!(result.ending, Ending::TimedOut | Ending::Withdrawn | Ending::Reset);
        if result.ending == Ending::Acked || is_error || (is_unfinished && ratio > record.latency_ratio) {
            update_average(
                &mut record.latency_ratio,
                ratio,
                if record.is_ejected { TRIAL_SMOOTHING } else { LATENCY_SMOOTHING },
            );
            record.latency_samples = record.latency_samples.saturating_add(1);
        }
    }

    /// A failed or rejected write clears the cached primary, unless the same response confirms the role.
    fn update_primary(&mut self, result: &SendResult) {
        let op = self.ops.get_mut(result.slot);
        let stats = &self.op_types[op.op_type];
        let is_refused = matches!(result.ending, Ending::Full | Ending::Unreached);
        if is_refused && self.hosts[result.host].primary_seen_at > f64::NEG_INFINITY {
            // Sent again at once, all ops that an overloaded primary refuses would return immediately.
            op.retry_not_before = result.now + 0.5 * stats.usual_ms * op.sends.len() as f64;
        }
        if stats.spec.consistency != Consistency::Write {
            return;
        }
        let discovery_write = &mut self.groups[op.group].discovery_write;
        *discovery_write = discovery_write.filter(|s| *s != result.slot);
        let record = &mut self.hosts[result.host];
        // A send that did not reach the host, or an unreadable response, says nothing about its role.
        let is_role_in_doubt =
            matches!(result.ending, Ending::Missed | Ending::Errored | Ending::TimedOut | Ending::Reset);
        if is_role_in_doubt && record.primary_seen_at <= result.sent_at {
            record.clear_primary(result.now);
        }
    }

    /// Updates the latency statistics of the op type.
    fn learn_send_time(&mut self, result: &SendResult) {
        let (op_type, is_in_rotation) =
            (self.ops.get(result.slot).op_type, self.hosts[result.host].is_in_rotation());
        self.op_types[op_type].record_send_time(
            result.now - result.sent_at,
            result.ending,
            is_in_rotation,
            USUAL_LATENCY_SMOOTHING,
            LATE_TARGET_SHARE,
        );
    }

    /// Whether a busy reply would be true: a retry of the op is harmless.
    fn may_busy_reply(&self, op: &Op) -> bool {
        match self.op_types[op.op_type].spec.retryability {
            Retryability::Retryable | Retryability::Tokened { anywhere: true, .. } => true,
            _ => !op.sends.iter().any(Send::may_have_run),
        }
    }

    /// Until when the op may be sent again, given that earlier sends may have run.
    fn retry_deadline(&self, op: &Op) -> f64 {
        match (self.op_types[op.op_type].spec.retryability, op.sends.iter().find(|s| s.may_have_run())) {
            (_, None) | (Retryability::Retryable, _) => f64::INFINITY,
            (Retryability::Tokened { window_ms, .. }, Some(s)) => s.sent_at + window_ms - self.params.tick_ms,
            (Retryability::NonRetryable, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// Until when a send of the op to this host may begin: until its retry deadline and, where hosts do not
    /// reject stale reads, while the host's data is fresh enough.
    fn send_deadline(&self, op: &Op, host: usize) -> f64 {
        let (spec, record) = (&self.op_types[op.op_type].spec, &self.hosts[host]);
        self.retry_deadline(op).min(match spec.consistency {
            _ if self.params.hosts_reject_stale_reads || record.is_freshness_exempt => f64::INFINITY,
            Consistency::Bounded => record.position + spec.staleness_bound_ms,
            _ if record.position >= op.min_position => f64::INFINITY,
            _ => f64::NEG_INFINITY,
        })
    }

    /// Whether all rules other than the cold budget permit the send.
    fn is_allowed(&self, op: &Op, host: usize, now: f64) -> bool {
        let record = &self.hosts[host];
        !op.is_answered
            && now < op.give_up_at
            && record.group == op.group
            && op.sends.len() < self.params.max_sends
            && op.outstanding() < self.params.max_outstanding_sends
            && (now - record.unready_since < self.params.drain_grace_ms - self.params.tick_ms
                || record.unready_since == f64::INFINITY)
            && now < self.send_deadline(op, host)
    }

    /// The log position that a host must have reached to serve the op.
    fn required_position(&self, op: &Op, now: f64) -> f64 {
        match self.op_types[op.op_type].spec.consistency {
            Consistency::Bounded => now - self.op_types[op.op_type].spec.staleness_bound_ms,
            _ => op.min_position,
        }
    }

    /// The cached primary: the ready member seen as primary last, else the listed one.
    fn primary_of(&self, group: usize) -> Option<usize> {
        let is_ready = |m: &&usize| self.hosts[**m].state == HostState::Ready;
        let members = &self.groups[group].members;
        let seen_at = |m: &&usize| self.hosts[**m].primary_seen_at;
        let latest = members.iter().filter(is_ready).max_by(|a, b| seen_at(a).total_cmp(&seen_at(b)));
        let latest = latest.filter(|m| seen_at(m) > f64::NEG_INFINITY);
        latest.or(members.iter().filter(is_ready).find(|m| self.hosts[**m].is_listed_primary)).copied()
    }

    /// A value of one op type, relative to the mean over all op types.
    fn relative_to_mean(&self, value: f64, of: impl Fn(&OpType) -> f64) -> f64 {
        value * self.op_types.len() as f64 / self.op_types.iter().map(of).sum::<f64>()
    }

    /// Whether ops of the type are long reads that any member may answer.
    fn is_long(&self, op_type: usize) -> bool {
        self.op_types[op_type].spec.consistency == Consistency::Any
            && self.relative_weight(op_type) > LONG_OP_WEIGHT
    }

    /// The ready members of a group other than the primary.
    fn replicas(&self, group: usize) -> impl Iterator<Item = usize> {
        let primary = self.primary_of(group);
        let members = self.groups[group].members.iter().copied();
        members.filter(move |m| self.hosts[*m].state == HostState::Ready && Some(*m) != primary)
    }

    /// The work of an op type relative to the mean, within limits.
    fn relative_weight(&self, op_type: usize) -> f64 {
        self.relative_to_mean(self.op_types[op_type].usual_ms, |t| t.usual_ms).clamp(0.5, 3.0)
    }

    /// Whether a host has room for one more op in flight. An in-flight limit below 1 is the share of ops
    /// admitted to an idle host.
    fn has_room(&self, now: f64, op: &Op, host: usize) -> bool {
        let record = &self.hosts[host];
        let relative_value = self
            .relative_to_mean(op.value / self.op_types[op.op_type].usual_ms, |t| t.spec.value / t.usual_ms);
        // A read goes to whichever replica admits it, so what the replicas admit together has its own share.
        let group_share =
            if self.role_index(op) == 1 { 1.0 } else { self.groups[op.group].idle_admission_share };
        let admitted_share = record.in_flight_limit.min(group_share);
        let is_admitted_idle = record.in_flight.is_empty()
            && (admitted_share >= MIN_LIMIT || op.admission_draw < admitted_share * relative_value);
        let fits_limit = record.in_flight_limit > MIN_LIMIT
            && record.in_flight_weight + self.relative_weight(op.op_type) <= record.in_flight_limit;
        // While connections are slow to open, an op waits for an open one rather than for a new one.
        let has_connection =
            now >= self.slow_connect_until || record.idle_connections() > 0 || record.in_flight.is_empty();
        !record.is_unresponsive
            && has_connection
            && (is_admitted_idle || fits_limit)
            && self.fits_cold_budget(now, op, host)
    }

    /// The smallest share of its full capacity that a host can have by now, given its start.
    fn warm_fraction(&self, now: f64, host: usize) -> f64 {
        let age_ms = (now - self.hosts[host].started_at).max(0.0);
        (self.params.cold_capacity_share
            + (1.0 - self.params.cold_capacity_share) * age_ms / self.params.warmup_ms)
            .min(1.0)
    }

    /// Work per ms that a warm host of the same capacity does for this router, as a replica or as a primary.
    fn warm_work_per_ms(&self, host: usize) -> f64 {
        self.hosts[host].capacity * self.warm_rates[0].per_ms().max(self.warm_rates[1].per_ms())
    }

    /// Whether the op fits the cold budget. This router's share of the budget is estimated from what it sends
    /// to warm hosts of the same capacity. Where that is less than one op, as with hundreds of routers, ops
    /// are admitted at random, at the ratio of the budget to the demand of all routers.
    fn fits_cold_budget(&self, now: f64, op: &Op, host: usize) -> bool {
        let (warm_fraction, record, usual_ms) =
            (self.warm_fraction(now, host), &self.hosts[host], self.op_types[op.op_type].usual_ms);
        let recent_work_ms = record.recent_work(now - self.params.overload_window_ms);
        let budget_ms = self.params.cold_budget_multiple
            * warm_fraction
            * self.warm_work_per_ms(host)
            * self.params.overload_window_ms;
        warm_fraction >= 1.0
            || recent_work_ms + usual_ms <= budget_ms
            || (recent_work_ms < THIN_DEMAND_OPS * usual_ms
                && op.admission_draw * self.demand_ratio(now, op, host)
                    < self.cold_load_factors[self.role_index(op)] * warm_fraction)
    }

    /// 1 for ops that must go to the primary, 0 for other reads; indexes the pairs kept per role.
    fn role_index(&self, op: &Op) -> usize {
        usize::from(matches!(
            self.op_types[op.op_type].spec.consistency,
            Consistency::Write | Consistency::Fresh
        ))
    }

    /// This router's demand on the host by ops of this role, relative to the demand on a warm host if all
    /// tenants used their full shares. At least the mean over all groups counts, as one group alone has too
    /// few ops.
    fn demand_ratio(&self, now: f64, op: &Op, host: usize) -> f64 {
        let (group, groups, role_index) =
            (&self.groups[op.group], self.groups.len() as f64, self.role_index(op));
        let demand_per_ms =
            group.demand[role_index].per_ms().max(self.demand.rates[role_index].per_ms() / groups);
        let replicas = || self.replicas(op.group);
        let warm_replicas: f64 =
            replicas().filter(|m| self.hosts[*m].is_in_rotation()).map(|m| self.warm_fraction(now, m)).sum();
        let (host_share, replica_count) = match role_index == 1 {
            true => (1.0, 1.0),
            // A cold primary has no room for reads that are admitted at random.
            false if self.primary_of(op.group) == Some(host) => return f64::INFINITY,
            false => (self.warm_fraction(now, host) / warm_replicas.max(0.01), replicas().count() as f64),
        };
        let quota_work_per_ms = self.params.quota_ops_per_ms * self.demand.mean_first_try_work(role_index)
            / groups
            / replica_count;
        let full_work_per_ms =
            if quota_work_per_ms > 0.0 { quota_work_per_ms } else { self.warm_work_per_ms(host) };
        if full_work_per_ms > 0.0 && demand_per_ms > 0.0 {
            demand_per_ms * host_share / full_work_per_ms
        } else {
            host_share * replica_count
        }
    }

    /// Does the periodic work: polls the list, checks hosts, retries held ops and gives up those past their
    /// deadline.
    pub fn tick(&mut self, now: f64, outbox: &mut dyn Outbox) {
        self.now = now;
        outbox.wake_after(self.params.tick_ms);
        if now >= self.poll_list_at {
            self.poll_list(now, outbox);
        }
        self.evaluate_hosts(now, outbox);
        // With hundreds of routers most ticks find nothing to do: hosts with nothing in flight and groups
        // with no held ops are skipped.
        for host in 0..self.hosts.len() {
            self.hosts[host].is_unresponsive &= self.params.may_probe || now < self.hosts[host].next_trial_at;
            if !self.hosts[host].in_flight.is_empty() {
                self.detect_lost_sends(now, outbox, host);
            }
        }
        for group in 0..self.groups.len() {
            if self.groups[group].held_ops.is_empty() && self.groups[group].no_primary_since == f64::INFINITY
            {
                continue;
            }
            let is_unknown = self.primary_of(group).is_none();
            if let Some(line) = self.groups[group].record_primary_known(now, is_unknown) {
                outbox.log(&format!("group {group} {line}"));
            }
            self.retry_held(now, outbox, group, true);
        }
        for slot in 0..self.ops.slots.len() {
            let Some(op) = &self.ops.slots[slot] else { continue };
            // Given up just before the target: an op that fails after it costs more.
            let is_lost = op.sends.last().is_some_and(|s| s.is_lost && s.ending.is_none());
            let is_worthless_late = is_lost || self.op_types[op.op_type].spec.late_value == 0.0;
            let is_too_late = now + self.params.tick_ms >= op.target_at && is_worthless_late;
            if !op.is_answered && (is_too_late || now >= op.give_up_at) {
                self.give_up(now, outbox, slot);
            }
        }
    }

    /// Ejects outliers and returns them to the rotation; once a second updates the work rates.
    fn evaluate_hosts(&mut self, now: f64, outbox: &mut dyn Outbox) {
        if now - self.rates_updated_at >= SECOND_MS {
            let elapsed_ms = now - std::mem::replace(&mut self.rates_updated_at, now);
            for record in &mut self.hosts {
                // What is known about an idle host becomes stale, all the more where it gets few ops.
                record.in_flight_limit *=
                    if record.in_flight_limit < MIN_LIMIT { IDLE_SHARE_RECOVERY } else { 1.0 };
            }
            // The mean work of warm hosts, not the median: with less than one op per host the median is 0.
            let is_warm = |host: &usize| {
                self.hosts[*host].state == HostState::Ready && self.warm_fraction(now, *host) >= 1.0
            };
            for host in (0..self.hosts.len()).filter(is_warm).collect::<Vec<_>>() {
                let role_index = usize::from(self.primary_of(self.hosts[host].group) == Some(host));
                self.warm_rates[role_index].add(
                    now,
                    0.0,
                    self.hosts[host].capacity * elapsed_ms,
                    RETENTION_MS,
                );
            }
            self.groups
                .iter_mut()
                .flat_map(|g| &mut g.demand)
                .for_each(|rate| rate.add(now, 0.0, elapsed_ms, RETENTION_MS));
            self.demand.rates.iter_mut().for_each(|rate| rate.add(now, 0.0, elapsed_ms, DEMAND_WINDOW_MS));
        }
        if !std::mem::take(&mut self.is_outlier_check_due) {
            return;
        }
        let is_counted = |record: &&Host| {
            record.state == HostState::Ready
                && record.latency_samples >= MIN_LATENCY_SAMPLES
                && !record.is_unresponsive
        };
        let fleet_median =
            median(self.hosts.iter().filter(is_counted).map(|record| record.latency_ratio).collect())
                .unwrap_or(1.0);
        for group in 0..self.groups.len() {
            let members = &self.groups[group].members;
            let latency_ratios = members
                .iter()
                .map(|m| &self.hosts[*m])
                .filter(is_counted)
                .map(|record| record.latency_ratio)
                .collect();
            // Two slow members of three raise their group's median; the fleet's median still exposes them.
            let baseline = median(latency_ratios).unwrap_or(1.0).min(fleet_median);
            for host in members.clone() {
                let record = &mut self.hosts[host];
                let is_outlier = record.latency_samples >= MIN_LATENCY_SAMPLES
                    && record.latency_ratio > OUTLIER_FACTOR * baseline;
                if is_outlier != record.is_ejected {
                    (record.is_ejected, record.next_trial_at) = (is_outlier, now + PROBE_INTERVAL_MS);
                    let change = if is_outlier { "ejected" } else { "back in rotation" };
                    outbox.log(&format!(
                        "host {host} {change}: latency ratio {:.2} against a median of {baseline:.2}",
                        record.latency_ratio
                    ));
                }
            }
        }
    }

    /// Marks sends as lost that were overtaken or whose host is unresponsive. Where permitted, their ops are
    /// sent to other hosts.
    fn detect_lost_sends(&mut self, now: f64, outbox: &mut dyn Outbox, host: usize) {
        let record = &mut self.hosts[host];
        let slowdown = record.latency_ratio.max(1.0);
        let is_late = |send: &InFlightSend| now - send.sent_at > LOST_SEND_FACTOR * send.usual_ms * slowdown;
        // Overtaken sends are lost although the host responds to others; they no longer count towards its
        // limit.
        let is_unresponsive = record.is_unresponsive;
        let is_overtaken = |send: &InFlightSend| is_late(send) && send.sent_at < record.last_response_at;
        let lost_sends: Vec<InFlightSend> =
            record.in_flight.iter().filter(|send| is_unresponsive || is_overtaken(send)).cloned().collect();
        record.in_flight_weight =
            record.in_flight.iter().filter(|send| !is_overtaken(send)).map(|send| send.weight).sum();
        for send in lost_sends.into_iter().filter(|send| now - send.sent_at > send.usual_ms) {
            let op = self.ops.get_mut(send.op_slot);
            op.sends[send.send_index].is_lost = true;
            // A write stuck on an unresponsive host must not keep others from searching for the primary.
            let discovery_write = &mut self.groups[op.group].discovery_write;
            *discovery_write = discovery_write.filter(|s| *s != send.op_slot);
            let op = self.ops.get(send.op_slot);
            let spec = &self.op_types[op.op_type].spec;
            let has_primary = self.primary_of(op.group).is_some_and(|p| !self.hosts[p].is_unresponsive);
            let may_retry =
                !op.is_answered && !op.sends[send.send_index].is_withdrawn && now < self.retry_deadline(op);
            let should_retry = may_retry && (spec.consistency != Consistency::Write || has_primary);
            if should_retry
                && self.params.max_outstanding_sends > 1
                && op.outstanding() == 1
                && spec.retryability == Retryability::Retryable
            {
                self.route_op(now, outbox, send.op_slot);
            } else if should_retry && self.params.max_outstanding_sends == 1 {
                self.withdraw_send(send.op_slot, send.send_index, outbox);
            }
        }
    }

    /// Probes a host, or sets it aside where probes are not permitted.
    fn probe_host(&mut self, now: f64, outbox: &mut dyn Outbox, host: usize) {
        let record = &mut self.hosts[host];
        if !self.params.may_probe {
            self.mark_unresponsive(now, outbox, host, "contact failed");
            // No probe will show when it is back; an op tries it after a while.
            let record = &mut self.hosts[host];
            record.next_trial_at =
                now + (0.5 * (now - record.down_since)).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS);
        } else if !record.is_probe_in_flight {
            (record.is_probe_in_flight, record.last_probe_at) = (true, now);
            outbox.probe(host);
        }
    }

    /// Whether a probe of the host may be sent: its last report or probe is not recent. As probes are sent
    /// only for ops and for reports of peers, their number does not grow with that of hosts.
    fn may_probe_host(&self, now: f64, host: usize) -> bool {
        let record = &self.hosts[host];
        // A host that is far behind, or has been down for long, will not be back soon.
        let has_primary = self.groups[record.group].no_primary_since == f64::INFINITY;
        let outage_ms = if record.down_since < f64::INFINITY {
            now - record.down_since
        } else {
            record.position_at - record.position
        };
        let interval_ms = if has_primary {
            (0.5 * outage_ms).clamp(PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS)
        } else {
            PROBE_INTERVAL_MS / 2.0
        };
        let due_at = record.last_probe_at.max(record.position_at) + interval_ms;
        self.params.may_probe
            && record.state == HostState::Ready
            && !record.is_probe_in_flight
            && now >= due_at
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
