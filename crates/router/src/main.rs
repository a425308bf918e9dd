//! The `magpiewell-router` program.

use clap::Parser;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "magpiewell-router", about = "A read and write splitter for database clusters", version)]
struct Command {
    #[command(flatten)]
    options: magpiewell_router::Options,
}

fn main() -> ExitCode {
    match magpiewell_router::run(Command::parse().options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("magpiewell-router: {why}");
            ExitCode::FAILURE
        }
    }
}
