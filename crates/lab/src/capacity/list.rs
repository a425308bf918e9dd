//! Measures the cost of the host list: the first full list, a change of one host, and a list watch without
//! changes.

use super::databases::Databases;
use super::list_service::ListService;
use super::measure::{self, SamplingWindows, Summary};
use super::ready;
use super::setup::{self, AMPLE_LIMITS};
use super::table::Row;
use crate::process::{Process, ResourceLimits};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time for each step that is waited for: readiness, a change, a list failure.
const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ATTEMPTS: usize = 10;

/// One row: the cost of a list of a number of hosts.
pub struct ListRow {
    pub hosts: usize,
    pub memory_limit_mb: usize,
    pub list_bytes: usize,
    /// Time from the start of the process until it reports ready, and the processor time used by then.
    pub ready_ms: f64,
    pub ready_processor_ms: f64,
    pub memory_mb: f64,
    /// A change of one host: time until the router renews its watch, processor time, and bytes sent.
    pub change_ms: Summary,
    pub change_processor_ms: f64,
    pub change_bytes: f64,
    /// Watch requests, and their bytes in both directions, while the list does not change.
    pub requests_per_second: f64,
    pub bytes_per_second: f64,
    pub core_percent: Summary,
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
            self.memory_limit_mb.to_string(),
            self.list_bytes.to_string(),
            format!("{:.0}", self.ready_ms),
            format!("{:.1}", self.ready_processor_ms),
            format!("{:.1}", self.memory_mb),
            self.change_ms.cell(2),
            format!("{:.3}", self.change_processor_ms),
            format!("{:.0}", self.change_bytes),
            format!("{:.2}", self.requests_per_second),
            format!("{:.0}", self.bytes_per_second),
            self.core_percent.cell(2),
        ]
    }
}

/// Starts a router without a known list, serves it a list of `hosts` hosts, then makes `changes` changes of
/// one host each.
pub fn measure(
    router: &Path,
    hosts: usize,
    memory_mb: usize,
    changes: usize,
    windows: SamplingWindows,
) -> Result<ListRow, String> {
    let databases = Databases::start()?;
    let list_service = ListService::start(hosts, databases.port)?;
    let limits = ResourceLimits { cores: AMPLE_LIMITS.cores, memory_mb, sockets: AMPLE_LIMITS.sockets };
    let process = Process::start_with_configuration(
        router,
        &setup::configuration(&limits, list_service.address, None),
    )?;
    let ready_at =
        ready::wait_until_ready(&process, TIMEOUT).map_err(|why| format!("{hosts} hosts: {why}"))?;
    let ready_processor_ms = process.processor_time_ms();
    std::thread::sleep(Duration::from_millis(500));

    let (used_before_ms, traffic_before) = (process.processor_time_ms(), list_service.traffic());
    let change_one = |change: usize| {
        let changed_at = Instant::now();
        let version = list_service.change_host(change * 7 % hosts);
        let acknowledged_at = list_service
            .wait_until_acknowledged(version, TIMEOUT)
            .ok_or(format!("change {change} was not acknowledged"))?;
        Ok(acknowledged_at.saturating_duration_since(changed_at).as_secs_f64() * 1e3)
    };
    let change_ms: Vec<f64> = (0..changes).map(change_one).collect::<Result<_, String>>()?;
    std::thread::sleep(Duration::from_millis(100));
    let change_processor_ms = (process.processor_time_ms() - used_before_ms) / changes.max(1) as f64;
    let change_bytes =
        (list_service.traffic().bytes_out - traffic_before.bytes_out) as f64 / changes.max(1) as f64;

    let (traffic_before, started_at) = (list_service.traffic(), Instant::now());
    let core_percent = measure::core_percent(&process, windows);
    let (traffic, elapsed_s) = (list_service.traffic(), started_at.elapsed().as_secs_f64());
    let bytes = traffic.bytes_in + traffic.bytes_out - traffic_before.bytes_in - traffic_before.bytes_out;
    Ok(ListRow {
        hosts,
        memory_limit_mb: memory_mb,
        list_bytes: list_service.list_bytes(),
        ready_ms: ready_at.duration_since(process.started_at()).as_secs_f64() * 1e3,
        ready_processor_ms,
        memory_mb: process.thread_count_and_memory_mb().1,
        change_ms: Summary::of(&change_ms),
        change_processor_ms,
        change_bytes,
        requests_per_second: (traffic.requests - traffic_before.requests) as f64 / elapsed_s,
        bytes_per_second: bytes as f64 / elapsed_s,
        core_percent,
    })
}

/// Returns the reason that a router logs for rejecting a list longer than its memory limit allows; an error
/// if it accepts the list. When the machine stalls, the router may report the list service as silent instead,
/// and the attempt is repeated with a new router.
pub fn rejection_reason(router: &Path, hosts: usize, memory_mb: usize) -> Result<String, String> {
    let mut reason = first_failure(router, hosts, memory_mb)?;
    for _ in 1..MAX_ATTEMPTS {
        if !reason.contains("silent") {
            break;
        }
        reason = first_failure(router, hosts, memory_mb)?;
    }
    Ok(reason)
}

/// Returns the reason of the first list failure that a router logs.
fn first_failure(router: &Path, hosts: usize, memory_mb: usize) -> Result<String, String> {
    let databases = Databases::start()?;
    let list_service = ListService::start(hosts, databases.port)?;
    let limits = ResourceLimits { cores: AMPLE_LIMITS.cores, memory_mb, sockets: AMPLE_LIMITS.sockets };
    let process = Process::start_with_configuration(
        router,
        &setup::configuration(&limits, list_service.address, None),
    )?;
    let line = process.log().wait_for_line("list failed", 0, TIMEOUT);
    let line =
        line.ok_or_else(|| format!("{hosts} hosts at {memory_mb} MB: the router did not reject the list"))?;
    // The reason follows the message as its first field.
    Ok(line.text.split_once("list failed").map_or(line.text.clone(), |(_, why)| why.trim().to_string()))
}
