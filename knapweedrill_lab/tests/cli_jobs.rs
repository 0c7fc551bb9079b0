//! The tool submits jobs, asks for them and cancels them.

mod cli_support;

use cli_support::{Tool, payload, run};
use test_case::test_case;

const WORK: [&str; 4] = ["--team", "tin-a", "--kind", "proof"];

fn started_count(tool: &Tool) -> usize {
    let minions = tool.cluster.minions().iter();
    minions
        .map(|minion| minion.starts().expect("the minion answers").starts.len())
        .sum()
}

#[test]
fn a_job_of_several_tasks_is_answered_in_order_and_a_resubmission_starts_nothing() {
    let tool = Tool::start();
    let (lid, base, rim) = (payload(50, "lid"), payload(20, "base"), payload(10, "rim"));
    let submit = [
        &["submit"],
        &WORK[..],
        &["--key", "order-1", &lid, &base, &rim],
    ]
    .concat();

    let first = tool.run(&submit).expect(0);
    let echoes: Vec<_> = first
        .stdout
        .lines()
        .map(|line| line.split('@').next())
        .collect();
    assert_eq!(echoes, [Some("lid"), Some("base"), Some("rim")]);
    let owner = first.submit_option("--owner");
    let again = tool
        .run(&[&submit[..], &["--owner", &owner]].concat())
        .expect(0);

    assert_eq!(again.stdout, first.stdout);
    assert_eq!(started_count(&tool), 3);
}

#[test]
fn a_job_of_a_file_is_submitted_and_answered_in_json() {
    let tool = Tool::start();
    let job = serde_json::json!({
        "team": "tin-a", "kind": "proof", "tasks": [{"payload": payload(10, "lid")}],
    });
    let file = tool.file("job.json", &job.to_string());

    let run = tool.run(&["--json", "submit", "--file", &file]).expect(0);

    assert_eq!(run.json()["outcome"], "complete");
}

#[test]
fn a_job_that_runs_is_told_by_status_and_ends_when_it_is_cancelled() {
    let tool = Tool::start();
    let long = payload(5_000, "long");
    let submit = [
        &["submit"],
        &WORK[..],
        &["--key", "k", "--wait-ms", "200", &long],
    ]
    .concat();
    let submitted = tool.run(&submit).expect(5);
    let owner = submitted.submit_option("--owner");
    let name = ["--team", "tin-a", "--key", "k", "--owner", &owner];

    let status = tool
        .run(&[&["--json", "status"], &name[..]].concat())
        .expect(5);
    assert_eq!(status.json()["task_count"], 1);
    let cancelled = tool
        .run(&[&["--json", "cancel"], &name[..]].concat())
        .expect(3);
    assert_eq!(cancelled.json()["reason"], "cancelled");
    let status = [&["--json", "status", "--wait-ms", "2000"], &name[..]].concat();
    assert_eq!(tool.run(&status).expect(3).json()["reason"], "cancelled");
}

#[test]
fn status_waits_for_the_outcome_that_it_is_asked_for() {
    let tool = Tool::start();
    let task = payload(800, "lid");
    let submit = [
        &["submit"],
        &WORK[..],
        &["--key", "k", "--wait-ms", "50", &task],
    ]
    .concat();
    let owner = tool.run(&submit).expect(5).submit_option("--owner");

    let status = tool
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
        .expect(0);

    assert!(status.stdout.starts_with("lid@"), "{status:?}");
}

#[test]
fn a_key_that_the_owner_does_not_know_is_unknown() {
    let tool = Tool::start();
    let owner = tool.cluster.entries()[0].api().owner().unwrap().to_string();

    let status = tool.run(&["status", "--team", "tin-a", "--key", "k", "--owner", &owner]);

    assert!(status.expect(6).stderr.contains("does not know the key"));
}

#[test]
fn a_job_that_fails_says_which_task() {
    let tool = Tool::start();
    let failing = r#"{"run_us":1000,"echo":"lid","fail":true}"#;
    let submit = [&["--json", "submit"], &WORK[..], &[failing]].concat();

    let answer = tool.run(&submit).expect(3).json();

    assert_eq!(answer["reason"], "task-failed");
    assert_eq!(answer["task_index"], 0);
}

#[test_case(&["--team", "nobody", "--kind", "proof"], "nobody"; "unknown team")]
#[test_case(&["--team", "tin-a", "--kind", "casting"], "casting"; "unknown kind")]
fn a_job_that_the_configuration_does_not_allow_is_not_run(work: &[&str], named: &str) {
    let tool = Tool::start();
    let task = payload(10, "lid");

    let run = tool.run(&[&["submit"], work, &[&task]].concat()).expect(4);

    assert!(run.stderr.contains(named), "{run:?}");
    assert_eq!(started_count(&tool), 0);
}

#[test]
fn a_file_that_is_no_job_is_an_error_that_names_the_field() {
    let tool = Tool::start();
    let file = tool.file(
        "job.json",
        r#"{"team": "tin-a", "kind": "proof", "task": []}"#,
    );

    let run = tool.run(&["submit", "--file", &file]).expect(1);

    assert!(run.stderr.contains("`task`"), "{run:?}");
}

#[test]
fn entries_that_do_not_answer_are_an_error() {
    let run = run(&["--entry", "127.0.0.1:1", "show"]).expect(1);

    assert!(run.stderr.contains("127.0.0.1:1"), "{run:?}");
}
