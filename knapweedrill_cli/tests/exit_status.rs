//! The exit status tells what became of a command.

use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;

use knapweedrill_cli::command::{self, ExitStatus};

const VALID: &str =
    "[service a]\n[kind k]\nservice = a\ndeadline_ms = 9\n[team t]\nshare_percent = 1\n";

fn run(arguments: &[&str]) -> ExitStatus {
    command::main(arguments.iter().map(OsString::from))
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn a_checked_file_is_good_or_invalid() {
    assert_eq!(
        run(&["check", &file("good.ini", VALID)]),
        ExitStatus::Success
    );
    let bad = file("bad.ini", &VALID.replace("= 9", "= 0"));
    assert_eq!(run(&["check", &bad]), ExitStatus::InvalidFile);
}

#[test]
fn a_missing_file_is_an_error() {
    assert_eq!(run(&["check", "no-such-file.ini"]), ExitStatus::Error);
}

#[test]
fn wrong_arguments_are_told_apart() {
    assert_eq!(run(&["show", "x"]), ExitStatus::Usage);
    assert_eq!(run(&["--help"]), ExitStatus::Success);
}
