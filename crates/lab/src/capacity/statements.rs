//! Measures the cost of statements to a router: reads at several rates over a few groups.

use super::databases::Databases;
use super::list_service::ListService;
use super::load::{self, Load, LoadParameters, OutcomeCounts};
use super::measure::{self, Sample, SamplingWindows};
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::process::Process;
use std::path::Path;
use std::time::Duration;

/// One row: the sample of one rate.
pub struct StatementsRow {
    pub requested_per_second: f64,
    pub sample: Sample,
    pub outcomes: OutcomeCounts,
}

impl StatementsRow {
    /// Processor time per statement that reached a host.
    pub fn statement_processor_ms(&self) -> f64 {
        10.0 * self.sample.core_percent.mean / self.sample.reads_per_second.max(1.0)
    }
}

impl Row for StatementsRow {
    const COLUMNS: &'static [&'static str] = &[
        "statements asked a second",
        "reads at hosts a second",
        "of a core, % (least to most)",
        "processor time of one, ms",
        "connections",
        "probes a second",
        "memory, MB",
        "acked / refused / errored / unanswered",
    ];

    fn cells(&self) -> Vec<String> {
        let (sample, outcomes) = (&self.sample, &self.outcomes);
        vec![
            format!("{:.0}", self.requested_per_second),
            format!("{:.0}", sample.reads_per_second),
            sample.core_percent.cell(2),
            format!("{:.4}", self.statement_processor_ms()),
            sample.connections.to_string(),
            format!("{:.1}", sample.probes_per_second),
            format!("{:.1}", sample.memory_mb),
            outcomes.cell(),
        ]
    }
}

/// Measures reads at one rate; `groups` groups of hosts answer them.
pub fn measure(
    router: &Path,
    groups: usize,
    reads_per_second: f64,
    windows: SamplingWindows,
    seed: u64,
) -> Result<StatementsRow, String> {
    let databases = Databases::start()?;
    let hosts = groups * setup::GROUP_SIZE;
    let list_service = ListService::start(hosts, databases.port)?;
    let known_list = setup::full_list(1, hosts, databases.port);
    let process = Process::start_with_configuration(
        router,
        &setup::configuration(&AMPLE_LIMITS, list_service.address, Some(&known_list)),
    )?;
    let parameters =
        LoadParameters { reads_per_second, groups, clients: load::clients_for_rate(reads_per_second), seed };
    let load = Load::start(process.addr, parameters)?;
    std::thread::sleep(Duration::from_secs(2));
    let is_served = || load.outcomes().acked > 0;
    let sample = measure::take_sample_under_load(&process, &databases, windows, is_served);
    Ok(StatementsRow { requested_per_second: reads_per_second, sample, outcomes: load.stop() })
}
