//! The subcommand `slots-demo`.

use std::process::ExitCode;

use eyre::Result;
use knapweedrill_lab::slots_demo::{self, DemoOptions};
use lexopt::{Arg, ValueExt};

/// Runs the demo of tokens and slots and prints its report.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or the system can't be run.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let mut options = DemoOptions::new();
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seconds") => options = options.seconds(parser.value()?.parse()?),
            Arg::Long("seed") => options = options.seed(parser.value()?.parse()?),
            Arg::Long("json") => is_json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let report = slots_demo::run(&options)?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(if report.is_passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
