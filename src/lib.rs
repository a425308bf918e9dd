//! magpiewell: the decision core of a read/write splitter for database clusters. It does no I/O, reads no
//! clock and speaks no protocol.
//!
//! An adapter owns one [`policy::Policy`] per router. It reports each event to the policy together with the
//! current time (f64 milliseconds on one clock) and carries out the actions that the policy puts into its
//! [`Outbox`], in order. Hosts, groups, op types and tenants are identified by small indices.

pub mod policy;
pub mod state;

/// Identifies one op. Chosen by the adapter and not reused while a send of the op is outstanding.
pub type OpId = u64;

/// How recent the data seen by an op must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary accepts it.
    Write,
    /// Sees every write committed before the op arrived; served by the primary.
    Fresh,
    /// Sees the writes of its own session.
    Session,
    /// Sees data no older than the staleness bound at the time of the send.
    Bounded,
    /// Any member of the group may answer.
    Any,
}

/// Whether an op may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retryability {
    Retryable,
    /// Hosts drop duplicates for `window_ms`, either within the op's group or, with `anywhere`, in all
    /// groups.
    Tokened {
        window_ms: f64,
        anywhere: bool,
    },
    NonRetryable,
}

/// The fixed properties of an op type.
#[derive(Clone, Debug)]
pub struct OpTypeSpec {
    pub consistency: Consistency,
    pub retryability: Retryability,
    pub staleness_bound_ms: f64,
    pub latency_target_ms: f64,
    /// What an answer within the latency target is worth, relative to other op types.
    pub value: f64,
    /// Share of the value that an answer after the latency target still has.
    pub late_value: f64,
}

/// What a deployment permits, requires and charges for. The policy derives its parameters from it at startup.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    /// Number of routers that share the hosts.
    pub routers: f64,
    /// Number of zones that have routers.
    pub zone_count: usize,
    /// Index of this router's zone; any other number where it is unknown.
    pub zone: usize,
    pub tick_ms: f64,
    pub op_types: Vec<OpTypeSpec>,
    /// Ops per second within each tenant's share, over all routers.
    pub tenant_rates: Vec<f64>,
    /// Factor on the value of an op beyond its tenant's share.
    pub over_share_value: f64,
    /// Sends per op.
    pub max_sends: usize,
    /// Whether a retryable op may have a second send outstanding.
    pub may_hedge: bool,
    pub may_withdraw: bool,
    pub may_probe: bool,
    /// What the deployment charges for a probe, a new connection and a send to another zone. Only the order
    /// of the three prices matters.
    pub probe_price: f64,
    pub connection_price: f64,
    pub cross_zone_price: f64,
    /// Longest wait that a busy reply may name; 0 where busy replies name none.
    pub max_retry_after_ms: f64,
    /// Time for which a host that the list names as draining or gone may still be sent ops.
    pub drain_grace_ms: f64,
    /// False where a host listed as gone without having drained may still be sent ops.
    pub gone_is_binding: bool,
    /// Longest interval between requests of the host list; `None` where the list service pushes changes.
    pub list_poll_interval_ms: Option<f64>,
    /// Smallest share of its full capacity that a host has right after its start.
    pub cold_capacity_share: f64,
    /// Time from a host's start until it has its full capacity.
    pub warmup_ms: f64,
    /// A cold host fails when the work sent to it within `overload_window_ms` exceeds this multiple of what
    /// it can do in that time.
    pub overload_multiple: f64,
    pub overload_window_ms: f64,
    /// Replicas reject reads for which they are too far behind.
    pub hosts_reject_stale_reads: bool,
    /// Session reads must see the writes whose answers passed through this router.
    pub track_session_writes: bool,
}

/// The state of a host according to the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// One host's entry in the host list.
#[derive(Clone, Copy, Debug)]
pub struct HostEntry {
    pub group: usize,
    pub state: HostState,
    /// Capacity relative to other hosts.
    pub capacity: f64,
    /// When the host last started; -inf for long ago.
    pub started_at: f64,
    pub primary: bool,
    /// Index of the host's zone, numbered as in [`PolicyOptions`]; any other number where it is unknown.
    pub zone: usize,
}

