//! `magpiewell-fleet`: plays scenarios on a simulated fleet and prints what was measured.

use clap::{Parser, Subcommand};
use magpiewell_fleet::prove::{self, Aim};
use magpiewell_fleet::scenario::{self, Faults, Scenario};
use magpiewell_members::RosterError;
use rustix::time::{ClockId, clock_gettime};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "magpiewell-fleet", about = "A simulated fleet of routers in virtual time")]
struct Command {
    #[command(subcommand)]
    command: What,
    #[arg(long, default_value_t = 1, global = true)]
    seed: u64,
    /// Threads that compute the routers
    #[arg(long, default_value_t = 4, global = true)]
    threads: usize,
}

#[derive(Subcommand)]
enum What {
    /// Plays one scenario and prints all figures
    Play(Play),
    /// Plays all scenarios at several sizes against the aims, and the control, which must miss one
    Prove {
        /// Sizes of the fleet
        #[arg(long, value_delimiter = ',', default_value = "300,1200,4800")]
        routers: Vec<usize>,
    },
}

#[derive(clap::Args)]
struct Play {
    /// What happens
    #[arg(long, value_enum)]
    scenario: Scenario,
    /// Routers in the fleet
    #[arg(long, default_value_t = 300)]
    routers: usize,
    /// The share of datagrams that are lost
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// The share of routers whose clocks are wrong by up to an hour
    #[arg(long, default_value_t = 0.0)]
    wrong_clocks: f64,
    /// Judges members one by one only: the control
    #[arg(long)]
    without_zone_evidence: bool,
    /// Ends so many seconds after the event
    #[arg(long, default_value_t = f64::INFINITY)]
    until: f64,
    /// Doesn't ask others for primaries
    #[arg(long)]
    without_pull: bool,
    /// One request for primaries goes out so often, in ms
    #[arg(long)]
    pull_period: Option<f64>,
    /// Datagrams for what is new that may go out together
    #[arg(long)]
    urgent_burst: Option<f64>,
    /// Datagrams a second for what is new, beyond a burst
    #[arg(long)]
    urgent_per_second: Option<f64>,
}

/// Processor time of this process so far, in seconds.
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
        let played = prove::play(case, seed, threads, true)?;
        println!("{played}");
        proved &= played.are_all_met();
    }
    let smallest = sizes.iter().copied().min().unwrap_or_default();
    let control = prove::play(prove::cases(smallest)[0], seed, threads, false)?;
    println!("control: {control}");
    proved &= control.misses(Aim::LossKnown);
    println!("seed {seed}: {}", if proved { "proved" } else { "NOT proved" });
    Ok(proved)
}

fn main() -> ExitCode {
    let Command { command, seed, threads } = Command::parse();
    let done = match command {
        What::Play(options) => play(options, seed, threads),
        What::Prove { routers } => prove(&routers, seed, threads),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("magpiewell-fleet: {error}");
            ExitCode::from(2)
        }
    }
}
