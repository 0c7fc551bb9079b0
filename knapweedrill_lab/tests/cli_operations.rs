//! The tool shows the system, its events, and stops processes.

mod cli_support;

use std::time::Duration;

use cli_support::{Tool, payload};
use serde_json::Value;

const STOP_TIMEOUT: Duration = Duration::from_secs(20);

fn submit(tool: &Tool, echo: &str) -> String {
    let task = payload(20, echo);
    let run = tool
        .run(&["submit", "--team", "tin-a", "--kind", "proof", &task])
        .expect(0);
    run.submit_option("job")
}

fn events(tool: &Tool, filter: &[&str]) -> Vec<Value> {
    let run = tool
        .run(&[&["--json", "timeline"], filter].concat())
        .expect(0);
    let lines = run.stdout.lines();
    lines
        .map(|line| serde_json::from_str(line).expect("an event a line"))
        .collect()
}

/// Returns the names of what happened, in order.
fn kinds(events: &[Value]) -> Vec<String> {
    let name = |kind: &Value| match kind {
        Value::String(name) => name.clone(),
        kind => kind.as_object().unwrap().keys().next().unwrap().clone(),
    };
    events.iter().map(|event| name(&event["kind"])).collect()
}

#[test]
fn show_has_all_tables_with_aligned_columns() {
    let tool = Tool::start();

    let shown = tool.run(&["show"]).expect(0).stdout;

    let tables: Vec<&str> = shown.split("\n\n").skip(1).collect();
    let heads = ["SERVICE", "MINION", "TEAM", "ENTRY"];
    let row_counts = [1, 2, 2, 2];
    assert_eq!(tables.len(), heads.len(), "{shown}");
    for ((table, head), row_count) in tables.iter().zip(heads).zip(row_counts) {
        let lines: Vec<&str> = table.lines().collect();
        assert!(lines[0].starts_with(head), "{shown}");
        assert_eq!(lines.len(), row_count + 1, "{shown}");
        let starts = column_starts(lines[0]);
        assert!(
            lines.iter().all(|line| column_starts(line) == starts),
            "{shown}"
        );
    }
}

fn column_starts(line: &str) -> Vec<usize> {
    let bytes = line.as_bytes();
    let is_start = |at: &usize| bytes[*at] != b' ' && (*at == 0 || bytes[*at - 1] == b' ');
    (0..bytes.len()).filter(is_start).collect()
}

#[test]
fn the_time_line_of_a_job_is_in_causal_order_over_processes() {
    let tool = Tool::start();
    let job = submit(&tool, "lid");
    submit(&tool, "base");

    let events = events(&tool, &["--job", &job]);

    let kinds = kinds(&events);
    let order = [
        "job-accepted",
        "task-handed-out",
        "task-started",
        "task-ended",
        "job-completed",
    ];
    let places: Vec<_> = order
        .iter()
        .map(|name| kinds.iter().position(|kind| kind == name))
        .collect();
    assert!(places.iter().all(Option::is_some), "{kinds:?}");
    assert!(places.is_sorted(), "{kinds:?}");
    assert_eq!(
        kinds.iter().filter(|kind| *kind == "job-accepted").count(),
        1
    );
    let processes: std::collections::BTreeSet<_> = events
        .iter()
        .map(|event| event["process"].to_string())
        .collect();
    assert!(processes.len() >= 2, "{processes:?}");
}

#[test]
fn the_time_line_has_filters_for_a_minion_and_the_configuration() {
    let tool = Tool::start();
    submit(&tool, "lid");

    let all = events(&tool, &[]);
    let minion = events(&tool, &["--minion", "sidecar-0"]);
    let configuration = events(&tool, &["--configuration"]);

    let count = |events: &[Value], process: &str| {
        events
            .iter()
            .filter(|event| event["process"] == process)
            .count()
    };
    for process in ["entry-0", "entry-1", "sidecar-0", "sidecar-1"] {
        assert!(count(&all, process) > 0, "nothing of {process}");
    }
    assert!(count(&minion, "sidecar-0") > 0);
    assert_eq!(count(&minion, "sidecar-1"), 0);
    let in_force = kinds(&configuration);
    let in_force = in_force
        .iter()
        .filter(|kind| *kind == "configuration-in-force");
    assert_eq!(in_force.count(), 4);
}

#[test]
fn a_drained_entry_ends_well_and_the_other_goes_on() {
    let mut tool = Tool::start();
    let address = tool.cluster.entry(1).api().address().to_string();

    tool.run(&["drain", &address]).expect(0);

    let status = tool
        .cluster
        .entry(1)
        .process()
        .wait_exit(STOP_TIMEOUT)
        .unwrap();
    assert!(status.success(), "{status:?}");
    submit(&tool, "lid");
}

#[test]
fn a_drained_sidecar_ends_well_and_its_minion_gets_nothing_more() {
    let mut tool = Tool::start();
    let address = tool.cluster.minion(1).sidecar_api().address().to_string();

    tool.run(&["--json", "drain", &address]).expect(0);

    let status = tool
        .cluster
        .minion(1)
        .sidecar()
        .wait_exit(STOP_TIMEOUT)
        .unwrap();
    assert!(status.success(), "{status:?}");
    let before = tool.cluster.minion(1).starts().unwrap().starts.len();
    (0..4).for_each(|number| drop(submit(&tool, &format!("part {number}"))));
    assert_eq!(
        tool.cluster.minion(1).starts().unwrap().starts.len(),
        before
    );
}

#[test]
fn a_process_that_does_not_answer_cannot_be_drained() {
    let tool = Tool::start();

    let run = tool.run(&["drain", "127.0.0.1:1"]).expect(1);

    assert!(run.stderr.contains("127.0.0.1:1"), "{run:?}");
}
