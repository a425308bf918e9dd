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
pub enum Level {
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
pub enum Repeat {
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
pub struct OpTypeFacts {
    pub level: Level,
    pub repeat: Repeat,
    pub bound_ms: f64,
    pub target_ms: f64,
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value: f64,
}

/// What a deployment allows and asks; the policy derives its figures from it and drops it.
#[derive(Clone, Debug)]
pub struct Terms {
    pub routers: f64,
    /// Zones that routers are in, and the number of this one's own; any other where it is not known.
    pub zones: usize,
    pub zone: usize,
    pub tick_ms: f64,
    pub op_types: Vec<OpTypeFacts>,
    /// Ops a second within each tenant's share, over all routers.
    pub tenant_rates: Vec<f64>,
    pub over_share_value: f64,
    pub max_sends: usize,
    pub second_copies: bool,
    pub may_withdraw: bool,
    pub may_probe: bool,
    /// What the deployment charges for a probe, a new connection and a send to another zone; only which is more
    /// matters.
    pub probe_price: f64,
    pub dial_price: f64,
    pub crossing_price: f64,
    /// Longest wait that a busy reply may name; 0 where clients are not told.
    pub max_retry_ms: f64,
    pub drain_grace_ms: f64,
    /// False where a host that is gone without having drained may still be sent ops.
    pub gone_binds: bool,
    /// The list answers only when asked, and how often it must be.
    pub ask_every_ms: Option<f64>,
    pub cold_share: f64,
    pub cold_ms: f64,
    pub fall_multiple: f64,
    pub fall_ms: f64,
    /// Replicas turn away reads for which they are too far behind.
    pub hosts_check_reads: bool,
    /// Session reads must see the writes whose answers passed through here.
    pub remember_writes: bool,
}

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// What the list says of one host. Sizes are against other hosts; `started` is when it last did, -inf for long ago.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub group: usize,
    pub phase: Phase,
    pub size: f64,
    pub started: f64,
    pub primary: bool,
    /// The number of its zone, as the terms number them; any other where it is not known.
    pub zone: usize,
}

/// An op that a client has sent: times in ms.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub id: OpId,
    pub kind: usize,
    pub group: usize,
    pub tenant: usize,
    pub session: u64,
    /// How long the client waits.
    pub patience: f64,
    /// How long ago its session last wrote, where ops tell that.
    pub since_write: Option<f64>,
    /// Whether it is a repeat, where clients mark those.
    pub repeat: Option<bool>,
    /// What its own work adds to its latency target.
    pub longer: f64,
    /// What its op type's clients wait in all.
    pub op_timeout: f64,
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
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreached | Ending::Unsent | Ending::Missed)
    }

    /// True where contact with the host came about in no way.
    pub fn unanswered(self) -> bool {
        matches!(self, Ending::TimedOut | Ending::Unreached | Ending::Reset)
    }

    /// True where the host itself spoke.
    pub fn heard(self) -> bool {
        matches!(self, Ending::Acked | Ending::Errored | Ending::Spoilt | Ending::Full | Ending::Missed)
    }
}

/// What other routers of the tier say of a host, and when it was so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerFact {
    /// It showed itself to be its group's primary.
    Leads { at: f64 },
    /// It was so far behind its log, in ms.
    Behind { ms: f64, at: f64 },
    /// Several had no answer from it.
    Silent,
}

/// Takes the policy's actions, which take effect in the order given.
pub trait Outbox {
    /// Sends the op; sends of an op are numbered from 0 in this order.
    /// `begin_by`: what begins to leave no sooner must not leave at all, and ends as unsent.
    fn send(&mut self, op: OpId, host: usize, begin_by: f64);
    /// Calls a send back: what has not left whole never does. `cut`: what has is broken off too, else it goes on.
    fn withdraw(&mut self, op: OpId, send: usize, cut: bool);
    /// Sends to this host that have not begun to leave end as unsent.
    fn call_off(&mut self, _host: usize) {}
    /// Final: trying again is harmless; `retry_ms` 0 names no time.
    fn busy_reply(&mut self, op: OpId, retry_ms: f64);
    /// Final: promises nothing.
    fn error_reply(&mut self, op: OpId);
    fn probe(&mut self, host: usize);
    /// Closes this router's idle connections to the host.
    fn close_idle(&mut self, host: usize);
    /// Asks the list for what changed and for changes from now on.
    fn follow_list(&mut self);
    /// Asks for one call of `woken` after so many ms.
    fn wake(&mut self, in_ms: f64);
    fn log(&mut self, line: &str);
    /// Contact with the host was lost; others may want to know.
    fn lost(&mut self, _host: usize) {}
}
