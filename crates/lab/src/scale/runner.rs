//! Starts all processes of a scale test, injects its faults phase by phase, and ends the processes.

use super::fault::Faults;
use super::hollow;
use super::message::{Command, Event, Phase, ProcessName};
use super::plan::{LOST_ZONE, MemberId, Plan};
use super::real;
use super::recorder::Recorder;
use crate::tier::net::Epoch;
use nix::sys::signal::Signal;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// File name of the template of the tier's settings in a test's folder.
pub const TEMPLATE_FILE: &str = "tier.jsonnet";
/// File name of the plan in a test's folder.
const PLAN_FILE: &str = "plan.json";
/// Interval between readings of the processor time and memory of all processes.
const USAGE_INTERVAL_MS: f64 = 1_000.0;
/// How long a process is stopped: less than the suspicion timeout.
const STOP_DURATION_MS: f64 = 4_000.0;
/// The share of datagrams that is lost in the phase `Loss`.
pub const LOSS_SHARE: f64 = 0.3;
/// Time limit for the start of all processes.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// The programs of a test and the folder for its files.
pub struct Environment {
    pub router: PathBuf,
    pub lab: PathBuf,
    pub folder: PathBuf,
}

/// A child process that is killed when its owner is dropped.
struct ChildProcess {
    child: Child,
    input: Option<ChildStdin>,
    reader: Option<JoinHandle<()>>,
}

impl ChildProcess {
    fn signal(&self, signal: Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        // Fails only if the process has already ended.
        let _ = nix::sys::signal::kill(pid, signal);
    }

    fn terminate(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        if let Some(reader) = self.reader.take() {
            drop(reader.join());
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.terminate();
    }
}

/// A running test with its processes.
pub struct Runner<'a> {
    pub plan: &'a Plan,
    pub epoch: Epoch,
    pub recorder: Arc<Recorder>,
    environment: &'a Environment,
    processes: HashMap<ProcessName, ChildProcess>,
    next_usage_at: f64,
    faults: Faults,
}

impl<'a> Runner<'a> {
    /// Starts all processes and waits until the hollow ones are ready.
    pub fn start(plan: &'a Plan, environment: &'a Environment) -> Result<Runner<'a>, String> {
        plan.validate()?;
        hollow::validate(plan)?;
        std::fs::create_dir_all(&environment.folder)
            .map_err(|e| format!("{}: {e}", environment.folder.display()))?;
        let text = serde_json::to_string(plan).map_err(|e| e.to_string())?;
        for (name, text) in [(PLAN_FILE, &text), (TEMPLATE_FILE, &plan.template)] {
            let file = environment.folder.join(name);
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        let epoch = Epoch::starting_in(0.0);
        let recorder = Arc::new(Recorder::new(plan, epoch));
        let (processes, faults) = (HashMap::new(), plan.permanent_faults());
        let mut runner = Runner { plan, epoch, recorder, environment, processes, next_usage_at: 0.0, faults };
        runner.recorder.record(Event::Phase(Phase::Settle));
        for process in 0..plan.processes {
            runner.start_hollow(process)?;
        }
        for member in plan.real_members() {
            runner.start_real(member)?;
        }
        runner.wait_ready()?;
        Ok(runner)
    }

    fn wait_ready(&mut self) -> Result<(), String> {
        if self.recorder.wait_until(START_TIMEOUT, |view| view.ready.iter().all(|ready| *ready)) {
            return self.check_running();
        }
        self.check_running()?;
        Err(format!("not all hollow processes were ready within {} s", START_TIMEOUT.as_secs()))
    }

