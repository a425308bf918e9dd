//! The program `magpiewell-router`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match magpiewell_router::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("magpiewell-router: {why}");
            ExitCode::FAILURE
        }
    }
}
