//! Runs a script: starts real router processes and the laboratory's own processes and threads, applies the
//! faults on router processes, and passes all recorded events to the judge.

use super::clients::{self, StartCounts};
use super::judge::{self, Slack, Verdict};
use super::net::Epoch;
use super::plan::Plan;
use super::record::{self, Kind, Record, STALENESS_BOUND_MS, Seen, TOKEN_WINDOW_MS};
use super::script::{Script, What};
use super::{list, peers};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// The programs of a run and the folder for its files.
pub struct Environment {
    /// The router binary. Scripts with [`What::ClockOff`] need an option that only `magpiewell-staged` has.
    pub router: PathBuf,
    pub lab: PathBuf,
    pub folder: PathBuf,
}

/// The outcome of a run.
pub struct RunOutcome {
    pub verdict: Verdict,
    pub record: Record,
    pub plan: Plan,
    /// Processor time of each router in ms, since the last start of its process.
    pub processor_ms: Vec<f64>,
    /// Descriptions of routers that exited unexpectedly, or not in time or not cleanly when terminated.
    pub crashed: Vec<String>,
    pub epoch: Epoch,
}

/// Tolerances beyond the times of the rules, as one machine runs all processes at once. They say nothing
/// about what the router guarantees.
pub const SLACK: Slack = Slack { answer_ms: 400.0, sent_ms: 250.0, grace_ms: 500.0 + 250.0, age_ms: 100.0 };
/// File name of the template of the tier settings.
const TEMPLATE: &str = "tier.jsonnet";
/// Drain grace in the configuration of the routers; also part of `SLACK.grace_ms`.
const DRAIN_GRACE_S: f64 = 0.5;
/// Time from the start of the processes to the start of the run: a fixed part and one per router.
const START_DELAY_MS: f64 = 1_000.0;
const START_DELAY_PER_ROUTER_MS: f64 = 12.0;
/// How long routers may take to exit after SIGTERM at the end of the run.
const EXIT_TIMEOUT_MS: f64 = 6_000.0;

/// A router process and its start count.
struct Process {
    child: Child,
    life: u32,
}

/// Runs a script to its end and judges it. Errors are those of the laboratory, never of a router.
pub fn run(script: Script, environment: &Environment) -> Result<RunOutcome, String> {
    std::fs::create_dir_all(&environment.folder)
        .map_err(|e| format!("{}: {e}", environment.folder.display()))?;
    let text = toml::to_string(&script).map_err(|e| e.to_string())?;
    let file = environment.folder.join("script.toml");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    if let Some(tier) = &script.tier {
        let file = environment.folder.join(TEMPLATE);
        std::fs::write(&file, tier).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    let plan = Plan::new(script);
    let s = &plan.script;
    let epoch = Epoch::starting_in(START_DELAY_MS + START_DELAY_PER_ROUTER_MS * s.routers as f64);
    let mut host_processes = Vec::new();
    for part in 0..s.host_process_count() {
        let record_file = environment.folder.join(format!("hosts-{part}.bin"));
        let mut command = Command::new(&environment.lab);
        command.arg("hosts").arg("--script").arg(&file).arg("--part").arg(part.to_string());
        command
            .arg("--mono")
            .arg(epoch.monotonic_ms.to_string())
            .arg("--unix")
            .arg(epoch.unix_ms.to_string());
        command.arg("--record").arg(&record_file).stdin(Stdio::null());
        let child = command.spawn().map_err(|e| format!("{}: {e}", environment.lab.display()))?;
        host_processes.push((KillOnDrop(child), record_file));
    }
    let start_counts = StartCounts((0..s.routers).map(|_| AtomicU32::new(0)).collect());
    let mut routers =
        Routers { plan: &plan, environment, epoch, processes: HashMap::new(), crashed: Vec::new() };
    let mut record = std::thread::scope(|scope| {
        let list = scope.spawn(|| list::run(&plan, epoch));
        let peer_proxy = scope.spawn(|| peers::run(&plan, epoch));
        let client_loop = scope.spawn(|| clients::run(&plan, epoch, &start_counts));
        let router_events = routers.run(&start_counts);
        let join = |thread: std::thread::ScopedJoinHandle<'_, Result<Record, String>>, name: &str| {
            thread.join().unwrap_or_else(|_| Err(format!("the thread of {name} panicked")))
        };
        let mut all = router_events?;
        all.extend(join(list, "the list")?);
        all.extend(join(peer_proxy, "peers")?);
        all.extend(join(client_loop, "clients")?);
        Ok::<Record, String>(all)
    })?;
    let processor_ms = routers.processor_times();
    routers.terminate();
    for (mut process, record_file) in host_processes {
        process.0.wait().map_err(|e| e.to_string())?;
        record.extend(record::read(&record_file)?);
    }
    record.sort_by(|a, b| a.0.total_cmp(&b.0));
    let verdict = judge::judge(&plan, &record, SLACK);
    let crashed = std::mem::take(&mut routers.crashed);
    drop(routers);
    Ok(RunOutcome { verdict, record, plan, processor_ms, crashed, epoch })
}

