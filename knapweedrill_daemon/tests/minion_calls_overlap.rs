//! Calls of the minion do not wait for each other.

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
/// Far longer than a call takes to connect, and far shorter than it waits for an answer.
const CONNECTED_IN: Duration = Duration::from_secs(2);

/// Accepts connections and hands them over, without an answer.
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
fn a_call_never_waits_for_another_that_has_no_answer() {
    let (address, connections) = start_silent_minion();
    for round in 0..ROUND_COUNT {
        let (sender, ends) = channel::unbounded();
        let mut pool = CallPool::new(move |_, _, _| {
            let _ = sender.send(());
        });
        // The thread of a first call is idle when the next two begin one after the other.
        pool.begin(call(address, 0)).expect("the call begins");
        drop(connections.recv_timeout(CONNECTED_IN));
        ends.recv_timeout(CONNECTED_IN).expect("the call ends");
        pool.ended();
        pool.begin(call(address, 1)).expect("the call begins");
        for _ in 0..round % 100 * 40 {
            std::hint::spin_loop();
        }
        pool.begin(call(address, 2)).expect("the call begins");
        let open: Vec<_> = (0..2)
            .map(|_| connections.recv_timeout(CONNECTED_IN))
            .collect();
        let are_open = open.iter().all(Result::is_ok);
        assert!(are_open, "a call waits for another in round {round}");
    }
}
