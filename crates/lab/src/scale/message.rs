//! Messages between the laboratory's process and the hollow processes: one JSON object per line.

use super::fault::Faults;
use super::plan::MemberId;
use serde::{Deserialize, Serialize};

/// A command to a hollow process on its standard input; the process exits at the end of the input.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the network faults in force.
    Faults(Faults),
    /// Makes this hollow router observe a group's new primary.
    ObservePrimary { observer: MemberId, group: u32, host: u32 },
}

/// A process of the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProcessName {
    /// The hollow process with this number.
    Hollow(usize),
    /// The real router with this member number.
    Real(MemberId),
}

/// The phases of a test, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// From the start of all processes; not measured.
    Settle,
    /// No faults.
    Quiet,
    /// All processes of one zone are killed.
    ZoneLost,
    /// The processes of the lost zone are restarted.
    ZoneBack,
    /// One process is stopped with SIGSTOP for some seconds.
    Stop,
    /// A share of the hollow routers' datagrams is lost.
    Loss,
    /// The network is partitioned into two sides.
    Cut,
    /// The partition is healed.
    Healed,
    End,
}

/// Counters of the hollow routers of a process since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    pub datagrams: u64,
    pub bytes: u64,
    /// The maximum number of bytes that a single router sent since the last report.
    pub most_bytes: u64,
    pub ticks: u64,
    /// Ticks so late that the router assumes its process was paused.
    pub late_ticks: u64,
    /// Datagrams dropped by the injected faults.
    pub lost: u64,
}

/// An event observed by a hollow process or by the laboratory's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// All routers of this hollow process run and count all members, which is their initial state.
    Ready { process: usize },
    /// A hollow router counts a member again, or no longer.
    Belief { observer: MemberId, member: MemberId, counts: bool },
    /// A hollow router has received or observed a group's primary.
    Primary { observer: MemberId, group: u32, host: u32 },
    /// A hollow process' periodic counters.
    Totals { process: usize, totals: Totals },
    /// The figures that a real router logs periodically.
    RealFigures { member: MemberId, counted: usize, bytes: u64, groups: usize },
    /// A process' processor time since its start and its resident memory.
    Usage { process: ProcessName, processor_ms: f64, memory_mb: f64 },
    /// A phase begins.
    Phase(Phase),
    /// A group has a new primary, which this router observes.
    PrimaryChanged { observer: MemberId, group: u32, host: u32 },
    /// All processes of a zone were killed.
    ZoneLost { zone: usize },
    /// All processes of a zone were restarted and are ready.
    ZoneBack { zone: usize },
    /// A process was stopped (`on`) or resumed.
    Stopped { process: ProcessName, on: bool },
}

/// An event with its time, in ms since the epoch that all processes of the test share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: f64,
    pub event: Event,
}