/// A child process that is killed when it is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// A scheduled action on a router process.
#[derive(Clone, Copy, PartialEq)]
enum Action {
    Kill(usize),
    Stop(usize),
    Continue(usize),
    Terminate(usize),
    /// Kills the old process if it still runs, and starts the next one in its place.
    Start(usize),
}

/// The router processes of a run.
struct Routers<'a> {
    plan: &'a Plan,
    environment: &'a Environment,
    epoch: Epoch,
    processes: HashMap<usize, Process>,
    crashed: Vec<String>,
}

impl Routers<'_> {
    /// Starts all routers, executes the scheduled actions and waits for the end of the run.
    fn run(&mut self, start_counts: &StartCounts) -> Result<Record, String> {
        let (plan, mut record) = (self.plan, Record::new());
        for router in 0..plan.script.routers {
            self.start(router, 0)?;
            record.push((self.epoch.now(), Seen::Started { router: router as u32, life: 0 }));
        }
        let mut actions = scheduled_actions(plan);
        loop {
            let now = self.epoch.now();
            let Some(Reverse((at, index))) = actions.order.pop() else { break };
            if at as f64 / 1e3 > now {
                std::thread::sleep(std::time::Duration::from_secs_f64((at as f64 / 1e3 - now) / 1e3));
            }
            let (now, action) = (self.epoch.now(), actions.all[index]);
            match action {
                Action::Kill(r) => {
                    record.push((now, Seen::Killed { router: r as u32 }));
                    self.signal(r, nix::sys::signal::Signal::SIGKILL);
                }
                Action::Stop(r) => {
                    record.push((now, Seen::Stopped { router: r as u32, on: true }));
                    self.signal(r, nix::sys::signal::Signal::SIGSTOP);
                }
                Action::Continue(r) => {
                    self.signal(r, nix::sys::signal::Signal::SIGCONT);
                    record.push((self.epoch.now(), Seen::Stopped { router: r as u32, on: false }));
                }
                Action::Terminate(r) => self.signal(r, nix::sys::signal::Signal::SIGTERM),
                Action::Start(r) => {
                    if let Some(mut old) = self.processes.remove(&r) {
                        drop(old.child.kill());
                        drop(old.child.wait());
                        start_counts.0[r].store(old.life + 1, Relaxed);
                        self.start(r, old.life + 1)?;
                        let life = old.life + 1;
                        record.push((self.epoch.now(), Seen::Started { router: r as u32, life }));
                    }
                }
            }
        }
        let left = self.plan.ends_at() - self.epoch.now();
        std::thread::sleep(std::time::Duration::from_secs_f64(left.max(0.0) / 1e3));
        // The last action on a router determines whether its exit is expected.
        let expected_exit = |r: usize| {
            actions.all.iter().rev().find_map(|action| match action {
                Action::Kill(k) | Action::Terminate(k) if *k == r => Some(true),
                Action::Start(k) if *k == r => Some(false),
                _ => None,
            })
        };
        for (router, process) in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait()
                && expected_exit(*router) != Some(true)
            {
                self.crashed.push(format!("router {router} exited unexpectedly: {status}"));
            }
        }
        Ok(record)
    }

    fn start(&mut self, router: usize, life: u32) -> Result<(), String> {
        let (s, folder) = (&self.plan.script, &self.environment.folder);
        let file = folder.join(format!("router-{router}.json"));
        let text = router_config(self.plan, router, life, self.epoch);
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let log = folder.join(format!("router-{router}-{life}.log"));
        let log = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(&self.environment.router);
        for (fault_index, fault) in s.faults.iter().enumerate() {
            if let What::ClockOff { routers, ms } = &fault.what
                && s.selected_routers(fault_index, routers).contains(&router)
            {
                command.arg("--clock-off-ms").arg(ms.to_string());
            }
        }
        if s.tier.is_some() {
            command.arg("--tier").arg(folder.join(TEMPLATE));
        }
        command.env("BALANCER_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::from(log));
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.environment.router.display()))?;
        self.processes.insert(router, Process { child, life });
        Ok(())
    }

    fn signal(&self, router: usize, signal: nix::sys::signal::Signal) {
        if let Some(process) = self.processes.get(&router) {
            let pid = nix::unistd::Pid::from_raw(process.child.id() as i32);
            let _ = nix::sys::signal::kill(pid, signal);
        }
    }

    fn processor_times(&self) -> Vec<f64> {
        let of = |r: usize| {
            self.processes.get(&r).map_or(0.0, |p| crate::process::processor_time_ms(p.child.id()))
        };
        (0..self.plan.script.routers).map(of).collect()
    }

    /// Terminates all routers, and notes those that fail or do not exit in time. They are killed on drop.
    fn terminate(&mut self) {
        for router in 0..self.plan.script.routers {
            self.signal(router, nix::sys::signal::Signal::SIGCONT);
            self.signal(router, nix::sys::signal::Signal::SIGTERM);
        }
        let until = self.epoch.now() + EXIT_TIMEOUT_MS;
        for (router, process) in &mut self.processes {
            loop {
                match process.child.try_wait() {
                    Ok(Some(status)) if status.success() || status.code().is_none() => break,
                    Ok(Some(status)) => {
                        self.crashed.push(format!("router {router} exited with {status}"));
                        break;
                    }
                    _ if self.epoch.now() > until => {
                        self.crashed.push(format!("router {router} did not exit in time after SIGTERM"));
                        break;
                    }
                    _ => std::thread::sleep(std::time::Duration::from_millis(5)),
                }
            }
        }
    }
}

