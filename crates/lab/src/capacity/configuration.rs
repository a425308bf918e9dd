//! Measures the cost of reloading one router's configuration file. The file is not distributed over the
//! network: each change is written locally and announced to the router by a signal.

use super::databases::Databases;
use super::list_service::ListService;
use super::measure::Summary;
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::process::{self, Process};
use std::path::Path;
use std::time::{Duration, Instant};

const LOG_LINE_TIMEOUT: Duration = Duration::from_secs(30);

/// One row: reloads of a configuration whose known list has a number of hosts.
pub struct ConfigurationRow {
    pub hosts: usize,
    pub file_bytes: usize,
    pub reloads: usize,
    /// Time from the write until the log reports the reload.
    pub in_effect_ms: Summary,
    /// Processor time of one reload: the mean over all reloads, measured in whole clock ticks.
    pub processor_ms: f64,
    pub memory_mb: f64,
}

impl Row for ConfigurationRow {
    const COLUMNS: &'static [&'static str] = &[
        "hosts known",
        "file, bytes",
        "reloads",
        "write to in force, ms (least to most)",
        "processor time of one, ms",
        "memory after, MB",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.hosts.to_string(),
            self.file_bytes.to_string(),
            self.reloads.to_string(),
            self.in_effect_ms.cell(2),
            format!("{:.2}", self.processor_ms),
            format!("{:.1}", self.memory_mb),
        ]
    }
}

/// Reloads the configuration `reloads` times, one after the other.
pub fn measure(router: &Path, hosts: usize, reloads: usize) -> Result<ConfigurationRow, String> {
    let databases = Databases::start()?;
    let list_service = ListService::start(hosts, databases.port)?;
    let known_list = setup::full_list(1, hosts, databases.port);
    let configuration = setup::configuration(&AMPLE_LIMITS, list_service.address, Some(&known_list));
    let process = Process::start_with_configuration(router, &configuration)?;
    process
        .log()
        .wait_for_line("ready with the list", 0, LOG_LINE_TIMEOUT)
        .ok_or("the router did not become ready")?;
    std::thread::sleep(Duration::from_millis(500));
    let (used_before_ms, started_at) =
        (process::processor_time_ms_with_ended_threads(process.pid()), Instant::now());
    let mut in_effect_ms = Vec::new();
    for _ in 0..reloads {
        let (next_line, written_at) = (process.log().line_count(), Instant::now());
        process.reload(&configuration)?;
        let line = process.log().wait_for_line("configuration read anew", next_line, LOG_LINE_TIMEOUT);
        let line = line.ok_or("the router did not reload its configuration")?;
        in_effect_ms.push(line.received_at.saturating_duration_since(written_at).as_secs_f64() * 1e3);
    }
    let (elapsed, used_ms) =
        (started_at.elapsed(), process::processor_time_ms_with_ended_threads(process.pid()) - used_before_ms);
    // Processor time that the router uses in the same time without reloads is subtracted.
    let idle_before_ms = process.processor_time_ms();
    std::thread::sleep(elapsed);
    let idle_ms = process.processor_time_ms() - idle_before_ms;
    let processor_ms = (used_ms - idle_ms).max(0.0) / reloads.max(1) as f64;
    let (in_effect_ms, memory_mb) = (Summary::of(&in_effect_ms), process.thread_count_and_memory_mb().1);
    Ok(ConfigurationRow {
        hosts,
        file_bytes: configuration.len(),
        reloads,
        in_effect_ms,
        processor_ms,
        memory_mb,
    })
}
