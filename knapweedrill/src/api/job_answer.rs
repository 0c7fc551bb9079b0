//! The body of every answer about a job.

use std::time::Duration;

use knapweedrill_derive::message;

use super::{AnswerError, Content, JobOutcome, Reason};
use crate::common::TaskIndex;
use crate::entry::{CallerRequest, CallerResponse};
use crate::job::{Failure, Outcome, Refusal};

/// The body of every answer about a job.
#[message]
pub struct JobAnswer {
    /// The outcome.
    pub outcome: JobOutcome,
    /// Why, if the outcome is `failed` or `not-run`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// What is wrong and what to do, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// The result of each task, in the order of submission, if the outcome is `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<Content>>,
    /// The task that the reason is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task_index: Option<TaskIndex>,
    /// How many tasks have ended, if the outcome is `running`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_count: Option<u32>,
    /// How many tasks the job has, if the outcome is `running`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task_count: Option<u32>,
    /// When another try is worthwhile, if the outcome is `not-run`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl JobAnswer {
    /// Creates the answer to a request that an entry has handled.
    pub fn new(request: &CallerRequest, response: CallerResponse) -> Self {
        match response {
            CallerResponse::Ended { outcome } => Self::ended(outcome),
            CallerResponse::Running {
                ended_count,
                task_count,
            } => Self {
                ended_count: Some(ended_count),
                task_count: Some(task_count),
                ..Self::bare(JobOutcome::Running)
            },
            CallerResponse::Unknown => Self {
                message: Some("the owner does not know the key".to_owned()),
                ..Self::bare(JobOutcome::Unknown)
            },
            CallerResponse::Invalid { message } => match request {
                CallerRequest::Submit { .. } => Self::invalid_submission(message),
                CallerRequest::Status { .. } | CallerRequest::Cancel { .. } => {
                    Self::invalid_request(message)
                }
            },
        }
    }

    /// Creates the answer to a malformed submission: nothing was run.
    pub fn invalid_submission(message: impl Into<String>) -> Self {
        Self {
            reason: Some(Reason::Invalid),
            message: Some(message.into()),
            ..Self::bare(JobOutcome::NotRun)
        }
    }

    /// Creates the answer to a malformed request about a job that may have run, of which it says
    /// nothing.
    pub fn invalid_request(message: impl Into<String>) -> Self {
        Self {
            reason: Some(Reason::Invalid),
            message: Some(message.into()),
            ..Self::bare(JobOutcome::Unknown)
        }
    }

    /// Creates the answer to a request without an owner token that can be used.
    pub fn token_needed() -> Self {
        Self::ended(Outcome::NotRun {
            refusal: Refusal::TokenNeeded,
            retry_after: None,
        })
    }

