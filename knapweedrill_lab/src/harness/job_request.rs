//! Bodies of submissions and of their responses.

use std::time::Duration;

use knapweedrill::common::{KindName, TeamName};
use knapweedrill::contract::Class;
use knapweedrill_derive::{key, message};

use crate::stand_in::minion::TaskPayload;

const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// The request body of a submission; a builder.
#[message]
pub struct JobRequest {
    team: TeamName,
    kind: KindName,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<Class>,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    idempotent: Option<bool>,
    wait_ms: u64,
    tasks: Vec<JobTask>,
}

/// A task of a submission.
#[message]
pub struct JobTask {
    /// The input of the task, passed to the minion unchanged.
    pub payload: String,
    /// The run time that the caller expects on a minion of speed 1, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hint_ms: Option<u64>,
}

impl JobRequest {
    /// Creates a job without tasks whose caller waits up to 30 s for the outcome.
    pub fn new(team: impl Into<TeamName>, kind: impl Into<KindName>) -> Self {
        Self {
            team: team.into(),
            kind: kind.into(),
            class: None,
            deadline_ms: None,
            idempotent: None,
            wait_ms: DEFAULT_WAIT.as_millis() as u64,
            tasks: Vec::new(),
        }
    }

    /// Sets the class, which defaults to that of the kind.
    pub fn class(mut self, class: Class) -> Self {
        self.class = Some(class);
        self
    }

    /// Sets the time from submission to the deadline, which defaults to that of the kind.
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline_ms = Some(deadline.as_millis() as u64);
        self
    }

    /// Sets whether a task may safely run more than once; defaults to the setting of the kind.
    pub fn idempotent(mut self, is_idempotent: bool) -> Self {
        self.idempotent = Some(is_idempotent);
        self
    }

    /// Sets how long the submission waits for the outcome.
    pub fn wait(mut self, wait: Duration) -> Self {
        self.wait_ms = wait.as_millis() as u64;
        self
    }

    /// Adds a task whose run time hint is its actual run time.
    pub fn task(self, payload: &TaskPayload) -> Self {
        self.hinted_task(payload, Some(Duration::from_micros(payload.run_us)))
    }

    /// Adds a task with an optional run time hint.
    pub fn hinted_task(mut self, payload: &TaskPayload, hint: Option<Duration>) -> Self {
        self.tasks.push(JobTask {
            payload: payload.to_json(),
            hint_ms: hint.map(|hint| hint.as_millis() as u64),
        });
        self
    }

    /// Returns the team that submits the job.
    pub fn team_name(&self) -> &str {
        &self.team
    }

    /// Returns the tasks in the order of submission.
    pub fn tasks(&self) -> &[JobTask] {
        &self.tasks
    }

    /// Returns how long the submission waits for the outcome.
    pub fn wait_duration(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}

/// The outcome in the response to a submission.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// Every task ran and succeeded.
    Complete,
    /// The job failed; some of its tasks may have run.
    Failed,
    /// No task ran, and none will.
    NotRun,
    /// The job has not ended yet.
    Running,
    /// The owner does not know the key, or the request was malformed.
    Unknown,
}

/// The response body of a submission.
#[message]
pub struct JobResponse {
    /// The outcome of the job so far.
    pub outcome: JobOutcome,
    /// The reason why the job failed or was not run.
    #[serde(default)]
    pub reason: Option<String>,
    /// The result of each task, in the order of submission.
    #[serde(default)]
    pub results: Option<Vec<String>>,
    /// The time after which a retry may succeed, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}