    /// Fails if a process has exited by itself.
    pub fn check_running(&mut self) -> Result<(), String> {
        for (name, process) in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(format!("{name:?} exited unexpectedly: {status}"));
            }
        }
        Ok(())
    }

    fn start_hollow(&mut self, process: usize) -> Result<(), String> {
        let mut command = std::process::Command::new(&self.environment.lab);
        command.arg("hollow").arg("--plan").arg(self.environment.folder.join(PLAN_FILE));
        command.arg("--process").arg(process.to_string());
        command.arg("--mono").arg(self.epoch.monotonic_ms.to_string());
        command.arg("--unix").arg(self.epoch.unix_ms.to_string());
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.environment.lab.display()))?;
        let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let recorder = self.recorder.clone();
        let reader = std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                // The last line of a killed process may be truncated.
                if let Ok(entry) = serde_json::from_str(&line) {
                    recorder.add(entry);
                }
            }
        });
        let input = child.stdin.take();
        let started = ChildProcess { child, input, reader: Some(reader) };
        self.processes.insert(ProcessName::Hollow(process), started);
        self.send_command(process, &Command::Faults(self.faults.clone()))
    }

    fn start_real(&mut self, member: MemberId) -> Result<(), String> {
        let recorder = self.recorder.clone();
        let on_event = move |event| recorder.record(event);
        let Environment { router, folder, .. } = self.environment;
        let (child, reader) = real::start(router, folder, self.plan, member, on_event)?;
        let started = ChildProcess { child, input: None, reader: Some(reader) };
        self.processes.insert(ProcessName::Real(member), started);
        Ok(())
    }

    fn send_command(&mut self, process: usize, command: &Command) -> Result<(), String> {
        let line = serde_json::to_string(command).map_err(|e| e.to_string())?;
        let child = self.processes.get_mut(&ProcessName::Hollow(process));
        let Some(input) = child.and_then(|child| child.input.as_mut()) else { return Ok(()) };
        writeln!(input, "{line}")
            .map_err(|e| format!("can't send a command to hollow process {process}: {e}"))
    }

    /// Replaces the network faults in force.
    pub fn set_faults(&mut self, faults: Faults) -> Result<(), String> {
        self.faults = faults;
        for process in 0..self.plan.processes {
            self.send_command(process, &Command::Faults(self.faults.clone()))?;
        }
        Ok(())
    }

    /// The hollow processes and real routers of a zone.
    fn processes_in_zone(&self, zone: usize) -> Vec<ProcessName> {
        let hollow = (0..self.plan.processes)
            .filter(|process| self.plan.zone_of_process(*process) == zone)
            .map(ProcessName::Hollow);
        let real =
            self.plan.real_members().filter(|member| self.plan.zone(*member) == zone).map(ProcessName::Real);
        hollow.chain(real).collect()
    }

    /// Kills all processes of a zone at the same time.
    pub fn kill_zone(&mut self, zone: usize) {
        let mut lost: Vec<ChildProcess> =
            self.processes_in_zone(zone).iter().filter_map(|name| self.processes.remove(name)).collect();
        lost.iter().for_each(|process| process.signal(Signal::SIGKILL));
        self.recorder.record(Event::ZoneLost { zone });
        lost.iter_mut().for_each(ChildProcess::terminate);
    }

    /// Restarts all processes of a killed zone and waits until they are ready.
    pub fn restart_zone(&mut self, zone: usize) -> Result<(), String> {
        for name in self.processes_in_zone(zone) {
            match name {
                ProcessName::Hollow(process) => self.start_hollow(process)?,
                ProcessName::Real(member) => self.start_real(member)?,
            }
        }
        self.wait_ready()?;
        self.recorder.record(Event::ZoneBack { zone });
        Ok(())
    }

    /// Makes routers observe the changes of primary that are due; `done` counts those sent so far.
    fn send_primary_changes(&mut self, lost_at: f64, done: &mut usize) -> Result<(), String> {
        for change in self.plan.primary_changes().into_iter().skip(*done) {
            if lost_at + change.after_ms > self.epoch.now() {
                break;
            }
            let (observer, group, host) = (change.observer, change.group, change.host);
            let process = usize::from(observer) % self.plan.processes;
            self.send_command(process, &Command::ObservePrimary { observer, group, host })?;
            *done += 1;
        }
        Ok(())
    }

    /// Makes routers observe all changes of primary at once.
    pub fn change_all_primaries(&mut self) -> Result<(), String> {
        self.send_primary_changes(f64::NEG_INFINITY, &mut 0)
    }

    /// Stops a process (`on`) or resumes it.
    fn stop(&mut self, name: ProcessName, on: bool) {
        if let Some(process) = self.processes.get(&name) {
            process.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
            self.recorder.record(Event::Stopped { process: name, on });
        }
    }

    fn record_usage(&mut self) {
        for (name, process) in &self.processes {
            let pid = process.child.id();
            let (processor_ms, memory_mb) = (crate::process::processor_time_ms(pid), resident_mb(pid));
            self.recorder.record(Event::Usage { process: *name, processor_ms, memory_mb });
        }
    }

    /// Waits for this time and records the processes' usage meanwhile; calls `poll` up to 200 times per
    /// second.
    fn run_for(
        &mut self,
        ms: f64,
        mut poll: impl FnMut(&mut Self) -> Result<(), String>,
    ) -> Result<(), String> {
        let until = self.epoch.now() + ms;
        while self.epoch.now() < until {
            poll(self)?;
            if self.epoch.now() >= self.next_usage_at {
                self.next_usage_at = self.epoch.now() + USAGE_INTERVAL_MS;
                self.record_usage();
                self.check_running()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn begin_phase(&mut self, phase: Phase) {
        self.recorder.record(Event::Phase(phase));
        self.record_usage();
    }

    fn run_phase(&mut self, phase: Phase, ms: f64) -> Result<(), String> {
        if ms > 0.0 {
            self.begin_phase(phase);
            self.run_for(ms, |_| Ok(()))?;
        }
        Ok(())
    }

    /// Runs all phases of the plan.
    pub fn run(&mut self) -> Result<(), String> {
        let durations = self.plan.durations;
        self.run_for(durations.settle, |_| Ok(()))?;
        self.run_phase(Phase::Quiet, durations.quiet)?;
        self.run_zone_lost(durations.zone_lost)?;
        if durations.zone_back > 0.0 {
            self.begin_phase(Phase::ZoneBack);
            self.restart_zone(LOST_ZONE)?;
            self.run_for(durations.zone_back, |_| Ok(()))?;
        }
        self.run_stop(durations.stop)?;
        self.run_faults(Phase::Loss, durations.loss, Faults { loss: LOSS_SHARE, ..Faults::default() })?;
        let cut = Faults { sides: self.plan.sides_of_cut(), ..Faults::default() };
        self.run_faults(Phase::Cut, durations.cut, cut)?;
        self.run_phase(Phase::Healed, durations.healed)?;
        self.begin_phase(Phase::End);
        Ok(())
    }

    fn run_zone_lost(&mut self, ms: f64) -> Result<(), String> {
        if ms <= 0.0 {
            return Ok(());
        }
        self.begin_phase(Phase::ZoneLost);
        self.kill_zone(LOST_ZONE);
        let (lost_at, mut done) = (self.epoch.now(), 0);
        self.run_for(ms, |runner| runner.send_primary_changes(lost_at, &mut done))
    }

    /// Stops one process of a zone that was never lost and resumes it after some seconds.
    fn run_stop(&mut self, ms: f64) -> Result<(), String> {
        if ms <= 0.0 {
            return Ok(());
        }
        self.begin_phase(Phase::Stop);
        let stopped = ProcessName::Hollow(0);
        self.stop(stopped, true);
        let result = self.run_for(STOP_DURATION_MS.min(ms), |_| Ok(()));
        self.stop(stopped, false);
        result?;
        self.run_for((ms - STOP_DURATION_MS).max(0.0), |_| Ok(()))
    }

    /// Runs a phase with these network faults.
    fn run_faults(&mut self, phase: Phase, ms: f64, faults: Faults) -> Result<(), String> {
        if ms <= 0.0 {
            return Ok(());
        }
        self.set_faults(faults)?;
        self.run_phase(phase, ms)?;
        self.set_faults(self.plan.permanent_faults())
    }
}

/// Resident memory of a process, in MB.
fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}
