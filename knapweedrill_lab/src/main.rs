//! The program `knapweedrill-lab`: stand-ins for the platform, demos, soak and load tests.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    match command::run(lexopt::Parser::from_env()) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("knapweedrill-lab: {report:#}");
            ExitCode::FAILURE
        }
    }
}