impl Drop for Routers<'_> {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            drop(process.child.kill());
            drop(process.child.wait());
        }
    }
}

/// Actions, and their due times in microseconds with their indices in `all`.
struct ActionQueue {
    all: Vec<Action>,
    order: BinaryHeap<Reverse<(u64, usize)>>,
}

fn scheduled_actions(plan: &Plan) -> ActionQueue {
    let mut actions = ActionQueue { all: Vec::new(), order: BinaryHeap::new() };
    let mut add = |at: f64, action: Action| {
        actions.order.push(Reverse(((at * 1e3) as u64, actions.all.len())));
        actions.all.push(action);
    };
    for (fault_index, fault) in plan.script.faults.iter().enumerate() {
        let (at, until) = (fault.at_ms, fault.at_ms + fault.for_ms);
        match &fault.what {
            What::Kill { routers, again_ms } => {
                for r in plan.script.selected_routers(fault_index, routers) {
                    add(at, Action::Kill(r));
                    add(at + again_ms, Action::Start(r));
                }
            }
            What::Stop { routers } => {
                for r in plan.script.selected_routers(fault_index, routers) {
                    add(at, Action::Stop(r));
                    add(until, Action::Continue(r));
                }
            }
            What::Restart { routers, again_ms } => {
                let all = plan.script.selected_routers(fault_index, routers);
                let each = fault.for_ms / all.len().max(1) as f64;
                for (i, r) in all.into_iter().enumerate() {
                    add(at + i as f64 * each, Action::Terminate(r));
                    add(at + i as f64 * each + again_ms, Action::Start(r));
                }
            }
            _ => {}
        }
    }
    actions
}

