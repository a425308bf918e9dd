//! The proof: a test with all faults, and two controls in which aims must be missed: zones that can't reach each other,
//! and routers without evidence of zones.

use super::judge::{Verdict, judge};
use super::plan::{Durations, Plan, Variant};
use super::report::{self, Section};
use super::runner::{Environment, Play};
use std::path::Path;

/// Sizes where the caller names none.
pub const DEFAULT_HOLLOW_ROUTERS: usize = 300;
pub const DEFAULT_REAL_ROUTERS: usize = 12;
pub const DEFAULT_PROCESSES: usize = 12;
pub const ZONES: usize = 6;
/// Less than what facts may be ahead.
pub const CLOCK_AHEAD_MS: f64 = 1_000.0;
/// The port of all routers' datagrams.
pub const DEFAULT_PORT: u16 = 24_800;
/// The settings of the tier that are deployed.
pub const TEMPLATE: &str = include_str!("../../../../deploy/tier.jsonnet");

/// The same settings with members judged one by one only, as before there was evidence of zones.
pub const TEMPLATE_WITHOUT_ZONES: &str = include_str!("../../scripts/tier-without-zones.jsonnet");

/// What a proof is asked for.
pub struct Request {
    pub seed: u64,
    pub hollow: usize,
    pub real: usize,
    pub processes: usize,
    pub port: u16,
}

impl Request {
    fn plan(&self, variant: Variant, durations: Durations) -> Plan {
        Plan {
            variant,
            seed: self.seed,
            hollow: self.hollow,
            real: self.real,
            zones: ZONES,
            processes: self.processes,
            port: self.port,
            template: TEMPLATE.into(),
            durations,
            clock_ahead_ms: CLOCK_AHEAD_MS,
        }
    }
}

/// Runs one test to its end and judges it.
pub fn run(plan: &Plan, environment: &Environment) -> Result<Verdict, String> {
    let mut play = Play::start(plan, environment)?;
    play.run()?;
    let recorder = play.recorder.clone();
    // Ends all processes, so that nothing more is seen.
    drop(play);
    Ok(judge(plan, &recorder.entries(), machine_memory_mb()?))
}

/// Runs the test and the control, prints the figures and writes the report; true where every aim was kept
/// and the control missed its own.
pub fn prove(request: &Request, environment: &Environment, html: Option<&Path>) -> Result<bool, String> {
    let Request { seed, hollow, real, processes, .. } = request;
    println!(
        "{hollow} hollow routers in {processes} processes, {real} real routers, {ZONES} zones, seed {seed}"
    );
    let plan = request.plan(Variant::Sound, Durations::PROOF);
    println!("all faults: {:.0} s", plan.durations.total_ms() / 1e3);
    let sound = run(&plan, environment)?;
    report::lines(&sound).iter().for_each(|line| println!("  {line}"));
    let plan = request.plan(Variant::ZonesMute, Durations::CONTROL);
    println!("control, zones can't reach each other, must fail: {:.0} s", plan.durations.total_ms() / 1e3);
    let control = run(&plan, environment)?;
    report::lines(&control).iter().for_each(|line| println!("  {line}"));
    let plan =
        Plan { template: TEMPLATE_WITHOUT_ZONES.into(), ..request.plan(Variant::Sound, Durations::CONTROL) };
    println!("control, without evidence of zones, must fail: {:.0} s", plan.durations.total_ms() / 1e3);
    let without_zones = run(&plan, environment)?;
    report::lines(&without_zones).iter().for_each(|line| println!("  {line}"));
    let controls_fail = control.control_fails() && without_zones.misses_loss();
    if let Some(html) = html {
        let heading = format!("{hollow} hollow and {real} real routers, seed {seed}");
        let sections = [
            Section { title: "all faults", verdict: &sound },
            Section { title: "control: zones can't reach each other", verdict: &control },
            Section { title: "control: without evidence of zones", verdict: &without_zones },
        ];
        report::write(html, &heading, &sections)?;
        println!("report: {}", html.display());
    }
    let missed: Vec<String> = sound.missed().iter().map(|measure| measure.to_string()).collect();
    println!("missed: {}", if missed.is_empty() { "none".into() } else { missed.join("; ") });
    println!("controls {}", if controls_fail { "fail, as they must" } else { "DO NOT FAIL" });
    Ok(missed.is_empty() && controls_fail)
}

/// All memory of this machine, in MB.
fn machine_memory_mb() -> Result<f64, String> {
    const FILE: &str = "/proc/meminfo";
    let text = std::fs::read_to_string(FILE).map_err(|e| format!("{FILE}: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.map(|kb| kb / 1024.0).ok_or_else(|| format!("{FILE} does not say how much memory there is"))
}
