//! Measures a router's cost by the number of database hosts in its list: without load, with reads spread over
//! all groups, and at rest with the connections that those reads left open.

use super::databases::Databases;
use super::list_service::ListService;
use super::load::{self, Load, LoadParameters, OutcomeCounts};
use super::measure::{self, Sample, SamplingWindows};
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::process::{Process, ResourceLimits};
use std::path::Path;
use std::time::Duration;

/// Time for the router to accept its first list.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The load during a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Quiet,
    Reads,
    /// The reads have stopped; their connections to hosts are still open.
    Rest,
}

/// Parameters of one measurement: the number of hosts, the router's resource limits and the load.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub hosts: usize,
    pub memory_mb: usize,
    pub sockets: usize,
    pub reads_per_second: f64,
}

impl Case {
    /// With resource limits so high that none takes effect.
    pub fn with_ample_limits(hosts: usize, reads_per_second: f64) -> Case {
        Case { hosts, memory_mb: AMPLE_LIMITS.memory_mb, sockets: AMPLE_LIMITS.sockets, reads_per_second }
    }
}

/// Durations of the phases of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Reads before the first sample under load, so that opening and closing of connections is steady.
    pub warm_up: Duration,
    pub quiet: SamplingWindows,
    pub reads: SamplingWindows,
}

/// One row: the sample of one phase.
pub struct HostsRow {
    pub case: Case,
    pub phase: Phase,
    pub list_bytes: usize,
    pub sample: Sample,
    /// Outcomes of the whole load, including its warm-up.
    pub outcomes: OutcomeCounts,
}

impl Row for HostsRow {
    const COLUMNS: &'static [&'static str] = &[
        "hosts",
        "granted MB",
        "load",
        "list, bytes",
        "memory, MB",
        "of a core, % (least to most)",
        "connections",
        "opened a second",
        "probes a second",
        "reads at hosts a second",
        "bytes to hosts a second",
        "acked / refused / errored / unanswered",
    ];

    fn cells(&self) -> Vec<String> {
        let (sample, outcomes) = (&self.sample, &self.outcomes);
        let load = match self.phase {
            Phase::Quiet => "quiet".to_string(),
            Phase::Reads => format!("{} reads a second", self.case.reads_per_second),
            Phase::Rest => format!("at rest after {} a second", self.case.reads_per_second),
        };
        vec![
            self.case.hosts.to_string(),
            self.case.memory_mb.to_string(),
            load,
            self.list_bytes.to_string(),
            format!("{:.1}", sample.memory_mb),
            sample.core_percent.cell(2),
            sample.connections.to_string(),
            format!("{:.1}", sample.opened_per_second),
            format!("{:.1}", sample.probes_per_second),
            format!("{:.1}", sample.reads_per_second),
            format!("{:.0}", sample.bytes_to_hosts_per_second),
            outcomes.cell(),
        ]
    }
}

/// Measures three rows: quiet, with reads, at rest.
pub fn measure(router: &Path, case: Case, schedule: Schedule, seed: u64) -> Result<Vec<HostsRow>, String> {
    let databases = Databases::start()?;
    let list_service = ListService::start(case.hosts, databases.port)?;
    let known_list = setup::full_list(1, case.hosts, databases.port);
    let limits =
        ResourceLimits { cores: AMPLE_LIMITS.cores, memory_mb: case.memory_mb, sockets: case.sockets };
    let process = Process::start_with_configuration(
        router,
        &setup::configuration(&limits, list_service.address, Some(&known_list)),
    )?;
    let ready = process.log().wait_for_line("ready with the list", 0, READY_TIMEOUT);
    ready.ok_or_else(|| format!("{} hosts: the router did not become ready", case.hosts))?;
    let row =
        |phase, sample, outcomes| HostsRow { case, phase, list_bytes: known_list.len(), sample, outcomes };

    // Work left over from the start must not count as part of the quiet phase.
    std::thread::sleep(Duration::from_millis(500));
    let quiet = row(
        Phase::Quiet,
        measure::take_sample(&process, &databases, schedule.quiet),
        OutcomeCounts::default(),
    );
    let (reads_per_second, groups) = (case.reads_per_second, setup::group_count(case.hosts));
    let parameters =
        LoadParameters { reads_per_second, groups, clients: load::clients_for_rate(reads_per_second), seed };
    let load = Load::start(process.addr, parameters)?;
    std::thread::sleep(schedule.warm_up);
    let is_served = || load.outcomes().acked > 0;
    let sample = measure::take_sample_under_load(&process, &databases, schedule.reads, is_served);
    let outcomes = load.stop();
    let reads = row(Phase::Reads, sample, outcomes);
    let rest = row(
        Phase::Rest,
        measure::take_sample(&process, &databases, schedule.quiet),
        OutcomeCounts::default(),
    );
    Ok(vec![quiet, reads, rest])
}