/// An op that a client has sent.
#[derive(Clone, Copy, Debug)]
pub struct OpRequest {
    pub id: OpId,
    pub op_type: usize,
    pub group: usize,
    pub tenant: usize,
    pub session: u64,
    /// How long the client waits for this try.
    pub client_timeout_ms: f64,
    /// Time since the last write of the op's session, where ops carry it.
    pub since_write_ms: Option<f64>,
    /// Whether the op is a retry, where clients mark retries.
    pub is_retry: Option<bool>,
    /// What the op's own work adds to its latency target.
    pub extra_latency_ms: f64,
    /// How long clients wait for an op of this type over all its tries.
    pub op_timeout_ms: f64,
}

/// A host's role in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// How a send or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The host ran the op and acknowledged it.
    Acked,
    /// The host answered with an error. The op may have run.
    Errored,
    /// The response is malformed. The op may have run, and the response says nothing about the host's role.
    Spoilt,
    /// The host rejected the op without running it, as it has reached a limit or is draining.
    Full,
    /// No response arrived in time. The op may have run.
    TimedOut,
    /// The host received no complete op: the connection could not be opened or did not accept all of it.
    Unreached,
    /// The connection broke before the response was complete. The op may have run.
    Reset,
    /// The policy withdrew the send. The op may have run.
    Withdrawn,
    /// Nothing of the op was written to a connection, which says nothing about the host.
    Unsent,
    /// The host rejected the op without running it, as it isn't the primary or is too far behind.
    Missed,
}

impl Ending {
    /// True if the ending proves that the op did not run.
    pub fn cannot_have_run(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreached | Ending::Unsent | Ending::Missed)
    }

    /// True if the host could not be reached or did not respond.
    pub fn is_contact_failure(self) -> bool {
        matches!(self, Ending::TimedOut | Ending::Unreached | Ending::Reset)
    }

    /// True if the host itself responded.
    pub fn is_from_host(self) -> bool {
        matches!(self, Ending::Acked | Ending::Errored | Ending::Spoilt | Ending::Full | Ending::Missed)
    }
}

/// What other routers of the tier report about a host, with the time of the observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// The host has shown itself to be its group's primary.
    Primary { at: f64 },
    /// The host was this far behind the primary's log.
    ReplicaLag { lag_ms: f64, at: f64 },
    /// Several routers got no response from the host.
    Unresponsive,
}

/// Receives the policy's actions, which take effect in the order given.
pub trait Outbox {
    /// Sends the op; the sends of an op are numbered from 0 in this order. If writing it has not begun by
    /// `begin_by`, the send must not be written at all and ends as [`Ending::Unsent`].
    fn send(&mut self, op: OpId, host: usize, begin_by: f64);
    /// Withdraws a send. If it is not completely written, it never will be. One that is completely written is
    /// aborted if `abort` is true and continues otherwise.
    fn withdraw(&mut self, op: OpId, send: usize, abort: bool);
    /// Cancels the sends to this host of which nothing is written; they end as [`Ending::Unsent`].
    fn cancel_unstarted(&mut self, _host: usize) {}
    /// Gives the op its final answer, which promises that a retry is harmless. `retry_after_ms` is the time
    /// after which the client should retry; 0 names none.
    fn busy_reply(&mut self, op: OpId, retry_after_ms: f64);
    /// Gives the op its final answer, which does not tell whether the op has run.
    fn error_reply(&mut self, op: OpId);
    fn probe(&mut self, host: usize);
    /// Closes this router's idle connections to the host.
    fn close_idle_connections(&mut self, host: usize);
    /// Requests the changes of the host list since the last response, and a watch for further ones.
    fn watch_host_list(&mut self);
    /// Requests one call of [`policy::Policy::tick`] after this time.
    fn wake_after(&mut self, delay_ms: f64);
    fn log(&mut self, line: &str);
    /// Contact with the host was lost. The adapter may report that to the other routers.
    fn contact_lost(&mut self, _host: usize) {}
}
