//! Submits a job of two tasks with the client library and waits for its outcome.
//!
//! The client obtains an owner token. If a connection breaks, it retries with the same token and
//! idempotency key through another entry, so the job runs at most once.
//!
//! Start a system, then run the example with the addresses of its entries:
//! `cargo run -p knapweedrill_cli --example submit -- 127.0.0.1:7000 127.0.0.2:7000`.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use knapweedrill::job::{JobSpec, TaskSpec};
use knapweedrill_cli::client::{ClientBuilder, Submission};

const WAIT: Duration = Duration::from_secs(30);

fn task(payload: &str) -> TaskSpec {
    TaskSpec {
        payload: payload.as_bytes().to_vec(),
        hint: Some(Duration::from_millis(400)),
    }
}

fn main() -> eyre::Result<()> {
    let entries: Result<Vec<SocketAddr>, _> =
        env::args().skip(1).map(|entry| entry.parse()).collect();
    let mut client = ClientBuilder::new(entries?).build()?;
    let submission = Submission {
        key: "order-20411-proof".to_owned(),
        token: None,
        spec: JobSpec {
            team: "tin-a".to_owned(),
            kind: "proof".to_owned(),
            class: None,
            deadline: None,
            idempotent: None,
            tasks: vec![task("die 7, lid"), task("die 7, base")],
        },
        wait: WAIT,
    };
    let report = client.submit(submission)?;
    println!(
        "{:?} after {} attempts with owner token {}",
        report.answer, report.attempt_count, report.token
    );
    Ok(())
}
