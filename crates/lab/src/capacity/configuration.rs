//! What it costs one router to read its configuration file anew. Nothing distributes the file: each change
//! here is written beside the router and announced by a signal.

use super::databases::Databases;
use super::list_agent::ListAgent;
use super::measure::Spread;
use super::setup::{self, AMPLE};
use super::table::Row;
use crate::process::{self, Process};
use std::path::Path;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);

pub struct ConfigurationRow {
    pub hosts: usize,
    pub file_bytes: usize,
    pub reloads: usize,
    /// From the write until the log says that the file was read anew, in ms.
    pub in_force_ms: Spread,
    /// Processor time of one, in ms; from whole clock ticks, over all reloads.
    pub used_ms: f64,
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
            self.in_force_ms.cell(2),
            format!("{:.2}", self.used_ms),
            format!("{:.1}", self.memory_mb),
        ]
    }
}

pub fn measure(router: &Path, hosts: usize, reloads: usize) -> Result<ConfigurationRow, String> {
    let databases = Databases::start()?;
    let agent = ListAgent::start(hosts, databases.port)?;
    let known = setup::whole_list(1, hosts, databases.port);
    let configuration = setup::configuration(&AMPLE, agent.at, Some(&known));
    let process = Process::start_with_configuration(router, &configuration)?;
    process.log().wait_for_line("ready with the list", 0, PATIENCE).ok_or("the router did not get ready")?;
    std::thread::sleep(Duration::from_millis(500));
    let (used, began) = (process::processor_time_ms_with_ended_threads(process.pid()), Instant::now());
    let mut in_force_ms = Vec::new();
    for _ in 0..reloads {
        let (from, written) = (process.log().line_count(), Instant::now());
        process.reload(&configuration)?;
        let line = process.log().wait_for_line("configuration read anew", from, PATIENCE);
        let line = line.ok_or("a configuration was not read anew")?;
        in_force_ms.push(line.received_at.saturating_duration_since(written).as_secs_f64() * 1e3);
    }
    let (spent, used) =
        (began.elapsed(), process::processor_time_ms_with_ended_threads(process.pid()) - used);
    // What the router uses in so much time without reloads is not theirs.
    let quiet = process.processor_time_ms();
    std::thread::sleep(spent);
    let quiet = process.processor_time_ms() - quiet;
    let used_ms = (used - quiet).max(0.0) / reloads.max(1) as f64;
    let (in_force_ms, memory_mb) = (Spread::of(&in_force_ms), process.thread_count_and_memory_mb().1);
    Ok(ConfigurationRow { hosts, file_bytes: configuration.len(), reloads, in_force_ms, used_ms, memory_mb })
}
