//! magpiewell: the decision core of a read and write splitter. No I/O, no clock, no protocol.
//!
//! An adapter owns one [`policy::Policy`] per router instance. It calls the policy with what happened and
//! the time (f64 ms on one clock), and carries out what the policy puts into its [`Outbox`], in order.
//! Ids reach the core as small numbers: hosts, groups, op types and tenants are indices.

pub mod policy;
pub mod state;

/// Names one op; chosen by the adapter, never reused while a send of it is out.
pub type OpId = u64;

/// How recent the data must be that an op sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Sees every write committed before the op arrived.
    Fresh,
    /// Sees what its own session has written.
    Session,
    /// Sees data no older than a bound when it is sent.
    Bounded,
    /// Any member may answer.
    Any,
}

/// Whether an op may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Retryability {
    Retryable,
    /// Repeats are dropped for `window_ms`; within the op's group, or anywhere.
    Tokened {
        window_ms: f64,
        anywhere: bool,
    },
    NonRetryable,
}

/// What is fixed about an op type.
#[derive(Clone, Debug)]
pub struct OpTypeSpec {
    pub consistency: Consistency,
    pub retryability: Retryability,
    pub staleness_bound_ms: f64,
    pub latency_target_ms: f64,
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value: f64,
}

/// What a deployment allows and asks; the policy derives its figures from it and drops it.
#[derive(Clone, Debug)]
pub struct PolicyOptions {
    pub routers: f64,
    /// Zones that routers are in, and the number of this one's own; any other where it is not known.
    pub zone_count: usize,
    pub zone: usize,
    pub tick_ms: f64,
    pub op_types: Vec<OpTypeSpec>,
    /// Ops a second within each tenant's share, over all routers.
    pub tenant_rates: Vec<f64>,
    pub over_share_value: f64,
    pub max_sends: usize,
    pub may_hedge: bool,
    pub may_withdraw: bool,
    pub may_probe: bool,
    /// What the deployment charges for a probe, a new connection and a send to another zone; only which is more
    /// matters.
    pub probe_price: f64,
    pub connection_price: f64,
    pub cross_zone_price: f64,
    /// Longest wait that a busy reply may name; 0 where clients are not told.
    pub max_retry_after_ms: f64,
    pub drain_grace_ms: f64,
    /// False where a host that is gone without having drained may still be sent ops.
    pub gone_is_binding: bool,
    /// The list answers only when asked, and how often it must be.
    pub list_poll_interval_ms: Option<f64>,
    pub cold_capacity_share: f64,
    pub warmup_ms: f64,
    pub overload_multiple: f64,
    pub overload_window_ms: f64,
    /// Replicas turn away reads for which they are too far behind.
    pub hosts_reject_stale_reads: bool,
    /// Session reads must see the writes whose answers passed through here.
    pub track_session_writes: bool,
}

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// What the list says of one host. Sizes are against other hosts; `started` is when it last did, -inf for long ago.
#[derive(Clone, Copy, Debug)]
pub struct HostEntry {
    pub group: usize,
    pub state: HostState,
    pub capacity: f64,
    pub started_at: f64,
    pub primary: bool,
    /// The number of its zone, as the terms number them; any other where it is not known.
    pub zone: usize,
}

/// An op that a client has sent: times in ms.
#[derive(Clone, Copy, Debug)]
pub struct OpRequest {
    pub id: OpId,
    pub op_type: usize,
    pub group: usize,
    pub tenant: usize,
    pub session: u64,
    /// How long the client waits.
    pub client_timeout_ms: f64,
    /// How long ago its session last wrote, where ops tell that.
    pub since_write_ms: Option<f64>,
    /// Whether it is a repeat, where clients mark those.
    pub is_retry: Option<bool>,
    /// What its own work adds to its latency target.
    pub extra_latency_ms: f64,
    /// What its op type's clients wait in all.
    pub op_timeout_ms: f64,
}

/// A host's part in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Acked,
    Errored,
    /// What came can't be read: it may have run, and the answer tells nothing.
    Spoilt,
    /// Turned away unseen: full or draining.
    Full,
    TimedOut,
    /// No connection came about.
    Unreached,
    /// The connection broke.
    Reset,
    Withdrawn,
    /// Never left the router.
    Unsent,
    /// Turned away untouched: not the primary, or too far behind.
    Missed,
}

impl Ending {
    /// True where the ending proves that nothing ran.
    pub fn cannot_have_run(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreached | Ending::Unsent | Ending::Missed)
    }

    /// True where contact with the host came about in no way.
    pub fn is_contact_failure(self) -> bool {
        matches!(self, Ending::TimedOut | Ending::Unreached | Ending::Reset)
    }

    /// True where the host itself spoke.
    pub fn is_from_host(self) -> bool {
        matches!(self, Ending::Acked | Ending::Errored | Ending::Spoilt | Ending::Full | Ending::Missed)
    }
}

/// What other routers of the tier say of a host, and when it was so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// It showed itself to be its group's primary.
    Primary { at: f64 },
    /// It was so far behind its log, in ms.
    ReplicaLag { lag_ms: f64, at: f64 },
    /// Several had no answer from it.
    Unresponsive,
}

/// Takes the policy's actions, which take effect in the order given.
pub trait Outbox {
    /// Sends the op; sends of an op are numbered from 0 in this order.
    /// `begin_by`: what begins to leave no sooner must not leave at all, and ends as unsent.
    fn send(&mut self, op: OpId, host: usize, begin_by: f64);
    /// Calls a send back: what has not left whole never does. `cut`: what has is broken off too, else it goes on.
    fn withdraw(&mut self, op: OpId, send: usize, abort: bool);
    /// Sends to this host that have not begun to leave end as unsent.
    fn cancel_unstarted(&mut self, _host: usize) {}
    /// Final: trying again is harmless; `retry_ms` 0 names no time.
    fn busy_reply(&mut self, op: OpId, retry_ms: f64);
    /// Final: promises nothing.
    fn error_reply(&mut self, op: OpId);
    fn probe(&mut self, host: usize);
    /// Closes this router's idle connections to the host.
    fn close_idle_connections(&mut self, host: usize);
    /// Asks the list for what changed and for changes from now on.
    fn watch_host_list(&mut self);
    /// Asks for one call of `woken` after so many ms.
    fn wake_after(&mut self, in_ms: f64);
    fn log(&mut self, line: &str);
    /// Contact with the host was lost; others may want to know.
    fn contact_lost(&mut self, _host: usize) {}
}
