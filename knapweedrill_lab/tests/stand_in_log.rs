//! The stand-in for the log.

use std::time::{Duration, Instant};

use attohttpc::Response;
use knapweedrill_lab::stand_in::log::{
    AppendResponse, LogControl, LogMode, LogStandIn, LogStore, ReadResponse,
};

const RETENTION_RECORDS: usize = 4;

fn start() -> LogStandIn {
    let any_port = "127.0.0.1:0".parse().expect("the address is valid");
    LogStandIn::start(any_port, RETENTION_RECORDS).expect("loopback has a free port")
}

fn append(log: &LogStandIn, body: &str) -> attohttpc::Result<Response> {
    attohttpc::post(format!("http://{}/append", log.address()))
        .timeout(Duration::from_secs(5))
        .text(body.to_owned())
        .send()
}

fn read(log: &LogStandIn, query: &str) -> ReadResponse {
    let url = format!("http://{}/records{query}", log.address());
    let response = attohttpc::get(url).send().expect("the log answers");
    let text = response.text().expect("the answer is text");
    serde_json::from_str(&text).expect("the answer has the documented form")
}

fn bodies(answer: &ReadResponse) -> Vec<&str> {
    answer
        .records
        .iter()
        .map(|record| record.body.as_str())
        .collect()
}

#[test]
fn offsets_rise_from_zero() {
    let log = start();
    for offset in 0..3 {
        let response = append(&log, &format!("{{\"number\":{offset}}}")).expect("it answers");
        let text = response.text().expect("the answer is text");
        let answer: AppendResponse = serde_json::from_str(&text).expect("it has an offset");
        assert_eq!(answer, AppendResponse { offset });
    }
    let answer = read(&log, "?from=1&max=1");
    assert_eq!((answer.first_offset, answer.next_offset), (0, 2));
    assert_eq!(bodies(&answer), ["{\"number\":1}"]);
    assert_eq!(read(&log, "?from=3").next_offset, 3);
}

#[test]
fn a_read_before_the_oldest_retained_record_starts_there() {
    let log = start();
    for number in 0..6 {
        append(&log, &number.to_string()).expect("it answers");
    }
    let answer = read(&log, "?from=0");
    assert_eq!((answer.first_offset, answer.next_offset), (2, 6));
    log.retain(1);
    assert_eq!(bodies(&read(&log, "?from=0")), ["5"]);
    log.retain(0);
    let answer = read(&log, "?from=0");
    assert_eq!((answer.first_offset, answer.next_offset), (6, 6));
}

#[test]
fn a_log_that_is_down_stores_nothing() {
    let log = start();
    set_mode(&log, LogMode::Down, 0);
    let response = append(&log, "lost").expect("it answers");
    assert_eq!(response.status().as_u16(), 503);
    set_mode(&log, LogMode::Up, 0);
    assert!(read(&log, "").records.is_empty());
}

#[test]
fn a_slow_log_delays_appends() {
    let log = start();
    set_mode(&log, LogMode::Slow, 200);
    let begin = Instant::now();
    append(&log, "late").expect("it answers");
    assert!(begin.elapsed() >= Duration::from_millis(200));
}

#[test]
fn an_append_without_response_is_stored() {
    let log = start();
    set_mode(&log, LogMode::LoseAnswers, 0);
    let begin = Instant::now();
    assert!(append(&log, "stored").is_err());
    assert!(
        begin.elapsed() < Duration::from_secs(4),
        "the connection hung"
    );
    assert_eq!(bodies(&read(&log, "")), ["stored"]);
}

#[test]
fn a_record_above_the_size_limit_is_rejected() {
    let log = start();
    let response = append(&log, &"x".repeat((1 << 20) + 1)).expect("it answers");
    assert_eq!(response.status().as_u16(), 400);
    assert!(read(&log, "").records.is_empty());
}

#[test]
fn control_over_http_accepts_the_documented_form() {
    let log = start();
    let control = attohttpc::post(format!("http://{}/control", log.address()))
        .text(r#"{"mode": "down"}"#)
        .send()
        .expect("it answers");
    assert!(control.is_success());
    assert_eq!(
        append(&log, "lost").expect("it answers").status().as_u16(),
        503
    );
}

#[test]
fn a_store_keeps_the_newest_records() {
    let mut store = LogStore::new(2);
    for number in 0..5 {
        assert_eq!(store.append(number.to_string()), number);
    }
    assert_eq!(bodies(&store.read(0, 10)), ["3", "4"]);
    assert_eq!(store.read(9, 10).next_offset, 5);
}

fn set_mode(log: &LogStandIn, mode: LogMode, delay_ms: u64) {
    log.control(LogControl { mode, delay_ms });
}
