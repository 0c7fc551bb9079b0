//! The subcommand `soak`.

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use knapweedrill_lab::soak::{self, SoakOptions};
use lexopt::{Arg, ValueExt};

/// Runs a soak for each seed in turn and prints a report of each.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or a site can't be run.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let mut options = SoakOptions::default();
    let mut seed_count = 1;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => seed_count = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                options.duration = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("entries") => options.entry_count = parser.value()?.parse()?,
            Arg::Long("minions") => options.minion_count = parser.value()?.parse()?,
            Arg::Long("callers") => options.caller_count = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut failed_count = 0;
    for seed in options.seed..options.seed + seed_count {
        let report = soak::run(&SoakOptions { seed, ..options })?;
        print!("{report}");
        failed_count += u64::from(!report.is_passed());
    }
    println!("{failed_count} of {seed_count} seeds failed");
    Ok(match failed_count {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
