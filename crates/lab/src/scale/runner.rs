//! Starts all processes of a scale test, does to them what the schedule says, and ends them.

use super::fault::Faults;
use super::hollow;
use super::message::{Command, Event, Phase, ProcessName};
use super::plan::{LOST_ZONE, Member, Plan};
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

/// The template of the tier's settings in a test's folder.
pub const TEMPLATE: &str = "tier.jsonnet";
const PLAN: &str = "plan.json";
/// How often processor time and memory of all processes are looked at.
const USAGE_EVERY_MS: f64 = 1_000.0;
/// A process is stopped for so long: less than any suspicion lasts.
const STOPPED_MS: f64 = 4_000.0;
/// The share of datagrams that is lost.
pub const LOSS: f64 = 0.3;
/// All processes have started within so long.
const START_BOUND: Duration = Duration::from_secs(120);

/// The programs of a test, and where it may write.
pub struct Environment {
    pub router: PathBuf,
    pub lab: PathBuf,
    pub folder: PathBuf,
}

/// A process that is ended with its owner.
struct Process {
    child: Child,
    input: Option<ChildStdin>,
    reader: Option<JoinHandle<()>>,
}

impl Process {
    fn signal(&self, signal: Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        // One that has ended already needs none.
        let _ = nix::sys::signal::kill(pid, signal);
    }

    fn end(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        if let Some(reader) = self.reader.take() {
            drop(reader.join());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

pub struct Play<'a> {
    pub plan: &'a Plan,
    pub epoch: Epoch,
    pub recorder: Arc<Recorder>,
    environment: &'a Environment,
    processes: HashMap<ProcessName, Process>,
    usage_at: f64,
    faults: Faults,
}

impl<'a> Play<'a> {
    /// Starts all processes and waits until all hollow ones run.
    pub fn start(plan: &'a Plan, environment: &'a Environment) -> Result<Play<'a>, String> {
        plan.check()?;
        hollow::check(plan)?;
        std::fs::create_dir_all(&environment.folder)
            .map_err(|e| format!("{}: {e}", environment.folder.display()))?;
        let text = serde_json::to_string(plan).map_err(|e| e.to_string())?;
        for (name, text) in [(PLAN, &text), (TEMPLATE, &plan.template)] {
            let file = environment.folder.join(name);
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        let epoch = Epoch::starting_in(0.0);
        let recorder = Arc::new(Recorder::new(plan, epoch));
        let (processes, faults) = (HashMap::new(), plan.standing_faults());
        let mut play = Play { plan, epoch, recorder, environment, processes, usage_at: 0.0, faults };
        play.recorder.note(Event::Phase(Phase::Settle));
        for process in 0..plan.processes {
            play.start_hollow(process)?;
        }
        for member in plan.real_members() {
            play.start_real(member)?;
        }
        play.wait_ready()?;
        Ok(play)
    }

    fn wait_ready(&mut self) -> Result<(), String> {
        if self.recorder.wait_until(START_BOUND, |view| view.ready.iter().all(|ready| *ready)) {
            return self.check_running();
        }
        self.check_running()?;
        Err(format!("not all hollow processes ran within {} s", START_BOUND.as_secs()))
    }

    /// An error names a process that has ended by itself.
    pub fn check_running(&mut self) -> Result<(), String> {
        for (name, process) in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(format!("{name:?} ended by itself: {status}"));
            }
        }
        Ok(())
    }

