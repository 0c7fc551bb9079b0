//! The subcommand `demo`.

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use knapweedrill_lab::demo::{self, DemoOptions};
use lexopt::{Arg, ValueExt};

/// Runs the demo and prints its report.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or the system can't be run.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let mut options = DemoOptions::default();
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seconds") => {
                options.duration = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("json") => is_json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let report = demo::run(&options)?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(match report.is_passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
