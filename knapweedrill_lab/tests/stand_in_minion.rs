//! The stand-in for a minion.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Response;
use crossbeam::channel::{Receiver, unbounded};
use knapweedrill::job::TaskId;
use knapweedrill_lab::harness::wait_until;
use knapweedrill_lab::stand_in::HttpServer;
use knapweedrill_lab::stand_in::minion::{
    MinionControl, MinionMode, MinionOptions, MinionStandIn, TaskLabel, TaskPayload,
    expected_result,
};
use test_case::test_case;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

/// Starts a minion whose sidecar is unreachable.
fn start(speed_percent: u32) -> MinionStandIn {
    let unreachable = "127.0.0.1:1".parse().expect("the address is valid");
    let options = MinionOptions::new(any_port(), unreachable, "embossing")
        .slots(2)
        .speed_percent(speed_percent);
    MinionStandIn::start(options).expect("loopback has a free port")
}

fn task(index: u32) -> TaskId {
    TaskId {
        owner: 0xab,
        job: u128::MAX - 1,
        index,
    }
}

fn run(address: SocketAddr, index: u32, payload: &TaskPayload) -> attohttpc::Result<Response> {
    attohttpc::post(format!("http://{address}/run"))
        .header("Knapweedrill-Task", TaskLabel(task(index)).to_string())
        .header("Knapweedrill-Attempt", "0")
        .timeout(Duration::from_millis(600))
        .text(payload.to_json())
        .send()
}

fn payload(run_ms: u64) -> TaskPayload {
    TaskPayload::new(Duration::from_millis(run_ms), "lid")
}

#[test]
fn a_result_contains_its_task_identifier() {
    let minion = start(100);
    let response = run(minion.address(), 3, &payload(1)).expect("it answers");
    assert!(response.is_success());
    let text = response.text().expect("the result is text");
    assert_eq!(text, expected_result("lid", task(3)));
    assert!(text.ends_with("00000000000000ab-fffffffffffffffffffffffffffffffe-3"));
}

#[test_case(100, 100, 100; "normal speed")]
#[test_case(200, 100, 50; "twice as fast")]
#[test_case(100, 300, 300; "slowed down")]
fn the_run_time_depends_on_speed_and_control(
    speed_percent: u32,
    run_time_percent: u64,
    expected_ms: u64,
) {
    let minion = start(speed_percent);
    minion.control(MinionControl {
        run_time_percent,
        ..MinionControl::new(MinionMode::Slow)
    });
    run(minion.address(), 0, &payload(100)).expect("it answers");
    let start = minion.starts().starts[0];
    let ran_us = start.end_us.expect("it ended") - start.start_us;
    assert!(ran_us >= expected_ms * 1000, "{ran_us}");
}

#[test]
fn starts_and_the_maximum_running_count_are_recorded() {
    let minion = start(100);
    let address = minion.address();
    thread::scope(|scope| {
        for index in 0..3 {
            scope.spawn(move || run(address, index, &payload(300)).expect("it answers"));
        }
    });
    let answer = minion.starts();
    // The minion accepts more tasks than its 2 slots, so that a sidecar that starts too many is
    // detected.
    assert_eq!(answer.max_running_count, 3);
    let mut indexes: Vec<u32> = answer
        .starts
        .iter()
        .map(|start| start.task.0.index)
        .collect();
    indexes.sort_unstable();
    assert_eq!(indexes, [0, 1, 2]);
}

#[test]
fn a_failing_task_and_a_failing_minion_respond_with_500() {
    let minion = start(100);
    let mut failing = payload(1);
    failing.fail = true;
    let response = run(minion.address(), 0, &failing).expect("it answers");
    assert_eq!(response.status().as_u16(), 500);

    minion.control(MinionControl::new(MinionMode::FailEverything));
    let begin = Instant::now();
    let response = run(minion.address(), 1, &payload(500)).expect("it answers");
    assert_eq!(response.status().as_u16(), 500);
    assert!(begin.elapsed() < Duration::from_millis(400));
    assert_eq!(minion.starts().starts.len(), 2);
}

#[test]
fn a_minion_that_never_answers_tasks_still_reports_its_starts() {
    let minion = start(100);
    minion.control(MinionControl::new(MinionMode::NeverAnswer));
    assert!(run(minion.address(), 0, &payload(1)).is_err());
    let url = format!("http://{}/starts", minion.address());
    let text = attohttpc::get(url).send().expect("it answers").text();
    let answer: knapweedrill_lab::stand_in::minion::StartsResponse =
        serde_json::from_str(&text.expect("it is text")).expect("it has the documented form");
    assert_eq!(answer, minion.starts());
    assert_eq!(answer.starts[0].end_us, None);
}

#[test]
fn a_run_without_headers_starts_nothing() {
    let minion = start(100);
    let url = format!("http://{}/run", minion.address());
    let response = attohttpc::post(url).text("{}").send().expect("it answers");
    assert_eq!(response.status().as_u16(), 400);
    assert!(minion.starts().starts.is_empty());
}

#[test]
fn a_minion_announces_itself_and_that_it_leaves() {
    let (sidecar, announcements) = start_sidecar();
    let options = MinionOptions::new(any_port(), sidecar.address(), "embossing");
    let minion = MinionStandIn::start(options).expect("loopback has a free port");
    let first = announcements
        .recv_timeout(Duration::from_secs(2))
        .expect("it announces itself");
    let expected = serde_json::json!({
        "service": "embossing",
        "address": minion.address().to_string(),
        "slots": 8,
        "speed_hint_percent": 100,
        "state": "serving",
    });
    assert_eq!(first, expected);

    minion.leave();
    wait_until(
        "the announcement of leaving",
        Duration::from_secs(2),
        || {
            announcements
                .try_iter()
                .any(|body| body["state"] == "leaving")
        },
    )
    .expect("it announces that it leaves");
    assert!(minion.starts().leaving_since_us.is_some());
}

#[test_case(""; "empty")]
#[test_case("ab-1"; "no index")]
#[test_case("ab-1-2-3"; "too many parts")]
#[test_case("xy-1-2"; "not hexadecimal")]
fn malformed_task_identifiers_are_rejected(text: &str) {
    assert!(text.parse::<TaskLabel>().is_err());
}

fn start_sidecar() -> (HttpServer, Receiver<serde_json::Value>) {
    let (sender, receiver) = unbounded();
    let server = HttpServer::start(any_port(), 1, move |mut request| {
        let body = serde_json::from_reader(request.as_reader()).expect("it is JSON");
        sender.send(body).expect("the test keeps the receiver");
        request
            .respond(tiny_http::Response::empty(200))
            .expect("the minion waits for the answer");
    });
    (server.expect("loopback has a free port"), receiver)
}
