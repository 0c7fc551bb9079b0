//! A client that records its submissions for the checker.

use eyre::Result;
use knapweedrill::common::ProcessName;
use knapweedrill::contract::OwnerToken;

use super::{CallerAnswer, Submission};
use crate::harness::{EntryApi, HttpResponse, JobRequest, JobTask};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// A client of one entry that submits jobs and records what the caller observes.
#[derive(Debug, Clone)]
pub struct RecordingClient {
    entry: ProcessName,
    api: EntryApi,
    is_idempotent: bool,
}

impl RecordingClient {
    /// Creates a client of an entry, for jobs of an idempotent kind.
    pub fn new(entry: impl Into<ProcessName>, api: EntryApi) -> Self {
        Self {
            entry: entry.into(),
            api,
            is_idempotent: true,
        }
    }

    /// Sets whether the checker treats the jobs as idempotent.
    pub fn idempotent(mut self, is_idempotent: bool) -> Self {
        self.is_idempotent = is_idempotent;
        self
    }

    /// Submits a job and returns the record of the submission and its answer.
    ///
    /// # Panics
    ///
    /// Panics if a payload of the job is not a [`TaskPayload`].
    pub fn submit(&self, token: OwnerToken, key: &str, job: &JobRequest) -> Submission {
        let submitted_us = wall_us();
        let answer = read_answer(self.api.submit_raw(&token, key, job));
        Submission {
            token,
            team: job.team_name().to_owned(),
            key: key.to_owned(),
            is_idempotent: self.is_idempotent,
            echoes: job.tasks().iter().map(echo).collect(),
            entry: self.entry.clone(),
            submitted_us,
            answered_us: wall_us(),
            answer,
        }
    }
}

fn read_answer(answer: Result<HttpResponse>) -> CallerAnswer {
    let Ok(answer) = answer else {
        return CallerAnswer::Unanswered;
    };
    match answer.json() {
        Ok(job_answer) => CallerAnswer::Answered(job_answer),
        Err(_) => CallerAnswer::Malformed(answer.body),
    }
}

/// Returns the text that a task is expected to echo.
fn echo(task: &JobTask) -> String {
    let payload: TaskPayload =
        serde_json::from_str(&task.payload).expect("the payload is a TaskPayload");
    payload.echo
}
