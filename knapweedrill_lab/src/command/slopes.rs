//! The subcommand `slopes`.

use eyre::Result;
use knapweedrill_lab::slopes::{Scale, measure};
use lexopt::Arg;

/// Measures how the cost of a daemon grows, and prints the slopes.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or nothing can be measured.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<()> {
    let mut scale = Scale::full();
    let mut is_json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("json") => is_json = true,
            Arg::Long("quick") => scale = Scale::quick(),
            other => return Err(other.unexpected().into()),
        }
    }
    let report = measure(&scale)?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