    fn start_hollow(&mut self, process: usize) -> Result<(), String> {
        let mut command = std::process::Command::new(&self.environment.lab);
        command.arg("hollow").arg("--plan").arg(self.environment.folder.join(PLAN));
        command.arg("--process").arg(process.to_string());
        command.arg("--mono").arg(self.epoch.monotonic_ms.to_string());
        command.arg("--unix").arg(self.epoch.unix_ms.to_string());
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", self.environment.lab.display()))?;
        let lines = BufReader::new(child.stdout.take().expect("was asked for")).lines();
        let recorder = self.recorder.clone();
        let reader = std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                // The last line of a killed process may be cut short.
                if let Ok(entry) = serde_json::from_str(&line) {
                    recorder.take(entry);
                }
            }
        });
        let input = child.stdin.take();
        let started = Process { child, input, reader: Some(reader) };
        self.processes.insert(ProcessName::Hollow(process), started);
        self.tell(process, &Command::Faults(self.faults.clone()))
    }

    fn start_real(&mut self, member: Member) -> Result<(), String> {
        let recorder = self.recorder.clone();
        let seen = move |event| recorder.note(event);
        let Environment { router, folder, .. } = self.environment;
        let (child, reader) = real::start(router, folder, self.plan, member, seen)?;
        let started = Process { child, input: None, reader: Some(reader) };
        self.processes.insert(ProcessName::Real(member), started);
        Ok(())
    }

    fn tell(&mut self, process: usize, command: &Command) -> Result<(), String> {
        let line = serde_json::to_string(command).map_err(|e| e.to_string())?;
        let held = self.processes.get_mut(&ProcessName::Hollow(process));
        let Some(input) = held.and_then(|held| held.input.as_mut()) else { return Ok(()) };
        writeln!(input, "{line}").map_err(|e| format!("hollow process {process} takes no command: {e}"))
    }

    /// Sets the faults of the network from now on.
    pub fn set_faults(&mut self, faults: Faults) -> Result<(), String> {
        self.faults = faults;
        for process in 0..self.plan.processes {
            self.tell(process, &Command::Faults(self.faults.clone()))?;
        }
        Ok(())
    }

    /// Processes that belong to a zone.
    fn of_zone(&self, zone: usize) -> Vec<ProcessName> {
        let hollow = (0..self.plan.processes)
            .filter(|process| self.plan.zone_of_process(*process) == zone)
            .map(ProcessName::Hollow);
        let real =
            self.plan.real_members().filter(|member| self.plan.zone(*member) == zone).map(ProcessName::Real);
        hollow.chain(real).collect()
    }

    /// Kills all processes of a zone at once.
    pub fn lose_zone(&mut self, zone: usize) {
        let mut lost: Vec<Process> =
            self.of_zone(zone).iter().filter_map(|name| self.processes.remove(name)).collect();
        lost.iter().for_each(|process| process.signal(Signal::SIGKILL));
        self.recorder.note(Event::ZoneLost { zone });
        lost.iter_mut().for_each(Process::end);
    }

    /// Starts all processes of a lost zone again.
    pub fn bring_zone_back(&mut self, zone: usize) -> Result<(), String> {
        for name in self.of_zone(zone) {
            match name {
                ProcessName::Hollow(process) => self.start_hollow(process)?,
                ProcessName::Real(member) => self.start_real(member)?,
            }
        }
        self.wait_ready()?;
        self.recorder.note(Event::ZoneBack { zone });
        Ok(())
    }

    /// Has the changes of primaries that are due by now seen by their routers.
    fn change_primaries(&mut self, lost_at: f64, done: &mut usize) -> Result<(), String> {
        for change in self.plan.primary_changes().into_iter().skip(*done) {
            if lost_at + change.after_ms > self.epoch.now() {
                break;
            }
            let (observer, group, host) = (change.observer, change.group, change.host);
            let process = usize::from(observer) % self.plan.processes;
            self.tell(process, &Command::ObservePrimary { observer, group, host })?;
            *done += 1;
        }
        Ok(())
    }

    /// All changes of primaries at once.
    pub fn change_all_primaries(&mut self) -> Result<(), String> {
        self.change_primaries(f64::NEG_INFINITY, &mut 0)
    }

    /// Stops a process, or lets it go on.
    fn stop(&mut self, name: ProcessName, on: bool) {
        if let Some(process) = self.processes.get(&name) {
            process.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
            self.recorder.note(Event::Stopped { process: name, on });
        }
    }

    fn note_usage(&mut self) {
        for (name, process) in &self.processes {
            let pid = process.child.id();
            let (processor_ms, memory_mb) = (crate::process::processor_time_ms(pid), resident_mb(pid));
            self.recorder.note(Event::Usage { process: *name, processor_ms, memory_mb });
        }
    }

    /// Lets so much time pass, looking at all processes' usage meanwhile; `each` is done some hundred times
    /// a second.
    fn pass(&mut self, ms: f64, mut each: impl FnMut(&mut Self) -> Result<(), String>) -> Result<(), String> {
        let until = self.epoch.now() + ms;
        while self.epoch.now() < until {
            each(self)?;
            if self.epoch.now() >= self.usage_at {
                self.usage_at = self.epoch.now() + USAGE_EVERY_MS;
                self.note_usage();
                self.check_running()?;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn begin(&mut self, phase: Phase) {
        self.recorder.note(Event::Phase(phase));
        self.note_usage();
    }

    fn pass_phase(&mut self, phase: Phase, ms: f64) -> Result<(), String> {
        if ms > 0.0 {
            self.begin(phase);
            self.pass(ms, |_| Ok(()))?;
        }
        Ok(())
    }

    /// Plays all phases of the plan.
    pub fn run(&mut self) -> Result<(), String> {
        let durations = self.plan.durations;
        self.pass(durations.settle, |_| Ok(()))?;
        self.pass_phase(Phase::Quiet, durations.quiet)?;
        self.run_zone_lost(durations.zone_lost)?;
        if durations.zone_back > 0.0 {
            self.begin(Phase::ZoneBack);
            self.bring_zone_back(LOST_ZONE)?;
            self.pass(durations.zone_back, |_| Ok(()))?;
        }
        self.run_stop(durations.stop)?;
        self.run_faults(Phase::Loss, durations.loss, Faults { loss: LOSS, ..Faults::default() })?;
        let cut = Faults { sides: self.plan.halves(), ..Faults::default() };
        self.run_faults(Phase::Cut, durations.cut, cut)?;
        self.pass_phase(Phase::Healed, durations.healed)?;
        self.begin(Phase::End);
        Ok(())
    }

    fn run_zone_lost(&mut self, ms: f64) -> Result<(), String> {
        if ms <= 0.0 {
            return Ok(());
        }
        self.begin(Phase::ZoneLost);
        self.lose_zone(LOST_ZONE);
        let (lost_at, mut done) = (self.epoch.now(), 0);
        self.pass(ms, |play| play.change_primaries(lost_at, &mut done))
    }

    /// Stops one process of a zone that was never lost for a while.
    fn run_stop(&mut self, ms: f64) -> Result<(), String> {
        if ms <= 0.0 {
            return Ok(());
        }
        self.begin(Phase::Stop);
        let stopped = ProcessName::Hollow(0);
        self.stop(stopped, true);
        let passed = self.pass(STOPPED_MS.min(ms), |_| Ok(()));
        self.stop(stopped, false);
        passed?;
        self.pass((ms - STOPPED_MS).max(0.0), |_| Ok(()))
    }

    /// Plays a phase with these faults of the network.
    fn run_faults(&mut self, phase: Phase, ms: f64, faults: Faults) -> Result<(), String> {
        if ms <= 0.0 {
            return Ok(());
        }
        self.set_faults(faults)?;
        self.pass_phase(phase, ms)?;
        self.set_faults(self.plan.standing_faults())
    }
}

/// Resident memory of a process, in MB.
fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}
