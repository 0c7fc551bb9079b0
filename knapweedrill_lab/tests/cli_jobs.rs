//! Tests of the `submit`, `status` and `cancel` commands of the CLI.

mod cli_support;

use cli_support::{CliFixture, payload, run_cli};
use test_case::test_case;

const TEAM_AND_KIND: [&str; 4] = ["--team", "tin-a", "--kind", "proof"];

/// Returns how many tasks all minions have started.
fn started_task_count(cli: &CliFixture) -> usize {
    let minions = cli.cluster.minions().iter();
    minions
        .map(|minion| minion.starts().expect("the minion responds").starts.len())
        .sum()
}

#[test]
fn submit_prints_results_in_order_and_a_resubmission_starts_no_task() {
    let cli = CliFixture::start();
    let (lid, base, rim) = (payload(50, "lid"), payload(20, "base"), payload(10, "rim"));
    let submit = [
        &["submit"],
        &TEAM_AND_KIND[..],
        &["--key", "order-1", &lid, &base, &rim],
    ]
    .concat();

    let first = cli.run(&submit).expect_status(0);
    let echoes: Vec<_> = first
        .stdout
        .lines()
        .map(|line| line.split('@').next())
        .collect();
    assert_eq!(echoes, [Some("lid"), Some("base"), Some("rim")]);
    let owner = first.submit_option("--owner");
    let second = cli
        .run(&[&submit[..], &["--owner", &owner]].concat())
        .expect_status(0);

    assert_eq!(second.stdout, first.stdout);
    assert_eq!(started_task_count(&cli), 3);
}

#[test]
fn submit_reads_a_job_from_a_file_and_prints_json() {
    let cli = CliFixture::start();
    let job = serde_json::json!({
        "team": "tin-a", "kind": "proof", "tasks": [{"payload": payload(10, "lid")}],
    });
    let file = cli.write_file("job.json", &job.to_string());

    let output = cli
        .run(&["--json", "submit", "--file", &file])
        .expect_status(0);

    assert_eq!(output.json()["outcome"], "complete");
}

#[test]
fn status_shows_a_running_job_and_cancel_ends_it() {
    let cli = CliFixture::start();
    let long = payload(5_000, "long");
    let submit = [
        &["submit"],
        &TEAM_AND_KIND[..],
        &["--key", "k", "--wait-ms", "200", &long],
    ]
    .concat();
    let submitted = cli.run(&submit).expect_status(5);
    let owner = submitted.submit_option("--owner");
    let job = ["--team", "tin-a", "--key", "k", "--owner", &owner];

    let status = cli
        .run(&[&["--json", "status"], &job[..]].concat())
        .expect_status(5);
    assert_eq!(status.json()["task_count"], 1);
    let cancelled = cli
        .run(&[&["--json", "cancel"], &job[..]].concat())
        .expect_status(3);
    assert_eq!(cancelled.json()["reason"], "cancelled");
    let status = [&["--json", "status", "--wait-ms", "2000"], &job[..]].concat();
    assert_eq!(
        cli.run(&status).expect_status(3).json()["reason"],
        "cancelled"
    );
}

#[test]
fn status_with_wait_ms_waits_for_the_outcome() {
    let cli = CliFixture::start();
    let task = payload(800, "lid");
    let submit = [
        &["submit"],
        &TEAM_AND_KIND[..],
        &["--key", "k", "--wait-ms", "50", &task],
    ]
    .concat();
    let owner = cli.run(&submit).expect_status(5).submit_option("--owner");

    let status = cli
        .run(&[
            "status",
            "--team",
            "tin-a",
            "--key",
            "k",
            "--owner",
            &owner,
            "--wait-ms",
            "10000",
        ])
        .expect_status(0);

    assert!(status.stdout.starts_with("lid@"), "{status:?}");
}

#[test]
fn status_of_an_unknown_key_fails() {
    let cli = CliFixture::start();
    let owner = cli.cluster.entries()[0].api().owner().unwrap().to_string();

    let status = cli.run(&["status", "--team", "tin-a", "--key", "k", "--owner", &owner]);

    assert!(
        status
            .expect_status(6)
            .stderr
            .contains("does not know the key")
    );
}

#[test]
fn the_output_of_a_failed_job_names_the_failed_task() {
    let cli = CliFixture::start();
    let failing = r#"{"run_us":1000,"echo":"lid","fail":true}"#;
    let submit = [&["--json", "submit"], &TEAM_AND_KIND[..], &[failing]].concat();

    let response = cli.run(&submit).expect_status(3).json();

    assert_eq!(response["reason"], "task-failed");
    assert_eq!(response["task_index"], 0);
}

#[test_case(&["--team", "nobody", "--kind", "proof"], "nobody"; "unknown team")]
#[test_case(&["--team", "tin-a", "--kind", "casting"], "casting"; "unknown kind")]
fn a_job_of_an_unconfigured_team_or_kind_is_not_run(team_and_kind: &[&str], unknown: &str) {
    let cli = CliFixture::start();
    let task = payload(10, "lid");

    let output = cli
        .run(&[&["submit"], team_and_kind, &[&task]].concat())
        .expect_status(4);

    assert!(output.stderr.contains(unknown), "{output:?}");
    assert_eq!(started_task_count(&cli), 0);
}

#[test]
fn submit_of_a_file_with_an_unknown_field_names_the_field() {
    let cli = CliFixture::start();
    let file = cli.write_file(
        "job.json",
        r#"{"team": "tin-a", "kind": "proof", "task": []}"#,
    );

    let output = cli.run(&["submit", "--file", &file]).expect_status(1);

    assert!(output.stderr.contains("`task`"), "{output:?}");
}

#[test]
fn an_unreachable_entry_is_an_error_that_names_its_address() {
    let output = run_cli(&["--entry", "127.0.0.1:1", "show"]).expect_status(1);

    assert!(output.stderr.contains("127.0.0.1:1"), "{output:?}");
}
