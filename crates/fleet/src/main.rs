//! `magpiewell-fleet`: plays scenarios on a simulated fleet and prints the measured figures.

use clap::{Parser, Subcommand};
use magpiewell_fleet::prove::{self, Aim};
use magpiewell_fleet::scenario::{self, Faults, Scenario};
use magpiewell_members::RosterError;
use rustix::time::{ClockId, clock_gettime};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "magpiewell-fleet", about = "A simulated fleet of routers in virtual time")]
struct Cli {
    #[command(subcommand)]
    command: Action,
    /// Seed of all random numbers
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    /// Number of threads that compute the routers
    #[arg(long, default_value_t = 4, global = true)]
    threads: usize,
}

#[derive(Subcommand)]
enum Action {
    /// Plays one scenario and prints all figures
    Play(Play),
    /// Plays the scenarios at several fleet sizes and checks the aims; the control has to miss one
    Prove {
        /// Fleet sizes, in routers
        #[arg(long, value_delimiter = ',', default_value = "300,1200,4800")]
        routers: Vec<usize>,
    },
}

#[derive(clap::Args)]
struct Play {
    /// Scenario to play
    #[arg(long, value_enum)]
    scenario: Scenario,
    /// Number of routers in the fleet
    #[arg(long, default_value_t = 300)]
    routers: usize,
    /// Share of datagrams that are lost, from 0 to 1
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Share of routers whose clocks are wrong by up to an hour, from 0 to 1
    #[arg(long, default_value_t = 0.0)]
    wrong_clocks: f64,
    /// Control: detect failures of single members only, not of whole zones
    #[arg(long)]
    without_zone_evidence: bool,
    /// End the run this many seconds after the event
    #[arg(long, default_value_t = f64::INFINITY)]
    until: f64,
    /// Don't request missing primaries from other routers
    #[arg(long)]
    without_pull: bool,
    /// Interval between requests for missing primaries, in ms
    #[arg(long)]
    pull_period: Option<f64>,
    /// Datagrams with new facts or updates that a router may send in one burst
    #[arg(long)]
    urgent_burst: Option<f64>,
    /// Sustained rate of datagrams with new facts or updates, per second and router
    #[arg(long)]
    urgent_per_second: Option<f64>,
}

/// Processor time used by this process so far, in seconds.
fn processor_seconds() -> f64 {
    const NANOSECONDS: f64 = 1e9;
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / NANOSECONDS
}

fn play(play: Play, seed: u64, threads: usize) -> Result<bool, RosterError> {
    let mut plan = scenario::plan(play.routers, seed, threads, !play.without_zone_evidence);
    plan.limits.urgent_per_second = play.urgent_per_second.unwrap_or(plan.limits.urgent_per_second);
    plan.limits.pull_facts &= !play.without_pull;
    plan.limits.pull_period_ms = play.pull_period.unwrap_or(plan.limits.pull_period_ms);
    plan.limits.urgent_burst = play.urgent_burst.unwrap_or(plan.limits.urgent_burst);
    let faults = Faults { loss: play.loss, wrong_clocks: play.wrong_clocks };
    let outcome = scenario::play(plan, play.scenario, faults, play.until)?;
    for figure in &outcome.figures {
        println!("{:7.1} s {:?} {:.4}", figure.seconds, figure.kind, figure.value);
    }
    let router_seconds = play.routers as f64 * outcome.virtual_seconds;
    println!("processor time of a router {:.4}% of a core", 100.0 * processor_seconds() / router_seconds);
    Ok(true)
}

fn prove(sizes: &[usize], seed: u64, threads: usize) -> Result<bool, RosterError> {
    let mut proved = true;
    for case in sizes.iter().flat_map(|routers| prove::cases(*routers)) {
        let result = prove::play(case, seed, threads, true)?;
        println!("{result}");
        proved &= result.has_met_all();
    }
    let smallest = sizes.iter().copied().min().unwrap_or_default();
    let control = prove::play(prove::cases(smallest)[0], seed, threads, false)?;
    println!("control: {control}");
    proved &= control.has_missed(Aim::LossKnown);
    println!("seed {seed}: {}", if proved { "proved" } else { "NOT proved" });
    Ok(proved)
}

fn main() -> ExitCode {
    let Cli { command, seed, threads } = Cli::parse();
    let result = match command {
        Action::Play(options) => play(options, seed, threads),
        Action::Prove { routers } => prove(&routers, seed, threads),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("magpiewell-fleet: {error}");
            ExitCode::from(2)
        }
    }
}
