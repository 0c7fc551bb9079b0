//! Jobs of callers, and the checks of the responses to them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use knapweedrill::common::{Incarnation, JobId, RequestId};
use knapweedrill::contract::OwnerToken;
use knapweedrill::entry::{CallerRequest, CallerResponse};
use knapweedrill::job::{JobSpec, Outcome, TaskId, TaskSpec};

const TEAMS: [&str; 2] = ["tin-a", "tin-b"];
const WAIT: Duration = Duration::from_secs(30);

/// A job, as known to its caller.
#[derive(Debug, Clone)]
pub(super) struct CallerJob {
    token: OwnerToken,
    key: String,
    spec: JobSpec,
}

impl CallerJob {
    pub(super) fn new(number: usize, token: OwnerToken, run_ms: &[u64]) -> Self {
        let tasks = (0..).zip(run_ms).map(|(index, run_ms)| TaskSpec {
            payload: payload(number, index),
            hint: Some(Duration::from_millis(*run_ms)),
        });
        Self {
            token,
            key: format!("job-{number}"),
            spec: JobSpec {
                team: TEAMS[number % TEAMS.len()].into(),
                kind: "proof".into(),
                class: None,
                deadline: None,
                idempotent: None,
                tasks: tasks.collect(),
            },
        }
    }

    pub(super) fn id(&self) -> JobId {
        self.token.job_id(&self.spec.team, &self.key)
    }

    pub(super) fn submission(&self) -> CallerRequest {
        CallerRequest::Submit {
            token: self.token,
            key: self.key.clone(),
            spec: self.spec.clone(),
            wait: WAIT,
        }
    }

    pub(super) fn cancellation(&self) -> CallerRequest {
        CallerRequest::Cancel {
            token: self.token,
            team: self.spec.team.clone(),
            key: self.key.clone(),
        }
    }
}

fn payload(number: usize, index: u32) -> Vec<u8> {
    format!("{number}/{index}").into_bytes()
}

/// A request that waits for its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCall {
    pub(super) entry: Incarnation,
    pub(super) job: usize,
}

/// The number of responses by outcome, which shows that a run covers them.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OutcomeCounts {
    pub(crate) complete_count: usize,
    pub(crate) failed_count: usize,
    pub(crate) not_run_count: usize,
    pub(crate) unanswered_count: usize,
}

/// All jobs, the responses to their callers and the starts of their tasks.
#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) jobs: Vec<CallerJob>,
    pub(super) pending: BTreeMap<RequestId, PendingCall>,
    pub(super) outcome_counts: OutcomeCounts,
    started: BTreeMap<TaskId, Incarnation>,
    not_run: BTreeSet<JobId>,
    pub(super) violations: Vec<String>,
}

impl Observations {
    pub(super) fn record_start(&mut self, task: TaskId, sidecar: Incarnation) {
        if let Some(first) = self.started.insert(task, sidecar) {
            let text = format!("{task:?} started at {first} and again at {sidecar}");
            self.violations.push(text);
        }
        if self.not_run.contains(&task.job) {
            let text = format!("{task:?} started after the job was answered as not run");
            self.violations.push(text);
        }
    }

    pub(super) fn record_response(&mut self, request: RequestId, response: CallerResponse) {
        let Some(call) = self.pending.remove(&request) else {
            let text = format!("request {request} was answered twice or after its entry ended");
            self.violations.push(text);
            return;
        };
        let job = &self.jobs[call.job];
        match response {
            CallerResponse::Ended { outcome } => match outcome {
                Outcome::Complete { results } => {
                    self.outcome_counts.complete_count += 1;
                    let expected: Vec<Vec<u8>> = (0..job.spec.tasks.len() as u32)
                        .map(|index| payload(call.job, index))
                        .collect();
                    if results != expected {
                        let text = format!("job {} has unexpected results: {results:?}", call.job);
                        self.violations.push(text);
                    }
                }
                Outcome::Failed { .. } => self.outcome_counts.failed_count += 1,
                Outcome::NotRun { refusal, .. } => {
                    self.outcome_counts.not_run_count += 1;
                    let id = job.id();
                    self.not_run.insert(id);
                    if self.started.keys().any(|task| task.job == id) {
                        let text = format!(
                            "job {} ran, but was answered as not run ({refusal:?})",
                            call.job
                        );
                        self.violations.push(text);
                    }
                }
            },
            CallerResponse::Invalid { message } => self.violations.push(message),
            CallerResponse::Running { .. } | CallerResponse::Unknown => {}
        }
    }

    /// Removes the pending calls to an entry that has ended, and returns their jobs.
    pub(super) fn remove_calls(&mut self, entry: Incarnation) -> Vec<usize> {
        let broken = self.pending.extract_if(.., |_, call| call.entry == entry);
        let jobs: Vec<usize> = broken.map(|(_, call)| call.job).collect();
        self.outcome_counts.unanswered_count += jobs.len();
        jobs
    }
}
