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
use super::key_table::Lookup;
use super::live_job::{LiveJob, LiveTask, LiveTaskState, Waiter};
use super::queue::QueuedTask;
use super::submission::Submission;
use super::timers::Timer;
use super::{CallerRequest, CallerResponse, EntryAction, EntryCounter, Requester};

/// When a caller may try again whose service has no minion or whose entry is stopping.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Entry {
    /// Deals with a request that carries one of this entry's tokens.
    pub(super) fn own_request(
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

    /// Returns the answer that is known at once, or nothing while the job is live.
    fn known_response(
        &self,
        token: OwnerToken,
        job: JobId,
        content_hash: Option<u64>,
    ) -> Option<CallerResponse> {
        let is_reuse = |known: u64| content_hash.is_some_and(|hash| hash != known);
        match self.keys.lookup(token.generation, job) {
            Lookup::Live { content_hash } | Lookup::Ended { content_hash, .. }
                if is_reuse(content_hash) =>
            {
                Some(CallerResponse::failed(Failure::KeyReused))
            }
            Lookup::Live { .. } => None,
            Lookup::Ended { state, .. } => Some(state.clone().into()),
            Lookup::Expired => Some(CallerResponse::failed(Failure::KeyExpired)),
            Lookup::New if self.mint.has_expired(token.generation) => {
                Some(CallerResponse::failed(Failure::KeyExpired))
            }
            Lookup::New if !self.mint.is_genuine(token) => Some(CallerResponse::Invalid {
                message: format!("owner token {token} was never handed out"),
            }),
            Lookup::New => Some(CallerResponse::Unknown),
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
        let until = now + wait;
        let Some(live) = self.jobs.get_mut(&job) else {
            self.respond(requester, CallerResponse::Unknown, actions);
            return;
        };
        live.waiters.push(Waiter { requester, until });
        self.timers.set(until, Timer::Wait { job, requester });
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
        self.keys.begin(token.generation, job, content_hash, now);
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

    /// Refuses a job, and keeps the refusal, so that a second copy of the request is not run.
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
        let state = RetainedOutcome::NotRun {
            refusal,
            retry_after: refused.retry_after,
        };
        self.keys
            .insert(generation, job, submission.content_hash, state.clone(), now);
        actions.push(EntryAction::Count(EntryCounter::JobNotRun));
        actions.push(EntryAction::Record(EventKind::JobNotRun { job, refusal }));
        self.respond(submission.requester, state.into(), actions);
    }

    /// Checks what the configuration has to say about a job.
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

    /// Returns why a well-formed job cannot be taken now, if so.
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

    /// Returns the class that a job is treated as.
    pub(super) fn class_of(&self, spec: &JobSpec) -> Class {
        spec.class
            .or(self.configuration.kind(&spec.kind).map(|kind| kind.class))
            .unwrap_or_default()
    }

    /// Returns how long a job has, from its acceptance on.
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
                expected: self.run_times.expected(&spec.kind, task.hint),
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
            out_count: 0,
            may_have_started: false,
        }
    }
}
