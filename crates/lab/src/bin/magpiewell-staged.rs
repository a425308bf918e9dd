//! `magpiewell-staged`: the router's own library, run as in the laboratory: with work that takes a stated time and a clock
//! that is wrong. Never deployed.

use clap::Parser;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "magpiewell-staged", about = "The router as the laboratory stages it")]
struct Command {
    #[command(flatten)]
    options: magpiewell_router::Options,
    /// Processor time that each send takes on top of its own, in ms
    #[arg(long, default_value_t = 0.0, value_parser = from_nought)]
    send_work_ms: f64,
    /// The router's clock runs so many ms before the machine's; behind it where negative
    #[arg(long, default_value_t = 0.0, allow_negative_numbers = true)]
    clock_off_ms: f64,
}

fn from_nought(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|ms| (0.0..=1e4).contains(ms)).ok_or("a time in ms from 0 to 10000".into())
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
