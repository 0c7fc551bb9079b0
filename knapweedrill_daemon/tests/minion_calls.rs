//! Calls of the minion never wait for one another.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver};
use knapweedrill::contract::Class;
use knapweedrill::job::{TaskId, TaskOutcome};
use knapweedrill::message::Start;
use knapweedrill::sidecar::RunResult;
use knapweedrill_daemon::minion_calls::{CallEnd, CallPool, MinionCall};

/// How long the minion takes for a task.
const RUN_TIME: Duration = Duration::from_millis(5);

/// How many calls are made at once.
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

/// Starts a minion that takes `RUN_TIME` for each task, on a thread each.
fn minion() -> SocketAddr {
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

fn wait_for_end(ends: &Receiver<CallEnd>) {
    let end = ends
        .recv_timeout(Duration::from_secs(5))
        .expect("the call ends");
    assert!(matches!(
        end.result,
        RunResult::Sent(TaskOutcome::Done { .. })
    ));
}

#[test]
fn calls_that_begin_together_run_together() {
    let address = minion();
    let (sender, ends) = channel::unbounded();
    let mut pool = CallPool::new(move |_, _, end| {
        let _ = sender.send(end);
    });
    let mut worst = Duration::ZERO;
    for _ in 0..200 {
        let began_at = Instant::now();
        for index in 0..CALL_COUNT {
            let start = start(index);
            pool.begin(MinionCall { address, start })
                .expect("a thread can be started");
            // The threads take the first calls up while the others are being made.
            thread::yield_now();
        }
        for _ in 0..CALL_COUNT {
            wait_for_end(&ends);
            pool.ended();
        }
        worst = worst.max(began_at.elapsed());
        assert!(pool.thread_count() >= CALL_COUNT as usize);
    }
    println!("longest round of {CALL_COUNT} calls: {worst:?}");
}
