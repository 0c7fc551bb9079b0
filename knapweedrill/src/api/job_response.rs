//! The body of every response about a job.

use std::time::Duration;

use knapweedrill_derive::message;

use super::{Content, JobOutcome, Reason, ResponseError};
use crate::common::TaskIndex;
use crate::entry::{CallerRequest, CallerResponse};
use crate::job::{Failure, Outcome, Refusal};

/// The body of every response about a job.
#[message]
pub struct JobResponse {
    /// The outcome of the job.
    pub outcome: JobOutcome,
    /// Why the job failed or was not run; set if the outcome is `failed` or `not-run`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// An explanation for people: what is wrong and what to do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// The result of each task in the order of submission; set if the outcome is `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<Content>>,
    /// The task that the reason refers to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task_index: Option<TaskIndex>,
    /// How many tasks have ended; set if the outcome is `running`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_count: Option<u32>,
    /// How many tasks the job has; set if the outcome is `running`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task_count: Option<u32>,
    /// The delay after which a retry may succeed; set only if the outcome is `not-run`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl JobResponse {
    /// Creates the response to a request that an entry has handled.
    pub fn new(request: &CallerRequest, response: CallerResponse) -> Self {
        match response {
            CallerResponse::Ended { outcome } => Self::ended(outcome),
            CallerResponse::Running {
                ended_count,
                task_count,
            } => Self {
                ended_count: Some(ended_count),
                task_count: Some(task_count),
                ..Self::with_outcome(JobOutcome::Running)
            },
            CallerResponse::Unknown => Self {
                message: Some("the owner does not know the key".to_owned()),
                ..Self::with_outcome(JobOutcome::Unknown)
            },
            CallerResponse::Invalid { message } => match request {
                CallerRequest::Submit { .. } => Self::invalid_submission(message),
                CallerRequest::Status { .. } | CallerRequest::Cancel { .. } => {
                    Self::invalid_request(message)
                }
            },
        }
    }

    /// Creates the response to an invalid submission, of which nothing was run.
    pub fn invalid_submission(message: impl Into<String>) -> Self {
        Self {
            reason: Some(Reason::Invalid),
            message: Some(message.into()),
            ..Self::with_outcome(JobOutcome::NotRun)
        }
    }

    /// Creates the response to an invalid status or cancel request.
    ///
    /// The outcome is `unknown`, since the job itself may have run.
    pub fn invalid_request(message: impl Into<String>) -> Self {
        Self {
            reason: Some(Reason::Invalid),
            message: Some(message.into()),
            ..Self::with_outcome(JobOutcome::Unknown)
        }
    }

    /// Creates the response to a request without a usable owner token.
    pub fn token_needed() -> Self {
        Self::ended(Outcome::NotRun {
            refusal: Refusal::TokenNeeded,
            retry_after: None,
        })
    }

    /// Returns the value of the `Retry-After` header in seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|time_ms| time_ms.div_ceil(1_000))
    }

    /// Converts the response into the library's own type.
    ///
    /// # Errors
    ///
    /// Returns an error if the response lacks a field that its outcome requires, if its reason does
    /// not belong to its outcome, or if a result is malformed.
    pub fn into_caller_response(self) -> Result<CallerResponse, ResponseError> {
        match self.outcome {
            JobOutcome::Complete => self.into_complete(),
            JobOutcome::Failed => self.into_failed(),
            JobOutcome::NotRun => self.into_not_run(),
            JobOutcome::Running => Ok(CallerResponse::Running {
                ended_count: required(self.ended_count, "ended_count")?,
                task_count: required(self.task_count, "task_count")?,
            }),
            JobOutcome::Unknown if self.reason == Some(Reason::Invalid) => {
                Ok(CallerResponse::Invalid {
                    message: self.message.unwrap_or_default(),
                })
            }
            JobOutcome::Unknown => Ok(CallerResponse::Unknown),
        }
    }

    fn with_outcome(outcome: JobOutcome) -> Self {
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
                ..Self::with_outcome(JobOutcome::Complete)
            },
            Outcome::Failed { failure } => Self {
                reason: Some(failure.into()),
                message: Some(failure_message(failure)),
                task_index: task_index(failure),
                ..Self::with_outcome(JobOutcome::Failed)
            },
            Outcome::NotRun {
                refusal,
                retry_after,
            } => Self {
                reason: Some(refusal.into()),
                message: Some(refusal_message(refusal).to_owned()),
                retry_after_ms: retry_after.map(ceil_millis),
                ..Self::with_outcome(JobOutcome::NotRun)
            },
        }
    }

    fn into_complete(self) -> Result<CallerResponse, ResponseError> {
        let results = required(self.results, "results")?.into_iter();
        let results: Result<_, _> = results.map(Content::into_bytes).collect();
        Ok(CallerResponse::Ended {
            outcome: Outcome::Complete { results: results? },
        })
    }

    fn into_failed(self) -> Result<CallerResponse, ResponseError> {
        let reason = required(self.reason, "reason")?;
        let failure = reason.failure(self.task_index.unwrap_or_default());
        let failure = failure.ok_or(ResponseError::Reason {
            outcome: self.outcome,
            reason,
        })?;
        Ok(CallerResponse::Ended {
            outcome: Outcome::Failed { failure },
        })
    }

    fn into_not_run(self) -> Result<CallerResponse, ResponseError> {
        let reason = required(self.reason, "reason")?;
        if let (Reason::Invalid, Some(message)) = (reason, &self.message) {
            return Ok(CallerResponse::Invalid {
                message: message.clone(),
            });
        }
        let refusal = reason.refusal().ok_or(ResponseError::Reason {
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

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, ResponseError> {
    value.ok_or(ResponseError::Missing { field })
}

fn ceil_millis(time: Duration) -> u64 {
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
            format!("the minion or sidecar of task {index} was lost; the task may have run")
        }
        Failure::OwnerLost => "the owner of the job was lost; some tasks may have run".to_owned(),
        Failure::KeyExpired => {
            "the key has expired; whether the job ran is no longer known".to_owned()
        }
        Failure::AnswerExpired => "the job has ended; its answer is no longer retained".to_owned(),
        Failure::KeyReused => {
            "the key was used for a job with different content; use a new key".to_owned()
        }
        Failure::ShuttingDown => {
            "the entry shut down before the job ended; some tasks may have run".to_owned()
        }
    }
}

fn refusal_message(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::TokenNeeded => {
            "the request requires a current owner token; repeat it with the token of this response"
        }
        Refusal::Invalid => "the request is not valid; nothing was run",
        Refusal::Overloaded => "too much work is waiting; try again later",
        Refusal::Impossible => "no minion of the service can run a task of the job",
        Refusal::NoMinion => "the service has no minion available; try again later",
        Refusal::DeadlineExceeded => "the deadline passed before any task started",
        Refusal::Cancelled => "the job was cancelled before any task started",
        Refusal::OwnerLost => "the owner was lost before any task started; submit with a new token",
        Refusal::ShuttingDown => "the entry is shutting down; submit to another",
        Refusal::NotReady => "the entry has no configuration yet; try again later",
    }
}