/// A router's configuration, as the platform would write it.
fn router_config(plan: &Plan, router: usize, life: u32, epoch: Epoch) -> String {
    let s = &plan.script;
    let kind = |kind: Kind| {
        let effect = match kind {
            Kind::Tokened => "guarded",
            Kind::Once => "single_shot",
            _ => "free",
        };
        serde_json::json!({"name": kind.name(), "effect": effect,
            "deadline_s": clients::CLIENT_TIMEOUT_MS / 1e3,
            "goal_time_s": clients::CLIENT_TIMEOUT_MS / 2e3, "group": "cell", "late_worth": 0.3, "value": 1,
            "window_s": TOKEN_WINDOW_MS / 1e3})
    };
    let level = |kind: Kind| match kind {
        Kind::Tokened | Kind::Once => "write",
        Kind::Fresh => "fresh",
        Kind::Session => "session",
        Kind::Bounded => "bounded",
        Kind::Any => "any",
    };
    let bound = |kind: Kind| if kind == Kind::Bounded { STALENESS_BOUND_MS / 1e3 } else { 0.0 };
    let zones: Vec<String> = (0..s.zones).map(|z| format!("z{z}")).collect();
    let h = &s.host;
    let mut config = serde_json::json!({
        "name": format!("r{router}"),
        "listen": s.router_addr(router).to_string(),
        "discovery": s.list_addr(router).to_string(),
        "seed": format!(
            "{:x}",
            s.seed.wrapping_mul(1_000_003).wrapping_add((router as u64) << 8 | u64::from(life))
        ),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "peer_listen": s.peer_listen_addr(router).to_string(),
        "peers": (0..s.routers).map(|p| s.peer_proxy_addr(router, p).to_string()).collect::<Vec<_>>(),
        "peers_all": s.peer_proxy_addr(router, peers::BROADCAST).to_string(),
        "settings": {
            "balancers": s.routers, "me": router, "tick_s": 0.005, "discovery": "automatic",
            "areas": zones, "az": s.zone_of_router(router),
            "classes": Kind::ALL.map(kind),
            "extra": {"behind": if s.unchecked { "off" } else { "refuse" },
                "read_level": Kind::ALL.map(level),
                "staleness_bound_s": Kind::ALL.map(bound), "write_marks": "remembered"},
            "tenants": [{"name": "acme", "quota_rps": s.load.ops * 2.0}],
            "limits": {"max_attempts": 4, "may_cancel": true, "probes": true, "retry_after": true,
                "max_retry_after_s": 2, "conn_idle_s": 30, "dial_timeout_s": 0.25, "may_tell": true},
            "charges": {"probe": 0.01, "handshake": 0.05, "cross_zone": 0.04, "peer": 0.01},
            "clients": {"marks_retry": true},
            "report": {"fields": ["x0", "x1"], "via": "inline"},
            "rules": {"cold_from": h.cold_from, "cold_s": h.cold_ms / 1e3, "drain_grace_s": DRAIN_GRACE_S,
                "fall_multiple": h.fall_multiple, "fall_s": h.fall_ms / 1e3}
        }
    });
    let (list, _) = list::list_response(plan, router, None, epoch.now().max(0.0), &epoch);
    config["known"] = serde_json::from_str(&list).unwrap_or_default();
    config.to_string()
}

/// The default folder of the files of a run.
pub fn default_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("magpiewell-tier-{name}-{}", std::process::id()))
}

/// Runs one process of simulated hosts; writes its record to `to`.
pub fn run_hosts(script: &Path, part: usize, epoch: Epoch, to: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(script).map_err(|e| format!("{}: {e}", script.display()))?;
    let plan = Plan::new(Script::from_toml(&text)?);
    let record = super::hosts::run(&plan, part, epoch)?;
    record::write(&record, to)
}
