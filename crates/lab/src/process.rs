//! A router process under measurement: started with a configuration file of its own, measured through
//! `/proc`, and killed when it is dropped.

use crate::log::Log;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a process may take from its start until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The unit of times in `/proc/PID/stat`; the same on all current Linux platforms.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// A running router process, which is killed when this is dropped.
pub struct Process {
    child: Child,
    configuration_path: PathBuf,
    log: Arc<Log>,
    started_at: Instant,
    /// The address at which the router accepts clients.
    pub addr: SocketAddr,
}

/// The resource limits in a router's configuration.
pub struct ResourceLimits {
    pub cores: f64,
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Process {
    /// Starts a router whose list has one host, in group 3, and waits until it listens.
    pub fn start(program: &Path, host: SocketAddr, limits: &ResourceLimits) -> Result<Process, String> {
        let ResourceLimits { cores, memory_mb, sockets } = limits;
        let configuration = format!(
            r#"{{"name":"lab","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
            "limits":{{"cores":{cores},"memory_mb":{memory_mb},"sockets":{sockets}}},
            "known":{{"version":1,"full":true,"servers":[{{"id":"h-1","addr":"{host}","cell":3,"state":"Ready",
            "weight":1.0,"started_ms":0}}]}},"settings":{{"balancers":1,"tick_s":0.005,"discovery":"automatic",
            "classes":[{{"name":"look","effect":"free","deadline_s":1,"goal_time_s":0.5,"value":1}}],
            "extra":{{"behind":"refuse","read_level":["any"],"staleness_bound_s":[0]}},
            "tenants":[{{"name":"acme","quota_rps":1000000}}],
            "limits":{{"max_attempts":2,"may_cancel":true,"retry_after":true,"max_retry_after_s":2}},
            "rules":{{"cold_from":0.2,"cold_s":10,"drain_grace_s":0.5,"fall_multiple":2.5,"fall_s":2}}}}}}"#
        );
        Process::start_with_configuration(program, &configuration)
    }

    /// Starts a router with this configuration, and waits until it listens.
    pub fn start_with_configuration(program: &Path, configuration: &str) -> Result<Process, String> {
        static NEXT_FILE: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NEXT_FILE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("magpiewell-lab-{}-{number}.json", std::process::id()));
        std::fs::write(&path, configuration).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = Command::new(program);
        let command = command.env("BALANCER_CONFIG", &path).stderr(Stdio::piped());
        let started_at = Instant::now();
        let spawned = on_last_core(|| command.spawn());
        let mut child = spawned.map_err(|e| format!("{}: {e}", program.display()))?;
        let log = Arc::new(Log::default());
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let received = log.clone();
        // The log is read to its end even if nobody waits for lines: on a full pipe the router would block.
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| received.push(line));
            received.close();
        });
        let unbound = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut process = Process { child, configuration_path: path, log, started_at, addr: unbound };
        process.addr = process.wait_for_listen_addr()?;
        Ok(process)
    }

    /// Waits for the log line with the address at which the process listens.
    fn wait_for_listen_addr(&self) -> Result<SocketAddr, String> {
        let line = self
            .log
            .wait_for_line("listen=", 0, START_TIMEOUT)
            .ok_or("the router exited or did not log its address in time")?;
        let addr = line.text.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        addr.and_then(|text| text.parse().ok())
            .ok_or_else(|| format!("no address in log line: {}", line.text))
    }

    /// What the process has logged.
    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Replaces the configuration file and makes the process reload it.
    pub fn reload(&self, configuration: &str) -> Result<(), String> {
        std::fs::write(&self.configuration_path, configuration)
            .map_err(|e| format!("{}: {e}", self.configuration_path.display()))?;
        kill(Pid::from_raw(self.pid() as i32), Signal::SIGHUP).map_err(|e| e.to_string())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Processor time used so far by all threads that still run, in ms.
    pub fn processor_time_ms(&self) -> f64 {
        processor_time_ms(self.pid())
    }

    /// Number of threads, and resident memory in MB.
    pub fn thread_count_and_memory_mb(&self) -> (usize, f64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let value = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap_or("0");
            line.split_whitespace().next().and_then(|v| v.parse().ok()).unwrap_or(0.0)
        };
        (value("Threads:") as usize, value("VmRSS:") / 1024.0)
    }
}

/// Runs `work` with the calling thread pinned to the last core that it may use; a process started by `work`
/// inherits this. A router has one core: threads that ran in parallel would hide the cost of waking them.
fn on_last_core<T>(work: impl FnOnce() -> T) -> T {
    let allowed = sched_getaffinity(None);
    if let Ok(allowed) = &allowed
        && let Some(last) = (0..CpuSet::MAX_CPU).rev().find(|cpu| allowed.is_set(*cpu))
    {
        let mut last_only = CpuSet::new();
        last_only.set(last);
        let _ = sched_setaffinity(None, &last_only);
    }
    let result = work();
    if let Ok(allowed) = &allowed {
        let _ = sched_setaffinity(None, allowed);
    }
    result
}

/// Processor time of a process in ms, including threads that have ended, with a resolution of one clock tick
/// (10 ms).
pub fn processor_time_ms_with_ended_threads(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The program's name is in parentheses and may contain spaces; user and system time are fields 14 and 15.
    let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 = fields.split_whitespace().skip(11).take(2).filter_map(|v| v.parse::<f64>().ok()).sum();
    ticks * 1_000.0 / CLOCK_TICKS_PER_SECOND
}

/// Processor time of all threads of a process that still run, in ms.
pub fn processor_time_ms(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let used_ns = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    };
    tasks.filter_map(used_ns).sum::<f64>() / 1e6
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.configuration_path));
    }
}
