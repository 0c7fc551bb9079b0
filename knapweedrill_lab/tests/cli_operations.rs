//! Tests of the `show`, `timeline` and `drain` commands of the CLI.

mod cli_support;

use std::time::Duration;

use cli_support::{CliFixture, payload};
use serde_json::Value;

const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Submits a job of one task and returns its id.
fn submit(cli: &CliFixture, echo: &str) -> String {
    let task = payload(20, echo);
    let output = cli
        .run(&["submit", "--team", "tin-a", "--kind", "proof", &task])
        .expect_status(0);
    output.submit_option("job")
}

/// Returns the events that `timeline` prints with the given filter.
fn events(cli: &CliFixture, filter: &[&str]) -> Vec<Value> {
    let output = cli
        .run(&[&["--json", "timeline"], filter].concat())
        .expect_status(0);
    let lines = output.stdout.lines();
    lines
        .map(|line| serde_json::from_str(line).expect("each line is an event"))
        .collect()
}

/// Returns the names of the event kinds, in the order of the events.
fn kind_names(events: &[Value]) -> Vec<String> {
    let name = |kind: &Value| match kind {
        Value::String(name) => name.clone(),
        kind => kind.as_object().unwrap().keys().next().unwrap().clone(),
    };
    events.iter().map(|event| name(&event["kind"])).collect()
}

#[test]
fn show_prints_all_tables_with_aligned_columns() {
    let cli = CliFixture::start();

    let shown = cli.run(&["show"]).expect_status(0).stdout;

    let tables: Vec<&str> = shown.split("\n\n").skip(1).collect();
    let headers = ["SERVICE", "MINION", "TEAM", "ENTRY"];
    let row_counts = [1, 2, 2, 2];
    assert_eq!(tables.len(), headers.len(), "{shown}");
    for ((table, header), row_count) in tables.iter().zip(headers).zip(row_counts) {
        let lines: Vec<&str> = table.lines().collect();
        assert!(lines[0].starts_with(header), "{shown}");
        assert_eq!(lines.len(), row_count + 1, "{shown}");
        let starts = column_starts(lines[0]);
        assert!(
            lines.iter().all(|line| column_starts(line) == starts),
            "{shown}"
        );
    }
}

/// Returns the offsets of the bytes that follow a space or begin the line.
fn column_starts(line: &str) -> Vec<usize> {
    let bytes = line.as_bytes();
    let is_start = |at: &usize| bytes[*at] != b' ' && (*at == 0 || bytes[*at - 1] == b' ');
    (0..bytes.len()).filter(is_start).collect()
}

#[test]
fn the_timeline_of_a_job_is_in_causal_order_across_processes() {
    let cli = CliFixture::start();
    let job = submit(&cli, "lid");
    submit(&cli, "base");

    let events = events(&cli, &["--job", &job]);

    let kinds = kind_names(&events);
    let order = [
        "job-accepted",
        "task-handed-out",
        "task-started",
        "task-ended",
        "job-completed",
    ];
    let positions: Vec<_> = order
        .iter()
        .map(|name| kinds.iter().position(|kind| kind == name))
        .collect();
    assert!(positions.iter().all(Option::is_some), "{kinds:?}");
    assert!(positions.is_sorted(), "{kinds:?}");
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
fn timeline_filters_by_minion_and_by_configuration_events() {
    let cli = CliFixture::start();
    submit(&cli, "lid");

    let all = events(&cli, &[]);
    let minion = events(&cli, &["--minion", "sidecar-0"]);
    let configuration = events(&cli, &["--configuration"]);

    let count = |events: &[Value], process: &str| {
        events
            .iter()
            .filter(|event| event["process"] == process)
            .count()
    };
    for process in ["entry-0", "entry-1", "sidecar-0", "sidecar-1"] {
        assert!(count(&all, process) > 0, "no event of {process}");
    }
    assert!(count(&minion, "sidecar-0") > 0);
    assert_eq!(count(&minion, "sidecar-1"), 0);
    let in_force = kind_names(&configuration);
    let in_force = in_force
        .iter()
        .filter(|kind| *kind == "configuration-in-force");
    assert_eq!(in_force.count(), 4);
}

#[test]
fn a_drained_entry_exits_with_success_and_the_other_accepts_jobs() {
    let mut cli = CliFixture::start();
    let address = cli.cluster.entry(1).api().address().to_string();

    cli.run(&["drain", &address]).expect_status(0);

    let status = cli
        .cluster
        .entry(1)
        .process()
        .wait_exit(STOP_TIMEOUT)
        .unwrap();
    assert!(status.success(), "{status:?}");
    submit(&cli, "lid");
}

#[test]
fn a_drained_sidecar_exits_with_success_and_its_minion_gets_no_more_tasks() {
    let mut cli = CliFixture::start();
    let address = cli.cluster.minion(1).sidecar_api().address().to_string();

    cli.run(&["--json", "drain", &address]).expect_status(0);

    let status = cli
        .cluster
        .minion(1)
        .sidecar()
        .wait_exit(STOP_TIMEOUT)
        .unwrap();
    assert!(status.success(), "{status:?}");
    let before = cli.cluster.minion(1).starts().unwrap().starts.len();
    (0..4).for_each(|number| drop(submit(&cli, &format!("part {number}"))));
    assert_eq!(cli.cluster.minion(1).starts().unwrap().starts.len(), before);
}

#[test]
fn drain_of_an_unreachable_process_fails() {
    let cli = CliFixture::start();

    let output = cli.run(&["drain", "127.0.0.1:1"]).expect_status(1);

    assert!(output.stderr.contains("127.0.0.1:1"), "{output:?}");
}
