//! The story of a job comes out of the logs of all processes.

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
fn lines_of_a_job_come_in_the_order_of_its_way() {
    let mut story = Vec::new();
    let count = explain("00000000000000ab", LOGS.as_bytes(), &mut story).expect("it is written");
    let story = String::from_utf8(story).expect("text");
    let messages = ["admitted", "task placed", "run started", "answered"];
    let places: Vec<_> = messages.iter().map(|message| story.find(message)).collect();
    assert_eq!(count, 4, "{story}");
    assert!(places.iter().all(Option::is_some), "{story}");
    assert!(places.is_sorted(), "{story}");
    assert!(
        story.contains("front-1") && story.contains("sidecar=7"),
        "{story}"
    );
}

#[test]
fn job_that_the_logs_do_not_know_has_no_story() {
    let mut story = Vec::new();
    let count = explain("00000000000000ef", LOGS.as_bytes(), &mut story).expect("it is written");
    assert_eq!((count, story.len()), (0, 0));
}
