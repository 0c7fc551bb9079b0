//! The daemon `knapweedrilld`.

use std::process::ExitCode;

use knapweedrill_daemon::command;

fn main() -> ExitCode {
    command::main(std::env::args_os().skip(1))
}
