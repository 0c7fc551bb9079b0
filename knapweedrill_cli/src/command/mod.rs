//! The commands of the tool `knapweedrill`.

mod arguments;
mod exit_status;
mod explain;
mod help;
mod report;
mod run;
mod show;
mod table;
mod timeline;

pub use arguments::{Action, Arguments, JobName, UsageError};
pub use exit_status::ExitStatus;
pub use explain::explain;
pub use timeline::{TimelineFilter, merge};

use std::ffi::OsString;

/// Runs the tool with its arguments, without the name of the program.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitStatus {
    let arguments = match Arguments::parse(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("knapweedrill: {error}; see knapweedrill --help");
            return ExitStatus::Usage;
        }
    };
    run::run(arguments).unwrap_or_else(|error| {
        eprintln!("knapweedrill: {error:#}");
        ExitStatus::of_error(&error)
    })
}
