//! `magpiewell-staged`: the router with options for tests in the laboratory: sends that take a given
//! processor time, and a clock that is off. Not for deployment.

use clap::Parser;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "magpiewell-staged",
    about = "The router with options for tests in the laboratory; not for deployment"
)]
struct Command {
    #[command(flatten)]
    options: magpiewell_router::Options,
    /// Additional processor time that each send takes, in ms
    #[arg(long, default_value_t = 0.0, value_parser = parse_send_work_ms)]
    send_work_ms: f64,
    /// How far the router's clock is ahead of the machine's, in ms; negative if it is behind
    #[arg(long, default_value_t = 0.0, allow_negative_numbers = true)]
    clock_off_ms: f64,
}

fn parse_send_work_ms(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|ms| (0.0..=1e4).contains(ms))
        .ok_or("must be a time in ms from 0 to 10000".into())
}

fn main() -> ExitCode {
    let Command { options, send_work_ms, clock_off_ms } = Command::parse();
    match magpiewell_router::run_with_overrides(
        options,
        magpiewell_router::LabOverrides { send_work_ms, clock_off_ms },
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("magpiewell-staged: {why}");
            ExitCode::FAILURE
        }
    }
}
