//! Entry point of the command-line tool `knapweedrill`.

use std::process::ExitCode;

use knapweedrill_cli::command;

fn main() -> ExitCode {
    command::main(std::env::args_os().skip(1)).into()
}
