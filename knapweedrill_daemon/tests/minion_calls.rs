//! Concurrent calls to the minion get a thread each, so none waits for another.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver};
use knapweedrill::contract::Class;
use knapweedrill::job::{TaskId, TaskOutcome};
use knapweedrill::message::Start;
use knapweedrill::sidecar::RunResult;
use knapweedrill_daemon::minion_calls::{CallPool, CompletedCall, MinionCall};

/// The run time of each task at the minion.
const RUN_TIME: Duration = Duration::from_millis(5);

/// The number of concurrent calls in each round.
const CALL_COUNT: u32 = 8;

fn start(index: u32) -> Start {
    Start {
        task: TaskId {
            owner: 1,
            job: 2,
            index,
        },
        generation: 0,
        attempt: 0,
        team: "tin-a".to_owned(),
        class: Class::Normal,
        kind: "proof".to_owned(),
        expected_run_time: RUN_TIME,
        time_to_deadline: Duration::from_secs(5),
        uses_credit: false,
        payload: b"payload".to_vec(),
    }
}

/// Starts a minion that runs each task for `RUN_TIME` on a thread of its own.
fn start_minion() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = tiny_http::Server::from_listener(listener, None).expect("a server");
    thread::spawn(move || {
        for request in server.incoming_requests() {
            thread::spawn(move || {
                thread::sleep(RUN_TIME);
                let _ = request.respond(tiny_http::Response::from_string("result"));
            });
        }
    });
    address
}

fn wait_for_end(ends: &Receiver<CompletedCall>) {
    let end = ends
        .recv_timeout(Duration::from_secs(5))
        .expect("the call ends");
    assert!(matches!(
        end.result,
        RunResult::Sent(TaskOutcome::Done { .. })
    ));
}

#[test]
fn concurrent_calls_get_a_thread_each() {
    let address = start_minion();
    let (sender, ends) = channel::unbounded();
    let mut pool = CallPool::new(move |_, _, end| {
        let _ = sender.send(end);
    });
    let mut longest = Duration::ZERO;
    for _ in 0..200 {
        let started_at = Instant::now();
        for index in 0..CALL_COUNT {
            let start = start(index);
            pool.submit(MinionCall { address, start })
                .expect("a thread can be started");
            // Lets the pool's threads receive the first calls while the others are submitted.
            thread::yield_now();
        }
        for _ in 0..CALL_COUNT {
            wait_for_end(&ends);
            pool.record_end();
        }
        longest = longest.max(started_at.elapsed());
        assert!(pool.thread_count() >= CALL_COUNT as usize);
    }
    println!("longest round of {CALL_COUNT} calls: {longest:?}");
}
