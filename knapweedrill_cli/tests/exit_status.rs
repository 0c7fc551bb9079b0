//! Exit statuses of commands that need no running system.

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;

use knapweedrill_cli::command::{self, ExitStatus};

const VALID: &str =
    "[service a]\n[kind k]\nservice = a\ndeadline_ms = 9\n[team t]\nshare_percent = 1\n";

fn run(arguments: &[&str]) -> ExitStatus {
    command::main(arguments.iter().map(OsString::from))
}

fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn check_distinguishes_valid_and_invalid_files() {
    assert_eq!(
        run(&["check", &write_file("valid.ini", VALID)]),
        ExitStatus::Success
    );
    let invalid = write_file("invalid.ini", &VALID.replace("= 9", "= 0"));
    assert_eq!(run(&["check", &invalid]), ExitStatus::InvalidConfiguration);
}

#[test]
fn check_of_a_missing_file_is_an_error() {
    assert_eq!(run(&["check", "no-such-file.ini"]), ExitStatus::Error);
}

#[test]
fn invalid_arguments_are_a_usage_error() {
    assert_eq!(run(&["show", "x"]), ExitStatus::Usage);
    assert_eq!(run(&["--help"]), ExitStatus::Success);
}
