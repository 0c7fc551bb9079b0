//! The subcommand `faults`.

use eyre::{Result, ensure};
use knapweedrill_lab::faults::FaultCase;
use lexopt::{Arg, ValueExt};

const DEFAULT_SEED: u64 = 1;

/// Runs one failure case, or all of them, and prints a report of each.
///
/// # Errors
///
/// Returns an error if the arguments are wrong, a case can't be run or a case fails.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<()> {
    let mut cases = FaultCase::ALL.to_vec();
    let mut seed = DEFAULT_SEED;
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("case") => cases = vec![parser.value()?.string()?.parse()?],
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("json") => is_json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut failed = Vec::new();
    for case in cases {
        let report = case.run(seed)?;
        if is_json {
            println!("{}", report.to_json());
        } else {
            println!("{report}");
        }
        if !report.is_passed() {
            failed.push(case.name());
        }
    }
    ensure!(failed.is_empty(), "cases failed: {}", failed.join(", "));
    Ok(())
}
