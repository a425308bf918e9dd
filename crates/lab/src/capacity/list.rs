//! What the list of hosts costs: the first whole list, one changed host, and a watch that is told nothing.

use super::databases::Databases;
use super::list_agent::ListAgent;
use super::measure::{self, Spread, Windows};
use super::ready;
use super::setup::{self, AMPLE};
use super::table::Row;
use crate::process::{Process, ResourceLimits};
use std::path::Path;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(30);
const TRIES: usize = 10;

pub struct ListRow {
    pub hosts: usize,
    pub memory_granted_mb: usize,
    pub list_bytes: usize,
    /// From the program's start until it says that it is ready, in ms, and the processor time used by then.
    pub ready_ms: f64,
    pub ready_used_ms: f64,
    pub memory_mb: f64,
    /// One changed host: until the watch is renewed, in ms; processor time of it, and bytes.
    pub change_ms: Spread,
    pub change_used_ms: f64,
    pub change_bytes: f64,
    /// Quiet, a second.
    pub calls_a_second: f64,
    pub bytes_a_second: f64,
    pub core_percent: Spread,
}

impl Row for ListRow {
    const COLUMNS: &'static [&'static str] = &[
        "hosts",
        "granted MB",
        "list, bytes",
        "start to ready, ms",
        "processor time until then, ms",
        "memory, MB",
        "one change taken, ms (least to most)",
        "processor time of a change, ms",
        "bytes of a change",
        "watch calls a second, quiet",
        "bytes a second of them, both ways",
        "of a core, quiet, % (least to most)",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.hosts.to_string(),
            self.memory_granted_mb.to_string(),
            self.list_bytes.to_string(),
            format!("{:.0}", self.ready_ms),
            format!("{:.1}", self.ready_used_ms),
            format!("{:.1}", self.memory_mb),
            self.change_ms.cell(2),
            format!("{:.3}", self.change_used_ms),
            format!("{:.0}", self.change_bytes),
            format!("{:.2}", self.calls_a_second),
            format!("{:.0}", self.bytes_a_second),
            self.core_percent.cell(2),
        ]
    }
}

/// A router that knows no list at its start, of so many hosts; then so many changes of one host each.
pub fn measure(
    router: &Path,
    hosts: usize,
    memory_mb: usize,
    changes: usize,
    windows: Windows,
) -> Result<ListRow, String> {
    let databases = Databases::start()?;
    let agent = ListAgent::start(hosts, databases.port)?;
    let grant = ResourceLimits { cores: AMPLE.cores, memory_mb, sockets: AMPLE.sockets };
    let process = Process::start_with_configuration(router, &setup::configuration(&grant, agent.at, None))?;
    let ready = ready::wait(&process, PATIENCE).map_err(|why| format!("{hosts} hosts: {why}"))?;
    let ready_used_ms = process.processor_time_ms();
    std::thread::sleep(Duration::from_millis(500));

    let (used, served) = (process.processor_time_ms(), agent.served());
    let taken = |change: usize| {
        let told = Instant::now();
        let version = agent.change(change * 7 % hosts);
        let at = agent.taken(version, PATIENCE).ok_or(format!("change {change} was not taken"))?;
        Ok(at.saturating_duration_since(told).as_secs_f64() * 1e3)
    };
    let change_ms: Vec<f64> = (0..changes).map(taken).collect::<Result<_, String>>()?;
    std::thread::sleep(Duration::from_millis(100));
    let change_used_ms = (process.processor_time_ms() - used) / changes.max(1) as f64;
    let change_bytes = (agent.served().bytes_out - served.bytes_out) as f64 / changes.max(1) as f64;

    let (served, began) = (agent.served(), Instant::now());
    let core_percent = measure::core_percent(&process, windows);
    let (now, spent) = (agent.served(), began.elapsed().as_secs_f64());
    let bytes = now.bytes_in + now.bytes_out - served.bytes_in - served.bytes_out;
    Ok(ListRow {
        hosts,
        memory_granted_mb: memory_mb,
        list_bytes: agent.list_bytes(),
        ready_ms: ready.duration_since(process.started_at()).as_secs_f64() * 1e3,
        ready_used_ms,
        memory_mb: process.thread_count_and_memory_mb().1,
        change_ms: Spread::of(&change_ms),
        change_used_ms,
        change_bytes,
        calls_a_second: (now.calls - served.calls) as f64 / spent,
        bytes_a_second: bytes as f64 / spent,
        core_percent,
    })
}

/// What a router says of a list that is longer than its grant allows; an error where it takes it. A router
/// that found the agent silent, as a machine that stands still makes it, says only that: then another is
/// asked.
pub fn refusal(router: &Path, hosts: usize, memory_mb: usize) -> Result<String, String> {
    let mut reason = first_failure(router, hosts, memory_mb)?;
    for _ in 1..TRIES {
        if !reason.contains("silent") {
            break;
        }
        reason = first_failure(router, hosts, memory_mb)?;
    }
    Ok(reason)
}

/// What a router says first of a list that it did not get or take.
fn first_failure(router: &Path, hosts: usize, memory_mb: usize) -> Result<String, String> {
    let databases = Databases::start()?;
    let agent = ListAgent::start(hosts, databases.port)?;
    let grant = ResourceLimits { cores: AMPLE.cores, memory_mb, sockets: AMPLE.sockets };
    let process = Process::start_with_configuration(router, &setup::configuration(&grant, agent.at, None))?;
    let line = process.log().wait_for_line("list failed", 0, PATIENCE);
    let line = line.ok_or_else(|| format!("{hosts} hosts at {memory_mb} MB: nothing was refused"))?;
    // The reason is the first field behind the message.
    Ok(line.text.split_once("list failed").map_or(line.text.clone(), |(_, why)| why.trim().to_string()))
}
