//! Requests about jobs that this entry owns.

use std::time::{Duration, Instant};

use smallvec::smallvec;

use crate::common::{Generation, JobId};
use crate::contract::{Class, OwnerToken};
use crate::event::EventKind;
use crate::job::{Failure, JobSpec, Refusal, TaskId};
use crate::message::RetainedOutcome;

use super::admission::AdmissionRefusal;
use super::core::Entry;
use super::key_table::KeyLookup;
use super::live_job::{LiveJob, LiveTask, LiveTaskState, Waiter};
use super::queue::QueuedTask;
use super::submission::Submission;
use super::timers::Timer;
use super::{CallerRequest, CallerResponse, EntryAction, EntryCounter, Requester};

/// The retry delay that is suggested while the entry has no configuration or the service no minion.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Entry {
    /// Handles a request that carries an owner token of this entry.
    pub(super) fn handle_own_request(
        &mut self,
        requester: Requester,
        request: CallerRequest,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let job = request.job_id();
        match request {
            CallerRequest::Submit {
                token, spec, wait, ..
            } => {
                let submission = Submission {
                    requester,
                    token,
                    job,
                    content_hash: spec.content_hash(),
                    spec,
                    wait,
                };
                self.submit(submission, now, actions);
            }
            CallerRequest::Status { token, wait, .. } => {
                let response = self.known_response(token, job, None);
                match response {
                    Some(response) => self.respond(requester, response, actions),
                    None => self.attach(requester, job, wait, now, actions),
                }
            }
            CallerRequest::Cancel { token, .. } => {
                self.cancel(job, now, actions);
                let response = self
                    .known_response(token, job, None)
                    .unwrap_or(CallerResponse::Unknown);
                self.respond(requester, response, actions);
            }
        }
    }

    fn submit(&mut self, submission: Submission, now: Instant, actions: &mut Vec<EntryAction>) {
        let Submission {
            requester,
            token,
            job,
            content_hash,
            wait,
            ..
        } = submission;
        match self.known_response(token, job, Some(content_hash)) {
            None => {
                actions.push(EntryAction::Count(EntryCounter::JobAttached));
                actions.push(EntryAction::Record(EventKind::JobAttached { job }));
                self.attach(requester, job, wait, now, actions);
            }
            Some(CallerResponse::Unknown) => self.submit_new(submission, now, actions),
            Some(response) => self.respond(requester, response, actions),
        }
    }

    /// Returns the response that is available immediately, or `None` while the job is live.
    ///
    /// With `content_hash`, a key that was used for other content gives [`Failure::KeyReused`].
    fn known_response(
        &self,
        token: OwnerToken,
        job: JobId,
        content_hash: Option<u64>,
    ) -> Option<CallerResponse> {
        let is_reuse = |known: u64| content_hash.is_some_and(|hash| hash != known);
        match self.keys.lookup(token.generation, job) {
            KeyLookup::Live { content_hash } | KeyLookup::Ended { content_hash, .. }
                if is_reuse(content_hash) =>
            {
                Some(CallerResponse::failed(Failure::KeyReused))
            }
            KeyLookup::Live { .. } => None,
            KeyLookup::Ended { outcome, .. } => Some(outcome.clone().into()),
            KeyLookup::Expired => Some(CallerResponse::failed(Failure::KeyExpired)),
            KeyLookup::New if self.mint.has_expired(token.generation) => {
                Some(CallerResponse::failed(Failure::KeyExpired))
            }
            KeyLookup::New if !self.mint.is_valid(token) => Some(CallerResponse::Invalid {
                message: format!("owner token {token} was never issued"),
            }),
            KeyLookup::New => Some(CallerResponse::Unknown),
        }
    }

    fn attach(
        &mut self,
        requester: Requester,
        job: JobId,
        wait: Duration,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let wait_until = now + wait;
        let Some(live) = self.jobs.get_mut(&job) else {
            self.respond(requester, CallerResponse::Unknown, actions);
            return;
        };
        live.waiters.push(Waiter {
            requester,
            wait_until,
        });
        self.timers.set(wait_until, Timer::Wait { job, requester });
    }

    fn submit_new(&mut self, submission: Submission, now: Instant, actions: &mut Vec<EntryAction>) {
        if let Err(message) = self.check_spec(&submission.spec) {
            let response = CallerResponse::Invalid { message };
            self.respond(submission.requester, response, actions);
            return;
        }
        match self.refusal(&submission.spec, submission.token.generation) {
            Some(refused) => self.refuse(&submission, refused, now, actions),
            None => self.accept(submission, now, actions),
        }
    }

    fn accept(&mut self, submission: Submission, now: Instant, actions: &mut Vec<EntryAction>) {
        let Submission {
            requester,
            token,
            job,
            spec,
            content_hash,
            wait,
        } = submission;
        self.keys
            .insert_live(token.generation, job, content_hash, now);
        actions.push(EntryAction::Count(EntryCounter::JobAccepted));
        actions.push(EntryAction::Record(EventKind::JobAccepted {
            job,
            token,
            task_count: u32::try_from(spec.tasks.len()).unwrap_or(u32::MAX),
        }));
        let tasks = self.queued_tasks(job, &spec);
        let live = self.live_job(job, token.generation, spec, now);
        self.timers.set(live.deadline_at, Timer::Deadline { job });
        self.enqueue(&live, tasks, now);
        self.jobs.insert(job, live);
        self.attach(requester, job, wait, now, actions);
    }

    /// Refuses a job and retains the refusal, so that a duplicate request does not run either.
    fn refuse(
        &mut self,
        submission: &Submission,
        refused: AdmissionRefusal,
        now: Instant,
        actions: &mut Vec<EntryAction>,
    ) {
        let job = submission.job;
        let generation = submission.token.generation;
        let refusal = refused.refusal;
        let outcome = RetainedOutcome::NotRun {
            refusal,
            retry_after: refused.retry_after,
        };
        self.keys.insert_ended(
            generation,
            job,
            submission.content_hash,
            outcome.clone(),
            now,
        );
        actions.push(EntryAction::Count(EntryCounter::JobNotRun));
        actions.push(EntryAction::Record(EventKind::JobNotRun { job, refusal }));
        self.respond(submission.requester, outcome.into(), actions);
    }

    /// Validates a job against the configuration; without one, every job passes.
    fn check_spec(&self, spec: &JobSpec) -> Result<(), String> {
        let limits = &self.configuration.limits;
        if self.version.is_none() {
            return Ok(());
        }
        if self.configuration.kind(&spec.kind).is_none() {
            return Err(format!("kind '{}' is not configured", spec.kind));
        }
        if self.configuration.team(&spec.team).is_none() {
            return Err(format!("team '{}' is not configured", spec.team));
        }
        if spec.tasks.is_empty() {
            return Err("a job needs at least one task".to_owned());
        }
        if spec.tasks.len() > limits.tasks_per_job as usize {
            return Err(format!(
                "the job has {} tasks; at most {} are allowed",
                spec.tasks.len(),
                limits.tasks_per_job
            ));
        }
        let payload_max = limits.payload_bytes as usize;
        if let Some(index) = spec
            .tasks
            .iter()
            .position(|task| task.payload.len() > payload_max)
        {
            return Err(format!(
                "the payload of task {index} has {} bytes; at most {payload_max} are allowed",
                spec.tasks[index].payload.len()
            ));
        }
        Ok(())
    }

    /// Returns the reason to refuse a valid job now, if there is one.
    fn refusal(&self, spec: &JobSpec, generation: Generation) -> Option<AdmissionRefusal> {
        let refuse = |refusal, retry_after| {
            Some(AdmissionRefusal {
                refusal,
                retry_after: Some(retry_after),
            })
        };
        if self.version.is_none() {
            return refuse(Refusal::NotReady, RETRY_AFTER);
        }
        if self.stopping.is_some() {
            return refuse(Refusal::ShuttingDown, Duration::ZERO);
        }
        let service = &self.configuration.kind(&spec.kind)?.service;
        if !self.has_sidecar(service) {
            return refuse(Refusal::NoMinion, RETRY_AFTER);
        }
        if !self.has_sidecar_for(service, generation) {
            return refuse(Refusal::TokenNeeded, Duration::ZERO);
        }
        self.overload(service, spec)
    }

    /// Returns the class of a job: its own, or else the default of its kind.
    pub(super) fn class_of(&self, spec: &JobSpec) -> Class {
        spec.class
            .or(self.configuration.kind(&spec.kind).map(|kind| kind.class))
            .unwrap_or_default()
    }

    /// Returns the deadline of a job, relative to its acceptance.
    pub(super) fn deadline_of(&self, spec: &JobSpec) -> Duration {
        let kind = self.configuration.kind(&spec.kind);
        let deadline_max = self.configuration.limits.deadline_max;
        spec.deadline
            .or(kind.map(|kind| kind.deadline))
            .unwrap_or(deadline_max)
            .min(deadline_max)
    }

    fn queued_tasks(&self, job: JobId, spec: &JobSpec) -> Vec<QueuedTask> {
        (0..)
            .zip(&spec.tasks)
            .map(|(index, task)| QueuedTask {
                task: TaskId {
                    owner: self.incarnation,
                    job,
                    index,
                },
                attempt: 0,
                expected_run_time: self.run_time_estimator.estimate(&spec.kind, task.hint),
                payload: task.payload.clone(),
            })
            .collect()
    }

    fn live_job(&self, job: JobId, generation: Generation, spec: JobSpec, now: Instant) -> LiveJob {
        let kind = self.configuration.kind(&spec.kind);
        let deadline = self.deadline_of(&spec);
        let class = self.class_of(&spec);
        let tasks = spec
            .tasks
            .iter()
            .map(|task| LiveTask {
                hint: task.hint,
                attempt: 0,
                state: LiveTaskState::Queued,
            })
            .collect();
        LiveJob {
            job,
            generation,
            team: spec.team,
            service: kind.map(|kind| kind.service.clone()).unwrap_or_default(),
            kind: spec.kind,
            class,
            accepted_at: now,
            deadline_at: now + deadline,
            tasks,
            waiters: smallvec![],
            ended_count: 0,
            outstanding_count: 0,
            may_have_started: false,
        }
    }
}
