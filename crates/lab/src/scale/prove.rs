//! The proof: a test with all faults, and two controls that must miss targets: one in which zones can't reach
//! each other, and one in which routers don't use zone evidence.

use super::judge::{Verdict, judge};
use super::plan::{Durations, Plan, Variant};
use super::report::{self, Section};
use super::runner::{Environment, Runner};
use std::path::Path;

/// Default sizes.
pub const DEFAULT_HOLLOW_ROUTERS: usize = 300;
pub const DEFAULT_REAL_ROUTERS: usize = 12;
pub const DEFAULT_PROCESSES: usize = 12;
pub const ZONES: usize = 6;
/// How far the clocks of one hollow process are ahead: less than a fact's timestamp may be.
pub const CLOCK_AHEAD_MS: f64 = 1_000.0;
/// Default UDP port of all routers.
pub const DEFAULT_PORT: u16 = 24_800;
/// The deployed settings of the tier.
pub const TEMPLATE: &str = include_str!("../../../../deploy/tier.jsonnet");

/// The deployed settings without zone evidence, so that each member is judged on its own, without pulling of
/// facts, and with a burst of 12 instead of 8.
pub const TEMPLATE_WITHOUT_ZONE_EVIDENCE: &str = include_str!("../../scripts/tier-without-zones.jsonnet");

/// The sizes and seed of a proof.
pub struct Request {
    pub seed: u64,
    /// The number of hollow routers.
    pub hollow: usize,
    /// The number of real routers.
    pub real: usize,
    /// The number of processes that run the hollow routers.
    pub processes: usize,
    /// UDP port of all routers.
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

/// Runs one test to its end and computes its verdict.
pub fn run_test(plan: &Plan, environment: &Environment) -> Result<Verdict, String> {
    let mut runner = Runner::start(plan, environment)?;
    runner.run()?;
    let recorder = runner.recorder.clone();
    // Ends all processes, so that no further events arrive.
    drop(runner);
    Ok(judge(plan, &recorder.entries(), machine_memory_mb()?))
}

/// Runs the test and the controls, prints the figures and writes the report; true if the test met all targets
/// and the controls missed theirs.
pub fn prove(request: &Request, environment: &Environment, html: Option<&Path>) -> Result<bool, String> {
    let Request { seed, hollow, real, processes, .. } = request;
    println!(
        "{hollow} hollow routers in {processes} processes, {real} real routers, {ZONES} zones, seed {seed}"
    );
    let plan = request.plan(Variant::Sound, Durations::PROOF);
    println!("all faults: {:.0} s", plan.durations.total_ms() / 1e3);
    let full_test = run_test(&plan, environment)?;
    report::summary_lines(&full_test).iter().for_each(|line| println!("  {line}"));
    let plan = request.plan(Variant::ZonesMute, Durations::CONTROL);
    println!("control, zones can't reach each other, must fail: {:.0} s", plan.durations.total_ms() / 1e3);
    let control = run_test(&plan, environment)?;
    report::summary_lines(&control).iter().for_each(|line| println!("  {line}"));
    let plan = Plan {
        template: TEMPLATE_WITHOUT_ZONE_EVIDENCE.into(),
        ..request.plan(Variant::Sound, Durations::CONTROL)
    };
    println!("control, without zone evidence, must fail: {:.0} s", plan.durations.total_ms() / 1e3);
    let without_zone_evidence = run_test(&plan, environment)?;
    report::summary_lines(&without_zone_evidence).iter().for_each(|line| println!("  {line}"));
    let controls_fail = control.control_fails() && without_zone_evidence.misses_zone_loss();
    if let Some(html) = html {
        let heading = format!("{hollow} hollow and {real} real routers, seed {seed}");
        let sections = [
            Section { title: "all faults", verdict: &full_test },
            Section { title: "control: zones can't reach each other", verdict: &control },
            Section { title: "control: without zone evidence", verdict: &without_zone_evidence },
        ];
        report::write(html, &heading, &sections)?;
        println!("report: {}", html.display());
    }
    let missed: Vec<String> = full_test.missed_measures().iter().map(|measure| measure.to_string()).collect();
    println!("missed: {}", if missed.is_empty() { "none".into() } else { missed.join("; ") });
    println!("controls {}", if controls_fail { "fail, as they must" } else { "DO NOT FAIL" });
    Ok(missed.is_empty() && controls_fail)
}

/// Total memory of this machine in MB.
fn machine_memory_mb() -> Result<f64, String> {
    const FILE: &str = "/proc/meminfo";
    let text = std::fs::read_to_string(FILE).map_err(|e| format!("{FILE}: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.map(|kb| kb / 1024.0).ok_or_else(|| format!("{FILE} has no readable MemTotal line"))
}
