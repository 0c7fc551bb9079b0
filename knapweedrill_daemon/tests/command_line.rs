//! Bad arguments and settings end the daemon with status 2 before it starts anything.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use test_case::test_case;

const BAD_SETTINGS: &str = "\
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

fn daemon(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweedrilld"))
        .args(arguments)
        .output()
        .expect("the daemon starts")
}

fn write_bad_settings(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, BAD_SETTINGS).expect("the file is written");
    path
}

#[test_case(&["--check"], "check.ini"; "when checked")]
#[test_case(&[], "run.ini"; "when run")]
fn bad_settings_are_told_all_at_once(option: &[&str], name: &str) {
    let path = write_bad_settings(name);
    let path = path.to_str().expect("the path is text");

    let output = daemon(&[&["--settings", path], option].concat());

    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    for named in [
        name,
        "somewhere",
        "link",
        "often",
        "colours",
        "seeds",
        "log",
    ] {
        assert!(text.contains(named), "no {named} in {text}");
    }
}

#[test_case(&[], "--settings"; "no settings")]
#[test_case(&["--settings", "/no/such/file.ini"], "/no/such/file.ini"; "no file")]
#[test_case(&["--colour", "red"], "--colour"; "unknown option")]
fn bad_arguments_are_told(arguments: &[&str], named: &str) {
    let output = daemon(arguments);

    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(named), "no {named} in {text}");
}
