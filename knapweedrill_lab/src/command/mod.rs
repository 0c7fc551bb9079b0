//! The subcommands of `knapweedrill-lab`.

mod demo;
mod faults;
mod load;
mod log;
mod minion;
mod slots_demo;
mod soak;
mod termination_signals;

use std::process::ExitCode;

use eyre::{Result, bail};
use lexopt::Arg;

const USAGE: &str = "\
usage: knapweedrill-lab COMMAND

commands:
  faults [--case NAME] [--seed N] [--json]
      runs one failure case, or all of them, and checks the observations
  demo [--seconds N] [--seed N] [--json]
      runs a site of the platform on this machine, with faults, and checks its guarantees
  soak [--seed N] [--seeds N] [--seconds N] [--entries N] [--minions N] [--callers N]
      runs a site of the platform for each seed, under faults that the seed determines, and
      checks its guarantees throughout; logs of failed seeds are in target/soak
  slots-demo [--seconds N] [--seed N] [--json]
      runs a whole system with tokens and slots on this machine and checks its guarantees
  daemon --settings FILE [--check]
      runs a process of knapweedrill, as knapweedrilld does
  cli ARGUMENTS
      runs the command-line tool, as knapweedrill does
  log --listen ADDRESS [--retention-records N]
      serves an append-only log
  minion --listen ADDRESS --sidecar ADDRESS --service NAME [--slots N] [--speed-percent N]
      serves as a minion of a sidecar
  load --scenario NAME --seed N [--policy P|all] [--seconds S] [--hint-sigma F] [--json]
      measures the system under load and prints a report of each run";

/// Runs the subcommand that the arguments name.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or the subcommand fails.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<ExitCode> {
    let Some(argument) = parser.next()? else {
        bail!("a command is missing\n{USAGE}");
    };
    let name = match argument {
        Arg::Value(name) => name,
        Arg::Short('h') | Arg::Long("help") => {
            println!("{USAGE}");
            return Ok(ExitCode::SUCCESS);
        }
        other => return Err(other.unexpected().into()),
    };
    match name.to_str() {
        Some("demo") => demo::run(parser),
        Some("soak") => soak::run(parser),
        Some("slots-demo") => slots_demo::run(parser),
        Some("daemon") => Ok(knapweedrill_daemon::command::main(parser.raw_args()?)),
        Some("cli") => Ok(knapweedrill_cli::command::main(parser.raw_args()?).into()),
        Some("log") => log::run(parser).map(|()| ExitCode::SUCCESS),
        Some("minion") => minion::run(parser).map(|()| ExitCode::SUCCESS),
        Some("faults") => faults::run(parser).map(|()| ExitCode::SUCCESS),
        Some("load") => load::run(parser).map(|()| ExitCode::SUCCESS),
        _ => bail!("unknown command {name:?}\n{USAGE}"),
    }
}
