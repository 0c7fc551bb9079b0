//! A single HTTP call to the minion.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use knapweedrill::job::{TaskFailure, TaskId, TaskOutcome};
use knapweedrill::message::Start;
use knapweedrill::sidecar::RunResult;

/// The request header that carries the task's id.
pub const TASK_HEADER: &str = "Knapweedrill-Task";

/// The request header that carries the attempt number.
pub const ATTEMPT_HEADER: &str = "Knapweedrill-Attempt";

/// The longest time to establish a connection to the minion.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The shortest timeout of a call, so that a task past its deadline fails with a timeout.
const CALL_TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// A call to the minion that runs one attempt of a task.
#[derive(Debug)]
pub struct MinionCall {
    /// The address of the minion's HTTP server.
    pub address: SocketAddr,
    /// The attempt to run, with its payload and the time left until its deadline.
    pub start: Start,
}

/// The result and duration of a call that has ended.
#[derive(Debug)]
pub struct CompletedCall {
    /// The outcome of the task, or that the request was not sent.
    pub result: RunResult,
    /// The time from connecting until the result was read or the call failed.
    pub run_time: Duration,
}

impl MinionCall {
    /// Sends the request and blocks until the response or the timeout.
    pub fn run(&self) -> CompletedCall {
        let started_at = Instant::now();
        let result = self.send();
        CompletedCall {
            result,
            run_time: started_at.elapsed(),
        }
    }

    fn send(&self) -> RunResult {
        let timeout = self.start.time_to_deadline.max(CALL_TIMEOUT_MIN);
        let response = attohttpc::post(format!("http://{}/run", self.address))
            .header(TASK_HEADER, format_task_id(&self.start.task))
            .header(ATTEMPT_HEADER, self.start.attempt.to_string())
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .read_timeout(timeout)
            .timeout(timeout)
            .follow_redirects(false)
            .bytes(&self.start.payload)
            .send();
        match response {
            Err(error) => result_of_error(&error),
            Ok(response) if !response.is_success() => failed(TaskFailure::MinionError),
            Ok(response) => read_result(response),
        }
    }
}

/// Reads the result and compares its length with the `Content-Length` of the response.
///
/// The HTTP client reports a truncated body as complete, so the check has to be made here.
fn read_result(response: attohttpc::Response) -> RunResult {
    let content_length: Option<usize> = response
        .headers()
        .get("Content-Length")
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse().ok());
    match response.bytes() {
        Ok(result) if content_length.is_some_and(|length| length != result.len()) => {
            failed(TaskFailure::ConnectionLost)
        }
        Ok(result) => RunResult::Sent(TaskOutcome::Done { result }),
        Err(error) => result_of_error(&error),
    }
}

/// Formats a task id as the value of [`TASK_HEADER`].
fn format_task_id(task: &TaskId) -> String {
    format!("{:016x}-{:032x}-{}", task.owner, task.job, task.index)
}

fn failed(failure: TaskFailure) -> RunResult {
    RunResult::Sent(TaskOutcome::Failed { failure })
}

/// Maps an error of the HTTP client to a result, which says whether the request may have been sent.
fn result_of_error(error: &attohttpc::Error) -> RunResult {
    use std::io::ErrorKind as Io;
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => match error.kind() {
            // Only a refused connection proves that nothing was sent.
            Io::ConnectionRefused => RunResult::NotSent,
            Io::TimedOut | Io::WouldBlock => failed(TaskFailure::Timeout),
            _ => failed(TaskFailure::ConnectionLost),
        },
        _ => failed(TaskFailure::ConnectionLost),
    }
}
