//! A call to the minion is not queued behind a call that has no response.
//!
//! The failure needs an idle thread: two calls that start right after each other must not both be
//! left to it. The time between the two varies from round to round to cover its wake-up.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver};
use knapweedrill::contract::Class;
use knapweedrill::job::TaskId;
use knapweedrill::message::Start;
use knapweedrill_daemon::minion_calls::{CallPool, MinionCall};

const ROUND_COUNT: u32 = 2000;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Far longer than a call takes to connect, and far shorter than `CALL_TIMEOUT`.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a minion that accepts connections, passes them to the test and sends no response.
fn start_silent_minion() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let (sender, connections) = channel::unbounded();
    thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            if sender.send(connection).is_err() {
                return;
            }
        }
    });
    (address, connections)
}

fn call(address: SocketAddr, index: u32) -> MinionCall {
    let task = TaskId {
        owner: 1,
        job: 1,
        index,
    };
    let start = Start {
        task,
        generation: 0,
        attempt: 0,
        team: "tin-a".into(),
        class: Class::Normal,
        kind: "proof".into(),
        expected_run_time: Duration::ZERO,
        time_to_deadline: CALL_TIMEOUT,
        uses_credit: false,
        payload: Vec::new(),
    };
    MinionCall { address, start }
}

#[test]
fn call_is_not_queued_behind_a_call_without_response() {
    let (address, connections) = start_silent_minion();
    for round in 0..ROUND_COUNT {
        let (sender, ends) = channel::unbounded();
        let mut pool = CallPool::new(move |_, _, _| {
            let _ = sender.send(());
        });
        // The thread of the first call is idle when the next two start right after each other.
        pool.submit(call(address, 0)).expect("the call begins");
        drop(connections.recv_timeout(CONNECT_TIMEOUT));
        ends.recv_timeout(CONNECT_TIMEOUT).expect("the call ends");
        pool.record_end();
        pool.submit(call(address, 1)).expect("the call begins");
        for _ in 0..round % 100 * 40 {
            std::hint::spin_loop();
        }
        pool.submit(call(address, 2)).expect("the call begins");
        let connected: Vec<_> = (0..2)
            .map(|_| connections.recv_timeout(CONNECT_TIMEOUT))
            .collect();
        let are_connected = connected.iter().all(Result::is_ok);
        assert!(are_connected, "a call waits for another in round {round}");
    }
}
