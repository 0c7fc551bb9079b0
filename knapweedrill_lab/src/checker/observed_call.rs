//! A submission that is observed while it is made.

use eyre::Result;
use knapweedrill::common::ProcessName;
use knapweedrill::contract::OwnerToken;

use super::{CallerAnswer, Submission};
use crate::harness::{EntryApi, HttpAnswer, JobRequest, JobTask};
use crate::stand_in::minion::TaskPayload;
use crate::wall_clock::wall_us;

/// A call of an entry that submits a job and notes what the caller sees.
#[derive(Debug, Clone)]
pub struct ObservedCall {
    entry: ProcessName,
    api: EntryApi,
    is_idempotent: bool,
}

impl ObservedCall {
    /// Creates a caller of an entry for jobs of a kind that is idempotent.
    pub fn new(entry: impl Into<ProcessName>, api: EntryApi) -> Self {
        Self {
            entry: entry.into(),
            api,
            is_idempotent: true,
        }
    }

    /// Sets whether the checker is to take the jobs as idempotent.
    pub fn idempotent(mut self, is_idempotent: bool) -> Self {
        self.is_idempotent = is_idempotent;
        self
    }

    /// Submits a job and returns what was observed.
    ///
    /// # Panics
    ///
    /// Panics if a payload of the job is not one of the lab.
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

fn read_answer(answer: Result<HttpAnswer>) -> CallerAnswer {
    let Ok(answer) = answer else {
        return CallerAnswer::Unanswered;
    };
    match answer.json() {
        Ok(job_answer) => CallerAnswer::Answered(job_answer),
        Err(_) => CallerAnswer::Malformed(answer.body),
    }
}

fn echo(task: &JobTask) -> String {
    let payload: TaskPayload =
        serde_json::from_str(&task.payload).expect("the payload is one of the lab");
    payload.echo
}
