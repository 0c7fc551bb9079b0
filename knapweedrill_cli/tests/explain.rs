//! `explain` merges the log lines of a job from the logs of all processes.

use knapweedrill_cli::command::explain;

const LOGS: &str = r#"
  1.9 side-1 {"timestamp":"2026-12-04T08:00:01.004000+00:00","level":"INFO","message":"run started","kvs":{"job":"00000000000000ab","task":0,"run":1}}
  1.9 front-1 {"timestamp":"2026-12-04T08:00:01.001000+00:00","level":"INFO","message":"admitted","kvs":{"job":"00000000000000ab","tasks":1}}
  1.9 front-1 {"timestamp":"2026-12-04T08:00:01.006000+00:00","level":"INFO","message":"task placed","kvs":{"job":"00000000000000ab","task":0,"sidecar":"7"}}
  1.9 front-1 {"timestamp":"2026-12-04T08:00:01.007000+00:00","level":"INFO","message":"admitted","kvs":{"job":"00000000000000cd","tasks":1}}
not a line of a log 00000000000000ab
{"timestamp":"2026-12-04T08:00:01.300000+00:00","level":"WARN","message":"answered","kvs":{"job":"00000000000000ab","answer":"GivenUp"}}
"#;

#[test]
fn lines_of_a_job_are_in_causal_order() {
    let mut output = Vec::new();
    let count =
        explain("00000000000000ab", LOGS.as_bytes(), &mut output).expect("the output is written");
    let output = String::from_utf8(output).expect("the output is UTF-8");
    let messages = ["admitted", "task placed", "run started", "answered"];
    let positions: Vec<_> = messages
        .iter()
        .map(|message| output.find(message))
        .collect();
    assert_eq!(count, 4, "{output}");
    assert!(positions.iter().all(Option::is_some), "{output}");
    assert!(positions.is_sorted(), "{output}");
    assert!(
        output.contains("front-1") && output.contains("sidecar=7"),
        "{output}"
    );
}

#[test]
fn job_that_is_not_in_the_logs_has_no_lines() {
    let mut output = Vec::new();
    let count =
        explain("00000000000000ef", LOGS.as_bytes(), &mut output).expect("the output is written");
    assert_eq!((count, output.len()), (0, 0));
}
