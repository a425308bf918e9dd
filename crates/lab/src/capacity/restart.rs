//! Measures the start of a router whose configuration holds a known list.

use super::databases::Databases;
use super::list_service::ListService;
use super::measure::Summary;
use super::ready;
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::process::Process;
use std::path::Path;
use std::time::Duration;

const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// One row: starts with a known list of a number of hosts.
pub struct RestartRow {
    pub hosts: usize,
    pub starts: usize,
    pub file_bytes: usize,
    /// Time from the start of the process until it reports ready, and the processor time used by then.
    pub ready_ms: Summary,
    pub processor_ms: Summary,
    pub memory_mb: f64,
}

impl Row for RestartRow {
    const COLUMNS: &'static [&'static str] = &[
        "hosts known",
        "starts",
        "file, bytes",
        "start to ready, ms (least to most)",
        "processor time until then, ms (least to most)",
        "memory, MB",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.hosts.to_string(),
            self.starts.to_string(),
            self.file_bytes.to_string(),
            self.ready_ms.cell(1),
            self.processor_ms.cell(1),
            format!("{:.1}", self.memory_mb),
        ]
    }
}

/// Starts a router `starts` times, one after the other.
pub fn measure(router: &Path, hosts: usize, starts: usize) -> Result<RestartRow, String> {
    let databases = Databases::start()?;
    let list_service = ListService::start(hosts, databases.port)?;
    let known_list = setup::full_list(1, hosts, databases.port);
    let configuration = setup::configuration(&AMPLE_LIMITS, list_service.address, Some(&known_list));
    let (mut ready_ms, mut processor_ms, mut memory_mb) = (Vec::new(), Vec::new(), 0.0);
    for _ in 0..starts {
        let process = Process::start_with_configuration(router, &configuration)?;
        let ready_at = ready::wait_until_ready(&process, READY_TIMEOUT)?;
        processor_ms.push(process.processor_time_ms());
        ready_ms.push(ready_at.duration_since(process.started_at()).as_secs_f64() * 1e3);
        memory_mb = process.thread_count_and_memory_mb().1;
    }
    let (ready_ms, processor_ms) = (Summary::of(&ready_ms), Summary::of(&processor_ms));
    Ok(RestartRow { hosts, starts, file_bytes: configuration.len(), ready_ms, processor_ms, memory_mb })
}
