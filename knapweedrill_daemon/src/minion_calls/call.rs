//! One call of the minion.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::job::{TaskFailure, TaskId, TaskOutcome};
use knapweedrill::message::Start;
use knapweedrill::sidecar::RunResult;

/// The header that names the task to the minion.
pub const TASK_HEADER: &str = "Knapweedrill-Task";

/// The header that numbers the attempt.
pub const ATTEMPT_HEADER: &str = "Knapweedrill-Attempt";

/// How long a connection to the minion may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The shortest time that a call gets, so that a late task fails by its own timeout.
const CALL_TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// A call of the minion.
#[derive(Debug)]
pub struct MinionCall {
    /// The minion's address.
    pub address: SocketAddr,
    /// The task.
    pub start: Start,
}

/// How a call went.
#[derive(Debug)]
pub struct CallEnd {
    /// The result.
    pub result: RunResult,
    /// How long the call took.
    pub run_time: Duration,
}

impl MinionCall {
    /// Makes the call and waits for its end.
    pub fn run(&self) -> CallEnd {
        let began_at = Instant::now();
        let result = self.result();
        CallEnd {
            result,
            run_time: began_at.elapsed(),
        }
    }

    fn result(&self) -> RunResult {
        let timeout = self.start.time_to_deadline.max(CALL_TIMEOUT_MIN);
        let response = attohttpc::post(format!("http://{}/run", self.address))
            .header(TASK_HEADER, task_text(&self.start.task))
            .header(ATTEMPT_HEADER, self.start.attempt.to_string())
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .read_timeout(timeout)
            .timeout(timeout)
            .follow_redirects(false)
            .bytes(&self.start.payload)
            .send();
        match response {
            Err(error) => failed_call(&error),
            Ok(response) if !response.is_success() => failed(TaskFailure::MinionError),
            Ok(response) => read_result(response),
        }
    }
}

/// Reads the result, which must be as long as the minion has announced.
///
/// The HTTP client takes a body that breaks off as whole.
fn read_result(response: attohttpc::Response) -> RunResult {
    let announced: Option<usize> = response
        .headers()
        .get("Content-Length")
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse().ok());
    match response.bytes() {
        Ok(result) if announced.is_some_and(|length| length != result.len()) => {
            failed(TaskFailure::ConnectionLost)
        }
        Ok(result) => RunResult::Sent(TaskOutcome::Done { result }),
        Err(error) => failed_call(&error),
    }
}

/// Returns the text by which the minion knows a task.
fn task_text(task: &TaskId) -> String {
    format!("{:016x}-{:032x}-{}", task.owner, task.job, task.index)
}

fn failed(failure: TaskFailure) -> RunResult {
    RunResult::Sent(TaskOutcome::Failed { failure })
}

/// Tells a connection that never came about from a request that may have been sent.
fn failed_call(error: &attohttpc::Error) -> RunResult {
    use std::io::ErrorKind as Io;
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => match error.kind() {
            // Only a refused connection shows for certain that nothing was sent.
            Io::ConnectionRefused => RunResult::NotSent,
            Io::TimedOut | Io::WouldBlock => failed(TaskFailure::Timeout),
            _ => failed(TaskFailure::ConnectionLost),
        },
        _ => failed(TaskFailure::ConnectionLost),
    }
}
