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
    /// Threads that compute the routers
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

fn main() -> ExitCode {
    let command = Command::parse();
    let plan = scenario::plan(command.routers, command.seed, command.threads);
    let faults = Faults { loss: command.loss, wrong_clocks: command.wrong_clocks };
    let outcome = scenario::play(plan, command.scenario, faults);
    for figure in &outcome.figures {
        println!("{:7.1} s {:?} {:.4}", figure.seconds, figure.kind, figure.value);
    }
    ExitCode::SUCCESS
}
