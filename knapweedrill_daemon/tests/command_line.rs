//! Invalid arguments and settings make the daemon exit with status 2 before it starts anything.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use test_case::test_case;

const INVALID_SETTINGS: &str = "\
[process]
role = entry
name = entry-1
worker = worker-1
failure_domain = fd-1
[listen]
http = somewhere
link = 127.0.0.1
[timing]
ping_ms = often
[colours]
wall = red
";

fn run_daemon(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweedrilld"))
        .args(arguments)
        .output()
        .expect("the daemon binary can be executed")
}

fn write_invalid_settings(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, INVALID_SETTINGS).expect("the settings file is written");
    path
}

#[test_case(&["--check"], "check.ini"; "when checked")]
#[test_case(&[], "run.ini"; "when run")]
fn all_invalid_settings_are_reported_at_once(option: &[&str], name: &str) {
    let path = write_invalid_settings(name);
    let path = path.to_str().expect("the path is UTF-8");

    let output = run_daemon(&[&["--settings", path], option].concat());

    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    for expected in [
        name,
        "somewhere",
        "link",
        "often",
        "colours",
        "seeds",
        "log",
    ] {
        assert!(text.contains(expected), "{expected:?} is missing in {text}");
    }
}

#[test_case(&[], "--settings"; "no settings")]
#[test_case(&["--settings", "/no/such/file.ini"], "/no/such/file.ini"; "no file")]
#[test_case(&["--colour", "red"], "--colour"; "unknown option")]
fn invalid_arguments_are_reported(arguments: &[&str], expected: &str) {
    let output = run_daemon(arguments);

    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(expected), "{expected:?} is missing in {text}");
}
