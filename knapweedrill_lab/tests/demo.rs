//! Runs the demo of a whole site and checks its report.

use std::process::Command;

use knapweedrill_lab::demo::DemoReport;
use knapweedrill_lab::harness::find_binary;

#[test]
fn the_demo_completes_jobs_of_all_queues_and_keeps_the_guarantees() {
    let program = find_binary("knapweedrill-lab").expect("knapweedrill-lab is built for the tests");
    let output = Command::new(program)
        .args(["demo", "--seconds", "6", "--seed", "3", "--json"])
        .output()
        .expect("the program starts");

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    let report: DemoReport = serde_json::from_str(&text).expect("the report is JSON");
    assert!(report.is_passed(), "{report}");
    assert_eq!(report.queues.len(), 3);
    assert!(
        report.queues.iter().all(|line| line.completed_count > 0),
        "{report}"
    );
}
