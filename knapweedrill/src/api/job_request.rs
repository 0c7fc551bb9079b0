//! The request body of a job submission.

use std::time::Duration;

use knapweedrill_derive::message;

use super::{Content, RequestError, WAIT_DEFAULT, WAIT_MAX};
use crate::common::{ClientKey, KindName, TeamName};
use crate::contract::{Class, OwnerToken};
use crate::entry::CallerRequest;
use crate::ini::{NAME_ALLOWED, is_name};
use crate::job::{JobSpec, TaskSpec};

/// The request body of a job submission.
#[message]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The team that the job's slot time is charged to.
    pub team: TeamName,
    /// The kind of work, which selects the service and the defaults of the fields below.
    pub kind: KindName,
    /// The class; the kind's class if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// The time from submission after which the caller has no use for the outcome; the kind's
    /// deadline if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether a task may safely run more than once; the kind's setting if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// How long the call waits for the outcome; [`WAIT_DEFAULT`] if omitted, at most [`WAIT_MAX`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// The tasks of the job, at least one.
    pub tasks: Vec<TaskRequest>,
}

/// A task of a submission.
#[message]
#[serde(deny_unknown_fields)]
pub struct TaskRequest {
    /// The input that the minion receives.
    pub payload: Content,
    /// The run time that the caller expects on a minion of speed 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint_ms: Option<u64>,
}

impl JobRequest {
    /// Creates the body that submits a job and waits up to `wait` for its outcome.
    pub fn new(spec: JobSpec, wait: Duration) -> Self {
        Self {
            team: spec.team,
            kind: spec.kind,
            class: spec.class,
            deadline_ms: spec.deadline.map(saturating_millis),
            idempotent: spec.idempotent,
            wait_ms: Some(saturating_millis(wait)),
            tasks: spec.tasks.into_iter().map(TaskRequest::new).collect(),
        }
    }

    /// Returns how long the call waits for the outcome.
    pub fn wait(&self) -> Duration {
        self.wait_ms
            .map_or(WAIT_DEFAULT, Duration::from_millis)
            .min(WAIT_MAX)
    }

    /// Converts the body into the request that an entry handles.
    ///
    /// # Errors
    ///
    /// Returns an error if a name, time or payload is malformed, or if there is no task.
    pub fn into_caller_request(
        self,
        token: OwnerToken,
        key: ClientKey,
    ) -> Result<CallerRequest, RequestError> {
        let wait = self.wait();
        Ok(CallerRequest::Submit {
            token,
            key,
            spec: self.into_spec()?,
            wait,
        })
    }

    /// Converts the body into the specification of the job.
    ///
    /// # Errors
    ///
    /// Returns an error if a name, time or payload is malformed, or if there is no task.
    pub fn into_spec(self) -> Result<JobSpec, RequestError> {
        check(is_name(&self.team), "team", NAME_ALLOWED)?;
        check(is_name(&self.kind), "kind", NAME_ALLOWED)?;
        check(self.deadline_ms != Some(0), "deadline_ms", "1 or more")?;
        check(!self.tasks.is_empty(), "tasks", "one task or more")?;
        let tasks = self.tasks.into_iter().enumerate();
        let tasks: Result<_, _> = tasks.map(|(index, task)| task.into_spec(index)).collect();
        Ok(JobSpec {
            team: self.team,
            kind: self.kind,
            class: self.class,
            deadline: self.deadline_ms.map(Duration::from_millis),
            idempotent: self.idempotent,
            tasks: tasks?,
        })
    }
}

impl TaskRequest {
    fn new(task: TaskSpec) -> Self {
        Self {
            payload: task.payload.into(),
            hint_ms: task.hint.map(saturating_millis),
        }
    }

    fn into_spec(self, index: usize) -> Result<TaskSpec, RequestError> {
        let payload = self.payload.into_bytes().map_err(|_| {
            RequestError::new(
                format!("tasks[{index}].payload"),
                "a text, or {\"hex\": \"..\"} with two hexadecimal digits for each byte",
            )
        })?;
        Ok(TaskSpec {
            payload,
            hint: self.hint_ms.map(Duration::from_millis),
        })
    }
}

fn check(is_valid: bool, field: &str, allowed: &'static str) -> Result<(), RequestError> {
    if is_valid {
        Ok(())
    } else {
        Err(RequestError::new(field, allowed))
    }
}

fn saturating_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
