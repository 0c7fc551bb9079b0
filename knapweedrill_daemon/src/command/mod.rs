//! The command line of the daemon `knapweedrilld`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::dispatch::{self, DispatchRole};
use crate::process;
use crate::settings::Settings;

const USAGE: &str = "\
Runs one process of knapweedrill, as an entry or as the sidecar of a minion.

Usage: knapweedrilld --settings FILE [--check]
       knapweedrilld entry|sidecar

With a role instead of a settings file it runs on the platform of its users, with the settings
file that the environment variable KNAPWEEDRILL_NODE_FILE names.

Options:
  --settings FILE  the settings of the process, an INI file
  --check          check the settings and start nothing
  -h, --help       show this text
  -V, --version    show the version

SIGTERM begins a planned stop; a second one ends the process at once.
Exit status: 0 after a planned stop, 1 after a failure, 2 for bad settings.
";

/// The exit status for arguments or settings that are not valid.
const EXIT_BAD_SETTINGS: u8 = 2;

/// What the command line asks for.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Dispatch(DispatchRole),
    Help,
    Version,
}

/// Runs the daemon as the arguments ask, without the name of the program among them.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match read_command(arguments) {
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
        Ok(Command::Run(file)) => with_settings(&file, run),
        Err(error) => {
            eprintln!("knapweedrilld: {error}\n\n{USAGE}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn read_command(arguments: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
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
            Value(role) if file.is_none() && !is_check => return read_role(role, parser),
            _ => return Err(argument.unexpected()),
        }
    }
    let file = file.ok_or("--settings FILE is missing")?;
    Ok(if is_check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn read_role(role: OsString, mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let role = match role.to_str() {
        Some("entry") => DispatchRole::Entry,
        Some("sidecar") => DispatchRole::Sidecar,
        _ => return Err(format!("{role:?} is not a role; there are entry and sidecar").into()),
    };
    match parser.next()? {
        None => Ok(Command::Dispatch(role)),
        Some(argument) => Err(argument.unexpected()),
    }
}

fn with_settings(file: &PathBuf, then: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("knapweedrilld: can't read {}: {error}", file.display());
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match Settings::parse(&text, file.display().to_string()) {
        Ok(settings) => then(settings),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("knapweedrilld: {error:?}");
            ExitCode::FAILURE
        }
    }
}
