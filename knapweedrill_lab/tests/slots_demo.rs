//! The demo runs a complete system and reports whether its guarantees hold.

use std::process::{Command, Output};

use knapweedrill_lab::harness::find_binary;
use knapweedrill_lab::slots_demo::DemoReport;

fn run_lab(arguments: &[&str]) -> Output {
    let program = find_binary("knapweedrill-lab").expect("cargo builds the program for the tests");
    Command::new(program)
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn every_rule_is_checked_and_holds_and_all_processes_stop_as_planned() {
    let output = run_lab(&["slots-demo", "--seconds", "8", "--seed", "3", "--json"]);

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    let report: DemoReport = serde_json::from_str(&text).expect("the report is JSON");
    assert!(report.is_passed(), "{report}");
    assert!(
        report
            .promises
            .iter()
            .all(|summary| summary.checked_count > 0)
    );
    assert_eq!(report.shares.len(), 5);
    assert_eq!(report.responses.len(), 6);
    assert!(report.messages.task_count > 0);
}

#[test]
fn an_unknown_option_is_an_error() {
    let output = run_lab(&["slots-demo", "--minutes", "1"]);

    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("--minutes"), "{text}");
}
