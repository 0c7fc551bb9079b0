//! The command line of the daemon `knapweedrilld`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::dispatch::{self, DispatchRole};
use crate::process;
use crate::settings::Settings;

const USAGE: &str = "\
Runs one knapweedrill process, as an entry or as the sidecar of a minion.

Usage: knapweedrilld --settings FILE [--check]
       knapweedrilld entry|sidecar

With a role instead of --settings, the process runs on the deployment platform and reads the
settings file named by the environment variable KNAPWEEDRILL_NODE_FILE.

Options:
  --settings FILE  read the settings of the process from the INI file FILE
  --check          validate the settings and exit
  -h, --help       print this help
  -V, --version    print the version

SIGTERM starts a graceful shutdown; a second SIGTERM ends the process at once.
Exit status: 0 after a graceful shutdown, 1 after a failure, 2 for invalid arguments or settings.
";

/// Exit status for invalid arguments or settings.
const EXIT_INVALID_INPUT: u8 = 2;

/// A parsed command line.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Dispatch(DispatchRole),
    Help,
    Version,
}

/// Parses the arguments, without the program name, and runs the daemon accordingly.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse_command(arguments) {
        Ok(Command::Help) => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("knapweedrilld {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Check(file)) => with_settings(&file, |_| {
            println!("{}: the settings are valid", file.display());
            ExitCode::SUCCESS
        }),
        Ok(Command::Dispatch(role)) => dispatch::run(role),
        Ok(Command::Run(file)) => with_settings(&file, run_process),
        Err(error) => {
            eprintln!("knapweedrilld: {error}\n\n{USAGE}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

fn parse_command(arguments: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut file = None;
    let mut is_check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Long("check") => is_check = true,
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(role) if file.is_none() && !is_check => return parse_role(role, parser),
            _ => return Err(argument.unexpected()),
        }
    }
    let file = file.ok_or("missing option --settings FILE")?;
    Ok(if is_check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn parse_role(role: OsString, mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let role = match role.to_str() {
        Some("entry") => DispatchRole::Entry,
        Some("sidecar") => DispatchRole::Sidecar,
        _ => return Err(format!("unknown role {role:?}; allowed: entry, sidecar").into()),
    };
    match parser.next()? {
        None => Ok(Command::Dispatch(role)),
        Some(argument) => Err(argument.unexpected()),
    }
}

/// Loads the settings from `file` and passes them to `run`; prints any error and returns
/// [`EXIT_INVALID_INPUT`] instead if they can't be read or are invalid.
fn with_settings(file: &PathBuf, run: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!(
                "knapweedrilld: can't read the settings file {}: {error}",
                file.display()
            );
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    match Settings::parse(&text, file.display().to_string()) {
        Ok(settings) => run(settings),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

fn run_process(settings: Settings) -> ExitCode {
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("knapweedrilld: {error:?}");
            ExitCode::FAILURE
        }
    }
}