    /// Returns the value of the header `Retry-After` in seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|time_ms| time_ms.div_ceil(1_000))
    }

    /// Returns what the answer says in the library's own form.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer lacks a part that its outcome needs.
    pub fn into_caller_response(self) -> Result<CallerResponse, AnswerError> {
        match self.outcome {
            JobOutcome::Complete => self.into_complete(),
            JobOutcome::Failed => self.into_failed(),
            JobOutcome::NotRun => self.into_not_run(),
            JobOutcome::Running => Ok(CallerResponse::Running {
                ended_count: needed(self.ended_count, "ended_count")?,
                task_count: needed(self.task_count, "task_count")?,
            }),
            JobOutcome::Unknown if self.reason == Some(Reason::Invalid) => {
                Ok(CallerResponse::Invalid {
                    message: self.message.unwrap_or_default(),
                })
            }
            JobOutcome::Unknown => Ok(CallerResponse::Unknown),
        }
    }

    fn bare(outcome: JobOutcome) -> Self {
        Self {
            outcome,
            reason: None,
            message: None,
            results: None,
            task_index: None,
            ended_count: None,
            task_count: None,
            retry_after_ms: None,
        }
    }

    fn ended(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Complete { results } => Self {
                results: Some(results.into_iter().map(Content::from).collect()),
                ..Self::bare(JobOutcome::Complete)
            },
            Outcome::Failed { failure } => Self {
                reason: Some(failure.into()),
                message: Some(failure_message(failure)),
                task_index: task_index(failure),
                ..Self::bare(JobOutcome::Failed)
            },
            Outcome::NotRun {
                refusal,
                retry_after,
            } => Self {
                reason: Some(refusal.into()),
                message: Some(refusal_message(refusal).to_owned()),
                retry_after_ms: retry_after.map(rounded_up_ms),
                ..Self::bare(JobOutcome::NotRun)
            },
        }
    }

    fn into_complete(self) -> Result<CallerResponse, AnswerError> {
        let results = needed(self.results, "results")?.into_iter();
        let results: Result<_, _> = results.map(Content::into_bytes).collect();
        Ok(CallerResponse::Ended {
            outcome: Outcome::Complete { results: results? },
        })
    }

    fn into_failed(self) -> Result<CallerResponse, AnswerError> {
        let reason = needed(self.reason, "reason")?;
        let failure = reason.failure(self.task_index.unwrap_or_default());
        let failure = failure.ok_or(AnswerError::Reason {
            outcome: self.outcome,
            reason,
        })?;
        Ok(CallerResponse::Ended {
            outcome: Outcome::Failed { failure },
        })
    }

    fn into_not_run(self) -> Result<CallerResponse, AnswerError> {
        let reason = needed(self.reason, "reason")?;
        if let (Reason::Invalid, Some(message)) = (reason, &self.message) {
            return Ok(CallerResponse::Invalid {
                message: message.clone(),
            });
        }
        let refusal = reason.refusal().ok_or(AnswerError::Reason {
            outcome: self.outcome,
            reason,
        })?;
        Ok(CallerResponse::Ended {
            outcome: Outcome::NotRun {
                refusal,
                retry_after: self.retry_after_ms.map(Duration::from_millis),
            },
        })
    }
}

fn needed<T>(value: Option<T>, field: &'static str) -> Result<T, AnswerError> {
    value.ok_or(AnswerError::Missing { field })
}

fn rounded_up_ms(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

fn task_index(failure: Failure) -> Option<TaskIndex> {
    match failure {
        Failure::TaskFailed { index } | Failure::TaskLost { index } => Some(index),
        _ => None,
    }
}

fn failure_message(failure: Failure) -> String {
    match failure {
        Failure::TaskFailed { index } => format!("task {index} failed"),
        Failure::DeadlineExceeded => "the deadline passed; some tasks may have run".to_owned(),
        Failure::Cancelled => "the job was cancelled; some tasks may have run".to_owned(),
        Failure::TaskLost { index } => {
            format!("the minion of task {index} is gone; the task may have run")
        }
        Failure::OwnerLost => "the owner of the job is gone; some tasks may have run".to_owned(),
        Failure::KeyExpired => {
            "the key is too old; whether the job ran is no longer known".to_owned()
        }
        Failure::AnswerExpired => "the job has ended; its answer is no longer kept".to_owned(),
        Failure::KeyReused => {
            "the key was used for a job with other content; use a new key".to_owned()
        }
        Failure::ShuttingDown => {
            "the entry stopped before the job ended; some tasks may have run".to_owned()
        }
    }
}

fn refusal_message(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::TokenNeeded => {
            "the request needs a current owner token; repeat it with that of this response"
        }
        Refusal::Invalid => "the request is not valid; nothing was run",
        Refusal::Overloaded => "too much work is waiting; try again later",
        Refusal::Impossible => "no minion of the service can run a task of the job",
        Refusal::NoMinion => "the service has no minion at present; try again later",
        Refusal::DeadlineExceeded => "the deadline passed before any task started",
        Refusal::Cancelled => "the job was cancelled before any task started",
        Refusal::OwnerLost => "the owner is gone and started nothing; submit with a new token",
        Refusal::ShuttingDown => "the entry is stopping; submit to another",
        Refusal::NotReady => "the entry has no configuration yet; try again later",
    }
}
