//! `magpiewell-fleet`: plays scenarios on a simulated fleet and prints what was measured.

use clap::Parser;
use magpiewell_fleet::scenario::{self, Faults, Scenario};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "magpiewell-fleet", about = "A simulated fleet of routers in virtual time")]
struct Command {
    /// What happens
    #[arg(long, value_enum)]
    scenario: Scenario,
    /// Routers in the fleet
    #[arg(long, default_value_t = 300)]
    routers: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
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
    /// Datagrams a second for what is new, beyond a burst
    #[arg(long)]
    urgent_per_second: Option<f64>,
    /// Threads that compute the routers
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

fn main() -> ExitCode {
    let command = Command::parse();
    let mut plan =
        scenario::plan(command.routers, command.seed, command.threads, !command.without_zone_evidence);
    plan.limits.urgent_per_second = command.urgent_per_second.unwrap_or(plan.limits.urgent_per_second);
    let faults = Faults { loss: command.loss, wrong_clocks: command.wrong_clocks };
    let outcome = match scenario::play(plan, command.scenario, faults, command.until) {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("magpiewell-fleet: {error}");
            return ExitCode::FAILURE;
        }
    };
    for figure in &outcome.figures {
        println!("{:7.1} s {:?} {:.4}", figure.seconds, figure.kind, figure.value);
    }
    ExitCode::SUCCESS
}
