//! What the laboratory's own ends saw: clients, hosts, the list and the links between peers. The judge reads nothing else.

use serde::{Deserialize, Serialize};

/// An op type of the plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A write that carries a token against repeats.
    Tokened,
    /// A write that must run once at most.
    Once,
    /// A read that sees all that was committed before it arrived.
    Fresh,
    /// A read that sees its own session's writes.
    Session,
    /// A read of data no older than [`BOUND_MS`] when it is sent.
    Bounded,
    Any,
}

pub const BOUND_MS: f64 = 400.0;
/// Hosts of a group drop repeats of a token for so long.
pub const WINDOW_MS: f64 = 5_000.0;

impl Kind {
    pub const ALL: [Kind; 6] =
        [Kind::Tokened, Kind::Once, Kind::Fresh, Kind::Session, Kind::Bounded, Kind::Any];

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

    pub fn named(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    pub fn writes(self) -> bool {
        matches!(self, Kind::Tokened | Kind::Once)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum How {
    /// With the position that the value was made at.
    Acked(f64),
    Busy,
    Errored,
    /// A value that was made for another op, or for none.
    Wrong,
    /// The connection ended, or nothing came until long after the client's time.
    Lost,
    /// The connection was never opened: the router has not taken the op.
    Shut,
}

/// Positions are ms since the play's start, like times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// A client wrote the last byte of an op; it waits so long. `life` counts the router's starts.
    Asked {
        op: u64,
        router: u32,
        life: u32,
        kind: Kind,
        group: u32,
        session: u64,
        wait: f64,
    },
    Answered {
        op: u64,
        how: How,
    },
    /// A host had the last byte of a send.
    Got {
        op: u64,
        host: u32,
        router: u32,
    },
    /// It turned it away untouched.
    Turned {
        op: u64,
        host: u32,
    },
    /// It ran, at this position: a write's commit, or how far the data reached that a read saw.
    Ran {
        op: u64,
        host: u32,
        pos: f64,
        again: bool,
    },
    /// The list told a router of this phase of a host.
    Told {
        router: u32,
        host: u32,
        ready: bool,
    },
    /// A cold host was sent more than it may and fell over.
    Fell {
        host: u32,
    },
    /// A router's process was started, or killed, by the script.
    Started {
        router: u32,
        life: u32,
    },
    Killed {
        router: u32,
    },
    /// Stopped and continued: what it is owed meanwhile it can't do.
    Stopped {
        router: u32,
        on: bool,
    },
    /// What a router told peers: datagrams and bytes since it was last noted.
    Peers {
        router: u32,
        datagrams: u32,
        bytes: u32,
    },
    /// A client went before its op was answered.
    Left {
        op: u64,
    },
}

/// When it was seen, and what.
pub type Record = Vec<(f64, Seen)>;

pub fn write(record: &Record, to: &std::path::Path) -> Result<(), String> {
    let bytes = postcard::to_stdvec(record).map_err(|e| e.to_string())?;
    std::fs::write(to, bytes).map_err(|e| format!("{}: {e}", to.display()))
}

pub fn read(from: &std::path::Path) -> Result<Record, String> {
    let bytes = std::fs::read(from).map_err(|e| format!("{}: {e}", from.display()))?;
    postcard::from_bytes(&bytes).map_err(|e| format!("{}: {e}", from.display()))
}
