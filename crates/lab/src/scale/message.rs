//! What the laboratory's process says to a hollow process and the other way round: one JSON object a line.

use super::fault::Faults;
use super::plan::Member;
use serde::{Deserialize, Serialize};

/// To a hollow process, on its standard input; the end of the input ends the process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// From now on these faults instead of those before.
    Faults(Faults),
    /// This hollow router sees that a group has a new primary.
    ObservePrimary { observer: Member, group: u32, host: u32 },
}

/// Which process a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProcessName {
    /// The hollow process of this slice.
    Hollow(usize),
    /// The real router with this number.
    Real(Member),
}

/// What a phase of the test is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    Settle,
    Quiet,
    ZoneLost,
    ZoneBack,
    /// A process is stopped for a while.
    Stop,
    Loss,
    Cut,
    Healed,
    End,
}

/// What hollow routers of a process have done since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    pub datagrams: u64,
    pub bytes: u64,
    /// The most bytes that one of them sent since the last report.
    pub most_bytes: u64,
    pub ticks: u64,
    /// Ticks that came so late that the router takes itself for stopped.
    pub late_ticks: u64,
    /// Datagrams that the faults lost.
    pub lost: u64,
}

/// What was seen, by a hollow process or by the laboratory's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// All routers of this hollow process run, and believe that all members count.
    Ready {
        process: usize,
    },
    /// A hollow router's belief of a member has changed.
    Belief {
        observer: Member,
        member: Member,
        counts: bool,
    },
    /// A hollow router has learned a group's primary, or seen it itself.
    Primary {
        observer: Member,
        group: u32,
        host: u32,
    },
    Totals {
        process: usize,
        totals: Totals,
    },
    /// A real router's line of figures.
    RealFigures {
        member: Member,
        counted: usize,
        bytes: u64,
        groups: usize,
    },
    /// Processor time of a process since its start, and its resident memory.
    Usage {
        process: ProcessName,
        processor_ms: f64,
        memory_mb: f64,
    },
    Phase(Phase),
    /// A group has this new primary, and this router is the one that sees it.
    PrimaryChanged {
        observer: Member,
        group: u32,
        host: u32,
    },
    /// All routers of a zone were killed, or its processes were started again.
    ZoneLost {
        zone: usize,
    },
    ZoneBack {
        zone: usize,
    },
    /// A process was stopped, or goes on.
    Stopped {
        process: ProcessName,
        on: bool,
    },
}

/// When something was seen, in ms since the start that all processes agree on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: f64,
    pub event: Event,
}
