//! The body of a submission.

use std::time::Duration;

use knapweedrill_derive::message;

use super::{Content, RequestError, WAIT_DEFAULT, WAIT_MAX};
use crate::common::{ClientKey, KindName, TeamName};
use crate::contract::{Class, OwnerToken};
use crate::entry::CallerRequest;
use crate::ini::{NAME_ALLOWED, is_name};
use crate::job::{JobSpec, TaskSpec};

/// The body of a submission.
#[message]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The team that the job is for.
    pub team: TeamName,
    /// The kind of work.
    pub kind: KindName,
    /// The class, or that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// The time after which the caller has no use for an answer, or that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether running a task twice does no harm, or what the kind says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// How long the call waits for the outcome; [`WAIT_DEFAULT`] if left out, at most
    /// [`WAIT_MAX`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// The tasks.
    pub tasks: Vec<TaskRequest>,
}

/// A task of a submission.
#[message]
#[serde(deny_unknown_fields)]
pub struct TaskRequest {
    /// What the minion is given.
    pub payload: Content,
    /// How long the caller expects the task to run on a minion of speed 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint_ms: Option<u64>,
}

impl JobRequest {
    /// Creates the body that asks for a job and waits for `wait`.
    pub fn new(spec: JobSpec, wait: Duration) -> Self {
        Self {
            team: spec.team,
            kind: spec.kind,
            class: spec.class,
            deadline_ms: spec.deadline.map(whole_ms),
            idempotent: spec.idempotent,
            wait_ms: Some(whole_ms(wait)),
            tasks: spec.tasks.into_iter().map(TaskRequest::new).collect(),
        }
    }

    /// Returns the time for which the call waits.
    pub fn wait(&self) -> Duration {
        self.wait_ms
            .map_or(WAIT_DEFAULT, Duration::from_millis)
            .min(WAIT_MAX)
    }

    /// Returns the request that an entry handles.
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

    /// Returns the job that is asked for.
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
            hint_ms: task.hint.map(whole_ms),
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

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
