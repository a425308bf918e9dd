//! How long a start takes with a list known from before.

use super::databases::Databases;
use super::list_agent::ListAgent;
use super::measure::Spread;
use super::ready;
use super::setup::{self, AMPLE};
use super::table::Row;
use crate::process::Process;
use std::path::Path;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(60);

pub struct RestartRow {
    pub hosts: usize,
    pub starts: usize,
    pub file_bytes: usize,
    /// From the program's start until it says that it is ready, and the processor time used by then, in ms.
    pub ready_ms: Spread,
    pub used_ms: Spread,
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
            self.used_ms.cell(1),
            format!("{:.1}", self.memory_mb),
        ]
    }
}

pub fn measure(router: &Path, hosts: usize, starts: usize) -> Result<RestartRow, String> {
    let databases = Databases::start()?;
    let agent = ListAgent::start(hosts, databases.port)?;
    let known = setup::whole_list(1, hosts, databases.port);
    let configuration = setup::configuration(&AMPLE, agent.at, Some(&known));
    let (mut ready_ms, mut used_ms, mut memory_mb) = (Vec::new(), Vec::new(), 0.0);
    for _ in 0..starts {
        let process = Process::start_with_configuration(router, &configuration)?;
        let ready = ready::wait(&process, PATIENCE)?;
        used_ms.push(process.processor_time_ms());
        ready_ms.push(ready.duration_since(process.started_at()).as_secs_f64() * 1e3);
        memory_mb = process.thread_count_and_memory_mb().1;
    }
    let (ready_ms, used_ms) = (Spread::of(&ready_ms), Spread::of(&used_ms));
    Ok(RestartRow { hosts, starts, file_bytes: configuration.len(), ready_ms, used_ms, memory_mb })
}
