//! The commands of the command-line tool `knapweedrill`.

mod arguments;
mod exit_status;
mod explain;
mod help;
mod output;
mod run;
mod show;
mod table;
mod timeline;

pub use arguments::{Action, Arguments, JobRef, UsageError};
pub use exit_status::ExitStatus;
pub use explain::explain;
pub use timeline::{TimelineFilter, merge_events};

use std::ffi::OsString;

/// Parses the arguments, which exclude the program name, runs the command and prints errors to
/// standard error.
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
        ExitStatus::from_error(&error)
    })
}
