//! The events that the laboratory's own ends observed: clients, hosts, the list service and the links between
//! peers. The judge reads nothing else. Records are stored without names: the order of variants and fields
//! must not change.

use serde::{Deserialize, Serialize};

/// An op type of the runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A write that carries a token, by which hosts drop repeats.
    Tokened,
    /// A write that must run at most once.
    Once,
    /// A read that must see every write that was acked before the read was issued.
    Fresh,
    /// A read that must see the earlier acked writes of its own session.
    Session,
    /// A read of data no older than [`STALENESS_BOUND_MS`] when it is sent.
    Bounded,
    /// A read that may see data of any age.
    Any,
}

/// Staleness bound of bounded reads.
pub const STALENESS_BOUND_MS: f64 = 400.0;
/// How long the hosts of a group drop repeats of a token.
pub const TOKEN_WINDOW_MS: f64 = 5_000.0;

impl Kind {
    pub const ALL: [Kind; 6] =
        [Kind::Tokened, Kind::Once, Kind::Fresh, Kind::Session, Kind::Bounded, Kind::Any];

    /// The name of the op type in a router's configuration and in statements.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Tokened => "mark",
            Kind::Once => "post",
            Kind::Fresh => "now",
            Kind::Session => "mine",
            Kind::Bounded => "look",
            Kind::Any => "any",
        }
    }

    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    pub fn is_write(self) -> bool {
        matches!(self, Kind::Tokened | Kind::Once)
    }
}

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum How {
    /// Acked, with the log position of the returned value.
    Acked(f64),
    Busy,
    Errored,
    /// The returned value belongs to another op or to none.
    Wrong,
    /// The connection ended, or no answer arrived until well after the client timeout.
    Lost,
    /// The connection was never established, so the router did not receive the op.
    Shut,
}

/// An observed event. Log positions are in ms since the start of the run, like times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// A client wrote the last byte of an op and waits for `wait` ms. `life` is the router's start count.
    Asked { op: u64, router: u32, life: u32, kind: Kind, group: u32, session: u64, wait: f64 },
    /// An op got its answer, or its connection ended without one.
    Answered { op: u64, how: How },
    /// A host received the last byte of a send.
    Got { op: u64, host: u32, router: u32 },
    /// The host rejected the op without running it.
    Turned { op: u64, host: u32 },
    /// The op ran at log position `pos`: the commit of a write, or the position that the data of a read
    /// reached. `again` marks a repeat of a token that had no effect.
    Ran { op: u64, host: u32, pos: f64, again: bool },
    /// The list service reported to a router whether a host is ready.
    Told { router: u32, host: u32, ready: bool },
    /// A cold host was sent more work than it can bear and went down.
    Fell { host: u32 },
    /// A router process was started.
    Started { router: u32, life: u32 },
    /// The script killed a router process.
    Killed { router: u32 },
    /// The script suspended a router process (`on`) or resumed it. Meanwhile the router can't do what the
    /// rules require.
    Stopped { router: u32, on: bool },
    /// Datagrams and bytes that a router sent to peers since the previous such event.
    Peers { router: u32, datagrams: u32, bytes: u32 },
    /// A client disconnected before its op was answered.
    Left { op: u64 },
}

/// Events, each with the time at which it was observed.
pub type Record = Vec<(f64, Seen)>;

/// Writes a record to a file.
pub fn write(record: &Record, to: &std::path::Path) -> Result<(), String> {
    let bytes = postcard::to_stdvec(record).map_err(|e| e.to_string())?;
    std::fs::write(to, bytes).map_err(|e| format!("{}: {e}", to.display()))
}

/// Reads a record from a file.
pub fn read(from: &std::path::Path) -> Result<Record, String> {
    let bytes = std::fs::read(from).map_err(|e| format!("{}: {e}", from.display()))?;
    postcard::from_bytes(&bytes).map_err(|e| format!("{}: {e}", from.display()))
}
