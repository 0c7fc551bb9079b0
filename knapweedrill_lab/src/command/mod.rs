//! The subcommands.

mod faults;
mod load;
mod log;
mod minion;
mod slopes;
mod termination;

use eyre::{Result, bail};
use lexopt::Arg;

const USAGE: &str = "\
usage: knapweedrill-lab COMMAND

commands:
  faults [--case NAME] [--seed N] [--json]
      runs one failure case, or all of them, and checks what was observed
  log --listen ADDRESS [--retention-records N]
      serves an append-only log
  minion --listen ADDRESS --sidecar ADDRESS --service NAME [--slots N] [--speed-percent N]
      serves as a minion beside a sidecar
  load --scenario NAME --seed N [--policy P|all] [--seconds S] [--hint-sigma F] [--json]
      measures the system under load; prints a report of each run
  slopes [--json] [--quick]
      measures how the cost of a daemon grows with what surrounds it";

/// Runs the subcommand that the arguments name.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or the subcommand fails.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<()> {
    match parser.next()? {
        Some(Arg::Value(name)) if name == "faults" => faults::run(parser),
        Some(Arg::Value(name)) if name == "log" => log::run(parser),
        Some(Arg::Value(name)) if name == "minion" => minion::run(parser),
        Some(Arg::Value(name)) if name == "load" => load::run(parser),
        Some(Arg::Value(name)) if name == "slopes" => slopes::run(parser),
        Some(Arg::Short('h') | Arg::Long("help")) => {
            println!("{USAGE}");
            Ok(())
        }
        Some(other) => Err(other.unexpected().into()),
        None => bail!("a command is missing\n{USAGE}"),
    }
}
