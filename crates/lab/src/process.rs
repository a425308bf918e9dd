//! A router process under measurement: started with a file of its own, looked at from outside, ended with its owner.

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

/// How long a start may take until the process listens.
const START_PATIENCE: Duration = Duration::from_secs(30);
/// The unit of times in `/proc/PID/stat`: the same on all Linux machines of today.
const TICKS_A_SECOND: f64 = 100.0;

pub struct Process {
    child: Child,
    file: PathBuf,
    log: Arc<Log>,
    started: Instant,
    pub addr: SocketAddr,
}

/// What a router is given.
pub struct ResourceLimits {
    pub cores: f64,
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Process {
    /// Starts a router before one host, and waits until it listens.
    pub fn start(program: &Path, host: SocketAddr, grant: &ResourceLimits) -> Result<Process, String> {
        let ResourceLimits { cores, memory_mb, sockets } = grant;
        let text = format!(
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
        Process::start_with_configuration(program, &text)
    }

    /// Starts a router with this configuration, and waits until it listens.
    pub fn start_with_configuration(program: &Path, configuration: &str) -> Result<Process, String> {
        static COUNT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("magpiewell-lab-{}-{count}.json", std::process::id()));
        std::fs::write(&file, configuration).map_err(|e| format!("{}: {e}", file.display()))?;
        let mut command = Command::new(program);
        let command = command.env("BALANCER_CONFIG", &file).stderr(Stdio::piped());
        let started = Instant::now();
        let spawned = on_one_core(|| command.spawn());
        let mut child = spawned.map_err(|e| format!("{}: {e}", program.display()))?;
        let log = Arc::new(Log::default());
        let lines = BufReader::new(child.stderr.take().expect("was asked for")).lines();
        let kept = log.clone();
        // Read on, or the router would wait for room to write.
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| kept.push(line));
            kept.end();
        });
        let unbound = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut process = Process { child, file, log, started, addr: unbound };
        process.addr = process.listens()?;
        Ok(process)
    }

    /// The address that the log names.
    fn listens(&self) -> Result<SocketAddr, String> {
        let line = self.log.wait_for_line("listen=", 0, START_PATIENCE).ok_or("the router did not start")?;
        let address = line.text.split("listen=").nth(1).and_then(|rest| rest.split(' ').next());
        address.and_then(|a| a.parse().ok()).ok_or_else(|| format!("no address in: {}", line.text))
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// When the program was started.
    pub fn started_at(&self) -> Instant {
        self.started
    }

    /// Replaces the configuration file and asks the process to read it anew.
    pub fn reload(&self, configuration: &str) -> Result<(), String> {
        std::fs::write(&self.file, configuration).map_err(|e| format!("{}: {e}", self.file.display()))?;
        kill(Pid::from_raw(self.pid() as i32), Signal::SIGHUP).map_err(|e| e.to_string())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Processor time used so far, in ms.
    pub fn processor_time_ms(&self) -> f64 {
        processor_time_ms(self.pid())
    }

    /// Threads, and resident memory in MB.
    pub fn thread_count_and_memory_mb(&self) -> (usize, f64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let value = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap_or("0");
            line.split_whitespace().next().and_then(|v| v.parse().ok()).unwrap_or(0.0)
        };
        (value("Threads:") as usize, value("VmRSS:") / 1024.0)
    }
}

/// Runs this with the calling thread on the last core it may use, which a process started there inherits: a router
/// has one core, and threads that could run at once would hide what waking them costs.
fn on_one_core<T>(work: impl FnOnce() -> T) -> T {
    let all = sched_getaffinity(None);
    if let Ok(all) = &all
        && let Some(last) = (0..CpuSet::MAX_CPU).rev().find(|cpu| all.is_set(*cpu))
    {
        let mut one = CpuSet::new();
        one.set(last);
        let _ = sched_setaffinity(None, &one);
    }
    let done = work();
    if let Ok(all) = &all {
        let _ = sched_setaffinity(None, all);
    }
    done
}

/// Processor time of a whole process, in ms, threads that have ended included; in steps of a clock tick (10
/// ms).
pub fn processor_time_ms_with_ended_threads(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The program's name stands in brackets and may hold blanks; user and system time are the 14th and 15th
    // field.
    let fields = text.rsplit_once(')').map_or("", |(_, behind)| behind);
    let ticks: f64 = fields.split_whitespace().skip(11).take(2).filter_map(|v| v.parse::<f64>().ok()).sum();
    ticks * 1_000.0 / TICKS_A_SECOND
}

/// Processor time of all threads of a process, in ms.
pub fn processor_time_ms(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    };
    tasks.filter_map(of).sum::<f64>() / 1e6
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.file));
    }
}
